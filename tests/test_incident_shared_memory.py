"""Incident of 2026-12: many peers that each held little took a gateway over its memory limit.

All at the least memory of the terms with 1,024 descriptors, beside sound requests, which have to be answered.
"""

from __future__ import annotations

import asyncio
import pathlib
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace

import pytest

from embersill.lab.peers import HOST, read_counter_call, read_message, response_bytes
from embersill.lab.soak.gateway_process import GatewayProcess
from tests.bed import run
from tests.incident_bed import (
    LEAST_LIMITS, MEMORY_MB, MemoryWatch, Respond, ScriptedBackends, SoundClients, anonymous_memory_mb,
    incident_bed, respond_at_once,
)
from tests.peers import CounterPeer
from tests.soak_bed import CHUNKED, SoakBed, signature_head

pytestmark = pytest.mark.heavy

STAY = 5.0  # seconds after which a peer leaves in any case
KEPT_SIZE = 64_000  # bytes of a body or answer, just below what is kept whole
LONG_SIZE = 400_000  # bytes of a body or answer that is passed on as it comes
SLOW_RATE = 16_000  # bytes per second that a slow client writes
WRITE_INTERVAL = 0.1  # seconds between its writes
READ_SIZE, READ_INTERVAL = 4_000, 0.1  # bytes and seconds of a client that reads slowly
RECEIVE_BUFFER = 8_192  # bytes of its kernel
HEAD_SIZE = 30_000  # bytes, below the limit on a head
SENT_AHEAD = 3_300  # requests behind one that has no answer yet
PIPELINED = 16  # requests, of which the client reads no answer
UPGRADE_MEMORY_MB = 48  # two processes at rest take 28
MOST_CLIENTS = 560  # that a gateway with 1,024 descriptors takes

Client = Callable[[SoakBed, int], Awaitable[None]]


def signature(number: int, framing: str, name: str = "peer") -> bytes:
    """The head of a signature of a customer of its own."""
    head = signature_head(f"{name}-{number}", framing)
    return head.replace(b"00000000000000c1", b"%016x" % (0x1000 + number))


async def write_slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
    begin, sent, step = time.monotonic(), 0, int(SLOW_RATE * WRITE_INTERVAL)
    while sent < len(data):
        writer.write(data[sent : sent + step])
        sent += step
        await asyncio.sleep(max(begin + sent / SLOW_RATE - time.monotonic(), 0.0))


def client_that_sends(make: Callable[[int], bytes], slowly: bool = False) -> Client:
    """A client that writes, waits for an answer, and leaves after STAY at the latest."""

    async def act(bed: SoakBed, number: int) -> None:
        reader, writer = await bed.connect()
        with suppress(TimeoutError, OSError, RuntimeError, asyncio.IncompleteReadError):
            async with asyncio.timeout(STAY):
                if slowly:
                    await write_slowly(writer, make(number))
                else:
                    writer.write(make(number))
                await read_message(reader)
        writer.transport.abort()

    return act


async def pipeline_unread(bed: SoakBed, number: int) -> None:
    """Sends requests on one connection and reads none of their answers."""
    _, writer = await bed.connect()
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    for n in range(PIPELINED):
        writer.write(signature(number, "Content-Length: 2", f"unread-{n}") + b"xx")
    await asyncio.sleep(STAY)
    writer.transport.abort()


async def read_slowly(bed: SoakBed, number: int) -> None:
    """Reads a long answer slowly."""
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(STAY):
            await loop.sock_connect(sock, (HOST, bed.gateway.port))
            await loop.sock_sendall(sock, signature(number, "Content-Length: 2") + b"xx")
            while await loop.sock_recv(sock, READ_SIZE):
                await asyncio.sleep(READ_INTERVAL)
    sock.close()


