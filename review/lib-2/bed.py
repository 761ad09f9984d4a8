"""A small deployment on loopback for the cases: real gateways, and stand-ins for everything around them.

The stand-ins use the standard library alone and follow the operators' protocol page. Every address is on
loopback. A case is a coroutine that gets a Bed, and returns the breaks of the rule that it saw.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT = 110.0  # seconds for a whole case
READY_WITHIN = 20.0  # seconds for a gateway to become ready, else the case could not run
MAX_KILL_DEADLINE, KILL_AFTER = 3.0, 0.7  # protocol page: SIGKILL follows SIGTERM no sooner than their sum


class CouldNotRun(Exception):
    """The surroundings of the case failed, so it says nothing about the rule."""


def free_port() -> int:
    """A port below the ephemeral ones that nobody listens on."""
    for _ in range(200):
        port = random.SystemRandom().randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
    raise CouldNotRun("no free port")


class Record:
    """What was sent, answered and run, with the seconds since the start; written as it happens."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f}  {text}\n")
        self.file.flush()


# messages

Message = tuple[str, dict[str, str], bytes]


async def read_message(reader: asyncio.StreamReader, has_body: bool = True) -> Message:
    """Reads a message of HTTP/1.1; IncompleteReadError if the connection ends before its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    if not has_body:
        return first, fields, b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return first, fields, body
    return first, fields, await reader.readexactly(int(fields.get("content-length", "0")))


def answer(status: int, body: bytes = b"", *fields: str) -> bytes:
    """A whole answer of HTTP/1.1 with its length."""
    return "\r\n".join(
        (f"HTTP/1.1 {status} X", *fields, f"Content-Length: {len(body)}", "", "")).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection as the death of its process would: with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


# stand-ins


class Server:
    """A listening socket on loopback; `serve` gets each connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connected, HOST, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Backend(Server):
    """Runs a request once its last byte has come, and answers 200 with the request's id by default.

    `handler`: gets the message and the writer; returns the answer's bytes, or None if it has answered itself
    """

    def __init__(self, record: Record, name: str, cell: int = 0, zone: str = "room-a") -> None:
        super().__init__()
        self.record, self.name, self.cell, self.zone = record, name, cell, zone
        self.work = 0.02  # seconds a request takes
        self.runs: list[tuple[float, str, str]] = []  # when, X-Call-Id, Idempotency-Key
        self.handler: Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]] | None = None
        self.state, self.started_ms = "SERVING", 0

    def entry(self) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": self.address, "zone": self.zone,
                "machineType": "standard-3core", "cell": self.cell, "lifecycle": self.state, "weight": 1.0,
                "startedAtMs": self.started_ms}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            first, fields, body = message
            call = fields.get("x-call-id", "")
            if not call:
                writer.write(answer(404))
                continue
            self.runs.append((self.record.now(), call, fields.get("idempotency-key", "")))
            self.record.note(f"{self.name} runs {call}: {first}, {len(body)} bytes, "
                             f"budget {fields.get('x-budget')}")
            if self.handler is not None:
                text = await self.handler(message, writer)
            else:
                await asyncio.sleep(self.work)
                text = answer(200, f"served {call}".encode())
            if text is not None:
                writer.write(text)
                await writer.drain()


class Discovery(Server):
    """The agent of discovery on a gateway's machine: the whole list, and watches."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record, self.generation = record, 1
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.news = asyncio.Event()
        self.down = False  # silent: calls are taken and not answered

    def go_down(self) -> None:
        """From now on the agent is silent; its open connections break."""
        self.down = True
        self.record.note("discovery goes down")
        for writer in list(self.writers):
            reset(writer)

    def come_back(self) -> None:
        self.down = False
        self.record.note("discovery is back")

    def tell(self, *entries: dict[str, Any]) -> None:
        """The agent has these entries from now on."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = self.generation, dict(entry)
            self.record.note(f"discovery has {entry['instanceId']}: {entry['lifecycle']}")
        self.news.set()
        self.news = asyncio.Event()

    def text(self, since: int | None) -> bytes:
        rows = [e for g, e in self.entries.values()
                if (g > since if since is not None else e["lifecycle"] != "DELETED")]
        return json.dumps(
            {"generation": self.generation, "reset": since is None, "instances": rows}).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            query = dict(p.partition("=")[::2] for p in first.split()[1].partition("?")[2].split("&") if p)
            since = int(query["since"]) if "since" in query else None
            end = time.monotonic() + float(query.get("timeout_ms", 0)) / 1000.0
            while since is not None and self.generation <= since and (left := end - time.monotonic()) > 0:
                try:
                    async with asyncio.timeout(left):
                        await self.news.wait()
                except TimeoutError:
                    break
            while self.down:
                await asyncio.sleep(0.05)
            text = self.text(since)
            writer.write(answer(200, text, "Content-Type: application/json"))
            await writer.drain()


