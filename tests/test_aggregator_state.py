"""The aggregation state: totals, waiting calls, forwards and lost amounts."""

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
    harness = StateHarness()
    harness.counter.add(b"a.1", 7.0, 60_000, harness.now)
    acquire_lease(harness)
    number = ticket(harness.add("a.1", 2.0))
    assert harness.forward_all() == [Answer(number, Total(9.0))]


def test_calls_that_wait_together_share_a_forward() -> None:
    harness = StateHarness()
    acquire_lease(harness)
    numbers = [ticket(harness.add("a.1", 2.0)) for _ in range(5)]
    assert harness.forward_all() == [Answer(number, Total(10.0)) for number in numbers]
    assert harness.names_sent() == [b"a.1"]


def test_total_includes_amounts_upstream_in_flight_and_unforwarded() -> None:
    harness = StateHarness()
    harness.add_known_name("a.1", 5.0)
    assert harness.add("a.1", 2.0) == Total(7.0)
    harness.now += 0.2
    forward = harness.next_forward()
    assert forward.amount == 2.0
    assert harness.add("a.1", 4.0) == Total(11.0)  # 5 upstream, 2 in flight, 4 not forwarded
    harness.finish(forward, ForwardStatus.ADDED, 30.0)  # other aggregators have added 23
    assert harness.add("a.1", -1.0) == Total(33.0)


def test_one_forward_per_name_and_window() -> None:
    harness = StateHarness(window=0.1)
    harness.add_known_name("a.1")
    sent = len(harness.names_sent())
    for _ in range(100):
        harness.add("a.1", 1.0)
        harness.run(0.01)
    assert 6 <= len(harness.names_sent()) - sent <= 11
    assert harness.counter.totals[b"a.1"] >= 85.0


def test_one_forward_of_a_name_is_in_flight_at_a_time() -> None:
    harness = StateHarness(window=0.1, lease=5.0)
    harness.add_known_name("a.1")
    harness.add("a.1", 1.0)
    harness.now += 0.2
    harness.next_forward()
    harness.add("a.1", 1.0)
    harness.now += 0.2
    assert harness.state.next_forward(harness.now) is None


def test_name_without_new_amounts_is_not_forwarded() -> None:
    harness = StateHarness(stale=30.0)
    harness.add_known_name("a.1", 3.0)
    sent = len(harness.names_sent())
    for _ in range(100):
        harness.add("a.1", 0.0)
        harness.run(0.01)
    assert len(harness.names_sent()) == sent


def test_a_stale_reading_in_use_is_refreshed() -> None:
    harness = StateHarness(stale=0.5)
    harness.add_known_name("a.1", 3.0)
    harness.counter.add(b"a.1", 10.0, 60_000, harness.now)
    harness.run(0.6)
    assert harness.add("a.1", 0.0) == Total(3.0)
    harness.run(0.2)
    assert harness.add("a.1", 0.0) == Total(13.0)


def test_calls_are_rejected_until_upstream_has_answered() -> None:
    harness = StateHarness()
    assert harness.add("a.1") == Busy(BusyReason.CUT_OFF)
    assert harness.next_forward().name == PROBE_NAME


def test_calls_are_rejected_after_the_lease_and_add_nothing() -> None:
    harness = StateHarness(lease=1.0)
    harness.add_known_name("a.1", 5.0)
    harness.now += 0.9
    assert harness.add("a.1", 1.0) == Total(6.0)
    harness.now += 0.2
    assert harness.add("a.1", 10.0) == Busy(BusyReason.CUT_OFF)
    assert harness.add("b.1", 10.0) == Busy(BusyReason.CUT_OFF)
    harness.run(0.2)  # upstream answers again
    assert harness.add("a.1", 0.0) == Total(6.0)
    assert harness.counter.totals[b"a.1"] == 6.0


