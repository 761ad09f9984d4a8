"""What the capacity page tells of each role and failure: which measures, which budget, which mechanism."""

from __future__ import annotations

from dataclasses import dataclass

from embersill.lab.scale import coming_size as coming
from embersill.lab.scale.capacity_model import COUNTER_COST, MICROSECONDS, Factor, Term, number
from embersill.lab.scale.coming_size import COMING_SIZE, CapacityTarget

FULL_STATE = "full-state transfer"
DELTAS = "delta propagation by long poll"
CENTRAL_COUNTER = "one call per use to a central counter"
SINGLE_LEADER = "single leader, one watch per gateway"
READ_REPLICA = "read replica, one watch per gateway"
FULL_REPLICA = "full replica at each gateway"
LOCAL = "local decision"
MANUAL = "file and signal, no protocol"
NONE = "none"

FAN_OUT = "fan-out tree"
SHARDING = "sharding by rendezvous hashing"
SUBSETS = "subsetting: a part of the list at each gateway"
AGGREGATION = "hierarchical aggregation"
LEASES = "leases of quota"
CONFIG_DELTAS = "delta propagation of configuration down a fan-out tree"
REGION_QUOTA = "quota split between regions by lease"
ROLLOUT = "staged rollout with admission control"
WORKERS = "worker processes that share a gateway's port"
JITTERED_START = "jittered start from a local snapshot"


@dataclass(frozen=True, slots=True)
class Budget:
    """What may be spent on a quantity, and who says so."""

    most: float
    source: str


@dataclass(frozen=True, slots=True)
class RowPlan:
    """One row of a table.

    Either `terms` of measures, or `given`, a number reckoned from the size alone; with neither, the figure
    has no measure yet. `missing` is the mechanism that would take over where the budget is passed.
    """

    quantity: str
    unit: str
    mechanism: str
    terms: tuple[Term, ...] = ()
    given: Factor | None = None
    budget: Budget | None = None
    missing: str = ""


@dataclass(frozen=True, slots=True)
class TablePlan:
    """One table of the page; `name` stands in its marker."""

    name: str
    rows: tuple[RowPlan, ...]


@dataclass(frozen=True, slots=True)
class FailurePlan:
    """A failure, how often it comes, and the rows that it costs."""

    failure: str
    often: str
    rows: tuple[RowPlan, ...]


# factors

GATEWAYS = Factor("gateways", lambda target: target.gateways)
BACKENDS_IN_MB = Factor("backends / 1,000,000", lambda target: target.backends / coming.BYTES_PER_MB)
MEGABYTES = Factor("1 / 1,000,000", lambda target: 1 / coming.BYTES_PER_MB)
CORES = Factor("1 / 1,000,000", lambda target: 1 / MICROSECONDS)
SECONDS = Factor("0.001", lambda target: 0.001)  # of milliseconds
ENTRIES = Factor("one entry per backend", lambda target: target.backends)


def at_gateway(measure: str, *over: str, factor: Factor | None = None, times: Term | None = None) -> Term:
    """What one gateway has, spends or sees."""
    return Term(measure, over, factor, times, at_gateway=True)


# budgets

GATEWAY_CPU = Budget(coming.GATEWAY_CPU_SHARE, "operators")
GATEWAY_MEMORY = Budget(coming.GATEWAY_MEMORY_MB, "operators")
GATEWAY_BYTES = Budget(coming.GATEWAY_BYTES_PER_SECOND, "operators")
ADDED_P99 = Budget(coming.ADDED_P99_MS, "operators")
ONE_CORE = Budget(coming.PROCESS_CPU_SHARE, "one core per process")
IN_FORCE_MS = Budget(1_000 * coming.IN_FORCE_SECONDS, "operators")
IN_FORCE = Budget(coming.IN_FORCE_SECONDS, "operators")
COUNTER_PART = Budget(coming.COUNTER_CALLS_LEAST, "published, one part at its least")
COUNTER_ALL = Budget(coming.COUNTER_PARTS_MOST * coming.COUNTER_CALLS_LEAST,
                     "published, all parts at their least")

# terms that several rows share

SMALL_LIST = {"backends": 500.0, "changes": 0.5, "customers": 2000.0, "gateways": 20.0}

