"""The requests that this VM has admitted and not yet answered."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from camphordrift.identifiers import AccountId, RequestId


@dataclass(frozen=True)
class ActiveRequest:
    """One admitted request, for the state dump."""

    #: The request.
    request_id: RequestId

    #: The account that pays for it.
    account_id: AccountId

    #: What was asked: a model's or a service's name.
    subject: str

    #: When it was admitted, in seconds of the loop's clock.
    admitted_at: float

    #: When its time is over, in seconds of the loop's clock.
    deadline: float


class ActiveRequests:
    """Knows every request between admission and its last byte.

    A stopping VM waits until there are none. The ids are also what the VM claims when
    engines' holds are compared with their owners.
    """

    def __init__(self) -> None:
        self._requests: dict[RequestId, ActiveRequest] = {}
        self._changed = trio.Event()

    @property
    def count(self) -> int:
        """How many requests are active."""
        return len(self._requests)

    @property
    def request_ids(self) -> frozenset[RequestId]:
        """The ids of the active requests."""
        return frozenset(self._requests)

    def all(self) -> tuple[ActiveRequest, ...]:
        """Returns the active requests, oldest first."""
        return tuple(self._requests.values())

    @contextmanager
    def track(self, request: ActiveRequest) -> Iterator[None]:
        """Counts ``request`` as active inside the context."""
        self._requests[request.request_id] = request
        self._tell_changed()
        try:
            yield
        finally:
            del self._requests[request.request_id]
            self._tell_changed()

    async def wait_for_change(self) -> None:
        """Waits until a request has been added or has ended."""
        await self._changed.wait()

    def _tell_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
