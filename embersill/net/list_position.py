"""Position of a backend list in the history of discovery, and which of two lists is the newer one.

Processes of one gateway pass lists to each other, so a process has to choose between lists of different
origin. A generation alone does not decide: discovery may restart with a lower one, and a second discovery
counts on its own. So a list also has the time within which discovery made it, by the monotonic clock, which
all processes of a machine share.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from embersill.net.listing import Address, Entry


class ListSource(Enum):
    """How this process got the list that it goes by."""

    CONFIGURATION = "configuration"
    DISCOVERY = "discovery"
    LIST_LOG = "list log"  # written by an earlier process of this gateway
    PEER = "other process"  # sent by the predecessor or successor in an upgrade


class ListPosition(NamedTuple):
    """Where a list stands.

    generation: its generation at discovery
    highest: highest generation that this gateway ever had from this discovery, over all its processes
    discovery: addresses of the discovery that it comes from
    requested_at, received_at: seconds of the monotonic clock; discovery made the list between the two. None
        for a list of the configuration, whose age is unknown
    reloaded_to: addresses that SIGHUP made the gateway follow; empty if there was none
    """

    generation: int
    highest: int
    discovery: tuple[Address, ...]
    requested_at: float | None = None
    received_at: float | None = None
    reloaded_to: tuple[Address, ...] = ()

    def age(self) -> float | None:
        """Seconds since discovery was known to have this list; None if unknown."""
        return None if self.received_at is None else time.monotonic() - self.received_at

    def shares_discovery(self, addresses: Iterable[Address]) -> bool:
        """Whether the list comes from one of these addresses, so that their generations can be compared."""
        return not set(self.discovery).isdisjoint(addresses)

    def is_newer_than(self, other: ListPosition) -> bool:
        """Whether this list was made after the other one, which is from the same discovery."""
        if self.requested_at is None or self.received_at is None:
            return self.generation > (
                other.generation if other.received_at is None else other.highest)
        if other.requested_at is None or other.received_at is None:
            return other.generation <= self.highest
        if self.requested_at > other.received_at:
            return True
        return self.received_at >= other.requested_at and self.generation > other.generation

    def is_doubtful_after(self, other: ListPosition) -> bool:
        """Whether this answer came after the other one, from the same discovery, with a lower generation.

        Discovery may have restarted its generations, or a replica or a cache answers that is out of date.
        """
        if self.received_at is None or other.received_at is None:
            return False
        if not self.shares_discovery(other.discovery):
            return False
        return self.generation < other.generation and self.is_newer_than(other)

    def advanced(
        self, generation: int, discovery: tuple[Address, ...], requested_at: float, received_at: float
    ) -> ListPosition:
        """The position after an answer of discovery."""
        highest = max(generation, self.highest) if self.shares_discovery(discovery) else generation
        return self._replace(
            generation=generation, highest=highest, discovery=discovery, requested_at=requested_at,
            received_at=received_at)


class ListStatus(NamedTuple):
    """What operators are shown of the list in use; `age` in seconds, None if unknown."""

    generation: int
    source: ListSource
    age: float | None

    def __str__(self) -> str:
        age = "of unknown age" if self.age is None else f"{self.age:.0f} s old"
        return f"list {self.generation} ({self.source.value}, {age})"


class ListSnapshot(NamedTuple):
    """A whole list with its position."""

    position: ListPosition
    entries: dict[str, Entry]  # by the backend's id


def choose_predecessor_list(
    predecessor: ListPosition, own: ListPosition, addresses: Iterable[Address]
) -> bool:
    """Whether a successor goes by its predecessor's list in place of its own.

    `addresses`: of the discovery that the successor follows. Where the predecessor's list is from another
    one, an answer that the successor has got itself counts, and else the predecessor's list, as the list of
    a configuration may be out of date. A doubtful answer counts once it is confirmed.
    """
    if predecessor.shares_discovery(addresses) and own.shares_discovery(predecessor.discovery):
        return predecessor.is_newer_than(own) or own.is_doubtful_after(predecessor)
    return own.received_at is None or not own.shares_discovery(addresses)
