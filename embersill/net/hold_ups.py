"""When the event loop was held up, so that what is read after it is not taken for what came just now."""

from __future__ import annotations

CHECK_INTERVAL = 0.1  # seconds between looks
STALL_THRESHOLD = 0.05  # seconds by which looks are late from which the loop counts as held up


class LoopStalls:
    """Told of each look of a loop. All times are seconds of the monotonic clock.

    The loop polls all connections between any two looks. So what is read now came after the look before the
    last one. A single read proves less: its event may have been polled before the loop was held up.
    """

    def __init__(self, now: float) -> None:
        self.last_check = self.previous_check = now
        self.last_delay = 0.0  # seconds by which the last look was

    def record_check(self, now: float) -> float:
        """A look runs; returns the seconds by which it is late."""
        self.last_delay = now - self.last_check - CHECK_INTERVAL
        self.previous_check, self.last_check = self.last_check, now
        return self.last_delay

    def earliest_arrival(self, now: float) -> float:
        """When bytes that are read now may have come: now, unless looks show that the loop was held up."""
        overdue = max(now - self.last_check - CHECK_INTERVAL, 0.0)
        return self.previous_check if self.last_delay + overdue > STALL_THRESHOLD else now
