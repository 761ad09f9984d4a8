"""Incident of 2026-12: the time that a backend is told, where a request waited long before it was read.

Found by the soak (seed 10) and by CI. A client's time runs from when it wrote, but the gateway counted from
when it read, and reckoned what it could not see from its hold-ups. A request that waited in the kernel, for
its connection to be accepted or behind earlier requests, brought its backend up to a second too much. Now the
kernel is asked when the last bytes came (TCP_INFO).
"""

from __future__ import annotations

import asyncio
import pathlib
import time

import pytest

from embersill.lab.peers import read_message
from embersill.lab.soak.deployment import Deployment
from embersill.net.clients import MAX_PIPELINED, STALLED_AFTER
from tests.bed import run
from tests.peers import SOON
from tests.soak_bed import BOOKING, LOOKUP, SoakBed, soak_bed

SLACK = 0.15  # seconds that a backend may be told beyond what the client has left
LESS = 0.3  # seconds that it may be told too little
BUDGET = 1.9  # seconds: below the aim, which bounds what is told too
WAITS = 0.8  # seconds for which the requests before keep the gateway from reading
FEW_SOCKETS = 64  # descriptors of a gateway that holds few connections
CROWD = 28  # connections that it takes from clients then


def check_time_told(bed: SoakBed, call_id: str, written: float, waited_at_least: float) -> None:
    attempt = bed.requests[call_id].attempts[0]
    waited = attempt.whole_at - written
    assert waited > waited_at_least, "it was not kept waiting"
    assert BUDGET - waited - LESS <= attempt.budget <= BUDGET - waited + SLACK


def set_work(bed: SoakBed, seconds: float) -> None:
    for model in bed.backends.models.values():
        model.work = seconds


def test_a_request_that_waited_for_its_connection_to_be_accepted(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        few = Deployment(1, (LOOKUP, BOOKING), rate=1000.0, burst=1000.0, sockets=FEW_SOCKETS)
        async with soak_bed(tmp_path, 4, few) as bed:
            crowd = [await bed.connect() for _ in range(CROWD)]
            for _, writer in crowd:
                writer.write(b"GET /api")  # it may send on, and so keeps its place for a while
            await asyncio.sleep(STALLED_AFTER / 10)
            reader, writer = await bed.connect()
            written = time.monotonic()
            writer.write(bed.text("late", budget=BUDGET))
            async with asyncio.timeout(SOON):
                first, _, _ = await read_message(reader)
            assert first.split()[1] == "200"
            check_time_told(bed, "late", written, STALLED_AFTER / 2)
            for _, writer in crowd:
                writer.close()

    run(test)


@pytest.mark.parametrize("more", [1, 3])
def test_a_request_that_waited_behind_those_sent_before_it(more: int, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with soak_bed(tmp_path, 4) as bed:
            set_work(bed, WAITS)
            reader, writer = await bed.connect()
            first = [f"first-{number}" for number in range(MAX_PIPELINED + 1)]
            writer.write(b"".join(bed.text(call_id) for call_id in first))
            await asyncio.sleep(WAITS / 4)
            set_work(bed, 0.01)
            late = [f"late-{number}" for number in range(more)]
            written = time.monotonic()
            writer.write(b"".join(bed.text(call_id, budget=BUDGET) for call_id in late))
            async with asyncio.timeout(SOON):
                for _ in (*first, *late):
                    answer, _, _ = await read_message(reader)
                    assert answer.split()[1] == "200"
            for call_id in late:
                check_time_told(bed, call_id, written, WAITS / 2)

    run(test)
