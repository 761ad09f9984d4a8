"""A real gateway beside a crowd of costly peers, with its memory as the platform sees it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from embersill.lab.peers import read_message, response_bytes
from embersill.lab.soak.crowd import answer_size
from embersill.lab.soak.gateway_process import GatewayProcess
from embersill.lab.versions import REPO_ROOT
from tests.incident_bed import ANSWER_LATENESS, SAMPLE_INTERVAL
from tests.soak_bed import SoakBed

SOUND_INTERVAL = 0.1  # seconds between the sound requests
SOUND_BUDGET = 3.0  # seconds
SOUND_CUSTOMERS = 40
RATE, BURST = 5.0, 10.0  # units a second and units of each customer: the crowd's peers exceed them


async def respond_as_asked(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
) -> None:
    """Answers with as many bytes as the crowd's request asks for."""
    writer.write(response_bytes(200, b"x" * max(answer_size(headers["x-call-id"]), 2)))
    await writer.drain()


@dataclass(slots=True)
class SoundRequest:
    """One request of a sound client; times of the monotonic clock."""

    begun_at: float
    status: int = 0  # 0: no whole answer in time
    answered_at: float = 0.0


@dataclass(slots=True)
class Platform:
    """Watches the memory of the gateway's processes together, and kills them above the limit."""

    limit_mb: float
    processes: list[GatewayProcess] = field(default_factory=list)
    peak_mb: float = 0.0
    killed: int = 0

    async def watch(self) -> None:
        while True:
            total = sum(process.anonymous_memory_mb() for process in self.processes)
            self.peak_mb = max(self.peak_mb, total)
            if total > self.limit_mb:
                self.killed += 1
                for process in self.processes:
                    process.signal(signal.SIGKILL)
                self.processes.clear()
            await asyncio.sleep(SAMPLE_INTERVAL)


class CrowdBed:
    """The gateway, its platform and its sound clients."""

    def __init__(self, bed: SoakBed, limit_mb: float) -> None:
        self.bed = bed
        self.platform = Platform(limit_mb, [bed.gateway])
        self.sound: list[SoundRequest] = []
        self.asking: set[asyncio.Task[None]] = set()
        self.down: list[tuple[float, float]] = []  # when no process was ready, or one was ended
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.platform.watch()), loop.create_task(self.ask_again())]

    async def ask_again(self) -> None:
        while True:
            task = asyncio.create_task(self.ask(len(self.sound)))
            self.asking.add(task)
            task.add_done_callback(self.asking.discard)
            await asyncio.sleep(SOUND_INTERVAL)

    async def ask(self, number: int) -> None:
        """Sends a small request on a connection of its own, and reads the answer."""
        request = SoundRequest(time.monotonic())
        self.sound.append(request)
        writer = None
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(SOUND_BUDGET + ANSWER_LATENESS):
                reader, writer = await self.bed.connect()
                text = self.bed.make_request(f"sound-{number}", budget=SOUND_BUDGET)
                writer.write(text.replace(b"00000000000000c1", b"%016x" % (number % SOUND_CUSTOMERS)))
                status_line, _, _ = await read_message(reader)
                request.status, request.answered_at = int(status_line.split()[1]), time.monotonic()
        if writer is not None:
            writer.transport.abort()

    async def kill_and_start(self) -> None:
        """SIGKILL, and a new process on the same port."""
        await self.replace(signal.SIGKILL)

    async def terminate_and_start(self) -> None:
        """SIGTERM, and a new process on the same port."""
        await self.replace(signal.SIGTERM)

    async def replace(self, number: signal.Signals) -> None:
        begin, old = time.monotonic(), self.bed.gateway
        old.signal(number)
        await old.wait()
        await self.start_beside([])
        self.down.append((begin, time.monotonic()))

    async def upgrade(self) -> None:
        """A second process takes over from the running one, which is then told to end."""
        old = self.bed.gateway
        await self.start_beside([old])
        await asyncio.sleep(0.5)
        old.signal(signal.SIGTERM)
        await old.wait()

    async def start_beside(self, others: Sequence[GatewayProcess]) -> None:
        folder = self.bed.folder / "gateway"
        process = GatewayProcess(0, folder, self.bed.configuration(), port=self.bed.gateway.port)
        starting = asyncio.ensure_future(process.start())
        while process.child is None and not starting.done():
            await asyncio.sleep(0.001)
        self.platform.processes[:] = [*others, process]
        await starting
        self.bed.gateway = process

    async def stop(self) -> None:
        """Sends no more sound requests, and waits until each has its answer or is lost."""
        self.tasks[1].cancel()
        await asyncio.gather(*self.asking)
        self.tasks[0].cancel()

    def judged(self) -> list[SoundRequest]:
        """The sound requests that no end of a process excuses."""
        patience = SOUND_BUDGET + ANSWER_LATENESS
        return [
            request for request in self.sound
            if not any(begin - patience < request.begun_at < end for begin, end in self.down)]

    @property
    def unanswered(self) -> int:
        return sum(request.status == 0 for request in self.judged())

    @property
    def served(self) -> int:
        return sum(request.status == 200 for request in self.judged())


@asynccontextmanager
async def crowd_process(
    bed: SoakBed, forms: str, peers: int, seconds: float, seed: int = 1
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A crowd at the gateway; it is ended with the block."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "embersill.lab.soak.crowd", str(bed.gateway.port), "--forms", forms,
        "--peers", str(peers), "--seconds", str(seconds), "--seed", str(seed), cwd=REPO_ROOT)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
