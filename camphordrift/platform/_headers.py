"""Headers of the platform, read into and written from the relay's facts."""

from typing import Optional

from camphordrift.relay import (
    ForwardingMetadata,
    Headers,
    PrefillHelper,
    RequestMetadata,
    ResponseMetadata,
)

_ATTEMPT = b"camphordrift-attempt-id"
#: Milliseconds that the caller waits; towards a backend server, what is left of them.
_TIME_LEFT = b"camphordrift-deadline-ms"
#: The caller's API key, alone.
_KEY = b"camphordrift-credential"
_ACCOUNT = b"camphordrift-tenant"
#: Prompt tokens and the most answer tokens, comma-separated.
_TOKENS = b"camphordrift-token-count"
#: The caller's estimate of the answer's tokens.
_ANSWER_ESTIMATE = b"camphordrift-length-hint"
_LAST_EVENT = b"last-event-id"
_SIGNATURE = b"camphordrift-engine-signature"
_NOT_RUN = b"camphordrift-not-executed"
#: The engine at fault in answers 421 and 503.
_AT_FAULT = b"at-server"
#: Any other server answers 421 and does not run the request.
_EXPECTED_SERVER = b"camphordrift-expect-instance"
_EXPECTED_VERSION = b"camphordrift-expect-version"
_PRIORITY = b"camphordrift-request-priority"
#: Engines that read parts of the prompt: IP:PORT or IP:PORT/RESERVATION, comma-separated.
_HELPERS = b"camphordrift-helpers"
_KEEP_ALIVE = b"keep-alive"

#: Headers that only the system may set towards backend servers, or that end here.
_OWN = frozenset(
    (_TIME_LEFT, _KEY, _ACCOUNT, _EXPECTED_SERVER, _EXPECTED_VERSION, _PRIORITY, _HELPERS)
)

#: Headers that concern one connection only (RFC 9110, section 7.6.1).
_CONNECTION_ONLY = frozenset(
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
        """Reads a caller's headers."""
        found = dict(headers)
        prompt, answer = _pair(found.get(_TOKENS))
        caller_timeout = found.get(_TIME_LEFT)
        return RequestMetadata(
            attempt_id=_text(found.get(_ATTEMPT)) or "",
            caller_timeout=None if caller_timeout is None else float(caller_timeout) / 1000,
            key=_text(found.get(_KEY)),
            prompt_tokens=prompt,
            max_output_tokens=answer,
            estimated_output_tokens=int(found.get(_ANSWER_ESTIMATE) or 0),
            last_event_id=_text(found.get(_LAST_EVENT)),
        )

    def response_metadata(self, headers: Headers) -> ResponseMetadata:
        """Reads a backend server's headers."""
        found = dict(headers)
        return ResponseMetadata(
            attempt_id=_text(found.get(_ATTEMPT)),
            signed=_SIGNATURE in found,
            not_run=_NOT_RUN in found,
            server_at_fault=_text(found.get(_AT_FAULT)),
            idle_timeout=_idle_timeout(found.get(_KEEP_ALIVE)),
        )

    def outgoing_headers(
        self, headers: Headers, metadata: ForwardingMetadata
    ) -> list[tuple[bytes, bytes]]:
        """Returns a caller's end-to-end headers as a backend server gets them."""
        left_out = _OWN | _CONNECTION_ONLY | _named_by_connection(headers)
        if metadata.last_event_id is not None:
            left_out |= {_LAST_EVENT}
        sent = [(name, value) for name, value in headers if name not in left_out]
        sent.append((_TIME_LEFT, b"%d" % max(1, int(metadata.remaining_time * 1000))))
        sent.append((_EXPECTED_SERVER, metadata.server_id.encode()))
        if metadata.account is not None:
            sent.append((_ACCOUNT, metadata.account.encode()))
        if metadata.priority is not None:
            sent.append((_PRIORITY, b"%d" % metadata.priority))
        if metadata.last_event_id is not None:
            sent.append((_LAST_EVENT, metadata.last_event_id.encode()))
        if metadata.helpers:
            sent.append((_HELPERS, ",".join(map(_helper, metadata.helpers)).encode()))
        return sent


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    named = (value for name, value in headers if name == b"connection")
    return frozenset(part.strip().lower() for value in named for part in value.split(b","))


def _helper(helper: PrefillHelper) -> str:
    address = f"{helper.host}:{helper.port}"
    return address if helper.reservation is None else f"{address}/{helper.reservation}"


def _text(value: Optional[bytes]) -> Optional[str]:
    return None if value is None else value.decode("latin-1")


def _pair(value: Optional[bytes]) -> tuple[int, int]:
    if not value:
        return 0, 0
    first, _, second = value.partition(b",")
    return int(first), int(second or 0)


def _idle_timeout(value: Optional[bytes]) -> Optional[float]:
    for part in (value or b"").split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
