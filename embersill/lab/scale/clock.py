"""Clocks, processor time and memory of a process."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
UNIX_TIME_OFFSET = time.time() - time.monotonic()  # seconds from the monotonic clock to Unix time


def unix_time() -> float:
    """Unix time that does not jump, computed like in gateways from the monotonic clock."""
    return UNIX_TIME_OFFSET + time.monotonic()


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time that a process has used since its start, and its present memory."""

    cpu_seconds: float
    memory_bytes: int  # resident


def read_usage(pid: int) -> Usage:
    """Reads a process's usage. Raises OSError, ValueError or IndexError where it has exited."""
    with open(f"/proc/{pid}/stat", encoding="ascii", errors="replace") as file:
        fields = file.read().rpartition(")")[2].split()  # the program's name before it may contain spaces
    ticks = int(fields[11]) + int(fields[12])  # in user and in kernel mode
    return Usage(ticks / TICKS_PER_SECOND, int(fields[21]) * PAGE_BYTES)


def own_memory() -> int:
    """Resident bytes of this process."""
    return read_usage(os.getpid()).memory_bytes


def machine_memory() -> int:
    """Bytes of physical memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES
