"""Serves ASGI applications over HTTP in the current trio event loop."""

from camphordrift.http_server._server import ServeOptions, serve_http

__all__ = ["ServeOptions", "serve_http"]
