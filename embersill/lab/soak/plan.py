"""Plans of soak days, drawn at random from a seed: size, deployment, and faults with their times.

A seed always draws the same plan: new draws come after all existing ones or use a generator of their own.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from embersill.lab.soak.backends import Behaviour
from embersill.lab.soak.crowd import FORMS
from embersill.lab.soak.deployment import Deployment, RequestClass

SIZES = (200, 800, 3200)  # backends
MAX_GATEWAYS = 6
FAULT_FREE_START = 1.0  # seconds at the start of a day without faults
FAULT_FREE_END = 1.5  # seconds at the end of a day in which no fault starts
# Shares of the days with a low ceiling, heavy work and a counter fault.
LOW_CEILING_SHARE, HEAVY_WORK_SHARE, COUNTER_FAULT_SHARE = 0.3, 0.3, 0.4
# Gateways that share a customer's low ceiling; only `Deployment.gateways` of them run.
LOW_CEILING_GATEWAYS = (24, 60, 150)
UPGRADE_SHARE, MAX_UPGRADES = 0.4, 3  # share of the days with upgrades, and most upgrades in a day
EARLY_SIGTERM_SHARE, MAX_EARLY_SIGTERMS = 0.3, 2  # the same for processes ended during their start
HEAVY_WORK_FACTORS = (0.4, 0.6, 0.8)  # mean work time as a share of the aim
CROWD_SHARE, MAX_CROWD_FORMS = 0.5, 6  # share of the days with a crowd, and most forms of its peers
# Descriptors of a gateway beside a crowd, and the crowd's peers; one pair is drawn. By the operators' terms
# clients hold at most a third of the descriptors for requests, and the sound ones need some of these.
CROWD_SIZES = ((256, 80), (640, 200), (1024, 330))
# MB of a gateway beside a crowd: the least that the operators' terms name, and what they allow it to grow by
# with the longest list.
LEAST_MEMORY_MB, LEAST_MEMORY_LONG_LIST_MB = 32, 48
LIST_WRITE_TIME = 0.3  # seconds over which an agent writes a list in pieces; the protocol says at once


class Fault(Enum):
    """Kinds of faults; see ScheduledFault for the gateway and the share of the backends affected."""

    REPLACE = "a share of the backends drains and is replaced"
    DRAIN = "a share of the backends starts to drain"
    OUTAGE = "discovery is down"
    BREAK_WATCHES = "open watches are reset"
    SLOW_LISTS = "lists are sent in full, indented and in pieces"
    MISBEHAVE = "a share of the backends misbehaves"
    CRASH_BACKENDS = "backends crash, and their connections are reset"
    TERMINATE = "SIGTERM, SIGKILL as early as allowed, and a new process"
    TERMINATE_TWICE = "the same, with a second SIGTERM"
    KILL = "SIGKILL, and a new process"
    HOLD_UP = "SIGSTOP, and SIGCONT 0.15 s later, several times"
    RELOAD = "a new configuration with SIGHUP, several times"
    LEAVE = "many clients disconnect at once"
    CROWD = "idle clients use up the descriptors"
    COUNTER = "the counter is silent, late or busy, and may lose all names"
    TERMINATE_EARLY = "SIGTERM, and again to the new process during its start"
    UPGRADE = "a successor takes over from the running process, which then ends"


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
    """A fault and when it starts."""

    at: float  # seconds from the start of the day
    fault: Fault
    duration: float  # seconds
    gateway: int  # affected, where the fault concerns one gateway
    share: float  # of the backends or clients, where the fault concerns some of them
    behaviour: Behaviour  # of the backends under MISBEHAVE


@dataclass(frozen=True, slots=True)
class ShimSetting:
    """How system calls fail and the clock steps in one gateway's processes."""

    failing_per_thousand: int = 0  # system calls that fail during a burst
    interval_ms: int = 2000  # between the starts of two bursts
    duration_ms: int = 150  # of a burst
    clock_step: int = 0  # seconds, only in processes started after the gateway's first

    def encode(self, seed: int, stepped: bool) -> str:
        """The value of SOAK_SHIM; the clock steps only if `stepped`."""
        step = self.clock_step if stepped else 0
        return (
            f"seed={seed},part={self.failing_per_thousand},every={self.interval_ms},"
            f"lasts={self.duration_ms},step={step}"
        )


