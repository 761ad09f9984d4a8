"""Limits the counter calls of one gateway with a token bucket that reserves tokens for urgent calls.

In any T seconds at most `burst + rate * T` calls are allowed. After a start or a failure of the counter it is
at most `rate * T`: the bucket is then empty, so a fleet that recovers at the same time sends no burst. Units
of a call that is not allowed are not lost: they go with the customer's next call. docs/quotas-budget.md has
the bounds.
"""

from __future__ import annotations

import zlib
from weakref import WeakKeyDictionary

from embersill.control import Throttle
from embersill.interface import AggregationSettings, CounterCallEnded

# shares of a quota: a customer that uses less than the first is far from it, from the second on it is near
FAR_FROM_QUOTA, NEAR_QUOTA = 0.5, 0.8
# shares of the bucket's burst that calls of different urgency leave to more urgent ones
FAR_RESERVE, DEFAULT_RESERVE, UNREPORTED_RESERVE = 0.5, 0.25, 0.125
# shares of a customer's burst: unreported units above the first are more urgent, the second is their maximum
URGENT_UNREPORTED_SHARE, MAX_UNREPORTED_SHARE = 0.25, 1.0
USE_SAFETY_FACTOR = 4.0  # times the observed use; with it the time until the quota is used up is estimated
MAX_READING_VALIDITY = 10.0  # seconds; the use of an idle customer can start at any time
DEMAND_CALL_RATE = 2.0  # calls a second of a customer near its quota: its demand is reported, the total read
DEMAND_SHARE = 0.5  # share of the rate and burst that is reserved for these calls
NEAR_QUOTA_TIMEOUT = 2.0  # seconds after which a customer no longer counts as near its quota
MIN_READING_INTERVAL = 0.5  # seconds between readings that measure use; over less time they measure chance


class CustomerUse:
    """The use of a customer at all gateways, estimated from the counter's totals.

    used_share: share of its quota's burst in use
    valid_until: until when the last reading may be relied on
    name, total, read_at: counter name and total of the last reading, and when it was received
    use_rate: units a second; None until two readings of the same name were received
    """

    used_share = valid_until = total = read_at = 0.0
    name = ""
    use_rate: float | None = None


