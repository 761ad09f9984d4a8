"""RESP2 server: passes gateways' calls to the aggregation state and sends its forwards upstream."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import hiredis

from embersill.aggregator import resp
from embersill.aggregator.messages import Forward, ForwardResult, Wait
from embersill.aggregator.state import Aggregation, Limits
from embersill.aggregator.upstream import Upstream, UpstreamOptions

TICK_INTERVAL = 0.005  # seconds between checks for due forwards and expired waits
IDLE_TIMEOUT = 10.0  # seconds after which an unused connection is closed
IDLE_CHECK_INTERVAL = 1.0  # seconds between scans for idle connections
MAX_CALL_BYTES = 64 * 1024  # received of an incomplete call; beyond it the connection is closed
MAX_OUTPUT_BYTES = 256 * 1024  # that one gateway has not read; beyond it the connection is aborted
MAX_UNANSWERED = 1_024  # calls of a connection; beyond it reading pauses until at most half remain
BACKLOG = 4_096  # connections waiting for accept: a whole fleet may reconnect at once


@dataclass(slots=True, eq=False)
class PendingReply:
    """A position in a connection's sequence of replies; `text` is None until the reply is known."""

    text: bytes | None = None


@dataclass(slots=True)
class ServerFigures:
    """Counts since the start."""

    connections_refused: int = 0
    connections_idle: int = 0
    connections_slow: int = 0
    calls_malformed: int = 0


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """Where the server listens, and the limits of its connections."""

    host: str
    port: int
    max_connections: int = 8_000
    idle_timeout: float = IDLE_TIMEOUT  # seconds


@dataclass(slots=True, eq=False)
class DeferredReply:
    """Where the reply to a waiting call belongs."""

    connection: ServerConnection
    reply: PendingReply = field(default_factory=PendingReply)


class ServerConnection(asyncio.Protocol):
    """A gateway's connection. Replies are sent in the order of the calls."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.replies: deque[PendingReply] = deque()
        self.output: list[bytes] = []
        self.incomplete_bytes = 0
        self.last_read_at = server.loop.time()
        self.reading_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's doesn't subclass it
        if len(self.server.connections) >= self.server.options.max_connections:
            self.server.figures.connections_refused += 1
            self.transport.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.replies.clear()

    def data_received(self, data: bytes) -> None:
        self.last_read_at = self.server.loop.time()
        self.incomplete_bytes += len(data)
        self.reader.feed(data)
        try:
            while (message := self.reader.gets()) is not False:
                self.incomplete_bytes = 0
                self.server.execute(message, self)
        except hiredis.ProtocolError:
            return self.reject_and_close("not a RESP2 call")
        if self.incomplete_bytes > MAX_CALL_BYTES:
            return self.reject_and_close("the call is too long")
        self.flush()

    def reject_and_close(self, message: str) -> None:
        """Sends the replies that are ready and an error, then closes: the stream can't be parsed further."""
        self.server.figures.calls_malformed += 1
        self.reply(resp.encode_error(message))
        self.flush()
        if self.transport is not None:
            self.transport.close()

    def reply(self, text: bytes) -> None:
        """Replies to the call just read, after the replies to earlier calls."""
        if self.replies:
            self.replies.append(PendingReply(text))
        else:
            self.output.append(text)

    def defer_reply(self) -> DeferredReply:
        """Reserves the position of a reply that is not known yet."""
        deferred = DeferredReply(self)
        self.replies.append(deferred.reply)
        return deferred

    def flush(self) -> None:
        """Writes the replies that are ready, up to the first that is not."""
        while self.replies and (text := self.replies[0].text) is not None:
            self.output.append(text)
            self.replies.popleft()
        self.apply_backpressure()
        if not self.output or self.transport is None:
            return
        output, self.output = self.output, []
        if self.transport.is_closing():
            return
        self.transport.write(b"".join(output))
        if self.transport.get_write_buffer_size() > MAX_OUTPUT_BYTES:
            self.server.figures.connections_slow += 1
            self.transport.abort()

    def apply_backpressure(self) -> None:
        """Pauses or resumes reading by the number of unanswered calls."""
        if self.transport is None or self.transport.is_closing():
            return
        if not self.reading_paused and len(self.replies) > MAX_UNANSWERED:
            self.reading_paused = True
            self.transport.pause_reading()
        elif self.reading_paused and len(self.replies) <= MAX_UNANSWERED // 2:
            self.reading_paused = False
            self.transport.resume_reading()

    def close_if_idle(self, now: float) -> None:
        """Closes the connection if nothing arrived for the idle timeout and no reply is due."""
        idle = now - self.last_read_at >= self.server.options.idle_timeout
        if idle and not self.replies and self.transport is not None:
            self.server.figures.connections_idle += 1
            self.transport.close()

    def eof_received(self) -> bool:
        return False


