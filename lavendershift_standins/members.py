"""Stand-in for the platform's membership list.

``GET /members`` answers the list as it stood ``lag_ms`` ago. A test changes it
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
    """A VM on the list."""

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

    ``file`` is a JSON file with the first list, in the form of the answer.
    """

    name: str = "members"
    address: str = "127.0.0.1"
    port: int = 0
    lag_ms: int = 2000
    file: str = ""


MEMBER_LIST: TypeAdapter[MemberList] = TypeAdapter(MemberList)


class MembersHandler(StandInHandler):
    """Answers the list."""

    async def get(self) -> None:
        """Answer the list as it stood a while ago."""
        await self.reply({"members": self.standin.list_members()})


class ControlMembersHandler(StandInHandler):
    """Sets the list."""

    affected_by_faults = False

    async def get(self) -> None:
        """Answer the list as it stands, without lag."""
        self.write_json({"members": self.standin.current})

    async def post(self) -> None:
        """Replace the list; 400 names the faulty field."""
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
    """Serves a membership list that lags."""

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
        """The list as it stands."""
        return self._versions[-1][1]

    def set_members(self, members: list[Member]) -> None:
        """Replace the list; readers see it after the lag."""
        self._versions.append((self.clock.elapsed(), members))

    def list_members(self) -> list[Member]:
        """Return the list as it stood a lag ago, at first the oldest known."""
        lag = timedelta(milliseconds=self.settings.lag_ms)
        visible_at = self.clock.elapsed() - lag
        while len(self._versions) > 1 and self._versions[1][0] <= visible_at:
            self._versions.popleft()
        return self._versions[0][1]


def main() -> None:
    """Run the membership list."""
    run_program(MembersApp, MembersSettings)
