"""The aggregation's state: totals, waits, forwards and what becomes of amounts that are lost."""

from __future__ import annotations

import pytest

from embersill.aggregator.messages import (
    Answer,
    Busy,
    BusyReason,
    ForwardStatus,
    Total,
    Unknown,
    Wait,
)
from embersill.aggregator.state import INDEX_SLACK, KNOWN_NAME_INTERVAL, PROBE_NAME
from tests.aggregators import StateHarness, acquire_lease


def ticket(reply: object) -> int:
    assert isinstance(reply, Wait)
    return reply.ticket


def test_a_first_call_waits_for_the_upstream_total() -> None:
    bench = StateHarness()
    bench.counter.add(b"a.1", 7.0, 60_000, bench.now)
    acquire_lease(bench)
    number = ticket(bench.add("a.1", 2.0))
    assert bench.forward_all() == [Answer(number, Total(9.0))]


def test_calls_that_wait_together_share_a_forward() -> None:
    bench = StateHarness()
    acquire_lease(bench)
    numbers = [ticket(bench.add("a.1", 2.0)) for _ in range(5)]
    assert bench.forward_all() == [Answer(number, Total(10.0)) for number in numbers]
    assert bench.names_sent() == [b"a.1"]


def test_a_known_name_is_answered_from_all_that_is_known() -> None:
    bench = StateHarness()
    bench.add_known_name("a.1", 5.0)
    assert bench.add("a.1", 2.0) == Total(7.0)
    bench.now += 0.2
    forward = bench.next()
    assert forward.amount == 2.0
    assert bench.add("a.1", 4.0) == Total(11.0)  # 5 upstream, 2 in flight, 4 not forwarded
    bench.end(forward, ForwardStatus.ADDED, 30.0)  # others have added 23
    assert bench.add("a.1", -1.0) == Total(33.0)


def test_one_forward_a_name_and_window() -> None:
    bench = StateHarness(window=0.1)
    bench.add_known_name("a.1")
    sent = len(bench.names_sent())
    for _ in range(100):
        bench.add("a.1", 1.0)
        bench.run(0.01)
    assert 6 <= len(bench.names_sent()) - sent <= 11
    assert bench.counter.totals[b"a.1"] >= 85.0


def test_one_forward_of_a_name_is_out_at_a_time() -> None:
    bench = StateHarness(window=0.1, lease=5.0)
    bench.add_known_name("a.1")
    bench.add("a.1", 1.0)
    bench.now += 0.2
    bench.next()
    bench.add("a.1", 1.0)
    bench.now += 0.2
    assert bench.state.next_forward(bench.now) is None


def test_nothing_is_called_for_a_name_with_nothing_to_tell() -> None:
    bench = StateHarness(stale=30.0)
    bench.add_known_name("a.1", 3.0)
    sent = len(bench.names_sent())
    for _ in range(100):
        bench.add("a.1", 0.0)
        bench.run(0.01)
    assert len(bench.names_sent()) == sent


def test_a_stale_reading_in_use_is_refreshed() -> None:
    bench = StateHarness(stale=0.5)
    bench.add_known_name("a.1", 3.0)
    bench.counter.add(b"a.1", 10.0, 60_000, bench.now)
    bench.run(0.6)
    assert bench.add("a.1", 0.0) == Total(3.0)
    bench.run(0.2)
    assert bench.add("a.1", 0.0) == Total(13.0)


def test_turned_away_before_upstream_has_ever_answered() -> None:
    bench = StateHarness()
    assert bench.add("a.1") == Busy(BusyReason.CUT_OFF)
    assert bench.next().name == PROBE_NAME


