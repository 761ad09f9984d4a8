"""The list on disk: one directory with a snapshot, a log of batches, and a lock file.

A line is `CRC LENGTH PAYLOAD`, both numbers in eight hex digits. A batch is one line, synced before the next
is written, so only the last one can be incomplete, and it is truncated at the start. Damage before it means
that acknowledged data is lost: it stops the start and is never truncated.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
import pathlib
import zlib
from collections.abc import Iterator
from typing import Any

from embersill.directory.form import InvalidFormat, Record, record_from_json, record_to_json
from embersill.directory.store import HISTORY_RECORDS, Store

FORMAT_VERSION = 1  # of both files
HEADER_BYTES = 18  # of a line, before its payload
COMPACT_AT_BYTES = 4 * 1024 * 1024  # log size that triggers a snapshot; it is read in well under a second

log = logging.getLogger("embersill.directory")


class StorageUnusable(Exception):
    """The directory is damaged, or in use by another process: an operator has to look at it."""


class WriteFailed(Exception):
    """A batch or a snapshot was not stored; what was stored before is unchanged."""


def encode_line(content: Any) -> bytes:
    """Content as JSON in one line with its checksum."""
    payload = json.dumps(content, separators=(",", ":")).encode()
    return b"%08x %08x %s\n" % (zlib.crc32(payload), len(payload), payload)


def decode_line(data: bytes, at: int) -> tuple[Any, int] | None:
    """The content of the line at this offset and the offset of the next; None if the line is not intact."""
    size = decode_length(data, at)
    if size is None or data[at + HEADER_BYTES + size : at + HEADER_BYTES + size + 1] != b"\n":
        return None
    payload = data[at + HEADER_BYTES : at + HEADER_BYTES + size]
    if b"%08x" % zlib.crc32(payload) != data[at : at + 8]:
        return None
    return json.loads(payload), at + HEADER_BYTES + size + 1


def decode_length(data: bytes, at: int) -> int | None:
    """The payload length in the header at this offset; None if it is not a header."""
    head = data[at : at + HEADER_BYTES]
    if len(head) < HEADER_BYTES or head[8:9] != b" " or head[17:] != b" ":
        return None
    try:
        return int(head[9:17], 16)
    except ValueError:
        return None


def decode_lines(data: bytes, name: str) -> Iterator[tuple[Any, int]]:
    """Each intact line with its end offset; StorageUnusable if data follows a damaged line."""
    at = 0
    while at < len(data):
        found = decode_line(data, at)
        if found is None:
            if has_data_after(data, at):
                raise StorageUnusable(f"{name} is damaged at byte {at}, and more batches follow")
            return
        yield found
        at = found[1]


def has_data_after(data: bytes, at: int) -> bool:
    """Whether anything was written after the damaged line at this offset."""
    size = decode_length(data, at)
    if size is not None and at + HEADER_BYTES + size + 1 < len(data):
        return True
    while (at := data.find(b"\n", at) + 1) > 0:
        if decode_line(data, at) is not None:
            return True
    return False


class Log:
    """The store's batches on disk. The directory is locked for one process.

    Raises StorageUnusable if the directory is locked, or what it holds is damaged.
    """

    def __init__(
        self, folder: pathlib.Path, history: int = HISTORY_RECORDS, compact_at: int = COMPACT_AT_BYTES
    ) -> None:
        self.directory, self.compact_at = folder, compact_at
        folder.mkdir(parents=True, exist_ok=True)
        self.lock_file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock_file)
            raise StorageUnusable(f"{folder} is in use by another process") from error
        self.log_file, self.size, self.last_batch = -1, 0, 0
        self.failure = ""  # why nothing can be appended to this log any more
        self.truncated_bytes = 0  # size of an incomplete batch that was truncated at the start
        self.is_new = False  # the directory held no list
        self.store = Store(history)
        try:
            self.load(history)
        except BaseException:
            self.close()
            raise

    # reading, at the start

    def load(self, history: int) -> None:
        """Reads the snapshot and replays the log after it, or starts a log in a new directory."""
        for leftover in self.directory.glob("*.new"):
            leftover.unlink()  # an unfinished replacement; the file that it was to replace is still there
        snapshot, path = self.directory / "snapshot", self.directory / "log"
        self.is_new = not snapshot.exists() and not path.exists()
        if snapshot.exists():
            self.load_snapshot(snapshot.read_bytes(), history)
        if self.is_new:
            return self.start_new_log()
        if not path.exists():
            raise StorageUnusable(f"{path} is missing although there is a snapshot")
        stale = self.load_log(path.read_bytes())
        if stale:
            return self.start_new_log()
        self.log_file = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        if self.truncated_bytes:
            self.truncate_incomplete_batch(path)
        return None

    def load_snapshot(self, data: bytes, history: int) -> None:
        """Restores the store from a snapshot file's content."""
        found = decode_line(data, 0)
        if found is None or found[1] != len(data):
            raise StorageUnusable(f"{self.directory / 'snapshot'} is damaged")
        loaded = found[0]
        self.check_format(loaded, "snapshot")
        try:
            self.last_batch, self.store = int(loaded["seq"]), Store.from_json(loaded["list"], history)
        except (KeyError, TypeError, ValueError, InvalidFormat) as error:
            raise StorageUnusable(f"{self.directory / 'snapshot'} does not hold a list: {error}") from error

    def load_log(self, data: bytes) -> bool:
        """Replays the batches after the snapshot; True if the snapshot already held them all."""
        name = str(self.directory / "log")
        batches = decode_lines(data, name)
        first = next(batches, None)
        if first is None:
            raise StorageUnusable(f"{name} has no valid first line")
        self.check_format(first[0], "log")
        self.size, seen = first[1], int(first[0]["after"])
        if seen > self.last_batch:
            raise StorageUnusable(
                f"{name} starts after batch {seen}, but the snapshot ends with {self.last_batch}"
            )
        for batch, end in batches:
            seen += 1
            self.replay(batch, seen, name)
            self.size = end
        self.truncated_bytes = len(data) - self.size
        stale = seen < self.last_batch or (seen == self.last_batch and int(first[0]["after"]) < seen)
        self.last_batch = max(self.last_batch, seen)
        return stale

    def replay(self, batch: Any, expected: int, name: str) -> None:
        """Checks a batch's number and applies the batch, unless the snapshot holds it."""
        try:
            if batch["seq"] != expected:
                raise StorageUnusable(f"{name} has batch {batch['seq']} in place of {expected}")
            if expected > self.last_batch:
                self.store.apply(record_from_json(r) for r in batch["records"])
        except (KeyError, TypeError, InvalidFormat) as error:
            raise StorageUnusable(f"{name}, batch {expected}: {error}") from error

    def check_format(self, loaded: Any, what: str) -> None:
        """Raises StorageUnusable unless the content of this file is of the known format version."""
        if not isinstance(loaded, dict) or loaded.get("form") != FORMAT_VERSION:
            raise StorageUnusable(f"{self.directory / what} is not of format version {FORMAT_VERSION}")

    def truncate_incomplete_batch(self, path: pathlib.Path) -> None:
        """Truncates the log after its last intact batch; the rest was never acknowledged."""
        log.warning(
            "truncated %d bytes of %s: an incomplete batch that was never acknowledged",
            self.truncated_bytes,
            path,
        )
        os.ftruncate(self.log_file, self.size)
        os.fsync(self.log_file)

    # writing

    def append(self, records: list[Record]) -> None:
        """Stores a batch durably; on WriteFailed the stored list is unchanged."""
        if self.failure:
            raise WriteFailed(self.failure)
        line = encode_line({"seq": self.last_batch + 1, "records": [record_to_json(r) for r in records]})
        try:
            write_at(self.log_file, line, self.size)
        except OSError as error:
            self.undo_failed_write()
            raise WriteFailed(f"the log: {error.strerror}") from error
        try:
            os.fdatasync(self.log_file)
        except OSError as error:  # what is on disk is unknown, and a second sync may succeed wrongly
            self.undo_failed_write()
            self.failure = f"the log could not be synced: {error.strerror}"
            raise WriteFailed(self.failure) from error
        self.last_batch += 1
        self.size += len(line)

    def undo_failed_write(self) -> None:
        """Truncates the log to its size before a failed append."""
        try:
            os.ftruncate(self.log_file, self.size)
        except OSError as error:
            self.failure = f"the log could not be cut after a failed write: {error.strerror}"

    def recover(self, content: dict[str, Any]) -> None:
        """After a failed sync, makes this list the snapshot and starts a new log; or raises WriteFailed.

        What the old log holds on disk is unknown, and a second sync of it would not show it. The new files
        are synced completely and do not depend on it.
        """
        try:
            self.compact(content)
        except WriteFailed as error:
            raise WriteFailed(f"{self.failure}; and new files: {error}") from error
        log.warning("started a new log after a failure: %s", self.failure)
        self.failure = ""

    def needs_compaction(self) -> bool:
        """Whether the log has grown enough for a snapshot."""
        return self.size >= self.compact_at and not self.failure

    def compact(self, content: dict[str, Any]) -> None:
        """Makes this list the snapshot and starts a new log after it; or raises WriteFailed."""
        try:
            self.replace_file(
                "snapshot", encode_line({"form": FORMAT_VERSION, "seq": self.last_batch, "list": content})
            )
            self.start_new_log()
        except OSError as error:
            raise WriteFailed(f"the snapshot: {error.strerror}") from error

    def start_new_log(self) -> None:
        """Replaces the log by an empty one that follows the last batch."""
        line = encode_line({"form": FORMAT_VERSION, "after": self.last_batch})
        self.replace_file("log", line)
        if self.log_file >= 0:
            os.close(self.log_file)
        self.log_file, self.size = os.open(self.directory / "log", os.O_WRONLY | os.O_CLOEXEC), len(line)

    def replace_file(self, name: str, content: bytes) -> None:
        """Replaces a file atomically and durably: at any moment either the old or the new one is complete."""
        new = self.directory / f"{name}.new"
        file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        try:
            write_at(file, content, 0)
            os.fsync(file)
        finally:
            os.close(file)
        os.rename(new, self.directory / name)
        directory = os.open(self.directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def close(self) -> None:
        """Closes the log and releases the lock."""
        for file in (self.log_file, self.lock_file):
            if file >= 0:
                os.close(file)
        self.log_file = self.lock_file = -1


def write_at(file: int, content: bytes, at: int) -> None:
    """Writes all of the content at this offset: on a nearly full disk a write may be partial."""
    view = memoryview(content)
    while view:
        written = os.pwrite(file, view, at)
        view, at = view[written:], at + written
