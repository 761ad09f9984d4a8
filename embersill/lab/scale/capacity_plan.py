"""Definitions of the rows of docs/CAPACITY.md: measures, budget and mechanism for each role and failure."""

from __future__ import annotations

from dataclasses import dataclass

from embersill.lab.scale import coming_size as coming
from embersill.lab.scale.capacity_model import (
    COUNTER_US_PER_CALL, MICROSECONDS_PER_SECOND, Factor, Term, format_number,
)
from embersill.lab.scale.coming_size import TARGET_SIZE, CapacityTarget

FULL_STATE = "full-state transfer"
DELTAS = "delta propagation by long poll"
CENTRAL_COUNTER = "one call per use to a central counter"
SINGLE_LEADER = "single leader, one watch per gateway"
READ_REPLICA = "read replica, one watch per gateway"
FULL_REPLICA = "full replica at each gateway"
LOCAL_DECISION = "local decision"
MANUAL = "file and signal, no protocol"
NO_MECHANISM = "none"

FAN_OUT = "fan-out tree"
SHARDING = "sharding by rendezvous hashing"
SUBSETS = "subsetting: a part of the list at each gateway"
AGGREGATION = "hierarchical aggregation"
LEASES = "leases of quota"
CONFIG_DELTAS = "delta propagation of configuration down a fan-out tree"
REGION_QUOTA = "quota split between regions by lease"
ROLLOUT = "staged rollout with admission control"
WORKER_PROCESSES = "worker processes that share a gateway's port"
JITTERED_START = "jittered start from a local snapshot"


@dataclass(frozen=True, slots=True)
class Budget:
    """The largest allowed value of a quantity, and who sets it."""

    max_value: float
    source: str


@dataclass(frozen=True, slots=True)
class RowPlan:
    """One row of a table.

    The value is the sum of `terms`, or `from_size`, a number calculated from the size alone; without either,
    no measure exists yet. `missing_mechanism` is the mechanism needed when the budget is exceeded.
    """

    quantity: str
    unit: str
    mechanism: str
    terms: tuple[Term, ...] = ()
    from_size: Factor | None = None
    budget: Budget | None = None
    missing_mechanism: str = ""


@dataclass(frozen=True, slots=True)
class TablePlan:
    """One table of the page; `name` identifies it in the page's marker."""

    name: str
    rows: tuple[RowPlan, ...]


@dataclass(frozen=True, slots=True)
class FailurePlan:
    """A kind of failure, how often it occurs, and the rows with its costs."""

    failure: str
    frequency: str
    rows: tuple[RowPlan, ...]


# factors

GATEWAYS = Factor("gateways", lambda target: target.gateways)
MB_OF_ALL_BACKENDS = Factor("backends / 1,000,000", lambda target: target.backends / coming.BYTES_PER_MB)
BYTES_TO_MB = Factor("1 / 1,000,000", lambda target: 1 / coming.BYTES_PER_MB)
MICROSECONDS_TO_CORES = Factor("1 / 1,000,000", lambda target: 1 / MICROSECONDS_PER_SECOND)
MS_TO_SECONDS = Factor("0.001", lambda target: 0.001)
LIST_ENTRIES = Factor("one entry per backend", lambda target: target.backends)


def one_gateway_term(
    measure: str, *axes: str, factor: Factor | None = None, multiplied_by: Term | None = None
) -> Term:
    """A term of a measure of one gateway."""
    return Term(measure, axes, factor, multiplied_by, of_one_gateway=True)


# budgets

