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
from embersill.aggregator.resp import add_text, read_result

CONNECTIONS = 4  # names are dealt out over them: a call that waits holds up fewer others
IDLE_LIMIT = 3.0  # seconds unused after which a connection is opened anew: counters close idle ones

Ended = Callable[[Forward, ForwardResult], None]


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """Where the next level is and how long it may take, in seconds."""

    host: str
    port: int
    patience: float = 1.0  # of a call, from its writing: then its connection is given up
    dial_timeout: float = 0.5


class Connection(asyncio.Protocol):
    """One connection, with the calls before it is up and those that wait for their answers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, options: UpstreamOptions, ended: Ended) -> None:
        self.loop = loop
        self.options = options
        self.ended = ended
        self.transport: asyncio.Transport | None = None
        self.unwritten: list[Forward] = []
        self.written: deque[Forward] = deque()
        self.reader = hiredis.Reader()
        self.used_at = loop.time()
        self.closed = False
        self.patience_timer: asyncio.TimerHandle | None = None

    def send(self, forward: Forward) -> None:
        """Writes a call, now or once the connection is up."""
        self.used_at = self.loop.time()
        if self.transport is None:
            self.unwritten.append(forward)
        else:
            self.write(forward)

    def write(self, forward: Forward) -> None:
        assert self.transport is not None
        self.written.append(forward)
        self.transport.write(add_text(forward.name, forward.amount, forward.life_ms))
        if self.patience_timer is None:
            self.watch_first()

    def watch_first(self) -> None:
        """Gives the connection up once the first call in line has waited too long."""
        first = self.written[0].number
        self.patience_timer = self.loop.call_later(self.options.patience, self.check_first, first)

    def check_first(self, number: int) -> None:
        self.patience_timer = None
        if self.written and self.written[0].number == number:
            self.close()
        elif self.written:
            self.watch_first()

    def is_fit(self) -> bool:
        """Whether the next call may go over this connection."""
        if self.closed or self.transport is not None and self.transport.is_closing():
            return False
        idle = not self.written and not self.unwritten
        return not (idle and self.loop.time() - self.used_at >= IDLE_LIMIT)

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
                self.take_reply(reply)
        except hiredis.ProtocolError:
            self.close()

    def take_reply(self, reply: object) -> None:
        if not self.written:
            return self.close()  # an answer to nothing: what follows can't be matched either
        result = read_result(reply)
        self.ended(self.written.popleft(), result)
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
        if self.patience_timer is not None:
            self.patience_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        unwritten, self.unwritten = self.unwritten, []
        for forward in unwritten:
            self.ended(forward, ForwardResult(ForwardStatus.NO_CONNECTION))
        while self.written:
            self.ended(self.written.popleft(), ForwardResult(ForwardStatus.UNKNOWN))


class Upstream:
    """Carries forwards to the next level; `ended` hears of each exactly once."""

    def __init__(self, options: UpstreamOptions, ended: Ended) -> None:
        self.options = options
        self.ended = ended
        self.loop = asyncio.get_running_loop()
        self.connections: list[Connection | None] = [None] * CONNECTIONS
        self.dials: set[asyncio.Task[None]] = set()

    def send(self, forward: Forward) -> None:
        """Makes one call. Names of one customer share a connection."""
        place = zlib.crc32(forward.name.rpartition(b".")[0] or forward.name) % CONNECTIONS
        connection = self.connections[place]
        if connection is None or not connection.is_fit():
            if connection is not None:
                connection.close()
            connection = self.connections[place] = self.connect()
        connection.send(forward)

    def connect(self) -> Connection:
        connection = Connection(self.loop, self.options, self.ended)
        task = self.loop.create_task(self.dial(connection))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)
        return connection

    async def dial(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(self.options.dial_timeout):
                await self.loop.create_connection(lambda: connection, self.options.host, self.options.port)
        except (OSError, TimeoutError):
            connection.close()

    def close(self) -> None:
        """Ends all connections."""
        for task in self.dials:
            task.cancel()
        for connection in self.connections:
            if connection is not None:
                connection.close()
