"""In-memory stand-in for the parts of the platform's store that the relay uses."""

import base64
import bisect
import struct
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Optional
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from camphordrift.testing import HttpRequest, serve_requests


class StoreMode(Enum):
    """How the store responds."""

    #: Responds correctly.
    WELL = "well"
    #: Responds with status 503.
    BUSY = "busy"
    #: Responds after :data:`SLOW_TIME`.
    SLOW = "slow"
    #: Executes writes but closes their connections without a response.
    LOST = "lost"


#: Seconds by which a slow response is delayed.
SLOW_TIME = 0.25


@dataclass(frozen=True)
class _Record:
    key: str
    #: Empty if the record removes the key.
    content: bytes
    #: Time of the soak's clock in seconds.
    appended_at: float


class SoakStore:
    """Stand-in for the platform's store: a keyed log in memory, served over HTTP."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.mode = StoreMode.WELL
        #: Rises each time that the store is restored from an older copy.
        self.era = 1
        self._records: dict[str, list[_Record]] = defaultdict(list)
        self._changed = trio.Event()
        self._restorations = 0
        self._back = trio.Event()
        self._back.set()

    @property
    def is_up(self) -> bool:
        """Whether the store accepts calls."""
        return self._restorations == 0

    async def wait_until_up(self) -> None:
        """Waits until the store accepts calls."""
        while not self.is_up:
            await self._back.wait()

    async def restore(self, age: float, downtime: float, on_return: Callable[[], None]) -> None:
        """Goes down, and comes back without what was written in the last ``age`` seconds.

        Args:
            age: Age of the copy in seconds.
            downtime: Seconds for which the store is down.
            on_return: Called before the store accepts calls again.

        """
        self._restorations += 1
        self._back = trio.Event()
        self.era += 1
        limit = trio.current_time() - age
        for records in self._records.values():
            del records[bisect.bisect_right(records, limit, key=lambda r: r.appended_at) :]
        self._notify()
        await trio.sleep(downtime)
        on_return()
        self._restorations -= 1
        if self.is_up:
            self._back.set()

    def newest_keys(self, topic: str) -> set[str]:
        """Returns the keys of a topic that have a value."""
        newest = {record.key: record.content for record in self._records[topic]}
        return {key for key, content in newest.items() if content}

    def put(self, topic: str, key: str, value: Optional[object]) -> None:
        """Appends a document; ``None`` removes the key."""
        content = b"" if value is None else msgspec.json.encode(value)
        self._append(topic, key, content)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        await serve_requests(self.host, self.port, self._handle, task_status)

    async def _handle(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        if not self.is_up:
            return False
        if self.mode is StoreMode.BUSY:
            await self._send(stream, b"503 Service Unavailable", b"")
            return True
        if self.mode is StoreMode.SLOW:
            await trio.sleep(SLOW_TIME)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        era = self.era
        content = await self._content(parts.path, query, request.body)
        if era != self.era or self.mode is StoreMode.LOST and request.method == "POST":
            return False
        if content is None:
            await self._send(stream, b"410 Gone", b'{"FirstOffset":0}')
            return True
        await self._send(stream, b"200 OK", content)
        return True

    async def _content(self, path: str, query: dict[str, str], body: bytes) -> Optional[bytes]:
        """Executes a call; returns ``None`` for a read from an offset that does not exist."""
        topic = query["Topic"]
        if path == "/v1/log-append":
            key_end = 5 + body[4]
            self._append(topic, body[5:key_end].decode(), body[key_end:])
            return b"{}"
        if path == "/v1/log-newest":
            return self._newest(topic)
        return await self._read(topic, int(query["From"]), int(query["WaitMs"]) / 1000)

    def _append(self, topic: str, key: str, content: bytes) -> None:
        self._records[topic].append(_Record(key, content, trio.current_time()))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _newest(self, topic: str) -> bytes:
        newest: dict[str, dict[str, object]] = {}
        for offset, record in enumerate(self._records[topic]):
            value = base64.b64encode(record.content).decode()
            newest[record.key] = {"Key": record.key, "Value": value, "Offset": offset}
            if not record.content:
                del newest[record.key]
        end = len(self._records[topic])
        return msgspec.json.encode(
            {"Items": list(newest.values()), "EndOffset": end, "HasMore": False}
        )

    async def _read(self, topic: str, offset: int, wait: float) -> Optional[bytes]:
        records, era = self._records[topic], self.era
        if offset > len(records):
            return None
        with trio.move_on_after(wait):
            while len(records) <= offset and era == self.era:
                await self._changed.wait()
        content = bytearray(struct.pack(">qq", len(records), 0))
        for record in records[offset:]:
            data = bytes((len(record.key),)) + record.key.encode() + record.content
            content += struct.pack(">I", len(data)) + data
        return bytes(content)

    async def _send(self, stream: trio.SocketStream, status: bytes, content: bytes) -> None:
        head = b"HTTP/1.1 %b\r\nstore-era: %d\r\ncontent-length: %d\r\n\r\n"
        await stream.send_all(head % (status, self.era, len(content)) + content)
