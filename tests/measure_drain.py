"""Measures drains on real processes at steady load: python -m tests.measure_drain [REPETITIONS]

Not a test. Runs a small fleet with `run`, a list service, backends in this process, and clients behind a load
balancer that polls /ready. Every request has an id, by which its answer and its executions at backends are
counted. The last measurement ends gateways by SIGKILL in place of drains, to show that losses are detected.
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
from tests.test_ops_real import BACKENDS, RunningFleet, running_fleet
from tests.test_program import until_ready

REPETITIONS = 20
CLIENTS = 12
MAX_WORK_TIME = 0.6  # seconds, mostly up to a tenth of it; gateways treat longer requests as late
READY_CHECK_INTERVAL = 0.1  # seconds; a lame duck goes on serving for three of them
TIME_BETWEEN_DRAINS = 0.3  # seconds of load before and after each drain
# Seconds after a drain in which sends are counted: for so long after a list change a gateway may still send.
LATE_SEND_WINDOW = 1.0


class LoadBalancer:
    """Polls /ready of all gateways and chooses among the ready ones."""

    def __init__(self, gateways: list[GatewayProcess]) -> None:
        self.gateways = gateways
        self.ready = [False] * len(gateways)
        self.tasks = [asyncio.create_task(self.poll_ready(n)) for n in range(len(gateways))]

    async def poll_ready(self, number: int) -> None:
        while True:
            try:
                client = await self.gateways[number].bed.client()
                self.ready[number] = (await client.ask(READY))[0] == 200
                client.writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.ready[number] = False
            await asyncio.sleep(READY_CHECK_INTERVAL)

    def choose_gateway(self) -> int:
        ready_gateways = [n for n, ready in enumerate(self.ready) if ready]
        return random.choice(ready_gateways) if ready_gateways else 0


class Clients:
    """Clients that send one request at a time, keep a connection per gateway, and count the outcomes."""

    def __init__(self, balancer: LoadBalancer) -> None:
        self.balancer, self.stopping, self.last_number = balancer, False, 0
        self.outcomes: Counter[str] = Counter()
        self.request_ids: list[str] = []
        self.durations: list[float] = []
        self.tasks = [asyncio.create_task(self.run_client()) for _ in range(CLIENTS)]

    async def run_client(self) -> None:
        connections: dict[int, Client] = {}
        while not self.stopping:
            gateway = self.balancer.choose_gateway()
            self.last_number += 1
            number, started_at = self.last_number, time.monotonic()
            outcome = await self.send_request(connections, gateway, number)
            self.outcomes[outcome] += 1
            self.request_ids.append(f"{number:016x}")
            self.durations.append(time.monotonic() - started_at)

    async def send_request(self, connections: dict[int, Client], gateway: int, number: int) -> str:
        client = connections.pop(gateway, None)
        try:
            if client is None or client.reader.at_eof():
                client = await self.balancer.gateways[gateway].bed.client()
        except OSError:
            return "not connected"
        try:
            status, headers, _ = await client.ask(request(number, customer=f"{number % 97:016x}"))
        except (OSError, asyncio.IncompleteReadError):
            return "reset"
        except TimeoutError:
            return "lost"
        if headers.get("connection") != "close":
            connections[gateway] = client
        return "served" if status == 200 else "refused" if status in (429, 503) else "failed"

    async def stop(self) -> None:
        self.stopping = True
        await asyncio.gather(*self.tasks)


class BackendWork:
    """The scripts of the backends: a delay, long for a tenth of the requests; records each execution."""

    def __init__(self, backends: list[BackendPeer]) -> None:
        self.executions: list[tuple[float, int, str]] = []
        for number, backend in enumerate(backends):
            backend.script = RepeatedStep(self.make_step(number))

    def make_step(
        self, number: int
    ) -> Callable[[asyncio.StreamWriter, HttpMessage], Coroutine[Any, Any, None]]:
        async def serve(writer: asyncio.StreamWriter, got: HttpMessage) -> None:
            self.executions.append((time.monotonic(), number, got[1]["x-call-id"]))
            await asyncio.sleep(
                MAX_WORK_TIME if random.random() < 0.1 else MAX_WORK_TIME / 10 * random.random()
            )
            writer.write(response_bytes(200, b"served"))

        return serve


class RepeatedStep(list[Any]):
    """A backend script that repeats one step without end."""

    def __init__(self, step: Any) -> None:
        super().__init__([step])

    def pop(self, index: Any = 0) -> Any:
        return self[0]


@asynccontextmanager
async def loaded_fleet(
    directory: pathlib.Path, lame_duck: float = 0.3
) -> AsyncIterator[tuple[RunningFleet, Clients, BackendWork]]:
    """Runs a fleet under steady load."""
    async with running_fleet(directory, lame_duck) as fleet:
        work = BackendWork(fleet.backends)
        balancer = LoadBalancer(fleet.gateways)
        await asyncio.sleep(2 * READY_CHECK_INTERVAL)
        clients = Clients(balancer)
        yield fleet, clients, work
        await clients.stop()
        for task in balancer.tasks:
            task.cancel()


async def run_drain(fleet: RunningFleet, kind: str, target: str) -> float:
    """Runs the drain command to its end; returns the seconds that it took."""
    started_at = time.monotonic()
    code, _, err = await fleet.run_command("drain", kind, target, "--wait", "--timeout", "30")
    assert code == 0, err
    return time.monotonic() - started_at


async def restart_ended(gateway: GatewayProcess) -> None:
    """Waits until a gateway has exited with 0 and starts it again."""
    assert await gateway.child.wait() == 0
    await gateway.start()
    await until_ready(gateway.bed)


async def undrain(fleet: RunningFleet, kind: str, target: str) -> None:
    """Restarts the gateways that have exited and runs the undrain command."""
    for gateway in fleet.gateways:
        if gateway.child.returncode is not None:
            await restart_ended(gateway)
    assert (await fleet.run_command("undrain", kind, target))[0] == 0


async def measure_drains(directory: pathlib.Path, kind: str, repetitions: int) -> str:
    """Drains and undrains backends, gateways or machines in turn."""
    durations, late = [], 0
    async with loaded_fleet(directory) as (fleet, clients, work):
        for repetition in range(repetitions):
            await asyncio.sleep(TIME_BETWEEN_DRAINS)
            number = repetition % (BACKENDS if kind == "backend" else len(fleet.gateways))
            target = {"backend": "b", "gateway": "n", "machine": "m"}[kind] + str(number)
            durations.append(await run_drain(fleet, kind, target))
            if kind != "gateway":
                empty_at = time.monotonic()
                await asyncio.sleep(LATE_SEND_WINDOW)
                late += sum(when >= empty_at and where == number for when, where, _ in work.executions)
            if kind == "gateway":
                await restart_ended(fleet.gateways[number])
            await undrain(fleet, kind, target)
        await clients.stop()
        sent = f"sends after it was empty {late}"
        return (
            f"{kind}: {repetitions} drains, {describe_requests(clients, work)}; {sent}; "
            f"{describe_drain_times(durations)}"
        )


async def measure_upgrades(directory: pathlib.Path, repetitions: int) -> str:
    """Drains gateways and hands each over to a successor while it is a lame duck."""
    durations = []
    async with loaded_fleet(directory, lame_duck=1.5) as (fleet, clients, work):  # longer than a start takes
        for repetition in range(repetitions):
            await asyncio.sleep(TIME_BETWEEN_DRAINS)
            number = repetition % len(fleet.gateways)
            gateway = fleet.gateways[number]
            draining = asyncio.create_task(run_drain(fleet, "gateway", f"n{number}"))
            while "lame duck" not in await gateway.send_command("PHASE"):
                await asyncio.sleep(0.01)
            assert await gateway.upgrade() == 0
            durations.append(await draining)
            await restart_ended(gateway)
            await undrain(fleet, "gateway", f"n{number}")
        await clients.stop()
        return (
            f"upgrade of a lame duck: {repetitions} drains, {describe_requests(clients, work)}; "
            f"{describe_drain_times(durations)}"
        )


async def measure_undisturbed(directory: pathlib.Path, repetitions: int) -> str:
    """Measures the load alone, for comparison."""
    async with loaded_fleet(directory) as (fleet, clients, work):
        await asyncio.sleep(4 * repetitions)  # about as long as that many drains
        await clients.stop()
        return f"undisturbed: {describe_requests(clients, work)}"


async def measure_kills(directory: pathlib.Path, repetitions: int) -> str:
    """Kills gateways with SIGKILL and restarts them."""
    async with loaded_fleet(directory) as (fleet, clients, work):
        for repetition in range(repetitions):
            await asyncio.sleep(TIME_BETWEEN_DRAINS)
            gateway = fleet.gateways[repetition % len(fleet.gateways)]
            gateway.child.send_signal(signal.SIGKILL)
            await gateway.child.wait()
            await gateway.start()
            await until_ready(gateway.bed)
            await asyncio.sleep(2 * READY_CHECK_INTERVAL)
        await clients.stop()
        return f"SIGKILL in place of a drain: {repetitions} times, {describe_requests(clients, work)}"


def describe_requests(clients: Clients, work: BackendWork) -> str:
    executions = Counter(id for _, _, id in work.executions)
    repeated = sum(number > 1 for number in executions.values())
    outcomes = ", ".join(f"{name} {number}" for name, number in sorted(clients.outcomes.items()))
    durations = sorted(clients.durations)
    percentile_99 = durations[int(0.99 * len(durations))]
    times = f"p99 {percentile_99:.2f} s, longest {durations[-1]:.2f} s"
    return f"{len(clients.request_ids)} requests: {outcomes}, run twice {repeated}; {times}"


def describe_drain_times(durations: list[float]) -> str:
    durations = sorted(durations)
    return (
        f"to drained {durations[0]:.1f} to {durations[-1]:.1f} s, "
        f"median {durations[len(durations) // 2]:.1f} s"
    )


async def main(repetitions: int) -> None:
    measurements: list[Callable[[pathlib.Path], Coroutine[Any, Any, str]]] = [
        lambda f: measure_undisturbed(f, repetitions),
        lambda f: measure_drains(f, "backend", repetitions),
        lambda f: measure_drains(f, "gateway", repetitions),
        lambda f: measure_drains(f, "machine", repetitions),
        lambda f: measure_upgrades(f, repetitions),
        lambda f: measure_kills(f, repetitions),
    ]
    for measurement in measurements:
        with tempfile.TemporaryDirectory() as directory:
            print(await measurement(pathlib.Path(directory)), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else REPETITIONS))
