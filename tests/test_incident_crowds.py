"""Incident of 2026-12: crowds whose peers come again took a gateway over the memory that the kernel counts.

pytestmark = pytest.mark.heavy

A crowd begins before the gateway does, and goes on while the process is killed, ended or upgraded.
"""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import replace

import pytest

from embersill.lab.soak.crowd import FORMS
from tests.bed import run
from tests.crowd_bed import BURST, RATE, CrowdBed, crowd_process, respond_as_asked
from tests.incident_bed import LEAST_LIMITS, MEMORY_MB, SOCKETS, ScriptedBackends, incident_bed

PEERS = 330
FEWEST_SOCKETS = 256  # a gateway with them takes some 115 clients
# forms whose peers are ended, or leave, without an answer of a backend
INCOMPLETE_FORMS = ["slow_writer", "short_fields", "long_field", "head_leaving", "blank_lines", "idle"]
LIFE = 3.0  # seconds that a crowd goes on before and after the process is replaced
WORK = 0.02  # seconds that a backend takes for a sound request
MIN_SERVED_SHARE = 0.9  # of the sound requests
CROWDS = {name: name for name in FORMS} | {
    "picture of the report": "slow_writer,stopped,short_fields,slow_reader",
    "mostly leaving": "leaving,large_unsound,slow_reader_leaving,ahead_leaving",
    "heads and answers": "stopped_unsound,answer_leaving,long_field,pipelined_leaving",
    "all forms": ",".join(FORMS),
}
LIMITS = [(32, 256), (32, 640), (48, 1024), (64, 512), (96, 1024), (192, 1024)]  # MB, descriptors
REPLACEMENTS = ["kill_and_start", "terminate_and_start", "upgrade"]


async def play(
    folder: pathlib.Path, forms: str, memory_mb: int, sockets: int, replacement: str, peers: int = PEERS
) -> CrowdBed:
    """Plays a crowd in both lives of a gateway."""
    deployment = replace(LEAST_LIMITS, memory_mb=memory_mb, sockets=sockets, rate=RATE, burst=BURST)
    backends = ScriptedBackends(respond_as_asked, work=WORK)
    async with incident_bed(folder, backends, deployment) as bed:
        crowd_bed = CrowdBed(bed, memory_mb)
        async with crowd_process(bed, forms, peers, 10 * LIFE):
            await asyncio.sleep(LIFE)
            if not crowd_bed.platform.killed:
                await getattr(crowd_bed, replacement)()
                await asyncio.sleep(LIFE)
            await crowd_bed.stop()
    return crowd_bed


def check(crowd_bed: CrowdBed) -> None:
    """Expects a gateway that was never killed for its memory, and sound requests that were served."""
    judged = len(crowd_bed.judged())
    assert crowd_bed.platform.killed == 0, crowd_bed.platform.peak_mb
    assert judged and crowd_bed.unanswered == 0, (crowd_bed.unanswered, judged)
    assert crowd_bed.served >= MIN_SERVED_SHARE * judged, (crowd_bed.served, judged)


@pytest.mark.parametrize("crowd", CROWDS)
def test_a_crowd_that_comes_again_stays_within_the_least_memory(crowd: str, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        check(await play(tmp_path, CROWDS[crowd], MEMORY_MB, SOCKETS, "kill_and_start"))

    run(test)


@pytest.mark.parametrize("form", INCOMPLETE_FORMS)
def test_incomplete_requests_do_not_keep_others_out_of_a_full_table(
    form: str, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        check(await play(tmp_path, form, MEMORY_MB, FEWEST_SOCKETS, "kill_and_start"))

    run(test)


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_a_crowd_that_comes_again_stays_within_other_limits(
    memory_mb: int, sockets: int, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        check(await play(tmp_path, CROWDS["all forms"], memory_mb, sockets, "kill_and_start"))

    run(test)


@pytest.mark.parametrize("replacement", REPLACEMENTS[1:])
@pytest.mark.parametrize("memory_mb", [32, 48, 96])
def test_a_crowd_beside_a_replaced_process_stays_within_the_memory_limit(
    replacement: str, memory_mb: int, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        check(await play(tmp_path, CROWDS["all forms"], memory_mb, SOCKETS, replacement))

    run(test)


@pytest.mark.parametrize("form", ["slow_writer", "slow_reader", "large_requests", "stopped"])
def test_both_processes_of_an_upgrade_stay_within_the_least_memory(form: str, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        crowd_bed = await play(tmp_path, form, MEMORY_MB, SOCKETS, "upgrade")
        assert crowd_bed.platform.killed == 0, crowd_bed.platform.peak_mb

    run(test)
