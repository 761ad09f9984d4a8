"""The times that ArrivalLog tells for bytes that are read late."""

from __future__ import annotations

from embersill.net.arrivals import MAX_UNSENT, WINDOW_CLOSED_AFTER, ArrivalLog

READ = 1_000  # offset up to which all is read
PAUSED_AT = 10.0  # seconds
READ_ARRIVED_AT = PAUSED_AT - 0.5


def paused_log(unread: int = 0) -> ArrivalLog:
    """A log of a connection whose reading has just paused."""
    log = ArrivalLog()
    log.observe(PAUSED_AT, READ, unread, READ_ARRIVED_AT)
    return log


def test_bytes_in_the_kernel_may_have_been_written_before_they_were_seen() -> None:
    log = paused_log()
    log.observe(PAUSED_AT + 0.5, READ, 100, 0.0)
    log.observe(PAUSED_AT + 1.0, READ, 300, 0.0)
    assert log.written_at(READ) == READ_ARRIVED_AT
    assert log.written_at(READ + 100) == PAUSED_AT
    assert log.written_at(READ + 101) == log.written_at(READ + 300) == PAUSED_AT + 0.5


def test_bytes_that_have_not_arrived_are_not_written_while_the_kernel_accepts_more() -> None:
    log = paused_log(100)
    assert log.written_at(READ + 101) is None
    for step in range(1, 10):  # new bytes come each time
        log.observe(PAUSED_AT + step * WINDOW_CLOSED_AFTER, READ, 100 + step, 0.0)
        assert log.written_at(READ + 101 + step) is None


def test_without_new_bytes_the_rest_may_wait_at_the_client_up_to_its_limit() -> None:
    log = paused_log(100)
    log.observe(PAUSED_AT + 2 * WINDOW_CLOSED_AFTER, READ, 100, 0.0)
    assert log.written_at(READ + 100 + MAX_UNSENT) == PAUSED_AT
    assert log.written_at(READ + 101 + MAX_UNSENT) is None
    log.resume()
    assert log.written_at(READ + 100 + MAX_UNSENT) == PAUSED_AT


def test_new_bytes_show_that_none_waited_at_the_client() -> None:
    log = paused_log(100)
    log.observe(PAUSED_AT + 1.0, READ, 100, 0.0)
    assert log.written_at(READ + 102) == PAUSED_AT
    log.observe(PAUSED_AT + 2.0, READ, 101, 0.0)
    assert log.written_at(READ + 102) is None


def test_a_log_that_is_cleared_or_of_parsed_bytes_only_holds_no_marks() -> None:
    log = paused_log(100)
    log.forget(READ + 100)
    assert log.is_behind  # the last of these bytes may still end a request
    log.forget(READ + 101)
    assert not log.is_behind
    log = paused_log(100)
    log.clear()
    assert not log.is_behind and log.written_at(READ) is None


def test_the_number_of_marks_is_bounded_by_the_time_that_bytes_wait() -> None:
    log = paused_log()
    for step in range(1, 1_001):
        log.observe(PAUSED_AT + step * 0.01, READ, step, 0.0)
    assert len(log.marks) <= 10.0 / 0.1 + 2
