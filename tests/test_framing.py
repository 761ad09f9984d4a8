"""The framing of a message by itself: its fields' spellings, and heads that come in pieces."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from embersill.net.framing import BadFraming, Framing, HeadNormalizer, UnknownCoding, read_framing

FIRST = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "lengths",
    [[b"5"], [b"  5 "], [b"\t5\t"], [b"0005"], [b"5", b"5"], [b"5, 5"], [b"5,\t05", b" 5"]],
)
def test_valid_lengths_are_one_length(lengths: list[bytes]) -> None:
    assert read_framing(lengths, []) == Framing(length=5)


@pytest.mark.parametrize(
    "lengths",
    [[b""], [b" "], [b"+5"], [b"-5"], [b"0x5"], [b"5 5"], [b"5", b"6"], [b"5, 6"], [b"5,"], [b"1" * 19]],
)
def test_malformed_or_differing_lengths_are_refused(lengths: list[bytes]) -> None:
    with pytest.raises(BadFraming):
        read_framing(lengths, [])


@pytest.mark.parametrize("coding", [b"chunked", b" Chunked\t", b"\tCHUNKED "])
def test_chunked_is_read_in_any_case(coding: bytes) -> None:
    assert read_framing([], [coding]) == Framing(chunked=True)


@pytest.mark.parametrize(
    "codings", [[b"gzip"], [b"identity"], [b"gzip, chunked"], [b"chunked", b"chunked"], [b"x-chunked"], [b""]]
)
def test_another_coding_is_never_taken_for_none(codings: list[bytes]) -> None:
    with pytest.raises(UnknownCoding):
        read_framing([], codings)


def test_both_a_length_and_a_coding_are_refused() -> None:
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
def test_a_head_is_rewritten_alike_in_any_pieces(fields: bytes, body: bytes, cuts: list[int]) -> None:
    text = FIRST + fields + body
    normalizer, seen, behind = HeadNormalizer(), b"", b""
    places = sorted({0, len(text), *(cut for cut in cuts if cut < len(text))})
    for begin, end in zip(places, places[1:], strict=False):
        piece = text[begin:end]
        if normalizer.complete:
            behind += piece
            continue
        head, rest = normalizer.feed(piece)
        seen, behind = seen + head, behind + rest
    assert normalizer.complete
    assert behind == body
    assert seen == FIRST + HEADS[fields]


def test_only_a_line_that_may_frame_the_body_is_held_back() -> None:
    normalizer = HeadNormalizer()
    assert normalizer.feed(b"HTTP/1.1 2") == (b"HTTP/1.1 2", b"")
    assert normalizer.feed(b"00 OK\r\nX") == (b"00 OK\r\nX", b"")
    assert normalizer.feed(b"-A: b\r\ncont") == (b"-A: b\r\n", b"")
    assert normalizer.feed(b"ext: c\r\n") == (b"context: c\r\n", b"")
    assert normalizer.feed(b"content-length: 1") == (b"", b"")
    assert normalizer.feed(b"2 \r\n\r\nbody") == (b"Content-Length: 12\r\n\r\n", b"body")


def test_blank_lines_before_a_head_belong_to_none() -> None:
    normalizer = HeadNormalizer()
    assert normalizer.feed(b"\r\n\r\n") == (b"\r\n\r\n", b"")
    assert not normalizer.complete
    assert normalizer.feed(b"GET / HTTP/1.1\r\n\r\nGET") == (b"GET / HTTP/1.1\r\n\r\n", b"GET")
    assert normalizer.complete
