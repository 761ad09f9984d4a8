"""What requests take at backends that are not overloaded, learned from their answers.

Overload shows in answers that take longer than the work itself does, so the work has to be known: without
that, a class whose ordinary work takes a large part of its aim looks overloaded on an idle fleet.

Times are kept by class, units and kind of machine, and by class alone for what was not seen yet. An average
is moved only by answers that say something of the work:

- nothing is shed: it follows, slowly, so that a rising queue is not taken for work;
- some is shed: answers hold waiting, so a clearly lower average is taken over and a higher one is not;
- all but the least part is shed: backends stand idle, so what answers take is the work, whatever was known.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from math import exp

AVERAGING_TIME = 60.0  # seconds over which an average follows answers while nothing is shed
INITIAL_ANSWERS = 16  # of which the average is taken whatever is shed
SHED_BATCH = 32  # answers whose average may lower the one that is known
LOWERING_THRESHOLD = 0.7  # times the known average, below which theirs is no chance
PROVEN_AFTER = 5.0  # seconds with nothing shed in which an average proves not to be an overload's own
UNPROVEN_DECAY_TIME = 2.0  # seconds of shedding in which one that did not prove itself falls to a third
LIGHTLY_LOADED_BATCH = 3  # answers of idle backends that replace it
MAX_AVERAGES = 4096  # averages; those kept longest make room

Key = tuple[str, float, str]  # class, kind of units, kind of machine


class SheddingState(Enum):
    """What a gateway does about overload at present."""

    NOT_SHEDDING = "none shed"
    SHEDDING = "shedding"
    LIGHTLY_LOADED = "relieved"  # it has shed all but the least part for some time


class AverageTime:
    """The average time of one kind of request, in seconds."""

    __slots__ = ("seconds", "answers", "updated_at", "batch", "load", "load_since", "proven")

    def __init__(self, seconds: float, now: float, answers: int = 1) -> None:
        self.seconds, self.answers, self.updated_at = seconds, answers, now
        self.batch: list[float] = []
        self.load, self.load_since = SheddingState.NOT_SHEDDING, now
        self.proven = False

    def add_answer(self, elapsed: float, load: SheddingState, now: float) -> None:
        """Takes in one answer."""
        if load is not self.load:
            self.batch, self.load, self.load_since = [], load, now
        if load is SheddingState.NOT_SHEDDING or load is SheddingState.SHEDDING and self.answers < INITIAL_ANSWERS:
            self.update_average(elapsed, now)
        else:
            self.batch.append(elapsed)
            self.evaluate_batch()
            self.decay_unproven(now)
        self.updated_at = now

    def decay_unproven(self, now: float) -> None:
        """Lowers what may be an overload's own: if it was the work, all will be shed, and that shows it."""
        if self.load is SheddingState.SHEDDING and not self.proven:
            self.seconds *= exp((self.updated_at - now) / UNPROVEN_DECAY_TIME)

    def update_average(self, elapsed: float, now: float) -> None:
        self.answers += 1
        self.proven |= self.load is SheddingState.NOT_SHEDDING and now - self.load_since >= PROVEN_AFTER
        weight = 1.0 - exp((self.updated_at - now) / AVERAGING_TIME)
        if self.answers <= INITIAL_ANSWERS:
            weight = max(weight, 1.0 / self.answers)
        self.seconds += weight * (elapsed - self.seconds)

    def evaluate_batch(self) -> None:
        relieved = self.load is SheddingState.LIGHTLY_LOADED
        if len(self.batch) < (LIGHTLY_LOADED_BATCH if relieved else SHED_BATCH):
            return
        average = sum(self.batch) / len(self.batch)
        if relieved or average < LOWERING_THRESHOLD * self.seconds:
            self.seconds, self.answers = average, max(self.answers, INITIAL_ANSWERS)
            self.proven |= relieved
        self.batch = []


class WorkTimes:
    """The average times of all kinds of requests that a gateway has seen answered."""

    def __init__(self) -> None:
        self.averages: dict[Key, AverageTime] = {}

    def add_answer(self, klass: str, units: float, machine: str, elapsed: float, load: SheddingState, now: float) -> None:
        """Takes in a good answer. `units`: the kind that they are kept by."""
        for key in ((klass, units, machine), (klass, 0.0, "")):
            average = self.averages.get(key)
            if average is None:
                self.store(key, AverageTime(elapsed, now))
            else:
                average.add_answer(elapsed, load, now)

    def expected_seconds(self, klass: str, units: float, machine: str) -> float | None:
        """Seconds that such a request takes; None where nothing of its class was answered yet."""
        average = self.averages.get((klass, units, machine)) or self.averages.get((klass, 0.0, ""))
        return None if average is None else average.seconds

    def expected_class_seconds(self, klass: str) -> float:
        """Seconds that a request of a class takes; 0 where nothing was answered yet."""
        average = self.averages.get((klass, 0.0, ""))
        return 0.0 if average is None else average.seconds

    def store(self, key: Key, average: AverageTime) -> None:
        self.averages[key] = average
        if len(self.averages) > MAX_AVERAGES:
            del self.averages[next(iter(self.averages))]

    def state(self) -> list[list[str | float]]:
        """What a successor is told, as JSON-ready rows."""
        return [[*key, average.seconds, average.answers] for key, average in self.averages.items()]

    def restore(self, rows: Iterable[Sequence[str | float]], now: float) -> None:
        """Takes over what `state` told."""
        for klass, units, machine, seconds, answers in rows:
            average = AverageTime(float(seconds), now, int(answers))
            self.store((str(klass), float(units), str(machine)), average)
