"""Limits the pace of upstream calls: a token bucket, and a backoff after failures."""

from __future__ import annotations

import random

MIN_BACKOFF = 0.05  # seconds
MAX_BACKOFF = 2.0  # seconds
BURST_WINDOW = 0.1  # seconds' worth of tokens that an idle bucket holds: bounds the burst after a pause


class TokenBucket:
    """Grants `rate` calls a second, and after a pause at most `capacity` at once."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.capacity = max(1.0, rate * BURST_WINDOW)
        self.tokens = self.capacity
        self.refilled_at = now

    def has_token(self, now: float) -> bool:
        """Whether a call may be made now."""
        self.tokens = min(self.capacity, self.tokens + max(0.0, now - self.refilled_at) * self.rate)
        self.refilled_at = max(now, self.refilled_at)
        return self.tokens >= 1.0

    def take(self) -> None:
        """Uses up a token that `has_token` found."""
        self.tokens -= 1.0


class Backoff:
    """Pauses that double with each failure in a row, jittered so that a fleet does not return together."""

    def __init__(self, generator: random.Random) -> None:
        self.random = generator
        self.failures = 0
        self.until = 0.0

    def record_failure(self, now: float) -> None:
        """Begins or lengthens the pause; failures of calls sent before the pause do not lengthen it."""
        if now < self.until:
            return
        longest = min(MAX_BACKOFF, MIN_BACKOFF * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.until = now + longest * self.random.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Ends the pause."""
        self.failures = 0
        self.until = 0.0
