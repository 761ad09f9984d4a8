"""The typed messages between the aggregation's state and the sockets around it."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class BusyReason(enum.Enum):
    """Why a call was turned away with nothing added."""

    CUT_OFF = "cut_off"  # the lease on upstream readings has run out
    TABLE_FULL = "table_full"  # every entry holds an amount that is not forwarded yet
    TOO_MANY_WAITING = "too_many_waiting"
    WAIT_ENDED = "wait_ended"  # the name's first total did not come in time
    NAME_EXPIRED = "name_expired"  # the name's life ended before its first forward
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Total:
    """The amount was added; the name's total."""

    value: float


@dataclass(frozen=True, slots=True)
class Wait:
    """The name's total is not known yet: an `Answer` with this ticket follows."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Busy:
    """Nothing was added."""

    reason: BusyReason


@dataclass(frozen=True, slots=True)
class Unknown:
    """The amount may have been added, or may yet be."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The late answer to a call that was told to wait."""

    ticket: int
    reply: Total | Busy | Unknown


@dataclass(frozen=True, slots=True)
class Forward:
    """A call to be made upstream."""

    number: int
    name: bytes
    amount: float
    life_ms: int
    sent_at: float  # seconds


class ForwardStatus(enum.Enum):
    """How a forward ended."""

    ADDED = "added"
    BUSY = "busy"  # turned away: nothing added
    ERROR = "error"  # refused as malformed: nothing added
    NO_CONNECTION = "no_connection"  # never written: nothing added
    UNKNOWN = "unknown"  # timed out or broken after it was written: may have been added, or may yet be


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """The end of a forward; `total` counts only where it was added."""

    status: ForwardStatus
    total: float = 0.0
