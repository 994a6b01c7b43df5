"""Free ports of the loopback, for measurements and tests."""

import contextlib
import socket


def find_ports(count: int) -> list[int]:
    """Return different ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for found in sockets:
            found.bind(("127.0.0.1", 0))
        return [found.getsockname()[1] for found in sockets]
