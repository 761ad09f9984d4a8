"""The laboratory's experiments: stored plays, comparisons of versions and settings, and the page."""

from __future__ import annotations

import pathlib
import shutil
import signal
import subprocess
import sys
import time
from typing import Any

import pytest

from embersill.lab import experiments, versions
from embersill.lab.experiments import Variant
from embersill.lab.figures import difference, figures
from embersill.lab.plays import PLAYS_FILE, PlayStore, Play, run_all
from embersill.lab.scenario import BadScenario, apply_setting
from tests.test_lab import play, run_lab, small_scenario
from tests.test_program import ROOT

TINY = ("--set", "fleet.gateways=3", "--set", "fleet.backends=4", "--set", "seconds=4")


def checkout(folder: pathlib.Path, old: str, new: str) -> pathlib.Path:
    """A checkout of this version with a change to its decisions."""
    (folder / "deploy").mkdir(parents=True)
    shutil.copy(ROOT / versions.DEPLOY, folder / "deploy")
    changed = 0
    for path in versions.policy_files(ROOT):
        text = (ROOT / path).read_text()
        (folder / path).parent.mkdir(exist_ok=True)
        (folder / path).write_text(text.replace(old, new))
        changed += old in text
    assert changed == 1
    return folder


@pytest.mark.parametrize(("setting", "keys", "value"), [
    ("fleet.gateways=20", ("fleet", "gateways"), 20),
    ("classes.view.work = 0.5", ("classes", 0, "work"), 0.5),
    ("plans.1.ceiling=0", ("plans", 1, "ceiling"), 0), ("net.jitter=0.1", ("net", "jitter"), 0.1),
    ("classes.view.scope=cell", ("classes", 0, "scope"), "cell"), ("pool.max_age=5", ("pool", "max_age"), 5),
])
def test_a_setting_is_changed_where_its_key_leads(setting: str, keys: tuple[Any, ...], value: Any) -> None:
    scenario = small_scenario()
    at = changed = apply_setting(scenario, setting)
    for step in keys:
        at = at[step]
    assert at == value and scenario == small_scenario() and changed != scenario


@pytest.mark.parametrize("setting", ["seconds", "=3", "classes.none.work=1", "plans.9.rate=1", "name.x=1"])
def test_a_key_without_a_place_is_reported(setting: str) -> None:
    with pytest.raises(BadScenario):
        apply_setting(small_scenario(), setting)


def test_reports_are_stored_and_an_incomplete_one_is_played_again(tmp_path: pathlib.Path) -> None:
    scenario, seen = small_scenario(seconds=3), list[int]()
    plays = [Play("a", scenario, seed) for seed in (1, 2, 3)]
    first = run_all(plays, PlayStore(tmp_path), 2, lambda play, report, seconds: seen.append(play.seed))
    assert sorted(seen) == [1, 2, 3] and first[1] == play(scenario, 2)
    plays_file = tmp_path / PLAYS_FILE
    lines = plays_file.read_bytes().splitlines(keepends=True)
    plays_file.write_bytes(lines[0] + lines[1] + lines[2][:40])  # as after a crash in the middle of a line
    seen.clear()
    assert run_all(
        plays, PlayStore(tmp_path), 2, lambda play, report, seconds: seen.append(play.seed)) == first
    assert len(seen) == 1
    assert len(PlayStore(tmp_path).reports) == 3
    # another scenario, another seed
    others = [Play("a", scenario | {"seconds": 2}, 1), Play("a", scenario, 4)]
    run_all(others, PlayStore(tmp_path), 2, lambda play, report, seconds: seen.append(play.seed))
    assert sorted(seen[1:]) == [1, 4]


