"""Long prompts are refused for good (413) while a small service lacks one of its engines."""

import asyncio
import json
import sys
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from standins import (  # noqa: E402
    TROUBLE,
    Backend,
    Message,
    Record,
    Relay,
    Store,
    exchange,
    free_hosts,
    run_case,
    run_heartbeats,
)

HOST = "school.example"

#: Memory of an engine, and the length of a long prompt and its output, in tokens. On the sheet, an
#: engine has 315,000 and the longest prompts have 700,000.
MEMORY, PROMPT, OUTPUT = 315_000, 400_000, 510
#: Seconds from the first request until an engine says that it leaves, until it is gone, and until
#: another one has taken its place (scale_in, how = "spot").
UNTIL_NOTICE, UNTIL_GONE, UNTIL_REPLACED = 3.0, 2.0, 4.0
#: Requests a second, and seconds of the case.
RATE, LENGTH = 2.0, 14.0
#: Milliseconds that a client waits, as on the sheet.
DEADLINE = 15_000


@dataclass
class Engine(Backend):
    """A model engine: takes every reservation, and answers with a stream of five events."""

    orders: list[str] = field(default_factory=list)

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answers a request, a report or an order."""
        if not request.target.startswith("/v1/"):
            return await super().handle(request, writer)
        if request.target == "/v1/order":
            order = json.loads(request.body)
            self.orders.append(f"{order['Operation']} {order['Id']}")
            body = json.dumps({"Free": MEMORY - order.get("Tokens", 0)})
        else:
            body = json.dumps({"Phase": "combined", "Queued": 0, "Running": 0, "KvTotal": MEMORY})
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        await writer.drain()
        return True

    async def respond(
        self, request: Message, attempt_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a stream."""
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Camphordrift-Attempt-Id: {attempt_id}\r\n"
            f"Camphordrift-Engine-Signature: {self.id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        await asyncio.sleep(0.1)
        writer.write(head.encode())
        for number in range(1, 6):
            event = f"id: {number}\ndata: {attempt_id}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def configuration() -> dict[str, object]:
    """Returns the configuration: one service of model engines, with the figures of the sheet."""
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "review",
                "Host": HOST,
                "PathPrefix": "/review/",
                "Kind": "streaming",
                "TimeoutMs": DEADLINE,
                "SloMs": 3000,
                "GapTargetMs": 1000,
                "MaxAttempts": 2,
                "Priority": 1,
                "ResumeStreams": True,
                "Service": "engines",
            }
        ],
        "Services": [
            {
                "Name": "engines",
                "MaxConns": 264,
                "Engine": {
                    "Slots": 8,
                    "KvCacheTokens": MEMORY,
                    "Stride": 51,
                    "step_ms": 0.85,
                    "per_seq_ms": 0.00425,
                    "context_per_k": 0.00285,
                    "read_per_s": 177_000,
                    "pairs_per_m": 0.184,
                },
            }
        ],
        "Limits": {},
    }


async def main(record: Record, folder: Path) -> int:
    """Runs the case; returns its exit code."""
    store_host, *hosts = free_hosts(6)
    store = Store(store_host, record)
    await store.start()
    engines = [
        Engine(f"i-{number}", "engines", host, "z1", record)
        for number, host in enumerate(hosts[:3], 1)
    ]
    running = engines[:2]
    for engine in running:
        await engine.server.start()
    relays = [
        Relay(f"edge-{number}", host, "z1", store.server.address, folder)
        for number, host in enumerate(hosts[3:], 1)
    ]
    heartbeats = asyncio.create_task(run_heartbeats(store, running))
    store.put("keyed.op", "config", configuration())
    try:
        for relay in relays:
            relay.start()
        for relay in relays:
            if not await relay.wait_until_ready(20):
                record.write(f"{relay.name} did not become ready")
                return 2
        await asyncio.sleep(1.0)
        return await play(record, store, running, engines[2], relays)
    finally:
        heartbeats.cancel()
        for relay in relays:
            relay.kill()


async def play(
    record: Record, store: Store, running: list[Engine], spare: Engine, relays: list[Relay]
) -> int:
    """Plays the events; returns the exit code."""
    answers: dict[str, tuple[int, bool]] = {}
    sent: list[str] = []

    async def send(relay: Relay) -> None:
        request_id = f"{len(sent):016x}"
        sent.append(request_id)
        record.write(f"client: sends {request_id} to {relay.name}")
        body = b"x" * 38_000
        headers = {
            "Host": HOST,
            "Camphordrift-Attempt-Id": request_id,
            "Camphordrift-Model": "m",
            "Camphordrift-Token-Count": f"{PROMPT},{OUTPUT}",
            "Camphordrift-Prompt-Prefix": f"5c1e07a2:40,{request_id}:{PROMPT - 40}",
            "Camphordrift-Deadline-Ms": str(DEADLINE),
            "Content-Length": str(len(body)),
        }
        answer = await exchange(relay.host, relay.front, "POST /review/1", headers, body)
        if answer is None:
            record.write(f"client: {request_id} gets a closed channel")
            return
        is_signed = "camphordrift-engine-signature" in answer.headers
        answers[request_id] = answer.status, is_signed
        detail = "" if is_signed else answer.body.decode()
        record.write(f"client: {request_id} gets {answer.status} {detail}")

    async def replace_engine() -> None:
        leaving = running[1]
        await asyncio.sleep(UNTIL_NOTICE)
        leaving.state = "draining"
        store.put("keyed.servers", leaving.id, leaving.entry(0))
        record.write(f"{leaving.id}: says that it leaves")
        await asyncio.sleep(UNTIL_GONE)
        running.remove(leaving)
        store.put("keyed.servers", leaving.id, None)
        await leaving.server.stop()
        record.write(f"{leaving.id}: is gone")
        await asyncio.sleep(UNTIL_REPLACED)
        await spare.server.start()
        running.append(spare)
        store.put("keyed.servers", spare.id, spare.entry(0))
        record.write(f"{spare.id}: has come in its place")

    start = record.now()
    async with asyncio.TaskGroup() as group:
        if TROUBLE:
            group.create_task(replace_engine())
        while record.now() < start + LENGTH:
            group.create_task(send(relays[len(sent) % len(relays)]))
            await asyncio.sleep(1 / RATE)
    denied = [
        request_id
        for request_id, (status, is_signed) in answers.items()
        if not is_signed and 300 <= status < 500 and status not in (408, 421, 429)
    ]
    served = sum(status == 200 for status, _ in answers.values())
    bound = 5 + len(sent) / 500
    record.write(
        f"{len(sent)} requests sent, {served} served, {len(denied)} ended with a 3xx or 4xx of the "
        f"relay's own; the bound is {bound:.2f}"
    )
    if not served:
        return 2
    return 1 if len(denied) > bound else 0


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
