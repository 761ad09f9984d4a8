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
MOST_PROCESSES = 4  # of one gateway at a time: two in an upgrade, and two that have ended since
SUCCESSORS = "successors"  # in the memory: by console, as the process there may have ended since
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
    """A call at a gateway's console, or at that of its successor. Answered by what it tells, or Failed."""

    gateway: str
    line: str
    at: str = ""  # host:port, where it is not the fleet file's


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


@dataclass(frozen=True, slots=True)
class Word:
    """What one process of a gateway told, and where."""

    at: str
    told: Any


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

    def ask_on(self, *asks: tuple[str, str]) -> Rounds:
        """For each gateway and call the words of its processes: its own, then what it was handed over to.

        One that has ended is left out where its successor is known.
        """
        words: list[list[Word]] = [[] for _ in asks]
        places = {n: self.fleet.console(name) for n, (name, _) in enumerate(asks)}
        known = self.job.memory.get(SUCCESSORS, {})
        for _ in range(MOST_PROCESSES):
            calls = [Ask(asks[n][0], asks[n][1], at) for n, at in places.items()]
            told = yield from self.do(*calls)
            on = {}
            for (n, at), word in zip(places.items(), told, strict=True):
                gone = isinstance(word, Failed)
                if not gone:
                    known = self.keep_successor(known, at, word.get("successor"))
                if at in known and (not gone or word.refused):
                    on[n] = known[at]
                if not (gone and n in on):
                    words[n].append(Word(at, word))
            places = on
            if not places:
                break
        return words

    def keep_successor(self, known: dict[str, str], at: str, successor: str | None) -> dict[str, str]:
        """Kept at once, as the process that tells of it may be gone when it is asked again."""
        known = {console: to for console, to in known.items() if console != at}
        known |= {at: successor} if successor else {}
        if known:
            self.job.memory[SUCCESSORS] = known
        else:
            self.job.memory.pop(SUCCESSORS, None)
        return known

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
            (listed,) = yield from self.do(ReadList())
            pairs = [(g.name, id) for g in self.fleet.gateways for id in self.job.backends]
            told = yield from self.ask_on(*((name, f"OUT {id}") for name, id in pairs))
            marks = listed.marks if isinstance(listed, List) else {}
            self.check_marks(listed)
            open_ends = [
                f"{id} at {gateway}: {why}"
                for (gateway, id), words in zip(pairs, told, strict=True)
                for word in words
                if (why := self.still_open(id, word.told, GATEWAY + gateway in marks))
            ]
            if not open_ends:
                return self.job.say(f"{', '.join(self.job.backends)}: empty, by the word of all gateways")
            unheard = unheard + 1 if all(isinstance(w[-1].told, Failed) for w in told) else 0
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
        words, *told = yield from self.ask_on((name, "PHASE"), *((g, "PHASE") for g in others))
        word = words[-1].told
        if isinstance(word, Failed):
            listed = yield from self.read()
            same = last.get("mark") == listed.marks.get(mark, ("", 0))[1]
            if word.refused and same and last["phase"] == "empty":
                return self.job.say(f"{name} has ended already, with nothing open")
            raise Ended(Result.UNREACHABLE, f"{name} can't be asked: {word.why}")
        serving = [g for g, its in zip(others, told, strict=True) if any(is_ready(w.told) for w in its)]
        yield from self.mark_all([mark], lambda listed: self.guard_gateways(listed, serving, mark))
        if self.job.dry_run:
            return None
        yield from self.tell_to_end(name)
        if self.job.wait:
            yield from self.until_ended(name)
        return None

    def tell_to_end(self, name: str) -> Rounds:
        """Says it to the process that serves; one that was handed over meanwhile refuses."""
        for _ in range(TRIES):
            (words,) = yield from self.ask_on((name, "PHASE"))
            (word,) = yield from self.do(Ask(name, "DRAIN", words[-1].at))
            if not isinstance(word, Failed):
                return self.remember(name, Word(words[-1].at, word))
        raise Ended(Result.FAILED, f"{name} can't be told to end: {word.why}")

    def guard_gateways(self, listed: List, serving: list[str], mark: str) -> list[str]:
        return gateways_left(self.fleet.guards, [g for g in serving if GATEWAY + g not in listed.marks], [])

    def until_ended(self, name: str) -> Rounds:
        while True:
            (words,) = yield from self.ask_on((name, "PHASE"))
            if self.has_ended(name, words[-1], len(words) > 1):
                return self.job.say(f"{name} ends, with nothing open")
            yield from self.do(Pause(ROUND / 4))  # one console, and its last word is kept for some seconds

    def has_ended(self, name: str, word: Word, handed: bool) -> bool:
        """True with the last word of the last process; Ended where it is not the drain that goes on."""
        told, last = word.told, self.job.memory[name]
        if isinstance(told, Failed):
            if told.refused and not handed:
                raise Ended(Result.FAILED, f"{name} ended without its last word, when it was {tell(last)}")
            self.check_time([f"{name} can't be asked: {told.why}; it was {tell(last)}"])
            return False
        if told["phase"] == "serving" and word.at != last["at"]:
            raise Ended(Result.FAILED, f"{name} serves on: another process was started at {word.at}")
        if word.at == last["at"] and told["started"] != last["started"]:
            raise Ended(Result.FAILED, f"{name} was started again when it was {tell(last)}")
        if told["phase"] == "serving":
            raise Ended(Result.FAILED, f"{name} was undrained meanwhile")
        if word.at != last["at"] and handed:
            self.job.say(f"{name} was handed over to a successor, with its console at {word.at}")
        self.remember(name, word)
        if told["phase"] == "empty" and not handed:
            return True
        self.check_time([f"{name} is {tell(told)}"])
        self.job.say(f"waiting: {name} is {tell(told)}")
        return False

    def remember(self, name: str, word: Word) -> None:
        told = {key: word.told[key] for key in ("started", "phase", "open")}
        self.job.memory[name] = told | {"mark": self.versions[GATEWAY + name], "at": word.at}


class Undrain(Procedure):
    """The other way, also of a drain that is not done; what has ended has to be started by its own means."""

    def run(self) -> Rounds:
        listed = yield from self.read()
        for name in self.job.gateways:
            if self.job.dry_run:
                continue
            self.job.memory.pop(name, None)
            (words,) = yield from self.ask_on((name, "PHASE"))
            (word,) = yield from self.do(Ask(name, "SERVE", words[-1].at))
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


def tell(told: dict[str, Any]) -> str:
    return f"{told['phase']} with {told['open']} open"


def is_ready(told: Any) -> bool:
    return not isinstance(told, Failed) and bool(told["ready"])
