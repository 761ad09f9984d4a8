"""The gateways' routing of counter calls over aggregators, with its bytes counted and a failover timed."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from embersill.interface import CounterCallEnded, Outcome
from embersill.lab.scale.metering import ByteMeter, metered_loop
from embersill.net.aggregation import AggregatorRouter, Member
from embersill.net.counter import Counter
from embersill.net.listing import Address, Listing


@dataclass(slots=True)
class Failover:
    """An aggregator that was killed, and when its customers came to others; monotonic times, 0 until then."""

    aggregator: str
    members: list[Member]  # as they were when it was killed
    removed_at: float = 0.0  # when the list no longer had it
    answered_at: float = 0.0  # when a call for one of its customers was answered again

    def served_customer(self, customer: bytes) -> bool:
        """Whether a customer's calls went to the aggregator that was killed."""
        chosen = max(self.members, key=lambda member: (member.weight(customer), member.name))
        return chosen.name == self.aggregator


class MeteredRouter(AggregatorRouter):
    """The real routing; connections to aggregators are metered, the one to their list service is not."""

    def __init__(
        self, clock: Callable[[], float], directory: Sequence[Address], patience: float, dial_timeout: float,
        told: Callable[[CounterCallEnded], None], connections: int, seed: int, gateways: int, *,
        meter: ByteMeter,
    ) -> None:
        super().__init__(clock, directory, patience, dial_timeout, told, connections, seed, gateways)
        self.meter = meter
        self.failover: Failover | None = None

    def connect(self, address: Address) -> Counter:
        counter = super().connect(address)
        counter.loop = metered_loop(self.meter)
        return counter

    def watch_failover(self, aggregator: str) -> None:
        """Notes from now on when the customers of an aggregator that was killed are answered again."""
        self.failover = Failover(aggregator, list(self.members.values()))
        self.check_removed()

    def update_members(self, listing: Listing) -> None:
        super().update_members(listing)
        self.check_removed()

    def check_removed(self) -> None:
        failover = self.failover
        if failover is not None and not failover.removed_at and failover.aggregator not in self.members:
            failover.removed_at = time.monotonic()

    def member_answered(self, counter: Counter, counted: CounterCallEnded) -> None:
        failover = self.failover
        if failover is not None and failover.removed_at and not failover.answered_at:
            customer = counted.name.rpartition(".")[0].encode()
            if counted.outcome is Outcome.SERVED and failover.served_customer(customer):
                failover.answered_at = time.monotonic()
        super().member_answered(counter, counted)
