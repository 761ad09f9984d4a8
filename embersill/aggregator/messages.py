"""Messages between the aggregation state and the server and upstream client around it."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class BusyReason(enum.Enum):
    """Why a call was rejected and nothing added."""

    CUT_OFF = "cut_off"  # upstream has not answered within the lease
    TABLE_FULL = "table_full"  # every entry holds an amount that is not forwarded yet, so none can be evicted
    TOO_MANY_WAITING = "too_many_waiting"
    WAIT_ENDED = "wait_ended"  # the name's first total did not arrive in time
    NAME_EXPIRED = "name_expired"  # the name's lifetime ended before its amount was forwarded
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Total:
    """The amount was added; `value` is the name's total."""

    value: float


@dataclass(frozen=True, slots=True)
class Wait:
    """The name's total is not known yet; an `Answer` with this ticket follows."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Busy:
    """Nothing was added."""

    reason: BusyReason


@dataclass(frozen=True, slots=True)
class Unknown:
    """The amount may have been added, or may still be added."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The reply to a call for which `Wait` was returned."""

    ticket: int
    reply: Total | Busy | Unknown


@dataclass(frozen=True, slots=True)
class Forward:
    """A call to make upstream."""

    number: int
    name: bytes
    amount: float
    life_ms: int  # remaining lifetime of the name
    sent_at: float  # seconds


class ForwardStatus(enum.Enum):
    """How a forward ended."""

    ADDED = "added"
    BUSY = "busy"  # rejected: nothing added
    ERROR = "error"  # rejected as malformed: nothing added
    NO_CONNECTION = "no_connection"  # never written: nothing added
    UNKNOWN = "unknown"  # timed out or connection lost after it was written: may have been or still be added


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """The result of a forward; `total` is valid only with status ADDED."""

    status: ForwardStatus
    total: float = 0.0
