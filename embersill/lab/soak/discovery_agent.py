"""The discovery agent of one gateway's machine, where lists are pushed: what it has counts as told."""

from __future__ import annotations

import asyncio
import json
import re
import time
from dataclasses import dataclass, field
from math import inf
from typing import Any

from embersill.lab.peers import Peer, response_bytes, read_message, reset

ENDED = ("DRAINING", "DELETED")
LOOK_EVERY = 0.01  # seconds between looks whether discovery is back


@dataclass(slots=True)
class AgentFaults:
    """What goes wrong at an agent now."""

    down: bool = False  # it is silent, and learns nothing
    piece: int = 0  # bytes of an answer that are written at a time; 0: all at once
    pause: float = 0.0  # seconds between pieces
    whole_lists: bool = False  # every answer is the whole list, without backends that drain
    indented: bool = False
    ends_watches: bool = False  # closes in place of an answer


@dataclass(slots=True)
class ToldEnd:
    """When a gateway was told that a backend drains or is gone, and until when that held."""

    at: float
    until: float = inf


@dataclass(slots=True)
class Told:
    """What the agent had, for the rules on drains and slow start."""

    ends: dict[str, list[ToldEnd]] = field(default_factory=dict)

    def note(self, entry: dict[str, Any], now: float) -> None:
        ends = self.ends.setdefault(entry["instanceId"], [])
        ended = entry["lifecycle"] in ENDED
        if ended and not (ends and ends[-1].until == inf):
            ends.append(ToldEnd(now))
        elif not ended and ends and ends[-1].until == inf:
            ends[-1].until = now


class DiscoveryAgent(Peer):
    """Answers its gateway's calls from what it was sent."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__()
        self.generation = 1
        self.entries = {entry["instanceId"]: (1, entry) for entry in entries}
        self.late: list[dict[str, Any]] = []  # changes that came while it was down
        self.faults, self.told = AgentFaults(), Told()
        self.wake = asyncio.Event()
        self.calls = 0
        self.bytes_written = 0
        self.written_at = 0.0  # when the last whole answer was written

    def known(self) -> dict[str, Any]:
        """The list as the gateway's configuration has it."""
        return self.listing(0)

    def hear(self, changed: list[dict[str, Any]]) -> None:
        """Changes come from discovery; while the agent is down they wait there."""
        if self.faults.down:
            self.late += changed
            return
        if not changed:
            return
        self.generation += 1
        now = time.monotonic()
        for entry in changed:
            self.entries[entry["instanceId"]] = self.generation, entry
            self.told.note(entry, now)
        wake, self.wake = self.wake, asyncio.Event()
        wake.set()

    def set_down(self, down: bool) -> None:
        """An outage of discovery: what it missed comes at its return."""
        self.faults.down = down
        if down:
            for writer in list(self.writers):
                reset(writer)
        else:
            late, self.late = self.late, []
            self.hear(late)

    def break_watches(self) -> None:
        for writer in list(self.writers):
            reset(writer)

    def listing(self, since: int) -> dict[str, Any]:
        whole = since == 0 or self.faults.whole_lists
        entries = [
            entry
            for generation, entry in self.entries.values()
            if generation > since and not whole or whole and entry["lifecycle"] == "SERVING"
        ]
        return {"generation": self.generation, "reset": whole, "instances": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            self.calls += 1
            while self.faults.down:
                await asyncio.sleep(LOOK_EVERY)
            told = dict(re.findall(r"(since|timeout_ms)=(\d+)", first))
            since = int(told.get("since", 0))
            if since >= self.generation:
                try:
                    await asyncio.wait_for(self.wake.wait(), float(told.get("timeout_ms", 0)) / 1000.0)
                except TimeoutError:
                    pass
            if self.faults.ends_watches and since:
                return
            text = json.dumps(self.listing(since), indent=2 if self.faults.indented else None)
            await self.write(writer, response_bytes(200, text.encode()))

    async def write(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        size = self.faults.piece or len(text)
        self.bytes_written += len(text)
        for place in range(0, len(text), size):
            if writer.transport.is_closing():
                raise ConnectionResetError
            writer.write(text[place : place + size])
            if self.faults.pause > 0:
                await asyncio.sleep(self.faults.pause)
        self.written_at = time.monotonic()
