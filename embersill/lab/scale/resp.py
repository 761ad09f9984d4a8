"""The published form of the counter's calls and replies (RESP2), and the rules that its names live by."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable
from dataclasses import dataclass

MAX_LIFE_SECONDS = 60.0
MAX_NAME_BYTES = 64
MAX_AMOUNT = 1e9
MAX_QUEUED_CALLS = 50  # calls waiting at a part of the counter, beyond which a call is turned away
REMOVE_EXPIRED_EVERY = 4096  # calls between clearings of names that have ended
BUSY = b"-BUSY the part has no room\r\n"
PONG, OK = b"+PONG\r\n", b"+OK\r\n"


class InvalidCall(Exception):
    """Why a call is answered by -ERR."""


@dataclass(slots=True)
class NamedTotal:
    """A name's total, and the time at which the name ends."""

    total: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class AddCall:
    """CNT.ADD NAME AMOUNT LIFE_MS."""

    name: str
    amount: float
    life_seconds: float


def read_add_call(words: list[bytes]) -> AddCall:
    """BadCall says what is wrong with it."""
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
    text = b"%.7g" % total
    return b"$%d\r\n%s\r\n" % (len(text), text)


class CounterModel:
    """Names, and the capacity of each part: a part serves one call after the other.

    `calls_per_second` of nought is a part without limit, which answers at once.
    """

    def __init__(self, clock: Callable[[], float], parts: int, calls_per_second: float) -> None:
        self.clock, self.calls_per_second = clock, calls_per_second
        self.part_free_at = [clock()] * parts
        self.names: dict[str, NamedTotal] = {}
        self.calls = self.rejected_calls = 0

    def reserve(self, name: str) -> float | None:
        """The time at which a call for this name is served; None where its part turns it away."""
        now = self.clock()
        self.calls += 1
        if self.calls_per_second <= 0:
            return now
        part = zlib.crc32(name.encode()) % len(self.part_free_at)
        begins = max(now, self.part_free_at[part])
        if (begins - now) * self.calls_per_second > MAX_QUEUED_CALLS:
            self.rejected_calls += 1
            return None
        self.part_free_at[part] = begins + 1.0 / self.calls_per_second
        return self.part_free_at[part]

    def add(self, call: AddCall) -> float:
        """The new total. A name's life begins with its first call and is not extended by others."""
        now = self.clock()
        if self.calls % REMOVE_EXPIRED_EVERY == 0:
            self.remove_expired()
        kept = self.names.get(call.name)
        if kept is None or kept.expires_at <= now:
            kept = self.names[call.name] = NamedTotal(0.0, now + call.life_seconds)
        kept.total += call.amount
        return kept.total

    def clear(self) -> None:
        """As a restart of the counter would."""
        self.names.clear()

    def remove_expired(self) -> None:
        now = self.clock()
        self.names = {name: kept for name, kept in self.names.items() if kept.expires_at > now}
