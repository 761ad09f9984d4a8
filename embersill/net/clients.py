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
from embersill.net.bodies import MOST_BODY, READ, WHOLE, Upload, ended_unread, is_readable
from embersill.net.driver import ClientRequest, Driver
from embersill.net.framing import (
    HEAD_END, BadFraming, Framing, FramingFields, HeadNormalizer, UnknownCoding, blank_line_end,
)
from embersill.net.hold_ups import LOOK_EVERY, HoldUps
from embersill.net.tcp_info import seconds_since_data

MOST_HEAD = 32 * 1024  # bytes of request line and headers: a generous browser sends a quarter of it
MOST_PIPELINED = 16  # requests under way on one connection: further ones stay unread
PIECE = 8192  # bytes given to the parser at a time: so many small requests at most go past that bound
SETTLED = 0.1  # seconds unused from which a connection may make way: its next request may be here unread
STALLED = 0.5  # seconds without a byte from which a half-sent request may lose its place to another client
READ_WITHIN = 2.5  # seconds for a head, the first from the connect on: clients take 2, the terms give peers 3
SLOWEST = 16 * 1024  # bytes a second that a body must bring on top of that: clients send four times as fast
LOOK_FOR_ENDS_EVERY = 0.04  # seconds between looks for ends of connections that are not read: an attempt that
# begins 0.1 s after its client went breaks the rule
STUCK = 10.0  # seconds for which a client may read nothing of its answers: longer than any of its budgets
SEND_BUFFER = 128 * 1024  # bytes the kernel may hold for a client: more would hide how slowly it reads
LINGER = 1.0  # seconds for a peer to read an error answer before its connection goes
BACKLOG = 1024
ACCEPT_AGAIN = 0.02  # seconds until the next try where a connection could not be accepted
ACCEPT_FAILURES = 8  # in a row, from which it waits: fewer may be as many clients that have gone
# what accept fails with where one connection has ended before it was accepted (accept(2))
ENDED_UNACCEPTED = frozenset((
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH,
    errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET, errno.EPERM))
ACCEPT_ALL = 0.2  # seconds for all that waits to be accepted where no more will be: a full backlog, with room
MAKE_WAY = 16  # peers that make way at one go: a flood comes faster than one at a time
MOVE_AGAIN = 0.005  # seconds until the next try to hand a connection over: its last answer is still going out
ACCEPTS = 64  # connections taken in at one go, so that those at hand get their turn

CALL_ID = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
CLIENT = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER = re.compile(rb"0{7}[01][0-9A-Fa-f]{8}")  # a number below 2^33
BUDGET = re.compile(rb"\d{1,6}(\.\d{1,30})?")  # a float in full has up to 17 decimals
KEY = re.compile(rb"[!-~]{1,256}")
QUOTA_PARTS = (b"units", b"spread", b"first")
QUOTA = re.compile(rb"\s*([a-z_]+)\s*=\s*(\d{1,9}(?:\.\d{1,9})?)\s*")
SINGLE = frozenset((b"x-call-id", b"x-call-class", b"plan", b"x-budget", b"idempotency-key", b"quota-info",
                    b"x-again", b"content-length", b"host", b"transfer-encoding", b"expect"))
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 417: b"Expectation Failed", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 501: b"Not Implemented", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
}

UNAVAILABLE = (b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nConnection: close\r\n"
               b"Content-Length: 0\r\n\r\n")

log = logging.getLogger("embersill")


