"""Incident of 2026-12: system calls fail for a moment or for good, and nothing is lost or held up by that."""

from __future__ import annotations

import asyncio
import builtins
import errno
import pathlib
import socket
import time
from typing import Any

import pytest

from embersill.net.clients import ACCEPT_AGAIN, ACCEPT_FAILURES
from tests.bed import Bed, request, roomy_settings, run, running, with_bed


class FailingListener:
    """A listening socket whose accept fails so many times."""

    def __init__(self, real: socket.socket, error: int, times: float) -> None:
        self.real, self.error, self.left, self.tries = real, error, times, 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.tries += 1
        if self.left > 0:
            self.left -= 1
            raise OSError(self.error, "planted")
        return self.real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


class FailingLoop:
    """A loop one of whose calls fails so many times."""

    def __init__(self, real: asyncio.AbstractEventLoop, call: str, error: int, times: int) -> None:
        self.real, self.call, self.error, self.left, self.tries = real, call, error, times, 0

    async def fail(self, *arguments: Any, **more: Any) -> Any:
        self.tries += 1
        if self.left > 0:
            self.left -= 1
            raise OSError(self.error, "planted")
        return await getattr(self.real, self.call)(*arguments, **more)

    def __getattr__(self, name: str) -> Any:
        return self.fail if name == self.call else getattr(self.real, name)


@pytest.mark.parametrize(
    "error", [errno.EINVAL, errno.EPERM, errno.ENETDOWN, errno.EMFILE, errno.ECONNABORTED]
)
def test_an_accept_that_keeps_failing_does_not_hold_the_loop(error: int) -> None:
    async def test(bed: Bed) -> None:
        front, client = bed.program.front, await bed.client()
        assert (await client.ask(request(1)))[0] == 200
        assert front.listener is not None
        failing = FailingListener(front.listener, error, float("inf"))
        front.listener = failing  # type: ignore[assignment]
        waiting, began = await bed.client(), time.monotonic()
        waiting.send(request(2))
        for number in range(3, 40):
            assert (await client.ask(request(number)))[0] == 200
            await asyncio.sleep(0.005)
        passed = time.monotonic() - began
        assert 0 < failing.tries <= ACCEPT_FAILURES * (passed / ACCEPT_AGAIN + 2)
        failing.left = 0
        assert (await waiting.answer())[0] == 200  # what has waited meanwhile is served

    with_bed(test)


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EHOSTUNREACH, errno.EPROTO, errno.ENFILE])
def test_clients_behind_one_that_has_gone_are_accepted(error: int) -> None:
    async def test(bed: Bed) -> None:
        front = bed.program.front
        assert front.listener is not None
        front.listener = FailingListener(front.listener, error, 3)  # type: ignore[assignment]
        assert (await (await bed.client()).ask(request(1)))[0] == 200

    with_bed(test)


@pytest.mark.parametrize("error", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENFILE])
def test_a_connection_to_a_backend_is_tried_again_after_a_failure_of_a_moment(error: int) -> None:
    async def test(bed: Bed) -> None:
        dialer = bed.program.dialer
        dialer.loop = flaky = FailingLoop(dialer.loop, "create_connection", error, 2)  # type: ignore[assignment]
        assert (await (await bed.client()).ask(request(1)))[0] == 200
        assert flaky.tries == 3 and len(bed.seen()) == 1
        assert all(s.bad == 0 for s in bed.program.driver.gateway.servers.values())  # no fault of theirs

    with_bed(test)


def test_a_connection_that_stays_impossible_gives_the_request_its_answer() -> None:
    async def test(bed: Bed) -> None:
        dialer = bed.program.dialer
        dialer.loop = FailingLoop(  # type: ignore[assignment]
            dialer.loop, "create_connection", errno.ENETUNREACH, 1000
        )
        status, headers, _ = await (await bed.client()).ask(request(1))
        assert status == 429 and float(headers["retry-after"]) > 0 and not bed.seen()

    with_bed(test)


def test_a_request_on_a_connection_that_cannot_be_set_up_gets_an_answer() -> None:
    async def test(bed: Bed) -> None:
        front = bed.program.front
        front.loop = FailingLoop(  # type: ignore[assignment]
            front.loop, "connect_accepted_socket", errno.ENOBUFS, 1
        )
        client = await bed.client()
        client.send(request(1))
        status, headers, _ = await client.answer()
        assert status == 503 and headers["connection"] == "close" and not bed.seen()
        assert (await (await bed.client()).ask(request(2)))[0] == 200

    with_bed(test)


def refuse_writes(monkeypatch: pytest.MonkeyPatch, error: int) -> None:
    def opened(file: Any, mode: str = "r", **more: Any) -> Any:
        if isinstance(file, str) and "w" in mode:
            raise OSError(error, "planted")
        return builtins.open(file, mode, **more)

    monkeypatch.setattr("embersill.net.handover.open", opened, raising=False)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_bans_and_credit_go_over_where_the_state_cannot_be_written(
    error: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        env["packages"][0].update(peak_units=16.0, units_per_s=0.001)
        async with running(backends=2, env=env, folder=folder) as bed:
            client = await bed.client()
            assert (await client.ask(request(1, units="8")))[0] == 200
            refuse_writes(monkeypatch, error)
            assert (await bed.console(b"SUSPEND b1\n")).startswith("done ")
            second = await bed.successor(env, folder)
            assert bed.program.handover.handed_over
            assert second.driver.gateway.banned == {"b1"}
            assert next(iter(second.driver.gateway.throttles.values())).level < 8.0
            await second.stop(0.0, 0.0)

    run(test)


def test_bans_are_written_once_the_folder_takes_them_again(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running(backends=2, folder=str(tmp_path)) as bed:
            with monkeypatch.context() as full:
                refuse_writes(full, errno.ENOSPC)
                assert (await bed.console(b"SUSPEND b1\n")).startswith("done ")
                assert not bed.program.handover.read_state()
            async with asyncio.timeout(5.0):
                while bed.program.handover.read_state().get("banned") != ["b1"]:
                    await asyncio.sleep(0.02)

    run(test)


@pytest.mark.parametrize("backlog", [1024, 128])  # the clients' address, and the console's
def test_an_address_is_tried_again_at_a_start(backlog: int, monkeypatch: pytest.MonkeyPatch) -> None:
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
