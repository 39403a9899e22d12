"""Tests of the bound on requests to cold servers, in virtual time."""

import random
from bisect import bisect_left
from dataclasses import replace
from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay.model import BackendServer, Service
from camphordrift.relay.scheduling import ColdServer, ColdServers, RequestLimits
from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    RefusalReason,
)
from camphordrift.relay.scheduling._settled_share import SETTLING_TIME
from camphordrift.relay.servers import start_of
from camphordrift.relay.tests.samples import COSTS, placement_request, server

#: ``ColdOverage`` and ``ColdSlack`` of the users: what VMs together may send within a second.
OVERAGE = 1.5
SLACK = 5

#: Seconds between the requests that each VM tries to send, and between its periodic tasks.
STEP = 0.05

PERIOD = 30.0


def most_in_a_second(times: list[float]) -> int:
    """Returns the largest number of requests within any second."""
    ordered = sorted(times)
    return max((bisect_left(ordered, at + 1.0) - i for i, at in enumerate(ordered)), default=0)


def allowed(rate: float) -> float:
    return rate * OVERAGE + SLACK


class Vm:
    """A VM that decides on a share of the limits, and knows the cold servers."""

    def __init__(self, rate: Optional[float], share: float = 0.0, phase: float = 0.0) -> None:
        self.share = share
        cold = ColdServers()
        cold.set_services([Service("engines", 264, COSTS, PERIOD, rate)])
        self.limits = RequestLimits(lambda: self.share, cold, lambda: phase)

    def make_cold(self, item: BackendServer, now: float, left: float = PERIOD) -> None:
        self.limits.cold.merge(ColdServer(start_of(item), item.service, left, 0.0), now)

    def settle(self, now: float) -> None:
        """Gives the VM the share that it has long had."""
        for step in range(20):
            self.limits.observe_share(now - 1.0 + step * 0.05)

    def try_send(self, item: BackendServer, now: float) -> bool:
        if self.limits.wait_time(item, now) > 0:
            return False
        self.limits.take(item, now)
        return True


#: Seconds from the start of a regime until a VM has its new share: one that loses its share notices
#: it within the idle timeout of links.
_delays = st.lists(st.floats(0.0, SETTLING_TIME - STEP), min_size=3, max_size=3)

#: Which VMs decide, each for how many of the three VMs.
_regimes = st.sampled_from([(3, 0, 0), (0, 3, 0), (0, 0, 3), (2, 0, 1), (0, 1, 2), (1, 1, 1)])


