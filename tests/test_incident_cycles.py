"""Incident of 2026-12: what belonged to closed connections was kept until the garbage collector came by."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable

import pytest

from embersill.lab.peers import HttpMessage
from tests.bed import Bed, Client, request, roomy_settings, run, running, with_bed

LARGE = 200_000  # bytes of a body that is streamed
GATEWAY_MODULES = ("embersill.net", "embersill.control", "embersill.interface", "httptools")


def objects_in_cycles() -> set[str]:
    """The types of the gateway's objects that only the garbage collector would free."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        kinds = {f"{type(found).__module__}.{type(found).__qualname__}" for found in gc.garbage}
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
    return {kind for kind in kinds if kind.startswith(GATEWAY_MODULES)}


async def leave_unanswered(bed: Bed, client: Client) -> None:
    async def stay_silent(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        await asyncio.sleep(0.5)

    bed.backends[0].script = [stay_silent]
    client.send(request(1, "report", body=b"x" * 20_000))
    await bed.backends[0].until(lambda: bool(bed.backends[0].seen))
    client.reset()


async def send_unsound(bed: Bed, client: Client) -> None:
    assert (await client.ask(request(1, "unknown", body=b"x" * LARGE)))[0] == 400


async def send_unsound_quota(bed: Bed, client: Client) -> None:
    text = request(1, "report", body=b"x" * LARGE).replace(b"units=", b"unit=")
    assert (await client.ask(text))[0] == 400


async def stop_half_way(bed: Bed, client: Client) -> None:
    client.send(request(1, "report", body=b"x" * LARGE)[:-1000])
    await asyncio.sleep(0.2)
    client.reset()


async def be_served(bed: Bed, client: Client) -> None:
    assert (await client.ask(request(1, "report", body=b"x" * LARGE)))[0] == 200
    client.reset()


async def leave_a_long_answer(bed: Bed, client: Client) -> None:
    def respond(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (2 * LARGE, b"x" * LARGE))

    bed.backends[0].script = [respond]
    client.send(request(1))
    await asyncio.sleep(0.2)
    client.reset()


async def send_no_http(bed: Bed, client: Client) -> None:
    assert (await client.ask(b"\x16\x03\x01" * 100))[0] == 400


CLIENTS: list[Callable[[Bed, Client], Awaitable[None]]] = [
    leave_unanswered, send_unsound, send_unsound_quota, stop_half_way, be_served, leave_a_long_answer,
    send_no_http]


@pytest.mark.parametrize("act", CLIENTS)
def test_nothing_of_a_closed_connection_waits_for_the_garbage_collector(
    act: Callable[[Bed, Client], Awaitable[None]]
) -> None:
    async def test(bed: Bed) -> None:
        gc.collect()
        gc.disable()
        try:
            await act(bed, await bed.client())
            async with asyncio.timeout(5.0):
                while bed.program.front.connections or bed.program.driver.pending:
                    await asyncio.sleep(0.02)
            bed.program.dialer.pool.close_all()
            await asyncio.sleep(0.1)
            assert not objects_in_cycles()
        finally:
            gc.enable()

    with_bed(test)


def test_requests_whose_clients_leave_before_any_attempt_are_forgotten() -> None:
    async def test() -> None:
        env = roomy_settings()
        env["packages"][0].update(peak_units=1.0, units_per_s=2.0)
        async with running(env=env) as bed:
            clients = [await bed.client() for _ in range(4)]
            for number, client in enumerate(clients):
                client.send(request(number))
            async with asyncio.timeout(5.0):
                while not any(not pending.attempts for pending in bed.program.driver.pending.values()):
                    await asyncio.sleep(0.001)
            for client in clients:
                client.reset()
            async with asyncio.timeout(5.0):
                while bed.program.front.connections:
                    await asyncio.sleep(0.01)
            assert not bed.program.driver.pending and not bed.program.driver.unanswered

    run(test)
