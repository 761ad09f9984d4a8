"""The backends that may be drawn, indexed so that a change of one costs the same however many there are.

Nothing is decided here. A list of backends changes by single entries, hundreds a second in a release; each
is put in or taken out in constant time, and keeps its place under its zone, cell and rank.
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
    """A list of servers without a lasting order: adding, removing and drawing take constant time."""

    __slots__ = ("items", "positions")

    def __init__(self) -> None:
        self.items: list[Server] = []
        self.positions: dict[Server, int] = {}

    def remove(self, server: Server) -> None:
        """The last one takes its position. KeyError where it is not in."""
        position = self.positions.pop(server)
        last = self.items.pop()
        if last is not server:
            self.items[position] = last
            self.positions[last] = position


@dataclass(slots=True)
class MachineTypeRatings:
    """The ratings of the machines of one kind, summed up."""

    total: float = 0.0
    machines: int = 0


@dataclass(slots=True)
class IndexEntry:
    """Under what a server stands, so that it is found again whatever the list says of it by then."""

    machine_type: str
    rating: float
    groups: list[IndexedList]
    sequence: int  # in the order in which they were put in


class ServingSet:
    """The servers that serve and are not taken out by hand."""

    def __init__(self, scopes: frozenset[DedupScope]) -> None:
        """`scopes`: those in which backends drop repeats, by which servers have to be found."""
        self.scopes = scopes
        self.index_zones, self.index_cells = DedupScope.ZONE in scopes, DedupScope.CELL in scopes
        self.all = IndexedList()
        self.entries: dict[Server, IndexEntry] = {}
        self.added_count = 0  # servers so far
        self.zones: defaultdict[str, IndexedList] = defaultdict(IndexedList)
        self.cells: defaultdict[int, IndexedList] = defaultdict(IndexedList)
        self.ranks: defaultdict[int, IndexedList] = defaultdict(IndexedList)  # by this gateway's place there
        self.ratings_by_type: defaultdict[str, MachineTypeRatings] = defaultdict(MachineTypeRatings)
        self.cold: dict[Server, None] = {}  # those that were cold when they were last looked at
        self.weights_outdated = True  # since the draw's weights were last made

    def __len__(self) -> int:
        return len(self.all.items)

    def __contains__(self, server: object) -> bool:
        return server in self.entries

    def add(self, server: Server, is_cold: bool) -> None:
        """Puts in a server that is not in yet."""
        backend = server.backend
        lists = [self.all, self.ranks[server.place]]
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
        """Takes a server out, if it is in."""
        filed = self.entries.pop(server, None)
        if filed is None:
            return
        for each in filed.groups:
            each.remove(server)
        ratings = self.ratings_by_type[filed.machine_type]
        ratings.total -= filed.rating
        ratings.machines -= 1
        if not ratings.machines:
            del self.ratings_by_type[filed.machine_type]
        self.cold.pop(server, None)
        self.weights_outdated = True

    def group(self, scope: DedupScope, key: str | int) -> Sequence[Server]:
        """The servers of a zone or cell, or all of them."""
        if scope is DedupScope.ALL:
            return self.all.items
        found = self.zones.get(str(key)) if scope is DedupScope.ZONE else self.cells.get(int(key))
        return found.items if found is not None else ()

    def ranked_below(self, width: int, gateways: int) -> list[Server]:
        """Those at which this gateway is among the first `width` of all `gateways`."""
        if width >= gateways:
            return list(self.all.items)
        lists = (self.ranks.get(rank) for rank in range(width))
        found = [server for each in lists if each is not None for server in each.items]
        found.sort(key=lambda server: self.entries[server].sequence)  # the same draws whatever the ranks
        return found

    def relative_ratings(self) -> dict[str, float]:
        """The mean rating of each kind against that of all: a single backend's may be rough."""
        mean = sum(ratings.total for ratings in self.ratings_by_type.values()) / max(len(self), 1)
        if mean <= 0 or len(self.ratings_by_type) < 2:
            return {}
        return {kind: ratings.total / ratings.machines / mean or 1.0 for kind, ratings in self.ratings_by_type.items()}
