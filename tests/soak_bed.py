"""Real gateways with the soak's peers around them, for tests that play one fault by hand."""

from __future__ import annotations

import asyncio
import pathlib
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf
from typing import Any

from embersill.lab.peers import HOST, read_message
from embersill.lab.soak.backends import BackendServer
from embersill.lab.soak.deployment import Deployment, RequestClass, backend_entry
from embersill.lab.soak.discovery_agent import DiscoveryAgent
from embersill.lab.soak.gateway_process import GatewayProcess
from embersill.lab.soak.observations import ClientRequest
from tests.peers import SOON, CounterPeer

LOOKUP = RequestClass("lookup", "repeatable", 2.0, 5.0)
BOOKING = RequestClass("booking", "once", 2.0, 5.0)


class SoakBed:
    """Backends, one agent and one counter; gateways are started by the test."""

    def __init__(self, folder: pathlib.Path, backends: int, deployment: Deployment) -> None:
        self.folder, self.deployment = folder, deployment
        self.requests: dict[str, ClientRequest] = {}
        self.names = [f"b{number}" for number in range(backends)]
        self.backends = BackendServer(self.names, self.requests)
        self.counter = CounterPeer()
        self.agent: DiscoveryAgent
        self.gateway: GatewayProcess

    async def start(self, **more: Any) -> None:
        await self.backends.start()
        await self.counter.start()
        self.agent = DiscoveryAgent([self.entry(name) for name in self.names])
        await self.agent.start()
        self.gateway = GatewayProcess(0, self.folder / "gateway", self.configuration(**more))
        await self.gateway.start()

    def configuration(self, **more: Any) -> dict[str, Any]:
        return {
            "name": "n0",
            "discovery": self.agent.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "known": self.agent.initial_list(),
            "settings": self.deployment.settings(0),
            "limits": {
                "cores": 1.0,
                "memory_mb": self.deployment.memory_mb,
                "sockets": self.deployment.sockets,
            },
            **more,
        }

    def entry(self, name: str, state: str = "SERVING", started: float = 0.0) -> dict[str, Any]:
        return backend_entry(name, self.backends.host_port(name), self.names.index(name), state, started)

    def make_request(self, call_id: str, klass: RequestClass = LOOKUP, budget: float = 5.0) -> bytes:
        """A request, which the backends know from now on."""
        self.requests[call_id] = ClientRequest(
            call_id, 0, "00000000000000c1", "basis", klass.repeats, budget, time.monotonic()
        )
        method = "GET" if klass.repeats == "repeatable" else "POST"
        body = b"" if method == "GET" else b"typed text"
        lines = [
            f"{method} /api?client=00000000000000c1 HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {call_id}",
            f"X-Call-Class: {klass.name}",
            "Plan: basis",
            f"X-Budget: {budget:.3f}",
            "Quota-Info: units=1,spread=1,first=0",
            *([f"Content-Length: {len(body)}"] if body else []),
            "",
            "",
        ]
        return "\r\n".join(lines).encode() + body

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(HOST, self.gateway.port)

    async def send_request(self, call_id: str) -> int:
        """A request on a connection of its own; the status of its answer."""
        reader, writer = await self.connect()
        writer.write(self.make_request(call_id))
        async with asyncio.timeout(SOON):
            first, _, _ = await read_message(reader)
        writer.close()
        return int(first.split()[1])

    def attempt_times(self, name: str, since: float, until: float = inf) -> list[float]:
        """When attempts began at a backend, as seconds after `since`."""
        return [
            a.first_byte_at - since
            for a in self.backends.models[name].attempts
            if since < a.first_byte_at < until
        ]

    async def stop(self) -> None:
        if self.gateway.running:
            assert self.gateway.child is not None
            self.gateway.child.kill()
            await self.gateway.wait()
        self.backends.stop()
        for peer in (self.agent, self.counter):
            await peer.stop()


@asynccontextmanager
async def soak_bed(
    folder: pathlib.Path, backends: int, deployment: Deployment | None = None, **more: Any
) -> AsyncIterator[SoakBed]:
    bed = SoakBed(folder, backends, deployment or Deployment(1, (LOOKUP, BOOKING), rate=1000.0, burst=1000.0))
    await bed.start(**more)
    try:
        yield bed
    finally:
        await bed.stop()
