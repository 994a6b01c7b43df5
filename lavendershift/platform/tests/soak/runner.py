"""Runner of one seed of the soak test."""

import json
import tempfile
from pathlib import Path

from lavendershift.platform.tests.soak.profiles import PROFILES
from lavendershift.platform.tests.soak.violations import find_violations
from lavendershift.platform.tests.soak.world import SoakWorld


def run_seed(seed, profile="short", folder=None):
    """Run one seed; return its violations and the number of requests by their end."""
    with tempfile.TemporaryDirectory() as temporary:
        world = SoakWorld(Path(folder or temporary), seed, PROFILES[profile])
        try:
            starts = world.run(PROFILES[profile].run_phases)
            violations = list(find_violations(world, starts))
        finally:
            world.stop()
            if folder:
                write_records(world, Path(folder))
        return violations, world.endings


def write_records(world, folder):
    """Write what happened in a run, by monotonic times, to trace its violations."""
    lines = [{"at": at, "operation": name} for at, name in world.operations]
    lines += [{"at": at, "stop": name} for name, at in world.stops]
    for server, at, old_id in world.restarts:
        lines.append({"at": at, "crash": old_id, "restarted_as": server.name})
    for caller in world.callers:
        for call in caller.calls:
            values = call._asdict() | {"body": len(call.body)}
            lines.append({"at": call.sent_at} | values)
    for servers in world.servers.values():
        for server in servers:
            for handled in server.handled:
                times = {k: v for k, v in vars(handled).items() if k[0] != "_"}
                del times["behaviour"], times["written"]
                received = times.pop("received")
                last = received.headers.get("last-event-id", "")
                expected = received.headers.get("x-lavendershift-expect-instance")
                fields = {"request": received.id, "last_event": last}
                fields["expected"] = expected
                lines.append(
                    {"at": received.at, "server": server.name} | fields | times
                )
    lines.sort(key=lambda line: line["at"])
    text = "".join(json.dumps(line) + "\n" for line in lines)
    folder.joinpath("records.jsonl").write_text(text)
