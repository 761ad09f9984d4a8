"""A real gateway with the soak's peers, for tests that inject one fault themselves."""

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
SIGNATURE = RequestClass("signature", "by_key", 2.0, 5.0, "all", 5.0)
CHUNKED = "Transfer-Encoding: chunked"


def signature_head(call_id: str, framing: str, budget: float = 5.0) -> bytes:
    """Returns the head of a request of the class SIGNATURE; `framing`: the header line for its body."""
    lines = [
        "POST /api?client=00000000000000c1 HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {SIGNATURE.name}",
        "Plan: basis",
        f"X-Budget: {budget:.3f}",
        f"Idempotency-Key: key-{call_id}",
        "Quota-Info: units=1,spread=1,first=0",
        framing,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class SoakBed:
    """Backends, a discovery agent, a counter and one gateway process."""

    def __init__(self, folder: pathlib.Path, backends: int, deployment: Deployment) -> None:
        self.folder, self.deployment = folder, deployment
        self.requests: dict[str, ClientRequest] = {}
        self.names = [f"b{number}" for number in range(backends)]
        self.backends = BackendServer(self.names, self.requests)
        self.counter = CounterPeer()
        self.agent: DiscoveryAgent
        self.gateway: GatewayProcess

    async def start(self, **more: Any) -> None:
        """Starts the peers and the gateway; `more` overrides keys of its configuration."""
        await self.backends.start()
        await self.counter.start()
        self.agent = DiscoveryAgent([self.entry(name) for name in self.names])
        await self.agent.start()
        self.gateway = GatewayProcess(0, self.folder / "gateway", self.configuration(**more))
        await self.gateway.start()

    def configuration(self, **more: Any) -> dict[str, Any]:
        """The gateway's configuration; `more` overrides its keys."""
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
        """Registers a request at the backends and returns the bytes to send."""
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
        """Sends a request on a new connection and returns the status of its answer."""
        reader, writer = await self.connect()
        writer.write(self.make_request(call_id))
        async with asyncio.timeout(SOON):
            status_line, _, _ = await read_message(reader)
        writer.close()
        return int(status_line.split()[1])

    def attempt_times(self, name: str, since: float, until: float = inf) -> list[float]:
        """When attempts started at a backend between two times, in seconds after `since`."""
        return [
            a.first_byte_at - since
            for a in self.backends.models[name].attempts
            if since < a.first_byte_at < until
        ]

    async def stop(self) -> None:
        """Kills the gateway and stops the peers."""
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
    """Runs a started SoakBed; `more` overrides keys of the gateway's configuration."""
    bed = SoakBed(folder, backends, deployment or Deployment(1, (LOOKUP, BOOKING), rate=1000.0, burst=1000.0))
    await bed.start(**more)
    try:
        yield bed
    finally:
        await bed.stop()
