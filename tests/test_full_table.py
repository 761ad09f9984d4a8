"""Twenty gateways and a backend that takes fewer connections than they want, played in the laboratory."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from embersill.control import CONNECTION_RAISE_INTERVAL
from embersill.interface import Outcome, PoolSettings
from embersill.lab.clock import Clock
from embersill.lab.counter import CounterService
from embersill.lab.machine import Machine
from embersill.lab.network import Way, Weather
from embersill.lab.node import Attempt, Call, Node
from embersill.lab.rules import Rules
from embersill.lab.scenario import BackendForm, Class, Counter, Net, PlanForm
from tests.helpers import SETTINGS, backend, backends, request

GATEWAYS, ROOM = 20, 14
RATE, WORK, WAY = 3.0, 0.3, 0.001  # requests a second at each gateway, seconds of work, seconds one way
READ = Class(name="read", share=1.0, work=WORK, aim=1.0, deadline=4.0)
SMALL = PlanForm(name="small", share=1.0, rate=1.0, burst=2.0)


class Counting(Node):
    """A gateway, and what it had served at the full backend."""

    at_full = 0

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        self.at_full += outcome is Outcome.SERVED and attempt.backend == "full"
        super().attempt_ended(attempt, outcome)


class Fleet:
    def __init__(self, known: PoolSettings) -> None:
        self.clock, self.dice = Clock(100.0), random.Random(3)
        self.machines = {name: self.machine(name, room) for name, room in (("full", ROOM), ("roomy", 1000))}
        self.rules = Rules()
        counter = CounterService(self.clock, Counter())
        listed = backends(*map(backend, self.machines))
        self.nodes = []
        for me in range(GATEWAYS):
            way = Way(Net(same=WAY, jitter=0.0), "z", self.dice, Weather())
            settings = replace(SETTINGS, gateway_index=me, gateways=GATEWAYS, pool=known)
            node = Counting(
                f"n{me}", self.clock, settings, me, way, self.machines, counter, self.rules, 100, 0.25,
                15.0)
            node.hear(listed)
            self.nodes.append(node)
            self.ask_on(node)

    def machine(self, name: str, room: int) -> Machine:
        form = BackendForm(cores=1000, slots=1000, handshake_s=0.0, connections=room)
        return Machine(self.clock, form, name, "z", 0, 1.0, WORK)

    def ask_on(self, node: Node) -> None:
        def asks() -> None:
            number, end = node.number(), self.clock.now + 4.0
            asked = replace(request(number), customer=f"c{number}", deadline=end)  # so that no quota binds
            node.take(asked, Call(READ, SMALL, WORK, end, end, lambda: None, lambda outcome, after: None))
            self.ask_on(node)

        self.clock.later(self.dice.expovariate(RATE), asks)

    def play(self, seconds: float) -> list[int]:
        """What each gateway had served at the full backend meanwhile."""
        before = [node.at_full for node in self.nodes]
        self.clock.run(self.clock.now + seconds)
        return [node.at_full - was for node, was in zip(self.nodes, before, strict=True)]


@pytest.fixture(scope="module")
def unlearned() -> list[int]:
    return Fleet(PoolSettings(learned=False)).play(90.0)


def test_a_full_table_is_used_and_shared_without_a_storm_and_after_it_all_of_it(unlearned: list[int]) -> None:
    fleet = Fleet(PoolSettings())
    full = fleet.machines["full"]
    served = fleet.play(90.0)
    assert sum(served) > 1.5 * sum(unlearned)  # there its refusals passed for its death
    assert sum(n > 0 for n in served) > ROOM  # its places go round
    refused = full.refused
    assert refused / 90.0 < 1.5 / CONNECTION_RAISE_INTERVAL
    full.form = msgspec.structs.replace(full.form, connections=1000)
    fleet.play(30.0)
    freed = fleet.play(60.0)
    assert full.refused == refused and all(freed)
    assert not fleet.rules.breaches
    assert sum(freed) / 60.0 > 1.4 * sum(served) / 90.0
