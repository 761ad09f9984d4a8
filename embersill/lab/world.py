"""A simulated deployment: gateways, backends, counter and clients, the faults injected and the results."""

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
from embersill.lab.clock import START_TIME, Scheduler, VirtualClock
from embersill.lab.counter import CounterService
from embersill.lab.customers import (
    Arrival, Customer, arrivals, gateway_weights, gateways_per_customer, make_customer, make_customers,
    mean_work,
)
from embersill.lab.machine import Condition, Machine
from embersill.lab.node import ClientTry, Figures, ModelGateway
from embersill.lab.network import GatewayNetwork, NetworkConditions
from embersill.lab.rules import RuleChecker
from embersill.lab.scenario import ClassConfig, Fault, Scenario, pool_settings
from embersill.settings import read_settings

# as in net/driver.py: a gateway's deadline lies DEADLINE_MARGIN seconds, but at most MAX_MARGIN_SHARE of the
# remaining budget, before its client's
DEADLINE_MARGIN, MAX_MARGIN_SHARE = 0.1, 0.25
SERVICE_WINDOW = 5.0  # seconds that one row of `service` and `over_time` covers
FAILURE_DETECTION_TIME = (1.1, 3.7)  # seconds, shortest and longest, until clients avoid a dead gateway
RESTART_TIME = 0.5  # seconds from the start of a process until it is ready
DRAIN_TIME = 3.0  # seconds between the drain of a backend and its end during a release
LIST_RETRY_INTERVAL = 0.5  # seconds between attempts to deliver a list change
FIRST_SINGLE_REQUEST_CUSTOMER = 1 << 32  # names from here on belong to customers with a single request
MAX_CONNECTIONS = 400  # a gateway's connections to backends: its share of 1,024 descriptors
CLEANUP_INTERVAL = 60.0  # seconds between removals of expired counter names
PERCENTILES = (10, 25, 50, 75, 90, 95, 99, 99.9)
MAX_REPORTED_BREACHES = 20  # listed individually in a report
END_MARGIN = 1.0  # seconds from the last deadline to the end of the run


@dataclass(slots=True)
class ClientRequest:
    """A client's request with all its tries; each try is one HTTP request to a gateway."""

    customer: Customer
    request_class: ClassConfig
    work: float  # seconds of one core
    started_at: float
    covered_by_quota: bool = False  # whether the quota held its unit when a gateway last sent it to a backend
    tries: int = 0
    ended: bool = False

    def remaining_time(self, now: float) -> float:
        return self.started_at + self.request_class.deadline - now

    def worth(self) -> float:
        return self.request_class.worth * self.customer.plan.price


@dataclass(slots=True)
class Result:
    """The result of a run: worth requested and served inside quotas, cost of exceeding them, and counts."""

    worth_asked: float = 0.0
    worth_earned: float = 0.0
    overrun_cost: float = 0.0
    sent_by_coverage: Tally[bool] = field(default_factory=Tally)  # tries by whether the quota covered them
    ends: Tally[str] = field(default_factory=Tally)  # requests by: in time, late, refused, failed, lost, left
    tries: int = 0
    service_windows: dict[int, list[float]] = field(default_factory=dict)  # by window: worth asked and earned
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 120_000, 3))  # milliseconds


def platform_settings(scenario: Scenario, gateway_index: int, zone: str) -> dict[str, Any]:
    """A gateway's settings in the platform's format, whose durations are milliseconds."""
    backend, counter_timeout = scenario.backend, 1000.0 * scenario.counter.patience
    return {
        "me": gateway_index, "balancers": scenario.fleet.gateways, "zone": zone, "membership_mode": "pushed",
        "services": [
            {"name": c.name, "semantics": c.semantics, "dedup_scope": c.scope,
             "memory_span": 1000.0 * c.memory, "aim": 1000.0 * c.aim, "deadline": 1000.0 * c.deadline,
             "late_share": c.late_share,
             "credit": c.worth, "stream": False} for c in scenario.classes],
        "packages": [
            {"name": p.name, "units_per_s": p.rate, "peak_units": p.burst, "concurrency": 0,
             "hard_rate": p.ceiling * p.rate, "cap_depth": p.ceiling * p.burst, "value_factor": p.price,
             "extra_worth": 0.0, "overrun_cost": p.over_cost} for p in scenario.plans],
        "domain": {"counter": True, "count_limit": counter_timeout, "count_fee": 0.01, "max_units": 1.0,
                   "post_paid": False},
        "limits": {"cancel": True, "may_probe": False, "second_copies": False, "max_attempts": 4,
                   "max_retry_after": 500.0, "dial_timeout": 1000.0 * scenario.net.dial_timeout,
                   "keepalive": 1000.0 * scenario.net.keepalive},
        "rules": {"ask_every": 10_000.0, "cold_from": backend.cold_from,
                  "warm_within": 1000.0 * backend.warm_within, "fall_multiple": backend.fall_multiple,
                  "overload_for": 1000.0 * backend.overload_for},
        "report": {"fields": []},
    }


