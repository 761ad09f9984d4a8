"""Incident of 2026-12: a drain that the agent received right before an outage of discovery.

A gateway sent requests to the backend for as long as the outage lasted: it paused after each answer until 50
ms after its last call, but a change that the agent gets in that time counts as received. The pause was meant
to save processor time during a release of thousands of backends, which stays within its limit without it.
"""

from __future__ import annotations

import asyncio
import pathlib
import time

from tests.bed import run
from tests.soak_bed import soak_bed

BACKENDS = 4
GRACE = 0.35  # seconds in which sends to a draining backend must stop, with some slack
CHANGE_INTERVAL = 0.015  # seconds between the changes, and until the outage


def test_a_drain_between_other_changes_and_an_outage_is_applied(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with soak_bed(tmp_path, BACKENDS) as bed:
            for number in range(2 * BACKENDS):
                assert await bed.send_request(f"before-{number}") == 200
            for other in ("b2", "b3"):  # the pause followed the second answer
                bed.agent.apply_changes([bed.entry(other, "DRAINING")])
                await asyncio.sleep(CHANGE_INTERVAL)
            drained = time.monotonic()
            bed.agent.apply_changes([bed.entry("b0", "DRAINING")])
            await asyncio.sleep(CHANGE_INTERVAL)
            bed.agent.set_down(True)
            await asyncio.sleep(drained + GRACE - time.monotonic())
            for number in range(20):
                assert await bed.send_request(f"after-{number}") == 200
            assert not bed.attempt_times("b0", drained + GRACE, time.monotonic())

    run(test)
