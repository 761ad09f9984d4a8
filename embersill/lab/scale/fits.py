"""Least-squares lines through the plays of each axis, with a test for curvature."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray
from scipy import stats

from embersill.lab.scale.records import Play, Slope

MIN_DISTINCT_VALUES = 5  # of an axis, for a line
CONFIDENCE = 0.95  # of the slope's interval
BEND_SIGNIFICANCE = 0.01  # two-sided significance level of the quadratic term
ROUNDING_TOLERANCE = 1e-9  # relative to the largest figure: smaller curvature is rounding error of the fit

Vector = NDArray[np.float64]


class NotFitted(Exception):
    """There are too few distinct values for a line."""


class NotExtrapolated(Exception):
    """A value beyond the largest that was played, on a curve that is not linear."""


@dataclass(frozen=True, slots=True)
class PolynomialFit:
    """A least-squares fit; coefficients and their standard errors start with the constant."""

    coefficients: Vector
    standard_errors: Vector
    fitted_values: Vector
    degrees_of_freedom: int  # of the residuals


def fit_slopes(plays: Sequence[Play]) -> tuple[Slope, ...]:
    """A line for each axis and measure with enough distinct values; others are omitted."""
    slopes = []
    for (axis, measure), points in sorted(points_by_measure(plays).items()):
        try:
            slopes.append(fit_line(axis, measure, points))
        except NotFitted:
            continue
    return tuple(slopes)


def points_by_measure(plays: Sequence[Play]) -> dict[tuple[str, str], list[tuple[float, float]]]:
    """The points (axis value, figure) of each axis and measure."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for play in plays:
        for measure, figure in measures_of(play):
            points[play.axis, measure].append((play.value, figure))
    return points


def measures_of(play: Play) -> Iterator[tuple[str, float]]:
    """The name and value of all measures of a play, counts first."""
    yield from play.counts.items()
    yield from play.times.items()


def fit_line(axis: str, measure: str, points: Sequence[tuple[float, float]]) -> Slope:
    """The least-squares line; points that are not finite are ignored, and the order does not matter.

    Raises NotFitted if fewer than MIN_DISTINCT_VALUES distinct values remain.
    """
    finite = sorted(point for point in points if all(math.isfinite(number) for number in point))
    values = np.array([value for value, _ in finite], dtype=np.float64)
    figures = np.array([figure for _, figure in finite], dtype=np.float64)
    if len(np.unique(values)) < MIN_DISTINCT_VALUES:
        raise NotFitted(f"{measure} over {axis}: fewer than {MIN_DISTINCT_VALUES} values")
    if np.ptp(figures) == 0.0:
        return constant_line(axis, measure, values, float(figures[0]))
    mean_value, value_range = float(values.mean()), float(np.ptp(values))
    scaled = (values - mean_value) / value_range
    line = fit_polynomial(scaled, figures, degree=1)
    slope = float(line.coefficients[1]) / value_range
    margin = float(line.standard_errors[1]) / value_range * float(
        stats.t.ppf((1 + CONFIDENCE) / 2, line.degrees_of_freedom))
    return Slope(
        axis=axis,
        measure=measure,
        slope=slope,
        intercept=float(line.coefficients[0]) - slope * mean_value,
        low=slope - margin,
        high=slope + margin,
        residual=float(np.sqrt(np.mean((figures - line.fitted_values) ** 2))),
        plays=len(finite),
        largest=float(values[-1]),
        bends=has_significant_curvature(scaled, figures, line),
    )


def constant_line(axis: str, measure: str, values: Vector, figure: float) -> Slope:
    """The line of a measure that is equal in all plays, without rounding errors."""
    return Slope(axis=axis, measure=measure, slope=0.0, intercept=figure, low=0.0, high=0.0, residual=0.0,
                 plays=len(values), largest=float(values[-1]), bends=False)


def fit_polynomial(values: Vector, figures: Vector, degree: int) -> PolynomialFit:
    """The least-squares polynomial of this degree."""
    design = np.vander(values, degree + 1, increasing=True)
    coefficients, *_ = np.linalg.lstsq(design, figures, rcond=None)
    fitted_values = design @ coefficients
    degrees_of_freedom = len(values) - degree - 1
    variance = float(np.sum((figures - fitted_values) ** 2)) / degrees_of_freedom
    covariance = variance * np.linalg.inv(design.T @ design)
    standard_errors = np.sqrt(np.diag(covariance)).astype(np.float64)
    return PolynomialFit(
        coefficients.astype(np.float64), standard_errors, fitted_values.astype(np.float64),
        degrees_of_freedom)


def has_significant_curvature(values: Vector, figures: Vector, line: PolynomialFit) -> bool:
    """Whether a quadratic term is significant and larger than the deviation of plays at one value."""
    curve = fit_polynomial(values, figures, degree=2)
    effect = float(np.max(np.abs(curve.fitted_values - line.fitted_values)))
    if effect <= max(
            pooled_standard_deviation(values, figures),
            ROUNDING_TOLERANCE * float(np.max(np.abs(figures)))):
        return False
    error = float(curve.standard_errors[2])
    if error == 0.0:
        return True
    significance = 2 * float(stats.t.sf(abs(float(curve.coefficients[2])) / error, curve.degrees_of_freedom))
    return significance < BEND_SIGNIFICANCE


def pooled_standard_deviation(values: Vector, figures: Vector) -> float:
    """The pooled standard deviation of plays at the same value; 0 if each value was played once."""
    groups = [figures[values == value] for value in np.unique(values)]
    degrees_of_freedom = sum(len(group) - 1 for group in groups)
    if degrees_of_freedom == 0:
        return 0.0
    squares = sum(float(np.sum((group - group.mean()) ** 2)) for group in groups)
    return math.sqrt(squares / degrees_of_freedom)


def predict(slope: Slope, value: float) -> float:
    """The line's figure at this value.

    Raises NotExtrapolated beyond the largest played value of a curve that is not linear.
    """
    if slope.bends and value > slope.largest:
        raise NotExtrapolated(f"{slope.measure} bends over {slope.axis}, played up to {slope.largest:g}")
    return slope.intercept + slope.slope * value
