"""Tests of the store client against a scripted server, over sockets."""

import base64
import json
import struct
from collections.abc import Awaitable, Callable
from typing import Optional, Union

import pytest
import testtools
import trio

from camphordrift.platform import PlatformStore
from camphordrift.relay import Address, Batch, HistoryLostError, KeyedRecord, StoreError
from camphordrift.testing import process_loopback_network

pytestmark = pytest.mark.sockets

#: Maps the request line of a call to the bytes of the response; empty closes the connection.
ResponseScript = Callable[[str], bytes]


def http_response(status: str, body: bytes, era: Optional[int] = None) -> bytes:
    era_header = "" if era is None else f"Store-Era: {era}\r\n"
    head = f"HTTP/1.1 {status}\r\n{era_header}content-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read_response(end: int, *records: bytes) -> bytes:
    framed = b"".join(struct.pack(">I", len(record)) + record for record in records)
    return struct.pack(">qq", end, 0) + framed


def run(
    script: ResponseScript, check: Callable[[PlatformStore, list[str]], Awaitable[None]]
) -> None:
    async def main() -> None:
        calls: list[str] = []

        async def serve(stream: trio.SocketStream) -> None:
            while data := await stream.receive_some(65536):
                line = data.split(b"\r\n")[0].decode()
                calls.append(line)
                response = script(line)
                if not response:
                    return
                await stream.send_all(response)

        host = f"{process_loopback_network()}.200"
        (listener,) = await trio.open_tcp_listeners(0, host=host)
        port = listener.socket.getsockname()[1]
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, [listener])
                await check(PlatformStore(Address(host, port)), calls)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def failure_of(call: Awaitable[Batch]) -> Union[StoreError, HistoryLostError]:
    try:
        await call
    except (StoreError, HistoryLostError) as error:
        return error
    raise AssertionError("the call succeeded")


