"""Bodies and answers that are passed on as they come: whole, bounded, and broken where they broke."""

from __future__ import annotations

import asyncio
import random
import socket

import pytest

from embersill.lab.peers import Asked, message, read_message
from embersill.net.bodies import READ, WHOLE, ended_unread, is_readable
from embersill.net.clients import READ_WITHIN, SLOWEST
from tests.bed import Bed, Client, links, request, roomy_settings, run, running
from tests.peers import SOON, serve

LARGE = random.Random(7).randbytes(1_000_000)
FRAMINGS = ("length", "chunked", "end")


def framed(framing: str, pieces: list[bytes]) -> tuple[bytes, list[bytes], bytes]:
    """The head, pieces and end of an answer in this framing; trailers and an interim answer included."""
    if framing == "chunked":
        head = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = [b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in pieces]
        return head, chunks, b"0\r\nX-Sum: 1\r\n\r\n"
    if framing == "length":
        return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % sum(map(len, pieces)), pieces, b""
    return b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n", pieces, b""


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_large_answer_goes_on_while_it_comes(framing: str) -> None:
    async def test() -> None:
        async with running() as bed:
            seen = asyncio.Event()
            head, pieces, end = framed(framing, [LARGE[:100_000], LARGE[100_000:]])

            async def slowly(writer: asyncio.StreamWriter, asked: Asked) -> None:
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
            assert (await client.ask(request(2)))[0] == 200  # the connection is still good
            assert bed.program.driver.figures.ended["success"]["lookup"] == 2
            assert not bed.program.driver.pending and not bed.program.driver.gateway.jobs

    run(test)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_large_answer_that_breaks_looks_broken_and_is_not_asked_for_again(framing: str) -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            head, pieces, _ = framed(framing, [LARGE[:500_000], LARGE[500_000:]])

            async def breaks(writer: asyncio.StreamWriter, asked: Asked) -> None:
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
            assert bed.program.driver.figures.ended["failure"]["lookup"] == 1
            assert not bed.program.driver.gateway.jobs

    run(test)


def test_a_short_answer_that_breaks_is_made_good_by_another_attempt() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            broke: list[int] = []

            def once(writer: asyncio.StreamWriter, asked: Asked) -> None:
                if broke:
                    return serve(writer, asked)
                broke.append(1)
                writer.write(message(200, b"x" * WHOLE)[:-1])
                return writer.transport.abort()

            for backend in bed.backends:
                backend.script = [once, once]
            client = await bed.client()
            assert (await client.ask(request(1)))[2].startswith(b"served")

    run(test)


def test_an_answer_nobody_reads_stops_its_backend() -> None:
    async def test() -> None:
        async with running() as bed:
            sent: list[int] = []

            async def floods(writer: asyncio.StreamWriter, asked: Asked) -> None:
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
                while not any(c.paused for c in links(bed.program.driver.pool)):
                    await asyncio.sleep(0.001)
            (connection,) = bed.program.front.connections
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() <= bed.program.front.share + READ
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            status, _, body = await client.answer()
            assert status == 200 and body == 32 * LARGE

    run(test)


def chunked(number: int, body: bytes) -> bytes:
    head = request(number, "extract", drop="Content-Length", body=b"", Transfer_Encoding="chunked")
    pieces = [body[n:n + 50_000] for n in range(0, len(body), 50_000)]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Sum: 1\r\n\r\n"


