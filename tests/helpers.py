"""Builders of settings and events for tests, and a driver that checks the protocol's rules on each action."""

from __future__ import annotations

from dataclasses import replace

from embersill.control import Gateway
from embersill.interface import (
    Action, AddToCounter, AttemptEnded, Backend, BackendList, BackendStatus, ClientDisconnected,
    CounterCallEnded, DedupScope, Event, Fail, ListKind, Outcome, Plan, Refuse, RepeatPolicy, Request,
    RequestClass, Send, SetTimer, Settings, TimerExpired,
)

SAFE = RequestClass("read", RepeatPolicy.SAFE, DedupScope.ALL, 5.0, 1.0, 4.0, 0.0, 1.0, False)
KEYED = RequestClass("keyed", RepeatPolicy.BY_KEY, DedupScope.CELL, 3.0, 1.0, 4.0, 0.0, 1.0, False)
ONCE = RequestClass("pay", RepeatPolicy.ONCE, DedupScope.ALL, 5.0, 2.0, 6.0, 0.0, 5.0, False)
PLAN = Plan("small", 4.0, 8.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
CAPPED = Plan("capped", 4.0, 8.0, 0, 6.0, 12.0, 1.0, 0.0, 1.0)
OPEN = Plan("open", 0.0, 0.0, 2, 0.0, 0.0, 1.0, 0.0, 1.0)

SETTINGS = Settings(
    gateway_index=0,
    gateways=2,
    classes=(SAFE, KEYED, ONCE),
    plans=(PLAN, CAPPED, OPEN),
    zone="z",
    list_pushed=True,
    ask_every=10.0,
    counter=True,
    counter_timeout=0.05,
    counter_call_cost=0.02,
    may_cancel=True,
    may_probe=True,
    may_hedge=False,
    max_attempts=3,
    max_retry_after=1.0,
    cold_from=0.25,
    warm_within=10.0,
    fall_multiple=3.0,
    overload_for=1.0,
    report_fields=(),
    max_units=4.0,
    post_paid=False,
)


def backend(
    name: str, cell: int = 0, status: BackendStatus = BackendStatus.SERVING, started: float | None = None
) -> Backend:
    """An entry of the backend list."""
    return Backend(name, "z", "k", cell, status, 1.0, started)


def backends(*entries: Backend, kind: ListKind = ListKind.FULL) -> BackendList:
    """A backend list as an event."""
    return BackendList(kind, entries)


def request(
    number: int,
    klass: str = "read",
    plan: str = "small",
    customer: str = "c",
    units: float = 1.0,
    deadline: float = 104.0,
    width: int = 2,
) -> Request:
    """A request with the given id."""
    return Request(number, klass, plan, customer, deadline, units, width, 0, False)


def ended(
    number: int,
    attempt: int,
    address: str,
    outcome: Outcome,
    elapsed: float = 0.1,
    over: bool | None = None,
    true_units: float = 0.0,
) -> AttemptEnded:
    """The result of an attempt at a backend. `over`: the request has ended; by default if it was served."""
    request_ended = outcome is Outcome.SERVED if over is None else over
    return AttemptEnded(number, attempt, address, outcome, elapsed, request_ended, true_units, ())


def gateway(now: float = 100.0, listed: BackendList | None = None, **changes: object) -> Gateway:
    """A gateway with a backend list. `changes`: fields of Settings that differ from SETTINGS."""
    created = Gateway(replace(SETTINGS, **changes), 1, now)  # type: ignore[arg-type]
    created.handle(listed or backends(backend("a"), backend("b", 1)), now)
    return created


class CheckedGateway:
    """Simulates the peers and timers of one gateway and asserts the protocol's rules on each action.

    open_requests, answered: requests without and with a final answer, by id
    attempts: for each request the backend and time of each attempt
    outcomes: for each request the outcomes of its ended attempts
    pending_counts: names of counter calls without an answer
    first_units: for each customer the time and units of each request that was sent
    """

    def __init__(self, gateway: Gateway, settings: Settings = SETTINGS) -> None:
        self.gateway, self.settings = gateway, settings
        self.classes = {c.name: c for c in settings.classes}
        self.now = 100.0
        self.open_requests: dict[int, Request] = {}
        self.answered: dict[int, Action] = {}
        self.attempts: dict[int, list[tuple[str, float]]] = {}
        self.outcomes: dict[int, dict[int, Outcome]] = {}
        self.timers: list[tuple[float, str]] = []
        self.pending_counts: list[str] = []
        self.listed: dict[str, Backend] = {}
        self.first_units: dict[str, list[tuple[float, float]]] = {}

    def in_flight(self, number: int) -> list[int]:
        """Attempts of a request that have not ended."""
        return [
            n for n in range(len(self.attempts.get(number, [])))
            if n not in self.outcomes.get(number, {})
        ]

    def handle(self, event: Event) -> list[Action]:
        """Passes an event to the gateway; returns its checked actions."""
        if isinstance(event, BackendList) and event.kind is not ListKind.FAILED:
            if event.kind is not ListKind.CHANGES:
                self.listed = {}
            self.listed.update({b.address: b for b in event.backends})
        if isinstance(event, Request):
            self.open_requests[event.id] = event
        if isinstance(event, AttemptEnded):
            self.outcomes.setdefault(event.request, {})[event.attempt] = event.outcome
            if event.request_ended:
                self.open_requests.pop(event.request, None)
        if isinstance(event, ClientDisconnected):
            self.open_requests.pop(event.request, None)
        actions = self.gateway.handle(event, self.now)
        for action in actions:
            self.check(action)
        return actions

    def possibly_run(self, number: int) -> list[int]:
        """Attempts of a request that are not proven not to have run."""
        outcomes = self.outcomes.get(number, {})
        return [
            n for n in range(len(self.attempts.get(number, [])))
            if n not in outcomes or not outcomes[n].never_ran
        ]

    def check(self, action: Action) -> None:
        """Asserts the rules on an action and records it."""
        if isinstance(action, SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, action.key))
        elif isinstance(action, AddToCounter):
            self.pending_counts.append(action.name)
        elif isinstance(action, Send):
            request = self.open_requests[action.request]  # fails for a request that has ended
            request_class, attempts = (
                self.classes[request.request_class], self.attempts.setdefault(action.request, []))
            target = self.listed[action.backend]
            assert target.status is BackendStatus.SERVING
            assert self.settings.may_hedge or not self.in_flight(action.request)
            assert len(attempts) < self.settings.max_attempts
            possibly_run = self.possibly_run(action.request)
            if possibly_run:
                assert request_class.repeat_policy is not RepeatPolicy.ONCE
                if request_class.repeat_policy is RepeatPolicy.BY_KEY:
                    address, sent_at = attempts[possibly_run[0]]
                    assert (
                        self.listed[address].cell == target.cell
                        or request_class.dedup_scope is DedupScope.ALL
                    )
                    assert self.now - sent_at < request_class.memory
            if not attempts:
                self.first_units.setdefault(request.customer, []).append((self.now, request.units))
            attempts.append((action.backend, self.now))
        elif isinstance(action, Refuse | Fail):
            request = self.open_requests.pop(action.request)  # fails for a second answer
            assert self.now <= request.deadline + 0.008
            request_class = self.classes[request.request_class]
            if isinstance(action, Refuse) and self.possibly_run(action.request):
                assert request_class.repeat_policy is RepeatPolicy.SAFE or (
                    request_class.repeat_policy is RepeatPolicy.BY_KEY
                    and request_class.dedup_scope is DedupScope.ALL
                )
            self.answered[action.request] = action

    def run_to(self, until: float) -> None:
        """Fires the timers due until then, and times out attempts at the deadlines of their requests."""
        while True:
            next_timer = min(self.timers, default=(until + 1, ""))
            deadlines = [(r.deadline, n) for n, r in self.open_requests.items() if self.in_flight(n)]
            next_deadline = min(deadlines, default=(until + 1, 0))
            if min(next_timer[0], next_deadline[0]) > until:
                break
            if next_timer[0] <= next_deadline[0]:
                self.timers.remove(next_timer)
                self.now = max(self.now, next_timer[0])
                self.handle(TimerExpired(next_timer[1]))
            else:
                self.now = max(self.now, next_deadline[0])
                for n in self.in_flight(next_deadline[1]):
                    address, sent_at = self.attempts[next_deadline[1]][n]
                    self.handle(
                        ended(next_deadline[1], n, address, Outcome.TIMED_OUT, self.now - sent_at, False))
        self.now = until

    def answer_counter_calls(self, total: float, outcome: Outcome = Outcome.SERVED) -> None:
        """Answers all pending counter calls with the same total."""
        names, self.pending_counts = self.pending_counts, []
        for name in names:
            self.handle(CounterCallEnded(name, outcome, 0.001, total))
