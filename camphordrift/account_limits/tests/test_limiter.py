"""Tests of admission within one VM's shares."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from camphordrift.account_limits import (
    AccountLimiter,
    Admission,
    FleetSize,
    LimiterSettings,
    ShareGrant,
    ShareLease,
    Shares,
)
from camphordrift.configuration import AccountLimits
from camphordrift.identifiers import AccountId, VmId
from camphordrift.results import ResultCode, RunState

SMALL = AccountId("small")
LARGE = AccountId("large")
HOME = VmId("vm-home")
MEMORY_TOKENS = 1_000_000


def account_limits(
    account_id: AccountId,
    requests: float = 1000.0,
    tokens: float = 1e9,
    concurrency: int = 1000,
    long_share: float = 1.0,
    weight: float = 1.0,
) -> AccountLimits:
    return AccountLimits(account_id, requests, tokens, concurrency, long_share, weight)


def make_limiter(*configured: AccountLimits, max_running_requests: int = 1000) -> AccountLimiter:
    limiter = AccountLimiter(LimiterSettings(max_running_requests=max_running_requests), 0.0)
    limiter.set_limits({limit.account_id: limit for limit in configured}, MEMORY_TOKENS)
    for account_id, shares in limiter.account_limits.items():
        if limiter.try_admit(account_id, 0, 0.0).value_or(None) is not None:
            limiter.release(Admission(account_id, 0, 0), 0.0)
        lease = ShareLease(account_id, shares, 1000.0)
        limiter.apply_grant(HOME, ShareGrant((lease,)), 0.0)
    return limiter


def count_admitted(limiter: AccountLimiter, account_id: AccountId, count: int, now: float) -> int:
    outcomes = [limiter.try_admit(account_id, 100, now) for _ in range(count)]
    return sum(isinstance(outcome, Success) for outcome in outcomes)


class AccountLimiterTest(testtools.TestCase):
    def test_each_limit_refuses_with_its_own_code_and_retry_time(self) -> None:
        cases = (
            (account_limits(SMALL, requests=2.0), 100, False, ResultCode.REQUEST_RATE_LIMIT),
            (account_limits(SMALL, tokens=50.0), 100, False, ResultCode.TOKEN_RATE_LIMIT),
            (account_limits(SMALL, concurrency=2), 100, False, ResultCode.CONCURRENCY_LIMIT),
            (account_limits(SMALL, long_share=0.1), 200_000, True, ResultCode.LONG_PROMPT_LIMIT),
        )
        for limit, tokens, long_prompt, code in cases:
            limiter = make_limiter(limit)
            outcomes = [limiter.try_admit(SMALL, tokens, 5.0, long_prompt) for _ in range(5)]
            self.assertIsInstance(outcomes[0], Success)
            refused = outcomes[-1].failure()
            self.assertEqual(code, refused.code)
            self.assertEqual(RunState.NOT_RUN, refused.run_state)
            self.assertTrue((refused.retry_after_seconds or 0) > 0)

    def test_release_frees_concurrency_and_corrects_charged_tokens(self) -> None:
        limiter = make_limiter(account_limits(SMALL, tokens=1000.0, concurrency=1))
        admission = limiter.try_admit(SMALL, 100, 5.0).unwrap()
        self.assertEqual(0, count_admitted(limiter, SMALL, 1, 5.0))
        limiter.release(admission, 5.0, used_tokens=5000)
        refused = limiter.try_admit(SMALL, 100, 5.0).failure()
        self.assertEqual(ResultCode.TOKEN_RATE_LIMIT, refused.code)
        self.assertIsInstance(limiter.try_admit(SMALL, 100, 10.0), Success)

    def test_unknown_account_is_refused(self) -> None:
        refused = make_limiter().try_admit(SMALL, 100, 0.0).failure()
        self.assertEqual(ResultCode.NOT_PERMITTED, refused.code)

    def test_vm_without_lease_uses_its_fallback_share(self) -> None:
        limiter = AccountLimiter(LimiterSettings(fallback_fraction=0.2), 0.0)
        limiter.set_limits({LARGE: account_limits(LARGE, requests=100.0)}, MEMORY_TOKENS)
        limiter.set_fleet(FleetSize(live=4, known=5))
        admitted = 0
        for step in range(1000):
            for outcome in [limiter.try_admit(LARGE, 1, step / 100)]:
                if isinstance(outcome, Success):
                    admitted += 1
                    limiter.release(outcome.unwrap(), step / 100)
        self.assertTrue(35 <= admitted <= 45, admitted)

    def test_large_account_leaves_room_for_a_small_one_near_the_vm_limit(self) -> None:
        limiter = make_limiter(
            account_limits(LARGE), account_limits(SMALL), max_running_requests=100
        )
        self.assertEqual(80, count_admitted(limiter, LARGE, 200, 5.0))
        self.assertEqual(20, count_admitted(limiter, SMALL, 200, 5.0))
        refused = limiter.try_admit(LARGE, 1, 5.0).failure()
        self.assertEqual(ResultCode.QUEUE_FULL, refused.code)

    def test_idle_account_is_dropped_only_when_its_buckets_are_full(self) -> None:
        limiter = AccountLimiter(LimiterSettings(), 0.0)
        limiter.set_limits({SMALL: account_limits(SMALL, requests=0.5)}, MEMORY_TOKENS)
        admitted = 0
        for step in range(40):
            now = step * 3.5
            outcome = limiter.try_admit(SMALL, 1, now)
            if isinstance(outcome, Success):
                admitted += 1
                limiter.release(outcome.unwrap(), now)
            limiter.due_lease_requests(lambda _: HOME, now + 3.4)
        self.assertTrue(admitted <= 0.05 * 140 + 1, admitted)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(st.tuples(st.floats(0.0, 0.5), st.integers(1, 3000)), max_size=150),
        st.floats(0.5, 50.0),
        st.floats(100.0, 5000.0),
    )
    def test_rate_limits_hold_over_any_period(
        self, steps: list[tuple[float, int]], requests: float, tokens: float
    ) -> None:
        limiter = make_limiter(account_limits(LARGE, requests=requests, tokens=tokens))
        now, count, used = 0.0, 1, 0
        for elapsed, size in steps:
            now += elapsed
            outcome = limiter.try_admit(LARGE, size, now)
            if isinstance(outcome, Success):
                count, used = count + 1, used + size
                limiter.release(outcome.unwrap(), now)
        self.assertTrue(count <= requests * (now + 1.0) + 2.0)
        self.assertTrue(used <= tokens * (now + 1.0) + 3000 + 1)

    def test_lease_requests_for_many_accounts_stay_within_the_byte_rate(self) -> None:
        names = [AccountId(f"account-{number}") for number in range(60)]
        limiter = AccountLimiter(LimiterSettings(), 0.0)
        limiter.set_limits({name: account_limits(name) for name in names}, MEMORY_TOKENS)
        limiter.set_fleet(FleetSize(60, 60))
        entries = 0
        for tick in range(240):
            now = tick / 4
            for name in names:
                limiter.try_admit(name, 1, now)
            for home, request in limiter.due_lease_requests(
                lambda name: VmId(f"home-{name}"), now
            ).items():
                entries += len(request.demands)
                leases = (
                    ShareLease(d.account_id, Shares(1, 1, 1, 1), 60.0) for d in request.demands
                )
                limiter.apply_grant(home, ShareGrant(tuple(leases)), now)
        allowed = (
            60 * LimiterSettings().request_bytes_per_second + LimiterSettings().request_burst_bytes
        )
        self.assertTrue(entries * 560 <= allowed + 560, entries)
