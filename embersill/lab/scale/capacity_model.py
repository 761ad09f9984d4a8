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
from embersill.lab.scale.fits import NotExtrapolated, measures_of, fit_slopes, predict
from embersill.lab.scale.records import FleetSize, Play, Slope

RESTART_PREFIX = "restart_"  # begins the names of measures that only plays with restarts have
COUNTER_US_PER_CALL = "counter_us_per_call"  # reckoned from two measures of the same play
AXIS_VALUE_TOLERANCE = 0.005  # relative difference up to which two values of an axis are one
MICROSECONDS_PER_SECOND = 1_000_000

AxisValues = Mapping[str, float]  # by axis
Item = TypeVar("Item")


class Origin(enum.Enum):
    """Where a figure comes from."""

    MEASURED = "measured"
    FITTED = "line"
    CALCULATED = "reckoned"
    GIVEN = "given"
    NOT_EXTRAPOLATED = "not extended"
    NOT_MEASURED = "not measured"


class NotMeasured(Exception):
    """The record has no plays from which the figure could come."""


class OutsideModel(Exception):
    """The model has no figure there: it came out negative."""


@dataclass(frozen=True, slots=True)
class Factor:
    """A number that is reckoned from the size alone, and its formula in words."""

    formula: str
    calculate: Callable[[CapacityTarget], float]


