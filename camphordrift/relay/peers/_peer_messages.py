"""Messages between VMs, encoded as msgpack.

Classes that were renamed keep their former name as the tag on the wire.
"""

from typing import Optional, Union

import msgspec

from camphordrift.relay.crashes import CrashEvidence
from camphordrift.relay.model import Address, Seconds, TolerantEnum
from camphordrift.relay.peers._message_kinds import (
    ABILITIES,
    BASE_KINDS,
    kinds_in,
    newer_values,
)
from camphordrift.relay.scheduling import (
    AttemptOutcome,
    ColdServer,
    Grant,
    Permit,
    PlacementRefusal,
    PlacementRequest,
    ServerLimit,
)
from camphordrift.relay.servers import (
    DirectoryChange,
    PathStatement,
    ServerPause,
    ServerStart,
    ZoneStatement,
)


class Member(msgspec.Struct, frozen=True, tag=True):
    """A VM of the relay, as it announces itself on the store and to other VMs."""

    #: Id of the VM.
    vm: str
    #: Milliseconds since the epoch at which its process started.
    started_ms: int
    #: Address on which it accepts connections of other VMs.
    host: str
    port: int
    #: Capacity class of the VM (:attr:`RelaySettings.capacity`): log2 of its size relative to the
    #: smallest VMs; 0 = smallest, 1 = twice as large.
    capacity: int = 0
    #: Availability zone of the VM.
    zone: str = ""
    #: Kinds of messages that the VM understands besides those of commit 0a2fe75, and its other
    #: abilities. Empty if its build has no others, or if a VM of such a build passed the record on.
    newer_kinds: tuple[str, ...] = ()

    @property
    def address(self) -> Address:
        """Address on which the VM accepts connections of other VMs."""
        return Address(self.host, self.port)

    @property
    def leader_rank(self) -> tuple[int, int, str]:
        """Sort key for the choice of a leader: highest capacity first, then earliest start."""
        return -self.capacity, self.started_ms, self.vm

    def is_same_start(self, other: "Member") -> bool:
        """Returns whether both are of one start of the VM.

        Records that VMs of older builds passed on may lack fields.
        """
        return (self.vm, self.started_ms, self.address) == (
            other.vm,
            other.started_ms,
            other.address,
        )


class Submit(msgspec.Struct, frozen=True, tag=True):
    """Submits a placement request to the leader."""

    #: The placement request.
    ask: PlacementRequest


class Register(msgspec.Struct, frozen=True, tag=True):
    """Registers a request that the leader did not place itself, so that it counts as load."""

    #: The placement request.
    ask: PlacementRequest
    grant: Grant
    #: Whether its prefill has not finished.
    reading: bool


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Withdraws a placement request."""

    #: Id of the placement request.
    ask_id: str


class PrefillFinished(msgspec.Struct, frozen=True, tag="PromptRead"):
    """Reports the first event of a response, which shows that prefill has finished."""

    #: Id of the placement request.
    ask_id: str


class EventGapReport(msgspec.Struct, frozen=True, tag="PauseSeen"):
    """Reports the shortest of the first gaps between events of a response."""

    #: Id of the placement request.
    ask_id: str
    #: The gap in seconds.
    pause: Seconds


class Finished(msgspec.Struct, frozen=True, tag=True):
    """Reports the end of a request that was placed."""

    #: Id of the placement request.
    ask_id: str
    outcome: AttemptOutcome
    #: Id or address of the engine that the response names as the cause of a failure.
    at_fault: Optional[str] = None


class Waiting(msgspec.Struct, frozen=True, tag=True):
    """Acknowledges a placement request whose decision has to wait for a free engine."""

    #: Id of the placement request.
    ask_id: str


class Granted(msgspec.Struct, frozen=True, tag=True):
    """Answers a placement request with an engine."""

    grant: Grant


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Answers a placement request with a refusal."""

    refusal: PlacementRefusal


class StoreUnreachable(msgspec.Struct, frozen=True, tag="Unfit"):
    """Reports that a VM cannot reach the store, while other VMs can."""

    #: Id of the VM that cannot reach the store.
    vm: str


