"""Decision module of a gateway: quotas, ceilings, choice of backends, retries and load shedding.

`Gateway.handle` takes one event and returns the actions for it; `embersill.interface` defines both. The
module does no input or output and reads no clock: its decisions follow from the settings, the seed and the
events with their moments. All moments and durations are in seconds.

Each customer has a `Throttle`, which holds this gateway's slice of the customer's quota. Each backend has a
`Server`, with what this gateway has learned of it.
"""

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
    FlushCounts, ListKind, Outcome, PeerRun, Plan, PoolSettings, Preconnect, PredecessorEnded,
    PredecessorState, Refuse, RepeatPolicy, Request, RequestClass, Restore, Send, SetPoolSize, SetTimer,
    Settings, SettingsChanged, ShareRun, StreamStarted, Subscribe, Suspend, TimerExpired, UploadCompleted,
)
from embersill.records import Attempt, Job
from embersill.run_history import PossibleRun, RunHistory, request_key
from embersill.serving_set import ServingSet
from embersill.settings import validate_settings
from embersill.state_transfer import end_predecessor, restore_state, export_state
from embersill.work_times import SheddingState, WorkTimes

if TYPE_CHECKING:
    from embersill.call_budget import CallBudget

DEMAND_PERIOD = 1.0  # seconds for which demand is summed up and reported
MAX_HOLD_SHARE = 0.4  # fraction of the aim for which a request may wait for credit
READING_LIFE_PERIODS = 2.5  # periods for which a reading sets the slice: longer than one lost call
DEMAND_WEIGHT = 0.5  # weight of the last period in the smoothed demand
COUNT_FROM_SHARE = 0.8  # of the even slice requested, or of the bank spent, from which demand is reported
MIN_SLICE_SHARE = 0.1  # fraction of the even slice that is always kept, for a customer who moves here
COUNTER_EPOCH = 60.0  # seconds of use that one counter name of a low-rate customer sums up: its longest life
FULLY_COUNTED_GATEWAYS = 100.0  # gateways whose low-rate requests the counter is initially assumed to sustain
REPORT_DELAY_SHARE = 0.25  # of a period until use is reported; of the burst, unused, until sums are corrected
COUNTED_INCREASE = 1.03  # factor on `counted_fraction` for each counter call answered in time
COUNTED_DECREASE = 0.7  # factor on it for a counter call that was rejected or timed out
TIMEOUT_SHARE = 0.9  # of the counter timeout; a call lost sooner had its connection broken, no overload
SAMPLE_WEIGHT = 0.15  # weight of one sample in learned averages
FAILURE_HALF_LIFE = 8.0  # seconds in which the failure score of a backend halves
MAX_FAILURE_SCORE = 8.0
CONNECTION_LOST_SCORE = 0.25  # failures that a lost connection counts as: the network may have caused it
FAILING_FROM = 2.0  # failure score from which a backend gets nothing while another serves
RETRY_FAILING_AFTER = 1.0  # seconds from a failure to one more try, where no other backend has room
AVOID_FROM = 0.5  # failure score from which another candidate is picked
MAX_FIRST_REQUEST_RATE = 12.0  # first requests per second to a restored backend, all gateways together
FIRST_REQUEST_SHARE = 0.8  # fraction of the tolerance at a cold backend that first requests may use
FIRST_REQUEST_INTERVAL = 1.0  # seconds between single requests to a restored backend, until it answers one
REJECTION_BACKOFF = 15.0  # seconds for which a backend that rejected a plan or class gets none of it
LATE_AIM_SHARE = 0.35  # fraction of the aim within which no answer counts as late
LATE_WORK_FACTOR = 2.0  # multiple of the work time within which none does either, up to the aim
NOT_SHEDDING_FROM = 0.95  # admitted fraction from which answer times show work rather than queueing
LIGHTLY_LOADED_UP_TO = 0.1  # admitted fraction up to which backends are assumed to be idle
LIGHTLY_LOADED_AFTER = 1.0  # seconds of that until what was sent earlier has been answered
COLD_ATTEMPT_LIMIT = 12.0  # attempts in flight at a cold backend, all gateways, times its capacity share
SERVED_RATE_WINDOW = 5.0  # seconds over which the rate of answers is averaged
MIN_SERVED_RATE_WINDOW = 1.0  # seconds; lower bound of that window just after a start
START_LISTED_WITHIN = 2.0  # seconds within which the list has a backend's start, if clocks agree
LIST_FOLLOWED_AFTER = 5.0  # seconds from the first list, after which new entries have just started
MAX_REMOVED = 16_384  # removed backends whose last start is stored
GUARANTEED_SLOTS = 2  # gateways that may always send a cold backend one attempt per overload window
UPLOAD_SHARE = 0.5  # fraction of the places at backends for requests whose body is still being received
INITIAL_LIMIT = 8.0  # attempts in flight at a backend, all gateways, before anything is learned of it
MIN_LIMIT = 4.0  # the same under overload
MIN_IN_FLIGHT = 1.0  # attempts that a gateway may always have in flight
LIMIT_DECREASE = 0.5  # attempts by which a late answer lowers a limit
LIMIT_SLACK = 2.0  # attempts above those in flight to which a late answer first cuts a limit
LIMIT_INCREASE = 0.5  # attempts by which an answer in time raises a limit that is half in use
ADMIT_DECREASE = 0.7  # factor on the admitted fraction for a late answer
ADMIT_INCREASE = 1.25  # factor on it for an answer in time
MIN_FRACTION = 0.05  # of requests admitted, or counted: some must show that the overload is over
ADJUST_INTERVAL = 1.0  # seconds since the last adjustment from which an answer has its full effect
LATE_WORTH_THRESHOLD = 0.5  # fraction of the worth kept after the aim from which attempts run to the deadline
RETRY_CREDIT_PER_REQUEST = 0.15  # retries that each first attempt earns
MAX_RETRY_CREDIT = 10.0  # retries that may be saved up
CANDIDATES = 2  # backends compared for each send: with more, all gateways would choose the same ones
GATEWAYS_PER_BACKEND = 8  # gateways that use a backend, where backends are few
MIN_GATEWAYS_PER_BACKEND = 2  # so that a backend sustains the loss of one gateway
MIN_APERTURE = 12  # backends that a gateway uses at least
MAX_APERTURE = 48  # backends in use from which fewer than GATEWAYS_PER_BACKEND gateways use each
WEIGHTS_MAX_AGE = 0.25  # seconds for which the weights of the random pick are used
BACKENDS_PER_REFRESH = 256  # backends in use up to which that holds; for more the age grows with their number
SCAN_ALL_UP_TO, RANDOM_PICKS = 64, 16  # backends up to which all are scanned if picks fail; picks among more
MAX_SCANNED = 1024  # backends scanned for one request, where no candidate is eligible
MAX_CANDIDATE_PICKS = 8  # random picks before that
MIN_RETRY_AFTER = 0.05  # seconds
MAX_RETRY_AFTER = 60.0  # seconds, for a request that this gateway could never admit
LEASE_SUFFIX = "lease"  # of the counter name from which leases of a customer's ceiling are taken
LARGE_SET = 4  # gateways of a customer above which demand is too uneven for slices that follow it
LARGE_SET_MIN_BANK = 2.0  # largest requests that a slice must hold there, or it goes by the counter's level
CONNECTION_RAISE_INTERVAL = 0.5  # seconds between tries of one more at a full backend, all gateways
CONNECTION_HEADROOM = 8.0  # connections above the attempt limit at which a learned connection limit ends
CONNECTION_LIMIT_IDLE_TIME = 1.0  # seconds that one to a full backend stays idle: others need its slot
CONNECT_FAILURE_WINDOW = 0.1  # seconds within which a failed connect also ends its attempt
LOAD_WINDOW = 10.0  # seconds over which the connections in use at a backend are averaged
LOAD_DEVIATIONS = 2.0  # standard deviations above the mean use for which idle connections are kept
PRECONNECT_SPREAD = 1.0  # seconds over which gateways spread their preconnects, as a list reaches all at once
EXACT_UNITS_UP_TO = 16  # units of a request up to which each integer has an answer time of its own
EPSILON = 1e-9  # tolerance of float comparisons of levels