@dataclass(frozen=True, slots=True)
class Term:
    """A measure at the wanted size, times a factor.

    `over` are the axes that the measure has to have been played over, the anchor first. `settled` are axes
    whose wanted value the term itself names, like the share of gateways that start again. `at_gateway` is
    for what one gateway has, spends or sees. With `per_gateway` the measure, taken over the played fleet, is
    divided by the number of its gateways.
    """

    measure: str
    axes: tuple[str, ...]
    factor: Factor | None = None
    multiplied_by: Term | None = None
    fixed_values: Mapping[str, float] = field(default_factory=dict)
    of_one_gateway: bool = False
    divide_by_gateways: bool = False


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure of one measure, and how it was come by."""

    value: float
    origin: Origin
    derivation: str
    slopes: tuple[Slope, ...] = ()
    played_ranges: tuple[str, ...] = ()


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
            figures.setdefault(play.value, []).append(measure_value(play, self.measure))
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
    def played_range(self) -> str:
        """The run behind the figures, in words."""
        return f"{self.axis} {format_number(self.smallest)} to {format_number(self.largest)}, {len(self.plays)} plays"

    @property
    def size_at_largest(self) -> FleetSize:
        """The size of the fleet at the largest value."""
        return self.plays[-1].size

    @cached_property
    def is_flat(self) -> bool:
        """Whether the slope cannot be told from nought."""
        return self.slope is not None and not self.slope.bends and self.slope.low <= 0.0 <= self.slope.high

    def estimate_at(self, value: float) -> Estimate:
        """The figure at one value; NotMeasured or NotExtrapolated where there is none."""
        for played, figure in self.points.items():
            if is_same_value(played, value):
                return self.make_estimate(figure, Origin.MEASURED, f"measured at {format_number(value)} {self.axis}")
        if self.slope is None:
            raise NotMeasured(f"{self.measure} over {self.axis}: too few values for a line")
        if self.slope.bends:
            return self.interpolate(value)
        if self.is_flat:
            mean = float(np.mean(list(self.points.values())))
            return self.make_estimate(mean, Origin.FITTED, f"flat over {self.axis}, mean of all plays")
        return self.make_estimate(predict(self.slope, value), Origin.FITTED, self.describe_line(value))

    def interpolate(self, value: float) -> Estimate:
        """The figure on the straight connection of the played points around this value.

        Below the smallest the first connection goes on; NotExtrapolated beyond the largest.
        """
        if value > self.largest:
            raise NotExtrapolated(
                f"{self.measure} bends over {self.axis}, played from {format_number(self.smallest)} to "
                f"{format_number(self.largest)}; {format_number(self.points[self.largest])} there")
        if value < self.smallest:
            (first, low), (second, high) = list(self.points.items())[:2]
            figure = low + (high - low) * (value - first) / (second - first)
            return self.make_estimate(figure, Origin.FITTED, f"curve that bends over {self.axis}, extended down to "
                                                   f"{format_number(value)} by its first two points")
        figure = float(np.interp(value, list(self.points), list(self.points.values())))
        return self.make_estimate(figure, Origin.FITTED, f"between points of a curve that bends over {self.axis}")

    def make_estimate(self, figure: float, kind: Origin, how: str) -> Estimate:
        """A figure of this curve."""
        return Estimate(figure, kind, how, self.slopes, (self.played_range,))

    def describe_line(self, value: float) -> str:
        """The line and how far it was extended, in words."""
        line = f"line through {format_number(self.smallest)}..{format_number(self.largest)} {self.axis}"
        if value > self.largest > 0:
            return f"{line}, extended {format_number(value / self.largest)} times"
        if value < self.smallest:
            return f"{line}, extended down to {format_number(value)}"
        return line

    @property
    def slopes(self) -> tuple[Slope, ...]:
        """The slope, if there is one."""
        return () if self.slope is None else (self.slope,)


class CapacityModel:
    """Reads figures at any size out of the plays of a record."""

    def __init__(self, recorded: Sequence[Play]) -> None:
        plays = [with_counter_cost_per_call(without_unused_restart_measures(play)) for play in recorded]
        slopes = {(slope.axis, slope.measure): slope for slope in fit_slopes(plays)}
        by_measure: dict[tuple[str, str], list[Play]] = {}
        for play in plays:
            for measure, figure in measures_of(play):
                if math.isfinite(figure):
                    by_measure.setdefault((play.axis, measure), []).append(play)
        self.curves = {
            key: Curve(*key, tuple(sorted(found, key=play_order)), slopes.get(key))
            for key, found in by_measure.items()
        }

    def estimate_terms(self, terms: Iterable[Term], target: CapacityTarget) -> Estimate:
        """The sum of the terms at this size."""
        readings = [self.estimate_term(term, target) for term in terms]
        if len(readings) == 1:
            return readings[0]
        return Estimate(
            value=sum(reading.value for reading in readings),
            origin=Origin.CALCULATED,
            derivation=" + ".join(reading.derivation for reading in readings),
            slopes=distinct(slope for reading in readings for slope in reading.slopes),
            played_ranges=distinct(run for reading in readings for run in reading.played_ranges),
        )

    def estimate_term(self, term: Term, target: CapacityTarget) -> Estimate:
        """One measure at this size, times the term's other measure and factor."""
        reading = self.estimate_measure(term, target_axis_values(target) | dict(term.fixed_values))
        if term.multiplied_by is not None:
            other = self.estimate_term(term.multiplied_by, target)
            reading = Estimate(
                value=reading.value * other.value,
                origin=Origin.CALCULATED,
                derivation=f"{reading.derivation} x {other.derivation}",
                slopes=distinct([*reading.slopes, *other.slopes]),
                played_ranges=distinct([*reading.played_ranges, *other.played_ranges]),
            )
        if term.factor is not None:
            reading = replace(reading, value=reading.value * term.factor.calculate(target), origin=Origin.CALCULATED,
                              derivation=f"{reading.derivation} x {term.factor.formula}")
        return reading

    def estimate_measure(self, term: Term, wanted: AxisValues) -> Estimate:
        """The measure on the anchor's axis, and what the other axes add."""
        anchor = self.curve(term.axes[0], term.measure)
        reading = anchor.estimate_at(axis_value(term, anchor, wanted))
        value, kind, how = reading.value, reading.origin, [reading.derivation]
        slopes, runs, flat, held = list(reading.slopes), list(reading.played_ranges), list[str](), list[str]()
        state = played_axis_values(anchor.size_at_largest) | {anchor.axis: wanted[anchor.axis]}
        for axis in additional_axes(term, wanted):
            curve = self.additional_curve(term, axis)
            if curve is None:
                held += [] if is_same_value(state[axis], wanted[axis]) else [axis]
                continue
            base, sought = axis_value(term, curve, state), axis_value(term, curve, wanted)
            state[axis] = wanted[axis]
            if is_same_value(base, sought):
                continue
            if curve.is_flat:
                flat.append(axis)
                continue
            value += curve.estimate_at(sought).value - curve.estimate_at(base).value
            kind = Origin.CALCULATED
            how.append(describe_difference(curve, base, sought))
            slopes.extend(curve.slopes)
            runs.append(curve.played_range)
        text = " + ".join(how)
        if flat:
            text += f"; flat over {', '.join(flat)}"
        if held:
            text += f"; {', '.join(held)} as played"
        if term.divide_by_gateways:
            value, kind, text = value / anchor.size_at_largest.gateways, Origin.CALCULATED, text + "; per played gateway"
        if value < 0.0:
            raise OutsideModel(f"{term.measure} comes out negative")
        return Estimate(value, kind, f"{term.measure} ({text})", tuple(slopes), tuple(runs))

    def additional_curve(self, term: Term, axis: str) -> Curve | None:
        """The curve of an axis beside the anchor's.

        None if the term does not require the axis and there is no line over it; NotMeasured if it does.
        """
        if axis in term.axes:
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


