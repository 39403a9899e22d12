"""Measures the latency and CPU time that an entry VM adds to a request, on a running fleet."""

import json
from dataclasses import dataclass
from typing import Any

import numpy
import trio

from camphordrift.backend_http import HttpCall, HttpConnections, HttpResponse
from camphordrift.results import ResultCode

#: Requests sent each way before the measurement, to open the connections.
WARM_UP_REQUESTS = 20

#: Timeout of one request, in seconds.
REQUEST_TIMEOUT_SECONDS = 30.0


class OverheadError(Exception):
    """A request of the measurement got a response other than status 200."""


@dataclass(frozen=True)
class OverheadTarget:
    """Addresses and keys of the running fleet."""

    #: Base URL of an entry VM's port for callers.
    entry_url: str

    #: Base URL of the same VM's port for operators.
    operators_url: str

    #: Base URL of an engine.
    engine_url: str

    #: Name of the requested model.
    model: str

    #: API key of a client account.
    account_key: str

    #: Key of an operator.
    operator_key: str


@dataclass(frozen=True)
class OverheadFigures:
    """Results for the same small request sent directly to an engine and through an entry VM."""

    #: Number of requests measured each way.
    requests: int

    #: Median and 99th percentile of the response time of the engine itself, in seconds.
    direct_p50_seconds: float
    direct_p99_seconds: float

    #: Median and 99th percentile of the response time through the entry VM, in seconds.
    entry_p50_seconds: float
    entry_p99_seconds: float

    #: Throughput with ``concurrency`` concurrent requests, in requests per second.
    requests_per_second: float

    #: Number of concurrent requests in the throughput measurement.
    concurrency: int

    #: CPU time of the entry VM's process per request under that load, in seconds.
    cpu_seconds_per_request: float

    #: Resident memory of the entry VM's process before the first request, in bytes.
    idle_resident_bytes: int

    #: Resident memory of the entry VM's process after the load, in bytes.
    loaded_resident_bytes: int

    @property
    def requests_per_core_second(self) -> float:
        """Requests per second that one core of the entry VM could handle, from its CPU time."""
        return 1.0 / self.cpu_seconds_per_request


async def measure_overhead(
    target: OverheadTarget, requests: int, concurrency: int
) -> OverheadFigures:
    """Measures the response times each way, then the throughput of the entry VM.

    Sends ``requests`` requests alternately to the engine and to the entry VM, then as many to the
    entry VM with ``concurrency`` in flight. Raises :class:`OverheadError` if a request fails.
    """
    connections = HttpConnections()
    client = _OverheadClient(target, connections)
    idle = await client.usage()
    for _ in range(WARM_UP_REQUESTS):
        await client.request_engine()
        await client.request_entry()
    direct, through_entry = await client.alternate(requests)
    before = await client.usage()
    seconds = await client.load(requests, concurrency)
    after = await client.usage()
    await connections.close()
    return OverheadFigures(
        requests=requests,
        direct_p50_seconds=float(numpy.percentile(direct, 50)),
        direct_p99_seconds=float(numpy.percentile(direct, 99)),
        entry_p50_seconds=float(numpy.percentile(through_entry, 50)),
        entry_p99_seconds=float(numpy.percentile(through_entry, 99)),
        requests_per_second=requests / seconds,
        concurrency=concurrency,
        cpu_seconds_per_request=(after["cpu_seconds"] - before["cpu_seconds"]) / requests,
        idle_resident_bytes=int(idle["resident_bytes"]),
        loaded_resident_bytes=int(after["resident_bytes"]),
    )


class _OverheadClient:
    """Sends the requests of the measurement and times them."""

    def __init__(self, target: OverheadTarget, connections: HttpConnections) -> None:
        self._target = target
        self._connections = connections
        self._engine_request_count = 0

    async def request_entry(self) -> float:
        """Returns the response time of one request through the entry VM, in seconds."""
        headers = (("Authorization", f"Bearer {self._target.account_key}"),)
        return await self._response_seconds(self._target.entry_url, self._body({}), headers)

    async def request_engine(self) -> float:
        """Returns the response time of one request sent directly to the engine, in seconds."""
        self._engine_request_count += 1
        fields = {
            "request_id": f"overhead-{self._engine_request_count}",
            "attempt": 1,
            "prompt_tokens": 3,
            "prefix_blocks": [],
        }
        return await self._response_seconds(self._target.engine_url, self._body(fields), ())

    async def alternate(self, requests: int) -> tuple[list[float], list[float]]:
        """Returns the response times of alternate requests to the engine and the entry VM."""
        direct, through_entry = [], []
        for _ in range(requests):
            direct.append(await self.request_engine())
            through_entry.append(await self.request_entry())
        return direct, through_entry

    async def load(self, requests: int, concurrency: int) -> float:
        """Returns the time for ``requests`` requests, ``concurrency`` in flight, in seconds."""
        remaining = requests
        started_at = trio.current_time()

        async def send_until_done() -> None:
            nonlocal remaining
            while remaining > 0:
                remaining -= 1
                await self.request_entry()

        async with trio.open_nursery() as nursery:
            for _ in range(concurrency):
                nursery.start_soon(send_until_done)
        return trio.current_time() - started_at

    async def usage(self) -> dict[str, Any]:
        """Returns the CPU time and memory of the entry VM's process, from its state dump."""
        headers = (("Authorization", f"Bearer {self._target.operator_key}"),)
        call = HttpCall("GET", self._target.operators_url, "/dump", b"", headers)
        response = await self._fetch(call)
        usage: dict[str, Any] = json.loads(response.body)["process"]
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

    async def _response_seconds(
        self, base_url: str, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> float:
        started_at = trio.current_time()
        await self._fetch(HttpCall("POST", base_url, "/v1/completions", body, headers))
        return trio.current_time() - started_at

    async def _fetch(self, call: HttpCall) -> HttpResponse:
        response = await self._connections.fetch(call, REQUEST_TIMEOUT_SECONDS)
        if response.status != 200:
            code = ResultCode.BACKEND_REFUSED
            raise OverheadError(
                f"{code.name}: {call.base_url}: {response.status} {response.body!r}"
            )
        return response
