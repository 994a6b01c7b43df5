"""Requests to model engines: parsing, token bounds and event streams.

Requests and responses are in the OpenAI-compatible format. A request body is parsed
once, to extract what routing and budgets need and to set the output limit
explicitly. An event stream is forwarded unchanged; only events that may contain
usage or an error are parsed.
"""

import re
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeGuard

import msgspec

from lavendershift.decoding import run_decoder
from lavendershift.errors import DecodeError, ErrorKind, RequestError

TOKENS_PER_MESSAGE = 8  # role and separator tokens around each message
TOKENS_PER_PROMPT = 16  # start and end tokens around the whole prompt
DEFAULT_MAX_OUTPUT_TOKENS = 1024
MAX_CHOICES = 16
MAX_EVENT_BYTES = 1024 * 1024
# Events requested again when a stream resumes; equal contents prove that it
# resumes at the right position.
RESUME_OVERLAP = 4

USAGE_MARKER = b'"usage"'
ERROR_MARKER = b'"error"'
END_OF_STREAM = b"data: [DONE]\n\n"
# A line of an event stream by the HTML standard, without the unknown fields.
FIELD = re.compile(rb":|(?:data|event|id|retry)(?::|\r?\Z)")


class CompletionRequest(NamedTuple):
    """A parsed request to a model engine.

    ``prompt_bound`` and ``output_bound`` are upper bounds in tokens on what
    the engine can consume, summed over all choices. ``body`` is sent to the
    engine, ``prompt`` holds the bytes that prefix caching matches.
    """

    model: str
    chat: bool
    stream: bool
    wants_usage: bool
    prompt: bytes
    prompt_bound: int
    output_bound: int
    body: bytes

    @property
    def token_bound(self) -> int:
        """Upper bound on the tokens that one execution consumes."""
        return self.prompt_bound + self.output_bound


