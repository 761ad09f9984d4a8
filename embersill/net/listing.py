"""Types and parsing of the backend lists that discovery sends as JSON."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from math import isfinite
from typing import Any

from embersill.interface import Backend, ListKind, BackendStatus
from embersill.settings import BACKEND_STATUSES

log = logging.getLogger("embersill")


class InvalidList(Exception):
    """The response is not a list that the protocol allows."""


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Entry:
    """One backend of a list and the address on which it listens."""

    backend: Backend
    address: Address


@dataclass(frozen=True, slots=True)
class Listing:
    """A full list, or the changes since an earlier generation."""

    kind: ListKind
    generation: int
    entries: tuple[Entry, ...]

    @property
    def is_full(self) -> bool:
        """True where the list names all backends: those that it leaves out are removed."""
        return self.kind is not ListKind.CHANGES


def read_address(text: str) -> Address:
    """Parses HOST:PORT; an IPv6 host may stand in brackets. ValueError where it is not an address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def read_addresses(raw: Any) -> tuple[Address, ...]:
    """Parses one address, or several in a list or separated by commas; the first is preferred.

    ValueError where there is no address or one of them is malformed.
    """
    texts = raw.split(",") if isinstance(raw, str) else list(raw)
    if not texts:
        raise ValueError("no address")
    return tuple(dict.fromkeys(read_address(text.strip()) for text in texts))


def value_or_default(entry: dict[str, Any], key: str, absent: Any) -> Any:
    """The entry's value for `key`, or `absent` where it is missing or null."""
    value = entry.get(key)
    return absent if value is None else value


def read_entry(entry: dict[str, Any]) -> Entry:
    """Parses one entry of `instances`. KeyError, TypeError or ValueError where it is malformed."""
    started = float(entry.get("startedAtMs") or 0.0) / 1000.0
    # unknown: gets no requests
    status = BACKEND_STATUSES.get(str(entry["lifecycle"]), BackendStatus.DRAINING)
    rating = float(value_or_default(entry, "weight", 1.0))
    if not (isfinite(started) and isfinite(rating)):
        raise ValueError(f"not finite: {entry['instanceId']} has weight {rating} and start time {started}")
    backend = Backend(
        address=str(entry["instanceId"]), zone=str(value_or_default(entry, "zone", "")),
        machine_type=str(value_or_default(entry, "machineType", "")),
        cell=int(value_or_default(entry, "cell", 0)), status=status,
        rating=rating, started_at=started or None,
    )
    host_port = entry.get("hostPort")
    # a backend that is not serving gets no new connections, so its address may be missing
    without_address = status is not BackendStatus.SERVING and not host_port
    return Entry(backend, ("", 0) if without_address else read_address(str(host_port)))


def read_listing(loaded: Any, kind: ListKind | None = None) -> Listing:
    """Converts a list that was loaded from JSON; `kind` overrides what its `reset` field says.

    InvalidList where it is malformed. Entries with an unknown lifecycle count as draining.
    """
    try:
        entries = tuple(read_entry(e) for e in loaded["instances"])
        unknown = [
            str(e["instanceId"]) for e in loaded["instances"] if e["lifecycle"] not in BACKEND_STATUSES]
        if unknown:
            log.warning(
                "%d entries in an unknown state are set aside: %s", len(unknown), " ".join(unknown[:5]))
        list_kind = kind or (ListKind.FULL if loaded["reset"] else ListKind.CHANGES)
        return Listing(list_kind, int(loaded["generation"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidList(f"{type(error).__name__}: {error}") from error


def parse_listing(body: bytes) -> Listing:
    """Parses the body of a response; InvalidList where it is malformed."""
    try:
        return read_listing(json.loads(body))
    except (ValueError, RecursionError) as error:
        raise InvalidList(f"{type(error).__name__}: {error}") from error
