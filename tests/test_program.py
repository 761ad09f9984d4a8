"""The gateway program: its configuration, its stop on SIGTERM, and its operation with few descriptors."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import resource
import shlex
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from embersill.program import ACCEPT_AFTER_SIGTERM, FINAL_READ_TIME
from embersill.lab.peers import HOST, HttpMessage, free_port
from embersill.net.clients import EVICTABLE_AFTER
from tests.bed import READY, Bed, Client, request, roomy_settings, run, running
from tests.peers import SOON, DiscoveryPeer, serve

ROOT = pathlib.Path(__file__).parent.parent
# the command of the deploy file if .ci/run sets it, so that the deployed program is tested
RUN = os.environ.get("EMBERSILL_RUN") or f"exec {shlex.quote(sys.executable)} -m embersill"


def start(path: str | None) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    if path is not None:
        env["RELAY_CONFIG"] = path
    return subprocess.run(["/bin/sh", "-c", RUN], cwd=ROOT, env=env, text=True,
                          capture_output=True, timeout=60, check=False)


def configuration() -> dict[str, Any]:
    return {"name": "n0", "listen": f"{HOST}:1", "discovery": f"{HOST}:2", "counter": f"{HOST}:3",
            "seed": "8c1f", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": []}, "settings": roomy_settings()}


@pytest.mark.parametrize(("key", "wrong"), [
    ("listen", None), ("listen", "nowhere"), ("discovery", f"{HOST}:x"), ("counter", None), ("seed", "xyz"),
    ("known", {}), ("settings", {}), ("limits", {}), ("limits", {"sockets": 3}),
    ("pool", {"opening": 0}),
])
def test_a_wrong_configuration_is_told_in_one_line(key: str, wrong: Any, tmp_path: pathlib.Path) -> None:
    content = configuration()
    if wrong is None:
        del content[key]
    else:
        content[key] = wrong
    path = tmp_path / "config.json"
    path.write_text(json.dumps(content))
    done = start(str(path))
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and not done.stdout


def test_no_configuration_is_told_in_one_line(tmp_path: pathlib.Path) -> None:
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    for path in (None, "", str(tmp_path / "none.json"), str(broken), str(tmp_path)):
        done = start(path)
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1


@asynccontextmanager
async def process(
    tmp_path: pathlib.Path, descriptors: int = 0, **more: Any
) -> AsyncIterator[tuple[Bed, Any]]:
    """Runs the program in a process of its own, with its peers in this one."""
    bed = Bed(1)
    for peer in (*bed.backends, bed.discovery, bed.counter):
        await peer.start()
    bed.discovery.entries = {"b0": bed.discovery.entry("b0", bed.backends[0].address)}
    bed.port = free_port()
    path = tmp_path / "config.json"
    path.write_text(json.dumps({
        **bed.configuration(roomy_settings(), 1024), "listen": f"{HOST}:{bed.port}", **more}))

    def limit() -> None:
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    child = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", RUN, cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path), "RELAY_DISCOVERY": bed.discovery.address},
        preexec_fn=limit, stderr=asyncio.subprocess.PIPE)
    try:
        await until_ready(bed)
        yield bed, child
    finally:
        if child.returncode is None:
            child.kill()
        await child.communicate()
        for peer in (*bed.backends, bed.discovery, bed.counter):
            await peer.stop()


async def until_ready(bed: Bed) -> None:
    async with asyncio.timeout(SOON):
        while True:
            try:
                client = await bed.client()
                if (await client.ask(READY))[0] == 200:
                    return client.writer.close()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.01)


def test_sigterm_answers_all_that_was_taken_and_ends_well(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (bed, child):
            free = asyncio.Event()

            async def late(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                await free.wait()
                serve(writer, asked)

            bed.backends[0].script = [late]
            held, kept = await bed.client(), await bed.client()
            assert (await kept.ask(READY))[0] == 200
            held.send(request(1))
            await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
            child.send_signal(signal.SIGTERM)
            status = 200
            while status == 200:  # until the process has handled the signal
                new = await bed.client()
                status, headers, _ = await new.ask(READY)
            assert status == 503 and headers["connection"] == "close"
            new = await bed.client()  # is still accepted, and a keep-alive connection can still be used
            status, headers, _ = await new.ask(request(2))
            assert status == 200 and headers["connection"] == "close" and await new.closed()
            assert (await kept.ask(request(3)))[0] == 200 and await kept.closed()
            free.set()
            assert (await held.answer())[0] == 200 and await held.closed()
            async with asyncio.timeout(SOON):
                assert await child.wait() == 0
            log = (await child.stderr.read()).decode().splitlines()
            assert len(log) == 1 and "attempt served 3, " in log[0] and "success 3; open 0" in log[0]

    run(test)


def test_sighup_moves_the_gateway_to_the_addresses_in_the_file(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (bed, child):
            path, moved = tmp_path / "config.json", DiscoveryPeer()
            await moved.start()
            moved.generation, moved.entries = 7, dict(bed.discovery.entries)
            original = json.loads(path.read_text())
            path.write_text("{")  # an invalid file changes nothing and ends nothing
            child.send_signal(signal.SIGHUP)
            assert b"stays as it was" in await child.stderr.readline()
            path.write_text(json.dumps({**original, "discovery": moved.address}))
            child.send_signal(signal.SIGHUP)
            await moved.until_asked(2)
            assert "since=7" in moved.asked[1]
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            await moved.change(moved.entry("b0", bed.backends[0].address, "DRAINING"))
            await moved.until_asked(3)
            assert (await client.ask(READY))[0] == 503 and child.returncode is None
            await moved.stop()

    run(test)


def test_a_reload_takes_new_pool_settings_and_keeps_the_old_where_they_are_out_of_form(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        console = free_port()
        async with process(tmp_path, console=f"{HOST}:{console}") as (bed, child):
            path = tmp_path / "config.json"
            original = json.loads(path.read_text())
            client = await bed.client()
            assert (await client.ask(request(0)))[0] == 200
            for number, pool, connections in ((1, {"margin": "x"}, 1), (2, {"margin": 14.9}, 2)):
                path.write_text(json.dumps({**original, "pool": pool}))
                child.send_signal(signal.SIGHUP)
                line = (await child.stderr.readline()).decode()
                assert ("the configuration stays as it was" in line) == (connections == 1), line
                await asyncio.sleep(0.2)  # longer than the last margin lets a connection be idle
                assert (await client.ask(request(number)))[0] == 200
                assert bed.backends[0].connections == connections

    run(test)


def test_more_clients_than_descriptors_are_all_answered(tmp_path: pathlib.Path) -> None:
    # The event loop's own server closes a connection for which it has no descriptor, and loses the request.
    async def test() -> None:
        async with process(tmp_path, descriptors=40) as (bed, child):
            clients = [await bed.client() for _ in range(60)]
            for client in clients:
                client.send(READY)

            async def answered(client: Client) -> int:
                status, _, _ = await client.answer()
                client.writer.close()
                return status

            assert await asyncio.gather(*(answered(c) for c in clients)) == [200] * 60
            assert (await (await bed.client()).ask(request(1)))[0] == 200
            assert child.returncode is None

    run(test)


# how a process ends


async def send_command(console: int, line: bytes = b"DRAIN\n") -> dict[str, Any]:
    """Returns the JSON object of the console's answer, which must be a done."""
    reader, writer = await asyncio.open_connection(HOST, console)
    writer.write(line)
    async with asyncio.timeout(SOON):
        word, _, rest = (await reader.read()).decode().partition(" ")
    writer.close()
    assert word == "done", rest
    answer: dict[str, Any] = json.loads(rest)
    return answer


