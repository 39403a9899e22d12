"""Callers that reuse connections, switch VMs if one is unreachable, and sometimes disconnect."""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Optional

import trio

from camphordrift.platform.soak._exchange import (
    PATHS,
    REQUEST_TIMEOUTS,
    exchange,
    send_head_request,
)
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._prompts import draw_sound_prompt
from camphordrift.platform.soak._records import STREAM_KINDS, CallerRequest

#: Seconds within which a connection to a VM must be established.
CONNECT_TIMEOUT = 1.0

#: Share of requests whose caller disconnects early, and the maximum number of seconds until then.
DISCONNECT_SHARE, MAX_DISCONNECT_DELAY = 0.1, 0.4

#: Share of requests with a revoked API key, once there is one.
REVOKED_KEY_SHARE = 0.15

#: Share of requests before which the caller sends a HEAD request for an unknown path.
HEAD_SHARE = 0.05

#: Mean number of seconds between requests of one caller.
THINK_TIME = 0.1

#: Share of requests before which a connection is idle for longer, and the minimum and maximum
#: number of seconds. They are well below the shortest idle timeout of the configurations.
LONG_IDLE_SHARE, MIN_LONG_IDLE, MAX_LONG_IDLE = 0.05, 0.5, 1.2

#: A caller sends fewer requests than this on one connection.
REQUESTS_PER_CONNECTION_LIMIT = 20

#: Sizes of request bodies in bytes: empty, small enough for the connection's buffers, and too large
#: for them.
BODY_SIZES = (0, 200, 40_000)

#: Sizes in bytes of the chunks of a caller's bodies, in turn; ``None`` for a body whose length is
#: stated.
CHUNK_SIZES = (None, None, 1000)


@dataclass
class VmAddress:
    """Address at which a VM accepts callers."""

    name: str
    host: str
    port: int


@dataclass
class ApiKeys:
    """API keys with the names of their client accounts."""

    #: Client account by valid key.
    accounts: dict[str, str] = field(default_factory=dict)
    #: Former client account by revoked key.
    revoked: dict[str, str] = field(default_factory=dict)


async def connect_to_vm(vm: VmAddress) -> Optional[trio.SocketStream]:
    """Returns a new connection to a VM; ``None`` if the VM is unreachable."""
    try:
        with trio.fail_after(CONNECT_TIMEOUT):
            return await trio.open_tcp_stream(vm.host, vm.port)
    except (OSError, trio.TooSlowError):
        return None


class Caller:
    """Sends requests one after the other, to randomly chosen VMs."""

    def __init__(
        self,
        number: int,
        seed: int,
        vms: Sequence[VmAddress],
        keys: ApiKeys,
        observations: Observations,
        chunk_sizes: Sequence[Optional[int]] = CHUNK_SIZES,
    ) -> None:
        self._number = number
        self._chunk_sizes = itertools.cycle(chunk_sizes)
        self._random = random.Random(seed * 1000 + number)
        self._vms = vms
        self._keys = keys
        self._observations = observations
        self._request_numbers = itertools.count()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            vm = self._random.choice(self._vms)
            stream = await connect_to_vm(vm)
            if stream is None:
                await trio.sleep(THINK_TIME)
                continue
            async with stream:
                await self._send_requests(vm, stream)

    async def _send_requests(self, vm: VmAddress, stream: trio.SocketStream) -> None:
        for _ in range(self._random.randrange(1, REQUESTS_PER_CONNECTION_LIMIT)):
            await trio.sleep(self._think_time())
            if stream.socket.is_readable():
                # The VM closed the connection while it was idle, or its process ended.
                return
            if self._random.random() < HEAD_SHARE and not await send_head_request(stream):
                return
            request = self._next_request(vm)
            stays_connected = self._random.random() >= DISCONNECT_SHARE
            disconnect_after = (
                None if stays_connected else self._random.uniform(0.0, MAX_DISCONNECT_DELAY)
            )
            body = b"w" * self._random.choice(BODY_SIZES)
            chunk_bytes = next(self._chunk_sizes)
            if not await exchange(request, stream, body, disconnect_after, chunk_bytes):
                return

    def _think_time(self) -> float:
        if self._random.random() < LONG_IDLE_SHARE:
            return self._random.uniform(MIN_LONG_IDLE, MAX_LONG_IDLE)
        return min(MAX_LONG_IDLE, self._random.expovariate(1 / THINK_TIME))

    def _next_request(self, vm: VmAddress) -> CallerRequest:
        kind = self._random.choice(list(PATHS))
        keys = self._keys.accounts
        if self._keys.revoked and self._random.random() < REVOKED_KEY_SHARE:
            keys = self._keys.revoked
        key = self._random.choice(list(keys))
        request_id = f"a{self._number}-{next(self._request_numbers)}"
        parts = draw_sound_prompt(self._random, request_id) if kind in STREAM_KINDS else ()
        request = CallerRequest(
            id=request_id,
            kind=kind,
            key=key,
            account=keys[key],
            vm=vm.name,
            sent_at=trio.current_time(),
            timeout=REQUEST_TIMEOUTS[kind],
            parts=parts,
        )
        self._observations.requests[request.id] = request
        return request
