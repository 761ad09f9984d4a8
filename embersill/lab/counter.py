"""The counter service in the model: names on parts, a part serves one call after the other."""

from __future__ import annotations

import zlib
from collections import Counter as Tally
from collections.abc import Callable

from embersill.interface import CounterCallEnded, Outcome
from embersill.lab.clock import Time
from embersill.lab.scenario import Counter as CounterForm

LONGEST_LIFE = 60.0  # seconds that a name is kept at the most: the protocol's


class CounterService:
    def __init__(self, clock: Time, form: CounterForm, zone: str = "") -> None:
        self.clock, self.form, self.zone = clock, form, zone
        self.free_at = [0.0] * form.parts
        self.totals: dict[str, tuple[float, float]] = {}  # a name's total, and when it is forgotten
        self.down = False
        self.slowed = 1.0  # times as long that a call takes
        self.ends: Tally[str] = Tally()

    def add(self, name: str, amount: float, life: float, told: Callable[[CounterCallEnded], None]) -> None:
        """One call. It adds also where the answer comes too late; silence where the service is down."""
        form, began = self.form, self.clock.now
        part = zlib.crc32(name.encode()) % form.parts
        arrives = began + form.delay / 2
        begins = max(arrives, self.free_at[part])

        def tell(outcome: Outcome, total: float) -> None:
            self.ends[outcome.value] += 1
            told(CounterCallEnded(name, outcome, self.clock.now - began, total))

        if self.down:
            self.stay_silent(name, told)
        elif (begins - arrives) * form.per_s > form.line * self.slowed:
            self.clock.later(form.delay, lambda: tell(Outcome.REJECTED, 0.0))
        else:
            self.free_at[part] = done = begins + self.slowed / form.per_s
            back = done + form.delay / 2
            self.clock.later(done - began, lambda: self.serve(name, amount, life, back, began, tell))

    def stay_silent(self, name: str, told: Callable[[CounterCallEnded], None]) -> None:
        """A call that nobody hears: its caller gives it up."""
        self.ends[Outcome.TIMED_OUT.value] += 1
        patience = self.form.patience
        self.clock.later(patience, lambda: told(CounterCallEnded(name, Outcome.TIMED_OUT, patience, 0.0)))

    def serve(self, name: str, amount: float, life: float, back: float, began: float,
              tell: Callable[[Outcome, float], None]) -> None:
        now = self.clock.now
        total, forgotten = self.totals.get(name, (0.0, 0.0))
        if forgotten <= now:
            total, forgotten = 0.0, now + min(life, LONGEST_LIFE)
        total += amount
        self.totals[name] = (total, forgotten)
        patience = began + self.form.patience
        if back > patience:
            self.clock.later(max(patience - now, 0.0), lambda: tell(Outcome.TIMED_OUT, 0.0))
        else:
            self.clock.later(back - now, lambda: tell(Outcome.SERVED, total))

    def lose_all(self) -> None:
        self.totals.clear()

    def forget(self) -> None:
        """Drops names that are over, so that a long day stays small."""
        now = self.clock.now
        self.totals = {n: kept for n, kept in self.totals.items() if kept[1] > now}
