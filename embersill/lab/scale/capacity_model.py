"""Estimates of measures at fleet sizes that were never run, from runs that vary one axis at a time.

A play is one run of a fleet at one value of an axis. The model has three steps:

* One axis: at a value that was played, the mean of its plays; elsewhere the fitted line. If the measure is
  not linear, linear interpolation between neighbouring points, extrapolated below the smallest value but
  never beyond the largest. If the confidence interval of the slope includes zero, the mean of all plays.
* Several axes add up: the estimate on the first axis of a term, the anchor, plus for each further axis the
  difference of that axis's curve between the target value and the value at which the anchor was played.
  A slope whose interval includes zero adds nothing. The cost of one gateway depends on the number of
  customers that use it: for such measures the customers axis is evaluated at the value that gives each of
  its own gateways as many customers.
* A row is the sum of its terms. A term is such an estimate, times another one (a cost per call times calls),
  times a factor that is calculated from the size (a value per gateway times gateways).

The result of the second or third step has the origin "reckoned", even if all its parts were measured.
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
from embersill.lab.scale.fits import NotExtrapolated, fit_slopes, measures_of, predict
from embersill.lab.scale.records import FleetSize, Play, Slope

RESTART_PREFIX = "restart_"  # of the names of measures that only plays with restarts have
COUNTER_US_PER_CALL = "counter_us_per_call"  # calculated from two measures of the same play
AXIS_VALUE_TOLERANCE = 0.005  # relative difference below which two axis values are equal
MICROSECONDS_PER_SECOND = 1_000_000

AxisValues = Mapping[str, float]  # by axis name
Item = TypeVar("Item")


class Origin(enum.Enum):
    """Where a figure comes from; the values are printed in the tables."""

    MEASURED = "measured"
    FITTED = "line"
    CALCULATED = "reckoned"
    GIVEN = "given"
    NOT_EXTRAPOLATED = "not extended"
    NOT_MEASURED = "not measured"


class NotMeasured(Exception):
    """The record has no plays from which the figure can be estimated."""


class OutsideModel(Exception):
    """The model's estimate is negative and therefore not valid."""


@dataclass(frozen=True, slots=True)
class Factor:
    """A number that is calculated from the size alone, and its formula in words."""

    formula: str
    calculate: Callable[[CapacityTarget], float]


