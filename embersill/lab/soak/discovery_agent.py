"""The discovery agent of one gateway's machine, where lists are pushed: what it has counts as told."""

from __future__ import annotations

import asyncio
import json
import re
import time
from dataclasses import dataclass, field
from math import inf
from typing import Any

from embersill.lab.peers import Peer, message, read_message, reset

ENDED_STATES = ("DRAINING", "DELETED")
POLL_INTERVAL = 0.01  # seconds between looks whether discovery is back


@dataclass(slots=True)
class AgentFaults:
    """What goes wrong at an agent now."""

    down: bool = False  # it is silent, and learns nothing
    chunk_bytes: int = 0  # bytes of an answer that are written at a time; 0: all at once
    chunk_pause: float = 0.0  # seconds between pieces
    full_lists: bool = False  # every answer is the whole list, without backends that drain
    indented: bool = False
    close_watches: bool = False  # closes in place of an answer


@dataclass(slots=True)
class DrainPeriod:
    """When a gateway was told that a backend drains or is gone, and until when that held."""

    started_at: float
    ended_at: float = inf


@dataclass(slots=True)
class DrainHistory:
    """What the agent had, for the rules on drains and slow start."""

    periods: dict[str, list[DrainPeriod]] = field(default_factory=dict)

    def record_entry(self, entry: dict[str, Any], now: float) -> None:
        ends = self.periods.setdefault(entry["instanceId"], [])
        ended = entry["lifecycle"] in ENDED_STATES
        if ended and not (ends and ends[-1].ended_at == inf):
            ends.append(DrainPeriod(now))
        elif not ended and ends and ends[-1].ended_at == inf:
            ends[-1].ended_at = now


class DiscoveryAgent(Peer):
    """Answers its gateway's calls from what it was sent."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__()
        self.generation = 1
        self.entries = {entry["instanceId"]: (1, entry) for entry in entries}
        self.missed_changes: list[dict[str, Any]] = []  # changes that came while it was down
        self.faults, self.drain_history = AgentFaults(), DrainHistory()
        self.list_changed = asyncio.Event()
        self.calls = 0
        self.bytes_written = 0
        self.last_written_at = 0.0  # when the last whole answer was written

    def initial_list(self) -> dict[str, Any]:
        """The list as the gateway's configuration has it."""
        return self.make_list(0)

    def apply_changes(self, changed: list[dict[str, Any]]) -> None:
        """Changes come from discovery; while the agent is down they wait there."""
        if self.faults.down:
            self.missed_changes += changed
            return
        if not changed:
            return
        self.generation += 1
        now = time.monotonic()
        for entry in changed:
            self.entries[entry["instanceId"]] = self.generation, entry
            self.drain_history.record_entry(entry, now)
        wake, self.list_changed = self.list_changed, asyncio.Event()
        wake.set()

    def set_down(self, down: bool) -> None:
        """An outage of discovery: what it missed comes at its return."""
        self.faults.down = down
        if down:
            for writer in list(self.open):
                reset(writer)
        else:
            late, self.missed_changes = self.missed_changes, []
            self.apply_changes(late)

    def break_watches(self) -> None:
        for writer in list(self.open):
            reset(writer)

    def make_list(self, since: int) -> dict[str, Any]:
        whole = since == 0 or self.faults.full_lists
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
                await asyncio.sleep(POLL_INTERVAL)
            told = dict(re.findall(r"(since|timeout_ms)=(\d+)", first))
            since = int(told.get("since", 0))
            if since >= self.generation:
                try:
                    await asyncio.wait_for(self.list_changed.wait(), float(told.get("timeout_ms", 0)) / 1000.0)
                except TimeoutError:
                    pass
            if self.faults.close_watches and since:
                return
            text = json.dumps(self.make_list(since), indent=2 if self.faults.indented else None)
            await self.write(writer, message(200, text.encode()))

    async def write(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        size = self.faults.chunk_bytes or len(text)
        self.bytes_written += len(text)
        for place in range(0, len(text), size):
            if writer.transport.is_closing():
                raise ConnectionResetError
            writer.write(text[place : place + size])
            if self.faults.chunk_pause > 0:
                await asyncio.sleep(self.faults.chunk_pause)
        self.last_written_at = time.monotonic()
