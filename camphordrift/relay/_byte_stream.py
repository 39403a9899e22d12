"""Byte streams over TCP with bounds on silence."""

import socket
import struct

import trio

#: Bytes asked for in one read.
READ_SIZE = 65536

#: Seconds of unacknowledged bytes after which the kernel gives a connection up.
USER_TIMEOUT = 3.0

#: Seconds of quiet until the kernel probes a connection, and between probes.
KEEPALIVE_INTERVAL = 2

#: Lost probes after which the kernel gives a connection up.
KEEPALIVE_PROBES = 3

#: Closes with a reset and drops unsent bytes.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def bound_silence(stream: trio.SocketStream) -> None:
    """Lets the kernel end a connection whose other side fell silent."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT * 1000))


async def connect(host: str, port: int, timeout: float) -> trio.SocketStream:
    """Opens a connection to an IP number.

    Raises:
        OSError: The connection was refused, or not made within ``timeout`` seconds.

    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout):
            await sock.connect((host, port))
    except trio.TooSlowError as error:
        sock.close()
        raise TimeoutError(f"no connection to {host}:{port} within {timeout:.3g} s") from error
    except BaseException:
        sock.close()
        raise
    stream = trio.SocketStream(sock)
    bound_silence(stream)
    return stream


def reset(stream: trio.SocketStream) -> None:
    """Closes at once, so that the other side cannot take what it has for the whole."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()


def has_input(stream: trio.SocketStream) -> bool:
    """Tells whether bytes or the end of a quiet connection have arrived."""
    return stream.socket.is_readable()
