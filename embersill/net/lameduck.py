"""A lame duck's time: the gateway serves all that comes, says that it is not ready, and then ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from embersill.net.clients import Front


class LameDuck:
    """The time until the process is to end, if it is a lame duck. A successor goes on with it."""

    def __init__(self, clock: Callable[[], float], front: Front, over: Callable[[], None]) -> None:
        self.clock, self.front, self.on_expired = clock, front, over
        self.loop = asyncio.get_running_loop()
        self.ends_at: float | None = None
        self.timer: asyncio.TimerHandle | None = None

    def remaining(self) -> float | None:
        """Seconds until it ends, or None where it is no lame duck."""
        return None if self.ends_at is None else max(self.ends_at - self.clock(), 0.0)

    def set(self, left: float | None) -> None:
        """Makes it one for so many seconds, or with None takes that back."""
        self.stop_timer()
        self.front.leaving = left is not None
        self.ends_at = None if left is None else self.clock() + left
        self.start_timer()

    def stop_timer(self) -> None:
        """A successor keeps the time from now on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def start_timer(self) -> None:
        left = self.remaining()
        if left is not None:
            self.timer = self.loop.call_later(left, self.on_expired)
