"""Figures at a size that was not played as a whole, from plays that vary one axis at a time.

The model, in three steps:

* One axis: at a value that was played, the mean of its plays. Elsewhere the fitted line. Where the plays
  bend, the straight connection between neighbouring points, going on below the smallest, and nothing beyond
  the largest. Where the slope's interval includes nought, the mean of all plays.
* Several axes add: the figure on the first axis of a term, the anchor, plus for each further axis the
  difference of that axis's curve between the wanted value and the value at which the anchor was played.
  A slope whose interval includes nought adds nothing. What one gateway spends follows the customers that
  come to it: there the customers axis is read where it brings as many to each of its own gateways.
* A row is the sum of its terms. A term is such a figure, times another one (a cost per call times calls),
  times a factor that is reckoned from the size (a figure per gateway times gateways).

All that is combined in the second or third step is marked as reckoned, also if the parts were measured.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import TypeVar

import numpy as np

from embersill.lab.scale.coming_size import CapacityTarget
from embersill.lab.scale.fits import NotExtrapolated, figures_of, fit_slopes, predict
from embersill.lab.scale.records import FleetSize, Play, Slope

RESTART = "restart_"  # begins the names of measures that only plays with restarts have
COUNTER_COST = "counter_us_per_call"  # reckoned from two measures of the same play
SAME = 0.005  # relative difference up to which two values of an axis are one
MICROSECONDS = 1_000_000

Size = Mapping[str, float]  # by axis
Item = TypeVar("Item")


class Kind(enum.Enum):
    """Where a figure comes from."""

    MEASURED = "measured"
    LINE = "line"
    RECKONED = "reckoned"
    GIVEN = "given"
    NOT_EXTENDED = "not extended"
    NOT_MEASURED = "not measured"


class NotMeasured(Exception):
    """The record has no plays from which the figure could come."""


class OutsideModel(Exception):
    """The model has no figure there: it came out negative."""


@dataclass(frozen=True, slots=True)
class Factor:
    """A number that is reckoned from the size alone, and its formula in words."""

    formula: str
    reckon: Callable[[CapacityTarget], float]


@dataclass(frozen=True, slots=True)
class Term:
    """A measure at the wanted size, times a factor.

    `over` are the axes that the measure has to have been played over, the anchor first. `settled` are axes
    whose wanted value the term itself names, like the share of gateways that start again. `at_gateway` is
    for what one gateway has, spends or sees. With `per_gateway` the measure, taken over the played fleet, is
    divided by the number of its gateways.
    """

    measure: str
    over: tuple[str, ...]
    factor: Factor | None = None
    times: Term | None = None
    settled: Mapping[str, float] = field(default_factory=dict)
    at_gateway: bool = False
    per_gateway: bool = False


@dataclass(frozen=True, slots=True)
class Reading:
    """A figure of one measure, and how it was come by."""

    value: float
    kind: Kind
    how: str
    slopes: tuple[Slope, ...] = ()
    runs: tuple[str, ...] = ()


@dataclass(frozen=True)
class Curve:
    """All plays of one axis that have one measure."""

    axis: str
    measure: str
    plays: tuple[Play, ...]  # by value
    slope: Slope | None  # None: too few values for a line

    @cached_property
    def points(self) -> dict[float, float]:
        """The mean figure of the plays at each value."""
        figures: dict[float, list[float]] = {}
        for play in self.plays:
            figures.setdefault(play.value, []).append(figure_of(play, self.measure))
        return {value: float(np.mean(of_value)) for value, of_value in sorted(figures.items())}

    @cached_property
    def smallest(self) -> float:
        """The smallest value that was played."""
        return min(self.points)

    @cached_property
    def largest(self) -> float:
        """The largest value that was played."""
        return max(self.points)

    @cached_property
    def run(self) -> str:
        """The run behind the figures, in words."""
        return f"{self.axis} {number(self.smallest)} to {number(self.largest)}, {len(self.plays)} plays"

    @property
    def size(self) -> FleetSize:
        """The size of the fleet at the largest value."""
        return self.plays[-1].size

    @cached_property
    def is_flat(self) -> bool:
        """Whether the slope cannot be told from nought."""
        return self.slope is not None and not self.slope.bends and self.slope.low <= 0.0 <= self.slope.high

    def at(self, value: float) -> Reading:
        """The figure at one value; NotMeasured or NotExtrapolated where there is none."""
        for played, figure in self.points.items():
            if same(played, value):
                return self.reading(figure, Kind.MEASURED, f"measured at {number(value)} {self.axis}")
        if self.slope is None:
            raise NotMeasured(f"{self.measure} over {self.axis}: too few values for a line")
        if self.slope.bends:
            return self.between_points(value)
        if self.is_flat:
            mean = float(np.mean(list(self.points.values())))
            return self.reading(mean, Kind.LINE, f"flat over {self.axis}, mean of all plays")
        return self.reading(predict(self.slope, value), Kind.LINE, self.describe_line(value))

    def between_points(self, value: float) -> Reading:
        """The figure on the straight connection of the played points around this value.

        Below the smallest the first connection goes on; NotExtrapolated beyond the largest.
        """
        if value > self.largest:
            raise NotExtrapolated(
                f"{self.measure} bends over {self.axis}, played from {number(self.smallest)} to "
                f"{number(self.largest)}; {number(self.points[self.largest])} there")
        if value < self.smallest:
            (first, low), (second, high) = list(self.points.items())[:2]
            figure = low + (high - low) * (value - first) / (second - first)
            return self.reading(figure, Kind.LINE, f"curve that bends over {self.axis}, extended down to "
                                                   f"{number(value)} by its first two points")
        figure = float(np.interp(value, list(self.points), list(self.points.values())))
        return self.reading(figure, Kind.LINE, f"between points of a curve that bends over {self.axis}")

    def reading(self, figure: float, kind: Kind, how: str) -> Reading:
        """A figure of this curve."""
        return Reading(figure, kind, how, self.fitted, (self.run,))

    def describe_line(self, value: float) -> str:
        """The line and how far it was extended, in words."""
        line = f"line through {number(self.smallest)}..{number(self.largest)} {self.axis}"
        if value > self.largest > 0:
            return f"{line}, extended {number(value / self.largest)} times"
        if value < self.smallest:
            return f"{line}, extended down to {number(value)}"
        return line

    @property
    def fitted(self) -> tuple[Slope, ...]:
        """The slope, if there is one."""
        return () if self.slope is None else (self.slope,)


class CapacityModel:
    """Reads figures at any size out of the plays of a record."""

    def __init__(self, recorded: Sequence[Play]) -> None:
        plays = [with_costs_per_call(without_idle_restarts(play)) for play in recorded]
        slopes = {(slope.axis, slope.measure): slope for slope in fit_slopes(plays)}
        by_measure: dict[tuple[str, str], list[Play]] = {}
        for play in plays:
            for measure, figure in figures_of(play):
                if math.isfinite(figure):
                    by_measure.setdefault((play.axis, measure), []).append(play)
        self.curves = {
            key: Curve(*key, tuple(sorted(found, key=play_order)), slopes.get(key))
            for key, found in by_measure.items()
        }

    def read_terms(self, terms: Iterable[Term], target: CapacityTarget) -> Reading:
        """The sum of the terms at this size."""
        readings = [self.read_term(term, target) for term in terms]
        if len(readings) == 1:
            return readings[0]
        return Reading(
            value=sum(reading.value for reading in readings),
            kind=Kind.RECKONED,
            how=" + ".join(reading.how for reading in readings),
            slopes=distinct(slope for reading in readings for slope in reading.slopes),
            runs=distinct(run for reading in readings for run in reading.runs),
        )

    def read_term(self, term: Term, target: CapacityTarget) -> Reading:
        """One measure at this size, times the term's other measure and factor."""
        reading = self.read_measure(term, wanted_size(target) | dict(term.settled))
        if term.times is not None:
            other = self.read_term(term.times, target)
            reading = Reading(
                value=reading.value * other.value,
                kind=Kind.RECKONED,
                how=f"{reading.how} x {other.how}",
                slopes=distinct([*reading.slopes, *other.slopes]),
                runs=distinct([*reading.runs, *other.runs]),
            )
        if term.factor is not None:
            reading = replace(reading, value=reading.value * term.factor.reckon(target), kind=Kind.RECKONED,
                              how=f"{reading.how} x {term.factor.formula}")
        return reading

    def read_measure(self, term: Term, wanted: Size) -> Reading:
        """The measure on the anchor's axis, and what the other axes add."""
        anchor = self.curve(term.over[0], term.measure)
        reading = anchor.at(wanted_value(term, anchor, wanted))
        value, kind, how = reading.value, reading.kind, [reading.how]
        slopes, runs, flat, held = list(reading.slopes), list(reading.runs), list[str](), list[str]()
        state = played_size(anchor.size) | {anchor.axis: wanted[anchor.axis]}
        for axis in further_axes(term, wanted):
            curve = self.further_curve(term, axis)
            if curve is None:
                held += [] if same(state[axis], wanted[axis]) else [axis]
                continue
            base, sought = wanted_value(term, curve, state), wanted_value(term, curve, wanted)
            state[axis] = wanted[axis]
            if same(base, sought):
                continue
            if curve.is_flat:
                flat.append(axis)
                continue
            value += curve.at(sought).value - curve.at(base).value
            kind = Kind.RECKONED
            how.append(describe_step(curve, base, sought))
            slopes.extend(curve.fitted)
            runs.append(curve.run)
        text = " + ".join(how)
        if flat:
            text += f"; flat over {', '.join(flat)}"
        if held:
            text += f"; {', '.join(held)} as played"
        if term.per_gateway:
            value, kind, text = value / anchor.size.gateways, Kind.RECKONED, text + "; per played gateway"
        if value < 0.0:
            raise OutsideModel(f"{term.measure} comes out negative")
        return Reading(value, kind, f"{term.measure} ({text})", tuple(slopes), tuple(runs))

    def further_curve(self, term: Term, axis: str) -> Curve | None:
        """The curve of an axis beside the anchor's.

        None if the term does not require the axis and there is no line over it; NotMeasured if it does.
        """
        if axis in term.over:
            return self.curve(axis, term.measure)
        return self.curves[axis, term.measure] if self.has_line(axis, term.measure) else None

    def has_line(self, axis: str, measure: str) -> bool:
        """Whether this measure was played over this axis at enough values."""
        curve = self.curves.get((axis, measure))
        return curve is not None and curve.slope is not None

    def curve(self, axis: str, measure: str) -> Curve:
        """The plays of this axis with this measure."""
        if (axis, measure) not in self.curves:
            raise NotMeasured(f"{measure} over {axis}")
        return self.curves[axis, measure]


