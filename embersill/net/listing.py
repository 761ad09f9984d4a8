"""Lists of backends in discovery's form: their types, and how their texts are read."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from math import isfinite
from typing import Any

from embersill.interface import Backend, ListKind, BackendStatus
from embersill.settings import STATUSES

log = logging.getLogger("embersill")


class InvalidList(Exception):
    """A list that the protocol does not allow, or no list at all."""


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Entry:
    backend: Backend
    address: Address


@dataclass(frozen=True, slots=True)
class Listing:
    kind: ListKind
    generation: int
    entries: tuple[Entry, ...]

    @property
    def is_full(self) -> bool:
        return self.kind is not ListKind.CHANGES


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def read_addresses(told: Any) -> tuple[Address, ...]:
    """One address, or several in a list or divided by commas; the first is preferred."""
    texts = told.split(",") if isinstance(told, str) else list(told)
    if not texts:
        raise ValueError("no address")
    return tuple(dict.fromkeys(read_address(text.strip()) for text in texts))


def value_or_default(entry: dict[str, Any], key: str, absent: Any) -> Any:
    """A value that may be left out, or told as null."""
    value = entry.get(key)
    return absent if value is None else value


def read_entry(entry: dict[str, Any]) -> Entry:
    started = float(entry.get("startedAtMs") or 0.0) / 1000.0
    status = STATUSES.get(str(entry["lifecycle"]), BackendStatus.DRAINING)  # unknown: no work
    rating = float(value_or_default(entry, "weight", 1.0))
    if not (isfinite(started) and isfinite(rating)):
        raise ValueError(f"no number: {entry['instanceId']} has weight {rating} and start {started}")
    backend = Backend(
        address=str(entry["instanceId"]), zone=str(value_or_default(entry, "zone", "")),
        machine_type=str(value_or_default(entry, "machineType", "")), cell=int(value_or_default(entry, "cell", 0)), status=status,
        rating=rating, started_at=started or None,
    )
    host_port = entry.get("hostPort")
    gone = status is not BackendStatus.SERVING and not host_port  # nothing is dialled there any more
    return Entry(backend, ("", 0) if gone else read_address(str(host_port)))


def read_listing(loaded: Any, kind: ListKind | None = None) -> Listing:
    """A list in discovery's form; BadList says what is wrong with it."""
    try:
        entries = tuple(read_entry(e) for e in loaded["instances"])
        odd = [str(e["instanceId"]) for e in loaded["instances"] if e["lifecycle"] not in STATUSES]
        if odd:
            log.warning("%d entries in an unknown state are set aside: %s", len(odd), " ".join(odd[:5]))
        told = kind or (ListKind.FULL if loaded["reset"] else ListKind.CHANGES)
        return Listing(told, int(loaded["generation"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidList(f"{type(error).__name__}: {error}") from error


def parse_listing(body: bytes) -> Listing:
    """What discovery answered; BadList says what is wrong with it."""
    try:
        return read_listing(json.loads(body))
    except (ValueError, RecursionError) as error:
        raise InvalidList(f"{type(error).__name__}: {error}") from error