def test_the_lease_counts_from_when_the_call_was_sent() -> None:
    harness = StateHarness(lease=1.0)
    probe = harness.next_forward()
    harness.now += 0.9
    harness.finish(probe, ForwardStatus.ADDED)
    assert isinstance(harness.add("a.1"), Wait)
    harness.now += 0.2
    assert harness.add("b.1") == Busy(BusyReason.CUT_OFF)


@pytest.mark.parametrize("status", [s for s in ForwardStatus if s is not ForwardStatus.ADDED])
def test_only_a_total_renews_the_lease(status: ForwardStatus) -> None:
    harness = StateHarness()
    harness.finish(harness.next_forward(), status)
    assert harness.add("a.1") == Busy(BusyReason.CUT_OFF)


def test_probes_renew_the_lease_when_idle() -> None:
    harness = StateHarness(lease=1.0)
    acquire_lease(harness)
    for _ in range(50):
        harness.run(0.1)
        assert harness.state.has_lease(harness.now)
    assert len(harness.sent) <= 5 * 3 + 2


def test_waiting_call_that_times_out_removes_its_amount() -> None:
    harness = StateHarness(wait=0.05)
    acquire_lease(harness)
    first = ticket(harness.add("a.1", 4.0))
    harness.now += 0.03
    second = ticket(harness.add("a.1", 2.0))
    harness.now += 0.03
    harness.state.expire_due(harness.now)
    assert harness.state.take_answers() == [Answer(first, Busy(BusyReason.WAIT_ENDED))]
    assert harness.forward_all() == [Answer(second, Total(2.0))]
    assert harness.counter.totals[b"a.1"] == 2.0


def test_a_new_name_in_flight_is_not_forwarded_again_as_new() -> None:
    harness = StateHarness(wait=60.0, lease=60.0)
    acquire_lease(harness)
    harness.add("a.1", 4.0)
    harness.finish(harness.next_forward(), ForwardStatus.BUSY)
    harness.advance_to_next_send()
    harness.state.figures.forwards = KNOWN_NAME_INTERVAL - 1  # the next forward is of a known name
    assert harness.next_forward().name == b"a.1"
    harness.add("a.1", 2.0)
    assert harness.state.next_forward(harness.now) is None


def test_new_name_without_waiting_calls_is_not_forwarded() -> None:
    harness = StateHarness(wait=0.05)
    acquire_lease(harness)
    harness.add("a.1", 4.0)
    harness.now += 0.06
    harness.forward_all()
    assert harness.names_sent() == []
    assert harness.state.statistics(harness.now)["names"] == 0


def test_waiting_call_in_flight_gets_the_result_after_its_deadline() -> None:
    harness = StateHarness(wait=0.05)
    acquire_lease(harness)
    number = ticket(harness.add("a.1", 4.0))
    forward = harness.next_forward()
    harness.now += 0.2
    harness.state.expire_due(harness.now)
    assert harness.state.take_answers() == []
    assert harness.finish(forward, ForwardStatus.ADDED, 4.0) == [Answer(number, Total(4.0))]


def test_waiting_call_rejected_upstream_after_its_deadline_removes_its_amount() -> None:
    harness = StateHarness(wait=0.05)
    acquire_lease(harness)
    number = ticket(harness.add("a.1", 4.0))
    forward = harness.next_forward()
    harness.now += 0.2
    assert harness.finish(forward, ForwardStatus.BUSY) == [Answer(number, Busy(BusyReason.WAIT_ENDED))]
    harness.run(0.5)
    assert b"a.1" not in harness.counter.totals


@pytest.mark.parametrize("status", [ForwardStatus.BUSY, ForwardStatus.NO_CONNECTION])
def test_waiting_call_is_forwarded_again_if_nothing_was_added(status: ForwardStatus) -> None:
    harness = StateHarness(wait=1.0)
    acquire_lease(harness)
    number = ticket(harness.add("a.1", 4.0))
    assert harness.finish(harness.next_forward(), status) == []
    assert harness.run(0.2) == [Answer(number, Total(4.0))]


