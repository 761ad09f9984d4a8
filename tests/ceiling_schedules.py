"""Random schedules of a small ceiling with faults: `python -m tests.ceiling_schedules FIRST COUNT` runs many.

A seed determines the plan, the gateways, the load and the faults: a counter that does not answer, answers
late, rejects calls or loses its data, processes that are killed or hand over, and clocks that are wrong.
"""

from __future__ import annotations

import random
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from math import inf

from embersill.ceiling import GRANT_SHARE, LEASED_SHARE, share_ceiling
from embersill.interface import AddToCounter, Outcome, Plan, Settings
from tests.ceiling_fleet import COUNTER_LATENCY, START, CeilingFleet, allowed_excess, lowest_level
from tests.helpers import SETTINGS

COUNTER_TIMEOUT = 0.03  # seconds
CLOCKS = (0.0, 0.0, 3.0, -3.0, 3600.0, -3600.0)  # seconds by which a process's clock may be ahead
WARM_UP = 2.0  # refill times of the ceiling before the load: parts of new processes are empty
LOADED = 3.0  # refill times of the ceiling that the load lasts
ROUNDING = 1e-3  # units: a total has seven digits


@dataclass(frozen=True)
class Schedule:
    """The random choices of one seed."""

    settings: Settings
    load: float  # as a factor of the ceiling's rate
    restarts: float  # processes that end, per refill time of the ceiling
    kills: float  # fraction of them that are killed; the others hand over
    trouble: float  # fraction of the time in which the counter is faulty
    losses: bool  # whether the counter loses its data, as often as the leases' terms tolerate

    @property
    def plan(self) -> Plan:
        return self.settings.plans[0]


def draw_schedule(seed: int) -> Schedule:
    """The schedule of a seed."""
    dice = random.Random(f"ceiling {seed}")
    max_units, width = dice.choice([1.0, 2.0, 4.0]), dice.choice([5, 12, 20])
    depth = dice.uniform(1.0, 0.95 * width) * max_units
    rate = depth / dice.uniform(0.5, 4.0)
    has_quota = dice.random() < 0.5
    quota = rate * dice.uniform(0.5, 2.0) if has_quota else 0.0
    plan = Plan("thin", quota, quota * 2.0, 0, rate, depth, 1.0, 0.0, 1.0)
    counter = dice.random() < 0.8
    settings = replace(
        SETTINGS, gateways=width, plans=(plan,), max_units=max_units, counter=counter,
        counter_timeout=COUNTER_TIMEOUT)
    terms = share_ceiling(plan, width, 0, max_units, COUNTER_TIMEOUT if counter else None).terms
    tolerant = terms is not None and 3.0 * terms.units <= depth
    return Schedule(
        settings, load=dice.choice([1.0, 2.0, 5.0]), restarts=dice.choice([0.0, 1.0, 20.0]),
        kills=dice.choice([0.0, 0.5]),
        trouble=dice.choice([0.0, 0.3]), losses=tolerant and dice.random() < 0.5)


def loss_spacing(schedule: Schedule) -> float:
    """Seconds between two losses of the counter's data that the leases' terms tolerate."""
    plan = schedule.plan
    share = share_ceiling(plan, schedule.settings.gateways, 0, schedule.settings.max_units, COUNTER_TIMEOUT)
    assert share.terms is not None
    leased = plan.ceiling_rate * (LEASED_SHARE if share.depth > 0 else 1.0)
    return share.terms.units / ((1.0 - GRANT_SHARE) * leased)


class FaultyCounter:
    """Answers of the counter, random for each call while it is faulty.

    `part`: fraction of each period of `every` seconds in which it is faulty.
    """

    def __init__(self, dice: random.Random, part: float, every: float) -> None:
        self.dice, self.part, self.every = dice, part, every

    def answer(self, call: AddToCounter, now: float) -> tuple[Outcome, float, float]:
        prompt = self.dice.uniform(0.0, COUNTER_LATENCY)
        if now % self.every > self.part * self.every:
            return Outcome.SERVED, COUNTER_LATENCY, prompt
        match self.dice.randrange(5):
            case 0:
                return Outcome.REJECTED, prompt, inf
            case 1:
                return Outcome.TIMED_OUT, COUNTER_TIMEOUT, inf
            case 2:
                return Outcome.TIMED_OUT, COUNTER_TIMEOUT, self.dice.uniform(0.0, 1.0)  # possibly added
            case 3:
                return Outcome.NO_CONNECTION, prompt, inf
            case _:
                late = self.dice.uniform(prompt, COUNTER_TIMEOUT)
                return Outcome.SERVED, late, self.dice.uniform(0.0, late)


