"""Real gateways and aggregators with leases against a substitute for the counter; all checks are of counts.

One play makes all observations, as each step starts from the state that the previous one leaves: a steady
load, an aggregator killed, the other restarted without its state at the same address, then killed as well.
"""

from __future__ import annotations

import asyncio
import math
import os
import pathlib
import random
import re
import time
from collections import Counter as Tally
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import hiredis
import pytest

from embersill.lab.peers import HOST, Peer, free_port
from embersill.lab.scale.aggregators import (
    Aggregator, AggregatorFigures, read_figures, start_aggregator,
)
from embersill.lab.scale.children import Child, Children
from embersill.lab.scale.clients_process import Backends, QuotaEventLog, RealGatewayClients
from embersill.lab.scale.counter_process import listen
from embersill.lab.scale.deployment import READ, Deployment, GeneratedRequest
from embersill.lab.scale.list_service import write_list, start_list_service
from embersill.lab.scale.messages import ClientsTask
from embersill.lab.scale.plan import PEER_START_TIMEOUT_SECONDS
from embersill.lab.scale.real_gateways import choose_ports, start_gateway, wait_ready
from embersill.lab.scale.records import FleetSize
from embersill.lab.scale.resp import AddCall, CounterModel

GATEWAYS, AGGREGATORS = 3, 2  # started; the deployment has more gateways
CALLS_PER_SECOND, BURST = 12.0, 12.0  # of a gateway: less than its load would make without a budget
SIZE = FleetSize(
    gateways=12, backends=24, customers=90, spread=GATEWAYS, requests_per_second=60.0,
    changes_per_second=0.5, restarted_share=0.0, aggregators=AGGREGATORS,
    gateway_calls_per_second=CALLS_PER_SECOND, gateway_calls_burst=BURST)
STEADY_SECONDS = 4.0
SETTLE_SECONDS = 1.0  # for the last amounts to reach the counter: ten windows of an aggregator
ARRIVE_SECONDS = 0.05  # for calls that an aggregator has written to reach the counter
RESTARTED_SECONDS = 3.0
LOCAL_SECONDS = 3.0
LEASE_SECONDS = 10.0  # of an aggregator in its list
MOVED_WITHIN = LEASE_SECONDS + 5.0  # seconds: also for the list's change and a gateway's backoff
# Customers whose quota slices hold less than a request, so that each request reads the counter's level, by a
# name with a long life. They may enter through all gateways, the others through those that are started.
LOW_RATE_SIZE = replace(SIZE, spread=SIZE.gateways, customers=SIZE.customers + 12, requests_per_second=2.0)
LOW_RATE_CUSTOMERS = range(SIZE.customers, LOW_RATE_SIZE.customers)
LOW_RATE_REQUESTS_PER_SECOND = 25.0  # at a gateway
HOT_RATE = 10.0  # units per second: about the quota of the customer that requests several times as much
SERVICE_SECONDS = 0.01
COUNTED_LATE_SECONDS = 1.5  # demand is reported at the end of a second, an amount is held for a window
EXACT = 1e-6  # relative difference allowed between totals, which are sent with seven digits
SOCKET = re.compile(r"socket:\[(\d+)\]")


class RecordingCounter(CounterModel):
    """The counter, which also records all that was ever added to a name."""

    def __init__(self) -> None:
        super().__init__(time.monotonic, 1, 0.0)
        self.added: Tally[str] = Tally()

    def add(self, call: AddCall) -> float:
        self.added[call.name] += call.amount  # type: ignore[assignment]  # amounts need not be integers
        return super().add(call)

    def total(self, name: str) -> float:
        kept = self.names.get(name)
        return kept.total if kept is not None and kept.expires_at > self.clock() else 0.0


@dataclass(frozen=True, slots=True)
class AnsweredCall:
    """A gateway's call that an aggregator answered with a total or an error."""

    gateway: int
    aggregator: str
    customer: str
    name: str
    amount: float
    at: float  # when it was made
    before: float  # the counter's total then
    total: float | None  # None: rejected
    answered_at: float


