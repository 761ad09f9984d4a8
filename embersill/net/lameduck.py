"""A lame duck's time: the gateway serves all that comes, says that it is not ready, and then ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from embersill.net.clients import ClientServer


class LameDuck:
    """The time until the process is to end, if it is a lame duck. A successor goes on with it."""

    def __init__(self, clock: Callable[[], float], front: ClientServer, over: Callable[[], None]) -> None:
        self.clock, self.front, self.over = clock, front, over
        self.loop = asyncio.get_running_loop()
        self.until: float | None = None
        self.timer: asyncio.TimerHandle | None = None

    def left(self) -> float | None:
        """Seconds until it ends, or None where it is no lame duck."""
        return None if self.until is None else max(self.until - self.clock(), 0.0)

    def set(self, left: float | None) -> None:
        """Makes it one for so many seconds, or with None takes that back."""
        self.hand_on()
        self.front.lame_duck = left is not None
        self.until = None if left is None else self.clock() + left
        self.go_on()

    def hand_on(self) -> None:
        """A successor keeps the time from now on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def go_on(self) -> None:
        left = self.left()
        if left is not None:
            self.timer = self.loop.call_later(left, self.over)
