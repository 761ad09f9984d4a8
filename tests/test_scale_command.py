"""The command `scale` as a process: bad use, an interrupted run, and that it leaves no process behind."""

from __future__ import annotations

import os
import pathlib
import re
import resource
import signal
import subprocess
import sys
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from embersill.lab.__main__ import parser
from embersill.lab.scale import aggregators
from embersill.lab.scale.axes import SMALL_AXES, SMALL_BASE, RunSettings, plan_plays
from embersill.lab.scale.command import BadScaleUse, check_resources, estimate_duration, run_command
from embersill.lab.scale.records import Record, read_record

ROOT = pathlib.Path(__file__).parent.parent
MARK = "EMBERSILL_TEST_MARK"  # environment variable by which a test knows the processes that it caused
WITHIN = 30.0  # seconds for a step of a run
DESCRIPTORS = 64  # too few for any play


class Command:
    """One start of the command, with all that it starts."""

    def __init__(self, *arguments: str, few_descriptors: bool = False, **environment: str) -> None:
        self.mark = uuid.uuid4().hex
        self.process = subprocess.Popen(
            [sys.executable, "-m", "embersill.lab", "scale", *arguments], cwd=ROOT, text=True,
            env={**os.environ, **environment, MARK: self.mark}, stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, preexec_fn=lower_descriptors if few_descriptors else None)

    def end(self) -> tuple[int, str, str]:
        """Exit code, output and errors, once it has ended."""
        output, errors = self.process.communicate(timeout=2 * WITHIN)
        return self.process.returncode, output, errors

    def children(self) -> dict[int, str]:
        """Live processes that it caused, with their command lines."""
        found = {}
        for entry in pathlib.Path("/proc").iterdir():
            if not entry.name.isdecimal() or int(entry.name) == self.process.pid:
                continue
            try:
                if f"{MARK}={self.mark}".encode() in (entry / "environ").read_bytes().split(b"\0"):
                    found[int(entry.name)] = (entry / "cmdline").read_bytes().replace(b"\0", b" ").decode()
            except OSError:
                continue  # it has ended meanwhile
        return found

    def until(self, done: Callable[[], bool]) -> None:
        end = time.monotonic() + WITHIN
        while not done():
            assert self.process.poll() is None, self.process.communicate()
            assert time.monotonic() < end
            time.sleep(0.02)

    def child(self, part: str) -> int:
        """The process with this in its command line, once it is there."""
        self.until(lambda: any(part in line for line in self.children().values()))
        return next(pid for pid, line in self.children().items() if part in line)

    def gone(self) -> bool:
        """Whether all it caused has ended, after a moment for the kernel to do it."""
        end = time.monotonic() + 5.0
        while self.children() and time.monotonic() < end:
            time.sleep(0.02)
        return not self.children()


def lower_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


@pytest.fixture
def started() -> Iterator[list[Command]]:
    """Commands of a test; what is left of them at its end is killed by its id."""
    made: list[Command] = []
    yield made
    for command in made:
        for pid in (command.process.pid, *command.children()):
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        command.process.communicate()


def one_line(errors: str) -> str:
    """The errors, which must be one line of the command's own."""
    lines = errors.strip().splitlines()
    assert len(lines) == 1 and lines[0].startswith("embersill.lab: "), errors
    return lines[0]


