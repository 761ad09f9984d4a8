"""Random framings, splits and truncations: the gateway reads messages like a reference reader of RFC 9112."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass

import pytest
import uvloop
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from embersill.lab.peers import response_bytes
from tests.bed import Bed, request, running
from tests.framing_model import (
    AttemptRunner, Delivery, End, RawBackend, State, call_id, check_stream, read_answer, read_answers,
    read_request, running_attempts, split_at,
)
from tests.peers import SOON
from tests.test_framing_answers import DAMAGED_CHUNKS, replace_backend
from tests.test_framing_requests import LAST, SMUGGLED, chunked, send

EXAMPLES = 60
REQUEST_EXAMPLES = 200
TOGETHER = 10  # requested concurrently
# With `derandomize`, the source text of each check_drawn() seeds its examples: a rename there changes them.
bounded = settings(
    derandomize=True, max_examples=EXAMPLES, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)

WHITE_SPACE = st.text(" \t", max_size=3).map(str.encode)
ODD_VALUES = st.one_of(
    st.text("0123456789+-, \tx._;", max_size=8).map(str.encode),
    st.sampled_from([b"+5", b"-5", b"0x5", b"5 5", b"5, 6", b"1" + b"0" * 19, b"9" * 40, b"5\x0b", b""]),
)
CODINGS = st.sampled_from([
    b"gzip", b"identity", b"chunked, gzip", b"gzip, chunked", b"x-chunked", b"chunked, chunked", b"chunked,",
    b", chunked", b"chunked;a=b", b"", b"chunkedchunked",
])


@st.composite
def cased(draw: st.DrawFn, word: bytes) -> bytes:
    """The word with random case."""
    upper = draw(st.lists(st.booleans(), min_size=len(word), max_size=len(word)))
    return bytes(c ^ 0x20 if u and bytes([c]).isalpha() else c for c, u in zip(word, upper, strict=True))


@st.composite
def line(draw: st.DrawFn, name: bytes, value: bytes) -> bytes:
    """A header line with random case and white space."""
    return draw(cased(name)) + b":" + draw(WHITE_SPACE) + value + draw(WHITE_SPACE)


@st.composite
def length_lines(draw: st.DrawFn, length: int) -> list[bytes]:
    """Header lines with this length: once, in a list, or in several lines."""
    digits = b"0" * draw(st.sampled_from([0, 0, 0, 3])) + b"%d" % length
    lines = []
    for _ in range(draw(st.sampled_from([1, 1, 1, 2, 3]))):
        elements = [digits] * draw(st.sampled_from([1, 1, 1, 2]))
        value = (draw(WHITE_SPACE) + b"," + draw(WHITE_SPACE)).join(elements)
        lines.append(draw(line(b"Content-Length", value)))
    return lines


@st.composite
def chunks(draw: st.DrawFn, body: bytes) -> bytes:
    """The body in chunks of random sizes, with extensions and trailers."""
    text, rest = b"", body
    while rest:
        size = draw(st.integers(1, len(rest)))
        extension = draw(st.sampled_from([b"", b"", b";a=b", b';a="b c"', b";a"]))
        digits = draw(st.sampled_from([b"%x", b"%X", b"0%x"])) % size
        text, rest = text + digits + extension + b"\r\n" + rest[:size] + b"\r\n", rest[size:]
    trailer = draw(st.sampled_from([b"", b"", b"X-Sum: 1 \r\n", b"X-Rejected: 1\r\nX-Empty:\r\n"]))
    return text + draw(st.sampled_from([b"0", b"000", b"0;a=b"])) + b"\r\n" + trailer + b"\r\n"


@dataclass(frozen=True)
class Framed:
    """The framing lines of a message, and the bytes after its head."""

    lines: list[bytes]
    body: bytes


@st.composite
def framed(draw: st.DrawFn, body: bytes) -> Framed:
    """A body with valid framing mostly, or with one of several kinds of invalid framing."""
    rare = ["none", "wrong", "odd", "coding", "both", "damage"]
    kind = draw(st.sampled_from(["length"] * 6 + ["chunks"] * 4 + rare))
    if kind == "length":
        return Framed(draw(length_lines(len(body))), body)
    if kind == "chunks":
        return Framed([draw(line(b"Transfer-Encoding", draw(cased(b"chunked"))))], draw(chunks(body)))
    if kind == "none":
        return Framed([], body)
    if kind == "wrong":
        return Framed(draw(length_lines(max(0, len(body) + draw(st.integers(-3, 3))))), body)
    if kind == "odd":
        return Framed([draw(line(b"Content-Length", draw(ODD_VALUES)))], body)
    if kind == "coding":
        text = draw(st.sampled_from([body, chunked(body)]))
        return Framed([draw(line(b"Transfer-Encoding", draw(CODINGS)))], text)
    if kind == "damage":
        damaged = draw(st.sampled_from(sorted(DAMAGED_CHUNKS.values())))
        return Framed([draw(line(b"Transfer-Encoding", b"chunked"))], damaged)
    lines = [*draw(length_lines(len(body))), draw(line(b"Transfer-Encoding", b"chunked"))]
    return Framed(draw(st.permutations(lines)), draw(chunks(body)))


@st.composite
def connection_lines(draw: st.DrawFn) -> list[bytes]:
    """A Connection header, or none."""
    options = draw(st.sampled_from([None] * 5 + [b"close", b"keep-alive", b"keep-alive, close", b"x ,close"]))
    return [] if options is None else [draw(line(b"Connection", options))]


@st.composite
def places_in(draw: st.DrawFn, wire: bytes) -> list[int]:
    """Where to split the bytes: nowhere, at some positions, or at each byte."""
    some = st.lists(st.integers(1, max(1, len(wire) - 1)), max_size=6)
    return draw(st.one_of(st.just([]), some, st.just(list(range(1, len(wire))))))


@st.composite
def answers(draw: st.DrawFn) -> Delivery:
    """What a backend sends for one request, and how it ends."""
    status = draw(st.sampled_from([200] * 6 + [503, 503, 500, 204]))
    if status == 204:  # has no body, whatever length its head has
        message_framing = Framed(draw(st.one_of(st.just([]), length_lines(5))), b"")
    else:
        message_framing = draw(framed(draw(st.binary(max_size=40))))
    others = draw(connection_lines())
    if draw(st.booleans()):
        others.append(draw(line(b"X-Rejected", draw(st.sampled_from([b"1", b"0", b"11"])))))
    lines = draw(st.permutations(others + message_framing.lines))
    wire = head(status, lines) + message_framing.body
    interims = [b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 X\r\nA: b \r\n\r\n"]
    wire = draw(st.sampled_from(interims)) + wire
    wire += draw(st.sampled_from([b"", b"", response_bytes(200, b"second"), b"H"]))
    if draw(st.booleans()):
        wire = wire[:draw(st.integers(0, len(wire)))]
    end = draw(st.sampled_from(list(End)))
    if end is End.OPEN and read_answer(wire, end).state is not State.COMPLETE:
        end = End.FIN  # otherwise the gateway would wait for the rest
    return split_at(wire, draw(places_in(wire)), end)


def head(status: int, lines: list[bytes]) -> bytes:
    """The head of an answer."""
    return b"\r\n".join([b"HTTP/1.1 %d X" % status, *lines, b"", b""])


@st.composite
def requests(draw: st.DrawFn, number: int) -> bytes:
    """A request with this call id and a random framing; some bodies look like requests themselves."""
    body = draw(st.one_of(st.binary(max_size=40), st.just(request(SMUGGLED))))
    message_framing = draw(framed(body))
    text = request(number, "extract", customer=f"{number:016x}", body=b"", drop="Content-Length")
    lines = draw(st.permutations(draw(connection_lines()) + message_framing.lines))
    return b"\r\n".join([text.removesuffix(b"\r\n\r\n"), *lines, b"", b""]) + message_framing.body


@st.composite
def streams(draw: st.DrawFn) -> bytes:
    """What a client sends on one connection."""
    return b"".join(draw(requests(number)) for number in range(1, 1 + draw(st.integers(1, 4))))


class Loop:
    """An event loop shared by many examples, with the contexts that are open in it."""

    def __init__(self, runner: asyncio.Runner, stack: AsyncExitStack) -> None:
        self.runner, self.stack = runner, stack


@contextmanager
def shared_loop() -> Iterator[Loop]:
    """Closes the contexts and the loop at the end."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        stack = AsyncExitStack()
        try:
            yield Loop(runner, stack)
        finally:
            runner.run(stack.aclose())


