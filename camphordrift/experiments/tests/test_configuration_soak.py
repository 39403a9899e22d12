"""Short seeded runs of the configuration, and guards left out that the runs must notice."""

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

#: A run in which an older program began to serve before it had heard of its peers.
_FORMER_FAILURE = 59


class ConfigurationSoakTest(testtools.TestCase):
    def test_short_runs_keep_the_invariants(self) -> None:
        for seed in (1, 2, _FORMER_FAILURE):
            report = run_configuration_soak(seed)
            self.assertTrue(report.accepted > 0, str(seed))


class _ReplicaWithoutOffsetCheck(ConfigurationReplica):
    """Takes any peer's state, however old."""

    def _on_peer_checkpoint(self, state: ConfigurationState) -> PeerStateOutcome:
        self._state = state
        self._snapshot = None
        return PeerStateOutcome.ADOPTED


class _KeeperWithoutOffsetCheck(ConfigurationKeeper):
    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._replica = _ReplicaWithoutOffsetCheck(arguments[-1])


class _KeeperThatAppendsAgain(ConfigurationKeeper):
    """Answers a lost answer with a second append under a new id."""

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
        verdict = await self._wait_for_decision(record_id, deadline)
        if verdict is not None:
            return publish_result_of(verdict, offset)
        return result_without_decision(self._replica.state, record, record_id.hex(), offset)


class _KeeperReadyAtOnce(ConfigurationKeeper):
    """Serves with whatever it has first."""

    def _is_current(self) -> bool:
        return True


class BrokenGuardsTest(testtools.TestCase):
    def test_a_guard_left_out_is_noticed(self) -> None:
        first_seeds = range(1, 11)
        cases: tuple[tuple[KeeperFactory, Iterable[int], str], ...] = (
            (_KeeperWithoutOffsetCheck, first_seeds, "went back from version"),
            (_KeeperThatAppendsAgain, first_seeds, "told wrongly of a refusal"),
            (_KeeperReadyAtOnce, (_FORMER_FAILURE,), "began with version"),
        )
        for factory, seeds, expected in cases:
            found = _first_broken_invariant(factory, seeds)
            self.assertIn(expected, found, str(factory))


def _first_broken_invariant(factory: KeeperFactory, seeds: Iterable[int]) -> str:
    for seed in seeds:
        try:
            run_configuration_soak(seed, factory)
        except BaseExceptionGroup as group:
            return _leaf(group)
    return "nothing was noticed"


def _leaf(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if not isinstance(error, AssertionError):
        raise error
    return str(error)
