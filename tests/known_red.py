"""Tests that are known to fail for a fault that is not mended yet, as KNOWN-RED.txt lists them.

A line each: `tests/file.py::test | cause | issue`, three at the most. They run, and CI passes over their
failing and prints them; a line out of form, a test that is not there, and one that passes again fail the run.
"""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

import pytest

MOST = 3


def read_known(path: pathlib.Path) -> dict[str, str]:
    """Each listed test with its cause and issue; UsageError says what is wrong with the file."""
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MOST:
        raise pytest.UsageError(f"{path.name} has {len(lines)} lines, over {MOST}")
    known: dict[str, str] = {}
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or parts[0] in known:
            raise pytest.UsageError(f"{path.name}: not 'test | cause | issue', or listed twice: {line}")
        known[parts[0]] = f"{parts[1]} ({parts[2]})"
    return known


def mark(known: dict[str, str], items: Sequence[pytest.Item], whole: bool) -> None:
    """`whole`: all tests were collected, so that each that is listed has to be among them."""
    found = {item.nodeid: item for item in items}
    missing = known.keys() - found.keys()
    if whole and missing:
        raise pytest.UsageError(f"known to be red, but not there: {', '.join(sorted(missing))}")
    for name in known.keys() & found.keys():
        found[name].add_marker(pytest.mark.xfail(reason=known[name], strict=True))
