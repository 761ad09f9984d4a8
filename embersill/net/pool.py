"""The pool of connections to backends: their states, and the attempts that wait for one.

It uses neither sockets nor the event loop: a PooledConnection carries out what the pool asks for, and reports
what became of it. The decision module chooses the backend of an attempt and the size of each backend's pool.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Protocol

from embersill.interface import Outcome, PoolSettings

# factors on an idle time that a connection did not survive, or did: the limit that is tried next
IDLE_DECREASE, IDLE_INCREASE = 0.5, 1.25
MIN_IDLE_TIME = 0.02  # seconds for which an idle connection is kept in any case, for back-to-back attempts
STALE_BREAK_WITHIN = 0.01  # seconds after a write within which a connection breaks that was dead before it
# seconds for which a backend counts as alive after its last answer: a failed open then means that its table
# of connections is full. Opens time out within a fraction of this
ALIVE_FOR = 2.0
DEFAULT_MARGIN = PoolSettings().margin
MAX_MARGIN_SHARE = 0.25  # of the backends' idle limit that the default margin before it may take
AGE_SPREAD = 0.2  # of max_age, either way: connections that were opened together are not closed together

Address = tuple[str, int]


class ConnectionState(Enum):
    """What a connection is doing."""

    OPENING = "opening"
    IDLE = "idle"
    IN_USE = "in use"
    RETIRING = "retiring"  # in use, and to be closed after its answer
    CLOSED = "closed"


class OpenFailure(Enum):
    """Why a connection could not be opened."""

    REFUSED = "refused"
    TIMED_OUT = "silent"
    LOCAL = "no descriptor"  # the fault is in this process or host, not at the backend


class Waiter(Protocol):
    """An attempt, as far as the pool is concerned."""

    backend: str
    until: float
    sent_at: float

    def lost(self, outcome: Outcome) -> None:
        """Ends an attempt that gets no connection."""
        ...


class PooledConnection:
    """One connection, as far as the pool is concerned.

    It calls the pool's `connection_closed` once it holds no descriptor any more.
    """

    def __init__(self, backend: str) -> None:
        self.backend, self.state = backend, ConnectionState.OPENING
        self.idle_since = 0.0
        self.idle_time = 0.0  # seconds that it had been idle when it was last taken
        self.reused = False
        self.in_reuse_delay = False  # answered, but not to be used again yet
        self.retire_at = float("inf")

    def send(self, attempt: Waiter, wait: float) -> None:
        """Writes an attempt; `wait`: seconds that the backend has for it."""
        raise NotImplementedError

    def abort(self) -> None:
        """Closes the connection, or cancels its opening."""
        raise NotImplementedError

    def is_reusable(self) -> bool:
        """True while it is open and has no unread bytes."""
        raise NotImplementedError


Opener = Callable[[str, Address], PooledConnection]


@dataclass(slots=True, eq=False)
class BackendPool:
    """The connections to one backend and the attempts that wait for one."""

    address: Address | None = None
    started_at: float | None = None
    idle: list[PooledConnection] = field(default_factory=list)  # the one used last is at the end
    opening: list[PooledConnection] = field(default_factory=list)
    in_use: set[PooledConnection] = field(default_factory=set)
    in_reuse_delay: int = 0  # number of those in use that will be free in a moment
    waiting: deque[Waiter] = field(default_factory=deque)
    proven_idle_time: float = float("inf")  # seconds of idleness that connections there survived
    last_response_at: float = float("-inf")  # when the last answer arrived
    max_idle: float = float("inf")  # limit on idle connections
    max_connections: float = float("inf")  # limit on connections in all states
    max_idle_time: float = float("inf")  # seconds until an idle connection is closed

    def size(self) -> int:
        return len(self.idle) + len(self.opening) + len(self.in_use)


class Pool:
    """All connections to backends, at most `max_connections` of them."""

    def __init__(
        self, clock: Callable[[], float], opener: Opener, max_connections: int, keepalive: float,
        settings: PoolSettings, seed: int = 0,
    ) -> None:
        """`keepalive`: seconds after which backends close idle connections."""
        self.clock, self.opener, self.max_connections, self.keepalive = (
            clock, opener, max_connections, keepalive)
        self.settings, self.random = settings, Random(seed)
        self.backends: dict[str, BackendPool] = {}
        self.connections: set[PooledConnection] = set()  # all that may hold a descriptor
        self.idle_connections: dict[PooledConnection, BackendPool] = {}  # the one idle for longest is first
        self.in_reuse_delay = 0  # number of those in use that will be free in a moment
        self.opening = 0  # number being opened
        self.backends_waiting: dict[str, None] = {}  # backends that may not open one yet, first come first
        self.held_by_predecessor = 0  # the predecessor's connections, which count under the same limit
        self.keeps_idle = True  # idle connections are kept for further attempts
        self.figures: Tally[str] = Tally()
        # called where an open failed although the backend is alive, with the number of open connections to it
        self.on_open_failed: Callable[[str, int], None] = lambda backend, open_connections: None
        # called with the backend and the reason of every connection that the pool closes
        self.on_close: Callable[[str, str], None] = lambda backend, reason: None

    def idle_limit(self, pool: BackendPool) -> float:
        """Seconds for which connections to a backend may be idle."""
        margin = self.settings.margin
        if margin == DEFAULT_MARGIN:  # operators who configure another one know their backends' limit
            margin = min(margin, MAX_MARGIN_SHARE * self.keepalive)
        return max(min(self.keepalive - margin, pool.max_idle_time), MIN_IDLE_TIME)

    # instructions from the backend list and the decision module

    def set_address(self, backend: str, address: Address, started_at: float | None = None) -> None:
        """Sets where a backend listens; connections to its previous address or process are closed."""
        pool = self.backends.setdefault(backend, BackendPool())
        if (pool.address, pool.started_at) == (address, started_at):
            return
        self.close_or_retire_all(pool, "moved")
        pool.address, pool.started_at = address, started_at
        pool.proven_idle_time = pool.max_connections = pool.max_idle = pool.max_idle_time = float("inf")
        pool.last_response_at = float("-inf")
        self.open_for(backend, pool)

    def retire(self, backend: str) -> None:
        """For a draining or removed backend: nothing is written to it from now on, not even waiting attempts.

        Attempts in flight go on to their ends, and their connections are closed after them.
        """
        pool = self.backends.get(backend)
        if pool is not None:
            pool.address = None
            self.close_unused(backend)
            self.drop_unused(backend, pool)

    def close_unused(self, backend: str) -> None:
        """Closes a backend's connections that carry no attempt, and ends the attempts that wait for one."""
        pool = self.backends.get(backend)
        if pool is not None:
            self.close_or_retire_all(pool, "hung up")
            while pool.waiting:
                pool.waiting.popleft().lost(Outcome.NO_CONNECTION)

    def retire_unlisted(self, known: Iterable[str]) -> None:
        """After a full list: retires the backends that it does not name."""
        known = set(known)
        for backend in [b for b in self.backends if b not in known]:
            self.retire(backend)

    def set_size(self, backend: str, max_idle: float, max_connections: float, max_idle_time: float) -> None:
        """Limits the idle connections, all connections, and the seconds of idleness."""
        pool = self.backends.get(backend)
        if pool is not None:
            pool.max_idle, pool.max_connections, pool.max_idle_time = (
                max_idle, max_connections, max_idle_time)
            while len(pool.idle) > max_idle:
                self.close_unassigned(pool, pool.idle[0], "surplus")
            self.open_for(backend, pool)

    def preconnect(self, backend: str, count: int) -> None:
        """Opens connections until `count` of them are idle or being opened."""
        pool = self.backends.get(backend)
        while pool is not None and len(pool.idle) + len(pool.opening) < count and self.may_open(pool):
            self.figures["pool warmed"] += 1
            self.open(backend, pool)

    def stop_keeping_idle(self) -> None:
        """Closes connections after their attempts from now on: a successor needs the descriptors."""
        self.keeps_idle = False
        for connection, pool in list(self.idle_connections.items()):
            self.close_unassigned(pool, connection, "handed over")

    def close_idle(self, backend: str) -> None:
        """After an attempt timed out: connections to a machine that lost its network stay open but silent."""
        pool = self.backends.get(backend)
        while pool is not None and pool.idle:
            self.close_unassigned(pool, pool.idle[0], "silent")

    # attempts

    def start(self, attempt: Waiter) -> None:
        """Assigns a connection to an attempt, now or once there is one."""
        pool = self.backends.get(attempt.backend)
        if pool is None or pool.address is None:
            return attempt.lost(Outcome.NO_CONNECTION)
        connection = self.take_reusable(pool)
        if connection is not None:
            return self.assign(pool, connection, attempt)
        pool.waiting.append(attempt)
        self.open_for(attempt.backend, pool)
        return self.fail_unservable(pool)

    def withdraw(self, attempt: Waiter) -> None:
        """Removes a waiting attempt; connections being opened go on, for other attempts or as idle ones."""
        pool = self.backends.get(attempt.backend)
        if pool is not None and attempt in pool.waiting:
            pool.waiting.remove(attempt)
            if not pool.waiting:
                self.backends_waiting.pop(attempt.backend, None)

    def timeout_outcome(self, attempt: Waiter) -> Outcome:
        """The outcome of an attempt that timed out in the queue.

        NO_CONNECTION while connections to its backend are being opened, else NOT_SENT: no slot was free.
        """
        pool = self.backends.get(attempt.backend)
        return Outcome.NO_CONNECTION if pool is not None and pool.opening else Outcome.NOT_SENT

    def take_reusable(self, pool: BackendPool) -> PooledConnection | None:
        """The idle connection used last; those found too old or unusable on the way are closed."""
        now = self.clock()
        while pool.idle:
            connection = pool.idle[-1]
            connection.idle_time = now - connection.idle_since
            if (
                connection.idle_time >= min(pool.proven_idle_time, self.idle_limit(pool))
                or now >= connection.retire_at
            ):
                self.close_unassigned(pool, connection, "aged")
            elif not connection.is_reusable():
                self.close_unassigned(pool, connection, "stale")
            else:
                self.remove_idle(pool, connection)
                return connection
        return None

    def assign(self, pool: BackendPool, connection: PooledConnection, attempt: Waiter) -> None:
        """Sends an attempt on a connection."""
        now = self.clock()
        self.figures["pool reused"] += connection.reused
        connection.state = ConnectionState.IN_USE
        pool.in_use.add(connection)
        connection.send(attempt, max(attempt.until - now, 0.001))
        connection.reused = True

    # opening

    def open_for(self, backend: str, pool: BackendPool) -> None:
        """Opens a connection for each waiting attempt that needs one, as far as the limits allow."""
        while len(pool.opening) + pool.in_reuse_delay < len(pool.waiting) and self.may_open(pool):
            self.open(backend, pool)
        if len(pool.opening) + pool.in_reuse_delay < len(pool.waiting) and self.at_opening_limit(pool):
            self.backends_waiting[backend] = None
        else:
            self.backends_waiting.pop(backend, None)

    def may_open(self, pool: BackendPool) -> bool:
        """True where one more may be opened, if need be after closing an idle one of any backend."""
        if pool.address is None or self.at_opening_limit(pool) or pool.size() >= pool.max_connections:
            return False
        return len(self.connections) + self.held_by_predecessor < self.max_connections or self.evict()

    def at_opening_limit(self, pool: BackendPool) -> bool:
        """True while as many opens are under way as are allowed at once, which does not last long."""
        return self.opening >= self.settings.opening or len(pool.opening) >= self.settings.opening_each

    def evict(self) -> bool:
        """Closes the connection that has been idle for longest; False where none is idle."""
        connection = next(iter(self.idle_connections), None)
        if connection is None:
            return False
        self.close_unassigned(self.idle_connections[connection], connection, "made way")
        return True

    def remove_idle(self, pool: BackendPool, connection: PooledConnection) -> None:
        """Removes a connection from the idle ones."""
        pool.idle.remove(connection)
        del self.idle_connections[connection]

    def open(self, backend: str, pool: BackendPool) -> None:
        """Starts to open a connection."""
        assert pool.address is not None
        connection = self.opener(backend, pool.address)
        pool.opening.append(connection)
        self.opening += 1
        self.connections.add(connection)

    def remove_opening(self, pool: BackendPool, connection: PooledConnection) -> None:
        """Removes a connection from those being opened, after success or failure."""
        pool.opening.remove(connection)
        self.opening -= 1

    def opening_succeeded(self, connection: PooledConnection) -> None:
        """A connection is open: it is assigned or kept."""
        pool = self.backends.get(connection.backend)
        if pool is None or connection not in pool.opening:
            return connection.abort()
        self.remove_opening(pool, connection)
        self.figures["pool opened"] += 1
        if self.settings.max_age > 0:
            spread = 1.0 + AGE_SPREAD * (2.0 * self.random.random() - 1.0)
            connection.retire_at = self.clock() + spread * self.settings.max_age
        self.assign_or_keep(pool, connection)
        return self.open_for_waiting()

    def assign_or_keep(self, pool: BackendPool, connection: PooledConnection) -> None:
        """Assigns a free connection to the attempt that waits longest, or keeps it idle."""
        now = self.clock()
        if pool.waiting:
            attempt = pool.waiting.popleft()
            self.figures["pool waited"] += 1
            self.figures["pool waited ms"] += round(1000 * (now - attempt.sent_at))
            connection.idle_time = 0.0
            return self.assign(pool, connection, attempt)
        connection.state, connection.idle_since = ConnectionState.IDLE, now
        pool.idle.append(connection)
        self.idle_connections[connection] = pool
        while len(pool.idle) > pool.max_idle or pool.idle and not self.keeps_idle:
            self.close_unassigned(pool, pool.idle[0], "surplus")
        return None

    def opening_failed(self, connection: PooledConnection, failure: OpenFailure) -> None:
        """An open failed: the first waiting attempt fails too, unless enough other opens are under way."""
        pool = self.backends.get(connection.backend)
        if pool is None or connection not in pool.opening:
            return None  # it was cancelled: no attempt waits for it
        self.remove_opening(pool, connection)
        connection.state = ConnectionState.CLOSED
        self.figures[f"pool open {failure.value}"] += 1
        if failure is OpenFailure.LOCAL and pool.waiting and self.evict():
            return self.open_for(connection.backend, pool)
        open_connections = len(pool.idle) + len(pool.in_use)
        if (
            failure is not OpenFailure.LOCAL and open_connections
            and self.clock() - pool.last_response_at < ALIVE_FOR
        ):
            self.on_open_failed(connection.backend, open_connections)
        if len(pool.waiting) > len(pool.opening):
            local = failure is OpenFailure.LOCAL
            pool.waiting.popleft().lost(Outcome.NOT_SENT if local else Outcome.NO_CONNECTION)
        self.open_for(connection.backend, pool)
        return self.open_for_waiting()

    def open_for_waiting(self) -> None:
        """Opens connections for the backends that wait for permission to open, in their order."""
        for backend in list(self.backends_waiting):
            pool = self.backends.get(backend)
            if pool is not None:
                self.open_for(backend, pool)

    # reports of connections

    def start_reuse_delay(self, connection: PooledConnection) -> None:
        """After a complete and correct answer: counts the connection as free in a moment."""
        pool = self.backends.get(connection.backend)
        if pool is not None and connection in pool.in_use:
            connection.in_reuse_delay = True
            pool.in_reuse_delay += 1
            self.in_reuse_delay += 1

    def end_reuse_delay(self, pool: BackendPool, connection: PooledConnection) -> None:
        """Counts the connection no longer as free in a moment."""
        pool.in_reuse_delay -= connection.in_reuse_delay
        self.in_reuse_delay -= connection.in_reuse_delay
        connection.in_reuse_delay = False

    def release(self, connection: PooledConnection) -> None:
        """After a complete and correct answer: makes the connection available again, or closes it."""
        pool = self.backends.get(connection.backend)
        if pool is None or connection not in pool.in_use:
            return connection.abort()
        self.end_reuse_delay(pool, connection)
        pool.in_use.discard(connection)
        now = self.clock()
        if connection.state is ConnectionState.RETIRING or not self.keeps_idle and not pool.waiting:
            return self.close_connection(connection, "retired")
        if now >= connection.retire_at:
            return self.close_connection(connection, "aged")
        if pool.waiting and not connection.is_reusable():
            return self.close_connection(connection, "stale")
        return self.assign_or_keep(pool, connection)

    def answer_received(self, connection: PooledConnection) -> None:
        """A complete answer arrived: the connection survived the time for which it had been idle."""
        pool = self.backends.get(connection.backend)
        if pool is not None:
            pool.last_response_at = self.clock()
            if connection.idle_time > IDLE_DECREASE * pool.proven_idle_time:
                pool.proven_idle_time = min(IDLE_INCREASE * pool.proven_idle_time, self.idle_limit(pool))

    def connection_broke(self, connection: PooledConnection, sent_at: float) -> None:
        """A connection broke under an attempt.

        Where it was a reused one and broke at once, it had been dead before: idle ones are kept too long.
        """
        pool = self.backends.get(connection.backend)
        self.figures[
            "pool broke reused" if connection.reused and connection.idle_time else "pool broke new"] += 1
        if pool is not None and connection.idle_time and self.clock() - sent_at < STALE_BREAK_WITHIN:
            pool.proven_idle_time = max(
                IDLE_DECREASE * min(connection.idle_time, pool.proven_idle_time, self.idle_limit(pool)),
                MIN_IDLE_TIME)

    def connection_closed(self, connection: PooledConnection) -> None:
        """A connection holds no descriptor any more, whichever side closed it."""
        self.connections.discard(connection)
        pool = self.backends.get(connection.backend)
        if pool is not None:
            if connection in pool.idle:
                self.figures["pool closed idle"] += 1
                self.remove_idle(pool, connection)
            self.end_reuse_delay(pool, connection)
            pool.in_use.discard(connection)
            if connection in pool.opening:
                self.remove_opening(pool, connection)
            self.drop_unused(connection.backend, pool)
            if pool.waiting:
                self.open_for(connection.backend, pool)
                self.fail_unservable(pool)
        connection.state = ConnectionState.CLOSED
        self.open_for_waiting()

    def fail_unservable(self, pool: BackendPool) -> None:
        """Ends the waiting attempts of a backend without connections, where none may be opened."""
        while pool.waiting and not (pool.opening or pool.in_use or self.at_opening_limit(pool)):
            self.figures["pool no room"] += 1
            pool.waiting.popleft().lost(Outcome.NOT_SENT)

    # closing

    def close_unassigned(self, pool: BackendPool, connection: PooledConnection, why: str) -> None:
        """Closes a connection that carries no attempt."""
        if connection in pool.idle:
            self.remove_idle(pool, connection)
        else:
            self.remove_opening(pool, connection)
        self.close_connection(connection, why)

    def close_connection(self, connection: PooledConnection, why: str) -> None:
        """Counts, reports and closes; `why` is part of a figure's name."""
        self.figures[f"pool {why}"] += 1
        self.on_close(connection.backend, why)
        connection.state = ConnectionState.CLOSED
        connection.abort()

    def close_or_retire_all(self, pool: BackendPool, why: str) -> None:
        """Closes the unused connections, and marks those in use for closing after their answers."""
        for connection in [*pool.idle, *pool.opening]:
            self.close_unassigned(pool, connection, why)
        for connection in pool.in_use:
            connection.state = ConnectionState.RETIRING

    def drop_unused(self, backend: str, pool: BackendPool) -> None:
        """Frees the state of a retired backend that has no connections and no waiting attempts."""
        if pool.address is None and not pool.size() and not pool.waiting:
            self.backends.pop(backend, None)
            self.backends_waiting.pop(backend, None)

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long or have reached their age limit."""
        now = self.clock()
        for connection, pool in list(self.idle_connections.items()):
            if connection.idle_since < now - self.idle_limit(pool) or now >= connection.retire_at:
                self.close_unassigned(pool, connection, "aged")

    def close_all(self) -> None:
        """Closes all connections, also those in use."""
        for pool in self.backends.values():
            self.close_or_retire_all(pool, "at the end")
            for connection in list(pool.in_use):
                connection.abort()

    def idle_count(self) -> int:
        """Connections that are idle or will be in a moment."""
        return len(self.idle_connections) + self.in_reuse_delay
