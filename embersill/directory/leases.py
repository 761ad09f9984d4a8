"""Leases: which instances have not renewed, and whether they may be removed for it.

Removal is held while too many leases expire together: then the network or this service is the likelier cause
than the instances. The module does no I/O and gets the time as an argument.
"""

from __future__ import annotations

from collections import deque

MAX_EXPIRED_SHARE = 0.2  # share of the list that may be removed within the window, see above
REMOVAL_WINDOW = 60.0  # seconds; a release that takes longer to replace a fifth of the fleet is not held
MAX_TICK_DELAY = 1.0  # seconds; a longer delay of a tick extends all leases: renewals were waiting unread


class Leases:
    """When each instance's lease expires, in seconds of the service's monotonic clock."""

    def __init__(self, now: float, share: float = MAX_EXPIRED_SHARE, window: float = REMOVAL_WINDOW) -> None:
        self.share, self.window = share, window
        self.expires_at: dict[str, float] = {}
        self.last_tick_at = now
        self.removed_at: deque[float] = deque()  # a time for each removal within the window
        self.removal_held = False  # until the expired leases are renewed or an operator resumes removal
        self.compensated_delay = 0.0  # total seconds by which leases were extended for late ticks

    def renew(self, id: str, seconds: float, now: float) -> None:
        """Starts or extends a lease: it expires so many seconds from now."""
        self.expires_at[id] = now + seconds

    def drop(self, id: str) -> None:
        """Removes a lease, if there is one."""
        self.expires_at.pop(id, None)

    def remaining(self, id: str, now: float) -> float:
        """Seconds until the lease expires, negative once it has; 0 if there is none."""
        return self.expires_at.get(id, now) - now

    def expired(self, now: float) -> list[str]:
        """The ids of expired leases, the first to expire first."""
        return sorted(
            (id for id, end in self.expires_at.items() if end <= now), key=self.expires_at.__getitem__
        )

    def tick(self, now: float, interval: float) -> list[str]:
        """The ids to remove now; none while removal is held. Called once per interval, in seconds.

        Removal is held if more leases expired than the share allows within the window, or all of them.
        """
        delay = now - self.last_tick_at - interval
        if delay > MAX_TICK_DELAY:
            self.compensated_delay += delay
            self.expires_at = {id: end + delay for id, end in self.expires_at.items()}
        self.last_tick_at = now
        while self.removed_at and self.removed_at[0] <= now - self.window:
            self.removed_at.popleft()
        expired = self.expired(now)
        initial_count = len(self.expires_at) + len(self.removed_at)  # at the beginning of the window
        allowed = max(1, int(self.share * initial_count)) - len(self.removed_at)
        self.removal_held = bool(expired) and (
            self.removal_held or len(expired) > allowed or len(expired) == len(self.expires_at)
        )
        if self.removal_held:
            return []
        self.removed_at.extend(now for _ in expired)
        return expired

    def resume(self, now: float) -> list[str]:
        """Ends the hold, by an operator's order; the ids to remove, which don't count in the window."""
        expired = self.expired(now) if self.removal_held else []
        self.removal_held = False
        return expired
