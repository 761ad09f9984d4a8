"""Hollow gateways of scale runs must behave like real ones at equal load; all checks are of counts."""

from __future__ import annotations

import asyncio
import pathlib
import statistics
from collections.abc import Sequence
from dataclasses import replace
from math import sqrt

import pytest

from embersill.lab.scale.axes import SMALL_BASE
from embersill.lab.scale.bounds import protocol_bounds, broken_bounds
from embersill.lab.scale.deployment import Deployment, QuotaPlan, quota_tier
from embersill.lab.scale.messages import GatewayCounts, QuotaEvents
from embersill.lab.scale.plan import PlayPlan
from embersill.lab.scale.play import PlayResult, run_play
from embersill.lab.scale.quota_account import replay_events
from embersill.lab.scale.records import FleetSize

# standard deviations allowed between two means of the same measure: chance exceeds them once in two million
# comparisons
SIGMAS = 5.0
# every customer enters through every gateway, so that all gateways have the same load
EVEN_FLEET = FleetSize(
    gateways=12, backends=60, customers=200, spread=12, requests_per_second=20.0, changes_per_second=2.0,
    restarted_share=0.0)
# the same with customers that enter through few gateways each, whose quota slices hold a request or two
NARROW_FLEET = replace(EVEN_FLEET, spread=4)
REAL = 3
EDGE_CALLS = 2  # difference allowed between gateways: one call at each end of the measured time


def play(folder: pathlib.Path, size: FleetSize, seconds: float, real: int) -> PlayResult:
    plan = PlayPlan("test", 0.0, 0, 1, size, seconds, 1.0, 2, real)
    return asyncio.run(run_play(plan, folder))


