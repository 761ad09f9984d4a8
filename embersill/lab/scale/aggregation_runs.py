"""Plays the same fleets without and with aggregators, and kills an aggregator: the record of the comparison.

    python -m embersill.lab.scale.aggregation_runs --out docs/capacity/aggregation.json

Plays of one fleet have the same seeds with and without aggregators, so that their customers, quotas and
requests are drawn alike. The counter has the documented capacity of a part.
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

WITHOUT_AGGREGATORS, WITH_AGGREGATORS, FAILOVER = "before", "after", "failover"  # the axes; the value is the number of aggregators
CALLS_PER_COUNTER_PART = 540.0  # calls a second that a part of the counter serves
PLAYS_PER_SIZE = 3
SECONDS, WARM_UP_SECONDS = 5.0, 4.0
FAILOVER_SECONDS = 18.0  # a lease of 10 s runs out in it, and gateways leave a counter alone for up to 2 s
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
MACHINE_LOAD = "machine_load"  # mean of the last minute at a play's end: processes that ran or would have


def play_seed(fleet: str, number: int) -> int:
    return zlib.crc32(f"aggregation {fleet} {number}".encode()) % SEED_COUNT


def make_plan(axis: str, fleet: str, size: FleetSize, number: int, seconds: float) -> PlayPlan:
    return PlayPlan(
        axis, float(size.aggregators), number, play_seed(fleet, number), size, seconds, WARM_UP_SECONDS,
        WORKERS, REAL_GATEWAYS)


def plan_comparison(fleet: str) -> list[PlayPlan]:
    """One fleet without aggregators and with each number of them, by turns."""
    sizes = [replace(FLEETS[fleet], aggregators=number) for number in (0, *AGGREGATOR_COUNTS)]
    return [
        make_plan(WITH_AGGREGATORS if size.aggregators else WITHOUT_AGGREGATORS, fleet, size, number, SECONDS)
        for number in range(PLAYS_PER_SIZE) for size in sizes]


def plan_failover() -> list[PlayPlan]:
    """One aggregator is killed."""
    sizes = [replace(SMALL_FLEET, aggregators=number, aggregators_killed=1) for number in AGGREGATOR_COUNTS]
    return [make_plan(FAILOVER, "narrow", size, number, FAILOVER_SECONDS)
            for size in sizes for number in range(PLAYS_PER_SIZE)]


def plan_all(fleets: Iterable[str]) -> list[PlayPlan]:
    return [plan for fleet in fleets for plan in plan_comparison(fleet)]


def is_played(plan: PlayPlan, plays: Iterable[Play]) -> bool:
    wanted = (plan.axis, plan.number, plan.seed, plan.size, plan.seconds)
    return any((p.axis, p.number, p.seed, p.size, p.seconds) == wanted for p in plays)


async def play_once(plan: PlayPlan) -> Play:
    with tempfile.TemporaryDirectory(prefix="embersill-scale-") as folder:
        result = await run_play(plan, pathlib.Path(folder))
    return replace(result.play, times=result.play.times | {MACHINE_LOAD: os.getloadavg()[0]})


def open_or_create_record(path: pathlib.Path) -> Record:
    """The record so far: plays that it holds are not played again."""
    command = shlex.join(["python", "-m", "embersill.lab.scale.aggregation_runs", *sys.argv[1:]])
    taken = datetime.now(UTC).isoformat(timespec="seconds")
    if path.exists():
        return read_record(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    return Record(FORMAT_VERSION, taken, command, os.cpu_count() or 1, ())


def play_all(plans: Iterable[PlayPlan], path: pathlib.Path) -> None:
    """Plays one after the other; the record is written after each."""
    record = open_or_create_record(path)
    left = [plan for plan in plans if not is_played(plan, record.plays)]
    for plan in tqdm(left, unit="play", disable=None):
        record = replace(record, plays=(*record.plays, asyncio.run(play_once(plan))))
        write_record(path, record)


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m embersill.lab.scale.aggregation_runs",
        description="Plays fleets without and with aggregators, and kills one; goes on with the record.",
        epilog="Exits with 0: done, 1: a play failed, 2: bad use.")
    parser.add_argument("--out", type=pathlib.Path, required=True, metavar="RECORD")
    parser.add_argument("--fleet", action="append", choices=tuple(FLEETS),
                        help="may be repeated (default: all)")
    parser.add_argument("--no-failover", action="store_true", help="kill no aggregator")
    told = parser.parse_args()
    plans = ([] if told.no_failover else plan_failover()) + plan_all(told.fleet or FLEETS)
    try:
        play_all(plans, told.out)
    except BadRecord as error:
        print(error, file=sys.stderr)
        return 2
    except (ChildFailed, ListServiceFailed) as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
