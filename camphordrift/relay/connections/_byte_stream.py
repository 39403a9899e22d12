"""TCP connections that detect an unresponsive peer."""

import errno
import socket
import struct
from typing import Optional

import trio

from camphordrift.response_checks import follows_regular_end

#: Maximum number of bytes read at once.
READ_SIZE = 65536

#: Seconds after which the kernel closes a connection whose sent data stays unacknowledged.
UNACKNOWLEDGED_DATA_TIMEOUT = 3.0

#: Seconds of inactivity before the first keepalive probe, and between probes.
KEEPALIVE_INTERVAL = 2

#: Unanswered keepalive probes after which the kernel closes a connection.
KEEPALIVE_PROBE_COUNT = 3

#: SO_LINGER with a timeout of 0: close sends a reset and drops unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class PathBrokenError(ConnectionError):
    """A connection broke on the way to its peer, which did not close it."""


class NoPathError(OSError):
    """No VM reached a server, but those that tried may have lost their paths.

    It says nothing about the server.
    """


class ByteStream:
    """A connection to a backend server."""

    async def send_all(self, data: bytes) -> None:
        """Sends data; waits while the receiver's buffer is full.

        Raises:
            trio.BrokenResourceError: The server closed the connection.
            PathBrokenError: The connection broke on the way.

        """
        raise NotImplementedError

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Returns the next data; nothing at the end of the stream.

        Raises:
            trio.BrokenResourceError: The server reset the connection.
            PathBrokenError: The connection broke on the way.

        """
        raise NotImplementedError

    def is_readable(self) -> bool:
        """Returns whether data or the end of the stream has arrived."""
        raise NotImplementedError

    def abort(self) -> None:
        """Closes the connection with a reset."""
        raise NotImplementedError


class SocketByteStream(ByteStream):
    """A connection over this VM's own path.

    The kernel reports the error of a socket to one call only. If that is a write, the reads that
    follow return what arrived before the error, and then the same as at a regular end. The error is
    therefore kept for them.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        #: Error of a write, unless the peer had ended its side of the connection regularly before.
        self._write_error: Optional[trio.BrokenResourceError] = None

    async def send_all(self, data: bytes) -> None:
        """Sends data."""
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            if self._write_error is None and not follows_regular_end(error):
                self._write_error = error
            _raise_if_path_broke(error)
            raise

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Returns the next data."""
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError as error:
            _raise_if_path_broke(error)
            raise
        if not data and self._write_error is not None:
            _raise_if_path_broke(self._write_error)
            raise trio.BrokenResourceError(str(self._write_error)) from self._write_error
        return data

    def is_readable(self) -> bool:
        """Returns whether data or the end of the stream has arrived."""
        return self._stream.socket.is_readable()

    def abort(self) -> None:
        """Closes the connection with a reset."""
        abort(self._stream)


#: Errors of connections whose peer does not respond any more.
_PATH_ERRORS = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH))


def _raise_if_path_broke(error: trio.BrokenResourceError) -> None:
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno in _PATH_ERRORS:
        raise PathBrokenError(str(cause)) from error


def enable_dead_peer_detection(stream: trio.SocketStream) -> None:
    """Makes the kernel close a connection whose peer does not respond any more."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_DATA_TIMEOUT * 1000)
    )


async def connect(host: str, port: int, timeout: float) -> trio.SocketStream:
    """Opens a connection to an IP address.

    Raises:
        OSError: The connection failed, or was not established within ``timeout`` seconds. This
            includes addresses that no socket takes, which a VM of an older build may pass on.

    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout):
            await sock.connect((host, port))
    except trio.TooSlowError as error:
        sock.close()
        raise TimeoutError(
            f"connecting to {host}:{port} timed out after {timeout:.3g} s"
        ) from error
    except (OverflowError, ValueError) as error:
        sock.close()
        raise OSError(f"not a usable address: {host!r}, port {port}: {error}") from error
    except BaseException:
        sock.close()
        raise
    stream = trio.SocketStream(sock)
    enable_dead_peer_detection(stream)
    return stream


def abort(stream: trio.SocketStream) -> None:
    """Closes a connection with a reset, so that the peer cannot mistake partial data for all."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()
