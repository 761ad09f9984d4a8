"""The generated tables of the capacity page: made from a recorded run, put between markers, checked.

A table stands in the page between `<!-- table: NAME -->` and `<!-- end -->`. All its figures come from the
plays of the record by the model of `capacity_model`, or are reckoned from the coming size; a column says
which. A figure without plays behind it reads "not measured".
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

from embersill.lab.scale.capacity_model import CapacityModel, Kind, NotMeasured, OutsideModel, Reading, number
from embersill.lab.scale.capacity_plan import FAILURES, ROLES, FailurePlan, RowPlan
from embersill.lab.scale.coming_size import COMING_SIZE, CapacityTarget
from embersill.lab.scale.fits import NotExtrapolated
from embersill.lab.scale.records import BadRecord, Record, Slope, read_record

DONE, DIFFERS, BAD_USE = 0, 1, 2
PARTS = np.concatenate([np.arange(1, 100) / 100, np.arange(10, 101) / 10])  # of the coming size
NOT_PASSED = f"not up to {number(float(PARTS[-1]))} times the size"
BEYOND = "beyond what was played"
UNKNOWN = "not measured"
NO_BUDGET = "no budget named"
BLANK = "-"
END = "<!-- end -->"
BLOCK = re.compile(r"(<!-- table: (?P<name>\w+) -->\n)(?P<body>.*?)(?=<!-- end -->)", re.DOTALL)

ROLE_HEAD = ("quantity", "at the coming size", "origin", "how", "slope, 95% interval", "run", "budget",
             "of the budget", "carried by", "passes the budget at")
FAILURE_HEAD = ("failure", "how often", "quantity", "cost", "origin", "how", "run", "carried by")
ORDER_HEAD = ("place", "missing mechanism", "first needed for", "passes the budget at", "of the budget",
              "origin", "carried today by")


class BadPage(Exception):
    """A page whose markers do not fit the tables."""


@dataclass(frozen=True, slots=True)
class Crossing:
    """The smallest part of the coming size at which a budget is passed, or why there is none."""

    part: float | None
    text: str


@dataclass(frozen=True, slots=True)
class Result:
    """A row's figure at the coming size, held against its budget."""

    role: str
    plan: RowPlan
    reading: Reading | None  # None: `kind` and `how` say why
    kind: Kind
    how: str
    crossing: Crossing | None  # None: no budget

    @property
    def ratio(self) -> float | None:
        """The figure as a multiple of its budget."""
        if self.plan.budget is None or self.reading is None:
            return None
        return self.reading.value / self.plan.budget.most


# figures


def read_row(plan: RowPlan, model: CapacityModel, target: CapacityTarget) -> Reading:
    """The row's figure at one size; NotMeasured, NotExtrapolated or OutsideModel where there is none."""
    if plan.given is not None:
        return Reading(plan.given.reckon(target), Kind.RECKONED, f"reckoned: {plan.given.formula}")
    if not plan.terms:
        raise NotMeasured("no such measure yet")
    return model.read_terms(plan.terms, target)


def evaluate(role: str, plan: RowPlan, model: CapacityModel) -> Result:
    """The row at the coming size."""
    crossing = find_crossing(plan, model)
    try:
        reading = read_row(plan, model, COMING_SIZE)
    except NotMeasured as error:
        return Result(role, plan, None, Kind.NOT_MEASURED, str(error), crossing)
    except (NotExtrapolated, OutsideModel) as error:
        return Result(role, plan, None, Kind.NOT_EXTENDED, str(error), crossing)
    return Result(role, plan, reading, reading.kind, reading.how, crossing)


def find_crossing(plan: RowPlan, model: CapacityModel) -> Crossing | None:
    """Where the budget is first passed when all of the size grows in step."""
    if plan.budget is None:
        return None
    has_gaps = False
    for part in PARTS:
        try:
            value = read_row(plan, model, COMING_SIZE.scaled(float(part))).value
        except NotMeasured:
            return Crossing(None, UNKNOWN)
        except (NotExtrapolated, OutsideModel):
            has_gaps = True
            continue
        if value > plan.budget.most:
            return Crossing(float(part), f"{'at most ' if has_gaps else ''}{part:.2f} of the size")
    return Crossing(None, BEYOND if has_gaps else NOT_PASSED)


