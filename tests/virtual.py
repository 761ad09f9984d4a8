"""Time that jumps for tests of what follows discovery: the real client, a scripted agent, and no sockets.

The clock of the loop stands still while anything is to be done and then jumps to the next timer: seconds of
silence cost nothing, and nothing rests on luck.
"""

from __future__ import annotations

import asyncio
import json
import re
import selectors
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from embersill.lab.peers import message
from embersill.net.discovery import Discovery, DiscoveryConnection
from embersill.net.listing import Address, Listing
from tests import peers

AGENT: Address = ("agent", 1)
WIRE = 0.001  # seconds that each way takes


class Jump(selectors.DefaultSelector):
    """Waits for nothing: it moves the clock instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing is left that could happen"
        self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Connections go to the agent that `agents` names at an address; where there is none they are refused."""

    def __init__(self) -> None:
        self.jump = Jump()
        super().__init__(self.jump)
        self.agents: dict[Address, Agent] = {}

    def time(self) -> float:
        return self.jump.now

    async def create_connection(  # type: ignore[override]  # of its forms only the one in use
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        await asyncio.sleep(2 * WIRE)
        agent = self.agents.get((host, port))
        while agent is not None and agent.unreachable:
            await asyncio.sleep(WIRE)
        if agent is None or agent.refuses:
            raise ConnectionRefusedError("refused")
        link = Link(self, agent, factory())
        link.protocol.connection_made(link)
        return link, link.protocol


class Link(asyncio.Transport):
    """One connection of a gateway to the agent."""

    def __init__(self, loop: VirtualLoop, agent: Agent, protocol: DiscoveryConnection) -> None:
        super().__init__()
        self.loop, self.agent, self.protocol = loop, agent, protocol
        self.closed = False
        self.silent = False  # for good
        agent.links.append(self)

    def write(self, data: Any) -> None:
        self.loop.call_later(WIRE, self.agent.asked_on, self, bytes(data).decode())

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.agent.links.remove(self)
            self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return self.closed

    def answer(self, data: bytes) -> None:
        self.loop.call_later(WIRE, self.deliver, data)

    def deliver(self, data: bytes) -> None:
        if not self.closed:
            self.protocol.data_received(data)


@dataclass(eq=False)
class Watch:
    link: Link
    since: int | None


@dataclass
class Agent:
    """Discovery as PROTOCOL has it, at one address, for all gateways of a test."""

    loop: VirtualLoop
    at: Address = AGENT
    generation: int = 1
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    links: list[Link] = field(default_factory=list)
    watches: list[Watch] = field(default_factory=list)
    asked: list[tuple[float, str]] = field(default_factory=list)  # when, and the target
    took: list[float] = field(default_factory=list)  # when it took a call: one turned away takes no room
    down = refuses = unreachable = False
    always_changes = False  # also to who asks for the whole list
    forgets = False  # what was asked while it was down
    silent_calls = 0  # so many of the next calls fall silent
    room = 0  # calls a second that it serves, if above nought; the others get a 503
    indent: int | None = None

    def __post_init__(self) -> None:
        self.loop.agents[self.at] = self

    def asked_on(self, link: Link, text: str) -> None:
        if link.closed:
            return
        now, target = self.loop.time(), text.split()[1]
        self.asked.append((now, target))
        if self.silent_calls:
            self.silent_calls -= 1
            link.silent = True
        if link.silent or self.down and self.forgets:
            return
        if self.room and sum(now - 1.0 < at for at in self.took) >= self.room:
            return link.answer(message(503))
        self.took.append(now)
        found, wait = re.search(r"since=(\d+)", target), re.search(r"timeout_ms=(\d+)", target)
        watch = Watch(link, int(found[1]) if found else None)
        self.watches.append(watch)
        if watch.since is None or watch.since != self.generation:
            self.tell(watch)
        else:
            self.loop.call_later(int(wait[1]) / 1000.0 if wait else 0.0, self.tell, watch)

    def tell(self, watch: Watch) -> None:
        """Answers, unless it has or can't; what has changed while it is down goes out at its return."""
        if watch in self.watches and not self.down:
            self.watches.remove(watch)
            if not (watch.link.silent or watch.link.closed):
                watch.link.answer(message(200, self.listing(watch.since)))

    def listing(self, since: int | None) -> bytes:
        whole = (since is None or since > self.generation) and not self.always_changes
        news = {e["instanceId"]: e for at, e in self.changes if not whole and at > (since or 0)}
        told = {"generation": self.generation, "reset": whole,
                "instances": list((self.entries if whole else news).values())}
        return json.dumps(told, indent=self.indent).encode()

    def change(self, *entries: dict[str, Any]) -> None:
        self.generation += 1
        for entry in entries:
            self.changes.append((self.generation, entry))
            if entry["lifecycle"] == "DELETED":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        for watch in list(self.watches):
            self.tell(watch)

    def fall_silent(self) -> None:
        for link in self.links:
            link.silent = True

    def reset(self) -> None:
        for link in list(self.links):
            link.abort()

    def stop(self, forgets: bool) -> None:
        self.down, self.forgets = True, forgets
        if forgets:
            self.fall_silent()

    def go_on(self) -> None:
        self.down = self.forgets = False
        for watch in list(self.watches):
            if watch.since != self.generation:
                self.tell(watch)


def entry(name: str, state: str = "SERVING") -> dict[str, Any]:
    return peers.entry(name, "127.0.0.1:9", state)


class Follower:
    """A gateway's discovery, and when it heard what."""

    def __init__(self, loop: VirtualLoop, seed: int = 1, gateways: int = 1, grace: float | None = 1.0,
                 known: int | None = 1, addresses: tuple[Address, ...] = (AGENT,)) -> None:
        self.loop, self.told = loop, list[tuple[float, Listing]]()
        self.states: dict[str, str] = {}
        self.discovery = Discovery(addresses, 0.25, self.hear, known, seed, gateways, grace)
        self.task = loop.create_task(self.discovery.run())

    def hear(self, listing: Listing) -> None:
        self.told.append((self.loop.time(), listing))
        if listing.is_full:
            self.states = {}
        self.states.update({e.backend.address: e.backend.status.value for e in listing.entries})

    def heard_at(self, generation: int) -> float:
        """When it heard of this version or a newer one."""
        return next((at for at, listing in self.told if listing.generation >= generation), float("inf"))


def play(script: Callable[[VirtualLoop], Awaitable[None]]) -> None:
    """Runs the script in a loop of its own; tasks that it left are ended."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(script(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
