"""Thousands of backends behind one listening socket, each with its own address in 127.0.0.0/8."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from embersill.lab.soak.crowd import CALL_PREFIX, answer_size
from embersill.lab.soak.observations import Attempt, AttemptEnd, ClientRequest

LOOPBACK_DEVICE = b"lo"
FIRST_SUBNET = 64  # second byte of the first address, 127.64.0.1
BACKLOG = 4096
LAST_CHUNK = b"\r\n0\r\n\r\n"  # no body of the crowd has line ends within
REJECTED_RESPONSE = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


class Behaviour(Enum):
    """What a backend does with the requests that it receives."""

    SERVE = "serve"
    REJECT = "reject"  # 503 with X-Rejected
    FAIL = "fail"  # 500
    HANG = "hang"  # accepts requests and never answers
    RESET = "reset"  # resets the connection while the request is open
    BREAK_OFF = "break off"  # resets the connection before the end of the answer
    ANSWER_TWICE = "answer twice"  # sends a second answer 3 ms later
    CLOSE_IDLE = "close idle"  # closes the connection right after the answer, without Connection: close
    PIECES = "pieces"  # sends the answer in pieces of 7 bytes


@dataclass(slots=True)
class BackendModel:
    """One backend: its address, current behaviour and the attempts that it received."""

    name: str
    address: str
    mean_work_time: float = 0.01  # seconds; exponentially distributed
    behaviour: Behaviour = Behaviour.SERVE
    attempts: list[Attempt] = field(default_factory=list)


def backend_address(number: int) -> str:
    """The address of the n-th backend; distinct for up to four million backends."""
    host = number + 1
    return f"127.{FIRST_SUBNET + (host >> 16)}.{host >> 8 & 255}.{host & 255}"


class BackendServer:
    """Accepts connections for all backends; the local address of a connection identifies its backend."""

    def __init__(self, names: list[str], requests: dict[str, ClientRequest], seed: int = 0) -> None:
        self.models = {name: BackendModel(name, backend_address(n)) for n, name in enumerate(names)}
        self.by_address = {model.address: model for model in self.models.values()}
        self.requests, self.rng = requests, random.Random(seed)
        self.unknown_call_ids: list[str] = []  # received, but sent by no client
        # Called with each attempt received in full, before it is added to the request.
        self.on_attempt: Callable[[ClientRequest, Attempt], None] = lambda request, attempt: None
        self.port = 0
        self.connections: set[BackendProtocol] = set()
        self.accepted_count = 0  # connections accepted so far
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on all addresses of the loopback device, and on no other device."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
        listener.bind(("0.0.0.0", 0))
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: BackendProtocol(self), sock=listener, backlog=BACKLOG)
        self.port = listener.getsockname()[1]

    def host_port(self, name: str) -> str:
        return f"{self.models[name].address}:{self.port}"

    def break_connections(self, name: str) -> None:
        """Resets all connections of a backend, as its crash would."""
        for connection in [c for c in self.connections if c.model.name == name]:
            connection.reset()

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()


class BackendProtocol(asyncio.Protocol):
    """One connection of a gateway to a backend; expects one request at a time."""

    model: BackendModel

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.first_byte_at = 0.0
        self.attempt: Attempt | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.model = self.server.by_address[transport.get_extra_info("sockname")[0]]
        self.server.connections.add(self)
        self.server.accepted_count += 1

    def data_received(self, data: bytes) -> None:
        if not self.received:
            self.first_byte_at = time.monotonic()
        self.received += data
        head, ended, body = self.received.partition(b"\r\n\r\n")
        if not ended:
            return
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        is_chunked = headers.get(b"transfer-encoding") == b"chunked"
        if body.endswith(LAST_CHUNK) if is_chunked else len(body) >= int(headers.get(b"content-length", 0)):
            self.received = b""
            self.on_request(headers)

    def on_request(self, headers: dict[bytes, bytes]) -> None:
        """Called when a request is received in full: records the attempt and schedules its answer."""
        assert self.transport is not None
        call_id = headers.get(b"x-call-id", b"").decode()
        if call_id.startswith(CALL_PREFIX):
            size = max(answer_size(call_id), 2)
            return self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (size, b"x" * size))
        request = self.server.requests.get(call_id)
        if request is None:
            self.server.unknown_call_ids.append(call_id)
            return self.answer(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n", AttemptEnd.ANSWERED)
        self.attempt = attempt = Attempt(
            request.gateway,
            self.model.name,
            self.first_byte_at,
            time.monotonic(),
            float(headers[b"x-budget"]),
            descriptor=self.transport.get_extra_info("socket").fileno(),
        )
        self.server.on_attempt(request, attempt)
        request.attempts.append(attempt)
        self.model.attempts.append(attempt)
        delay = self.model.mean_work_time * self.server.rng.expovariate(1.0)
        self.loop.call_later(delay, self.respond, call_id, attempt)
        return None

    def respond(self, call_id: str, attempt: Attempt) -> None:
        """Answers an attempt, or fails it, as the backend's behaviour says."""
        if self.transport is None or attempt.end is not AttemptEnd.OPEN:
            return
        body = b"served " + call_id.encode()
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        match self.model.behaviour:
            case Behaviour.SERVE:
                self.answer(response, AttemptEnd.ANSWERED)
            case Behaviour.REJECT:
                self.answer(REJECTED_RESPONSE, AttemptEnd.REJECTED)
            case Behaviour.FAIL:
                self.answer(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", AttemptEnd.ANSWERED)
            case Behaviour.HANG:
                pass
            case Behaviour.RESET:
                self.end_attempt(AttemptEnd.BROKEN)
                self.reset()
            case Behaviour.BREAK_OFF:
                self.answer(response[:-4], AttemptEnd.BROKEN)
                self.reset()
            case Behaviour.ANSWER_TWICE:
                self.answer(response, AttemptEnd.ANSWERED)
                self.loop.call_later(0.003, self.write, response)
            case Behaviour.CLOSE_IDLE:
                self.answer(response, AttemptEnd.ANSWERED)
                self.transport.close()
            case Behaviour.PIECES:
                for offset in range(0, len(response), 7):
                    self.loop.call_later(0.0005 * offset, self.write, response[offset : offset + 7])
                self.end_attempt(AttemptEnd.ANSWERED)

    def answer(self, text: bytes, end: AttemptEnd) -> None:
        self.write(text)
        self.end_attempt(end)

    def write(self, text: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(text)

    def end_attempt(self, end: AttemptEnd) -> None:
        """Records how the current attempt ended, if it is still open."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None and attempt.end is AttemptEnd.OPEN:
            attempt.end, attempt.ended_at, attempt.descriptor = end, time.monotonic(), -1

    def reset(self) -> None:
        """Closes the connection with RST."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.end_attempt(AttemptEnd.CLOSED)
        self.server.connections.discard(self)
        self.transport = None
