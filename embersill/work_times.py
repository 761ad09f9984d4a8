"""Estimates how long requests take at backends that are not overloaded, from their answers.

Overload is detected by answers that take longer than the work itself, so the time of the work has to be
known: otherwise a class whose normal work takes a large part of its aim looks overloaded on an idle fleet.

Averages are kept by class, units and machine type, and by class alone for combinations without an answer
yet. Which answers change an average depends on load shedding:

- nothing is shed: the average follows slowly, so that a growing queue does not count as work;
- some requests are shed: answer times include queueing, so only a clearly lower average is adopted;
- nearly all requests are shed: backends are idle and answer times are the work, so they replace the average.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from math import exp

AVERAGING_TIME = 60.0  # seconds; time constant of an average while nothing is shed
INITIAL_ANSWERS = 16  # the first answers of an average, which count also while requests are shed
SHED_BATCH = 32  # answers whose mean may lower the average while requests are shed
LOWERING_THRESHOLD = 0.7  # times the average; a batch below it is not lower by chance
PROVEN_AFTER = 5.0  # seconds without shedding after which an average is not the result of an overload
UNPROVEN_DECAY_TIME = 2.0  # seconds of shedding in which an unproven average decays by a factor of e
LIGHTLY_LOADED_BATCH = 3  # answers of idle backends that replace the average
MAX_AVERAGES = 4096  # averages kept; the oldest is dropped first

Key = tuple[str, float, str]  # class, units bucket, machine type


class SheddingState(Enum):
    """How much load a gateway is shedding."""

    NOT_SHEDDING = "none shed"
    SHEDDING = "shedding"
    LIGHTLY_LOADED = "relieved"  # it has shed nearly all requests for some time


class AverageTime:
    """The average answer time of requests of one key, in seconds.

    proven: the average cannot be the result of an overload
    """

    __slots__ = ("seconds", "answers", "updated_at", "batch", "load", "load_since", "proven")

    def __init__(self, seconds: float, now: float, answers: int = 1) -> None:
        self.seconds, self.answers, self.updated_at = seconds, answers, now
        self.batch: list[float] = []
        self.load, self.load_since = SheddingState.NOT_SHEDDING, now
        self.proven = False

    def add_answer(self, elapsed: float, load: SheddingState, now: float) -> None:
        """Updates the average with an answer that took `elapsed` seconds."""
        if load is not self.load:
            self.batch, self.load, self.load_since = [], load, now
        if load is SheddingState.NOT_SHEDDING or (
            load is SheddingState.SHEDDING and self.answers < INITIAL_ANSWERS
        ):
            self.update_average(elapsed, now)
        else:
            self.batch.append(elapsed)
            self.evaluate_batch()
            self.decay_unproven(now)
        self.updated_at = now

    def decay_unproven(self, now: float) -> None:
        """Lowers an average that may result from an overload.

        If it was the time of the work after all, nearly all requests are shed next, and the answers then
        restore it.
        """
        if self.load is SheddingState.SHEDDING and not self.proven:
            self.seconds *= exp((self.updated_at - now) / UNPROVEN_DECAY_TIME)

    def update_average(self, elapsed: float, now: float) -> None:
        """Moves the average towards an answer, by the time since the last one."""
        self.answers += 1
        self.proven |= self.load is SheddingState.NOT_SHEDDING and now - self.load_since >= PROVEN_AFTER
        weight = 1.0 - exp((self.updated_at - now) / AVERAGING_TIME)
        if self.answers <= INITIAL_ANSWERS:
            weight = max(weight, 1.0 / self.answers)
        self.seconds += weight * (elapsed - self.seconds)

    def evaluate_batch(self) -> None:
        """Replaces the average by the mean of a complete batch if that says more about the work."""
        lightly_loaded = self.load is SheddingState.LIGHTLY_LOADED
        if len(self.batch) < (LIGHTLY_LOADED_BATCH if lightly_loaded else SHED_BATCH):
            return
        average = sum(self.batch) / len(self.batch)
        if lightly_loaded or average < LOWERING_THRESHOLD * self.seconds:
            self.seconds, self.answers = average, max(self.answers, INITIAL_ANSWERS)
            self.proven |= lightly_loaded
        self.batch = []


class WorkTimes:
    """The average answer times of all requests that a gateway has seen, by class, units and machine type."""

    def __init__(self) -> None:
        self.averages: dict[Key, AverageTime] = {}

    def add_answer(
        self, request_class: str, units: float, machine_type: str, elapsed: float, load: SheddingState,
        now: float,
    ) -> None:
        """Adds a successful answer. `units`: the bucket of its units; `elapsed`: seconds."""
        for key in ((request_class, units, machine_type), (request_class, 0.0, "")):
            average = self.averages.get(key)
            if average is None:
                self.store(key, AverageTime(elapsed, now))
            else:
                average.add_answer(elapsed, load, now)

    def expected_seconds(self, request_class: str, units: float, machine_type: str) -> float | None:
        """Expected seconds for such a request; None if no request of its class was answered yet."""
        average = (
            self.averages.get((request_class, units, machine_type))
            or self.averages.get((request_class, 0.0, ""))
        )
        return None if average is None else average.seconds

    def expected_class_seconds(self, request_class: str) -> float:
        """Expected seconds for a request of a class; 0 if none was answered yet."""
        average = self.averages.get((request_class, 0.0, ""))
        return 0.0 if average is None else average.seconds

    def store(self, key: Key, average: AverageTime) -> None:
        """Adds an average; drops the oldest one if there are too many."""
        self.averages[key] = average
        if len(self.averages) > MAX_AVERAGES:
            del self.averages[next(iter(self.averages))]

    def state(self) -> list[list[str | float]]:
        """All averages as JSON-ready rows for a successor: class, units, machine type, seconds, answers."""
        return [[*key, average.seconds, average.answers] for key, average in self.averages.items()]

    def restore(self, rows: Iterable[Sequence[str | float]], now: float) -> None:
        """Adds the averages of a predecessor's `state`."""
        for request_class, units, machine_type, seconds, answers in rows:
            average = AverageTime(float(seconds), now, int(answers))
            self.store((str(request_class), float(units), str(machine_type)), average)
