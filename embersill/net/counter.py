"""The client of the quota counter: RESP2, with pipelined calls that are answered in the order of writing."""

from __future__ import annotations

import asyncio
import math
import re
import zlib
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

import hiredis

from embersill.interface import CounterCallEnded, Outcome

CONNECTIONS = 4  # names are distributed over them, so that one slow reply delays fewer of the other calls
SILENT_AFTER_TIMEOUTS = 10.0  # call timeouts that a call may wait until its connection is replaced
# stricter than float(), which also accepts nan and 1_0
TOTAL_PATTERN = re.compile(rb"[+-]?\d{1,30}(\.\d{0,30})?([eE][+-]?\d{1,3})?")
MAX_IDLE_TIME = 3.0  # seconds until an unused connection is replaced: the counter closes idle ones silently
MAX_REPLY_SIZE = 16 * 1024  # bytes of an incomplete reply: a total takes less than 100


class CounterCall:
    """One call. Its end is reported once; its reply may still come later, and is then dropped in its turn."""

    __slots__ = ("name", "started_at", "ended", "timer")

    def __init__(self, name: str, started_at: float) -> None:
        self.name, self.started_at, self.ended = name, started_at, False
        self.timer: asyncio.TimerHandle | None = None


class CounterConnection(asyncio.Protocol):
    """One connection, with the calls still to be written and those that wait for their replies."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self.unwritten: list[tuple[CounterCall, bytes]] = []
        self.written: deque[CounterCall] = deque()
        self.reader = hiredis.Reader()
        self.last_used_at = counter.clock()
        self.write_pending = self.is_closed = False
        self.reply_incomplete = False  # a part of a reply has arrived
        self.incomplete_size = 0  # bytes of it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not derive from it
        self.transport.set_write_buffer_limits(high=0)  # so that pause_writing means: a call is not written
        waiting, self.unwritten = self.unwritten, []
        for call, text in waiting:
            if not call.ended:  # one that timed out while connecting is not written
                self.write(call, text)

    def pause_writing(self) -> None:
        self.write_pending = True

    def resume_writing(self) -> None:
        self.write_pending = False

    def send(self, call: CounterCall, text: bytes) -> None:
        """Writes a call, or queues it until the connection is open."""
        self.last_used_at = call.started_at
        if self.transport is None:
            self.unwritten.append((call, text))
        else:
            self.write(call, text)

    def write(self, call: CounterCall, text: bytes) -> None:
        assert self.transport is not None
        self.written.append(call)
        self.transport.write(text)

    def is_usable(self, now: float) -> bool:
        """False where the next call needs a new connection: this one is closed, silent or too long idle."""
        if self.is_closed or self.transport is not None and self.transport.is_closing():
            return False
        if self.written:
            return now - self.written[0].started_at < SILENT_AFTER_TIMEOUTS * self.counter.timeout
        return now - self.last_used_at < MAX_IDLE_TIME

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        self.reply_incomplete = True
        self.incomplete_size += len(data)
        try:
            while (reply := self.reader.gets()) is not False:
                if not self.written:
                    return self.close()  # a reply without a call: later replies can't be matched either
                self.reply_incomplete, self.incomplete_size = self.reader.has_data(), 0
                outcome, total = read_reply(reply)
                self.counter.end_call(self.written.popleft(), outcome, total)
                if outcome is Outcome.TIMED_OUT:
                    # the counter's protocol: after a reply without a number a connection is of no further use
                    return self.close()
        except hiredis.ProtocolError:
            self.close()
        if self.incomplete_size > MAX_REPLY_SIZE:
            self.close()

    def eof_received(self) -> bool:
        return False

    def close(self) -> None:
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail_calls()

    def fail_calls(self) -> None:
        """Ends the remaining calls: those not written added nothing (NO_CONNECTION), the others may have."""
        self.is_closed = True
        partly_written = self.written.pop() if self.write_pending and self.written else None
        while self.written:  # in order: the decision module matches results to calls of a name by their order
            self.counter.end_call(self.written.popleft(), Outcome.TIMED_OUT, 0.0)
        if partly_written is not None:
            self.counter.end_call(partly_written, Outcome.NO_CONNECTION, 0.0)
        for call, _ in self.unwritten:
            self.counter.end_call(call, Outcome.NO_CONNECTION, 0.0)
        self.unwritten = []


def read_reply(reply: object) -> tuple[Outcome, float]:
    """Converts a reply to its outcome and total.

    The decision module takes every outcome but SERVED and TIMED_OUT as proof that nothing was added.
    """
    if isinstance(reply, hiredis.ReplyError):
        kind = str(reply).partition(" ")[0]
        outcomes = {"BUSY": Outcome.REJECTED, "ERR": Outcome.ERROR}
        return outcomes.get(kind, Outcome.TIMED_OUT), 0.0
    text = b"%d" % reply if isinstance(reply, int) and not isinstance(reply, bool) else reply
    if isinstance(text, bytes) and TOTAL_PATTERN.fullmatch(text) and math.isfinite(total := float(text)):
        return Outcome.SERVED, total
    return Outcome.TIMED_OUT, 0.0  # neither a total nor an error: the amount may have been added


class CounterClient(Protocol):
    """Makes counter calls: a client of the counter itself, or one that distributes them over aggregators."""

    def add(self, name: str, amount: float, expire_after: float) -> None:
        """Starts a call that adds `amount` units to `name`, which may be dropped `expire_after` s later."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...


