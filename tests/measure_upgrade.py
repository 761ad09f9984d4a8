"""Measures upgrades of two checkouts in turns: `python -m tests.measure_upgrade OTHER_CHECKOUT [ROUNDS]`.

Prints for lists of several lengths, with discovery up and down, the median and the greatest time from the
start of the successor to its yes, the greatest anonymous memory of both processes together, and the processor
time of both until the yes. In an outage the predecessor has a list that the configuration lacks. Run by hand;
both checkouts have to be built.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import statistics
import sys
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass, field

from embersill.lab.versions import REPO_ROOT, read_deploy_file
from tests.upgrade_bed import DEPLOYMENT, UpgradeBed, unused_entry, upgrade_bed

LENGTHS = (200, 3200, 8500)  # backends of a list
CHANGED = 20  # entries that the configuration lacks
SAMPLE_INTERVAL = 0.01  # seconds
SETTLED_AFTER = 1.5  # seconds from a start until nothing of it is left to be done


@dataclass(slots=True)
class Figures:
    """A value for each upgrade."""

    yes: list[float] = field(default_factory=list)  # milliseconds
    memory: list[float] = field(default_factory=list)  # MB
    processor: list[float] = field(default_factory=list)  # milliseconds


async def measure_upgrade(bed: UpgradeBed, figures: Figures) -> None:
    old = bed.newest
    before = old.processor_seconds()
    process = bed.successor()
    begin, peak = time.monotonic(), 0.0
    starting = asyncio.create_task(process.start())
    while not (await bed.console("STATUS")).startswith("done"):
        peak = max(peak, old.anonymous_memory_mb() + process.anonymous_memory_mb())
        await asyncio.sleep(SAMPLE_INTERVAL)
    figures.yes.append(1000.0 * (time.monotonic() - begin))
    figures.processor.append(1000.0 * (old.processor_seconds() - before + process.processor_seconds()))
    await starting
    while time.monotonic() < begin + SETTLED_AFTER:
        peak = max(peak, old.anonymous_memory_mb() + process.anonymous_memory_mb())
        await asyncio.sleep(SAMPLE_INTERVAL)
    figures.memory.append(peak)


async def measure(length: int, down: bool, figures: Figures) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with upgrade_bed(pathlib.Path(folder), deployment=DEPLOYMENT) as bed:
            agent = bed.bed.agent
            agent.apply_changes([unused_entry(number) for number in range(length)])
            await asyncio.sleep(SETTLED_AFTER)
            instances = [e for _, e in agent.entries.values() if e["lifecycle"] != "DELETED"]
            bed.known = {"generation": agent.generation, "reset": True, "instances": instances}
            await bed.upgrade()
            await asyncio.sleep(SETTLED_AFTER)
            agent.apply_changes(
                [{**unused_entry(number), "lifecycle": "DELETED"} for number in range(CHANGED)])
            await asyncio.sleep(SETTLED_AFTER)
            agent.set_down(down)
            await measure_upgrade(bed, figures)


def main() -> None:
    other = sys.argv[1]
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    run = read_deploy_file(REPO_ROOT)["run"]
    found: dict[tuple[int, bool, str], Figures] = defaultdict(Figures)
    for _ in range(rounds):
        for length in LENGTHS:
            for down in (False, True):
                for name, checkout in (("other", other), ("this", str(REPO_ROOT))):
                    os.environ["EMBERSILL_RUN"] = f"cd {checkout} && {run}"
                    asyncio.run(measure(length, down, found[length, down, name]))
    for (length, down, name), figures in found.items():
        print(
            f"{length} backends, discovery {'down' if down else 'up'}, {name}: yes after "
            f"{statistics.median(figures.yes):.0f} ms ({max(figures.yes):.0f}), both processes "
            f"{statistics.median(figures.memory):.1f} MB ({max(figures.memory):.1f}), processor "
            f"{statistics.median(figures.processor):.0f} ms ({max(figures.processor):.0f})", flush=True)


if __name__ == "__main__":
    main()