@pytest.fixture(scope="module", params=[EVEN_FLEET, NARROW_FLEET], ids=["even", "narrow"])
def side_by_side(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> PlayResult:
    return play(tmp_path_factory.mktemp("even"), request.param, 6.0, REAL)


def figures(counts: Sequence[GatewayCounts], name: str) -> list[float]:
    return [float(getattr(c, name)) for c in counts]


def variance_of_mean(counts: Sequence[float]) -> float:
    """From the variance among gateways, which is taken as at least that of independent events."""
    return max(statistics.variance(counts), statistics.fmean(counts), 1.0) / len(counts)


def tolerance(hollow: Sequence[float], real: Sequence[float]) -> float:
    """Largest difference allowed between the two means, by counting statistics."""
    return SIGMAS * sqrt(variance_of_mean(hollow) + variance_of_mean(real))


@pytest.mark.parametrize("name", ["requests", "served", "refused", "counter_calls"])
def test_hollow_gateways_have_the_counts_of_real_ones(side_by_side: PlayResult, name: str) -> None:
    hollow, real = figures(side_by_side.hollow, name), figures(side_by_side.real, name)
    assert len(hollow) == EVEN_FLEET.gateways - REAL and len(real) == REAL
    assert abs(statistics.fmean(hollow) - statistics.fmean(real)) <= tolerance(hollow, real), (hollow, real)


def test_hollow_and_real_gateways_end_requests_alike(side_by_side: PlayResult) -> None:
    for counts in (*side_by_side.hollow, *side_by_side.real):
        assert counts.failed == 0
    sides = (side_by_side.hollow, side_by_side.real)
    hollow, real = [[c.refused / c.requests for c in side] for side in sides]
    one_request = 1.0 / statistics.fmean(figures(side_by_side.hollow, "requests"))
    variance = sum(
        max(statistics.variance(side), statistics.fmean(side) * one_request, one_request**2) / len(side)
        for side in (hollow, real))
    apart = abs(statistics.fmean(hollow) - statistics.fmean(real))
    assert apart <= SIGMAS * sqrt(variance), (hollow, real)


def test_no_gateway_fails_a_request_that_was_served(side_by_side: PlayResult) -> None:
    """Each attempt here is served; the client has its answer before the module is notified."""
    assert not [reason for reason in side_by_side.given_up if reason.startswith("after")]


def test_hollow_gateways_call_the_list_service_as_real_ones_do(side_by_side: PlayResult) -> None:
    """Each change ends each gateway's watch, so gateways make equally many calls but for the edges."""
    hollow, real = side_by_side.hollow, side_by_side.real
    calls = figures(hollow, "list_calls") + figures(real, "list_calls")
    assert max(calls) - min(calls) <= EDGE_CALLS, calls
    for name in ("list_bytes_out", "list_bytes_in"):
        found = figures(hollow, name) + figures(real, name)
        one_call = max(found) / max(min(calls), 1.0)
        assert max(found) - min(found) <= EDGE_CALLS * one_call, (name, found)


def test_a_counter_call_has_as_many_bytes_as_at_real_ones(side_by_side: PlayResult) -> None:
    """Calls have the same format; only the digits of amounts and totals differ in number."""
    for name, most_apart in (("counter_bytes_out", 4.0), ("counter_bytes_in", 4.0)):
        sides = []
        for side in (side_by_side.hollow, side_by_side.real):
            sides.append(sum(figures(side, name)) / sum(figures(side, "counter_calls")))
        assert abs(sides[0] - sides[1]) <= most_apart, (name, sides)


def test_counts_keep_to_the_protocols_bounds(side_by_side: PlayResult) -> None:
    assert broken_bounds(side_by_side.play) == []


def test_a_count_over_its_bound_is_reported(side_by_side: PlayResult) -> None:
    play = side_by_side.play
    for bound in protocol_bounds(play):
        over = 1.01 * bound.max_value
        changed = replace(play, counts={**play.counts, bound.measure: over})
        reported = [broken for broken in broken_bounds(changed) if broken.measure == bound.measure]
        assert len(reported) == 1, bound
        assert f"{bound.measure} is {over:.6g}, over {bound.max_value:.6g}" in str(reported[0])


def test_gateways_that_restart_together_get_the_full_list_once(tmp_path: pathlib.Path) -> None:
    result = play(tmp_path, replace(SMALL_BASE, restarted_share=0.5), 2.0, 0)
    restarted = SMALL_BASE.gateways // 2
    counts = result.play.counts
    assert counts["restart_list_calls_fleet"] == restarted
    assert counts["whole_lists_per_start"] == 1.0
    assert counts["restart_bytes_per_gateway"] > counts["whole_list_bytes"]
    assert "restart_all_told_s" in result.play.times
    assert broken_bounds(result.play) == []


def test_a_deployment_follows_from_size_and_seed() -> None:
    one, two = Deployment(EVEN_FLEET, 5), Deployment(EVEN_FLEET, 5)
    assert one.tiers == two.tiers
    assert one.raw_settings(3) == two.raw_settings(3)
    assert Deployment(EVEN_FLEET, 6).tiers != one.tiers


def test_a_customer_enters_through_as_many_gateways_in_a_row_as_its_spread() -> None:
    size = replace(EVEN_FLEET, spread=4)
    deployment = Deployment(size, 1)
    entered: dict[int, list[int]] = {}
    for gateway in range(size.gateways):
        for customer in deployment.load_of(gateway).customers:
            entered.setdefault(customer, []).append(gateway)
    assert len(entered) == size.customers
    for customer, gateways in entered.items():
        first = int(deployment.first_gateways[customer])
        assert sorted(gateways) == sorted((first + step) % size.gateways for step in range(size.spread))


def test_demands_add_up_to_the_requests_of_all_gateways() -> None:
    demands = Deployment(EVEN_FLEET, 1).demands()
    asked = EVEN_FLEET.gateways * EVEN_FLEET.requests_per_second
    assert float(demands.sum()) == pytest.approx(asked)


def test_a_plan_holds_its_customers_demand_unless_it_is_heavy() -> None:
    for demand in (0.1, 1.0, 7.0, 300.0):
        assert 1.4 * 2 ** quota_tier(demand, False) >= demand / 0.4
    assert 1.4 * 2 ** quota_tier(300.0, True) <= 300.0 / 1.5


def test_quota_events_of_all_processes_are_replayed_in_one_order() -> None:
    deployment = Deployment(replace(EVEN_FLEET, customers=1, spread=1), 1)
    deployment.tiers, deployment.plans = [0], [QuotaPlan("p", 1.0, 2.0)]
    one = QuotaEvents([10.0, 10.2, 12.0], [0, 0, 0], [True, True, False])
    two = QuotaEvents([10.1, 10.3, 9.0], [0, 0, 0], [True, False, False])
    # 9.0: full with 2 units, refused within the quota; 10.0 and 10.1 take them; 10.2: 0.1 to 0.2 units, sent
    # beyond the quota; 10.3: refused for lack of units; 12.0: refused within the quota
    outcome = replay_events(deployment, [one, two], 9.0, 13.0)
    assert (outcome.sent, outcome.refused) == (3, 3)
    assert (outcome.beyond_quota, outcome.refused_with_room) == (1, 2)
    later = replay_events(deployment, [one, two], 10.15, 13.0)
    assert (later.sent, later.refused, later.beyond_quota, later.refused_with_room) == (1, 2, 1, 1)
