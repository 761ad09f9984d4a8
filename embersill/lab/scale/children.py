"""The processes of a play: started together, watched, and gone once the play is over, however it ends.

A child is killed by the kernel where this process dies before it. One that ends by itself fails the play.
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
from embersill.lab.versions import HERE

SET_PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)
LOG_POLL_SECONDS = 0.02
MAX_CHILDREN = 300
LIBC = ctypes.CDLL(None, use_errno=True)
AnswerType = TypeVar("AnswerType", bound=Message)
Result = TypeVar("Result")


class ChildFailed(Exception):
    """A process of the play that ended, or does not answer, in one line."""


class ChildNotStarted(ChildFailed):
    """A process that never got ready."""


def request_parent_death_signal() -> None:
    """Run in a child before it becomes its program."""
    LIBC.prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


def kill_session(pid: int) -> None:
    """Kills a process that leads a session, with what it has started."""
    try:
        os.killpg(pid, signal.SIGKILL)
    except ProcessLookupError:
        pass  # it has ended meanwhile


class Child:
    """One process, with its log and, where it speaks in messages, its streams."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: pathlib.Path) -> None:
        self.name, self.process, self.log = name, process, log
        self.killed = False  # by the play itself, whose end it is not then

    @property
    def pid(self) -> int:
        return self.process.pid

    def send(self, order: Message) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(encode_line(order) + b"\n")

    async def receive(self, kind: type[AnswerType], within: float) -> AnswerType:
        """The next answer, which must be of this kind. ChildFailed."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(within):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise ChildFailed(
                f"{self.name} gave no answer within {within:.0f} s{self.last_log_line()}") from None
        if not line.endswith(b"\n"):
            raise ChildFailed(f"{self.name} ended{self.last_log_line()}")
        answer: Answer = decode_answer(line)
        if not isinstance(answer, kind):
            raise ChildFailed(f"{self.name} answered {type(answer).__name__} in place of {kind.__name__}")
        return answer

    async def ask(self, order: Message, kind: type[AnswerType], within: float) -> AnswerType:
        self.send(order)
        return await self.receive(kind, within)

    async def wait_for_log(self, form: str, within: float) -> re.Match[str]:
        """Waits until its log says this. ChildNotStarted."""
        try:
            async with asyncio.timeout(within):
                while (found := re.search(form, self.log.read_text(errors="replace"))) is None:
                    if self.process.returncode is not None:
                        raise ChildNotStarted(f"{self.name} did not start{self.last_log_line()}")
                    await asyncio.sleep(LOG_POLL_SECONDS)
        except TimeoutError:
            raise ChildNotStarted(
                f"{self.name} did not start within {within:.0f} s{self.last_log_line()}") from None
        return found

    def last_log_line(self) -> str:
        """The last line of its log, to end a sentence with."""
        lines = self.log.read_text(errors="replace").split("\n")
        said = [line.strip() for line in lines if line.strip()]
        return f": {said[-1][:200]}" if said else ""

    def usage(self) -> Usage:
        try:
            return read_usage(self.pid)
        except (OSError, ValueError, IndexError):
            raise ChildFailed(f"{self.name} is gone{self.last_log_line()}") from None


class Children:
    """All processes of one play; leaving the context ends them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[Child] = []
        self.watchers: list[asyncio.Task[None]] = []
        self.first_ended: asyncio.Future[Child] = asyncio.get_running_loop().create_future()
        self.starting = True  # until the play says that all are ready
        self.closing = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.closing = True
        for child in self.processes:
            if child.process.returncode is None:
                kill_session(child.pid)
        await asyncio.gather(*self.watchers)

    async def start(
        self, name: str, arguments: Sequence[str], environment: Mapping[str, str] | None = None,
    ) -> Child:
        """Starts a process in a session of its own, so that Ctrl-C reaches the command alone."""
        if len(self.processes) >= MAX_CHILDREN:
            raise ChildNotStarted(f"a play has at most {MAX_CHILDREN} processes")
        log = self.folder / f"{name}.log"
        with log.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                *arguments, cwd=HERE, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
                stderr=errors, limit=MAX_LINE_BYTES, start_new_session=True, preexec_fn=request_parent_death_signal,
                env={**inherited_environment(), **(environment or {})})
        child = Child(name, process, log)
        self.processes.append(child)
        self.watchers.append(asyncio.create_task(self.watch(child)))
        return child

    async def start_module(self, name: str, module: str, *arguments: str) -> Child:
        return await self.start(name, [sys.executable, "-m", module, *arguments])

    async def kill(self, child: Child) -> None:
        """Kills a process as a part of the play."""
        child.killed = True
        kill_session(child.pid)
        await child.process.wait()

    async def watch(self, child: Child) -> None:
        await child.process.wait()
        if not (self.closing or child.killed or self.first_ended.done()):
            self.first_ended.set_result(child)

    async def run_unless_child_ends(self, work: Coroutine[Any, Any, Result], within: float) -> Result:
        """Ends the work where a process ends first, or its time is over. ChildFailed."""
        working = asyncio.create_task(work)
        try:
            awaited: set[asyncio.Future[Any]] = {working, self.first_ended}
            await asyncio.wait(awaited, timeout=within, return_when=asyncio.FIRST_COMPLETED)
            if working.done():
                return await working
            if self.first_ended.done():
                child = self.first_ended.result()
                code = child.process.returncode
                kind = ChildNotStarted if self.starting else ChildFailed
                raise kind(f"{child.name} ended with {code}{child.last_log_line()}")
            raise ChildFailed(f"the play did not end within {within:.0f} s")
        finally:
            working.cancel()
            await asyncio.wait({working})

    def memory_bytes(self) -> int:
        """Resident bytes of all processes that still run."""
        return sum(child.usage().memory_bytes for child in self.processes if child.process.returncode is None)


def inherited_environment() -> dict[str, str]:
    """The command's, without what would tell a gateway where to listen."""
    return {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
