"""Entries, drains and records, their JSON forms, and the validation of request bodies."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
NAME_PATTERN = re.compile(r"[A-Za-z0-9._:@-]{1,128}")  # instance or process: part of paths and log lines
HOST_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?|\[[0-9A-Fa-f:.]{2,45}\]")
LABEL_PATTERN = re.compile(r"[ -~]{0,64}")  # zone or machine type: shown and compared, never connected to
REMARK_PATTERN = re.compile(r"[^\x00-\x1f\x7f]{0,200}")  # who drains an instance and why: free text
# A shorter lease expires with one late packet; with a longer one a dead instance stays listed too long.
MIN_LEASE_MS, MAX_LEASE_MS = 1_000, 600_000
DEFAULT_LEASE_MS = 10_000  # time for three renewals, one of which may be lost
MAX_CELL = 2**31
MAX_WEIGHT = 1e6
MAX_CLOCK_SKEW_MS = 5_000  # a start time may be this far in the future: clocks are nearly in step
MAX_TIME_MS = 2**53  # a larger integer is not exact in every JSON reader


class InvalidFormat(Exception):
    """A request body, query, header or stored record is invalid; the message says why."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A registered instance; `process` is the process that holds its lease."""

    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: str
    weight: float
    started_ms: int
    process: str
    lease_ms: int
    former_processes: tuple[str, ...] = ()  # those that this process replaced: their writes are refused


@dataclass(frozen=True, slots=True)
class Drain:
    """A drain by an operator, in force until an operator lifts it."""

    by: str
    reason: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class Record:
    """A change: the full state of one instance from this generation; with an empty id, a leader's start."""

    generation: int
    id: str
    entry: Entry | None
    drain: Drain | None


@dataclass(frozen=True, slots=True)
class Registration:
    """A registration request, checked."""

    entry: Entry
    start_time_given: bool  # otherwise the service set the entry's start time


def entry_to_json(id: str, entry: Entry | None, drain: Drain | None) -> dict[str, Any]:
    """An entry as gateways read it; without an entry, the form of a deleted instance."""
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
    """A record as it is stored and replicated."""
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
    """The inverse of record_to_json; raises InvalidFormat for anything else, as another version may send."""
    try:
        generation, id, entry, drain = loaded
        made = replace(Entry(*entry[:-1]), former_processes=tuple(entry[-1])) if entry else None
        if not isinstance(generation, int) or not isinstance(id, str):
            raise InvalidFormat("a record without a generation or an id")
        return Record(generation, id, made, Drain(*drain) if drain else None)
    except (TypeError, ValueError, IndexError) as error:
        raise InvalidFormat(f"not a record: {error}") from error


def read_json(body: bytes) -> dict[str, Any]:
    """The JSON object that is the body, or InvalidFormat."""
    try:
        loaded = json.loads(body.decode(), parse_constant=reject_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidFormat(f"the body is no JSON: {error}") from error
    if not isinstance(loaded, dict):
        raise InvalidFormat("the body is no JSON object")
    return loaded


def reject_constant(text: str) -> None:
    """Rejects NaN and the infinities, which Python's JSON parser would accept."""
    raise InvalidFormat(f"{text} is no number")


def reject_unknown_fields(body: Mapping[str, Any], *fields: str) -> None:
    """Raises InvalidFormat if the body has any other field than these."""
    for name in body:
        if name not in fields:
            raise InvalidFormat(f"unknown field {name[:64]!r}; the fields are {', '.join(fields)}")


def read_text(
    body: Mapping[str, Any], name: str, pattern: re.Pattern[str], default: str | None = None
) -> str:
    """The field's text, which matches the pattern; without a default the field is required."""
    value = body.get(name, default)
    if value is None:
        raise InvalidFormat(f"{name} is missing")
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise InvalidFormat(f"{name} is out of form")
    return value


def read_integer(body: Mapping[str, Any], name: str, low: int, high: int, default: int | None = None) -> int:
    """The field's integer, from low to high; without a default the field is required."""
    value = body.get(name, default)
    if value is None:
        raise InvalidFormat(f"{name} is missing")
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise InvalidFormat(f"{name} is no whole number from {low} to {high}")
    return int(value)


def read_choice(
    body: Mapping[str, Any], name: str, allowed: Iterable[str], default: str | None = None
) -> str:
    """The field's text, which is one of the allowed; without a default the field is required."""
    value = body.get(name, default)
    if value not in (names := list(allowed)):
        raise InvalidFormat(f"{name} is none of {', '.join(names)}")
    return str(value)


def read_name(name: str, what: str) -> str:
    """Checks the name of an instance or a process; `what` names it in the error."""
    if not NAME_PATTERN.fullmatch(name):
        raise InvalidFormat(f"{what} is out of form")
    return name


def read_host_port(body: Mapping[str, Any]) -> str:
    """The field hostPort, with the port in canonical decimal form."""
    value = body.get("hostPort")
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    digits = port.isascii() and port.isdecimal() and len(port) <= 5
    if not HOST_PATTERN.fullmatch(host) or not digits or not 0 < int(port) < 65536:
        raise InvalidFormat("hostPort is no host:port")
    return f"{host}:{int(port)}"


def read_weight(body: Mapping[str, Any]) -> float:
    """The field weight, 1.0 if absent."""
    value = body.get("weight", 1.0)
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or not 0 <= value <= MAX_WEIGHT:
        raise InvalidFormat(f"weight is no number from 0 to {MAX_WEIGHT:.0f}")
    return float(value)


def read_registration(body: Mapping[str, Any], now_ms: int) -> Registration:
    """Checks the body of a registration, or raises InvalidFormat that names the field."""
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
