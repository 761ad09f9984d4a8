"""Where a client's request ends, for all forms of its length, compared with a reference reader.

Guards against request smuggling: data after a request with ambiguous framing must not be parsed as another
request.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence

import pytest

from embersill.net.bodies import MAX_BODY, STREAMING_THRESHOLD
from embersill.net.driver import ClientRequest, Exchange
from tests.bed import READY, Bed, Client, request, with_bed
from tests.framing_model import (
    Delivery, End, RawBackend, State, check_stream, deliver, read_answer, read_answers,
    read_request, split_at, unsplit,
)
from tests.peers import SOON
from tests.test_framing_answers import (
    BOTH, CHUNKED, CHUNKS, CLOSES, CUTS, DAMAGED_CHUNKS, AMBIGUOUS_LENGTHS, LENGTHS, MALFORMED_LENGTHS,
    OTHER_CODINGS, REPEATED_LENGTHS, named, read_to_end, replace_backend,
)

BODY = b"abcde"
LAST = READY.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
SMUGGLED = 0xbad  # the id of a request that may reach a backend only if the reference reader finds it
VALID_FORMS = [(lines, BODY) for lines in LENGTHS.values()] + [(lines, CHUNKS) for lines in CHUNKED.values()]
each_valid_form = pytest.mark.parametrize(("lines", "body"), VALID_FORMS, ids=[*LENGTHS, *CHUNKED])
FORMS = {"chunks": CHUNKS, "body": BODY, "nothing": b""}


@pytest.fixture(autouse=True)
def no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """These backends send nothing after an answer, so that their connections may be reused at once."""
    monkeypatch.setattr("embersill.net.backends.REUSE_DELAY", 0.0)


def post(number: int, lines: bytes, body: bytes) -> bytes:
    """A request of its own customer, with these lines replacing its Content-Length."""
    head = request(number, "extract", customer=f"{number:016x}", body=b"", drop="Content-Length")
    return head.removesuffix(b"\r\n") + lines + b"\r\n\r\n" + body


def varying(text: bytes) -> range:
    """The positions from which on requests differ from each other."""
    return range(text.index(b"Quota-Info: "), len(text))


def by_byte(text: bytes) -> Delivery:
    """Splits into single bytes where requests differ, and into larger pieces elsewhere."""
    start = varying(text)[0]
    end = start + 150
    return split_at(text, [*range(0, start, 60), *range(start, end), *range(end, len(text), 60)])


def sized(lines: bytes, size: int) -> bytes:
    """Replaces the length 5 in header lines with another size."""
    return lines.replace(b"5", b"%d" % size)


def chunked(body: bytes) -> bytes:
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


async def send(bed: Bed, delivery: Delivery) -> tuple[Client, bytes]:
    """Sends everything on a new connection; returns what was received until its end."""
    client = await bed.client()
    await deliver(client.writer, delivery)
    text = b"" if delivery.end is End.RESET else await read_to_end(client)
    client.writer.close()
    return client, text.removesuffix(b"(reset)")


async def wait_settled(bed: Bed, bystander: Client) -> None:
    """Waits until the gateway has closed all other connections, and checks that it still serves."""
    async with asyncio.timeout(SOON):
        while len(bed.program.front.connections) > 1:
            await asyncio.sleep(0.001)
    assert (await bystander.ask(request(0xfff)))[0] == 200


def check_streams(deliveries: Sequence[Delivery]) -> list[bytes]:
    """Sends each delivery and a last request on a new connection; compares with the reference reader."""
    texts: list[bytes] = []

    async def test(bed: Bed) -> None:
        bystander = await bed.client()
        assert (await bystander.ask(READY))[0] == 200
        for delivery in deliveries:  # one after the other, as their call ids are the same
            backend = await replace_backend(bed) if not texts else peers[0]
            peers[:] = [backend]
            backend.arrivals.clear()
            bed.forget_requests()
            sent = delivery.then(LAST)
            _, text = await send(bed, sent)
            check_stream(sent.wire, read_answers(text), backend.arrivals)
            texts.append(text)
        assert (await bystander.ask(request(0xfff)))[0] == 200
        await peers[0].stop()

    peers: list[RawBackend] = []
    with_bed(test)
    return texts


def all_served(texts: list[bytes], times: int) -> bool:
    return all([a.status for a in read_answers(text)] == [b"200"] * times for text in texts)


# requests with unambiguous framing


@each_valid_form
def test_a_whole_request_is_taken_however_its_length_is_spelled(lines: bytes, body: bytes) -> None:
    text = post(1, lines, body)
    assert read_request(text).state is State.COMPLETE
    positions = range(text.index(lines), len(text))
    deliveries = [unsplit(text), by_byte(text), *(split_at(text, [position]) for position in positions)]
    assert all_served(check_streams(deliveries), 2)


@each_valid_form
def test_a_body_that_looks_like_a_request_is_not_parsed_as_one(lines: bytes, body: bytes) -> None:
    inner = request(SMUGGLED)
    if body == CHUNKS:
        text = post(1, lines, chunked(inner))
    else:
        text = post(1, sized(lines, len(inner)), inner)
    assert all_served(check_streams([unsplit(text), by_byte(text), split_at(text, varying(text)[:1])]), 2)


@each_valid_form
def test_pipelined_requests_are_separated_in_every_length_form(
    lines: bytes, body: bytes
) -> None:
    empty = b"0\r\n\r\n" if body == CHUNKS else b""
    text = post(1, lines, body) + post(2, lines if empty else sized(lines, 0), empty) + post(3, lines, body)
    borders = [match.start() for match in re.finditer(rb"POST |GET ", text)]
    deliveries = [unsplit(text), by_byte(text)]
    deliveries += [split_at(text, borders), split_at(text, range(0, len(text), 7))]
    assert all_served(check_streams(deliveries), 4)


def test_requests_in_all_length_forms_share_one_connection() -> None:
    async def test(bed: Bed) -> None:
        client = await bed.client()
        for number, (lines, body) in enumerate(VALID_FORMS):
            assert (await client.ask(post(number, lines, body)))[0] == 200
        assert [asked[2] for asked in bed.seen()] == [BODY] * len(VALID_FORMS)

    with_bed(test)


@pytest.mark.parametrize("form", [
    b"5\r\nabcde\r\n0\r\n\r\n", b"0005\r\nabcde\r\n000\r\n\r\n", b"5;a=b\r\nabcde\r\n0;c\r\n\r\n",
    b"2\r\nab\r\n3;x=\"y z\"\r\ncde\r\n0\r\nX-Sum: 1\r\nX-Call-Id: 00000000000000ff\r\n\r\n",
    b"A\r\n0123456789\r\n1f\r\n" + b"x" * 31 + b"\r\n0\r\n\r\n",
], ids=["plain", "leading zeros", "extensions", "trailers", "hex digits"])
def test_all_forms_of_chunks_are_accepted(form: bytes) -> None:
    texts = [post(1, lines, form) for lines in CHUNKED.values()]
    assert all_served(check_streams([split(text) for text in texts for split in (unsplit, by_byte)]), 2)


LARGE = bytes(range(256)) * (3 * STREAMING_THRESHOLD // 256)


@each_valid_form
def test_a_large_body_is_complete_in_every_length_form(lines: bytes, body: bytes) -> None:
    text = post(1, lines, chunked(LARGE)) if body == CHUNKS else post(1, sized(lines, len(LARGE)), LARGE)
    deliveries = [
        unsplit(text), split_at(text, [300, STREAMING_THRESHOLD, 2 * STREAMING_THRESHOLD]),
        split_at(text, range(400, 500)),
    ]
    assert all_served(check_streams(deliveries), 2)


@each_valid_form
def test_a_large_body_is_forwarded_in_its_original_framing(lines: bytes, body: bytes) -> None:
    async def test(bed: Bed) -> None:
        text = post(1, lines, chunked(LARGE)) if body == CHUNKS else post(1, sized(lines, len(LARGE)), LARGE)
        client = await bed.client()
        assert (await client.ask(text))[0] == 200
        (seen,) = bed.seen()
        expected = ("chunked", None) if body == CHUNKS else (None, str(len(LARGE)))
        assert (seen[1].get("transfer-encoding"), seen[1].get("content-length")) == expected
        assert seen[2] == LARGE

    with_bed(test)


@pytest.mark.parametrize("lines", named(LENGTHS))
def test_a_body_over_the_limit_is_rejected_in_every_length_form(lines: bytes) -> None:
    async def test(bed: Bed) -> None:
        client = await bed.client()
        assert (await client.ask(post(1, sized(lines, MAX_BODY + 1), b"")))[0] == 413
        assert await client.closed() and not bed.seen()

    with_bed(test)


# requests with ambiguous or malformed framing


@pytest.mark.parametrize("lines", named(AMBIGUOUS_LENGTHS, REPEATED_LENGTHS, BOTH))
def test_a_request_with_ambiguous_framing_is_read_correctly_or_rejected(lines: bytes) -> None:
    tails = [b"", request(SMUGGLED), b"\r\n" + request(SMUGGLED)]
    texts = [post(1, lines, form) + tail for form in FORMS.values() for tail in tails]
    check_streams([split(text) for text in texts for split in (unsplit, by_byte)])


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("lines", named(MALFORMED_LENGTHS, OTHER_CODINGS))
def test_a_request_with_malformed_framing_is_rejected_and_nothing_after_it_accepted(
    lines: bytes, form: str
) -> None:
    assert read_request(post(1, lines, FORMS[form])).state is not State.COMPLETE
    texts = [post(1, lines, FORMS[form]) + tail for tail in (b"", request(SMUGGLED))]
    answers = check_streams([split(text) for text in texts for split in (unsplit, by_byte)])
    statuses = {answer.status for text in answers for answer in read_answers(text)}
    assert statuses <= {b"400", b"413", b"501"}  # answered without waiting for a body of unknown length


@pytest.mark.parametrize("lines", named(MALFORMED_LENGTHS, OTHER_CODINGS))
def test_a_request_with_malformed_framing_does_not_affect_earlier_ones(lines: bytes) -> None:
    text = post(1, b"Content-Length: 5 ", BODY) + post(2, lines, CHUNKS) + request(SMUGGLED)
    for answers in check_streams([unsplit(text), by_byte(text)]):
        assert read_answers(answers)[0].status == b"200"


@pytest.mark.parametrize("body", named(DAMAGED_CHUNKS))
def test_damaged_chunks_are_rejected_and_nothing_after_them_accepted(body: bytes) -> None:
    if read_request(post(1, b"Transfer-Encoding: chunked", body)).state is State.INCOMPLETE:
        body += b"x\n"  # otherwise the gateway would wait for the rest
    texts = [post(1, lines, body) + request(SMUGGLED) for lines in CHUNKED.values()]
    answers = check_streams([unsplit(text) for text in texts])
    assert not any(read_answer(text, End.FIN).status == b"200" for text in answers)


@pytest.mark.parametrize("text", [
    post(1, b"Content-Length : 5", BODY),
    post(1, b"Content-Length\t: 5", BODY),
    post(1, b"X-Pad: 1\r\n Content-Length: 5", BODY),
    post(1, b"Content-Length:\r\n 5", BODY),
    post(1, b"Content-Length: 5\nX-Other: 1", BODY),
    post(1, b"Content-Length", BODY),
    post(1, b"Content Length: 5", BODY),
    post(1, b": 5", BODY),
    post(1, b"Content-Length: 5\r\nX-Other: a\x00b", BODY),
    post(1, b"Transfer-Encoding : chunked", CHUNKS),
    post(1, b"Transfer-Encoding\x0b: chunked", CHUNKS),
    post(1, b"X-Pad: 1\rTransfer-Encoding: chunked", CHUNKS),
], ids=lambda text: re.sub(r"[^ -~]", "~", text.partition(b"first=0\r\n")[2].decode("latin-1")))
def test_a_malformed_head_is_rejected_and_nothing_after_it_accepted(text: bytes) -> None:
    answers = check_streams([split(text + request(SMUGGLED)) for split in (unsplit, by_byte)])
    assert not any(read_answer(answer, End.FIN).status == b"200" for answer in answers)


# truncated requests


@pytest.mark.parametrize("end", CUTS)
@each_valid_form
def test_a_request_truncated_at_any_byte_is_not_forwarded(lines: bytes, body: bytes, end: End) -> None:
    async def test(bed: Bed) -> None:
        bystander = await bed.client()
        text = post(1, lines, body)
        sent = await asyncio.gather(*(send(bed, unsplit(text[:position], end)) for position in varying(text)))
        assert not any(read_answer(answers, End.FIN).status == b"200" for _, answers in sent)
        await wait_settled(bed, bystander)
        assert {asked[1]["x-call-id"] for asked in bed.seen()} == {f"{0xfff:016x}"}

    with_bed(test)


@pytest.mark.parametrize("end", CUTS)
def test_a_request_truncated_in_its_first_lines_is_not_forwarded(end: End) -> None:
    async def test(bed: Bed) -> None:
        bystander = await bed.client()
        text = post(1, b"Content-Length: 5 ", BODY)
        positions = range(1, varying(text)[0])
        for start in range(0, len(positions), 50):
            await asyncio.gather(*(send(bed, unsplit(text[:p], end)) for p in positions[start:start + 50]))
        await wait_settled(bed, bystander)
        assert {asked[1]["x-call-id"] for asked in bed.seen()} == {f"{0xfff:016x}"}

    with_bed(test)


@pytest.mark.parametrize("end", CUTS)
@each_valid_form
def test_a_truncated_large_body_never_counts_as_complete(lines: bytes, body: bytes, end: End) -> None:
    async def test(bed: Bed) -> None:
        bystander = await bed.client()
        text = post(1, lines, chunked(LARGE)) if body == CHUNKS else post(1, sized(lines, len(LARGE)), LARGE)
        for position in (STREAMING_THRESHOLD + 1000, len(text) - 4, len(text) - 1):
            _, answers = await send(bed, unsplit(text[:position], end))
            assert read_answer(answers, End.FIN).status != b"200"
        await wait_settled(bed, bystander)
        assert {asked[1]["x-call-id"] for asked in bed.seen()} == {f"{0xfff:016x}"}

    with_bed(test)


# other header fields


@pytest.mark.parametrize("line", named(CLOSES))
def test_nothing_is_accepted_after_a_request_with_connection_close(line: bytes) -> None:
    texts = [post(1, lines + b"\r\n" + line, body) + request(SMUGGLED) for lines, body in VALID_FORMS]
    for answers in check_streams([unsplit(text) for text in texts]):
        assert [answer.status for answer in read_answers(answers)] == [b"200"]


@pytest.mark.parametrize("line", [
    b"Expect: 100-continue", b"Expect:100-continue", b"Expect:  100-continue  ", b"EXPECT:\t100-Continue\t",
    b"expect: \t 100-CONTINUE \t",
])
@pytest.mark.parametrize("lines", [b"Content-Length: 5 ", b"Transfer-Encoding:\tchunked\t"])
def test_expect_100_continue_is_answered(line: bytes, lines: bytes) -> None:
    async def test(bed: Bed) -> None:
        client = await bed.client()
        client.send(post(1, lines + b"\r\n" + line, b""))
        async with asyncio.timeout(SOON):
            interim = await client.reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100 ")
        client.send(CHUNKS if b"chunked" in lines else BODY)
        assert (await client.answer())[0] == 200
        assert [asked[2] for asked in bed.seen()] == [BODY]

    with_bed(test)


def record_calls(bed: Bed, monkeypatch: pytest.MonkeyPatch) -> list[ClientRequest]:
    """Records the calls that the driver accepts from now on."""
    calls: list[ClientRequest] = []
    take = bed.program.driver.accept_request

    def record(call: ClientRequest, exchange: Exchange) -> int:
        calls.append(call)
        return take(call, exchange)

    monkeypatch.setattr(bed.program.driver, "accept_request", record)
    return calls


AROUND = [
    (b"", b""), (b" ", b""), (b"  ", b"  "), (b"\t", b"\t"), (b" \t ", b"\t \t"), (b"", b" "), (b"", b"\t"),
]


@pytest.mark.parametrize(("before", "behind"), AROUND)
@pytest.mark.parametrize("upper", [False, True])
def test_white_space_around_values_and_the_case_of_names_do_not_matter(
    before: bytes, behind: bytes, upper: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(bed: Bed) -> None:
        calls = record_calls(bed, monkeypatch)
        plain = request(1, "report", body=BODY, X_Again="1")
        first, *fields = plain.partition(b"\r\n\r\n")[0].split(b"\r\n")
        spelled = []
        for field in fields:
            name, _, value = field.partition(b": ")
            spelled.append((name.upper() if upper else name.lower()) + b":" + before + value + behind)
        client = await bed.client()
        assert (await client.ask(plain))[0] == 200
        assert (await client.ask(b"\r\n".join([first, *spelled]) + b"\r\n\r\n" + BODY))[0] == 200
        ones, others = calls
        names = ("request_class", "plan", "customer", "units", "gateway_count", "first_gateway", "repeat",
                 "head", "body")
        assert [getattr(ones, name) for name in names] == [getattr(others, name) for name in names]
        assert ones.repeat
        one, other = bed.seen()
        del one[1]["x-budget"], other[1]["x-budget"]
        assert one == other and one[1]["idempotency-key"] == f"key{1:029x}"

    with_bed(test)


@pytest.mark.parametrize("value", [b"0", b"11", b"1 1", b"", b"+1", b"1,1"])
def test_only_the_value_1_marks_a_repeated_request(value: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(bed: Bed) -> None:
        calls = record_calls(bed, monkeypatch)
        client = await bed.client()
        await client.ask(post(1, b"Content-Length: 5 \r\nX-Again: " + value, BODY))
        assert not any(call.repeat for call in calls)

    with_bed(test)
