"""The subcommand `scale`: validates its arguments, checks the machine's resources and runs the plays."""

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

from embersill.lab.scale.aggregators import AggregatorsUnavailable, check_aggregators
from embersill.lab.scale.axes import (
    AXES, PLAYS, SECONDS, SMALL_AXES, SMALL_PLAYS, SMALL_SECONDS, SMALL_WARM_UP_SECONDS,
    WARM_UP_SECONDS, Axis, RunSettings, plan_plays,
)
from embersill.lab.scale.arguments import RECORD_FILE
from embersill.lab.scale.bounds import BrokenBound, broken_bounds
from embersill.lab.scale.children import MAX_CHILDREN, ChildFailed, ChildNotStarted
from embersill.lab.scale.clock import machine_memory
from embersill.lab.scale.list_service import ListServiceFailed
from embersill.lab.scale.plan import PlayPlan
from embersill.lab.scale.play import MAX_MEMORY_SHARE, run_play
from embersill.lab.scale.records import FORMAT_VERSION, BadRecord, Play, Record, read_record, write_record
from embersill.settings import AGGREGATION_RANGES

DONE, FAILED, USAGE_ERROR = 0, 1, 2
MAX_PROCESSES = 64
MAX_PLAYS, MAX_SECONDS, MAX_REAL_GATEWAYS, MAX_COUNTER_PARTS = 20, 60.0, 3, 64
START_ESTIMATE_SECONDS = 3.0  # until all processes of a play are ready
GATEWAYS_STARTED_PER_SECOND = 300.0
RUN_TIMEOUT_FACTOR = 4.0  # times the expected duration; a run is aborted at the timeout
RUN_TIMEOUT_EXTRA_SECONDS = 60.0
SMALL_RUN_TIMEOUT_SECONDS = 100.0
SPARE_DESCRIPTORS = 128
SINGLE_PROCESSES = 3  # the counter, and the leader and the follower of the list service
COUNTER_CONNECTIONS_PER_GATEWAY = 4
LIST_CONNECTIONS_PER_GATEWAY = 2  # the second only while it connects to another server
GATEWAY_MEMORY_BYTES = 600_000  # of a hollow gateway without a list
BACKEND_MEMORY_BYTES = 1_500  # of one backend at one hollow gateway


class BadScaleUse(Exception):
    """The arguments or the machine do not allow the run; the message is one line."""


@dataclass(frozen=True, slots=True)
class RunDuration:
    """How long a run is expected to take, and when it is aborted."""

    expected_seconds: float
    timeout_seconds: float


def check_range(name: str, value: float, minimum: float, maximum: float) -> None:
    """Raises BadScaleUse unless the value of the option `--name` is within these bounds."""
    if not (math.isfinite(value) and minimum <= value <= maximum):
        raise BadScaleUse(f"--{name} is from {minimum:g} to {maximum:g}, not {value:g}")


def read_settings(options: argparse.Namespace) -> RunSettings:
    """The settings of the run; raises BadScaleUse or AggregatorsUnavailable for invalid arguments."""
    small = options.small
    plays = (SMALL_PLAYS if small else PLAYS) if options.plays is None else options.plays
    seconds = (SMALL_SECONDS if small else SECONDS) if options.seconds is None else options.seconds
    check_range("plays", plays, 1, MAX_PLAYS)
    check_range("seconds", seconds, 1, MAX_SECONDS)
    check_range("processes", options.processes, 1, MAX_PROCESSES)
    check_range("real", options.real, 0, MAX_REAL_GATEWAYS)
    check_range("counter-parts", options.counter_parts, 1, MAX_COUNTER_PARTS)
    check_range("counter-calls", options.counter_calls, 0, 1e6)
    check_range("aggregators", options.aggregators, 0, MAX_CHILDREN)
    check_aggregators(options.aggregators)
    check_range("gateway-calls", options.gateway_calls, *AGGREGATION_RANGES["calls_per_second"])
    check_range("gateway-burst", options.gateway_burst, *AGGREGATION_RANGES["burst"])
    return RunSettings(
        plays, seconds, SMALL_WARM_UP_SECONDS if small else WARM_UP_SECONDS, options.processes, options.real,
        options.counter_parts, options.counter_calls, options.aggregators, options.gateway_calls,
        options.gateway_burst)


