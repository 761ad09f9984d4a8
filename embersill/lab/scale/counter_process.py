"""A stand-in for the counter service, as a child: python -m embersill.lab.scale.counter_process

It speaks the published form of the calls. All gateways of a play call from one address, so that the service's
bound on connections from one address is left out; connections that stand idle are closed as there.
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
    """A reply's place in the order of a connection's calls; nothing behind it is written before it is."""

    text: bytes = b""


class CounterConnection(asyncio.Protocol):
    """One caller: calls are answered in their order, however many are written one behind another."""

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
        """A call whose turn has come is carried out, whether its caller still waits or not."""
        reply.text = bulk_total(self.model.add(call))
        self.write_ready()

    def write_ready(self) -> None:
        ready: list[bytes] = []
        while self.replies and self.replies[0].text:
            ready.append(self.replies.popleft().text)
        if ready and self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"".join(ready))

    def close_if_idle(self) -> None:
        left = self.last_call_at + IDLE_TIMEOUT_SECONDS - self.loop.time()
        if left > 0:
            self.idle_timer = self.loop.call_later(left, self.close_if_idle)
        elif self.transport is not None:
            self.transport.close()

    def close_with_error(self, text: bytes) -> None:
        if self.transport is not None:
            self.transport.write(text)
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.idle_timer.cancel()


async def listen(model: CounterModel, port: int) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: CounterConnection(model), HOST, port, backlog=ACCEPT_BACKLOG)


async def serve(port: int, parts: int, calls_per_second: float) -> None:
    orders = await CommandStream.open()
    model = CounterModel(time.monotonic, parts, calls_per_second)
    server = await listen(model, port)
    send_answer(Listening())
    while (order := await orders.read()) is not None:
        if isinstance(order, ReadFigures):
            model.remove_expired()
            send_answer(CounterFigures(model.calls, model.rejected_calls, len(model.names)))
    server.close()


def main() -> None:
    parser = argparse.ArgumentParser(description="A stand-in for the counter service.")
    parser.add_argument("port", type=int)
    parser.add_argument("parts", type=int)
    parser.add_argument("calls_per_second", type=float, help="of each part; 0: no limit")
    told = parser.parse_args()
    uvloop.run(serve(told.port, told.parts, told.calls_per_second))


if __name__ == "__main__":
    main()