GATEWAY_CPU = Budget(coming.GATEWAY_CPU_SHARE, "operators")
GATEWAY_MEMORY = Budget(coming.GATEWAY_MEMORY_MB, "operators")
GATEWAY_BYTES = Budget(coming.GATEWAY_BYTES_PER_SECOND, "operators")
ADDED_P99 = Budget(coming.ADDED_P99_MS, "operators")
ONE_CORE = Budget(coming.PROCESS_CPU_SHARE, "one core per process")
PROPAGATION_MS = Budget(1_000 * coming.CONFIG_PROPAGATION_SECONDS, "operators")
PROPAGATION_SECONDS = Budget(coming.CONFIG_PROPAGATION_SECONDS, "operators")
COUNTER_PART_CALLS = Budget(coming.MIN_COUNTER_PART_CALLS, "published, one part at its least")
COUNTER_TOTAL_CALLS = Budget(coming.MAX_COUNTER_PARTS * coming.MIN_COUNTER_PART_CALLS,
                     "published, all parts at their least")

# terms that several rows share

SMALL_LIST_SIZE = {"backends": 500.0, "changes": 0.5, "customers": 2000.0, "gateways": 20.0}

LOAD_AXES = ("gateways", "customers", "requests")
COUNTER_CALLS = one_gateway_term("counter_calls_per_gateway", *LOAD_AXES)
COUNTER_CALLS_FLEET = one_gateway_term("counter_calls_per_gateway", *LOAD_AXES, factor=GATEWAYS)
COUNTER_BYTES = tuple(one_gateway_term(f"counter_bytes_{direction}_per_gateway", *LOAD_AXES)
                      for direction in ("out", "in"))
COUNTER_BYTES_FLEET = tuple(
    one_gateway_term(f"counter_bytes_{direction}_per_gateway", *LOAD_AXES, factor=GATEWAYS)
    for direction in ("out", "in"))
LIST_CALLS = one_gateway_term("list_calls_per_gateway", "gateways", "changes")
LIST_CALLS_FLEET = one_gateway_term("list_calls_per_gateway", "gateways", "changes", factor=GATEWAYS)
LIST_BYTES = tuple(one_gateway_term(f"list_bytes_{direction}_per_gateway", "gateways", "backends", "changes")
                   for direction in ("out", "in"))
CUSTOMERS_AT_GATEWAY = one_gateway_term("customers_per_gateway", "gateways", "customers")


def unmeasured_row(
    quantity: str, unit: str, missing_mechanism: str, budget: Budget | None = None
) -> RowPlan:
    """A row without a value, because the mechanism that it measures does not exist yet."""
    return RowPlan(quantity, unit, NO_MECHANISM, budget=budget, missing_mechanism=missing_mechanism)


