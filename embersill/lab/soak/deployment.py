"""The deployment that a soak runs: classes, plans and limits, written as the platform's configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

GRACE = 1.0  # seconds for which sends to a backend may go on after it is listed as draining or removed
# Seconds. By the protocol SIGKILL may follow SIGTERM after the longest deadline, capped, plus a margin.
MAX_COUNTED_DEADLINE, KILL_MARGIN = 3.0, 0.7


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, with its aim and its deadline in seconds."""

    name: str
    repeats: str  # "repeatable", "by_key" or "once"
    aim: float
    deadline: float
    scope: str = "all"  # group of backends that deduplicates keyed requests: "all", "zone" or "cell"
    window: float = 0.0  # seconds for which a keyed request is deduplicated


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings and limits that all gateways get; times in seconds."""

    gateways: int
    classes: tuple[RequestClass, ...]
    rate: float = 40.0  # units per second of a customer
    burst: float = 80.0
    ceiling: float = 0.0  # as a multiple of rate and burst; 0: no ceiling
    cold_from: float = 0.2
    warm_within: float = 8.0
    fall_multiple: float = 2.0
    overload_for: float = 2.0
    dial_timeout: float = 0.25
    keepalive: float = 15.0
    memory_mb: int = 96
    sockets: int = 640  # limit of open descriptors
    spread: int = 0  # gateways that share a customer's quota; 0: those that run
    configured_gateways: int = 0  # number in the settings, if only a part of them runs; 0: those that run

    @property
    def customer_gateways(self) -> int:
        """Gateways that share a customer's quota."""
        return self.spread or self.gateways

    @property
    def fleet_size(self) -> int:
        """Number of gateways in the settings."""
        return self.configured_gateways or self.gateways

    def kill_delay(self) -> float:
        """Seconds after SIGTERM at which SIGKILL may follow."""
        return min(max(c.deadline for c in self.classes), MAX_COUNTED_DEADLINE) + KILL_MARGIN

    def settings(self, gateway_index: int) -> dict[str, Any]:
        """The settings object of a gateway's configuration, with times in milliseconds."""
        return {
            "me": gateway_index,
            "balancers": self.fleet_size,
            "zone": "a",
            "membership_mode": "pushed",
            "services": [
                {
                    "name": c.name,
                    "semantics": c.repeats,
                    "dedup_scope": c.scope,
                    "memory_span": 1000.0 * c.window,
                    "aim": 1000.0 * c.aim,
                    "deadline": 1000.0 * c.deadline,
                    "late_share": 0.2,
                    "credit": 1.0,
                    "stream": False,
                }
                for c in self.classes
            ],
            "packages": [
                {
                    "name": "basis",
                    "units_per_s": self.rate,
                    "peak_units": self.burst,
                    "concurrency": 0,
                    "hard_rate": self.ceiling * self.rate,
                    "cap_depth": self.ceiling * self.burst,
                    "value_factor": 1.0,
                    "extra_worth": 0.0,
                    "overrun_cost": 0.5,
                }
            ],
            "domain": {
                "counter": True,
                "count_limit": 30.0,
                "count_fee": 0.01,
                "max_units": 1.0,
                "post_paid": False,
            },
            "limits": {
                "cancel": True,
                "may_probe": False,
                "second_copies": False,
                "max_attempts": 4,
                "max_retry_after": 500.0,
                "dial_timeout": 1000.0 * self.dial_timeout,
                "keepalive": 1000.0 * self.keepalive,
            },
            "rules": {
                "ask_every": 10_000.0,
                "cold_from": self.cold_from,
                "warm_within": 1000.0 * self.warm_within,
                "fall_multiple": self.fall_multiple,
                "overload_for": 1000.0 * self.overload_for,
                "stop_sending_within": 1000.0 * GRACE,
            },
            "report": {"fields": []},
        }


def backend_entry(
    name: str, host_port: str, number: int, state: str = "SERVING", started: float = 0.0
) -> dict[str, Any]:
    """A backend's entry in the discovery list.

    Args:
        number: determines the zone and the cell.
        started: when the backend started, in Unix time; 0 if long ago.
    """
    return {
        "instanceId": name,
        "hostPort": host_port,
        "zone": "abc"[number % 3],
        "machineType": "m2",
        "cell": number % 40,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": round(1000 * started),
    }
