"""Connects the decision module to the sockets and gives each client request exactly one final answer.

The driver passes what happens at the sockets to the decision module as events, and executes its actions in
order. It decides nothing itself, with one exception: a guard timer fails, and logs, a request that the module
leaves without an answer.
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
    Outcome, PeerRun, PoolSettings, Preconnect, PredecessorEnded, PredecessorState, Refuse, Request, Restore,
    Send, SetPoolSize, SetTimer, SettingsChanged, ShareRun, StreamStarted, Suspend, TimerExpired,
    UploadCompleted,
)
from embersill.net.backends import AttemptResult, Attempt, Dialer
from embersill.net.bodies import Sink, Upload
from embersill.net.counter import CounterClient
from embersill.net.list_position import ListStatus
from embersill.net.listing import Listing
from embersill.net.figures import Figures
from embersill.net.memory import MB, UNCHARGED_SIZE, Account, MemoryBudget
from embersill.net.overload import OverloadManager
from embersill.net.trace import LoopLag, Trace

# Seconds between the deadline of the decision module and the end of the client's budget: the budget runs from
# the client's send, the answer needs its way back, and another gateway may keep the core busy.
DEADLINE_MARGIN = 0.1
GUARD_MARGIN = 0.05  # seconds before the end of the budget at which the guard fails an unanswered request
# Seconds between log lines of figures: short enough to show one bad stretch, long enough for a small log.
REPORT_INTERVAL = 10.0
# Seconds: the deadline that the decision module gets while the body is still being received, as the budget
# starts with the last byte.
UPLOAD_TIMEOUT = 3600.0
FLUSH_POLL_INTERVAL = 0.005  # seconds between checks for the last counter calls; these time out in some 30 ms
MAX_TRACED_ENTRIES = 64  # entries of one list that are traced each
MAX_MARGIN_SHARE = 0.25  # fraction of the budget that DEADLINE_MARGIN may take, GUARD_MARGIN half of it
# Seconds that a stopping process must have left to accept a request. With less, its answer would come too
# late, while a gateway that goes on can serve it.
MIN_REMAINING_TIME = 0.5
RETRY_SOON_HEADER = b"Retry-After: 0.05\r\n"  # another gateway can accept the request at once

log = logging.getLogger("embersill")


@dataclass(slots=True)
class ClientRequest:
    """A client's request in terms of the protocol, as passed to the decision module and to backends.

    received_at: moment by the gateway's clock
    budget: seconds from the client's send within which it awaits the answer
    gateway_count: number of gateways that serve this customer
    first_gateway: index of the first of these gateways
    repeat: the client has sent this request before
    """

    received_at: float
    budget: float
    request_class: str
    plan: str
    customer: str
    units: float
    gateway_count: int
    first_gateway: int
    repeat: bool
    head: bytes  # request line and headers for a backend, without the budget and the blank line
    body: bytes
    upload: Upload | None = None  # the body, if it is streamed to the backend
    call_id: str = ""  # X-Call-Id, for logs


class Exchange(Protocol):
    """The client's side of a request, which its answer is written to."""

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None: ...

    def begin(self, headers: bytes, length: int | None) -> Sink: ...

    def has_room_for(self, size: int) -> bool: ...

    def client_has_gone(self) -> bool: ...

    def close_may_be_hidden(self) -> bool: ...


class PendingRequest:
    """An accepted request, until it has its answer and all its attempts have ended."""

    __slots__ = (
        "account", "attempts", "attempts_in_flight", "deadline", "ended", "exchange", "guard_timer",
        "last_outcome", "request", "request_id", "sink",
    )

    def __init__(
        self, request_id: int, request: ClientRequest, exchange: Exchange, memory: MemoryBudget
    ) -> None:
        self.account: Account | None = None  # for the body, which is kept for further attempts
        if len(request.body) > UNCHARGED_SIZE:
            self.account = Account(memory)
            self.account.charge(len(request.body))
        self.request_id, self.request, self.exchange = request_id, request, exchange
        self.deadline = (request.received_at + UPLOAD_TIMEOUT if request.upload
                         else self.deadline_from(request.received_at))
        self.attempts: list[Attempt] = []
        self.attempts_in_flight, self.ended = 0, False
        self.last_outcome = ""  # of its attempts; traced as the reason of the next one
        self.guard_timer: asyncio.TimerHandle | None = None
        self.sink: Sink | None = None  # set while an answer is streamed

    def deadline_from(self, received_at: float) -> float:
        """Returns the decision module's deadline for a request that was received at `received_at`."""
        return received_at + self.request.budget - min(
            DEADLINE_MARGIN, MAX_MARGIN_SHARE * self.request.budget)


