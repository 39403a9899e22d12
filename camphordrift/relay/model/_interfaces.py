"""Interfaces that adapters implement for the relay."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Optional, Protocol

from camphordrift.relay.model._values import (
    BackendServer,
    Configuration,
    EngineReport,
    ForwardingMetadata,
    RequestMetadata,
    ResponseMetadata,
)

#: Pairs of lower-case header name and value, as in h11.
Headers = Sequence[tuple[bytes, bytes]]


class HeaderFormat(Protocol):
    """Parses and writes the headers that carry the relay's request metadata."""

    def request_metadata(self, headers: Headers) -> RequestMetadata:
        """Parses the headers of a caller's request.

        Raises:
            ValueError: A header is malformed.

        """
        ...

    def response_metadata(self, headers: Headers) -> ResponseMetadata:
        """Parses the headers of a backend server's response; raises no error for any of them."""
        ...

    def outgoing_headers(
        self, headers: Headers, metadata: ForwardingMetadata
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a caller's request in the form to forward to a server."""
        ...


@dataclass(frozen=True)
class Reservation:
    """A reservation of KV cache memory on an engine."""

    id: str
    tokens: int
    #: Seconds after which the engine frees the memory unless the reservation is renewed.
    lifetime: float


class OrderFormat(Protocol):
    """Encodes the memory orders that engines accept."""

    @property
    def path(self) -> bytes:
        """URL path to which orders are posted."""
        ...

    @property
    def content_type(self) -> bytes:
        """Value of the ``Content-Type`` header of orders."""
        ...

    def reserve(self, reservation: Reservation) -> bytes:
        """Returns the body of an order that reserves memory."""
        ...

    def release(self, reservation_id: str) -> bytes:
        """Returns the body of an order that releases a reservation."""
        ...


class ReportFormat(Protocol):
    """Parses the reports in which engines state their load."""

    @property
    def path(self) -> bytes:
        """URL path of an engine's report."""
        ...

    def parse(self, content: bytes) -> EngineReport:
        """Parses a report.

        Raises:
            ValueError: The report is malformed.

        """
        ...


@dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed log; one without a value is a tombstone that deletes the key."""

    key: str
    value: Optional[bytes]
    #: Offset in the topic; -1 for a record that has not been appended yet.
    offset: int = -1


@dataclass(frozen=True)
class Batch:
    """Records read from a keyed log, with the offset at which to continue."""

    records: tuple[KeyedRecord, ...]
    #: Offset after the last record examined.
    next_offset: int
    #: Whether the batch contains everything that the log held when the response was made.
    complete: bool = True
    #: Era of the store from which the records were read; 0 if the store states none.
    era: int = 0


class HistoryLostError(Exception):
    """The requested offset is past retention; the newest record of each key must be read.

    Args:
        message: Description of the read.
        era: Era of the store; ``None`` if unknown.

    """

    def __init__(self, message: str, era: Optional[int] = None) -> None:
        super().__init__(message)
        self.era = era


class StoreError(Exception):
    """A request to the store failed, timed out or got an invalid response.

    Args:
        message: Description of the failure.
        era: Era of the store; ``None`` if unknown.

    """

    def __init__(self, message: str, era: Optional[int] = None) -> None:
        super().__init__(message)
        self.era = era


class KeyedLog(Protocol):
    """A compacted log: it retains at least the newest record of each key.

    Its era is the number of times that it was restored from an older copy. A restored log has lost
    its latest records and assigns their offsets again, so offsets are comparable only within an
    era.
    """

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key.

        Raises:
            StoreError: The request failed.

        """
        ...

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records starting at ``offset``; waits up to ``wait`` seconds for the first one.

        Raises:
            HistoryLostError: Records at ``offset`` or later have expired.
            StoreError: The request failed.

        """
        ...

    async def append(self, topic: str, record: KeyedRecord) -> int:
        """Appends a record and returns the era of the store that contains it.

        Raises:
            StoreError: The request failed; the record may or may not have been appended.

        """
        ...


class DocumentFormat(Protocol):
    """Parses the documents that operators and backend servers publish."""

    def configuration(self, document: bytes) -> Configuration:
        """Parses a configuration.

        Raises:
            ValueError: The document is malformed.

        """
        ...

    def configuration_version(self, document: bytes) -> int:
        """Returns the version of a configuration, at much less cost than parsing all of it.

        Raises:
            ValueError: The document is malformed.

        """
        ...

    def server(self, server_id: str, document: bytes) -> BackendServer:
        """Parses the directory entry of a backend server.

        Raises:
            ValueError: The document is malformed, or describes no usable server.

        """
        ...


@dataclass(frozen=True)
class LogTopics:
    """Topics and keys of the relay's records in the keyed log."""

    #: Topic and key of the configuration record.
    configuration: str
    configuration_key: str
    #: Topic of backend servers, keyed by server id.
    servers: str
    #: Topic of the VMs, keyed by VM name.
    members: str
    #: What the keys of the records that evacuate zones have before the name of the zone; they are
    #: in the topic of the configuration.
    evacuation_key_prefix: str = "evacuate/"
