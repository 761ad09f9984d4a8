"""What a gateway remembers of requests that may have run, and what follows where one comes again."""

from __future__ import annotations

from dataclasses import replace

import pytest

from embersill.control import Gateway
from embersill.interface import (
    ClientDisconnected, Fail, Outcome, PeerRun, PredecessorState, Refuse, Request, Send, ShareRun,
)
from embersill.run_history import MAX_RUNS, PossibleRun, RunHistory
from tests.helpers import KEYED, SETTINGS, backend, backends, ended, gateway, request

CELLS = backends(*(backend(f"s{number}", number) for number in range(8)))


def keyed(number: int, call_id: str = "call", klass: str = "keyed") -> Request:
    return replace(request(number, klass), call_id=call_id)


def sent_to(checked: Gateway, number: int, now: float, klass: str = "keyed") -> str:
    """Sends a request and returns its backend; "" if it gets its final answer at once."""
    actions = checked.handle(keyed(number, klass=klass), now)
    return next((action.backend for action in actions if isinstance(action, Send)), "")


def test_what_is_older_than_the_span_is_forgotten() -> None:
    history = RunHistory(10.0)
    for number in range(3):
        history.record(str(number), number, 100.0 + number, 1, 100.0 + number)
    history.record("0", 7, 100.0, 2, 105.0)  # does not make it younger
    history.forget_old(111.5)
    assert [history.find(str(number)) for number in range(3)] == [
        None, None, PossibleRun(2, 102.0, 1)]


def test_one_that_was_withdrawn_is_remembered_anew() -> None:
    history = RunHistory(10.0)
    for now in (100.0, 109.0):
        history.withdraw("c/call")
        history.record("c/call", 1, now, 1, now)
    history.forget_old(118.0)
    assert history.find("c/call") == PossibleRun(1, 109.0, 1)


def test_the_oldest_are_forgotten_where_there_are_too_many() -> None:
    history = RunHistory(10.0)
    for number in range(MAX_RUNS + 5):
        history.record(str(number), "", 100.0, 1, 100.0)
    assert len(history) == MAX_RUNS and history.find("4") is None


def test_the_state_of_a_history_moves_to_another_clock() -> None:
    first, second = RunHistory(10.0), RunHistory(10.0)
    first.record("c/call", 3, 100.0, 2, 100.0)
    second.restore(first.state(101.0), 50.0, 151.0)
    assert second.find("c/call") == PossibleRun(3, 150.0, 2)


def test_a_keyed_request_that_comes_again_goes_to_its_cell_within_the_window() -> None:
    checked = gateway(listed=CELLS)
    first = sent_to(checked, 1, 100.0)
    checked.handle(ClientDisconnected(1), 100.1)
    checked.handle(ended(1, 0, first, Outcome.CANCELLED, 0.1, True), 100.1)
    for number in range(2, 5):
        now = 100.1 + 0.1 * number
        assert sent_to(checked, number, now) == (first if number < 4 else "")  # max_attempts is 3
        if number < 4:
            checked.handle(ended(number, 0, first, Outcome.SERVED, 0.05), now + 0.05)


def test_one_that_comes_again_after_the_window_fails() -> None:
    checked = gateway(listed=CELLS)
    first = sent_to(checked, 1, 100.0)
    checked.handle(ended(1, 0, first, Outcome.SERVED, 0.1), 100.1)
    actions = checked.handle(replace(keyed(2), deadline=110.0), 100.0 + KEYED.memory)
    assert actions == [Fail(2)]


@pytest.mark.parametrize(("klass", "answer"), [("keyed", Fail), ("pay", Fail), ("read", Refuse)])
def test_one_that_is_still_out_is_not_sent_again(klass: str, answer: type) -> None:
    checked = gateway(listed=CELLS, may_cancel=False)
    assert sent_to(checked, 1, 100.0, klass)
    checked.handle(ClientDisconnected(1), 100.1)
    actions = checked.handle(keyed(2, klass=klass), 100.2)
    assert [type(action) for action in actions] == [answer]


def test_one_that_never_ran_is_sent_anywhere() -> None:
    checked = gateway(listed=CELLS)
    first = sent_to(checked, 1, 100.0, "pay")
    checked.handle(ClientDisconnected(1), 100.1)
    checked.handle(ended(1, 0, first, Outcome.NO_CONNECTION, 0.1, True), 100.1)
    assert sent_to(checked, 2, 100.2, "pay")


def test_another_customers_request_with_the_same_id_is_another_request() -> None:
    checked = gateway(listed=CELLS)
    assert sent_to(checked, 1, 100.0, "pay")
    other = replace(keyed(2, klass="pay"), customer="other")
    assert any(isinstance(action, Send) for action in checked.handle(other, 100.1))


def test_both_processes_of_an_upgrade_know_what_may_have_run() -> None:
    first, second = gateway(listed=CELLS), gateway(listed=CELLS)
    before = sent_to(first, 1, 100.0)
    second.handle(PredecessorState(first.hand_over(100.1)), 100.1)
    assert second.run_history.find("c/call") == first.run_history.find("c/call")
    first.handle(ended(1, 0, before, Outcome.CANCELLED, 0.1, True), 100.1)
    actions = second.handle(keyed(2, "late"), 100.2)
    (shared,) = (action.run for action in actions if isinstance(action, ShareRun))
    assert isinstance(shared, PeerRun) and shared.key == "c/late"
    first.handle(shared, 100.2)
    assert first.run_history.find("c/late") == second.run_history.find("c/late")
    refused = first.handle(keyed(3, "late"), 100.3)
    assert refused == [Fail(3)]  # the predecessor takes nothing any more, and it may have run


def test_settings_without_such_classes_remember_nothing() -> None:
    checked = Gateway(replace(SETTINGS, classes=(SETTINGS.classes[0],)), 1, 100.0)
    checked.handle(CELLS, 100.0)
    assert sent_to(checked, 1, 100.0, "read") and not len(checked.run_history)
