"""Control of Python's cyclic garbage collector.

Building state of hundreds of thousands of small objects sets the collector
off again and again, though none of them is garbage, and looking through all of
them later holds the loop up for longer than the time between two tokens.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def pause_collection() -> Iterator[None]:
    """Keep the collector off a block that never waits, and off what it built.

    Objects that exist at its end are freed by their reference counts alone.
    """
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        if enabled:
            gc.enable()