class Server:
    """An aggregator: its state, the gateways' connections and the upstream client."""

    def __init__(
        self, options: ServerOptions, limits: Limits, upstream: UpstreamOptions, seed: int | None = None
    ) -> None:
        self.options = options
        self.loop = asyncio.get_running_loop()
        self.state = Aggregation(limits, self.loop.time(), seed)
        self.upstream = Upstream(upstream, self.on_forward_ended)
        self.figures = ServerFigures()
        self.connections: set[ServerConnection] = set()
        self.deferred_replies: dict[int, DeferredReply] = {}
        self.scheduled_pump: asyncio.Handle | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.listener: asyncio.Server | None = None
        self.commands: dict[bytes, Callable[[list[bytes], ServerConnection], None]] = {
            b"CNT.ADD": self.execute_add,
            b"PING": lambda words, connection: connection.reply(resp.PONG),
            b"CLIENT": lambda words, connection: connection.reply(resp.OK),
            b"SELECT": lambda words, connection: connection.reply(resp.OK),
            b"AGG.STATS": self.execute_statistics,
        }

    # start and stop

    async def start(self) -> None:
        """Listens, and starts sending upstream: the first probe is due at once."""
        self.listener = await self.loop.create_server(
            lambda: ServerConnection(self), self.options.host, self.options.port, backlog=BACKLOG
        )
        self.tasks = [
            self.loop.create_task(self.pump_periodically()),
            self.loop.create_task(self.close_idle_periodically()),
        ]

    @property
    def port(self) -> int:
        """The port the server listens on."""
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    async def drain(self, timeout: float) -> bool:
        """Rejects further calls and forwards the remaining amounts for at most `timeout` seconds.

        Returns whether all of them were forwarded.
        """
        self.state.drain()
        deadline = self.loop.time() + timeout
        while not self.state.is_drained() and self.loop.time() < deadline:
            await asyncio.sleep(TICK_INTERVAL)
        return self.state.is_drained()

    async def stop(self) -> None:
        """Closes all connections; amounts that are not forwarded are lost."""
        if self.listener is not None:
            self.listener.close()
        for task in self.tasks:
            task.cancel()
        if self.scheduled_pump is not None:
            self.scheduled_pump.cancel()
        self.upstream.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # calls

    def execute(self, message: object, connection: ServerConnection) -> None:
        """Executes one call, or replies with an error if it is malformed."""
        if not isinstance(message, list) or not message or not all(isinstance(w, bytes) for w in message):
            return self.reply_malformed("a call is an array of bulk strings", connection)
        command = self.commands.get(message[0].upper())
        if command is None:
            return self.reply_malformed("unknown command", connection)
        command(message, connection)

    def reply_malformed(self, message: str, connection: ServerConnection) -> None:
        """Replies to a malformed call; the connection stays open."""
        self.figures.calls_malformed += 1
        connection.reply(resp.encode_error(message))

    def execute_add(self, words: list[bytes], connection: ServerConnection) -> None:
        """Executes `CNT.ADD`; the reply is deferred while the name's first total is awaited."""
        try:
            call = resp.parse_add(words)
        except resp.MalformedCall as error:
            return self.reply_malformed(str(error), connection)
        reply = self.state.add(call.name, call.amount, call.life, self.loop.time())
        if isinstance(reply, Wait):
            self.deferred_replies[reply.ticket] = connection.defer_reply()
            self.schedule_pump()
        else:
            connection.reply(resp.encode_reply(reply))

    def execute_statistics(self, words: list[bytes], connection: ServerConnection) -> None:
        """Executes `AGG.STATS`: the statistics as a JSON object."""
        connection.reply(resp.encode_bulk_string(json.dumps(self.statistics()).encode()))

    def statistics(self) -> dict[str, Any]:
        """Returns the figures of the state and of the server."""
        return {
            **self.state.statistics(self.loop.time()),
            "connections": len(self.connections),
            "connections_refused": self.figures.connections_refused,
            "connections_idle": self.figures.connections_idle,
            "connections_slow": self.figures.connections_slow,
            "calls_malformed": self.figures.calls_malformed,
        }

    # forwards

    def schedule_pump(self) -> None:
        """Schedules `pump` after the data at hand is read, so that calls for one name share a forward."""
        if self.scheduled_pump is None:
            self.scheduled_pump = self.loop.call_soon(self.pump)

    def pump(self) -> None:
        """Sends the forwards that are due and the replies that have become known."""
        self.scheduled_pump = None
        while (forward := self.state.next_forward(self.loop.time())) is not None:
            self.upstream.send(forward)
        self.deliver_answers()

    def on_forward_ended(self, forward: Forward, result: ForwardResult) -> None:
        """Applies the result of a forward."""
        self.state.forward_ended(forward, result, self.loop.time())
        self.deliver_answers()

    def deliver_answers(self) -> None:
        """Sends the deferred replies that have become known."""
        answered: dict[ServerConnection, None] = {}
        for answer in self.state.take_answers():
            deferred = self.deferred_replies.pop(answer.ticket)
            deferred.reply.text = resp.encode_reply(answer.reply)
            answered[deferred.connection] = None
        for connection in answered:
            connection.flush()

    async def pump_periodically(self) -> None:
        """Pumps every TICK_INTERVAL."""
        while True:
            self.pump()
            await asyncio.sleep(TICK_INTERVAL)

    async def close_idle_periodically(self) -> None:
        """Closes idle connections every IDLE_CHECK_INTERVAL."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
            now = self.loop.time()
            for connection in list(self.connections):
                connection.close_if_idle(now)
