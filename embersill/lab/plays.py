"""Plays of scenarios: each runs in its own process, and its report is stored when it ends."""

from __future__ import annotations

import hashlib
import json
import multiprocessing
import pathlib
import signal
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from typing import Any

import msgspec

from embersill.lab import versions
from embersill.lab.clock import START_TIME, VirtualClock
from embersill.lab.scenario import build_scenario

Report = dict[str, Any]
PLAYS_FILE = "plays.jsonl"


@dataclass(frozen=True, slots=True)
class Play:
    """A scenario to be played with one seed, as part of the variant of that name."""

    variant: str
    scenario: dict[str, Any] = field(hash=False)  # the table of its file
    seed: int
    version: str = ""  # root of the checkout whose decisions are used; "": this one
    real_logs: str = ""  # folder for the logs of real processes; "": virtual time

    def key(self, code: str) -> str:
        """A key that is equal for equal runs; `code`: digest of all code that the run depends on."""
        text = json.dumps([self.scenario, self.seed, code, bool(self.real_logs)], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


def run_play(play: Play) -> Report:
    """Plays a run in this process. If a gateway crashes, the report is void and says when and why."""
    return run_real(play) if play.real_logs else run_virtual(play)


def void_report(play: Play, reason: str, at: float | None = None, log: str = "") -> Report:
    return {"scenario": play.scenario.get("name"), "seed": play.seed, "void": reason, "at": at, "log": log}


def run_real(play: Play) -> Report:
    from embersill.lab import real

    folder = pathlib.Path(play.real_logs)
    folder.mkdir(parents=True)
    root = pathlib.Path(play.version).resolve() if play.version else None
    try:
        return real.play(build_scenario(play.scenario), play.seed, folder, root)
    except Exception as error:
        return void_report(play, repr(error), None, traceback.format_exc())


def run_virtual(play: Play) -> Report:
    clock = VirtualClock(START_TIME)
    try:
        if play.version:
            versions.use_policy(pathlib.Path(play.version))
        from embersill.lab.world import World  # imports the decisions, so only after `use_policy`

        world = World(build_scenario(play.scenario), play.seed, clock)
        world.play()
    except Exception as error:
        return void_report(play, repr(error), round(clock.now - START_TIME, 6), traceback.format_exc())
    return world.report()


def worker_main(play: Play, to: Connection) -> None:
    """Main function of a play's process: sends its report and duration."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal sends it to all; the parent ends this process
    started_at = time.monotonic()
    to.send((run_play(play), time.monotonic() - started_at))


class PlayStore:
    """The reports of completed plays by key, stored in the folder, if any, with a line for each play.

    A stopped experiment can so be resumed. A play whose line is incomplete is played again.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self.path = None if folder is None else folder / PLAYS_FILE
        self.reports: dict[str, Report] = {}
        if self.path is not None:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            text = self.path.read_bytes() if self.path.exists() else b""
            self.reports = dict(self.read(text))
            if text and not text.endswith(b"\n"):
                self.append_line(b"")  # ends the incomplete line

    @staticmethod
    def read(text: bytes) -> Iterator[tuple[str, Report]]:
        for line in text.splitlines():
            try:
                key, report = msgspec.json.decode(line, type=tuple[str, dict[str, Any]])
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            yield key, report

    def add(self, key: str, report: Report) -> None:
        self.reports[key] = report
        self.append_line(json.dumps([key, report]).encode())

    def append_line(self, line: bytes) -> None:
        if self.path is not None:
            with self.path.open("ab") as file:
                file.write(line + b"\n")


def run_all(
    plays: Sequence[Play], store: PlayStore, workers: int,
    on_played: Callable[[Play, Report, float], None] = lambda play, report, seconds: None,
) -> list[Report]:
    """The reports in the order of the plays. `on_played` is called with each that was played now.

    A play whose process was ended from outside is void and not stored, as it may succeed another time. Plays
    with real gateways run one after the other, as these share the machine with their peers.
    """
    codes = {version: versions.code_digest(pathlib.Path(version) if version else None)
             for version in {play.version for play in plays}}
    keys = [play.key(codes[play.version]) for play in plays]
    missing = {key: play for key, play in zip(keys, plays, strict=True) if key not in store.reports}
    unsaved: dict[str, Report] = {}
    for key, play, report, seconds in run_in_processes(
            missing, 1 if any(play.real_logs for play in plays) else workers):
        if report is None:
            unsaved[key] = report = void_report(play, "its process was ended from outside")
        elif "void" in report and play.real_logs:
            unsaved[key] = report  # real processes may succeed another time
        else:
            store.add(key, report)
        on_played(play, report, seconds)
    return [store.reports[key] if key in store.reports else unsaved[key] for key in keys]


def run_in_processes(
    missing: dict[str, Play], workers: int
) -> Iterator[tuple[str, Play, Report | None, float]]:
    """Yields each play as it ends, with its seconds; without a report if its process was killed."""
    context = multiprocessing.get_context("spawn")  # a process can import the decisions only once
    remaining, running = list(missing), dict[Connection, tuple[str, Any]]()
    try:
        while remaining or running:
            while remaining and len(running) < workers:
                key = remaining.pop(0)
                receiver, sender = context.Pipe(duplex=False)
                child = context.Process(target=worker_main, args=(missing[key], sender), daemon=True)
                child.start()
                sender.close()
                running[receiver] = key, child
            for ready in wait(list(running)):
                assert isinstance(ready, Connection)
                key, child = running.pop(ready)
                try:
                    report, seconds = ready.recv()
                except EOFError:
                    report, seconds = None, 0.0
                ready.close()
                child.join()
                yield key, missing[key], report, seconds
    finally:
        for _, child in running.values():
            child.terminate()
            child.join()
