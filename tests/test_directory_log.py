"""The log on disk: acknowledged batches survive, an incomplete last one is truncated, damage is reported."""

from __future__ import annotations

import errno
import os
import pathlib
import resource
import signal
import subprocess
import sys

import pytest

from embersill.directory.logfile import Log, StorageUnusable, WriteFailed
from embersill.directory.store import Condition, Draft
from tests.test_directory_store import NOW, registration

ROOT = pathlib.Path(__file__).parent.parent


def add_batch(log: Log, id: str, more: int = 0) -> None:
    """Appends and applies a batch that registers an id, and so many others named after it."""
    draft = Draft(log.store, NOW)
    for number in range(more + 1):
        draft.register(f"{id}{number or ''}", registration("p"), Condition(must_be_absent=True))
    log.append(draft.records)
    log.store.apply(draft.records)


def stored_ids(folder: pathlib.Path) -> list[str]:
    """The ids in the list that this directory holds."""
    log = Log(folder)
    found = list(log.store.states)
    log.close()
    return found


def fill_log(folder: pathlib.Path, *names: str) -> bytes:
    """Stores a batch of three registrations for each name; the log's content."""
    log = Log(folder)
    for name in names:
        add_batch(log, name, 2)
    log.close()
    return (folder / "log").read_bytes()


