"""A load generator for a fleet of processes, which records and checks the responses."""

import json
from dataclasses import dataclass, field
from typing import Any

import trio
import uuid6

from camphordrift.backend_http import HttpCall, HttpResponse
from camphordrift.backend_servers import BackendError, BackendUnreachableError
from camphordrift.tests.fleet_client import ACCOUNT_KEY
from camphordrift.tests.process_fleet import ProcessFleet

#: Timeout that callers set on their requests, in seconds.
TIMEOUT_SECONDS = 10.0

#: Time by which a response may exceed that timeout on a busy machine, in seconds.
LATENESS_TOLERANCE_SECONDS = 5.0

#: Interval of the load balancer's readiness checks, in seconds; below the VMs' balancer lag.
READINESS_CHECK_INTERVAL_SECONDS = 0.2

OUTPUT_TOKENS = 40


@dataclass(frozen=True)
class Sample:
    """The timing of one generation request, for figures."""

    #: Start time, by the clock of the load generator's event loop, in seconds.
    started_at: float

    #: Duration, in seconds.
    seconds: float

    #: Whether the response was complete.
    complete: bool


@dataclass
class ClientObservations:
    """What the responses said, to be compared with what the backend servers ran."""

    #: Number of complete responses to generation requests.
    complete_responses: int = 0

    #: Number of refusals and failures, by result code.
    failures: dict[str, int] = field(default_factory=dict)

    #: Number of requests whose connection broke, which a killed VM cannot prevent.
    broken_connections: int = 0

    #: References of the bookings whose response reported success.
    booked: set[str] = field(default_factory=set)

    #: References of the bookings for which every response said that they were not run.
    not_run: set[str] = field(default_factory=set)

    #: Descriptions of observations that contradict a guarantee.
    violations: list[str] = field(default_factory=list)

    #: All generation requests, in the order in which they ended.
    samples: list[Sample] = field(default_factory=list)

    def record_failure(self, response: HttpResponse) -> str:
        """Counts a failure and returns its run state."""
        error = json.loads(response.body)["error"]
        self.failures[error["type"]] = self.failures.get(error["type"], 0) + 1
        return str(error["run_state"])


class LoadBalancer:
    """Selects ready VMs round-robin, as the platform's load balancer does."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self._fleet = fleet
        self._ready = list(range(len(fleet.plan.entries)))
        self._next_index = 0

    async def run(self) -> None:
        """Checks the readiness of every VM periodically; runs until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for index in range(len(self._fleet.plan.entries)):
                    nursery.start_soon(self._check_readiness, index)
            await trio.sleep(READINESS_CHECK_INTERVAL_SECONDS)

    def next_url(self) -> str:
        """Returns the base URL for callers of the next VM; of any VM if none is ready."""
        candidates = self._ready or list(range(len(self._fleet.plan.entries)))
        self._next_index += 1
        index = candidates[self._next_index % len(candidates)]
        return f"http://{self._fleet.plan.entries[index].listen.callers}"

    async def _check_readiness(self, index: int) -> None:
        base_url = f"http://{self._fleet.plan.entries[index].listen.operators}"
        try:
            with trio.fail_after(1.0):
                response = await self._fleet.connections.fetch(
                    HttpCall("GET", base_url, "/ready"), 1.0
                )
            is_ready = response.status == 200
        except (BackendError, trio.TooSlowError):
            is_ready = False
        if is_ready and index not in self._ready:
            self._ready.append(index)
        elif not is_ready and index in self._ready:
            self._ready.remove(index)


