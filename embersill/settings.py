"""Reads and checks the settings object of the simulator's wire and of the gateway's configuration file."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from embersill.interface import (
    AggregationSettings, BackendStatus, DedupScope, Plan, PoolSettings, RepeatPolicy, RequestClass, Settings,
)

REPEAT_POLICIES = {"repeatable": RepeatPolicy.SAFE, "by_key": RepeatPolicy.BY_KEY, "once": RepeatPolicy.ONCE}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
BACKEND_STATUSES = {
    "SERVING": BackendStatus.SERVING, "DRAINING": BackendStatus.DRAINING, "DELETED": BackendStatus.REMOVED}


def require_key(source: dict[str, Any], key: str) -> Any:
    """The value of a key; ValueError if it is missing or `source` is not an object."""
    if not isinstance(source, dict) or key not in source:
        raise ValueError(f"settings: missing key {key}")
    return source[key]


def read_settings(env: dict[str, Any]) -> Settings:
    """Converts the settings object of a gateway; its durations are in milliseconds.

    ValueError names a key that is missing or has a wrong value.
    """
    limits, rules, domain = require_key(env, "limits"), require_key(env, "rules"), require_key(env, "domain")

    def number(source: dict[str, Any], key: str) -> float:
        value = require_key(source, key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"settings: {key} is not a number")
        return float(value)

    def seconds(source: dict[str, Any], key: str) -> float:
        return number(source, key) / 1000.0

    def named(table: dict[str, Any], source: dict[str, Any], key: str) -> Any:
        value = require_key(source, key)
        if value not in table:
            raise ValueError(f"settings: {key} has an unknown value {value!r}")
        return table[value]

    def request_class(source: dict[str, Any]) -> RequestClass:
        policy = named(REPEAT_POLICIES, source, "semantics")
        keyed = policy is RepeatPolicy.BY_KEY  # in other classes scope and memory have no meaning
        deadline = seconds(source, "deadline")
        return RequestClass(
            name=require_key(source, "name"), repeat_policy=policy,
            dedup_scope=named(DEDUP_SCOPES, source, "dedup_scope") if keyed else DedupScope.ALL,
            memory=seconds(source, "memory_span") if keyed else 0.0,
            aim=min(seconds(source, "aim"), deadline),  # no request waits beyond its deadline
            deadline=deadline, late_worth_share=number(source, "late_share"), worth=number(source, "credit"),
            stream=bool(require_key(source, "stream")),
        )

    classes = tuple(request_class(c) for c in require_key(env, "services"))
    plans = tuple(
        Plan(
            name=require_key(p, "name"), rate=number(p, "units_per_s"), burst=number(p, "peak_units"),
            concurrency=int(number(p, "concurrency")), ceiling_rate=number(p, "hard_rate"),
            ceiling_depth=number(p, "cap_depth"), worth_factor=number(p, "value_factor"),
            over_quota_worth=number(p, "extra_worth"), over_quota_cost=number(p, "overrun_cost"),
        )
        for p in require_key(env, "packages")
    )
    counter = bool(require_key(domain, "counter"))
    return Settings(
        gateway_index=int(number(env, "me")), gateways=int(number(env, "balancers")),
        classes=classes, plans=plans,
        zone=require_key(env, "zone"), list_pushed=require_key(env, "membership_mode") == "pushed",
        ask_every=seconds(rules, "ask_every"), counter=counter,
        counter_timeout=seconds(domain, "count_limit") if counter else 0.0,
        counter_call_cost=number(domain, "count_fee") if counter else 0.0,
        may_cancel=bool(require_key(limits, "cancel")), may_probe=bool(require_key(limits, "may_probe")),
        may_hedge=bool(require_key(limits, "second_copies")),
        max_attempts=int(number(limits, "max_attempts")),
        max_retry_after=seconds(limits, "max_retry_after"),
        cold_from=number(rules, "cold_from"), warm_within=seconds(rules, "warm_within"),
        fall_multiple=number(rules, "fall_multiple"), overload_for=seconds(rules, "overload_for"),
        report_fields=tuple(require_key(require_key(env, "report"), "fields")),
        max_units=number(domain, "max_units"), post_paid=bool(require_key(domain, "post_paid")),
    )


DEFAULT_GRACE_MS = 1000.0  # grace of a drain if the settings have none, as the protocol defines it


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of connections, in seconds. They are used by the network code, not by the decisions."""

    dial_timeout: float
    keepalive: float
    grace: float  # after the start of a backend's drain, in which requests may still be sent to it


