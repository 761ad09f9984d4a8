"""The deployment of a scale run: its customers, their plans, and the settings of a gateway.

Everything is computed from the fleet's size and a seed, so that each process gets the same deployment on its
own. Customers' demands follow Zipf's law. A customer's quota is chosen by its own demand, so that the share
of the load that exceeds quotas stays about the same along each axis.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from itertools import accumulate
from typing import Any

import numpy as np

from embersill.interface import AggregationSettings, Settings
from embersill.lab.scale.records import FleetSize
from embersill.settings import read_settings

ZIPF_EXPONENT = 0.8
MIN_PLAN_RATE = 1.4  # units per second of the smallest plan; each next plan has twice the rate
MIN_PLAN_BURST = 6.0  # units
BURST_SECONDS = 2.0  # a plan's burst is its rate over this time, at least MIN_PLAN_BURST
MAX_NORMAL_USE = 0.4  # largest share of its quota that a customer requests
HEAVY_SHARE = 0.1  # share of customers that request more than their quota, if their demand allows it
MIN_HEAVY_USE = 1.5  # smallest multiple of its quota that such a customer requests
MEAN_SERVICE_SECONDS = 0.02
KEYED_SHARE = 0.25  # share of the requests that are of the class KEYED
READ, KEYED = "read", "write"  # request classes
BUDGET_SECONDS = 5.0
AIM_SECONDS = 2.0
# The first, for a counter of limited capacity, is the platform's value. The second, for one without limit, is
# so long that delays of a process that hosts many hollow gateways do not look like an overloaded counter.
COUNTER_TIMEOUT_SECONDS, UNLIMITED_COUNTER_TIMEOUT_SECONDS = 0.03, 0.25
DIAL_TIMEOUT_SECONDS = 1.0
MAX_UNITS = 1.0
ZONE = "a"


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """A plan: units per second, and the most units that can be saved up."""

    name: str
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class GeneratedRequest:
    """A randomly generated request, as a client would send it."""

    customer: int
    request_class: str
    service_seconds: float


@dataclass(frozen=True, slots=True)
class GatewayLoad:
    """The customers that enter through one gateway, with their cumulative weights."""

    customers: list[int]
    cumulative_weights: list[float]  # by which a request's customer is picked
    requests_per_second: float

    def generate(self, rng: random.Random) -> GeneratedRequest:
        """A request of a random customer, with a random class and service time."""
        customer = rng.choices(self.customers, cum_weights=self.cumulative_weights)[0]
        request_class = KEYED if rng.random() < KEYED_SHARE else READ
        return GeneratedRequest(customer, request_class, rng.expovariate(1.0 / MEAN_SERVICE_SECONDS))


class Deployment:
    """Customers with their gateways and plans, for one size of the fleet.

    first_gateways: first of the `spread` consecutive gateways through which each customer enters
    tiers: plan of each customer, an index into `plans`
    """

    def __init__(self, size: FleetSize, seed: int) -> None:
        self.size = size
        generator = np.random.default_rng(seed)
        self.weights = np.arange(1, size.customers + 1) ** -ZIPF_EXPONENT
        self.first_gateways = generator.permutation(size.customers) % size.gateways
        heavy = generator.random(size.customers) < HEAVY_SHARE
        demands = self.demands()
        self.tiers = [quota_tier(float(demand), bool(is_heavy)) for demand, is_heavy in
                      zip(demands, heavy, strict=True)]
        self.plans = [make_plan(tier) for tier in range(max(self.tiers) + 1)]

    def demands(self) -> np.ndarray[Any, np.dtype[np.float64]]:
        """Requests per second of each customer, summed over its gateways."""
        entered = np.zeros(self.size.gateways)
        for step in range(self.size.spread):
            np.add.at(entered, (self.first_gateways + step) % self.size.gateways, self.weights)
        per_weight = np.divide(
            self.size.requests_per_second, entered, out=np.zeros_like(entered), where=entered > 0)
        demands = np.zeros(self.size.customers)
        for step in range(self.size.spread):
            demands += self.weights * per_weight[(self.first_gateways + step) % self.size.gateways]
        return demands

    @property
    def counter_timeout_seconds(self) -> float:
        """Timeout of a gateway's counter calls."""
        limited = self.size.counter_calls_per_second > 0
        return COUNTER_TIMEOUT_SECONDS if limited else UNLIMITED_COUNTER_TIMEOUT_SECONDS

    def plan_of(self, customer: int) -> QuotaPlan:
        """The plan of a customer."""
        return self.plans[self.tiers[customer]]

    def load_of(self, gateway: int) -> GatewayLoad:
        """The customers and the request rate of one gateway."""
        distances = (gateway - self.first_gateways) % self.size.gateways
        customers = np.flatnonzero(distances < self.size.spread)
        weights = self.weights[customers]
        return GatewayLoad(
            [int(c) for c in customers], list(accumulate(float(w) for w in weights)),
            self.size.requests_per_second if len(customers) else 0.0)

    def settings(self, gateway: int) -> Settings:
        """The settings of one gateway, as the decision module takes them."""
        return replace(read_settings(self.raw_settings(gateway)), aggregation=self.aggregation())

    def aggregation(self, directory: str = "") -> AggregationSettings | None:
        """The section `aggregation` of a gateway's configuration; None without aggregators."""
        if not self.size.aggregators:
            return None
        return AggregationSettings(
            directory, self.size.gateway_calls_per_second, self.size.gateway_calls_burst)

    def raw_settings(self, gateway: int) -> dict[str, Any]:
        """A gateway's settings in the platform's format, with times in milliseconds."""
        return {
            "me": gateway, "balancers": self.size.gateways, "zone": ZONE, "membership_mode": "on_request",
            "services": [service_entry(READ, "repeatable"), service_entry(KEYED, "by_key")],
            "packages": [package_entry(plan) for plan in self.plans],
            "domain": {"counter": True, "count_limit": 1000.0 * self.counter_timeout_seconds,
                       "count_fee": 0.01, "max_units": MAX_UNITS, "post_paid": False},
            "limits": {"cancel": True, "may_probe": False, "second_copies": False, "max_attempts": 4,
                       "max_retry_after": 500.0, "dial_timeout": 1000.0 * DIAL_TIMEOUT_SECONDS,
                       "keepalive": 15_000.0},
            "rules": {"ask_every": 10_000.0, "cold_from": 0.3, "warm_within": 12_000.0,
                      "fall_multiple": 2.0, "overload_for": 2000.0},
            "report": {"fields": []},
        }