def test_cut_off_it_answers_busy_once_the_lease_is_over_and_adds_nothing() -> None:
    bench = StateHarness(lease=1.0)
    bench.add_known_name("a.1", 5.0)
    bench.now += 0.9
    assert bench.add("a.1", 1.0) == Total(6.0)
    bench.now += 0.2
    assert bench.add("a.1", 10.0) == Busy(BusyReason.CUT_OFF)
    assert bench.add("b.1", 10.0) == Busy(BusyReason.CUT_OFF)
    bench.run(0.2)  # back
    assert bench.add("a.1", 0.0) == Total(6.0)
    assert bench.counter.totals[b"a.1"] == 6.0


def test_the_lease_counts_from_when_the_call_was_sent() -> None:
    bench = StateHarness(lease=1.0)
    probe = bench.next()
    bench.now += 0.9
    bench.end(probe, ForwardStatus.ADDED)
    assert isinstance(bench.add("a.1"), Wait)
    bench.now += 0.2
    assert bench.add("b.1") == Busy(BusyReason.CUT_OFF)


@pytest.mark.parametrize("status", [s for s in ForwardStatus if s is not ForwardStatus.ADDED])
def test_only_a_total_gives_the_lease(status: ForwardStatus) -> None:
    bench = StateHarness()
    bench.end(bench.next(), status)
    assert bench.add("a.1") == Busy(BusyReason.CUT_OFF)


def test_an_idle_lease_is_kept_by_probes() -> None:
    bench = StateHarness(lease=1.0)
    acquire_lease(bench)
    for _ in range(50):
        bench.run(0.1)
        assert bench.state.has_lease(bench.now)
    assert len(bench.sent) <= 5 * 3 + 2


def test_a_wait_that_ends_takes_its_amount_back() -> None:
    bench = StateHarness(wait=0.05)
    acquire_lease(bench)
    first = ticket(bench.add("a.1", 4.0))
    bench.now += 0.03
    second = ticket(bench.add("a.1", 2.0))
    bench.now += 0.03
    bench.state.expire_due(bench.now)
    assert bench.state.take_answers() == [Answer(first, Busy(BusyReason.WAIT_ENDED))]
    assert bench.forward_all() == [Answer(second, Total(2.0))]
    assert bench.counter.totals[b"a.1"] == 2.0


def test_a_new_name_in_flight_is_not_forwarded_again_as_new() -> None:
    bench = StateHarness(wait=60.0, lease=60.0)
    acquire_lease(bench)
    bench.add("a.1", 4.0)
    bench.end(bench.next(), ForwardStatus.BUSY)
    bench.run_until_sent()
    bench.state.figures.forwards = KNOWN_NAME_INTERVAL - 1  # the next turn is of known names
    assert bench.next().name == b"a.1"
    bench.add("a.1", 2.0)
    assert bench.state.next_forward(bench.now) is None


def test_a_name_that_nobody_waits_for_any_more_is_not_forwarded() -> None:
    bench = StateHarness(wait=0.05)
    acquire_lease(bench)
    bench.add("a.1", 4.0)
    bench.now += 0.06
    bench.forward_all()
    assert bench.names_sent() == []
    assert bench.state.statistics(bench.now)["names"] == 0


def test_a_wait_in_flight_gets_the_forwards_result_however_late() -> None:
    bench = StateHarness(wait=0.05)
    acquire_lease(bench)
    number = ticket(bench.add("a.1", 4.0))
    forward = bench.next()
    bench.now += 0.2
    bench.state.expire_due(bench.now)
    assert bench.state.take_answers() == []
    assert bench.end(forward, ForwardStatus.ADDED, 4.0) == [Answer(number, Total(4.0))]


def test_a_wait_in_flight_that_was_turned_away_after_its_time_takes_its_amount_back() -> None:
    bench = StateHarness(wait=0.05)
    acquire_lease(bench)
    number = ticket(bench.add("a.1", 4.0))
    forward = bench.next()
    bench.now += 0.2
    assert bench.end(forward, ForwardStatus.BUSY) == [Answer(number, Busy(BusyReason.WAIT_ENDED))]
    bench.run(0.5)
    assert b"a.1" not in bench.counter.totals


