"""Streaming of request and answer bodies with a limited buffer, and checks of sockets that are not read."""

from __future__ import annotations

import select
from collections.abc import Callable, Iterable
from typing import Protocol

from embersill.net.memory import MemoryBudget

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


class ByteBuffer:
    """Bytes that arrive in pieces and are taken together, in about as much memory as there are bytes.

    A list of the pieces would take some 56 bytes more for each of them. The first piece is not copied.
    """

    __slots__ = ("data",)

    def __init__(self) -> None:
        self.data: bytes | bytearray = b""

    def __len__(self) -> int:
        return len(self.data)

    def add(self, piece: bytes) -> None:
        """Appends a piece."""
        if not self.data:
            self.data = piece
            return
        if isinstance(self.data, bytes):
            self.data = bytearray(self.data)
        self.data += piece

    def take(self) -> bytes:
        """Removes and returns all bytes."""
        data, self.data = self.data, b""
        return bytes(data)


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
    when data was removed, and `on_data` when the client's side passes on what it has added.
    """

    def __init__(self, length: int | None, memory: MemoryBudget, on_space: Callable[[], None]) -> None:
        self.length, self.memory, self.on_space = length, memory, on_space
        self.buffer = ByteBuffer()
        # complete: all was received; started: some was passed to the backend; done: all was.
        self.complete = self.started = self.done = False
        self.on_data: Callable[[], None] | None = None  # set by the backend connection that sends it

    @property
    def full(self) -> bool:
        """True if no more should be read from the client for now."""
        return len(self.buffer.data) >= self.memory.stream_buffer

    @property
    def framing_header(self) -> bytes:
        """The header line, without its line end, that tells the backend how the body is delimited."""
        if self.length is None:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self.length

    def feed(self, data: bytes) -> None:
        """Adds data that the client has sent; `pass_on` has to follow."""
        self.buffer.add(data)

    def pass_on(self) -> None:
        """Offers what was added to the backend, all pieces together."""
        if self.on_data is not None:
            self.on_data()

    def end(self) -> None:
        """Marks the body as completely received."""
        self.complete = True
        self.pass_on()

    def next_chunk(self) -> bytes:
        """Removes and returns what is buffered for the backend; empty if there is nothing now, or no more."""
        if self.buffer.data:
            chunk = self.buffer.take()
            self.started = True
            text = chunk if self.length is not None else b"%x\r\n%b\r\n" % (len(chunk), chunk)
        elif self.complete and not self.done:
            self.done = True
            text = b"0\r\n\r\n" if self.length is None else b""
        else:
            text = b""
        return text
