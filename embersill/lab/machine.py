"""A simulated backend: cores shared by its requests, a queue, a connection table and a cold start."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from enum import Enum
from itertools import count

from embersill.lab.clock import ScheduledCall, Scheduler
from embersill.lab.scenario import BackendConfig

WARM_UP_STEP = 0.25  # seconds between updates of a cold machine's speed: 1 to 3% of its full speed


class Condition(Enum):
    UP = "up"
    HANGING = "hanging"  # accepts connections and answers nothing
    DOWN = "down"  # refuses connections


class Job:
    """One request at a machine, until it is answered or abandoned."""

    __slots__ = ("done", "finish_at", "abandoned", "start_known", "work")

    def __init__(self, work: float, done: Callable[[Job, bool], None], start_known: bool = True) -> None:
        self.work, self.done = work, done  # seconds of one core; `done` is called with False if rejected
        self.start_known = start_known  # its gateway was notified of the machine's last start
        self.finish_at = 0.0  # value of the machine's `attained_work` at which it is finished
        self.abandoned = False  # nobody waits for it; running work continues, as backends cannot cancel it


class Machine:
    """Processor sharing: up to `slots` requests share the cores evenly; none gets more than one core."""

    def __init__(self, clock: Scheduler, config: BackendConfig, name: str, zone: str, cell: int, speed: float,
                 mean_work: float) -> None:
        """`mean_work`: mean seconds of one core per request, from which the capacity is computed."""
        self.clock, self.config, self.name, self.zone, self.cell = clock, config, name, zone, cell
        self.speed, self.mean_work = speed, mean_work
        self.speed_factor = 1.0
        self.condition = Condition.UP
        self.started_at: float | None = None  # None: long ago
        self.running: list[tuple[float, int, Job]] = []
        self.queue: deque[Job] = deque()
        self.sequence = count()
        # work done for each running request up to `attained_at`, and its increase per second since then
        self.attained_work, self.attained_at, self.rate = 0.0, clock.now, 0.0
        self.next_completion: ScheduledCall | None = None
        self.connections = 0
        self.served = self.rejected = self.refused = self.handshakes = 0
        self.busy_core_seconds = 0.0
        self.cold_arrivals: deque[tuple[float, bool]] = deque()  # times while cold, and whether start known
        self.collapsed = False
        # called with the machine, its recent requests from informed gateways, and all recent requests
        self.on_collapse: Callable[[Machine, int, int], None] = lambda machine, informed, total: None

    # capacity and work

    def speed_share(self) -> float:
        """The share of its full speed that it has now."""
        age = self.config.warm_within if self.started_at is None else self.clock.now - self.started_at
        if age >= self.config.warm_within:
            return 1.0
        return self.config.cold_from + (1.0 - self.config.cold_from) * age / self.config.warm_within

    def capacity(self) -> float:
        """Requests per second that it can serve now."""
        return self.config.cores * self.speed * self.speed_factor * self.speed_share() / self.mean_work

    def advance(self) -> None:
        """Accounts for the work done up to now and schedules the next completion."""
        now, running = self.clock.now, len(self.running)
        self.attained_work += self.rate * (now - self.attained_at)
        if self.rate > 0.0:
            self.busy_core_seconds += min(running, self.config.cores) * (now - self.attained_at)
        self.attained_at = now
        is_working = running and self.condition is Condition.UP
        core_share = min(1.0, self.config.cores / running) if is_working else 0.0
        self.rate = core_share * self.speed * self.speed_factor * self.speed_share()
        if self.next_completion is not None:
            self.next_completion.cancel()
            self.next_completion = None
        if self.rate > 0.0:
            delay = max(self.running[0][0] - self.attained_work, 0.0) / self.rate
            if self.started_at is not None and self.speed_share() < 1.0:
                delay = min(delay, WARM_UP_STEP)
            self.next_completion = self.clock.later(delay, self.complete_due)

    def complete_due(self) -> None:
        """Ends the finished requests and starts queued ones."""
        self.next_completion = None
        self.advance()
        done = []
        while self.running and self.running[0][0] <= self.attained_work + 1e-9:
            done.append(heapq.heappop(self.running)[2])
        while self.queue and len(self.running) < self.config.slots:
            self.start_job(self.queue.popleft())
        self.advance()
        for job in done:
            self.served += not job.abandoned
            if not job.abandoned:
                job.done(job, True)

    def start_job(self, job: Job) -> None:
        job.finish_at = self.attained_work + job.work
        heapq.heappush(self.running, (job.finish_at, next(self.sequence), job))

    # requests and connections

    def receive(self, job: Job) -> None:
        """Starts, queues or rejects a complete request."""
        if self.condition is not Condition.UP:
            return
        self.record_cold_arrival(job.start_known)
        self.advance()
        if len(self.running) < self.config.slots:
            self.start_job(job)
            self.advance()
        elif len(self.queue) < self.config.queue:
            self.queue.append(job)
        else:
            self.rejected += 1
            job.done(job, False)

    def abandon(self, job: Job) -> None:
        """Its connection was closed: a queued request is dropped, a running one continues."""
        job.abandoned = True
        if job in self.queue:
            self.queue.remove(job)

    def record_cold_arrival(self, start_known: bool) -> None:
        """Collapses a cold machine that has received more than `fall_multiple` of its capacity."""
        if self.started_at is None or self.speed_share() >= 1.0:
            return
        now, config = self.clock.now, self.config
        self.cold_arrivals.append((now, start_known))
        while self.cold_arrivals[0][0] < now - config.overload_for:
            self.cold_arrivals.popleft()
        tolerated = config.fall_multiple * self.capacity() * config.overload_for
        if len(self.cold_arrivals) > tolerated + 2.0 * tolerated**0.5 + 2.0:  # margin for random arrivals
            self.collapsed = True
            self.on_collapse(
                self, sum(known for _, known in self.cold_arrivals), len(self.cold_arrivals))
            self.fail(Condition.DOWN)

    def connect(self) -> bool:
        """Whether one more connection is accepted; its handshake adds to the work of its first request."""
        if self.condition is Condition.DOWN or self.connections >= self.config.connections:
            self.refused += 1
            return False
        self.connections += 1
        self.handshakes += 1
        return True

    # faults

    def fail(self, condition: Condition) -> None:
        """Sets that condition; a machine that is down loses its requests and connections."""
        self.advance()
        self.condition = condition
        if condition is Condition.DOWN:
            self.running.clear()
            self.queue.clear()
            self.connections = 0
        self.advance()

    def recover(self, cold: bool) -> None:
        self.condition = Condition.UP
        if cold:
            self.started_at = self.clock.now
            self.cold_arrivals.clear()
        self.advance()

    def slow_down(self, factor: float) -> None:
        """Makes all work take `factor` times as long from now on; 1 restores the full speed."""
        self.advance()
        self.speed_factor = 1.0 / factor
        self.advance()
