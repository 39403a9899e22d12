"""Callers whose requests crash servers."""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import Optional

import trio

from camphordrift.platform.soak._callers import ApiKeys, VmAddress, connect_to_vm
from camphordrift.platform.soak._exchange import PATHS, REQUEST_TIMEOUTS, exchange
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._prompts import (
    crashing_body,
    crashing_part_id,
    draw_crashing_prompt,
    draw_sound_prompt,
    find_crashing_body,
)
from camphordrift.platform.soak._records import STREAM_KINDS, CallerRequest

#: Mean number of seconds between two of these requests.
_MEAN_INTERVAL = 0.2


class CrashingCallers:
    """Sends requests that crash servers to randomly chosen VMs, each on a new connection.

    Args:
        seed: Determines the requests, keys and VMs.
        vms: The VMs.
        keys: API keys, which callers of sound requests also use.
        observations: Records the requests.

    """

    def __init__(
        self, seed: int, vms: Sequence[VmAddress], keys: ApiKeys, observations: Observations
    ) -> None:
        self._random = random.Random(f"crashing prompts {seed}")
        self._vms = vms
        self._keys = keys
        self._observations = observations
        self._numbers = itertools.count()
        self._running = False

    async def send_prompts(self, seconds: float) -> None:
        """Sends prompts with a new crashing part; does nothing if such requests are being sent."""
        part = crashing_part_id(next(self._numbers))

        def draw_request(request_id: str) -> CallerRequest:
            prompt = draw_crashing_prompt(self._random, request_id, part)
            return self._create_request(request_id, "stream", self._draw_key(), prompt, part)

        await self._send_requests(part, draw_request, b"", seconds)

    async def send_one_request(self, seconds: float) -> None:
        """Sends one crashing request again and again; does nothing if such ones are being sent."""
        body = crashing_body(next(self._numbers))
        cause = find_crashing_body(body)
        kind, key = self._random.choice(list(PATHS)), self._draw_key()
        name = f"request-{next(self._numbers)}"
        prompt = draw_sound_prompt(self._random, name) if kind in STREAM_KINDS else ()

        def draw_request(request_id: str) -> CallerRequest:
            return self._create_request(request_id, kind, key, prompt, cause)

        await self._send_requests(name, draw_request, body, seconds)

    async def _send_requests(
        self,
        name: str,
        draw_request: Callable[[str], CallerRequest],
        body: bytes,
        seconds: float,
    ) -> None:
        if self._running:
            return
        self._running = True
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                await trio.sleep(self._random.expovariate(1 / _MEAN_INTERVAL))
                if trio.current_time() >= ends_at:
                    break
                nursery.start_soon(self._send, draw_request(f"{name}-{number}"), body)
        self._running = False

    async def _send(self, request: CallerRequest, body: bytes) -> None:
        stream = await connect_to_vm(next(vm for vm in self._vms if vm.name == request.vm))
        if stream is None:
            return
        request.sent_at = trio.current_time()
        self._observations.requests[request.id] = request
        async with stream:
            await exchange(request, stream, body)

    def _draw_key(self) -> str:
        return self._random.choice(list(self._keys.accounts))

    def _create_request(
        self,
        request_id: str,
        kind: str,
        key: str,
        parts: tuple[str, ...],
        crash_cause: Optional[str],
    ) -> CallerRequest:
        accounts = {**self._keys.revoked, **self._keys.accounts}
        return CallerRequest(
            id=request_id,
            kind=kind,
            key=key,
            account=accounts[key],
            vm=self._random.choice(self._vms).name,
            sent_at=trio.current_time(),
            timeout=REQUEST_TIMEOUTS[kind],
            parts=parts,
            crash_cause=crash_cause,
        )
