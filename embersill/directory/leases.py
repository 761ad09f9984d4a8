"""Leases: who has not renewed, and whether that may be believed. Free of I/O; the time is told."""

from __future__ import annotations

from collections import deque

SHARE = (
    0.2  # of the list that may run out within the window: more at once looks like the path, not the instances
)
WINDOW = 60.0  # seconds; a release that takes longer over a fifth of the fleet is let through
LATE = 1.0  # seconds that a tick may be late before the delay is given back: the renewals wait unread


class Leases:
    """Each id's end on the service's own monotonic clock."""

    def __init__(self, now: float, share: float = SHARE, window: float = WINDOW) -> None:
        self.share, self.window = share, window
        self.ends: dict[str, float] = {}
        self.ticked = now
        self.removed: deque[float] = deque()  # when ids ran out and were removed, within the window
        self.held = False  # removal waits for an operator, or for those that ran out to renew
        self.given_back = 0.0  # seconds, in all

    def keep(self, id: str, seconds: float, now: float) -> None:
        self.ends[id] = now + seconds

    def drop(self, id: str) -> None:
        self.ends.pop(id, None)

    def left(self, id: str, now: float) -> float:
        return self.ends.get(id, now) - now

    def run_out(self, now: float) -> list[str]:
        return sorted((id for id, end in self.ends.items() if end <= now), key=self.ends.__getitem__)

    def tick(self, now: float, every: float) -> list[str]:
        """The ids to remove now; none while removal is held. Called every so many seconds."""
        late = now - self.ticked - every
        if late > LATE:
            self.given_back += late
            self.ends = {id: end + late for id, end in self.ends.items()}
        self.ticked = now
        while self.removed and self.removed[0] <= now - self.window:
            self.removed.popleft()
        out = self.run_out(now)
        at_first = len(self.ends) + len(self.removed)  # the list as the window found it
        room = max(1, int(self.share * at_first)) - len(self.removed)
        self.held = bool(out) and (self.held or len(out) > room or len(out) == len(self.ends))
        if self.held:
            return []
        self.removed.extend(now for _ in out)
        return out

    def resume(self, now: float) -> list[str]:
        """An operator's word that those that ran out are gone; they are not counted against later ones."""
        out = self.run_out(now) if self.held else []
        self.held = False
        return out
