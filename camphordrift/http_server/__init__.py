"""Serves ASGI applications inside the process's own loop."""

from camphordrift.http_server._server import serve_http

__all__ = ["serve_http"]
