"""Counters and histograms of a relay."""

from camphordrift.telemetry import InstrumentRegistry

#: Upper bounds of the prompt length bands in tokens, inclusive, with the label of each band.
_LENGTH_BANDS = ((0, "none"), (25_000, "to_25k"), (120_000, "to_120k"), (300_000, "to_300k"))


def length_band(prompt_tokens: int) -> str:
    """Returns the metric label for the length of a prompt."""
    return next((name for bound, name in _LENGTH_BANDS if prompt_tokens <= bound), "over_300k")


#: Maximum number of client accounts with a metric label of their own.
MAX_ACCOUNT_LABELS = 32


class AccountLabels:
    """Metric labels of client accounts; those beyond a number share one label.

    The accounts that are used first keep their labels, so that no time series changes its meaning.
    """

    def __init__(self) -> None:
        self._labels: set[str] = set()

    def label(self, account: str) -> str:
        """Returns the label of an account; empty for requests without one."""
        if not account or account in self._labels:
            return account
        if len(self._labels) >= MAX_ACCOUNT_LABELS:
            return "other"
        self._labels.add(account)
        return account


class RelayMetrics(InstrumentRegistry):
    """The relay's instruments, each a public attribute."""

    def __init__(self, vm_id: str) -> None:
        super().__init__(vm_id)
        self.requests = self.counter(
            "relay_requests", "Requests with a complete response, by route and status."
        )
        self.refusals = self.counter("relay_refusals", "Requests refused by the relay, by code.")
        self.truncated_responses = self.counter(
            "relay_broken_answers", "Responses that ended before they were complete, by route."
        )
        self.caller_disconnects = self.counter(
            "relay_callers_left", "Requests whose caller disconnected before the end, by route."
        )
        self.attempts = self.counter(
            "relay_attempts", "Attempts to send requests to backend servers, by service and result."
        )
        self.store_calls = self.counter(
            "relay_store_calls", "Calls to the store, by operation and outcome."
        )
        self.first_event_seconds = self.seconds_histogram(
            "relay_first_event_seconds", "Time from request to first event, by prompt length."
        )
        self.longest_gap_seconds = self.seconds_histogram(
            "relay_longest_pause_seconds",
            "Longest gap between events of a stream, by prompt length.",
        )
        self.placement_seconds = self.seconds_histogram(
            "relay_placement_seconds", "Time until an engine was assigned, by prompt length."
        )
        self.account_placements = self.counter(
            "relay_account_placements",
            "Decisions on requests of client accounts, by account, prompt length and outcome.",
        )
        self.account_placement_seconds = self.seconds_histogram(
            "relay_account_placement_seconds", "Time until an engine was assigned, by account."
        )
        self.account_labels = AccountLabels()
        self.request_seconds = self.seconds_histogram(
            "relay_request_seconds", "Time from request to complete response, by route."
        )