@pytest.mark.parametrize("status", [ForwardStatus.BUSY, ForwardStatus.NO_CONNECTION])
def test_a_wait_whose_forward_added_nothing_tries_again(status: ForwardStatus) -> None:
    bench = StateHarness(wait=1.0)
    acquire_lease(bench)
    number = ticket(bench.add("a.1", 4.0))
    assert bench.end(bench.next(), status) == []
    assert bench.run(0.2) == [Answer(number, Total(4.0))]


def test_waiting_calls_are_bounded() -> None:
    bench = StateHarness(waiting=2)
    acquire_lease(bench)
    bench.add("a.1")
    bench.add("b.1")
    assert bench.add("c.1") == Busy(BusyReason.TOO_MANY_WAITING)
    assert bench.add("a.1") == Busy(BusyReason.TOO_MANY_WAITING)
    bench.forward_all()
    assert isinstance(bench.add("c.1"), Wait)


def test_a_forward_that_may_have_been_added_is_not_sent_again() -> None:
    bench = StateHarness()
    bench.add_known_name("a.1", 5.0)
    bench.add("a.1", 3.0)
    bench.now += 0.2
    bench.end(bench.next(), ForwardStatus.UNKNOWN)
    assert bench.add("a.1", 0.0) == Total(8.0)  # taken for added until a total tells
    bench.run(0.5)
    assert bench.add("a.1", 0.0) == Total(5.0)  # it was lost
    assert bench.counter.totals[b"a.1"] == 5.0
    assert bench.state.figures.amount_doubtful == 3.0


def test_a_negative_amount_that_may_have_been_added_makes_no_room() -> None:
    bench = StateHarness()
    bench.add_known_name("a.1", 5.0)
    bench.add("a.1", -3.0)
    bench.now += 0.2
    bench.end(bench.next(), ForwardStatus.UNKNOWN)
    assert bench.add("a.1", 0.0) == Total(5.0)
    bench.run(0.5)
    assert bench.counter.totals[b"a.1"] == 5.0


def test_waits_are_told_that_their_amounts_may_have_been_added() -> None:
    bench = StateHarness()
    acquire_lease(bench)
    number = ticket(bench.add("a.1", 3.0))
    assert bench.end(bench.next(), ForwardStatus.UNKNOWN) == [Answer(number, Unknown())]
    later = ticket(bench.add("a.1", 1.0))
    assert bench.run(0.2) == [Answer(later, Total(1.0))]


@pytest.mark.parametrize("status", [ForwardStatus.BUSY, ForwardStatus.NO_CONNECTION])
def test_a_forward_that_added_nothing_goes_again_once(status: ForwardStatus) -> None:
    bench = StateHarness(lease=5.0)
    bench.add_known_name("a.1", 5.0)
    bench.add("a.1", 3.0)
    bench.now += 0.2
    bench.end(bench.next(), status)
    assert bench.add("a.1", 0.0) == Total(8.0)
    bench.run(1.0)
    assert bench.counter.totals[b"a.1"] == 8.0


def test_a_forward_that_upstream_calls_malformed_is_dropped_and_counted() -> None:
    bench = StateHarness()
    bench.add_known_name("a.1", 5.0)
    bench.add("a.1", 3.0)
    bench.now += 0.2
    bench.end(bench.next(), ForwardStatus.ERROR)
    assert bench.add("a.1", 0.0) == Total(5.0)
    assert bench.state.figures.amount_refused == 3.0


def test_a_second_result_of_a_forward_changes_nothing() -> None:
    bench = StateHarness()
    bench.add_known_name("a.1", 5.0)
    bench.add("a.1", 3.0)
    bench.now += 0.2
    forward = bench.next()
    bench.end(forward, ForwardStatus.ADDED, 8.0)
    bench.end(forward, ForwardStatus.ADDED, 80.0)
    bench.end(forward, ForwardStatus.BUSY)
    assert bench.add("a.1", 0.0) == Total(8.0)
    assert bench.state.figures.results_unmatched == 2


