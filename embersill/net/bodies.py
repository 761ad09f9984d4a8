"""Streaming of request and answer bodies with a limited buffer, and checks of sockets that are not read."""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

STREAMING_THRESHOLD = 64 * 1024  # bytes up to which a body is buffered completely; larger ones are streamed
MAX_BODY = 32 * 1024 * 1024  # bytes of a request's body
READ_SIZE = 64 * 1024  # bytes read at a time, into one buffer shared by all connections


class Socket(Protocol):
    """A socket, or the view of it that a transport of the event loop provides."""

    def fileno(self) -> int: ...


def is_readable(sock: Socket) -> bool:
    """True if the kernel holds unread data, the peer's close, or a connection waiting to be accepted."""
    descriptor = sock.fileno()
    if descriptor < 0:  # closed on this side, which counts as a close
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def closed_by_peer(descriptors: Iterable[int]) -> list[int]:
    """The descriptors whose peer has closed or reset the connection, even if it left unread data."""
    poller, closed = select.poll(), []
    for descriptor in descriptors:
        if descriptor < 0:  # closed on this side, as in is_readable
            closed.append(descriptor)
        else:
            poller.register(descriptor, select.POLLRDHUP)
    close_events = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return closed + [descriptor for descriptor, events in poller.poll(0) if events & close_events]


class Sink(Protocol):
    """The destination of a streamed answer.

    `write` returns False when its buffer is in use; `on_writable` is called when it accepts more. `abort`
    ends an answer that is incomplete.
    """

    on_writable: Callable[[], None] | None

    def write(self, data: bytes) -> bool: ...

    def finish(self) -> None: ...

    def abort(self) -> None: ...


class Upload:
    """A streamed request body between the client and one backend, in the framing sent to the backend.

    `length` is its size in bytes, or None for a chunked body. `on_space` is called by the backend connection
    when data was removed, and `on_data` by the client's side when data was added.
    """

    def __init__(self, length: int | None, max_buffered: int, on_space: Callable[[], None]) -> None:
        self.length, self.max_buffered, self.on_space = length, max_buffered, on_space
        self.chunks: deque[bytes] = deque()
        self.buffered = 0  # bytes in `chunks`
        # complete: all was received; started: some was passed to the backend; done: all was.
        self.complete = self.started = self.done = False
        self.on_data: Callable[[], None] | None = None  # set by the backend connection that sends it

    @property
    def full(self) -> bool:
        """True if no more should be read from the client for now."""
        return self.buffered >= self.max_buffered

    @property
    def framing_header(self) -> bytes:
        """The header line, without its line end, that tells the backend how the body is delimited."""
        if self.length is None:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self.length

    def feed(self, data: bytes) -> None:
        """Adds data that the client has sent."""
        self.chunks.append(data)
        self.buffered += len(data)
        if self.on_data is not None:
            self.on_data()

    def end(self) -> None:
        """Marks the body as completely received."""
        self.complete = True
        if self.on_data is not None:
            self.on_data()

    def next_chunk(self) -> bytes:
        """Removes and returns the next bytes for the backend; empty if there are none now, or no more."""
        if self.chunks:
            chunk = self.chunks.popleft()
            self.buffered -= len(chunk)
            self.started = True
            text = chunk if self.length is not None else b"%x\r\n%b\r\n" % (len(chunk), chunk)
        elif self.complete and not self.done:
            self.done = True
            text = b"0\r\n\r\n" if self.length is None else b""
        else:
            text = b""
        return text
