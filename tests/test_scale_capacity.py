"""The tables of docs/CAPACITY.md equal those generated from the recorded run, to the digit."""

from __future__ import annotations

import dataclasses
import math
import pathlib
import re
import subprocess
import sys
from collections.abc import Callable, Iterable

import pytest

from embersill.lab.scale import capacity, coming_size
from embersill.lab.scale.capacity import (
    DIFFERS, DONE, USAGE_ERROR, BadPage, build_tables, evaluate_row, find_differences, find_nonempty_tables,
    main_capacity, read_page_tables, replace_tables,
)
from embersill.lab.scale.capacity_model import (
    CapacityModel, Factor, NotMeasured, Origin, OutsideModel, Term, format_number,
)
from embersill.lab.scale.capacity_plan import FAILURES, ROLE_TABLES, Budget, RowPlan
from embersill.lab.scale.coming_size import TARGET_SIZE
from embersill.lab.scale.fits import CONFIDENCE, NotExtrapolated
from embersill.lab.scale.records import FORMAT_VERSION, FleetSize, Play, Record, read_record, write_record

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RECORD = ROOT / "docs" / "capacity" / "record.json"

BASE = FleetSize(gateways=100, backends=200, customers=500, spread=4, requests_per_second=10.0,
                 changes_per_second=1.0, restarted_share=0.0)
FIELDS = {
    "gateways": "gateways", "backends": "backends", "customers": "customers", "spread": "spread",
    "requests": "requests_per_second", "changes": "changes_per_second", "restarted": "restarted_share",
}
VALUES = {
    "gateways": (50, 100, 200, 400, 1_100), "backends": (50, 100, 200, 400, 800),
    "customers": (100, 200, 500, 1_000, 2_000), "spread": (1, 2, 4, 8, 16),
    "requests": (5.0, 10.0, 20.0, 40.0, 80.0), "changes": (0.5, 1.0, 2.0, 4.0, 8.0),
    "restarted": (0.05, 0.1, 0.25, 0.5, 1.0),
}
Measure = Callable[[FleetSize], float]


def customers_at(size: FleetSize) -> float:
    """The customers that use one gateway."""
    return size.customers * size.spread / size.gateways


COUNTS: dict[str, Measure] = {
    "counter_calls_per_gateway": lambda size: 0.2 * size.requests_per_second + 0.01 * customers_at(size),
    "counter_bytes_out_per_gateway": lambda size: 12.0 * size.requests_per_second + 0.5 * customers_at(size),
    "counter_bytes_in_per_gateway": lambda size: 3.0 * size.requests_per_second + 0.1 * customers_at(size),
    "counter_calls_fleet": lambda size: size.gateways * (
        0.2 * size.requests_per_second + 0.01 * customers_at(size)),
    "list_calls_per_gateway": lambda size: 0.1 + size.changes_per_second,
    "list_bytes_out_per_gateway": lambda size: 150.0 * size.changes_per_second,
    "list_bytes_in_per_gateway": lambda size: 300.0 * size.changes_per_second + 0.1 * size.backends,
    "list_bytes_out_leader": lambda size: 300.0 * size.gateways,
    "whole_list_bytes": lambda size: 20.0 + 80.0 * size.backends,
    "change_bytes": lambda size: 300.0,
    "customers_per_gateway": customers_at,
    "restart_list_calls_fleet": lambda size: 2.0 * size.restarted_share * size.gateways,
}
TIMES: dict[str, Measure] = {
    "control_cpu_share": lambda size: 0.001 + 0.0001 * size.gateways + 0.00001 * size.backends
    + 0.00001 * customers_at(size) + 0.0001 * size.requests_per_second,
    "module_us_per_request": lambda size: 40.0 + 0.01 * size.backends + 0.001 * customers_at(size),
    "whole_list_ms": lambda size: 0.01 * size.backends + 1e-5 * size.backends ** 2,
    "gateway_memory_mb": lambda size: 30.0 + 0.001 * size.backends + 0.001 * customers_at(size),
    "memory_per_customer_bytes": lambda size: 2_000.0,
    "counter_cpu_share": lambda size: 20e-6 * size.gateways * (
        0.2 * size.requests_per_second + 0.01 * customers_at(size)),
    "directory_leader_cpu_share": lambda size: 0.01 + 0.0002 * size.gateways + 0.1 * size.changes_per_second
    + 0.0001 * size.backends,
    "news_longest_ms": lambda size: 30.0 + 0.1 * size.gateways,
    "restart_all_told_s": lambda size: 0.5 + 10.0 * size.restarted_share,
    "added_p99_ms": lambda size: 0.5 + 0.01 * size.requests_per_second,
}


