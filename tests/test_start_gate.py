"""A new process beside a running one: when it loads the program."""

from __future__ import annotations

import asyncio
import json
import pathlib
import socket
import threading
from collections.abc import Callable

import pytest

from embersill.start_gate import MESSAGE_VERSION, SOCKET_NAME, wait_for_memory
from tests.bed import roomy_settings, run, running

MB = 1024 * 1024


def reply(word: str) -> bytes:
    return json.dumps({"say": word, "version": MESSAGE_VERSION}).encode()


class RunningProcess:
    """The end of a process that runs already, which does as `act` says with the connection."""

    def __init__(self, folder: pathlib.Path, act: Callable[[socket.socket], None]) -> None:
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.listener.bind(str(folder / SOCKET_NAME))
        self.listener.listen(1)
        self.asked: list[bytes] = []
        self.thread = threading.Thread(target=self.serve, args=(act,), daemon=True)
        self.thread.start()

    def serve(self, act: Callable[[socket.socket], None]) -> None:
        connection, _ = self.listener.accept()
        self.asked.append(connection.recv(4096))
        act(connection)

    def stop(self) -> None:
        self.thread.join()
        self.listener.close()


@pytest.mark.parametrize("directory", [None, "", "/nonexistent"])
def test_a_process_alone_loads_at_once(directory: str | None) -> None:
    assert wait_for_memory(directory) is None


def test_a_folder_without_a_running_process_delays_nobody(tmp_path: pathlib.Path) -> None:
    (tmp_path / SOCKET_NAME).touch()
    assert wait_for_memory(str(tmp_path)) is None


def test_a_process_waits_until_it_may_load(tmp_path: pathlib.Path) -> None:
    def act(connection: socket.socket) -> None:
        connection.send(reply("wait"))
        connection.send(reply("may load"))

    process = RunningProcess(tmp_path, act)
    connection = wait_for_memory(str(tmp_path))
    process.stop()
    assert connection is not None and json.loads(process.asked[0])["say"] == "load"
    connection.close()


@pytest.mark.parametrize("words", [[], ["wait"]])
def test_a_process_loads_once_the_running_one_has_ended(words: list[str], tmp_path: pathlib.Path) -> None:
    def act(connection: socket.socket) -> None:
        for word in words:
            connection.send(reply(word))
        connection.close()

    process = RunningProcess(tmp_path, act)
    assert wait_for_memory(str(tmp_path)) is None
    process.stop()


def test_a_running_process_of_an_older_version_is_not_waited_for(tmp_path: pathlib.Path) -> None:
    held: list[socket.socket] = []
    process = RunningProcess(tmp_path, held.append)
    connection = wait_for_memory(str(tmp_path))
    process.stop()
    assert connection is not None
    connection.close()


@pytest.mark.parametrize("text", [b"no json", b"[]", b"{}"])
def test_a_reply_out_of_form_keeps_nobody_from_starting(text: bytes, tmp_path: pathlib.Path) -> None:
    def act(connection: socket.socket) -> None:
        connection.send(text)
        connection.close()

    process = RunningProcess(tmp_path, act)
    assert wait_for_memory(str(tmp_path)) is None
    process.stop()


@pytest.mark.parametrize("at_start", [10 * MB, 10_000 * MB])
def test_a_running_process_lets_another_load_only_where_both_fit(
    at_start: int, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        async with running(env=roomy_settings(), folder=str(tmp_path)) as bed:
            overload = bed.program.overload
            overload.limit, overload.at_start = overload.anonymous + 1_000 * MB, at_start
            waiting = asyncio.ensure_future(asyncio.to_thread(wait_for_memory, str(tmp_path)))
            done, _ = await asyncio.wait({waiting}, timeout=1.0)
            assert bool(done) == (at_start == 10 * MB)
            overload.at_start = MB
            connection = await asyncio.wait_for(waiting, 5.0)
            assert connection is not None
            connection.close()

    run(test)
