"""The child's end of a play's messages: orders on standard input, answers on standard output."""

from __future__ import annotations

import asyncio
import sys

from embersill.lab.scale.messages import Answer, Command, decode_command, encode_line

MAX_LINE_BYTES = 2**28  # bytes of a message: a long play's quota events are some MB


class CommandStream:
    """Orders in their sequence; None once the command has gone, and its children are to end."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    @staticmethod
    async def open() -> CommandStream:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        return CommandStream(reader)

    async def read(self) -> Command | None:
        line = await self.reader.readline()
        return decode_command(line) if line.endswith(b"\n") else None


def send_answer(answer: Answer) -> None:
    """Writes an answer; the command reads at once, so that this does not wait for long."""
    sys.stdout.buffer.write(encode_line(answer) + b"\n")
    sys.stdout.buffer.flush()