def selected_axes(options: argparse.Namespace) -> list[Axis]:
    """The axes that the arguments select."""
    axes = SMALL_AXES if options.small else AXES
    return [axis for axis in axes if options.axis is None or axis.name in options.axis]


def check_resources(plans: Sequence[PlayPlan]) -> None:
    """Raises BadScaleUse if a play needs more processes, descriptors or memory than there are."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    for plan in plans:
        where = f"{plan.axis}={plan.value:g}"
        if needed_processes(plan) > MAX_CHILDREN:
            raise BadScaleUse(
                f"{where} needs {needed_processes(plan)} processes, and {MAX_CHILDREN} are the most")
        needed = needed_descriptors(plan)
        if needed > descriptors:
            raise BadScaleUse(
                f"{where} needs {needed} descriptors in a process, and the limit is {descriptors}")
        memory, usable_memory = needed_memory(plan), MAX_MEMORY_SHARE * machine_memory()
        if memory > usable_memory:
            raise BadScaleUse(
                f"{where} needs some {memory / 2**30:.1f} GB, and {usable_memory / 2**30:.1f} may be used")


def needed_processes(plan: PlayPlan) -> int:
    """The number of processes: hosts of hollow gateways, real gateways and their clients, and all servers."""
    around_real = plan.real_gateways + 1 if plan.real_gateways else 0
    around_aggregators = plan.size.aggregators + 1 if plan.size.aggregators else 0
    return plan.workers + around_real + around_aggregators + SINGLE_PROCESSES


def needed_descriptors(plan: PlayPlan) -> int:
    """File descriptors of the process that needs most: the counter or a host of hollow gateways."""
    hosted = math.ceil(plan.size.gateways / plan.workers)
    connections = COUNTER_CONNECTIONS_PER_GATEWAY + LIST_CONNECTIONS_PER_GATEWAY
    if plan.size.aggregators:
        connections = plan.size.aggregators + 2 * LIST_CONNECTIONS_PER_GATEWAY
    at_worker = hosted * connections
    return max(at_worker, plan.size.gateways * COUNTER_CONNECTIONS_PER_GATEWAY) + SPARE_DESCRIPTORS


def needed_memory(plan: PlayPlan) -> float:
    """Bytes of memory of all hollow gateways."""
    return plan.size.gateways * (GATEWAY_MEMORY_BYTES + plan.size.backends * BACKEND_MEMORY_BYTES)


def estimate_duration(plans: Sequence[PlayPlan], max_seconds: float = math.inf) -> RunDuration:
    """The expected duration and the timeout, which is at most `max_seconds`."""
    expected_seconds = sum(
        START_ESTIMATE_SECONDS + plan.size.gateways / GATEWAYS_STARTED_PER_SECOND + plan.warm_up_seconds
        + plan.seconds for plan in plans)
    return RunDuration(
        expected_seconds,
        min(RUN_TIMEOUT_FACTOR * expected_seconds + RUN_TIMEOUT_EXTRA_SECONDS, max_seconds))


class RecordWriter:
    """The record of a run, written after each play if there is an output folder."""

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
        """Whether the record holds this play already."""
        planned = (plan.axis, plan.value, plan.number, plan.seed, plan.size, plan.seconds)
        return any(
            (p.axis, p.value, p.number, p.seed, p.size, p.seconds) == planned for p in self.record.plays)

    def add(self, play: Play) -> None:
        """Adds a finished play and writes the record."""
        self.record = replace(self.record, plays=(*self.record.plays, play))
        self.write()

    def write(self) -> None:
        """Writes the record if there is an output folder."""
        if self.folder is not None:
            write_record(self.folder / RECORD_FILE, self.record)

    def finish(self) -> None:
        """Adds the fitted slopes and draws the plots."""
        from embersill.lab.scale.fits import fit_slopes  # scipy and matplotlib take a second to load
        from embersill.lab.scale.plots import write_plots

        self.record = replace(self.record, slopes=fit_slopes(self.record.plays))
        self.write()
        if self.folder is not None:
            write_plots(self.record, self.folder)


def describe_play(play: Play, elapsed: float) -> str:
    """One line of progress about a finished play that took this many seconds."""
    counts, times = play.counts, play.times
    return (f"{play.axis}={play.value:g} play {play.number}: "
            f"{counts['counter_calls_per_gateway']:.2f} counter calls and "
            f"{counts['list_calls_per_gateway']:.2f} list calls a second at a gateway, "
            f"module {100 * times['module_cpu_share']:.2f}% of a core; {elapsed:.1f} s")


async def play_all(plans: Sequence[PlayPlan], writer: RecordWriter, timeout: float) -> None:
    """Runs the plays one after the other; raises ChildFailed if one fails or at the run's timeout."""
    deadline = time.monotonic() + timeout
    with tqdm(total=len(plans), unit="play", disable=None) as bar:
        for plan in plans:
            started_at = time.monotonic()
            with tempfile.TemporaryDirectory(prefix="embersill-scale-") as folder:
                try:
                    async with asyncio.timeout(deadline - started_at):
                        result = await run_play(plan, pathlib.Path(folder))
                except TimeoutError:
                    raise ChildFailed(f"the run did not end within {timeout:.0f} s") from None
            writer.add(result.play)
            bar.update()
            tqdm.write(describe_play(result.play, time.monotonic() - started_at), file=sys.stdout)
            sys.stdout.flush()