def test_a_drained_gateway_waits_for_a_long_answer_and_serves_what_was_sent_behind_it(
    tmp_path: pathlib.Path,
) -> None:
    async def test() -> None:
        console = free_port()
        async with process(tmp_path, console=f"{HOST}:{console}", lame_duck_s=0.2) as (bed, child):
            ended = asyncio.Event()

            async def drips(writer: asyncio.StreamWriter, got: HttpMessage) -> None:
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n" + b"x" * 80_000)
                left = 20_000
                while not ended.is_set():
                    writer.write(b"x" * 10)
                    left -= 10
                    await asyncio.sleep(0.05)
                writer.write(b"x" * left)

            bed.backends[0].script = [drips]
            client, late = await bed.client(), await bed.client()
            client.send(request(1))
            await bed.backends[0].until(lambda: len(bed.backends[0].seen) >= 1)
            # Each is sent on a connection of its own; together they might reach the backend in any order.
            client.send(request(2) + request(3))
            assert (await send_command(console))["phase"] == "lame duck"
            assert (await late.ask(request(4)))[0] == 200  # it still serves
            while (await send_command(console, b"PHASE\n"))["phase"] == "lame duck":
                await asyncio.sleep(0.02)
            await asyncio.sleep(4.0)  # longer than the time after a SIGTERM: no SIGKILL follows a drain
            assert ((await send_command(console, b"PHASE\n"))["phase"] == "closing"
                    and child.returncode is None)
            ended.set()
            answers = [await client.answer() for _ in range(3)]
            assert [status for status, _, _ in answers] == [200] * 3 and len(answers[0][2]) == 100_000
            assert await client.closed()
            while (answer := await send_command(console, b"PHASE\n"))["phase"] != "empty":
                await asyncio.sleep(0.02)
            assert answer["open"] == 0
            async with asyncio.timeout(SOON):
                assert await child.wait() == 0

    run(test)


