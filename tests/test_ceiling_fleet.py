"""Tests ceilings whose even parts hold no request: all requests of such a plan were refused.

The ceiling was divided by the number of the customer's gateways. 41 units over 150 gateways are 0.27 units
each, and a part that cannot hold a request never sends one: of 100 requests, one every 20 s at one gateway,
none was sent from 15 gateways on with requests of 4 units, from 30 on with 2 and from 60 on with 1. Gateways
now lease units from a shared counter name, and without a counter a few of them hold parts of a whole request:
embersill/ceiling.py has the bound, docs/incidents/2026-12-thin-ceilings.md the figures.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf
from typing import Any

import pytest

from embersill.ceiling import CeilingLease, CeilingShare, LeaseTerms, share_ceiling
from embersill.control import Throttle
from embersill.interface import AddToCounter, Outcome
from tests.ceiling_fleet import (
    PLAN, START, CeilingFleet, Process, allowed_excess, lowest_level, played_load,
)
from tests.ceiling_schedules import SchedulePlay, broken_among, draw_schedule
from tests.helpers import SETTINGS

LEASED_SHAPES = [(30, 2.0), (60, 1.0), (150, 1.0), (150, 4.0), (200, 2.0), (15, 4.0), (41, 2.0)]
EVEN_SHAPES = [(5, 1.0), (30, 1.0)]


@pytest.mark.parametrize(("width", "units"), LEASED_SHAPES)
def test_half_of_the_quota_is_sent_with_a_counter(width: int, units: float) -> None:
    fleet, part = played_load(width, units, counter=True)
    assert part >= 0.5
    assert lowest_level(PLAN, fleet.sent) >= 0.0


@pytest.mark.parametrize(("width", "units"), EVEN_SHAPES)
def test_even_parts_that_hold_a_request_send_nearly_the_quota(width: int, units: float) -> None:
    fleet, part = played_load(width, units, counter=True)
    assert part >= 0.98
    assert lowest_level(PLAN, fleet.sent) >= 0.0


@pytest.mark.parametrize(("width", "units"), LEASED_SHAPES)
def test_a_tenth_of_the_quota_is_sent_without_a_counter(width: int, units: float) -> None:
    fleet, part = played_load(width, units, counter=False)
    assert part >= 0.1
    assert fleet.calls == 0 and lowest_level(PLAN, fleet.sent) >= 0.0


def test_large_requests_do_not_starve_behind_small_ones() -> None:
    """Large and small requests ask for half of the units each, in total more than the ceiling."""
    plan = replace(PLAN, rate=0.0, burst=0.0)
    settings = replace(SETTINGS, gateways=150, plans=(plan,), max_units=4.0, counter_timeout=0.03)
    fleet = CeilingFleet(settings)
    for me in range(150):
        fleet.start(me)
    fleet.run_to(START + 10.0)
    for number in range(2000):
        large = number % 5 == 0
        fleet.request(number * 37 % 150, number, 4.0 if large else 1.0, 4.0)
        fleet.run_to(fleet.now + 0.02)
    large_units = sum(units for _, units in fleet.sent if units > 1.0)
    assert large_units >= 0.25 * sum(units for _, units in fleet.sent) > 0.0


@pytest.mark.parametrize("first", range(0, 1600, 400))
def test_no_order_of_events_exceeds_the_ceiling_by_more_than_is_allowed(first: int) -> None:
    assert broken_among(range(first, first + 400)) == []


class LeaseKeptAcrossRestarts(CeilingFleet):
    """Mutant: a new process starts with half of a life's units, as if its predecessor had used none."""

    def start(self, me: int, ahead: float = 0.0) -> Process:
        process = super().start(me, ahead)
        new_throttle = process.gateway.new_throttle

        def with_lease(*arguments: Any) -> Throttle:
            throttle = new_throttle(*arguments)
            if throttle.lease is not None and self.now > START:
                throttle.lease.units, throttle.lease.expires_at = throttle.lease.terms.units / 2.0, inf
            return throttle

        process.gateway.new_throttle = with_lease  # type: ignore[method-assign, assignment]
        return process


class PartGrantedTwice(CeilingFleet):
    """Mutant: the part of a successor is full, whatever its predecessor has sent."""

    def hand_over(self, me: int, ahead: float, overlap: float) -> None:
        super().hand_over(me, ahead, overlap)
        for throttle in self.processes[me].gateway.throttles.values():
            throttle.ceiling_level = throttle.ceiling_depth


def mutant_play(fleet: type[CeilingFleet]) -> type[SchedulePlay]:
    return type("Mutant", (SchedulePlay,), {"fleet_type": fleet})


