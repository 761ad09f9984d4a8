"""The pool of connections on a scripted clock: states, lines, bounds, and any order of events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from embersill.interface import Outcome, PoolSettings
from embersill.net.pool import Address, OpenFailure, PooledConnection, Pool, ConnectionState, Waiter

WHERE: Address = ("127.0.0.1", 1)
INF = float("inf")


class FakeAttempt:
    def __init__(self, backend: str, now: float, number: int = 0) -> None:
        self.backend, self.sent_at, self.until, self.number = backend, now, now + 5.0, number
        self.link: FakeLink | None = None
        self.outcome: Outcome | None = None

    def lost(self, outcome: Outcome) -> None:
        assert self.outcome is None and self.link is None
        self.outcome = outcome


class FakeLink(PooledConnection):
    def __init__(self, backend: str) -> None:
        super().__init__(backend)
        self.attempt: FakeAttempt | None = None
        self.up = self.shutting = self.unread = False

    def send(self, attempt: Waiter, wait: float) -> None:
        assert isinstance(attempt, FakeAttempt) and attempt.outcome is None and attempt.link is None
        assert self.attempt is None and self.up and not (self.shutting or self.unread)
        self.attempt, attempt.link = attempt, self

    def abort(self) -> None:
        self.shutting = True

    def is_reusable(self) -> bool:
        return self.up and not (self.unread or self.shutting)


class World:
    """A pool whose links do as they are scripted."""

    def __init__(self, most: int = 100, keepalive: float = 10.0, **told: float) -> None:
        self.now = 100.0
        self.made: list[FakeLink] = []
        self.told: list[tuple[str, int]] = []
        known = PoolSettings(**{"margin": 1.0, **told})  # type: ignore[arg-type]
        self.pool = Pool(lambda: self.now, self.open, most, keepalive, known)
        self.pool.on_open_failed = lambda backend, up: self.told.append((backend, up))
        for backend in "abc":
            self.pool.set_address(backend, WHERE)

    def open(self, backend: str, address: Address) -> PooledConnection:
        self.made.append(FakeLink(backend))
        return self.made[-1]

    def start(self, backend: str = "a") -> FakeAttempt:
        attempt = FakeAttempt(backend, self.now)
        self.pool.start(attempt)
        return attempt

    def up(self, place: int = -1) -> FakeLink:
        link = self.made[place]
        link.up = True
        self.pool.opening_succeeded(link)
        return link

    def done(self, link: FakeLink) -> None:
        attempt, link.attempt = link.attempt, None
        assert attempt is not None
        attempt.link = None
        attempt.outcome = Outcome.SERVED
        self.pool.answer_received(link)
        self.pool.release(link)

    def gone(self, link: FakeLink) -> None:
        link.up = False
        self.pool.connection_closed(link)


def test_the_one_used_last_is_used_next_and_surplus_ones_age_out() -> None:
    world = World()
    attempts = [world.start() for _ in range(3)]
    links = [world.up(n) for n in range(3)]
    assert [a.link for a in attempts] == links
    for link in links:
        world.done(link)
    for _ in range(8):
        world.now += 1.0
        attempt = world.start()
        assert attempt.link is links[2]
        world.done(links[2])
    world.now += 1.5
    world.pool.close_expired()
    assert links[0].shutting and links[1].shutting and not links[2].shutting
    assert world.pool.figures["pool aged"] == 2


def test_who_waits_takes_what_comes_first_and_the_rest_is_kept() -> None:
    world = World()
    first, second = world.start(), world.start()
    link = world.up(0)
    assert first.link is link and second.link is None
    world.done(link)
    assert second.link is link  # it fell free while the other was still being opened
    late = world.up(1)
    assert late.state is ConnectionState.IDLE and world.start().link is late


def test_one_failed_open_ends_one_attempt_and_only_where_opens_are_too_few() -> None:
    world = World()
    first, second = world.start(), world.start()
    world.pool.opening_failed(world.made[0], OpenFailure.REFUSED)
    assert first.outcome is Outcome.NO_CONNECTION and second.outcome is None
    third = world.start()
    link = world.up(1)
    assert second.link is link
    world.done(link)
    assert third.link is link
    world.pool.opening_failed(world.made[2], OpenFailure.TIMED_OUT)  # nobody needs it any more
    assert third.link is link and third.outcome is None


def test_opens_are_bounded_and_those_beyond_go_first_come() -> None:
    world = World(opening=3, opening_each=2)
    attempts = [world.start(b) for b in "aaabbc"]
    assert [link.backend for link in world.made] == ["a", "a", "b"]
    world.up(0)
    assert [link.backend for link in world.made[3:]] == ["a"]
    world.up(2)
    assert [link.backend for link in world.made[4:]] == ["b"]
    world.pool.opening_failed(world.made[1], OpenFailure.TIMED_OUT)
    assert [link.backend for link in world.made[5:]] == ["c"]
    for place in (3, 4, 5):
        world.up(place)
    assert [a.link is not None for a in attempts] == [True, False, True, True, True, True]


def test_a_withdrawn_attempts_turn_is_not_taken_by_nobody() -> None:
    world = World(opening=1)
    world.start("a")
    second, third = world.start("b"), world.start("c")
    world.pool.withdraw(second)
    world.up(0)
    assert [link.backend for link in world.made] == ["a", "c"]
    world.up(1)
    assert third.link is world.made[1] and second.link is None


def test_no_descriptor_is_told_as_not_sent_and_idle_ones_make_way() -> None:
    world = World()
    world.start("b")
    idle = world.up(0)
    world.done(idle)
    attempt = world.start("a")
    world.pool.opening_failed(world.made[1], OpenFailure.LOCAL)
    assert idle.shutting and attempt.outcome is None and len(world.made) == 3  # one more try, in its place
    world.pool.opening_failed(world.made[2], OpenFailure.LOCAL)
    assert attempt.outcome is Outcome.NOT_SENT and not world.told
    world = World(most=1)
    world.start("b")
    held = world.up(0)
    assert world.start("a").outcome is Outcome.NOT_SENT  # nothing can fall free at that backend
    waits = world.start("b")
    assert waits.outcome is None and world.pool.why_waiting(waits) is Outcome.NOT_SENT
    world.done(held)
    assert waits.link is held


def test_a_full_table_is_told_where_the_backend_was_heard_from_just_now() -> None:
    world = World()
    world.start()
    link = world.up(0)
    world.done(link)
    world.start()
    attempt = world.start()
    world.pool.opening_failed(world.made[1], OpenFailure.REFUSED)
    assert attempt.outcome is Outcome.NO_CONNECTION and world.told == [("a", 1)]
    world.now += 3.0  # silent for longer: it may as well be dead
    world.start()
    world.pool.opening_failed(world.made[2], OpenFailure.TIMED_OUT)
    assert len(world.told) == 1


def test_sizes_hold_and_a_line_waits_for_what_falls_free() -> None:
    world = World()
    world.pool.set_size("a", max_idle=1, max_connections=2, max_idle_time=INF)
    attempts = [world.start() for _ in range(3)]
    assert len(world.made) == 2
    links = [world.up(n) for n in range(2)]
    world.done(links[0])
    assert attempts[2].link is links[0]
    world.done(links[0])
    world.done(links[1])
    assert links[0].shutting and not links[1].shutting and world.pool.figures["pool surplus"] == 1
    world.pool.set_size("a", max_idle=0, max_connections=2, max_idle_time=INF)
    assert links[1].shutting


def test_connections_to_a_full_backend_stand_idle_for_less() -> None:
    world = World()
    world.start()
    link = world.up(0)
    world.done(link)
    world.pool.set_size("a", max_idle=INF, max_connections=1, max_idle_time=1.0)
    world.now += 0.9
    assert world.start().link is link
    world.done(link)
    world.now += 1.1
    world.pool.close_expired()
    assert link.shutting and world.pool.figures["pool aged"] == 1


def test_a_replaced_drained_or_banned_backends_connections_serve_nobody_after_their_answer() -> None:
    for way in ("replaced", "drained", "banned", "gone"):
        world = World()
        busy, waits = world.start(), None
        link = world.up(0)
        waits = world.start()
        if way == "replaced":
            world.pool.set_address("a", WHERE, 7.0)
        elif way == "drained":
            world.pool.retire("a")
        elif way == "banned":
            world.pool.close_unused("a")
        else:
            world.pool.retire_unlisted("bc")
        assert world.made[1].shutting and link.state is ConnectionState.RETIRING and busy.link is link
        assert waits.outcome is (None if way == "replaced" else Outcome.NO_CONNECTION)
        world.done(link)
        assert link.shutting and not world.pool.idle_count()
        if way == "replaced":
            world.up(2)
            assert waits.link is world.made[2]
        world.gone(link)
        world.gone(world.made[1])
        assert not world.pool.opening and (way != "drained" or "a" not in world.pool.backends)


def test_a_max_age_ends_connections_apart() -> None:
    world = World(max_age=100.0, keepalive=1000.0, opening_each=20)
    for _ in range(20):
        world.start()
    for link in [world.up(place) for place in range(20)]:
        world.done(link)
    ages = sorted(link.retire_at - world.now for link in world.made)
    assert 80 <= ages[0] < ages[-1] <= 120 and ages[-1] - ages[0] > 10
    world.now += 121.0
    assert world.start().link is None and world.pool.figures["pool aged"] == 20


def test_what_is_opened_ahead_is_bounded_and_used() -> None:
    world = World(opening_each=2)
    world.pool.preconnect("a", 5)
    assert len(world.made) == 2
    world.up(0)
    world.pool.preconnect("a", 1)
    assert len(world.made) == 2 and world.start().link is world.made[0]
    world.pool.preconnect("nobody", 1)


class AnyOrder(RuleBasedStateMachine):
    """Whatever happens in whatever order, no connection is shared, lost, or counted twice."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(most=6, opening=3, opening_each=2, max_age=30.0)
        self.pool = self.world.pool
        self.attempts: list[FakeAttempt] = []
        self.over: set[FakeLink] = set()

    def links(self, *states: ConnectionState) -> list[FakeLink]:
        return [k for k in self.world.made if k.state in states and k not in self.over]

    def one(self, draw: st.DataObject, links: list[FakeLink]) -> FakeLink | None:
        return draw.draw(st.sampled_from(links)) if links else None

    @rule(backend=st.sampled_from("abc"))
    def start(self, backend: str) -> None:
        attempt = FakeAttempt(backend, self.world.now, len(self.attempts))
        self.attempts.append(attempt)
        self.pool.start(attempt)

    @rule(draw=st.data())
    def came_up(self, draw: st.DataObject) -> None:
        link = self.one(draw, [k for k in self.links(ConnectionState.OPENING, ConnectionState.CLOSED) if not k.up])
        if link is not None:  # also one that was stopped just as it came up
            link.up = True
            self.pool.opening_succeeded(link)

    @rule(draw=st.data(), failure=st.sampled_from(OpenFailure))
    def failed(self, draw: st.DataObject, failure: OpenFailure) -> None:
        link = self.one(draw, self.links(ConnectionState.OPENING))
        if link is not None:
            self.over.add(link)
            self.pool.opening_failed(link, failure)
            self.pool.connection_closed(link)

    @rule(draw=st.data())
    def answered(self, draw: st.DataObject) -> None:
        link = self.one(draw, [k for k in self.links(ConnectionState.IN_USE, ConnectionState.RETIRING) if k.attempt])
        if link is not None:
            self.world.done(link)

    @rule(draw=st.data())
    def cut(self, draw: st.DataObject) -> None:
        link = self.one(draw, [k for k in self.links(ConnectionState.IDLE, ConnectionState.IN_USE, ConnectionState.RETIRING)])
        if link is not None:
            self.lose(link)

    def lose(self, link: FakeLink) -> None:
        attempt, link.attempt = link.attempt, None
        self.over.add(link)
        self.world.gone(link)
        if attempt is not None:
            self.pool.connection_broke(link, attempt.sent_at)
            attempt.link, attempt.outcome = None, Outcome.CONNECTION_LOST

    @rule(draw=st.data())
    def called_off(self, draw: st.DataObject) -> None:
        live = [a for a in self.attempts if a.outcome is None]
        attempt = draw.draw(st.sampled_from(live)) if live else None
        if attempt is not None and attempt.link is not None:
            attempt.link.attempt, link = None, attempt.link
            attempt.link, attempt.outcome = None, Outcome.CANCELLED
            link.abort()
        elif attempt is not None:
            attempt.outcome = Outcome.CANCELLED
            self.pool.withdraw(attempt)

    @rule(draw=st.data())
    def stray_byte(self, draw: st.DataObject) -> None:
        link = self.one(draw, self.links(ConnectionState.IDLE))
        if link is not None:
            link.unread = True

    @precondition(lambda self: any(k.shutting and k not in self.over for k in self.world.made))
    @rule(draw=st.data())
    def closed(self, draw: st.DataObject) -> None:
        link = draw.draw(st.sampled_from([k for k in self.world.made if k.shutting and k not in self.over]))
        self.lose(link)

    @rule(backend=st.sampled_from("abc"), what=st.integers(0, 6), number=st.integers(0, 3))
    def told(self, backend: str, what: int, number: int) -> None:
        if what < 2:
            self.pool.set_address(backend, WHERE, float(number))
        elif what == 2:
            self.pool.retire(backend)
        elif what == 3:
            self.pool.close_unused(backend)
        elif what == 4:
            self.pool.set_size(backend, number, number + 1, 2.0 * number)
        elif what == 5:
            self.pool.preconnect(backend, number)
        else:
            self.pool.drop_idle(backend)

    @rule(seconds=st.sampled_from([0.001, 0.5, 10.0]))
    def later(self, seconds: float) -> None:
        self.world.now += seconds
        self.pool.close_expired()

    @rule(keeping=st.booleans())
    def handed_over(self, keeping: bool) -> None:
        if keeping:
            self.pool.keeps_idle = True
        else:
            self.pool.stop_keeping_idle()

    @invariant()
    def each_stands_in_one_place(self) -> None:
        stands: list[PooledConnection] = []
        for place in self.pool.backends.values():
            stands += [*place.idle, *place.opening, *place.in_use]
            assert all(k.state is ConnectionState.IDLE for k in place.idle)
            assert all(k.state is ConnectionState.OPENING for k in place.opening) and len(place.opening) <= 2
            assert all(k.state in (ConnectionState.IN_USE, ConnectionState.RETIRING) for k in place.in_use)
            assert len(place.idle) <= place.max_idle
        assert len(stands) == len(set(stands)) <= 6
        assert set(stands) == {k for k in self.world.made if k.state is not ConnectionState.CLOSED}
        assert self.pool.opening == sum(k.state is ConnectionState.OPENING for k in stands) <= 3
        assert self.pool.connections == {k for k in self.world.made if k not in self.over}
        idle = {k: p for p in self.pool.backends.values() for k in p.idle}
        assert self.pool.idle_connections == idle
        since = [k.idle_since for k in self.pool.idle_connections]
        assert since == sorted(since)  # the first is the one that makes way
        assert self.pool.in_reuse_delay == sum(p.in_reuse_delay for p in self.pool.backends.values())

    @invariant()
    def each_attempt_has_its_own_connection_or_waits(self) -> None:
        waiting = [a for p in self.pool.backends.values() for a in p.waiting]
        assert len(waiting) == len(set(waiting))
        live = [a for a in self.attempts if a.outcome is None]
        assert {a for a in live if a.link is None} == set(waiting)
        carried = [a.link for a in live if a.link is not None]
        assert len(carried) == len(set(carried)) and all(k.attempt and k.attempt.link is k for k in carried)
        for place in self.pool.backends.values():
            numbers = [a.number for a in place.waiting if isinstance(a, FakeAttempt)]
            assert numbers == sorted(numbers) and not (place.waiting and place.idle)

    @invariant()
    def who_waits_has_something_to_wait_for(self) -> None:
        ending = [k for k in self.world.made if k.state is ConnectionState.CLOSED and k not in self.over]
        for backend, place in self.pool.backends.items():
            if place.waiting:
                busy = backend in self.pool.backends_waiting and (self.pool.opening or ending)
                assert place.opening or place.in_use or busy or any(k.backend == backend for k in ending)


AnyOrder.TestCase.settings = settings(
    max_examples=100, stateful_step_count=60, deadline=None, derandomize=True)
TestAnyOrder = AnyOrder.TestCase