def test_waiting_calls_are_bounded() -> None:
    harness = StateHarness(waiting=2)
    acquire_lease(harness)
    harness.add("a.1")
    harness.add("b.1")
    assert harness.add("c.1") == Busy(BusyReason.TOO_MANY_WAITING)
    assert harness.add("a.1") == Busy(BusyReason.TOO_MANY_WAITING)
    harness.forward_all()
    assert isinstance(harness.add("c.1"), Wait)


def test_a_forward_that_may_have_been_added_is_not_sent_again() -> None:
    harness = StateHarness()
    harness.add_known_name("a.1", 5.0)
    harness.add("a.1", 3.0)
    harness.now += 0.2
    harness.finish(harness.next_forward(), ForwardStatus.UNKNOWN)
    assert harness.add("a.1", 0.0) == Total(8.0)  # counts as added until the next total
    harness.run(0.5)
    assert harness.add("a.1", 0.0) == Total(5.0)  # it was lost
    assert harness.counter.totals[b"a.1"] == 5.0
    assert harness.state.figures.amount_doubtful == 3.0


def test_uncertain_negative_amount_does_not_lower_the_total() -> None:
    harness = StateHarness()
    harness.add_known_name("a.1", 5.0)
    harness.add("a.1", -3.0)
    harness.now += 0.2
    harness.finish(harness.next_forward(), ForwardStatus.UNKNOWN)
    assert harness.add("a.1", 0.0) == Total(5.0)
    harness.run(0.5)
    assert harness.counter.totals[b"a.1"] == 5.0


def test_waiting_calls_get_unknown_if_their_amounts_may_have_been_added() -> None:
    harness = StateHarness()
    acquire_lease(harness)
    number = ticket(harness.add("a.1", 3.0))
    assert harness.finish(harness.next_forward(), ForwardStatus.UNKNOWN) == [Answer(number, Unknown())]
    later = ticket(harness.add("a.1", 1.0))
    assert harness.run(0.2) == [Answer(later, Total(1.0))]


@pytest.mark.parametrize("status", [ForwardStatus.BUSY, ForwardStatus.NO_CONNECTION])
def test_forward_that_added_nothing_is_repeated_once(status: ForwardStatus) -> None:
    harness = StateHarness(lease=5.0)
    harness.add_known_name("a.1", 5.0)
    harness.add("a.1", 3.0)
    harness.now += 0.2
    harness.finish(harness.next_forward(), status)
    assert harness.add("a.1", 0.0) == Total(8.0)
    harness.run(1.0)
    assert harness.counter.totals[b"a.1"] == 8.0


def test_forward_rejected_as_malformed_is_dropped_and_counted() -> None:
    harness = StateHarness()
    harness.add_known_name("a.1", 5.0)
    harness.add("a.1", 3.0)
    harness.now += 0.2
    harness.finish(harness.next_forward(), ForwardStatus.ERROR)
    assert harness.add("a.1", 0.0) == Total(5.0)
    assert harness.state.figures.amount_refused == 3.0


def test_a_second_result_of_a_forward_changes_nothing() -> None:
    harness = StateHarness()
    harness.add_known_name("a.1", 5.0)
    harness.add("a.1", 3.0)
    harness.now += 0.2
    forward = harness.next_forward()
    harness.finish(forward, ForwardStatus.ADDED, 8.0)
    harness.finish(forward, ForwardStatus.ADDED, 80.0)
    harness.finish(forward, ForwardStatus.BUSY)
    assert harness.add("a.1", 0.0) == Total(8.0)
    assert harness.state.figures.results_unmatched == 2


def test_lower_total_is_adopted_and_counted() -> None:
    harness = StateHarness(lease=5.0)
    harness.add_known_name("a.1", 50.0)
    harness.counter.restart_empty()
    harness.add("a.1", 2.0)
    harness.run(0.2)
    assert harness.add("a.1", 0.0) == Total(2.0)
    assert harness.state.figures.totals_fallen == 1


