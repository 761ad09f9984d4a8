"""The procedures, free of I/O: each yields the calls of a round and is sent what came of them, with the time.

A procedure may be broken off anywhere and run again: every write in it can be repeated, and what was done is
read from the list. `memory` holds the one thing that is not there, the last word of gateways that have ended.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from embersill.ops.fleet import Fleet
from embersill.ops.guards import GATEWAY, List, backends_left, gateways_left

FIRST_ROUND, ROUND = 0.1, 1.0  # seconds between rounds, doubled: news take less, and 200 consoles are asked
TRIES = 5  # times that a list which changes under the guard is read again
GAVE_UP = 3  # rounds without any gateway's word after which there is no fleet to be reached


class Result(Enum):
    """How a procedure ended; the value is the exit code."""

    DONE = 0
    FAILED = 1
    BAD_USE = 2
    REFUSED = 3
    TIMED_OUT = 4
    UNREACHABLE = 5


class Ended(Exception):
    """The end of a procedure, and why."""

    def __init__(self, result: Result, *why: str) -> None:
        super().__init__("; ".join(why))
        self.result, self.why = result, list(why)


# calls, and what comes of them


@dataclass(frozen=True, slots=True)
class ReadList:
    """Answered by a List or Failed."""


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Requests a second that all gateways send on: a float, or None where nobody tells."""


@dataclass(frozen=True, slots=True)
class Mark:
    """Staff's drain, if the list is still at that generation. Answered by its version, Conflict or Failed."""

    id: str
    version: int | None
    generation: int


@dataclass(frozen=True, slots=True)
class Unmark:
    id: str
    version: int


@dataclass(frozen=True, slots=True)
class Ask:
    """A call at a gateway's console. Answered by what it tells, as a dict, or Failed."""

    gateway: str
    line: str


@dataclass(frozen=True, slots=True)
class Pause:
    seconds: float


@dataclass(frozen=True, slots=True)
class Conflict:
    why: str


@dataclass(frozen=True, slots=True)
class Failed:
    why: str
    refused: bool = False  # nothing listens there: the process is not running


Call = ReadList | ReadLoad | Mark | Unmark | Ask | Pause
Rounds = Generator[list[Call], tuple[float, list[Any]], Any]


@dataclass
class Job:
    """What is to be done, and on whose word."""

    fleet: Fleet
    backends: list[str]
    gateways: list[str]
    force: bool = False
    dry_run: bool = False
    wait: bool = True
    timeout: float = 60.0
    say: Callable[[str], None] = lambda text: None
    memory: dict[str, Any] = field(default_factory=dict)


class Procedure:
    """What all of them share: reading, marking under a guard, and the time."""

    def __init__(self, job: Job, now: float) -> None:
        self.job, self.fleet, self.now = job, job.fleet, now
        self.deadline: float | None = None  # counts from the first wait on, not what was read before it
        self.versions: dict[str, int] = {}  # of the marks

    def run(self) -> Rounds:
        raise NotImplementedError

    def do(self, *calls: Call) -> Rounds:
        self.now, results = yield list(calls)
        return results

    def read(self) -> Rounds:
        (listed,) = yield from self.do(ReadList())
        if isinstance(listed, Failed):
            raise Ended(Result.UNREACHABLE, f"the list service: {listed.why}")
        return listed

    def mark_all(self, ids: list[str], guard: Callable[[List], list[str]]) -> Rounds:
        """All of them, with the guard's word for the list as it is when the last is written."""
        for _ in range(TRIES):
            listed = yield from self.read()
            reasons = guard(listed)
            if reasons and not self.job.force:
                raise Ended(Result.REFUSED, *reasons)
            for reason in reasons:
                self.job.say(f"forced, though {reason}")
            if self.job.dry_run:
                return
            if (yield from self.mark_each(ids, listed)):
                return
        raise Ended(Result.REFUSED, "the list kept changing under the guard")

    def mark_each(self, ids: list[str], listed: List) -> Rounds:
        """False where the list has changed since it was read."""
        generation = listed.generation
        for id in ids:
            if id in listed.marks:
                by, self.versions[id] = listed.marks[id]
                self.job.say(f"{id} is marked already, by {by}")
                continue
            backend = listed.backends.get(id)
            (marked,) = yield from self.do(Mark(id, backend.version if backend else None, generation))
            if isinstance(marked, Conflict):
                self.job.say(f"{id}: {marked.why}; reading the list again")
                return False
            if isinstance(marked, Failed):
                raise Ended(Result.UNREACHABLE, f"{id} is not marked: {marked.why}")
            generation = self.versions[id] = marked
            self.job.say(f"{id} is marked, at generation {marked}")
        return True

    def check_time(self, open_ends: list[str]) -> None:
        if self.deadline is None:
            self.deadline = self.now + self.job.timeout
        if self.now >= self.deadline:
            raise Ended(Result.TIMED_OUT, *open_ends)


