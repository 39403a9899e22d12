"""A machine that is added while the store is restored accepts a revoked key."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from standins import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Backend,
    Record,
    Relay,
    Store,
    exchange,
    free_hosts,
    run_case,
    run_heartbeats,
)

#: Seconds from the acknowledgement of the revocation until the store goes away, for how long it is
#: away, and the age of its copy when it comes back. The copy is from just before the revocation.
UNTIL_DRILL, AWAY = 3.4, 2.0
COPY_AGE = UNTIL_DRILL + AWAY + 0.3
#: Seconds from the store's return until operator and servers have written again what was lost.
UNTIL_WRITTEN_AGAIN = 2.0
#: Seconds from the start of the drill until the new machine is started, with or without the drill.
UNTIL_ADDED = 0.1

HOST = "shop.example"


def configuration(version: int, keys: list[str]) -> dict[str, object]:
    """Returns a configuration; one tenant has the given keys."""
    return {
        "Version": version,
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
        "Tenants": [{"Name": "seller", "ApiKeys": keys}],
    }


async def main(record: Record, folder: Path) -> int:
    """Runs the case; returns its exit code."""
    store_host, *hosts = free_hosts(6)
    store = Store(store_host, record)
    await store.start()
    servers = [
        Backend(f"i-{number}", "booking", host, "z1", record)
        for number, host in enumerate(hosts[:2], 1)
    ]
    for server in servers:
        await server.server.start()
    relays = [
        Relay(f"edge-{number}", host, "z1", store.server.address, folder)
        for number, host in enumerate(hosts[2:], 1)
    ]
    heartbeats = asyncio.create_task(run_heartbeats(store, servers))
    try:
        return await play(record, store, servers, relays[:2], relays[2])
    finally:
        heartbeats.cancel()
        for relay in relays:
            relay.kill()


async def play(
    record: Record, store: Store, servers: list[Backend], relays: list[Relay], added: Relay
) -> int:
    """Plays the events; returns the exit code."""
    store.put("keyed.op", "config", configuration(1, ["key-kept", "key-lost"]))
    record.write("operator: version 1 with key-kept and key-lost is acknowledged")
    for relay in relays:
        relay.start()
    for relay in relays:
        if not await relay.wait_until_ready(20):
            record.write(f"{relay.name} did not become ready")
            return 2
    await asyncio.sleep(1.0)
    sent: dict[str, tuple[str, float]] = {}

    async def send(relay: Relay, key: str) -> None:
        request_id = f"{len(sent):016x}"
        sent[request_id] = key, record.now()
        record.write(f"client: sends {request_id} with {key} to {relay.name}")
        headers = {
            "Host": HOST,
            "Camphordrift-Attempt-Id": request_id,
            "Camphordrift-Deadline-Ms": "4000",
            "Camphordrift-Credential": key,
        }
        try:
            answer = await exchange(relay.host, relay.front, "GET /lookup/1", headers)
        except OSError as error:
            record.write(f"client: {request_id} finds no channel: {error.strerror}")
            return
        status = "a closed channel" if answer is None else answer.status
        record.write(f"client: {request_id} gets {status}")

    for relay in relays:
        await send(relay, "key-lost")
        await send(relay, "key-kept")
    if len({run.attempt_id for server in servers for run in server.runs}) != len(sent):
        record.write("requests with valid keys did not run")
        return 2
    store.put("keyed.op", "config", configuration(2, ["key-kept"]))
    revoked_at = record.now()
    record.write("operator: version 2 without key-lost is acknowledged")
    events = asyncio.create_task(play_events(record, store, relays, added, revoked_at))
    ends_at = revoked_at + UNTIL_DRILL + AWAY + UNTIL_WRITTEN_AGAIN + 3.0
    while record.now() < ends_at:
        async with asyncio.TaskGroup() as group:
            for relay in [*relays, added]:
                if await relay.is_ready():
                    group.create_task(send(relay, "key-lost"))
                    group.create_task(send(relay, "key-kept"))
        await asyncio.sleep(0.2)
    await events
    last_sent = revoked_at + BOUNDS["RevokeMs"] / 1000
    runs = [run for server in servers for run in server.runs]
    broken = [
        run.attempt_id
        for run in runs
        if sent[run.attempt_id][0] == "key-lost" and sent[run.attempt_id][1] > last_sent
    ]
    served_late = [
        run.attempt_id
        for run in runs
        if sent[run.attempt_id][0] == "key-kept" and sent[run.attempt_id][1] > last_sent
    ]
    record.write(f"requests with key-kept that ran after RevokeMs: {len(served_late)}")
    if not served_late:
        return 2
    for request_id in broken:
        after = sent[request_id][1] - revoked_at
        record.write(f"BROKEN: {request_id} with key-lost, sent {after:.2f} s after the ack, ran")
    return 1 if broken else 0


async def play_events(
    record: Record, store: Store, relays: list[Relay], added: Relay, revoked_at: float
) -> None:
    """Adds a machine, and plays the drill of the store around that if there is to be trouble."""
    await asyncio.sleep(revoked_at + UNTIL_DRILL - record.now())
    if TROUBLE:
        await store.go_away()
    await asyncio.sleep(UNTIL_ADDED)
    added.start()
    record.write(f"platform: {added.name} is added")
    if not TROUBLE:
        return
    await asyncio.sleep(AWAY - UNTIL_ADDED)
    await store.come_back(record.now() - COPY_AGE)
    await asyncio.sleep(UNTIL_WRITTEN_AGAIN)
    store.put("keyed.op", "config", configuration(2, ["key-kept"]))
    record.write("operator: version 2 is written again")


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
