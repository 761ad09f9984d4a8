"""The console: commands and their answers, misbehaving callers, the figures, and suspended backends."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from embersill.lab.peers import HttpMessage, response_bytes
from embersill.net.console import MAX_CONSOLE_CONNECTIONS, MAX_LINE_LENGTH
from tests.bed import READY, Bed, request, roomy_settings, run, running
from tests.peers import SOON, serve


async def figures(bed: Bed) -> dict[str, Any]:
    text, end = (await bed.console(b"METRICS\n")).splitlines()
    assert end == "end"
    loaded: dict[str, Any] = json.loads(text)
    return loaded


@pytest.mark.parametrize("text", [
    b"\n", b"   \n", b"STATE\n", b"status\n", b"STATUS now\n", b"METRICS x\n", b"SUSPEND\n",
    b"SUSPEND b0 b1\n", b"RESTORE\n", b"SUSPEND nobody\n", b"RESTORE nobody\n", b"\xff\xfe\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"x" * 200_000, b"STATUS" + b" " * MAX_LINE_LENGTH + b"\n",
])
def test_what_is_no_call_gets_an_error_with_a_reason(text: bytes) -> None:
    async def test() -> None:
        async with running() as bed:
            answer = await bed.console(text)
            assert answer.startswith("error ") and len(answer.split()) > 1 and answer.endswith("\n")
            assert not bed.program.driver.gateway.suspended

    run(test)


def test_the_status_is_yes_while_the_gateway_serves() -> None:
    async def test() -> None:
        async with running() as bed:
            for text, end in ((b"STATUS\n", False), (b"STATUS\r\nMETRICS\n", False), (b"STATUS", True)):
                assert (await bed.console(text, end)).startswith("done ")
            await bed.discovery.change(bed.discovery.entry("b0", bed.backends[0].address, "DELETED"))
            await bed.discovery.until_asked(3)
            assert (await bed.console(b"STATUS\n")).startswith("error ")

    run(test)


def test_callers_that_hold_their_connections_keep_nobody_out() -> None:
    async def test() -> None:
        async with running() as bed:
            assert bed.program.console.server is not None
            address = bed.program.console.server.sockets[0].getsockname()
            held = [await asyncio.open_connection(*address) for _ in range(3 * MAX_CONSOLE_CONNECTIONS)]
            for _, writer in held[::2]:
                writer.write(b"STAT")
            assert (await bed.console(b"STATUS\n")).startswith("done ")
            assert len(bed.program.console.connections) <= MAX_CONSOLE_CONNECTIONS
            async with asyncio.timeout(SOON):  # the oldest was evicted, with an answer
                assert (await held[0][0].read()).startswith(b"error ")
            for _, writer in held:
                writer.transport.abort()
            client = await bed.client()
            assert (await client.ask(READY))[0] == 200

    run(test)


def test_each_request_is_counted_once_by_how_it_ended() -> None:
    async def test() -> None:
        env = roomy_settings()
        env["packages"][0].update(peak_units=16.0, units_per_s=0.001)
        async with running(env=env) as bed:
            names = [c["name"] for c in env["services"]]
            before = await figures(bed)
            assert before.pop("memory_bytes") >= 0
            assert before.pop("list_age_s") in (0, 1)
            assert before == {
                "success": dict.fromkeys(names, 0), "busy": dict.fromkeys(names, 0),
                "failure": dict.fromkeys(names, 0),
                "backend_calls": 0, "inflight": 0, "hosts_listed": 1, "hosts_down": 0,
                "pool_connections": 0, "pool_idle": 0, "charged_bytes": 0,
                "list_generation": 1, "list_source": "discovery"}
            client = await bed.client()
            bed.backends[0].script = [lambda writer, asked: writer.write(response_bytes(500))]
            assert (await client.ask(request(1, "extract", units="4")))[0] == 502
            assert (await client.ask(request(2, units="4")))[0] == 200
            assert (await client.ask(request(3, units="8")))[0] == 429  # the token bank held 8 of the 16
            bed.backends[0].script = [lambda writer, asked: None]
            other = "00000000000000c2"
            client.send(request(4, customer=other))
            await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 3)
            counted = await figures(bed)
            assert [counted[k]["lookup"] for k in ("success", "busy", "failure")] == [1, 1, 0]
            assert [counted[k]["extract"] for k in ("success", "busy", "failure")] == [0, 0, 1]
            assert counted["backend_calls"] == 3 and counted["inflight"] == 1
            client.reset()
            async with asyncio.timeout(SOON):
                while (counted := await figures(bed))["inflight"]:
                    await asyncio.sleep(0.01)
            assert counted["backend_calls"] == 3

    run(test)


def test_a_backend_taken_out_gets_nothing_until_it_is_put_back() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            client = await bed.client()
            for number in range(8):  # so that both have idle connections
                await client.ask(request(number))
            for _ in range(2):  # the command may be repeated
                assert (await bed.console(b"SUSPEND b1\n")).startswith("done ")
            assert not bed.program.driver.pool.backends["b1"].idle
            assert (await figures(bed))["hosts_down"] == 1
            before = len(bed.backends[1].seen)
            away = bed.discovery.entry("b1", bed.backends[1].address, "DELETED")
            again = bed.discovery.entry("b1", bed.backends[1].address, started=5000)
            for entry, asked in ((away, 3), (again, 4)):
                await bed.discovery.change(entry)
                await bed.discovery.until_asked(asked)
                for number in range(10, 20):
                    assert (await client.ask(request(number)))[0] == 200
            assert len(bed.backends[1].seen) == before
            assert (await bed.console(b"RESTORE b1\n")).startswith("done ")
            async with asyncio.timeout(SOON):
                while len(bed.backends[1].seen) == before:  # a first request is sent there
                    assert (await client.ask(request(30)))[0] in (200, 429)
            assert len(bed.backends[1].seen) == before + 1
            assert (await figures(bed))["hosts_down"] == 0

    run(test)


def test_a_dial_under_way_does_not_outlive_the_ban() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            client = await bed.client()
            client.send(request(1))
            async with asyncio.timeout(SOON):
                while not bed.program.driver.pool.opening:
                    await asyncio.sleep(0)
            chosen, place = next((b, p) for b, p in bed.program.driver.pool.backends.items() if p.waiting)
            assert bed.program.driver.suspend(chosen)
            assert not place.waiting and not place.opening
            assert (await client.answer())[0] == 200
            assert not bed.backends[int(chosen[1:])].seen

    run(test)


# draining


async def send_command(bed: Bed, line: bytes) -> dict[str, Any]:
    """Returns the JSON object of the console's answer, which must be a done."""
    answer = await bed.console(line + b"\n")
    assert answer.startswith("done "), answer
    loaded: dict[str, Any] = json.loads(answer.removeprefix("done "))
    return loaded