class Counter:
    """The counter calls of one gateway; `on_result` is called once for each, at its timeout at the latest."""

    def __init__(
        self, clock: Callable[[], float], address: tuple[str, int], timeout: float, dial_timeout: float,
        on_result: Callable[[CounterCallEnded], None], connections: int = CONNECTIONS,
    ) -> None:
        """`timeout`: seconds for a call; `dial_timeout`: seconds for opening a connection."""
        self.clock, self.address, self.timeout, self.on_result = clock, address, timeout, on_result
        self.dial_timeout = dial_timeout
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection | None] = [None] * connections
        self.former_connections: list[CounterConnection] = []  # to previous addresses: they get no new calls
        self.connect_tasks: set[asyncio.Task[None]] = set()

    def add(self, name: str, amount: float, expire_after: float) -> None:
        """Starts a call; its result goes to `on_result`."""
        now = self.clock()
        call = CounterCall(name, now)
        call.timer = self.loop.call_later(self.timeout, self.time_out, call)
        # by customer: the calls for one name stay in order, and so do those for the names of one customer
        index = zlib.crc32(name.partition(".")[0].encode()) % len(self.connections)
        connection = self.connections[index]
        if connection is None or not connection.is_usable(now):
            if connection is not None:
                connection.close()
            connection = self.connections[index] = CounterConnection(self)
            task = self.loop.create_task(self.connect(connection))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)
        words = ("CNT.ADD", name, f"{amount:.9g}", str(max(1, round(expire_after * 1000))))
        connection.send(call, hiredis.pack_command(words))  # type: ignore[arg-type]  # stub: one word

    def set_address(self, address: tuple[str, int]) -> None:
        """Sends further calls to another address; pending ones may still be answered by the previous one."""
        if address == self.address:
            return
        self.address = address
        former = [connection for connection in self.connections if connection is not None]
        self.connections = [None] * len(self.connections)
        self.former_connections += former
        self.loop.call_later(self.timeout, self.close_former, former)

    def close_former(self, connections: list[CounterConnection]) -> None:
        """Closes connections to a previous address, whose calls have all ended or timed out."""
        for connection in connections:
            connection.close()
            self.former_connections.remove(connection)

    async def connect(self, connection: CounterConnection) -> None:
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            connection.fail_calls()
        if connection.is_closed:
            connection.close()  # it was replaced while it was connecting

    def time_out(self, call: CounterCall) -> None:
        """Ends a call without a reply; one that was never written added nothing."""
        connection = next((
            c for c in (*self.connections, *self.former_connections) if c is not None and call in c.written
        ), None)
        self.end_call(call, Outcome.NO_CONNECTION if connection is None else Outcome.TIMED_OUT, 0.0)
        if connection is not None and connection.reply_incomplete:
            connection.close()  # the rest of a broken reply would be parsed as a part of the following ones

    def end_call(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Reports the end of a call; does nothing where it was reported before."""
        if call.ended:
            return
        call.ended = True
        if call.timer is not None:
            call.timer.cancel()
        self.on_result(CounterCallEnded(call.name, outcome, self.clock() - call.started_at, total))

    def close(self) -> None:
        for connection in (*self.connections, *self.former_connections):
            if connection is not None:
                connection.close()
        for task in self.connect_tasks:
            task.cancel()
