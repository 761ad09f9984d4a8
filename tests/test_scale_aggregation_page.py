"""The tables of docs/aggregation.md match their record, and the check reports each row that differs."""

from __future__ import annotations

import pathlib
from dataclasses import replace

import pytest

from embersill.lab.scale.aggregation_runs import (
    FAILOVER, FLEETS, PLAYS_PER_SIZE, WITHOUT_AGGREGATORS, WITH_AGGREGATORS, plan_all, plan_comparison,
    plan_failover,
)
from embersill.lab.scale.aggregation_tables import build_tables, check_page, main
from embersill.lab.scale.bounds import broken_bounds
from embersill.lab.scale.capacity import read_page_tables
from embersill.lab.scale.records import FORMAT_VERSION, Play, Record, read_record, write_record

ROOT = pathlib.Path(__file__).parent.parent
PAGE, RECORD = ROOT / "docs" / "aggregation.md", ROOT / "docs" / "capacity" / "aggregation.json"


def test_page_tables_match_the_record() -> None:
    assert check_page(RECORD, PAGE.read_text()) == []


def test_page_has_a_marker_for_each_table() -> None:
    assert set(read_page_tables(PAGE.read_text())) == set(build_tables(Record(FORMAT_VERSION, "", "", 1, ())))


def test_recorded_counts_stay_within_the_protocol_bounds() -> None:
    plays = read_record(RECORD).plays
    assert plays
    assert [str(broken) for play in plays for broken in broken_bounds(play)] == []


def synthetic_plays() -> list[Play]:
    """A synthetic play of each plan; the measures differ between plays."""
    return [
        Play(plan.axis, plan.value, plan.number, plan.seed, plan.size, plan.seconds,
             {"counter_calls_fleet": 10.0 * index}, {"machine_load": 1.0 + index})
        for index, plan in enumerate([*plan_all(FLEETS), *plan_failover()])]


@pytest.fixture
def site(tmp_path: pathlib.Path) -> tuple[pathlib.Path, pathlib.Path]:
    """The paths of a synthetic record and of a page generated from it."""
    record, page = tmp_path / "record.json", tmp_path / "page.md"
    write_record(record, Record(FORMAT_VERSION, "2026-12-02", "drawn", 1, tuple(synthetic_plays())))
    page.write_text("".join(f"<!-- table: {name} -->\n<!-- end -->\n" for name in build_tables(
        Record(FORMAT_VERSION, "", "", 1, ()))))
    assert main([str(record), "--page", str(page)]) == 0
    return record, page


def test_changed_digit_is_reported(
    site: tuple[pathlib.Path, pathlib.Path], capsys: pytest.CaptureFixture[str]
) -> None:
    record, page = site
    assert main([str(record), "--page", str(page), "--check"]) == 0
    page.write_text(page.read_text().replace("| 300 |", "| 301 |", 1))
    assert main([str(record), "--page", str(page), "--check"]) == 1
    assert "301" in capsys.readouterr().err


def test_tables_without_a_record_are_an_error(site: tuple[pathlib.Path, pathlib.Path]) -> None:
    record, page = site
    record.unlink()
    assert main([str(record), "--page", str(page), "--check"]) == 1


@pytest.mark.parametrize("fleet", FLEETS)
def test_plays_without_and_with_aggregators_share_seed_and_size(fleet: str) -> None:
    plans = plan_comparison(fleet)
    for number in range(PLAYS_PER_SIZE):
        same_number = [plan for plan in plans if plan.number == number]
        assert {plan.axis for plan in same_number} == {WITHOUT_AGGREGATORS, WITH_AGGREGATORS}
        assert len({plan.seed for plan in same_number}) == 1
        assert len({replace(plan.size, aggregators=0) for plan in same_number}) == 1
    assert len({plan.seed for plan in plans}) == PLAYS_PER_SIZE


def test_failover_kills_some_but_not_all_aggregators() -> None:
    for plan in plan_failover():
        assert plan.axis == FAILOVER
        assert 0 < plan.size.aggregators_killed < plan.size.aggregators
