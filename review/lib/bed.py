"""A small deployment on loopback: gateways by the deploy file's `run`, and stand-ins for all around them.

Every process is started by the bed and ended by it. Times in the record are of CLOCK_MONOTONIC, which all
processes of a machine share, in seconds from the start of the bed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from settings import settings

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
LONGEST = 110.0  # seconds after which a run is given up
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = random.Random()
given_ports: set[int] = set()


class CannotRun(Exception):
    """The deployment did not come up, or the disruption could not be made."""


def free_port() -> int:
    """A free port that was not given before, below those that the kernel gives to connections: these could take
    it before its listener is there."""
    for _ in range(1000):
        port = PORTS.randrange(20_000, 32_000)
        if port in given_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            given_ports.add(port)
            return port
    raise CannotRun("no free port")


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file, self.start = path.open("w", buffering=1), time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def note(self, text: str, at: float | None = None) -> None:
        self.file.write(f"{self.now() if at is None else at:8.3f}  {text}\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads one HTTP message with a Content-Length or chunks."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return first, headers, body


class Discovery:
    """The agent of discovery on a gateway's machine, by the protocol page; silent while `down`."""

    def __init__(self, record: Record) -> None:
        self.record, self.generation = record, 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # generation of each entry's last change
        self.changed = asyncio.Condition()
        self.down = False
        self.port = 0
        self.calls: list[str] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def add(self, name: str, port: int, cell: int, zone: str) -> None:
        self.entries[name] = {
            "instanceId": name, "hostPort": f"{HOST}:{port}", "zone": zone, "machineType": "standard-3core",
            "cell": cell, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0}
        self.changed_at[name] = self.generation

    async def set_state(self, name: str, lifecycle: str) -> None:
        async with self.changed:
            self.generation += 1
            self.entries[name] = {**self.entries[name], "lifecycle": lifecycle}
            self.changed_at[name] = self.generation
            self.record.note(f"discovery: {name} is {lifecycle}, generation {self.generation}")
            self.changed.notify_all()

    def full(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True,
                "instances": [e for e in self.entries.values() if e["lifecycle"] != "DELETED"]}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, _, _ = await read_message(reader)
                self.calls.append(first)
                if self.down:
                    self.record.note(f"discovery is down and stays silent to {first.split()[1]}")
                    await asyncio.sleep(3600)
                answer = await self.answer(first)
                if self.down:
                    await asyncio.sleep(3600)
                if answer["instances"]:
                    self.record.note(
                        f"discovery tells generation {answer['generation']}, whole {answer['reset']}, "
                        f"{len(answer['instances'])} entries")
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, first: str) -> dict[str, Any]:
        since = re.search(r"since=(\d+)", first)
        if since is None:
            return self.full()
        wait, known = re.search(r"timeout_ms=(\d+)", first), int(since[1])
        try:
            async with asyncio.timeout(int(wait[1]) / 1000.0 if wait else 0.0), self.changed:
                await self.changed.wait_for(lambda: self.generation > known)
        except TimeoutError:
            pass
        return {"generation": self.generation, "reset": False,
                "instances": [e for n, e in self.entries.items() if self.changed_at[n] > known]}


