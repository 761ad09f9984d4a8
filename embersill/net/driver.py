"""Joins the decision module to the sockets: events in, actions out, one final answer a request.

Nothing is chosen here. What happened becomes an event of the module; its actions are carried out in their
order. The one exception is the guard that answers a request which would otherwise go without, and logs it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter as Tally
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any, Protocol

from embersill.control import Gateway
from embersill.interface import (
    Action, AddToCounter, AggregationSettings, AttemptEnded, BackendList, BackendStatus, Cancel,
    ClientDisconnected, CloseUnusedConnections, ConnectFailed, CounterCallEnded, Event, Fail, FlushCounts,
    Outcome, PoolSettings, Preconnect, PredecessorEnded, PredecessorState, Refuse, Request, Restore, Send,
    SetPoolSize, SetTimer, SettingsChanged, StreamStarted, Suspend, TimerExpired, UploadCompleted,
)
from embersill.net.backends import AttemptResult, Attempt, Dialer
from embersill.net.bodies import Sink, Upload
from embersill.net.counter import CounterClient
from embersill.net.listing import Listing
from embersill.net.figures import Figures
from embersill.net.trace import LoopLag, Trace

EARLY = 0.1  # seconds before the client's end at which the module takes a request to be over: the budget
# runs from the client's send, the answer has its way back, and the core may be busy with another gateway
GUARD = 0.05  # seconds before the client's end at which an unanswered request is failed by the guard
REPORT_EVERY = 10.0  # seconds between lines of figures in the log: one bad stretch shows, and few bytes come
UPLOAD_WITHIN = 3600.0  # seconds by which the module is told a request ends whose body is still coming: its
# time starts with the last byte, and the clients' side ends what no longer moves
LOOK_AGAIN = 0.005  # seconds between looks for the counter's last answers: its patience is some 30 ms
MOST_TRACED = 64  # entries of an answer of discovery that the trace names one by one
SCANT = 0.25  # of the budget, at most, that these two may take
LEAST_LEFT = 0.5  # seconds that a process which stops must have left for a request to be taken: with less it
# would be sent on for an answer that comes too late, and a gateway that stays can serve it
ELSEWHERE = b"Retry-After: 0.05\r\n"  # for a request that another gateway can take at once

log = logging.getLogger("embersill")


@dataclass(slots=True)
class Call:
    """A client's request in the protocol's terms, as it goes to the module and to backends."""

    received: float
    budget: float
    klass: str
    plan: str
    customer: str
    units: float
    width: int
    first_gateway: int
    repeat: bool
    head: bytes  # request line and headers for a backend, but for the budget and the blank line
    body: bytes
    upload: Upload | None = None  # the body, where it is passed on as it comes
    call_id: str = ""  # X-Call-Id, for logs


class Exchange(Protocol):
    """Where a request's answer goes."""

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None: ...

    def begin(self, headers: bytes, length: int | None) -> Sink: ...

    def client_has_gone(self) -> bool: ...


class Pending:
    """A request that was taken, until it has its answer and the last of its attempts has ended."""

    __slots__ = ("attempts", "call", "end", "exchange", "guard", "last_outcome", "number", "out", "over",
                 "sink")

    def __init__(self, number: int, call: Call, exchange: Exchange) -> None:
        self.number, self.call, self.exchange = number, call, exchange
        self.end = call.received + UPLOAD_WITHIN if call.upload else self.end_from(call.received)
        self.attempts: list[Attempt] = []
        self.out, self.over = 0, False
        self.last_outcome = ""  # of its attempts, for logs: why there is a further one
        self.guard: asyncio.TimerHandle | None = None
        self.sink: Sink | None = None  # an answer is being passed on

    def end_from(self, received: float) -> float:
        return received + self.call.budget - min(EARLY, SCANT * self.call.budget)


