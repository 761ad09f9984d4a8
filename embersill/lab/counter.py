"""A simulated counter service: names are distributed over parts, each of which serves calls in turn."""

from __future__ import annotations

import zlib
from collections import Counter as Tally
from collections.abc import Callable

from embersill.interface import CounterCallEnded, Outcome
from embersill.lab.clock import Scheduler
from embersill.lab.scenario import CounterConfig

MAX_LIFETIME = 60.0  # seconds that the protocol allows a name to live


class CounterService:
    """The totals of all names, and the delays, rejections and timeouts of calls."""

    def __init__(self, clock: Scheduler, config: CounterConfig, zone: str = "") -> None:
        self.clock, self.config, self.zone = clock, config, zone
        self.free_at = [0.0] * config.parts
        self.totals: dict[str, tuple[float, float]] = {}  # by name: its total and when it expires
        self.down = False
        self.slowdown = 1.0  # factor of the time that a call takes
        self.outcomes: Tally[str] = Tally()

    def add(
        self, name: str, amount: float, lifetime: float, on_result: Callable[[CounterCallEnded], None]
    ) -> None:
        """A call that adds to a name's total, also if its answer comes after the timeout.

        `on_result` is called with the result; with TIMED_OUT where the service is down.
        """
        config, called_at = self.config, self.clock.now
        part = zlib.crc32(name.encode()) % config.parts
        arrives_at = called_at + config.delay / 2
        starts_at = max(arrives_at, self.free_at[part])

        def end_call(outcome: Outcome, total: float) -> None:
            self.outcomes[outcome.value] += 1
            on_result(CounterCallEnded(name, outcome, self.clock.now - called_at, total))

        if self.down:
            self.time_out_call(name, on_result)
        elif (starts_at - arrives_at) * config.per_s > config.line * self.slowdown:
            self.clock.later(config.delay, lambda: end_call(Outcome.REJECTED, 0.0))
        else:
            self.free_at[part] = served_at = starts_at + self.slowdown / config.per_s
            answered_at = served_at + config.delay / 2
            self.clock.later(served_at - called_at, lambda: self.apply_call(
                name, amount, lifetime, answered_at, called_at, end_call))

    def time_out_call(self, name: str, on_result: Callable[[CounterCallEnded], None]) -> None:
        """A call that does not reach the service and times out at its caller."""
        self.outcomes[Outcome.TIMED_OUT.value] += 1
        timeout = self.config.patience
        self.clock.later(timeout, lambda: on_result(CounterCallEnded(name, Outcome.TIMED_OUT, timeout, 0.0)))

    def apply_call(self, name: str, amount: float, lifetime: float, answered_at: float, called_at: float,
                   end_call: Callable[[Outcome, float], None]) -> None:
        """Adds the amount and schedules the call's end, by its answer or its timeout."""
        now = self.clock.now
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + min(lifetime, MAX_LIFETIME)
        total += amount
        self.totals[name] = (total, expires_at)
        timeout_at = called_at + self.config.patience
        if answered_at > timeout_at:
            self.clock.later(max(timeout_at - now, 0.0), lambda: end_call(Outcome.TIMED_OUT, 0.0))
        else:
            self.clock.later(answered_at - now, lambda: end_call(Outcome.SERVED, total))

    def clear(self) -> None:
        self.totals.clear()

    def drop_expired(self) -> None:
        """Drops expired names, to bound the memory of long runs."""
        now = self.clock.now
        self.totals = {n: entry for n, entry in self.totals.items() if entry[1] > now}