def test_a_total_that_falls_is_taken_and_counted() -> None:
    bench = StateHarness(lease=5.0)
    bench.add_known_name("a.1", 50.0)
    bench.counter.restart_empty()
    bench.add("a.1", 2.0)
    bench.run(0.2)
    assert bench.add("a.1", 0.0) == Total(2.0)
    assert bench.state.figures.totals_fallen == 1


def test_failures_pause_forwards_longer_each_time() -> None:
    bench = StateHarness(lease=60.0, upstream_calls=10_000.0)
    bench.add_known_name("a.1")
    pauses = []
    for _ in range(8):
        bench.add("a.1", 1.0)
        bench.run_until_sent()
        forward = bench.next()
        bench.end(forward, ForwardStatus.NO_CONNECTION)
        pauses.append(bench.state.backoff.until - bench.now)
    assert pauses[0] <= 0.05 and 1.0 <= pauses[-1] <= 2.0
    assert all(later > earlier / 2 for earlier, later in zip(pauses, pauses[1:], strict=False))
    bench.run(3.0)
    assert bench.state.backoff.failures == 0


def test_nothing_is_sent_in_a_pause() -> None:
    bench = StateHarness(lease=0.03)
    bench.add_known_name("a.1")
    bench.add("a.1", 1.0)
    bench.run_until_sent()
    bench.end(bench.next(), ForwardStatus.NO_CONNECTION)
    began, until = bench.now, bench.state.backoff.until
    while bench.now < until:
        assert bench.state.next_forward(bench.now) is None
        bench.now += (until - began) / 10
    assert bench.state.next_forward(bench.now) is not None


def test_pauses_differ_between_aggregators() -> None:
    benches = [StateHarness() for _ in range(20)]
    for seed, bench in enumerate(benches):
        bench.state.backoff.random.seed(seed)
        bench.end(bench.next(), ForwardStatus.NO_CONNECTION)
    assert len({bench.state.backoff.until for bench in benches}) == 20


def test_a_full_table_lets_the_least_recently_used_name_go() -> None:
    bench = StateHarness(names=3)
    for name in ("a.1", "b.1", "c.1"):
        bench.add_known_name(name, 1.0)
    bench.add("a.1", 0.0)
    bench.add_known_name("d.1", 1.0)
    assert set(bench.state.entries) == {b"a.1", b"c.1", b"d.1"}
    assert bench.state.figures.names_evicted == 1
    bench.add_known_name("b.1", 1.0)
    assert bench.add("b.1", 0.0) == Total(2.0)  # read again from upstream


def test_a_full_table_of_unforwarded_amounts_turns_new_names_away() -> None:
    bench = StateHarness(names=3)
    for name in ("a.1", "b.1", "c.1"):
        bench.add_known_name(name, 1.0)
        bench.add(name, 1.0)
    assert bench.add("d.1") == Busy(BusyReason.TABLE_FULL)
    assert bench.add("a.1", 1.0) == Total(3.0)
    bench.run(0.3)
    assert isinstance(bench.add("d.1"), Wait)
    assert [bench.counter.totals[name] for name in (b"a.1", b"b.1", b"c.1")] == [3.0, 2.0, 2.0]


def test_a_forward_passes_on_the_life_that_is_left() -> None:
    bench = StateHarness()
    acquire_lease(bench)
    bench.add("a.1", 1.0, life=4.0)
    bench.now += 0.04
    assert bench.next().life_ms == 3960


def test_a_life_above_the_longest_counts_as_the_longest() -> None:
    bench = StateHarness()
    acquire_lease(bench)
    bench.add("a.1", 1.0, life=600.0)
    assert bench.next().life_ms == 60_000