def gateway_settings(scenario: Scenario, gateway_index: int, zone: str) -> Settings:
    """The same settings as the gateway's decisions take them."""
    return replace(
        read_settings(platform_settings(scenario, gateway_index, zone)), pool=pool_settings(scenario))


class GatewayProcess(Protocol):
    """One process of a gateway, either a `ModelGateway` or a `RealGateway`."""

    name: str
    alive: bool
    network: GatewayNetwork

    def next_number(self) -> int: ...

    def accept(self, request: Request, client_try: ClientTry) -> None: ...

    def disconnect_client(self, number: int) -> None: ...

    def receive_list(self, event: BackendList) -> None: ...

    def reset_connections(self, machine: Machine) -> None: ...

    def kill(self) -> list[ClientTry]: ...

    def figures(self) -> Figures: ...


class World:
    """A deployment built from a scenario and a seed.

    In virtual time, the same scenario and seed give the same report byte for byte.
    """

    def __init__(self, scenario: Scenario, seed: int, clock: Scheduler | None = None) -> None:
        self.scenario, self.seed = scenario, seed
        self.clock: Scheduler = clock or VirtualClock(START_TIME)
        self.origin = self.clock.now  # start of the run
        # separate generators, so that more draws by one part don't shift the values of another
        self.load_rng, self.client_rng, self.fault_rng, self.setup_rng = map(
            np.random.default_rng, np.random.SeedSequence(seed).spawn(4))
        self.counter = CounterService(self.clock, scenario.counter, scenario.fleet.zones[0])
        self.rules, self.conditions = RuleChecker(scenario.discovery.stop_within), NetworkConditions()
        self.draining: set[str] = set()  # backends that are listed as draining
        self.machines = self.make_machines()
        self.seeds = [int(n) for n in self.setup_rng.integers(0, 2**62, scenario.fleet.gateways)]
        self.starts = Tally[int]()
        self.clock_skews: dict[int, float] = {}  # by gateway: seconds that its machine's clock is ahead
        self.gateways = [self.start_gateway(n) for n in range(scenario.fleet.gateways)]
        self.known_dead_at = [0.0] * len(self.gateways)  # clients avoid a dead gateway from then on
        capacity = sum(m.capacity() for m in self.machines.values())
        self.customers = make_customers(scenario, capacity, self.load_rng)
        self.weights = {n: gateway_weights(n, scenario.load.skew)
                        for n in {c.gateway_count for c in self.customers}}
        self.arrivals = arrivals(scenario, self.customers, self.load_rng)
        self.result = Result()
        self.ended_gateways: list[GatewayProcess] = []
        self.over_time: list[list[float]] = []
        self.last_sample = (0, 0)
        self.single_request_customers = 0

    def make_machines(self) -> dict[str, Machine]:
        fleet, config = self.scenario.fleet, self.scenario.backend
        work = mean_work(self.scenario.classes)
        speeds = config.speed * (
            1.0 + config.speed_spread * (2.0 * self.setup_rng.random(fleet.backends) - 1.0))
        machines = [
            Machine(self.clock, config, f"b{n}", fleet.zones[n % len(fleet.zones)],
                    n // (len(fleet.zones) * fleet.cell_size), float(speeds[n]), work)
            for n in range(fleet.backends)]
        for machine in machines:
            machine.on_collapse = lambda m, informed, total: self.rules.on_backend_collapsed(
                m, informed, total, self.clock.now)
        return {m.name: m for m in machines}

    # gateways

    def start_gateway(self, gateway_index: int) -> GatewayProcess:
        scenario = self.scenario
        zone = scenario.fleet.zones[gateway_index % len(scenario.fleet.zones)]
        seed, name = (self.seeds[gateway_index] + self.starts[gateway_index],
                      f"n{gateway_index}.{self.starts[gateway_index]}")
        self.starts[gateway_index] += 1
        network = GatewayNetwork(
            scenario.net, zone, random.Random(seed), self.conditions, scenario.fleet.regions)
        gateway = self.make_gateway(gateway_index, name, seed, network)
        gateway.receive_list(
            BackendList(ListKind.FULL, tuple(self.list_entry(m) for m in self.machines.values())))
        return gateway

    def make_gateway(
        self, gateway_index: int, name: str, seed: int, network: GatewayNetwork
    ) -> GatewayProcess:
        scenario = self.scenario
        return ModelGateway(
            name, self.clock, gateway_settings(scenario, gateway_index, network.zone), seed, network,
            self.machines, self.counter, self.rules, MAX_CONNECTIONS, scenario.net.dial_timeout,
            scenario.net.keepalive, self.clock_skews.get(gateway_index, 0.0))

    def list_entry(self, machine: Machine) -> Backend:
        status = BackendStatus.DRAINING if machine.name in self.draining else BackendStatus.SERVING
        return Backend(machine.name, machine.zone, "k", machine.cell, status, 1.0, machine.started_at)

    def kill_gateway(self, gateway_index: int, lasts: float) -> None:
        """Kills its process and starts another `lasts` seconds later."""
        gateway = self.gateways[gateway_index]
        if not gateway.alive:
            return
        self.ended_gateways.append(gateway)
        detection_time = float(self.fault_rng.uniform(*FAILURE_DETECTION_TIME))
        self.known_dead_at[gateway_index] = self.clock.now + detection_time
        for client_try in gateway.kill():
            client_try.on_answer(Outcome.CONNECTION_LOST, 0.0)
        self.clock.later(lasts + RESTART_TIME, lambda: self.restart_gateway(gateway_index))

    def restart_gateway(self, gateway_index: int) -> None:
        self.gateways[gateway_index] = self.start_gateway(gateway_index)

    # clients

    def play(self) -> Result:
        """Plays the complete run in virtual time."""
        assert isinstance(self.clock, VirtualClock)
        self.begin()
        self.clock.run(self.end_time())
        return self.finish()

    def begin(self) -> None:
        self.origin = self.clock.now
        for fault in self.scenario.faults:
            self.clock.later(fault.at, partial(self.start_fault, fault))
        self.clock.later(CLEANUP_INTERVAL, self.drop_expired)
        self.clock.later(SERVICE_WINDOW, self.sample)
        self.schedule_arrival()

    def end_time(self) -> float:
        return (self.origin + self.scenario.seconds + max(c.deadline for c in self.scenario.classes)
                + END_MARGIN)

    def finish(self) -> Result:
        self.rules.check_unanswered(self.clock.now)
        return self.result

    def sample(self) -> None:
        """Records the handshakes and counter calls since the last sample."""
        handshakes = sum(m.handshakes for m in self.machines.values())
        calls = sum(self.counter.outcomes.values())
        previous_handshakes, previous_calls = self.last_sample
        self.over_time.append([
            len(self.over_time) * SERVICE_WINDOW, handshakes - previous_handshakes, calls - previous_calls])
        self.last_sample = handshakes, calls
        self.clock.later(SERVICE_WINDOW, self.sample)

    def schedule_arrival(self) -> None:
        arrival = next(self.arrivals, None)
        if arrival is not None:
            at = self.origin + arrival.at
            self.clock.later(max(at - self.clock.now, 0.0), lambda: self.on_arrival(arrival))

    def on_arrival(self, arrival: Arrival) -> None:
        self.start_request(
            self.customers[arrival.customer_index], self.scenario.classes[arrival.class_index], arrival.work)
        self.schedule_arrival()

    def start_request(self, customer: Customer, request_class: ClassConfig, work: float) -> None:
        """Sends a client's first try."""
        now = self.clock.now
        request = ClientRequest(customer, request_class, work, now)
        if customer.demand_quota.try_take(now - self.origin):
            self.result.worth_asked += request.worth()
            self.service_window(now)[0] += request.worth()
        self.send_try(request)
        self.clock.later(request_class.deadline, lambda: self.time_out(request))

    def service_window(self, at: float) -> list[float]:
        """Worth asked and earned in the window that holds this time."""
        return self.result.service_windows.setdefault(
            int((at - self.origin) // SERVICE_WINDOW), [0.0, 0.0])

    def time_out(self, request: ClientRequest) -> None:
        if not request.ended:
            self.end_request(request, "lost")

    def end_request(self, request: ClientRequest, end: str) -> None:
        request.ended = True
        self.result.ends[end] += 1

    def choose_gateway(self, customer: Customer) -> int:
        """A gateway of the customer's set, not one that is known to be dead if 8 draws find another."""
        weights = self.weights[customer.gateway_count]
        for _ in range(8):
            rank = int(np.searchsorted(weights, self.client_rng.random(), side="right"))
            gateway_index = (
                customer.first_gateway + min(rank, customer.gateway_count - 1)) % len(self.gateways)
            if self.gateways[gateway_index].alive or self.clock.now < self.known_dead_at[gateway_index]:
                break
        return gateway_index

    def send_try(self, request: ClientRequest) -> None:
        if request.ended:
            return
        request.tries += 1
        self.result.tries += 1
        gateway, now = self.gateways[self.choose_gateway(request.customer)], self.clock.now
        budget = request.remaining_time(now)
        self.clock.later(
            gateway.network.client_delay(), lambda: self.deliver_try(request, gateway, now + budget))

    def deliver_try(self, request: ClientRequest, gateway: GatewayProcess, deadline: float) -> None:
        if not gateway.alive:
            return self.receive_answer(request, Outcome.NO_CONNECTION, 0.0)
        now, customer = self.clock.now, request.customer
        budget = deadline - now
        gateway_deadline = now + budget - min(DEADLINE_MARGIN, MAX_MARGIN_SHARE * budget)
        number = gateway.next_number()
        network, on_first_send = gateway.network, partial(self.record_first_send, request)

        def on_answer(outcome: Outcome, retry_after: float) -> None:
            self.clock.later(
                network.client_delay(), lambda: self.receive_answer(request, outcome, retry_after))

        gateway.accept(
            Request(number, request.request_class.name, customer.plan.name, customer.name, gateway_deadline,
                    1.0, customer.gateway_count, customer.first_gateway, request.tries > 1),
            ClientTry(request.request_class, customer.plan, request.work, deadline, gateway_deadline,
                      on_first_send, on_answer))
        load = self.scenario.load
        if load.impatient > 0.0 and self.client_rng.random() < load.impatient:
            patience = float(self.client_rng.exponential(load.patience))
            self.clock.later(patience, lambda: self.abandon(request, gateway, number))
        return None

    def abandon(self, request: ClientRequest, gateway: GatewayProcess, number: int) -> None:
        """The client disconnects, unless its request has ended."""
        if not request.ended:
            self.end_request(request, "left")
            gateway.disconnect_client(number)

    def record_first_send(self, request: ClientRequest) -> None:
        """A gateway sends a try to a backend for the first time, which takes its unit from the quota."""
        request.covered_by_quota = request.customer.sent_quota.try_take(self.clock.now - self.origin)
        self.result.sent_by_coverage[request.covered_by_quota] += 1
        if not request.covered_by_quota:
            self.result.overrun_cost += request.customer.plan.over_cost * request.worth()

    def receive_answer(self, request: ClientRequest, outcome: Outcome, retry_after: float) -> None:
        """The client receives the answer to a try and ends the request or schedules a retry."""
        if request.ended:
            return
        now = self.clock.now
        if outcome is Outcome.SERVED:
            return self.record_served(request, now - request.started_at)
        safe_to_retry = outcome in (Outcome.REJECTED, Outcome.NO_CONNECTION)
        may_retry = safe_to_retry or request.request_class.semantics == "repeatable"
        delay = self.retry_delay(request, retry_after)
        if may_retry and request.tries <= self.scenario.load.retries and delay < request.remaining_time(now):
            self.clock.later(delay, lambda: self.send_try(request))
        else:
            self.end_request(request, "refused" if safe_to_retry else "failed")
        return None

    def retry_delay(self, request: ClientRequest, retry_after: float) -> float:
        """Seconds: the Retry-After for a share of the clients, else exponential backoff with jitter."""
        if retry_after > 0.0 and self.client_rng.random() < self.scenario.load.honour:
            return retry_after
        return self.scenario.load.backoff * 2.0 ** (request.tries - 1) * (0.5 + self.client_rng.random())

    def record_served(self, request: ClientRequest, elapsed: float) -> None:
        in_time = elapsed <= request.request_class.aim
        self.end_request(request, "in time" if in_time else "late")
        self.result.latency.record_value(max(1, round(1000 * elapsed)))
        if request.covered_by_quota:
            earned = request.worth() * (1.0 if in_time else request.request_class.late_share)
            self.result.worth_earned += earned
            self.service_window(request.started_at)[1] += earned

    # faults

    def start_fault(self, fault: Fault) -> None:
        if fault.kind in ("counter", "crowded", "list", "cut", "lost"):
            return self.start_shared_fault(fault)
        if fault.kind == "scan":
            return self.scan(fault.part * sum(c.rate for c in self.customers), self.clock.now + fault.lasts)
        if fault.kind == "clock":
            return self.step_clocks(fault)
        if fault.of == "gateways":
            for gateway_index in self.pick_affected(fault, [n.network.zone for n in self.gateways]):
                self.kill_gateway(gateway_index, fault.lasts)
            return None
        machines = list(self.machines.values())
        affected = [machines[n] for n in self.pick_affected(fault, [m.zone for m in machines])]
        for n, machine in enumerate(affected):
            if fault.kind == "release":
                self.clock.later(n / len(affected) * fault.lasts, partial(self.release_backend, machine))
            else:
                self.start_backend_fault(machine, fault)
        return None

    def pick_affected(self, fault: Fault, zones: list[str]) -> list[int]:
        """Indexes of the gateways or backends in the fault's zones, or of a random part of all."""
        if fault.zone or fault.region:
            affected = self.affected_zones(fault)
            return [n for n, zone in enumerate(zones) if zone in affected]
        return [int(n) for n in self.fault_rng.permutation(len(zones))[: ceil(fault.part * len(zones))]]

    def affected_zones(self, fault: Fault) -> frozenset[str]:
        """The zone or the zones of the region that the fault names."""
        regions = self.scenario.fleet.regions
        return frozenset(zone for zone in self.scenario.fleet.zones
                         if zone == fault.zone or fault.region and regions.get(zone) == fault.region)

    def step_clocks(self, fault: Fault) -> None:
        """Skews the machine clocks of the affected gateways, for processes that start meanwhile."""
        affected = self.pick_affected(fault, [n.network.zone for n in self.gateways])
        self.clock_skews.update(dict.fromkeys(affected, fault.step))
        self.clock.later(fault.lasts, partial(self.clock_skews.update, dict.fromkeys(affected, 0.0)))

    def scan(self, rate: float, until: float) -> None:
        """Sends requests of customers that have a single one, `rate` per second."""
        if self.clock.now >= until:
            return
        plan, gateways = self.scenario.plans[0], len(self.gateways)
        request_class = self.scenario.classes[int(self.fault_rng.integers(len(self.scenario.classes)))]
        gateway_count = gateways_per_customer(plan, gateways)
        self.weights.setdefault(gateway_count, gateway_weights(gateway_count, self.scenario.load.skew))
        self.single_request_customers += 1
        first_gateway = int(self.fault_rng.integers(gateways))
        customer = make_customer(FIRST_SINGLE_REQUEST_CUSTOMER + self.single_request_customers, plan, 0.0,
                                 first_gateway, gateway_count)
        self.start_request(customer, request_class, request_class.work)
        self.clock.later(float(self.fault_rng.exponential(1.0 / rate)), lambda: self.scan(rate, until))

    def start_shared_fault(self, fault: Fault) -> None:
        """Starts a fault of the counter, the list or the network and schedules its end."""
        conditions = self.conditions
        if fault.kind == "counter":
            self.counter.down = True
        elif fault.kind == "list":
            conditions.list_delayed_until = self.clock.now + fault.lasts
        elif fault.kind == "cut":
            conditions.isolated_zones.add(self.affected_zones(fault))
        elif fault.kind == "crowded":
            self.counter.slowdown = fault.factor
        else:
            conditions.loss_rate = fault.part
        self.clock.later(fault.lasts, partial(self.end_shared_fault, fault))

    def end_shared_fault(self, fault: Fault) -> None:
        if fault.kind == "counter":
            self.counter.down = False
            if fault.empty:
                self.counter.clear()
        elif fault.kind == "crowded":
            self.counter.slowdown = 1.0
        elif fault.kind == "cut":
            self.conditions.isolated_zones.discard(self.affected_zones(fault))
        elif fault.kind == "lost":
            self.conditions.loss_rate = 0.0

    def start_backend_fault(self, machine: Machine, fault: Fault) -> None:
        if fault.kind == "slow":
            machine.slow_down(fault.factor)
            self.clock.later(fault.lasts, partial(machine.slow_down, 1.0))
        elif fault.kind == "hang":
            machine.fail(Condition.HANGING)
            self.clock.later(fault.lasts, partial(machine.recover, cold=False))
        elif fault.kind == "drain":
            self.drain_backend(machine)
            self.clock.later(fault.lasts, partial(self.end_drain, machine))
        elif fault.kind == "reset":
            self.reset_connections(machine)
        else:
            self.end_process(machine)
            self.clock.later(fault.lasts, partial(self.restart_backend, machine))

    def release_backend(self, machine: Machine) -> None:
        """One step of a release: the backend is drained, ended and started again."""
        self.drain_backend(machine)
        self.clock.later(DRAIN_TIME, partial(self.end_process, machine))
        self.clock.later(DRAIN_TIME + RESTART_TIME, partial(self.restart_backend, machine))

    def drain_backend(self, machine: Machine) -> None:
        self.draining.add(machine.name)
        self.announce_change(machine)

    def end_drain(self, machine: Machine) -> None:
        self.draining.discard(machine.name)
        self.announce_change(machine)

    def end_process(self, machine: Machine) -> None:
        machine.fail(Condition.DOWN)
        self.reset_connections(machine)

    def reset_connections(self, machine: Machine) -> None:
        for gateway in self.gateways:
            gateway.reset_connections(machine)

    def restart_backend(self, machine: Machine) -> None:
        """Starts its process cold; gateways are notified with the lag of discovery."""
        machine.recover(cold=True)
        self.end_drain(machine)

    def announce_change(self, machine: Machine) -> None:
        """Delivers its list entry to each gateway after a random lag."""
        changes = BackendList(ListKind.CHANGES, (self.list_entry(machine),))
        lags = self.fault_rng.random(len(self.gateways)) * 2.0 * self.scenario.discovery.lag
        for gateway_index, lag in enumerate(lags):
            self.clock.later(float(lag), partial(self.deliver_list, gateway_index, changes))

    def deliver_list(self, gateway_index: int, changes: BackendList) -> None:
        gateway, now = self.gateways[gateway_index], self.clock.now
        delayed = now < self.conditions.list_delayed_until or not gateway.network.reaches(self.counter.zone)
        if delayed:  # the list service is in the counter's zone
            self.clock.later(LIST_RETRY_INTERVAL, partial(self.deliver_list, gateway_index, changes))
        else:
            # the entries as of now, which may have changed since the announcement
            entries = tuple(self.list_entry(self.machines[b.address]) for b in changes.backends)
            gateway.receive_list(BackendList(changes.kind, entries))

    def drop_expired(self) -> None:
        self.counter.drop_expired()
        self.clock.later(CLEANUP_INTERVAL, self.drop_expired)

    # results

    def report(self) -> dict[str, Any]:
        """The figures of a completed run, the same in every play of it."""
        result, gateways = self.result, [*self.ended_gateways, *self.gateways]
        attempts: Tally[str] = Tally()
        refusals: Tally[str] = Tally()
        pool: Tally[str] = Tally()
        for gateway in gateways:
            of_attempts, of_refusals, of_pool = gateway.figures()
            attempts += of_attempts
            refusals += of_refusals
            pool += of_pool
        loads = [m.busy_core_seconds for m in self.machines.values()]
        request_count = sum(result.ends.values())
        return {
            "scenario": self.scenario.name, "seed": self.seed,
            "served": round(result.worth_earned / result.worth_asked, 6) if result.worth_asked else None,
            "overrun": round(result.overrun_cost / result.worth_asked, 6) if result.worth_asked else None,
            "sent_beyond": result.sent_by_coverage[False], "sent_inside": result.sent_by_coverage[True],
            "requests": request_count, "tries": result.tries, "ends": dict(sorted(result.ends.items())),
            "latency_ms": {f"p{p:g}": result.latency.get_value_at_percentile(p) for p in PERCENTILES},
            "refusals": dict(sorted(refusals.items())), "attempts": dict(sorted(attempts.items())),
            "counter": dict(sorted(self.counter.outcomes.items())),
            "handshakes": sum(m.handshakes for m in self.machines.values()),
            "pool": dict(sorted(pool.items())),
            "load_spread": round(max(loads) / (sum(loads) / len(loads)), 3) if sum(loads) else None,
            "loads": [round(load, 3) for load in loads], "over_time": self.over_time,
            "breaches": len(self.rules.breaches),
            "first_breaches": [
                {"rule": b.rule, "at": round(b.at - self.origin, 6), "what": b.what}
                for b in self.rules.breaches[:MAX_REPORTED_BREACHES]],
            "fallen": sorted(m.name for m in self.machines.values() if m.collapsed),
            "service": [[n * SERVICE_WINDOW, round(asked, 3), round(earned, 3)]
                        for n, (asked, earned) in sorted(result.service_windows.items())],
        }
