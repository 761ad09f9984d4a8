"""HTTP to backends: one attempt at a time on each connection, and how every attempt ended.

An attempt is written once, on one connection, and never again by this file: whether a request may be sent
another time depends on how far this one came, and only the decision module judges that.
"""

from __future__ import annotations

import asyncio
import errno
import re
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import cast

import httptools

from embersill.interface import Outcome, PoolSettings
from embersill.net.bodies import READ_SIZE, STREAMING_THRESHOLD, Sink, Upload, is_readable
from embersill.net.framing import AnswerFeeder, BadFraming, FramingFields
from embersill.net.pool import Address, Failure, Link, Pool, Waiter

PASS_AFTER = 0.2  # seconds from which an answer of unknown length goes on, though it may turn out a short one
STALLED = 10.0  # seconds without a byte, of an answer that goes on or to a backend that is to take a body
MOST_HEAD = 16 * 1024  # bytes of its heads, interim answers' included: real ones take some hundred
REST = 0.01  # seconds after an answer until its connection carries the next attempt: a second answer may come
# some milliseconds late, and would pass for the next attempt's
SWEEP_EVERY = 1.0  # seconds between looks for idle connections
UNITS = re.compile(rb"\+?(\d{1,30}\.?\d{0,30}|\.\d{1,30})([eE][+-]?\d{1,3})?")
MOST_UNITS = 1e6  # that an answer may bill
# what a connection fails with where the lack is here and not at the backend
LOCAL = frozenset((
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
    errno.ENETDOWN))
MOMENTARY = LOCAL - {errno.EMFILE}  # of these, what may pass by itself: for EMFILE a descriptor has to go
DIAL_AGAIN = (0.01, 0.02, 0.04)  # seconds until it is tried again after such a failure


@dataclass(frozen=True, slots=True)
class Answer:
    """How an attempt ended, with the backend's answer if there was a whole one."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # header lines that tell how to read the body


Passing = Callable[["Attempt", bytes, int | None], Sink | None]


class Attempt:
    """One attempt: what to write, where to, and what became of it. `done` is called exactly once."""

    __slots__ = (
        "backend", "body", "connection", "done", "ended", "head", "is_abandoned", "passing", "patience",
        "pool", "sent_at", "timer", "until", "upload", "was_written", "write_by",
    )

    def __init__(
        self, backend: str, head: bytes, body: bytes, sent_at: float, until: float,
        done: Callable[[Attempt, Answer], None], passing: Passing, upload: Upload | None = None,
        write_by: float = inf, is_abandoned: Callable[[], bool] = lambda: False,
    ) -> None:
        # is_abandoned: asked right before it is written, true where its client has gone meanwhile
        self.is_abandoned = is_abandoned
        # passing: asked where an answer goes that is passed on as it comes, with its headers and length
        self.passing, self.upload = passing, upload
        self.patience = until - sent_at  # from the last byte of a body that is passed on
        self.write_by = write_by  # it is written whole by then, or ends
        self.backend, self.head, self.body = backend, head, body
        self.sent_at, self.until, self.done = sent_at, until, done
        self.connection: BackendConnection | None = None
        self.pool: Pool | None = None  # where it waits for a connection
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.was_written = False  # some of it was handed to a connection, for logs

    @property
    def written(self) -> bool:
        """True once any of it was handed to a connection: from then on it may run."""
        return self.connection is not None

    def end(self, answer: Answer) -> None:
        """The first end counts; one that waits leaves its line, and a connection still in use is given up."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.pool is not None:
            self.pool.withdraw(self)
        if self.upload is not None:
            self.upload.on_data = None
        if self.connection is not None:
            self.connection.give_up(self)
        self.done(self, answer)

    def lost(self, outcome: Outcome) -> None:
        """There is no connection for it."""
        self.end(Answer(outcome))

    def time_out(self) -> None:
        # one that still waits for its connection was never written, so it is known not to have run
        connection, pool = self.connection, self.pool
        if connection is not None and not connection.counted:
            self.end(Answer(Outcome.NO_CONNECTION))  # nor one of which the kernel has not taken all
        elif connection is not None:
            self.end(Answer(Outcome.TIMED_OUT))
            # a machine that is cut off leaves its kept connections open and silent: what is written to them
            # may have run, while an open that does not come up is known not to have
            connection.pool.drop_idle(self.backend)
        else:
            self.end(Answer(pool.why_waiting(self) if pool is not None else Outcome.NOT_SENT))


