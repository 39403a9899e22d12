"""Tests of what operators see of the competition between client accounts."""

import testtools

from camphordrift.event_log import explain_request
from camphordrift.relay.requests._relay_metrics import MAX_ACCOUNT_LABELS, AccountLabels
from camphordrift.relay.scheduling import EngineScheduler
from camphordrift.relay.scheduling import _engine_scheduler as engine_scheduler
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
)
from camphordrift.relay.tests.relay_harness import RelayHarness, complete_stream, run_scenario
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    COSTS,
    ScriptedServer,
    placement_request,
    server,
)


class DecisionLogTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self._fields: dict[str, dict[str, object]] = {}
        self.patch(engine_scheduler, "log_event", self._log)
        self._scheduler = EngineScheduler("vm-1", lambda: 1.0)
        self._scheduler.set_services(CONFIGURATION.services.values())
        self._scheduler.set_servers([server(0)])

    def _log(self, event: str, **fields: object) -> None:
        self._fields[str(fields["ask"])] = {"event": event, **fields}

    def _submit(self, ask_id: str, account: str) -> None:
        request = placement_request(ask_id, 500, account=account)
        self._scheduler.submit("vm-1", request, lambda decision: None)

    def test_a_grant_without_a_backlog_names_no_share(self) -> None:
        self._submit("one", "school")
        self.assertNotIn("share", self._fields["one"])

    def test_a_grant_that_a_backlog_decided_names_the_share_of_its_account(self) -> None:
        for number in range(COSTS.slots):
            self._submit(f"r{number}", "school")
            self._scheduler.record_first_event(f"r{number}")
        self._submit("waits", "school")
        self._submit("other", "office")
        self._scheduler.record_finished("r0", AttemptOutcome.SERVED)
        granted = self._fields["other"] if "other" in self._fields else self._fields["waits"]
        self.assertEqual(
            (0.0, 0.5, 2), (granted["share"], granted["entitled"], granted["accounts"])
        )


class MetricsTest(testtools.TestCase):
    def test_accounts_beyond_a_number_share_a_label(self) -> None:
        labels = AccountLabels()
        used = {labels.label(f"account-{number}") for number in range(970)}
        self.assertEqual(MAX_ACCOUNT_LABELS + 1, len(used))
        self.assertEqual("account-0", labels.label("account-0"))

    def test_decisions_are_counted_by_account(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            await relay.send_request("/quick/x")
            metrics = relay.process._metrics.render().decode()
            self.assertIn("relay_account_placements_total{", metrics)
            self.assertIn('account="school"', metrics)

        run_scenario(scenario, complete_stream)


class ExplanationTest(testtools.TestCase):
    def test_a_refusal_behind_a_backlog_shows_the_share_of_the_account(self) -> None:
        lines = (
            "time=08:25:30.100Z level=warning event=engine_refused ask=ab.vm-1.4 "
            'reason="other requests take up the engines until the deadline" account=school '
            "share=0.31 entitled=0.13 accounts=24",
            "time=08:25:30.101Z level=warning event=request_refused request=ab code=2014",
        )
        found = explain_request("ab", lines)
        self.assertEqual(["school", None], [line.fields.get("account") for line in found.lines])
        assert found.deciding is not None
        self.assertEqual("2014", found.deciding.fields["code"])