LOAD = ("gateways", "customers", "requests")
COUNTER_CALLS = at_gateway("counter_calls_per_gateway", *LOAD)
COUNTER_CALLS_FLEET = at_gateway("counter_calls_per_gateway", *LOAD, factor=GATEWAYS)
COUNTER_BYTES = tuple(at_gateway(f"counter_bytes_{way}_per_gateway", *LOAD) for way in ("out", "in"))
COUNTER_BYTES_FLEET = tuple(at_gateway(f"counter_bytes_{way}_per_gateway", *LOAD, factor=GATEWAYS)
                            for way in ("out", "in"))
LIST_CALLS = at_gateway("list_calls_per_gateway", "gateways", "changes")
LIST_CALLS_FLEET = at_gateway("list_calls_per_gateway", "gateways", "changes", factor=GATEWAYS)
LIST_BYTES = tuple(at_gateway(f"list_bytes_{way}_per_gateway", "gateways", "backends", "changes")
                   for way in ("out", "in"))
CUSTOMERS_AT_GATEWAY = at_gateway("customers_per_gateway", "gateways", "customers")


def unmeasured(quantity: str, unit: str, missing: str, budget: Budget | None = None) -> RowPlan:
    """A row of a role that does not exist yet."""
    return RowPlan(quantity, unit, NONE, budget=budget, missing=missing)


GATEWAY = TablePlan("gateway", (
    RowPlan("state: list entries", "entries", FULL_REPLICA, given=ENTRIES, missing=SUBSETS),
    RowPlan("state: customers", "customers", CENTRAL_COUNTER, (CUSTOMERS_AT_GATEWAY,), missing=SHARDING),
    RowPlan("messages/s", "calls/s", f"{CENTRAL_COUNTER}; {DELTAS}", (COUNTER_CALLS, LIST_CALLS)),
    RowPlan("bytes/s for the list", "bytes/s", f"{FULL_STATE}; {DELTAS}", LIST_BYTES,
            budget=GATEWAY_BYTES, missing=SUBSETS),
    RowPlan("bytes/s to the counter", "bytes/s", CENTRAL_COUNTER, COUNTER_BYTES,
            budget=GATEWAY_BYTES, missing=LEASES),
    RowPlan("bytes/s", "bytes/s", f"{CENTRAL_COUNTER}; {DELTAS}", (*COUNTER_BYTES, *LIST_BYTES),
            budget=GATEWAY_BYTES, missing=LEASES),
    RowPlan("CPU of control", "cores", f"{CENTRAL_COUNTER}; {DELTAS}",
            (at_gateway("control_cpu_share", "gateways", "backends", "customers", "requests"),),
            budget=GATEWAY_CPU, missing=LEASES),
    RowPlan("CPU of decisions", "cores", LOCAL,
            (at_gateway("module_cpu_share", "requests", "backends", "customers"),)),
    RowPlan("CPU of decisions, each request, with 500 backends", "µs", LOCAL,
            (Term("module_us_per_request", ("requests",), settled=SMALL_LIST),)),
    RowPlan("CPU to take a whole list", "ms", FULL_STATE, (Term("whole_list_ms", ("backends",)),)),
    RowPlan("CPU to take a change", "ms", DELTAS, (Term("change_ms", ("backends",)),)),
    RowPlan("memory of the process", "MB", FULL_REPLICA,
            (at_gateway("gateway_memory_mb", "backends", "customers"),),
            budget=GATEWAY_MEMORY, missing=SUBSETS),
    RowPlan("memory of the list", "MB", FULL_REPLICA,
            (Term("memory_per_backend_bytes", ("backends",), BACKENDS_IN_MB),),
            budget=GATEWAY_MEMORY, missing=SUBSETS),
    RowPlan("memory of customers", "MB", LOCAL,
            (at_gateway("memory_per_customer_bytes", "customers", times=CUSTOMERS_AT_GATEWAY,
                        factor=MEGABYTES),),
            budget=GATEWAY_MEMORY, missing=SHARDING),
    RowPlan("time here, median, waits for quota included", "ms", LOCAL,
            (at_gateway("added_p50_ms", "requests"),)),
    RowPlan("time here, 99 in 100, waits for quota included", "ms", LOCAL,
            (at_gateway("added_p99_ms", "requests"),)),
    unmeasured("added time, 99 in 100, without waits for quota", "ms", WORKERS, ADDED_P99),
))


