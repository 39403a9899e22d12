"""Parses and validates the bodies of OpenAI-compatible requests."""

import json
from dataclasses import dataclass
from typing import Annotated, Any, Optional, Union

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns import result

from camphordrift.gateway._lengths import estimate_tokens
from camphordrift.results import Failure, ResultCode

#: Maximum number of output tokens if the caller sets none.
DEFAULT_OUTPUT_TOKENS = 256

#: Maximum number of output tokens that a caller may request.
MAX_OUTPUT_TOKENS = 131_072

#: Maximum number of validation errors listed in an error message.
MAX_REPORTED_ERRORS = 3

#: Fields of the engine's request that the gateway sets; it never forwards the caller's values.
_RESERVED_FIELDS = frozenset(
    {
        "model",
        "prompt",
        "messages",
        "max_tokens",
        "max_completion_tokens",
        "stream",
        "stream_options",
        "n",
        "request_id",
        "attempt",
        "prompt_tokens",
        "prefix_blocks",
        "priority",
        "remaining_seconds",
        "resume_from_token",
        "delivered_text",
        "kv_parts",
    }
)

_OutputTokenLimit = Annotated[int, Field(ge=1, le=MAX_OUTPUT_TOKENS)]
_ModelName = Annotated[str, Field(min_length=1, max_length=200)]


class _StreamOptions(BaseModel):
    model_config = ConfigDict(strict=True, extra="ignore")

    include_usage: bool = False


class _CommonBody(BaseModel):
    model_config = ConfigDict(strict=True, extra="allow")

    model: _ModelName
    max_tokens: Optional[_OutputTokenLimit] = None
    max_completion_tokens: Optional[_OutputTokenLimit] = None
    stream: bool = False
    stream_options: Optional[_StreamOptions] = None
    n: Annotated[int, Field(ge=1, le=1)] = 1
    temperature: Annotated[Optional[float], Field(ge=0, le=2, allow_inf_nan=False)] = None
    top_p: Annotated[Optional[float], Field(gt=0, le=1, allow_inf_nan=False)] = None


class _CompletionBody(_CommonBody):
    prompt: Annotated[str, Field(min_length=1)]


class _TextPart(BaseModel):
    model_config = ConfigDict(strict=True, extra="forbid")

    type: Annotated[str, Field(pattern="^text$")]
    text: str


class _Message(BaseModel):
    model_config = ConfigDict(strict=True, extra="allow")

    role: Annotated[str, Field(pattern="^(system|developer|user|assistant|tool)$")]
    content: Union[str, list[_TextPart]]


class _ChatBody(_CommonBody):
    messages: Annotated[list[_Message], Field(min_length=1)]


@dataclass(frozen=True)
class GenerationBody:
    """A validated generation request."""

    #: Name of the requested model.
    model: str

    #: The text of the prompt, or the chat messages as JSON, encoded as UTF-8.
    prompt: bytes

    #: Whether ``prompt`` holds chat messages.
    is_chat: bool

    #: Maximum number of tokens to generate.
    max_output_tokens: int

    #: Whether the response is streamed as server-sent events.
    stream: bool

    #: Whether the last event of a streamed response contains the token counts.
    include_usage: bool

    #: Options that are forwarded to the engine, such as for sampling, as a JSON object.
    options_json: bytes

    @property
    def prompt_tokens(self) -> int:
        """The prompt's estimated length in tokens."""
        return estimate_tokens(self.prompt)


def parse_completion(body: bytes) -> result.Result[GenerationBody, Failure]:
    """Returns the validated body of a completion request."""
    return _parse_body(_CompletionBody, body)


def parse_chat(body: bytes) -> result.Result[GenerationBody, Failure]:
    """Returns the validated body of a chat request."""
    return _parse_body(_ChatBody, body)


def _parse_body(model: type[_CommonBody], body: bytes) -> result.Result[GenerationBody, Failure]:
    try:
        checked = model.model_validate_json(body)
        return result.Success(_generation_body(checked))
    except ValidationError as error:
        return result.Failure(Failure(ResultCode.MALFORMED_REQUEST, _describe_errors(error)))
    except ValueError as error:
        return result.Failure(Failure(ResultCode.MALFORMED_REQUEST, str(error)))


def _generation_body(checked: _CommonBody) -> GenerationBody:
    is_chat = isinstance(checked, _ChatBody)
    output_limit = checked.max_completion_tokens or checked.max_tokens or DEFAULT_OUTPUT_TOKENS
    return GenerationBody(
        model=checked.model,
        prompt=_prompt_bytes(checked),
        is_chat=is_chat,
        max_output_tokens=output_limit,
        stream=checked.stream,
        include_usage=checked.stream_options is not None and checked.stream_options.include_usage,
        options_json=_options_json(checked),
    )


def _prompt_bytes(checked: _CommonBody) -> bytes:
    match checked:
        case _CompletionBody():
            return checked.prompt.encode("utf-8")
        case _ChatBody():
            messages = [message.model_dump() for message in checked.messages]
            return json.dumps(messages, ensure_ascii=False).encode("utf-8")
        case _:
            raise TypeError(f"{type(checked).__name__} has no prompt")


def _options_json(checked: _CommonBody) -> bytes:
    options: dict[str, Any] = checked.model_dump(exclude=set(_RESERVED_FIELDS), exclude_none=True)
    kept = {name: value for name, value in options.items() if name not in _RESERVED_FIELDS}
    return json.dumps(kept, allow_nan=False).encode("utf-8")


def _describe_errors(error: ValidationError) -> str:
    """Returns the first errors as ``field: message``, without the values that the caller sent."""
    shown = error.errors(include_input=False, include_url=False)[:MAX_REPORTED_ERRORS]
    return "; ".join(f"{_field_path(item['loc'])}: {item['msg']}" for item in shown)


def _field_path(location: tuple[Union[int, str], ...]) -> str:
    return ".".join(str(part) for part in location) or "body"
