"""The log service over HTTP, with bodies of msgpack."""

from collections.abc import Sequence
from typing import Any

import msgpack

from camphordrift.backend_http import HttpCall, HttpConnections, HttpResponse
from camphordrift.backend_servers import BackendError, BackendUnreachableError
from camphordrift.platform_log import (
    AppendRefusedError,
    AppendUnsureError,
    LogRecord,
    LogUnavailableError,
    OffsetTruncatedError,
    ReadBatch,
)

#: Time that the service is given for one request, in seconds.
LOG_TIMEOUT_SECONDS = 2.0

_HEADERS = (("Content-Type", "application/msgpack"),)


class HttpLogTransport:
    """Implements :class:`camphordrift.platform_log.LogTransport` over HTTP.

    Status 429 means that the rate of appends is used up and 503 that the service is down; both say
    that nothing was appended. Any other failure after the first byte leaves an append unsure.
    """

    def __init__(self, connections: HttpConnections, base_url: str) -> None:
        self._connections = connections
        self._base_url = base_url

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends ``payloads`` together and returns the offset of the first."""
        body = msgpack.packb(list(payloads))
        call = HttpCall("POST", self._base_url, f"/streams/{stream}", body, _HEADERS)
        try:
            answer = await self._connections.fetch(call, LOG_TIMEOUT_SECONDS)
        except BackendUnreachableError as error:
            raise LogUnavailableError(str(error)) from error
        except BackendError as error:
            raise AppendUnsureError(str(error)) from error
        _raise_for_refused_append(answer)
        return int(_unpack(answer)["offset"])

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads up to ``max_records`` records from ``from_offset`` on."""
        target = f"/streams/{stream}?from={from_offset}&max={max_records}"
        call = HttpCall("GET", self._base_url, target)
        try:
            answer = await self._connections.fetch(call, LOG_TIMEOUT_SECONDS)
        except BackendError as error:
            raise LogUnavailableError(str(error)) from error
        if answer.status == 410:
            raise OffsetTruncatedError(int(_unpack(answer)["first_offset"]))
        if answer.status != 200:
            raise LogUnavailableError(f"the log service answered with status {answer.status}")
        return _decode_batch(_unpack(answer))


def _raise_for_refused_append(answer: HttpResponse) -> None:
    match answer.status:
        case 200:
            return
        case 429:
            raise AppendRefusedError("the log service is over its rate of appends")
        case 503:
            raise LogUnavailableError("the log service is down")
        case status:
            raise AppendUnsureError(f"the log service answered with status {status}")


def _unpack(answer: HttpResponse) -> Any:
    try:
        return msgpack.unpackb(answer.body)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise LogUnavailableError("the log service's answer cannot be read") from error


def _decode_batch(body: Any) -> ReadBatch:
    records = tuple(
        LogRecord(int(offset), bytes(payload), float(appended_at))
        for offset, payload, appended_at in body["records"]
    )
    return ReadBatch(records, int(body["end_offset"]))
