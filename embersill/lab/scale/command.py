"""The subcommand `scale`: its arguments, its checks before anything starts, and its run."""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import pathlib
import resource
import shlex
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import UTC, datetime

from tqdm import tqdm

from embersill.lab.scale.aggregators import NoAggregators, check_aggregators
from embersill.lab.scale.axes import (
    AXES, PLAYS, SECONDS, SMALL_AXES, SMALL_PLAYS, SMALL_SECONDS, SMALL_WARM_UP_SECONDS,
    WARM_UP_SECONDS, Axis, RunSettings, plan_plays,
)
from embersill.lab.scale.arguments import RECORD_FILE
from embersill.lab.scale.bounds import BrokenBound, broken_bounds
from embersill.lab.scale.children import MOST_CHILDREN, ChildFailed, ChildNotStarted
from embersill.lab.scale.clock import machine_memory
from embersill.lab.scale.list_service import ListServiceFailed
from embersill.lab.scale.plan import PlayPlan
from embersill.lab.scale.play import MEMORY_PART, run_play
from embersill.lab.scale.records import FORMAT_VERSION, BadRecord, Play, Record, read_record, write_record
from embersill.settings import AGGREGATION_RANGES

DONE, FAILED, USAGE_ERROR = 0, 1, 2
MAX_PROCESSES = 64
MAX_PLAYS, MAX_SECONDS, MAX_REAL_GATEWAYS, MAX_COUNTER_PARTS = 20, 60.0, 3, 64
START_ESTIMATE_SECONDS = 3.0  # of a play, until all roles are ready
GATEWAYS_STARTED_PER_SECOND = 300.0  # for the estimate
RUN_TIMEOUT_FACTOR = 4.0  # times the estimate, after which a run is broken off
RUN_TIMEOUT_EXTRA_SECONDS = 60.0
SMALL_RUN_TIMEOUT_SECONDS = 100.0
SPARE_DESCRIPTORS = 128
SINGLE_PROCESSES = 3  # the counter, and the leader and the follower of the list service
COUNTER_CONNECTIONS_PER_GATEWAY = 4  # connections of a gateway to the counter
LIST_CONNECTIONS_PER_GATEWAY = 2  # connections of a gateway to the list service, one of them while it turns to it
GATEWAY_MEMORY_BYTES = 600_000  # of a hollow gateway without a list, for the estimate
BACKEND_MEMORY_BYTES = 1_500  # of one backend at one hollow gateway, for the estimate


class BadScaleUse(Exception):
    """Why the command can't be carried out as it was given, in one line."""


@dataclass(frozen=True, slots=True)
class RunDuration:
    """Seconds that a run takes, and after which it is broken off."""

    expected_seconds: float
    timeout_seconds: float


def check_range(name: str, value: float, least: float, most: float) -> None:
    if not (math.isfinite(value) and least <= value <= most):
        raise BadScaleUse(f"--{name} is from {least:g} to {most:g}, not {value:g}")


def read_settings(told: argparse.Namespace) -> RunSettings:
    small = told.small
    plays = (SMALL_PLAYS if small else PLAYS) if told.plays is None else told.plays
    seconds = (SMALL_SECONDS if small else SECONDS) if told.seconds is None else told.seconds
    check_range("plays", plays, 1, MAX_PLAYS)
    check_range("seconds", seconds, 1, MAX_SECONDS)
    check_range("processes", told.processes, 1, MAX_PROCESSES)
    check_range("real", told.real, 0, MAX_REAL_GATEWAYS)
    check_range("counter-parts", told.counter_parts, 1, MAX_COUNTER_PARTS)
    check_range("counter-calls", told.counter_calls, 0, 1e6)
    check_range("aggregators", told.aggregators, 0, MOST_CHILDREN)
    check_aggregators(told.aggregators)
    check_range("gateway-calls", told.gateway_calls, *AGGREGATION_RANGES["calls_per_second"])
    check_range("gateway-burst", told.gateway_burst, *AGGREGATION_RANGES["burst"])
    return RunSettings(
        plays, seconds, SMALL_WARM_UP_SECONDS if small else WARM_UP_SECONDS, told.processes, told.real,
        told.counter_parts, told.counter_calls, told.aggregators, told.gateway_calls, told.gateway_burst)