@pytest.mark.parametrize("arguments", [
    ("--plays", "0"), ("--plays", "21"), ("--seconds", "0.5"), ("--seconds", "nan"), ("--processes", "0"),
    ("--processes", "65"), ("--real", "4"), ("--counter-parts", "0"), ("--counter-calls", "-1"),
    ("--gateway-calls", "0"), ("--gateway-burst", "1"), ("--resume",),
])
def test_a_bad_argument_is_one_line_and_exit_2(
    arguments: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    code = run_command(parser().parse_args(["scale", "--small", *arguments]))
    output, errors = capsys.readouterr()
    assert (code, output) == (2, "")
    assert arguments[0] in one_line(errors)


def test_an_unknown_axis_is_bad_use(started: list[Command]) -> None:
    started.append(Command("--axis", "height"))
    code, _, errors = started[0].end()
    assert code == 2
    assert "height" in errors


def test_a_record_is_not_written_over(tmp_path: pathlib.Path, started: list[Command]) -> None:
    (tmp_path / "record.json").write_text("{}")
    started.append(Command("--small", "--out", str(tmp_path)))
    code, _, errors = started[0].end()
    assert code == 2
    assert "--resume" in one_line(errors)
    assert (tmp_path / "record.json").read_text() == "{}"


def test_too_few_descriptors_are_told_before_anything_starts(started: list[Command]) -> None:
    started.append(Command("--small", "--axis", "gateways", few_descriptors=True))
    code, output, errors = started[0].end()
    assert (code, output) == (2, "")
    assert "descriptors" in one_line(errors) and str(DESCRIPTORS) in errors


def test_a_fleet_too_large_for_the_memory_is_told() -> None:
    plans = plan_plays(SMALL_AXES, RunSettings(1, 1.0, 1.0, 4, 0))
    check_resources(plans)
    huge = replace(plans[0], size=replace(plans[0].size, backends=10**9))
    with pytest.raises(BadScaleUse, match="GB"):
        check_resources([huge])


def test_too_many_processes_are_told() -> None:
    plan = plan_plays(SMALL_AXES, RunSettings(1, 1.0, 1.0, 4, 1))[0]
    with pytest.raises(BadScaleUse, match="301 processes"):
        check_resources([replace(plan, size=replace(plan.size, aggregators=291))])  # and their list service


def test_the_small_run_ends_within_its_stated_time() -> None:
    plans = plan_plays(SMALL_AXES, RunSettings(1, 1.5, 0.5, 4, 1))
    assert estimate_duration(plans, 100.0).timeout_seconds == 100.0
    assert estimate_duration(plans).expected_seconds < 100.0


def test_a_run_keeps_its_record_and_judges_its_counts(tmp_path: pathlib.Path, started: list[Command]) -> None:
    started.append(Command(
        "--small", "--axis", "changes", "--counts-only", "--seconds", "1", "--processes", "1", "--out",
        str(tmp_path)))
    code, output, errors = started[0].end()
    assert code == 0, errors
    assert "0 bounds broken" in output
    assert re.match(r"2 plays, about .* ends after .* at the latest", output)
    record = read_record(tmp_path / "record.json")
    assert [(p.axis, p.value) for p in record.plays] == [("changes", 1.0), ("changes", 5.0)]
    assert started[0].gone()
    again = Command(
        "--small", "--axis", "changes", "--seconds", "1", "--processes", "1", "--out", str(tmp_path),
        "--resume")
    started.append(again)
    code, output, errors = again.end()
    assert code == 0, errors
    assert output.startswith("0 plays")
    assert read_record(tmp_path / "record.json").plays == record.plays


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_keeps_what_was_played(
    number: signal.Signals, tmp_path: pathlib.Path, started: list[Command]
) -> None:
    command = Command("--small", "--axis", "gateways", "--seconds", "1", "--out", str(tmp_path))
    started.append(command)
    record = tmp_path / "record.json"
    command.until(lambda: record.exists() and len(read_whole(record).plays) == 1)
    command.child("scale.worker")  # of the second play
    command.process.send_signal(number)
    code, _, errors = command.end()
    assert code == 130, errors
    assert command.gone()
    assert len(read_record(record).plays) == 1
    assert str(tmp_path) in one_line(errors)


def read_whole(path: pathlib.Path) -> Record:
    """The record, which may be being written just now."""
    end = time.monotonic() + WITHIN
    while not path.read_bytes().endswith(b"\n"):
        assert time.monotonic() < end
        time.sleep(0.01)
    return read_record(path)


def test_no_process_is_left_once_the_command_is_killed(started: list[Command]) -> None:
    command = Command("--small", "--axis", "gateways")
    started.append(command)
    command.child("-m embersill ")  # a real gateway is the last that is started
    command.process.kill()
    command.process.wait(WITHIN)
    assert command.gone()


@pytest.mark.parametrize("part", ["scale.worker", "embersill.directory", "counter_process"])
def test_a_killed_child_ends_the_run_in_one_line(part: str, started: list[Command]) -> None:
    command = Command("--small", "--axis", "gateways", "--real", "0", "--seconds", "20")
    started.append(command)
    pid = command.child(part)
    os.kill(pid, signal.SIGKILL)
    code, _, errors = command.end()
    assert code in (1, 2)  # 2 while the play is starting
    one_line(errors)
    assert command.gone()


def test_a_gateway_that_does_not_start_is_one_line_and_exit_2(started: list[Command]) -> None:
    command = Command("--small", "--axis", "gateways", EMBERSILL_RUN="echo no room here >&2; exit 3")
    started.append(command)
    code, _, errors = command.end()
    assert code == 2
    assert "gateway-0" in one_line(errors) and "no room here" in errors
    assert command.gone()


def test_aggregators_are_refused_where_their_program_is_not_there(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(aggregators, "MODULE", "embersill.no_such_program")
    aggregators.check_aggregators(0)
    with pytest.raises(aggregators.NoAggregators, match="no embersill.no_such_program here"):
        aggregators.check_aggregators(2)


def test_aggregators_share_the_counters_capacity() -> None:
    size = replace(SMALL_BASE, aggregators=4, counter_parts=2, counter_calls_per_second=500.0)
    assert aggregators.upstream_calls(size) == 250.0
    assert aggregators.upstream_calls(replace(size, counter_calls_per_second=0.0)) >= 1e6
