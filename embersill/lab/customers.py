"""Simulated customers: their quotas, their gateways, and the arrivals of their requests."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from embersill.lab.scenario import ClassConfig, PlanConfig, Scenario

ARRIVALS_PER_BATCH = 4096  # generated at a time


@dataclass(slots=True)
class TokenBucket:
    """A token bucket in units and seconds; as an exact quota over the whole fleet it starts full."""

    rate: float
    burst: float
    level: float
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        self.level = min(self.burst, self.level + self.rate * (now - self.refilled_at))
        self.refilled_at = now

    def try_take(self, now: float) -> bool:
        """Takes one unit if it holds one; whether it did."""
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(slots=True)
class Customer:
    """A customer and its quota, accounted for in two ways.

    From `demand_quota` each request takes a unit on arrival, from `sent_quota` each try that a gateway sends
    to a backend.
    """

    name: str
    plan: PlanConfig
    rate: float  # requests per second
    first_gateway: int
    gateway_count: int
    demand_quota: TokenBucket
    sent_quota: TokenBucket


@dataclass(frozen=True, slots=True)
class Arrival:
    """A new request; `at`: seconds since the start of the run, `work`: seconds of one core."""

    at: float
    customer_index: int
    class_index: int
    work: float


def mean_work(classes: list[ClassConfig]) -> float:
    """Mean seconds of one core per request."""
    return sum(c.share * c.work for c in classes) / sum(c.share for c in classes)


def make_customers(scenario: Scenario, capacity: float, rng: np.random.Generator) -> list[Customer]:
    """As many customers of each plan as request its share of the load inside quotas.

    `capacity`: requests per second that the backends can serve.
    """
    gateways, customers = scenario.fleet.gateways, list[Customer]()
    for plan in scenario.plans:
        mean_rate = plan.rate * (
            (1 - plan.heavy) * min(plan.use, 1.0) + plan.heavy * min(plan.heavy_use, 1.0))
        count = max(1, round(plan.share * scenario.load.inside * capacity / mean_rate))
        is_heavy = rng.random(count) < plan.heavy
        first_gateways = rng.integers(0, gateways, count)
        gateway_count = gateways_per_customer(plan, gateways)
        for n in range(count):
            use = plan.heavy_use if is_heavy[n] else plan.use
            customers.append(make_customer(
                len(customers), plan, use * plan.rate, int(first_gateways[n]), gateway_count))
    return customers


def make_customer(
    number: int, plan: PlanConfig, rate: float, first_gateway: int, gateway_count: int
) -> Customer:
    demand_quota, sent_quota = (TokenBucket(plan.rate, plan.burst, plan.burst) for _ in range(2))
    return Customer(f"{number:016x}", plan, rate, first_gateway, gateway_count, demand_quota, sent_quota)


def gateways_per_customer(plan: PlanConfig, gateways: int) -> int:
    """Number of gateways that serve a customer of the plan."""
    gateway_count = max(2, round(plan.spread * gateways))
    if plan.ceiling > 0.0:  # each gateway's share of the ceiling must hold two requests
        gateway_count = max(2, min(gateway_count, int(plan.ceiling * plan.burst / 2.0)))
    return min(gateway_count, gateways)


def gateway_weights(gateway_count: int, skew: float) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
    """Cumulative probabilities by which a customer's tries are distributed over its gateways."""
    weights = 1.0 / np.arange(1, gateway_count + 1) ** skew
    return np.cumsum(weights / weights.sum())


def arrivals(scenario: Scenario, customers: list[Customer], rng: np.random.Generator) -> Iterator[Arrival]:
    """New requests in the order of their times, until the scenario's end."""
    rates = np.cumsum([c.rate for c in customers])
    shares = np.cumsum([c.share for c in scenario.classes])
    works = np.array([c.work for c in scenario.classes])
    # parameter of the lognormal distribution with the given mean and standard deviation
    sigmas = np.sqrt(np.log1p(np.array([c.spread for c in scenario.classes]) ** 2))
    now = 0.0
    while now < scenario.seconds:
        times = now + np.cumsum(rng.exponential(1.0 / rates[-1], ARRIVALS_PER_BATCH))
        customer_indexes = np.searchsorted(rates, rng.random(ARRIVALS_PER_BATCH) * rates[-1], side="right")
        class_indexes = np.searchsorted(shares, rng.random(ARRIVALS_PER_BATCH) * shares[-1], side="right")
        class_indexes = np.minimum(class_indexes, len(works) - 1)
        work = works[class_indexes] * np.exp(
            sigmas[class_indexes] * rng.standard_normal(ARRIVALS_PER_BATCH) - sigmas[class_indexes] ** 2 / 2)
        for n in range(ARRIVALS_PER_BATCH):
            if times[n] >= scenario.seconds:
                return
            yield Arrival(float(times[n]), int(customer_indexes[n]), int(class_indexes[n]), float(work[n]))
        now = float(times[-1])