def list_service(name: str, role: str, mechanism: str) -> TablePlan:
    """The table of one role of the list service."""
    return TablePlan(name, (
        RowPlan("state: list entries", "entries", mechanism, given=ENTRIES),
        RowPlan("messages/s, all gateways at this one", "calls/s", mechanism,
                (LIST_CALLS_FLEET,), missing=FAN_OUT),
        RowPlan("bytes/s out", "bytes/s", mechanism,
                (Term(f"list_bytes_out_{role}", ("gateways", "backends", "changes")),), missing=FAN_OUT),
        RowPlan("CPU", "cores", mechanism,
                (Term(f"directory_{role}_cpu_share", ("gateways", "backends", "changes")),),
                budget=ONE_CORE, missing=FAN_OUT),
        RowPlan("memory", "MB", mechanism,
                (Term(f"directory_{role}_memory_mb", ("gateways", "backends")),)),
        RowPlan("size of a whole list", "bytes", FULL_STATE, (Term("whole_list_bytes", ("backends",)),)),
        RowPlan("size of a change", "bytes", DELTAS, (Term("change_bytes", ("backends",)),)),
        RowPlan("change until the last gateway has it", "ms", mechanism,
                (Term("news_last_ms", ("gateways",)),), budget=IN_FORCE_MS, missing=FAN_OUT),
        RowPlan("longest of these", "ms", mechanism, (Term("news_longest_ms", ("gateways",)),),
                budget=IN_FORCE_MS, missing=FAN_OUT),
    ))


COUNTER = TablePlan("counter", (
    RowPlan("state: names", "names", CENTRAL_COUNTER, (Term("counter_names_active", ("customers",)),)),
    RowPlan("messages/s, one part", "calls/s", CENTRAL_COUNTER, (COUNTER_CALLS_FLEET,),
            budget=COUNTER_PART, missing=AGGREGATION),
    RowPlan("messages/s, all parts", "calls/s", "sharding by name", (COUNTER_CALLS_FLEET,),
            budget=COUNTER_ALL, missing=AGGREGATION),
    RowPlan("messages/s, from the sum over the fleet", "calls/s", CENTRAL_COUNTER,
            (Term("counter_calls_fleet", ("gateways",)),)),
    RowPlan("bytes/s", "bytes/s", CENTRAL_COUNTER, COUNTER_BYTES_FLEET),
    RowPlan("CPU", "cores", CENTRAL_COUNTER,
            (Term(COUNTER_COST, ("requests",), CORES, COUNTER_CALLS_FLEET),),
            budget=ONE_CORE, missing=AGGREGATION),
    RowPlan("memory", "MB", CENTRAL_COUNTER, (Term("counter_memory_mb", ("customers",)),)),
    RowPlan("requests refused", "share", CENTRAL_COUNTER, (at_gateway("refused_share", "customers"),)),
    RowPlan("refused though quota was left", "share", CENTRAL_COUNTER,
            (at_gateway("refused_with_room_share", "customers"),)),
    RowPlan("let through beyond quota", "share", CENTRAL_COUNTER,
            (at_gateway("beyond_quota_share", "customers"),)),
))

AGGREGATOR = TablePlan("aggregator", (
    RowPlan("state", "names", AGGREGATION),
    RowPlan("messages/s in", "calls/s", AGGREGATION,
            (Term("aggregator_calls_in", ("requests", "customers"), GATEWAYS, at_gateway=True,
                  per_gateway=True),)),
    RowPlan("messages/s out", "calls/s", AGGREGATION,
            (Term("aggregator_calls_out", LOAD),),
            budget=COUNTER_ALL, missing=LEASES),
    RowPlan("bytes/s", "bytes/s", AGGREGATION),
    RowPlan("CPU, all on one process", "cores", AGGREGATION,
            (Term("aggregator_cpu_share", ("requests", "customers"), GATEWAYS, at_gateway=True,
                  per_gateway=True),),
            budget=ONE_CORE, missing=SHARDING),
    RowPlan("memory", "MB", AGGREGATION, (Term("aggregator_memory_mb", ("customers",)),)),
))


def config_records(target: CapacityTarget) -> float:
    """What configuration describes: routes, services and customers."""
    return target.routes + target.services + target.customers


