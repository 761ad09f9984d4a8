"""Simulates twenty gateways and a backend that accepts fewer connections than they need."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from embersill.control import CONNECTION_RAISE_INTERVAL
from embersill.interface import Outcome, PoolSettings
from embersill.lab.clock import VirtualClock
from embersill.lab.counter import CounterService
from embersill.lab.machine import Machine
from embersill.lab.network import GatewayNetwork, NetworkConditions
from embersill.lab.node import Attempt, ClientTry, ModelGateway
from embersill.lab.rules import RuleChecker
from embersill.lab.scenario import BackendConfig, ClassConfig, CounterConfig, NetworkConfig, PlanConfig
from tests.helpers import SETTINGS, backend, backends, request

GATEWAYS, CONNECTION_LIMIT = 20, 14
RATE, WORK, LATENCY = 3.0, 0.3, 0.001  # requests a second at each gateway, seconds of work, seconds one way
READ = ClassConfig(name="read", share=1.0, work=WORK, aim=1.0, deadline=4.0)
SMALL = PlanConfig(name="small", share=1.0, rate=1.0, burst=2.0)


class CountingNode(ModelGateway):
    """A gateway that counts the requests served by the full backend."""

    served_at_full = 0

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        self.served_at_full += outcome is Outcome.SERVED and attempt.backend == "full"
        super().attempt_ended(attempt, outcome)


class Fleet:
    """The gateways, and two backends: a full one and one with room."""

    def __init__(self, pool: PoolSettings) -> None:
        self.clock, self.dice = VirtualClock(100.0), random.Random(3)
        self.machines = {
            name: self.machine(name, limit) for name, limit in (("full", CONNECTION_LIMIT), ("roomy", 1000))}
        self.rules = RuleChecker()
        counter = CounterService(self.clock, CounterConfig())
        listed = backends(*map(backend, self.machines))
        self.nodes = []
        for me in range(GATEWAYS):
            way = GatewayNetwork(NetworkConfig(same=LATENCY, jitter=0.0), "z", self.dice, NetworkConditions())
            settings = replace(SETTINGS, gateway_index=me, gateways=GATEWAYS, pool=pool)
            node = CountingNode(
                f"n{me}", self.clock, settings, me, way, self.machines, counter, self.rules, 100, 0.25,
                15.0)
            node.receive_list(listed)
            self.nodes.append(node)
            self.schedule_request(node)

    def machine(self, name: str, connection_limit: int) -> Machine:
        form = BackendConfig(cores=1000, slots=1000, handshake_s=0.0, connections=connection_limit)
        return Machine(self.clock, form, name, "z", 0, 1.0, WORK)

    def schedule_request(self, node: ModelGateway) -> None:
        def send() -> None:
            number, deadline = node.next_number(), self.clock.now + 4.0
            asked = replace(request(number), customer=f"c{number}", deadline=deadline)  # below its quota
            node.accept(asked, ClientTry(
                READ, SMALL, WORK, deadline, deadline, lambda: None, lambda outcome, after: None))
            self.schedule_request(node)

        self.clock.later(self.dice.expovariate(RATE), send)

    def play(self, seconds: float) -> list[int]:
        """Requests of each gateway that the full backend served meanwhile."""
        before = [node.served_at_full for node in self.nodes]
        self.clock.run(self.clock.now + seconds)
        return [node.served_at_full - was for node, was in zip(self.nodes, before, strict=True)]


@pytest.fixture(scope="module")
def unlearned() -> list[int]:
    return Fleet(PoolSettings(learned=False)).play(90.0)


def test_a_backend_at_its_connection_limit_is_shared_and_later_used_fully(unlearned: list[int]) -> None:
    fleet = Fleet(PoolSettings())
    full = fleet.machines["full"]
    served = fleet.play(90.0)
    assert sum(served) > 1.5 * sum(unlearned)  # there its refusals count as failures
    assert sum(n > 0 for n in served) > CONNECTION_LIMIT  # gateways take turns
    refused = full.refused
    assert refused / 90.0 < 1.5 / CONNECTION_RAISE_INTERVAL
    full.config = msgspec.structs.replace(full.config, connections=1000)
    fleet.play(30.0)
    served_after = fleet.play(60.0)
    assert full.refused == refused and all(served_after)
    assert not fleet.rules.breaches
    assert sum(served_after) / 60.0 > 1.4 * sum(served) / 90.0
