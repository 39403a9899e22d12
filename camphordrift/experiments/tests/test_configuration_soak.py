"""Short runs of the configuration soak test; it must detect keepers that lack a guard."""

from collections.abc import Iterable
from typing import Any

import testtools
import trio
from returns import result

from camphordrift.configuration import (
    ConfigurationKeeper,
    ConfigurationRecord,
    ConfigurationReplica,
    ConfigurationState,
    NotPublished,
    PeerStateOutcome,
    PublishResult,
    encode_record,
)
from camphordrift.configuration._publishing import publish_result_of, result_without_decision
from camphordrift.experiments._configuration_fleet import KeeperFactory
from camphordrift.experiments._configuration_soak import run_configuration_soak
from camphordrift.platform_log import (
    AppendUnsureError,
    LogUnavailableError,
    RecordEnvelope,
    RecordId,
    encode_envelope,
    new_record_id,
)
from camphordrift.results import Failure, ResultCode

#: Seed of a run in which a VM of an older schema became ready before it had a peer's state.
_EARLY_READY_SEED = 59


class ConfigurationSoakTest(testtools.TestCase):
    def test_invariants_hold_in_short_runs(self) -> None:
        for seed in (1, 2, _EARLY_READY_SEED):
            report = run_configuration_soak(seed)
            self.assertTrue(report.accepted > 0, str(seed))


class _ReplicaWithoutOffsetCheck(ConfigurationReplica):
    """Adopts the state of any peer, even an older one."""

    def _on_peer_checkpoint(self, state: ConfigurationState) -> PeerStateOutcome:
        self._state = state
        self._snapshot = None
        return PeerStateOutcome.ADOPTED


class _KeeperWithoutOffsetCheck(ConfigurationKeeper):
    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._replica = _ReplicaWithoutOffsetCheck(arguments[-1])


class _KeeperWithNewIdOnRetry(ConfigurationKeeper):
    """Retries an append whose response was lost under a new record id."""

    async def _append_and_wait(
        self, record: ConfigurationRecord, record_id: RecordId, deadline: float
    ) -> PublishResult:
        offset = None
        while offset is None and trio.current_time() < deadline:
            record_id = new_record_id()
            envelope = RecordEnvelope(record_id, "vm", encode_record(record))
            try:
                offset = await self._follower._transport.append(
                    self._settings.stream, [encode_envelope(envelope)]
                )
            except AppendUnsureError:
                continue
            except LogUnavailableError:
                return result.Failure(NotPublished(Failure(ResultCode.LOG_UNAVAILABLE, "down")))
        decision = await self._wait_for_decision(record_id, deadline)
        if decision is not None:
            return publish_result_of(decision, offset)
        return result_without_decision(self._replica.state, record, record_id.hex(), offset)


class _KeeperReadyImmediately(ConfigurationKeeper):
    """Becomes ready with the first state it has."""

    def _is_current(self) -> bool:
        return True


class MissingGuardTest(testtools.TestCase):
    def test_keepers_without_a_guard_are_detected(self) -> None:
        first_seeds = range(1, 11)
        cases: tuple[tuple[KeeperFactory, Iterable[int], str], ...] = (
            (_KeeperWithoutOffsetCheck, first_seeds, "went back from version"),
            (_KeeperWithNewIdOnRetry, first_seeds, "an accepted record was reported as refused"),
            (_KeeperReadyImmediately, (_EARLY_READY_SEED,), "became ready with version"),
        )
        for factory, seeds, expected in cases:
            found = _first_assertion_message(factory, seeds)
            self.assertIn(expected, found, str(factory))


def _first_assertion_message(factory: KeeperFactory, seeds: Iterable[int]) -> str:
    for seed in seeds:
        try:
            run_configuration_soak(seed, factory)
        except BaseExceptionGroup as group:
            return _assertion_message(group)
    return "no invariant was broken"


def _assertion_message(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if not isinstance(error, AssertionError):
        raise error
    return str(error)
