"""Client of the platform's store, used as a keyed log."""

import base64
import math
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Optional
from urllib.parse import urlencode

import msgspec
import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.platform._json import MAX_NUMBER, Count, decode_json
from camphordrift.relay import (
    Address,
    Batch,
    BrokenAnswerError,
    ConnectionPool,
    HistoryLostError,
    KeyedRecord,
    SmallRequest,
    StoreError,
)

#: Timeout in seconds for connecting to the store.
_CONNECT_TIMEOUT = 0.7

#: Seconds within which the store must respond. The seconds that a read asks it to wait for new
#: records are added. A slow store takes 0.25 s.
_RESPONSE_TIMEOUT = 1.0

#: Maximum size in KiB of the records that one read returns (PROTOCOL.md: 1,024 is the default).
_MAX_READ_KB = 1024

#: Maximum size of a response in bytes. The largest are pages of newest records (1 MB, in base64).
_MAX_RESPONSE_BYTES = 4 << 20


#: Path of reads; only their records can have expired.
_READ_PATH = "/v1/log-read"

#: Header of the response to a read: end offset of the topic, and its first retained offset.
_READ_HEADER = struct.Struct(">qq")

#: Lower-case name of the header with the number of times that the store was restored from an older
#: copy.
_ERA_HEADER = b"store-era"

#: Number of bytes of an unreadable value or a body that a log line shows.
_SHOWN_BYTES = 200

#: Length prefix of each record in a read or an append, in bytes.
_RECORD_LENGTH = struct.Struct(">I")


class _NewestItem(msgspec.Struct, rename="pascal"):
    key: str
    #: Base64; empty if the key was removed.
    value: str = ""
    offset: Count = 0

    def decode_record(self) -> Optional[KeyedRecord]:
        """Returns the record; ``None`` if its value is not base64."""
        try:
            return KeyedRecord(self.key, base64.b64decode(self.value), self.offset)
        except ValueError:
            return None


class _NewestPage(msgspec.Struct, rename="pascal"):
    items: list[_NewestItem]
    end_offset: Count
    has_more: bool = False


_page_decoder = msgspec.json.Decoder(_NewestPage)


@dataclass(frozen=True)
class _Response:
    status: int
    #: Era of the store; ``None`` if the response states none.
    era: Optional[int]
    content: bytes