class Usage(NamedTuple):
    """Tokens that an engine reports as consumed by a request."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total(self) -> int:
        """Prompt and completion tokens together."""
        return self.prompt_tokens + self.completion_tokens


def parse_completion(
    body: bytes,
    chat: bool,
    output_limit: int,
    resolve_model: Callable[[str], str] = str,
) -> CompletionRequest:
    """Parse the body of a completion request.

    ``output_limit`` is the maximum number of output tokens per choice; 0 selects
    the default. ``resolve_model`` replaces an alias by the model's name, which is
    also sent to the engine. Raises ``RequestError`` of the kind
    ``INVALID_REQUEST`` whose detail names the invalid field.
    """
    data = _decode_object(body)
    model = data["model"] = resolve_model(_get_field(data, "model", str))
    stream = _get_field(data, "stream", bool, False)
    choices = _parse_choices(data)
    limit = _parse_output_limit(data, output_limit or DEFAULT_MAX_OUTPUT_TOKENS, chat)
    prompts = _count_prompts(data, chat)
    prompt, prompt_bound = _bound_prompt(data, chat)
    wants_usage = _prepare_stream_options(data, stream)
    return CompletionRequest(
        model=model,
        chat=chat,
        stream=stream,
        wants_usage=wants_usage,
        prompt=prompt,
        prompt_bound=prompt_bound + prompts * TOKENS_PER_PROMPT,
        output_bound=limit * choices * prompts,
        body=msgspec.json.encode(data),
    )


def parse_usage(data: Any) -> Usage | None:
    """Return the usage of a decoded response or event, or ``None``."""
    usage = data.get("usage") if isinstance(data, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt = usage.get("prompt_tokens")
    completion = usage.get("completion_tokens")
    if not _is_count(prompt) or not _is_count(completion):
        return None
    return Usage(prompt, completion)


def is_same_event(event: bytes, other: bytes) -> bool:
    """Return whether two events are equal except for their creation time."""
    return event == other or _decode_content(event) == _decode_content(other)


class CompletionStream:
    """Filter an engine's event stream into the events to forward to the caller.

    ``feed`` takes bytes as they arrive and returns complete events. ``events``
    counts the complete events received, forwarded or not. The reported usage is
    stored; the usage of an event with choices is a running total that becomes
    final only at the end of the stream. The end marker is withheld until the
    request is charged, and a usage event that the caller did not ask for is
    dropped::

        stream = CompletionStream(wants_usage=False)
        caller.write(stream.feed(chunk))

    After ``restart`` the stream repeats its last events before the break, which
    are not forwarded again. If the repeated events differ, the stream has failed,
    because it continues at another position.
    """

    def __init__(self, wants_usage: bool) -> None:
        self.usage: Usage | None = None
        self.complete = False
        self.failed = False
        self.events = 0
        self._wants_usage = wants_usage
        self._usage_so_far: Usage | None = None
        self._remainder = bytearray()
        self._recent: deque[bytes] = deque(maxlen=RESUME_OVERLAP)
        self._expected_repeats: deque[bytes] = deque()

    def restart(self) -> int:
        """Prepare to resume; return the index of the first event to request."""
        self._remainder.clear()
        self._expected_repeats = self._recent.copy()
        return self.events - len(self._recent)

    def feed(self, chunk: bytes) -> bytes:
        """Process a chunk and return the bytes to forward, possibly none."""
        if self.failed:
            return b""
        events = self._take_events(chunk)
        if not events:
            return b""
        if not _has_only_fields(events):
            self.failed = True
            return b""
        if self._expected_repeats:
            events = self._drop_repeated(events)
        if self._can_forward_unparsed(events):
            self.events += events.count(b"\n\n")
            if events:
                self._recent.extend(events[:-2].rsplit(b"\n\n", RESUME_OVERLAP))
            return events
        return b"".join(self._filter(events))

    def _drop_repeated(self, events: bytes) -> bytes:
        """Return the events after the repeated ones, or none if those differ."""
        while self._expected_repeats and events:
            event, _, events = events.partition(b"\n\n")
            if not is_same_event(event, self._expected_repeats.popleft()):
                self.failed = True
                return b""
        return events

    def _take_events(self, chunk: bytes) -> bytes:
        """Return the complete events, and keep the bytes after them."""
        # Bytes received earlier are searched only where chunk may complete an end.
        searched = max(len(self._remainder) - 1, 0)
        self._remainder += chunk
        end = self._remainder.rfind(b"\n\n", searched) + 2
        events = b""
        if end > 1:
            events = bytes(self._remainder[:end])
            del self._remainder[:end]
        if len(self._remainder) > MAX_EVENT_BYTES:
            self.failed = True
            self._remainder.clear()
        return events

    def _can_forward_unparsed(self, events: bytes) -> bool:
        return (
            USAGE_MARKER not in events
            and ERROR_MARKER not in events
            and END_OF_STREAM not in events
            and not self.complete
        )

    def _filter(self, events: bytes) -> Iterator[bytes]:
        for event in events[:-2].split(b"\n\n"):
            if self.complete or self.failed:
                return
            self.events += 1
            self._recent.append(event)
            if event.strip() == b"data: [DONE]":
                self.complete = True
                self.usage = self.usage or self._usage_so_far
                return
            if self._inspect(event):
                yield event + b"\n\n"

    def _inspect(self, event: bytes) -> bool:
        """Record an event's usage or error and return whether to forward it."""
        if not event.startswith(b"data:"):
            return True
        try:
            data = run_decoder(lambda: msgspec.json.decode(event[5:]), "event")
        except DecodeError:
            self.failed = True
            return False
        if isinstance(data, dict) and data.get("error"):
            self.failed = True
            return False
        usage = parse_usage(data)
        if usage is None:
            return True
        if data.get("choices"):
            self._usage_so_far = usage
            return True
        self.usage = usage
        return self._wants_usage


def _has_only_fields(events: bytes) -> bool:
    """Return whether each line is a field or a comment of an event stream."""
    count = events.count(b"\n\n")
    data_lines = events.startswith(b"data:") + events.count(b"\n\ndata:")
    if data_lines == count and events.count(b"\n") == 2 * count:
        return True
    return all(FIELD.match(line) for line in events.split(b"\n") if line)


