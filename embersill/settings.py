"""Reads the settings object that both programs are given: the adapter by wire, the gateway in its file."""

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
    if not isinstance(source, dict) or key not in source:
        raise ValueError(f"settings: missing key {key}")
    return source[key]


def read_settings(env: dict[str, Any]) -> Settings:
    """The settings of an instance from its first message; ValueError names a key that is missing or wrong."""
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
        repeats = named(REPEAT_POLICIES, source, "semantics")
        keyed = repeats is RepeatPolicy.BY_KEY  # the group and the window of repeats say nothing of others
        deadline = seconds(source, "deadline")
        return RequestClass(
            name=require_key(source, "name"), repeat_policy=repeats,
            dedup_scope=named(DEDUP_SCOPES, source, "dedup_scope") if keyed else DedupScope.ALL,
            memory=seconds(source, "memory_span") if keyed else 0.0,
            aim=min(seconds(source, "aim"), deadline),  # nobody waits any longer
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
        may_hedge=bool(require_key(limits, "second_copies")), max_attempts=int(number(limits, "max_attempts")),
        max_retry_after=seconds(limits, "max_retry_after"),
        cold_from=number(rules, "cold_from"), warm_within=seconds(rules, "warm_within"),
        fall_multiple=number(rules, "fall_multiple"), overload_for=seconds(rules, "overload_for"),
        report_fields=tuple(require_key(require_key(env, "report"), "fields")), max_units=number(domain, "max_units"),
        post_paid=bool(require_key(domain, "post_paid")),
    )


DEFAULT_GRACE_MS = 1000.0  # for drains, where the rules name none: the protocol's own


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What the settings say of connections: the sockets need it, the decisions don't."""

    dial_timeout: float
    keepalive: float
    grace: float  # after a drain was told, in which sends must cease


def read_limits(env: dict[str, Any]) -> ConnectionLimits:
    limits = require_key(env, "limits")
    dial, keep = float(require_key(limits, "dial_timeout")), float(require_key(limits, "keepalive"))
    if dial <= 0 or keep <= 0:
        raise ValueError("settings: dial_timeout and keepalive must be above nought")
    grace = float(require_key(env, "rules").get("stop_sending_within", DEFAULT_GRACE_MS))
    return ConnectionLimits(dial / 1000.0, keep / 1000.0, grace / 1000.0)


# of each number in `pool`, the least and the most that makes sense; those of whole numbers are whole
POOL_RANGES: dict[str, tuple[float, float]] = {
    "margin": (0.0, 3600.0), "max_age": (0.0, 86_400.0), "opening": (1, 4096), "opening_each": (1, 4096)}


def read_pool(told: Any) -> PoolSettings:
    """The part `pool` of a gateway's configuration, all of it optional; ValueError names what is wrong."""
    if not isinstance(told, dict):
        raise ValueError("pool is no object")
    kinds = {f.name: type(f.default) for f in fields(PoolSettings)}
    for key, value in told.items():
        if key not in kinds:
            raise ValueError(f"pool: unknown key {key!r}; known are {', '.join(kinds)}")
        if kinds[key] is bool and not isinstance(value, bool):
            raise ValueError(f"pool: {key} is neither true nor false: {value!r}")
        if kinds[key] is not bool:
            least, most = POOL_RANGES[key]
            whole = "whole number" if kinds[key] is int else "number"
            number = isinstance(value, int if kinds[key] is int else int | float)
            if isinstance(value, bool) or not number or not least <= value <= most:
                raise ValueError(f"pool: {key} is no {whole} from {least:g} to {most:g}: {value!r}")
    return PoolSettings(**told)


# of each number in `aggregation`, the least and the most that makes sense
AGGREGATION_RANGES: dict[str, tuple[float, float]] = {
    "calls_per_second": (0.1, 100_000.0), "burst": (2.0, 100_000.0)}


def read_aggregation(told: Any) -> AggregationSettings | None:
    """The part `aggregation` of a gateway's configuration; ValueError names what is wrong."""
    if told is None:
        return None
    if not isinstance(told, dict):
        raise ValueError("aggregation is no object")
    known = [f.name for f in fields(AggregationSettings)]
    for key, value in told.items():
        if key not in known:
            raise ValueError(f"aggregation: unknown key {key!r}; known are {', '.join(known)}")
        if key == "directory" and not isinstance(value, str):
            raise ValueError(f"aggregation: directory is no text: {value!r}")
        if key in AGGREGATION_RANGES:
            least, most = AGGREGATION_RANGES[key]
            number = isinstance(value, int | float) and not isinstance(value, bool)
            if not number or not least <= value <= most:
                raise ValueError(f"aggregation: {key} is no number from {least:g} to {most:g}: {value!r}")
    return AggregationSettings(**told)


def validate_settings(settings: Settings) -> None:
    """ValueError with the name of a setting that makes no sense."""
    if settings.gateways < 1 or settings.max_attempts < 1:
        raise ValueError(f"settings: {'gateways' if settings.gateways < 1 else 'max_attempts'} is below 1")
    names = ("warm_within", "overload_for", "fall_multiple", "cold_from", "max_retry_after", "ask_every")
    sets: list[tuple[object, str, tuple[str, ...]]] = [(settings, "", names)]
    figures = ("rate", "burst", "ceiling_rate", "ceiling_depth", "concurrency")
    sets += [(plan, f" of plan {plan.name}", figures) for plan in settings.plans]
    sets += [(klass, f" of class {klass.name}", ("aim", "deadline", "memory")) for klass in settings.classes]
    for source, where, keys in sets:
        for name in keys:
            if getattr(source, name) < 0:
                raise ValueError(f"settings: {name}{where} is below nought")