class LoadGenerator:
    """Sends requests through the load balancer and checks the responses."""

    def __init__(
        self, fleet: ProcessFleet, balancer: LoadBalancer, observations: ClientObservations
    ) -> None:
        self._fleet = fleet
        self._balancer = balancer
        self._observations = observations

    async def generate(self, number: int) -> None:
        """Sends one generation request and checks that the response is complete and on time."""
        body = {
            "model": "course-assistant",
            "prompt": f"question {number} " + "x" * 4_000,
            "max_tokens": OUTPUT_TOKENS,
        }
        started_at = trio.current_time()
        complete = await self._generate(body, number)
        seconds = trio.current_time() - started_at
        self._observations.samples.append(Sample(started_at, seconds, complete))
        if seconds > TIMEOUT_SECONDS + LATENESS_TOLERANCE_SECONDS:
            self._observations.violations.append(f"generation {number} took {seconds:.1f} s")

    async def _generate(self, body: Any, number: int) -> bool:
        try:
            response = await self._send("/v1/completions", body, ())
        except BackendError:
            self._observations.broken_connections += 1
            return False
        if response.status != 200:
            self._observations.record_failure(response)
            return False
        return self._check_output(json.loads(response.body)["choices"][0]["text"], number)

    async def book(self, number: int) -> None:
        """Makes one booking; retries it with the same idempotency key, up to 4 attempts in all."""
        reference = f"booking-{number}"
        headers = (("Idempotency-Key", str(uuid6.uuid7())),)
        run_states: set[str] = set()
        for _ in range(4):
            try:
                response = await self._send(
                    "/booking-office/bookings", {"reference": reference}, headers
                )
            except BackendUnreachableError:
                continue
            except BackendError:
                run_states.add("unknown")
                continue
            if response.status == 200:
                self._observations.booked.add(reference)
                return
            run_states.add(self._observations.record_failure(response))
            await trio.sleep(0.2)
        if run_states <= {"not_run"}:
            self._observations.not_run.add(reference)

    async def _send(
        self, target: str, body: Any, headers: tuple[tuple[str, str], ...]
    ) -> HttpResponse:
        base_url = self._balancer.next_url()
        all_headers = (
            ("Authorization", f"Bearer {ACCOUNT_KEY}"),
            ("Camphordrift-Timeout-Seconds", str(TIMEOUT_SECONDS)),
            *headers,
        )
        call = HttpCall("POST", base_url, target, json.dumps(body).encode(), all_headers)
        return await self._fleet.connections.fetch(
            call, TIMEOUT_SECONDS + LATENESS_TOLERANCE_SECONDS
        )

    def _check_output(self, text: str, number: int) -> bool:
        words = [word.split(".") for word in text.split()]
        token_names = [word[0] for word in words]
        digests = {word[1] for word in words}
        if token_names != [f"t{index}" for index in range(OUTPUT_TOKENS)] or len(digests) != 1:
            self._observations.violations.append(f"generation {number} got {text!r}")
            return False
        self._observations.complete_responses += 1
        return True


async def run_load(
    fleet: ProcessFleet,
    observations: ClientObservations,
    stop: trio.Event,
    requests_per_second: float,
) -> None:
    """Sends generation requests and bookings at a steady rate until ``stop`` is set.

    Waits for all responses. ``requests_per_second`` is the rate of each of the two kinds.
    """
    balancer = LoadBalancer(fleet)
    generator = LoadGenerator(fleet, balancer, observations)
    async with trio.open_nursery() as background:
        background.start_soon(balancer.run)
        async with trio.open_nursery() as nursery:
            number = 0
            while not stop.is_set():
                number += 1
                nursery.start_soon(generator.generate, number)
                nursery.start_soon(generator.book, number)
                await trio.sleep(1.0 / requests_per_second)
        background.cancel_scope.cancel()


async def check_bookings(fleet: ProcessFleet, observations: ClientObservations) -> None:
    """Records a violation for each booking whose responses contradict its number of runs."""
    runs = (await fleet.counts())["bookings"]
    for reference, count in runs.items():
        if count > 1:
            observations.violations.append(f"{reference} ran {count} times")
    for reference in observations.booked:
        if runs.get(reference, 0) != 1:
            observations.violations.append(
                f"{reference} was reported as booked but ran {runs.get(reference, 0)}"
            )
    for reference in observations.not_run:
        if runs.get(reference, 0):
            observations.violations.append(
                f"{reference} ran although every response said that it was not run"
            )
