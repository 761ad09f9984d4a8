"""Incident of 2026-12: attempts that started after their client had disconnected.

Real processes over loopback. The gateway is suspended for a moment, as by a long callback or by the
scheduler; the event that it reads first causes an attempt, and the client's disconnection is read after it.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

from embersill.lab.soak.backends import Behaviour
from embersill.lab.soak.observations import AttemptEnd
from tests.bed import run
from tests.peers import SOON
from tests.soak_bed import SoakBed, soak_bed

SUSPENDED = 0.25  # seconds


async def until_attempted(bed: SoakBed, call_id: str, times: int = 1) -> None:
    async with asyncio.timeout(SOON):
        while len(bed.requests[call_id].attempts) < times:
            await asyncio.sleep(0.002)


def test_no_retry_starts_for_a_disconnected_client(tmp_path: pathlib.Path) -> None:
    """A backend rejects the attempt, then the client closes, both while the gateway is suspended."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4) as bed:
            # leaves idle connections
            warm = await asyncio.gather(*(bed.send_request(f"warm-{n}") for n in range(24)))
            assert set(warm) == {200}
            for model in bed.backends.models.values():
                model.behaviour, model.mean_work_time = Behaviour.REJECT, 0.05
            _, writer = await bed.connect()
            writer.write(bed.make_request("gone"))
            await until_attempted(bed, "gone")
            bed.gateway.signal(signal.SIGSTOP)
            async with asyncio.timeout(SOON):
                while bed.requests["gone"].attempts[0].end is not AttemptEnd.REJECTED:
                    await asyncio.sleep(0.002)
            writer.transport.abort()
            await asyncio.sleep(SUSPENDED)
            bed.gateway.signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
            assert len(bed.requests["gone"].attempts) == 1

    run(test)


def test_no_first_attempt_starts_for_a_disconnected_client(tmp_path: pathlib.Path) -> None:
    """A request arrives and its client disconnects while the gateway is suspended."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4) as bed:
            assert await bed.send_request("before") == 200
            _, writer = await bed.connect()
            await asyncio.sleep(0.05)
            bed.gateway.signal(signal.SIGSTOP)
            writer.write(bed.make_request("gone"))
            await asyncio.sleep(0.02)
            writer.close()
            await asyncio.sleep(SUSPENDED)
            bed.gateway.signal(signal.SIGCONT)
            await asyncio.sleep(0.3)
            assert not bed.requests["gone"].attempts
            assert await bed.send_request("after") == 200

    run(test)
