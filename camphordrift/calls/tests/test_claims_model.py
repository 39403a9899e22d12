"""Tests that no key runs twice in the model, and that the model detects each broken guard."""

from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.calls import CallKey, ClaimLedger, KeyFree, KeyRunning, KeyState
from camphordrift.experiments._claims_model import ClaimsModel

_SEEDS = range(60)


class _GapIgnoringLedger(ClaimLedger):
    """A broken ledger: accepts keys whose claims may be in dropped records."""

    def record_gap(self) -> None:
        return


class _AgeIgnoringLedger(ClaimLedger):
    """A broken ledger: accepts keys again after it has removed them for their age."""

    def _refusal_by_key_time(self, key: CallKey, now: float) -> Optional[KeyState]:
        return None

    def check_invariants(self) -> None:
        """Does nothing, so that the fault is detected only by a call that runs twice."""


class _ClaimTransferringLedger(ClaimLedger):
    """A broken ledger: frees a key while its claimant may still send or run the call."""

    def look_up(self, key: CallKey, body_digest: bytes, wall_now: float) -> KeyState:
        state = super().look_up(key, body_digest, wall_now)
        entry = self.entry(key)
        if entry is None or not isinstance(entry.state, KeyRunning):
            return state
        if wall_now > entry.state.run_ends_at - 45.0:
            entry.void_claim(entry.state.attempt_id)
            return KeyFree()
        return state


class ClaimsModelTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.integers(min_value=0, max_value=10_000_000))
    def test_no_key_runs_twice(self, seed: int) -> None:
        self.assertTrue(ClaimsModel(seed).simulate() <= 1)

    def test_the_model_does_run_calls(self) -> None:
        model = ClaimsModel(1)
        model.simulate()
        self.assertTrue(len(model.runs) > 5)


class BrokenGuardTest(testtools.TestCase):
    def _assert_detected(self, ledger_class: type, checks_only: bool = False) -> None:
        most_runs = max(ClaimsModel(seed, ledger_class, checks_only).simulate() for seed in _SEEDS)
        self.assertTrue(most_runs > 1)

    def test_a_check_without_a_claim_is_detected(self) -> None:
        self._assert_detected(ClaimLedger, checks_only=True)

    def test_a_ledger_that_ignores_dropped_records_is_detected(self) -> None:
        self._assert_detected(_GapIgnoringLedger)

    def test_a_ledger_that_accepts_removed_keys_is_detected(self) -> None:
        self._assert_detected(_AgeIgnoringLedger)

    def test_a_ledger_that_transfers_a_claim_is_detected(self) -> None:
        self._assert_detected(_ClaimTransferringLedger)
