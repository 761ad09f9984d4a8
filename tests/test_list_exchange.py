"""Two processes of an upgrade: what either of them learns of the backends, the other obeys."""

from __future__ import annotations

import asyncio
import os
import pathlib
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from embersill.interface import BackendStatus, ListKind
from embersill.net import handover
from embersill.net.discovery import Discovery
from embersill.net.list_feed import SLICE_ENTRIES, ListFeed
from embersill.net.list_log import ListLogReader
from embersill.net.list_position import ListSource
from embersill.net.list_record import ListRecord
from embersill.net.listing import Entry, Listing, read_entry
from embersill.net.process_channel import Channel
from embersill.program import Program
from tests.bed import Bed, request, roomy_settings, run, running
from tests.peers import SOON, DiscoveryPeer, entry

BACKENDS = 3


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(SOON):
        while not done():
            await asyncio.sleep(0.005)


def status_of(program: Program, backend: str) -> BackendStatus | None:
    server = program.driver.gateway.servers.get(backend)
    return None if server is None else server.backend.status


async def until_status(program: Program, backend: str, status: BackendStatus) -> None:
    await until(lambda: status_of(program, backend) is status)


async def stop_following(program: Program) -> None:
    """Ends the process's own calls to discovery, as if its connection hung."""
    assert program.discovery_task is not None
    program.discovery_task.cancel()
    program.discovery.disconnect()
    await asyncio.sleep(0)


def upgrade_test(
    test: Callable[[Bed, Program, Program], Awaitable[None]], folder: pathlib.Path,
    prepare: Callable[[Bed], Awaitable[None]] | None = None,
) -> None:
    """Runs a test with both processes of an upgrade; `prepare`: called before the successor starts."""
    async def inside() -> None:
        async with running(BACKENDS, folder=str(folder)) as bed:
            if prepare is not None:
                await prepare(bed)
            second = await bed.successor(roomy_settings(), str(folder))
            try:
                await test(bed, bed.program, second)
            finally:
                await second.stop(0.0, 0.0)

    run(inside)


@pytest.mark.parametrize("learns", ["predecessor", "successor"])
def test_what_one_process_is_told_the_other_obeys(learns: str, tmp_path: pathlib.Path) -> None:
    """The other one's own connection to discovery hangs."""
    async def test(bed: Bed, first: Program, second: Program) -> None:
        told, other = (first, second) if learns == "predecessor" else (second, first)
        await stop_following(other)
        address = bed.backends[0].address
        await bed.discovery.change(entry("b0", address, "DRAINING"))
        await until(lambda: status_of(other, "b0") is BackendStatus.DRAINING)
        await bed.discovery.change(entry("b0", address, "DELETED"))
        await until(lambda: status_of(other, "b0") is None)
        await bed.discovery.change(entry("b0", bed.backends[1].address, started=1.0))
        await until(lambda: status_of(other, "b0") is BackendStatus.SERVING)
        host, _, port = bed.backends[1].address.rpartition(":")
        assert other.driver.pool.backends["b0"].address == (host, int(port))
        assert other.discovery.position == told.discovery.position
        client = await bed.client()
        for number in range(20):
            assert (await client.ask(request(number, units="1")))[0] == 200
        assert not bed.backends[0].seen

    upgrade_test(test, tmp_path)


def test_what_the_predecessor_learns_after_its_hand_over_outlives_it(tmp_path: pathlib.Path) -> None:
    async def test(bed: Bed, first: Program, second: Program) -> None:
        await stop_following(second)
        await bed.discovery.change(entry("b0", bed.backends[0].address, "DRAINING"))
        await until(lambda: status_of(second, "b0") is BackendStatus.DRAINING)
        await first.stop(0.0, 0.0)
        bed.discovery.silent = True
        third = await bed.successor(roomy_settings(), str(tmp_path))
        assert status_of(third, "b0") is BackendStatus.DRAINING
        await third.stop(0.0, 0.0)

    upgrade_test(test, tmp_path)


def test_the_successor_tells_its_predecessor_what_that_has_missed(tmp_path: pathlib.Path) -> None:
    async def miss_a_change(bed: Bed) -> None:
        await stop_following(bed.program)
        await bed.discovery.change(entry("b0", bed.backends[0].address, "DRAINING"))

    async def test(bed: Bed, first: Program, second: Program) -> None:
        await until(lambda: status_of(first, "b0") is BackendStatus.DRAINING)
        assert first.discovery.position.generation == 2

    upgrade_test(test, tmp_path, miss_a_change)


