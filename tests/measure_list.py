"""Measures the list service with the gateway's discovery client: python -m tests.measure_list

Not a test: nothing here passes or fails. The figures go to docs/directory.md with the day and repetitions.
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
    """The discovery clients of a fleet of gateways, in this process."""

    def __init__(self, addresses: list[str], many: int = FLEET_SIZE) -> None:
        self.generations = [0] * many
        self.changed = asyncio.Condition()
        self.call_times: list[float] = []
        seeds = random.Random()  # different in each repetition, as in each start of a gateway
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
        """A callback that records the generation that a client has."""

        def record(listing: Listing) -> None:
            self.generations[number] = listing.generation

        return record

    def record_call_time(self, call: Call) -> Call:
        """A call that also records when it is made."""

        async def timed_call() -> Listing:
            self.call_times.append(time.monotonic())
            return await call()

        return timed_call

    async def until(self, generation: int) -> None:
        """Waits until all clients have this generation."""
        while min(self.generations) < generation:
            await asyncio.sleep(0.0005)

    def end(self) -> None:
        for task, made in zip(self.tasks, self.clients, strict=True):
            task.cancel()
            made.disconnect()


async def register_fleet(list_client: ListClient, count: int = FLEET_SIZE) -> None:
    for number in range(count):
        await list_client.register(
            f"s-{number:08x}",
            f"10.1.0.{number % 250}:5000",
            zone="room-a",
            machineType="standard-3core",
            leaseMs=600_000,
        )


async def change_delivery(folder: pathlib.Path) -> str:
    """The time from a write's answer until the last watcher has the change."""
    async with process(folder) as (made, list_client):
        await register_fleet(list_client)
        watchers = Watchers([made.address])
        await watchers.until((await list_client.list())["generation"])
        took = []
        for number in range(WRITES):
            await list_client.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
            generation = await list_client.drain(f"s-{number:08x}")
            answered = time.monotonic()
            await watchers.until(generation)
            took.append(time.monotonic() - answered)
        watchers.end()
    took.sort()
    median, longest = 1e3 * statistics.median(took), 1e3 * took[-1]
    return f"news: median {median:.0f} ms, longest {longest:.0f} ms of {WRITES} writes"


async def replacement(folder: pathlib.Path) -> str:
    """Requests and bytes while all instances are replaced, ten at a time, and the bytes with full lists."""
    async with process(folder) as (made, list_client):
        await register_fleet(list_client)
        watchers = Watchers([made.address])
        await watchers.until((await list_client.list())["generation"])
        await list_client.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
        before = (await list_client.wait_for_status(lambda s: True))["figures"]
        for first in range(0, FLEET_SIZE, 10):
            await asyncio.gather(*(replace(list_client, n) for n in range(first, first + 10)))
            await asyncio.sleep(0.1)
        await watchers.until((await list_client.list())["generation"])
        await list_client.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
        after = (await list_client.wait_for_status(lambda s: True))["figures"]
        size = len(str(await list_client.list()))
        watchers.end()
    asked = after["watches"] - before["watches"]
    sent, changed = after["bytes told"] - before["bytes told"], after["writes"] - before["writes"]
    return (
        f"replacement: {changed} writes, {asked} watches, {sent / 1e6:.1f} MB sent; "
        f"{asked * size / 1e6:.0f} MB with full lists of {size / 1e3:.0f} kB"
    )


async def replace(list_client: ListClient, number: int) -> None:
    """The old instance reports that it drains, a new one registers, and the old one is removed."""
    old = f"s-{number:08x}"
    _, shown, _ = await list_client.call("GET", f"/v1/instances/{old}")
    _, shown, _ = await list_client.call(
        "PUT",
        f"/v1/instances/{old}/lifecycle",
        {"process": f"p-{old}", "lifecycle": "DRAINING"},
        match=shown["version"],
    )
    await list_client.register(
        f"s-{number + FLEET_SIZE:08x}",
        f"10.2.0.{number % 250}:5000",
        zone="room-a",
        machineType="standard-3core",
        leaseMs=600_000,
    )
    await list_client.call("DELETE", f"/v1/instances/{old}", match=shown["version"])


async def recovery(folder: pathlib.Path) -> str:
    """The time from the start of the process until it listens, with a log of 20,000 batches."""
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
    """How the watchers return after the service was killed and down for five seconds."""
    client.JITTER, before = jitter, client.JITTER
    try:
        return f"joint return, jitter {jitter}: {await measure_return(folder)}"
    finally:
        client.JITTER = before


async def measure_return(folder: pathlib.Path) -> str:
    made = Process(folder)
    await made.start()
    async with process(folder.with_name("other")) as (_, list_client):
        list_client.address = made.address
        await register_fleet(list_client)
        watchers = Watchers([made.address])
        await watchers.until((await list_client.list())["generation"])
        await made.kill(signal.SIGKILL)
        await asyncio.sleep(5.0)
        again = Process(folder, port=made.port)
        await again.start()
        restarted_at = time.monotonic()
        generation = (await list_client.list())["generation"]
        await watchers.until(generation)
        took = time.monotonic() - restarted_at
        watchers.end()
        await again.kill()
    after = [t for t in watchers.call_times if t >= restarted_at]
    peak = max(sum(t <= other < t + 0.1 for other in after) for t in after)
    return f"at most {peak} calls in 0.1 s, all up to date after {took:.1f} s"


async def fail_over(folder: pathlib.Path) -> str:
    """How the watchers turn to the follower after the leader was killed."""
    async with (
        process(folder) as (leader, list_client),
        process(folder.with_name("copy"), "--follow", leader.address) as (
            follower,
            follower_client,
        ),
    ):
        await register_fleet(list_client)
        watchers = Watchers([leader.address, follower.address])
        generation = (await list_client.list())["generation"]
        await watchers.until(generation)
        await follower_client.wait_for_status(lambda s: s["generation"] == generation)
        watchers.call_times.clear()
        killed_at = time.monotonic()
        await leader.kill(signal.SIGKILL)
        await follower_client.wait_for_status(lambda s: s["watchers"] == FLEET_SIZE)
        took = time.monotonic() - killed_at
        watchers.end()
    peak = max(sum(t <= other < t + 0.1 for other in watchers.call_times) for t in watchers.call_times)
    return f"fail-over: at most {peak} calls in 0.1 s, all watch again after {took:.1f} s"


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
