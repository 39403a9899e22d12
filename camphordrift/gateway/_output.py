"""Assembles a request's output from the chunks that one or more attempts return."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.backend_servers import TokenChunk
from camphordrift.identifiers import RequestId


class AnswerMismatchError(Exception):
    """A chunk belongs to another request or attempt, or does not continue the output."""


@dataclass(frozen=True)
class OutputProgress:
    """How much of the output has been accepted for delivery to the caller."""

    #: Number of output tokens accepted.
    delivered_tokens: int

    #: The text of these tokens.
    delivered_text: str

    #: Why the output ended; ``None`` while it is incomplete.
    finish_reason: Optional[str]


class OutputAssembler:
    """Checks that each chunk continues the output of one request.

    Use one assembler for each request and call :meth:`start_attempt` for each new attempt. To
    deliver no token twice, a chunk whose tokens were all delivered before is dropped, except for
    its finish reason. To lose no token and to deliver none to the wrong caller,
    :class:`AnswerMismatchError` is raised for a chunk that mixes delivered and new tokens, leaves a
    gap after the delivered tokens, or has the id of another request or attempt.
    """

    def __init__(self, request_id: RequestId) -> None:
        self._request_id = request_id
        self._attempt = 0
        self._delivered_tokens = 0
        self._texts: list[str] = []
        self._finish_reason: Optional[str] = None

    @property
    def progress(self) -> OutputProgress:
        """The output accepted so far."""
        return OutputProgress(self._delivered_tokens, "".join(self._texts), self._finish_reason)

    @property
    def delivered_tokens(self) -> int:
        """The number of output tokens accepted so far."""
        return self._delivered_tokens

    @property
    def finish_reason(self) -> Optional[str]:
        """Why the output ended; ``None`` while it is incomplete."""
        return self._finish_reason

    @property
    def is_complete(self) -> bool:
        """Whether the last chunk of the output has been accepted."""
        return self._finish_reason is not None

    def start_attempt(self, attempt: int) -> None:
        """Accepts only chunks of ``attempt`` from now on.

        Raises ``ValueError`` if ``attempt`` is not larger than the previous one.
        """
        if attempt <= self._attempt:
            raise ValueError(f"attempt {attempt} must be larger than attempt {self._attempt}")
        self._attempt = attempt

    def accept(self, chunk: TokenChunk) -> Optional[TokenChunk]:
        """Returns the part of ``chunk`` to deliver, or ``None`` if all of it was delivered before.

        Raises :class:`AnswerMismatchError` if ``chunk`` does not continue the output.
        """
        self._check_identity(chunk)
        if self.is_complete:
            raise AnswerMismatchError("received a chunk after the end of the output")
        if chunk.first_token > self._delivered_tokens:
            missing = f"{self._delivered_tokens} to {chunk.first_token - 1}"
            raise AnswerMismatchError(f"tokens {missing} are missing")
        new_chunk = self._without_repeated_tokens(chunk)
        if new_chunk.token_count == 0 and new_chunk.finish_reason is None:
            return None
        self._delivered_tokens += new_chunk.token_count
        self._texts.append(new_chunk.text)
        self._finish_reason = new_chunk.finish_reason
        return new_chunk

    def _check_identity(self, chunk: TokenChunk) -> None:
        if chunk.request_id != self._request_id:
            raise AnswerMismatchError(f"the chunk belongs to request {chunk.request_id}")
        if chunk.attempt != self._attempt:
            raise AnswerMismatchError(f"the chunk belongs to attempt {chunk.attempt}")

    def _without_repeated_tokens(self, chunk: TokenChunk) -> TokenChunk:
        repeated = self._delivered_tokens - chunk.first_token
        if repeated == 0:
            return chunk
        if repeated >= chunk.token_count:
            return replace(chunk, first_token=self._delivered_tokens, token_count=0, text="")
        # A chunk does not show where the text of each token starts, so it cannot be split.
        raise AnswerMismatchError(f"the chunk repeats {repeated} of {chunk.token_count} tokens")