GATEWAY = TablePlan("gateway", (
    RowPlan("state: list entries", "entries", FULL_REPLICA, from_size=LIST_ENTRIES,
            missing_mechanism=SUBSETS),
    RowPlan("state: customers", "customers", CENTRAL_COUNTER, (CUSTOMERS_AT_GATEWAY,),
            missing_mechanism=SHARDING),
    RowPlan("messages/s", "calls/s", f"{CENTRAL_COUNTER}; {DELTAS}", (COUNTER_CALLS, LIST_CALLS)),
    RowPlan("bytes/s for the list", "bytes/s", f"{FULL_STATE}; {DELTAS}", LIST_BYTES,
            budget=GATEWAY_BYTES, missing_mechanism=SUBSETS),
    RowPlan("bytes/s to the counter", "bytes/s", CENTRAL_COUNTER, COUNTER_BYTES,
            budget=GATEWAY_BYTES, missing_mechanism=LEASES),
    RowPlan("bytes/s", "bytes/s", f"{CENTRAL_COUNTER}; {DELTAS}", (*COUNTER_BYTES, *LIST_BYTES),
            budget=GATEWAY_BYTES, missing_mechanism=LEASES),
    RowPlan("CPU of control", "cores", f"{CENTRAL_COUNTER}; {DELTAS}",
            (one_gateway_term("control_cpu_share", "gateways", "backends", "customers", "requests"),),
            budget=GATEWAY_CPU, missing_mechanism=LEASES),
    RowPlan("CPU of decisions", "cores", LOCAL_DECISION,
            (one_gateway_term("module_cpu_share", "requests", "backends", "customers"),)),
    RowPlan("CPU of decisions, each request, with 500 backends", "µs", LOCAL_DECISION,
            (Term("module_us_per_request", ("requests",), fixed_values=SMALL_LIST_SIZE),)),
    RowPlan("CPU to take a whole list", "ms", FULL_STATE, (Term("whole_list_ms", ("backends",)),)),
    RowPlan("CPU to take a change", "ms", DELTAS, (Term("change_ms", ("backends",)),)),
    RowPlan("memory of the process", "MB", FULL_REPLICA,
            (one_gateway_term("gateway_memory_mb", "backends", "customers"),),
            budget=GATEWAY_MEMORY, missing_mechanism=SUBSETS),
    RowPlan("memory of the list", "MB", FULL_REPLICA,
            (Term("memory_per_backend_bytes", ("backends",), MB_OF_ALL_BACKENDS),),
            budget=GATEWAY_MEMORY, missing_mechanism=SUBSETS),
    RowPlan("memory of customers", "MB", LOCAL_DECISION,
            (one_gateway_term("memory_per_customer_bytes", "customers", multiplied_by=CUSTOMERS_AT_GATEWAY,
                              factor=BYTES_TO_MB),),
            budget=GATEWAY_MEMORY, missing_mechanism=SHARDING),
    RowPlan("time here, median, waits for quota included", "ms", LOCAL_DECISION,
            (one_gateway_term("added_p50_ms", "requests"),)),
    RowPlan("time here, 99 in 100, waits for quota included", "ms", LOCAL_DECISION,
            (one_gateway_term("added_p99_ms", "requests"),)),
    unmeasured_row("added time, 99 in 100, without waits for quota", "ms", WORKER_PROCESSES, ADDED_P99),
))


def list_service_table(name: str, role: str, mechanism: str) -> TablePlan:
    """The table of the leader or the follower of the list service."""
    return TablePlan(name, (
        RowPlan("state: list entries", "entries", mechanism, from_size=LIST_ENTRIES),
        RowPlan("messages/s, all gateways at this one", "calls/s", mechanism,
                (LIST_CALLS_FLEET,), missing_mechanism=FAN_OUT),
        RowPlan("bytes/s out", "bytes/s", mechanism,
                (Term(f"list_bytes_out_{role}", ("gateways", "backends", "changes")),),
                missing_mechanism=FAN_OUT),
        RowPlan("CPU", "cores", mechanism,
                (Term(f"directory_{role}_cpu_share", ("gateways", "backends", "changes")),),
                budget=ONE_CORE, missing_mechanism=FAN_OUT),
        RowPlan("memory", "MB", mechanism,
                (Term(f"directory_{role}_memory_mb", ("gateways", "backends")),)),
        RowPlan("size of a whole list", "bytes", FULL_STATE, (Term("whole_list_bytes", ("backends",)),)),
        RowPlan("size of a change", "bytes", DELTAS, (Term("change_bytes", ("backends",)),)),
        RowPlan("change until the last gateway has it", "ms", mechanism,
                (Term("news_last_ms", ("gateways",)),), budget=PROPAGATION_MS, missing_mechanism=FAN_OUT),
        RowPlan("longest of these", "ms", mechanism, (Term("news_longest_ms", ("gateways",)),),
                budget=PROPAGATION_MS, missing_mechanism=FAN_OUT),
    ))


