"""Shares evidence about parts of prompts that crash engines, and answers which may be sent.

Each VM decides by itself from its own evidence and that of the VMs it is connected to: its leader
and its followers. Evidence that is new to a VM is passed on to all of them but the sender. A new
connection begins with everything that each side knows.
"""

from collections.abc import Callable, Iterable
from typing import Optional

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._part_evidence import PartEvidence, QuarantinedParts
from camphordrift.relay._part_quarantine import PartQuarantine
from camphordrift.relay._peer_messages import MessageLink, PartEvidenceUpdate
from camphordrift.relay._quarantines import (
    Parts,
    QuarantineChange,
    QuarantineEnded,
    QuarantineStarted,
)
from camphordrift.relay._values import BackendServer

#: Crashes of engines on one part after which a request with it is not retried.
MAX_RETRIED_CRASHES = 1


class PartMonitor:
    """Keeps this VM's knowledge of parts that crash engines up to date, and logs changes.

    Args:
        vm: Id of this VM.
        clock: Returns the seconds of a monotonic clock.

    """

    def __init__(self, vm: str, clock: Callable[[], float]) -> None:
        self._vm = vm
        self._clock = clock
        self._quarantine = PartQuarantine()
        self._links: list[MessageLink] = []

    def quarantined_parts(self) -> dict[Parts, float]:
        """Returns the seconds for which each quarantine has been in force."""
        self._review()
        return self._quarantine.quarantined_parts(self._clock())

    def add_quarantined(self, parts: Parts, age: float) -> None:
        """Applies a record of parts that were quarantined ``age`` seconds ago."""
        evidence = PartEvidence(quarantined=(QuarantinedParts(parts, age),))
        self._share(self._quarantine.merge(evidence, self._clock()).news)
        self._review()

    def add_link(self, link: MessageLink) -> None:
        """Starts to share evidence with the VM at the other end of ``link``."""
        self._links.append(link)
        _send(link, self._quarantine.snapshot(self._clock()))

    def remove_link(self, link: MessageLink) -> None:
        """Stops sharing evidence over ``link``; unknown links are ignored."""
        if link in self._links:
            self._links.remove(link)

    def handle(self, evidence: PartEvidence, link: MessageLink) -> None:
        """Merges evidence that arrived over ``link``."""
        merged = self._quarantine.merge(evidence, self._clock())
        self._share(merged.news, link)
        _send(link, merged.reply)
        self._review()

    def record_crash(self, parts: tuple[str, ...], server: BackendServer) -> None:
        """Records that a server ended the connection before a response was established."""
        engine = f"{server.id}@{server.started_ms}"
        news = self._quarantine.record_crash(engine, parts, self._vm, self._clock())
        self._share(news)

    def record_sound(self, parts: tuple[str, ...]) -> None:
        """Records that a response was established on parts."""
        self._share(self._quarantine.record_sound(parts, self._clock()))
        self._review()

    def quarantine_seconds_left(self, parts: Iterable[str]) -> float:
        """Returns for how many seconds requests with these parts are refused; 0 if they may run."""
        self._review()
        return self._quarantine.seconds_left(parts, self._clock())

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Returns whether an engine may have crashed on a part that is not known to be sound."""
        return self._accused_of(parts) > 0

    def may_retry(self, parts: Iterable[str]) -> bool:
        """Returns whether a request whose engine may have crashed on it may be sent again."""
        return self._accused_of(parts) <= MAX_RETRIED_CRASHES

    def _accused_of(self, parts: Iterable[str]) -> int:
        now = self._clock()
        return max((self._quarantine.accused_of(part, now) for part in parts), default=0)

    def _share(self, news: PartEvidence, source: Optional[MessageLink] = None) -> None:
        for crash in news.crashes:
            log_event(
                "parts_accused",
                level=LogLevel.WARNING,
                engine=crash.engine,
                parts=",".join(crash.parts),
                age=crash.age,
                vm=crash.vm,
            )
        for link in self._links:
            if link is not source:
                _send(link, news)

    def _review(self) -> None:
        for change in self._quarantine.review(self._clock()):
            _log_change(change)


def _send(link: MessageLink, evidence: PartEvidence) -> None:
    if evidence:
        link.send(PartEvidenceUpdate(evidence))


def _log_change(change: QuarantineChange) -> None:
    match change:
        case QuarantineStarted(parts, engines, vms):
            log_event(
                "parts_quarantined",
                level=LogLevel.WARNING,
                parts=",".join(parts),
                crashes=len(engines),
                engines=",".join(engines),
                vms=",".join(vms),
            )
        case QuarantineEnded(parts, is_sound):
            log_event("parts_released", parts=",".join(parts), sound=is_sound)
