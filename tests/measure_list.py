"""Measures the list service with the gateway's own client, on bounded loops: python -m tests.measure_list

Not a test: nothing here passes or fails. The figures go to docs/directory.md with day and number of plays.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import statistics
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any

from embersill.directory.form import Entry, Record
from embersill.directory.logfile import Log
from embersill.net import discovery as client
from embersill.net.discovery import Discovery
from embersill.net.listing import Listing, read_address
from tests.lists import ListClient, Process, process

Call = Callable[[], Coroutine[Any, Any, Listing]]
FLEET_SIZE = 200  # gateways, and backends
WRITES = 40
REPETITIONS = 3


class Watchers:
    """As many gateways' clients as the fleet has, in this process."""

    def __init__(self, addresses: list[str], many: int = FLEET_SIZE) -> None:
        self.generations = [0] * many
        self.changed = asyncio.Condition()
        self.called: list[float] = []
        seeds = random.Random()  # another for each play, as for each start of a gateway
        self.clients = [
            Discovery(
                [read_address(a) for a in addresses],
                5.0,
                self.record_generation(n),
                None,
                seeds.getrandbits(32),
                many,
            )
            for n in range(many)
        ]
        for made in self.clients:
            made.call = self.record_call_time(made.call)  # type: ignore[method-assign]
        self.tasks = [asyncio.create_task(made.run()) for made in self.clients]

    def record_generation(self, number: int) -> Callable[[Listing], None]:
        def tell(listing: Listing) -> None:
            self.generations[number] = listing.generation

        return tell

    def record_call_time(self, call: Call) -> Call:
        async def made() -> Listing:
            self.called.append(time.monotonic())
            return await call()

        return made

    async def until(self, generation: int) -> None:
        while min(self.generations) < generation:
            await asyncio.sleep(0.0005)

    def end(self) -> None:
        for task, made in zip(self.tasks, self.clients, strict=True):
            task.cancel()
            made.drop()


async def fill(calls: ListClient, many: int = FLEET_SIZE) -> None:
    for number in range(many):
        await calls.register(
            f"s-{number:08x}",
            f"10.1.0.{number % 250}:5000",
            zone="room-a",
            machineType="standard-3core",
            leaseMs=600_000,
        )


async def change_delivery(folder: pathlib.Path) -> str:
    """From a write's answer to the last watcher told."""
    async with process(folder) as (made, calls):
        await fill(calls)
        watchers = Watchers([made.address])
        await watchers.until((await calls.list())["generation"])
        took = []
        for number in range(WRITES):
            await calls.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
            generation = await calls.drain(f"s-{number:08x}")
            answered = time.monotonic()
            await watchers.until(generation)
            took.append(time.monotonic() - answered)
        watchers.end()
    took.sort()
    median, longest = 1e3 * statistics.median(took), 1e3 * took[-1]
    return f"news: median {median:.0f} ms, longest {longest:.0f} ms of {WRITES} writes"


async def replacement(folder: pathlib.Path) -> str:
    """All instances replaced, ten at a time: calls and bytes, and what whole lists would have cost."""
    async with process(folder) as (made, calls):
        await fill(calls)
        watchers = Watchers([made.address])
        await watchers.until((await calls.list())["generation"])
        await calls.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
        before = (await calls.wait_for_status(lambda s: True))["figures"]
        for first in range(0, FLEET_SIZE, 10):
            await asyncio.gather(*(replace(calls, n) for n in range(first, first + 10)))
            await asyncio.sleep(0.1)
        await watchers.until((await calls.list())["generation"])
        await calls.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
        after = (await calls.wait_for_status(lambda s: True))["figures"]
        size = len(str(await calls.list()))
        watchers.end()
    asked = after["watches"] - before["watches"]
    told, changed = after["bytes told"] - before["bytes told"], after["writes"] - before["writes"]
    return (
        f"replacement: {changed} writes, {asked} watches, {told / 1e6:.1f} MB told; "
        f"{asked * size / 1e6:.0f} MB by whole lists of {size / 1e3:.0f} kB"
    )


