"""Lines through recorded plays: fits recover known lines, and nonlinear curves are not extrapolated."""

from __future__ import annotations

import math
import pathlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from embersill.lab.scale.fits import (
    MIN_DISTINCT_VALUES, NotExtrapolated, NotFitted, fit_line, fit_slopes, predict,
)
from embersill.lab.scale.plots import group_title, write_plots
from embersill.lab.scale.records import FORMAT_VERSION, FleetSize, Play, Record

SIZE = FleetSize(1, 1, 1, 1, 1.0, 1.0, 0.0)
PLAYS_PER_POINT = 3
Points = list[tuple[float, float]]

amounts = st.floats(-1e6, 1e6).filter(lambda amount: amount == 0.0 or abs(amount) > 1e-3)
steep = st.floats(0.01, 1e4) | st.floats(-1e4, -0.01)
axis_values = st.lists(st.integers(1, 20_000), min_size=MIN_DISTINCT_VALUES, max_size=10, unique=True)


def play(axis: str, value: float, number: int, counts: dict[str, float], times: dict[str, float]) -> Play:
    return Play(axis, value, number, number, SIZE, 1.0, counts, times)


def plays_of_three_measures() -> list[Play]:
    """Plays of one axis with a linear, a quadratic and a constant measure."""
    rng = random.Random(7)
    return [
        play("gateways", value, number,
             {"calls": 3.0 * value + rng.gauss(0, 1), "same": 4.0},
             {"time_ms": value + 0.05 * value ** 2 + rng.gauss(0, 1)})
        for value in (10.0, 20.0, 40.0, 80.0, 160.0, 320.0) for number in range(PLAYS_PER_POINT)
    ]


# properties


@given(values=axis_values, slope=steep, intercept=amounts)
def test_known_line_is_recovered(values: list[int], slope: float, intercept: float) -> None:
    found = fit_line("a", "m", [(float(value), intercept + slope * value) for value in values])
    scale = abs(intercept) + abs(slope) * max(values)
    assert math.isclose(found.slope, slope, rel_tol=1e-6, abs_tol=1e-9 * scale / (max(values) - min(values)))
    for value in (min(values), max(values)):
        assert math.isclose(predict(found, value), intercept + slope * value, abs_tol=1e-9 * scale)
    assert not found.bends and found.residual <= 1e-9 * scale and found.largest == max(values)


@given(values=axis_values, slope=steep, intercept=amounts, seed=st.integers(0, 2 ** 32))
def test_noisy_line_is_recovered_within_its_interval(
    values: list[int], slope: float, intercept: float, seed: int
) -> None:
    rng = random.Random(seed)
    deviation = 0.01 * abs(slope) * (max(values) - min(values))
    points = [(float(value), intercept + slope * value + rng.gauss(0, deviation))
              for value in values for _ in range(PLAYS_PER_POINT)]
    found = fit_line("a", "m", points)
    assert found.low <= found.slope <= found.high and found.plays == len(points)
    assert abs(found.slope - slope) < 0.1 * abs(slope)
    assert found.residual < 3 * deviation


@given(values=axis_values, slope=steep, intercept=st.floats(-100, 100), bend=st.floats(0.3, 3.0),
       seed=st.integers(0, 2 ** 32))
def test_parabola_is_detected_as_nonlinear(
    values: list[int], slope: float, intercept: float, bend: float, seed: int
) -> None:
    """The bend is relative to the line's rise over the played values, the noise a hundredth of the bend."""
    rng = random.Random(seed)
    low, reach = min(values), max(values) - min(values)
    rise = slope * reach
    parts = [(value - low) / reach for value in values]
    exact = [(float(value), intercept + rise * (part + bend * part ** 2))
             for value, part in zip(values, parts, strict=True)]
    line = fit_line("a", "m", exact)
    assert line.bends
    effect = max(abs(figure - line.intercept - line.slope * value) for value, figure in exact)
    found = fit_line("a", "m", [(value, figure + rng.gauss(0, 0.01 * effect)) for value, figure in exact
                                for _ in range(PLAYS_PER_POINT)])
    assert found.bends and math.isfinite(predict(found, max(values)))
    with pytest.raises(NotExtrapolated):
        predict(found, max(values) * 1.01)


@settings(max_examples=50)
@given(order=st.permutations(plays_of_three_measures()))
def test_order_of_plays_does_not_matter(order: list[Play]) -> None:
    assert fit_slopes(order) == fit_slopes(plays_of_three_measures())


@given(points=st.lists(st.tuples(st.integers(1, 30).map(float), st.floats(-1e9, 1e9)), max_size=30))
def test_any_points_give_a_line_or_raise_not_fitted(points: Points) -> None:
    try:
        found = fit_line("a", "m", points)
    except NotFitted:
        assert len({value for value, _ in points}) < MIN_DISTINCT_VALUES
    else:
        assert all(map(math.isfinite, (found.slope, found.intercept, found.low, found.high, found.residual)))
        assert found.low <= found.slope <= found.high


# cases


