"""Cases of the throttle and the slice of a quota, with values calculated by hand."""

from __future__ import annotations

from dataclasses import replace

import pytest

from embersill.control import Gateway, Throttle
from embersill.interface import (
    AddToCounter, CounterCallEnded, FlushCounts, Outcome, Plan, Refuse, Send, SetTimer, TimerExpired,
)
from tests.helpers import CAPPED, PLAN, SETTINGS, CheckedGateway, backend, backends, ended, gateway, request


def sends(actions: list[object]) -> int:
    return sum(isinstance(a, Send) for a in actions)


def test_throttle_admits_a_full_bank_then_holds_then_refuses() -> None:
    gw = gateway()  # even slice of two: rate 2, bank 4; with an aim of 1 s a request is held for 0.4 s
    for number in range(4):
        assert sends(list(gw.handle(request(number), 100.0))) == 1
    # the bank is empty: one unit takes 0.5 s, longer than a request may be held
    actions = gw.handle(request(4), 100.0)
    assert isinstance(actions[-1], Refuse) and actions[-1].retry_after == pytest.approx(0.5)
    # 0.3 s later it has 0.6 units: one takes 0.2 s more, so the request is held and released just then
    held = gw.handle(request(5), 100.3)
    assert sends(list(held)) == 0
    timer = next(a for a in held if isinstance(a, SetTimer) and a.key.startswith("r"))
    assert timer.delay == pytest.approx(0.2)
    assert sends(list(gw.handle(TimerExpired(timer.key), 100.3 + timer.delay))) == 1


def test_request_larger_than_the_bank_waits_until_it_is_full() -> None:
    throttle = Throttle("c", PLAN, 4, 0.0, 0.0)  # rate 1, bank 2
    assert throttle.wait_time(5.0) == 0.0
    throttle.quota_level = 1.0
    assert throttle.wait_time(5.0) == pytest.approx(1.0)


def test_refill_stops_at_the_bank_less_the_held_units() -> None:
    throttle = Throttle("c", PLAN, 2, 0.0, 0.0)
    throttle.quota_level, throttle.held_units = -3.0, 3.0
    throttle.refill(10.0)
    assert throttle.quota_level == pytest.approx(1.0)  # bank 4 less the 3 held units


def test_post_paid_correction_can_make_the_level_negative() -> None:
    gw = gateway(post_paid=True)
    gw.handle(request(1, units=4.0), 100.0)
    sent = next(iter(gw.jobs.values())).attempts[0].server.backend.address
    gw.handle(ended(1, 0, sent, Outcome.SERVED, true_units=7.0), 100.0)
    assert gw.throttles["c"].quota_level == pytest.approx(-3.0)


def test_reading_moves_the_slice_by_local_demand() -> None:
    throttle = Throttle("c", PLAN, 2, 0.0, 0.0)
    gw = gateway()
    throttle.local_demand = 1.0
    gw.apply_total(throttle, 4.0)  # smoothed to 2 of 4: local demand 1 and half the room of 2
    assert throttle.rate == pytest.approx(2.0)
    throttle.local_demand = 3.0
    gw.apply_total(throttle, 14.0)  # smoothed to 8, above the quota: 4 times 3/8
    assert throttle.rate == pytest.approx(1.5)


def test_total_below_the_own_report_is_ignored() -> None:
    gw = gateway()
    throttle = Throttle("c", PLAN, 2, 0.0, 0.0)
    throttle.local_demand, throttle.reported_demand, throttle.total_demand = 3.0, 3.0, 6.0
    gw.apply_total(throttle, 0.0)  # less than this gateway added itself: the counter has lost the name
    assert throttle.total_demand == 6.0


def test_demand_is_reported_and_read_under_one_counter_name() -> None:
    watch = CheckedGateway(gateway())
    watch.handle(backends(backend("a")))
    for number in range(4):
        watch.handle(request(number, deadline=108.0))
    watch.run_to(102.0)
    assert len(watch.pending_counts) == 2 and watch.pending_counts[0] == watch.pending_counts[1]


def test_failing_counter_is_not_called() -> None:
    gw = gateway()
    for number in range(4):
        gw.handle(request(number), 100.0)
    gw.handle(CounterCallEnded("c.100", Outcome.NO_CONNECTION, 0.0, 0.0), 101.0)
    assert not any(isinstance(a, AddToCounter) for a in gw.handle(TimerExpired("cc"), 101.1))


def test_ceiling_part_holds_only_what_refilled_since_the_start() -> None:
    gw = gateway()
    first = gw.handle(request(1, plan="capped"), 100.0)  # just started: nothing has refilled yet
    assert sends(list(first)) == 0
    later = gateway(now=50.0)
    assert sends(list(later.handle(request(1, plan="capped"), 100.0))) == 1
    assert Throttle("c", CAPPED, 2, 100.0, 99.0).ceiling_level == pytest.approx(3.0)


def test_idle_throttles_are_dropped_and_new_ones_are_not() -> None:
    gw = gateway()
    gw.handle(request(1), 100.0)
    assert "c" in gw.throttles
    where = gw.jobs[1].attempts[0].server.backend.address
    gw.handle(ended(1, 0, where, Outcome.SERVED), 100.1)
    for second in range(101, 106):
        gw.handle(TimerExpired("cc"), float(second))
    for number in range(2, 5):
        gw.handle(request(number, customer=f"other{number}", deadline=204.0), 200.0)
    assert "c" not in gw.throttles


