"""Finds, in the logs of several VMs, what became of one request."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

#: Pairs of a line; a quoted value may hold spaces and escaped quotes.
_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')

#: Events that end a request, the most telling first.
_DECIDING_EVENTS = (
    "answer_broken_off",
    "request_refused",
    "caller_left",
    "engine_refused",
    "attempt",
)

#: Results of an attempt that are no cause of a failure.
_GOOD_RESULTS = frozenset({"Streamed", "Answered"})

#: Events that change what a VM believes, shown beside a request's own lines.
_BACKGROUND_EVENTS = frozenset(
    {
        "started",
        "signal",
        "stopped",
        "store_lost",
        "store_regained",
        "home_found",
        "home_lost",
        "home_slow",
        "configuration_applied",
        "server_listed",
        "server_removed",
        "log_lines_left_out",
    }
)


@dataclass(frozen=True)
class LogLine:
    """One line of key=value pairs."""

    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What happened."""
        return self.fields.get("event", "")

    @property
    def time(self) -> str:
        """When, as written; sorts by time."""
        return self.fields.get("time", "")


@dataclass(frozen=True)
class Explanation:
    """What the logs say of one request."""

    #: The lines with the request's id, by time.
    lines: tuple[LogLine, ...]
    #: Lines of the time around them that name a server the request met, or change a VM's belief.
    background: tuple[LogLine, ...]
    #: The line that decided how the request ended.
    deciding: Optional[LogLine]


def parse_log_line(text: str) -> Optional[LogLine]:
    """Reads a line; whatever stands before its time is left out."""
    start = text.find("time=")
    if start < 0:
        return None
    body = text[start:].rstrip("\n")
    return LogLine(body, {name: _unquoted(value) for name, value in _PAIR.findall(body)})


def explain_request(request_id: str, texts: Iterable[str]) -> Explanation:
    """Puts the lines about a request in order and names the deciding one."""
    parsed = [line for line in map(parse_log_line, texts) if line is not None]
    own = sorted((line for line in parsed if _is_about(line, request_id)), key=_by_time)
    if not own:
        return Explanation((), (), None)
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    background = [
        line
        for line in parsed
        if own[0].time[:19] <= line.time[:19] <= own[-1].time[:19] and _is_background(line, servers)
    ]
    return Explanation(tuple(own), tuple(sorted(background, key=_by_time)), _deciding(own))


def _is_about(line: LogLine, request_id: str) -> bool:
    ask = line.fields.get("ask", "")
    return line.fields.get("request") == request_id or ask.startswith(request_id + ".")


def _is_background(line: LogLine, servers: set[str]) -> bool:
    if line.event in ("server_listed", "server_removed"):
        return line.fields.get("server") in servers
    return line.event in _BACKGROUND_EVENTS


def _deciding(lines: list[LogLine]) -> Optional[LogLine]:
    for event in _DECIDING_EVENTS:
        for line in reversed(lines):
            if line.event == event and line.fields.get("result") not in _GOOD_RESULTS:
                return line
    return lines[-1]


def _by_time(line: LogLine) -> str:
    return line.time


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