COUNTER = TablePlan("counter", (
    RowPlan("state: names", "names", CENTRAL_COUNTER, (Term("counter_names_active", ("customers",)),)),
    RowPlan("messages/s, one part", "calls/s", CENTRAL_COUNTER, (COUNTER_CALLS_FLEET,),
            budget=COUNTER_PART_CALLS, missing_mechanism=AGGREGATION),
    RowPlan("messages/s, all parts", "calls/s", "sharding by name", (COUNTER_CALLS_FLEET,),
            budget=COUNTER_TOTAL_CALLS, missing_mechanism=AGGREGATION),
    RowPlan("messages/s, from the sum over the fleet", "calls/s", CENTRAL_COUNTER,
            (Term("counter_calls_fleet", ("gateways",)),)),
    RowPlan("bytes/s", "bytes/s", CENTRAL_COUNTER, COUNTER_BYTES_FLEET),
    RowPlan("CPU", "cores", CENTRAL_COUNTER,
            (Term(COUNTER_US_PER_CALL, ("requests",), MICROSECONDS_TO_CORES, COUNTER_CALLS_FLEET),),
            budget=ONE_CORE, missing_mechanism=AGGREGATION),
    RowPlan("memory", "MB", CENTRAL_COUNTER, (Term("counter_memory_mb", ("customers",)),)),
    RowPlan("requests refused", "share", CENTRAL_COUNTER, (one_gateway_term("refused_share", "customers"),)),
    RowPlan("refused though quota was left", "share", CENTRAL_COUNTER,
            (one_gateway_term("refused_with_room_share", "customers"),)),
    RowPlan("let through beyond quota", "share", CENTRAL_COUNTER,
            (one_gateway_term("beyond_quota_share", "customers"),)),
))

AGGREGATOR = TablePlan("aggregator", (
    RowPlan("state", "names", AGGREGATION),
    RowPlan("messages/s in", "calls/s", AGGREGATION,
            (Term("aggregator_calls_in", ("requests", "customers"), GATEWAYS, of_one_gateway=True,
                  divide_by_gateways=True),)),
    RowPlan("messages/s out", "calls/s", AGGREGATION,
            (Term("aggregator_calls_out", LOAD_AXES),),
            budget=COUNTER_TOTAL_CALLS, missing_mechanism=LEASES),
    RowPlan("bytes/s", "bytes/s", AGGREGATION),
    RowPlan("CPU, all on one process", "cores", AGGREGATION,
            (Term("aggregator_cpu_share", ("requests", "customers"), GATEWAYS, of_one_gateway=True,
                  divide_by_gateways=True),),
            budget=ONE_CORE, missing_mechanism=SHARDING),
    RowPlan("memory", "MB", AGGREGATION, (Term("aggregator_memory_mb", ("customers",)),)),
))


def config_records(target: CapacityTarget) -> float:
    """The number of configuration records: routes, services and customers."""
    return target.routes + target.services + target.customers


CONFIGURATION = TablePlan("configuration", (
    RowPlan("state", "records", MANUAL, from_size=Factor("routes + services + customers", config_records)),
    RowPlan("messages/s", "deliveries/s", MANUAL, missing_mechanism=CONFIG_DELTAS, from_size=Factor(
        "configuration changes/s x gateways",
        lambda target: target.config_changes_per_second * target.gateways)),
    unmeasured_row("bytes/s", "bytes/s", CONFIG_DELTAS),
    unmeasured_row("CPU", "cores", CONFIG_DELTAS, ONE_CORE),
    unmeasured_row("memory", "MB", CONFIG_DELTAS),
    unmeasured_row("time until in force everywhere", "s", CONFIG_DELTAS, PROPAGATION_SECONDS),
))

OPERATORS = TablePlan("operators", (
    unmeasured_row("state", "operations in progress", ROLLOUT),
    RowPlan("messages/s", "commands/s", MANUAL, missing_mechanism=ROLLOUT, from_size=Factor(
        "(configuration changes + restarts and replacements of machines) a day / 86,400 s",
        lambda target: (target.config_changes_per_day + target.restarts_per_day) / coming.SECONDS_PER_DAY)),
    unmeasured_row("bytes/s", "bytes/s", ROLLOUT),
    unmeasured_row("CPU", "cores", ROLLOUT),
    unmeasured_row("memory", "MB", ROLLOUT),
))