class SchedulePlay:
    """Runs one schedule."""

    fleet_type: type[CeilingFleet] = CeilingFleet

    def __init__(self, seed: int) -> None:
        self.schedule, self.dice = draw_schedule(seed), random.Random(f"play {seed}")
        plan = self.schedule.plan
        self.refill = plan.ceiling_depth / plan.ceiling_rate
        faulty_counter = FaultyCounter(self.dice, self.schedule.trouble, self.refill)
        self.fleet = self.fleet_type(self.schedule.settings, faulty_counter.answer)
        self.fleet.first_outcome = lambda number: self.dice.choice(
            [Outcome.SERVED, Outcome.SERVED, Outcome.ERROR, Outcome.NO_CONNECTION])
        self.allowed_below = 0.0  # units by which the level of the ceiling may be below zero
        self.begins = START + WARM_UP * self.refill
        self.ends = self.begins + LOADED * self.refill

    def play(self) -> float:
        """Runs the schedule; returns by how much the lowest level of the ceiling is above the allowed one."""
        for me in range(self.schedule.settings.gateways):
            self.fleet.start(me, self.dice.choice(CLOCKS))
        self.fleet.run_to(self.begins)
        self.plan_requests()
        self.plan_restarts()
        self.plan_losses()
        self.fleet.run_to(self.ends + 1.0)
        return lowest_level(self.schedule.plan, self.fleet.sent) + self.allowed_below

    def at(self, moment: float, act: partial[None]) -> None:
        self.fleet.schedule(moment - self.fleet.now, act)

    def plan_requests(self) -> None:
        """Poisson arrivals, some of them at all gateways at once."""
        settings, plan = self.schedule.settings, self.schedule.plan
        moment, number = self.begins, 0
        rate = self.schedule.load * plan.ceiling_rate / settings.max_units
        while moment < self.ends:
            together = settings.gateways if self.dice.random() < 0.02 else 1
            for _ in range(together):
                number += 1
                units = float(self.dice.randint(1, round(settings.max_units)))
                me = self.dice.randrange(settings.gateways)
                self.at(moment, partial(self.fleet.request, me, number, units, self.dice.uniform(0.2, 4.0)))
            moment += self.dice.expovariate(rate) * together

    def plan_restarts(self) -> None:
        for _ in range(round(self.schedule.restarts * LOADED)):
            me, ahead = self.dice.randrange(self.schedule.settings.gateways), self.dice.choice(CLOCKS)
            moment = self.dice.uniform(self.begins, self.ends)
            if self.dice.random() < self.schedule.kills:
                self.at(moment, partial(self.restart, me, ahead))
            else:
                self.at(moment, partial(self.fleet.hand_over, me, ahead, self.dice.uniform(0.0, 1.0)))

    def restart(self, me: int, ahead: float) -> None:
        """Kills a process; requests held by a predecessor that is still running are then unknown to all."""
        if self.fleet.lame_ducks.get(me):
            self.allowed_below = allowed_excess(self.schedule.plan, self.schedule.settings.max_units)
        self.fleet.start(me, ahead)

    def plan_losses(self) -> None:
        moment = self.begins + self.dice.uniform(0.0, self.refill)
        while self.schedule.losses and moment < self.ends:
            self.at(moment, partial(self.fleet.counter.clear))
            moment += loss_spacing(self.schedule)


def lowest_of(seed: int, play: type[SchedulePlay] = SchedulePlay) -> float:
    return play(seed).play()


def broken_among(seeds: range, play: type[SchedulePlay] = SchedulePlay) -> list[int]:
    """The seeds with which the level of the ceiling fell below the allowed one."""
    return [seed for seed in seeds if lowest_of(seed, play) < -ROUNDING]


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    step = 200
    parts = [range(begin, min(begin + step, first + count)) for begin in range(first, first + count, step)]
    broken: list[int] = []
    with ProcessPoolExecutor(max_workers=int(sys.argv[3]) if len(sys.argv) > 3 else 2) as pool:
        for part in pool.map(broken_among, parts):
            broken += part
    print(f"{count} schedules from {first}: {len(broken)} broken {broken[:20]}")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
