"""Formats HTTP responses."""

from typing import Optional


def format_head(status: str, headers: dict[str, str], length: Optional[int] = None) -> bytes:
    """Returns status line and headers.

    Args:
        status: Status code and reason.
        headers: Values by header name.
        length: Length of the body in bytes; without one, the body is sent in chunks.

    """
    framing = "transfer-encoding: chunked" if length is None else f"content-length: {length}"
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, framing, "", ""]).encode()


def format_chunk(content: bytes) -> bytes:
    """Returns a chunk; without content, the chunk that ends the body."""
    return b"%x\r\n%b\r\n" % (len(content), content)
