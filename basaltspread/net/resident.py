"""The resident size of this process, as the system counts it against the memory limit."""

from __future__ import annotations

import ctypes
import gc
import os
from pathlib import Path

MEBIBYTE = 1024 * 1024
USUAL_RESIDENT = 30 * MEBIBYTE  # where the system does not tell
_MMAP_THRESHOLD, _TRIM_THRESHOLD = -3, -1  # of mallopt(3)
_LARGE_BLOCK = 16 * 1024  # bytes from which a block is given back to the system as it is freed
_FREE_TOP = 128 * 1024  # bytes of free heap that are kept


def resident_size() -> int:
    """In bytes."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return USUAL_RESIDENT


def keep_heap_small() -> None:
    """Give back what the start needed, and each large block as it is freed; glibc alone knows how. By itself
    it keeps more and more of them after a peak. What the start has made is not looked at again for garbage,
    so that connections that have gone are found soon."""
    gc.collect()
    gc.freeze()
    try:
        libc = ctypes.CDLL(None)
        libc.mallopt(_MMAP_THRESHOLD, _LARGE_BLOCK)
        libc.mallopt(_TRIM_THRESHOLD, _FREE_TOP)
        libc.malloc_trim(0)
    except (OSError, AttributeError):
        return
