"""The gateways' routing of counter calls to aggregators, with its bytes counted and a failover timed."""

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
    """A killed aggregator, and when other aggregators took over its customers; monotonic, 0 until then."""

    aggregator: str
    members: list[Member]  # before it was killed
    removed_at: float = 0.0  # when the gateway's list no longer had it
    answered_at: float = 0.0  # when a call for one of its customers was answered again

    def served_customer(self, customer: bytes) -> bool:
        """Whether a customer's calls went to the killed aggregator."""
        chosen = max(self.members, key=lambda member: (member.weight(customer), member.name))
        return chosen.name == self.aggregator


class MeteredRouter(AggregatorRouter):
    """The real routing; bytes of connections to aggregators are counted, those to their list service not."""

    def __init__(
        self, clock: Callable[[], float], directory: Sequence[Address], timeout: float, dial_timeout: float,
        on_result: Callable[[CounterCallEnded], None], connections: int, seed: int, gateways: int, *,
        meter: ByteMeter,
    ) -> None:
        super().__init__(clock, directory, timeout, dial_timeout, on_result, connections, seed, gateways)
        self.meter = meter
        self.failover: Failover | None = None

    def connect(self, address: Address) -> Counter:
        counter = super().connect(address)
        counter.loop = metered_loop(self.meter)
        return counter

    def watch_failover(self, aggregator: str) -> None:
        """Starts to measure when the customers of a killed aggregator are answered again."""
        self.failover = Failover(aggregator, list(self.members.values()))
        self.check_removed()

    def update_members(self, listing: Listing) -> None:
        super().update_members(listing)
        self.check_removed()

    def check_removed(self) -> None:
        """Records when the killed aggregator has left the list."""
        failover = self.failover
        if failover is not None and not failover.removed_at and failover.aggregator not in self.members:
            failover.removed_at = time.monotonic()

    def member_answered(self, counter: Counter, result: CounterCallEnded) -> None:
        """Records the first answered call of a customer of the killed aggregator."""
        failover = self.failover
        if failover is not None and failover.removed_at and not failover.answered_at:
            customer = result.name.rpartition(".")[0].encode()
            if result.outcome is Outcome.SERVED and failover.served_customer(customer):
                failover.answered_at = time.monotonic()
        super().member_answered(counter, result)
