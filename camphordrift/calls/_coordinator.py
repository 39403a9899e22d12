"""Runs calls: claims their keys, dispatches them, and records their outcomes."""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Optional

import trio
from returns import result

from camphordrift.calls._attempt import AttemptStage, ClaimAttempt, new_claim_attempt
from camphordrift.calls._background import BackgroundAppender
from camphordrift.calls._claim_log_client import ClaimLogClient, claim_failure
from camphordrift.calls._key_state import (
    KeyBodyMismatch,
    KeyFinished,
    KeyFree,
    KeyRunning,
    KeyState,
    failure_for_key_state,
)
from camphordrift.calls._keys import CallKey, parse_call_key
from camphordrift.calls._messages import (
    Dispatch,
    DispatchAnswered,
    DispatchReply,
    Repeatability,
    ServiceCall,
    digest_of_call,
    outcome_from_response,
)
from camphordrift.calls._outcomes import outcome_record, unknown_outcome_record
from camphordrift.calls._recorded_outcomes import RecordedOutcomes
from camphordrift.calls._records import Claimant, OutcomeRecord, VoidRecord
from camphordrift.calls._sending import (
    CallResult,
    result_of_reply,
    send_claimed,
    send_unclaimed,
    was_sent,
)
from camphordrift.calls._settings import CallSettings
from camphordrift.calls._state import CallCounts, CallsState
from camphordrift.calls._state_dump import calls_in_flight, partition_states
from camphordrift.clocks import ClockReading
from camphordrift.record_log import RecordLog
from camphordrift.results import Failure, ResultCode


