"""The list's folder: what was stored is there after any end, a torn tail is cut, damage before it is told."""

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
from tests.test_directory_store import NOW, process

ROOT = pathlib.Path(__file__).parent.parent


def add(log: Log, id: str, more: int = 0) -> None:
    draft = Draft(log.store, NOW)
    for number in range(more + 1):
        draft.register(f"{id}{number or ''}", process("p"), Condition(must_be_absent=True))
    log.append(draft.records)
    log.store.apply(draft.records)


def ids(folder: pathlib.Path) -> list[str]:
    log = Log(folder)
    found = list(log.store.states)
    log.close()
    return found


def filled(folder: pathlib.Path, *names: str) -> bytes:
    log = Log(folder)
    for name in names:
        add(log, name, 2)
    log.close()
    return (folder / "log").read_bytes()


def test_what_was_stored_is_there_again(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    assert log.is_new
    add(log, "a")
    add(log, "b")
    before = log.store.to_json()
    log.close()
    again = Log(tmp_path)
    assert not again.is_new and again.store.to_json() == before and again.last_batch == 2
    again.close()


def test_a_tail_torn_at_any_byte_is_cut_and_writing_goes_on(tmp_path: pathlib.Path) -> None:
    whole = filled(tmp_path, "a", "b")
    start = len(whole) - len(whole.splitlines(keepends=True)[-1])
    for size in range(start, len(whole)):
        (tmp_path / "log").write_bytes(whole[:size])
        log = Log(tmp_path)
        assert list(log.store.states) == ["a", "a1", "a2"] and log.truncated_bytes == size - start
        add(log, "c")
        log.close()
        assert ids(tmp_path) == ["a", "a1", "a2", "c"]


@pytest.mark.parametrize("tail", [b"\0" * 400, b"x" * 400, b"\n\n\n", b"00000000 00000004 null\n"])
def test_a_tail_of_rubbish_is_cut(tmp_path: pathlib.Path, tail: bytes) -> None:
    whole = filled(tmp_path, "a")
    (tmp_path / "log").write_bytes(whole + tail)
    assert ids(tmp_path) == ["a", "a1", "a2"] and (tmp_path / "log").read_bytes() == whole


def test_damage_at_any_byte_before_the_last_batch_stops_the_start(tmp_path: pathlib.Path) -> None:
    whole = filled(tmp_path, "a", "b")
    last = len(whole) - len(whole.splitlines(keepends=True)[-1])
    for place in range(last):
        damaged = bytearray(whole)
        damaged[place] ^= 0x15
        (tmp_path / "log").write_bytes(bytes(damaged))
        with pytest.raises(StorageUnusable, match="log"):
            Log(tmp_path)
        assert (tmp_path / "log").read_bytes() == bytes(damaged)  # nothing is cut away in silence


def test_a_batch_that_is_missing_or_stands_twice_stops_the_start(tmp_path: pathlib.Path) -> None:
    head, one, two, three = filled(tmp_path, "a", "b", "c").splitlines(keepends=True)
    for wrong in (head + one + three, head + one + one + two, one + two, b""):
        (tmp_path / "log").write_bytes(wrong)
        with pytest.raises(StorageUnusable):
            Log(tmp_path)


def test_a_folder_is_held_by_one_process(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    with pytest.raises(StorageUnusable, match="in use"):
        Log(tmp_path)
    log.close()
    Log(tmp_path).close()


def test_a_snapshot_takes_the_place_of_the_log(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path, compact_at=1)
    add(log, "a")
    assert log.needs_compaction()
    before = log.store.to_json()
    log.compact(before)
    add(log, "b")
    log.close()
    assert len((tmp_path / "log").read_bytes().splitlines()) == 2
    again = Log(tmp_path)
    assert (
        list(again.store.states) == ["a", "b"] and again.store.records_after(before["generation"]) is not None
    )
    again.close()


@pytest.mark.parametrize("stop", ["snapshot", "log"])
def test_an_end_at_any_step_of_a_snapshot_loses_nothing(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, stop: str
) -> None:
    log = Log(tmp_path)
    add(log, "a")
    rename = os.rename

    def ends(source: pathlib.Path, target: pathlib.Path) -> None:
        if target.name == stop:
            raise OSError(5, "the end")
        rename(source, target)

    monkeypatch.setattr(os, "rename", ends)
    with pytest.raises(WriteFailed):
        log.compact(log.store.to_json())
    add(log, "b")
    log.close()
    monkeypatch.setattr(os, "rename", rename)
    assert ids(tmp_path) == ["a", "b"] and ids(tmp_path) == ["a", "b"]
    assert not list(tmp_path.glob("*.new"))


def test_a_log_or_a_snapshot_that_is_gone_or_damaged_stops_the_start(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    add(log, "a")
    log.compact(log.store.to_json())
    add(log, "b")
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


def test_a_full_disk_fails_the_write_and_leaves_what_was_there(tmp_path: pathlib.Path) -> None:
    log = Log(tmp_path)
    add(log, "a")
    size = log.size
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size + 50, before[1]))  # a part of the batch still fits
    try:
        with pytest.raises(WriteFailed):
            add(log, "b")
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)
    assert (tmp_path / "log").stat().st_size == size
    add(log, "c")
    log.close()
    assert ids(tmp_path) == ["a", "c"]


