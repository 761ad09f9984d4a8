"""How the store of a plan's ceiling is shared by a customer's gateways, so that their sum never passes it.

The store holds `ceiling_depth` units and refills at `ceiling_rate` units a second. Three ways of sharing
it:

- Even parts, while each holds the largest request. Their depths and rates add up to the store's.
- Leases, where parts would be smaller and there is a counter. A gateway adds the units it wants to one
  counter name of the customer, and may use what fits under `LeaseTerms.units` of the total. The counter
  forgets the name `LeaseTerms.life` seconds after its first call, so each of the name's lives grants so
  many units at most. No clock of a gateway takes part. The first gateway of the set holds a small part
  besides, for a silent counter.
- Whole parts without a counter: as many gateways as the store holds requests, the first of the set, share
  it.

The bound for leases. A unit is used at most `age` seconds after its call was made. A window of T seconds
thus meets lives that span T + age seconds: at most (T + age) / life + 2 of them, and one more each time
that the counter loses what it knew. With `share` for GRANT_SHARE and r for the leased rate, life = units /
(share * r), so that (T + age) * share * r + 3 * units is the most for one loss; `units` is chosen so that
this is at most r * T + depth. A loss costs `units`, which (1 - share) * r brings back: losses may recur
every `units / ((1 - share) * r)` seconds. docs/incidents/2026-12-thin-ceilings.md has the cases.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from embersill.interface import Plan

LEASED_SHARE = 0.9  # of the ceiling's rate, where the first gateway keeps a part of its own
GRANT_SHARE = 0.85  # of the leased rate that is granted; the rest makes up for a counter that forgot
LEASE_EXTRA_AGE = 0.25  # seconds beyond the patience with the counter after which unused units lapse
MAX_NAME_TTL = 60.0  # seconds that the counter keeps a name
PARTIAL_LIVES = 2  # lives of the name that a window meets beyond those it spans
LOST_LIVES = 1  # lives that a counter may grant again as it loses what it knew
RETRY_SPREAD = 0.5  # of a life: a denied gateway asks again after one half to all of it
EPSILON = 1e-9  # float slack where units are compared


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """What all gateways of a fleet agree on, as it follows from the plan and the settings alone."""

    units: float  # granted in one life of the counter name
    name_ttl: float  # seconds after which the counter forgets the name
    max_age: float  # seconds after its call at which an unused lease lapses


@dataclass(frozen=True, slots=True)
class CeilingShare:
    """One gateway's part of a customer's store, in units and units a second, and the leases it may take."""

    depth: float
    rate: float
    terms: LeaseTerms | None = None
    holders: int = 0  # gateways that share the store where the others have no part of it; 0: all do


def share_ceiling(plan: Plan, width: int, rank: int, largest: float, patience: float | None) -> CeilingShare:
    """The share of the `rank`-th of `width` gateways.

    `largest`: units of the largest request. `patience`: seconds a counter call may take; None without one.
    """
    whole = min(largest, plan.ceiling_depth)
    if plan.ceiling_rate <= 0 or width * whole <= plan.ceiling_depth + EPSILON:
        return even_share(plan, width)
    leased = lease_share(plan, whole, rank, patience) if patience is not None else None
    if leased is not None:
        return leased
    holders = max(1, min(width, int(plan.ceiling_depth / whole + EPSILON))) if whole > 0 else 1
    if rank >= holders:
        return CeilingShare(0.0, 0.0)
    return replace(even_share(plan, holders), holders=holders)


def even_share(plan: Plan, width: int) -> CeilingShare:
    """The share where so many gateways have a part of the store each."""
    return CeilingShare(plan.ceiling_depth / width, plan.ceiling_rate / width)


def lease_share(plan: Plan, whole: float, rank: int, patience: float) -> CeilingShare | None:
    """Leases, with a part of one request for the first gateway if there is room; None if a lease has none."""
    tolerant = PARTIAL_LIVES + LOST_LIVES
    for reserved, lives in ((whole, tolerant), (0.0, tolerant), (0.0, PARTIAL_LIVES)):
        terms = lease_terms(plan, whole, reserved, lives, patience)
        if terms is not None:
            has_part = rank == 0 and reserved > 0
            rate = (1.0 - LEASED_SHARE) * plan.ceiling_rate if has_part else 0.0
            return CeilingShare(reserved if has_part else 0.0, rate, terms)
    return None


def lease_terms(
    plan: Plan, whole: float, reserved: float, lives: int, patience: float
) -> LeaseTerms | None:
    """Terms under which `lives` lives of the name fit into the store; None where one holds no request."""
    granted_rate = GRANT_SHARE * plan.ceiling_rate * (LEASED_SHARE if reserved > 0 else 1.0)
    age = patience + LEASE_EXTRA_AGE
    units = min((plan.ceiling_depth - reserved - granted_rate * age) / lives, granted_rate * MAX_NAME_TTL)
    if whole <= 0 or units < whole:
        return None
    return LeaseTerms(units, units / granted_rate, age)


class CeilingLease:
    """What one gateway has leased of one customer's store, and the call that is out for more."""

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self.units, self.expires_at = 0.0, -inf
        self.requested, self.requested_at = 0.0, -inf  # units that the call which is out asks for; nought if none is
        self.retry_at = -inf  # a life that is used up grants nothing before

    def available(self, now: float) -> float:
        """Units that may be used now."""
        return self.units if now < self.expires_at else 0.0

    def start_request(self, units: float, now: float) -> None:
        """Notes that a call for so many units goes out."""
        self.requested, self.requested_at = units, now

    def apply_grant(self, total: float, now: float, spread: float) -> None:
        """Takes what the name's total leaves of the units asked for. `spread`: drawn from 0 to 1."""
        granted = min(max(self.terms.units - (total - self.requested), 0.0), self.requested)
        if granted < self.requested - EPSILON:
            self.retry_at = now + self.terms.name_ttl * (1.0 - RETRY_SPREAD * spread)
        kept = self.available(now)
        self.expires_at = min(self.requested_at + self.terms.max_age, self.expires_at if kept > 0 else inf)
        self.units, self.requested = kept + granted, 0.0

    def apply_failure(self) -> None:
        """The call brought no total: what it may have added is nobody's."""
        self.requested = 0.0

    def charge(self, units: float, now: float) -> float:
        """Uses up to so many units; returns how many are left to be paid otherwise."""
        used = min(units, self.available(now))
        self.units -= used
        return units - used
