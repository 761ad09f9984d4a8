"""What a seed draws: the size, the deployment, and what goes wrong when. The same seed draws the same."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from embersill.lab.soak.backends import Behaviour
from embersill.lab.soak.deployment import Deployment, RequestClass

SIZES = (200, 800, 3200)  # backends
MAX_GATEWAYS = 6
FAULT_FREE_START = 1.0  # seconds of a day before anything goes wrong
FAULT_FREE_END = 1.5  # seconds at its end in which nothing begins
LOW_CEILING_SHARE, HEAVY_WORK_SHARE, COUNTER_FAULT_SHARE = 0.3, 0.3, 0.4  # of the days with such a ceiling, work or counter
LOW_CEILING_GATEWAYS = (24, 60, 150)  # gateways of a customer's set over which a ceiling is thin; few of them are played
UPGRADE_SHARE, MAX_UPGRADES = 0.4, 3  # of the days with upgrades, and how many there are
EARLY_SIGTERM_SHARE, MAX_EARLY_SIGTERMS = 0.3, 2  # the same for processes that are ended while they start
HEAVY_WORK_FACTORS = (0.4, 0.6, 0.8)  # of the aim, in the mean
LIST_WRITE_TIME = 0.3  # seconds in which an agent writes a list in pieces: the pages say, at once


class Fault(Enum):
    """What goes wrong; `where` names gateways, `part` a part of the backends."""

    REPLACE = "a part of the backends drains and is replaced"
    DRAIN = "a part of the backends begins to drain"
    OUTAGE = "discovery is down"
    BREAK_WATCHES = "open watches are reset"
    SLOW_LISTS = "lists come whole, indented and in pieces"
    MISBEHAVE = "a part of the backends misbehaves"
    CRASH_BACKENDS = "backends crash, and their connections break"
    TERMINATE = "SIGTERM, SIGKILL at the earliest, and a new process"
    TERMINATE_TWICE = "the same, with a second SIGTERM"
    KILL = "SIGKILL, and a new process"
    HOLD_UP = "SIGSTOP, and SIGCONT 0.15 s later, several times"
    RELOAD = "a new configuration with SIGHUP, several times"
    LEAVE = "many clients leave at once"
    CROWD = "idle clients fill the descriptors"
    COUNTER = "the counter is silent, late or busy, and may forget"
    TERMINATE_EARLY = "SIGTERM, and again to the new process while it starts"
    UPGRADE = "a successor beside the running process, which hands over and ends"


FAULT_WEIGHTS = {
    Fault.REPLACE: 4,
    Fault.DRAIN: 4,
    Fault.OUTAGE: 2,
    Fault.BREAK_WATCHES: 2,
    Fault.SLOW_LISTS: 2,
    Fault.MISBEHAVE: 5,
    Fault.CRASH_BACKENDS: 2,
    Fault.TERMINATE: 3,
    Fault.TERMINATE_TWICE: 1,
    Fault.KILL: 2,
    Fault.HOLD_UP: 3,
    Fault.RELOAD: 2,
    Fault.LEAVE: 3,
    Fault.CROWD: 1,
}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and its moment, in seconds of the day."""

    at: float
    fault: Fault
    duration: float
    gateway: int
    share: float
    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class ShimSetting:
    """How system calls fail in one gateway's processes."""

    failing_per_thousand: int = 0  # of the calls, in thousandths
    interval_ms: int = 2000
    duration_ms: int = 150
    clock_step: int = 0  # seconds, of processes that start from the middle of the day on

    def encode(self, seed: int, stepped: bool) -> str:
        """The value of SOAK_SHIM."""
        step = self.clock_step if stepped else 0
        return f"seed={seed},part={self.failing_per_thousand},every={self.interval_ms},lasts={self.duration_ms},step={step}"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One day of a soak."""

    seed: int
    seconds: float
    backends: int
    rate: float  # requests a second at each gateway
    deployment: Deployment
    faults: tuple[ScheduledFault, ...]
    shims: tuple[ShimSetting, ...] = field(default=())
    mean_work_time: float = 0.01  # seconds that a request takes at a backend, in the mean

    def with_faults(self, more: Iterable[ScheduledFault]) -> SoakPlan:
        """The same day with these faults besides."""
        return replace(self, faults=tuple(sorted((*self.faults, *more), key=lambda fault: fault.at)))

    def describe(self) -> str:
        """In one line."""
        names = ", ".join(f"{f.fault.name.lower()} at {f.at:.1f}" for f in self.faults)
        shims = ", ".join(f"{s.failing_per_thousand}/1000 step {s.clock_step}" for s in self.shims)
        return (
            f"seed {self.seed}: {self.backends} backends, {self.deployment.gateways} gateways, "
            f"{self.seconds:.0f} s, deadlines {[c.deadline for c in self.deployment.classes]}, "
            f"work {self.mean_work_time:.3f} s, ceiling of {self.deployment.ceiling * self.deployment.rate:g}/s over "
            f"{self.deployment.customer_gateways}, faults {names}; calls that fail {shims}"
        )


def draw_classes(dice: random.Random) -> tuple[RequestClass, ...]:
    short = dice.random() < 0.5
    deadline = dice.uniform(0.8, 1.5) if short else dice.uniform(3.0, 6.0)
    aim = deadline * dice.uniform(0.4, 0.8)
    scope = dice.choice(["all", "zone", "cell"])
    window = dice.uniform(1.0, 10.0)
    return (
        RequestClass("view", "repeatable", aim, deadline),
        RequestClass("sign", "by_key", aim, deadline, scope, window),
        RequestClass("book", "once", aim, deadline),
    )


def draw_fault_time(dice: random.Random, seconds: float) -> float:
    """When a fault begins, in a day of so many seconds."""
    return dice.uniform(FAULT_FREE_START, max(seconds - FAULT_FREE_END, FAULT_FREE_START))


def draw_fault(dice: random.Random, seconds: float, gateways: int) -> ScheduledFault:
    fault = dice.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
    lasts = dice.uniform(0.5, 4.0)
    part = dice.choice([0.05, 0.15, 0.3, 0.5])
    behaviour = dice.choice([b for b in Behaviour if b is not Behaviour.SERVE])
    return ScheduledFault(draw_fault_time(dice, seconds), fault, lasts, dice.randrange(gateways), part, behaviour)


def draw_plan(seed: int, seconds: float | None = None, most_backends: int = SIZES[-1]) -> SoakPlan:
    """`seconds`: of the day, where it is not to be drawn from 20 to 60."""
    dice = random.Random(f"soak {seed}")
    length = dice.uniform(20.0, 60.0)
    length = length if seconds is None else seconds
    backends = min(dice.choice(SIZES), most_backends)
    gateways = dice.randint(1, MAX_GATEWAYS)
    deployment = Deployment(
        gateways,
        draw_classes(dice),
        rate=(rate := dice.choice([1.0, 5.0, 40.0])),
        burst=2.0 * rate,
        ceiling=dice.choice([0.0, 2.0]) if rate > 2.0 * gateways else 0.0,  # its part has to hold a request
        cold_from=dice.uniform(0.15, 0.5),
        warm_within=dice.uniform(4.0, 18.0),
        keepalive=dice.choice([1.0, 15.0]),
    )
    many = max(3, round(length / 3.0))
    faults = sorted((draw_fault(dice, length, gateways) for _ in range(many)), key=lambda f: f.at)
    shims = tuple(
        ShimSetting(dice.choice([0, 50, 300]), clock_step=dice.choice([0, 0, 3, -3, 3600, -3600]))
        for _ in range(gateways)
    )
    rate, work = dice.uniform(10.0, 40.0), dice.choice([0.01, 0.05, 0.2])
    drawn = SoakPlan(seed, length, backends, rate, deployment, tuple(faults), shims, work)
    return add_harder_conditions(random.Random(f"soak harder {seed}"), drawn)


def add_harder_conditions(dice: random.Random, plan: SoakPlan) -> SoakPlan:
    """Thin ceilings, heavy work and a counter in trouble, drawn apart: the other days stay as they were."""
    if dice.random() < LOW_CEILING_SHARE:
        customers_rate = dice.choice([1.0, 5.0])
        spread = dice.choice(LOW_CEILING_GATEWAYS)
        thin = replace(
            plan.deployment,
            rate=customers_rate,
            burst=2.0 * customers_rate,
            ceiling=2.0,
            spread=spread,
            configured_gateways=spread,
        )
        plan = replace(plan, deployment=thin)
    if dice.random() < HEAVY_WORK_SHARE:
        plan = replace(plan, mean_work_time=dice.choice(HEAVY_WORK_FACTORS) * plan.deployment.classes[0].aim)
    if dice.random() < COUNTER_FAULT_SHARE:
        at = draw_fault_time(dice, plan.seconds)
        part = dice.choice([0.05, 0.15, 0.3, 0.5])
        trouble = ScheduledFault(at, Fault.COUNTER, dice.uniform(0.5, 4.0), 0, part, Behaviour.SERVE)
        plan = plan.with_faults([trouble])
    plan = add_process_faults(dice, plan, Fault.UPGRADE, UPGRADE_SHARE, MAX_UPGRADES)
    return add_process_faults(dice, plan, Fault.TERMINATE_EARLY, EARLY_SIGTERM_SHARE, MAX_EARLY_SIGTERMS)


def add_process_faults(
    dice: random.Random, plan: SoakPlan, fault: Fault, part: float, most: int
) -> SoakPlan:
    """A part of the days has one to so many of these, at any moments, also in the midst of other faults."""
    if dice.random() >= part:
        return plan
    return plan.with_faults([
        ScheduledFault(
            draw_fault_time(dice, plan.seconds),
            fault,
            0.0,
            dice.randrange(plan.deployment.gateways),
            0.0,
            Behaviour.SERVE,
        )
        for _ in range(dice.randint(1, most))
    ])