class Driver:
    """Owns the one Gateway of this process."""

    def __init__(self, gateway: Gateway, clock: Callable[[], float], dialer: Dialer) -> None:
        self.gateway, self.clock, self.dialer, self.pool = gateway, clock, dialer, dialer.pool
        self.pool.on_open_failed = lambda backend, up: self.post(ConnectFailed(backend, up))
        self.counter: CounterClient | None = None
        self.loop = asyncio.get_running_loop()
        self.pending: dict[int, Pending] = {}
        self.unanswered = 0
        self.counting = 0  # calls of the counter that were not told of yet
        self.taken = 0
        self.ends_at = inf  # when all must be answered, once the process stops
        self.list_told_at = clock()
        self.serving: set[str] = set()  # backends that the list shows as serving
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = False
        self.figures, self.loop_lag = Figures(gateway.classes), LoopLag()
        self.trace: Trace | None = None
        self.list_figures: Tally[str] = Tally()
        self.list_age: Callable[[], float] | None = None  # told where the list has several addresses
        self.reporter = self.loop.call_later(REPORT_EVERY, self.report)
        self.carry: dict[type, Callable[..., None]] = {
            Send: self.send, SetTimer: self.set_timer, Refuse: self.refuse, Fail: self.fail,
            Cancel: self.cancel, AddToCounter: self.count,
            CloseUnusedConnections: self.hang_up, SetPoolSize: self.size, Preconnect: self.warm,
        }

    def use_trace(self, trace: Trace | None) -> None:
        """Traces requests, the list and connections from now on, if there is a trace."""
        self.trace = trace
        if trace is not None:
            self.pool.on_close = lambda backend, reason: trace.note(
                "backend_connection_closed", backend=backend, reason=reason)

    # what happened

    def take(self, call: Call, exchange: Exchange) -> int:
        """A client's request; its number is the module's name for it, and nought if it came too late."""
        if self.ends_at - self.clock() < min(LEAST_LEFT, call.budget):
            self.figures.answered(503, call.klass)
            exchange.answer(503, b"", ELSEWHERE)
            return 0
        self.taken += 1
        pending = Pending(self.taken, call, exchange)
        pending.end = min(pending.end, self.ends_at - GUARD)
        self.pending[pending.number] = pending
        self.unanswered += 1
        if self.trace is not None:
            self.trace.note("request_taken", request=call.call_id, klass=call.klass, customer=call.customer,
                            budget=call.budget, read_late=self.clock() - call.received)
        if call.upload is None:
            self.set_guard(pending, call.received)
        self.post(Request(
            pending.number, call.klass, call.plan, call.customer, pending.end, call.units, call.width,
            call.first_gateway, call.repeat, call.upload is not None,
        ))
        return pending.number

    def set_guard(self, pending: Pending, received: float) -> None:
        budget = pending.call.budget
        end = received + budget - min(GUARD, SCANT * budget / 2)
        pending.guard = self.loop.call_later(max(end - self.clock(), 0.0), self.rescue, pending)

    def uploaded(self, number: int) -> None:
        """The last byte of a body that is passed on has come: the request is taken, and its time runs."""
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            now = self.clock()
            pending.end = pending.end_from(now)
            self.set_guard(pending, now)
            self.post(UploadCompleted(number))

    def passing(self, pending: Pending, place: int, headers: bytes, length: int | None) -> Sink | None:
        """An answer's first bytes are there: from now on it belongs to the client."""
        if pending.over:
            return None
        if pending.guard is not None:
            pending.guard.cancel()
        self.post(StreamStarted(pending.number, place))
        pending.sink = pending.exchange.begin(headers, length)
        return pending.sink

    def client_left(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            self.figures.others["client left"] += 1
            self.finish(pending, reason="client left")
            self.post(ClientDisconnected(number))

    def list_told(self, listing: Listing) -> None:
        """Addresses first, then the module, then the ends: what waited there is sent on by the new list."""
        named = {entry.backend.address: entry for entry in listing.entries}
        serving = {a: entry for a, entry in named.items() if entry.backend.status is BackendStatus.SERVING}
        for address, entry in serving.items():
            self.pool.set_address(address, entry.address, entry.backend.started_at)
        if listing.is_full:
            self.serving.clear()
        self.serving.difference_update(named)
        self.serving.update(serving)
        self.trace_list(listing)
        self.list_told_at = self.clock()
        self.post(BackendList(listing.kind, tuple(entry.backend for entry in named.values())))
        for address in named:
            if address not in serving:
                self.pool.retire(address)
        if listing.is_full:
            self.pool.retire_unlisted(named)

    def trace_list(self, listing: Listing) -> None:
        if self.trace is None:
            return
        self.trace.note("list_told", version=listing.generation, kind=listing.kind.value,
                        entries=len(listing.entries), age=self.age_of_list())
        for entry in listing.entries[:MOST_TRACED]:
            self.trace.note("backend_told", backend=entry.backend.address, version=listing.generation,
                            state=entry.backend.status.value)

    def age_of_list(self) -> float:
        """Seconds since the last answer of discovery was taken in."""
        return self.clock() - self.list_told_at

    def counter_told(self, counted: CounterCallEnded) -> None:
        self.counting -= 1
        self.figures.others[f"counter {counted.outcome.value}"] += 1
        self.post(counted)

    def timer_due(self, key: str, due: float) -> None:
        # the loop counts whole milliseconds and may come early: for the module a timer is never early
        self.post(TimerExpired(key), due)

    def attempt_ended(self, pending: Pending, place: int, attempt: Attempt, answer: AttemptResult) -> None:
        pending.out -= 1
        pending.last_outcome = answer.outcome.value
        self.figures.others[f"attempt {answer.outcome.value}"] += 1
        if self.trace is not None:
            self.trace.note("attempt_ended", request=pending.call.call_id, attempt=place,
                            backend=attempt.backend, outcome=answer.outcome.value,
                            after=self.clock() - attempt.sent_at, written=attempt.was_written)
        if pending.sink is not None and not pending.over:
            self.finish(pending, 200 if answer.outcome is Outcome.SERVED else 502)
        elif answer.outcome is Outcome.SERVED and not pending.over:
            self.finish(pending, 200, answer.body, answer.headers)
        elapsed = self.clock() - attempt.sent_at
        over = pending.over
        self.post(AttemptEnded(
            pending.number, place, attempt.backend, answer.outcome, elapsed, over, answer.units, (),
            attempt.upload is None or not attempt.upload.taken))
        self.forget(pending)

    # the module

    def post(self, event: Event, due: float = 0.0) -> None:
        """Hands an event on; one that an action brings about waits until all actions are carried out."""
        self.events.append((event, due))
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                event, due = self.events.popleft()
                self.handle(event, due)
        finally:
            self.handling = False

    def handle(self, event: Event, due: float) -> None:
        try:
            for action in self.gateway.handle(event, max(self.clock(), due)):
                self.act(action)
        except Exception:  # one event that goes wrong must not take the other requests with it
            log.exception("the event %r went wrong", event)

    def act(self, action: Action) -> None:
        carry = self.carry.get(type(action))
        if carry is not None:  # the one other is Subscribe: discovery is followed all the time
            carry(action)

    # what the module wants

    def send(self, action: Send) -> None:
        pending = self.pending.get(action.request)
        if pending is None:
            return log.warning("a send for request %d, which is over and done", action.request)
        now, place = self.clock(), len(pending.attempts)
        until = pending.end if action.timeout <= 0 else min(pending.end, now + action.timeout)
        attempt = Attempt(
            action.backend, pending.call.head, pending.call.body, now, until,
            lambda attempt, answer: self.attempt_ended(pending, place, attempt, answer),
            lambda attempt, headers, length: self.passing(pending, place, headers, length),
            pending.call.upload, now + action.send_window, lambda: self.is_abandoned(pending),
        )
        if self.trace is not None:
            reason = pending.last_outcome or "first"
            self.trace.note("attempt_sent", request=pending.call.call_id, attempt=place, reason=reason,
                            backend=action.backend, left=until - now, list_age=self.age_of_list())
        pending.attempts.append(attempt)
        pending.out += 1
        if pending.over or now >= pending.end:
            return attempt.end(AttemptResult(Outcome.NOT_SENT))
        return self.dialer.start(attempt)

    def is_abandoned(self, pending: Pending) -> bool:
        """True where nobody waits for a request any more; its client's end may not have been read yet."""
        if not pending.over and pending.exchange.client_has_gone():
            self.client_left(pending.number)  # its exchange may not know its number yet
        return pending.over

    def cancel(self, action: Cancel) -> None:
        pending = self.pending.get(action.request)
        if pending is not None and action.attempt < len(pending.attempts):
            pending.attempts[action.attempt].end(AttemptResult(Outcome.CANCELLED))

    def refuse(self, action: Refuse) -> None:
        advice = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0 else b""
        self.finish_number(action.request, 429, b"", advice, action.reason)

    def fail(self, action: Fail) -> None:
        self.finish_number(action.request, 502, reason=action.reason)

    def set_timer(self, action: SetTimer) -> None:
        due = self.clock() + action.delay
        self.loop.call_later(action.delay, self.timer_due, action.key, due)

    def count(self, action: AddToCounter) -> None:
        if self.counter is None:
            return self.post(CounterCallEnded(action.name, Outcome.NO_CONNECTION, 0.0, 0.0))
        self.counting += 1
        return self.counter.add(action.name, action.amount, action.expire_after)

    def hang_up(self, action: CloseUnusedConnections) -> None:
        self.pool.close_unused(action.backend)

    def size(self, action: SetPoolSize) -> None:
        self.pool.set_size(action.backend, action.max_idle, action.max_connections, action.max_idle_time)

    def warm(self, action: Preconnect) -> None:
        self.pool.preconnect(action.backend, action.free_connections)

    # final answers

    def finish_number(
        self, number: int, status: int, body: bytes = b"", headers: bytes = b"", reason: str = ""
    ) -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            self.finish(pending, status, body, headers, reason)
            self.forget(pending)

    def finish(
        self, pending: Pending, status: int = 0, body: bytes = b"", headers: bytes = b"", reason: str = ""
    ) -> None:
        """The one place where a request ends; with no status its client is gone and hears nothing."""
        pending.over = True
        if self.trace is not None:
            self.trace.note("request_ended", request=pending.call.call_id, status=status,
                            reason=reason or "answered", attempts=len(pending.attempts),
                            after=self.clock() - pending.call.received)
        self.unanswered -= 1
        if pending.guard is not None:
            pending.guard.cancel()
        if status:
            self.figures.answered(status, pending.call.klass)
        if pending.sink is None and status:
            pending.exchange.answer(status, body, headers)
        elif pending.sink is not None and status == 200:
            pending.sink.finish()
        elif pending.sink is not None:
            pending.sink.break_off()  # what has gone on can't be taken back, but it must not look whole
        for attempt in pending.attempts:
            if pending.sink is not None and not attempt.ended:
                attempt.end(AttemptResult(Outcome.CANCELLED))
            if not (attempt.ended or attempt.was_assigned):  # it must not be written for a request that is over
                attempt.end(AttemptResult(Outcome.NOT_SENT))

    def forget(self, pending: Pending) -> None:
        if pending.over and not pending.out:
            self.pending.pop(pending.number, None)

    def rescue(self, pending: Pending) -> None:
        """The guard: the module should have ended this request by now, and its client's time is up."""
        if not pending.over:
            log.warning("request %d had no answer from the module at its end", pending.number)
            self.finish(pending, 504, reason="guard")
            self.post(ClientDisconnected(pending.number))
            self.forget(pending)

    def report(self) -> None:
        """One line of figures for the operator: what ended since the last one, how, and what is open."""
        self.reporter = self.loop.call_later(REPORT_EVERY, self.report)
        given_up = Tally({f"gave up {why}": n for why, n in self.gateway.given_up.items()})
        text = self.figures.since(given_up, self.pool.figures + self.list_figures + self.loop_lag.counts)
        if text:
            listed, down = len(self.gateway.servers), self.gateway.down()
            age = f", list {self.list_age():.0f} s old" if self.list_age else ""
            links, idle = len(self.pool.connections), self.pool.idle_count()
            log.info("%s; open %d, connections %d, idle %d, listed %d, down %d%s",
                     text, self.unanswered, links, idle, listed, down, age)
        self.gateway.given_up.clear()

    def metrics(self) -> str:
        """The figures as they are now, for the console."""
        more = {"list_age_s": round(self.list_age())} if self.list_age else {}
        pool = {name.replace(" ", "_"): number for name, number in sorted(self.pool.figures.items())}
        return self.figures.text(
            backend_calls=self.dialer.attempts_written, inflight=self.unanswered,
            hosts_listed=len(self.gateway.servers), hosts_down=self.gateway.down(),
            pool_connections=len(self.pool.connections), pool_idle=self.pool.idle_count(), **pool, **more)

    def tune(self, pool: PoolSettings, aggregation: AggregationSettings | None = None) -> None:
        """Staff have changed how connections are kept, or how counter calls are bounded."""
        self.pool.settings = pool
        self.post(SettingsChanged(pool, aggregation))

    def suspend(self, backend: str) -> bool:
        """Takes a backend out; False where it was never listed."""
        self.post(Suspend(backend))
        return backend in self.gateway.known

    def restore(self, backend: str) -> bool:
        self.post(Restore(backend))
        return backend in self.gateway.known

    def standing(self, backend: str) -> str:
        """What the module holds a backend to be, for staff who wait until nothing goes there."""
        server = self.gateway.servers.get(backend)
        if backend in self.gateway.banned:
            return "taken out"
        if server is not None:
            return server.backend.status.value
        return "gone" if backend in self.gateway.known else "unknown"

    def out(self, backend: str) -> int:
        """Attempts that are out there: each has its connection, or waits for one."""
        return sum(a.backend == backend and not a.ended for p in self.pending.values() for a in p.attempts)

    async def settle(self, at_most: float) -> None:
        """Tells the counter what it was not told; each call ends with its patience, or is left."""
        self.post(FlushCounts())
        end = self.clock() + at_most
        while self.counting and self.clock() < end:
            await asyncio.sleep(LOOK_AGAIN)

    def hand_over(self) -> dict[str, Any]:
        return self.gateway.hand_over(self.clock())

    def take_back(self) -> None:
        self.gateway.handed = False

    def inherit(self, state: dict[str, Any]) -> None:
        self.post(PredecessorState(state))

    def alone(self) -> None:
        self.post(PredecessorEnded())

    def rescue_all(self) -> None:
        """The process ends: what was never sent on is harmless to try again, and told so."""
        for pending in list(self.pending.values()):
            if pending.attempts:
                self.rescue(pending)
            elif not pending.over:
                self.finish(pending, 503, b"", ELSEWHERE, "the process ends")
                self.post(ClientDisconnected(pending.number))
                self.forget(pending)