def test_straight_line_is_extrapolated() -> None:
    found = fit_line("a", "m", [(value, 2.0 * value + 1.0) for value in (1.0, 2.0, 3.0, 4.0, 5.0)])
    assert math.isclose(predict(found, 1_000.0), 2_001.0)


def test_confidence_interval_uses_students_t_distribution() -> None:
    """Calculated by hand: both sums of squares are 10, the correlation is 0.8, with 3 degrees of freedom."""
    found = fit_line("a", "m", list(zip((1.0, 2.0, 3.0, 4.0, 5.0), (1.0, 3.0, 2.0, 5.0, 4.0), strict=True)))
    margin = 3.182446305 * math.sqrt((10 - 0.8 ** 2 * 10) / 3 / 10)
    assert math.isclose(found.slope, 0.8) and math.isclose(found.intercept, 0.6)
    assert math.isclose(found.low, 0.8 - margin, rel_tol=1e-6)
    assert math.isclose(found.high, 0.8 + margin, rel_tol=1e-6)
    assert math.isclose(found.residual, math.sqrt((10 - 6.4) / 5))


def test_bend_smaller_than_the_deviation_of_plays_is_ignored() -> None:
    """With many plays, a quadratic term is significant even if smaller than the deviation at one value."""
    points = [(float(value), 0.05 * value ** 2 + deviation)
              for value in range(-3, 4) for deviation in (-1.0, 1.0) for _ in range(200)]
    assert not fit_line("a", "m", points).bends
    assert fit_line("a", "m", [(value, figure + 2 * value ** 2) for value, figure in points]).bends


def test_constant_measure_has_zero_slope() -> None:
    found = fit_line("a", "m", [(float(value), 0.1) for value in range(7)])
    assert (found.slope, found.low, found.high, found.intercept, found.residual, found.bends) \
        == (0.0, 0.0, 0.0, 0.1, 0.0, False)


@pytest.mark.parametrize("points", [
    [], [(1.0, 1.0)], [(1.0, 1.0), (2.0, 2.0)], [(1.0, float(play)) for play in range(9)],
    [(float(value), 1.0 if value else math.nan) for value in range(MIN_DISTINCT_VALUES)],
    [(float(value), 1.0 if value else math.inf) for value in range(MIN_DISTINCT_VALUES)],
    [(math.nan, float(value)) for value in range(MIN_DISTINCT_VALUES)],
])
def test_too_few_points_raise_not_fitted(points: Points) -> None:
    with pytest.raises(NotFitted):
        fit_line("a", "m", points)


def test_points_that_are_not_finite_are_ignored() -> None:
    good = [(float(value), 2.0 * value) for value in range(6)]
    assert fit_line("a", "m", [*good, (9.0, math.nan), (9.0, math.inf)]) == fit_line("a", "m", good)


def test_each_axis_and_measure_has_its_own_slope() -> None:
    few = [play("backends", value, 0, {"calls": value}, {}) for value in (1.0, 2.0)]
    found = {(slope.axis, slope.measure): slope for slope in fit_slopes([*plays_of_three_measures(), *few])}
    assert set(found) == {("gateways", "calls"), ("gateways", "same"), ("gateways", "time_ms")}
    assert [key[1] for key, slope in found.items() if slope.bends] == ["time_ms"]
    assert found["gateways", "calls"].plays == 6 * PLAYS_PER_POINT
    assert fit_slopes([]) == ()


# plots


def test_one_png_is_written_for_each_axis(tmp_path: pathlib.Path) -> None:
    more = [play("spread", value, 0, {"refused_share": value, "lost": math.nan}, {}) for value in (1.0, 2.0)]
    none = [play("changes", 1.0, 0, {}, {"time_ms": math.nan})]
    record = Record(FORMAT_VERSION, "2026-01-02", "none", 8, (*plays_of_three_measures(), *more, *none))
    paths = write_plots(record, tmp_path / "new" / "plots")
    assert [path.name for path in paths] == ["gateways.png", "spread.png"]
    assert all(path.read_bytes().startswith(b"\x89PNG") for path in paths)
    assert write_plots(Record(FORMAT_VERSION, "2026-01-02", "none", 8, ()), tmp_path) == []


def test_equal_figures_with_a_rounded_mean_are_drawn(tmp_path: pathlib.Path) -> None:
    plays = [play("gateways", value, number, {"calls": figure}, {})
             for value, figure in ((1.0, 0.1), (2.0, 0.7)) for number in range(PLAYS_PER_POINT)]
    assert len(write_plots(Record(FORMAT_VERSION, "2026-01-02", "none", 8, tuple(plays)), tmp_path)) == 1


@pytest.mark.parametrize(("measure", "group"), [
    ("memory_per_backend_bytes", "Memory"), ("control_cpu_share", "Processor time"),
    ("module_us_per_request", "Processor time"), ("refused_with_room_share", "Shares"),
    ("whole_list_bytes", "Bytes"), ("restart_list_calls_fleet", "Calls"), ("news_last_ms", "Elapsed time"),
    ("restart_all_told_s", "Elapsed time"), ("counter_names_active", "Other"),
])
def test_measures_are_grouped_by_unit(measure: str, group: str) -> None:
    assert group_title(measure) == group
