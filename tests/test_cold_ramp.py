"""Tests that all gateways together keep the budget of a backend that has just started.

Every request that reaches it within a window of `overload_for` counts, also one that fails at once. The
budget N is `fall_multiple` times what the backend can serve in the window; an excess of up to twice the
square root of N, plus 2, is attributed to chance.
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

WARM_RATE = 12.0  # requests a second that a warm backend can serve
LOAD_SHARE = 0.6  # share of that rate that is requested
STARTS, ENDS = 104.0, 109.0  # when the cold backends start, and when the test ends
FREE = replace(OPEN, name="free", concurrency=0)  # without a quota
READ = RequestClass("read", RepeatPolicy.SAFE, DedupScope.ALL, 5.0, 1.0, 4.0, 0.0, 1.0, False)
SITE = replace(
    SETTINGS, classes=(READ,), plans=(FREE,), counter=False, max_attempts=4, cold_from=0.16, warm_within=18.0,
    fall_multiple=2.0, overload_for=2.0)
AttemptResult = tuple[Outcome, float]  # outcome, and the seconds until it


def served(dice: random.Random) -> AttemptResult:
    return Outcome.SERVED, 0.05 + dice.expovariate(5.0)


class Fleet:
    """Gateways without shared state, and backends that end each attempt after some time."""

    def __init__(self, gateways: int, settings: Settings, configured: int = 0, seed: int = 1) -> None:
        """`configured`: number of gateways in the settings if it is out of date, else 0."""
        self.settings = replace(settings, gateways=configured or gateways)
        self.dice = random.Random(seed)
        self.nodes = [self.node(me) for me in range(gateways)]
        self.events: list[tuple[float, int, int, Gateway, Event]] = []
        self.numbers = 0
        self.ends: dict[str, Callable[[random.Random], AttemptResult]] = {}
        self.sent: dict[str, list[float]] = {}
        share = [self.dice.lognormvariate(0.0, 0.7) for _ in range(gateways)]
        self.share = [s / sum(share) for s in share]  # a few gateways get several times the mean

    def node(self, me: int, now: float = 100.0) -> Gateway:
        return Gateway(replace(self.settings, gateway_index=me), me + 7, now)

    def schedule(self, when: float, made: Gateway, event: Event) -> None:
        self.numbers += 1
        heapq.heappush(self.events, (when, self.numbers, -1, made, event))

    def add_load(self, rate: float, until: float) -> None:
        for me, share in enumerate(self.share):
            now = 100.0
            while (now := now + self.dice.expovariate(rate * share)) < until:
                self.numbers += 1
                asked = Request(self.numbers, "read", "free", f"c{self.numbers}", now + 4.0, 1.0, 1, 0, False)
                heapq.heappush(self.events, (now, self.numbers, me, self.nodes[me], asked))

    def set_list(self, cold: list[str], warm: list[str]) -> None:
        for made in self.nodes:
            listed = [backend(a) for a in warm] + [backend(a, started=STARTS) for a in cold]
            made.handle(backends(*listed, kind=ListKind.FULL), STARTS)

    def play(self, until: float) -> None:
        while self.events and self.events[0][0] < until:
            now, _, me, made, event = heapq.heappop(self.events)
            made = self.nodes[me] if me >= 0 else made  # a request goes to the current process
            for action in made.handle(event, now):
                if isinstance(action, SetTimer):
                    self.schedule(now + action.delay, made, TimerExpired(action.key))
                elif isinstance(action, Send):
                    self.sent.setdefault(action.backend, []).append(now)
                    outcome, after = self.ends.get(action.backend, served)(self.dice)
                    number = len(made.jobs[action.request].attempts) - 1
                    self.schedule(now + after, made, AttemptEnded(
                        action.request, number, action.backend, outcome, after, outcome is Outcome.SERVED,
                        0.0, ()))

    def excess(self, name: str) -> float:
        """Requests above the budget and chance in the worst window; negative if they are below."""
        times, settings, worst = self.sent.get(name, []), self.settings, -float("inf")
        first = 0
        for index, end in enumerate(times):
            while times[first] <= end - settings.overload_for:
                first += 1
            age = max(times[first] - STARTS, 0.0)
            part = min(settings.cold_from + (1.0 - settings.cold_from) * age / settings.warm_within, 1.0)
            budget = settings.fall_multiple * part * WARM_RATE * settings.overload_for
            worst = max(worst, index - first + 1 - (budget + 2.0 * sqrt(budget) + 2.0))
        return worst


def fleet(gateways: int, settings: Settings = SITE, configured: int = 0, cold: int = 2) -> Fleet:
    """A loaded fleet, with one backend for each gateway but at least 12, as the cold backends start."""
    backend_count = max(gateways, 12)
    made = Fleet(gateways, settings, configured)
    warm = [f"w{n}" for n in range(backend_count - cold)]
    made.set_list([], [*warm, *(f"old{n}" for n in range(cold))])
    made.add_load(LOAD_SHARE * WARM_RATE * backend_count, ENDS)
    made.play(STARTS)
    made.set_list([f"cold{n}" for n in range(cold)], warm)
    return made


RESULTS: dict[str, AttemptResult] = {
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
@pytest.mark.parametrize("how", RESULTS)
def test_all_gateways_together_keep_the_budget_of_a_cold_backend(how: str, gateways: int) -> None:
    made = fleet(gateways)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: RESULTS[how])
    made.play(ENDS)
    assert max(made.excess("cold0"), made.excess("cold1")) <= 0
    assert made.sent["cold0"] and made.sent["cold1"]  # they are used


@pytest.mark.parametrize("gateways", [3, 20, 30])
@pytest.mark.parametrize("how", ["errors", "resets", "short work"])
def test_the_budget_holds_while_most_other_backends_fail(how: str, gateways: int) -> None:
    """Requests that find no healthy backend must not all go to the cold ones."""
    made = fleet(gateways)
    made.ends = {f"w{n}": lambda dice: (Outcome.ERROR, 0.01) for n in range(max(gateways, 12)) if n % 4}
    made.ends |= dict.fromkeys(("cold0", "cold1"), lambda dice: RESULTS[how])
    made.play(ENDS)
    assert max(made.excess("cold0"), made.excess("cold1")) <= 0


@pytest.mark.parametrize(("gateways", "configured"), [(30, 20), (20, 30), (200, 150), (3, 2)])
@pytest.mark.parametrize("how", ["errors", "short work", "work"])
def test_the_budget_holds_with_an_outdated_number_of_gateways(
    how: str, gateways: int, configured: int
) -> None:
    made = fleet(gateways, configured=configured)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: RESULTS[how])
    made.play(ENDS)
    assert max(made.excess("cold0"), made.excess("cold1")) <= 0


@pytest.mark.parametrize("gateways", [3, 20, 30, 200])
@pytest.mark.parametrize("how", ["errors", "short work", "work"])
@pytest.mark.parametrize("restart", ["all", "half"])
def test_the_budget_holds_over_restarts(restart: str, how: str, gateways: int) -> None:
    made = fleet(gateways)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: RESULTS[how])
    backend_count = max(gateways, 12)
    made.play(STARTS + 1.0)
    for me in range(0, gateways, 1 if restart == "all" else 2):
        made.nodes[me] = made.node(me, STARTS + 1.0)
        listed = [backend(f"w{n}") for n in range(backend_count - 2)]
        listed += [backend(f"cold{n}", started=STARTS) for n in range(2)]
        made.nodes[me].handle(backends(*listed), STARTS + 1.0)
    made.play(ENDS)
    assert max(made.excess("cold0"), made.excess("cold1")) <= 0


def hand_over_all(made: Fleet, now: float) -> None:
    """Each gateway gets a successor; its predecessor ends the requests that it has."""
    for me, predecessor in enumerate(made.nodes):
        successor = made.node(me, now)
        successor.handle(backends(*(server.backend for server in predecessor.servers.values())), now)
        successor.on_predecessor_state(predecessor.hand_over(now))
        made.nodes[me] = successor


@pytest.mark.parametrize("gateways", [3, 20, 30])
@pytest.mark.parametrize("how", ["errors", "short work"])
def test_the_budget_holds_over_hand_overs(how: str, gateways: int) -> None:
    """The successor continues in the window that its predecessor has started."""
    made = fleet(gateways)
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: RESULTS[how])
    made.play(STARTS + 1.0)
    hand_over_all(made, STARTS + 1.0)
    made.play(ENDS)
    assert max(made.excess("cold0"), made.excess("cold1")) <= 0


@pytest.mark.parametrize("gateways", [1, 3, 20, 30])
@pytest.mark.parametrize("how", ["errors", "short work", "work"])
@pytest.mark.parametrize("after", [0.05, 0.3, 0.5, 1.0])
def test_the_budget_holds_while_predecessors_repeat_what_failed_after_the_hand_over(
    after: float, how: str, gateways: int
) -> None:
    """Neither process is told what the other one sends to a cold backend from then on."""
    made = fleet(gateways)
    made.ends = {f"w{n}": lambda dice: (Outcome.ERROR, 0.4) for n in range(max(gateways, 12))}
    made.ends |= dict.fromkeys(("cold0", "cold1"), lambda dice: RESULTS[how])
    made.play(STARTS + after)
    hand_over_all(made, STARTS + after)
    made.play(ENDS)
    assert max(made.excess("cold0"), made.excess("cold1")) <= 0


@pytest.mark.parametrize("gateways", [3, 14, 30, 200])
@pytest.mark.parametrize("how", ["errors", "short work", "work", "silence"])
def test_the_budget_holds_for_a_backend_that_the_operator_restores(how: str, gateways: int) -> None:
    """It was restarted while suspended, and each gateway owes it a first request."""
    backend_count = max(gateways, 12)
    made = Fleet(gateways, SITE)
    made.set_list([], [f"w{n}" for n in range(backend_count)])
    made.add_load(LOAD_SHARE * WARM_RATE * backend_count, ENDS)
    made.play(102.0)
    for node in made.nodes:
        node.handle(Suspend("w0"), 102.0)
    made.play(STARTS)
    made.sent.pop("w0", None)
    made.ends["w0"] = lambda dice: RESULTS[how]
    for node in made.nodes:
        node.handle(Restore("w0"), STARTS)
    made.play(ENDS)
    assert made.excess("w0") <= 0 and made.sent["w0"]


@pytest.mark.parametrize(("multiple", "window"), [(1.2, 0.5), (1.5, 1.0), (3.0, 4.0)])
@pytest.mark.parametrize("gateways", [1, 3, 30])
@pytest.mark.parametrize("how", ["errors", "short work", "work"])
def test_budget_and_window_follow_the_settings(
    how: str, gateways: int, multiple: float, window: float
) -> None:
    made = fleet(gateways, replace(SITE, fall_multiple=multiple, overload_for=window, cold_from=0.4))
    made.ends = dict.fromkeys(("cold0", "cold1"), lambda dice: RESULTS[how])
    made.play(ENDS)
    assert max(made.excess("cold0"), made.excess("cold1")) <= 0


@pytest.mark.parametrize("gateways", [3, 30, 200])
def test_a_cold_backend_gets_its_share_of_the_load(gateways: int) -> None:
    made = fleet(gateways)
    made.play(ENDS)
    warm = sum(len(times) for name, times in made.sent.items() if name.startswith("w"))
    each = warm * (ENDS - STARTS) / (ENDS - 100.0) / (max(gateways, 12) - 2)
    cold = (len(made.sent["cold0"]) + len(made.sent["cold1"])) / 2
    share = SITE.cold_from + (1.0 - SITE.cold_from) * (ENDS - STARTS) / 2 / SITE.warm_within
    assert 0.5 * share * each < cold < 2.0 * share * each
