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
from embersill.net.backends import Answer, Attempt, Dialer
from embersill.net.bodies import Sink, Upload
from embersill.net.counter import CounterClient
from embersill.net.listing import Listing
from embersill.net.figures import Figures
from embersill.net.trace import LoopLag, Trace

DEADLINE_MARGIN = 0.1  # seconds before the client's end at which the module takes a request to be over: the budget
# runs from the client's send, the answer has its way back, and the core may be busy with another gateway
GUARD_MARGIN = 0.05  # seconds before the client's end at which an unanswered request is failed by the guard
REPORT_INTERVAL = 10.0  # seconds between lines of figures in the log: one bad stretch shows, and few bytes come
UPLOAD_TIMEOUT = 3600.0  # seconds by which the module is told a request ends whose body is still coming: its
# time starts with the last byte, and the clients' side ends what no longer moves
FLUSH_POLL_INTERVAL = 0.005  # seconds between looks for the counter's last answers: its patience is some 30 ms
MAX_TRACED_ENTRIES = 64  # entries of an answer of discovery that the trace names one by one
MAX_MARGIN_SHARE = 0.25  # of the budget, at most, that these two may take
MIN_REMAINING_TIME = 0.5  # seconds that a process which stops must have left for a request to be taken: with less it
# would be sent on for an answer that comes too late, and a gateway that stays can serve it
RETRY_SOON_HEADER = b"Retry-After: 0.05\r\n"  # for a request that another gateway can take at once

log = logging.getLogger("embersill")


@dataclass(slots=True)
class ClientRequest:
    """A client's request in the protocol's terms, as it goes to the module and to backends."""

    received_at: float
    budget: float
    request_class: str
    plan: str
    customer: str
    units: float
    gateway_count: int
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


class PendingRequest:
    """A request that was taken, until it has its answer and the last of its attempts has ended."""

    __slots__ = ("attempts", "request", "deadline", "exchange", "guard_timer", "last_outcome", "request_id", "attempts_in_flight", "ended",
                 "sink")

    def __init__(self, number: int, call: ClientRequest, exchange: Exchange) -> None:
        self.request_id, self.request, self.exchange = number, call, exchange
        self.deadline = call.received_at + UPLOAD_TIMEOUT if call.upload else self.deadline_from(call.received_at)
        self.attempts: list[Attempt] = []
        self.attempts_in_flight, self.ended = 0, False
        self.last_outcome = ""  # of its attempts, for logs: why there is a further one
        self.guard_timer: asyncio.TimerHandle | None = None
        self.sink: Sink | None = None  # an answer is being passed on

    def deadline_from(self, received: float) -> float:
        return received + self.request.budget - min(DEADLINE_MARGIN, MAX_MARGIN_SHARE * self.request.budget)


