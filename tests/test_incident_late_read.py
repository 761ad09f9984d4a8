"""Incident of 2026-12: the budget sent to a backend if a request waited in the kernel before it was read.

Guards against counting a client's budget from the time of the read, corrected by stalls of the loop only. A
request that waited for its connection to be accepted, or behind earlier requests, then brought its backend a
budget of up to a second too much (soak, seed 10). The kernel knows when the last bytes arrived (TCP_INFO).
"""

from __future__ import annotations

import asyncio
import pathlib
import time

import pytest

from embersill.lab.peers import read_message
from embersill.lab.soak.deployment import Deployment
from embersill.net.clients import STALLED_AFTER
from embersill.net.memory import MAX_PIPELINED
from tests.bed import run
from tests.peers import SOON
from tests.soak_bed import BOOKING, LOOKUP, SoakBed, soak_bed

SLACK = 0.15  # seconds by which the budget sent may exceed what the client has left
SHORTFALL = 0.3  # seconds by which it may be too short
BUDGET = 1.9  # seconds: below the aim, which limits the budget sent too
WAIT = 0.8  # seconds for which earlier requests keep the gateway from reading
FEW_SOCKETS = 64  # descriptors of the gateway, which leave few client connections
MAX_CLIENTS = 28  # client connections that it accepts with these


def check_budget_sent(bed: SoakBed, call_id: str, written: float, min_wait: float) -> None:
    """Checks the budget of the first attempt against the time for which the request waited."""
    attempt = bed.requests[call_id].attempts[0]
    waited = attempt.received_at - written
    assert waited > min_wait, "the request did not wait"
    assert BUDGET - waited - SHORTFALL <= attempt.budget <= BUDGET - waited + SLACK


def set_work(bed: SoakBed, seconds: float) -> None:
    """Sets the time that the backends take for a request."""
    for model in bed.backends.models.values():
        model.mean_work_time = seconds


def test_the_budget_counts_the_wait_for_accept(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        few = Deployment(1, (LOOKUP, BOOKING), rate=1000.0, burst=1000.0, sockets=FEW_SOCKETS)
        async with soak_bed(tmp_path, 4, few) as bed:
            others = [await bed.connect() for _ in range(MAX_CLIENTS)]
            for _, writer in others:
                writer.write(b"GET /api")  # partly sent requests are not evicted for STALLED_AFTER
            await asyncio.sleep(STALLED_AFTER / 10)
            reader, writer = await bed.connect()
            written = time.monotonic()
            writer.write(bed.make_request("late", budget=BUDGET))
            async with asyncio.timeout(SOON):
                first, _, _ = await read_message(reader)
            assert first.split()[1] == "200"
            check_budget_sent(bed, "late", written, STALLED_AFTER / 2)
            for _, writer in others:
                writer.close()

    run(test)


@pytest.mark.parametrize("more", [1, 3])
def test_the_budget_counts_the_wait_behind_earlier_requests(more: int, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with soak_bed(tmp_path, 4) as bed:
            set_work(bed, WAIT)
            reader, writer = await bed.connect()
            first = [f"first-{number}" for number in range(MAX_PIPELINED + 1)]
            writer.write(b"".join(bed.make_request(call_id) for call_id in first))
            await asyncio.sleep(WAIT / 4)
            set_work(bed, 0.01)
            late = [f"late-{number}" for number in range(more)]
            written = time.monotonic()
            writer.write(b"".join(bed.make_request(call_id, budget=BUDGET) for call_id in late))
            async with asyncio.timeout(SOON):
                for _ in (*first, *late):
                    answer, _, _ = await read_message(reader)
                    assert answer.split()[1] == "200"
            for call_id in late:
                check_budget_sent(bed, call_id, written, WAIT / 2)

    run(test)
