"""Generates the tables of docs/CAPACITY.md from a recorded scale run, and checks the page against them.

A table is placed in the page between `<!-- table: NAME -->` and `<!-- end -->`. Each figure is estimated from
the plays of the record by the model of `capacity_model`, or calculated from the target size; a column says
which. A figure that no play measured is printed as "not measured".
"""

from __future__ import annotations

import argparse
import itertools
import pathlib
import re
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np

from embersill.lab.scale.capacity_model import (
    CapacityModel, Estimate, NotMeasured, Origin, OutsideModel, format_number,
)
from embersill.lab.scale.capacity_plan import FAILURES, ROLE_TABLES, FailurePlan, RowPlan
from embersill.lab.scale.coming_size import TARGET_SIZE, CapacityTarget
from embersill.lab.scale.fits import NotExtrapolated
from embersill.lab.scale.records import BadRecord, Record, Slope, read_record

DONE, DIFFERS, USAGE_ERROR = 0, 1, 2
SIZE_FRACTIONS = np.concatenate([np.arange(1, 100) / 100, np.arange(10, 101) / 10])  # of the target size
NOT_EXCEEDED = f"not up to {format_number(float(SIZE_FRACTIONS[-1]))} times the size"
BEYOND_PLAYED = "beyond what was played"
NOT_MEASURED_TEXT = "not measured"
NO_BUDGET = "no budget named"
EMPTY_CELL = "-"
END_MARKER = "<!-- end -->"
TABLE_BLOCK = re.compile(r"(<!-- table: (?P<name>\w+) -->\n)(?P<body>.*?)(?=<!-- end -->)", re.DOTALL)

ROLE_HEADER = ("quantity", "at the coming size", "origin", "how", "slope, 95% interval", "run", "budget",
               "of the budget", "carried by", "passes the budget at")
FAILURE_HEADER = ("failure", "how often", "quantity", "cost", "origin", "how", "run", "carried by")
ORDER_HEADER = ("place", "missing mechanism", "first needed for", "passes the budget at", "of the budget",
                "origin", "carried today by")


class BadPage(Exception):
    """The markers of a page are malformed or do not match the tables."""


@dataclass(frozen=True, slots=True)
class BudgetCrossing:
    """The smallest fraction of the target size that exceeds a budget, or why there is none."""

    size_fraction: float | None
    text: str


@dataclass(frozen=True, slots=True)
class RowResult:
    """A row's value at the target size, compared with its budget."""

    role: str
    plan: RowPlan
    estimate: Estimate | None  # None: `origin` and `explanation` say why
    origin: Origin
    explanation: str
    crossing: BudgetCrossing | None  # None: no budget

    @property
    def budget_ratio(self) -> float | None:
        """The value as a multiple of the budget; None without a value or a budget."""
        if self.plan.budget is None or self.estimate is None:
            return None
        return self.estimate.value / self.plan.budget.max_value


# estimates


def estimate_row(plan: RowPlan, model: CapacityModel, target: CapacityTarget) -> Estimate:
    """The row's value at one size; raises NotMeasured, NotExtrapolated or OutsideModel if there is none."""
    if plan.from_size is not None:
        return Estimate(
            plan.from_size.calculate(target), Origin.CALCULATED, f"reckoned: {plan.from_size.formula}")
    if not plan.terms:
        raise NotMeasured("no such measure yet")
    return model.estimate_terms(plan.terms, target)


def evaluate_row(role: str, plan: RowPlan, model: CapacityModel) -> RowResult:
    """The row's value at the target size and the size at which it exceeds its budget."""
    crossing = find_budget_crossing(plan, model)
    try:
        estimate = estimate_row(plan, model, TARGET_SIZE)
    except NotMeasured as error:
        return RowResult(role, plan, None, Origin.NOT_MEASURED, str(error), crossing)
    except (NotExtrapolated, OutsideModel) as error:
        return RowResult(role, plan, None, Origin.NOT_EXTRAPOLATED, str(error), crossing)
    return RowResult(role, plan, estimate, estimate.origin, estimate.derivation, crossing)


def find_budget_crossing(plan: RowPlan, model: CapacityModel) -> BudgetCrossing | None:
    """The smallest fraction of the target size, all numbers in proportion, that exceeds the budget."""
    if plan.budget is None:
        return None
    has_gaps = False
    for fraction in SIZE_FRACTIONS:
        try:
            value = estimate_row(plan, model, TARGET_SIZE.scaled(float(fraction))).value
        except NotMeasured:
            return BudgetCrossing(None, NOT_MEASURED_TEXT)
        except (NotExtrapolated, OutsideModel):
            has_gaps = True
            continue
        if value > plan.budget.max_value:
            return BudgetCrossing(
                float(fraction), f"{'at most ' if has_gaps else ''}{fraction:.2f} of the size")
    return BudgetCrossing(None, BEYOND_PLAYED if has_gaps else NOT_EXCEEDED)