class BoundTest(testtools.TestCase):
    @settings(deadline=None, max_examples=60)
    @given(
        rate=st.floats(0.5, 60.0),
        regimes=st.lists(st.tuples(_regimes, st.floats(0.0, 3.0), _delays), min_size=1, max_size=6),
        demand=st.integers(0, 2**32),
        news=st.lists(st.floats(0.0, 1.0), min_size=3, max_size=3),
    )
    def test_within_any_second_while_the_deciding_vms_change(
        self,
        rate: float,
        regimes: list[tuple[tuple[int, ...], float, list[float]]],
        demand: int,
        news: list[float],
    ) -> None:
        """The plain model: a VM has its new share some time after a regime began.

        Former leaders still decide in that time, as does one that is cut off.
        """
        chance = random.Random(demand)
        vms = [Vm(rate) for _ in range(3)]
        changes: list[tuple[float, int, float]] = []
        began = 0.0
        for counts, lasts, delays in regimes:
            for number, count in enumerate(counts):
                changes.append((began + delays[number], number, count / 3))
            began += max(lasts, SETTLING_TIME)
        changes.sort()
        sent: list[float] = []
        is_busy = True
        for step in range(int((began + 2.0) / STEP)):
            now = step * STEP
            while changes and changes[0][0] <= now:
                _, number, share = changes.pop(0)
                vms[number].share = share
            is_busy = is_busy if chance.random() < 0.95 else not is_busy
            for number, vm in enumerate(vms):
                vm.limits.observe_share(now)
                if now - STEP < news[number] <= now:
                    vm.make_cold(server(1), now)
                while is_busy and now >= news[number] and vm.try_send(server(1), now):
                    sent.append(now)
        self.assertLessEqual(most_in_a_second(sent), allowed(rate))

    def test_while_a_former_leader_still_decides(self) -> None:
        rate = 40.0
        former, latter = Vm(rate, 1.0), Vm(rate)
        former.settle(0.0)
        for vm in (former, latter):
            vm.make_cold(server(1), 0.0)
        sent: list[float] = []
        for step in range(int(6.0 / STEP)):
            now = step * STEP
            former.share = 1.0 if now < 3.0 + SETTLING_TIME - STEP else 0.0
            latter.share = 1.0 if now >= 3.0 else 0.0
            for vm in (former, latter):
                vm.limits.observe_share(now)
                while vm.try_send(server(1), now):
                    sent.append(now)
        self.assertLessEqual(most_in_a_second(sent), allowed(rate))

    def test_a_vm_that_starts_to_decide_has_saved_up_nothing(self) -> None:
        vm = Vm(10.0)
        vm.make_cold(server(1), 0.0)
        vm.limits.wait_time(server(1), 0.0)
        vm.share = 1.0
        for now in (5.0, 5.5, 6.0):
            vm.limits.observe_share(now)
        self.assertAlmostEqual(0.1, vm.limits.wait_time(server(1), 6.0))

    def test_many_vms_that_lose_each_other_do_not_send_together(self) -> None:
        for rate in (2.0, 8.0, 20.0):
            vms = [Vm(rate, phase=number / 75) for number in range(75)]
            for vm in vms:
                vm.make_cold(server(1), 0.0)
                vm.limits.wait_time(server(1), 0.0)
                vm.share = 1 / 75
            sent: list[float] = []
            for step in range(400):
                now = step * STEP
                for vm in vms:
                    vm.limits.observe_share(now)
                    # Nobody has sent anything for some seconds.
                    if now >= 6.0 and vm.try_send(server(1), now):
                        sent.append(now)
            self.assertLessEqual(most_in_a_second(sent), allowed(rate))
            self.assertGreaterEqual(len(sent), rate * 12.0)

    @settings(deadline=None)
    @given(rate=st.floats(1.0, 40.0))
    def test_the_rate_is_used(self, rate: float) -> None:
        vm = Vm(rate, 1.0)
        vm.settle(0.0)
        vm.make_cold(server(1), 0.0)
        sent = 0
        for step in range(2000):
            while vm.try_send(server(1), step * 0.01):
                sent += 1
        self.assertGreaterEqual(sent, rate * 20.0 * 0.95 - 1)

    def test_the_bound_ends_by_itself(self) -> None:
        vm = Vm(2.0, 1.0)
        vm.settle(0.0)
        vm.make_cold(server(1), 0.0, left=4.0)
        self.assertTrue(vm.limits.has_limit(server(1), 3.9))
        self.assertFalse(vm.limits.has_limit(server(1), 4.0))
        self.assertTrue(all(vm.try_send(server(1), 4.0) for _ in range(50)))

    def test_nothing_is_saved_up_for_the_next_time(self) -> None:
        vm = Vm(2.0, 1.0)
        vm.settle(0.0)
        vm.make_cold(server(1), 0.0, left=1.0)
        vm.make_cold(server(1), 10.0, left=5.0)
        self.assertEqual(0.5, vm.limits.wait_time(server(1), 10.0))

    def test_the_lower_one_of_two_limits_counts(self) -> None:
        vm = Vm(10.0, 1.0)
        vm.settle(0.0)
        vm.make_cold(server(1), 0.0)
        vm.limits.observe_response(server(1), 1.0, 0.0, 0.0)
        self.assertEqual(1.0, vm.limits.rate(server(1), 0.0))
        self.assertEqual(1.0, vm.limits.wait_time(server(1), 0.0))

    def test_a_service_without_a_rate_has_no_bound(self) -> None:
        vm = Vm(None, 1.0)
        vm.make_cold(server(1), 0.0)
        self.assertEqual({"engines-1"}, set(vm.limits.cold.ids(0.0)))
        self.assertFalse(vm.limits.has_limit(server(1), 0.0))

    def test_a_running_request_is_not_counted_by_the_next_leader(self) -> None:
        vm = Vm(2.0, 1.0)
        vm.settle(0.0)
        vm.make_cold(server(1), 0.0)
        vm.limits.take(server(1), 0.0, is_running=True)
        self.assertEqual(0.5, vm.limits.wait_time(server(1), 0.0))
        vm.limits.take(server(1), 0.0)
        self.assertEqual(1.0, vm.limits.wait_time(server(1), 0.0))


