"""Handles the messages that a follower sends to its leader."""

from collections.abc import Callable
from typing import Optional

from camphordrift.relay.fleet._update_distribution import UpdateDistributor
from camphordrift.relay.peers import (
    ConfigurationRequest,
    CrashEvidenceUpdate,
    EvacuationSharing,
    EventGapReport,
    Finished,
    Granted,
    LimitedRequestSent,
    Member,
    Message,
    MessageLink,
    NoticeDistributor,
    PathSharing,
    PeerLinks,
    PermitRequest,
    PermitResponse,
    Ping,
    PrefillFinished,
    Refused,
    Register,
    ServerPaused,
    ServersCold,
    ServersLeaving,
    ServersLimited,
    StoreUnreachable,
    Submit,
    Waiting,
    Withdraw,
    ZonesStated,
)
from camphordrift.relay.scheduling import EngineScheduler, Grant, PlacementDecision
from camphordrift.relay.servers import PathStatement


class FollowerSession:
    """Handles the messages of one follower.

    Args:
        follower_id: Owner of the follower's requests on the scheduler.
        scheduler: Schedules the follower's requests.
        updates: Sends updates to the follower.
        notices: Shares the notices of backend servers.
        evacuations: Shares which zones are evacuated.
        paths: Shares which VMs are cut off from the servers.
        links: Gets the link to the follower, once it has introduced itself.
        add_member: Called with VMs of which the follower tells.
        record_store_unreachable: Called with a VM that cannot reach the store.
        better_leaders: Returns the VMs that are preferred as leader over this one.

    """

    def __init__(
        self,
        follower_id: str,
        scheduler: EngineScheduler,
        updates: UpdateDistributor,
        notices: NoticeDistributor,
        evacuations: EvacuationSharing,
        paths: PathSharing,
        links: PeerLinks,
        add_member: Callable[[Member], None],
        record_store_unreachable: Callable[[str], None],
        better_leaders: Callable[[], list[Member]],
    ) -> None:
        self.follower_id = follower_id
        self._updates = updates
        self._notices = notices
        self._evacuations = evacuations
        self._paths = paths
        self._links = links
        self.link: Optional[MessageLink] = None
        #: The follower, once it has introduced itself.
        self.member: Optional[Member] = None
        self._scheduler = scheduler
        self._add_member = add_member
        self._record_store_unreachable = record_store_unreachable
        self._better_leaders = better_leaders

    def handle(self, message: Message) -> None:
        """Handles a message of the follower; messages of other kinds are ignored."""
        match message:
            case Member():
                self.member = message
                self._add_member(message)
                if self.link is not None:
                    self._updates.add_follower(self.link, message, self._better_leaders())
                    self._links.add(self.link)
            case Ping():
                if self.link is not None:
                    self._updates.record_follower_state(self.link, message)
                    self.link.send(self._updates.pong_for(message, self.link))
            case StoreUnreachable(vm):
                self._record_store_unreachable(vm)
            case PathStatement():
                self._paths.handle(message, self.link)
            case ServersLeaving(starts):
                self._notices.record_leaving(starts, "follower")
            case ServersLimited(limits):
                self._notices.record_limits(limits, "follower")
            case ZonesStated(statements):
                self._evacuations.handle(statements, "follower", self.link)
            case ServersCold(servers):
                self._notices.record_cold(servers, "follower")
            case PermitRequest(number, service, server_ids, max_delay) if self.link is not None:
                permit = self._scheduler.reserve(service, server_ids, max_delay)
                self.link.send(PermitResponse(number, permit))
            case LimitedRequestSent(server_id):
                self._scheduler.record_limited_request(server_id)
            case ConfigurationRequest(version) if self.link is not None:
                self._updates.send_document(self.link, version)
            case CrashEvidenceUpdate(evidence) if self.link is not None:
                self._updates.handle_crash_evidence(evidence, self.link)
            case Submit():
                self._submit(message)
            case Register(request, grant, is_prefilling):
                self._scheduler.register(self.follower_id, request, grant, is_prefilling)
            case Withdraw(ask_id):
                self._scheduler.withdraw(ask_id)
            case PrefillFinished(ask_id):
                self._scheduler.record_first_event(ask_id)
            case EventGapReport(ask_id, gap):
                self._scheduler.record_event_gap(ask_id, gap)
            case Finished(ask_id, outcome, at_fault):
                self._scheduler.record_finished(ask_id, outcome, at_fault)
            case ServerPaused(service, pause):
                self._scheduler.record_pause(self.follower_id, service, pause)
            case _:
                pass

    def _submit(self, message: Submit) -> None:
        request = message.ask
        if not self._scheduler.has_pool(request.service):
            return
        decided = False

        def reply(decision: PlacementDecision) -> None:
            nonlocal decided
            decided = True
            self._send_decision(decision)

        self._scheduler.submit(self.follower_id, request, reply)
        if not decided and self.link is not None:
            self.link.send(Waiting(request.id))

    def _send_decision(self, decision: PlacementDecision) -> None:
        if self.link is None:
            return
        match decision:
            case Grant():
                self.link.send(Granted(decision))
            case _:
                self.link.send(Refused(decision))
