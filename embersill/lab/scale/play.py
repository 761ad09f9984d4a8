"""One play of one point: starts all roles, measures them, and gives a Play record."""

from __future__ import annotations

import asyncio
import pathlib
import random
import statistics
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from embersill.lab.peers import HOST, free_port
from embersill.lab.scale.aggregators import Aggregator, AggregatorFigures, read_figures, start_aggregators
from embersill.lab.scale.children import Child, ChildFailed, Children, ChildNotStarted
from embersill.lab.scale.clock import Usage, machine_memory
from embersill.lab.scale.deployment import Deployment
from embersill.lab.scale.list_service import ListWriter, ServiceFigures, Write, write_list, start_list_service
from embersill.lab.scale.messages import (
    BeginLoad, BeginMeasuring, ClientsReport, ClientsTask, Collect, CounterFigures, Done, EndMeasuring,
    GatewayCounts, GatewaysReady, ListAnswers, Listening, Message, ReadFigures, Restart, WatchFailover,
    WorkerReport, WorkerTask, sum_figure,
)
from embersill.lab.scale.plan import (
    LIST_UPDATE_TIMEOUT_SECONDS, PEER_START_TIMEOUT_SECONDS, RESTART_TIMEOUT_SECONDS, STARTS_PER_SECOND,
    PlayPlan,
)
from embersill.lab.scale.quota_account import replay_events
from embersill.lab.scale.real_gateways import choose_ports, start_gateway, wait_ready
from embersill.lab.scale.records import Play

ANSWER_TIMEOUT_SECONDS = 10.0
MIN_LIST_UPDATE_WAIT_SECONDS = 0.2  # until the service has begun to tell them
WATCHERS_POLL_SECONDS = 0.1
REPLICATION_POLL_SECONDS = 0.05
MIN_CUSTOMERS_PER_GATEWAY = 100  # at a gateway, from which their memory stands out from the rest of its growth
RESTART_AT_SHARE = 0.25  # of the measured time, at which gateways restart
KILL_AT_SHARE = 0.1  # of the measured time, at which aggregators are killed
MAX_MEMORY_SHARE = 0.5  # of the machine's, that a play may use
MEMORY_POLL_SECONDS = 0.5
MICROSECONDS = 1e6
MAX_ADDED_US = 60_000_000


class MemoryLimitExceeded(ChildFailed):
    """The play's processes use more than their part of the machine's memory."""


@dataclass(frozen=True, slots=True)
class PlayResult:
    """The record of a play, and the figures of each gateway that it was made from."""

    play: Play
    hollow: list[GatewayCounts]
    real: list[GatewayCounts]
    given_up: dict[str, int]  # requests that hollow gateways' modules ended themselves, by reason


@dataclass(slots=True)
class Roles:
    """The processes of a play by role."""

    workers: list[Child] = field(default_factory=list)
    leader: Child | None = None
    follower: Child | None = None
    counter: Child | None = None
    clients: Child | None = None
    gateways: list[Child] = field(default_factory=list)
    aggregators: list[Aggregator] = field(default_factory=list)
    aggregator_list: Child | None = None

    def live_aggregators(self) -> list[Aggregator]:
        """Those that were not killed."""
        return [aggregator for aggregator in self.aggregators if not aggregator.child.killed]

    def commanded(self) -> list[Child]:
        """Those that take orders during the play."""
        return [*self.workers, *([self.clients] if self.clients else [])]


