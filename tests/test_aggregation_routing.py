"""Counter calls over aggregators: which member gets a call, and what happens when members change."""

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

from embersill.program import build_configuration
from embersill.interface import AggregationSettings, CounterCallEnded, ListKind, Outcome, BackendStatus
from embersill.lab.peers import HOST
from embersill.net.aggregation import AggregatorRouter
from embersill.net.counter import Counter
from embersill.net.listing import Listing, read_listing
from embersill.settings import read_aggregation
from tests.bed import Bed, make_program, request, roomy_settings, run, with_bed
from tests.peers import SOON, CounterPeer, DiscoveryPeer, entry, settings_text

TIMEOUT = 1.5  # seconds: long enough for loopback on a busy machine
SHORT_TIMEOUT = 0.3  # seconds, for a test that waits for it
MIN_P_VALUE = 0.001  # below this a distribution does not count as even
CUSTOMERS = [f"{number:016x}" for number in range(6000)]
UNUSED_ADDRESS = (HOST, 9)  # of a list service that is not called in tests without sockets
OnResult = Callable[[CounterCallEnded], None]


def listing(names: list[str], kind: ListKind = ListKind.FULL) -> Listing:
    """A list of serving members; nothing connects to their addresses."""
    entries = [entry(name, f"{HOST}:{1000 + place}") for place, name in enumerate(names)]
    return read_listing({"generation": 1, "reset": True, "instances": entries}, kind)


def names(count: int) -> list[str]:
    return [f"aggregator-{number}" for number in range(count)]


def members_chosen(listed: list[str]) -> dict[str, str]:
    """The member that a router with this list chooses for each customer."""
    found: dict[str, str] = {}

    async def choose() -> None:
        router = AggregatorRouter(lambda: 0.0, [UNUSED_ADDRESS], TIMEOUT, 1.0, lambda result: None, 64)
        router.update_members(listing(listed))
        for customer in CUSTOMERS:
            member = router.member_of(customer)
            assert member is not None
            found[customer] = member.name
        router.close()

    run(choose)
    return found


class Fleet:
    """Aggregators, their list service, and the router of one gateway."""

    def __init__(self, count: int, timeout: float) -> None:
        self.timeout = timeout
        self.peers = {name: CounterPeer() for name in names(count)}
        self.directory = DiscoveryPeer()
        self.results: list[CounterCallEnded] = []
        self.more = asyncio.Condition()
        self.router: AggregatorRouter

    def make_router(self, connections: int = 64, on_result: OnResult | None = None) -> AggregatorRouter:
        host, _, port = self.directory.address.rpartition(":")
        return AggregatorRouter(
            asyncio.get_running_loop().time, [(host, int(port))], self.timeout, 1.0,
            on_result or self.results.append, connections)

    def entry(self, name: str, state: str = "SERVING") -> dict[str, Any]:
        return entry(name, self.peers[name].address, state)

    async def until(self, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(SOON):
            while not done():
                await asyncio.sleep(0.002)

    async def listed(self, count: int) -> None:
        await self.until(lambda: len(self.router.members) == count)

    async def outcomes(self, count: int) -> Tally[Outcome]:
        """The outcomes of the first `count` calls; none may be reported twice."""
        await self.until(lambda: len(self.results) >= count)
        assert len(self.results) == count
        return Tally(result.outcome for result in self.results)

    def add(self, customers: list[str], amount: float = 1.0) -> None:
        for customer in customers:
            self.router.add(f"{customer}.7", amount, 60.0)

    def sums(self) -> Tally[str]:
        """The units that all aggregators together received, by name."""
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
    count: int, connections: int = 64, timeout: float = TIMEOUT
) -> AsyncIterator[Fleet]:
    made = Fleet(count, timeout)
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
def test_customers_are_distributed_evenly_over_the_members(count: int) -> None:
    spread = Tally(members_chosen(names(count)).values())
    assert len(spread) == count
    assert chisquare(list(spread.values())).pvalue > MIN_P_VALUE


def test_only_the_customers_of_a_removed_member_move_and_evenly() -> None:
    before, after = members_chosen(names(6)), members_chosen(names(5))
    moved = {customer for customer in CUSTOMERS if before[customer] != after[customer]}
    assert moved == {customer for customer in CUSTOMERS if before[customer] == "aggregator-5"}
    spread = Tally(after[customer] for customer in moved)
    assert chisquare(list(spread.values())).pvalue > MIN_P_VALUE


def test_the_choice_does_not_depend_on_the_order_of_the_list() -> None:
    assert members_chosen(names(6)) == members_chosen(names(6)[::-1])