def synthetic_size(axis: str, value: float) -> FleetSize:
    """The base size, with one axis at another value."""
    field_type = type(getattr(BASE, FIELDS[axis]))
    return dataclasses.replace(BASE, **{FIELDS[axis]: field_type(value)})


def relative_deviation(seed: int) -> float:
    """A small relative deviation, equal for equal seeds; the sum over three plays is zero."""
    return 0.001 * (seed % 3 - 1)


def synthetic_play(axis: str, value: float, play: int) -> Play:
    """A play whose counts follow the formulas exactly and whose times deviate slightly."""
    size = synthetic_size(axis, value)
    counts = {name: measure(size) for name, measure in COUNTS.items()}
    times = {name: measure(size) * (1.0 + relative_deviation(play)) for name, measure in TIMES.items()}
    return Play(axis, float(value), play, play, size, 10.0, counts, times)


def synthetic_record(axes: Iterable[str] = tuple(VALUES)) -> Record:
    """A record of three plays at each value of these axes."""
    plays = tuple(synthetic_play(axis, value, play)
                  for axis in axes for value in VALUES[axis] for play in range(3))
    return Record(FORMAT_VERSION, "2026-01-02", "a command | of the test", 8, plays)


def rows_of(table: str) -> list[list[str]]:
    """The cells of each row of a table, without its header."""
    lines = table.splitlines()[2:]
    return [[cell.strip() for cell in re.split(r"(?<!\\)\|", line)[1:-1]] for line in lines]


@pytest.fixture(scope="module")
def tables() -> dict[str, str]:
    return build_tables(synthetic_record())


@pytest.fixture(scope="module")
def model() -> CapacityModel:
    return CapacityModel(synthetic_record().plays)


@pytest.fixture
def site(tmp_path: pathlib.Path) -> tuple[pathlib.Path, pathlib.Path]:
    """The paths of a synthetic record and of the project's page, generated from it."""
    record, page = tmp_path / "record.json", tmp_path / "page.md"
    write_record(record, synthetic_record())
    page.write_text(PAGE.read_text())
    assert main_capacity([str(record), "--page", str(page)]) == DONE
    return record, page


def check(record: pathlib.Path, page: pathlib.Path) -> int:
    return main_capacity([str(record), "--page", str(page), "--check"])


# the page of the project


def test_page_matches_the_record_or_has_empty_tables() -> None:
    page = PAGE.read_text()
    if RECORD.exists():
        assert find_differences(page, build_tables(read_record(RECORD))) == []
    else:
        assert find_nonempty_tables(page) == []
    assert check(RECORD, PAGE) == DONE


def test_page_has_a_marker_for_each_table(tables: dict[str, str]) -> None:
    assert set(read_page_tables(PAGE.read_text())) == set(tables)


def operator_figures() -> set[str]:
    """The numbers that the prose may contain: those of the operators and of the method."""
    named = [getattr(TARGET_SIZE, field.name) for field in dataclasses.fields(TARGET_SIZE)]
    named += [coming_size.CONFIG_PROPAGATION_SECONDS, coming_size.ADDED_P99_MS, coming_size.GATEWAY_MEMORY_MB,
              100 * coming_size.GATEWAY_CPU_SHARE, coming_size.GATEWAY_BYTES_PER_SECOND / 1_000,
              coming_size.CONTROL_MACHINES, coming_size.MIN_COUNTER_PART_CALLS,
              coming_size.MAX_COUNTER_PART_CALLS, coming_size.MAX_COUNTER_PARTS, 1, 99, 100, 100 * CONFIDENCE]
    return {format_number(value) for value in named}


def test_prose_contains_only_operator_figures() -> None:
    prose = replace_tables(PAGE.read_text(), dict.fromkeys(read_page_tables(PAGE.read_text()), ""))
    assert set(re.findall(r"\d[\d,.]*\d|\d", prose)) <= operator_figures()


