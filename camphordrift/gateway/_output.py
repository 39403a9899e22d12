"""Puts one whole answer together out of the chunks of one or more attempts."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.backend_servers import TokenChunk
from camphordrift.identifiers import RequestId


class AnswerMismatchError(Exception):
    """A chunk belongs to another request or attempt, or leaves out tokens."""


@dataclass(frozen=True)
class OutputProgress:
    """How much of an answer the caller has."""

    #: Tokens delivered.
    delivered_tokens: int

    #: The text of those tokens.
    delivered_text: str

    #: Why the answer ended; ``None`` while it goes on.
    finish_reason: Optional[str]


class OutputAssembler:
    """Checks that each chunk continues the answer to one request.

    Use one assembler for a request and tell it of every new attempt. A chunk that repeats tokens
    already delivered is shortened or dropped, so that no token is doubled; a chunk that starts too
    late, or that carries another request's or attempt's id, raises :class:`AnswerMismatchError`, so
    that no token is lost and none is delivered to the wrong caller.
    """

    def __init__(self, request_id: RequestId) -> None:
        self._request_id = request_id
        self._attempt = 0
        self._delivered_tokens = 0
        self._texts: list[str] = []
        self._finish_reason: Optional[str] = None

    @property
    def progress(self) -> OutputProgress:
        """What has been accepted so far."""
        return OutputProgress(self._delivered_tokens, "".join(self._texts), self._finish_reason)

    @property
    def delivered_tokens(self) -> int:
        """How many tokens have been accepted so far."""
        return self._delivered_tokens

    @property
    def finish_reason(self) -> Optional[str]:
        """Why the answer ended; ``None`` while it goes on."""
        return self._finish_reason

    @property
    def is_complete(self) -> bool:
        """Whether the answer has ended."""
        return self._finish_reason is not None

    def start_attempt(self, attempt: int) -> None:
        """Expects the chunks of ``attempt`` from now on."""
        if attempt <= self._attempt:
            raise ValueError(f"attempt {attempt} does not follow attempt {self._attempt}")
        self._attempt = attempt

    def accept(self, chunk: TokenChunk) -> Optional[TokenChunk]:
        """Returns what the caller should get of ``chunk``, or ``None`` if it has it all."""
        self._check_identity(chunk)
        if self.is_complete:
            raise AnswerMismatchError("a chunk arrived after the end of the answer")
        if chunk.first_token > self._delivered_tokens:
            missing = f"{self._delivered_tokens} to {chunk.first_token - 1}"
            raise AnswerMismatchError(f"tokens {missing} are missing")
        fresh = self._without_repeated_tokens(chunk)
        if fresh.token_count == 0 and fresh.finish_reason is None:
            return None
        self._delivered_tokens += fresh.token_count
        self._texts.append(fresh.text)
        self._finish_reason = fresh.finish_reason
        return fresh

    def _check_identity(self, chunk: TokenChunk) -> None:
        if chunk.request_id != self._request_id:
            raise AnswerMismatchError(f"the chunk answers request {chunk.request_id}")
        if chunk.attempt != self._attempt:
            raise AnswerMismatchError(f"the chunk answers attempt {chunk.attempt}")

    def _without_repeated_tokens(self, chunk: TokenChunk) -> TokenChunk:
        repeated = self._delivered_tokens - chunk.first_token
        if repeated == 0:
            return chunk
        if repeated >= chunk.token_count:
            return replace(chunk, first_token=self._delivered_tokens, token_count=0, text="")
        # The text of single tokens inside a chunk is not known, so the chunk cannot be cut.
        raise AnswerMismatchError(f"the chunk repeats {repeated} of {chunk.token_count} tokens")
