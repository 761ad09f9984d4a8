"""The discovery agent on a gateway's machine, for pushed lists.

A gateway counts as knowing whatever its agent has received.
"""

from __future__ import annotations

import asyncio
import json
import re
import time
from dataclasses import dataclass, field
from math import inf
from typing import Any

from embersill.lab.peers import Peer, response_bytes, read_message, reset

ENDED_STATES = ("DRAINING", "DELETED")
POLL_INTERVAL = 0.01  # seconds between checks for the end of an outage


@dataclass(slots=True)
class AgentFaults:
    """Faults of an agent that are active now."""

    down: bool = False  # answers nothing and receives no changes
    chunk_bytes: int = 0  # of an answer that are written at a time; 0: all at once
    chunk_pause: float = 0.0  # seconds after each chunk
    full_lists: bool = False  # every answer is the full list, which omits draining backends
    indented: bool = False  # JSON on many lines
    close_watches: bool = False  # watches end with a close in place of an answer


@dataclass(slots=True)
class DrainPeriod:
    """Time in which an agent lists a backend as draining or removed, by the monotonic clock."""

    started_at: float
    ended_at: float = inf


@dataclass(slots=True)
class DrainHistory:
    """Drain periods of all backends as one agent received them, for the check of drains."""

    periods: dict[str, list[DrainPeriod]] = field(default_factory=dict)

    def record_entry(self, entry: dict[str, Any], now: float) -> None:
        """Starts or ends a drain period as the entry's lifecycle says."""
        periods = self.periods.setdefault(entry["instanceId"], [])
        ended = entry["lifecycle"] in ENDED_STATES
        if ended and not (periods and periods[-1].ended_at == inf):
            periods.append(DrainPeriod(now))
        elif not ended and periods and periods[-1].ended_at == inf:
            periods[-1].ended_at = now


class DiscoveryAgent(Peer):
    """Answers the list calls and watches of its gateway from the changes that it received."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__()
        self.generation = 1
        self.entries = {entry["instanceId"]: (1, entry) for entry in entries}
        self.missed_changes: list[dict[str, Any]] = []  # held back while the agent is down
        self.faults, self.drain_history = AgentFaults(), DrainHistory()
        self.list_changed = asyncio.Event()
        self.calls = 0
        self.bytes_written = 0
        self.last_written_at = 0.0  # when the last complete answer was written

    def initial_list(self) -> dict[str, Any]:
        """The full list, for the gateway's configuration."""
        return self.make_list(0)

    def apply_changes(self, changed: list[dict[str, Any]]) -> None:
        """Receives changes from discovery; while the agent is down they are held back."""
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
        changed_event, self.list_changed = self.list_changed, asyncio.Event()
        changed_event.set()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage of discovery; missed changes are applied at its end."""
        self.faults.down = down
        if down:
            for writer in list(self.writers):
                reset(writer)
        else:
            missed, self.missed_changes = self.missed_changes, []
            self.apply_changes(missed)

    def break_watches(self) -> None:
        """Resets all open connections."""
        for writer in list(self.writers):
            reset(writer)

    def make_list(self, since: int) -> dict[str, Any]:
        """The changes after a generation, or the full list of serving backends for generation 0."""
        full = since == 0 or self.faults.full_lists
        entries = [
            entry
            for generation, entry in self.entries.values()
            if generation > since and not full or full and entry["lifecycle"] == "SERVING"
        ]
        return {"generation": self.generation, "reset": full, "instances": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_line, _, _ = await read_message(reader)
            self.calls += 1
            while self.faults.down:
                await asyncio.sleep(POLL_INTERVAL)
            parameters = dict(re.findall(r"(since|timeout_ms)=(\d+)", request_line))
            since = int(parameters.get("since", 0))
            if since >= self.generation:
                try:
                    await asyncio.wait_for(
                        self.list_changed.wait(), float(parameters.get("timeout_ms", 0)) / 1000.0
                    )
                except TimeoutError:
                    pass
            if self.faults.close_watches and since:
                return
            text = json.dumps(self.make_list(since), indent=2 if self.faults.indented else None)
            await self.write(writer, response_bytes(200, text.encode()))

    async def write(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        """Writes an answer, in chunks if that fault is active. Raises ConnectionResetError once closed."""
        size = self.faults.chunk_bytes or len(text)
        self.bytes_written += len(text)
        for offset in range(0, len(text), size):
            if writer.transport.is_closing():
                raise ConnectionResetError
            writer.write(text[offset : offset + size])
            if self.faults.chunk_pause > 0:
                await asyncio.sleep(self.faults.chunk_pause)
        self.last_written_at = time.monotonic()