class BackendConnection(asyncio.BufferedProtocol, Link):
    """A kept-alive connection that carries one attempt at a time."""

    def __init__(self, dialer: Dialer, pool: Pool, backend: str) -> None:
        Link.__init__(self, backend)
        self.dialer, self.pool = dialer, pool
        self.dial: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.unsent = False  # the kernel has not yet taken all of the request
        self.counted = False  # the request was written whole
        self.moved_at = 0.0  # when bytes last came or were taken
        self.parser = httptools.HttpResponseParser(self)
        self.feeder = AnswerFeeder(self.parser.feed_data)
        self.start_answer()

    def start_answer(self) -> None:
        self.parts: list[bytes] = []
        self.size, self.units, self.headers, self.status = 0, 0.0, b"", 0
        self.in_head, self.head_size, self.trailers = True, 0, 0
        self.feeder.start()
        self.fields = FramingFields()
        self.length: int | None = None  # of the answer's body, where its head tells
        self.to_the_end = self.unwanted = self.paused = self.badly_framed = False
        self.sink: Sink | None = None  # where the answer goes on to while it comes
        self.rejected = self.complete = self.keep = self.surplus = self.garbled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        # with no room above the kernel's buffer, pause_writing tells that the request is not written whole
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False
        self.moved_at = self.pool.clock()
        if self.attempt is not None:
            self.pump()

    def pump(self) -> None:
        """Writes on what has come of the body, as far as the backend takes it; the rest waits."""
        attempt = self.attempt
        if attempt is None or self.transport is None or self.counted:
            return
        upload = attempt.upload
        if upload is not None:
            while not (self.unsent or upload.done):
                piece = upload.next_chunk()
                if not piece:
                    break
                self.moved_at = self.pool.clock()
                self.transport.write(piece)
            upload.on_space()
        if not self.unsent and (upload is None or upload.done):
            self.counted = True
            self.dialer.written += 1
            if upload is not None:
                attempt.sent_at = self.pool.clock()
                attempt.until = attempt.sent_at + attempt.patience
            if upload is not None or attempt.write_by < attempt.until:
                self.dialer.set_timer(attempt, attempt.until)

    def carry(self, attempt: Waiter, wait: float) -> None:
        assert self.transport is not None and isinstance(attempt, Attempt)
        attempt.pool = None
        # after a hold-up, what comes first may be neither its timer nor its client's end
        last = attempt.write_by if attempt.upload is not None else min(attempt.write_by, attempt.until)
        if self.pool.clock() >= last or attempt.is_abandoned():
            self.pool.put_back(self)
            return attempt.end(Answer(Outcome.NOT_SENT))
        self.attempt, attempt.connection, attempt.was_written = attempt, self, True
        self.start_answer()
        self.counted, self.moved_at = False, self.pool.clock()
        self.transport.write(b"%bX-Budget: %.3f\r\n\r\n%b" % (attempt.head, wait, attempt.body))
        if attempt.upload is not None:
            attempt.upload.on_data = self.pump
        self.pump()

    def look(self, now: float) -> None:
        """Ends what no longer moves: half of an answer, or half of a body that the backend does not take."""
        attempt = self.attempt
        if attempt is None or self.paused or now - self.moved_at <= STALLED:
            return
        if self.sink is not None:
            attempt.end(Answer(Outcome.CONNECTION_LOST))
        elif self.unsent and attempt.upload is not None:
            attempt.end(Answer(Outcome.NO_CONNECTION))

    def give_up(self, attempt: Attempt) -> None:
        """Closing is how a backend is told that nobody waits for the attempt any more."""
        if self.attempt is attempt:
            self.attempt = None
            self.shut()

    def shut(self) -> None:
        if self.dial is not None:
            self.dial.cancel()
        elif self.transport is not None:
            self.transport.abort()

    def is_up(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def is_fit(self) -> bool:
        # unread may be an end, or bytes that would pass for the next attempt's answer
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return not is_readable(transport.get_extra_info("socket"))

    # what the parser tells

    def on_message_begin(self) -> None:
        self.surplus = self.surplus or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return  # of a surplus message: the answer to the attempt stands
        if not self.in_head:
            self.trailers += len(name) + len(value)  # they tell nothing that the head could not
            return
        name = name.lower()
        if name == b"x-rejected":
            self.rejected = value.strip() == b"1"
        elif name == b"billed-units":
            self.units = read_units(value)
        elif name in (b"content-type", b"content-encoding"):
            self.headers += b"%b: %b\r\n" % (name.title(), value)
        else:
            self.fields.add(name, value)

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.in_head = 100 <= self.parser.get_status_code() < 200
        if self.in_head:  # the real answer's head follows, and this one's lines are none of its
            self.rejected, self.units, self.headers = False, 0.0, b""
            self.fields = FramingFields()
            return
        self.status = self.parser.get_status_code()
        try:
            framing = self.fields.read()
        except BadFraming:
            self.badly_framed = True
            return
        self.length = framing.length
        self.to_the_end = self.length is None and not framing.chunked and self.status not in (204, 304)
        # of an answer that is no service nobody needs a long body
        self.unwanted = self.status != 200 and (self.length or 0) > STREAMING_THRESHOLD

    def on_body(self, body: bytes) -> None:
        if self.complete or self.badly_framed:
            return
        self.size += len(body)
        if self.sink is not None:
            self.paused = not self.sink.write(body) or self.paused
            return
        if self.length is None and not self.parts and self.attempt is not None:
            if self.status == 200:
                self.dialer.loop.call_later(PASS_AFTER, self.pass_late, self.attempt)
        self.parts.append(body)
        if self.size > STREAMING_THRESHOLD or (self.length or 0) > STREAMING_THRESHOLD:
            self.unwanted = self.unwanted or self.status != 200
            self.pass_on()

    def pass_late(self, attempt: Attempt) -> None:
        if self.attempt is attempt and self.sink is None and not self.complete:
            self.pass_on()

    def pass_on(self) -> None:
        """From here on the answer goes to the client as it comes, and there is no other attempt."""
        attempt = self.attempt
        if attempt is None or attempt.ended or self.unwanted:
            return
        sink = attempt.passing(attempt, self.headers, self.length)
        if sink is None:
            return attempt.end(Answer(Outcome.CANCELLED))
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.sink, sink.on_writable = sink, self.resume
        self.paused = not sink.write(b"".join(self.parts))
        self.parts = []
        self.pace()

    def pace(self) -> None:
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """The client has room for more."""
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.moved_at = False, self.pool.clock()
            self.transport.resume_reading()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        interim = 100 <= status < 200  # goes before the real answer
        if not (self.complete or self.badly_framed or interim):
            self.complete = True
            self.keep = self.parser.should_keep_alive()  # the parser knows only while in this call

    # what the transport tells

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.dialer.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.dialer.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        attempt, self.moved_at = self.attempt, self.pool.clock()
        if attempt is None:
            return self.shut()  # nothing was asked
        try:
            self.feeder.feed(data, lambda: self.in_head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.garbled = True
        self.head_size += len(data) if self.in_head else 0
        if attempt.ended:
            return
        if self.complete:
            self.finish(attempt)
        elif self.garbled or self.badly_framed or self.head_size > MOST_HEAD or self.trailers > MOST_HEAD:
            # a backend that answers at all may have run the request, however odd the answer is
            attempt.end(Answer(Outcome.CONNECTION_LOST))
        elif self.unwanted:
            attempt.end(Answer(self.outcome()))
        else:
            self.pace()

    def finish(self, attempt: Attempt) -> None:
        if self.status == 200:
            answer = Answer(Outcome.SERVED, b"".join(self.parts), self.units, self.headers)
        else:
            answer = Answer(self.outcome())
        self.pool.answered(self)
        # the connection is free before anybody hears of the answer: the next attempt may want it
        if self.keep and self.counted and not (self.unsent or self.surplus or self.garbled):
            if self.paused:
                self.resume()
            self.attempt = attempt.connection = None
            self.pool.rest(self)
            self.dialer.loop.call_later(REST, self.rested)
        attempt.end(answer)

    def rested(self) -> None:
        if self.is_up():
            self.pool.put_back(self)

    def outcome(self) -> Outcome:
        """Of an answer that is no service."""
        return Outcome.REJECTED if self.status in (503, 504) and self.rejected else Outcome.ERROR

    def eof_received(self) -> bool:
        attempt = self.attempt
        if attempt is not None and self.to_the_end and not (self.in_head or self.complete or self.garbled):
            self.complete, self.keep = True, False  # its end is the connection's
            self.finish(attempt)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        attempt, self.attempt, self.transport = self.attempt, None, None
        if self.dial is None:
            self.pool.ended(self)
        if attempt is not None:
            self.pool.broke(self, attempt.sent_at)
            # an unsent rest proves that the backend never had the whole; a write that went through proves
            # nothing, also not on a kept connection that the backend had closed by then
            attempt.end(Answer(Outcome.CONNECTION_LOST if self.counted else Outcome.NO_CONNECTION))


def read_units(value: bytes) -> float:
    """The units of a Billed-Units field; nought where it holds no decimal number in range."""
    if not UNITS.fullmatch(value.strip()):  # float() takes more: 1_0
        return 0.0
    units = float(value)
    return units if 0.0 < units < MOST_UNITS else 0.0


class Dialer:
    """Makes the pool's connections of sockets, and looks after them."""

    def __init__(
        self, clock: Callable[[], float], dial_timeout: float, keepalive: float, most: int,
        settings: PoolSettings | None = None, seed: int = 0,
    ) -> None:
        """Seconds; `most`: connections and opens at a time."""
        self.dial_timeout = dial_timeout
        self.loop = asyncio.get_running_loop()
        self.pool = Pool(clock, self.open, most, keepalive, settings or PoolSettings(), seed)
        self.buffer = memoryview(bytearray(READ_SIZE))  # what is read is copied out before anything else is
        self.written = 0  # attempts that were written whole
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def start(self, attempt: Attempt) -> None:
        if attempt.upload is None:  # else its time begins with the last byte
            self.set_timer(attempt, min(attempt.until, attempt.write_by))
        attempt.pool = self.pool
        self.pool.start(attempt)

    def set_timer(self, attempt: Attempt, end: float) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        left = max(end - self.pool.clock(), 0.0)
        attempt.timer = self.loop.call_later(left, attempt.time_out)

    def open(self, backend: str, address: Address) -> Link:
        made = BackendConnection(self, self.pool, backend)
        made.dial = self.loop.create_task(self.connect(made, address))
        return made

    async def connect(self, made: BackendConnection, address: Address) -> None:
        failure: Failure | None = None
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.dial(made, address)
        except TimeoutError:
            failure = Failure.SILENT
        except OSError as error:
            failure = Failure.LOCAL if error.errno in LOCAL else Failure.REFUSED
        finally:
            made.dial = None
            if failure is None and made.is_up():
                self.pool.came_up(made)
            else:
                self.pool.failed(made, failure or Failure.REFUSED)
                made.shut()
            if made.transport is None:
                self.pool.ended(made)

    async def dial(self, made: BackendConnection, address: Address) -> None:
        """Connects, and again after a failure here that may last for a moment only."""
        for wait in DIAL_AGAIN:
            try:
                await self.loop.create_connection(lambda: made, *address)
                return
            except OSError as error:
                if error.errno not in MOMENTARY:
                    raise
                self.pool.figures["pool open again"] += 1
                await asyncio.sleep(wait)
        await self.loop.create_connection(lambda: made, *address)

    def sweep(self) -> None:
        now = self.pool.clock()
        for link in list(self.pool.links):
            if isinstance(link, BackendConnection):
                link.look(now)
        self.pool.sweep()
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def close(self) -> None:
        self.sweeper.cancel()
        self.pool.close_all()
