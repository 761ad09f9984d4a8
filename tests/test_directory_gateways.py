"""Gateway processes with the list service: no request is lost while the leader is killed and comes back."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from embersill.lab.peers import HOST, free_port
from tests.bed import READY, Bed, Client, request, roomy_settings
from tests.lists import ListClient, Process, client_session, process, run
from tests.peers import SOON, BackendPeer, CounterPeer
from tests.test_program import ROOT, RUN, until_ready

GATEWAYS = 3


class GatewayProcess:
    """A gateway as a separate process, and access to its console; clients use its `bed`."""

    def __init__(
        self, folder: pathlib.Path, number: int, discovery: list[str], counter: str, **more: Any
    ) -> None:
        self.bed = Bed(0)
        self.bed.port, self.own_console_port = free_port(), free_port()
        self.console = self.own_console_port
        self.path, self.folder = folder / f"n{number}.json", folder / f"n{number}"
        self.folder.mkdir(exist_ok=True)
        self.path.write_text(
            json.dumps(
                {
                    **self.bed.configuration(roomy_settings(), 1024),
                    "name": f"n{number}",
                    "listen": f"{HOST}:{self.bed.port}",
                    "discovery": discovery,
                    "counter": counter,
                    "console": f"{HOST}:{self.console}",
                    "seed": f"{number:x}",
                    **more,
                }
            )
        )
        self.child: asyncio.subprocess.Process

    async def start(self, console: int = 0) -> None:
        """Starts the process, with the console port of its configuration or another."""
        self.console = console or self.own_console_port
        environ = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_") and k != "TMPDIR"}
        settings = {"RELAY_CONFIG": str(self.path), "RELAY_CONSOLE": f"{HOST}:{self.console}"}
        self.child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            RUN,
            cwd=ROOT,
            env={**environ, **settings, "TMPDIR": str(self.folder)},
            stderr=asyncio.subprocess.PIPE,
        )

    async def send_command(self, command: str) -> str:
        """The console's answer to a command; empty if the console is unreachable."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.console)
            writer.write(command.encode() + b"\n")
            async with asyncio.timeout(SOON):
                content = await reader.read()
            writer.close()
            return content.decode()
        except OSError:
            return ""

    async def begin_upgrade(self) -> asyncio.subprocess.Process:
        """Starts a second process and waits until the hand-over is done or refused; the first process."""
        old = self.child
        await self.start(free_port())
        async with asyncio.timeout(SOON):
            while not (await self.send_command("STATUS")).startswith(("done", "error a lame duck")):
                await asyncio.sleep(0.01)
        return old

    async def upgrade(self) -> int:
        """Upgrades and ends the first process with SIGTERM; its exit code."""
        old = await self.begin_upgrade()
        old.terminate()
        async with asyncio.timeout(SOON):
            await old.communicate()
        return old.returncode or 0

    async def figures(self) -> Any:
        """The console's metrics."""
        return json.loads((await self.send_command("METRICS")).splitlines()[0])

    async def wait_for_figure(self, figure: str, value: int) -> None:
        """Waits until a metric has this value."""
        async with asyncio.timeout(SOON):
            while (await self.figures())[figure] != value:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def gateways(
    folder: pathlib.Path, discovery: list[str], backends: list[BackendPeer], **more: Any
) -> AsyncIterator[list[GatewayProcess]]:
    """Runs the backends, a counter and the gateways."""
    counter = CounterPeer()
    for peer in (*backends, counter):
        await peer.start()
    processes = [GatewayProcess(folder, n, discovery, counter.address, **more) for n in range(GATEWAYS)]
    try:
        for gateway in processes:
            await gateway.start()
        yield processes
    finally:
        for gateway in processes:
            if gateway.child.returncode is None:
                gateway.child.kill()
            await gateway.child.communicate()
        for peer in (*backends, counter):
            await peer.stop()


