"""Measures an aggregator over loopback: python -m tests.measure_aggregator [PART...]

This is not a test and checks nothing. The aggregator is a separate process; its callers and the counter share
this one. The figures go into docs/aggregation.md with the date and the number of plays.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import functools
import json
import os
import pathlib
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

import hiredis
import uvloop

from embersill.aggregator.resp import encode_add, encode_bulk_string
from embersill.lab.peers import HOST
from tests.aggregators import AggregatorProcess, caller, read_value, until_ready

PLAYS = 3
SECONDS = 4.0  # per play
NAMES = 6_500  # per aggregator: 39,000 customers on six
CALLS_PER_S = 7_300  # per aggregator: 1,100 gateways with 40 calls per second each, on six
BUDGET = 233  # upstream calls per second and aggregator: 1,400 in total, on six
PACE_STEP = 0.01  # seconds
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class MeasuredCounter(asyncio.Protocol):
    """A connection to the counter; all connections share the totals."""

    totals: collections.defaultdict[bytes, float] = collections.defaultdict(float)
    calls = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        replies = []
        while (words := self.reader.gets()) is not False:
            MeasuredCounter.calls += 1
            self.totals[words[1]] += float(words[2])
            replies.append(encode_bulk_string(b"%.7g" % self.totals[words[1]]))
        self.transport.write(b"".join(replies))


class MeasuredCaller(asyncio.Protocol):
    """A gateway's connection that keeps `depth` calls unanswered, or with 0 sends only on `send`."""

    def __init__(self, texts: list[bytes], depth: int, seed: int) -> None:
        self.texts = texts
        self.depth = depth
        self.random = random.Random(seed)
        self.running = True
        self.replies: collections.Counter[str] = collections.Counter()
        self.reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send(self.depth)

    def send(self, count: int) -> None:
        """Writes `count` calls chosen at random."""
        self.transport.write(b"".join(self.random.choices(self.texts, k=count)))

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        received = 0
        while (reply := self.reader.gets()) is not False:
            value = read_value(reply)
            self.replies[value if isinstance(value, str) else "total"] += 1
            received += 1
        if self.depth and self.running:
            self.send(received)


@asynccontextmanager
async def aggregator(*options: str) -> AsyncIterator[AggregatorProcess]:
    """Runs an aggregator process in front of a counter in this process."""
    loop = asyncio.get_running_loop()
    MeasuredCounter.totals.clear()
    MeasuredCounter.calls = 0
    counter = await loop.create_server(MeasuredCounter, HOST, 0)
    address = f"{HOST}:{counter.sockets[0].getsockname()[1]}"
    process = AggregatorProcess("--listen", f"{HOST}:0", "--upstream", address, *options)
    await process.start()
    async with caller(process.port) as one:
        await until_ready(one)
    try:
        yield process
    finally:
        await process.stop(15)
        counter.close()


async def connect(port: int, texts: list[bytes], depth: int, count: int) -> list[MeasuredCaller]:
    """Opens `count` connections, each of which calls names at random."""
    loop = asyncio.get_running_loop()
    connections = []
    for seed in range(count):
        caller_of_seed = functools.partial(MeasuredCaller, texts, depth, seed)
        _, protocol = await loop.create_connection(caller_of_seed, HOST, port)
        connections.append(protocol)
    return connections


def encode_adds(names: list[bytes]) -> list[bytes]:
    """Encodes one call per name."""
    return [encode_add(name, 1.0, 60_000) for name in names]


def customer_names(count: int, suffix: str = "1") -> list[bytes]:
    """Returns the counter names of `count` customers in one epoch."""
    return [f"{number:016x}.{suffix}".encode() for number in range(count)]


async def open_names(port: int, names: list[bytes]) -> None:
    """Calls each name once, so that its total is known."""
    async with caller(port) as one:
        for first in range(0, len(names), 500):
            for name in names[first : first + 500]:
                one.write_add(name.decode(), 1.0)
            for _ in names[first : first + 500]:
                assert isinstance(read_value(await one.read()), float)


async def measure_calls(connections: int, depth: int) -> None:
    """Measures calls per second of a fully used core, on known names whose lifetimes span all plays."""
    names = customer_names(NAMES)
    async with aggregator("--wait-ms", "10000", "--upstream-calls", str(BUDGET)) as process:
        await open_names(process.port, names)
        for play in range(PLAYS):
            await play_calls(process, names, connections, depth, play)


