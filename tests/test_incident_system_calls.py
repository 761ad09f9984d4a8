"""Incident of 2026-12: failing system calls must neither lose requests nor block the loop."""

from __future__ import annotations

import asyncio
import builtins
import errno
import pathlib
import socket
import time
from typing import Any

import pytest

from embersill.net.clients import ACCEPT_RETRY_INTERVAL, MAX_ACCEPT_FAILURES
from tests.bed import Bed, request, roomy_settings, run, running, with_bed


class FailingListener:
    """A listening socket whose accept fails a number of times."""

    def __init__(self, real: socket.socket, error: int, times: float) -> None:
        self.real, self.error, self.remaining, self.tries = real, error, times, 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.tries += 1
        if self.remaining > 0:
            self.remaining -= 1
            raise OSError(self.error, "planted")
        return self.real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


class FailingLoop:
    """An event loop of which one method fails a number of times."""

    def __init__(self, real: asyncio.AbstractEventLoop, call: str, error: int, times: int) -> None:
        self.real, self.call, self.error, self.remaining, self.tries = real, call, error, times, 0

    async def fail(self, *arguments: Any, **more: Any) -> Any:
        self.tries += 1
        if self.remaining > 0:
            self.remaining -= 1
            raise OSError(self.error, "planted")
        return await getattr(self.real, self.call)(*arguments, **more)

    def __getattr__(self, name: str) -> Any:
        return self.fail if name == self.call else getattr(self.real, name)


@pytest.mark.parametrize(
    "error", [errno.EINVAL, errno.EPERM, errno.ENETDOWN, errno.EMFILE, errno.ECONNABORTED]
)
def test_an_accept_that_keeps_failing_does_not_block_the_loop(error: int) -> None:
    async def test(bed: Bed) -> None:
        server, client = bed.program.front, await bed.client()
        assert (await client.ask(request(1)))[0] == 200
        assert server.listener is not None
        failing = FailingListener(server.listener, error, float("inf"))
        server.listener = failing  # type: ignore[assignment]
        waiting, started_at = await bed.client(), time.monotonic()
        waiting.send(request(2))
        for number in range(3, 40):
            assert (await client.ask(request(number)))[0] == 200
            await asyncio.sleep(0.005)
        elapsed = time.monotonic() - started_at
        assert 0 < failing.tries <= MAX_ACCEPT_FAILURES * (elapsed / ACCEPT_RETRY_INTERVAL + 2)
        failing.remaining = 0
        assert (await waiting.answer())[0] == 200  # the waiting connection is served

    with_bed(test)


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EHOSTUNREACH, errno.EPROTO, errno.ENFILE])
def test_clients_are_accepted_after_one_that_has_disconnected(error: int) -> None:
    async def test(bed: Bed) -> None:
        server = bed.program.front
        assert server.listener is not None
        server.listener = FailingListener(server.listener, error, 3)  # type: ignore[assignment]
        assert (await (await bed.client()).ask(request(1)))[0] == 200

    with_bed(test)


@pytest.mark.parametrize("error", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENFILE])
def test_a_connect_to_a_backend_is_retried_after_a_transient_error(error: int) -> None:
    async def test(bed: Bed) -> None:
        dialer = bed.program.dialer
        dialer.loop = failing = FailingLoop(dialer.loop, "create_connection", error, 2)  # type: ignore[assignment]
        assert (await (await bed.client()).ask(request(1)))[0] == 200
        assert failing.tries == 3 and len(bed.seen()) == 1
        # no failures of theirs
        assert all(s.failure_score == 0 for s in bed.program.driver.gateway.servers.values())

    with_bed(test)


def test_a_request_is_answered_if_no_connect_succeeds() -> None:
    async def test(bed: Bed) -> None:
        dialer = bed.program.dialer
        dialer.loop = FailingLoop(  # type: ignore[assignment]
            dialer.loop, "create_connection", errno.ENETUNREACH, 1000
        )
        status, headers, _ = await (await bed.client()).ask(request(1))
        assert status == 429 and float(headers["retry-after"]) > 0 and not bed.seen()

    with_bed(test)


def test_a_request_is_answered_if_its_connection_cannot_be_set_up() -> None:
    async def test(bed: Bed) -> None:
        server = bed.program.front
        server.loop = FailingLoop(  # type: ignore[assignment]
            server.loop, "connect_accepted_socket", errno.ENOBUFS, 1
        )
        client = await bed.client()
        client.send(request(1))
        status, headers, _ = await client.answer()
        assert status == 503 and headers["connection"] == "close" and not bed.seen()
        assert (await (await bed.client()).ask(request(2)))[0] == 200

    with_bed(test)


def fail_writes(monkeypatch: pytest.MonkeyPatch, error: int) -> None:
    """Makes each opening of a file for writing fail in the hand-over."""
    def opened(file: Any, mode: str = "r", **more: Any) -> Any:
        if isinstance(file, str) and "w" in mode:
            raise OSError(error, "planted")
        return builtins.open(file, mode, **more)

    monkeypatch.setattr("embersill.net.handover.open", opened, raising=False)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_suspensions_and_levels_are_handed_over_if_the_state_cannot_be_written(
    error: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        env["packages"][0].update(peak_units=16.0, units_per_s=0.001)
        async with running(backends=2, env=env, folder=folder) as bed:
            client = await bed.client()
            assert (await client.ask(request(1, units="8")))[0] == 200
            fail_writes(monkeypatch, error)
            assert (await bed.console(b"SUSPEND b1\n")).startswith("done ")
            second = await bed.successor(env, folder)
            assert bed.program.handover.handed_over
            assert second.driver.gateway.suspended == {"b1"}
            assert next(iter(second.driver.gateway.throttles.values())).quota_level < 8.0
            await second.stop(0.0, 0.0)

    run(test)


def test_suspensions_are_written_once_the_directory_is_writable_again(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running(backends=2, folder=str(tmp_path)) as bed:
            with monkeypatch.context() as full:
                fail_writes(full, errno.ENOSPC)
                assert (await bed.console(b"SUSPEND b1\n")).startswith("done ")
                assert not bed.program.handover.read_state()
            async with asyncio.timeout(5.0):
                while bed.program.handover.read_state().get("banned") != ["b1"]:
                    await asyncio.sleep(0.02)

    run(test)


@pytest.mark.parametrize("backlog", [1024, 128])  # of the client listener and of the console
def test_listening_is_retried_at_startup(backlog: int, monkeypatch: pytest.MonkeyPatch) -> None:
    tries = 0
    real = socket.socket.listen

    def listen(self: socket.socket, waiting: int = 0) -> None:
        nonlocal tries
        tries += waiting == backlog
        if waiting == backlog and tries <= 2:
            raise OSError(errno.ENOBUFS, "planted")
        real(self, waiting)

    monkeypatch.setattr("embersill.net.listening.socket.socket.listen", listen)

    async def test() -> None:
        async with running() as bed:
            assert (await (await bed.client()).ask(request(1)))[0] == 200
            assert (await bed.console(b"STATUS\n")).startswith("done ")

    run(test)
    assert tries == 3
