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
from embersill.settings import check
from embersill.state_transfer import end_predecessor, restore_state, take_state
from embersill.work_times import Load, WorkTimes

if TYPE_CHECKING:
    from embersill.call_budget import CallBudget

DEMAND_PERIOD = 1.0  # seconds that a demand count covers
MAX_HOLD_SHARE = 0.4  # of the aim that a request may wait for credit
READING_LIFE_PERIODS = 2.5  # periods that a reading decides the slice: it outlives one lost call
DEMAND_WEIGHT = 0.5  # weight of the last period in the smoothed demand
COUNT_FROM_SHARE = 0.8  # of the even slice asked for, or of the bank spent, from which a customer is counted
MIN_SLICE_SHARE = 0.1  # of the even slice that is always kept, for a customer who moves here
COUNTER_EPOCH = 60.0  # seconds of use that one name of a thin customer adds up: the longest life of a name
FULLY_COUNTED_GATEWAYS = 100.0  # gateways all of whose thin requests the counter is first taken to bear
REPORT_DELAY_SHARE = 0.25  # of the period until the counter is told; of the burst unused until its sum is put right
COUNTED_INCREASE = 1.03  # times the counted part of thin requests for each answer of the counter in time
COUNTED_DECREASE = 0.7  # times it for a call that is turned away or late
TIMEOUT_SHARE = 0.9  # of the patience with a call: one lost sooner broke off, which is neither crowd nor silence
SAMPLE_WEIGHT = 0.15  # weight of one sample in a backend's learned figures
FAILURE_HALF_LIFE = 8.0  # seconds in which the failures held against a backend halve
MAX_FAILURE_SCORE = 8.0  # failures held against one at the most
CONNECTION_LOST_SCORE = 0.25  # failures that a broken connection counts for: it may be the path's
FAILING_FROM = 2.0  # failures from which nothing is sent while another backend serves
RETRY_FAILING_AFTER = 1.0  # seconds after a failure from which a failing one is tried where no other has room
AVOID_FROM = 0.5  # failures held against a backend from which another draw is made in its place
MAX_FIRST_REQUEST_RATE = 12.0  # first requests a second for a restored backend, of all gateways together, at the most
FIRST_REQUEST_SHARE = 0.8  # of the chance allowed at a cold backend that these may use
FIRST_REQUEST_INTERVAL = 1.0  # seconds between the lone requests for a restored backend, until it has answered one
REJECTION_BACKOFF = 15.0  # seconds that a backend which turned a plan or a class away is passed over for it
LATE_AIM_SHARE = 0.35  # of the aim up to which no answer counts as late
LATE_WORK_FACTOR = 2.0  # times what the work takes up to which none does either, within the aim
NOT_SHEDDING_FROM = 0.95  # of requests sent on, from which answers show work rather than waiting
LIGHTLY_LOADED_UP_TO = 0.1  # of requests sent on, up to which backends are taken to stand idle
LIGHTLY_LOADED_AFTER = 1.0  # seconds of that in which what was sent before has been answered
COLD_ATTEMPT_LIMIT = 12.0  # attempts out at a cold backend from all gateways, times its share of its capacity
SERVED_RATE_WINDOW = 5.0  # seconds over which the answers of backends are averaged
MIN_SERVED_RATE_WINDOW = 1.0  # seconds after a start from which that average counts
START_LISTED_WITHIN = 2.0  # seconds after a backend's start in which the list tells it, if no clock is off
LIST_FOLLOWED_AFTER = 5.0  # seconds after the first list from which all that is new in it has just begun
MAX_REMOVED = 16_384  # backends that left the list whose last starts are kept
GUARANTEED_SLOTS = 2  # gateways that may call a cold backend once in its window whatever is known
INITIAL_LIMIT = 8.0  # attempts out at a backend, all gateways together, before anything is learned of it
MIN_LIMIT = 4.0  # the same once it is under pressure
MIN_IN_FLIGHT = 1.0  # attempts that a gateway may always have out
LIMIT_DECREASE = 0.5  # attempts that a late answer takes from the limit
LIMIT_SLACK = 2.0  # attempts above what is out that a late answer leaves, less OUT_LESS
LIMIT_INCREASE = 0.5  # attempts that one in time adds to the limit while half of it is in use
ADMIT_DECREASE = 0.7  # times the part that is sent on for a late answer
ADMIT_INCREASE = 1.25  # times it for one in time
MIN_FRACTION = 0.05  # of requests sent on, or counted: some must tell that the trouble is over
ADJUST_INTERVAL = 1.0  # seconds from the last judged answer from which one counts in full
LATE_WORTH_THRESHOLD = 0.5  # of the worth left after the aim for which an attempt is kept on until the deadline
RETRY_CREDIT_PER_REQUEST = 0.15  # further attempts that each first one earns
MAX_RETRY_CREDIT = 10.0  # further attempts that may be saved up
CANDIDATES = 2  # candidates drawn for each send: more would herd on one gateway's view
GATEWAYS_PER_BACKEND = 8  # gateways that use a backend, where backends are few
MIN_GATEWAYS_PER_BACKEND = 2  # gateways that use a backend at the least, so that it bears the loss of one
MIN_APERTURE = 12  # backends that a gateway uses at the least
MAX_APERTURE = 48  # backends that a gateway uses, from which COVER gives way
WEIGHTS_MAX_AGE = 0.25  # seconds that the weights of a draw may be old
BACKENDS_PER_REFRESH = 256  # backends in use up to which that holds; for more the time grows with their number
SCAN_ALL_UP_TO, RANDOM_PICKS = 64, 16  # backends up to which all are looked at where draws fail; picks among more
MAX_SCANNED = 1024  # backends looked at for one request where none of those drawn is fit
MAX_CANDIDATE_PICKS = 8  # draws for the candidates before that
MIN_RETRY_AFTER = 0.05  # seconds told to come back in at the least
MAX_RETRY_AFTER = 60.0  # seconds told to come back in where nothing here will ever let such a request go
LEASE_SUFFIX = "lease"  # of the counter name that leases of a customer's ceiling are taken from
LARGE_SET = 4  # gateways of a set from which demand is too uneven for a slice that follows it by seconds
LARGE_SET_MIN_BANK = 2.0  # requests that a slice must hold there, or it goes by the counter's level
CONNECTION_RAISE_INTERVAL = 0.5  # seconds between tries of one more connection at a full backend, of all gateways together
CONNECTION_HEADROOM = 8.0  # connections above the limit on attempts from which a learned bound ends
CONNECTION_LIMIT_IDLE_TIME = 1.0  # seconds that a connection to a full backend is kept idle: others wait for its place
CONNECT_FAILURE_WINDOW = 0.1  # seconds in which the attempt that found the table full is told of as well
LOAD_WINDOW = 10.0  # seconds over which the use of a backend's connections is averaged
LOAD_DEVIATIONS = 2.0  # standard deviations above the mean use for which idle connections are kept
PRECONNECT_SPREAD = 1.0  # seconds over which gateways spread what they open ahead, as a list reaches all at once
EXACT_UNITS_UP_TO = 16  # units of a request up to which each whole number has an answer time of its own
EPS = 1e-9  # float slack where levels are compared