async def play_calls(
    process: AggregatorProcess, names: list[bytes], connections: int, depth: int, play: int
) -> None:
    """Plays once and prints the figures."""
    callers = await connect(process.port, encode_adds(names), depth, connections)
    upstream_before, cpu_before = MeasuredCounter.calls, cpu_seconds(process.child.pid)
    started_at = time.monotonic()
    before = sum(peer.replies.total() for peer in callers)
    await asyncio.sleep(SECONDS)
    seconds, cpu = time.monotonic() - started_at, cpu_seconds(process.child.pid) - cpu_before
    replies = sum((peer.replies for peer in callers), collections.Counter[str]())
    calls = replies.total() - before
    upstream = (MeasuredCounter.calls - upstream_before) / seconds
    for peer in callers:
        peer.running = False
        peer.transport.abort()
    print(
        f"play {play}: {connections} connections, {depth} pending on each: {calls / seconds:,.0f} calls/s, "
        f"{cpu / seconds:.0%} of a core, {calls / cpu:,.0f} calls per core second, "
        f"{upstream:.0f} upstream calls/s, {dict(replies)}",
        flush=True,
    )


async def measure_memory() -> None:
    """Measures resident memory by number of names."""
    async with aggregator(
        "--wait-ms", "10000", "--upstream-calls", "1000000", "--names", "200000"
    ) as process:
        before = resident_bytes(process.child.pid)
        print(f"no names: {before / 1e6:.1f} MB", flush=True)
        names = customer_names(100_000)
        for first in range(0, len(names), 20_000):
            await open_names(process.port, names[first : first + 20_000])
            grown = resident_bytes(process.child.pid) - before
            name_count = first + 20_000
            print(f"{name_count:,} names: {grown / name_count * 1e4 / 1e6:.2f} MB per 10,000", flush=True)


async def measure_target(connections: int, budget: int, seconds: int) -> None:
    """Measures one aggregator's share of the target size, with all names new at the start."""
    names = customer_names(NAMES, "epoch")
    options = ("--upstream-calls", str(budget), "--wait-ms", "50")
    async with aggregator(*options) as process:
        callers = await connect(process.port, encode_adds(names), 0, connections)
        cpu_before, upstream_before = cpu_seconds(process.child.pid), MeasuredCounter.calls
        started_at, sent, replies = time.monotonic(), 0, collections.Counter[str]()
        for second in range(seconds):
            while (elapsed := time.monotonic() - started_at) < second + 1:
                while sent < elapsed * CALLS_PER_S:
                    callers[sent % connections].send(1)
                    sent += 1
                await asyncio.sleep(PACE_STEP)
            now = sum((peer.replies for peer in callers), collections.Counter[str]())
            if second % 5 == 4 or second < 2:
                print(f"  second {second + 1}: {dict(now - replies)}", flush=True)
            replies = now
        elapsed = time.monotonic() - started_at
        async with caller(process.port) as observer:
            statistics = await observer.statistics()
        cpu = cpu_seconds(process.child.pid) - cpu_before
        upstream = MeasuredCounter.calls - upstream_before
        print(
            f"{connections} connections, budget {budget}/s, {elapsed:.0f} s: {sent / elapsed:,.0f} calls/s, "
            f"{upstream / elapsed:.0f} upstream calls/s, {cpu / elapsed:.0%} of a core, "
            f"{resident_bytes(process.child.pid) / 1e6:.0f} MB, "
            f"totals {replies['total']:,}, busy {replies['BUSY']:,}",
            flush=True,
        )
        print(f"  {json.dumps(statistics)}", flush=True)
        for peer in callers:
            peer.transport.abort()


async def measure(parts: list[str]) -> None:
    if "calls" in parts:
        await measure_calls(connections=100, depth=1)
        await measure_calls(connections=100, depth=8)
    if "memory" in parts:
        await measure_memory()
    if "target" in parts:
        for connections in (100, 1_100):
            await measure_target(connections, BUDGET, 35)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=["calls", "memory", "target"])
    uvloop.run(measure(parser.parse_args().parts))


if __name__ == "__main__":
    main()
