"""A whole deployment in virtual time: the parts, what goes wrong with them, and what came of it."""

from __future__ import annotations

import random
from collections import Counter as Tally
from dataclasses import dataclass, field, replace
from functools import partial
from math import ceil
from typing import Any, Protocol

import numpy as np
from hdrh.histogram import HdrHistogram

from embersill.interface import Backend, BackendList, BackendStatus, ListKind, Outcome, Request, Settings
from embersill.lab.clock import BEGIN, Clock, Time
from embersill.lab.counter import CounterService
from embersill.lab.customers import (
    Arrival, Customer, arrivals, gateway_weights, make_customer, make_customers, mean_work, width_of,
)
from embersill.lab.machine import Condition, Machine
from embersill.lab.node import Call, Figures, Node
from embersill.lab.network import Way, Weather
from embersill.lab.rules import Rules
from embersill.lab.scenario import Class, Fault, Scenario, pool_settings
from embersill.settings import read_settings

EARLY, SCANT = 0.1, 0.25  # as in net/driver.py: how long before its client a gateway takes it to be over
WINDOW = 5.0  # seconds that a row of the service over time covers
NOTICED = (1.1, 3.7)  # seconds until the front notices a dead gateway
RESTART = 0.5  # seconds from a start until it is ready
DRAINED = 3.0  # seconds that a release leaves a backend to finish what it has
AGAIN = 0.5  # seconds until news that can't be told now are tried again
STRANGERS = 1 << 32  # from where on customers are named that ask once
MOST_LINKS = 400  # connections to backends that a gateway may have: its part of 1,024 descriptors
FORGET_EVERY = 60.0  # seconds between clearings of what is over
PERCENTILES = (10, 25, 50, 75, 90, 95, 99, 99.9)
MOST_BREACHES = 20  # that a report tells one by one
REST = 1.0  # seconds after the last deadline until the end


@dataclass(slots=True)
class Try:
    """A client's request, over all of its tries."""

    customer: Customer
    klass: Class
    work: float
    began: float
    covered: bool = False  # the quota held its unit when it was last sent on
    tries: int = 0
    done: bool = False

    def left(self, now: float) -> float:
        return self.began + self.klass.deadline - now

    def worth(self) -> float:
        return self.klass.worth * self.customer.plan.price


@dataclass(slots=True)
class Result:
    """What came of a run, in worth: asked inside quotas, earned inside them, lost beyond them."""

    asked: float = 0.0
    earned: float = 0.0
    overrun: float = 0.0
    sent_on: Tally[bool] = field(default_factory=Tally)  # tries, by whether the quota covered them
    ends: Tally[str] = field(default_factory=Tally)  # of first tries: in time, late, refused, failed, lost
    tries: int = 0
    rows: dict[int, list[float]] = field(default_factory=dict)  # by window: worth asked, worth earned
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 120_000, 3))  # milliseconds


def told_settings(scenario: Scenario, me: int, zone: str) -> dict[str, Any]:
    """What a gateway is told, in the platform's form and its milliseconds."""
    form, patience = scenario.backend, 1000.0 * scenario.counter.patience
    return {
        "me": me, "balancers": scenario.fleet.gateways, "zone": zone, "membership_mode": "pushed",
        "services": [
            {"name": c.name, "semantics": c.semantics, "dedup_scope": c.scope,
             "memory_span": 1000.0 * c.memory, "aim": 1000.0 * c.aim, "deadline": 1000.0 * c.deadline,
             "late_share": c.late_share,
             "credit": c.worth, "stream": False} for c in scenario.classes],
        "packages": [
            {"name": p.name, "units_per_s": p.rate, "peak_units": p.burst, "concurrency": 0,
             "hard_rate": p.ceiling * p.rate, "cap_depth": p.ceiling * p.burst, "value_factor": p.price,
             "extra_worth": 0.0, "overrun_cost": p.over_cost} for p in scenario.plans],
        "domain": {"counter": True, "count_limit": patience, "count_fee": 0.01, "max_units": 1.0,
                   "post_paid": False},
        "limits": {"cancel": True, "may_probe": False, "second_copies": False, "max_attempts": 4,
                   "max_retry_after": 500.0, "dial_timeout": 1000.0 * scenario.net.dial_timeout,
                   "keepalive": 1000.0 * scenario.net.keepalive},
        "rules": {"ask_every": 10_000.0, "cold_from": form.cold_from,
                  "warm_within": 1000.0 * form.warm_within, "fall_multiple": form.fall_multiple,
                  "overload_for": 1000.0 * form.overload_for},
        "report": {"fields": []},
    }


