"""The operators' console: one command line in, one answer out, per connection.

It shares the event loop with the traffic and nothing else. There are few callers and their lines are short.
At the limit on connections a new one replaces one that already has its answer, or else the oldest, so that
nobody can hold the console for long.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import cast

from embersill.net.listening import open_listener

MAX_CONSOLE_CONNECTIONS = 16  # open at once; their descriptors are reserved
MAX_LINE_LENGTH = 512  # bytes of a command line: the id of a backend is its longest part
LINE_TIMEOUT = 2.0  # seconds for the complete line to be received
LINGER = 1.0  # seconds for the caller to read its answer before the connection is aborted
BACKLOG = 128

# Gets the words after the command's name, returns the answer; raises CommandRejected.
CommandHandler = Callable[[list[str]], Awaitable[str]]


class CommandRejected(Exception):
    """The command is answered with `error` and this reason."""


class ConsoleConnection(asyncio.Protocol):
    """A connection that carries one command and its answer."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.line = b""
        self.command_task: asyncio.Task[str] | None = None
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has its methods but another base
        self.console.add_connection(self)
        self.timer = self.console.loop.call_later(
            LINE_TIMEOUT, self.answer, "error no whole line came in time")

    def data_received(self, data: bytes) -> None:
        if self.answered or self.command_task:
            return  # discarded; unread data would reset the connection and lose the answer
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
        return True  # keeps the connection open for the answer

    def run_command(self, line: bytes) -> None:
        self.command_task = self.console.loop.create_task(self.console.execute(line))
        self.command_task.add_done_callback(self.on_command_done)

    def on_command_done(self, command_task: asyncio.Task[str]) -> None:
        if not command_task.cancelled():
            self.answer(command_task.result())

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
        """Closes the connection at once, so that another can be accepted."""
        if self.transport is not None:
            self.answer("error too many callers")
            self.transport.abort()
        self.console.connections.pop(self, None)


class Console:
    """Accepts connections and runs their commands by the table that it is given."""

    def __init__(self, commands: Mapping[str, CommandHandler]) -> None:
        self.commands = commands
        self.loop = asyncio.get_running_loop()
        self.connections: dict[ConsoleConnection, None] = {}  # oldest first
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> str:
        """Starts to listen and returns the address as host:port; OSError if that is impossible."""
        listener = await open_listener(address, BACKLOG)
        self.server = await self.loop.create_server(
            lambda: ConsoleConnection(self), sock=listener, backlog=BACKLOG)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def add_connection(self, connection: ConsoleConnection) -> None:
        if len(self.connections) >= MAX_CONSOLE_CONNECTIONS:
            answered = [c for c in self.connections if c.answered]  # open only until the caller has read
            (answered or list(self.connections))[0].evict()
        self.connections[connection] = None

    async def execute(self, line: bytes) -> str:
        """Runs a command line and returns the answer."""
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
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()
