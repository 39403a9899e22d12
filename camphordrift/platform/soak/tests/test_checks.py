"""Tests that the soak reports each violation of a guarantee."""

from dataclasses import replace

import testtools

from camphordrift.platform.soak import (
    CallerRequest,
    Execution,
    Observations,
    find_violations,
)
from camphordrift.platform.soak._faults import FAULT_KINDS, draw_faults
from camphordrift.platform.soak._records import STREAM_EVENTS, stream_body
from camphordrift.platform.soak._response_plans import plan_unframed
from camphordrift.platform.soak.tests.samples import EXECUTION, REQUEST

_STREAM = replace(REQUEST, kind="stream", body=stream_body("a1"))
_UNANSWERED = replace(REQUEST, status=None, complete=False, signature=None, body=b"")


class GuaranteeTest(testtools.TestCase):
    def violations(self, request: CallerRequest, *executions: Execution) -> list[str]:
        observations = Observations(requests={request.id: request}, executions=list(executions))
        observations.key_revoked_at["old"] = 0.0
        observations.vm_disruptions["vm-9"].append((0.0, 100.0))
        observations.server_disruptions["office-9"].append((0.0, 100.0))
        return find_violations(observations, 20.0)

    def assert_violation(self, words: str, request: CallerRequest, *executions: Execution) -> None:
        (line,) = self.violations(request, *executions)
        self.assertIn(words, line)

    def test_correct_executions_are_not_reported(self) -> None:
        self.assertEqual([], self.violations(REQUEST, EXECUTION))
        self.assertEqual([], self.violations(_STREAM, EXECUTION, EXECUTION))

    def test_reports_a_request_that_ran_twice(self) -> None:
        self.assert_violation("must run at most once", REQUEST, EXECUTION, EXECUTION)

    def test_reports_a_refusal_of_a_request_that_ran(self) -> None:
        self.assert_violation("got status 503", replace(REQUEST, status=503), EXECUTION)

    def test_reports_an_execution_without_a_caller(self) -> None:
        self.assert_violation(
            "no caller sent", REQUEST, EXECUTION, replace(EXECUTION, request_id="a2")
        )

    def test_reports_a_wrong_account_and_a_forwarded_key(self) -> None:
        self.assert_violation("not 'school'", REQUEST, replace(EXECUTION, account="club"))
        self.assert_violation("not 'school'", REQUEST, replace(EXECUTION, key_forwarded=True))

    def test_reports_an_execution_with_a_revoked_key(self) -> None:
        late_request = replace(REQUEST, key="old", sent_at=5.1, ended_at=5.5)
        self.assert_violation("after its key was revoked", late_request, EXECUTION)
        # A VM in touch has less time.
        in_touch = replace(late_request, sent_at=4.9)
        self.assert_violation("had been revoked 4.90 s before", in_touch, EXECUTION)
        self.assertEqual([], self.violations(replace(late_request, sent_at=2.9), EXECUTION))

    def test_reports_responses_that_differ_from_the_servers(self) -> None:
        self.assert_violation("no server sent", replace(REQUEST, body=b"don"), EXECUTION)
        self.assert_violation("without a signature", replace(REQUEST, signature=None), EXECUTION)
        truncated = replace(_STREAM, body=stream_body("a1")[:-10])
        self.assert_violation("wrong events", truncated, EXECUTION)
        unframed = replace(_STREAM, body=stream_body("a1")[: -len(stream_body("a1", 7))])
        self.assert_violation("wrong events", unframed, replace(EXECUTION, broken_off=True))
        doubled = replace(_STREAM, body=stream_body("a1") + stream_body("a1", 7))
        self.assert_violation("wrong events", doubled, EXECUTION)

    def test_an_incomplete_response_may_be_short(self) -> None:
        broken_off = replace(EXECUTION, broken_off=True)
        short = replace(REQUEST, body=b"d", complete=False)
        self.assertEqual([], self.violations(short, broken_off))

    def test_reports_a_late_response(self) -> None:
        late_request = replace(REQUEST, ended_at=4.6)
        self.assert_violation("no final response", late_request, EXECUTION)
        self.assertEqual([], self.violations(replace(late_request, vm="vm-9"), EXECUTION))

    def test_reports_work_after_the_caller_disconnected(self) -> None:
        disconnected = replace(REQUEST, status=None, complete=False, disconnected_at=1.2)
        self.assert_violation(
            "after its caller disconnected", disconnected, replace(EXECUTION, ended_at=2.8)
        )
        self.assertEqual([], self.violations(disconnected, replace(EXECUTION, ended_at=2.6)))
        self.assertEqual(
            [],
            self.violations(disconnected, replace(EXECUTION, server="office-9", ended_at=None)),
        )


