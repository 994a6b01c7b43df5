"""Free ports of the loopback interface, for measurements and tests."""

import os
import socket

# Port range below the kernel's ephemeral port range.
FIRST_PORT, PORT_COUNT = 20_000, 12_000
# Number of ports per test process, more than it uses in its lifetime.
PORTS_PER_PROCESS = 977

_next_port = os.getpid() * PORTS_PER_PROCESS


def find_ports(count: int) -> list[int]:
    """Return distinct free ports.

    Each process starts the search at a port that depends on its process id, so
    concurrent test processes are unlikely to return the same ones.
    """
    return [_find_port() for _ in range(count)]


def _find_port() -> int:
    global _next_port
    while True:
        port = FIRST_PORT + _next_port % PORT_COUNT
        _next_port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
