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

from embersill.lab.peers import Asked, message
from tests.bed import READY, Client, request
from tests.peers import BackendPeer
from tests.test_directory_gateways import GatewayProcess
from tests.test_ops_real import BACKENDS, RunningFleet, running_fleet
from tests.test_program import until_ready

REPETITIONS = 20
CLIENTS = 12
MAX_WORK_TIME = (
    0.6  # seconds of work at most, and mostly a tenth of it: longer ones the module takes for late
)
READY_CHECK_INTERVAL = (
    0.1  # seconds between the front's looks at /ready; the lame duck's time is three of them
)
TIME_BETWEEN_DRAINS = 0.3  # seconds of load before and after each drain
LATE_SEND_WINDOW = 1.0  # seconds after the news in which a send is still allowed


class LoadBalancer:
    """Knows which gateways are ready, as a load balancer would."""

    def __init__(self, made: list[GatewayProcess]) -> None:
        self.gateways = made
        self.ready = [False] * len(made)
        self.tasks = [asyncio.create_task(self.poll_ready(n)) for n in range(len(made))]

    async def poll_ready(self, place: int) -> None:
        while True:
            try:
                client = await self.gateways[place].bed.client()
                self.ready[place] = (await client.ask(READY))[0] == 200
                client.writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.ready[place] = False
            await asyncio.sleep(READY_CHECK_INTERVAL)

    def choose_gateway(self) -> int:
        able = [n for n, ready in enumerate(self.ready) if ready]
        return random.choice(able) if able else 0


class Clients:
    """Ask one request after the other, each on a connection kept per gateway; how each ended is counted."""

    def __init__(self, front: LoadBalancer) -> None:
        self.balancer, self.stopping, self.last_number = front, False, 0
        self.outcomes: Counter[str] = Counter()
        self.request_ids: list[str] = []
        self.durations: list[float] = []
        self.tasks = [asyncio.create_task(self.run_client()) for _ in range(CLIENTS)]

    async def run_client(self) -> None:
        kept: dict[int, Client] = {}
        while not self.stopping:
            place = self.balancer.choose_gateway()
            self.last_number += 1
            number, began = self.last_number, time.monotonic()
            end = await self.send_request(kept, place, number)
            self.outcomes[end] += 1
            self.request_ids.append(f"{number:016x}")
            self.durations.append(time.monotonic() - began)

    async def send_request(self, kept: dict[int, Client], place: int, number: int) -> str:
        client = kept.pop(place, None)
        try:
            if client is None or client.reader.at_eof():
                client = await self.balancer.gateways[place].bed.client()
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

    async def stop(self) -> None:
        self.stopping = True
        await asyncio.gather(*self.tasks)


class BackendWork:
    """What backends do: it takes a while, and a tenth of it long."""

    def __init__(self, backends: list[BackendPeer]) -> None:
        self.executions: list[tuple[float, int, str]] = []
        for place, backend in enumerate(backends):
            backend.script = RepeatedStep(self.make_step(place))

    def make_step(self, place: int) -> Callable[[asyncio.StreamWriter, Asked], Coroutine[Any, Any, None]]:
        async def serve(writer: asyncio.StreamWriter, got: Asked) -> None:
            self.executions.append((time.monotonic(), place, got[1]["x-call-id"]))
            await asyncio.sleep(
                MAX_WORK_TIME if random.random() < 0.1 else MAX_WORK_TIME / 10 * random.random()
            )
            writer.write(message(200, b"served"))

        return serve


class RepeatedStep(list[Any]):
    """A script that never runs out."""

    def __init__(self, step: Any) -> None:
        super().__init__([step])

    def pop(self, place: Any = 0) -> Any:
        return self[0]


@asynccontextmanager
async def loaded_fleet(
    folder: pathlib.Path, lame_duck: float = 0.3
) -> AsyncIterator[tuple[RunningFleet, Clients, BackendWork]]:
    async with running_fleet(folder, lame_duck) as fleet:
        work = BackendWork(fleet.backends)
        front = LoadBalancer(fleet.gateways)
        await asyncio.sleep(2 * READY_CHECK_INTERVAL)
        clients = Clients(front)
        yield fleet, clients, work
        await clients.stop()
        for task in front.tasks:
            task.cancel()


async def run_drain(fleet: RunningFleet, kind: str, target: str) -> float:
    began = time.monotonic()
    code, _, err = await fleet.run_command("drain", kind, target, "--wait", "--timeout", "30")
    assert code == 0, err
    return time.monotonic() - began


async def restart_ended(gateway: GatewayProcess) -> None:
    assert await gateway.child.wait() == 0
    await gateway.start()
    await until_ready(gateway.bed)


