"""Reads request bodies within limits on size, time and memory."""

from collections.abc import AsyncIterator
from typing import Optional

import trio
from returns import result
from starlette.requests import ClientDisconnect, Request

from camphordrift.results import Failure, ResultCode

#: Retry-After in seconds for a request refused because the memory for bodies is used up.
MEMORY_RETRY_AFTER_SECONDS = 1.0


class BodyMemory:
    """Limits the total size of all request bodies that the VM holds.

    Call :meth:`try_acquire` for each received part of a body, and :meth:`release` when the request
    ends.
    """

    def __init__(self, limit_bytes: int) -> None:
        if limit_bytes <= 0:
            raise ValueError(f"limit_bytes must be positive, not {limit_bytes}")
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Total size in bytes of the bodies in memory."""
        return self._used_bytes

    def try_acquire(self, count: int) -> bool:
        """Reserves ``count`` bytes if the limit allows it, and returns whether it did."""
        if self._used_bytes + count > self._limit_bytes:
            return False
        self._used_bytes += count
        return True

    def release(self, count: int) -> None:
        """Releases ``count`` bytes; raises ``ValueError`` if fewer are reserved."""
        if count > self._used_bytes:
            raise ValueError(f"cannot release {count} bytes: only {self._used_bytes} are reserved")
        self._used_bytes -= count


class BodyReader:
    """Reads one request body. Leaving its context releases the memory reserved for the body."""

    def __init__(self, memory: BodyMemory, max_bytes: int, timeout_seconds: float) -> None:
        self._memory = memory
        self._max_bytes = max_bytes
        self._timeout_seconds = timeout_seconds
        self._acquired_bytes = 0

    def __enter__(self) -> "BodyReader":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._memory.release(self._acquired_bytes)
        self._acquired_bytes = 0

    async def read(self, request: Request) -> result.Result[bytes, Failure]:
        """Returns the complete body, or the reason to refuse the request."""
        refusal = self._check_content_length(request.headers.get("content-length"))
        if refusal is not None:
            return result.Failure(refusal)
        with trio.move_on_after(self._timeout_seconds):
            try:
                return await self._read_chunks(request.stream())
            except ClientDisconnect:
                detail = "the caller disconnected before its body was complete"
                return result.Failure(Failure(ResultCode.BODY_TIMEOUT, detail))
        detail = f"the body was not received within {self._timeout_seconds} seconds"
        return result.Failure(Failure(ResultCode.BODY_TIMEOUT, detail))

    def _check_content_length(self, length_header: Optional[str]) -> Optional[Failure]:
        if length_header is None or not length_header.isdigit():
            return None
        return self._too_large_failure() if int(length_header) > self._max_bytes else None

    async def _read_chunks(self, chunks: AsyncIterator[bytes]) -> result.Result[bytes, Failure]:
        body = bytearray()
        async for chunk in chunks:
            if len(body) + len(chunk) > self._max_bytes:
                return result.Failure(self._too_large_failure())
            if not self._memory.try_acquire(len(chunk)):
                return result.Failure(_memory_full_failure())
            self._acquired_bytes += len(chunk)
            body += chunk
        return result.Success(bytes(body))

    def _too_large_failure(self) -> Failure:
        return Failure(
            ResultCode.BODY_TOO_LARGE, f"the body exceeds the limit of {self._max_bytes} bytes"
        )


def _memory_full_failure() -> Failure:
    detail = "the VM's memory for request bodies is used up"
    return Failure(ResultCode.BODY_MEMORY_LIMIT, detail, MEMORY_RETRY_AFTER_SECONDS)
