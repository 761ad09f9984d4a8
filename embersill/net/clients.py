"""The HTTP server side: accepts clients, reads their requests, and writes each its answer in order."""

from __future__ import annotations

import asyncio
import errno
import heapq
import logging
import re
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from typing import cast
from urllib.parse import unquote_to_bytes

import httptools

from embersill.interface import RepeatPolicy, Settings
from embersill.net.bodies import MAX_BODY, READ_SIZE, STREAMING_THRESHOLD, Upload, closed_by_peer, is_readable
from embersill.net.driver import Call, Driver
from embersill.net.framing import (
    HEAD_END, BadFraming, Framing, FramingFields, HeadNormalizer, UnknownCoding, blank_line_end,
)
from embersill.net.hold_ups import CHECK_INTERVAL, LoopStalls
from embersill.net.tcp_info import seconds_since_data

MAX_HEAD = 32 * 1024  # bytes of request line and headers: a generous browser sends a quarter of it
MAX_PIPELINED = 16  # requests under way on one connection: further ones stay unread
PARSE_CHUNK = 8192  # bytes given to the parser at a time: so many small requests at most go past that bound
EVICTABLE_AFTER = 0.1  # seconds unused from which a connection may make way: its next request may be here unread
STALLED_AFTER = 0.5  # seconds without a byte from which a half-sent request may lose its place to another client
REQUEST_TIMEOUT = 2.5  # seconds for a head, the first from the connect on: clients take 2, the terms give peers 3
MIN_BODY_RATE = 16 * 1024  # bytes a second that a body must bring on top of that: clients send four times as fast
DISCONNECT_CHECK_INTERVAL = 0.04  # seconds between looks for ends of connections that are not read: an attempt that
# begins 0.1 s after its client went breaks the rule
WRITE_TIMEOUT = 10.0  # seconds for which a client may read nothing of its answers: longer than any of its budgets
SEND_BUFFER = 128 * 1024  # bytes the kernel may hold for a client: more would hide how slowly it reads
LINGER = 1.0  # seconds for a peer to read an error answer before its connection goes
BACKLOG = 1024
ACCEPT_RETRY_INTERVAL = 0.02  # seconds until the next try where a connection could not be accepted
MAX_ACCEPT_FAILURES = 8  # in a row, from which it waits: fewer may be as many clients that have gone
# what accept fails with where one connection has ended before it was accepted (accept(2))
CONNECTION_ERRORS = frozenset((
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH,
    errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET, errno.EPERM))
BACKLOG_DRAIN_TIMEOUT = 0.2  # seconds for all that waits to be accepted where no more will be: a full backlog, with room
MAX_EVICTED = 16  # peers that make way at one go: a flood comes faster than one at a time
HANDOVER_RETRY_INTERVAL = 0.005  # seconds until the next try to hand a connection over: its last answer is still going out
ACCEPT_BATCH = 64  # connections taken in at one go, so that those at hand get their turn

CALL_ID = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
CLIENT_PARAMETER = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER_ID = re.compile(rb"0{7}[01][0-9A-Fa-f]{8}")  # a number below 2^33
BUDGET = re.compile(rb"\d{1,6}(\.\d{1,30})?")  # a float in full has up to 17 decimals
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,256}")
QUOTA_FIELDS = (b"units", b"spread", b"first")
QUOTA_FIELD = re.compile(rb"\s*([a-z_]+)\s*=\s*(\d{1,9}(?:\.\d{1,9})?)\s*")
SINGLE_HEADERS = frozenset((b"x-call-id", b"x-call-class", b"plan", b"x-budget", b"idempotency-key", b"quota-info",
                    b"x-again", b"content-length", b"host", b"transfer-encoding", b"expect"))
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 417: b"Expectation Failed", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 501: b"Not Implemented", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
}

UNAVAILABLE_RESPONSE = (b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nConnection: close\r\n"
               b"Content-Length: 0\r\n\r\n")

log = logging.getLogger("embersill")


