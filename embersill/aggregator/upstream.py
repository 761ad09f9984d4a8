"""The client of the next level: pipelined calls over a few connections, answered in the order written."""

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

CONNECTION_COUNT = 4  # names are dealt out over them: a call that waits holds up fewer others
MAX_IDLE_TIME = 3.0  # seconds unused after which a connection is opened anew: counters close idle ones

ResultCallback = Callable[[Forward, ForwardResult], None]


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """Where the next level is and how long it may take, in seconds."""

    host: str
    port: int
    call_timeout: float = 1.0  # of a call, from its writing: then its connection is given up
    dial_timeout: float = 0.5


class UpstreamConnection(asyncio.Protocol):
    """One connection, with the calls before it is up and those that wait for their answers."""

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
        """Writes a call, now or once the connection is up."""
        self.last_used_at = self.loop.time()
        if self.transport is None:
            self.unwritten.append(forward)
        else:
            self.write(forward)

    def write(self, forward: Forward) -> None:
        assert self.transport is not None
        self.unanswered.append(forward)
        self.transport.write(encode_add(forward.name, forward.amount, forward.life_ms))
        if self.timeout_timer is None:
            self.start_timeout()

    def start_timeout(self) -> None:
        """Gives the connection up once the first call in line has waited too long."""
        first = self.unanswered[0].number
        self.timeout_timer = self.loop.call_later(self.options.call_timeout, self.check_timeout, first)

    def check_timeout(self, number: int) -> None:
        self.timeout_timer = None
        if self.unanswered and self.unanswered[0].number == number:
            self.close()
        elif self.unanswered:
            self.start_timeout()

    def is_reusable(self) -> bool:
        """Whether the next call may go over this connection."""
        if self.closed or self.transport is not None and self.transport.is_closing():
            return False
        idle = not self.unanswered and not self.unwritten
        return not (idle and self.loop.time() - self.last_used_at >= MAX_IDLE_TIME)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        if self.closed:
            self.transport.abort()
            return
        waiting, self.unwritten = self.unwritten, []
        for forward in waiting:
            self.write(forward)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while not self.closed and (reply := self.reader.gets()) is not False:
                self.on_reply(reply)
        except hiredis.ProtocolError:
            self.close()

    def on_reply(self, reply: object) -> None:
        if not self.unanswered:
            return self.close()  # an answer to nothing: what follows can't be matched either
        result = parse_result(reply)
        self.on_result(self.unanswered.popleft(), result)
        if result.status is ForwardStatus.UNKNOWN:
            self.close()  # a connection that gave no number is of no further use

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        """Ends the connection and tells of the calls left: the written ones may have been added."""
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
    """Carries forwards to the next level; `ended` hears of each exactly once."""

    def __init__(self, options: UpstreamOptions, on_result: ResultCallback) -> None:
        self.options = options
        self.on_result = on_result
        self.loop = asyncio.get_running_loop()
        self.connections: list[UpstreamConnection | None] = [None] * CONNECTION_COUNT
        self.dial_tasks: set[asyncio.Task[None]] = set()

    def send(self, forward: Forward) -> None:
        """Makes one call. Names of one customer share a connection."""
        place = zlib.crc32(forward.name.rpartition(b".")[0] or forward.name) % CONNECTION_COUNT
        connection = self.connections[place]
        if connection is None or not connection.is_reusable():
            if connection is not None:
                connection.close()
            connection = self.connections[place] = self.connect()
        connection.send(forward)

    def connect(self) -> UpstreamConnection:
        connection = UpstreamConnection(self.loop, self.options, self.on_result)
        task = self.loop.create_task(self.dial(connection))
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)
        return connection

    async def dial(self, connection: UpstreamConnection) -> None:
        try:
            async with asyncio.timeout(self.options.dial_timeout):
                await self.loop.create_connection(lambda: connection, self.options.host, self.options.port)
        except (OSError, TimeoutError):
            connection.close()

    def close(self) -> None:
        """Ends all connections."""
        for task in self.dial_tasks:
            task.cancel()
        for connection in self.connections:
            if connection is not None:
                connection.close()