def settings_for(scenario: Scenario, me: int, zone: str) -> Settings:
    return replace(read_settings(told_settings(scenario, me, zone)), pool=pool_settings(scenario))


class GatewayProcess(Protocol):
    """A process of a gateway, the model's or a real one."""

    name: str
    alive: bool
    way: Way

    def number(self) -> int: ...

    def take(self, request: Request, call: Call) -> None: ...

    def leave(self, number: int) -> None: ...

    def hear(self, event: BackendList) -> None: ...

    def break_links(self, machine: Machine) -> None: ...

    def die(self) -> list[Call]: ...

    def figures(self) -> Figures: ...


class World:
    """All parts, made from a scenario and a seed: in virtual time both give the same to the last byte."""

    def __init__(self, scenario: Scenario, seed: int, clock: Time | None = None) -> None:
        self.scenario, self.seed = scenario, seed
        self.clock: Time = clock or Clock(BEGIN)
        self.origin = self.clock.now  # when the run begins
        # a generator for each part: more draws by one shift no other's
        self.load, self.habit, self.chaos, self.parts = map(
            np.random.default_rng, np.random.SeedSequence(seed).spawn(4))
        self.counter = CounterService(self.clock, scenario.counter, scenario.fleet.zones[0])
        self.rules, self.weather = Rules(scenario.discovery.stop_within), Weather()
        self.leaving: set[str] = set()  # backends that the list shows as draining
        self.machines = self.make_machines()
        self.seeds = [int(n) for n in self.parts.integers(0, 2**62, scenario.fleet.gateways)]
        self.starts = Tally[int]()
        self.skews: dict[int, float] = {}  # seconds that the clocks of gateways' machines are ahead
        self.nodes = [self.start(n) for n in range(scenario.fleet.gateways)]
        self.heard_dead = [0.0] * len(self.nodes)  # from when the front knows that one is dead
        capacity = sum(m.capacity() for m in self.machines.values())
        self.customers = make_customers(scenario, capacity, self.load)
        self.weights = {w: gateway_weights(w, scenario.load.skew) for w in {c.width for c in self.customers}}
        self.arrivals = arrivals(scenario, self.customers, self.load)
        self.result = Result()
        self.old: list[GatewayProcess] = []
        self.over_time: list[list[float]] = []
        self.sampled = (0, 0)
        self.strangers = 0

    def make_machines(self) -> dict[str, Machine]:
        fleet, form = self.scenario.fleet, self.scenario.backend
        work = mean_work(self.scenario.classes)
        speeds = form.speed * (1.0 + form.speed_spread * (2.0 * self.parts.random(fleet.backends) - 1.0))
        made = [
            Machine(self.clock, form, f"b{n}", fleet.zones[n % len(fleet.zones)],
                    n // (len(fleet.zones) * fleet.cell_size), float(speeds[n]), work)
            for n in range(fleet.backends)]
        for machine in made:
            machine.fallen = lambda m, told, work: self.rules.fell(m, told, work, self.clock.now)
        return {m.name: m for m in made}

    # gateways

    def start(self, me: int) -> GatewayProcess:
        scenario = self.scenario
        zone = scenario.fleet.zones[me % len(scenario.fleet.zones)]
        seed, name = self.seeds[me] + self.starts[me], f"n{me}.{self.starts[me]}"
        self.starts[me] += 1
        way = Way(scenario.net, zone, random.Random(seed), self.weather, scenario.fleet.regions)
        node = self.make_node(me, name, seed, way)
        node.hear(BackendList(ListKind.FULL, tuple(self.entry(m) for m in self.machines.values())))
        return node

    def make_node(self, me: int, name: str, seed: int, way: Way) -> GatewayProcess:
        scenario = self.scenario
        return Node(name, self.clock, settings_for(scenario, me, way.zone), seed, way, self.machines,
                    self.counter, self.rules, MOST_LINKS, scenario.net.dial_timeout, scenario.net.keepalive,
                    self.skews.get(me, 0.0))

    def entry(self, machine: Machine) -> Backend:
        status = BackendStatus.DRAINING if machine.name in self.leaving else BackendStatus.SERVING
        return Backend(machine.name, machine.zone, "k", machine.cell, status, 1.0, machine.started)

    def kill(self, me: int, lasts: float) -> None:
        node = self.nodes[me]
        if not node.alive:
            return
        self.old.append(node)
        notice = float(self.chaos.uniform(*NOTICED))
        self.heard_dead[me] = self.clock.now + notice
        for call in node.die():
            call.answered(Outcome.CONNECTION_LOST, 0.0)
        self.clock.later(lasts + RESTART, lambda: self.restart(me))

    def restart(self, me: int) -> None:
        self.nodes[me] = self.start(me)

    # clients

    def play(self) -> Result:
        """The whole run, in virtual time."""
        assert isinstance(self.clock, Clock)
        self.begin()
        self.clock.run(self.over_at())
        return self.close()

    def begin(self) -> None:
        self.origin = self.clock.now
        for fault in self.scenario.faults:
            self.clock.later(fault.at, partial(self.strike, fault))
        self.clock.later(FORGET_EVERY, self.forget)
        self.clock.later(WINDOW, self.sample)
        self.next_arrival()

    def over_at(self) -> float:
        return self.origin + self.scenario.seconds + max(c.deadline for c in self.scenario.classes) + REST

    def close(self) -> Result:
        self.rules.end(self.clock.now)
        return self.result

    def sample(self) -> None:
        """What came since the last look: handshakes, and calls to the counter."""
        handshakes = sum(m.handshakes for m in self.machines.values())
        calls = sum(self.counter.ends.values())
        shaken, called = self.sampled
        self.over_time.append([len(self.over_time) * WINDOW, handshakes - shaken, calls - called])
        self.sampled = handshakes, calls
        self.clock.later(WINDOW, self.sample)

    def next_arrival(self) -> None:
        arrival = next(self.arrivals, None)
        if arrival is not None:
            at = self.origin + arrival.at
            self.clock.later(max(at - self.clock.now, 0.0), lambda: self.arrive(arrival))

    def arrive(self, arrival: Arrival) -> None:
        self.ask(self.customers[arrival.customer], self.scenario.classes[arrival.klass], arrival.work)
        self.next_arrival()

    def ask(self, customer: Customer, klass: Class, work: float) -> None:
        """A client's first try."""
        now = self.clock.now
        asked = Try(customer, klass, work, now)
        if customer.asked.take(now - self.origin):
            self.result.asked += asked.worth()
            self.row(now)[0] += asked.worth()
        self.send(asked)
        self.clock.later(klass.deadline, lambda: self.give_up(asked))

    def row(self, when: float) -> list[float]:
        return self.result.rows.setdefault(int((when - self.origin) // WINDOW), [0.0, 0.0])

    def give_up(self, asked: Try) -> None:
        if not asked.done:
            self.end(asked, "lost")

    def end(self, asked: Try, how: str) -> None:
        asked.done = True
        self.result.ends[how] += 1

    def gateway_for(self, customer: Customer) -> int:
        """One of its set that the front does not know to be dead."""
        weights = self.weights[customer.width]
        for _ in range(8):
            place = int(np.searchsorted(weights, self.habit.random(), side="right"))
            me = (customer.first + min(place, customer.width - 1)) % len(self.nodes)
            if self.nodes[me].alive or self.clock.now < self.heard_dead[me]:
                break
        return me

    def send(self, asked: Try) -> None:
        if asked.done:
            return
        asked.tries += 1
        self.result.tries += 1
        node, now = self.nodes[self.gateway_for(asked.customer)], self.clock.now
        budget = asked.left(now)
        self.clock.later(node.way.client(), lambda: self.reach(asked, node, now + budget))

    def reach(self, asked: Try, node: GatewayProcess, deadline: float) -> None:
        if not node.alive:
            return self.hear(asked, Outcome.NO_CONNECTION, 0.0)
        now, customer = self.clock.now, asked.customer
        budget = deadline - now
        end = now + budget - min(EARLY, SCANT * budget)
        number = node.number()
        way, sent_on = node.way, partial(self.sent_on, asked)

        def answered(outcome: Outcome, retry_after: float) -> None:
            self.clock.later(way.client(), lambda: self.hear(asked, outcome, retry_after))

        node.take(
            Request(number, asked.klass.name, customer.plan.name, customer.name, end, 1.0, customer.width,
                    customer.first, asked.tries > 1),
            Call(asked.klass, customer.plan, asked.work, deadline, end, sent_on, answered))
        load = self.scenario.load
        if load.impatient > 0.0 and self.habit.random() < load.impatient:
            patience = float(self.habit.exponential(load.patience))
            self.clock.later(patience, lambda: self.lose_patience(asked, node, number))
        return None

    def lose_patience(self, asked: Try, node: GatewayProcess, number: int) -> None:
        """Its client does not wait any longer, unless it has its answer."""
        if not asked.done:
            self.end(asked, "left")
            node.leave(number)

    def sent_on(self, asked: Try) -> None:
        asked.covered = asked.customer.used.take(self.clock.now - self.origin)
        self.result.sent_on[asked.covered] += 1
        if not asked.covered:
            self.result.overrun += asked.customer.plan.over_cost * asked.worth()

    def hear(self, asked: Try, outcome: Outcome, retry_after: float) -> None:
        """A try's answer has reached its client."""
        if asked.done:
            return
        now = self.clock.now
        if outcome is Outcome.SERVED:
            return self.serve(asked, now - asked.began)
        harmless = outcome in (Outcome.REJECTED, Outcome.NO_CONNECTION)
        again = harmless or asked.klass.semantics == "repeatable"
        pause = self.pause(asked, retry_after)
        if again and asked.tries <= self.scenario.load.retries and pause < asked.left(now):
            self.clock.later(pause, lambda: self.send(asked))
        else:
            self.end(asked, "refused" if harmless else "failed")
        return None

    def pause(self, asked: Try, retry_after: float) -> float:
        """Some clients come back when they are told to, the others after a doubling, jittered time."""
        if retry_after > 0.0 and self.habit.random() < self.scenario.load.honour:
            return retry_after
        return self.scenario.load.backoff * 2.0 ** (asked.tries - 1) * (0.5 + self.habit.random())

    def serve(self, asked: Try, took: float) -> None:
        in_time = took <= asked.klass.aim
        self.end(asked, "in time" if in_time else "late")
        self.result.latency.record_value(max(1, round(1000 * took)))
        if asked.covered:
            earned = asked.worth() * (1.0 if in_time else asked.klass.late_share)
            self.result.earned += earned
            self.row(asked.began)[1] += earned

    # what goes wrong

    def strike(self, fault: Fault) -> None:
        if fault.kind in ("counter", "crowded", "list", "cut", "lost"):
            return self.spoil(fault)
        if fault.kind == "scan":
            return self.scan(fault.part * sum(c.rate for c in self.customers), self.clock.now + fault.lasts)
        if fault.kind == "clock":
            return self.step_clocks(fault)
        if fault.of == "gateways":
            for me in self.drawn(fault, [n.way.zone for n in self.nodes]):
                self.kill(me, fault.lasts)
            return None
        machines = list(self.machines.values())
        hurt = [machines[n] for n in self.drawn(fault, [m.zone for m in machines])]
        for n, machine in enumerate(hurt):
            if fault.kind == "release":
                self.clock.later(n / len(hurt) * fault.lasts, partial(self.replace, machine))
            else:
                self.hurt(machine, fault)
        return None

    def drawn(self, fault: Fault, zones: list[str]) -> list[int]:
        """Whom it strikes: all in its zone, or a part of all."""
        if fault.zone or fault.region:
            struck = self.struck(fault)
            return [n for n, zone in enumerate(zones) if zone in struck]
        return [int(n) for n in self.chaos.permutation(len(zones))[: ceil(fault.part * len(zones))]]

    def struck(self, fault: Fault) -> frozenset[str]:
        """Zones."""
        regions = self.scenario.fleet.regions
        return frozenset(zone for zone in self.scenario.fleet.zones
                         if zone == fault.zone or fault.region and regions.get(zone) == fault.region)

    def step_clocks(self, fault: Fault) -> None:
        struck = self.drawn(fault, [n.way.zone for n in self.nodes])
        self.skews.update(dict.fromkeys(struck, fault.step))
        self.clock.later(fault.lasts, partial(self.skews.update, dict.fromkeys(struck, 0.0)))

    def scan(self, rate: float, until: float) -> None:
        """Customers that ask once, at that rate."""
        if self.clock.now >= until:
            return
        plan, gateways = self.scenario.plans[0], len(self.nodes)
        klass = self.scenario.classes[int(self.chaos.integers(len(self.scenario.classes)))]
        width = width_of(plan, gateways)
        self.weights.setdefault(width, gateway_weights(width, self.scenario.load.skew))
        self.strangers += 1
        first = int(self.chaos.integers(gateways))
        stranger = make_customer(STRANGERS + self.strangers, plan, 0.0, first, width)
        self.ask(stranger, klass, klass.work)
        self.clock.later(float(self.chaos.exponential(1.0 / rate)), lambda: self.scan(rate, until))

    def spoil(self, fault: Fault) -> None:
        """What befalls all at once, and its end."""
        weather = self.weather
        if fault.kind == "counter":
            self.counter.down = True
        elif fault.kind == "list":
            weather.late_until = self.clock.now + fault.lasts
        elif fault.kind == "cut":
            weather.cut.add(self.struck(fault))
        elif fault.kind == "crowded":
            self.counter.slowed = fault.factor
        else:
            weather.lost = fault.part
        self.clock.later(fault.lasts, partial(self.clear_up, fault))

    def clear_up(self, fault: Fault) -> None:
        if fault.kind == "counter":
            self.counter.down = False
            if fault.empty:
                self.counter.lose_all()
        elif fault.kind == "crowded":
            self.counter.slowed = 1.0
        elif fault.kind == "cut":
            self.weather.cut.discard(self.struck(fault))
        elif fault.kind == "lost":
            self.weather.lost = 0.0

    def hurt(self, machine: Machine, fault: Fault) -> None:
        if fault.kind == "slow":
            machine.slow_down(fault.factor)
            self.clock.later(fault.lasts, partial(machine.slow_down, 1.0))
        elif fault.kind == "hang":
            machine.fail(Condition.HANGING)
            self.clock.later(fault.lasts, partial(machine.recover, cold=False))
        elif fault.kind == "drain":
            self.leave(machine)
            self.clock.later(fault.lasts, partial(self.come_back, machine))
        elif fault.kind == "reset":
            self.break_links(machine)
        else:
            self.end_process(machine)
            self.clock.later(fault.lasts, partial(self.bring_back, machine))

    def replace(self, machine: Machine) -> None:
        """One step of a release: drained, ended, and started again."""
        self.leave(machine)
        self.clock.later(DRAINED, partial(self.end_process, machine))
        self.clock.later(DRAINED + RESTART, partial(self.bring_back, machine))

    def leave(self, machine: Machine) -> None:
        self.leaving.add(machine.name)
        self.announce(machine)

    def come_back(self, machine: Machine) -> None:
        self.leaving.discard(machine.name)
        self.announce(machine)

    def end_process(self, machine: Machine) -> None:
        machine.fail(Condition.DOWN)
        self.break_links(machine)

    def break_links(self, machine: Machine) -> None:
        for node in self.nodes:
            node.break_links(machine)

    def bring_back(self, machine: Machine) -> None:
        """Cold, and told to each gateway in its own time."""
        machine.recover(cold=True)
        self.come_back(machine)

    def announce(self, machine: Machine) -> None:
        news = BackendList(ListKind.CHANGES, (self.entry(machine),))
        lags = self.chaos.random(len(self.nodes)) * 2.0 * self.scenario.discovery.lag
        for me, lag in enumerate(lags):
            self.clock.later(float(lag), partial(self.tell, me, news))

    def tell(self, me: int, news: BackendList) -> None:
        node, now = self.nodes[me], self.clock.now
        held = now < self.weather.late_until or not node.way.passes(self.counter.zone)
        if held:  # the list stands where the counter does
            self.clock.later(AGAIN, partial(self.tell, me, news))
        else:
            entries = tuple(self.entry(self.machines[b.address]) for b in news.backends)  # as it is by now
            node.hear(BackendList(news.kind, entries))

    def forget(self) -> None:
        self.counter.forget()
        self.clock.later(FORGET_EVERY, self.forget)

    # what came of it

    def report(self) -> dict[str, Any]:
        """The figures of a run that has been played, the same in every play of it."""
        result, nodes = self.result, [*self.old, *self.nodes]
        attempts: Tally[str] = Tally()
        refusals: Tally[str] = Tally()
        pool: Tally[str] = Tally()
        for node in nodes:
            of_attempts, of_refusals, of_pool = node.figures()
            attempts += of_attempts
            refusals += of_refusals
            pool += of_pool
        loads = [m.busy for m in self.machines.values()]
        first = sum(result.ends.values())
        return {
            "scenario": self.scenario.name, "seed": self.seed,
            "served": round(result.earned / result.asked, 6) if result.asked else None,
            "overrun": round(result.overrun / result.asked, 6) if result.asked else None,
            "sent_beyond": result.sent_on[False], "sent_inside": result.sent_on[True],
            "requests": first, "tries": result.tries, "ends": dict(sorted(result.ends.items())),
            "latency_ms": {f"p{p:g}": result.latency.get_value_at_percentile(p) for p in PERCENTILES},
            "refusals": dict(sorted(refusals.items())), "attempts": dict(sorted(attempts.items())),
            "counter": dict(sorted(self.counter.ends.items())),
            "handshakes": sum(m.handshakes for m in self.machines.values()),
            "pool": dict(sorted(pool.items())),
            "load_spread": round(max(loads) / (sum(loads) / len(loads)), 3) if sum(loads) else None,
            "loads": [round(load, 3) for load in loads], "over_time": self.over_time,
            "breaches": len(self.rules.breaches),
            "first_breaches": [
                {"rule": b.rule, "at": round(b.at - self.origin, 6), "what": b.what}
                for b in self.rules.breaches[:MOST_BREACHES]],
            "fallen": sorted(m.name for m in self.machines.values() if m.fell),
            "service": [[n * WINDOW, round(asked, 3), round(earned, 3)]
                        for n, (asked, earned) in sorted(result.rows.items())],
        }