class BadRequest(Exception):
    """What a client sent is not in the protocol's form."""

    def __init__(self, status: int, text: str, headers: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.headers = status, headers


@lru_cache(maxsize=4096)
def read_quota(text: bytes) -> tuple[float, int, int]:
    """Units, spread and first of a Quota-Info; kept, since few different ones come again and again."""
    found: dict[bytes, float] = {}
    for part in text.split(b","):
        if part.partition(b"=")[0].strip() not in QUOTA_PARTS:
            continue  # what else it tells is for others
        match = QUOTA.fullmatch(part)
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


def header_forms(name: str) -> list[bytes]:
    """The bytes by which a header may tell a name of the settings: UTF-8, or Latin-1 where it can."""
    latin = name.encode("latin-1", "replace")
    return [name.encode(), latin] if latin.decode("latin-1") == name else [name.encode()]


class CallReader:
    """Turns requests into calls by the settings' classes and plans, and words what is wrong with the rest."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {form: c for c in settings.classes for form in header_forms(c.name)}
        self.plans = {form: p.name for p in settings.plans for form in header_forms(p.name)}
        self.gateways, self.most_units = settings.gateways, settings.max_units

    def read(self, received: float, method: bytes, target: bytes, headers: dict[bytes, bytes],
             body: bytes, upload: Upload | None = None) -> ClientRequest:
        customer = self.customer(target)
        klass = self.classes.get(self.needed(headers, b"x-call-class"))
        if klass is None:
            raise BadRequest(400, "X-Call-Class names no class")
        wanted = b"GET" if klass.repeat_policy is RepeatPolicy.SAFE else b"POST"
        if method != wanted:
            raise BadRequest(405, "the class goes by another method", b"Allow: %b\r\n" % wanted)
        plan = self.plans.get(self.needed(headers, b"plan"))
        if plan is None:
            raise BadRequest(400, "Plan names no plan")
        if (body or upload is not None) and method == b"GET":
            raise BadRequest(400, "a GET with a body")
        units, width, first = read_quota(self.needed(headers, b"quota-info"))
        if width > self.gateways or first >= self.gateways or units > self.most_units:
            raise BadRequest(400, "Quota-Info has more units or gateways than there are")
        return ClientRequest(
            received_at=received, budget=float(self.matched(headers, b"x-budget", BUDGET)), request_class=klass.name,
            plan=plan, customer=customer, units=units, gateway_count=width,
            first_gateway=first, repeat=headers.get(b"x-again") == b"1",
            head=self.head(method, target, headers, klass.repeat_policy,
                           upload.header if upload is not None else b"Content-Length: %d" % len(body)),
            body=body, upload=upload, call_id=headers[b"x-call-id"].decode("ascii"),
        )

    def head(self, method: bytes, target: bytes, headers: dict[bytes, bytes], repeats: RepeatPolicy,
             framing: bytes) -> bytes:
        """What goes on to a backend, unchanged; the budget is the gateway's own and comes last."""
        lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: %b" % headers.get(b"host", b"backend.local"),
                 b"X-Call-Id: %b" % self.matched(headers, b"x-call-id", CALL_ID)]
        if repeats is RepeatPolicy.BY_KEY:
            lines.append(b"Idempotency-Key: %b" % self.matched(headers, b"idempotency-key", KEY))
        elif b"idempotency-key" in headers:
            raise BadRequest(400, "Idempotency-Key on a class that carries none")
        if method != b"GET":
            lines.append(framing)
            if b"content-type" in headers:
                lines.append(b"Content-Type: %b" % headers[b"content-type"])
        return b"\r\n".join((*lines, b""))

    def customer(self, target: bytes) -> str:
        found: list[bytes] = CLIENT.findall(target)
        customer = unquote_to_bytes(found[0]) if len(found) == 1 else b""
        if not CUSTOMER.fullmatch(customer):
            raise BadRequest(400, "client is not 16 hex digits below 2^33")
        return customer.decode().lower()

    def needed(self, headers: dict[bytes, bytes], name: bytes) -> bytes:
        value = headers.get(name)
        if not value:
            raise BadRequest(400, f"no {name.decode().title()}")
        return value

    def matched(self, headers: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> bytes:
        value = self.needed(headers, name)
        if not form.fullmatch(value):
            raise BadRequest(400, f"{name.decode().title()} is not in its form")
        return value


class Exchange:
    """One request on a connection and its answer, which goes out when those before it have gone.

    An answer that is passed on as it comes is begun, written and finished, or broken off.
    """

    __slots__ = (
        "begun", "broken", "chunked", "connection", "done", "keep", "number", "pieces", "room", "text",
    )

    def __init__(self, connection: ClientConnection, keep: bool) -> None:
        self.connection, self.keep = connection, keep
        self.number = 0  # the driver's name for it, if it was taken
        self.text: bytes | None = None
        self.pieces: list[bytes] = []  # of the answer, that wait for those before it
        self.begun = self.done = self.broken = self.chunked = False
        self.room: Callable[[], None] | None = None

    def begin(self, headers: bytes, length: int | None) -> Exchange:
        connection = self.connection
        self.begun, self.chunked = True, length is None and connection.speaks_1_1
        framing = b"Content-Length: %d\r\n" % length if length is not None else b""
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        self.keep = self.keep and not connection.ends_with(self) and bool(framing)
        close = b"" if self.keep else b"Connection: close\r\n"
        self.pieces.append(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, close, framing))
        return self

    def write(self, data: bytes) -> bool:
        """Passes it on, or keeps it while an earlier answer is due; False where more would have to wait."""
        if data:
            self.pieces.append(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        self.connection.flush()
        exchanges = self.connection.exchanges
        return bool(exchanges) and exchanges[0] is self and not self.connection.stuck

    def client_has_gone(self) -> bool:
        """Asks the kernel: the loop tells of an end only after what it had to tell before."""
        ended = self.connection.has_ended()
        if ended:
            self.connection.left_unread()
        return ended

    def finish(self) -> None:
        if self.chunked:
            self.pieces.append(b"0\r\n\r\n")
        self.done = True
        self.connection.flush()

    def break_off(self) -> None:
        self.broken = True
        self.connection.flush()

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        if self.text is not None:
            return
        self.keep = self.keep and not (self.connection.ends_with(self) or self.connection.is_uploading(self))
        self.text = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status, REASONS[status], headers, b"" if self.keep else b"Connection: close\r\n", len(body), body)
        self.connection.flush()


