"""Clients of a soak: requests on keep-alive connections, early disconnects and malformed requests."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from embersill.lab.peers import HOST, read_message
from embersill.lab.soak.deployment import Deployment, RequestClass
from embersill.lab.soak.observations import ClientRequest

MAX_ANSWER_DELAY = 0.5  # seconds after the deadline in which an answer is worthless but not yet missing
# Seconds of a second read after a timeout: when this process itself was held up, the timer fires
# before data that has already arrived is read.
FINAL_READ_TIMEOUT = 0.05
ANSWER_SLACK = 0.3  # seconds that a client waits beyond MAX_ANSWER_DELAY before it gives up
BAD_CLIENT_TIMEOUT = 3.0  # seconds within which a malformed request gets an error or a close
CUSTOMER_COUNT = 40
# Shares of all requests: the client disconnects early; the budget is at most 0.15 s; it is malformed.
DISCONNECT_SHARE, TINY_BUDGET_SHARE, MALFORMED_SHARE = 0.06, 0.05, 0.02
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
    """A client that sent a malformed or incomplete request; times by the monotonic clock."""

    gateway: int
    started_at: float
    ended_at: float = 0.0
    status: int = 0  # of the answer; 0 without one


class GatewayClients:
    """All clients of one gateway, with their idle connections and requests in flight."""

    def __init__(
        self,
        gateway: int,
        port: int,
        deployment: Deployment,
        requests: dict[str, ClientRequest],
        seed: str,
        is_up: Callable[[], bool],
    ) -> None:
        """`is_up` says whether the gateway takes requests; `requests` is shared with the backends."""
        self.gateway, self.port, self.deployment, self.requests = gateway, port, deployment, requests
        self.is_up, self.rng = is_up, random.Random(seed)
        self.idle: list[Connection] = []
        self.in_flight: dict[ClientRequest, asyncio.StreamWriter] = {}
        self.bad_clients: list[BadClient] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_number = 0
        self.failures: list[str] = []  # unexpected exceptions of the client tasks

    def spawn(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(repr(task.exception()))

    async def run(self, rate: float, until: float) -> None:
        """Sends `rate` requests per second at random times until `until` of the monotonic clock."""
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
        """A random request: its record, and the bytes to send."""
        self.last_number += 1
        request_class: RequestClass = self.rng.choice(self.deployment.classes)
        call_id = f"g{self.gateway}-{self.last_number}"
        budget = request_class.deadline * self.rng.uniform(0.5, 1.0)
        if self.rng.random() < TINY_BUDGET_SHARE:
            budget = self.rng.uniform(0.01, 0.15)
        customer = f"{self.rng.randrange(CUSTOMER_COUNT):016x}"
        request = ClientRequest(call_id, self.gateway, customer, "basis", request_class.repeats, budget)
        method, body = ("GET", b"") if request_class.repeats == "repeatable" else ("POST", b"x" * 100)
        lines = [
            f"{method} /api?client={customer} HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {call_id}",
            f"X-Call-Class: {request_class.name}",
            "Plan: basis",
            f"X-Budget: {budget:.3f}",
            f"Quota-Info: units=1,spread={self.deployment.customer_gateways},first=0",
        ]
        lines += [f"Content-Length: {len(body)}"] if body else []
        lines += [f"Idempotency-Key: {call_id}"] if request_class.repeats == "by_key" else []
        return request, "\r\n".join([*lines, "", ""]).encode() + body

    async def connect(self) -> Connection:
        return await asyncio.open_connection(HOST, self.port)

    async def send_request(self) -> None:
        """Sends a request, again on a new connection if the idle one turns out to be closed."""
        request, text = self.make_request()
        self.requests[request.call_id] = request
        disconnect_after = (
            self.rng.uniform(0.0, request.budget) if self.rng.random() < DISCONNECT_SHARE else None
        )
        reused = bool(self.idle)
        try:
            connection = self.idle.pop() if reused else await self.connect()
        except OSError:
            del self.requests[request.call_id]  # nothing was sent
            return
        if await self.exchange(request, text, connection, disconnect_after, reused):
            return
        request.written_at, request.closed_at = float("inf"), float("inf")
        try:
            connection = await self.connect()
        except OSError:
            # The gateway has ended. The request stays known: an attempt made before may still arrive.
            return
        await self.exchange(request, text, connection, disconnect_after, False)

    async def exchange(
        self,
        request: ClientRequest,
        text: bytes,
        connection: Connection,
        disconnect_after: float | None,
        reused: bool,
    ) -> bool:
        """Writes a request and reads its answer.

        Returns False if a reused connection was closed before the gateway read the request.
        """
        reader, writer = connection
        if writer.transport.is_closing():
            return not reused
        request.written_at = time.monotonic()
        writer.write(text)
        self.in_flight[request] = writer
        timeout = request.budget + MAX_ANSWER_DELAY + ANSWER_SLACK
        try:
            if disconnect_after is None:
                status_line, headers, body = await read_message_within(reader, timeout)
            else:
                async with asyncio.timeout(disconnect_after):
                    status_line, headers, body = await read_message(reader)
        except TimeoutError:
            self.disconnect(request)
            return True
        except (OSError, asyncio.IncompleteReadError) as error:
            request.closed_at = time.monotonic()
            writer.close()
            partial = bool(getattr(error, "partial", b""))
            return (
                partial
                or request.disconnected_at < request.closed_at
                or not (reused and not request.attempts)
            )
        finally:
            self.in_flight.pop(request, None)
        request.answered_at, request.status = time.monotonic(), int(status_line.split()[1])
        request.complete = request.status != 200 or body == b"served " + request.call_id.encode()
        if headers.get("connection") == "close":
            writer.close()
        else:
            self.idle.append(connection)
        return True

    def disconnect(self, request: ClientRequest) -> None:
        """Closes the client's connection while the request is in flight."""
        writer = self.in_flight.pop(request, None)
        if writer is not None and request.disconnected_at == float("inf"):
            request.disconnected_at = time.monotonic()
            writer.transport.abort()

    def disconnect_some(self, share: float) -> None:
        """Disconnects a random share of the clients that wait for an answer."""
        for request in list(self.in_flight):
            if self.rng.random() < share:
                self.disconnect(request)

    async def send_malformed(self, text: bytes) -> None:
        """Sends malformed or incomplete data and notes the error or close that answers it."""
        try:
            reader, writer = await self.connect()
        except OSError:
            return
        client = BadClient(self.gateway, time.monotonic())
        writer.write(text)
        try:
            async with asyncio.timeout(BAD_CLIENT_TIMEOUT + 1.0):
                status_line = await reader.readline()
            client.status = int(status_line.split()[1]) if status_line.startswith(b"HTTP/1.1 ") else 0
        except (TimeoutError, OSError):
            pass
        client.ended_at = time.monotonic()
        writer.close()
        if self.is_up():
            self.bad_clients.append(client)

    async def hold_idle_connections(self, count: int, duration: float) -> None:
        """Opens up to `count` connections and holds them for `duration` seconds without a request."""
        held: list[Connection] = []
        try:
            for _ in range(count):
                held.append(await self.connect())
            await asyncio.sleep(duration)
        except OSError:
            pass
        finally:
            for _, writer in held:
                writer.transport.abort()


async def read_message_within(
    reader: asyncio.StreamReader, timeout: float
) -> tuple[str, dict[str, str], bytes]:
    """Reads a message within `timeout` seconds, plus a short second try for data that has already arrived.

    Raises:
        TimeoutError: no complete message arrived.
    """
    try:
        async with asyncio.timeout(timeout):
            return await read_message(reader)
    except TimeoutError:
        async with asyncio.timeout(FINAL_READ_TIMEOUT):
            return await read_message(reader)
