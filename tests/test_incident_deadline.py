"""Incident of 2026-12: the time that a backend is told, where the gateway was held up before it read.

Found by the soak (seed 101): holds in a row, and a backend told 0.54 s with 0.15 s left to the client.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time

import pytest

from embersill.lab.peers import read_message
from tests.bed import run
from tests.peers import SOON
from tests.soak_bed import soak_bed

SLACK = 0.15  # seconds that a backend may be told beyond what the client has left


@pytest.mark.parametrize("held_up", [0.15, 0.3, 0.6])
def test_a_backend_is_told_no_more_than_the_client_has_left(held_up: float, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with soak_bed(tmp_path, 4) as bed:
            assert await bed.ask("before") == 200
            reader, writer = await bed.connect()
            await asyncio.sleep(0.05)
            bed.gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(0.02)
            written = time.monotonic()
            writer.write(bed.text("late", budget=held_up + 0.5))
            await asyncio.sleep(held_up)
            bed.gateway.signal(signal.SIGCONT)
            async with asyncio.timeout(SOON):
                first, _, _ = await read_message(reader)
            assert first.split()[1] == "200"
            attempt = bed.requests["late"].attempts[0]
            left = written + held_up + 0.5 - attempt.whole_at
            assert attempt.budget <= left + SLACK
            assert attempt.budget >= left - 0.3  # and not much less than that

    run(test)


def test_a_request_whose_time_is_over_when_it_is_read_is_refused_and_not_sent(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with soak_bed(tmp_path, 4) as bed:
            assert await bed.ask("before") == 200
            reader, writer = await bed.connect()
            await asyncio.sleep(0.05)
            bed.gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(0.02)
            writer.write(bed.text("over", budget=0.3))
            await asyncio.sleep(0.6)
            bed.gateway.signal(signal.SIGCONT)
            async with asyncio.timeout(SOON):
                first, _, _ = await read_message(reader)
            assert first.split()[1] in ("429", "503") and not bed.requests["over"].attempts

    run(test)
