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
from embersill.net.bodies import READ, WHOLE, Sink, Upload, is_readable
from embersill.net.framing import AnswerFeeder, BadFraming, FramingFields
from embersill.net.pool import Address, OpenFailure, PooledConnection, Pool, Waiter

STREAM_AFTER = 0.2  # seconds from which an answer of unknown length goes on, though it may turn out a short one
STALL_TIMEOUT = 10.0  # seconds without a byte, of an answer that goes on or to a backend that is to take a body
MAX_HEAD_BYTES = 16 * 1024  # bytes of its heads, interim answers' included: real ones take some hundred
REUSE_DELAY = 0.01  # seconds after an answer until its connection carries the next attempt: a second answer may come
# some milliseconds late, and would pass for the next attempt's
IDLE_SCAN_INTERVAL = 1.0  # seconds between looks for idle connections
UNITS_PATTERN = re.compile(rb"\+?(\d{1,30}\.?\d{0,30}|\.\d{1,30})([eE][+-]?\d{1,3})?")
MAX_BILLED_UNITS = 1e6  # that an answer may bill
# what a connection fails with where the lack is here and not at the backend
LOCAL_ERRORS = frozenset((
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
    errno.ENETDOWN))
TRANSIENT_ERRORS = LOCAL_ERRORS - {errno.EMFILE}  # of these, what may pass by itself: for EMFILE a descriptor has to go
DIAL_RETRY_DELAYS = (0.01, 0.02, 0.04)  # seconds until it is tried again after such a failure


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the backend's answer if there was a whole one."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # header lines that tell how to read the body


StreamOpener = Callable[["Attempt", bytes, int | None], Sink | None]