class Driver:
    """Owns the one Gateway of this process."""

    def __init__(self, gateway: Gateway, clock: Callable[[], float], dialer: Dialer) -> None:
        self.gateway, self.clock, self.dialer, self.pool = gateway, clock, dialer, dialer.pool
        self.pool.open_failed = lambda backend, up: self.post(ConnectFailed(backend, up))
        self.counter: CounterClient | None = None
        self.loop = asyncio.get_running_loop()
        self.pending: dict[int, PendingRequest] = {}
        self.unanswered = 0
        self.pending_counter_calls = 0  # calls of the counter that were not told of yet
        self.last_request_id = 0
        self.stop_deadline = inf  # when all must be answered, once the process stops
        self.list_received_at = clock()
        self.serving: set[str] = set()  # backends that the list shows as serving
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = False
        self.figures, self.loop_lag = Figures(gateway.classes), LoopLag()
        self.trace: Trace | None = None
        self.list_figures: Tally[str] = Tally()
        self.list_age: Callable[[], float] | None = None  # told where the list has several addresses
        self.report_timer = self.loop.call_later(REPORT_INTERVAL, self.log_figures)
        self.action_handlers: dict[type, Callable[..., None]] = {
            Send: self.send, SetTimer: self.set_timer, Refuse: self.refuse, Fail: self.fail,
            Cancel: self.cancel, AddToCounter: self.add_to_counter,
            CloseUnusedConnections: self.close_unused_connections, SetPoolSize: self.set_pool_size, Preconnect: self.preconnect,
        }

    def use_trace(self, trace: Trace | None) -> None:
        """Traces requests, the list and connections from now on, if there is a trace."""
        self.trace = trace
        if trace is not None:
            self.pool.closed_for = lambda backend, reason: trace.note(
                "backend_connection_closed", backend=backend, reason=reason)

    # what happened

    def accept_request(self, call: ClientRequest, exchange: Exchange) -> int:
        """A client's request; its number is the module's name for it, and nought if it came too late."""
        if self.stop_deadline - self.clock() < min(MIN_REMAINING_TIME, call.budget):
            self.figures.count_answer(503, call.request_class)
            exchange.answer(503, b"", RETRY_SOON_HEADER)
            return 0
        self.last_request_id += 1
        pending = PendingRequest(self.last_request_id, call, exchange)
        pending.deadline = min(pending.deadline, self.stop_deadline - GUARD_MARGIN)
        self.pending[pending.request_id] = pending
        self.unanswered += 1
        if self.trace is not None:
            self.trace.note("request_taken", request=call.call_id, klass=call.request_class, customer=call.customer,
                            budget=call.budget, read_late=self.clock() - call.received_at)
        if call.upload is None:
            self.start_guard_timer(pending, call.received_at)
        self.post(Request(
            pending.request_id, call.request_class, call.plan, call.customer, pending.deadline, call.units, call.gateway_count,
            call.first_gateway, call.repeat, call.upload is not None,
        ))
        return pending.request_id

    def start_guard_timer(self, pending: PendingRequest, received: float) -> None:
        budget = pending.request.budget
        end = received + budget - min(GUARD_MARGIN, MAX_MARGIN_SHARE * budget / 2)
        pending.guard_timer = self.loop.call_later(max(end - self.clock(), 0.0), self.fail_unanswered, pending)

    def on_upload_completed(self, number: int) -> None:
        """The last byte of a body that is passed on has come: the request is taken, and its time runs."""
        pending = self.pending.get(number)
        if pending is not None and not pending.ended:
            now = self.clock()
            pending.deadline = pending.deadline_from(now)
            self.start_guard_timer(pending, now)
            self.post(UploadCompleted(number))

    def start_stream(self, pending: PendingRequest, place: int, headers: bytes, length: int | None) -> Sink | None:
        """An answer's first bytes are there: from now on it belongs to the client."""
        if pending.ended:
            return None
        if pending.guard_timer is not None:
            pending.guard_timer.cancel()
        self.post(StreamStarted(pending.request_id, place))
        pending.sink = pending.exchange.begin(headers, length)
        return pending.sink

    def on_client_disconnected(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.ended:
            self.figures.other_counts["client left"] += 1
            self.finish(pending, reason="client left")
            self.post(ClientDisconnected(number))

    def on_list(self, listing: Listing) -> None:
        """Addresses first, then the module, then the ends: what waited there is sent on by the new list."""
        named = {entry.backend.address: entry for entry in listing.entries}
        serving = {a: entry for a, entry in named.items() if entry.backend.status is BackendStatus.SERVING}
        for address, entry in serving.items():
            self.pool.set_address(address, entry.address, entry.backend.started_at)
        if listing.whole:
            self.serving.clear()
        self.serving.difference_update(named)
        self.serving.update(serving)
        self.trace_list(listing)
        self.list_received_at = self.clock()
        self.post(BackendList(listing.kind, tuple(entry.backend for entry in named.values())))
        for address in named:
            if address not in serving:
                self.pool.retire(address)
        if listing.whole:
            self.pool.forget_others(named)

    def trace_list(self, listing: Listing) -> None:
        if self.trace is None:
            return
        self.trace.note("list_told", version=listing.generation, kind=listing.kind.value,
                        entries=len(listing.entries), age=self.time_since_list())
        for entry in listing.entries[:MAX_TRACED_ENTRIES]:
            self.trace.note("backend_told", backend=entry.backend.address, version=listing.generation,
                            state=entry.backend.status.value)

    def time_since_list(self) -> float:
        """Seconds since the last answer of discovery was taken in."""
        return self.clock() - self.list_received_at

    def on_counter_call_ended(self, counted: CounterCallEnded) -> None:
        self.pending_counter_calls -= 1
        self.figures.other_counts[f"counter {counted.outcome.value}"] += 1
        self.post(counted)

    def on_timer_expired(self, key: str, due: float) -> None:
        # the loop counts whole milliseconds and may come early: for the module a timer is never early
        self.post(TimerExpired(key), due)

    def on_attempt_ended(self, pending: PendingRequest, place: int, attempt: Attempt, answer: Answer) -> None:
        pending.attempts_in_flight -= 1
        pending.last_outcome = answer.outcome.value
        self.figures.other_counts[f"attempt {answer.outcome.value}"] += 1
        if self.trace is not None:
            self.trace.note("attempt_ended", request=pending.request.call_id, attempt=place,
                            backend=attempt.backend, outcome=answer.outcome.value,
                            after=self.clock() - attempt.sent_at, written=attempt.was_written)
        if pending.sink is not None and not pending.ended:
            self.finish(pending, 200 if answer.outcome is Outcome.SERVED else 502)
        elif answer.outcome is Outcome.SERVED and not pending.ended:
            self.finish(pending, 200, answer.body, answer.headers)
        elapsed = self.clock() - attempt.sent_at
        over = pending.ended
        self.post(AttemptEnded(
            pending.request_id, place, attempt.backend, answer.outcome, elapsed, over, answer.units, (),
            attempt.upload is None or not attempt.upload.taken))
        self.drop_if_done(pending)

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
                self.execute(action)
        except Exception:  # one event that goes wrong must not take the other requests with it
            log.exception("the event %r went wrong", event)

    def execute(self, action: Action) -> None:
        carry = self.action_handlers.get(type(action))
        if carry is not None:  # the one other is Subscribe: discovery is followed all the time
            carry(action)

    # what the module wants

    def send(self, action: Send) -> None:
        pending = self.pending.get(action.request)
        if pending is None:
            return log.warning("a send for request %d, which is over and done", action.request)
        now, place = self.clock(), len(pending.attempts)
        until = pending.deadline if action.timeout <= 0 else min(pending.deadline, now + action.timeout)
        attempt = Attempt(
            action.backend, pending.request.head, pending.request.body, now, until,
            lambda attempt, answer: self.on_attempt_ended(pending, place, attempt, answer),
            lambda attempt, headers, length: self.start_stream(pending, place, headers, length),
            pending.request.upload, now + action.send_window, lambda: self.is_abandoned(pending),
        )
        if self.trace is not None:
            reason = pending.last_outcome or "first"
            self.trace.note("attempt_sent", request=pending.request.call_id, attempt=place, reason=reason,
                            backend=action.backend, left=until - now, list_age=self.time_since_list())
        pending.attempts.append(attempt)
        pending.attempts_in_flight += 1
        if pending.ended or now >= pending.deadline:
            return attempt.end(Answer(Outcome.NOT_SENT))
        return self.dialer.start(attempt)

    def is_abandoned(self, pending: PendingRequest) -> bool:
        """True where nobody waits for a request any more; its client's end may not have been read yet."""
        if not pending.ended and pending.exchange.client_has_gone():
            self.on_client_disconnected(pending.request_id)  # its exchange may not know its number yet
        return pending.ended

    def cancel(self, action: Cancel) -> None:
        pending = self.pending.get(action.request)
        if pending is not None and action.attempt < len(pending.attempts):
            pending.attempts[action.attempt].end(Answer(Outcome.CANCELLED))

    def refuse(self, action: Refuse) -> None:
        advice = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0 else b""
        self.finish_request(action.request, 429, b"", advice, action.reason)

    def fail(self, action: Fail) -> None:
        self.finish_request(action.request, 502, reason=action.reason)

    def set_timer(self, action: SetTimer) -> None:
        due = self.clock() + action.delay
        self.loop.call_later(action.delay, self.on_timer_expired, action.key, due)

    def add_to_counter(self, action: AddToCounter) -> None:
        if self.counter is None:
            return self.post(CounterCallEnded(action.name, Outcome.NO_CONNECTION, 0.0, 0.0))
        self.pending_counter_calls += 1
        return self.counter.add(action.name, action.amount, action.expire_after)

    def close_unused_connections(self, action: CloseUnusedConnections) -> None:
        self.pool.hang_up(action.backend)

    def set_pool_size(self, action: SetPoolSize) -> None:
        self.pool.set_size(action.backend, action.max_idle, action.max_connections, action.max_idle_time)

    def preconnect(self, action: Preconnect) -> None:
        self.pool.warm(action.backend, action.free_connections)

    # final answers

    def finish_request(
        self, number: int, status: int, body: bytes = b"", headers: bytes = b"", reason: str = ""
    ) -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.ended:
            self.finish(pending, status, body, headers, reason)
            self.drop_if_done(pending)

    def finish(
        self, pending: PendingRequest, status: int = 0, body: bytes = b"", headers: bytes = b"", reason: str = ""
    ) -> None:
        """The one place where a request ends; with no status its client is gone and hears nothing."""
        pending.ended = True
        if self.trace is not None:
            self.trace.note("request_ended", request=pending.request.call_id, status=status,
                            reason=reason or "answered", attempts=len(pending.attempts),
                            after=self.clock() - pending.request.received_at)
        self.unanswered -= 1
        if pending.guard_timer is not None:
            pending.guard_timer.cancel()
        if status:
            self.figures.count_answer(status, pending.request.request_class)
        if pending.sink is None and status:
            pending.exchange.answer(status, body, headers)
        elif pending.sink is not None and status == 200:
            pending.sink.finish()
        elif pending.sink is not None:
            pending.sink.break_off()  # what has gone on can't be taken back, but it must not look whole
        for attempt in pending.attempts:
            if pending.sink is not None and not attempt.ended:
                attempt.end(Answer(Outcome.CANCELLED))
            if not (attempt.ended or attempt.written):  # it must not be written for a request that is over
                attempt.end(Answer(Outcome.NOT_SENT))

    def drop_if_done(self, pending: PendingRequest) -> None:
        if pending.ended and not pending.attempts_in_flight:
            self.pending.pop(pending.request_id, None)

    def fail_unanswered(self, pending: PendingRequest) -> None:
        """The guard: the module should have ended this request by now, and its client's time is up."""
        if not pending.ended:
            log.warning("request %d had no answer from the module at its end", pending.request_id)
            self.finish(pending, 504, reason="guard")
            self.post(ClientDisconnected(pending.request_id))
            self.drop_if_done(pending)

    def log_figures(self) -> None:
        """One line of figures for the operator: what ended since the last one, how, and what is open."""
        self.report_timer = self.loop.call_later(REPORT_INTERVAL, self.log_figures)
        given_up = Tally({f"gave up {why}": n for why, n in self.gateway.given_up.items()})
        text = self.figures.report_changes(given_up, self.pool.figures + self.list_figures + self.loop_lag.counts)
        if text:
            listed, down = len(self.gateway.servers), self.gateway.down()
            age = f", list {self.list_age():.0f} s old" if self.list_age else ""
            links, idle = len(self.pool.links), self.pool.idle()
            log.info("%s; open %d, connections %d, idle %d, listed %d, down %d%s",
                     text, self.unanswered, links, idle, listed, down, age)
        self.gateway.given_up.clear()

    def metrics(self) -> str:
        """The figures as they are now, for the console."""
        more = {"list_age_s": round(self.list_age())} if self.list_age else {}
        pool = {name.replace(" ", "_"): number for name, number in sorted(self.pool.figures.items())}
        return self.figures.to_json(
            backend_calls=self.dialer.written, inflight=self.unanswered,
            hosts_listed=len(self.gateway.servers), hosts_down=self.gateway.down(),
            pool_connections=len(self.pool.links), pool_idle=self.pool.idle(), **pool, **more)

    def change_settings(self, pool: PoolSettings, aggregation: AggregationSettings | None = None) -> None:
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

    def backend_state(self, backend: str) -> str:
        """What the module holds a backend to be, for staff who wait until nothing goes there."""
        server = self.gateway.servers.get(backend)
        if backend in self.gateway.banned:
            return "taken out"
        if server is not None:
            return server.backend.status.value
        return "gone" if backend in self.gateway.known else "unknown"

    def attempts_in_flight(self, backend: str) -> int:
        """Attempts that are out there: each has its connection, or waits for one."""
        return sum(a.backend == backend and not a.ended for p in self.pending.values() for a in p.attempts)

    async def flush_counts(self, at_most: float) -> None:
        """Tells the counter what it was not told; each call ends with its patience, or is left."""
        self.post(FlushCounts())
        end = self.clock() + at_most
        while self.pending_counter_calls and self.clock() < end:
            await asyncio.sleep(FLUSH_POLL_INTERVAL)

    def hand_over(self) -> dict[str, Any]:
        return self.gateway.hand_over(self.clock())

    def cancel_hand_over(self) -> None:
        self.gateway.handed = False

    def load_predecessor_state(self, state: dict[str, Any]) -> None:
        self.post(PredecessorState(state))

    def on_predecessor_ended(self) -> None:
        self.post(PredecessorEnded())

    def fail_all_unanswered(self) -> None:
        """The process ends: what was never sent on is harmless to try again, and told so."""
        for pending in list(self.pending.values()):
            if pending.attempts:
                self.fail_unanswered(pending)
            elif not pending.ended:
                self.finish(pending, 503, b"", RETRY_SOON_HEADER, "the process ends")
                self.post(ClientDisconnected(pending.request_id))
                self.drop_if_done(pending)