# the check


def test_generated_page_passes_and_stays_the_same(site: tuple[pathlib.Path, pathlib.Path]) -> None:
    record, page = site
    before = page.read_text()
    assert check(record, page) == DONE
    assert main_capacity([str(record), "--page", str(page)]) == DONE
    assert page.read_text() == before


@pytest.mark.parametrize("name", sorted(read_page_tables(PAGE.read_text())))
def test_any_changed_digit_is_reported_with_its_row(name: str, tables: dict[str, str]) -> None:
    good = replace_tables(PAGE.read_text(), tables)
    body = tables[name]
    digits = [found.start() for found in re.finditer(r"\d", body)]
    assert digits and find_differences(good, tables) == []
    for at in digits:
        changed = body[:at] + str((int(body[at]) + 1) % 10) + body[at + 1:]
        [line] = find_differences(replace_tables(good, tables | {name: changed}), tables)
        assert line.startswith(f"table {name}, row {body[:at].count(chr(10)) - 1}: ")


def test_command_reports_the_row_that_differs(
    site: tuple[pathlib.Path, pathlib.Path], capsys: pytest.CaptureFixture[str]
) -> None:
    record, page = site
    good = page.read_text()
    page.write_text(good.replace("| 128 MB (operators) |", "| 129 MB (operators) |", 1))
    assert page.read_text() != good and check(record, page) == DIFFERS
    errors = capsys.readouterr().err
    assert errors.count("\n") == 1
    assert re.match(r"table gateway, row \d+: .*memory of the process.*129 MB", errors)


@pytest.mark.parametrize("change", [
    lambda body: "\n".join(body.split("\n")[:-2]) + "\n", lambda body: body + "| 1 |\n", lambda body: "",
])
def test_missing_or_extra_rows_are_reported(
    change: Callable[[str], str], site: tuple[pathlib.Path, pathlib.Path]
) -> None:
    record, page = site
    body = read_page_tables(page.read_text())["order"]
    page.write_text(page.read_text().replace(body, change(body)))
    assert check(record, page) == DIFFERS


def test_tables_without_a_record_are_an_error(
    site: tuple[pathlib.Path, pathlib.Path], capsys: pytest.CaptureFixture[str]
) -> None:
    record, page = site
    record.unlink()
    assert check(record, page) == DIFFERS
    assert "table gateway holds rows, but there is no record" in capsys.readouterr().err
    assert main_capacity([str(record), "--page", str(page)]) == USAGE_ERROR


@pytest.mark.parametrize("damage", [
    lambda page: page.replace("<!-- table: order -->", ""),
    lambda page: page.replace("<!-- table: order -->", "<!-- table: other -->"),
    lambda page: page.replace("<!-- table: order -->", "<!-- table: gateway -->"),
    lambda page: page[::-1].replace(capacity.END_MARKER[::-1], "", 1)[::-1],
])
def test_page_with_malformed_markers_is_a_usage_error(
    damage: Callable[[str], str], site: tuple[pathlib.Path, pathlib.Path]
) -> None:
    record, page = site
    page.write_text(damage(page.read_text()))
    with pytest.raises(BadPage):
        find_differences(page.read_text(), build_tables(synthetic_record()))
    assert check(record, page) == USAGE_ERROR
    assert main_capacity([str(record), "--page", str(page)]) == USAGE_ERROR


def test_command_works_as_a_program(site: tuple[pathlib.Path, pathlib.Path]) -> None:
    record, page = site
    command = [sys.executable, "-m", "embersill.lab.scale.capacity", str(record), "--page", str(page),
               "--check"]
    assert subprocess.run(command, cwd=ROOT, timeout=60).returncode == DONE
    record.write_text("{}")
    completed = subprocess.run(command, cwd=ROOT, timeout=60, capture_output=True, text=True)
    assert completed.returncode == USAGE_ERROR and completed.stderr.startswith("record.json: ")


# rows


