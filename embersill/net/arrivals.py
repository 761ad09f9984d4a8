"""When a client may have written bytes that the gateway reads late.

While a connection is not read, its bytes wait in this host's kernel, and, once that accepts no more, in the
client's. The kernel knows when the last bytes arrived, but not when earlier ones did. So the unread bytes are
counted at intervals. Offsets are bytes from the start of the connection.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Seconds without new bytes, with some unread, after which the kernel may have stopped to accept any. How many
# it holds by then tells nothing: small segments fill its buffer with less.
WINDOW_CLOSED_AFTER = 0.1
MAX_UNSENT = 4 * 1024 * 1024  # bytes that may wait in the client's kernel: the limit of tcp_wmem in tcp(7)
MARK_INTERVAL = 0.1  # seconds between marks
# Seconds of reading without a pause after which no bytes wait at the client, if none do here.
CAUGHT_UP_AFTER = 0.1


@dataclass(slots=True)
class Mark:
    """The client may have written the bytes up to `offset` at `time`, at the earliest."""

    time: float
    offset: int


class ArrivalLog:
    """When the unread bytes of one connection may have been written, in seconds of one clock."""

    __slots__ = ("arrived", "grown_at", "marks", "observed_at", "unsent_since")

    def __init__(self) -> None:
        self.marks: deque[Mark] = deque()  # of bytes that are not parsed yet
        self.observed_at = self.grown_at = 0.0  # last observation, and last one with new bytes
        self.arrived = 0  # offset up to which bytes had arrived at the last observation
        self.unsent_since: float | None = None  # when the kernel began to accept no more, if it may have

    @property
    def is_behind(self) -> bool:
        """True while bytes may wait that were written before the last read."""
        return bool(self.marks)

    def observe(self, now: float, read: int, unread: int, read_arrived_at: float) -> None:
        """Records how many bytes wait, when reading pauses and periodically until it resumes.

        read: offset up to which bytes were read
        unread: bytes in the kernel's buffer
        read_arrived_at: when the bytes that were read last had arrived, at the earliest
        """
        since = self.observed_at if self.marks else read_arrived_at
        if read + unread > self.arrived or not self.marks:
            self.unsent_since = None  # the kernel still accepts bytes, so none wait at the client
            self.arrived, self.grown_at = read + unread, now
            self.add_mark(since, self.arrived)
        elif unread and now - self.grown_at >= WINDOW_CLOSED_AFTER:
            self.unsent_since = self.grown_at
        self.observed_at = now

    def resume(self) -> None:
        """Records that reading resumes: from now on bytes arrive that may have waited at the client."""
        if self.unsent_since is not None:
            self.add_mark(self.unsent_since, self.arrived + MAX_UNSENT)
            self.unsent_since = None

    def add_mark(self, time: float, offset: int) -> None:
        if self.marks and time - self.marks[-1].time < MARK_INTERVAL:
            self.marks[-1].offset = max(self.marks[-1].offset, offset)
        else:
            self.marks.append(Mark(time, offset))

    def written_at(self, offset: int) -> float | None:
        """When all bytes up to `offset` may have been written, at the earliest; None if they are not yet."""
        for mark in self.marks:
            if mark.offset >= offset:
                return mark.time
        if self.unsent_since is not None and self.arrived + MAX_UNSENT >= offset:
            return self.unsent_since
        return None

    def forget(self, parsed: int) -> None:
        """Frees the marks of bytes that are parsed."""
        while self.marks and self.marks[0].offset < parsed:
            self.marks.popleft()

    def clear(self) -> None:
        """Records that nothing waits: everything that the client has written is read."""
        self.marks.clear()
        self.unsent_since = None