CONFIGURATION = TablePlan("configuration", (
    RowPlan("state", "records", MANUAL, given=Factor("routes + services + customers", config_records)),
    RowPlan("messages/s", "deliveries/s", MANUAL, missing=CONFIG_DELTAS, given=Factor(
        "configuration changes/s x gateways",
        lambda target: target.config_changes_per_second * target.gateways)),
    unmeasured("bytes/s", "bytes/s", CONFIG_DELTAS),
    unmeasured("CPU", "cores", CONFIG_DELTAS, ONE_CORE),
    unmeasured("memory", "MB", CONFIG_DELTAS),
    unmeasured("time until in force everywhere", "s", CONFIG_DELTAS, IN_FORCE),
))

OPERATORS = TablePlan("operators", (
    unmeasured("state", "operations in progress", ROLLOUT),
    RowPlan("messages/s", "commands/s", MANUAL, missing=ROLLOUT, given=Factor(
        "(configuration changes + restarts and replacements of machines) a day / 86,400 s",
        lambda target: (target.config_changes_per_day + target.restarts_per_day) / coming.SECONDS_PER_DAY)),
    unmeasured("bytes/s", "bytes/s", ROLLOUT),
    unmeasured("CPU", "cores", ROLLOUT),
    unmeasured("memory", "MB", ROLLOUT),
))

ROUTES = TablePlan("routes", (
    RowPlan("state", "routes", NONE, given=Factor("routes", lambda target: target.routes),
            missing=CONFIG_DELTAS),
    unmeasured("messages/s", "calls/s", CONFIG_DELTAS),
    unmeasured("bytes/s", "bytes/s", CONFIG_DELTAS),
    unmeasured("CPU", "cores", CONFIG_DELTAS),
    unmeasured("memory", "MB", CONFIG_DELTAS),
))

SERVICES = TablePlan("services", (
    RowPlan("state", "services", NONE, given=Factor("services", lambda target: target.services),
            missing=SUBSETS),
    unmeasured("messages/s", "calls/s", SUBSETS),
    unmeasured("bytes/s", "bytes/s", SUBSETS),
    unmeasured("CPU", "cores", SUBSETS),
    unmeasured("memory", "MB", SUBSETS),
))

TENANTS = TablePlan("tenants", (
    RowPlan("state", "customers", NONE, given=Factor("customers", lambda target: target.customers),
            missing=CONFIG_DELTAS),
    unmeasured("messages/s", "calls/s", CONFIG_DELTAS),
    unmeasured("bytes/s", "bytes/s", CONFIG_DELTAS),
    unmeasured("CPU", "cores", CONFIG_DELTAS),
    unmeasured("memory", "MB", CONFIG_DELTAS),
))

REGIONS = TablePlan("regions", (
    RowPlan("state", "shares of quota", NONE, missing=REGION_QUOTA, given=Factor(
        "customers x regions", lambda target: target.customers * target.regions)),
    unmeasured("messages/s", "calls/s", REGION_QUOTA),
    unmeasured("bytes/s", "bytes/s", REGION_QUOTA),
    unmeasured("CPU", "cores", REGION_QUOTA),
    unmeasured("memory", "MB", REGION_QUOTA),
))

ROLES = (
    GATEWAY,
    list_service("leader", "leader", SINGLE_LEADER),
    list_service("follower", "follower", READ_REPLICA),
    COUNTER,
    AGGREGATOR,
    CONFIGURATION,
    OPERATORS,
    ROUTES,
    SERVICES,
    TENANTS,
    REGIONS,
)


# failures


def news_of(formula: str, changes: Factor) -> tuple[RowPlan, ...]:
    """What it costs to tell all gateways of these changes, one message for each change and gateway."""
    return (
        RowPlan("messages", "changes told", DELTAS, given=Factor(
            f"{formula} x gateways", lambda target: changes.reckon(target) * target.gateways)),
        RowPlan("bytes", "bytes", DELTAS, (Term("change_bytes", ("backends",), Factor(
            f"{formula} x gateways", lambda target: changes.reckon(target) * target.gateways)),)),
        RowPlan("seconds until the last gateway knows", "s", DELTAS, (Term(
            "news_longest_ms", ("gateways",), SECONDS),),
            budget=IN_FORCE, missing=FAN_OUT),
    )


