"""The connections to backends: which there are, in what state, and who waits for one.

Free of sockets and of the loop: a Link carries out what the pool tells it, and tells what became of it. Which
backend gets an attempt, and how many connections it is worth, the decision module says.
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

IDLE_DECREASE, IDLE_INCREASE = 0.5, 1.25  # times an idle time that broke, or that was borne: what is tried next
MIN_IDLE_TIME = 0.02  # seconds for which one is kept in any case: work that comes back to back needs them
STALE_BREAK_WITHIN = 0.01  # seconds after the write in which a kept connection that was dead already breaks
ALIVE_FOR = 2.0  # seconds since it was heard from for which a backend counts as alive: a failed open is then
# its full table's; dials end within a fraction of that
DEFAULT_MARGIN = PoolSettings().margin
MAX_MARGIN_SHARE = 0.25  # of the backends' idle limit, at most, that the usual margin before it may take
AGE_SPREAD = 0.2  # of the max age, either way, by which connections that were opened together end apart

Address = tuple[str, int]


class ConnectionState(Enum):
    OPENING = "opening"
    IDLE = "idle"
    IN_USE = "in use"
    RETIRING = "retiring"  # in use, and closed after its answer
    CLOSED = "closed"


class OpenFailure(Enum):
    """Why a connection did not come up."""

    REFUSED = "refused"
    TIMED_OUT = "silent"
    LOCAL = "no descriptor"  # here: it tells nothing of the backend


class Waiter(Protocol):
    """An attempt, as the pool sees it."""

    backend: str
    until: float
    sent_at: float

    def lost(self, outcome: Outcome) -> None: ...


class PooledConnection:
    """One connection, as the pool sees it. `ended` of the pool is called once it holds no descriptor."""

    def __init__(self, backend: str) -> None:
        self.backend, self.state = backend, ConnectionState.OPENING
        self.idle_since = 0.0
        self.idle_time = 0.0  # seconds it had stood idle when it was last taken
        self.reused = False
        self.in_reuse_delay = False  # its answer is there, and it may not be used yet
        self.retire_at = float("inf")

    def send(self, attempt: Waiter, wait: float) -> None:
        raise NotImplementedError

    def abort(self) -> None:
        """Closes it, or stops its opening."""
        raise NotImplementedError

    def is_reusable(self) -> bool:
        """True while it is up and holds nothing unread."""
        raise NotImplementedError


Opener = Callable[[str, Address], PooledConnection]


@dataclass(slots=True, eq=False)
class BackendPool:
    """All that concerns one backend."""

    address: Address | None = None
    started_at: float | None = None
    idle: list[PooledConnection] = field(default_factory=list)  # the one used last stands last
    opening: list[PooledConnection] = field(default_factory=list)
    in_use: set[PooledConnection] = field(default_factory=set)
    in_reuse_delay: int = 0  # of these, that will be free in a moment
    waiting: deque[Waiter] = field(default_factory=deque)
    proven_idle_time: float = float("inf")  # idle time that connections there were found to bear
    last_response_at: float = float("-inf")  # when an answer last came from there
    max_idle: float = float("inf")  # idle ones, at the most
    max_connections: float = float("inf")  # of all kinds
    max_idle_time: float = float("inf")  # seconds that one is kept idle

    def size(self) -> int:
        return len(self.idle) + len(self.opening) + len(self.in_use)


class Pool:
    """All connections to backends, at most `most` of them."""

    def __init__(
        self, clock: Callable[[], float], opener: Opener, most: int, keepalive: float,
        settings: PoolSettings, seed: int = 0,
    ) -> None:
        """`keepalive`: seconds after which a backend closes an idle connection at the latest."""
        self.clock, self.opener, self.max_connections, self.keepalive = clock, opener, most, keepalive
        self.settings, self.random = settings, Random(seed)
        self.backends: dict[str, BackendPool] = {}
        self.connections: set[PooledConnection] = set()  # all that may hold a descriptor
        self.idle_connections: dict[PooledConnection, BackendPool] = {}  # the one that has been idle for longest stands first
        self.in_reuse_delay = 0  # in use, and free in a moment
        self.opening = 0  # opens under way
        self.backends_waiting: dict[str, None] = {}  # backends whose line waits for leave to open, first come
        self.held_by_predecessor = 0  # connections of the process before, which count under the same bound
        self.keeps_idle = True  # connections are kept for the next attempt
        self.figures: Tally[str] = Tally()
        self.on_open_failed: Callable[[str, int], None] = lambda backend, up: None
        self.on_close: Callable[[str, str], None] = lambda backend, reason: None  # told of every close here

    def idle_limit(self, place: BackendPool) -> float:
        margin = self.settings.margin
        if margin == DEFAULT_MARGIN:  # staff who name another one know their backends' limit
            margin = min(margin, MAX_MARGIN_SHARE * self.keepalive)
        return max(min(self.keepalive - margin, place.max_idle_time), MIN_IDLE_TIME)

    # what the list and the module say

    def set_address(self, backend: str, address: Address, started: float | None = None) -> None:
        """Where a backend listens; connections to where it was, or to before its restart, are of no use."""
        place = self.backends.setdefault(backend, BackendPool())
        if (place.address, place.started_at) == (address, started):
            return
        self.clear(place, "moved")
        place.address, place.started_at = address, started
        place.proven_idle_time = place.max_connections = place.max_idle = place.max_idle_time = float("inf")
        place.last_response_at = float("-inf")
        self.open_for(backend, place)

    def retire(self, backend: str) -> None:
        """For one that drains or is gone: nothing is written to it from now on, not even what waits.

        Attempts that are out go on to their ends, and their connections are closed after them.
        """
        place = self.backends.get(backend)
        if place is not None:
            place.address = None
            self.close_unused(backend)
            self.drop_unused(backend, place)

    def close_unused(self, backend: str) -> None:
        """Closes what is idle to a backend or being opened, and ends what waits for it."""
        place = self.backends.get(backend)
        if place is not None:
            self.clear(place, "hung up")
            while place.waiting:
                place.waiting.popleft().lost(Outcome.NO_CONNECTION)

    def retire_unlisted(self, known: Iterable[str]) -> None:
        """After a whole list: what it does not name is gone."""
        known = set(known)
        for backend in [b for b in self.backends if b not in known]:
            self.retire(backend)

    def set_size(self, backend: str, keep: float, most: float, idle_for: float) -> None:
        place = self.backends.get(backend)
        if place is not None:
            place.max_idle, place.max_connections, place.max_idle_time = keep, most, idle_for
            while len(place.idle) > keep:
                self.close_unassigned(place, place.idle[0], "surplus")
            self.open_for(backend, place)

    def preconnect(self, backend: str, many: int) -> None:
        """Opens ahead, until so many are idle or being opened."""
        place = self.backends.get(backend)
        while place is not None and len(place.idle) + len(place.opening) < many and self.may_open(place):
            self.figures["pool warmed"] += 1
            self.open(backend, place)

    def stop_keeping_idle(self) -> None:
        """From now on connections are closed after their attempts: a successor needs the descriptors."""
        self.keeps_idle = False
        for link, place in list(self.idle_connections.items()):
            self.close_unassigned(place, link, "handed over")

    def drop_idle(self, backend: str) -> None:
        """After an attempt that got no answer: a machine that is cut off leaves its connections silent."""
        place = self.backends.get(backend)
        while place is not None and place.idle:
            self.close_unassigned(place, place.idle[0], "silent")

    # attempts

    def start(self, attempt: Waiter) -> None:
        """Gives an attempt its connection, now or once one is there."""
        place = self.backends.get(attempt.backend)
        if place is None or place.address is None:
            return attempt.lost(Outcome.NO_CONNECTION)
        link = self.take_reusable(place)
        if link is not None:
            return self.assign(place, link, attempt)
        place.waiting.append(attempt)
        self.open_for(attempt.backend, place)
        return self.fail_unservable(place)

    def withdraw(self, attempt: Waiter) -> None:
        """An attempt waits no more. What is being opened goes on: it serves the next, or is kept."""
        place = self.backends.get(attempt.backend)
        if place is not None and attempt in place.waiting:
            place.waiting.remove(attempt)
            if not place.waiting:
                self.backends_waiting.pop(attempt.backend, None)

    def why_waiting(self, attempt: Waiter) -> Outcome:
        """For one whose time ran out in line: whether its backend did not come up, or there was no room."""
        place = self.backends.get(attempt.backend)
        return Outcome.NO_CONNECTION if place is not None and place.opening else Outcome.NOT_SENT

    def take_reusable(self, place: BackendPool) -> PooledConnection | None:
        now = self.clock()
        while place.idle:
            link = place.idle[-1]
            link.idle_time = now - link.idle_since
            if link.idle_time >= min(place.proven_idle_time, self.idle_limit(place)) or now >= link.retire_at:
                self.close_unassigned(place, link, "aged")
            elif not link.is_reusable():
                self.close_unassigned(place, link, "stale")
            else:
                self.remove_idle(place, link)
                return link
        return None

    def assign(self, place: BackendPool, link: PooledConnection, attempt: Waiter) -> None:
        now = self.clock()
        self.figures["pool reused"] += link.reused
        link.state = ConnectionState.IN_USE
        place.in_use.add(link)
        link.send(attempt, max(attempt.until - now, 0.001))
        link.reused = True

    # opening

    def open_for(self, backend: str, place: BackendPool) -> None:
        """As many opens as there are attempts in line, as far as the bounds allow."""
        while len(place.opening) + place.in_reuse_delay < len(place.waiting) and self.may_open(place):
            self.open(backend, place)
        if len(place.opening) + place.in_reuse_delay < len(place.waiting) and self.at_opening_limit(place):
            self.backends_waiting[backend] = None
        else:
            self.backends_waiting.pop(backend, None)

    def may_open(self, place: BackendPool) -> bool:
        if place.address is None or self.at_opening_limit(place) or place.size() >= place.max_connections:
            return False
        return len(self.connections) + self.held_by_predecessor < self.max_connections or self.evict()

    def at_opening_limit(self, place: BackendPool) -> bool:
        """True while the bounds on opens at once are reached: that ends by itself, and soon."""
        return self.opening >= self.settings.opening or len(place.opening) >= self.settings.opening_each

    def evict(self) -> bool:
        """The connection that has been idle for longest makes way; False where there is none."""
        link = next(iter(self.idle_connections), None)
        if link is None:
            return False
        self.close_unassigned(self.idle_connections[link], link, "made way")
        return True

    def remove_idle(self, place: BackendPool, link: PooledConnection) -> None:
        """It is idle no more."""
        place.idle.remove(link)
        del self.idle_connections[link]

    def open(self, backend: str, place: BackendPool) -> None:
        assert place.address is not None
        link = self.opener(backend, place.address)
        place.opening.append(link)
        self.opening += 1
        self.connections.add(link)

    def remove_opening(self, place: BackendPool, link: PooledConnection) -> None:
        """Its opening is over, one way or another."""
        place.opening.remove(link)
        self.opening -= 1

    def opening_succeeded(self, link: PooledConnection) -> None:
        place = self.backends.get(link.backend)
        if place is None or link not in place.opening:
            return link.abort()
        self.remove_opening(place, link)
        self.figures["pool opened"] += 1
        if self.settings.max_age > 0:
            spread = 1.0 + AGE_SPREAD * (2.0 * self.random.random() - 1.0)
            link.retire_at = self.clock() + spread * self.settings.max_age
        self.assign_or_keep(place, link)
        return self.open_for_waiting()

    def assign_or_keep(self, place: BackendPool, link: PooledConnection) -> None:
        """To the first in line, or to what is kept."""
        now = self.clock()
        if place.waiting:
            attempt = place.waiting.popleft()
            self.figures["pool waited"] += 1
            self.figures["pool waited ms"] += round(1000 * (now - attempt.sent_at))
            link.idle_time = 0.0
            return self.assign(place, link, attempt)
        link.state, link.idle_since = ConnectionState.IDLE, now
        place.idle.append(link)
        self.idle_connections[link] = place
        while len(place.idle) > place.max_idle or place.idle and not self.keeps_idle:
            self.close_unassigned(place, place.idle[0], "surplus")
        return None

    def opening_failed(self, link: PooledConnection, failure: OpenFailure) -> None:
        """It did not come up. One attempt goes without, unless enough other opens are under way."""
        place = self.backends.get(link.backend)
        if place is None or link not in place.opening:
            return None  # nobody waits for it: it was stopped
        self.remove_opening(place, link)
        link.state = ConnectionState.CLOSED
        self.figures[f"pool open {failure.value}"] += 1
        if failure is OpenFailure.LOCAL and place.waiting and self.evict():
            return self.open_for(link.backend, place)
        up = len(place.idle) + len(place.in_use)
        if failure is not OpenFailure.LOCAL and up and self.clock() - place.last_response_at < ALIVE_FOR:
            self.on_open_failed(link.backend, up)
        if len(place.waiting) > len(place.opening):
            local = failure is OpenFailure.LOCAL
            place.waiting.popleft().lost(Outcome.NOT_SENT if local else Outcome.NO_CONNECTION)
        self.open_for(link.backend, place)
        return self.open_for_waiting()

    def open_for_waiting(self) -> None:
        """There may be leave to open for those who wait for it, first come."""
        for backend in list(self.backends_waiting):
            place = self.backends.get(backend)
            if place is not None:
                self.open_for(backend, place)

    # what connections tell

    def start_reuse_delay(self, link: PooledConnection) -> None:
        """After a whole, clean answer: it will be put back in a moment, if nothing more comes on it."""
        place = self.backends.get(link.backend)
        if place is not None and link in place.in_use:
            link.in_reuse_delay = True
            place.in_reuse_delay += 1
            self.in_reuse_delay += 1

    def end_reuse_delay(self, place: BackendPool, link: PooledConnection) -> None:
        place.in_reuse_delay -= link.in_reuse_delay
        self.in_reuse_delay -= link.in_reuse_delay
        link.in_reuse_delay = False

    def release(self, link: PooledConnection) -> None:
        """After a whole, clean answer: free for the next, unless it is to go."""
        place = self.backends.get(link.backend)
        if place is None or link not in place.in_use:
            return link.abort()
        self.end_reuse_delay(place, link)
        place.in_use.discard(link)
        now = self.clock()
        if link.state is ConnectionState.RETIRING or not self.keeps_idle and not place.waiting:
            return self.close_connection(link, "retired")
        if now >= link.retire_at:
            return self.close_connection(link, "aged")
        if place.waiting and not link.is_reusable():
            return self.close_connection(link, "stale")
        return self.assign_or_keep(place, link)

    def answer_received(self, link: PooledConnection) -> None:
        """A whole answer came on it, after all the time that it had stood idle."""
        place = self.backends.get(link.backend)
        if place is not None:
            place.last_response_at = self.clock()
            if link.idle_time > IDLE_DECREASE * place.proven_idle_time:
                place.proven_idle_time = min(IDLE_INCREASE * place.proven_idle_time, self.idle_limit(place))

    def connection_broke(self, link: PooledConnection, sent_at: float) -> None:
        """It broke under an attempt: a kept one that was dead already tells that they are kept too long."""
        place = self.backends.get(link.backend)
        self.figures["pool broke reused" if link.reused and link.idle_time else "pool broke new"] += 1
        if place is not None and link.idle_time and self.clock() - sent_at < STALE_BREAK_WITHIN:
            place.proven_idle_time = max(IDLE_DECREASE * min(link.idle_time, place.proven_idle_time, self.idle_limit(place)), MIN_IDLE_TIME)

    def connection_closed(self, link: PooledConnection) -> None:
        """It holds no descriptor any more, whoever closed it."""
        self.connections.discard(link)
        place = self.backends.get(link.backend)
        if place is not None:
            if link in place.idle:
                self.figures["pool closed idle"] += 1
                self.remove_idle(place, link)
            self.end_reuse_delay(place, link)
            place.in_use.discard(link)
            if link in place.opening:
                self.remove_opening(place, link)
            self.drop_unused(link.backend, place)
            if place.waiting:
                self.open_for(link.backend, place)
                self.fail_unservable(place)
        link.state = ConnectionState.CLOSED
        self.open_for_waiting()

    def fail_unservable(self, place: BackendPool) -> None:
        """Who waits where nothing can come any more, as there is no room to open, goes without."""
        while place.waiting and not (place.opening or place.in_use or self.at_opening_limit(place)):
            self.figures["pool no room"] += 1
            place.waiting.popleft().lost(Outcome.NOT_SENT)

    # ends

    def close_unassigned(self, place: BackendPool, link: PooledConnection, why: str) -> None:
        """Closes what no attempt is on."""
        if link in place.idle:
            self.remove_idle(place, link)
        else:
            self.remove_opening(place, link)
        self.close_connection(link, why)

    def close_connection(self, link: PooledConnection, why: str) -> None:
        self.figures[f"pool {why}"] += 1
        self.on_close(link.backend, why)
        link.state = ConnectionState.CLOSED
        link.abort()

    def clear(self, place: BackendPool, why: str) -> None:
        for link in [*place.idle, *place.opening]:
            self.close_unassigned(place, link, why)
        for link in place.in_use:
            link.state = ConnectionState.RETIRING

    def drop_unused(self, backend: str, place: BackendPool) -> None:
        if place.address is None and not place.size() and not place.waiting:
            self.backends.pop(backend, None)
            self.backends_waiting.pop(backend, None)

    def close_expired(self) -> None:
        """Closes what has been idle for long, or is old."""
        now = self.clock()
        for link, place in list(self.idle_connections.items()):
            if link.idle_since < now - self.idle_limit(place) or now >= link.retire_at:
                self.close_unassigned(place, link, "aged")

    def close_all(self) -> None:
        for place in self.backends.values():
            self.clear(place, "at the end")
            for link in list(place.in_use):
                link.abort()

    def idle_count(self) -> int:
        return len(self.idle_connections) + self.in_reuse_delay
