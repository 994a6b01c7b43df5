"""Bound on the requests to a server that names a limit, as the users state it."""

WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
# Time after which a VM that forwarded a response with a limit has to obey it.
OBEY_S = 0.5
STABLE_WINDOW_S = 3.0  # time from the first response that names a limit


def find_excess(limit, arrivals, forwarded):
    """Return the windows in which a server got more than its limit allows.

    ``arrivals`` are the times and VMs of the requests that reached the server,
    ``forwarded`` the VMs and times of the responses with a limit that reached callers.
    Only requests of VMs count that had forwarded one ``OBEY_S`` before. ``limit`` is a
    number, or a function of the time that returns one.
    """
    known = {}
    for vm, at in forwarded:
        known[vm] = min(known.get(vm, at), at)
    if not known:
        return []
    start = min(known.values()) + STABLE_WINDOW_S
    counted = sorted(
        at for at, vm in arrivals if vm in known and at >= known[vm] + OBEY_S
    )
    windows = []
    first = 0
    for last, end in enumerate(counted):
        while counted[first] <= end - WINDOW_S:
            first += 1
        rate = limit(end) if callable(limit) else limit
        allowed = FACTOR * rate * WINDOW_S + SLACK
        count = last + 1 - first
        if end >= start and count > allowed:
            windows.append(f"{end:.2f}: {count} requests in 4 s, {allowed:g} allowed")
    return windows
