"""Helpers for the tests of several packages."""

from camphordrift.testing._early_resets import UNBUFFERED_BODY, EarlyReset
from camphordrift.testing._http_requests import (
    ConnectionScript,
    HttpRequest,
    HttpRequestHandler,
    handle_requests,
    respond_with,
    serve_requests,
)
from camphordrift.testing._loopback import process_loopback_network
from camphordrift.testing._malformed_heads import (
    Malform,
    heads_with_invalid_names,
    heads_with_invalid_status,
    malformed_responses,
)
from camphordrift.testing._virtual_time import run_in_virtual_time

__all__ = [
    "ConnectionScript",
    "EarlyReset",
    "HttpRequest",
    "HttpRequestHandler",
    "Malform",
    "UNBUFFERED_BODY",
    "handle_requests",
    "heads_with_invalid_names",
    "heads_with_invalid_status",
    "malformed_responses",
    "process_loopback_network",
    "respond_with",
    "run_in_virtual_time",
    "serve_requests",
]
