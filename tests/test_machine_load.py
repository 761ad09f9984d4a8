"""The load of the machine beside the tests: how it is told, and that heavy tests do not come all at once."""

from __future__ import annotations

import pytest

from tests.machine_load import MachineLoad, describe_load, spread_evenly


def test_the_load_between_two_readings_is_told_in_shares() -> None:
    before = MachineLoad(at=10.0, ticks=1_000, idle_ticks=400, stolen_ticks=10, waited=3.0)
    after = MachineLoad(at=12.0, ticks=2_000, idle_ticks=600, stolen_ticks=60, waited=4.5)
    text = describe_load(before, after)
    assert text.startswith("2.00 s, cores busy 80%, stolen 5.0%, some process without a core 75% of the time")


def test_the_load_is_told_where_the_kernel_counts_no_waits() -> None:
    reading = MachineLoad(at=10.0, ticks=1_000, idle_ticks=400, stolen_ticks=10, waited=None)
    assert "without a core" not in describe_load(reading, reading)


@pytest.mark.parametrize(("few", "many", "merged"), [
    ("", "", ""),
    ("AB", "", "AB"),
    ("", "ab", "ab"),
    ("A", "abcd", "abAcd"),
    ("AB", "abcdef", "aAbcdBef"),
])
def test_heavy_tests_are_spread_over_the_run(few: str, many: str, merged: str) -> None:
    assert "".join(spread_evenly(few, many)) == merged