@dataclass(frozen=True, slots=True)
class Term:
    """A measure at the target size, times a factor.

    `axes` are the axes over which plays of the measure are required, the anchor first. `fixed_values` holds
    axes whose target value the term itself sets, like the share of gateways that restart. `of_one_gateway`
    marks a measure of a single gateway. With `divide_by_gateways` the measure is a total of the played fleet
    and is divided by the number of its gateways.
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
    """The value of a measure at one size, and how it was derived."""

    value: float
    origin: Origin
    derivation: str
    slopes: tuple[Slope, ...] = ()
    played_ranges: tuple[str, ...] = ()


@dataclass(frozen=True)
class Curve:
    """All plays of one axis that report one measure."""

    axis: str
    measure: str
    plays: tuple[Play, ...]  # sorted by axis value
    slope: Slope | None  # None: too few values for a line

    @cached_property
    def points(self) -> dict[float, float]:
        """The mean of the measure over the plays at each axis value."""
        figures: dict[float, list[float]] = {}
        for play in self.plays:
            figures.setdefault(play.value, []).append(measure_value(play, self.measure))
        return {value: float(np.mean(of_value)) for value, of_value in sorted(figures.items())}

    @cached_property
    def smallest(self) -> float:
        """The smallest axis value that was played."""
        return min(self.points)

    @cached_property
    def largest(self) -> float:
        """The largest axis value that was played."""
        return max(self.points)

    @cached_property
    def played_range(self) -> str:
        """The axis values and the number of plays behind the curve, in words."""
        return (f"{self.axis} {format_number(self.smallest)} to {format_number(self.largest)}, "
                f"{len(self.plays)} plays")

    @property
    def size_at_largest(self) -> FleetSize:
        """The fleet of the play at the largest axis value."""
        return self.plays[-1].size

    @cached_property
    def is_flat(self) -> bool:
        """Whether the slope is not significantly different from zero."""
        return self.slope is not None and not self.slope.bends and self.slope.low <= 0.0 <= self.slope.high

    def estimate_at(self, value: float) -> Estimate:
        """The estimate at one axis value; raises NotMeasured or NotExtrapolated if there is none."""
        for played, figure in self.points.items():
            if is_same_value(played, value):
                return self.make_estimate(
                    figure, Origin.MEASURED, f"measured at {format_number(value)} {self.axis}")
        if self.slope is None:
            raise NotMeasured(f"{self.measure} over {self.axis}: too few values for a line")
        if self.slope.bends:
            return self.interpolate(value)
        if self.is_flat:
            mean = float(np.mean(list(self.points.values())))
            return self.make_estimate(mean, Origin.FITTED, f"flat over {self.axis}, mean of all plays")
        return self.make_estimate(predict(self.slope, value), Origin.FITTED, self.describe_line(value))

    def interpolate(self, value: float) -> Estimate:
        """Linear interpolation between the played points around this axis value.

        Below the smallest value the first two points are extrapolated; raises NotExtrapolated beyond the
        largest.
        """
        if value > self.largest:
            raise NotExtrapolated(
                f"{self.measure} bends over {self.axis}, played from {format_number(self.smallest)} to "
                f"{format_number(self.largest)}; {format_number(self.points[self.largest])} there")
        if value < self.smallest:
            (first, low), (second, high) = list(self.points.items())[:2]
            figure = low + (high - low) * (value - first) / (second - first)
            return self.make_estimate(
                figure, Origin.FITTED, f"curve that bends over {self.axis}, extended down to "
                                       f"{format_number(value)} by its first two points")
        figure = float(np.interp(value, list(self.points), list(self.points.values())))
        return self.make_estimate(
            figure, Origin.FITTED, f"between points of a curve that bends over {self.axis}")

    def make_estimate(self, figure: float, origin: Origin, derivation: str) -> Estimate:
        """An estimate with the slope and the played range of this curve."""
        return Estimate(figure, origin, derivation, self.slopes, (self.played_range,))

    def describe_line(self, value: float) -> str:
        """The fitted line and how far it is extrapolated, in words."""
        line = f"line through {format_number(self.smallest)}..{format_number(self.largest)} {self.axis}"
        if value > self.largest > 0:
            return f"{line}, extended {format_number(value / self.largest)} times"
        if value < self.smallest:
            return f"{line}, extended down to {format_number(value)}"
        return line

    @property
    def slopes(self) -> tuple[Slope, ...]:
        """The fitted slope, or nothing if there are too few values."""
        return () if self.slope is None else (self.slope,)


class CapacityModel:
    """Estimates measures at any size from the plays of a record."""

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
        """The sum of the terms at the target size."""
        estimates = [self.estimate_term(term, target) for term in terms]
        if len(estimates) == 1:
            return estimates[0]
        return Estimate(
            value=sum(estimate.value for estimate in estimates),
            origin=Origin.CALCULATED,
            derivation=" + ".join(estimate.derivation for estimate in estimates),
            slopes=distinct(slope for estimate in estimates for slope in estimate.slopes),
            played_ranges=distinct(played for estimate in estimates for played in estimate.played_ranges),
        )

    def estimate_term(self, term: Term, target: CapacityTarget) -> Estimate:
        """The term's measure at the target size, times its other measure and its factor."""
        estimate = self.estimate_measure(term, target_axis_values(target) | dict(term.fixed_values))
        if term.multiplied_by is not None:
            other = self.estimate_term(term.multiplied_by, target)
            estimate = Estimate(
                value=estimate.value * other.value,
                origin=Origin.CALCULATED,
                derivation=f"{estimate.derivation} x {other.derivation}",
                slopes=distinct([*estimate.slopes, *other.slopes]),
                played_ranges=distinct([*estimate.played_ranges, *other.played_ranges]),
            )
        if term.factor is not None:
            estimate = replace(estimate, value=estimate.value * term.factor.calculate(target),
                               origin=Origin.CALCULATED,
                               derivation=f"{estimate.derivation} x {term.factor.formula}")
        return estimate

    def estimate_measure(self, term: Term, target_values: AxisValues) -> Estimate:
        """The estimate on the anchor's axis plus the differences over the other axes."""
        anchor = self.curve(term.axes[0], term.measure)
        estimate = anchor.estimate_at(axis_value(term, anchor, target_values))
        value, origin, derivations = estimate.value, estimate.origin, [estimate.derivation]
        slopes, played_ranges, flat, as_played = (
            list(estimate.slopes), list(estimate.played_ranges), list[str](), list[str]())
        current = played_axis_values(anchor.size_at_largest) | {anchor.axis: target_values[anchor.axis]}
        for axis in additional_axes(term, target_values):
            curve = self.additional_curve(term, axis)
            if curve is None:
                as_played += [] if is_same_value(current[axis], target_values[axis]) else [axis]
                continue
            base, target_value = axis_value(term, curve, current), axis_value(term, curve, target_values)
            current[axis] = target_values[axis]
            if is_same_value(base, target_value):
                continue
            if curve.is_flat:
                flat.append(axis)
                continue
            value += curve.estimate_at(target_value).value - curve.estimate_at(base).value
            origin = Origin.CALCULATED
            derivations.append(describe_difference(curve, base, target_value))
            slopes.extend(curve.slopes)
            played_ranges.append(curve.played_range)
        text = " + ".join(derivations)
        if flat:
            text += f"; flat over {', '.join(flat)}"
        if as_played:
            text += f"; {', '.join(as_played)} as played"
        if term.divide_by_gateways:
            value, origin, text = (
                value / anchor.size_at_largest.gateways, Origin.CALCULATED, text + "; per played gateway")
        if value < 0.0:
            raise OutsideModel(f"{term.measure} comes out negative")
        return Estimate(value, origin, f"{term.measure} ({text})", tuple(slopes), tuple(played_ranges))

    def additional_curve(self, term: Term, axis: str) -> Curve | None:
        """The curve of an axis other than the anchor's.

        None if no line was fitted over the axis and the term does not require it; raises NotMeasured if it
        does.
        """
        if axis in term.axes:
            return self.curve(axis, term.measure)
        return self.curves[axis, term.measure] if self.has_line(axis, term.measure) else None

    def has_line(self, axis: str, measure: str) -> bool:
        """Whether this measure was played at enough values of this axis for a line."""
        curve = self.curves.get((axis, measure))
        return curve is not None and curve.slope is not None

    def curve(self, axis: str, measure: str) -> Curve:
        """The curve of this measure over this axis; raises NotMeasured if there are no plays."""
        if (axis, measure) not in self.curves:
            raise NotMeasured(f"{measure} over {axis}")
        return self.curves[axis, measure]