class Throttle:
    """Token bank and job buffer of one customer here, as one level: above nought credit, below units held.

    A request is charged as it comes and leaves first come, once the credit without those behind covers it.
    """

    def __init__(
        self, customer: str, plan: Plan, width: int, now: float, born: float, most_units: float = 0.0,
        ceiling: CeilingShare | None = None,
    ) -> None:
        self.customer, self.plan, self.gateway_count = customer, plan, width
        ceiling = ceiling or even_share(plan, width)
        self.share = 1.0 / (ceiling.holders or width)
        self.rate, self.bank = plan.rate * self.share, plan.burst * self.share
        self.quota_level, self.refilled_at = self.bank, now
        self.queue: deque[Job] = deque()
        self.held_units = self.release_at = 0.0
        self.in_flight = 0
        self.first_gateway: int | None = None  # of the customer's set, as its requests tell
        self.lease = CeilingLease(ceiling.terms) if ceiling.terms is not None else None
        # this gateway's part of the ceiling, as far as refilled since its start: before that it may have sent
        self.ceiling_depth, self.ceiling_rate = ceiling.depth, ceiling.rate
        self.ceiling_level = min(self.ceiling_depth, self.ceiling_rate * (now - born))
        self.demand_period, self.period_demand, self.last_period_demand = -1, 0.0, 0.0
        self.local_demand = self.total_demand = self.reading_valid_until = self.reading_fresh_until = 0.0
        self.count_scheduled = self.awaits_reading = False  # a timer to count, a reading that requests wait for, is out
        self.reported_demand, self.reading_name = 0.0, ""  # what this gateway added to the name it reads, and that name
        least = most_units * width * (LARGE_SET_MIN_BANK if width > LARGE_SET else 1.0)
        self.low_rate = width > 1 and 0 < plan.burst < least and plan.rate > 0
        self.pending_correction: dict[str, float] = {}  # of a name's sum, that the next call for it makes
        self.unreported_units = 0.0  # units sent on that the counter has not been told, or told too much if below
        # out: name, units asked for, amount to keep, and what is added to put the sum right
        self.pending_calls: deque[tuple[str, float, float, float]] = deque()

    def refill(self, now: float) -> None:
        self.quota_level = max(self.quota_level, min(self.quota_level + self.rate * (now - self.refilled_at), self.bank - self.held_units))
        self.ceiling_level = min(self.ceiling_depth, self.ceiling_level + self.ceiling_rate * (now - self.refilled_at))
        self.refilled_at = now

    def set_share(self, share: float, now: float) -> None:
        self.refill(now)
        self.share = share
        self.rate, self.bank = self.plan.rate * share, self.plan.burst * share
        self.quota_level = min(self.quota_level, self.bank - self.held_units)

    def wait_time(self, units: float) -> float:
        """Seconds until the head of the buffer, or a newcomer to an empty one, may leave."""
        wait = 0.0
        short = min(units, self.bank) - (self.quota_level + self.held_units)
        if self.plan.rate > 0 and short > EPS:
            wait = short / self.rate
        return wait if self.lease is not None else max(wait, self.ceiling_wait_time(units))

    def ceiling_wait_time(self, units: float) -> float:
        """Seconds until this gateway's own part of the ceiling holds so many units; inf if it never does."""
        if self.plan.ceiling_rate <= 0 or units - self.ceiling_level <= EPS:
            return 0.0
        return (units - self.ceiling_level) / self.ceiling_rate if self.ceiling_rate > 0 else inf

    def fits_ceiling(self, units: float, now: float) -> bool:
        """Whether this gateway may send so many units on now, by its part of the ceiling and its leases."""
        leased = self.lease.available(now) if self.lease is not None else 0.0
        return self.plan.ceiling_rate <= 0 or units <= self.ceiling_level + leased + EPS

    def charge_ceiling(self, units: float, now: float) -> None:
        """Takes units off: leased ones first, as these lapse."""
        if self.plan.ceiling_rate > 0:
            self.ceiling_level -= self.lease.charge(units, now) if self.lease is not None else units

    @property
    def awaits_lease(self) -> bool:
        """Whether a call for units of the ceiling is out."""
        return self.lease is not None and self.lease.asked > 0

    def below_concurrency_limit(self) -> bool:
        return self.plan.concurrency <= 0 or self.in_flight < max(1, self.plan.concurrency // self.gateway_count)

    def record_demand(self, units: float, now: float) -> None:
        second = int(now // DEMAND_PERIOD)
        if second != self.demand_period:
            self.last_period_demand = self.period_demand if second == self.demand_period + 1 else 0.0
            self.demand_period, self.period_demand = second, 0.0
        self.period_demand += units

    def remove_held(self, job: Job) -> None:
        self.queue.remove(job)
        self.held_units = self.held_units - job.request.units if self.queue else 0.0

    def is_idle(self, now: float) -> bool:
        self.refill(now)
        full = (self.plan.rate <= 0 or self.quota_level >= self.bank - EPS) and self.ceiling_level >= self.ceiling_depth - EPS
        waits = self.awaits_reading or self.awaits_lease
        return full and not (self.queue or self.in_flight or self.count_scheduled or self.pending_calls or waits)


class Server:
    """What this gateway knows of one backend."""

    def __init__(self, backend: Backend, limit: float, now: float, place: int) -> None:
        self.backend, self.decayed_at = backend, now
        self.rank = place  # this gateway's among all there
        self.started_at = backend.started_at  # or when staff put it back, if that was later
        self.in_flight = self.overdue = 0  # attempts out, and those of them that are late already
        self.last_failed_at = now  # when it last did
        self.failure_score = 0.0  # what is held against it: doubles and one more for each failure, halves with time
        self.rejecting_until: dict[tuple[str, str], float] = {}  # class and plan: until when it is passed over
        self.limit, self.min_limit = limit, max(1.0, limit * MIN_LIMIT / INITIAL_LIMIT)  # attempts out from here
        self.max_connections, self.next_raise_at = inf, now  # connections that it takes from here, and when one more is tried
        self.last_connect_failed_at = -inf  # when it last took no more
        self.average_in_flight, self.load_updated_at, self.max_idle = 0.0, now, inf  # attempts out on average; idle connections to keep
        self.cold_sends: list[float] = []  # when it was called while cold, in the last window of the rule

    def capacity_share(self, now: float, settings: Settings) -> float:
        """The least part of its capacity that it has now; 1 once it must be warm."""
        age = settings.warm_within if self.started_at is None else max(0.0, now - self.started_at)
        if age >= settings.warm_within:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.warm_within

    def decay_failures(self, now: float) -> None:
        if self.failure_score:
            self.failure_score *= 0.5 ** ((now - self.decayed_at) / FAILURE_HALF_LIFE)
        self.decayed_at = now


class Gateway:
    """Decides for one gateway, on its settings and the events that it is given, and on nothing else."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        check(settings)
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.random = random.Random(seed)
        self.started_at = self.now = now
        self.actions: list[Action] = []
        self.given_up: Counter[str] = Counter()  # requests this gateway ended itself, by reason
        self.servers: dict[str, Server] = {}
        self.serving = ServingSet(frozenset(
            c.dedup_scope for c in settings.classes if c.repeat_policy is RepeatPolicy.BY_KEY))
        self.candidates: list[Server] = []  # those of them that this gateway uses, when they were last weighed
        self.cumulative_weights: list[float] = []  # theirs, summed up
        self.reweigh_at = now
        self.first_listed_at: float | None = None  # when the list was first heard of, and last
        self.last_listed_at = now
        self.removed_starts: dict[str, tuple[float | None, float | None]] = {}  # of those that left the list:
        # their last starts, as listed and as they were taken here
        self.known_addresses: set[str] = set()  # ids of all backends that were ever listed
        self.suspended: set[str] = set()  # ids that staff took out, whatever the list says of them
        self.first_request_due: dict[str, float] = {}  # restored, not answered yet: when it gets its next
        self.handed_over = False  # a successor has all that is not under way: requests that still come are its
        self.predecessor_counts: list[tuple[Any, str, float]] = []  # what the process before has out, by where it counts
        self.first_request_server: Server | None = None  # the restored backend that gets its first request
        self.failing: dict[Server, None] = {}  # those that failed, until that is forgotten
        self.relative_ratings: dict[str, float] = {}  # mean rating of a kind of machine against that of all that serve
        self.machine_slowness: dict[str, float] = {}  # answer time of a kind of machine against the fleet's
        self.jobs: dict[int, Job] = {}
        self.throttles: dict[str, Throttle] = {}
        self.idle_scan: deque[str] = deque()
        self.expected_times: dict[tuple[str, float], float] = {}
        self.fleet_failure_rate, self.retry_credit = 0.0, MAX_RETRY_CREDIT
        self.admitted_fraction, self.last_adjusted_at = 1.0, now
        self.lightly_loaded_since = inf  # since when next to nothing is sent on
        self.work_times = WorkTimes()
        self.in_flight, self.limit = 0, float("inf")  # attempts out and not late, and how many may be
        self.recently_served, self.served_decayed_at = 0.0, now  # requests served, of which a part is forgotten with time
        self.cold_capacity, self.cold_update_at = 0.0, now  # of the cold ones, as it was when they were looked at
        self.counter_backoff_until, self.counter_failures = now, 0
        self.counted_fraction = min(1.0, FULLY_COUNTED_GATEWAYS / settings.gateways)
        self.budget: CallBudget | None = None
        self.apply_settings(settings.pool, settings.aggregation)
        # part of the counted thin requests that had the credit, by plan and whether the slice covered them
        self.grant_rates = {(p.name, sure): float(sure) for p in settings.plans for sure in (False, True)}

    @property
    def serving_servers(self) -> Sequence[Server]:
        """Those that serve, for drawing."""
        return self.serving.all.items

    def handle(self, event: Event, now: float) -> list[Action]:
        self.now = max(self.now, now)
        self.actions = []
        handler = HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)
        return self.actions

    def apply_settings(self, pool: PoolSettings, told: AggregationSettings | None) -> None:
        """Takes how connections are kept and counter calls bounded; with a bound all use is counted."""
        if self.settings.aggregation != told:
            self.budget = None
        self.settings = replace(self.settings, pool=pool, aggregation=told)
        if told is not None and self.budget is None:
            from embersill.call_budget import CallBudget  # loaded only where it is used
            self.budget, self.counted_fraction = CallBudget(told, self.now), 1.0

    def may_call_counter(self, throttle: Throttle, urgent: bool = False, units: float = 0.0) -> bool:
        """Whether the budget, if there is one, allows a counter call, and is charged for it."""
        return self.budget is None or self.budget.take(throttle, urgent, units, self.now)

    def on_request(self, request: Request) -> None:
        if request.id in self.jobs:
            return
        if self.handed_over:
            self.given_up["handed over"] += 1
            return self.actions.append(Refuse(request.id, self.bounded_retry_after(MIN_RETRY_AFTER), "handed over"))
        klass, plan = self.classes.get(request.request_class), self.plans.get(request.plan)
        if klass is None or plan is None or request.deadline <= self.now:
            self.given_up["unknown or late"] += 1
            return self.actions.append(Refuse(request.id, self.bounded_retry_after(DEMAND_PERIOD), "unknown or late"))
        throttle = self.throttles.get(request.customer) or self.add_customer(request, plan)
        self.jobs[request.id] = job = Job(request, klass, throttle, self.now)
        units = request.units
        throttle.refill(self.now)
        throttle.record_demand(units, self.now)
        spare = max(worth_until(job) - self.now - self.work_times.of_class(klass.name), 0.0)
        bound = min(MAX_HOLD_SHARE * klass.aim, (request.deadline - self.now) / 2, spare)
        job.hold_until = self.now + bound
        if throttle.low_rate:
            self.request_level(job)
        else:
            self.schedule_count(throttle)
        if job.reported_units < 0 and not job.admit_unchecked:
            return self.end_request(job, DEMAND_PERIOD, "uncounted")
        free = not throttle.queue and throttle.below_concurrency_limit() and not throttle.awaits_reading
        covered = throttle.lease is None or throttle.fits_ceiling(units, self.now)
        if free and covered and (job.admit_unchecked or throttle.wait_time(units) <= 0):
            throttle.quota_level -= units if plan.rate > 0 else 0.0
            self.report_on_send(job)
            return self.dispatch(job)
        # the buffer: as many units as the rate brings within the wait bound
        behind = throttle.wait_time(0.0 if throttle.queue else units)
        if throttle.plan.rate > 0:
            behind = max(behind, (min(units, throttle.bank) - throttle.quota_level) / throttle.rate)
        if behind > bound and not throttle.awaits_reading:
            return self.end_request(job, behind, "over quota")
        behind = self.min_ceiling_wait(throttle, throttle.held_units + units)
        if behind > bound and not throttle.awaits_reading:
            return self.end_request(job, behind, "over ceiling")
        throttle.queue.append(job)
        throttle.held_units += units
        throttle.quota_level -= units if plan.rate > 0 else 0.0  # without a quota nothing would pay it back
        self.release_held(throttle)
        self.actions.append(SetTimer(max(bound, 1e-6), f"h{request.id}"))

    def refuse_held(self, job: Job) -> None:
        throttle = job.throttle
        throttle.remove_held(job)
        throttle.quota_level += job.request.units if throttle.plan.rate > 0 else 0.0
        self.withdraw_report(job)
        self.end_request(job, throttle.wait_time(job.request.units), "held in vain")

    def release_held(self, throttle: Throttle) -> None:
        """Lets go what the credit covers, turns away what waited too long, and sets the next exact timer."""
        if self.budget is not None and throttle.low_rate and throttle.unreported_units:
            self.defer_report(throttle, 0.0)
        throttle.refill(self.now)
        while throttle.queue and not throttle.awaits_reading:
            job = throttle.queue[0]
            units = job.request.units
            wait = 0.0 if job.admit_unchecked and throttle.lease is not None else throttle.wait_time(units)
            leases = throttle.lease is not None and wait <= EPS and throttle.below_concurrency_limit()
            if leases and not throttle.fits_ceiling(units, self.now):
                wait = self.request_lease(throttle)
                if throttle.awaits_lease:
                    return
            if job.ended or wait == inf or throttle.low_rate and self.now + wait > job.hold_until + EPS:
                self.refuse_held(job)
            elif throttle.below_concurrency_limit() and wait <= EPS:
                throttle.remove_held(job)
                self.report_on_send(job)
                self.dispatch(job)
            else:
                due = self.now + wait
                if throttle.below_concurrency_limit() and (throttle.release_at <= self.now or due < throttle.release_at - EPS):
                    throttle.release_at = due
                    self.actions.append(SetTimer(max(wait, 1e-6), "r" + throttle.customer))
                return

    def min_ceiling_wait(self, throttle: Throttle, units: float) -> float:
        """Seconds until the ceiling may let so many units go, at the least; inf where it never does."""
        lease = throttle.lease
        if lease is None or not self.may_lease():
            return throttle.ceiling_wait_time(units)
        return 0.0 if units <= throttle.ceiling_level + lease.terms.units else inf

    def may_lease(self) -> bool:
        """Whether the counter can be asked now. An aggregator's totals don't begin anew with each life."""
        aggregation = self.settings.aggregation
        return self.now >= self.counter_backoff_until and not (aggregation is not None and aggregation.directory)

    def request_lease(self, throttle: Throttle) -> float:
        """Asks for units of the ceiling for the head of the buffer and those behind; seconds until it can."""
        lease, first = throttle.lease, throttle.queue[0].request.units
        assert lease is not None
        if lease.asked > 0:
            return inf
        if not self.may_lease():
            return throttle.ceiling_wait_time(first)
        if self.now < lease.retry_at:
            return min(lease.retry_at - self.now, throttle.ceiling_wait_time(first))
        if not self.may_call_counter(throttle, units=first):
            return min(lease.terms.life, throttle.ceiling_wait_time(first))
        have = throttle.ceiling_level + lease.available(self.now)
        lease.ask(min(self.releasable_units(throttle) - have, lease.terms.units), self.now)
        self.actions.append(AddToCounter(f"{throttle.customer}.{LEASE_SUFFIX}", lease.asked, lease.terms.life))
        return inf

    def releasable_units(self, throttle: Throttle) -> float:
        """Units of the held requests that the quota would let go now, the first of them in any case."""
        credit = throttle.quota_level + throttle.held_units if throttle.plan.rate > 0 else inf
        due = throttle.queue[0].request.units
        for job in islice(throttle.queue, 1, None):
            if due + job.request.units > credit:
                break
            due += job.request.units
        return due

    def on_lease_result(self, throttle: Throttle, event: CounterCallEnded) -> None:
        """The counter's word on a call for units of the ceiling."""
        lease = throttle.lease
        if lease is None or lease.asked <= 0:
            return
        if event.outcome is Outcome.SERVED:
            lease.take_grant(event.total, self.now, self.random.random())
        else:
            lease.take_failure()
        self.release_held(throttle)

    def add_customer(self, request: Request, plan: Plan) -> Throttle:
        """A throttle for a customer; two others are looked at, so that idle full ones go without a scan."""
        for _ in range(min(2, len(self.idle_scan))):
            customer = self.idle_scan.popleft()
            old = self.throttles[customer]
            if old.reading_valid_until < self.now and old.demand_period < self.now // DEMAND_PERIOD and old.is_idle(self.now):
                del self.throttles[customer]
            else:
                self.idle_scan.append(customer)
        width = max(1, request.gateway_count or self.settings.gateways)
        throttle = self.new_throttle(request.customer, plan, width, request.first_gateway)
        self.throttles[request.customer] = throttle
        self.idle_scan.append(request.customer)
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
        made = Throttle(customer, plan, width, self.now, self.started_at, most, ceiling)
        made.first_gateway = first_gateway
        return made

    def schedule_count(self, throttle: Throttle) -> None:
        """One timer a second for a customer with new use, at a moment that all its gateways share."""
        if not self.settings.counter or throttle.count_scheduled or throttle.gateway_count < 2 or throttle.plan.rate <= 0:
            return
        throttle.count_scheduled = True
        due = (self.now // DEMAND_PERIOD + 1 + (zlib.crc32(throttle.customer.encode()) % 997) / 1250) * DEMAND_PERIOD
        self.actions.append(SetTimer(max(due - self.now, 1e-6), "c" + throttle.customer))

    def report_demand(self, throttle: Throttle) -> None:
        """Adds the finished second's demand; skips customers far from their quota, who could not need it."""
        throttle.count_scheduled = False
        if self.handed_over:
            return  # the successor counts for both
        if throttle.low_rate:
            waits = self.budget is not None and self.budget.covers(throttle, 0.0, self.now)
            if throttle.unreported_units and not waits and self.now >= self.counter_backoff_until and self.may_call_counter(throttle):
                self.report_use(throttle, 0.0)
            elif throttle.unreported_units and self.budget is not None:
                throttle.count_scheduled = True
                self.actions.append(SetTimer(self.budget.defer(throttle.customer), "c" + throttle.customer))
            return
        throttle.record_demand(0.0, self.now)
        second, asked = throttle.demand_period - 1, throttle.last_period_demand
        throttle.local_demand += DEMAND_WEIGHT * (asked / DEMAND_PERIOD - throttle.local_demand)
        throttle.refill(self.now)
        if throttle.reading_valid_until < self.now:
            throttle.set_share(1.0 / throttle.gateway_count, self.now)
        if asked > 0 or throttle.period_demand > 0 or throttle.local_demand > 0.05 * throttle.plan.rate:
            self.schedule_count(throttle)
        even = throttle.plan.rate / throttle.gateway_count
        needy = throttle.quota_level < (1.0 - COUNT_FROM_SHARE) * throttle.bank or throttle.local_demand > COUNT_FROM_SHARE * even
        if self.now >= self.counter_backoff_until and needy and (asked <= 0 or self.may_call_counter(throttle)):
            throttle.reported_demand = asked
            if asked > 0:
                self.actions.append(AddToCounter(f"{throttle.customer}.{second}", asked, 4 * DEMAND_PERIOD))
            wait = max(self.settings.counter_timeout, EPS)
            self.actions.append(SetTimer(wait, f"d{second} {throttle.customer}"))
        self.release_held(throttle)

    def on_counter_result(self, event: CounterCallEnded) -> None:
        throttle = self.throttles.get(event.name.rpartition(".")[0])
        waited = event.elapsed >= TIMEOUT_SHARE * self.settings.counter_timeout
        if event.outcome is Outcome.SERVED:
            self.counter_failures = 0
            self.counted_fraction = min(1.0, self.counted_fraction * COUNTED_INCREASE)
        elif waited or event.outcome is not Outcome.TIMED_OUT:
            self.counter_failures = min(self.counter_failures + 1, 4)  # it is left alone for longer: the even slice
            lone = self.counter_failures < 2 and (event.outcome is Outcome.TIMED_OUT or self.budget is not None)
            if not lone:  # one late among prompt ones, or one of several aggregators
                self.counter_backoff_until = self.now + DEMAND_PERIOD * 2 ** self.counter_failures / 8
            if not lone and self.budget is not None:
                self.budget.tokens, self.budget.filled = 0.0, self.counter_backoff_until  # no burst at its return
            if event.outcome is not Outcome.NO_CONNECTION and self.counter_failures < 3:  # crowded, not silent
                self.counted_fraction = max(self.counted_fraction * COUNTED_DECREASE, MIN_FRACTION)
        if throttle is not None and event.name.endswith(f".{LEASE_SUFFIX}"):
            self.on_lease_result(throttle, event)
        elif throttle is not None and throttle.low_rate:
            self.on_level_result(throttle, event)
        elif throttle is not None and event.outcome is Outcome.SERVED and event.name == throttle.reading_name:
            throttle.reading_name = ""
            self.apply_total(throttle, event.total)

    def apply_total(self, throttle: Throttle, total: float) -> None:
        if total < throttle.reported_demand * (1.0 - 1e-6) - EPS:
            return  # counts were lost, not demand: the reading before stands
        throttle.total_demand += DEMAND_WEIGHT * (total / DEMAND_PERIOD - throttle.total_demand)
        throttle.total_demand = max(throttle.total_demand, throttle.local_demand)
        throttle.reading_valid_until = self.now + READING_LIFE_PERIODS * DEMAND_PERIOD
        quota = throttle.plan.rate
        room = (quota - throttle.total_demand) / throttle.gateway_count
        rate = throttle.local_demand + room if room >= 0 else quota * throttle.local_demand / throttle.total_demand
        throttle.set_share(max(rate / quota, MIN_SLICE_SHARE / throttle.gateway_count), self.now)
        self.release_held(throttle)

    def request_level(self, job: Job) -> None:
        """Asks the counter for the customer's level where the slice at this gateway can't tell.

        A slice is thin where many gateways share a quota: its bank never holds a request, and a second of its
        demand is nought or one. There the room is not split: a reading tells the level of the whole quota,
        from the units that all gateways sent on. Where the counter is crowded a part is counted for the rest.
        """
        throttle, units = job.throttle, job.request.units
        even = self.now >= throttle.reading_valid_until
        if even and throttle.share == 1.0:
            throttle.set_share(1.0 / throttle.gateway_count, self.now)
        trusted = self.budget is not None and self.budget.covers(throttle, units, self.now)
        if trusted or throttle.awaits_reading or self.now < max(throttle.reading_fresh_until, self.counter_backoff_until):
            return
        wait = throttle.wait_time(units)
        if not even and wait > job.hold_until - self.now:
            return  # too little, even if no other gateway has used any since
        sure = wait <= 0 and (even or throttle.quota_level >= throttle.bank / 2)
        passes = not self.may_cost_more(throttle.plan, sure)
        if self.random.random() >= self.counted_fraction or not self.may_call_counter(throttle, not passes, units):
            if self.budget is not None:  # what was left at the last reading may be used elsewhere by now
                throttle.reading_valid_until = self.now
                throttle.set_share(1.0 / throttle.gateway_count, self.now)
                passes = not self.may_cost_more(throttle.plan, throttle.wait_time(units) <= 0)
            job.admit_unchecked = passes and (self.budget is None or self.budget.may_wait(throttle, units))
            job.reported_units = 0.0 if job.admit_unchecked and self.budget is not None else -1.0
            return
        job.covered_by_slice, job.reported_units = (
            sure, units / self.counted_fraction if passes and not self.budget else units)
        throttle.awaits_reading = True
        self.report_use(throttle, job.reported_units)

    def may_cost_more(self, plan: Plan, sure: bool) -> bool:
        """True where an uncounted request would more likely cost than earn, by those that were counted."""
        granted = self.grant_rates[plan.name, sure]
        return granted + (1.0 - granted) * (plan.over_quota_worth - plan.over_quota_cost) < 0

    def report_use(self, throttle: Throttle, asked: float, right: float = 0.0) -> None:
        name = f"{throttle.customer}.{int(self.now // COUNTER_EPOCH)}"
        right = right or throttle.pending_correction.get(name, 0.0)
        throttle.pending_correction = {}
        throttle.pending_calls.append((name, asked, throttle.unreported_units + asked, right))
        self.actions.append(AddToCounter(name, throttle.unreported_units + asked + right, COUNTER_EPOCH))
        throttle.unreported_units = 0.0

    def report_on_send(self, job: Job) -> None:
        if job.throttle.low_rate and job.reported_units == 0:
            job.reported_units = job.request.units
            self.defer_report(job.throttle, job.reported_units)

    def withdraw_report(self, job: Job) -> None:
        if job.throttle.low_rate and job.reported_units > 0:
            self.defer_report(job.throttle, -job.reported_units)
            job.reported_units = 0.0

    def defer_report(self, throttle: Throttle, units: float) -> None:
        throttle.unreported_units += units
        if not throttle.count_scheduled:
            throttle.count_scheduled = True
            self.actions.append(SetTimer(REPORT_DELAY_SHARE * DEMAND_PERIOD / self.counted_fraction, "c" + throttle.customer))

    def flush_counts(self) -> None:
        """The last word on units that were sent on or given back; the sums of others rest on it."""
        for throttle in self.throttles.values():
            if throttle.low_rate and throttle.unreported_units and not self.handed_over:
                self.report_use(throttle, 0.0)

    def on_level_result(self, throttle: Throttle, event: CounterCallEnded) -> None:
        """Sets the level by the units sent on since the name's start; keeps the sum near a burst of it."""
        call = next((c for c in throttle.pending_calls if c[0] == event.name), None)
        if call is None:
            return
        throttle.pending_calls.remove(call)
        if event.outcome is Outcome.SERVED:
            burst = throttle.plan.burst
            spare = throttle.plan.rate * (self.now % COUNTER_EPOCH) - event.total  # unused, were there no burst
            twice = call[3] - max(0.0, spare + call[2] + call[3])  # others put it right before this call came
            trusted = self.budget.note(throttle, event, call[3], spare, self.now) if self.budget else 0.0
            throttle.pending_correction = {}
            if call[3] > 0 and twice > EPS:
                self.correct_sum(throttle, event.name, -twice)
            elif not call[3] and spare > (REPORT_DELAY_SHARE * burst if call[2] else burst):
                self.correct_sum(throttle, event.name, spare)
            throttle.set_share(1.0, self.now)
            level = burst + spare + call[1]
            first = throttle.queue[0] if throttle.queue else None
            if call[1] > 0 and first is not None and first.reported_units > 0:
                key = (throttle.plan.name, first.covered_by_slice)
                self.grant_rates[key] += SAMPLE_WEIGHT * ((level >= first.request.units) - self.grant_rates[key])
            if level < 0 < call[2] - call[1]:  # sent on beyond the quota, which takes nothing from it
                self.defer_report(throttle, -min(call[2] - call[1], -level))
            throttle.quota_level = min(burst, level) - throttle.held_units
            throttle.reading_fresh_until = self.now + DEMAND_PERIOD / 10
            throttle.reading_valid_until = max(self.now + READING_LIFE_PERIODS * DEMAND_PERIOD, trusted)
        elif event.outcome is not Outcome.TIMED_OUT:
            throttle.unreported_units += call[2]
        throttle.awaits_reading = False
        self.release_held(throttle)

    def correct_sum(self, throttle: Throttle, name: str, units: float) -> None:
        """Corrects a customer's sum; where no call is allowed now, with the next one."""
        if self.may_call_counter(throttle, urgent=True):
            self.report_use(throttle, 0.0, units)
        elif units < 0:
            self.defer_report(throttle, units)
        else:
            throttle.pending_correction = {name: units}

    def expected_time(self, job: Job) -> float:
        """Seconds such a request takes on the fleet."""
        fallback = self.expected_times.get((job.request_class.name, 0.0), job.request_class.aim / 8)
        return self.expected_times.get((job.request_class.name, units_bucket(job.request.units)), fallback)

    def dispatch(self, job: Job) -> None:
        """Finds a backend for a request that has its credit, or turns it away."""
        if not job.attempts and self.should_shed(job):
            return self.give_up(job, "pressed")
        server = self.choose_server(job)
        return self.give_up(job, "no backend") if server is None else self.send(job, server)

    def choose_server(self, job: Job) -> Server | None:
        """The better of two that are drawn; more replace the unfit, and those that failed unless all did."""
        pool, weighted = self.serving_servers, True
        if job.first_possibly_run is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            weighted = False
            pool = self.serving.group(
                job.request_class.dedup_scope, group_of(job.request_class, job.first_possibly_run.server))
        best, least, found = None, 0.0, 0
        self.first_request_server = self.pick_first_request(job)
        if self.first_request_server is not None:
            return self.first_request_server
        for _ in range(MAX_CANDIDATE_PICKS if pool else 0):
            server = self.pick_candidate(pool, weighted)
            cost = self.candidate_cost(job, server) if self.may_send(job, server) else -1.0
            if cost >= 0 and (best is None or cost < least):
                best, least = server, cost
            found += cost >= 0
            if found >= CANDIDATES and least < AVOID_FROM * job.request_class.aim:
                break
        if best is None or self.current_failure_score(best) >= FAILING_FROM:
            best = self.pick_healthy(job, pool) or self.find_eligible(job, self.scan_window(pool))
        return best

    def pick_healthy(self, job: Job, pool: Sequence[Server]) -> Server | None:
        """A random one of the sound ones that may be sent to, if a few picks find one in a long list."""
        for _ in range(RANDOM_PICKS if len(pool) > SCAN_ALL_UP_TO else 0):
            server = pool[int(self.random.random() * len(pool))]
            if self.current_failure_score(server) < FAILING_FROM and self.may_send(job, server):
                return server
        return None

    def find_eligible(self, job: Job, pool: Sequence[Server]) -> Server | None:
        """One that may be sent to, where draws found none that is sound: looks at each of the pool."""
        # what fails at once has always room: it draws all that the others are too full for
        sound = [s for s in pool if self.current_failure_score(s) < FAILING_FROM]
        fit = [s for s in sound or pool if self.may_send(job, s)]
        if fit:
            return self.random.choice(fit)  # the first of a list is the same at all gateways
        # one that failed some time ago may be well again: a lone request tells
        tried = [s for s in pool if not s.in_flight and self.now - s.last_failed_at >= RETRY_FAILING_AFTER]
        return next((s for s in tried if self.may_send(job, s)), None)

    def scan_window(self, pool: Sequence[Server]) -> Sequence[Server]:
        """The pool, or as much of it from a random place on as is looked at for one request."""
        if len(pool) <= MAX_SCANNED:
            return pool
        begin = int(self.random.random() * len(pool))
        return [*pool[begin:begin + MAX_SCANNED], *pool[:max(begin + MAX_SCANNED - len(pool), 0)]]

    def pick_candidate(self, pool: Sequence[Server], weighted: bool) -> Server:
        """One of the pool; of all that serve by weight, as a cold backend has places for few gateways.

        What is out from one of forty gateways tells little of a backend's load: the draw must spread it.
        """
        if not weighted:
            return pool[int(self.random.random() * len(pool))]
        if self.now >= self.reweigh_at or self.serving.changed and len(self.candidates) <= BACKENDS_PER_REFRESH:
            self.update_weights()
        total = self.cumulative_weights[-1] if self.cumulative_weights else 0.0
        if total <= 0:
            return pool[int(self.random.random() * len(pool))]
        place = bisect(self.cumulative_weights, self.random.random() * total, 0, len(self.candidates) - 1)
        return self.candidates[place]

    def update_weights(self) -> None:
        """How often each is drawn: by a part of the gateways, which keep their connections there in use.

        The part grows for a gateway that finds too few sound backends in its own.
        """
        if self.now >= self.cold_update_at:
            self.update_cold()
        self.relative_ratings = self.serving.sizes()
        width = self.gateways_per_backend(self.serving_servers)
        while True:
            self.candidates = self.serving.ranked_below(width, self.settings.gateways)
            weights = [self.pick_weight(s, width) for s in self.candidates]
            sound = sum(w > 0 and self.current_failure_score(s) < AVOID_FROM
                        for s, w in zip(self.candidates, weights, strict=True))
            if sound >= MIN_APERTURE / 2 or width >= self.settings.gateways:
                break
            width *= 2
        self.cumulative_weights = list(accumulate(weights))
        self.reweigh_at = self.now + WEIGHTS_MAX_AGE * max(1.0, len(self.candidates) / BACKENDS_PER_REFRESH)
        self.serving.changed = False

    def update_cold(self) -> None:
        """Looks at all cold ones, less often where there are many."""
        shares = [(s, s.capacity_share(self.now, self.settings)) for s in self.serving.cold]
        self.serving.cold = {server: None for server, share in shares if share < 1.0}
        self.cold_capacity = sum(share for _, share in shares if share < 1.0)
        self.cold_update_at = self.now + WEIGHTS_MAX_AGE * max(1.0, len(shares) / BACKENDS_PER_REFRESH)

    @property
    def serving_capacity(self) -> float:
        """Of those that serve, in warm backends."""
        return max(len(self.serving) - len(self.serving.cold) + self.cold_capacity, EPS)

    def gateways_per_backend(self, pool: Sequence[Server]) -> int:
        """Gateways that use each backend."""
        each = self.settings.gateways / max(len(pool), 1)
        return max(MIN_GATEWAYS_PER_BACKEND, min(GATEWAYS_PER_BACKEND, ceil(MAX_APERTURE * each)), ceil(MIN_APERTURE * each))

    def pick_weight(self, server: Server, width: int) -> float:
        """For what it can do now, shared by those gateways that have a place there."""
        share, places = server.capacity_share(self.now, self.settings), min(width, self.settings.gateways)
        if self.has_few_slots(share):
            places = min(places, self.cold_slots(share))
        elif share < 1.0:
            share = 1.0  # what is out from here shows its load
        share *= self.relative_rating(server)
        return share * self.settings.gateways / places if server.rank < places else 0.0

    def relative_rating(self, server: Server) -> float:
        return self.relative_ratings.get(server.backend.machine_type, 1.0)

    def has_few_slots(self, share: float) -> bool:
        return share < 1.0 and COLD_ATTEMPT_LIMIT * share < self.settings.gateways

    def current_failure_score(self, server: Server) -> float:
        server.decay_failures(self.now)
        return server.failure_score

    def pick_first_request(self, job: Job) -> Server | None:
        """A restored backend that still waits for its first request: chance might keep it idle for long."""
        for address, due in self.first_request_due.items():
            server = self.servers.get(address)
            if server is not None and due <= self.now and not job.attempts:
                self.first_request_server = server
                if self.may_send(job, server):
                    self.first_request_due[address] = self.now + max(FIRST_REQUEST_INTERVAL, self.first_request_round())
                    return server
        return None

    def candidate_cost(self, job: Job, server: Server) -> float:
        server.decay_failures(self.now)
        again = sum(1 for a in job.attempts if a.server is server)
        again += server.rejecting_until.get((job.request_class.name, job.throttle.plan.name), 0.0) > self.now
        slow = self.machine_slowness.get(server.backend.machine_type, 1.0) * (server.in_flight + 1.0) / self.relative_rating(server)
        share = server.capacity_share(self.now, self.settings)
        if not self.has_few_slots(share):  # there the draw goes by what it can bear
            slow /= max(share, EPS)
        return self.expected_time(job) * slow + (server.failure_score + server.overdue + again) * job.request_class.aim

    def cold_in_flight_limit(self, server: Server) -> float:
        """How many may be out from here at a cold backend, by its share of what all may have out at one.

        More is sent only as answers come, at the pace that it has itself, and so never twice that for long.
        Where that is less than one a gateway, some have one each, others at each backend.
        """
        share = server.capacity_share(self.now, self.settings)
        if share >= 1.0:
            return float("inf")
        if any(until > self.now for until in server.rejecting_until.values()):
            return 0.0  # it turns work away, at once and for ever as fast as that is sent
        if len(self.recent_cold_sends(server)) >= self.cold_send_budget(server, share):
            return 0.0
        each, rest = divmod(COLD_ATTEMPT_LIMIT * share, self.settings.gateways)
        return each + (server.rank < rest)

    def recent_cold_sends(self, server: Server) -> list[float]:
        """Those of the rule's window, which counts every call, also one that has failed at once."""
        since = self.now - self.settings.overload_for
        server.cold_sends = [at for at in server.cold_sends if at > since]
        return server.cold_sends

    def cold_slots(self, share: float) -> int:
        """Gateways that use a cold backend: the one call that each may round up by must be within chance."""
        chance = self.cold_send_tolerance(share)
        return max(1, min(self.settings.gateways, ceil(COLD_ATTEMPT_LIMIT * share), int(chance)))

    def cold_send_tolerance(self, share: float) -> float:
        """Calls above the budget of all gateways, in the rule's window, that are put down to chance."""
        return GUARANTEED_SLOTS + 2.0 * sqrt(self.even_cold_sends(share) * self.settings.gateways)

    def first_request_round(self) -> float:
        """Seconds in which all gateways greet a restored, cold backend once: no more than is chance."""
        pace = MAX_FIRST_REQUEST_RATE
        if self.recently_served > 0 and self.settings.overload_for > 0:
            chance = FIRST_REQUEST_SHARE * self.cold_send_tolerance(self.settings.cold_from)
            pace = min(pace, chance / self.settings.overload_for)
        return self.settings.gateways / pace

    def even_cold_sends(self, share: float) -> float:
        """This gateway's even part of what the rule allows a cold backend in its window.

        What a warm one does at least is what it does at present: the sum over all gateways of what each has
        served, which each knows its own part of, whatever it is told of their number.
        """
        forgotten = 1.0 - exp(-max(self.now - self.started_at, MIN_SERVED_RATE_WINDOW) / SERVED_RATE_WINDOW)
        pace = self.decay_served() / (SERVED_RATE_WINDOW * forgotten) / self.serving_capacity
        return self.settings.fall_multiple * share * pace * self.settings.overload_for

    def cold_send_budget(self, server: Server, share: float) -> float:
        """Calls to a cold backend in the rule's window from here, by the places that there are for all."""
        places = self.cold_slots(share)
        if server.rank >= places:
            return 0.0
        sure = float(server.rank < GUARANTEED_SLOTS)
        return max(self.even_cold_sends(share) * self.settings.gateways / places, sure)

    def decay_served(self) -> float:
        self.recently_served *= exp((self.served_decayed_at - self.now) / SERVED_RATE_WINDOW)
        self.served_decayed_at = self.now
        return self.recently_served

    def should_shed(self, job: Job) -> bool:
        """Sheds while answers are late, those with little credit first: overload no one backend shows."""
        throttle = job.throttle
        if self.in_flight >= self.limit + self.random.random() - 0.5:
            return True
        good = throttle.quota_level + throttle.held_units >= throttle.bank / 2
        return self.random.random() > 2 * self.admitted_fraction - (0.0 if good else 1.0)

    def adjust_limits(self, late: bool, server: Server) -> None:
        """Moves the limits and the part that is sent on, whose steps scale with itself at any width."""
        server.limit = adjusted_limit(server.limit, late, server.in_flight, server.min_limit)
        least = max(MIN_IN_FLIGHT, MIN_LIMIT * len(self.serving_servers) / self.settings.gateways)
        self.limit = adjusted_limit(self.limit, late, self.in_flight, least)
        weight = min(1.0, (self.now - self.last_adjusted_at) / ADJUST_INTERVAL)
        self.last_adjusted_at = self.now
        self.admitted_fraction *= (ADMIT_DECREASE if late else ADMIT_INCREASE) ** weight
        self.admitted_fraction = min(max(self.admitted_fraction, MIN_FRACTION), 1.0)
        self.lightly_loaded_since = min(self.lightly_loaded_since, self.now) if self.admitted_fraction <= LIGHTLY_LOADED_UP_TO else inf

    @property
    def shedding_state(self) -> Load:
        """Whether answers show what the work takes, as far as this gateway knows."""
        if self.admitted_fraction >= NOT_SHEDDING_FROM:
            return Load.NONE_SHED
        return Load.RELIEVED if self.now - self.lightly_loaded_since >= LIGHTLY_LOADED_AFTER else Load.SHEDDING

    def late_after(self, job: Job, server: Server) -> float:
        """Seconds after its send from which an attempt counts as late.

        The aim alone would take ordinary work of a large part of it for overload:
        docs/incidents/2026-12-heavy-classes.md
        """
        least = LATE_AIM_SHARE * job.request_class.aim
        work = self.work_times.of(
            job.request_class.name, units_bucket(job.request.units), server.backend.machine_type)
        if work is None:
            return least
        return max(least, min(LATE_WORK_FACTOR * work, worth_until(job) - job.arrived_at))

    def give_up(self, job: Job, why: str) -> None:
        throttle = job.throttle
        if throttle.plan.rate > 0 and not job.attempts:
            throttle.quota_level = min(throttle.quota_level + job.request.units, throttle.bank - throttle.held_units)
            self.withdraw_report(job)
        self.end_request(job, DEMAND_PERIOD, why)

    def may_send(self, job: Job, server: Server) -> bool:
        """The rules for one more attempt, each checked here and nowhere else."""
        settings, first = self.settings, job.first_possibly_run
        if job.ended or job.streaming or self.now >= job.request.deadline:
            return False
        free = server.in_flight < min(server.limit, server.max_connections)
        known = self.servers.get(server.backend.address) is server and free
        if (server.backend.status is not BackendStatus.SERVING or not known
                or server.backend.address in self.suspended):
            return False
        if len(job.attempts) >= settings.max_attempts or (job.attempts_in_flight and not settings.may_hedge):
            return False
        if first is not None and job.request_class.repeat_policy is RepeatPolicy.ONCE:
            return False
        if first is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            apart = group_of(job.request_class, first.server) != group_of(job.request_class, server)
            if apart or self.now - first.sent_at >= job.request_class.memory:
                return False
        if server is not self.first_request_server and server.in_flight >= self.cold_in_flight_limit(server):
            return False
        return bool(job.attempts) or job.throttle.fits_ceiling(job.request.units, self.now)

    def send(self, job: Job, server: Server) -> None:
        """The one place where an attempt starts."""
        if not self.may_send(job, server):
            return self.give_up(job, "no backend")
        if not job.attempts:
            job.throttle.charge_ceiling(job.request.units, self.now)
            self.retry_credit = min(self.retry_credit + RETRY_CREDIT_PER_REQUEST, MAX_RETRY_CREDIT)
        attempt = Attempt(server, self.now, self.expected_time(job), self.late_after(job, server), self.shedding_state)
        self.update_load(server)
        if server.capacity_share(self.now, self.settings) < 1.0:
            server.cold_sends.append(self.now)
        server.in_flight += 1
        self.in_flight += 1
        job.throttle.in_flight += 1
        job.attempts_in_flight += 1
        job.attempts.append(attempt)
        within = inf
        if job.first_possibly_run is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            within = job.first_possibly_run.sent_at + job.request_class.memory - self.now
        job.first_possibly_run = job.first_possibly_run or attempt
        useful = self.useful_until(job, attempt) - self.now
        self.actions.append(Send(job.request.id, server.backend.address, useful, within))
        if not job.uploading:
            self.start_late_timer(job, len(job.attempts) - 1)

    def start_late_timer(self, job: Job, number: int) -> None:
        delay = max(job.attempts[number].late_after, EPS)
        self.actions.append(SetTimer(delay, f"o{number} {job.request.id}"))

    def on_upload_completed(self, request: int) -> None:
        """A backend begins once the body is whole: until then neither it nor the client's time is at work."""
        job = self.jobs.get(request)
        if job is not None and job.uploading:
            job.uploading, job.arrived_at = False, self.now
            for number, attempt in enumerate(job.attempts):
                if attempt.in_flight:
                    attempt.sent_at = self.now
                    self.start_late_timer(job, number)

    def on_stream_started(self, event: StreamStarted) -> None:
        """The answer goes on to the client from now on: the backend has done its work, and no other may."""
        job = self.jobs.get(event.request)
        if job is not None and event.attempt < len(job.attempts) and job.attempts[event.attempt].in_flight:
            attempt = job.attempts[event.attempt]
            job.streaming = True
            self.stop_awaiting(attempt)
            self.learn(job, attempt, Outcome.SERVED, self.now - attempt.sent_at)

    def stop_awaiting(self, attempt: Attempt) -> None:
        """Takes an attempt out of what its backend has at work."""
        if attempt.awaiting_response:
            attempt.awaiting_response = False
            self.update_load(attempt.server)
            attempt.server.in_flight -= 1
            attempt.server.overdue -= attempt.overdue
            self.in_flight -= not attempt.overdue

    def on_connect_failed(self, event: ConnectFailed) -> None:
        """A sound backend took no more: what is up is all that it takes from here, for now."""
        server = self.servers.get(event.backend)
        if server is not None and self.settings.pool.learned:
            server.max_connections, server.last_connect_failed_at = max(1.0, event.open_connections), self.now
            self.schedule_raise(server)

    def schedule_raise(self, server: Server) -> None:
        server.next_raise_at = self.now + CONNECTION_RAISE_INTERVAL * self.settings.gateways * (0.5 + self.random.random())
        self.send_pool_size(server)

    def send_pool_size(self, server: Server) -> None:
        idle_for = CONNECTION_LIMIT_IDLE_TIME if server.max_connections < inf else inf  # room in a full table goes round by use
        self.actions.append(SetPoolSize(server.backend.address, server.max_idle, server.max_connections, idle_for))

    def raise_connection_limit(self, server: Server) -> None:
        """Raises a learned bound slowly, as each of many gateways does so on its own."""
        if server.max_connections < inf and self.now >= server.next_raise_at:
            server.max_connections = server.max_connections + 1 if server.max_connections < server.limit + CONNECTION_HEADROOM else inf
            self.schedule_raise(server)

    def update_load(self, server: Server) -> None:
        """Follows how many connections are in use, just before that changes; told where its size changes."""
        if not self.settings.pool.sized:
            return
        server.average_in_flight += (1 - exp((server.load_updated_at - self.now) / LOAD_WINDOW)) * (server.in_flight - server.average_in_flight)
        server.load_updated_at = self.now
        # the least is a part of one over the fleet: those keep one that have a place there
        has_place = server.rank < min(GATEWAYS_PER_BACKEND, self.gateways_per_backend(self.serving_servers))
        keep = max(float(has_place), ceil(server.average_in_flight + LOAD_DEVIATIONS * sqrt(server.average_in_flight)))
        if keep != server.max_idle:
            server.max_idle = keep
            self.send_pool_size(server)

    def preconnect(self, address: str) -> None:
        """Opens ahead at a backend that this gateway will use, and does not yet."""
        server = self.servers.get(address)
        if server is None or server.in_flight or server.backend.status is not BackendStatus.SERVING:
            return
        if address not in self.suspended and self.pick_weight(server, self.gateways_per_backend(self.serving_servers)) > 0:
            self.actions.append(Preconnect(address, 1))

    def useful_until(self, job: Job, attempt: Attempt) -> float:
        # an attempt is given up once its answer is worth little, or a backlog of such work builds up
        return min(job.request.deadline, max(worth_until(job), self.now + attempt.late_after))

    def on_attempt_late(self, job: Job, attempt: Attempt) -> None:
        attempt.overdue = True  # speaks at once, and no longer fills the limit that sound backends need
        attempt.server.overdue += 1
        self.in_flight -= 1
        self.adjust_limits(True, attempt.server)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        job = self.jobs.get(event.request)
        if (job is None or not 0 <= event.attempt < len(job.attempts)
                or not job.attempts[event.attempt].in_flight):
            return
        attempt = job.attempts[event.attempt]
        attempt.in_flight, attempt.never_ran = False, event.outcome.never_ran
        told = not attempt.awaiting_response and event.outcome is Outcome.SERVED
        self.stop_awaiting(attempt)
        job.attempts_in_flight -= 1
        job.throttle.in_flight -= 1
        job.first_possibly_run = next((a for a in job.attempts if not a.never_ran), None)
        if not told:
            self.learn(job, attempt, event.outcome, event.elapsed)
        self.correct_units(job, event.actual_units)
        job.ended = job.ended or event.request_ended
        if not job.ended and not job.attempts_in_flight:
            self.retry_or_end(job, event)
        if job.ended and not job.attempts_in_flight:
            self.jobs.pop(event.request, None)
        if job.throttle.queue and job.throttle.plan.concurrency > 0:
            self.release_held(job.throttle)

    def correct_units(self, job: Job, true_units: float) -> None:
        throttle = job.throttle
        if true_units > 0 and not job.units_corrected and throttle.plan.rate > 0:
            job.units_corrected = True
            throttle.refill(self.now)
            back = job.request.units - true_units
            throttle.quota_level = min(throttle.quota_level + back, throttle.bank - throttle.held_units)
            if throttle.low_rate and job.reported_units > 0:
                throttle.unreported_units -= back * job.reported_units / job.request.units
            self.release_held(throttle)

    def retry_or_end(self, job: Job, event: AttemptEnded) -> None:
        outcome, usual = event.outcome, self.expected_time(job)
        end = min(job.request.deadline, worth_until(job))
        # one turned away cost no work: only in overload does another come dear; one that broke off cost what
        # it had done, and a connection that was lost as it was used is no sign of load
        free = outcome.never_ran and self.random.random() < self.admitted_fraction
        charge = 0.0 if free else min(1.0, event.elapsed / max(usual, EPS))
        useful = event.body_replayable and outcome is not Outcome.TIMED_OUT and end - self.now > usual
        if useful and self.retry_credit >= charge:
            before = len(job.attempts)
            self.dispatch(job)
            self.retry_credit -= charge if len(job.attempts) > before else 0.0
        else:
            self.end_request(job, DEMAND_PERIOD, f"after {outcome.value}")

    def learn(self, job: Job, attempt: Attempt, outcome: Outcome, elapsed: float) -> None:
        server = attempt.server
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        server.decay_failures(self.now)
        kind = (job.request_class.name, job.throttle.plan.name)
        if outcome is Outcome.REJECTED:  # maybe for no other plan or class: no sign of its health
            return server.rejecting_until.update({kind: self.now + REJECTION_BACKOFF})
        if outcome is Outcome.NO_CONNECTION and self.now - server.last_connect_failed_at < CONNECT_FAILURE_WINDOW:
            return None  # it took no more from here, and serves
        bad, late = outcome is not Outcome.SERVED, elapsed >= attempt.late_after - EPS
        self.fleet_failure_rate += SAMPLE_WEIGHT / 4 * ((bad or late) - self.fleet_failure_rate)
        # one that its client would not wait for came neither late nor in time
        if not attempt.overdue and (outcome is Outcome.SERVED or late and outcome is Outcome.TIMED_OUT):
            self.adjust_limits(late, server)
        if bad:
            dead = outcome is Outcome.NO_CONNECTION  # no slowness of the fleet looks like this
            server.last_failed_at = self.now
            held = CONNECTION_LOST_SCORE if outcome is Outcome.CONNECTION_LOST else 1.0
            server.failure_score = max(min(2 * server.failure_score + held, MAX_FAILURE_SCORE), MAX_FAILURE_SCORE / 2 if dead else 0.0)
            self.failing[server] = None
            return None
        server.failure_score /= 2
        self.recently_served = self.decay_served() + 1.0
        self.raise_connection_limit(server)
        self.first_request_due.pop(server.backend.address, None)
        server.rejecting_until.pop(kind, None)
        units = units_bucket(job.request.units)
        for key in ((job.request_class.name, units), (job.request_class.name, 0.0)):
            before = self.expected_times.get(key, elapsed)
            self.expected_times[key] = before + SAMPLE_WEIGHT / 3 * (elapsed - before)
        name, slow = server.backend.machine_type, elapsed / max(attempt.expected_time, 1e-4)
        self.work_times.note(job.request_class.name, units, name, elapsed, attempt.load, self.now)
        self.machine_slowness[name] = self.machine_slowness.get(name, 1.0) + SAMPLE_WEIGHT / 3 * (slow - self.machine_slowness.get(name, 1.0))
        return None

    def end_request(self, job: Job, retry_after: float, why: str) -> None:
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
            self.actions.append(Refuse(job.request.id, self.bounded_retry_after(retry_after), why))
        self.cancel_attempts(job)
        if not job.attempts_in_flight:
            self.jobs.pop(job.request.id, None)

    def bounded_retry_after(self, retry_after: float) -> float:
        """When to come back: told with every refusal, and no longer than clients honour."""
        retry_after = MAX_RETRY_AFTER if retry_after == inf else retry_after
        longest = self.settings.max_retry_after or retry_after
        return max(min(retry_after, longest), MIN_RETRY_AFTER)

    def cancel_attempts(self, job: Job) -> None:
        for number, attempt in enumerate(job.attempts):
            if attempt.in_flight and self.settings.may_cancel and not job.streaming:
                self.actions.append(Cancel(job.request.id, number))

    def on_client_disconnected(self, request: int) -> None:
        job = self.jobs.get(request)
        if job is not None:
            job.ended = True
            self.cancel_attempts(job)
            self.release_held(job.throttle)
            if not job.attempts_in_flight:
                self.jobs.pop(request, None)

    def on_timer(self, key: str) -> None:
        if key == "list":
            return self.actions.append(Subscribe())
        kind, rest = key[:1], key[1:]
        if kind == "w":
            return self.preconnect(rest)
        second, _, after = rest.partition(" ")
        if kind in "oh":
            job = self.jobs.get(int(after or rest))
            if job is not None and kind == "o" and job.attempts[int(second)].awaiting_response:
                self.on_attempt_late(job, job.attempts[int(second)])
            elif job is not None and kind == "h" and job in job.throttle.queue:
                # each held one has its own end, wherever it stands: its client may have less patience
                job.throttle.refill(self.now)
                self.refuse_held(job)
                self.release_held(job.throttle)
            return
        rest = after if kind == "d" else rest
        throttle = self.throttles.get(rest)
        if throttle is None:
            return
        if kind == "r":
            throttle.release_at = 0.0
            self.release_held(throttle)
        elif kind == "c":
            self.report_demand(throttle)
        elif kind == "d" and self.now >= self.counter_backoff_until and self.may_call_counter(throttle, throttle.reported_demand > 0):
            throttle.reading_name = f"{rest}.{second}"
            self.actions.append(AddToCounter(throttle.reading_name, 0.0, 4 * DEMAND_PERIOD))
        return None

    def on_backend_list(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            delay = self.settings.ask_every / 8 * (0.5 + self.random.random())
            return self.actions.append(SetTimer(max(delay, EPS), "list"))
        if event.kind is not ListKind.CHANGES:
            named = {b.address for b in event.backends}
            for address in [a for a in self.servers if a not in named]:
                self.remove_backend(address)
        for backend in event.backends:
            self.apply_entry(backend)
        if event.kind is not ListKind.CACHED:
            self.last_listed_at = self.now
            if self.first_listed_at is None:
                self.first_listed_at = self.now
        if event.kind is ListKind.CACHED and not self.settings.list_pushed:
            self.actions.append(Subscribe())

    def apply_entry(self, backend: Backend) -> None:
        """What the list says of one backend."""
        address, server = backend.address, self.servers.get(backend.address)
        self.known_addresses.add(address)
        if server is not None and server.backend == backend:
            return
        if backend.status is BackendStatus.REMOVED:
            return self.remove_backend(address)
        if server is not None:
            self.serving.discard(server)
        if server is None or server.backend.started_at != backend.started_at:
            if server is None and self.settings.pool.warm:
                self.actions.append(SetTimer(max(PRECONNECT_SPREAD * self.random.random(), EPS), "w" + address))
            server = self.servers[address] = self.new_server(backend)
        server.backend = backend
        self.add_if_serving(server)
        return None

    def remove_backend(self, address: str) -> None:
        """The list names it no more; it may come back, with the same process or another."""
        server = self.servers.pop(address, None)
        if server is None:
            return
        self.serving.discard(server)
        self.removed_starts[address] = server.backend.started_at, server.started_at
        if len(self.removed_starts) > MAX_REMOVED:
            del self.removed_starts[next(iter(self.removed_starts))]

    def add_if_serving(self, server: Server) -> None:
        """Has a server drawn from now on, unless it is not to be."""
        if server.backend.status is BackendStatus.SERVING and server.backend.address not in self.suspended:
            share = server.capacity_share(self.now, self.settings)
            self.serving.add(server, share < 1.0)
            self.cold_capacity += share if share < 1.0 else 0.0

    def new_server(self, backend: Backend) -> Server:
        """A backend of which nothing is learned yet."""
        place = rank_at(backend.address, self.settings)
        made = Server(backend, self.initial_limit(), self.now, place)
        listed, believed = self.removed_starts.pop(backend.address, (None, None))
        same = backend.started_at is not None and backend.started_at == listed
        made.started_at = believed if same else self.credible_start(backend.started_at)
        return made

    def initial_limit(self) -> float:
        """Attempts that may be out from here at a backend of which nothing is learned."""
        return max(1.0, INITIAL_LIMIT / self.settings.gateways)

    def credible_start(self, started: float | None) -> float | None:
        """When a backend has started, by this gateway's clock, which may be off: rather later than it was.

        None for long ago. No start is later than the list that tells of it; and what is new in a list that is
        followed has begun a moment ago, whatever the clock says.
        """
        if started is None or started >= self.now:
            return None if started is None else self.now
        follows = self.first_listed_at is not None and self.now - self.first_listed_at > LIST_FOLLOWED_AFTER
        oldest = self.last_listed_at - START_LISTED_WITHIN
        return self.now if follows and started < oldest else started

    def rebuild_serving(self) -> None:
        """Files all servers anew, after what may have changed any of them."""
        self.serving, self.cold_capacity = ServingSet(self.serving.scopes), 0.0
        for server in self.servers.values():
            self.add_if_serving(server)
        self.failing = {s: None for s in self.servers.values() if s.failure_score > 0}

    def on_suspension(self, event: Suspend | Restore) -> None:
        """Takes a backend out by hand, or ends that; one that comes back is cold, as if just started."""
        address, server = event.backend, self.servers.get(event.backend)
        if isinstance(event, Suspend) and address in self.known_addresses:
            self.suspended.add(address)
            self.first_request_due.pop(address, None)
            if server is not None:
                self.serving.discard(server)
            self.actions.append(CloseUnusedConnections(address))
        elif isinstance(event, Restore) and address in self.suspended:
            self.suspended.discard(address)
            place = rank_at(address, self.settings) / self.settings.gateways
            self.first_request_due[address] = self.now + place * self.first_request_round()
            if server is not None:
                self.serving.discard(server)
                made = self.servers[address] = self.new_server(server.backend)
                made.started_at = self.now
                self.add_if_serving(made)

    def hand_over(self, now: float) -> dict[str, Any]:
        """All that a successor must know; from here on this gateway only ends what it holds."""
        self.now = max(self.now, now)
        self.handed_over = True
        self.retry_credit /= 2
        return take_state(self)

    def on_predecessor_state(self, state: Mapping[str, Any]) -> None:
        """Goes on where another process stopped; of one that did not hand over there are only the bans."""
        self.suspended.update(state["banned"])
        self.known_addresses.update(state["banned"], state.get("known", ()))
        self.rebuild_serving()
        if "gateway" in state:
            restore_state(self, state)
            self.rebuild_serving()

    def count_unavailable(self) -> int:
        """How many listed backends are avoided at present: by hand, by the list, or for their failures."""
        failing = 0
        for server in list(self.failing):
            if self.current_failure_score(server) < FAILING_FROM:
                del self.failing[server]
            else:
                failing += server in self.serving
        return len(self.servers) - len(self.serving) + failing


HANDLERS: dict[type[Event], Callable[[Gateway, Any], None]] = {
    Request: Gateway.on_request, AttemptEnded: Gateway.on_attempt_ended, CounterCallEnded: Gateway.on_counter_result,
    BackendList: Gateway.on_backend_list, Suspend: Gateway.on_suspension, Restore: Gateway.on_suspension,
    StreamStarted: Gateway.on_stream_started, ConnectFailed: Gateway.on_connect_failed,
    TimerExpired: lambda g, event: g.on_timer(event.key),
    PredecessorState: lambda g, event: g.on_predecessor_state(event.state),
    ClientDisconnected: lambda g, event: g.on_client_disconnected(event.request),
    PredecessorEnded: lambda g, event: end_predecessor(g),
    UploadCompleted: lambda g, event: g.on_upload_completed(event.request), FlushCounts: lambda g, event: g.flush_counts(),
    SettingsChanged: lambda g, event: g.apply_settings(event.pool, event.aggregation),
}


def adjusted_limit(limit: float, late: bool, out: int, least: float) -> float:
    """A limit on what is out, after an answer: under what was out for a late one, more if it was in use."""
    if late:
        return max(min(limit, out + LIMIT_SLACK) - LIMIT_DECREASE, least)
    return limit + LIMIT_INCREASE if out + 1 > limit / 2 else limit


def rank_at(address: str, settings: Settings) -> int:
    """This gateway's place among all at a backend: another at each, and known without a word.

    Of a step that has no factor in common with their number, each has one of its own. A shuffle of all at
    each backend would be as even, at a cost that grows with both numbers.
    """
    drawn, gateways = zlib.crc32(address.encode()), settings.gateways
    step = 1 + drawn % gateways
    while gcd(step, gateways) > 1:
        step += 1
    return (step * settings.gateway_index + drawn // gateways) % gateways


def units_bucket(units: float) -> float:
    """Units by which answer times are kept: each whole number up to SMALL_UNITS, above it powers of two."""
    return float(ceil(units)) if units <= EXACT_UNITS_UP_TO else 2.0 ** ceil(log2(units))


def group_of(klass: RequestClass, server: Server) -> str | int:
    if klass.dedup_scope is DedupScope.ALL:
        return ""
    return server.backend.zone if klass.dedup_scope is DedupScope.ZONE else server.backend.cell


def worth_until(job: Job) -> float:
    """Until when an answer has most of its worth: the aim, or the deadline where late ones have it too."""
    return (job.arrived_at + job.request_class.aim if job.request_class.late_worth_share < LATE_WORTH_THRESHOLD
            else job.request.deadline)
