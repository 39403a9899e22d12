"""Parses the platform's headers into the relay's metadata, and writes them."""

import re
from typing import Optional

from camphordrift.platform._json import MAX_COLD_MS, MAX_NUMBER
from camphordrift.relay import (
    ForwardingMetadata,
    Headers,
    PrefillHelper,
    RequestMetadata,
    ResponseMetadata,
    UnreadableHeader,
)

_ATTEMPT = b"camphordrift-attempt-id"
#: In a caller's request, its timeout in milliseconds; in a request to a backend server, the
#: milliseconds that remain until the deadline.
_DEADLINE = b"camphordrift-deadline-ms"
#: The caller's API key, without a scheme.
_KEY = b"camphordrift-credential"
_ACCOUNT = b"camphordrift-tenant"
#: Prompt tokens and maximum output tokens, comma-separated.
_TOKEN_COUNTS = b"camphordrift-token-count"
#: Parts of the prompt as ID:TOKENS, comma-separated; the last one belongs to the request alone.
_PROMPT_PARTS = b"camphordrift-prompt-prefix"
#: The caller's estimate of the output tokens.
_OUTPUT_ESTIMATE = b"camphordrift-length-hint"
_LAST_EVENT = b"last-event-id"
_SIGNATURE = b"camphordrift-engine-signature"
_NOT_RUN = b"camphordrift-not-executed"
#: Id of the engine at fault, in responses with status 421 or 503.
_SERVER_AT_FAULT = b"at-server"
#: Id of the intended server; any other server responds 421 and does not run the request.
_EXPECTED_SERVER = b"camphordrift-expect-instance"
_EXPECTED_VERSION = b"camphordrift-expect-version"
_PRIORITY = b"camphordrift-request-priority"
#: Engines that prefill parts of the prompt: IP:PORT or IP:PORT/RESERVATION, comma-separated.
_HELPERS = b"camphordrift-helpers"
_KEEP_ALIVE = b"keep-alive"
#: ``1`` in all responses of a server that leaves.
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
#: Requests per second that a server takes from all VMs together, for as long as it says so.
_REQUEST_LIMIT = b"server-limit"
#: Milliseconds for which a server is still cold.
_COLD_LEFT = b"camphordrift-cold-ms"

#: Longest time in seconds for which a server may want no requests: one year.
_MAX_RETRY_AFTER = 366 * 86_400.0

#: Longest time in seconds for which a server may say that it keeps an idle connection: one day.
_MAX_IDLE_TIMEOUT = 86_400.0

#: Highest limit in requests per second that a server may name. More is no limit.
_MAX_REQUEST_LIMIT = 1e9

#: A number without a sign, possibly with a fraction. For times, HTTP allows dates as well; they are
#: not used.
_DECIMAL = re.compile(rb"\d+(\.\d+)?")

#: A whole number with as many digits as :data:`MAX_NUMBER` at most.
_WHOLE = re.compile(rb"\d{1,%d}" % len(str(MAX_NUMBER)))

#: Number of bytes of a malformed value that an error or a log line shows.
_SHOWN_BYTES = 100

#: Headers of a caller's request that are not forwarded: the relay sets them itself, or they are
#: meant only for the relay.
_RESERVED = frozenset(
    (_DEADLINE, _KEY, _ACCOUNT, _EXPECTED_SERVER, _EXPECTED_VERSION, _PRIORITY, _HELPERS)
)

#: Hop-by-hop headers (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