# tables


def build_tables(record: Record) -> dict[str, str]:
    """The text of each table, by the name in its marker."""
    model = CapacityModel(record.plays)
    results = {plan.name: [evaluate(plan.name, row, model) for row in plan.rows] for plan in ROLES}
    tables = {name: role_table(rows) for name, rows in results.items()}
    failures = [(failure, [evaluate(failure.failure, row, model) for row in failure.rows])
                for failure in FAILURES]
    tables["failures"] = failure_table(failures)
    tables["order"] = order_table([result for rows in results.values() for result in rows]
                                  + [result for _, rows in failures for result in rows])
    tables["record"] = record_table(record)
    return tables


def role_table(results: Iterable[Result]) -> str:
    """The table of one role."""
    return as_table(ROLE_HEAD, [(
        result.plan.quantity,
        figure_text(result),
        result.kind.value,
        result.how,
        slopes_text(result),
        runs_text(result),
        budget_text(result.plan),
        ratio_text(result),
        result.plan.mechanism,
        BLANK if result.crossing is None else result.crossing.text,
    ) for result in results])


def failure_table(failures: Iterable[tuple[FailurePlan, Sequence[Result]]]) -> str:
    """What each failure costs in messages, bytes and seconds."""
    return as_table(FAILURE_HEAD, [(
        failure.failure,
        failure.often,
        result.plan.quantity,
        figure_text(result),
        result.kind.value,
        result.how,
        runs_text(result),
        result.plan.mechanism,
    ) for failure, results in failures for result in results])


def order_table(results: Sequence[Result]) -> str:
    """The missing mechanisms, the one first that is needed at the smallest part of the coming size."""
    rows = []
    for place, result in enumerate(missing_mechanisms(results), start=1):
        text = NO_BUDGET if result.crossing is None else result.crossing.text
        rows.append((str(place), result.plan.missing, f"{result.role}: {result.plan.quantity}", text,
                     ratio_text(result), result.kind.value, result.plan.mechanism))
    return as_table(ORDER_HEAD, rows)


def missing_mechanisms(results: Sequence[Result]) -> list[Result]:
    """For each missing mechanism the row that needs it first, sorted."""
    first: dict[str, Result] = {}
    for result in sorted(results, key=urgency):
        if result.plan.missing:
            first.setdefault(result.plan.missing, result)
    return list(first.values())


def urgency(result: Result) -> tuple[int, float]:
    """The sort key: passed budgets by part of the size, the others by ratio, then what is unknown."""
    if result.crossing is not None and result.crossing.part is not None:
        return 0, result.crossing.part
    if result.ratio is not None:
        return 1, -result.ratio
    return (2 if result.plan.budget is not None else 3), 0.0


def record_table(record: Record) -> str:
    """What the record holds: its date, command and axes."""
    axes = sorted({play.axis for play in record.plays})
    rows = [("taken", record.taken), ("command", f"`{record.command}`"), ("cores", str(record.cores))]
    for axis in axes:
        plays = [play for play in record.plays if play.axis == axis]
        values = sorted({play.value for play in plays})
        rows.append((f"axis {axis}", f"{', '.join(map(number, values))}; {len(plays)} plays"))
    return as_table(("what", "of the run"), rows)


def as_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |\n" for line in lines)


def figure_text(result: Result) -> str:
    """The figure with its unit, or that there is none."""
    if result.reading is None:
        return result.kind.value
    return f"{number(result.reading.value)} {result.plan.unit}"


def slopes_text(result: Result) -> str:
    """The slopes that went into the figure."""
    slopes = () if result.reading is None else result.reading.slopes
    return "; ".join(map(slope_text, slopes)) or BLANK


def slope_text(slope: Slope) -> str:
    """A slope with its interval, named by its measure and axis."""
    bends = ", bends" if slope.bends else ""
    return (f"{slope.measure} over {slope.axis} {number(slope.slope)} "
            f"({number(slope.low)} to {number(slope.high)}{bends})")