@dataclass(slots=True)
class Observations:
    """Observations of the play, by step."""

    calls: list[AnsweredCall] = field(default_factory=list)
    unanswered: int = 0  # calls whose connection closed before their answer
    load_began: float = 0.0
    calls_made: list[list[float]] = field(default_factory=lambda: [[] for _ in range(GATEWAYS)])  # times
    steady_in: list[AggregatorFigures] = field(default_factory=list)
    counter_calls: int = 0  # in the steady step
    steady_calls: int = 0  # answered
    steady_answered: dict[str, float] = field(default_factory=dict)
    steady_added: dict[str, float] = field(default_factory=dict)
    hot_rate: float = 0.0  # units per second of the hot customer's quota
    hot_burst: float = 0.0  # units that it can have saved up
    killed_at: float = 0.0
    moved_after: float = math.inf  # seconds from the kill until the last gateway's calls had moved
    served_meanwhile: list[int] = field(default_factory=list)  # by gateway
    failed_meanwhile: int = 0
    restarted_at: float = 0.0
    restarted: str = ""
    hot_sent_after_restart: int = 0
    hot_seconds_after_restart: float = 0.0
    hot_sent_locally: int = 0
    local_seconds: float = 0.0
    local_failed: int = 0
    local_served: list[int] = field(default_factory=list)
    local_counter_calls: int = 0


class AggregatorRelay(Peer):
    """Forwards gateways' connections to an aggregator, and records calls with their answers."""

    def __init__(self, name: str, target: str, fleet: Fleet) -> None:
        super().__init__()
        self.name, self.target, self.fleet = name, target, fleet

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        gateway = self.fleet.gateway_of(
            writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1])
        host, _, port = self.target.rpartition(":")
        answers, calls = await asyncio.open_connection(host, int(port))
        out: deque[tuple[str, float, float, float]] = deque()
        back = asyncio.create_task(self.pass_answers(answers, writer, out, gateway))
        parser = hiredis.Reader()
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    name = words[1].decode()
                    self.fleet.record_call(gateway)
                    out.append((name, float(words[2]), time.monotonic(), self.fleet.counter.total(name)))
                calls.write(data)
        finally:
            self.fleet.seen.unanswered += len(out)
            back.cancel()
            calls.close()

    async def pass_answers(
        self, answers: asyncio.StreamReader, writer: asyncio.StreamWriter,
        out: deque[tuple[str, float, float, float]], gateway: int,
    ) -> None:
        parser = hiredis.Reader()
        while data := await answers.read(65536):
            parser.feed(data)
            while (reply := parser.gets()) is not False:
                name, amount, at, before = out.popleft()
                assert reply is not None, "an uncertain amount, though the counter answers all calls"
                total = None if isinstance(reply, hiredis.ReplyError) else float(reply)
                self.fleet.seen.calls.append(AnsweredCall(
                    gateway, self.name, name.rpartition(".")[0], name, amount, at, before, total,
                    time.monotonic()))
            writer.write(data)
        writer.transport.abort()  # the aggregator has exited


def process_sockets(process: pathlib.Path) -> set[str]:
    """Inodes of the sockets that a process has open; none where it has exited."""
    try:
        links = [os.readlink(link) for link in (process / "fd").iterdir()]
    except OSError:
        return set()  # it has exited meanwhile
    return {match[1] for link in links if (match := SOCKET.fullmatch(link))}


def session_of(inode: str) -> int:
    """The session of the process that has this socket open. Raises LookupError."""
    for process in pathlib.Path("/proc").iterdir():
        if process.name.isdecimal() and inode in process_sockets(process):
            return os.getsid(int(process.name))
    raise LookupError(f"no process has socket {inode}")


