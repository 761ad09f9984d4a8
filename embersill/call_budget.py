"""Bounds the counter calls of one gateway, and tells whose calls can wait: a token bucket with reserves.

In any T seconds at most `burst + rate * T` calls are allowed; after a start, or a failure of the counter, at
most `rate * T`: the bucket is empty then, so a fleet that comes back together makes no burst. A call that is
not allowed loses nothing: its units go with the customer's next one. docs/quotas-budget.md has the bounds.
"""

from __future__ import annotations

import zlib
from weakref import WeakKeyDictionary

from embersill.control import Throttle
from embersill.interface import AggregationSettings, CounterCallEnded

FAR_FROM_QUOTA, NEAR_QUOTA = 0.5, 0.8  # shares of a quota in use, below and from which its customer is far from it and near it
FAR_RESERVE, DEFAULT_RESERVE, UNREPORTED_RESERVE = 0.5, 0.25, 0.125  # of the calls' burst, left to more urgent ones
URGENT_UNREPORTED_SHARE, MAX_UNREPORTED_SHARE = 0.25, 1.0  # of a customer's burst: untold units press from here, and end there
USE_SAFETY_FACTOR = 4.0  # times the use that was observed with which the time until a quota's end is reckoned
MAX_READING_VALIDITY = 10.0  # seconds that a reading may stand for: use can begin at any time
DEMAND_CALL_RATE = 2.0  # each second of a customer whose demand is counted: it is told, and the total is read
DEMAND_SHARE = 0.5  # of the calls and of their burst that these may take before all others
NEAR_QUOTA_TIMEOUT = 2.0  # seconds since a customer was near its quota in which it may be again
MIN_READING_INTERVAL = 0.5  # seconds between the readings from which use is observed: less shows chance alone


class CustomerUse:
    """What the readings of a customer's sum have shown of its use at all gateways."""

    used_share = valid_until = total = read_at = 0.0  # `used`: share of the quota
    name = ""
    use_rate: float | None = None  # units a second, once two readings of one name have shown it


class CallBudget:
    """The token bucket of a gateway, and what it knows of the customers that share it."""

    def __init__(self, told: AggregationSettings, now: float) -> None:
        self.rate, self.burst, self.tokens, self.refilled_at = told.calls_per_second, told.burst, 0.0, now
        self.deferred: set[str] = set()  # customers whose untold units wait for a call
        self.near_quota_at: dict[str, float] = {}  # when counted customers were near their quota, the oldest first
        self.uses: WeakKeyDictionary[Throttle, CustomerUse] = WeakKeyDictionary()

    def try_take(self, throttle: Throttle, urgent: bool, units: float, now: float) -> bool:
        """Whether a call is allowed, which is then charged. `units`: of the request that waits for it."""
        self.tokens = min(self.burst, self.tokens + self.rate * max(0.0, now - self.refilled_at))
        self.refilled_at = max(self.refilled_at, now)  # later than now while the counter is left alone
        self.expire_near_quota(now)
        reserve = 0.0 if urgent else self.reserve_for(throttle, units, now)
        if throttle.thin or reserve:
            reserve = max(reserve, self.demand_reserve())
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        self.deferred.discard(throttle.customer)
        return True

    def reserve_for(self, throttle: Throttle, units: float, now: float) -> float:
        """Calls that one for this customer leaves to more urgent ones."""
        use = self.uses.get(throttle)
        used = None if use is None else use.used_share
        if use is None and throttle.plan.rate > 0:
            use_if_even = throttle.own * throttle.width  # at all gateways: totals may lack what was not told
            used = max(throttle.total, use_if_even) / throttle.plan.rate or None
        near = used is not None and used >= NEAR_QUOTA
        if near and not throttle.thin and not self.has_demand_priority(throttle, now):
            return self.burst  # none at all: a total of a part of the demand is worse than the even slice
        if near or not self.may_defer(throttle, units):
            return 0.0
        if not self.may_defer(throttle, units, URGENT_UNREPORTED_SHARE):
            return UNREPORTED_RESERVE * self.burst
        return (FAR_RESERVE if used is not None and used < FAR_FROM_QUOTA else DEFAULT_RESERVE) * self.burst

    def has_demand_priority(self, throttle: Throttle, now: float) -> bool:
        """Whether the demand of a customer near its quota is told before all else.

        Where there are too many of them, it is the same ones at all gateways: the others keep even slices.
        """
        self.near_quota_at.pop(throttle.customer, None)
        self.near_quota_at[throttle.customer] = now
        part = DEMAND_SHARE * self.rate / (DEMAND_CALL_RATE * len(self.near_quota_at))
        return zlib.crc32(throttle.customer.encode()) < part * 2.0**32

    def expire_near_quota(self, now: float) -> None:
        """Drops those that were last near their quota too long ago."""
        while self.near_quota_at:
            customer = next(iter(self.near_quota_at))
            if now - self.near_quota_at[customer] <= NEAR_QUOTA_TIMEOUT:
                break
            del self.near_quota_at[customer]

    def demand_reserve(self) -> float:
        """Calls that all others leave to counted customers near their quota.

        A second's demand that is not told is missing in the total that other gateways read, and they take its
        part of the quota for free. Untold units are not lost: they go with the next call.
        """
        return min(DEMAND_CALL_RATE * len(self.near_quota_at), DEMAND_SHARE * min(self.rate, self.burst))

    def defer(self, customer: str) -> float:
        """Seconds until a customer's untold units are tried again: all that wait try as often as calls go."""
        self.deferred.add(customer)
        return len(self.deferred) / self.rate

    def may_defer(self, throttle: Throttle, units: float, part: float = MAX_UNREPORTED_SHARE) -> bool:
        """Whether these units may join those that the counter has not been told of."""
        return throttle.uncounted + units <= max(units, part * throttle.plan.burst)

    def covered_by_reading(self, throttle: Throttle, units: float, now: float) -> bool:
        """Whether these units may be sent on by the last reading: the quota can't be used up by now."""
        use = self.uses.get(throttle)
        return use is not None and now < use.valid_until and self.may_defer(throttle, units, URGENT_UNREPORTED_SHARE)

    def record_reading(
        self, throttle: Throttle, event: CounterCallEnded, corrected: float, spare: float, now: float
    ) -> float:
        """Takes in a reading, which adds `corrected` for nothing sent; until when it can be trusted."""
        use, plan = self.uses.setdefault(throttle, CustomerUse()), throttle.plan
        use.total += corrected
        if event.name != use.name or now - use.read_at >= MIN_READING_INTERVAL:
            if event.name == use.name:
                seen = max(0.0, event.total - use.total) / (now - use.read_at)
                use.use_rate = max(seen, (use.use_rate or 0.0) / 2)  # it rises at once, and falls by readings
            use.name, use.total, use.read_at = event.name, event.total, now
        use.used_share = -min(spare, 0.0) / plan.burst
        growth, room = USE_SAFETY_FACTOR * (use.use_rate or 0.0) - plan.rate, (0.5 - use.used_share) * plan.burst
        trust = MAX_READING_VALIDITY if growth <= 0 else min(MAX_READING_VALIDITY, max(room, 0.0) / growth)
        use.valid_until = now + trust if use.use_rate is not None and room > 0 else 0.0
        return use.valid_until
