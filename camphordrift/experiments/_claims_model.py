"""A model of VMs that claim keys over a log with late appends, deaths and retention."""

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

#: Keys are refused from this age on, in seconds; longer than the log keeps records.
KEY_MAX_AGE_SECONDS = 120.0

#: The log drops records of this age, in seconds.
RETENTION_SECONDS = 60.0

#: The digest of every request.
_DIGEST = b"booking"


@dataclass
class ModelVm:
    """One process: its fold of the log and its attempts."""

    #: Its fold.
    ledger: ClaimLedger

    #: Its attempts, dead ones included.
    attempts: list[ClaimAttempt] = field(default_factory=list)


class ClaimsModel:
    """Draws steps of several VMs from a seed and counts how often each key ran.

    ``ledger_class`` and ``checks_only`` put broken guards in place of the product's.
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
        self._on_the_way: list[ClaimRecord | VoidRecord] = []
        self._vms = [self._new_vm() for _ in range(3)]
        self._keys: list[CallKey] = []

    def play(self, steps: int = 400) -> int:
        """Plays steps and returns the most runs that one key had."""
        actions = (
            (self._claim, 6),
            (self._land, 8),
            (self._fold, 8),
            (self._send, 6),
            (self._give_up, 1),
            (self._replace_vm, 1),
            (self._pass_time, 2),
        )
        choices = [action for action, weight in actions for _ in range(weight)]
        for _ in range(steps):
            self._generator.choice(choices)()
        return max(self.runs.values(), default=0)

    def _new_vm(self) -> ModelVm:
        return ModelVm(ledger=self._ledger_class(KEY_MAX_AGE_SECONDS))

    def _clocks(self) -> ClockReading:
        return ClockReading(monotonic=self._now, wall=WALL_START + self._now)

    def _claim(self) -> None:
        if not self._keys or self._generator.random() < 0.3:
            self._keys.append(call_key(WALL_START + self._now, tail=len(self._keys)))
        key = self._generator.choice(self._keys[-4:])
        vm = self._generator.choice(self._vms)
        standing = vm.ledger.look_up(key, _DIGEST, WALL_START + self._now)
        if not isinstance(standing, KeyFree):
            return
        attempt = new_claim_attempt(
            key, _DIGEST, Claimant(VmId("vm"), Incarnation(1)), self._clocks(), 40.0, 5.0
        )
        if self._checks_only:
            self.runs[key] += 1
        vm.attempts.append(attempt)
        self._on_the_way.append(attempt.claim)

    def _land(self) -> None:
        """Lets one append take effect, in any order, perhaps much later than it was sent."""
        if not self._on_the_way:
            return
        record = self._on_the_way.pop(self._generator.randrange(len(self._on_the_way)))
        taken = LogRecord(self._end_offset, encode_call_record(record), WALL_START + self._now)
        self._log.append(taken)
        self._end_offset += 1

    def _fold(self) -> None:
        vm = self._generator.choice(self._vms)
        first_kept = self._log[0].offset if self._log else self._end_offset
        if vm.ledger.next_offset < first_kept:
            vm.ledger.record_gap()
        for record in self._log:
            verdict = vm.ledger.apply(record)
            if verdict is None:
                continue
            for attempt in vm.attempts:
                if attempt.attempt_id == verdict.attempt_id:
                    attempt.apply_decision(verdict)
        vm.ledger.check_invariants()

    def _send(self) -> None:
        vm = self._generator.choice(self._vms)
        for attempt in vm.attempts:
            if isinstance(attempt.authorize_dispatch(self._clocks()), result.Success):
                self.runs[attempt.claim.key] += 1

    def _give_up(self) -> None:
        vm = self._generator.choice(self._vms)
        for attempt in vm.attempts:
            if attempt.stage.value in ("claiming", "granted"):
                void = attempt.abandon()
                assert void is not None
                self._on_the_way.append(void)

    def _replace_vm(self) -> None:
        self._vms[self._generator.randrange(len(self._vms))] = self._new_vm()

    def _pass_time(self) -> None:
        self._now += self._generator.choice((0.1, 1.0, 5.0, 30.0))
        oldest = WALL_START + self._now - RETENTION_SECONDS
        self._log = [record for record in self._log if record.appended_at >= oldest]