def test_a_whole_list_is_sent_after_changes_could_not_be_sent(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(bed: Bed, first: Program, second: Program) -> None:
        await stop_following(second)
        send, failures = Channel.send, 3

        def fail(channel: Channel, message: dict[str, Any], *descriptors: int) -> bool:
            nonlocal failures
            failures -= message["say"] == "list"
            return False if message["say"] == "list" and failures >= 0 else send(
                channel, message, *descriptors)

        monkeypatch.setattr(Channel, "send", fail)
        for number in range(2):
            await bed.discovery.change(entry(f"b{number}", bed.backends[number].address, "DRAINING"))
            await until(lambda: first.discovery.newest_generation == bed.discovery.generation)
        await until(lambda: status_of(second, "b1") is BackendStatus.DRAINING)
        assert status_of(second, "b0") is BackendStatus.DRAINING and failures < 0
        assert second.discovery.position.generation == 3

    upgrade_test(test, tmp_path)


async def drain_and_go_silent(bed: Bed) -> None:
    await bed.discovery.change(entry("b0", bed.backends[0].address, "DRAINING"))
    await until(lambda: status_of(bed.program, "b0") is BackendStatus.DRAINING)
    bed.discovery.silent = True


def test_a_folder_that_fails_stops_no_upgrade_and_keeps_no_list_back(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write = os.write

    def fail(descriptor: int, text: bytes) -> int:
        if os.readlink(f"/proc/self/fd/{descriptor}").startswith(str(tmp_path)):
            raise OSError(28, "No space left on device")
        return write(descriptor, text)

    async def prepare(bed: Bed) -> None:
        monkeypatch.setattr(os, "write", fail)
        await drain_and_go_silent(bed)

    async def test(bed: Bed, first: Program, second: Program) -> None:
        assert first.handover.handed_over and second.front.is_ready()
        assert status_of(second, "b0") is BackendStatus.DRAINING
        assert second.discovery.source is ListSource.PEER

    upgrade_test(test, tmp_path, prepare)


def test_a_state_that_cannot_be_copied_keeps_no_list_back(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A file in memory takes a descriptor, of which there may be none; the list is in the log as well."""
    async def prepare(bed: Bed) -> None:
        monkeypatch.setattr(handover, "create_memory_file", lambda text: -1)
        await drain_and_go_silent(bed)

    async def test(bed: Bed, first: Program, second: Program) -> None:
        assert first.handover.handed_over and second.front.is_ready()
        assert status_of(second, "b0") is BackendStatus.DRAINING
        assert second.discovery.source is ListSource.LIST_LOG

    upgrade_test(test, tmp_path, prepare)


def test_a_predecessor_that_hangs_for_longer_than_is_waited_has_left_its_list(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(handover, "TAKE_OVER_TIMEOUT", 0.2)

    async def prepare(bed: Bed) -> None:
        bed.program.handover.stop_listening()
        monkeypatch.setattr(bed.program.handover, "hand_over", lambda console: None)
        bed.program.handover.listen()
        caplog.set_level("INFO", logger="embersill")
        await drain_and_go_silent(bed)

    async def test(bed: Bed, first: Program, second: Program) -> None:
        assert not first.handover.handed_over and second.front.is_ready()
        assert status_of(second, "b0") is BackendStatus.DRAINING
        logged = [line for line in caplog.messages if line.startswith("this process goes by")]
        assert len(logged) == 1 and logged[0].startswith("this process goes by list 2 (list log, ")
        assert "the predecessor did not hand over in 0.2 s" in caplog.messages
        second.discovery.connection = None

    upgrade_test(test, tmp_path, prepare)


def test_a_predecessor_of_a_version_without_lists_gets_none_and_the_log_says_so(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    sent: list[str] = []
    send = Channel.send

    def send_as_before(channel: Channel, message: dict[str, Any], *descriptors: int) -> bool:
        sent.append(message["say"])
        without = {key: value for key, value in message.items() if key != "lists"}
        return send(channel, without, *descriptors[:2])

    async def prepare(bed: Bed) -> None:
        monkeypatch.setattr(Channel, "send", send_as_before)
        monkeypatch.setattr(ListLogReader, "read_from", lambda reader, directory: None)
        caplog.set_level("INFO", logger="embersill")
        await drain_and_go_silent(bed)

    async def test(bed: Bed, first: Program, second: Program) -> None:
        assert first.handover.handed_over and second.front.is_ready()
        expected = "the predecessor hands over no list: this process goes by list 1 (configuration, "
        assert any(line.startswith(expected) for line in caplog.messages)
        bed.discovery.silent = False
        await bed.discovery.change(entry("b1", bed.backends[1].address, "DRAINING"))
        await asyncio.sleep(0.1)
        assert "list" not in sent

    upgrade_test(test, tmp_path, prepare)


def test_a_process_that_serves_on_keeps_its_list_for_a_next_successor(tmp_path: pathlib.Path) -> None:
    async def test(bed: Bed, first: Program, second: Program) -> None:
        await second.front.stop_listening()
        second.handover.close()
        await until(lambda: not first.handover.handed_over)
        await stop_following(second)
        await drain_and_go_silent(bed)
        third = await bed.successor(roomy_settings(), str(tmp_path))
        assert first.handover.handed_over and status_of(third, "b0") is BackendStatus.DRAINING
        await third.stop(0.0, 0.0)

    upgrade_test(test, tmp_path)


@pytest.mark.parametrize("content", [b"", b"no record\n", b"\xff" * 100])
def test_a_malformed_list_message_is_ignored(content: bytes, tmp_path: pathlib.Path) -> None:
    async def test(bed: Bed, first: Program, second: Program) -> None:
        position = second.discovery.position
        first.lists.send_records(content)
        await asyncio.sleep(0.05)
        assert second.discovery.position == position and second.front.is_ready()
        await bed.discovery.change(entry("b0", bed.backends[0].address, "DRAINING"))
        await until(lambda: status_of(second, "b0") is BackendStatus.DRAINING)

    upgrade_test(test, tmp_path)


def long_entries(number: int) -> dict[str, Entry]:
    made = [read_entry(entry(f"b{n}", f"127.1.{n // 250}.{n % 250 + 1}:80")) for n in range(number)]
    return {e.backend.address: e for e in made}


def drained(made: Entry) -> Entry:
    return replace(made, backend=replace(made.backend, status=BackendStatus.DRAINING))


def test_a_replica_behind_its_leader_does_not_take_back_what_the_predecessor_was_told(
    tmp_path: pathlib.Path,
) -> None:
    """The successor asks it after the predecessor's last answer, so by time its list is the newer one."""
    async def test() -> None:
        async with running(BACKENDS, folder=str(tmp_path)) as bed:
            replica = DiscoveryPeer()
            replica.entries = dict(bed.discovery.entries)
            replica.headers = ["Directory-Role: follower"]
            await replica.start()
            await bed.discovery.change(entry("b0", bed.backends[0].address, "DRAINING"))
            await until(lambda: status_of(bed.program, "b0") is BackendStatus.DRAINING)
            known = {"generation": 1, "reset": True, "instances": list(replica.entries.values())}
            second = await bed.successor(
                roomy_settings(), str(tmp_path), known=known,
                discovery=[replica.address, bed.discovery.address])
            bed.discovery.silent = True
            for program in (bed.program, second):
                assert status_of(program, "b0") is BackendStatus.DRAINING
            await asyncio.sleep(0.3)  # the whole list is asked for once more
            for program in (bed.program, second):
                assert status_of(program, "b0") is BackendStatus.DRAINING
            await second.stop(0.0, 0.0)
            await replica.stop()

    run(test)


async def restart_discovery(bed: Bed) -> None:
    """It counts from 1 again, with b0 serving; the predecessor, whose calls hang, was told list 2."""
    await bed.discovery.change(entry("b0", bed.backends[0].address, "DRAINING"))
    await until(lambda: status_of(bed.program, "b0") is BackendStatus.DRAINING)
    await stop_following(bed.program)
    bed.discovery.generation, bed.discovery.changes = 1, []
    bed.discovery.entries["b0"] = entry("b0", bed.backends[0].address)


def test_a_discovery_that_restarts_its_generations_is_asked_twice_and_obeyed(tmp_path: pathlib.Path) -> None:
    async def test(bed: Bed, first: Program, second: Program) -> None:
        for program in (second, first):
            await until_status(program, "b0", BackendStatus.SERVING)
            assert program.discovery.position.generation == 1
            assert program.discovery.position.highest == 2
        assert "since" not in bed.discovery.asked[-2] and not second.discovery.figures["list failed"]
        await bed.discovery.change(entry("b1", bed.backends[1].address, "DRAINING"))
        for program in (second, first):
            await until_status(program, "b1", BackendStatus.DRAINING)

    upgrade_test(test, tmp_path, restart_discovery)


def test_one_old_answer_to_the_successor_takes_nothing_back(tmp_path: pathlib.Path) -> None:
    """Discovery has the newer list when it is asked for the whole list once more."""
    async def prepare(bed: Bed) -> None:
        await restart_discovery(bed)
        bed.discovery.entries["b0"] = entry("b0", bed.backends[0].address, "DRAINING")
        bed.discovery.full_list_generation = 2

    async def test(bed: Bed, first: Program, second: Program) -> None:
        assert status_of(second, "b0") is BackendStatus.DRAINING
        await until(lambda: second.discovery.source is ListSource.DISCOVERY)
        assert second.discovery.position.generation == 2
        assert status_of(second, "b0") is status_of(first, "b0") is BackendStatus.DRAINING

    upgrade_test(test, tmp_path, prepare)


@pytest.mark.parametrize("form", ["change", "replace"])
def test_a_list_that_is_being_delivered_undoes_nothing_newer(form: str) -> None:
    """A long list is delivered in slices; between two of them a newer one comes from the other process."""
    async def test() -> None:
        statuses: dict[str, BackendStatus] = {}

        def on_list(listing: Listing) -> None:
            statuses.update({e.backend.address: e.backend.status for e in listing.entries})

        feed, entries = ListFeed(on_list), long_entries(10 * SLICE_ENTRIES)
        delivery = asyncio.create_task(feed.deliver(Listing(ListKind.FULL, 2, tuple(entries.values()))))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert 0 < len(statuses) < len(entries)
        last = list(entries)[-1]
        newer = drained(entries[last])
        if form == "change":
            feed.change(3, (newer,))
        else:
            feed.replace(3, entries | {last: newer})
        assert await delivery is (form == "change")
        assert len(statuses) == len(entries) and statuses[last] is BackendStatus.DRAINING
        assert feed.delivered == entries | {last: newer}

    run(test)


def test_an_answer_asked_for_before_a_newer_list_came_is_no_failure(tmp_path: pathlib.Path) -> None:
    async def test(bed: Bed, first: Program, second: Program) -> None:
        await stop_following(first)
        calls = len(bed.discovery.asked)
        await bed.discovery.until_asked(calls)
        later = second.discovery.position._replace(generation=9, highest=9)
        second.discovery.adopt(later, ListSource.DISCOVERY)
        await bed.discovery.change()  # the watch that is open gets generation 2
        await bed.discovery.until_asked(calls + 1)
        assert bed.discovery.asked[-1].startswith("GET /v1/endpoints?since=9&")
        assert not second.discovery.figures["list failed"] and not second.discovery.failing
        bed.discovery.generation = 9

    upgrade_test(test, tmp_path)


def test_partial_changes_leave_the_position_where_it_was(tmp_path: pathlib.Path) -> None:
    async def test(bed: Bed, first: Program, second: Program) -> None:
        await stop_following(second)
        own = second.discovery.position
        later = own._replace(
            generation=own.generation + 5, highest=own.generation + 5,
            requested_at=(own.received_at or 0.0) + 1.0, received_at=(own.received_at or 0.0) + 2.0)
        change = drained(second.discovery.feed.delivered["b0"])
        first.lists.send_records(ListRecord((change,), position=later, base=own.generation + 3).encode())
        await until(lambda: status_of(second, "b0") is BackendStatus.DRAINING)
        assert second.discovery.position == own
        first.lists.send_records(ListRecord((change,), position=later, base=own.generation).encode())
        await until(lambda: second.discovery.position == later)

    upgrade_test(test, tmp_path)


def test_discovery_calls_go_on_from_an_adopted_list() -> None:
    async def test() -> None:
        discovery = Discovery((("127.0.0.1", 9),), 0.1, lambda listing: None, 3)
        discovery.adopt(discovery.position._replace(generation=7, highest=7), ListSource.PEER)
        assert (discovery.generation, discovery.newest_generation) == (7, 7)
        elsewhere = discovery.position._replace(generation=50, discovery=(("127.0.0.1", 10),))
        discovery.adopt(elsewhere, ListSource.PEER)
        assert (discovery.generation, discovery.newest_generation) == (None, 0)

    run(test)
