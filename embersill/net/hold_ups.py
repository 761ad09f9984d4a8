"""Stalls of the event loop, which make data that is read after them older than it seems."""

from __future__ import annotations

CHECK_INTERVAL = 0.1  # seconds between the loop's periodic checks
STALL_THRESHOLD = 0.05  # seconds by which a check is late when the loop counts as stalled


class LoopStalls:
    """Derives stalls from the times of the loop's periodic checks, in seconds of the monotonic clock.

    The loop polls all connections between any two checks. So data that is read now arrived after the check
    before the last one. A single read proves less, as its event may have been polled before a stall.
    """

    def __init__(self, now: float) -> None:
        self.last_check = self.previous_check = now
        self.last_delay = 0.0  # seconds by which the last check was late

    def record_check(self, now: float) -> float:
        """Records that a check runs now; returns the seconds by which it is late."""
        self.last_delay = now - self.last_check - CHECK_INTERVAL
        self.previous_check, self.last_check = self.last_check, now
        return self.last_delay

    def earliest_arrival(self, now: float) -> float:
        """The earliest time at which bytes read now may have arrived: `now`, unless the loop was stalled."""
        overdue = max(now - self.last_check - CHECK_INTERVAL, 0.0)
        return self.previous_check if self.last_delay + overdue > STALL_THRESHOLD else now
