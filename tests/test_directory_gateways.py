"""Gateways from `run` on the list service: a leader is killed, a follower takes over, requests counted."""

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
    """One gateway as a process of its own, and the clients' and staff's way to it."""

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
                    **self.bed.told(roomy_settings(), 1024),
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
        """With the console of the configuration, or another."""
        self.console = console or self.own_console_port
        environ = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_") and k != "TMPDIR"}
        own = {"RELAY_CONFIG": str(self.path), "RELAY_CONSOLE": f"{HOST}:{self.console}"}
        self.child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            RUN,
            cwd=ROOT,
            env={**environ, **own, "TMPDIR": str(self.folder)},
            stderr=asyncio.subprocess.PIPE,
        )

    async def send_command(self, line: str) -> str:
        """What the console says; nothing where it is not there."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.console)
            writer.write(line.encode() + b"\n")
            async with asyncio.timeout(SOON):
                told = await reader.read()
            writer.close()
            return told.decode()
        except OSError:
            return ""

    async def begin_upgrade(self) -> asyncio.subprocess.Process:
        """As staff do: a second process, to its yes, or to its no as it goes on as a lame duck. The first."""
        old = self.child
        await self.start(free_port())
        async with asyncio.timeout(SOON):
            while not (await self.send_command("STATUS")).startswith(("done", "error a lame duck")):
                await asyncio.sleep(0.01)
        return old

    async def upgrade(self) -> int:
        """Begins one, and ends the first process with SIGTERM: its exit code."""
        old = await self.begin_upgrade()
        old.terminate()
        async with asyncio.timeout(SOON):
            await old.communicate()
        return old.returncode or 0

    async def figures(self) -> Any:
        return json.loads((await self.send_command("METRICS")).splitlines()[0])

    async def wait_for_figure(self, figure: str, value: int) -> None:
        async with asyncio.timeout(SOON):
            while (await self.figures())[figure] != value:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def gateways(
    folder: pathlib.Path, discovery: list[str], backends: list[BackendPeer], **more: Any
) -> AsyncIterator[list[GatewayProcess]]:
    counter = CounterPeer()
    for peer in (*backends, counter):
        await peer.start()
    made = [GatewayProcess(folder, n, discovery, counter.address, **more) for n in range(GATEWAYS)]
    try:
        for gateway in made:
            await gateway.start()
        yield made
    finally:
        for gateway in made:
            if gateway.child.returncode is None:
                gateway.child.kill()
            await gateway.child.communicate()
        for peer in (*backends, counter):
            await peer.stop()


class Load:
    """Clients that ask one request after the other until told to end; each answer is counted."""

    def __init__(self, made: list[GatewayProcess]) -> None:
        self.made, self.ending = made, False
        self.asked: list[int] = []
        self.answers: list[tuple[int, int]] = []
        self.clients = [asyncio.create_task(self.ask_on(n)) for n in range(2 * len(made))]

    async def ask_on(self, place: int) -> None:
        client = await self.made[place % len(self.made)].bed.client()
        number = place * 1_000_000
        while not self.ending:
            number += 1
            self.asked.append(number)
            self.answers.append((number, await self.ask(client, number)))
            await asyncio.sleep(0.005)

    async def ask(self, client: Client, number: int) -> int:
        return (await client.ask(request(number, customer=f"{number % 97:016x}")))[0]

    async def wait_for_answers(self, many: int) -> None:
        until = len(self.answers) + many
        async with asyncio.timeout(3 * SOON):
            while len(self.answers) < until:
                done = [c for c in self.clients if c.done()]
                assert not done, [c.exception() for c in done]
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        self.ending = True
        await asyncio.gather(*self.clients)


def test_the_leader_is_killed_and_comes_back_while_no_request_is_lost(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        backends = [BackendPeer() for _ in range(4)]
        async with (
            process(tmp_path / "a") as (leader, calls),
            process(tmp_path / "b", "--follow", leader.address) as (follower, copy),
            gateways(tmp_path, [leader.address, follower.address], backends) as made,
        ):
            for number, backend in enumerate(backends):
                await calls.register(f"b{number}", backend.address, startedAtMs=0, zone="z", leaseMs=600_000)
            for gateway in made:
                await until_ready(gateway.bed)
                await gateway.wait_for_figure("hosts_listed", 4)
            load = Load(made)
            await load.wait_for_answers(100)
            at = (await calls.list())["generation"]
            await copy.wait_for_status(lambda s: s["generation"] == at)
            await leader.kill()
            await copy.wait_for_status(
                lambda s: s["watchers"] == GATEWAYS
            )  # all gateways turned to the follower
            await load.wait_for_answers(100)
            async with process(tmp_path / "a", port=leader.port) as (_, calls):
                await calls.drain("b0")
                for gateway in made:
                    await gateway.wait_for_figure("hosts_down", 1)
                seen = len(backends[0].seen)
                await load.wait_for_answers(200)
                assert len(backends[0].seen) == seen  # nothing after the news
                await calls.call(
                    "DELETE",
                    "/v1/instances/b1",
                    match=(await calls.call("GET", "/v1/instances/b1"))[1]["version"],
                )
                for gateway in made:
                    await gateway.wait_for_figure("hosts_listed", 3)
                await load.wait_for_answers(100)
            await load.stop()
            assert [status for _, status in load.answers] == [200] * len(load.asked)
            served = [a[1]["x-call-id"] for b in backends for a in b.seen]
            assert sorted(served) == sorted(
                f"{n:016x}" for n in load.asked
            )  # each once, none lost, none twice
            for gateway in made:
                assert (await gateway.figures())["list_age_s"] < 60

    run(test)


def test_gateways_start_and_serve_while_the_list_service_is_down_and_follow_it_once_it_is_there(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        backends = [BackendPeer(), BackendPeer()]
        for backend in backends:
            await backend.start()
        where = [f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"]
        counter = CounterPeer()
        await counter.start()
        gateway = GatewayProcess(tmp_path, 0, where, counter.address)
        told = json.loads(gateway.path.read_text())
        told["known"]["instances"] = [
            {"instanceId": "b0", "hostPort": backends[0].address, "lifecycle": "SERVING"}
        ]
        gateway.path.write_text(json.dumps(told))
        await gateway.start()
        try:
            await until_ready(gateway.bed)
            client = await gateway.bed.client()
            assert (await client.ask(request(1)))[0] == 200 and len(backends[0].seen) == 1
            late = Process(tmp_path / "a", port=int(where[0].rpartition(":")[2]))
            await late.start()
            async with client_session(late.address) as session:
                await ListClient(session, late.address).register("b1", backends[1].address, startedAtMs=0)
            number = 1
            while not backends[1].seen:  # the list is the service's now
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