class Drain(Procedure):
    """Backends first, as gateways that have ended can't be asked about them; then gateways, one by one."""

    def run(self) -> Rounds:
        job = self.job
        if job.backends:
            (load,) = yield from self.do(ReadLoad())
            yield from self.mark_all(job.backends, lambda listed: self.guard_backends(listed, load))
            if job.wait and not job.dry_run:
                yield from self.empty()
        for name in job.gateways:
            yield from self.drain_gateway(name)

    def guard_backends(self, listed: List, load: float | None) -> list[str]:
        unknown = [id for id in self.job.backends if id not in listed.backends and id not in listed.marks]
        if unknown:
            raise Ended(Result.BAD_USE, f"not in the list: {', '.join(unknown)}")
        return backends_left(self.fleet.guards, listed, self.job.backends, load)

    # backends

    def empty(self) -> Rounds:
        """Until in one and the same round every gateway has been told and has nothing out."""
        unheard, pause = 0, FIRST_ROUND
        while True:
            pairs = [(g.name, id) for g in self.fleet.gateways for id in self.job.backends]
            listed, *told = yield from self.do(ReadList(), *(Ask(g, f"OUT {id}") for g, id in pairs))
            marks = listed.marks if isinstance(listed, List) else {}
            self.check_marks(listed)
            open_ends = [
                f"{id} at {gateway}: {why}"
                for (gateway, id), word in zip(pairs, told, strict=True)
                if (why := self.still_open(id, word, GATEWAY + gateway in marks))
            ]
            if not open_ends:
                return self.job.say(f"{', '.join(self.job.backends)}: empty, by the word of all gateways")
            unheard = unheard + 1 if all(isinstance(w, Failed) for w in told) else 0
            if unheard >= GAVE_UP:
                raise Ended(Result.UNREACHABLE, "no gateway can be asked", *open_ends)
            self.check_time(open_ends)
            self.job.say(f"waiting: {len(open_ends)} open, {open_ends[0]}")
            yield from self.do(Pause(pause))
            pause = min(2 * pause, ROUND)

    def check_marks(self, listed: List | Failed) -> None:
        """Ended where somebody has lifted a mark; a list that can't be read, or is older, tells nothing."""
        if isinstance(listed, Failed):
            return
        for id in self.job.backends:
            if id not in listed.marks and listed.generation > self.versions[id]:
                raise Ended(Result.FAILED, f"{id} was undrained meanwhile")

    def still_open(self, id: str, word: Any, ended: bool) -> str:
        """Why this gateway's word does not do yet, or nothing."""
        if isinstance(word, Failed):
            return "" if word.refused and ended else f"can't be asked: {word.why}"
        if word["list"] < self.versions[id]:
            return f"has an old list, {word['list']}"
        if word["state"] == "serving":
            return "has not taken it out"
        return f"{word['out']} out" if word["out"] else ""

    # gateways

    def drain_gateway(self, name: str) -> Rounds:
        mark, last = GATEWAY + name, self.job.memory.get(name, {})
        others = [g.name for g in self.fleet.gateways if g.name != name]
        word, *told = yield from self.do(Ask(name, "PHASE"), *(Ask(g, "PHASE") for g in others))
        if isinstance(word, Failed):
            listed = yield from self.read()
            same = last.get("mark") == listed.marks.get(mark, ("", 0))[1]
            if word.refused and same and last["phase"] == "empty":
                return self.job.say(f"{name} has ended already, with nothing open")
            raise Ended(Result.UNREACHABLE, f"{name} can't be asked: {word.why}")
        serving = [g for g, w in zip(others, told, strict=True) if not isinstance(w, Failed) and w["ready"]]
        yield from self.mark_all([mark], lambda listed: self.guard_gateways(listed, serving, mark))
        if self.job.dry_run:
            return None
        (word,) = yield from self.do(Ask(name, "DRAIN"))
        if isinstance(word, Failed):
            raise Ended(Result.FAILED, f"{name} can't be told to end: {word.why}")
        self.remember(name, word)
        if self.job.wait:
            yield from self.until_ended(name)
        return None

    def guard_gateways(self, listed: List, serving: list[str], mark: str) -> list[str]:
        return gateways_left(self.fleet.guards, [g for g in serving if GATEWAY + g not in listed.marks], [])

    def until_ended(self, name: str) -> Rounds:
        while True:
            (word,) = yield from self.do(Ask(name, "PHASE"))
            last = self.job.memory[name]
            if isinstance(word, Failed):
                if word.refused:
                    raise Ended(
                        Result.FAILED, f"{name} ended without its last word, when it was {words(last)}"
                    )
                self.check_time([f"{name} can't be asked: {word.why}; it was {words(last)}"])
            elif word["started"] != last["started"]:
                raise Ended(Result.FAILED, f"{name} was started again when it was {words(last)}")
            elif word["phase"] == "serving":
                raise Ended(Result.FAILED, f"{name} was undrained meanwhile")
            else:
                self.remember(name, word)
                if word["phase"] == "empty":
                    return self.job.say(f"{name} ends, with nothing open")
                self.check_time([f"{name} is {words(word)}"])
                self.job.say(f"waiting: {name} is {words(word)}")
            yield from self.do(Pause(ROUND / 4))  # one console, and its last word is kept for some seconds

    def remember(self, name: str, word: dict[str, Any]) -> None:
        word = {key: word[key] for key in ("started", "phase", "open")}
        self.job.memory[name] = word | {"mark": self.versions[GATEWAY + name]}


