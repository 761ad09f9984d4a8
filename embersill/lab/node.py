"""A gateway in the model: the real decisions and the real pool, whose actions are carried out with delays."""

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
from embersill.lab.clock import Event as Due
from embersill.lab.clock import Time
from embersill.lab.counter import CounterService
from embersill.lab.machine import Condition, Job, Machine
from embersill.lab.network import Way
from embersill.lab.rules import Rules
from embersill.lab.scenario import Class, PlanForm
from embersill.net.pool import Address, OpenFailure, PooledConnection, Pool, ConnectionState, Waiter

SWEEP_EVERY = 1.0  # seconds between the pool's looks for idle connections, as in net/backends.py
NOWHERE: Address = ("", 0)  # the model knows a backend by its name
Figures = tuple[Tally[str], Tally[str], Tally[str]]  # attempts by outcome, refusals by reason, connections


@dataclass(slots=True)
class Call:
    """A client's try here, until it has its answer.

    `deadline` is its client's, `end` the gateway's, a little before. `sent_on` is called at the first
    attempt, which takes its unit from the quota; `answered` with SERVED, REJECTED for a refusal (and its
    Retry-After), or ERROR for a failure.
    """

    klass: Class
    plan: PlanForm
    work: float
    deadline: float
    end: float
    sent_on: Callable[[], None]
    answered: Callable[[Outcome, float], None]
    tries: list[Attempt] = field(default_factory=list)
    left: bool = False  # its client has gone


class Attempt:
    """One attempt, from its decision to its outcome."""

    def __init__(self, node: Node, number: int, place: int, backend: str, until: float) -> None:
        self.node, self.number, self.place, self.backend, self.until = node, number, place, backend, until
        self.sent_at = node.clock.now
        self.link: Wire | None = None
        self.ended = False
        self.timer: Due = node.clock.later(max(until - self.sent_at, 0.0), self.time_out)

    def lost(self, outcome: Outcome) -> None:
        self.end(outcome)

    def time_out(self) -> None:
        if self.link is not None:
            self.end(Outcome.TIMED_OUT)
            self.node.pool.close_idle(self.backend)
        else:
            self.end(self.node.pool.timeout_outcome(self))

    def end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        self.timer.cancel()
        self.node.pool.withdraw(self)
        if self.link is not None:
            self.link.give_up(self)
        self.node.attempt_ended(self, outcome)


class Wire(PooledConnection):
    """A connection to a machine."""

    def __init__(self, node: Node, machine: Machine) -> None:
        super().__init__(machine.name)
        self.node, self.machine, self.up, self.first = node, machine, False, True
        node.wired += 1
        self.serial = node.wired
        self.attempt: Attempt | None = None
        self.job: Job | None = None
        self.dialled = node.clock.later(2.0 * node.way.delay(machine), self.come_up)
        self.timer = node.clock.later(node.dial_timeout, self.stay_silent)

    def come_up(self) -> None:
        if self.state is not ConnectionState.OPENING or not self.node.way.passes(self.machine.zone):
            return
        self.timer.cancel()
        if self.machine.connect():
            self.up = True
            self.node.pool.opening_succeeded(self)
        else:
            self.node.pool.opening_failed(self, OpenFailure.REFUSED)
            self.node.pool.connection_closed(self)

    def stay_silent(self) -> None:
        if self.state is ConnectionState.OPENING:
            self.node.pool.opening_failed(self, OpenFailure.TIMED_OUT)
            self.node.pool.connection_closed(self)

    def send(self, attempt: Waiter, wait: float) -> None:
        assert isinstance(attempt, Attempt)
        self.attempt, attempt.link = attempt, self
        work = self.node.work(attempt.number) + (self.machine.form.handshake_s if self.first else 0.0)
        self.first = False
        known = self.node.gateway.servers.get(self.backend)
        told = known is not None and known.backend.started_at == self.machine.started
        self.job = job = Job(work, self.answer, told)
        if self.node.way.passes(self.machine.zone):
            self.node.clock.later(self.node.way.delay(self.machine), lambda: self.machine.take(job))

    def answer(self, job: Job, served: bool) -> None:
        if self.node.way.passes(self.machine.zone) and not self.node.way.loses():
            self.node.clock.later(self.node.way.delay(self.machine), lambda: self.receive(job, served))

    def receive(self, job: Job, served: bool) -> None:
        attempt = self.attempt
        if attempt is None or self.job is not job or not self.up:
            return
        self.attempt = self.job = attempt.link = None
        self.node.pool.answer_received(self)
        self.node.pool.release(self)
        attempt.end(Outcome.SERVED if served else Outcome.REJECTED)

    def give_up(self, attempt: Attempt) -> None:
        if self.attempt is attempt:
            self.attempt = None
            if self.job is not None:
                self.machine.give_up(self.job)
            self.abort()

    def reset(self) -> None:
        """It breaks: the machine's process is gone, or something between."""
        if self.up:
            self.up = False
            self.leave()
            attempt, self.attempt = self.attempt, None
            self.node.pool.connection_closed(self)
            if attempt is not None:
                attempt.link = None
                self.node.pool.connection_broke(self, attempt.sent_at)
                attempt.end(Outcome.CONNECTION_LOST)

    def abort(self) -> None:
        self.dialled.cancel()
        self.timer.cancel()
        if self.up:
            self.up = False
            self.leave()
        self.node.clock.later(0.0, lambda: self.node.pool.connection_closed(self))

    def leave(self) -> None:
        if self.machine.condition is not Condition.DOWN:
            self.machine.connections -= 1

    def is_reusable(self) -> bool:
        return self.up