class Counter(Server):
    """The counter: adds amounts to names, which are forgotten after their life."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.names: dict[str, tuple[float, float]] = {}  # total and the moment at which it is forgotten
        self.delay = 0.001

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words = []
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2].decode())
            await asyncio.sleep(self.delay)
            if words[0].upper() == "CNT.ADD" and len(words) == 4:
                now = time.monotonic()
                total, end = self.names.get(words[1], (0.0, 0.0))
                if end <= now:
                    total, end = 0.0, now + min(float(words[3]), 60000.0) / 1000.0
                total += float(words[2])
                self.names[words[1]] = total, end
                text = f"{total:.7g}"
                writer.write(f"${len(text)}\r\n{text}\r\n".encode())
            elif words[0].upper() == "PING":
                writer.write(b"+PONG\r\n")
            else:
                writer.write(b"+OK\r\n" if words[0].upper() in ("CLIENT", "SELECT") else b"-ERR call\r\n")


# settings


def service(name: str, semantics: str, aim: float, deadline: float, scope: str = "all",
            span: float = 5000.0) -> dict[str, Any]:
    return {"name": name, "semantics": semantics, "aim": aim, "deadline": deadline, "dedup_scope": scope,
            "memory_span": span, "late_share": 0.2, "credit": 3.0, "stream": False}


def package(name: str, rate: float, peak: float, hard: float = 0.0, depth: float = 0.0) -> dict[str, Any]:
    return {"name": name, "units_per_s": rate, "peak_units": peak, "hard_rate": hard, "cap_depth": depth,
            "ceiling_slack": 1.0 if hard else 0.0, "concurrency": 0, "extra_worth": 0.0,
            "overrun_cost": 0.5, "value_factor": 1.0}


def settings(me: int = 0, gateways: int = 3) -> dict[str, Any]:
    """Settings of a small deployment: three gateways, the site's classes, and plans with room."""
    return {
        "balancers": gateways, "me": me, "layer": 0, "tiers": ["petition-servers"],
        "clients": {"marks_retry": True}, "membership_mode": "pushed", "service_type": "gate",
        "domain": {"count_fee": 0.01, "count_limit": 30.0, "counter": True, "mail_per_s": 0.0,
                   "max_units": 1, "post_paid": False, "use_period": 0.0},
        "limits": {"cancel": True, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 250.0,
                   "keepalive": 15000.0, "max_attempts": 4, "max_retry_after": 500.0, "max_streams": 100,
                   "may_probe": False, "most_held": 20000, "peers": False, "retry_after": True,
                   "second_copies": False},
        "packages": [package("community", 60.0, 120.0), package("campaign", 60.0, 120.0, 120.0, 240.0)],
        "services": [service("view-petition", "repeatable", 2000.0, 5000.0),
                     service("update-draft", "repeatable", 2000.0, 10000.0),
                     service("sign-petition", "by_key", 3000.0, 10000.0, "cell", 10000.0)],
        "report": {"fields": [], "source": "none"},
        "rules": {"answer_slack": 16.0, "ask_every": 10000.0, "cold_from": 0.16, "fall_multiple": 2.0,
                  "overload_for": 2000.0, "stop_sending_within": 1000.0, "warm_within": 18000.0},
        "shapes": ["standard-3core"], "weights": "nominal", "tick": 4.0,
        "zone": "room-a", "zones": ["room-a", "room-b", "room-c"]}


# gateways


