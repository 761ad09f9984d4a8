"""The child's side of a play's messages: commands on standard input, answers on standard output."""

from __future__ import annotations

import asyncio
import sys

from embersill.lab.scale.messages import Answer, Command, decode_command, encode_line

MAX_LINE_BYTES = 2**28  # of a message: the quota events of a long play take several MB


class CommandStream:
    """Reads commands in their order.

    `read` returns None at the end of the stream: the parent has exited, and the child is to exit too.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    @staticmethod
    async def open() -> CommandStream:
        """Opens standard input."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        return CommandStream(reader)

    async def read(self) -> Command | None:
        """The next command; None at the end of the stream."""
        line = await self.reader.readline()
        return decode_command(line) if line.endswith(b"\n") else None


def send_answer(answer: Answer) -> None:
    """Writes an answer; blocks while the pipe is full, which is short, as the parent reads without delay."""
    sys.stdout.buffer.write(encode_line(answer) + b"\n")
    sys.stdout.buffer.flush()