async def play_until_interrupted(plans: Sequence[PlayPlan], writer: RecordWriter, timeout: float) -> None:
    """Runs the plays; SIGINT or SIGTERM cancels the current one, which ends all of its processes.

    Raises KeyboardInterrupt after a signal.
    """
    loop, playing = asyncio.get_running_loop(), asyncio.create_task(play_all(plans, writer, timeout))
    stopped = asyncio.Event()

    def stop() -> None:
        stopped.set()
        playing.cancel()

    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop)
    try:
        await playing
    except asyncio.CancelledError:
        if not stopped.is_set():
            raise
    if stopped.is_set():
        raise KeyboardInterrupt


def find_broken_bounds(plays: Sequence[Play]) -> list[BrokenBound]:
    """The bounds that the counts of these plays exceed."""
    return [broken for play in plays for broken in broken_bounds(play)]


def run_command(options: argparse.Namespace) -> int:
    """Runs the selected plays and returns the exit code; raises KeyboardInterrupt if it is interrupted."""
    try:
        plans = plan_plays(selected_axes(options), read_settings(options))
        check_resources(plans)
        writer = RecordWriter(options.out, options.resume)
        remaining = [plan for plan in plans if not writer.contains(plan)]
        duration = estimate_duration(remaining, SMALL_RUN_TIMEOUT_SECONDS if options.small else math.inf)
        print(f"{len(remaining)} plays, about {duration.expected_seconds / 60:.1f} minutes; "
              f"ends after {duration.timeout_seconds / 60:.1f} minutes at the latest", flush=True)
        asyncio.run(play_until_interrupted(remaining, writer, duration.timeout_seconds))
    except (BadScaleUse, BadRecord, AggregatorsUnavailable, ChildNotStarted) as error:
        print(f"embersill.lab: {error}", file=sys.stderr)
        return USAGE_ERROR
    except (ChildFailed, ListServiceFailed) as error:
        print(f"embersill.lab: {error}", file=sys.stderr)
        return FAILED
    writer.finish()
    if not options.counts_only:
        return DONE
    broken = find_broken_bounds(writer.record.plays)
    for bound in broken:
        print(f"embersill.lab: {bound}", file=sys.stderr)
    print(f"{len(writer.record.plays)} plays judged by their counts, {len(broken)} bounds broken")
    return FAILED if broken else DONE
