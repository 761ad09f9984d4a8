"""Streaming of request and answer bodies: contents, buffer limits, and bodies that break off."""

from __future__ import annotations

import asyncio
import random
import socket

import pytest

from embersill.lab.peers import HttpMessage, response_bytes, read_message
from embersill.net.bodies import READ_SIZE, STREAMING_THRESHOLD, closed_by_peer, is_readable
from embersill.net.clients import MIN_BODY_RATE, REQUEST_TIMEOUT
from tests.bed import Bed, Client, backend_connections, request, roomy_settings, run, running
from tests.peers import SOON, serve

LARGE = random.Random(7).randbytes(1_000_000)
FRAMINGS = ("length", "chunked", "end")


def framed(framing: str, pieces: list[bytes]) -> tuple[bytes, list[bytes], bytes]:
    """The head, body parts and end of an answer in this framing, with trailers and an interim answer."""
    if framing == "chunked":
        head = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = [b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in pieces]
        return head, chunks, b"0\r\nX-Sum: 1\r\n\r\n"
    if framing == "length":
        return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % sum(map(len, pieces)), pieces, b""
    return b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n", pieces, b""


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_large_answer_is_streamed(framing: str) -> None:
    async def test() -> None:
        async with running() as bed:
            seen = asyncio.Event()
            head, pieces, end = framed(framing, [LARGE[:100_000], LARGE[100_000:]])

            async def slowly(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                writer.write(head + pieces[0])
                await seen.wait()
                writer.write(pieces[1] + end)
                if framing == "end":
                    writer.close()

            bed.backends[0].script = [slowly]
            client = await bed.client()
            client.send(request(1))
            async with asyncio.timeout(SOON):
                while len(client.reader._buffer) < 90_000:  # type: ignore[attr-defined]
                    await asyncio.sleep(0)
            assert bed.program.driver.unanswered == 1
            seen.set()
            status, _, body = await client.answer()
            assert status == 200 and body == LARGE
            assert (await client.ask(request(2)))[0] == 200  # the connection can be reused
            assert bed.program.driver.figures.requests_by_result["success"]["lookup"] == 2
            assert not bed.program.driver.pending and not bed.program.driver.gateway.jobs

    run(test)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_streamed_answer_that_breaks_off_is_reset_and_not_retried(framing: str) -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            head, pieces, _ = framed(framing, [LARGE[:500_000], LARGE[500_000:]])

            async def breaks(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                writer.write(head + pieces[0])
                await writer.drain()
                writer.transport.abort()

            for backend in bed.backends:
                backend.script = [breaks]
            client = await bed.client()
            client.send(request(1))
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await client.answer()
            assert len(bed.seen()) == 1
            assert bed.program.driver.figures.requests_by_result["failure"]["lookup"] == 1
            assert not bed.program.driver.gateway.jobs

    run(test)


def test_a_buffered_answer_that_breaks_off_is_retried() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            failed: list[int] = []

            def once(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                if failed:
                    return serve(writer, asked)
                failed.append(1)
                writer.write(response_bytes(200, b"x" * STREAMING_THRESHOLD)[:-1])
                return writer.transport.abort()

            for backend in bed.backends:
                backend.script = [once, once]
            client = await bed.client()
            assert (await client.ask(request(1)))[2].startswith(b"served")

    run(test)


def test_reading_from_the_backend_pauses_while_the_client_does_not_read() -> None:
    async def test() -> None:
        async with running() as bed:
            sent: list[int] = []

            async def floods(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (32 * len(LARGE)))
                for _ in range(32):
                    writer.write(LARGE)
                    await writer.drain()
                    sent.append(1)

            bed.backends[0].script = [floods]
            client = await bed.client(receive_buffer=8192)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(request(1))
            async with asyncio.timeout(SOON):
                while not any(c.paused for c in backend_connections(bed.program.driver.pool)):
                    await asyncio.sleep(0.001)
            (connection,) = bed.program.front.connections
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() <= bed.program.front.buffer_limit + READ_SIZE
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            status, _, body = await client.answer()
            assert status == 200 and body == 32 * LARGE

    run(test)


def chunked(number: int, body: bytes) -> bytes:
    head = request(number, "extract", drop="Content-Length", body=b"", Transfer_Encoding="chunked")
    pieces = [body[n:n + 50_000] for n in range(0, len(body), 50_000)]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Sum: 1\r\n\r\n"


@pytest.mark.parametrize("text", [
    request(1, "extract", body=LARGE), chunked(1, LARGE),
    request(1, "extract", body=LARGE[:STREAMING_THRESHOLD]), chunked(1, LARGE[:STREAMING_THRESHOLD]),
    chunked(1, b""), request(1, "extract", body=LARGE, Expect="100-continue"),
], ids=["large", "large chunked", "whole", "whole chunked", "empty chunked", "expected"])
def test_bodies_of_all_sizes_and_framings_reach_the_backend_unchanged(text: bytes) -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            client.send(text + request(2))  # with a pipelined request behind it
            if b"Expect" in text:
                async with asyncio.timeout(SOON):
                    assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert [(await client.answer())[2], (await client.answer())[2]] == [
                b"served %016x" % 1, b"served %016x" % 2]
            sent = asyncio.StreamReader()
            sent.feed_data(text)
            (asked,) = [a for a in bed.seen() if a[1]["x-call-id"] == f"{1:016x}"]
            assert asked[2] == (await read_message(sent))[2] and "x-sum" not in asked[1]
            assert bed.program.dialer.attempts_written == 2 and not bed.program.driver.gateway.jobs

    run(test)


async def start_upload(bed: Bed, client: Client) -> None:
    """Sends a part of a large body, and waits until an attempt has a connection."""
    client.send(request(1, "extract", body=LARGE)[:300_000])
    async with asyncio.timeout(SOON):
        while not any(c.attempt for c in backend_connections(bed.program.driver.pool)):
            await asyncio.sleep(0)


def test_reading_from_the_client_pauses_while_the_backend_does_not_read() -> None:
    async def test() -> None:
        async with running() as bed:
            bed.backends[0].server.close()  # type: ignore[union-attr]
            free = asyncio.Event()

            async def stalls(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await free.wait()
                serve(writer, await read_message(reader))

            server = await asyncio.start_server(stalls, "127.0.0.1", 0, limit=1024)
            address = server.sockets[0].getsockname()
            bed.program.driver.pool.set_address("b0", (address[0], address[1]))
            client = await bed.client()
            client.send(request(1, "extract", body=20 * LARGE))
            async with asyncio.timeout(SOON):
                while not any(c.read_paused for c in bed.program.front.connections):
                    await asyncio.sleep(0.001)
            (connection,) = bed.program.front.connections
            assert connection.upload is not None
            assert len(connection.upload.buffer) <= bed.program.front.buffer_limit + READ_SIZE
            client_server, clock = bed.program.front, bed.program.front.clock
            client_server.clock = lambda: clock() + 60.0
            client_server.check_connections()
            assert not connection.input_ended  # the timeout does not run while reading is paused
            client_server.clock = clock
            free.set()
            assert (await client.answer())[0] == 200
            server.close()

    run(test)


def test_a_streamed_body_is_not_sent_to_a_second_backend() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            for backend in bed.backends:
                backend.server.close()  # type: ignore[union-attr]
            received: list[int] = []

            async def cuts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                received.append(1)
                await reader.readexactly(100_000)
                writer.transport.abort()

            server = await asyncio.start_server(cuts, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            for name in ("b0", "b1"):
                bed.program.driver.pool.set_address(name, (address[0], address[1]))
            client = await bed.client()
            await start_upload(bed, client)
            status, headers, _ = await client.answer()
            assert status == 429 and float(headers["retry-after"]) > 0  # the backend has no complete body
            assert len(received) == 1 and bed.program.dialer.attempts_written == 0
            assert await client.closed()
            server.close()

    run(test)


@pytest.mark.parametrize(("sent", "times_out"), [(200_000, False), (70_000, True)])
def test_a_streamed_body_must_keep_a_minimum_rate(sent: int, times_out: bool) -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            text = request(1, "extract", body=LARGE)
            client.send(text[:len(text) - len(LARGE) + sent])
            async with asyncio.timeout(SOON):
                while sum(c.body_size for c in bed.program.front.connections) < sent:
                    await asyncio.sleep(0)
            client_server, clock = bed.program.front, bed.program.front.clock
            client_server.clock = lambda: clock() + REQUEST_TIMEOUT + 150_000 / MIN_BODY_RATE
            client_server.check_connections()
            client_server.clock = clock
            if times_out:
                assert (await client.answer())[0] == 408 and await client.closed()
            else:
                client.send(text[len(text) - len(LARGE) + sent:])
                assert (await client.answer())[0] == 200
            assert not bed.program.driver.gateway.jobs

    run(test)


def test_the_budget_of_a_streamed_request_starts_with_its_last_byte() -> None:
    async def test() -> None:
        env = roomy_settings()
        async with running(env=env) as bed:
            client = await bed.client()
            text = request(1, "extract", budget=1.0, body=LARGE)
            client.send(text[:200_000])
            await asyncio.sleep(1.2)  # longer than the budget, which does not run yet
            client.send(text[200_000:])
            assert (await client.answer())[0] == 200

    run(test)


def test_a_closed_socket_counts_as_closed_by_its_peer() -> None:
    sock, other = socket.socketpair()
    assert not is_readable(sock)
    sock.close()
    other.close()
    assert is_readable(sock) and closed_by_peer([sock.fileno()]) == [-1]
