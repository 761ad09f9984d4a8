"""The protocol's rules as checkers: each sees what happens, and names time and parties at a breach."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from embersill.interface import Backend, Outcome, BackendStatus
from embersill.lab.customers import Store
from embersill.lab.machine import Machine
from embersill.lab.scenario import Class, PlanForm

SLACK = 0.05  # seconds by which each time limit is lengthened: the protocol's
LEAST_SLACK = 1.0  # units by which a ceiling's store may fall below nought, at the least: the largest request
SLACK_PART = 0.1  # and as a part of its burst: the site page's
TOLD_PART = 2 / 3  # of the work at a fallen backend that came from gateways that had been told of its start


@dataclass(frozen=True, slots=True)
class Breach:
    """`at`: seconds on the run's clock."""

    rule: str
    at: float
    what: str


@dataclass(slots=True)
class Sent:
    """An attempt as the rules see it."""

    machine: Machine
    at: float
    out: bool = True
    never_ran: bool = False


@dataclass(slots=True)
class Taken:
    """A request that a gateway owes an answer."""

    name: str
    klass: Class
    customer: str
    deadline: float
    attempts: list[Sent] = field(default_factory=list)
    answered: Outcome | None = None

    def risky(self) -> Sent | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if not a.never_ran), None)


class Rules:
    """All checkers over one run. Whoever has died is owed nothing, and owes nothing."""

    def __init__(self, stop_within: float = 1.0) -> None:
        """`stop_within`: seconds after its news in which sends to a drained or gone backend must end."""
        self.stop_within = stop_within
        self.drained: dict[tuple[str, str], float] = {}  # by gateway and backend: since when it was told
        self.breaches: list[Breach] = []
        self.open: dict[tuple[str, int], Taken] = {}
        self.ceilings: dict[str, Store] = {}

    def breach(self, rule: str, at: float, what: str) -> None:
        self.breaches.append(Breach(rule, at, what))

    # what happens

    def told(self, node: str, listed: Iterable[Backend], now: float) -> None:
        """A gateway hears of changes."""
        for backend in listed:
            if backend.status is BackendStatus.SERVING:
                self.drained.pop((node, backend.address), None)
            else:
                self.drained.setdefault((node, backend.address), now)

    def taken(self, node: str, number: int, klass: Class, customer: str, deadline: float) -> None:
        self.open[node, number] = Taken(f"{number} at {node}", klass, customer, deadline)

    def sent(self, node: str, number: int, machine: Machine, plan: PlanForm, now: float) -> None:
        asked = self.open.get((node, number))
        if asked is None:
            return self.breach("one answer", now, f"{number} at {node} goes on after its answer")
        if any(a.out for a in asked.attempts):
            self.breach("one at a time", now, f"{asked.name} goes to {machine.name} with another out")
        self.check_repeat(asked, machine, now)
        since = self.drained.get((node, machine.name), now)
        if now - since > self.stop_within + SLACK:
            self.breach("drain", now, f"{asked.name} goes to {machine.name}, {now - since:.2f} s late")
        if not asked.attempts and plan.ceiling > 0.0:
            self.draw(asked, plan, now)
        asked.attempts.append(Sent(machine, now))
        return None

    def check_repeat(self, asked: Taken, machine: Machine, now: float) -> None:
        first, klass = asked.risky(), asked.klass
        if first is None or klass.semantics == "repeatable":
            return
        if klass.semantics == "once":
            where = first.machine.name
            self.breach("no repeat", now, f"{asked.name} goes to {machine.name} and may have run at {where}")
        elif group(klass, first.machine) != group(klass, machine) or now - first.at > klass.memory + SLACK:
            self.breach("no repeat", now, f"{asked.name} goes to {machine.name}, too far or too late")

    def draw(self, asked: Taken, plan: PlanForm, now: float) -> None:
        """The second store of a customer, shared by all gateways, which may fall a little below nought."""
        rate, burst = plan.ceiling * plan.rate, plan.ceiling * plan.burst
        store = self.ceilings.setdefault(asked.customer, Store(rate, burst, burst, now))
        store.refill(now)
        store.level -= 1.0
        if store.level < -max(LEAST_SLACK, SLACK_PART * burst):
            self.breach("ceiling", now, f"{asked.name} of customer {asked.customer}: at {store.level:.1f}")

    def ended(self, node: str, number: int, place: int, outcome: Outcome) -> None:
        asked = self.open.get((node, number))
        if asked is not None:
            asked.attempts[place].out = False
            asked.attempts[place].never_ran = outcome.never_ran

    def answered(self, node: str, number: int, outcome: Outcome, now: float) -> None:
        asked = self.open.pop((node, number), None)
        if asked is None:
            return self.breach("one answer", now, f"{number} at {node} is answered again, or was never taken")
        risky = asked.risky()
        safe = asked.klass.semantics == "repeatable" or group(asked.klass, None) == ""
        if outcome is Outcome.REJECTED and risky is not None and not safe:
            self.breach("no repeat", now, f"{asked.name} is refused and may have run at {risky.machine.name}")
        if now > asked.deadline + SLACK:
            self.breach("one answer", now, f"{asked.name} is answered {now - asked.deadline:.2f} s late")
        return None

    def left(self, node: str, number: int) -> None:
        """Its client has gone: nothing is owed any more."""
        self.open.pop((node, number), None)

    def died(self, node: str) -> None:
        self.open = {key: asked for key, asked in self.open.items() if key[0] != node}

    def fell(self, machine: Machine, told: int, all_work: int, now: float) -> None:
        """A cold backend has fallen over; `told`: of its work, what came from those who knew its start."""
        if told >= TOLD_PART * all_work:
            self.breach("fail-back", now, f"{machine.name} fell, {told} of {all_work} from those who knew")

    def end(self, now: float) -> None:
        """What has had no answer by now is lost."""
        for asked in self.open.values():
            if now > asked.deadline + SLACK:
                self.breach("one answer", now, f"{asked.name} was never answered")


def group(klass: Class, machine: Machine | None) -> str | int:
    """The backends among which repeats of a keyed request are dropped; without one, whether that is all."""
    if klass.semantics == "by_key" and klass.scope == "all":
        return ""
    if machine is None:
        return klass.semantics
    return machine.zone if klass.scope == "zone" else machine.cell
