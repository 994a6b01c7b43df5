"""Faults that can be injected into a running stand-in.

Each kind of fault is a ``NamedTuple`` in a registry filled by
``register_fault``. ``POST /control/faults`` activates a fault, given as a JSON
object of its kind and fields::

    {"fault": "refuse", "status": 429, "when": {"path": "/v1/", "times": 3}}

The new fault replaces an active fault of the same kind. ``GET /control/faults``
lists the active faults, ``DELETE /control/faults`` removes all of them and
``DELETE /control/faults/KIND`` removes one. Faults never affect calls to
``/control/faults``, ``/control/log``, ``/control/members`` and
``/control/streams``.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Annotated, Any, Literal, NamedTuple, Protocol, TypeVar

from pydantic import Field, TypeAdapter


class Phase(Enum):
    """The point of a call at which a kind of fault takes effect."""

    ARRIVAL = "arrival"  # point before the call runs
    REPLY = "reply"  # point after the call took effect and before its response
    BODY = "body"  # period in which the response body is sent
    PACE = "pace"  # whole time of an active fault, which changes the program's speed


class Call(Protocol):
    """The operations on a call in progress that a fault needs."""

    def describe(self) -> tuple[str, str]:
        """Return the method and path of the call."""
        ...

    def answer_error(self, status: int, message: str, not_run: bool) -> None:
        """Respond with an error."""
        ...

    def close_connection(self) -> None:
        """Close the connection without sending another byte."""
        ...

    async def wait_closed(self) -> None:
        """Wait until the client disconnects."""
        ...


ErrorStatus = Annotated[int, Field(ge=400, le=599)]
PositiveCount = Annotated[int, Field(ge=1)]


class FaultCondition(NamedTuple):
    """The calls that a fault affects.

    ``path`` is a prefix; an empty ``path`` or ``method`` matches all calls.
    ``probability`` is the share of matching calls that are affected. The fault
    expires after ``times`` affected calls or after ``duration_ms``.
    """

    path: str = ""
    method: str = ""
    times: PositiveCount | None = None
    probability: Annotated[float, Field(ge=0, le=1)] = 1.0
    duration_ms: PositiveCount | None = None


class FaultKind(NamedTuple):
    """A registered kind of fault and the programs that support it."""

    name: str
    phase: Phase
    programs: frozenset[str]
    adapter: TypeAdapter[Any]


FAULT_KINDS: dict[str, FaultKind] = {}
ALL_PROGRAMS = frozenset({"engine", "service", "log", "members"})

FaultType = TypeVar("FaultType", bound=type)


def register_fault(
    name: str, phase: Phase, programs: frozenset[str] = ALL_PROGRAMS
) -> Callable[[FaultType], FaultType]:
    """Return a decorator that registers a fault type under ``name``.

    Each type but those of ``Phase.BODY`` and ``Phase.PACE`` has a method
    ``inject``, which returns whether the call has ended.
    """

    def register(fault_type: FaultType) -> FaultType:
        if name in FAULT_KINDS:
            raise ValueError(f"fault {name!r} is registered twice")
        adapter: TypeAdapter[Any] = TypeAdapter(fault_type)
        FAULT_KINDS[name] = FaultKind(name, phase, programs, adapter)
        return fault_type

    return register


@register_fault("refuse", Phase.ARRIVAL)
class Refuse(NamedTuple):
    """Refuse the call before it runs, with ``Not-Run: true``."""

    status: ErrorStatus = 503
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Send the refusal."""
        call.answer_error(self.status, "refused by a fault", not_run=True)
        return True


@register_fault("fail", Phase.ARRIVAL)
class Fail(NamedTuple):
    """Fail without running the call, and without a ``Not-Run`` header."""

    status: ErrorStatus = 500
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Send the error."""
        call.answer_error(self.status, "failed by a fault", not_run=False)
        return True


@register_fault("hang", Phase.ARRIVAL)
class Hang(NamedTuple):
    """Neither run the call nor respond to it."""

    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Wait until the client disconnects."""
        await call.wait_closed()
        return True


@register_fault("close", Phase.ARRIVAL)
class Close(NamedTuple):
    """Close the connection without running the call."""

    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Close the connection."""
        call.close_connection()
        return True


@register_fault("outage", Phase.ARRIVAL)
class Outage(NamedTuple):
    """Be out of service: respond 503, close the connection or never respond."""

    answer: Literal["503", "close", "hang"] = "503"
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Respond 503, close the connection, or wait for a disconnect."""
        if self.answer == "503":
            call.answer_error(503, "outage", not_run=False)
        elif self.answer == "close":
            call.close_connection()
        else:
            await call.wait_closed()
        return True


@register_fault("delay", Phase.REPLY)
class Delay(NamedTuple):
    """Delay the response."""

    delay_ms: PositiveCount = 1000
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Wait for ``delay_ms``, then let the call continue."""
        await asyncio.sleep(self.delay_ms / 1000)
        return False


@register_fault("lose_reply", Phase.REPLY)
class LoseReply(NamedTuple):
    """Run the call, then close the connection or never respond."""

    answer: Literal["close", "hang"] = "close"
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Drop the response."""
        if self.answer == "close":
            call.close_connection()
        else:
            await call.wait_closed()
        return True


@register_fault("fail_after", Phase.REPLY)
class FailAfter(NamedTuple):
    """Run the call, then respond with an error that doesn't say whether it ran."""

    status: ErrorStatus = 500
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Send the error."""
        call.answer_error(self.status, "failed by a fault", not_run=False)
        return True


@register_fault("truncate", Phase.BODY, frozenset({"engine", "service"}))
class Truncate(NamedTuple):
    """Truncate a stream after ``length`` tokens, a service's body after as many bytes.

    ``answer`` selects whether the connection is then closed or left open without
    further data. A model engine continues to run the request, unless
    ``cancel_on_disconnect`` is set.
    """

    length: PositiveCount = 1
    answer: Literal["close", "hang"] = "close"
    when: FaultCondition = FaultCondition()


@register_fault("silence", Phase.BODY, frozenset({"engine", "service"}))
class Silence(NamedTuple):
    """Send nothing for ``silence_ms`` within a response, then the rest of it.

    ``length`` counts the tokens of a stream or the bytes of a service's body that are
    sent before.
    """

    length: Annotated[int, Field(ge=0)] = 0
    silence_ms: PositiveCount = 1000
    when: FaultCondition = FaultCondition()


@register_fault("slow", Phase.PACE)
class Slow(NamedTuple):
    """Multiply the duration of steps and loads, or the delay of a call, by ``factor``.

    The steps and the loads of weights are those of an engine; the delay is the
    setting ``delay_ms`` of the log service and the plain service.
    """

    factor: Annotated[float, Field(gt=0)] = 10.0
    when: FaultCondition = FaultCondition()
