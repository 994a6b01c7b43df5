"""Control of Python's cyclic garbage collector.

Building state of hundreds of thousands of small objects triggers the collector
repeatedly, although none of them is garbage. Each later full collection would
traverse them all and block the event loop for longer than the time between two
tokens of a stream.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def pause_collection() -> Iterator[None]:
    """Disable the collector during a block, and exempt the block's objects from it.

    The block must not await. All objects that exist at its end are from then on
    freed by their reference counts alone.
    """
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        if enabled:
            gc.enable()
