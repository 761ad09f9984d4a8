"""A successor takes a backend for cold, warm or rejecting as its predecessor did.

Failure guarded against: a successor forgot the assumed starts of removed backends and since when the list is
followed, so that it sent a backend in slow start what a warm one may get.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from embersill.control import Gateway
from embersill.interface import BackendList, BackendStatus, ListKind, Outcome, PredecessorState, Send
from tests.helpers import SETTINGS, backend, backends, ended, gateway, request

STEPS = [0.0, 3600.0, -30.0]  # seconds by which the successor's clock is ahead


def upgrade(old: Gateway, now: float, step: float = 0.0, listed: BackendList | None = None) -> Gateway:
    """The successor of `old`, whose list is `listed`, or that of the predecessor."""
    state: dict[str, Any] = json.loads(json.dumps(old.hand_over(now)))
    present = listed or backends(*(server.backend for server in old.servers.values()), kind=ListKind.CACHED)
    new = gateway(now=now + step, listed=present)
    new.handle(PredecessorState({**state, "clock_ahead": step}), now + step)
    return new


def followed(now: float) -> Gateway:
    """A gateway that has followed the list for ten seconds."""
    made = gateway(now=now - 10.0, listed=backends(backend("a"), backend("b", 1, started=10.0)))
    made.handle(BackendList(ListKind.CHANGES, ()), now)
    return made


def share(made: Gateway, name: str, now: float) -> float:
    return made.servers[name].capacity_share(now, SETTINGS)


@pytest.mark.parametrize("step", STEPS)
def test_a_backend_that_is_listed_for_the_first_time_after_an_upgrade_has_just_started(step: float) -> None:
    """Its listed start is by another clock, and long ago by this one."""
    new = upgrade(followed(1000.0), 1001.0, step)
    new.handle(backends(backend("c", started=500.0), kind=ListKind.CHANGES), 1002.0 + step)
    assert share(new, "c", 1002.0 + step) == pytest.approx(SETTINGS.cold_from)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("form", ["listed again later", "listed again before the state"])
def test_a_cold_backend_that_was_removed_is_still_cold_when_it_is_listed_again(
    form: str, step: float
) -> None:
    old = followed(1000.0)
    started = backend("c", started=500.0)
    old.handle(backends(started, kind=ListKind.CHANGES), 1000.5)  # it has just started, see above
    assert share(old, "c", 1000.5) == pytest.approx(SETTINGS.cold_from)
    gone = backend("c", status=BackendStatus.REMOVED, started=500.0)
    old.handle(backends(gone, kind=ListKind.CHANGES), 1001.0)
    listed = backends(backend("a"), *([started] if form == "listed again before the state" else []))
    new = upgrade(old, 1002.0, step, listed)
    if form == "listed again later":
        new.handle(backends(started, kind=ListKind.CHANGES), 1002.5 + step)
    expected = SETTINGS.cold_from + (1.0 - SETTINGS.cold_from) * 3.0 / SETTINGS.warm_within
    assert share(new, "c", 1003.5 + step) == pytest.approx(expected)
    old.handle(backends(started, kind=ListKind.CHANGES), 1003.0)
    assert share(old, "c", 1003.5) == pytest.approx(expected)


def test_a_warm_backend_that_was_removed_is_warm_when_it_is_listed_again() -> None:
    old = followed(1000.0)
    warm, gone = backend("b", 1, started=10.0), backend("b", 1, BackendStatus.REMOVED, 10.0)
    old.handle(backends(gone, kind=ListKind.CHANGES), 1001.0)
    new = upgrade(old, 1002.0)
    new.handle(backends(warm, kind=ListKind.CHANGES), 1010.0)
    assert share(new, "b", 1010.0) == 1.0
    new.handle(backends(gone, kind=ListKind.CHANGES), 1011.0)
    new.handle(backends(backend("b", 1, started=1012.0), kind=ListKind.CHANGES), 1012.5)
    assert share(new, "b", 1012.5) < 1.0  # another process


def test_a_cold_backend_that_rejects_gets_nothing_from_the_successor_either() -> None:
    old = gateway(now=1000.0, listed=backends(backend("cold", started=1000.0)))
    sent = [a for a in old.handle(request(1, deadline=1010.0), 1000.1) if isinstance(a, Send)]
    assert len(sent) == 1
    old.handle(ended(1, 0, "cold", Outcome.REJECTED), 1000.2)
    assert old.servers["cold"].rejecting_until
    new = upgrade(old, 1001.0, 30.0)
    server = new.servers["cold"]
    assert server.rejecting_until == {
        key: until + 30.0 for key, until in old.servers["cold"].rejecting_until.items()}
    assert new.cold_in_flight_limit(server) == 0.0


def test_the_state_of_an_older_version_is_taken_over_as_well() -> None:
    old = followed(1000.0)
    state: dict[str, Any] = json.loads(json.dumps(old.hand_over(1000.0)))
    del state["listed"], state["removed"]
    new = gateway(now=1000.0, listed=backends(backend("a"), kind=ListKind.CACHED))
    new.handle(PredecessorState(state), 1000.0)
    assert new.first_listed_at is None and new.removed_starts == {}
