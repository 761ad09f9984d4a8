"""Simulates the gateways of one customer and a shared counter in virtual time, without sockets.

`CeilingFleet` runs a load or a random schedule with faults; `lowest_level` computes the lowest level of the
customer's ceiling from the requests that were sent.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import inf

from embersill.control import Gateway
from embersill.interface import (
    Action, AddToCounter, CounterCallEnded, Event, Outcome, Plan, PredecessorEnded, PredecessorState, Refuse,
    Request, Send, SetTimer, Settings, TimerExpired,
)
from embersill.lab.scale.resp import AddCall, CounterModel
from tests.helpers import SETTINGS, backend, backends, ended

START = 1000.0
COUNTER_LATENCY = 0.004  # seconds
WORK = 0.02  # seconds of work at a backend
CUSTOMER = "c"
MAX_TIMER = 71 * 60.0  # seconds that the simulator's wire allows


@dataclass
class Process:
    """One process of a gateway. `ahead`: seconds by which its clock is ahead of the simulation's."""

    me: int
    gateway: Gateway
    ahead: float
    running: bool = True


Answer = Callable[[AddToCounter, float], tuple[Outcome, float, float]]


def prompt(call: AddToCounter, now: float) -> tuple[Outcome, float, float]:
    """The answer of a counter without faults."""
    return Outcome.SERVED, COUNTER_LATENCY, 0.0


class CeilingFleet:
    """Runs events in the order of the simulation's time.

    `answer`: of a counter call, its outcome, the delay of the result and the delay of the addition.
    """

    def __init__(self, settings: Settings, answer: Answer = prompt) -> None:
        self.settings, self.answer = settings, answer
        self.now, self.order = START, 0
        self.counter = CounterModel(lambda: self.now, 1, 0.0)
        self.processes: dict[int, Process] = {}
        self.waiting: list[tuple[float, int, Callable[[], None]]] = []
        self.sent: list[tuple[float, float]] = []  # first attempts: time and units
        self.asked: dict[int, float] = {}  # units by request
        self.refused = self.calls = 0
        self.lame_ducks: Counter[int] = Counter()  # processes that hand over, by gateway
        self.retried: set[int] = set()
        self.first_outcome: Callable[[int], Outcome] = lambda number: Outcome.SERVED

    def start(self, me: int, ahead: float = 0.0) -> Process:
        """Starts a process of a gateway; the previous one, if any, is killed."""
        if me in self.processes:
            self.processes[me].running = False
        made = Gateway(replace(self.settings, gateway_index=me), self.order * 1000 + me, self.now + ahead)
        made.handle(backends(backend("a"), backend("b")), self.now + ahead)
        self.processes[me] = Process(me, made, ahead)
        return self.processes[me]

    def hand_over(self, me: int, ahead: float, overlap: float) -> None:
        """Starts a successor; the predecessor finishes its requests for `overlap` seconds."""
        predecessor = self.processes[me]
        state = predecessor.gateway.hand_over(self.now + predecessor.ahead)
        del self.processes[me]
        successor = self.start(me, ahead)
        state = {**state, "clock_ahead": ahead - predecessor.ahead}
        self.handle(successor, PredecessorState(state))

        self.lame_ducks[me] += 1

        def end() -> None:
            predecessor.running = False
            self.lame_ducks[me] -= 1
            if successor.running:
                self.handle(successor, PredecessorEnded())

        self.schedule(overlap, end)

    def schedule(self, delay: float, act: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.waiting, (self.now + delay, self.order, act))

    def handle(self, process: Process, event: Event) -> None:
        if process.running:
            for action in process.gateway.handle(event, self.now + process.ahead):
                self.perform(process, action)

    def handle_later(self, delay: float, process: Process, event: Event) -> None:
        self.schedule(delay, lambda: self.handle(process, event))

    def perform(self, process: Process, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert 0.0 < action.delay < MAX_TIMER
            self.handle_later(action.delay, process, TimerExpired(action.key))
        elif isinstance(action, AddToCounter):
            self.count(process, action)
        elif isinstance(action, Refuse):
            self.refused += 1
        elif isinstance(action, Send):
            self.attempt(process, action)

    def attempt(self, process: Process, action: Send) -> None:
        number = action.request
        first = number not in self.retried
        self.retried.add(number)
        if first:
            self.sent.append((self.now, self.asked[number]))
        outcome = self.first_outcome(number) if first else Outcome.SERVED
        index = len(process.gateway.jobs[number].attempts) - 1
        self.handle_later(WORK, process, ended(number, index, action.backend, outcome, elapsed=WORK))

    def count(self, process: Process, call: AddToCounter) -> None:
        self.calls += 1
        outcome, delay, added_after = self.answer(call, self.now)
        result = CounterCallEnded(call.name, outcome, delay, 0.0)

        def add() -> None:
            nonlocal result
            self.counter.reserve(call.name)
            total = self.counter.add(AddCall(call.name, call.amount, call.expire_after))
            result = replace(result, total=float(f"{total:.7g}"))

        if outcome in (Outcome.SERVED, Outcome.TIMED_OUT) and added_after < inf:
            self.schedule(added_after, add)
        self.schedule(delay, lambda: self.handle(process, result))

    def request(
        self, me: int, number: int, units: float, timeout: float, first_gateway: int = 0, width: int = 0
    ) -> None:
        self.asked[number] = units
        process = self.processes.get(me)
        if process is None:
            return
        plan, deadline = self.settings.plans[0].name, self.now + process.ahead + timeout
        gateway_count = width or self.settings.gateways
        self.handle(process, Request(
            number, "read", plan, CUSTOMER, deadline, units, gateway_count, first_gateway, False))

    def run_to(self, until: float) -> None:
        while self.waiting and self.waiting[0][0] <= until:
            at, _, act = heapq.heappop(self.waiting)
            self.now = max(self.now, at)
            act()
        self.now = until


def lowest_level(plan: Plan, sent: list[tuple[float, float]]) -> float:
    """The lowest level of the customer's ceiling; negative if more was sent than it allows."""
    level = lowest = plan.ceiling_depth
    last = START
    for at, units in sent:
        level = min(plan.ceiling_depth, level + plan.ceiling_rate * (at - last)) - units
        lowest, last = min(lowest, level), at
    return lowest


def allowed_excess(plan: Plan, max_units: float) -> float:
    """Units by which the level of the ceiling may fall below zero."""
    return max(plan.ceiling_depth / 10.0, max_units)


PLAN = Plan("wide", 9.0, 23.0, 0, 15.0, 41.0, 1.0, 0.0, 1.0)


def played_load(
    width: int, units: float, counter: bool, seconds: float = 40.0, answer: Answer = prompt
) -> tuple[CeilingFleet, float]:
    """Runs a fleet at 1.5 times the ceiling; returns it and the sent fraction of the quota."""
    dice = random.Random(f"{width} {units}")
    settings = replace(
        SETTINGS, gateways=width, plans=(PLAN,), counter=counter, max_units=units, counter_timeout=0.03)
    fleet = CeilingFleet(settings, answer)
    for me in range(width):
        fleet.start(me)
    fleet.run_to(START + 10.0)  # the parts of gateways that have just started are empty
    started_at, number = fleet.now, 0
    while fleet.now < started_at + seconds:
        number += 1
        fleet.request(dice.randrange(width), number, units, 4.0)
        fleet.run_to(fleet.now + dice.expovariate(1.5 * PLAN.ceiling_rate / units))
    fleet.run_to(started_at + seconds)
    allowed = PLAN.burst + PLAN.rate * seconds
    return fleet, sum(sent for at, sent in fleet.sent) / allowed