async def undrain(fleet: RunningFleet, kind: str, target: str) -> None:
    for gateway in fleet.gateways:
        if gateway.child.returncode is not None:
            await restart_ended(gateway)
    assert (await fleet.run_command("undrain", kind, target))[0] == 0


async def measure_drains(folder: pathlib.Path, kind: str, plays: int) -> str:
    took, late = [], 0
    async with loaded_fleet(folder) as (fleet, clients, work):
        for play in range(plays):
            await asyncio.sleep(TIME_BETWEEN_DRAINS)
            place = play % (BACKENDS if kind == "backend" else len(fleet.gateways))
            target = {"backend": "b", "gateway": "n", "machine": "m"}[kind] + str(place)
            took.append(await run_drain(fleet, kind, target))
            if kind != "gateway":
                empty = time.monotonic()
                await asyncio.sleep(LATE_SEND_WINDOW)
                late += sum(when >= empty and where == place for when, where, _ in work.executions)
            if kind == "gateway":
                await restart_ended(fleet.gateways[place])
            await undrain(fleet, kind, target)
        await clients.stop()
        sent = f"sends after it was empty {late}"
        return (
            f"{kind}: {plays} drains, {describe_requests(clients, work)}; {sent}; "
            f"{describe_drain_times(took)}"
        )


async def measure_upgrades(folder: pathlib.Path, plays: int) -> str:
    """A gateway is drained, and handed over to another process while it is a lame duck."""
    took = []
    async with loaded_fleet(folder, lame_duck=1.5) as (fleet, clients, work):  # longer than a start takes
        for play in range(plays):
            await asyncio.sleep(TIME_BETWEEN_DRAINS)
            place = play % len(fleet.gateways)
            gateway = fleet.gateways[place]
            draining = asyncio.create_task(run_drain(fleet, "gateway", f"n{place}"))
            while "lame duck" not in await gateway.ask("PHASE"):
                await asyncio.sleep(0.01)
            assert await gateway.upgrade() == 0
            took.append(await draining)
            await restart_ended(gateway)
            await undrain(fleet, "gateway", f"n{place}")
        await clients.stop()
        return (
            f"upgrade of a lame duck: {plays} drains, {describe_requests(clients, work)}; "
            f"{describe_drain_times(took)}"
        )


async def measure_undisturbed(folder: pathlib.Path, plays: int) -> str:
    async with loaded_fleet(folder) as (fleet, clients, work):
        await asyncio.sleep(4 * plays)  # about as long as that many drains
        await clients.stop()
        return f"undisturbed: {describe_requests(clients, work)}"


async def measure_kills(folder: pathlib.Path, plays: int) -> str:
    async with loaded_fleet(folder) as (fleet, clients, work):
        for play in range(plays):
            await asyncio.sleep(TIME_BETWEEN_DRAINS)
            gateway = fleet.gateways[play % len(fleet.gateways)]
            gateway.child.send_signal(signal.SIGKILL)
            await gateway.child.wait()
            await gateway.start()
            await until_ready(gateway.bed)
            await asyncio.sleep(2 * READY_CHECK_INTERVAL)
        await clients.stop()
        return f"SIGKILL in place of a drain: {plays} times, {describe_requests(clients, work)}"


def describe_requests(clients: Clients, work: BackendWork) -> str:
    seen = Counter(id for _, _, id in work.executions)
    twice = sum(number > 1 for number in seen.values())
    ends = ", ".join(f"{name} {number}" for name, number in sorted(clients.outcomes.items()))
    took = sorted(clients.durations)
    tail = took[int(0.99 * len(took))]
    times = f"p99 {tail:.2f} s, longest {took[-1]:.2f} s"
    return f"{len(clients.request_ids)} requests: {ends}, run twice {twice}; {times}"


def describe_drain_times(took: list[float]) -> str:
    took = sorted(took)
    return f"to drained {took[0]:.1f} to {took[-1]:.1f} s, median {took[len(took) // 2]:.1f} s"


async def main(plays: int) -> None:
    measures: list[Callable[[pathlib.Path], Coroutine[Any, Any, str]]] = [
        lambda f: measure_undisturbed(f, plays),
        lambda f: measure_drains(f, "backend", plays),
        lambda f: measure_drains(f, "gateway", plays),
        lambda f: measure_drains(f, "machine", plays),
        lambda f: measure_upgrades(f, plays),
        lambda f: measure_kills(f, plays),
    ]
    for measure in measures:
        with tempfile.TemporaryDirectory() as folder:
            print(await measure(pathlib.Path(folder)), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else REPETITIONS))