def read_limits(env: dict[str, Any]) -> ConnectionLimits:
    """Connection limits of the settings object; ValueError if a key is missing or a duration 0 or less."""
    limits = require_key(env, "limits")
    dial, keepalive = float(require_key(limits, "dial_timeout")), float(require_key(limits, "keepalive"))
    if dial <= 0 or keepalive <= 0:
        raise ValueError("settings: dial_timeout and keepalive must be above 0")
    grace = float(require_key(env, "rules").get("stop_sending_within", DEFAULT_GRACE_MS))
    return ConnectionLimits(dial / 1000.0, keepalive / 1000.0, grace / 1000.0)


# minimum and maximum of each number in `pool`
POOL_RANGES: dict[str, tuple[float, float]] = {
    "margin": (0.0, 3600.0), "max_age": (0.0, 86_400.0), "opening": (1, 4096), "opening_each": (1, 4096)}


def read_pool(options: Any) -> PoolSettings:
    """Section `pool` of a gateway's configuration; each key is optional. ValueError names a wrong one."""
    if not isinstance(options, dict):
        raise ValueError("pool is no object")
    types = {f.name: type(f.default) for f in fields(PoolSettings)}
    for key, value in options.items():
        if key not in types:
            raise ValueError(f"pool: unknown key {key!r}; known are {', '.join(types)}")
        if types[key] is bool and not isinstance(value, bool):
            raise ValueError(f"pool: {key} is neither true nor false: {value!r}")
        if types[key] is not bool:
            minimum, maximum = POOL_RANGES[key]
            type_name = "whole number" if types[key] is int else "number"
            is_number = isinstance(value, int if types[key] is int else int | float)
            if isinstance(value, bool) or not is_number or not minimum <= value <= maximum:
                raise ValueError(f"pool: {key} is no {type_name} from {minimum:g} to {maximum:g}: {value!r}")
    return PoolSettings(**options)


# minimum and maximum of each number in `aggregation`
AGGREGATION_RANGES: dict[str, tuple[float, float]] = {
    "calls_per_second": (0.1, 100_000.0), "burst": (2.0, 100_000.0)}


def read_aggregation(options: Any) -> AggregationSettings | None:
    """Section `aggregation` of a gateway's configuration; None if absent. ValueError names a wrong key."""
    if options is None:
        return None
    if not isinstance(options, dict):
        raise ValueError("aggregation is no object")
    known = [f.name for f in fields(AggregationSettings)]
    for key, value in options.items():
        if key not in known:
            raise ValueError(f"aggregation: unknown key {key!r}; known are {', '.join(known)}")
        if key == "directory" and not isinstance(value, str):
            raise ValueError(f"aggregation: directory is no text: {value!r}")
        if key in AGGREGATION_RANGES:
            minimum, maximum = AGGREGATION_RANGES[key]
            is_number = isinstance(value, int | float) and not isinstance(value, bool)
            if not is_number or not minimum <= value <= maximum:
                raise ValueError(
                    f"aggregation: {key} is no number from {minimum:g} to {maximum:g}: {value!r}")
    return AggregationSettings(**options)


def validate_settings(settings: Settings) -> None:
    """Raises a ValueError that names a setting out of its range."""
    if settings.gateways < 1 or settings.max_attempts < 1:
        raise ValueError(f"settings: {'gateways' if settings.gateways < 1 else 'max_attempts'} is below 1")
    names = ("warm_within", "overload_for", "fall_multiple", "cold_from", "max_retry_after", "ask_every")
    checks: list[tuple[object, str, tuple[str, ...]]] = [(settings, "", names)]
    plan_names = ("rate", "burst", "ceiling_rate", "ceiling_depth", "concurrency")
    checks += [(plan, f" of plan {plan.name}", plan_names) for plan in settings.plans]
    checks += [(each, f" of class {each.name}", ("aim", "deadline", "memory")) for each in settings.classes]
    for source, suffix, keys in checks:
        for name in keys:
            if getattr(source, name) < 0:
                raise ValueError(f"settings: {name}{suffix} is below 0")