def test_calls_reach_their_members_in_order_and_have_one_result_each() -> None:
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
            for result in made.results:
                totals.setdefault(result.name, []).append(result.total)
            assert all(total == [1.0, 3.0, 6.0, 10.0, 15.0] for total in totals.values())

    run(test)


def test_connections_are_opened_only_to_members_with_calls() -> None:
    async def test() -> None:
        async with fleet(6) as made:
            assert sum(peer.connections for peer in made.peers.values()) == 0
            made.add(made.customers_of("aggregator-3", 20))
            await made.outcomes(20)
            assert {name: peer.connections for name, peer in made.peers.items() if peer.connections} == {
                "aggregator-3": 1}

    run(test)


def test_only_calls_to_a_killed_member_fail_until_its_return() -> None:
    async def test() -> None:
        async with fleet(3) as made:
            gone, port = made.peers["aggregator-1"], made.peers["aggregator-1"].address.rpartition(":")[2]
            here, there = made.customers_of("aggregator-1", 10), made.customers_of("aggregator-2", 10)
            made.add(here + there)
            assert await made.outcomes(20) == {Outcome.SERVED: 20}
            await gone.stop()
            await asyncio.sleep(0.02)  # the router sees the closing of its connections
            made.results.clear()
            made.add(here + there)
            assert await made.outcomes(20) == {Outcome.SERVED: 10, Outcome.NO_CONNECTION: 10}
            assert {
                c.name.partition(".")[0] for c in made.results if c.outcome is Outcome.SERVED} == set(there)
            await gone.start(int(port))
            made.results.clear()
            made.add(here + there)
            assert await made.outcomes(20) == {Outcome.SERVED: 20}

    run(test)


def test_without_members_calls_fail_at_once() -> None:
    async def test() -> None:
        async with fleet(2) as made:
            made.directory.entries = {}
            made.directory.generation = 5
            made.router.update_members(listing([]))
            made.add(CUSTOMERS[:20])
            assert len(made.results) == 20  # without a turn of the event loop
            assert {result.outcome for result in made.results} == {Outcome.NO_CONNECTION}
            assert not any(peer.calls for peer in made.peers.values())

    run(test)


def test_members_are_kept_while_the_list_service_is_down() -> None:
    async def test() -> None:
        async with fleet(3) as made:
            made.directory.silent = True
            await made.directory.stop()
            await asyncio.sleep(0.2)  # some watches fail meanwhile
            made.add(CUSTOMERS[:30])
            assert await made.outcomes(30) == {Outcome.SERVED: 30}

    run(test)


def test_calls_before_the_first_list_fail_at_once() -> None:
    async def test() -> None:
        results: list[CounterCallEnded] = []
        router = AggregatorRouter(lambda: 0.0, [UNUSED_ADDRESS], TIMEOUT, 1.0, results.append, 64)
        router.add("c1.7", 1.0, 60.0)
        assert [result.outcome for result in results] == [Outcome.NO_CONNECTION]
        router.close()

    run(test)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_removed_member_answers_pending_calls_and_gets_no_further_ones(state: str) -> None:
    async def test() -> None:
        async with fleet(3) as made:
            leaving = made.peers["aggregator-1"]
            here = made.customers_of("aggregator-1", 10)
            leaving.may_answer.clear()
            made.add(here)
            await made.until(lambda: bool(leaving.calls))
            await made.directory.change(made.entry("aggregator-1", state))
            await made.listed(2)
            leaving.may_answer.set()
            assert await made.outcomes(10) == {Outcome.SERVED: 10}
            made.add(here)
            assert await made.outcomes(20) == {Outcome.SERVED: 20}
            assert len(leaving.calls) == 10
            await made.until(lambda: not leaving.writers and not made.router.former_counters)

    run(test)


def test_results_for_one_name_stay_in_order_when_its_member_changes() -> None:
    # the decision module matches the results for a name to its calls by their order
    async def test() -> None:
        async with fleet(2) as made:
            leaving = made.peers["aggregator-1"]
            here = made.customers_of("aggregator-1", 5)
            leaving.may_answer.clear()
            made.add(here, 1.0)
            await made.until(lambda: bool(leaving.calls))
            await made.directory.change(made.entry("aggregator-1", "DRAINING"))
            await made.listed(1)
            made.add(here, 2.0)
            await made.until(lambda: len(made.peers["aggregator-0"].calls) == 5)
            made.router.update_members(listing([]))
            made.add(here, 4.0)  # ends at once, but is reported last
            await asyncio.sleep(0.02)
            assert not made.results
            leaving.may_answer.set()
            await made.outcomes(15)
            for customer in here:
                ends = [(c.outcome, c.total) for c in made.results if c.name == f"{customer}.7"]
                assert ends == [(Outcome.SERVED, 1.0), (Outcome.SERVED, 2.0), (Outcome.NO_CONNECTION, 0.0)]
            assert not made.router.unreported_calls

    run(test)


