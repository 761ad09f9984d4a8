"""Turns of connections in the event loop: none keeps the loop for long, however fast its peer sends.

What a connection has received and not parsed at the end of its turn waits here, and is parsed in short turns,
round robin. All of them together get a small part of each iteration of the loop, so that connections with
little to do are not delayed by those with much.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

TURN_TIME = 0.001  # seconds after which a turn ends, at the next opportunity
QUEUE_TIME = 0.002  # seconds of one loop iteration for the turns of all waiting connections
LITTLE_DATA = 1024  # bytes that are parsed at once, even while others wait: most requests are shorter
MIN_SLICE, MAX_SLICE = 4096, 64 * 1024  # bytes of a body that are parsed at a time


def next_slice_size(size: int, seconds: float) -> int:
    """Bytes of a body to parse at a time after `size` took so long: bodies in short chunks take longest."""
    if seconds > TURN_TIME:
        return max(size // 4, MIN_SLICE)
    return min(size * 2, MAX_SLICE) if seconds < TURN_TIME / 4 else size


class Parsing(Protocol):
    """A connection that parses what it has received."""

    def take_turn(self) -> None:
        """Parses for at most one turn; the connection queues again if it has more."""


class TurnQueue:
    """Connections that wait for their next turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.waiting: deque[Parsing] = deque()
        self.scheduled = False

    def add(self, connection: Parsing) -> None:
        """Appends a connection, which must not be waiting yet."""
        self.waiting.append(connection)
        self.schedule()

    def schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.run)

    def run(self) -> None:
        """Gives turns until QUEUE_TIME is over; the rest follows in the next iteration of the loop."""
        self.scheduled = False
        end = self.clock() + QUEUE_TIME
        for _ in range(len(self.waiting)):
            self.waiting.popleft().take_turn()
            if self.clock() >= end:
                break
        if self.waiting:
            self.schedule()