ROUTES = TablePlan("routes", (
    RowPlan("state", "routes", NO_MECHANISM, from_size=Factor("routes", lambda target: target.routes),
            missing_mechanism=CONFIG_DELTAS),
    unmeasured_row("messages/s", "calls/s", CONFIG_DELTAS),
    unmeasured_row("bytes/s", "bytes/s", CONFIG_DELTAS),
    unmeasured_row("CPU", "cores", CONFIG_DELTAS),
    unmeasured_row("memory", "MB", CONFIG_DELTAS),
))

SERVICES = TablePlan("services", (
    RowPlan("state", "services", NO_MECHANISM, from_size=Factor("services", lambda target: target.services),
            missing_mechanism=SUBSETS),
    unmeasured_row("messages/s", "calls/s", SUBSETS),
    unmeasured_row("bytes/s", "bytes/s", SUBSETS),
    unmeasured_row("CPU", "cores", SUBSETS),
    unmeasured_row("memory", "MB", SUBSETS),
))

TENANTS = TablePlan("tenants", (
    RowPlan("state", "customers", NO_MECHANISM,
            from_size=Factor("customers", lambda target: target.customers), missing_mechanism=CONFIG_DELTAS),
    unmeasured_row("messages/s", "calls/s", CONFIG_DELTAS),
    unmeasured_row("bytes/s", "bytes/s", CONFIG_DELTAS),
    unmeasured_row("CPU", "cores", CONFIG_DELTAS),
    unmeasured_row("memory", "MB", CONFIG_DELTAS),
))

REGIONS = TablePlan("regions", (
    RowPlan("state", "shares of quota", NO_MECHANISM, missing_mechanism=REGION_QUOTA, from_size=Factor(
        "customers x regions", lambda target: target.customers * target.regions)),
    unmeasured_row("messages/s", "calls/s", REGION_QUOTA),
    unmeasured_row("bytes/s", "bytes/s", REGION_QUOTA),
    unmeasured_row("CPU", "cores", REGION_QUOTA),
    unmeasured_row("memory", "MB", REGION_QUOTA),
))

