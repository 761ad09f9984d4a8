"""The pool of connections with a scripted clock: states, queues, limits, and events in any order."""

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
        self.connection: FakeConnection | None = None
        self.outcome: Outcome | None = None

    def lost(self, outcome: Outcome) -> None:
        assert self.outcome is None and self.connection is None
        self.outcome = outcome


class FakeConnection(PooledConnection):
    def __init__(self, backend: str) -> None:
        super().__init__(backend)
        self.attempt: FakeAttempt | None = None
        self.up = self.shutting = self.unread = False

    def send(self, attempt: Waiter, wait: float) -> None:
        assert isinstance(attempt, FakeAttempt) and attempt.outcome is None and attempt.connection is None
        assert self.attempt is None and self.up and not (self.shutting or self.unread)
        self.attempt, attempt.connection = attempt, self

    def abort(self) -> None:
        self.shutting = True

    def is_reusable(self) -> bool:
        return self.up and not (self.unread or self.shutting)


class World:
    """A pool with connections that a test controls."""

    def __init__(self, most: int = 100, keepalive: float = 10.0, **told: float) -> None:
        self.now = 100.0
        self.made: list[FakeConnection] = []
        self.told: list[tuple[str, int]] = []
        known = PoolSettings(**{"margin": 1.0, **told})  # type: ignore[arg-type]
        self.pool = Pool(lambda: self.now, self.open, most, keepalive, known)
        self.pool.on_open_failed = lambda backend, up: self.told.append((backend, up))
        for backend in "abc":
            self.pool.set_address(backend, WHERE)

    def open(self, backend: str, address: Address) -> PooledConnection:
        self.made.append(FakeConnection(backend))
        return self.made[-1]

    def start(self, backend: str = "a") -> FakeAttempt:
        attempt = FakeAttempt(backend, self.now)
        self.pool.start(attempt)
        return attempt

    def up(self, index: int = -1) -> FakeConnection:
        connection = self.made[index]
        connection.up = True
        self.pool.opening_succeeded(connection)
        return connection

    def done(self, connection: FakeConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        assert attempt is not None
        attempt.connection = None
        attempt.outcome = Outcome.SERVED
        self.pool.answer_received(connection)
        self.pool.release(connection)

    def gone(self, connection: FakeConnection) -> None:
        connection.up = False
        self.pool.connection_closed(connection)


def test_the_connection_used_last_is_reused_first_and_others_expire() -> None:
    world = World()
    attempts = [world.start() for _ in range(3)]
    connections = [world.up(n) for n in range(3)]
    assert [a.connection for a in attempts] == connections
    for connection in connections:
        world.done(connection)
    for _ in range(8):
        world.now += 1.0
        attempt = world.start()
        assert attempt.connection is connections[2]
        world.done(connections[2])
    world.now += 1.5
    world.pool.close_expired()
    assert connections[0].shutting and connections[1].shutting and not connections[2].shutting
    assert world.pool.figures["pool aged"] == 2


def test_a_waiting_attempt_takes_the_first_free_connection_and_the_other_is_kept() -> None:
    world = World()
    first, second = world.start(), world.start()
    connection = world.up(0)
    assert first.connection is connection and second.connection is None
    world.done(connection)
    assert second.connection is connection  # it became free while the other was still being opened
    late = world.up(1)
    assert late.state is ConnectionState.IDLE and world.start().connection is late


def test_a_failed_open_ends_one_attempt_where_too_few_others_are_under_way() -> None:
    world = World()
    first, second = world.start(), world.start()
    world.pool.opening_failed(world.made[0], OpenFailure.REFUSED)
    assert first.outcome is Outcome.NO_CONNECTION and second.outcome is None
    third = world.start()
    connection = world.up(1)
    assert second.connection is connection
    world.done(connection)
    assert third.connection is connection
    world.pool.opening_failed(world.made[2], OpenFailure.TIMED_OUT)  # no attempt needs it any more
    assert third.connection is connection and third.outcome is None


def test_concurrent_opens_are_bounded_and_backends_wait_in_order() -> None:
    world = World(opening=3, opening_each=2)
    attempts = [world.start(b) for b in "aaabbc"]
    assert [connection.backend for connection in world.made] == ["a", "a", "b"]
    world.up(0)
    assert [connection.backend for connection in world.made[3:]] == ["a"]
    world.up(2)
    assert [connection.backend for connection in world.made[4:]] == ["b"]
    world.pool.opening_failed(world.made[1], OpenFailure.TIMED_OUT)
    assert [connection.backend for connection in world.made[5:]] == ["c"]
    for index in (3, 4, 5):
        world.up(index)
    assert [a.connection is not None for a in attempts] == [True, False, True, True, True, True]


def test_the_turn_of_a_withdrawn_attempt_goes_to_the_next_backend() -> None:
    world = World(opening=1)
    world.start("a")
    second, third = world.start("b"), world.start("c")
    world.pool.withdraw(second)
    world.up(0)
    assert [connection.backend for connection in world.made] == ["a", "c"]
    world.up(1)
    assert third.connection is world.made[1] and second.connection is None


def test_without_descriptors_idle_connections_are_evicted_and_attempts_are_not_sent() -> None:
    world = World()
    world.start("b")
    idle = world.up(0)
    world.done(idle)
    attempt = world.start("a")
    world.pool.opening_failed(world.made[1], OpenFailure.LOCAL)
    # one more open is tried, in place of the evicted connection
    assert idle.shutting and attempt.outcome is None and len(world.made) == 3
    world.pool.opening_failed(world.made[2], OpenFailure.LOCAL)
    assert attempt.outcome is Outcome.NOT_SENT and not world.told
    world = World(most=1)
    world.start("b")
    held = world.up(0)
    assert world.start("a").outcome is Outcome.NOT_SENT  # no connection to that backend can become free
    waits = world.start("b")
    assert waits.outcome is None and world.pool.timeout_outcome(waits) is Outcome.NOT_SENT
    world.done(held)
    assert waits.connection is held


def test_a_failed_open_is_reported_where_the_backend_answered_recently() -> None:
    world = World()
    world.start()
    connection = world.up(0)
    world.done(connection)
    world.start()
    attempt = world.start()
    world.pool.opening_failed(world.made[1], OpenFailure.REFUSED)
    assert attempt.outcome is Outcome.NO_CONNECTION and world.told == [("a", 1)]
    world.now += 3.0  # without an answer for longer, the backend may be down
    world.start()
    world.pool.opening_failed(world.made[2], OpenFailure.TIMED_OUT)
    assert len(world.told) == 1


def test_size_limits_hold_and_attempts_wait_for_a_free_connection() -> None:
    world = World()
    world.pool.set_size("a", max_idle=1, max_connections=2, max_idle_time=INF)
    attempts = [world.start() for _ in range(3)]
    assert len(world.made) == 2
    connections = [world.up(n) for n in range(2)]
    world.done(connections[0])
    assert attempts[2].connection is connections[0]
    world.done(connections[0])
    world.done(connections[1])
    assert connections[0].shutting and not connections[1].shutting and world.pool.figures["pool surplus"] == 1
    world.pool.set_size("a", max_idle=0, max_connections=2, max_idle_time=INF)
    assert connections[1].shutting


def test_connections_to_a_full_backend_are_idle_for_a_shorter_time() -> None:
    world = World()
    world.start()
    connection = world.up(0)
    world.done(connection)
    world.pool.set_size("a", max_idle=INF, max_connections=1, max_idle_time=1.0)
    world.now += 0.9
    assert world.start().connection is connection
    world.done(connection)
    world.now += 1.1
    world.pool.close_expired()
    assert connection.shutting and world.pool.figures["pool aged"] == 1


def test_connections_to_a_replaced_drained_or_suspended_backend_are_not_reused() -> None:
    for way in ("replaced", "drained", "banned", "gone"):
        world = World()
        busy, waits = world.start(), None
        connection = world.up(0)
        waits = world.start()
        if way == "replaced":
            world.pool.set_address("a", WHERE, 7.0)
        elif way == "drained":
            world.pool.retire("a")
        elif way == "banned":
            world.pool.close_unused("a")
        else:
            world.pool.retire_unlisted("bc")
        assert (
            world.made[1].shutting
            and connection.state is ConnectionState.RETIRING
            and busy.connection is connection)
        assert waits.outcome is (None if way == "replaced" else Outcome.NO_CONNECTION)
        world.done(connection)
        assert connection.shutting and not world.pool.idle_count()
        if way == "replaced":
            world.up(2)
            assert waits.connection is world.made[2]
        world.gone(connection)
        world.gone(world.made[1])
        assert not world.pool.opening and (way != "drained" or "a" not in world.pool.backends)


def test_connections_opened_together_reach_their_age_limits_apart() -> None:
    world = World(max_age=100.0, keepalive=1000.0, opening_each=20)
    for _ in range(20):
        world.start()
    for connection in [world.up(index) for index in range(20)]:
        world.done(connection)
    ages = sorted(connection.retire_at - world.now for connection in world.made)
    assert 80 <= ages[0] < ages[-1] <= 120 and ages[-1] - ages[0] > 10
    world.now += 121.0
    assert world.start().connection is None and world.pool.figures["pool aged"] == 20


def test_preconnected_connections_are_bounded_and_used() -> None:
    world = World(opening_each=2)
    world.pool.preconnect("a", 5)
    assert len(world.made) == 2
    world.up(0)
    world.pool.preconnect("a", 1)
    assert len(world.made) == 2 and world.start().connection is world.made[0]
    world.pool.preconnect("nobody", 1)


class PoolInAnyOrder(RuleBasedStateMachine):
    """In any order of events, no connection is shared, lost or counted twice."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(most=6, opening=3, opening_each=2, max_age=30.0)
        self.pool = self.world.pool
        self.attempts: list[FakeAttempt] = []
        self.over: set[FakeConnection] = set()

    def connections(self, *states: ConnectionState) -> list[FakeConnection]:
        return [k for k in self.world.made if k.state in states and k not in self.over]

    def one(self, draw: st.DataObject, connections: list[FakeConnection]) -> FakeConnection | None:
        return draw.draw(st.sampled_from(connections)) if connections else None

    @rule(backend=st.sampled_from("abc"))
    def start(self, backend: str) -> None:
        attempt = FakeAttempt(backend, self.world.now, len(self.attempts))
        self.attempts.append(attempt)
        self.pool.start(attempt)

    @rule(draw=st.data())
    def became_open(self, draw: st.DataObject) -> None:
        connection = self.one(draw, [
            k for k in self.connections(ConnectionState.OPENING, ConnectionState.CLOSED) if not k.up])
        if connection is not None:  # also one whose opening was cancelled at the same moment
            connection.up = True
            self.pool.opening_succeeded(connection)

    @rule(draw=st.data(), failure=st.sampled_from(OpenFailure))
    def failed(self, draw: st.DataObject, failure: OpenFailure) -> None:
        connection = self.one(draw, self.connections(ConnectionState.OPENING))
        if connection is not None:
            self.over.add(connection)
            self.pool.opening_failed(connection, failure)
            self.pool.connection_closed(connection)

    @rule(draw=st.data())
    def answered(self, draw: st.DataObject) -> None:
        connection = self.one(draw, [
            k for k in self.connections(ConnectionState.IN_USE, ConnectionState.RETIRING) if k.attempt])
        if connection is not None:
            self.world.done(connection)

    @rule(draw=st.data())
    def connection_lost(self, draw: st.DataObject) -> None:
        connection = self.one(draw, [
            k for k in self.connections(
                ConnectionState.IDLE, ConnectionState.IN_USE, ConnectionState.RETIRING)])
        if connection is not None:
            self.lose(connection)

    def lose(self, connection: FakeConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        self.over.add(connection)
        self.world.gone(connection)
        if attempt is not None:
            self.pool.connection_broke(connection, attempt.sent_at)
            attempt.connection, attempt.outcome = None, Outcome.CONNECTION_LOST

    @rule(draw=st.data())
    def attempt_cancelled(self, draw: st.DataObject) -> None:
        live = [a for a in self.attempts if a.outcome is None]
        attempt = draw.draw(st.sampled_from(live)) if live else None
        if attempt is not None and attempt.connection is not None:
            attempt.connection.attempt, connection = None, attempt.connection
            attempt.connection, attempt.outcome = None, Outcome.CANCELLED
            connection.abort()
        elif attempt is not None:
            attempt.outcome = Outcome.CANCELLED
            self.pool.withdraw(attempt)

    @rule(draw=st.data())
    def surplus_byte(self, draw: st.DataObject) -> None:
        connection = self.one(draw, self.connections(ConnectionState.IDLE))
        if connection is not None:
            connection.unread = True

    @precondition(lambda self: any(k.shutting and k not in self.over for k in self.world.made))
    @rule(draw=st.data())
    def closed(self, draw: st.DataObject) -> None:
        connection = draw.draw(st.sampled_from([
            k for k in self.world.made if k.shutting and k not in self.over]))
        self.lose(connection)

    @rule(backend=st.sampled_from("abc"), what=st.integers(0, 6), number=st.integers(0, 3))
    def updated(self, backend: str, what: int, number: int) -> None:
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
            self.pool.close_idle(backend)

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
    def each_connection_has_one_state(self) -> None:
        stands: list[PooledConnection] = []
        for pool in self.pool.backends.values():
            stands += [*pool.idle, *pool.opening, *pool.in_use]
            assert all(k.state is ConnectionState.IDLE for k in pool.idle)
            assert all(k.state is ConnectionState.OPENING for k in pool.opening) and len(pool.opening) <= 2
            assert all(k.state in (ConnectionState.IN_USE, ConnectionState.RETIRING) for k in pool.in_use)
            assert len(pool.idle) <= pool.max_idle
        assert len(stands) == len(set(stands)) <= 6
        assert set(stands) == {k for k in self.world.made if k.state is not ConnectionState.CLOSED}
        assert self.pool.opening == sum(k.state is ConnectionState.OPENING for k in stands) <= 3
        assert self.pool.connections == {k for k in self.world.made if k not in self.over}
        idle = {k: p for p in self.pool.backends.values() for k in p.idle}
        assert self.pool.idle_connections == idle
        since = [k.idle_since for k in self.pool.idle_connections]
        assert since == sorted(since)  # the first is the one to be evicted
        assert self.pool.in_reuse_delay == sum(p.in_reuse_delay for p in self.pool.backends.values())

    @invariant()
    def each_attempt_has_its_own_connection_or_waits(self) -> None:
        waiting = [a for p in self.pool.backends.values() for a in p.waiting]
        assert len(waiting) == len(set(waiting))
        live = [a for a in self.attempts if a.outcome is None]
        assert {a for a in live if a.connection is None} == set(waiting)
        carried = [a.connection for a in live if a.connection is not None]
        assert len(carried) == len(set(carried)) and all(
            k.attempt and k.attempt.connection is k for k in carried)
        for pool in self.pool.backends.values():
            numbers = [a.number for a in pool.waiting if isinstance(a, FakeAttempt)]
            assert numbers == sorted(numbers) and not (pool.waiting and pool.idle)

    @invariant()
    def waiting_attempts_can_still_get_a_connection(self) -> None:
        ending = [k for k in self.world.made if k.state is ConnectionState.CLOSED and k not in self.over]
        for backend, pool in self.pool.backends.items():
            if pool.waiting:
                busy = backend in self.pool.backends_waiting and (self.pool.opening or ending)
                assert pool.opening or pool.in_use or busy or any(k.backend == backend for k in ending)


PoolInAnyOrder.TestCase.settings = settings(
    max_examples=100, stateful_step_count=60, deadline=None, derandomize=True)
TestPoolInAnyOrder = PoolInAnyOrder.TestCase
