"""The command `scale` as a process: usage errors, interruption, and the end of all its processes."""

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

from embersill.lab.__main__ import make_parser
from embersill.lab.scale import aggregators
from embersill.lab.scale.axes import SMALL_AXES, SMALL_BASE, RunSettings, plan_plays
from embersill.lab.scale.command import BadScaleUse, check_resources, estimate_duration, run_command
from embersill.lab.scale.records import Record, read_record

ROOT = pathlib.Path(__file__).parent.parent
MARK = "EMBERSILL_TEST_MARK"  # environment variable that identifies the processes that a test started
STEP_TIMEOUT = 30.0  # seconds, for a step of a run
DESCRIPTORS = 64  # too few for any play


class Command:
    """A running command with all processes that it starts."""

    def __init__(self, *arguments: str, few_descriptors: bool = False, **environment: str) -> None:
        self.mark = uuid.uuid4().hex
        self.process = subprocess.Popen(
            [sys.executable, "-m", "embersill.lab", "scale", *arguments], cwd=ROOT, text=True,
            env={**os.environ, **environment, MARK: self.mark}, stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, preexec_fn=lower_descriptors if few_descriptors else None)

    def end(self) -> tuple[int, str, str]:
        """Waits for its end; returns the exit code, output and errors."""
        output, errors = self.process.communicate(timeout=2 * STEP_TIMEOUT)
        return self.process.returncode, output, errors

    def children(self) -> dict[int, str]:
        """The running processes that it started: command lines by process id."""
        found = {}
        for entry in pathlib.Path("/proc").iterdir():
            if not entry.name.isdecimal() or int(entry.name) == self.process.pid:
                continue
            try:
                if f"{MARK}={self.mark}".encode() in (entry / "environ").read_bytes().split(b"\0"):
                    found[int(entry.name)] = (entry / "cmdline").read_bytes().replace(b"\0", b" ").decode()
            except OSError:
                continue  # it has exited meanwhile
        return found

    def wait_until(self, done: Callable[[], bool]) -> None:
        """Waits for the condition; fails if the command ends before it or at the timeout."""
        end = time.monotonic() + STEP_TIMEOUT
        while not done():
            assert self.process.poll() is None, self.process.communicate()
            assert time.monotonic() < end
            time.sleep(0.02)

    def child(self, part: str) -> int:
        """Waits for a process with this text in its command line; returns its id."""
        self.wait_until(lambda: any(part in line for line in self.children().values()))
        return next(pid for pid, line in self.children().items() if part in line)

    def all_exited(self) -> bool:
        """Whether all processes that it started exit within 5 s."""
        end = time.monotonic() + 5.0
        while self.children() and time.monotonic() < end:
            time.sleep(0.02)
        return not self.children()


def lower_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


@pytest.fixture
def started() -> Iterator[list[Command]]:
    """The commands of a test; processes that still run at its end are killed by their ids."""
    commands: list[Command] = []
    yield commands
    for command in commands:
        for pid in (command.process.pid, *command.children()):
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        command.process.communicate()


def one_line(errors: str) -> str:
    """The error output, which must be a single line written by the command itself."""
    lines = errors.strip().splitlines()
    assert len(lines) == 1 and lines[0].startswith("embersill.lab: "), errors
    return lines[0]


