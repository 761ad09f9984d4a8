"""Message framing of HTTP/1.1 (RFC 9112, section 6), shared by the code for clients, backends and discovery.

Two steps share the work. `HeadNormalizer` rewrites the framing fields of a head, before the parser sees them,
into a form that all parsers interpret the same way; it changes valid fields only, so the parser still rejects
malformed ones. `read_framing` then determines how the body is delimited, or raises BadFraming.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from embersill.net.bodies import ByteBuffer

OPTIONAL_WHITE_SPACE = b" \t"  # OWS of RFC 9110, section 5.6.3
MAX_LENGTH_DIGITS = 18  # of a Content-Length: more could exceed a signed 64-bit integer, as peers use
CHUNKED = b"chunked"
HEAD_END = b"\r\n\r\n"
LENGTH_FIELD, CODING_FIELD = b"content-length:", b"transfer-encoding:"
FIELDS = (LENGTH_FIELD, CODING_FIELD)
FRAMING_FIELD = re.compile(rb"\n(?:content-length|transfer-encoding):([^\n]*)", re.IGNORECASE)
PLAIN_VALUE = re.compile(rb" *(?:[0-9]{1,18}|chunked) *\r", re.IGNORECASE)


class BadFraming(Exception):
    """The end of a message's body cannot be determined from its head."""


class UnknownCoding(BadFraming):
    """The transfer coding is something other than just `chunked`."""


@dataclass(frozen=True, slots=True)
class Framing:
    """How a body is delimited: by its length or by chunks.

    With neither, an answer's body ends with the connection, and a request has no body.
    """

    length: int | None = None  # bytes
    chunked: bool = False


def split_list(values: Sequence[bytes]) -> list[bytes]:
    """The members of a comma-separated list over all lines of a field, including empty members."""
    return [member.strip(OPTIONAL_WHITE_SPACE) for value in values for member in value.split(b",")]


def read_length(values: Sequence[bytes]) -> int:
    """The length in bytes that all lines of Content-Length agree on; raises BadFraming if there is none."""
    members = split_list(values)
    if not all(member.isdigit() and len(member) <= MAX_LENGTH_DIGITS for member in members):
        raise BadFraming("the Content-Length is malformed")
    lengths = {int(member) for member in members}
    if len(lengths) != 1:
        raise BadFraming("there are different Content-Lengths")
    return lengths.pop()


def read_framing(lengths: Sequence[bytes], codings: Sequence[bytes]) -> Framing:
    """The framing by the values of Content-Length and Transfer-Encoding; raises BadFraming if invalid."""
    if codings and lengths:
        raise BadFraming("there are both a Content-Length and a Transfer-Encoding")
    if codings:
        if [coding.lower() for coding in split_list(codings)] != [CHUNKED]:
            raise UnknownCoding("the transfer coding is not chunked alone")
        return Framing(chunked=True)
    return Framing(length=read_length(lengths)) if lengths else Framing()


class FramingFields:
    """Collects the framing fields of one head from a parser's callbacks.

    The lines of a field are kept as one list of values, each with a comma behind it.
    """

    __slots__ = ("codings", "lengths")

    def __init__(self) -> None:
        self.lengths, self.codings = ByteBuffer(), ByteBuffer()

    def add(self, name: bytes, value: bytes) -> None:
        """Adds a header field if it concerns framing; `name` is in lower case."""
        if name == b"content-length":
            self.lengths.add(value + b",")
        elif name == b"transfer-encoding":
            self.codings.add(value + b",")

    def read(self) -> Framing:
        """The framing of the message; raises BadFraming."""
        lengths, codings = self.lengths.take(), self.codings.take()
        return read_framing([lengths[:-1]] if lengths else [], [codings[:-1]] if codings else [])


