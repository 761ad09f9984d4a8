"""The console: one line in, one answer out, on connections that nobody can hold for long.

It shares the loop with the traffic and nothing else: its callers are few, their lines short, and the one that
has waited longest for the end of its line goes when another comes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import cast

from embersill.net.listening import open_listener

MOST_CALLERS = 16  # connections at a time; their descriptors are reserved
MOST_LINE = 512  # bytes of a call: a backend's id is the longest part of it
LINE_WITHIN = 2.0  # seconds for the line to come whole
LINGER = 1.0  # seconds for the caller to read its answer before the connection goes
BACKLOG = 128

Call = Callable[[list[str]], Awaitable[str]]  # a call's words after its name; what is answered, or Refused


class Refused(Exception):
    """The reason for which a call gets `error`."""


class Caller(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.line = b""
        self.asked: asyncio.Task[str] | None = None
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.console.came(self)
        self.timer = self.console.loop.call_later(
            LINE_WITHIN, self.answer, "error no whole line came in time")

    def data_received(self, data: bytes) -> None:
        if self.answered or self.asked:
            return  # read only so that the answer is not lost to a reset
        line, ended, _ = (self.line + data).partition(b"\n")
        self.line = line[:MOST_LINE + 1]
        if len(line) > MOST_LINE:
            self.answer(f"error the line is over {MOST_LINE} bytes")
        elif ended:
            self.ask(line)

    def eof_received(self) -> bool:
        if not (self.line or self.asked):
            self.answer("error no call came")
        elif not self.asked:
            self.ask(self.line)
        return True  # the answer has to go out yet

    def ask(self, line: bytes) -> None:
        self.asked = self.console.loop.create_task(self.console.call(line))
        self.asked.add_done_callback(self.told)

    def told(self, asked: asyncio.Task[str]) -> None:
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
        self.console.callers.pop(self, None)

    def make_way(self) -> None:
        if self.transport is not None:
            self.answer("error too many callers")
            self.transport.abort()
        self.console.callers.pop(self, None)


class Console:
    """Listens for calls and answers them by the table that it is given."""

    def __init__(self, calls: Mapping[str, Call]) -> None:
        self.calls = calls
        self.loop = asyncio.get_running_loop()
        self.callers: dict[Caller, None] = {}  # in the order of their coming
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> str:
        """Begins to listen; where it does then, as host:port."""
        listener = await open_listener(address, BACKLOG)
        self.server = await self.loop.create_server(lambda: Caller(self), sock=listener, backlog=BACKLOG)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def came(self, caller: Caller) -> None:
        if len(self.callers) >= MOST_CALLERS:
            done = [c for c in self.callers if c.answered]  # these had their answer and only linger
            (done or list(self.callers))[0].make_way()
        self.callers[caller] = None

    async def call(self, line: bytes) -> str:
        try:
            words = line.decode("ascii").split()
            if not words or words[0] not in self.calls:
                raise Refused(f"the calls are {', '.join(self.calls)}")
            return await self.calls[words[0]](words[1:])
        except UnicodeDecodeError:
            return "error the line is not ASCII"
        except Refused as reason:
            return f"error {reason}"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.close()
