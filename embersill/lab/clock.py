"""Virtual time: a queue of scheduled calls, ordered by time and then by the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Protocol

START_TIME = 1_000_000.0  # a run's time at its start, in seconds of Unix time


class ScheduledCall:
    """A call that is due at some time and may be cancelled until then."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the call; has no effect after it."""
        self.callback = None

    def run(self) -> None:
        callback, self.callback = self.callback, None
        if callback is not None:
            callback()


class Scheduler(Protocol):
    """A clock that runs calls later, in virtual or real time."""

    @property
    def now(self) -> float: ...

    def later(self, delay: float, callback: Callable[[], None]) -> ScheduledCall: ...


class VirtualClock:
    """Virtual time in seconds, from `start`; it stands still during a call."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self.queue: list[tuple[float, int, ScheduledCall]] = []
        self.sequence = count()

    def later(self, delay: float, callback: Callable[[], None]) -> ScheduledCall:
        """Schedules a call `delay` seconds from now. Raises ValueError for a negative delay or nan."""
        if not delay >= 0.0:
            raise ValueError(f"cannot schedule a call {delay} s from now")
        call = ScheduledCall(callback)
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), call))
        return call

    def run(self, until: float) -> None:
        """Runs all calls that are due by then, including those scheduled meanwhile."""
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.now, _, call = pop(queue)
            call.run()
        self.now = max(self.now, until)