class Load:
    """Clients that send one request after the other until stopped, and record the status of each answer."""

    def __init__(self, processes: list[GatewayProcess]) -> None:
        self.processes, self.stop_requested = processes, False
        self.asked: list[int] = []
        self.answers: list[tuple[int, int]] = []
        self.clients = [asyncio.create_task(self.send_repeatedly(n)) for n in range(2 * len(processes))]

    async def send_repeatedly(self, index: int) -> None:
        client = await self.processes[index % len(self.processes)].bed.client()
        number = index * 1_000_000
        while not self.stop_requested:
            number += 1
            self.asked.append(number)
            self.answers.append((number, await self.send(client, number)))
            await asyncio.sleep(0.005)

    async def send(self, client: Client, number: int) -> int:
        return (await client.ask(request(number, customer=f"{number % 97:016x}")))[0]

    async def wait_for_answers(self, count: int) -> None:
        until = len(self.answers) + count
        async with asyncio.timeout(3 * SOON):
            while len(self.answers) < until:
                done = [c for c in self.clients if c.done()]
                assert not done, [c.exception() for c in done]
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        self.stop_requested = True
        await asyncio.gather(*self.clients)


def test_no_request_is_lost_while_the_leader_is_killed_and_comes_back(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        backends = [BackendPeer() for _ in range(4)]
        async with (
            process(tmp_path / "a") as (leader, list_client),
            process(tmp_path / "b", "--follow", leader.address) as (follower, follower_client),
            gateways(tmp_path, [leader.address, follower.address], backends) as processes,
        ):
            for number, backend in enumerate(backends):
                await list_client.register(
                    f"b{number}", backend.address, startedAtMs=0, zone="z", leaseMs=600_000
                )
            for gateway in processes:
                await until_ready(gateway.bed)
                await gateway.wait_for_figure("hosts_listed", 4)
            load = Load(processes)
            await load.wait_for_answers(100)
            at = (await list_client.list())["generation"]
            await follower_client.wait_for_status(lambda s: s["generation"] == at)
            await leader.kill()
            await follower_client.wait_for_status(
                lambda s: s["watchers"] == GATEWAYS
            )  # all gateways use the follower
            await load.wait_for_answers(100)
            async with process(tmp_path / "a", port=leader.port) as (_, list_client):
                await list_client.drain("b0")
                for gateway in processes:
                    await gateway.wait_for_figure("hosts_down", 1)
                seen = len(backends[0].seen)
                await load.wait_for_answers(200)
                assert len(backends[0].seen) == seen  # no request after the drain
                await list_client.call(
                    "DELETE",
                    "/v1/instances/b1",
                    match=(await list_client.call("GET", "/v1/instances/b1"))[1]["version"],
                )
                for gateway in processes:
                    await gateway.wait_for_figure("hosts_listed", 3)
                await load.wait_for_answers(100)
            await load.stop()
            assert [status for _, status in load.answers] == [200] * len(load.asked)
            served = [a[1]["x-call-id"] for b in backends for a in b.seen]
            assert sorted(served) == sorted(f"{n:016x}" for n in load.asked)  # each exactly once
            for gateway in processes:
                assert (await gateway.figures())["list_age_s"] < 60

    run(test)


def test_gateways_start_and_serve_while_the_list_service_is_down_and_use_its_list_later(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        backends = [BackendPeer(), BackendPeer()]
        for backend in backends:
            await backend.start()
        addresses = [f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"]
        counter = CounterPeer()
        await counter.start()
        gateway = GatewayProcess(tmp_path, 0, addresses, counter.address)
        content = json.loads(gateway.path.read_text())
        content["known"]["instances"] = [
            {"instanceId": "b0", "hostPort": backends[0].address, "lifecycle": "SERVING"}
        ]
        gateway.path.write_text(json.dumps(content))
        await gateway.start()
        try:
            await until_ready(gateway.bed)
            client = await gateway.bed.client()
            assert (await client.ask(request(1)))[0] == 200 and len(backends[0].seen) == 1
            late = Process(tmp_path / "a", port=int(addresses[0].rpartition(":")[2]))
            await late.start()
            async with client_session(late.address) as session:
                await ListClient(session, late.address).register("b1", backends[1].address, startedAtMs=0)
            number = 1
            while not backends[1].seen:  # until the gateway has the service's list
                number += 1
                assert (await client.ask(request(number)))[0] == 200
            seen = len(backends[0].seen)
            for more in range(number + 1, number + 20):
                assert (await client.ask(request(more)))[0] == 200
            assert len(backends[0].seen) == seen
            await late.kill()
            assert (await client.ask(READY))[0] == 200
        finally:
            gateway.child.kill()
            await gateway.child.communicate()
            for peer in (*backends, counter):
                await peer.stop()

    run(test)