async def until_closing(console: int) -> None:
    assert (await send_command(console))["phase"] == "lame duck"
    while (await send_command(console, b"PHASE\n"))["phase"] == "lame duck":
        await asyncio.sleep(0.005)


def test_who_connects_to_a_drained_gateway_in_the_last_moment_is_served(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        console = free_port()
        async with process(tmp_path, console=f"{HOST}:{console}", lame_duck_s=0.1) as (bed, child):
            kept = await bed.client()
            assert (await kept.ask(request(1)))[0] == 200
            await until_closing(console)
            child.send_signal(signal.SIGSTOP)  # later connections wait in the accept queue
            late = [await bed.client() for _ in range(2)]
            for number, client in enumerate([kept, *late]):
                client.send(request(2 + number))
            # until after the time in which clients are accepted
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM + FINAL_READ_TIME)
            child.send_signal(signal.SIGCONT)
            for client in (kept, *late):
                status, headers, _ = await client.answer()
                assert status == 200 and headers["connection"] == "close" and await client.closed()
            assert (await send_command(console, b"PHASE\n"))["phase"] in ("closing", "empty")
            async with asyncio.timeout(SOON):
                while (await send_command(console, b"PHASE\n"))["phase"] != "empty":
                    await asyncio.sleep(0.01)
                assert await child.wait() == 0

    run(test)


def test_a_request_that_comes_as_a_drained_gateway_closes_is_not_crossed(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running() as bed:
            program, client = bed.program, await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            await asyncio.sleep(2 * EVICTABLE_AFTER)
            close, sent = program.front.close_idle_without_unread, False

            def send_and_close() -> bool:
                nonlocal sent
                if not sent:  # the kernel has it now, and the event loop had no turn to read it
                    sent = True
                    os.write(client.writer.get_extra_info("socket").fileno(), request(2))
                return close()

            program.front.close_idle_without_unread = send_and_close  # type: ignore[method-assign]
            program.lame_duck.set(60.0)
            program.final_state_reported.set()
            await program.stop()
            status, headers, _ = await client.answer()
            assert status == 200 and headers["connection"] == "close" and len(bed.seen()) == 2

    run(test)


def test_a_sigterm_ends_a_lame_duck_and_its_last_word_at_once(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        console = free_port()
        async with process(tmp_path, console=f"{HOST}:{console}", lame_duck_s=600) as (bed, child):
            assert (await send_command(console))["phase"] == "lame duck"
            assert (await (await bed.client()).ask(request(1)))[0] == 200
            child.send_signal(signal.SIGTERM)
            child.send_signal(signal.SIGTERM)  # and a second one changes nothing
            async with asyncio.timeout(SOON):
                assert await child.wait() == 0

    run(test)


def test_a_sigterm_during_a_reload_ends_well(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (bed, child):
            path = tmp_path / "config.json"
            moved = json.loads(path.read_text()) | {"discovery": f"{HOST}:{free_port()}"}
            path.write_text(json.dumps(moved))
            child.send_signal(signal.SIGHUP)
            child.send_signal(signal.SIGTERM)
            async with asyncio.timeout(SOON):
                assert await child.wait() == 0

    run(test)


def test_a_sigterm_at_any_moment_of_the_start_ends_it(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**configuration(), "listen": f"{HOST}:{free_port()}"}))
    for step in range(12):
        child = subprocess.Popen(["/bin/sh", "-c", RUN], cwd=ROOT, stderr=subprocess.PIPE, text=True,
                                 env={**os.environ, "RELAY_CONFIG": str(path)})
        try:
            time.sleep(0.05 * step)  # whatever it does by then, it must end, and without an exception
            child.terminate()
            _, err = child.communicate(timeout=SOON)
        finally:
            child.kill()
        assert child.returncode in (0, -signal.SIGTERM) and "Traceback" not in err, err
