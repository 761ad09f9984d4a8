"""A process that hosts many hollow gateways: python -m embersill.lab.scale.worker, as a child of the command.

It obeys orders on its standard input and ends with it.
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
    """Figures at a moment, of which differences are taken."""

    at: float  # monotonic
    counts: list[GatewayCounts]
    module_seconds: float
    process_seconds: float


class Worker:
    """The gateways of one process."""

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
        """Starts them at the task's pace, and waits until each has its list."""
        self.gateways = [self.make_gateway(place) for place in range(len(self.task.gateways))]
        self.sources = [
            RequestSource(self.deployment, number, self.rng.getrandbits(32), self.arrival_handler(place))
            for place, number in enumerate(self.task.gateways)]
        gc.collect()
        self.memory_created = own_memory()
        for made in self.gateways:
            made.start()
            await asyncio.sleep(1.0 / self.task.starts_per_second)
        while not all(made.is_ready() for made in self.gateways):
            await asyncio.sleep(READY_POLL_SECONDS)
        gc.collect()
        gc.freeze()  # as a gateway does after its start
        self.memory_listed = own_memory()

    def make_gateway(self, place: int) -> HollowGateway:
        task = self.task
        return HollowGateway(
            task.gateways[place], self.deployment, [read_address(a) for a in task.directories],
            read_address(task.counter), self.rng.getrandbits(62), self.gateway_figures[place], self.process,
            [read_address(a) for a in task.aggregator_lists])

    def arrival_handler(self, place: int) -> ArrivalHandler:
        return ArrivalHandler(self, place)

    def begin_load(self) -> None:
        for source in self.sources:
            source.start()

    def restart(self, numbers: list[int]) -> None:
        """All of them at the same time; requests go on to come."""
        wanted = set(numbers)
        places = [place for place, number in enumerate(self.task.gateways) if number in wanted]
        for place in places:
            self.gateways[place].close()
        for place in places:
            self.gateways[place] = self.make_gateway(place)
            self.restarted_gateways.append(self.gateways[place])
            self.gateways[place].start()

    def snapshot(self) -> WorkerSnapshot:
        return WorkerSnapshot(
            time.monotonic(), [f.counts() for f in self.gateway_figures], self.process.module_seconds,
            time.process_time())

    def report(self, generations: list[int]) -> WorkerReport:
        counts = [after.since(before) for before, after in
                  zip(self.start_snapshot.counts, self.end_snapshot.counts, strict=True)]
        return WorkerReport(
            self.end_snapshot.at - self.start_snapshot.at, counts, [len(made.gateway.throttles) for made in self.gateways],
            self.process.starts,
            list_answers(self.process.full_lists), list_answers(self.process.changes),
            self.end_snapshot.module_seconds - self.start_snapshot.module_seconds,
            self.end_snapshot.process_seconds - self.start_snapshot.process_seconds,
            own_memory(), [self.last_received_at(generation) for generation in generations], self.restart_figures(),
            self.failover_figures(), self.process.events, self.given_up())

    def given_up(self) -> dict[str, int]:
        reasons = Counter[str]()
        for made in self.gateways:
            reasons.update(made.gateway.given_up)
        return dict(reasons)

    def last_received_at(self, generation: int) -> float | None:
        """When the last gateway here heard of a write, or of a later one; None if one did not."""
        last = 0.0
        for figures in self.gateway_figures:
            at = next((at for told, at in figures.lists_received if told >= generation), None)
            if at is None:
                return None
            last = max(last, at)
        return last

    def restart_figures(self) -> RestartFigures:
        told_ones = [made for made in self.restarted_gateways if made.first_list_at]
        return RestartFigures(
            len(self.restarted_gateways), len(self.restarted_gateways) - len(told_ones),
            sum(made.list_calls_until_first_list for made in self.restarted_gateways),
            sum(made.bytes_until_first_list for made in told_ones),
            max((made.first_list_at for made in told_ones), default=0.0))

    def routers(self) -> list[MeteredRouter]:
        return [made.counter for made in self.gateways if isinstance(made.counter, MeteredRouter)]

    def failover_figures(self) -> FailoverFigures:
        watches = [router.failover for router in self.routers() if router.failover is not None]
        return FailoverFigures(
            [watch.removed_at for watch in watches if watch.removed_at],
            [watch.answered_at for watch in watches if watch.answered_at])

    async def handle_commands(self, orders: CommandStream) -> None:
        while (order := await orders.read()) is not None:
            match order:
                case BeginLoad():
                    self.begin_load()
                case BeginMeasuring():
                    self.start_snapshot = self.snapshot()
                case Restart():
                    self.restart(order.gateways)
                case WatchFailover():
                    for router in self.routers():
                        router.watch_failover(order.aggregator)
                case EndMeasuring():
                    self.end_snapshot = self.snapshot()
                case Collect():
                    send_answer(self.report(order.generations))
                    continue
            send_answer(Done())


@dataclass(frozen=True, slots=True)
class ArrivalHandler:
    """Gives a gateway's requests to the process that stands in its place now."""

    worker: Worker
    index: int

    def __call__(self, drawn: GeneratedRequest) -> None:
        self.worker.gateways[self.index].on_request(drawn)


def list_answers(tally: AnswerTotals) -> ListAnswers:
    return ListAnswers(tally.number, tally.bytes, tally.seconds)


async def serve() -> None:
    orders = await CommandStream.open()
    task = await orders.read()
    if not isinstance(task, WorkerTask):
        return
    worker = Worker(task)
    starting = asyncio.create_task(worker.start_gateways())
    obeying = asyncio.create_task(worker.handle_commands(orders))
    await asyncio.wait({starting, obeying}, return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        await starting
        send_answer(GatewaysReady(worker.memory_before, worker.memory_created, worker.memory_listed))
        await obeying


def main() -> None:
    logging.basicConfig(format="%(name)s: %(message)s", level=logging.WARNING)
    uvloop.run(serve())


if __name__ == "__main__":
    main()
