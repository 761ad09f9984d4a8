"""Runs one play, which is one measurement of one fleet size on an axis.

Starts the processes of all roles, loads and measures them, and returns a Play record. Times are seconds and
moments are on the monotonic clock, unless said otherwise.
"""

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
MIN_LIST_UPDATE_WAIT_SECONDS = 0.2  # for the list service to start sending the last changes
WATCHERS_POLL_SECONDS = 0.1
REPLICATION_POLL_SECONDS = 0.05
# With fewer, the memory of customers does not stand out from the other growth of a gateway.
MIN_CUSTOMERS_PER_GATEWAY = 100
RESTART_AT_SHARE = 0.25  # of the measured time, after which gateways restart
KILL_AT_SHARE = 0.1  # of the measured time, after which aggregators are killed
MAX_MEMORY_SHARE = 0.5  # of the machine's memory, for all processes of a play
MEMORY_POLL_SECONDS = 0.5
MICROSECONDS = 1e6  # per second
MAX_ADDED_US = 60_000_000


class MemoryLimitExceeded(ChildFailed):
    """The play's processes use more than MAX_MEMORY_SHARE of the machine's memory."""


@dataclass(frozen=True, slots=True)
class PlayResult:
    """The record of a play, and the counts of each gateway that it was computed from."""

    play: Play
    hollow: list[GatewayCounts]
    real: list[GatewayCounts]
    given_up: dict[str, int]  # requests that hollow gateways refused or failed themselves, by reason


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
        """The aggregators that the play has not killed."""
        return [aggregator for aggregator in self.aggregators if not aggregator.child.killed]

    def commanded(self) -> list[Child]:
        """The processes that receive commands during the play."""
        return [*self.workers, *([self.clients] if self.clients else [])]


