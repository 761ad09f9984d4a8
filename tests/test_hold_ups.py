"""Hold-ups of the event loop: when what is read after one may have come.

A gateway that was stopped twice in a row told a backend more time than its client had left (seed 229 of the
soak: 0.906 s with 0.483 s left). Between the stops the loop may run its look and read nothing. The look was
taken for a sign that all was read, so what came in the first stop counted as come after it, and no look
tells of a second stop of up to 0.15 s.
"""

from __future__ import annotations

import pytest

from embersill.net.hold_ups import STALL_THRESHOLD, CHECK_INTERVAL, LoopStalls

BEGAN = 100.0
STOPPED = 0.15  # seconds


def stopped_once() -> LoopStalls:
    """Awake at the moment BEGAN, stopped right then, and its look alone run behind the stop."""
    made = LoopStalls(BEGAN)
    made.record_check(BEGAN + CHECK_INTERVAL + STOPPED)
    return made


def test_what_is_read_in_time_came_now() -> None:
    made = LoopStalls(BEGAN)
    assert made.earliest_arrival(BEGAN + 0.01) == BEGAN + 0.01
    assert made.record_check(BEGAN + CHECK_INTERVAL) == pytest.approx(0.0)
    assert made.earliest_arrival(BEGAN + CHECK_INTERVAL + 0.01) == BEGAN + CHECK_INTERVAL + 0.01


def test_what_is_read_before_an_overdue_look_came_since_the_look_before_the_last() -> None:
    """Also where something was read since: its event may have been polled before the stop."""
    made = LoopStalls(BEGAN)
    made.record_check(BEGAN + CHECK_INTERVAL)
    made.earliest_arrival(BEGAN + CHECK_INTERVAL + 0.03)
    assert made.earliest_arrival(BEGAN + 2 * CHECK_INTERVAL + STALL_THRESHOLD + 0.01) == BEGAN


@pytest.mark.parametrize("second", [0.15, 0.3, 0.6])
def test_a_read_between_two_stops_is_no_sign_that_all_was_read(second: float) -> None:
    """A look and one read, of what had been polled before the first stop, and then the second stop."""
    made = stopped_once()
    awake = BEGAN + CHECK_INTERVAL + STOPPED
    made.earliest_arrival(awake + 0.001)
    came = BEGAN + 0.01  # in the first stop
    assert made.earliest_arrival(awake + 0.002 + second) <= came


def test_what_is_read_after_a_late_look_came_since_the_hold_up_began() -> None:
    assert stopped_once().earliest_arrival(BEGAN + CHECK_INTERVAL + STOPPED + 0.01) == BEGAN


@pytest.mark.parametrize("gap", [0.0, 0.001, 0.01])
@pytest.mark.parametrize("second", [0.05, 0.1, 0.14, 0.15, 0.3, 0.6])
def test_a_second_stop_before_anything_was_read_counts_from_the_first(second: float, gap: float) -> None:
    made = stopped_once()
    read_at = BEGAN + CHECK_INTERVAL + STOPPED + gap + second
    came = BEGAN + 0.01  # in the first stop
    # what is beyond the 0.15 s that a backend may be told too much
    assert made.earliest_arrival(read_at) - came <= CHECK_INTERVAL + STALL_THRESHOLD + gap


@pytest.mark.parametrize("stop", [0.13, 0.15, 0.3])
def test_a_short_stop_and_a_second_before_anything_was_read(stop: float) -> None:
    """The first begins right behind a look, so that the next is hardly late."""
    made = LoopStalls(BEGAN)
    made.record_check(BEGAN + stop)
    came, read_at = BEGAN + 0.001, BEGAN + stop + 0.14
    assert made.earliest_arrival(read_at) - came <= CHECK_INTERVAL + STALL_THRESHOLD


def test_all_that_is_read_at_one_go_counts_alike() -> None:
    made = stopped_once()
    read_at = BEGAN + CHECK_INTERVAL + STOPPED + 0.3
    assert [made.earliest_arrival(read_at + 0.01 * n) for n in range(4)] == [BEGAN] * 4


def test_what_was_read_between_looks_is_no_part_of_later_hold_ups() -> None:
    """Each look is late, and the loop reads behind each: the last stop alone counts."""
    made, now = LoopStalls(BEGAN), BEGAN
    for _ in range(5):
        before, now = now, now + CHECK_INTERVAL + STOPPED
        made.record_check(now)
        assert made.earliest_arrival(now + 0.001) == before


def test_a_hold_up_is_over_with_the_next_look_in_time() -> None:
    made = stopped_once()
    looked = BEGAN + 2 * CHECK_INTERVAL + STOPPED
    made.record_check(looked)
    assert made.earliest_arrival(looked + 0.01) == looked + 0.01
