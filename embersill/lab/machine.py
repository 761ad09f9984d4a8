"""A backend in the model: cores that its requests share, a line, a connection table, a cold start."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from enum import Enum
from itertools import count

from embersill.lab.clock import Event, Time
from embersill.lab.scenario import BackendForm

WARMING_EVERY = 0.25  # seconds between looks at what a cold one can do: 1 to 3% of its full


class Condition(Enum):
    UP = "up"
    HANGING = "hanging"  # takes what comes, and answers nothing
    DOWN = "down"  # refuses connections


class Job:
    """One request there, until it has its answer or was given up."""

    __slots__ = ("done", "finish", "over", "told", "work")

    def __init__(self, work: float, done: Callable[[Job, bool], None], told: bool = True) -> None:
        self.work, self.done = work, done  # done: with True for an answer, False where it was turned away
        self.told = told  # its gateway had heard of the machine's last start
        self.finish = 0.0  # on the machine's own count of work per request
        self.over = False  # nobody waits for it; its work goes on, as no site lets it be called off


class Machine:
    """Processor sharing: up to `slots` requests share the cores evenly, none gets more than one core."""

    def __init__(self, clock: Time, form: BackendForm, name: str, zone: str, cell: int, speed: float,
                 mean_work: float) -> None:
        """`mean_work`: seconds of one core that a request takes, by which its capacity is told."""
        self.clock, self.form, self.name, self.zone, self.cell = clock, form, name, zone, cell
        self.speed, self.mean_work = speed, mean_work
        self.slowed = 1.0
        self.condition = Condition.UP
        self.started: float | None = None  # or long ago
        self.running: list[tuple[float, int, Job]] = []
        self.line: deque[Job] = deque()
        self.numbers = count()
        self.attained, self.since, self.rate = 0.0, clock.now, 0.0  # work done for each that runs, since when
        self.next: Event | None = None
        self.connections = 0
        self.served = self.turned_away = self.refused = self.handshakes = 0
        self.busy = 0.0  # seconds of cores spent
        self.recent: deque[tuple[float, bool]] = deque()  # arrivals while cold, and if told
        self.fell = False
        self.fallen: Callable[[Machine, int, int], None] = lambda machine, told, work: None

    # what it can do

    def share(self) -> float:
        """The part of its speed that it has now."""
        age = self.form.warm_within if self.started is None else self.clock.now - self.started
        if age >= self.form.warm_within:
            return 1.0
        return self.form.cold_from + (1.0 - self.form.cold_from) * age / self.form.warm_within

    def capacity(self) -> float:
        """Requests a second, now."""
        return self.form.cores * self.speed * self.slowed * self.share() / self.mean_work

    def turn(self) -> None:
        """Counts the work done up to now, and looks when the next is done from here on."""
        now, running = self.clock.now, len(self.running)
        self.attained += self.rate * (now - self.since)
        if self.rate > 0.0:
            self.busy += min(running, self.form.cores) * (now - self.since)
        self.since = now
        works = running and self.condition is Condition.UP
        each = min(1.0, self.form.cores / running) if works else 0.0
        self.rate = each * self.speed * self.slowed * self.share()
        if self.next is not None:
            self.next.cancel()
            self.next = None
        if self.rate > 0.0:
            left = max(self.running[0][0] - self.attained, 0.0) / self.rate
            if self.started is not None and self.share() < 1.0:
                left = min(left, WARMING_EVERY)
            self.next = self.clock.later(left, self.finish)

    def finish(self) -> None:
        self.next = None
        self.turn()
        done = []
        while self.running and self.running[0][0] <= self.attained + 1e-9:
            done.append(heapq.heappop(self.running)[2])
        while self.line and len(self.running) < self.form.slots:
            self.begin(self.line.popleft())
        self.turn()
        for job in done:
            self.served += not job.over
            if not job.over:
                job.done(job, True)

    def begin(self, job: Job) -> None:
        job.finish = self.attained + job.work
        heapq.heappush(self.running, (job.finish, next(self.numbers), job))

    # what comes

    def take(self, job: Job) -> None:
        """A whole request has come."""
        if self.condition is not Condition.UP:
            return
        self.note_arrival(job.told)
        self.turn()
        if len(self.running) < self.form.slots:
            self.begin(job)
            self.turn()
        elif len(self.line) < self.form.queue:
            self.line.append(job)
        else:
            self.turned_away += 1
            job.done(job, False)

    def give_up(self, job: Job) -> None:
        """Its client closed: one in line is dropped, one that runs goes on for nothing."""
        job.over = True
        if job in self.line:
            self.line.remove(job)

    def note_arrival(self, told: bool) -> None:
        """A cold one that gets more than a multiple of what it can do, for long enough, falls over."""
        if self.started is None or self.share() >= 1.0:
            return
        now, form = self.clock.now, self.form
        self.recent.append((now, told))
        while self.recent[0][0] < now - form.overload_for:
            self.recent.popleft()
        most = form.fall_multiple * self.capacity() * form.overload_for
        if len(self.recent) > most + 2.0 * most**0.5 + 2.0:  # chance alone brings some more
            self.fell = True
            self.fallen(self, sum(told for _, told in self.recent), len(self.recent))
            self.fail(Condition.DOWN)

    def connect(self) -> bool:
        """True where one more connection is taken; its handshake is the first request's to bear."""
        if self.condition is Condition.DOWN or self.connections >= self.form.connections:
            self.refused += 1
            return False
        self.connections += 1
        self.handshakes += 1
        return True

    # what goes wrong

    def fail(self, condition: Condition) -> None:
        self.turn()
        self.condition = condition
        if condition is Condition.DOWN:
            self.running.clear()
            self.line.clear()
            self.connections = 0
        self.turn()

    def recover(self, cold: bool) -> None:
        self.condition = Condition.UP
        if cold:
            self.started = self.clock.now
            self.recent.clear()
        self.turn()

    def slow_down(self, factor: float) -> None:
        """Takes so many times as long for all from now on; 1 ends it."""
        self.turn()
        self.slowed = 1.0 / factor
        self.turn()