@dataclass(frozen=True, slots=True)
class AggregatorSnapshot:
    """The figures of one aggregator at one moment."""

    usage: Usage
    figures: AggregatorFigures


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The figures of the peers at one moment."""

    at: float
    leader: Usage
    follower: Usage
    counter: Usage
    aggregators: dict[str, AggregatorSnapshot]  # by name
    leader_figures: ServiceFigures
    follower_figures: ServiceFigures
    counter_figures: CounterFigures


class PlayRun:
    """One play from its start to its record."""

    def __init__(
        self, plan: PlayPlan, folder: pathlib.Path, children: Children, session: aiohttp.ClientSession
    ) -> None:
        self.plan, self.size, self.folder, self.children = plan, plan.size, folder, children
        self.deployment = Deployment(plan.size, plan.seed)
        self.rng = random.Random(f"{plan.seed} play")
        self.roles = Roles()
        # far apart, so that real ones share as few customers as may be
        real = [n * plan.size.gateways // plan.real_gateways for n in range(plan.real_gateways)]
        self.hollow_gateways = [n for n in range(plan.size.gateways) if n not in real]
        self.leader_address = f"{HOST}:{free_port()}"
        self.follower_address = f"{HOST}:{free_port()}"
        self.counter_address = f"{HOST}:{free_port()}"
        self.aggregator_list = f"{HOST}:{free_port()}" if plan.size.aggregators else ""
        self.backend_port = free_port()
        self.ports = [choose_ports(number, 2) for number in real]
        self.writer = ListWriter(session, self.leader_address, plan.size.backends)
        self.ready_reports: list[GatewaysReady] = []
        self.restarted_at = self.killed_at = 0.0

    async def run(self) -> PlayResult:
        await self.start_peers()
        await self.start_gateways()
        self.children.starting = False
        await self.send_to_all(BeginLoad())
        await asyncio.sleep(self.plan.warm_up_seconds)
        before = await self.snapshot()
        await self.send_to_all(BeginMeasuring())
        began = time.monotonic()
        await self.run_measured_time()
        after = await self.snapshot()
        await self.send_to_all(EndMeasuring())
        await self.wait_for_watchers()
        return await self.collect(before, after, began)

    # start

    async def start_peers(self) -> None:
        size = self.size
        write_list(self.folder / "list", size.backends, f"{HOST}:{self.backend_port}")
        roles, children = self.roles, self.children
        await self.start_gateway_hosts()
        roles.counter = await children.start_module(
            "counter", "embersill.lab.scale.counter_process", self.counter_address.rpartition(":")[2],
            str(size.counter_parts), str(size.counter_calls_per_second))
        ports = [int(a.rpartition(":")[2]) for a in (self.leader_address, self.follower_address)]
        roles.leader = await start_list_service(children, self.folder / "list", ports[0], size.gateways)
        await roles.leader.wait_for_log("listening on", PEER_START_TIMEOUT_SECONDS)
        roles.follower = await start_list_service(
            children, self.folder / "copy", ports[1], size.gateways, self.leader_address)
        await self.wait_listening(roles.counter)
        await roles.follower.wait_for_log("listening on", PEER_START_TIMEOUT_SECONDS)
        await self.wait_for_replication()
        if self.aggregator_list:
            await self.start_aggregator_peers()

    async def start_aggregator_peers(self) -> None:
        """The aggregators, and a list service of their own in which they register."""
        roles, port = self.roles, int(self.aggregator_list.rpartition(":")[2])
        roles.aggregator_list = await start_list_service(
            self.children, self.folder / "aggregators", port, self.size.gateways, name="aggregator-list")
        await roles.aggregator_list.wait_for_log("listening on", PEER_START_TIMEOUT_SECONDS)
        roles.aggregators = await start_aggregators(
            self.children, self.deployment, self.counter_address, self.aggregator_list)

    async def start_gateway_hosts(self) -> None:
        """Processes that wait for their task: they load their modules while the peers start."""
        for place in range(min(self.plan.workers, len(self.hollow_gateways))):
            self.roles.workers.append(
                await self.children.start_module(f"worker-{place}", "embersill.lab.scale.worker"))
        if self.ports:
            self.roles.clients = await self.children.start_module(
                "clients", "embersill.lab.scale.clients_process")

    async def wait_listening(self, child: Child) -> None:
        try:
            await child.receive(Listening, PEER_START_TIMEOUT_SECONDS)
        except ChildFailed as error:
            raise ChildNotStarted(f"{child.name} did not start: {error}") from None

    async def wait_for_replication(self) -> None:
        """Waits until the follower has the leader's list."""
        generation = (await self.writer.status(self.leader_address)).generation
        while (await self.writer.status(self.follower_address)).generation < generation:
            await asyncio.sleep(REPLICATION_POLL_SECONDS)

    async def start_gateways(self) -> None:
        """Hollow gateways at a bounded pace, as each asks for the whole list; real ones meanwhile."""
        aggregator_lists = [self.aggregator_list] if self.aggregator_list else []
        workers = len(self.roles.workers)
        for place, child in enumerate(self.roles.workers):
            mine = self.hollow_gateways[place::workers]
            child.send(WorkerTask(
                self.size, self.plan.seed, mine, [self.leader_address, self.follower_address],
                self.counter_address, aggregator_lists, STARTS_PER_SECOND / workers))
        if self.roles.clients is not None:
            await self.start_real_gateways(self.roles.clients, self.counter_address)
        within = PEER_START_TIMEOUT_SECONDS + 3 * self.size.gateways / STARTS_PER_SECOND
        for worker in self.roles.workers:
            try:
                self.ready_reports.append(await worker.receive(GatewaysReady, within))
            except ChildFailed as error:
                raise ChildNotStarted(f"{worker.name} did not get ready: {error}") from None

    async def start_real_gateways(self, clients: Child, counter: str) -> None:
        directories = [self.leader_address, self.follower_address]
        clients.send(ClientsTask(
            self.size, self.plan.seed, self.backend_port, directories, counter, self.ports))
        await self.wait_listening(clients)
        for ports in self.ports:
            self.roles.gateways.append(await start_gateway(
                self.children, self.folder, self.deployment, ports, self.rng.getrandbits(62),
                self.aggregator_list))
        for child, ports in zip(self.roles.gateways, self.ports, strict=True):
            await wait_ready(child, ports, PEER_START_TIMEOUT_SECONDS)

    # the measured time

    async def send_to_all(self, order: Message) -> None:
        """Gives an order to all at once, and waits until each has carried it out."""
        speaking = self.roles.commanded()
        for child in speaking:
            child.send(order)
        for child in speaking:
            await child.receive(Done, ANSWER_TIMEOUT_SECONDS)

    async def run_measured_time(self) -> None:
        plan = self.plan
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.writer.write_for(plan.seconds, self.size.changes_per_second))
            tasks.create_task(asyncio.sleep(plan.seconds))
            if self.size.restarted_share > 0:
                tasks.create_task(self.restart_gateways())
            if self.size.aggregators_killed:
                tasks.create_task(self.kill_aggregators())

    async def kill_aggregators(self) -> None:
        """Kills some at once; of the last it is measured when its customers' calls are answered again."""
        await asyncio.sleep(KILL_AT_SHARE * self.plan.seconds)
        drawn = self.rng.sample(self.roles.aggregators, self.size.aggregators_killed)
        self.killed_at = time.monotonic()
        for aggregator in drawn:
            await self.children.kill(aggregator.child)
        for worker in self.roles.workers:
            worker.send(WatchFailover(drawn[-1].name))
        for worker in self.roles.workers:
            await worker.receive(Done, ANSWER_TIMEOUT_SECONDS)

    async def restart_gateways(self) -> None:
        """Restarts a part of the hollow gateways, drawn anew for each play."""
        await asyncio.sleep(RESTART_AT_SHARE * self.plan.seconds)
        many = max(1, round(self.size.restarted_share * len(self.hollow_gateways)))
        drawn = self.rng.sample(self.hollow_gateways, many)
        self.restarted_at = time.monotonic()
        for worker in self.roles.workers:
            worker.send(Restart(drawn))
        for worker in self.roles.workers:
            await worker.receive(Done, ANSWER_TIMEOUT_SECONDS)

    async def wait_for_watchers(self) -> None:
        """Until all gateways watch again, at the most for as long as a restart may take."""
        patience = RESTART_TIMEOUT_SECONDS if self.size.restarted_share > 0 else LIST_UPDATE_TIMEOUT_SECONDS
        until = time.monotonic() + patience
        await asyncio.sleep(MIN_LIST_UPDATE_WAIT_SECONDS)
        while time.monotonic() < until:
            if (await self.writer.status(self.leader_address)).watchers >= self.size.gateways:
                return
            await asyncio.sleep(WATCHERS_POLL_SECONDS)

    async def snapshot(self) -> Snapshot:
        leader, follower, counter = self.roles.leader, self.roles.follower, self.roles.counter
        assert leader is not None and follower is not None and counter is not None
        counted = await counter.ask(ReadFigures(), CounterFigures, ANSWER_TIMEOUT_SECONDS)
        return Snapshot(
            time.monotonic(), leader.usage(), follower.usage(), counter.usage(),
            await self.aggregator_snapshots(),
            await self.writer.status(self.leader_address), await self.writer.status(self.follower_address),
            counted)

    async def aggregator_snapshots(self) -> dict[str, AggregatorSnapshot]:
        return {
            aggregator.name: AggregatorSnapshot(aggregator.child.usage(), await read_figures(aggregator))
            for aggregator in self.roles.live_aggregators()}

    # the record

    async def collect(self, before: Snapshot, after: Snapshot, began: float) -> PlayResult:
        writes = [write for write in self.writer.writes if write.answered_at >= began]
        order = Collect([write.generation for write in writes])
        reports = [await w.ask(order, WorkerReport, ANSWER_TIMEOUT_SECONDS) for w in self.roles.workers]
        clients = None
        if self.roles.clients is not None:
            clients = await self.roles.clients.ask(order, ClientsReport, ANSWER_TIMEOUT_SECONDS)
        figures = PlayFigures(
            self.plan, self.deployment, self.ready_reports, reports, clients, before, after, began, writes,
            self.restarted_at, self.killed_at)
        plan = self.plan
        play = Play(
            plan.axis, plan.value, plan.number, plan.seed, plan.size, plan.seconds, figures.counts(),
            figures.times())
        given_up = Counter[str]()
        for report in reports:
            given_up.update(report.given_up)
        return PlayResult(play, figures.hollow, clients.counts if clients else [], dict(given_up))


@dataclass(slots=True)
class PlayFigures:
    """Turns what the processes report into the record's measures."""

    plan: PlayPlan
    deployment: Deployment
    ready_reports: list[GatewaysReady]
    reports: list[WorkerReport]
    clients: ClientsReport | None
    before: Snapshot
    after: Snapshot
    started_at: float
    writes: Sequence[Write]
    restarted_at: float
    killed_at: float

    @property
    def hollow(self) -> list[GatewayCounts]:
        return [counts for report in self.reports for counts in report.counts]

    @property
    def seconds(self) -> float:
        return self.after.at - self.before.at

    def per_gateway(self, name: str) -> float:
        """Mean over hollow gateways, a second."""
        return sum_figure(self.hollow, name) / self.hollow_seconds

    @property
    def hollow_seconds(self) -> float:
        """Measured time of all hollow gateways together."""
        return sum(report.seconds * len(report.counts) for report in self.reports)

    def list_bytes_per_second(self, before: ServiceFigures, after: ServiceFigures) -> float:
        told = after.figures.get("bytes told", 0) - before.figures.get("bytes told", 0)
        return told / self.seconds

    def list_answers(self, kind: str) -> ListAnswers:
        """Answers of the list service over all workers."""
        found: list[ListAnswers] = [getattr(report, kind) for report in self.reports]
        return ListAnswers(
            sum(a.number for a in found), sum(a.bytes for a in found), sum(a.seconds for a in found))

    def customers(self) -> int:
        return sum(sum(report.customers) for report in self.reports)

    def counts(self) -> dict[str, float]:
        before, after = self.before, self.after
        calls = after.counter_figures.calls - before.counter_figures.calls
        starts = sum(report.starts for report in self.reports)
        found = {
            "counter_calls_per_gateway": self.per_gateway("counter_calls"),
            "counter_bytes_out_per_gateway": self.per_gateway("counter_bytes_out"),
            "counter_bytes_in_per_gateway": self.per_gateway("counter_bytes_in"),
            "counter_calls_fleet": calls / self.seconds,
            "counter_names_active": float(after.counter_figures.names),
            "counter_busy_share": ratio(
                after.counter_figures.turned_away - before.counter_figures.turned_away, calls),
            "list_calls_per_gateway": self.per_gateway("list_calls"),
            "list_bytes_out_per_gateway": self.per_gateway("list_bytes_out"),
            "list_bytes_in_per_gateway": self.per_gateway("list_bytes_in"),
            "list_bytes_out_leader": self.list_bytes_per_second(before.leader_figures, after.leader_figures),
            "list_bytes_out_follower": self.list_bytes_per_second(before.follower_figures, after.follower_figures),
            "customers_per_gateway": self.customers() / len(self.hollow),
            "whole_lists_per_start": self.list_answers("whole_lists").number / starts,
        }
        found |= self.list_answer_bytes() | self.quota_shares() | self.aggregator_counts()
        if self.restarted_at:
            found |= self.restart_counts()
        return found

    def list_answer_bytes(self) -> dict[str, float]:
        found = {}
        for kind, name in (("whole_lists", "whole_list_bytes"), ("changes", "change_bytes")):
            answers = self.list_answers(kind)
            if answers.number:
                found[name] = answers.bytes / answers.number
        return found

    def quota_shares(self) -> dict[str, float]:
        """Refusals and quotas over the whole fleet, real gateways included."""
        logs = [report.events for report in self.reports]
        if self.clients is not None:
            logs.append(self.clients.events)
        outcome = replay_events(self.deployment, logs, self.started_at, self.started_at + self.plan.seconds)
        if not outcome.requests:
            return {}
        return {
            "refused_share": outcome.refused / outcome.requests,
            "refused_with_room_share": outcome.refused_with_room / outcome.requests,
            "beyond_quota_share": outcome.beyond_quota / outcome.requests,
        }

    def restart_counts(self) -> dict[str, float]:
        restarts = [report.restart for report in self.reports]
        told = sum(r.gateways - r.untold for r in restarts)
        found = {"restart_list_calls_fleet": float(sum(r.list_calls for r in restarts))}
        if told:
            found["restart_bytes_per_gateway"] = sum(r.list_bytes_in for r in restarts) / told
        return found

    def times(self) -> dict[str, float]:
        module = sum(report.module_seconds for report in self.reports)
        process = sum(report.process_seconds for report in self.reports)
        requests = sum_figure(self.hollow, "requests")
        found = {
            "module_cpu_share": module / self.hollow_seconds,
            "control_cpu_share": (process - module) / self.hollow_seconds,
            **self.peer_times(), **self.list_answer_times(), **self.memory(), **self.list_update_times(), **self.added_latency(),
        }
        if requests:
            found["module_us_per_request"] = MICROSECONDS * module / requests
        if self.restarted_at and not any(report.restart.untold for report in self.reports):
            last = max(report.restart.last_told_at for report in self.reports)
            found["restart_all_told_s"] = last - self.restarted_at
        return found

    def peer_times(self) -> dict[str, float]:
        pairs = {
            "directory_leader": (self.before.leader, self.after.leader),
            "directory_follower": (self.before.follower, self.after.follower),
            "counter": (self.before.counter, self.after.counter),
        }
        found = {}
        for name, (before, after) in pairs.items():
            found[f"{name}_cpu_share"] = (after.cpu_seconds - before.cpu_seconds) / self.seconds
            found[f"{name}_memory_mb"] = after.memory_bytes / 2**20
        return found | self.aggregator_times()

    def aggregator_pairs(self) -> list[tuple[AggregatorSnapshot, AggregatorSnapshot]]:
        """Before and after, of the aggregators that live at the end."""
        return [(self.before.aggregators[name], after) for name, after in self.after.aggregators.items()]

    def aggregator_counts(self) -> dict[str, float]:
        """Sums over aggregators."""
        pairs = [(before.figures, after.figures) for before, after in self.aggregator_pairs()]
        if not pairs:
            return {}
        calls = sum(after.calls - before.calls for before, after in pairs)
        return {
            "aggregator_calls_in": calls / self.seconds,
            "aggregator_calls_out": sum(a.calls_out - b.calls_out for b, a in pairs) / self.seconds,
            "aggregator_busy_share": ratio(sum(a.rejected_calls - b.rejected_calls for b, a in pairs), calls),
            **self.failover_counts(),
        }

    def failover_counts(self) -> dict[str, float]:
        if not self.killed_at:
            return {}
        return {"failover_gateways": float(sum(len(r.failover.answered_at) for r in self.reports))}

    def failover_times(self) -> dict[str, float]:
        """Seconds from an aggregator's end until gateways knew it, and had its customers' calls answered."""
        found: dict[str, float] = {}
        for name, kind in (("failover_known", "left_at"), ("failover_answered", "answered_at")):
            took = [at - self.killed_at for r in self.reports for at in getattr(r.failover, kind)]
            if took:
                found |= {f"{name}_median_s": statistics.median(took), f"{name}_longest_s": max(took)}
        return found

    def aggregator_times(self) -> dict[str, float]:
        """Processor time summed over aggregators, memory as their mean."""
        pairs = [(before.usage, after.usage) for before, after in self.aggregator_pairs()]
        if not pairs:
            return {}
        used = sum(after.cpu_seconds - before.cpu_seconds for before, after in pairs)
        return {
            "aggregator_cpu_share": used / self.seconds,
            "aggregator_memory_mb": statistics.fmean(after.memory_bytes for _, after in pairs) / 2**20,
            **self.failover_times(),
        }

    def list_answer_times(self) -> dict[str, float]:
        found = {}
        for kind, name in (("whole_lists", "whole_list_ms"), ("changes", "change_ms")):
            answers = self.list_answers(kind)
            if answers.number:
                found[name] = 1000.0 * answers.seconds / answers.number
        return found

    def memory(self) -> dict[str, float]:
        """Growth of the processes that host hollow gateways, shared evenly by what they host."""
        gateways = len(self.hollow)
        loaded = sum(report.memory_loaded for report in self.reports)
        before = sum(ready.memory_before for ready in self.ready_reports)
        created = sum(ready.memory_created for ready in self.ready_reports)
        listed = sum(ready.memory_listed for ready in self.ready_reports)
        found = {
            "gateway_memory_mb": (loaded - before) / gateways / 2**20,
            "memory_per_backend_bytes": (listed - created) / gateways / self.plan.size.backends,
        }
        if self.customers() >= MIN_CUSTOMERS_PER_GATEWAY * gateways and not self.restarted_at:
            found["memory_per_customer_bytes"] = (loaded - listed) / self.customers()
        return found

    def list_update_times(self) -> dict[str, float]:
        """From a write's answer to the last hollow gateway told of it, for writes that all were told of."""
        took = []
        for place, write in enumerate(self.writes):
            told = [report.news[place] for report in self.reports]
            heard = [at for at in told if at is not None]
            if len(heard) == len(told):
                took.append(1000.0 * max(max(heard) - write.answered_at, 0.0))
        if not took:
            return {}
        return {"news_last_ms": statistics.median(took), "news_longest_ms": max(took)}

    def added_latency(self) -> dict[str, float]:
        if self.clients is None or not self.clients.added_ms:
            return {}
        histogram = HdrHistogram(1, MAX_ADDED_US, 3)
        for ms in self.clients.added_ms:
            histogram.record_value(max(1, round(1000.0 * ms)))
        return {
            f"added_p{percent}_ms": histogram.get_value_at_percentile(percent) / 1000.0
            for percent in (50, 99)}


