"""Several gateways, up to hundreds, with one shared counter: ceilings, quotas and restarts."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from embersill.control import Gateway
from embersill.interface import (
    Action, AddToCounter, BackendList, CounterCallEnded, ListKind, Outcome, Plan, ProbeEnded, Refuse, Request,
    Send, SetTimer, TimerExpired,
)
from tests.helpers import CAPPED, PLAN, SETTINGS, backend, backends, ended, gateway, request

STEPS = st.lists(st.tuples(st.integers(0, 10**6), st.floats(0.0, 0.4)), min_size=40, max_size=160)


class Fleet:
    """Simulates gateways with one counter and backends that answer at once; records what is sent and when."""

    def __init__(self, gateway_count: int, plan: Plan, now: float = 100.0) -> None:
        self.settings = replace(SETTINGS, gateways=gateway_count, plans=(plan,))
        self.gateway_count, self.now = gateway_count, now
        self.gateways = [self.start(index) for index in range(gateway_count)]
        self.sums: dict[str, float] = {}
        self.timers: list[tuple[float, int, str]] = []
        self.sent: list[tuple[float, float]] = []
        self.sent_for: dict[str, list[tuple[float, float]]] = {}
        self.calls = 0

    def start(self, index: int) -> Gateway:
        gw = Gateway(self.settings, index, self.now)
        gw.handle(backends(backend("a"), backend("b", 1)), self.now)
        return gw

    def carry_out(self, index: int, actions: list[Action], units: float = 0.0) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, index, action.key))
            elif isinstance(action, AddToCounter):
                self.calls += 1
                self.sums[action.name] = self.sums.get(action.name, 0.0) + action.amount
                result = CounterCallEnded(action.name, Outcome.SERVED, 0.001, self.sums[action.name])
                self.carry_out(index, self.gateways[index].handle(result, self.now))
            elif isinstance(action, Send):
                job = self.gateways[index].jobs[action.request]
                self.sent.append((self.now, job.request.units))
                self.sent_for.setdefault(job.request.customer, []).append(self.sent[-1])
                answer = ended(action.request, 0, action.backend, Outcome.SERVED)
                self.carry_out(index, self.gateways[index].handle(answer, self.now))

    def run_to(self, until: float) -> None:
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.carry_out(due[1], self.gateways[due[1]].handle(TimerExpired(due[2]), self.now))
        self.now = until

    def request(self, index: int, number: int, units: float, customer: str = "c") -> None:
        plan, end = self.settings.plans[0].name, self.now + 4
        event = Request(number, "read", plan, customer, end, units, self.gateway_count, 0, False)
        self.carry_out(index, self.gateways[index].handle(event, self.now))


@settings(derandomize=True, max_examples=25, deadline=None)
@given(STEPS, st.sampled_from([2, 6]))
def test_all_gateways_together_keep_the_ceiling_through_restarts(
    steps: list[tuple[int, float]], width: int
) -> None:
    fleet = Fleet(width, CAPPED)
    fleet.run_to(110.0)
    for number, (pick, span) in enumerate(steps):
        if pick % 11 == 0:  # killed and started again: its state is lost
            index = pick // 11 % width
            fleet.timers = [t for t in fleet.timers if t[1] != index]
            fleet.gateways[index] = fleet.start(index)
        fleet.request(pick // 7 % width, number, 1.0 + pick % 2)
        fleet.run_to(fleet.now + span)
    store, last = CAPPED.ceiling_depth, 100.0
    for at, units in fleet.sent:
        store = min(CAPPED.ceiling_depth, store + CAPPED.ceiling_rate * (at - last)) - units
        last = at
        assert store >= -1e-6


@pytest.mark.parametrize(("width", "rate", "least", "most"), [
    (100, 2.0, 0.95, 1.0), (100, 16.0, 0.2, 0.35),  # of a quota of 4: half of it, and four times as much
    (300, 2.0, 0.6, 1.0), (300, 16.0, 0.2, 0.5),  # a third is counted at first, the rest is estimated
])
def test_quota_of_many_gateways_is_neither_refused_nor_exceeded(
    width: int, rate: float, least: float, most: float
) -> None:
    """Guards against a bank of 0.03 units that admits one request at each gateway and then none."""
    fleet = Fleet(width, PLAN)
    fleet.now = 120.0
    for number in range(400):
        fleet.request(number * 37 % 40, number, 1.0)
        fleet.run_to(fleet.now + 1.0 / rate)
    assert least <= len(fleet.sent) / 400 <= most
    assert fleet.calls <= 3 * 400  # a few per request, whatever the number of gateways


def units_beyond_quota(sent: list[tuple[float, float]], plan: Plan, since: float) -> float:
    """Returns the units sent that a single token bank for the whole fleet would not have admitted."""
    store, last, over = plan.burst, since, 0.0
    for at, units in sent:
        store, last = min(plan.burst, store + plan.rate * (at - last)), at
        if store >= units - 1e-9:
            store -= units
        else:
            over += units
    return over


@pytest.mark.parametrize("gateways", [3, 30, 200])
def test_cost_of_answers_beyond_the_quota_is_low_without_faults(gateways: int) -> None:
    """The limit is 0.1 above the cost under a policy that sees the true state late, and so pays as well."""
    fleet, rng = Fleet(gateways, PLAN), random.Random(gateways)
    fleet.now = since = 120.0
    uses = [0.95, 0.95, 0.95, 3.0, 2.4] + [rng.uniform(0.25, 0.46) for _ in range(15)]  # like real ones
    asks = sorted((since + rng.uniform(0.0, 25.0), f"c{n}") for n, use in enumerate(uses)
                  for _ in range(round(25.0 * use * PLAN.rate)))
    for number, (at, customer) in enumerate(asks):
        fleet.run_to(at)
        fleet.request(min(int(rng.expovariate(6.0) * gateways), gateways - 1), number, 1.0, customer)
    inside = sum(25.0 * min(use, 1.0) * PLAN.rate for use in uses)
    over = sum(units_beyond_quota(sent, PLAN, since) for sent in fleet.sent_for.values())
    assert PLAN.over_quota_cost * over / inside <= 0.1
    assert len(fleet.sent) - over >= 0.75 * inside  # and not because little is sent at all


def test_even_slice_applies_while_the_counter_is_silent() -> None:
    gw = gateway(gateways=100)
    for number in range(3):
        actions = gw.handle(request(number, width=100), 100.0 + number)
        for action in actions:
            if isinstance(action, AddToCounter):
                gw.handle(CounterCallEnded(action.name, Outcome.TIMED_OUT, 0.05, 0.0), 100.05 + number)
    throttle = gw.throttles["c"]
    assert throttle.share == 1 / 100 and throttle.bank == PLAN.burst / 100


def test_corrections_of_one_sum_by_many_gateways_stay_bounded() -> None:
    """Guards against gateways that correct the same sum at once, and then each other's corrections."""
    fleet = Fleet(60, PLAN)
    fleet.now = 115.0
    for number in range(120):
        fleet.request(number % 60, number, 1.0)
        fleet.run_to(fleet.now + 0.01)
    assert all(abs(total) <= PLAN.rate * 60 + 2 * PLAN.burst for total in fleet.sums.values())


