"""Generates the tables of docs/aggregation.md, which compare recorded plays without and with aggregators.

    python -m embersill.lab.scale.aggregation_tables docs/capacity/aggregation.json --page docs/aggregation.md
"""

from __future__ import annotations

import argparse
import pathlib
import statistics
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from embersill.lab.scale.aggregation_runs import WITH_AGGREGATORS, WITHOUT_AGGREGATORS, FAILOVER, MACHINE_LOAD
from embersill.lab.scale.capacity import (
    DIFFERS, DONE, EMPTY_CELL, BadPage, find_differences, find_nonempty_tables, markdown_table,
    replace_tables,
)
from embersill.lab.scale.capacity_model import format_number
from embersill.lab.scale.records import BadRecord, FleetSize, Play, Record, read_record

USAGE_ERROR = 2
PERCENT, CORE_PERCENT = 100.0, 100.0


@dataclass(frozen=True, slots=True)
class Column:
    """A table column that shows one measure of the plays, times a factor."""

    header: str
    measure: str
    factor: float = 1.0


COUNT_COLUMNS = (
    Column("counter calls/s, fleet", "counter_calls_fleet"),
    Column("of these turned away, %", "counter_busy_share", PERCENT),
    Column("calls/s in, all aggregators", "aggregator_calls_in"),
    Column("calls/s out", "aggregator_calls_out"),
    Column("turned away there, %", "aggregator_busy_share", PERCENT),
    Column("calls/s, a gateway", "counter_calls_per_gateway"),
    Column("bytes/s out, a gateway", "counter_bytes_out_per_gateway"),
    Column("refused, % of requests", "refused_share", PERCENT),
    Column("refused with room, %", "refused_with_room_share", PERCENT),
    Column("beyond quota, %", "beyond_quota_share", PERCENT),
)
TIME_COLUMNS = (
    Column("aggregators' CPU, % of a core, sum", "aggregator_cpu_share", CORE_PERCENT),
    Column("an aggregator's memory, MB", "aggregator_memory_mb"),
    Column("module, us a request", "module_us_per_request"),
    Column("added p50, ms", "added_p50_ms"),
    Column("added p99, ms", "added_p99_ms"),
    Column("load of the machine", MACHINE_LOAD),
)
FAILOVER_COLUMNS = (
    Column("hollow gateways that got there", "failover_gateways"),
    Column("list has it no longer, median s", "failover_known_median_s"),
    Column("longest s", "failover_known_longest_s"),
    Column("answered again, median s", "failover_answered_median_s"),
    Column("longest s", "failover_answered_longest_s"),
    Column("refused with room, %", "refused_with_room_share", PERCENT),
    Column("beyond quota, %", "beyond_quota_share", PERCENT),
    Column("load of the machine", MACHINE_LOAD),
)
FLEET_HEADER = ("gateways", "customers", "spread", "parts", "aggregators", "plays")


def column_values(plays: Iterable[Play], column: Column) -> list[float]:
    """The column's value in each play that has the measure."""
    both = [play.counts | play.times for play in plays]
    return [column.factor * play[column.measure] for play in both if column.measure in play]


def median_cell(plays: Sequence[Play], column: Column) -> str:
    """The median of the plays, with minimum and maximum if they differ."""
    values = column_values(plays, column)
    if not values:
        return EMPTY_CELL
    median, minimum, maximum = (format_number(f(values)) for f in (statistics.median, min, max))
    return median if minimum == maximum else f"{median} ({minimum} to {maximum})"


def fleet_cells(size: FleetSize, plays: Sequence[Play]) -> list[str]:
    """The cells that describe the fleet and the number of plays."""
    spread = "all" if size.spread == size.gateways else format_number(size.spread)
    return [format_number(size.gateways), format_number(size.customers), spread,
            format_number(size.counter_parts), format_number(size.aggregators), format_number(len(plays))]


def plays_by_size(record: Record, axes: Sequence[str]) -> dict[FleetSize, list[Play]]:
    """The plays of these axes, grouped by size in ascending order."""
    groups: dict[FleetSize, list[Play]] = {}
    for play in record.plays:
        if play.axis in axes:
            groups.setdefault(play.size, []).append(play)
    return dict(sorted(groups.items(), key=size_order))


