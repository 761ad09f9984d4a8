"""The log of the list that a process leaves for the next one: whole or not used, whatever fails."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import pathlib
import time
import zlib
from collections.abc import Callable
from dataclasses import replace

import pytest

from embersill.interface import BackendStatus
from embersill.net import list_log
from embersill.net.list_log import LIST_LOG_NAME, ListLog, ListLogReader
from embersill.net.list_position import ListPosition, ListSnapshot
from embersill.net.list_record import ListRecord, decode_records, encode_snapshot, merge_records
from embersill.net.listing import Entry, read_entry
from tests.bed import run
from tests.peers import SOON, entry

POSITION = ListPosition(7, 9, (("127.0.0.1", 8500),), 1.0, 2.0, (("127.0.0.1", 8600),))
LONG, LONGEST = 3200, 8500  # backends: the most that the pages name today, and those of the coming size


def make_entries(number: int) -> dict[str, Entry]:
    made = [read_entry(entry(f"backend-{n}", f"127.1.{n // 250}.{n % 250 + 1}:80")) for n in range(number)]
    return {e.backend.address: e for e in made}


def with_status(entry: Entry, status: BackendStatus) -> Entry:
    return replace(entry, backend=replace(entry.backend, status=status))


def change(entries: dict[str, Entry], log: ListLog, changed: Entry) -> None:
    """Applies a change as the feed does, and logs it."""
    if changed.backend.status is BackendStatus.REMOVED:
        entries.pop(changed.backend.address, None)
    else:
        entries[changed.backend.address] = changed
    log.append(ListRecord((changed,)))


async def settled(log: ListLog) -> None:
    async with asyncio.timeout(SOON):
        while log.descriptor < 0 or log.rewriting is not None:
            await asyncio.sleep(0.01)


def read(folder: pathlib.Path) -> ListSnapshot | None:
    return ListLogReader().read_from(str(folder))


def with_log(test: Callable[[ListLog, dict[str, Entry]], object], folder: pathlib.Path, number: int) -> None:
    async def inside() -> None:
        entries = make_entries(number)
        log = ListLog(str(folder), entries)
        log.start(POSITION)
        try:
            await test(log, entries)  # type: ignore[misc]
        finally:
            log.stop()

    run(inside)


@pytest.mark.parametrize("number", [0, 1, LONG, LONGEST])
def test_a_list_is_read_as_it_was_written(number: int, tmp_path: pathlib.Path) -> None:
    async def test(log: ListLog, entries: dict[str, Entry]) -> None:
        await settled(log)
        assert read(tmp_path) == ListSnapshot(POSITION, entries)

    with_log(test, tmp_path, number)


def test_changes_are_read_in_their_order_also_those_made_while_the_log_is_written(
    tmp_path: pathlib.Path
) -> None:
    async def test(log: ListLog, entries: dict[str, Entry]) -> None:
        names = list(entries)
        for number in range(40):
            draining = with_status(entries[names[-1 - number]], BackendStatus.DRAINING)
            change(entries, log, draining)
            change(entries, log, with_status(entries[names[number]], BackendStatus.REMOVED))
            await asyncio.sleep(0)
        last = POSITION._replace(generation=8)
        log.append(ListRecord(position=last, base=7))
        await settled(log)
        assert read(tmp_path) == ListSnapshot(last, entries)
        for number in range(40):
            change(entries, log, with_status(entries[names[-1 - number]], BackendStatus.SERVING))
        assert read(tmp_path) == ListSnapshot(last, entries)

    with_log(test, tmp_path, LONG)


def test_a_log_that_outgrows_its_list_is_written_anew(tmp_path: pathlib.Path) -> None:
    async def test(log: ListLog, entries: dict[str, Entry]) -> None:
        await settled(log)
        first = log.initial_bytes
        for number in range(4000):
            status = BackendStatus.DRAINING if number % 2 else BackendStatus.SERVING
            change(entries, log, with_status(entries["backend-3"], status))
            if number % 100 == 0:
                await asyncio.sleep(0.001)
        await settled(log)
        size = (tmp_path / LIST_LOG_NAME).stat().st_size
        assert size <= first + 2 * list_log.MIN_REWRITE_BYTES
        assert read(tmp_path) == ListSnapshot(POSITION, entries)
        assert os.listdir(tmp_path) == [LIST_LOG_NAME]

    with_log(test, tmp_path, 10)


def test_a_log_cut_off_anywhere_is_read_up_to_its_last_whole_record(tmp_path: pathlib.Path) -> None:
    entries = make_entries(3)
    whole = encode_snapshot(ListSnapshot(POSITION, entries))
    later = POSITION._replace(generation=8)
    drained = with_status(entries["backend-1"], BackendStatus.DRAINING)
    text = whole + ListRecord((drained,), position=later, base=7).encode()
    path = tmp_path / LIST_LOG_NAME
    for size in range(len(text) + 1):
        path.write_bytes(text[:size])
        found = read(tmp_path)
        if size < len(whole):
            assert found is None
        elif size < len(text):
            assert found == ListSnapshot(POSITION, entries)
        else:
            assert found == ListSnapshot(later, entries | {"backend-1": drained})


@pytest.mark.parametrize("damage", [
    b"", b"\n", b"\xff" * 4096, b"1 0 {}\n", b"2 3 {}\n", b"x" * 100 + b"\n", b"1 2\n", b"[]\n"])
def test_a_damaged_record_is_not_used_nor_what_follows_it(damage: bytes, tmp_path: pathlib.Path) -> None:
    entries = make_entries(3)
    whole = encode_snapshot(ListSnapshot(POSITION, entries))
    later = ListRecord(position=POSITION._replace(generation=8)).encode()
    path = tmp_path / LIST_LOG_NAME
    path.write_bytes(whole + damage + later)
    found = read(tmp_path)
    assert found is not None and found.position.generation == (7 if damage else 8)
    for place in range(0, len(whole), 7):
        path.write_bytes(whole[:place] + bytes([whole[place] ^ 1]) + whole[place + 1:] + later)
        assert read(tmp_path) is None


def test_a_record_with_a_valid_checksum_and_malformed_entries_is_not_used() -> None:
    messages: list[object] = [[], {}, {"entries": [[]]}, {"entries": [["b"] * 9]},
                              {"entries": 3},
                              {"entries": [], "position": {}}, {"entries": [], "position": 3}]
    for message in messages:
        text = json.dumps(message).encode()
        assert decode_records(b"1 %d %b\n" % (zlib.crc32(text), text)) == ([], 0)


def test_a_reader_reads_only_what_was_added(tmp_path: pathlib.Path) -> None:
    async def test(log: ListLog, entries: dict[str, Entry]) -> None:
        await settled(log)
        reader = ListLogReader()
        assert reader.read_from(str(tmp_path)) is not None
        offset = reader.offset
        change(entries, log, with_status(entries["backend-1"], BackendStatus.DRAINING))
        assert reader.read_from(str(tmp_path)) == ListSnapshot(POSITION, entries)
        assert offset < reader.offset < offset + 1024
        log.rewrite()  # another file
        await settled(log)
        assert reader.read_from(str(tmp_path)) == ListSnapshot(POSITION, entries)

    with_log(test, tmp_path, 200)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("partial", [0, 20])
def test_a_folder_that_fails_for_a_while_has_the_list_again_afterwards(
    error: int, partial: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each write fails after `partial` bytes; a copy for a successor does not need the folder."""
    write = os.write
    failing = False

    def fail(descriptor: int, text: bytes) -> int:
        in_folder = os.readlink(f"/proc/self/fd/{descriptor}").startswith(str(tmp_path))
        if not (failing and in_folder):
            return write(descriptor, text)
        write(descriptor, bytes(text)[:partial])
        raise OSError(error, os.strerror(error))

    async def test(log: ListLog, entries: dict[str, Entry]) -> None:
        nonlocal failing
        await settled(log)
        monkeypatch.setattr(os, "write", fail)
        before, failing = dict(entries), True
        change(entries, log, with_status(entries["backend-1"], BackendStatus.DRAINING))
        assert read(tmp_path) == ListSnapshot(POSITION, before)
        copy = log.open_copy()
        assert ListLogReader().read(copy) == ListSnapshot(POSITION, entries)
        await asyncio.sleep(1.2 * list_log.RETRY_DELAY)
        assert read(tmp_path) == ListSnapshot(POSITION, before)
        failing = False
        await settled(log)
        assert read(tmp_path) == ListSnapshot(POSITION, entries)
        assert os.listdir(tmp_path) == [LIST_LOG_NAME]

    with_log(test, tmp_path, 3)


