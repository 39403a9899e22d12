"""What the relay needs from an adapter."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Optional, Protocol

from camphordrift.relay._values import (
    AnswerFacts,
    BackendServer,
    Configuration,
    RequestFacts,
    SendFacts,
)

#: Header names (lower case) and values, as h11 has them.
Headers = Sequence[tuple[bytes, bytes]]


class HeaderFormat(Protocol):
    """Reads and writes the headers that carry the relay's own facts."""

    def request_facts(self, headers: Headers) -> RequestFacts:
        """Reads a caller's headers.

        Raises:
            ValueError: A header cannot be read.

        """
        ...

    def answer_facts(self, headers: Headers) -> AnswerFacts:
        """Reads a backend server's headers."""
        ...

    def outgoing_headers(self, headers: Headers, facts: SendFacts) -> list[tuple[bytes, bytes]]:
        """Returns a caller's end-to-end headers as a backend server gets them."""
        ...


@dataclass(frozen=True)
class Reservation:
    """Memory to be reserved on an engine."""

    id: str
    tokens: int
    #: Seconds for which the engine keeps it.
    lifetime: float


class OrderFormat(Protocol):
    """Writes the orders that engines take."""

    @property
    def path(self) -> bytes:
        """Path to which orders are posted."""
        ...

    @property
    def content_type(self) -> bytes:
        """Type of the bodies."""
        ...

    def reserve(self, reservation: Reservation) -> bytes:
        """Returns the body of an order that reserves memory."""
        ...

    def release(self, reservation_id: str) -> bytes:
        """Returns the body of an order that gives reserved memory back."""
        ...


@dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed log; without a value the key is dropped."""

    key: str
    value: Optional[bytes]
    #: Where the record stands on its topic; -1 for one that is yet to be appended.
    offset: int = -1


@dataclass(frozen=True)
class Batch:
    """Records of a keyed log, and where to go on."""

    records: tuple[KeyedRecord, ...]
    #: Offset after the last record that was looked at.
    next_offset: int
    #: Whether these were all records that the log had when it answered.
    complete: bool = True


class HistoryLostError(Exception):
    """The records asked for have expired; the newest of each key must be read."""


class StoreError(Exception):
    """The store did not answer as it should, or not at all."""


class KeyedLog(Protocol):
    """A log that keeps the newest record of each key."""

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key.

        Raises:
            StoreError: The store did not answer.

        """
        ...

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records from ``offset`` on; waits up to ``wait`` seconds for one.

        Raises:
            HistoryLostError: Records from ``offset`` on have expired.
            StoreError: The store did not answer.

        """
        ...

    async def append(self, topic: str, record: KeyedRecord) -> None:
        """Appends a record.

        Raises:
            StoreError: The store did not answer; the record may or may not stand.

        """
        ...


class DocumentFormat(Protocol):
    """Reads the documents that operators and backend servers write."""

    def configuration(self, document: bytes) -> Configuration:
        """Reads a configuration.

        Raises:
            ValueError: The document cannot be read.

        """
        ...

    def server(self, server_id: str, document: bytes) -> BackendServer:
        """Reads a backend server's entry.

        Raises:
            ValueError: The document cannot be read, or names no server to use.

        """
        ...


@dataclass(frozen=True)
class LogTopics:
    """Where on the keyed log things stand."""

    #: Topic and key of the configuration.
    configuration: str
    configuration_key: str
    #: Topic of backend servers, by their ids.
    servers: str
    #: Topic of the VMs themselves, by their names.
    members: str
