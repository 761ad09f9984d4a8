"""Clients of a soak: each request on a connection that is kept, with what impatient and broken ones do."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from embersill.lab.peers import HOST, read_message
from embersill.lab.soak.deployment import Deployment, RequestClass
from embersill.lab.soak.observations import ClientRequest

MAX_ANSWER_DELAY = 0.5  # seconds after its time in which an answer only earns nothing
FINAL_READ_TIMEOUT = 0.05  # seconds for what has come by then: after a hold-up of this process its timer comes first
ANSWER_SLACK = 0.3  # seconds that a client waits on after that before it calls the answer missing
BAD_CLIENT_TIMEOUT = 3.0  # seconds in which a peer with no proper request gets an error or a close
CUSTOMER_COUNT = 40
DISCONNECT_SHARE, TINY_BUDGET_SHARE, MALFORMED_SHARE = 0.06, 0.05, 0.02  # parts of the requests: left early; with little time; never whole
MALFORMED_REQUESTS = (
    b"",
    b"GET /api HTTP/1.1\r\nHost: x\r\n",
    b"\x16\x03\x01\x02\x00" * 20,
    b"\r\n\r\n",
    b"POST /api HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class BadClient:
    """A peer that sent no proper request."""

    gateway: int
    started_at: float
    ended_at: float = 0.0
    status: int = 0


class GatewayClients:
    """All clients of one gateway."""

    def __init__(
        self,
        gateway: int,
        port: int,
        deployment: Deployment,
        requests: dict[str, ClientRequest],
        seed: str,
        is_up: Callable[[], bool],
    ) -> None:
        """`is_up`: whether requests may come; `requests` is shared with the backends."""
        self.gateway, self.port, self.deployment, self.requests = gateway, port, deployment, requests
        self.is_up, self.rng = is_up, random.Random(seed)
        self.idle: list[Connection] = []
        self.in_flight: dict[ClientRequest, asyncio.StreamWriter] = {}
        self.bad_clients: list[BadClient] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_number = 0
        self.failures: list[str] = []  # of clients, by a fault of this program

    def spawn(self, work: asyncio.Task[None]) -> None:
        self.tasks.add(work)
        work.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(repr(task.exception()))

    async def run(self, rate: float, until: float) -> None:
        """Requests at random moments, up to a moment of the monotonic clock."""
        loop = asyncio.get_running_loop()
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            if not self.is_up():
                continue
            if self.rng.random() < MALFORMED_SHARE:
                self.spawn(loop.create_task(self.send_malformed(self.rng.choice(MALFORMED_REQUESTS))))
            else:
                self.spawn(loop.create_task(self.send_request()))

    def make_request(self) -> tuple[ClientRequest, bytes]:
        self.last_number += 1
        klass: RequestClass = self.rng.choice(self.deployment.classes)
        call_id = f"g{self.gateway}-{self.last_number}"
        budget = klass.deadline * self.rng.uniform(0.5, 1.0)
        if self.rng.random() < TINY_BUDGET_SHARE:
            budget = self.rng.uniform(0.01, 0.15)
        customer = f"{self.rng.randrange(CUSTOMER_COUNT):016x}"
        made = ClientRequest(call_id, self.gateway, customer, "basis", klass.repeats, budget)
        method, body = ("GET", b"") if klass.repeats == "repeatable" else ("POST", b"x" * 100)
        lines = [
            f"{method} /api?client={customer} HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {call_id}",
            f"X-Call-Class: {klass.name}",
            "Plan: basis",
            f"X-Budget: {budget:.3f}",
            f"Quota-Info: units=1,spread={self.deployment.customer_gateways},first=0",
        ]
        lines += [f"Content-Length: {len(body)}"] if body else []
        lines += [f"Idempotency-Key: {call_id}"] if klass.repeats == "by_key" else []
        return made, "\r\n".join([*lines, "", ""]).encode() + body

    async def connect(self) -> Connection:
        return await asyncio.open_connection(HOST, self.port)

    async def send_request(self) -> None:
        """One request; where its connection was closed while idle, once more on a new one."""
        made, text = self.make_request()
        self.requests[made.call_id] = made
        leaves_after = self.rng.uniform(0.0, made.budget) if self.rng.random() < DISCONNECT_SHARE else None
        kept = bool(self.idle)
        try:
            connection = self.idle.pop() if kept else await self.connect()
        except OSError:
            del self.requests[made.call_id]  # no connection: nothing was taken
            return
        if await self.exchange(made, text, connection, leaves_after, kept):
            return
        made.written_at, made.closed_at = float("inf"), float("inf")
        try:
            connection = await self.connect()
        except OSError:
            return  # its gateway has ended; an attempt that it made before may still come
        await self.exchange(made, text, connection, leaves_after, False)

    async def exchange(
        self, made: ClientRequest, text: bytes, connection: Connection, leaves_after: float | None, kept: bool
    ) -> bool:
        """Writes a request and reads its answer; False where a kept connection was closed under it unread."""
        reader, writer = connection
        if writer.transport.is_closing():
            return not kept
        made.written_at = time.monotonic()
        writer.write(text)
        self.in_flight[made] = writer
        within = made.budget + MAX_ANSWER_DELAY + ANSWER_SLACK
        try:
            if leaves_after is None:
                first, headers, body = await read_message_within(reader, within)
            else:
                async with asyncio.timeout(leaves_after):
                    first, headers, body = await read_message(reader)
        except TimeoutError:
            self.disconnect(made)
            return True
        except (OSError, asyncio.IncompleteReadError) as error:
            made.closed_at = time.monotonic()
            writer.close()
            partial = bool(getattr(error, "partial", b""))
            return partial or made.disconnected_at < made.closed_at or not (kept and not made.attempts)
        finally:
            self.in_flight.pop(made, None)
        made.answered_at, made.status = time.monotonic(), int(first.split()[1])
        made.complete = made.status != 200 or body == b"served " + made.call_id.encode()
        if headers.get("connection") == "close":
            writer.close()
        else:
            self.idle.append(connection)
        return True

    def disconnect(self, made: ClientRequest) -> None:
        """Its client closes its connection."""
        writer = self.in_flight.pop(made, None)
        if writer is not None and made.disconnected_at == float("inf"):
            made.disconnected_at = time.monotonic()
            writer.transport.abort()

    def disconnect_some(self, part: float) -> None:
        for made in list(self.in_flight):
            if self.rng.random() < part:
                self.disconnect(made)

    async def send_malformed(self, text: bytes) -> None:
        """Sends what is no whole request, and waits for what it is owed."""
        try:
            reader, writer = await self.connect()
        except OSError:
            return
        seen = BadClient(self.gateway, time.monotonic())
        writer.write(text)
        try:
            async with asyncio.timeout(BAD_CLIENT_TIMEOUT + 1.0):
                first = await reader.readline()
            seen.status = int(first.split()[1]) if first.startswith(b"HTTP/1.1 ") else 0
        except (TimeoutError, OSError):
            pass
        seen.ended_at = time.monotonic()
        writer.close()
        if self.is_up():
            self.bad_clients.append(seen)

    async def hold_idle_connections(self, many: int, lasts: float) -> None:
        """Connections that ask for nothing."""
        held: list[Connection] = []
        try:
            for _ in range(many):
                held.append(await self.connect())
            await asyncio.sleep(lasts)
        except OSError:
            pass
        finally:
            for _, writer in held:
                writer.transport.abort()


async def read_message_within(reader: asyncio.StreamReader, within: float) -> tuple[str, dict[str, str], bytes]:
    """A message, read within so many seconds and a last look; TimeoutError where there is none."""
    try:
        async with asyncio.timeout(within):
            return await read_message(reader)
    except TimeoutError:
        async with asyncio.timeout(FINAL_READ_TIMEOUT):
            return await read_message(reader)
