"""A simulated gateway: the real decisions and connection pool over simulated connections."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from embersill.control import Gateway
from embersill.interface import (
    Action, AddToCounter, AttemptEnded, BackendList, Cancel, ClientDisconnected, CloseUnusedConnections,
    ConnectFailed, CounterCallEnded, Event, Fail, Outcome, Preconnect, Refuse, Request, Send, SetPoolSize,
    SetTimer, Settings, TimerExpired,
)
from embersill.lab.clock import ScheduledCall, Scheduler
from embersill.lab.counter import CounterService
from embersill.lab.machine import Condition, Job, Machine
from embersill.lab.network import GatewayNetwork
from embersill.lab.rules import RuleChecker
from embersill.lab.scenario import ClassConfig, PlanConfig
from embersill.net.pool import Address, OpenFailure, PooledConnection, Pool, ConnectionState, Waiter

IDLE_SCAN_INTERVAL = 1.0  # seconds between closings of expired idle connections, as in net/backends.py
NO_ADDRESS: Address = ("", 0)  # simulated backends are identified by name
Figures = tuple[Tally[str], Tally[str], Tally[str]]  # attempts by outcome, refusals by reason, pool's counts


@dataclass(slots=True)
class ClientTry:
    """One try of a client's request at this gateway, until it is answered.

    `gateway_deadline` is a little before `client_deadline`. `on_first_send` is called at the first attempt,
    which takes the try's unit from the quota. `on_answer` is called with SERVED, REJECTED for a refusal (with
    its Retry-After), ERROR for a failure or CONNECTION_LOST.
    """

    request_class: ClassConfig
    plan: PlanConfig
    work: float
    client_deadline: float
    gateway_deadline: float
    on_first_send: Callable[[], None]
    on_answer: Callable[[Outcome, float], None]
    attempts: list[Attempt] = field(default_factory=list)
    client_disconnected: bool = False


class Attempt:
    """One attempt, from the decision to send it to its outcome; a `Waiter` of the pool."""

    def __init__(
        self, gateway: ModelGateway, request_number: int, index: int, backend: str, until: float
    ) -> None:
        self.gateway, self.request_number, self.index, self.backend, self.until = (
            gateway, request_number, index, backend, until)
        self.sent_at = gateway.clock.now
        self.connection: ModelConnection | None = None
        self.ended = False
        self.timer: ScheduledCall = gateway.clock.later(max(until - self.sent_at, 0.0), self.time_out)

    def lost(self, outcome: Outcome) -> None:
        self.end(outcome)

    def time_out(self) -> None:
        if self.connection is not None:
            self.end(Outcome.TIMED_OUT)
            self.gateway.pool.close_idle(self.backend)
        else:
            self.end(self.gateway.pool.timeout_outcome(self))

    def end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        self.timer.cancel()
        self.gateway.pool.withdraw(self)
        if self.connection is not None:
            self.connection.abandon(self)
        self.gateway.attempt_ended(self, outcome)


class ModelConnection(PooledConnection):
    """A simulated connection to a backend's machine."""

    def __init__(self, gateway: ModelGateway, machine: Machine) -> None:
        super().__init__(machine.name)
        self.gateway, self.machine, self.is_open, self.awaits_first_request = gateway, machine, False, True
        gateway.connections_opened += 1
        self.serial = gateway.connections_opened
        self.attempt: Attempt | None = None
        self.job: Job | None = None
        self.connect_completion = gateway.clock.later(
            2.0 * gateway.network.delay(machine), self.complete_connecting)
        self.connect_timeout = gateway.clock.later(gateway.dial_timeout, self.time_out_connecting)

    def complete_connecting(self) -> None:
        if self.state is not ConnectionState.OPENING or not self.gateway.network.reaches(self.machine.zone):
            return
        self.connect_timeout.cancel()
        if self.machine.connect():
            self.is_open = True
            self.gateway.pool.opening_succeeded(self)
        else:
            self.gateway.pool.opening_failed(self, OpenFailure.REFUSED)
            self.gateway.pool.connection_closed(self)

    def time_out_connecting(self) -> None:
        if self.state is ConnectionState.OPENING:
            self.gateway.pool.opening_failed(self, OpenFailure.TIMED_OUT)
            self.gateway.pool.connection_closed(self)

    def send(self, attempt: Waiter, wait: float) -> None:
        assert isinstance(attempt, Attempt)
        self.attempt, attempt.connection = attempt, self
        work = self.gateway.work_of(attempt.request_number) + (
            self.machine.config.handshake_s if self.awaits_first_request else 0.0)
        self.awaits_first_request = False
        server = self.gateway.decisions.servers.get(self.backend)
        start_known = server is not None and server.backend.started_at == self.machine.started_at
        self.job = job = Job(work, self.send_answer, start_known)
        if self.gateway.network.reaches(self.machine.zone):
            self.gateway.clock.later(
                self.gateway.network.delay(self.machine), lambda: self.machine.receive(job))

    def send_answer(self, job: Job, served: bool) -> None:
        if self.gateway.network.reaches(self.machine.zone) and not self.gateway.network.loses_answer():
            self.gateway.clock.later(
                self.gateway.network.delay(self.machine), lambda: self.on_answer(job, served))

    def on_answer(self, job: Job, served: bool) -> None:
        attempt = self.attempt
        if attempt is None or self.job is not job or not self.is_open:
            return
        self.attempt = self.job = attempt.connection = None
        self.gateway.pool.answer_received(self)
        self.gateway.pool.release(self)
        attempt.end(Outcome.SERVED if served else Outcome.REJECTED)

    def abandon(self, attempt: Attempt) -> None:
        """Aborts the connection if the attempt is still without an answer on it."""
        if self.attempt is attempt:
            self.attempt = None
            if self.job is not None:
                self.machine.abandon(self.job)
            self.abort()

    def reset(self) -> None:
        """The connection is reset, by the end of the machine's process or in the network."""
        if self.is_open:
            self.is_open = False
            self.free_table_entry()
            attempt, self.attempt = self.attempt, None
            self.gateway.pool.connection_closed(self)
            if attempt is not None:
                attempt.connection = None
                self.gateway.pool.connection_broke(self, attempt.sent_at)
                attempt.end(Outcome.CONNECTION_LOST)

    def abort(self) -> None:
        self.connect_completion.cancel()
        self.connect_timeout.cancel()
        if self.is_open:
            self.is_open = False
            self.free_table_entry()
        self.gateway.clock.later(0.0, lambda: self.gateway.pool.connection_closed(self))

    def free_table_entry(self) -> None:
        if self.machine.condition is not Condition.DOWN:
            self.machine.connections -= 1

    def is_reusable(self) -> bool:
        return self.is_open


