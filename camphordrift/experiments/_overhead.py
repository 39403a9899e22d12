"""Measures what an entry VM adds to a request, against a running fleet."""

import json
from dataclasses import dataclass
from typing import Any

import numpy
import trio

from camphordrift.backend_http import HttpCall, HttpConnections, HttpResponse
from camphordrift.results import ResultCode

#: Requests that are sent before the measured ones, for connections to be made.
WARM_UP_REQUESTS = 20

#: Time for one request, in seconds.
REQUEST_TIMEOUT_SECONDS = 30.0


class OverheadError(Exception):
    """A request of the measurement was not answered with success."""


@dataclass(frozen=True)
class OverheadTarget:
    """Where a running fleet answers."""

    #: An entry VM's callers' port, as a base URL.
    entry_url: str

    #: The same VM's operators' port, as a base URL.
    operators_url: str

    #: An engine, as a base URL.
    engine_url: str

    #: The model to ask for.
    model: str

    #: The key of a client account.
    account_key: str

    #: The operators' key.
    operator_key: str


@dataclass(frozen=True)
class OverheadFigures:
    """Times of the same small request sent directly to an engine and through an entry VM."""

    #: Requests measured each way.
    requests: int

    #: Median and 99th percentile of the engine asked directly, in seconds.
    direct_p50_seconds: float
    direct_p99_seconds: float

    #: Median and 99th percentile through the entry VM, in seconds.
    entry_p50_seconds: float
    entry_p99_seconds: float

    #: Requests a second under ``concurrency`` requests at once.
    requests_per_second: float

    #: Requests sent at once for it.
    concurrency: int

    #: Processor time of the entry VM's process for one request under that load, in seconds.
    cpu_seconds_per_request: float

    #: Resident memory of the process before any request, in bytes.
    idle_resident_bytes: int

    #: Resident memory of the process after the load, in bytes.
    loaded_resident_bytes: int

    @property
    def requests_per_core_second(self) -> float:
        """Requests that one core of the entry VM could carry in a second."""
        return 1.0 / self.cpu_seconds_per_request


async def measure_overhead(
    target: OverheadTarget, requests: int, concurrency: int
) -> OverheadFigures:
    """Sends ``requests`` requests each way in turn, then as many at ``concurrency`` at once."""
    connections = HttpConnections()
    prober = _Prober(target, connections)
    idle = await prober.usage()
    for _ in range(WARM_UP_REQUESTS):
        await prober.ask_engine()
        await prober.ask_entry()
    direct, through = await prober.alternate(requests)
    before = await prober.usage()
    seconds = await prober.load(requests, concurrency)
    after = await prober.usage()
    await connections.close()
    return OverheadFigures(
        requests=requests,
        direct_p50_seconds=float(numpy.percentile(direct, 50)),
        direct_p99_seconds=float(numpy.percentile(direct, 99)),
        entry_p50_seconds=float(numpy.percentile(through, 50)),
        entry_p99_seconds=float(numpy.percentile(through, 99)),
        requests_per_second=requests / seconds,
        concurrency=concurrency,
        cpu_seconds_per_request=(after["cpu_seconds"] - before["cpu_seconds"]) / requests,
        idle_resident_bytes=int(idle["resident_bytes"]),
        loaded_resident_bytes=int(after["resident_bytes"]),
    )


class _Prober:
    """Sends the measured requests."""

    def __init__(self, target: OverheadTarget, connections: HttpConnections) -> None:
        self._target = target
        self._connections = connections
        self._number = 0

    async def ask_entry(self) -> float:
        """Returns the time that one request through the entry VM took, in seconds."""
        headers = (("Authorization", f"Bearer {self._target.account_key}"),)
        return await self._timed(self._target.entry_url, self._body({}), headers)

    async def ask_engine(self) -> float:
        """Returns the time that one request straight to the engine took, in seconds."""
        self._number += 1
        fields = {
            "request_id": f"overhead-{self._number}",
            "attempt": 1,
            "prompt_tokens": 3,
            "prefix_blocks": [],
        }
        return await self._timed(self._target.engine_url, self._body(fields), ())

    async def alternate(self, requests: int) -> tuple[list[float], list[float]]:
        """Returns the times of requests sent in turn to the engine and to the entry VM."""
        direct, through = [], []
        for _ in range(requests):
            direct.append(await self.ask_engine())
            through.append(await self.ask_entry())
        return direct, through

    async def load(self, requests: int, concurrency: int) -> float:
        """Returns how long ``requests`` requests took with so many at once, in seconds."""
        left = requests
        begun_at = trio.current_time()

        async def ask_on() -> None:
            nonlocal left
            while left > 0:
                left -= 1
                await self.ask_entry()

        async with trio.open_nursery() as nursery:
            for _ in range(concurrency):
                nursery.start_soon(ask_on)
        return trio.current_time() - begun_at

    async def usage(self) -> dict[str, Any]:
        """Returns what the entry VM's process has used so far."""
        headers = (("Authorization", f"Bearer {self._target.operator_key}"),)
        call = HttpCall("GET", self._target.operators_url, "/dump", b"", headers)
        answer = await self._fetch(call)
        usage: dict[str, Any] = json.loads(answer.body)["process"]
        return usage

    def _body(self, fields: dict[str, Any]) -> bytes:
        body = {
            "model": self._target.model,
            "prompt": "overhead",
            "max_tokens": 1,
            "stream": True,
            **fields,
        }
        return json.dumps(body).encode()

    async def _timed(
        self, base_url: str, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> float:
        begun_at = trio.current_time()
        await self._fetch(HttpCall("POST", base_url, "/v1/completions", body, headers))
        return trio.current_time() - begun_at

    async def _fetch(self, call: HttpCall) -> HttpResponse:
        answer = await self._connections.fetch(call, REQUEST_TIMEOUT_SECONDS)
        if answer.status != 200:
            code = ResultCode.BACKEND_REFUSED
            raise OverheadError(f"{code.name}: {call.base_url}: {answer.status} {answer.body!r}")
        return answer
