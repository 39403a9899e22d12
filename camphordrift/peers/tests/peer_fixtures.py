"""In-memory networks for tests of this package and of packages that send messages between VMs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Optional

import trio
import trio.testing

from camphordrift.identifiers import Incarnation, VmId
from camphordrift.peers import PeerNetwork, peer_network

KEY = b"a fleet key of the tests"


@dataclass(frozen=True)
class Question:
    """Request message for tests."""

    #: Text that most test handlers return in their answer.
    text: str

    #: Number whose meaning the test's handler defines; a default value is not put on the wire.
    weight: int = 1


@dataclass(frozen=True)
class Answer:
    """Response message for tests."""

    #: Text that the test compares.
    text: str


class FaultInjectingStream(trio.abc.Stream):
    """A stream that can drop all data, or send data twice."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self.blackholed = False
        self.duplicates_sends = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        if not self.blackholed:
            await self._stream.send_all(data)
        if self.duplicates_sends:
            await self._stream.send_all(data)
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        data = bytes(await self._stream.receive_some(max_bytes))
        while self.blackholed:
            await trio.sleep(3600)
        return data

    async def aclose(self) -> None:
        await self._stream.aclose()


class MemoryFabric:
    """Connects networks by in-memory streams; the port is the index of the network."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._networks: list[PeerNetwork] = []
        self.streams: list[FaultInjectingStream] = []
        self.unreachable: set[int] = set()

    def add(self, name: str, incarnation: int = 1, keys: Sequence[bytes] = (KEY,)) -> PeerNetwork:
        network = peer_network(VmId(name), Incarnation(incarnation), keys, self._dial)
        self._networks.append(network)
        return network

    async def start(self, networks: Iterable[PeerNetwork]) -> None:
        for network in networks:
            await self._nursery.start(network.serve)
            network.set_peers(self._addresses())

    def _addresses(self) -> dict[VmId, tuple[str, int]]:
        return {peer.own.vm_id: ("127.0.0.1", port) for port, peer in enumerate(self._networks)}

    async def _dial(self, ip: str, port: int) -> trio.abc.Stream:
        await trio.sleep(0.001)
        if port in self.unreachable:
            raise OSError("VM is unreachable")
        initiator_session, responder_session = trio.testing.memory_stream_pair()
        stream = FaultInjectingStream(initiator_session)
        self.streams.append(stream)
        self._nursery.start_soon(self._networks[port].accept, responder_session)
        return stream
