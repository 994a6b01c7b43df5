"""The active faults of one stand-in and their application to its calls."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random
from typing import Any

from pydantic import ValidationError

from lavendershift.clocks import Clock
from lavendershift_standins.faults import (
    FAULT_KINDS,
    Call,
    FaultCondition,
    FaultKind,
    Phase,
    Silence,
    Truncate,
)


class FaultError(ValueError):
    """An unknown fault or an invalid field, which ``location`` names."""

    def __init__(self, location: str, reason: str) -> None:
        super().__init__(f"{location}: {reason}")
        self.location = location
        self.reason = reason


class ActiveFault:
    """An active fault, the count of calls it affected and the time it expires."""

    def __init__(self, kind: FaultKind, fault: Any, now: timedelta) -> None:
        self.kind = kind
        self.fault = fault
        self.hits = 0
        when: FaultCondition = fault.when
        self._end: timedelta | None = None
        if when.duration_ms is not None:
            self._end = now + timedelta(milliseconds=when.duration_ms)

    def is_expired(self, now: timedelta) -> bool:
        """Return whether ``times`` calls were affected or ``duration_ms`` elapsed."""
        times = self.fault.when.times
        if times is not None and self.hits >= times:
            return True
        return self._end is not None and now >= self._end

    def matches(self, method: str, path: str) -> bool:
        """Return whether the call has the fault's path prefix and method."""
        when: FaultCondition = self.fault.when
        return path.startswith(when.path) and when.method in ("", method)

    def describe(self) -> dict[str, Any]:
        """Return the JSON form, with the number of calls affected so far."""
        fields = self.kind.adapter.dump_python(self.fault, mode="json")
        named = dict(zip(self.fault._fields, fields, strict=True))
        named["when"] = dict(zip(FaultCondition._fields, named["when"], strict=True))
        return {"fault": self.kind.name, **named, "hits": self.hits}


class FaultSet:
    """The active faults of one program, at most one of each kind."""

    def __init__(self, program: str, clock: Clock, rng: Random) -> None:
        self._program = program
        self._clock = clock
        self._rng = rng
        self._active: dict[str, ActiveFault] = {}

    def add(self, body: Any) -> None:
        """Activate the fault in a decoded body; raise ``FaultError`` if invalid."""
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
        """Return the kinds of fault that this program supports."""
        return [k for k in FAULT_KINDS.values() if self._program in k.programs]

    def remove(self, name: str = "") -> None:
        """Remove the fault ``name``, or all faults."""
        if name:
            self._active.pop(name, None)
        else:
            self._active.clear()

    def describe(self) -> list[dict[str, Any]]:
        """Return the JSON form of all active faults."""
        self._drop_expired()
        return [active.describe() for active in self._active.values()]

    async def apply(self, phase: Phase, call: Call) -> bool:
        """Inject the faults of ``phase``; return whether one ended the call."""
        for active in self._select_active(phase, call):
            if await active.fault.inject(call):
                return True
        return False

    def find_body_fault(self, call: Call) -> Truncate | Silence | None:
        """Return the fault that interrupts the response to ``call``, if any."""
        for active in self._select_active(Phase.BODY, call):
            fault: Truncate | Silence = active.fault
            return fault
        return None

    @property
    def slow_factor(self) -> float:
        """The factor by which the active ``slow`` fault multiplies durations, or 1."""
        active = self._active.get("slow")
        if active is None:
            return 1.0
        if active.is_expired(self._clock.elapsed()):
            del self._active["slow"]
            return 1.0
        factor: float = active.fault.factor
        return factor

    def _select_active(self, phase: Phase, call: Call) -> Iterator[ActiveFault]:
        if not self._active:
            return
        self._drop_expired()
        method, path = call.describe()
        for active in list(self._active.values()):
            if active.kind.phase is not phase or not active.matches(method, path):
                continue
            if self._rng.random() < active.fault.when.probability:
                active.hits += 1
                yield active

    def _drop_expired(self) -> None:
        now = self._clock.elapsed()
        self._active = {
            name: active
            for name, active in self._active.items()
            if not active.is_expired(now)
        }