class StoreReachable(msgspec.Struct, frozen=True, tag=True):
    """Tells a follower that the sender's own leader reaches the store.

    Sent only by a VM that has followers although it follows another VM.
    """

    #: Id of the sender's leader.
    vm: str


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="ConfigurationNews"):
    """Announces a newer configuration.

    Sending the document itself to all VMs would saturate the link of a small leader.
    """

    #: Version of the new configuration.
    version: int
    #: Address of a VM that sends the document on request; without one, it is read from the store.
    source: Optional[Address] = None
    #: API keys that it withdraws, which are refused at once, before the document has arrived.
    withdrawn_keys: frozenset[str] = frozenset()


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="ConfigurationWanted"):
    """Requests the configuration document from another VM."""

    #: Oldest version that is useful. The response is sent once the VM has it.
    version: int = 0


class ConfigurationDocument(msgspec.Struct, frozen=True, tag=True):
    """Sends a configuration to a VM that requested it, or that passes it on to others."""

    #: The document as it is stored.
    document: bytes


class ServerUpdate(msgspec.Struct, frozen=True, tag="ServerNews"):
    """Forwards changes of the backend server directory."""

    #: Servers that were listed, changed or removed.
    changes: tuple[DirectoryChange, ...]


class CrashEvidenceUpdate(msgspec.Struct, frozen=True, tag="PartEvidenceUpdate"):
    """Tells a VM about traits of requests that may crash servers, in either direction of a link."""

    evidence: CrashEvidence


class ServersLeaving(msgspec.Struct, frozen=True, tag=True):
    """Reports backend servers that announced in a response that they leave."""

    starts: tuple[ServerStart, ...]


class ServersLimited(msgspec.Struct, frozen=True, tag=True):
    """Tells a VM of limits that backend servers named in responses, or that have ended."""

    limits: tuple[ServerLimit, ...]


class ZonesStated(msgspec.Struct, frozen=True, tag=True):
    """Tells a VM which zones are evacuated or taken back, in either direction of a link."""

    statements: tuple[ZoneStatement, ...]


class ServersCold(msgspec.Struct, frozen=True, tag=True):
    """Tells a VM of servers that are cold, or that became warm earlier than expected."""

    servers: tuple[ColdServer, ...]


class PermitRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader for permission to send a request to a limited server."""

    #: Number of the request on this connection; the response repeats it.
    number: int
    service: str
    #: Ids of the servers that may get the request.
    server_ids: tuple[str, ...]
    #: Maximum number of seconds until it may be sent.
    max_delay: Seconds


class PermitResponse(msgspec.Struct, frozen=True, tag=True):
    """Response to a permit request."""

    number: int
    permit: Permit


class LimitedRequestSent(msgspec.Struct, frozen=True, tag=True):
    """Reports a request to a limited server that needed no permission, such as an order."""

    server_id: str


class ServerPaused(msgspec.Struct, frozen=True, tag=True):
    """Tells the leader that a backend server wants no requests from the sender for some time."""

    service: str
    pause: ServerPause


class OpenTunnel(msgspec.Struct, frozen=True, tag=True):
    """First message on a connection that is to be a tunnel to a backend server."""

    server: Address
    #: Seconds within which the connection to the server must be established.
    timeout: Seconds


class TunnelOpened(msgspec.Struct, frozen=True, tag=True):
    """Tells that the connection to the server is established."""


class TunnelRefused(msgspec.Struct, frozen=True, tag=True):
    """Tells that there is no connection to the server."""

    reason: str
    #: Whether the server's host refused to connect.
    server_refused: bool


class TunnelData(msgspec.Struct, frozen=True, tag=True):
    """Data of the connection to the server, in either direction."""

    content: bytes


class ConnectionEnd(TolerantEnum):
    """How a connection to a server ended."""

    #: The server closed it, which may be the regular end of a response.
    CLOSED = "closed"
    #: The server reset it, so that a response is incomplete.
    RESET = "reset"
    #: It broke on the way.
    LOST = "lost"

    @classmethod
    def _fallback(cls) -> "ConnectionEnd":
        return cls.LOST


class TunnelEnded(msgspec.Struct, frozen=True, tag=True):
    """Tells that the connection to the server ended."""

    end: ConnectionEnd


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Checks that the leader responds, and asks for the age of its state."""

    #: Sequence number of the ping; the pong repeats it.
    number: int
    #: Version of the sender's configuration; 0 while it has none.
    version: int = 0
    #: Era of the store, as far as the sender knows; 0 if it knows none.
    era: int = 0
    #: Seconds since the restore that began this era was noticed; ``None`` if it was not.
    restore_age: Optional[Seconds] = None


