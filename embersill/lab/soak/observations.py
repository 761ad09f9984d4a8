"""Records of what the peers of a soak observe. All times are seconds of the monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf


class AttemptEnd(Enum):
    """How an attempt ended, as seen by its backend."""

    OPEN = "open"
    ANSWERED = "answered"
    REJECTED = "rejected"  # with X-Rejected: it did not run
    CLOSED = "closed by the gateway"
    BROKEN = "broken by the backend"


@dataclass(slots=True, eq=False)
class Attempt:
    """One request as a backend received it."""

    gateway: int
    backend: str
    first_byte_at: float
    received_at: float  # in full
    budget: float  # seconds, from X-Budget
    end: AttemptEnd = AttemptEnd.OPEN
    ended_at: float = inf
    descriptor: int = -1  # of its connection, while the attempt is open


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request and its answer as the client saw them."""

    call_id: str
    gateway: int
    customer: str
    plan: str
    repeats: str  # "repeatable", "by_key" or "once"
    budget: float
    written_at: float = inf  # when its last byte was written
    disconnected_at: float = inf  # when the client closed the connection
    answered_at: float = inf
    status: int = 0
    complete: bool = False  # the answer was received in full, with the expected body
    closed_at: float = inf  # when the gateway closed without a complete answer
    killed: bool = False  # the gateway was killed meanwhile, or had ended
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule."""

    rule: str
    call_id: str  # of the request; empty if it concerns none
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail} (request {self.call_id or '-'})"
