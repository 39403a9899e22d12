"""Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import contextlib
import json
import struct
import time
from collections import Counter, defaultdict
from typing import Any, Optional
from urllib.parse import parse_qs, urlsplit

from standins.http_messages import ClosedError, Head, encode, read_body, read_head


class Store:
    """A keyed log in memory. Each machine has an address of its own, which can be disturbed.

    Attributes:
        era: Value of the header ``Store-Era``.
        silent: Addresses at which calls get no answer.
        busy: Whether all calls are answered with 503.
        is_down: Whether the store is away: calls get no answer, and their channels end.
        reads: Number of reads of the configuration, by the address at which they arrived.

    """

    def __init__(self) -> None:
        self.era = 1
        self.silent: set[str] = set()
        self.busy = False
        self.is_down = False
        self.reads: Counter[str] = Counter()
        self._records: dict[str, list[tuple[str, bytes, float]]] = defaultdict(list)
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int) -> None:
        """Serves at one more address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ClosedError, ConnectionError, asyncio.CancelledError):
                await self._serve(host, reader, writer)
            writer.close()

        self._servers.append(await asyncio.start_server(serve, host, port))

    def put(self, topic: str, key: str, document: Optional[Any]) -> None:
        """Appends a record; ``None`` drops the key. Returning is the ack."""
        content = b"" if document is None else json.dumps(document).encode()
        self._append(topic, key, content)

    async def restore(self, age: float, downtime: float) -> None:
        """Goes away, and comes back from a copy.

        Args:
            age: Seconds before the beginning of which all records are kept.
            downtime: Seconds for which the store is away.

        """
        self.is_down = True
        limit = time.monotonic() - age
        for topic, records in self._records.items():
            self._records[topic] = [record for record in records if record[2] <= limit]
        self.era += 1
        await asyncio.sleep(downtime)
        self.is_down = False

    async def _serve(
        self, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await read_head(reader)
            body = await read_body(reader, head)
            if self.is_down:
                return
            era = self.era
            if host in self.silent:
                await asyncio.sleep(3600)
            await asyncio.sleep(0.004)
            if "Topic=keyed.op" in head.target:
                self.reads[host] += 1
            status, content = "503 Service Unavailable", b""
            if not self.busy:
                status, content = await self._answer(head, body)
            if host in self.silent:
                await asyncio.sleep(3600)
            if self.is_down or era != self.era:
                return
            writer.write(encode(f"HTTP/1.1 {status}", {"Store-Era": str(self.era)}, content))
            await writer.drain()

    async def _answer(self, head: Head, body: bytes) -> tuple[str, bytes]:
        parts = urlsplit(head.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        records = self._records[query["Topic"]]
        if parts.path == "/v1/log-newest":
            return "200 OK", self._newest(records)
        if parts.path == "/v1/log-append":
            key_end = 5 + body[4]
            first = len(records)
            self._append(query["Topic"], body[5:key_end].decode(), body[key_end:])
            return "200 OK", json.dumps({"Offset": first, "EndOffset": first + 1}).encode()
        offset = int(query["From"])
        if offset > len(records):
            return "410 Gone", b'{"FirstOffset":0}'
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("WaitMs", "0")) / 1000):
                while len(records) <= offset:
                    await self._changed.wait()
        content = struct.pack(">qq", len(records), 0)
        for key, value, _ in records[offset:]:
            record = bytes((len(key),)) + key.encode() + value
            content += struct.pack(">I", len(record)) + record
        return "200 OK", content

    def _append(self, topic: str, key: str, value: bytes) -> None:
        self._records[topic].append((key, value, time.monotonic()))
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _newest(records: list[tuple[str, bytes, float]]) -> bytes:
        newest: dict[str, dict[str, Any]] = {}
        for offset, (key, value, _) in enumerate(records):
            text = base64.b64encode(value).decode()
            newest[key] = {"Key": key, "Value": text, "Offset": offset}
            if not value:
                del newest[key]
        items = list(newest.values())
        return json.dumps({"Items": items, "HasMore": False, "EndOffset": len(records)}).encode()
