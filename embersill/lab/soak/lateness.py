"""How late the peers of a soak were themselves, and when: a check allows for it around what it judges."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from math import isfinite

AFFECTED_WINDOW = 0.5  # seconds before and after a moment in which a peer's lateness bears on it
MIN_RECORDED = 0.002  # seconds
TOO_LATE = 0.05  # seconds from which a moment says little, as what the rules allow is no more


class Lateness:
    """Moments at which the peers' process ran late, in the order of time."""

    def __init__(self) -> None:
        self.moments: list[float] = []
        self.seconds: list[float] = []

    def record(self, now: float, late: float) -> None:
        """The process should have run `late` seconds before now."""
        if late >= MIN_RECORDED:
            self.moments.append(now)
            self.seconds.append(late)

    def maximum(self) -> float:
        """Of the whole day."""
        return max(self.seconds, default=0.0)

    def total(self) -> float:
        """Seconds of the day in which the process ran too late."""
        return sum(late for late in self.seconds if late >= TOO_LATE)

    def maximum_near(self, *moments: float) -> float:
        """The most near any of these moments; those that never came are passed over."""
        found = 0.0
        for moment in moments:
            if not isfinite(moment):
                continue
            first = bisect_left(self.moments, moment - AFFECTED_WINDOW)
            behind = bisect_right(self.moments, moment + AFFECTED_WINDOW)
            # one that ran late until after that time was late at the moment as well
            while behind < len(self.moments) and self.moments[behind] - self.seconds[behind] <= moment:
                behind += 1
            found = max(found, max(self.seconds[first:behind], default=0.0))
        return found