class Gateway:
    """A gateway of the deploy file's `run`; a second start beside it is an upgrade."""

    def __init__(self, bed: Bed, number: int, port: int = 0, folder: pathlib.Path | None = None) -> None:
        self.bed, self.number, self.name = bed, number, f"gateway-{number}"
        self.port, self.console_port = port or free_port(), free_port()
        self.folder = folder or pathlib.Path(tempfile.mkdtemp(prefix=f"g{number}-", dir=bed.folder))
        self.child: asyncio.subprocess.Process | None = None
        self.agent = bed.discovery
        self.settings = settings(number)
        self.limits = {"cores": 1.0, "memory_mb": 96, "sockets": 640}
        self.counter_address = bed.counter.address
        self.known: dict[str, Any] | None = None  # the list in its configuration; None: discovery's present one

    def write_configuration(self) -> pathlib.Path:
        """Replaces the configuration file as a whole."""
        path = self.folder / f"config-{self.console_port}.json"
        listing = self.known or json.loads(self.agent.text(None))
        text = json.dumps({
            "name": self.name, "listen": f"{HOST}:{self.port}", "discovery": self.agent.address,
            "console": f"{HOST}:{self.console_port}", "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits, "counter": self.counter_address, "known": listing,
            "settings": self.settings})
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").replace(path)
        return path

    async def start(self) -> None:
        """Starts the process and waits for its yes at the console."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "EMBERSILL_"))}
        env |= {"RELAY_CONFIG": str(self.write_configuration()), "TMPDIR": str(self.folder)}
        if os.environ.get("TRACE") == "1":
            env["EMBERSILL_TRACE"] = "1"
        with (self.bed.folder / f"{self.name}-{self.console_port}.log").open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env=env)
        self.bed.children.append(self.child)
        end = time.monotonic() + READY_WITHIN
        while not (await self.console("STATUS")).startswith("done"):
            if self.child.returncode is not None or time.monotonic() > end:
                raise CouldNotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.02)
        self.bed.record.note(f"{self.name} is ready (console {self.console_port})")

    def successor(self) -> Gateway:
        """A second process of this gateway for an upgrade: the same addresses and folder, its own console."""
        other = Gateway(self.bed, self.number, self.port, self.folder)
        other.agent, other.settings, other.limits = self.agent, self.settings, self.limits
        other.known = self.known
        return other

    async def console(self, line: str) -> str:
        """The answer to a call at the console; empty if there is none."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(HOST, self.console_port)
                writer.write(line.encode() + b"\n")
                text = (await reader.read()).decode()
                writer.close()
                return text.strip()
        except (OSError, TimeoutError):
            return ""

    def signal(self, number: signal.Signals) -> None:
        if self.child is not None and self.child.returncode is None:
            self.bed.record.note(f"{number.name} to {self.name} (console {self.console_port})")
            self.child.send_signal(number)

    async def stop_as_platform(self, longest: float = 10.0) -> None:
        """A planned end: SIGTERM, and SIGKILL once the time of the protocol page is over."""
        assert self.child is not None
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(min(longest, MAX_KILL_DEADLINE) + KILL_AFTER):
                await self.child.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.child.wait()
        self.bed.record.note(f"{self.name} (console {self.console_port}) has ended: {self.child.returncode}")


# clients


class Client:
    """One client's connection to a gateway: a request at a time."""

    def __init__(self, bed: Bed, port: int) -> None:
        self.bed, self.port = bed, port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, receive_buffer: int = 0, limit: int = 2 ** 16) -> Client:
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)
        self.bed.clients.append(self)
        return self

    async def ask(self, text: bytes) -> Message:
        self.writer.write(text)
        return await read_message(self.reader)

    def close(self) -> None:
        self.writer.transport.abort()


