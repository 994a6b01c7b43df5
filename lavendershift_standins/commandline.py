"""The command line that all stand-ins share.

Settings are merged from these sources, later ones overriding earlier ones: the
defaults of the program's ``NamedTuple``, the TOML file given with ``--config``,
``--set KEY=VALUE`` with a TOML value, and the flags ``--name``, ``--address`` and
``--port``::

    standin-engine --port 7140 --set 'models=["index-large"]' --set step_ms=5
"""

import asyncio
import signal
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Annotated, Any

import cappa
from pydantic import TypeAdapter, ValidationError

from lavendershift.clocks import SystemClock
from lavendershift_standins.application import StandInApp


def load_settings(
    settings_type: type, config: str | None, values: list[str], flags: dict[str, Any]
) -> Any:
    """Return the merged settings; raise ``cappa.Exit`` that names an invalid key."""
    fields: dict[str, Any] = {}
    try:
        if config is not None:
            fields.update(tomllib.loads(Path(config).read_text(encoding="utf-8")))
        for value in values:
            fields.update(tomllib.loads(value))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise cappa.Exit(f"settings: {error}", code=2) from None
    fields.update({k: v for k, v in flags.items() if v is not None})
    try:
        return TypeAdapter(settings_type).validate_python(fields)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        raise cappa.Exit(f"settings.{location}: {first['msg']}", code=2) from None


async def serve_until_signal(app: StandInApp) -> None:
    """Run ``app`` until SIGINT or SIGTERM arrives."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    port = await app.start(app.settings.port)
    name = app.settings.name
    print(f"{name}: listening on {app.settings.address}:{port}", file=sys.stderr)
    await stopping.wait()
    await app.stop()


def run_program(
    app_type: type[StandInApp], settings_type: type, argv: list[str] | None = None
) -> None:
    """Parse the command line and run the stand-in ``app_type``."""
    cappa.invoke(make_command(app_type, settings_type), argv=argv)


def make_command(app_type: type[StandInApp], settings_type: type) -> Callable[..., Any]:
    """Return the cappa command that runs the stand-in ``app_type``."""

    def run(
        config: Annotated[str | None, cappa.Arg(long=True)] = None,
        name: Annotated[str | None, cappa.Arg(long=True)] = None,
        address: Annotated[str | None, cappa.Arg(long=True)] = None,
        port: Annotated[int | None, cappa.Arg(long=True)] = None,
        seed: Annotated[int, cappa.Arg(long=True)] = 1,
        set_: Annotated[list[str] | None, cappa.Arg(long="--set")] = None,
    ) -> None:
        flags = {"name": name, "address": address, "port": port}
        settings = load_settings(settings_type, config, set_ or [], flags)
        app = app_type(settings, SystemClock(), Random(seed))
        asyncio.run(serve_until_signal(app))

    run.__doc__ = (app_type.__doc__ or "").split("\n")[0]
    return cappa.command(run, name=f"standin-{app_type.program}")