def size_order(entry: tuple[FleetSize, list[Play]]) -> tuple[int, int, int, int]:
    """The sort key of a size and its plays."""
    size = entry[0]
    return size.gateways, size.customers, size.spread, size.aggregators


def size_table(record: Record, axes: Sequence[str], columns: Sequence[Column]) -> str:
    """A table with one row for each size."""
    header = [*FLEET_HEADER, *(column.header for column in columns)]
    rows = [[*fleet_cells(size, plays), *(median_cell(plays, column) for column in columns)]
            for size, plays in plays_by_size(record, axes).items()]
    return markdown_table(header, rows)


def play_table(record: Record, axis: str, columns: Sequence[Column]) -> str:
    """A table with one row for each play of an axis."""
    plays = [play for play in record.plays if play.axis == axis]
    plays.sort(key=lambda play: (play.size.aggregators, play.number))
    header = [*FLEET_HEADER[:-1], "play", *(column.header for column in columns)]
    rows = [[*fleet_cells(play.size, [play])[:-1], str(play.number),
             *(median_cell([play], column) for column in columns)] for play in plays]
    return markdown_table(header, rows)


def run_table(record: Record) -> str:
    """The date, machine, settings and seeds of the recorded plays."""
    seeds = sorted({play.seed for play in record.plays})
    rates = sorted({(play.size.gateways, play.size.requests_per_second) for play in record.plays})
    seconds = sorted({(play.axis, play.seconds) for play in record.plays})
    rows = [("taken", record.taken), ("cores", str(record.cores)),
            *((f"measured seconds of a play, {axis}", format_number(length)) for axis, length in seconds),
            *((f"requests/s at a gateway, of {format_number(gateways)}", format_number(rate))
              for gateways, rate in rates),
            ("calls/s that a part of the counter serves",
             ", ".join(sorted({format_number(p.size.counter_calls_per_second) for p in record.plays}))),
            ("calls/s and burst of a gateway's budget",
             "; ".join(sorted({f"{format_number(p.size.gateway_calls_per_second)} and "
                               f"{format_number(p.size.gateway_calls_burst)}" for p in record.plays}))),
            ("seeds", ", ".join(map(str, seeds)))]
    return markdown_table(("what", "of the run"), rows)


def build_tables(record: Record) -> dict[str, str]:
    """The Markdown text of all tables, by the name in their marker."""
    return {
        "run": run_table(record),
        "before_after": size_table(record, (WITHOUT_AGGREGATORS, WITH_AGGREGATORS), COUNT_COLUMNS),
        "before_after_times": size_table(record, (WITHOUT_AGGREGATORS, WITH_AGGREGATORS), TIME_COLUMNS),
        "failover": play_table(record, FAILOVER, FAILOVER_COLUMNS),
    }


def check_page(path: pathlib.Path, page: str) -> list[str]:
    """Describes the rows that differ from the generated ones; without a record, tables must be empty."""
    return (find_differences(page, build_tables(read_record(path))) if path.exists()
            else find_nonempty_tables(page))


def write_or_check(options: argparse.Namespace) -> int:
    """Writes the tables of the page, or prints the rows that differ; returns the exit code."""
    page = options.page.read_text()
    if not options.check:
        options.page.write_text(replace_tables(page, build_tables(read_record(options.record))))
        return DONE
    different_rows = check_page(options.record, page)
    for line in different_rows:
        print(line, file=sys.stderr)
    return DIFFERS if different_rows else DONE


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command; `arguments` exclude the program's name."""
    parser = argparse.ArgumentParser(
        prog="python -m embersill.lab.scale.aggregation_tables",
        description="Writes the tables of the page on aggregation from their record, or checks them.",
        epilog="Exits with 0: done, 1: the page differs, 2: bad use.")
    parser.add_argument("record", type=pathlib.Path, metavar="RECORD")
    parser.add_argument("--page", type=pathlib.Path, required=True, help="the page that holds the tables")
    parser.add_argument("--check", action="store_true",
                        help="write nothing; exit with 1 if a row of the page is not as generated")
    options = parser.parse_args(arguments)
    try:
        return write_or_check(options)
    except (BadRecord, BadPage, OSError) as error:
        print(error, file=sys.stderr)
        return USAGE_ERROR


if __name__ == "__main__":
    sys.exit(main())
