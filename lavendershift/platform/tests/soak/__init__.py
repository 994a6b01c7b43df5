"""Randomized soak test of real router processes under injected faults.

Each seed runs three phases: planned operations only (restarts, reloads, drains),
overlapping faults, and a recovery after which every node must serve again.
Callers and backend servers record what they send and receive, and the records are
checked for violated guarantees::

    python -m lavendershift.platform.tests.soak --seeds 1-50 --jobs 4
"""
