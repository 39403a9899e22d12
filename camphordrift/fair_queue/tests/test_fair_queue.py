"""Tests of start-time fair queueing between accounts."""

from collections import Counter

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.fair_queue import FairQueue


def serve(queue: FairQueue[int, str, int], count: int, work: dict[int, float]) -> list[int]:
    """Returns the first items that the queue serves."""
    served = []
    for _ in range(count):
        item = queue.first_of_each_account()[0]
        account = next(name for name in queue.accounts if item in queue._queues[name])
        queue.remove(item)
        queue.charge(account, work[item])
        served.append(item)
    return served


class OrderTest(testtools.TestCase):
    def test_items_of_one_account_are_served_in_the_order_of_arrival(self) -> None:
        queue = FairQueue[int, str, int]()
        for number in range(5):
            queue.add(number, "school", number, 1.0)
        self.assertEqual([0, 1, 2, 3, 4], serve(queue, 5, dict.fromkeys(range(5), 1.0)))

    def test_an_account_with_few_items_does_not_wait_behind_one_with_many(self) -> None:
        queue = FairQueue[int, str, int]()
        for number in range(10):
            queue.add(number, "many", number, 1.0)
        queue.add(10, "few", 10, 1.0)
        self.assertIn(10, serve(queue, 2, dict.fromkeys(range(11), 1.0)))

    def test_an_idle_account_saves_up_no_service(self) -> None:
        queue = FairQueue[int, str, int]()
        work = dict.fromkeys(range(40), 1.0)
        for number in range(30):
            queue.add(number, "busy", number, 1.0)
        serve(queue, 10, work)
        for number in range(30, 40):
            queue.add(number, "idle", number, 1.0)
        served = serve(queue, 10, work)
        self.assertEqual(5, sum(number < 30 for number in served))

    def test_the_expected_order_is_that_in_which_items_are_served(self) -> None:
        queue = FairQueue[int, str, int]()
        work = {number: 1.0 + 0.37 * (number % 3) for number in range(12)}
        for number in range(12):
            queue.add(number, "abc"[number % 3], number, work[number])
        expected = queue.in_fair_order(range(12))
        self.assertEqual(expected, serve(queue, 12, work))

    def test_work_before_an_item_is_that_of_the_expected_order(self) -> None:
        queue = FairQueue[int, str, int]()
        for number in range(8):
            queue.add(number, "many", number, 1.0)
        queue.add(8, "few", 8, 1.0)
        queue.add(9, "few", 9, 1.0)
        self.assertEqual(2.0, queue.work_before(9))

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        st.lists(st.floats(0.1, 5.0), min_size=60, max_size=60), st.sampled_from([0.5, 1.0, 3.0])
    )
    def test_service_differs_by_at_most_one_item_of_each_account(
        self, costs: list[float], weight: float
    ) -> None:
        """The bound of start-time fair queueing for two accounts that always have items."""
        queue = FairQueue[int, str, int]()
        queue.set_weights({"a": weight})
        for number, cost in enumerate(costs):
            queue.add(number, "ab"[number % 2], number, cost)
        service = Counter[str]()
        for number in serve(queue, 20, dict(enumerate(costs))):
            service["ab"[number % 2]] += costs[number]  # type: ignore[assignment]
        difference = abs(service["a"] / weight - service["b"])
        self.assertTrue(difference <= max(costs) / weight + max(costs) + 1e-9)


class MemoryTest(testtools.TestCase):
    def test_accounts_without_items_take_up_no_memory(self) -> None:
        queue = FairQueue[int, str, int]()
        for number in range(970):
            queue.add(number, f"account-{number}", number, 1.0)
        serve(queue, 970, dict.fromkeys(range(970), 1.0))
        queue.add(970, "last", 970, 1.0)
        queue.add(971, "last", 971, 1.0)
        serve(queue, 2, {970: 1.0, 971: 1.0})
        self.assertTrue(queue.tracked_accounts <= 1, queue.tracked_accounts)
