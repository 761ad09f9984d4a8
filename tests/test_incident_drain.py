"""Incident of 2026-12: sends to backends that drain, seen only with thousands of them in the list.

Real processes over loopback. The list of 3,200 backends takes longer to arrive than a call that is silent
may take, though bytes come all the time.
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
SLACK = 0.1  # seconds that this process itself may be late
PIECE, PAUSE = 4096, 0.005  # of a list of 560 KB: about 0.8 s in all, and never a pause to speak of


async def ask_for(bed: SoakBed, seconds: float, name: str) -> None:
    """Some requests at any time, so that a backend that is still drawn is seen to be."""
    end, number = time.monotonic() + seconds, 0
    asked = []
    while time.monotonic() < end:
        number += 1
        asked.append(asyncio.create_task(bed.ask(f"{name}-{number}")))
        await asyncio.sleep(0.004)
    await asyncio.gather(*asked)


def test_a_whole_list_that_takes_long_to_arrive_is_obeyed(tmp_path: pathlib.Path) -> None:
    """After a break of the watch: what the agent has counts as told, so the list is read as it comes."""

    async def test() -> None:
        async with soak_bed(tmp_path, BACKENDS) as bed:
            await ask_for(bed, 0.5, "before")
            bed.agent.faults.whole_lists = True
            bed.agent.faults.piece, bed.agent.faults.pause = PIECE, PAUSE
            draining = sorted({a.backend for r in bed.requests.values() for a in r.attempts})
            assert draining
            bed.agent.break_watches()
            bed.agent.hear([bed.entry(name, "DRAINING") for name in draining])
            told, before = time.monotonic(), bed.agent.written_at
            asking = asyncio.create_task(ask_for(bed, 4.0, "after"))
            async with asyncio.timeout(2.5):  # some 0.8 s, and more on a busy machine
                while bed.agent.written_at == before:
                    await asyncio.sleep(0.01)
            written = bed.agent.written_at
            assert written > told + 0.5  # it takes longer than a call that is silent may
            await asking
            # the agent had not written all of it before: the list's own time comes on top of the grace
            late = [at for name in draining for at in bed.sends_to(name, written + GRACE + SLACK)]
            assert not late, f"{len(late)} sends, the last {max(late):.2f} s after the end of the grace"

    run(test)


@pytest.mark.parametrize("whole", [False, True])
def test_a_connection_that_ends_between_two_calls_is_replaced_at_once(
    whole: bool, tmp_path: pathlib.Path
) -> None:
    """Found by the soak, seed 3: a call on a connection that had ended got no answer, and waited for it."""

    async def test() -> None:
        async with soak_bed(tmp_path, 300) as bed:
            bed.agent.faults.whole_lists = whole
            for turn in range(12):
                bed.agent.hear([bed.entry(bed.names[turn], "DRAINING")])
                await asyncio.sleep(0.01)  # it is told, and the next call is not made yet
                bed.agent.break_watches()
                bed.agent.hear([bed.entry(bed.names[100 + turn], "DRAINING")])
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
        (1, 0.02, 0.45),  # drips for ever: too slow, though never silent
    ],
)
def test_an_answer_that_does_not_come_on_is_given_up(
    piece: int, every: float, ends_within: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Against a list that takes long, an answer that stops or only drips must not be waited for."""
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


def test_an_answer_that_comes_on_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_ANSWER_TIME", 0.3)

    async def test() -> None:
        async with asyncio.timeout(0.1) as limit:
            progress = discovery.AnswerDeadline(limit, 0.1)
            for pieces in range(1, 31):
                progress.extend(pieces * discovery.MIN_LIST_RATE)
                await asyncio.sleep(0.03)

    run(test)
