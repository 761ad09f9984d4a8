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

SHORTER, LONGER = 0.5, 1.25  # times an idle time that broke, or that was borne: what is tried next
LEAST_IDLE = 0.02  # seconds for which one is kept in any case: work that comes back to back needs them
AT_ONCE = 0.01  # seconds after the write in which a kept connection that was dead already breaks
ALIVE_FOR = 2.0  # seconds since it was heard from for which a backend counts as alive: a failed open is then
# its full table's; dials end within a fraction of that
USUAL_MARGIN = PoolSettings().margin
MARGIN_PART = 0.25  # of the backends' idle limit, at most, that the usual margin before it may take
AGE_SPREAD = 0.2  # of the max age, either way, by which connections that were opened together end apart

Address = tuple[str, int]


class State(Enum):
    OPENING = "opening"
    IDLE = "idle"
    IN_USE = "in use"
    RETIRING = "retiring"  # in use, and closed after its answer
    CLOSED = "closed"


class Failure(Enum):
    """Why a connection did not come up."""

    REFUSED = "refused"
    SILENT = "silent"
    LOCAL = "no descriptor"  # here: it tells nothing of the backend


class Waiter(Protocol):
    """An attempt, as the pool sees it."""

    backend: str
    until: float
    sent_at: float

    def lost(self, outcome: Outcome) -> None: ...


class Link:
    """One connection, as the pool sees it. `ended` of the pool is called once it holds no descriptor."""

    def __init__(self, backend: str) -> None:
        self.backend, self.state = backend, State.OPENING
        self.idle_since = 0.0
        self.idled = 0.0  # seconds it had stood idle when it was last taken
        self.reused = False
        self.resting = False  # its answer is there, and it may not be used yet
        self.retire_at = float("inf")

    def carry(self, attempt: Waiter, wait: float) -> None:
        raise NotImplementedError

    def shut(self) -> None:
        """Closes it, or stops its opening."""
        raise NotImplementedError

    def is_fit(self) -> bool:
        """True while it is up and holds nothing unread."""
        raise NotImplementedError


Opener = Callable[[str, Address], Link]


@dataclass(slots=True, eq=False)
class Place:
    """All that concerns one backend."""

    address: Address | None = None
    started: float | None = None
    idle: list[Link] = field(default_factory=list)  # the one used last stands last
    opening: list[Link] = field(default_factory=list)
    used: set[Link] = field(default_factory=set)
    resting: int = 0  # of these, that will be free in a moment
    waiting: deque[Waiter] = field(default_factory=deque)
    borne: float = float("inf")  # idle time that connections there were found to bear
    heard: float = float("-inf")  # when an answer last came from there
    keep: float = float("inf")  # idle ones, at the most
    most: float = float("inf")  # of all kinds
    idle_for: float = float("inf")  # seconds that one is kept idle

    def size(self) -> int:
        return len(self.idle) + len(self.opening) + len(self.used)


