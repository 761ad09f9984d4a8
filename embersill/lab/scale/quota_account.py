"""A fleet-wide account of each customer's quota, kept after the play from what all processes noted.

All processes of a play read the same monotonic clock, so that their events can be put in one order.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from embersill.lab.scale.deployment import Deployment, QuotaPlan
from embersill.lab.scale.messages import QuotaEvents


@dataclass(slots=True)
class QuotaLevel:
    """What is left of a customer's quota, over all gateways."""

    plan: QuotaPlan
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        self.level = min(self.plan.burst, self.level + self.plan.rate * (now - self.updated_at))
        self.updated_at = now


@dataclass(slots=True)
class QuotaOutcome:
    """What came of the requests between two moments."""

    sent: int = 0
    refused: int = 0
    beyond_quota: int = 0  # sent while the quota held less than one unit
    refused_with_room: int = 0  # refused while it held one or more

    @property
    def requests(self) -> int:
        return self.sent + self.refused


def replay_events(
    deployment: Deployment, logs: Iterable[QuotaEvents], began: float, until: float
) -> QuotaOutcome:
    """Replays all events in their order. Quotas are full at the first; what counts lies between the moments.

    A unit beyond the quota takes nothing from it.
    """
    events = sorted(
        event for log in logs for event in zip(log.times, log.customers, log.sent, strict=True))
    levels: dict[int, QuotaLevel] = {}
    outcome = QuotaOutcome()
    for at, customer, sent in events:
        plan = deployment.plan_of(customer)
        quota = levels.setdefault(customer, QuotaLevel(plan, plan.burst, at))
        quota.refill(at)
        room = quota.level >= 1.0
        if sent and room:
            quota.level -= 1.0
        if began <= at < until:
            outcome.sent += sent
            outcome.refused += not sent
            outcome.beyond_quota += sent and not room
            outcome.refused_with_room += not sent and room
    return outcome
