"""Gateways of one customer in front of one counter, in virtual time: the decisions alone, no sockets.

`CeilingFleet` plays a load or a drawn schedule with faults; `lowest_store` tells how far the customer's true
store fell.
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
COUNTER_ANSWERS = 0.004  # seconds
WORK = 0.02  # seconds that a backend takes
CUSTOMER = "c"
LONGEST_TIMER = 71 * 60.0  # seconds that the simulator's wire allows


@dataclass
class Process:
    """One process of a gateway. Its clock may be ahead of the true time."""

    me: int
    gateway: Gateway
    ahead: float
    running: bool = True


Answer = Callable[[AddToCounter, float], tuple[Outcome, float, float]]


def prompt(call: AddToCounter, now: float) -> tuple[Outcome, float, float]:
    return Outcome.SERVED, COUNTER_ANSWERS, 0.0


class CeilingFleet:
    """Plays events in the order of true time. `answer`: a call's outcome, delay, delay of its addition."""

    def __init__(self, settings: Settings, answer: Answer = prompt) -> None:
        self.settings, self.answer = settings, answer
        self.now, self.order = START, 0
        self.counter = CounterModel(lambda: self.now, 1, 0.0)
        self.processes: dict[int, Process] = {}
        self.waiting: list[tuple[float, int, Callable[[], None]]] = []
        self.sent: list[tuple[float, float]] = []  # first attempts: when, and units
        self.asked: dict[int, float] = {}  # units by request
        self.refused = self.calls = 0
        self.lame_ducks: Counter[int] = Counter()  # processes that end what they hold, by gateway
        self.retried: set[int] = set()
        self.first_outcome: Callable[[int], Outcome] = lambda number: Outcome.SERVED

    def start(self, me: int, ahead: float = 0.0) -> Process:
        """A new process, in place of the one before if there is one."""
        if me in self.processes:
            self.processes[me].running = False
        made = Gateway(replace(self.settings, gateway_index=me), self.order * 1000 + me, self.now + ahead)
        made.handle(backends(backend("a"), backend("b")), self.now + ahead)
        self.processes[me] = Process(me, made, ahead)
        return self.processes[me]

    def hand_over(self, me: int, ahead: float, both_for: float) -> None:
        """A successor beside the running process, which ends what it holds."""
        before = self.processes[me]
        state = before.gateway.hand_over(self.now + before.ahead)
        del self.processes[me]
        made = self.start(me, ahead)
        told = {**state, "clock_ahead": ahead - before.ahead}
        self.tell(made, PredecessorState(told))

        self.lame_ducks[me] += 1

        def end() -> None:
            before.running = False
            self.lame_ducks[me] -= 1
            if made.running:
                self.tell(made, PredecessorEnded())

        self.later(both_for, end)

    def later(self, delay: float, act: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.waiting, (self.now + delay, self.order, act))

    def tell(self, process: Process, event: Event) -> None:
        if process.running:
            for action in process.gateway.handle(event, self.now + process.ahead):
                self.act(process, action)

    def tell_later(self, delay: float, process: Process, event: Event) -> None:
        self.later(delay, lambda: self.tell(process, event))

    def act(self, process: Process, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert 0.0 < action.delay < LONGEST_TIMER
            self.tell_later(action.delay, process, TimerExpired(action.key))
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
        place = len(process.gateway.jobs[number].attempts) - 1
        self.tell_later(WORK, process, ended(number, place, action.backend, outcome, elapsed=WORK))

    def count(self, process: Process, call: AddToCounter) -> None:
        self.calls += 1
        outcome, delay, added_after = self.answer(call, self.now)
        told = CounterCallEnded(call.name, outcome, delay, 0.0)

        def add() -> None:
            nonlocal told
            self.counter.reserve(call.name)
            total = self.counter.add(AddCall(call.name, call.amount, call.expire_after))
            told = replace(told, total=float(f"{total:.7g}"))

        if outcome in (Outcome.SERVED, Outcome.TIMED_OUT) and added_after < inf:
            self.later(added_after, add)
        self.later(delay, lambda: self.tell(process, told))

    def ask(
        self, me: int, number: int, units: float, patience: float, first_gateway: int = 0, width: int = 0
    ) -> None:
        self.asked[number] = units
        process = self.processes.get(me)
        if process is None:
            return
        plan, end = self.settings.plans[0].name, self.now + process.ahead + patience
        among = width or self.settings.gateways
        self.tell(process, Request(number, "read", plan, CUSTOMER, end, units, among, first_gateway, False))

    def run_to(self, until: float) -> None:
        while self.waiting and self.waiting[0][0] <= until:
            at, _, act = heapq.heappop(self.waiting)
            self.now = max(self.now, at)
            act()
        self.now = until


def lowest_store(plan: Plan, sent: list[tuple[float, float]]) -> float:
    """The least that the customer's true store held, below nought where more was sent than it allows."""
    store = lowest = plan.ceiling_depth
    last = START
    for at, units in sent:
        store = min(plan.ceiling_depth, store + plan.ceiling_rate * (at - last)) - units
        lowest, last = min(lowest, store), at
    return lowest


def slack_of(plan: Plan, largest: float) -> float:
    """Units that the store may fall below nought."""
    return max(plan.ceiling_depth / 10.0, largest)


PLAN = Plan("wide", 9.0, 23.0, 0, 15.0, 41.0, 1.0, 0.0, 1.0)


def played_load(
    width: int, units: float, counter: bool, seconds: float = 40.0, answer: Answer = prompt
) -> tuple[CeilingFleet, float]:
    """A whole fleet at 1.5 times the ceiling; the fleet, and the part sent of what the quota leaves."""
    dice = random.Random(f"{width} {units}")
    settings = replace(
        SETTINGS, gateways=width, plans=(PLAN,), counter=counter, max_units=units, counter_timeout=0.03)
    fleet = CeilingFleet(settings, answer)
    for me in range(width):
        fleet.start(me)
    fleet.run_to(START + 10.0)  # parts of gateways that have just started are empty
    began, number = fleet.now, 0
    while fleet.now < began + seconds:
        number += 1
        fleet.ask(dice.randrange(width), number, units, 4.0)
        fleet.run_to(fleet.now + dice.expovariate(1.5 * PLAN.ceiling_rate / units))
    fleet.run_to(began + seconds)
    allowed = PLAN.burst + PLAN.rate * seconds
    return fleet, sum(taken for at, taken in fleet.sent) / allowed