def test_what_is_out_at_a_backend_is_told_with_how_it_is_listed() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            free = asyncio.Event()

            async def late(writer: asyncio.StreamWriter, got: HttpMessage) -> None:
                await free.wait()
                serve(writer, got)

            for backend in bed.backends:
                backend.script = [late]
            client = await bed.client()
            client.send(request(1))
            while not bed.seen():
                await asyncio.sleep(0.001)
            where = next(n for n, b in enumerate(bed.backends) if b.seen)
            name = f"b{where}"
            assert await send_command(bed, f"OUT {name}".encode()) == {
                "state": "serving", "out": 1, "list": 1}
            assert (await send_command(bed, f"OUT b{1 - where}".encode()))["out"] == 0
            times = len(bed.discovery.asked)
            await bed.discovery.change(bed.discovery.entry(name, bed.backends[where].address, "DRAINING"))
            await bed.discovery.until_asked(times + 1)
            assert await send_command(bed, f"OUT {name}".encode()) == {
                "state": "draining", "out": 1, "list": 2}
            free.set()
            assert (await client.answer())[0] == 200
            assert (await send_command(bed, f"OUT {name}".encode()))["out"] == 0
            await bed.console(f"SUSPEND b{1 - where}\n".encode())
            assert (await send_command(bed, f"OUT b{1 - where}".encode()))["state"] == "taken out"
            await bed.discovery.change({"instanceId": name, "lifecycle": "DELETED"})
            await bed.discovery.until_asked(times + 2)
            assert (await send_command(bed, f"OUT {name}".encode()))["state"] == "gone"
            assert (await send_command(bed, b"OUT nobody"))["state"] == "unknown"

    run(test)


def test_a_lame_duck_refuses_ready_and_serves_on_until_it_is_taken_back() -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            answer = await send_command(bed, b"DRAIN")
            assert (answer["phase"], answer["ready"]) == ("lame duck", False)
            assert (await send_command(bed, b"DRAIN"))["phase"] == "lame duck"  # repeated, it changes nothing
            assert (await client.ask(READY))[0] == 503
            assert (await bed.console(b"STATUS\n")).startswith("error ")
            status, headers, _ = await client.ask(request(1))
            assert status == 200 and "connection" not in headers
            assert (await send_command(bed, b"SERVE"))["phase"] == "serving"
            assert (await client.ask(READY))[0] == 200 and not bed.program.stop_requested.is_set()
            assert (await send_command(bed, b"SERVE"))["ready"]
            bed.program.lame_duck_time = 0.0
            await send_command(bed, b"DRAIN")
            async with asyncio.timeout(SOON):
                await bed.program.stop_requested.wait()
            assert (await bed.console(b"SERVE\n")).startswith("error it is too late")
            bed.program.final_state_reported.set()  # the console need not stay open

    run(test)


def test_a_drain_does_not_wait_for_a_client_that_never_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("embersill.net.clients.WRITE_TIMEOUT", 0.2)
        async with running() as bed:
            bed.backends[0].script = [lambda writer, got: writer.write(response_bytes(200, b"x" * 8_000_000))]
            deaf = await bed.client(receive_buffer=4096)
            deaf.writer.transport.pause_reading()  # type: ignore[attr-defined]
            deaf.send(request(1))
            await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
            bed.program.lame_duck_time = 0.0
            await send_command(bed, b"DRAIN")
            await bed.program.stop_requested.wait()
            bed.program.final_state_reported.set()
            async with asyncio.timeout(SOON):
                await bed.program.stop()
            assert bed.program.finished and not bed.program.driver.unanswered
            deaf.writer.transport.abort()

    run(test)
