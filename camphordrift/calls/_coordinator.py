"""Runs calls: claims their key, sends them, and records what became of them."""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Optional

import trio
from returns import result

from camphordrift.calls._attempt import AttemptStage, ClaimAttempt, new_claim_attempt
from camphordrift.calls._background import BackgroundAppender
from camphordrift.calls._claims import ClaimLogClient, claim_not_made
from camphordrift.calls._keys import CallKey, parse_call_key
from camphordrift.calls._messages import (
    Dispatch,
    DispatchAnswered,
    DispatchReply,
    Repeatability,
    ServiceCall,
    digest_of_call,
    outcome_of_answer,
)
from camphordrift.calls._outcomes import outcome_record, unknown_record
from camphordrift.calls._records import Claimant, OutcomeRecord, VoidRecord
from camphordrift.calls._repeats import RepeatAnswers
from camphordrift.calls._sending import (
    CallResult,
    result_of_reply,
    send_claimed,
    send_unclaimed,
    was_sent,
)
from camphordrift.calls._settings import CallSettings
from camphordrift.calls._standing import (
    KeyFinished,
    KeyFree,
    KeyOtherBody,
    KeyRunning,
    KeyState,
    failure_for_key_state,
)
from camphordrift.calls._state import CallCounts, CallsState
from camphordrift.calls._state_dump import calls_in_flight, partition_states
from camphordrift.clocks import TwoClocks
from camphordrift.record_log import RecordLog
from camphordrift.results import Failure, ResultCode