# tables


def build_tables(record: Record) -> dict[str, str]:
    """The Markdown text of each table, by the name in its marker."""
    model = CapacityModel(record.plays)
    results = {plan.name: [evaluate_row(plan.name, row, model) for row in plan.rows] for plan in ROLE_TABLES}
    tables = {name: role_table(rows) for name, rows in results.items()}
    failures = [(failure, [evaluate_row(failure.failure, row, model) for row in failure.rows])
                for failure in FAILURES]
    tables["failures"] = failure_table(failures)
    tables["order"] = order_table([result for rows in results.values() for result in rows]
                                  + [result for _, rows in failures for result in rows])
    tables["record"] = record_table(record)
    return tables


def role_table(results: Iterable[RowResult]) -> str:
    """The table of one role."""
    return markdown_table(ROLE_HEADER, [(
        result.plan.quantity,
        figure_text(result),
        result.origin.value,
        result.explanation,
        slopes_text(result),
        runs_text(result),
        budget_text(result.plan),
        ratio_text(result),
        result.plan.mechanism,
        EMPTY_CELL if result.crossing is None else result.crossing.text,
    ) for result in results])


def failure_table(failures: Iterable[tuple[FailurePlan, Sequence[RowResult]]]) -> str:
    """The cost of each failure in messages, bytes and seconds."""
    return markdown_table(FAILURE_HEADER, [(
        failure.failure,
        failure.frequency,
        result.plan.quantity,
        figure_text(result),
        result.origin.value,
        result.explanation,
        runs_text(result),
        result.plan.mechanism,
    ) for failure, results in failures for result in results])


def order_table(results: Sequence[RowResult]) -> str:
    """The missing mechanisms, in the order in which a growing deployment needs them."""
    rows = []
    for position, result in enumerate(missing_mechanisms(results), start=1):
        text = NO_BUDGET if result.crossing is None else result.crossing.text
        rows.append((
            str(position), result.plan.missing_mechanism, f"{result.role}: {result.plan.quantity}", text,
            ratio_text(result), result.origin.value, result.plan.mechanism))
    return markdown_table(ORDER_HEADER, rows)


def missing_mechanisms(results: Sequence[RowResult]) -> list[RowResult]:
    """For each missing mechanism the row that needs it first, sorted by urgency."""
    first: dict[str, RowResult] = {}
    for result in sorted(results, key=urgency_key):
        if result.plan.missing_mechanism:
            first.setdefault(result.plan.missing_mechanism, result)
    return list(first.values())


def urgency_key(result: RowResult) -> tuple[int, float]:
    """The sort key: exceeded budgets by fraction of the size, then others by ratio, then unknown ones."""
    if result.crossing is not None and result.crossing.size_fraction is not None:
        return 0, result.crossing.size_fraction
    if result.budget_ratio is not None:
        return 1, -result.budget_ratio
    return (2 if result.plan.budget is not None else 3), 0.0


def record_table(record: Record) -> str:
    """The date, command, cores and axes of the record."""
    axes = sorted({play.axis for play in record.plays})
    rows = [("taken", record.taken), ("command", f"`{record.command}`"), ("cores", str(record.cores))]
    for axis in axes:
        plays = [play for play in record.plays if play.axis == axis]
        values = sorted({play.value for play in plays})
        rows.append((f"axis {axis}", f"{', '.join(map(format_number, values))}; {len(plays)} plays"))
    return markdown_table(("what", "of the run"), rows)


def markdown_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |\n" for line in lines)


def figure_text(result: RowResult) -> str:
    """The value with its unit, or the reason why there is none."""
    if result.estimate is None:
        return result.origin.value
    return f"{format_number(result.estimate.value)} {result.plan.unit}"


def slopes_text(result: RowResult) -> str:
    """The slopes used for the estimate."""
    slopes = () if result.estimate is None else result.estimate.slopes
    return "; ".join(map(slope_text, slopes)) or EMPTY_CELL


def slope_text(slope: Slope) -> str:
    """A slope with its confidence interval, measure and axis."""
    bends = ", bends" if slope.bends else ""
    return (f"{slope.measure} over {slope.axis} {format_number(slope.slope)} "
            f"({format_number(slope.low)} to {format_number(slope.high)}{bends})")


