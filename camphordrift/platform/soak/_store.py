"""In-memory stand-in for the parts of the platform's store that the relay uses."""

import base64
import struct
from collections import defaultdict
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


class SoakStore:
    """Stand-in for the platform's store: a keyed log in memory, served over HTTP."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.mode = StoreMode.WELL
        self._records: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._changed = trio.Event()

    def put(self, topic: str, key: str, value: Optional[object]) -> None:
        """Appends a document; ``None`` removes the key."""
        content = b"" if value is None else msgspec.json.encode(value)
        self._append(topic, key, content)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        await serve_requests(self.host, self.port, self._handle, task_status)

    async def _handle(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        if self.mode is StoreMode.BUSY:
            await _send(stream, b"503 Service Unavailable", b"")
            return True
        if self.mode is StoreMode.SLOW:
            await trio.sleep(SLOW_TIME)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        content = await self._content(parts.path, query, request.body)
        if self.mode is StoreMode.LOST and request.method == "POST":
            return False
        await _send(stream, b"200 OK", content)
        return True

    async def _content(self, path: str, query: dict[str, str], body: bytes) -> bytes:
        topic = query["Topic"]
        if path == "/v1/log-append":
            key_end = 5 + body[4]
            self._append(topic, body[5:key_end].decode(), body[key_end:])
            return b"{}"
        if path == "/v1/log-newest":
            return self._newest(topic)
        return await self._read(topic, int(query["From"]), int(query["WaitMs"]) / 1000)

    def _append(self, topic: str, key: str, content: bytes) -> None:
        self._records[topic].append((key, content))
        self._changed.set()
        self._changed = trio.Event()

    def _newest(self, topic: str) -> bytes:
        newest: dict[str, dict[str, object]] = {}
        for offset, (key, content) in enumerate(self._records[topic]):
            value = base64.b64encode(content).decode()
            newest[key] = {"Key": key, "Value": value, "Offset": offset}
            if not content:
                del newest[key]
        end = len(self._records[topic])
        return msgspec.json.encode(
            {"Items": list(newest.values()), "EndOffset": end, "HasMore": False}
        )

    async def _read(self, topic: str, offset: int, wait: float) -> bytes:
        records = self._records[topic]
        with trio.move_on_after(wait):
            while len(records) <= offset:
                await self._changed.wait()
        content = bytearray(struct.pack(">qq", len(records), 0))
        for key, value in records[offset:]:
            record = bytes((len(key),)) + key.encode() + value
            content += struct.pack(">I", len(record)) + record
        return bytes(content)


async def _send(stream: trio.SocketStream, status: bytes, content: bytes) -> None:
    head = b"HTTP/1.1 %b\r\ncontent-length: %d\r\n\r\n" % (status, len(content))
    await stream.send_all(head + content)
