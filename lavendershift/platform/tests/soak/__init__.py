"""A randomized soak of real node processes under faults from outside.

Each seed plays a calm part with planned work only, a part with overlapping
faults, and a part in which everything must be well again. Callers and servers
note what they see, and the judge compares it with the promises::

    python -m lavendershift.platform.tests.soak --seeds 1-50 --jobs 4
"""
