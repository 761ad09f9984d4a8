"""The deployment that a soak plays: classes, plans and limits, in the form that the platform tells them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

GRACE = 1.0  # seconds for sends to a backend after it was told to drain or to be gone
MAX_COUNTED_DEADLINE, KILL_MARGIN = 3.0, 0.7  # seconds: SIGKILL after SIGTERM, as the protocol page has it


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; times in seconds."""

    name: str
    repeats: str  # "repeatable", "by_key" or "once"
    aim: float
    deadline: float
    scope: str = "all"
    window: float = 0.0  # in which a repeat of a keyed request is dropped


@dataclass(frozen=True, slots=True)
class Deployment:
    """What the gateways are told besides lists and addresses."""

    gateways: int
    classes: tuple[RequestClass, ...]
    rate: float = 40.0  # units a second of a customer
    burst: float = 80.0
    ceiling: float = 0.0  # times rate and burst; 0: none
    cold_from: float = 0.2
    warm_within: float = 8.0
    fall_multiple: float = 2.0
    overload_for: float = 2.0
    dial_timeout: float = 0.25
    keepalive: float = 15.0
    memory_mb: int = 96
    sockets: int = 640
    spread: int = 0  # gateways of each customer's set; 0: those that are played
    configured_gateways: int = 0  # how many the settings say there are, where these are a part of a larger fleet

    @property
    def customer_gateways(self) -> int:
        """Gateways that share a customer's quota."""
        return self.spread or self.gateways

    @property
    def fleet_size(self) -> int:
        """Gateways that the settings tell of."""
        return self.configured_gateways or self.gateways

    def kill_delay(self) -> float:
        """Seconds after SIGTERM at which SIGKILL may come."""
        return min(max(c.deadline for c in self.classes), MAX_COUNTED_DEADLINE) + KILL_MARGIN

    def settings(self, me: int) -> dict[str, Any]:
        """The settings object of a gateway's configuration, in milliseconds."""
        return {
            "me": me,
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
    """A backend in discovery's form; `started`: Unix time in seconds, 0 for long ago."""
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