@pytest.mark.parametrize("fleet", [LeaseKeptAcrossRestarts, PartGrantedTwice])
def test_mutants_of_restarts_are_detected(fleet: type[CeilingFleet]) -> None:
    assert broken_among(range(400), mutant_play(fleet))


def test_a_mutant_that_grants_too_much_for_a_new_name_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    apply_grant = CeilingLease.apply_grant

    def apply_full(self: CeilingLease, total: float, now: float, spread: float) -> None:
        terms = self.terms
        if total <= self.requested:  # the first call of a life
            self.terms = replace(terms, units=4.0 * terms.units)
            self.requested = self.terms.units
        apply_grant(self, total, now, spread)
        self.terms = terms

    monkeypatch.setattr(CeilingLease, "apply_grant", apply_full)
    assert broken_among(range(400))


def test_the_random_schedules_contain_the_difficult_cases() -> None:
    schedules = [draw_schedule(seed) for seed in range(1600)]
    leased = [
        share_ceiling(s.plan, s.settings.gateways, 0, s.settings.max_units, 0.03).terms for s in schedules]
    assert sum(terms is not None for terms in leased) > 400
    assert sum(not s.settings.counter for s in schedules) > 100
    assert sum(s.losses for s in schedules) > 100
    assert sum(s.restarts > 1.0 and s.trouble > 0.0 for s in schedules) > 100


# the shares


def test_parts_are_even_while_each_holds_the_largest_request() -> None:
    assert share_ceiling(PLAN, 10, 7, 4.0, 0.03) == CeilingShare(4.1, 1.5)


@pytest.mark.parametrize("counter_timeout", [None, 0.03])
@pytest.mark.parametrize(("width", "max_units"), [(11, 4.0), (42, 1.0), (150, 4.0), (1100, 1.0)])
def test_the_parts_of_all_gateways_add_up_to_at_most_the_ceiling(
    counter_timeout: float | None, width: int, max_units: float
) -> None:
    shares = [share_ceiling(PLAN, width, rank, max_units, counter_timeout) for rank in range(width)]
    terms = shares[0].terms
    leased = 0.0 if terms is None else 3.0 * terms.units + terms.units / terms.name_ttl * terms.max_age
    assert sum(share.depth for share in shares) + leased <= PLAN.ceiling_depth + 1e-6
    granted = 0.0 if terms is None else terms.units / terms.name_ttl
    assert sum(share.rate for share in shares) + granted <= PLAN.ceiling_rate + 1e-6
    assert {share.terms for share in shares} == {terms}
    assert max(share.depth for share in shares) >= max_units


def test_a_ceiling_too_small_for_leases_is_shared_by_as_many_gateways_as_it_holds_requests() -> None:
    small = replace(PLAN, ceiling_rate=15.0, ceiling_depth=8.0)
    shares = [share_ceiling(small, 150, rank, 4.0, 0.03) for rank in range(150)]
    assert [share.depth for share in shares[:3]] == [4.0, 4.0, 0.0]


# a lease


def lease() -> CeilingLease:
    return CeilingLease(LeaseTerms(units=10.0, name_ttl=1.0, max_age=0.3))


def test_a_grant_is_what_remains_of_the_units_of_a_life() -> None:
    made = lease()
    made.start_request(4.0, 5.0)
    made.apply_grant(12.0, 5.01, 0.0)  # 8 of 10 were requested before
    assert made.available(5.01) == 2.0 and made.retry_at == 6.01
    assert made.charge(3.0, 5.02) == 1.0 and made.available(5.02) == 0.0


def test_an_unused_lease_lapses_by_the_time_of_its_call() -> None:
    made = lease()
    made.start_request(4.0, 5.0)
    made.apply_grant(4.0, 5.2, 0.0)
    assert made.available(5.29) == 4.0 and made.available(5.3) == 0.0


def test_a_further_lease_does_not_extend_the_previous_one() -> None:
    made = lease()
    for moment in (5.0, 5.2):
        made.start_request(1.0, moment)
        made.apply_grant(1.0, moment, 0.0)
    assert made.available(5.29) == 2.0 and made.available(5.31) == 0.0


def test_units_of_a_failed_call_are_not_used() -> None:
    made = lease()
    made.start_request(4.0, 5.0)
    made.apply_failure()
    assert made.available(5.0) == 0.0 and made.requested == 0.0


def test_with_a_silent_counter_only_the_first_gateway_sends() -> None:
    def silent(call: AddToCounter, now: float) -> tuple[Outcome, float, float]:
        return Outcome.TIMED_OUT, 0.03, inf

    fleet, part = played_load(150, 1.0, counter=True, answer=silent)
    assert lowest_level(PLAN, fleet.sent) >= -allowed_excess(PLAN, 1.0)
    assert fleet.refused + len(fleet.sent) >= 0.99 * len(fleet.asked)