class Pool:
    """All connections to backends, at most `most` of them."""

    def __init__(
        self, clock: Callable[[], float], opener: Opener, most: int, keepalive: float,
        settings: PoolSettings, seed: int = 0,
    ) -> None:
        """`keepalive`: seconds after which a backend closes an idle connection at the latest."""
        self.clock, self.opener, self.most, self.keepalive = clock, opener, most, keepalive
        self.settings, self.random = settings, Random(seed)
        self.places: dict[str, Place] = {}
        self.links: set[Link] = set()  # all that may hold a descriptor
        self.idle_links: dict[Link, Place] = {}  # the one that has been idle for longest stands first
        self.resting = 0  # in use, and free in a moment
        self.opening = 0  # opens under way
        self.short: dict[str, None] = {}  # backends whose line waits for leave to open, first come
        self.elsewhere = 0  # connections of the process before, which count under the same bound
        self.keeping = True  # connections are kept for the next attempt
        self.figures: Tally[str] = Tally()
        self.open_failed: Callable[[str, int], None] = lambda backend, up: None
        self.closed_for: Callable[[str, str], None] = lambda backend, reason: None  # told of every close here

    def idle_limit(self, place: Place) -> float:
        margin = self.settings.margin
        if margin == USUAL_MARGIN:  # staff who name another one know their backends' limit
            margin = min(margin, MARGIN_PART * self.keepalive)
        return max(min(self.keepalive - margin, place.idle_for), LEAST_IDLE)

    # what the list and the module say

    def set_address(self, backend: str, address: Address, started: float | None = None) -> None:
        """Where a backend listens; connections to where it was, or to before its restart, are of no use."""
        place = self.places.setdefault(backend, Place())
        if (place.address, place.started) == (address, started):
            return
        self.clear(place, "moved")
        place.address, place.started = address, started
        place.borne = place.most = place.keep = place.idle_for = float("inf")
        place.heard = float("-inf")
        self.open_for(backend, place)

    def retire(self, backend: str) -> None:
        """For one that drains or is gone: nothing is written to it from now on, not even what waits.

        Attempts that are out go on to their ends, and their connections are closed after them.
        """
        place = self.places.get(backend)
        if place is not None:
            place.address = None
            self.hang_up(backend)
            self.tidy(backend, place)

    def hang_up(self, backend: str) -> None:
        """Closes what is idle to a backend or being opened, and ends what waits for it."""
        place = self.places.get(backend)
        if place is not None:
            self.clear(place, "hung up")
            while place.waiting:
                place.waiting.popleft().lost(Outcome.NO_CONNECTION)

    def forget_others(self, known: Iterable[str]) -> None:
        """After a whole list: what it does not name is gone."""
        known = set(known)
        for backend in [b for b in self.places if b not in known]:
            self.retire(backend)

    def set_size(self, backend: str, keep: float, most: float, idle_for: float) -> None:
        place = self.places.get(backend)
        if place is not None:
            place.keep, place.most, place.idle_for = keep, most, idle_for
            while len(place.idle) > keep:
                self.close(place, place.idle[0], "surplus")
            self.open_for(backend, place)

    def warm(self, backend: str, many: int) -> None:
        """Opens ahead, until so many are idle or being opened."""
        place = self.places.get(backend)
        while place is not None and len(place.idle) + len(place.opening) < many and self.may_open(place):
            self.figures["pool warmed"] += 1
            self.open(backend, place)

    def keep_none(self) -> None:
        """From now on connections are closed after their attempts: a successor needs the descriptors."""
        self.keeping = False
        for link, place in list(self.idle_links.items()):
            self.close(place, link, "handed over")

    def drop_idle(self, backend: str) -> None:
        """After an attempt that got no answer: a machine that is cut off leaves its connections silent."""
        place = self.places.get(backend)
        while place is not None and place.idle:
            self.close(place, place.idle[0], "silent")

    # attempts

    def start(self, attempt: Waiter) -> None:
        """Gives an attempt its connection, now or once one is there."""
        place = self.places.get(attempt.backend)
        if place is None or place.address is None:
            return attempt.lost(Outcome.NO_CONNECTION)
        link = self.pick(place)
        if link is not None:
            return self.use(place, link, attempt)
        place.waiting.append(attempt)
        self.open_for(attempt.backend, place)
        return self.leave_alone(place)

    def withdraw(self, attempt: Waiter) -> None:
        """An attempt waits no more. What is being opened goes on: it serves the next, or is kept."""
        place = self.places.get(attempt.backend)
        if place is not None and attempt in place.waiting:
            place.waiting.remove(attempt)
            if not place.waiting:
                self.short.pop(attempt.backend, None)

    def why_waiting(self, attempt: Waiter) -> Outcome:
        """For one whose time ran out in line: whether its backend did not come up, or there was no room."""
        place = self.places.get(attempt.backend)
        return Outcome.NO_CONNECTION if place is not None and place.opening else Outcome.NOT_SENT

    def pick(self, place: Place) -> Link | None:
        now = self.clock()
        while place.idle:
            link = place.idle[-1]
            link.idled = now - link.idle_since
            if link.idled >= min(place.borne, self.idle_limit(place)) or now >= link.retire_at:
                self.close(place, link, "aged")
            elif not link.is_fit():
                self.close(place, link, "stale")
            else:
                self.take_idle(place, link)
                return link
        return None

    def use(self, place: Place, link: Link, attempt: Waiter) -> None:
        now = self.clock()
        self.figures["pool reused"] += link.reused
        link.state = State.IN_USE
        place.used.add(link)
        link.carry(attempt, max(attempt.until - now, 0.001))
        link.reused = True

    # opening

    def open_for(self, backend: str, place: Place) -> None:
        """As many opens as there are attempts in line, as far as the bounds allow."""
        while len(place.opening) + place.resting < len(place.waiting) and self.may_open(place):
            self.open(backend, place)
        if len(place.opening) + place.resting < len(place.waiting) and self.is_busy(place):
            self.short[backend] = None
        else:
            self.short.pop(backend, None)

    def may_open(self, place: Place) -> bool:
        if place.address is None or self.is_busy(place) or place.size() >= place.most:
            return False
        return len(self.links) + self.elsewhere < self.most or self.evict()

    def is_busy(self, place: Place) -> bool:
        """True while the bounds on opens at once are reached: that ends by itself, and soon."""
        return self.opening >= self.settings.opening or len(place.opening) >= self.settings.opening_each

    def evict(self) -> bool:
        """The connection that has been idle for longest makes way; False where there is none."""
        link = next(iter(self.idle_links), None)
        if link is None:
            return False
        self.close(self.idle_links[link], link, "made way")
        return True

    def take_idle(self, place: Place, link: Link) -> None:
        """It is idle no more."""
        place.idle.remove(link)
        del self.idle_links[link]

    def open(self, backend: str, place: Place) -> None:
        assert place.address is not None
        link = self.opener(backend, place.address)
        place.opening.append(link)
        self.opening += 1
        self.links.add(link)

    def opened(self, place: Place, link: Link) -> None:
        """Its opening is over, one way or another."""
        place.opening.remove(link)
        self.opening -= 1

    def came_up(self, link: Link) -> None:
        place = self.places.get(link.backend)
        if place is None or link not in place.opening:
            return link.shut()
        self.opened(place, link)
        self.figures["pool opened"] += 1
        if self.settings.max_age > 0:
            spread = 1.0 + AGE_SPREAD * (2.0 * self.random.random() - 1.0)
            link.retire_at = self.clock() + spread * self.settings.max_age
        self.give(place, link)
        return self.go_on()

    def give(self, place: Place, link: Link) -> None:
        """To the first in line, or to what is kept."""
        now = self.clock()
        if place.waiting:
            attempt = place.waiting.popleft()
            self.figures["pool waited"] += 1
            self.figures["pool waited ms"] += round(1000 * (now - attempt.sent_at))
            link.idled = 0.0
            return self.use(place, link, attempt)
        link.state, link.idle_since = State.IDLE, now
        place.idle.append(link)
        self.idle_links[link] = place
        while len(place.idle) > place.keep or place.idle and not self.keeping:
            self.close(place, place.idle[0], "surplus")
        return None

    def failed(self, link: Link, failure: Failure) -> None:
        """It did not come up. One attempt goes without, unless enough other opens are under way."""
        place = self.places.get(link.backend)
        if place is None or link not in place.opening:
            return None  # nobody waits for it: it was stopped
        self.opened(place, link)
        link.state = State.CLOSED
        self.figures[f"pool open {failure.value}"] += 1
        if failure is Failure.LOCAL and place.waiting and self.evict():
            return self.open_for(link.backend, place)
        up = len(place.idle) + len(place.used)
        if failure is not Failure.LOCAL and up and self.clock() - place.heard < ALIVE_FOR:
            self.open_failed(link.backend, up)
        if len(place.waiting) > len(place.opening):
            local = failure is Failure.LOCAL
            place.waiting.popleft().lost(Outcome.NOT_SENT if local else Outcome.NO_CONNECTION)
        self.open_for(link.backend, place)
        return self.go_on()

    def go_on(self) -> None:
        """There may be leave to open for those who wait for it, first come."""
        for backend in list(self.short):
            place = self.places.get(backend)
            if place is not None:
                self.open_for(backend, place)

    # what connections tell

    def rest(self, link: Link) -> None:
        """After a whole, clean answer: it will be put back in a moment, if nothing more comes on it."""
        place = self.places.get(link.backend)
        if place is not None and link in place.used:
            link.resting = True
            place.resting += 1
            self.resting += 1

    def rested(self, place: Place, link: Link) -> None:
        place.resting -= link.resting
        self.resting -= link.resting
        link.resting = False

    def put_back(self, link: Link) -> None:
        """After a whole, clean answer: free for the next, unless it is to go."""
        place = self.places.get(link.backend)
        if place is None or link not in place.used:
            return link.shut()
        self.rested(place, link)
        place.used.discard(link)
        now = self.clock()
        if link.state is State.RETIRING or not self.keeping and not place.waiting:
            return self.end(link, "retired")
        if now >= link.retire_at:
            return self.end(link, "aged")
        if place.waiting and not link.is_fit():
            return self.end(link, "stale")
        return self.give(place, link)

    def answered(self, link: Link) -> None:
        """A whole answer came on it, after all the time that it had stood idle."""
        place = self.places.get(link.backend)
        if place is not None:
            place.heard = self.clock()
            if link.idled > SHORTER * place.borne:
                place.borne = min(LONGER * place.borne, self.idle_limit(place))

    def broke(self, link: Link, sent_at: float) -> None:
        """It broke under an attempt: a kept one that was dead already tells that they are kept too long."""
        place = self.places.get(link.backend)
        self.figures["pool broke reused" if link.reused and link.idled else "pool broke new"] += 1
        if place is not None and link.idled and self.clock() - sent_at < AT_ONCE:
            place.borne = max(SHORTER * min(link.idled, place.borne, self.idle_limit(place)), LEAST_IDLE)

    def ended(self, link: Link) -> None:
        """It holds no descriptor any more, whoever closed it."""
        self.links.discard(link)
        place = self.places.get(link.backend)
        if place is not None:
            if link in place.idle:
                self.figures["pool closed idle"] += 1
                self.take_idle(place, link)
            self.rested(place, link)
            place.used.discard(link)
            if link in place.opening:
                self.opened(place, link)
            self.tidy(link.backend, place)
            if place.waiting:
                self.open_for(link.backend, place)
                self.leave_alone(place)
        link.state = State.CLOSED
        self.go_on()

    def leave_alone(self, place: Place) -> None:
        """Who waits where nothing can come any more, as there is no room to open, goes without."""
        while place.waiting and not (place.opening or place.used or self.is_busy(place)):
            self.figures["pool no room"] += 1
            place.waiting.popleft().lost(Outcome.NOT_SENT)

    # ends

    def close(self, place: Place, link: Link, why: str) -> None:
        """Closes what no attempt is on."""
        if link in place.idle:
            self.take_idle(place, link)
        else:
            self.opened(place, link)
        self.end(link, why)

    def end(self, link: Link, why: str) -> None:
        self.figures[f"pool {why}"] += 1
        self.closed_for(link.backend, why)
        link.state = State.CLOSED
        link.shut()

    def clear(self, place: Place, why: str) -> None:
        for link in [*place.idle, *place.opening]:
            self.close(place, link, why)
        for link in place.used:
            link.state = State.RETIRING

    def tidy(self, backend: str, place: Place) -> None:
        if place.address is None and not place.size() and not place.waiting:
            self.places.pop(backend, None)
            self.short.pop(backend, None)

    def sweep(self) -> None:
        """Closes what has been idle for long, or is old."""
        now = self.clock()
        for link, place in list(self.idle_links.items()):
            if link.idle_since < now - self.idle_limit(place) or now >= link.retire_at:
                self.close(place, link, "aged")

    def close_all(self) -> None:
        for place in self.places.values():
            self.clear(place, "at the end")
            for link in list(place.used):
                link.shut()

    def idle(self) -> int:
        return len(self.idle_links) + self.resting
