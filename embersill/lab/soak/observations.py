"""What the peers of a soak see, as typed records. All times are seconds of the monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf


class AttemptEnd(Enum):
    """How an attempt ended, as its backend knows it."""

    OPEN = "open"
    ANSWERED = "answered"
    REJECTED = "rejected"  # with the promise that it did not run
    CLOSED = "closed by the gateway"
    BROKEN = "broken by the backend"


@dataclass(slots=True, eq=False)
class Attempt:
    """One request as it came to a backend."""

    gateway: int
    backend: str
    first_byte_at: float
    received_at: float
    budget: float  # seconds, as X-Budget told
    end: AttemptEnd = AttemptEnd.OPEN
    ended_at: float = inf
    descriptor: int = -1  # of its connection, while that is open


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request as its client made it."""

    call_id: str
    gateway: int
    customer: str
    plan: str
    repeats: str  # "repeatable", "by_key" or "once"
    budget: float
    written_at: float = inf  # its last byte was written
    disconnected_at: float = inf  # its client closed
    answered_at: float = inf
    status: int = 0
    complete: bool = False  # the answer came whole
    closed_at: float = inf  # the gateway closed with no whole answer
    killed: bool = False  # its gateway was killed meanwhile, or had ended
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: str
    call_id: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail} (request {self.call_id or '-'})"
