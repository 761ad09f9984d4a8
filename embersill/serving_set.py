"""Index of the backends that requests may be sent to, by zone, cell and rank.

The backend list changes one entry at a time, hundreds of times a second during a release. Adding or removing
a backend takes constant time, independent of the number of backends. No decisions are made here.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from embersill.interface import DedupScope

if TYPE_CHECKING:
    from embersill.control import Server


class IndexedList:
    """An unordered list of servers with constant-time append, removal and random access."""

    __slots__ = ("items", "positions")

    def __init__(self) -> None:
        self.items: list[Server] = []
        self.positions: dict[Server, int] = {}

    def remove(self, server: Server) -> None:
        """Removes a server and moves the last one to its position. KeyError if it is not in the list."""
        position = self.positions.pop(server)
        last = self.items.pop()
        if last is not server:
            self.items[position] = last
            self.positions[last] = position


@dataclass(slots=True)
class MachineTypeRatings:
    """Sum of the ratings of the backends of one machine type, and their number."""

    total: float = 0.0
    machines: int = 0


@dataclass(slots=True)
class IndexEntry:
    """The keys under which a server was added: its backend's listed data may have changed since."""

    machine_type: str
    rating: float
    groups: list[IndexedList]
    sequence: int  # order of insertion


class ServingSet:
    """The servers that are serving and not suspended by the operator."""

    def __init__(self, scopes: frozenset[DedupScope]) -> None:
        """`scopes`: the deduplication scopes in use; servers are indexed by zone and cell only for these."""
        self.scopes = scopes
        self.index_zones, self.index_cells = DedupScope.ZONE in scopes, DedupScope.CELL in scopes
        self.all = IndexedList()
        self.entries: dict[Server, IndexEntry] = {}
        self.added_count = 0  # number of additions so far
        self.zones: defaultdict[str, IndexedList] = defaultdict(IndexedList)
        self.cells: defaultdict[int, IndexedList] = defaultdict(IndexedList)
        self.ranks: defaultdict[int, IndexedList] = defaultdict(IndexedList)  # by this gateway's rank there
        self.ratings_by_type: defaultdict[str, MachineTypeRatings] = defaultdict(MachineTypeRatings)
        self.cold: dict[Server, None] = {}  # servers that were in slow start when last checked
        self.weights_outdated = True  # changed since the selection weights were last computed

    def __len__(self) -> int:
        return len(self.all.items)

    def __contains__(self, server: object) -> bool:
        return server in self.entries

    def add(self, server: Server, is_cold: bool) -> None:
        """Adds a server that is not in the set."""
        backend = server.backend
        lists = [self.all, self.ranks[server.rank]]
        if self.index_zones:
            lists.append(self.zones[backend.zone])
        if self.index_cells:
            lists.append(self.cells[backend.cell])
        for each in lists:
            each.positions[server] = len(each.items)
            each.items.append(server)
        rating = max(backend.rating, 0.0)
        ratings = self.ratings_by_type[backend.machine_type]
        ratings.total += rating
        ratings.machines += 1
        self.added_count += 1
        self.entries[server] = IndexEntry(backend.machine_type, rating, lists, self.added_count)
        if is_cold:
            self.cold[server] = None
        self.weights_outdated = True

    def discard(self, server: Server) -> None:
        """Removes a server if it is in the set."""
        entry = self.entries.pop(server, None)
        if entry is None:
            return
        for each in entry.groups:
            each.remove(server)
        ratings = self.ratings_by_type[entry.machine_type]
        ratings.total -= entry.rating
        ratings.machines -= 1
        if not ratings.machines:
            del self.ratings_by_type[entry.machine_type]
        self.cold.pop(server, None)
        self.weights_outdated = True

    def group(self, scope: DedupScope, key: str | int) -> Sequence[Server]:
        """The servers of the zone or cell `key`, or all servers for `DedupScope.ALL`."""
        if scope is DedupScope.ALL:
            return self.all.items
        found = self.zones.get(str(key)) if scope is DedupScope.ZONE else self.cells.get(int(key))
        return found.items if found is not None else ()

    def ranked_below(self, rank_limit: int, gateways: int) -> list[Server]:
        """The servers at which this gateway's rank among `gateways` is below `rank_limit`, oldest first."""
        if rank_limit >= gateways:
            return list(self.all.items)
        lists = (self.ranks.get(rank) for rank in range(rank_limit))
        found = [server for each in lists if each is not None for server in each.items]
        # insertion order, so that a random pick with a given seed does not depend on the ranks
        found.sort(key=lambda server: self.entries[server].sequence)
        return found

    def relative_ratings(self) -> dict[str, float]:
        """Mean rating of each machine type relative to the mean of all servers.

        Means are used because the rating of a single backend may be imprecise. Empty if there is only one
        machine type or no rating above 0.
        """
        mean = sum(ratings.total for ratings in self.ratings_by_type.values()) / max(len(self), 1)
        if mean <= 0 or len(self.ratings_by_type) < 2:
            return {}
        return {
            machine_type: ratings.total / ratings.machines / mean or 1.0
            for machine_type, ratings in self.ratings_by_type.items()
        }