class CounterService:
    """The counter: sums by name, each with a life."""

    def __init__(self) -> None:
        self.sums: dict[str, tuple[float, float]] = {}
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words = []
                for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    words.append((await reader.readexactly(size + 2))[:-2].decode())
                await asyncio.sleep(0.001)
                now, (_, name, amount, life) = time.monotonic(), words
                total, ends = self.sums.get(name, (0.0, 0.0))
                if now >= ends:
                    total, ends = 0.0, now + min(int(life), 60_000) / 1000.0
                self.sums[name] = total + float(amount), ends
                text = f"{self.sums[name][0]:.7g}"
                writer.write(f"${len(text)}\r\n{text}\r\n".encode())
        except (asyncio.IncompleteReadError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@dataclass
class Answer:
    """What a client saw of one request; times are seconds from the start of the bed."""

    call: str
    gateway: int
    budget: float
    customer: int = 0
    begun: float = 0.0  # first byte written
    written: float | None = None  # last byte written: the gateway has taken the request
    ended: float | None = None  # last byte of the answer, or the end of the connection
    status: int | None = None
    body: bytes = b""
    end: str = "no answer"
    attempts: list[dict[str, Any]] = field(default_factory=list)


class Bed:
    def __init__(self, case: pathlib.Path, gateways: int, backends: int, work: float, cell_size: int = 5,
                 backend_options: Iterable[str] = (), memory_mb: int = 192, sockets: int = 1024) -> None:
        """`memory_mb`, `sockets`: limits that the gateways are told; the pages allow these at most."""
        self.record = Record(case / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.gateway_count, self.backend_names = gateways, [f"s-{n:08x}" for n in range(1, backends + 1)]
        self.memory_mb, self.sockets = memory_mb, sockets
        self.work, self.cell_size, self.backend_options = work, cell_size, list(backend_options)
        self.backends: dict[str, subprocess.Popen[bytes]] = {}
        self.ports = [free_port() for _ in range(gateways)]
        self.consoles: dict[int, int] = {}
        self.current: dict[int, subprocess.Popen[bytes]] = {}
        self.discoveries = [Discovery(self.record) for _ in range(gateways)]
        self.counter = CounterService()
        self.next_call = 0
        self.answers: list[Answer] = []

    # processes

    async def start(self) -> None:
        await self.counter.start()
        for discovery in self.discoveries:
            await discovery.start()
        for n, name in enumerate(self.backend_names):
            port = free_port()
            self.backends[name] = self.spawn(
                [sys.executable, str(LIB / "backend.py"), name, str(port), str(self.folder / "backends.log"),
                 str(self.work), *self.backend_options], name)
            for discovery in self.discoveries:
                discovery.add(name, port, n // self.cell_size, "room-" + "abc"[n % 3])
            await self.wait_for_port(port)
        await asyncio.gather(*(self.start_gateway(n) for n in range(self.gateway_count)))

    def spawn(self, command: list[str], name: str, env: dict[str, str] | None = None,
              ) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                       env=env)
        self.processes.append(process)
        return process

    async def wait_for_port(self, port: int) -> None:
        for _ in range(200):
            with socket.socket() as probe:
                if probe.connect_ex((HOST, port)) == 0:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"nobody listens on port {port}")

    async def start_gateway(self, number: int) -> None:
        """Starts a gateway, or a second process beside the one that runs, and waits until it is ready."""
        private = self.folder / f"n{number}"
        private.mkdir(exist_ok=True)
        config = self.folder / f"n{number}.json"
        first_start = not config.exists()
        discovery = self.discoveries[number]
        if first_start:
            config.write_text(json.dumps({
                "name": f"n{number}", "listen": f"{HOST}:{self.ports[number]}",
                "discovery": f"{HOST}:{discovery.port}", "counter": f"{HOST}:{self.counter.port}",
                "seed": f"{number + 1:016x}", "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                "known": discovery.full(), "settings": settings(number, self.gateway_count)}))
        console = self.consoles[number] = free_port()
        env = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "EMBERSILL_"))}
        env |= {"RELAY_NAME": f"n{number}", "RELAY_LISTEN": f"{HOST}:{self.ports[number]}",
                "RELAY_DISCOVERY": f"{HOST}:{discovery.port}", "RELAY_CONFIG": str(config),
                "RELAY_CONSOLE": f"{HOST}:{console}", "TMPDIR": str(private)}
        process = self.spawn(["/bin/sh", "-c", RUN], f"gateway{number}", env)
        self.record.note(f"gateway n{number} started, process {process.pid}")
        for _ in range(600):
            if process.poll() is not None:
                last = (self.folder / f"gateway{number}.log").read_text(errors="replace").strip().splitlines()[-1:]
                raise CannotRun(f"gateway n{number} ended with {process.returncode}: {' '.join(last)}")
            if (await self.console(number, "STATUS")).startswith("done"):
                break
            await asyncio.sleep(0.02)
        else:
            raise CannotRun(f"gateway n{number} is not ready")
        self.record.note(f"gateway n{number}, process {process.pid}, says that it is ready")
        self.current[number] = process

    async def console(self, number: int, line: str) -> str:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.consoles[number])
            writer.write(line.encode() + b"\n")
            async with asyncio.timeout(2.0):
                answer = (await reader.read()).decode().strip()
            writer.close()
            return answer
        except (OSError, TimeoutError):
            return ""

    def anonymous_mb(self, process: subprocess.Popen[bytes]) -> float:
        """Anonymous memory of a process in MiB, without its files and libraries; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s*(\d+) kB", status)
        return int(found[1]) / 1024.0 if found else 0.0

    def stop(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def backend_log(self) -> list[dict[str, Any]]:
        path = self.folder / "backends.log"
        lines = path.read_text().splitlines() if path.exists() else []
        entries = [json.loads(line) for line in lines]
        for entry in entries:
            for key in ("at", "begun"):
                if key in entry:
                    entry[key] -= self.record.start
        return sorted(entries, key=lambda e: e["at"])

    # clients

    def head(self, call: str, klass: str, plan: str, customer: int, budget: float, body_size: int | None,
             ) -> bytes:
        lines = [
            f"{'GET' if body_size is None else 'POST'} /api?client={customer:016x} HTTP/1.1",
            "Host: backend.local", f"X-Call-Id: {call}", f"X-Call-Class: {klass}", f"Plan: {plan}",
            f"X-Budget: {budget:.3f}",
            f"Quota-Info: units=1,spread={self.gateway_count},first=0"]
        if body_size is not None:
            lines += [f"Idempotency-Key: {call * 2}", f"Content-Length: {body_size}"]
        return "\r\n".join([*lines, "", ""]).encode()

    def new_answer(self, gateway: int, budget: float) -> Answer:
        self.next_call += 1
        answer = Answer(f"{self.next_call:016x}", gateway, budget)
        self.answers.append(answer)
        return answer

    async def ask(self, gateway: int, klass: str, plan: str, customer: int, budget: float,
                  body_size: int | None = None, patience: float = 1.0) -> Answer:
        """Sends one request on a connection of its own and waits for its end, `patience` beyond its time."""
        answer = self.new_answer(gateway, budget)
        answer.customer = customer
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        writer = None
        try:
            await loop.sock_connect(sock, (HOST, self.ports[gateway]))
            answer.begun = self.record.now()
            head = self.head(answer.call, klass, plan, customer, budget, body_size)
            writing = loop.create_task(loop.sock_sendall(sock, head + b"x" * (body_size or 0)))

            def on_written(task: asyncio.Task[None]) -> None:
                if not task.cancelled() and task.exception() is None:
                    answer.written = self.record.now()

            writing.add_done_callback(on_written)
            reader, writer = await asyncio.open_connection(sock=sock.dup())  # read beside the writing
            reading = loop.create_task(read_message(reader))
            await asyncio.wait({writing, reading}, return_when=asyncio.FIRST_COMPLETED,
                               timeout=budget + patience + 15)
            left = (answer.written or answer.begun) + budget + patience - self.record.now()
            if not reading.done():
                await asyncio.wait({reading}, timeout=max(left, 0.0))
            if reading.done() and reading.exception() is None:
                first, _, answer.body = reading.result()
                answer.status, answer.end = int(first.split()[1]), "answered"
            elif reading.done():
                answer.end = f"connection ended: {type(reading.exception()).__name__}"
            reading.cancel()
            writing.cancel()
        except OSError as error:
            answer.end = f"{type(error).__name__}"
        answer.ended = self.record.now()
        sock.close()
        if writer is not None:
            writer.transport.abort()
        return answer


def play(case: str, make: Callable[[pathlib.Path], Bed], scene: Callable[[Bed], Awaitable[bool]]) -> int:
    """Plays a scene, which returns whether the rule held; returns the exit code."""
    async def inside() -> int:
        bed = make(pathlib.Path(case).resolve().parent)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LONGEST):
                bed.record.note(f"disruption {'on' if bed.trouble else 'off'}")
                await bed.start()
                held = await scene(bed)
            bed.record.note("the rule held" if held else "the rule was broken")
            print("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            bed.record.note(f"could not run: {type(error).__name__} {error}")
            print(f"could not run: {type(error).__name__} {error}")
            return NOT_RUN
        finally:
            bed.stop()
            if os.environ.get("KEEP"):
                print(bed.folder)
            else:
                shutil.rmtree(bed.folder, ignore_errors=True)

    return asyncio.run(inside())
