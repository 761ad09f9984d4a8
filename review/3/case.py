"""Signatures with long bodies while two of 14 backends hang: has each its final answer in time?"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from bed import Answer, Bed, play  # noqa: E402
from settings import CAMPAIGN, SIGN  # noqa: E402

BUDGET = 5.0  # seconds: a client gives up a try of this class after 5 to 10
# seconds after its time until which an answer only earns nothing, and the 50 ms of the rules on sockets
LATE = 0.5 + 0.05
SIZES = [4_500_000, 5_000_000, 6_000_000, 7_000_000]  # bytes
HUNG = 2  # of 14 backends
BEFORE, HANG, AFTER = 4.0, 20.0, 3.0  # seconds
INTERVAL = 0.12  # seconds between signatures, over all gateways


async def scene(bed: Bed) -> bool:
    end = bed.record.now() + BEFORE + HANG + AFTER
    tasks: list[asyncio.Task[Answer]] = []

    async def disrupt() -> None:
        await asyncio.sleep(BEFORE)
        for name in bed.backend_names[:HUNG]:
            if bed.trouble:
                bed.backends[name].send_signal(signal.SIGSTOP)
                bed.record.note(f"backend {name} hangs (SIGSTOP)")
        await asyncio.sleep(HANG)
        for name in bed.backend_names[:HUNG]:
            if bed.trouble:
                bed.backends[name].send_signal(signal.SIGCONT)
                bed.record.note(f"backend {name} works again (SIGCONT)")

    tasks_disrupt = asyncio.create_task(disrupt())
    number = 0
    while bed.record.now() < end:
        gateway = number % bed.gateway_count
        tasks.append(asyncio.create_task(bed.ask(
            gateway, SIGN, CAMPAIGN, 1 + number % 12, BUDGET, body_size=SIZES[number // 3 % len(SIZES)],
            patience=12.0)))
        number += 1
        await asyncio.sleep(INTERVAL)
    answers = await asyncio.gather(*tasks)
    await tasks_disrupt
    ran = {}
    for line in bed.backend_log():
        if line["event"] == "request":
            ran.setdefault(line["id"], []).append(line)
    lost = 0
    for a in sorted(answers, key=lambda a: a.begun):
        where = ", ".join(f"{r['backend']} at {r['at']:.3f}" for r in ran.get(a.call, [])) or "no backend"
        verdict = "not taken"
        if a.written is not None:
            took = (a.ended or 0.0) - a.written
            verdict = "in time"
            if a.status is None or took > a.budget + LATE:
                verdict, lost = "LOST", lost + 1
        bed.record.note(
            f"{a.call[-6:]} at n{a.gateway}: last byte "
            f"{'never' if a.written is None else f'{a.written:.3f}'}, time {a.budget:.1f} s, "
            f"{a.end} {a.status} at {a.ended:.3f}, came whole to {where}: {verdict}", a.begun)
    bed.record.note(f"{len(answers)} requests, {lost} lost")
    print(f"{len(answers)} requests, {lost} lost")
    return not lost


if __name__ == "__main__":
    sys.exit(play(__file__, lambda case: Bed(
        case, gateways=3, backends=14, work=0.3, backend_options=["receive_buffer=262144"]), scene))