def test_random_answers_are_read_like_the_reference_reader(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("embersill.net.backends.REUSE_DELAY", 0.05)  # data after an answer arrives within it
    with shared_loop() as loop:
        asker: AttemptRunner = loop.runner.run(loop.stack.enter_async_context(running_attempts()))

        @bounded
        @given(st.lists(answers(), min_size=TOGETHER, max_size=TOGETHER))
        def check_drawn(deliveries: list[Delivery]) -> None:
            loop.runner.run(asker.ask_all(deliveries))

        check_drawn()


async def clear_arrivals(bed: Bed, backend: RawBackend) -> None:
    """Waits until the connections of earlier streams are closed, and forgets what they sent."""
    async with asyncio.timeout(SOON):
        while bed.program.front.connections:
            await asyncio.sleep(0.0005)
    backend.arrivals.clear()
    bed.forget_requests()


def test_random_requests_are_read_like_the_reference_reader() -> None:
    with shared_loop() as loop:
        bed: Bed = loop.runner.run(loop.stack.enter_async_context(running()))
        backend = loop.runner.run(replace_backend(bed))

        async def check_one(stream: bytes, positions: list[int]) -> None:
            await clear_arrivals(bed, backend)
            delivery = split_at(stream, positions).then(LAST)
            _, text = await send(bed, delivery)
            check_stream(delivery.wire, read_answers(text), backend.arrivals)

        @settings(bounded, max_examples=REQUEST_EXAMPLES)
        @given(st.data())
        def check_drawn(data: st.DataObject) -> None:
            stream = data.draw(streams())
            loop.runner.run(check_one(stream, data.draw(places_in(stream))))

        check_drawn()
        loop.runner.run(backend.stop())


def test_random_truncated_requests_are_not_forwarded() -> None:
    with shared_loop() as loop:
        bed: Bed = loop.runner.run(loop.stack.enter_async_context(running()))
        backend = loop.runner.run(replace_backend(bed))

        async def check_one(delivery: Delivery) -> None:
            await clear_arrivals(bed, backend)
            await send(bed, delivery)
            await wait_closed(bed)
            complete_requests, rest = {}, delivery.wire
            while rest and (sent := read_request(rest)).state is State.COMPLETE:
                complete_requests[call_id(sent)] = sent.body
                rest = sent.rest
            for number, arrivals in backend.arrivals.items():
                assert [a.body for a in arrivals] == [complete_requests.get(number)], delivery

        @settings(bounded, max_examples=REQUEST_EXAMPLES)
        @given(st.data())
        def check_drawn(data: st.DataObject) -> None:
            stream = data.draw(streams())
            stream = stream[:data.draw(st.integers(0, len(stream) - 1))]
            end = data.draw(st.sampled_from([End.FIN, End.RESET]))
            loop.runner.run(check_one(split_at(stream, data.draw(places_in(stream)), end)))

        check_drawn()
        loop.runner.run(backend.stop())


async def wait_closed(bed: Bed) -> None:
    """Waits until the gateway has closed all client connections."""
    async with asyncio.timeout(SOON):
        while bed.program.front.connections:
            await asyncio.sleep(0.0005)