def test_calls_that_a_removed_member_does_not_answer_time_out_once() -> None:
    async def test() -> None:
        async with fleet(2, timeout=SHORT_TIMEOUT) as made:
            leaving = made.peers["aggregator-1"]
            leaving.may_answer.clear()
            made.add(made.customers_of("aggregator-1", 5))
            await made.until(lambda: bool(leaving.calls))
            await made.directory.change(made.entry("aggregator-1", "DRAINING"))
            await made.listed(1)
            assert await made.outcomes(5) == {Outcome.TIMED_OUT: 5}
            leaving.may_answer.set()
            await asyncio.sleep(2 * SHORT_TIMEOUT)
            assert len(made.results) == 5 and not made.router.former_counters

    run(test)


def test_a_member_is_called_at_its_new_address() -> None:
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


def test_connections_are_bounded_and_all_members_are_used() -> None:
    async def test() -> None:
        async with fleet(50, connections=9) as made:
            most = 0
            for number in range(60):
                made.add(CUSTOMERS[number * 8:number * 8 + 8])
                most = max(most, sum(m.counter is not None for m in made.router.members.values()))
                await made.until(lambda: len(made.results) >= (number + 1) * 8)  # noqa: B023
                # the limit is on open connections; those unused for a call timeout are evicted
                for member in made.router.members.values():
                    member.last_used_at -= 2 * TIMEOUT
                await asyncio.sleep(0)
                assert sum(len(peer.writers) for peer in made.peers.values()) <= 9
            assert most == 8
            assert await made.outcomes(480) == {Outcome.SERVED: 480}
            assert sum(bool(peer.calls) for peer in made.peers.values()) == 50

    run(test)


def test_calls_beyond_the_connection_limit_fail_at_once() -> None:
    async def test() -> None:
        async with fleet(10, connections=5) as made:
            for peer in made.peers.values():
                peer.may_answer.clear()
            made.add(CUSTOMERS[:100])
            await asyncio.sleep(0.05)
            assert sum(peer.connections for peer in made.peers.values()) == 4
            outcomes_at_once = {result.outcome for result in made.results}
            assert outcomes_at_once == {Outcome.NO_CONNECTION}
            reached = sum(len(peer.calls) for peer in made.peers.values())
            for peer in made.peers.values():
                peer.may_answer.set()
            outcomes = await made.outcomes(100)
            assert outcomes[Outcome.SERVED] >= reached > 0

    run(test)


def test_gateways_with_different_lists_disagree_only_on_the_missing_members_customers() -> None:
    async def test() -> None:
        async with fleet(4) as made:
            other = made.make_router()
            other.update_members(listing_of(made, [name for name in made.peers if name != "aggregator-2"]))
            other.discovery.feed.on_list = lambda listing: None  # it receives no list for a while
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
            assert set(made.sums().values()) == {2}  # over all members, nothing is lost or added twice
            # with the same list again both choose the same members
            other.update_members(listing_of(made, list(made.peers)))
            assert all(made.router.member_of(c).name == other.member_of(c).name  # type: ignore[union-attr]
                       for c in customers)
            other.close()

    run(test)


def listing_of(made: Fleet, listed: list[str]) -> Listing:
    entries = [made.entry(name) for name in listed]
    return read_listing({"generation": 1, "reset": True, "instances": entries})


def test_only_serving_entries_are_members() -> None:
    async def test() -> None:
        router = AggregatorRouter(lambda: 0.0, [UNUSED_ADDRESS], TIMEOUT, 1.0, lambda result: None, 64)
        entries = [entry("a", f"{HOST}:1"), entry("b", f"{HOST}:2", "DRAINING"), entry("c", "", "DELETED")]
        made = read_listing({"generation": 1, "reset": True, "instances": entries})
        assert [e.backend.status for e in made.entries] == [
            BackendStatus.SERVING, BackendStatus.DRAINING, BackendStatus.REMOVED]
        router.update_members(made)
        assert list(router.members) == ["a"]
        router.close()

    run(test)


# the configuration, and a complete gateway


@pytest.mark.parametrize("wrong", [
    [], "x", {"calls": 1}, {"directory": 7}, {"calls_per_second": 0}, {"calls_per_second": "40"},
    {"calls_per_second": True}, {"burst": 1}, {"burst": float("nan")}, {"burst": 1e9},
    {"directory": "nowhere"},
])
def test_malformed_aggregation_settings_are_rejected_in_one_line(wrong: Any) -> None:
    configuration = configured(aggregation=wrong)
    with pytest.raises(ValueError, match="^(aggregation|not an address)") as error:
        build_configuration(configuration, {})
    assert "\n" not in str(error.value)


