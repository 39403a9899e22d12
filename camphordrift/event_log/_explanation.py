"""Finds the outcome of one request and its cause in the logs of several VMs."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

#: Matches one key=value pair; a quoted value may contain spaces and escaped quotes.
_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')

#: Events that show the outcome of a request, the most specific first.
_DECIDING_EVENTS = (
    "answer_broken_off",
    "request_cut",
    "request_refused",
    "caller_left",
    "engine_refused",
    "attempt",
)

#: Results of successful attempts, which cannot be the cause of a failure.
_SUCCESSFUL_RESULTS = frozenset({"Streamed", "Answered"})

#: Events about the state of a VM or a server. They may affect any request, so they are shown
#: together with a request's own lines.
_BACKGROUND_EVENTS = frozenset(
    {
        "started",
        "signal",
        "stopped",
        "store_lost",
        "store_regained",
        "store_restored",
        "home_found",
        "home_lost",
        "home_slow",
        "home_unfit",
        "home_fit",
        "engine_report",
        "engine_unreachable",
        "traits_accused",
        "traits_quarantined",
        "traits_released",
        "configuration_not_fetched",
        "configuration_applied",
        "server_listed",
        "server_removed",
        "path_lost",
        "cut_off",
        "paths_regained",
        "server_leaving",
        "server_paused",
        "zone_evacuated",
        "zone_returned",
        "log_lines_left_out",
    }
)


@dataclass(frozen=True)
class LogLine:
    """One line of key=value pairs."""

    #: The text of the line from ``time=`` to its end, without the line break.
    text: str

    #: The values by key, with quotes and escapes removed.
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The name of the event; empty if the line has none."""
        return self.fields.get("event", "")

    @property
    def time(self) -> str:
        """The time as text; texts sort in the order of time."""
        return self.fields.get("time", "")


@dataclass(frozen=True)
class Explanation:
    """The log lines that explain the outcome of one request."""

    #: The lines with the request's id, ordered by time.
    lines: tuple[LogLine, ...]

    #: Lines from the same time span about the state of VMs, or of servers that the request used.
    background: tuple[LogLine, ...]

    #: The line that shows the outcome of the request; ``None`` if no line has its id.
    deciding: Optional[LogLine]


def parse_log_line(text: str) -> Optional[LogLine]:
    """Parses a line, ignoring text before its time; returns ``None`` if it has no time."""
    start = text.find("time=")
    if start < 0:
        return None
    body = text[start:].rstrip("\n")
    return LogLine(body, {name: _unquoted(value) for name, value in _PAIR.findall(body)})


def explain_request(request_id: str, texts: Iterable[str]) -> Explanation:
    """Returns the lines about a request, and those that may explain its outcome.

    ``texts`` are lines of the logs of one or more VMs, in any order.
    """
    parsed = [line for line in map(parse_log_line, texts) if line is not None]
    own = sorted((line for line in parsed if _is_about_request(line, request_id)), key=_by_time)
    if not own:
        return Explanation((), (), None)
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    background = [
        line
        for line in parsed
        if own[0].time[:19] <= line.time[:19] <= own[-1].time[:19] and _is_background(line, servers)
    ]
    return Explanation(tuple(own), tuple(sorted(background, key=_by_time)), _deciding_line(own))


def _is_about_request(line: LogLine, request_id: str) -> bool:
    ask = line.fields.get("ask", "")
    return line.fields.get("request") == request_id or ask.startswith(request_id + ".")


def _is_background(line: LogLine, servers: set[str]) -> bool:
    if line.event in ("server_listed", "server_removed"):
        return line.fields.get("server") in servers
    return line.event in _BACKGROUND_EVENTS


def _deciding_line(lines: list[LogLine]) -> Optional[LogLine]:
    for event in _DECIDING_EVENTS:
        for line in reversed(lines):
            if line.event == event and line.fields.get("result") not in _SUCCESSFUL_RESULTS:
                return line
    return lines[-1]


def _by_time(line: LogLine) -> str:
    return line.time


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
