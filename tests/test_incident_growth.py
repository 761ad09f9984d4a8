"""Incident of 2026-12: the work of a list change, of a request and of a sweep must not grow with the list.

Judged by operations counted and not by times. The shares of the draws stay what they were.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from embersill.control import Gateway
from embersill.interface import (
    AttemptEnded, Backend, BackendList, BackendStatus, DedupScope, ListKind, Outcome, Plan, RepeatPolicy,
    Request, RequestClass, Send, Settings,
)
from tests.operations import operations
from tests.test_pool import World

USUAL, MANY = 200, 3200
ALLOWED = 1.5  # times the operations at the usual size
WARM_WITHIN = 18.0


def settings(gateways: int, me: int = 0) -> Settings:
    read = RequestClass("read", RepeatPolicy.SAFE, DedupScope.ALL, 5.0, 2.0, 5.0, 0.0, 1.0, False)
    sign = RequestClass("sign", RepeatPolicy.BY_KEY, DedupScope.CELL, 10.0, 2.0, 5.0, 0.0, 1.0, False)
    return Settings(
        gateway_index=me,
        gateways=gateways,
        classes=(read, sign),
        plans=(Plan("p", 1e4, 1e4, 0, 0, 0, 1, 0, 0.5),),
        zone="a",
        list_pushed=True,
        ask_every=10.0,
        counter=False,
        counter_timeout=0.0,
        counter_call_cost=0.0,
        may_cancel=True,
        may_probe=False,
        may_hedge=False,
        max_attempts=4,
        max_retry_after=0.5,
        cold_from=0.2,
        warm_within=WARM_WITHIN,
        fall_multiple=2.0,
        overload_for=2.0,
        report_fields=(),
        max_units=1.0,
        post_paid=False,
    )


def listed(
    number: int, status: BackendStatus = BackendStatus.SERVING, started: float | None = None, kind: str = "m"
) -> Backend:
    return Backend(f"s{number:05d}", "abc"[number % 3], kind, number // 10, status, 1.0, started)


def made(backends: int, gateways: int) -> Gateway:
    gateway = Gateway(settings(gateways), 1, 100.0)
    gateway.handle(BackendList(ListKind.FULL, tuple(map(listed, range(backends)))), 100.0)
    return gateway


def ask(gateway: Gateway, number: int, now: float, klass: str = "read") -> list[Send]:
    asked = Request(number, klass, "p", f"c{number % 50}", now + 4.0, 1.0, 1, 0, False)
    return [a for a in gateway.handle(asked, now) if isinstance(a, Send)]


def end(gateway: Gateway, send: Send, outcome: Outcome, now: float) -> None:
    place = len(gateway.jobs[send.request].attempts) - 1
    gateway.handle(AttemptEnded(send.request, place, send.backend, outcome, 0.02, False, 0.0, ()), now)


def cost_of_changes(backends: int, gateways: int) -> int:
    """Operations for a hundred drains, each told by itself, with a request after every tenth."""
    gateway = made(backends, gateways)
    ask(gateway, 1, 100.0)
    with operations() as counted:
        for number in range(100):
            change = BackendList(ListKind.CHANGES, (listed(number, BackendStatus.DRAINING),))
            gateway.handle(change, 100.0 + number / 1000)
    return counted.number


def cost_of_requests(backends: int, gateways: int, klass: str) -> int:
    """Operations for fifty requests in a second, each of which fails once; no list changes meanwhile."""
    gateway = made(backends, gateways)
    ask(gateway, 0, 100.0)
    gateway.weigh_at = 1e9  # how often weights are made anew is judged by itself
    with operations() as counted:
        for number in range(1, 51):
            sent = ask(gateway, number, 100.0, klass)
            # a keyed request that may have run goes on in its cell alone, any other one anywhere
            end(gateway, sent[0], Outcome.ERROR if klass == "sign" else Outcome.NO_CONNECTION, 100.0)
    return counted.number


@pytest.mark.parametrize("gateways", [3, 24, 200])
def test_a_change_costs_the_same_however_many_are_listed(gateways: int) -> None:
    assert cost_of_changes(MANY, gateways) <= ALLOWED * cost_of_changes(USUAL, gateways)


@pytest.mark.parametrize("klass", ["read", "sign"])
@pytest.mark.parametrize("gateways", [3, 200])
def test_a_request_costs_the_same_however_many_are_listed(gateways: int, klass: str) -> None:
    assert cost_of_requests(MANY, gateways, klass) <= ALLOWED * cost_of_requests(USUAL, gateways, klass)


@pytest.mark.parametrize("gateways", [3, 24, 200])
def test_weighing_costs_the_same_over_time(gateways: int) -> None:
    """With requests and changes all the time: what is weighed more is weighed less often."""

    def cost(backends: int) -> int:
        gateway = made(backends, gateways)
        ask(gateway, 0, 100.0)
        with operations() as counted:
            for step in range(200):
                now = 100.0 + step / 20
                gateway.handle(
                    BackendList(
                        ListKind.CHANGES,
                        (listed(step, BackendStatus.DRAINING), listed(backends + step, started=now)),
                    ),
                    now,
                )
                for send in ask(gateway, step + 1, now):
                    end(gateway, send, Outcome.SERVED, now)
        return counted.number

    assert cost(MANY) <= 2.5 * cost(USUAL)  # a gateway of 200 uses 128 of 3,200 and 12 of 200


def test_no_event_goes_through_a_long_list_when_none_is_fit() -> None:
    """The worst request: all that is drawn is full."""

    def cost(backends: int) -> int:
        gateway = made(backends, 200)
        for server in gateway.servers.values():
            server.limit = 0.0
        assert not ask(gateway, 1, 100.0)
        gateway.weigh_at = 1e9
        with operations() as counted:
            assert not ask(gateway, 2, 100.0)
        return counted.number

    assert cost(20_000) <= ALLOWED * cost(2_000)


@pytest.mark.parametrize("seed", range(6))
def test_the_index_is_what_the_list_says(seed: int) -> None:
    """Against a plain reckoning, after drawn changes, whole lists and bans."""
    dice = random.Random(seed)
    gateway, now, current = made(40, 5), 100.0, {f"s{n:05d}": listed(n) for n in range(40)}
    for step in range(300):
        now += 0.05
        number = dice.randrange(60)
        told = listed(number, dice.choice(list(BackendStatus)), dice.choice([None, now]), dice.choice("mk"))
        told = replace(told, zone=dice.choice("abc"), rating=dice.choice([1.0, 3.0]))
        if step % 50 == 49:
            current = {a: b for a, b in current.items() if dice.random() < 0.8}
            gateway.handle(BackendList(ListKind.FULL, tuple(current.values())), now)
        else:
            gateway.handle(BackendList(ListKind.CHANGES, (told,)), now)
            if told.status is BackendStatus.REMOVED:
                current.pop(told.address, None)
            else:
                current[told.address] = told
        serving = {a: b for a, b in current.items() if b.status is BackendStatus.SERVING}
        assert {s.backend.address: s.backend for s in gateway.order} == serving
        for zone in "abc":
            found = gateway.serving.group(DedupScope.CELL, ord(zone) - 97)
            assert {s.backend.address for s in found} == {
                a for a, b in serving.items() if b.cell == ord(zone) - 97
            }
        if serving:
            mean = sum(b.rating for b in serving.values()) / len(serving)
            for kind, size in gateway.serving.sizes().items():
                rated = [b.rating for b in serving.values() if b.machine_type == kind]
                assert size == pytest.approx(sum(rated) / len(rated) / mean)


def test_shares_of_the_draws_follow_kinds_and_cold_shares() -> None:
    """Of 200 gateways together: by rating, evenly over zones, and less for what is cold."""
    sent: Counter[str] = Counter()
    started = 100.0 - WARM_WITHIN / 4
    many = [
        listed(n, started=started if n % 5 == 0 else None, kind="large" if n % 4 == 0 else "small")
        for n in range(400)
    ]
    many = [replace(b, rating=3.0 if b.machine_type == "large" else 1.0) for b in many]
    for me in range(200):
        gateway = Gateway(settings(200, me), me, 90.0)
        gateway.handle(BackendList(ListKind.FULL, tuple(many)), 100.0)
        for number in range(30):
            for send in ask(gateway, number, 100.0 + number / 100):
                sent[send.backend] += 1
                end(gateway, send, Outcome.SERVED, 100.0 + number / 100 + 0.005)
    total = sum(sent.values())
    by_zone = [sum(sent[b.address] for b in many if b.zone == zone) / total for zone in "abc"]
    assert all(0.28 < share < 0.39 for share in by_zone)
    warm = [b for b in many if b.started_at is None]
    large = sum(sent[b.address] for b in warm if b.machine_type == "large") / sum(
        b.machine_type == "large" for b in warm)
    small = sum(sent[b.address] for b in warm if b.machine_type == "small") / sum(
        b.machine_type == "small" for b in warm)
    assert 2.3 < large / small < 3.7
    starting = [b for b in many if b.started_at is not None]
    assert sum(sent[b.address] for b in starting) / len(starting) < 0.6 * total / len(many)


def test_sweeps_evictions_and_figures_of_the_pool_go_through_idle_connections_alone() -> None:
    def cost(backends: int) -> int:
        world = World(most=20)
        for number in range(backends):
            world.pool.set_address(f"b{number}", ("127.0.0.1", 1 + number % 60000))
        for number in range(20):
            world.start(f"b{number}")
            world.done(world.up())
        with operations() as counted:
            for number in range(20, 40):
                world.start(f"b{number}")  # one that is idle makes way
                world.up()
            world.pool.close_expired()
            world.pool.idle_count()
        return counted.number

    assert cost(MANY) <= ALLOWED * cost(USUAL)


def test_a_hand_over_tells_what_was_learned_and_not_all_that_is_listed() -> None:
    gateway = made(MANY, 200)
    for number in range(20):
        for send in ask(gateway, number, 100.0):
            end(gateway, send, Outcome.ERROR, 100.0)
    learned = {s.backend.address for s in gateway.servers.values() if s.bad > 0 or s.flight}
    told = {address for address, _, _ in gateway.hand_over(100.1)["servers"]}
    assert learned and learned <= told and len(told) < 100
