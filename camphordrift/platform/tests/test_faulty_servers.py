"""Tests of a VM's process whose servers send many bytes that are no complete response.

They run one relay as a real process and check only what does not depend on the machine's speed.
"""

from collections.abc import Iterator

import pytest
import testtools
import trio

from camphordrift.platform.tests import test_crowds
from camphordrift.platform.tests.test_crowds import (
    HANG_TIMEOUT,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    VmProcess,
    open_vm,
    request_head,
)
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Bytes that a server sends at once.
BLOCK = b"x" * 65536

#: Bytes of a body, and of a head, just below the limits of single responses.
LARGE, LARGE_HEAD = 60 * len(BLOCK), 63_000

#: Bytes after which an endless response ends in the tests.
ENDLESS = 256 * len(BLOCK)

#: Number of requests at the same time, and of those whose responses are heads.
CROWD, CROWD_OF_HEADS = 64, 1500

HEAD = b"HTTP/1.1 200 OK\r\ncamphordrift-engine-signature: s\r\ncamphordrift-attempt-id: a1\r\n"


class FaultyServer:
    """Sends a beginning and then blocks, up to a number of bytes, and stays silent."""

    def __init__(self, beginning: bytes, size: int) -> None:
        self._beginning, self._size = beginning, size
        #: Number of responses that were sent, or given up by the VM.
        self.finished = 0

    async def respond(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        """Answers a request."""
        try:
            await stream.send_all(self._beginning)
            for block in self._blocks():
                await stream.send_all(block)
        except trio.BrokenResourceError:
            return False
        finally:
            self.finished += 1
        await trio.sleep_forever()
        return False

    def _blocks(self) -> Iterator[bytes]:
        for start in range(0, self._size, len(BLOCK)):
            yield BLOCK[: self._size - start]


class FaultyServerTest(testtools.TestCase):
    """Guards against servers that end a VM's process, and with it the requests of all callers."""

    def check(self, server: FaultyServer, count: int = CROWD) -> None:
        """Sends many requests, and an ordinary one when the server has sent what it has."""
        self.patch(test_crowds, "serve_bulk", server.respond)
        head = request_head("/bulk/", "content-length: 0")

        async def main() -> None:
            with trio.fail_after(HANG_TIMEOUT):
                async with open_vm(MAX_DESCRIPTORS) as vm:
                    for _ in range(count):
                        await vm.send_and_stay(head)
                    while server.finished < count:
                        await trio.sleep(0.01)
                    self.check_vm(vm, await vm.send_ordinary_request())

        trio.run(main)

    def check_vm(self, vm: VmProcess, answer: bytes) -> None:
        self.assertIs(None, vm.process.poll(), vm.output[-2000:])
        self.assertLess(vm.peak_memory, MEMORY_MB * 1_000_000)
        self.assertEqual(b"HTTP/1.1 200", answer[:12])

    def test_large_bodies_that_do_not_end(self) -> None:
        self.check(FaultyServer(HEAD + b"\r\n", LARGE))

    def test_endless_bodies(self) -> None:
        self.check(FaultyServer(HEAD + b"\r\n", ENDLESS))

    def test_large_heads_that_do_not_end(self) -> None:
        self.check(FaultyServer(HEAD + b"x-endless: ", LARGE_HEAD), CROWD_OF_HEADS)

    def test_endless_heads(self) -> None:
        self.check(FaultyServer(HEAD + b"x-endless: ", ENDLESS))

    def test_bytes_that_are_no_response(self) -> None:
        self.check(FaultyServer(b"", ENDLESS))

    def test_large_complete_responses_that_nobody_reads(self) -> None:
        self.check(FaultyServer(HEAD + b"content-length: %d\r\n\r\n" % LARGE, LARGE))