@pytest.mark.parametrize("text", [
    request(1, "extract", body=LARGE), chunked(1, LARGE), request(1, "extract", body=LARGE[:WHOLE]),
    chunked(1, LARGE[:WHOLE]), chunked(1, b""), request(1, "extract", body=LARGE, Expect="100-continue"),
], ids=["large", "large chunked", "whole", "whole chunked", "empty chunked", "expected"])
def test_a_body_of_any_size_and_framing_reaches_the_backend_unchanged(text: bytes) -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            client.send(text + request(2))  # the next one behind it at once
            if b"Expect" in text:
                async with asyncio.timeout(SOON):
                    assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert [(await client.answer())[2], (await client.answer())[2]] == [
                b"served %016x" % 1, b"served %016x" % 2]
            whole = asyncio.StreamReader()
            whole.feed_data(text)
            (asked,) = [a for a in bed.seen() if a[1]["x-call-id"] == f"{1:016x}"]
            assert asked[2] == (await read_message(whole))[2] and "x-sum" not in asked[1]
            assert bed.program.dialer.attempts_written == 2 and not bed.program.driver.gateway.jobs

    run(test)


async def upload_under_way(bed: Bed, client: Client) -> None:
    client.send(request(1, "extract", body=LARGE)[:300_000])
    async with asyncio.timeout(SOON):
        while not any(c.attempt for c in links(bed.program.driver.pool)):
            await asyncio.sleep(0)


def test_a_body_that_its_backend_does_not_take_stops_the_client() -> None:
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
                while not any(c.paused for c in bed.program.front.connections):
                    await asyncio.sleep(0.001)
            (connection,) = bed.program.front.connections
            assert connection.upload is not None
            assert connection.upload.size <= bed.program.front.share + READ
            front, clock = bed.program.front, bed.program.front.clock
            front.clock = lambda: clock() + 60.0
            front.look()
            assert not connection.ended  # it can't send what is not read
            front.clock = clock
            free.set()
            assert (await client.answer())[0] == 200
            server.close()

    run(test)


def test_after_the_first_bytes_of_a_body_have_gone_on_there_is_no_further_attempt() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            for backend in bed.backends:
                backend.server.close()  # type: ignore[union-attr]
            calls: list[int] = []

            async def cuts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                calls.append(1)
                await reader.readexactly(100_000)
                writer.transport.abort()

            server = await asyncio.start_server(cuts, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            for name in ("b0", "b1"):
                bed.program.driver.pool.set_address(name, (address[0], address[1]))
            client = await bed.client()
            await upload_under_way(bed, client)
            status, headers, _ = await client.answer()
            assert status == 429 and float(headers["retry-after"]) > 0  # the backend never had the whole
            assert len(calls) == 1 and bed.program.dialer.attempts_written == 0
            assert await client.closed()
            server.close()

    run(test)


@pytest.mark.parametrize(("brought", "ended"), [(200_000, False), (70_000, True)])
def test_a_body_must_go_on_coming(brought: int, ended: bool) -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            text = request(1, "extract", body=LARGE)
            client.send(text[:len(text) - len(LARGE) + brought])
            async with asyncio.timeout(SOON):
                while sum(c.body_size for c in bed.program.front.connections) < brought:
                    await asyncio.sleep(0)
            front, clock = bed.program.front, bed.program.front.clock
            front.clock = lambda: clock() + READ_WITHIN + 150_000 / SLOWEST
            front.look()
            front.clock = clock
            if ended:
                assert (await client.answer())[0] == 408 and await client.closed()
            else:
                client.send(text[len(text) - len(LARGE) + brought:])
                assert (await client.answer())[0] == 200
            assert not bed.program.driver.gateway.jobs

    run(test)


def test_the_time_of_a_request_begins_with_its_last_byte() -> None:
    async def test() -> None:
        env = roomy_settings()
        async with running(env=env) as bed:
            client = await bed.client()
            text = request(1, "extract", budget=1.0, body=LARGE)
            client.send(text[:200_000])
            await asyncio.sleep(1.2)  # longer than the client's time, which does not run yet
            client.send(text[200_000:])
            assert (await client.answer())[0] == 200

    run(test)


def test_a_socket_that_is_closed_holds_an_end() -> None:
    sock, other = socket.socketpair()
    assert not is_readable(sock)
    sock.close()
    other.close()
    assert is_readable(sock) and ended_unread([sock.fileno()]) == [-1]
