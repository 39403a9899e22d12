"""Tests of finding the outcome of a request in the logs of several VMs."""

import testtools

from camphordrift.event_log import explain_request, parse_log_line

LINES = """\
time=08:25:30.100Z level=info event=engine_granted ask=ab12.vm-1.4 server=e-1
time=08:25:30.200Z level=warning event=home_lost home=vm-2 reason="it is silent"
time=08:25:31.000Z level=info event=attempt request=ab12 server=e-1 result=Broken
time=08:25:31.010Z level=info event=server_removed server=e-1
time=08:25:31.011Z level=info event=server_removed server=e-2
1.2 edge time=08:25:32.000Z level=warning event=request_refused request=ab12 code=3002
1.2 edge time=08:25:32.000Z level=warning event=request_refused request=ab123 code=1100
not a line of the log
""".splitlines()


class ParseTest(testtools.TestCase):
    def test_quoted_values(self) -> None:
        line = parse_log_line(LINES[1])
        assert line is not None
        self.assertEqual("it is silent", line.fields["reason"])
        self.assertEqual("home_lost", line.event)

    def test_text_without_a_time_is_not_a_log_line(self) -> None:
        self.assertIsNone(parse_log_line(LINES[-1]))


class ExplainTest(testtools.TestCase):
    def test_lines_of_one_request_in_order(self) -> None:
        found = explain_request("ab12", reversed(LINES))
        self.assertEqual(
            ["engine_granted", "attempt", "request_refused"], [line.event for line in found.lines]
        )

    def test_deciding_line_shows_the_outcome(self) -> None:
        found = explain_request("ab12", LINES)
        assert found.deciding is not None
        self.assertEqual("3002", found.deciding.fields["code"])

    def test_background_has_only_servers_that_the_request_used(self) -> None:
        found = explain_request("ab12", LINES)
        self.assertEqual(["home_lost", "server_removed"], [line.event for line in found.background])

    def test_unknown_request_has_no_deciding_line(self) -> None:
        self.assertIsNone(explain_request("zz", LINES).deciding)