def test_every_figure_states_its_origin(tables: dict[str, str]) -> None:
    origins = {known.value for known in Origin}
    for name in set(tables) - {"record", "order", "failures"}:
        for quantity, figure, origin, how, slopes, run, *_ in rows_of(tables[name]):
            assert quantity and origin in origins and how
            assert bool(re.match(r"[\d.-]", figure)) == (origin not in {"not measured", "not extended"})
            assert (run != "-") == (origin in {"measured", "line"} or "over" in slopes)
    for _, _, _, cost, origin, how, run, _ in rows_of(tables["failures"]):
        assert origin in origins and how
        assert bool(re.match(r"[\d.-]", cost)) == (origin not in {"not measured", "not extended"})
        assert run != "-" or origin in {"reckoned", "not measured", "not extended"}


def test_without_plays_nothing_is_measured() -> None:
    empty = build_tables(Record(FORMAT_VERSION, "2026-01-02", "none", 8, ()))
    for name in set(empty) - {"record", "order", "failures"}:
        for _, figure, origin, how, *_ in rows_of(empty[name]):
            assert (figure, origin) == ("not measured", "not measured") or how.startswith("reckoned: ")
    for row in rows_of(empty["order"]):
        assert row[4] == "-" and not re.search(r"\d", row[3])


def test_missing_axis_is_named() -> None:
    short = build_tables(synthetic_record(axis for axis in VALUES if axis != "customers"))
    row = next(row for row in rows_of(short["gateway"]) if row[0] == "CPU of control")
    assert row[1:4] == ["not measured", "not measured", "control_cpu_share over customers"]


def test_order_is_sorted_and_names_each_mechanism_once(tables: dict[str, str]) -> None:
    rows = rows_of(tables["order"])
    assert [int(row[0]) for row in rows] == list(range(1, len(rows) + 1))
    assert len({row[1] for row in rows}) == len(rows)
    places = [re.search(r"([\d.]+) of the size", row[3]) for row in rows]
    parts = [float(found[1]) if found else math.inf for found in places]
    assert parts == sorted(parts) and parts[0] < 1.0 < parts[-1]
    ratios = [float(row[4].replace(",", "")) if row[4] != "-" else 0.0
              for row, part in zip(rows, parts, strict=True) if part == math.inf]
    assert ratios == sorted(ratios, reverse=True)


def test_each_mechanism_is_listed_at_its_smallest_size_fraction(
    tables: dict[str, str], model: CapacityModel
) -> None:
    smallest: dict[str, float] = {}
    for plan in ROLE_TABLES:
        for row in plan.rows:
            crossing = evaluate_row(plan.name, row, model).crossing
            if row.missing_mechanism and crossing is not None and crossing.size_fraction is not None:
                smallest[row.missing_mechanism] = min(
                    crossing.size_fraction, smallest.get(row.missing_mechanism, math.inf))
    shown = {row[1]: row[3] for row in rows_of(tables["order"])}
    assert smallest
    for mechanism, part in smallest.items():
        assert shown[mechanism].endswith(f"{part:.2f} of the size")


MEASURES = """
    counter_calls_per_gateway counter_bytes_out_per_gateway counter_bytes_in_per_gateway
    counter_calls_fleet counter_names_active list_calls_per_gateway list_bytes_out_per_gateway
    list_bytes_in_per_gateway list_bytes_out_leader list_bytes_out_follower whole_list_bytes
    change_bytes customers_per_gateway refused_share refused_with_room_share beyond_quota_share
    restart_list_calls_fleet restart_bytes_per_gateway module_us_per_request whole_list_ms change_ms
    control_cpu_share directory_leader_cpu_share directory_follower_cpu_share gateway_memory_mb
    memory_per_backend_bytes memory_per_customer_bytes directory_leader_memory_mb
    directory_follower_memory_mb counter_memory_mb news_last_ms news_longest_ms restart_all_told_s
    added_p50_ms added_p99_ms aggregator_cpu_share aggregator_memory_mb aggregator_calls_in
    aggregator_calls_out
""".split()


@pytest.mark.parametrize("measure", MEASURES)
def test_each_measure_has_a_row(measure: str) -> None:
    plans = ([row for table in ROLE_TABLES for row in table.rows]
             + [row for plan in FAILURES for row in plan.rows])
    terms = [term for plan in plans for term in plan.terms]
    terms += [term.multiplied_by for term in terms if term.multiplied_by is not None]
    assert measure in {term.measure for term in terms}