def additional_axes(term: Term, target_values: AxisValues) -> list[str]:
    """The axes other than the anchor's, the required ones first.

    The cost of one gateway depends on the customers that use it. The customers axis accounts for that
    already, so the gateways axis would count it twice: for such measures it is used only as the anchor.
    """
    anchor = term.axes[0]
    excluded = {anchor, "gateways"} if term.divide_by_gateways or term.of_one_gateway else {anchor}
    return [axis for axis in distinct([*term.axes, *target_values]) if axis not in excluded]


def axis_value(term: Term, curve: Curve, size: AxisValues) -> float:
    """The value on the curve's axis that corresponds to this size.

    On the customers axis, for a measure of one gateway, it is the number that gives each gateway of the
    curve's fleet as many customers as a gateway has at this size.
    """
    value = size[curve.axis]
    if curve.axis == "customers" and term.of_one_gateway:
        return value * curve.size_at_largest.gateways / size["gateways"]
    return value


def describe_difference(curve: Curve, base: float, target_value: float) -> str:
    """The difference that another axis adds, in words."""
    text = f"over {curve.axis}, at {format_number(target_value)} less at {format_number(base)}"
    if target_value > curve.largest and not is_same_value(target_value, curve.largest):
        text += f" (extended {format_number(target_value / curve.largest)} times)"
    return text


def is_same_value(one: float, other: float) -> bool:
    """Whether two values of an axis are equal up to the tolerance."""
    return math.isclose(one, other, rel_tol=AXIS_VALUE_TOLERANCE)


def target_axis_values(target: CapacityTarget) -> dict[str, float]:
    """The target by axis; without spread, for which the operators give no number: it stays as played."""
    return {
        "gateways": target.gateways,
        "backends": target.backends,
        "customers": target.customers,
        "requests": target.requests_per_gateway,
        "changes": target.list_writes_per_second,
    }


def played_axis_values(size: FleetSize) -> dict[str, float]:
    """The size of a play by axis."""
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
    """The play without the measures of restarts if no gateway was restarted in it."""
    if play.size.restarted_share > 0.0:
        return play
    return replace(
        play,
        counts={name: figure for name, figure in play.counts.items() if not name.startswith(RESTART_PREFIX)},
        times={name: figure for name, figure in play.times.items() if not name.startswith(RESTART_PREFIX)},
    )


def with_counter_cost_per_call(play: Play) -> Play:
    """The play with the counter's CPU time per call in microseconds, if it served calls."""
    calls, share = play.counts.get("counter_calls_fleet", 0.0), play.times.get("counter_cpu_share")
    if share is None or not calls > 0.0:
        return play
    return replace(play, times=play.times | {COUNTER_US_PER_CALL: MICROSECONDS_PER_SECOND * share / calls})


def measure_value(play: Play, measure: str) -> float:
    """The play's value of this measure; raises KeyError if it has none."""
    return dict(measures_of(play))[measure]


def play_order(play: Play) -> tuple[float, int, int]:
    """The sort key of the plays of an axis."""
    return play.value, play.number, play.seed


def distinct(items: Iterable[Item]) -> tuple[Item, ...]:
    """The items without repetitions, in the order of their first occurrence."""
    return tuple(dict.fromkeys(items))


def format_number(value: float) -> str:
    """The value with three significant digits; integers have a thousands separator."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1e15 or abs(value) < 1e-4:
        return f"{value:.2e}"
    rounded = round(value, 2 - math.floor(math.log10(abs(value))))
    if abs(rounded) >= 100 or rounded == int(rounded):
        return f"{rounded:,.0f}"
    return f"{rounded:.6f}".rstrip("0").rstrip(".")
