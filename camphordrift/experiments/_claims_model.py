"""Model of VMs that claim keys over a log with delayed appends, VM crashes and retention."""

import random
from collections import Counter
from dataclasses import dataclass, field

from returns import result

from camphordrift.calls import (
    CallKey,
    Claimant,
    ClaimAttempt,
    ClaimLedger,
    ClaimRecord,
    KeyFree,
    VoidRecord,
    encode_call_record,
    new_claim_attempt,
)
from camphordrift.clocks import ClockReading
from camphordrift.experiments._call_service import WALL_START, call_key
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.platform_log import LogRecord

#: Maximum age of accepted keys, in seconds; longer than the retention of the log.
KEY_MAX_AGE_SECONDS = 120.0

#: Retention of the log, in seconds.
RETENTION_SECONDS = 60.0

#: Body digest of every request.
_DIGEST = b"booking"


@dataclass
class ModelVm:
    """One VM process."""

    #: State that it built from the log.
    ledger: ClaimLedger

    #: All its claim attempts, including ended ones.
    attempts: list[ClaimAttempt] = field(default_factory=list)


class ClaimsModel:
    """Simulates random steps of three VMs and counts the runs of each key.

    Tests replace guards of the product by broken ones: ``ledger_class`` replaces the ledger, and
    with ``checks_only`` a VM runs a call after the lookup, without a claim.
    """

    def __init__(
        self, seed: int, ledger_class: type = ClaimLedger, checks_only: bool = False
    ) -> None:
        self.runs: Counter[CallKey] = Counter()
        self._generator = random.Random(seed)
        self._ledger_class = ledger_class
        self._checks_only = checks_only
        self._now = 0.0
        self._log: list[LogRecord] = []
        self._end_offset = 0
        self._pending_appends: list[ClaimRecord | VoidRecord] = []
        self._vms = [self._new_vm() for _ in range(3)]
        self._keys: list[CallKey] = []

    def simulate(self, steps: int = 400) -> int:
        """Simulates random steps; returns the largest number of runs of one key."""
        actions = (
            (self._append_claim, 6),
            (self._complete_append, 8),
            (self._read_log, 8),
            (self._dispatch, 6),
            (self._abandon_attempts, 1),
            (self._restart_vm, 1),
            (self._advance_time, 2),
        )
        choices = [action for action, weight in actions for _ in range(weight)]
        for _ in range(steps):
            self._generator.choice(choices)()
        return max(self.runs.values(), default=0)

    def _new_vm(self) -> ModelVm:
        return ModelVm(ledger=self._ledger_class(KEY_MAX_AGE_SECONDS))

    def _clocks(self) -> ClockReading:
        return ClockReading(monotonic=self._now, wall=WALL_START + self._now)

    def _append_claim(self) -> None:
        if not self._keys or self._generator.random() < 0.3:
            self._keys.append(call_key(WALL_START + self._now, tail=len(self._keys)))
        key = self._generator.choice(self._keys[-4:])
        vm = self._generator.choice(self._vms)
        state = vm.ledger.look_up(key, _DIGEST, WALL_START + self._now)
        if not isinstance(state, KeyFree):
            return
        attempt = new_claim_attempt(
            key, _DIGEST, Claimant(VmId("vm"), Incarnation(1)), self._clocks(), 40.0, 5.0
        )
        if self._checks_only:
            self.runs[key] += 1
        vm.attempts.append(attempt)
        self._pending_appends.append(attempt.claim)

    def _complete_append(self) -> None:
        """Completes a random pending append; appends may be reordered and delayed."""
        if not self._pending_appends:
            return
        record = self._pending_appends.pop(self._generator.randrange(len(self._pending_appends)))
        appended = LogRecord(self._end_offset, encode_call_record(record), WALL_START + self._now)
        self._log.append(appended)
        self._end_offset += 1

    def _read_log(self) -> None:
        vm = self._generator.choice(self._vms)
        first_offset = self._log[0].offset if self._log else self._end_offset
        if vm.ledger.next_offset < first_offset:
            vm.ledger.record_gap()
        for record in self._log:
            decision = vm.ledger.apply(record)
            if decision is None:
                continue
            for attempt in vm.attempts:
                if attempt.attempt_id == decision.attempt_id:
                    attempt.apply_decision(decision)
        vm.ledger.check_invariants()

    def _dispatch(self) -> None:
        vm = self._generator.choice(self._vms)
        for attempt in vm.attempts:
            if isinstance(attempt.authorize_dispatch(self._clocks()), result.Success):
                self.runs[attempt.claim.key] += 1

    def _abandon_attempts(self) -> None:
        vm = self._generator.choice(self._vms)
        for attempt in vm.attempts:
            if attempt.stage.value in ("claiming", "granted"):
                void = attempt.abandon()
                assert void is not None
                self._pending_appends.append(void)

    def _restart_vm(self) -> None:
        self._vms[self._generator.randrange(len(self._vms))] = self._new_vm()

    def _advance_time(self) -> None:
        self._now += self._generator.choice((0.1, 1.0, 5.0, 30.0))
        oldest = WALL_START + self._now - RETENTION_SECONDS
        self._log = [record for record in self._log if record.appended_at >= oldest]
