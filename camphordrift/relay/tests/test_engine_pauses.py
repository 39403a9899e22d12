"""Tests of placements while engines want no requests from some of the VMs."""

from dataclasses import replace
from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.experiments.placement_costs import count_calls
from camphordrift.relay import BackendServer, ServerState
from camphordrift.relay.scheduling._engine_pool import DEFAULT_RETRY_AFTER, EnginePool
from camphordrift.relay.scheduling._engine_scheduler import EngineScheduler
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    RefusalReason,
)
from camphordrift.relay.servers._server_notices import ServerPause, ServerStart, start_of
from camphordrift.relay.tests.samples import CONFIGURATION, COSTS, placement_request, server


def pool_of(*engines: BackendServer) -> EnginePool:
    pool = EnginePool(COSTS)
    pool.set_servers(engines)
    return pool


def pause_of(number: int, seconds: float) -> ServerPause:
    return ServerPause(start_of(server(number)), seconds)


def decide(pool: EnginePool, now: float) -> Optional[PlacementDecision]:
    decisions = pool.decide(now)
    return decisions[0] if decisions else None


class EnginePauseTest(testtools.TestCase):
    def test_a_pausing_engine_gets_no_request(self) -> None:
        pool = pool_of(server(0), server(1))
        for number in range(6):
            request = placement_request(f"r{number}", server_pauses=(pause_of(0, 2.0),))
            pool.submit(request, 0.0)
        granted = [d.server.id for d in pool.decide(0.0) if isinstance(d, Grant)]
        self.assertEqual({"engines-1"}, set(granted))

    def test_a_pausing_engine_computes_no_part_of_a_prompt(self) -> None:
        pool = pool_of(*map(server, range(8)))
        pauses = (pause_of(0, 2.0), pause_of(1, 2.0))
        pool.submit(placement_request("long", 154_000, server_pauses=pauses), 0.0)
        grant = decide(pool, 0.0)
        assert isinstance(grant, Grant)
        engines = {grant.server.id, *(helper.id for helper in grant.helpers)}
        self.assertEqual(set(), engines & {"engines-0", "engines-1"})

    def test_other_vms_use_the_engine(self) -> None:
        pool = pool_of(server(0))
        pool.submit(placement_request("own", server_pauses=(pause_of(0, 2.0),)), 0.0)
        pool.submit(placement_request("other"), 0.0)
        own, other = sorted(pool.decide(0.0), key=lambda decision: decision.ask_id, reverse=True)
        self.assertIsInstance(own, PlacementRefusal)
        self.assertIsInstance(other, Grant)

    def test_a_request_is_refused_for_the_shortest_pause_if_all_engines_pause(self) -> None:
        draining = replace(server(2), state=ServerState.LEAVING)
        pool = pool_of(server(0), server(1), draining)
        pauses = (pause_of(0, 3.0), pause_of(1, 2.0))
        pool.submit(placement_request("r", server_pauses=pauses), 0.0)
        refusal = decide(pool, 0.0)
        assert isinstance(refusal, PlacementRefusal)
        self.assertEqual((RefusalReason.NO_ENGINE, 2.0), (refusal.reason, refusal.retry_after))

    def test_a_pause_is_not_stated_if_an_engine_is_excluded_for_another_reason(self) -> None:
        pool = pool_of(server(0), server(1))
        request = placement_request(
            "r", excluded=("engines-1",), server_pauses=(pause_of(0, 30.0),)
        )
        pool.submit(request, 0.0)
        refusal = decide(pool, 0.0)
        assert isinstance(refusal, PlacementRefusal)
        self.assertEqual(DEFAULT_RETRY_AFTER, refusal.retry_after)

    def test_a_waiting_request_is_placed_after_the_pause(self) -> None:
        # The second engine is busy, so that the request waits.
        pool = pool_of(server(0), server(1))
        for number in range(COSTS.slots):
            pauses = (pause_of(0, 60.0),)
            pool.submit(placement_request(f"r{number}", server_pauses=pauses), number * 0.1)
            self.assertIsInstance(decide(pool, number * 0.1), Grant)
            pool.record_first_event(f"r{number}", number * 0.1 + 0.05)
        pool.submit(placement_request("waiting", server_pauses=(pause_of(0, 2.0),)), 1.0)
        self.assertIsNone(decide(pool, 2.9))
        grant = decide(pool, 3.1)
        assert isinstance(grant, Grant)
        self.assertEqual("engines-0", grant.server.id)

    def test_a_later_start_of_the_engine_is_used(self) -> None:
        pool = pool_of(replace(server(0), started_ms=7))
        pause = ServerPause(ServerStart("engines-0", 6), 2.0)
        pool.submit(placement_request("r", server_pauses=(pause,)), 0.0)
        self.assertIsInstance(decide(pool, 0.0), Grant)

    def test_a_request_whose_preferred_engine_pauses_is_refused_at_once(self) -> None:
        pool = pool_of(server(0), server(1))
        request = placement_request("r", preferred="engines-0", server_pauses=(pause_of(0, 2.0),))
        pool.submit(request, 0.0)
        self.assertIsInstance(decide(pool, 0.0), PlacementRefusal)

    def test_a_decision_with_a_backlog_is_cheap(self) -> None:
        """Guards against requests that are each planned again because some engines pause."""
        pauses = tuple(pause_of(number, 60.0) for number in range(5))
        with_pauses, without = _calls_of_a_round(pauses), _calls_of_a_round(())
        self.assertTrue(with_pauses <= without * 1.5, (with_pauses, without))

    @settings(derandomize=True)
    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.floats(0.0, 3.0), st.floats(0.0, 1.0)),
            max_size=40,
        )
    )
    def test_no_engine_is_granted_during_its_pause(
        self, steps: list[tuple[int, float, float]]
    ) -> None:
        pool, now = pool_of(*map(server, range(4))), 0.0
        paused_until: dict[str, float] = {}
        for number, (engine, seconds, wait) in enumerate(steps):
            now += wait
            known = tuple(
                ServerPause(ServerStart(server_id, 0), until - now)
                for server_id, until in paused_until.items()
                if until > now
            )
            pool.submit(placement_request(f"r{number}", server_pauses=known), now)
            # The pause of the engine becomes known while the request waits.
            pause = pause_of(engine, seconds)
            pool.record_pause([f"r{item}" for item in range(number + 1)], pause, now)
            name = pause.start.server_id
            paused_until[name] = max(now + seconds, paused_until.get(name, 0.0))
            for decision in pool.decide(now):
                if isinstance(decision, Grant):
                    self.assertTrue(paused_until.get(decision.server.id, 0.0) <= now + 1e-9)
                    pool.record_finished(decision.ask_id, AttemptOutcome.SERVED, now)
                else:
                    usable = [key for key in map(server, range(4)) if key.id not in paused_until]
                    self.assertEqual([], usable)


