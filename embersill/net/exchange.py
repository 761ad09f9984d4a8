"""One request on a client's connection, and the writing of its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from embersill.net.bodies import ByteBuffer

if TYPE_CHECKING:
    from embersill.net.clients import ClientConnection

LAST_CHUNK = b"0\r\n\r\n"  # ends a chunked body
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 417: b"Expectation Failed", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 501: b"Not Implemented", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
}


class Exchange:
    """One request on a connection and its answer, which is written after the answers to earlier requests.

    A streamed answer takes begin(), write() for each part, and finish() or abort(); a complete one takes
    answer() alone.
    """

    __slots__ = (
        "streaming", "aborted", "chunked", "connection", "done", "keep_alive", "number", "on_writable",
        "response", "unwritten", "unwritten_head",
    )

    def __init__(self, connection: ClientConnection, keep_alive: bool) -> None:
        self.connection, self.keep_alive = connection, keep_alive
        self.number = 0  # the driver's number of the request; 0 until the driver accepts it
        self.response: bytes | None = None  # the complete answer, if it is not streamed
        self.unwritten_head, self.unwritten = b"", ByteBuffer()  # of a streamed answer; the body unframed
        self.streaming = self.done = self.aborted = self.chunked = False
        self.on_writable: Callable[[], None] | None = None

    def begin(self, headers: bytes, length: int | None) -> Exchange:
        """Starts a streamed answer with status 200; `length` is None where the body's size is not known."""
        connection = self.connection
        self.streaming, self.chunked = True, length is None and connection.is_http_1_1
        framing = b"Content-Length: %d\r\n" % length if length is not None else b""
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        self.keep_alive = self.keep_alive and not connection.close_after_if_stopping(self) and bool(framing)
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        self.unwritten_head = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, close, framing)
        return self

    def write(self, data: bytes) -> bool:
        """Writes a part of the body, or buffers it behind earlier answers; False if it would buffer more."""
        if data:
            self.unwritten.add(data)
        self.connection.flush()
        exchanges = self.connection.exchanges
        return bool(exchanges) and exchanges[0] is self and self.has_space()

    def has_space(self) -> bool:
        """True while more of a streamed answer may be buffered."""
        return len(self.unwritten.data) < self.connection.server.memory.stream_buffer

    def has_room_for(self, size: int) -> bool:
        """True if an answer of `size` bytes can be written at once, or held until it can be."""
        connection = self.connection
        is_next = bool(connection.exchanges) and connection.exchanges[0] is self
        return is_next and not connection.write_blocked or connection.server.memory.has_room(size)

    def held_bytes(self) -> int:
        """Bytes of the answer that are not written yet."""
        return len(self.unwritten) + (len(self.response) if self.response is not None else 0)

    def take_unwritten(self) -> bytes:
        """Removes and returns what is to be written next of a streamed answer, in its framing."""
        head, body = self.unwritten_head, self.unwritten.take()
        self.unwritten_head = b""
        if self.chunked:
            body = (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + (LAST_CHUNK if self.done else b"")
        return head + body

    def client_has_gone(self) -> bool:
        """True if the client has disconnected; asks the kernel, as the loop may not have reported it yet."""
        disconnected = self.connection.is_disconnected()
        if disconnected:
            self.connection.abort_disconnected()
        return disconnected

    def close_may_be_hidden(self) -> bool:
        """True if the client may have disconnected unseen, behind requests that are not read yet."""
        connection = self.connection
        return connection.upload_exchange is not self and connection.close_may_be_hidden()

    def finish(self) -> None:
        """Ends a streamed answer after its last part."""
        self.done = True
        self.connection.flush()

    def abort(self) -> None:
        """Ends a streamed answer that is incomplete: the connection is reset, so that the client can tell."""
        self.aborted = True
        self.connection.flush()

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Sends a complete answer, unless the request already has one."""
        if self.response is not None:
            return
        self.keep_alive = self.keep_alive and not (
            self.connection.close_after_if_stopping(self) or self.connection.is_uploading(self))
        self.response = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status, REASON_PHRASES[status], headers, b"" if self.keep_alive else b"Connection: close\r\n",
            len(body), body)
        self.connection.flush()
