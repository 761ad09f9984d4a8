"""Measures drains on real processes at steady load: python -m tests.measure_drain [PLAYS]

Not a test. A small fleet from `run`, a list service, backends as test peers and clients behind a front that
polls /ready. Every request is followed by its id: to its one answer, and to each time that a backend saw it.
The last line replaces the drain by SIGKILL, to show that losses would be seen.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from embersill.lab.peers import HttpMessage, response_bytes
from tests.bed import READY, Client, request
from tests.peers import BackendPeer
from tests.test_directory_gateways import GatewayProcess
from tests.test_ops_real import BACKENDS, Site, site
from tests.test_program import until_ready

PLAYS = 20
CLIENTS = 12
LONGEST = 0.6  # seconds of work at most, and mostly a tenth of it: longer ones the module takes for late
NOTICED = 0.1  # seconds between the front's looks at /ready; the lame duck's time is three of them
REST = 0.3  # seconds of load before and after each drain
RULE = 1.0  # seconds after the news in which a send is still allowed


class Front:
    """Knows which gateways are ready, as a load balancer would."""

    def __init__(self, made: list[GatewayProcess]) -> None:
        self.made = made
        self.ready = [False] * len(made)
        self.tasks = [asyncio.create_task(self.look(n)) for n in range(len(made))]

    async def look(self, place: int) -> None:
        while True:
            try:
                client = await self.made[place].bed.client()
                self.ready[place] = (await client.ask(READY))[0] == 200
                client.writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.ready[place] = False
            await asyncio.sleep(NOTICED)

    def choose(self) -> int:
        able = [n for n, ready in enumerate(self.ready) if ready]
        return random.choice(able) if able else 0


class Clients:
    """Ask one request after the other, each on a connection kept per gateway; how each ended is counted."""

    def __init__(self, front: Front) -> None:
        self.front, self.ending, self.number = front, False, 0
        self.ends: Counter[str] = Counter()
        self.asked: list[str] = []
        self.took: list[float] = []
        self.tasks = [asyncio.create_task(self.ask_on()) for _ in range(CLIENTS)]

    async def ask_on(self) -> None:
        kept: dict[int, Client] = {}
        while not self.ending:
            place = self.front.choose()
            self.number += 1
            number, began = self.number, time.monotonic()
            end = await self.ask(kept, place, number)
            self.ends[end] += 1
            self.asked.append(f"{number:016x}")
            self.took.append(time.monotonic() - began)

    async def ask(self, kept: dict[int, Client], place: int, number: int) -> str:
        client = kept.pop(place, None)
        try:
            if client is None or client.reader.at_eof():
                client = await self.front.made[place].bed.client()
        except OSError:
            return "not connected"
        try:
            status, headers, _ = await client.ask(request(number, customer=f"{number % 97:016x}"))
        except (OSError, asyncio.IncompleteReadError):
            return "reset"
        except TimeoutError:
            return "lost"
        if headers.get("connection") != "close":
            kept[place] = client
        return "served" if status == 200 else "refused" if status in (429, 503) else "failed"

    async def end(self) -> None:
        self.ending = True
        await asyncio.gather(*self.tasks)


class Work:
    """What backends do: it takes a while, and a tenth of it long."""

    def __init__(self, backends: list[BackendPeer]) -> None:
        self.seen: list[tuple[float, int, str]] = []
        for place, backend in enumerate(backends):
            backend.script = Endless(self.step(place))

    def step(self, place: int) -> Callable[[asyncio.StreamWriter, HttpMessage], Coroutine[Any, Any, None]]:
        async def serve(writer: asyncio.StreamWriter, got: HttpMessage) -> None:
            self.seen.append((time.monotonic(), place, got[1]["x-call-id"]))
            await asyncio.sleep(LONGEST if random.random() < 0.1 else LONGEST / 10 * random.random())
            writer.write(response_bytes(200, b"served"))

        return serve


class Endless(list[Any]):
    """A script that never runs out."""

    def __init__(self, step: Any) -> None:
        super().__init__([step])

    def pop(self, place: Any = 0) -> Any:
        return self[0]


@asynccontextmanager
async def loaded(folder: pathlib.Path, lame_duck: float = 0.3) -> AsyncIterator[tuple[Site, Clients, Work]]:
    async with site(folder, lame_duck) as fleet:
        work = Work(fleet.backends)
        front = Front(fleet.gateways)
        await asyncio.sleep(2 * NOTICED)
        clients = Clients(front)
        yield fleet, clients, work
        await clients.end()
        for task in front.tasks:
            task.cancel()


async def drain(fleet: Site, kind: str, target: str) -> float:
    began = time.monotonic()
    code, _, err = await fleet.ops("drain", kind, target, "--wait", "--timeout", "30")
    assert code == 0, err
    return time.monotonic() - began


async def again(gateway: GatewayProcess) -> None:
    assert await gateway.child.wait() == 0
    await gateway.start()
    await until_ready(gateway.bed)


async def back(fleet: Site, kind: str, target: str) -> None:
    for gateway in fleet.gateways:
        if gateway.child.returncode is not None:
            await again(gateway)
    assert (await fleet.ops("undrain", kind, target))[0] == 0


async def drains(folder: pathlib.Path, kind: str, plays: int) -> str:
    took, late = [], 0
    async with loaded(folder) as (fleet, clients, work):
        for play in range(plays):
            await asyncio.sleep(REST)
            place = play % (BACKENDS if kind == "backend" else len(fleet.gateways))
            target = {"backend": "b", "gateway": "n", "machine": "m"}[kind] + str(place)
            took.append(await drain(fleet, kind, target))
            if kind != "gateway":
                empty = time.monotonic()
                await asyncio.sleep(RULE)
                late += sum(when >= empty and where == place for when, where, _ in work.seen)
            if kind == "gateway":
                await again(fleet.gateways[place])
            await back(fleet, kind, target)
        await clients.end()
        sent = f"sends after it was empty {late}"
        return f"{kind}: {plays} drains, {told(clients, work)}; {sent}; {spread(took)}"


async def upgrades(folder: pathlib.Path, plays: int) -> str:
    """A gateway is drained, and handed over to another process while it is a lame duck."""
    took = []
    async with loaded(folder, lame_duck=1.5) as (fleet, clients, work):  # longer than a start takes
        for play in range(plays):
            await asyncio.sleep(REST)
            place = play % len(fleet.gateways)
            gateway = fleet.gateways[place]
            draining = asyncio.create_task(drain(fleet, "gateway", f"n{place}"))
            while "lame duck" not in await gateway.ask("PHASE"):
                await asyncio.sleep(0.01)
            assert await gateway.upgrade() == 0
            took.append(await draining)
            await again(gateway)
            await back(fleet, "gateway", f"n{place}")
        await clients.end()
        return f"upgrade of a lame duck: {plays} drains, {told(clients, work)}; {spread(took)}"


async def undisturbed(folder: pathlib.Path, plays: int) -> str:
    async with loaded(folder) as (fleet, clients, work):
        await asyncio.sleep(4 * plays)  # about as long as that many drains
        await clients.end()
        return f"undisturbed: {told(clients, work)}"


async def killed(folder: pathlib.Path, plays: int) -> str:
    async with loaded(folder) as (fleet, clients, work):
        for play in range(plays):
            await asyncio.sleep(REST)
            gateway = fleet.gateways[play % len(fleet.gateways)]
            gateway.child.send_signal(signal.SIGKILL)
            await gateway.child.wait()
            await gateway.start()
            await until_ready(gateway.bed)
            await asyncio.sleep(2 * NOTICED)
        await clients.end()
        return f"SIGKILL in place of a drain: {plays} times, {told(clients, work)}"


def told(clients: Clients, work: Work) -> str:
    seen = Counter(id for _, _, id in work.seen)
    twice = sum(number > 1 for number in seen.values())
    ends = ", ".join(f"{name} {number}" for name, number in sorted(clients.ends.items()))
    took = sorted(clients.took)
    tail = took[int(0.99 * len(took))]
    times = f"p99 {tail:.2f} s, longest {took[-1]:.2f} s"
    return f"{len(clients.asked)} requests: {ends}, run twice {twice}; {times}"


def spread(took: list[float]) -> str:
    took = sorted(took)
    return f"to drained {took[0]:.1f} to {took[-1]:.1f} s, median {took[len(took) // 2]:.1f} s"


async def main(plays: int) -> None:
    measures: list[Callable[[pathlib.Path], Coroutine[Any, Any, str]]] = [
        lambda f: undisturbed(f, plays),
        lambda f: drains(f, "backend", plays),
        lambda f: drains(f, "gateway", plays),
        lambda f: drains(f, "machine", plays),
        lambda f: upgrades(f, plays),
        lambda f: killed(f, plays),
    ]
    for measure in measures:
        with tempfile.TemporaryDirectory() as folder:
            print(await measure(pathlib.Path(folder)), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else PLAYS))