class Attempt:
    """One attempt: what to write, where to, and what became of it. `done` is called exactly once."""

    __slots__ = (
        "backend", "body", "connection", "on_done", "ended", "head", "is_abandoned", "open_stream", "timeout",
        "pool", "sent_at", "timer", "until", "upload", "was_written", "write_by",
    )

    def __init__(
        self, backend: str, head: bytes, body: bytes, sent_at: float, until: float,
        done: Callable[[Attempt, AttemptResult], None], passing: StreamOpener, upload: Upload | None = None,
        write_by: float = inf, is_abandoned: Callable[[], bool] = lambda: False,
    ) -> None:
        # is_abandoned: asked right before it is written, true where its client has gone meanwhile
        self.is_abandoned = is_abandoned
        # passing: asked where an answer goes that is passed on as it comes, with its headers and length
        self.open_stream, self.upload = passing, upload
        self.timeout = until - sent_at  # from the last byte of a body that is passed on
        self.write_by = write_by  # it is written whole by then, or ends
        self.backend, self.head, self.body = backend, head, body
        self.sent_at, self.until, self.on_done = sent_at, until, done
        self.connection: BackendConnection | None = None
        self.pool: Pool | None = None  # where it waits for a connection
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.was_written = False  # some of it was handed to a connection, for logs

    @property
    def was_assigned(self) -> bool:
        """True once any of it was handed to a connection: from then on it may run."""
        return self.connection is not None

    def end(self, answer: AttemptResult) -> None:
        """The first end counts; one that waits leaves its line, and a connection still in use is given up."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.pool is not None:
            self.pool.withdraw(self)
        if self.upload is not None:
            self.upload.wake = None
        if self.connection is not None:
            self.connection.abandon(self)
        self.on_done(self, answer)

    def lost(self, outcome: Outcome) -> None:
        """There is no connection for it."""
        self.end(AttemptResult(outcome))

    def time_out(self) -> None:
        # one that still waits for its connection was never written, so it is known not to have run
        connection, pool = self.connection, self.pool
        if connection is not None and not connection.fully_written:
            self.end(AttemptResult(Outcome.NO_CONNECTION))  # nor one of which the kernel has not taken all
        elif connection is not None:
            self.end(AttemptResult(Outcome.TIMED_OUT))
            # a machine that is cut off leaves its kept connections open and silent: what is written to them
            # may have run, while an open that does not come up is known not to have
            connection.pool.drop_idle(self.backend)
        else:
            self.end(AttemptResult(pool.why_waiting(self) if pool is not None else Outcome.NOT_SENT))


class BackendConnection(asyncio.BufferedProtocol, PooledConnection):
    """A kept-alive connection that carries one attempt at a time."""

    def __init__(self, dialer: Dialer, pool: Pool, backend: str) -> None:
        PooledConnection.__init__(self, backend)
        self.dialer, self.pool = dialer, pool
        self.connect_task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.write_pending = False  # the kernel has not yet taken all of the request
        self.fully_written = False  # the request was written whole
        self.last_progress_at = 0.0  # when bytes last came or were taken
        self.parser = httptools.HttpResponseParser(self)
        self.feeder = AnswerFeeder(self.parser.feed_data)
        self.reset_answer()

    def reset_answer(self) -> None:
        self.parts: list[bytes] = []
        self.size, self.units, self.headers, self.status = 0, 0.0, b"", 0
        self.in_head, self.head_size, self.trailers = True, 0, 0
        self.feeder.start()
        self.fields = FramingFields()
        self.length: int | None = None  # of the answer's body, where its head tells
        self.ends_at_close = self.body_unwanted = self.paused = self.invalid_framing = False
        self.sink: Sink | None = None  # where the answer goes on to while it comes
        self.rejected = self.complete = self.keep_alive = self.has_surplus = self.malformed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        # with no room above the kernel's buffer, pause_writing tells that the request is not written whole
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.write_pending = True

    def resume_writing(self) -> None:
        self.write_pending = False
        self.last_progress_at = self.pool.clock()
        if self.attempt is not None:
            self.write_body()

    def write_body(self) -> None:
        """Writes on what has come of the body, as far as the backend takes it; the rest waits."""
        attempt = self.attempt
        if attempt is None or self.transport is None or self.fully_written:
            return
        upload = attempt.upload
        if upload is not None:
            while not (self.write_pending or upload.done):
                piece = upload.take()
                if not piece:
                    break
                self.last_progress_at = self.pool.clock()
                self.transport.write(piece)
            upload.room()
        if not self.write_pending and (upload is None or upload.done):
            self.fully_written = True
            self.dialer.attempts_written += 1
            if upload is not None:
                attempt.sent_at = self.pool.clock()
                attempt.until = attempt.sent_at + attempt.timeout
            if upload is not None or attempt.write_by < attempt.until:
                self.dialer.set_timer(attempt, attempt.until)

    def send(self, attempt: Waiter, wait: float) -> None:
        assert self.transport is not None and isinstance(attempt, Attempt)
        attempt.pool = None
        # after a hold-up, what comes first may be neither its timer nor its client's end
        last = attempt.write_by if attempt.upload is not None else min(attempt.write_by, attempt.until)
        if self.pool.clock() >= last or attempt.is_abandoned():
            self.pool.release(self)
            return attempt.end(AttemptResult(Outcome.NOT_SENT))
        self.attempt, attempt.connection, attempt.was_written = attempt, self, True
        self.reset_answer()
        self.fully_written, self.last_progress_at = False, self.pool.clock()
        self.transport.write(b"%bX-Budget: %.3f\r\n\r\n%b" % (attempt.head, wait, attempt.body))
        if attempt.upload is not None:
            attempt.upload.wake = self.write_body
        self.write_body()

    def check_progress(self, now: float) -> None:
        """Ends what no longer moves: half of an answer, or half of a body that the backend does not take."""
        attempt = self.attempt
        if attempt is None or self.paused or now - self.last_progress_at <= STALL_TIMEOUT:
            return
        if self.sink is not None:
            attempt.end(AttemptResult(Outcome.CONNECTION_LOST))
        elif self.write_pending and attempt.upload is not None:
            attempt.end(AttemptResult(Outcome.NO_CONNECTION))

    def abandon(self, attempt: Attempt) -> None:
        """Closing is how a backend is told that nobody waits for the attempt any more."""
        if self.attempt is attempt:
            self.attempt = None
            self.abort()

    def abort(self) -> None:
        if self.connect_task is not None:
            self.connect_task.cancel()
        elif self.transport is not None:
            self.transport.abort()

    def is_up(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def is_reusable(self) -> bool:
        # unread may be an end, or bytes that would pass for the next attempt's answer
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return not is_readable(transport.get_extra_info("socket"))

    # what the parser tells

    def on_message_begin(self) -> None:
        self.has_surplus = self.has_surplus or self.complete

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
            self.invalid_framing = True
            return
        self.length = framing.length
        self.ends_at_close = self.length is None and not framing.chunked and self.status not in (204, 304)
        # of an answer that is no service nobody needs a long body
        self.body_unwanted = self.status != 200 and (self.length or 0) > WHOLE

    def on_body(self, body: bytes) -> None:
        if self.complete or self.invalid_framing:
            return
        self.size += len(body)
        if self.sink is not None:
            self.paused = not self.sink.write(body) or self.paused
            return
        if self.length is None and not self.parts and self.attempt is not None:
            if self.status == 200:
                self.dialer.loop.call_later(STREAM_AFTER, self.stream_late_answer, self.attempt)
        self.parts.append(body)
        if self.size > WHOLE or (self.length or 0) > WHOLE:
            self.body_unwanted = self.body_unwanted or self.status != 200
            self.start_streaming()

    def stream_late_answer(self, attempt: Attempt) -> None:
        if self.attempt is attempt and self.sink is None and not self.complete:
            self.start_streaming()

    def start_streaming(self) -> None:
        """From here on the answer goes to the client as it comes, and there is no other attempt."""
        attempt = self.attempt
        if attempt is None or attempt.ended or self.body_unwanted:
            return
        sink = attempt.open_stream(attempt, self.headers, self.length)
        if sink is None:
            return attempt.end(AttemptResult(Outcome.CANCELLED))
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.sink, sink.room = sink, self.resume
        self.paused = not sink.write(b"".join(self.parts))
        self.parts = []
        self.pause_if_client_full()

    def pause_if_client_full(self) -> None:
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """The client has room for more."""
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.last_progress_at = False, self.pool.clock()
            self.transport.resume_reading()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        interim = 100 <= status < 200  # goes before the real answer
        if not (self.complete or self.invalid_framing or interim):
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()  # the parser knows only while in this call

    # what the transport tells

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.dialer.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.dialer.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        attempt, self.last_progress_at = self.attempt, self.pool.clock()
        if attempt is None:
            return self.abort()  # nothing was asked
        try:
            self.feeder.feed(data, lambda: self.in_head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.malformed = True
        self.head_size += len(data) if self.in_head else 0
        if attempt.ended:
            return
        if self.complete:
            self.finish(attempt)
        elif self.malformed or self.invalid_framing or self.head_size > MAX_HEAD_BYTES or self.trailers > MAX_HEAD_BYTES:
            # a backend that answers at all may have run the request, however odd the answer is
            attempt.end(AttemptResult(Outcome.CONNECTION_LOST))
        elif self.body_unwanted:
            attempt.end(AttemptResult(self.failure_outcome()))
        else:
            self.pause_if_client_full()

    def finish(self, attempt: Attempt) -> None:
        if self.status == 200:
            answer = AttemptResult(Outcome.SERVED, b"".join(self.parts), self.units, self.headers)
        else:
            answer = AttemptResult(self.failure_outcome())
        self.pool.answer_received(self)
        # the connection is free before anybody hears of the answer: the next attempt may want it
        if self.keep_alive and self.fully_written and not (self.write_pending or self.has_surplus or self.malformed):
            if self.paused:
                self.resume()
            self.attempt = attempt.connection = None
            self.pool.start_reuse_delay(self)
            self.dialer.loop.call_later(REUSE_DELAY, self.end_reuse_delay)
        attempt.end(answer)

    def end_reuse_delay(self) -> None:
        if self.is_up():
            self.pool.release(self)

    def failure_outcome(self) -> Outcome:
        """Of an answer that is no service."""
        return Outcome.REJECTED if self.status in (503, 504) and self.rejected else Outcome.ERROR

    def eof_received(self) -> bool:
        attempt = self.attempt
        if attempt is not None and self.ends_at_close and not (self.in_head or self.complete or self.malformed):
            self.complete, self.keep_alive = True, False  # its end is the connection's
            self.finish(attempt)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        attempt, self.attempt, self.transport = self.attempt, None, None
        if self.connect_task is None:
            self.pool.connection_closed(self)
        if attempt is not None:
            self.pool.connection_broke(self, attempt.sent_at)
            # an unsent rest proves that the backend never had the whole; a write that went through proves
            # nothing, also not on a kept connection that the backend had closed by then
            attempt.end(AttemptResult(Outcome.CONNECTION_LOST if self.fully_written else Outcome.NO_CONNECTION))


def read_units(value: bytes) -> float:
    """The units of a Billed-Units field; nought where it holds no decimal number in range."""
    if not UNITS_PATTERN.fullmatch(value.strip()):  # float() takes more: 1_0
        return 0.0
    units = float(value)
    return units if 0.0 < units < MAX_BILLED_UNITS else 0.0


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
        self.buffer = memoryview(bytearray(READ))  # what is read is copied out before anything else is
        self.attempts_written = 0  # attempts that were written whole
        self.scan_timer = self.loop.call_later(IDLE_SCAN_INTERVAL, self.scan)

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

    def open(self, backend: str, address: Address) -> PooledConnection:
        made = BackendConnection(self, self.pool, backend)
        made.connect_task = self.loop.create_task(self.connect(made, address))
        return made

    async def connect(self, made: BackendConnection, address: Address) -> None:
        failure: OpenFailure | None = None
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.dial(made, address)
        except TimeoutError:
            failure = OpenFailure.TIMED_OUT
        except OSError as error:
            failure = OpenFailure.LOCAL if error.errno in LOCAL_ERRORS else OpenFailure.REFUSED
        finally:
            made.connect_task = None
            if failure is None and made.is_up():
                self.pool.opening_succeeded(made)
            else:
                self.pool.opening_failed(made, failure or OpenFailure.REFUSED)
                made.abort()
            if made.transport is None:
                self.pool.connection_closed(made)

    async def dial(self, made: BackendConnection, address: Address) -> None:
        """Connects, and again after a failure here that may last for a moment only."""
        for wait in DIAL_RETRY_DELAYS:
            try:
                await self.loop.create_connection(lambda: made, *address)
                return
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    raise
                self.pool.figures["pool open again"] += 1
                await asyncio.sleep(wait)
        await self.loop.create_connection(lambda: made, *address)

    def scan(self) -> None:
        now = self.pool.clock()
        for link in list(self.pool.connections):
            if isinstance(link, BackendConnection):
                link.check_progress(now)
        self.pool.close_expired()
        self.scan_timer = self.loop.call_later(IDLE_SCAN_INTERVAL, self.scan)

    def close(self) -> None:
        self.scan_timer.cancel()
        self.pool.close_all()
