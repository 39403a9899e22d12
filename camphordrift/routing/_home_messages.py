"""Messages between an entry VM and the home VM of a pool, the VM that schedules its engines."""

from dataclasses import dataclass

from camphordrift.identifiers import RequestId, VmId
from camphordrift.routing._grants import Grant, GrantAsk


@dataclass(frozen=True)
class PoolAsk:
    """Requests a grant from the home VM of a pool; the response is a :class:`Grant`."""

    #: Name of the pool.
    pool: str

    #: The grant request.
    ask: GrantAsk


@dataclass(frozen=True)
class FirstTokenNote:
    """Reports to the home VM that the prefill of a granted attempt is complete."""

    #: The request of the attempt.
    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int


@dataclass(frozen=True)
class RunningGrant:
    """A grant in use, as reported to a new home VM by the entry VM that uses it."""

    #: The grant request, with the time that remains now.
    ask: GrantAsk

    #: The grant.
    grant: Grant

    #: True once the first token has been generated.
    decoding: bool


@dataclass(frozen=True)
class RunningGrants:
    """Reports to a new home VM the attempts that an entry VM runs on the pool's engines."""

    #: The entry VM that sends the report.
    vm_id: VmId

    #: The grants that this VM uses.
    running: tuple[RunningGrant, ...]
