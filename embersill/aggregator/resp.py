"""RESP2 texts: the calls an aggregator reads and writes, and their answers."""

from __future__ import annotations

import re
from dataclasses import dataclass

import hiredis

from embersill.aggregator.messages import Busy, ForwardResult, ForwardStatus, Total, Unknown
from embersill.interface import Outcome
from embersill.net.counter import TOTAL_PATTERN, read_reply

LONGEST_NAME = 64  # bytes
MOST_AMOUNT = 1e9
LONGEST_LIFE_MS = 60_000
WHOLE_NUMBER = re.compile(rb"\d{1,15}")

STATUSES = {
    Outcome.SERVED: ForwardStatus.ADDED,
    Outcome.REJECTED: ForwardStatus.BUSY,
    Outcome.ERROR: ForwardStatus.ERROR,
    Outcome.TIMED_OUT: ForwardStatus.UNKNOWN,
}

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
BUSY = b"-BUSY nothing added\r\n"
WITHOUT_NUMBER = b"$-1\r\n"  # it may have been added


class CallError(Exception):
    """A call that is malformed; nothing is added."""


@dataclass(frozen=True, slots=True)
class AddCall:
    """A `CNT.ADD` that was read."""

    name: bytes
    amount: float
    life: float  # seconds


def read_add(words: list[bytes]) -> AddCall:
    """The call in these words, of which the first is its command; CallError where it is malformed."""
    if len(words) != 4:
        raise CallError("CNT.ADD takes a name, an amount and a life")
    _, name, amount, life_ms = words
    if not 1 <= len(name) <= LONGEST_NAME:
        raise CallError(f"a name has 1 to {LONGEST_NAME} bytes")
    return AddCall(name, read_amount(amount), read_life(life_ms))


def read_amount(text: bytes) -> float:
    if not TOTAL_PATTERN.fullmatch(text) or not abs(amount := float(text)) <= MOST_AMOUNT:
        raise CallError("an amount is a decimal number of at most 1e9")
    return amount


def read_life(text: bytes) -> float:
    if not WHOLE_NUMBER.fullmatch(text) or (life_ms := int(text)) < 1:
        raise CallError("a life is a whole number of milliseconds from 1")
    return min(life_ms, LONGEST_LIFE_MS) / 1000.0


def add_text(name: bytes, amount: float, life_ms: int) -> bytes:
    """A `CNT.ADD` to be written upstream."""
    words = (b"CNT.ADD", name, b"%.9g" % amount, b"%d" % life_ms)
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # its stub takes one word only
    return packed


def read_result(reply: object) -> ForwardResult:
    """What an upstream reply says of its call: the same as it says to a gateway's client."""
    outcome, total = read_reply(reply)
    return ForwardResult(STATUSES[outcome], total)


def bulk_text(content: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(content), content)


def error_text(why: str) -> bytes:
    """An error of the caller's."""
    return b"-ERR %b\r\n" % why.encode()


def reply_text(reply: Total | Busy | Unknown) -> bytes:
    """The answer to a `CNT.ADD`."""
    match reply:
        case Total():
            return bulk_text(b"%.9g" % reply.value)
        case Busy():
            return BUSY
        case Unknown():
            return WITHOUT_NUMBER
