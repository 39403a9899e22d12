"""Callers of a fleet of processes, who keep account of what they were told."""

import json
from dataclasses import dataclass, field
from typing import Any

import trio
import uuid6

from camphordrift.backend_http import HttpCall, HttpResponse
from camphordrift.backend_servers import BackendError, BackendUnreachableError
from camphordrift.tests.fleet_client import KEY
from camphordrift.tests.process_fleet import ProcessFleet

#: Callers give their requests this long, in seconds.
TIMEOUT_SECONDS = 10.0

#: An answer may be this much later than the request's time, on a busy machine, in seconds.
LATE_SECONDS = 5.0

#: Time between two questions of the balancer, in seconds; below the VMs' balancer lag.
READINESS_INTERVAL_SECONDS = 0.2

OUTPUT_TOKENS = 40


@dataclass(frozen=True)
class Sample:
    """One generation request, for figures."""

    #: When it began, by the clock of the callers' loop, in seconds.
    begun_at: float

    #: How long it took, in seconds.
    seconds: float

    #: Whether it was answered whole.
    whole: bool


@dataclass
class Account:
    """What callers were told, to be compared with what ran."""

    #: Answers to generation requests that were whole.
    whole_answers: int = 0

    #: Refusals and failures by result code.
    failures: dict[str, int] = field(default_factory=dict)

    #: Requests whose connection broke, which a dying VM cannot prevent.
    broken_connections: int = 0

    #: Bookings that were answered with success.
    booked: set[str] = field(default_factory=set)

    #: Bookings of which every answer said that they were not run.
    not_run: set[str] = field(default_factory=set)

    #: Whatever contradicts a promise.
    violations: list[str] = field(default_factory=list)

    #: All generation requests, in the order of their ends.
    samples: list[Sample] = field(default_factory=list)

    def note_failure(self, answer: HttpResponse) -> str:
        """Counts a failure, and returns its run state."""
        error = json.loads(answer.body)["error"]
        self.failures[error["type"]] = self.failures.get(error["type"], 0) + 1
        return str(error["run_state"])


class Balancer:
    """Chooses VMs in turn among those that said that they are ready, as the platform's would."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self._fleet = fleet
        self._ready = list(range(len(fleet.plan.entries)))
        self._turn = 0

    async def run(self) -> None:
        """Asks every VM for its readiness again and again; runs until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for index in range(len(self._fleet.plan.entries)):
                    nursery.start_soon(self._check, index)
            await trio.sleep(READINESS_INTERVAL_SECONDS)

    def next_url(self) -> str:
        """Returns the callers' address of the next VM."""
        candidates = self._ready or list(range(len(self._fleet.plan.entries)))
        self._turn += 1
        index = candidates[self._turn % len(candidates)]
        return f"http://{self._fleet.plan.entries[index].listen.callers}"

    async def _check(self, index: int) -> None:
        base_url = f"http://{self._fleet.plan.entries[index].listen.operators}"
        try:
            with trio.fail_after(1.0):
                answer = await self._fleet.connections.fetch(
                    HttpCall("GET", base_url, "/ready"), 1.0
                )
            is_ready = answer.status == 200
        except (BackendError, trio.TooSlowError):
            is_ready = False
        if is_ready and index not in self._ready:
            self._ready.append(index)
        elif not is_ready and index in self._ready:
            self._ready.remove(index)


class Callers:
    """Sends requests through the balancer and checks the answers."""

    def __init__(self, fleet: ProcessFleet, balancer: Balancer, account: Account) -> None:
        self._fleet = fleet
        self._balancer = balancer
        self._account = account

    async def generate(self, number: int) -> None:
        """Asks for one answer and checks that it is whole and on time."""
        body = {
            "model": "course-assistant",
            "prompt": f"question {number} " + "x" * 4_000,
            "max_tokens": OUTPUT_TOKENS,
        }
        begun_at = trio.current_time()
        whole = await self._generate(body, number)
        taken = trio.current_time() - begun_at
        self._account.samples.append(Sample(begun_at, taken, whole))
        if taken > TIMEOUT_SECONDS + LATE_SECONDS:
            self._account.violations.append(f"generation {number} took {taken:.1f} s")

    async def _generate(self, body: Any, number: int) -> bool:
        try:
            answer = await self._send("/v1/completions", body, ())
        except BackendError:
            self._account.broken_connections += 1
            return False
        if answer.status != 200:
            self._account.note_failure(answer)
            return False
        return self._check_whole(json.loads(answer.body)["choices"][0]["text"], number)

    async def book(self, number: int) -> None:
        """Makes one booking, and repeats it under its key until it is answered."""
        reference = f"booking-{number}"
        headers = (("Idempotency-Key", str(uuid6.uuid7())),)
        states: set[str] = set()
        for _ in range(4):
            try:
                answer = await self._send(
                    "/booking-office/bookings", {"reference": reference}, headers
                )
            except BackendUnreachableError:
                continue
            except BackendError:
                states.add("unknown")
                continue
            if answer.status == 200:
                self._account.booked.add(reference)
                return
            states.add(self._account.note_failure(answer))
            await trio.sleep(0.2)
        if states <= {"not_run"}:
            self._account.not_run.add(reference)

    async def _send(
        self, target: str, body: Any, headers: tuple[tuple[str, str], ...]
    ) -> HttpResponse:
        base_url = self._balancer.next_url()
        lines = (
            ("Authorization", f"Bearer {KEY}"),
            ("Camphordrift-Timeout-Seconds", str(TIMEOUT_SECONDS)),
            *headers,
        )
        call = HttpCall("POST", base_url, target, json.dumps(body).encode(), lines)
        return await self._fleet.connections.fetch(call, TIMEOUT_SECONDS + LATE_SECONDS)

    def _check_whole(self, text: str, number: int) -> bool:
        words = [word.split(".") for word in text.split()]
        numbers = [word[0] for word in words]
        owners = {word[1] for word in words}
        if numbers != [f"t{index}" for index in range(OUTPUT_TOKENS)] or len(owners) != 1:
            self._account.violations.append(f"generation {number} got {text!r}")
            return False
        self._account.whole_answers += 1
        return True


async def run_load(
    fleet: ProcessFleet, account: Account, stop: trio.Event, requests_per_second: float
) -> None:
    """Sends requests and bookings at a steady rate until ``stop``, and waits for all answers."""
    balancer = Balancer(fleet)
    callers = Callers(fleet, balancer, account)
    async with trio.open_nursery() as background:
        background.start_soon(balancer.run)
        async with trio.open_nursery() as nursery:
            number = 0
            while not stop.is_set():
                number += 1
                nursery.start_soon(callers.generate, number)
                nursery.start_soon(callers.book, number)
                await trio.sleep(1.0 / requests_per_second)
        background.cancel_scope.cancel()


async def check_bookings(fleet: ProcessFleet, account: Account) -> None:
    """Compares what callers were told of bookings with what ran."""
    runs = (await fleet.counts())["bookings"]
    for reference, count in runs.items():
        if count > 1:
            account.violations.append(f"{reference} ran {count} times")
    for reference in account.booked:
        if runs.get(reference, 0) != 1:
            account.violations.append(f"{reference} was answered but ran {runs.get(reference, 0)}")
    for reference in account.not_run:
        if runs.get(reference, 0):
            account.violations.append(f"{reference} ran though callers were told it did not")
