"""What the module decides of connections: learned bounds, sizes, and what is opened ahead."""

from __future__ import annotations

from dataclasses import replace

import pytest

from embersill.control import CONNECTION_LIMIT_IDLE_TIME, CONNECTION_RAISE_INTERVAL, Gateway
from embersill.interface import (
    Action, BackendStatus, ConnectFailed, ListKind, Outcome, PoolSettings, Preconnect, Request, Send,
    SetPoolSize, SetTimer, SettingsChanged, TimerExpired,
)
from embersill.settings import read_pool
from tests.helpers import backend, backends, ended, gateway, request

ON = PoolSettings(sized=True, warm=True)


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def sizes(actions: list[Action]) -> list[SetPoolSize]:
    return [a for a in actions if isinstance(a, SetPoolSize)]


def asked(number: int, now: float) -> Request:
    """Of a customer of its own, so that no quota binds."""
    return replace(request(number), customer=f"c{number}", deadline=now + 4.0)


def ask(made: Gateway, number: int, now: float) -> str:
    """Where a request goes."""
    sent = sends(made.handle(asked(number, now), now))
    return sent[0].backend if sent else ""


def full(made: Gateway, now: float) -> list[Action]:
    """One is out at the one backend, and the next finds that it takes no more."""
    assert [ask(made, n, now) for n in (1, 2)] == ["a", "a"]
    told = made.handle(ConnectFailed("a", 1), now)
    made.handle(ended(2, 0, "a", Outcome.NO_CONNECTION), now)
    return told


def test_a_full_table_lowers_what_is_sent_at_once_and_holds_nothing_against_the_backend() -> None:
    made = gateway(listed=backends(backend("a")))
    assert sizes(full(made, 100.0)) == [SetPoolSize("a", float("inf"), 1.0, CONNECTION_LIMIT_IDLE_TIME)]
    assert made.servers["a"].failure_score == 0 and not made.count_unavailable()
    assert ask(made, 3, 100.2) == ""  # one is out, and no more is taken
    made.handle(ended(1, 0, "a", Outcome.SERVED), 100.3)
    assert ask(made, 4, 100.3) == "a"


def test_without_that_part_a_failed_open_is_a_failure() -> None:
    made = gateway(listed=backends(backend("a")), pool=PoolSettings(learned=False))
    assert not sizes(full(made, 100.0)) and made.servers["a"].failure_score > 0


def test_an_open_that_fails_later_is_held_against_the_backend_again() -> None:
    made = gateway(listed=backends(backend("a")))
    full(made, 100.0)
    made.handle(ended(1, 0, "a", Outcome.SERVED), 100.3)
    assert ask(made, 3, 101.0) == "a"
    made.handle(ended(3, 0, "a", Outcome.NO_CONNECTION), 101.0)  # and nothing told that it was heard from
    assert made.servers["a"].failure_score > 0


def test_two_hundred_gateways_raise_a_learned_bound_by_two_a_second_together() -> None:
    raised = 0
    for me in range(200):
        made = gateway(listed=backends(backend("a")), gateway_index=me, gateways=200)
        made.random.seed(me)
        made.handle(ConnectFailed("a", 3), 100.0)
        for step in range(150):
            now = 100.0 + step * 2.0
            if ask(made, step, now):
                raised += len(sizes(made.handle(ended(step, 0, "a", Outcome.SERVED), now)))
    assert 0.7 * 300 / CONNECTION_RAISE_INTERVAL < raised < 1.1 * 300 / CONNECTION_RAISE_INTERVAL


def test_idle_connections_are_kept_for_the_load_and_chance_above_it() -> None:
    made = gateway(listed=backends(backend("a")), pool=ON)
    told: list[SetPoolSize] = []
    number = 0
    for step in range(400):  # three out at any time
        now = 100.0 + step / 10
        number += 1
        told += sizes(made.handle(asked(number, now), now))
        if step >= 3:
            told += sizes(made.handle(ended(number - 3, 0, "a", Outcome.SERVED), now))
    assert [s.max_idle for s in told] == sorted({s.max_idle for s in told}) and 5 <= told[-1].max_idle <= 8
    for left in range(number - 2, number + 1):
        made.handle(ended(left, 0, "a", Outcome.SERVED), 141.0)
    assert ask(made, 1000, 200.0) == "a"  # after a quiet minute
    assert made.servers["a"].max_idle == 1


def test_off_nothing_is_said_of_sizes() -> None:
    made = gateway(listed=backends(backend("a")))
    actions = made.handle(request(1), 100.0) + made.handle(ended(1, 0, "a", Outcome.SERVED), 100.1)
    assert not sizes(actions)
    made.handle(SettingsChanged(ON), 100.2)
    assert sizes(made.handle(request(2), 100.2))


def test_a_backend_that_begins_to_serve_is_warmed_where_it_will_be_used() -> None:
    made = gateway(pool=ON)
    actions = made.handle(backends(backend("new"), backend("leaving", status=BackendStatus.DRAINING),
                                   kind=ListKind.CHANGES), 100.0)
    timers = [a for a in actions if isinstance(a, SetTimer) and a.key.startswith("w")]
    assert {t.key for t in timers} == {"wnew", "wleaving"} and all(0 < t.delay <= 1 for t in timers)
    assert made.handle(TimerExpired("wnew"), 101.0) == [Preconnect("new", 1)]
    assert not made.handle(TimerExpired("wleaving"), 101.0) and not made.handle(
        TimerExpired("wnobody"), 101.0)
    far = gateway(pool=ON, gateways=200, listed=backends(*(backend(f"b{n}") for n in range(200))))
    warmed = sum(bool(far.handle(TimerExpired(f"wb{n}"), 101.0)) for n in range(200))
    assert 0 < warmed < 40  # its own part of them


@pytest.mark.parametrize(("told", "why"), [
    (5, "no object"), ({"marign": 1}, "unknown key 'marign'"), ({"max_age": "x"}, "max_age is no number"),
    ({"max_age": -1}, "from 0 to 86400"), ({"opening": 0}, "from 1 to 4096"), ({"opening": 1.5}, "whole"),
    ({"opening": True}, "whole"), ({"warm": 1}, "neither true nor false"),
    ({"margin": float("nan")}, "margin"),
])
def test_settings_out_of_form_are_told(told: object, why: str) -> None:
    with pytest.raises(ValueError, match=why):
        read_pool(told)


def test_settings_are_optional() -> None:
    assert read_pool({}) == PoolSettings()
    assert read_pool({"max_age": 60, "sized": True, "opening": 3}) == PoolSettings(
        max_age=60, sized=True, opening=3)
