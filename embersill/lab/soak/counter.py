"""The counter of a soak, and the faults that it can show."""

from __future__ import annotations

import asyncio
import random
import time
from enum import Enum

from embersill.lab.peers import Peer, read_counter_call, counter_reply
from embersill.lab.scale.resp import BUSY, MAX_LIFE_SECONDS, OK, AddCall, CounterModel

MAX_LATE_DELAY = 0.3  # seconds that an answer takes at most in the state LATE


class CounterState(Enum):
    """How the counter answers."""

    PROMPT = "prompt"
    SILENT = "silent"  # adds, but does not answer
    LATE = "late"  # adds and answers after a random delay
    BUSY = "busy"  # refuses calls without adding


class CounterServer(Peer):
    """Adds amounts to names by the counter's protocol; `state` is set from outside."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.model = CounterModel(time.monotonic, 1, 0.0)
        self.state, self.rng = CounterState.PROMPT, random.Random(f"counter {seed}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            arguments = await read_counter_call(reader)
            if len(arguments) != 4:
                writer.write(OK)
            elif self.state is CounterState.BUSY:
                writer.write(BUSY)
            else:
                if self.state is CounterState.LATE:
                    await asyncio.sleep(self.rng.uniform(0.0, MAX_LATE_DELAY))
                life = min(float(arguments[3]) / 1000.0, MAX_LIFE_SECONDS)
                self.model.reserve(arguments[1])
                total = self.model.add(AddCall(arguments[1], float(arguments[2]), life))
                if self.state is not CounterState.SILENT and not writer.is_closing():
                    writer.write(counter_reply(total))