def test_amounts_that_outlive_their_name_are_dropped_and_counted() -> None:
    bench = StateHarness(lease=60.0)
    bench.add_known_name("a.1", 1.0, life=4.0)
    bench.now += 3.99
    bench.add("a.1", 2.0)
    bench.now += 0.02
    bench.forward_all()
    assert bench.counter.totals[b"a.1"] == 1.0
    assert bench.state.figures.amount_expired == 2.0
    assert bench.state.figures.names_expired_unforwarded == 1
    assert isinstance(bench.add("a.1", 5.0), Wait)  # a new name
    bench.forward_all()
    assert bench.add("a.1", 0.0) == Total(5.0)


def test_a_name_that_ends_while_its_forward_is_out() -> None:
    bench = StateHarness(lease=60.0, wait=60.0)
    acquire_lease(bench)
    number = ticket(bench.add("a.1", 1.0, life=0.5))
    forward = bench.next()
    late = ticket(bench.add("a.1", 2.0, life=0.5))
    bench.now += 0.6
    bench.state.expire_due(bench.now)
    assert bench.state.take_answers() == [Answer(late, Busy(BusyReason.NAME_EXPIRED))]
    again = ticket(bench.add("a.1", 4.0, life=4.0))  # the name's next life is apart from the last
    second = bench.next()
    assert bench.end(forward, ForwardStatus.ADDED, 1.0) == [Answer(number, Total(1.0))]
    assert bench.end(second, ForwardStatus.ADDED, 4.0) == [Answer(again, Total(4.0))]
    assert bench.add("a.1", 0.0) == Total(4.0)


def test_a_name_that_ends_before_its_forward_is_turned_away() -> None:
    bench = StateHarness(lease=60.0, wait=60.0)
    acquire_lease(bench)
    number = ticket(bench.add("a.1", 1.0, life=0.5))
    forward = bench.next()
    bench.now += 0.6
    bench.state.expire_due(bench.now)
    answers = bench.end(forward, ForwardStatus.NO_CONNECTION)
    assert answers == [Answer(number, Busy(BusyReason.NAME_EXPIRED))]
    assert bench.state.statistics(bench.now)["names"] == 0


def test_upstream_calls_keep_to_the_budget() -> None:
    bench = StateHarness(upstream_calls=50.0, window=0.05, wait=60.0, lease=60.0)
    acquire_lease(bench)
    for number in range(1000):
        bench.add(f"c{number}.1")
    bench.run(4.0)
    assert 4 * 50 <= len(bench.sent) <= 4 * 50 + 7


def test_an_idle_budget_gathers_no_burst() -> None:
    bench = StateHarness(upstream_calls=100.0, lease=600.0, wait=60.0)
    acquire_lease(bench)
    bench.now += 300.0
    bench.sent.clear()
    for number in range(1000):
        bench.add(f"c{number}.1")
    bench.forward_all()
    assert 1 <= len(bench.sent) <= 10


def test_forwards_in_flight_are_bounded() -> None:
    bench = StateHarness(in_flight=3, upstream_calls=1e6)
    acquire_lease(bench)
    for number in range(10):
        bench.add(f"c{number}.1")
    forwards = [bench.next() for _ in range(3)]
    assert bench.state.next_forward(bench.now) is None
    bench.end(forwards[0], ForwardStatus.ADDED, 1.0)
    bench.next()


def test_known_names_go_by_turns_by_amount_times_age_and_by_age() -> None:
    bench = StateHarness(upstream_calls=10.0, window=0.1, lease=60.0)
    acquire_lease(bench)
    for number in range(1, 7):
        bench.run(0.5)
        bench.add_known_name(f"c{number}.1")
    bench.run(0.5)
    bench.state.bucket.tokens = 0.0
    bench.state.oldest_is_next = False
    for number in range(1, 7):
        bench.add(f"c{number}.1", float(number))
    bench.sent.clear()
    bench.run(1.0)
    assert [f.amount for f in bench.sent if f.amount] == [6.0, 1.0, 5.0, 2.0, 4.0, 3.0]


