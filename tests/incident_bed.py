"""A real gateway at the least limits of the operators' terms, with scripted backends, and its memory."""

from __future__ import annotations

import asyncio
import pathlib
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from embersill.lab.peers import read_message, response_bytes
from embersill.lab.soak.backends import LOOPBACK_DEVICE, backend_address
from embersill.lab.soak.deployment import Deployment, backend_entry
from embersill.lab.soak.gateway_process import GatewayProcess
from tests.soak_bed import LOOKUP, SIGNATURE, SoakBed, soak_bed

MEMORY_MB, SOCKETS = 32, 1024  # the least memory of the terms, with as many descriptors as they name
ANSWER_LATENESS = 0.5 + 0.05  # seconds after its time until which a late answer is not lost
SAMPLE_INTERVAL = 0.02  # seconds between samples of the gateway's memory
BACKENDS = 12
BACKLOG = 4096
LEAST_LIMITS = Deployment(
    1, (LOOKUP, SIGNATURE), rate=1000.0, burst=2000.0, dial_timeout=1.0, memory_mb=MEMORY_MB, sockets=SOCKETS)

Respond = Callable[[asyncio.StreamReader, asyncio.StreamWriter, dict[str, str]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request that came whole to a backend; `at`: seconds of the monotonic clock."""

    call_id: str
    backend: str  # its address
    at: float


async def respond_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
) -> None:
    """Answers as a sound backend does."""
    writer.write(response_bytes(200, b"served " + headers["x-call-id"].encode()))


class ScriptedBackends:
    """Backends behind one listening socket: GET is answered after `work` seconds, POST as `respond` does.

    `read_bodies` is False where `respond` reads the body itself.
    """

    def __init__(
        self, respond: Respond = respond_at_once, read_bodies: bool = True, work: float = 0.0
    ) -> None:
        self.respond, self.read_bodies, self.work = respond, read_bodies, work
        self.attempts: list[Attempt] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
        listener.bind(("0.0.0.0", 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, backlog=BACKLOG)
        self.port = listener.getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                if self.read_bodies or first.startswith("GET"):
                    await read_body(reader, headers)
                backend = writer.get_extra_info("sockname")[0]
                self.attempts.append(Attempt(headers["x-call-id"], backend, time.monotonic()))
                if first.startswith("GET"):
                    await asyncio.sleep(self.work)
                    await respond_at_once(reader, writer, headers)
                else:
                    await self.respond(reader, writer, headers)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def attempts_of(self, call_id: str) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.call_id == call_id]

    def stop(self) -> None:
        """Closes the listener and all connections."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the first line and the headers of a message."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().rstrip().split("\r\n")
    return first, {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> int:
    """Reads and drops a body; returns its size in bytes."""
    if headers.get("transfer-encoding") != "chunked":
        size = int(headers.get("content-length", 0))
        await reader.readexactly(size)
        return size
    total = 0
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        await reader.readexactly(size + 2)
        total += size
    await reader.readuntil(b"\r\n")
    return total


@asynccontextmanager
async def incident_bed(
    folder: pathlib.Path, backends: ScriptedBackends | None = None, deployment: Deployment = LEAST_LIMITS,
    **more: Any,
) -> AsyncIterator[SoakBed]:
    """A gateway with scripted backends only; `more` overrides keys of its configuration."""
    backends = backends or ScriptedBackends()
    await backends.start()
    try:
        async with soak_bed(folder, 1, deployment, **more) as bed:
            entries = [
                backend_entry(f"s{n}", f"{backend_address(n)}:{backends.port}", n) for n in range(BACKENDS)]
            bed.agent.apply_changes([*entries, {**bed.entry("b0"), "lifecycle": "DELETED"}])
            await asyncio.sleep(0.3)
            yield bed
    finally:
        backends.stop()


def anonymous_memory_mb(bed: SoakBed, process: GatewayProcess | None = None) -> float:
    """The memory of the process, or of the gateway, without files and libraries; 0 if it has ended."""
    return (process or bed.gateway).anonymous_memory_mb()


class MemoryWatch:
    """Samples the gateway's memory and keeps the peak."""

    def __init__(self, bed: SoakBed) -> None:
        self.bed, self.peak_mb = bed, 0.0
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        while True:
            self.peak_mb = max(self.peak_mb, anonymous_memory_mb(self.bed))
            await asyncio.sleep(SAMPLE_INTERVAL)

    def stop(self) -> float:
        """Returns the peak."""
        self.task.cancel()
        return max(self.peak_mb, anonymous_memory_mb(self.bed))


class SoundClients:
    """Sends small sound requests at a steady rate, each on a connection of its own."""

    def __init__(
        self, bed: SoakBed, interval: float = 0.05, budget: float = 3.0, spread: int = 1
    ) -> None:
        """`spread`: gateways that share the customer's quota."""
        self.bed, self.interval, self.budget, self.spread = bed, interval, budget, spread
        self.latencies: list[float] = []  # of the answered ones, in seconds
        self.statuses: list[int] = []  # 0: no whole answer in time
        self.losses: list[str] = []  # what each client without a whole answer saw, for the report
        self.requests: set[asyncio.Task[None]] = set()
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        while True:
            self.requests.add(asyncio.create_task(self.ask(len(self.requests))))
            await asyncio.sleep(self.interval)

    async def ask(self, number: int) -> None:
        begin, status = time.monotonic(), 0
        writer = None
        try:
            async with asyncio.timeout(self.budget + ANSWER_LATENESS):
                reader, writer = await self.bed.connect()
                request = self.bed.make_request(f"sound-{number}", budget=self.budget)
                request = request.replace(b"00000000000000c1", b"00000000000000c2")
                writer.write(request.replace(b"spread=1", b"spread=%d" % self.spread))
                status_line, _, _ = await read_message(reader)
                status = int(status_line.split()[1])
                self.latencies.append(time.monotonic() - begin)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            stage, duration = "connecting" if writer is None else "reading", time.monotonic() - begin
            self.losses.append(f"sound-{number}: {error!r} {stage}, {duration:.2f} s after its begin")
        self.statuses.append(status)
        if writer is not None:
            writer.transport.abort()

    async def stop(self) -> None:
        """Sends no more and waits until each request has its answer or is lost."""
        self.task.cancel()
        await asyncio.gather(*self.requests)

    @property
    def lost(self) -> int:
        """Requests without a whole answer in time."""
        return sum(status == 0 for status in self.statuses)