def test_a_reopened_log_holds_what_was_stored(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    assert log.is_new
    add_batch(log, "a")
    add_batch(log, "b")
    before = log.store.to_json()
    log.close()
    again = Log(tmp_path)
    assert not again.is_new and again.store.to_json() == before and again.last_batch == 2
    again.close()


def test_a_batch_cut_off_at_any_byte_is_truncated_and_writes_continue(tmp_path: pathlib.Path) -> None:
    intact = fill_log(tmp_path, "a", "b")
    start = len(intact) - len(intact.splitlines(keepends=True)[-1])
    for size in range(start, len(intact)):
        (tmp_path / "log").write_bytes(intact[:size])
        log = Log(tmp_path)
        assert list(log.store.states) == ["a", "a1", "a2"] and log.truncated_bytes == size - start
        add_batch(log, "c")
        log.close()
        assert stored_ids(tmp_path) == ["a", "a1", "a2", "c"]


@pytest.mark.parametrize("tail", [b"\0" * 400, b"x" * 400, b"\n\n\n", b"00000000 00000004 null\n"])
def test_garbage_after_the_last_batch_is_truncated(tmp_path: pathlib.Path, tail: bytes) -> None:
    intact = fill_log(tmp_path, "a")
    (tmp_path / "log").write_bytes(intact + tail)
    assert stored_ids(tmp_path) == ["a", "a1", "a2"] and (tmp_path / "log").read_bytes() == intact


def test_damage_at_any_byte_before_the_last_batch_stops_the_start(tmp_path: pathlib.Path) -> None:
    intact = fill_log(tmp_path, "a", "b")
    last = len(intact) - len(intact.splitlines(keepends=True)[-1])
    for place in range(last):
        damaged = bytearray(intact)
        damaged[place] ^= 0x15
        (tmp_path / "log").write_bytes(bytes(damaged))
        with pytest.raises(StorageUnusable, match="log"):
            Log(tmp_path)
        assert (tmp_path / "log").read_bytes() == bytes(damaged)  # nothing is truncated silently


def test_a_missing_or_repeated_batch_stops_the_start(tmp_path: pathlib.Path) -> None:
    head, one, two, three = fill_log(tmp_path, "a", "b", "c").splitlines(keepends=True)
    for wrong in (head + one + three, head + one + one + two, one + two, b""):
        (tmp_path / "log").write_bytes(wrong)
        with pytest.raises(StorageUnusable):
            Log(tmp_path)


def test_a_directory_is_locked_by_one_process(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    with pytest.raises(StorageUnusable, match="in use"):
        Log(tmp_path)
    log.close()
    Log(tmp_path).close()


def test_a_snapshot_replaces_the_batches_of_the_log(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path, compact_at=1)
    add_batch(log, "a")
    assert log.needs_compaction()
    before = log.store.to_json()
    log.compact(before)
    add_batch(log, "b")
    log.close()
    assert len((tmp_path / "log").read_bytes().splitlines()) == 2
    again = Log(tmp_path)
    assert (
        list(again.store.states) == ["a", "b"] and again.store.records_after(before["generation"]) is not None
    )
    again.close()


@pytest.mark.parametrize("stop", ["snapshot", "log"])
def test_a_failure_at_any_step_of_a_snapshot_loses_nothing(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, stop: str
) -> None:
    log = Log(tmp_path)
    add_batch(log, "a")
    rename = os.rename

    def failing_rename(source: pathlib.Path, target: pathlib.Path) -> None:
        if target.name == stop:
            raise OSError(5, "the end")
        rename(source, target)

    monkeypatch.setattr(os, "rename", failing_rename)
    with pytest.raises(WriteFailed):
        log.compact(log.store.to_json())
    add_batch(log, "b")
    log.close()
    monkeypatch.setattr(os, "rename", rename)
    assert stored_ids(tmp_path) == ["a", "b"] and stored_ids(tmp_path) == ["a", "b"]
    assert not list(tmp_path.glob("*.new"))


def test_a_missing_or_damaged_log_or_snapshot_stops_the_start(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    add_batch(log, "a")
    log.compact(log.store.to_json())
    add_batch(log, "b")
    log.close()
    snapshot, tail = (tmp_path / "snapshot").read_bytes(), (tmp_path / "log").read_bytes()
    for name, content in (
        ("snapshot", snapshot[:-9] + b"x" + snapshot[-8:]),
        ("snapshot", b""),
        ("log", None),
        ("snapshot", None),
    ):
        (tmp_path / "snapshot").write_bytes(snapshot)
        (tmp_path / "log").write_bytes(tail)
        if content is None:
            (tmp_path / name).unlink()
        else:
            (tmp_path / name).write_bytes(content)
        with pytest.raises(StorageUnusable):
            Log(tmp_path)


def test_a_full_disk_fails_the_write_and_keeps_stored_batches(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    add_batch(log, "a")
    size = log.size
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size + 50, before[1]))  # part of the batch still fits
    try:
        with pytest.raises(WriteFailed):
            add_batch(log, "b")
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)
    assert (tmp_path / "log").stat().st_size == size
    add_batch(log, "c")
    log.close()
    assert stored_ids(tmp_path) == ["a", "c"]


def test_after_a_failed_sync_the_log_refuses_writes(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = Log(tmp_path)
    add_batch(log, "a")

    def failing_sync(file: int) -> None:
        raise OSError(5, "the disk")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", failing_sync)
        with pytest.raises(WriteFailed):
            add_batch(log, "b")
    with pytest.raises(WriteFailed, match="synced"):  # what is on disk is unknown
        add_batch(log, "c")
    log.close()
    assert stored_ids(tmp_path) == ["a"]


KILLED_WRITER = """
import os, signal, sys, pathlib
sys.path.insert(0, {root!r})
from tests.test_directory_log import Log, add_batch
step, end, pwrite = int(sys.argv[2]), iter(range(10**6)), os.pwrite

def counted(real):
    def call(*args):
        if next(end) == step:
            if real is pwrite:
                real(args[0], args[1][:len(args[1]) // 2], args[2])
            os.kill(os.getpid(), signal.SIGKILL)
        return real(*args)
    return call

log = Log(pathlib.Path(sys.argv[1]))
for name in ("pwrite", "fdatasync", "fsync", "rename", "ftruncate"):
    setattr(os, name, counted(getattr(os, name)))
for number in range(6):
    add_batch(log, f"i{{number}}", 1)
    print(number, flush=True)
    if number % 2:
        log.compact(log.store.to_json())
print("end", flush=True)
"""


def test_a_kill_at_any_step_of_a_write_or_a_snapshot_keeps_acknowledged_batches(
    tmp_path: pathlib.Path,
) -> None:
    killed = 0
    for step in range(60):
        folder = tmp_path / str(step)
        code = KILLED_WRITER.format(root=str(ROOT))
        done = subprocess.run(
            [sys.executable, "-c", code, str(folder), str(step)],
            text=True,
            timeout=60,
            capture_output=True,
            check=False,
            cwd=ROOT,
        )
        output = done.stdout.split()
        answered = [f"i{n}" for n in output if n != "end"]
        found = stored_ids(folder)
        assert [f for f in found if not f.endswith("1") or f == "i1"][
            : len(answered)
        ] == answered, done.stderr
        assert len(found) % 2 == 0 and len(found) - 2 * len(answered) in (
            0,
            2,
        )  # complete batches, at most one more than acknowledged
        if output[-1:] == ["end"]:
            break
        assert done.returncode == -signal.SIGKILL, done.stderr
        killed += 1
    assert killed > 20 and output[-1:] == ["end"]


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
def test_after_a_failed_sync_the_log_recovers_in_new_files(
    error: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old log's content is unknown; the new files hold what was acknowledged, and writes continue."""
    log = Log(tmp_path)
    add_batch(log, "a")

    def failing_sync(file: int) -> None:
        raise OSError(error, "the disk")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", failing_sync)
        with pytest.raises(WriteFailed):
            add_batch(log, "b")
        patch.setattr(os, "fsync", failing_sync)
        with pytest.raises(WriteFailed, match="new files"):
            log.recover(log.store.to_json())
        with pytest.raises(WriteFailed, match="synced"):
            add_batch(log, "b")
    assert (tmp_path / "snapshot").exists() is False
    log.recover(log.store.to_json())
    add_batch(log, "c")
    log.close()
    assert stored_ids(tmp_path) == ["a", "c"]


def test_an_incomplete_recovery_keeps_acknowledged_batches(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The snapshot is new, the log is still the old one, and its last batch was never acknowledged."""
    log = Log(tmp_path)
    add_batch(log, "a")
    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", lambda file: (_ for _ in ()).throw(OSError(errno.EIO, "the disk")))
        with pytest.raises(WriteFailed):
            add_batch(log, "b")
        patch.setattr(Log, "start_new_log", lambda log: (_ for _ in ()).throw(OSError(errno.ENOSPC, "full")))
        with pytest.raises(WriteFailed):
            log.recover(log.store.to_json())
    log.close()
    assert stored_ids(tmp_path) == ["a"]