def test_a_log_that_is_stopped_while_it_is_written_can_be_started_again_at_once(
    tmp_path: pathlib.Path
) -> None:
    async def test(log: ListLog, entries: dict[str, Entry]) -> None:
        await asyncio.sleep(0)
        assert log.new_descriptor >= 0
        log.stop()
        log.start(POSITION)
        await settled(log)
        assert read(tmp_path) == ListSnapshot(POSITION, entries)
        assert os.listdir(tmp_path) == [LIST_LOG_NAME]

    with_log(test, tmp_path, LONG)


def test_without_a_folder_a_copy_is_made_in_memory() -> None:
    async def test() -> None:
        entries = make_entries(3)
        log = ListLog(None, entries)
        log.start(POSITION)
        assert ListLogReader().read(log.open_copy()) == ListSnapshot(POSITION, entries)
        log.stop()

    run(test)


def test_a_log_replaced_by_another_process_is_written_again_with_the_next_change(
    tmp_path: pathlib.Path
) -> None:
    async def test(log: ListLog, entries: dict[str, Entry]) -> None:
        await settled(log)
        other = ListLog(str(tmp_path), make_entries(1))
        other.start(POSITION)
        await settled(other)
        other.stop()
        change(entries, log, with_status(entries["backend-1"], BackendStatus.DRAINING))
        async with asyncio.timeout(SOON):
            while read(tmp_path) != ListSnapshot(POSITION, entries):
                await asyncio.sleep(0.01)

    with_log(test, tmp_path, 3)


def test_times_of_before_the_machine_was_started_again_are_not_used(tmp_path: pathlib.Path) -> None:
    later = time.monotonic() + 1000.0
    left = ListSnapshot(POSITION._replace(requested_at=later, received_at=later), make_entries(1))
    (tmp_path / LIST_LOG_NAME).write_bytes(encode_snapshot(left))
    found = read(tmp_path)
    assert found is not None and found.position.received_at is None


def test_changes_are_merged_in_their_order() -> None:
    entries = make_entries(2)
    first, second = entries.values()
    gone = with_status(first, BackendStatus.REMOVED)
    records = [ListRecord((first, second)), ListRecord((gone,)), ListRecord(position=POSITION, base=6)]
    assert merge_records(records) == ListRecord((gone, second), False, POSITION, 6)
    whole = merge_records([*records, ListRecord((second,), is_full=True)])
    assert (whole.entries, whole.is_full) == ((second,), True)