class PlatformHeaders:
    """Implements :class:`camphordrift.relay.HeaderFormat`."""

    def request_metadata(self, headers: Headers) -> RequestMetadata:
        """Parses a caller's headers; raises ``ValueError`` for one that is malformed."""
        values = dict(headers)
        prompt_tokens, max_output_tokens = _parse_token_counts(values.get(_TOKEN_COUNTS))
        return RequestMetadata(
            attempt_id=_decode_text(values.get(_ATTEMPT)) or "",
            caller_timeout=_parse_caller_timeout(values.get(_DEADLINE)),
            key=_decode_text(values.get(_KEY)),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            estimated_output_tokens=_parse_count(_OUTPUT_ESTIMATE, values.get(_OUTPUT_ESTIMATE)),
            last_event_id=_decode_text(values.get(_LAST_EVENT)),
            prompt_parts=_parse_shared_parts(values.get(_PROMPT_PARTS)),
        )

    def response_metadata(self, headers: Headers) -> ResponseMetadata:
        """Parses the headers of a backend server's response.

        A number that is malformed or beyond its bound counts as not stated.
        """
        values = dict(headers)
        unreadable: list[UnreadableHeader] = []

        def decimal(name: bytes, value: Optional[bytes], maximum: float) -> Optional[float]:
            if value is None:
                return None
            if not _DECIMAL.fullmatch(value) or float(value) > maximum:
                shown = value[:_SHOWN_BYTES].decode("latin-1")
                unreadable.append(UnreadableHeader(name.decode(), shown))
                return None
            return float(value)

        keep_alive = _find_idle_timeout(values.get(_KEEP_ALIVE))
        cold_ms = decimal(_COLD_LEFT, values.get(_COLD_LEFT), MAX_COLD_MS)
        return ResponseMetadata(
            attempt_id=_decode_text(values.get(_ATTEMPT)),
            signed=_SIGNATURE in values,
            not_run=_NOT_RUN in values,
            server_at_fault=_decode_text(values.get(_SERVER_AT_FAULT)),
            idle_timeout=decimal(_KEEP_ALIVE, keep_alive, _MAX_IDLE_TIMEOUT),
            leaving=values.get(_LEAVING) == b"1",
            retry_after=decimal(_RETRY_AFTER, values.get(_RETRY_AFTER), _MAX_RETRY_AFTER),
            request_limit=decimal(_REQUEST_LIMIT, values.get(_REQUEST_LIMIT), _MAX_REQUEST_LIMIT),
            cold_left=None if cold_ms is None else cold_ms / 1000,
            unreadable=tuple(unreadable),
        )

    def outgoing_headers(
        self, headers: Headers, metadata: ForwardingMetadata
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a request to a backend server.

        They are the caller's end-to-end headers, without those that the relay sets, and the
        relay's own.
        """
        dropped = _RESERVED | _HOP_BY_HOP | _names_in_connection_header(headers)
        if metadata.last_event_id is not None:
            dropped |= {_LAST_EVENT}
        forwarded = [(name, value) for name, value in headers if name not in dropped]
        forwarded.append((_DEADLINE, b"%d" % max(1, int(metadata.remaining_time * 1000))))
        forwarded.append((_EXPECTED_SERVER, metadata.server_id.encode()))
        if metadata.account is not None:
            forwarded.append((_ACCOUNT, metadata.account.encode()))
        if metadata.priority is not None:
            forwarded.append((_PRIORITY, b"%d" % metadata.priority))
        if metadata.last_event_id is not None:
            forwarded.append((_LAST_EVENT, metadata.last_event_id.encode()))
        if metadata.helpers:
            forwarded.append((_HELPERS, ",".join(map(_format_helper, metadata.helpers)).encode()))
        return forwarded


def _names_in_connection_header(headers: Headers) -> frozenset[bytes]:
    named = (value for name, value in headers if name == b"connection")
    return frozenset(part.strip().lower() for value in named for part in value.split(b","))


def _format_helper(helper: PrefillHelper) -> str:
    address = f"{helper.host}:{helper.port}"
    return address if helper.reservation is None else f"{address}/{helper.reservation}"


def _decode_text(value: Optional[bytes]) -> Optional[str]:
    return None if value is None else value.decode("latin-1")


def _parse_caller_timeout(value: Optional[bytes]) -> Optional[float]:
    if value is None:
        return None
    if not _DECIMAL.fullmatch(value) or float(value) > MAX_NUMBER:
        raise ValueError(_describe_bad_number(_DEADLINE, value))
    return float(value) / 1000


def _parse_token_counts(value: Optional[bytes]) -> tuple[int, int]:
    if not value:
        return 0, 0
    first, _, second = value.partition(b",")
    if not first:
        raise ValueError(_describe_bad_number(_TOKEN_COUNTS, value))
    return _parse_count(_TOKEN_COUNTS, first), _parse_count(_TOKEN_COUNTS, second)


def _parse_count(name: bytes, value: Optional[bytes]) -> int:
    """Parses a whole number; returns 0 if there is none.

    Raises:
        ValueError: It is no number, or more than :data:`MAX_NUMBER`.

    """
    if not value:
        return 0
    if not _WHOLE.fullmatch(value.strip()) or int(value) > MAX_NUMBER:
        raise ValueError(_describe_bad_number(name, value))
    return int(value)


def _describe_bad_number(name: bytes, value: bytes) -> str:
    return f"{name.decode()} is not a number from 0 to {MAX_NUMBER}: {value[:_SHOWN_BYTES]!r}"


def _parse_shared_parts(value: Optional[bytes]) -> tuple[str, ...]:
    """Returns the ids of all parts of a prompt but the last one."""
    if not value:
        return ()
    return tuple(_parse_part_id(entry) for entry in value.split(b","))[:-1]


def _parse_part_id(entry: bytes) -> str:
    part_id, separator, tokens = entry.strip().partition(b":")
    if not part_id or not separator or not tokens:
        raise ValueError(f"not a part of a prompt: {entry[:_SHOWN_BYTES]!r}")
    # Checked only, as the parts are told apart by their ids.
    _parse_count(_PROMPT_PARTS, tokens)
    return part_id.decode("ascii").lower()


def _find_idle_timeout(value: Optional[bytes]) -> Optional[bytes]:
    """Returns the text of the timeout in a Keep-Alive header; ``None`` if it states none."""
    for part in (value or b"").split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout":
            return seconds
    return None