def socket_inode(port: int, peer_port: int) -> str:
    """Inode of the loopback connection from a port to another. Raises LookupError."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ports = tuple(int(address.rpartition(":")[2], 16) for address in fields[1:3])
        if ports == (port, peer_port):
            return fields[9]
    raise LookupError(f"no connection goes out from port {port}")


class Fleet:
    """All roles of the play; the counter, the backends and the clients run in this process."""

    def __init__(self, folder: pathlib.Path, children: Children) -> None:
        self.folder, self.children, self.seen = folder, children, Observations()
        self.deployment = Deployment(SIZE, seed=7)
        self.deployment.first_gateways[:] = 0
        self.counter = RecordingCounter()
        self.counter_port, self.list_port = free_port(), free_port()
        self.aggregator_list = f"{HOST}:{free_port()}"
        self.events = QuotaEventLog()
        self.backends = Backends(self.events)
        self.ports = [choose_ports(number, 1) for number in range(GATEWAYS)]
        self.addresses = {f"aggregator-{n}": f"{HOST}:{free_port()}" for n in range(AGGREGATORS)}
        self.relays: dict[str, AggregatorRelay] = {}
        self.aggregators: dict[str, Aggregator] = {}
        self.gateways: list[Child] = []
        self.clients: list[RealGatewayClients] = []
        self.low_rate_clients: list[RealGatewayClients] = []
        self.low_rate_deployment = Deployment(LOW_RATE_SIZE, seed=7)
        self.low_rate_deployment.first_gateways[:] = 0
        self.rng = random.Random(7)
        self.loading: list[asyncio.Task[None]] = []
        plans = [self.deployment.plan_of(customer) for customer in range(SIZE.customers)]
        self.hot = min(range(SIZE.customers), key=lambda customer: abs(plans[customer].rate - HOT_RATE))
        self.hot_rate = plans[self.hot].rate

    def gateway_of(self, port: int, relay_port: int) -> int:
        """Which gateway's connection comes from this port."""
        inode = socket_inode(port, relay_port)
        for number, child in enumerate(self.gateways):
            if inode in process_sockets(pathlib.Path("/proc") / str(child.pid)):
                return number
        session = session_of(inode)  # where the gateway is a child of the process that was started
        return [child.pid for child in self.gateways].index(session)

    def record_call(self, gateway: int) -> None:
        self.seen.calls_made[gateway].append(time.monotonic())

    async def start(self) -> None:
        server = await listen(self.counter, self.counter_port)
        assert server.is_serving()
        await self.backends.start()
        write_list(self.folder / "list", SIZE.backends, self.backends.address)
        backend_list = await start_list_service(self.children, self.folder / "list", self.list_port, GATEWAYS)
        aggregator_list = await start_list_service(
            self.children, self.folder / "aggregators", int(self.aggregator_list.rpartition(":")[2]),
            GATEWAYS, name="aggregators")
        for child in (backend_list, aggregator_list):
            await child.wait_for_log("listening on", PEER_START_TIMEOUT_SECONDS)
        for name, address in self.addresses.items():
            self.relays[name] = AggregatorRelay(name, address, self)
            await self.relays[name].start()
        for name in self.addresses:
            await self.start_aggregator(name)
        for aggregator in self.aggregators.values():
            await aggregator.child.wait_for_log("registered as", PEER_START_TIMEOUT_SECONDS)
        await self.start_gateways()

    async def start_aggregator(self, name: str) -> None:
        """Starts an aggregator that is listed at its relay's address."""
        self.aggregators[name] = await start_aggregator(
            self.children, self.deployment, name, f"{HOST}:{self.counter_port}", self.aggregator_list,
            self.addresses[name], self.relays[name].address)

    async def start_gateways(self) -> None:
        task = ClientsTask(
            SIZE, 7, 0, [f"{HOST}:{self.list_port}"], f"{HOST}:{self.counter_port}", self.ports)
        self.clients = [RealGatewayClients(task, self.deployment, ports, self.events) for ports in self.ports]
        self.low_rate_clients = [
            RealGatewayClients(task, self.low_rate_deployment, ports, self.events) for ports in self.ports]
        for clients, ports in zip(self.clients, self.ports, strict=True):
            await clients.start()
            self.gateways.append(await start_gateway(
                self.children, self.folder, self.deployment, ports, ports.number, self.aggregator_list))
        for child, ports in zip(self.gateways, self.ports, strict=True):
            await wait_ready(child, ports, PEER_START_TIMEOUT_SECONDS)

    def load(self, on: bool, hot: bool = False) -> None:
        for clients in self.clients:
            if on:
                clients.source.start()
            else:
                clients.source.stop()
        for task in self.loading:
            task.cancel()
        self.loading = [asyncio.create_task(self.send_low_rate_requests())] if on else []
        if hot:
            self.loading.append(asyncio.create_task(self.send_hot_requests()))

    async def send_hot_requests(self) -> None:
        """Requests at each gateway what the quota allows at all gateways together."""
        while True:
            for clients in self.clients:
                clients.on_arrival(GeneratedRequest(self.hot, READ, SERVICE_SECONDS))
            await asyncio.sleep(1.0 / self.hot_rate)

    async def send_low_rate_requests(self) -> None:
        while True:
            for clients in self.low_rate_clients:
                clients.on_arrival(
                    GeneratedRequest(self.rng.choice(LOW_RATE_CUSTOMERS), READ, SERVICE_SECONDS))
            await asyncio.sleep(1.0 / LOW_RATE_REQUESTS_PER_SECOND)

    async def wait_for_calls(self) -> None:
        """Waits until gateways have reported all units, and the counter has them."""
        answered = -1
        while answered < len(self.seen.calls):
            answered = len(self.seen.calls)
            await asyncio.sleep(SETTLE_SECONDS)

    async def figures_while_idle(self) -> list[AggregatorFigures]:
        """The aggregators' figures, read while they make no call: they refresh readings at any time."""
        while True:
            calls = self.counter.calls
            figures = [await read_figures(aggregator) for aggregator in self.aggregators.values()]
            await asyncio.sleep(ARRIVE_SECONDS)
            if calls == self.counter.calls:
                return figures

    def hot_sent(self) -> int:
        events = self.events.events
        return sum(
            sent and customer == self.hot
            for customer, sent in zip(events.customers, events.sent, strict=True))

    async def kill(self, name: str) -> None:
        await self.children.kill(self.aggregators.pop(name).child)

    def served(self) -> list[int]:
        return [clients.answer_counts.served for clients in self.clients]

    def failed(self) -> int:
        return sum(clients.answer_counts.failed for clients in self.clients)

    async def until(self, done: Callable[[], bool], within: float) -> None:
        """Waits until it is done or the time is over; the tests check which."""
        end = time.monotonic() + within
        while not done() and time.monotonic() < end:
            await asyncio.sleep(0.05)


