"""Free ports of the loopback, for measurements and tests."""

import os
import socket

FIRST_PORT, PORTS = 20_000, 12_000  # below the range that the kernel chooses from
PORTS_PER_PROCESS = 977  # more than the ports of a long-lived test process

_next_port = os.getpid() * PORTS_PER_PROCESS


def find_ports(count: int) -> list[int]:
    """Return different ports that no other test process is likely to choose."""
    return [_find_port() for _ in range(count)]


def _find_port() -> int:
    global _next_port
    while True:
        port = FIRST_PORT + _next_port % PORTS
        _next_port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
