"""How the gateways of a customer share the ceiling of its plan, so that together they never exceed it.

A ceiling is a token bucket: it holds `ceiling_depth` units and refills at `ceiling_rate` units a second.
There are three ways of sharing it:

- Even parts, while each part holds the largest request. Their depths and rates add up to the ceiling's.
- Leases, if even parts would be smaller and there is a counter. A gateway adds the units it requests to one
  counter name of the customer and may use what fits under `LeaseTerms.units` of the total. The counter
  expires the name `LeaseTerms.name_ttl` seconds after its first call, so each life of the name grants at most
  that many units. No clock of a gateway is involved. The first gateway of the set also holds a small part of
  its own, in case the counter does not respond.
- Parts of the largest request each without a counter: as many gateways as the ceiling holds requests, the
  first of the set, share it.

The bound for leases: a unit is used at most `max_age` seconds after its call was made. A window of T seconds
thus overlaps lives that span T + max_age seconds: at most (T + max_age) / name_ttl + 2 of them, and one more
each time that the counter loses its data. With `share` for GRANT_SHARE and r for the leased rate, name_ttl =
units / (share * r), so that at most (T + max_age) * share * r + 3 * units are used with one loss; `units` is
chosen so that this is at most r * T + depth. A loss costs `units`, which (1 - share) * r makes up for: losses
may recur every `units / ((1 - share) * r)` seconds. docs/incidents/2026-12-thin-ceilings.md has the cases.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from embersill.interface import Plan

LEASED_SHARE = 0.9  # of the ceiling's rate, if the first gateway keeps a part of its own
GRANT_SHARE = 0.85  # of the leased rate that is granted; the rest makes up for data lost by the counter
LEASE_EXTRA_AGE = 0.25  # seconds beyond the counter timeout after which unused units lapse
MAX_NAME_TTL = 60.0  # seconds that the counter keeps a name
PARTIAL_LIVES = 2  # lives of the name that a window overlaps beyond those it spans
LOST_LIVES = 1  # lives that a counter may grant again after it lost its data
RETRY_SPREAD = 0.5  # share of a life: a denied gateway asks again after half to all of it
EPSILON = 1e-9  # tolerance for rounding when units are compared


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Terms that all gateways of a fleet derive from the plan and the settings alone."""

    units: float  # granted in one life of the counter name
    name_ttl: float  # seconds after which the counter expires the name
    max_age: float  # seconds after its call at which an unused lease lapses


@dataclass(frozen=True, slots=True)
class CeilingShare:
    """One gateway's part of a customer's ceiling, in units and units a second, and the terms of leases."""

    depth: float
    rate: float
    terms: LeaseTerms | None = None
    holders: int = 0  # number of gateways that share the ceiling if the others have no part; 0: all do


def share_ceiling(
    plan: Plan, gateway_count: int, rank: int, max_units: float, counter_timeout: float | None
) -> CeilingShare:
    """The share of the gateway with this rank among `gateway_count` gateways of the customer.

    rank: from 0; `gateway_count` or more if it is not known, which gives no part beyond an even one
    max_units: units of the largest request
    counter_timeout: seconds that a counter call may take; None without a counter
    """
    request_units = min(max_units, plan.ceiling_depth)
    if plan.ceiling_rate <= 0 or gateway_count * request_units <= plan.ceiling_depth + EPSILON:
        return even_share(plan, gateway_count)
    leased = lease_share(plan, request_units, rank, counter_timeout) if counter_timeout is not None else None
    if leased is not None:
        return leased
    holders = (
        max(1, min(gateway_count, int(plan.ceiling_depth / request_units + EPSILON)))
        if request_units > 0 else 1
    )
    if rank >= holders:
        return CeilingShare(0.0, 0.0)
    return replace(even_share(plan, holders), holders=holders)


def even_share(plan: Plan, gateway_count: int) -> CeilingShare:
    """The share if `gateway_count` gateways have equal parts of the ceiling."""
    return CeilingShare(plan.ceiling_depth / gateway_count, plan.ceiling_rate / gateway_count)


def lease_share(plan: Plan, request_units: float, rank: int, counter_timeout: float) -> CeilingShare | None:
    """A share by leases; None if no terms fit.

    If possible the first gateway has a part that holds one request, and the terms tolerate one loss of the
    counter's data; otherwise the part is given up first, then the tolerance.
    """
    loss_tolerant = PARTIAL_LIVES + LOST_LIVES
    for reserved, lives in ((request_units, loss_tolerant), (0.0, loss_tolerant), (0.0, PARTIAL_LIVES)):
        terms = lease_terms(plan, request_units, reserved, lives, counter_timeout)
        if terms is not None:
            has_part = rank == 0 and reserved > 0
            rate = (1.0 - LEASED_SHARE) * plan.ceiling_rate if has_part else 0.0
            return CeilingShare(reserved if has_part else 0.0, rate, terms)
    return None


def lease_terms(
    plan: Plan, request_units: float, reserved: float, lives: int, counter_timeout: float
) -> LeaseTerms | None:
    """Terms with which `lives` lives of the name fit into the ceiling; None if a life holds no request.

    request_units: units of the largest request
    reserved: units that are not leased but held by the first gateway
    """
    granted_rate = GRANT_SHARE * plan.ceiling_rate * (LEASED_SHARE if reserved > 0 else 1.0)
    max_age = counter_timeout + LEASE_EXTRA_AGE
    units = min(
        (plan.ceiling_depth - reserved - granted_rate * max_age) / lives, granted_rate * MAX_NAME_TTL)
    if request_units <= 0 or units < request_units:
        return None
    return LeaseTerms(units, units / granted_rate, max_age)


class CeilingLease:
    """The units that one gateway has leased of one customer's ceiling, and its pending call for more.

    requested: units that the pending call asks for; 0 if none is pending
    retry_at: earliest moment of the next call after one that was not granted in full
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self.units, self.expires_at = 0.0, -inf
        self.requested, self.requested_at = 0.0, -inf
        self.retry_at = -inf

    def available(self, now: float) -> float:
        """Units that may be used now."""
        return self.units if now < self.expires_at else 0.0

    def start_request(self, units: float, now: float) -> None:
        """Records that a call for `units` is sent."""
        self.requested, self.requested_at = units, now

    def apply_grant(self, total: float, now: float, spread: float) -> None:
        """Adds the units granted by the answer to the pending call.

        total: the counter's total of the name, with the requested units
        spread: random number from 0 to 1 that spreads the next call of a denied gateway
        """
        granted = min(max(self.terms.units - (total - self.requested), 0.0), self.requested)
        if granted < self.requested - EPSILON:
            self.retry_at = now + self.terms.name_ttl * (1.0 - RETRY_SPREAD * spread)
        kept = self.available(now)
        self.expires_at = min(self.requested_at + self.terms.max_age, self.expires_at if kept > 0 else inf)
        self.units, self.requested = kept + granted, 0.0

    def apply_failure(self) -> None:
        """Ends a pending call without a total: units that it may have added are used by no gateway."""
        self.requested = 0.0

    def charge(self, units: float, now: float) -> float:
        """Uses up to `units` leased units; returns how many remain to be charged elsewhere."""
        used = min(units, self.available(now))
        self.units -= used
        return units - used
