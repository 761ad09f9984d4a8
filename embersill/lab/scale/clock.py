"""Clocks and memory of a process."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
UNIX_TIME_OFFSET = time.time() - time.monotonic()  # seconds between the system's monotonic clock and Unix time


def unix_time() -> float:
    """Unix time that never jumps, as gateways have it."""
    return UNIX_TIME_OFFSET + time.monotonic()


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used up to now."""

    cpu_seconds: float
    memory_bytes: int  # resident


def read_usage(pid: int) -> Usage:
    """OSError or ValueError where the process is gone."""
    with open(f"/proc/{pid}/stat", encoding="ascii", errors="replace") as file:
        fields = file.read().rpartition(")")[2].split()  # the command's name may hold spaces
    ticks = int(fields[11]) + int(fields[12])  # in user and in kernel mode
    return Usage(ticks / TICKS_PER_SECOND, int(fields[21]) * PAGE_BYTES)


def own_memory() -> int:
    """Resident bytes of this process."""
    return read_usage(os.getpid()).memory_bytes


def machine_memory() -> int:
    """Bytes of memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES
