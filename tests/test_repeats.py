"""Repeats keep to their class and window at the sockets too: what waits past the window is never written."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from embersill.interface import Outcome
from embersill.lab.peers import Asked, message
from embersill.net.backends import AttemptResult, Attempt, BackendConnection, Dialer
from embersill.net.bodies import ended_unread
from embersill.net.pool import Address, Pool
from tests.bed import Bed, request, roomy_settings, run, running
from tests.peers import SOON

WINDOW = 0.4


def keyed_settings(window: float = WINDOW, semantics: str = "by_key") -> dict[str, Any]:
    """The keyed class with a short window; its time is long, so that only the window binds."""
    env = roomy_settings()
    service = next(s for s in env["services"] if s["name"] == "report")
    service.update(memory_span=1000.0 * window, aim=30_000.0, deadline=60_000.0, semantics=semantics)
    env["limits"]["dial_timeout"] = 10_000.0
    return env


def keyed(number: int) -> bytes:
    return request(number, "report", budget=20.0)


async def fail(writer: asyncio.StreamWriter, asked: Asked) -> None:
    """Wherever the repeat goes, it needs a connection of its own."""
    writer.write(message(500, b"", "Connection: close"))


def out_at(bed: Bed) -> int:
    return len(bed.seen())


def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running(2, env=keyed_settings()) as bed:
            for backend in bed.backends:
                backend.script = [fail]
            connect, dialled = Dialer.connect, 0

            async def late(self: Dialer, made: BackendConnection, address: Address) -> None:
                nonlocal dialled
                dialled += 1
                if dialled > 1:
                    await asyncio.sleep(2 * WINDOW)
                await connect(self, made, address)

            monkeypatch.setattr(Dialer, "connect", late)
            client = await bed.client()
            status, _, _ = await client.ask(keyed(1))
            # a timer that is early by a millisecond leaves time for a third, which ends with the window
            assert status in (429, 502) and dialled >= 2
            await asyncio.sleep(2 * WINDOW)  # the connection is up
            assert out_at(bed) == 1

    run(test)


def test_a_repeat_in_line_behind_another_is_given_up_at_the_windows_end() -> None:
    async def test() -> None:
        async with running(1, env=keyed_settings()) as bed:
            free = asyncio.Event()

            async def hold(writer: asyncio.StreamWriter, asked: Asked) -> None:
                await free.wait()
                writer.write(message(200, b"served"))

            async def fail_when_others_wait(writer: asyncio.StreamWriter, asked: Asked) -> None:
                bed.program.dialer.pool.max_connections = 1
                other.send(request(2, budget=20.0))
                while not any(p.waiting for p in bed.program.dialer.pool.backends.values()):
                    await asyncio.sleep(0)
                writer.write(message(500, b""))

            client, other = await bed.client(), await bed.client()
            bed.backends[0].script = [fail_when_others_wait, hold]
            status, _, _ = await client.ask(keyed(1))
            assert status in (429, 502) and out_at(bed) == 2
            free.set()
            assert (await other.answer())[0] == 200
            assert out_at(bed) == 2

    run(test)


def test_a_connection_that_comes_up_between_the_windows_end_and_its_timer_writes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running(1, env=keyed_settings(window=5.0)) as bed:
            bed.backends[0].script = [fail]
            carry, clock = BackendConnection.send, bed.program.dialer.pool.clock

            def late(self: BackendConnection, attempt: Any, wait: float) -> None:
                if out_at(bed):
                    self.pool.clock = lambda: clock() + 5.0  # the loop was busy: the timer has not run yet
                carry(self, attempt, wait)

            monkeypatch.setattr(BackendConnection, "send", late)
            status, _, _ = await (await bed.client()).ask(keyed(1))
            assert status in (429, 502) and out_at(bed) == 1

    run(test)


def test_a_request_that_is_not_written_whole_when_the_window_ends_never_ran() -> None:
    async def test() -> None:
        async with running(1, env=keyed_settings()) as bed:
            peer, ends = bed.backends[0], list[AttemptResult]()
            client = await bed.client()
            peer.script = [lambda writer, asked: writer.write(message(200, b""))]
            assert (await client.ask(request(1)))[0] == 200
            pool: Pool = bed.program.dialer.pool
            link = next(link for link in pool.connections if isinstance(link, BackendConnection))
            link.write_pending = True  # the kernel has not taken what was written before
            link.transport.pause_reading()  # type: ignore[union-attr]
            now = pool.clock()
            attempt = Attempt("b0", b"GET / HTTP/1.1\r\n", b"", now, now + SOON, lambda _, a: ends.append(a),
                              lambda *_: None, None, now + 0.05)
            bed.program.dialer.start(attempt)
            while not ends:
                await asyncio.sleep(0.005)
            assert ends[0].outcome is Outcome.NO_CONNECTION

    run(test)


@pytest.mark.parametrize("end", ["error", "reset", "no answer"])
def test_an_unsafe_request_that_may_have_run_is_not_repeated(end: str) -> None:
    async def test() -> None:
        async with running(2, env=roomy_settings()) as bed:
            async def ends(writer: asyncio.StreamWriter, asked: Asked) -> None:
                if end == "error":
                    writer.write(message(500, b""))
                elif end == "reset":
                    writer.transport.abort()

            for backend in bed.backends:
                backend.script = [ends]
            client = await bed.client()
            status, headers, _ = await client.ask(request(1, "extract", budget=1.0))
            assert status in (502, 504) and "retry-after" not in headers and out_at(bed) == 1

    run(test)


@pytest.mark.parametrize("text", [b"rubbish\r\n\r\n", b"HTTP/1.1 200 X\r\nContent-Length: x\r\n\r\n"])
def test_the_attempt_before_has_ended_when_the_next_is_written(text: bytes) -> None:
    """Two attempts are never out at once, also not for as long as a close takes."""
    async def test() -> None:
        async with running(2) as bed:
            first: list[asyncio.StreamWriter] = []
            ended: list[bool] = []

            async def garbled(writer: asyncio.StreamWriter, asked: Asked) -> None:
                if not first:
                    first.append(writer)
                    writer.write(text)
                else:
                    sock = first[0].get_extra_info("socket")
                    ended.append(sock is None or bool(ended_unread([sock.fileno()])))
                    writer.write(message(200, b"served"))

            for backend in bed.backends:
                backend.script = [garbled, garbled]
            assert (await (await bed.client()).ask(request(1)))[0] == 200
            assert ended == [True]

    run(test)
