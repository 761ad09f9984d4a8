"""Checks of the protocol's rules over the events of a run; each breach names its time and parties."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from embersill.interface import Backend, BackendStatus, Outcome
from embersill.lab.customers import TokenBucket
from embersill.lab.machine import Machine
from embersill.lab.scenario import ClassConfig, PlanConfig

TIME_SLACK = 0.05  # seconds that the protocol allows beyond each time limit
# units by which a ceiling's bucket may fall below zero: the larger of the largest request and a share of its
# burst, which the site's rules allow
MIN_CEILING_SLACK = 1.0
CEILING_SLACK_SHARE = 0.1
# share of the requests at a collapsed backend, sent by gateways that were notified of its start, from which
# the collapse is a breach
INFORMED_SHARE = 2 / 3


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule; `at`: time on the run's clock, in seconds."""

    rule: str
    at: float
    what: str


@dataclass(slots=True)
class SentAttempt:
    """An attempt sent to a backend."""

    machine: Machine
    sent_at: float
    in_flight: bool = True
    never_ran: bool = False


@dataclass(slots=True)
class AcceptedRequest:
    """A request that a gateway has accepted and must answer."""

    name: str  # number and gateway, as breaches name it
    request_class: ClassConfig
    customer: str
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    answered: Outcome | None = None

    def first_possibly_run(self) -> SentAttempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if not a.never_ran), None)


class RuleChecker:
    """All checks over one run. Requests of a gateway that has died are not checked any further."""

    def __init__(self, stop_within: float = 1.0) -> None:
        """`stop_within`: seconds after a gateway is notified that a backend is drained or removed, by which
        its sends to that backend must stop."""
        self.stop_within = stop_within
        self.drained_since: dict[tuple[str, str], float] = {}  # by gateway and backend: when it was notified
        self.breaches: list[Breach] = []
        self.pending: dict[tuple[str, int], AcceptedRequest] = {}
        self.ceilings: dict[str, TokenBucket] = {}

    def breach(self, rule: str, at: float, what: str) -> None:
        self.breaches.append(Breach(rule, at, what))

    # events

    def on_list(self, gateway: str, entries: Iterable[Backend], now: float) -> None:
        """A gateway receives a list or changes of it."""
        for backend in entries:
            if backend.status is BackendStatus.SERVING:
                self.drained_since.pop((gateway, backend.address), None)
            else:
                self.drained_since.setdefault((gateway, backend.address), now)

    def on_request(
        self, gateway: str, number: int, request_class: ClassConfig, customer: str, deadline: float
    ) -> None:
        self.pending[gateway, number] = AcceptedRequest(
            f"{number} at {gateway}", request_class, customer, deadline)

    def on_sent(self, gateway: str, number: int, machine: Machine, plan: PlanConfig, now: float) -> None:
        request = self.pending.get((gateway, number))
        if request is None:
            return self.breach("one answer", now, f"{number} at {gateway} goes on after its answer")
        if any(a.in_flight for a in request.attempts):
            self.breach("one at a time", now, f"{request.name} goes to {machine.name} with another out")
        self.check_repeat(request, machine, now)
        since = self.drained_since.get((gateway, machine.name), now)
        if now - since > self.stop_within + TIME_SLACK:
            self.breach("drain", now, f"{request.name} goes to {machine.name}, {now - since:.2f} s late")
        if not request.attempts and plan.ceiling > 0.0:
            self.check_ceiling(request, plan, now)
        request.attempts.append(SentAttempt(machine, now))
        return None

    def check_repeat(self, request: AcceptedRequest, machine: Machine, now: float) -> None:
        """Checks that a request that may have run is sent only where a repetition is harmless."""
        first, request_class = request.first_possibly_run(), request.request_class
        if first is None or request_class.semantics == "repeatable":
            return
        if request_class.semantics == "once":
            earlier_machine = first.machine.name
            self.breach("no repeat", now,
                        f"{request.name} goes to {machine.name} and may have run at {earlier_machine}")
        elif (dedup_group(request_class, first.machine) != dedup_group(request_class, machine)
              or now - first.sent_at > request_class.memory + TIME_SLACK):
            self.breach("no repeat", now, f"{request.name} goes to {machine.name}, too far or too late")

    def check_ceiling(self, request: AcceptedRequest, plan: PlanConfig, now: float) -> None:
        """Takes a unit from the customer's ceiling over all gateways, which may fall slightly below zero."""
        rate, burst = plan.ceiling * plan.rate, plan.ceiling * plan.burst
        bucket = self.ceilings.setdefault(request.customer, TokenBucket(rate, burst, burst, now))
        bucket.refill(now)
        bucket.level -= 1.0
        if bucket.level < -max(MIN_CEILING_SLACK, CEILING_SLACK_SHARE * burst):
            self.breach(
                "ceiling", now, f"{request.name} of customer {request.customer}: at {bucket.level:.1f}")

    def on_attempt_ended(self, gateway: str, number: int, index: int, outcome: Outcome) -> None:
        request = self.pending.get((gateway, number))
        if request is not None:
            request.attempts[index].in_flight = False
            request.attempts[index].never_ran = outcome.never_ran

    def on_answer(self, gateway: str, number: int, outcome: Outcome, now: float) -> None:
        request = self.pending.pop((gateway, number), None)
        if request is None:
            return self.breach(
                "one answer", now, f"{number} at {gateway} is answered again, or was never taken")
        first = request.first_possibly_run()
        safe = (request.request_class.semantics == "repeatable"
                or dedup_group(request.request_class, None) == "")
        if outcome is Outcome.REJECTED and first is not None and not safe:
            self.breach(
                "no repeat", now, f"{request.name} is refused and may have run at {first.machine.name}")
        if now > request.deadline + TIME_SLACK:
            self.breach("one answer", now, f"{request.name} is answered {now - request.deadline:.2f} s late")
        return None

    def on_client_disconnected(self, gateway: str, number: int) -> None:
        """The client of that request has disconnected and needs no answer."""
        self.pending.pop((gateway, number), None)

    def on_gateway_died(self, gateway: str) -> None:
        self.pending = {key: request for key, request in self.pending.items() if key[0] != gateway}

    def on_backend_collapsed(self, machine: Machine, informed: int, total: int, now: float) -> None:
        """A cold backend has collapsed.

        `informed`: how many of the `total` recent requests came from gateways notified of its start.
        """
        if informed >= INFORMED_SHARE * total:
            self.breach("fail-back", now, f"{machine.name} fell, {informed} of {total} from those who knew")

    def check_unanswered(self, now: float) -> None:
        """Reports the requests whose deadline has passed without an answer."""
        for request in self.pending.values():
            if now > request.deadline + TIME_SLACK:
                self.breach("one answer", now, f"{request.name} was never answered")


def dedup_group(request_class: ClassConfig, machine: Machine | None) -> str | int:
    """The group of backends among which repetitions of a keyed request are dropped; "" if that is all.

    Without a machine, some other value if it is not all.
    """
    if request_class.semantics == "by_key" and request_class.scope == "all":
        return ""
    if machine is None:
        return request_class.semantics
    return machine.zone if request_class.scope == "zone" else machine.cell