class NewestTest(testtools.TestCase):
    def test_pages_are_joined_and_reading_continues_at_the_end_of_the_first(self) -> None:
        def page(key: str, more: bool, end: int) -> bytes:
            value = base64.b64encode(key.encode()).decode()
            items = [{"Key": key, "Value": value, "Offset": 1}]
            body = {"Items": items, "HasMore": more, "EndOffset": end}
            return http_response("200 OK", json.dumps(body).encode())

        def script(line: str) -> bytes:
            return page("b", False, 9) if "After=a" in line else page("a", True, 6)

        async def check(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.newest("keyed.op")
            self.assertEqual([("a", b"a"), ("b", b"b")], [(r.key, r.value) for r in batch.records])
            self.assertEqual(6, batch.next_offset)

        run(script, check)

    def test_a_malformed_page_is_a_store_error(self) -> None:
        async def check(store: PlatformStore, calls: list[str]) -> None:
            with testtools.ExpectedException(StoreError):
                await store.newest("keyed.op")

        for page in (b"{", b'{"Items":' + b"[" * 100_000):
            run(lambda line, page=page: http_response("200 OK", page), check)  # type: ignore[misc]

    def test_a_page_of_the_largest_size(self) -> None:
        value = b"v" * (1 << 20)

        async def check(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.newest("keyed.t")
            self.assertEqual([value], [record.value for record in batch.records])

        item = {"Key": "a", "Value": base64.b64encode(value).decode(), "Offset": 0}
        page = {"Items": [item], "HasMore": False, "EndOffset": 1}
        run(lambda line: http_response("200 OK", json.dumps(page).encode()), check)

    def test_a_page_that_is_too_large(self) -> None:
        async def check(store: PlatformStore, calls: list[str]) -> None:
            with testtools.ExpectedException(StoreError):
                await store.newest("keyed.t")

        run(lambda line: http_response("200 OK", b" " * (5 << 20)), check)

    def test_a_record_whose_value_is_no_base64_is_left_out(self) -> None:
        # Guards against one odd record that keeps all others from being read.
        async def check(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.newest("keyed.servers")
            self.assertEqual((KeyedRecord("b", b"v", 2),), batch.records)

        items = [
            {"Key": "a", "Value": "Y", "Offset": 1},
            {"Key": "b", "Value": "dg==", "Offset": 2},
        ]
        body = json.dumps({"Items": items, "HasMore": False, "EndOffset": 3}).encode()
        run(lambda line: http_response("200 OK", body), check)


class ReadTest(testtools.TestCase):
    def test_records_with_and_without_values(self) -> None:
        async def check(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.read("keyed.op", 4, 1.5)
            self.assertEqual((KeyedRecord("ab", b"v", 4), KeyedRecord("c", None, 5)), batch.records)
            self.assertEqual((6, True), (batch.next_offset, batch.complete))
            self.assertIn("From=4&WaitMs=1500", calls[0])

        run(lambda line: http_response("200 OK", read_response(6, b"\x02abv", b"\x01c")), check)

    def test_a_read_that_ends_before_the_end_offset_is_incomplete(self) -> None:
        async def check(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.read("keyed.op", 4, 0.0)
            self.assertEqual((5, False), (batch.next_offset, batch.complete))

        run(lambda line: http_response("200 OK", read_response(9, b"\x01av")), check)

    def test_malformed_records_are_skipped(self) -> None:
        async def check(store: PlatformStore, calls: list[str]) -> None:
            batch = await store.read("keyed.op", 0, 0.0)
            self.assertEqual((KeyedRecord("a", b"v", 2),), batch.records)
            self.assertEqual(3, batch.next_offset)

        run(
            lambda line: http_response("200 OK", read_response(3, b"", b"\x09abc", b"\x01av")),
            check,
        )

    def test_status_410_means_that_the_records_have_expired(self) -> None:
        async def check(store: PlatformStore, calls: list[str]) -> None:
            with testtools.ExpectedException(HistoryLostError):
                await store.read("keyed.op", 0, 0.0)

        run(lambda line: http_response("410 Gone", b'{"FirstOffset":7}'), check)

    def test_other_statuses_and_closed_connections_are_store_errors(self) -> None:
        for response in (
            http_response("503 Busy", b""),
            http_response("429 Many", b""),
            b"",
            b"nonsense\r\n\r\n",
        ):

            async def check(store: PlatformStore, calls: list[str]) -> None:
                with testtools.ExpectedException(StoreError):
                    await store.read("keyed.op", 0, 0.0)

            run(lambda line, response=response: response, check)  # type: ignore[misc]

    def test_a_connection_without_a_complete_response_is_not_reused(self) -> None:
        responses = [b"", http_response("200 OK", read_response(0))]

        async def check(store: PlatformStore, calls: list[str]) -> None:
            with testtools.ExpectedException(StoreError):
                await store.read("keyed.op", 0, 0.0)
            self.assertEqual(0, (await store.read("keyed.op", 0, 0.0)).next_offset)

        run(lambda line: responses.pop(0), check)


class EraTest(testtools.TestCase):
    def test_the_era_of_each_operation(self) -> None:
        """Guards against offsets of a restored store that are taken for those of before."""
        page = json.dumps({"Items": [], "HasMore": False, "EndOffset": 4}).encode()
        responses = [
            http_response("200 OK", page, 3),
            http_response("200 OK", read_response(4), 3),
            http_response("200 OK", b"{}", 4),
        ]

        async def check(store: PlatformStore, calls: list[str]) -> None:
            self.assertEqual(3, (await store.newest("keyed.op")).era)
            self.assertEqual(3, (await store.read("keyed.op", 4, 0.0)).era)
            self.assertEqual(4, await store.append("keyed.members", KeyedRecord("vm-1", b"v")))

        run(lambda line: responses.pop(0), check)

    def test_the_era_of_failures(self) -> None:
        responses = [http_response("410 Gone", b"{}", 3), http_response("503 Busy", b"", 4), b""]

        async def check(store: PlatformStore, calls: list[str]) -> None:
            self.assertEqual(3, (await failure_of(store.read("keyed.op", 9, 0.0))).era)
            self.assertEqual(4, (await failure_of(store.read("keyed.op", 9, 0.0))).era)
            self.assertIsNone((await failure_of(store.read("keyed.op", 9, 0.0))).era)

        run(lambda line: responses.pop(0), check)

    def test_a_response_without_a_readable_era_has_era_zero(self) -> None:
        response = http_response("200 OK", read_response(4))
        responses = [response, response.replace(b"content", b"Store-Era: new\r\ncontent")]

        async def check(store: PlatformStore, calls: list[str]) -> None:
            for _ in range(2):
                self.assertEqual(0, (await store.read("keyed.op", 4, 0.0)).era)

        run(lambda line: responses.pop(0), check)

    def test_pages_of_two_eras_are_no_snapshot(self) -> None:
        """Guards against a snapshot that contains entries which the restored store lacks."""
        items = [{"Key": "a", "Value": base64.b64encode(b"v").decode(), "Offset": 1}]

        def page(more: bool, era: int) -> bytes:
            body = {"Items": items, "HasMore": more, "EndOffset": 4}
            return http_response("200 OK", json.dumps(body).encode(), era)

        responses = [page(True, 3), page(False, 4)]

        async def check(store: PlatformStore, calls: list[str]) -> None:
            self.assertEqual(4, (await failure_of(store.newest("keyed.op"))).era)

        run(lambda line: responses.pop(0), check)
