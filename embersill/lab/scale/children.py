"""The processes of a play: starts them, watches them, and kills them when the play ends, however it ends.

The kernel kills a child whose parent, this process, dies before it. A child that exits early fails the play.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import pathlib
import re
import signal
import sys
from collections.abc import Coroutine, Mapping, Sequence
from types import TracebackType
from typing import Any, Self, TypeVar

from embersill.lab.scale.clock import Usage, read_usage
from embersill.lab.scale.lines import MAX_LINE_BYTES
from embersill.lab.scale.messages import Answer, Message, decode_answer, encode_line
from embersill.lab.versions import REPO_ROOT

SET_PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)
LOG_POLL_SECONDS = 0.02
MAX_CHILDREN = 300  # in one play
LIBC = ctypes.CDLL(None, use_errno=True)
AnswerType = TypeVar("AnswerType", bound=Message)
Result = TypeVar("Result")


class ChildFailed(Exception):
    """A process of the play exited or does not answer; the message is one line."""


class ChildNotStarted(ChildFailed):
    """A process of the play did not get ready."""


def request_parent_death_signal() -> None:
    """Lets the kernel kill this process once its parent dies; called in a child before exec."""
    LIBC.prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


def kill_session(pid: int) -> None:
    """Kills the leader of a session and its process group."""
    try:
        os.killpg(pid, signal.SIGKILL)
    except ProcessLookupError:
        pass  # it has exited already


class Child:
    """One process, with its log file; a module of scale runs also receives commands and sends answers."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: pathlib.Path) -> None:
        self.name, self.process, self.log = name, process, log
        self.killed = False  # by the play itself, which goes on then

    @property
    def pid(self) -> int:
        return self.process.pid

    def send(self, command: Message) -> None:
        """Writes a command to the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(encode_line(command) + b"\n")

    async def receive(self, answer_type: type[AnswerType], timeout: float) -> AnswerType:
        """Reads the next answer, which must be of this type; `timeout` is seconds.

        Raises ChildFailed where it is not, where there is none in time or where the process has exited.
        """
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(timeout):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise ChildFailed(
                f"{self.name} gave no answer within {timeout:.0f} s{self.last_log_line()}") from None
        if not line.endswith(b"\n"):
            raise ChildFailed(f"{self.name} ended{self.last_log_line()}")
        answer: Answer = decode_answer(line)
        if not isinstance(answer, answer_type):
            raise ChildFailed(
                f"{self.name} answered {type(answer).__name__} in place of {answer_type.__name__}")
        return answer

    async def ask(self, command: Message, answer_type: type[AnswerType], timeout: float) -> AnswerType:
        """Sends a command and reads its answer. Raises ChildFailed."""
        self.send(command)
        return await self.receive(answer_type, timeout)

    async def wait_for_log(self, pattern: str, timeout: float) -> re.Match[str]:
        """Waits until its log matches a regular expression; `timeout` is seconds. Raises ChildNotStarted."""
        try:
            async with asyncio.timeout(timeout):
                while (found := re.search(pattern, self.log.read_text(errors="replace"))) is None:
                    if self.process.returncode is not None:
                        raise ChildNotStarted(f"{self.name} did not start{self.last_log_line()}")
                    await asyncio.sleep(LOG_POLL_SECONDS)
        except TimeoutError:
            raise ChildNotStarted(
                f"{self.name} did not start within {timeout:.0f} s{self.last_log_line()}") from None
        return found

    def last_log_line(self) -> str:
        """The last line of its log after a colon, to append to an error message; else an empty string."""
        lines = self.log.read_text(errors="replace").split("\n")
        filled = [line.strip() for line in lines if line.strip()]
        return f": {filled[-1][:200]}" if filled else ""

    def usage(self) -> Usage:
        """Processor time and memory up to now. Raises ChildFailed where the process has exited."""
        try:
            return read_usage(self.pid)
        except (OSError, ValueError, IndexError):
            raise ChildFailed(f"{self.name} has exited{self.last_log_line()}") from None


class Children:
    """All processes of one play; leaving the context kills them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[Child] = []
        self.watchers: list[asyncio.Task[None]] = []
        self.first_ended: asyncio.Future[Child] = asyncio.get_running_loop().create_future()
        self.starting = True  # until all processes are ready; set by the play
        self.closing = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.closing = True
        for child in self.processes:
            if child.process.returncode is None:
                kill_session(child.pid)
        await asyncio.gather(*self.watchers)

    async def start(
        self, name: str, arguments: Sequence[str], environment: Mapping[str, str] | None = None,
    ) -> Child:
        """Starts a process in a session of its own, so that Ctrl-C reaches only the scale command.

        Raises ChildNotStarted beyond MAX_CHILDREN.
        """
        if len(self.processes) >= MAX_CHILDREN:
            raise ChildNotStarted(f"a play has at most {MAX_CHILDREN} processes")
        log = self.folder / f"{name}.log"
        with log.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                *arguments, cwd=REPO_ROOT, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
                stderr=errors, limit=MAX_LINE_BYTES, start_new_session=True,
                preexec_fn=request_parent_death_signal,
                env={**inherited_environment(), **(environment or {})})
        child = Child(name, process, log)
        self.processes.append(child)
        self.watchers.append(asyncio.create_task(self.watch(child)))
        return child

    async def start_module(self, name: str, module: str, *arguments: str) -> Child:
        """Starts a Python module by its name, with this interpreter."""
        return await self.start(name, [sys.executable, "-m", module, *arguments])

    async def kill(self, child: Child) -> None:
        """Kills a process as a step of the play, which goes on."""
        child.killed = True
        kill_session(child.pid)
        await child.process.wait()

    async def watch(self, child: Child) -> None:
        """Waits for a process to exit, and notes it where the play did not end it."""
        await child.process.wait()
        if not (self.closing or child.killed or self.first_ended.done()):
            self.first_ended.set_result(child)

    async def run_unless_child_ends(self, work: Coroutine[Any, Any, Result], timeout: float) -> Result:
        """Runs the work, and cancels it where a process exits or the time is over. Raises ChildFailed."""
        working = asyncio.create_task(work)
        try:
            awaited: set[asyncio.Future[Any]] = {working, self.first_ended}
            await asyncio.wait(awaited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if working.done():
                return await working
            if self.first_ended.done():
                child = self.first_ended.result()
                code = child.process.returncode
                error_type = ChildNotStarted if self.starting else ChildFailed
                raise error_type(f"{child.name} ended with {code}{child.last_log_line()}")
            raise ChildFailed(f"the play did not end within {timeout:.0f} s")
        finally:
            working.cancel()
            await asyncio.wait({working})

    def memory_bytes(self) -> int:
        """Resident bytes of all processes that still run. Raises ChildFailed where one exits meanwhile."""
        return sum(child.usage().memory_bytes for child in self.processes if child.process.returncode is None)


def inherited_environment() -> dict[str, str]:
    """The environment of this process without the RELAY_ variables, which configure a gateway."""
    return {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
