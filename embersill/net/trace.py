"""Trace of single requests and of changes of state: one line of `name=value` pairs per event.

It is off unless the environment variable EMBERSILL_TRACE is 1. At most LINES_PER_SECOND lines are written;
further ones are dropped, and the next line reports their number.
"""

from __future__ import annotations

import logging
from collections import Counter as Tally
from collections.abc import Callable, Mapping

ENVIRONMENT_VARIABLE = "EMBERSILL_TRACE"
LINES_PER_SECOND = 2000.0  # a busy gateway writes some hundred: a flood must not fill a disk
BURST_LINES = 4000.0  # lines that may be written at once
LAG_BOUNDS_MS = (5, 20, 50, 100, 200, 500)  # lower bounds of the loop lag histogram's buckets

log = logging.getLogger("embersill.trace")


class Trace:
    """Writes trace lines within the rate limit."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.tokens, self.refilled_at = BURST_LINES, clock()
        self.dropped_lines = 0

    def note(self, event: str, **fields: object) -> None:
        """Writes one event. Floats are in seconds."""
        now = self.clock()
        self.tokens = min(BURST_LINES, self.tokens + LINES_PER_SECOND * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            self.dropped_lines += 1
            return
        self.tokens -= 1.0
        if self.dropped_lines:
            fields["left_out"] = self.dropped_lines
            self.dropped_lines = 0
        log.info("at=%.4f event=%s %s", now, event, " ".join(map(format_field, fields.items())))


def format_field(field: tuple[str, object]) -> str:
    name, value = field
    text = f"{value:.4f}" if isinstance(value, float) else str(value)
    return f'{name}="{text}"' if " " in text else f"{name}={text}"


def make_trace(environ: Mapping[str, str], clock: Callable[[], float]) -> Trace | None:
    """Returns a trace if the environment asks for one, else None."""
    return Trace(clock) if environ.get(ENVIRONMENT_VARIABLE) == "1" else None


class LoopLag:
    """Histogram of how late the loop's timers ran. A lag below the lowest of LAG_BOUNDS_MS is not counted."""

    def __init__(self) -> None:
        self.counts: Tally[str] = Tally()

    def record(self, seconds: float) -> None:
        reached = [bound for bound in LAG_BOUNDS_MS if 1000.0 * seconds >= bound]
        if reached:
            self.counts[f"loop late {reached[-1]} ms"] += 1