async def replace(calls: ListClient, number: int) -> None:
    """The old one says that it drains and leaves, and a new one comes."""
    old = f"s-{number:08x}"
    _, shown, _ = await calls.call("GET", f"/v1/instances/{old}")
    _, shown, _ = await calls.call(
        "PUT",
        f"/v1/instances/{old}/lifecycle",
        {"process": f"p-{old}", "lifecycle": "DRAINING"},
        match=shown["version"],
    )
    await calls.register(
        f"s-{number + FLEET_SIZE:08x}",
        f"10.2.0.{number % 250}:5000",
        zone="room-a",
        machineType="standard-3core",
        leaseMs=600_000,
    )
    await calls.call("DELETE", f"/v1/instances/{old}", match=shown["version"])


async def recovery(folder: pathlib.Path) -> str:
    """From the start of the process until it listens, with a log of 20,000 batches."""
    log = Log(folder, compact_at=2**40)
    for number in range(20_000):
        id = f"s-{number % FLEET_SIZE:08x}"
        entry = Entry(
            "10.1.0.18:5000", "room-a", "standard-3core", 0, "SERVING", 1.0, number, f"p{number}", 600_000
        )
        record = Record(log.store.generation + 1, id, entry, None)
        log.append([record])
        log.store.apply([record])
    size = log.size
    log.close()
    took = []
    for _ in range(REPETITIONS):
        began = time.monotonic()
        made = Process(folder)
        await made.start()
        took.append(time.monotonic() - began)
        await made.kill()
    spread = f"{min(took):.2f} to {max(took):.2f}"
    return f"recovery: {size / 1e6:.1f} MB of log in 20000 batches, {spread} s to listen"


async def joint_return(folder: pathlib.Path, jitter: float) -> str:
    """The service is killed and is away for five seconds: how its readers come back."""
    client.JITTER, before = jitter, client.JITTER
    try:
        return f"joint return, jitter {jitter}: {await come_back(folder)}"
    finally:
        client.JITTER = before


async def come_back(folder: pathlib.Path) -> str:
    made = Process(folder)
    await made.start()
    async with process(folder.with_name("other")) as (_, calls):
        calls.address = made.address
        await fill(calls)
        watchers = Watchers([made.address])
        await watchers.until((await calls.list())["generation"])
        await made.kill(signal.SIGKILL)
        await asyncio.sleep(5.0)
        again = Process(folder, port=made.port)
        await again.start()
        up = time.monotonic()
        generation = (await calls.list())["generation"]
        await watchers.until(generation)
        took = time.monotonic() - up
        watchers.end()
        await again.kill()
    after = [t for t in watchers.called if t >= up]
    most = max(sum(t <= other < t + 0.1 for other in after) for t in after)
    return f"at most {most} calls in 0.1 s, all told after {took:.1f} s"


async def fail_over(folder: pathlib.Path) -> str:
    """The leader is killed: how its readers come to the follower."""
    async with (
        process(folder) as (leader, calls),
        process(folder.with_name("copy"), "--follow", leader.address) as (follower, copy),
    ):
        await fill(calls)
        watchers = Watchers([leader.address, follower.address])
        generation = (await calls.list())["generation"]
        await watchers.until(generation)
        await copy.wait_for_status(lambda s: s["generation"] == generation)
        watchers.called.clear()
        gone = time.monotonic()
        await leader.kill(signal.SIGKILL)
        await copy.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
        took = time.monotonic() - gone
        watchers.end()
    most = max(sum(t <= other < t + 0.1 for other in watchers.called) for t in watchers.called)
    return f"fail-over: at most {most} calls in 0.1 s, all watch again after {took:.1f} s"


async def main() -> None:
    measures: list[Callable[[pathlib.Path], Any]] = [
        change_delivery,
        replacement,
        recovery,
        lambda f: joint_return(f, 0.5),
        lambda f: joint_return(f, 0.0),
        fail_over,
    ]
    for measure in measures:
        for _ in range(1 if measure is recovery else REPETITIONS):
            with tempfile.TemporaryDirectory() as folder:
                print(await measure(pathlib.Path(folder) / "data"), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
