"""Randomized soak test of real router processes under injected faults.

Each seed runs three phases: planned operations only (restarts, reloads, drains),
overlapping faults, and a recovery after which every node must serve again. The
profiles ``site`` and ``large`` run planned operations and silences of slow servers on
more processes instead.
Callers and backend servers record what they send and receive, and the records are
checked for violated guarantees::

    python -m lavendershift.platform.tests.soak --seeds 1-50 --jobs 4
    python -m lavendershift.platform.tests.soak --profile site --seeds 1-5 --folder logs
"""
