"""Callers of the soak: they keep their connections, change VMs when one is gone, and may leave."""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Optional

import h11
import trio

from camphordrift.platform.soak._observations import Attempt, Ledger

#: Seconds that requests of each kind may take, as the soak's routes say.
PATIENCE = {"stream": 4.0, "once": 2.0, "repeatable": 2.0}

#: Paths of the routes of each kind.
PATHS = {"stream": "/s/x", "once": "/o/x", "repeatable": "/r/x"}

#: Part of the requests whose caller leaves, within this many seconds.
LEAVING_SHARE, LEAVING_TIME = 0.1, 0.4

#: Part of the requests that bear a withdrawn key.
WITHDRAWN_SHARE = 0.15

#: Seconds between the requests of one caller, on average.
THINK_TIME = 0.1

#: Seconds for which a caller reads on after the request's time is over.
LISTEN_ON = 3.0

#: Requests on one connection, at most.
KEPT_FOR = 20

#: Bytes of a body that crosses the connection's buffers in one piece, and of one that does not.
BODY_SIZES = (0, 200, 40_000)


@dataclass
class VmAddress:
    """Where a VM takes callers."""

    name: str
    host: str
    port: int


@dataclass
class Keys:
    """API keys, and the client account of each."""

    accounts: dict[str, str] = field(default_factory=dict)
    #: Keys that were withdrawn.
    withdrawn: dict[str, str] = field(default_factory=dict)


class Caller:
    """Sends one request after the other."""

    def __init__(
        self, number: int, seed: int, vms: Sequence[VmAddress], keys: Keys, ledger: Ledger
    ) -> None:
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._vms = vms
        self._keys = keys
        self._ledger = ledger
        self._numbers = itertools.count()

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
                await self._use(vm, stream)

    async def _use(self, vm: VmAddress, stream: trio.SocketStream) -> None:
        for _ in range(self._random.randrange(1, KEPT_FOR)):
            await trio.sleep(self._random.expovariate(1 / THINK_TIME))
            attempt = self._next_attempt(vm)
            stays = self._random.random() >= LEAVING_SHARE
            leaves_in = None if stays else self._random.uniform(0.0, LEAVING_TIME)
            if not await self._send(attempt, stream, leaves_in):
                return

    def _next_attempt(self, vm: VmAddress) -> Attempt:
        kind = self._random.choice(list(PATHS))
        keys = self._keys.accounts
        if self._keys.withdrawn and self._random.random() < WITHDRAWN_SHARE:
            keys = self._keys.withdrawn
        key = self._random.choice(list(keys))
        attempt = Attempt(
            id=f"a{self._number}-{next(self._numbers)}",
            kind=kind,
            key=key,
            account=keys[key],
            vm=vm.name,
            sent=trio.current_time(),
            patience=PATIENCE[kind],
        )
        self._ledger.attempts[attempt.id] = attempt
        return attempt

    async def _send(
        self, attempt: Attempt, stream: trio.SocketStream, leaves_in: Optional[float]
    ) -> bool:
        """Sends a request and reads the answer; returns whether the connection goes on."""
        protocol = h11.Connection(h11.CLIENT)
        body = b"w" * self._random.choice(BODY_SIZES)
        headers = [
            ("host", "soak.example"),
            ("camphordrift-attempt-id", attempt.id),
            ("camphordrift-deadline-ms", str(int(attempt.patience * 1000))),
            ("camphordrift-credential", attempt.key),
            ("camphordrift-token-count", "500,400"),
            ("content-length", str(len(body))),
        ]
        request = h11.Request(method="POST", target=PATHS[attempt.kind], headers=headers)
        data = protocol.send(request) or b""
        data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        listen = attempt.patience + LISTEN_ON if leaves_in is None else leaves_in
        goes_on = False
        try:
            with trio.move_on_after(listen):
                await stream.send_all(data)
                goes_on = await self._read(attempt, stream, protocol)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            goes_on = False
        now = trio.current_time()
        if leaves_in is not None and attempt.ended is None and now >= attempt.sent + leaves_in:
            attempt.left = now
        attempt.ended = now if attempt.ended is None else attempt.ended
        return goes_on

    async def _read(
        self, attempt: Attempt, stream: trio.SocketStream, protocol: h11.Connection
    ) -> bool:
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                attempt.status = event.status_code
                attempt.signed = any(
                    n == b"camphordrift-engine-signature" for n, _ in event.headers
                )
            elif isinstance(event, h11.Data):
                attempt.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                attempt.whole, attempt.ended = True, trio.current_time()
                return protocol.their_state is not h11.MUST_CLOSE
            elif not isinstance(event, h11.InformationalResponse):
                return False
