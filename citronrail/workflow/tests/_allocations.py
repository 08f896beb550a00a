"""Measures allocated memory, without the allocator and the program."""

import gc
import tracemalloc


class Allocations:
    """Bytes that are allocated in a block and not freed at its end."""

    size = 0

    def __enter__(self):
        gc.collect()
        tracemalloc.start()
        return self

    def __exit__(self, *_):
        gc.collect()
        self.size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
