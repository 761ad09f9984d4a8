"""Incident of 2026-12: a request whose client left and sent it again ran at two backends."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Callable
from dataclasses import replace

import pytest

from embersill.lab.peers import read_message, reset, response_bytes
from embersill.lab.soak.deployment import RequestClass
from embersill.lab.soak.gateway_process import GatewayProcess
from tests.bed import run
from tests.incident_bed import LEAST_LIMITS, ScriptedBackends, incident_bed
from tests.peers import SOON
from tests.soak_bed import LOOKUP, SIGNATURE, SoakBed, signature_head

WORK, SLOW_WORK = 0.3, 1.2  # seconds that a backend takes; the latter for calls whose id begins with "slow"
LEAVES_AFTER = 0.12  # seconds after which a client leaves
WINDOW = 1.0  # seconds for which the backends of a cell drop a repeat
SLACK = 0.05  # seconds, that of the protocol on sockets
ROUNDS = 12
OTHER_SEED = "0123456789abcdef"  # each start has a new one
SIGN = RequestClass("sign", "by_key", 2.0, 5.0, "cell", WINDOW)  # each backend is a cell of its own
LONG_SIGN = RequestClass("long-sign", "by_key", 2.0, 5.0, "cell", 10.0)
PAY = RequestClass("pay", "once", 2.0, 5.0)
DEPLOYMENT = replace(LEAST_LIMITS, classes=(LOOKUP, SIGN, LONG_SIGN, PAY), memory_mb=96)
LEAVES: dict[str, Callable[[asyncio.StreamWriter], None]] = {
    "close": lambda writer: writer.close(), "reset": reset}


def post(call_id: str, klass: RequestClass) -> bytes:
    head = signature_head(call_id, "Content-Length: 2").replace(SIGNATURE.name.encode(), klass.name.encode())
    if klass.repeats != "by_key":
        head = head.replace(b"Idempotency-Key: key-%b\r\n" % call_id.encode(), b"")
    return head + b"xx"


async def respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
) -> None:
    await asyncio.sleep(SLOW_WORK if headers["x-call-id"].startswith("slow") else WORK)
    writer.write(response_bytes(200, b"served"))


async def send_and_leave(bed: SoakBed, call_id: str, klass: RequestClass, leave: str = "close") -> None:
    _, writer = await bed.connect()
    writer.write(post(call_id, klass))
    await asyncio.sleep(LEAVES_AFTER)
    LEAVES[leave](writer)


async def send_again(port: int, call_id: str, klass: RequestClass) -> int:
    """Sends a request on a new connection, and returns its answer's status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(post(call_id, klass))
    first, _, _ = await read_message(reader)
    writer.close()
    return int(first.split()[1])


def check(backends: ScriptedBackends, call_id: str, klass: RequestClass) -> None:
    """Checks that the request ran once, or for keyed ones at one cell and within the window."""
    attempts = backends.attempts_of(call_id)
    assert attempts
    assert len({attempt.backend for attempt in attempts}) == 1
    assert attempts[-1].at - attempts[0].at <= klass.window + SLACK
    assert len(attempts) == 1 or klass.repeats == "by_key"


@pytest.mark.parametrize("leave", LEAVES)
@pytest.mark.parametrize("klass", [SIGN, PAY], ids=["keyed", "once"])
def test_a_request_that_comes_again_after_its_client_left_runs_in_one_cell(
    klass: RequestClass, leave: str, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        backends = ScriptedBackends(respond)
        async with incident_bed(tmp_path, backends, DEPLOYMENT) as bed:
            for number in range(ROUNDS):
                await send_and_leave(bed, f"again-{number}", klass, leave)
                status = await send_again(bed.gateway.port, f"again-{number}", klass)
                assert status == (200 if klass is SIGN else 502)
            for number in range(ROUNDS):
                check(backends, f"again-{number}", klass)

    run(test)


def test_a_keyed_request_that_comes_again_after_the_window_is_not_sent(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        backends = ScriptedBackends(respond)
        async with incident_bed(tmp_path, backends, DEPLOYMENT) as bed:
            await send_and_leave(bed, "late", SIGN)
            await asyncio.sleep(WINDOW)
            assert await send_again(bed.gateway.port, "late", SIGN) == 502
            check(backends, "late", SIGN)

    run(test)


def test_an_answered_request_that_comes_again_runs_in_one_cell(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        backends = ScriptedBackends(respond)
        async with incident_bed(tmp_path, backends, DEPLOYMENT) as bed:
            for number in range(ROUNDS):
                for _ in range(2):
                    assert await send_again(bed.gateway.port, f"answered-{number}", SIGN) == 200
                check(backends, f"answered-{number}", SIGN)

    run(test)


@pytest.mark.parametrize("klass", [SIGN, PAY], ids=["keyed", "once"])
def test_a_request_that_comes_again_while_it_is_open_is_not_out_twice(
    klass: RequestClass, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        came_again = asyncio.Event()

        async def respond_late(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
        ) -> None:
            await came_again.wait()
            await respond(reader, writer, headers)

        backends = ScriptedBackends(respond_late)
        async with incident_bed(tmp_path, backends, DEPLOYMENT) as bed:
            for number in range(ROUNDS):
                came_again.clear()
                first = asyncio.create_task(send_again(bed.gateway.port, f"open-{number}", klass))
                await asyncio.sleep(LEAVES_AFTER)
                assert await send_again(bed.gateway.port, f"open-{number}", klass) == 502
                came_again.set()
                assert await first == 200
                assert len(backends.attempts_of(f"open-{number}")) == 1

    run(test)


async def upgrade(bed: SoakBed) -> GatewayProcess:
    """Starts a successor of the bed's gateway and waits until the gateway is handed over."""
    configuration = bed.configuration(seed=OTHER_SEED)
    successor = GatewayProcess(0, bed.folder / "gateway", configuration, port=bed.gateway.port)
    await successor.start()
    async with asyncio.timeout(SOON):
        while not bed.gateway.has_logged("handed over to", 0):
            await asyncio.sleep(0.02)
    return successor


async def end(process: GatewayProcess) -> None:
    assert process.child is not None
    process.child.kill()
    await process.wait()


@pytest.mark.parametrize("klass", [LONG_SIGN, PAY], ids=["keyed", "once"])
@pytest.mark.parametrize("moment", ["before", "after"])
def test_a_request_that_comes_again_at_the_successor_runs_in_one_cell(
    moment: str, klass: RequestClass, tmp_path: pathlib.Path
) -> None:
    """Its client leaves the predecessor before the hand-over, or after it."""

    async def test() -> None:
        backends = ScriptedBackends(respond)
        async with incident_bed(tmp_path, backends, DEPLOYMENT) as bed:
            names = [f"slow-{number}" for number in range(ROUNDS)]
            clients = [await bed.connect() for _ in names]
            for name, (_, writer) in zip(names, clients, strict=True):
                writer.write(post(name, klass))
            await asyncio.sleep(LEAVES_AFTER)
            successor = None if moment == "before" else await upgrade(bed)
            for _, writer in clients:
                writer.close()
            successor = successor or await upgrade(bed)
            statuses = await asyncio.gather(*(send_again(bed.gateway.port, name, klass) for name in names))
            assert statuses == [200 if klass is LONG_SIGN else 502] * ROUNDS
            for name in names:
                check(backends, name, klass)
            await end(successor)

    run(test)