class BadRequest(Exception):
    """What a client sent is not in the protocol's form."""

    def __init__(self, status: int, text: str, headers: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.headers = status, headers


@lru_cache(maxsize=4096)
def parse_quota_info(text: bytes) -> tuple[float, int, int]:
    """Units, spread and first of a Quota-Info; kept, since few different ones come again and again."""
    found: dict[bytes, float] = {}
    for part in text.split(b","):
        if part.partition(b"=")[0].strip() not in QUOTA_FIELDS:
            continue  # what else it tells is for others
        match = QUOTA_FIELD.fullmatch(part)
        if match is None or match[1] in found:
            raise BadRequest(400, "Quota-Info is not in its form")
        found[match[1]] = float(match[2])
    try:
        units, width, first = found[b"units"], found[b"spread"], found[b"first"]
    except KeyError as error:
        raise BadRequest(400, "Quota-Info lacks units, spread or first") from error
    if units <= 0 or width < 1 or not (width.is_integer() and first.is_integer()):
        raise BadRequest(400, "Quota-Info has no units or no whole gateways")
    return units, int(width), int(first)


def header_encodings(name: str) -> list[bytes]:
    """The bytes by which a header may tell a name of the settings: UTF-8, or Latin-1 where it can."""
    latin = name.encode("latin-1", "replace")
    return [name.encode(), latin] if latin.decode("latin-1") == name else [name.encode()]


class RequestReader:
    """Turns requests into calls by the settings' classes and plans, and words what is wrong with the rest."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {form: c for c in settings.classes for form in header_encodings(c.name)}
        self.plans = {form: p.name for p in settings.plans for form in header_encodings(p.name)}
        self.gateways, self.max_units = settings.gateways, settings.max_units

    def read(self, received: float, method: bytes, target: bytes, headers: dict[bytes, bytes],
             body: bytes, upload: Upload | None = None) -> Call:
        customer = self.customer(target)
        klass = self.classes.get(self.required(headers, b"x-call-class"))
        if klass is None:
            raise BadRequest(400, "X-Call-Class names no class")
        wanted = b"GET" if klass.repeat_policy is RepeatPolicy.SAFE else b"POST"
        if method != wanted:
            raise BadRequest(405, "the class goes by another method", b"Allow: %b\r\n" % wanted)
        plan = self.plans.get(self.required(headers, b"plan"))
        if plan is None:
            raise BadRequest(400, "Plan names no plan")
        if (body or upload is not None) and method == b"GET":
            raise BadRequest(400, "a GET with a body")
        units, width, first = parse_quota_info(self.required(headers, b"quota-info"))
        if width > self.gateways or first >= self.gateways or units > self.max_units:
            raise BadRequest(400, "Quota-Info has more units or gateways than there are")
        return Call(
            received=received, budget=float(self.required_match(headers, b"x-budget", BUDGET)), klass=klass.name,
            plan=plan, customer=customer, units=units, width=width,
            first_gateway=first, repeat=headers.get(b"x-again") == b"1",
            head=self.backend_head(method, target, headers, klass.repeat_policy,
                           upload.framing_header if upload is not None else b"Content-Length: %d" % len(body)),
            body=body, upload=upload, call_id=headers[b"x-call-id"].decode("ascii"),
        )

    def backend_head(self, method: bytes, target: bytes, headers: dict[bytes, bytes], repeats: RepeatPolicy,
             framing: bytes) -> bytes:
        """What goes on to a backend, unchanged; the budget is the gateway's own and comes last."""
        lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: %b" % headers.get(b"host", b"backend.local"),
                 b"X-Call-Id: %b" % self.required_match(headers, b"x-call-id", CALL_ID)]
        if repeats is RepeatPolicy.BY_KEY:
            lines.append(b"Idempotency-Key: %b" % self.required_match(headers, b"idempotency-key", IDEMPOTENCY_KEY))
        elif b"idempotency-key" in headers:
            raise BadRequest(400, "Idempotency-Key on a class that carries none")
        if method != b"GET":
            lines.append(framing)
            if b"content-type" in headers:
                lines.append(b"Content-Type: %b" % headers[b"content-type"])
        return b"\r\n".join((*lines, b""))

    def customer(self, target: bytes) -> str:
        found: list[bytes] = CLIENT_PARAMETER.findall(target)
        customer = unquote_to_bytes(found[0]) if len(found) == 1 else b""
        if not CUSTOMER_ID.fullmatch(customer):
            raise BadRequest(400, "client is not 16 hex digits below 2^33")
        return customer.decode().lower()

    def required(self, headers: dict[bytes, bytes], name: bytes) -> bytes:
        value = headers.get(name)
        if not value:
            raise BadRequest(400, f"no {name.decode().title()}")
        return value

    def required_match(self, headers: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> bytes:
        value = self.required(headers, name)
        if not form.fullmatch(value):
            raise BadRequest(400, f"{name.decode().title()} is not in its form")
        return value


class Exchange:
    """One request on a connection and its answer, which goes out when those before it have gone.

    An answer that is passed on as it comes is begun, written and finished, or broken off.
    """

    __slots__ = (
        "streaming", "aborted", "chunked", "connection", "done", "keep_alive", "number", "chunks", "on_writable", "response",
    )

    def __init__(self, connection: ClientConnection, keep: bool) -> None:
        self.connection, self.keep_alive = connection, keep
        self.number = 0  # the driver's name for it, if it was taken
        self.response: bytes | None = None
        self.chunks: list[bytes] = []  # of the answer, that wait for those before it
        self.streaming = self.done = self.aborted = self.chunked = False
        self.on_writable: Callable[[], None] | None = None

    def begin(self, headers: bytes, length: int | None) -> Exchange:
        connection = self.connection
        self.streaming, self.chunked = True, length is None and connection.is_http_1_1
        framing = b"Content-Length: %d\r\n" % length if length is not None else b""
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        self.keep_alive = self.keep_alive and not connection.close_after_if_stopping(self) and bool(framing)
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        self.chunks.append(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, close, framing))
        return self

    def write(self, data: bytes) -> bool:
        """Passes it on, or keeps it while an earlier answer is due; False where more would have to wait."""
        if data:
            self.chunks.append(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        self.connection.flush()
        exchanges = self.connection.exchanges
        return bool(exchanges) and exchanges[0] is self and not self.connection.write_blocked

    def client_has_gone(self) -> bool:
        """Asks the kernel: the loop tells of an end only after what it had to tell before."""
        ended = self.connection.is_disconnected()
        if ended:
            self.connection.abort_disconnected()
        return ended

    def finish(self) -> None:
        if self.chunked:
            self.chunks.append(b"0\r\n\r\n")
        self.done = True
        self.connection.flush()

    def abort(self) -> None:
        self.aborted = True
        self.connection.flush()

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        if self.response is not None:
            return
        self.keep_alive = self.keep_alive and not (self.connection.close_after_if_stopping(self) or self.connection.is_uploading(self))
        self.response = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status, REASON_PHRASES[status], headers, b"" if self.keep_alive else b"Connection: close\r\n", len(body), body)
        self.connection.flush()