class Throttle:
    """This gateway's slice of one customer's quota and ceiling, and the queue of its held requests.

    A request is charged when it arrives. Held requests leave in order of arrival, the first as soon as the
    credit without the charges of the queue covers it.

    gateway_count: gateways that serve the customer
    share: fraction of the quota that this gateway goes by
    rate, bank: units per second and units of that fraction
    quota_level: credit in units, less the units of all held requests; negative while the credit is short
    refilled_at: when both levels were last refilled
    held_units: units of the queue
    release_at: when the timer for the head of the queue expires; in the past if none is set
    in_flight: attempts in flight
    first_gateway: index of the first gateway of the customer, from its requests; None if unknown
    lease: leases of the ceiling; None if the ceiling is not shared that way
    ceiling_level, ceiling_depth, ceiling_rate: this gateway's part of the ceiling. It starts with what has
        refilled since the start of the process: a predecessor may have used all before.
    demand_period: number of the period that `period_demand` sums up
    period_demand, last_period_demand: units requested in that period, and in the one before it
    local_demand, total_demand: smoothed units per second at this gateway, and at all gateways
    reading_valid_until: moment until which the counter's last reading sets `share`
    reading_fresh_until: moment until which the customer's level is not read again
    count_scheduled: a timer to report use or demand is set
    awaits_reading: requests wait for a reading of the customer's level
    reported_demand: units that this gateway added to the name that it reads
    reading_name: that name, while its total is fetched
    low_rate: the slice holds less than a request, so requests go by the counter's level of the whole quota
    pending_correction: correction of a name's sum, which the next call for that name makes
    unreported_units: units sent and not yet reported to the counter; negative if too many were
    pending_calls: level readings without an answer: name, units requested, amount reported, correction
    """

    def __init__(
        self, customer: str, plan: Plan, gateway_count: int, now: float, started_at: float,
        max_units: float = 0.0, ceiling: CeilingShare | None = None,
    ) -> None:
        """`started_at`: of this process. `max_units`: of the largest request; 0 if there is no counter."""
        self.customer, self.plan, self.gateway_count = customer, plan, gateway_count
        ceiling = ceiling or even_share(plan, gateway_count)
        self.share = 1.0 / (ceiling.holders or gateway_count)
        self.rate, self.bank = plan.rate * self.share, plan.burst * self.share
        self.quota_level, self.refilled_at = self.bank, now
        self.queue: deque[Job] = deque()
        self.held_units = self.release_at = 0.0
        self.in_flight = 0
        self.first_gateway: int | None = None
        self.lease = CeilingLease(ceiling.terms) if ceiling.terms is not None else None
        self.ceiling_depth, self.ceiling_rate = ceiling.depth, ceiling.rate
        self.ceiling_level = min(self.ceiling_depth, self.ceiling_rate * (now - started_at))
        self.demand_period, self.period_demand, self.last_period_demand = -1, 0.0, 0.0
        self.local_demand = self.total_demand = self.reading_valid_until = self.reading_fresh_until = 0.0
        self.count_scheduled = self.awaits_reading = False
        self.reported_demand, self.reading_name = 0.0, ""
        min_burst = max_units * gateway_count * (LARGE_SET_MIN_BANK if gateway_count > LARGE_SET else 1.0)
        self.low_rate = gateway_count > 1 and 0 < plan.burst < min_burst and plan.rate > 0
        self.pending_correction: dict[str, float] = {}
        self.unreported_units = 0.0
        self.pending_calls: deque[tuple[str, float, float, float]] = deque()

    def refill(self, now: float) -> None:
        """Adds the credit and the part of the ceiling that have accrued since the last refill."""
        self.quota_level = max(
            self.quota_level,
            min(self.quota_level + self.rate * (now - self.refilled_at), self.bank - self.held_units))
        self.ceiling_level = min(
            self.ceiling_depth, self.ceiling_level + self.ceiling_rate * (now - self.refilled_at))
        self.refilled_at = now

    def set_share(self, share: float, now: float) -> None:
        """Changes this gateway's fraction of the quota from now on."""
        self.refill(now)
        self.share = share
        self.rate, self.bank = self.plan.rate * share, self.plan.burst * share
        self.quota_level = min(self.quota_level, self.bank - self.held_units)

    def wait_time(self, units: float) -> float:
        """Returns the seconds until the head of the queue, or a new request if it is empty, may leave."""
        wait = 0.0
        short = min(units, self.bank) - (self.quota_level + self.held_units)
        if self.plan.rate > 0 and short > EPSILON:
            wait = short / self.rate
        return wait if self.lease is not None else max(wait, self.ceiling_wait_time(units))

    def ceiling_wait_time(self, units: float) -> float:
        """Returns the seconds until this gateway's part of the ceiling has these units; inf for never."""
        if self.plan.ceiling_rate <= 0 or units - self.ceiling_level <= EPSILON:
            return 0.0
        return (units - self.ceiling_level) / self.ceiling_rate if self.ceiling_rate > 0 else inf

    def fits_ceiling(self, units: float, now: float) -> bool:
        """Returns whether this gateway's part of the ceiling and its leases allow it to send these units."""
        leased = self.lease.available(now) if self.lease is not None else 0.0
        return self.plan.ceiling_rate <= 0 or units <= self.ceiling_level + leased + EPSILON

    def charge_ceiling(self, units: float, now: float) -> None:
        """Charges units to the ceiling: leased units first, as these expire."""
        if self.plan.ceiling_rate > 0:
            self.ceiling_level -= self.lease.charge(units, now) if self.lease is not None else units

    @property
    def awaits_lease(self) -> bool:
        """Whether a call for a lease is pending."""
        return self.lease is not None and self.lease.requested > 0

    def below_concurrency_limit(self) -> bool:
        """Returns whether one more attempt fits this gateway's part of the plan's concurrency."""
        return (self.plan.concurrency <= 0
                or self.in_flight < max(1, self.plan.concurrency // self.gateway_count))

    def record_demand(self, units: float, now: float) -> None:
        """Adds requested units to the demand of the current period."""
        period = int(now // DEMAND_PERIOD)
        if period != self.demand_period:
            self.last_period_demand = self.period_demand if period == self.demand_period + 1 else 0.0
            self.demand_period, self.period_demand = period, 0.0
        self.period_demand += units

    def remove_held(self, job: Job) -> None:
        """Takes a request out of the queue; its charge stays."""
        self.queue.remove(job)
        self.held_units = self.held_units - job.request.units if self.queue else 0.0

    def is_idle(self, now: float) -> bool:
        """Returns whether it may be dropped: the levels are full; nothing is held, in flight or pending."""
        self.refill(now)
        full = ((self.plan.rate <= 0 or self.quota_level >= self.bank - EPSILON)
                and self.ceiling_level >= self.ceiling_depth - EPSILON)
        waits = self.awaits_reading or self.awaits_lease
        return full and not (
            self.queue or self.in_flight or self.count_scheduled or self.pending_calls or waits)


class Server:
    """What this gateway knows of one backend.

    rank: position of this gateway among all gateways at this backend
    started_at: when it started, or when an operator restored it, if that was later; None if unknown
    in_flight: attempts without an answer
    overdue: how many of these are late
    last_failed_at: when an attempt last failed
    failure_score: doubled and raised by one with each failure; halves every FAILURE_HALF_LIFE
    decayed_at: when the score was last brought up to date
    rejecting_until: until when it gets no request of a class and plan, because it rejected one
    limit, min_limit: attempts that this gateway may have in flight there, and the lower bound of that limit
    max_connections: learned limit on this gateway's connections to it
    next_raise_at: when one more connection is tried
    last_connect_failed_at: when it last accepted no further connection
    uploads: attempts in flight whose body is still being received
    average_in_flight, load_updated_at: average of `in_flight`, and when it was last brought up to date
    max_idle: idle connections to keep
    cold_sends: moments of the attempts sent while it was cold, in the last overload window
    """

    def __init__(self, backend: Backend, limit: float, now: float, rank: int) -> None:
        self.backend, self.decayed_at = backend, now
        self.rank = rank
        self.started_at = backend.started_at
        self.in_flight = self.overdue = self.uploads = 0
        self.last_failed_at = now
        self.failure_score = 0.0
        self.rejecting_until: dict[tuple[str, str], float] = {}
        self.limit, self.min_limit = limit, max(1.0, limit * MIN_LIMIT / INITIAL_LIMIT)
        self.max_connections, self.next_raise_at = inf, now
        self.last_connect_failed_at = -inf
        self.average_in_flight, self.load_updated_at, self.max_idle = 0.0, now, inf
        self.cold_sends: list[float] = []

    def capacity_share(self, now: float, settings: Settings) -> float:
        """Returns the lower bound of the fraction of its capacity that it has now; 1 once it is warm."""
        age = settings.warm_within if self.started_at is None else max(0.0, now - self.started_at)
        if age >= settings.warm_within:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.warm_within

    def decay_failures(self, now: float) -> None:
        """Brings the failure score up to date."""
        if self.failure_score:
            self.failure_score *= 0.5 ** ((now - self.decayed_at) / FAILURE_HALF_LIFE)
        self.decayed_at = now


class Gateway:
    """Makes the decisions of one gateway, from its settings, its seed and the events that it handles.

    now: moment of the event that is being handled
    started_at: when this process started
    given_up: number of requests that this gateway refused or failed itself, by reason
    serving: the servers that serve and are not suspended
    candidates: those of them that this gateway used when the weights were last made
    cumulative_weights: their weights for the random pick, summed up
    first_listed_at, last_listed_at: when discovery's first and last list was received
    removed_starts: for removed backends, when they last started: as listed, and as it was assumed
    known_addresses: all backends that were ever listed
    suspended: backends that an operator suspended, whatever their listed status
    first_request_due: for restored backends that have not answered yet, when each gets its next request
    handed_over: a successor has the state and must get all new requests
    predecessor_counts: what the predecessor has in flight: object and attribute that count it, and number
    first_request_server: the restored backend that gets a first request now
    failing: servers with a failure score above 0
    relative_ratings: mean rating of each machine type relative to the mean of all
    machine_slowness: answer time of each machine type relative to the fleet
    idle_scan: customers in the order in which their throttles are checked for being idle
    expected_times: average answer time by class and units; units 0 stand for the whole class
    fleet_failure_rate: average fraction of attempts that fail or are late
    retry_credit: retries that may be made now
    admitted_fraction: fraction of the requests that load shedding admits
    last_adjusted_at: when an answer last adjusted the limits
    lightly_loaded_since: since when next to nothing has been admitted; inf if more is
    work_times: what requests take at backends that are not overloaded
    in_flight, limit: attempts without an answer that are not late, and their limit
    recently_served: number of attempts served, decaying over SERVED_RATE_WINDOW
    cold_capacity: capacity of the cold backends, in warm ones, when it was last summed up
    counter_backoff_until: moment until which the counter is not called, after failures
    counter_failures: consecutive failed counter calls, up to 4
    counted_fraction: fraction of the low-rate requests for which the counter is called
    budget: limit on counter calls; None: no limit
    open_calls: the requests in `jobs` that have a client's id, by it
    run_history: requests that may have run and that must not run again anywhere
    shares_runs: the other process of an upgrade has to know what is recorded there
    grant_rates: fraction of the counted low-rate requests for which the quota had credit, by plan and by
        whether the slice covered them
    """

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        validate_settings(settings)
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.random = random.Random(seed)
        self.started_at = self.now = now
        self.actions: list[Action] = []
        self.given_up: Counter[str] = Counter()
        self.servers: dict[str, Server] = {}
        self.serving = ServingSet(frozenset(
            c.dedup_scope for c in settings.classes if c.repeat_policy is RepeatPolicy.BY_KEY))
        self.candidates: list[Server] = []
        self.cumulative_weights: list[float] = []
        self.reweigh_at = now
        self.first_listed_at: float | None = None
        self.last_listed_at = now
        self.removed_starts: dict[str, tuple[float | None, float | None]] = {}
        self.known_addresses: set[str] = set()
        self.suspended: set[str] = set()
        self.first_request_due: dict[str, float] = {}
        self.handed_over = False
        self.predecessor_counts: list[tuple[Any, str, float]] = []
        self.first_request_server: Server | None = None
        self.failing: dict[Server, None] = {}
        self.relative_ratings: dict[str, float] = {}
        self.machine_slowness: dict[str, float] = {}
        self.jobs: dict[int, Job] = {}
        self.open_calls: dict[str, Job] = {}
        self.run_history = RunHistory(max(
            (max(c.memory, c.deadline) for c in settings.classes if c.repeat_policy is not RepeatPolicy.SAFE),
            default=0.0))
        self.shares_runs = False
        self.throttles: dict[str, Throttle] = {}
        self.idle_scan: deque[str] = deque()
        self.expected_times: dict[tuple[str, float], float] = {}
        self.fleet_failure_rate, self.retry_credit = 0.0, MAX_RETRY_CREDIT
        self.admitted_fraction, self.last_adjusted_at = 1.0, now
        self.lightly_loaded_since = inf
        self.work_times = WorkTimes()
        self.in_flight, self.uploads, self.limit = 0, 0, float("inf")
        self.recently_served, self.served_decayed_at = 0.0, now
        self.cold_capacity, self.cold_update_at = 0.0, now
        self.counter_backoff_until, self.counter_failures = now, 0
        self.counted_fraction = min(1.0, FULLY_COUNTED_GATEWAYS / settings.gateways)
        self.budget: CallBudget | None = None
        self.apply_settings(settings.pool, settings.aggregation)
        self.grant_rates = {
            (p.name, covered): float(covered) for p in settings.plans for covered in (False, True)}

    @property
    def serving_servers(self) -> Sequence[Server]:
        """The servers that serve, in the order of the random picks."""
        return self.serving.all.items

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles one event and returns the actions to carry out, in their order."""
        self.now = max(self.now, now)
        self.actions = []
        handler = HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)
        return self.actions

    def apply_settings(self, pool: PoolSettings, aggregation: AggregationSettings | None) -> None:
        """Applies the settings of pools and counter calls; with a limit on the calls all use is counted."""
        if self.settings.aggregation != aggregation:
            self.budget = None
        self.settings = replace(self.settings, pool=pool, aggregation=aggregation)
        if aggregation is not None and self.budget is None:
            from embersill.call_budget import CallBudget  # loaded only where it is used
            self.budget, self.counted_fraction = CallBudget(aggregation, self.now), 1.0

    def may_call_counter(self, throttle: Throttle, urgent: bool = False, units: float = 0.0) -> bool:
        """Returns whether the budget, if there is one, allows a counter call, and charges it."""
        return self.budget is None or self.budget.try_take(throttle, urgent, units, self.now)

    def on_request(self, request: Request) -> None:
        """Admits, holds or refuses a new request."""
        if request.id in self.jobs:
            return
        if self.handed_over:
            return self.reject(request, MIN_RETRY_AFTER, "handed over")
        request_class, plan = self.classes.get(request.request_class), self.plans.get(request.plan)
        if request_class is None or plan is None or request.deadline <= self.now:
            return self.reject(request, DEMAND_PERIOD, "unknown or late")
        key = request_key(request.customer, request.call_id) if request.call_id else ""
        run = self.run_history.find(key) if request_class.repeat_policy is not RepeatPolicy.SAFE else None
        if key in self.open_calls or run is not None and not self.may_run_again(run, request_class):
            return self.reject(request, DEMAND_PERIOD, "came again")
        throttle = self.throttles.get(request.customer) or self.add_customer(request, plan)
        self.jobs[request.id] = job = Job(request, request_class, throttle, self.now, key, run)
        if key:
            self.open_calls[key] = job
        units = request.units
        throttle.refill(self.now)
        throttle.record_demand(units, self.now)
        spare = max(
            worth_until(job) - self.now - self.work_times.expected_class_seconds(request_class.name), 0.0)
        max_hold = min(MAX_HOLD_SHARE * request_class.aim, (request.deadline - self.now) / 2, spare)
        job.hold_until = self.now + max_hold
        if throttle.low_rate:
            self.request_level(job)
        else:
            self.schedule_count(throttle)
        if job.reported_units < 0 and not job.admit_unchecked:
            return self.end_request(job, DEMAND_PERIOD, "uncounted")
        free = not throttle.queue and throttle.below_concurrency_limit() and not throttle.awaits_reading
        fits = throttle.lease is None or throttle.fits_ceiling(units, self.now)
        if free and fits and (job.admit_unchecked or throttle.wait_time(units) <= 0):
            throttle.quota_level -= units if plan.rate > 0 else 0.0
            self.report_on_send(job)
            return self.dispatch(job)
        # the queue holds as many units as the rate brings within the time that a request may wait
        wait = throttle.wait_time(0.0 if throttle.queue else units)
        if throttle.plan.rate > 0:
            wait = max(wait, (min(units, throttle.bank) - throttle.quota_level) / throttle.rate)
        if wait > max_hold and not throttle.awaits_reading:
            return self.end_request(job, wait, "over quota")
        wait = self.min_ceiling_wait(throttle, throttle.held_units + units)
        if wait > max_hold and not throttle.awaits_reading:
            return self.end_request(job, wait, "over ceiling")
        throttle.queue.append(job)
        throttle.held_units += units
        throttle.quota_level -= units if plan.rate > 0 else 0.0  # without a quota nothing would pay it back
        self.release_held(throttle)
        self.actions.append(SetTimer(max(max_hold, 1e-6), f"h{request.id}"))

    def may_run_again(self, run: PossibleRun, request_class: RequestClass) -> bool:
        """Returns whether a request that may have run before may be sent, as it comes again.

        That takes a class by key, and the time for which backends remember the key.
        """
        return (request_class.repeat_policy is RepeatPolicy.BY_KEY
                and self.now - run.sent_at < request_class.memory)

    def find_open(self, customer: str, call_id: str) -> int | None:
        """Returns the id of the request that has this client's id and has not ended, or has attempts out."""
        job = self.open_calls.get(request_key(customer, call_id))
        return None if job is None else job.request.id

    def may_refuse(self, request: Request) -> bool:
        """Returns whether a request that is not accepted may be refused: it has not run, or is harmless."""
        request_class = self.classes.get(request.request_class)
        key = request_key(request.customer, request.call_id)
        return request_class is None or is_harmless(request_class) or not (
            key in self.open_calls or self.run_history.find(key) is not None)

    def has_earlier_run(self, request: int) -> bool:
        """Returns whether a request is one that comes again and may have run before."""
        job = self.jobs.get(request)
        return job is not None and job.earlier_run is not None

    def reject(self, request: Request, retry_after: float, reason: str) -> None:
        """Sends the final answer to a request that is not accepted."""
        self.given_up[reason] += 1
        self.actions.append(
            Refuse(request.id, self.bounded_retry_after(retry_after), reason) if self.may_refuse(request)
            else Fail(request.id, reason))

    def update_run(self, job: Job) -> None:
        """Records what may have run of a request that must not run again anywhere."""
        if job.request_class.repeat_policy is RepeatPolicy.SAFE:
            return
        job.run = run = possible_run(job)
        if not job.key:
            return
        if run is None:
            return self.run_history.withdraw(job.key)
        self.run_history.record(job.key, run.group, run.sent_at, job.attempt_count, self.now)
        if self.shares_runs:
            self.actions.append(ShareRun(
                PeerRun(job.key, run.group, self.now - run.sent_at, job.attempt_count)))

    def on_peer_run(self, event: PeerRun) -> None:
        """Records what may have run for the other process of an upgrade."""
        self.run_history.record(event.key, event.group, self.now - event.age, event.attempts, self.now)

    def drop_job(self, job: Job) -> None:
        """Forgets a request that has ended and has no attempts in flight."""
        self.jobs.pop(job.request.id, None)
        if job.key:
            self.open_calls.pop(job.key, None)

    def refuse_held(self, job: Job) -> None:
        """Refuses a held request and gives its units back."""
        throttle = job.throttle
        throttle.remove_held(job)
        throttle.quota_level += job.request.units if throttle.plan.rate > 0 else 0.0
        self.withdraw_report(job)
        self.end_request(job, throttle.wait_time(job.request.units), "held in vain")

    def release_held(self, throttle: Throttle) -> None:
        """Dispatches the held requests that the credit covers and sets a timer for the next one.

        Refuses those that can't be admitted in time.
        """
        if self.budget is not None and throttle.low_rate and throttle.unreported_units:
            self.defer_report(throttle, 0.0)
        throttle.refill(self.now)
        while throttle.queue and not throttle.awaits_reading:
            job = throttle.queue[0]
            units = job.request.units
            wait = 0.0 if job.admit_unchecked and throttle.lease is not None else throttle.wait_time(units)
            may_use_leases = (
                throttle.lease is not None and wait <= EPSILON and throttle.below_concurrency_limit())
            if may_use_leases and not throttle.fits_ceiling(units, self.now):
                wait = self.request_lease(throttle)
                if throttle.awaits_lease:
                    return
            if (job.ended or wait == inf
                    or throttle.low_rate and self.now + wait > job.hold_until + EPSILON):
                self.refuse_held(job)
            elif throttle.below_concurrency_limit() and wait <= EPSILON:
                throttle.remove_held(job)
                self.report_on_send(job)
                self.dispatch(job)
            else:
                due = self.now + wait
                if throttle.below_concurrency_limit() and (
                        throttle.release_at <= self.now or due < throttle.release_at - EPSILON):
                    throttle.release_at = due
                    self.actions.append(SetTimer(max(wait, 1e-6), "r" + throttle.customer))
                return

    def min_ceiling_wait(self, throttle: Throttle, units: float) -> float:
        """Returns the least seconds until the ceiling may admit these units; inf if it never does."""
        lease = throttle.lease
        if lease is None or not self.may_lease():
            return throttle.ceiling_wait_time(units)
        return 0.0 if units <= throttle.ceiling_level + lease.terms.units else inf

    def may_lease(self) -> bool:
        """Returns whether a lease may be requested from the counter now.

        Aggregators grant none: their totals don't start again with each life of a name.
        """
        aggregation = self.settings.aggregation
        return self.now >= self.counter_backoff_until and not (
            aggregation is not None and aggregation.directory)

    def request_lease(self, throttle: Throttle) -> float:
        """Requests a lease for the held requests that the quota covers.

        Returns the seconds until the first of them may be tried again; inf while the call is pending.
        """
        lease, first = throttle.lease, throttle.queue[0].request.units
        assert lease is not None
        if lease.requested > 0:
            return inf
        if not self.may_lease():
            return throttle.ceiling_wait_time(first)
        if self.now < lease.retry_at:
            return min(lease.retry_at - self.now, throttle.ceiling_wait_time(first))
        if not self.may_call_counter(throttle, units=first):
            return min(lease.terms.name_ttl, throttle.ceiling_wait_time(first))
        available = throttle.ceiling_level + lease.available(self.now)
        lease.start_request(min(self.releasable_units(throttle) - available, lease.terms.units), self.now)
        self.actions.append(
            AddToCounter(f"{throttle.customer}.{LEASE_SUFFIX}", lease.requested, lease.terms.name_ttl))
        return inf

    def releasable_units(self, throttle: Throttle) -> float:
        """Returns the units of the held requests that the quota covers now, always with the first one."""
        credit = throttle.quota_level + throttle.held_units if throttle.plan.rate > 0 else inf
        covered = throttle.queue[0].request.units
        for job in islice(throttle.queue, 1, None):
            if covered + job.request.units > credit:
                break
            covered += job.request.units
        return covered

    def on_lease_result(self, throttle: Throttle, event: CounterCallEnded) -> None:
        """Applies the counter's answer to a call for a lease."""
        lease = throttle.lease
        if lease is None or lease.requested <= 0:
            return
        if event.outcome is Outcome.SERVED:
            lease.apply_grant(event.total, self.now, self.random.random())
        else:
            lease.apply_failure()
        self.release_held(throttle)

    def add_customer(self, request: Request, plan: Plan) -> Throttle:
        """Creates the throttle of a new customer.

        Checks two others and drops them if they are idle, which saves a scan of all.
        """
        for _ in range(min(2, len(self.idle_scan))):
            customer = self.idle_scan.popleft()
            checked = self.throttles[customer]
            if (checked.reading_valid_until < self.now and checked.demand_period < self.now // DEMAND_PERIOD
                    and checked.is_idle(self.now)):
                del self.throttles[customer]
            else:
                self.idle_scan.append(customer)
        gateway_count = max(1, request.gateway_count or self.settings.gateways)
        throttle = self.new_throttle(request.customer, plan, gateway_count, request.first_gateway)
        self.throttles[request.customer] = throttle
        self.idle_scan.append(request.customer)
        return throttle

    def new_throttle(
        self, customer: str, plan: Plan, gateway_count: int, first_gateway: int | None = None
    ) -> Throttle:
        """Returns a throttle in its initial state.

        `first_gateway`: index of the customer's first gateway; None if an older predecessor did not send it.
        """
        settings = self.settings
        max_units = settings.max_units if settings.counter else 0.0
        timeout = settings.counter_timeout if settings.counter else None
        rank = (gateway_count if first_gateway is None
                else (settings.gateway_index - first_gateway) % settings.gateways)
        ceiling = share_ceiling(plan, gateway_count, rank, settings.max_units, timeout)
        throttle = Throttle(customer, plan, gateway_count, self.now, self.started_at, max_units, ceiling)
        throttle.first_gateway = first_gateway
        return throttle

    def schedule_count(self, throttle: Throttle) -> None:
        """Sets a timer to report a customer's demand, at a moment of each second that all gateways share."""
        if (not self.settings.counter or throttle.count_scheduled or throttle.gateway_count < 2
                or throttle.plan.rate <= 0):
            return
        throttle.count_scheduled = True
        due = (self.now // DEMAND_PERIOD + 1
               + (zlib.crc32(throttle.customer.encode()) % 997) / 1250) * DEMAND_PERIOD
        self.actions.append(SetTimer(max(due - self.now, 1e-6), "c" + throttle.customer))

    def report_demand(self, throttle: Throttle) -> None:
        """Adds the demand of the last period to the counter; not for customers far from their quota.

        The timer of `schedule_count` has expired. Of a low-rate customer the unreported use is added.
        """
        throttle.count_scheduled = False
        if self.handed_over:
            return  # the successor counts for both
        if throttle.low_rate:
            waits = self.budget is not None and self.budget.covered_by_reading(throttle, 0.0, self.now)
            if (throttle.unreported_units and not waits and self.now >= self.counter_backoff_until
                    and self.may_call_counter(throttle)):
                self.report_use(throttle, 0.0)
            elif throttle.unreported_units and self.budget is not None:
                throttle.count_scheduled = True
                self.actions.append(SetTimer(self.budget.defer(throttle.customer), "c" + throttle.customer))
            return
        throttle.record_demand(0.0, self.now)
        period, demand = throttle.demand_period - 1, throttle.last_period_demand
        throttle.local_demand += DEMAND_WEIGHT * (demand / DEMAND_PERIOD - throttle.local_demand)
        throttle.refill(self.now)
        if throttle.reading_valid_until < self.now:
            throttle.set_share(1.0 / throttle.gateway_count, self.now)
        if (demand > 0 or throttle.period_demand > 0
                or throttle.local_demand > 0.05 * throttle.plan.rate):
            self.schedule_count(throttle)
        even = throttle.plan.rate / throttle.gateway_count
        near_quota = (throttle.quota_level < (1.0 - COUNT_FROM_SHARE) * throttle.bank
                      or throttle.local_demand > COUNT_FROM_SHARE * even)
        if (self.now >= self.counter_backoff_until and near_quota
                and (demand <= 0 or self.may_call_counter(throttle))):
            throttle.reported_demand = demand
            if demand > 0:
                self.actions.append(
                    AddToCounter(f"{throttle.customer}.{period}", demand, 4 * DEMAND_PERIOD))
            wait = max(self.settings.counter_timeout, EPSILON)
            self.actions.append(SetTimer(wait, f"d{period} {throttle.customer}"))
        self.release_held(throttle)

    def on_counter_result(self, event: CounterCallEnded) -> None:
        """Adjusts the number of counter calls by the outcome of one, and applies its total."""
        throttle = self.throttles.get(event.name.rpartition(".")[0])
        waited = event.elapsed >= TIMEOUT_SHARE * self.settings.counter_timeout
        if event.outcome is Outcome.SERVED:
            self.counter_failures = 0
            self.counted_fraction = min(1.0, self.counted_fraction * COUNTED_INCREASE)
        elif waited or event.outcome is not Outcome.TIMED_OUT:
            self.counter_failures = min(self.counter_failures + 1, 4)  # each lengthens the backoff
            # one late call among prompt ones, or one of several aggregators
            single = self.counter_failures < 2 and (
                event.outcome is Outcome.TIMED_OUT or self.budget is not None)
            if not single:
                self.counter_backoff_until = self.now + DEMAND_PERIOD * 2 ** self.counter_failures / 8
            if not single and self.budget is not None:
                # no burst of calls when the counter returns
                self.budget.tokens, self.budget.refilled_at = 0.0, self.counter_backoff_until
            if event.outcome is not Outcome.NO_CONNECTION and self.counter_failures < 3:
                # overloaded rather than down
                self.counted_fraction = max(self.counted_fraction * COUNTED_DECREASE, MIN_FRACTION)
        if throttle is not None and event.name.endswith(f".{LEASE_SUFFIX}"):
            self.on_lease_result(throttle, event)
        elif throttle is not None and throttle.low_rate:
            self.on_level_result(throttle, event)
        elif throttle is not None and event.outcome is Outcome.SERVED and event.name == throttle.reading_name:
            throttle.reading_name = ""
            self.apply_total(throttle, event.total)

    def apply_total(self, throttle: Throttle, total: float) -> None:
        """Sets this gateway's slice by the demand of the last period at all gateways."""
        if total < throttle.reported_demand * (1.0 - 1e-6) - EPSILON:
            return  # the counter lost what was added: this is not the demand, and the last reading stays
        throttle.total_demand += DEMAND_WEIGHT * (total / DEMAND_PERIOD - throttle.total_demand)
        throttle.total_demand = max(throttle.total_demand, throttle.local_demand)
        throttle.reading_valid_until = self.now + READING_LIFE_PERIODS * DEMAND_PERIOD
        quota = throttle.plan.rate
        room = (quota - throttle.total_demand) / throttle.gateway_count
        rate = (throttle.local_demand + room if room >= 0
                else quota * throttle.local_demand / throttle.total_demand)
        throttle.set_share(max(rate / quota, MIN_SLICE_SHARE / throttle.gateway_count), self.now)
        self.release_held(throttle)

    def request_level(self, job: Job) -> None:
        """Reads the customer's level from the counter, where this gateway's slice is too small to tell.

        For a low-rate customer many gateways share a small quota: the bank of a slice never holds a request,
        and its demand in a period is zero or one. So the quota is not split: a reading gives the level of all
        of it, from the units that all gateways sent. If the counter is overloaded, only a fraction of the
        requests is counted, with their units multiplied to stand for the others too.
        """
        throttle, units = job.throttle, job.request.units
        even = self.now >= throttle.reading_valid_until
        if even and throttle.share == 1.0:
            throttle.set_share(1.0 / throttle.gateway_count, self.now)
        covered_by_reading = (
            self.budget is not None and self.budget.covered_by_reading(throttle, units, self.now))
        if (covered_by_reading or throttle.awaits_reading
                or self.now < max(throttle.reading_fresh_until, self.counter_backoff_until)):
            return
        wait = throttle.wait_time(units)
        if not even and wait > job.hold_until - self.now:
            return  # the credit is too low, even if no other gateway has used any since the reading
        covered = wait <= 0 and (even or throttle.quota_level >= throttle.bank / 2)
        admit = not self.may_cost_more(throttle.plan, covered)
        if (self.random.random() >= self.counted_fraction
                or not self.may_call_counter(throttle, not admit, units)):
            if self.budget is not None:  # other gateways may have used what the last reading left
                throttle.reading_valid_until = self.now
                throttle.set_share(1.0 / throttle.gateway_count, self.now)
                admit = not self.may_cost_more(throttle.plan, throttle.wait_time(units) <= 0)
            job.admit_unchecked = admit and (self.budget is None or self.budget.may_defer(throttle, units))
            job.reported_units = 0.0 if job.admit_unchecked and self.budget is not None else -1.0
            return
        job.covered_by_slice, job.reported_units = (
            covered, units / self.counted_fraction if admit and not self.budget else units)
        throttle.awaits_reading = True
        self.report_use(throttle, job.reported_units)

    def may_cost_more(self, plan: Plan, covered: bool) -> bool:
        """Returns whether a request that is not counted would on average cost more than it earns.

        The average is that of the counted requests. `covered`: this gateway's slice covers the request.
        """
        grant_rate = self.grant_rates[plan.name, covered]
        return grant_rate + (1.0 - grant_rate) * (plan.over_quota_worth - plan.over_quota_cost) < 0

    def report_use(self, throttle: Throttle, units: float, correction: float = 0.0) -> None:
        """Adds a low-rate customer's unreported units and these to the counter, and reads its level.

        `correction`: of the name's sum; 0 for one that waits for the next call.
        """
        name = f"{throttle.customer}.{int(self.now // COUNTER_EPOCH)}"
        correction = correction or throttle.pending_correction.get(name, 0.0)
        throttle.pending_correction = {}
        throttle.pending_calls.append((name, units, throttle.unreported_units + units, correction))
        self.actions.append(AddToCounter(name, throttle.unreported_units + units + correction, COUNTER_EPOCH))
        throttle.unreported_units = 0.0

    def report_on_send(self, job: Job) -> None:
        """Has the units of a request reported that is sent without a counter call of its own."""
        if job.throttle.low_rate and job.reported_units == 0:
            job.reported_units = job.request.units
            self.defer_report(job.throttle, job.reported_units)

    def withdraw_report(self, job: Job) -> None:
        """Has the units of a request subtracted at the counter, as it is not sent."""
        if job.throttle.low_rate and job.reported_units > 0:
            self.defer_report(job.throttle, -job.reported_units)
            job.reported_units = 0.0

    def defer_report(self, throttle: Throttle, units: float) -> None:
        """Collects units for a common report a moment later; negative ones are subtracted."""
        throttle.unreported_units += units
        if not throttle.count_scheduled:
            throttle.count_scheduled = True
            self.actions.append(SetTimer(
                REPORT_DELAY_SHARE * DEMAND_PERIOD / self.counted_fraction, "c" + throttle.customer))

    def flush_counts(self) -> None:
        """Reports all unreported units before the process exits: other gateways rely on the sums."""
        for throttle in self.throttles.values():
            if throttle.low_rate and throttle.unreported_units and not self.handed_over:
                self.report_use(throttle, 0.0)

    def on_level_result(self, throttle: Throttle, event: CounterCallEnded) -> None:
        """Sets the level by the units sent since the name's start, and keeps the sum within a burst of it."""
        call = next((c for c in throttle.pending_calls if c[0] == event.name), None)
        if call is None:
            return
        throttle.pending_calls.remove(call)
        if event.outcome is Outcome.SERVED:
            burst = throttle.plan.burst
            # units that accrued in this epoch and were not used; the burst does not limit them here
            unused = throttle.plan.rate * (self.now % COUNTER_EPOCH) - event.total
            # what others had corrected before this call reached the counter
            excess = call[3] - max(0.0, unused + call[2] + call[3])
            valid_until = (
                self.budget.record_reading(throttle, event, call[3], unused, self.now)
                if self.budget else 0.0)
            throttle.pending_correction = {}
            if call[3] > 0 and excess > EPSILON:
                self.correct_sum(throttle, event.name, -excess)
            elif not call[3] and unused > (REPORT_DELAY_SHARE * burst if call[2] else burst):
                self.correct_sum(throttle, event.name, unused)
            throttle.set_share(1.0, self.now)
            level = burst + unused + call[1]
            first = throttle.queue[0] if throttle.queue else None
            if call[1] > 0 and first is not None and first.reported_units > 0:
                key = (throttle.plan.name, first.covered_by_slice)
                self.grant_rates[key] += SAMPLE_WEIGHT * (
                    (level >= first.request.units) - self.grant_rates[key])
            if level < 0 < call[2] - call[1]:  # sent beyond the quota, which must not reduce it
                self.defer_report(throttle, -min(call[2] - call[1], -level))
            throttle.quota_level = min(burst, level) - throttle.held_units
            throttle.reading_fresh_until = self.now + DEMAND_PERIOD / 10
            throttle.reading_valid_until = max(self.now + READING_LIFE_PERIODS * DEMAND_PERIOD, valid_until)
        elif event.outcome is not Outcome.TIMED_OUT:
            throttle.unreported_units += call[2]
        throttle.awaits_reading = False
        self.release_held(throttle)

    def correct_sum(self, throttle: Throttle, name: str, units: float) -> None:
        """Adds units to a customer's sum; if no call is allowed now, with the next one."""
        if self.may_call_counter(throttle, urgent=True):
            self.report_use(throttle, 0.0, units)
        elif units < 0:
            self.defer_report(throttle, units)
        else:
            throttle.pending_correction = {name: units}

    def expected_time(self, job: Job) -> float:
        """Returns the seconds that such a request takes on average in the fleet."""
        fallback = self.expected_times.get((job.request_class.name, 0.0), job.request_class.aim / 8)
        return self.expected_times.get((job.request_class.name, units_bucket(job.request.units)), fallback)

    def dispatch(self, job: Job) -> None:
        """Sends a request that has its credit to a backend, or ends it."""
        if not job.attempts and self.should_shed(job):
            return self.give_up(job, "pressed")
        server = self.choose_server(job)
        return self.give_up(job, "no backend") if server is None else self.send(job, server)

    def choose_server(self, job: Job) -> Server | None:
        """Returns the cheaper of two random candidates.

        Ineligible candidates are replaced by others, and failing ones as well unless all of them fail.
        """
        pool, weighted = self.serving_servers, True
        if job.run is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            weighted = False
            pool = self.serving.group(job.request_class.dedup_scope, job.run.group)
        best, min_cost, found = None, 0.0, 0
        self.first_request_server = self.pick_first_request(job)
        if self.first_request_server is not None:
            return self.first_request_server
        for _ in range(MAX_CANDIDATE_PICKS if pool else 0):
            server = self.pick_candidate(pool, weighted)
            cost = self.candidate_cost(job, server) if self.may_send(job, server) else -1.0
            if cost >= 0 and (best is None or cost < min_cost):
                best, min_cost = server, cost
            found += cost >= 0
            if found >= CANDIDATES and min_cost < AVOID_FROM * job.request_class.aim:
                break
        if best is None or self.current_failure_score(best) >= FAILING_FROM:
            best = self.pick_healthy(job, pool) or self.find_eligible(job, self.scan_window(pool))
        return best

    def pick_healthy(self, job: Job, pool: Sequence[Server]) -> Server | None:
        """Returns a random eligible server that does not fail, if a few picks from a long pool find one."""
        for _ in range(RANDOM_PICKS if len(pool) > SCAN_ALL_UP_TO else 0):
            server = pool[int(self.random.random() * len(pool))]
            if self.current_failure_score(server) < FAILING_FROM and self.may_send(job, server):
                return server
        return None

    def find_eligible(self, job: Job, pool: Sequence[Server]) -> Server | None:
        """Scans the whole pool for an eligible server, after random picks found no healthy one."""
        # a backend that fails at once always has room: it would get all that the full ones can't take
        healthy = [s for s in pool if self.current_failure_score(s) < FAILING_FROM]
        eligible = [s for s in healthy or pool if self.may_send(job, s)]
        if eligible:
            return self.random.choice(eligible)  # the first of a list is the same at all gateways
        # one that failed some time ago may have recovered: a single request shows it
        retried = [s for s in pool if not s.in_flight and self.now - s.last_failed_at >= RETRY_FAILING_AFTER]
        return next((s for s in retried if self.may_send(job, s)), None)

    def scan_window(self, pool: Sequence[Server]) -> Sequence[Server]:
        """Returns the pool, or if it is long, MAX_SCANNED servers of it from a random position on."""
        if len(pool) <= MAX_SCANNED:
            return pool
        begin = int(self.random.random() * len(pool))
        return [*pool[begin:begin + MAX_SCANNED], *pool[:max(begin + MAX_SCANNED - len(pool), 0)]]

    def pick_candidate(self, pool: Sequence[Server], weighted: bool) -> Server:
        """Returns a random server of the pool; if `weighted`, of this gateway's aperture by weight.

        Of tens of gateways each sees little of a backend's load in its own attempts in flight, so the random
        pick must spread the load; and a cold backend has slots for a few gateways only.
        """
        if not weighted:
            return pool[int(self.random.random() * len(pool))]
        if (self.now >= self.reweigh_at
                or self.serving.weights_outdated and len(self.candidates) <= BACKENDS_PER_REFRESH):
            self.update_weights()
        total = self.cumulative_weights[-1] if self.cumulative_weights else 0.0
        if total <= 0:
            return pool[int(self.random.random() * len(pool))]
        position = bisect(self.cumulative_weights, self.random.random() * total, 0, len(self.candidates) - 1)
        return self.candidates[position]

    def update_weights(self) -> None:
        """Chooses the servers that this gateway uses, its aperture, and makes their weights.

        Each backend is used by a part of the gateways, which keep their connections to it busy. The aperture
        grows for a gateway that finds too few healthy backends in its own.
        """
        if self.now >= self.cold_update_at:
            self.update_cold()
        self.relative_ratings = self.serving.relative_ratings()
        cover = self.gateways_per_backend(self.serving_servers)
        while True:
            self.candidates = self.serving.ranked_below(cover, self.settings.gateways)
            weights = [self.pick_weight(s, cover) for s in self.candidates]
            healthy = sum(w > 0 and self.current_failure_score(s) < AVOID_FROM
                          for s, w in zip(self.candidates, weights, strict=True))
            if healthy >= MIN_APERTURE / 2 or cover >= self.settings.gateways:
                break
            cover *= 2
        self.cumulative_weights = list(accumulate(weights))
        self.reweigh_at = self.now + WEIGHTS_MAX_AGE * max(1.0, len(self.candidates) / BACKENDS_PER_REFRESH)
        self.serving.weights_outdated = False

    def update_cold(self) -> None:
        """Finds out which cold backends are warm by now, less often where there are many."""
        shares = [(s, s.capacity_share(self.now, self.settings)) for s in self.serving.cold]
        self.serving.cold = {server: None for server, share in shares if share < 1.0}
        self.cold_capacity = sum(share for _, share in shares if share < 1.0)
        self.cold_update_at = self.now + WEIGHTS_MAX_AGE * max(1.0, len(shares) / BACKENDS_PER_REFRESH)

    @property
    def serving_capacity(self) -> float:
        """Capacity of the servers that serve, in warm backends."""
        return max(len(self.serving) - len(self.serving.cold) + self.cold_capacity, EPSILON)

    def gateways_per_backend(self, pool: Sequence[Server]) -> int:
        """Returns the number of gateways that use each backend of the pool."""
        each = self.settings.gateways / max(len(pool), 1)
        return max(
            MIN_GATEWAYS_PER_BACKEND, min(GATEWAYS_PER_BACKEND, ceil(MAX_APERTURE * each)),
            ceil(MIN_APERTURE * each))

    def pick_weight(self, server: Server, cover: int) -> float:
        """Returns a server's weight: its present capacity, divided among the `cover` gateways that use it."""
        share, slots = server.capacity_share(self.now, self.settings), min(cover, self.settings.gateways)
        if self.has_few_slots(share):
            slots = min(slots, self.cold_slots(share))
        elif share < 1.0:
            share = 1.0  # this gateway's attempts in flight show its load
        share *= self.relative_rating(server)
        return share * self.settings.gateways / slots if server.rank < slots else 0.0

    def relative_rating(self, server: Server) -> float:
        """Returns the mean rating of the server's machine type, relative to the mean of all."""
        return self.relative_ratings.get(server.backend.machine_type, 1.0)

    def has_few_slots(self, share: float) -> bool:
        """Returns whether a backend with this share of its capacity has no slots for all gateways."""
        return share < 1.0 and COLD_ATTEMPT_LIMIT * share < self.settings.gateways

    def current_failure_score(self, server: Server) -> float:
        """Returns the failure score of a server, brought up to date."""
        server.decay_failures(self.now)
        return server.failure_score

    def pick_first_request(self, job: Job) -> Server | None:
        """Returns a restored backend whose next first request is due: random picks might leave it idle."""
        for address, due in self.first_request_due.items():
            server = self.servers.get(address)
            if server is not None and due <= self.now and not job.attempts:
                self.first_request_server = server
                if self.may_send(job, server):
                    self.first_request_due[address] = self.now + max(
                        FIRST_REQUEST_INTERVAL, self.first_request_round())
                    return server
        return None

    def candidate_cost(self, job: Job, server: Server) -> float:
        """Returns the cost of a candidate in seconds: the expected time, and the aim for each bad sign.

        Such signs are its failure score, late attempts, earlier attempts of this request, and a rejection.
        """
        server.decay_failures(self.now)
        again = sum(1 for a in job.attempts if a.server is server)
        again += server.rejecting_until.get((job.request_class.name, job.throttle.plan.name), 0.0) > self.now
        slowness = (self.machine_slowness.get(server.backend.machine_type, 1.0) * (server.in_flight + 1.0)
                    / self.relative_rating(server))
        share = server.capacity_share(self.now, self.settings)
        if not self.has_few_slots(share):  # else the weights of the random pick have it already
            slowness /= max(share, EPSILON)
        return (self.expected_time(job) * slowness
                + (server.failure_score + server.overdue + again) * job.request_class.aim)

    def cold_in_flight_limit(self, server: Server) -> float:
        """Returns the attempts that this gateway may have in flight at a backend that is cold; inf if warm.

        The limit of all gateways together grows with the backend's share of its capacity. More is sent only
        as answers come, at the backend's own rate, and so not at twice that rate for long. If the limit is
        below one attempt per gateway, some gateways have one each, others at each backend.
        """
        share = server.capacity_share(self.now, self.settings)
        if share >= 1.0:
            return float("inf")
        if any(until > self.now for until in server.rejecting_until.values()):
            return 0.0  # it rejects at once, and would go on to get requests as fast as it does
        if len(self.recent_cold_sends(server)) >= self.cold_send_budget(server, share):
            return 0.0
        each, rest = divmod(COLD_ATTEMPT_LIMIT * share, self.settings.gateways)
        return each + (server.rank < rest)

    def recent_cold_sends(self, server: Server) -> list[float]:
        """Returns the attempts of the overload window, in which also those count that failed at once."""
        since = self.now - self.settings.overload_for
        server.cold_sends = [at for at in server.cold_sends if at > since]
        return server.cold_sends

    def cold_slots(self, share: float) -> int:
        """Returns the number of gateways that use a cold backend.

        Each may exceed its part by one attempt through rounding up, and the sum of that must be tolerable.
        """
        tolerance = self.cold_send_tolerance(share)
        return max(1, min(self.settings.gateways, ceil(COLD_ATTEMPT_LIMIT * share), int(tolerance)))

    def cold_send_tolerance(self, share: float) -> float:
        """Returns the attempts of all gateways above a cold backend's budget that are taken for chance.

        Both are for one overload window.
        """
        return GUARANTEED_SLOTS + 2.0 * sqrt(self.even_cold_sends(share) * self.settings.gateways)

    def first_request_round(self) -> float:
        """Returns the seconds over which all gateways send a restored backend one first request each.

        The backend is cold: the requests must stay within the tolerance.
        """
        rate = MAX_FIRST_REQUEST_RATE
        if self.recently_served > 0 and self.settings.overload_for > 0:
            tolerance = FIRST_REQUEST_SHARE * self.cold_send_tolerance(self.settings.cold_from)
            rate = min(rate, tolerance / self.settings.overload_for)
        return self.settings.gateways / rate

    def even_cold_sends(self, share: float) -> float:
        """Returns this gateway's even part of the attempts that a cold backend sustains per overload window.

        What a warm one sustains is at least its present rate: the rate at which all gateways are served. Each
        gateway knows its own part of that, whatever number of gateways it was given.
        """
        window_share = 1.0 - exp(
            -max(self.now - self.started_at, MIN_SERVED_RATE_WINDOW) / SERVED_RATE_WINDOW)
        rate = self.decay_served() / (SERVED_RATE_WINDOW * window_share) / self.serving_capacity
        return self.settings.fall_multiple * share * rate * self.settings.overload_for

    def cold_send_budget(self, server: Server, share: float) -> float:
        """Returns the attempts that this gateway may send to a cold backend in an overload window."""
        slots = self.cold_slots(share)
        if server.rank >= slots:
            return 0.0
        guaranteed = float(server.rank < GUARANTEED_SLOTS)
        return max(self.even_cold_sends(share) * self.settings.gateways / slots, guaranteed)

    def decay_served(self) -> float:
        """Returns the number of recently served attempts, brought up to date."""
        self.recently_served *= exp((self.served_decayed_at - self.now) / SERVED_RATE_WINDOW)
        self.served_decayed_at = self.now
        return self.recently_served

    def should_shed(self, job: Job) -> bool:
        """Returns whether load shedding refuses a request.

        It sheds while answers are late, customers with little credit first. This covers an overload that no
        single backend shows.
        """
        throttle = job.throttle
        if self.in_flight >= self.limit + self.random.random() - 0.5:
            return True
        has_credit = throttle.quota_level + throttle.held_units >= throttle.bank / 2
        return self.random.random() > 2 * self.admitted_fraction - (0.0 if has_credit else 1.0)

    def adjust_limits(self, late: bool, server: Server) -> None:
        """Adjusts the limits on attempts in flight and the admitted fraction, after an answer.

        The steps of the fraction are proportional to it, so they suit any number of gateways.
        """
        server.limit = adjusted_limit(server.limit, late, server.in_flight, server.min_limit)
        min_limit = max(MIN_IN_FLIGHT, MIN_LIMIT * len(self.serving_servers) / self.settings.gateways)
        self.limit = adjusted_limit(self.limit, late, self.in_flight, min_limit)
        weight = min(1.0, (self.now - self.last_adjusted_at) / ADJUST_INTERVAL)
        self.last_adjusted_at = self.now
        self.admitted_fraction *= (ADMIT_DECREASE if late else ADMIT_INCREASE) ** weight
        self.admitted_fraction = min(max(self.admitted_fraction, MIN_FRACTION), 1.0)
        self.lightly_loaded_since = (
            min(self.lightly_loaded_since, self.now)
            if self.admitted_fraction <= LIGHTLY_LOADED_UP_TO else inf)

    @property
    def shedding_state(self) -> SheddingState:
        """Whether answer times show the work alone, as far as this gateway knows."""
        if self.admitted_fraction >= NOT_SHEDDING_FROM:
            return SheddingState.NOT_SHEDDING
        return (SheddingState.LIGHTLY_LOADED if self.now - self.lightly_loaded_since >= LIGHTLY_LOADED_AFTER
                else SheddingState.SHEDDING)

    def late_after(self, job: Job, server: Server) -> float:
        """Returns the seconds after its send from which an attempt counts as late.

        The aim alone would take ordinary work of a large part of it for overload:
        docs/incidents/2026-12-heavy-classes.md
        """
        min_time = LATE_AIM_SHARE * job.request_class.aim
        work = self.work_times.expected_seconds(
            job.request_class.name, units_bucket(job.request.units), server.backend.machine_type)
        if work is None:
            return min_time
        return max(min_time, min(LATE_WORK_FACTOR * work, worth_until(job) - job.arrived_at))

    def give_up(self, job: Job, reason: str) -> None:
        """Ends a request that can't be sent; one without attempts gets its units back."""
        throttle = job.throttle
        if throttle.plan.rate > 0 and not job.attempts:
            throttle.quota_level = min(
                throttle.quota_level + job.request.units, throttle.bank - throttle.held_units)
            self.withdraw_report(job)
        self.end_request(job, DEMAND_PERIOD, reason)

    def may_send(self, job: Job, server: Server) -> bool:
        """Returns whether one more attempt may be sent: the only check of all conditions for that."""
        settings, run = self.settings, job.run
        if job.ended or job.streaming or self.now >= job.request.deadline:
            return False
        free = server.in_flight < min(server.limit, server.max_connections)
        current = self.servers.get(server.backend.address) is server and free
        if (server.backend.status is not BackendStatus.SERVING or not current
                or server.backend.address in self.suspended):
            return False
        if job.uploading and not self.may_upload(server):
            return False
        if job.attempt_count >= settings.max_attempts or (job.attempts_in_flight and not settings.may_hedge):
            return False
        if run is not None and job.request_class.repeat_policy is RepeatPolicy.ONCE:
            return False
        if run is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            other_group = run.group != group_of(job.request_class, server)
            if other_group or self.now - run.sent_at >= job.request_class.memory:
                return False
        if (server is not self.first_request_server
                and server.in_flight >= self.cold_in_flight_limit(server)):
            return False
        return bool(job.attempts) or job.throttle.fits_ceiling(job.request.units, self.now)

    def may_upload(self, server: Server) -> bool:
        """Returns whether one more request whose body is still being received may take a place.

        Their clients may stop at any time, so a part of the places is left to complete requests.
        """
        places = min(server.limit, server.max_connections)
        if server.uploads + 1 > max(1.0, UPLOAD_SHARE * places):
            return False
        return self.uploads + 1 <= max(1.0, UPLOAD_SHARE * len(self.serving_servers) * max(places, 1.0))

    def send(self, job: Job, server: Server) -> None:
        """Starts an attempt; no other code does."""
        if not self.may_send(job, server):
            return self.give_up(job, "no backend")
        if not job.attempts:
            job.throttle.charge_ceiling(job.request.units, self.now)
            self.retry_credit = min(self.retry_credit + RETRY_CREDIT_PER_REQUEST, MAX_RETRY_CREDIT)
        attempt = Attempt(
            server, self.now, self.expected_time(job), self.late_after(job, server), self.shedding_state)
        self.update_load(server)
        if server.capacity_share(self.now, self.settings) < 1.0:
            server.cold_sends.append(self.now)
        server.in_flight += 1
        self.in_flight += 1
        if job.uploading:
            attempt.uploading = True
            server.uploads += 1
            self.uploads += 1
        job.throttle.in_flight += 1
        job.attempts_in_flight += 1
        job.attempts.append(attempt)
        send_window = inf
        if job.run is not None and job.request_class.repeat_policy is RepeatPolicy.BY_KEY:
            send_window = job.run.sent_at + job.request_class.memory - self.now
        self.update_run(job)
        timeout = self.useful_until(job, attempt) - self.now
        self.actions.append(Send(job.request.id, server.backend.address, timeout, send_window))
        if not job.uploading:
            self.start_late_timer(job, len(job.attempts) - 1)

    def start_late_timer(self, job: Job, number: int) -> None:
        """Sets the timer after which an attempt counts as late."""
        delay = max(job.attempts[number].late_after, EPSILON)
        self.actions.append(SetTimer(delay, f"o{number} {job.request.id}"))

    def on_upload_completed(self, request: int) -> None:
        """Starts the times of a request anew: a backend starts its work once the body is complete."""
        job = self.jobs.get(request)
        if job is not None and job.uploading:
            job.uploading, job.arrived_at = False, self.now
            for number, attempt in enumerate(job.attempts):
                self.end_upload(attempt)
                if attempt.in_flight:
                    attempt.sent_at = self.now
                    self.start_late_timer(job, number)

    def on_stream_started(self, event: StreamStarted) -> None:
        """Counts the backend's work as done; no other attempt may answer the request any more."""
        job = self.jobs.get(event.request)
        if job is not None and event.attempt < len(job.attempts) and job.attempts[event.attempt].in_flight:
            attempt = job.attempts[event.attempt]
            job.streaming = True
            self.stop_awaiting(attempt)
            self.learn(job, attempt, Outcome.SERVED, self.now - attempt.sent_at)

    def end_upload(self, attempt: Attempt) -> None:
        """Subtracts an attempt from those whose body is still being received, if it is one."""
        if attempt.uploading:
            attempt.uploading = False
            attempt.server.uploads -= 1
            self.uploads -= 1

    def stop_awaiting(self, attempt: Attempt) -> None:
        """Subtracts an attempt from those without an answer, if it is one."""
        self.end_upload(attempt)
        if attempt.awaiting_response:
            attempt.awaiting_response = False
            self.update_load(attempt.server)
            attempt.server.in_flight -= 1
            attempt.server.overdue -= attempt.overdue
            self.in_flight -= not attempt.overdue

    def on_connect_failed(self, event: ConnectFailed) -> None:
        """Sets a backend's connection limit: a sound one accepts no more than are open, for now."""
        server = self.servers.get(event.backend)
        if server is not None and self.settings.pool.learned:
            server.max_connections, server.last_connect_failed_at = max(1.0, event.open_connections), self.now
            self.schedule_raise(server)

    def schedule_raise(self, server: Server) -> None:
        """Sets when the learned connection limit is raised next, and sends the pool its present limits."""
        server.next_raise_at = (
            self.now + CONNECTION_RAISE_INTERVAL * self.settings.gateways * (0.5 + self.random.random()))
        self.send_pool_size(server)

    def send_pool_size(self, server: Server) -> None:
        """Sends the pool the limits for a backend."""
        # the slots in a full connection table go to the gateways that use them
        max_idle_time = CONNECTION_LIMIT_IDLE_TIME if server.max_connections < inf else inf
        self.actions.append(SetPoolSize(
            server.backend.address, server.max_idle, server.max_connections, max_idle_time))

    def raise_connection_limit(self, server: Server) -> None:
        """Raises a learned connection limit if that is due: slowly, as each gateway does so independently."""
        if server.max_connections < inf and self.now >= server.next_raise_at:
            server.max_connections = (
                server.max_connections + 1
                if server.max_connections < server.limit + CONNECTION_HEADROOM else inf)
            self.schedule_raise(server)

    def update_load(self, server: Server) -> None:
        """Updates the average number of connections in use, and the size of the pool, by that average.

        Must be called just before the number changes.
        """
        if not self.settings.pool.sized:
            return
        server.average_in_flight += (
            (1 - exp((server.load_updated_at - self.now) / LOAD_WINDOW))
            * (server.in_flight - server.average_in_flight))
        server.load_updated_at = self.now
        # on average over the fleet less than one would do: only the gateways that use the backend keep one
        is_user = server.rank < min(GATEWAYS_PER_BACKEND, self.gateways_per_backend(self.serving_servers))
        max_idle = max(
            float(is_user), ceil(server.average_in_flight + LOAD_DEVIATIONS * sqrt(server.average_in_flight)))
        if max_idle != server.max_idle:
            server.max_idle = max_idle
            self.send_pool_size(server)

    def preconnect(self, address: str) -> None:
        """Opens a connection in advance to a backend that this gateway will use and does not use yet."""
        server = self.servers.get(address)
        if server is None or server.in_flight or server.backend.status is not BackendStatus.SERVING:
            return
        if (address not in self.suspended
                and self.pick_weight(server, self.gateways_per_backend(self.serving_servers)) > 0):
            self.actions.append(Preconnect(address, 1))

    def useful_until(self, job: Job, attempt: Attempt) -> float:
        """Returns the moment at which an attempt is given up.

        That is when its answer is worth little: a backlog of such work would build up otherwise.
        """
        return min(job.request.deadline, max(worth_until(job), self.now + attempt.late_after))

    def on_attempt_late(self, job: Job, attempt: Attempt) -> None:
        """Counts an attempt as late before its answer comes; it no longer fills the limit of all attempts."""
        attempt.overdue = True
        attempt.server.overdue += 1
        self.in_flight -= 1
        self.adjust_limits(True, attempt.server)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Learns from the outcome of an attempt, and retries or ends its request if there is no answer."""
        job = self.jobs.get(event.request)
        if (job is None or not 0 <= event.attempt < len(job.attempts)
                or not job.attempts[event.attempt].in_flight):
            return
        attempt = job.attempts[event.attempt]
        attempt.in_flight, attempt.never_ran = False, event.outcome.never_ran
        already_learned = not attempt.awaiting_response and event.outcome is Outcome.SERVED
        self.stop_awaiting(attempt)
        job.attempts_in_flight -= 1
        job.throttle.in_flight -= 1
        if attempt.never_ran:
            self.update_run(job)
        if not already_learned:
            self.learn(job, attempt, event.outcome, event.elapsed)
        self.correct_units(job, event.actual_units)
        job.ended = job.ended or event.request_ended
        if not job.ended and not job.attempts_in_flight:
            self.retry_or_end(job, event)
        if job.ended and not job.attempts_in_flight:
            self.drop_job(job)
        if job.throttle.queue and job.throttle.plan.concurrency > 0:
            self.release_held(job.throttle)

    def correct_units(self, job: Job, actual_units: float) -> None:
        """Corrects the charge of a post-paid request to the units that it took, once."""
        throttle = job.throttle
        if actual_units > 0 and not job.units_corrected and throttle.plan.rate > 0:
            job.units_corrected = True
            throttle.refill(self.now)
            refund = job.request.units - actual_units
            throttle.quota_level = min(throttle.quota_level + refund, throttle.bank - throttle.held_units)
            if throttle.low_rate and job.reported_units > 0:
                throttle.unreported_units -= refund * job.reported_units / job.request.units
            self.release_held(throttle)

    def retry_or_end(self, job: Job, event: AttemptEnded) -> None:
        """Retries a request after its last attempt in flight failed, or ends it."""
        outcome, expected = event.outcome, self.expected_time(job)
        end = min(job.request.deadline, worth_until(job))
        # A rejection cost no work: a retry after it is charged in overload only. A broken attempt is charged
        # for the work that was done; a connection that was lost as it was used is no sign of load.
        free = outcome.never_ran and self.random.random() < self.admitted_fraction
        charge = 0.0 if free else min(1.0, event.elapsed / max(expected, EPSILON))
        useful = event.body_replayable and outcome is not Outcome.TIMED_OUT and end - self.now > expected
        if useful and self.retry_credit >= charge:
            attempts_before = len(job.attempts)
            self.dispatch(job)
            self.retry_credit -= charge if len(job.attempts) > attempts_before else 0.0
        else:
            self.end_request(job, DEMAND_PERIOD, f"after {outcome.value}")

    def learn(self, job: Job, attempt: Attempt, outcome: Outcome, elapsed: float) -> None:
        """Updates what is known of a backend, and the limits, by the outcome of one attempt."""
        server = attempt.server
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        server.decay_failures(self.now)
        class_and_plan = (job.request_class.name, job.throttle.plan.name)
        if outcome is Outcome.REJECTED:  # other plans and classes may be accepted: no sign of its health
            return server.rejecting_until.update({class_and_plan: self.now + REJECTION_BACKOFF})
        if (outcome is Outcome.NO_CONNECTION
                and self.now - server.last_connect_failed_at < CONNECT_FAILURE_WINDOW):
            return None  # it serves, at its connection limit
        failed, late = outcome is not Outcome.SERVED, elapsed >= attempt.late_after - EPSILON
        self.fleet_failure_rate += SAMPLE_WEIGHT / 4 * ((failed or late) - self.fleet_failure_rate)
        # an attempt whose client would not wait for it is neither late nor in time
        if not attempt.overdue and (outcome is Outcome.SERVED or late and outcome is Outcome.TIMED_OUT):
            self.adjust_limits(late, server)
        if failed:
            unreachable = outcome is Outcome.NO_CONNECTION  # which a slow fleet never looks like
            server.last_failed_at = self.now
            increment = CONNECTION_LOST_SCORE if outcome is Outcome.CONNECTION_LOST else 1.0
            server.failure_score = max(
                min(2 * server.failure_score + increment, MAX_FAILURE_SCORE),
                MAX_FAILURE_SCORE / 2 if unreachable else 0.0)
            self.failing[server] = None
            return None
        server.failure_score /= 2
        self.recently_served = self.decay_served() + 1.0
        self.raise_connection_limit(server)
        self.first_request_due.pop(server.backend.address, None)
        server.rejecting_until.pop(class_and_plan, None)
        units = units_bucket(job.request.units)
        for key in ((job.request_class.name, units), (job.request_class.name, 0.0)):
            average = self.expected_times.get(key, elapsed)
            self.expected_times[key] = average + SAMPLE_WEIGHT / 3 * (elapsed - average)
        machine, slowness = server.backend.machine_type, elapsed / max(attempt.expected_time, 1e-4)
        self.work_times.add_answer(job.request_class.name, units, machine, elapsed, attempt.load, self.now)
        self.machine_slowness[machine] = self.machine_slowness.get(machine, 1.0) + SAMPLE_WEIGHT / 3 * (
            slowness - self.machine_slowness.get(machine, 1.0))
        return None

    def end_request(self, job: Job, retry_after: float, reason: str) -> None:
        """Sends a request's final answer; no other code does, but for answers of backends and new requests.

        Refuses it only if repeating it is proven to be harmless, else fails it.
        """
        if job.ended or job.streaming:
            return
        job.ended = True
        self.given_up[reason] += 1
        if job.run is not None and not is_harmless(job.request_class):
            self.actions.append(Fail(job.request.id, reason))
        else:
            self.actions.append(Refuse(job.request.id, self.bounded_retry_after(retry_after), reason))
        self.cancel_attempts(job)
        if not job.attempts_in_flight:
            self.drop_job(job)

    def bounded_retry_after(self, retry_after: float) -> float:
        """Returns the seconds to send with a refusal: no more than clients honour."""
        retry_after = MAX_RETRY_AFTER if retry_after == inf else retry_after
        longest = self.settings.max_retry_after or retry_after
        return max(min(retry_after, longest), MIN_RETRY_AFTER)

    def cancel_attempts(self, job: Job) -> None:
        """Cancels the attempts in flight of a request, where backends allow it and none is streamed."""
        for number, attempt in enumerate(job.attempts):
            if attempt.in_flight and self.settings.may_cancel and not job.streaming:
                self.actions.append(Cancel(job.request.id, number))

    def on_client_disconnected(self, request: int) -> None:
        """Ends a request that needs no answer any more."""
        job = self.jobs.get(request)
        if job is not None:
            job.ended = True
            self.cancel_attempts(job)
            self.release_held(job.throttle)
            if not job.attempts_in_flight:
                self.drop_job(job)

    def on_timer(self, key: str) -> None:
        """Handles an expired timer. The first letter of its key says what for, and the rest for which object.

        list: request the list again
        w<backend>: open a connection in advance
        o<attempt> <request>: an attempt is late
        h<request>: a request has been held for as long as it may be
        r<customer>: the head of the queue may leave
        c<customer>: report demand or use
        d<period> <customer>: read the total of a period
        """
        if key == "list":
            return self.actions.append(Subscribe())
        kind, rest = key[:1], key[1:]
        if kind == "w":
            return self.preconnect(rest)
        number, _, after = rest.partition(" ")
        if kind in "oh":
            job = self.jobs.get(int(after or rest))
            if job is not None and kind == "o" and job.attempts[int(number)].awaiting_response:
                self.on_attempt_late(job, job.attempts[int(number)])
            elif job is not None and kind == "h" and job in job.throttle.queue:
                # each held request has its own time limit, also behind the head of the queue
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
        elif (kind == "d" and self.now >= self.counter_backoff_until
                and self.may_call_counter(throttle, throttle.reported_demand > 0)):
            throttle.reading_name = f"{rest}.{number}"
            self.actions.append(AddToCounter(throttle.reading_name, 0.0, 4 * DEMAND_PERIOD))
        return None

    def on_backend_list(self, event: BackendList) -> None:
        """Applies a list of backends, or schedules another request for one."""
        if event.kind is ListKind.FAILED:
            delay = self.settings.ask_every / 8 * (0.5 + self.random.random())
            return self.actions.append(SetTimer(max(delay, EPSILON), "list"))
        if event.kind is not ListKind.CHANGES:
            listed = {b.address for b in event.backends}
            for address in [a for a in self.servers if a not in listed]:
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
        """Applies one entry of the backend list."""
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
                self.actions.append(
                    SetTimer(max(PRECONNECT_SPREAD * self.random.random(), EPSILON), "w" + address))
            server = self.servers[address] = self.new_server(backend)
        server.backend = backend
        self.add_if_serving(server)
        return None

    def remove_backend(self, address: str) -> None:
        """Drops a backend that is not listed any more, but stores its start: the same process may return."""
        server = self.servers.pop(address, None)
        if server is None:
            return
        self.serving.discard(server)
        self.removed_starts[address] = server.backend.started_at, server.started_at
        if len(self.removed_starts) > MAX_REMOVED:
            del self.removed_starts[next(iter(self.removed_starts))]

    def add_if_serving(self, server: Server) -> None:
        """Adds a server to those that serve, if it does and is not suspended."""
        if (server.backend.status is BackendStatus.SERVING
                and server.backend.address not in self.suspended):
            share = server.capacity_share(self.now, self.settings)
            self.serving.add(server, share < 1.0)
            self.cold_capacity += share if share < 1.0 else 0.0

    def new_server(self, backend: Backend) -> Server:
        """Returns the record of a backend of which nothing has been learned."""
        rank = rank_at(backend.address, self.settings)
        server = Server(backend, self.initial_limit(), self.now, rank)
        listed, assumed = self.removed_starts.pop(backend.address, (None, None))
        same_process = backend.started_at is not None and backend.started_at == listed
        server.started_at = assumed if same_process else self.credible_start(backend.started_at)
        return server

    def initial_limit(self) -> float:
        """Returns the limit on attempts in flight from here at a backend without any learned data."""
        return max(1.0, INITIAL_LIMIT / self.settings.gateways)

    def credible_start(self, started_at: float | None) -> float | None:
        """Returns when a backend started by this gateway's clock, in doubt too late; None for long ago.

        The clocks may differ. No start is later than the list that has it. Where the list is followed, a new
        entry has just started, whatever moment it has.
        """
        if started_at is None or started_at >= self.now:
            return None if started_at is None else self.now
        follows = (self.first_listed_at is not None
                   and self.now - self.first_listed_at > LIST_FOLLOWED_AFTER)
        oldest = self.last_listed_at - START_LISTED_WITHIN
        return self.now if follows and started_at < oldest else started_at

    def rebuild_serving(self) -> None:
        """Rebuilds the indexes of the servers, after any of them may have changed."""
        self.serving, self.cold_capacity = ServingSet(self.serving.scopes), 0.0
        for server in self.servers.values():
            self.add_if_serving(server)
        self.failing = {s: None for s in self.servers.values() if s.failure_score > 0}

    def on_suspension(self, event: Suspend | Restore) -> None:
        """Suspends a backend, or restores it: it is then cold, as if just started."""
        address, server = event.backend, self.servers.get(event.backend)
        if isinstance(event, Suspend) and address in self.known_addresses:
            self.suspended.add(address)
            self.first_request_due.pop(address, None)
            if server is not None:
                self.serving.discard(server)
            self.actions.append(CloseUnusedConnections(address))
        elif isinstance(event, Restore) and address in self.suspended:
            self.suspended.discard(address)
            turn = rank_at(address, self.settings) / self.settings.gateways
            self.first_request_due[address] = self.now + turn * self.first_request_round()
            if server is not None:
                self.serving.discard(server)
                restored = self.servers[address] = self.new_server(server.backend)
                restored.started_at = self.now
                self.add_if_serving(restored)

    def hand_over(self, now: float) -> dict[str, Any]:
        """Returns the state for a successor; from now on this gateway only ends the requests that it has."""
        self.now = max(self.now, now)
        self.handed_over = self.shares_runs = True
        self.retry_credit /= 2
        return export_state(self)

    def on_predecessor_state(self, state: Mapping[str, Any]) -> None:
        """Takes over the predecessor's state; without a hand-over that is only the suspended backends."""
        self.suspended.update(state["banned"])
        self.known_addresses.update(state["banned"], state.get("known", ()))
        self.rebuild_serving()
        if "gateway" in state:
            self.shares_runs = True
            restore_state(self, state)
            self.rebuild_serving()

    def count_unavailable(self) -> int:
        """Returns how many listed backends are avoided: suspended, not serving by the list, or failing."""
        failing = 0
        for server in list(self.failing):
            if self.current_failure_score(server) < FAILING_FROM:
                del self.failing[server]
            else:
                failing += server in self.serving
        return len(self.servers) - len(self.serving) + failing


HANDLERS: dict[type[Event], Callable[[Gateway, Any], None]] = {
    Request: Gateway.on_request, AttemptEnded: Gateway.on_attempt_ended,
    CounterCallEnded: Gateway.on_counter_result,
    BackendList: Gateway.on_backend_list, Suspend: Gateway.on_suspension, Restore: Gateway.on_suspension,
    StreamStarted: Gateway.on_stream_started, ConnectFailed: Gateway.on_connect_failed,
    TimerExpired: lambda g, event: g.on_timer(event.key),
    PredecessorState: lambda g, event: g.on_predecessor_state(event.state),
    ClientDisconnected: lambda g, event: g.on_client_disconnected(event.request),
    PredecessorEnded: lambda g, event: end_predecessor(g), PeerRun: Gateway.on_peer_run,
    UploadCompleted: lambda g, event: g.on_upload_completed(event.request),
    FlushCounts: lambda g, event: g.flush_counts(),
    SettingsChanged: lambda g, event: g.apply_settings(event.pool, event.aggregation),
}


def adjusted_limit(limit: float, late: bool, in_flight: int, min_limit: float) -> float:
    """Returns a limit on attempts in flight after an answer.

    A late answer sets it below the number in flight. One in time raises it, if half of it was in use.
    """
    if late:
        return max(min(limit, in_flight + LIMIT_SLACK) - LIMIT_DECREASE, min_limit)
    return limit + LIMIT_INCREASE if in_flight + 1 > limit / 2 else limit


def rank_at(address: str, settings: Settings) -> int:
    """Returns this gateway's position among all gateways at a backend, without any coordination.

    It differs between gateways at one backend, as the step is coprime to their number, and between backends.
    A shuffle of all gateways for each backend would be as even, at a cost that grows with both numbers.
    """
    hashed, gateways = zlib.crc32(address.encode()), settings.gateways
    step = 1 + hashed % gateways
    while gcd(step, gateways) > 1:
        step += 1
    return (step * settings.gateway_index + hashed // gateways) % gateways


def units_bucket(units: float) -> float:
    """Rounds up units, as answer times are kept: to an integer, above EXACT_UNITS_UP_TO to a power of two."""
    return float(ceil(units)) if units <= EXACT_UNITS_UP_TO else 2.0 ** ceil(log2(units))


def group_of(request_class: RequestClass, server: Server) -> str | int:
    """Returns the zone or cell whose backends deduplicate the repeats sent to this server; "" for all."""
    if request_class.dedup_scope is DedupScope.ALL:
        return ""
    return server.backend.zone if request_class.dedup_scope is DedupScope.ZONE else server.backend.cell


def possible_run(job: Job) -> PossibleRun | None:
    """Returns the first attempt that is not proven not to have run, also of an earlier time."""
    first = next((attempt for attempt in job.attempts if not attempt.never_ran), None)
    if job.earlier_run is not None or first is None:
        return job.earlier_run
    return PossibleRun(group_of(job.request_class, first.server), first.sent_at, len(job.attempts))


def is_harmless(request_class: RequestClass) -> bool:
    """Returns whether a request that may have run has no further effect wherever it is sent again."""
    keyed = request_class.repeat_policy is RepeatPolicy.BY_KEY and request_class.dedup_scope is DedupScope.ALL
    return keyed or request_class.repeat_policy is RepeatPolicy.SAFE


def worth_until(job: Job) -> float:
    """Returns the moment until which an answer has most of its worth.

    That is the aim, or the deadline where late answers are worth much as well.
    """
    return (job.arrived_at + job.request_class.aim
            if job.request_class.late_worth_share < LATE_WORTH_THRESHOLD else job.request.deadline)
