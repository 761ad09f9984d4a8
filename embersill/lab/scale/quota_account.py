"""Replays a play's quota events of all processes against each customer's fleet-wide quota.

All processes of a play read the same monotonic clock, so their events can be sorted into one order.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from embersill.lab.scale.deployment import Deployment, QuotaPlan
from embersill.lab.scale.messages import QuotaEvents


@dataclass(slots=True)
class QuotaLevel:
    """Remaining units of a customer's quota, over all gateways."""

    plan: QuotaPlan
    level: float  # units
    updated_at: float  # monotonic

    def refill(self, now: float) -> None:
        """Adds the units since the last update, up to the plan's burst."""
        self.level = min(self.plan.burst, self.level + self.plan.rate * (now - self.updated_at))
        self.updated_at = now


@dataclass(slots=True)
class QuotaOutcome:
    """Counts of the requests between two moments."""

    sent: int = 0
    refused: int = 0
    beyond_quota: int = 0  # sent while the quota held less than 1 unit
    refused_with_room: int = 0  # refused while the quota held 1 unit or more

    @property
    def requests(self) -> int:
        return self.sent + self.refused


def replay_events(
    deployment: Deployment, logs: Iterable[QuotaEvents], start: float, end: float
) -> QuotaOutcome:
    """Replays all events in their order, and counts those from `start` until `end`, monotonic times.

    A customer's quota is full at its first event. A request beyond the quota takes no unit from it.
    """
    events = sorted(
        event for log in logs for event in zip(log.times, log.customers, log.sent, strict=True))
    levels: dict[int, QuotaLevel] = {}
    outcome = QuotaOutcome()
    for at, customer, sent in events:
        plan = deployment.plan_of(customer)
        quota = levels.setdefault(customer, QuotaLevel(plan, plan.burst, at))
        quota.refill(at)
        has_room = quota.level >= 1.0
        if sent and has_room:
            quota.level -= 1.0
        if start <= at < end:
            outcome.sent += sent
            outcome.refused += not sent
            outcome.beyond_quota += sent and not has_room
            outcome.refused_with_room += not sent and has_room
    return outcome
