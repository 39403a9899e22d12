"""Which kinds of messages VMs of different builds understand.

Builds up to commit 0a2fe75 close a link on which a message of an unknown kind arrives. Later builds
announce the kinds that they understand beyond those, get no others, and pass over unknown ones.
"""

from enum import Enum
from typing import Optional, get_args

import msgspec

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.scheduling import AttemptOutcome, RefusalReason

#: Kinds of messages that every build understands; they are those of commit 0a2fe75. This list never
#: changes: all other kinds are newer, and are sent only to VMs that announce them.
BASE_KINDS = frozenset(
    {
        "ConfigurationDocument",
        "ConfigurationNews",
        "ConfigurationWanted",
        "Finished",
        "Granted",
        "LimitedRequestSent",
        "Member",
        "OpenTunnel",
        "PartEvidenceUpdate",
        "PathStatement",
        "PauseSeen",
        "PermitRequest",
        "PermitResponse",
        "Ping",
        "Pong",
        "PromptRead",
        "Refused",
        "Register",
        "ServerNews",
        "ServerPaused",
        "ServersLeaving",
        "ServersLimited",
        "StoreReachable",
        "Submit",
        "TunnelData",
        "TunnelEnded",
        "TunnelOpened",
        "TunnelRefused",
        "Unfit",
        "Waiting",
        "Withdraw",
    }
)

#: Values in messages that every build understands, those of commit 0a2fe75, by enumeration. This
#: list never changes either; newer values are announced like newer kinds.
BASE_VALUES: dict[type[Enum], frozenset[str]] = {
    RefusalReason: frozenset(
        {
            "the engines take no more requests for now",
            "no_engine",
            "too_late",
            "never_fits",
        }
    ),
    AttemptOutcome: frozenset({"served", "withheld", "rejected", "failed", "silent"}),
}

#: What this build can do besides, for features that all VMs must take part in but that need no kind
#: of message of their own.
ABILITIES: frozenset[str] = frozenset()


#: Maximum number of lines about kinds of messages that one link causes.
MAX_LOGGED_KINDS = 64


class _Envelope(msgspec.Struct):
    """The part of a message that is the same for all kinds."""

    type: str


_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)


def kind_of(message_type: type[msgspec.Struct]) -> str:
    """Returns the name of a kind of message on the wire."""
    tag = message_type.__struct_config__.tag
    assert isinstance(tag, str)
    return tag


def read_kind(content: bytes) -> str:
    """Returns the kind of an encoded message, which may be an unknown one.

    Raises:
        msgspec.MsgspecError: The content is no message.

    """
    return _envelope_decoder.decode(content).type


def kinds_in(union: object) -> frozenset[str]:
    """Returns the names of all kinds of messages in a union of their types."""
    return frozenset(kind_of(message_type) for message_type in get_args(union))


def value_name(value: Enum) -> str:
    """Returns the name under which a VM announces that it understands a newer value."""
    return f"{type(value).__name__}:{value.value}"


def is_base_value(value: Enum) -> bool:
    """Returns whether every build understands a value."""
    return value.value in BASE_VALUES[type(value)]


def newer_values() -> frozenset[str]:
    """Returns the names of all values of this build that not every build understands."""
    return frozenset(
        value_name(value) for values in BASE_VALUES for value in values if not is_base_value(value)
    )


class PeerKinds:
    """The kinds of messages that the VM at the other end of a link understands."""

    def __init__(self) -> None:
        self._peer: Optional[str] = None
        self._newer: Optional[frozenset[str]] = None
        self._logged: set[tuple[str, str]] = set()

    @property
    def is_known(self) -> bool:
        """Whether the other VM's first message has arrived."""
        return self._newer is not None

    def record_introduction(self, peer: Optional[str], newer_kinds: tuple[str, ...]) -> None:
        """Records the other VM's first message.

        Args:
            peer: Id of the other VM; ``None`` if it did not introduce itself.
            newer_kinds: The kinds that it understands besides :data:`BASE_KINDS`.

        """
        self._peer = peer
        self._newer = frozenset(newer_kinds)

    def understands(self, kind: str) -> bool:
        """Returns whether the other VM is known to understand a kind of message."""
        return kind in BASE_KINDS or self._has_announced(kind)

    def understands_value(self, value: Enum) -> bool:
        """Returns whether the other VM is known to understand a value in a message."""
        return is_base_value(value) or self._has_announced(value_name(value))

    def _has_announced(self, name: str) -> bool:
        return self._newer is not None and name in self._newer

    def record_withheld(self, kind: str) -> None:
        """Records that the other VM did not get a message, as it does not understand its kind."""
        self._log_once("message_withheld", kind)

    def record_unknown(self, kind: str) -> None:
        """Records a message of the other VM whose kind this VM does not understand."""
        self._log_once("message_kind_unknown", kind)

    def record_failed(self, kind: str, error: Exception) -> None:
        """Records a message that could not be handled."""
        self._log_once("message_failed", kind, LogLevel.ERROR, error=repr(error))

    def _log_once(
        self, event: str, kind: str, level: LogLevel = LogLevel.WARNING, **fields: str
    ) -> None:
        if (event, kind) not in self._logged and len(self._logged) < MAX_LOGGED_KINDS:
            self._logged.add((event, kind))
            log_event(event, level=level, kind=kind, peer=self._peer, **fields)
