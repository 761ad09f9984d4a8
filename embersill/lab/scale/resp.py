"""The published protocol of the counter (RESP2): its calls and replies, and a model of its names."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable
from dataclasses import dataclass

MAX_LIFE_SECONDS = 60.0  # of a name; longer lives are shortened to it
MAX_NAME_BYTES = 64
MAX_AMOUNT = 1e9
MAX_QUEUED_CALLS = 50  # calls waiting at a part of the counter; further calls are rejected
REMOVE_EXPIRED_EVERY = 4096  # calls
BUSY = b"-BUSY the part has no room\r\n"
PONG, OK = b"+PONG\r\n", b"+OK\r\n"


class InvalidCall(Exception):
    """A call is invalid; the message follows -ERR in the reply."""


@dataclass(slots=True)
class NamedTotal:
    """A name's total, and the time at which the name expires."""

    total: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class AddCall:
    """The call CNT.ADD NAME AMOUNT LIFE_MS."""

    name: str
    amount: float
    life_seconds: float


def read_add_call(words: list[bytes]) -> AddCall:
    """Reads a call from the words of its array. Raises InvalidCall."""
    if len(words) != 4 or words[0].upper() != b"CNT.ADD":
        raise InvalidCall("no such call")
    try:
        name, amount, life_ms = words[1].decode(), float(words[2]), int(words[3])
    except (UnicodeDecodeError, ValueError):
        raise InvalidCall("amount or life is no number, or the name no text") from None
    if not 1 <= len(words[1]) <= MAX_NAME_BYTES:
        raise InvalidCall(f"a name has 1 to {MAX_NAME_BYTES} bytes")
    if not math.isfinite(amount) or abs(amount) > MAX_AMOUNT:
        raise InvalidCall("the amount is out of range")
    if life_ms < 1:
        raise InvalidCall("a life is at least 1 ms")
    return AddCall(name, amount, min(life_ms / 1000.0, MAX_LIFE_SECONDS))


def bulk_total(total: float) -> bytes:
    """A total as a bulk string, with seven significant digits."""
    text = b"%.7g" % total
    return b"$%d\r\n%s\r\n" % (len(text), text)


class CounterModel:
    """The names with their totals, and the capacity of each part, which serves one call at a time.

    With `calls_per_second` 0, a part has no limit and answers immediately.
    """

    def __init__(self, clock: Callable[[], float], parts: int, calls_per_second: float) -> None:
        self.clock, self.calls_per_second = clock, calls_per_second
        self.part_free_at = [clock()] * parts
        self.names: dict[str, NamedTotal] = {}
        self.calls = self.rejected_calls = 0

    def reserve(self, name: str) -> float | None:
        """Queues a call for this name, and returns the time at which it is served; None: rejected."""
        now = self.clock()
        self.calls += 1
        if self.calls_per_second <= 0:
            return now
        part = zlib.crc32(name.encode()) % len(self.part_free_at)
        starts_at = max(now, self.part_free_at[part])
        if (starts_at - now) * self.calls_per_second > MAX_QUEUED_CALLS:
            self.rejected_calls += 1
            return None
        self.part_free_at[part] = starts_at + 1.0 / self.calls_per_second
        return self.part_free_at[part]

    def add(self, call: AddCall) -> float:
        """Adds to a name and returns its total. Its life starts with the first call and is not extended."""
        now = self.clock()
        if self.calls % REMOVE_EXPIRED_EVERY == 0:
            self.remove_expired()
        named = self.names.get(call.name)
        if named is None or named.expires_at <= now:
            named = self.names[call.name] = NamedTotal(0.0, now + call.life_seconds)
        named.total += call.amount
        return named.total

    def clear(self) -> None:
        """Drops all names, as a restart of the counter does."""
        self.names.clear()

    def remove_expired(self) -> None:
        """Drops the names whose life is over."""
        now = self.clock()
        self.names = {name: named for name, named in self.names.items() if named.expires_at > now}
