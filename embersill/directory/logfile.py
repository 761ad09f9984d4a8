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

from embersill.directory.form import BadForm, Record, record_from_json, record_to_json
from embersill.directory.store import HISTORY, Store

FORM = 1  # of the lines and of what is in them
HEAD = 18  # bytes of a line before its payload
COMPACT_AT = 4 * 1024 * 1024  # bytes of log from which a snapshot is made: read again in well under a second

log = logging.getLogger("embersill.directory")


class Corrupt(Exception):
    """What is stored was damaged after it had been whole; a person has to look at it."""


class NotWritten(Exception):
    """The batch is not stored; what was stored before it is as it was."""


def line_of(content: Any) -> bytes:
    payload = json.dumps(content, separators=(",", ":")).encode()
    return b"%08x %08x %s\n" % (zlib.crc32(payload), len(payload), payload)


def read_line(data: bytes, at: int) -> tuple[Any, int] | None:
    """What stands at this place and where the next begins; None if it is no whole line."""
    size = read_length(data, at)
    if size is None or data[at + HEAD + size : at + HEAD + size + 1] != b"\n":
        return None
    payload = data[at + HEAD : at + HEAD + size]
    if b"%08x" % zlib.crc32(payload) != data[at : at + 8]:
        return None
    return json.loads(payload), at + HEAD + size + 1


def read_length(data: bytes, at: int) -> int | None:
    head = data[at : at + HEAD]
    if len(head) < HEAD or head[8:9] != b" " or head[17:] != b" ":
        return None
    try:
        return int(head[9:17], 16)
    except ValueError:
        return None


def lines(data: bytes, name: str) -> Iterator[tuple[Any, int]]:
    """Each whole line and where it ends; Corrupt where what follows a broken one shows it was whole once."""
    at = 0
    while at < len(data):
        found = read_line(data, at)
        if found is None:
            if more_follows(data, at):
                raise Corrupt(f"{name} is damaged at byte {at}, and whole batches follow")
            return
        yield found
        at = found[1]


def more_follows(data: bytes, at: int) -> bool:
    """Whether anything was written behind the line at this place, which is not whole."""
    size = read_length(data, at)
    if size is not None and at + HEAD + size + 1 < len(data):
        return True
    while (at := data.find(b"\n", at) + 1) > 0:
        if read_line(data, at) is not None:
            return True
    return False


