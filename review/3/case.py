"""Another writer's entries in the list of engines, one of which has an address that is none.

Sound engines serve all the while. The platform starts a process that has ended again after a
second.
"""

import asyncio
import contextlib
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.clients import Exchange, exchange, server_entry  # noqa: E402
from standins.fleet import (  # noqa: E402
    SERVER,
    Fleet,
    Machine,
    disturbed,
    engine_service,
    route,
    run_case,
)
from standins.http_messages import ClosedError, encode, read_body, read_head  # noqa: E402

#: Machines and engines.
MACHINES, ENGINES = 3, 5

#: Seconds for which clients send, before the entries are written and in all.
CALM, LENGTH = 4.0, 30.0

#: Seconds between the streams that clients ask for, and until an ended process starts again.
PAUSE, RESTART_DELAY = 0.1, 1.0

#: Events of a stream.
EVENTS = 5

#: Machines whose processes may not end so often by themselves (RULES.md, Fault).
MOST_MACHINES, MOST_ENDS = 2, 3


class Engine:
    """A sound engine."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.id = f"engine-{number}"
        self._host = f"{fleet.network}.{120 + number}"
        self._number = number
        self._fleet = fleet

    async def start(self) -> None:
        """Listens, and writes the engine's entry."""
        await asyncio.start_server(self._serve, self._host, SERVER)
        self._fleet.list_server(self.id, server_entry("models", self._host, self._number, 8))

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
                for number in range(EVENTS):
                    if writer.is_closing():
                        raise ClosedError("the machine closed the channel")
                    event = b"id: %d\ndata: %s\n\n" % (number + 1, b"x" * 60)
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await asyncio.sleep(0.045)
                writer.write(b"0\r\n\r\n")
        writer.close()


class Platform:
    """Starts the process of a machine again after it has ended by itself."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        #: How often the process of each machine has ended, by the machine's name.
        self.ends = {machine.name: 0 for machine in fleet.machines}

    async def run(self) -> None:
        """Watches all machines until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for machine in self._fleet.machines:
                tasks.create_task(self._watch(machine))

    async def _watch(self, machine: Machine) -> None:
        while True:
            await asyncio.sleep(0.05)
            if machine.process is None or (status := machine.process.poll()) is None:
                continue
            self.ends[machine.name] += 1
            self._fleet.record.write(f"{machine.name} ENDED by itself with status {status}")
            lines = machine.log.read_text(errors="replace").splitlines()
            errors = [line.strip(" |+-") for line in lines if "Error: " in line]
            self._fleet.record.write(f"    {errors[-1] if errors else lines[-1:]}")
            await asyncio.sleep(RESTART_DELAY)
            machine.start()


def write_foreign_entries(fleet: Fleet) -> None:
    """Writes entries as another writer may: none of them names an engine to use."""
    entry = server_entry("models", f"{fleet.network}.99", 0, 8)
    fleet.list_server("foreign-1", {k: v for k, v in entry.items() if k != "Address"})
    fleet.list_server("foreign-2", entry | {"Address": 8080})
    fleet.list_server("foreign-3", entry | {"State": "resting"})
    fleet.list_server("foreign-4", entry | {"Address": f"{fleet.network}.99:80800"})
    fleet.record.write("another writer's entries are in the store; foreign-4 has port 80800")


async def ask(fleet: Fleet, results: list[Exchange]) -> None:
    """Asks for streams, at one machine after the other, until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        for number in itertools.count():
            tasks.create_task(_ask_once(fleet, number, results))
            await asyncio.sleep(PAUSE)


async def _ask_once(fleet: Fleet, number: int, results: list[Exchange]) -> None:
    results.append(
        await exchange(
            fleet,
            fleet.machines[number % MACHINES].host,
            f"POST /ask/{number}",
            f"stream-{number}",
            deadline_ms=10000,
            patience=10.0,
            body=b"x" * 1200,
            Camphordrift_Model="m",
            Camphordrift_Token_Count="5000,255",
            Camphordrift_Prompt_Prefix=f"5c1e07a2:40,91bd{number:04x}:4960",
        )
    )


async def play(fleet: Fleet) -> bool:
    """Plays the case; returns whether the processes went on."""
    times = {"TimeoutMs": 10000, "SloMs": 300}
    fleet.configure(
        [route("ask", "models", "streaming", ResumeStreams=True, Sticky=True, **times)],
        [engine_service("models")],
    )
    for number in range(ENGINES):
        await Engine(fleet, number).start()
    await fleet.start(MACHINES)
    await asyncio.sleep(3.0)
    platform = Platform(fleet)
    results: list[Exchange] = []
    tasks = [asyncio.create_task(platform.run()), asyncio.create_task(ask(fleet, results))]
    started_at = time.monotonic()
    await asyncio.sleep(CALM)
    if disturbed():
        write_foreign_entries(fleet)
    while time.monotonic() < started_at + LENGTH:
        await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    statuses = sorted({item.status for item in results})
    counts = {status: sum(item.status == status for item in results) for status in statuses}
    fleet.record.write(f"answers by status (0: none): {counts}")
    fleet.record.write(f"ends by themselves: {platform.ends}")
    often = sum(count >= MOST_ENDS for count in platform.ends.values())
    return often < MOST_MACHINES


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
