"""Appends claims to the log and waits for the decisions on them.

The decision on a claim is whether it is granted. It follows from the order of the records in the
log, so every VM makes the same one.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from returns import result

from camphordrift.calls._attempt import AttemptStage, ClaimAttempt
from camphordrift.calls._heartbeats import append_heartbeats
from camphordrift.calls._key_state import KeyState
from camphordrift.calls._keys import CallKey
from camphordrift.calls._ledger import ClaimLedger
from camphordrift.calls._partitions import CLAIM_PARTITION_COUNT, claim_stream, partition_of_key
from camphordrift.calls._record_codec import encode_call_record
from camphordrift.calls._settings import CallSettings
from camphordrift.platform_log import LogRecord
from camphordrift.record_log import RecordLog
from camphordrift.results import Failure, ResultCode, RunState

#: Seconds after which a caller whose claim could not be made should retry.
CLAIM_RETRY_SECONDS = 2.0


def claim_failure(detail: str) -> Failure:
    """Returns the failure of a call whose claim could not be made; the call was not sent."""
    return Failure(ResultCode.CLAIM_NOT_MADE, detail, retry_after_seconds=CLAIM_RETRY_SECONDS)


@dataclass
class _PendingClaim:
    """An attempt whose claim is being appended or awaits its decision."""

    #: The attempt that made the claim.
    attempt: ClaimAttempt

    #: Set when the decision is known or the append failed.
    decided: trio.Event


class ClaimLogClient:
    """Follows the claims streams, appends claims and passes the decisions to their attempts."""

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
        self._pending: dict[str, _PendingClaim] = {}
        self._appended = 0

    @property
    def ledgers(self) -> tuple[ClaimLedger, ...]:
        """The ledgers of all partitions, in order of their numbers."""
        return self._ledgers

    @property
    def appended_count(self) -> int:
        """Number of claims sent to the log since the start of the process."""
        return self._appended

    async def run(self) -> None:
        """Follows the claims streams and appends heartbeat records, until cancelled."""
        async with trio.open_nursery() as nursery:
            for number, ledger in enumerate(self._ledgers):
                stream = claim_stream(number)
                nursery.start_soon(
                    self._log.follow, stream, partial(self._apply_record, ledger), ledger.record_gap
                )
                nursery.start_soon(
                    append_heartbeats,
                    self._log,
                    stream,
                    ledger,
                    self._settings.heartbeat_interval_seconds,
                    self._wall_clock,
                    self._jitter,
                )

    def look_up(self, key: CallKey, body_digest: bytes) -> KeyState:
        """Returns the state of a key after the log records applied so far."""
        ledger = self._ledgers[partition_of_key(key)]
        return ledger.look_up(key, body_digest, self._wall_clock())

    async def append_and_wait(self, attempt: ClaimAttempt, wait_seconds: float) -> Failure:
        """Appends the claim and waits for the decision, which sets the attempt's stage.

        Returns the failure that the caller gets if there is no decision within ``wait_seconds``.
        """
        pending = _PendingClaim(attempt=attempt, decided=trio.Event())
        failures = [
            claim_failure("the claim was not read back from the log in time; the call was not sent")
        ]
        self._pending[attempt.attempt_id] = pending
        try:
            with trio.move_on_after(wait_seconds):
                async with trio.open_nursery() as nursery:
                    deadline = trio.current_time() + wait_seconds
                    nursery.start_soon(self._append, pending, deadline, failures)
                    await pending.decided.wait()
                    nursery.cancel_scope.cancel()
        finally:
            del self._pending[attempt.attempt_id]
        return failures[-1]

    async def _append(
        self, pending: _PendingClaim, deadline: float, failures: list[Failure]
    ) -> None:
        claim = pending.attempt.claim
        stream = claim_stream(partition_of_key(claim.key))
        self._appended += 1
        appended = await self._log.append(stream, encode_call_record(claim), deadline)
        match appended:
            case result.Failure(failure):
                failures.append(claim_failure(f"{failure.detail}; the call was not sent"))
                if failure.run_state is RunState.NOT_RUN:
                    pending.attempt.record_not_appended()
                pending.decided.set()

    def _apply_record(self, ledger: ClaimLedger, record: LogRecord) -> None:
        decision = ledger.apply(record)
        if decision is None:
            return
        pending = self._pending.get(decision.attempt_id)
        if pending is not None and pending.attempt.stage is AttemptStage.CLAIMING:
            pending.attempt.apply_decision(decision)
            pending.decided.set()