@pytest.mark.parametrize("arguments", [
    ("--plays", "0"), ("--plays", "21"), ("--seconds", "0.5"), ("--seconds", "nan"), ("--processes", "0"),
    ("--processes", "65"), ("--real", "4"), ("--counter-parts", "0"), ("--counter-calls", "-1"),
    ("--gateway-calls", "0"), ("--gateway-burst", "1"), ("--resume",),
])
def test_invalid_argument_prints_one_line_and_exits_with_2(
    arguments: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    code = run_command(make_parser().parse_args(["scale", "--small", *arguments]))
    output, errors = capsys.readouterr()
    assert (code, output) == (2, "")
    assert arguments[0] in one_line(errors)


def test_unknown_axis_is_a_usage_error(started: list[Command]) -> None:
    started.append(Command("--axis", "height"))
    code, _, errors = started[0].end()
    assert code == 2
    assert "height" in errors


def test_existing_record_is_not_overwritten(tmp_path: pathlib.Path, started: list[Command]) -> None:
    (tmp_path / "record.json").write_text("{}")
    started.append(Command("--small", "--out", str(tmp_path)))
    code, _, errors = started[0].end()
    assert code == 2
    assert "--resume" in one_line(errors)
    assert (tmp_path / "record.json").read_text() == "{}"


def test_too_few_descriptors_are_reported_before_the_run_starts(started: list[Command]) -> None:
    started.append(Command("--small", "--axis", "gateways", few_descriptors=True))
    code, output, errors = started[0].end()
    assert (code, output) == (2, "")
    assert "descriptors" in one_line(errors) and str(DESCRIPTORS) in errors


def test_fleet_too_large_for_the_memory_is_rejected() -> None:
    plans = plan_plays(SMALL_AXES, RunSettings(1, 1.0, 1.0, 4, 0))
    check_resources(plans)
    huge = replace(plans[0], size=replace(plans[0].size, backends=10**9))
    with pytest.raises(BadScaleUse, match="GB"):
        check_resources([huge])


def test_too_many_processes_are_rejected() -> None:
    plan = plan_plays(SMALL_AXES, RunSettings(1, 1.0, 1.0, 4, 1))[0]
    with pytest.raises(BadScaleUse, match="301 processes"):
        check_resources([replace(plan, size=replace(plan.size, aggregators=291))])  # plus their list service


def test_small_run_is_expected_to_end_before_its_timeout() -> None:
    plans = plan_plays(SMALL_AXES, RunSettings(1, 1.5, 0.5, 4, 1))
    assert estimate_duration(plans, 100.0).timeout_seconds == 100.0
    assert estimate_duration(plans).expected_seconds < 100.0


def test_run_writes_its_record_and_checks_its_counts(tmp_path: pathlib.Path, started: list[Command]) -> None:
    started.append(Command(
        "--small", "--axis", "changes", "--counts-only", "--seconds", "1", "--processes", "1", "--out",
        str(tmp_path)))
    code, output, errors = started[0].end()
    assert code == 0, errors
    assert "0 bounds broken" in output
    assert re.match(r"2 plays, about .* ends after .* at the latest", output)
    record = read_record(tmp_path / "record.json")
    assert [(p.axis, p.value) for p in record.plays] == [("changes", 1.0), ("changes", 5.0)]
    assert started[0].all_exited()
    again = Command(
        "--small", "--axis", "changes", "--seconds", "1", "--processes", "1", "--out", str(tmp_path),
        "--resume")
    started.append(again)
    code, output, errors = again.end()
    assert code == 0, errors
    assert output.startswith("0 plays")
    assert read_record(tmp_path / "record.json").plays == record.plays


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_run_keeps_its_finished_plays(
    number: signal.Signals, tmp_path: pathlib.Path, started: list[Command]
) -> None:
    command = Command("--small", "--axis", "gateways", "--seconds", "1", "--out", str(tmp_path))
    started.append(command)
    record = tmp_path / "record.json"
    command.wait_until(lambda: record.exists() and len(read_complete(record).plays) == 1)
    command.child("scale.worker")  # of the second play
    command.process.send_signal(number)
    code, _, errors = command.end()
    assert code == 130, errors
    assert command.all_exited()
    assert len(read_record(record).plays) == 1
    assert str(tmp_path) in one_line(errors)


def read_complete(path: pathlib.Path) -> Record:
    """Reads the record after waiting for a write in progress to complete."""
    end = time.monotonic() + STEP_TIMEOUT
    while not path.read_bytes().endswith(b"\n"):
        assert time.monotonic() < end
        time.sleep(0.01)
    return read_record(path)


def test_no_process_is_left_after_the_command_is_killed(started: list[Command]) -> None:
    command = Command("--small", "--axis", "gateways")
    started.append(command)
    command.child("-m embersill ")  # real gateways are started last
    command.process.kill()
    command.process.wait(STEP_TIMEOUT)
    assert command.all_exited()


@pytest.mark.parametrize("part", ["scale.worker", "embersill.directory", "counter_process"])
def test_killed_child_ends_the_run_with_one_line(part: str, started: list[Command]) -> None:
    command = Command("--small", "--axis", "gateways", "--real", "0", "--seconds", "20")
    started.append(command)
    pid = command.child(part)
    os.kill(pid, signal.SIGKILL)
    code, _, errors = command.end()
    assert code in (1, 2)  # 2 while the play is starting
    one_line(errors)
    assert command.all_exited()


def test_gateway_that_does_not_start_prints_one_line_and_exits_with_2(started: list[Command]) -> None:
    command = Command("--small", "--axis", "gateways", EMBERSILL_RUN="echo no room here >&2; exit 3")
    started.append(command)
    code, _, errors = command.end()
    assert code == 2
    assert "gateway-0" in one_line(errors) and "no room here" in errors
    assert command.all_exited()


def test_aggregators_are_rejected_if_their_program_is_missing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(aggregators, "MODULE", "embersill.no_such_program")
    aggregators.check_aggregators(0)
    with pytest.raises(aggregators.AggregatorsUnavailable, match="no embersill.no_such_program here"):
        aggregators.check_aggregators(2)


def test_aggregators_share_the_capacity_of_the_counter() -> None:
    size = replace(SMALL_BASE, aggregators=4, counter_parts=2, counter_calls_per_second=500.0)
    assert aggregators.upstream_call_rate(size) == 250.0
    assert aggregators.upstream_call_rate(replace(size, counter_calls_per_second=0.0)) >= 1e6
