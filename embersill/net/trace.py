"""The trace of single requests and of changes of state: a line of `name=value` pairs for each event.

Off unless the environment variable EMBERSILL_TRACE is 1. At most LINES_PER_SECOND lines are written; what is
left out is counted, and the count is told with the next line.
"""

from __future__ import annotations

import logging
from collections import Counter as Tally
from collections.abc import Callable, Mapping

VARIABLE = "EMBERSILL_TRACE"
LINES_PER_SECOND = 2000.0  # a busy gateway writes some hundred: a flood must not fill a disk
BURST = 4000.0  # lines that may come at once
LAG_BOUNDS_MS = (5, 20, 50, 100, 200, 500)  # of the loop's lag, for its histogram

log = logging.getLogger("embersill.trace")


class Trace:
    """Writes the trace's lines, as many as its rate allows."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.tokens, self.filled_at = BURST, clock()
        self.left_out = 0

    def note(self, event: str, **fields: object) -> None:
        """One event; floats are seconds."""
        now = self.clock()
        self.tokens = min(BURST, self.tokens + LINES_PER_SECOND * (now - self.filled_at))
        self.filled_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return
        self.tokens -= 1.0
        if self.left_out:
            fields["left_out"] = self.left_out
            self.left_out = 0
        log.info("at=%.4f event=%s %s", now, event, " ".join(map(as_pair, fields.items())))


def as_pair(field: tuple[str, object]) -> str:
    name, value = field
    text = f"{value:.4f}" if isinstance(value, float) else str(value)
    return f'{name}="{text}"' if " " in text else f"{name}={text}"


def make_trace(environ: Mapping[str, str], clock: Callable[[], float]) -> Trace | None:
    """The trace, where the environment asks for it."""
    return Trace(clock) if environ.get(VARIABLE) == "1" else None


class LoopLag:
    """How late the loop's timers came, in steps of LAG_BOUNDS_MS; what comes in time is not counted."""

    def __init__(self) -> None:
        self.counts: Tally[str] = Tally()

    def note(self, seconds: float) -> None:
        reached = [bound for bound in LAG_BOUNDS_MS if 1000.0 * seconds >= bound]
        if reached:
            self.counts[f"loop late {reached[-1]} ms"] += 1
