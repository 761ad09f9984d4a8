"""Counter calls over aggregators: who gets which, and what becomes of them when members change."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import subprocess
import sys
from collections import Counter as Tally
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from scipy.stats import chisquare

from embersill.__main__ import Program, build_configuration
from embersill.interface import AggregationSettings, CounterCallEnded, ListKind, Outcome, BackendStatus
from embersill.lab.peers import HOST
from embersill.net.aggregation import AggregatorRouter
from embersill.net.counter import Counter
from embersill.net.listing import Listing, read_listing
from embersill.settings import read_aggregation
from tests.bed import Bed, request, roomy_settings, run, with_bed
from tests.peers import SOON, CounterPeer, DiscoveryPeer, entry, settings_text

PATIENCE = 1.5  # seconds: long for loopback, also on a machine that is busy with other things
SHORT = 0.3  # for a test that waits for its end
UNLIKELY = 0.001  # chance below which a spread is not taken for an even one
CUSTOMERS = [f"{number:016x}" for number in range(6000)]
NOWHERE = (HOST, 9)  # of a list service that nobody asks in the tests without sockets
Told = Callable[[CounterCallEnded], None]


def listing(names: list[str], kind: ListKind = ListKind.FULL) -> Listing:
    """A list of serving members; their addresses are never dialled."""
    entries = [entry(name, f"{HOST}:{1000 + place}") for place, name in enumerate(names)]
    return read_listing({"generation": 1, "reset": True, "instances": entries}, kind)


def names(count: int) -> list[str]:
    return [f"aggregator-{number}" for number in range(count)]


def chosen(listed: list[str]) -> dict[str, str]:
    """The member of each customer, by a router that has this list."""
    found: dict[str, str] = {}

    async def choose() -> None:
        router = AggregatorRouter(lambda: 0.0, [NOWHERE], PATIENCE, 1.0, lambda counted: None, 64)
        router.update_members(listing(listed))
        for customer in CUSTOMERS:
            member = router.member_of(customer)
            assert member is not None
            found[customer] = member.name
        router.close()

    run(choose)
    return found


class Fleet:
    """Some aggregators, their list service, and one gateway's router."""

    def __init__(self, count: int, patience: float) -> None:
        self.patience = patience
        self.peers = {name: CounterPeer() for name in names(count)}
        self.directory = DiscoveryPeer()
        self.told: list[CounterCallEnded] = []
        self.more = asyncio.Condition()
        self.router: AggregatorRouter

    def make_router(self, connections: int = 64, told: Told | None = None) -> AggregatorRouter:
        host, _, port = self.directory.address.rpartition(":")
        return AggregatorRouter(
            asyncio.get_running_loop().time, [(host, int(port))], self.patience, 1.0,
            told or self.told.append, connections)

    def entry(self, name: str, state: str = "SERVING") -> dict[str, Any]:
        return entry(name, self.peers[name].address, state)

    async def until(self, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(SOON):
            while not done():
                await asyncio.sleep(0.002)

    async def listed(self, count: int) -> None:
        await self.until(lambda: len(self.router.members) == count)

    async def outcomes(self, count: int) -> Tally[Outcome]:
        """How the first so many calls ended; none may be told of twice."""
        await self.until(lambda: len(self.told) >= count)
        assert len(self.told) == count
        return Tally(counted.outcome for counted in self.told)

    def add(self, customers: list[str], amount: float = 1.0) -> None:
        for customer in customers:
            self.router.add(f"{customer}.7", amount, 60.0)

    def sums(self) -> Tally[str]:
        """What all aggregators together were told, by name."""
        total: Tally[str] = Tally()
        for peer in self.peers.values():
            for name, amount in peer.calls:
                total[name] += round(amount)
        return total

    def customers_of(self, name: str, count: int) -> list[str]:
        """Customers whose calls go to a member now."""
        found = []
        for customer in CUSTOMERS:
            member = self.router.member_of(customer)
            if member is not None and member.name == name:
                found.append(customer)
        return found[:count]


@asynccontextmanager
async def fleet(
    count: int, connections: int = 64, patience: float = PATIENCE
) -> AsyncIterator[Fleet]:
    made = Fleet(count, patience)
    for peer in (*made.peers.values(), made.directory):
        await peer.start()
    made.directory.entries = {name: made.entry(name) for name in made.peers}
    made.router = made.make_router(connections)
    try:
        await made.listed(count)
        yield made
    finally:
        made.router.close()
        for peer in (*made.peers.values(), made.directory):
            await peer.stop()


@pytest.mark.parametrize("count", [2, 6, 50])
def test_customers_are_spread_evenly_over_the_members(count: int) -> None:
    spread = Tally(chosen(names(count)).values())
    assert len(spread) == count
    assert chisquare(list(spread.values())).pvalue > UNLIKELY


def test_a_member_that_leaves_moves_only_its_own_customers_evenly() -> None:
    before, after = chosen(names(6)), chosen(names(5))
    moved = {customer for customer in CUSTOMERS if before[customer] != after[customer]}
    assert moved == {customer for customer in CUSTOMERS if before[customer] == "aggregator-5"}
    spread = Tally(after[customer] for customer in moved)
    assert chisquare(list(spread.values())).pvalue > UNLIKELY


def test_gateways_choose_alike_whatever_the_order_of_their_lists() -> None:
    assert chosen(names(6)) == chosen(names(6)[::-1])


def test_calls_reach_their_members_in_order_and_are_answered_once() -> None:
    async def test() -> None:
        async with fleet(6) as made:
            customers = CUSTOMERS[:200]
            for amount in range(1, 6):
                made.add(customers, float(amount))
            assert await made.outcomes(1000) == {Outcome.SERVED: 1000}
            where: dict[str, set[str]] = {}
            for peer_name, peer in made.peers.items():
                order: dict[str, list[float]] = {}
                for name, units in peer.calls:
                    where.setdefault(name, set()).add(peer_name)
                    order.setdefault(name, []).append(units)
                assert all(amounts == [1.0, 2.0, 3.0, 4.0, 5.0] for amounts in order.values())
            assert len(where) == 200 and all(len(peers) == 1 for peers in where.values())
            totals: dict[str, list[float]] = {}
            for counted in made.told:
                totals.setdefault(counted.name, []).append(counted.total)
            assert all(total == [1.0, 3.0, 6.0, 10.0, 15.0] for total in totals.values())

    run(test)


def test_connections_are_opened_only_where_calls_go() -> None:
    async def test() -> None:
        async with fleet(6) as made:
            assert sum(peer.connections for peer in made.peers.values()) == 0
            made.add(made.customers_of("aggregator-3", 20))
            await made.outcomes(20)
            assert {name: peer.connections for name, peer in made.peers.items() if peer.connections} == {
                "aggregator-3": 1}

    run(test)


def test_a_killed_member_fails_its_own_calls_only_until_it_is_back() -> None:
    async def test() -> None:
        async with fleet(3) as made:
            gone, port = made.peers["aggregator-1"], made.peers["aggregator-1"].address.rpartition(":")[2]
            here, there = made.customers_of("aggregator-1", 10), made.customers_of("aggregator-2", 10)
            made.add(here + there)
            assert await made.outcomes(20) == {Outcome.SERVED: 20}
            await gone.stop()
            await asyncio.sleep(0.02)  # the ends of its connections arrive
            made.told.clear()
            made.add(here + there)
            assert await made.outcomes(20) == {Outcome.SERVED: 10, Outcome.NO_CONNECTION: 10}
            assert {c.name.partition(".")[0] for c in made.told if c.outcome is Outcome.SERVED} == set(there)
            await gone.start(int(port))
            made.told.clear()
            made.add(here + there)
            assert await made.outcomes(20) == {Outcome.SERVED: 20}

    run(test)


def test_with_no_member_listed_calls_end_at_once_and_go_nowhere_else() -> None:
    async def test() -> None:
        async with fleet(2) as made:
            made.directory.entries = {}
            made.directory.generation = 5
            made.router.update_members(listing([]))
            made.add(CUSTOMERS[:20])
            assert len(made.told) == 20  # without a turn of the loop
            assert {counted.outcome for counted in made.told} == {Outcome.NO_CONNECTION}
            assert not any(peer.calls for peer in made.peers.values())

    run(test)


def test_a_silent_list_keeps_the_members_that_were_known() -> None:
    async def test() -> None:
        async with fleet(3) as made:
            made.directory.silent = True
            await made.directory.stop()
            await asyncio.sleep(0.2)  # some calls to it fail meanwhile
            made.add(CUSTOMERS[:30])
            assert await made.outcomes(30) == {Outcome.SERVED: 30}

    run(test)


def test_before_the_first_list_calls_end_at_once() -> None:
    async def test() -> None:
        told: list[CounterCallEnded] = []
        router = AggregatorRouter(lambda: 0.0, [NOWHERE], PATIENCE, 1.0, told.append, 64)
        router.add("c1.7", 1.0, 60.0)
        assert [counted.outcome for counted in told] == [Outcome.NO_CONNECTION]
        router.close()

    run(test)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_member_that_leaves_answers_what_is_out_and_gets_no_more(state: str) -> None:
    async def test() -> None:
        async with fleet(3) as made:
            leaver = made.peers["aggregator-1"]
            here = made.customers_of("aggregator-1", 10)
            leaver.free.clear()
            made.add(here)
            await made.until(lambda: bool(leaver.calls))
            await made.directory.change(made.entry("aggregator-1", state))
            await made.listed(2)
            leaver.free.set()
            assert await made.outcomes(10) == {Outcome.SERVED: 10}
            made.add(here)
            assert await made.outcomes(20) == {Outcome.SERVED: 20}
            assert len(leaver.calls) == 10
            await made.until(lambda: not leaver.open and not made.router.former_counters)

    run(test)


def test_ends_for_one_name_are_told_in_order_though_its_member_changed() -> None:
    # the module takes the first end for a name as that of its first call for it
    async def test() -> None:
        async with fleet(2) as made:
            leaver = made.peers["aggregator-1"]
            here = made.customers_of("aggregator-1", 5)
            leaver.free.clear()
            made.add(here, 1.0)
            await made.until(lambda: bool(leaver.calls))
            await made.directory.change(made.entry("aggregator-1", "DRAINING"))
            await made.listed(1)
            made.add(here, 2.0)
            await made.until(lambda: len(made.peers["aggregator-0"].calls) == 5)
            made.router.update_members(listing([]))
            made.add(here, 4.0)  # ends at once, and is told of last
            await asyncio.sleep(0.02)
            assert not made.told
            leaver.free.set()
            await made.outcomes(15)
            for customer in here:
                ends = [(c.outcome, c.total) for c in made.told if c.name == f"{customer}.7"]
                assert ends == [(Outcome.SERVED, 1.0), (Outcome.SERVED, 2.0), (Outcome.NO_CONNECTION, 0.0)]
            assert not made.router.unreported_calls

    run(test)


def test_what_a_leaver_does_not_answer_ends_with_its_patience_once() -> None:
    async def test() -> None:
        async with fleet(2, patience=SHORT) as made:
            leaver = made.peers["aggregator-1"]
            leaver.free.clear()
            made.add(made.customers_of("aggregator-1", 5))
            await made.until(lambda: bool(leaver.calls))
            await made.directory.change(made.entry("aggregator-1", "DRAINING"))
            await made.listed(1)
            assert await made.outcomes(5) == {Outcome.TIMED_OUT: 5}
            leaver.free.set()
            await asyncio.sleep(2 * SHORT)
            assert len(made.told) == 5 and not made.router.former_counters

    run(test)


def test_a_member_at_another_address_is_called_there() -> None:
    async def test() -> None:
        async with fleet(2) as made:
            here = made.customers_of("aggregator-1", 5)
            made.add(here)
            await made.outcomes(5)
            moved = CounterPeer()
            await moved.start()
            before = made.router.members["aggregator-1"]
            await made.directory.change(entry("aggregator-1", moved.address))
            await made.until(lambda: made.router.members.get("aggregator-1") not in (None, before))
            made.add(here)
            await made.outcomes(10)
            assert len(moved.calls) == 5
            await moved.stop()

    run(test)


def test_connections_stay_within_their_bound_and_all_members_are_used() -> None:
    async def test() -> None:
        async with fleet(50, connections=9) as made:
            most = 0
            for number in range(60):
                made.add(CUSTOMERS[number * 8:number * 8 + 8])
                most = max(most, sum(m.counter is not None for m in made.router.members.values()))
                await made.until(lambda: len(made.told) >= (number + 1) * 8)  # noqa: B023
                # the bound is on what is open at once; those unused for a patience make way
                for member in made.router.members.values():
                    member.last_used_at -= 2 * PATIENCE
                await asyncio.sleep(0)
                assert sum(len(peer.open) for peer in made.peers.values()) <= 9
            assert most == 8
            assert await made.outcomes(480) == {Outcome.SERVED: 480}
            assert sum(bool(peer.calls) for peer in made.peers.values()) == 50

    run(test)


def test_beyond_the_bound_calls_end_at_once_while_all_connections_wait() -> None:
    async def test() -> None:
        async with fleet(10, connections=5) as made:
            for peer in made.peers.values():
                peer.free.clear()
            made.add(CUSTOMERS[:100])
            await asyncio.sleep(0.05)
            assert sum(peer.connections for peer in made.peers.values()) == 4
            refused = {counted.outcome for counted in made.told}
            assert refused == {Outcome.NO_CONNECTION}
            reached = sum(len(peer.calls) for peer in made.peers.values())
            for peer in made.peers.values():
                peer.free.set()
            outcomes = await made.outcomes(100)
            assert outcomes[Outcome.SERVED] >= reached > 0

    run(test)


def test_gateways_with_different_lists_differ_for_the_missing_members_customers_only() -> None:
    async def test() -> None:
        async with fleet(4) as made:
            other = made.make_router()
            other.update_members(listing_of(made, [name for name in made.peers if name != "aggregator-2"]))
            other.discovery.feed.on_list = lambda told: None  # it hears nothing for a while
            customers = CUSTOMERS[:300]
            for customer in customers:
                made.router.add(f"{customer}.7", 1.0, 60.0)
                other.add(f"{customer}.7", 1.0, 60.0)
            assert await made.outcomes(600) == {Outcome.SERVED: 600}
            missing = {f"{c}.7" for c in made.customers_of("aggregator-2", len(CUSTOMERS)) if c in customers}
            split = {name for name in made.sums()
                     if sum(any(called == name for called, _ in peer.calls)
                            for peer in made.peers.values()) > 1}
            assert split == missing
            assert set(made.sums().values()) == {2}  # nothing lost, nothing twice, over all members
            # with the same list again both go by one sum
            other.update_members(listing_of(made, list(made.peers)))
            assert all(made.router.member_of(c).name == other.member_of(c).name  # type: ignore[union-attr]
                       for c in customers)
            other.close()

    run(test)


def listing_of(made: Fleet, listed: list[str]) -> Listing:
    entries = [made.entry(name) for name in listed]
    return read_listing({"generation": 1, "reset": True, "instances": entries})


def test_statuses_but_serving_are_no_members() -> None:
    async def test() -> None:
        router = AggregatorRouter(lambda: 0.0, [NOWHERE], PATIENCE, 1.0, lambda counted: None, 64)
        told = [entry("a", f"{HOST}:1"), entry("b", f"{HOST}:2", "DRAINING"), entry("c", "", "DELETED")]
        made = read_listing({"generation": 1, "reset": True, "instances": told})
        assert [e.backend.status for e in made.entries] == [
            BackendStatus.SERVING, BackendStatus.DRAINING, BackendStatus.REMOVED]
        router.update_members(made)
        assert list(router.members) == ["a"]
        router.close()

    run(test)


# the configuration, and a whole gateway


@pytest.mark.parametrize("wrong", [
    [], "x", {"calls": 1}, {"directory": 7}, {"calls_per_second": 0}, {"calls_per_second": "40"},
    {"calls_per_second": True}, {"burst": 1}, {"burst": float("nan")}, {"burst": 1e9},
    {"directory": "nowhere"},
])
def test_a_part_out_of_form_is_refused_in_one_line(wrong: Any) -> None:
    told = configured(aggregation=wrong)
    with pytest.raises(ValueError, match="^(aggregation|not an address)") as refused:
        build_configuration(told, {})
    assert "\n" not in str(refused.value)


def test_a_directory_without_a_counter_is_refused() -> None:
    env = roomy_settings()
    env["domain"]["counter"] = False
    with pytest.raises(ValueError, match="no counter"):
        build_configuration(configured(aggregation={"directory": f"{HOST}:4"}, settings=env), {})


def test_a_part_in_form_is_taken_with_its_defaults() -> None:
    assert read_aggregation(None) is None
    assert read_aggregation({}) == AggregationSettings("", 40.0, 80.0)
    assert read_aggregation({"burst": 20}) == AggregationSettings("", 40.0, 20)
    made = build_configuration(configured(aggregation={"directory": f"{HOST}:4,{HOST}:5"}), {})
    assert made.aggregators == ((HOST, 4), (HOST, 5))


def configured(**more: Any) -> dict[str, Any]:
    return {"name": "n0", "listen": f"{HOST}:1", "discovery": f"{HOST}:2", "counter": f"{HOST}:3",
            "seed": "8c1f", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": []}, "settings": roomy_settings(), **more}


@pytest.mark.parametrize(("sockets", "aggregators"), [(1024, 64), (256, 32), (64, 8), (32, 4)])
def test_descriptors_for_aggregators_are_taken_off_the_plan(sockets: int, aggregators: int) -> None:
    async def test() -> None:
        planned = {}
        for part in (None, {"directory": f"{HOST}:4"}):
            told = configured(aggregation=part, limits={"sockets": sockets, "memory_mb": 192})
            program = Program(build_configuration(told, {}))
            planned[part is not None] = program.dialer.pool.max_connections + program.front.most
            if program.driver.counter is not None:
                program.driver.counter.close()
            program.driver.reporter.cancel()
            if part is not None:
                assert isinstance(program.driver.counter, AggregatorRouter)
                assert program.driver.counter.max_member_connections == aggregators - 1
        assert planned[False] - planned[True] == aggregators

    run(test)


def test_sighup_brings_and_takes_the_part_while_the_gateway_serves(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(bed: Bed) -> None:
        path = tmp_path / "config.json"
        monkeypatch.setattr(os, "environ", {"RELAY_CONFIG": str(path)})
        directory, aggregator = DiscoveryPeer(), CounterPeer()
        await directory.start()
        await aggregator.start()
        directory.entries = {"a": entry("a", aggregator.address)}
        driver = bed.program.driver

        def reload(part: Any) -> None:
            path.write_text(json.dumps({**bed.told(roomy_settings(), 1024), "aggregation": part}))
            bed.program.reload()

        async def count(name: str, amount: float) -> None:
            assert driver.counter is not None
            driver.counting += 1
            driver.counter.add(name, amount, 60.0)
            async with asyncio.timeout(SOON):
                while driver.counting:
                    await asyncio.sleep(0.002)

        await count("c.1", 1.0)
        plain = driver.counter
        reload({"directory": directory.address})
        router = driver.counter
        assert isinstance(plain, Counter) and isinstance(router, AggregatorRouter)
        assert router.max_member_connections == 15  # no more than a part of the reserve is free in a gateway that runs
        async with asyncio.timeout(SOON):
            while not router.members:
                await asyncio.sleep(0.002)
        await count("c.2", 2.0)
        reload({"directory": 1})
        reload({"directory": directory.address, "calls_per_second": 20.0})
        assert driver.counter is router and driver.gateway.settings.aggregation is not None
        reload(None)
        assert isinstance(driver.counter, Counter) and driver.gateway.settings.aggregation is None
        await count("c.3", 3.0)
        assert bed.counter.calls == [("c.1", 1.0), ("c.3", 3.0)] and aggregator.calls == [("c.2", 2.0)]
        await asyncio.sleep(0.2)
        assert router.list_task.done() and not aggregator.open
        await directory.stop()
        await aggregator.stop()

    with_bed(test)


class AggregatedBed(Bed):
    """A gateway with three aggregators, from its start."""

    def __init__(self) -> None:
        super().__init__(1)
        self.directory = DiscoveryPeer()
        self.aggregators = [CounterPeer() for _ in range(3)]

    def told(self, env: dict[str, Any], sockets: int) -> dict[str, Any]:
        part = {"directory": self.directory.address, "calls_per_second": 1000.0, "burst": 10.0}
        return {**super().told(env, sockets), "aggregation": part}

    async def begin(self) -> None:
        for peer in (self.directory, *self.aggregators):
            await peer.start()
        self.directory.entries = {
            f"a{n}": entry(f"a{n}", peer.address) for n, peer in enumerate(self.aggregators)}
        env = settings_text()
        env["domain"]["max_units"] = 1000.0  # no slice holds such a request: all go by the counter's level
        await self.start(env, 1024)
        router = self.program.driver.counter
        async with asyncio.timeout(SOON):
            while not (isinstance(router, AggregatorRouter) and len(router.members) == 3):
                await asyncio.sleep(0.002)

    async def end(self) -> None:
        await self.program.stop(0.0, 0.0)
        for peer in (*self.backends, self.discovery, self.counter, self.directory, *self.aggregators):
            await peer.stop()


def test_a_gateway_tells_aggregators_all_that_its_customers_sent() -> None:
    async def test() -> None:
        bed = AggregatedBed()
        await bed.begin()
        client, served = await bed.client(), Tally[str]()
        for number in range(40):
            customer = f"{number % 8:016x}"
            status, _, _ = await client.ask(request(number + 1, customer=customer))
            served[customer] += status == 200
        await bed.end()
        told: Tally[str] = Tally()
        for aggregator in bed.aggregators:
            for name, units in aggregator.calls:
                told[name.rpartition(".")[0]] += round(units)
        asked = {customer for customer, many in served.items() if many}
        assert len(asked) == 8 and asked <= set(told) and not bed.counter.calls
        owners: dict[str, set[int]] = {}
        for place, aggregator in enumerate(bed.aggregators):
            for name, _ in aggregator.calls:
                owners.setdefault(name, set()).add(place)
        assert all(len(places) == 1 for places in owners.values())

    run(test)


def test_without_the_part_its_modules_are_not_loaded() -> None:
    code = "import sys, embersill.__main__, embersill.adapter; " \
        "sys.exit(any(m in sys.modules for m in ('embersill.net.aggregation', 'embersill.call_budget')))"
    assert subprocess.run([sys.executable, "-c", code], check=False, timeout=60).returncode == 0
