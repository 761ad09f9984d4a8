"""Tests the decisions about connections: learned limits, pool sizes and preconnecting."""

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


def new_request(number: int, now: float) -> Request:
    """A request of a customer of its own, so that no quota limits it."""
    return replace(request(number), customer=f"c{number}", deadline=now + 4.0)


def ask(made: Gateway, number: int, now: float) -> str:
    """Sends a request; returns the backend it goes to, empty if it is held or refused."""
    sent = sends(made.handle(new_request(number, now), now))
    return sent[0].backend if sent else ""


def fill(made: Gateway, now: float) -> list[Action]:
    """Two requests to the only backend, whose limit is one connection: the second fails to connect."""
    assert [ask(made, n, now) for n in (1, 2)] == ["a", "a"]
    actions = made.handle(ConnectFailed("a", 1), now)
    made.handle(ended(2, 0, "a", Outcome.NO_CONNECTION), now)
    return actions


def test_a_backend_at_its_connection_limit_gets_fewer_requests_but_is_not_failing() -> None:
    made = gateway(listed=backends(backend("a")))
    assert sizes(fill(made, 100.0)) == [SetPoolSize("a", float("inf"), 1.0, CONNECTION_LIMIT_IDLE_TIME)]
    assert made.servers["a"].failure_score == 0 and not made.count_unavailable()
    assert ask(made, 3, 100.2) == ""  # one is in flight, and no more are accepted
    made.handle(ended(1, 0, "a", Outcome.SERVED), 100.3)
    assert ask(made, 4, 100.3) == "a"


def test_without_learned_limits_a_failed_connect_counts_as_failure() -> None:
    made = gateway(listed=backends(backend("a")), pool=PoolSettings(learned=False))
    assert not sizes(fill(made, 100.0)) and made.servers["a"].failure_score > 0


def test_a_failed_connect_below_the_learned_limit_counts_as_failure() -> None:
    made = gateway(listed=backends(backend("a")))
    fill(made, 100.0)
    made.handle(ended(1, 0, "a", Outcome.SERVED), 100.3)
    assert ask(made, 3, 101.0) == "a"
    made.handle(ended(3, 0, "a", Outcome.NO_CONNECTION), 101.0)  # without a ConnectFailed event
    assert made.servers["a"].failure_score > 0


def test_two_hundred_gateways_together_raise_a_learned_limit_by_two_a_second() -> None:
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


def test_idle_connections_are_kept_for_the_load_and_its_variation() -> None:
    made = gateway(listed=backends(backend("a")), pool=ON)
    pool_sizes: list[SetPoolSize] = []
    number = 0
    for step in range(400):  # three in flight at any time
        now = 100.0 + step / 10
        number += 1
        pool_sizes += sizes(made.handle(new_request(number, now), now))
        if step >= 3:
            pool_sizes += sizes(made.handle(ended(number - 3, 0, "a", Outcome.SERVED), now))
    assert (
        [s.max_idle for s in pool_sizes] == sorted({s.max_idle for s in pool_sizes})
        and 5 <= pool_sizes[-1].max_idle <= 8)
    for remaining in range(number - 2, number + 1):
        made.handle(ended(remaining, 0, "a", Outcome.SERVED), 141.0)
    assert ask(made, 1000, 200.0) == "a"  # after a minute without requests
    assert made.servers["a"].max_idle == 1


def test_pool_sizes_are_only_set_if_enabled() -> None:
    made = gateway(listed=backends(backend("a")))
    actions = made.handle(request(1), 100.0) + made.handle(ended(1, 0, "a", Outcome.SERVED), 100.1)
    assert not sizes(actions)
    made.handle(SettingsChanged(ON), 100.2)
    assert sizes(made.handle(request(2), 100.2))


def test_connections_to_a_new_backend_are_opened_ahead_by_gateways_that_will_use_it() -> None:
    made = gateway(pool=ON)
    actions = made.handle(backends(backend("new"), backend("leaving", status=BackendStatus.DRAINING),
                                   kind=ListKind.CHANGES), 100.0)
    timers = [a for a in actions if isinstance(a, SetTimer) and a.key.startswith("w")]
    assert {t.key for t in timers} == {"wnew", "wleaving"} and all(0 < t.delay <= 1 for t in timers)
    assert made.handle(TimerExpired("wnew"), 101.0) == [Preconnect("new", 1)]
    assert not made.handle(TimerExpired("wleaving"), 101.0) and not made.handle(
        TimerExpired("wnobody"), 101.0)
    large_fleet = gateway(pool=ON, gateways=200, listed=backends(*(backend(f"b{n}") for n in range(200))))
    preconnects = sum(bool(large_fleet.handle(TimerExpired(f"wb{n}"), 101.0)) for n in range(200))
    assert 0 < preconnects < 40  # only to its own subset of the backends


@pytest.mark.parametrize(("options", "message"), [
    (5, "no object"), ({"marign": 1}, "unknown key 'marign'"), ({"max_age": "x"}, "max_age is no number"),
    ({"max_age": -1}, "from 0 to 86400"), ({"opening": 0}, "from 1 to 4096"), ({"opening": 1.5}, "whole"),
    ({"opening": True}, "whole"), ({"warm": 1}, "neither true nor false"),
    ({"margin": float("nan")}, "margin"),
])
def test_invalid_pool_settings_are_rejected(options: object, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        read_pool(options)


def test_pool_settings_are_optional() -> None:
    assert read_pool({}) == PoolSettings()
    assert read_pool({"max_age": 60, "sized": True, "opening": 3}) == PoolSettings(
        max_age=60, sized=True, opening=3)
