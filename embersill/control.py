"""Every decision of a gateway. Its types, events and actions stand in embersill/interface.py."""

from __future__ import annotations

import random
import zlib
from bisect import bisect
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from itertools import accumulate, islice
from math import ceil, exp, gcd, inf, log2, sqrt
from typing import TYPE_CHECKING, Any

from embersill.ceiling import CeilingLease, CeilingShare, even_share, share_ceiling
from embersill.interface import (
    Action, AddToCounter, AggregationSettings, AttemptEnded, Backend, BackendList, BackendStatus, Cancel,
    ClientDisconnected, CloseUnusedConnections, ConnectFailed, CounterCallEnded, DedupScope, Event, Fail,
    FlushCounts, ListKind, Outcome, Plan, PoolSettings, Preconnect, PredecessorEnded, PredecessorState,
    Refuse, RepeatPolicy, Request, RequestClass, Restore, Send, SetPoolSize, SetTimer, Settings,
    SettingsChanged, StreamStarted, Subscribe, Suspend, TimerExpired, UploadCompleted,
)
from embersill.records import Attempt, Job
from embersill.serving_set import ServingSet
from embersill.settings import validate_settings
from embersill.state_transfer import end_predecessor, restore_state, export_state
from embersill.work_times import SheddingState, WorkTimes

if TYPE_CHECKING:
    from embersill.call_budget import CallBudget

PERIOD = 1.0  # seconds that a demand count covers
HOLD_SHARE = 0.4  # of the aim that a request may wait for credit
READING_LIFE = 2.5  # periods that a reading decides the slice: it outlives one lost call
DEMAND_BLEND = 0.5  # weight of the last period in the smoothed demand
NEED_SHARE = 0.8  # of the even slice asked for, or of the bank spent, from which a customer is counted
LEAST_SLICE = 0.1  # of the even slice that is always kept, for a customer who moves here
EPOCH = 60.0  # seconds of use that one name of a thin customer adds up: the longest life of a name
COUNTED_GATEWAYS = 100.0  # gateways all of whose thin requests the counter is first taken to bear
SOON = 0.25  # of the period until the counter is told; of the burst unused until its sum is put right
COUNT_MORE = 1.03  # times the counted part of thin requests for each answer of the counter in time
COUNT_LESS = 0.7  # times it for a call that is turned away or late
PATIENT = 0.9  # of the patience with a call: one lost sooner broke off, which is neither crowd nor silence
BLEND = 0.15  # weight of one sample in a backend's learned figures
FORGET = 8.0  # seconds in which the failures held against a backend halve
WORST = 8.0  # failures held against one at the most
BROKEN_HELD = 0.25  # failures that a broken connection counts for: it may be the path's
FAILING = 2.0  # failures from which nothing is sent while another backend serves
TRY_EVERY = 1.0  # seconds after a failure from which a failing one is tried where no other has room
SHUN = 0.5  # failures held against a backend from which another draw is made in its place
GREETINGS = 12.0  # first requests a second for a restored backend, of all gateways together, at the most
GREETINGS_PART = 0.8  # of the chance allowed at a cold backend that these may use
GREET_EVERY = 1.0  # seconds between the lone requests for a restored backend, until it has answered one
FULL_FOR = 15.0  # seconds that a backend which turned a plan or a class away is passed over for it
LATE_AT = 0.35  # of the aim up to which no answer counts as late
LATE_OVER_WORK = 2.0  # times what the work takes up to which none does either, within the aim
NONE_SHED = 0.95  # of requests sent on, from which answers show work rather than waiting
RELIEVED = 0.1  # of requests sent on, up to which backends are taken to stand idle
RELIEVED_AFTER = 1.0  # seconds of that in which what was sent before has been answered
COLD_LIMIT = 12.0  # attempts out at a cold backend from all gateways, times its share of its capacity
PACE_OVER = 5.0  # seconds over which the answers of backends are averaged
LEAST_PACED = 1.0  # seconds after a start from which that average counts
START_TOLD_WITHIN = 2.0  # seconds after a backend's start in which the list tells it, if no clock is off
FOLLOWED_AFTER = 5.0  # seconds after the first list from which all that is new in it has just begun
MOST_LEFT = 16_384  # backends that left the list whose last starts are kept
SURE_PLACES = 2  # gateways that may call a cold backend once in its window whatever is known
START_LIMIT = 8.0  # attempts out at a backend, all gateways together, before anything is learned of it
LEAST_LIMIT = 4.0  # the same once it is under pressure
LEAST_OUT = 1.0  # attempts that a gateway may always have out
OUT_LESS = 0.5  # attempts that a late answer takes from the limit
OUT_SLACK = 2.0  # attempts above what is out that a late answer leaves, less OUT_LESS
OUT_MORE = 0.5  # attempts that one in time adds to the limit while half of it is in use
PASS_LESS = 0.7  # times the part that is sent on for a late answer
PASS_MORE = 1.25  # times it for one in time
LEAST_PART = 0.05  # of requests sent on, or counted: some must tell that the trouble is over
JUDGE_EVERY = 1.0  # seconds from the last judged answer from which one counts in full
WORTH_WAITING = 0.5  # of the worth left after the aim for which an attempt is kept on until the deadline
RETRY_SHARE = 0.15  # further attempts that each first one earns
RETRY_STORE = 10.0  # further attempts that may be saved up
CHOICES = 2  # candidates drawn for each send: more would herd on one gateway's view
COVER = 8  # gateways that use a backend, where backends are few
LEAST_COVER = 2  # gateways that use a backend at the least, so that it bears the loss of one
APERTURE = 12  # backends that a gateway uses at the least
MOST_APERTURE = 48  # backends that a gateway uses, from which COVER gives way
WEIGH_EVERY = 0.25  # seconds that the weights of a draw may be old
FEW_TO_WEIGH = 256  # backends in use up to which that holds; for more the time grows with their number
FEW_TO_SCAN, PICKS = 64, 16  # backends up to which all are looked at where draws fail; picks among more
SCAN_MOST = 1024  # backends looked at for one request where none of those drawn is fit
DRAWS = 8  # draws for the candidates before that
LEAST_ADVICE = 0.05  # seconds told to come back in at the least
LONGEST_ADVICE = 60.0  # seconds told to come back in where nothing here will ever let such a request go
LEASE_NAME = "lease"  # of the counter name that leases of a customer's ceiling are taken from
WIDE = 4  # gateways of a set from which demand is too uneven for a slice that follows it by seconds
WIDE_BANK = 2.0  # requests that a slice must hold there, or it goes by the counter's level
LINKS_MORE = 0.5  # seconds between tries of one more connection at a full backend, of all gateways together
LINKS_SPARE = 8.0  # connections above the limit on attempts from which a learned bound ends
CROWDED_IDLE = 1.0  # seconds that a connection to a full backend is kept idle: others wait for its place
CROWDED_FOR = 0.1  # seconds in which the attempt that found the table full is told of as well
LOAD_OVER = 10.0  # seconds over which the use of a backend's connections is averaged
LOAD_CHANCE = 2.0  # standard deviations above the mean use for which idle connections are kept
WARM_OVER = 1.0  # seconds over which gateways spread what they open ahead, as a list reaches all at once
SMALL_UNITS = 16  # units of a request up to which each whole number has an answer time of its own
EPS = 1e-9  # float slack where levels are compared


