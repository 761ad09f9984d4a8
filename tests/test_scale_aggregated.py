"""Real gateways, aggregators with leases and the counter's stand-in, joined. Verdicts rest on counts.

One play gives all observations, as its parts follow from one another: a steady time, an aggregator killed,
another restarted empty at its address, and both gone.
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

GATEWAYS, AGGREGATORS = 3, 2  # that are started
CALLS_PER_SECOND, BURST = 12.0, 12.0  # of a gateway: below what its load would make without a bound
SIZE = FleetSize(
    gateways=12, backends=24, customers=90, spread=GATEWAYS, requests_per_second=60.0,
    changes_per_second=0.5, restarted_share=0.0, aggregators=AGGREGATORS,
    gateway_calls_per_second=CALLS_PER_SECOND, gateway_calls_burst=BURST)
STEADY_SECONDS = 4.0
SETTLE_SECONDS = 1.0  # for the last amounts to reach the counter: a window is a tenth of it
ARRIVE_SECONDS = 0.05  # for what an aggregator has written to reach the counter
RESTARTED_SECONDS = 3.0
ALONE_SECONDS = 3.0
LEASE_SECONDS = 10.0  # of an aggregator in its list
MOVED_WITHIN = LEASE_SECONDS + 5.0  # seconds: the lease, its expiry noticed, the news told, a gateway's pause
# customers whose parts of a quota hold no request: each request asks the counter, by a name that lives
# long. They may enter through all gateways, the others through those that are started
THIN_SIZE = replace(SIZE, spread=SIZE.gateways, customers=SIZE.customers + 12, requests_per_second=2.0)
THIN_CUSTOMERS = range(SIZE.customers, THIN_SIZE.customers)
THIN_REQUESTS_PER_SECOND = 25.0  # at a gateway
HOT_RATE = 10.0  # units a second, near which the quota is of the customer that asks for several times as much
SERVICE_SECONDS = 0.01
COUNTED_LATE_SECONDS = 1.5  # a second's demand is told at its end, an amount is held for a window
EXACT = 1e-6  # part by which totals may differ: they are told to seven digits
SOCKET = re.compile(r"socket:\[(\d+)\]")


class RecordingCounter(CounterModel):
    """The counter, which also keeps what was ever added to a name."""

    def __init__(self) -> None:
        super().__init__(time.monotonic, 1, 0.0)
        self.added: Tally[str] = Tally()

    def add(self, call: AddCall) -> float:
        self.added[call.name] += call.amount  # type: ignore[assignment]  # amounts need not be whole
        return super().add(call)

    def total(self, name: str) -> float:
        kept = self.names.get(name)
        return kept.total if kept is not None and kept.expires_at > self.clock() else 0.0


@dataclass(frozen=True, slots=True)
class ToldCall:
    """A gateway's call that an aggregator answered by a total, or by an error."""

    gateway: int
    aggregator: str
    customer: str
    name: str
    amount: float
    at: float  # when it was made
    before: float  # the counter's total then
    total: float | None  # None: turned away
    answered_at: float


@dataclass(slots=True)
class Observations:
    """What was seen in the play, by part."""

    calls: list[ToldCall] = field(default_factory=list)
    unanswered: int = 0  # calls whose connection ended before their answer
    load_began: float = 0.0
    calls_made: list[list[float]] = field(default_factory=lambda: [[] for _ in range(GATEWAYS)])  # when
    steady_in: list[AggregatorFigures] = field(default_factory=list)
    counter_calls: int = 0  # in the steady time
    steady_calls: int = 0  # that were answered
    steady_told: dict[str, float] = field(default_factory=dict)
    steady_added: dict[str, float] = field(default_factory=dict)
    hot_rate: float = 0.0  # units a second that the hot customer's quota allows
    hot_burst: float = 0.0  # units that it may have saved up
    killed_at: float = 0.0
    moved_after: float = math.inf  # seconds from the kill until the last gateway's calls had moved
    served_meanwhile: list[int] = field(default_factory=list)  # by gateway
    failed_meanwhile: int = 0
    restarted_at: float = 0.0
    restarted: str = ""
    hot_sent_after_restart: int = 0
    hot_seconds_after_restart: float = 0.0
    hot_sent_alone: int = 0
    alone_seconds: float = 0.0
    alone_failed: int = 0
    alone_served: list[int] = field(default_factory=list)
    counter_calls_alone: int = 0


