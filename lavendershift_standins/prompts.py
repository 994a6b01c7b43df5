"""Parsing of completion requests from their JSON bodies.

Chat and text completions of the OpenAI API are both parsed into a ``Prompt``. Its
text is the prompt itself, or for each chat message a line with the role followed
by the content.
"""

from typing import Any, NamedTuple

import msgspec
import xxhash

from lavendershift_standins.answers import hash_prompt

BYTES_PER_TOKEN = 4
MESSAGE_TOKENS = 4  # tokens of the role and delimiters of a chat message
BLOCK_BYTES = 1024  # bytes of one prefix block, the unit of the prefix cache
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_BLOCKS = 256


class PromptError(ValueError):
    """An invalid completion request; the message names the field."""


class Prompt(NamedTuple):
    """A parsed completion request.

    ``prefixes`` are the prefix hashes of the prompt's bytes, or for a chat those
    of the JSON array of ``messages`` and ``tools``. With ``max_tokens`` of 0 the
    engine chooses the length.
    """

    model: str
    tokens: int
    hash: str
    prefixes: list[str]
    is_chat: bool
    max_tokens: int
    stream: bool
    include_usage: bool


def count_tokens(text: str) -> int:
    """Return the number of tokens of ``text``, which is at most its UTF-8 bytes."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def hash_prefixes(data: bytes) -> list[str]:
    """Return the hash of each prefix that consists of complete blocks.

    The hash of a prefix of ``k`` blocks is the XXH3-64 of the first
    ``k * BLOCK_BYTES`` bytes, in hexadecimal.
    """
    digest = xxhash.xxh3_64()
    hashes = []
    for k in range(min(len(data) // BLOCK_BYTES, MAX_BLOCKS)):
        digest.update(data[k * BLOCK_BYTES : (k + 1) * BLOCK_BYTES])
        hashes.append(digest.hexdigest())
    return hashes


def read_prompt(body: Any, is_chat: bool) -> Prompt:
    """Return the request in a decoded body; raise ``PromptError`` if invalid."""
    if not isinstance(body, dict):
        raise PromptError("body: expected an object")
    model = body.get("model")
    if not isinstance(model, str):
        raise PromptError("model: expected a string")
    if body.get("n", 1) not in (1, None):
        raise PromptError("n: only 1 is supported")
    text, tokens = _read_chat(body) if is_chat else _read_text(body)
    options = body.get("stream_options") or {}
    return Prompt(
        model,
        tokens,
        hash_prompt(model, text),
        hash_prefixes(_encode_prefix(body, text, is_chat)),
        is_chat,
        _read_max_tokens(body),
        bool(body.get("stream", False)),
        isinstance(options, dict) and bool(options.get("include_usage", False)),
    )


def _encode_prefix(body: dict[str, Any], text: str, is_chat: bool) -> bytes:
    """Return the bytes from which the prefix hashes are computed."""
    if is_chat:
        return msgspec.json.encode([body["messages"], body.get("tools")])
    return text.encode()


def _read_max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_tokens")
    if value is None:
        value = body.get("max_completion_tokens")
    if value is None:
        return 0
    if not isinstance(value, int) or value < 1:
        raise PromptError("max_tokens: expected a whole number of 1 or more")
    return value


def _read_text(body: dict[str, Any]) -> tuple[str, int]:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise PromptError("prompt: expected one string")
    return prompt, count_tokens(prompt)


def _read_chat(body: dict[str, Any]) -> tuple[str, int]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise PromptError("messages: expected an array that is not empty")
    lines = []
    tokens = 0
    for i, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise PromptError(f"messages.{i}.role: expected a string")
        content = _read_content(message.get("content"), f"messages.{i}.content")
        lines.append(f"{message['role']}\n{content}\n")
        tokens += count_tokens(content) + MESSAGE_TOKENS
    return "".join(lines), tokens


def _read_content(content: Any, location: str) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise PromptError(f"{location}: expected a string or an array of parts")
    texts = []
    for part in content:
        text = part.get("text") if isinstance(part, dict) else None
        if not isinstance(text, str):
            raise PromptError(f"{location}: only text parts are supported")
        texts.append(text)
    return "".join(texts)
