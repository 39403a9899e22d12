"""Tests of the refusal of requests that the backlog keeps from being served in time."""

import json
from collections import Counter

import testtools

from camphordrift.relay.scheduling._backlog_admission import MAX_RETURN_SPREAD, BacklogAdmission
from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
)
from camphordrift.relay.scheduling._service_rate import MIN_ENDED_REQUESTS, WINDOW_SECONDS
from camphordrift.relay.tests.load_replay import (
    CAPACITY,
    Replay,
    arrivals_of,
    many_accounts,
    pool_of,
    repeat_at_once,
)
from camphordrift.relay.tests.relay_harness import RelayHarness, complete_stream, run_scenario
from camphordrift.relay.tests.samples import COSTS, ScriptedServer, placement_request, server

#: Seconds for which each request occupies its slot in the busy pool.
SERVICE_SECONDS = 1.0


def busy_pool(backlog: int, account: str = "school") -> EnginePool:
    """Returns a pool of one engine that is in use for 20 s, with a backlog of one account."""
    pool = pool_of(1)
    interval = SERVICE_SECONDS / COSTS.slots
    running: list[str] = []
    for number in range(int(20.0 / interval)):
        now = number * interval
        if len(running) == COSTS.slots:
            pool.record_finished(running.pop(0), AttemptOutcome.SERVED, now)
        pool.submit(placement_request(f"r{number}", 500, account=account), now)
        (decision,) = pool.decide(now)
        assert isinstance(decision, Grant), decision
        pool.record_first_event(decision.ask_id, now)
        running.append(decision.ask_id)
    for number in range(backlog):
        request = placement_request(f"waits-{number}", 500, account=account, time_left=100.0)
        pool.submit(request, 20.0)
    assert not pool.decide(20.0)
    return pool


def refusals(pool: EnginePool, *requests: PlacementRequest) -> list[PlacementRefusal]:
    """Returns the refusals of requests that arrive one after the other at 20 s."""
    decisions = []
    for request in requests:
        pool.submit(request, 20.0)
        decisions += pool.decide(20.0)
    return [item for item in decisions if isinstance(item, PlacementRefusal)]


class RefusalTest(testtools.TestCase):
    #: More than slots that become free in the 10 s that a request has.
    BACKLOG = COSTS.slots * 20

    def test_a_request_that_cannot_be_served_is_refused_at_once(self) -> None:
        (refusal,) = refusals(
            busy_pool(self.BACKLOG), placement_request("new", 500, account="school")
        )
        self.assertEqual((RefusalReason.BACKLOG, "new"), (refusal.reason, refusal.ask_id))

    def test_a_request_that_may_be_served_waits(self) -> None:
        pool = busy_pool(COSTS.slots * 9)
        self.assertEqual([], refusals(pool, placement_request("new", 500, account="school")))

    def test_another_account_does_not_wait_behind_the_backlog(self) -> None:
        pool = busy_pool(self.BACKLOG)
        self.assertEqual([], refusals(pool, placement_request("new", 500, account="other")))

    def test_requests_without_an_account_are_not_refused(self) -> None:
        pool = busy_pool(self.BACKLOG, account="")
        self.assertEqual([], refusals(pool, placement_request("new", 500)))

    def test_a_request_that_may_have_run_is_not_refused(self) -> None:
        pool = busy_pool(self.BACKLOG)
        resumed = placement_request("resumed", 500, account="school", resumed=True)
        again = placement_request("again", 500, account="school", excluded=("engines-9",))
        self.assertEqual([], refusals(pool, resumed, again))

    def test_no_request_is_refused_while_a_slot_is_free(self) -> None:
        pool = busy_pool(self.BACKLOG)
        pool.set_servers([server(0), server(1)])
        self.assertEqual([], refusals(pool, placement_request("new", 500, account="school")))

    def test_no_request_is_refused_just_after_a_takeover(self) -> None:
        pool = busy_pool(self.BACKLOG)
        pool.restart_estimates(20.0)
        self.assertEqual([], refusals(pool, placement_request("new", 500, account="school")))

    def test_a_request_that_is_registered_again_counts_once(self) -> None:
        pool, request = pool_of(1), placement_request("one", 500, account="school")
        pool.submit(request, 0.0)
        (grant,) = pool.decide(0.0)
        assert isinstance(grant, Grant)
        pool.register(request, grant, True, 1.0)
        pool.record_finished("one", AttemptOutcome.SERVED, 2.0)
        (record,) = pool._admission._kinds.values()
        self.assertEqual(0.0, record.rate._placed_work)

    def test_no_request_is_refused_while_the_rate_is_unknown(self) -> None:
        pool = pool_of(1)
        for number in range(COSTS.slots * 20):
            pool.submit(placement_request(f"r{number}", 500, account="school"), 0.0)
        self.assertEqual([], [d for d in pool.decide(0.0) if not isinstance(d, Grant)])

    def test_long_running_requests_that_began_together_count_as_service(self) -> None:
        """Guards against an estimate of no service while all slots will be free soon."""
        pool = pool_of(4)
        names = [f"r{number}" for number in range(4 * COSTS.slots)]
        for name in names:
            pool.submit(placement_request(name, 500, account="school", time_left=60.0), 0.0)
            pool.decide(0.0)
            pool.record_first_event(name, 0.0)
        for name in names[:MIN_ENDED_REQUESTS]:
            pool.record_finished(name, AttemptOutcome.SERVED, 6.0)
        later = [f"late-{number}" for number in range(COSTS.slots * 6)]
        for name in later:
            pool.submit(placement_request(name, 500, account="school"), WINDOW_SECONDS + 1.0)
            decisions = pool.decide(WINDOW_SECONDS + 1.0)
            self.assertEqual([], [d for d in decisions if isinstance(d, PlacementRefusal)])