class HeadNormalizer:
    """Rewrites the framing fields of one head, which may be split anywhere between calls.

    Repeated equal lengths become one, and white space around values is removed. A line is held back only
    while it may be a framing field, so that the parser sees any other error in a head at once.
    """

    __slots__ = ("at_line_start", "held", "length", "started", "complete")

    def __init__(self) -> None:
        self.held = b""  # the start of a line that may be a framing field
        self.at_line_start = True
        self.started = False  # the first line has started
        self.length: int | None = None
        self.complete = False  # the blank line after the head was received

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the normalized head data for the parser, and the data after the head."""
        if not self.started and data[:1] not in (b"\r", b"\n"):
            end = data.find(HEAD_END) + len(HEAD_END)
            if end >= len(HEAD_END) and is_unambiguous(data[:end]):
                self.complete = True
                return data[:end], data[end:]
        return self.feed_lines(data)

    def feed_lines(self, data: bytes) -> tuple[bytes, bytes]:
        """As feed(), for a head that is incomplete or needs changes."""
        text: list[bytes] = []
        data = self.held + data
        self.held = b""
        while data and not self.complete:
            line, line_end, data = data.partition(b"\n")
            line += line_end
            if not line_end and self.must_hold(line):
                self.held = line
            else:
                text.append(self.normalize_line(line) if line_end and self.at_line_start else line)
                self.end_line(line, bool(line_end))
        return b"".join(text), data

    def end_line(self, line: bytes, ended: bool) -> None:
        """Updates the state after a line, or after a part of one (`ended` is False)."""
        blank = self.at_line_start and line.strip(b"\r\n") == b""
        self.complete = blank and ended and self.started
        self.started = self.started or not blank  # blank lines before the first line are not part of the head
        self.at_line_start = ended

    def must_hold(self, line: bytes) -> bool:
        """True if an incomplete line may still become the blank line after the head or a framing field."""
        if not self.at_line_start:
            return False
        start = line.lower()
        may_be_framing = any(start.startswith(field) or field.startswith(start) for field in FIELDS)
        return line == b"\r" or self.started and may_be_framing

    def normalize_line(self, line: bytes) -> bytes:
        """A complete line in normalized form; unchanged if it is not a framing field, or a malformed one."""
        name, colon, value = line.partition(b":")
        field = name.lower() + colon
        if not line.endswith(b"\r\n"):
            return line  # the parser rejects it
        if field == CODING_FIELD and value.rstrip(b"\r\n").strip(OPTIONAL_WHITE_SPACE).lower() == CHUNKED:
            return b"Transfer-Encoding: chunked\r\n"
        if field != LENGTH_FIELD:
            return line
        try:
            length = read_length([value.rstrip(b"\r\n")])
        except BadFraming:
            return line
        if length == self.length:
            return b""
        self.length = length if self.length is None else self.length
        return b"Content-Length: %d\r\n" % length


class AnswerFeeder:
    """Feeds a parser the bytes of an answer; normalizes its head and those of interim answers."""

    __slots__ = ("feed_parser", "head")

    def __init__(self, feed_parser: Callable[[bytes], None]) -> None:
        self.feed_parser = feed_parser
        self.head: HeadNormalizer | None = HeadNormalizer()

    def start(self) -> None:
        """Prepares for the next answer on the connection."""
        self.head = HeadNormalizer()

    def feed(self, data: bytes, is_head_due: Callable[[], bool]) -> None:
        """Calls `is_head_due` after each complete head; it returns True after an interim answer's."""
        while data and self.head is not None:
            text, data = self.head.feed(data)
            self.feed_parser(text)
            if self.head.complete:
                self.head = HeadNormalizer() if is_head_due() else None
        if data:
            self.feed_parser(data)


def blank_line_end(before: bytes, data: bytes) -> int:
    """Bytes of `data` up to the end of its first blank line, or all; up to three bytes `before` it count."""
    index = (before + data).find(HEAD_END)
    return len(data) if index < 0 else index + len(HEAD_END) - len(before)


def is_unambiguous(head: bytes) -> bool:
    """True for a head with at most one framing field, in a form that all parsers interpret the same way."""
    values: list[bytes] = FRAMING_FIELD.findall(head)
    return not values or len(values) == 1 and PLAIN_VALUE.fullmatch(values[0]) is not None
