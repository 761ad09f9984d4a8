"""The HTTP client for backends: one attempt at a time on each connection, and the result of every attempt.

An attempt is written once, on one connection, and never retried here: whether a request may be sent again
depends on how far its attempt came, which only the decision module judges.
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
from embersill.net.bodies import READ_SIZE, STREAMING_THRESHOLD, ByteBuffer, Sink, Upload, is_readable
from embersill.net.framing import AnswerFeeder, BadFraming, FramingFields
from embersill.net.memory import UNCHARGED_SIZE, Account, MemoryBudget
from embersill.net.pool import Address, OpenFailure, PooledConnection, Pool, Waiter
from embersill.net.turns import TURN_TIME

# seconds from its head on after which an answer of unknown length is streamed, although it may be short
STREAM_AFTER = 0.2
STALL_TIMEOUT = 10.0  # seconds without progress of an answer that is streamed, or of a request body
MAX_HEAD_BYTES = 16 * 1024  # of an answer, with the heads of interim answers: real ones take some hundred
# seconds after an answer until its connection carries the next attempt: a surplus second answer may arrive
# some milliseconds late, and would be taken for that attempt's
REUSE_DELAY = 0.01
DENSE_READ_SIZE = 4096  # bytes read at a time of an answer that takes long to parse, as in many short chunks
IDLE_SCAN_INTERVAL = 1.0  # seconds between scans for stalled and expired connections
UNITS_PATTERN = re.compile(rb"\+?(\d{1,30}\.?\d{0,30}|\.\d{1,30})([eE][+-]?\d{1,3})?")
MAX_BILLED_UNITS = 1e6  # units: an answer that claims more is billed none
# errors of connecting that are due to this process or host and not to the backend
LOCAL_ERRORS = frozenset((
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
    errno.ENETDOWN))
TRANSIENT_ERRORS = LOCAL_ERRORS - {errno.EMFILE}  # EMFILE lasts until a descriptor is closed
DIAL_RETRY_DELAYS = (0.01, 0.02, 0.04)  # seconds before each retry after a transient error


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the backend's answer if it was complete."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # the header lines that describe the body


# called with an attempt whose answer is to be streamed, its header lines and its length if known; returns
# where the answer goes, or None where nobody waits for it any more
StreamOpener = Callable[["Attempt", bytes, int | None], Sink | None]


class Attempt:
    """One attempt: its backend, its bytes and its state. `on_done` is called exactly once."""

    __slots__ = (
        "backend", "body", "connection", "deadline", "on_done", "ended", "head", "is_abandoned",
        "open_stream", "timeout", "pool", "sent_at", "timer", "until", "upload", "was_written", "write_by",
    )

    def __init__(
        self, backend: str, head: bytes, body: bytes, sent_at: float, until: float,
        on_done: Callable[[Attempt, AttemptResult], None], open_stream: StreamOpener,
        upload: Upload | None = None,
        write_by: float = inf, is_abandoned: Callable[[], bool] = lambda: False, deadline: float = inf,
    ) -> None:
        """`until`, `write_by`: moments by which it must be answered and completely written, or ends;

        `is_abandoned`: called right before it is written, true where its client has disconnected; `deadline`:
        the moment at which it ends with a streamed body, whose last byte moves `until`.
        """
        self.deadline = deadline
        self.is_abandoned = is_abandoned
        self.open_stream, self.upload = open_stream, upload
        self.timeout = until - sent_at  # counts from the last byte of a body that is streamed
        self.write_by = write_by
        self.backend, self.head, self.body = backend, head, body
        self.sent_at, self.until, self.on_done = sent_at, until, on_done
        self.connection: BackendConnection | None = None
        self.pool: Pool | None = None  # the pool in which it waits for a connection
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.was_written = False  # it was assigned to a connection at some time, for logs

    @property
    def was_assigned(self) -> bool:
        """True once it was assigned to a connection: from then on it may run."""
        return self.connection is not None

    def end(self, result: AttemptResult) -> None:
        """Ends the attempt, once: it leaves the queue, and its connection is closed if it is still in use."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.pool is not None:
            self.pool.withdraw(self)
        if self.upload is not None:
            self.upload.on_data = None
        if self.connection is not None:
            self.connection.abandon(self)
        self.on_done(self, result)

    def lost(self, outcome: Outcome) -> None:
        """Ends an attempt that gets no connection."""
        self.end(AttemptResult(outcome))

    def time_out(self) -> None:
        """Ends the attempt at its deadline, with what is known of whether it ran."""
        connection, pool = self.connection, self.pool
        if connection is not None and connection.stream_begun_answer():
            return  # what the backend still gives is not cut off
        if connection is not None and not connection.fully_written:
            # the backend cannot have the complete request; it is not at fault where the client's bytes lack
            self.end(AttemptResult(
                Outcome.NO_CONNECTION if connection.write_pending else Outcome.NOT_SENT))
        elif connection is not None:
            self.end(AttemptResult(Outcome.TIMED_OUT))
            # connections to a machine that lost its network stay open but silent: an attempt written to one
            # may have run, while an attempt whose connection could not be opened is known not to have run
            connection.pool.close_idle(self.backend)
        else:  # it was never written, so it is known not to have run
            self.end(AttemptResult(pool.timeout_outcome(self) if pool is not None else Outcome.NOT_SENT))


