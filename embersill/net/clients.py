"""The HTTP server: accepts client connections, parses their requests, and writes the answers in order."""

from __future__ import annotations

import asyncio
import errno
import heapq
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

import httptools

from embersill.interface import Settings
from embersill.net.arrivals import CAUGHT_UP_AFTER, ArrivalLog
from embersill.net.bodies import (
    MAX_BODY, READ_SIZE, STREAMING_THRESHOLD, ByteBuffer, Upload, closed_by_peer, is_readable,
)
from embersill.net.driver import Driver
from embersill.net.exchange import Exchange
from embersill.net.framing import (
    HEAD_END, BadFraming, Framing, FramingFields, HeadNormalizer, UnknownCoding, blank_line_end,
)
from embersill.net.hold_ups import CHECK_INTERVAL, LoopStalls
from embersill.net.memory import MAX_PIPELINED, REQUEST_MEMORY, Account
from embersill.net.overload import OverloadManager
from embersill.net.request_reader import BadRequest, RequestReader
from embersill.net.tcp_info import may_hide_close, seconds_since_data, unread_bytes
from embersill.net.turns import LITTLE_DATA, MAX_SLICE, TURN_TIME, TurnQueue, next_slice_size

MAX_HEAD = 32 * 1024  # bytes of request line and headers: browsers send at most about a quarter of it
HEAD_READ_SIZE = 16 * 1024  # bytes read at a time outside bodies, while connections wait for their turns
HEAD_SLICE = 8192  # bytes parsed at a time outside bodies
REQUESTS_PER_SLICE = 16  # that are parsed at a time
EVICTABLE_AFTER = 0.1  # seconds idle before eviction: the next request may already be in the kernel's buffer
# Seconds for which a request may be incomplete before it is ended where others wait for a connection.
ENDED_AFTER = 0.5
STALLED_AFTER = 0.5  # seconds without a byte before a partly sent request may be evicted for another client
# Seconds for a request head, for the first one from the connect on. Clients take up to 2 s; the protocol
# allows peers 3 s.
REQUEST_TIMEOUT = 2.5
MIN_BODY_RATE = 16 * 1024  # bytes/s that extend REQUEST_TIMEOUT: clients send bodies four times as fast
# Seconds between checks of connections that are not being read, for disconnects and for unread bytes: no
# attempt may start 0.1 s or more after its client disconnected.
UNREAD_CHECK_INTERVAL = 0.04
# Seconds for which a client counts as still there, after the last sign of it, if its close can't be seen.
HIDDEN_CLOSE_AFTER = 0.05
WRITE_TIMEOUT = 10.0  # seconds that a client may leave its answers unread: longer than any request's budget
SEND_BUFFER = 128 * 1024  # bytes of the kernel's send buffer: a larger one would hide slow readers
LINGER = 1.0  # seconds for the peer to read the last answer before its connection is closed
BACKLOG = 1024
ACCEPT_RETRY_INTERVAL = 0.02  # seconds until accept is called again after it failed or there was no capacity
MAX_ACCEPT_FAILURES = 8  # consecutive; with fewer, each may be a client that closed before it was accepted
# Errors of accept(2) that concern only one connection, which ended before it was accepted.
CONNECTION_ERRORS = frozenset((
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH,
    errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET, errno.EPERM))
BACKLOG_DRAIN_TIMEOUT = 0.2  # seconds to accept queued connections at a stop: ample for a full backlog
ACCEPTS_PER_CHECK = 32  # connections accepted after which the memory is read
MAX_EVICTED = 16  # connections evicted at a time: in a flood, one at a time would not keep up
HANDOVER_RETRY_INTERVAL = 0.005  # seconds until a hand-over is retried: the last answer is still being sent
ACCEPT_BATCH = 64  # connections accepted per loop iteration, so that established ones are served in between

SINGLE_HEADERS = frozenset((
    b"x-call-id", b"x-call-class", b"plan", b"x-budget", b"idempotency-key", b"quota-info", b"x-again",
    b"content-length", b"host", b"transfer-encoding", b"expect"))
KEPT_HEADERS = SINGLE_HEADERS | {b"content-type"}  # all others have no meaning for the gateway

UNAVAILABLE_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n")

log = logging.getLogger("embersill")


@dataclass(frozen=True, slots=True)
class ConnectionHistory:
    """What a connection has received at the process that hands it over to its successor.

    The field names are keys of the hand-over message.
    """

    asked: bool = False  # a complete request was received
    served: bool = False  # one of the requests was for a backend
    awaited_for: float = 0.0  # seconds spent waiting for the first request; its timeout is not restarted


