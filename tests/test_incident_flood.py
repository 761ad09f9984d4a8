"""Incident of 2026-12: peers that sent at full speed delayed everybody else's answers."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
from collections.abc import Awaitable

import pytest

from tests import flood_client
from tests.bed import run
from tests.incident_bed import (
    LEAST_LIMITS, MEMORY_MB, MemoryWatch, ScriptedBackends, SoundClients, incident_bed,
)
from tests.soak_bed import SoakBed, signature_head

pytestmark = pytest.mark.heavy

FLOOD_TIME = 3.0  # seconds
WORK = 0.1  # seconds that a backend takes for a request
# Seconds above the work for nine answers in ten: a gateway has to notice a client's close, and so to turn to
# each connection, within this time.
MAX_DELAY = 0.1
TINY_CHUNKS = 20_000  # written at a time
READ_SIZE = 65_536  # bytes
KINDS = ["one customer", "new customers", "unknown class", "no path", "chunks", "blank lines"]


async def flood(port: int, kind: str) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, flood_client.__file__, str(port), kind, str(FLOOD_TIME),
        stdout=asyncio.subprocess.DEVNULL)
    await process.wait()


async def check_others(bed: SoakBed, flood: Awaitable[object]) -> None:
    """Checks the memory and the answers of other clients during a flood."""
    watch, others = MemoryWatch(bed), SoundClients(bed)
    await flood
    await others.stop()
    assert bed.gateway.running and watch.stop() <= MEMORY_MB
    assert not others.lost, others.losses
    latencies = sorted(others.latencies)
    assert latencies[len(latencies) * 9 // 10] <= WORK + MAX_DELAY


@pytest.mark.parametrize("peers", [1, 4])
@pytest.mark.parametrize("kind", KINDS)
def test_a_flood_on_some_connections_leaves_other_clients_their_answers(
    kind: str, peers: int, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        async with incident_bed(tmp_path, ScriptedBackends(work=WORK), LEAST_LIMITS) as bed:
            await check_others(bed, asyncio.gather(*(flood(bed.gateway.port, kind) for _ in range(peers))))

    run(test)


@pytest.mark.parametrize("answers", [1, 4])
def test_answers_in_tiny_chunks_leave_other_clients_their_answers(
    answers: int, tmp_path: pathlib.Path
) -> None:
    """A backend writes chunks of one byte at full speed."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        end = time.monotonic() + FLOOD_TIME
        while time.monotonic() < end:
            writer.write(b"1\r\nx\r\n" * TINY_CHUNKS)
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def read_answer(bed: SoakBed, number: int) -> None:
        reader, writer = await bed.connect()
        writer.write(signature_head(f"tiny-{number}", "Content-Length: 2") + b"xx")
        while b"0\r\n\r\n" not in await reader.read(READ_SIZE):
            pass
        writer.close()

    async def test() -> None:
        async with incident_bed(tmp_path, ScriptedBackends(respond, work=WORK), LEAST_LIMITS) as bed:
            await check_others(bed, asyncio.gather(*(read_answer(bed, n) for n in range(answers))))

    run(test)
