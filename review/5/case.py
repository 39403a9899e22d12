"""Clients send the bodies of their requests in chunks."""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.clients import PlainServer, exchange  # noqa: E402
from standins.fleet import (  # noqa: E402
    FRONT,
    Fleet,
    Machine,
    disturbed,
    plain_service,
    route,
    run_case,
)
from standins.http_messages import ClosedError, encode, read_body, read_head  # noqa: E402

#: Requests of each kind to each machine, and seconds between them.
REQUESTS, PAUSE = 40, 0.1

#: Body of a booking.
BODY = b"{" + b"pitch " * 100 + b"}"

#: A kind of request must be served at least so often, compared with all requests.
LEAST_SHARE = 1 / 4


async def book(fleet: Fleet, machine: Machine, attempt: str) -> int:
    """Sends a booking, in two chunks if disturbed; returns the status of the answer."""
    headers = {
        "Host": "service.example",
        "Camphordrift-Attempt-Id": attempt,
        "Camphordrift-Deadline-Ms": "1000",
        "Camphordrift-Credential": "key-1",
    }
    message = encode("POST /book/x HTTP/1.1", headers, BODY)
    if disturbed():
        half = len(BODY) // 2
        message = encode("POST /book/x HTTP/1.1", headers | {"Transfer-Encoding": "chunked"})
        message += b"%x\r\n%b\r\n" % (half, BODY[:half])
        message += b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY) - half, BODY[half:])
    fleet.record.write(f"client sends POST /book/x as {attempt}, {len(BODY)} bytes of body")
    status, body = 0, b""
    with contextlib.suppress(ClosedError, OSError, TimeoutError):
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(machine.host, FRONT)
            try:
                writer.write(message)
                head = await read_head(reader)
                body = await read_body(reader, head)
                status = head.status
            finally:
                writer.close()
    fleet.record.write(f"client got {status} for {attempt}: {body[:100]!r}")
    return status


async def play(fleet: Fleet) -> bool:
    """Plays the case; returns whether bookings were served often enough."""
    fleet.configure(
        [route("book", "booking", "non_idempotent"), route("look", "booking", "idempotent")],
        [plain_service("booking")],
    )
    servers = [PlainServer(fleet, "booking", number) for number in range(3)]
    for server in servers:
        await server.start()
    await fleet.start(3)
    await asyncio.sleep(4.0)
    bookings: list[asyncio.Task[int]] = []
    lookups = []
    for number in range(REQUESTS):
        for machine in fleet.machines:
            name = f"{machine.name}-{number}"
            bookings.append(asyncio.create_task(book(fleet, machine, f"book-{name}")))
            lookups.append(
                asyncio.create_task(
                    exchange(
                        fleet, machine.host, "GET /look/x", f"look-{name}",
                        deadline_ms=1000, patience=2.0,
                    )
                )
            )  # fmt: skip
        await asyncio.sleep(PAUSE)
    booked = [await task == 200 for task in bookings]
    found = [(await task).status == 200 for task in lookups]
    share_of_bookings = sum(booked) / len(booked)
    share_of_all = (sum(booked) + sum(found)) / (len(booked) + len(found))
    fleet.record.write(
        f"served: {sum(booked)} of {len(booked)} bookings, {sum(found)} of {len(found)} lookups"
    )
    return share_of_bookings >= share_of_all * LEAST_SHARE


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
