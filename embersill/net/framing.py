"""Message framing of HTTP/1.1 (RFC 9112, section 6), read in one place for clients, backends and discovery.

Two steps share the work. `HeadNormalizer` rewrites the framing fields of a head, before the parser sees them,
into the one spelling that every parser reads alike; it changes valid fields only, so the parser still refuses
what is malformed. `read_framing` then tells how the body is delimited, or why that can't be told.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

OPTIONAL_WHITE_SPACE = b" \t"  # OWS of RFC 9110, section 5.6.3
MAX_LENGTH_DIGITS = 18  # of a Content-Length: more would pass the signed 64 bits that peers count in
CHUNKED = b"chunked"
HEAD_END = b"\r\n\r\n"
LENGTH_FIELD, CODING_FIELD = b"content-length:", b"transfer-encoding:"
FIELDS = (LENGTH_FIELD, CODING_FIELD)
FRAMING_FIELD = re.compile(rb"\n(?:content-length|transfer-encoding):([^\n]*)", re.IGNORECASE)
PLAIN_VALUE = re.compile(rb" *(?:[0-9]{1,18}|chunked) *\r", re.IGNORECASE)


class BadFraming(Exception):
    """The end of a message's body can't be told from its head."""


class UnknownCoding(BadFraming):
    """The body has a transfer coding other than chunked alone."""


@dataclass(frozen=True, slots=True)
class Framing:
    """How a body is delimited; by the connection's end (answers) or absent (requests) if by neither."""

    length: int | None = None  # bytes
    chunked: bool = False


def split_list(values: Sequence[bytes]) -> list[bytes]:
    """The members of a field's comma-separated list over all of its lines, empty ones included."""
    return [member.strip(OPTIONAL_WHITE_SPACE) for value in values for member in value.split(b",")]


def read_length(values: Sequence[bytes]) -> int:
    """The one length that all lines of Content-Length agree on, in bytes."""
    members = split_list(values)
    if not all(member.isdigit() and len(member) <= MAX_LENGTH_DIGITS for member in members):
        raise BadFraming("the Content-Length is malformed")
    lengths = {int(member) for member in members}
    if len(lengths) != 1:
        raise BadFraming("there are different Content-Lengths")
    return lengths.pop()


def read_framing(lengths: Sequence[bytes], codings: Sequence[bytes]) -> Framing:
    """The framing that the values of Content-Length and Transfer-Encoding tell; BadFraming if none."""
    if codings and lengths:
        raise BadFraming("there are both a Content-Length and a Transfer-Encoding")
    if codings:
        if [coding.lower() for coding in split_list(codings)] != [CHUNKED]:
            raise UnknownCoding("the transfer coding is not chunked alone")
        return Framing(chunked=True)
    return Framing(length=read_length(lengths)) if lengths else Framing()


class FramingFields:
    """Collects the framing fields of one head as a parser tells them."""

    __slots__ = ("codings", "lengths")

    def __init__(self) -> None:
        self.lengths: list[bytes] = []
        self.codings: list[bytes] = []

    def add(self, name: bytes, value: bytes) -> None:
        """Takes in a field; `name` is in lower case."""
        if name == b"content-length":
            self.lengths.append(value)
        elif name == b"transfer-encoding":
            self.codings.append(value)

    def read(self) -> Framing:
        return read_framing(self.lengths, self.codings)


class HeadNormalizer:
    """Rewrites the framing fields of one head; the bytes of a head may come in any pieces.

    Equal repeated lengths become one, and white space around values goes. A line is held back only while it
    may be a framing field, so that whatever else is wrong with a head is seen at once.
    """

    __slots__ = ("at_line_start", "held", "length", "started", "complete")

    def __init__(self) -> None:
        self.held = b""  # the begin of a line that may be a framing field
        self.at_line_start = True
        self.started = False  # the first line has begun
        self.length: int | None = None
        self.complete = False  # the head's last line has come

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """What the parser is to read of the head, and what follows the head."""
        if not self.started and data[:1] not in (b"\r", b"\n"):
            end = data.find(HEAD_END) + len(HEAD_END)
            if end >= len(HEAD_END) and is_unambiguous(data[:end]):
                self.complete = True
                return data[:end], data[end:]
        return self.feed_lines(data)

    def feed_lines(self, data: bytes) -> tuple[bytes, bytes]:
        text: list[bytes] = []
        data = self.held + data
        self.held = b""
        while data and not self.complete:
            line, ended, data = data.partition(b"\n")
            line += ended
            if not ended and self.must_hold(line):
                self.held = line
            else:
                text.append(self.normalize_line(line) if ended and self.at_line_start else line)
                self.end_line(line, bool(ended))
        return b"".join(text), data

    def end_line(self, line: bytes, ended: bool) -> None:
        blank = self.at_line_start and line.strip(b"\r\n") == b""
        self.complete = blank and ended and self.started
        self.started = self.started or not blank  # blank lines before the first one belong to no head
        self.at_line_start = ended

    def must_hold(self, line: bytes) -> bool:
        """True for the begin of a line that could still become the head's last or a framing field."""
        if not self.at_line_start:
            return False
        begin = line.lower()
        framing = any(begin.startswith(field) or field.startswith(begin) for field in FIELDS)
        return line == b"\r" or self.started and framing

    def normalize_line(self, line: bytes) -> bytes:
        """A line in the parser's spelling; unchanged where it is no framing field, or a malformed one."""
        name, colon, value = line.partition(b":")
        field = name.lower() + colon
        if not line.endswith(b"\r\n"):
            return line  # the parser refuses it
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
    """Feeds a parser the bytes of one answer, normalizing its head and those of interim answers."""

    __slots__ = ("feed_parser", "head")

    def __init__(self, feed_parser: Callable[[bytes], None]) -> None:
        self.feed_parser = feed_parser
        self.head: HeadNormalizer | None = HeadNormalizer()

    def start(self) -> None:
        """The next bytes are those of another answer."""
        self.head = HeadNormalizer()

    def feed(self, data: bytes, is_head_due: Callable[[], bool]) -> None:
        """`is_head_due`: asked after each whole head, true if it was an interim answer's."""
        while data and self.head is not None:
            text, data = self.head.feed(data)
            self.feed_parser(text)
            if self.head.complete:
                self.head = HeadNormalizer() if is_head_due() else None
        if data:
            self.feed_parser(data)


def blank_line_end(before: bytes, piece: bytes) -> int:
    """Bytes of a piece up to its first blank line's end, or all; `before`: up to three bytes ahead of it."""
    found = (before + piece).find(HEAD_END)
    return len(piece) if found < 0 else found + len(HEAD_END) - len(before)


def is_unambiguous(head: bytes) -> bool:
    """True for a head whose framing fields, if any, every parser reads alike."""
    values: list[bytes] = FRAMING_FIELD.findall(head)
    return not values or len(values) == 1 and PLAIN_VALUE.fullmatch(values[0]) is not None