def runs_text(result: Result) -> str:
    """The runs behind the figure."""
    runs = () if result.reading is None else result.reading.runs
    return "; ".join(runs) or BLANK


def budget_text(plan: RowPlan) -> str:
    """The budget with its source."""
    if plan.budget is None:
        return NO_BUDGET
    return f"{number(plan.budget.most)} {plan.unit} ({plan.budget.source})"


def ratio_text(result: Result) -> str:
    """The figure as a multiple of its budget."""
    return BLANK if result.ratio is None else number(result.ratio)


# page


def page_tables(page: str) -> dict[str, str]:
    """The tables that stand in a page, by name; BadPage where a marker does not fit."""
    names = [found["name"] for found in BLOCK.finditer(page)]
    if len(set(names)) < len(names):
        raise BadPage("two tables have the same name")
    if page.count("<!-- table:") != len(names) or page.count(END) != len(names):
        raise BadPage(f"a marker is torn: each table stands between its own and {END}")
    return {found["name"]: found["body"] for found in BLOCK.finditer(page)}


def replace_tables(page: str, tables: dict[str, str]) -> str:
    """The page with these tables in place of its own; BadPage unless it has a place for each."""
    check_names(page_tables(page), tables)
    return BLOCK.sub(lambda found: found[1] + tables[found["name"]], page)


def check_names(present: Iterable[str], wanted: Iterable[str]) -> None:
    """BadPage unless the page has a place for each table and no other."""
    present, wanted = set(present), set(wanted)
    if present != wanted:
        raise BadPage(f"tables without a place: {sorted(wanted - present)}, "
                      f"places without a table: {sorted(present - wanted)}")


def differences(page: str, tables: dict[str, str]) -> list[str]:
    """The rows of the page that are not as generated, each in one line."""
    present = page_tables(page)
    check_names(present, tables)
    found = []
    for name, table in tables.items():
        pairs = itertools.zip_longest(present[name].splitlines(), table.splitlines(), fillvalue="nothing")
        found += [f"table {name}, row {row}: the page has {has!r}, generated is {wanted!r}"
                  for row, (has, wanted) in enumerate(pairs, start=-1) if has != wanted]
    return found


def filled_tables(page: str) -> list[str]:
    """The tables that hold anything: none may as long as there is no record."""
    return [f"table {name} holds rows, but there is no record" for name, table in page_tables(page).items()
            if table.strip()]


# command


def add_capacity_arguments(parser: argparse.ArgumentParser) -> argparse.ArgumentParser:
    """The arguments of the command, for a parser of its own or for a subcommand."""
    parser.add_argument("record", type=pathlib.Path, metavar="RECORD", help="a recorded scale run, JSON")
    parser.add_argument("--page", type=pathlib.Path, required=True, help="the page that holds the tables")
    parser.add_argument("--check", action="store_true",
                        help="write nothing; exit with 1 if a row of the page is not as generated")
    return parser


def run_capacity(options: argparse.Namespace) -> int:
    """Writes or checks the page; the exit code."""
    try:
        page = options.page.read_text()
        return check_page(options.record, page) if options.check else write_page(options, page)
    except (BadRecord, BadPage, OSError) as error:
        print(error, file=sys.stderr)
        return BAD_USE


def check_page(path: pathlib.Path, page: str) -> int:
    """Tells each row that differs; without a record the tables have to be empty."""
    if path.exists():
        found = differences(page, build_tables(read_record(path)))
    else:
        found = filled_tables(page)
    for line in found:
        print(line, file=sys.stderr)
    return DIFFERS if found else DONE


def write_page(options: argparse.Namespace, page: str) -> int:
    """Replaces the tables of the page."""
    options.page.write_text(replace_tables(page, build_tables(read_record(options.record))))
    return DONE


def main_capacity(arguments: Sequence[str] | None = None) -> int:
    """The command by itself; `arguments` without the program's name."""
    parser = argparse.ArgumentParser(
        prog="python -m embersill.lab.scale.capacity",
        description="Writes the tables of the capacity page from a recorded scale run, or checks them.",
        epilog="Exits with 0: done, 1: the page differs, 2: bad use.")
    return run_capacity(add_capacity_arguments(parser).parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main_capacity())