NO_HISTORY = ConnectionHistory()


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection: reads requests and writes the answers in the same order.

    Requests may be pipelined. Reading stops while as many as allowed of them are in progress, while a
    streamed body waits for its backend, and while the client does not read its answers.
    """

    def __init__(self, server: ClientServer, sock: socket.socket, history: ConnectionHistory) -> None:
        self.server, self.socket = server, sock
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.idle_since = server.clock()
        self.awaiting_since = self.idle_since - history.awaited_for  # for a complete request
        self.has_received_request = history.asked
        self.has_backend_request = history.served
        self.handing_over = False  # goes to the successor once its last answer is written
        self.last_read_at = self.write_blocked_at = self.read_paused_at = self.read_resumed_at = 0.0
        self.seen_open_at = 0.0  # last sign that the client is there, while reading is paused
        self.bytes_read = self.bytes_parsed = 0
        self.read_size = 0  # bytes that the last read could take
        self.body_slice = MAX_SLICE  # bytes of a chunked body that are parsed at a time
        self.awaits_turn = False  # for what is not parsed yet
        self.blank_size = 0  # bytes of blank lines since the last request
        self.request_begun = False  # in what was parsed last
        self.arrivals = ArrivalLog()
        self.body_written_at: float | None = None  # when a streamed body's last byte may have been written
        self.arrived_at = 0.0  # the earliest time at which the bytes read last may have arrived
        self.is_http_1_1: bool = True
        self.unparsed = b""
        self.write_blocked: bool = False
        self.read_paused = self.input_ended = self.closing = self.parsing = False
        self.in_request, self.in_head, self.head_size = False, False, 0
        self.account = Account(server.memory)
        self.refused = False  # the request being received: there is no memory for its body
        self.head_normalizer: HeadNormalizer | None = HeadNormalizer()  # None while a body is received
        self.body_remaining: int | None = None  # bytes of the body not yet received; None for a chunked body
        self.body_tail = b""  # the last bytes received of the body, which may be part of a blank line
        self.close_reason = ""  # for the trace
        self.linger_timer: asyncio.TimerHandle | None = None
        self.reset_request()

    def reset_request(self) -> None:
        """Clears what was parsed of the previous request."""
        self.body_size = self.trailers_size = 0
        self.upload: Upload | None = None  # the body, if it is streamed
        self.upload_exchange: Exchange | None = None
        self.framing = Framing()
        self.release_request()
        self.request_error: BadRequest | None = None
        self.refused = False
        self.end_unknown = False  # where the request ends, and so where the next one starts

    def release_request(self) -> None:
        """Frees what was received of a request: a resting connection must not hold it."""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.framing_fields = FramingFields()
        self.body = ByteBuffer()

    def set_close_reason(self, reason: str) -> None:
        """Records why the connection is closed; the first reason is kept."""
        self.close_reason = self.close_reason or reason

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's lacks the base class only
        # without a buffer above the kernel's, which would hold each piece of an answer as an object
        self.transport.set_write_buffer_limits(high=0)
        self.server.connections.add(self)
        if self.server.send_to_successor is not None:
            self.server.loop.call_soon(self.try_hand_over)

    # callbacks of the parser

    def on_message_begin(self) -> None:
        self.reset_request()
        if self.has_received_request:
            self.awaiting_since = self.last_read_at
        self.in_request = self.in_head = self.request_begun = True
        self.head_size = 0  # MAX_HEAD applies to each head by itself

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if not self.in_head:
            self.trailers_size += len(name) + len(value)  # trailers of a chunked body are ignored
            return
        if name not in KEPT_HEADERS:
            return
        if name in SINGLE_HEADERS and name in self.headers:
            self.request_error = BadRequest(400, f"{name.decode()} stands twice")
        self.headers[name] = value.strip()
        self.framing_fields.add(name, value)

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.is_http_1_1 = self.parser.get_http_version() == "1.1"
        try:
            self.framing = self.framing_fields.read()
        except BadFraming as error:
            self.end_unknown = True
            self.request_error = BadRequest(501 if isinstance(error, UnknownCoding) else 400, str(error))
        size = self.framing.length or 0
        if self.framing.chunked and not self.is_http_1_1:
            self.request_error = BadRequest(501, "no transfer coding before HTTP/1.1")
        elif size > MAX_BODY:
            self.request_error = BadRequest(413, "the body is over 32 MB")
        elif self.headers.get(b"expect", b"100-continue").lower() != b"100-continue":
            self.request_error = BadRequest(417, "no expectation but 100-continue")
        elif size > STREAMING_THRESHOLD and self.request_error is None:
            self.start_upload(size)
        is_next = not self.exchanges or self.exchanges[0] is self.upload_exchange is not None
        if b"expect" in self.headers and self.request_error is None and is_next and not self.input_ended:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def start_upload(self, length: int | None) -> None:
        """Accepts a request whose body is still being received, and streams the body to the backend."""
        upload = Upload(length, self.server.memory, self.on_upload_space)
        try:
            if self.target.partition(b"?")[0] != b"/api":
                raise BadRequest(404, "no such path")
            method, server = self.parser.get_method(), self.server
            call = server.request_reader.read(
                self.written_at(), method, self.target, self.headers, b"", upload)
        except BadRequest as error:
            self.request_error = error.without_traceback()
            return
        if self.body:
            upload.feed(self.body.take())
        self.has_received_request = self.has_backend_request = True
        self.upload, self.body_written_at = upload, None
        self.upload_exchange = Exchange(self, self.parser.should_keep_alive() and self.is_http_1_1)
        self.exchanges.append(self.upload_exchange)
        self.upload_exchange.number = server.driver.accept_request(call, self.upload_exchange)

    def is_uploading(self, exchange: Exchange) -> bool:
        """True while the streamed body of this exchange is incomplete."""
        return exchange is self.upload_exchange and self.upload is not None and not self.upload.complete

    def on_upload_space(self) -> None:
        """Resumes parsing after the backend accepted part of the body.

        Scheduled, since this may run inside the parser, which must not be re-entered.
        """
        if self.account.charged and not self.parsing:
            self.update_charge()
        if self.read_paused or self.unparsed:
            self.server.loop.call_soon(self.resume_parsing)

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.input_ended:
            return
        if self.body_size > MAX_BODY:
            self.request_error = BadRequest(413, "the body is over 32 MB")
        elif self.upload is not None:
            self.upload.feed(body)
        elif self.request_error is None and not self.refused:
            self.body.add(body)
            if self.body_size > STREAMING_THRESHOLD:
                self.start_upload(None)

    def on_message_complete(self) -> None:
        self.in_request = False
        if self.input_ended:
            return
        self.has_received_request = True
        if self.upload is not None and self.upload_exchange is not None and self.request_error is None:
            upload, exchange = self.upload, self.upload_exchange
            self.upload = self.upload_exchange = None
            self.input_ended = not exchange.keep_alive
            upload.end()
            self.server.driver.on_upload_completed(exchange.number, self.written_at())
            self.release_request()
            return
        keep_alive = self.parser.should_keep_alive() and self.is_http_1_1 and not self.end_unknown
        exchange = Exchange(self, keep_alive)
        self.exchanges.append(exchange)
        self.input_ended = not keep_alive
        if self.request_error is not None:
            self.send_error(exchange, self.request_error)
        else:
            try:
                self.route(exchange)
            except BadRequest as error:
                self.send_error(exchange, error)
        self.release_request()

    def send_error(self, exchange: Exchange, error: BadRequest) -> None:
        """Answers with the error; the answer to a HEAD request has no body."""
        body = b"" if self.parser.get_method() == b"HEAD" else f"{error}\n".encode()
        exchange.answer(error.status, body, error.headers)

    def route(self, exchange: Exchange) -> None:
        """Dispatches a complete request by its path; raises BadRequest if it cannot be accepted."""
        method, path = self.parser.get_method(), self.target.partition(b"?")[0]
        if path == b"/api":
            if method not in (b"GET", b"POST"):
                raise BadRequest(405, "only GET and POST", b"Allow: GET, POST\r\n")
            server = self.server
            call = server.request_reader.read(
                self.written_at(), method, self.target, self.headers, self.body.take())
            self.has_backend_request = True
            if self.refused:
                server.driver.reject_request(call, exchange)
            else:
                exchange.number = server.driver.accept_request(call, exchange)
        elif path == b"/ready":
            if method != b"GET":
                raise BadRequest(405, "only GET", b"Allow: GET\r\n")
            exchange.answer(200 if self.server.is_ready() else 503, b"")
        else:
            raise BadRequest(404, "no such path")

    # callbacks of the transport

    def get_buffer(self, sizehint: int) -> memoryview:
        server = self.server
        is_busy = server.turns.waiting and self.head_normalizer is not None
        buffer = server.head_buffer if is_busy else server.read_buffer
        allowed = server.memory.peer_buffer
        if allowed < len(buffer):
            buffer = buffer[:allowed]
        self.read_size = len(buffer)
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.input_ended:
            return  # input is still read, since closing with unread data would reset the last answer
        self.last_read_at = self.server.clock()
        self.arrived_at = self.arrival_time()
        self.bytes_read += len(data)
        if len(data) < self.read_size and self.arrived_at - self.read_resumed_at >= CAUGHT_UP_AFTER:
            self.arrivals.clear()
        self.unparsed = self.unparsed + data if self.unparsed else data
        self.resume_parsing()

    def arrival_time(self) -> float:
        """The earliest time at which the bytes read now may have arrived; the request's budget starts then.

        They may have waited in the kernel's buffer while the loop was stalled, while earlier requests were in
        progress, or until the connection was accepted. The kernel knows the arrival of the last bytes only;
        earlier ones may be older, by up to the stall of the loop.
        """
        last_bytes = self.last_read_at - seconds_since_data(self.socket)
        return min(last_bytes, self.server.loop_stalls.earliest_arrival(self.last_read_at))

    def written_at(self) -> float:
        """The earliest time at which the client may have written the last byte that is parsed."""
        written_at = self.arrivals.written_at(self.bytes_parsed) if self.arrivals.is_behind else None
        return self.arrived_at if written_at is None else min(written_at, self.arrived_at)

    def observe_unread(self, now: float) -> None:
        """Records how many bytes wait to be read, and whether a streamed body may be complete with them."""
        if self.read_paused:
            if not may_hide_close(self.socket):
                self.seen_open_at = now
            self.arrivals.forget(self.bytes_parsed)
            self.arrivals.observe(now, self.bytes_read, unread_bytes(self.descriptor()), self.arrived_at)
        elif now - self.read_resumed_at >= CAUGHT_UP_AFTER and not unread_bytes(self.descriptor()):
            self.arrivals.clear()
        self.update_body_written_at()

    def update_body_written_at(self) -> None:
        """Reports when the last byte of a streamed body that is not read yet may have been written."""
        if self.upload is None or self.upload_exchange is None:
            return
        # the end of a chunked body is not known: its last byte may be the next one
        remaining = 1 if self.upload.length is None else self.upload.length - self.body_size
        written_at = self.arrivals.written_at(self.bytes_parsed + remaining)
        if written_at != self.body_written_at:
            self.body_written_at = written_at
            self.server.driver.on_body_delayed(self.upload_exchange.number, written_at)

    def resume_parsing(self) -> None:
        """Parses what was received, in turns with other connections that have much."""
        if self.awaits_turn:
            return
        if len(self.unparsed) > LITTLE_DATA and self.server.turns.waiting:
            self.await_turn()
            self.update_charge()
            self.update_reading()
        else:
            self.take_turn()

    def await_turn(self) -> None:
        self.awaits_turn = True
        self.server.turns.add(self)

    def take_turn(self) -> None:
        """Parses for one turn at most, as far as the limits on requests and body bytes in progress allow."""
        waited, self.awaits_turn = self.awaits_turn, False
        if self.transport is None:
            return
        if waited and self.is_disconnected():  # not noticed, as nothing is read while it waits
            self.close_disconnected()
            return
        begin = 0.0
        while self.unparsed and not (self.input_ended or self.must_pause_reading()):
            if len(self.unparsed) <= LITTLE_DATA or self.body_remaining:
                self.parse_slice(self.body_remaining or LITTLE_DATA)
                continue
            begin = begin or self.server.clock()
            in_chunks = self.head_normalizer is None
            self.parse_slice(self.body_slice if in_chunks else LITTLE_DATA if self.blank_size else HEAD_SLICE)
            elapsed = self.server.clock() - begin
            if in_chunks:
                self.body_slice = next_slice_size(self.body_slice, elapsed)
            if self.unparsed and elapsed >= TURN_TIME:
                self.await_turn()
                break
        # most requests are received whole at once, and nothing is held of them here
        if self.unparsed or self.in_request or self.account.charged or len(self.exchanges) > 1:
            self.update_charge()
        self.update_reading()
        if self.body_written_at is not None:
            self.update_body_written_at()
        self.try_hand_over()

    def held_bytes(self) -> int:
        """Bytes that are held for this client, but for the requests that the driver has."""
        held = len(self.unparsed)
        if self.in_request and not self.input_ended:
            held += self.head_size + len(self.body.data)
        if self.upload is not None:
            held += len(self.upload.buffer.data)
        for exchange in self.exchanges:
            held += exchange.held_bytes()
        if len(self.exchanges) > 1:
            held += (len(self.exchanges) - 1) * REQUEST_MEMORY
        if self.write_blocked and self.transport is not None:
            held += self.transport.get_write_buffer_size()
        return held

    def update_charge(self) -> None:
        """Charges what is held; a request that is not complete gives way where there is no memory for it."""
        if not self.account.charge(self.held_bytes()) and self.in_request and self.upload is None:
            self.refuse_request()

    def refuse_request(self) -> None:
        """Frees what was received of an incomplete request, which is refused at its end."""
        self.server.driver.figures.other_counts["refused for memory"] += 1
        if self.in_head:
            self.fail_request(503, "no memory for the head")
            self.release_request()
            self.parser = httptools.HttpRequestParser(self)  # which holds a field that is not complete
        else:
            self.refused, self.body = True, ByteBuffer()
        self.account.charge(self.held_bytes())

    def parse_slice(self, size: int) -> None:
        """Parses the first `size` bytes of what was received."""
        data, self.unparsed = self.unparsed[:size], self.unparsed[size:]
        self.parse(data)

    def parse(self, data: bytes) -> None:
        """Parses bytes, and answers a request that is already known to be in error."""
        self.parsing = True  # an answer sent from a callback must not re-enter the parser
        self.request_begun = self.in_request
        try:
            self.unparsed = self.feed_parser(data) + self.unparsed
        except httptools.HttpParserError:
            self.fail_request(400, "not HTTP")
        except httptools.HttpParserUpgrade:
            self.input_ended = True  # the request itself is answered as any other
        if self.upload is not None:
            self.upload.pass_on()
        self.parsing = False
        self.head_size += len(data) if self.in_head else 0
        self.blank_size = 0 if self.request_begun else self.blank_size + len(data)
        is_large = self.upload is not None or self.body_size > STREAMING_THRESHOLD
        is_large = is_large or (self.framing.length or 0) > STREAMING_THRESHOLD
        if self.request_error is not None and self.in_request and not self.in_head and (
                is_large or self.end_unknown):
            # Answered now, as the rest of the body need not be read.
            self.fail_request(self.request_error.status, str(self.request_error))
        elif self.trailers_size > MAX_HEAD:
            self.fail_request(431, "the trailers are over 32 KiB")
        elif self.head_size > MAX_HEAD:
            self.fail_request(431, "the head is over 32 KiB")
        elif self.blank_size > MAX_HEAD:
            self.fail_request(400, "blank lines and no request")

    def feed_parser(self, data: bytes) -> bytes:
        """Feeds the parser each head separately, in the normalized form; returns the bytes that have to wait.

        These are all after a request behind which no further one may be in progress, or after several.

        Only the parser knows where a chunked body ends, but such a body always ends with a blank line. So
        data that may contain the end is split after each blank line.
        """
        requests = 0
        while data:
            if self.head_normalizer is not None:
                text, rest = self.head_normalizer.feed(data)
                self.bytes_parsed += len(data) - len(rest)
                data = rest
                self.parser.feed_data(text)
                if self.head_normalizer.complete:
                    self.head_normalizer = None if self.in_request else HeadNormalizer()
                    self.body_remaining, self.body_tail = self.framing.length, b""
            else:
                size = self.body_remaining or blank_line_end(self.body_tail, data)
                text, data = data[:size], data[size:]
                self.bytes_parsed += len(text)
                self.parser.feed_data(text)
                self.body_tail = (self.body_tail + text)[1 - len(HEAD_END):]
                self.body_remaining = None if self.body_remaining is None else self.body_remaining - len(text)
                if not self.in_request:
                    self.head_normalizer = HeadNormalizer()
            requests += not self.in_request
            if not self.in_request and (requests >= REQUESTS_PER_SLICE or self.must_pause_reading()):
                return data
        return b""

    def fail_request(self, status: int, text: str) -> None:
        """Answers a request that cannot be read to its end; nothing after it is read."""
        if self.input_ended:
            return
        self.input_ended = True
        self.set_close_reason(f"answered {status}: {text}")
        exchange, self.upload_exchange = self.upload_exchange, None
        if exchange is None:
            exchange = Exchange(self, False)
            self.exchanges.append(exchange)
        elif exchange.number and exchange.response is None:
            self.server.driver.on_client_disconnected(exchange.number)  # its body is incomplete
        exchange.keep_alive = False
        exchange.answer(status, f"{text}\n".encode())

    def check_timeouts(self, now: float) -> None:
        """Closes the connection if its client sends no complete request, or reads nothing, for too long."""
        if self.write_blocked and now - self.write_blocked_at > WRITE_TIMEOUT and self.transport is not None:
            self.set_close_reason("the client reads nothing")
            return self.transport.abort()
        if self.closing or self.input_ended or self.unparsed or self.read_paused:
            return None
        if self.exchanges and self.upload is None:
            return None
        if now - self.awaiting_since <= REQUEST_TIMEOUT + self.body_size / MIN_BODY_RATE:
            return None
        if self.in_request:
            self.fail_request(408, "the request did not come whole")
        elif not (self.has_received_request or self.has_unread_data()):
            self.close_now("no request came")
        return None

    def give_way_if_stalled(self, now: float) -> None:
        """Frees the body of a request of which nothing more comes, as memory is short."""
        is_waiting = self.is_incomplete() and not self.read_paused
        if is_waiting and self.body.data and now - self.last_read_at > STALLED_AFTER:
            self.refuse_request()

    def is_incomplete(self) -> bool:
        """True while a request is received that is not passed on yet."""
        return self.in_request and self.upload is None and not self.input_ended

    def may_be_ended(self) -> bool:
        """True for a request that has been incomplete for a while, with no other one in progress."""
        is_received = self.in_request or self.awaits_turn
        if self.exchanges or self.input_ended or not is_received:
            return False
        return self.server.clock() - self.awaiting_since > ENDED_AFTER

    def can_give_way(self) -> bool:
        """True if refusing the request that is received would free memory."""
        return self.is_incomplete() and not self.parsing and bool(self.account.charged) and not self.refused

    def history(self) -> ConnectionHistory:
        """What a successor has to know about this connection."""
        awaited_for = 0.0 if self.has_received_request else self.server.clock() - self.awaiting_since
        return ConnectionHistory(self.has_received_request, self.has_backend_request, awaited_for)

    def must_pause_reading(self) -> bool:
        """True while an upload's buffer, the client's unread answers or the pipeline are at their limit."""
        if self.upload is not None and self.upload.full:
            return True
        most = self.server.memory.max_pipelined if self.upload is None else MAX_PIPELINED
        return self.write_blocked or len(self.exchanges) >= most

    def update_reading(self) -> None:
        """Pauses or resumes reading, so that a client cannot fill the memory with requests."""
        pause = self.must_pause_reading() or bool(self.unparsed) or self.handing_over
        if self.transport is None or pause == self.read_paused or self.input_ended:
            return
        self.read_paused, now = pause, self.server.clock()
        if pause:
            self.read_paused_at = self.seen_open_at = now
            self.transport.pause_reading()
            self.observe_unread(now)
            self.server.watch_unread(self)
        else:
            self.awaiting_since += now - self.read_paused_at  # the pause does not count towards the timeout
            self.read_resumed_at = now
            self.arrivals.resume()
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.write_blocked_at = self.server.clock()
        self.write_blocked = True  # no further requests are parsed while the client does not read
        self.update_reading()

    def resume_writing(self) -> None:
        self.write_blocked = False
        self.flush()
        self.resume_parsing()

    def flush(self) -> None:
        """Writes answers in the order of their requests, up to the first request without one."""
        if self.transport is None:
            return
        self.write_answers()
        if self.write_blocked or len(self.exchanges) > 1 or self.account.charged:
            self.update_charge()

    def write_answers(self) -> None:
        """As flush(), without the charge for what is left."""
        assert self.transport is not None
        while self.exchanges:
            exchange = self.exchanges[0]
            if exchange.streaming:
                if not self.write_streamed(exchange):
                    break
            elif exchange.response is None:
                break
            self.exchanges.popleft()
            self.transport.write(exchange.response or b"")
            if self.read_paused:  # a client that has gone would reset the connection
                self.seen_open_at = self.server.clock()
            if not exchange.keep_alive:
                return self.close_gracefully()
        if self.transport is None:
            return None
        self.idle_since = self.server.clock()
        if self.input_ended and not self.exchanges:
            return self.close_gracefully()
        if self.unparsed and not self.parsing:
            return self.resume_parsing()
        self.update_reading()
        return self.try_hand_over()

    def write_streamed(self, exchange: Exchange) -> bool:
        """Writes what is buffered of a streamed answer, once the kernel has accepted what was written before.

        Resets the connection if the answer was aborted. Returns True if the answer is written completely.
        """
        assert self.transport is not None
        may_write = not self.write_blocked or exchange.aborted
        if may_write:
            self.transport.write(exchange.take_unwritten())
        if exchange.aborted:
            self.set_close_reason("the answer broke off")
            self.exchanges.clear()
            self.input_ended = self.closing = True
            self.reset()
        elif exchange.on_writable is not None and not exchange.done and exchange.has_space():
            exchange.on_writable()
        return self.transport is not None and exchange.done and may_write

    def reset(self) -> None:
        """Closes with a TCP reset."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def try_hand_over(self) -> None:
        """Hands the connection over to the successor, if there is one and no request is in progress.

        Reading stops first: later requests stay in the kernel's buffer for the successor.
        """
        if self.server.send_to_successor is None or self.transport is None or self.transport.is_closing():
            return
        if self.exchanges or self.input_ended or self.unparsed or self.in_request or self.parsing:
            return
        self.handing_over = True
        self.update_reading()
        if self.is_write_buffer_empty() and self.server.send_to_successor(self):
            self.input_ended = self.closing = True
            self.set_close_reason("given to the successor")
            self.transport.abort()  # the successor's descriptor keeps the connection open
        else:
            self.server.loop.call_later(HANDOVER_RETRY_INTERVAL, self.try_hand_over)

    def cancel_hand_over(self) -> None:
        """Resumes reading where the successor has gone before the connection was handed over."""
        if self.handing_over:
            self.handing_over = False
            self.update_reading()

    def close_gracefully(self) -> None:
        """Closes after the last answer.

        Data that the peer still sends is read and dropped for LINGER, as a reset could discard the answer.
        """
        self.input_ended = self.closing = True
        self.set_close_reason("after its last answer")
        self.idle_since = self.server.clock()
        if self.transport is not None and not self.transport.is_closing():
            if self.read_paused:
                self.transport.resume_reading()
                self.read_paused = False
            self.unparsed = b""
            self.transport.write_eof()
            self.linger_timer = self.server.loop.call_later(LINGER, self.transport.close)

    def close_now(self, reason: str) -> None:
        """Closes at once a connection with no request in progress."""
        self.input_ended = self.closing = True
        self.set_close_reason(reason)
        if self.transport is not None:
            self.transport.close()

    def eof_received(self) -> bool:
        """Treats the end of input as a disconnect: the protocol has no half-closed connections."""
        self.on_client_disconnected()
        return False

    def on_client_disconnected(self) -> None:
        """Ends all requests of the connection that have no complete answer yet."""
        self.input_ended = True
        self.set_close_reason("the client has gone")
        exchanges, self.exchanges = self.exchanges, deque()
        for exchange in exchanges:
            if exchange.number and exchange.response is None and not exchange.done:
                self.server.driver.on_client_disconnected(exchange.number)

    def abort_disconnected(self) -> None:
        """Closes a connection whose client disconnected while reading was paused."""
        if self.exchanges:
            self.close_disconnected()

    def close_disconnected(self) -> None:
        """Closes a connection whose client has disconnected, and ends its requests."""
        if self.transport is not None:
            self.on_client_disconnected()
            if not self.transport.is_closing():
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        trace = self.server.driver.trace
        if trace is not None:
            waiting = sum(e.response is None and not e.done for e in self.exchanges)
            trace.note("client_connection_closed", reason=self.close_reason or "the client has gone",
                       error=exc, unanswered=waiting)
        self.server.on_connection_closed(self)
        self.transport = None
        self.on_client_disconnected()
        self.release()

    def release(self) -> None:
        """Frees what the closed connection holds, without waiting for the garbage collector.

        The parser refers to this object, as a streamed body does.
        """
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.reset_request()
        self.unparsed = self.body_tail = b""
        self.head_normalizer = None
        del self.parser
        self.account.charge(0)

    def close_after_if_stopping(self, exchange: Exchange) -> bool:
        """While the gateway stops, ends the input after the last accepted request; True if this is it.

        Its answer then carries `Connection: close`. An earlier answer must not, as the client would then drop
        the answers to the requests that it sent after that one.
        """
        if not self.server.stopping or self.server.send_to_successor is not None:
            return False
        if self.unparsed or not self.exchanges or self.exchanges[-1] is not exchange:
            return False
        self.input_ended = True
        return True

    def is_write_buffer_empty(self) -> bool:
        """True once the kernel has accepted everything that was written here."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def is_idle(self) -> bool:
        """True if closing loses nothing: no request was accepted, and none is likely to be on its way."""
        if self.exchanges or self.closing or self.unparsed:
            return False
        now = self.server.clock()
        if self.in_request:
            return now - self.last_read_at > STALLED_AFTER
        return now - self.idle_since > EVICTABLE_AFTER

    def descriptor(self) -> int:
        """The file descriptor of the open connection."""
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def is_read_late(self) -> bool:
        """True while reading is paused, and afterwards until all that had waited is read."""
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and (self.read_paused or self.arrivals.is_behind)

    def has_unread_data(self) -> bool:
        """True if the kernel holds unread data, which may be a request that closing would lose."""
        return self.transport is not None and is_readable(self.transport.get_extra_info("socket"))

    def is_disconnected(self) -> bool:
        """True if the client has closed or reset the connection, even if it left unread data."""
        return self.transport is None or self.transport.is_closing() or bool(
            closed_by_peer((self.descriptor(),)))

    def close_may_be_hidden(self) -> bool:
        """True if the kernel would not report a close, and there was no sign of the client for a while."""
        return (self.read_paused and self.server.clock() - self.seen_open_at > HIDDEN_CLOSE_AFTER
                and may_hide_close(self.socket))

    def can_be_evicted(self) -> bool:
        """True for an idle connection, and for one that only lingers after its last answer."""
        if self.closing:
            return self.transport is not None and self.server.clock() - self.idle_since > EVICTABLE_AFTER
        return self.is_idle()


class ClientServer:
    """The listening socket and the client connections.

    Accepts connections itself: the loop's own server would close them where no file descriptor is left, and
    lose requests that were already written to them.
    """

    def __init__(self, driver: Driver, settings: Settings, clock: Callable[[], float], max_connections: int,
                 is_serving: Callable[[], bool]) -> None:
        self.memory = driver.memory
        self.read_buffer = memoryview(bytearray(READ_SIZE))  # shared: data is copied out before the next read
        self.head_buffer = self.read_buffer[:HEAD_READ_SIZE]
        self.driver, self.clock, self.max_connections = driver, clock, max_connections
        self.request_reader = RequestReader(settings)
        self.is_serving = is_serving
        self.connections: set[ClientConnection] = set()
        self.setting_up: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.accept_retry: asyncio.Handle | None = None
        self.overload: OverloadManager | None = None
        self.accepted = 0  # connections since the memory was last read
        self.stopping = False
        self.lame_duck = False  # serves all requests, but answers /ready with 503
        # Hands a connection over to the successor, if there is one; returns False if it could not be sent.
        self.send_to_successor: Callable[[ClientConnection], bool] | None = None
        self.held_by_predecessor = 0  # connections of the predecessor, which count towards max_connections
        self.check_timer = self.loop.call_later(CHECK_INTERVAL, self.check_connections)
        self.loop_stalls = LoopStalls(clock())
        self.turns = TurnQueue(self.loop, clock)  # of connections that have much to parse
        self.read_late: set[ClientConnection] = set()  # connections with bytes that may wait to be read
        self.unread_check_timer: asyncio.TimerHandle | None = None

    @property
    def buffer_limit(self) -> int:
        """Bytes that are buffered for one connection and direction, beside what one read brings."""
        return self.memory.stream_buffer

    def watch_unread(self, connection: ClientConnection) -> None:
        """Checks a connection until its reading has resumed and all that waited is read."""
        self.read_late.add(connection)
        if self.unread_check_timer is None:
            self.unread_check_timer = self.loop.call_later(UNREAD_CHECK_INTERVAL, self.check_unread)

    def check_unread(self) -> None:
        """Asks the kernel which paused connections are closed, as the loop does not report those.

        On the others it asks how many bytes wait.
        """
        self.unread_check_timer = None
        self.read_late = {c for c in self.read_late if c.is_read_late()}
        by_descriptor = {c.descriptor(): c for c in self.read_late if c.read_paused and c.exchanges}
        for descriptor in closed_by_peer(by_descriptor):
            by_descriptor[descriptor].abort_disconnected()
        now = self.clock()
        for connection in list(self.read_late):
            if connection.is_read_late():
                connection.observe_unread(now)
        if self.read_late:
            self.unread_check_timer = self.loop.call_later(UNREAD_CHECK_INTERVAL, self.check_unread)

    def check_connections(self) -> None:
        """Runs every CHECK_INTERVAL: records stalls of the loop and applies the connections' timeouts."""
        self.check_timer = self.loop.call_later(CHECK_INTERVAL, self.check_connections)
        now = self.clock()
        self.driver.loop_lag.record(self.loop_stalls.record_check(now))
        if self.overload is not None:
            self.overload.measure()
        for connection in list(self.connections):
            connection.check_timeouts(now)
            if self.memory.is_exhausted:
                connection.give_way_if_stalled(now)

    def is_ready(self) -> bool:
        """True if /ready is answered with 200."""
        return not (self.stopping or self.lame_duck) and self.is_serving()

    def listen_on(self, listener: socket.socket) -> None:
        """Starts to accept connections from a listening socket."""
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def pause_accepting(self) -> None:
        """Leaves queued and further connections to the successor, which has the same listening socket."""
        if self.accept_retry is not None:
            self.accept_retry.cancel()
            self.accept_retry = None
        if self.listener is not None:
            self.loop.remove_reader(self.listener)

    def resume_accepting(self) -> None:
        """Accepts connections again after the successor has gone."""
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)

    def hand_over_idle(self) -> None:
        """Hands over all connections that have no request in progress."""
        for connection in list(self.connections):
            connection.try_hand_over()

    def cancel_hand_over(self) -> None:
        """Keeps the connections that were not handed over yet."""
        for connection in self.connections:
            connection.cancel_hand_over()

    def adopt_connection(self, descriptor: int, history: ConnectionHistory) -> None:
        """Serves a client connection that the predecessor has handed over between two requests."""
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self.start_connection(sock, history)

    def start_connection(self, sock: socket.socket, history: ConnectionHistory = NO_HISTORY) -> None:
        """Starts to serve an accepted socket."""
        with suppress(OSError):  # the kernel's default size works too
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        task = self.loop.create_task(self.set_up_connection(sock, history))
        self.setting_up.add(task)
        task.add_done_callback(self.setting_up.discard)

    def accept(self) -> None:
        """Accepts up to ACCEPT_BATCH connections, as far as there is capacity for them."""
        self.accept_retry = None
        failures = 0
        for _ in range(ACCEPT_BATCH):
            if self.listener is None:
                return
            if not self.has_capacity():
                if self.has_waiting_connection():
                    self.evict_idle()
                    self.delay_accepting()
                return
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                failures += 1
                if error.errno not in CONNECTION_ERRORS or failures >= MAX_ACCEPT_FAILURES:
                    self.driver.figures.other_counts["accept failed"] += 1
                    return self.delay_accepting()
                continue  # that client has already disconnected
            failures = 0
            sock.setblocking(False)
            self.start_connection(sock)
            self.count_accepted()

    def count_accepted(self) -> None:
        """Reads the memory after every ACCEPTS_PER_CHECK connections, which come faster than the checks."""
        self.accepted += 1
        if self.overload is not None and self.accepted >= ACCEPTS_PER_CHECK:
            self.accepted = 0
            self.overload.measure()

    async def set_up_connection(self, sock: socket.socket, history: ConnectionHistory) -> None:
        """Creates the transport and protocol of an accepted socket."""
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self, sock, history), sock)
        except OSError as error:  # answered and not just closed, as a request may have been sent already
            log.warning("could not set up a client connection: %s", error)
            self.driver.figures.other_counts["connection not set up"] += 1
            await self.reject_socket(sock)

    async def reject_socket(self, sock: socket.socket) -> None:
        """Answers 503 on a socket without a transport, and closes it after LINGER."""
        with suppress(OSError):
            sock.send(UNAVAILABLE_RESPONSE)
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(LINGER)
        with suppress(OSError):
            sock.close()

    def connection_count(self) -> int:
        """Connections of this process, with those that are being set up."""
        return len(self.connections) + len(self.setting_up)

    def has_capacity(self) -> bool:
        """True if there are fewer connections than max_connections, and than the memory allows."""
        count = self.connection_count()
        limit = self.max_connections
        if self.overload is not None and self.overload.connection_limit is not None:
            limit = min(limit, self.overload.connection_limit + self.held_by_predecessor)
        return count + self.held_by_predecessor < limit

    def has_waiting_connection(self) -> bool:
        """True if a connection is waiting to be accepted."""
        return is_readable(cast(socket.socket, self.listener))

    def shed(self, size: int) -> None:
        """Frees what incomplete requests hold, the costliest first, until `size` bytes are freed."""
        holders = [c for c in self.connections if c.can_give_way()]
        for connection in sorted(holders, key=lambda c: c.account.charged, reverse=True):
            if size <= 0:
                return
            size -= connection.account.charged
            connection.refuse_request()

    def end_incomplete(self) -> None:
        """Ends the requests that have been incomplete for longest, where others wait and nobody is idle."""
        incomplete = [c for c in self.connections if c.may_be_ended()]
        for connection in heapq.nsmallest(MAX_EVICTED, incomplete, lambda c: c.awaiting_since):
            self.driver.figures.other_counts["ended for others"] += 1
            connection.fail_request(503, "too slow while others wait")

    def evict_idle(self) -> None:
        """Closes connections without a request in progress, to accept waiting ones.

        Connections that only linger, and those that never had a request for a backend, go first, up to
        MAX_EVICTED at a time, as they may arrive in floods. Otherwise the longest idle client's is closed.
        """
        idle = [c for c in self.connections if c.can_be_evicted()]
        if not idle:
            return self.end_incomplete()
        preferred = [c for c in idle if c.closing or not c.has_backend_request]
        count = MAX_EVICTED if preferred else 1
        for connection in heapq.nsmallest(count, preferred or idle, lambda c: (not c.closing, c.idle_since)):
            if connection.closing or not connection.has_unread_data():  # unread data may be a request
                connection.close_now("it made way for another")
        return None

    def delay_accepting(self) -> None:
        """Stops accepting for ACCEPT_RETRY_INTERVAL; connections wait in the kernel's queue."""
        if self.listener is not None and self.accept_retry is None:
            self.loop.remove_reader(self.listener)
            self.accept_retry = self.loop.call_later(ACCEPT_RETRY_INTERVAL, self.retry_accepting)

    def retry_accepting(self) -> None:
        """Accepts again after a delay."""
        self.accept_retry = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)
            self.accept()

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Removes a closed connection, and accepts a waiting one in its place."""
        self.connections.discard(connection)
        if self.send_to_successor is not None:
            return
        if self.accept_retry is not None:  # there is capacity now
            self.accept_retry.cancel()
            self.accept_retry = self.loop.call_soon(self.retry_accepting)

    async def stop_listening(self) -> None:
        """Accepts all connections that are already waiting, then closes the listening socket."""
        deadline = self.clock() + BACKLOG_DRAIN_TIMEOUT
        while self.listener is not None and self.send_to_successor is None and self.has_waiting_connection():
            if self.clock() >= deadline:
                break
            self.accept()
            await asyncio.sleep(0.0 if self.has_capacity() else ACCEPT_RETRY_INTERVAL)
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    async def wait_handed_over(self, timeout: float) -> None:
        """Waits until every connection is handed over or closed, for up to `timeout` seconds."""
        deadline = self.clock() + timeout
        while self.connections and self.clock() < deadline:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """Cancels the timers; connections and the listening socket are not closed."""
        self.check_timer.cancel()
        if self.unread_check_timer is not None:
            self.unread_check_timer.cancel()

    async def wait_flushed(self, timeout: float) -> None:
        """Waits until the kernel has accepted every answer, for up to `timeout` seconds."""
        deadline = self.clock() + timeout
        while any(not c.is_write_buffer_empty() for c in self.connections) and self.clock() < deadline:
            await asyncio.sleep(0.01)

    def close_idle(self) -> None:
        """Closes all idle connections gracefully."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close_gracefully()

    def close_idle_without_unread(self) -> bool:
        """Closes idle connections without unread data; returns True once all connections are closing."""
        for connection in list(self.connections):
            if connection.is_idle() and not connection.has_unread_data():
                connection.close_gracefully()
        return all(c.closing for c in self.connections)
