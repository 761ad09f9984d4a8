"""The child's end of a play's messages: orders on standard input, answers on standard output."""

from __future__ import annotations

import asyncio
import sys

from embersill.lab.scale.messages import Answer, Order, decode_order, encode_line

MOST_LINE = 2**28  # bytes of a message: a long play's quota events are some MB


class OrderStream:
    """Orders in their sequence; None once the command has gone, and its children are to end."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    @staticmethod
    async def open() -> OrderStream:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MOST_LINE)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        return OrderStream(reader)

    async def read(self) -> Order | None:
        line = await self.reader.readline()
        return decode_order(line) if line.endswith(b"\n") else None


def send_answer(answer: Answer) -> None:
    """Writes an answer; the command reads at once, so that this does not wait for long."""
    sys.stdout.buffer.write(encode_line(answer) + b"\n")
    sys.stdout.buffer.flush()
