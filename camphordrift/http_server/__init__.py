"""Serves ASGI applications inside the process's own loop."""

from camphordrift.http_server._server import HttpAddress, serve_http

__all__ = ["HttpAddress", "serve_http"]
