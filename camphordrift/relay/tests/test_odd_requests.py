"""Tests of odd bytes from callers, which end neither the process nor other callers' connections."""

import h11
import testtools
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from camphordrift.relay.connections import CallerConnection, CallerRequest, ResponseWriter
from camphordrift.relay.model import CallerLimits
from camphordrift.relay.tests.log_lines import LogLines
from camphordrift.relay.tests.memory_sockets import stream_pair
from camphordrift.testing import run_in_virtual_time

#: Small limits, so that short input exceeds them.
LIMITS = CallerLimits(header_bytes=300, body_bytes=200, header_timeout=1.0, idle_timeout=2.0)

#: A request as it should be, in pieces between which something may be inserted.
SOUND = (
    b"POST",
    b" /quick/x",
    b" HTTP/1.1\r\n",
    b"host: a\r\n",
    b"content-length: 4\r\n",
    b"\r\nbody",
)

#: What callers may send in another place than it should be.
PIECES = st.one_of(
    st.sampled_from(SOUND),
    st.sampled_from(
        [
            *(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n"),
            *(b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
            *(b"OPTIONS * HTTP/1.1\r\nhost: a\r\n\r\n", b"GET / HTTP/1.0\r\n\r\n"),
            *(b"transfer-encoding: chunked\r\n", b"transfer-encoding: gzip, chunked\r\n"),
            *(b"content-length: 5\r\n", b"content-length: " + b"9" * 30 + b"\r\n"),
            *(b"content-length: -1\r\n", b"content-length: 4, 4\r\n", b"expect: 100-continue\r\n"),
            *(b"connection: upgrade\r\nupgrade: websocket\r\n", b"connection: close\r\n"),
            *(
                b"\r\n",
                b"\n",
                b"\r",
                b"\0",
                b"0\r\n\r\n",
                b"4\r\nbody\r\n",
                b"ffffffffffffffff\r\n",
            ),
            *(b"4;a=b\r\nbody\r\n", b"-4\r\n", b" folded\r\n", b"x" * 400, b"a: " + b"\xff" * 8),
        ]
    ),
    st.binary(max_size=8),
)


async def answer(request: CallerRequest, response: ResponseWriter) -> None:
    """Answers a request after a moment, with its body; refuses tunnels, as the relay does."""
    await trio.sleep(0.01)
    status = 405 if request.method == b"CONNECT" else 200
    await response.send_complete(status, [], request.body)


def talk(pieces: list[bytes], closes: bool) -> bytes:
    """Returns what a caller gets that sends some pieces, and then closes or waits."""
    received = bytearray()

    async def main() -> None:
        near, far = stream_pair()
        connection = CallerConnection(near, lambda: LIMITS, answer, lambda: False)

        async def read() -> None:
            while data := await far.receive_some():
                received.extend(data)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.serve)
            nursery.start_soon(read)
            for piece in pieces:
                try:
                    await far.send_all(piece)
                except trio.BrokenResourceError:
                    return
                await trio.sleep(0.001)
            if closes:
                await far.send_eof()
            # Longer than all limits together.
            await trio.sleep(30.0)

    run_in_virtual_time(main)
    return bytes(received)


def statuses(content: bytes) -> list[int]:
    """Returns the statuses of the responses; an error if they are no responses."""
    found = []
    protocol = h11.Connection(h11.CLIENT)
    protocol.receive_data(content)
    while protocol.trailing_data[0]:
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        protocol.send(h11.EndOfMessage())
        while not isinstance(event := protocol.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                found.append(event.status_code)
            if event is h11.NEED_DATA:
                raise AssertionError(f"incomplete response: {content!r}")
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            break
        protocol.start_next_cycle()
    return found


class AnyRequestTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(PIECES, max_size=8), st.booleans(), st.booleans())
    @example([b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n"], True, True)
    @example([b"".join(SOUND), b"".join(SOUND)], False, False)
    def test_any_bytes_get_complete_responses_or_none(
        self, pieces: list[bytes], begins_soundly: bool, closes: bool
    ) -> None:
        # Guards against exceptions that leave a connection's task, and so end the process.
        sound = [b"".join(SOUND)] if begins_soundly else []
        with LogLines() as lines:
            found = statuses(talk([*sound, *pieces], closes))
        if begins_soundly and not closes:
            self.assertEqual(200, found[0])
        # What cannot be read closes the connection.
        self.assertTrue(len(lines.events) <= 1, lines.events)
        self.assertTrue(set(found) <= {200, 400, 405, 408, 413, 431, 501, 505}, found)
