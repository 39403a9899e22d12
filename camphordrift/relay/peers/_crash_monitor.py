"""Shares evidence about traits of requests that crash servers, and answers which may be sent.

Each VM decides by itself from its own evidence and that of the VMs it is connected to: its leader
and its followers. Evidence that is new to a VM is passed on to all of them but the sender. A new
connection begins with everything that each side knows.
"""

from collections.abc import Callable, Iterable
from typing import Optional

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.crashes import (
    CrashEvidence,
    QuarantineChange,
    QuarantinedTraits,
    QuarantineEnded,
    QuarantineStarted,
    TraitQuarantine,
    Traits,
    is_whole_request,
)
from camphordrift.relay.model import BackendServer
from camphordrift.relay.peers._message_link import MessageLink
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import CrashEvidenceUpdate

#: Crashes of servers on one request after which it is not retried.
MAX_RETRIED_CRASHES = 1

#: The same for the crashes on a part of its prompt. Requests that ran beside two crashes on another
#: part may share a part, and each of them is to be retried.
MAX_RETRIED_CRASHES_ON_PART = 2


class CrashMonitor:
    """Keeps this VM's knowledge of traits that crash servers up to date, and logs changes.

    Args:
        vm: Id of this VM.
        clock: Returns the seconds of a monotonic clock.
        links: Links to the leader and to followers.

    """

    def __init__(self, vm: str, clock: Callable[[], float], links: PeerLinks) -> None:
        self._vm = vm
        self._clock = clock
        self._quarantine = TraitQuarantine()
        self._links = links
        links.add_greeting(lambda: _messages(self._quarantine.snapshot(clock())))

    def quarantined_traits(self) -> dict[Traits, float]:
        """Returns the seconds for which each quarantine has been in force."""
        self._review()
        return self._quarantine.quarantined_traits(self._clock())

    def add_quarantined(self, traits: Traits, age: float) -> None:
        """Applies a record of traits that were quarantined ``age`` seconds ago."""
        evidence = CrashEvidence(quarantined=(QuarantinedTraits(traits, age),))
        self._share(self._quarantine.merge(evidence, self._clock()).news)
        self._review()

    def handle(self, evidence: CrashEvidence, link: MessageLink) -> None:
        """Merges evidence that arrived over ``link``."""
        merged = self._quarantine.merge(evidence, self._clock())
        self._share(merged.news, link)
        for message in _messages(merged.reply):
            link.send(message)
        self._review()

    def record_crash(self, traits: tuple[str, ...], server: BackendServer) -> None:
        """Records that a server crashed before a response was complete."""
        self._share(
            self._quarantine.record_crash(_start_of(server), traits, self._vm, self._clock())
        )

    def suspect_crash(self, traits: tuple[str, ...], server: BackendServer) -> None:
        """Records that a server ended a connection before a response was complete.

        Until it is known whether the server has crashed, the traits count as accused on this VM.
        """
        self._quarantine.suspect_crash(_start_of(server), traits, self._clock())

    def is_crash_suspected(self, server: BackendServer) -> bool:
        """Returns whether it is not known yet if a server has crashed."""
        return self._quarantine.is_suspected(_start_of(server))

    def rule_out_crash(self, server: BackendServer, until: float) -> None:
        """Records that a server did not crash before the time ``until``."""
        self._quarantine.rule_out_crash(_start_of(server), until, self._clock())

    def confirm_crash(self, server: BackendServer, restarted: bool = False) -> None:
        """Records the crash of a server that is suspected of one.

        Args:
            server: The server.
            restarted: Whether another start of the server is known. If so, it crashed although it
                has accepted a connection since.

        """
        self._share(
            self._quarantine.confirm_crash(_start_of(server), self._vm, self._clock(), restarted)
        )

    def record_sound(self, traits: tuple[str, ...]) -> None:
        """Records that a response was established on traits."""
        self._share(self._quarantine.record_sound(traits, self._clock()))
        self._review()

    def quarantine_seconds_left(self, traits: Iterable[str]) -> float:
        """Returns the seconds for which requests with the traits are refused; 0 if they may run."""
        self._review()
        return self._quarantine.seconds_left(traits, self._clock())

    def is_suspect(self, traits: Iterable[str]) -> bool:
        """Returns whether a server may have crashed on a trait that is not known to be sound."""
        return self._accused_of(traits) > 0

    def may_retry(self, traits: Iterable[str]) -> bool:
        """Returns whether a request whose server may have crashed on it may be sent again."""
        now = self._clock()
        return all(
            self._quarantine.accused_of(trait, now) <= _max_retried_crashes(trait)
            for trait in traits
        )

    def _accused_of(self, traits: Iterable[str]) -> int:
        now = self._clock()
        return max((self._quarantine.accused_of(trait, now) for trait in traits), default=0)

    def _share(self, news: CrashEvidence, source: Optional[MessageLink] = None) -> None:
        for crash in news.crashes:
            log_event(
                "traits_accused",
                level=LogLevel.WARNING,
                server=crash.server,
                traits=",".join(crash.traits),
                age=crash.age,
                vm=crash.vm,
            )
        for message in _messages(news):
            self._links.send(message, source)

    def _review(self) -> None:
        for change in self._quarantine.review(self._clock()):
            _log_change(change)


def _start_of(server: BackendServer) -> str:
    return f"{server.id}@{server.started_ms}"


def _max_retried_crashes(trait: str) -> int:
    return MAX_RETRIED_CRASHES if is_whole_request(trait) else MAX_RETRIED_CRASHES_ON_PART


def _messages(evidence: CrashEvidence) -> list[CrashEvidenceUpdate]:
    return [CrashEvidenceUpdate(evidence)] if evidence else []


def _log_change(change: QuarantineChange) -> None:
    match change:
        case QuarantineStarted(traits, servers, vms):
            log_event(
                "traits_quarantined",
                level=LogLevel.WARNING,
                traits=",".join(traits),
                crashes=len(servers),
                servers=",".join(servers),
                vms=",".join(vms),
            )
        case QuarantineEnded(traits, is_sound):
            log_event("traits_released", traits=",".join(traits), sound=is_sound)
