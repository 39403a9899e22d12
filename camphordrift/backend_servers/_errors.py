"""Errors of calls to backend servers; each class states whether the request may have run."""


class BackendError(Exception):
    """Base class of the errors of calls to backend servers."""


class BackendUnreachableError(BackendError):
    """No connection was established, so no byte of the request reached the server."""


class BackendRefusedError(BackendError):
    """The server responded with an error status.

    ``status`` is the HTTP status. ``not_run`` is true if the server stated that it did not execute
    the request.
    """

    def __init__(self, detail: str, status: int, not_run: bool) -> None:
        super().__init__(detail)
        self.status = status
        self.not_run = not_run


class BackendSilentError(BackendError):
    """The server sent nothing within the idle timeout; the request may have been executed."""


class StreamBrokenError(BackendError):
    """The connection failed after the request was sent; the request may have been executed."""