def lists_of(formula: str, gateways: Factor) -> RowPlan:
    """The bytes of a whole list for each of these gateways."""
    return RowPlan("bytes", "bytes", FULL_STATE,
                   (Term("whole_list_bytes", ("backends",), Factor(formula, gateways.reckon)),),
                   missing=JITTERED_START)


def return_of(formula: str, share: float) -> tuple[RowPlan, ...]:
    """What it costs when this share of the gateways starts again at once."""
    restarted = Factor(formula, lambda target: share * target.gateways)
    settled = {"restarted": share}
    return (
        RowPlan("messages", "calls for the list", FULL_STATE,
                (Term("restart_list_calls_fleet", ("restarted",), GATEWAYS, settled=settled,
                      per_gateway=True),),
                missing=JITTERED_START),
        lists_of(formula, restarted),
        RowPlan("bytes at a gateway, fleet as played", "bytes", FULL_STATE,
                (Term("restart_bytes_per_gateway", ("restarted",), settled=settled),)),
        RowPlan("seconds until all are told", "s", FULL_STATE,
                (Term("restart_all_told_s", ("restarted", "gateways"), settled=settled),),
                budget=IN_FORCE, missing=JITTERED_START),
        RowPlan("seconds until all are told, fleet as played", "s", FULL_STATE,
                (Term("restart_all_told_s", ("restarted",), settled=settled),),
                budget=IN_FORCE, missing=JITTERED_START),
    )


ONE_CHANGE = Factor("1 change", lambda target: 1.0)
RACK_CHANGES = Factor("machines of a rack", lambda target: float(coming.RACK_MACHINES))
ZONE_BACKENDS = Factor("backends of a zone", lambda target: target.backends / target.zones)
RESTART_CHANGES = Factor("list writes/s", lambda target: target.list_writes_per_second)
REGION_GATEWAYS = Factor("gateways of a region", lambda target: target.gateways / target.regions)
MISSED_CHANGES = Factor("list writes/s x 3,600 s",
                        lambda target: target.list_writes_per_second * coming.APART_SECONDS)
FAILURES_OFTEN = f"{number(COMING_SIZE.failures_per_day)} machines on an ordinary day"
RESTARTS_OFTEN = f"{number(COMING_SIZE.restarts_per_day)} machines a day"
ZONE_SHARE = 1 / COMING_SIZE.zones

FAILURES = (
    FailurePlan("one backend fails", FAILURES_OFTEN, news_of("1 change", ONE_CHANGE)),
    FailurePlan("ordinary restarts and replacements, each second", RESTARTS_OFTEN, (
        RowPlan("messages", "changes told/s", DELTAS, given=Factor(
            "list writes/s x gateways", lambda target: target.list_writes_per_second * target.gateways)),
        RowPlan("bytes for changes", "bytes/s", DELTAS, (Term("change_bytes", ("backends",), Factor(
            "list writes/s x gateways", lambda target: target.list_writes_per_second * target.gateways)),)),
        RowPlan("bytes for whole lists", "bytes/s", FULL_STATE, (Term(
            "whole_list_bytes", ("backends",), Factor(
                "gateway restarts a day / 86,400 s",
                lambda target: target.gateway_restarts_per_day / coming.SECONDS_PER_DAY)),)),
        RowPlan("seconds until the last gateway knows", "s", DELTAS, (Term(
            "news_longest_ms", ("gateways",), SECONDS),)),
    )),
    FailurePlan(f"a rack or switch with {coming.RACK_MACHINES} backends", "every week",
                news_of("machines of a rack", RACK_CHANGES)),
    FailurePlan("a zone: its backends", "once or twice a year", news_of("backends of a zone", ZONE_BACKENDS)),
    FailurePlan("a zone: all its gateways return together", "once or twice a year",
                return_of("gateways of a zone", ZONE_SHARE)),
    FailurePlan("all gateways return together", "not named by the operators", return_of("gateways", 1.0)),
    FailurePlan("a region is apart for an hour", "now and then", (
        RowPlan("messages", "changes missed", FULL_STATE, given=MISSED_CHANGES, missing=REGION_QUOTA),
        lists_of("gateways of a region, one whole list each", REGION_GATEWAYS),
        unmeasured("seconds until all are told", "s", REGION_QUOTA, IN_FORCE),
    )),
)