@dataclass(frozen=True, slots=True)
class AggregatorSnapshot:
    """Resource usage and counts of one aggregator at one moment."""

    usage: Usage
    figures: AggregatorFigures


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Resource usage and counts of all peers of the gateways at one moment."""

    at: float  # monotonic
    leader: Usage
    follower: Usage
    counter: Usage
    aggregators: dict[str, AggregatorSnapshot]  # by name
    leader_figures: ServiceFigures
    follower_figures: ServiceFigures
    counter_figures: CounterFigures


class PlayRun:
    """One play from the start of its processes to its record."""

    def __init__(
        self, plan: PlayPlan, folder: pathlib.Path, children: Children, session: aiohttp.ClientSession
    ) -> None:
        self.plan, self.size, self.folder, self.children = plan, plan.size, folder, children
        self.deployment = Deployment(plan.size, plan.seed)
        self.rng = random.Random(f"{plan.seed} play")
        self.roles = Roles()
        # evenly spaced, so that real gateways share as few customers as possible
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
        """Runs all steps of the play. Raises ChildFailed, or ChildNotStarted while processes start."""
        await self.start_peers()
        await self.start_gateways()
        self.children.starting = False
        await self.send_to_all(BeginLoad())
        await asyncio.sleep(self.plan.warm_up_seconds)
        before = await self.snapshot()
        await self.send_to_all(BeginMeasuring())
        started_at = time.monotonic()
        await self.run_measured_time()
        after = await self.snapshot()
        await self.send_to_all(EndMeasuring())
        await self.wait_for_watchers()
        return await self.collect(before, after, started_at)

    # starting the processes

    async def start_peers(self) -> None:
        """Starts the counter, the list service and the aggregators, and waits until they are ready."""
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
        """Starts the aggregators, and the list service in which only they register."""
        roles, port = self.roles, int(self.aggregator_list.rpartition(":")[2])
        roles.aggregator_list = await start_list_service(
            self.children, self.folder / "aggregators", port, self.size.gateways, name="aggregator-list")
        await roles.aggregator_list.wait_for_log("listening on", PEER_START_TIMEOUT_SECONDS)
        roles.aggregators = await start_aggregators(
            self.children, self.deployment, self.counter_address, self.aggregator_list)

    async def start_gateway_hosts(self) -> None:
        """Starts the processes that host gateways and clients.

        They load their modules while the peers start, and then wait for their tasks.
        """
        for index in range(min(self.plan.workers, len(self.hollow_gateways))):
            self.roles.workers.append(
                await self.children.start_module(f"worker-{index}", "embersill.lab.scale.worker"))
        if self.ports:
            self.roles.clients = await self.children.start_module(
                "clients", "embersill.lab.scale.clients_process")

    async def wait_listening(self, child: Child) -> None:
        """Waits until a process accepts connections. Raises ChildNotStarted."""
        try:
            await child.receive(Listening, PEER_START_TIMEOUT_SECONDS)
        except ChildFailed as error:
            raise ChildNotStarted(f"{child.name} did not start: {error}") from None

    async def wait_for_replication(self) -> None:
        """Waits until the follower of the list service has the leader's list."""
        generation = (await self.writer.status(self.leader_address)).generation
        while (await self.writer.status(self.follower_address)).generation < generation:
            await asyncio.sleep(REPLICATION_POLL_SECONDS)

    async def start_gateways(self) -> None:
        """Starts hollow gateways at a bounded rate, as each requests the full list; real ones meanwhile."""
        aggregator_lists = [self.aggregator_list] if self.aggregator_list else []
        workers = len(self.roles.workers)
        for index, child in enumerate(self.roles.workers):
            assigned = self.hollow_gateways[index::workers]
            child.send(WorkerTask(
                self.size, self.plan.seed, assigned, [self.leader_address, self.follower_address],
                self.counter_address, aggregator_lists, STARTS_PER_SECOND / workers))
        if self.roles.clients is not None:
            await self.start_real_gateways(self.roles.clients, self.counter_address)
        timeout = PEER_START_TIMEOUT_SECONDS + 3 * self.size.gateways / STARTS_PER_SECOND
        for worker in self.roles.workers:
            try:
                self.ready_reports.append(await worker.receive(GatewaysReady, timeout))
            except ChildFailed as error:
                raise ChildNotStarted(f"{worker.name} did not get ready: {error}") from None

    async def start_real_gateways(self, clients: Child, counter: str) -> None:
        """Starts the clients and relays of the real gateways, then these, and waits until they are ready."""
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

    # measuring

    async def send_to_all(self, command: Message) -> None:
        """Sends a command to all commanded processes, and waits until each has carried it out."""
        commanded = self.roles.commanded()
        for child in commanded:
            child.send(command)
        for child in commanded:
            await child.receive(Done, ANSWER_TIMEOUT_SECONDS)

    async def run_measured_time(self) -> None:
        """Writes list changes for the measured time; restarts and kills what the size says."""
        plan = self.plan
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.writer.write_for(plan.seconds, self.size.changes_per_second))
            tasks.create_task(asyncio.sleep(plan.seconds))
            if self.size.restarted_share > 0:
                tasks.create_task(self.restart_gateways())
            if self.size.aggregators_killed:
                tasks.create_task(self.kill_aggregators())

    async def kill_aggregators(self) -> None:
        """Kills aggregators chosen at random at the same time.

        The workers measure the failover of the last one: when calls for its customers are answered again.
        """
        await asyncio.sleep(KILL_AT_SHARE * self.plan.seconds)
        chosen = self.rng.sample(self.roles.aggregators, self.size.aggregators_killed)
        self.killed_at = time.monotonic()
        for aggregator in chosen:
            await self.children.kill(aggregator.child)
        for worker in self.roles.workers:
            worker.send(WatchFailover(chosen[-1].name))
        for worker in self.roles.workers:
            await worker.receive(Done, ANSWER_TIMEOUT_SECONDS)

    async def restart_gateways(self) -> None:
        """Restarts a share of the hollow gateways, chosen at random for each play."""
        await asyncio.sleep(RESTART_AT_SHARE * self.plan.seconds)
        count = max(1, round(self.size.restarted_share * len(self.hollow_gateways)))
        chosen = self.rng.sample(self.hollow_gateways, count)
        self.restarted_at = time.monotonic()
        for worker in self.roles.workers:
            worker.send(Restart(chosen))
        for worker in self.roles.workers:
            await worker.receive(Done, ANSWER_TIMEOUT_SECONDS)

    async def wait_for_watchers(self) -> None:
        """Waits until all gateways watch the list again, at most as long as a restart may take."""
        timeout = RESTART_TIMEOUT_SECONDS if self.size.restarted_share > 0 else LIST_UPDATE_TIMEOUT_SECONDS
        until = time.monotonic() + timeout
        await asyncio.sleep(MIN_LIST_UPDATE_WAIT_SECONDS)
        while time.monotonic() < until:
            if (await self.writer.status(self.leader_address)).watchers >= self.size.gateways:
                return
            await asyncio.sleep(WATCHERS_POLL_SECONDS)

    async def snapshot(self) -> Snapshot:
        """Reads the usage and counts of all peers."""
        leader, follower, counter = self.roles.leader, self.roles.follower, self.roles.counter
        assert leader is not None and follower is not None and counter is not None
        counter_figures = await counter.ask(ReadFigures(), CounterFigures, ANSWER_TIMEOUT_SECONDS)
        return Snapshot(
            time.monotonic(), leader.usage(), follower.usage(), counter.usage(),
            await self.aggregator_snapshots(),
            await self.writer.status(self.leader_address), await self.writer.status(self.follower_address),
            counter_figures)

    async def aggregator_snapshots(self) -> dict[str, AggregatorSnapshot]:
        return {
            aggregator.name: AggregatorSnapshot(aggregator.child.usage(), await read_figures(aggregator))
            for aggregator in self.roles.live_aggregators()}

    # recording

    async def collect(self, before: Snapshot, after: Snapshot, started_at: float) -> PlayResult:
        """Collects the reports of all processes and computes the record from them."""
        writes = [write for write in self.writer.writes if write.answered_at >= started_at]
        command = Collect([write.generation for write in writes])
        reports = [await w.ask(command, WorkerReport, ANSWER_TIMEOUT_SECONDS) for w in self.roles.workers]
        clients = None
        if self.roles.clients is not None:
            clients = await self.roles.clients.ask(command, ClientsReport, ANSWER_TIMEOUT_SECONDS)
        figures = PlayFigures(
            self.plan, self.deployment, self.ready_reports, reports, clients, before, after, started_at,
            writes, self.restarted_at, self.killed_at)
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
    """Computes the measures of the record from the reports of the processes."""

    plan: PlayPlan
    deployment: Deployment
    ready_reports: list[GatewaysReady]
    reports: list[WorkerReport]
    clients: ClientsReport | None
    before: Snapshot
    after: Snapshot
    started_at: float  # of the measured time
    writes: Sequence[Write]
    restarted_at: float  # 0 where no gateway was restarted
    killed_at: float  # 0 where no aggregator was killed

    @property
    def hollow(self) -> list[GatewayCounts]:
        """Counts of each hollow gateway in the measured time."""
        return [counts for report in self.reports for counts in report.counts]

    @property
    def seconds(self) -> float:
        """Time between the snapshots of the peers."""
        return self.after.at - self.before.at

    def per_gateway(self, name: str) -> float:
        """Mean of a count per second and hollow gateway."""
        return sum_figure(self.hollow, name) / self.hollow_seconds

    @property
    def hollow_seconds(self) -> float:
        """Sum of the measured times of all hollow gateways."""
        return sum(report.seconds * len(report.counts) for report in self.reports)

    def list_bytes_per_second(self, before: ServiceFigures, after: ServiceFigures) -> float:
        """Bytes per second that one replica of the list service sent."""
        sent = after.figures.get("bytes told", 0) - before.figures.get("bytes told", 0)
        return sent / self.seconds

    def list_answers(self, kind: str) -> ListAnswers:
        """Answers of the list service of one kind, a field of WorkerReport, summed over all workers."""
        found: list[ListAnswers] = [getattr(report, kind) for report in self.reports]
        return ListAnswers(
            sum(a.number for a in found), sum(a.bytes for a in found), sum(a.seconds for a in found))

    def customers(self) -> int:
        """Customers that hollow gateways store state for, counted at each gateway."""
        return sum(sum(report.customers) for report in self.reports)

    def counts(self) -> dict[str, float]:
        """Measures that do not depend on the speed of the machine, by their names in the record."""
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
            "list_bytes_out_follower": self.list_bytes_per_second(
                before.follower_figures, after.follower_figures),
            "customers_per_gateway": self.customers() / len(self.hollow),
            "whole_lists_per_start": self.list_answers("whole_lists").number / starts,
        }
        found |= self.list_answer_bytes() | self.quota_shares() | self.aggregator_counts()
        if self.restarted_at:
            found |= self.restart_counts()
        return found

    def list_answer_bytes(self) -> dict[str, float]:
        """Mean bytes of a full list and of a change, where there were any."""
        found = {}
        for kind, name in (("whole_lists", "whole_list_bytes"), ("changes", "change_bytes")):
            answers = self.list_answers(kind)
            if answers.number:
                found[name] = answers.bytes / answers.number
        return found

    def quota_shares(self) -> dict[str, float]:
        """Shares of refused and over-quota requests in the fleet, real gateways included."""
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
        """Calls and bytes that restarted gateways needed until they had their list."""
        restarts = [report.restart for report in self.reports]
        listed = sum(r.gateways - r.untold for r in restarts)
        found = {"restart_list_calls_fleet": float(sum(r.list_calls for r in restarts))}
        if listed:
            found["restart_bytes_per_gateway"] = sum(r.list_bytes_in for r in restarts) / listed
        return found

    def times(self) -> dict[str, float]:
        """Measures of time and memory, which depend on the machine, by their names in the record."""
        module = sum(report.module_seconds for report in self.reports)
        process = sum(report.process_seconds for report in self.reports)
        requests = sum_figure(self.hollow, "requests")
        found = {
            "module_cpu_share": module / self.hollow_seconds,
            "control_cpu_share": (process - module) / self.hollow_seconds,
            **self.peer_times(), **self.list_answer_times(), **self.memory(), **self.list_update_times(),
            **self.added_latency(),
        }
        if requests:
            found["module_us_per_request"] = MICROSECONDS * module / requests
        if self.restarted_at and not any(report.restart.untold for report in self.reports):
            last = max(report.restart.last_told_at for report in self.reports)
            found["restart_all_told_s"] = last - self.restarted_at
        return found

    def peer_times(self) -> dict[str, float]:
        """Processor time and memory of the peers and the aggregators."""
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
        """Snapshots before and after, of the aggregators that still run at the end."""
        return [(self.before.aggregators[name], after) for name, after in self.after.aggregators.items()]

    def aggregator_counts(self) -> dict[str, float]:
        """Calls per second and the share of rejected calls, summed over aggregators."""
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
        """Gateways that had calls for customers of the killed aggregator answered again."""
        if not self.killed_at:
            return {}
        return {"failover_gateways": float(sum(len(r.failover.answered_at) for r in self.reports))}

    def failover_times(self) -> dict[str, float]:
        """Seconds from an aggregator's end until gateways removed it, and until its calls were answered.

        The second element of each pair is a field of FailoverFigures.
        """
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
        """Mean processor time of a gateway for a full list and for a change, in milliseconds."""
        found = {}
        for kind, name in (("whole_lists", "whole_list_ms"), ("changes", "change_ms")):
            answers = self.list_answers(kind)
            if answers.number:
                found[name] = 1000.0 * answers.seconds / answers.number
        return found

    def memory(self) -> dict[str, float]:
        """Memory growth of the worker processes, divided evenly by gateways, backends and customers there."""
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
        """Milliseconds from a write's answer until the last hollow gateway received the change.

        Writes that some gateway did not receive are left out.
        """
        took = []
        for index, write in enumerate(self.writes):
            last_times = [report.news[index] for report in self.reports]
            received = [at for at in last_times if at is not None]
            if len(received) == len(last_times):
                took.append(1000.0 * max(max(received) - write.answered_at, 0.0))
        if not took:
            return {}
        return {"news_last_ms": statistics.median(took), "news_longest_ms": max(took)}

    def added_latency(self) -> dict[str, float]:
        """Percentiles of the latency that real gateways add, in milliseconds."""
        if self.clients is None or not self.clients.added_ms:
            return {}
        histogram = HdrHistogram(1, MAX_ADDED_US, 3)
        for ms in self.clients.added_ms:
            histogram.record_value(max(1, round(1000.0 * ms)))
        return {
            f"added_p{percent}_ms": histogram.get_value_at_percentile(percent) / 1000.0
            for percent in (50, 99)}


