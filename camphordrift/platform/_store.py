"""The platform's store as a keyed log."""

import base64
import math
import struct
from collections.abc import Iterator
from typing import Optional
from urllib.parse import urlencode

import msgspec
import trio

from camphordrift.event_log import log_event
from camphordrift.relay import (
    Address,
    Batch,
    BrokenAnswerError,
    ConnectionPool,
    HistoryLostError,
    KeyedRecord,
    StoreError,
)

#: Seconds for a connection to the store.
_CONNECT_TIMEOUT = 0.7

#: Seconds for an answer, besides those that the store was asked to wait; a slow store takes 0.25.
_ANSWER_TIMEOUT = 1.0

#: Most KiB that one read returns (PROTOCOL.md: 1,024 if not said).
_READ_KB = 1024

#: End offset and first offset that is kept, before the records of a read.
_READ_HEAD = struct.Struct(">qq")

_RECORD_LENGTH = struct.Struct(">I")


class _NewestItem(msgspec.Struct, rename="pascal"):
    key: str
    #: Base64.
    value: str = ""
    offset: int = 0


class _NewestPage(msgspec.Struct, rename="pascal"):
    items: list[_NewestItem]
    end_offset: int
    has_more: bool = False


_page_decoder = msgspec.json.Decoder(_NewestPage)


class PlatformStore:
    """Implements :class:`camphordrift.relay.KeyedLog`; opens a connection for each follower.

    A connection that lost an answer is not used again.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connections = ConnectionPool(_CONNECT_TIMEOUT)

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key."""
        records: list[KeyedRecord] = []
        # Pages are no snapshot, so the log is followed from where the first one ended.
        next_offset: Optional[int] = None
        after: Optional[str] = None
        while True:
            query: dict[str, str] = {"Topic": topic, "part": "0"}
            if after is not None:
                query["After"] = after
            page = _decode_page(await self._call("GET", "/v1/log-newest", query))
            next_offset = page.end_offset if next_offset is None else next_offset
            records += [
                KeyedRecord(item.key, base64.b64decode(item.value), item.offset)
                for item in page.items
            ]
            if not page.has_more or not page.items:
                return Batch(tuple(records), next_offset)
            after = page.items[-1].key

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records from ``offset`` on."""
        query = {
            "Topic": topic,
            "part": "0",
            "From": str(offset),
            "WaitMs": str(int(wait * 1000)),
            "MaxKb": str(_READ_KB),
        }
        content = await self._call("GET", "/v1/log-read", query, wait=wait)
        if len(content) < _READ_HEAD.size:
            raise StoreError("a read without its offsets")
        end, _ = _READ_HEAD.unpack_from(content)
        records = tuple(_split_records(content[_READ_HEAD.size :], offset))
        next_offset = offset + len(records)
        readable = tuple(record for record in records if record is not None)
        if len(readable) < len(records):
            log_event("records_unreadable", topic=topic, count=len(records) - len(readable))
        return Batch(readable, next_offset, complete=next_offset >= end)

    async def append(self, topic: str, record: KeyedRecord) -> None:
        """Appends a record."""
        key = record.key.encode()
        content = bytes((len(key),)) + key + (record.value or b"")
        body = _RECORD_LENGTH.pack(len(content)) + content
        await self._call("POST", "/v1/log-append", {"Topic": topic, "part": "0"}, body=body)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        wait: float = 0.0,
    ) -> bytes:
        target = f"{path}?{urlencode(query)}"
        try:
            with trio.fail_after(_ANSWER_TIMEOUT + wait):
                status, content = await self._exchange(method, target, body)
        except (OSError, BrokenAnswerError, trio.TooSlowError) as error:
            raise StoreError(f"{path}: {type(error).__name__} {error}") from error
        if status == 410:
            raise HistoryLostError(path)
        if status != 200:
            raise StoreError(f"{path}: status {status} {content[:200]!r}")
        return content

    async def _exchange(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        host, port = self._address.host, self._address.port
        connection = await self._connections.acquire(host, port)
        idle = 0.0
        try:
            headers = [
                (b"host", str(self._address).encode()),
                (b"content-length", b"%d" % len(body)),
            ]
            answer = await connection.exchange(method.encode(), target.encode(), headers, body)
            idle = math.inf
            return answer
        finally:
            self._connections.release(host, port, connection, idle)


def _decode_page(content: bytes) -> _NewestPage:
    try:
        return _page_decoder.decode(content)
    except msgspec.MsgspecError as error:
        raise StoreError(f"a page that cannot be read: {error}") from error


def _split_records(content: bytes, offset: int) -> Iterator[Optional[KeyedRecord]]:
    """Yields the records of a read, and ``None`` for one that cannot be read."""
    position = 0
    while position + _RECORD_LENGTH.size <= len(content):
        (length,) = _RECORD_LENGTH.unpack_from(content, position)
        position += _RECORD_LENGTH.size
        record = content[position : position + length]
        position += length
        if len(record) < length:
            return
        yield _keyed_record(record, offset)
        offset += 1


def _keyed_record(record: bytes, offset: int) -> Optional[KeyedRecord]:
    if not record or len(record) < 1 + record[0]:
        return None
    key_end = 1 + record[0]
    key = record[1:key_end].decode("utf-8", errors="replace")
    return KeyedRecord(key, record[key_end:] or None, offset)