class BackendConnection(asyncio.BufferedProtocol, PooledConnection):
    """A keep-alive connection that carries one attempt at a time."""

    def __init__(self, dialer: Dialer, pool: Pool, backend: str) -> None:
        PooledConnection.__init__(self, backend)
        self.dialer, self.pool = dialer, pool
        self.connect_task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.write_pending = False  # the kernel has not yet taken all of the request
        self.fully_written = False  # the request was written completely
        self.last_progress_at = 0.0  # when bytes were last received, or accepted by the kernel
        self.buffer = dialer.buffer  # what the next read goes into
        self.account = Account(dialer.memory)
        self.yielding = False  # nothing is read until the next iteration of the loop
        self.requests_sent = 0
        self.reset_answer()

    def reset_answer(self) -> None:
        """Prepares for the next answer."""
        self.body = ByteBuffer()  # what was received of it, without what was passed on to the sink
        self.size, self.units, self.headers, self.status = 0, 0.0, b"", 0
        self.in_head, self.head_size, self.trailer_size = True, 0, 0
        self.fields = FramingFields()
        self.length: int | None = None  # of the answer's body, where its head says
        self.ends_at_close = self.body_unwanted = self.paused = self.invalid_framing = False
        self.sink: Sink | None = None  # where the answer is streamed to
        self.head_passed_on = False  # to the sink
        self.rejected = self.complete = self.keep_alive = self.has_surplus = self.malformed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not derive from it
        self.parser = httptools.HttpResponseParser(self)
        self.feeder = AnswerFeeder(self.parser.feed_data)
        # without a buffer above the kernel's, pause_writing means that the request is not completely written
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.write_pending = True

    def resume_writing(self) -> None:
        self.write_pending = False
        self.last_progress_at = self.pool.clock()
        if self.attempt is not None:
            self.write_body()

    def write_body(self) -> None:
        """Writes the received part of a streamed body, as far as the kernel accepts it; the rest waits."""
        attempt = self.attempt
        if attempt is None or self.transport is None or self.fully_written:
            return
        upload = attempt.upload
        if upload is not None:
            while not (self.write_pending or upload.done):
                piece = upload.next_chunk()
                if not piece:
                    break
                self.last_progress_at = self.pool.clock()
                self.transport.write(piece)
            upload.on_space()
            if self.write_pending or self.account.charged:
                self.update_charge()
        if not self.write_pending and (upload is None or upload.done):
            self.fully_written = True
            self.dialer.attempts_written += 1
            if upload is not None:
                attempt.sent_at = self.pool.clock()
                attempt.until = min(attempt.sent_at + attempt.timeout, attempt.deadline)
            if upload is not None or attempt.write_by < attempt.until:
                self.dialer.set_timer(attempt, attempt.until)

    def send(self, attempt: Waiter, wait: float) -> None:
        """Writes an attempt, unless its time is over or its client has disconnected."""
        assert self.transport is not None and isinstance(attempt, Attempt)
        attempt.pool = None
        # after the process was suspended, this may run before the attempt's timer or the client's disconnect
        latest = attempt.write_by if attempt.upload is not None else min(attempt.write_by, attempt.until)
        if self.pool.clock() >= latest or attempt.is_abandoned():
            self.pool.release(self)
            return attempt.end(AttemptResult(Outcome.NOT_SENT))
        self.attempt, attempt.connection, attempt.was_written = attempt, self, True
        self.requests_sent += 1
        self.reset_answer()
        self.feeder.start()
        self.fully_written, self.last_progress_at = False, self.pool.clock()
        head = b"%bX-Budget: %.3f\r\n\r\n" % (attempt.head, wait)
        if len(attempt.body) <= UNCHARGED_SIZE:
            self.transport.write(head + attempt.body)
        else:  # without a copy, which would be held until the kernel accepts it
            self.transport.writelines((head, attempt.body))
        if attempt.upload is not None:
            attempt.upload.on_data = self.write_body
        self.write_body()

    def check_progress(self, now: float) -> None:
        """Ends an attempt whose streamed answer or request body has stalled."""
        attempt = self.attempt
        if attempt is None or self.paused or now - self.last_progress_at <= STALL_TIMEOUT:
            return
        if self.sink is not None:
            attempt.end(AttemptResult(Outcome.CONNECTION_LOST))
        elif self.write_pending and attempt.upload is not None:
            attempt.end(AttemptResult(Outcome.NO_CONNECTION))

    def abandon(self, attempt: Attempt) -> None:
        """Closes the connection, which tells the backend that its answer is not needed any more."""
        if self.attempt is attempt:
            self.attempt = None
            self.abort()

    def abort(self) -> None:
        if self.connect_task is not None:
            self.connect_task.cancel()
        elif self.transport is not None:
            self.transport.abort()

    def is_open(self) -> bool:
        """True while the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def is_reusable(self) -> bool:
        # readable means the end of the connection, or bytes that would be taken for the next attempt's answer
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return not is_readable(transport.get_extra_info("socket"))

    # callbacks of the parser

    def on_message_begin(self) -> None:
        self.has_surplus = self.has_surplus or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return  # of a surplus message: the first answer counts
        if not self.in_head:
            self.trailer_size += len(name) + len(value)  # trailers are counted and otherwise ignored
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
        if self.in_head:  # the final answer's head follows; this one's lines do not belong to it
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
        # the body of a failure is not used: a long one is not waited for
        self.body_unwanted = self.status != 200 and (self.length or 0) > STREAMING_THRESHOLD
        if self.status != 200:
            return
        if (self.length or 0) > STREAMING_THRESHOLD:
            self.start_streaming()
        elif self.length is None:
            self.dialer.loop.call_later(STREAM_AFTER, self.stream_late_answer, self.requests_sent)

    def on_body(self, body: bytes) -> None:
        if self.complete or self.invalid_framing:
            return
        self.size += len(body)
        if self.status == 200:  # the body of a failure is not used
            self.body.add(body)
        if self.sink is None and self.size > STREAMING_THRESHOLD:
            self.body_unwanted = self.body_unwanted or self.status != 200
            self.start_streaming()

    def stream_late_answer(self, number: int) -> None:
        """Streams the answer to the request of this number on the connection, if it is not complete yet."""
        if self.attempt is None or self.requests_sent != number:
            return
        if self.sink is None and not self.complete:
            self.start_streaming()
            self.pass_on()
            self.pause_if_client_full()

    def stream_begun_answer(self) -> bool:
        """Streams an answer that has begun and may be long; False if there is none."""
        may_be_long = self.status == 200 and self.length is None and not self.invalid_framing
        if may_be_long and self.attempt is not None:
            self.stream_late_answer(self.requests_sent)
        return self.sink is not None

    def start_streaming(self) -> None:
        """Lets the answer be passed on as it arrives from now on, which rules out another attempt."""
        attempt = self.attempt
        if attempt is None or attempt.ended or self.body_unwanted:
            return
        sink = attempt.open_stream(attempt, self.headers, self.length)
        if sink is None:
            return attempt.end(AttemptResult(Outcome.CANCELLED))
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.sink, sink.on_writable = sink, self.resume

    def pass_on(self) -> None:
        """Passes what was received of a streamed answer to the client, as one piece."""
        if self.sink is not None and (self.body.data or not self.head_passed_on):
            self.head_passed_on = True
            self.paused = not self.sink.write(self.body.take()) or self.paused

    def pause_if_client_full(self) -> None:
        """Stops reading while the client's buffer is full."""
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Reads on: the client's buffer has space again."""
        if self.paused and self.is_open():
            self.paused, self.last_progress_at = False, self.pool.clock()
            self.resume_reading()

    def end_turn(self) -> None:
        """Leaves the rest of an answer that takes long to parse to the next iteration of the loop."""
        if not self.yielding and self.transport is not None and not self.transport.is_closing():
            self.yielding = True
            self.transport.pause_reading()
            self.dialer.loop.call_soon(self.begin_turn)

    def begin_turn(self) -> None:
        """Reads on after `end_turn`."""
        self.yielding = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Reads, unless something else still has to be waited for."""
        if not (self.paused or self.yielding) and self.transport is not None and self.is_open():
            self.transport.resume_reading()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        interim = 100 <= status < 200  # precedes the final answer
        if not (self.complete or self.invalid_framing or interim):
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()  # known to the parser only during this call

    # callbacks of the transport

    def get_buffer(self, sizehint: int) -> memoryview:
        allowed = self.dialer.memory.peer_buffer
        return self.buffer if allowed >= len(self.buffer) else self.buffer[:allowed]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.buffer[:nbytes]))
        if nbytes >= DENSE_READ_SIZE:
            elapsed = self.pool.clock() - self.last_progress_at
            if elapsed > TURN_TIME or self.buffer is self.dialer.dense_buffer:
                self.limit_turn(elapsed)

    def limit_turn(self, elapsed: float) -> None:
        """Chooses how much to read at a time by the seconds that the last read took."""
        if elapsed > TURN_TIME:
            self.buffer = self.dialer.dense_buffer
        elif elapsed < TURN_TIME / 4:
            self.buffer = self.dialer.buffer
        self.end_turn()

    def data_received(self, data: bytes) -> None:
        attempt, self.last_progress_at = self.attempt, self.pool.clock()
        if attempt is None:
            return self.abort()  # there was no request
        try:
            self.feeder.feed(data, lambda: self.in_head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.malformed = True
        self.head_size += len(data) if self.in_head else 0
        if self.sink is None and not (attempt.ended or self.complete):
            self.update_charge()
        if not attempt.ended:
            self.pass_on()
        if attempt.ended:
            return
        if self.complete:
            self.finish(attempt)
        elif (
            self.malformed or self.invalid_framing
            or self.head_size > MAX_HEAD_BYTES or self.trailer_size > MAX_HEAD_BYTES
        ):
            # a backend that answers at all may have run the request, however malformed the answer is
            attempt.end(AttemptResult(Outcome.CONNECTION_LOST))
        elif self.body_unwanted:
            attempt.end(AttemptResult(self.failure_outcome()))
        else:
            self.pause_if_client_full()

    def update_charge(self) -> None:
        """Charges what is held; an answer for which there is no memory is streamed, or ends in its head."""
        held = 0 if self.sink is not None else len(self.body.data)
        held += self.head_size if self.in_head else 0
        if self.write_pending and self.transport is not None and self.attempt is not None:
            held += self.transport.get_write_buffer_size() - len(self.attempt.body)
        if self.account.charge(held) or self.attempt is None or self.sink is not None:
            return
        if self.in_head and self.head_size > UNCHARGED_SIZE:
            self.attempt.end(AttemptResult(Outcome.CONNECTION_LOST))
        elif self.status == 200 and not self.in_head:
            self.start_streaming()

    def finish(self, attempt: Attempt) -> None:
        """Ends the attempt with a complete answer, and keeps the connection where it is reusable."""
        if self.status == 200:
            result = AttemptResult(Outcome.SERVED, self.body.take(), self.units, self.headers)
        else:
            result = AttemptResult(self.failure_outcome())
        if self.account.charged:
            self.account.charge(0)
        self.pool.answer_received(self)
        # the connection is freed before the result is reported, as that may start an attempt which can use it
        if self.keep_alive and self.fully_written and not (
            self.write_pending or self.has_surplus or self.malformed
        ):
            if self.paused:
                self.resume()
            self.attempt = attempt.connection = None
            self.pool.start_reuse_delay(self)
            self.dialer.loop.call_later(REUSE_DELAY, self.end_reuse_delay)
        attempt.end(result)

    def end_reuse_delay(self) -> None:
        """Makes the connection available again, if it is still open."""
        if self.is_open():
            self.pool.release(self)

    def failure_outcome(self) -> Outcome:
        """The outcome that an answer other than 200 stands for."""
        return Outcome.REJECTED if self.status in (503, 504) and self.rejected else Outcome.ERROR

    def eof_received(self) -> bool:
        attempt = self.attempt
        if attempt is not None and self.ends_at_close and not (
            self.in_head or self.complete or self.malformed
        ):
            self.complete, self.keep_alive = True, False
            self.finish(attempt)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        attempt, self.attempt, self.transport = self.attempt, None, None
        self.release()
        if self.connect_task is None:
            self.pool.connection_closed(self)
        if attempt is not None:
            self.pool.connection_broke(self, attempt.sent_at)
            # an unsent rest proves that the backend never had the complete request. A complete write proves
            # nothing, not even on an idle connection that the backend had closed before
            attempt.end(AttemptResult(
                Outcome.CONNECTION_LOST if self.fully_written else Outcome.NO_CONNECTION))

    def release(self) -> None:
        """Frees what the closed connection holds, without waiting for the garbage collector."""
        self.account.charge(0)
        self.body, self.sink = ByteBuffer(), None
        del self.parser, self.feeder  # which refer to this object


def read_units(value: bytes) -> float:
    """The units of a Billed-Units field; 0 where it is not a decimal number in range."""
    if not UNITS_PATTERN.fullmatch(value.strip()):  # float() accepts more: 1_0
        return 0.0
    units = float(value)
    return units if 0.0 < units < MAX_BILLED_UNITS else 0.0


class Dialer:
    """Opens the pool's connections over TCP, and closes those that stall or expire."""

    def __init__(
        self, clock: Callable[[], float], dial_timeout: float, keepalive: float, max_connections: int,
        settings: PoolSettings | None = None, seed: int = 0, memory: MemoryBudget | None = None,
    ) -> None:
        """`dial_timeout`, `keepalive`: seconds; `max_connections`: open and being opened, at a time."""
        self.dial_timeout, self.memory = dial_timeout, memory or MemoryBudget()
        self.loop = asyncio.get_running_loop()
        self.pool = Pool(
            clock, self.open, max_connections, keepalive, settings or PoolSettings(), seed)
        # shared by all connections: what is read is copied at once
        self.buffer = memoryview(bytearray(READ_SIZE))
        self.dense_buffer = self.buffer[:DENSE_READ_SIZE]
        self.attempts_written = 0  # number of attempts that were completely written
        self.scan_timer = self.loop.call_later(IDLE_SCAN_INTERVAL, self.scan)

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt, whose end goes to its `on_done`."""
        if attempt.upload is None:
            self.set_timer(attempt, min(attempt.until, attempt.write_by))
        else:  # its time starts with the last byte of the body
            self.set_timer(attempt, attempt.deadline)
        attempt.pool = self.pool
        self.pool.start(attempt)

    def limit_upload(self, attempt: Attempt, deadline: float) -> None:
        """Moves the moment at which an attempt with a streamed body ends at the latest."""
        attempt.deadline = deadline
        if attempt.connection is not None and attempt.connection.fully_written:
            attempt.until = min(attempt.until, deadline)
            deadline = attempt.until
        self.set_timer(attempt, deadline)

    def set_timer(self, attempt: Attempt, end: float) -> None:
        """Lets the attempt time out at `end`; never if that is infinite."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        if end < inf:
            remaining = max(end - self.pool.clock(), 0.0)
            attempt.timer = self.loop.call_later(remaining, attempt.time_out)

    def open(self, backend: str, address: Address) -> PooledConnection:
        """Creates a connection and starts to connect it."""
        connection = BackendConnection(self, self.pool, backend)
        connection.connect_task = self.loop.create_task(self.connect(connection, address))
        return connection

    async def connect(self, connection: BackendConnection, address: Address) -> None:
        """Connects within `dial_timeout`, and reports success or failure to the pool."""
        failure: OpenFailure | None = None
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.dial(connection, address)
        except TimeoutError:
            failure = OpenFailure.TIMED_OUT
        except OSError as error:
            failure = OpenFailure.LOCAL if error.errno in LOCAL_ERRORS else OpenFailure.REFUSED
        finally:
            connection.connect_task = None
            if failure is None and connection.is_open():
                self.pool.opening_succeeded(connection)
            else:
                self.pool.opening_failed(connection, failure or OpenFailure.REFUSED)
                connection.abort()
            if connection.transport is None:
                self.pool.connection_closed(connection)

    async def dial(self, connection: BackendConnection, address: Address) -> None:
        """Connects; retries after local errors that may be transient."""
        for wait in DIAL_RETRY_DELAYS:
            try:
                await self.loop.create_connection(lambda: connection, *address)
                return
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    raise
                self.pool.figures["pool open again"] += 1
                await asyncio.sleep(wait)
        await self.loop.create_connection(lambda: connection, *address)

    def scan(self) -> None:
        """Ends stalled attempts and closes expired connections, periodically."""
        now = self.pool.clock()
        for connection in list(self.pool.connections):
            if isinstance(connection, BackendConnection):
                connection.check_progress(now)
        self.pool.close_expired()
        self.scan_timer = self.loop.call_later(IDLE_SCAN_INTERVAL, self.scan)

    def close(self) -> None:
        """Closes all connections."""
        self.scan_timer.cancel()
        self.pool.close_all()