@dataclass(frozen=True, slots=True)
class ConnectionHistory:
    """What came on a connection at the process that gave it away, or nothing yet."""

    asked: bool = False  # a whole request
    served: bool = False  # one for a backend
    awaited_for: float = 0.0  # seconds that the first request has been awaited: its client gets no more time


NO_HISTORY = ConnectionHistory()


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection: requests in, answers out in the same order."""

    def __init__(self, front: ClientServer, sock: socket.socket, before: ConnectionHistory) -> None:
        self.server, self.socket = front, sock
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.idle_since = front.clock()
        self.awaiting_since = self.idle_since - before.awaited_for  # since when a whole request is
        self.has_received_request = before.asked  # a whole request came
        self.has_backend_request = before.served  # and one of them was for a backend
        self.handing_over = False  # it goes to the successor as soon as its last answer is out
        self.last_read_at = self.write_blocked_at = self.read_paused_at = 0.0
        self.arrived_at = 0.0  # when what was read last may have come, at the earliest
        self.is_http_1_1: bool = True
        self.unparsed = b""
        self.write_blocked: bool = False
        self.read_paused = self.input_ended = self.closing = self.parsing = False
        self.in_request, self.in_head, self.head_size = False, False, 0
        self.head_normalizer: HeadNormalizer | None = HeadNormalizer()  # between requests and while a head comes
        self.body_remaining: int | None = None  # bytes of the body that are still to come, where they are known
        self.body_tail = b""  # its last bytes so far, which may begin a blank line
        self.close_reason = ""  # for logs
        self.reset_request()

    def reset_request(self) -> None:
        self.target, self.body_size, self.trailers_size = b"", 0, 0
        self.upload: Upload | None = None  # the body, where it is passed on as it comes
        self.upload_exchange: Exchange | None = None
        self.headers: dict[bytes, bytes] = {}
        self.framing_fields, self.framing = FramingFields(), Framing()
        self.body: list[bytes] = []
        self.request_error: BadRequest | None = None
        self.end_unknown = False  # where the request ends, and so what follows it

    def set_close_reason(self, reason: str) -> None:
        """Notes why the connection ends; the first reason stands."""
        self.close_reason = self.close_reason or reason

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.transport.set_write_buffer_limits(high=self.server.buffer_limit)
        self.server.connections.add(self)
        if self.server.send_to_successor is not None:
            self.server.loop.call_soon(self.try_hand_over)

    # what the parser tells

    def on_message_begin(self) -> None:
        self.reset_request()
        if self.has_received_request:
            self.awaiting_since = self.last_read_at
        self.in_request = self.in_head = True
        self.head_size = 0  # pieces end in the midst of many heads: each has the whole bound

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if not self.in_head:
            self.trailers_size += len(name) + len(value)  # behind a body in chunks: they ask for nothing
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
        waits = not self.exchanges or self.exchanges[0] is self.upload_exchange is not None
        if b"expect" in self.headers and self.request_error is None and waits and not self.input_ended:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def start_upload(self, length: int | None) -> None:
        """Takes the request though its body is still coming, which then goes on as it comes."""
        upload = Upload(length, self.server.buffer_limit, self.resume_parsing_later)
        try:
            if self.target.partition(b"?")[0] != b"/api":
                raise BadRequest(404, "no such path")
            method, front = self.parser.get_method(), self.server
            call = front.request_reader.read(self.arrived_at, method, self.target, self.headers, b"", upload)
        except BadRequest as error:
            self.request_error = error
            return
        for piece in self.body:
            upload.feed(piece)
        self.body, self.has_received_request, self.has_backend_request = [], True, True
        self.upload = upload
        self.upload_exchange = Exchange(self, self.parser.should_keep_alive() and self.is_http_1_1)
        self.exchanges.append(self.upload_exchange)
        self.upload_exchange.number = front.driver.take(call, self.upload_exchange)

    def is_uploading(self, exchange: Exchange) -> bool:
        return exchange is self.upload_exchange and self.upload is not None and not self.upload.complete

    def resume_parsing_later(self) -> None:
        """The backend has taken some of the body: not from inside the parser, which may have brought it."""
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
        elif self.request_error is None:
            self.body.append(body)
            if self.body_size > STREAMING_THRESHOLD:
                self.start_upload(None)

    def on_message_complete(self) -> None:
        self.in_request = False
        if self.input_ended:
            return
        self.has_received_request = True
        if self.upload is not None and self.upload_exchange is not None and self.request_error is None:
            upload, uploader = self.upload, self.upload_exchange
            self.upload = self.upload_exchange = None
            self.input_ended = not uploader.keep_alive
            upload.end()
            self.server.driver.uploaded(uploader.number)
            return
        keep = self.parser.should_keep_alive() and self.is_http_1_1 and not self.end_unknown
        exchange = Exchange(self, keep)
        self.exchanges.append(exchange)
        self.input_ended = not keep  # nothing after it is read
        try:
            if self.request_error is not None:
                raise self.request_error
            self.route(exchange)
        except BadRequest as error:
            self.send_error(exchange, error)

    def send_error(self, exchange: Exchange, error: BadRequest) -> None:
        body = b"" if self.parser.get_method() == b"HEAD" else f"{error}\n".encode()
        exchange.answer(error.status, body, error.headers)

    def route(self, exchange: Exchange) -> None:
        method, path = self.parser.get_method(), self.target.partition(b"?")[0]
        if path == b"/api":
            if method not in (b"GET", b"POST"):
                raise BadRequest(405, "only GET and POST", b"Allow: GET, POST\r\n")
            front = self.server
            call = front.request_reader.read(self.arrived_at, method, self.target, self.headers, b"".join(self.body))
            self.has_backend_request = True
            exchange.number = front.driver.take(call, exchange)
        elif path == b"/ready":
            if method != b"GET":
                raise BadRequest(405, "only GET", b"Allow: GET\r\n")
            exchange.answer(200 if self.server.is_ready() else 503, b"")
        else:
            raise BadRequest(404, "no such path")

    # what the transport tells

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.input_ended:
            return  # the last answer is on its way; what still comes is read only so that it gets there
        self.last_read_at = self.server.clock()
        self.arrived_at = self.arrival_time()
        self.unparsed = self.unparsed + data if self.unparsed else data
        self.resume_parsing()

    def arrival_time(self) -> float:
        """When what is read now came, from which its client's time runs.

        It may have waited unread in the kernel: behind a hold-up of the loop, behind earlier requests, or for
        its connection to be accepted. The kernel tells the time of the last bytes alone, and those before
        them may be older, as far as the loop was held up.
        """
        last_bytes = self.last_read_at - seconds_since_data(self.socket)
        return min(last_bytes, self.server.loop_stalls.earliest_arrival(self.last_read_at))

    def resume_parsing(self) -> None:
        """Parses what has come, as far as the bound on requests under way allows."""
        while self.unparsed and not (self.input_ended or self.must_pause_reading()):
            piece = self.unparsed
            if len(piece) > PARSE_CHUNK and self.upload is None:
                piece = piece[:PARSE_CHUNK]
            self.unparsed = self.unparsed[len(piece):]
            self.parse(piece)
        self.update_reading()
        self.try_hand_over()

    def parse(self, piece: bytes) -> None:
        self.parsing = True  # an answer given at once must not start the parser again from inside itself
        try:
            self.feed_parser(piece)
        except httptools.HttpParserError:
            self.fail_request(400, "not HTTP")
        except httptools.HttpParserUpgrade:
            self.input_ended = True  # the answer to the request itself has been or will be given
        self.parsing = False
        self.head_size += len(piece) if self.in_head else 0
        long = self.upload is not None or self.body_size > STREAMING_THRESHOLD
        long = long or (self.framing.length or 0) > STREAMING_THRESHOLD
        if self.request_error is not None and self.in_request and not self.in_head and (long or self.end_unknown):
            self.fail_request(self.request_error.status, str(self.request_error))  # there is no use in reading all of it first
        elif self.trailers_size > MAX_HEAD:
            self.fail_request(431, "the trailers are over 32 KiB")
        elif self.head_size > MAX_HEAD:
            self.fail_request(431, "the head is over 32 KiB")

    def feed_parser(self, piece: bytes) -> None:
        """Feeds the parser, each head by itself and in the spelling that it reads.

        Where a body in chunks ends is known to the parser alone, but no such body ends elsewhere than behind
        a blank line: so a piece of one that may hold its end is cut there.
        """
        while piece:
            if self.head_normalizer is not None:
                text, piece = self.head_normalizer.feed(piece)
                self.parser.feed_data(text)
                if self.head_normalizer.complete:
                    self.head_normalizer = None if self.in_request else HeadNormalizer()
                    self.body_remaining, self.body_tail = self.framing.length, b""
            else:
                most = self.body_remaining or blank_line_end(self.body_tail, piece)
                text, piece = piece[:most], piece[most:]
                self.parser.feed_data(text)
                self.body_tail = (self.body_tail + text)[1 - len(HEAD_END):]
                self.body_remaining = None if self.body_remaining is None else self.body_remaining - len(text)
                if not self.in_request:
                    self.head_normalizer = HeadNormalizer()

    def fail_request(self, status: int, text: str) -> None:
        """Answers a request that can't be read to its end; what follows it can't be read either."""
        if self.input_ended:
            return
        self.input_ended = True
        self.set_close_reason(f"answered {status}: {text}")
        exchange, self.upload_exchange = self.upload_exchange, None
        if exchange is None:
            exchange = Exchange(self, False)
            self.exchanges.append(exchange)
        elif exchange.number and exchange.response is None:
            self.server.driver.client_left(exchange.number)  # it never came whole
        exchange.keep_alive = False
        exchange.answer(status, f"{text}\n".encode())

    def check_timeouts(self, now: float) -> None:
        """Ends the wait for requests that do not come whole, or at all, and for clients that never read."""
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

    def history(self) -> ConnectionHistory:
        """What a successor has to know of it."""
        awaited_for = 0.0 if self.has_received_request else self.server.clock() - self.awaiting_since
        return ConnectionHistory(self.has_received_request, self.has_backend_request, awaited_for)

    def must_pause_reading(self) -> bool:
        if self.upload is not None and self.upload.full:
            return True
        return self.write_blocked or len(self.exchanges) >= MAX_PIPELINED

    def update_reading(self) -> None:
        """Stops reading while enough is under way: a client that only sends can't fill the memory."""
        full = self.must_pause_reading() or bool(self.unparsed) or self.handing_over
        if self.transport is None or full == self.read_paused or self.input_ended:
            return
        self.read_paused, now = full, self.server.clock()
        if full:
            self.read_paused_at = now
            self.transport.pause_reading()
            self.server.watch_for_disconnect(self)
        else:
            self.awaiting_since += now - self.read_paused_at  # it could not send what was not read
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.write_blocked_at = self.server.clock()
        self.write_blocked = True  # the client does not read its answers: it gets no further ones
        self.update_reading()

    def resume_writing(self) -> None:
        self.write_blocked = False
        self.flush()
        self.resume_parsing()

    def flush(self) -> None:
        """Writes the answers that are due, up to the first request that has none yet."""
        if self.transport is None:
            return
        while self.exchanges:
            exchange = self.exchanges[0]
            if exchange.streaming:
                self.write_chunks(exchange)
                if self.transport is None or not exchange.done:
                    break
            elif exchange.response is None:
                break
            self.exchanges.popleft()
            self.transport.write(exchange.response or b"")
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

    def write_chunks(self, exchange: Exchange) -> None:
        """Writes what has come of an answer; one that broke off is told from a whole one by a reset."""
        assert self.transport is not None
        if exchange.chunks:
            pieces, exchange.chunks = exchange.chunks, []
            self.transport.write(b"".join(pieces))
        if exchange.aborted:
            self.set_close_reason("the answer broke off")
            self.exchanges.clear()
            self.input_ended = self.closing = True
            self.reset()
        elif exchange.on_writable is not None and not (exchange.done or self.write_blocked):
            exchange.on_writable()

    def reset(self) -> None:
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def try_hand_over(self) -> None:
        """Goes to the successor between two requests; what comes meanwhile stays in the kernel for it."""
        if self.server.send_to_successor is None or self.transport is None or self.transport.is_closing():
            return
        if self.exchanges or self.input_ended or self.unparsed or self.in_request or self.parsing:
            return
        self.handing_over = True
        self.update_reading()
        if self.is_write_buffer_empty() and self.server.send_to_successor(self):
            self.input_ended = self.closing = True
            self.set_close_reason("given to the successor")
            self.transport.abort()  # the successor's descriptor keeps the connection up
        else:
            self.server.loop.call_later(HANDOVER_RETRY_INTERVAL, self.try_hand_over)

    def cancel_hand_over(self) -> None:
        if self.handing_over:
            self.handing_over = False
            self.update_reading()

    def close_gracefully(self) -> None:
        """Closes after the last answer; the peer may have more on its way, which must not cut it off."""
        self.input_ended = self.closing = True
        self.set_close_reason("after its last answer")
        self.idle_since = self.server.clock()
        if self.transport is not None and not self.transport.is_closing():
            if self.read_paused:
                self.transport.resume_reading()
                self.read_paused = False
            self.unparsed = b""
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER, self.transport.close)

    def close_now(self, reason: str) -> None:
        """Closes at once what has no request under way."""
        self.input_ended = self.closing = True
        self.set_close_reason(reason)
        if self.transport is not None:
            self.transport.close()

    def eof_received(self) -> bool:
        """The client has gone: whether it only half-closed can't be told, and the protocol knows no such."""
        self.on_client_disconnected()
        return False

    def on_client_disconnected(self) -> None:
        """Nothing more is begun for it: its requests end, wherever they wait."""
        self.input_ended = True
        self.set_close_reason("the client has gone")
        exchanges, self.exchanges = self.exchanges, deque()
        for exchange in exchanges:
            if exchange.number and exchange.response is None and not exchange.done:
                self.server.driver.client_left(exchange.number)

    def abort_disconnected(self) -> None:
        """Its end has come behind bytes that are not read for now."""
        if self.exchanges and self.transport is not None:
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

    def close_after_if_stopping(self, exchange: Exchange) -> bool:
        """While the gateway stops: True for the last that was taken here, which is to say so in its answer.

        Said any earlier, it would leave those that were sent behind it without theirs.
        """
        if not self.server.stopping or self.server.send_to_successor is not None:
            return False
        if self.unparsed or not self.exchanges or self.exchanges[-1] is not exchange:
            return False
        self.input_ended = True
        return True

    def is_write_buffer_empty(self) -> bool:
        """True once the kernel has all that was written here."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def is_idle(self) -> bool:
        """True if closing it loses nothing: no request was taken here, nor is one on its way."""
        if self.exchanges or self.closing or self.unparsed:
            return False
        now = self.server.clock()
        if self.in_request:
            return now - self.last_read_at > STALLED_AFTER
        return now - self.idle_since > EVICTABLE_AFTER

    def descriptor(self) -> int:
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def has_unread_data(self) -> bool:
        """True where something waits in the kernel, perhaps a request that closing would cross."""
        return self.transport is not None and is_readable(self.transport.get_extra_info("socket"))

    def is_disconnected(self) -> bool:
        """True where the client has closed or reset its connection, also behind bytes that wait unread."""
        return self.transport is None or self.transport.is_closing() or bool(
            closed_by_peer((self.descriptor(),)))

    def can_be_evicted(self) -> bool:
        """True also for one that had its last answer and lingers only for its peer to read that."""
        if self.closing:
            return self.transport is not None and self.server.clock() - self.idle_since > EVICTABLE_AFTER
        return self.is_idle()


class ClientServer:
    """The listening socket and its connections.

    Connections are accepted here and not by the loop's own server: where no descriptor is left that one
    would close them, and a request that was written to one of them would be lost.
    """

    def __init__(self, driver: Driver, settings: Settings, clock: Callable[[], float], most: int,
                 is_ready: Callable[[], bool], share: int = STREAMING_THRESHOLD) -> None:
        self.buffer_limit = share  # bytes that may wait for a peer, each way of each connection
        self.read_buffer = memoryview(bytearray(READ_SIZE))  # what is read is copied out before anything else is
        self.driver, self.clock, self.max_connections = driver, clock, most
        self.request_reader = RequestReader(settings)
        self.is_serving = is_ready
        self.connections: set[ClientConnection] = set()
        self.setting_up: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.accept_retry: asyncio.Handle | None = None
        self.stopping = False
        self.lame_duck = False  # a lame duck: serves all that comes, and says that it is not ready
        self.send_to_successor: Callable[[ClientConnection], bool] | None = None  # gives a connection to it
        self.held_by_predecessor = 0  # connections of the process before, which count under the same bound
        self.check_timer = self.loop.call_later(CHECK_INTERVAL, self.check_connections)
        self.loop_stalls = LoopStalls(clock())
        self.read_paused: set[ClientConnection] = set()  # not read for now: their ends are looked for
        self.disconnect_check_timer: asyncio.TimerHandle | None = None

    def watch_for_disconnect(self, connection: ClientConnection) -> None:
        self.read_paused.add(connection)
        if self.disconnect_check_timer is None:
            self.disconnect_check_timer = self.loop.call_later(DISCONNECT_CHECK_INTERVAL, self.check_disconnects)

    def check_disconnects(self) -> None:
        """The loop tells nothing of a connection that is not read: the kernel is asked, for these alone."""
        self.disconnect_check_timer = None
        self.read_paused = {c for c in self.read_paused if c.read_paused and c.transport is not None}
        by_descriptor = {c.descriptor(): c for c in self.read_paused if c.exchanges}
        for descriptor in closed_by_peer(by_descriptor):
            by_descriptor[descriptor].abort_disconnected()
        if self.read_paused:
            self.disconnect_check_timer = self.loop.call_later(DISCONNECT_CHECK_INTERVAL, self.check_disconnects)

    def check_connections(self) -> None:
        self.check_timer = self.loop.call_later(CHECK_INTERVAL, self.check_connections)
        now = self.clock()
        self.driver.loop_lag.note(self.loop_stalls.record_check(now))
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def is_ready(self) -> bool:
        return not (self.stopping or self.lame_duck) and self.is_serving()

    def listen_on(self, listener: socket.socket) -> None:
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def pause_accepting(self) -> None:
        """What waits and what comes is for the successor, which has the same socket."""
        if self.accept_retry is not None:
            self.accept_retry.cancel()
            self.accept_retry = None
        if self.listener is not None:
            self.loop.remove_reader(self.listener)

    def resume_accepting(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)

    def hand_over_idle(self) -> None:
        for connection in list(self.connections):
            connection.try_hand_over()

    def cancel_hand_over(self) -> None:
        for connection in self.connections:
            connection.cancel_hand_over()

    def adopt_connection(self, descriptor: int, before: ConnectionHistory) -> None:
        """A client's connection that the process before has given away between two requests."""
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self.start_connection(sock, before)

    def start_connection(self, sock: socket.socket, before: ConnectionHistory = NO_HISTORY) -> None:
        with suppress(OSError):  # the kernel's own size does as well
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        task = self.loop.create_task(self.set_up_connection(sock, before))
        self.setting_up.add(task)
        task.add_done_callback(self.setting_up.discard)

    def accept(self) -> None:
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
                    self.driver.figures.others["accept failed"] += 1
                    return self.delay_accepting()
                continue  # that client has gone again
            failures = 0
            sock.setblocking(False)
            self.start_connection(sock)

    async def set_up_connection(self, sock: socket.socket, before: ConnectionHistory) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self, sock, before), sock)
        except OSError as error:  # a request may be on it: it is answered, and not only closed
            log.warning("a connection could not be set up: %s", error)
            self.driver.figures.others["connection not set up"] += 1
            await self.reject_socket(sock)

    async def reject_socket(self, sock: socket.socket) -> None:
        """Answers on a socket without a transport, and gives its peer time to read that."""
        with suppress(OSError):
            sock.send(UNAVAILABLE_RESPONSE)
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(LINGER)
        with suppress(OSError):
            sock.close()

    def has_capacity(self) -> bool:
        return len(self.connections) + len(self.setting_up) + self.held_by_predecessor < self.max_connections

    def has_waiting_connection(self) -> bool:
        """True if a connection waits to be accepted: only for that does another have to go."""
        return is_readable(cast(socket.socket, self.listener))

    def evict_idle(self) -> None:
        """Closes some that have no request under way: their clients can open another.

        First those that wait only to be closed and peers that never asked for anything of a backend, many at
        a time, as they may come in floods; only then the longest idle client.
        """
        idle = [c for c in self.connections if c.can_be_evicted()]
        peers = [c for c in idle if c.closing or not c.has_backend_request]
        most = MAX_EVICTED if peers else 1
        for connection in heapq.nsmallest(most, peers or idle, lambda c: (not c.closing, c.idle_since)):
            if connection.closing or not connection.has_unread_data():  # a close would cross a request
                connection.close_now("it made way for another")

    def delay_accepting(self) -> None:
        """Leaves connections in the kernel's queue, where nothing is lost, until there is room again."""
        if self.listener is not None and self.accept_retry is None:
            self.loop.remove_reader(self.listener)
            self.accept_retry = self.loop.call_later(ACCEPT_RETRY_INTERVAL, self.retry_accepting)

    def retry_accepting(self) -> None:
        self.accept_retry = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)
            self.accept()

    def on_connection_closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        if self.send_to_successor is not None:
            return
        if self.accept_retry is not None:  # there is room now
            self.accept_retry.cancel()
            self.accept_retry = self.loop.call_soon(self.retry_accepting)

    async def stop_listening(self) -> None:
        """Takes in all that already waits, then listens no more."""
        end = self.clock() + BACKLOG_DRAIN_TIMEOUT
        while self.listener is not None and self.send_to_successor is None and self.has_waiting_connection():
            if self.clock() >= end:
                break
            self.accept()
            await asyncio.sleep(0.0 if self.has_capacity() else ACCEPT_RETRY_INTERVAL)
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    async def wait_handed_over(self, at_most: float) -> None:
        """Waits until every connection is the successor's, or at its end."""
        end = self.clock() + at_most
        while self.connections and self.clock() < end:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        self.check_timer.cancel()
        if self.disconnect_check_timer is not None:
            self.disconnect_check_timer.cancel()

    async def wait_flushed(self, at_most: float) -> None:
        """Waits until the kernel has every answer, but not for ever on a client that reads nothing."""
        end = self.clock() + at_most
        while any(not c.is_write_buffer_empty() for c in self.connections) and self.clock() < end:
            await asyncio.sleep(0.01)

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close_gracefully()

    def close_idle_without_unread(self) -> bool:
        """Closes what is idle, but for those on which something has come; True once all are closed."""
        for connection in list(self.connections):
            if connection.is_idle() and not connection.has_unread_data():
                connection.close_gracefully()
        return all(c.closing for c in self.connections)
