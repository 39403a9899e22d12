"""The protocol between an entry VM, which sends requests, and the scheduler of the engines.

Grant requests and grants are small messages, so a prompt of several megabytes crosses the network
only once: the entry VM requests a grant, receives it, and sends the prompt directly to the engine.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from camphordrift.backend_servers import KvPart
from camphordrift.identifiers import AccountId, BackendServerId, ModelName, RequestId, VmId
from camphordrift.results import Failure


@dataclass(frozen=True)
class GrantAsk:
    """A grant request: an entry VM asks to run one attempt of a request on an engine."""

    #: Id of the caller's request, the same for all its attempts.
    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int

    #: The entry VM that requests the grant.
    vm_id: VmId

    #: The client account that the request is charged to.
    account_id: AccountId

    #: The model to run.
    model: ModelName

    #: Estimated prompt length in tokens, plus the output tokens that earlier attempts delivered.
    prompt_tokens: int

    #: Expected output length in tokens.
    expected_output_tokens: int

    #: Upper bound of the output length in tokens.
    max_output_tokens: int

    #: Seconds until the deadline of the request.
    remaining_seconds: float

    #: Hashes of the prompt's leading prefix cache blocks.
    prefix_blocks: tuple[int, ...] = ()

    #: Engines that the client account may use; empty means all engines that serve the model.
    permitted_engines: frozenset[BackendServerId] = frozenset()

    #: Engines on which earlier attempts failed; used only if no other engine is usable.
    avoided_engines: frozenset[BackendServerId] = frozenset()


@dataclass(frozen=True)
class Grant:
    """Permission to send one attempt to one engine, or to several that share its memory."""

    #: The request that the grant is for.
    request_id: RequestId

    #: Number of the attempt that the grant is for, from 1.
    attempt: int

    #: The engine that generates the output.
    engine_id: BackendServerId

    #: The priority to pass to the engine; a lower number runs first.
    priority: int

    #: Seconds within which the attempt must be sent; afterwards the grant must not be used.
    send_within_seconds: float

    #: The engine of each part of a prompt that exceeds one engine's memory; empty otherwise.
    parts: tuple[KvPart, ...] = ()


@dataclass(frozen=True)
class GrantOutcome:
    """How a granted attempt ended, reported to the scheduler that granted it."""

    #: The request of the attempt.
    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int

    #: The engine that the attempt ran on.
    engine_id: BackendServerId

    #: True if the response was complete.
    completed: bool

    #: True if the engine is at fault (unreachable, timed out, or its stream broke).
    engine_failed: bool

    #: Number of generated tokens.
    output_tokens: int


class GrantSource(Protocol):
    """Access to a scheduler, in this process or on the home VM of a pool (over the network).

    ``acquire`` returns only once the attempt may be sent or is refused. The caller must call
    ``finish`` exactly once for every grant. Cancelling ``acquire`` withdraws the grant request.
    """

    async def acquire(self, ask: GrantAsk) -> Result[Grant, Failure]:
        """Waits for a grant; fails if the attempt cannot finish before its deadline."""
        ...

    def report_first_token(self, grant: Grant) -> None:
        """Reports that the prefill of the attempt is complete."""
        ...

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Reports how the attempt ended. Does not block."""
        ...
