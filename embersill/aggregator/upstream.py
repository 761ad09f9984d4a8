"""Client of the counter or of another aggregator: pipelines calls over a few connections.

Replies arrive in the order in which the calls of their connection were written.
"""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import hiredis

from embersill.aggregator.messages import Forward, ForwardResult, ForwardStatus
from embersill.aggregator.resp import encode_add, parse_result

CONNECTION_COUNT = 4  # names are spread over them, so that a slow call delays fewer others
MAX_IDLE_TIME = 3.0  # seconds after which an unused connection is replaced: counters close idle ones

ResultCallback = Callable[[Forward, ForwardResult], None]


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """The upstream's address and its timeouts in seconds."""

    host: str
    port: int
    call_timeout: float = 1.0  # of the first unanswered call; then its connection is closed
    dial_timeout: float = 0.5


class UpstreamConnection(asyncio.Protocol):
    """One connection, with the calls not yet written and those not yet answered.

    `on_result` is called once for each call.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, options: UpstreamOptions, on_result: ResultCallback
    ) -> None:
        self.loop = loop
        self.options = options
        self.on_result = on_result
        self.transport: asyncio.Transport | None = None
        self.unwritten: list[Forward] = []
        self.unanswered: deque[Forward] = deque()
        self.reader = hiredis.Reader()
        self.last_used_at = loop.time()
        self.closed = False
        self.timeout_timer: asyncio.TimerHandle | None = None

    def send(self, forward: Forward) -> None:
        """Writes a call, now or once the connection is open."""
        self.last_used_at = self.loop.time()
        if self.transport is None:
            self.unwritten.append(forward)
        else:
            self.write(forward)

    def write(self, forward: Forward) -> None:
        """Writes a call to the open connection."""
        assert self.transport is not None
        self.unanswered.append(forward)
        self.transport.write(encode_add(forward.name, forward.amount, forward.life_ms))
        if self.timeout_timer is None:
            self.start_timeout()

    def start_timeout(self) -> None:
        """Starts the timeout of the first unanswered call."""
        first = self.unanswered[0].number
        self.timeout_timer = self.loop.call_later(self.options.call_timeout, self.check_timeout, first)

    def check_timeout(self, number: int) -> None:
        """Closes the connection if call `number` is still unanswered, or times the next one."""
        self.timeout_timer = None
        if self.unanswered and self.unanswered[0].number == number:
            self.close()
        elif self.unanswered:
            self.start_timeout()

    def is_reusable(self) -> bool:
        """Whether this connection can take another call: it is open or opening, and not idle too long."""
        if self.closed or self.transport is not None and self.transport.is_closing():
            return False
        idle = not self.unanswered and not self.unwritten
        return not (idle and self.loop.time() - self.last_used_at >= MAX_IDLE_TIME)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's doesn't subclass it
        if self.closed:
            self.transport.abort()
            return
        unwritten, self.unwritten = self.unwritten, []
        for forward in unwritten:
            self.write(forward)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while not self.closed and (reply := self.reader.gets()) is not False:
                self.on_reply(reply)
        except hiredis.ProtocolError:
            self.close()

    def on_reply(self, reply: object) -> None:
        """Matches a reply with the first unanswered call."""
        if not self.unanswered:
            return self.close()  # a surplus reply: later ones could not be matched with their calls
        result = parse_result(reply)
        self.on_result(self.unanswered.popleft(), result)
        if result.status is ForwardStatus.UNKNOWN:
            self.close()  # the reply held no total, so later ones are not trusted

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        """Closes the connection and reports its remaining calls; the written ones may have been added."""
        if self.closed:
            return
        self.closed = True
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        unwritten, self.unwritten = self.unwritten, []
        for forward in unwritten:
            self.on_result(forward, ForwardResult(ForwardStatus.NO_CONNECTION))
        while self.unanswered:
            self.on_result(self.unanswered.popleft(), ForwardResult(ForwardStatus.UNKNOWN))


class Upstream:
    """Sends forwards upstream; `on_result` is called exactly once for each."""

    def __init__(self, options: UpstreamOptions, on_result: ResultCallback) -> None:
        self.options = options
        self.on_result = on_result
        self.loop = asyncio.get_running_loop()
        self.connections: list[UpstreamConnection | None] = [None] * CONNECTION_COUNT
        self.dial_tasks: set[asyncio.Task[None]] = set()

    def send(self, forward: Forward) -> None:
        """Sends a forward. Names of one customer share a connection."""
        index = zlib.crc32(forward.name.rpartition(b".")[0] or forward.name) % CONNECTION_COUNT
        connection = self.connections[index]
        if connection is None or not connection.is_reusable():
            if connection is not None:
                connection.close()
            connection = self.connections[index] = self.connect()
        connection.send(forward)

    def connect(self) -> UpstreamConnection:
        """Starts to open a connection; calls can be sent to it at once."""
        connection = UpstreamConnection(self.loop, self.options, self.on_result)
        task = self.loop.create_task(self.dial(connection))
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)
        return connection

    async def dial(self, connection: UpstreamConnection) -> None:
        """Opens a connection, or closes it on an error or after the dial timeout."""
        try:
            async with asyncio.timeout(self.options.dial_timeout):
                await self.loop.create_connection(lambda: connection, self.options.host, self.options.port)
        except (OSError, TimeoutError):
            connection.close()

    def close(self) -> None:
        """Closes all connections."""
        for task in self.dial_tasks:
            task.cancel()
        for connection in self.connections:
            if connection is not None:
                connection.close()
