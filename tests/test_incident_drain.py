"""Incident of 2026-12: sends to draining backends while a list of thousands of backends was arriving.

Real processes over loopback. The list of 3,200 backends takes longer to arrive than the timeout of a silent
call, although bytes arrive all the time: the client must not cancel such a call.
"""

from __future__ import annotations

import asyncio
import pathlib
import time

import pytest

from embersill.lab.soak.deployment import GRACE
from embersill.net import discovery
from tests.bed import run
from tests.soak_bed import SoakBed, soak_bed

BACKENDS = 3200
SLACK = 0.1  # seconds by which this process may be late
PIECE_BYTES, PIECE_INTERVAL = 4096, 0.005  # seconds between pieces: 560 KB take about 0.8 s


async def send_requests(bed: SoakBed, seconds: float, name: str) -> None:
    """Sends requests all the time, so that sends to a draining backend are seen."""
    end, number = time.monotonic() + seconds, 0
    asked = []
    while time.monotonic() < end:
        number += 1
        asked.append(asyncio.create_task(bed.send_request(f"{name}-{number}")))
        await asyncio.sleep(0.004)
    await asyncio.gather(*asked)


def test_a_slowly_arriving_full_list_is_applied_in_time(tmp_path: pathlib.Path) -> None:
    """After a watch broke, the agent's changes count as received: the full list must be read in time."""

    async def test() -> None:
        async with soak_bed(tmp_path, BACKENDS) as bed:
            await send_requests(bed, 0.5, "before")
            bed.agent.faults.full_lists = True
            bed.agent.faults.chunk_bytes, bed.agent.faults.chunk_pause = PIECE_BYTES, PIECE_INTERVAL
            draining = sorted({a.backend for r in bed.requests.values() for a in r.attempts})
            assert draining
            bed.agent.break_watches()
            bed.agent.apply_changes([bed.entry(name, "DRAINING") for name in draining])
            told, before = time.monotonic(), bed.agent.last_written_at
            sending = asyncio.create_task(send_requests(bed, 4.0, "after"))
            async with asyncio.timeout(2.5):  # about 0.8 s, and more on a busy machine
                while bed.agent.last_written_at == before:
                    await asyncio.sleep(0.01)
            written = bed.agent.last_written_at
            assert written > told + 0.5  # it takes longer than the timeout of a silent call
            await sending
            # the agent had written all of it only then: the time for the list adds to the grace
            late = [at for name in draining for at in bed.attempt_times(name, written + GRACE + SLACK)]
            assert not late, f"{len(late)} sends, the last {max(late):.2f} s after the end of the grace"

    run(test)


@pytest.mark.parametrize("whole", [False, True])
def test_a_connection_closed_between_two_calls_is_replaced_at_once(
    whole: bool, tmp_path: pathlib.Path
) -> None:
    """A call on a connection that was already closed got no answer, and waited for its full time."""

    async def test() -> None:
        async with soak_bed(tmp_path, 300) as bed:
            bed.agent.faults.full_lists = whole
            for turn in range(12):
                bed.agent.apply_changes([bed.entry(bed.names[turn], "DRAINING")])
                await asyncio.sleep(0.01)  # the change is delivered, and the next call not made yet
                bed.agent.break_watches()
                bed.agent.apply_changes([bed.entry(bed.names[100 + turn], "DRAINING")])
                calls = bed.agent.calls
                async with asyncio.timeout(0.5):
                    while bed.agent.calls == calls:
                        await asyncio.sleep(0.005)
                await asyncio.sleep(0.1)

    run(test)


@pytest.mark.parametrize(
    ("piece", "every", "ends_within"),
    [
        (0, 0.0, 0.15),  # silent after its first byte
        (1, 0.02, 0.45),  # too slow, though never silent
    ],
)
def test_an_answer_that_stalls_or_is_too_slow_times_out(
    piece: int, every: float, ends_within: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Unlike a long list, an answer that stops or is too slow must not be waited for."""
    monkeypatch.setattr(discovery, "MAX_ANSWER_TIME", 0.3)
    monkeypatch.setattr(discovery, "MIN_LIST_RATE", 1000)

    async def test() -> None:
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1) as limit:
                progress, size = discovery.AnswerDeadline(limit, 0.1), 1
                progress.extend(size)
                while True:
                    await asyncio.sleep(every or 60.0)
                    size += piece
                    progress.extend(size)
        assert time.monotonic() - began < ends_within + SLACK

    run(test)


def test_an_answer_that_makes_progress_does_not_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_ANSWER_TIME", 0.3)

    async def test() -> None:
        async with asyncio.timeout(0.1) as limit:
            progress = discovery.AnswerDeadline(limit, 0.1)
            for pieces in range(1, 31):
                progress.extend(pieces * discovery.MIN_LIST_RATE)
                await asyncio.sleep(0.03)

    run(test)
