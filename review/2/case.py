"""A request that crashes each engine shortly after the engine has begun to run it.

The request comes again and again, with the same path, caller and body, at any machine. Each engine
that runs it sends its first events and crashes; it is back after two seconds. Sound streams, which
may not be resumed, run beside it; they show what the crashes cost, and decide nothing.
"""

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.clients import exchange, server_entry  # noqa: E402
from standins.fleet import (  # noqa: E402
    BOUNDS,
    SERVER,
    Fleet,
    disturbed,
    engine_service,
    route,
    run_case,
)
from standins.http_messages import ClosedError, encode, read_body, read_head  # noqa: E402

#: Machines and engines.
MACHINES, ENGINES = 3, 10

#: Events of a complete stream, seconds between them, and events after which an engine crashes.
EVENTS, GAP, CRASH_AFTER = 10, 0.045, 4

#: Seconds until an engine that has crashed is back.
DOWNTIME = 2.0

#: Times that the request comes, and seconds between them.
COMES, PAUSE = 40, 0.5

#: Sound streams, and seconds between them.
SOUND, SOUND_PAUSE = 100, 0.2

#: Body of the request, by which engines know it.
DEADLY = b"{" + b"deadly " * 100 + b"}"

#: Requests that may reach engines after the bound (RULES.md, BUDGET).
MOST = 3


class Engine:
    """An engine; each start of it is a new incarnation with an id of its own."""

    def __init__(self, fleet: Fleet, number: int, arrivals: list[float]) -> None:
        self._fleet = fleet
        self._number = number
        self._host = f"{fleet.network}.{120 + number}"
        self._starts = 0
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()
        #: Times at which the deadly request reached any engine.
        self._arrivals = arrivals
        #: Times at which the engine crashed.
        self.crashes: list[float] = []

    @property
    def _id(self) -> str:
        return f"engine-{self._number}-{self._starts}"

    async def start(self) -> None:
        """Listens, and writes the entry of a new incarnation."""
        self._starts += 1
        self._server = await asyncio.start_server(self._serve, self._host, SERVER)
        entry = server_entry("models", self._host, self._number, 8)
        entry["born"] = int(time.time() * 1000)
        self._fleet.list_server(self._id, entry)

    async def _crash(self) -> None:
        if not self._server.is_serving():
            # Another request has just crashed this incarnation.
            return
        self._fleet.record.write(f"{self._id} CRASHES")
        self.crashes.append(time.monotonic())
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        # Its entry lapses some time later; the new incarnation writes its own.
        former = self._id
        await asyncio.sleep(DOWNTIME)
        self._fleet.list_server(former, None)
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ClosedError, ConnectionError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if head.target == "/v1/report":
                    report = b'{"Phase":"combined","Busy":false,"Seq":0,"Queued":0,"Running":1}'
                    writer.write(encode("HTTP/1.1 200 OK", {}, report))
                    continue
                await self._run(head.headers, body, writer)
        self._writers.discard(writer)
        writer.close()

    async def _run(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        attempt = headers.get("camphordrift-attempt-id", "")
        first = int(headers.get("last-event-id", "0")) + 1
        is_deadly = body == DEADLY
        if is_deadly:
            self._arrivals.append(time.monotonic())
        self._fleet.record.write(f"{self._id} runs {attempt} from event {first}")
        answer = {
            "Camphordrift-Attempt-Id": attempt,
            "Camphordrift-Engine-Signature": f"s.{attempt}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode("HTTP/1.1 200 OK", answer))
        for number in range(first, EVENTS + 1):
            if is_deadly and disturbed() and number == first + CRASH_AFTER:
                asyncio.get_running_loop().create_task(self._crash())
                await asyncio.sleep(3600)
            if writer.is_closing():
                raise ClosedError("the engine crashed, or the machine closed the channel")
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(GAP)
        writer.write(b"0\r\n\r\n")


async def ask_sound(fleet: Fleet) -> None:
    """Sends sound streams and records how many were complete."""
    async with asyncio.TaskGroup() as group:
        tasks = []
        for number in range(SOUND):
            tasks.append(
                group.create_task(
                    exchange(
                        fleet,
                        random.choice(fleet.machines).host,
                        f"POST /tell/{number}",
                        f"sound-{number}",
                        deadline_ms=10000,
                        patience=10.0,
                        body=b"sound",
                        Camphordrift_Model="m",
                        Camphordrift_Token_Count="5000,510",
                        Camphordrift_Prompt_Prefix=f"5c1e07a2:40,77bd{number:04x}:4960",
                    )
                )
            )
            await asyncio.sleep(SOUND_PAUSE)
    complete = sum(task.result().status == 200 for task in tasks)
    fleet.record.write(f"{complete} of {SOUND} sound streams were complete")


async def play(fleet: Fleet) -> bool:
    """Plays the case; returns whether few enough requests reached engines after the bound."""
    times = {"TimeoutMs": 10000, "SloMs": 300}
    fleet.configure(
        [
            route("ask", "models", "streaming", ResumeStreams=True, Sticky=True, **times),
            route("tell", "models", "streaming", Sticky=True, **times),
        ],
        [engine_service("models")],
    )
    arrivals: list[float] = []
    engines = [Engine(fleet, number, arrivals) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    await fleet.start(MACHINES)
    await asyncio.sleep(4.0)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(ask_sound(fleet))
        for number in range(COMES):
            tasks.create_task(
                exchange(
                    fleet,
                    random.choice(fleet.machines).host,
                    "POST /ask/deadly",
                    f"deadly-{number}",
                    deadline_ms=10000,
                    patience=10.0,
                    body=DEADLY,
                    Camphordrift_Model="m",
                    Camphordrift_Token_Count="5000,510",
                    Camphordrift_Prompt_Prefix="5c1e07a2:40,91bd3f06:4960",
                )
            )
            await asyncio.sleep(PAUSE)
    crashes = sorted(at for engine in engines for at in engine.crashes)
    fleet.record.write(f"{len(crashes)} crashes, {len(arrivals)} arrivals at engines")
    if len(crashes) < 3:
        return True
    due = crashes[2] + BOUNDS["StableWindowMs"] / 1000
    late = [at for at in arrivals if at > due]
    fleet.record.write(f"{len(late)} arrivals later than 3 s after the third crash")
    return len(late) <= MOST


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
