"""Incident of 2026-12: peers that send in small pieces took a gateway over its memory limit.

Guards against holding one object for each piece of what arrives: 64 sound signatures of 60 kB, two bytes to a
chunk, took 1.8 MB each, and the gateway was killed within 0.6 s (review, case 2).
"""

from __future__ import annotations

import asyncio
import pathlib
import socket
import time
from collections.abc import Callable
from math import inf

import pytest

from embersill.lab.peers import HOST, Peer, read_message
from embersill.lab.soak.deployment import Deployment
from embersill.net.bodies import STREAMING_THRESHOLD
from tests.bed import run
from tests.peers import SOON
from tests.soak_bed import CHUNKED, LOOKUP, SIGNATURE, SoakBed, signature_head, soak_bed

# the least limits of the operators' terms; clients hold at most a third of the descriptors for requests
MEMORY_MB, SOCKETS = 32, 256
CLIENTS = SOCKETS // 3
PIECES = [1, 2, 7, 100]  # bytes
KEPT_SIZE = 60_000  # bytes of a body below STREAMING_THRESHOLD
STREAMED_SIZE = STREAMING_THRESHOLD + 10_000  # bytes
HEAD_SIZE = 31_000  # bytes, below the limit on a head
LONG_HEADERS = 800  # requests, each with a header of nearly HEAD_SIZE bytes
SENT_AHEAD = 60_000  # bytes of requests
ANSWER_SIZE = 60_000  # bytes
BLOCK_SIZE = 16_384  # bytes written at a time
NOT_READ_AFTER = 1.0  # seconds after which the rest is not written
WATCH_INTERVAL = 0.02  # seconds between looks at the gateway's memory
IDLE_TIME = 0.4  # seconds in which the gateway uses hardly any processor time once it has read all
IDLE_SHARE = 0.2  # of the processor, below which the gateway counts as idle

DEPLOYMENT = Deployment(
    1, (LOOKUP, SIGNATURE), rate=1000.0, burst=1000.0, dial_timeout=5.0, memory_mb=MEMORY_MB, sockets=SOCKETS)


class AnswerPeer(Peer):
    """A backend that answers each request with `answer` at once, but none to the class `lookup`."""

    def __init__(self, answer: bytes) -> None:
        super().__init__()
        self.answer = answer

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            if first.startswith("POST"):
                writer.write(self.answer)


