"""How late the process of the soak's peers ran, and when; the checks allow for it."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from math import isfinite

AFFECTED_WINDOW = 0.5  # seconds before and after a moment in which lateness counts for it
MIN_RECORDED = 0.002  # seconds; less is ignored
TOO_LATE = 0.05  # seconds; as much as the slack of the rules, so that observations mean little


class Lateness:
    """Times at which the peers' process ran late, in ascending order."""

    def __init__(self) -> None:
        self.moments: list[float] = []
        self.seconds: list[float] = []

    def record(self, now: float, late: float) -> None:
        """Records that the process ran `late` seconds after it was due; `now` never decreases."""
        if late >= MIN_RECORDED:
            self.moments.append(now)
            self.seconds.append(late)

    def maximum(self) -> float:
        """The greatest lateness of the day, in seconds."""
        return max(self.seconds, default=0.0)

    def total(self) -> float:
        """Sum of all latenesses of at least TOO_LATE, in seconds."""
        return sum(late for late in self.seconds if late >= TOO_LATE)

    def maximum_near(self, *moments: float) -> float:
        """The greatest lateness near any of these times; infinite ones (no such event) are skipped."""
        maximum = 0.0
        for moment in moments:
            if not isfinite(moment):
                continue
            first = bisect_left(self.moments, moment - AFFECTED_WINDOW)
            end = bisect_right(self.moments, moment + AFFECTED_WINDOW)
            # A delay that was noticed after the window may have begun before the moment.
            while end < len(self.moments) and self.moments[end] - self.seconds[end] <= moment:
                end += 1
            maximum = max(maximum, max(self.seconds[first:end], default=0.0))
        return maximum
