"""Tests of the table of result codes, and of failures."""

import testtools

from camphordrift.results import Failure, ResultCode, RunState, code_table, meaning_of


class CodeTableTest(testtools.TestCase):
    def test_every_code_has_one_row(self) -> None:
        self.assertEqual(list(ResultCode), [row.code for row in code_table()])

    def test_every_status_is_an_http_status(self) -> None:
        for row in code_table():
            self.assertTrue(200 <= row.http_status < 600, row)


class FailureTest(testtools.TestCase):
    def test_status_and_run_state_come_from_the_table(self) -> None:
        failure = Failure(ResultCode.QUEUE_FULL, "full", retry_after_seconds=1.0)
        self.assertEqual(meaning_of(ResultCode.QUEUE_FULL).http_status, failure.http_status)
        self.assertEqual(RunState.NOT_RUN, failure.run_state)

    def test_run_state_can_be_overridden(self) -> None:
        failure = Failure(
            ResultCode.RETRY_BUDGET_SPENT, "spent", run_state_override=RunState.NOT_RUN
        )
        self.assertEqual(RunState.NOT_RUN, failure.run_state)
