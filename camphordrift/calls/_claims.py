"""Makes claims and waits for the log's verdicts."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from returns import result

from camphordrift.calls._attempt import AttemptStage, ClaimAttempt
from camphordrift.calls._keys import CallKey
from camphordrift.calls._ledger import ClaimLedger
from camphordrift.calls._marks import keep_stream_marked
from camphordrift.calls._partitions import CLAIM_PARTITION_COUNT, claim_partition, claim_stream
from camphordrift.calls._record_codec import encode_call_record
from camphordrift.calls._settings import CallSettings
from camphordrift.calls._standing import KeyState
from camphordrift.platform_log import LogRecord
from camphordrift.record_log import RecordLog
from camphordrift.results import Failure, ResultCode, RunState

#: When a caller may ask again after a claim could not be made, in seconds.
CLAIM_RETRY_SECONDS = 2.0


def claim_not_made(detail: str) -> Failure:
    """Returns the failure of a caller whose claim could not be made; nothing was sent."""
    return Failure(ResultCode.CLAIM_NOT_MADE, detail, retry_after_seconds=CLAIM_RETRY_SECONDS)


@dataclass
class _Waiting:
    """An attempt whose claim is on its way to the log."""

    #: The attempt.
    attempt: ClaimAttempt

    #: Set when the verdict is known or the append failed.
    decided: trio.Event


class ClaimLogClient:
    """Follows the claims streams, appends claims and tells each attempt its verdict."""

    def __init__(
        self,
        log: RecordLog,
        settings: CallSettings,
        wall_clock: Callable[[], float],
        jitter: random.Random,
    ) -> None:
        self._log = log
        self._settings = settings
        self._wall_clock = wall_clock
        self._jitter = jitter
        self._ledgers = tuple(
            ClaimLedger(settings.key_max_age_seconds) for _ in range(CLAIM_PARTITION_COUNT)
        )
        self._waiting: dict[str, _Waiting] = {}
        self._appended = 0

    @property
    def ledgers(self) -> tuple[ClaimLedger, ...]:
        """The folds of all partitions."""
        return self._ledgers

    @property
    def appended_count(self) -> int:
        """Claims given to the log since the start of the process."""
        return self._appended

    async def run(self) -> None:
        """Follows the claims and keeps their streams marked, for ever."""
        async with trio.open_nursery() as nursery:
            for number, ledger in enumerate(self._ledgers):
                stream = claim_stream(number)
                nursery.start_soon(
                    self._log.follow, stream, partial(self._fold, ledger), ledger.record_gap
                )
                nursery.start_soon(
                    keep_stream_marked,
                    self._log,
                    stream,
                    ledger,
                    self._settings.heartbeat_interval_seconds,
                    self._wall_clock,
                    self._jitter,
                )

    def look_up(self, key: CallKey, body_digest: bytes) -> KeyState:
        """Tells where a key stands as far as this process has folded the log."""
        ledger = self._ledgers[claim_partition(key)]
        return ledger.look_up(key, body_digest, self._wall_clock())

    async def append_and_wait(self, attempt: ClaimAttempt, wait_seconds: float) -> Failure:
        """Appends the claim and waits; the attempt's stage then tells the verdict.

        Returns the failure to tell the caller in case there is no verdict.
        """
        waiting = _Waiting(attempt=attempt, decided=trio.Event())
        failures = [claim_not_made("the log did not show the claim in time; nothing was sent")]
        self._waiting[attempt.attempt_id] = waiting
        try:
            with trio.move_on_after(wait_seconds):
                async with trio.open_nursery() as nursery:
                    deadline = trio.current_time() + wait_seconds
                    nursery.start_soon(self._append, waiting, deadline, failures)
                    await waiting.decided.wait()
                    nursery.cancel_scope.cancel()
        finally:
            del self._waiting[attempt.attempt_id]
        return failures[-1]

    async def _append(self, waiting: _Waiting, deadline: float, failures: list[Failure]) -> None:
        claim = waiting.attempt.claim
        stream = claim_stream(claim_partition(claim.key))
        self._appended += 1
        appended = await self._log.append(stream, encode_call_record(claim), deadline)
        match appended:
            case result.Failure(failure):
                failures.append(claim_not_made(f"{failure.detail}; nothing was sent"))
                if failure.run_state is RunState.NOT_RUN:
                    waiting.attempt.note_not_appended()
                waiting.decided.set()

    def _fold(self, ledger: ClaimLedger, record: LogRecord) -> None:
        verdict = ledger.apply(record)
        if verdict is None:
            return
        waiting = self._waiting.get(verdict.attempt_id)
        if waiting is not None and waiting.attempt.stage is AttemptStage.CLAIMING:
            waiting.attempt.apply_decision(verdict)
            waiting.decided.set()
