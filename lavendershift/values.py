"""Kinds of values that settings may have, and their validation.

The settings of a process and the keys of the settings tree are both described
by tables, in which a ``ValueRule`` gives a row's kind, range and choices. Kinds
are pydantic types in a registry::

    >>> check_value(ValueRule("integer", minimum=1), 0)
    <Failure: input should be greater than or equal to 1>
"""

import ipaddress
from collections.abc import Callable, Iterable
from functools import cache
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import AfterValidator, Field, Strict, TypeAdapter, ValidationError
from rapidfuzz import process
from returns.result import Failure, Result, Success

MAX_TEXT_LENGTH = 512  # longest text, in characters
MAX_LIST_LENGTH = 1_000  # longest list, in items
# Largest count; larger ones lose precision in JSON readers that use floats.
MAX_NUMBER = 10**15
MAX_PORT = 65_535
# Least similarity of a suggestion, in percent; less similar ones are misleading.
MIN_SIMILARITY = 60

VALUE_KINDS: dict[str, Any] = {}


class ValueRule(NamedTuple):
    """Kind, inclusive range and choices of a value.

    ``minimum`` and ``maximum`` apply to the kinds ``integer`` and ``number``,
    ``choices`` to the kind ``text``.
    """

    kind: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


class Address(NamedTuple):
    """IP address and port of a TCP or UDP endpoint."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form ``IP:PORT``."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address written as ``IP:PORT``; raises ``ValueError``."""
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("expected IP:PORT with a numeric IP address") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"expected IP:PORT with a port from 1 to {MAX_PORT}")
    return Address(str(ip), int(port))


def _check_prefixed_address(prefix: str) -> Callable[[str], str]:
    """Return a validator of texts that are ``prefix`` followed by ``IP:PORT``."""

    def check(text: str) -> str:
        if not text.startswith(prefix):
            raise ValueError(f"expected {prefix}IP:PORT")
        parse_address(text.removeprefix(prefix).removesuffix("/"))
        return text

    return check


def _check_optional_address(text: str) -> str:
    """Validate a text that is empty or ``IP:PORT``."""
    if text:
        parse_address(text)
    return text


def _check_sha256(text: str) -> str:
    """Validate a SHA-256 digest in lower-case hexadecimal."""
    if len(text) != 64 or set(text) - set("0123456789abcdef"):
        raise ValueError("expected 64 lower-case hexadecimal digits")
    return text


def _check_route(text: str) -> str:
    """Validate a text of the form ``METHOD /path-prefix``."""
    method, _, path = text.partition(" ")
    if not (method.isalpha() and method.isupper() and path.startswith("/")):
        raise ValueError("expected METHOD /path-prefix")
    return text


def _bounded_list(item: Any) -> Any:
    """Return the type of lists of ``item`` with at most ``MAX_LIST_LENGTH`` items."""
    return Annotated[list[item], Strict(), Field(max_length=MAX_LIST_LENGTH)]


Text = Annotated[str, Strict(), Field(max_length=MAX_TEXT_LENGTH)]
Name = Annotated[Text, Field(min_length=1)]
Endpoint = Annotated[Text, AfterValidator(_check_prefixed_address("tcp://"))]

VALUE_KINDS.update(
    {
        "boolean": Annotated[bool, Strict()],
        "integer": Annotated[int, Strict()],
        "number": Annotated[float, Strict(), Field(allow_inf_nan=False)],
        "text": Text,
        "name": Name,
        "names": _bounded_list(Name),
        "address": Annotated[Text, AfterValidator(_check_prefixed_address(""))],
        "optional address": Annotated[Text, AfterValidator(_check_optional_address)],
        "endpoint": Endpoint,
        "endpoints": _bounded_list(Endpoint),
        "url": Annotated[Text, AfterValidator(_check_prefixed_address("http://"))],
        "digests": _bounded_list(Annotated[Text, AfterValidator(_check_sha256)]),
        "routes": _bounded_list(Annotated[Text, AfterValidator(_check_route)]),
    }
)

KIND_DESCRIPTIONS: dict[str, str] = {
    "boolean": "true or false",
    "integer": "integer",
    "number": "number",
    "text": "text",
    "name": "non-empty text",
    "names": "list of texts",
    "address": "IP:PORT",
    "optional address": "IP:PORT or empty",
    "endpoint": "tcp://IP:PORT",
    "endpoints": "list of tcp://IP:PORT",
    "url": "http://IP:PORT",
    "digests": "list of SHA-256 digests in hexadecimal",
    "routes": "list of METHOD /path-prefix",
}


@cache
def make_adapter(rule: ValueRule) -> TypeAdapter[Any]:
    """Return the pydantic adapter that validates values against ``rule``."""
    if rule.choices:
        choices: Any = Literal[rule.choices]
        return TypeAdapter(choices)
    kind = VALUE_KINDS[rule.kind]
    if rule.kind in ("integer", "number"):
        low = -MAX_NUMBER if rule.minimum is None else rule.minimum
        high = MAX_NUMBER if rule.maximum is None else rule.maximum
        kind = Annotated[kind, Field(ge=low, le=high)]
    return TypeAdapter(kind)


def check_value(rule: ValueRule, value: Any) -> Result[Any, str]:
    """Return ``value`` in its canonical type, or why it violates ``rule``."""
    try:
        return Success(make_adapter(rule).validate_python(value))
    except ValidationError as error:
        first = error.errors(include_url=False, include_context=False)[0]
        place = "".join(f"[{part}]" for part in first["loc"])
        reason = first["msg"].removeprefix("Value error, ")
        reason = reason[0].lower() + reason[1:]
        return Failure(f"{place}: {reason}" if place else reason)


def describe_rule(rule: ValueRule) -> str:
    """Return a short description of the values that ``rule`` allows."""
    if rule.choices:
        return " or ".join(f'"{choice}"' for choice in rule.choices)
    description = KIND_DESCRIPTIONS[rule.kind]
    if rule.minimum is None and rule.maximum is None:
        return description
    low = "" if rule.minimum is None else f"{rule.minimum:,}"
    high = "" if rule.maximum is None else f"{rule.maximum:,}"
    return f"{description}, {low}..{high}"


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return the known name most similar to ``name``, or ``""``."""
    found = process.extractOne(name, sorted(set(known)), score_cutoff=MIN_SIMILARITY)
    return found[0] if found else ""
