"""Encodes OpenAI-compatible responses as server-sent events or as one JSON body."""

import json
from typing import Any, Optional

from camphordrift.backend_servers import TokenChunk
from camphordrift.gateway._openai_bodies import GenerationBody
from camphordrift.identifiers import RequestId

#: The event that ends every complete stream.
END_OF_STREAM = b"data: [DONE]\n\n"

#: A server-sent events comment that keeps an idle connection open; clients ignore it.
KEEP_ALIVE = b": waiting\n\n"


class ResponseEncoder:
    """Encodes the response to one request in the format of the API that was called.

    ``created_at`` is the time of the request in seconds since 1970.
    """

    def __init__(self, request_id: RequestId, body: GenerationBody, created_at: int) -> None:
        self._request_id = request_id
        self._body = body
        self._created_at = created_at

    def chunk_event(self, chunk: TokenChunk) -> bytes:
        """Returns the server-sent event for ``chunk``."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": chunk.finish_reason}
        if self._body.is_chat:
            choice["delta"] = self._chat_delta(chunk)
        else:
            choice["text"] = chunk.text
        return self._event([choice], usage=None)

    def final_events(self, output_tokens: int) -> bytes:
        """Returns the events that end a complete stream, with the usage if it was requested."""
        if not self._body.include_usage:
            return END_OF_STREAM
        return self._event([], usage=self._usage(output_tokens)) + END_OF_STREAM

    def complete_body(self, text: str, finish_reason: str, output_tokens: int) -> bytes:
        """Returns the JSON body of a response that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._body.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        response = self._envelope("chat.completion" if self._body.is_chat else "text_completion")
        response["choices"] = [choice]
        response["usage"] = self._usage(output_tokens)
        return json.dumps(response).encode("utf-8")

    def _chat_delta(self, chunk: TokenChunk) -> dict[str, str]:
        delta = {"content": chunk.text}
        if chunk.first_token == 0:
            delta["role"] = "assistant"
        return delta

    def _event(self, choices: list[dict[str, Any]], usage: Optional[dict[str, int]]) -> bytes:
        kind = "chat.completion.chunk" if self._body.is_chat else "text_completion"
        event = self._envelope(kind)
        event["choices"] = choices
        if usage is not None:
            event["usage"] = usage
        return b"data: " + json.dumps(event).encode("utf-8") + b"\n\n"

    def _envelope(self, kind: str) -> dict[str, Any]:
        return {
            "id": self._request_id,
            "object": kind,
            "created": self._created_at,
            "model": self._body.model,
        }

    def _usage(self, output_tokens: int) -> dict[str, int]:
        prompt_tokens = self._body.prompt_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        }