def ratio(part: float, whole: float) -> float:
    """part / whole; 0 where the whole is 0."""
    return part / whole if whole else 0.0


async def watch_memory(children: Children) -> None:
    """Raises MemoryLimitExceeded once the play's processes use more than MAX_MEMORY_SHARE."""
    max_bytes = MAX_MEMORY_SHARE * machine_memory()
    while True:
        try:
            used = children.memory_bytes()
        except ChildFailed:
            used = 0  # run_unless_child_ends reports the end of a process
        if used > max_bytes:
            raise MemoryLimitExceeded(
                f"the play uses {used / 2**30:.1f} GB, over half of the machine's memory")
        await asyncio.sleep(MEMORY_POLL_SECONDS)


async def run_play(plan: PlayPlan, folder: pathlib.Path) -> PlayResult:
    """Runs a play with its logs and data in a folder.

    Raises ChildFailed or a subclass where a process does not start, ends early, does not answer or where
    the processes use too much memory.
    """
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)
    async with Children(folder) as children, aiohttp.ClientSession(timeout=timeout) as session:
        run = PlayRun(plan, folder, children, session)
        return await children.run_unless_child_ends(run_within_memory(run, children), plan.timeout_seconds())


async def run_within_memory(run: PlayRun, children: Children) -> PlayResult:
    """Runs the play, and cancels it where it uses too much memory. Raises MemoryLimitExceeded."""
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