def test_a_directory_without_a_counter_is_rejected() -> None:
    env = roomy_settings()
    env["domain"]["counter"] = False
    with pytest.raises(ValueError, match="no counter"):
        build_configuration(configured(aggregation={"directory": f"{HOST}:4"}, settings=env), {})


def test_aggregation_settings_have_defaults() -> None:
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
def test_descriptors_for_aggregators_are_taken_from_the_others(sockets: int, aggregators: int) -> None:
    async def test() -> None:
        planned = {}
        for part in (None, {"directory": f"{HOST}:4"}):
            configuration = configured(aggregation=part, limits={"sockets": sockets, "memory_mb": 192})
            program = make_program(configuration, {})
            planned[part is not None] = program.dialer.pool.max_connections + program.front.max_connections
            if program.driver.counter is not None:
                program.driver.counter.close()
            program.driver.report_timer.cancel()
            if part is not None:
                assert isinstance(program.driver.counter, AggregatorRouter)
                assert program.driver.counter.max_member_connections == aggregators - 1
        assert planned[False] - planned[True] == aggregators

    run(test)


def test_sighup_turns_aggregation_on_and_off_in_a_running_gateway(
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
            path.write_text(json.dumps({**bed.configuration(roomy_settings(), 1024), "aggregation": part}))
            bed.program.reload()

        async def count(name: str, amount: float) -> None:
            assert driver.counter is not None
            driver.pending_counter_calls += 1
            driver.counter.add(name, amount, 60.0)
            async with asyncio.timeout(SOON):
                while driver.pending_counter_calls:
                    await asyncio.sleep(0.002)

        await count("c.1", 1.0)
        plain = driver.counter
        reload({"directory": directory.address})
        router = driver.counter
        assert isinstance(plain, Counter) and isinstance(router, AggregatorRouter)
        # in a running gateway only a part of the reserved descriptors is free
        assert router.max_member_connections == 15
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
        assert router.list_task.done() and not aggregator.writers
        await directory.stop()
        await aggregator.stop()

    with_bed(test)


class AggregatedBed(Bed):
    """A gateway that starts with three aggregators."""

    def __init__(self) -> None:
        super().__init__(1)
        self.directory = DiscoveryPeer()
        self.aggregators = [CounterPeer() for _ in range(3)]

    def configuration(self, env: dict[str, Any], sockets: int) -> dict[str, Any]:
        part = {"directory": self.directory.address, "calls_per_second": 1000.0, "burst": 10.0}
        return {**super().configuration(env, sockets), "aggregation": part}

    async def begin(self) -> None:
        for peer in (self.directory, *self.aggregators):
            await peer.start()
        self.directory.entries = {
            f"a{n}": entry(f"a{n}", peer.address) for n, peer in enumerate(self.aggregators)}
        env = settings_text()
        env["domain"]["max_units"] = 1000.0  # no slice covers such a request: all use the counter's level
        await self.start(env, 1024)
        router = self.program.driver.counter
        async with asyncio.timeout(SOON):
            while not (isinstance(router, AggregatorRouter) and len(router.members) == 3):
                await asyncio.sleep(0.002)

    async def end(self) -> None:
        await self.program.stop(0.0, 0.0)
        for peer in (*self.backends, self.discovery, self.counter, self.directory, *self.aggregators):
            await peer.stop()


def test_a_gateway_reports_the_units_of_all_customers_to_the_aggregators() -> None:
    async def test() -> None:
        bed = AggregatedBed()
        await bed.begin()
        client, served = await bed.client(), Tally[str]()
        for number in range(40):
            customer = f"{number % 8:016x}"
            status, _, _ = await client.ask(request(number + 1, customer=customer))
            served[customer] += status == 200
        await bed.end()
        reported: Tally[str] = Tally()
        for aggregator in bed.aggregators:
            for name, units in aggregator.calls:
                reported[name.rpartition(".")[0]] += round(units)
        asked = {customer for customer, count in served.items() if count}
        assert len(asked) == 8 and asked <= set(reported) and not bed.counter.calls
        owners: dict[str, set[int]] = {}
        for place, aggregator in enumerate(bed.aggregators):
            for name, _ in aggregator.calls:
                owners.setdefault(name, set()).add(place)
        assert all(len(places) == 1 for places in owners.values())

    run(test)


def test_without_aggregation_its_modules_are_not_imported() -> None:
    code = "import sys, embersill.program, embersill.adapter; " \
        "sys.exit(any(m in sys.modules for m in ('embersill.net.aggregation', 'embersill.call_budget')))"
    assert subprocess.run([sys.executable, "-c", code], check=False, timeout=60).returncode == 0
