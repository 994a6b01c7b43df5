"""Decoding of callers' requests; an ambiguous one is refused with 400."""

from datetime import timedelta

from tornado.httputil import HTTPHeaders, RequestStartLine

from lavendershift.attempts import CallerRequest
from lavendershift.decoding import MAX_INTEGER
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.platform import names
from lavendershift.serverstates import PromptPart, PromptShape

SINGLE_HEADERS = (
    "Host",
    names.REQUEST_ID,
    names.DEADLINE_MS,
    names.PROMPT_PARTS,
    names.LAST_EVENT_ID,
    names.MODEL,
    names.TOKENS,
    names.AUTHORIZATION,
)
DEFAULT_DEADLINE = timedelta(seconds=30)  # time limit of a request without a deadline
MAX_DEADLINE = timedelta(hours=1)  # upper bound to which longer deadlines are reduced


def measure_header(start_line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return the size of a header in bytes, without optional white space."""
    lines = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    return sum(len(part) for part in start_line) + 4 + lines + 2


def decode_request(
    start_line: RequestStartLine, headers: HTTPHeaders, body: bytes, now: timedelta
) -> CallerRequest:
    """Decode a request; raises ``RequestError`` if it is ambiguous or malformed."""
    for name in SINGLE_HEADERS:
        if len(headers.get_list(name)) > 1:
            raise RequestError(ErrorKind.INVALID_REQUEST, f"repeated {name}")
    return CallerRequest(
        id=headers.get(names.REQUEST_ID, ""),
        method=start_line.method,
        target=start_line.path,
        host=headers.get("Host", "").partition(":")[0].lower(),
        headers=select_headers(headers),
        body=body,
        key=parse_api_key(headers.get(names.AUTHORIZATION, "")),
        received=now,
        deadline=now + parse_deadline(headers.get(names.DEADLINE_MS)),
        prompt=parse_prompt(headers),
        resumed_after=headers.get(names.LAST_EVENT_ID, ""),
    )


def parse_api_key(value: str) -> str:
    """Return the API key of an ``Authorization`` header, or an empty string."""
    scheme, _, key = value.strip().partition(" ")
    return key.strip() if scheme.lower() == names.KEY_SCHEME else ""


def parse_deadline(value: str | None) -> timedelta:
    """Return how long a caller waits; raises ``RequestError`` if malformed."""
    if value is None:
        return DEFAULT_DEADLINE
    try:
        deadline = timedelta(milliseconds=float(value))
    except (ValueError, OverflowError):
        raise RequestError(ErrorKind.INVALID_REQUEST, "deadline") from None
    return min(max(deadline, timedelta()), MAX_DEADLINE)


def parse_prompt(headers: HTTPHeaders) -> PromptShape | None:
    """Return the sizes and parts of a prompt; raises ``RequestError`` if malformed.

    Returns ``None`` for a request without a prompt.
    """
    tokens = headers.get(names.TOKENS)
    if tokens is None:
        return None
    try:
        input_tokens, output_tokens = (int(number) for number in tokens.split(","))
        parts = tuple(
            PromptPart(part.partition(":")[0].strip(), int(part.partition(":")[2]))
            for part in headers.get(names.PROMPT_PARTS, "").split(",")
            if part.strip()
        )
    except ValueError:
        raise RequestError(ErrorKind.INVALID_REQUEST, "sizes of the prompt") from None
    sizes = (input_tokens, output_tokens, *(part.tokens for part in parts))
    if min(input_tokens, output_tokens) < 0 or max(map(abs, sizes)) > MAX_INTEGER:
        raise RequestError(ErrorKind.INVALID_REQUEST, "sizes of the prompt")
    return PromptShape(parts, input_tokens, output_tokens)


def select_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers that are forwarded to a server."""
    connection_specific = {
        name.strip().lower()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    } - names.PROTECTED_HEADERS
    selected = HTTPHeaders()
    for name, value in headers.get_all():
        lowered = name.lower()
        if (
            lowered not in names.SYSTEM_HEADERS
            and lowered not in names.CONNECTION_HEADERS
            and lowered not in connection_specific
        ):
            selected.add(name, value)
    return selected
