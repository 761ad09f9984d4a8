"""Incident of 2026-12: requests that lay unread when their client closed were sent afterwards."""

from __future__ import annotations

import asyncio
import pathlib
import socket
import struct
import time
from contextlib import suppress
from dataclasses import replace

import pytest

from embersill.lab.peers import HOST, response_bytes
from tests.bed import run
from tests.incident_bed import LEAST_LIMITS, ScriptedBackends, incident_bed
from tests.soak_bed import signature_head

WORK = 0.3  # seconds that a backend takes
READ_TIME = 0.05  # least seconds in which the gateway reads before the close
POLL_INTERVAL = 0.005  # seconds
WATCHED = 2.0  # seconds after the close
MAX_DELAY = 0.1 + 0.05  # seconds from a client's close until which an attempt may begin, with the slack


def write_what_is_accepted(sock: socket.socket, data: bytes) -> None:
    """Writes all that the kernels accept, so that nothing is held back in this process."""
    sock.setblocking(False)
    with suppress(BlockingIOError):
        while data:
            data = data[sock.send(data) :]


def leave(sock: socket.socket, how: str) -> None:
    """Ends the connection with a close or a reset."""
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
) -> None:
    await asyncio.sleep(WORK)
    writer.write(response_bytes(200, b"served"))


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize(("rate", "burst"), [(1000.0, 2000.0), (20.0, 4.0)], ids=["in quota", "held"])
@pytest.mark.parametrize(("requests", "size"), [(60, 2), (60, 30_000), (1_000, 2), (200, 5_000)])
def test_nothing_is_sent_after_its_client_has_closed(
    requests: int, size: int, rate: float, burst: float, ending: str, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        backends = ScriptedBackends(respond)
        deployment = replace(LEAST_LIMITS, rate=rate, burst=burst)
        async with incident_bed(tmp_path, backends, deployment) as bed:
            data = b"".join(
                signature_head(f"unread-{number}", f"Content-Length: {size}") + b"x" * size
                for number in range(requests))
            sock = socket.create_connection((HOST, bed.gateway.port))
            await asyncio.get_running_loop().run_in_executor(None, write_what_is_accepted, sock, data)
            await asyncio.sleep(READ_TIME)
            while not backends.attempts:  # a gateway that is held up has read nothing yet
                await asyncio.sleep(POLL_INTERVAL)
            leave(sock, ending)
            closed = time.monotonic()
            await asyncio.sleep(WATCHED)
            late = [attempt.at - closed for attempt in backends.attempts if attempt.at > closed + MAX_DELAY]
            assert backends.attempts and not late

    run(test)
