"""HTTP client of the log service; bodies are encoded as msgpack."""

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
from camphordrift.response_checks import DECODING_ERRORS

#: Timeout in seconds of one request to the log service.
LOG_TIMEOUT_SECONDS = 2.0

#: What a body that is not the expected msgpack raises.
_UNREADABLE = (*DECODING_ERRORS, msgpack.exceptions.UnpackException)

_HEADERS = (("Content-Type", "application/msgpack"),)


class HttpLogTransport:
    """Implements :class:`camphordrift.platform_log.LogTransport` over HTTP.

    Status 429 means that the append rate limit is exceeded, 503 that the service is unavailable;
    both guarantee that nothing was appended. After any other failure once the request has been
    sent, the outcome of the append is unknown (``AppendUnsureError``).
    """

    def __init__(self, connections: HttpConnections, base_url: str) -> None:
        self._connections = connections
        self._base_url = base_url

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends ``payloads`` atomically and returns the offset of the first."""
        body = msgpack.packb(list(payloads))
        call = HttpCall("POST", self._base_url, f"/streams/{stream}", body, _HEADERS)
        try:
            response = await self._connections.fetch(call, LOG_TIMEOUT_SECONDS)
        except BackendUnreachableError as error:
            raise LogUnavailableError(str(error)) from error
        except BackendError as error:
            raise AppendUnsureError(str(error)) from error
        _raise_for_append_status(response)
        try:
            return int(msgpack.unpackb(response.body)["offset"])
        except _UNREADABLE as error:
            raise AppendUnsureError(f"the response cannot be read: {error!r}") from error

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads up to ``max_records`` records, starting at ``from_offset``."""
        target = f"/streams/{stream}?from={from_offset}&max={max_records}"
        call = HttpCall("GET", self._base_url, target)
        try:
            response = await self._connections.fetch(call, LOG_TIMEOUT_SECONDS)
        except BackendError as error:
            raise LogUnavailableError(str(error)) from error
        if response.status not in (200, 410):
            raise LogUnavailableError(f"the log service responded with status {response.status}")
        try:
            if response.status == 410:
                raise OffsetTruncatedError(int(msgpack.unpackb(response.body)["first_offset"]))
            return _decode_batch(msgpack.unpackb(response.body))
        except _UNREADABLE as error:
            raise LogUnavailableError(f"the response cannot be read: {error!r}") from error


def _raise_for_append_status(response: HttpResponse) -> None:
    match response.status:
        case 200:
            return
        case 429:
            raise AppendRefusedError("the log service's append rate limit is exceeded")
        case 503:
            raise LogUnavailableError("the log service is unavailable")
        case status:
            raise AppendUnsureError(f"the log service responded with status {status}")


def _decode_batch(body: Any) -> ReadBatch:
    records = tuple(
        LogRecord(int(offset), bytes(payload), float(appended_at))
        for offset, payload, appended_at in body["records"]
    )
    return ReadBatch(records, int(body["end_offset"]))
