"""Stalls of the event loop: the earliest time at which data read after one may have arrived.

Guards against sending a backend a longer budget than its client has left, after two stalls in a row (seed 229
of the soak: 0.906 s sent with 0.483 s left). Between the stalls the loop may run its periodic check and read
nothing. If that check counts as proof that everything was read, data of the first stall seems to be newer
than it is, and a second stall of up to 0.15 s makes no check late enough to show.
"""

from __future__ import annotations

import pytest

from embersill.net.hold_ups import CHECK_INTERVAL, STALL_THRESHOLD, LoopStalls

STARTED_AT = 100.0  # seconds of the monotonic clock
STALL = 0.15  # seconds


def stalled_once() -> LoopStalls:
    """A loop that stalls from STARTED_AT on, and then runs its check without reading anything."""
    stalls = LoopStalls(STARTED_AT)
    stalls.record_check(STARTED_AT + CHECK_INTERVAL + STALL)
    return stalls


def test_data_read_without_a_stall_arrived_now() -> None:
    stalls = LoopStalls(STARTED_AT)
    assert stalls.earliest_arrival(STARTED_AT + 0.01) == STARTED_AT + 0.01
    assert stalls.record_check(STARTED_AT + CHECK_INTERVAL) == pytest.approx(0.0)
    assert stalls.earliest_arrival(STARTED_AT + CHECK_INTERVAL + 0.01) == STARTED_AT + CHECK_INTERVAL + 0.01


def test_data_read_before_an_overdue_check_may_be_as_old_as_the_previous_check() -> None:
    """Even if something was read since then: its event may have been polled before the stall."""
    stalls = LoopStalls(STARTED_AT)
    stalls.record_check(STARTED_AT + CHECK_INTERVAL)
    stalls.earliest_arrival(STARTED_AT + CHECK_INTERVAL + 0.03)
    assert stalls.earliest_arrival(STARTED_AT + 2 * CHECK_INTERVAL + STALL_THRESHOLD + 0.01) == STARTED_AT


@pytest.mark.parametrize("second_stall", [0.15, 0.3, 0.6])
def test_a_read_between_two_stalls_does_not_prove_that_all_was_read(second_stall: float) -> None:
    """A check, a read of data that was polled before the first stall, and then the second stall."""
    stalls = stalled_once()
    resumed_at = STARTED_AT + CHECK_INTERVAL + STALL
    stalls.earliest_arrival(resumed_at + 0.001)
    arrived_at = STARTED_AT + 0.01  # in the first stall
    assert stalls.earliest_arrival(resumed_at + 0.002 + second_stall) <= arrived_at


def test_data_read_after_a_late_check_may_be_as_old_as_the_stall() -> None:
    assert stalled_once().earliest_arrival(STARTED_AT + CHECK_INTERVAL + STALL + 0.01) == STARTED_AT


@pytest.mark.parametrize("gap", [0.0, 0.001, 0.01])
@pytest.mark.parametrize("second_stall", [0.05, 0.1, 0.14, 0.15, 0.3, 0.6])
def test_a_second_stall_before_any_read_counts_from_the_first(second_stall: float, gap: float) -> None:
    stalls = stalled_once()
    read_at = STARTED_AT + CHECK_INTERVAL + STALL + gap + second_stall
    arrived_at = STARTED_AT + 0.01  # in the first stall
    # A backend may be sent up to 0.15 s too much.
    assert stalls.earliest_arrival(read_at) - arrived_at <= CHECK_INTERVAL + STALL_THRESHOLD + gap


@pytest.mark.parametrize("stall", [0.13, 0.15, 0.3])
def test_a_short_stall_and_a_second_one_before_any_read(stall: float) -> None:
    """The first starts right after a check, so that the next check is hardly late."""
    stalls = LoopStalls(STARTED_AT)
    stalls.record_check(STARTED_AT + stall)
    arrived_at, read_at = STARTED_AT + 0.001, STARTED_AT + stall + 0.14
    assert stalls.earliest_arrival(read_at) - arrived_at <= CHECK_INTERVAL + STALL_THRESHOLD


def test_all_data_read_in_a_row_has_the_same_earliest_arrival() -> None:
    stalls = stalled_once()
    read_at = STARTED_AT + CHECK_INTERVAL + STALL + 0.3
    assert [stalls.earliest_arrival(read_at + 0.01 * n) for n in range(4)] == [STARTED_AT] * 4


def test_data_read_between_checks_does_not_belong_to_later_stalls() -> None:
    """Every check is late and followed by a read, so that only the last stall counts."""
    stalls, now = LoopStalls(STARTED_AT), STARTED_AT
    for _ in range(5):
        previous, now = now, now + CHECK_INTERVAL + STALL
        stalls.record_check(now)
        assert stalls.earliest_arrival(now + 0.001) == previous


def test_a_stall_ends_with_the_next_check_in_time() -> None:
    stalls = stalled_once()
    checked_at = STARTED_AT + 2 * CHECK_INTERVAL + STALL
    stalls.record_check(checked_at)
    assert stalls.earliest_arrival(checked_at + 0.01) == checked_at + 0.01
