"""Decoding of records, messages and texts that other programs write.

All programs of a site write to the same store and network, so a record may hold
anything. Whatever a process reads from outside is decoded here, or by a function that
raises the same ``DecodeError``. Size and depth are checked before the decoder reads
the data, and numbers get types whose range the code that uses them can handle::

    class Entry(msgspec.Struct):
        slots: Count

    try:
        entry = decode_json(value, Entry, "server")
    except DecodeError as error:
        skip(error.reason)
"""

import re
from collections.abc import Callable
from datetime import timedelta
from typing import Annotated, Any, TypeVar

import msgspec

from lavendershift.errors import DecodeError

Result = TypeVar("Result")

MAX_RECORD_BYTES = 262_144  # largest record that the store accepts
MAX_DEPTH = 32  # levels of nesting; known records have at most five
# Largest integer; the limit of 64 bits leaves room for sums and increments.
MAX_INTEGER = 2**62
MAX_SECONDS = 1e9  # longest duration, far below the limit of ``timedelta``
MAX_DEMAND = 1e12  # largest demand and load of one VM, per second
MAX_RATE = 1e300  # largest limit or rate, so that a few can be added
MAX_PORT = 65_535
MAX_REASON_LENGTH = 200  # characters of an error's text that are kept

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Numbers per second; the bounds also exclude infinity and NaN.
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
Demand = Annotated[float, msgspec.Meta(ge=0, le=MAX_DEMAND)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]

_BRACKETS = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[\[{]|[\]}]', re.DOTALL)
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_ADDRESS = re.compile(rf"({_OCTET}(?:\.{_OCTET}){{3}}):([1-9][0-9]{{0,4}})")
_IP = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}")
_IDENTIFIER = re.compile(r"[!-~]+")


def decode_json(
    data: bytes | msgspec.Raw,
    kind: type[Result],
    location: str,
    max_bytes: int = MAX_RECORD_BYTES,
) -> Result:
    """Decode a JSON text into ``kind``; raises ``DecodeError`` and nothing else.

    ``location`` names the record in the error.
    """
    data = bytes(data)
    if len(data) > max_bytes:
        raise DecodeError(location, f"longer than {max_bytes} bytes")
    if measure_depth(data, MAX_DEPTH) > MAX_DEPTH:
        raise DecodeError(location, f"nested more than {MAX_DEPTH} levels deep")
    return run_decoder(lambda: msgspec.json.decode(data, type=kind), location)


def run_decoder(decode: Callable[[], Result], location: str) -> Result:
    """Return the result of ``decode``; raises ``DecodeError`` for any failure of it.

    Decoders don't state all exceptions that they raise, so none is let through.
    """
    try:
        return decode()
    except msgspec.MsgspecError as error:
        raise DecodeError(location, str(error)[:MAX_REASON_LENGTH]) from None
    except Exception as error:
        reason = f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH]
        raise DecodeError(location, reason) from None


def measure_depth(data: bytes, limit: int) -> int:
    """Return the nesting of a JSON text, or some number up to ``limit`` if it is less.

    A text with few brackets needs no scan.
    """
    if data.count(b"[") + data.count(b"{") <= limit:
        return limit
    depth = deepest = 0
    for match in _BRACKETS.finditer(data):
        first = data[match.start()]
        if first in b"[{":
            depth += 1
            deepest = max(deepest, depth)
            if deepest > limit:
                break
        elif first in b"]}":
            depth -= 1
    return deepest


def prune_depth(data: bytes) -> bytes:
    """Return a JSON text with ``null`` for the values nested deeper than ``MAX_DEPTH``.

    The other values of a record with many entries can be decoded then.
    """
    if measure_depth(data, MAX_DEPTH) <= MAX_DEPTH:
        return data
    pieces = []
    start = depth = 0
    for match in _BRACKETS.finditer(data):
        first = data[match.start()]
        if first in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                pieces += [data[start : match.start()], b"null"]
        elif first in b"]}":
            if depth == MAX_DEPTH + 1:
                start = match.end()
            depth -= 1
    if depth <= MAX_DEPTH:
        pieces.append(data[start:])
    return b"".join(pieces)


def decode_identifier(data: bytes, location: str) -> str:
    """Decode a key that is used as a name, also in headers; raises ``DecodeError``.

    Only printable ASCII characters other than spaces are accepted.
    """
    text = data.decode("ascii", "replace")
    if _IDENTIFIER.fullmatch(text) is None:
        raise DecodeError(location, "a key with other than printable characters")
    return text


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the IPv4 address and the port of ``text``, ``None`` if it is malformed.

    Numbers with leading zeros are malformed, as some programs read them as octal.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or int(match[2]) > MAX_PORT:
        return None
    return match[1], int(match[2])


def is_endpoint(host: Any, port: Any) -> bool:
    """Whether ``host`` is an IPv4 address and ``port`` a port, as sockets require."""
    return (
        isinstance(host, str)
        and isinstance(port, int)
        and 0 < port <= MAX_PORT
        and _IP.fullmatch(host) is not None
    )


def parse_count(text: str, most: int) -> int | None:
    """Return the number of ``text`` in decimal digits, at most ``most``.

    Returns ``None`` for any other text. The length is bounded before ``int`` reads
    the digits, as it raises an error for very long ones.

    >>> parse_count("17", 10), parse_count("²", 10)
    (10, None)
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")
    if len(digits) > len(str(most)):
        return most
    return min(int(digits or "0"), most)


def make_duration(seconds: float) -> timedelta:
    """Return a duration of ``seconds``, limited to ``MAX_SECONDS``."""
    return timedelta(seconds=min(max(seconds, 0.0), MAX_SECONDS))