def selected_axes(told: argparse.Namespace) -> list[Axis]:
    axes = SMALL_AXES if told.small else AXES
    return [axis for axis in axes if told.axis is None or axis.name in told.axis]


def check_resources(plans: Sequence[PlayPlan]) -> None:
    """BadScaleUse where this machine has no room for one of the plays."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    for plan in plans:
        where = f"{plan.axis}={plan.value:g}"
        if needed_processes(plan) > MOST_CHILDREN:
            raise BadScaleUse(
                f"{where} needs {needed_processes(plan)} processes, and {MOST_CHILDREN} are the most")
        needed = needed_descriptors(plan)
        if needed > descriptors:
            raise BadScaleUse(
                f"{where} needs {needed} descriptors in a process, and the limit is {descriptors}")
        memory, most = needed_memory(plan), MEMORY_PART * machine_memory()
        if memory > most:
            raise BadScaleUse(
                f"{where} needs some {memory / 2**30:.1f} GB, and {most / 2**30:.1f} may be used")


def needed_processes(plan: PlayPlan) -> int:
    """Hosts of gateways, real gateways with their clients, aggregators with their list, the other peers."""
    around_real = plan.real_gateways + 1 if plan.real_gateways else 0
    around_aggregators = plan.size.aggregators + 1 if plan.size.aggregators else 0
    return plan.workers + around_real + around_aggregators + SINGLE_PROCESSES


def needed_descriptors(plan: PlayPlan) -> int:
    """Of the process that needs most: the counter, or one that hosts gateways."""
    hosted = math.ceil(plan.size.gateways / plan.workers)
    connections = COUNTER_CONNECTIONS_PER_GATEWAY + LIST_CONNECTIONS_PER_GATEWAY
    if plan.size.aggregators:
        connections = plan.size.aggregators + 2 * LIST_CONNECTIONS_PER_GATEWAY
    at_worker = hosted * connections
    return max(at_worker, plan.size.gateways * COUNTER_CONNECTIONS_PER_GATEWAY) + SPARE_DESCRIPTORS


def needed_memory(plan: PlayPlan) -> float:
    return plan.size.gateways * (GATEWAY_MEMORY_BYTES + plan.size.backends * BACKEND_MEMORY_BYTES)


def estimate_duration(plans: Sequence[PlayPlan], most: float = math.inf) -> RunDuration:
    """`most`: seconds after which the run is broken off whatever it is likely to take."""
    likely = sum(
        START_ESTIMATE_SECONDS + plan.size.gateways / GATEWAYS_STARTED_PER_SECOND + plan.warm_up_seconds
        + plan.seconds for plan in plans)
    return RunDuration(likely, min(RUN_TIMEOUT_FACTOR * likely + RUN_TIMEOUT_EXTRA_SECONDS, most))


class RecordWriter:
    """The record of a run, written anew after each play where there is a folder for it."""

    def __init__(self, folder: pathlib.Path | None, resume: bool) -> None:
        self.folder = folder
        command = shlex.join(["python", "-m", "embersill.lab", *sys.argv[1:]])
        taken = datetime.now(UTC).isoformat(timespec="seconds")
        self.record = Record(FORMAT_VERSION, taken, command, os.cpu_count() or 1, ())
        if folder is None:
            if resume:
                raise BadScaleUse("--resume needs --out")
            return
        folder.mkdir(parents=True, exist_ok=True)
        if (folder / RECORD_FILE).exists():
            if not resume:
                raise BadScaleUse(f"{folder / RECORD_FILE} is there; --resume goes on with it")
            self.record = replace(self.record, plays=read_record(folder / RECORD_FILE).plays)

        self.write()

    def contains(self, plan: PlayPlan) -> bool:
        wanted = (plan.axis, plan.value, plan.number, plan.seed, plan.size, plan.seconds)
        return any(
            (p.axis, p.value, p.number, p.seed, p.size, p.seconds) == wanted for p in self.record.plays)

    def add(self, play: Play) -> None:
        self.record = replace(self.record, plays=(*self.record.plays, play))
        self.write()

    def write(self) -> None:
        if self.folder is not None:
            write_record(self.folder / RECORD_FILE, self.record)

    def finish(self) -> None:
        """Adds the slopes, and draws the plots."""
        from embersill.lab.scale.fits import fit_slopes  # scipy and matplotlib take a second to load
        from embersill.lab.scale.plots import write_plots

        self.record = replace(self.record, slopes=fit_slopes(self.record.plays))
        self.write()
        if self.folder is not None:
            write_plots(self.record, self.folder)


def describe_play(play: Play, took: float) -> str:
    counts, times = play.counts, play.times
    return (f"{play.axis}={play.value:g} play {play.number}: "
            f"{counts['counter_calls_per_gateway']:.2f} counter calls and "
            f"{counts['list_calls_per_gateway']:.2f} list calls a second at a gateway, "
            f"module {100 * times['module_cpu_share']:.2f}% of a core; {took:.1f} s")


async def play_all(plans: Sequence[PlayPlan], keeper: RecordWriter, limit: float) -> None:
    """All plays, one after the other. ChildFailed where one fails or the run's time is over."""
    deadline = time.monotonic() + limit
    with tqdm(total=len(plans), unit="play", disable=None) as bar:
        for plan in plans:
            began = time.monotonic()
            with tempfile.TemporaryDirectory(prefix="embersill-scale-") as folder:
                try:
                    async with asyncio.timeout(deadline - began):
                        result = await run_play(plan, pathlib.Path(folder))
                except TimeoutError:
                    raise ChildFailed(f"the run did not end within {limit:.0f} s") from None
            keeper.add(result.play)
            bar.update()
            tqdm.write(describe_play(result.play, time.monotonic() - began), file=sys.stdout)
            sys.stdout.flush()


