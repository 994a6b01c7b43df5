"""Limits that follow from the memory and the file descriptors of a VM.

A process on the smallest VM keeps room for its own objects, and the rest is the budget
for callers and servers::

    limits = derive_limits(memory_mb=160, max_fds=1638)
    limits.held_bytes  # 75497472
"""

from typing import NamedTuple

MEGABYTE = 1024 * 1024
DEFAULT_MEMORY_MB = 512  # memory of a VM whose settings don't name it
DEFAULT_MAX_FDS = 4096  # descriptors of a VM whose settings don't name them
# A process takes 25 to 50 MB for itself; state of a large fleet needs more.
PROCESS_BYTES = 64 * MEGABYTE
# Part of the remaining memory that may be held. The allocator keeps freed blocks, and
# objects of the event loop aren't counted.
HELD_SHARE = 0.75
MIN_HELD_SHARE = 0.25  # part of all memory that may be held on a VM with very little
RESERVED_FDS = 200  # descriptors of the store, the listeners, files and peers
# Parts of the other descriptors. Each request in flight also needs one to its server.
CALLER_FD_SHARE = 9 / 16
DIRECTORY_FD_SHARE = 1 / 16
READINESS_CONNECTIONS = 32  # probes use one connection at a time
METRICS_CONNECTIONS = 16
# Connections to servers that may be open on any VM, however many callers there are.
MIN_SERVER_CONNECTIONS = 16
MIN_CONNECTIONS = 16  # connections from callers that are accepted on any VM


class MemoryLimits(NamedTuple):
    """Limits of a process on all that its clients and servers make it hold."""

    held_bytes: int
    caller_connections: int
    directory_connections: int
    # Descriptors for connections from callers, open or lingering, and to servers.
    shared_descriptors: int = DEFAULT_MAX_FDS


def derive_limits(memory_mb: float, max_fds: int) -> MemoryLimits:
    """Return the limits for a VM."""
    memory = int(memory_mb * MEGABYTE)
    held = max((memory - PROCESS_BYTES) * HELD_SHARE, memory * MIN_HELD_SHARE)
    descriptors = max(max_fds - RESERVED_FDS, 0)
    directory = max(int(descriptors * DIRECTORY_FD_SHARE), MIN_CONNECTIONS)
    status = directory + READINESS_CONNECTIONS + METRICS_CONNECTIONS
    return MemoryLimits(
        int(held),
        max(int(descriptors * CALLER_FD_SHARE), MIN_CONNECTIONS),
        directory,
        descriptors - status,
    )


def count_server_connections(limits: MemoryLimits, caller_descriptors: int) -> int:
    """Return how many connections to servers may be open beside callers'."""
    return max(limits.shared_descriptors - caller_descriptors, MIN_SERVER_CONNECTIONS)