def test_a_stopped_experiment_is_resumed(tmp_path: pathlib.Path) -> None:
    arguments = ["compare", "calm", "--set-b", "pool.max_age=1", "--seeds", "2", "--workers", "1", *TINY]
    plays_file = tmp_path / "out" / PLAYS_FILE
    process = subprocess.Popen(
        [sys.executable, "-m", "embersill.lab", *arguments, "--out", str(tmp_path / "out")],
        cwd=ROOT, text=True, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    until = time.monotonic() + 60.0
    while not (plays_file.exists() and plays_file.read_bytes().count(b"\n")) and time.monotonic() < until:
        time.sleep(0.01)
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 130 and "kept in" in errors and not (
        tmp_path / "out" / "result.json").exists()
    done = run_lab(*arguments, "--out", str(tmp_path / "out"))
    uninterrupted = run_lab(*arguments)
    assert done.returncode == uninterrupted.returncode == 0 and done.stdout == uninterrupted.stdout
    assert "plays were kept in" in done.stderr


def test_equal_decisions_compare_as_equal_and_worse_ones_as_less(tmp_path: pathlib.Path) -> None:
    same = checkout(tmp_path / "same", "return limit + LIMIT_INCREASE", "return  limit + LIMIT_INCREASE")
    worse = checkout(tmp_path / "worse", "return limit + LIMIT_INCREASE if", "return 0.5 if True or")
    scenario = small_scenario(seconds=6)
    variants = [Variant("here"), Variant("same", str(same)), Variant("worse", str(worse))]
    plays = experiments.plan_plays([scenario], variants, range(1, 7))
    reports = run_all(plays, PlayStore(), 4)
    [same_table] = experiments.comparison_tables(plays, reports, "here", "same")
    assert {row[-1] for row in same_table["rows"]} == {"same"}
    [worse_table] = experiments.comparison_tables(plays, reports, "here", "worse")
    verdicts = {row[0]: row[-1] for row in worse_table["rows"]}
    assert verdicts["served"] == "B less" and verdicts["refused"] == "B more"
    recorded = {"here": 0.7, "same": 0.7, "worse": 0.3, "unknown": 0.9}
    table, rho = experiments.ranking_table(plays, reports, recorded)
    assert table["rows"][-1][0] == "worse" and rho == pytest.approx(1.0)
    recorded = {"here": 0.1, "same": 0.1, "worse": 0.3}
    assert experiments.ranking_table(plays, reports, recorded)[1] == pytest.approx(-1.0)
    assert experiments.ranking_table(plays, reports, {"here": 1.0})[1] is None


def test_plays_of_a_version_that_crashes_are_void_and_leave_a_log(tmp_path: pathlib.Path) -> None:
    broken = checkout(tmp_path / "broken", "return limit + LIMIT_INCREASE if", "raise OSError(7) if True or")
    done = run_lab(
        "compare", "calm", "--b", str(broken), "--seeds", "2", "--out", str(tmp_path / "out"), *TINY)
    assert done.returncode == 1 and done.stderr.count("void at") == 2
    logs = sorted((tmp_path / "out").glob("void-*.log"))
    assert len(logs) == 2 and "OSError: 7" in logs[0].read_text()
    page = (tmp_path / "out" / "report.html").read_text()
    assert page.count("is void") == 2 and page.count("<svg") == 6  # the plots of the valid plays
    (tmp_path / "out" / "report.html").unlink()
    assert run_lab("report", str(tmp_path / "out")).returncode == 0
    assert (tmp_path / "out" / "report.html").read_text() == page


def test_a_sweep_has_a_line_for_each_combination() -> None:
    done = run_lab("sweep", "calm", "--over", "fleet.gateways=2,3", "--over", "load.inside=0.3,0.9",
                   "--seeds", "2", "--set", "fleet.backends=4", "--set", "seconds=4")
    lines = done.stdout.splitlines()
    assert done.returncode == 0 and len(lines) == 2 + 4
    assert [line.split()[:2] for line in lines[2:]] == [
        [f"fleet.gateways={n}", f"load.inside={load}"] for n in (2, 3) for load in (0.3, 0.9)]
    assert {line.split()[-1] for line in lines[2:]} == {"2"}


@pytest.mark.parametrize("arguments", [
    ("compare", "calm"), ("compare", "calm", "--b", "/none"), ("run", "calm", "--set", "odd=1"),
    ("run", "calm", "calm"), ("run", "calm", "--seeds", "0"), ("run", "calm", "--workers", "0"),
    ("sweep", "calm", "--over", "seconds"), ("sweep", "calm", "--over", "seconds=4,-4"),
    ("rank", "calm", "--version", "a=.", "--version", "a=."), ("report", "/none"),
    ("run", "calm", "--real", "--set", "fleet.gateways=65"), ("run", "split", "--real"),
])
def test_bad_use_is_reported_in_one_line_before_any_play(arguments: tuple[str, ...]) -> None:
    done = run_lab(*arguments)
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and not done.stdout, done.stderr


def test_differences_are_paired_and_few_pairs_give_no_verdict() -> None:
    a, b = [0.1, 0.5, 0.9, 0.2, 0.6, 0.8], [0.2, 0.6, 1.0, 0.3, 0.7, 0.9]
    assert difference(a, b).verdict == "B more" and difference(b, a).verdict == "B less"
    assert difference(a[:5], b[:5]).verdict == "undecided" and difference(a[:1], a[:1]).verdict == "undecided"
    assert difference(a, [*b[:5], 0.0]).verdict == "undecided" and difference(a, a).verdict == "same"
    result = difference(a, [x + d for x, d in zip(a, (0.1, 0.2, 0.3, 0.1, 0.2, 0.3), strict=True)])
    assert result.mean == pytest.approx(0.2) and 0.1 < result.low < 0.2 < result.high < 0.3
    with pytest.raises(ValueError):
        difference(a, b[1:])


def test_a_run_without_requests_has_figures() -> None:
    result = figures({
        "requests": 0, "attempts": {}, "served": None, "overrun": None, "ends": {}, "tries": 0,
        "latency_ms": {"p50": 0, "p99": 0}, "handshakes": 0, "counter": {}, "load_spread": None})
    assert result["p50"] == 0 and str(result["net"]) == "nan"


def test_a_ranking_names_its_versions_and_their_records(tmp_path: pathlib.Path) -> None:
    recorded = tmp_path / "record.toml"
    recorded.write_text("one = 0.5\n")
    done = run_lab("rank", "calm", "--version", f"one={ROOT}", "--version", f"two={ROOT}",
                   "--recorded", str(recorded), "--seeds", "2", *TINY)
    rows = [line.split() for line in done.stdout.splitlines()[2:]]
    assert done.returncode == 0 and {row[0] for row in rows} == {"one", "two"}, done.stderr
    assert {row[0]: row[-1] for row in rows}["one"] == "0.5"
    recorded.write_text("one = 'x'\n")
    assert run_lab("rank", "calm", "--version", ".", "--recorded", str(recorded)).returncode == 2
