"""Counters, histograms and levels of a relay."""

from camphordrift.telemetry import InstrumentRegistry

#: Upper bounds of the bands of prompt lengths in tokens, with their names.
_LENGTH_BANDS = ((0, "none"), (25_000, "to_25k"), (120_000, "to_120k"), (300_000, "to_300k"))


def length_band(prompt_tokens: int) -> str:
    """Returns the name of a prompt's band of lengths."""
    return next((name for bound, name in _LENGTH_BANDS if prompt_tokens <= bound), "over_300k")


class RelayMetrics(InstrumentRegistry):
    """All instruments of a relay, each a public attribute."""

    def __init__(self, vm_id: str) -> None:
        super().__init__(vm_id)
        self.requests = self.counter("relay_requests", "Answered requests, by route and status.")
        self.refusals = self.counter("relay_refusals", "Requests refused by the relay, by code.")
        self.truncated_responses = self.counter(
            "relay_broken_answers", "Answers that were broken off midway, by route."
        )
        self.caller_disconnects = self.counter(
            "relay_callers_left", "Requests whose caller left before the end, by route."
        )
        self.attempts = self.counter(
            "relay_attempts", "Requests sent to backend servers, by service and result."
        )
        self.store_calls = self.counter(
            "relay_store_calls", "Calls to the store, by call and outcome."
        )
        self.first_event_seconds = self.seconds_histogram(
            "relay_first_event_seconds", "Time from request to first event, by band of lengths."
        )
        self.longest_gap_seconds = self.seconds_histogram(
            "relay_longest_pause_seconds", "Longest pause of a stream, by band of lengths."
        )
        self.placement_seconds = self.seconds_histogram(
            "relay_placement_seconds", "Time until an engine was given, by band of lengths."
        )
        self.request_seconds = self.seconds_histogram(
            "relay_request_seconds", "Time from request to whole answer, by route."
        )
