"""What all gateways together send to a backend that has just started, against its budget by the settings.

The rule counts every call that reaches it within `overload_for`, also one that fails at once: N is the
multiple of what it can do then, and no more than twice the root of N and 2 on top is put down to chance.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import replace
from math import sqrt

import pytest

from embersill.control import Gateway
from embersill.interface import (
    AttemptEnded, DedupScope, Event, ListKind, Outcome, RepeatPolicy, Request, RequestClass, Restore, Send,
    SetTimer, Settings, Suspend, TimerExpired,
)
from tests.helpers import OPEN, SETTINGS, backend, backends

WORKS = 12.0  # requests a second that a warm backend can do
USED = 0.6  # of that is asked for
STARTS, ENDS = 104.0, 109.0  # when the cold ones start, and when the test does
FREE = replace(OPEN, name="free", concurrency=0)  # no quota binds
READ = RequestClass("read", RepeatPolicy.SAFE, DedupScope.ALL, 5.0, 1.0, 4.0, 0.0, 1.0, False)
SITE = replace(
    SETTINGS, classes=(READ,), plans=(FREE,), counter=False, max_attempts=4, cold_from=0.16, warm_within=18.0,
    fall_multiple=2.0, overload_for=2.0)
Ends = tuple[Outcome, float]  # how an attempt ends, and after how long


def served(dice: random.Random) -> Ends:
    return Outcome.SERVED, 0.05 + dice.expovariate(5.0)


class Fleet:
    """Gateways that share nothing, and backends that end each attempt after a while."""

    def __init__(self, gateways: int, settings: Settings, told: int = 0, seed: int = 1) -> None:
        """`told`: how many gateways the settings say there are, where that is out of date."""
        self.settings = replace(settings, gateways=told or gateways)
        self.dice = random.Random(seed)
        self.nodes = [self.node(me) for me in range(gateways)]
        self.events: list[tuple[float, int, int, Gateway, Event]] = []
        self.numbers = 0
        self.ends: dict[str, Callable[[random.Random], Ends]] = {}
        self.sent: dict[str, list[float]] = {}
        share = [self.dice.lognormvariate(0.0, 0.7) for _ in range(gateways)]
        self.share = [s / sum(share) for s in share]  # a few gateways get several times the mean

    def node(self, me: int, now: float = 100.0) -> Gateway:
        return Gateway(replace(self.settings, gateway_index=me), me + 7, now)

    def later(self, when: float, made: Gateway, event: Event) -> None:
        self.numbers += 1
        heapq.heappush(self.events, (when, self.numbers, -1, made, event))

    def ask(self, rate: float, until: float) -> None:
        for me, share in enumerate(self.share):
            now = 100.0
            while (now := now + self.dice.expovariate(rate * share)) < until:
                self.numbers += 1
                asked = Request(self.numbers, "read", "free", f"c{self.numbers}", now + 4.0, 1.0, 1, 0, False)
                heapq.heappush(self.events, (now, self.numbers, me, self.nodes[me], asked))

    def list(self, cold: list[str], warm: list[str]) -> None:
        for made in self.nodes:
            whole = [backend(a) for a in warm] + [backend(a, started=STARTS) for a in cold]
            made.handle(backends(*whole, kind=ListKind.FULL), STARTS)

    def play(self, until: float) -> None:
        while self.events and self.events[0][0] < until:
            now, _, me, made, event = heapq.heappop(self.events)
            made = self.nodes[me] if me >= 0 else made  # a client's request finds who is there now
            for action in made.handle(event, now):
                if isinstance(action, SetTimer):
                    self.later(now + action.delay, made, TimerExpired(action.key))
                elif isinstance(action, Send):
                    self.sent.setdefault(action.backend, []).append(now)
                    outcome, after = self.ends.get(action.backend, served)(self.dice)
                    number = len(made.jobs[action.request].attempts) - 1
                    self.later(now + after, made, AttemptEnded(
                        action.request, number, action.backend, outcome, after, outcome is Outcome.SERVED,
                        0.0, ()))

    def over(self, name: str) -> float:
        """How far the calls in the worst window went beyond budget and chance; below nought they kept it."""
        times, settings, worst = self.sent.get(name, []), self.settings, -float("inf")
        first = 0
        for place, end in enumerate(times):
            while times[first] <= end - settings.overload_for:
                first += 1
            age = max(times[first] - STARTS, 0.0)
            part = min(settings.cold_from + (1.0 - settings.cold_from) * age / settings.warm_within, 1.0)
            budget = settings.fall_multiple * part * WORKS * settings.overload_for
            worst = max(worst, place - first + 1 - (budget + 2.0 * sqrt(budget) + 2.0))
        return worst


def fleet(gateways: int, settings: Settings = SITE, told: int = 0, cold: int = 2) -> Fleet:
    """With twelve backends or more, as many as there are gateways, some of which start afresh."""
    many = max(gateways, 12)
    made = Fleet(gateways, settings, told)
    warm = [f"w{n}" for n in range(many - cold)]
    made.list([], [*warm, *(f"old{n}" for n in range(cold))])
    made.ask(USED * WORKS * many, ENDS)
    made.play(STARTS)
    made.list([f"cold{n}" for n in range(cold)], warm)
    return made


FAST: dict[str, Ends] = {
    "short work": (Outcome.SERVED, 0.001),
    "errors": (Outcome.ERROR, 0.001),
    "resets": (Outcome.CONNECTION_LOST, 0.001),
    "no connection": (Outcome.NO_CONNECTION, 0.001),
    "turned away": (Outcome.REJECTED, 0.001),
    "work": (Outcome.SERVED, 0.2),
    "slow work": (Outcome.SERVED, 1.5),
    "silence": (Outcome.TIMED_OUT, 0.4),
}


@pytest.mark.parametrize("gateways", [1, 3, 20, 30, 200])
@pytest.mark.parametrize("how", FAST)
def test_all_gateways_together_keep_a_cold_backends_budget(how: str, gateways: int) -> None:
    made = fleet(gateways)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: FAST[how])
    made.play(ENDS)
    assert max(made.over("cold0"), made.over("cold1")) <= 0
    assert made.sent["cold0"] and made.sent["cold1"]  # and they are used


@pytest.mark.parametrize("gateways", [3, 20, 30])
@pytest.mark.parametrize("how", ["errors", "resets", "short work"])
def test_the_budget_holds_where_the_others_have_no_room_either(how: str, gateways: int) -> None:
    """Most of the fleet fails: what finds no sound backend must not all go to the cold ones."""
    made = fleet(gateways)
    made.ends = {f"w{n}": lambda dice: (Outcome.ERROR, 0.01) for n in range(max(gateways, 12)) if n % 4}
    made.ends |= dict.fromkeys(("cold0", "cold1"), lambda dice: FAST[how])
    made.play(ENDS)
    assert max(made.over("cold0"), made.over("cold1")) <= 0


@pytest.mark.parametrize(("gateways", "told"), [(30, 20), (20, 30), (200, 150), (3, 2)])
@pytest.mark.parametrize("how", ["errors", "short work", "work"])
def test_the_budget_holds_with_a_count_of_gateways_that_is_out_of_date(
    how: str, gateways: int, told: int
) -> None:
    made = fleet(gateways, told=told)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: FAST[how])
    made.play(ENDS)
    assert max(made.over("cold0"), made.over("cold1")) <= 0


@pytest.mark.parametrize("gateways", [3, 20, 30, 200])
@pytest.mark.parametrize("how", ["errors", "short work", "work"])
@pytest.mark.parametrize("restart", ["all", "half"])
def test_the_budget_holds_over_restarts(restart: str, how: str, gateways: int) -> None:
    made = fleet(gateways)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: FAST[how])
    many = max(gateways, 12)
    made.play(STARTS + 1.0)
    for me in range(0, gateways, 1 if restart == "all" else 2):
        made.nodes[me] = made.node(me, STARTS + 1.0)
        listed = [backend(f"w{n}") for n in range(many - 2)]
        listed += [backend(f"cold{n}", started=STARTS) for n in range(2)]
        made.nodes[me].handle(backends(*listed), STARTS + 1.0)
    made.play(ENDS)
    assert max(made.over("cold0"), made.over("cold1")) <= 0


@pytest.mark.parametrize("gateways", [3, 20, 30])
@pytest.mark.parametrize("how", ["errors", "short work"])
def test_the_budget_holds_over_hand_overs(how: str, gateways: int) -> None:
    """Two processes for a while: the successor goes on in the window that the other has begun."""
    made = fleet(gateways)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: FAST[how])
    many, now = max(gateways, 12), STARTS + 1.0
    made.play(now)
    for me in range(gateways):
        successor = made.node(me, now)
        listed = [backend(f"w{n}") for n in range(many - 2)]
        listed += [backend(f"cold{n}", started=STARTS) for n in range(2)]
        successor.handle(backends(*listed), now)
        successor.on_predecessor_state(made.nodes[me].hand_over(now))
        made.nodes[me] = successor
    made.play(ENDS)
    assert max(made.over("cold0"), made.over("cold1")) <= 0


@pytest.mark.parametrize("gateways", [3, 14, 30, 200])
@pytest.mark.parametrize("how", ["errors", "short work", "work", "silence"])
def test_the_budget_holds_for_a_backend_that_staff_restore(how: str, gateways: int) -> None:
    """It was restarted meanwhile, and each gateway owes it a first request."""
    many = max(gateways, 12)
    made = Fleet(gateways, SITE)
    made.list([], [f"w{n}" for n in range(many)])
    made.ask(USED * WORKS * many, ENDS)
    made.play(102.0)
    for node in made.nodes:
        node.handle(Suspend("w0"), 102.0)
    made.play(STARTS)
    made.sent.pop("w0", None)
    made.ends["w0"] = lambda dice: FAST[how]
    for node in made.nodes:
        node.handle(Restore("w0"), STARTS)
    made.play(ENDS)
    assert made.over("w0") <= 0 and made.sent["w0"]


@pytest.mark.parametrize(("multiple", "window"), [(1.2, 0.5), (1.5, 1.0), (3.0, 4.0)])
@pytest.mark.parametrize("gateways", [1, 3, 30])
@pytest.mark.parametrize("how", ["errors", "short work", "work"])
def test_budget_and_window_are_those_of_the_settings(
    how: str, gateways: int, multiple: float, window: float
) -> None:
    made = fleet(gateways, replace(SITE, fall_multiple=multiple, overload_for=window, cold_from=0.4))
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: FAST[how])
    made.play(ENDS)
    assert max(made.over("cold0"), made.over("cold1")) <= 0


@pytest.mark.parametrize("gateways", [3, 30, 200])
def test_a_cold_backend_gets_its_part_of_the_work(gateways: int) -> None:
    made = fleet(gateways)
    made.play(ENDS)
    warm = sum(len(times) for name, times in made.sent.items() if name.startswith("w"))
    each = warm * (ENDS - STARTS) / (ENDS - 100.0) / (max(gateways, 12) - 2)
    cold = (len(made.sent["cold0"]) + len(made.sent["cold1"])) / 2
    share = SITE.cold_from + (1.0 - SITE.cold_from) * (ENDS - STARTS) / 2 / SITE.warm_within
    assert 0.5 * share * each < cold < 2.0 * share * each
