"""The list service by its calls: reading, watching, writing, leases, followers, and ends of all kinds."""

from __future__ import annotations

import asyncio
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

import pytest

from embersill.directory import front, service
from embersill.directory.__main__ import Program
from embersill.directory.front import RateLimitedLog
from embersill.directory.logfile import WriteFailed
from embersill.directory.service import RECOVERY_INTERVAL
from embersill.lab.peers import HOST, read_message
from embersill.net.listing import read_listing
from tests.lists import ROOT, ListClient, Process, process, run, served
from tests.peers import SOON


def set_clock(program: Program, now: list[float]) -> None:
    """From here on the service goes by this time, at which its last tick was."""
    program.service.clock = lambda: now[0]
    program.service.leases.last_tick_at = now[0]


def ids(listing: Any) -> dict[str, str]:
    return {e["instanceId"]: e["lifecycle"] for e in listing["instances"]}


# reading


def test_the_whole_list_and_watches_are_in_discoverys_form(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            await calls.register(
                "a", "127.0.0.1:81", zone="z", machineType="m", cell=3, weight=2.5, startedAtMs=7
            )
            whole = await calls.list()
            assert whole["reset"] and whole["instances"] == [
                {
                    "instanceId": "a",
                    "hostPort": "127.0.0.1:81",
                    "zone": "z",
                    "machineType": "m",
                    "cell": 3,
                    "lifecycle": "SERVING",
                    "weight": 2.5,
                    "startedAtMs": 7,
                }
            ]
            assert read_listing(whole).entries[0].backend.rating == 2.5
            assert (await calls.list(whole["generation"])) == {
                "generation": whole["generation"],
                "reset": False,
                "instances": [],
            }
            watch = asyncio.create_task(calls.list(whole["generation"], 20_000))
            await calls.wait_for_status(lambda s: s["watchers"] == 1)
            await calls.drain("a")
            told = await watch
            assert (
                not told["reset"]
                and ids(told) == {"a": "DRAINING"}
                and told["generation"] > whole["generation"]
            )
            assert (await calls.list(5))["reset"]  # a version of no history here
            assert (await calls.list(told["generation"] + 10**9))["reset"]

    run(test)


def test_changes_between_two_watches_are_told_with_the_next(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            await calls.register("a")
            seen: list[str] = []
            known = (await calls.list())["generation"]

            async def watch_on() -> None:
                nonlocal known
                while "last" not in seen:
                    told = await calls.list(known, 20_000)
                    assert not told["reset"] and told["generation"] >= known
                    known = told["generation"]
                    seen.extend(e["instanceId"] for e in told["instances"])

            watcher = asyncio.create_task(watch_on())
            for number in range(30):
                await calls.register(f"i{number}")
            await calls.register("last")
            await watcher
            assert sorted(seen) == sorted([*(f"i{n}" for n in range(30)), "last"])  # each once, none missed

    run(test)


def test_changes_are_encoded_once_for_all_that_watch(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            await calls.register("a")
            at = (await calls.list())["generation"]
            watches = [asyncio.create_task(calls.list(at, 20_000)) for _ in range(50)]
            await calls.wait_for_status(lambda s: s["watchers"] == 50)
            before = program.service.figures["answers encoded"]
            await asyncio.gather(*(calls.register(f"b{n}") for n in range(10)))
            told = await asyncio.gather(*watches)
            assert all(t == told[0] for t in told) and ids(told[0])
            assert program.service.figures["answers encoded"] == before + 1

    run(test)


def test_watchers_beyond_the_limit_are_turned_away_and_those_who_leave_give_back_their_place(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        async with served(tmp_path, watchers=2) as (program, calls):
            await calls.register("a")
            at = (await calls.list())["generation"]
            watches = [asyncio.create_task(calls.list(at, 20_000)) for _ in range(2)]
            await calls.wait_for_status(lambda s: s["watchers"] == 2)
            status, told, headers = await calls.call("GET", f"/v1/endpoints?since={at}&timeout_ms=9000")
            assert status == 503 and 1 <= int(headers["retry-after"]) <= 5 and "no room" in told["error"]
            assert (await calls.list())["instances"]  # reading needs no place
            watches[0].cancel()
            await calls.wait_for_status(lambda s: s["watchers"] == 1)
            await calls.drain("a")
            assert ids(await watches[1]) == {"a": "DRAINING"}

    run(test)


def test_a_reader_that_does_not_read_and_one_that_says_nothing_are_ended(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        monkeypatch.setattr(front, "WRITE_TIMEOUT", 0.1)
        monkeypatch.setattr("embersill.directory.__main__.FIRST_REQUEST_TIMEOUT", 0.1)
        async with served(tmp_path) as (program, calls):
            for number in range(100):
                await calls.register(f"instance-{number:060d}", zone="z" * 64, machineType="m" * 64)
            host, _, port = calls.address.rpartition(":")
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            deaf = (await asyncio.open_connection(sock=sock))[1]
            deaf.transport.pause_reading()  # type: ignore[attr-defined]
            deaf.write(b"GET /v1/endpoints HTTP/1.1\r\nHost: x\r\n\r\n" * 400)
            mute = (await asyncio.open_connection(host, int(port)))[0]
            half, half_writer = await asyncio.open_connection(host, int(port))
            half_writer.write(b"GET /v1/endpo")
            for reader in (mute, half):
                async with asyncio.timeout(SOON):
                    with pytest.raises(ConnectionError):
                        assert not await reader.read()
                        raise ConnectionError
            assert program.runner.server is not None
            async with asyncio.timeout(SOON):
                while len(program.runner.server.connections) > 1:  # the test's own
                    await asyncio.sleep(0.01)
            deaf.transport.abort()

    run(test)


def test_a_list_that_began_anew_is_not_told_before_instances_had_time_to_register(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path, fill=10.0) as (program, calls):
            set_clock(program, now)
            status, _, headers = await calls.call("GET", "/v1/endpoints")
            assert status == 503 and "retry-after" in headers
            now[0] += 100.0  # nobody is there: an empty list would take all backends from every gateway
            assert (await calls.call("GET", "/v1/endpoints"))[0] == 503
            await calls.register("a")
            now[0] += 9.0
            assert (await calls.call("GET", "/ready"))[0] == 503
            assert (await calls.call("GET", "/v1/changes?after=0"))[0] == 503  # nor does a follower copy it
            now[0] += 2.0
            assert (
                ids(await calls.list()) == {"a": "SERVING"} and (await calls.call("GET", "/ready"))[0] == 200
            )
        async with served(tmp_path, fill=10.0) as (program, calls):
            assert ids(await calls.list()) == {"a": "SERVING"}  # this one did not lose its data

    run(test)


# writing


def test_writes_rest_on_a_version_and_can_be_repeated(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            body = {"hostPort": "127.0.0.1:81", "process": "p1"}
            status, shown, headers = await calls.call("PUT", "/v1/instances/a", body, absent=True)
            assert status == 201 and headers["etag"] == f'"{shown["version"]}"'
            assert (await calls.call("PUT", "/v1/instances/a", body, absent=True))[0] == 200
            assert (await calls.call("PUT", "/v1/instances/a", {**body, "process": "p2"}, absent=True))[
                0
            ] == 412
            assert (await calls.call("PUT", "/v1/instances/a", {**body, "process": "p2"}))[0] == 428
            old = shown["version"]
            renewed = await calls.call("POST", "/v1/instances/a/lease", {"process": "p1"})
            assert renewed[0] == 200 and renewed[1]["version"] == old
            status, shown, _ = await calls.call(
                "PUT", "/v1/instances/a", {**body, "process": "p2"}, match=old
            )
            assert status == 200 and shown["version"] > old and shown["process"] == "p2"
            assert (await calls.call("POST", "/v1/instances/a/lease", {"process": "p1"}))[0] == 412
            assert (await calls.call("POST", "/v1/instances/b/lease", {"process": "p1"}))[0] == 404
            own = {"process": "p2", "lifecycle": "DRAINING"}
            assert (await calls.call("PUT", "/v1/instances/a/lifecycle", own, match=old))[0] == 412
            status, shown, _ = await calls.call(
                "PUT", "/v1/instances/a/lifecycle", own, match=shown["version"]
            )
            assert status == 200 and shown["lifecycle"] == "DRAINING"
            assert (await calls.call("DELETE", "/v1/instances/a", match=old))[0] == 412
            assert (await calls.call("DELETE", "/v1/instances/a", match=shown["version"]))[0] == 200
            assert (await calls.call("DELETE", "/v1/instances/a", match=shown["version"]))[0] == 200
            assert (await calls.call("GET", "/v1/instances/a"))[0] == 404
            assert not (await calls.list())["instances"]

    run(test)


def test_staffs_drain_outlives_the_instance_and_the_service(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            await calls.register("a")
            await calls.drain("a")
            await calls.register("a", process="p2")
            assert ids(await calls.list()) == {"a": "DRAINING"}
            _, shown, _ = await calls.call("GET", "/v1/instances/a")
            assert shown["ownLifecycle"] == "SERVING" and shown["drain"]["by"] == "ann"
            await calls.call("DELETE", "/v1/instances/a", match=shown["version"])
        async with served(tmp_path) as (program, calls):
            await calls.register("a", process="p3")
            assert ids(await calls.list()) == {"a": "DRAINING"}
            _, told, _ = await calls.call("GET", "/v1/drains")
            version = told["drains"][0]["version"]
            assert (await calls.call("DELETE", "/v1/instances/a/drain", match=version))[0] == 200
            assert (await calls.call("DELETE", "/v1/instances/a/drain", match=version))[0] == 200
            assert ids(await calls.list()) == {"a": "SERVING"}

    run(test)


GOOD = {"hostPort": "127.0.0.1:81", "process": "p"}


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status"),
    [
        ("PUT", "/v1/instances/a", b"{", {}, 400),
        ("PUT", "/v1/instances/a", b"[]", {}, 400),
        ("PUT", "/v1/instances/a", b"\xff", {}, 400),
        ("PUT", "/v1/instances/a", b"[" * 9000, {}, 400),
        ("PUT", "/v1/instances/a", b'{"weight":NaN}', {}, 400),
        ("PUT", "/v1/instances/a%20b", GOOD, {}, 400),
        ("PUT", "/v1/instances/" + "a" * 129, GOOD, {}, 400),
        ("PUT", "/v1/instances/a", {**GOOD, "x": 1}, {}, 400),
        ("PUT", "/v1/instances/a", {**GOOD, "cell": "1"}, {}, 400),
        ("PUT", "/v1/instances/a", GOOD, {"If-Match": "7"}, 400),
        ("PUT", "/v1/instances/a", GOOD, {"If-Match": '"x"'}, 400),
        ("PUT", "/v1/instances/a", GOOD, {"If-None-Match": '"7"'}, 400),
        ("PUT", "/v1/instances/a", GOOD, {"If-None-Match": "*", "If-Match": '"7"'}, 400),
        ("PUT", "/v1/instances/a", GOOD, {"If-Match": '"7"'}, 412),
        ("PUT", "/v1/instances/a", b" " * 17000, {}, 413),
        ("POST", "/v1/instances/a/lease", {"process": 1}, {}, 400),
        ("POST", "/v1/instances/a/lease", {}, {}, 400),
        ("PUT", "/v1/instances/a/lifecycle", {"process": "p", "lifecycle": "GONE"}, {}, 400),
        ("PUT", "/v1/instances/a/drain", {"by": "x\n"}, {}, 400),
        ("PUT", "/v1/instances/a/drain", {"by": "x"}, {}, 404),
        ("DELETE", "/v1/instances/a", None, {"If-Match": '"7"'}, 404),
        ("GET", "/v1/nothing", None, {}, 404),
        ("POST", "/v1/endpoints", None, {}, 405),
        ("GET", "/v1/endpoints?since=-1", None, {}, 400),
        ("GET", "/v1/endpoints?since=x", None, {}, 400),
        ("GET", "/v1/endpoints?since=1&timeout_ms=60001", None, {}, 400),
        ("GET", "/v1/endpoints?since=" + "9" * 30, None, {}, 400),
        ("GET", "/v1/endpoints?since=1&timeout_ms=1.5", None, {}, 400),
        ("GET", "/v1/changes", None, {}, 400),
    ],
)
def test_calls_out_of_form_are_refused_with_a_reason_and_change_nothing(
    tmp_path: pathlib.Path, method: str, path: str, body: Any, headers: dict[str, str], status: int
) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            await calls.register("there")
            refused = program.service.figures[f"refused {status}"]
            before, size = program.service.store.to_json(), program.service.log.size
            found, told, _ = await calls.call(method, path, body, headers=headers)
            assert (found, bool(told["error"])) == (status, True)
            assert program.service.store.to_json() == before and program.service.log.size == size
            assert program.service.figures[f"refused {status}"] == refused + 1

    run(test)


def test_refused_calls_are_logged_at_a_bounded_rate(caplog: pytest.LogCaptureFixture) -> None:
    now = [0.0]
    lines = RateLimitedLog(lambda: now[0])
    for number in range(500):
        lines.warn(f"line {number}")
    assert len(caplog.records) == front.MAX_WINDOW_LINES
    now[0] += front.LOG_WINDOW
    lines.warn("one more")
    assert caplog.messages[-1] == f"one more ({500 - front.MAX_WINDOW_LINES} such lines before it left out)"


def test_what_is_no_http_is_refused_and_told_in_one_line_at_the_same_rate(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            caplog.clear()
            host, _, port = calls.address.rpartition(":")
            for number in range(3 * front.MAX_WINDOW_LINES):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/endpoints HTTP/1.1\r\nbad header %d\r\n\r\n" % number)
                async with asyncio.timeout(SOON):
                    assert b" 400 " in await reader.readline()
                writer.close()
            assert len(caplog.messages) == front.MAX_WINDOW_LINES and "bad header" in caplog.messages[0]
            assert not any(record.exc_info for record in caplog.records)

    run(test)


def test_a_wall_clock_that_jumps_ends_no_lease_and_takes_no_number_back(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            last = 0
            set_clock(program, [1000.0])
            for number, jump in enumerate((0.0, 86_400.0, -86_400.0, -(10**6), 0.0)):
                program.service.wall = lambda jump=jump: time.time() + jump  # type: ignore[misc]
                version = await calls.register(f"i{number}", leaseMs=1000)
                assert version > last
                last = version
                await program.service.check_leases()
            assert len((await calls.list())["instances"]) == 5 and not program.service.leases.expired(1000.9)

    run(test)


def test_a_write_that_can_not_be_stored_fails_and_reads_go_on(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            await calls.register("a")
            known = await calls.list()

            def full(records: Any) -> None:
                raise WriteFailed("no space")

            with monkeypatch.context() as patch:
                patch.setattr(program.service.log, "append", full)
                status, told, headers = await calls.call("PUT", "/v1/instances/b", GOOD, absent=True)
                assert status == 503 and "no space" in told["error"] and headers["retry-after"]
                assert await calls.list() == known
                assert (await calls.call("POST", "/v1/instances/a/lease", {"process": "p-a"}))[0] == 200
            await calls.register("b")
            assert ids(await calls.list(known["generation"])) == {"b": "SERVING"}

    run(test)


def test_writes_go_on_after_a_sync_that_failed_for_a_while(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path) as (program, calls):
            set_clock(program, now)
            await calls.register("a")

            def fails(file: int) -> None:
                raise OSError(5, "the disk")

            with monkeypatch.context() as patch:
                patch.setattr(os, "fdatasync", fails)
                patch.setattr(os, "fsync", fails)
                for _ in range(3):
                    now[0] += RECOVERY_INTERVAL
                    assert (await calls.call("PUT", "/v1/instances/b", GOOD, absent=True))[0] == 503
            now[0] += RECOVERY_INTERVAL
            await calls.register("c")
        async with served(tmp_path) as (program, calls):
            assert set(ids(await calls.list())) == {"a", "c"}

    run(test)


# leases


def test_leases_that_run_out_together_empty_nothing_until_an_operator_says_so(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path) as (program, calls):
            set_clock(program, now)
            for number in range(10):
                await calls.register(f"i{number}")
            for _ in range(40):  # a network cut: the ticks go on, no renewal comes
                now[0] += service.LEASE_CHECK_INTERVAL
                await program.service.check_leases()
            assert len((await calls.list())["instances"]) == 10
            status = await calls.wait_for_status(lambda s: s["leases"]["removal_held"])
            assert len(status["leases"]["run_out"]) == 10
            for number in range(8):
                await calls.call("POST", f"/v1/instances/i{number}/lease", {"process": f"p-i{number}"})
            assert (await calls.call("POST", "/v1/leases/resume"))[1] == {"removed": ["i8", "i9"]}
            assert len((await calls.list())["instances"]) == 8
            assert not (await calls.wait_for_status(lambda s: True))["leases"]["removal_held"]

    run(test)


def test_a_lone_lease_that_runs_out_is_told_as_deleted(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path) as (program, calls):
            set_clock(program, now)
            for number in range(10):
                await calls.register(f"i{number}", leaseMs=1000 if number == 3 else 600_000)
            at = (await calls.list())["generation"]
            for _ in range(3):
                now[0] += service.LEASE_CHECK_INTERVAL
                await program.service.check_leases()
            assert ids(await calls.list(at)) == {"i3": "DELETED"}

    run(test)


# followers


def test_a_follower_serves_what_the_leader_had_while_that_is_away(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with (
            process(tmp_path / "a") as (leader, calls),
            served(tmp_path / "b", follow=leader.address) as (program, copy),
        ):
            await calls.register("a")
            at = (await calls.list())["generation"]
            await copy.wait_for_status(lambda s: s["generation"] == at)
            watch = asyncio.create_task(copy.list(at, 20_000))
            await copy.wait_for_status(lambda s: s["watchers"] == 1)
            await calls.drain("a")
            assert ids(await watch) == {"a": "DRAINING"}
            status, told, headers = await copy.call("PUT", "/v1/instances/b", GOOD, absent=True)
            assert status == 421 and headers["leader"] == leader.address and leader.address in told["error"]
            known = await copy.list()
            await leader.kill()
            assert await copy.list() == known
            status = (await copy.call("GET", f"/v1/endpoints?since={known['generation'] + 1}"))[0]
            assert status == 503  # a reader that has more is not told less
            behind = (await copy.wait_for_status(lambda s: s["lag_s"] > 0.2))["lag_s"]
            assert (await copy.wait_for_status(lambda s: s["lag_s"] > behind))["ready"]
            async with process(tmp_path / "a", port=leader.port) as (_, calls):
                await calls.register("b")
                now = (await calls.list())["generation"]
                await copy.wait_for_status(lambda s: s["generation"] == now)
                assert ids(await copy.list(known["generation"])) == {"b": "SERVING"}  # one history went on

    run(test)


def test_a_follower_takes_a_newer_history_whole_and_never_an_older_one(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path / "a") as (leader, calls):
            await calls.register("a")
            await leader.kill(signal.SIGTERM)
        shutil.copytree(tmp_path / "a", tmp_path / "old")
        async with (
            process(tmp_path / "a", port=leader.port) as (again, calls),
            served(tmp_path / "b", follow=leader.address) as (program, copy),
        ):
            await calls.register("lost")
            lost = (await calls.list())["generation"]
            await copy.wait_for_status(lambda s: s["generation"] == lost)
            await again.kill()
            async with process(tmp_path / "old", port=leader.port) as (_, calls):
                now = await calls.list(lost)
                assert now["reset"] and now["generation"] > lost and ids(now) == {"a": "SERVING"}
                await copy.wait_for_status(lambda s: s["generation"] == now["generation"])
                told = await copy.list(lost)
                assert told["reset"] and ids(told) == {"a": "SERVING"}
                older = program.service.store.to_json() | {"generation": lost}
                with pytest.raises(Exception, match="older"):
                    await program.service.replace_list(older)
                assert (await copy.list())["generation"] == now["generation"]

    run(test)


def test_a_service_that_lost_its_data_counts_on(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path / "a") as (made, calls):
            await calls.register("a")
            at = (await calls.list())["generation"]
            await made.kill()
        shutil.rmtree(tmp_path / "a")
        async with process(tmp_path / "a", port=made.port) as (_, calls):
            assert (await calls.call("GET", f"/v1/endpoints?since={at}"))[
                0
            ] == 503  # it has nobody to tell of
            await calls.register("b")
            told = await calls.list(at)
            assert told["reset"] and told["generation"] > at and ids(told) == {"b": "SERVING"}

    run(test)


def test_a_copy_leads_only_where_that_is_said(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path / "a") as (leader, calls):
            await calls.register("a")
            at = (await calls.list())["generation"]
            async with process(tmp_path / "b", "--follow", leader.address) as (_, copy):
                await copy.wait_for_status(lambda s: s["generation"] == at)
        done = start(tmp_path / "b")
        assert done.returncode == 1 and "--promote" in done.stderr and len(done.stderr.splitlines()) == 1
        async with process(tmp_path / "b", "--promote") as (promoted, copy):
            await copy.register("b")
            told = await copy.list(at)
            assert not told["reset"] and ids(told) == {"b": "SERVING"} and told["generation"] > at
        async with process(tmp_path / "b") as (_, copy):
            assert ids(await copy.list()) == {"a": "SERVING", "b": "SERVING"}

    run(test)


# the process


def start(folder: pathlib.Path, *options: str, listen: str = f"{HOST}:0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "embersill.directory", "--listen", listen, "--data", str(folder), *options],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    "options",
    [
        ("--follow", "nowhere"),
        ("--follow", f"{HOST}:0"),
        ("--watchers", "0"),
        ("--watchers", "many"),
        ("--share", "2"),
        ("--fill", "-1"),
        ("--follow", f"{HOST}:1", "--promote"),
        ("--odd",),
    ],
)
def test_bad_use_is_told_and_ends_with_2(tmp_path: pathlib.Path, options: tuple[str, ...]) -> None:
    done = start(tmp_path, *options)
    assert done.returncode == 2 and "usage:" in done.stderr and "Traceback" not in done.stderr


def test_what_keeps_it_from_starting_is_told_in_one_line(tmp_path: pathlib.Path) -> None:
    (tmp_path / "file").write_text("x")
    (tmp_path / "damaged").mkdir()
    (tmp_path / "damaged" / "log").write_text("rubbish\n")
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        taken.listen()
        for folder, listen in (
            ("file", f"{HOST}:0"),
            ("damaged", f"{HOST}:0"),
            ("new", f"{HOST}:{taken.getsockname()[1]}"),
        ):
            done = start(tmp_path / folder, listen=listen)
            assert done.returncode == 1 and done.stderr.splitlines()[-1].startswith("embersill.directory: ")
            assert "Traceback" not in done.stderr


def test_a_kill_at_any_moment_keeps_what_was_answered(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        answered: list[str] = []
        last = 0
        for life in range(5):
            async with process(tmp_path) as (made, calls):
                await calls.register("first")
                told = await calls.list()
                assert told["generation"] > last and set(answered) <= set(ids(told))
                last = told["generation"]
                stop = asyncio.Event()

                async def write(writer: int, calls: ListClient, life: int, stop: asyncio.Event) -> None:
                    for number in range(10_000):
                        id = f"i{life}-{writer}-{number}"
                        try:
                            status, shown, _ = await calls.call(
                                "PUT", f"/v1/instances/{id}", GOOD, absent=True
                            )
                        except Exception:  # killed
                            return
                        assert status == 201
                        answered.append(id)
                        if len(answered) >= 40 * (life + 1):
                            stop.set()

                writers = [asyncio.create_task(write(n, calls, life, stop)) for n in range(8)]
                await stop.wait()
                await made.kill()
                await asyncio.gather(*writers)
        async with process(tmp_path) as (made, calls):
            assert set(answered) <= set(ids(await calls.list())) and len(answered) >= 200

    run(test)


def test_a_disk_that_is_full_fails_writes_of_the_real_process(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (made, calls):
            await calls.register("a")
            _, hard = resource.prlimit(made.child.pid, resource.RLIMIT_FSIZE)
            size = (tmp_path / "log").stat().st_size
            resource.prlimit(made.child.pid, resource.RLIMIT_FSIZE, (size + 40, hard))
            status, told, _ = await calls.call("PUT", "/v1/instances/b", GOOD, absent=True)
            assert status == 503 and "log" in told["error"]
            assert ids(await calls.list()) == {"a": "SERVING"}
            resource.prlimit(made.child.pid, resource.RLIMIT_FSIZE, (hard, hard))
            await calls.register("b")
            await made.kill()
        async with process(tmp_path) as (made, calls):
            assert ids(await calls.list()) == {"a": "SERVING", "b": "SERVING"}

    run(test)


def test_sigterm_answers_all_watches_and_ends_with_0(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (made, calls):
            await calls.register("a")
            at = (await calls.list())["generation"]
            watches = [
                asyncio.create_task(calls.call("GET", f"/v1/endpoints?since={at}&timeout_ms=50000"))
                for _ in range(20)
            ]
            await calls.wait_for_status(lambda s: s["watchers"] == 20)
            made.child.send_signal(signal.SIGTERM)
            for status, told, headers in await asyncio.gather(*watches):
                assert status == 200 and told["generation"] == at and headers["connection"] == "close"
            async with asyncio.timeout(SOON):
                assert await made.child.wait() == 0
            await made.kill()
            assert "ended" in made.lines[-1]

    run(test)


def test_a_stopped_process_that_goes_on_removes_nobody(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (made, calls):
            for number in range(10):
                await calls.register(f"i{number}", leaseMs=1000 if number else 600_000)
            made.child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(3.0)  # far over all leases
            made.child.send_signal(signal.SIGCONT)
            assert (await made.wait_for_log(r"all leases got ([\d.]+) s back"))[1] != "0.0"
            for number in range(1, 10):
                status, _, _ = await calls.call(
                    "POST", f"/v1/instances/i{number}/lease", {"process": f"p-i{number}"}
                )
                assert status == 200

    run(test)


def test_a_drain_that_was_decided_on_an_older_list_is_refused(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            one, two = await calls.register("a"), await calls.register("b")
            at = (await calls.list())["generation"]
            body = {"by": "ann"}
            path = "/v1/instances/{}/drain"
            for wrong in ("7", '"x"', '"' + "9" * 30 + '"'):
                status, _, _ = await calls.call(
                    "PUT", path.format("a"), body, match=one, headers={"List-Match": wrong}
                )
                assert status == 400
            known = {"List-Match": f'"{at}"'}
            assert (await calls.call("PUT", path.format("a"), body, match=one, headers=known))[0] == 200
            status, told, _ = await calls.call("PUT", path.format("b"), body, match=two, headers=known)
            assert status == 412 and "the list is at" in told["error"]
            assert ids(await calls.list()) == {"a": "DRAINING", "b": "SERVING"}
            status, told, _ = await calls.call("PUT", path.format("gateway:n0"), body, absent=True)
            assert status == 200 and "gateway:n0" not in ids(await calls.list())

    run(test)


def test_the_log_is_made_a_snapshot_as_it_grows_and_readers_notice_nothing(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            program.service.log.compact_at = 600
            await calls.register("first")
            at = (await calls.list())["generation"]
            for number in range(20):
                await calls.register(f"i{number}")
            assert (tmp_path / "snapshot").exists() and program.service.log.size < 1200
            known = program.service.store.to_json()
        async with served(tmp_path) as (program, calls):
            told = await calls.list(at)  # from before the snapshot: the history went with it
            assert not told["reset"] and len(told["instances"]) == 20
            assert program.service.store.to_json()["states"] == known["states"]

    run(test)


def test_the_end_waits_for_what_the_disk_is_at(tmp_path: pathlib.Path) -> None:
    """Found by a snapshot that was being made while the service ended: the next start took its file away."""

    async def test() -> None:
        async with served(tmp_path) as (program, calls):
            log, at_it, go = program.service.log, threading.Event(), threading.Event()
            append = log.append

            def slow(records: Any) -> None:
                at_it.set()
                assert go.wait(SOON)
                append(records)

            log.append = slow  # type: ignore[method-assign]
            write = asyncio.create_task(calls.call("PUT", "/v1/instances/a", GOOD, absent=True))
            assert await asyncio.to_thread(at_it.wait, SOON)
            ending = asyncio.create_task(program.service.stop())
            await asyncio.sleep(0.05)
            assert not ending.done()
            go.set()
            await ending
            assert (await write)[0] == 201
        async with served(tmp_path) as (program, calls):
            assert ids(await calls.list()) == {"a": "SERVING"}

    run(test)


def test_1024_instances_keep_connections_to_renew_whatever_the_soft_limit_on_descriptors(
    tmp_path: pathlib.Path,
) -> None:
    """Their connections were refused from the 257th on beside the watchers', or at 1,024 in all."""

    async def test() -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (1024, hard))  # the service inherits it
        try:
            made = Process(tmp_path, "--watchers", "1")
            await made.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        writers = []
        try:
            for _ in range(1024 + 100):
                reader, writer = await asyncio.open_connection(HOST, made.port)
                writers.append(writer)
                writer.write(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await read_message(reader))[0].split()[1] == "200"
        finally:
            for writer in writers:
                writer.close()
            await made.kill()
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    run(test)