class RetryAfterTest(testtools.TestCase):
    def test_refused_callers_return_one_after_the_other(self) -> None:
        requests = [placement_request(f"n{number}", 500, account="school") for number in range(20)]
        refused = refusals(busy_pool(RefusalTest.BACKLOG), *requests)
        times = [refusal.retry_after for refusal in refused if refusal.retry_after is not None]
        self.assertEqual(20, len(set(times)), str(times))
        self.assertEqual(sorted(times), times)
        self.assertTrue(times[-1] - times[0] <= MAX_RETURN_SPREAD)

    def test_many_refused_callers_do_not_return_together(self) -> None:
        requests = [placement_request(f"n{number}", 500, account="school") for number in range(200)]
        refused = refusals(busy_pool(RefusalTest.BACKLOG), *requests)
        returns = Counter(int(refusal.retry_after or 0.0) for refusal in refused)
        most = 2 * len(requests) / MAX_RETURN_SPREAD
        self.assertTrue(max(returns.values()) <= most, str(returns))

    def test_callers_return_when_there_is_room(self) -> None:
        """The backlog takes 20 s, and a request may wait for 10 s."""
        new = placement_request("new", 500, account="school")
        (refusal,) = refusals(busy_pool(RefusalTest.BACKLOG), new)
        assert refusal.retry_after is not None
        self.assertTrue(9.0 <= refusal.retry_after <= 13.0, refusal.retry_after)


class ResponseTest(testtools.TestCase):
    def test_the_response_says_that_the_request_has_not_run_and_when_to_return(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async def refuse(request: PlacementRequest) -> PlacementDecision:
                return PlacementRefusal(request.id, RefusalReason.BACKLOG, 7.0)

            self.patch(relay.process._dispatcher, "request_placement", refuse)
            response = await relay.send_request("/quick/x")
            error = json.loads(response.body)["error"]
            self.assertEqual(
                (503, 2014, "not_run"), (response.status, error["code"], error["run_state"])
            )
            self.assertEqual(7.0, float(response.headers["retry-after"]))

        run_scenario(scenario, complete_stream)


class OverloadReplayTest(testtools.TestCase):
    """One account sends ten times the requests of 23 others, together 2.5 times the capacity."""

    def test_refusals_take_no_service_from_any_account(self) -> None:
        """Each account is served as often as if its requests waited until their deadline."""
        arrivals = many_accounts(2.5, 30.0)
        replay = Replay(pool_of(), arrivals).run(45.0)
        shares = replay.served_shares()
        self.assertTrue(count_at_once(replay) >= 100, count_at_once(replay))
        self.patch(BacklogAdmission, "refusal", lambda admission, waiting, now: None)
        without = Replay(pool_of(), arrivals).run(45.0).served_shares()
        lost = {account: without[account] - share for account, share in shares.items()}
        self.assertTrue(max(lost.values()) <= 0.05, lost)

    def test_refusals_leave_no_engine_idle(self) -> None:
        arrivals = many_accounts(2.5, 30.0)
        replay = Replay(pool_of(), arrivals, repeat_at_once("large")).run(45.0)
        served = len(replay.granted)
        self.patch(BacklogAdmission, "refusal", lambda admission, waiting, now: None)
        without = len(Replay(pool_of(), arrivals).run(45.0).granted)
        self.assertTrue(served >= 0.98 * without, f"{served} served, {without} without refusals")


class LostEnginesTest(testtools.TestCase):
    """A third of the engines is lost while requests wait."""

    def test_requests_without_room_are_refused_at_once(self) -> None:
        pool = pool_of(6)
        arrivals = [
            arrival
            for number in range(24)
            for arrival in arrivals_of(f"a{number}", CAPACITY * 2.5 / 24, 40.0)
        ]
        replay = Replay(pool, arrivals, at={15.0: lambda now: lose_engines(pool, now)}).run(50.0)
        late = [
            waited
            for refusal, waited in replay.refused.values()
            if replay.submitted[refusal.ask_id][0] >= 25.0
        ]
        at_once = sum(waited == 0.0 for waited in late) / len(late)
        reasons = Counter(refusal.reason.name for refusal, _ in replay.refused.values())
        self.assertTrue(at_once >= 0.5, f"{at_once:.3f} of {len(late)} at once; {reasons}")


def lose_engines(pool: EnginePool, now: float) -> None:
    """Removes the last two of six engines; their requests fail."""
    lost = {"engines-4", "engines-5"}
    for ask_id, placed in list(pool._placed.items()):
        if lost.intersection(placed.engine_ids):
            pool.record_finished(ask_id, AttemptOutcome.FAILED, now)
    pool.set_servers([server(number) for number in range(4)])


def count_at_once(replay: Replay) -> int:
    """Returns how many requests were refused at their arrival."""
    return sum(waited == 0.0 for _, waited in replay.refused.values())
