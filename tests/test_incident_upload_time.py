"""Incident of 2026-12: requests with long bodies were answered seconds after their time.

Guards against counting a request's time from the gateway's read of its last byte. While a backend takes
nothing, the gateway does not read, and the last byte waits in the kernel of its host or the client's: seven
requests of 4.5 to 7 MB with a time of 5 s were answered 8 to 11 s after that (review, case 3).
"""

from __future__ import annotations

import asyncio
import pathlib
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from embersill.lab.peers import HOST, read_message, response_bytes
from embersill.lab.soak.deployment import Deployment
from embersill.net.memory import MAX_PIPELINED
from tests.bed import run
from tests.peers import SOON
from tests.soak_bed import CHUNKED, LOOKUP, SIGNATURE, SoakBed, signature_head, soak_bed

BUDGET = 1.5  # seconds
LATE = 0.5 + 0.05  # seconds after its time until which an answer only earns nothing, and the slack on sockets
BUDGET_BELOW_AIM = 1.9  # seconds, as the aim limits the budget sent too
SLACK = 0.15  # seconds by which the budget sent to a backend may exceed what the client has left
RECEIVE_BUFFER = 256 * 1024  # bytes of the backends' kernel
MB = 1024 * 1024
BLOCK_SIZE = 64 * 1024  # bytes of a chunk, and of what a client writes at a time
SLOW_RATE = 64_000  # bytes per second, at which clients may send
READ_INTERVAL = 0.05  # seconds between reads of a slow backend

DEPLOYMENT = Deployment(1, (LOOKUP, SIGNATURE), rate=1000.0, burst=1000.0)


class StoppableBackend:
    """A backend that reads nothing while it is stopped, and otherwise at `rate` bytes per second."""

    def __init__(self, rate: float = float("inf")) -> None:
        self.rate, self.running = rate, asyncio.Event()
        self.address = ""
        self.budgets: dict[str, tuple[float, float]] = {}  # by call id: when it came, and its X-Budget
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listener.bind((HOST, 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=1024)
        self.address = f"{HOST}:{listener.getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        paced = asyncio.StreamReader(limit=2**20)
        passing = asyncio.create_task(self.pass_on(reader, paced))
        try:
            while True:
                _, headers, _ = await read_message(paced)
                self.budgets[headers["x-call-id"]] = time.monotonic(), float(headers["x-budget"])
                writer.write(response_bytes(200, b"served"))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            passing.cancel()
            writer.close()

    async def pass_on(self, reader: asyncio.StreamReader, paced: asyncio.StreamReader) -> None:
        """Reads from the socket at the backend's rate."""
        while True:
            await self.running.wait()
            data = await reader.read(int(min(self.rate * READ_INTERVAL, 2**20)))
            if not data:
                return paced.feed_eof()
            paced.feed_data(data)
            if self.rate < float("inf"):
                await asyncio.sleep(len(data) / self.rate)


@asynccontextmanager
async def bed_with(backend: StoppableBackend, folder: pathlib.Path) -> AsyncIterator[SoakBed]:
    """A gateway with this backend only."""
    await backend.start()
    async with soak_bed(folder, 1, DEPLOYMENT) as bed:
        bed.agent.apply_changes([{**bed.entry(name), "hostPort": backend.address} for name in bed.names])
        await asyncio.sleep(0.3)
        yield bed
        assert backend.server is not None
        backend.server.close()


def signature(framing: str, size: int) -> tuple[bytes, list[bytes]]:
    """The head of a signature, and its body in blocks."""
    blocks = [b"x" * min(BLOCK_SIZE, size - first) for first in range(0, size, BLOCK_SIZE)]
    if framing == "length":
        return signature_head("sign", f"Content-Length: {size}", BUDGET), blocks
    blocks = [b"%x\r\n%b\r\n" % (len(block), block) for block in blocks]
    blocks[-1] += b"0\r\n\r\n"
    return signature_head("sign", CHUNKED, BUDGET), blocks


async def connect(bed: SoakBed) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, bed.gateway.port))
    return sock


async def status_of(sock: socket.socket) -> int:
    """The status of the answer that comes on the socket."""
    data = b""
    while b"\r\n" not in data:
        received = await asyncio.get_running_loop().sock_recv(sock, BLOCK_SIZE)
        assert received, "closed without an answer"
        data += received
    return int(data.split()[1])


@pytest.mark.parametrize("size", [3 * MB, 5 * MB, 7 * MB])
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("rate", [0.0, 200_000.0, 800_000.0], ids=["stopped", "slow", "less slow"])
def test_a_request_is_answered_in_time_from_its_clients_last_byte(
    rate: float, framing: str, size: int, tmp_path: pathlib.Path
) -> None:
    """At a backend that reads nothing, or so slowly that the body can't come whole in time."""

    async def test() -> None:
        backend = StoppableBackend(rate)
        if rate:
            backend.running.set()
        async with bed_with(backend, tmp_path) as bed:
            sock = await connect(bed)
            head, blocks = signature(framing, size)
            async with asyncio.timeout(SOON):
                await asyncio.get_running_loop().sock_sendall(sock, head + b"".join(blocks))
                written = time.monotonic()
                await status_of(sock)
            assert time.monotonic() - written <= BUDGET + LATE
            sock.close()

    run(test)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_client_that_sends_slowly_is_not_cut_off_after_a_stop_of_its_backend(
    framing: str, tmp_path: pathlib.Path
) -> None:
    """The time does not run while the client still writes, once what had waited is read."""

    async def test() -> None:
        backend = StoppableBackend()
        async with bed_with(backend, tmp_path) as bed:
            sock, loop = await connect(bed), asyncio.get_running_loop()
            head, blocks = signature(framing, 8 * MB)
            fast, slow = blocks[:-4], blocks[-4:]
            loop.call_later(BUDGET / 2, backend.running.set)
            async with asyncio.timeout(2 * SOON):
                await loop.sock_sendall(sock, head + b"".join(fast))
                for block in slow:  # takes longer than the budget
                    await asyncio.sleep(len(block) / SLOW_RATE)
                    await loop.sock_sendall(sock, block)
                assert await status_of(sock) == 200
            sock.close()

    run(test)


def test_each_request_that_waits_in_the_kernel_has_its_own_time(tmp_path: pathlib.Path) -> None:
    """The kernel tells when the last bytes arrived only: an earlier request had the time of a later one."""
    wait = 0.8  # seconds between two requests that wait behind earlier ones

    async def test() -> None:
        async with soak_bed(tmp_path, 4) as bed:
            for model in bed.backends.models.values():
                model.mean_work_time = 2.0 * wait
            reader, writer = await bed.connect()
            first = [f"first-{number}" for number in range(MAX_PIPELINED + 1)]
            writer.write(b"".join(bed.make_request(call_id) for call_id in first))
            await asyncio.sleep(0.2)
            written = {}
            for call_id in ("early", "late"):
                written[call_id] = time.monotonic()
                writer.write(bed.make_request(call_id, budget=BUDGET_BELOW_AIM))
                await asyncio.sleep(wait)
            async with asyncio.timeout(SOON):
                for _ in (*first, *written):
                    await read_message(reader)
            for call_id, time_written in written.items():
                for attempt in bed.requests[call_id].attempts:
                    assert attempt.budget <= time_written + BUDGET_BELOW_AIM - attempt.received_at + SLACK
            assert bed.requests["early"].attempts or bed.requests["late"].attempts
            writer.close()

    run(test)
