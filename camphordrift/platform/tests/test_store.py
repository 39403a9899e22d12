"""Tests of the store's client against a scripted store, over sockets."""

import base64
import json
import struct
from collections.abc import Awaitable, Callable

import pytest
import testtools
import trio

from camphordrift.platform import PlatformStore
from camphordrift.relay import Address, HistoryLostError, KeyedRecord, StoreError
from camphordrift.testing import process_loopback_network

pytestmark = pytest.mark.sockets

#: Takes the first line of a call, returns the bytes of the answer.
Script = Callable[[str], bytes]


def answer(status: str, body: bytes) -> bytes:
    return f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body


def read_body(end: int, *records: bytes) -> bytes:
    framed = b"".join(struct.pack(">I", len(record)) + record for record in records)
    return struct.pack(">qq", end, 0) + framed


def run(script: Script, body: Callable[[PlatformStore, list[str]], Awaitable[None]]) -> None:
    async def main() -> None:
        calls: list[str] = []

        async def serve(stream: trio.SocketStream) -> None:
            while data := await stream.receive_some(65536):
                line = data.split(b"\r\n")[0].decode()
                calls.append(line)
                reply = script(line)
                if not reply:
                    return
                await stream.send_all(reply)

        host = f"{process_loopback_network()}.200"
        (listener,) = await trio.open_tcp_listeners(0, host=host)
        port = listener.socket.getsockname()[1]
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, [listener])
                await body(PlatformStore(Address(host, port)), calls)
                nursery.cancel_scope.cancel()

    trio.run(main)


class NewestTest(testtools.TestCase):
    def test_pages_are_joined_and_followed_from_the_first_ones_end(self) -> None:
        def page(key: str, more: bool, end: int) -> bytes:
            value = base64.b64encode(key.encode()).decode()
            items = [{"Key": key, "Value": value, "Offset": 1}]
            body = {"Items": items, "HasMore": more, "EndOffset": end}
            return answer("200 OK", json.dumps(body).encode())

        def script(line: str) -> bytes:
            return page("b", False, 9) if "After=a" in line else page("a", True, 6)

        async def body(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.newest("keyed.op")
            self.assertEqual([("a", b"a"), ("b", b"b")], [(r.key, r.value) for r in batch.records])
            self.assertEqual(6, batch.next_offset)

        run(script, body)

    def test_a_page_that_cannot_be_read(self) -> None:
        async def body(store: PlatformStore, calls: list[str]) -> None:
            with testtools.ExpectedException(StoreError):
                await store.newest("keyed.op")

        run(lambda line: answer("200 OK", b"{"), body)


class ReadTest(testtools.TestCase):
    def test_records_with_and_without_values(self) -> None:
        async def body(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.read("keyed.op", 4, 1.5)
            self.assertEqual((KeyedRecord("ab", b"v", 4), KeyedRecord("c", None, 5)), batch.records)
            self.assertEqual((6, True), (batch.next_offset, batch.complete))
            self.assertIn("From=4&WaitMs=1500", calls[0])

        run(lambda line: answer("200 OK", read_body(6, b"\x02abv", b"\x01c")), body)

    def test_a_read_that_stops_before_the_end_is_not_complete(self) -> None:
        async def body(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.read("keyed.op", 4, 0.0)
            self.assertEqual((5, False), (batch.next_offset, batch.complete))

        run(lambda line: answer("200 OK", read_body(9, b"\x01av")), body)

    def test_a_record_that_cannot_be_read_is_passed_over(self) -> None:
        async def body(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.read("keyed.op", 0, 0.0)
            self.assertEqual((KeyedRecord("a", b"v", 2),), batch.records)
            self.assertEqual(3, batch.next_offset)

        run(lambda line: answer("200 OK", read_body(3, b"", b"\x09abc", b"\x01av")), body)

    def test_history_that_is_gone(self) -> None:
        async def body(store: PlatformStore, calls: list[str]) -> None:
            with testtools.ExpectedException(HistoryLostError):
                await store.read("keyed.op", 0, 0.0)

        run(lambda line: answer("410 Gone", b'{"FirstOffset":7}'), body)

    def test_other_answers_and_a_closed_connection_are_errors_of_the_store(self) -> None:
        for reply in (answer("503 Busy", b""), answer("429 Many", b""), b"", b"nonsense\r\n\r\n"):

            async def body(store: PlatformStore, calls: list[str]) -> None:
                with testtools.ExpectedException(StoreError):
                    await store.read("keyed.op", 0, 0.0)

            run(lambda line, reply=reply: reply, body)  # type: ignore[misc]

    def test_a_connection_that_lost_an_answer_is_not_used_again(self) -> None:
        replies = [b"", answer("200 OK", read_body(0))]

        async def body(store: PlatformStore, calls: list[str]) -> None:
            with testtools.ExpectedException(StoreError):
                await store.read("keyed.op", 0, 0.0)
            self.assertEqual(0, (await store.read("keyed.op", 0, 0.0)).next_offset)

        run(lambda line: replies.pop(0), body)
