"""Incident of 2026-12: peers that sent at full speed delayed everybody else's answers."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import pytest

from tests import flood_client
from tests.bed import run
from tests.incident_bed import (
    LEAST_LIMITS, MEMORY_MB, MemoryWatch, ScriptedBackends, SoundClients, incident_bed,
)

FLOOD_TIME = 3.0  # seconds
WORK = 0.1  # seconds that a backend takes for a request
# Seconds above the work for nine answers in ten: a gateway has to notice a client's close, and so to turn to
# each connection, within this time.
MAX_DELAY = 0.1
KINDS = ["one customer", "new customers", "unknown class", "no path", "chunks", "blank lines"]


async def flood(port: int, kind: str) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, flood_client.__file__, str(port), kind, str(FLOOD_TIME),
        stdout=asyncio.subprocess.DEVNULL)
    await process.wait()


@pytest.mark.parametrize("peers", [1, 4])
@pytest.mark.parametrize("kind", KINDS)
def test_a_flood_on_some_connections_leaves_other_clients_their_answers(
    kind: str, peers: int, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        async with incident_bed(tmp_path, ScriptedBackends(work=WORK), LEAST_LIMITS) as bed:
            watch, others = MemoryWatch(bed), SoundClients(bed)
            await asyncio.gather(*(flood(bed.gateway.port, kind) for _ in range(peers)))
            await others.stop()
            assert bed.gateway.running and watch.stop() <= MEMORY_MB
            assert not others.lost
            latencies = sorted(others.latencies)
            assert latencies[len(latencies) * 9 // 10] <= WORK + MAX_DELAY

    run(test)