def test_consecutive_failures_lengthen_the_backoff() -> None:
    harness = StateHarness(lease=60.0, upstream_calls=10_000.0)
    harness.add_known_name("a.1")
    pauses = []
    for _ in range(8):
        harness.add("a.1", 1.0)
        harness.advance_to_next_send()
        forward = harness.next_forward()
        harness.finish(forward, ForwardStatus.NO_CONNECTION)
        pauses.append(harness.state.backoff.until - harness.now)
    assert pauses[0] <= 0.05 and 1.0 <= pauses[-1] <= 2.0
    assert all(later > earlier / 2 for earlier, later in zip(pauses, pauses[1:], strict=False))
    harness.run(3.0)
    assert harness.state.backoff.failures == 0


def test_nothing_is_sent_during_backoff() -> None:
    harness = StateHarness(lease=0.03)
    harness.add_known_name("a.1")
    harness.add("a.1", 1.0)
    harness.advance_to_next_send()
    harness.finish(harness.next_forward(), ForwardStatus.NO_CONNECTION)
    started_at, until = harness.now, harness.state.backoff.until
    while harness.now < until:
        assert harness.state.next_forward(harness.now) is None
        harness.now += (until - started_at) / 10
    assert harness.state.next_forward(harness.now) is not None


def test_backoff_differs_between_aggregators() -> None:
    harnesses = [StateHarness() for _ in range(20)]
    for seed, harness in enumerate(harnesses):
        harness.state.backoff.random.seed(seed)
        harness.finish(harness.next_forward(), ForwardStatus.NO_CONNECTION)
    assert len({harness.state.backoff.until for harness in harnesses}) == 20


def test_full_table_evicts_the_least_recently_used_name() -> None:
    harness = StateHarness(names=3)
    for name in ("a.1", "b.1", "c.1"):
        harness.add_known_name(name, 1.0)
    harness.add("a.1", 0.0)
    harness.add_known_name("d.1", 1.0)
    assert set(harness.state.entries) == {b"a.1", b"c.1", b"d.1"}
    assert harness.state.figures.names_evicted == 1
    harness.add_known_name("b.1", 1.0)
    assert harness.add("b.1", 0.0) == Total(2.0)  # read again from upstream


def test_full_table_of_unforwarded_amounts_rejects_new_names() -> None:
    harness = StateHarness(names=3)
    for name in ("a.1", "b.1", "c.1"):
        harness.add_known_name(name, 1.0)
        harness.add(name, 1.0)
    assert harness.add("d.1") == Busy(BusyReason.TABLE_FULL)
    assert harness.add("a.1", 1.0) == Total(3.0)
    harness.run(0.3)
    assert isinstance(harness.add("d.1"), Wait)
    assert [harness.counter.totals[name] for name in (b"a.1", b"b.1", b"c.1")] == [3.0, 2.0, 2.0]


def test_forward_carries_the_remaining_lifetime() -> None:
    harness = StateHarness()
    acquire_lease(harness)
    harness.add("a.1", 1.0, life=4.0)
    harness.now += 0.04
    assert harness.next_forward().life_ms == 3960


def test_lifetime_is_cut_to_the_maximum() -> None:
    harness = StateHarness()
    acquire_lease(harness)
    harness.add("a.1", 1.0, life=600.0)
    assert harness.next_forward().life_ms == 60_000


def test_amounts_of_an_expired_name_are_dropped_and_counted() -> None:
    harness = StateHarness(lease=60.0)
    harness.add_known_name("a.1", 1.0, life=4.0)
    harness.now += 3.99
    harness.add("a.1", 2.0)
    harness.now += 0.02
    harness.forward_all()
    assert harness.counter.totals[b"a.1"] == 1.0
    assert harness.state.figures.amount_expired == 2.0
    assert harness.state.figures.names_expired_unforwarded == 1
    assert isinstance(harness.add("a.1", 5.0), Wait)  # counts as a new name
    harness.forward_all()
    assert harness.add("a.1", 0.0) == Total(5.0)


