"""Shows that no key runs twice in the model, and that each broken guard is caught."""

from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.calls import CallKey, ClaimLedger, KeyFree, KeyRunning, KeyState
from camphordrift.experiments._claims_model import ClaimsModel

_SEEDS = range(60)


class _GapBlindLedger(ClaimLedger):
    """Takes keys whose claims may lie in dropped records."""

    def record_gap(self) -> None:
        return


class _AgeBlindLedger(ClaimLedger):
    """Forgets old keys and takes them again."""

    def _refuse_by_time(self, key: CallKey, now: float) -> Optional[KeyState]:
        return None

    def check_invariants(self) -> None:
        """Is silent, so that the runs themselves show the fault."""


class _HandingOverLedger(ClaimLedger):
    """Hands a claim over to the next one once its claimant is late."""

    def look_up(self, key: CallKey, body_digest: bytes, wall_now: float) -> KeyState:
        standing = super().look_up(key, body_digest, wall_now)
        entry = self.entry(key)
        if entry is None or not isinstance(entry.standing, KeyRunning):
            return standing
        if wall_now > entry.standing.run_ends_at - 45.0:
            entry.void(entry.standing.attempt_id)
            return KeyFree()
        return standing


class ClaimsModelTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.integers(min_value=0, max_value=10_000_000))
    def test_no_key_runs_twice(self, seed: int) -> None:
        self.assertTrue(ClaimsModel(seed).play() <= 1)

    def test_most_runs_do_run_calls(self) -> None:
        model = ClaimsModel(1)
        model.play()
        self.assertTrue(len(model.runs) > 5)


class BrokenGuardTest(testtools.TestCase):
    def _assert_caught(self, ledger_class: type, checks_only: bool = False) -> None:
        worst = max(ClaimsModel(seed, ledger_class, checks_only).play() for seed in _SEEDS)
        self.assertTrue(worst > 1)

    def test_a_check_without_a_claim_is_caught(self) -> None:
        self._assert_caught(ClaimLedger, checks_only=True)

    def test_a_ledger_that_ignores_dropped_records_is_caught(self) -> None:
        self._assert_caught(_GapBlindLedger)

    def test_a_ledger_that_takes_forgotten_keys_is_caught(self) -> None:
        self._assert_caught(_AgeBlindLedger)

    def test_a_ledger_that_hands_a_claim_over_is_caught(self) -> None:
        self._assert_caught(_HandingOverLedger)
