"""Incident of 2026-12: a step of a machine's wall clock must not change any duration."""

from __future__ import annotations

import pathlib
import time
from dataclasses import replace
from math import inf

import pytest

from embersill.interface import BackendList, PredecessorState, ListKind, Send, BackendStatus
from tests.bed import request, roomy_settings, run, running
from tests.helpers import CAPPED, SETTINGS, backend, backends, gateway
from tests.helpers import request as asked_for

STEPS = (0.0, 3600.0, -3600.0, 2.5, -2.5)


@pytest.mark.parametrize("step", STEPS)
def test_a_successor_whose_wall_clock_was_stepped_continues_with_the_same_levels(
    step: float, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Levels, the ceiling's tokens and time windows are handed over unchanged, whatever the Unix time is."""

    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        env["packages"][0].update(peak_units=16.0, units_per_s=0.5)
        async with running(backends=2, env=env, folder=folder) as bed:
            client = await bed.client()
            assert (await client.ask(request(1, units="8")))[0] == 200
            first = bed.program.driver
            first.gateway.servers["b1"].cold_sends.append(first.clock() - 0.5)
            held = next(iter(first.gateway.throttles.values()))
            held.refill(first.clock())
            before = held.quota_level
            first.gateway.counter_backoff_until = first.clock() + 7.0
            stepped = time.time
            monkeypatch.setattr("embersill.program.time.time", lambda: stepped() + step)
            second = await bed.successor(env, folder)
            assert bed.program.handover.handed_over
            made, now = second.driver.gateway, second.driver.clock()
            assert now == pytest.approx(first.clock() + step, abs=0.05)
            throttle = next(iter(made.throttles.values()))
            throttle.refill(now)
            assert before < 7.0 and before - 0.1 <= throttle.quota_level <= before + 0.5 * 3.0
            assert made.counter_backoff_until == pytest.approx(now + 7.0, abs=3.0) and (
                made.counter_backoff_until < now + 7.1)
            assert 0.4 < now - made.servers["b1"].cold_sends[0] < 4.0
            assert 0.0 <= now - made.started_at < 10.0
            await second.stop(0.0, 0.0)

    run(test)


@pytest.mark.parametrize("step", STEPS)
def test_a_clock_step_does_not_refill_a_ceiling(step: float) -> None:
    """A ceiling that was used up and handed over holds only what its rate has added since."""
    plan = replace(CAPPED, rate=100.0, burst=100.0, ceiling_rate=100.0, ceiling_depth=200.0)
    first = gateway(now=1000.0, plans=(plan,), gateways=1, counter=False)
    first.throttles.clear()
    sent = 0
    for number in range(400):
        asked = asked_for(number, plan=plan.name, width=1, deadline=1010.0)
        sent += any(isinstance(a, Send) for a in first.handle(asked, 1000.0))
    state = first.hand_over(1000.0)
    second = gateway(now=1000.0 + step, plans=(plan,), gateways=1, counter=False)
    second.handle(PredecessorState({**state, "clock_ahead": step}), 1000.0 + step)
    again = 0
    for number in range(1000, 1300):
        asked = asked_for(number, plan=plan.name, width=1, deadline=1010.0 + step)
        again += any(isinstance(a, Send) for a in second.handle(asked, 1000.3 + step))
    assert again <= 31
    throttle = next(iter(second.throttles.values()))
    throttle.refill(1001.3 + step)
    assert throttle.ceiling_level >= 89.9  # and a step back does not keep it empty


@pytest.mark.parametrize("step", [3600.0, 30.0, -30.0, -3600.0])
@pytest.mark.parametrize("list_updates", ["changes", "quiet"])
def test_a_backend_newly_listed_during_a_watch_has_just_started(step: float, list_updates: str) -> None:
    """Listed start times are by the fleet's clock; this gateway's clock is ahead of it by the step."""
    now = 1000.0 + step
    made = gateway(now=now, listed=backends(backend("a"), backend("b", 1, started=10.0)))
    for second in range(1, 11):
        now += 1.0
        if list_updates == "changes" or second % 4 == 0:
            made.handle(BackendList(ListKind.CHANGES, ()), now)
    listed = backend("cold", started=now - step - 1.0)
    made.handle(backends(listed, kind=ListKind.CHANGES), now)
    settings = made.settings
    server = made.servers["cold"]
    max_share = settings.cold_from + (1.0 - settings.cold_from) * 1.0 / settings.warm_within
    assert settings.cold_from <= server.capacity_share(now, settings) <= max_share + 1e-9
    assert server.capacity_share(now + settings.warm_within, settings) == 1.0  # and it does get warm
    made.handle(backends(replace(listed, status=BackendStatus.DRAINING), kind=ListKind.CHANGES), now)
    made.handle(backends(listed, kind=ListKind.CHANGES), now + 0.5)
    assert made.servers["cold"].capacity_share(now + settings.warm_within, settings) == 1.0


def test_start_times_in_the_first_list_are_used_as_listed() -> None:
    made = gateway(
        now=1000.0,
        listed=backends(
            backend("cold", started=1000.0 - SETTINGS.warm_within / 2), backend("warm", started=500.0)
        ),
    )
    shares = {a: s.capacity_share(1000.0, SETTINGS) for a, s in made.servers.items()}
    assert shares["warm"] == 1.0
    assert shares["cold"] == pytest.approx((1.0 + SETTINGS.cold_from) / 2)
    assert made.servers["warm"].rejecting_until == {} and made.servers["warm"].max_connections == inf


def test_a_backend_listed_again_with_the_same_start_time_gets_no_slow_start() -> None:
    """Discovery removes a backend that stays silent, and lists it again later, though it never restarted."""
    made = gateway(now=1000.0, listed=backends(backend("a"), backend("b", 1, started=500.0)))
    made.handle(BackendList(ListKind.CHANGES, ()), 1010.0)
    made.handle(backends(backend("b", 1, BackendStatus.REMOVED, 500.0), kind=ListKind.CHANGES), 1011.0)
    assert "b" not in made.servers
    made.handle(backends(backend("b", 1, started=500.0), kind=ListKind.CHANGES), 1019.0)
    assert made.servers["b"].capacity_share(1019.0, made.settings) == 1.0
    made.handle(backends(backend("a"), kind=ListKind.FULL), 1020.0)
    made.handle(backends(backend("a"), backend("b", 1, started=500.0), kind=ListKind.FULL), 1021.0)
    assert made.servers["b"].capacity_share(1021.0, made.settings) == 1.0
    made.handle(backends(backend("b", 1, BackendStatus.REMOVED, 500.0), kind=ListKind.CHANGES), 1022.0)
    made.handle(backends(backend("b", 1, started=1023.0), kind=ListKind.CHANGES), 1023.5)
    assert made.servers["b"].capacity_share(1023.5, made.settings) < 1.0
