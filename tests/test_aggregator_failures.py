"""Accounting during failures of aggregators, the counter and the network between them, and under load."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from embersill.aggregator.messages import Busy, BusyReason, Total
from embersill.lab.peers import HOST, free_port, read_counter_call, counter_reply
from tests.aggregators import (
    AggregatorProcess, GatewayClient, StateHarness, acquire_lease, caller, read_value,
    serving, until_lease, until_ready,
)
from tests.lists import run
from tests.peers import SOON, CounterPeer

GATEWAYS = 1_100
CUSTOMERS = 39_000


class FaultyCounter(CounterPeer):
    """A counter that can be cut off (ignores calls), mute (adds without answering) or slow."""

    def __init__(self) -> None:
        super().__init__()
        self.cut_off = False
        self.mute = False
        self.delay = 0.0  # seconds per call
        self.turn = asyncio.Lock()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words = await read_counter_call(reader)
            if self.cut_off:
                continue
            if self.delay:
                async with self.turn:
                    await asyncio.sleep(self.delay)
            name, amount = words[1], float(words[2])
            self.calls.append((name, amount))
            self.sums[name] = self.sums.get(name, 0.0) + amount
            if not self.mute:
                writer.write(counter_reply(self.sums[name]))

    def calls_for(self, name: str) -> int:
        return sum(called == name for called, _ in self.calls)


@asynccontextmanager
async def faulty_counter() -> AsyncIterator[FaultyCounter]:
    """Runs a faulty counter in this event loop."""
    counter = FaultyCounter()
    await counter.start()
    try:
        yield counter
    finally:
        await counter.stop()


async def until_counted(counter: CounterPeer, name: str, total: float) -> None:
    """Waits until the counter holds this total."""
    async with asyncio.timeout(SOON):
        while abs(counter.sums.get(name, 0.0) - total) > 1e-6:
            await asyncio.sleep(0.01)


def test_aggregator_restarted_empty_reads_totals_from_upstream() -> None:
    async def test() -> None:
        async with faulty_counter() as counter:
            port = str(free_port())
            options = ("--listen", f"{HOST}:{port}", "--upstream", counter.address, "--wait-ms", "5000")
            first = AggregatorProcess(*options, "--window-ms", "5000")
            await first.start()
            async with caller(first.port) as one:
                await until_ready(one)
                assert await one.add("a.1", 5.0) == 5.0
                assert await one.add("a.1", 2.0) == 7.0  # not forwarded yet, lost with the process
                await first.stop(signal.SIGKILL)
            second = AggregatorProcess(*options)
            await second.start()
            async with caller(second.port) as one:
                await until_ready(one)
                assert await one.add("a.1", 1.0) == 6.0
                assert await one.add("a.1", 1.0) == 7.0
                await until_counted(counter, "a.1", 7.0)
            await second.stop(signal.SIGTERM)

    run(test)


def test_slow_upstream_lengthens_windows_and_loses_nothing() -> None:
    async def test() -> None:
        async with faulty_counter() as counter, serving(counter.address, window=0.02) as server:
            await until_lease(server)
            async with caller(server.port) as one:
                await one.add("a.1", 1.0)
                counter.delay = 0.15
                for total in range(2, 102):
                    assert await one.add("a.1", 1.0) == total  # answered without upstream
                    await asyncio.sleep(0.005)
                assert counter.calls_for("a.1") <= 8
                counter.delay = 0.0
                await until_counted(counter, "a.1", 101.0)

    run(test)


def test_partitioned_aggregator_rejects_calls_and_later_forwards_accepted_amounts() -> None:
    async def test() -> None:
        async with faulty_counter() as counter:
            async with serving(counter.address, lease=1.0, window=0.05, call_timeout=0.3) as server:
                async with caller(server.port) as one:
                    await until_lease(server)
                    assert await one.add("a.1", 5.0) == 5.0
                    counter.cut_off = True
                    accepted = 5.0
                    async with asyncio.timeout(SOON):
                        while (total := await one.add("a.1", 1.0)) != "BUSY":
                            accepted += 1.0
                            assert total == accepted
                            await asyncio.sleep(0.01)
                    for _ in range(20):
                        assert await one.add("a.1", 1.0) == "BUSY"
                        assert await one.add("b.1", 1.0) == "BUSY"
                    counter.cut_off = False
                    await until_lease(server)
                    total = await one.add("a.1", 1.0)
                    assert isinstance(total, float) and total <= accepted + 1.0
                    async with asyncio.timeout(SOON):
                        while (await one.statistics())["names_unforwarded"]:
                            await asyncio.sleep(0.02)
                        while await one.add("a.1", 0.0) != counter.sums["a.1"]:
                            await asyncio.sleep(0.02)
                    lost = (await one.statistics())["amount_doubtful"]
                    assert accepted + 1.0 - lost <= counter.sums["a.1"] <= accepted + 1.0
                    assert "b.1" not in counter.sums

    run(test)


def test_totals_of_an_upstream_that_restarted_empty_are_adopted() -> None:
    async def test() -> None:
        counter = FaultyCounter()
        await counter.start()
        port = int(counter.address.rpartition(":")[2])
        async with serving(counter.address, window=0.05) as server, caller(server.port) as one:
            await until_lease(server)
            assert await one.add("a.1", 50.0) == 50.0
            await counter.stop()
            again = FaultyCounter()
            await again.start(port)
            assert await one.add("a.1", 3.0) == 53.0
            async with asyncio.timeout(SOON):
                while await one.add("a.1", 0.0) == 53.0:
                    await asyncio.sleep(0.01)
            counted = again.sums["a.1"]
            assert counted in (0.0, 3.0)  # the forward during the restart may be lost, but not added twice
            assert await one.add("a.1", 0.0) == counted
            assert (await one.statistics())["totals_fallen"] == 1
            assert await one.add("a.1", 2.0) == counted + 2.0
            await until_counted(again, "a.1", counted + 2.0)
            await again.stop()

    run(test)


def test_late_or_lost_totals_add_nothing_twice() -> None:
    async def test() -> None:
        async with faulty_counter() as counter:
            async with serving(counter.address, window=0.02, call_timeout=0.1) as server:
                async with caller(server.port) as one:
                    await until_lease(server)
                    assert await one.add("a.1", 1.0) == 1.0
                    expected = 1.0
                    for fault in ("mute", "delay") * 3:
                        counter.mute, counter.delay = fault == "mute", 0.25 if fault == "delay" else 0.0
                        expected += 4.0
                        total = await one.add("a.1", 4.0)
                        assert isinstance(total, float) and total >= expected - 4.0
                        await asyncio.sleep(0.2)
                        counter.mute, counter.delay = False, 0.0
                        await asyncio.sleep(0.3)
                    # Each amount arrived once, although replies were lost.
                    await until_counted(counter, "a.1", expected)
                    assert (await one.statistics())["forwards_by_status"]["unknown"] >= 1
                    async with asyncio.timeout(SOON):
                        while await one.add("a.1", 0.0) != expected:
                            await asyncio.sleep(0.02)

    run(test)


def test_duplicate_total_changes_nothing() -> None:
    async def test() -> None:
        counter = CounterPeer()
        await counter.start()
        async with serving(counter.address, window=0.02) as server, caller(server.port) as one:
            await until_lease(server)
            assert await one.add("a.1", 1.0) == 1.0
            counter.scripted_answers = [counter_reply(5.0) * 2]
            await one.add("a.1", 4.0)
            await until_counted(counter, "a.1", 5.0)
            for _ in range(20):
                assert await one.add("a.1", 0.0) == 5.0
                await asyncio.sleep(0.01)
            assert await one.add("a.1", 1.0) == 6.0
            await until_counted(counter, "a.1", 6.0)
        await counter.stop()

    run(test)


def test_amount_of_a_name_that_expires_in_its_window_is_dropped_and_counted() -> None:
    async def test() -> None:
        async with faulty_counter() as counter, serving(counter.address, window=SOON) as server:
            async with caller(server.port) as one:
                await until_lease(server)
                assert await one.add("a.1", 2.0, 200) == 2.0
                assert await one.add("a.1", 3.0, 200) == 5.0
                async with asyncio.timeout(SOON):
                    while (statistics := await one.statistics())["names"]:
                        await asyncio.sleep(0.01)
                assert statistics["amount_expired"] == 3.0
                assert counter.sums["a.1"] == 2.0

    run(test)


def test_two_levels_sum_to_one_total() -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            counter = await stack.enter_async_context(faulty_counter())
            top = await stack.enter_async_context(serving(counter.address, window=0.02))
            await until_lease(top)
            below = [
                await stack.enter_async_context(serving(f"{HOST}:{top.port}", window=0.02, stale=0.05))
                for _ in range(2)
            ]
            for server in below:
                await until_lease(server)
            one, two = [await stack.enter_async_context(caller(server.port)) for server in below]
            await one.add("a.1", 5.0)
            assert await two.add("a.1", 3.0) == 8.0
            for _ in range(50):
                await one.add("a.1", 1.0)
                await two.add("a.1", 1.0)
                await asyncio.sleep(0.002)
            await until_counted(counter, "a.1", 108.0)
            for peer in (one, two):
                async with asyncio.timeout(SOON):
                    while await peer.add("a.1", 0.0) != 108.0:
                        await asyncio.sleep(0.02)
            assert counter.calls_for("a.1") < 50

    run(test)


def test_lower_aggregator_loses_its_lease_with_the_upper_one() -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            counter = await stack.enter_async_context(faulty_counter())
            top = await stack.enter_async_context(serving(counter.address, lease=0.5, call_timeout=0.2))
            await until_lease(top)
            below = await stack.enter_async_context(serving(f"{HOST}:{top.port}", lease=0.5))
            await until_lease(below)
            one = await stack.enter_async_context(caller(below.port))
            assert await one.add("a.1", 5.0) == 5.0
            counter.cut_off = True
            await until_lease(below, held=False)
            assert await one.add("a.1", 1.0) == "BUSY"
            counter.cut_off = False
            await until_lease(below)
            assert isinstance(await one.add("a.1", 0.0), float)

    run(test)


def test_long_partition_rejects_calls_and_ends_without_a_burst() -> None:
    harness = StateHarness(upstream_calls=50.0, lease=1.0, window=0.1, names=5_000, wait=1.0)
    acquire_lease(harness)
    for first in range(0, 1_000, 20):
        for number in range(first, first + 20):
            harness.add(f"c{number}.1", 1.0)
        harness.run(0.5)
    known = [name.decode() for name in harness.state.entries]
    assert len(known) == 1_000
    accepted = {name: 1.0 for name in known}
    harness.run(0.3)
    sent_before, partitioned_at = len(harness.sent), harness.now
    while harness.now - partitioned_at < 600.0:  # nothing is sent or received
        harness.now += 0.25
        for name in known[:50]:
            reply = harness.add(name, 1.0)
            if isinstance(reply, Total):
                accepted[name] += 1.0
                assert harness.now - partitioned_at <= 1.0 + 0.4
            else:
                assert reply == Busy(BusyReason.CUT_OFF)
    assert len(harness.sent) == sent_before
    assert harness.state.figures.amount_expired == sum(accepted.values()) - 1_000 > 0
    assert harness.state.entries == {}
    for number in range(1_000):
        harness.add(f"c{number}.2", 1.0)  # all customers are active again at once
    for _ in range(200):
        harness.run(0.01)
        for number in range(1_000):
            if f"c{number}.2".encode() not in harness.state.entries:
                harness.add(f"c{number}.2", 1.0)
    assert 80 <= len(harness.sent) - sent_before <= 50 * 2 + 6
    assert sum(f.amount for f in harness.sent[sent_before:]) == len(
        [f for f in harness.sent[sent_before:] if f.amount]
    )


def test_amounts_are_forwarded_after_a_partition_shorter_than_the_lifetime() -> None:
    harness = StateHarness(lease=1.0, window=0.1, upstream_calls=1000.0)
    for number in range(20):
        harness.add_known_name(f"c{number}.1", 1.0)
    for number in range(20):
        assert harness.add(f"c{number}.1", 2.0) == Total(3.0)
    harness.now += 30.0
    assert harness.add("c0.1", 1.0) == Busy(BusyReason.CUT_OFF)
    harness.run(1.0)
    assert set(harness.counter.totals.values()) - {0.0} == {3.0}
    assert harness.state.figures.amount_expired == 0.0


def test_all_gateways_connect_at_once() -> None:
    async def test() -> None:
        async with faulty_counter() as counter, serving(counter.address) as server:
            await until_lease(server)

            async def gateway(number: int) -> float | str:
                async with caller(server.port) as one:
                    return await one.add(f"customer-{number % 7}.1", 1.0)

            replies: list[float | str] = []
            for first in range(0, GATEWAYS, 275):
                replies += await asyncio.gather(*(gateway(n) for n in range(first, first + 275)))
            assert all(isinstance(total, float) for total in replies)
            for customer in range(7):
                asked = len([n for n in range(GATEWAYS) if n % 7 == customer])
                await until_counted(counter, f"customer-{customer}.1", asked)
            assert len(counter.calls) < GATEWAYS / 5
            async with asyncio.timeout(SOON):
                while server.connections:
                    await asyncio.sleep(0.01)
            assert not server.deferred_replies

    run(test)


def test_customer_far_over_quota_on_all_gateways_needs_one_call_per_window() -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            counter = await stack.enter_async_context(faulty_counter())
            server = await stack.enter_async_context(serving(counter.address, window=0.1))
            await until_lease(server)
            peers = [await stack.enter_async_context(caller(server.port)) for _ in range(110)]
            started_at = server.loop.time()
            assert await peers[0].add("a.1", 2.5) == 2.5
            for _ in range(25):
                for peer in peers:
                    peer.write_add("a.1", 2.5)
                    peer.write_add("a.1", 2.5)
                highest = await asyncio.gather(*(last_total(peer, 2) for peer in peers))
                await asyncio.sleep(0.015)
            expected_total = (1 + 110 * 50) * 2.5
            assert max(highest) == expected_total  # the last total includes all amounts
            await until_counted(counter, "a.1", expected_total)
            windows = (server.loop.time() - started_at) / 0.1
            assert counter.calls_for("a.1") <= windows + 2

    run(test)


async def last_total(peer: GatewayClient, count: int) -> float:
    """Reads `count` totals, each of which must exceed the one before, and returns the last."""
    last = 0.0
    for _ in range(count):
        total = read_value(await peer.read())
        assert isinstance(total, float) and total > last
        last = total
    return last


def test_every_customer_with_one_request_is_counted_once() -> None:
    async def test() -> None:
        async with faulty_counter() as counter:
            async with serving(counter.address, upstream_calls=1e6, names=CUSTOMERS) as server:
                await until_lease(server)
                async with caller(server.port) as one:
                    for first in range(0, CUSTOMERS, 1_000):
                        for number in range(first, first + 1_000):
                            one.write_add(f"c{number}.1", 1.0)
                        for _ in range(1_000):
                            assert read_value(await one.read()) == 1.0
                    statistics = await one.statistics()
                    assert statistics["names"] == CUSTOMERS
                    assert statistics["names_unforwarded"] == 0
                called = [name for name, _ in counter.calls if name.startswith("c")]
                assert len(called) == len(set(called)) == CUSTOMERS

    run(test)


def test_new_names_beyond_the_call_rate_are_rejected_and_not_counted() -> None:
    async def test() -> None:
        async with faulty_counter() as counter:
            async with serving(counter.address, upstream_calls=500.0, wait=0.05) as server:
                await until_lease(server)
                async with caller(server.port) as one:
                    started_at = server.loop.time()
                    added = 0
                    for first in range(0, CUSTOMERS // 10, 100):
                        for number in range(first, first + 100):
                            one.write_add(f"c{number}.1", 1.0)
                        for _ in range(100):
                            reply = read_value(await one.read())
                            assert reply in (1.0, "BUSY")
                            added += reply == 1.0
                    seconds = server.loop.time() - started_at
                counted = sum(counter.sums.values())
                assert 0 < added == counted < CUSTOMERS / 10
                assert len(counter.calls) <= 500.0 * (seconds + 0.1) + 5

    run(test)


def test_full_table_keeps_unforwarded_amounts() -> None:
    async def test() -> None:
        async with faulty_counter() as counter, serving(counter.address, names=50, window=SOON) as server:
            await until_lease(server)
            async with caller(server.port) as one:
                for number in range(50):
                    assert await one.add(f"c{number}.1", 1.0) == 1.0
                for number in range(40):
                    assert await one.add(f"c{number}.1", 1.0) == 2.0  # not forwarded within its window
                for number in range(50, 60):
                    # The ten names without unforwarded amounts are evicted.
                    assert await one.add(f"c{number}.1", 1.0) == 1.0
                for number in range(50, 60):
                    assert await one.add(f"c{number}.1", 1.0) == 2.0
                assert await one.add("c99.1", 1.0) == "BUSY"
                for number in range(40):
                    assert await one.add(f"c{number}.1", 1.0) == 3.0
                statistics = await one.statistics()
                assert (statistics["names"], statistics["names_evicted"]) == (50, 10)
                assert statistics["busy"]["table_full"] == 1
                assert "c99.1" not in counter.sums

    run(test)
