"""One amount of memory for all bytes that the gateway holds for its peers, whoever sent them and in any form.

Each holder charges what it holds. As memory becomes short, peers may have less buffered each, so that it is
read from them more slowly. Where none is left, what would hold more gives way: `Account.charge` tells it.
"""

from __future__ import annotations

from collections.abc import Callable

MB = 1024 * 1024  # bytes
BASE_MEMORY = 16 * MB  # bytes used by the runtime and the program without traffic
CLIENT_MEMORY = 10 * 1024  # bytes for a client connection, with UNCHARGED_SIZE
BACKEND_MEMORY = 10 * 1024  # bytes for a connection to a backend, with UNCHARGED_SIZE
BUFFER_SHARE = 0.7  # fraction of the rest for what is held: the allocator leaves gaps between buffers
MIN_LIMIT = 256 * 1024  # bytes
# Bytes up to which buffers may use what a successor would need: without them little could be served.
SMALL_LIMIT = 4 * MB
# Bytes that are held without a charge, so that most requests are served even where no memory is left.
UNCHARGED_SIZE = 2048
PEERS_PER_REST = 32  # what is left, divided by this, is what is read from one peer at a time
MAX_PEER_BUFFER = 64 * 1024  # bytes
MAX_STREAM_BUFFER = 8 * 1024  # bytes, beside what one read brings: more is copied more often
DEFAULT_LIMIT = 64 * MB  # bytes
REQUEST_MEMORY = 3 * 1024  # bytes of objects for a request that is in progress
MAX_PIPELINED = 16  # requests in progress on one connection; further ones are not parsed


def plan_budget(total: float, clients: int, backends: int) -> MemoryBudget:
    """The budget of a process with these connections; with a successor it may use `total` bytes."""
    free = total - BASE_MEMORY - clients * CLIENT_MEMORY - backends * BACKEND_MEMORY
    beside_successor = BUFFER_SHARE * (free - BASE_MEMORY)
    limit = max(beside_successor, min(BUFFER_SHARE * free, SMALL_LIMIT), MIN_LIMIT)
    return MemoryBudget(int(limit), int(max(beside_successor / 2, MIN_LIMIT)))


class MemoryBudget:
    """What all accounts together are charged, and the limit.

    The limit is lower while the process shares its memory with a predecessor or successor.

    peer_buffer: bytes that are read from one peer at a time
    stream_buffer: bytes buffered of one peer's stream from which on nothing more is read from it
    max_pipelined: requests that may be in progress on one connection
    """

    def __init__(self, limit: int = DEFAULT_LIMIT, shared_limit: int = DEFAULT_LIMIT) -> None:
        """`limit`, `shared_limit`: bytes, for one process and for each of two."""
        self.own_limit, self.shared_limit = limit, shared_limit
        self.limit, self.used = limit, 0
        self.is_shared, self.share = False, 1.0
        self.peer_buffer = self.stream_buffer = self.max_pipelined = 0
        self.growth = self.growth_per_call = 0  # bytes; see watch_growth
        self.on_growth: Callable[[], None] | None = None
        self.add(0)

    def set_shared(self, shared: bool) -> None:
        """Chooses the limit."""
        self.is_shared = shared
        self.set_share(self.share)

    def set_share(self, share: float) -> None:
        """Limits what is charged to a fraction of the planned limit."""
        self.share = min(max(share, 0.0), 1.0)
        limit = int(self.share * (self.shared_limit if self.is_shared else self.own_limit))
        if limit != self.limit:
            self.limit = limit
            self.add(0)

    def watch_growth(self, size: int, on_growth: Callable[[], None] | None) -> None:
        """Calls `on_growth` whenever `size` bytes more were charged, also if others were freed meanwhile."""
        self.growth_per_call, self.on_growth = size, on_growth

    def add(self, change: int) -> None:
        """Counts bytes that are held from now on, or no longer."""
        self.used += change
        share = (self.limit - self.used) // PEERS_PER_REST
        self.peer_buffer = min(max(share, UNCHARGED_SIZE), MAX_PEER_BUFFER)
        self.stream_buffer = min(self.peer_buffer, MAX_STREAM_BUFFER)
        self.max_pipelined = min(max(share // REQUEST_MEMORY, 1), MAX_PIPELINED)
        if change > 0 and self.on_growth is not None:
            self.growth += change
            if self.growth >= self.growth_per_call:
                self.growth = 0
                self.on_growth()

    @property
    def is_exhausted(self) -> bool:
        """True if there is no room for what one peer may send at a time."""
        return self.limit - self.used < MAX_PEER_BUFFER

    def has_room(self, size: int) -> bool:
        """True if `size` bytes more may be held."""
        return size <= UNCHARGED_SIZE or self.used + size <= self.limit


class Account:
    """What one holder has charged to the budget."""

    __slots__ = ("budget", "charged")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.charged = budget, 0

    def charge(self, held: int) -> bool:
        """Charges the bytes that are held now; False if they are more than before and over the limit."""
        if held <= UNCHARGED_SIZE:
            held = 0
        change = held - self.charged
        if change:
            self.budget.add(change)
            self.charged = held
        return change <= 0 or self.budget.used <= self.budget.limit