class UnansweredRequestTest(testtools.TestCase):
    def violations(
        self, request: CallerRequest, execution: Execution, stopped_at: float = 100.0
    ) -> list[str]:
        observations = Observations(requests={request.id: request}, executions=[execution])
        observations.vm_interruptions["vm-9"].append((1.2, 1.4))
        observations.vm_stops["vm-0"].append((stopped_at, stopped_at + 4.0))
        observations.server_disruptions["office-9"].append((1.2, 1.4))
        return find_violations(observations, 20.0)

    def test_reports_a_request_without_a_complete_response(self) -> None:
        (line,) = self.violations(_UNANSWERED, EXECUTION)
        self.assertIn("got no complete response", line)
        self.assertEqual(1, len(self.violations(replace(_UNANSWERED, status=200), EXECUTION)))

    def test_a_response_may_be_incomplete_if_its_server_broke_it_off(self) -> None:
        self.assertEqual([], self.violations(_UNANSWERED, replace(EXECUTION, broken_off=True)))
        self.assertEqual([], self.violations(_UNANSWERED, replace(EXECUTION, server="office-9")))

    def test_a_response_may_be_incomplete_at_the_deadline_or_if_the_vm_was_killed(self) -> None:
        self.assertEqual([], self.violations(replace(_UNANSWERED, timeout=0.5), EXECUTION))
        self.assertEqual([], self.violations(replace(_UNANSWERED, vm="vm-9"), EXECUTION))

    def test_a_request_that_was_not_sent_completely_needs_no_response(self) -> None:
        request = replace(_UNANSWERED, sent_completely=False)
        self.assertEqual([], self.violations(request, EXECUTION))

    def test_reports_a_request_that_ran_and_was_lost_by_a_vm_that_got_sigterm(self) -> None:
        self.assertEqual(1, len(self.violations(_UNANSWERED, EXECUTION, stopped_at=1.0)))
        other_execution = replace(EXECUTION, request_id="a2")
        unread = self.violations(_UNANSWERED, other_execution, stopped_at=1.0)
        self.assertEqual([], [line for line in unread if "complete response" in line])

    def test_a_vm_may_give_up_requests_at_the_end_of_its_grace_period(self) -> None:
        request = replace(_UNANSWERED, timeout=9.0, ended_at=5.0)
        execution = replace(EXECUTION, ended_at=4.9)
        self.assertEqual([], self.violations(request, execution, stopped_at=1.1))
        self.assertEqual(1, len(self.violations(request, execution, stopped_at=1.9)))

    def test_a_vm_may_not_give_up_requests_that_were_sent_late_in_its_grace_period(self) -> None:
        request = replace(_UNANSWERED, sent_at=4.2, timeout=9.0, ended_at=5.0)
        execution = replace(EXECUTION, started_at=4.3, ended_at=4.9)
        self.assertEqual(1, len(self.violations(request, execution, stopped_at=1.1)))
        self.assertEqual([], self.violations(replace(request, sent_at=4.0), execution, 1.1))


class UnframedResponseTest(testtools.TestCase):
    def test_half_of_the_responses_are_broken_off_in_each_way(self) -> None:
        streams = [plan_unframed(f"a{number}", "engine-0", True) for number in range(200)]
        complete = [plan for plan in streams if plan.broken_event is None]
        resets = [plan for plan in streams if plan.broken_event is not None and plan.resets]
        self.assertTrue(70 <= len(complete) <= 130)
        self.assertTrue(20 <= len(resets) <= 80)
        self.assertEqual(
            {None, *range(1, STREAM_EVENTS + 1)}, {plan.broken_event for plan in streams}
        )

    def test_a_response_that_is_not_a_stream_is_reset(self) -> None:
        """Without a length, a closed connection would look like the end of the body."""
        plans = [plan_unframed(f"a{number}", "office-1", False) for number in range(200)]
        self.assertTrue(all(plan.resets for plan in plans if plan.broken_event is not None))


class FaultTest(testtools.TestCase):
    def test_a_seed_determines_its_faults(self) -> None:
        self.assertEqual(draw_faults(7, 15.0), draw_faults(7, 15.0))
        self.assertNotEqual(draw_faults(7, 15.0), draw_faults(8, 15.0))

    def test_fifty_seeds_contain_every_kind(self) -> None:
        drawn = {fault.kind for seed in range(50) for fault in draw_faults(seed, 15.0)}
        self.assertEqual(set(FAULT_KINDS), drawn)