class Driver:
    """Runs the decision module of this process, its only Gateway."""

    def __init__(self, gateway: Gateway, clock: Callable[[], float], dialer: Dialer) -> None:
        self.gateway, self.clock, self.dialer, self.pool = gateway, clock, dialer, dialer.pool
        self.memory = dialer.memory
        self.pool.on_open_failed = lambda backend, open_connections: self.post(
            ConnectFailed(backend, open_connections))
        self.counter: CounterClient | None = None
        self.loop = asyncio.get_running_loop()
        self.pending: dict[int, PendingRequest] = {}
        self.unanswered = 0
        self.pending_counter_calls = 0  # without an answer so far
        self.last_request_id = 0
        self.stop_deadline = inf  # moment by which all must be answered, once the process stops
        self.list_received_at = clock()
        self.serving: set[str] = set()  # addresses of the backends that are listed as serving
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = False
        self.figures, self.loop_lag = Figures(gateway.classes), LoopLag()
        self.trace: Trace | None = None
        self.overload: OverloadManager | None = None
        self.list_figures: Tally[str] = Tally()
        self.list_status: Callable[[], ListStatus] | None = None
        self.report_timer = self.loop.call_later(REPORT_INTERVAL, self.log_figures)
        self.action_handlers: dict[type, Callable[..., None]] = {
            Send: self.send, SetTimer: self.set_timer, Refuse: self.refuse, Fail: self.fail,
            Cancel: self.cancel, AddToCounter: self.add_to_counter,
            CloseUnusedConnections: self.close_unused_connections, SetPoolSize: self.set_pool_size,
            Preconnect: self.preconnect, ShareRun: lambda action: self.share_run(action.run),
        }
        self.share_run: Callable[[PeerRun], None] = lambda run: None  # with the other process of an upgrade

    def use_trace(self, trace: Trace | None) -> None:
        """Traces requests, lists and connections from now on; None for no trace."""
        self.trace = trace
        if trace is not None:
            self.pool.on_close = lambda backend, reason: trace.note(
                "backend_connection_closed", backend=backend, reason=reason)

    # events from the sockets

    def accept_request(self, request: ClientRequest, exchange: Exchange) -> int:
        """Returns the id of the accepted request, or 0 if it is rejected because the process stops."""
        if self.stop_deadline - self.clock() < min(MIN_REMAINING_TIME, request.budget):
            self.reject_request(request, exchange)
            return 0
        self.end_abandoned(request)
        self.last_request_id += 1
        pending = PendingRequest(self.last_request_id, request, exchange, self.memory)
        pending.deadline = min(pending.deadline, self.stop_deadline - GUARD_MARGIN)
        self.pending[pending.request_id] = pending
        self.unanswered += 1
        if self.trace is not None:
            self.trace.note(
                "request_taken", request=request.call_id, klass=request.request_class,
                customer=request.customer, budget=request.budget,
                read_late=self.clock() - request.received_at)
        if request.upload is None:
            self.start_guard_timer(pending, request.received_at)
        self.post(Request(
            pending.request_id, request.request_class, request.plan, request.customer, pending.deadline,
            request.units, request.gateway_count, request.first_gateway, request.repeat,
            request.upload is not None, request.call_id,
        ))
        return pending.request_id

    def end_abandoned(self, request: ClientRequest) -> None:
        """Ends an earlier request with this client's id if its client has left; the loop may not know."""
        open_id = self.gateway.find_open(request.customer, request.call_id)
        pending = None if open_id is None else self.pending.get(open_id)
        if pending is not None and not pending.ended:
            self.is_abandoned(pending)

    def reject_request(self, request: ClientRequest, exchange: Exchange) -> None:
        """Answers a request that is not accepted; another gateway may have room for it."""
        may_refuse = self.gateway.may_refuse(Request(
            0, request.request_class, request.plan, request.customer, 0.0, request.units,
            request.gateway_count, request.first_gateway, request.repeat, call_id=request.call_id))
        status = 503 if may_refuse else 502
        self.figures.count_answer(status, request.request_class)
        exchange.answer(status, b"", RETRY_SOON_HEADER if may_refuse else b"")

    def start_guard_timer(self, pending: PendingRequest, received_at: float) -> None:
        budget = pending.request.budget
        expires_at = received_at + budget - min(GUARD_MARGIN, MAX_MARGIN_SHARE * budget / 2)
        pending.guard_timer = self.loop.call_later(
            max(expires_at - self.clock(), 0.0), self.fail_unanswered, pending)

    def on_body_delayed(self, request_id: int, written_at: float | None) -> None:
        """Limits a request whose streamed body is not read to its end, although it may be written by now.

        written_at: when the client may have written the last byte; None: it has not written that yet
        """
        pending = self.pending.get(request_id)
        if pending is not None and not pending.ended:
            if self.trace is not None:
                waited = None if written_at is None else self.clock() - written_at
                self.trace.note("body_delayed", request=pending.request.call_id, waited=waited)
            self.limit_upload(pending, written_at)

    def on_upload_completed(self, request_id: int, written_at: float) -> None:
        """Starts the budget of a request, as the last byte of its streamed body has been received.

        written_at: when the client wrote the last byte, at the earliest
        """
        pending = self.pending.get(request_id)
        if pending is not None and not pending.ended:
            if self.trace is not None:
                self.trace.note("body_complete", request=pending.request.call_id,
                                read_late=self.clock() - written_at)
            self.limit_upload(pending, written_at)
            self.post(UploadCompleted(request_id))

    def limit_upload(self, pending: PendingRequest, written_at: float | None) -> None:
        """Sets the deadline of a request by the time of its last byte; None while the client writes."""
        deadline = pending.request.received_at + UPLOAD_TIMEOUT
        if written_at is not None:
            deadline = pending.deadline_from(written_at)
        pending.deadline = min(deadline, self.stop_deadline - GUARD_MARGIN)
        if pending.guard_timer is not None:
            pending.guard_timer.cancel()
        if pending.sink is not None:
            return  # an answer that has begun goes on to its end
        if written_at is not None:
            self.start_guard_timer(pending, written_at)
        for attempt in pending.attempts:
            if not attempt.ended:
                self.dialer.limit_upload(attempt, pending.deadline)

    def start_stream(
        self, pending: PendingRequest, attempt_number: int, headers: bytes, length: int | None
    ) -> Sink | None:
        """Starts to stream an attempt's answer, of `length` bytes if that is known, to the client.

        Returns None if the request has ended.
        """
        if pending.ended:
            return None
        if pending.guard_timer is not None:
            pending.guard_timer.cancel()
        self.post(StreamStarted(pending.request_id, attempt_number))
        pending.sink = pending.exchange.begin(headers, length)
        return pending.sink

    def on_client_disconnected(self, request_id: int) -> None:
        pending = self.pending.get(request_id)
        if pending is not None and not pending.ended:
            self.figures.other_counts["client left"] += 1
            self.finish(pending, reason="client left")
            self.post(ClientDisconnected(request_id))
            self.drop_if_done(pending)

    def on_list(self, listing: Listing) -> None:
        """Applies a list from discovery.

        The pool gets new addresses before the decision module gets the list, and retires backends after it:
        the attempts that waited for them are then sent again by the new list.
        """
        listed = {entry.backend.address: entry for entry in listing.entries}
        serving = {a: entry for a, entry in listed.items() if entry.backend.status is BackendStatus.SERVING}
        for address, entry in serving.items():
            self.pool.set_address(address, entry.address, entry.backend.started_at)
        if listing.is_full:
            self.serving.clear()
        self.serving.difference_update(listed)
        self.serving.update(serving)
        self.trace_list(listing)
        self.list_received_at = self.clock()
        self.post(BackendList(listing.kind, tuple(entry.backend for entry in listed.values())))
        for address in listed:
            if address not in serving:
                self.pool.retire(address)
        if listing.is_full:
            self.pool.retire_unlisted(listed)

    def trace_list(self, listing: Listing) -> None:
        if self.trace is None:
            return
        self.trace.note("list_told", version=listing.generation, kind=listing.kind.value,
                        entries=len(listing.entries), age=self.time_since_list())
        for entry in listing.entries[:MAX_TRACED_ENTRIES]:
            self.trace.note("backend_told", backend=entry.backend.address, version=listing.generation,
                            state=entry.backend.status.value)

    def time_since_list(self) -> float:
        """Returns the seconds since the last list was received."""
        return self.clock() - self.list_received_at

    def on_counter_call_ended(self, counted: CounterCallEnded) -> None:
        self.pending_counter_calls -= 1
        self.figures.other_counts[f"counter {counted.outcome.value}"] += 1
        self.post(counted)

    def on_timer_expired(self, key: str, due: float) -> None:
        # The loop rounds to milliseconds and may be early; for the decision module a timer never is.
        self.post(TimerExpired(key), due)

    def on_attempt_ended(
        self, pending: PendingRequest, attempt_number: int, attempt: Attempt, answer: AttemptResult
    ) -> None:
        pending.attempts_in_flight -= 1
        pending.last_outcome = answer.outcome.value
        self.figures.other_counts[f"attempt {answer.outcome.value}"] += 1
        if self.trace is not None:
            self.trace.note("attempt_ended", request=pending.request.call_id, attempt=attempt_number,
                            backend=attempt.backend, outcome=answer.outcome.value,
                            after=self.clock() - attempt.sent_at, written=attempt.was_written)
        if pending.sink is not None and not pending.ended:
            self.finish(pending, 200 if answer.outcome is Outcome.SERVED else 502)
        elif answer.outcome is Outcome.SERVED and not pending.ended:
            self.finish(pending, 200, answer.body, answer.headers)
        elapsed = self.clock() - attempt.sent_at
        request_ended = pending.ended
        self.post(AttemptEnded(
            pending.request_id, attempt_number, attempt.backend, answer.outcome, elapsed, request_ended,
            answer.units, (), attempt.upload is None or not attempt.upload.started))
        self.drop_if_done(pending)

    # the decision module

    def post(self, event: Event, due: float = 0.0) -> None:
        """Passes an event to the decision module, at the moment `due` or now if that is later.

        An event that an action causes is queued until all actions before it are executed.
        """
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
        except Exception:  # a failure with one event must not affect the other requests
            log.exception("handling the event %r failed", event)

    def execute(self, action: Action) -> None:
        handler = self.action_handlers.get(type(action))
        if handler is not None:  # only Subscribe has none: discovery is always watched
            handler(action)

    # actions of the decision module

    def send(self, action: Send) -> None:
        pending = self.pending.get(action.request)
        if pending is None:
            return log.warning("attempt for request %d, which has ended", action.request)
        now, attempt_number = self.clock(), len(pending.attempts)
        until = pending.deadline if action.timeout <= 0 else min(pending.deadline, now + action.timeout)
        attempt = Attempt(
            action.backend, pending.request.head, pending.request.body, now, until,
            lambda attempt, answer: self.on_attempt_ended(pending, attempt_number, attempt, answer),
            lambda attempt, headers, length: self.start_stream(pending, attempt_number, headers, length),
            pending.request.upload, now + action.send_window, lambda: self.is_abandoned(pending),
            pending.deadline,
        )
        if self.trace is not None:
            reason = pending.last_outcome or "first"
            self.trace.note(
                "attempt_sent", request=pending.request.call_id, attempt=attempt_number, reason=reason,
                backend=action.backend, left=until - now, list_age=self.time_since_list())
        pending.attempts.append(attempt)
        pending.attempts_in_flight += 1
        if pending.ended or now >= pending.deadline:
            return attempt.end(AttemptResult(Outcome.NOT_SENT))
        return self.dialer.start(attempt)

    def is_abandoned(self, pending: PendingRequest) -> bool:
        """Returns True if the request has ended or its client has disconnected, even if not yet noticed."""
        if not pending.ended and pending.exchange.client_has_gone():
            self.on_client_disconnected(pending.request_id)  # the exchange may not know this id yet
        if not pending.ended and pending.exchange.close_may_be_hidden():
            self.end_unseen(pending)
        return pending.ended

    def end_unseen(self, pending: PendingRequest) -> None:
        """Answers a request whose client may have gone, so that no attempt begins for it."""
        may_have_run = any(attempt.was_written for attempt in pending.attempts)
        status = 502 if may_have_run or self.gateway.has_earlier_run(pending.request_id) else 503
        self.finish(pending, status, b"", RETRY_SOON_HEADER, "its client may have gone")
        self.post(ClientDisconnected(pending.request_id))
        self.drop_if_done(pending)

    def cancel(self, action: Cancel) -> None:
        pending = self.pending.get(action.request)
        if pending is not None and action.attempt < len(pending.attempts):
            pending.attempts[action.attempt].end(AttemptResult(Outcome.CANCELLED))

    def refuse(self, action: Refuse) -> None:
        header = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0 else b""
        self.finish_request(action.request, 429, b"", header, action.reason)

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
        self.pool.close_unused(action.backend)

    def set_pool_size(self, action: SetPoolSize) -> None:
        self.pool.set_size(action.backend, action.max_idle, action.max_connections, action.max_idle_time)

    def preconnect(self, action: Preconnect) -> None:
        self.pool.preconnect(action.backend, action.free_connections)

    # final answers

    def finish_request(
        self, request_id: int, status: int, body: bytes = b"", headers: bytes = b"", reason: str = ""
    ) -> None:
        pending = self.pending.get(request_id)
        if pending is not None and not pending.ended:
            self.finish(pending, status, body, headers, reason)
            self.drop_if_done(pending)

    def finish(
        self, pending: PendingRequest, status: int = 0, body: bytes = b"", headers: bytes = b"",
        reason: str = "",
    ) -> None:
        """Ends a request with its final answer, or without one (status 0) if its client has disconnected.

        Every request ends here, and only once.
        """
        pending.ended = True
        if self.trace is not None:
            self.trace.note("request_ended", request=pending.request.call_id, status=status,
                            reason=reason or "answered", attempts=len(pending.attempts),
                            after=self.clock() - pending.request.received_at)
        self.unanswered -= 1
        if pending.guard_timer is not None:
            pending.guard_timer.cancel()
            pending.guard_timer = None
        if len(body) > UNCHARGED_SIZE and not pending.exchange.has_room_for(len(body)):
            status, body, headers, reason = 502, b"", b"", "no memory for the answer"
        if status:
            self.figures.count_answer(status, pending.request.request_class)
        if pending.sink is None and status:
            pending.exchange.answer(status, body, headers)
        elif pending.sink is not None and status == 200:
            pending.sink.finish()
        elif pending.sink is not None:
            pending.sink.abort()  # what was sent can't be taken back, but it must not look complete
        for attempt in pending.attempts:
            if pending.sink is not None and not attempt.ended:
                attempt.end(AttemptResult(Outcome.CANCELLED))
            # it must not be written for a request that has ended
            if not (attempt.ended or attempt.was_assigned):
                attempt.end(AttemptResult(Outcome.NOT_SENT))

    def drop_if_done(self, pending: PendingRequest) -> None:
        if pending.ended and not pending.attempts_in_flight:
            if pending.account is not None:
                pending.account.charge(0)
            pending.attempts.clear()  # they refer to the request
            self.pending.pop(pending.request_id, None)

    def fail_unanswered(self, pending: PendingRequest) -> None:
        """Fails a request that the decision module should have answered by now, as its budget is used up."""
        if not pending.ended:
            log.warning("request %d had no answer from the decision module in time", pending.request_id)
            self.finish(pending, 504, reason="guard")
            self.post(ClientDisconnected(pending.request_id))
            self.drop_if_done(pending)

    def log_figures(self) -> None:
        """Logs one line of figures: what ended since the last one, how, and what is open."""
        self.report_timer = self.loop.call_later(REPORT_INTERVAL, self.log_figures)
        given_up = Tally({f"gave up {reason}": count for reason, count in self.gateway.given_up.items()})
        text = self.figures.report_changes(
            given_up, self.pool.figures + self.list_figures + self.loop_lag.counts)
        if text:
            listed, down = len(self.gateway.servers), self.gateway.count_unavailable()
            status = f", {self.list_status()}" if self.list_status else ""
            connections, idle = len(self.pool.connections), self.pool.idle_count()
            log.info("%s; open %d, connections %d, idle %d, listed %d, down %d%s%s",
                     text, self.unanswered, connections, idle, listed, down, status, self.memory_figures())
        self.gateway.given_up.clear()

    def memory_figures(self) -> str:
        """The memory for the log line: of the process, and charged for peers."""
        if self.overload is None:
            return ""
        return f", memory {self.overload.anonymous / MB:.1f} MB, charged {self.memory.used / MB:.1f} MB"

    def metrics(self) -> str:
        """Returns the present figures as JSON, for the console."""
        more: dict[str, int | str] = {}
        if self.list_status is not None:
            status = self.list_status()
            more = {"list_generation": status.generation, "list_source": status.source.value}
            if status.age is not None:
                more["list_age_s"] = round(status.age)
        if self.overload is not None:
            more["memory_bytes"] = self.overload.anonymous
        pool = {name.replace(" ", "_"): number for name, number in sorted(self.pool.figures.items())}
        return self.figures.to_json(
            backend_calls=self.dialer.attempts_written, inflight=self.unanswered,
            hosts_listed=len(self.gateway.servers), hosts_down=self.gateway.count_unavailable(),
            pool_connections=len(self.pool.connections), pool_idle=self.pool.idle_count(),
            charged_bytes=self.memory.used, **pool, **more)

    def change_settings(self, pool: PoolSettings, aggregation: AggregationSettings | None = None) -> None:
        """Applies an operator's change of the connection pools or of the limit on counter calls."""
        self.pool.settings = pool
        self.post(SettingsChanged(pool, aggregation))

    def suspend(self, backend: str) -> bool:
        """Suspends a backend; returns False if it was never listed."""
        self.post(Suspend(backend))
        return backend in self.gateway.known_addresses

    def restore(self, backend: str) -> bool:
        """Ends the suspension of a backend; returns False if it was never listed."""
        self.post(Restore(backend))
        return backend in self.gateway.known_addresses

    def backend_state(self, backend: str) -> str:
        """Returns a backend's state in the decision module, for an operator who waits for its drain."""
        server = self.gateway.servers.get(backend)
        if backend in self.gateway.suspended:
            return "taken out"
        if server is not None:
            return server.backend.status.value
        return "gone" if backend in self.gateway.known_addresses else "unknown"

    def attempts_in_flight(self, backend: str) -> int:
        """Counts the attempts to a backend that have a connection or wait for one."""
        return sum(a.backend == backend and not a.ended for p in self.pending.values() for a in p.attempts)

    async def flush_counts(self, at_most: float) -> None:
        """Reports the remaining units to the counter; waits up to `at_most` seconds for the calls to end."""
        self.post(FlushCounts())
        end = self.clock() + at_most
        while self.pending_counter_calls and self.clock() < end:
            await asyncio.sleep(FLUSH_POLL_INTERVAL)

    def hand_over(self) -> dict[str, Any]:
        return self.gateway.hand_over(self.clock())

    def cancel_hand_over(self) -> None:
        self.gateway.handed_over = self.gateway.shares_runs = False

    def load_predecessor_state(self, state: dict[str, Any]) -> None:
        self.post(PredecessorState(state))

    def on_predecessor_ended(self) -> None:
        self.post(PredecessorEnded())

    def fail_all_unanswered(self) -> None:
        """Answers all requests as the process ends; those that were never sent may safely be sent again."""
        for pending in list(self.pending.values()):
            if pending.attempts:
                self.fail_unanswered(pending)
            elif not pending.ended:
                self.finish(pending, 503, b"", RETRY_SOON_HEADER, "the process ends")
                self.post(ClientDisconnected(pending.request_id))
                self.drop_if_done(pending)
