"""A process that hosts many hollow gateways, a child of the scale command.

    python -m embersill.lab.scale.worker

It carries out the commands on its standard input, and exits at the end of it.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import time
from collections import Counter
from dataclasses import dataclass

import uvloop

from embersill.lab.scale.clock import own_memory
from embersill.lab.scale.deployment import Deployment, GeneratedRequest
from embersill.lab.scale.metered_router import MeteredRouter
from embersill.lab.scale.hollow import (
    AnswerTotals, GatewayFigures, HollowGateway, ProcessFigures, RequestSource, TimedListReader,
)
from embersill.lab.scale.lines import CommandStream, send_answer
from embersill.lab.scale.messages import (
    BeginLoad, BeginMeasuring, Collect, Done, EndMeasuring, FailoverFigures, GatewayCounts, GatewaysReady,
    ListAnswers, Restart, RestartFigures, WatchFailover, WorkerReport, WorkerTask,
)
from embersill.net.listing import read_address

READY_POLL_SECONDS = 0.02


@dataclass(slots=True)
class WorkerSnapshot:
    """Counts and times at one moment; the report holds the difference of two."""

    at: float  # monotonic
    counts: list[GatewayCounts]
    module_seconds: float  # CPU time in the decision module
    process_seconds: float  # CPU time of the whole process


class Worker:
    """Hosts the hollow gateways of one process, and reports what they did."""

    def __init__(self, task: WorkerTask) -> None:
        self.task = task
        self.deployment = Deployment(task.size, task.seed)
        self.rng = random.Random(f"{task.seed} {task.gateways[:1]}")
        self.process = ProcessFigures(TimedListReader())
        self.gateway_figures = [GatewayFigures() for _ in task.gateways]
        self.gateways: list[HollowGateway] = []
        self.sources: list[RequestSource] = []
        self.restarted_gateways: list[HollowGateway] = []
        self.start_snapshot = self.end_snapshot = self.snapshot()
        self.memory_before = own_memory()
        self.memory_created = self.memory_listed = 0

    async def start_gateways(self) -> None:
        """Starts the gateways at the task's rate, and waits until each has its list."""
        self.gateways = [self.make_gateway(index) for index in range(len(self.task.gateways))]
        self.sources = [
            RequestSource(self.deployment, number, self.rng.getrandbits(32), self.arrival_handler(index))
            for index, number in enumerate(self.task.gateways)]
        gc.collect()
        self.memory_created = own_memory()
        for gateway in self.gateways:
            gateway.start()
            await asyncio.sleep(1.0 / self.task.starts_per_second)
        while not all(gateway.is_ready() for gateway in self.gateways):
            await asyncio.sleep(READY_POLL_SECONDS)
        gc.collect()
        gc.freeze()  # as a gateway does after its start
        self.memory_listed = own_memory()

    def make_gateway(self, index: int) -> HollowGateway:
        """Creates the gateway at an index of the task's gateways; its counts continue over restarts."""
        task = self.task
        return HollowGateway(
            task.gateways[index], self.deployment, [read_address(a) for a in task.directories],
            read_address(task.counter), self.rng.getrandbits(62), self.gateway_figures[index], self.process,
            [read_address(a) for a in task.aggregator_lists])

    def arrival_handler(self, index: int) -> ArrivalHandler:
        """What a request source calls with the requests for the gateway at this index."""
        return ArrivalHandler(self, index)

    def begin_load(self) -> None:
        for source in self.sources:
            source.start()

    def restart(self, numbers: list[int]) -> None:
        """Kills and restarts these gateways at the same time; requests go on arriving."""
        wanted = set(numbers)
        indices = [index for index, number in enumerate(self.task.gateways) if number in wanted]
        for index in indices:
            self.gateways[index].close()
        for index in indices:
            self.gateways[index] = self.make_gateway(index)
            self.restarted_gateways.append(self.gateways[index])
            self.gateways[index].start()

    def snapshot(self) -> WorkerSnapshot:
        """The present counts and times."""
        return WorkerSnapshot(
            time.monotonic(), [f.counts() for f in self.gateway_figures], self.process.module_seconds,
            time.process_time())

    def report(self, generations: list[int]) -> WorkerReport:
        """What the gateways did in the measured time; `generations` are those of the list's writes."""
        counts = [after.since(before) for before, after in
                  zip(self.start_snapshot.counts, self.end_snapshot.counts, strict=True)]
        return WorkerReport(
            self.end_snapshot.at - self.start_snapshot.at, counts,
            [len(hollow.gateway.throttles) for hollow in self.gateways],
            self.process.starts,
            list_answers(self.process.full_lists), list_answers(self.process.changes),
            self.end_snapshot.module_seconds - self.start_snapshot.module_seconds,
            self.end_snapshot.process_seconds - self.start_snapshot.process_seconds,
            own_memory(), [self.last_received_at(generation) for generation in generations],
            self.restart_figures(), self.failover_figures(), self.process.events, self.given_up())

    def given_up(self) -> dict[str, int]:
        """Requests that gateways refused or failed themselves, by reason."""
        reasons = Counter[str]()
        for hollow in self.gateways:
            reasons.update(hollow.gateway.given_up)
        return dict(reasons)

    def last_received_at(self, generation: int) -> float | None:
        """When the last gateway here received the list of this generation or of a later one.

        None where a gateway did not receive it. Monotonic time.
        """
        last = 0.0
        for figures in self.gateway_figures:
            at = next((at for received, at in figures.lists_received if received >= generation), None)
            if at is None:
                return None
            last = max(last, at)
        return last

    def restart_figures(self) -> RestartFigures:
        """What the restarted gateways needed until each had its list."""
        listed = [gateway for gateway in self.restarted_gateways if gateway.first_list_at]
        return RestartFigures(
            len(self.restarted_gateways), len(self.restarted_gateways) - len(listed),
            sum(gateway.list_calls_until_first_list for gateway in self.restarted_gateways),
            sum(gateway.bytes_until_first_list for gateway in listed),
            max((gateway.first_list_at for gateway in listed), default=0.0))

    def routers(self) -> list[MeteredRouter]:
        """The gateways' clients of aggregators; none where gateways call the counter directly."""
        return [gateway.counter for gateway in self.gateways if isinstance(gateway.counter, MeteredRouter)]

    def failover_figures(self) -> FailoverFigures:
        """Times of the failover that WatchFailover started to measure."""
        failovers = [router.failover for router in self.routers() if router.failover is not None]
        return FailoverFigures(
            [failover.removed_at for failover in failovers if failover.removed_at],
            [failover.answered_at for failover in failovers if failover.answered_at])

    async def handle_commands(self, commands: CommandStream) -> None:
        """Carries out commands until the stream ends."""
        while (command := await commands.read()) is not None:
            match command:
                case BeginLoad():
                    self.begin_load()
                case BeginMeasuring():
                    self.start_snapshot = self.snapshot()
                case Restart():
                    self.restart(command.gateways)
                case WatchFailover():
                    for router in self.routers():
                        router.watch_failover(command.aggregator)
                case EndMeasuring():
                    self.end_snapshot = self.snapshot()
                case Collect():
                    send_answer(self.report(command.generations))
                    continue
            send_answer(Done())


@dataclass(frozen=True, slots=True)
class ArrivalHandler:
    """Passes requests to the gateway that is at an index now, as restarts replace it."""

    worker: Worker
    index: int

    def __call__(self, generated: GeneratedRequest) -> None:
        self.worker.gateways[self.index].on_request(generated)


def list_answers(totals: AnswerTotals) -> ListAnswers:
    """The totals as a part of a report."""
    return ListAnswers(totals.number, totals.bytes, totals.seconds)


async def serve() -> None:
    """Runs the process from its task to the end of its commands."""
    commands = await CommandStream.open()
    task = await commands.read()
    if not isinstance(task, WorkerTask):
        return
    worker = Worker(task)
    starting = asyncio.create_task(worker.start_gateways())
    handling = asyncio.create_task(worker.handle_commands(commands))
    await asyncio.wait({starting, handling}, return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        await starting
        send_answer(GatewaysReady(worker.memory_before, worker.memory_created, worker.memory_listed))
        await handling


def main() -> None:
    logging.basicConfig(format="%(name)s: %(message)s", level=logging.WARNING)
    uvloop.run(serve())


if __name__ == "__main__":
    main()
