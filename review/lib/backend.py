"""One backend as a process of its own: reads whole requests, works on each for a while, answers 200.

It logs a line of JSON for each request that came whole. Usage: backend.py NAME PORT LOG WORK_SECONDS [OPTION]
"""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
import sys
import time

NAME, PORT, LOG, WORK = sys.argv[1], int(sys.argv[2]), sys.argv[3], float(sys.argv[4])
OPTIONS = dict(option.split("=") for option in sys.argv[5:])
MAX_LINE = 256 * 1024
LAST_CHUNK = b"\r\n0\r\n\r\n"
TIMER_STEP = 0.002  # seconds
connections = itertools.count(1)
answers = itertools.count(1)  # numbers those that may come twice
log = open(LOG, "a", buffering=1)


def note(**fields: object) -> None:
    log.write(json.dumps({"at": round(time.monotonic(), 4), "backend": NAME, **fields}) + "\n")


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> int:
    """Reads a body and returns its size."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        size = left = int(headers.get("content-length", 0))
        while left:
            data = await reader.read(min(left, MAX_LINE))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
        return size
    # Cheap however small the chunks are. The clients' bodies have no line ends, so only the last chunk looks
    # like this; `size` counts the framing too.
    size, tail = 0, b""
    while not tail.endswith(LAST_CHUNK):
        data = await reader.read(MAX_LINE)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        size, tail = size + len(data), (tail + data)[-len(LAST_CHUNK):]
    return size


async def give_long_answer(writer: asyncio.StreamWriter, text: bytes, size: int, rate: int) -> None:
    """Writes an answer of `size` bytes, evenly, at `rate` bytes a second."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    begun, given = time.monotonic(), 0
    while given < size:
        piece = min(rate // 50, size - given)
        writer.write((text * (piece // len(text) + 1))[:piece])
        await writer.drain()
        given += piece
        await asyncio.sleep(max(begun + given / rate - time.monotonic(), 0.0))


def write_again(writer: asyncio.StreamWriter, answer: bytes, call: str, written: float, delay: float) -> None:
    """Writes an answer for the second time, `delay` seconds after the first."""
    while time.monotonic() < written + delay:  # the loop's timers are exact to TIMER_STEP only
        pass
    if not writer.transport.is_closing():
        writer.write(answer)
        note(event="second answer", id=call, gap_ms=1000.0 * (time.monotonic() - written))


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    number = next(connections)
    if "plain_sockets" not in OPTIONS:  # asyncio sets this only on sockets that name their protocol
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            begun = round(time.monotonic(), 4)
            first, *lines = head.rstrip().split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
            size = await read_body(reader, headers)
            call = headers.get("x-call-id", "")
            note(event="request", id=call, connection=number, begun=begun, budget=headers.get("x-budget"),
                 key=headers.get("idempotency-key"), body=size)
            await asyncio.sleep(WORK)
            body = f"served {call} ".encode()
            if "answer_bytes" in OPTIONS:
                await give_long_answer(writer, body, int(OPTIONS["answer_bytes"]), int(OPTIONS["rate"]))
                note(event="answer", id=call, connection=number)
                continue
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            writer.write(answer)
            written = time.monotonic()
            note(event="answer", id=call, connection=number)
            if "second_answer_ms" in OPTIONS and next(answers) % int(OPTIONS["one_in"]) == 0:
                delay = float(OPTIONS["second_answer_ms"]) / 1000.0
                asyncio.get_running_loop().call_later(
                    delay - TIMER_STEP, write_again, writer, answer, call, written, delay)
    except (asyncio.IncompleteReadError, OSError):
        note(event="closed", connection=number)
    finally:
        writer.close()


async def main() -> None:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if "receive_buffer" in OPTIONS:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, int(OPTIONS["receive_buffer"]))
    listener.bind(("127.0.0.1", PORT))
    server = await asyncio.start_server(serve, sock=listener, limit=MAX_LINE, backlog=512)
    async with server:
        await server.serve_forever()


try:
    asyncio.run(main())
except KeyboardInterrupt:
    pass
