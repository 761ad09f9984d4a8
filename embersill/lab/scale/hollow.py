"""Hollow gateways: the real decisions, list client and counter client, without clients and backends.

A request is drawn, a send is answered after a drawn service time; everything between is the gateway's own
code. Many of them share one process.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from embersill.control import Gateway
from embersill.interface import (
    Action, AddToCounter, AttemptEnded, BackendList, Cancel, CounterCallEnded, Event, Fail, Outcome, Refuse,
    Request, Send, SetTimer, TimerExpired,
)
from embersill.lab.scale.clock import unix_time
from embersill.lab.scale.deployment import (
    BUDGET_SECONDS, DIAL_TIMEOUT_SECONDS, Deployment, DrawnRequest, customer_name,
)
from embersill.lab.scale.messages import GatewayCounts, QuotaEvents
from embersill.lab.scale.metered_router import MeteredRouter
from embersill.lab.scale.metering import ByteMeter, metered_loop
from embersill.net.counter import Counter, CounterClient
from embersill.net.discovery import Discovery
from embersill.net.list_feed import ListReader
from embersill.net.listing import Address, Listing, parse_listing
from embersill.net.driver import DEADLINE_MARGIN

AGGREGATOR_CONNECTIONS = 64  # at a gateway at the most, as a real one keeps room for


@dataclass(slots=True)
class AnswerTally:
    """Answers of the list service of one kind."""

    number: int = 0
    bytes: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class ParsedAnswer:
    """The last answer that the list client parsed in this process."""

    bytes: int = 0
    seconds: float = 0.0


class ParseTimer(ListReader):
    """Stands in for the list client's reader and measures it; long lists are not read in slices here.

    Between the parsing of an answer and the call of `told` the client does not wait, so that the last answer
    that was parsed is the one that is told.
    """

    def __init__(self) -> None:
        super().__init__()
        self.last = ParsedAnswer()

    async def read(self, body: bytes) -> Listing:
        """Parses an answer at one go."""
        began = time.thread_time()
        listing = parse_listing(body)
        self.last = ParsedAnswer(len(body), time.thread_time() - began)
        return listing


@dataclass(slots=True)
class ProcessFigures:
    """What all gateways of one process add to."""

    parse_timer: ParseTimer
    module_seconds: float = 0.0
    starts: int = 0
    whole_lists: AnswerTally = field(default_factory=AnswerTally)
    changes: AnswerTally = field(default_factory=AnswerTally)
    events: QuotaEvents = field(default_factory=lambda: QuotaEvents([], [], []))

    def note_quota_event(self, customer: int, sent: bool) -> None:
        self.events.times.append(time.monotonic())
        self.events.customers.append(customer)
        self.events.sent.append(sent)


@dataclass(slots=True)
class GatewayFigures:
    """What one gateway did; it goes on over the gateway's restarts."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    counter_calls: int = 0
    list_calls: int = 0
    counter_meter: ByteMeter = field(default_factory=ByteMeter)
    list_meter: ByteMeter = field(default_factory=ByteMeter)
    told: list[tuple[int, float]] = field(default_factory=list)  # generation, and when it was told

    def counts(self) -> GatewayCounts:
        return GatewayCounts(
            self.requests, self.served, self.refused, self.failed, self.counter_calls,
            self.counter_meter.bytes_out, self.counter_meter.bytes_in, self.list_calls,
            self.list_meter.bytes_out, self.list_meter.bytes_in)


class CountingDiscovery(Discovery):
    """The list client, with its calls counted; it tells each list at one go, as one measure."""

    asked: Callable[[], None]

    async def deliver(self, listing: Listing) -> None:
        """Tells the gateway."""
        self.feed.on_list(listing)

    async def call(self) -> Listing:
        self.asked()
        return await super().call()


@dataclass(slots=True)
class OpenRequest:
    """A request without its final answer."""

    customer: int
    service_seconds: float
    sent: bool = False
    attempts: int = 0
    ending: asyncio.TimerHandle | None = None  # of the attempt that is out
    backend: str = ""
    sent_at: float = 0.0


