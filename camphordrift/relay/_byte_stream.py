"""TCP connections that detect an unresponsive peer."""

import socket
import struct

import trio

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
        OSError: The connection failed, or was not established within ``timeout`` seconds.

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


def is_readable(stream: trio.SocketStream) -> bool:
    """Returns whether data or the end of the stream has arrived."""
    return stream.socket.is_readable()
