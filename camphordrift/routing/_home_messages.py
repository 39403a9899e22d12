"""Messages between an entry VM and the home VM of a pool of engines, besides asks and outcomes."""

from dataclasses import dataclass

from camphordrift.identifiers import RequestId, VmId
from camphordrift.routing._grants import Grant, GrantAsk


@dataclass(frozen=True)
class PoolAsk:
    """Asks the home VM of a pool for a grant; the answer is a :class:`Grant`."""

    #: The pool.
    pool: str

    #: What is asked.
    ask: GrantAsk


@dataclass(frozen=True)
class FirstTokenNote:
    """Tells the home VM that a granted attempt's prompt has been prefilled."""

    #: The request.
    request_id: RequestId

    #: The attempt.
    attempt: int


@dataclass(frozen=True)
class RunningGrant:
    """A grant in use, as the entry VM that uses it describes it to a new home VM."""

    #: What was asked, with the time that is left now.
    ask: GrantAsk

    #: What was granted.
    grant: Grant

    #: True once the first token has come.
    decoding: bool


@dataclass(frozen=True)
class RunningGrants:
    """Tells a new home VM what an entry VM runs on the pool's engines."""

    #: The VM that runs them.
    vm_id: VmId

    #: Its grants.
    running: tuple[RunningGrant, ...]
