"""Many plays: each in a process of its own, over all cores, and kept as they end."""

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
from embersill.lab.clock import BEGIN, Clock
from embersill.lab.scenario import build_scenario

Report = dict[str, Any]
BOOK = "plays.jsonl"


@dataclass(frozen=True, slots=True)
class Play:
    """A scenario played with one seed. `variant` names what it stands for among others that are compared."""

    variant: str
    told: dict[str, Any] = field(hash=False)  # the scenario, as its file says it
    seed: int
    version: str = ""  # root of the checkout whose decisions play; "": this one
    real: str = ""  # folder for the logs of real processes; "": virtual time

    def key(self, code: str) -> str:
        """The same for the same run; `code`: digest of all code that it depends on."""
        text = json.dumps([self.told, self.seed, code, bool(self.real)], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


def play_out(play: Play) -> Report:
    """One run, here. Where a gateway crashes, the run is void: its report says when and how."""
    return play_real(play) if play.real else play_virtual(play)


def void(play: Play, why: str, at: float | None = None, log: str = "") -> Report:
    return {"scenario": play.told.get("name"), "seed": play.seed, "void": why, "at": at, "log": log}


def play_real(play: Play) -> Report:
    from embersill.lab import real

    folder = pathlib.Path(play.real)
    folder.mkdir(parents=True)
    root = pathlib.Path(play.version).resolve() if play.version else None
    try:
        return real.play(build_scenario(play.told), play.seed, folder, root)
    except Exception as error:
        return void(play, repr(error), None, traceback.format_exc())


def play_virtual(play: Play) -> Report:
    clock = Clock(BEGIN)
    try:
        if play.version:
            versions.use(pathlib.Path(play.version))
        from embersill.lab.world import World  # loads the decisions, which have been chosen only now

        world = World(build_scenario(play.told), play.seed, clock)
        world.play()
    except Exception as error:
        return void(play, repr(error), round(clock.now - BEGIN, 6), traceback.format_exc())
    return world.report()


def work(play: Play, to: Connection) -> None:
    """The whole life of a play's process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # of a terminal it reaches all; the first process ends us
    began = time.monotonic()
    to.send((play_out(play), time.monotonic() - began))


class Book:
    """What has been played, by key. With a folder it is kept there, a line as each play ends.

    So what is stopped goes on where it was. A line that was torn by the stop is played again.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self.path = None if folder is None else folder / BOOK
        self.kept: dict[str, Report] = {}
        if self.path is not None:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            text = self.path.read_bytes() if self.path.exists() else b""
            self.kept = dict(self.read(text))
            if text and not text.endswith(b"\n"):
                self.append(b"")  # ends the torn line

    @staticmethod
    def read(text: bytes) -> Iterator[tuple[str, Report]]:
        for line in text.splitlines():
            try:
                key, report = msgspec.json.decode(line, type=tuple[str, dict[str, Any]])
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            yield key, report

    def add(self, key: str, report: Report) -> None:
        self.kept[key] = report
        self.append(json.dumps([key, report]).encode())

    def append(self, line: bytes) -> None:
        if self.path is not None:
            with self.path.open("ab") as file:
                file.write(line + b"\n")


def run_all(
    plays: Sequence[Play], book: Book, workers: int,
    told: Callable[[Play, Report, float], None] = lambda play, report, took: None,
) -> list[Report]:
    """The reports, in the order of the plays. `told` hears of each that was played now, with its seconds.

    A play whose process is ended from outside is void, and is not kept: it may go well another time. Real
    gateways are played one after the other, as they share this machine with their peers.
    """
    codes = {version: versions.digest(pathlib.Path(version) if version else None)
             for version in {play.version for play in plays}}
    keys = [play.key(codes[play.version]) for play in plays]
    todo = {key: play for key, play in zip(keys, plays, strict=True) if key not in book.kept}
    lost: dict[str, Report] = {}
    for key, play, report, took in played(todo, 1 if any(play.real for play in plays) else workers):
        if report is None:
            lost[key] = report = void(play, "its process was ended from outside")
        elif "void" in report and play.real:
            lost[key] = report  # real processes may do well another time
        else:
            book.add(key, report)
        told(play, report, took)
    return [book.kept[key] if key in book.kept else lost[key] for key in keys]


def played(todo: dict[str, Play], workers: int) -> Iterator[tuple[str, Play, Report | None, float]]:
    """Each as it ends, at most so many at a time; without a report where its process died."""
    context = multiprocessing.get_context("spawn")  # a new process each: the decisions are loaded once only
    left, running = list(todo), dict[Connection, tuple[str, Any]]()
    try:
        while left or running:
            while left and len(running) < workers:
                key = left.pop(0)
                ours, theirs = context.Pipe(duplex=False)
                child = context.Process(target=work, args=(todo[key], theirs), daemon=True)
                child.start()
                theirs.close()
                running[ours] = key, child
            for ready in wait(list(running)):
                assert isinstance(ready, Connection)
                key, child = running.pop(ready)
                try:
                    report, took = ready.recv()
                except EOFError:
                    report, took = None, 0.0
                ready.close()
                child.join()
                yield key, todo[key], report, took
    finally:
        for _, child in running.values():
            child.terminate()
            child.join()