class HollowGateway:
    """One gateway from a start to its end; a restart makes another."""

    def __init__(
        self, number: int, deployment: Deployment, directories: Sequence[Address], counter: Address,
        seed: int, figures: GatewayFigures, process: ProcessFigures,
        aggregator_lists: Sequence[Address] = (),
    ) -> None:
        self.number, self.deployment, self.figures, self.process = number, deployment, figures, process
        self.loop = asyncio.get_running_loop()
        self.gateway = Gateway(deployment.settings(number), seed, unix_time())
        self.seed, self.counter_address, self.aggregator_lists = seed, counter, aggregator_lists
        self.counter: CounterClient | None = None  # until its start
        self.discovery = CountingDiscovery(
            directories, DIAL_TIMEOUT_SECONDS, self.list_told, None, seed, deployment.size.gateways)
        self.discovery.loop = metered_loop(figures.list_meter)
        self.discovery.asked, self.discovery.reader = self.list_asked, process.parse_timer
        self.following: asyncio.Task[None] | None = None
        self.open: dict[int, OpenRequest] = {}
        self.taken = 0
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = self.closed = False
        self.list_calls_until_told = self.bytes_until_told = 0
        self.bytes_before = figures.list_meter.bytes_in
        self.told_at = 0.0  # when it had its first list

    def start(self) -> None:
        self.process.starts += 1
        self.counter = self.make_counter()
        self.following = self.loop.create_task(self.discovery.run())

    def make_counter(self) -> CounterClient:
        """What makes the counter calls, as in a real gateway."""
        patience = self.deployment.counter_patience_seconds
        if self.aggregator_lists:
            return MeteredRouter(
                unix_time, self.aggregator_lists, patience, DIAL_TIMEOUT_SECONDS, self.counter_told,
                AGGREGATOR_CONNECTIONS, self.seed, self.deployment.size.gateways,
                meter=self.figures.counter_meter)
        counter = Counter(
            unix_time, self.counter_address, patience, DIAL_TIMEOUT_SECONDS, self.counter_told)
        counter.loop = metered_loop(self.figures.counter_meter)
        return counter

    def is_ready(self) -> bool:
        """Whether it has its list, and the list of aggregators where there are any."""
        knows_aggregators = not isinstance(self.counter, MeteredRouter) or bool(self.counter.members)
        return bool(self.told_at) and knows_aggregators

    def close(self) -> None:
        """Ends at once, as a process that is killed does."""
        self.closed = True
        if self.following is not None:
            self.following.cancel()
        self.discovery.disconnect()
        if self.counter is not None:
            self.counter.close()

    # events

    def take(self, drawn: DrawnRequest) -> None:
        """A client's request arrives."""
        self.taken += 1
        self.figures.requests += 1
        self.open[self.taken] = OpenRequest(drawn.customer, drawn.service_seconds)
        plan = self.deployment.plan_of(drawn.customer)
        self.post(Request(
            self.taken, drawn.klass, plan.name, customer_name(drawn.customer),
            unix_time() + BUDGET_SECONDS - DEADLINE_MARGIN, 1.0, self.deployment.size.spread,
            int(self.deployment.first_gateways[drawn.customer]), False))

    def list_asked(self) -> None:
        self.figures.list_calls += 1
        if not self.told_at:
            self.list_calls_until_told += 1

    def list_told(self, listing: Listing) -> None:
        if self.closed:
            return
        if not self.told_at:
            self.told_at = time.monotonic()
            self.bytes_until_told = self.figures.list_meter.bytes_in - self.bytes_before
        began = time.thread_time()
        self.post(BackendList(listing.kind, tuple(entry.backend for entry in listing.entries)))
        seconds = time.thread_time() - began
        if listing.is_full or listing.entries:
            tally = self.process.whole_lists if listing.is_full else self.process.changes
            tally.number += 1
            tally.bytes += self.process.parse_timer.last.bytes
            tally.seconds += seconds + self.process.parse_timer.last.seconds
        self.figures.told.append((listing.generation, time.monotonic()))

    def counter_told(self, counted: CounterCallEnded) -> None:
        self.post(counted)

    def timer_due(self, key: str, due: float) -> None:
        self.post(TimerExpired(key), due)  # the loop may be early by less than a millisecond

    def service_ended(self, request: int, outcome: Outcome) -> None:
        pending = self.open.get(request)
        if pending is None:
            return
        pending.ending = None
        answered = outcome is Outcome.SERVED  # the client has its answer before the module hears of it
        if answered:
            self.figures.served += 1
            del self.open[request]
        elapsed = unix_time() - pending.sent_at
        self.post(AttemptEnded(
            request, pending.attempts - 1, pending.backend, outcome, elapsed, answered, 0.0, ()))

    # the decision module

    def post(self, event: Event, due: float = 0.0) -> None:
        """Hands an event to the module; one that an action causes waits until all actions are done."""
        if self.closed:
            return
        self.events.append((event, due))
        if self.handling:
            return
        self.handling = True
        try:
            while self.events and not self.closed:
                self.handle(*self.events.popleft())
        finally:
            self.handling = False

    def handle(self, event: Event, due: float) -> None:
        now = max(unix_time(), due)
        began = time.thread_time()
        actions = self.gateway.handle(event, now)
        self.process.module_seconds += time.thread_time() - began
        for action in actions:
            self.act(action)

    def act(self, action: Action) -> None:
        """Carries out an action; those that concern sockets to backends have no effect here."""
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                due = unix_time() + action.delay
                self.loop.call_later(action.delay, self.timer_due, action.key, due)
            case AddToCounter():
                assert self.counter is not None
                self.figures.counter_calls += 1
                self.counter.add(action.name, action.amount, action.expire_after)
            case Refuse():
                self.refuse(action.request)
            case Fail():
                self.fail(action.request)
            case Cancel():
                self.cancel(action.request)

    def send(self, action: Send) -> None:
        pending = self.open.get(action.request)
        if pending is None:
            return
        pending.attempts += 1
        pending.backend, pending.sent_at = action.backend, unix_time()
        if not pending.sent:
            pending.sent = True
            self.process.note_quota_event(pending.customer, True)
        in_time = action.timeout <= 0 or pending.service_seconds <= action.timeout
        delay = pending.service_seconds if in_time else action.timeout
        outcome = Outcome.SERVED if in_time else Outcome.TIMED_OUT
        pending.ending = self.loop.call_later(delay, self.service_ended, action.request, outcome)

    def cancel(self, request: int) -> None:
        pending = self.open.get(request)
        if pending is not None and pending.ending is not None:
            pending.ending.cancel()
            self.service_ended(request, Outcome.CANCELLED)

    def refuse(self, request: int) -> None:
        pending = self.open.pop(request, None)
        if pending is not None:
            self.figures.refused += 1
            self.process.note_quota_event(pending.customer, False)

    def fail(self, request: int) -> None:
        if self.open.pop(request, None) is not None:
            self.figures.failed += 1



class RequestSource:
    """Poisson arrivals at one gateway, on the loop's clock; late ones are made up for at once."""

    def __init__(
        self, deployment: Deployment, number: int, seed: int, arrive: Callable[[DrawnRequest], None]
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.load = deployment.load_of(number)
        self.dice = random.Random(seed)
        self.arrive = arrive
        self.due = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.due = self.loop.time()
        if self.load.requests_per_second > 0:
            self.set_next()

    def set_next(self) -> None:
        self.due += self.dice.expovariate(self.load.requests_per_second)
        self.timer = self.loop.call_at(self.due, self.happen)

    def happen(self) -> None:
        self.set_next()
        self.arrive(self.load.draw(self.dice))

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