class UnreachablePeer:
    """A backend to which no connection comes up, as its queue of connections is full."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0), backlog=0)
        self.queued = [socket.socket() for _ in range(4)]
        for queued in self.queued:
            queued.setblocking(False)
            queued.connect_ex(self.listener.getsockname())
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"

    def close(self) -> None:
        for sock in (self.listener, *self.queued):
            sock.close()


def chunks(size: int, piece: int) -> bytes:
    """A body of `size` bytes in chunks of `piece` bytes, without its end."""
    return (b"%x\r\n%b\r\n" % (piece, b"x" * piece)) * (size // piece)


def anonymous_memory_mb(bed: SoakBed) -> float:
    """The gateway's memory without its files and libraries (RssAnon)."""
    assert bed.gateway.child is not None
    status = pathlib.Path(f"/proc/{bed.gateway.child.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("RssAnon"))
    return int(line.split()[1]) / 1024.0


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes in blocks, each once the kernel has taken most of the last one, until nothing more is read."""
    try:
        for first in range(0, len(data), BLOCK_SIZE):
            writer.write(data[first : first + BLOCK_SIZE])
            async with asyncio.timeout(NOT_READ_AFTER):
                await writer.drain()
    except TimeoutError:
        pass


async def peak_memory_mb(bed: SoakBed, data: Callable[[int], bytes]) -> float:
    """The gateway's peak while each of CLIENTS connections sends its data, until it has no more to do."""
    connections = [await bed.connect() for _ in range(CLIENTS)]
    sending = asyncio.gather(*(send(c[1], data(number)) for number, c in enumerate(connections)))
    peak, processor_seconds, idle_since = 0.0, 0.0, inf
    async with asyncio.timeout(3 * SOON):
        while time.monotonic() - idle_since < IDLE_TIME:
            peak = max(peak, anonymous_memory_mb(bed))
            await asyncio.sleep(WATCH_INTERVAL)
            used = bed.gateway.processor_seconds()
            if used > processor_seconds + IDLE_SHARE * IDLE_TIME or not sending.done():
                processor_seconds, idle_since = used, time.monotonic()
    for _, writer in connections:
        writer.transport.abort()
    assert bed.gateway.running
    return peak


async def list_only(bed: SoakBed, address: str) -> None:
    """Moves all backends in the list to this address."""
    bed.agent.apply_changes([{**bed.entry(name), "hostPort": address} for name in bed.names])
    await asyncio.sleep(IDLE_TIME)


@pytest.mark.parametrize("piece", PIECES)
def test_bodies_that_are_kept_stay_within_the_memory_limit(piece: int, tmp_path: pathlib.Path) -> None:
    """Bodies up to 64 KiB are kept until they are complete, and for retries."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4, DEPLOYMENT) as bed:
            body = chunks(KEPT_SIZE, piece)
            peak = await peak_memory_mb(bed, lambda n: signature_head(f"sign-{n}", CHUNKED) + body)
            assert peak <= MEMORY_MB

    run(test)


@pytest.mark.parametrize("piece", PIECES)
def test_bodies_that_are_streamed_stay_within_the_memory_limit(piece: int, tmp_path: pathlib.Path) -> None:
    """What was received of a longer body waits for a connection to a backend."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4, DEPLOYMENT) as bed:
            unreachable = UnreachablePeer()
            await list_only(bed, unreachable.address)
            body = chunks(STREAMED_SIZE, piece)
            peak = await peak_memory_mb(bed, lambda n: signature_head(f"sign-{n}", CHUNKED) + body)
            assert peak <= MEMORY_MB
            unreachable.close()

    run(test)


SHORT_LINES = {
    "different names": b"".join(b"%x:\r\n" % number for number in range(HEAD_SIZE // 6)),
    "different names with values": b"".join(b"%x:b\r\n" % number for number in range(HEAD_SIZE // 7)),
    "framing": b"transfer-encoding:x\r\n" * (HEAD_SIZE // 21),
    "known names": b"host:b\r\n" * (HEAD_SIZE // 8),
}


@pytest.mark.parametrize("lines", SHORT_LINES.values(), ids=SHORT_LINES.keys())
def test_unfinished_heads_stay_within_the_memory_limit(lines: bytes, tmp_path: pathlib.Path) -> None:
    """Heads of many short lines, most of which the gateway has no use for."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4, DEPLOYMENT) as bed:
            assert await peak_memory_mb(bed, lambda n: b"GET / HTTP/1.1\r\n" + lines) <= MEMORY_MB

    run(test)


def test_requests_sent_ahead_stay_within_the_memory_limit(tmp_path: pathlib.Path) -> None:
    """Short requests behind one whose answer takes long."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4, DEPLOYMENT) as bed:
            peer = AnswerPeer(b"")
            await peer.start()
            await list_only(bed, peer.address)
            ahead = b"GET / HTTP/1.1\r\n\r\n" * (SENT_AHEAD // 18)
            assert await peak_memory_mb(bed, lambda n: bed.make_request(f"slow-{n}") + ahead) <= MEMORY_MB
            await peer.stop()

    run(test)


@pytest.mark.parametrize("piece", PIECES)
@pytest.mark.parametrize("behind_another", [False, True], ids=["kept", "sent ahead"])
def test_answers_stay_within_the_memory_limit(
    behind_another: bool, piece: int, tmp_path: pathlib.Path
) -> None:
    """Answers in short chunks; clients read nothing, or the answer to an earlier request is missing."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4, DEPLOYMENT) as bed:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            peer = AnswerPeer(head + chunks(ANSWER_SIZE, piece))
            await peer.start()
            await list_only(bed, peer.address)

            def requests(number: int) -> bytes:
                first = bed.make_request(f"slow-{number}") if behind_another else b""
                return first + signature_head(f"sign-{number}", "Content-Length: 2") + b"xx"

            assert await peak_memory_mb(bed, requests) <= MEMORY_MB
            await peer.stop()

    run(test)


def test_long_quota_headers_are_not_held_after_their_requests(tmp_path: pathlib.Path) -> None:
    """The cache of parsed headers held 4,096 of them, whatever their length: up to 128 MB."""

    async def test() -> None:
        async with soak_bed(tmp_path, 4, DEPLOYMENT) as bed:
            for model in bed.backends.models.values():
                model.mean_work_time = 0.001
            reader, writer = await bed.connect()
            for number in range(LONG_HEADERS):
                field = f"first=0,x={number:0{HEAD_SIZE - 1_000}}"
                writer.write(bed.make_request(f"long-{number}").replace(b"first=0", field.encode()))
                await read_message(reader)
            assert anonymous_memory_mb(bed) <= MEMORY_MB
            writer.close()

    run(test)