def _calls_of_a_round(pauses: tuple[ServerPause, ...]) -> float:
    """Returns how many functions are called for each waiting request while none can be placed."""
    pool = pool_of(*map(server, range(23)))
    for number in range(300):
        request = placement_request(f"r{number}", objective=0.5, time_left=3.0)
        pool.submit(replace(request, server_pauses=pauses), 0.0)
    pool.decide(0.0)
    assert pool.waiting_count >= 150
    return count_calls(lambda: pool.decide(0.01)) / pool.waiting_count


class SchedulerPauseTest(testtools.TestCase):
    def test_a_pause_applies_to_the_requests_of_its_vm_that_wait(self) -> None:
        decisions: list[PlacementDecision] = []
        scheduler = EngineScheduler("vm-1", lambda: 10.0)
        scheduler.set_services(CONFIGURATION.services.values())
        scheduler.set_servers([server(0)])
        scheduler.suspend_decisions(1.0)
        for owner in ("vm-1", "vm-2"):
            scheduler.submit(owner, placement_request(owner), decisions.append)
        scheduler._suspended_until = 0.0
        scheduler.record_pause("vm-2", "engines", pause_of(0, 2.0))
        by_owner = {decision.ask_id: decision for decision in decisions}
        self.assertIsInstance(by_owner["vm-1"], Grant)
        self.assertIsInstance(by_owner["vm-2"], PlacementRefusal)
        scheduler.record_pause("vm-2", "unknown", pause_of(0, 2.0))