def quota_tier(demand: float, heavy: bool) -> int:
    """Index of the plan for a customer with this demand, in requests per second."""
    if heavy:
        needed = demand / MIN_HEAVY_USE / MIN_PLAN_RATE
        return max(0, int(np.floor(np.log2(needed)))) if needed > 0 else 0
    needed = demand / MAX_NORMAL_USE / MIN_PLAN_RATE
    return max(0, int(np.ceil(np.log2(needed)))) if needed > 0 else 0


def make_plan(tier: int) -> QuotaPlan:
    """The plan of this index; each has twice the rate of the one before."""
    rate = MIN_PLAN_RATE * 2.0**tier
    return QuotaPlan(f"tier-{tier}", rate, max(MIN_PLAN_BURST, BURST_SECONDS * rate))


def service_entry(name: str, semantics: str) -> dict[str, Any]:
    """A request class in the platform's format."""
    return {"name": name, "semantics": semantics, "dedup_scope": "all", "memory_span": 10_000.0,
            "aim": 1000.0 * AIM_SECONDS, "deadline": 1000.0 * BUDGET_SECONDS, "late_share": 0.0,
            "credit": 1.0, "stream": False}


def package_entry(plan: QuotaPlan) -> dict[str, Any]:
    """A plan in the platform's format."""
    return {"name": plan.name, "units_per_s": plan.rate, "peak_units": plan.burst, "concurrency": 0,
            "hard_rate": 0.0, "cap_depth": 0.0, "value_factor": 1.0, "extra_worth": 0.0,
            "overrun_cost": 0.5}


def customer_name(customer: int) -> str:
    """A customer's name in requests and counter names."""
    return f"{customer:016x}"


def backend_name(backend: int) -> str:
    """A backend's instance id in the list."""
    return f"s-{backend:08x}"