class PermitTest(testtools.TestCase):
    def test_plain_servers_have_the_bound(self) -> None:
        vm = Vm(2.0, 1.0)
        vm.limits.cold.set_services([Service("office", 100, None, PERIOD, 2.0)])
        vm.settle(0.0)
        vm.make_cold(server(1, "office"), 0.0)
        permits = [vm.limits.reserve("office", ("office-1",), 1.2, 0.0) for _ in range(3)]
        self.assertEqual(
            [("office-1", 0.5), ("office-1", 1.0), (None, 1.5)],
            [(permit.server_id, permit.delay) for permit in permits],
        )

    def test_a_server_that_becomes_warm_in_time_is_waited_for(self) -> None:
        vm = Vm(0.5, 1.0)
        vm.limits.cold.set_services([Service("office", 100, None, PERIOD, 0.5)])
        vm.settle(0.0)
        vm.make_cold(server(1, "office"), 0.0, left=1.0)
        permits = [vm.limits.reserve("office", ("office-1",), 1.2, 0.0) for _ in range(9)]
        self.assertEqual({("office-1", 1.0)}, {(p.server_id, p.delay) for p in permits})


class ReturningZoneTest(testtools.TestCase):
    """A zone of cold engines returns while requests arrive faster than the warm ones take them."""

    COUNT = 12
    RATE = 3.0

    def _pool(self, cold: range) -> tuple[Vm, EnginePool]:
        vm = Vm(self.RATE, 1.0)
        vm.settle(0.0)
        for number in cold:
            vm.make_cold(self._engine(number), 0.0)
        pool = EnginePool(COSTS, limits=vm.limits)
        pool.set_servers([self._engine(number) for number in range(self.COUNT)])
        return vm, pool

    def _engine(self, number: int) -> BackendServer:
        return replace(server(number), zone=f"z{number % 3}")

    def _play(
        self, pool: EnginePool, per_step: int, seconds: float
    ) -> tuple[dict[str, list[float]], list[PlacementRefusal]]:
        """Submits prompts that take a second each; returns the uses of engines, and refusals."""
        used: dict[str, list[float]] = {}
        refused: list[PlacementRefusal] = []
        running: list[tuple[float, str]] = []
        for step in range(int(seconds / STEP)):
            now = step * STEP
            while running and running[0][0] <= now:
                pool.record_finished(running.pop(0)[1], AttemptOutcome.SERVED, now)
            for number in range(per_step):
                tokens = 60_000 if (step + number) % 10 == 0 else 2000
                pool.submit(placement_request(f"r{step}.{number}", tokens, time_left=8.0), now)
            for decision in pool.decide(now):
                self._record(decision, now, used, refused, running, pool)
        return used, refused

    def _record(
        self,
        decision: PlacementDecision,
        now: float,
        used: dict[str, list[float]],
        refused: list[PlacementRefusal],
        running: list[tuple[float, str]],
        pool: EnginePool,
    ) -> None:
        if isinstance(decision, PlacementRefusal):
            refused.append(decision)
            return
        for item in (decision.server, *decision.helpers):
            used.setdefault(item.id, []).append(now)
        pool.record_first_event(decision.ask_id, now)
        running.append((now + 1.0, decision.ask_id))

    def test_cold_engines_get_their_rate_and_warm_ones_the_rest(self) -> None:
        cold = range(8, self.COUNT)
        _, pool = self._pool(cold)
        # The warm engines have 64 slots, and 64 requests a second need them all.
        used, refused = self._play(pool, 4, 5.0)
        self.assertEqual([], refused)
        for number in cold:
            times = used.get(f"engines-{number}", [])
            self.assertLessEqual(most_in_a_second(times), self.RATE * 1.25 + 1)
        self.assertGreater(sum(len(used.get(f"engines-{number}", [])) for number in cold), 20)

    def test_a_cold_zone_is_used_up_to_its_rate(self) -> None:
        _, pool = self._pool(range(self.COUNT))
        used, refused = self._play(pool, 1, 5.0)
        self.assertEqual([], refused)
        for times in used.values():
            self.assertLessEqual(most_in_a_second(times), self.RATE * 1.25 + 1)
        self.assertGreaterEqual(sum(map(len, used.values())), 90)

    def test_warm_engines_are_preferred(self) -> None:
        _, pool = self._pool(range(8, self.COUNT))
        used, refused = self._play(pool, 1, 3.0)
        self.assertEqual([], refused)
        warm = {f"engines-{number}" for number in range(8)}
        self.assertEqual(set(), set(used) - warm)

    def test_an_idle_warm_engine_is_preferred_to_idle_cold_ones(self) -> None:
        vm, pool = self._pool(range(0))
        for number in set(range(self.COUNT)) - {5}:
            vm.make_cold(self._engine(number), 0.0)
        pool.submit(placement_request("r0"), 1.0)
        (grant,) = pool.decide(1.0)
        assert isinstance(grant, Grant)
        self.assertEqual("engines-5", grant.server.id)

    def test_parts_of_long_prompts_prefer_warm_engines(self) -> None:
        _, pool = self._pool(range(0, self.COUNT, 2))
        pool.submit(placement_request("r0", 60_000), 1.0)
        (grant,) = pool.decide(1.0)
        assert isinstance(grant, Grant)
        self.assertNotEqual((), grant.helpers)
        used = {item.id for item in (grant.server, *grant.helpers)}
        self.assertEqual(set(), used - {f"engines-{number}" for number in range(1, 12, 2)})

    def test_requests_that_cold_engines_cannot_take_in_time_are_refused(self) -> None:
        _, pool = self._pool(range(self.COUNT))
        for number in range(80):
            pool.submit(placement_request(f"r{number}", time_left=1.5), 0.0)
        refused = [item for item in pool.decide(0.0) if isinstance(item, PlacementRefusal)]
        self.assertEqual({RefusalReason.LIMITED}, {item.reason for item in refused})
        # A request needs 0.44 s on an idle engine, so it may wait for 0.85 s. The first ones are
        # taken after 0.33 s, and 36 in each second.
        self.assertEqual(80 - 19, len(refused))

    def test_requests_are_not_refused_if_engines_become_warm_in_time(self) -> None:
        vm, pool = self._pool(range(0))
        for number in range(self.COUNT):
            vm.make_cold(self._engine(number), 0.0, left=0.5)
        for number in range(80):
            pool.submit(placement_request(f"r{number}", time_left=1.5), 0.0)
        self.assertEqual([], pool.decide(0.0))
        self.assertGreater(len(pool.decide(0.5)), 30)

    def test_engines_count_as_warm_after_the_time(self) -> None:
        vm, pool = self._pool(range(0))
        for number in range(8, self.COUNT):
            vm.make_cold(self._engine(number), 0.0, left=1.0)
        pool.submit(placement_request("r0"), 0.5)
        pool.decide(0.5)
        self.assertEqual(4, sum(engine.is_cold for engine in pool._index.engines))
        pool.submit(placement_request("r1"), 1.0)
        pool.decide(1.0)
        self.assertEqual(0, sum(engine.is_cold for engine in pool._index.engines))

    def test_requests_wait_for_a_new_leader_that_may_not_use_its_share_yet(self) -> None:
        vm, pool = self._pool(range(self.COUNT))
        vm.share = 0.0
        vm.limits.observe_share(1.0)
        vm.share = 1.0
        vm.limits.observe_share(1.1)
        pool.submit(placement_request("r0", time_left=4.0), 1.1)
        self.assertEqual([], pool.decide(1.1))
        vm.limits.observe_share(1.95)
        self.assertEqual([], pool.decide(1.95))
        (decision,) = pool.decide(2.3)
        self.assertIsInstance(decision, Grant)

    def test_a_cold_engine_stores_nothing_for_other_engines(self) -> None:
        vm, pool = self._pool(range(0))
        for number in range(1, self.COUNT):
            vm.make_cold(self._engine(number), 0.0, left=3.0)
        pool.submit(placement_request("long", 500_000, time_left=60.0), 2.0)
        self.assertEqual([], pool.decide(2.0))
        (grant,) = pool.decide(3.0)
        assert isinstance(grant, Grant)
        self.assertNotEqual(0, sum(grant.helper_memory))

    def test_a_request_waits_for_the_engine_on_which_it_must_run(self) -> None:
        _, pool = self._pool(range(self.COUNT))
        request = placement_request("r0", 154_000, preferred="engines-0")
        pool.submit(request, 0.0)
        self.assertEqual([], pool.decide(0.0))
        (grant,) = pool.decide(0.5)
        assert isinstance(grant, Grant)
        self.assertEqual("engines-0", grant.server.id)