@pytest.mark.parametrize("width", [0, 5, 10**6])
def test_any_gateway_count_is_accepted(width: int) -> None:
    gw = gateway()
    assert gw.handle(request(1, width=width), 100.0)


def test_events_of_removed_backends_and_empty_lists_are_harmless() -> None:
    gw = gateway()
    sent = next(a for a in gw.handle(request(1), 100.0) if isinstance(a, Send))
    gw.handle(BackendList(ListKind.FULL, ()), 100.1)
    gw.handle(ProbeEnded(sent.backend, Outcome.SERVED, 0.01, (1.0, 2.0, 3.0)), 100.2)
    gw.handle(ended(1, 0, sent.backend, Outcome.SERVED), 100.3)
    assert isinstance(gw.handle(request(2), 100.4)[-1], Refuse)


def test_settings_of_zero_raise_no_error() -> None:
    zeros = replace(
        SETTINGS, plans=(replace(PLAN, rate=0.0, burst=0.0), CAPPED), warm_within=0.0, fall_multiple=0.0,
        overload_for=0.0, counter_timeout=0.0, ask_every=0.0, cold_from=0.0, max_units=0.0,
        classes=tuple(replace(c, aim=0.0) for c in SETTINGS.classes),
    )
    gw = Gateway(zeros, 1, 100.0)
    gw.handle(backends(backend("a", started=100.0)), 100.0)
    for number in range(20):
        for action in gw.handle(request(number, plan=("small", "capped")[number % 2]), 101.0 + number / 10):
            if isinstance(action, SetTimer):
                assert action.delay > 0
                gw.handle(TimerExpired(action.key), 101.0 + number / 10 + action.delay)


def test_unknown_load_figures_are_ignored() -> None:
    gw = gateway(report_fields=("never seen",))
    sent = next(a for a in gw.handle(request(1), 100.0) if isinstance(a, Send))
    answer = replace(ended(1, 0, sent.backend, Outcome.SERVED), load=(9.0, 9.0))
    gw.handle(answer, 100.1)
    assert gw.jobs == {}


@pytest.mark.parametrize(("elapsed", "outcome", "times", "goes_on"), [
    (0.001, Outcome.TIMED_OUT, 3, True),  # its connection broke, or the answer was not a number
    (0.05, Outcome.TIMED_OUT, 1, True),  # late, among others in time
    (0.05, Outcome.TIMED_OUT, 2, False),
    (0.001, Outcome.REJECTED, 1, False),
    (0.001, Outcome.NO_CONNECTION, 1, False),
])
def test_only_an_overloaded_or_silent_counter_gets_no_calls(
    elapsed: float, outcome: Outcome, times: int, goes_on: bool
) -> None:
    gw = gateway()
    due: dict[str, str] = {}
    for customer in ("first", "second"):
        for number in range(8):  # more than its bank: its demand is reported
            asked = request(8 * len(due) + number, customer=customer)
            for action in gw.handle(asked, 100.5):
                if isinstance(action, SetTimer) and action.key == "c" + customer:
                    due[customer] = action.key
    now = 101.9
    (count,) = [a for a in gw.handle(TimerExpired(due["first"]), now) if isinstance(a, AddToCounter)]
    for _ in range(times):
        gw.handle(CounterCallEnded(count.name, outcome, elapsed, 0.0), now + 0.05)
    counts = [a for a in gw.handle(TimerExpired(due["second"]), now + 0.06) if isinstance(a, AddToCounter)]
    assert len(counts) == (1 if goes_on else 0)