class CallCoordinator:
    """Runs calls that may not be repeated, at most once for each key, over all VMs.

    Start :meth:`run` in a nursery first; it follows the claims and appends outcomes. Before a
    planned stop, wait for :meth:`flush`.

    Example::

        coordinator = CallCoordinator(claimant, log, CallSettings(), time.time, random.Random())
        nursery.start_soon(coordinator.run)
        answer = await coordinator.execute(call, dispatch)
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
        self._claims = ClaimLogClient(log, settings, wall_clock, jitter)
        self._background = BackgroundAppender(log, jitter)
        self._repeats = RepeatAnswers(log, settings.claim_wait_seconds)
        self._in_flight: dict[CallKey, ClaimAttempt] = {}
        self._counts = CallCounts()

    @property
    def pending_records(self) -> int:
        """Outcomes and voids that the log has not taken yet."""
        return self._background.pending_count

    async def run(self) -> None:
        """Follows the claims and appends outcomes, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._background.run)
            nursery.start_soon(self._claims.run)

    async def execute(self, call: ServiceCall, dispatch: Dispatch) -> CallResult:
        """Runs a call, or answers a repeat of one, and never runs one key twice.

        A call that was sent goes on to its answer or its time limit even if the caller leaves.
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
        """Waits until the log has every outcome; call it before a planned stop."""
        await self._background.wait_until_empty()

    def look_up(self, key: CallKey, body_digest: bytes) -> KeyState:
        """Tells where a key stands as far as this process has folded the log."""
        return self._claims.look_up(key, body_digest)

    def dump_state(self) -> CallsState:
        """Returns what a state dump shows."""
        return CallsState(
            partitions=partition_states(self._claims.ledgers),
            in_flight=calls_in_flight(self._in_flight.values()),
            pending_records=self._background.pending_count,
            cached_outcome_bytes=self._repeats.cached_bytes,
            counts=replace(self._counts, claims_appended=self._claims.appended_count),
        )

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the state contradicts itself."""
        for ledger in self._claims.ledgers:
            ledger.check_invariants()
        for key, attempt in self._in_flight.items():
            assert attempt.claim.key == key, "an attempt is filed under another key"

    async def _execute_without_key(self, call: ServiceCall, dispatch: Dispatch) -> CallResult:
        if call.repeatability is Repeatability.KEY_REQUIRED:
            detail = "this call may not be repeated and needs an idempotency key"
            return self._refuse(Failure(ResultCode.KEY_REQUIRED, detail))
        return await send_unclaimed(call, dispatch, self._read_clocks)

    async def _execute_keyed(
        self, call: ServiceCall, key: CallKey, dispatch: Dispatch
    ) -> CallResult:
        self._count(keyed_calls=1)
        digest = digest_of_call(call)
        standing = self._known_standing(key, digest)
        if not isinstance(standing, KeyFree):
            return await self._answer_standing(key, standing)
        if self._background.is_full:
            return self._refuse(claim_not_made("too many outcomes wait for the log"))
        attempt = self._new_attempt(key, digest, call)
        deadline = trio.current_time() + call.remaining_seconds
        self._in_flight[key] = attempt
        try:
            return await self._run_attempt(attempt, call, dispatch, deadline)
        finally:
            del self._in_flight[key]
            self._give_back_unused(attempt)

    def _known_standing(self, key: CallKey, digest: bytes) -> KeyState:
        standing = self._claims.look_up(key, digest)
        attempt = self._in_flight.get(key)
        if attempt is None or not isinstance(standing, KeyFree):
            return standing
        return _standing_of_attempt(attempt, digest)

    def _new_attempt(self, key: CallKey, digest: bytes, call: ServiceCall) -> ClaimAttempt:
        settings = self._settings
        return new_claim_attempt(
            key=key,
            body_digest=digest,
            claimant=self._claimant,
            now=self._read_clocks(),
            dispatch_within_seconds=min(settings.dispatch_within_seconds, call.remaining_seconds),
            run_timeout_seconds=min(settings.longest_run_seconds, call.remaining_seconds),
        )

    async def _run_attempt(
        self, attempt: ClaimAttempt, call: ServiceCall, dispatch: Dispatch, deadline: float
    ) -> CallResult:
        wait_seconds = min(self._settings.claim_wait_seconds, call.remaining_seconds)
        failure = await self._claims.append_and_wait(attempt, wait_seconds)
        match attempt.stage:
            case AttemptStage.GRANTED:
                return await self._send(attempt, call, dispatch, deadline)
            case AttemptStage.LOST:
                assert attempt.conflicting_state is not None, "a lost attempt met nothing"
                return await self._answer_standing(attempt.claim.key, attempt.conflicting_state)
            case _:
                return self._refuse(failure)

    def _give_back_unused(self, attempt: ClaimAttempt) -> None:
        """Voids a claim that was not used, also if the caller left or the dispatch failed."""
        if attempt.stage in (AttemptStage.CLAIMING, AttemptStage.GRANTED):
            void = attempt.abandon()
            assert void is not None, "an unused claim may stand"
            self._append_later(void)

    async def _send(
        self, attempt: ClaimAttempt, call: ServiceCall, dispatch: Dispatch, deadline: float
    ) -> CallResult:
        reply: Optional[DispatchReply] = None
        try:
            reply = await send_claimed(attempt, call, dispatch, deadline, self._read_clocks)
        finally:
            if was_sent(attempt):
                self._record_reply(attempt, reply)
        answer = result_of_reply(reply, was_sent(attempt))
        match answer:
            case result.Failure(_):
                self._count(refused=1)
        return answer

    def _record_reply(self, attempt: ClaimAttempt, reply: Optional[DispatchReply]) -> None:
        self._count(dispatched=1)
        match reply:
            case DispatchAnswered():
                outcome = outcome_of_answer(reply)
                self._repeats.remember(attempt.claim.key, outcome)
                self._append_later(outcome_record(attempt.claim, outcome))
            case _:
                self._append_later(unknown_record(attempt.claim))

    def _append_later(self, record: OutcomeRecord | VoidRecord) -> None:
        self._background.add(record)
        self._count(background_records=1)

    async def _answer_standing(self, key: CallKey, standing: KeyState) -> CallResult:
        match standing:
            case KeyFinished():
                self._count(repeats_answered=1)
                return result.Success(await self._repeats.load(key, standing))
            case KeyFree():
                raise AssertionError("a free key has no answer")
            case _:
                return self._refuse(failure_for_key_state(standing))

    def _read_clocks(self) -> TwoClocks:
        return TwoClocks(monotonic=trio.current_time(), wall=self._wall_clock())

    def _refuse(self, failure: Failure) -> CallResult:
        self._count(refused=1)
        return result.Failure(failure)

    def _count(self, **increments: int) -> None:
        totals = {name: getattr(self._counts, name) + add for name, add in increments.items()}
        self._counts = replace(self._counts, **totals)


def _standing_of_attempt(attempt: ClaimAttempt, digest: bytes) -> KeyState:
    """Returns what a repeat on the same VM meets while the claim is on its way."""
    if attempt.claim.body_digest != digest:
        return KeyOtherBody()
    return KeyRunning(
        attempt_id=attempt.attempt_id,
        claimant=attempt.claim.claimant,
        offset=-1,
        run_ends_at=float("inf"),
    )
