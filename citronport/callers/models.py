"""Validated models of request bodies."""

import dataclasses
import json
from typing import Any

import pydantic
import result
import xxhash

from citronport import const as common
from citronport import errors
from citronport.callers import const


class MessageModel(pydantic.BaseModel):
    """One chat message; additional fields are left to the engine."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: str
    content: Any = None


class ChatModel(pydantic.BaseModel):
    """The fields of a chat-completions body that scheduling needs."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str = pydantic.Field(min_length=1, max_length=200)
    messages: list[MessageModel] = pydantic.Field(
        min_length=1, max_length=const.MAX_MESSAGES
    )
    stream: bool = False
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=1_000_000)
    max_completion_tokens: int | None = pydantic.Field(
        default=None, ge=1, le=1_000_000
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chat:
    """A chat request in the form that the scheduler uses.

    Attributes:
        model: model name.
        stream: whether the response is an event stream.
        prompt_tokens: estimate from the length of the text.
        max_tokens: maximum number of tokens in the response.
        prefix: hashes of the prompt's leading blocks, longest last.
    """

    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]


def parse_chat(body: bytes) -> result.Result[Chat, errors.Refusal]:
    """Parse and validate the body of a chat-completions call."""
    try:
        parsed = ChatModel.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(step) for step in first["loc"])
        # Only the location and the rule: the refusal must not contain the
        # caller's content.
        return result.Err(
            errors.Refusal(
                code=errors.Code.MALFORMED,
                detail=f"{location or 'body'}: {first['type']}",
            )
        )
    text = _join_text(parsed.messages)
    limit = parsed.max_completion_tokens or parsed.max_tokens
    return result.Ok(
        Chat(
            model=parsed.model,
            stream=parsed.stream,
            prompt_tokens=max(1, len(text) // common.CHARS_PER_TOKEN),
            max_tokens=limit or common.DEFAULT_MAX_TOKENS,
            prefix=hash_prefix(parsed.model, text),
        )
    )


def hash_prefix(model: str, text: str) -> tuple[int, ...]:
    """Return a hash for each leading block; each covers all previous ones."""
    digest = xxhash.xxh3_64(model.encode())
    hashes = []
    for start in range(0, len(text), const.BLOCK_CHARS):
        block = text[start : start + const.BLOCK_CHARS]
        if len(block) < const.BLOCK_CHARS or len(hashes) == const.MAX_BLOCKS:
            break
        digest.update(block.encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


def _join_text(messages: list[MessageModel]) -> str:
    parts = []
    for message in messages:
        parts.append(message.role)
        if isinstance(message.content, str):
            parts.append(message.content)
        elif message.content is not None:
            parts.append(json.dumps(message.content))
    return "\n".join(parts)
