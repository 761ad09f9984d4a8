"""Counter model, state harness, gateway client and aggregator processes for the aggregator's tests."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import hiredis

from embersill.aggregator.messages import Answer, Forward, ForwardResult, ForwardStatus, Total
from embersill.aggregator.resp import encode_add
from embersill.aggregator.server import Server, ServerOptions
from embersill.aggregator.state import PROBE_NAME, Aggregation, Limits
from embersill.aggregator.upstream import UpstreamOptions
from embersill.lab.peers import HOST
from tests.lists import ROOT
from tests.peers import SOON

LIFE = 60.0  # seconds: default lifetime of a name in tests that do not depend on it


class CounterModel:
    """The counter in memory: names with their totals and expiry times."""

    def __init__(self) -> None:
        self.totals: dict[bytes, float] = {}
        self.ends: dict[bytes, float] = {}
        self.calls = 0

    def add(self, name: bytes, amount: float, life_ms: int, now: float) -> float:
        self.calls += 1
        if self.ends.get(name, 0.0) <= now:
            self.totals[name] = 0.0
            self.ends[name] = now + min(life_ms, 60_000) / 1000.0
        self.totals[name] += amount
        return self.totals[name]

    def serve(self, forward: Forward, now: float) -> ForwardResult:
        return ForwardResult(
            ForwardStatus.ADDED, self.add(forward.name, forward.amount, forward.life_ms, now)
        )

    def restart_empty(self) -> None:
        self.totals.clear()
        self.ends.clear()


class StateHarness:
    """An aggregation state with a manual clock, and a counter that answers at once.

    A test may also take the forwards itself and choose their results.
    """

    def __init__(self, **limits: Any) -> None:
        self.now = 100.0
        self.counter = CounterModel()
        self.state = Aggregation(Limits(**limits), self.now, seed=1)
        self.sent: list[Forward] = []

    def next_forward(self) -> Forward:
        """Returns the forward that is due; its result is up to the test."""
        forward = self.state.next_forward(self.now)
        assert forward is not None
        return forward

    def finish(self, forward: Forward, status: ForwardStatus, total: float = 0.0) -> list[Answer]:
        """Ends a forward; returns the replies that became known."""
        self.state.forward_ended(forward, ForwardResult(status, total), self.now)
        return self.state.take_answers()

    def forward_all(self) -> list[Answer]:
        """Lets the counter answer all forwards that are due; returns the replies that became known."""
        for _ in range(100_000):
            forward = self.state.next_forward(self.now)
            if forward is None:
                return self.state.take_answers()
            self.sent.append(forward)
            self.state.forward_ended(forward, self.counter.serve(forward, self.now), self.now)
        raise AssertionError("forwards without end")

    def run(self, seconds: float, step: float = 0.01) -> list[Answer]:
        """Advances the clock in steps, with a counter that answers."""
        answers: list[Answer] = []
        for _ in range(round(seconds / step)):
            self.now += step
            answers += self.forward_all()
        return answers

    def advance_to_next_send(self) -> None:
        """Advances the clock past the window and the backoff."""
        self.now = max(self.now + 0.2, self.state.backoff.until)

    def add(self, name: str, amount: float = 1.0, life: float = LIFE) -> object:
        return self.state.add(name.encode(), amount, life, self.now)

    def add_known_name(self, name: str, amount: float = 0.0, life: float = LIFE) -> None:
        """Adds a name and reads its first total, with a fresh lease."""
        self.forward_all()
        self.add(name, amount, life)
        assert self.forward_all()
        assert isinstance(self.add(name, 0.0), Total)

    def names_sent(self) -> list[bytes]:
        return [f.name for f in self.sent if f.name != PROBE_NAME]


def acquire_lease(harness: StateHarness) -> None:
    """Answers the first probe, which starts the lease."""
    harness.forward_all()
    assert harness.state.has_lease(harness.now)


class GatewayClient:
    """A gateway's connection, with calls and replies in order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.parser = hiredis.Reader()

    def write(self, *words: str) -> None:
        self.writer.write(hiredis.pack_command(tuple(words)))  # type: ignore[arg-type]

    def write_add(self, name: str, amount: float, life_ms: int = 60_000) -> None:
        self.writer.write(encode_add(name.encode(), amount, life_ms))

    async def read(self) -> Any:
        """Returns the next reply; raises EOFError if the connection is closed."""
        async with asyncio.timeout(SOON):
            while (reply := self.parser.gets()) is False:
                data = await self.reader.read(65536)
                if not data:
                    raise EOFError
                self.parser.feed(data)
        return reply

    async def add(self, name: str, amount: float, life_ms: int = 60_000) -> float | str:
        """Returns the total, the first word of an error, or "none" for a reply without a number."""
        self.write_add(name, amount, life_ms)
        return read_value(await self.read())

    async def statistics(self) -> dict[str, Any]:
        self.write("AGG.STATS")
        loaded: dict[str, Any] = json.loads(await self.read())
        return loaded


def read_value(reply: Any) -> float | str:
    """Converts a reply to a total, the first word of an error, or "none"."""
    if isinstance(reply, hiredis.ReplyError):
        return str(reply).split(" ")[0]
    return "none" if reply is None else float(reply)


@asynccontextmanager
async def caller(port: int) -> AsyncIterator[GatewayClient]:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        yield GatewayClient(reader, writer)
    finally:
        writer.transport.abort()


@asynccontextmanager
async def serving(
    upstream: str,
    options: dict[str, Any] | None = None,
    call_timeout: float = 1.0,
    port: int = 0,
    **limits: Any,
) -> AsyncIterator[Server]:
    """Runs an aggregator in this event loop; `options` are of ServerOptions, `limits` of Limits."""
    host, _, upstream_port = upstream.rpartition(":")
    server = Server(
        ServerOptions(HOST, port, **(options or {})),
        Limits(**{"wait": SOON, "lease": SOON, **limits}),
        UpstreamOptions(host, int(upstream_port), call_timeout),
        seed=1,
    )
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


class AggregatorProcess:
    """The aggregator program as a separate process."""

    def __init__(self, *options: str) -> None:
        self.options = options
        self.port = 0
        self.child: asyncio.subprocess.Process

    async def start(self) -> None:
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "embersill.aggregator", *self.options, cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        assert self.child.stderr is not None
        async with asyncio.timeout(SOON):
            line = (await self.child.stderr.readline()).decode()
        assert "listening on" in line, line
        self.port = int(line.rpartition(":")[2])

    async def stop(self, signal_number: int) -> str:
        """Sends a signal, waits for the exit and returns the log."""
        self.child.send_signal(signal_number)
        async with asyncio.timeout(SOON):
            _, log = await self.child.communicate()
        return log.decode()


async def until_ready(peer: GatewayClient) -> None:
    """Waits until an aggregator in another process has its lease."""
    async with asyncio.timeout(SOON):
        while not (await peer.statistics())["has_lease"]:
            await asyncio.sleep(0.01)


async def until_lease(server: Server, held: bool = True) -> None:
    """Waits until an aggregator in this process has, or has lost, its lease."""
    async with asyncio.timeout(SOON):
        while server.state.has_lease(server.loop.time()) is not held:
            await asyncio.sleep(0.005)
