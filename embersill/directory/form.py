"""The forms of what is told and written: entries, drains and records, and the checks of what comes in."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
NAME_PATTERN = re.compile(
    r"[A-Za-z0-9._:@-]{1,128}"
)  # of an instance or a process: goes in a path and a log line
HOST_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?|\[[0-9A-Fa-f:.]{2,45}\]")
LABEL_PATTERN = re.compile(r"[ -~]{0,64}")  # a zone or a kind: shown, compared, never dialled
REMARK_PATTERN = re.compile(r"[^\x00-\x1f\x7f]{0,200}")  # who drains and why, in their own words
MIN_LEASE_MS, MAX_LEASE_MS = (
    1_000,
    600_000,
)  # below, one late packet ends it; above, the dead are listed on
DEFAULT_LEASE_MS = 10_000  # where a registration does not say: three renewals, and one of them may be lost
MAX_CELL = 2**31
MAX_WEIGHT = 1e6
MAX_CLOCK_SKEW_MS = 5_000  # that a start may lie in the future: one clock serves all machines, nearly
MAX_TIME_MS = 2**53  # a later time is no whole number for every reader


class InvalidFormat(Exception):
    """What is wrong with something that was sent."""


@dataclass(frozen=True, slots=True)
class Entry:
    """An instance as it registered; `process` names the one that holds the lease."""

    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: str
    weight: float
    started_ms: int
    process: str
    lease_ms: int
    former_processes: tuple[
        str, ...
    ] = ()  # processes that this one replaced: what they still send comes too late


@dataclass(frozen=True, slots=True)
class Drain:
    """Set by staff, and kept until staff lift it."""

    by: str
    reason: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class Record:
    """A change: the whole state of one id from this generation on; with no id, a leader's start."""

    generation: int
    id: str
    entry: Entry | None
    drain: Drain | None


@dataclass(frozen=True, slots=True)
class Registration:
    """What a process says of itself."""

    entry: Entry
    start_time_given: bool  # or the service says when it started


def entry_to_json(id: str, entry: Entry | None, drain: Drain | None) -> dict[str, Any]:
    """An entry in discovery's form."""
    if entry is None:
        return {"instanceId": id, "lifecycle": DELETED}
    return {
        "instanceId": id,
        "hostPort": entry.host_port,
        "zone": entry.zone,
        "machineType": entry.machine_type,
        "cell": entry.cell,
        "lifecycle": DRAINING if drain else entry.lifecycle,
        "weight": entry.weight,
        "startedAtMs": entry.started_ms,
    }


def record_to_json(record: Record) -> list[Any]:
    entry, drain = record.entry, record.drain
    return [
        record.generation,
        record.id,
        entry
        and [
            entry.host_port,
            entry.zone,
            entry.machine_type,
            entry.cell,
            entry.lifecycle,
            entry.weight,
            entry.started_ms,
            entry.process,
            entry.lease_ms,
            list(entry.former_processes),
        ],
        drain and [drain.by, drain.reason, drain.at_ms],
    ]


def record_from_json(loaded: Any) -> Record:
    """The other way; BadForm where it is no record, as from a leader of another make."""
    try:
        generation, id, entry, drain = loaded
        made = replace(Entry(*entry[:-1]), former_processes=tuple(entry[-1])) if entry else None
        if not isinstance(generation, int) or not isinstance(id, str):
            raise InvalidFormat("a record without a number or an id")
        return Record(generation, id, made, Drain(*drain) if drain else None)
    except (TypeError, ValueError, IndexError) as error:
        raise InvalidFormat(f"no record: {error}") from error


def read_json(body: bytes) -> dict[str, Any]:
    try:
        loaded = json.loads(body.decode(), parse_constant=reject_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidFormat(f"the body is no JSON: {error}") from error
    if not isinstance(loaded, dict):
        raise InvalidFormat("the body is no JSON object")
    return loaded


def reject_constant(text: str) -> None:
    raise InvalidFormat(f"{text} is no number")


def reject_unknown_fields(body: Mapping[str, Any], *fields: str) -> None:
    for name in body:
        if name not in fields:
            raise InvalidFormat(f"unknown field {name[:64]!r}; the fields are {', '.join(fields)}")


def read_text(body: Mapping[str, Any], name: str, form: re.Pattern[str], default: str | None = None) -> str:
    value = body.get(name, default)
    if value is None:
        raise InvalidFormat(f"{name} is missing")
    if not isinstance(value, str) or not form.fullmatch(value):
        raise InvalidFormat(f"{name} is out of form")
    return value


def read_integer(
    body: Mapping[str, Any], name: str, least: int, most: int, default: int | None = None
) -> int:
    value = body.get(name, default)
    if value is None:
        raise InvalidFormat(f"{name} is missing")
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise InvalidFormat(f"{name} is no whole number from {least} to {most}")
    return int(value)


def read_choice(body: Mapping[str, Any], name: str, among: Iterable[str], default: str | None = None) -> str:
    value = body.get(name, default)
    if value not in (names := list(among)):
        raise InvalidFormat(f"{name} is none of {', '.join(names)}")
    return str(value)


def read_name(name: str, what: str) -> str:
    if not NAME_PATTERN.fullmatch(name):
        raise InvalidFormat(f"{what} is out of form")
    return name


def read_host_port(body: Mapping[str, Any]) -> str:
    value = body.get("hostPort")
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    digits = port.isascii() and port.isdecimal() and len(port) <= 5
    if not HOST_PATTERN.fullmatch(host) or not digits or not 0 < int(port) < 65536:
        raise InvalidFormat("hostPort is no host:port")
    return f"{host}:{int(port)}"


def read_weight(body: Mapping[str, Any]) -> float:
    value = body.get("weight", 1.0)
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or not 0 <= value <= MAX_WEIGHT:
        raise InvalidFormat(f"weight is no number from 0 to {MAX_WEIGHT:.0f}")
    return float(value)


def read_registration(body: Mapping[str, Any], now_ms: int) -> Registration:
    reject_unknown_fields(
        body,
        "hostPort",
        "zone",
        "machineType",
        "cell",
        "lifecycle",
        "weight",
        "startedAtMs",
        "process",
        "leaseMs",
    )
    started = body.get("startedAtMs")
    if started is not None:
        started = read_integer(body, "startedAtMs", 0, MAX_TIME_MS)
        if started > now_ms + MAX_CLOCK_SKEW_MS:
            raise InvalidFormat("startedAtMs lies in the future")
    entry = Entry(
        host_port=read_host_port(body),
        zone=read_text(body, "zone", LABEL_PATTERN, ""),
        machine_type=read_text(body, "machineType", LABEL_PATTERN, ""),
        cell=read_integer(body, "cell", 0, MAX_CELL, 0),
        lifecycle=read_choice(body, "lifecycle", (SERVING, DRAINING), SERVING),
        weight=read_weight(body),
        started_ms=now_ms if started is None else started,
        process=read_text(body, "process", NAME_PATTERN),
        lease_ms=read_integer(body, "leaseMs", MIN_LEASE_MS, MAX_LEASE_MS, DEFAULT_LEASE_MS),
    )
    return Registration(entry, started is not None)