ROLE_TABLES = (
    GATEWAY,
    list_service_table("leader", "leader", SINGLE_LEADER),
    list_service_table("follower", "follower", READ_REPLICA),
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


def change_propagation_rows(formula: str, changes: Factor) -> tuple[RowPlan, ...]:
    """The cost of sending these list changes to all gateways, one message per change and gateway."""
    return (
        RowPlan("messages", "changes told", DELTAS, from_size=Factor(
            f"{formula} x gateways", lambda target: changes.calculate(target) * target.gateways)),
        RowPlan("bytes", "bytes", DELTAS, (Term("change_bytes", ("backends",), Factor(
            f"{formula} x gateways", lambda target: changes.calculate(target) * target.gateways)),)),
        RowPlan("seconds until the last gateway knows", "s", DELTAS, (Term(
            "news_longest_ms", ("gateways",), MS_TO_SECONDS),),
            budget=PROPAGATION_SECONDS, missing_mechanism=FAN_OUT),
    )


def full_list_row(formula: str, gateways: Factor) -> RowPlan:
    """The bytes of sending a full list to each of these gateways."""
    return RowPlan("bytes", "bytes", FULL_STATE,
                   (Term("whole_list_bytes", ("backends",), Factor(formula, gateways.calculate)),),
                   missing_mechanism=JITTERED_START)


def mass_restart_rows(formula: str, share: float) -> tuple[RowPlan, ...]:
    """The cost of restarting this share of the gateways at the same time."""
    restarted = Factor(formula, lambda target: share * target.gateways)
    fixed_values = {"restarted": share}
    return (
        RowPlan("messages", "calls for the list", FULL_STATE,
                (Term("restart_list_calls_fleet", ("restarted",), GATEWAYS, fixed_values=fixed_values,
                      divide_by_gateways=True),),
                missing_mechanism=JITTERED_START),
        full_list_row(formula, restarted),
        RowPlan("bytes at a gateway, fleet as played", "bytes", FULL_STATE,
                (Term("restart_bytes_per_gateway", ("restarted",), fixed_values=fixed_values),)),
        RowPlan("seconds until all are told", "s", FULL_STATE,
                (Term("restart_all_told_s", ("restarted", "gateways"), fixed_values=fixed_values),),
                budget=PROPAGATION_SECONDS, missing_mechanism=JITTERED_START),
        RowPlan("seconds until all are told, fleet as played", "s", FULL_STATE,
                (Term("restart_all_told_s", ("restarted",), fixed_values=fixed_values),),
                budget=PROPAGATION_SECONDS, missing_mechanism=JITTERED_START),
    )


ONE_CHANGE = Factor("1 change", lambda target: 1.0)
RACK_CHANGES = Factor("machines of a rack", lambda target: float(coming.RACK_MACHINES))
ZONE_BACKENDS = Factor("backends of a zone", lambda target: target.backends / target.zones)
RESTART_CHANGES = Factor("list writes/s", lambda target: target.list_writes_per_second)
REGION_GATEWAYS = Factor("gateways of a region", lambda target: target.gateways / target.regions)
MISSED_CHANGES = Factor("list writes/s x 3,600 s",
                        lambda target: target.list_writes_per_second * coming.REGION_OUTAGE_SECONDS)
FAILURE_FREQUENCY = f"{format_number(TARGET_SIZE.failures_per_day)} machines on an ordinary day"
RESTART_FREQUENCY = f"{format_number(TARGET_SIZE.restarts_per_day)} machines a day"
ZONE_SHARE = 1 / TARGET_SIZE.zones

FAILURES = (
    FailurePlan("one backend fails", FAILURE_FREQUENCY, change_propagation_rows("1 change", ONE_CHANGE)),
    FailurePlan("ordinary restarts and replacements, each second", RESTART_FREQUENCY, (
        RowPlan("messages", "changes told/s", DELTAS, from_size=Factor(
            "list writes/s x gateways", lambda target: target.list_writes_per_second * target.gateways)),
        RowPlan("bytes for changes", "bytes/s", DELTAS, (Term("change_bytes", ("backends",), Factor(
            "list writes/s x gateways", lambda target: target.list_writes_per_second * target.gateways)),)),
        RowPlan("bytes for whole lists", "bytes/s", FULL_STATE, (Term(
            "whole_list_bytes", ("backends",), Factor(
                "gateway restarts a day / 86,400 s",
                lambda target: target.gateway_restarts_per_day / coming.SECONDS_PER_DAY)),)),
        RowPlan("seconds until the last gateway knows", "s", DELTAS, (Term(
            "news_longest_ms", ("gateways",), MS_TO_SECONDS),)),
    )),
    FailurePlan(f"a rack or switch with {coming.RACK_MACHINES} backends", "every week",
                change_propagation_rows("machines of a rack", RACK_CHANGES)),
    FailurePlan("a zone: its backends", "once or twice a year",
                change_propagation_rows("backends of a zone", ZONE_BACKENDS)),
    FailurePlan("a zone: all its gateways return together", "once or twice a year",
                mass_restart_rows("gateways of a zone", ZONE_SHARE)),
    FailurePlan("all gateways return together", "not named by the operators",
                mass_restart_rows("gateways", 1.0)),
    FailurePlan("a region is apart for an hour", "now and then", (
        RowPlan("messages", "changes missed", FULL_STATE, from_size=MISSED_CHANGES,
                missing_mechanism=REGION_QUOTA),
        full_list_row("gateways of a region, one whole list each", REGION_GATEWAYS),
        unmeasured_row("seconds until all are told", "s", REGION_QUOTA, PROPAGATION_SECONDS),
    )),
)
