"""Counts the bytes of a client's connections without changing the client.

Clients open connections with `create_connection` of their `loop`. A MeteredLoop in its place inserts a
protocol between the socket and the client's own, which counts the bytes and forwards every event.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast


@dataclass(slots=True)
class ByteMeter:
    """Bytes written to and read from a client's connections."""

    bytes_out: int = 0
    bytes_in: int = 0


class MeteredTransport:
    """A transport whose written bytes are counted; all other members are the wrapped transport's."""

    def __init__(self, transport: asyncio.Transport, meter: ByteMeter) -> None:
        self.transport, self.meter = transport, meter

    def write(self, data: bytes) -> None:
        self.meter.bytes_out += len(data)
        self.transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class MeteredProtocol(asyncio.Protocol):
    """Counts the bytes read, and forwards every event to the client's protocol."""

    def __init__(self, client: asyncio.Protocol, meter: ByteMeter) -> None:
        self.client, self.meter = client, meter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        metered = MeteredTransport(cast(asyncio.Transport, transport), self.meter)
        self.client.connection_made(cast(asyncio.Transport, metered))

    def data_received(self, data: bytes) -> None:
        self.meter.bytes_in += len(data)
        self.client.data_received(data)

    def eof_received(self) -> bool | None:
        return self.client.eof_received()

    def pause_writing(self) -> None:
        self.client.pause_writing()

    def resume_writing(self) -> None:
        self.client.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self.client.connection_lost(exc)


class MeteredLoop:
    """An event loop whose outgoing connections are counted; all other members are the wrapped loop's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, meter: ByteMeter) -> None:
        self.loop, self.meter = loop, meter

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.BaseTransport, asyncio.Protocol]:
        client = protocol_factory()
        transport, _ = await self.loop.create_connection(
            lambda: MeteredProtocol(client, self.meter), host, port)
        return transport, client

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


def metered_loop(meter: ByteMeter) -> asyncio.AbstractEventLoop:
    """The running loop, counting the bytes of connections that are opened through the result."""
    return cast(asyncio.AbstractEventLoop, MeteredLoop(asyncio.get_running_loop(), meter))