async def play_until_interrupted(plans: Sequence[PlayPlan], keeper: RecordWriter, limit: float) -> None:
    """Both signals that stop a command end the play in order, with all of its processes."""
    loop, playing = asyncio.get_running_loop(), asyncio.create_task(play_all(plans, keeper, limit))
    stopped = asyncio.Event()

    def stop() -> None:
        stopped.set()
        playing.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop)
    try:
        await playing
    except asyncio.CancelledError:
        if not stopped.is_set():
            raise
    if stopped.is_set():
        raise KeyboardInterrupt


def find_broken_bounds(plays: Sequence[Play]) -> list[BrokenBound]:
    return [broken for play in plays for broken in broken_bounds(play)]


def run_command(told: argparse.Namespace) -> int:
    """Plays what the arguments choose; the exit code. KeyboardInterrupt where it is stopped."""
    try:
        plans = plan_plays(selected_axes(told), read_settings(told))
        check_resources(plans)
        keeper = RecordWriter(told.out, told.resume)
        left = [plan for plan in plans if not keeper.contains(plan)]
        time_needed = estimate_duration(left, SMALL_RUN_TIMEOUT_SECONDS if told.small else math.inf)
        print(f"{len(left)} plays, about {time_needed.expected_seconds / 60:.1f} minutes; "
              f"ends after {time_needed.timeout_seconds / 60:.1f} minutes at the latest", flush=True)
        asyncio.run(play_until_interrupted(left, keeper, time_needed.timeout_seconds))
    except (BadScaleUse, BadRecord, NoAggregators, ChildNotStarted) as error:
        print(f"embersill.lab: {error}", file=sys.stderr)
        return USAGE_ERROR
    except (ChildFailed, ListServiceFailed) as error:
        print(f"embersill.lab: {error}", file=sys.stderr)
        return FAILED
    keeper.finish()
    if not told.counts_only:
        return DONE
    broken = find_broken_bounds(keeper.record.plays)
    for bound in broken:
        print(f"embersill.lab: {bound}", file=sys.stderr)
    print(f"{len(keeper.record.plays)} plays judged by their counts, {len(broken)} bounds broken")
    return FAILED if broken else DONE
