"""A server's body without end, in small chunks, keeps a machine from doing anything else.

Clients look things up at all machines, and ask for streams. Some engines answer one stream in
twenty with a body that never ends, until the machine closes.
"""

import asyncio
import contextlib
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.clients import Exchange, PlainServer, exchange, server_entry  # noqa: E402
from standins.fleet import (  # noqa: E402
    SERVER,
    Fleet,
    Machine,
    disturbed,
    engine_service,
    plain_service,
    route,
    run_case,
)
from standins.http_messages import ClosedError, encode, read_body, read_head  # noqa: E402

#: Time limit of lookups in seconds (TimeoutMs), and how late their final answer may come.
TIMEOUT, MARGIN = 1.0, 0.5

#: Late answers that break the rule, if they are also more than half.
MOST_LATE = 8

#: Seconds for which clients send, between the lookups at each machine, and between the streams.
LENGTH, PAUSE, STREAM_PAUSE = 20.0, 0.2, 0.1

#: Engines, how many of them are faulty, and which of their answers are: one in so many.
ENGINES, FAULTY, ONE_IN = 5, 3, 20

#: Chunks of one byte each that are written at once.
CHUNKS = b"1\r\n#\r\n" * 4096

#: Events of a sound stream.
EVENTS = 20


class Engine:
    """An engine; a faulty one answers some streams with a body that never ends.

    Args:
        fleet: Gets the entry and the record.
        number: Number of the engine.
        used: All engines that have got a stream, in the order of their first ones. The first of
            them are faulty.

    """

    def __init__(self, fleet: Fleet, number: int, used: "list[Engine]") -> None:
        self.id = f"engine-{number}"
        self.host = f"{fleet.network}.{120 + number}"
        self._number = number
        self._used = used
        self._fleet = fleet
        self._streams = 0

    async def start(self) -> None:
        """Listens, and writes the engine's entry."""
        await asyncio.start_server(self._serve, self.host, SERVER)
        self._fleet.list_server(self.id, server_entry("models", self.host, self._number, 8))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ClosedError, ConnectionError):
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                if head.target == "/v1/report":
                    report = b'{"Phase":"combined","Busy":false,"Seq":0,"Queued":0,"Running":1}'
                    writer.write(encode("HTTP/1.1 200 OK", {}, report))
                    continue
                attempt = head.headers.get("camphordrift-attempt-id", "")
                self._fleet.record.write(f"{self.id} runs {attempt}")
                headers = {
                    "Camphordrift-Attempt-Id": attempt,
                    "Camphordrift-Engine-Signature": f"s.{attempt}",
                    "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked",
                }
                writer.write(encode("HTTP/1.1 200 OK", headers))
                self._streams += 1
                if self not in self._used:
                    self._used.append(self)
                is_faulty = disturbed() and self in self._used[:FAULTY]
                if is_faulty and self._streams % ONE_IN == 0:
                    await self._write_endless(writer)
                await self._write_events(writer)
        self._fleet.record.write(f"{self.id}: a channel ends")
        writer.close()

    async def _write_events(self, writer: asyncio.StreamWriter) -> None:
        for number in range(EVENTS):
            if writer.is_closing():
                raise ClosedError("the machine closed the channel")
            event = b"id: %d\ndata: %s\n\n" % (number + 1, b"x" * 60)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(0.04)
        writer.write(b"0\r\n\r\n")

    async def _write_endless(self, writer: asyncio.StreamWriter) -> None:
        self._fleet.record.write(f"{self.id} begins a body without end")
        while not writer.is_closing():
            writer.write(CHUNKS)
            await writer.drain()
        raise ClosedError("the machine closed the channel")


async def look_up(fleet: Fleet, machine: Machine, results: list[Exchange]) -> None:
    """Looks something up at a machine again and again, each time on a channel of its own."""
    ends_at = time.monotonic() + LENGTH
    async with asyncio.TaskGroup() as tasks:
        for number in itertools.count():
            if time.monotonic() >= ends_at:
                return
            attempt = f"{machine.name}-{number}"
            tasks.create_task(_look_up_once(fleet, machine, attempt, results))
            await asyncio.sleep(PAUSE)


async def _look_up_once(
    fleet: Fleet, machine: Machine, attempt: str, results: list[Exchange]
) -> None:
    # The client states its route's time limit, and watches for twenty seconds what comes.
    results.append(
        await exchange(fleet, machine.host, "GET /look/x", attempt, deadline_ms=1000, patience=20.0)
    )


async def ask(fleet: Fleet) -> None:
    """Asks for one stream after the other, at one machine after the other."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(LENGTH / STREAM_PAUSE)):
            tasks.create_task(
                exchange(
                    fleet,
                    fleet.machines[number % len(fleet.machines)].host,
                    "POST /ask/x",
                    f"stream-{number}",
                    deadline_ms=10000,
                    patience=12.0,
                    body=b"x" * 1200,
                    Camphordrift_Model="m",
                    Camphordrift_Token_Count="5000,1020",
                    Camphordrift_Prompt_Prefix=f"5c1e07a2:40,91bd{number:04x}:4960",
                )
            )
            await asyncio.sleep(STREAM_PAUSE)


async def play(fleet: Fleet) -> bool:
    """Plays the case; returns whether lookups got their final answer in time."""
    fleet.configure(
        [
            route("look", "booking", "idempotent"),
            route(
                "ask", "models", "streaming", TimeoutMs=10000, SloMs=300, ResumeStreams=True,
                Sticky=True,
            ),
        ],
        [plain_service("booking"), engine_service("models")],
    )  # fmt: skip
    for number in range(3):
        await PlainServer(fleet, "booking", number).start()
    used: list[Engine] = []
    for number in range(ENGINES):
        await Engine(fleet, number, used).start()
    await fleet.start(3)
    await asyncio.sleep(4.0)
    results: list[Exchange] = []
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(ask(fleet))
        for machine in fleet.machines:
            tasks.create_task(look_up(fleet, machine, results))
    unanswered = [item for item in results if _time_of(item) > TIMEOUT]
    late = [item for item in unanswered if _time_of(item) > TIMEOUT + MARGIN]
    fleet.record.write(
        f"{len(results)} lookups; {len(unanswered)} without an answer at their time limit, "
        f"{len(late)} of them without one {MARGIN} s later"
    )
    if late:
        longest = max(map(_time_of, late))
        fleet.record.write(f"the latest answer came after {longest:.1f} s, or never")
    return not (len(late) >= MOST_LATE and len(late) > len(unanswered) / 2)


def _time_of(item: Exchange) -> float:
    """Returns the seconds until the final answer; infinite without one."""
    return float("inf") if item.answered_at is None else item.answered_at - item.sent_at


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