@dataclass(frozen=True, slots=True)
class ConnectionHistory:
    """What came on a connection at the process that gave it away, or nothing yet."""

    asked: bool = False  # a whole request
    served: bool = False  # one for a backend
    awaited_for: float = 0.0  # seconds that the first request has been awaited: its client gets no more time


UNUSED = ConnectionHistory()


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection: requests in, answers out in the same order."""

    def __init__(self, front: Front, sock: socket.socket, before: ConnectionHistory) -> None:
        self.front, self.socket = front, sock
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.idle_since = front.clock()
        self.awaited = self.idle_since - before.awaited_for  # since when a whole request is
        self.asked = before.asked  # a whole request came
        self.served = before.served  # and one of them was for a backend
        self.moving = False  # it goes to the successor as soon as its last answer is out
        self.received = self.stuck_since = self.paused_since = 0.0
        self.arrived = 0.0  # when what was read last may have come, at the earliest
        self.speaks_1_1: bool = True
        self.unread = b""
        self.stuck: bool = False
        self.paused = self.ended = self.closing = self.parsing = False
        self.in_request, self.in_head, self.head_size = False, False, 0
        self.head: HeadNormalizer | None = HeadNormalizer()  # between requests and while a head comes
        self.body_left: int | None = None  # bytes of the body that are still to come, where they are known
        self.body_tail = b""  # its last bytes so far, which may begin a blank line
        self.close_reason = ""  # for logs
        self.start_request()

    def start_request(self) -> None:
        self.target, self.body_size, self.trailers = b"", 0, 0
        self.upload: Upload | None = None  # the body, where it is passed on as it comes
        self.uploader: Exchange | None = None
        self.headers: dict[bytes, bytes] = {}
        self.fields, self.framing = FramingFields(), Framing()
        self.body: list[bytes] = []
        self.bad: BadRequest | None = None
        self.in_doubt = False  # where the request ends, and so what follows it

    def close_for(self, reason: str) -> None:
        """Notes why the connection ends; the first reason stands."""
        self.close_reason = self.close_reason or reason

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.transport.set_write_buffer_limits(high=self.front.share)
        self.front.connections.add(self)
        if self.front.successor is not None:
            self.front.loop.call_soon(self.move)

    # what the parser tells

    def on_message_begin(self) -> None:
        self.start_request()
        if self.asked:
            self.awaited = self.received
        self.in_request = self.in_head = True
        self.head_size = 0  # pieces end in the midst of many heads: each has the whole bound

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if not self.in_head:
            self.trailers += len(name) + len(value)  # behind a body in chunks: they ask for nothing
            return
        if name in SINGLE and name in self.headers:
            self.bad = BadRequest(400, f"{name.decode()} stands twice")
        self.headers[name] = value.strip()
        self.fields.add(name, value)

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.speaks_1_1 = self.parser.get_http_version() == "1.1"
        try:
            self.framing = self.fields.read()
        except BadFraming as error:
            self.in_doubt = True
            self.bad = BadRequest(501 if isinstance(error, UnknownCoding) else 400, str(error))
        size = self.framing.length or 0
        if self.framing.chunked and not self.speaks_1_1:
            self.bad = BadRequest(501, "no transfer coding before HTTP/1.1")
        elif size > MOST_BODY:
            self.bad = BadRequest(413, "the body is over 32 MB")
        elif self.headers.get(b"expect", b"100-continue").lower() != b"100-continue":
            self.bad = BadRequest(417, "no expectation but 100-continue")
        elif size > WHOLE and self.bad is None:
            self.pass_on(size)
        waits = not self.exchanges or self.exchanges[0] is self.uploader is not None
        if b"expect" in self.headers and self.bad is None and waits and not self.ended:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def pass_on(self, length: int | None) -> None:
        """Takes the request though its body is still coming, which then goes on as it comes."""
        upload = Upload(length, self.front.share, self.read_on_later)
        try:
            if self.target.partition(b"?")[0] != b"/api":
                raise BadRequest(404, "no such path")
            method, front = self.parser.get_method(), self.front
            call = front.reader.read(self.arrived, method, self.target, self.headers, b"", upload)
        except BadRequest as error:
            self.bad = error
            return
        for piece in self.body:
            upload.feed(piece)
        self.body, self.asked, self.served = [], True, True
        self.upload = upload
        self.uploader = Exchange(self, self.parser.should_keep_alive() and self.speaks_1_1)
        self.exchanges.append(self.uploader)
        self.uploader.number = front.driver.accept_request(call, self.uploader)

    def is_uploading(self, exchange: Exchange) -> bool:
        return exchange is self.uploader and self.upload is not None and not self.upload.whole

    def read_on_later(self) -> None:
        """The backend has taken some of the body: not from inside the parser, which may have brought it."""
        if self.paused or self.unread:
            self.front.loop.call_soon(self.read_on)

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.ended:
            return
        if self.body_size > MOST_BODY:
            self.bad = BadRequest(413, "the body is over 32 MB")
        elif self.upload is not None:
            self.upload.feed(body)
        elif self.bad is None:
            self.body.append(body)
            if self.body_size > WHOLE:
                self.pass_on(None)

    def on_message_complete(self) -> None:
        self.in_request = False
        if self.ended:
            return
        self.asked = True
        if self.upload is not None and self.uploader is not None and self.bad is None:
            upload, uploader = self.upload, self.uploader
            self.upload = self.uploader = None
            self.ended = not uploader.keep
            upload.end()
            self.front.driver.on_upload_completed(uploader.number)
            return
        keep = self.parser.should_keep_alive() and self.speaks_1_1 and not self.in_doubt
        exchange = Exchange(self, keep)
        self.exchanges.append(exchange)
        self.ended = not keep  # nothing after it is read
        try:
            if self.bad is not None:
                raise self.bad
            self.route(exchange)
        except BadRequest as error:
            self.refuse(exchange, error)

    def refuse(self, exchange: Exchange, error: BadRequest) -> None:
        body = b"" if self.parser.get_method() == b"HEAD" else f"{error}\n".encode()
        exchange.answer(error.status, body, error.headers)

    def route(self, exchange: Exchange) -> None:
        method, path = self.parser.get_method(), self.target.partition(b"?")[0]
        if path == b"/api":
            if method not in (b"GET", b"POST"):
                raise BadRequest(405, "only GET and POST", b"Allow: GET, POST\r\n")
            front = self.front
            call = front.reader.read(self.arrived, method, self.target, self.headers, b"".join(self.body))
            self.served = True
            exchange.number = front.driver.accept_request(call, exchange)
        elif path == b"/ready":
            if method != b"GET":
                raise BadRequest(405, "only GET", b"Allow: GET\r\n")
            exchange.answer(200 if self.front.is_ready() else 503, b"")
        else:
            raise BadRequest(404, "no such path")

    # what the transport tells

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.front.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.front.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return  # the last answer is on its way; what still comes is read only so that it gets there
        self.received = self.front.clock()
        self.arrived = self.arrival_time()
        self.unread = self.unread + data if self.unread else data
        self.read_on()

    def arrival_time(self) -> float:
        """When what is read now came, from which its client's time runs.

        It may have waited unread in the kernel: behind a hold-up of the loop, behind earlier requests, or for
        its connection to be accepted. The kernel tells the time of the last bytes alone, and those before
        them may be older, as far as the loop was held up.
        """
        last_bytes = self.received - seconds_since_data(self.socket)
        return min(last_bytes, self.front.hold_ups.earliest_arrival(self.received))

    def read_on(self) -> None:
        """Parses what has come, as far as the bound on requests under way allows."""
        while self.unread and not (self.ended or self.is_full()):
            piece = self.unread
            if len(piece) > PIECE and self.upload is None:
                piece = piece[:PIECE]
            self.unread = self.unread[len(piece):]
            self.parse(piece)
        self.pace()
        self.move()

    def parse(self, piece: bytes) -> None:
        self.parsing = True  # an answer given at once must not start the parser again from inside itself
        try:
            self.feed(piece)
        except httptools.HttpParserError:
            self.break_off(400, "not HTTP")
        except httptools.HttpParserUpgrade:
            self.ended = True  # the answer to the request itself has been or will be given
        self.parsing = False
        self.head_size += len(piece) if self.in_head else 0
        long = self.upload is not None or self.body_size > WHOLE
        long = long or (self.framing.length or 0) > WHOLE
        if self.bad is not None and self.in_request and not self.in_head and (long or self.in_doubt):
            self.break_off(self.bad.status, str(self.bad))  # there is no use in reading all of it first
        elif self.trailers > MOST_HEAD:
            self.break_off(431, "the trailers are over 32 KiB")
        elif self.head_size > MOST_HEAD:
            self.break_off(431, "the head is over 32 KiB")

    def feed(self, piece: bytes) -> None:
        """Feeds the parser, each head by itself and in the spelling that it reads.

        Where a body in chunks ends is known to the parser alone, but no such body ends elsewhere than behind
        a blank line: so a piece of one that may hold its end is cut there.
        """
        while piece:
            if self.head is not None:
                text, piece = self.head.feed(piece)
                self.parser.feed_data(text)
                if self.head.whole:
                    self.head = None if self.in_request else HeadNormalizer()
                    self.body_left, self.body_tail = self.framing.length, b""
            else:
                most = self.body_left or blank_line_end(self.body_tail, piece)
                text, piece = piece[:most], piece[most:]
                self.parser.feed_data(text)
                self.body_tail = (self.body_tail + text)[1 - len(HEAD_END):]
                self.body_left = None if self.body_left is None else self.body_left - len(text)
                if not self.in_request:
                    self.head = HeadNormalizer()

    def break_off(self, status: int, text: str) -> None:
        """Answers a request that can't be read to its end; what follows it can't be read either."""
        if self.ended:
            return
        self.ended = True
        self.close_for(f"answered {status}: {text}")
        exchange, self.uploader = self.uploader, None
        if exchange is None:
            exchange = Exchange(self, False)
            self.exchanges.append(exchange)
        elif exchange.number and exchange.text is None:
            self.front.driver.on_client_disconnected(exchange.number)  # it never came whole
        exchange.keep = False
        exchange.answer(status, f"{text}\n".encode())

    def hurry(self, now: float) -> None:
        """Ends the wait for requests that do not come whole, or at all, and for clients that never read."""
        if self.stuck and now - self.stuck_since > STUCK and self.transport is not None:
            self.close_for("the client reads nothing")
            return self.transport.abort()
        if self.closing or self.ended or self.unread or self.paused:
            return None
        if self.exchanges and self.upload is None:
            return None
        if now - self.awaited <= READ_WITHIN + self.body_size / SLOWEST:
            return None
        if self.in_request:
            self.break_off(408, "the request did not come whole")
        elif not (self.asked or self.has_unread()):
            self.leave("no request came")
        return None

    def history(self) -> ConnectionHistory:
        """What a successor has to know of it."""
        awaited_for = 0.0 if self.asked else self.front.clock() - self.awaited
        return ConnectionHistory(self.asked, self.served, awaited_for)

    def is_full(self) -> bool:
        if self.upload is not None and self.upload.full:
            return True
        return self.stuck or len(self.exchanges) >= MOST_PIPELINED

    def pace(self) -> None:
        """Stops reading while enough is under way: a client that only sends can't fill the memory."""
        full = self.is_full() or bool(self.unread) or self.moving
        if self.transport is None or full == self.paused or self.ended:
            return
        self.paused, now = full, self.front.clock()
        if full:
            self.paused_since = now
            self.transport.pause_reading()
            self.front.watch_paused(self)
        else:
            self.awaited += now - self.paused_since  # it could not send what was not read
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.stuck_since = self.front.clock()
        self.stuck = True  # the client does not read its answers: it gets no further ones
        self.pace()

    def resume_writing(self) -> None:
        self.stuck = False
        self.flush()
        self.read_on()

    def flush(self) -> None:
        """Writes the answers that are due, up to the first request that has none yet."""
        if self.transport is None:
            return
        while self.exchanges:
            exchange = self.exchanges[0]
            if exchange.begun:
                self.pass_pieces(exchange)
                if self.transport is None or not exchange.done:
                    break
            elif exchange.text is None:
                break
            self.exchanges.popleft()
            self.transport.write(exchange.text or b"")
            if not exchange.keep:
                return self.end()
        if self.transport is None:
            return None
        self.idle_since = self.front.clock()
        if self.ended and not self.exchanges:
            return self.end()
        if self.unread and not self.parsing:
            return self.read_on()
        self.pace()
        return self.move()

    def pass_pieces(self, exchange: Exchange) -> None:
        """Writes what has come of an answer; one that broke off is told from a whole one by a reset."""
        assert self.transport is not None
        if exchange.pieces:
            pieces, exchange.pieces = exchange.pieces, []
            self.transport.write(b"".join(pieces))
        if exchange.broken:
            self.close_for("the answer broke off")
            self.exchanges.clear()
            self.ended = self.closing = True
            self.reset()
        elif exchange.room is not None and not (exchange.done or self.stuck):
            exchange.room()

    def reset(self) -> None:
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def move(self) -> None:
        """Goes to the successor between two requests; what comes meanwhile stays in the kernel for it."""
        if self.front.successor is None or self.transport is None or self.transport.is_closing():
            return
        if self.exchanges or self.ended or self.unread or self.in_request or self.parsing:
            return
        self.moving = True
        self.pace()
        if self.drained() and self.front.successor(self):
            self.ended = self.closing = True
            self.close_for("given to the successor")
            self.transport.abort()  # the successor's descriptor keeps the connection up
        else:
            self.front.loop.call_later(MOVE_AGAIN, self.move)

    def stay(self) -> None:
        if self.moving:
            self.moving = False
            self.pace()

    def end(self) -> None:
        """Closes after the last answer; the peer may have more on its way, which must not cut it off."""
        self.ended = self.closing = True
        self.close_for("after its last answer")
        self.idle_since = self.front.clock()
        if self.transport is not None and not self.transport.is_closing():
            if self.paused:
                self.transport.resume_reading()
                self.paused = False
            self.unread = b""
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER, self.transport.close)

    def leave(self, reason: str) -> None:
        """Closes at once what has no request under way."""
        self.ended = self.closing = True
        self.close_for(reason)
        if self.transport is not None:
            self.transport.close()

    def eof_received(self) -> bool:
        """The client has gone: whether it only half-closed can't be told, and the protocol knows no such."""
        self.client_left()
        return False

    def client_left(self) -> None:
        """Nothing more is begun for it: its requests end, wherever they wait."""
        self.ended = True
        self.close_for("the client has gone")
        exchanges, self.exchanges = self.exchanges, deque()
        for exchange in exchanges:
            if exchange.number and exchange.text is None and not exchange.done:
                self.front.driver.on_client_disconnected(exchange.number)

    def left_unread(self) -> None:
        """Its end has come behind bytes that are not read for now."""
        if self.exchanges and self.transport is not None:
            self.client_left()
            if not self.transport.is_closing():
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        trace = self.front.driver.trace
        if trace is not None:
            waiting = sum(e.text is None and not e.done for e in self.exchanges)
            trace.note("client_connection_closed", reason=self.close_reason or "the client has gone",
                       error=exc, unanswered=waiting)
        self.front.closed(self)
        self.transport = None
        self.client_left()

    def ends_with(self, exchange: Exchange) -> bool:
        """While the gateway stops: True for the last that was taken here, which is to say so in its answer.

        Said any earlier, it would leave those that were sent behind it without theirs.
        """
        if not self.front.stopping or self.front.successor is not None:
            return False
        if self.unread or not self.exchanges or self.exchanges[-1] is not exchange:
            return False
        self.ended = True
        return True

    def drained(self) -> bool:
        """True once the kernel has all that was written here."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def is_idle(self) -> bool:
        """True if closing it loses nothing: no request was taken here, nor is one on its way."""
        if self.exchanges or self.closing or self.unread:
            return False
        now = self.front.clock()
        if self.in_request:
            return now - self.received > STALLED
        return now - self.idle_since > SETTLED

    def descriptor(self) -> int:
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def has_unread(self) -> bool:
        """True where something waits in the kernel, perhaps a request that closing would cross."""
        return self.transport is not None and is_readable(self.transport.get_extra_info("socket"))

    def has_ended(self) -> bool:
        """True where the client has closed or reset its connection, also behind bytes that wait unread."""
        return self.transport is None or self.transport.is_closing() or bool(
            ended_unread((self.descriptor(),)))

    def can_leave(self) -> bool:
        """True also for one that had its last answer and lingers only for its peer to read that."""
        if self.closing:
            return self.transport is not None and self.front.clock() - self.idle_since > SETTLED
        return self.is_idle()


class Front:
    """The listening socket and its connections.

    Connections are accepted here and not by the loop's own server: where no descriptor is left that one
    would close them, and a request that was written to one of them would be lost.
    """

    def __init__(self, driver: Driver, settings: Settings, clock: Callable[[], float], most: int,
                 is_ready: Callable[[], bool], share: int = WHOLE) -> None:
        self.share = share  # bytes that may wait for a peer, each way of each connection
        self.buffer = memoryview(bytearray(READ))  # what is read is copied out before anything else is
        self.driver, self.clock, self.most = driver, clock, most
        self.reader = CallReader(settings)
        self.serves = is_ready
        self.connections: set[ClientConnection] = set()
        self.taking_in: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.again: asyncio.Handle | None = None
        self.stopping = False
        self.leaving = False  # a lame duck: serves all that comes, and says that it is not ready
        self.successor: Callable[[ClientConnection], bool] | None = None  # gives a connection to it
        self.elsewhere = 0  # connections of the process before, which count under the same bound
        self.looker = self.loop.call_later(LOOK_EVERY, self.look)
        self.hold_ups = HoldUps(clock())
        self.paused: set[ClientConnection] = set()  # not read for now: their ends are looked for
        self.end_looker: asyncio.TimerHandle | None = None

    def watch_paused(self, connection: ClientConnection) -> None:
        self.paused.add(connection)
        if self.end_looker is None:
            self.end_looker = self.loop.call_later(LOOK_FOR_ENDS_EVERY, self.look_for_ends)

    def look_for_ends(self) -> None:
        """The loop tells nothing of a connection that is not read: the kernel is asked, for these alone."""
        self.end_looker = None
        self.paused = {c for c in self.paused if c.paused and c.transport is not None}
        by_descriptor = {c.descriptor(): c for c in self.paused if c.exchanges}
        for descriptor in ended_unread(by_descriptor):
            by_descriptor[descriptor].left_unread()
        if self.paused:
            self.end_looker = self.loop.call_later(LOOK_FOR_ENDS_EVERY, self.look_for_ends)

    def look(self) -> None:
        self.looker = self.loop.call_later(LOOK_EVERY, self.look)
        now = self.clock()
        self.driver.loop_lag.record(self.hold_ups.note_look(now))
        for connection in list(self.connections):
            connection.hurry(now)

    def is_ready(self) -> bool:
        return not (self.stopping or self.leaving) and self.serves()

    def listen_on(self, listener: socket.socket) -> None:
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def pause_accepting(self) -> None:
        """What waits and what comes is for the successor, which has the same socket."""
        if self.again is not None:
            self.again.cancel()
            self.again = None
        if self.listener is not None:
            self.loop.remove_reader(self.listener)

    def resume_accepting(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)

    def move_idle(self) -> None:
        for connection in list(self.connections):
            connection.move()

    def stay(self) -> None:
        for connection in self.connections:
            connection.stay()

    def adopt(self, descriptor: int, before: ConnectionHistory) -> None:
        """A client's connection that the process before has given away between two requests."""
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self.take(sock, before)

    def take(self, sock: socket.socket, before: ConnectionHistory = UNUSED) -> None:
        with suppress(OSError):  # the kernel's own size does as well
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        task = self.loop.create_task(self.take_in(sock, before))
        self.taking_in.add(task)
        task.add_done_callback(self.taking_in.discard)

    def accept(self) -> None:
        self.again = None
        failures = 0
        for _ in range(ACCEPTS):
            if self.listener is None:
                return
            if not self.has_room():
                if self.is_awaited():
                    self.make_room()
                    self.pause()
                return
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                failures += 1
                if error.errno not in ENDED_UNACCEPTED or failures >= ACCEPT_FAILURES:
                    self.driver.figures.other_counts["accept failed"] += 1
                    return self.pause()
                continue  # that client has gone again
            failures = 0
            sock.setblocking(False)
            self.take(sock)

    async def take_in(self, sock: socket.socket, before: ConnectionHistory) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self, sock, before), sock)
        except OSError as error:  # a request may be on it: it is answered, and not only closed
            log.warning("a connection could not be set up: %s", error)
            self.driver.figures.other_counts["connection not set up"] += 1
            await self.turn_away(sock)

    async def turn_away(self, sock: socket.socket) -> None:
        """Answers on a socket without a transport, and gives its peer time to read that."""
        with suppress(OSError):
            sock.send(UNAVAILABLE)
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(LINGER)
        with suppress(OSError):
            sock.close()

    def has_room(self) -> bool:
        return len(self.connections) + len(self.taking_in) + self.elsewhere < self.most

    def is_awaited(self) -> bool:
        """True if a connection waits to be accepted: only for that does another have to go."""
        return is_readable(cast(socket.socket, self.listener))

    def make_room(self) -> None:
        """Closes some that have no request under way: their clients can open another.

        First those that wait only to be closed and peers that never asked for anything of a backend, many at
        a time, as they may come in floods; only then the longest idle client.
        """
        idle = [c for c in self.connections if c.can_leave()]
        peers = [c for c in idle if c.closing or not c.served]
        most = MAKE_WAY if peers else 1
        for connection in heapq.nsmallest(most, peers or idle, lambda c: (not c.closing, c.idle_since)):
            if connection.closing or not connection.has_unread():  # a close would cross a request
                connection.leave("it made way for another")

    def pause(self) -> None:
        """Leaves connections in the kernel's queue, where nothing is lost, until there is room again."""
        if self.listener is not None and self.again is None:
            self.loop.remove_reader(self.listener)
            self.again = self.loop.call_later(ACCEPT_AGAIN, self.resume)

    def resume(self) -> None:
        self.again = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)
            self.accept()

    def closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        if self.successor is not None:
            return
        if self.again is not None:  # there is room now
            self.again.cancel()
            self.again = self.loop.call_soon(self.resume)

    async def stop_listening(self) -> None:
        """Takes in all that already waits, then listens no more."""
        end = self.clock() + ACCEPT_ALL
        while self.listener is not None and self.successor is None and self.is_awaited():
            if self.clock() >= end:
                break
            self.accept()
            await asyncio.sleep(0.0 if self.has_room() else ACCEPT_AGAIN)
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    async def wait_moved(self, at_most: float) -> None:
        """Waits until every connection is the successor's, or at its end."""
        end = self.clock() + at_most
        while self.connections and self.clock() < end:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        self.looker.cancel()
        if self.end_looker is not None:
            self.end_looker.cancel()

    async def wait_drained(self, at_most: float) -> None:
        """Waits until the kernel has every answer, but not for ever on a client that reads nothing."""
        end = self.clock() + at_most
        while any(not c.drained() for c in self.connections) and self.clock() < end:
            await asyncio.sleep(0.01)

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle():
                connection.end()

    def close_unasked(self) -> bool:
        """Closes what is idle, but for those on which something has come; True once all are closed."""
        for connection in list(self.connections):
            if connection.is_idle() and not connection.has_unread():
                connection.end()
        return all(c.closing for c in self.connections)
