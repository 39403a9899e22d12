"""Clients that send single requests, and a plain server that answers them at once."""

import asyncio
import contextlib
import time
from dataclasses import dataclass
from typing import Any, Optional

from standins.fleet import FRONT, SERVER, Fleet
from standins.http_messages import ClosedError, encode, read_body, read_head


@dataclass
class Exchange:
    """A client's request and what came of it; times are seconds of the steady clock."""

    attempt: str
    sent_at: float
    #: Status of the answer; 0 if there was none.
    status: int = 0
    answered_at: Optional[float] = None
    body: bytes = b""


async def exchange(
    fleet: Fleet,
    host: str,
    line: str,
    attempt: str,
    *,
    deadline_ms: int,
    patience: float,
    body: bytes = b"",
    **headers: str,
) -> Exchange:
    """Sends a request on a channel of its own and waits for the complete answer.

    Args:
        fleet: Gets the record.
        host: Address of the machine.
        line: Method and path.
        attempt: Id of the client attempt.
        deadline_ms: The client's time limit, as it is stated to the machine.
        patience: Seconds until the stand-in stops to wait.
        body: Body with a length.
        headers: Further headers, with underscores for hyphens.

    """
    fields = {
        "Host": "service.example",
        "Camphordrift-Attempt-Id": attempt,
        "Camphordrift-Deadline-Ms": str(deadline_ms),
        "Camphordrift-Credential": "key-1",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    result = Exchange(attempt, time.monotonic())
    fleet.record.write(f"client sends {line} as {attempt} to {host}, {len(body)} bytes")
    with contextlib.suppress(ClosedError, OSError, TimeoutError):
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(host, FRONT)
            try:
                writer.write(encode(f"{line} HTTP/1.1", fields, body))
                await writer.drain()
                head = await read_head(reader)
                result.body = await read_body(reader, head)
                result.status = head.status
                result.answered_at = time.monotonic()
            finally:
                writer.close()
    seconds = time.monotonic() - result.sent_at
    fleet.record.write(f"client got {result.status} for {attempt} after {seconds:.3f} s")
    return result


def server_entry(service: str, host: str, number: int, slots: int) -> dict[str, Any]:
    """Returns the entry of a ready server."""
    return {
        "Service": service,
        "Address": f"{host}:{SERVER}",
        "Zone": f"zone-{number % 3}",
        "Version": "1",
        "Slots": slots,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
        "born": 1000,
    }


class PlainServer:
    """A sound server of a plain service that runs every request at once."""

    def __init__(self, fleet: Fleet, service: str, number: int) -> None:
        self.id = f"{service}-{number}"
        self.host = f"{fleet.network}.{100 + number}"
        self._number = number
        self._service = service
        self._fleet = fleet
        #: Time at which each request began to run, by its id.
        self.runs: dict[str, float] = {}

    async def start(self) -> None:
        """Listens, and writes the server's entry."""
        await asyncio.start_server(self._serve, self.host, SERVER)
        self._fleet.list_server(self.id, server_entry(self._service, self.host, self._number, 6))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ClosedError, ConnectionError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                attempt = head.headers.get("camphordrift-attempt-id", "")
                self.runs[attempt] = time.monotonic()
                self._fleet.record.write(f"{self.id} runs {attempt}, {len(body)} bytes")
                headers = {
                    "Camphordrift-Attempt-Id": attempt,
                    "Camphordrift-Engine-Signature": f"s.{attempt}",
                    "Keep-Alive": "timeout=10",
                }
                writer.write(encode("HTTP/1.1 200 OK", headers, attempt.encode()))
        writer.close()
