"""The counter of a soak, and what can go wrong with it."""

from __future__ import annotations

import asyncio
import random
import time
from enum import Enum

from embersill.lab.peers import Peer, read_call, total_text
from embersill.lab.scale.resp import BUSY, MAX_LIFE_SECONDS, OK, AddCall, CounterModel

LATEST = 0.3  # seconds that an answer takes at the most while the counter is slow


class CounterState(Enum):
    """How the counter answers."""

    PROMPT = "prompt"
    SILENT = "silent"  # adds, and says nothing
    LATE = "late"
    BUSY = "busy"  # turns calls away


class CounterServer(Peer):
    """Adds to names as the protocol has it, in the state that the play sets."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.model = CounterModel(time.monotonic, 1, 0.0)
        self.state, self.dice = CounterState.PROMPT, random.Random(f"counter {seed}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words = await read_call(reader)
            if len(words) != 4:
                writer.write(OK)
            elif self.state is CounterState.BUSY:
                writer.write(BUSY)
            else:
                if self.state is CounterState.LATE:
                    await asyncio.sleep(self.dice.uniform(0.0, LATEST))
                life = min(float(words[3]) / 1000.0, MAX_LIFE_SECONDS)
                self.model.reserve(words[1])
                total = self.model.add(AddCall(words[1], float(words[2]), life))
                if self.state is not CounterState.SILENT and not writer.is_closing():
                    writer.write(total_text(total))
