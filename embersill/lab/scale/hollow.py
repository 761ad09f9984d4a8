"""Hollow gateways: gateways without sockets to clients and backends, many in one process.

They run the real decision module, list client and counter client. Requests are generated here, and an attempt
ends after a random service time.
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
    BUDGET_SECONDS, DIAL_TIMEOUT_SECONDS, Deployment, GeneratedRequest, customer_name,
)
from embersill.lab.scale.messages import GatewayCounts, QuotaEvents
from embersill.lab.scale.metered_router import MeteredRouter
from embersill.lab.scale.metering import ByteMeter, metered_loop
from embersill.net.counter import Counter, CounterClient
from embersill.net.discovery import Discovery
from embersill.net.list_feed import ListReader
from embersill.net.listing import Address, Listing, parse_listing
from embersill.net.driver import DEADLINE_MARGIN

AGGREGATOR_CONNECTIONS = 64  # limit at one gateway, as at a real one


@dataclass(slots=True)
class AnswerTotals:
    """Answers of the list service of one kind: their number, bytes, and CPU seconds to process them."""

    number: int = 0
    bytes: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class ParsedAnswer:
    """Size of an answer of the list service, and CPU seconds to parse it."""

    bytes: int = 0
    seconds: float = 0.0


class TimedListReader(ListReader):
    """Replaces the list client's reader and measures the parsing; long lists are not parsed in steps here.

    The client does not wait between parsing an answer and the call of `on_list`, so `last_answer` belongs to
    the list that `on_list` receives, though all gateways of the process share the reader.
    """

    def __init__(self) -> None:
        super().__init__()
        self.last_answer = ParsedAnswer()

    async def read(self, body: bytes) -> Listing:
        """Parses an answer in one step."""
        started_at = time.thread_time()
        listing = parse_listing(body)
        self.last_answer = ParsedAnswer(len(body), time.thread_time() - started_at)
        return listing


@dataclass(slots=True)
class ProcessFigures:
    """Counts and times summed over all gateways of one process."""

    list_reader: TimedListReader
    module_seconds: float = 0.0  # CPU time in the decision module
    starts: int = 0
    full_lists: AnswerTotals = field(default_factory=AnswerTotals)
    changes: AnswerTotals = field(default_factory=AnswerTotals)
    events: QuotaEvents = field(default_factory=lambda: QuotaEvents([], [], []))

    def record_quota_event(self, customer: int, sent: bool) -> None:
        """Records that a request was sent to a backend or refused."""
        self.events.times.append(time.monotonic())
        self.events.customers.append(customer)
        self.events.sent.append(sent)


@dataclass(slots=True)
class GatewayFigures:
    """Counts of one gateway, continued over its restarts."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    counter_calls: int = 0
    list_calls: int = 0
    counter_meter: ByteMeter = field(default_factory=ByteMeter)
    list_meter: ByteMeter = field(default_factory=ByteMeter)
    lists_received: list[tuple[int, float]] = field(default_factory=list)  # generation, time

    def counts(self) -> GatewayCounts:
        """The present counts as a part of a report."""
        return GatewayCounts(
            self.requests, self.served, self.refused, self.failed, self.counter_calls,
            self.counter_meter.bytes_out, self.counter_meter.bytes_in, self.list_calls,
            self.list_meter.bytes_out, self.list_meter.bytes_in)


class CountingDiscovery(Discovery):
    """The list client with its calls counted; it passes each list on in one step, so that it can be timed."""

    on_list_call: Callable[[], None]  # called before each call of the list service

    async def deliver(self, listing: Listing) -> bool:
        """Passes a list on to the gateway."""
        self.feed.on_list(listing)
        return True

    async def call(self) -> Listing:
        self.on_list_call()
        return await super().call()


@dataclass(slots=True)
class OpenRequest:
    """A request without its final answer."""

    customer: int
    service_seconds: float
    sent: bool = False
    attempts: int = 0
    end_timer: asyncio.TimerHandle | None = None  # of the attempt in flight
    backend: str = ""
    sent_at: float = 0.0


