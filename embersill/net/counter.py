"""The quota counter, spoken to in RESP2: calls are pipelined and answered in the order they were written."""

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

CONNECTIONS = 4  # connections: names are dealt out over them, so that one slow part holds up fewer of the others
SILENT_AFTER_TIMEOUTS = 10.0  # times the patience that the first in line may wait before its connection is given up
TOTAL_PATTERN = re.compile(rb"[+-]?\d{1,30}(\.\d{0,30})?([eE][+-]?\d{1,3})?")  # float() takes more: nan, 1_0
MAX_IDLE_TIME = 3.0  # seconds unused after which a line is opened anew: the counter closes idle ones unannounced


class CounterCall:
    """One call; told to the driver once, though its answer may come and take its place in line after that."""

    __slots__ = ("name", "started_at", "ended", "timer")

    def __init__(self, name: str, started: float) -> None:
        self.name, self.started_at, self.ended = name, started, False
        self.timer: asyncio.TimerHandle | None = None


class CounterConnection(asyncio.Protocol):
    """One connection, with the calls that wait to be written and those that wait for their answers."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self.unwritten: list[tuple[CounterCall, bytes]] = []
        self.written: deque[CounterCall] = deque()
        self.reader = hiredis.Reader()
        self.last_used_at = counter.clock()
        self.write_pending = self.is_closed = False
        self.reply_incomplete = False  # a reply has begun that is not complete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.transport.set_write_buffer_limits(high=0)  # pause_writing then tells that a call is not written
        waiting, self.unwritten = self.unwritten, []
        for call, text in waiting:
            if not call.ended:  # one that was given up while the line came up stays unwritten
                self.write(call, text)

    def pause_writing(self) -> None:
        self.write_pending = True

    def resume_writing(self) -> None:
        self.write_pending = False

    def send(self, call: CounterCall, text: bytes) -> None:
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
        """False where the next call should go over a new connection: it died, fell silent or stood idle."""
        if self.is_closed or self.transport is not None and self.transport.is_closing():
            return False
        if self.written:
            return now - self.written[0].started_at < SILENT_AFTER_TIMEOUTS * self.counter.timeout
        return now - self.last_used_at < MAX_IDLE_TIME

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        self.reply_incomplete = True
        try:
            while (reply := self.reader.gets()) is not False:
                if not self.written:
                    return self.close()  # an answer to nothing: what follows can't be matched either
                self.reply_incomplete = self.reader.has_data()
                outcome, total = read_reply(reply)
                self.counter.end_call(self.written.popleft(), outcome, total)
                if outcome is Outcome.TIMED_OUT:
                    return self.close()  # by the terms, a connection that gave no number is of no further use
        except hiredis.ProtocolError:
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
        """Tells what can be told of the calls left: the unwritten added nothing, the others may have."""
        self.is_closed = True
        unsent = self.written.pop() if self.write_pending and self.written else None
        while self.written:  # in their order: the module knows a call by its name and its place among them
            self.counter.end_call(self.written.popleft(), Outcome.TIMED_OUT, 0.0)
        if unsent is not None:
            self.counter.end_call(unsent, Outcome.NO_CONNECTION, 0.0)
        for call, _ in self.unwritten:
            self.counter.end_call(call, Outcome.NO_CONNECTION, 0.0)
        self.unwritten = []


def read_reply(reply: object) -> tuple[Outcome, float]:
    """A reply as outcome and total. The module takes all but a time-out as proof that nothing was added."""
    if isinstance(reply, hiredis.ReplyError):
        kind = str(reply).partition(" ")[0]
        known = {"BUSY": Outcome.REJECTED, "ERR": Outcome.ERROR}
        return known.get(kind, Outcome.TIMED_OUT), 0.0
    text = b"%d" % reply if isinstance(reply, int) and not isinstance(reply, bool) else reply
    if isinstance(text, bytes) and TOTAL_PATTERN.fullmatch(text) and math.isfinite(total := float(text)):
        return Outcome.SERVED, total
    return Outcome.TIMED_OUT, 0.0  # neither a total nor an error: it may have been added


class CounterClient(Protocol):
    """What makes counter calls: the counter's own client, or one that divides them over aggregators."""

    def add(self, name: str, amount: float, forget_after: float) -> None: ...

    def close(self) -> None: ...


class Counter:
    """The calls of one gateway. `told` hears of each exactly once, at its patience's end at the latest."""

    def __init__(
        self, clock: Callable[[], float], address: tuple[str, int], patience: float, dial_timeout: float,
        told: Callable[[CounterCallEnded], None], lines: int = CONNECTIONS,
    ) -> None:
        self.clock, self.address, self.timeout, self.on_result = clock, address, patience, told
        self.dial_timeout = dial_timeout
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection | None] = [None] * lines
        self.former_connections: list[CounterConnection] = []  # at the address before: they only wait for their answers
        self.connect_tasks: set[asyncio.Task[None]] = set()

    def add(self, name: str, amount: float, forget_after: float) -> None:
        now = self.clock()
        call = CounterCall(name, now)
        call.timer = self.loop.call_later(self.timeout, self.time_out, call)
        # by customer: calls for one name keep their order, and so do the names of one customer
        place = zlib.crc32(name.partition(".")[0].encode()) % len(self.connections)
        line = self.connections[place]
        if line is None or not line.is_usable(now):
            if line is not None:
                line.close()
            line = self.connections[place] = CounterConnection(self)
            task = self.loop.create_task(self.connect(line))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)
        words = ("CNT.ADD", name, f"{amount:.9g}", str(max(1, round(forget_after * 1000))))
        line.send(call, hiredis.pack_command(words))  # type: ignore[arg-type]  # its stub takes one word only

    def set_address(self, address: tuple[str, int]) -> None:
        """Calls go to another address from now on; those that are out may still be answered at the old."""
        if address == self.address:
            return
        self.address = address
        left = [line for line in self.connections if line is not None]
        self.connections = [None] * len(self.connections)
        self.former_connections += left
        self.loop.call_later(self.timeout, self.close_former, left)

    def close_former(self, lines: list[CounterConnection]) -> None:
        for line in lines:
            line.close()
            self.former_connections.remove(line)

    async def connect(self, line: CounterConnection) -> None:
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: line, *self.address)
        except (OSError, TimeoutError):
            line.fail_calls()
        if line.is_closed:
            line.close()  # it was given up while it came up

    def time_out(self, call: CounterCall) -> None:
        line = next((x for x in (*self.connections, *self.former_connections) if x is not None and call in x.written), None)
        self.end_call(call, Outcome.NO_CONNECTION if line is None else Outcome.TIMED_OUT, 0.0)
        if line is not None and line.reply_incomplete:
            line.close()  # the rest of a broken reply would swallow the answers behind it

    def end_call(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        if call.ended:
            return
        call.ended = True
        if call.timer is not None:
            call.timer.cancel()
        self.on_result(CounterCallEnded(call.name, outcome, self.clock() - call.started_at, total))

    def close(self) -> None:
        for line in (*self.connections, *self.former_connections):
            if line is not None:
                line.close()
        for task in self.connect_tasks:
            task.cancel()