class AggregatorRelay(Peer):
    """Passes gateways' connections on to an aggregator, and notes calls with their answers."""

    def __init__(self, name: str, target: str, bed: Bed) -> None:
        super().__init__()
        self.name, self.target, self.bed = name, target, bed

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        gateway = self.bed.gateway_of(
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
                    self.bed.note_call(gateway)
                    out.append((name, float(words[2]), time.monotonic(), self.bed.counter.total(name)))
                calls.write(data)
        finally:
            self.bed.seen.unanswered += len(out)
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
                assert reply is not None, "an amount in doubt, though the counter answers all calls"
                total = None if isinstance(reply, hiredis.ReplyError) else float(reply)
                self.bed.seen.calls.append(ToldCall(
                    gateway, self.name, name.rpartition(".")[0], name, amount, at, before, total,
                    time.monotonic()))
            writer.write(data)
        writer.transport.abort()  # the aggregator is gone


def process_sockets(process: pathlib.Path) -> set[str]:
    """Inodes of the sockets that a process has open."""
    try:
        links = [os.readlink(link) for link in (process / "fd").iterdir()]
    except OSError:
        return set()  # it has ended meanwhile
    return {match[1] for link in links if (match := SOCKET.fullmatch(link))}


def session_of(inode: str) -> int:
    """The session of the process that has this socket open."""
    for process in pathlib.Path("/proc").iterdir():
        if process.name.isdecimal() and inode in process_sockets(process):
            return os.getsid(int(process.name))
    raise LookupError(f"no process has socket {inode}")


def socket_inode(port: int, peer_port: int) -> str:
    """Of the connection on loopback that goes out from a port to another."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ports = tuple(int(address.rpartition(":")[2], 16) for address in fields[1:3])
        if ports == (port, peer_port):
            return fields[9]
    raise LookupError(f"no connection goes out from port {port}")


class Bed:
    """The roles of the play: the counter, the backends and the clients are in this process."""

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
        self.thin_clients: list[RealGatewayClients] = []
        self.thin_deployment = Deployment(THIN_SIZE, seed=7)
        self.thin_deployment.first_gateways[:] = 0
        self.dice = random.Random(7)
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
        session = session_of(inode)  # where the gateway is not the process that was started itself
        return [child.pid for child in self.gateways].index(session)

    def note_call(self, gateway: int) -> None:
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
        for made in self.aggregators.values():
            await made.child.wait_for_log("registered as", PEER_START_TIMEOUT_SECONDS)
        await self.start_gateways()

    async def start_aggregator(self, name: str) -> None:
        """It is listed at its relay's address."""
        self.aggregators[name] = await start_aggregator(
            self.children, self.deployment, name, f"{HOST}:{self.counter_port}", self.aggregator_list,
            self.addresses[name], self.relays[name].address)

    async def start_gateways(self) -> None:
        task = ClientsTask(
            SIZE, 7, 0, [f"{HOST}:{self.list_port}"], f"{HOST}:{self.counter_port}", self.ports)
        self.clients = [RealGatewayClients(task, self.deployment, ports, self.events) for ports in self.ports]
        self.thin_clients = [
            RealGatewayClients(task, self.thin_deployment, ports, self.events) for ports in self.ports]
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
        self.loading = [asyncio.create_task(self.ask_for_thin_customers())] if on else []
        if hot:
            self.loading.append(asyncio.create_task(self.ask_for_the_hot_customer()))

    async def ask_for_the_hot_customer(self) -> None:
        """At each gateway as much as the quota allows at all of them."""
        while True:
            for clients in self.clients:
                clients.on_arrival(GeneratedRequest(self.hot, READ, SERVICE_SECONDS))
            await asyncio.sleep(1.0 / self.hot_rate)

    async def ask_for_thin_customers(self) -> None:
        while True:
            for clients in self.thin_clients:
                clients.on_arrival(GeneratedRequest(self.dice.choice(THIN_CUSTOMERS), READ, SERVICE_SECONDS))
            await asyncio.sleep(1.0 / THIN_REQUESTS_PER_SECOND)

    async def calls_end(self) -> None:
        """Waits until gateways have told what they have to tell, and the counter has it."""
        told = -1
        while told < len(self.seen.calls):
            told = len(self.seen.calls)
            await asyncio.sleep(SETTLE_SECONDS)

    async def figures_between_calls(self) -> list[AggregatorFigures]:
        """Of the aggregators, with none of their calls between: they refresh readings by themselves."""
        while True:
            calls = self.counter.calls
            figures = [await read_figures(made) for made in self.aggregators.values()]
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
        """Returns at the end of the time where it is not done by then: the tests judge that."""
        end = time.monotonic() + within
        while not done() and time.monotonic() < end:
            await asyncio.sleep(0.05)


async def steady(bed: Bed) -> None:
    seen = bed.seen
    seen.load_began = time.monotonic()
    bed.load(True)
    await asyncio.sleep(STEADY_SECONDS)
    bed.load(False)
    await bed.calls_end()
    seen.steady_in = await bed.figures_between_calls()
    seen.counter_calls, seen.steady_calls = bed.counter.calls, len(seen.calls)
    told: defaultdict[str, float] = defaultdict(float)
    for call in seen.calls:
        told[call.name] += call.amount if call.total is not None else 0.0
    seen.steady_told = dict(told)
    seen.steady_added = {n: a for n, a in bed.counter.added.items() if not n.startswith("aggregator.")}


async def one_killed(bed: Bed) -> None:
    """Until each gateway's calls for a customer of the killed one are answered by the other."""
    seen = bed.seen
    before = {call.customer for call in seen.calls if call.aggregator == "aggregator-0"}
    served, failed = bed.served(), bed.failed()
    bed.load(True, hot=True)
    await asyncio.sleep(SETTLE_SECONDS)
    seen.killed_at = time.monotonic()
    await bed.kill("aggregator-0")
    begun = len(seen.calls)

    def moved() -> bool:
        answered = {call.gateway for call in seen.calls[begun:]
                    if call.customer in before and call.total is not None
                    and call.aggregator == "aggregator-1"}
        return len(answered) == GATEWAYS

    await bed.until(moved, MOVED_WITHIN)
    if moved():
        seen.moved_after = time.monotonic() - seen.killed_at
    seen.served_meanwhile = [after - b for after, b in zip(bed.served(), served, strict=True)]
    seen.failed_meanwhile = bed.failed() - failed


async def restarted_empty(bed: Bed) -> None:
    """The one that is left ends and starts again at its address, within its lease in the list."""
    seen = bed.seen
    await bed.kill("aggregator-1")
    seen.restarted, seen.restarted_at = "aggregator-1", time.monotonic()
    await bed.start_aggregator("aggregator-1")
    await bed.aggregators["aggregator-1"].child.wait_for_log("registered as", PEER_START_TIMEOUT_SECONDS)
    began, sent = time.monotonic(), bed.hot_sent()
    await asyncio.sleep(RESTARTED_SECONDS)
    seen.hot_sent_after_restart = bed.hot_sent() - sent
    seen.hot_seconds_after_restart = time.monotonic() - began


async def both_gone(bed: Bed) -> None:
    seen = bed.seen
    await bed.kill("aggregator-1")
    await asyncio.sleep(SETTLE_SECONDS)  # readings at hand end
    sent, began = bed.hot_sent(), time.monotonic()
    served, failed, counted = bed.served(), bed.failed(), bed.counter.calls
    await asyncio.sleep(ALONE_SECONDS)
    seen.alone_seconds = time.monotonic() - began
    seen.hot_sent_alone = bed.hot_sent() - sent
    seen.alone_served = [after - before for after, before in zip(bed.served(), served, strict=True)]
    seen.alone_failed = bed.failed() - failed
    seen.counter_calls_alone = bed.counter.calls - counted


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> Observations:
    async def play() -> Observations:
        folder = tmp_path_factory.mktemp("aggregated")
        async with Children(folder) as children:
            bed = Bed(folder, children)
            await bed.start()
            seen = bed.seen
            await steady(bed)
            plan = bed.deployment.plan_of(bed.hot)
            seen.hot_rate, seen.hot_burst = plan.rate, plan.burst
            for part in (one_killed, restarted_empty, both_gone):
                await part(bed)
            bed.load(False)
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


def test_sums_at_the_counter_are_the_units_told(seen: Observations) -> None:
    assert sum(seen.steady_told.values()) > 0
    assert seen.steady_added == pytest.approx(seen.steady_told, rel=EXACT, abs=EXACT)


@pytest.mark.parametrize("gateway", range(GATEWAYS))
def test_each_gateway_keeps_to_its_budget(seen: Observations, gateway: int) -> None:
    made = seen.calls_made[gateway]
    assert len(made) > 0.5 * CALLS_PER_SECOND * STEADY_SECONDS
    for number, at in enumerate(made, start=1):
        assert number <= BURST + CALLS_PER_SECOND * (at - seen.load_began)


def test_a_killed_aggregators_customers_move_within_its_lease(seen: Observations) -> None:
    assert seen.moved_after <= MOVED_WITHIN


def test_gateways_go_on_serving_meanwhile(seen: Observations) -> None:
    assert all(served > 0 for served in seen.served_meanwhile)
    assert seen.failed_meanwhile == 0


def test_totals_of_an_aggregator_that_starts_empty_go_on_from_the_counters(seen: Observations) -> None:
    """They may be lower than the counter's only by what was given back and has not been forwarded yet.

    Calls of two gateways come by two connections: one made after another may be taken before it. So what was
    given back by calls made before the answer counts.
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


def test_a_restart_makes_no_burst_of_units(seen: Observations) -> None:
    """What is not counted yet is at the most what was asked for in the time until it is."""
    asked = GATEWAYS * seen.hot_rate
    most = seen.hot_rate * seen.hot_seconds_after_restart + asked * COUNTED_LATE_SECONDS
    assert 0 < seen.hot_sent_after_restart <= most


def test_without_aggregators_gateways_go_by_even_slices(seen: Observations) -> None:
    assert all(served > 0 for served in seen.alone_served)
    assert seen.alone_failed == 0
    quota = seen.hot_rate * seen.alone_seconds
    assert 0.5 * quota < seen.hot_sent_alone <= quota + seen.hot_burst  # slices of the store add up to it


def test_without_aggregators_gateways_leave_the_counter_alone(seen: Observations) -> None:
    assert seen.counter_calls_alone == 0