class Pong(msgspec.Struct, frozen=True, tag=True):
    """Response to a ping, sent after all updates that the leader had by then.

    Ages are the seconds since the leader sent its latest successful read of the store. While the
    store was restored recently, successful reads do not confirm the configuration.
    """

    #: Number of the ping.
    number: int
    #: Version of the leader's configuration; 0 while it has none.
    version: int
    #: Seconds since the leader sent the read that last confirmed its configuration.
    configuration_age: Seconds
    #: Age of the leader's backend server directory in seconds.
    servers_age: Seconds
    #: Seconds since the leader last read the configuration; ``None`` if all reads confirm it.
    configuration_read_age: Optional[Seconds] = None
    #: Era of the store, as far as the leader knows; 0 if it knows none.
    era: int = 0
    #: Seconds since the restore that began this era was noticed; ``None`` if it was not.
    restore_age: Optional[Seconds] = None
    #: Number of VMs that the leader knows to run, itself included. A follower need not know all.
    vm_count: int = 1
    #: One of the leader's followers, each time another one, without its newer kinds.
    other_vm: Optional[Member] = None
    #: Kinds of messages and abilities that all VMs have which the leader is in touch with, as in
    #: :attr:`Member.newer_kinds`; ``None`` if they are as in the last pong that stated them.
    common_kinds: Optional[tuple[str, ...]] = None

    @property
    def store_read_age(self) -> float:
        """Seconds since the leader last read the configuration from the store."""
        if self.configuration_read_age is None:
            return self.configuration_age
        return self.configuration_read_age


Message = Union[
    Member,
    Submit,
    Register,
    Withdraw,
    PrefillFinished,
    EventGapReport,
    Finished,
    Waiting,
    Granted,
    Refused,
    StoreUnreachable,
    StoreReachable,
    ConfigurationUpdate,
    ConfigurationRequest,
    ConfigurationDocument,
    ServerUpdate,
    CrashEvidenceUpdate,
    ServersLeaving,
    ServersLimited,
    PermitRequest,
    PermitResponse,
    LimitedRequestSent,
    ServerPaused,
    PathStatement,
    OpenTunnel,
    TunnelOpened,
    TunnelRefused,
    TunnelData,
    TunnelEnded,
    Ping,
    Pong,
    ZonesStated,
    ServersCold,
]

#: Kinds of messages that this build understands.
MESSAGE_KINDS = kinds_in(Message)

#: Kinds of messages that this build understands besides those that every build understands, values
#: in messages that it understands so, and its other abilities.
NEWER_KINDS = tuple(sorted((MESSAGE_KINDS - BASE_KINDS) | newer_values() | ABILITIES))

#: Decodes and encodes messages without their length.
message_decoder = msgspec.msgpack.Decoder(Message)
message_encoder = msgspec.msgpack.Encoder()


def encode_member(member: Member) -> bytes:
    """Returns the value of a member's record in the store."""
    return message_encoder.encode(member)


_member_decoder = msgspec.msgpack.Decoder(Member)


def decode_member(content: bytes) -> Member:
    """Decodes the value of a member's record.

    Raises:
        ValueError: The value is not a valid member.

    """
    try:
        return _member_decoder.decode(content)
    except RecursionError as error:
        raise ValueError("the record is nested too deeply") from error
