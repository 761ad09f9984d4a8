"""Records plays of the same fleets without and with aggregators, and plays that kill an aggregator.

    python -m embersill.lab.scale.aggregation_runs --out docs/capacity/aggregation.json

Plays of one fleet have the same seeds with and without aggregators, so that they have the same customers,
quotas and requests. The counter has the documented capacity of a part.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import shlex
import sys
import tempfile
import zlib
from collections.abc import Iterable
from dataclasses import replace
from datetime import UTC, datetime

from tqdm import tqdm

from embersill.lab.scale.axes import SEED_COUNT
from embersill.lab.scale.children import ChildFailed
from embersill.lab.scale.list_service import ListServiceFailed
from embersill.lab.scale.plan import PlayPlan
from embersill.lab.scale.play import run_play
from embersill.lab.scale.records import FORMAT_VERSION, BadRecord, FleetSize, Play, Record
from embersill.lab.scale.records import read_record, write_record

# names of the axes; the value on each is the number of aggregators
WITHOUT_AGGREGATORS, WITH_AGGREGATORS, FAILOVER = "before", "after", "failover"
CALLS_PER_COUNTER_PART = 540.0  # per second
PLAYS_PER_SIZE = 3
SECONDS, WARM_UP_SECONDS = 5.0, 4.0
FAILOVER_SECONDS = 18.0  # covers the expiry of a 10 s lease and the gateways' backoff of up to 2 s
AGGREGATOR_COUNTS = (2, 6)
REAL_GATEWAYS = 1
WORKERS = 3
SMALL_FLEET = FleetSize(
    gateways=300, backends=100, customers=2_000, spread=4, requests_per_second=2.0, changes_per_second=0.5,
    restarted_share=0.0, counter_parts=1, counter_calls_per_second=CALLS_PER_COUNTER_PART)
FLEETS = {
    "narrow": SMALL_FLEET,
    "everywhere": replace(SMALL_FLEET, spread=SMALL_FLEET.gateways),
    "many": replace(
        SMALL_FLEET, gateways=1_100, customers=39_000, spread=16, requests_per_second=1.0, counter_parts=3),
    "crowded": replace(SMALL_FLEET, gateways=1_100, spread=1_100, requests_per_second=1.0),
}
MACHINE_LOAD = "machine_load"  # mean number of running and runnable processes in a play's last minute


def play_seed(fleet: str, number: int) -> int:
    """The seed of a play, equal for all numbers of aggregators."""
    return zlib.crc32(f"aggregation {fleet} {number}".encode()) % SEED_COUNT


def make_plan(axis: str, fleet: str, size: FleetSize, number: int, seconds: float) -> PlayPlan:
    """The plan of one play, measured for this number of seconds."""
    return PlayPlan(
        axis, float(size.aggregators), number, play_seed(fleet, number), size, seconds, WARM_UP_SECONDS,
        WORKERS, REAL_GATEWAYS)


def plan_comparison(fleet: str) -> list[PlayPlan]:
    """Plays of one fleet without aggregators and with each number of them, alternating."""
    sizes = [replace(FLEETS[fleet], aggregators=number) for number in (0, *AGGREGATOR_COUNTS)]
    return [
        make_plan(WITH_AGGREGATORS if size.aggregators else WITHOUT_AGGREGATORS, fleet, size, number, SECONDS)
        for number in range(PLAYS_PER_SIZE) for size in sizes]


def plan_failover() -> list[PlayPlan]:
    """Plays in which one aggregator is killed."""
    sizes = [replace(SMALL_FLEET, aggregators=number, aggregators_killed=1) for number in AGGREGATOR_COUNTS]
    return [make_plan(FAILOVER, "narrow", size, number, FAILOVER_SECONDS)
            for size in sizes for number in range(PLAYS_PER_SIZE)]


def plan_all(fleets: Iterable[str]) -> list[PlayPlan]:
    """The comparisons of all these fleets."""
    return [plan for fleet in fleets for plan in plan_comparison(fleet)]


def is_played(plan: PlayPlan, plays: Iterable[Play]) -> bool:
    """Whether the planned play is among these."""
    planned = (plan.axis, plan.number, plan.seed, plan.size, plan.seconds)
    return any((p.axis, p.number, p.seed, p.size, p.seconds) == planned for p in plays)


async def play_once(plan: PlayPlan) -> Play:
    """Runs one play and adds the machine's load to its times."""
    with tempfile.TemporaryDirectory(prefix="embersill-scale-") as folder:
        result = await run_play(plan, pathlib.Path(folder))
    return replace(result.play, times=result.play.times | {MACHINE_LOAD: os.getloadavg()[0]})


def open_or_create_record(path: pathlib.Path) -> Record:
    """The existing record, or a new empty one; raises BadRecord if the file is invalid."""
    command = shlex.join(["python", "-m", "embersill.lab.scale.aggregation_runs", *sys.argv[1:]])
    taken = datetime.now(UTC).isoformat(timespec="seconds")
    if path.exists():
        return read_record(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    return Record(FORMAT_VERSION, taken, command, os.cpu_count() or 1, ())


def play_all(plans: Iterable[PlayPlan], path: pathlib.Path) -> None:
    """Runs the plays that the record lacks one after the other, and writes the record after each."""
    record = open_or_create_record(path)
    remaining = [plan for plan in plans if not is_played(plan, record.plays)]
    for plan in tqdm(remaining, unit="play", disable=None):
        record = replace(record, plays=(*record.plays, asyncio.run(play_once(plan))))
        write_record(path, record)


def main() -> int:
    """Runs the command and returns its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m embersill.lab.scale.aggregation_runs",
        description="Plays fleets without and with aggregators, and kills one; goes on with the record.",
        epilog="Exits with 0: done, 1: a play failed, 2: bad use.")
    parser.add_argument("--out", type=pathlib.Path, required=True, metavar="RECORD")
    parser.add_argument("--fleet", action="append", choices=tuple(FLEETS),
                        help="may be repeated (default: all)")
    parser.add_argument("--no-failover", action="store_true", help="kill no aggregator")
    options = parser.parse_args()
    plans = ([] if options.no_failover else plan_failover()) + plan_all(options.fleet or FLEETS)
    try:
        play_all(plans, options.out)
    except BadRecord as error:
        print(error, file=sys.stderr)
        return 2
    except (ChildFailed, ListServiceFailed) as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
