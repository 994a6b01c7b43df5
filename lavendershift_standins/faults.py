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
from collections.abc import Callable, Iterator
from datetime import timedelta
from enum import Enum
from random import Random
from typing import Any, Literal, NamedTuple, Protocol, TypeVar

from pydantic import TypeAdapter, ValidationError

from lavendershift.clocks import Clock


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


class When(NamedTuple):
    """The calls that a fault hits.

    ``times`` ends the fault after so many hits, ``duration_ms`` after a time;
    ``probability`` lets some calls pass.
    """

    path: str = ""
    method: str = ""
    times: int | None = None
    probability: float = 1.0
    duration_ms: int | None = None


class FaultError(ValueError):
    """A fault that does not exist or has a wrong field, named by ``location``."""

    def __init__(self, location: str, reason: str) -> None:
        super().__init__(f"{location}: {reason}")
        self.location = location
        self.reason = reason


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

    status: int = 503
    when: When = When()

    async def strike(self, call: Call) -> bool:
        """Answer the refusal."""
        call.answer_error(self.status, "refused by a fault", not_run=True)
        return True


@register_fault("fail", Phase.ARRIVAL)
class Fail(NamedTuple):
    """Fails at once without running the call, and doesn't say so."""

    status: int = 500
    when: When = When()

    async def strike(self, call: Call) -> bool:
        """Answer the failure."""
        call.answer_error(self.status, "failed by a fault", not_run=False)
        return True


@register_fault("hang", Phase.ARRIVAL)
class Hang(NamedTuple):
    """Neither runs nor answers the call."""

    when: When = When()

    async def strike(self, call: Call) -> bool:
        """Wait for the caller to give up."""
        await call.wait_closed()
        return True


@register_fault("close", Phase.ARRIVAL)
class Close(NamedTuple):
    """Closes the connection without running the call."""

    when: When = When()

    async def strike(self, call: Call) -> bool:
        """Close the connection."""
        call.close_connection()
        return True


@register_fault("outage", Phase.ARRIVAL)
class Outage(NamedTuple):
    """Is out of service: answers 503, closes the connection or says nothing."""

    answer: Literal["503", "close", "hang"] = "503"
    when: When = When()

    async def strike(self, call: Call) -> bool:
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

    delay_ms: int = 1000
    when: When = When()

    async def strike(self, call: Call) -> bool:
        """Wait, then let the answer go."""
        await asyncio.sleep(self.delay_ms / 1000)
        return False


@register_fault("lose_reply", Phase.REPLY)
class LoseReply(NamedTuple):
    """Runs the call, then closes the connection or says nothing."""

    answer: Literal["close", "hang"] = "close"
    when: When = When()

    async def strike(self, call: Call) -> bool:
        """Drop the answer."""
        if self.answer == "close":
            call.close_connection()
        else:
            await call.wait_closed()
        return True


@register_fault("fail_after", Phase.REPLY)
class FailAfter(NamedTuple):
    """Runs the call, then answers with a failure that leaves this open."""

    status: int = 500
    when: When = When()

    async def strike(self, call: Call) -> bool:
        """Answer the failure."""
        call.answer_error(self.status, "failed by a fault", not_run=False)
        return True


@register_fault("truncate", Phase.BODY, frozenset({"engine", "service"}))
class Truncate(NamedTuple):
    """Breaks the answer off after so many tokens, or bytes of a plain service.

    ``answer`` says whether the connection is then closed or left open and
    silent. A model engine goes on running the request.
    """

    length: int = 1
    answer: Literal["close", "hang"] = "close"
    when: When = When()


@register_fault("slow", Phase.PACE)
class Slow(NamedTuple):
    """Multiplies the time that a step of an engine or any other call takes."""

    factor: float = 10.0
    when: When = When()


