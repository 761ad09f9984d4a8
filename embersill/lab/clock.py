"""Time: virtual, as one queue of events, in the order of their times, then of their setting."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Protocol

BEGIN = 1_000_000.0  # a run's time at its start: some hour of a Unix day


class Event:
    """Something that is to happen; it may be cancelled until then."""

    __slots__ = ("what",)

    def __init__(self, what: Callable[[], None]) -> None:
        self.what: Callable[[], None] | None = what

    def cancel(self) -> None:
        """Makes it happen never; also after it has happened, where that changes nothing."""
        self.what = None

    def happen(self) -> None:
        what, self.what = self.what, None
        if what is not None:
            what()


class Time(Protocol):
    """What the parts of a deployment need of a clock, virtual or real."""

    @property
    def now(self) -> float: ...

    def later(self, delay: float, what: Callable[[], None]) -> Event: ...


class Clock:
    """Seconds since `start`, which stand still while an event happens."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self.queue: list[tuple[float, int, Event]] = []
        self.numbers = count()

    def later(self, delay: float, what: Callable[[], None]) -> Event:
        """Sets an event `delay` seconds from now; ValueError for a time that has passed."""
        if not delay >= 0.0:
            raise ValueError(f"an event {delay} s from now")
        event = Event(what)
        heapq.heappush(self.queue, (self.now + delay, next(self.numbers), event))
        return event

    def run(self, until: float) -> None:
        """Lets happen all that is due by then, what that sets included."""
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.now, _, event = pop(queue)
            event.happen()
        self.now = max(self.now, until)
