"""Overload manager: keeps the memory that the kernel counts below the platform's limit.

The budget of embersill.net.memory bounds a sum of bytes that are held for peers. What the process really
uses is more: objects, free memory that the allocator keeps, and what nobody charges. So the kernel's figure
is read often, and as it nears the limit, in this order: free memory is returned, the budget shrinks, requests
that are incomplete give way, and no more connections are held than there are.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections import Counter as Tally
from typing import Protocol

from embersill.net.memory import MB, MemoryBudget

# Fractions of the limit: from the first on the budget shrinks, down to nothing at the second, where peers
# have to give way; from the third on the number of connections does not grow.
SHRINK_SHARE, SHED_SHARE, FREEZE_SHARE = 0.7, 0.85, 0.9
# Bytes below the limit by which peers give way and connections are frozen at the latest: what may be
# allocated between two checks does not depend on the limit.
SHED_MARGIN, FREEZE_MARGIN = 5 * MB, 3 * MB
CHARGE_PER_CHECK = 256 * 1024  # bytes charged after which the memory is read before the next periodic check
TRIM_INTERVAL = 0.1  # seconds at least between returns of free memory
TRIM_DUTY = 0.05  # fraction of the time for them at the most
MIN_TRIM_GAIN = 256 * 1024  # bytes: after a smaller gain the next return waits for USELESS_TRIM_INTERVAL
USELESS_TRIM_INTERVAL = 0.5  # seconds
COLLECT_INTERVAL = 2.0  # seconds between garbage collections while peers have to give way
START_MEMORY = 16 * MB  # bytes of a process that has started, until it is known
START_MARGIN = 3 * MB // 2  # bytes by which a successor may need more than this process did
MIN_CONNECTIONS = 64  # to which the number of connections may be limited


class Memory(Protocol):
    """The memory of a process."""

    def anonymous_bytes(self) -> int: ...

    def give_back(self) -> None: ...


class Front(Protocol):
    """The server of clients' connections, as far as overload is concerned."""

    def connection_count(self) -> int: ...

    def shed(self, size: int) -> None:
        """Ends requests that are incomplete, the costliest first, until about `size` bytes are freed."""


class OverloadManager:
    """Compares the process's memory with its limit and acts on the budget, the allocator and the connections.

    anonymous: bytes of the process when they were read last
    connection_limit: connections that the server may hold; None without a limit
    """

    def __init__(
        self, budget: MemoryBudget, limit: float, front: Front, figures: Tally[str], memory: Memory
    ) -> None:
        """`limit`: bytes, for this process and another one of an upgrade together."""
        self.budget, self.front, self.figures, self.memory = budget, front, figures, memory
        self.loop = asyncio.get_running_loop()
        self.limit, self.other = limit, 0.0
        self.at_start = START_MEMORY  # bytes that this process had once it was ready
        self.anonymous = 0
        self.connection_limit: int | None = None
        self.next_trim = self.next_collection = 0.0  # seconds of the monotonic clock
        self.relief: asyncio.Handle | None = None
        budget.watch_growth(CHARGE_PER_CHECK, self.measure)

    def start(self) -> None:
        """Notes what a process needs that has started and serves nobody."""
        self.measure()
        self.at_start = self.anonymous or START_MEMORY

    def has_room_for_successor(self) -> bool:
        """True if a process may be started beside this one."""
        self.measure()
        return self.anonymous + self.at_start + START_MARGIN <= self.limit

    def set_other(self, size: float) -> None:
        """Sets the bytes that the other process of an upgrade has, or may take; 0 without one."""
        self.other = size
        self.measure()

    @property
    def own_limit(self) -> float:
        """Bytes that this process may have."""
        return self.limit - self.other

    @property
    def shed_at(self) -> float:
        """Bytes from which on peers give way."""
        return min(SHED_SHARE * self.own_limit, self.own_limit - SHED_MARGIN)

    @property
    def freeze_at(self) -> float:
        """Bytes from which on the number of connections does not grow."""
        return min(FREEZE_SHARE * self.own_limit, self.own_limit - FREEZE_MARGIN)

    @property
    def shrink_at(self) -> float:
        """Bytes from which on the budget shrinks."""
        return min(SHRINK_SHARE * self.own_limit, self.shed_at - SHED_MARGIN)

    def measure(self) -> None:
        """Reads the memory and sets the budget by it; what is to be freed is freed after what runs now."""
        self.anonymous = self.memory.anonymous_bytes()
        shrink_at = self.shrink_at
        if self.anonymous <= shrink_at:
            self.budget.set_share(1.0)
            self.connection_limit = None
            return
        self.budget.set_share((self.shed_at - self.anonymous) / (self.shed_at - shrink_at))
        if self.relief is None:
            self.relief = self.loop.call_soon(self.relieve)

    def relieve(self) -> None:
        """Returns free memory, and lets peers give way where that is not enough."""
        self.relief = None
        self.give_back()
        if self.anonymous >= self.shed_at:
            self.collect()
            self.front.shed(int(self.anonymous - self.shrink_at))
        if self.anonymous >= self.freeze_at:
            if self.connection_limit is None:
                self.figures["connections frozen"] += 1
            self.connection_limit = max(self.front.connection_count(), MIN_CONNECTIONS)
        else:
            self.connection_limit = None

    def give_back(self) -> None:
        """Returns free memory to the kernel, unless that was done a moment ago."""
        begin = time.monotonic()
        if begin < self.next_trim:
            return
        before = self.anonymous
        self.memory.give_back()
        self.figures["memory returned"] += 1
        self.anonymous = self.memory.anonymous_bytes()
        end = time.monotonic()
        interval = max(TRIM_INTERVAL, (end - begin) / TRIM_DUTY)
        if before - self.anonymous < MIN_TRIM_GAIN:
            interval = max(interval, USELESS_TRIM_INTERVAL)
        self.next_trim = end + interval

    def collect(self) -> None:
        """Collects garbage, unless that was done a moment ago."""
        now = time.monotonic()
        if now >= self.next_collection:
            gc.collect()
            self.next_collection = now + COLLECT_INTERVAL

    def close(self) -> None:
        """Reads and frees nothing any more."""
        if self.relief is not None:
            self.relief.cancel()
        self.budget.watch_growth(0, None)