def ratio(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


async def watch_memory(children: Children) -> None:
    """Ends with TooMuchMemory once the play's processes use more than their part."""
    most = MAX_MEMORY_SHARE * machine_memory()
    while True:
        try:
            used = children.memory_bytes()
        except ChildFailed:
            used = 0  # its end is told by another
        if used > most:
            raise MemoryLimitExceeded(f"the play uses {used / 2**30:.1f} GB, over half of the machine's memory")
        await asyncio.sleep(MEMORY_POLL_SECONDS)


async def run_play(plan: PlayPlan, folder: pathlib.Path) -> PlayResult:
    """ChildFailed, or its kinds, where a process does not start, ends or does not answer."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)
    async with Children(folder) as children, aiohttp.ClientSession(timeout=timeout) as session:
        run = PlayRun(plan, folder, children, session)
        return await children.run_unless_child_ends(run_within_memory(run, children), plan.timeout_seconds())


async def run_within_memory(run: PlayRun, children: Children) -> PlayResult:
    playing, watching = asyncio.create_task(run.run()), asyncio.create_task(watch_memory(children))
    try:
        await asyncio.wait({playing, watching}, return_when=asyncio.FIRST_COMPLETED)
        if watching.done() and not playing.done():
            await watching
        return await playing
    finally:
        for task in (playing, watching):
            task.cancel()
        await asyncio.wait({playing, watching})