class RawClient:
    """A client's connection on a bare socket: it reads as fast as it is told to, and keeps what it got."""

    def __init__(self, bed: Bed, port: int) -> None:
        self.bed, self.port, self.got, self.end = bed, port, b"", ""
        self.socket = socket.socket()

    async def open(self, receive_buffer: int = 0) -> RawClient:
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.setblocking(False)
        self.bed.helpers.append(self)
        await asyncio.get_running_loop().sock_connect(self.socket, (HOST, self.port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    async def send(self, text: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, text)

    async def read(self, size: int, rate: float, within: float) -> None:
        """Reads until it has `size` bytes, at `rate` bytes a second, or the connection or the time ends."""
        began, start = time.monotonic(), len(self.got)
        try:
            async with asyncio.timeout(within):
                while len(self.got) < size:
                    data = await asyncio.get_running_loop().sock_recv(self.socket, 8192)
                    if not data:
                        self.end = "the connection was closed"
                        return
                    self.got += data
                    due = began + (len(self.got) - start) / rate
                    await asyncio.sleep(max(due - time.monotonic(), 0.0))
        except TimeoutError:
            self.end = "no more came in time"
        except OSError as error:
            self.end = f"the connection broke: {error.strerror}"

    def answers(self) -> list[tuple[int, bytes]]:
        """The status and body of each whole answer, all of which have a length."""
        rest, found = self.got, []
        while b"\r\n\r\n" in rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            lengths = [int(x.partition(b":")[2]) for x in lines if x.startswith(b"content-length:")]
            if not lengths or len(rest) < lengths[0]:
                break
            found.append((int(lines[0].split()[1]), rest[:lengths[0]]))
            rest = rest[lengths[0]:]
        return found

    def close(self) -> None:
        self.socket.close()


def request(call: str, kind: str = "view-petition", budget: float = 4.0, body: bytes = b"", key: str = "",
            plan: str = "community", customer: int = 0xb4d65521, spread: int = 3, first: int = 0) -> bytes:
    """A request in the form of the protocol page."""
    post = kind == "sign-petition" or bool(key) or bool(body)
    lines = [f"{'POST' if post else 'GET'} /api?client={customer:016x} HTTP/1.1", "Host: backend.local",
             f"X-Call-Id: {call}", f"X-Call-Class: {kind}", f"Plan: {plan}", f"X-Budget: {budget:.3f}"]
    lines += [f"Idempotency-Key: {key or 'k' + call}"] if kind == "sign-petition" else []
    lines += [f"Content-Length: {len(body)}"] if post else []
    lines += [f"Quota-Info: units=1,spread={spread},first={first}", "", ""]
    return "\r\n".join(lines).encode() + body


def new_id() -> str:
    return f"{random.SystemRandom().getrandbits(64):016x}"


# the bed


class Bed:
    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.children: list[asyncio.subprocess.Process] = []
        self.clients: list[Client] = []
        self.helpers: list[Any] = []  # further things to close
        self.discovery, self.counter = Discovery(record), Counter(record)
        self.backends: list[Backend] = []

    async def start(self, backends: int = 6) -> None:
        await self.discovery.start()
        await self.counter.start()
        for number in range(backends):
            backend = Backend(self.record, f"s-{number:08x}", number // 2, f"room-{'abc'[number % 3]}")
            await backend.start()
            self.backends.append(backend)
        self.discovery.tell(*(b.entry() for b in self.backends))

    async def gateway(self, number: int = 0) -> Gateway:
        gateway = Gateway(self, number)
        await gateway.start()
        return gateway

    def runs(self, call: str) -> int:
        """How often any backend has run the request with this id."""
        return sum(c == call for b in self.backends for _, c, _ in b.runs)

    async def close(self) -> None:
        for helper in self.helpers:
            helper.close()
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()
        for client in self.clients:
            client.close()
        for server in (self.discovery, self.counter, *self.backends):
            server.stop()


Case = Callable[[Bed], Awaitable[list[str]]]


def main(case: Case) -> None:
    """Plays a case: exits with 1 if the rule was broken, with 0 if it held, with 2 if it could not run."""
    folder = pathlib.Path(os.environ.get("CASE_FOLDER") or pathlib.Path(sys.argv[0]).resolve().parent)
    record = Record(folder / "record.txt")
    record.note(f"the disruption is {'on' if TROUBLE else 'off'}")
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="case-"))

    async def play() -> list[str]:
        bed = Bed(temporary, record)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # what was started is ended all the same
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT):
                return await case(bed)
        finally:
            await bed.close()

    code = 2
    try:
        breaks = asyncio.run(play())
        for text in breaks:
            record.note(f"BREAK: {text}")
        record.note("the rule was broken" if breaks else "the rule held")
        print("\n".join(breaks) or "the rule held")
        code = 1 if breaks else 0
    except (CouldNotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.note(f"the case could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
    finally:
        if os.environ.get("KEEP") == "1":
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
