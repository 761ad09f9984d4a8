"""Bodies that are passed on while they come, a bounded part of them here at any time."""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

STREAMING_THRESHOLD = 64 * 1024  # bytes up to which a body or an answer is taken whole before it goes on
MAX_BODY = 32 * 1024 * 1024  # bytes of a request's body
READ_SIZE = 64 * 1024  # bytes read at a time, into one buffer for all connections


class Socket(Protocol):
    """What the loop shows of a transport's socket, or a socket itself."""

    def fileno(self) -> int: ...


def is_readable(sock: Socket) -> bool:
    """True where the kernel holds something that was not read yet: bytes, an end, a caller that waits."""
    descriptor = sock.fileno()
    if descriptor < 0:  # closed here: that is an end too
        return True
    waiting = select.poll()
    waiting.register(descriptor, select.POLLIN)
    return bool(waiting.poll(0))


def closed_by_peer(descriptors: Iterable[int]) -> list[int]:
    """Those of the sockets whose other end has closed or reset, also behind bytes that were not read yet."""
    waiting, ended = select.poll(), []
    for descriptor in descriptors:
        if descriptor < 0:  # closed here, as in is_readable
            ended.append(descriptor)
        else:
            waiting.register(descriptor, select.POLLRDHUP)
    ends = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return ended + [descriptor for descriptor, told in waiting.poll(0) if told & ends]


class Sink(Protocol):
    """Where an answer goes while it still comes; `room` is called when it has room again."""

    on_writable: Callable[[], None] | None

    def write(self, data: bytes) -> bool: ...

    def finish(self) -> None: ...

    def abort(self) -> None: ...


class Upload:
    """A request's body on its way from the client to one backend, in the backend's framing."""

    def __init__(self, length: int | None, most: int, room: Callable[[], None]) -> None:
        self.length, self.max_buffered, self.on_space = length, most, room
        self.pieces: deque[bytes] = deque()
        self.buffered = 0  # bytes that wait here
        self.complete = self.started = self.done = False  # all has come; some has, or all has, gone on
        self.on_data: Callable[[], None] | None = None  # the connection that writes it on

    @property
    def full(self) -> bool:
        return self.buffered >= self.max_buffered

    @property
    def framing_header(self) -> bytes:
        if self.length is None:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self.length

    def feed(self, data: bytes) -> None:
        self.pieces.append(data)
        self.buffered += len(data)
        if self.on_data is not None:
            self.on_data()

    def end(self) -> None:
        self.complete = True
        if self.on_data is not None:
            self.on_data()

    def next_chunk(self) -> bytes:
        """The next bytes for the backend; empty where there are none now, or no more."""
        if self.pieces:
            piece = self.pieces.popleft()
            self.buffered -= len(piece)
            self.started = True
            text = piece if self.length is not None else b"%x\r\n%b\r\n" % (len(piece), piece)
        elif self.complete and not self.done:
            self.done = True
            text = b"0\r\n\r\n" if self.length is None else b""
        else:
            text = b""
        return text
