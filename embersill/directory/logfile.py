"""The folder that outlives the service: one snapshot, one log of batches, and a lock.

A line is `CRC LENGTH PAYLOAD`, both numbers in eight hex digits. A batch is one line, synced before the next
is begun: only the last can be half there. What is wrong before it was whole once, and is never cut away.
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

FORMAT_VERSION = 1  # of the lines and of what is in them
HEADER_BYTES = 18  # bytes of a line before its payload
COMPACT_AT_BYTES = (
    4 * 1024 * 1024
)  # bytes of log from which a snapshot is made: read again in well under a second

log = logging.getLogger("embersill.directory")


class StorageUnusable(Exception):
    """What is stored was damaged after it had been whole; a person has to look at it."""


class WriteFailed(Exception):
    """The batch is not stored; what was stored before it is as it was."""


def encode_line(content: Any) -> bytes:
    payload = json.dumps(content, separators=(",", ":")).encode()
    return b"%08x %08x %s\n" % (zlib.crc32(payload), len(payload), payload)


def decode_line(data: bytes, at: int) -> tuple[Any, int] | None:
    """What stands at this place and where the next begins; None if it is no whole line."""
    size = decode_length(data, at)
    if size is None or data[at + HEADER_BYTES + size : at + HEADER_BYTES + size + 1] != b"\n":
        return None
    payload = data[at + HEADER_BYTES : at + HEADER_BYTES + size]
    if b"%08x" % zlib.crc32(payload) != data[at : at + 8]:
        return None
    return json.loads(payload), at + HEADER_BYTES + size + 1


def decode_length(data: bytes, at: int) -> int | None:
    head = data[at : at + HEADER_BYTES]
    if len(head) < HEADER_BYTES or head[8:9] != b" " or head[17:] != b" ":
        return None
    try:
        return int(head[9:17], 16)
    except ValueError:
        return None


def decode_lines(data: bytes, name: str) -> Iterator[tuple[Any, int]]:
    """Each whole line and where it ends; Corrupt where what follows a broken one shows it was whole once."""
    at = 0
    while at < len(data):
        found = decode_line(data, at)
        if found is None:
            if has_data_after(data, at):
                raise StorageUnusable(f"{name} is damaged at byte {at}, and whole batches follow")
            return
        yield found
        at = found[1]


def has_data_after(data: bytes, at: int) -> bool:
    """Whether anything was written behind the line at this place, which is not whole."""
    size = decode_length(data, at)
    if size is not None and at + HEADER_BYTES + size + 1 < len(data):
        return True
    while (at := data.find(b"\n", at) + 1) > 0:
        if decode_line(data, at) is not None:
            return True
    return False


class Log:
    """The store's batches on disk. One process at a time holds the folder."""

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
        self.failure = ""  # why nothing can be appended to this file any more
        self.truncated_bytes = 0  # bytes of a half-written batch that the start took away
        self.is_new = False  # the folder held no list
        self.store = Store(history)
        try:
            self.load(history)
        except BaseException:
            self.close()
            raise

    # reading, at the start

    def load(self, history: int) -> None:
        for left in self.directory.glob("*.new"):
            left.unlink()  # half of a snapshot or of a log: the ones that it was to replace are still there
        snapshot, path = self.directory / "snapshot", self.directory / "log"
        self.is_new = not snapshot.exists() and not path.exists()
        if snapshot.exists():
            self.load_snapshot(snapshot.read_bytes(), history)
        if self.is_new:
            return self.start_new_log()
        if not path.exists():
            raise StorageUnusable(f"{path} is missing beside a snapshot")
        stale = self.load_log(path.read_bytes())
        if stale:
            return self.start_new_log()
        self.log_file = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        if self.truncated_bytes:
            self.truncate_incomplete_batch(path)
        return None

    def load_snapshot(self, data: bytes, history: int) -> None:
        found = decode_line(data, 0)
        if found is None or found[1] != len(data):
            raise StorageUnusable(f"{self.directory / 'snapshot'} is damaged")
        loaded = found[0]
        self.check_format(loaded, "snapshot")
        try:
            self.last_batch, self.store = int(loaded["seq"]), Store.from_json(loaded["list"], history)
        except (KeyError, TypeError, ValueError, InvalidFormat) as error:
            raise StorageUnusable(f"{self.directory / 'snapshot'} holds no list: {error}") from error

    def load_log(self, data: bytes) -> bool:
        """Replays it; True where the snapshot held all of it already."""
        name = str(self.directory / "log")
        batches = decode_lines(data, name)
        first = next(batches, None)
        if first is None:
            raise StorageUnusable(f"{name} has no beginning")
        self.check_format(first[0], "log")
        self.size, seen = first[1], int(first[0]["after"])
        if seen > self.last_batch:
            raise StorageUnusable(
                f"{name} begins after batch {seen}, the snapshot ends with {self.last_batch}"
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
        try:
            if batch["seq"] != expected:
                raise StorageUnusable(f"{name} has batch {batch['seq']} in the place of {expected}")
            if expected > self.last_batch:
                self.store.apply(record_from_json(r) for r in batch["records"])
        except (KeyError, TypeError, InvalidFormat) as error:
            raise StorageUnusable(f"{name}, batch {expected}: {error}") from error

    def check_format(self, loaded: Any, what: str) -> None:
        if not isinstance(loaded, dict) or loaded.get("form") != FORMAT_VERSION:
            raise StorageUnusable(f"{self.directory / what} is of another form than {FORMAT_VERSION}")

    def truncate_incomplete_batch(self, path: pathlib.Path) -> None:
        log.warning(
            "the last %d bytes of %s are half a batch, never answered: cut", self.truncated_bytes, path
        )
        os.ftruncate(self.log_file, self.size)
        os.fsync(self.log_file)

    # writing

    def append(self, records: list[Record]) -> None:
        """Stores a batch; once this returns it outlives the process. NotWritten leaves all as it was."""
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
        except OSError as error:  # what the disk holds now is not known, nor would a second try tell
            self.undo_failed_write()
            self.failure = f"the log could not be synced: {error.strerror}"
            raise WriteFailed(self.failure) from error
        self.last_batch += 1
        self.size += len(line)

    def undo_failed_write(self) -> None:
        try:
            os.ftruncate(self.log_file, self.size)
        except OSError as error:
            self.failure = f"the log could not be cut after a failed write: {error.strerror}"

    def recover(self, content: dict[str, Any]) -> None:
        """After a failed sync: this list as a snapshot, and a log behind it, in new files; NotWritten if not.

        What the old file holds is not known, and a second sync of it would not tell. New ones that were
        synced whole do not rest on it.
        """
        try:
            self.compact(content)
        except WriteFailed as error:
            raise WriteFailed(f"{self.failure}; and new files: {error}") from error
        log.warning("the log is written anew, as this had failed: %s", self.failure)
        self.failure = ""

    def needs_compaction(self) -> bool:
        return self.size >= self.compact_at and not self.failure

    def compact(self, content: dict[str, Any]) -> None:
        """Makes this list the snapshot, and begins the log anew behind it."""
        try:
            self.replace_file(
                "snapshot", encode_line({"form": FORMAT_VERSION, "seq": self.last_batch, "list": content})
            )
            self.start_new_log()
        except OSError as error:
            raise WriteFailed(f"the snapshot: {error.strerror}") from error

    def start_new_log(self) -> None:
        line = encode_line({"form": FORMAT_VERSION, "after": self.last_batch})
        self.replace_file("log", line)
        if self.log_file >= 0:
            os.close(self.log_file)
        self.log_file, self.size = os.open(self.directory / "log", os.O_WRONLY | os.O_CLOEXEC), len(line)

    def replace_file(self, name: str, content: bytes) -> None:
        """Puts a file in the place of another so that at any moment one of them is there, whole."""
        new = self.directory / f"{name}.new"
        file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        try:
            write_at(file, content, 0)
            os.fsync(file)
        finally:
            os.close(file)
        os.rename(new, self.directory / name)
        folder = os.open(self.directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        for file in (self.log_file, self.lock_file):
            if file >= 0:
                os.close(file)
        self.log_file = self.lock_file = -1


def write_at(file: int, content: bytes, at: int) -> None:
    """All of it: a disk that fills up takes a part first."""
    view = memoryview(content)
    while view:
        written = os.pwrite(file, view, at)
        view, at = view[written:], at + written
