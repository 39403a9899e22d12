"""The agreement between an entry VM, which sends a request, and whoever decides for the engines.

The decision is a small message, so a prompt of several megabytes crosses the fleet once: the entry
VM asks, receives a grant, and sends the prompt straight to the engine.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from camphordrift.backend_servers import KvPart
from camphordrift.identifiers import AccountId, BackendServerId, ModelName, RequestId, VmId
from camphordrift.results import Failure


@dataclass(frozen=True)
class GrantAsk:
    """An entry VM's wish to run one attempt of a request on some engine."""

    #: The caller's request.
    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int

    #: The entry VM that asks.
    vm_id: VmId

    #: The account that pays for it.
    account_id: AccountId

    #: The model that must answer.
    model: ModelName

    #: Prompt length in tokens, estimated, plus tokens already delivered by earlier attempts.
    prompt_tokens: int

    #: Tokens expected to be generated.
    expected_output_tokens: int

    #: Upper bound of tokens to generate.
    max_output_tokens: int

    #: Time left for the whole request, in seconds.
    remaining_seconds: float

    #: Hashes of the prompt's leading blocks.
    prefix_blocks: tuple[int, ...] = ()

    #: Engines that the account may use; empty means all that serve the model.
    permitted_engines: frozenset[BackendServerId] = frozenset()

    #: Engines that failed earlier attempts.
    avoided_engines: frozenset[BackendServerId] = frozenset()


@dataclass(frozen=True)
class Grant:
    """Permission to send one attempt to one engine, or to several that share its memory."""

    #: The request that it is for.
    request_id: RequestId

    #: The attempt that it is for.
    attempt: int

    #: The engine that generates the answer.
    engine_id: BackendServerId

    #: The priority to give the engine; lower runs first.
    priority: int

    #: The attempt must be sent within this time, in seconds; afterwards the grant is void.
    send_within_seconds: float

    #: Where the parts of a prompt go that exceeds one engine's memory; empty otherwise.
    parts: tuple[KvPart, ...] = ()


@dataclass(frozen=True)
class GrantOutcome:
    """How a granted attempt ended, told to whoever granted it."""

    #: The request.
    request_id: RequestId

    #: The attempt.
    attempt: int

    #: The engine that it ran on.
    engine_id: BackendServerId

    #: True if the answer was whole.
    completed: bool

    #: True if the engine is at fault (unreachable, silent, or its stream broke).
    engine_failed: bool

    #: Tokens that were generated.
    output_tokens: int


class GrantSource(Protocol):
    """Whoever decides for the engines: a scheduler in this process, or the home VM's over a stream.

    ``acquire`` returns only once the attempt may be sent, or is refused. Every grant is followed by
    exactly one ``finish``. Cancelling ``acquire`` withdraws the ask.
    """

    async def acquire(self, ask: GrantAsk) -> Result[Grant, Failure]:
        """Waits until an engine may take the attempt; refuses what cannot finish in time."""
        ...

    def report_first_token(self, grant: Grant) -> None:
        """Tells that the prompt has been prefilled."""
        ...

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Tells how the attempt ended. Does not wait."""
        ...