class CallBudget:
    """The token bucket of a gateway, and the state of the customers that share it."""

    def __init__(self, settings: AggregationSettings, now: float) -> None:
        self.rate, self.burst, self.tokens, self.refilled_at = (
            settings.calls_per_second, settings.burst, 0.0, now)
        self.deferred: set[str] = set()  # customers with unreported units that wait for a call
        self.near_quota_at: dict[str, float] = {}  # by customer: when it last was, oldest first
        self.uses: WeakKeyDictionary[Throttle, CustomerUse] = WeakKeyDictionary()

    def try_take(self, throttle: Throttle, urgent: bool, units: float, now: float) -> bool:
        """Takes a token for a call and returns whether there was one.

        urgent: the call may use the whole bucket
        units: units of the request that waits for the call
        """
        self.tokens = min(self.burst, self.tokens + self.rate * max(0.0, now - self.refilled_at))
        self.refilled_at = max(self.refilled_at, now)  # in the future during the backoff from the counter
        self.expire_near_quota(now)
        reserve = 0.0 if urgent else self.reserve_for(throttle, units, now)
        if throttle.low_rate or reserve:
            reserve = max(reserve, self.demand_reserve())
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        self.deferred.discard(throttle.customer)
        return True

    def reserve_for(self, throttle: Throttle, units: float, now: float) -> float:
        """Number of tokens that a call for this customer leaves to more urgent calls."""
        use = self.uses.get(throttle)
        used = None if use is None else use.used_share
        if use is None and throttle.plan.rate > 0:
            # demand at all gateways if it is even: totals may lack unreported demand
            use_if_even = throttle.local_demand * throttle.gateway_count
            used = max(throttle.total_demand, use_if_even) / throttle.plan.rate or None
        near = used is not None and used >= NEAR_QUOTA
        if near and not throttle.low_rate and not self.has_demand_priority(throttle, now):
            return self.burst  # no call: a total with only part of the demand is worse than even slices
        if near or not self.may_defer(throttle, units):
            return 0.0
        if not self.may_defer(throttle, units, URGENT_UNREPORTED_SHARE):
            return UNREPORTED_RESERVE * self.burst
        return (FAR_RESERVE if used is not None and used < FAR_FROM_QUOTA else DEFAULT_RESERVE) * self.burst

    def has_demand_priority(self, throttle: Throttle, now: float) -> bool:
        """Whether the demand of a customer near its quota is reported before all other units.

        If there are too many such customers, a hash of the name selects the same ones at all gateways; the
        others keep even slices.
        """
        self.near_quota_at.pop(throttle.customer, None)
        self.near_quota_at[throttle.customer] = now
        share = DEMAND_SHARE * self.rate / (DEMAND_CALL_RATE * len(self.near_quota_at))
        return zlib.crc32(throttle.customer.encode()) < share * 2.0**32

    def expire_near_quota(self, now: float) -> None:
        """Drops customers that were last near their quota more than NEAR_QUOTA_TIMEOUT ago."""
        while self.near_quota_at:
            customer = next(iter(self.near_quota_at))
            if now - self.near_quota_at[customer] <= NEAR_QUOTA_TIMEOUT:
                break
            del self.near_quota_at[customer]

    def demand_reserve(self) -> float:
        """Number of tokens reserved for the demand of customers near their quota.

        Demand that is not reported is missing from the total that other gateways read, and they use its share
        of the quota as well. Other unreported units are not lost: they go with the next call.
        """
        return min(DEMAND_CALL_RATE * len(self.near_quota_at), DEMAND_SHARE * min(self.rate, self.burst))

    def defer(self, customer: str) -> float:
        """Marks a customer's unreported units as waiting; returns the seconds until the next try.

        All waiting customers together retry at the rate at which calls are allowed.
        """
        self.deferred.add(customer)
        return len(self.deferred) / self.rate

    def may_defer(self, throttle: Throttle, units: float, share: float = MAX_UNREPORTED_SHARE) -> bool:
        """Whether these units may be sent without a call, up to `share` of the burst unreported."""
        return throttle.unreported_units + units <= max(units, share * throttle.plan.burst)

    def covered_by_reading(self, throttle: Throttle, units: float, now: float) -> bool:
        """Whether the last reading allows these units: the quota cannot be used up by now."""
        use = self.uses.get(throttle)
        return (
            use is not None and now < use.valid_until
            and self.may_defer(throttle, units, URGENT_UNREPORTED_SHARE)
        )

    def record_reading(
        self, throttle: Throttle, event: CounterCallEnded, corrected: float, spare: float, now: float
    ) -> float:
        """Updates a customer's use from a total of the counter; returns until when the reading is valid.

        corrected: units that the call added to the total without any use
        spare: units left of the quota accrued so far; negative if the burst is in use
        """
        use, plan = self.uses.setdefault(throttle, CustomerUse()), throttle.plan
        use.total += corrected
        if event.name != use.name or now - use.read_at >= MIN_READING_INTERVAL:
            if event.name == use.name:
                observed_rate = max(0.0, event.total - use.total) / (now - use.read_at)
                use.use_rate = max(observed_rate, (use.use_rate or 0.0) / 2)  # falls by half at most
            use.name, use.total, use.read_at = event.name, event.total, now
        use.used_share = -min(spare, 0.0) / plan.burst
        growth, room = (
            USE_SAFETY_FACTOR * (use.use_rate or 0.0) - plan.rate, (0.5 - use.used_share) * plan.burst)
        validity = MAX_READING_VALIDITY if growth <= 0 else min(MAX_READING_VALIDITY, max(room, 0.0) / growth)
        use.valid_until = now + validity if use.use_rate is not None and room > 0 else 0.0
        return use.valid_until