class PlatformStore:
    """Implements :class:`camphordrift.relay.KeyedLog` over HTTP.

    Concurrent reads use separate connections. A connection on which a response was not received
    completely is not reused. All calls use part 0 of a topic (query
    parameter ``part``).
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connections = ConnectionPool(_CONNECT_TIMEOUT)

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key."""
        records: list[KeyedRecord] = []
        # Records may be appended between two pages, so the pages together are not a snapshot. The
        # next read therefore starts at the end offset of the first page.
        next_offset: Optional[int] = None
        era: Optional[int] = None
        after: Optional[str] = None
        while True:
            query: dict[str, str] = {"Topic": topic, "part": "0"}
            if after is not None:
                query["After"] = after
            response = await self._call("GET", "/v1/log-newest", query)
            if after is not None and response.era != era:
                raise StoreError("the store was restored between two pages", response.era)
            era = response.era
            page = _decode_page(response.content)
            next_offset = page.end_offset if next_offset is None else next_offset
            decoded = [item.decode_record() for item in page.items]
            records += _readable(decoded, topic)
            if not page.has_more or not page.items:
                return Batch(tuple(records), next_offset, era=era or 0)
            if page.items[-1].key == after:
                raise StoreError("a page of newest records is the same as the last one", era)
            after = page.items[-1].key

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records starting at ``offset``; waits up to ``wait`` seconds for one."""
        query = {
            "Topic": topic,
            "part": "0",
            "From": str(offset),
            "WaitMs": str(int(wait * 1000)),
            "MaxKb": str(_MAX_READ_KB),
        }
        response = await self._call("GET", _READ_PATH, query, wait=wait)
        content = response.content
        if len(content) < _READ_HEADER.size:
            raise StoreError("response to a read is shorter than its offset header")
        end, _ = _READ_HEADER.unpack_from(content)
        records = list(_parse_records(content[_READ_HEADER.size :], offset))
        next_offset = offset + len(records)
        return Batch(
            tuple(_readable(records, topic)),
            next_offset,
            complete=next_offset >= end,
            era=response.era or 0,
        )

    async def append(self, topic: str, record: KeyedRecord) -> int:
        """Appends a record and returns the era of the store that contains it.

        After an error the record may have been appended or not.
        """
        key = record.key.encode()
        content = bytes((len(key),)) + key + (record.value or b"")
        body = _RECORD_LENGTH.pack(len(content)) + content
        query = {"Topic": topic, "part": "0"}
        return (await self._call("POST", "/v1/log-append", query, body=body)).era or 0

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        wait: float = 0.0,
    ) -> _Response:
        target = f"{path}?{urlencode(query)}"
        try:
            with trio.fail_after(_RESPONSE_TIMEOUT + wait):
                response = await self._exchange(method, target, body)
        except (OSError, BrokenAnswerError, trio.TooSlowError) as error:
            raise StoreError(f"{path}: {type(error).__name__} {error}") from error
        if response.status == 410 and path == _READ_PATH:
            raise HistoryLostError(path, response.era)
        if response.status != 200:
            reason = f"{path}: status {response.status} {response.content[:_SHOWN_BYTES]!r}"
            raise StoreError(reason, response.era)
        return response

    async def _exchange(self, method: str, target: str, body: bytes) -> _Response:
        host, port = self._address.host, self._address.port
        headers = [
            (b"host", str(self._address).encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        request = SmallRequest(method.encode(), target.encode(), headers, body, _MAX_RESPONSE_BYTES)
        connection = await self._connections.acquire(host, port)
        # The connection may be reused at any later time, as long as the store keeps it open.
        response = await self._connections.exchange(host, port, connection, request, math.inf)
        return _Response(response.status, _parse_era(response.headers), response.body)


def _parse_era(headers: Iterable[tuple[bytes, bytes]]) -> Optional[int]:
    for name, value in headers:
        if name != _ERA_HEADER:
            continue
        if value.isdigit() and len(value) <= len(str(MAX_NUMBER)) and int(value) <= MAX_NUMBER:
            return int(value)
        log_event("store_era_unreadable", level=LogLevel.WARNING, value=value[:_SHOWN_BYTES])
    return None


def _decode_page(content: bytes) -> _NewestPage:
    try:
        return decode_json(_page_decoder, content)
    except ValueError as error:
        raise StoreError(f"malformed page of newest records: {error}") from error


def _readable(records: list[Optional[KeyedRecord]], topic: str) -> list[KeyedRecord]:
    """Returns the records that could be decoded; logs the number of the others."""
    readable = [record for record in records if record is not None]
    if len(readable) < len(records):
        log_event("records_unreadable", topic=topic, count=len(records) - len(readable))
    return readable


def _parse_records(content: bytes, offset: int) -> Iterator[Optional[KeyedRecord]]:
    """Yields the records of a read, and ``None`` for each malformed one."""
    position = 0
    while position + _RECORD_LENGTH.size <= len(content):
        (length,) = _RECORD_LENGTH.unpack_from(content, position)
        position += _RECORD_LENGTH.size
        record = content[position : position + length]
        position += length
        if len(record) < length:
            return
        yield _parse_record(record, offset)
        offset += 1


def _parse_record(record: bytes, offset: int) -> Optional[KeyedRecord]:
    if not record or len(record) < 1 + record[0]:
        return None
    key_end = 1 + record[0]
    key = record[1:key_end].decode("utf-8", errors="replace")
    return KeyedRecord(key, record[key_end:] or None, offset)