class ActiveFault:
    """A fault in force and what is left of it."""

    def __init__(self, kind: FaultKind, fault: Any, now: timedelta) -> None:
        self.kind = kind
        self.fault = fault
        self.hits = 0
        when: When = fault.when
        self._end: timedelta | None = None
        if when.duration_ms is not None:
            self._end = now + timedelta(milliseconds=when.duration_ms)

    def is_over(self, now: timedelta) -> bool:
        """Return whether the fault is used up."""
        times = self.fault.when.times
        if times is not None and self.hits >= times:
            return True
        return self._end is not None and now >= self._end

    def matches(self, method: str, path: str) -> bool:
        """Return whether the fault is meant for this call."""
        when: When = self.fault.when
        return path.startswith(when.path) and when.method in ("", method)

    def describe(self) -> dict[str, Any]:
        """Return the JSON form, with the number of calls hit so far."""
        fields = self.kind.adapter.dump_python(self.fault, mode="json")
        named = dict(zip(self.fault._fields, fields, strict=True))
        named["when"] = dict(zip(When._fields, named["when"], strict=True))
        return {"fault": self.kind.name, **named, "hits": self.hits}


class FaultSet:
    """The faults in force of one program."""

    def __init__(self, program: str, clock: Clock, rng: Random) -> None:
        self._program = program
        self._clock = clock
        self._rng = rng
        self._active: dict[str, ActiveFault] = {}

    def add(self, body: Any) -> None:
        """Put the fault of a JSON body in force; raises ``FaultError``."""
        if not isinstance(body, dict):
            raise FaultError("body", "expected an object")
        fields = dict(body)
        name = fields.pop("fault", None)
        kind = FAULT_KINDS.get(name) if isinstance(name, str) else None
        if kind is None or self._program not in kind.programs:
            known = [k.name for k in self.list_kinds()]
            raise FaultError("fault", f"unknown fault {name!r}, known are {known}")
        try:
            fault = kind.adapter.validate_python(fields)
        except ValidationError as error:
            first = error.errors()[0]
            location = ".".join(str(part) for part in first["loc"]) or name
            raise FaultError(location, first["msg"]) from None
        self._active[name] = ActiveFault(kind, fault, self._clock.elapsed())

    def list_kinds(self) -> list[FaultKind]:
        """Return the kinds of fault that this program can show."""
        return [k for k in FAULT_KINDS.values() if self._program in k.programs]

    def remove(self, name: str = "") -> None:
        """End the fault ``name``, or all of them."""
        if name:
            self._active.pop(name, None)
        else:
            self._active.clear()

    def describe(self) -> list[dict[str, Any]]:
        """Return the JSON form of all faults in force."""
        self._drop_finished()
        return [active.describe() for active in self._active.values()]

    async def apply(self, phase: Phase, call: Call) -> bool:
        """Let the faults of ``phase`` strike; return whether the call is over."""
        for active in self._hit(phase, call):
            if await active.fault.strike(call):
                return True
        return False

    def find_truncation(self, call: Call) -> Truncate | None:
        """Return the fault that breaks off the answer to ``call``, if any."""
        for active in self._hit(Phase.BODY, call):
            fault: Truncate = active.fault
            return fault
        return None

    @property
    def slow_factor(self) -> float:
        """The factor by which everything takes longer now."""
        active = self._active.get("slow")
        if active is None:
            return 1.0
        if active.is_over(self._clock.elapsed()):
            del self._active["slow"]
            return 1.0
        factor: float = active.fault.factor
        return factor

    def _hit(self, phase: Phase, call: Call) -> Iterator[ActiveFault]:
        if not self._active:
            return
        self._drop_finished()
        method, path = call.describe()
        for active in list(self._active.values()):
            if active.kind.phase is not phase or not active.matches(method, path):
                continue
            if self._rng.random() < active.fault.when.probability:
                active.hits += 1
                yield active

    def _drop_finished(self) -> None:
        now = self._clock.elapsed()
        self._active = {
            name: active
            for name, active in self._active.items()
            if not active.is_over(now)
        }
