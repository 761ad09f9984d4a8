"""Lame duck period: the gateway still serves, reports that it is not ready, and exits when the time is up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from embersill.net.clients import ClientServer


class LameDuck:
    """The time until a draining process exits. A successor continues it.

    on_expired: called when the time is up
    """

    def __init__(
        self, clock: Callable[[], float], front: ClientServer, on_expired: Callable[[], None]
    ) -> None:
        self.clock, self.front, self.on_expired = clock, front, on_expired
        self.loop = asyncio.get_running_loop()
        self.ends_at: float | None = None
        self.timer: asyncio.TimerHandle | None = None

    def remaining(self) -> float | None:
        """Returns the seconds until the process exits, or None if it is not a lame duck."""
        return None if self.ends_at is None else max(self.ends_at - self.clock(), 0.0)

    def set(self, remaining: float | None) -> None:
        """Makes the process a lame duck for `remaining` seconds; None ends the lame duck period."""
        self.stop_timer()
        self.front.lame_duck = remaining is not None
        self.ends_at = None if remaining is None else self.clock() + remaining
        self.start_timer()

    def stop_timer(self) -> None:
        """Leaves the timing to the successor."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def start_timer(self) -> None:
        remaining = self.remaining()
        if remaining is not None:
            self.timer = self.loop.call_later(remaining, self.on_expired)
