"""How a call to a backend server can go wrong."""


class BackendError(Exception):
    """Base of the errors of calls to backend servers."""


class BackendUnreachableError(BackendError):
    """No connection could be made: no byte of the request can have reached the server."""


class BackendRefusedError(BackendError):
    """The server answered with an error.

    ``status`` is the HTTP status; ``not_run`` tells whether the server said that it ran nothing.
    """

    def __init__(self, detail: str, status: int, not_run: bool) -> None:
        super().__init__(detail)
        self.status = status
        self.not_run = not_run


class BackendSilentError(BackendError):
    """The server sent nothing within the idle timeout; the request may have run."""


class StreamBrokenError(BackendError):
    """The connection failed after the request was sent; the request may have run."""
