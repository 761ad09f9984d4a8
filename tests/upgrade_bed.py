"""A real gateway that is upgraded while its discovery agent is down, and what its backends get."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

from embersill.lab.peers import HOST, free_port
from embersill.lab.soak.backends import backend_address
from embersill.lab.soak.deployment import Deployment
from embersill.lab.soak.gateway_process import GatewayProcess
from tests.peers import SOON
from tests.soak_bed import LOOKUP, SoakBed, soak_bed

BACKENDS = 6
GRACE = 0.3 + 0.05  # seconds of the settings' grace for drains, with the slack of the protocol
REQUESTS, MAX_REQUESTS = 40, 400  # of a check; at most, until each backend has got one
DEPLOYMENT = Deployment(1, (LOOKUP,), rate=1000.0, burst=1000.0, memory_mb=96)

Entry = dict[str, Any]


class UpgradeBed:
    """A SoakBed whose gateway has a fixed list in its configuration, with all its processes."""

    def __init__(self, bed: SoakBed, known: Entry) -> None:
        self.bed, self.known = bed, known
        self.processes = [bed.gateway]
        self.sent = 0

    @property
    def newest(self) -> GatewayProcess:
        return self.processes[-1]

    def entry(self, number: int, state: str = "SERVING", at: int | None = None) -> Entry:
        """The entry of backend `number`; `at`: of the backend on whose address it listens."""
        made = self.bed.entry(f"b{number}", state)
        if at is not None:
            made["hostPort"] = self.bed.backends.host_port(f"b{at}")
        return made

    async def tell(self, *entries: Entry) -> None:
        """Discovery has these entries, and a moment later the gateway's processes have them too."""
        self.bed.agent.apply_changes(list(entries))
        await self.until_told()

    async def until_told(self) -> None:
        """Waits until the gateway's processes have the newest list."""
        async with asyncio.timeout(SOON):
            for process in self.processes:
                while process.running and await self.list_generation(process) != self.bed.agent.generation:
                    await asyncio.sleep(0.01)

    async def list_generation(self, process: GatewayProcess) -> int:
        """The generation of its list; by a version that does not tell, that of discovery after the grace."""
        metrics = await self.metrics(process)
        if "list_source" not in metrics:
            await asyncio.sleep(GRACE)
        found: int = metrics.get("list_generation", self.bed.agent.generation)
        return found

    async def start_successor(self, environment: dict[str, str] | None = None, **more: Any) -> GatewayProcess:
        """Starts a process beside the newest one and waits for its yes."""
        process = self.successor(environment, **more)
        await process.start()
        await self.until_yes()
        return process

    def successor(self, environment: dict[str, str] | None = None, **more: Any) -> GatewayProcess:
        """A process beside the newest one, not started; `more` overrides its configuration."""
        configuration = self.bed.configuration(
            **{"known": self.known, "console": f"{HOST}:{free_port()}", **more})
        process = GatewayProcess(
            0, self.bed.folder / "gateway", configuration, self.newest.port, environment)
        self.processes.append(process)
        return process

    async def move_discovery(self, signalled: GatewayProcess) -> None:
        """Discovery moves to another address, as the configuration says; one process gets SIGHUP."""
        agent = self.bed.agent
        previous_server = agent.server
        await agent.start()
        assert previous_server is not None
        previous_server.close()
        signalled.configuration["discovery"] = agent.address
        signalled.write_configuration()
        signalled.signal(signal.SIGHUP)

    async def until_yes(self) -> None:
        """Waits until the newest process says that it serves; the old one has the same port."""
        async with asyncio.timeout(SOON):
            while not (await self.console("STATUS")).startswith("done"):
                await asyncio.sleep(0.02)

    async def start_beside_stopped(self, old: GatewayProcess) -> None:
        """Starts a process beside one that is stopped, and kills that at the yes of the new one."""
        process = self.successor()
        starting = asyncio.create_task(process.start())
        await self.until_yes()
        old.signal(signal.SIGKILL)
        await old.wait()
        await starting

    async def upgrade(self, **more: Any) -> None:
        """A successor takes over from the newest process, which then ends."""
        old = self.newest
        await self.start_successor(**more)
        old.signal(signal.SIGTERM)
        assert await old.wait() == 0

    async def console(self, line: str, process: GatewayProcess | None = None) -> str:
        """The answer of a process, the newest by default, to a line at its console; "" if it can't answer."""
        host, _, port = (process or self.newest).configuration["console"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return ""
        writer.write(line.encode() + b"\n")
        answer = (await reader.read()).decode()
        writer.close()
        return answer

    async def metrics(self, process: GatewayProcess | None = None) -> dict[str, Any]:
        found: dict[str, Any] = json.loads((await self.console("METRICS", process)).splitlines()[0])
        return found

    async def check_use(self, allowed: set[int]) -> None:
        """Sends requests to the newest process: all of these backends get some, and no others."""
        begin, used = time.monotonic(), set[int]()
        for number in range(MAX_REQUESTS):
            if number >= REQUESTS and used >= allowed:
                break
            self.sent += 1
            assert await self.bed.send_request(f"call-{self.sent}") == 200
            used = {n for n, name in enumerate(self.bed.names) if self.bed.attempt_times(name, begin)}
        assert used == allowed

    def log_text(self) -> str:
        return self.newest.log_path.read_text()

    async def stop(self) -> None:
        for process in self.processes:
            if process.running:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                await process.wait()


@asynccontextmanager
async def upgrade_bed(
    folder: pathlib.Path, listed: Sequence[int] = (0, 1, 2), backends: int = BACKENDS,
    deployment: Deployment = DEPLOYMENT,
) -> AsyncIterator[UpgradeBed]:
    """A gateway that serves by the list of `listed`, which its configuration has as well."""
    console = f"{HOST}:{free_port()}"
    async with soak_bed(folder, backends, deployment, console=console) as bed:
        unlisted = [n for n in range(backends) if n not in listed]
        bed.agent.apply_changes([{**bed.entry(f"b{n}"), "lifecycle": "DELETED"} for n in unlisted])
        made = UpgradeBed(bed, bed.agent.initial_list())
        await made.until_told()
        try:
            yield made
        finally:
            await made.stop()


def unused_entry(number: int) -> Entry:
    """An entry of a backend that nobody serves, to make a list long."""
    return {
        "instanceId": f"u{number}", "hostPort": f"{backend_address(100_000 + number)}:9", "zone": "z",
        "machineType": "k", "cell": 0, "lifecycle": "DRAINING", "weight": 1.0, "startedAtMs": 0}
