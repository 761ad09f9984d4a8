"""An event loop with virtual time for tests of the client of discovery, with a scripted agent and no sockets.

The loop's clock stands still while callbacks are ready, and then jumps to the next timer: tests of long
silences are fast and deterministic.
"""

from __future__ import annotations

import asyncio
import json
import re
import selectors
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from embersill.lab.peers import response_bytes
from embersill.net.discovery import Discovery, DiscoveryConnection
from embersill.net.listing import Address, Listing
from tests import peers

AGENT_ADDRESS: Address = ("agent", 1)
DELAY = 0.001  # seconds for a message in one direction


class JumpingSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "no timer is left"
        self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Connects to the agent in `agents` at an address; where there is none, connections are refused."""

    def __init__(self) -> None:
        self.selector = JumpingSelector()
        super().__init__(self.selector)
        self.agents: dict[Address, Agent] = {}

    def time(self) -> float:
        return self.selector.now

    async def create_connection(  # type: ignore[override]  # only the form in use
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        await asyncio.sleep(2 * DELAY)
        agent = self.agents.get((host, port))
        while agent is not None and agent.unreachable:
            await asyncio.sleep(DELAY)
        if agent is None or agent.refuses:
            raise ConnectionRefusedError("refused")
        connection = VirtualConnection(self, agent, factory())
        connection.protocol.connection_made(connection)
        return connection, connection.protocol


class VirtualConnection(asyncio.Transport):
    """One connection from a gateway to the agent."""

    def __init__(self, loop: VirtualLoop, agent: Agent, protocol: DiscoveryConnection) -> None:
        super().__init__()
        self.loop, self.agent, self.protocol = loop, agent, protocol
        self.closed = False
        self.silent = False  # from now on no answer arrives
        agent.connections.append(self)

    def write(self, data: Any) -> None:
        self.loop.call_later(DELAY, self.agent.request_received, self, bytes(data).decode())

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.agent.connections.remove(self)
            self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return self.closed

    def answer(self, data: bytes) -> None:
        self.loop.call_later(DELAY, self.deliver, data)

    def deliver(self, data: bytes) -> None:
        if not self.closed:
            self.protocol.data_received(data)


@dataclass(eq=False)
class Watch:
    """A call that is not answered yet."""

    connection: VirtualConnection
    since: int | None


@dataclass
class Agent:
    """Discovery, as its protocol defines it, at one address for all gateways of a test."""

    loop: VirtualLoop
    at: Address = AGENT_ADDRESS
    generation: int = 1
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    connections: list[VirtualConnection] = field(default_factory=list)
    watches: list[Watch] = field(default_factory=list)
    asked: list[tuple[float, str]] = field(default_factory=list)  # time and target of each call
    accepted_at: list[float] = field(default_factory=list)  # times of calls that were not rejected
    down = refuses = unreachable = False
    always_changes = False  # also in answer to requests for the full list
    loses_pending = False  # calls during an outage are never answered
    silent_calls = 0  # number of the next calls that are not answered
    calls_per_second = 0  # limit, if above 0; calls beyond it get a 503
    indent: int | None = None

    def __post_init__(self) -> None:
        self.loop.agents[self.at] = self

    def request_received(self, connection: VirtualConnection, text: str) -> None:
        if connection.closed:
            return
        now, target = self.loop.time(), text.split()[1]
        self.asked.append((now, target))
        if self.silent_calls:
            self.silent_calls -= 1
            connection.silent = True
        if connection.silent or self.down and self.loses_pending:
            return
        if self.calls_per_second and sum(now - 1.0 < at for at in self.accepted_at) >= self.calls_per_second:
            return connection.answer(response_bytes(503))
        self.accepted_at.append(now)
        found, wait = re.search(r"since=(\d+)", target), re.search(r"timeout_ms=(\d+)", target)
        watch = Watch(connection, int(found[1]) if found else None)
        self.watches.append(watch)
        if watch.since is None or watch.since != self.generation:
            self.answer_watch(watch)
        else:
            self.loop.call_later(int(wait[1]) / 1000.0 if wait else 0.0, self.answer_watch, watch)

    def answer_watch(self, watch: Watch) -> None:
        """Answers a call, unless that is done or the agent is down; `resume` sends what changed meanwhile."""
        if watch in self.watches and not self.down:
            self.watches.remove(watch)
            if not (watch.connection.silent or watch.connection.closed):
                watch.connection.answer(response_bytes(200, self.listing(watch.since)))

    def listing(self, since: int | None) -> bytes:
        is_full = (since is None or since > self.generation) and not self.always_changes
        changed = {e["instanceId"]: e for at, e in self.changes if not is_full and at > (since or 0)}
        listing = {"generation": self.generation, "reset": is_full,
                   "instances": list((self.entries if is_full else changed).values())}
        return json.dumps(listing, indent=self.indent).encode()

    def change(self, *entries: dict[str, Any]) -> None:
        self.generation += 1
        for entry in entries:
            self.changes.append((self.generation, entry))
            if entry["lifecycle"] == "DELETED":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        for watch in list(self.watches):
            self.answer_watch(watch)

    def silence_connections(self) -> None:
        for connection in self.connections:
            connection.silent = True

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def stop(self, loses_pending: bool) -> None:
        self.down, self.loses_pending = True, loses_pending
        if loses_pending:
            self.silence_connections()

    def resume(self) -> None:
        self.down = self.loses_pending = False
        for watch in list(self.watches):
            if watch.since != self.generation:
                self.answer_watch(watch)


def entry(name: str, state: str = "SERVING") -> dict[str, Any]:
    return peers.entry(name, "127.0.0.1:9", state)


class Follower:
    """The client of one gateway, and when it received which list."""

    def __init__(self, loop: VirtualLoop, seed: int = 1, gateways: int = 1, grace: float | None = 1.0,
                 known: int | None = 1, addresses: tuple[Address, ...] = (AGENT_ADDRESS,)) -> None:
        self.loop, self.lists = loop, list[tuple[float, Listing]]()
        self.states: dict[str, str] = {}
        self.discovery = Discovery(addresses, 0.25, self.on_list, known, seed, gateways, grace)
        self.task = loop.create_task(self.discovery.run())

    def on_list(self, listing: Listing) -> None:
        self.lists.append((self.loop.time(), listing))
        if listing.is_full:
            self.states = {}
        self.states.update({e.backend.address: e.backend.status.value for e in listing.entries})

    def received_at(self, generation: int) -> float:
        """When it received this generation or a newer one; infinity if it did not."""
        return next((at for at, listing in self.lists if listing.generation >= generation), float("inf"))


def play(script: Callable[[VirtualLoop], Awaitable[None]]) -> None:
    """Runs the script in a loop of its own; remaining tasks are cancelled."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(script(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