def additional_axes(term: Term, wanted: AxisValues) -> list[str]:
    """The axes beside the anchor's, the required ones first.

    What one gateway spends follows the customers that come to it, of which the gateways axis would bring the
    change once more; so that axis counts there as the anchor only.
    """
    anchor = term.axes[0]
    left_out = {anchor, "gateways"} if term.divide_by_gateways or term.of_one_gateway else {anchor}
    return [axis for axis in distinct([*term.axes, *wanted]) if axis not in left_out]


def axis_value(term: Term, curve: Curve, size: AxisValues) -> float:
    """The value on the curve's axis that stands for this size."""
    value = size[curve.axis]
    if curve.axis == "customers" and term.of_one_gateway:
        return value * curve.size_at_largest.gateways / size["gateways"]
    return value


def describe_difference(curve: Curve, base: float, sought: float) -> str:
    """What a further axis adds, in words."""
    text = f"over {curve.axis}, at {format_number(sought)} less at {format_number(base)}"
    if sought > curve.largest and not is_same_value(sought, curve.largest):
        text += f" (extended {format_number(sought / curve.largest)} times)"
    return text


def is_same_value(one: float, other: float) -> bool:
    """Whether two values of an axis count as one."""
    return math.isclose(one, other, rel_tol=AXIS_VALUE_TOLERANCE)


def target_axis_values(target: CapacityTarget) -> dict[str, float]:
    """The size as values of the axes; the spread stays as it was played, as the operators name none."""
    return {
        "gateways": target.gateways,
        "backends": target.backends,
        "customers": target.customers,
        "requests": target.requests_per_gateway,
        "changes": target.list_writes_per_second,
    }


def played_axis_values(size: FleetSize) -> dict[str, float]:
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


def without_unused_restart_measures(play: Play) -> Play:
    """The play without figures of restarts, unless gateways were restarted in it."""
    if play.size.restarted_share > 0.0:
        return play
    return replace(
        play,
        counts={name: figure for name, figure in play.counts.items() if not name.startswith(RESTART_PREFIX)},
        times={name: figure for name, figure in play.times.items() if not name.startswith(RESTART_PREFIX)},
    )


def with_counter_cost_per_call(play: Play) -> Play:
    """The play with the counter's processor time for one call, where there were calls."""
    calls, share = play.counts.get("counter_calls_fleet", 0.0), play.times.get("counter_cpu_share")
    if share is None or not calls > 0.0:
        return play
    return replace(play, times=play.times | {COUNTER_US_PER_CALL: MICROSECONDS_PER_SECOND * share / calls})


def measure_value(play: Play, measure: str) -> float:
    """The play's figure for a measure that it has."""
    return dict(measures_of(play))[measure]


def play_order(play: Play) -> tuple[float, int, int]:
    """The order of the plays of an axis."""
    return play.value, play.number, play.seed


def distinct(items: Iterable[Item]) -> tuple[Item, ...]:
    """Each item once, in the order of its first place."""
    return tuple(dict.fromkeys(items))


def format_number(value: float) -> str:
    """Three significant digits; whole numbers are grouped in thousands."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1e15 or abs(value) < 1e-4:
        return f"{value:.2e}"
    rounded = round(value, 2 - math.floor(math.log10(abs(value))))
    if abs(rounded) >= 100 or rounded == int(rounded):
        return f"{rounded:,.0f}"
    return f"{rounded:.6f}".rstrip("0").rstrip(".")
