"""Machines in touch go on using servers that are gone, as their leader was cut off for a moment."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from standins import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Backend,
    HttpServer,
    Message,
    Record,
    Relay,
    Store,
    exchange,
    free_hosts,
    run_case,
    run_heartbeats,
)

HOST = "shop.example"

#: Seconds for which the leader is cut off from the store, and from then until a server's entry is
#: removed; seconds for which the server goes on serving, and until the next cut.
CUT, UNTIL_REMOVED, GOES_ON, GAP = 0.5, 0.05, 6.0, 9.0
#: Cuts, each followed by the leaving of one server.
ROUNDS = 5
#: Requests a second that clients send to each machine.
RATE = 25.0


class StorePath:
    """The path of one machine to the store, which may be cut with resets."""

    def __init__(self, host: str, store: Store) -> None:
        self.server = HttpServer(host, self._handle)
        #: Reads of the servers that the machine made.
        self.server_reads = 0
        self._store = store

    async def cut(self, seconds: float) -> None:
        """Resets all channels and refuses new ones for some seconds."""
        await self.server.stop()
        await asyncio.sleep(seconds)
        await self.server.start()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        query = parse_qs(urlsplit(request.target).query)
        self.server_reads += query["Topic"] == ["keyed.servers"]
        return await self._store.handle(request, writer)


def configuration() -> dict[str, object]:
    """Returns the configuration."""
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "lookup",
                "Host": HOST,
                "PathPrefix": "/lookup/",
                "Kind": "idempotent",
                "TimeoutMs": 4000,
                "SloMs": 300,
                "MaxAttempts": 2,
                "Priority": 2,
                "Service": "booking",
            }
        ],
        "Services": [{"Name": "booking", "MaxConns": 100}],
        "Limits": {},
    }


async def main(record: Record, folder: Path) -> int:
    """Runs the case; returns its exit code."""
    store_host, *hosts = free_hosts(1 + ROUNDS + 3 + 3)
    store = Store(store_host, record)
    await store.start()
    servers = [
        Backend(f"i-{number}", "booking", host, "z1", record)
        for number, host in enumerate(hosts[: ROUNDS + 3], 1)
    ]
    for server in servers:
        await server.server.start()
    paths = [StorePath(host, store) for host in hosts[ROUNDS + 3 :]]
    for path in paths:
        await path.server.start()
    relays = [
        Relay(f"edge-{number}", path.server.host, "z1", path.server.address, folder)
        for number, path in enumerate(paths, 1)
    ]
    heartbeats = asyncio.create_task(run_heartbeats(store, servers))
    store.put("keyed.op", "config", configuration())
    try:
        for relay in relays:
            relay.start()
        for relay in relays:
            if not await relay.wait_until_ready(20):
                record.write(f"{relay.name} did not become ready")
                return 2
        await asyncio.sleep(5.0)
        return await play(record, store, servers, relays, paths)
    finally:
        heartbeats.cancel()
        for relay in relays:
            relay.kill()


async def play(
    record: Record,
    store: Store,
    servers: list[Backend],
    relays: list[Relay],
    paths: list[StorePath],
) -> int:
    """Plays the events; returns the exit code."""
    before = [path.server_reads for path in paths]
    await asyncio.sleep(3.0)
    reads = [path.server_reads - count for path, count in zip(paths, before, strict=True)]
    leader = reads.index(max(reads))
    record.write(f"reads of the servers in 3 s: {reads}; {relays[leader].name} leads")
    sent_to: dict[str, str] = {}
    removed_at: dict[str, float] = {}
    all_servers = list(servers)
    is_over = False

    async def send(relay: Relay) -> None:
        request_id = f"{len(sent_to):016x}"
        sent_to[request_id] = relay.name
        headers = {
            "Host": HOST,
            "Camphordrift-Attempt-Id": request_id,
            "Camphordrift-Deadline-Ms": "4000",
        }
        answer = await exchange(relay.host, relay.front, "GET /lookup/1", headers)
        status = "a closed channel" if answer is None else answer.status
        record.write(f"client: {request_id} to {relay.name} gets {status}")

    async def send_all(relay: Relay) -> None:
        async with asyncio.TaskGroup() as group:
            while not is_over:
                group.create_task(send(relay))
                await asyncio.sleep(1 / RATE)

    async def leave(server: Backend) -> None:
        servers.remove(server)
        store.put("keyed.servers", server.id, None)
        removed_at[server.id] = record.now()
        record.write(f"store: the entry of {server.id} is removed")
        await asyncio.sleep(GOES_ON)
        await server.server.stop()
        record.write(f"{server.id}: exits")

    async def play_rounds() -> None:
        nonlocal is_over
        async with asyncio.TaskGroup() as group:
            for number in range(ROUNDS):
                if TROUBLE:
                    record.write(f"{relays[leader].name}: cut off from the store")
                    await paths[leader].cut(CUT)
                    record.write(f"{relays[leader].name}: reaches the store again")
                await asyncio.sleep(UNTIL_REMOVED)
                group.create_task(leave(all_servers[number]))
                await asyncio.sleep(GAP)
        is_over = True

    async with asyncio.TaskGroup() as group:
        group.create_task(play_rounds())
        for relay in relays:
            group.create_task(send_all(relay))
    bound = BOUNDS["DrainMs"] / 1000
    late = [
        (server.id, sent_to[run.attempt_id], run.at - removed_at[server.id])
        for server in all_servers
        for run in server.runs
        if server.id in removed_at and run.at > removed_at[server.id] + bound
    ]
    in_touch = [item for item in late if item[1] != relays[leader].name]
    for server_id, count in sorted(Counter(item[0] for item in in_touch).items()):
        latest = max(after for key, _, after in in_touch if key == server_id)
        record.write(
            f"BROKEN: {server_id} gets {count} requests from machines without disruption, "
            f"later than {bound:g} s after the removal of its entry; the last after {latest:.2f} s"
        )
    record.write(f"late requests from machines in touch: {len(in_touch)}, of all: {len(late)}")
    return 1 if in_touch else 0


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