def test_age_outweighs_amount_in_time() -> None:
    bench = StateHarness(upstream_calls=10.0, window=0.1, lease=60.0)
    acquire_lease(bench)
    for name in ("old.1", "young.1"):
        bench.run(0.5)
        bench.add_known_name(name)
    bench.run(0.5)
    bench.state.bucket.tokens = -9.0  # none for a second
    bench.state.oldest_is_next = False
    bench.add("old.1", 1.0)
    bench.now += 0.85
    bench.add("young.1", 3.0)
    bench.sent.clear()
    bench.run(0.5)
    assert bench.names_sent() == [b"old.1", b"young.1"]


def test_a_name_that_had_its_turn_as_the_oldest_is_last_in_line() -> None:
    bench = StateHarness(lease=60.0)
    bench.add_known_name("a.1")
    bench.add_known_name("b.1")
    bench.run(0.5)
    bench.add("a.1", 1.0)
    bench.add("b.1", 1.0)
    bench.state.oldest_is_next = True
    forward = bench.next()
    assert forward.name == b"a.1"
    bench.add("a.1", 1.0)  # told while it is in flight: it never has nothing to tell
    bench.end(forward, ForwardStatus.ADDED, 1.0)
    bench.now += 0.2
    bench.state.oldest_is_next = True
    assert bench.next().name == b"b.1"


def test_large_amounts_do_not_starve_a_small_one() -> None:
    bench = StateHarness(upstream_calls=100.0, window=0.1, lease=60.0, wait=10.0)
    acquire_lease(bench)
    for number in range(100):
        bench.add(f"large{number}.1", 1.0)
    bench.add("small.1", 0.0)
    bench.run(1.5)
    for number in range(100):
        bench.add(f"large{number}.1", 1e6)
    bench.add("small.1", 1e-3)
    for _ in range(230):  # steps of a call each: twice the names, and some room
        for number in range(100):
            bench.add(f"large{number}.1", 1e6)
        bench.run(0.01)
    assert bench.counter.totals[b"small.1"] == 1e-3


def test_new_names_do_not_starve_known_ones() -> None:
    bench = StateHarness(upstream_calls=20.0, lease=60.0, wait=60.0)
    bench.add_known_name("a.1")
    bench.run(1.0)
    bench.add("a.1", 5.0)
    for number in range(500):
        bench.add(f"c{number}.1")
    bench.run(1.0)
    assert bench.counter.totals[b"a.1"] == 5.0
    assert len(bench.counter.totals) > 12


def test_a_sum_above_the_protocols_bound_goes_in_parts() -> None:
    bench = StateHarness(lease=60.0)
    bench.add_known_name("a.1")
    for _ in range(3):
        bench.add("a.1", 1e9)
    bench.sent.clear()
    bench.run(1.0)
    assert [f.amount for f in bench.sent if f.name == b"a.1"] == [1e9, 1e9, 1e9]


def test_memory_is_bounded_by_the_table() -> None:
    bench = StateHarness(names=50, upstream_calls=1e6, lease=1e6)
    acquire_lease(bench)
    for number in range(20_000):
        bench.add(f"c{number}.1")
        if number % 2:
            bench.forward_all()
        else:
            bench.now += 0.1  # the wait ends
    state = bench.state
    assert len(state.entries) <= 50
    for index in (state.expiries, state.new_names, state.ranked, state.waiters, state.clean, state.dirty):
        assert len(index) <= 2 * 50 + INDEX_SLACK + 1


def test_draining_forwards_all_without_waiting_for_windows() -> None:
    bench = StateHarness(window=10.0, lease=60.0, upstream_calls=1000.0)
    bench.add_known_name("a.1")
    bench.add_known_name("b.1")
    bench.add("a.1", 2.0)
    bench.add("b.1", 3.0)
    bench.state.drain()
    assert bench.add("a.1", 1.0) == Busy(BusyReason.DRAINING)
    assert not bench.state.is_drained()
    bench.forward_all()
    assert bench.state.is_drained()
    assert (bench.counter.totals[b"a.1"], bench.counter.totals[b"b.1"]) == (2.0, 3.0)
