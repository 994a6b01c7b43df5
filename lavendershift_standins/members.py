"""Stand-in for the platform's membership list.

``GET /members`` returns the list as of ``lag_ms`` ago. A test replaces the list
with ``POST /control/members``.
"""

from collections import deque
from datetime import timedelta
from random import Random
from typing import Any, Literal, NamedTuple

from pydantic import ConfigDict, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from lavendershift.clocks import Clock
from lavendershift_standins.application import StandInApp, StandInHandler
from lavendershift_standins.commandline import run_program


class Member(TypedDict):
    """A member VM and its state."""

    __pydantic_config__ = ConfigDict(extra="forbid")  # type: ignore[misc]

    name: str
    address: str
    role: Literal["router", "server"]
    failure_domain: str
    state: Literal["live", "leaving"]


class MemberList(TypedDict):
    """The body of ``GET /members`` and ``POST /control/members``."""

    members: list[Member]


class MembersSettings(NamedTuple):
    """Settings of the membership list and their defaults.

    ``file`` is a JSON file with the initial list, in the format of
    ``GET /members``.
    """

    name: str = "members"
    address: str = "127.0.0.1"
    port: int = 0
    lag_ms: int = 2000
    file: str = ""


MEMBER_LIST: TypeAdapter[MemberList] = TypeAdapter(MemberList)


class MembersHandler(StandInHandler):
    """Returns the membership list as callers see it, after the lag."""

    async def get(self) -> None:
        """Return the list as of ``lag_ms`` ago."""
        await self.reply({"members": self.standin.list_members()})


class ControlMembersHandler(StandInHandler):
    """Returns and replaces the current list."""

    affected_by_faults = False

    async def get(self) -> None:
        """Return the current list, without lag."""
        self.write_json({"members": self.standin.current})

    async def post(self) -> None:
        """Replace the list; a 400 response names the invalid field."""
        try:
            body = MEMBER_LIST.validate_python(self.read_json())
        except ValidationError as error:
            first = error.errors()[0]
            location = ".".join(str(part) for part in first["loc"])
            self.answer_error(400, f"{location}: {first['msg']}")
            return
        self.standin.set_members(body["members"])
        await self.get()


class MembersApp(StandInApp):
    """Serves a membership list whose changes become visible after a lag."""

    program = "members"

    def __init__(self, settings: MembersSettings, clock: Clock, rng: Random) -> None:
        super().__init__(settings, clock, rng)
        self._versions: deque[tuple[timedelta, list[Member]]] = deque()
        first: list[Member] = []
        if settings.file:
            with open(settings.file, "rb") as file:
                first = MEMBER_LIST.validate_json(file.read())["members"]
        self._versions.append((clock.elapsed(), first))

    def list_routes(self) -> list[tuple[Any, ...]]:
        """Return the routes."""
        return [
            (r"/members", MembersHandler),
            (r"/control/members", ControlMembersHandler),
        ]

    @property
    def current(self) -> list[Member]:
        """The current list, without lag."""
        return self._versions[-1][1]

    def set_members(self, members: list[Member]) -> None:
        """Replace the list; ``GET /members`` returns it after the lag."""
        self._versions.append((self.clock.elapsed(), members))

    def list_members(self) -> list[Member]:
        """Return the newest list at least as old as the lag, else the oldest."""
        lag = timedelta(milliseconds=self.settings.lag_ms)
        visible_at = self.clock.elapsed() - lag
        while len(self._versions) > 1 and self._versions[1][0] <= visible_at:
            self._versions.popleft()
        return self._versions[0][1]


def main() -> None:
    """Run the membership list."""
    run_program(MembersApp, MembersSettings)