async def steady(fleet: Fleet) -> None:
    seen = fleet.seen
    seen.load_began = time.monotonic()
    fleet.load(True)
    await asyncio.sleep(STEADY_SECONDS)
    fleet.load(False)
    await fleet.wait_for_calls()
    seen.steady_in = await fleet.figures_while_idle()
    seen.counter_calls, seen.steady_calls = fleet.counter.calls, len(seen.calls)
    answered: defaultdict[str, float] = defaultdict(float)
    for call in seen.calls:
        answered[call.name] += call.amount if call.total is not None else 0.0
    seen.steady_answered = dict(answered)
    seen.steady_added = {n: a for n, a in fleet.counter.added.items() if not n.startswith("aggregator.")}


async def kill_one(fleet: Fleet) -> None:
    """Kills one, and waits until the other answers each gateway for a customer of the killed one."""
    seen = fleet.seen
    before = {call.customer for call in seen.calls if call.aggregator == "aggregator-0"}
    served, failed = fleet.served(), fleet.failed()
    fleet.load(True, hot=True)
    await asyncio.sleep(SETTLE_SECONDS)
    seen.killed_at = time.monotonic()
    await fleet.kill("aggregator-0")
    calls_before = len(seen.calls)

    def moved() -> bool:
        answered = {call.gateway for call in seen.calls[calls_before:]
                    if call.customer in before and call.total is not None
                    and call.aggregator == "aggregator-1"}
        return len(answered) == GATEWAYS

    await fleet.until(moved, MOVED_WITHIN)
    if moved():
        seen.moved_after = time.monotonic() - seen.killed_at
    seen.served_meanwhile = [after - b for after, b in zip(fleet.served(), served, strict=True)]
    seen.failed_meanwhile = fleet.failed() - failed


async def restart_without_state(fleet: Fleet) -> None:
    """Kills the remaining one, and restarts it at the same address within its lease in the list."""
    seen = fleet.seen
    await fleet.kill("aggregator-1")
    seen.restarted, seen.restarted_at = "aggregator-1", time.monotonic()
    await fleet.start_aggregator("aggregator-1")
    await fleet.aggregators["aggregator-1"].child.wait_for_log("registered as", PEER_START_TIMEOUT_SECONDS)
    began, sent = time.monotonic(), fleet.hot_sent()
    await asyncio.sleep(RESTARTED_SECONDS)
    seen.hot_sent_after_restart = fleet.hot_sent() - sent
    seen.hot_seconds_after_restart = time.monotonic() - began


