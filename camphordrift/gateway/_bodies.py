"""Reads callers' bodies within bounds of size, time and memory."""

from collections.abc import AsyncIterator
from typing import Optional

import trio
from returns import result
from starlette.requests import ClientDisconnect, Request

from camphordrift.results import Failure, ResultCode

#: After this long a caller may ask again when bodies fill the VM's memory.
MEMORY_RETRY_AFTER_SECONDS = 1.0


class BodyMemory:
    """Counts the bytes of all bodies that the VM holds, and bounds them.

    Take bytes with :meth:`try_take` while a body arrives and give them back with
    :meth:`give_back` when its request ends.
    """

    def __init__(self, limit_bytes: int) -> None:
        if limit_bytes <= 0:
            raise ValueError(f"limit_bytes must be positive, not {limit_bytes}")
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes of bodies held now."""
        return self._used_bytes

    def try_take(self, count: int) -> bool:
        """Takes ``count`` bytes if they are free, and returns whether they were."""
        if self._used_bytes + count > self._limit_bytes:
            return False
        self._used_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Gives ``count`` bytes back."""
        if count > self._used_bytes:
            raise ValueError(f"{count} bytes are given back, but only {self._used_bytes} are used")
        self._used_bytes -= count


class BodyReader:
    """Reads one body; use it as a context so that its memory is given back."""

    def __init__(self, memory: BodyMemory, max_bytes: int, timeout_seconds: float) -> None:
        self._memory = memory
        self._max_bytes = max_bytes
        self._timeout_seconds = timeout_seconds
        self._taken_bytes = 0

    def __enter__(self) -> "BodyReader":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._memory.give_back(self._taken_bytes)
        self._taken_bytes = 0

    async def read(self, request: Request) -> result.Result[bytes, Failure]:
        """Returns the whole body, or why it was refused."""
        refusal = self._refuse_by_length(request.headers.get("content-length"))
        if refusal is not None:
            return result.Failure(refusal)
        with trio.move_on_after(self._timeout_seconds):
            try:
                return await self._collect(request.stream())
            except ClientDisconnect:
                detail = "the caller went away before its body was whole"
                return result.Failure(Failure(ResultCode.BODY_TIMEOUT, detail))
        detail = f"the body did not arrive within {self._timeout_seconds} seconds"
        return result.Failure(Failure(ResultCode.BODY_TIMEOUT, detail))

    def _refuse_by_length(self, length_header: Optional[str]) -> Optional[Failure]:
        if length_header is None or not length_header.isdigit():
            return None
        return self._too_large() if int(length_header) > self._max_bytes else None

    async def _collect(self, parts: AsyncIterator[bytes]) -> result.Result[bytes, Failure]:
        body = bytearray()
        async for part in parts:
            if len(body) + len(part) > self._max_bytes:
                return result.Failure(self._too_large())
            if not self._memory.try_take(len(part)):
                return result.Failure(_memory_full())
            self._taken_bytes += len(part)
            body += part
        return result.Success(bytes(body))

    def _too_large(self) -> Failure:
        return Failure(
            ResultCode.BODY_TOO_LARGE, f"the body is over the limit of {self._max_bytes} bytes"
        )


def _memory_full() -> Failure:
    detail = "the VM holds too many bytes of requests"
    return Failure(ResultCode.BODY_MEMORY_LIMIT, detail, MEMORY_RETRY_AFTER_SECONDS)