@dataclass(frozen=True, slots=True)
class CrowdPlan:
    """Costly peers of one gateway, which come again from before its start until the end of the day."""

    gateway: int
    peers: int
    forms: tuple[str, ...]  # names in embersill.lab.soak.crowd.FORMS


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One day of a soak: its size, its deployment and everything that goes wrong in it."""

    seed: int
    seconds: float
    backends: int
    rate: float  # requests per second at each gateway
    deployment: Deployment
    faults: tuple[ScheduledFault, ...]
    shims: tuple[ShimSetting, ...] = field(default=())  # by gateway
    mean_work_time: float = 0.01  # seconds that a request takes at a backend
    crowd: CrowdPlan | None = None

    def with_faults(self, more: Iterable[ScheduledFault]) -> SoakPlan:
        """The same day with these faults added, in the order of time."""
        return replace(self, faults=tuple(sorted((*self.faults, *more), key=lambda fault: fault.at)))

    def describe(self) -> str:
        """The plan in one line, as the command prints it."""
        names = ", ".join(f"{f.fault.name.lower()} at {f.at:.1f}" for f in self.faults)
        shims = ", ".join(f"{s.failing_per_thousand}/1000 step {s.clock_step}" for s in self.shims)
        return (
            f"seed {self.seed}: {self.backends} backends, {self.deployment.gateways} gateways, "
            f"{self.seconds:.0f} s, deadlines {[c.deadline for c in self.deployment.classes]}, "
            f"work {self.mean_work_time:.3f} s, {self.describe_crowd()}"
            f"ceiling of {self.deployment.ceiling * self.deployment.rate:g}/s over "
            f"{self.deployment.customer_gateways}, faults {names}; calls that fail {shims}"
        )


    def describe_crowd(self) -> str:
        """The crowd and the limits beside it, for `describe`."""
        if self.crowd is None:
            return ""
        limits = f"{self.deployment.memory_mb} MB, {self.deployment.sockets} descriptors"
        forms = "+".join(self.crowd.forms)
        return f"{self.crowd.peers} peers {forms} at {self.crowd.gateway} with {limits}, "


def draw_classes(rng: random.Random) -> tuple[RequestClass, ...]:
    """One class for each semantics of repeats, with a common aim and deadline."""
    short = rng.random() < 0.5
    deadline = rng.uniform(0.8, 1.5) if short else rng.uniform(3.0, 6.0)
    aim = deadline * rng.uniform(0.4, 0.8)
    scope = rng.choice(["all", "zone", "cell"])
    window = rng.uniform(1.0, 10.0)
    return (
        RequestClass("view", "repeatable", aim, deadline),
        RequestClass("sign", "by_key", aim, deadline, scope, window),
        RequestClass("book", "once", aim, deadline),
    )


def draw_fault_time(rng: random.Random, seconds: float) -> float:
    """When a fault starts, in seconds from the start of a day of `seconds`."""
    return rng.uniform(FAULT_FREE_START, max(seconds - FAULT_FREE_END, FAULT_FREE_START))


def draw_fault(rng: random.Random, seconds: float, gateways: int) -> ScheduledFault:
    """A fault of a kind drawn by FAULT_WEIGHTS, at any time and gateway."""
    fault = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
    duration = rng.uniform(0.5, 4.0)
    share = rng.choice([0.05, 0.15, 0.3, 0.5])
    behaviour = rng.choice([b for b in Behaviour if b is not Behaviour.SERVE])
    return ScheduledFault(
        draw_fault_time(rng, seconds), fault, duration, rng.randrange(gateways), share, behaviour
    )


def draw_plan(seed: int, seconds: float | None = None, max_backends: int = SIZES[-1]) -> SoakPlan:
    """The day of a seed; `seconds` overrides its length, which is drawn from 20 to 60 s."""
    rng = random.Random(f"soak {seed}")
    length = rng.uniform(20.0, 60.0)
    length = length if seconds is None else seconds
    backends = min(rng.choice(SIZES), max_backends)
    gateways = rng.randint(1, MAX_GATEWAYS)
    deployment = Deployment(
        gateways,
        draw_classes(rng),
        rate=(rate := rng.choice([1.0, 5.0, 40.0])),
        burst=2.0 * rate,
        # A gateway's slice of the ceiling must hold a request.
        ceiling=rng.choice([0.0, 2.0]) if rate > 2.0 * gateways else 0.0,
        cold_from=rng.uniform(0.15, 0.5),
        warm_within=rng.uniform(4.0, 18.0),
        keepalive=rng.choice([1.0, 15.0]),
    )
    fault_count = max(3, round(length / 3.0))
    faults = sorted((draw_fault(rng, length, gateways) for _ in range(fault_count)), key=lambda f: f.at)
    shims = tuple(
        ShimSetting(rng.choice([0, 50, 300]), clock_step=rng.choice([0, 0, 3, -3, 3600, -3600]))
        for _ in range(gateways)
    )
    rate, work = rng.uniform(10.0, 40.0), rng.choice([0.01, 0.05, 0.2])
    plan = SoakPlan(seed, length, backends, rate, deployment, tuple(faults), shims, work)
    plan = add_harder_conditions(random.Random(f"soak harder {seed}"), plan)
    return add_crowd(random.Random(f"soak crowd {seed}"), plan)


def add_crowd(rng: random.Random, plan: SoakPlan) -> SoakPlan:
    """Gives a share of the days a crowd, and all gateways the least memory; `rng` is one of its own."""
    if rng.random() >= CROWD_SHARE:
        return plan
    forms = rng.sample(sorted(FORMS), rng.randint(1, MAX_CROWD_FORMS))
    sockets, peers = rng.choice(CROWD_SIZES)
    crowd = CrowdPlan(rng.randrange(plan.deployment.gateways), peers, tuple(forms))
    memory_mb = LEAST_MEMORY_LONG_LIST_MB if plan.backends == SIZES[-1] else LEAST_MEMORY_MB
    deployment = replace(plan.deployment, memory_mb=memory_mb, sockets=sockets)
    return replace(plan, crowd=crowd, deployment=deployment)


def add_harder_conditions(rng: random.Random, plan: SoakPlan) -> SoakPlan:
    """Adds low ceilings, heavy work, counter faults, upgrades and early SIGTERMs to some days.

    `rng` is a generator of its own, so that the other draws of a seed are the same without them.
    """
    if rng.random() < LOW_CEILING_SHARE:
        customer_rate = rng.choice([1.0, 5.0])
        spread = rng.choice(LOW_CEILING_GATEWAYS)
        low_ceiling = replace(
            plan.deployment,
            rate=customer_rate,
            burst=2.0 * customer_rate,
            ceiling=2.0,
            spread=spread,
            configured_gateways=spread,
        )
        plan = replace(plan, deployment=low_ceiling)
    if rng.random() < HEAVY_WORK_SHARE:
        plan = replace(plan, mean_work_time=rng.choice(HEAVY_WORK_FACTORS) * plan.deployment.classes[0].aim)
    if rng.random() < COUNTER_FAULT_SHARE:
        at = draw_fault_time(rng, plan.seconds)
        share = rng.choice([0.05, 0.15, 0.3, 0.5])
        counter_fault = ScheduledFault(at, Fault.COUNTER, rng.uniform(0.5, 4.0), 0, share, Behaviour.SERVE)
        plan = plan.with_faults([counter_fault])
    plan = add_process_faults(rng, plan, Fault.UPGRADE, UPGRADE_SHARE, MAX_UPGRADES)
    return add_process_faults(rng, plan, Fault.TERMINATE_EARLY, EARLY_SIGTERM_SHARE, MAX_EARLY_SIGTERMS)


def add_process_faults(
    rng: random.Random, plan: SoakPlan, fault: Fault, share: float, max_count: int
) -> SoakPlan:
    """Gives a share of the days one to `max_count` of these faults at any time, also during other faults."""
    if rng.random() >= share:
        return plan
    return plan.with_faults([
        ScheduledFault(
            draw_fault_time(rng, plan.seconds),
            fault,
            0.0,
            rng.randrange(plan.deployment.gateways),
            0.0,
            Behaviour.SERVE,
        )
        for _ in range(rng.randint(1, max_count))
    ])