class HollowGateway:
    """One gateway from its start to its end; a restart creates another."""

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
            directories, DIAL_TIMEOUT_SECONDS, self.on_list, None, seed, deployment.size.gateways)
        self.discovery.loop = metered_loop(figures.list_meter)
        self.discovery.on_list_call, self.discovery.reader = self.on_list_call, process.list_reader
        self.discovery_task: asyncio.Task[None] | None = None
        self.open_requests: dict[int, OpenRequest] = {}
        self.request_count = 0
        self.pending_events: deque[tuple[Event, float]] = deque()
        self.handling = self.closed = False
        self.list_calls_until_first_list = self.bytes_until_first_list = 0
        self.initial_list_bytes = figures.list_meter.bytes_in
        self.first_list_at = 0.0  # monotonic; 0 before the first list

    def start(self) -> None:
        """Connects to the list service and the counter."""
        self.process.starts += 1
        self.counter = self.make_counter()
        self.discovery_task = self.loop.create_task(self.discovery.run())

    def make_counter(self) -> CounterClient:
        """Creates the client for counter calls: through aggregators where there are any, else direct."""
        timeout = self.deployment.counter_timeout_seconds
        if self.aggregator_lists:
            return MeteredRouter(
                unix_time, self.aggregator_lists, timeout, DIAL_TIMEOUT_SECONDS, self.on_counter_result,
                AGGREGATOR_CONNECTIONS, self.seed, self.deployment.size.gateways,
                meter=self.figures.counter_meter)
        counter = Counter(
            unix_time, self.counter_address, timeout, DIAL_TIMEOUT_SECONDS, self.on_counter_result)
        counter.loop = metered_loop(self.figures.counter_meter)
        return counter

    def is_ready(self) -> bool:
        """Whether it has received its list, and the list of aggregators where there are any."""
        knows_aggregators = not isinstance(self.counter, MeteredRouter) or bool(self.counter.members)
        return bool(self.first_list_at) and knows_aggregators

    def close(self) -> None:
        """Ends immediately, like a killed process."""
        self.closed = True
        if self.discovery_task is not None:
            self.discovery_task.cancel()
        self.discovery.disconnect()
        if self.counter is not None:
            self.counter.close()

    # events

    def on_request(self, generated: GeneratedRequest) -> None:
        """Handles a request that arrives from a client."""
        self.request_count += 1
        self.figures.requests += 1
        self.open_requests[self.request_count] = OpenRequest(
            generated.customer, generated.service_seconds)
        plan = self.deployment.plan_of(generated.customer)
        self.post(Request(
            self.request_count, generated.request_class, plan.name, customer_name(generated.customer),
            unix_time() + BUDGET_SECONDS - DEADLINE_MARGIN, 1.0, self.deployment.size.spread,
            int(self.deployment.first_gateways[generated.customer]), False))

    def on_list_call(self) -> None:
        self.figures.list_calls += 1
        if not self.first_list_at:
            self.list_calls_until_first_list += 1

    def on_list(self, listing: Listing) -> None:
        """Passes a list to the decision module; adds its time to that of parsing it."""
        if self.closed:
            return
        if not self.first_list_at:
            self.first_list_at = time.monotonic()
            self.bytes_until_first_list = self.figures.list_meter.bytes_in - self.initial_list_bytes
        started_at = time.thread_time()
        self.post(BackendList(listing.kind, tuple(entry.backend for entry in listing.entries)))
        seconds = time.thread_time() - started_at
        if listing.is_full or listing.entries:
            totals = self.process.full_lists if listing.is_full else self.process.changes
            totals.number += 1
            totals.bytes += self.process.list_reader.last_answer.bytes
            totals.seconds += seconds + self.process.list_reader.last_answer.seconds
        self.figures.lists_received.append((listing.generation, time.monotonic()))

    def on_counter_result(self, result: CounterCallEnded) -> None:
        self.post(result)

    def on_timer(self, key: str, due: float) -> None:
        self.post(TimerExpired(key), due)  # `due`, as the loop may be early by less than a millisecond

    def on_service_ended(self, request: int, outcome: Outcome) -> None:
        """Ends the attempt in flight of a request."""
        pending = self.open_requests.get(request)
        if pending is None:
            return
        pending.end_timer = None
        answered = outcome is Outcome.SERVED  # the client has its answer before the module is notified
        if answered:
            self.figures.served += 1
            del self.open_requests[request]
        elapsed = unix_time() - pending.sent_at
        self.post(AttemptEnded(
            request, pending.attempts - 1, pending.backend, outcome, elapsed, answered, 0.0, ()))

    # the decision module

    def post(self, event: Event, due: float = 0.0) -> None:
        """Passes an event to the decision module, after the actions of the event that is being handled.

        `due` is the earliest time, in Unix time, that the module is given as now.
        """
        if self.closed:
            return
        self.pending_events.append((event, due))
        if self.handling:
            return
        self.handling = True
        try:
            while self.pending_events and not self.closed:
                self.handle(*self.pending_events.popleft())
        finally:
            self.handling = False

    def handle(self, event: Event, due: float) -> None:
        """Lets the decision module handle an event, and performs its actions."""
        now = max(unix_time(), due)
        started_at = time.thread_time()
        actions = self.gateway.handle(event, now)
        self.process.module_seconds += time.thread_time() - started_at
        for action in actions:
            self.perform(action)

    def perform(self, action: Action) -> None:
        """Performs an action; actions that concern connections to backends have no effect here."""
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                due = unix_time() + action.delay
                self.loop.call_later(action.delay, self.on_timer, action.key, due)
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
        """Starts an attempt, which ends after its service time or its timeout."""
        pending = self.open_requests.get(action.request)
        if pending is None:
            return
        pending.attempts += 1
        pending.backend, pending.sent_at = action.backend, unix_time()
        if not pending.sent:
            pending.sent = True
            self.process.record_quota_event(pending.customer, True)
        in_time = action.timeout <= 0 or pending.service_seconds <= action.timeout
        delay = pending.service_seconds if in_time else action.timeout
        outcome = Outcome.SERVED if in_time else Outcome.TIMED_OUT
        pending.end_timer = self.loop.call_later(delay, self.on_service_ended, action.request, outcome)

    def cancel(self, request: int) -> None:
        pending = self.open_requests.get(request)
        if pending is not None and pending.end_timer is not None:
            pending.end_timer.cancel()
            self.on_service_ended(request, Outcome.CANCELLED)

    def refuse(self, request: int) -> None:
        pending = self.open_requests.pop(request, None)
        if pending is not None:
            self.figures.refused += 1
            self.process.record_quota_event(pending.customer, False)

    def fail(self, request: int) -> None:
        if self.open_requests.pop(request, None) is not None:
            self.figures.failed += 1


class RequestSource:
    """Generates requests at one gateway with Poisson arrivals, timed by the loop's clock.

    Arrivals that are late are made up for without delay, so that the rate is kept.
    """

    def __init__(
        self, deployment: Deployment, number: int, seed: int,
        on_arrival: Callable[[GeneratedRequest], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.load = deployment.load_of(number)
        self.rng = random.Random(seed)
        self.on_arrival = on_arrival
        self.next_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.next_at = self.loop.time()
        if self.load.requests_per_second > 0:
            self.schedule_next()

    def schedule_next(self) -> None:
        self.next_at += self.rng.expovariate(self.load.requests_per_second)
        self.timer = self.loop.call_at(self.next_at, self.on_due)

    def on_due(self) -> None:
        self.schedule_next()
        self.on_arrival(self.load.generate(self.rng))

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