def test_after_a_failed_sync_nothing_is_written_any_more(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = Log(tmp_path)
    add(log, "a")

    def fails(file: int) -> None:
        raise OSError(5, "the disk")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", fails)
        with pytest.raises(WriteFailed):
            add(log, "b")
    with pytest.raises(WriteFailed, match="synced"):  # what the disk holds is not known
        add(log, "c")
    log.close()
    assert ids(tmp_path) == ["a"]


KILLED = """
import os, signal, sys, pathlib
sys.path.insert(0, {root!r})
from tests.test_directory_log import Log, add
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
    add(log, f"i{{number}}", 1)
    print(number, flush=True)
    if number % 2:
        log.compact(log.store.to_json())
print("end", flush=True)
"""


def test_a_kill_at_any_step_of_a_write_or_a_snapshot_keeps_what_was_acknowledged(
    tmp_path: pathlib.Path,
) -> None:
    killed = 0
    for step in range(60):
        folder = tmp_path / str(step)
        code = KILLED.format(root=str(ROOT))
        done = subprocess.run(
            [sys.executable, "-c", code, str(folder), str(step)],
            text=True,
            timeout=60,
            capture_output=True,
            check=False,
            cwd=ROOT,
        )
        said = done.stdout.split()
        answered = [f"i{n}" for n in said if n != "end"]
        found = ids(folder)
        assert [f for f in found if not f.endswith("1") or f == "i1"][
            : len(answered)
        ] == answered, done.stderr
        assert len(found) % 2 == 0 and len(found) - 2 * len(answered) in (
            0,
            2,
        )  # whole batches, one more at most
        if said[-1:] == ["end"]:
            break
        assert done.returncode == -signal.SIGKILL, done.stderr
        killed += 1
    assert killed > 20 and said[-1:] == ["end"]


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
def test_after_a_failed_sync_the_list_goes_on_in_new_files(
    error: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old file's content is not known; what was acknowledged stands in the new ones, and writes go on."""
    log = Log(tmp_path)
    add(log, "a")

    def fails(file: int) -> None:
        raise OSError(error, "the disk")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", fails)
        with pytest.raises(WriteFailed):
            add(log, "b")
        patch.setattr(os, "fsync", fails)
        with pytest.raises(WriteFailed, match="new files"):
            log.recover(log.store.to_json())
        with pytest.raises(WriteFailed, match="synced"):
            add(log, "b")
    assert (tmp_path / "snapshot").exists() is False
    log.recover(log.store.to_json())
    add(log, "c")
    log.close()
    assert ids(tmp_path) == ["a", "c"]


def test_a_half_made_recovery_leaves_what_was_acknowledged(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The snapshot is new and the log is still the old one, whose last batch was never acknowledged."""
    log = Log(tmp_path)
    add(log, "a")
    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", lambda file: (_ for _ in ()).throw(OSError(errno.EIO, "the disk")))
        with pytest.raises(WriteFailed):
            add(log, "b")
        patch.setattr(Log, "start_new_log", lambda log: (_ for _ in ()).throw(OSError(errno.ENOSPC, "full")))
        with pytest.raises(WriteFailed):
            log.recover(log.store.to_json())
    log.close()
    assert ids(tmp_path) == ["a"]