async def kill_both(fleet: Fleet) -> None:
    seen = fleet.seen
    await fleet.kill("aggregator-1")
    await asyncio.sleep(SETTLE_SECONDS)  # until readings of the counter are no longer valid
    sent, began = fleet.hot_sent(), time.monotonic()
    served, failed, counted = fleet.served(), fleet.failed(), fleet.counter.calls
    await asyncio.sleep(LOCAL_SECONDS)
    seen.local_seconds = time.monotonic() - began
    seen.hot_sent_locally = fleet.hot_sent() - sent
    seen.local_served = [after - before for after, before in zip(fleet.served(), served, strict=True)]
    seen.local_failed = fleet.failed() - failed
    seen.local_counter_calls = fleet.counter.calls - counted


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> Observations:
    async def play() -> Observations:
        folder = tmp_path_factory.mktemp("aggregated")
        async with Children(folder) as children:
            fleet = Fleet(folder, children)
            await fleet.start()
            seen = fleet.seen
            await steady(fleet)
            plan = fleet.deployment.plan_of(fleet.hot)
            seen.hot_rate, seen.hot_burst = plan.rate, plan.burst
            for part in (kill_one, restart_without_state, kill_both):
                await part(fleet)
            fleet.load(False)
            return seen

    async def bounded() -> Observations:
        async with asyncio.timeout(90.0):
            return await play()

    return asyncio.run(bounded())


def test_calls_reach_the_counter_summed(seen: Observations) -> None:
    calls_in = sum(figures.calls for figures in seen.steady_in)
    forwarded = sum(figures.forwards for figures in seen.steady_in)
    assert calls_in == seen.steady_calls
    assert 0 < forwarded < calls_in
    assert seen.counter_calls == sum(figures.calls_out for figures in seen.steady_in)


def test_sums_at_the_counter_equal_the_units_answered(seen: Observations) -> None:
    assert sum(seen.steady_answered.values()) > 0
    assert seen.steady_added == pytest.approx(seen.steady_answered, rel=EXACT, abs=EXACT)


@pytest.mark.parametrize("gateway", range(GATEWAYS))
def test_each_gateway_stays_within_its_call_budget(seen: Observations, gateway: int) -> None:
    made = seen.calls_made[gateway]
    assert len(made) > 0.5 * CALLS_PER_SECOND * STEADY_SECONDS
    for number, at in enumerate(made, start=1):
        assert number <= BURST + CALLS_PER_SECOND * (at - seen.load_began)


def test_a_killed_aggregators_customers_move_within_its_lease(seen: Observations) -> None:
    assert seen.moved_after <= MOVED_WITHIN


def test_gateways_continue_serving_after_an_aggregator_is_killed(seen: Observations) -> None:
    assert all(served > 0 for served in seen.served_meanwhile)
    assert seen.failed_meanwhile == 0


def test_totals_of_a_restarted_aggregator_continue_from_the_counters(seen: Observations) -> None:
    """Guards against totals that start from 0 again, so that units beyond the quota are admitted.

    A total may be lower than the counter's only by units that were returned and not forwarded yet. Calls of
    two gateways arrive by two connections, possibly in another order. So units returned by calls made before
    the answer are allowed for.
    """
    calls = [call for call in seen.calls if call.at >= seen.restarted_at and call.total is not None]
    known = 0
    for call in calls:
        assert call.total is not None
        known += call.before > 0
        given_back = sum(
            min(other.amount, 0.0)
            for other in calls
            if other.name == call.name and other.at <= call.answered_at)
        least = call.before + max(call.amount, 0.0) + given_back
        assert call.total >= least - EXACT * abs(call.before) - EXACT, call
    assert known


def test_an_aggregator_restart_admits_no_burst_of_units(seen: Observations) -> None:
    """Units that are not counted yet are at most those requested in the time until they are."""
    asked = GATEWAYS * seen.hot_rate
    most = seen.hot_rate * seen.hot_seconds_after_restart + asked * COUNTED_LATE_SECONDS
    assert 0 < seen.hot_sent_after_restart <= most


def test_without_aggregators_gateways_go_by_even_slices(seen: Observations) -> None:
    assert all(served > 0 for served in seen.local_served)
    assert seen.local_failed == 0
    quota = seen.hot_rate * seen.local_seconds
    assert 0.5 * quota < seen.hot_sent_locally <= quota + seen.hot_burst  # slices of the burst add up to it


def test_without_aggregators_gateways_do_not_call_the_counter(seen: Observations) -> None:
    assert seen.local_counter_calls == 0
