"""An HTTP client and test fleets on loopback, for end-to-end tests."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Optional

import trio

from camphordrift.backend_http import HttpCall, HttpConnections, HttpResponse, HttpTimeouts
from camphordrift.demo import DEMO_ACCOUNT_KEYS, DemoFleet, DemoPlan, demo_plan, open_demo_fleet
from camphordrift.identifiers import AccountId
from camphordrift.testing import process_loopback_network

ACCOUNT_KEY = DEMO_ACCOUNT_KEYS[AccountId("instructors")]

#: Timeout for connecting, long enough for a busy machine, in seconds.
CONNECT_TIMEOUT_SECONDS = 10.0

#: Timeout of one test, after which it is considered hung, in seconds.
TEST_TIMEOUT_SECONDS = 180.0


class Client:
    """Sends requests to one entry VM as a client account; ``vm`` is its index in the plan."""

    def __init__(self, fleet: DemoFleet, connections: HttpConnections, vm: int = 0) -> None:
        self._base_url = f"http://{fleet.plan.entries[vm].listen.callers}"
        self._connections = connections

    async def send(
        self,
        method: str,
        target: str,
        body: Any = None,
        key: Optional[str] = ACCOUNT_KEY,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpResponse:
        """Sends one request; a body that is not bytes is sent as JSON.

        ``key`` is the account key, or ``None`` to send no ``Authorization`` header.
        """
        content = body if isinstance(body, bytes) else b"" if body is None else _json_bytes(body)
        all_headers = headers if key is None else (("Authorization", f"Bearer {key}"), *headers)
        call = HttpCall(method, self._base_url, target, content, all_headers)
        return await self._connections.fetch(call, 20.0)


def _json_bytes(body: Any) -> bytes:
    return json.dumps(body).encode("utf-8")


def isolated_plan(vm_count: int = 2) -> DemoPlan:
    """Returns the plan of a fleet on a loopback network that only this process uses."""
    plan = demo_plan(process_loopback_network(), vm_count)
    limits = replace(plan.entries[0].limits, connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS)
    return replace(plan, entries=tuple(replace(entry, limits=limits) for entry in plan.entries))


def run_with_fleet(
    test: Callable[[DemoFleet, HttpConnections], Awaitable[None]],
    plan: Optional[DemoPlan] = None,
) -> None:
    """Runs ``test`` with a fleet that is started for it alone."""

    async def main() -> None:
        connections = HttpConnections(HttpTimeouts(connect_seconds=CONNECT_TIMEOUT_SECONDS))
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with open_demo_fleet(plan or isolated_plan()) as fleet:
                await test(fleet, connections)
                await connections.close()

    trio.run(main)