def test_concurrency_is_divided_among_the_gateways() -> None:
    gw = gateway()  # two attempts in flight over two gateways: one here
    assert sends(list(gw.handle(request(1, plan="open"), 100.0))) == 1
    assert sends(list(gw.handle(request(2, plan="open"), 100.0))) == 0
    where = gw.jobs[1].attempts[0].server.backend.address
    assert sends(list(gw.handle(ended(1, 0, where, Outcome.SERVED), 100.1))) == 1


@pytest.mark.parametrize("plan", ["rate", "burst"])
def test_error_names_a_negative_setting(plan: str) -> None:
    from dataclasses import replace
    wrong = replace(PLAN, rate=-1.0) if plan == "rate" else replace(PLAN, burst=-1.0)
    bad = replace(SETTINGS, plans=(wrong,))
    with pytest.raises(ValueError, match=plan):
        Gateway(bad, 1, 0.0)


def test_held_request_behind_the_head_is_refused_at_its_own_time_limit() -> None:
    """Guards against checking the time limit of the head of the queue only.

    With short deadlines a request behind the head can have less time left than the head.
    """
    watch = CheckedGateway(gateway())
    watch.handle(backends(backend("a"), backend("b", 1)))
    for number in range(4):
        watch.handle(request(number, "pay", deadline=106.0))
    watch.handle(request(4, "pay", deadline=106.0))  # held: needs 0.5 s of its 0.8 s
    watch.handle(request(5, "pay", deadline=101.04, units=0.01))  # behind it, with 0.52 s left
    watch.gateway.throttles["c"].set_share(0.001, 100.0)  # then the slice moves to other gateways
    watch.run_to(100.9)
    assert isinstance(watch.answered[5], Refuse) and isinstance(watch.answered[4], Refuse)


def test_no_more_is_held_than_the_ceiling_admits_in_time() -> None:
    """Guards against a queue filled by the quota's rate whose requests all wait for a lower ceiling."""
    plan = replace(CAPPED, rate=40.0, burst=80.0)  # this gateway's part of the ceiling: 3 units per second
    gw = gateway(plans=(plan,))
    held = refused = 0
    for number in range(20):
        actions = gw.handle(request(number, plan="capped"), 100.0)
        held += any(isinstance(a, SetTimer) and a.key.startswith("h") for a in actions)
        refused += any(isinstance(a, Refuse) for a in actions)
    assert held == 1 and refused == 19


def test_small_slice_of_a_quota_shared_by_many_is_low_rate() -> None:
    def low_rate(width: int, burst: float) -> bool:
        plan = Plan("p", 4.0, burst, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
        return Throttle("c", plan, width, 100.0, 90.0, max_units=1.0).low_rate

    assert [low_rate(4, 3.0), low_rate(4, 5.0), low_rate(14, 20.0), low_rate(14, 29.0)] == [
        True, False, True, False]


def test_counted_fraction_recovers_once_the_counter_answers_in_time() -> None:
    """Guards against a fraction that stays low where the network takes a third of the counter timeout."""
    gw = gateway(gateways=40)
    for _ in range(3):
        gw.handle(CounterCallEnded("c.1", Outcome.TIMED_OUT, SETTINGS.counter_timeout, 0.0), 100.0)
    assert gw.counted_fraction < 0.5
    for _ in range(40):
        gw.handle(CounterCallEnded("c.1", Outcome.SERVED, 0.4 * SETTINGS.counter_timeout, 1.0), 101.0)
    assert gw.counted_fraction == 1.0


def test_sum_is_corrected_once_by_two_gateways_at_once_or_after_a_lost_call() -> None:
    """Guards against a sum corrected twice, or low by up to a minute's rate after a lost first call."""
    for lost in (False, True):
        gateways = [gateway(now=105.0, gateways=10, gateway_index=index) for index in (0, 1)]
        total, replies = 0.0, []
        for gw in gateways:  # the epoch is 45 s old without a call: 180 unused units at 4 per second
            actions = gw.handle(request(1, width=10, deadline=109.0), 105.0)
            asked = [a for a in actions if isinstance(a, AddToCounter)]
            total += asked[0].amount
            replies.append(CounterCallEnded(asked[0].name, Outcome.SERVED, 0.01, total))
        if lost:
            replies[0] = CounterCallEnded(replies[0].name, Outcome.TIMED_OUT, SETTINGS.counter_timeout, 0.0)
        for _ in range(3):
            calls = [(gw, a) for gw, reply in zip(gateways, replies, strict=True)
                     for a in gw.handle(reply, 105.0) if isinstance(a, AddToCounter)]
            replies = [CounterCallEnded("none.1", Outcome.SERVED, 0.01, 0.0)] * 2
            for gw, call in calls:
                total += call.amount
                replies[gateways.index(gw)] = CounterCallEnded(call.name, Outcome.SERVED, 0.01, total)
        assert 178.0 <= total <= 182.0


def test_flush_reports_unreported_units_once_and_not_after_a_hand_over() -> None:
    plan = Plan("small", 4.0, 7.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)  # low rate: it goes by the counter's level
    gw = gateway(plans=(plan,))
    asked = [a for a in gw.handle(request(1), 100.0) if isinstance(a, AddToCounter)]
    gw.handle(CounterCallEnded(asked[0].name, Outcome.SERVED, 0.001, 1.0), 100.0)
    assert sends(list(gw.handle(request(2), 100.05))) == 1  # by the last reading; reported a moment later
    reports = [a for a in gw.handle(FlushCounts(), 100.06) if isinstance(a, AddToCounter)]
    assert [(a.name, a.amount) for a in reports] == [(asked[0].name, 1.0)]
    assert not gw.handle(FlushCounts(), 100.07)
    gw.handle(request(3), 100.08)
    gw.hand_over(100.09)
    assert not gw.handle(FlushCounts(), 100.1)  # the successor has the units and reports them
