"""Tests that the cost of a list change, a request and an idle scan does not grow with the number of backends.

Incident of 2026-12. Costs are counted in bytecode operations, not in time. The shares of the load that
backends get must stay the same.
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
MAX_GROWTH = 1.5  # factor on the operations at the usual size
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


def gateway_with(backends: int, gateways: int) -> Gateway:
    gateway = Gateway(settings(gateways), 1, 100.0)
    gateway.handle(BackendList(ListKind.FULL, tuple(map(listed, range(backends)))), 100.0)
    return gateway


def ask(gateway: Gateway, number: int, now: float, class_name: str = "read") -> list[Send]:
    asked = Request(number, class_name, "p", f"c{number % 50}", now + 4.0, 1.0, 1, 0, False)
    return [a for a in gateway.handle(asked, now) if isinstance(a, Send)]


def end(gateway: Gateway, send: Send, outcome: Outcome, now: float) -> None:
    index = len(gateway.jobs[send.request].attempts) - 1
    gateway.handle(AttemptEnded(send.request, index, send.backend, outcome, 0.02, False, 0.0, ()), now)


def cost_of_changes(backends: int, gateways: int) -> int:
    """Operations for a hundred drains, each in a list change of its own."""
    gateway = gateway_with(backends, gateways)
    ask(gateway, 1, 100.0)
    with operations() as counted:
        for number in range(100):
            change = BackendList(ListKind.CHANGES, (listed(number, BackendStatus.DRAINING),))
            gateway.handle(change, 100.0 + number / 1000)
    return counted.number


def cost_of_requests(backends: int, gateways: int, class_name: str) -> int:
    """Operations for fifty requests, each of which fails once, without list changes."""
    gateway = gateway_with(backends, gateways)
    ask(gateway, 0, 100.0)
    gateway.reweigh_at = 1e9  # the cost of updating weights has a test of its own
    with operations() as counted:
        for number in range(1, 51):
            sent = ask(gateway, number, 100.0, class_name)
            # a keyed request that may have run is only retried in its cell, others anywhere
            end(gateway, sent[0], Outcome.ERROR if class_name == "sign" else Outcome.NO_CONNECTION, 100.0)
    return counted.number


@pytest.mark.parametrize("gateways", [3, 24, 200])
def test_the_cost_of_a_change_does_not_grow_with_the_list(gateways: int) -> None:
    assert cost_of_changes(MANY, gateways) <= MAX_GROWTH * cost_of_changes(USUAL, gateways)


@pytest.mark.parametrize("class_name", ["read", "sign"])
@pytest.mark.parametrize("gateways", [3, 200])
def test_the_cost_of_a_request_does_not_grow_with_the_list(gateways: int, class_name: str) -> None:
    assert (
        cost_of_requests(MANY, gateways, class_name)
        <= MAX_GROWTH * cost_of_requests(USUAL, gateways, class_name))


@pytest.mark.parametrize("gateways", [3, 24, 200])
def test_the_cost_of_updating_weights_grows_little_with_the_list(gateways: int) -> None:
    """Under constant requests and changes, weights of more backends are updated less often."""

    def cost(backends: int) -> int:
        gateway = gateway_with(backends, gateways)
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

    assert cost(MANY) <= 2.5 * cost(USUAL)  # one of 200 gateways uses 128 of 3,200 backends and 12 of 200


def test_a_request_does_not_scan_a_long_list_if_no_backend_is_eligible() -> None:
    """The most expensive request: all candidates are at their limit."""

    def cost(backends: int) -> int:
        gateway = gateway_with(backends, 200)
        for server in gateway.servers.values():
            server.limit = 0.0
        assert not ask(gateway, 1, 100.0)
        gateway.reweigh_at = 1e9
        with operations() as counted:
            assert not ask(gateway, 2, 100.0)
        return counted.number

    assert cost(20_000) <= MAX_GROWTH * cost(2_000)


@pytest.mark.parametrize("seed", range(6))
def test_the_index_matches_the_list(seed: int) -> None:
    """Compared with a plain model, after random changes and full lists."""
    dice = random.Random(seed)
    gateway, now, current = gateway_with(40, 5), 100.0, {f"s{n:05d}": listed(n) for n in range(40)}
    for step in range(300):
        now += 0.05
        number = dice.randrange(60)
        changed = listed(
            number, dice.choice(list(BackendStatus)), dice.choice([None, now]), dice.choice("mk"))
        changed = replace(changed, zone=dice.choice("abc"), rating=dice.choice([1.0, 3.0]))
        if step % 50 == 49:
            current = {a: b for a, b in current.items() if dice.random() < 0.8}
            gateway.handle(BackendList(ListKind.FULL, tuple(current.values())), now)
        else:
            gateway.handle(BackendList(ListKind.CHANGES, (changed,)), now)
            if changed.status is BackendStatus.REMOVED:
                current.pop(changed.address, None)
            else:
                current[changed.address] = changed
        serving = {a: b for a, b in current.items() if b.status is BackendStatus.SERVING}
        assert {s.backend.address: s.backend for s in gateway.serving_servers} == serving
        for zone in "abc":
            found = gateway.serving.group(DedupScope.CELL, ord(zone) - 97)
            assert {s.backend.address for s in found} == {
                a for a, b in serving.items() if b.cell == ord(zone) - 97
            }
        if serving:
            mean = sum(b.rating for b in serving.values()) / len(serving)
            for machine_type, rating in gateway.serving.relative_ratings().items():
                ratings = [b.rating for b in serving.values() if b.machine_type == machine_type]
                assert rating == pytest.approx(sum(ratings) / len(ratings) / mean)


def test_the_load_follows_ratings_zones_and_slow_start() -> None:
    """Of 200 gateways together: by rating, evenly over zones, and less for cold backends."""
    sent: Counter[str] = Counter()
    started = 100.0 - WARM_WITHIN / 4
    entries = [
        listed(n, started=started if n % 5 == 0 else None, kind="large" if n % 4 == 0 else "small")
        for n in range(400)
    ]
    entries = [replace(b, rating=3.0 if b.machine_type == "large" else 1.0) for b in entries]
    for me in range(200):
        gateway = Gateway(settings(200, me), me, 90.0)
        gateway.handle(BackendList(ListKind.FULL, tuple(entries)), 100.0)
        for number in range(30):
            for send in ask(gateway, number, 100.0 + number / 100):
                sent[send.backend] += 1
                end(gateway, send, Outcome.SERVED, 100.0 + number / 100 + 0.005)
    total = sum(sent.values())
    by_zone = [sum(sent[b.address] for b in entries if b.zone == zone) / total for zone in "abc"]
    assert all(0.28 < share < 0.39 for share in by_zone)
    warm = [b for b in entries if b.started_at is None]
    large = sum(sent[b.address] for b in warm if b.machine_type == "large") / sum(
        b.machine_type == "large" for b in warm)
    small = sum(sent[b.address] for b in warm if b.machine_type == "small") / sum(
        b.machine_type == "small" for b in warm)
    assert 2.3 < large / small < 3.7
    starting = [b for b in entries if b.started_at is not None]
    assert sum(sent[b.address] for b in starting) / len(starting) < 0.6 * total / len(entries)


def test_idle_scans_evictions_and_figures_of_the_pool_only_visit_idle_connections() -> None:
    def cost(backends: int) -> int:
        world = World(most=20)
        for number in range(backends):
            world.pool.set_address(f"b{number}", ("127.0.0.1", 1 + number % 60000))
        for number in range(20):
            world.start(f"b{number}")
            world.done(world.up())
        with operations() as counted:
            for number in range(20, 40):
                world.start(f"b{number}")  # an idle connection is evicted
                world.up()
            world.pool.close_expired()
            world.pool.idle_count()
        return counted.number

    assert cost(MANY) <= MAX_GROWTH * cost(USUAL)


def test_a_hand_over_contains_learned_state_and_not_all_listed_backends() -> None:
    gateway = gateway_with(MANY, 200)
    for number in range(20):
        for send in ask(gateway, number, 100.0):
            end(gateway, send, Outcome.ERROR, 100.0)
    learned = {s.backend.address for s in gateway.servers.values() if s.failure_score > 0 or s.in_flight}
    handed_over = {address for address, _, _ in gateway.hand_over(100.1)["servers"]}
    assert learned and learned <= handed_over and len(handed_over) < 100
