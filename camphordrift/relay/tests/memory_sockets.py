"""Streams in memory that are used like sockets, for tests without sockets."""

from typing import Any, cast

import trio
import trio.testing


class SocketStreamDouble:
    """A stream in memory that is used like a socket."""

    def __init__(self, stream: "trio.StapledStream[Any, Any]") -> None:
        self._stream = stream
        self.send_all, self.receive_some = stream.send_all, stream.receive_some
        self.send_eof = stream.send_eof
        self.socket = self

    def setsockopt(self, *args: object) -> None:
        """Takes options of TCP."""

    def close(self) -> None:
        """Closes the stream."""
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


def stream_pair() -> tuple[trio.SocketStream, "trio.StapledStream[Any, Any]"]:
    """Returns a stream for the code under test and the one at its other end."""
    near, far = trio.testing.memory_stream_pair()
    return cast(trio.SocketStream, SocketStreamDouble(near)), far
