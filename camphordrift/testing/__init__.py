"""Helpers for the tests of every package."""

from camphordrift.testing._http_requests import (
    HttpRequest,
    RequestScript,
    answer_requests,
    serve_requests,
)
from camphordrift.testing._loopback import own_loopback_network
from camphordrift.testing._virtual_time import run_in_virtual_time

__all__ = [
    "HttpRequest",
    "RequestScript",
    "answer_requests",
    "own_loopback_network",
    "run_in_virtual_time",
    "serve_requests",
]
