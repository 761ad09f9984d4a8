"""The list service over HTTP: reads, watches, writes, leases, followers, and how the process ends."""

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
    """Gives the service a scripted clock, on which its last tick is now."""
    program.service.clock = lambda: now[0]
    program.service.leases.last_tick_at = now[0]


def lifecycles(listing: Any) -> dict[str, str]:
    """The lifecycle of each instance in a list."""
    return {e["instanceId"]: e["lifecycle"] for e in listing["instances"]}


# reading


def test_the_full_list_and_watches_follow_the_discovery_protocol(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            await client.register(
                "a", "127.0.0.1:81", zone="z", machineType="m", cell=3, weight=2.5, startedAtMs=7
            )
            full_list = await client.list()
            assert full_list["reset"] and full_list["instances"] == [
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
            assert read_listing(full_list).entries[0].backend.rating == 2.5
            assert (await client.list(full_list["generation"])) == {
                "generation": full_list["generation"],
                "reset": False,
                "instances": [],
            }
            watch = asyncio.create_task(client.list(full_list["generation"], 20_000))
            await client.wait_for_status(lambda s: s["watchers"] == 1)
            await client.drain("a")
            answer = await watch
            assert (
                not answer["reset"]
                and lifecycles(answer) == {"a": "DRAINING"}
                and answer["generation"] > full_list["generation"]
            )
            assert (await client.list(5))["reset"]  # a generation that is not in the history
            assert (await client.list(answer["generation"] + 10**9))["reset"]

    run(test)


def test_changes_between_two_watches_are_sent_with_the_next(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            await client.register("a")
            seen: list[str] = []
            known = (await client.list())["generation"]

            async def watch_repeatedly() -> None:
                nonlocal known
                while "last" not in seen:
                    answer = await client.list(known, 20_000)
                    assert not answer["reset"] and answer["generation"] >= known
                    known = answer["generation"]
                    seen.extend(e["instanceId"] for e in answer["instances"])

            watcher = asyncio.create_task(watch_repeatedly())
            for number in range(30):
                await client.register(f"i{number}")
            await client.register("last")
            await watcher
            assert sorted(seen) == sorted([*(f"i{n}" for n in range(30)), "last"])  # each once, none missed

    run(test)


def test_changes_are_encoded_once_for_all_watchers(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            await client.register("a")
            at = (await client.list())["generation"]
            watches = [asyncio.create_task(client.list(at, 20_000)) for _ in range(50)]
            await client.wait_for_status(lambda s: s["watchers"] == 50)
            before = program.service.figures["answers encoded"]
            await asyncio.gather(*(client.register(f"b{n}") for n in range(10)))
            answers = await asyncio.gather(*watches)
            assert all(a == answers[0] for a in answers) and lifecycles(answers[0])
            assert program.service.figures["answers encoded"] == before + 1

    run(test)


def test_watches_beyond_the_limit_are_refused_and_cancelled_ones_no_longer_count(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        async with served(tmp_path, watchers=2) as (program, client):
            await client.register("a")
            at = (await client.list())["generation"]
            watches = [asyncio.create_task(client.list(at, 20_000)) for _ in range(2)]
            await client.wait_for_status(lambda s: s["watchers"] == 2)
            status, answer, headers = await client.call("GET", f"/v1/endpoints?since={at}&timeout_ms=9000")
            assert status == 503 and 1 <= int(headers["retry-after"]) <= 5 and "no room" in answer["error"]
            assert (await client.list())["instances"]  # reads are not limited
            watches[0].cancel()
            await client.wait_for_status(lambda s: s["watchers"] == 1)
            await client.drain("a")
            assert lifecycles(await watches[1]) == {"a": "DRAINING"}

    run(test)


def test_connections_that_read_no_answer_or_send_no_request_are_aborted(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        monkeypatch.setattr(front, "WRITE_TIMEOUT", 0.1)
        monkeypatch.setattr("embersill.directory.__main__.FIRST_REQUEST_TIMEOUT", 0.1)
        async with served(tmp_path) as (program, client):
            for number in range(100):
                await client.register(f"instance-{number:060d}", zone="z" * 64, machineType="m" * 64)
            host, _, port = client.address.rpartition(":")
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            unread_writer = (await asyncio.open_connection(sock=sock))[1]
            unread_writer.transport.pause_reading()  # type: ignore[attr-defined]
            unread_writer.write(b"GET /v1/endpoints HTTP/1.1\r\nHost: x\r\n\r\n" * 400)
            silent_reader = (await asyncio.open_connection(host, int(port)))[0]
            partial_reader, partial_writer = await asyncio.open_connection(host, int(port))
            partial_writer.write(b"GET /v1/endpo")
            for reader in (silent_reader, partial_reader):
                async with asyncio.timeout(SOON):
                    with pytest.raises(ConnectionError):
                        assert not await reader.read()
                        raise ConnectionError
            assert program.runner.server is not None
            async with asyncio.timeout(SOON):
                while len(program.runner.server.connections) > 1:  # the test's own
                    await asyncio.sleep(0.01)
            unread_writer.transport.abort()

    run(test)


def test_a_new_list_is_not_served_before_instances_had_time_to_register(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path, fill=10.0) as (program, client):
            set_clock(program, now)
            status, _, headers = await client.call("GET", "/v1/endpoints")
            assert status == 503 and "retry-after" in headers
            now[0] += 100.0  # no registration yet: an empty list would remove all backends from every gateway
            assert (await client.call("GET", "/v1/endpoints"))[0] == 503
            await client.register("a")
            now[0] += 9.0
            assert (await client.call("GET", "/ready"))[0] == 503
            assert (await client.call("GET", "/v1/changes?after=0"))[0] == 503  # nor is it replicated
            now[0] += 2.0
            assert (
                lifecycles(await client.list()) == {"a": "SERVING"}
                and (await client.call("GET", "/ready"))[0] == 200
            )
        async with served(tmp_path, fill=10.0) as (program, client):
            assert lifecycles(await client.list()) == {"a": "SERVING"}  # this service has a stored list

    run(test)


# writing


def test_writes_are_conditional_on_a_version_and_can_be_repeated(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            body = {"hostPort": "127.0.0.1:81", "process": "p1"}
            status, shown, headers = await client.call("PUT", "/v1/instances/a", body, absent=True)
            assert status == 201 and headers["etag"] == f'"{shown["version"]}"'
            assert (await client.call("PUT", "/v1/instances/a", body, absent=True))[0] == 200
            assert (await client.call("PUT", "/v1/instances/a", {**body, "process": "p2"}, absent=True))[
                0
            ] == 412
            assert (await client.call("PUT", "/v1/instances/a", {**body, "process": "p2"}))[0] == 428
            old = shown["version"]
            renewed = await client.call("POST", "/v1/instances/a/lease", {"process": "p1"})
            assert renewed[0] == 200 and renewed[1]["version"] == old
            status, shown, _ = await client.call(
                "PUT", "/v1/instances/a", {**body, "process": "p2"}, match=old
            )
            assert status == 200 and shown["version"] > old and shown["process"] == "p2"
            assert (await client.call("POST", "/v1/instances/a/lease", {"process": "p1"}))[0] == 412
            assert (await client.call("POST", "/v1/instances/b/lease", {"process": "p1"}))[0] == 404
            own = {"process": "p2", "lifecycle": "DRAINING"}
            assert (await client.call("PUT", "/v1/instances/a/lifecycle", own, match=old))[0] == 412
            status, shown, _ = await client.call(
                "PUT", "/v1/instances/a/lifecycle", own, match=shown["version"]
            )
            assert status == 200 and shown["lifecycle"] == "DRAINING"
            assert (await client.call("DELETE", "/v1/instances/a", match=old))[0] == 412
            assert (await client.call("DELETE", "/v1/instances/a", match=shown["version"]))[0] == 200
            assert (await client.call("DELETE", "/v1/instances/a", match=shown["version"]))[0] == 200
            assert (await client.call("GET", "/v1/instances/a"))[0] == 404
            assert not (await client.list())["instances"]

    run(test)


def test_an_operators_drain_outlives_the_instance_and_the_service(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            await client.register("a")
            await client.drain("a")
            await client.register("a", process="p2")
            assert lifecycles(await client.list()) == {"a": "DRAINING"}
            _, shown, _ = await client.call("GET", "/v1/instances/a")
            assert shown["ownLifecycle"] == "SERVING" and shown["drain"]["by"] == "ann"
            await client.call("DELETE", "/v1/instances/a", match=shown["version"])
        async with served(tmp_path) as (program, client):
            await client.register("a", process="p3")
            assert lifecycles(await client.list()) == {"a": "DRAINING"}
            _, answer, _ = await client.call("GET", "/v1/drains")
            version = answer["drains"][0]["version"]
            assert (await client.call("DELETE", "/v1/instances/a/drain", match=version))[0] == 200
            assert (await client.call("DELETE", "/v1/instances/a/drain", match=version))[0] == 200
            assert lifecycles(await client.list()) == {"a": "SERVING"}

    run(test)


REGISTRATION = {"hostPort": "127.0.0.1:81", "process": "p"}


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status"),
    [
        ("PUT", "/v1/instances/a", b"{", {}, 400),
        ("PUT", "/v1/instances/a", b"[]", {}, 400),
        ("PUT", "/v1/instances/a", b"\xff", {}, 400),
        ("PUT", "/v1/instances/a", b"[" * 9000, {}, 400),
        ("PUT", "/v1/instances/a", b'{"weight":NaN}', {}, 400),
        ("PUT", "/v1/instances/a%20b", REGISTRATION, {}, 400),
        ("PUT", "/v1/instances/" + "a" * 129, REGISTRATION, {}, 400),
        ("PUT", "/v1/instances/a", {**REGISTRATION, "x": 1}, {}, 400),
        ("PUT", "/v1/instances/a", {**REGISTRATION, "cell": "1"}, {}, 400),
        ("PUT", "/v1/instances/a", REGISTRATION, {"If-Match": "7"}, 400),
        ("PUT", "/v1/instances/a", REGISTRATION, {"If-Match": '"x"'}, 400),
        ("PUT", "/v1/instances/a", REGISTRATION, {"If-None-Match": '"7"'}, 400),
        ("PUT", "/v1/instances/a", REGISTRATION, {"If-None-Match": "*", "If-Match": '"7"'}, 400),
        ("PUT", "/v1/instances/a", REGISTRATION, {"If-Match": '"7"'}, 412),
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
def test_invalid_requests_are_refused_with_a_reason_and_change_nothing(
    tmp_path: pathlib.Path, method: str, path: str, body: Any, headers: dict[str, str], status: int
) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            await client.register("there")
            refused = program.service.figures[f"refused {status}"]
            before, size = program.service.store.to_json(), program.service.log.size
            found, answer, _ = await client.call(method, path, body, headers=headers)
            assert (found, bool(answer["error"])) == (status, True)
            assert program.service.store.to_json() == before and program.service.log.size == size
            assert program.service.figures[f"refused {status}"] == refused + 1

    run(test)


def test_refused_requests_are_logged_at_a_limited_rate(caplog: pytest.LogCaptureFixture) -> None:
    now = [0.0]
    lines = RateLimitedLog(lambda: now[0])
    for number in range(500):
        lines.warn(f"line {number}")
    assert len(caplog.records) == front.MAX_WINDOW_LINES
    now[0] += front.LOG_WINDOW
    lines.warn("one more")
    assert caplog.messages[-1] == f"one more ({500 - front.MAX_WINDOW_LINES} such lines before it left out)"


def test_malformed_http_is_refused_and_logged_in_one_line_at_a_limited_rate(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            caplog.clear()
            host, _, port = client.address.rpartition(":")
            for number in range(3 * front.MAX_WINDOW_LINES):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/endpoints HTTP/1.1\r\nbad header %d\r\n\r\n" % number)
                async with asyncio.timeout(SOON):
                    assert b" 400 " in await reader.readline()
                writer.close()
            assert len(caplog.messages) == front.MAX_WINDOW_LINES and "bad header" in caplog.messages[0]
            assert not any(record.exc_info for record in caplog.records)

    run(test)


def test_a_jump_of_the_wall_clock_ends_no_lease_and_generations_still_increase(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            last = 0
            set_clock(program, [1000.0])
            for number, jump in enumerate((0.0, 86_400.0, -86_400.0, -(10**6), 0.0)):
                program.service.wall_clock = lambda jump=jump: time.time() + jump  # type: ignore[misc]
                version = await client.register(f"i{number}", leaseMs=1000)
                assert version > last
                last = version
                await program.service.check_leases()
            assert len((await client.list())["instances"]) == 5 and not program.service.leases.expired(1000.9)

    run(test)


def test_a_write_that_can_not_be_stored_fails_and_reads_continue(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            await client.register("a")
            known = await client.list()

            def failing_append(records: Any) -> None:
                raise WriteFailed("no space")

            with monkeypatch.context() as patch:
                patch.setattr(program.service.log, "append", failing_append)
                status, answer, headers = await client.call(
                    "PUT", "/v1/instances/b", REGISTRATION, absent=True
                )
                assert status == 503 and "no space" in answer["error"] and headers["retry-after"]
                assert await client.list() == known
                assert (await client.call("POST", "/v1/instances/a/lease", {"process": "p-a"}))[0] == 200
            await client.register("b")
            assert lifecycles(await client.list(known["generation"])) == {"b": "SERVING"}

    run(test)


def test_writes_recover_after_syncs_failed_for_a_while(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path) as (program, client):
            set_clock(program, now)
            await client.register("a")

            def failing_sync(file: int) -> None:
                raise OSError(5, "the disk")

            with monkeypatch.context() as patch:
                patch.setattr(os, "fdatasync", failing_sync)
                patch.setattr(os, "fsync", failing_sync)
                for _ in range(3):
                    now[0] += RECOVERY_INTERVAL
                    assert (await client.call("PUT", "/v1/instances/b", REGISTRATION, absent=True))[0] == 503
            now[0] += RECOVERY_INTERVAL
            await client.register("c")
        async with served(tmp_path) as (program, client):
            assert set(lifecycles(await client.list())) == {"a", "c"}

    run(test)


# leases


def test_leases_that_expire_together_remove_nothing_until_an_operator_resumes(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path) as (program, client):
            set_clock(program, now)
            for number in range(10):
                await client.register(f"i{number}")
            for _ in range(40):  # as in a network failure: ticks without renewals
                now[0] += service.LEASE_CHECK_INTERVAL
                await program.service.check_leases()
            assert len((await client.list())["instances"]) == 10
            status = await client.wait_for_status(lambda s: s["leases"]["removal_held"])
            assert len(status["leases"]["run_out"]) == 10
            for number in range(8):
                await client.call("POST", f"/v1/instances/i{number}/lease", {"process": f"p-i{number}"})
            assert (await client.call("POST", "/v1/leases/resume"))[1] == {"removed": ["i8", "i9"]}
            assert len((await client.list())["instances"]) == 8
            assert not (await client.wait_for_status(lambda s: True))["leases"]["removal_held"]

    run(test)


def test_an_instance_with_a_single_expired_lease_is_listed_as_deleted(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        now = [1000.0]
        async with served(tmp_path) as (program, client):
            set_clock(program, now)
            for number in range(10):
                await client.register(f"i{number}", leaseMs=1000 if number == 3 else 600_000)
            at = (await client.list())["generation"]
            for _ in range(3):
                now[0] += service.LEASE_CHECK_INTERVAL
                await program.service.check_leases()
            assert lifecycles(await client.list(at)) == {"i3": "DELETED"}

    run(test)


# followers


def test_a_follower_serves_its_list_while_the_leader_is_down(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with (
            process(tmp_path / "a") as (leader, client),
            served(tmp_path / "b", follow=leader.address) as (program, follower),
        ):
            await client.register("a")
            at = (await client.list())["generation"]
            await follower.wait_for_status(lambda s: s["generation"] == at)
            watch = asyncio.create_task(follower.list(at, 20_000))
            await follower.wait_for_status(lambda s: s["watchers"] == 1)
            await client.drain("a")
            assert lifecycles(await watch) == {"a": "DRAINING"}
            status, answer, headers = await follower.call("PUT", "/v1/instances/b", REGISTRATION, absent=True)
            assert status == 421 and headers["leader"] == leader.address and leader.address in answer["error"]
            known = await follower.list()
            await leader.kill()
            assert await follower.list() == known
            status = (await follower.call("GET", f"/v1/endpoints?since={known['generation'] + 1}"))[0]
            assert status == 503  # a reader must not be sent an older list
            lag = (await follower.wait_for_status(lambda s: s["lag_s"] > 0.2))["lag_s"]
            assert (await follower.wait_for_status(lambda s: s["lag_s"] > lag))["ready"]
            async with process(tmp_path / "a", port=leader.port) as (_, client):
                await client.register("b")
                now = (await client.list())["generation"]
                await follower.wait_for_status(lambda s: s["generation"] == now)
                assert lifecycles(await follower.list(known["generation"])) == {
                    "b": "SERVING"
                }  # the history is the same

    run(test)


def test_a_follower_replaces_its_list_by_a_newer_history_and_never_by_an_older_one(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        async with process(tmp_path / "a") as (leader, client):
            await client.register("a")
            await leader.kill(signal.SIGTERM)
        shutil.copytree(tmp_path / "a", tmp_path / "old")
        async with (
            process(tmp_path / "a", port=leader.port) as (again, client),
            served(tmp_path / "b", follow=leader.address) as (program, follower),
        ):
            await client.register("lost")
            lost = (await client.list())["generation"]
            await follower.wait_for_status(lambda s: s["generation"] == lost)
            await again.kill()
            async with process(tmp_path / "old", port=leader.port) as (_, client):
                now = await client.list(lost)
                assert now["reset"] and now["generation"] > lost and lifecycles(now) == {"a": "SERVING"}
                await follower.wait_for_status(lambda s: s["generation"] == now["generation"])
                answer = await follower.list(lost)
                assert answer["reset"] and lifecycles(answer) == {"a": "SERVING"}
                older = program.service.store.to_json() | {"generation": lost}
                with pytest.raises(Exception, match="older"):
                    await program.service.replace_list(older)
                assert (await follower.list())["generation"] == now["generation"]

    run(test)


def test_a_service_that_lost_its_data_continues_with_higher_generations(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path / "a") as (service_process, client):
            await client.register("a")
            at = (await client.list())["generation"]
            await service_process.kill()
        shutil.rmtree(tmp_path / "a")
        async with process(tmp_path / "a", port=service_process.port) as (_, client):
            assert (await client.call("GET", f"/v1/endpoints?since={at}"))[
                0
            ] == 503  # nothing is registered yet
            await client.register("b")
            answer = await client.list(at)
            assert answer["reset"] and answer["generation"] > at and lifecycles(answer) == {"b": "SERVING"}

    run(test)


def test_a_followers_directory_becomes_a_leaders_only_with_promote(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path / "a") as (leader, client):
            await client.register("a")
            at = (await client.list())["generation"]
            async with process(tmp_path / "b", "--follow", leader.address) as (_, follower):
                await follower.wait_for_status(lambda s: s["generation"] == at)
        done = start_service(tmp_path / "b")
        assert done.returncode == 1 and "--promote" in done.stderr and len(done.stderr.splitlines()) == 1
        async with process(tmp_path / "b", "--promote") as (promoted, follower):
            await follower.register("b")
            answer = await follower.list(at)
            assert (
                not answer["reset"] and lifecycles(answer) == {"b": "SERVING"} and answer["generation"] > at
            )
        async with process(tmp_path / "b") as (_, follower):
            assert lifecycles(await follower.list()) == {"a": "SERVING", "b": "SERVING"}

    run(test)


# the process


def start_service(
    folder: pathlib.Path, *options: str, listen: str = f"{HOST}:0"
) -> subprocess.CompletedProcess[str]:
    """Runs the program to its end."""
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
def test_invalid_arguments_are_reported_with_exit_status_2(
    tmp_path: pathlib.Path, options: tuple[str, ...]
) -> None:
    done = start_service(tmp_path, *options)
    assert done.returncode == 2 and "usage:" in done.stderr and "Traceback" not in done.stderr


def test_a_failed_start_is_reported_in_one_line(tmp_path: pathlib.Path) -> None:
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
            done = start_service(tmp_path / folder, listen=listen)
            assert done.returncode == 1 and done.stderr.splitlines()[-1].startswith("embersill.directory: ")
            assert "Traceback" not in done.stderr


def test_a_kill_at_any_moment_keeps_acknowledged_writes(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        answered: list[str] = []
        last = 0
        for life in range(5):
            async with process(tmp_path) as (service_process, client):
                await client.register("first")
                answer = await client.list()
                assert answer["generation"] > last and set(answered) <= set(lifecycles(answer))
                last = answer["generation"]
                stop = asyncio.Event()

                async def write(writer: int, client: ListClient, life: int, stop: asyncio.Event) -> None:
                    for number in range(10_000):
                        id = f"i{life}-{writer}-{number}"
                        try:
                            status, shown, _ = await client.call(
                                "PUT", f"/v1/instances/{id}", REGISTRATION, absent=True
                            )
                        except Exception:  # killed
                            return
                        assert status == 201
                        answered.append(id)
                        if len(answered) >= 40 * (life + 1):
                            stop.set()

                writers = [asyncio.create_task(write(n, client, life, stop)) for n in range(8)]
                await stop.wait()
                await service_process.kill()
                await asyncio.gather(*writers)
        async with process(tmp_path) as (service_process, client):
            assert set(answered) <= set(lifecycles(await client.list())) and len(answered) >= 200

    run(test)


def test_a_full_disk_fails_writes_of_a_separate_process(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (service_process, client):
            await client.register("a")
            _, hard = resource.prlimit(service_process.child.pid, resource.RLIMIT_FSIZE)
            size = (tmp_path / "log").stat().st_size
            resource.prlimit(service_process.child.pid, resource.RLIMIT_FSIZE, (size + 40, hard))
            status, answer, _ = await client.call("PUT", "/v1/instances/b", REGISTRATION, absent=True)
            assert status == 503 and "log" in answer["error"]
            assert lifecycles(await client.list()) == {"a": "SERVING"}
            resource.prlimit(service_process.child.pid, resource.RLIMIT_FSIZE, (hard, hard))
            await client.register("b")
            await service_process.kill()
        async with process(tmp_path) as (service_process, client):
            assert lifecycles(await client.list()) == {"a": "SERVING", "b": "SERVING"}

    run(test)


def test_sigterm_answers_all_watches_and_exits_with_0(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (service_process, client):
            await client.register("a")
            at = (await client.list())["generation"]
            watches = [
                asyncio.create_task(client.call("GET", f"/v1/endpoints?since={at}&timeout_ms=50000"))
                for _ in range(20)
            ]
            await client.wait_for_status(lambda s: s["watchers"] == 20)
            service_process.child.send_signal(signal.SIGTERM)
            for status, answer, headers in await asyncio.gather(*watches):
                assert status == 200 and answer["generation"] == at and headers["connection"] == "close"
            async with asyncio.timeout(SOON):
                assert await service_process.child.wait() == 0
            await service_process.kill()
            assert "ended" in service_process.lines[-1]

    run(test)


def test_a_process_that_was_stopped_and_continued_removes_no_instance(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (service_process, client):
            for number in range(10):
                await client.register(f"i{number}", leaseMs=1000 if number else 600_000)
            service_process.child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(3.0)  # longer than all leases but one
            service_process.child.send_signal(signal.SIGCONT)
            assert (await service_process.wait_for_log(r"all leases got ([\d.]+) s back"))[1] != "0.0"
            for number in range(1, 10):
                status, _, _ = await client.call(
                    "POST", f"/v1/instances/i{number}/lease", {"process": f"p-i{number}"}
                )
                assert status == 200

    run(test)


def test_a_drain_based_on_an_older_list_is_refused(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            one, two = await client.register("a"), await client.register("b")
            at = (await client.list())["generation"]
            body = {"by": "ann"}
            path = "/v1/instances/{}/drain"
            for wrong in ("7", '"x"', '"' + "9" * 30 + '"'):
                status, _, _ = await client.call(
                    "PUT", path.format("a"), body, match=one, headers={"List-Match": wrong}
                )
                assert status == 400
            known = {"List-Match": f'"{at}"'}
            assert (await client.call("PUT", path.format("a"), body, match=one, headers=known))[0] == 200
            status, answer, _ = await client.call("PUT", path.format("b"), body, match=two, headers=known)
            assert status == 412 and "the list is at" in answer["error"]
            assert lifecycles(await client.list()) == {"a": "DRAINING", "b": "SERVING"}
            status, answer, _ = await client.call("PUT", path.format("gateway:n0"), body, absent=True)
            assert status == 200 and "gateway:n0" not in lifecycles(await client.list())

    run(test)


def test_compaction_of_a_growing_log_is_invisible_to_readers(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (program, client):
            program.service.log.compact_at = 600
            await client.register("first")
            at = (await client.list())["generation"]
            for number in range(20):
                await client.register(f"i{number}")
            assert (tmp_path / "snapshot").exists() and program.service.log.size < 1200
            known = program.service.store.to_json()
        async with served(tmp_path) as (program, client):
            answer = await client.list(at)  # from before the snapshot, which holds the history
            assert not answer["reset"] and len(answer["instances"]) == 20
            assert program.service.store.to_json()["states"] == known["states"]

    run(test)


def test_stop_waits_for_the_disk_operation_in_progress(tmp_path: pathlib.Path) -> None:
    """Guards against an exit while a snapshot is written, whose file the next start would delete."""

    async def test() -> None:
        async with served(tmp_path) as (program, client):
            log, append_started, proceed = program.service.log, threading.Event(), threading.Event()
            append = log.append

            def slow_append(records: Any) -> None:
                append_started.set()
                assert proceed.wait(SOON)
                append(records)

            log.append = slow_append  # type: ignore[method-assign]
            write = asyncio.create_task(client.call("PUT", "/v1/instances/a", REGISTRATION, absent=True))
            assert await asyncio.to_thread(append_started.wait, SOON)
            ending = asyncio.create_task(program.service.stop())
            await asyncio.sleep(0.05)
            assert not ending.done()
            proceed.set()
            await ending
            assert (await write)[0] == 201
        async with served(tmp_path) as (program, client):
            assert lifecycles(await client.list()) == {"a": "SERVING"}

    run(test)


def test_1024_instances_keep_connections_whatever_the_soft_limit_on_descriptors(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against limits of 256 connections beside the watches, or of 1,024 descriptors in all."""

    async def test() -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (1024, hard))  # the service inherits it
        try:
            service_process = Process(tmp_path, "--watchers", "1")
            await service_process.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        writers = []
        try:
            for _ in range(1024 + 100):
                reader, writer = await asyncio.open_connection(HOST, service_process.port)
                writers.append(writer)
                writer.write(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await read_message(reader))[0].split()[1] == "200"
        finally:
            for writer in writers:
                writer.close()
            await service_process.kill()
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    run(test)
