"""RESP2 encoding of the calls that an aggregator reads and writes, and of their replies."""

from __future__ import annotations

import re
from dataclasses import dataclass

import hiredis

from embersill.aggregator.messages import Busy, ForwardResult, ForwardStatus, Total, Unknown
from embersill.interface import Outcome
from embersill.net.counter import TOTAL_PATTERN, read_reply

MAX_NAME_BYTES = 64
MAX_AMOUNT = 1e9
MAX_LIFE_MS = 60_000
INTEGER_PATTERN = re.compile(rb"\d{1,15}")

STATUS_BY_OUTCOME = {
    Outcome.SERVED: ForwardStatus.ADDED,
    Outcome.REJECTED: ForwardStatus.BUSY,
    Outcome.ERROR: ForwardStatus.ERROR,
    Outcome.TIMED_OUT: ForwardStatus.UNKNOWN,
}

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
BUSY = b"-BUSY nothing added\r\n"
NULL_REPLY = b"$-1\r\n"  # no total: the amount may have been added


class MalformedCall(Exception):
    """The call is malformed and nothing was added; its text goes to the caller."""


@dataclass(frozen=True, slots=True)
class AddCall:
    """A parsed `CNT.ADD`."""

    name: bytes
    amount: float
    life: float  # seconds that the name exists if this call creates it


def parse_add(words: list[bytes]) -> AddCall:
    """Parses a `CNT.ADD` given as its words, the command first. Raises MalformedCall."""
    if len(words) != 4:
        raise MalformedCall("CNT.ADD takes a name, an amount and a life")
    _, name, amount, life_ms = words
    if not 1 <= len(name) <= MAX_NAME_BYTES:
        raise MalformedCall(f"a name has 1 to {MAX_NAME_BYTES} bytes")
    return AddCall(name, parse_amount(amount), parse_life(life_ms))


def parse_amount(text: bytes) -> float:
    """Parses an amount of at most MAX_AMOUNT either way. Raises MalformedCall."""
    if not TOTAL_PATTERN.fullmatch(text) or not abs(amount := float(text)) <= MAX_AMOUNT:
        raise MalformedCall("an amount is a decimal number of at most 1e9")
    return amount


def parse_life(text: bytes) -> float:
    """Parses a lifetime in ms into seconds, cut to the maximum. Raises MalformedCall."""
    if not INTEGER_PATTERN.fullmatch(text) or (life_ms := int(text)) < 1:
        raise MalformedCall("a life is a whole number of milliseconds from 1")
    return min(life_ms, MAX_LIFE_MS) / 1000.0


def encode_add(name: bytes, amount: float, life_ms: int) -> bytes:
    """Encodes a `CNT.ADD` to send upstream."""
    words = (b"CNT.ADD", name, b"%.9g" % amount, b"%d" % life_ms)
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # the stub accepts only one word
    return packed


def parse_result(reply: object) -> ForwardResult:
    """Interprets an upstream reply as the gateway's counter client does."""
    outcome, total = read_reply(reply)
    return ForwardResult(STATUS_BY_OUTCOME[outcome], total)


def encode_bulk_string(content: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(content), content)


def encode_error(message: str) -> bytes:
    """Encodes the error reply to a malformed call."""
    return b"-ERR %b\r\n" % message.encode()


def encode_reply(reply: Total | Busy | Unknown) -> bytes:
    """Encodes the reply to a `CNT.ADD`."""
    match reply:
        case Total():
            return encode_bulk_string(b"%.9g" % reply.value)
        case Busy():
            return BUSY
        case Unknown():
            return NULL_REPLY
