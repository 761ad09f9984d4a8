"""Log of the backend list in $TMPDIR, from which the next process of this gateway learns the list.

A process that can't hand over any more (killed, stopped, hung, or of which a successor waits for the end)
leaves its list there. The log begins with the whole list; each change is appended as it is delivered, so that
a change costs a write of its own size. Once the changes outgrow the list, the log is written anew, beside the
old one and in slices.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Mapping
from contextlib import suppress

from embersill.net.list_feed import SLICE_ENTRIES, apply_entries
from embersill.net.list_position import ListPosition, ListSnapshot
from embersill.net.list_record import ListRecord, decode_record, decode_records, encode_snapshot
from embersill.net.listing import Entry
from embersill.net.memory_file import write_memory_file, write_whole

LIST_LOG_NAME = "embersill.list"
MIN_REWRITE_BYTES = 64 * 1024  # of changes, from which a log is written anew
RETRY_DELAY = 0.5  # seconds until the next try after a failed write
READ_BYTES = 1024 * 1024  # read at a time
LAST_RECORD_BYTES = 64 * 1024  # read to find the last record, if that has only a position
MAX_LOG_BYTES = 16 * 1024 * 1024  # of a log that is read; some ten thousand backends take 2 MB

log = logging.getLogger("embersill")


def read_all(descriptor: int, offset: int = 0) -> bytes:
    """Reads a file from an offset to its end, without moving the offset of the descriptor."""
    parts: list[bytes] = []
    while part := os.pread(descriptor, READ_BYTES, offset):
        parts.append(part)
        offset += len(part)
    return b"".join(parts)


def read_last_position(descriptor: int) -> ListPosition | None:
    """Reads the last record of a list that was handed over; None if that is no position."""
    try:
        size = os.fstat(descriptor).st_size
        text = os.pread(descriptor, LAST_RECORD_BYTES, max(size - LAST_RECORD_BYTES, 0))
        position = decode_record(text.rstrip(b"\n").rpartition(b"\n")[2]).position
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None
    return None if position is None else known_to_be_past(position)


class ListLogReader:
    """Reads the log of an earlier process, later only what has been added to the same list."""

    def __init__(self) -> None:
        # entries, by the backend's id, that are used again where the log has the same
        self.present: Mapping[str, Entry] = {}
        self.file_id = (0, 0)  # device and inode of the file that was read
        self.offset = 0
        self.entries: dict[str, Entry] = {}
        self.position: ListPosition | None = None

    def read_from(self, directory: str) -> ListSnapshot | None:
        """Reads the log in a directory; None if there is none, or if it has no whole list."""
        try:
            descriptor = os.open(os.path.join(directory, LIST_LOG_NAME), os.O_RDONLY)
        except FileNotFoundError:
            return None
        except OSError as error:
            log.warning("the list that an earlier process left is unusable: %s", error)
            return None
        return self.read(descriptor)

    def read(self, descriptor: int) -> ListSnapshot | None:
        """Reads a log and closes its descriptor; None if it has no whole list."""
        try:
            status = os.fstat(descriptor)
            if status.st_size > MAX_LOG_BYTES:
                raise OSError(f"it has {status.st_size} bytes")
            if self.file_id != (status.st_dev, status.st_ino) or status.st_size < self.offset:
                self.file_id, self.offset = (status.st_dev, status.st_ino), 0
                self.entries, self.position = {}, None
            records, size = decode_records(read_all(descriptor, self.offset), self.present)
        except OSError as error:
            log.warning("the list that an earlier process left is unusable: %s", error)
            return None
        finally:
            os.close(descriptor)
        self.offset += size
        for record in records:
            self.apply(record)
        if self.position is None:
            return None
        return ListSnapshot(known_to_be_past(self.position), self.entries)

    def forget(self) -> None:
        """Drops what was read."""
        self.file_id, self.offset = (0, 0), 0
        self.entries, self.position = {}, None

    def apply(self, record: ListRecord) -> None:
        if record.is_full:
            self.entries.clear()
        apply_entries(self.entries, record.entries)
        self.position = record.position or self.position


def known_to_be_past(position: ListPosition) -> ListPosition:
    """The position; without its times if they are of the time before the machine was started again."""
    if position.received_at is None or position.received_at <= time.monotonic():
        return position
    return position._replace(requested_at=None, received_at=None)


class ListLog:
    """Writes the log, from `start` to `stop`; without a directory it does nothing."""

    def __init__(self, directory: str | None, entries: dict[str, Entry]) -> None:
        """`entries`: of the list in use, by the backend's id; the feed keeps them up to date."""
        self.path = os.path.join(directory, LIST_LOG_NAME) if directory else None
        self.entries = entries
        self.position: ListPosition | None = None  # of the last complete list
        self.descriptor = -1  # of the log; -1 if there is none that is complete
        self.file_id = (0, 0)  # device and inode of the log
        self.initial_bytes = self.appended_bytes = 0
        self.rewriting: asyncio.Task[None] | None = None
        self.new_descriptor = -1  # of the log that is being written beside the present one
        self.rewrites = 0  # started so far
        self.retry_timer: asyncio.TimerHandle | None = None
        self.failing = False  # the last try to write it failed

    def start(self, position: ListPosition) -> None:
        """Writes the whole list, and from then on its changes."""
        self.position = position
        self.rewrite()

    def append(self, record: ListRecord) -> None:
        """Adds a change that the entries have already."""
        if record.position is not None:
            self.position = record.position
        if self.path is None or self.descriptor < 0 and self.new_descriptor < 0:
            return
        line = record.encode()
        if self.new_descriptor >= 0:
            self.try_write(self.new_descriptor, line)
        if self.descriptor < 0 or not self.is_in_place():
            return self.rewrite()
        if not self.try_write(self.descriptor, line):
            return None
        self.appended_bytes += len(line)
        if self.appended_bytes > max(self.initial_bytes, MIN_REWRITE_BYTES):
            self.rewrite()
        return None

    def is_in_place(self) -> bool:
        """Whether the log has not been replaced by that of another process."""
        assert self.path is not None
        try:
            status = os.stat(self.path)
        except OSError:
            return False
        return self.file_id == (status.st_dev, status.st_ino)

    def rewrite(self) -> None:
        """Starts to write the whole list anew, unless that is going on."""
        if self.path is not None and self.rewriting is None and self.retry_timer is None:
            self.rewriting = asyncio.get_running_loop().create_task(self.run_rewrite())

    async def run_rewrite(self) -> None:
        """Writes a new log in slices, and replaces the old one.

        A change in the meantime is appended to both. Each slice has the entries as they are when it is
        written, so that it never undoes a change before it.
        """
        assert self.path is not None
        self.rewrites += 1
        temporary = f"{self.path}.{os.getpid()}.{self.rewrites}"
        try:
            self.new_descriptor = os.open(
                temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            await self.write_entries()
            os.replace(temporary, self.path)
            status = os.fstat(self.new_descriptor)
        except (OSError, asyncio.CancelledError) as error:
            with suppress(OSError):
                os.unlink(temporary)
            if isinstance(error, asyncio.CancelledError):
                raise
            self.rewriting = None
            self.close_new()
            return self.retry_later(error)
        self.rewriting, self.failing = None, False
        self.close_present()
        self.descriptor, self.new_descriptor = self.new_descriptor, -1
        self.file_id = (status.st_dev, status.st_ino)
        self.initial_bytes, self.appended_bytes = status.st_size, 0

    async def write_entries(self) -> None:
        """Writes the whole list to the new log; raises OSError."""
        write_whole(self.new_descriptor, ListRecord(is_full=True).encode())
        names = list(self.entries)
        for first in range(0, len(names), SLICE_ENTRIES):
            present = [self.entries[n] for n in names[first:first + SLICE_ENTRIES] if n in self.entries]
            write_whole(self.new_descriptor, ListRecord(tuple(present)).encode())
            await asyncio.sleep(0)
            if self.new_descriptor < 0:
                raise OSError("a change in the meantime was not written")
        write_whole(self.new_descriptor, ListRecord(position=self.position).encode())

    def try_write(self, descriptor: int, line: bytes) -> bool:
        """Appends a line; after a failure the log is written anew later, as the line may be there in part."""
        try:
            write_whole(descriptor, line)
        except OSError as error:
            if descriptor == self.new_descriptor:
                self.close_new()  # the rewriting notices it
            else:
                self.close_present()
                self.retry_later(error)
            return False
        return True

    def retry_later(self, error: OSError) -> None:
        if not self.failing:  # only the first failure is logged: a folder may be full for long
            log.warning("the list was not written for a next process: %s", error)
        self.failing = True
        if self.retry_timer is None:
            self.retry_timer = asyncio.get_running_loop().call_later(RETRY_DELAY, self.retry)

    def retry(self) -> None:
        self.retry_timer = None
        self.rewrite()

    def close_new(self) -> None:
        if self.new_descriptor >= 0:
            os.close(self.new_descriptor)
            self.new_descriptor = -1

    def close_present(self) -> None:
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def open_copy(self) -> int:
        """Returns a descriptor to read the present list from, or -1 if the list can't be written anywhere.

        That is the log, or a file in memory if the log is not complete.
        """
        if self.position is None:
            return -1
        try:
            if self.descriptor >= 0:
                write_whole(self.descriptor, ListRecord(position=self.position).encode())
                return os.dup(self.descriptor)
        except OSError:
            self.close_present()
        return write_memory_file(LIST_LOG_NAME, encode_snapshot(ListSnapshot(self.position, self.entries)))

    def stop(self) -> None:
        """Leaves the log to the other process."""
        if self.rewriting is not None:
            self.rewriting.cancel()
            self.rewriting = None
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self.close_new()
        self.close_present()