# the model


def row(*terms: Term, max_value: float = math.inf) -> RowPlan:
    return RowPlan("quantity", "unit", "mechanism", terms, budget=Budget(max_value, "test"))


def test_played_value_is_measured(model: CapacityModel) -> None:
    result = evaluate_row("role", row(Term("list_bytes_out_leader", ("gateways",))), model)
    assert result.origin is Origin.MEASURED
    assert result.explanation.startswith("list_bytes_out_leader (measured at 1,100 gateways")
    assert result.estimate is not None and result.estimate.value == 300.0 * 1_100


def test_single_axis_is_estimated_by_its_line(model: CapacityModel) -> None:
    result = evaluate_row("role", row(Term("whole_list_bytes", ("backends",))), model)
    assert result.origin is Origin.FITTED
    assert result.explanation == ("whole_list_bytes (line through 50..800 backends, extended 10.6 times; "
                          "flat over gateways, customers, requests, changes)")
    assert result.estimate is not None and math.isclose(result.estimate.value, 20.0 + 80.0 * 8_500)


TARGET_CUSTOMERS = 39_000 * BASE.spread / 1_100
CPU = 0.001 + 0.0001 * 1_100 + 0.00001 * 8_500 + 0.00001 * TARGET_CUSTOMERS + 0.0001 * 240_000 / 1_100


def test_differences_of_further_axes_are_added_to_the_anchor(model: CapacityModel) -> None:
    term = Term("control_cpu_share", ("gateways", "backends", "customers", "requests"), of_one_gateway=True)
    result = evaluate_row("role", row(term, max_value=CPU / 2), model)
    assert result.origin is Origin.CALCULATED and result.estimate is not None
    assert math.isclose(result.estimate.value, CPU, rel_tol=0.01)
    assert result.budget_ratio is not None and math.isclose(result.budget_ratio, 2.0, rel_tol=0.01)
    assert result.crossing is not None and result.crossing.size_fraction is not None
    fixed = 0.001 + 0.00001 * TARGET_CUSTOMERS + 0.0001 * 240_000 / 1_100  # at each fraction of the size
    assert math.isclose(result.crossing.size_fraction, (CPU / 2 - fixed) / (CPU - fixed), abs_tol=0.03)


def test_cost_of_a_gateway_depends_on_its_customers(model: CapacityModel) -> None:
    term = Term("customers_per_gateway", ("gateways", "customers"), of_one_gateway=True)
    assert math.isclose(model.estimate_term(term, TARGET_SIZE).value, TARGET_CUSTOMERS, rel_tol=0.001)
    only = Term("customers_per_gateway", ("customers",), of_one_gateway=True)
    assert math.isclose(model.estimate_term(only, TARGET_SIZE).value, TARGET_CUSTOMERS, rel_tol=0.001)


def test_sum_of_terms_and_factor_is_calculated(model: CapacityModel) -> None:
    gateways = Factor("gateways", lambda target: target.gateways)
    terms = [Term(f"counter_bytes_{direction}_per_gateway", ("gateways", "customers", "requests"), gateways,
                  of_one_gateway=True) for direction in ("out", "in")]
    result = evaluate_row("role", row(*terms), model)
    expected = (15.0 * 240_000 / 1_100 + 0.6 * TARGET_CUSTOMERS) * 1_100
    assert result.origin is Origin.CALCULATED and result.explanation.count(" x gateways") == 2
    assert result.estimate is not None and math.isclose(result.estimate.value, expected, rel_tol=1e-3)


def test_cost_per_call_is_multiplied_by_calls(model: CapacityModel) -> None:
    rows = next(table.rows for table in ROLE_TABLES if table.name == "counter")
    plan = next(row for row in rows if row.quantity == "CPU")
    result = evaluate_row("counter", plan, model)
    calls = (0.2 * 240_000 / 1_100 + 0.01 * TARGET_CUSTOMERS) * 1_100
    assert result.origin is Origin.CALCULATED and result.explanation.startswith("counter_us_per_call (")
    assert " x counter_calls_per_gateway (" in result.explanation
    assert result.estimate is not None and math.isclose(result.estimate.value, 20e-6 * calls, rel_tol=0.01)


