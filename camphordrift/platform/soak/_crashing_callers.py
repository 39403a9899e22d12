"""Callers whose prompts crash engines."""

import itertools
import random
from collections.abc import Sequence

import trio

from camphordrift.platform.soak._callers import ApiKeys, VmAddress, connect_to_vm
from camphordrift.platform.soak._exchange import REQUEST_TIMEOUTS, exchange
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._prompts import crashing_part_id, draw_crashing_prompt
from camphordrift.platform.soak._records import CallerRequest

#: Mean number of seconds between two of these requests.
_MEAN_INTERVAL = 0.2


class CrashingCallers:
    """Sends requests that crash engines to randomly chosen VMs, each on a new connection.

    Args:
        seed: Determines the prompts, keys and VMs.
        vms: The VMs.
        keys: API keys, which callers of sound prompts also use.
        observations: Records the requests.

    """

    def __init__(
        self, seed: int, vms: Sequence[VmAddress], keys: ApiKeys, observations: Observations
    ) -> None:
        self._random = random.Random(f"crashing prompts {seed}")
        self._vms = vms
        self._keys = keys
        self._observations = observations
        self._part_numbers = itertools.count()
        self._running = False

    async def run(self, seconds: float) -> None:
        """Sends prompts with a new crashing part; does nothing if it does so already."""
        if self._running:
            return
        self._running = True
        part = crashing_part_id(next(self._part_numbers))
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                await trio.sleep(self._random.expovariate(1 / _MEAN_INTERVAL))
                if trio.current_time() >= ends_at:
                    break
                nursery.start_soon(self._send, f"{part}-{number}", part)
        self._running = False

    async def _send(self, request_id: str, part: str) -> None:
        vm = self._random.choice(self._vms)
        key, account = self._random.choice(list(self._keys.accounts.items()))
        prompt = draw_crashing_prompt(self._random, request_id, part)
        stream = await connect_to_vm(vm)
        if stream is None:
            return
        request = CallerRequest(
            id=request_id,
            kind="stream",
            key=key,
            account=account,
            vm=vm.name,
            sent_at=trio.current_time(),
            timeout=REQUEST_TIMEOUTS["stream"],
            parts=prompt,
        )
        self._observations.requests[request.id] = request
        async with stream:
            await exchange(request, stream)
