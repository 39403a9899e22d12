"""Keeps track of the requests that this VM receives or runs."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from camphordrift.identifiers import AccountId, RequestId


@dataclass(frozen=True)
class ActiveRequest:
    """One request of an authenticated caller, as shown in the state dump."""

    #: Id that this VM assigned to the request.
    request_id: RequestId

    #: The client account that is charged for it.
    account_id: AccountId

    #: Name of the requested model or service; empty while the body that names a model arrives.
    subject: str

    #: When it was admitted, in seconds of the event loop's clock. While its body arrives: when the
    #: caller was authenticated.
    admitted_at: float

    #: When its timeout ends, in seconds of the event loop's clock. While its body arrives: that of
    #: the body.
    deadline: float


class TrackedRequest:
    """The handle by which the work on an active request can be cut.

    The response is written outside of the scopes, so that the caller gets a failure.
    """

    def __init__(self, request: ActiveRequest) -> None:
        #: The request; replaced when it is admitted.
        self.request = request
        self._scopes: list[trio.CancelScope] = []
        self._is_cut = False

    def new_scope(self) -> trio.CancelScope:
        """Returns a scope for work on the request, which :meth:`cut` cancels."""
        scope = trio.CancelScope()
        self._scopes.append(scope)
        if self._is_cut:
            scope.cancel()
        return scope

    def cut(self) -> None:
        """Cancels the work on the request."""
        self._is_cut = True
        for scope in self._scopes:
            scope.cancel()


class ActiveRequests:
    """Lists every request from its caller's authentication to the last byte of its response.

    A graceful shutdown waits until the list is empty. The state dump shows the list.
    """

    def __init__(self) -> None:
        self._tracked: dict[RequestId, TrackedRequest] = {}
        self._changed = trio.Event()

    @property
    def count(self) -> int:
        """The number of active requests."""
        return len(self._tracked)

    @property
    def request_ids(self) -> frozenset[RequestId]:
        """The ids of the active requests."""
        return frozenset(self._tracked)

    def all(self) -> tuple[ActiveRequest, ...]:
        """Returns the active requests, oldest first."""
        return tuple(tracked.request for tracked in self._tracked.values())

    @contextmanager
    def track(self, request: ActiveRequest) -> Iterator[TrackedRequest]:
        """Keeps ``request`` among the active requests until the context is left."""
        tracked = TrackedRequest(request)
        self._tracked[request.request_id] = tracked
        self._notify_changed()
        try:
            yield tracked
        finally:
            del self._tracked[request.request_id]
            self._notify_changed()

    def cut_all(self) -> None:
        """Cuts all active requests; they end once their callers have got a failure."""
        for tracked in self._tracked.values():
            tracked.cut()

    async def wait_until_empty(self) -> None:
        """Waits until no request is active."""
        while self._tracked:
            await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Waits until a request has been added or has ended."""
        await self._changed.wait()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
