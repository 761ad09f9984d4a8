"""The load of the machine: which tests run at the same time, and how busy it was during one that fails."""

from __future__ import annotations

import os
import pathlib
import re
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

STAT = pathlib.Path("/proc/stat")
PRESSURE = pathlib.Path("/proc/pressure/cpu")
IDLE_FIELDS = (3, 4)  # of the line of all cores: idle, and waiting for a disk
STOLEN_FIELD = 7  # taken by the host of a virtual machine
COUNTED_FIELDS = 8  # those after them are parts of the first ones
WAITING_TOTAL = re.compile(r"some .*total=(\d+)")
MICROSECOND = 1e-6  # seconds

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """Counters of the machine at one moment; `None`: the kernel does not tell."""

    at: float  # seconds of the monotonic clock
    ticks: int  # of all cores together
    idle_ticks: int
    stolen_ticks: int
    waited: float | None  # seconds in which some process waited for a core

    @classmethod
    def read(cls) -> MachineLoad:
        """Reads the counters from /proc."""
        first_line = STAT.read_text().partition("\n")[0]
        fields = [int(field) for field in first_line.split()[1 : COUNTED_FIELDS + 1]]
        idle = sum(fields[number] for number in IDLE_FIELDS)
        return cls(time.monotonic(), sum(fields), idle, fields[STOLEN_FIELD], read_waited())


def read_waited() -> float | None:
    """Reads the seconds since the boot in which some process waited for a core."""
    try:
        found = WAITING_TOTAL.search(PRESSURE.read_text())
    except OSError:
        return None
    return int(found[1]) * MICROSECOND if found else None


def describe_load(before: MachineLoad, after: MachineLoad) -> str:
    """One line on the time between two readings."""
    duration = max(after.at - before.at, MICROSECOND)
    ticks = max(after.ticks - before.ticks, 1)
    busy = 1 - (after.idle_ticks - before.idle_ticks) / ticks
    stolen = (after.stolen_ticks - before.stolen_ticks) / ticks
    parts = [f"{duration:.2f} s", f"cores busy {busy:.0%}", f"stolen {stolen:.1%}"]
    if before.waited is not None and after.waited is not None:
        waiting = (after.waited - before.waited) / duration
        parts.append(f"some process without a core {waiting:.0%} of the time")
    parts.append(f"load of the last minute {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    return ", ".join(parts)


def spread_evenly(few: Sequence[Item], many: Sequence[Item]) -> list[Item]:
    """Merges two sequences so that the items of each are as far apart as can be, in their order."""
    placed = [
        ((index + 0.5) / len(group), number, item)
        for number, group in enumerate((few, many))
        for index, item in enumerate(group)
    ]
    return [item for _, _, item in sorted(placed, key=lambda place: place[:2])]
