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
connections = itertools.count(1)
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
    size = 0
    while chunk := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        await reader.readexactly(chunk + 2)
        size += chunk
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return size


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    number = next(connections)
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
            body = f"served {call}".encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            writer.write(answer)
            note(event="answer", id=call, connection=number)
            if "second_answer_ms" in OPTIONS:
                delay = float(OPTIONS["second_answer_ms"]) / 1000.0
                asyncio.get_running_loop().call_later(delay, writer.write, answer)
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
