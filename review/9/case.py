"""An upgrade while discovery is down: does the new process keep to the drains that the old one was told?"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

from bed import TROUBLE, Bed, Client, Gateway, main, new_id, request

CLIENTS, PAUSE = 10, 0.2  # connections, and seconds on average between a client's requests
DRAIN_AT, DOWN_AT, UPGRADE_AT, BACK_AT, END = 1.0, 3.0, 4.0, 11.0, 12.0  # seconds from the start
GRACE = 1.0 + 0.05  # seconds of the rule on drains, with the slack of the protocol page
NEWS_AFTER_YES = 2.0  # seconds after an upgrade's yes at which news counts as told


async def case(bed: Bed) -> list[str]:
    await bed.start()
    gateway = Gateway(bed, 0)
    gateway.known = json.loads(bed.discovery.text(None))  # the configuration, the same for both processes
    await gateway.start()
    began = time.monotonic()

    async def until(at: float) -> None:
        await asyncio.sleep(max(began + at - time.monotonic(), 0.0))

    async def client(number: int) -> None:
        connection: Client | None = None
        while time.monotonic() < began + END:
            await asyncio.sleep(random.uniform(0.0, 2 * PAUSE))
            try:
                connection = connection or await Client(bed, gateway.port).open()
                _, fields, _ = await connection.ask(request(new_id(), customer=0x1000 + number))
                if fields.get("connection") == "close":
                    connection = None
            except (OSError, asyncio.IncompleteReadError):
                connection = None

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await until(DRAIN_AT)
    drained = bed.backends[0]
    drained.state = "DRAINING"
    bed.discovery.tell(drained.entry())
    told = bed.record.now()
    await until(DOWN_AT)
    if TROUBLE:
        bed.discovery.go_down()
    await until(UPGRADE_AT)
    successor, upgraded = gateway.successor(), bed.record.now()
    await successor.start()
    yes = bed.record.now()
    await gateway.stop_as_platform()
    await until(BACK_AT)
    if TROUBLE:
        bed.discovery.come_back()
    await asyncio.gather(*clients)
    # by the old process up to the upgrade, and by the new one from the time on at which news counts as told
    at_old = [at for at, _, _ in drained.runs if told + GRACE < at < upgraded]
    at_new = [at for at, _, _ in drained.runs if at > yes + NEWS_AFTER_YES + GRACE]
    bed.record.note(f"{drained.name} was told to be draining at {told:.3f}; yes of the new process at {yes:.3f}; "
                    f"{len(at_old)} sends before that, {len(at_new)} later than its news")
    breaks = []
    if at_old:
        breaks.append(f"the old process sent {len(at_old)} requests to {drained.name} after its grace")
    if at_new:
        breaks.append(f"the new process sent {len(at_new)} requests to {drained.name}, the last "
                      f"{at_new[-1] - told:.1f} s after the gateway was told of its drain")
    return breaks


main(case)
