"""Callers that reuse connections, switch VMs if one is unreachable, and sometimes disconnect."""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Optional

import h11
import trio

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import CallerRequest

#: Timeout in seconds of each kind of request, as on the soak's routes.
REQUEST_TIMEOUTS = {"stream": 4.0, "single_stream": 4.0, "once": 2.0, "repeatable": 2.0}

#: Path for each kind of request.
PATHS = {"stream": "/s/x", "single_stream": "/q/x", "once": "/o/x", "repeatable": "/r/x"}

#: Share of requests whose caller disconnects early, and the maximum number of seconds until then.
DISCONNECT_SHARE, MAX_DISCONNECT_DELAY = 0.1, 0.4

#: Share of requests with a revoked API key, once there is one.
REVOKED_KEY_SHARE = 0.15

#: Mean number of seconds between requests of one caller.
THINK_TIME = 0.1

#: Share of requests before which a connection is idle for longer, and the minimum and maximum
#: number of seconds. They are well below the shortest idle timeout of the configurations.
LONG_IDLE_SHARE, MIN_LONG_IDLE, MAX_LONG_IDLE = 0.05, 0.5, 1.2

#: Seconds for which a caller continues to read after the timeout of its request.
EXTRA_READ_TIME = 3.0

#: A caller sends fewer requests than this on one connection.
REQUESTS_PER_CONNECTION_LIMIT = 20

#: Sizes of request bodies in bytes: empty, small enough for the connection's buffers, and too large
#: for them.
BODY_SIZES = (0, 200, 40_000)


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


class Caller:
    """Sends requests one after the other, to randomly chosen VMs."""

    def __init__(
        self,
        number: int,
        seed: int,
        vms: Sequence[VmAddress],
        keys: ApiKeys,
        observations: Observations,
    ) -> None:
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._vms = vms
        self._keys = keys
        self._observations = observations
        self._request_numbers = itertools.count()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            vm = self._random.choice(self._vms)
            try:
                with trio.fail_after(1.0):
                    stream = await trio.open_tcp_stream(vm.host, vm.port)
            except (OSError, trio.TooSlowError):
                await trio.sleep(THINK_TIME)
                continue
            async with stream:
                await self._send_requests(vm, stream)

    async def _send_requests(self, vm: VmAddress, stream: trio.SocketStream) -> None:
        for _ in range(self._random.randrange(1, REQUESTS_PER_CONNECTION_LIMIT)):
            await trio.sleep(self._think_time())
            request = self._next_request(vm)
            stays_connected = self._random.random() >= DISCONNECT_SHARE
            disconnect_after = (
                None if stays_connected else self._random.uniform(0.0, MAX_DISCONNECT_DELAY)
            )
            if not await self._send(request, stream, disconnect_after):
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
        request = CallerRequest(
            id=f"a{self._number}-{next(self._request_numbers)}",
            kind=kind,
            key=key,
            account=keys[key],
            vm=vm.name,
            sent_at=trio.current_time(),
            timeout=REQUEST_TIMEOUTS[kind],
        )
        self._observations.requests[request.id] = request
        return request

    async def _send(
        self, request: CallerRequest, stream: trio.SocketStream, disconnect_after: Optional[float]
    ) -> bool:
        """Sends a request and reads the response; returns whether the connection can be reused."""
        protocol = h11.Connection(h11.CLIENT)
        body = b"w" * self._random.choice(BODY_SIZES)
        headers = [
            ("host", "soak.example"),
            ("camphordrift-attempt-id", request.id),
            ("camphordrift-deadline-ms", str(int(request.timeout * 1000))),
            ("camphordrift-credential", request.key),
            ("camphordrift-token-count", "500,400"),
            ("content-length", str(len(body))),
        ]
        head = h11.Request(method="POST", target=PATHS[request.kind], headers=headers)
        data = protocol.send(head) or b""
        data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        read_time = (
            request.timeout + EXTRA_READ_TIME if disconnect_after is None else disconnect_after
        )
        reusable = False
        try:
            with trio.move_on_after(read_time):
                await stream.send_all(data)
                request.sent_completely = True
                reusable = await self._read_response(request, stream, protocol)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            reusable = False
        now = trio.current_time()
        if (
            disconnect_after is not None
            and request.ended_at is None
            and now >= request.sent_at + disconnect_after
        ):
            request.disconnected_at = now
        request.ended_at = now if request.ended_at is None else request.ended_at
        return reusable

    async def _read_response(
        self, request: CallerRequest, stream: trio.SocketStream, protocol: h11.Connection
    ) -> bool:
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                request.status = event.status_code
                signature = dict(event.headers).get(b"camphordrift-engine-signature")
                request.signature = None if signature is None else signature.decode()
            elif isinstance(event, h11.Data):
                request.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                request.complete, request.ended_at = True, trio.current_time()
                return protocol.their_state is not h11.MUST_CLOSE
            elif not isinstance(event, h11.InformationalResponse):
                return False
