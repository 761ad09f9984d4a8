"""Measures an aggregator on bounded loops over loopback: python -m tests.measure_aggregator [PART...]

Not a test: nothing here passes or fails. The aggregator is a process of its own; callers and the counter
share this one. The figures go to docs/aggregation.md with day and number of plays.
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
SECONDS = 4.0  # of a play
NAMES = 6_500  # of an aggregator: 39,000 customers on six
CALLS_PER_S = 7_300  # to an aggregator: 1,100 gateways with 40 calls a second each, on six
BUDGET = 233  # upstream calls a second of an aggregator: 1,400 in all, on six
PACE_STEP = 0.01  # seconds
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class MeasuredCounter(asyncio.Protocol):
    """A counter's connection; all share the totals."""

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
    """A gateway's connection that keeps so many calls out, or is paced from outside."""

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

    def send(self, many: int) -> None:
        self.transport.write(b"".join(self.random.choices(self.texts, k=many)))

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        came = 0
        while (reply := self.reader.gets()) is not False:
            value = read_value(reply)
            self.replies[value if isinstance(value, str) else "total"] += 1
            came += 1
        if self.depth and self.running:
            self.send(came)


@asynccontextmanager
async def aggregator(*options: str) -> AsyncIterator[AggregatorProcess]:
    loop = asyncio.get_running_loop()
    MeasuredCounter.totals.clear()
    MeasuredCounter.calls = 0
    counter = await loop.create_server(MeasuredCounter, HOST, 0)
    address = f"{HOST}:{counter.sockets[0].getsockname()[1]}"
    made = AggregatorProcess("--listen", f"{HOST}:0", "--upstream", address, *options)
    await made.start()
    async with caller(made.port) as one:
        await until_ready(one)
    try:
        yield made
    finally:
        await made.stop(15)
        counter.close()


async def connect(port: int, texts: list[bytes], depth: int, many: int) -> list[MeasuredCaller]:
    """So many connections, each of which calls names at random."""
    loop = asyncio.get_running_loop()
    made = []
    for seed in range(many):
        caller_of_seed = functools.partial(MeasuredCaller, texts, depth, seed)
        _, protocol = await loop.create_connection(caller_of_seed, HOST, port)
        made.append(protocol)
    return made


def add_texts(names: list[bytes]) -> list[bytes]:
    return [encode_add(name, 1.0, 60_000) for name in names]


def customer_names(many: int, suffix: str = "1") -> list[bytes]:
    return [f"{number:016x}.{suffix}".encode() for number in range(many)]


async def open_names(port: int, names: list[bytes]) -> None:
    """Has each name read once."""
    async with caller(port) as one:
        for first in range(0, len(names), 500):
            for name in names[first : first + 500]:
                one.write_add(name.decode(), 1.0)
            for _ in names[first : first + 500]:
                assert isinstance(read_value(await one.read()), float)


async def measure_calls(connections: int, depth: int) -> None:
    """Calls a second of a full core, on known names; all plays within the names' lives."""
    names = customer_names(NAMES)
    async with aggregator("--wait-ms", "10000", "--upstream-calls", str(BUDGET)) as made:
        await open_names(made.port, names)
        for play in range(PLAYS):
            await play_calls(made, names, connections, depth, play)


async def play_calls(
    made: AggregatorProcess, names: list[bytes], connections: int, depth: int, play: int
) -> None:
    callers = await connect(made.port, add_texts(names), depth, connections)
    upstream_before, cpu_before = MeasuredCounter.calls, cpu_seconds(made.child.pid)
    began = time.monotonic()
    before = sum(peer.replies.total() for peer in callers)
    await asyncio.sleep(SECONDS)
    seconds, cpu = time.monotonic() - began, cpu_seconds(made.child.pid) - cpu_before
    told = sum((peer.replies for peer in callers), collections.Counter[str]())
    calls = told.total() - before
    upstream = (MeasuredCounter.calls - upstream_before) / seconds
    for peer in callers:
        peer.running = False
        peer.transport.abort()
    print(
        f"play {play}: {connections} connections, {depth} out on each: {calls / seconds:,.0f} calls/s, "
        f"{cpu / seconds:.0%} of a core, {calls / cpu:,.0f} calls per core second, "
        f"{upstream:.0f} upstream calls/s, {dict(told)}",
        flush=True,
    )


async def measure_memory() -> None:
    """Resident memory by names."""
    async with aggregator("--wait-ms", "10000", "--upstream-calls", "1000000", "--names", "200000") as made:
        before = resident_bytes(made.child.pid)
        print(f"no names: {before / 1e6:.1f} MB", flush=True)
        names = customer_names(100_000)
        for first in range(0, len(names), 20_000):
            await open_names(made.port, names[first : first + 20_000])
            grown = resident_bytes(made.child.pid) - before
            many = first + 20_000
            print(f"{many:,} names: {grown / many * 1e4 / 1e6:.2f} MB per 10,000", flush=True)


async def measure_target(connections: int, budget: int, seconds: int) -> None:
    """One aggregator's part of the target size, all names new at the start."""
    names = customer_names(NAMES, "epoch")
    options = ("--upstream-calls", str(budget), "--wait-ms", "50")
    async with aggregator(*options) as made:
        callers = await connect(made.port, add_texts(names), 0, connections)
        cpu_before, upstream_before = cpu_seconds(made.child.pid), MeasuredCounter.calls
        began, sent, told = time.monotonic(), 0, collections.Counter[str]()
        for second in range(seconds):
            while (elapsed := time.monotonic() - began) < second + 1:
                while sent < elapsed * CALLS_PER_S:
                    callers[sent % connections].send(1)
                    sent += 1
                await asyncio.sleep(PACE_STEP)
            now = sum((peer.replies for peer in callers), collections.Counter[str]())
            if second % 5 == 4 or second < 2:
                print(f"  second {second + 1}: {dict(now - told)}", flush=True)
            told = now
        elapsed = time.monotonic() - began
        async with caller(made.port) as observer:
            statistics = await observer.statistics()
        cpu = cpu_seconds(made.child.pid) - cpu_before
        upstream = MeasuredCounter.calls - upstream_before
        print(
            f"{connections} connections, budget {budget}/s, {elapsed:.0f} s: {sent / elapsed:,.0f} calls/s, "
            f"{upstream / elapsed:.0f} upstream calls/s, {cpu / elapsed:.0%} of a core, "
            f"{resident_bytes(made.child.pid) / 1e6:.0f} MB, totals {told['total']:,}, busy {told['BUSY']:,}",
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