def test_name_that_expires_while_its_forward_is_in_flight() -> None:
    harness = StateHarness(lease=60.0, wait=60.0)
    acquire_lease(harness)
    number = ticket(harness.add("a.1", 1.0, life=0.5))
    forward = harness.next_forward()
    late = ticket(harness.add("a.1", 2.0, life=0.5))
    harness.now += 0.6
    harness.state.expire_due(harness.now)
    assert harness.state.take_answers() == [Answer(late, Busy(BusyReason.NAME_EXPIRED))]
    again = ticket(harness.add("a.1", 4.0, life=4.0))  # a new entry, independent of the expired one
    second = harness.next_forward()
    assert harness.finish(forward, ForwardStatus.ADDED, 1.0) == [Answer(number, Total(1.0))]
    assert harness.finish(second, ForwardStatus.ADDED, 4.0) == [Answer(again, Total(4.0))]
    assert harness.add("a.1", 0.0) == Total(4.0)


def test_waiting_call_is_rejected_if_its_name_expired_and_nothing_was_added() -> None:
    harness = StateHarness(lease=60.0, wait=60.0)
    acquire_lease(harness)
    number = ticket(harness.add("a.1", 1.0, life=0.5))
    forward = harness.next_forward()
    harness.now += 0.6
    harness.state.expire_due(harness.now)
    answers = harness.finish(forward, ForwardStatus.NO_CONNECTION)
    assert answers == [Answer(number, Busy(BusyReason.NAME_EXPIRED))]
    assert harness.state.statistics(harness.now)["names"] == 0


def test_upstream_calls_stay_within_the_rate() -> None:
    harness = StateHarness(upstream_calls=50.0, window=0.05, wait=60.0, lease=60.0)
    acquire_lease(harness)
    for number in range(1000):
        harness.add(f"c{number}.1")
    harness.run(4.0)
    assert 4 * 50 <= len(harness.sent) <= 4 * 50 + 7


def test_idle_time_allows_only_a_small_burst() -> None:
    harness = StateHarness(upstream_calls=100.0, lease=600.0, wait=60.0)
    acquire_lease(harness)
    harness.now += 300.0
    harness.sent.clear()
    for number in range(1000):
        harness.add(f"c{number}.1")
    harness.forward_all()
    assert 1 <= len(harness.sent) <= 10


def test_forwards_in_flight_are_bounded() -> None:
    harness = StateHarness(in_flight=3, upstream_calls=1e6)
    acquire_lease(harness)
    for number in range(10):
        harness.add(f"c{number}.1")
    forwards = [harness.next_forward() for _ in range(3)]
    assert harness.state.next_forward(harness.now) is None
    harness.finish(forwards[0], ForwardStatus.ADDED, 1.0)
    harness.next_forward()


def test_known_names_alternate_between_most_urgent_and_longest_waiting() -> None:
    harness = StateHarness(upstream_calls=10.0, window=0.1, lease=60.0)
    acquire_lease(harness)
    for number in range(1, 7):
        harness.run(0.5)
        harness.add_known_name(f"c{number}.1")
    harness.run(0.5)
    harness.state.bucket.tokens = 0.0
    harness.state.oldest_is_next = False
    for number in range(1, 7):
        harness.add(f"c{number}.1", float(number))
    harness.sent.clear()
    harness.run(1.0)
    assert [f.amount for f in harness.sent if f.amount] == [6.0, 1.0, 5.0, 2.0, 4.0, 3.0]