def further_axes(term: Term, wanted: Size) -> list[str]:
    """The axes beside the anchor's, the required ones first.

    What one gateway spends follows the customers that come to it, of which the gateways axis would bring the
    change once more; so that axis counts there as the anchor only.
    """
    anchor = term.over[0]
    left_out = {anchor, "gateways"} if term.per_gateway or term.at_gateway else {anchor}
    return [axis for axis in distinct([*term.over, *wanted]) if axis not in left_out]


def wanted_value(term: Term, curve: Curve, size: Size) -> float:
    """The value on the curve's axis that stands for this size."""
    value = size[curve.axis]
    if curve.axis == "customers" and term.at_gateway:
        return value * curve.size.gateways / size["gateways"]
    return value


def describe_step(curve: Curve, base: float, sought: float) -> str:
    """What a further axis adds, in words."""
    text = f"over {curve.axis}, at {number(sought)} less at {number(base)}"
    if sought > curve.largest and not same(sought, curve.largest):
        text += f" (extended {number(sought / curve.largest)} times)"
    return text


def same(one: float, other: float) -> bool:
    """Whether two values of an axis count as one."""
    return math.isclose(one, other, rel_tol=SAME)


def wanted_size(target: CapacityTarget) -> dict[str, float]:
    """The size as values of the axes; the spread stays as it was played, as the operators name none."""
    return {
        "gateways": target.gateways,
        "backends": target.backends,
        "customers": target.customers,
        "requests": target.requests_per_gateway,
        "changes": target.list_writes_per_second,
    }


