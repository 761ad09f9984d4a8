"""An upgrade during an outage of discovery: does the gateway go on to keep a drain that it was told before?"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from bed import Answer, Bed, CannotRun, play  # noqa: E402
from settings import COMMUNITY, VIEW  # noqa: E402

GRACE = 1.0 + 0.05  # seconds after it was told, and the sockets' 50 ms
NEWS_AFTER_YES = 2.0  # seconds after the yes of an upgrade at which news from discovery counts as told
OUTAGE = 8.0  # seconds
KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s
INTERVAL = 0.04  # seconds between requests to the gateway


async def scene(bed: Bed) -> bool:
    tasks: list[asyncio.Task[Answer]] = []
    drained, told_at = bed.backend_names[0], 0.0
    discovery = bed.discoveries[0]

    async def traffic() -> None:
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(bed.ask(0, VIEW, COMMUNITY, 1 + number % 150, 4.0)))
            await asyncio.sleep(INTERVAL)

    sending = asyncio.create_task(traffic())
    await asyncio.sleep(2.0)
    await discovery.set_state(drained, "DRAINING")
    told_at = bed.record.now()
    await asyncio.sleep(GRACE + 1.0)
    down_at = bed.record.now()
    if bed.trouble:
        discovery.down = True
        bed.record.note("discovery goes down")
    await asyncio.sleep(0.5)
    old = bed.current[0]
    await bed.start_gateway(0)
    yes_at = bed.record.now()
    old.send_signal(signal.SIGTERM)
    bed.record.note(f"SIGTERM to the old process {old.pid}")
    await asyncio.sleep(KILL_AFTER)
    if old.poll() is None:
        old.kill()
        bed.record.note(f"SIGKILL to the old process {old.pid}")
    await asyncio.sleep(max(down_at + OUTAGE - bed.record.now(), 0.0))
    discovery.down = False
    if bed.trouble:
        bed.record.note("discovery is back")
    up_at = bed.record.now()
    sending.cancel()
    answers = await asyncio.gather(*tasks)
    by_call = {a.call: a for a in answers}
    late = kept = 0
    for line in bed.backend_log():
        if line["event"] != "request" or line["backend"] != drained or line["begun"] < told_at:
            continue
        after = line["begun"] - told_at
        excused = line["begun"] < told_at + GRACE or yes_at <= line["begun"] < yes_at + NEWS_AFTER_YES + GRACE
        late += not excused
        kept += line["begun"] < yes_at
        answer = by_call[line["id"]]
        bed.record.note(
            f"{drained} got {line['id'][-6:]}, which came to n0 at {answer.begun:.3f}: {after:.3f} s after n0 "
            f"was told of its drain, {line['begun'] - yes_at:+.3f} s from the yes: "
            f"{'excused' if excused else 'BROKEN'}", line["begun"])
    if len(answers) < 100 or sum(a.status == 200 for a in answers) < len(answers) / 2:
        raise CannotRun("the gateway served too little")
    text = (f"{len(answers)} requests, {sum(a.status == 200 for a in answers)} served; the old process sent "
            f"{kept} to {drained} after it was told; sent to it beyond every grace: {late}; "
            f"outage {down_at:.3f} to {up_at:.3f}")
    bed.record.note(text)
    print(text)
    return not late


if __name__ == "__main__":
    sys.exit(play(__file__, lambda case: Bed(case, gateways=1, backends=5, work=0.1), scene))
