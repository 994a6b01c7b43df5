"""Server-sent events of a completion, generated from a run on demand.

Event ``n`` holds ``tokens_per_event`` tokens, from token ``n * tokens_per_event``
on. No text is stored, since it is a function of the prompt, so a stream can be
resumed at any event.
"""

from typing import Any

import msgspec

from lavendershift_standins.answers import make_token
from lavendershift_standins.batch import Run, RunState

DONE_EVENT = b"data: [DONE]\n\n"
TEXT_PLACEHOLDER = "@@"


def make_usage(run: Run) -> dict[str, int]:
    """Return the token usage of a run so far."""
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.produced,
        "total_tokens": run.prompt_tokens + run.produced,
    }


def find_finish_reason(run: Run) -> str:
    """Return the ``finish_reason`` of the OpenAI API for a run that ended."""
    if run.state is RunState.CANCELLED:
        return "cancelled"
    return "length" if run.output_tokens == run.prompt.max_tokens else "stop"


def make_text(run: Run, start: int, end: int) -> str:
    """Return the text of the tokens ``start`` (inclusive) to ``end`` (exclusive)."""
    prompt_hash = run.prompt.hash
    last = run.output_tokens - 1
    return "".join(make_token(prompt_hash, i, i == last) for i in range(start, end))


def make_completion(run: Run, created_s: int) -> dict[str, Any]:
    """Return the JSON body of a finished run that isn't streamed."""
    text = make_text(run, 0, run.produced)
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": find_finish_reason(run),
        "logprobs": None,
    }
    if run.prompt.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if run.prompt.is_chat else "text_completion"
    return _make_envelope(run, kind, created_s, [choice]) | {"usage": make_usage(run)}


def _make_envelope(
    run: Run, kind: str, created_s: int, choices: list[dict[str, Any]]
) -> dict[str, Any]:
    return {
        "id": run.caller.request_id,
        "object": kind,
        "created": created_s,
        "model": run.prompt.model,
        "choices": choices,
    }


class EventWriter:
    """Generates the events of one stream.

    Token texts need no escaping in JSON, so each event between the first and the
    last is the text of its tokens, put between a head and a tail encoded once.
    """

    def __init__(self, run: Run, tokens_per_event: int, created_s: int) -> None:
        self._run = run
        self._tokens_per_event = tokens_per_event
        self._created_s = created_s
        template = self._encode([self._make_choice(TEXT_PLACEHOLDER, None)])
        self._head, self._tail = template.split(TEXT_PLACEHOLDER.encode())

    def count_events(self) -> int:
        """Return the number of token events available now.

        The last event may hold fewer tokens, once the run has ended.
        """
        produced = self._run.produced
        if self._run.state is RunState.RUNNING:
            return produced // self._tokens_per_event
        return -(-produced // self._tokens_per_event)

    def make_event(self, n: int) -> bytes:
        """Return token event ``n``."""
        run = self._run
        start = n * self._tokens_per_event
        end = min(start + self._tokens_per_event, run.produced)
        text = make_text(run, start, end)
        if n and end < run.output_tokens:
            return self._head + text.encode() + self._tail
        reason = find_finish_reason(run) if end == run.output_tokens else None
        choice = self._make_choice(text, reason)
        if n == 0 and run.prompt.is_chat:
            choice["delta"]["role"] = "assistant"
        return self._encode([choice])

    def make_end(self) -> bytes:
        """Return the events after the last token event; the final one is ``[DONE]``.

        A cancelled run has an event with its ``finish_reason``, a request with
        ``include_usage`` one with the token usage.
        """
        events = []
        if self._run.state is RunState.CANCELLED:
            events.append(self._encode([self._make_choice("", "cancelled")]))
        if self._run.prompt.include_usage:
            events.append(self._encode([], usage=make_usage(self._run)))
        events.append(DONE_EVENT)
        return b"".join(events)

    def _make_choice(self, text: str, reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self._run.prompt.is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return choice

    def _encode(self, choices: list[dict[str, Any]], **fields: Any) -> bytes:
        is_chat = self._run.prompt.is_chat
        kind = "chat.completion.chunk" if is_chat else "text_completion"
        event = _make_envelope(self._run, kind, self._created_s, choices) | fields
        return b"data: " + msgspec.json.encode(event) + b"\n\n"