class ModelGateway:
    """One simulated process of a gateway, from its start to its end."""

    def __init__(
        self, name: str, clock: Scheduler, settings: Settings, seed: int, network: GatewayNetwork,
        machines: dict[str, Machine], counter: CounterService, rules: RuleChecker, max_connections: int,
        dial_timeout: float, keepalive: float, clock_skew: float = 0.0,
    ) -> None:
        """`name`: unique among all processes of the run; `clock_skew`: seconds that its clock is ahead."""
        self.name, self.rules = name, rules
        self.clock, self.network, self.machines, self.counter = clock, network, machines, counter
        self.dial_timeout, self.alive = dial_timeout, True
        self.clock_skew = clock_skew
        self.decisions = Gateway(settings, seed, clock.now + clock_skew)
        self.pool = Pool(lambda: clock.now, self.open, max_connections, keepalive, settings.pool, seed)
        self.pool.on_open_failed = lambda backend, open_connections: self.post(
            ConnectFailed(backend, open_connections))
        self.tries: dict[int, ClientTry] = {}
        self.last_number = self.connections_opened = 0
        self.events: list[Event] = []
        self.handling = False
        self.outcomes: Tally[str] = Tally()
        self.close_idle()

    def open(self, backend: str, address: Address) -> PooledConnection:
        return ModelConnection(self, self.machines[backend])

    def connections_in_order(self) -> list[ModelConnection]:
        """Its connections in opening order, as the order of a set differs from run to run."""
        return sorted((k for k in self.pool.connections if isinstance(k, ModelConnection)),
                      key=lambda connection: connection.serial)

    def close_idle(self) -> None:
        if self.alive:
            self.pool.close_expired()
            self.clock.later(IDLE_SCAN_INTERVAL, self.close_idle)

    # events

    def accept(self, request: Request, client_try: ClientTry) -> None:
        """Accepts a client's try; the request's id comes from `next_number`."""
        self.tries[request.id] = client_try
        self.rules.on_request(
            self.name, request.id, client_try.request_class, request.customer, client_try.client_deadline)
        self.post(
            replace(request, deadline=request.deadline + self.clock_skew) if self.clock_skew else request)

    def disconnect_client(self, request_number: int) -> None:
        """The client of that try has disconnected."""
        client_try = self.tries.get(request_number)
        if client_try is None or client_try.client_disconnected or not self.alive:
            return
        client_try.client_disconnected = True
        self.rules.on_client_disconnected(self.name, request_number)
        for attempt in client_try.attempts:
            if attempt.connection is None:
                attempt.end(Outcome.NOT_SENT)
        self.post(ClientDisconnected(request_number))
        self.drop_finished(request_number)

    def drop_finished(self, request_number: int) -> None:
        """Drops a try whose client has disconnected, once all its attempts have ended."""
        client_try = self.tries.get(request_number)
        if client_try is not None and client_try.client_disconnected and all(
                attempt.ended for attempt in client_try.attempts):
            del self.tries[request_number]

    def next_number(self) -> int:
        self.last_number += 1
        return self.last_number

    def receive_list(self, event: BackendList) -> None:
        if not self.alive:
            return
        self.rules.on_list(self.name, event.backends, self.clock.now)
        for backend in event.backends:
            if backend.status.value == "serving":
                self.pool.set_address(backend.address, NO_ADDRESS, backend.started_at)
            else:
                self.pool.retire(backend.address)
        self.post(event)

    def on_counter_result(self, event: CounterCallEnded) -> None:
        if self.alive:
            self.post(event)

    def on_timer(self, key: str) -> None:
        if self.alive:
            self.post(TimerExpired(key))

    def work_of(self, request_number: int) -> float:
        return self.tries[request_number].work

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        if not self.alive:
            return
        self.outcomes[outcome.value] += 1
        self.rules.on_attempt_ended(self.name, attempt.request_number, attempt.index, outcome)
        if outcome is Outcome.SERVED:
            self.answer_client(attempt.request_number, Outcome.SERVED)
        client_try = self.tries.get(attempt.request_number)
        request_ended = client_try is None or client_try.client_disconnected
        self.post(AttemptEnded(attempt.request_number, attempt.index, attempt.backend, outcome,
                               self.clock.now - attempt.sent_at, request_ended, 0.0, ()))
        self.drop_finished(attempt.request_number)

    # decisions and their actions

    def post(self, event: Event) -> None:
        """Handles the event and those that its actions raise, in order."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                for action in self.decisions.handle(self.events.pop(0), self.clock.now + self.clock_skew):
                    self.perform(action)
        finally:
            self.handling = False

    def perform(self, action: Action) -> None:
        if isinstance(action, Send):
            self.send(action)
        elif isinstance(action, SetTimer):
            key = action.key
            self.clock.later(action.delay, lambda: self.on_timer(key))
        elif isinstance(action, AddToCounter):
            if self.network.reaches(self.counter.zone):
                self.counter.add(action.name, action.amount, action.expire_after, self.on_counter_result)
            else:
                self.counter.time_out_call(action.name, self.on_counter_result)
        elif isinstance(action, Refuse):
            self.answer_client(action.request, Outcome.REJECTED, action.retry_after)
        elif isinstance(action, Fail):
            self.answer_client(action.request, Outcome.ERROR)
        elif isinstance(action, Cancel):
            client_try = self.tries.get(action.request)
            if client_try is not None:
                client_try.attempts[action.attempt].end(Outcome.CANCELLED)
        elif isinstance(action, SetPoolSize):
            self.pool.set_size(action.backend, action.max_idle, action.max_connections, action.max_idle_time)
        elif isinstance(action, Preconnect):
            self.pool.preconnect(action.backend, action.free_connections)
        elif isinstance(action, CloseUnusedConnections):
            self.pool.close_unused(action.backend)

    def send(self, action: Send) -> None:
        client_try = self.tries.get(action.request)
        if client_try is None or client_try.client_disconnected:
            return
        self.rules.on_sent(
            self.name, action.request, self.machines[action.backend], client_try.plan, self.clock.now)
        if not client_try.attempts:
            client_try.on_first_send()
        until = (client_try.gateway_deadline if action.timeout <= 0
                 else min(client_try.gateway_deadline, self.clock.now + action.timeout))
        attempt = Attempt(self, action.request, len(client_try.attempts), action.backend, until)
        client_try.attempts.append(attempt)
        self.pool.start(attempt)

    def answer_client(self, request_number: int, outcome: Outcome, retry_after: float = 0.0) -> None:
        client_try = self.tries.get(request_number)
        if client_try is not None and not client_try.client_disconnected:
            del self.tries[request_number]
            self.rules.on_answer(self.name, request_number, outcome, self.clock.now)
            client_try.on_answer(outcome, retry_after)
            for attempt in client_try.attempts:
                if not attempt.ended and attempt.connection is None:
                    attempt.end(Outcome.NOT_SENT)  # no attempt may be written for an ended request

    def reset_connections(self, machine: Machine) -> None:
        """Resets all its connections to that machine."""
        for connection in self.connections_in_order():
            if connection.machine is machine:
                connection.reset()

    def figures(self) -> Figures:
        return self.outcomes, self.decisions.given_up, self.pool.figures

    # end of the process

    def kill(self) -> list[ClientTry]:
        """Ends the process at once, as SIGKILL does, and returns the tries that are left unanswered."""
        self.alive = False
        self.rules.on_gateway_died(self.name)
        tries, self.tries = list(self.tries.values()), {}
        for attempt in [attempt for client_try in tries for attempt in client_try.attempts]:
            attempt.timer.cancel()
            self.pool.withdraw(attempt)  # otherwise the end of a connection would open another for it
        for connection in self.connections_in_order():
            if connection.job is not None:
                connection.machine.abandon(connection.job)
            connection.attempt = None
            connection.abort()
        return tries
