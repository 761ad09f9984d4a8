"""Test fixture: a complete gateway in the event loop of the test, with scripted peers."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import pytest
import uvloop

from embersill import start_gate
from embersill.program import Program, build_configuration
from embersill.lab.peers import HOST, HttpMessage, read_message, reset
from embersill.net.backends import BackendConnection
from embersill.net.memory import BASE_MEMORY
from embersill.net.pool import Pool
from embersill.net.process_memory import ProcessMemory
from tests.peers import SOON, BackendPeer, CounterPeer, DiscoveryPeer, settings_text

CUSTOMER = "00000000000000c1"
READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


class MemoryWithoutTests(ProcessMemory):
    """What a gateway in a process of its own would have: that of the tests' process is left out."""

    def __init__(self) -> None:
        super().__init__()
        self.of_tests = 0
        self.of_tests = self.anonymous_bytes() - BASE_MEMORY

    def anonymous_bytes(self) -> int:
        return max(super().anonymous_bytes() - self.of_tests, 0)


def make_program(
    configuration: dict[str, Any], environ: dict[str, str], predecessor: socket.socket | None = None
) -> Program:
    """A gateway within the tests' process; `predecessor`: a connection to the process that runs already."""
    program = Program(build_configuration(configuration, environ), predecessor)
    program.process_memory.close()
    program.overload.memory = program.process_memory = MemoryWithoutTests()
    return program


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(3 * SOON):
            await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def request(
    number: int, klass: str = "lookup", budget: float = 5.0, plan: str = "basis", customer: str = CUSTOMER,
    units: str = "1", body: bytes = b"typed text", drop: str = "", **more: str,
) -> bytes:
    """Returns a client request as bytes, without the header `drop`; `more` replaces or adds headers."""
    get = klass == "lookup"
    headers = {
        "Host": "backend.local", "X-Call-Id": f"{number:016x}", "X-Call-Class": klass, "Plan": plan,
        "X-Budget": f"{budget:.3f}", "Quota-Info": f"units={units},spread=2,first=0",
    }
    if klass == "report":
        headers["Idempotency-Key"] = f"key{number:029x}"
    if not get:
        headers["Content-Length"] = str(len(body))
    headers.update({k.replace("_", "-"): v for k, v in more.items()})
    headers.pop(drop, None)
    lines = [f"{'GET' if get else 'POST'} /api?client={customer} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if get else body)


class Client:
    """A client connection that the test reads and writes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, text: bytes) -> None:
        self.writer.write(text)

    def put(self, text: bytes) -> None:
        """Writes to the socket at once, so that the kernel has the data before the event loop runs again."""
        os.write(self.writer.get_extra_info("socket").fileno(), text)

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        async with asyncio.timeout(SOON):
            first, headers, body = await read_message(self.reader)
        return int(first.split()[1]), headers, body

    async def ask(self, text: bytes) -> tuple[int, dict[str, str], bytes]:
        self.send(text)
        return await self.answer()

    def reset(self) -> None:
        """Resets the connection, so that the gateway sees it broken and not only closed for sending."""
        reset(self.writer)

    async def closed(self) -> bool:
        """Waits for the gateway to close the connection; returns False if it sends more data first."""
        async with asyncio.timeout(SOON):
            return await self.reader.read(1) == b""


def before(monkeypatch: pytest.MonkeyPatch, target: Any, name: str, action: Callable[[], None]) -> None:
    """Has `action` called right before the first call of the function `name` of `target`."""
    function, called = getattr(target, name), False

    def wrapper(*arguments: Any, **more: Any) -> Any:
        nonlocal called
        if not called:
            called = True
            action()
        return function(*arguments, **more)

    monkeypatch.setattr(target, name, wrapper)


@contextmanager
def no_descriptors() -> Iterator[None]:
    """Uses up the file descriptors of this process: none can be opened within the block."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest, held = max(int(name) for name in os.listdir("/proc/self/fd")), [os.dup(0)]
    while held[-1] < highest:  # until all below the highest are in use
        held.append(os.dup(0))
    resource.setrlimit(resource.RLIMIT_NOFILE, (held[-1] + 1, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for descriptor in held:
            os.close(descriptor)


def backend_connections(pool: Pool) -> list[BackendConnection]:
    return [connection for connection in pool.connections if isinstance(connection, BackendConnection)]


class Bed:
    """A gateway with its backends, discovery and counter."""

    def __init__(self, backends: int) -> None:
        self.backends = [BackendPeer() for _ in range(backends)]
        self.discovery, self.counter = DiscoveryPeer(), CounterPeer()
        self.port = 0
        self.program: Program

    async def start(self, env: dict[str, Any], sockets: int, folder: str = "") -> None:
        for peer in (*self.backends, self.discovery, self.counter):
            await peer.start()
        entries = [self.discovery.entry(f"b{n}", b.address) for n, b in enumerate(self.backends)]
        self.discovery.entries = {e["instanceId"]: e for e in entries}
        configuration = self.configuration(env, sockets)
        self.program = make_program(configuration, {"TMPDIR": folder})
        self.program.listen_address = self.program.console_address = (HOST, 0)
        await self.program.start()
        assert self.program.front.listener is not None
        self.port = self.program.front.listener.getsockname()[1]

    async def console(self, text: bytes, end: bool = False, program: Program | None = None) -> str:
        """Sends bytes to the console and returns all that it answers until it closes the connection."""
        server = (program or self.program).console.server
        assert server is not None
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(text)
        if end:
            writer.write_eof()
        async with asyncio.timeout(SOON):
            answer = await reader.read()
        writer.close()
        return answer.decode()

    def configuration(self, env: dict[str, Any], sockets: int) -> dict[str, Any]:
        """Returns the content of the gateway's configuration file."""
        return {
            "name": "n0", "listen": f"{HOST}:1", "discovery": self.discovery.address,
            "counter": self.counter.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"generation": 1, "reset": True, "instances": list(self.discovery.entries.values())},
            "settings": env,
        }

    async def until_answered(self) -> None:
        """Waits until all accepted requests are answered."""
        async with asyncio.timeout(SOON):
            while self.program.driver.unanswered:
                await asyncio.sleep(0.001)

    async def successor(self, env: dict[str, Any], folder: str, **more: Any) -> Program:
        """Starts a successor, at the same addresses but for its console; `more` is for its configuration."""
        configuration = {**self.configuration(env, 1024), "listen": f"{HOST}:{self.port}", **more}
        second = make_program(configuration, {"TMPDIR": folder}, start_gate.connect(folder))
        second.console_address = (HOST, 0)
        await second.start()
        return second

    async def client(self, receive_buffer: int = 0) -> Client:
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        return Client(*await asyncio.open_connection(sock=sock))

    def forget_requests(self) -> None:
        """Lets the gateway forget what may have run, so that further requests may have the same ids."""
        self.program.driver.gateway.run_history.runs.clear()

    def seen(self) -> list[HttpMessage]:
        """Returns the requests that the backends have received."""
        return [received for b in self.backends for received in b.seen]


def roomy_settings(**limits: Any) -> dict[str, Any]:
    """Returns settings with a first plan so large that its requests are sent at once and uncounted."""
    env = settings_text(**limits)
    env["packages"][0].update(peak_units=400.0, units_per_s=100.0)
    return env


@asynccontextmanager
async def running(
    backends: int = 1, env: dict[str, Any] | None = None, sockets: int = 1024, folder: str = ""
) -> AsyncIterator[Bed]:
    bed = Bed(backends)
    await bed.start(env or roomy_settings(), sockets, folder)
    try:
        yield bed
    finally:
        if not bed.program.front.stopping:
            await bed.program.stop(0.0, 0.0)
        for peer in (*bed.backends, bed.discovery, bed.counter):
            await peer.stop()


def with_bed(test: Callable[[Bed], Awaitable[None]], **more: Any) -> None:
    async def inside() -> None:
        async with running(**more) as bed:
            await test(bed)

    run(inside)
