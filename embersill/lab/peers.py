"""Peers of gateways on loopback, with simple HTTP/1.1, for the laboratory's real mode and the tests."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
import struct

HOST = "127.0.0.1"
READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
HttpMessage = tuple[str, dict[str, str], bytes]  # first line, headers with names in lower case, body


class Peer:
    """A listening socket that passes each accepted connection to `serve`."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.on_connection, HOST, port)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway closed it, or the run has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def reset(writer: asyncio.StreamWriter) -> None:
    """Aborts the connection with a TCP reset."""
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Reads one HTTP message. Raises IncompleteReadError if the connection ends first."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding") != "chunked":
        return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass  # trailers
    return first, headers, body


async def is_ready(port: int) -> bool:
    """Whether the gateway at this port of loopback reports that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(READY_REQUEST)
        first, _, _ = await read_message(reader)
        return first.split()[1] == "200"
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


def response_bytes(status: int, body: bytes = b"", *headers: str) -> bytes:
    """An HTTP response with a Content-Length; `headers`: complete lines."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def read_counter_call(reader: asyncio.StreamReader) -> list[str]:
    """Reads one call to the counter, a RESP2 array of bulk strings."""
    arguments = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        arguments.append((await reader.readexactly(size + 2))[:-2].decode())
    return arguments


def counter_reply(total: float) -> bytes:
    """A counter's answer, a RESP2 bulk string."""
    text = f"{total:.7g}"
    return f"${len(text)}\r\n{text}\r\n".encode()


# a range for each process, as gateways bind with SO_REUSEPORT and would share a port that is in use
PORT_NUMBERS = itertools.count(20000 + os.getpid() * 256 % 12000)


def free_port() -> int:
    """A free port for a process to be started; below the ephemeral ports, which a connection could take."""
    while True:
        port = 20000 + next(PORT_NUMBERS) % 12000
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
