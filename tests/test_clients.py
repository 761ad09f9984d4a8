"""The HTTP server over loopback sockets: validation, order of answers, evictions and timeouts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from embersill.lab.peers import HttpMessage, response_bytes
from embersill.net.bodies import MAX_BODY, STREAMING_THRESHOLD
from embersill.net.clients import MAX_HEAD, MIN_BODY_RATE, REQUEST_TIMEOUT, STALLED_AFTER, WRITE_TIMEOUT
from tests.bed import READY, Bed, Client, request, roomy_settings, run, running
from tests.peers import SOON, serve


def with_bed(test: Callable[[Bed, Client], Awaitable[None]]) -> None:
    async def inside() -> None:
        async with running() as bed:
            await test(bed, await bed.client())

    run(inside)


def test_requests_and_answers_are_forwarded_unchanged() -> None:
    async def test(bed: Bed, client: Client) -> None:
        status, _, body = await client.ask(request(0xabc, "report", body=b"Vestergade 1"))
        assert (status, body) == (200, b"served 0000000000000abc")
        first, headers, sent = bed.seen()[0]
        assert first == "POST /api?client=00000000000000c1 HTTP/1.1" and sent == b"Vestergade 1"
        assert headers["idempotency-key"] == f"key{0xabc:029x}"
        assert 0 < float(headers["x-budget"]) <= 5.0

    with_bed(test)


def test_client_and_backend_connections_are_reused() -> None:
    # should_keep_alive() of the parser is only valid inside its callback; a later call returned False.
    async def test(bed: Bed, client: Client) -> None:
        for number in range(5):
            assert (await client.ask(request(number)))[0] == 200
        assert bed.backends[0].connections == 1

    with_bed(test)


def test_pipelined_requests_are_answered_in_order_even_if_the_first_is_slowest() -> None:
    async def test(bed: Bed, client: Client) -> None:
        both = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
            if asked[1]["x-call-id"].endswith("1"):
                await both.wait()
            serve(writer, asked)
            both.set()

        bed.backends[0].script = [answer, answer]
        client.send(request(1) + request(2))
        for number in (1, 2):
            assert (await client.answer())[2] == f"served {number:016x}".encode()

    with_bed(test)


def test_all_requests_of_a_long_pipeline_are_answered() -> None:
    # Reading pauses at MAX_PIPELINED requests and must resume. Some of the requests may be refused for quota.
    async def test(bed: Bed, client: Client) -> None:
        client.send(b"".join(request(n, "report", body=b"x" * 5000) for n in range(60)))
        for number in range(60):
            status, _, body = await client.answer()
            assert status == 429 or body == f"served {number:016x}".encode()

    with_bed(test)


def test_a_chunked_request_sent_byte_by_byte_is_forwarded_completely() -> None:
    async def test(bed: Bed, client: Client) -> None:
        text = request(7, "extract", drop="Content-Length", Transfer_Encoding="chunked", body=b"")
        text += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        for position in range(len(text)):
            client.send(text[position:position + 1])
            await client.writer.drain()
            await asyncio.sleep(0)
        assert (await client.answer())[0] == 200
        assert bed.seen()[0][2] == b"abcde" and bed.seen()[0][1]["content-length"] == "5"

    with_bed(test)


@pytest.mark.parametrize(("text", "status"), [
    (b"rubbish\r\n\r\n", 400),
    (b"GET /api HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (request(1, drop="X-Call-Id"), 400),
    (request(1, drop="X-Call-Class"), 400),
    (request(1, drop="Plan"), 400),
    (request(1, drop="X-Budget"), 400),
    (request(1, drop="Quota-Info"), 400),
    (request(1, "report", drop="Idempotency-Key"), 400),
    (request(1, "extract", Idempotency_Key="k"), 400),
    (request(1, X_Budget="soon"), 400),
    (request(1, X_Budget="nan"), 400),
    (request(1, X_Budget="-1"), 400),
    (request(1, Plan="gold"), 400),
    (request(1, X_Call_Class="order"), 400),
    (request(1, X_Call_Id="a b"), 400),
    (request(1, Quota_Info="units=2"), 400),
    (request(1, Quota_Info="units=0,spread=2,first=0"), 400),
    (request(1, Quota_Info="units=1,spread=70000,first=0"), 400),
    (request(1, Quota_Info="units=1,spread=3,first=0"), 400),
    (request(1, Quota_Info="units=1,spread=2,first=2"), 400),
    (request(1, Quota_Info="units=1,spread=1.5,first=0"), 400),
    (request(1, Quota_Info="units=1,spread=2,first=0.5"), 400),
    (request(1, units="8.5"), 400),
    (request(1, customer="xyz"), 400),
    (request(1, customer="0000000200000000"), 400),
    (request(1, customer="a9e35a3e954fdffa"), 400),
    (request(1).replace(b"Plan: basis", b"Plan: basis\r\nPlan: pro"), 400),
    (request(1).replace(b"/api?", b"/other?"), 404),
    (b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    (request(1).replace(b"GET ", b"DELETE "), 405),
    (request(1).replace(b"GET ", b"POST "), 405),
    (b"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
    (request(1, "extract", body=b"", Content_Length=str(MAX_BODY + 1)), 413),
    (request(1, "extract", body=b"x" * (STREAMING_THRESHOLD + 1), X_Budget="soon"), 400),
    (request(1, "extract", drop="Content-Length", body=b"", Transfer_Encoding="chunked", X_Budget="soon")
     + b"20000\r\n" + b"x" * 0x20000 + b"\r\n0\r\n\r\n", 400),
    (request(1, "extract", Transfer_Encoding="chunked"), 400),
    (request(1, "extract", drop="Content-Length", body=b"", Transfer_Encoding="chunked, gzip"), 400),
    (request(1, "extract", drop="Content-Length", body=b"0\r\n\r\n", Transfer_Encoding="gzip, chunked"), 501),
    (request(1, "extract").replace(b"Content-Length: 10", b"Content-Length: 10\r\nContent-Length: 11"), 400),
    (request(1, "extract", Expect="200-ok"), 417),
    (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * (4 * MAX_HEAD), 431),
], ids=lambda value: str(value)[:60])
def test_invalid_requests_are_rejected_and_not_forwarded(text: bytes, status: int) -> None:
    async def test(bed: Bed, client: Client) -> None:
        received_status, _, body = await client.ask(text)
        assert received_status == status and len(body.splitlines()) <= 1
        assert bed.program.driver.last_request_id == 0 and not bed.seen()
        assert (await (await bed.client()).ask(request(2)))[0] == 200  # the gateway still serves

    with_bed(test)


def test_the_largest_buffered_body_is_accepted() -> None:
    async def test(bed: Bed, client: Client) -> None:
        assert (await client.ask(request(1, "extract", body=b"x" * STREAMING_THRESHOLD)))[0] == 200

    with_bed(test)


def test_a_reset_by_the_client_cancels_its_attempt() -> None:
    async def inside() -> None:
        env = roomy_settings()
        env["services"][0]["aim"] = env["services"][0]["deadline"] = 1e6  # no timeout within the test
        async with running(env=env) as bed:
            client, received = await bed.client(), asyncio.Event()
            bed.backends[0].script = [lambda writer, asked: received.set()]
            client.send(request(1, budget=1000.0))
            await received.wait()  # the backend has the request, and does not answer
            client.reset()
            await bed.backends[0].until(lambda: bed.backends[0].ended == 1)
            assert not bed.program.driver.unanswered and not bed.program.driver.pending

    run(inside)


def test_only_idle_connections_are_evicted_at_the_connection_limit() -> None:
    async def test(bed: Bed, client: Client) -> None:
        free = asyncio.Event()

        async def late(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
            await free.wait()
            serve(writer, asked)

        bed.backends[0].script = [late]
        bed.program.front.max_connections = 2
        client.send(request(1))
        await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
        idle, third = await bed.client(), await bed.client()
        assert (await idle.ask(request(2)))[0] == 200
        assert (await third.ask(request(3)))[0] == 200
        assert await idle.closed()
        free.set()
        assert (await client.answer())[0] == 200

    with_bed(test)


def test_no_requests_are_read_from_a_client_that_does_not_read_answers(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    # Otherwise its answers would accumulate in the gateway's memory.
    # On a busy machine the loop is held up for longer, and requests whose client may have gone are refused.
    monkeypatch.setattr("embersill.net.clients.HIDDEN_CLOSE_AFTER", SOON)
    async def test(bed: Bed, client: Client) -> None:
        large = response_bytes(200, b"x" * STREAMING_THRESHOLD)
        bed.backends[0].script = [lambda writer, asked: writer.write(large)] * 1000
        client = await bed.client(receive_buffer=8192)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(b"".join(request(n) for n in range(1000)))
        while not any(c.write_blocked for c in bed.program.front.connections):
            await asyncio.sleep(0)
        await bed.until_answered()
        assert bed.program.driver.last_request_id < 1000
        connection = next(c for c in bed.program.front.connections if c.write_blocked)
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() < 3_000_000
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(1000):
            assert (await client.answer())[0] in (200, 429)

    with_bed(test)


def test_a_client_that_never_reads_is_disconnected_after_a_timeout() -> None:
    # Otherwise it would keep its descriptor and the memory of its answers indefinitely.
    async def test(bed: Bed, client: Client) -> None:
        server, clock = bed.program.front, bed.program.front.clock
        large = response_bytes(200, b"x" * STREAMING_THRESHOLD)
        bed.backends[0].script = [lambda writer, asked: writer.write(large)] * 1000
        client = await bed.client(receive_buffer=8192)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(b"".join(request(n) for n in range(1000)))
        while not any(c.write_blocked for c in server.connections):
            await asyncio.sleep(0)
        await bed.until_answered()
        server.check_connections()
        assert any(c.write_blocked for c in server.connections)  # not before the timeout
        server.clock = lambda: clock() + WRITE_TIMEOUT
        server.check_connections()
        while any(c.write_blocked for c in server.connections):
            await asyncio.sleep(0)

    with_bed(test)


def test_stalled_requests_are_evicted_for_other_clients() -> None:
    async def test(bed: Bed, client: Client) -> None:
        server, now = bed.program.front, bed.program.front.clock()
        server.check_timer.cancel()  # only the eviction may close it
        server.max_connections = 1
        client.send(request(1)[:40])
        while not any(c.in_request for c in server.connections):
            await asyncio.sleep(0)
        assert not server.has_capacity()
        server.evict_idle()
        assert not any(c.closing for c in server.connections)
        server.clock = lambda: now + STALLED_AFTER + 1.0
        other = await bed.client()
        assert (await other.ask(READY))[0] == 200
        assert await client.closed()

    with_bed(test)


def test_a_stopping_gateway_answers_all_pipelined_requests_before_it_closes() -> None:
    # With "Connection: close" in the first answer, the accepted requests behind it would lose theirs.
    async def test(bed: Bed, client: Client) -> None:
        free = asyncio.Event()

        async def late(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
            await free.wait()
            serve(writer, asked)

        bed.backends[0].script = [late, late]
        client.send(request(1) + request(2))
        await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 2)
        bed.program.front.stopping = True
        free.set()
        first, second = await client.answer(), await client.answer()
        assert (first[0], second[0]) == (200, 200)
        assert "connection" not in first[1] and second[1]["connection"] == "close"
        assert await client.closed()

    with_bed(test)


def test_ready_requires_a_serving_backend() -> None:
    async def test(bed: Bed, client: Client) -> None:
        assert (await client.ask(READY))[0] == 200
        asked = len(bed.discovery.asked)
        await bed.discovery.change(bed.discovery.entry("b0", bed.backends[0].address, "DRAINING"))
        await bed.discovery.until_asked(asked + 1)
        assert (await client.ask(READY))[0] == 503

    with_bed(test)


@pytest.mark.parametrize("complete", [b"", READY])
@pytest.mark.parametrize("incomplete", [request(1)[:40], request(1, "extract")[:-3], b"GET"])
def test_an_incomplete_request_is_answered_with_a_timeout(complete: bytes, incomplete: bytes) -> None:
    async def test(bed: Bed, client: Client) -> None:
        server, clock = bed.program.front, bed.program.front.clock
        if complete:
            assert (await client.ask(complete))[0] == 200
        client.send(incomplete)
        while not any(c.in_request for c in server.connections):
            await asyncio.sleep(0)
        server.check_connections()
        assert not any(c.closing for c in server.connections)  # not before the timeout
        server.clock = lambda: clock() + REQUEST_TIMEOUT + 10 / MIN_BODY_RATE
        server.check_connections()
        assert (await client.answer())[0] == 408
        assert await client.closed() and not bed.program.driver.last_request_id

    with_bed(test)


def test_slowly_sent_bytes_do_not_extend_the_request_timeout() -> None:
    async def test(bed: Bed, client: Client) -> None:
        server, clock = bed.program.front, bed.program.front.clock
        client.send(request(1)[:40])
        while not any(c.in_request for c in server.connections):
            await asyncio.sleep(0)
        server.clock = lambda: clock() + REQUEST_TIMEOUT
        (connection,) = server.connections
        client.send(request(1)[40:50])
        before = connection.last_read_at
        while connection.last_read_at == before:
            await asyncio.sleep(0)
        server.check_connections()
        assert (await client.answer())[0] == 408

    with_bed(test)


def test_a_connection_without_a_request_is_closed_and_an_idle_client_is_kept() -> None:
    async def test(bed: Bed, client: Client) -> None:
        server, clock = bed.program.front, bed.program.front.clock
        assert (await client.ask(READY))[0] == 200
        silent = await bed.client()
        while len(server.connections) < 2:
            await asyncio.sleep(0)
        server.clock = lambda: clock() + REQUEST_TIMEOUT
        server.check_connections()
        assert await silent.closed()
        assert (await client.ask(READY))[0] == 200

    with_bed(test)


def test_connections_without_backend_requests_are_evicted_first_and_without_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("embersill.net.clients.ACCEPT_RETRY_INTERVAL", 1000.0)

    async def test(bed: Bed, client: Client) -> None:
        server, clock = bed.program.front, bed.program.front.clock
        server.max_connections = 5
        assert (await client.ask(request(1)))[0] == 200  # idle for longest
        unserved = [await bed.client() for _ in range(4)]
        for peer in unserved:
            assert (await peer.ask(READY))[0] == 200
        server.clock = lambda: clock() + 1.0
        others = [await bed.client() for _ in range(4)]
        for number, other in enumerate(others):
            assert (await other.ask(request(2 + number)))[0] == 200
        assert all([await peer.closed() for peer in unserved])
        assert (await client.ask(request(9)))[0] == 200

    with_bed(test)
