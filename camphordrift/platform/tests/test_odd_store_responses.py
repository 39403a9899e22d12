"""Tests of odd responses of the store, without sockets."""

import json
import struct
from itertools import product
from typing import Optional

import testtools
from hypothesis import example, given, settings
from hypothesis import strategies as st

from camphordrift.platform import PlatformStore
from camphordrift.relay import (
    Address,
    Batch,
    ConnectionPool,
    HistoryLostError,
    KeyedRecord,
    StoreError,
)
from camphordrift.relay.connections import ByteStream
from camphordrift.testing import (
    Malform,
    heads_with_invalid_names,
    heads_with_invalid_status,
    run_in_virtual_time,
)

OPERATIONS = ("newest", "read", "append")


class ResponseStream(ByteStream):
    """A connection on which the same response follows each request, in pieces of given sizes."""

    def __init__(self, response: bytes, sizes: list[int]) -> None:
        self._response = response
        self._sizes = sizes
        self._unread: list[bytes] = []

    async def send_all(self, data: bytes) -> None:
        position = 0
        for size in self._sizes:
            self._unread.append(self._response[position : position + size])
            position += size
        self._unread.append(self._response[position:])
        self._unread = [piece for piece in self._unread if piece]

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        return self._unread.pop(0) if self._unread else b""

    def is_readable(self) -> bool:
        return bool(self._unread)

    def abort(self) -> None:
        self._unread.clear()


def call_store(
    operation: str, response: bytes, sizes: list[int], raises: bool = False
) -> Optional[Batch]:
    """Calls the store; returns what it read, or ``None`` if there is nothing or the call failed.

    If ``raises`` is true, the error of a call that failed is raised.
    """
    batches: list[Batch] = []

    async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
        return ResponseStream(response, sizes)

    async def main() -> None:
        store = PlatformStore(Address("127.0.0.1", 1))
        store._connections = ConnectionPool(1.0, open_stream)
        try:
            match operation:
                case "newest":
                    batches.append(await store.newest("t"))
                case "read":
                    batches.append(await store.read("t", 4, 0.0))
                case _:
                    await store.append("t", KeyedRecord("a", b"v"))
        except StoreError:
            if raises:
                raise
        except HistoryLostError:
            # Only a read may report expired records; others have none.
            if operation != "read":
                raise

    run_in_virtual_time(main)
    return batches[0] if batches else None


def response_with(body: bytes, status: str = "200 OK", era: str = "3") -> bytes:
    head = f"HTTP/1.1 {status}\r\nStore-Era: {era}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def page(**fields: object) -> bytes:
    item = {"Key": "a", "Value": "dg==", "Offset": 1}
    return json.dumps({"Items": [item], "HasMore": False, "EndOffset": 2} | fields).encode()


class NumbersTest(testtools.TestCase):
    def test_eras_that_are_no_usable_numbers_are_ignored(self) -> None:
        # Guards against a ValueError for an era of thousands of digits, which ends the process.
        for era in ("9" * 5000, "9" * 17, "-1", "\xb2", "1_0", "nan", ""):
            batch = call_store("newest", response_with(page(), era=era), [])
            assert batch is not None
            self.assertEqual((1, 0), (len(batch.records), batch.era), era[:30])

    def test_offsets_that_are_no_usable_numbers_are_store_errors(self) -> None:
        # Guards against offsets that the next read cannot ask for.
        for number in (-1, 2**64, 10**400):
            self.assertIsNone(call_store("newest", response_with(page(EndOffset=number)), []))
            items = [{"Key": "a", "Value": "dg==", "Offset": number}]
            self.assertIsNone(call_store("newest", response_with(page(Items=items)), []))


class StatusTest(testtools.TestCase):
    def test_only_a_read_has_records_that_expired(self) -> None:
        # Guards against status 410 in response to an append, or to each page of a snapshot: the
        # first ended the process, the second was requested again without end.
        for operation in OPERATIONS:
            self.assertIsNone(call_store(operation, response_with(b"{}", "410 Gone"), []))


class MalformedHeadTest(testtools.TestCase):
    """Guards against responses whose head is not valid HTTP and that are read all the same."""

    def check(self, malform: Malform) -> None:
        """Checks that each operation fails; a read must not take records for expired, either."""
        for status in ("200 OK", "410 Gone"):
            head, _, body = response_with(page(), status).partition(b"\r\n\r\n")
            for operation, malformed in product(OPERATIONS, malform(head + b"\r\n\r\n")):
                error = self.assertRaises(
                    StoreError, call_store, operation, malformed + body, [], raises=True
                )
                self.assertIsNone(error.era, f"{operation}: {malformed!r}")

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)


class PagesTest(testtools.TestCase):
    def test_pages_that_do_not_advance_are_a_store_error(self) -> None:
        # Guards against a call that never ends.
        self.assertIsNone(call_store("newest", response_with(page(HasMore=True)), []))


_json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)
_pages = st.dictionaries(
    st.sampled_from(["Items", "HasMore", "EndOffset", "Other"]), _json_values
).map(lambda fields: page(**fields))
_reads = st.tuples(
    st.integers(-(2**63), 2**63 - 1), st.lists(st.binary(max_size=8), max_size=5)
).map(
    lambda read: struct.pack(">qq", read[0], 0)
    + b"".join(struct.pack(">I", len(record)) + record for record in read[1])
)


class AnyResponseTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.sampled_from(OPERATIONS),
        st.one_of(
            st.binary(max_size=60),
            st.builds(
                response_with,
                st.one_of(_pages, _reads, st.binary(max_size=40)),
                st.sampled_from(["200 OK", "410 Gone", "503 Busy", "099 X", "204 No Content"]),
                st.one_of(st.integers().map(str), st.text(st.characters(max_codepoint=255))),
            ),
        ),
        st.integers(0, 20),
        st.lists(st.integers(1, 30), max_size=10),
    )
    @example("newest", response_with(b"[" * 100_000), 0, [])
    def test_any_response_is_read_or_a_store_error(
        self, operation: str, response: bytes, cut: int, sizes: list[int]
    ) -> None:
        # Guards against exceptions that the tasks which read the store do not expect.
        call_store(operation, response[: len(response) - cut], sizes)
