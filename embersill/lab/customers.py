"""Customers in the model: what they ask, through which gateways, and when they come back."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from embersill.lab.scenario import Class, PlanForm, Scenario

CHUNK = 4096  # arrivals drawn at a time


@dataclass(slots=True)
class Store:
    """A quota over the whole fleet, as it truly stands; it starts full."""

    rate: float
    burst: float
    level: float
    stamp: float = 0.0

    def refill(self, now: float) -> None:
        self.level = min(self.burst, self.level + self.rate * (now - self.stamp))
        self.stamp = now

    def take(self, now: float) -> bool:
        """True where it holds one more unit, which is taken then."""
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(slots=True)
class Customer:
    """`asked`: the quota, if each first try took its unit as it comes; `used`: as gateways send them on."""

    name: str
    plan: PlanForm
    rate: float  # requests a second that it asks
    first: int
    width: int
    asked: Store
    used: Store


@dataclass(frozen=True, slots=True)
class Arrival:
    at: float
    customer: int
    klass: int
    work: float


def mean_work(classes: list[Class]) -> float:
    """Seconds of one core that a request takes on average."""
    return sum(c.share * c.work for c in classes) / sum(c.share for c in classes)


def make_customers(scenario: Scenario, capacity: float, dice: np.random.Generator) -> list[Customer]:
    """As many of each plan as ask its share of the load inside quotas; `capacity`: requests a second."""
    gateways, made = scenario.fleet.gateways, list[Customer]()
    for plan in scenario.plans:
        inside = plan.rate * ((1 - plan.heavy) * min(plan.use, 1.0) + plan.heavy * min(plan.heavy_use, 1.0))
        number = max(1, round(plan.share * scenario.load.inside * capacity / inside))
        heavy = dice.random(number) < plan.heavy
        firsts = dice.integers(0, gateways, number)
        width = width_of(plan, gateways)
        for n in range(number):
            use = plan.heavy_use if heavy[n] else plan.use
            made.append(make_customer(len(made), plan, use * plan.rate, int(firsts[n]), width))
    return made


def make_customer(number: int, plan: PlanForm, rate: float, first: int, width: int) -> Customer:
    asked, used = (Store(plan.rate, plan.burst, plan.burst) for _ in range(2))
    return Customer(f"{number:016x}", plan, rate, first, width, asked, used)


def width_of(plan: PlanForm, gateways: int) -> int:
    """Through how many gateways a customer's requests come."""
    width = max(2, round(plan.spread * gateways))
    if plan.ceiling > 0.0:  # each gateway's part of it must hold two requests
        width = max(2, min(width, int(plan.ceiling * plan.burst / 2.0)))
    return min(width, gateways)


def gateway_weights(width: int, skew: float) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
    """How a customer's tries are dealt out over its gateways, summed up."""
    weights = 1.0 / np.arange(1, width + 1) ** skew
    return np.cumsum(weights / weights.sum())


def arrivals(scenario: Scenario, customers: list[Customer], dice: np.random.Generator) -> Iterator[Arrival]:
    """First tries in the order of their times, for as long as the scenario lasts."""
    rates = np.cumsum([c.rate for c in customers])
    shares = np.cumsum([c.share for c in scenario.classes])
    works = np.array([c.work for c in scenario.classes])
    # lognormal, by its mean and standard deviation
    sigmas = np.sqrt(np.log1p(np.array([c.spread for c in scenario.classes]) ** 2))
    now = 0.0
    while now < scenario.seconds:
        times = now + np.cumsum(dice.exponential(1.0 / rates[-1], CHUNK))
        who = np.searchsorted(rates, dice.random(CHUNK) * rates[-1], side="right")
        what = np.searchsorted(shares, dice.random(CHUNK) * shares[-1], side="right")
        what = np.minimum(what, len(works) - 1)
        work = works[what] * np.exp(sigmas[what] * dice.standard_normal(CHUNK) - sigmas[what] ** 2 / 2)
        for n in range(CHUNK):
            if times[n] >= scenario.seconds:
                return
            yield Arrival(float(times[n]), int(who[n]), int(what[n]), float(work[n]))
        now = float(times[-1])
