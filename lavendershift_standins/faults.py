"""Faults that a stand-in can be told to show while it runs.

Each kind of fault is a ``NamedTuple`` in a registry filled by
``register_fault``. A fault is put in force with ``POST /control/faults`` and a
JSON object of its kind and fields::

    {"fault": "refuse", "status": 429, "when": {"path": "/v1/", "times": 3}}

A kind already in force is replaced. ``GET /control/faults`` lists the faults
in force, ``DELETE /control/faults`` ends all of them and
``DELETE /control/faults/KIND`` ends one. The control calls for faults and for
``/control/log`` are themselves never affected.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Annotated, Any, Literal, NamedTuple, Protocol, TypeVar

from pydantic import Field, TypeAdapter


class Phase(Enum):
    """The point of a call at which a kind of fault takes effect."""

    ARRIVAL = "arrival"  # before anything ran
    REPLY = "reply"  # after the call took effect, before its answer
    BODY = "body"  # while the answer is sent
    PACE = "pace"  # for as long as it is in force, on the program's speed


class Call(Protocol):
    """The call in progress, as far as a fault has to know it."""

    def describe(self) -> tuple[str, str]:
        """Return the call's method and path."""
        ...

    def answer_error(self, status: int, message: str, not_run: bool) -> None:
        """Answer with an error."""
        ...

    def close_connection(self) -> None:
        """Close the connection without a further byte."""
        ...

    async def wait_closed(self) -> None:
        """Wait until the other side gives up."""
        ...


ErrorStatus = Annotated[int, Field(ge=400, le=599)]
PositiveCount = Annotated[int, Field(ge=1)]


class FaultCondition(NamedTuple):
    """The calls that a fault hits.

    ``times`` ends the fault after so many hits, ``duration_ms`` after a time;
    ``probability`` lets some calls pass.
    """

    path: str = ""
    method: str = ""
    times: PositiveCount | None = None
    probability: Annotated[float, Field(ge=0, le=1)] = 1.0
    duration_ms: PositiveCount | None = None


class FaultKind(NamedTuple):
    """An entry of the registry."""

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
    """Return a decorator that files a fault type under ``name``."""

    def register(fault_type: FaultType) -> FaultType:
        if name in FAULT_KINDS:
            raise ValueError(f"fault {name!r} is registered twice")
        adapter: TypeAdapter[Any] = TypeAdapter(fault_type)
        FAULT_KINDS[name] = FaultKind(name, phase, programs, adapter)
        return fault_type

    return register


@register_fault("refuse", Phase.ARRIVAL)
class Refuse(NamedTuple):
    """Refuses before the call runs, with ``Not-Run: true``."""

    status: ErrorStatus = 503
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Answer the refusal."""
        call.answer_error(self.status, "refused by a fault", not_run=True)
        return True


@register_fault("fail", Phase.ARRIVAL)
class Fail(NamedTuple):
    """Fails at once without running the call, and doesn't say so."""

    status: ErrorStatus = 500
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Answer the failure."""
        call.answer_error(self.status, "failed by a fault", not_run=False)
        return True


@register_fault("hang", Phase.ARRIVAL)
class Hang(NamedTuple):
    """Neither runs nor answers the call."""

    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Wait for the caller to give up."""
        await call.wait_closed()
        return True


@register_fault("close", Phase.ARRIVAL)
class Close(NamedTuple):
    """Closes the connection without running the call."""

    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Close the connection."""
        call.close_connection()
        return True


@register_fault("outage", Phase.ARRIVAL)
class Outage(NamedTuple):
    """Is out of service: answers 503, closes the connection or says nothing."""

    answer: Literal["503", "close", "hang"] = "503"
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Answer as the outage demands."""
        if self.answer == "503":
            call.answer_error(503, "outage", not_run=False)
        elif self.answer == "close":
            call.close_connection()
        else:
            await call.wait_closed()
        return True


@register_fault("delay", Phase.REPLY)
class Delay(NamedTuple):
    """Sends the answer late."""

    delay_ms: PositiveCount = 1000
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Wait, then let the answer go."""
        await asyncio.sleep(self.delay_ms / 1000)
        return False


@register_fault("lose_reply", Phase.REPLY)
class LoseReply(NamedTuple):
    """Runs the call, then closes the connection or says nothing."""

    answer: Literal["close", "hang"] = "close"
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Drop the answer."""
        if self.answer == "close":
            call.close_connection()
        else:
            await call.wait_closed()
        return True


@register_fault("fail_after", Phase.REPLY)
class FailAfter(NamedTuple):
    """Runs the call, then answers with a failure that leaves this open."""

    status: ErrorStatus = 500
    when: FaultCondition = FaultCondition()

    async def inject(self, call: Call) -> bool:
        """Answer the failure."""
        call.answer_error(self.status, "failed by a fault", not_run=False)
        return True


@register_fault("truncate", Phase.BODY, frozenset({"engine", "service"}))
class Truncate(NamedTuple):
    """Breaks the answer off after so many tokens, or bytes of a plain service.

    ``answer`` says whether the connection is then closed or left open and
    silent. A model engine goes on running the request.
    """

    length: PositiveCount = 1
    answer: Literal["close", "hang"] = "close"
    when: FaultCondition = FaultCondition()


@register_fault("slow", Phase.PACE)
class Slow(NamedTuple):
    """Multiplies the time that a step of an engine or any other call takes."""

    factor: Annotated[float, Field(gt=0)] = 10.0
    when: FaultCondition = FaultCondition()
