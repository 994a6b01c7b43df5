"""Control of Python's cyclic garbage collector.

Building state of hundreds of thousands of small objects sets the collector
off again and again, though none of them is garbage.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def pause_collection() -> Iterator[None]:
    """Keep the collector from running; for blocks that never wait."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()