def test_axis_without_a_line_stays_as_played_and_is_named() -> None:
    short = CapacityModel(synthetic_record(["backends"]).plays)
    reading = short.estimate_term(Term("whole_list_bytes", ("backends",)), TARGET_SIZE)
    assert reading.derivation.endswith("; gateways, customers, requests, changes as played)")


def test_nonlinear_curve_is_interpolated_but_not_extrapolated(model: CapacityModel) -> None:
    term = Term("whole_list_ms", ("backends",))
    result = evaluate_row("role", row(term, max_value=7.0), model)
    assert (result.origin is Origin.NOT_EXTRAPOLATED and result.estimate is None
            and result.budget_ratio is None)
    assert "bends over backends" in result.explanation and "14.4 there" in result.explanation
    # between 400 and 800 backends
    assert result.crossing is not None and result.crossing.size_fraction == 0.06
    not_exceeded = evaluate_row("role", row(term, max_value=1_000.0), model).crossing
    assert not_exceeded is not None and not_exceeded.text == "beyond what was played"
    curve = model.curves["backends", "whole_list_ms"]
    with pytest.raises(NotExtrapolated):
        curve.estimate_at(810.0)
    below = curve.estimate_at(40.0)
    assert (math.isclose(below.value, 0.525 + (0.525 - 1.1) / 50 * 10)
            and "extended down to 40" in below.derivation)


def test_slope_with_zero_in_its_interval_adds_nothing(model: CapacityModel) -> None:
    curve = model.curves["requests", "news_longest_ms"]
    assert curve.is_flat
    assert math.isclose(curve.estimate_at(10_000.0).value, 30.0 + 0.1 * BASE.gateways, rel_tol=1e-6)


def test_negative_estimate_is_rejected() -> None:
    falling = CapacityModel([
        dataclasses.replace(
            synthetic_play("gateways", value, 0), counts={"falling": 1_000.0 - value}, times={})
        for value in (50, 100, 200, 400, 800)
    ])
    term = Term("falling", ("gateways",))
    assert math.isclose(falling.estimate_term(term, TARGET_SIZE.scaled(0.5)).value, 450.0)
    with pytest.raises(OutsideModel):
        falling.estimate_term(term, TARGET_SIZE)
    assert evaluate_row("role", row(term), falling).origin is Origin.NOT_EXTRAPOLATED


def test_restart_measures_come_only_from_plays_with_restarts(model: CapacityModel) -> None:
    assert ("gateways", "restart_list_calls_fleet") not in model.curves
    gateways = Factor("gateways", lambda target: target.gateways)
    term = Term("restart_list_calls_fleet", ("restarted",), gateways, fixed_values={"restarted": 1 / 15},
                divide_by_gateways=True)
    assert math.isclose(model.estimate_term(term, TARGET_SIZE).value, 2.0 / 15 * 1_100, rel_tol=1e-6)


def test_too_few_values_give_estimates_only_where_played() -> None:
    few = CapacityModel([synthetic_play("gateways", value, 0) for value in (50, 1_100)])
    term = Term("list_bytes_out_leader", ("gateways",))
    assert few.estimate_term(term, TARGET_SIZE).origin is Origin.MEASURED
    with pytest.raises(NotMeasured):
        few.estimate_term(term, TARGET_SIZE.scaled(0.5))


def test_values_that_are_not_finite_are_ignored() -> None:
    play = synthetic_play("gateways", 1_100, 0)
    invalid = dataclasses.replace(play, counts={"list_bytes_out_leader": math.nan})
    with pytest.raises(NotMeasured):
        CapacityModel([invalid]).estimate_term(Term("list_bytes_out_leader", ("gateways",)), TARGET_SIZE)


@pytest.mark.parametrize(("value", "text"), [
    (0.0, "0"), (8_500.0, "8,500"), (0.046, "0.046"), (1.5, "1.5"), (1234.5, "1,230"), (999.6, "1,000"),
    (0.000_012_3, "1.23e-05"), (0.123_456, "0.123"), (12.34, "12.3"), (-0.5, "-0.5"), (2_900.0, "2,900"),
])
def test_numbers_have_three_significant_digits(value: float, text: str) -> None:
    assert format_number(value) == text
