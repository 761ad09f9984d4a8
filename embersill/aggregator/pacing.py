"""Limits the rate of upstream calls: a token bucket, and a backoff after failures."""

from __future__ import annotations

import random

MIN_BACKOFF = 0.05  # seconds
MAX_BACKOFF = 2.0  # seconds
BURST_WINDOW = 0.1  # seconds of calls that a full bucket holds: bounds the burst after an idle time


class TokenBucket:
    """Allows `rate` calls per second on average and at most `capacity` calls at once."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.capacity = max(1.0, rate * BURST_WINDOW)
        self.tokens = self.capacity
        self.refilled_at = now

    def has_token(self, now: float) -> bool:
        """Refills the bucket and returns whether a call may be made now."""
        self.tokens = min(self.capacity, self.tokens + max(0.0, now - self.refilled_at) * self.rate)
        self.refilled_at = max(now, self.refilled_at)
        return self.tokens >= 1.0

    def take(self) -> None:
        """Removes the token that `has_token` reported."""
        self.tokens -= 1.0


class Backoff:
    """Pauses that double with each consecutive failure, with jitter so that aggregators retry apart."""

    def __init__(self, generator: random.Random) -> None:
        self.random = generator
        self.failures = 0
        self.until = 0.0

    def record_failure(self, now: float) -> None:
        """Starts a pause. Failures during a pause are of calls sent before it and don't extend it."""
        if now < self.until:
            return
        longest = min(MAX_BACKOFF, MIN_BACKOFF * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.until = now + longest * self.random.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Ends the pause and resets its length."""
        self.failures = 0
        self.until = 0.0