class Throttle:
    """Token bank and job buffer of one customer here, as one level: above nought credit, below units held.

    A request is charged as it comes and leaves first come, once the credit without those behind covers it.
    """

    def __init__(
        self, customer: str, plan: Plan, width: int, now: float, born: float, most_units: float = 0.0,
        ceiling: CeilingShare | None = None,
    ) -> None:
        self.customer, self.plan, self.width = customer, plan, width
        ceiling = ceiling or even_share(plan, width)
        self.share = 1.0 / (ceiling.holders or width)
        self.rate, self.bank = plan.rate * self.share, plan.burst * self.share
        self.level, self.stamp = self.bank, now
        self.queue: deque[Job] = deque()
        self.held = self.timer = 0.0
        self.open = 0
        self.first_gateway: int | None = None  # of the customer's set, as its requests tell
        self.lease = CeilingLease(ceiling.terms) if ceiling.terms is not None else None
        # this gateway's part of the ceiling, as far as refilled since its start: before that it may have sent
        self.cap_depth, self.cap_rate = ceiling.depth, ceiling.rate
        self.cap = min(self.cap_depth, self.cap_rate * (now - born))
        self.second, self.asked, self.last_asked = -1, 0.0, 0.0
        self.own = self.total = self.read_until = self.fresh_until = 0.0
        self.counting = self.asking = False  # a timer to count, a reading that requests wait for, is out
        self.added, self.reading = 0.0, ""  # what this gateway added to the name it reads, and that name
        least = most_units * width * (WIDE_BANK if width > WIDE else 1.0)
        self.thin = width > 1 and 0 < plan.burst < least and plan.rate > 0
        self.correction: dict[str, float] = {}  # of a name's sum, that the next call for it makes
        self.uncounted = 0.0  # units sent on that the counter has not been told, or told too much if below
        # out: name, units asked for, amount to keep, and what is added to put the sum right
        self.calls: deque[tuple[str, float, float, float]] = deque()

    def refill(self, now: float) -> None:
        self.level = max(self.level, min(self.level + self.rate * (now - self.stamp), self.bank - self.held))
        self.cap = min(self.cap_depth, self.cap + self.cap_rate * (now - self.stamp))
        self.stamp = now

    def set_share(self, share: float, now: float) -> None:
        self.refill(now)
        self.share = share
        self.rate, self.bank = self.plan.rate * share, self.plan.burst * share
        self.level = min(self.level, self.bank - self.held)

    def wait(self, units: float) -> float:
        """Seconds until the head of the buffer, or a newcomer to an empty one, may leave."""
        wait = 0.0
        short = min(units, self.bank) - (self.level + self.held)
        if self.plan.rate > 0 and short > EPS:
            wait = short / self.rate
        return wait if self.lease is not None else max(wait, self.part_wait(units))

    def part_wait(self, units: float) -> float:
        """Seconds until this gateway's own part of the ceiling holds so many units; inf if it never does."""
        if self.plan.ceiling_rate <= 0 or units - self.cap <= EPS:
            return 0.0
        return (units - self.cap) / self.cap_rate if self.cap_rate > 0 else inf

    def under_ceiling(self, units: float, now: float) -> bool:
        """Whether this gateway may send so many units on now, by its part of the ceiling and its leases."""
        leased = self.lease.available(now) if self.lease is not None else 0.0
        return self.plan.ceiling_rate <= 0 or units <= self.cap + leased + EPS

    def charge_ceiling(self, units: float, now: float) -> None:
        """Takes units off: leased ones first, as these lapse."""
        if self.plan.ceiling_rate > 0:
            self.cap -= self.lease.charge(units, now) if self.lease is not None else units

    @property
    def awaits_lease(self) -> bool:
        """Whether a call for units of the ceiling is out."""
        return self.lease is not None and self.lease.requested > 0

    def has_open(self) -> bool:
        return self.plan.concurrency <= 0 or self.open < max(1, self.plan.concurrency // self.width)

    def note_demand(self, units: float, now: float) -> None:
        second = int(now // PERIOD)
        if second != self.second:
            self.last_asked = self.asked if second == self.second + 1 else 0.0
            self.second, self.asked = second, 0.0
        self.asked += units

    def unhold(self, job: Job) -> None:
        self.queue.remove(job)
        self.held = self.held - job.request.units if self.queue else 0.0

    def idle(self, now: float) -> bool:
        self.refill(now)
        full = (self.plan.rate <= 0 or self.level >= self.bank - EPS) and self.cap >= self.cap_depth - EPS
        waits = self.asking or self.awaits_lease
        return full and not (self.queue or self.open or self.counting or self.calls or waits)


class Server:
    """What this gateway knows of one backend."""

    def __init__(self, backend: Backend, limit: float, now: float, place: int) -> None:
        self.backend, self.touched = backend, now
        self.place = place  # this gateway's among all there
        self.started = backend.started_at  # or when staff put it back, if that was later
        self.flight = self.overdue = 0  # attempts out, and those of them that are late already
        self.failed = now  # when it last did
        self.bad = 0.0  # what is held against it: doubles and one more for each failure, halves with time
        self.full: dict[tuple[str, str], float] = {}  # class and plan: until when it is passed over
        self.limit, self.least = limit, max(1.0, limit * LEAST_LIMIT / START_LIMIT)  # attempts out from here
        self.links, self.more_at = inf, now  # connections that it takes from here, and when one more is tried
        self.crowded = -inf  # when it last took no more
        self.load, self.noted, self.keep = 0.0, now, inf  # attempts out on average; idle connections to keep
        self.calls: list[float] = []  # when it was called while cold, in the last window of the rule

    def cold_share(self, now: float, settings: Settings) -> float:
        """The least part of its capacity that it has now; 1 once it must be warm."""
        age = settings.warm_within if self.started is None else max(0.0, now - self.started)
        if age >= settings.warm_within:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.warm_within

    def fade(self, now: float) -> None:
        if self.bad:
            self.bad *= 0.5 ** ((now - self.touched) / FORGET)
        self.touched = now


class Gateway:
    """Decides for one gateway, on its settings and the events that it is given, and on nothing else."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        validate_settings(settings)
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.random = random.Random(seed)
        self.born = self.now = now
        self.actions: list[Action] = []
        self.given_up: Counter[str] = Counter()  # requests this gateway ended itself, by reason
        self.servers: dict[str, Server] = {}
        self.serving = ServingSet(frozenset(
            c.dedup_scope for c in settings.classes if c.repeat_policy is RepeatPolicy.BY_KEY))
        self.drawable: list[Server] = []  # those of them that this gateway uses, when they were last weighed
        self.weights: list[float] = []  # theirs, summed up
        self.weigh_at = now
        self.first_listed_at: float | None = None  # when the list was first heard of, and last
        self.last_listed_at = now
        self.left_starts: dict[str, tuple[float | None, float | None]] = {}  # of those that left the list:
        # their last starts, as listed and as they were taken here
        self.known: set[str] = set()  # ids of all backends that were ever listed
        self.banned: set[str] = set()  # ids that staff took out, whatever the list says of them
        self.greet: dict[str, float] = {}  # restored, not answered yet: when it gets its next
        self.handed = False  # a successor has all that is not under way: requests that still come are its
        self.before: list[tuple[Any, str, float]] = []  # what the process before has out, by where it counts
        self.drawn: Server | None = None  # the restored backend that gets its first request
        self.blamed: dict[Server, None] = {}  # those that failed, until that is forgotten
        self.sizes: dict[str, float] = {}  # mean rating of a kind of machine against that of all that serve
        self.kinds: dict[str, float] = {}  # answer time of a kind of machine against the fleet's
        self.jobs: dict[int, Job] = {}
        self.throttles: dict[str, Throttle] = {}
        self.sweep: deque[str] = deque()
        self.usual: dict[tuple[str, float], float] = {}
        self.fleet_fails, self.retry_credit = 0.0, RETRY_STORE
        self.passed, self.judged = 1.0, now
        self.relieved_since = inf  # since when next to nothing is sent on
        self.work_times = WorkTimes()
        self.flight, self.limit = 0, float("inf")  # attempts out and not late, and how many may be
        self.paced, self.paced_at = 0.0, now  # requests served, of which a part is forgotten with time
        self.cold_capacity, self.warm_up_at = 0.0, now  # of the cold ones, as it was when they were looked at
        self.quiet_until, self.count_fails = now, 0
        self.counted_part = min(1.0, COUNTED_GATEWAYS / settings.gateways)
        self.budget: CallBudget | None = None
        self.tune(settings.pool, settings.aggregation)
        # part of the counted thin requests that had the credit, by plan and whether the slice covered them
        self.granted = {(p.name, sure): float(sure) for p in settings.plans for sure in (False, True)}

    @property
    def order(self) -> Sequence[Server]:
        """Those that serve, for drawing."""
        return self.serving.all.items

    def handle(self, event: Event, now: float) -> list[Action]:
        self.now = max(self.now, now)
        self.actions = []
        handler = HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)
        return self.actions

    def tune(self, pool: PoolSettings, told: AggregationSettings | None) -> None:
        """Takes how connections are kept and counter calls bounded; with a bound all use is counted."""
        if self.settings.aggregation != told:
            self.budget = None
        self.settings = replace(self.settings, pool=pool, aggregation=told)
        if told is not None and self.budget is None:
            from embersill.call_budget import CallBudget  # loaded only where it is used
            self.budget, self.counted_part = CallBudget(told, self.now), 1.0

    def may_call(self, throttle: Throttle, urgent: bool = False, units: float = 0.0) -> bool:
        """Whether the budget, if there is one, allows a counter call, and is charged for it."""
        return self.budget is None or self.budget.try_take(throttle, urgent, units, self.now)

    def arrive(self, request: Request) -> None:
        if request.id in self.jobs:
            return
        if self.handed:
            self.given_up["handed over"] += 1
            return self.actions.append(Refuse(request.id, self.advice(LEAST_ADVICE), "handed over"))
        klass, plan = self.classes.get(request.request_class), self.plans.get(request.plan)
        if klass is None or plan is None or request.deadline <= self.now:
            self.given_up["unknown or late"] += 1
            return self.actions.append(Refuse(request.id, self.advice(PERIOD), "unknown or late"))
        throttle = self.throttles.get(request.customer) or self.join(request, plan)
        self.jobs[request.id] = job = Job(request, klass, throttle, self.now)
        units = request.units
        throttle.refill(self.now)
        throttle.note_demand(units, self.now)
        spare = max(worth_until(job) - self.now - self.work_times.expected_class_seconds(klass.name), 0.0)
        bound = min(HOLD_SHARE * klass.aim, (request.deadline - self.now) / 2, spare)
        job.hold_until = self.now + bound
        if throttle.thin:
            self.read_level(job)
        else:
            self.start_counting(throttle)
        if job.reported_units < 0 and not job.admit_unchecked:
            return self.answer(job, PERIOD, "uncounted")
        free = not throttle.queue and throttle.has_open() and not throttle.asking
        covered = throttle.lease is None or throttle.under_ceiling(units, self.now)
        if free and covered and (job.admit_unchecked or throttle.wait(units) <= 0):
            throttle.level -= units if plan.rate > 0 else 0.0
            self.tell_later(job)
            return self.place(job)
        # the buffer: as many units as the rate brings within the wait bound
        behind = throttle.wait(0.0 if throttle.queue else units)
        if throttle.plan.rate > 0:
            behind = max(behind, (min(units, throttle.bank) - throttle.level) / throttle.rate)
        if behind > bound and not throttle.asking:
            return self.answer(job, behind, "over quota")
        behind = self.ceiling_wait(throttle, throttle.held + units)
        if behind > bound and not throttle.asking:
            return self.answer(job, behind, "over ceiling")
        throttle.queue.append(job)
        throttle.held += units
        throttle.level -= units if plan.rate > 0 else 0.0  # without a quota nothing would pay it back
        self.release(throttle)
        self.actions.append(SetTimer(max(bound, 1e-6), f"h{request.id}"))

    def drop_held(self, job: Job) -> None:
        throttle = job.throttle
        throttle.unhold(job)
        throttle.level += job.request.units if throttle.plan.rate > 0 else 0.0
        self.take_back(job)
        self.answer(job, throttle.wait(job.request.units), "held in vain")

    def release(self, throttle: Throttle) -> None:
        """Lets go what the credit covers, turns away what waited too long, and sets the next exact timer."""
        if self.budget is not None and throttle.thin and throttle.uncounted:
            self.tell_soon(throttle, 0.0)
        throttle.refill(self.now)
        while throttle.queue and not throttle.asking:
            job = throttle.queue[0]
            units = job.request.units
            wait = 0.0 if job.admit_unchecked and throttle.lease is not None else throttle.wait(units)
            leases = throttle.lease is not None and wait <= EPS and throttle.has_open()
            if leases and not throttle.under_ceiling(units, self.now):
                wait = self.lease_wait(throttle)
                if throttle.awaits_lease:
                    return
            if job.ended or wait == inf or throttle.thin and self.now + wait > job.hold_until + EPS:
                self.drop_held(job)
            elif throttle.has_open() and wait <= EPS:
                throttle.unhold(job)
                self.tell_later(job)
                self.place(job)
            else:
                due = self.now + wait
                if throttle.has_open() and (throttle.timer <= self.now or due < throttle.timer - EPS):
                    throttle.timer = due
                    self.actions.append(SetTimer(max(wait, 1e-6), "r" + throttle.customer))
                return

    def ceiling_wait(self, throttle: Throttle, units: float) -> float:
        """Seconds until the ceiling may let so many units go, at the least; inf where it never does."""
        lease = throttle.lease
        if lease is None or not self.may_lease():
            return throttle.part_wait(units)
        return 0.0 if units <= throttle.cap + lease.terms.units else inf

    def may_lease(self) -> bool:
        """Whether the counter can be asked now. An aggregator's totals don't begin anew with each life."""
        aggregation = self.settings.aggregation
        return self.now >= self.quiet_until and not (aggregation is not None and aggregation.directory)

    def lease_wait(self, throttle: Throttle) -> float:
        """Asks for units of the ceiling for the head of the buffer and those behind; seconds until it can."""
        lease, first = throttle.lease, throttle.queue[0].request.units
        assert lease is not None
        if lease.requested > 0:
            return inf
        if not self.may_lease():
            return throttle.part_wait(first)
        if self.now < lease.retry_at:
            return min(lease.retry_at - self.now, throttle.part_wait(first))
        if not self.may_call(throttle, units=first):
            return min(lease.terms.name_ttl, throttle.part_wait(first))
        have = throttle.cap + lease.available(self.now)
        lease.start_request(min(self.units_due(throttle) - have, lease.terms.units), self.now)
        self.actions.append(AddToCounter(f"{throttle.customer}.{LEASE_NAME}", lease.requested, lease.terms.name_ttl))
        return inf

    def units_due(self, throttle: Throttle) -> float:
        """Units of the held requests that the quota would let go now, the first of them in any case."""
        credit = throttle.level + throttle.held if throttle.plan.rate > 0 else inf
        due = throttle.queue[0].request.units
        for job in islice(throttle.queue, 1, None):
            if due + job.request.units > credit:
                break
            due += job.request.units
        return due

    def lease_told(self, throttle: Throttle, event: CounterCallEnded) -> None:
        """The counter's word on a call for units of the ceiling."""
        lease = throttle.lease
        if lease is None or lease.requested <= 0:
            return
        if event.outcome is Outcome.SERVED:
            lease.apply_grant(event.total, self.now, self.random.random())
        else:
            lease.apply_failure()
        self.release(throttle)

    def join(self, request: Request, plan: Plan) -> Throttle:
        """A throttle for a customer; two others are looked at, so that idle full ones go without a scan."""
        for _ in range(min(2, len(self.sweep))):
            customer = self.sweep.popleft()
            old = self.throttles[customer]
            if old.read_until < self.now and old.second < self.now // PERIOD and old.idle(self.now):
                del self.throttles[customer]
            else:
                self.sweep.append(customer)
        width = max(1, request.gateway_count or self.settings.gateways)
        throttle = self.new_throttle(request.customer, plan, width, request.first_gateway)
        self.throttles[request.customer] = throttle
        self.sweep.append(request.customer)
        return throttle

    def new_throttle(
        self, customer: str, plan: Plan, width: int, first_gateway: int | None = None
    ) -> Throttle:
        """`first_gateway`: of the customer's set; None where it is not known, as another process's heir."""
        told = self.settings
        most = told.max_units if told.counter else 0.0
        patience = told.counter_timeout if told.counter else None
        rank = width if first_gateway is None else (told.gateway_index - first_gateway) % told.gateways
        ceiling = share_ceiling(plan, width, rank, told.max_units, patience)
        made = Throttle(customer, plan, width, self.now, self.born, most, ceiling)
        made.first_gateway = first_gateway
        return made

    def start_counting(self, throttle: Throttle) -> None:
        """One timer a second for a customer with new use, at a moment that all its gateways share."""
        if not self.settings.counter or throttle.counting or throttle.width < 2 or throttle.plan.rate <= 0:
            return
        throttle.counting = True
        due = (self.now // PERIOD + 1 + (zlib.crc32(throttle.customer.encode()) % 997) / 1250) * PERIOD
        self.actions.append(SetTimer(max(due - self.now, 1e-6), "c" + throttle.customer))

    def add_demand(self, throttle: Throttle) -> None:
        """Adds the finished second's demand; skips customers far from their quota, who could not need it."""
        throttle.counting = False
        if self.handed:
            return  # the successor counts for both
        if throttle.thin:
            waits = self.budget is not None and self.budget.covered_by_reading(throttle, 0.0, self.now)
            if throttle.uncounted and not waits and self.now >= self.quiet_until and self.may_call(throttle):
                self.count_use(throttle, 0.0)
            elif throttle.uncounted and self.budget is not None:
                throttle.counting = True
                self.actions.append(SetTimer(self.budget.defer(throttle.customer), "c" + throttle.customer))
            return
        throttle.note_demand(0.0, self.now)
        second, asked = throttle.second - 1, throttle.last_asked
        throttle.own += DEMAND_BLEND * (asked / PERIOD - throttle.own)
        throttle.refill(self.now)
        if throttle.read_until < self.now:
            throttle.set_share(1.0 / throttle.width, self.now)
        if asked > 0 or throttle.asked > 0 or throttle.own > 0.05 * throttle.plan.rate:
            self.start_counting(throttle)
        even = throttle.plan.rate / throttle.width
        needy = throttle.level < (1.0 - NEED_SHARE) * throttle.bank or throttle.own > NEED_SHARE * even
        if self.now >= self.quiet_until and needy and (asked <= 0 or self.may_call(throttle)):
            throttle.added = asked
            if asked > 0:
                self.actions.append(AddToCounter(f"{throttle.customer}.{second}", asked, 4 * PERIOD))
            wait = max(self.settings.counter_timeout, EPS)
            self.actions.append(SetTimer(wait, f"d{second} {throttle.customer}"))
        self.release(throttle)

    def counted(self, event: CounterCallEnded) -> None:
        throttle = self.throttles.get(event.name.rpartition(".")[0])
        waited = event.elapsed >= PATIENT * self.settings.counter_timeout
        if event.outcome is Outcome.SERVED:
            self.count_fails = 0
            self.counted_part = min(1.0, self.counted_part * COUNT_MORE)
        elif waited or event.outcome is not Outcome.TIMED_OUT:
            self.count_fails = min(self.count_fails + 1, 4)  # it is left alone for longer: the even slice
            lone = self.count_fails < 2 and (event.outcome is Outcome.TIMED_OUT or self.budget is not None)
            if not lone:  # one late among prompt ones, or one of several aggregators
                self.quiet_until = self.now + PERIOD * 2 ** self.count_fails / 8
            if not lone and self.budget is not None:
                self.budget.tokens, self.budget.refilled_at = 0.0, self.quiet_until  # no burst at its return
            if event.outcome is not Outcome.NO_CONNECTION and self.count_fails < 3:  # crowded, not silent
                self.counted_part = max(self.counted_part * COUNT_LESS, LEAST_PART)
        if throttle is not None and event.name.endswith(f".{LEASE_NAME}"):
            self.lease_told(throttle, event)
        elif throttle is not None and throttle.thin:
            self.level_read(throttle, event)
        elif throttle is not None and event.outcome is Outcome.SERVED and event.name == throttle.reading:
            throttle.reading = ""
            self.read_total(throttle, event.total)

    def read_total(self, throttle: Throttle, total: float) -> None:
        if total < throttle.added * (1.0 - 1e-6) - EPS:
            return  # counts were lost, not demand: the reading before stands
        throttle.total += DEMAND_BLEND * (total / PERIOD - throttle.total)
        throttle.total = max(throttle.total, throttle.own)
        throttle.read_until = self.now + READING_LIFE * PERIOD
        quota = throttle.plan.rate
        room = (quota - throttle.total) / throttle.width
        rate = throttle.own + room if room >= 0 else quota * throttle.own / throttle.total
        throttle.set_share(max(rate / quota, LEAST_SLICE / throttle.width), self.now)
        self.release(throttle)

    def read_level(self, job: Job) -> None:
        """Asks the counter for the customer's level where the slice at this gateway can't tell.

        A slice is thin where many gateways share a quota: its bank never holds a request, and a second of its
        demand is nought or one. There the room is not split: a reading tells the level of the whole quota,
        from the units that all gateways sent on. Where the counter is crowded a part is counted for the rest.
        """
        throttle, units = job.throttle, job.request.units
        even = self.now >= throttle.read_until
        if even and throttle.share == 1.0:
            throttle.set_share(1.0 / throttle.width, self.now)
        trusted = self.budget is not None and self.budget.covered_by_reading(throttle, units, self.now)
        if trusted or throttle.asking or self.now < max(throttle.fresh_until, self.quiet_until):
            return
        wait = throttle.wait(units)
        if not even and wait > job.hold_until - self.now:
            return  # too little, even if no other gateway has used any since
        sure = wait <= 0 and (even or throttle.level >= throttle.bank / 2)
        passes = not self.doubtful(throttle.plan, sure)
        if self.random.random() >= self.counted_part or not self.may_call(throttle, not passes, units):
            if self.budget is not None:  # what was left at the last reading may be used elsewhere by now
                throttle.read_until = self.now
                throttle.set_share(1.0 / throttle.width, self.now)
                passes = not self.doubtful(throttle.plan, throttle.wait(units) <= 0)
            job.admit_unchecked = passes and (self.budget is None or self.budget.may_defer(throttle, units))
            job.reported_units = 0.0 if job.admit_unchecked and self.budget is not None else -1.0
            return
        job.covered_by_slice, job.reported_units = (
            sure, units / self.counted_part if passes and not self.budget else units)
        throttle.asking = True
        self.count_use(throttle, job.reported_units)

    def doubtful(self, plan: Plan, sure: bool) -> bool:
        """True where an uncounted request would more likely cost than earn, by those that were counted."""
        granted = self.granted[plan.name, sure]
        return granted + (1.0 - granted) * (plan.over_quota_worth - plan.over_quota_cost) < 0

    def count_use(self, throttle: Throttle, asked: float, right: float = 0.0) -> None:
        name = f"{throttle.customer}.{int(self.now // EPOCH)}"
        right = right or throttle.correction.get(name, 0.0)
        throttle.correction = {}
        throttle.calls.append((name, asked, throttle.uncounted + asked, right))
        self.actions.append(AddToCounter(name, throttle.uncounted + asked + right, EPOCH))
        throttle.uncounted = 0.0

    def tell_later(self, job: Job) -> None:
        if job.throttle.thin and job.reported_units == 0:
            job.reported_units = job.request.units
            self.tell_soon(job.throttle, job.reported_units)

    def take_back(self, job: Job) -> None:
        if job.throttle.thin and job.reported_units > 0:
            self.tell_soon(job.throttle, -job.reported_units)
            job.reported_units = 0.0

    def tell_soon(self, throttle: Throttle, units: float) -> None:
        throttle.uncounted += units
        if not throttle.counting:
            throttle.counting = True
            self.actions.append(SetTimer(SOON * PERIOD / self.counted_part, "c" + throttle.customer))

    def settle_all(self) -> None:
        """The last word on units that were sent on or given back; the sums of others rest on it."""
        for throttle in self.throttles.values():
            if throttle.thin and throttle.uncounted and not self.handed:
                self.count_use(throttle, 0.0)

    def level_read(self, throttle: Throttle, event: CounterCallEnded) -> None:
        """Sets the level by the units sent on since the name's start; keeps the sum near a burst of it."""
        call = next((c for c in throttle.calls if c[0] == event.name), None)
        if call is None:
            return
        throttle.calls.remove(call)
        if event.outcome is Outcome.SERVED:
            burst = throttle.plan.burst
            spare = throttle.plan.rate * (self.now % EPOCH) - event.total  # unused, were there no burst
            twice = call[3] - max(0.0, spare + call[2] + call[3])  # others put it right before this call came
            trusted = self.budget.record_reading(throttle, event, call[3], spare, self.now) if self.budget else 0.0
            throttle.correction = {}
            if call[3] > 0 and twice > EPS:
                self.put_right(throttle, event.name, -twice)
            elif not call[3] and spare > (SOON * burst if call[2] else burst):
                self.put_right(throttle, event.name, spare)
            throttle.set_share(1.0, self.now)
            level = burst + spare + call[1]
            first = throttle.queue[0] if throttle.queue else None
            if call[1] > 0 and first is not None and first.reported_units > 0:
                key = (throttle.plan.name, first.covered_by_slice)
                self.granted[key] += BLEND * ((level >= first.request.units) - self.granted[key])
            if level < 0 < call[2] - call[1]:  # sent on beyond the quota, which takes nothing from it
                self.tell_soon(throttle, -min(call[2] - call[1], -level))
            throttle.level = min(burst, level) - throttle.held
            throttle.fresh_until = self.now + PERIOD / 10
            throttle.read_until = max(self.now + READING_LIFE * PERIOD, trusted)
        elif event.outcome is not Outcome.TIMED_OUT:
            throttle.uncounted += call[2]
        throttle.asking = False
        self.release(throttle)

    def put_right(self, throttle: Throttle, name: str, units: float) -> None:
        """Corrects a customer's sum; where no call is allowed now, with the next one."""
        if self.may_call(throttle, urgent=True):
            self.count_use(throttle, 0.0, units)
        elif units < 0:
            self.tell_soon(throttle, units)
        else:
            throttle.correction = {name: units}

    def usual_for(self, job: Job) -> float:
        """Seconds such a request takes on the fleet."""
        fallback = self.usual.get((job.request_class.name, 0.0), job.request_class.aim / 8)
        return self.usual.get((job.request_class.name, units_kind(job.request.units)), fallback)

    def place(self, job: Job) -> None:
        """Finds a backend for a request that has its credit, or turns it away."""
        if not job.attempts and self.pressed(job):
            return self.give_up(job, "pressed")
        server = self.choose(job)
        return self.give_up(job, "no backend") if server is None else self.send(job, server)

    def choose(self, job: Job) -> Server | None:
        """The better of two that are drawn; more replace the unfit, and those that failed unless all did."""
        pool, weighted = self.order, True
        if job.first_possibly_run is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            weighted = False
            pool = self.serving.group(
                job.request_class.dedup_scope, group_of(job.request_class, job.first_possibly_run.server))
        best, least, found = None, 0.0, 0
        self.drawn = self.greeted(job)
        if self.drawn is not None:
            return self.drawn
        for _ in range(DRAWS if pool else 0):
            server = self.draw(pool, weighted)
            cost = self.cost(job, server) if self.may_send(job, server) else -1.0
            if cost >= 0 and (best is None or cost < least):
                best, least = server, cost
            found += cost >= 0
            if found >= CHOICES and least < SHUN * job.request_class.aim:
                break
        if best is None or self.held_against(best) >= FAILING:
            best = self.pick_sound(job, pool) or self.find_fit(job, self.some_of(pool))
        return best

    def pick_sound(self, job: Job, pool: Sequence[Server]) -> Server | None:
        """A random one of the sound ones that may be sent to, if a few picks find one in a long list."""
        for _ in range(PICKS if len(pool) > FEW_TO_SCAN else 0):
            server = pool[int(self.random.random() * len(pool))]
            if self.held_against(server) < FAILING and self.may_send(job, server):
                return server
        return None

    def find_fit(self, job: Job, pool: Sequence[Server]) -> Server | None:
        """One that may be sent to, where draws found none that is sound: looks at each of the pool."""
        # what fails at once has always room: it draws all that the others are too full for
        sound = [s for s in pool if self.held_against(s) < FAILING]
        fit = [s for s in sound or pool if self.may_send(job, s)]
        if fit:
            return self.random.choice(fit)  # the first of a list is the same at all gateways
        # one that failed some time ago may be well again: a lone request tells
        tried = [s for s in pool if not s.flight and self.now - s.failed >= TRY_EVERY]
        return next((s for s in tried if self.may_send(job, s)), None)

    def some_of(self, pool: Sequence[Server]) -> Sequence[Server]:
        """The pool, or as much of it from a random place on as is looked at for one request."""
        if len(pool) <= SCAN_MOST:
            return pool
        begin = int(self.random.random() * len(pool))
        return [*pool[begin:begin + SCAN_MOST], *pool[:max(begin + SCAN_MOST - len(pool), 0)]]

    def draw(self, pool: Sequence[Server], weighted: bool) -> Server:
        """One of the pool; of all that serve by weight, as a cold backend has places for few gateways.

        What is out from one of forty gateways tells little of a backend's load: the draw must spread it.
        """
        if not weighted:
            return pool[int(self.random.random() * len(pool))]
        if self.now >= self.weigh_at or self.serving.weights_outdated and len(self.drawable) <= FEW_TO_WEIGH:
            self.weigh()
        total = self.weights[-1] if self.weights else 0.0
        if total <= 0:
            return pool[int(self.random.random() * len(pool))]
        place = bisect(self.weights, self.random.random() * total, 0, len(self.drawable) - 1)
        return self.drawable[place]

    def weigh(self) -> None:
        """How often each is drawn: by a part of the gateways, which keep their connections there in use.

        The part grows for a gateway that finds too few sound backends in its own.
        """
        if self.now >= self.warm_up_at:
            self.warm_up()
        self.sizes = self.serving.relative_ratings()
        width = self.cover(self.order)
        while True:
            self.drawable = self.serving.ranked_below(width, self.settings.gateways)
            weights = [self.weight(s, width) for s in self.drawable]
            sound = sum(w > 0 and self.held_against(s) < SHUN
                        for s, w in zip(self.drawable, weights, strict=True))
            if sound >= APERTURE / 2 or width >= self.settings.gateways:
                break
            width *= 2
        self.weights = list(accumulate(weights))
        self.weigh_at = self.now + WEIGH_EVERY * max(1.0, len(self.drawable) / FEW_TO_WEIGH)
        self.serving.weights_outdated = False

    def warm_up(self) -> None:
        """Looks at all cold ones, less often where there are many."""
        shares = [(s, s.cold_share(self.now, self.settings)) for s in self.serving.cold]
        self.serving.cold = {server: None for server, share in shares if share < 1.0}
        self.cold_capacity = sum(share for _, share in shares if share < 1.0)
        self.warm_up_at = self.now + WEIGH_EVERY * max(1.0, len(shares) / FEW_TO_WEIGH)

    @property
    def capacity(self) -> float:
        """Of those that serve, in warm backends."""
        return max(len(self.serving) - len(self.serving.cold) + self.cold_capacity, EPS)

    def cover(self, pool: Sequence[Server]) -> int:
        """Gateways that use each backend."""
        each = self.settings.gateways / max(len(pool), 1)
        return max(LEAST_COVER, min(COVER, ceil(MOST_APERTURE * each)), ceil(APERTURE * each))

    def weight(self, server: Server, width: int) -> float:
        """For what it can do now, shared by those gateways that have a place there."""
        share, places = server.cold_share(self.now, self.settings), min(width, self.settings.gateways)
        if self.has_few_places(share):
            places = min(places, self.cold_places(share))
        elif share < 1.0:
            share = 1.0  # what is out from here shows its load
        share *= self.size(server)
        return share * self.settings.gateways / places if server.place < places else 0.0

    def size(self, server: Server) -> float:
        return self.sizes.get(server.backend.machine_type, 1.0)

    def has_few_places(self, share: float) -> bool:
        return share < 1.0 and COLD_LIMIT * share < self.settings.gateways

    def held_against(self, server: Server) -> float:
        server.fade(self.now)
        return server.bad

    def greeted(self, job: Job) -> Server | None:
        """A restored backend that still waits for its first request: chance might keep it idle for long."""
        for address, due in self.greet.items():
            server = self.servers.get(address)
            if server is not None and due <= self.now and not job.attempts:
                self.drawn = server
                if self.may_send(job, server):
                    self.greet[address] = self.now + max(GREET_EVERY, self.greeting_round())
                    return server
        return None

    def cost(self, job: Job, server: Server) -> float:
        server.fade(self.now)
        again = sum(1 for a in job.attempts if a.server is server)
        again += server.full.get((job.request_class.name, job.throttle.plan.name), 0.0) > self.now
        slow = self.kinds.get(server.backend.machine_type, 1.0) * (server.flight + 1.0) / self.size(server)
        share = server.cold_share(self.now, self.settings)
        if not self.has_few_places(share):  # there the draw goes by what it can bear
            slow /= max(share, EPS)
        return self.usual_for(job) * slow + (server.bad + server.overdue + again) * job.request_class.aim

    def cold_room(self, server: Server) -> float:
        """How many may be out from here at a cold backend, by its share of what all may have out at one.

        More is sent only as answers come, at the pace that it has itself, and so never twice that for long.
        Where that is less than one a gateway, some have one each, others at each backend.
        """
        share = server.cold_share(self.now, self.settings)
        if share >= 1.0:
            return float("inf")
        if any(until > self.now for until in server.full.values()):
            return 0.0  # it turns work away, at once and for ever as fast as that is sent
        if len(self.calls_to(server)) >= self.cold_budget(server, share):
            return 0.0
        each, rest = divmod(COLD_LIMIT * share, self.settings.gateways)
        return each + (server.place < rest)

    def calls_to(self, server: Server) -> list[float]:
        """Those of the rule's window, which counts every call, also one that has failed at once."""
        since = self.now - self.settings.overload_for
        server.calls = [at for at in server.calls if at > since]
        return server.calls

    def cold_places(self, share: float) -> int:
        """Gateways that use a cold backend: the one call that each may round up by must be within chance."""
        chance = self.cold_chance(share)
        return max(1, min(self.settings.gateways, ceil(COLD_LIMIT * share), int(chance)))

    def cold_chance(self, share: float) -> float:
        """Calls above the budget of all gateways, in the rule's window, that are put down to chance."""
        return SURE_PLACES + 2.0 * sqrt(self.cold_calls(share) * self.settings.gateways)

    def greeting_round(self) -> float:
        """Seconds in which all gateways greet a restored, cold backend once: no more than is chance."""
        pace = GREETINGS
        if self.paced > 0 and self.settings.overload_for > 0:
            chance = GREETINGS_PART * self.cold_chance(self.settings.cold_from)
            pace = min(pace, chance / self.settings.overload_for)
        return self.settings.gateways / pace

    def cold_calls(self, share: float) -> float:
        """This gateway's even part of what the rule allows a cold backend in its window.

        What a warm one does at least is what it does at present: the sum over all gateways of what each has
        served, which each knows its own part of, whatever it is told of their number.
        """
        forgotten = 1.0 - exp(-max(self.now - self.born, LEAST_PACED) / PACE_OVER)
        pace = self.fade_pace() / (PACE_OVER * forgotten) / self.capacity
        return self.settings.fall_multiple * share * pace * self.settings.overload_for

    def cold_budget(self, server: Server, share: float) -> float:
        """Calls to a cold backend in the rule's window from here, by the places that there are for all."""
        places = self.cold_places(share)
        if server.place >= places:
            return 0.0
        sure = float(server.place < SURE_PLACES)
        return max(self.cold_calls(share) * self.settings.gateways / places, sure)

    def fade_pace(self) -> float:
        self.paced *= exp((self.paced_at - self.now) / PACE_OVER)
        self.paced_at = self.now
        return self.paced

    def pressed(self, job: Job) -> bool:
        """Sheds while answers are late, those with little credit first: overload no one backend shows."""
        throttle = job.throttle
        if self.flight >= self.limit + self.random.random() - 0.5:
            return True
        good = throttle.level + throttle.held >= throttle.bank / 2
        return self.random.random() > 2 * self.passed - (0.0 if good else 1.0)

    def judge(self, late: bool, server: Server) -> None:
        """Moves the limits and the part that is sent on, whose steps scale with itself at any width."""
        server.limit = moved(server.limit, late, server.flight, server.least)
        least = max(LEAST_OUT, LEAST_LIMIT * len(self.order) / self.settings.gateways)
        self.limit = moved(self.limit, late, self.flight, least)
        weight = min(1.0, (self.now - self.judged) / JUDGE_EVERY)
        self.judged = self.now
        self.passed *= (PASS_LESS if late else PASS_MORE) ** weight
        self.passed = min(max(self.passed, LEAST_PART), 1.0)
        self.relieved_since = min(self.relieved_since, self.now) if self.passed <= RELIEVED else inf

    @property
    def load(self) -> SheddingState:
        """Whether answers show what the work takes, as far as this gateway knows."""
        if self.passed >= NONE_SHED:
            return SheddingState.NOT_SHEDDING
        return SheddingState.LIGHTLY_LOADED if self.now - self.relieved_since >= RELIEVED_AFTER else SheddingState.SHEDDING

    def late_after(self, job: Job, server: Server) -> float:
        """Seconds after its send from which an attempt counts as late.

        The aim alone would take ordinary work of a large part of it for overload:
        docs/incidents/2026-12-heavy-classes.md
        """
        least = LATE_AT * job.request_class.aim
        work = self.work_times.expected_seconds(
            job.request_class.name, units_kind(job.request.units), server.backend.machine_type)
        if work is None:
            return least
        return max(least, min(LATE_OVER_WORK * work, worth_until(job) - job.arrived_at))

    def give_up(self, job: Job, why: str) -> None:
        throttle = job.throttle
        if throttle.plan.rate > 0 and not job.attempts:
            throttle.level = min(throttle.level + job.request.units, throttle.bank - throttle.held)
            self.take_back(job)
        self.answer(job, PERIOD, why)

    def may_send(self, job: Job, server: Server) -> bool:
        """The rules for one more attempt, each checked here and nowhere else."""
        settings, first = self.settings, job.first_possibly_run
        if job.ended or job.streaming or self.now >= job.request.deadline:
            return False
        free = server.flight < min(server.limit, server.links)
        known = self.servers.get(server.backend.address) is server and free
        if (server.backend.status is not BackendStatus.SERVING or not known
                or server.backend.address in self.banned):
            return False
        if len(job.attempts) >= settings.max_attempts or (job.attempts_in_flight and not settings.may_hedge):
            return False
        if first is not None and job.request_class.repeat_policy is RepeatPolicy.ONCE:
            return False
        if first is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            apart = group_of(job.request_class, first.server) != group_of(job.request_class, server)
            if apart or self.now - first.sent_at >= job.request_class.memory:
                return False
        if server is not self.drawn and server.flight >= self.cold_room(server):
            return False
        return bool(job.attempts) or job.throttle.under_ceiling(job.request.units, self.now)

    def send(self, job: Job, server: Server) -> None:
        """The one place where an attempt starts."""
        if not self.may_send(job, server):
            return self.give_up(job, "no backend")
        if not job.attempts:
            job.throttle.charge_ceiling(job.request.units, self.now)
            self.retry_credit = min(self.retry_credit + RETRY_SHARE, RETRY_STORE)
        attempt = Attempt(server, self.now, self.usual_for(job), self.late_after(job, server), self.load)
        self.note_load(server)
        if server.cold_share(self.now, self.settings) < 1.0:
            server.calls.append(self.now)
        server.flight += 1
        self.flight += 1
        job.throttle.open += 1
        job.attempts_in_flight += 1
        job.attempts.append(attempt)
        within = inf
        if job.first_possibly_run is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            within = job.first_possibly_run.sent_at + job.request_class.memory - self.now
        job.first_possibly_run = job.first_possibly_run or attempt
        useful = self.useful_until(job, attempt) - self.now
        self.actions.append(Send(job.request.id, server.backend.address, useful, within))
        if not job.uploading:
            self.time_late(job, len(job.attempts) - 1)

    def time_late(self, job: Job, number: int) -> None:
        delay = max(job.attempts[number].late_after, EPS)
        self.actions.append(SetTimer(delay, f"o{number} {job.request.id}"))

    def uploaded(self, request: int) -> None:
        """A backend begins once the body is whole: until then neither it nor the client's time is at work."""
        job = self.jobs.get(request)
        if job is not None and job.uploading:
            job.uploading, job.arrived_at = False, self.now
            for number, attempt in enumerate(job.attempts):
                if attempt.in_flight:
                    attempt.sent_at = self.now
                    self.time_late(job, number)

    def stream_begun(self, event: StreamStarted) -> None:
        """The answer goes on to the client from now on: the backend has done its work, and no other may."""
        job = self.jobs.get(event.request)
        if job is not None and event.attempt < len(job.attempts) and job.attempts[event.attempt].in_flight:
            attempt = job.attempts[event.attempt]
            job.streaming = True
            self.free(attempt)
            self.learn(job, attempt, Outcome.SERVED, self.now - attempt.sent_at)

    def free(self, attempt: Attempt) -> None:
        """Takes an attempt out of what its backend has at work."""
        if attempt.awaiting_response:
            attempt.awaiting_response = False
            self.note_load(attempt.server)
            attempt.server.flight -= 1
            attempt.server.overdue -= attempt.overdue
            self.flight -= not attempt.overdue

    def open_failed(self, event: ConnectFailed) -> None:
        """A sound backend took no more: what is up is all that it takes from here, for now."""
        server = self.servers.get(event.backend)
        if server is not None and self.settings.pool.learned:
            server.links, server.crowded = max(1.0, event.open_connections), self.now
            self.try_more_later(server)

    def try_more_later(self, server: Server) -> None:
        server.more_at = self.now + LINKS_MORE * self.settings.gateways * (0.5 + self.random.random())
        self.tell_size(server)

    def tell_size(self, server: Server) -> None:
        idle_for = CROWDED_IDLE if server.links < inf else inf  # room in a full table goes round by use
        self.actions.append(SetPoolSize(server.backend.address, server.keep, server.links, idle_for))

    def take_more(self, server: Server) -> None:
        """Raises a learned bound slowly, as each of many gateways does so on its own."""
        if server.links < inf and self.now >= server.more_at:
            server.links = server.links + 1 if server.links < server.limit + LINKS_SPARE else inf
            self.try_more_later(server)

    def note_load(self, server: Server) -> None:
        """Follows how many connections are in use, just before that changes; told where its size changes."""
        if not self.settings.pool.sized:
            return
        server.load += (1 - exp((server.noted - self.now) / LOAD_OVER)) * (server.flight - server.load)
        server.noted = self.now
        # the least is a part of one over the fleet: those keep one that have a place there
        has_place = server.place < min(COVER, self.cover(self.order))
        keep = max(float(has_place), ceil(server.load + LOAD_CHANCE * sqrt(server.load)))
        if keep != server.keep:
            server.keep = keep
            self.tell_size(server)

    def warm(self, address: str) -> None:
        """Opens ahead at a backend that this gateway will use, and does not yet."""
        server = self.servers.get(address)
        if server is None or server.flight or server.backend.status is not BackendStatus.SERVING:
            return
        if address not in self.banned and self.weight(server, self.cover(self.order)) > 0:
            self.actions.append(Preconnect(address, 1))

    def useful_until(self, job: Job, attempt: Attempt) -> float:
        # an attempt is given up once its answer is worth little, or a backlog of such work builds up
        return min(job.request.deadline, max(worth_until(job), self.now + attempt.late_after))

    def attempt_late(self, job: Job, attempt: Attempt) -> None:
        attempt.overdue = True  # speaks at once, and no longer fills the limit that sound backends need
        attempt.server.overdue += 1
        self.flight -= 1
        self.judge(True, attempt.server)

    def attempt_ended(self, event: AttemptEnded) -> None:
        job = self.jobs.get(event.request)
        if (job is None or not 0 <= event.attempt < len(job.attempts)
                or not job.attempts[event.attempt].in_flight):
            return
        attempt = job.attempts[event.attempt]
        attempt.in_flight, attempt.never_ran = False, event.outcome.never_ran
        told = not attempt.awaiting_response and event.outcome is Outcome.SERVED
        self.free(attempt)
        job.attempts_in_flight -= 1
        job.throttle.open -= 1
        job.first_possibly_run = next((a for a in job.attempts if not a.never_ran), None)
        if not told:
            self.learn(job, attempt, event.outcome, event.elapsed)
        self.settle(job, event.actual_units)
        job.ended = job.ended or event.request_ended
        if not job.ended and not job.attempts_in_flight:
            self.after_failure(job, event)
        if job.ended and not job.attempts_in_flight:
            self.jobs.pop(event.request, None)
        if job.throttle.queue and job.throttle.plan.concurrency > 0:
            self.release(job.throttle)

    def settle(self, job: Job, true_units: float) -> None:
        throttle = job.throttle
        if true_units > 0 and not job.units_corrected and throttle.plan.rate > 0:
            job.units_corrected = True
            throttle.refill(self.now)
            back = job.request.units - true_units
            throttle.level = min(throttle.level + back, throttle.bank - throttle.held)
            if throttle.thin and job.reported_units > 0:
                throttle.uncounted -= back * job.reported_units / job.request.units
            self.release(throttle)

    def after_failure(self, job: Job, event: AttemptEnded) -> None:
        outcome, usual = event.outcome, self.usual_for(job)
        end = min(job.request.deadline, worth_until(job))
        # one turned away cost no work: only in overload does another come dear; one that broke off cost what
        # it had done, and a connection that was lost as it was used is no sign of load
        free = outcome.never_ran and self.random.random() < self.passed
        charge = 0.0 if free else min(1.0, event.elapsed / max(usual, EPS))
        useful = event.body_replayable and outcome is not Outcome.TIMED_OUT and end - self.now > usual
        if useful and self.retry_credit >= charge:
            before = len(job.attempts)
            self.place(job)
            self.retry_credit -= charge if len(job.attempts) > before else 0.0
        else:
            self.answer(job, PERIOD, f"after {outcome.value}")

    def learn(self, job: Job, attempt: Attempt, outcome: Outcome, elapsed: float) -> None:
        server = attempt.server
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        server.fade(self.now)
        kind = (job.request_class.name, job.throttle.plan.name)
        if outcome is Outcome.REJECTED:  # maybe for no other plan or class: no sign of its health
            return server.full.update({kind: self.now + FULL_FOR})
        if outcome is Outcome.NO_CONNECTION and self.now - server.crowded < CROWDED_FOR:
            return None  # it took no more from here, and serves
        bad, late = outcome is not Outcome.SERVED, elapsed >= attempt.late_after - EPS
        self.fleet_fails += BLEND / 4 * ((bad or late) - self.fleet_fails)
        # one that its client would not wait for came neither late nor in time
        if not attempt.overdue and (outcome is Outcome.SERVED or late and outcome is Outcome.TIMED_OUT):
            self.judge(late, server)
        if bad:
            dead = outcome is Outcome.NO_CONNECTION  # no slowness of the fleet looks like this
            server.failed = self.now
            held = BROKEN_HELD if outcome is Outcome.CONNECTION_LOST else 1.0
            server.bad = max(min(2 * server.bad + held, WORST), WORST / 2 if dead else 0.0)
            self.blamed[server] = None
            return None
        server.bad /= 2
        self.paced = self.fade_pace() + 1.0
        self.take_more(server)
        self.greet.pop(server.backend.address, None)
        server.full.pop(kind, None)
        units = units_kind(job.request.units)
        for key in ((job.request_class.name, units), (job.request_class.name, 0.0)):
            before = self.usual.get(key, elapsed)
            self.usual[key] = before + BLEND / 3 * (elapsed - before)
        name, slow = server.backend.machine_type, elapsed / max(attempt.expected_time, 1e-4)
        self.work_times.add_answer(job.request_class.name, units, name, elapsed, attempt.load, self.now)
        self.kinds[name] = self.kinds.get(name, 1.0) + BLEND / 3 * (slow - self.kinds.get(name, 1.0))
        return None

    def answer(self, job: Job, retry_after: float, why: str) -> None:
        """The one place where the gateway ends a request; refuses only where a retry is proven harmless."""
        if job.ended or job.streaming:
            return
        job.ended = True
        self.given_up[why] += 1
        keyed = (job.request_class.repeat_policy is RepeatPolicy.BY_KEY
                 and job.request_class.dedup_scope is DedupScope.ALL)
        harmless = keyed or job.request_class.repeat_policy is RepeatPolicy.SAFE
        if job.first_possibly_run is not None and not harmless:
            self.actions.append(Fail(job.request.id, why))
        else:
            self.actions.append(Refuse(job.request.id, self.advice(retry_after), why))
        self.call_off(job)
        if not job.attempts_in_flight:
            self.jobs.pop(job.request.id, None)

    def advice(self, retry_after: float) -> float:
        """When to come back: told with every refusal, and no longer than clients honour."""
        retry_after = LONGEST_ADVICE if retry_after == inf else retry_after
        longest = self.settings.max_retry_after or retry_after
        return max(min(retry_after, longest), LEAST_ADVICE)

    def call_off(self, job: Job) -> None:
        for number, attempt in enumerate(job.attempts):
            if attempt.in_flight and self.settings.may_cancel and not job.streaming:
                self.actions.append(Cancel(job.request.id, number))

    def client_left(self, request: int) -> None:
        job = self.jobs.get(request)
        if job is not None:
            job.ended = True
            self.call_off(job)
            self.release(job.throttle)
            if not job.attempts_in_flight:
                self.jobs.pop(request, None)

    def timer_due(self, key: str) -> None:
        if key == "list":
            return self.actions.append(Subscribe())
        kind, rest = key[:1], key[1:]
        if kind == "w":
            return self.warm(rest)
        second, _, after = rest.partition(" ")
        if kind in "oh":
            job = self.jobs.get(int(after or rest))
            if job is not None and kind == "o" and job.attempts[int(second)].awaiting_response:
                self.attempt_late(job, job.attempts[int(second)])
            elif job is not None and kind == "h" and job in job.throttle.queue:
                # each held one has its own end, wherever it stands: its client may have less patience
                job.throttle.refill(self.now)
                self.drop_held(job)
                self.release(job.throttle)
            return
        rest = after if kind == "d" else rest
        throttle = self.throttles.get(rest)
        if throttle is None:
            return
        if kind == "r":
            throttle.timer = 0.0
            self.release(throttle)
        elif kind == "c":
            self.add_demand(throttle)
        elif kind == "d" and self.now >= self.quiet_until and self.may_call(throttle, throttle.added > 0):
            throttle.reading = f"{rest}.{second}"
            self.actions.append(AddToCounter(throttle.reading, 0.0, 4 * PERIOD))
        return None

    def list_changed(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            delay = self.settings.ask_every / 8 * (0.5 + self.random.random())
            return self.actions.append(SetTimer(max(delay, EPS), "list"))
        if event.kind is not ListKind.CHANGES:
            named = {b.address for b in event.backends}
            for address in [a for a in self.servers if a not in named]:
                self.remove(address)
        for backend in event.backends:
            self.take_entry(backend)
        if event.kind is not ListKind.CACHED:
            self.last_listed_at = self.now
            if self.first_listed_at is None:
                self.first_listed_at = self.now
        if event.kind is ListKind.CACHED and not self.settings.list_pushed:
            self.actions.append(Subscribe())

    def take_entry(self, backend: Backend) -> None:
        """What the list says of one backend."""
        address, server = backend.address, self.servers.get(backend.address)
        self.known.add(address)
        if server is not None and server.backend == backend:
            return
        if backend.status is BackendStatus.REMOVED:
            return self.remove(address)
        if server is not None:
            self.serving.discard(server)
        if server is None or server.backend.started_at != backend.started_at:
            if server is None and self.settings.pool.warm:
                self.actions.append(SetTimer(max(WARM_OVER * self.random.random(), EPS), "w" + address))
            server = self.servers[address] = self.unknown(backend)
        server.backend = backend
        self.let_serve(server)
        return None

    def remove(self, address: str) -> None:
        """The list names it no more; it may come back, with the same process or another."""
        server = self.servers.pop(address, None)
        if server is None:
            return
        self.serving.discard(server)
        self.left_starts[address] = server.backend.started_at, server.started
        if len(self.left_starts) > MOST_LEFT:
            del self.left_starts[next(iter(self.left_starts))]

    def let_serve(self, server: Server) -> None:
        """Has a server drawn from now on, unless it is not to be."""
        if server.backend.status is BackendStatus.SERVING and server.backend.address not in self.banned:
            share = server.cold_share(self.now, self.settings)
            self.serving.add(server, share < 1.0)
            self.cold_capacity += share if share < 1.0 else 0.0

    def unknown(self, backend: Backend) -> Server:
        """A backend of which nothing is learned yet."""
        place = place_at(backend.address, self.settings)
        made = Server(backend, self.start_limit(), self.now, place)
        listed, believed = self.left_starts.pop(backend.address, (None, None))
        same = backend.started_at is not None and backend.started_at == listed
        made.started = believed if same else self.credible_start(backend.started_at)
        return made

    def start_limit(self) -> float:
        """Attempts that may be out from here at a backend of which nothing is learned."""
        return max(1.0, START_LIMIT / self.settings.gateways)

    def credible_start(self, started: float | None) -> float | None:
        """When a backend has started, by this gateway's clock, which may be off: rather later than it was.

        None for long ago. No start is later than the list that tells of it; and what is new in a list that is
        followed has begun a moment ago, whatever the clock says.
        """
        if started is None or started >= self.now:
            return None if started is None else self.now
        follows = self.first_listed_at is not None and self.now - self.first_listed_at > FOLLOWED_AFTER
        oldest = self.last_listed_at - START_TOLD_WITHIN
        return self.now if follows and started < oldest else started

    def put_in_order(self) -> None:
        """Files all servers anew, after what may have changed any of them."""
        self.serving, self.cold_capacity = ServingSet(self.serving.scopes), 0.0
        for server in self.servers.values():
            self.let_serve(server)
        self.blamed = {s: None for s in self.servers.values() if s.bad > 0}

    def ban(self, event: Suspend | Restore) -> None:
        """Takes a backend out by hand, or ends that; one that comes back is cold, as if just started."""
        address, server = event.backend, self.servers.get(event.backend)
        if isinstance(event, Suspend) and address in self.known:
            self.banned.add(address)
            self.greet.pop(address, None)
            if server is not None:
                self.serving.discard(server)
            self.actions.append(CloseUnusedConnections(address))
        elif isinstance(event, Restore) and address in self.banned:
            self.banned.discard(address)
            place = place_at(address, self.settings) / self.settings.gateways
            self.greet[address] = self.now + place * self.greeting_round()
            if server is not None:
                self.serving.discard(server)
                made = self.servers[address] = self.unknown(server.backend)
                made.started = self.now
                self.let_serve(made)

    def hand_over(self, now: float) -> dict[str, Any]:
        """All that a successor must know; from here on this gateway only ends what it holds."""
        self.now = max(self.now, now)
        self.handed = True
        self.retry_credit /= 2
        return export_state(self)

    def inherit(self, state: Mapping[str, Any]) -> None:
        """Goes on where another process stopped; of one that did not hand over there are only the bans."""
        self.banned.update(state["banned"])
        self.known.update(state["banned"], state.get("known", ()))
        self.put_in_order()
        if "gateway" in state:
            restore_state(self, state)
            self.put_in_order()

    def down(self) -> int:
        """How many listed backends are avoided at present: by hand, by the list, or for their failures."""
        failing = 0
        for server in list(self.blamed):
            if self.held_against(server) < FAILING:
                del self.blamed[server]
            else:
                failing += server in self.serving
        return len(self.servers) - len(self.serving) + failing


HANDLERS: dict[type[Event], Callable[[Gateway, Any], None]] = {
    Request: Gateway.arrive, AttemptEnded: Gateway.attempt_ended, CounterCallEnded: Gateway.counted,
    BackendList: Gateway.list_changed, Suspend: Gateway.ban, Restore: Gateway.ban,
    StreamStarted: Gateway.stream_begun, ConnectFailed: Gateway.open_failed,
    TimerExpired: lambda g, event: g.timer_due(event.key),
    PredecessorState: lambda g, event: g.inherit(event.state),
    ClientDisconnected: lambda g, event: g.client_left(event.request),
    PredecessorEnded: lambda g, event: end_predecessor(g),
    UploadCompleted: lambda g, event: g.uploaded(event.request), FlushCounts: lambda g, event: g.settle_all(),
    SettingsChanged: lambda g, event: g.tune(event.pool, event.aggregation),
}


def moved(limit: float, late: bool, out: int, least: float) -> float:
    """A limit on what is out, after an answer: under what was out for a late one, more if it was in use."""
    if late:
        return max(min(limit, out + OUT_SLACK) - OUT_LESS, least)
    return limit + OUT_MORE if out + 1 > limit / 2 else limit


def place_at(address: str, settings: Settings) -> int:
    """This gateway's place among all at a backend: another at each, and known without a word.

    Of a step that has no factor in common with their number, each has one of its own. A shuffle of all at
    each backend would be as even, at a cost that grows with both numbers.
    """
    drawn, gateways = zlib.crc32(address.encode()), settings.gateways
    step = 1 + drawn % gateways
    while gcd(step, gateways) > 1:
        step += 1
    return (step * settings.gateway_index + drawn // gateways) % gateways


def units_kind(units: float) -> float:
    """Units by which answer times are kept: each whole number up to SMALL_UNITS, above it powers of two."""
    return float(ceil(units)) if units <= SMALL_UNITS else 2.0 ** ceil(log2(units))


def group_of(klass: RequestClass, server: Server) -> str | int:
    if klass.dedup_scope is DedupScope.ALL:
        return ""
    return server.backend.zone if klass.dedup_scope is DedupScope.ZONE else server.backend.cell


def worth_until(job: Job) -> float:
    """Until when an answer has most of its worth: the aim, or the deadline where late ones have it too."""
    return (job.arrived_at + job.request_class.aim if job.request_class.late_worth_share < WORTH_WAITING
            else job.request.deadline)
