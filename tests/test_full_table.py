"""Twenty gateways and a backend that takes fewer connections than they want: modules and pools, simulated."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from embersill.control import LINKS_MORE, Gateway
from embersill.interface import Action, OpenFailed, Outcome, PoolSettings, Send, Size
from embersill.net.pool import Address, Failure, Link, Pool, State, Waiter
from tests.helpers import SETTINGS, backend, backends, ended, request

GATEWAYS, ROOM = 20, 14
RATE, WORK, HANDSHAKE = 3.0, 0.3, 0.002  # requests a second at each, seconds of work, seconds to open


class Clock:
    def __init__(self) -> None:
        self.now, self.count = 100.0, 0
        self.due: list[tuple[float, int, Callable[[], None]]] = []

    def later(self, delay: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + delay, self.count, what))

    def run(self, until: float) -> None:
        while self.due[0][0] <= until:
            self.now, _, what = heapq.heappop(self.due)
            what()
        self.now = until


class Table:
    """The connections that a backend holds."""

    def __init__(self, room: int) -> None:
        self.room, self.up, self.refused = room, 0, 0


class Try:
    def __init__(self, node: Node, number: int, place: int, to: str) -> None:
        self.node, self.number, self.place, self.backend = node, number, place, to
        self.sent_at = node.clock.now
        self.until = self.sent_at + 4.0

    def lost(self, outcome: Outcome) -> None:
        self.node.end(self, outcome)


class Wire(Link):
    def __init__(self, node: Node, to: str) -> None:
        super().__init__(to)
        self.node, self.up = node, False
        self.attempt: Waiter | None = None

    def carry(self, attempt: Waiter, wait: float) -> None:
        self.attempt = attempt
        self.node.clock.later(WORK, self.answer)

    def answer(self) -> None:
        attempt, self.attempt = self.attempt, None
        self.node.pool.answered(self)
        self.node.pool.put_back(self)
        assert isinstance(attempt, Try)
        self.node.end(attempt, Outcome.SERVED)

    def shut(self) -> None:
        if self.up:
            self.up = False
            self.node.tables[self.backend].up -= 1
        self.node.clock.later(0.0, lambda: self.node.pool.ended(self))

    def is_fit(self) -> bool:
        return self.up


class Node:
    """One gateway's module and pool."""

    def __init__(self, clock: Clock, tables: dict[str, Table], me: int, known: PoolSettings) -> None:
        self.clock, self.tables, self.served, self.number = clock, tables, dict.fromkeys(tables, 0), 0
        self.module = Gateway(replace(SETTINGS, me=me, gateways=GATEWAYS, pool=known), me, clock.now)
        self.module.handle(backends(*map(backend, tables)), clock.now)
        self.pool = Pool(lambda: clock.now, self.open, 100, 15.0, known, me)
        self.tries: dict[int, int] = {}
        for name in tables:
            self.pool.set_address(name, ("127.0.0.1", 1))
        self.pool.open_failed = lambda to, up: self.act(self.module.handle(OpenFailed(to, up), clock.now))

    def open(self, to: str, address: Address) -> Link:
        made = Wire(self, to)
        self.clock.later(HANDSHAKE, lambda: self.come_up(made))
        return made

    def come_up(self, link: Wire) -> None:
        table = self.tables[link.backend]
        if link.state is State.OPENING and table.up < table.room:
            table.up += 1
            link.up = True
            self.pool.came_up(link)
        elif link.state is State.OPENING:
            table.refused += 1
            self.pool.failed(link, Failure.REFUSED)
            self.pool.ended(link)

    def ask(self) -> None:
        self.number, now = self.number + 1, self.clock.now
        asked = replace(request(self.number), customer=f"c{self.number}", deadline=now + 4.0)
        self.act(self.module.handle(asked, now))

    def end(self, attempt: Try, outcome: Outcome) -> None:
        self.served[attempt.backend] += outcome is Outcome.SERVED
        now = self.clock.now
        told = ended(attempt.number, attempt.place, attempt.backend, outcome, now - attempt.sent_at)
        self.act(self.module.handle(told, now))

    def act(self, actions: list[Action]) -> None:
        for action in list(actions):
            if isinstance(action, Send):
                place = self.tries.get(action.request, 0)
                self.tries[action.request] = place + 1
                self.pool.start(Try(self, action.request, place, action.backend))
            elif isinstance(action, Size):
                self.pool.set_size(action.backend, action.keep, action.most, action.idle_for)


class Fleet:
    def __init__(self, known: PoolSettings) -> None:
        self.clock, self.tables = Clock(), {"full": Table(ROOM), "roomy": Table(1000)}
        self.nodes = [Node(self.clock, self.tables, me, known) for me in range(GATEWAYS)]
        self.dice = random.Random(3)
        for node in self.nodes:
            self.ask_on(node)
        self.sweep_on()

    def ask_on(self, node: Node) -> None:
        def asks() -> None:
            node.ask()
            self.ask_on(node)

        self.clock.later(self.dice.expovariate(RATE), asks)

    def sweep_on(self) -> None:
        for node in self.nodes:
            node.pool.sweep()
        self.clock.later(1.0, self.sweep_on)

    def play(self, seconds: float) -> list[int]:
        """What each gateway had served at the full backend meanwhile."""
        before = [node.served["full"] for node in self.nodes]
        self.clock.run(self.clock.now + seconds)
        return [node.served["full"] - was for node, was in zip(self.nodes, before, strict=True)]


@pytest.fixture(scope="module")
def unlearned() -> list[int]:
    return Fleet(PoolSettings(learned=False)).play(90.0)


def test_a_full_table_is_used_and_shared_without_a_storm_and_after_it_all_of_it(unlearned: list[int]) -> None:
    fleet = Fleet(PoolSettings())
    served = fleet.play(90.0)
    assert sum(served) > 1.5 * sum(unlearned)  # there its refusals passed for its death
    assert sum(n > 0 for n in served) > ROOM  # its places go round
    refused = fleet.tables["full"].refused
    assert refused / 90.0 < 1.5 / LINKS_MORE
    fleet.tables["full"].room = 1000
    fleet.play(30.0)
    freed = fleet.play(60.0)
    assert fleet.tables["full"].refused == refused and all(freed)
    assert sum(freed) / 60.0 > 1.4 * sum(served) / 90.0