class Node:
    """One process of a gateway, from its start to its end."""

    def __init__(self, name: str, clock: Time, settings: Settings, seed: int, way: Way,
                 machines: dict[str, Machine], counter: CounterService, rules: Rules, most: int,
                 dial_timeout: float, keepalive: float, skew: float = 0.0) -> None:
        """`name`: of this process, and of no other in the run; `skew`: seconds that its clock is ahead."""
        self.name, self.rules = name, rules
        self.clock, self.way, self.machines, self.counter = clock, way, machines, counter
        self.dial_timeout, self.alive = dial_timeout, True
        self.skew = skew
        self.gateway = Gateway(settings, seed, clock.now + skew)
        self.pool = Pool(lambda: clock.now, self.open, most, keepalive, settings.pool, seed)
        self.pool.on_open_failed = lambda backend, up: self.post(ConnectFailed(backend, up))
        self.calls: dict[int, Call] = {}
        self.taken = self.wired = 0
        self.events: list[Event] = []
        self.handling = False
        self.ends: Tally[str] = Tally()
        self.sweep()

    def open(self, backend: str, address: Address) -> PooledConnection:
        return Wire(self, self.machines[backend])

    def wires(self) -> list[Wire]:
        """Its connections in the order of their opening: a set's own order differs from run to run."""
        return sorted((k for k in self.pool.connections if isinstance(k, Wire)), key=lambda wire: wire.serial)

    def sweep(self) -> None:
        if self.alive:
            self.pool.close_expired()
            self.clock.later(SWEEP_EVERY, self.sweep)

    # what happens

    def take(self, request: Request, call: Call) -> None:
        """A client's try; `request` has a number of this gateway's, from `number`."""
        self.calls[request.id] = call
        self.rules.taken(self.name, request.id, call.klass, request.customer, call.deadline)
        self.post(replace(request, deadline=request.deadline + self.skew) if self.skew else request)

    def leave(self, number: int) -> None:
        """The client of that try has gone."""
        call = self.calls.get(number)
        if call is None or call.left or not self.alive:
            return
        call.left = True
        self.rules.left(self.name, number)
        for attempt in call.tries:
            if attempt.link is None:
                attempt.end(Outcome.NOT_SENT)
        self.post(ClientDisconnected(number))
        self.forget(number)

    def forget(self, number: int) -> None:
        """One whose client has gone stays until its attempts have ended."""
        call = self.calls.get(number)
        if call is not None and call.left and all(attempt.ended for attempt in call.tries):
            del self.calls[number]

    def number(self) -> int:
        self.taken += 1
        return self.taken

    def hear(self, event: BackendList) -> None:
        if not self.alive:
            return
        self.rules.told(self.name, event.backends, self.clock.now)
        for backend in event.backends:
            if backend.status.value == "serving":
                self.pool.set_address(backend.address, NOWHERE, backend.started_at)
            else:
                self.pool.retire(backend.address)
        self.post(event)

    def counted(self, event: CounterCallEnded) -> None:
        if self.alive:
            self.post(event)

    def due(self, key: str) -> None:
        if self.alive:
            self.post(TimerExpired(key))

    def work(self, number: int) -> float:
        return self.calls[number].work

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        if not self.alive:
            return
        self.ends[outcome.value] += 1
        self.rules.ended(self.name, attempt.number, attempt.place, outcome)
        if outcome is Outcome.SERVED:
            self.finish(attempt.number, Outcome.SERVED)
        call = self.calls.get(attempt.number)
        over = call is None or call.left
        self.post(AttemptEnded(attempt.number, attempt.place, attempt.backend, outcome,
                               self.clock.now - attempt.sent_at, over, 0.0, ()))
        self.forget(attempt.number)

    # what the module wants

    def post(self, event: Event) -> None:
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                for action in self.gateway.handle(self.events.pop(0), self.clock.now + self.skew):
                    self.act(action)
        finally:
            self.handling = False

    def act(self, action: Action) -> None:
        if isinstance(action, Send):
            self.send(action)
        elif isinstance(action, SetTimer):
            key = action.key
            self.clock.later(action.delay, lambda: self.due(key))
        elif isinstance(action, AddToCounter):
            if self.way.passes(self.counter.zone):
                self.counter.add(action.name, action.amount, action.expire_after, self.counted)
            else:
                self.counter.stay_silent(action.name, self.counted)
        elif isinstance(action, Refuse):
            self.finish(action.request, Outcome.REJECTED, action.retry_after)
        elif isinstance(action, Fail):
            self.finish(action.request, Outcome.ERROR)
        elif isinstance(action, Cancel):
            call = self.calls.get(action.request)
            if call is not None:
                call.tries[action.attempt].end(Outcome.CANCELLED)
        elif isinstance(action, SetPoolSize):
            self.pool.set_size(action.backend, action.max_idle, action.max_connections, action.max_idle_time)
        elif isinstance(action, Preconnect):
            self.pool.preconnect(action.backend, action.free_connections)
        elif isinstance(action, CloseUnusedConnections):
            self.pool.close_unused(action.backend)

    def send(self, action: Send) -> None:
        call = self.calls.get(action.request)
        if call is None or call.left:
            return
        self.rules.sent(self.name, action.request, self.machines[action.backend], call.plan, self.clock.now)
        if not call.tries:
            call.sent_on()
        until = call.end if action.timeout <= 0 else min(call.end, self.clock.now + action.timeout)
        attempt = Attempt(self, action.request, len(call.tries), action.backend, until)
        call.tries.append(attempt)
        self.pool.start(attempt)

    def finish(self, number: int, outcome: Outcome, retry_after: float = 0.0) -> None:
        call = self.calls.get(number)
        if call is not None and not call.left:
            del self.calls[number]
            self.rules.answered(self.name, number, outcome, self.clock.now)
            call.answered(outcome, retry_after)
            for attempt in call.tries:
                if not attempt.ended and attempt.link is None:
                    attempt.end(Outcome.NOT_SENT)  # it must not be written for a request that is over

    def break_links(self, machine: Machine) -> None:
        """All its connections to that machine are reset."""
        for wire in self.wires():
            if wire.machine is machine:
                wire.reset()

    def figures(self) -> Figures:
        return self.ends, self.gateway.given_up, self.pool.figures

    # its end

    def die(self) -> list[Call]:
        """At once, as by SIGKILL: connections end, and what was taken has no answer. Those calls."""
        self.alive = False
        self.rules.died(self.name)
        calls, self.calls = list(self.calls.values()), {}
        for attempt in [attempt for call in calls for attempt in call.tries]:
            attempt.timer.cancel()
            self.pool.withdraw(attempt)  # else the end of a connection opens another for it
        for link in self.wires():
            if link.job is not None:
                link.machine.give_up(link.job)
            link.attempt = None
            link.abort()
        return calls