def played_size(size: FleetSize) -> dict[str, float]:
    """The size of a play as values of the axes."""
    return {
        "gateways": size.gateways,
        "backends": size.backends,
        "customers": size.customers,
        "spread": size.spread,
        "requests": size.requests_per_second,
        "changes": size.changes_per_second,
        "restarted": size.restarted_share,
    }


def without_idle_restarts(play: Play) -> Play:
    """The play without figures of restarts, unless gateways were restarted in it."""
    if play.size.restarted_share > 0.0:
        return play
    return replace(
        play,
        counts={name: figure for name, figure in play.counts.items() if not name.startswith(RESTART)},
        times={name: figure for name, figure in play.times.items() if not name.startswith(RESTART)},
    )


def with_costs_per_call(play: Play) -> Play:
    """The play with the counter's processor time for one call, where there were calls."""
    calls, share = play.counts.get("counter_calls_fleet", 0.0), play.times.get("counter_cpu_share")
    if share is None or not calls > 0.0:
        return play
    return replace(play, times=play.times | {COUNTER_COST: MICROSECONDS * share / calls})


def figure_of(play: Play, measure: str) -> float:
    """The play's figure for a measure that it has."""
    return dict(figures_of(play))[measure]


def play_order(play: Play) -> tuple[float, int, int]:
    """The order of the plays of an axis."""
    return play.value, play.number, play.seed


def distinct(items: Iterable[Item]) -> tuple[Item, ...]:
    """Each item once, in the order of its first place."""
    return tuple(dict.fromkeys(items))


def number(value: float) -> str:
    """Three significant digits; whole numbers are grouped in thousands."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1e15 or abs(value) < 1e-4:
        return f"{value:.2e}"
    rounded = round(value, 2 - math.floor(math.log10(abs(value))))
    if abs(rounded) >= 100 or rounded == int(rounded):
        return f"{rounded:,.0f}"
    return f"{rounded:.6f}".rstrip("0").rstrip(".")
