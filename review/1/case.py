"""A server answers before it has read a long body, keeps the channel and reads on later.

Long requests are sent to an idempotent route, each followed by short ones. The servers check that
the body of each long request holds the client's bytes and no others.
"""

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.fleet import (  # noqa: E402
    FRONT,
    SERVER,
    Fleet,
    disturbed,
    plain_service,
    route,
    run_case,
)
from standins.http_messages import ClosedError, encode, read_body, read_head  # noqa: E402

#: Length of a long body in bytes; the configuration allows 4,194,304.
LONG = 4_000_000

#: Long requests, and short ones after each.
ROUNDS, SHORT = 12, 6

#: Seconds after its early answer at which a server reads on.
PAUSE = 1.0

#: Bytes that a server reads at once.
BLOCK = 16384


def long_body() -> bytes:
    """Returns a body in which each byte is ``#``, so that any other byte is foreign."""
    return b"#" * LONG


class BookingServer:
    """A server of the service; answers each long request early, as it has no place for it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.id = f"i-{number}"
        self.host = f"{fleet.network}.{100 + number}"
        self.zone = f"zone-{number % 3}"
        self._fleet = fleet
        self._record = fleet.record
        self.foreign: list[str] = []

    async def start(self) -> None:
        """Listens, and writes the server's entry."""
        await asyncio.start_server(self._serve, self.host, SERVER, limit=BLOCK)
        entry = {
            "Service": "booking",
            "Address": f"{self.host}:{SERVER}",
            "Zone": self.zone,
            "Version": "1",
            "Slots": 6,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": 1000,
        }
        self._fleet.list_server(self.id, entry)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ClosedError, ConnectionError):
            while True:
                head = await read_head(reader)
                attempt = head.headers.get("camphordrift-attempt-id", "")
                headers = {"Camphordrift-Attempt-Id": attempt, "Keep-Alive": "timeout=10"}
                if head.length < LONG or not disturbed():
                    await read_body(reader, head)
                    self._record.write(f"{self.id} runs {head.first_line!r} of {attempt}")
                    headers["Camphordrift-Engine-Signature"] = f"s.{attempt}"
                    writer.write(encode("HTTP/1.1 200 OK", headers, attempt.encode()))
                    continue
                self._record.write(f"{self.id} answers {attempt} early: 503, not executed")
                headers["Camphordrift-Not-Executed"] = "1"
                writer.write(encode("HTTP/1.1 503 Service Unavailable", headers))
                await asyncio.sleep(PAUSE)
                await self._read_on(reader, attempt, head.length)
        writer.close()

    async def _read_on(self, reader: asyncio.StreamReader, attempt: str, length: int) -> None:
        """Reads the rest of a body whose request was answered, and checks each byte."""
        left = length
        while left:
            data = await reader.read(min(left, BLOCK))
            if not data:
                self._record.write(f"{self.id} channel of {attempt} closed, {left} bytes were due")
                return
            if rest := data.lstrip(b"#"):
                text = rest[:400].decode("latin-1")
                self.foreign.append(text)
                self._record.write(
                    f"{self.id} FOREIGN bytes in the body of {attempt}, {left} bytes due: {text!r}"
                )
            left -= len(data)
        self._record.write(f"{self.id} has read the whole body of {attempt}")


async def send(fleet: Fleet, host: str, method: str, attempt: str, body: bytes) -> int:
    """Sends a client's request on a channel of its own; returns the status, 0 without an answer."""
    headers = {
        "Host": "service.example",
        "Camphordrift-Attempt-Id": attempt,
        "Camphordrift-Deadline-Ms": "4000",
        "Camphordrift-Credential": "key-1",
    }
    fleet.record.write(f"client sends {method} {attempt}, {len(body)} bytes")
    status, content = 0, b""
    with contextlib.suppress(ClosedError, ConnectionError, TimeoutError):
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(host, FRONT)
            try:
                writer.write(encode(f"{method} /book/{attempt} HTTP/1.1", headers, body))
                await writer.drain()
                head = await read_head(reader)
                content = await read_body(reader, head)
                status = head.status
            finally:
                writer.close()
    fleet.record.write(f"client got {status} for {attempt}: {content[:80]!r}")
    return status


async def play(fleet: Fleet) -> bool:
    """Plays the case; returns whether no server got foreign bytes."""
    fleet.configure([route("book", "booking", "idempotent")], [plain_service("booking")])
    servers = [BookingServer(fleet, number) for number in range(3)]
    for server in servers:
        await server.start()
    await fleet.start(3)
    await asyncio.sleep(3.0)
    for number in range(ROUNDS):
        host = random.choice(fleet.machines).host
        await send(fleet, host, "POST", f"long{number}", long_body())
        for short in range(SHORT):
            asyncio.create_task(send(fleet, host, "GET", f"short{number}x{short}", b""))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
    await asyncio.sleep(6.0)
    return not any(server.foreign for server in servers)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