class Log:
    """The store's batches on disk. One process at a time holds the folder."""

    def __init__(self, folder: pathlib.Path, history: int = HISTORY, compact_at: int = COMPACT_AT) -> None:
        self.folder, self.compact_at = folder, compact_at
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise Corrupt(f"{folder} is in use by another process") from error
        self.file, self.size, self.seq = -1, 0, 0
        self.broken = ""  # why nothing can be appended to this file any more
        self.cut = 0  # bytes of a half-written batch that the start took away
        self.fresh = False  # the folder held no list
        self.store = Store(history)
        try:
            self.load(history)
        except BaseException:
            self.close()
            raise

    # reading, at the start

    def load(self, history: int) -> None:
        for left in self.folder.glob("*.new"):
            left.unlink()  # half of a snapshot or of a log: the ones that it was to replace are still there
        snapshot, path = self.folder / "snapshot", self.folder / "log"
        self.fresh = not snapshot.exists() and not path.exists()
        if snapshot.exists():
            self.load_snapshot(snapshot.read_bytes(), history)
        if self.fresh:
            return self.begin_log()
        if not path.exists():
            raise Corrupt(f"{path} is missing beside a snapshot")
        stale = self.load_log(path.read_bytes())
        if stale:
            return self.begin_log()
        self.file = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        if self.cut:
            self.cut_tail(path)
        return None

    def load_snapshot(self, data: bytes, history: int) -> None:
        found = read_line(data, 0)
        if found is None or found[1] != len(data):
            raise Corrupt(f"{self.folder / 'snapshot'} is damaged")
        loaded = found[0]
        self.check_form(loaded, "snapshot")
        try:
            self.seq, self.store = int(loaded["seq"]), Store.from_json(loaded["list"], history)
        except (KeyError, TypeError, ValueError, BadForm) as error:
            raise Corrupt(f"{self.folder / 'snapshot'} holds no list: {error}") from error

    def load_log(self, data: bytes) -> bool:
        """Replays it; True where the snapshot held all of it already."""
        name = str(self.folder / "log")
        batches = lines(data, name)
        first = next(batches, None)
        if first is None:
            raise Corrupt(f"{name} has no beginning")
        self.check_form(first[0], "log")
        self.size, seen = first[1], int(first[0]["after"])
        if seen > self.seq:
            raise Corrupt(f"{name} begins after batch {seen}, the snapshot ends with {self.seq}")
        for batch, end in batches:
            seen += 1
            self.replay(batch, seen, name)
            self.size = end
        self.cut = len(data) - self.size
        stale = seen < self.seq or (seen == self.seq and int(first[0]["after"]) < seen)
        self.seq = max(self.seq, seen)
        return stale

    def replay(self, batch: Any, expected: int, name: str) -> None:
        try:
            if batch["seq"] != expected:
                raise Corrupt(f"{name} has batch {batch['seq']} in the place of {expected}")
            if expected > self.seq:
                self.store.apply(record_from_json(r) for r in batch["records"])
        except (KeyError, TypeError, BadForm) as error:
            raise Corrupt(f"{name}, batch {expected}: {error}") from error

    def check_form(self, loaded: Any, what: str) -> None:
        if not isinstance(loaded, dict) or loaded.get("form") != FORM:
            raise Corrupt(f"{self.folder / what} is of another form than {FORM}")

    def cut_tail(self, path: pathlib.Path) -> None:
        log.warning("the last %d bytes of %s are half a batch, never answered: cut", self.cut, path)
        os.ftruncate(self.file, self.size)
        os.fsync(self.file)

    # writing

    def append(self, records: list[Record]) -> None:
        """Stores a batch; once this returns it outlives the process. NotWritten leaves all as it was."""
        if self.broken:
            raise NotWritten(self.broken)
        line = line_of({"seq": self.seq + 1, "records": [record_to_json(r) for r in records]})
        try:
            write_at(self.file, line, self.size)
        except OSError as error:
            self.take_back()
            raise NotWritten(f"the log: {error.strerror}") from error
        try:
            os.fdatasync(self.file)
        except OSError as error:  # what the disk holds now is not known, nor would a second try tell
            self.take_back()
            self.broken = f"the log could not be synced: {error.strerror}"
            raise NotWritten(self.broken) from error
        self.seq += 1
        self.size += len(line)

    def take_back(self) -> None:
        try:
            os.ftruncate(self.file, self.size)
        except OSError as error:
            self.broken = f"the log could not be cut after a failed write: {error.strerror}"

    def recover(self, content: dict[str, Any]) -> None:
        """After a failed sync: this list as a snapshot, and a log behind it, in new files; NotWritten if not.

        What the old file holds is not known, and a second sync of it would not tell. New ones that were
        synced whole do not rest on it.
        """
        try:
            self.compact(content)
        except NotWritten as error:
            raise NotWritten(f"{self.broken}; and new files: {error}") from error
        log.warning("the log is written anew, as this had failed: %s", self.broken)
        self.broken = ""

    def due(self) -> bool:
        return self.size >= self.compact_at and not self.broken

    def compact(self, content: dict[str, Any]) -> None:
        """Makes this list the snapshot, and begins the log anew behind it."""
        try:
            self.replace("snapshot", line_of({"form": FORM, "seq": self.seq, "list": content}))
            self.begin_log()
        except OSError as error:
            raise NotWritten(f"the snapshot: {error.strerror}") from error

    def begin_log(self) -> None:
        line = line_of({"form": FORM, "after": self.seq})
        self.replace("log", line)
        if self.file >= 0:
            os.close(self.file)
        self.file, self.size = os.open(self.folder / "log", os.O_WRONLY | os.O_CLOEXEC), len(line)

    def replace(self, name: str, content: bytes) -> None:
        """Puts a file in the place of another so that at any moment one of them is there, whole."""
        new = self.folder / f"{name}.new"
        file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        try:
            write_at(file, content, 0)
            os.fsync(file)
        finally:
            os.close(file)
        os.rename(new, self.folder / name)
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        for file in (self.file, self.lock):
            if file >= 0:
                os.close(file)
        self.file = self.lock = -1


def write_at(file: int, content: bytes, at: int) -> None:
    """All of it: a disk that fills up takes a part first."""
    view = memoryview(content)
    while view:
        written = os.pwrite(file, view, at)
        view, at = view[written:], at + written
