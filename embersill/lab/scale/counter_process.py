"""A substitute for the counter service, a child of the scale command.

    python -m embersill.lab.scale.counter_process PORT PARTS CALLS_PER_SECOND

It implements the published protocol of the calls, and closes idle connections like the service. The service's
limit on connections from one address is left out, as all gateways of a play call from one address.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import cast

import hiredis
import uvloop

from embersill.lab.peers import HOST
from embersill.lab.scale.lines import CommandStream, send_answer
from embersill.lab.scale.messages import CounterFigures, Listening, ReadFigures
from embersill.lab.scale.resp import (
    BUSY, OK, PONG, AddCall, CounterModel, InvalidCall, bulk_total, read_add_call,
)

ACCEPT_BACKLOG = 4096  # connections not yet accepted
IDLE_TIMEOUT_SECONDS = 10.0  # after which a connection without calls is closed


@dataclass(slots=True, eq=False)
class Reply:
    """A reply in the order of a connection's calls; empty until the call is served.

    No later reply is written before it.
    """

    text: bytes = b""


class CounterConnection(asyncio.Protocol):
    """One caller's connection; pipelined calls are answered in their order."""

    def __init__(self, model: CounterModel) -> None:
        self.model = model
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.replies: deque[Reply] = deque()
        self.last_call_at = self.loop.time()
        self.idle_timer = self.loop.call_later(IDLE_TIMEOUT_SECONDS, self.close_if_idle)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.last_call_at = self.loop.time()
        self.reader.feed(data)
        try:
            while (words := self.reader.gets()) is not False:
                self.handle_command(words)
        except hiredis.ProtocolError:
            self.close_with_error(b"-ERR Protocol error\r\n")
            return
        self.write_ready()

    def handle_command(self, words: object) -> None:
        """Handles a command of the protocol, or appends an error reply."""
        reply = Reply()
        self.replies.append(reply)
        if not (isinstance(words, list) and words and all(isinstance(w, bytes) for w in words)):
            reply.text = b"-ERR no call\r\n"
            return
        name = words[0].upper()
        if name == b"PING":
            reply.text = PONG
        elif name in (b"CLIENT", b"SELECT"):
            reply.text = OK
        else:
            self.handle_add(words, reply)

    def handle_add(self, words: list[bytes], reply: Reply) -> None:
        """Adds to a name at once, at the time that its part serves the call, or rejects the call."""
        try:
            call = read_add_call(words)
        except InvalidCall as error:
            reply.text = b"-ERR %s\r\n" % str(error).encode()
            return
        at = self.model.reserve(call.name)
        if at is None:
            reply.text = BUSY
        elif self.model.calls_per_second <= 0:
            reply.text = bulk_total(self.model.add(call))
        else:
            self.loop.call_at(at, self.complete_add, call, reply)

    def complete_add(self, call: AddCall, reply: Reply) -> None:
        """Serves a queued call, whether its caller still waits or not."""
        reply.text = bulk_total(self.model.add(call))
        self.write_ready()

    def write_ready(self) -> None:
        """Writes the replies up to the first call that is not served yet."""
        ready: list[bytes] = []
        while self.replies and self.replies[0].text:
            ready.append(self.replies.popleft().text)
        if ready and self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"".join(ready))

    def close_if_idle(self) -> None:
        remaining = self.last_call_at + IDLE_TIMEOUT_SECONDS - self.loop.time()
        if remaining > 0:
            self.idle_timer = self.loop.call_later(remaining, self.close_if_idle)
        elif self.transport is not None:
            self.transport.close()

    def close_with_error(self, text: bytes) -> None:
        """Writes an error reply and closes the connection."""
        if self.transport is not None:
            self.transport.write(text)
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.idle_timer.cancel()


async def listen(model: CounterModel, port: int) -> asyncio.Server:
    """Serves the model to callers at a port of HOST."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: CounterConnection(model), HOST, port, backlog=ACCEPT_BACKLOG)


async def serve(port: int, parts: int, calls_per_second: float) -> None:
    """Runs the process until its commands end."""
    commands = await CommandStream.open()
    model = CounterModel(time.monotonic, parts, calls_per_second)
    server = await listen(model, port)
    send_answer(Listening())
    while (command := await commands.read()) is not None:
        if isinstance(command, ReadFigures):
            model.remove_expired()
            send_answer(CounterFigures(model.calls, model.rejected_calls, len(model.names)))
    server.close()


def main() -> None:
    parser = argparse.ArgumentParser(description="A stand-in for the counter service.")
    parser.add_argument("port", type=int)
    parser.add_argument("parts", type=int)
    parser.add_argument("calls_per_second", type=float, help="of each part; 0: no limit")
    options = parser.parse_args()
    uvloop.run(serve(options.port, options.parts, options.calls_per_second))


if __name__ == "__main__":
    main()