def test_urgency_grows_with_age() -> None:
    harness = StateHarness(upstream_calls=10.0, window=0.1, lease=60.0)
    acquire_lease(harness)
    for name in ("old.1", "young.1"):
        harness.run(0.5)
        harness.add_known_name(name)
    harness.run(0.5)
    harness.state.bucket.tokens = -9.0  # no tokens for a second
    harness.state.oldest_is_next = False
    harness.add("old.1", 1.0)
    harness.now += 0.85
    harness.add("young.1", 3.0)
    harness.sent.clear()
    harness.run(0.5)
    assert harness.names_sent() == [b"old.1", b"young.1"]


def test_name_forwarded_as_longest_waiting_moves_to_the_end() -> None:
    harness = StateHarness(lease=60.0)
    harness.add_known_name("a.1")
    harness.add_known_name("b.1")
    harness.run(0.5)
    harness.add("a.1", 1.0)
    harness.add("b.1", 1.0)
    harness.state.oldest_is_next = True
    forward = harness.next_forward()
    assert forward.name == b"a.1"
    harness.add("a.1", 1.0)  # added while the forward is in flight: the entry stays dirty
    harness.finish(forward, ForwardStatus.ADDED, 1.0)
    harness.now += 0.2
    harness.state.oldest_is_next = True
    assert harness.next_forward().name == b"b.1"


def test_large_amounts_do_not_starve_a_small_one() -> None:
    harness = StateHarness(upstream_calls=100.0, window=0.1, lease=60.0, wait=10.0)
    acquire_lease(harness)
    for number in range(100):
        harness.add(f"large{number}.1", 1.0)
    harness.add("small.1", 0.0)
    harness.run(1.5)
    for number in range(100):
        harness.add(f"large{number}.1", 1e6)
    harness.add("small.1", 1e-3)
    for _ in range(230):  # one upstream call per step: twice the names, and a margin
        for number in range(100):
            harness.add(f"large{number}.1", 1e6)
        harness.run(0.01)
    assert harness.counter.totals[b"small.1"] == 1e-3


def test_new_names_do_not_starve_known_ones() -> None:
    harness = StateHarness(upstream_calls=20.0, lease=60.0, wait=60.0)
    harness.add_known_name("a.1")
    harness.run(1.0)
    harness.add("a.1", 5.0)
    for number in range(500):
        harness.add(f"c{number}.1")
    harness.run(1.0)
    assert harness.counter.totals[b"a.1"] == 5.0
    assert len(harness.counter.totals) > 12


def test_sum_above_the_protocol_limit_is_split() -> None:
    harness = StateHarness(lease=60.0)
    harness.add_known_name("a.1")
    for _ in range(3):
        harness.add("a.1", 1e9)
    harness.sent.clear()
    harness.run(1.0)
    assert [f.amount for f in harness.sent if f.name == b"a.1"] == [1e9, 1e9, 1e9]


def test_memory_is_bounded_by_the_table() -> None:
    harness = StateHarness(names=50, upstream_calls=1e6, lease=1e6)
    acquire_lease(harness)
    for number in range(20_000):
        harness.add(f"c{number}.1")
        if number % 2:
            harness.forward_all()
        else:
            harness.now += 0.1  # the waiting call times out
    state = harness.state
    assert len(state.entries) <= 50
    for index in (state.expiries, state.new_names, state.ranked, state.waiters, state.clean, state.dirty):
        assert len(index) <= 2 * 50 + INDEX_SLACK + 1


def test_draining_forwards_all_without_waiting_for_windows() -> None:
    harness = StateHarness(window=10.0, lease=60.0, upstream_calls=1000.0)
    harness.add_known_name("a.1")
    harness.add_known_name("b.1")
    harness.add("a.1", 2.0)
    harness.add("b.1", 3.0)
    harness.state.drain()
    assert harness.add("a.1", 1.0) == Busy(BusyReason.DRAINING)
    assert not harness.state.is_drained()
    harness.forward_all()
    assert harness.state.is_drained()
    assert (harness.counter.totals[b"a.1"], harness.counter.totals[b"b.1"]) == (2.0, 3.0)
