"""Retries obey their class and window at the sockets: after the window nothing is written."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from embersill.interface import Outcome
from embersill.lab.peers import HttpMessage, response_bytes
from embersill.net.backends import AttemptResult, Attempt, BackendConnection, Dialer
from embersill.net.bodies import closed_by_peer
from embersill.net.pool import Address, Pool
from tests.bed import Bed, request, roomy_settings, run, running
from tests.peers import SOON

WINDOW = 0.4


def keyed_settings(window: float = WINDOW, semantics: str = "by_key") -> dict[str, Any]:
    """The keyed class with a short window and a long deadline, so that only the window limits retries."""
    env = roomy_settings()
    service = next(s for s in env["services"] if s["name"] == "report")
    service.update(memory_span=1000.0 * window, aim=30_000.0, deadline=60_000.0, semantics=semantics)
    env["limits"]["dial_timeout"] = 10_000.0
    return env


def keyed(number: int) -> bytes:
    return request(number, "report", budget=20.0)


async def fail(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
    """Fails and closes the connection, so that a retry needs a new one at any backend."""
    writer.write(response_bytes(500, b"", "Connection: close"))


def attempts_received(bed: Bed) -> int:
    return len(bed.seen())


def test_a_retry_that_connects_after_the_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running(2, env=keyed_settings()) as bed:
            for backend in bed.backends:
                backend.script = [fail]
            connect, connects = Dialer.connect, 0

            async def delayed(self: Dialer, connection: BackendConnection, address: Address) -> None:
                nonlocal connects
                connects += 1
                if connects > 1:
                    await asyncio.sleep(2 * WINDOW)
                await connect(self, connection, address)

            monkeypatch.setattr(Dialer, "connect", delayed)
            client = await bed.client()
            status, _, _ = await client.ask(keyed(1))
            # if a timer is a millisecond early, there is time for a third attempt, which ends with the window
            assert status in (429, 502) and connects >= 2
            await asyncio.sleep(2 * WINDOW)  # the connection is open by now
            assert attempts_received(bed) == 1

    run(test)


def test_a_retry_queued_for_a_connection_ends_with_the_window() -> None:
    async def test() -> None:
        async with running(1, env=keyed_settings()) as bed:
            free = asyncio.Event()

            async def hold(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                await free.wait()
                writer.write(response_bytes(200, b"served"))

            async def fail_when_others_wait(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                bed.program.dialer.pool.max_connections = 1
                other.send(request(2, budget=20.0))
                while not any(p.waiting for p in bed.program.dialer.pool.backends.values()):
                    await asyncio.sleep(0)
                writer.write(response_bytes(500, b""))

            client, other = await bed.client(), await bed.client()
            bed.backends[0].script = [fail_when_others_wait, hold]
            status, _, _ = await client.ask(keyed(1))
            assert status in (429, 502) and attempts_received(bed) == 2
            free.set()
            assert (await other.answer())[0] == 200
            assert attempts_received(bed) == 2

    run(test)


def test_a_connection_that_opens_between_the_windows_end_and_its_timer_writes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running(1, env=keyed_settings(window=5.0)) as bed:
            bed.backends[0].script = [fail]
            send, clock = BackendConnection.send, bed.program.dialer.pool.clock

            def delayed(self: BackendConnection, attempt: Any, wait: float) -> None:
                if attempts_received(bed):
                    # as if the event loop was blocked: the timer has not run yet
                    self.pool.clock = lambda: clock() + 5.0
                send(self, attempt, wait)

            monkeypatch.setattr(BackendConnection, "send", delayed)
            status, _, _ = await (await bed.client()).ask(keyed(1))
            assert status in (429, 502) and attempts_received(bed) == 1

    run(test)


def test_a_retry_that_is_partly_written_at_the_windows_end_never_ran() -> None:
    async def test() -> None:
        async with running(1, env=keyed_settings()) as bed:
            peer, ends = bed.backends[0], list[AttemptResult]()
            client = await bed.client()
            peer.script = [lambda writer, asked: writer.write(response_bytes(200, b""))]
            assert (await client.ask(request(1)))[0] == 200
            pool: Pool = bed.program.dialer.pool
            connection = next(c for c in pool.connections if isinstance(c, BackendConnection))
            connection.write_pending = True  # the kernel has not accepted earlier writes
            connection.transport.pause_reading()  # type: ignore[union-attr]
            now = pool.clock()
            attempt = Attempt("b0", b"GET / HTTP/1.1\r\n", b"", now, now + SOON, lambda _, a: ends.append(a),
                              lambda *_: None, None, now + 0.05)
            bed.program.dialer.start(attempt)
            while not ends:
                await asyncio.sleep(0.005)
            assert ends[0].outcome is Outcome.NO_CONNECTION

    run(test)


@pytest.mark.parametrize("end", ["error", "reset", "no answer"])
def test_an_unsafe_request_that_may_have_run_is_not_retried(end: str) -> None:
    async def test() -> None:
        async with running(2, env=roomy_settings()) as bed:
            async def ends(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                if end == "error":
                    writer.write(response_bytes(500, b""))
                elif end == "reset":
                    writer.transport.abort()

            for backend in bed.backends:
                backend.script = [ends]
            client = await bed.client()
            status, headers, _ = await client.ask(request(1, "extract", budget=1.0))
            assert status in (502, 504) and "retry-after" not in headers and attempts_received(bed) == 1

    run(test)


@pytest.mark.parametrize("text", [b"rubbish\r\n\r\n", b"HTTP/1.1 200 X\r\nContent-Length: x\r\n\r\n"])
def test_an_attempts_connection_is_closed_before_the_next_attempt_is_written(text: bytes) -> None:
    """Two attempts are never in flight together, not even for the time that a close takes."""
    async def test() -> None:
        async with running(2) as bed:
            first: list[asyncio.StreamWriter] = []
            ended: list[bool] = []

            async def malformed(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                if not first:
                    first.append(writer)
                    writer.write(text)
                else:
                    sock = first[0].get_extra_info("socket")
                    ended.append(sock is None or bool(closed_by_peer([sock.fileno()])))
                    writer.write(response_bytes(200, b"served"))

            for backend in bed.backends:
                backend.script = [malformed, malformed]
            assert (await (await bed.client()).ask(request(1)))[0] == 200
            assert ended == [True]

    run(test)
