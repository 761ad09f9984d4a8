"""The memory of this process as the kernel counts it, and the return of what the allocator keeps.

As in proc_pid_statm(5) and malloc_trim(3). The platform's limit is on anonymous memory: resident pages that
no file stands behind.
"""

from __future__ import annotations

import logging
import os
import resource
from collections.abc import Callable

STATM_PATH = "/proc/self/statm"
STATM_SIZE = 128  # bytes: seven numbers of pages
PAGE_SIZE = resource.getpagesize()  # bytes

log = logging.getLogger("embersill")


class ProcessMemory:
    """Reads the anonymous memory and returns free memory to the kernel."""

    def __init__(self) -> None:
        self.trim: Callable[[int], int] | None = None
        self.trim_loaded = False
        try:
            self.descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as error:
            log.warning("the memory of this process cannot be read: %s", error)
            self.descriptor = -1

    def anonymous_bytes(self) -> int:
        """Bytes of anonymous memory; 0 if the kernel does not tell."""
        try:
            _, resident, shared, *_ = os.pread(self.descriptor, STATM_SIZE, 0).split()
        except (OSError, ValueError):
            return 0
        return (int(resident) - int(shared)) * PAGE_SIZE

    def give_back(self) -> None:
        """Returns free pages of the C library's heap; does nothing where the library cannot."""
        if not self.trim_loaded:
            self.trim_loaded, self.trim = True, load_trim()
        if self.trim is not None:
            self.trim(0)

    def close(self) -> None:
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1


def load_trim() -> Callable[[int], int] | None:
    """The C library's malloc_trim; None if it has none, as outside glibc."""
    import ctypes  # loaded only when memory is short

    try:
        trim = ctypes.CDLL(None).malloc_trim
    except (AttributeError, OSError):
        return None
    trim.argtypes, trim.restype = [ctypes.c_size_t], ctypes.c_int
    return trim
