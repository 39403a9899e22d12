"""Serves ASGI applications inside the process's own loop."""

from camphordrift.http_server._server import ServeOptions, serve_http

__all__ = ["ServeOptions", "serve_http"]