class Undrain(Procedure):
    """The other way, also of a drain that is not done; what has ended has to be started by its own means."""

    def run(self) -> Rounds:
        listed = yield from self.read()
        for name in self.job.gateways:
            if self.job.dry_run:
                continue
            self.job.memory.pop(name, None)
            (word,) = yield from self.do(Ask(name, "SERVE"))
            self.job.say(f"{name} {'does not serve: ' + word.why if isinstance(word, Failed) else 'serves'}")
        for id in (*self.job.backends, *(GATEWAY + name for name in self.job.gateways)):
            if id in listed.marks:
                yield from self.lift(id, listed.marks[id][1])
            elif id in listed.backends or id.startswith(GATEWAY):
                self.job.say(f"{id} is not marked")
            else:
                raise Ended(Result.BAD_USE, f"not in the list: {id}")

    def lift(self, id: str, version: int) -> Rounds:
        if self.job.dry_run:
            return self.job.say(f"{id} would be lifted")
        (lifted,) = yield from self.do(Unmark(id, version))
        if isinstance(lifted, Conflict):
            raise Ended(Result.FAILED, f"{id}: {lifted.why}; somebody else is at it")
        if isinstance(lifted, Failed):
            raise Ended(Result.UNREACHABLE, f"{id} stays marked: {lifted.why}")
        return self.job.say(f"{id} is no longer marked")


def words(word: dict[str, Any]) -> str:
    return f"{word['phase']} with {word['open']} open"