def respond_with(text: bytes) -> Respond:
    """Answers with these bytes, and with no more while the client is there."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        writer.write(text)
        if not text or text in (UNFINISHED_ANSWER, UNFINISHED_HEAD):
            await asyncio.sleep(2 * STAY)

    return respond


CHUNK = b"1000\r\n%b\r\n" % (b"x" * 0x1000)
LENGTH, LONG_LENGTH, SHORT_LENGTH = (f"Content-Length: {size}" for size in (KEPT_SIZE, LONG_SIZE, 2))
BODY, LONG_BODY = b"x" * KEPT_SIZE, b"x" * LONG_SIZE
UNFINISHED_ANSWER = b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % LENGTH.encode() + BODY[4_000:]
SHORT_FIELDS = b"GET / HTTP/1.1\r\n" + b"".join(b"%x:b\r\n" % number for number in range(3_500))
LONG_FIELD = b"content-type: " + b"x" * HEAD_SIZE
AHEAD = b"xx" + b"GET / HTTP/1.1\r\n\r\n" * SENT_AHEAD
UNFINISHED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: " + b"x" * 15_000
NO_ANSWER = respond_with(b"")
FORMS: dict[str, tuple[Client, Respond]] = {
    "slow bodies": (client_that_sends(lambda n: signature(n, LENGTH) + BODY, slowly=True), respond_at_once),
    "slow chunked bodies": (
        client_that_sends(lambda n: signature(n, CHUNKED) + CHUNK * 15 + b"0\r\n\r\n", slowly=True),
        respond_at_once),
    "bodies that stop": (client_that_sends(lambda n: signature(n, LENGTH) + BODY[14_000:]), respond_at_once),
    "bodies without an answer": (client_that_sends(lambda n: signature(n, LENGTH) + BODY), NO_ANSWER),
    "long bodies that are not read": (
        client_that_sends(lambda n: signature(n, LONG_LENGTH) + LONG_BODY), NO_ANSWER),
    "heads with a long field": (
        client_that_sends(lambda n: signature(n, SHORT_LENGTH)[:-2] + LONG_FIELD), respond_at_once),
    "heads with a long target": (client_that_sends(lambda n: b"GET /" + b"x" * HEAD_SIZE), respond_at_once),
    "heads of short fields": (client_that_sends(lambda n: SHORT_FIELDS), respond_at_once),
    "requests sent ahead": (client_that_sends(lambda n: signature(n, SHORT_LENGTH) + AHEAD), NO_ANSWER),
    "answers that stop": (
        client_that_sends(lambda n: signature(n, SHORT_LENGTH) + b"xx"), respond_with(UNFINISHED_ANSWER)),
    "heads of answers that stop": (
        client_that_sends(lambda n: signature(n, SHORT_LENGTH) + b"xx"), respond_with(UNFINISHED_HEAD)),
    "answers that are not read": (pipeline_unread, respond_with(response_bytes(200, BODY))),
    "long answers read slowly": (read_slowly, respond_with(response_bytes(200, LONG_BODY))),
}


@pytest.mark.parametrize("clients", [300, MOST_CLIENTS])
@pytest.mark.parametrize("form", FORMS)
def test_what_many_peers_hold_together_stays_within_the_memory_limit(
    form: str, clients: int, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        act, respond = FORMS[form]
        backends = ScriptedBackends(respond, read_bodies=respond is not NO_ANSWER)
        async with incident_bed(tmp_path, backends) as bed:
            watch, sound = MemoryWatch(bed), SoundClients(bed)
            await asyncio.gather(*(act(bed, number) for number in range(clients)))
            await sound.stop()
            assert bed.gateway.running
            assert (watch.stop() <= MEMORY_MB, sound.lost) == (True, 0), (watch.peak_mb, sound.losses)

    run(test)


@pytest.mark.parametrize("form", ["slow bodies", "bodies without an answer"])
def test_both_processes_of_an_upgrade_stay_within_the_memory_limit(
    form: str, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        act, respond = FORMS[form]
        backends = ScriptedBackends(respond, read_bodies=respond is not NO_ANSWER)
        deployment = replace(LEAST_LIMITS, memory_mb=UPGRADE_MEMORY_MB)
        async with incident_bed(tmp_path, backends, deployment) as bed:
            before = [asyncio.ensure_future(act(bed, number)) for number in range(200)]
            await asyncio.sleep(1.5)
            watch = MemoryWatch(bed)
            successor = GatewayProcess(0, bed.folder / "gateway", bed.configuration(), port=bed.gateway.port)
            await successor.start()
            after = [asyncio.ensure_future(act(bed, 1_000 + number)) for number in range(200)]
            peak_of_successor = 0.0
            while not all(task.done() for task in before):
                peak_of_successor = max(peak_of_successor, anonymous_memory_mb(bed, successor))
                await asyncio.sleep(WRITE_INTERVAL)
            assert watch.stop() + peak_of_successor <= UPGRADE_MEMORY_MB
            await asyncio.gather(*after)
            assert successor.child is not None and successor.running
            successor.child.kill()
            await successor.wait()

    run(test)


class EndlessCounter(CounterPeer):
    """A counter whose reply never ends."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_counter_call(reader)
        writer.write(b"$400000000\r\n")
        while True:
            writer.write(LONG_BODY)
            await writer.drain()


def test_a_reply_of_the_counter_that_never_ends_stays_within_the_memory_limit(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        counter = EndlessCounter()
        await counter.start()
        deployment = replace(LEAST_LIMITS, configured_gateways=2, rate=2.0, burst=4.0)
        async with incident_bed(tmp_path, deployment=deployment, counter=counter.address) as bed:
            watch, sound = MemoryWatch(bed), SoundClients(bed, spread=2)
            await asyncio.sleep(STAY)
            await sound.stop()
            assert counter.connections
            assert (watch.stop() <= MEMORY_MB, sound.lost) == (True, 0), (watch.peak_mb, sound.losses)
        await counter.stop()

    run(test)
