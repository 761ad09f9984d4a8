"""Leases: who has not renewed, and whether that may be believed. Free of I/O; the time is told."""

from __future__ import annotations

from collections import deque

MAX_EXPIRED_SHARE = (
    0.2  # of the list that may run out within the window: more at once looks like the path, not the instances
)
REMOVAL_WINDOW = 60.0  # seconds; a release that takes longer over a fifth of the fleet is let through
MAX_TICK_DELAY = (
    1.0  # seconds that a tick may be late before the delay is given back: the renewals wait unread
)


class Leases:
    """Each id's end on the service's own monotonic clock."""

    def __init__(self, now: float, share: float = MAX_EXPIRED_SHARE, window: float = REMOVAL_WINDOW) -> None:
        self.share, self.window = share, window
        self.expires_at: dict[str, float] = {}
        self.last_tick_at = now
        self.removed_at: deque[float] = deque()  # when ids ran out and were removed, within the window
        self.removal_held = False  # removal waits for an operator, or for those that ran out to renew
        self.compensated_delay = 0.0  # seconds, in all

    def renew(self, id: str, seconds: float, now: float) -> None:
        self.expires_at[id] = now + seconds

    def drop(self, id: str) -> None:
        self.expires_at.pop(id, None)

    def remaining(self, id: str, now: float) -> float:
        return self.expires_at.get(id, now) - now

    def expired(self, now: float) -> list[str]:
        return sorted(
            (id for id, end in self.expires_at.items() if end <= now), key=self.expires_at.__getitem__
        )

    def tick(self, now: float, every: float) -> list[str]:
        """The ids to remove now; none while removal is held. Called every so many seconds."""
        late = now - self.last_tick_at - every
        if late > MAX_TICK_DELAY:
            self.compensated_delay += late
            self.expires_at = {id: end + late for id, end in self.expires_at.items()}
        self.last_tick_at = now
        while self.removed_at and self.removed_at[0] <= now - self.window:
            self.removed_at.popleft()
        out = self.expired(now)
        at_first = len(self.expires_at) + len(self.removed_at)  # the list as the window found it
        room = max(1, int(self.share * at_first)) - len(self.removed_at)
        self.removal_held = bool(out) and (
            self.removal_held or len(out) > room or len(out) == len(self.expires_at)
        )
        if self.removal_held:
            return []
        self.removed_at.extend(now for _ in out)
        return out

    def resume(self, now: float) -> list[str]:
        """An operator's word that those that ran out are gone; they are not counted against later ones."""
        out = self.expired(now) if self.removal_held else []
        self.removal_held = False
        return out
