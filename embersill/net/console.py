"""The console: one line in, one answer out, on connections that nobody can hold for long.

It shares the loop with the traffic and nothing else: its callers are few, their lines short, and the one that
has waited longest for the end of its line goes when another comes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import cast

from embersill.net.listening import open_listener

MAX_CONSOLE_CONNECTIONS = 16  # connections at a time; their descriptors are reserved
MAX_LINE_LENGTH = 512  # bytes of a call: a backend's id is the longest part of it
LINE_TIMEOUT = 2.0  # seconds for the line to come whole
LINGER = 1.0  # seconds for the caller to read its answer before the connection goes
BACKLOG = 128

CommandHandler = Callable[[list[str]], Awaitable[str]]  # a call's words after its name; what is answered, or Refused


class CommandRejected(Exception):
    """The reason for which a call gets `error`."""


class ConsoleConnection(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.line = b""
        self.command_task: asyncio.Task[str] | None = None
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.console.add_connection(self)
        self.timer = self.console.loop.call_later(
            LINE_TIMEOUT, self.answer, "error no whole line came in time")

    def data_received(self, data: bytes) -> None:
        if self.answered or self.command_task:
            return  # read only so that the answer is not lost to a reset
        line, ended, _ = (self.line + data).partition(b"\n")
        self.line = line[:MAX_LINE_LENGTH + 1]
        if len(line) > MAX_LINE_LENGTH:
            self.answer(f"error the line is over {MAX_LINE_LENGTH} bytes")
        elif ended:
            self.run_command(line)

    def eof_received(self) -> bool:
        if not (self.line or self.command_task):
            self.answer("error no call came")
        elif not self.command_task:
            self.run_command(self.line)
        return True  # the answer has to go out yet

    def run_command(self, line: bytes) -> None:
        self.command_task = self.console.loop.create_task(self.console.execute(line))
        self.command_task.add_done_callback(self.on_command_done)

    def on_command_done(self, asked: asyncio.Task[str]) -> None:
        if not asked.cancelled():
            self.answer(asked.result())

    def answer(self, text: str) -> None:
        if self.answered or self.transport is None:
            return
        self.answered = True
        if self.timer is not None:
            self.timer.cancel()
        self.transport.write(text.encode() + b"\n")
        self.transport.write_eof()
        self.timer = self.console.loop.call_later(LINGER, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.console.connections.pop(self, None)

    def evict(self) -> None:
        if self.transport is not None:
            self.answer("error too many callers")
            self.transport.abort()
        self.console.connections.pop(self, None)


class Console:
    """Listens for calls and answers them by the table that it is given."""

    def __init__(self, calls: Mapping[str, CommandHandler]) -> None:
        self.commands = calls
        self.loop = asyncio.get_running_loop()
        self.connections: dict[ConsoleConnection, None] = {}  # in the order of their coming
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> str:
        """Begins to listen; where it does then, as host:port."""
        listener = await open_listener(address, BACKLOG)
        self.server = await self.loop.create_server(lambda: ConsoleConnection(self), sock=listener, backlog=BACKLOG)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def add_connection(self, caller: ConsoleConnection) -> None:
        if len(self.connections) >= MAX_CONSOLE_CONNECTIONS:
            done = [c for c in self.connections if c.answered]  # these had their answer and only linger
            (done or list(self.connections))[0].evict()
        self.connections[caller] = None

    async def execute(self, line: bytes) -> str:
        try:
            words = line.decode("ascii").split()
            if not words or words[0] not in self.commands:
                raise CommandRejected(f"the calls are {', '.join(self.commands)}")
            return await self.commands[words[0]](words[1:])
        except UnicodeDecodeError:
            return "error the line is not ASCII"
        except CommandRejected as reason:
            return f"error {reason}"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.connections):
            if caller.transport is not None:
                caller.transport.close()
