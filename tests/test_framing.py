"""Message framing: forms of the framing fields, and heads that are split between reads."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from embersill.net.framing import BadFraming, Framing, HeadNormalizer, UnknownCoding, read_framing

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "lengths",
    [[b"5"], [b"  5 "], [b"\t5\t"], [b"0005"], [b"5", b"5"], [b"5, 5"], [b"5,\t05", b" 5"]],
)
def test_valid_lengths_are_accepted(lengths: list[bytes]) -> None:
    assert read_framing(lengths, []) == Framing(length=5)


@pytest.mark.parametrize(
    "lengths",
    [[b""], [b" "], [b"+5"], [b"-5"], [b"0x5"], [b"5 5"], [b"5", b"6"], [b"5, 6"], [b"5,"], [b"1" * 19]],
)
def test_malformed_or_differing_lengths_are_rejected(lengths: list[bytes]) -> None:
    with pytest.raises(BadFraming):
        read_framing(lengths, [])


@pytest.mark.parametrize("coding", [b"chunked", b" Chunked\t", b"\tCHUNKED "])
def test_chunked_is_case_insensitive(coding: bytes) -> None:
    assert read_framing([], [coding]) == Framing(chunked=True)


@pytest.mark.parametrize(
    "codings", [[b"gzip"], [b"identity"], [b"gzip, chunked"], [b"chunked", b"chunked"], [b"x-chunked"], [b""]]
)
def test_other_codings_are_rejected(codings: list[bytes]) -> None:
    with pytest.raises(UnknownCoding):
        read_framing([], codings)


def test_a_length_together_with_a_coding_is_rejected() -> None:
    with pytest.raises(BadFraming):
        read_framing([b"5"], [b"chunked"])


HEADS = {
    b"Content-Length:   5\t\r\nX-A: b\r\n\r\n": b"Content-Length: 5\r\nX-A: b\r\n\r\n",
    b"content-length: 5\r\nContent-Length: 5\r\n\r\n": b"Content-Length: 5\r\n\r\n",
    b"Content-Length: 5, 5\r\n\r\n": b"Content-Length: 5\r\n\r\n",
    b"Transfer-Encoding:\tchunked\t\r\n\r\n": b"Transfer-Encoding: chunked\r\n\r\n",
    b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n": b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
    b"Content-Length: +5\r\n\r\n": b"Content-Length: +5\r\n\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n\r\n": b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    b"Content-Length: 5\nX-A: b\r\n\r\n": b"Content-Length: 5\nX-A: b\r\n\r\n",
    b"Transfer-Encoding: chunked\n\r\n": b"Transfer-Encoding: chunked\n\r\n",
    b"Content-Type: a\r\n\r\n": b"Content-Type: a\r\n\r\n",
    b"\r\n": b"\r\n",
}


@given(st.sampled_from(sorted(HEADS)), st.binary(max_size=20), st.lists(st.integers(0, 90)))
def test_normalization_does_not_depend_on_the_split(fields: bytes, body: bytes, cuts: list[int]) -> None:
    text = STATUS_LINE + fields + body
    normalizer, normalized, after_head = HeadNormalizer(), b"", b""
    positions = sorted({0, len(text), *(cut for cut in cuts if cut < len(text))})
    for start, end in zip(positions, positions[1:], strict=False):
        piece = text[start:end]
        if normalizer.complete:
            after_head += piece
            continue
        head, rest = normalizer.feed(piece)
        normalized, after_head = normalized + head, after_head + rest
    assert normalizer.complete
    assert after_head == body
    assert normalized == STATUS_LINE + HEADS[fields]


def test_only_lines_that_may_be_framing_fields_are_held_back() -> None:
    normalizer = HeadNormalizer()
    assert normalizer.feed(b"HTTP/1.1 2") == (b"HTTP/1.1 2", b"")
    assert normalizer.feed(b"00 OK\r\nX") == (b"00 OK\r\nX", b"")
    assert normalizer.feed(b"-A: b\r\ncont") == (b"-A: b\r\n", b"")
    assert normalizer.feed(b"ext: c\r\n") == (b"context: c\r\n", b"")
    assert normalizer.feed(b"content-length: 1") == (b"", b"")
    assert normalizer.feed(b"2 \r\n\r\nbody") == (b"Content-Length: 12\r\n\r\n", b"body")


def test_blank_lines_before_a_head_are_not_its_end() -> None:
    normalizer = HeadNormalizer()
    assert normalizer.feed(b"\r\n\r\n") == (b"\r\n\r\n", b"")
    assert not normalizer.complete
    assert normalizer.feed(b"GET / HTTP/1.1\r\n\r\nGET") == (b"GET / HTTP/1.1\r\n\r\n", b"GET")
    assert normalizer.complete
