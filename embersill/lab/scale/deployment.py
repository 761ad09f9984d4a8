"""The deployment that a scale run plays: its customers, their plans, and the settings of a gateway.

Everything follows from the fleet's size and a seed, so that each process computes the same deployment by
itself. Customers' demands are skewed by Zipf's law; a customer's quota is chosen by its own demand, so that
the part of the load that exceeds quotas stays about the same along each axis.
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
MIN_PLAN_RATE = 1.4  # units a second of the smallest plan; each next plan has twice that
MIN_PLAN_BURST = 6.0  # units
BURST_SECONDS = 2.0  # of a plan's rate that its burst holds, from LOWEST_BURST on
MAX_NORMAL_USE = 0.4  # of its quota that a customer asks for, at the most
HEAVY_SHARE = 0.1  # of the customers that ask for more than their quota, if their demand allows it
MIN_HEAVY_USE = 1.5  # of its quota that such a customer asks for, at the least
MEAN_SERVICE_SECONDS = 0.02
KEYED_SHARE = 0.25  # of the requests that are of the class KEYED
READ, KEYED = "read", "write"
BUDGET_SECONDS = 5.0
AIM_SECONDS = 2.0
# with a counter of limited capacity, the platform's; without a limit so long that a process which many hollow
# gateways share does not make the counter look crowded by being late itself
COUNTER_TIMEOUT_SECONDS, UNLIMITED_COUNTER_TIMEOUT_SECONDS = 0.03, 0.25
DIAL_TIMEOUT_SECONDS = 1.0
MAX_UNITS = 1.0
ZONE = "a"


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """A plan: units a second, and units that may be saved up."""

    name: str
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class GeneratedRequest:
    """One request as a client would send it."""

    customer: int
    request_class: str
    service_seconds: float


@dataclass(frozen=True, slots=True)
class GatewayLoad:
    """The customers that enter through one gateway, with their cumulative weights."""

    customers: list[int]
    cumulative_weights: list[float]
    requests_per_second: float

    def generate(self, dice: random.Random) -> GeneratedRequest:
        customer = dice.choices(self.customers, cum_weights=self.cumulative_weights)[0]
        klass = KEYED if dice.random() < KEYED_SHARE else READ
        return GeneratedRequest(customer, klass, dice.expovariate(1.0 / MEAN_SERVICE_SECONDS))


class Deployment:
    """Customers with their gateways and plans, for one size of the fleet."""

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
        """Requests a second of each customer, over all of its gateways."""
        entered = np.zeros(self.size.gateways)
        for step in range(self.size.spread):
            np.add.at(entered, (self.first_gateways + step) % self.size.gateways, self.weights)
        per_weight = np.divide(
            self.size.requests_per_second, entered, out=np.zeros_like(entered), where=entered > 0)
        found = np.zeros(self.size.customers)
        for step in range(self.size.spread):
            found += self.weights * per_weight[(self.first_gateways + step) % self.size.gateways]
        return found

    @property
    def counter_timeout_seconds(self) -> float:
        limited = self.size.counter_calls_per_second > 0
        return COUNTER_TIMEOUT_SECONDS if limited else UNLIMITED_COUNTER_TIMEOUT_SECONDS

    def plan_of(self, customer: int) -> QuotaPlan:
        return self.plans[self.tiers[customer]]

    def load_of(self, gateway: int) -> GatewayLoad:
        distances = (gateway - self.first_gateways) % self.size.gateways
        customers = np.flatnonzero(distances < self.size.spread)
        weights = self.weights[customers]
        return GatewayLoad(
            [int(c) for c in customers], list(accumulate(float(w) for w in weights)),
            self.size.requests_per_second if len(customers) else 0.0)

    def settings(self, gateway: int) -> Settings:
        return replace(read_settings(self.raw_settings(gateway)), aggregation=self.aggregation())

    def aggregation(self, directory: str = "") -> AggregationSettings | None:
        """The part `aggregation` of a gateway's configuration; None where they call the counter itself."""
        if not self.size.aggregators:
            return None
        return AggregationSettings(
            directory, self.size.gateway_calls_per_second, self.size.gateway_calls_burst)

    def raw_settings(self, gateway: int) -> dict[str, Any]:
        """A gateway's settings in the platform's form; its times are milliseconds."""
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
    """Number of the plan for a customer with this demand, in requests a second."""
    if heavy:
        needed = demand / MIN_HEAVY_USE / MIN_PLAN_RATE
        return max(0, int(np.floor(np.log2(needed)))) if needed > 0 else 0
    needed = demand / MAX_NORMAL_USE / MIN_PLAN_RATE
    return max(0, int(np.ceil(np.log2(needed)))) if needed > 0 else 0


def make_plan(tier: int) -> QuotaPlan:
    rate = MIN_PLAN_RATE * 2.0**tier
    return QuotaPlan(f"tier-{tier}", rate, max(MIN_PLAN_BURST, BURST_SECONDS * rate))


def service_entry(name: str, semantics: str) -> dict[str, Any]:
    return {"name": name, "semantics": semantics, "dedup_scope": "all", "memory_span": 10_000.0,
            "aim": 1000.0 * AIM_SECONDS, "deadline": 1000.0 * BUDGET_SECONDS, "late_share": 0.0,
            "credit": 1.0, "stream": False}


def package_entry(plan: QuotaPlan) -> dict[str, Any]:
    return {"name": plan.name, "units_per_s": plan.rate, "peak_units": plan.burst, "concurrency": 0,
            "hard_rate": 0.0, "cap_depth": 0.0, "value_factor": 1.0, "extra_worth": 0.0,
            "overrun_cost": 0.5}


def customer_name(customer: int) -> str:
    return f"{customer:016x}"


def backend_name(backend: int) -> str:
    return f"s-{backend:08x}"