def runs_text(result: RowResult) -> str:
    """The played axis ranges used for the estimate."""
    played_ranges = () if result.estimate is None else result.estimate.played_ranges
    return "; ".join(played_ranges) or EMPTY_CELL


def budget_text(plan: RowPlan) -> str:
    """The budget with its source."""
    if plan.budget is None:
        return NO_BUDGET
    return f"{format_number(plan.budget.max_value)} {plan.unit} ({plan.budget.source})"


def ratio_text(result: RowResult) -> str:
    """The value as a multiple of its budget."""
    return EMPTY_CELL if result.budget_ratio is None else format_number(result.budget_ratio)


# page


def read_page_tables(page: str) -> dict[str, str]:
    """The tables in a page, by name; raises BadPage if a marker is malformed or a name repeated."""
    names = [match["name"] for match in TABLE_BLOCK.finditer(page)]
    if len(set(names)) < len(names):
        raise BadPage("two tables have the same name")
    if page.count("<!-- table:") != len(names) or page.count(END_MARKER) != len(names):
        raise BadPage(f"malformed marker: each table must be between its own marker and {END_MARKER}")
    return {match["name"]: match["body"] for match in TABLE_BLOCK.finditer(page)}


def replace_tables(page: str, tables: dict[str, str]) -> str:
    """The page with its tables replaced by these; raises BadPage if the names do not match."""
    check_table_names(read_page_tables(page), tables)
    return TABLE_BLOCK.sub(lambda match: match[1] + tables[match["name"]], page)


def check_table_names(present: Iterable[str], wanted: Iterable[str]) -> None:
    """Raises BadPage unless the page has exactly the wanted tables."""
    present, wanted = set(present), set(wanted)
    if present != wanted:
        raise BadPage(f"tables without a marker in the page: {sorted(wanted - present)}, "
                      f"markers without a table: {sorted(present - wanted)}")


def find_differences(page: str, tables: dict[str, str]) -> list[str]:
    """The rows of the page that differ from the generated tables, described in one line each."""
    present = read_page_tables(page)
    check_table_names(present, tables)
    found = []
    for name, table in tables.items():
        pairs = itertools.zip_longest(present[name].splitlines(), table.splitlines(), fillvalue="nothing")
        found += [f"table {name}, row {row}: the page has {actual!r}, generated is {generated!r}"
                  for row, (actual, generated) in enumerate(pairs, start=-1) if actual != generated]
    return found


def find_nonempty_tables(page: str) -> list[str]:
    """Describes each table that is not empty, which is an error while there is no record."""
    return [f"table {name} holds rows, but there is no record"
            for name, table in read_page_tables(page).items() if table.strip()]


# command


def add_capacity_arguments(parser: argparse.ArgumentParser) -> argparse.ArgumentParser:
    """Adds the arguments of the command to its own parser or to that of a subcommand."""
    parser.add_argument("record", type=pathlib.Path, metavar="RECORD", help="a recorded scale run, JSON")
    parser.add_argument("--page", type=pathlib.Path, required=True, help="the page that holds the tables")
    parser.add_argument("--check", action="store_true",
                        help="write nothing; exit with 1 if a row of the page is not as generated")
    return parser


def run_capacity(options: argparse.Namespace) -> int:
    """Writes or checks the page and returns the exit code."""
    try:
        page = options.page.read_text()
        return check_page(options.record, page) if options.check else write_page(options, page)
    except (BadRecord, BadPage, OSError) as error:
        print(error, file=sys.stderr)
        return USAGE_ERROR


def check_page(path: pathlib.Path, page: str) -> int:
    """Prints each row that differs; without a record the tables must be empty."""
    if path.exists():
        found = find_differences(page, build_tables(read_record(path)))
    else:
        found = find_nonempty_tables(page)
    for line in found:
        print(line, file=sys.stderr)
    return DIFFERS if found else DONE


def write_page(options: argparse.Namespace, page: str) -> int:
    """Replaces the tables of the page with generated ones."""
    options.page.write_text(replace_tables(page, build_tables(read_record(options.record))))
    return DONE


def main_capacity(arguments: Sequence[str] | None = None) -> int:
    """Runs the command as a program; `arguments` exclude the program's name."""
    parser = argparse.ArgumentParser(
        prog="python -m embersill.lab.scale.capacity",
        description="Writes the tables of the capacity page from a recorded scale run, or checks them.",
        epilog="Exits with 0: done, 1: the page differs, 2: bad use.")
    return run_capacity(add_capacity_arguments(parser).parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main_capacity())