def _decode_content(event: bytes) -> Any:
    """Return an event's fields without ``created``, or ``event`` if not an object."""
    try:
        content = event.removeprefix(b"data:")
        data = run_decoder(lambda: msgspec.json.decode(content), "event")
    except DecodeError:
        return event
    if not isinstance(data, dict):
        return event
    return {key: value for key, value in data.items() if key != "created"}


def _is_count(value: Any) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        data = run_decoder(lambda: msgspec.json.decode(body), "body")
    except DecodeError as error:
        raise RequestError(ErrorKind.INVALID_REQUEST, str(error)) from None
    if not isinstance(data, dict):
        raise RequestError(ErrorKind.INVALID_REQUEST, "body: expected an object")
    return data


def _get_field(data: dict[str, Any], key: str, kind: type, default: Any = None) -> Any:
    value = data.get(key, default)
    if value is None and default is not None:
        value = default
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise RequestError(
            ErrorKind.INVALID_REQUEST, f"body.{key}: expected {kind.__name__}"
        )
    return value


def _parse_choices(data: dict[str, Any]) -> int:
    choices = max(_get_field(data, "n", int, 1), _get_field(data, "best_of", int, 1))
    if not 1 <= choices <= MAX_CHOICES:
        raise RequestError(
            ErrorKind.INVALID_REQUEST, f"body.n: expected 1 to {MAX_CHOICES}"
        )
    return choices


def _parse_output_limit(data: dict[str, Any], limit: int, chat: bool) -> int:
    """Set and return the output limit per choice, in tokens.

    In chat requests ``max_completion_tokens``, the newer name of ``max_tokens``, has
    precedence.
    """
    completion_limit = data.pop("max_completion_tokens", None) if chat else None
    if completion_limit is not None:
        data["max_tokens"] = completion_limit
    requested = _get_field(data, "max_tokens", int, limit)
    if requested < 1:
        raise RequestError(ErrorKind.INVALID_REQUEST, "body.max_tokens: must be over 0")
    data["max_tokens"] = min(requested, limit)
    return data["max_tokens"]


def _prepare_stream_options(data: dict[str, Any], stream: bool) -> bool:
    """Make the engine report usage; return whether the caller is to receive it.

    A response that is not a stream always contains its usage.
    """
    options = _get_field(data, "stream_options", dict, {})
    if not stream:
        data.pop("stream_options", None)
        return True
    data["stream_options"] = {**options, "include_usage": True}
    return options.get("include_usage") is True


def _count_prompts(data: dict[str, Any], chat: bool) -> int:
    prompt = None if chat else data.get("prompt")
    if isinstance(prompt, list) and prompt and not isinstance(prompt[0], int):
        return len(prompt)
    return 1


def _bound_prompt(data: dict[str, Any], chat: bool) -> tuple[bytes, int]:
    """Return the prompt's bytes and an upper bound on its tokens.

    The byte count is a bound because a token of a byte-level tokenizer stands for
    at least one byte.
    """
    if not chat:
        return _bound_text_prompt(data.get("prompt"))
    messages = _get_field(data, "messages", list)
    if not messages:
        raise RequestError(ErrorKind.INVALID_REQUEST, "body.messages: is empty")
    for index, message in enumerate(messages):
        _check_message(message, f"body.messages[{index}]")
    prompt = msgspec.json.encode([messages, data.get("tools")])
    return prompt, len(prompt) + TOKENS_PER_MESSAGE * len(messages)


def _bound_text_prompt(prompt: Any) -> tuple[bytes, int]:
    if isinstance(prompt, str):
        text = prompt.encode()
        return text, len(text)
    if isinstance(prompt, list) and prompt:
        text = msgspec.json.encode(prompt)
        return text, len(text)
    raise RequestError(
        ErrorKind.INVALID_REQUEST, "body.prompt: expected a string or a list"
    )


def _check_message(message: Any, location: str) -> None:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise RequestError(ErrorKind.INVALID_REQUEST, f"{location}.role: is missing")
    content = message.get("content")
    if not isinstance(content, list):
        return
    for part in content:
        if not isinstance(part, dict) or part.get("type") != "text":
            raise RequestError(
                ErrorKind.INVALID_REQUEST, f"{location}.content: only text is served"
            )
