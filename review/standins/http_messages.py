"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass


class ClosedError(Exception):
    """The channel ended before the message was complete."""


@dataclass
class Head:
    """Start line and headers of a message; names are in lower case."""

    first_line: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split()[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split()[1]

    @property
    def length(self) -> int:
        """Length of the body in bytes; 0 if it is not stated."""
        return int(self.headers.get("content-length", "0"))


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads start line and headers; raises :class:`ClosedError` if the channel ends before."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise ClosedError(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return Head(lines[0], {name.strip().lower(): value.strip() for name, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Reads a body that has a length or comes in chunks, or ends with the channel.

    Raises:
        ClosedError: The channel ended before the body was complete.

    """
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            return await _read_chunks(reader)
        if "content-length" in head.headers:
            return await reader.readexactly(head.length)
        if head.first_line.startswith("HTTP/"):
            return await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise ClosedError(str(error)) from error
    return b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"", 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if "content-length" not in headers and "transfer-encoding" not in headers:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