class CallCoordinator:
    """Runs every non-repeatable call with a key at most once, over all VMs.

    It appends a claim, a log record that reserves the key for one attempt, and dispatches the call
    if the claim is granted. The result is stored as an outcome record. A claim that was not used is
    cancelled by a void record.

    Start :meth:`run` in a nursery first; it follows the claims and appends outcomes. Before a
    graceful shutdown, wait for :meth:`flush`.

    Example::

        coordinator = CallCoordinator(claimant, log, CallSettings(), time.time, random.Random())
        nursery.start_soon(coordinator.run)
        response = await coordinator.execute(call, dispatch)
    """

    def __init__(
        self,
        claimant: Claimant,
        log: RecordLog,
        settings: CallSettings,
        wall_clock: Callable[[], float],
        jitter: random.Random,
    ) -> None:
        self._claimant = claimant
        self._settings = settings
        self._wall_clock = wall_clock
        self._claim_log = ClaimLogClient(log, settings, wall_clock, jitter)
        self._background = BackgroundAppender(log, jitter)
        self._recorded_outcomes = RecordedOutcomes(log, settings.claim_wait_seconds)
        self._in_flight: dict[CallKey, ClaimAttempt] = {}
        self._counts = CallCounts()

    @property
    def pending_records(self) -> int:
        """Number of outcome and void records that the log has not stored yet."""
        return self._background.pending_count

    async def run(self) -> None:
        """Follows the claims streams and appends outcome and void records, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._background.run)
            nursery.start_soon(self._claim_log.run)

    async def execute(self, call: ServiceCall, dispatch: Dispatch) -> CallResult:
        """Runs a call, or returns the recorded response of an earlier call with the same key.

        A non-repeatable call with a key never runs twice; once it is dispatched, it continues until
        its response or its timeout, even if the caller disconnects. Repeatable calls are sent
        without a claim.
        """
        if call.repeatability is Repeatability.REPEATABLE:
            return await send_unclaimed(call, dispatch, self._read_clocks)
        if call.key is None:
            return await self._execute_without_key(call, dispatch)
        match parse_call_key(call.account_id, call.key):
            case result.Success(key):
                return await self._execute_keyed(call, key, dispatch)
            case result.Failure(failure):
                return self._refuse(failure)
        raise AssertionError("a result is a success or a failure")

    async def flush(self) -> None:
        """Waits until the log has stored all outcome and void records, for a graceful shutdown."""
        await self._background.wait_until_empty()

    def look_up(self, key: CallKey, body_digest: bytes) -> KeyState:
        """Returns the state of a key after the log records applied so far."""
        return self._claim_log.look_up(key, body_digest)

    def dump_state(self) -> CallsState:
        """Returns the state of calls for the state dump."""
        return CallsState(
            partitions=partition_states(self._claim_log.ledgers),
            in_flight=calls_in_flight(self._in_flight.values()),
            pending_records=self._background.pending_count,
            cached_outcome_bytes=self._recorded_outcomes.cached_bytes,
            counts=replace(self._counts, claims_appended=self._claim_log.appended_count),
        )

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the state contradicts itself."""
        for ledger in self._claim_log.ledgers:
            ledger.check_invariants()
        for key, attempt in self._in_flight.items():
            assert attempt.claim.key == key, "an in-flight attempt is stored under another key"

    async def _execute_without_key(self, call: ServiceCall, dispatch: Dispatch) -> CallResult:
        if call.repeatability is Repeatability.KEY_REQUIRED:
            detail = "this call may not be repeated and needs an idempotency key"
            return self._refuse(Failure(ResultCode.KEY_REQUIRED, detail))
        return await send_unclaimed(call, dispatch, self._read_clocks)

    async def _execute_keyed(
        self, call: ServiceCall, key: CallKey, dispatch: Dispatch
    ) -> CallResult:
        self._add_to_counts(keyed_calls=1)
        digest = digest_of_call(call)
        state = self._known_state(key, digest)
        if not isinstance(state, KeyFree):
            return await self._respond_to_state(key, state)
        if self._background.is_full:
            return self._refuse(
                claim_failure("too many outcomes are waiting to be appended to the log")
            )
        attempt = self._new_attempt(key, digest, call)
        deadline = trio.current_time() + call.remaining_seconds
        self._in_flight[key] = attempt
        try:
            return await self._run_attempt(attempt, call, dispatch, deadline)
        finally:
            del self._in_flight[key]
            self._cancel_unused_claim(attempt)

    def _known_state(self, key: CallKey, digest: bytes) -> KeyState:
        state = self._claim_log.look_up(key, digest)
        attempt = self._in_flight.get(key)
        if attempt is None or not isinstance(state, KeyFree):
            return state
        return _state_of_attempt(attempt, digest)

    def _new_attempt(self, key: CallKey, digest: bytes, call: ServiceCall) -> ClaimAttempt:
        settings = self._settings
        return new_claim_attempt(
            key=key,
            body_digest=digest,
            claimant=self._claimant,
            now=self._read_clocks(),
            dispatch_within_seconds=min(settings.dispatch_within_seconds, call.remaining_seconds),
            run_timeout_seconds=min(settings.max_run_timeout_seconds, call.remaining_seconds),
        )

    async def _run_attempt(
        self, attempt: ClaimAttempt, call: ServiceCall, dispatch: Dispatch, deadline: float
    ) -> CallResult:
        wait_seconds = min(self._settings.claim_wait_seconds, call.remaining_seconds)
        failure = await self._claim_log.append_and_wait(attempt, wait_seconds)
        match attempt.stage:
            case AttemptStage.GRANTED:
                return await self._send(attempt, call, dispatch, deadline)
            case AttemptStage.LOST:
                assert (
                    attempt.conflicting_state is not None
                ), "a lost attempt has no conflicting state"
                return await self._respond_to_state(attempt.claim.key, attempt.conflicting_state)
            case _:
                return self._refuse(failure)

    def _cancel_unused_claim(self, attempt: ClaimAttempt) -> None:
        """Cancels the claim if the call was not sent, also after a cancellation or a failure."""
        if attempt.stage in (AttemptStage.CLAIMING, AttemptStage.GRANTED):
            void = attempt.abandon()
            assert void is not None, "an unused claim needs a void record"
            self._append_in_background(void)

    async def _send(
        self, attempt: ClaimAttempt, call: ServiceCall, dispatch: Dispatch, deadline: float
    ) -> CallResult:
        reply: Optional[DispatchReply] = None
        try:
            reply = await send_claimed(attempt, call, dispatch, deadline, self._read_clocks)
        finally:
            if was_sent(attempt):
                self._record_reply(attempt, reply)
        response = result_of_reply(reply, was_sent(attempt))
        match response:
            case result.Failure(_):
                self._add_to_counts(refused=1)
        return response

    def _record_reply(self, attempt: ClaimAttempt, reply: Optional[DispatchReply]) -> None:
        self._add_to_counts(dispatched=1)
        match reply:
            case DispatchAnswered():
                outcome = outcome_from_response(reply)
                self._recorded_outcomes.put(attempt.claim.key, outcome)
                self._append_in_background(outcome_record(attempt.claim, outcome))
            case _:
                self._append_in_background(unknown_outcome_record(attempt.claim))

    def _append_in_background(self, record: OutcomeRecord | VoidRecord) -> None:
        self._background.add(record)
        self._add_to_counts(background_records=1)

    async def _respond_to_state(self, key: CallKey, state: KeyState) -> CallResult:
        match state:
            case KeyFinished():
                self._add_to_counts(repeats_answered=1)
                return result.Success(await self._recorded_outcomes.load(key, state))
            case KeyFree():
                raise AssertionError("a free key has no recorded response")
            case _:
                return self._refuse(failure_for_key_state(state))

    def _read_clocks(self) -> ClockReading:
        return ClockReading(monotonic=trio.current_time(), wall=self._wall_clock())

    def _refuse(self, failure: Failure) -> CallResult:
        self._add_to_counts(refused=1)
        return result.Failure(failure)

    def _add_to_counts(self, **increments: int) -> None:
        totals = {name: getattr(self._counts, name) + add for name, add in increments.items()}
        self._counts = replace(self._counts, **totals)


def _state_of_attempt(attempt: ClaimAttempt, digest: bytes) -> KeyState:
    """Returns the state of a key for a repeated call while an attempt of this VM is running.

    The claim may not have an offset yet, so the offset is -1 and the run has no known end.
    """
    if attempt.claim.body_digest != digest:
        return KeyBodyMismatch()
    return KeyRunning(
        attempt_id=attempt.attempt_id,
        claimant=attempt.claim.claimant,
        offset=-1,
        run_ends_at=float("inf"),
    )
