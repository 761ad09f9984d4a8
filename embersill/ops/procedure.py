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
from embersill.ops.guards import (
    GATEWAY_PREFIX,
    InstanceList,
    backend_guard_violations,
    gateway_guard_violations,
)

MIN_ROUND_PAUSE, MAX_ROUND_PAUSE = (
    0.1,
    1.0,
)  # seconds between rounds, doubled: news take less, and 200 consoles are asked
MAX_TRIES = 5  # times that a list which changes under the guard is read again
MAX_PROCESSES = 4  # of one gateway at a time: two in an upgrade, and two that have ended since
SUCCESSORS_KEY = "successors"  # in the memory: by console, as the process there may have ended since
MAX_UNANSWERED_ROUNDS = 3  # rounds without any gateway's word after which there is no fleet to be reached


class Result(Enum):
    """How a procedure ended; the value is the exit code."""

    DONE = 0
    FAILED = 1
    BAD_USE = 2
    REFUSED = 3
    TIMED_OUT = 4
    UNREACHABLE = 5


class ProcedureEnded(Exception):
    """The end of a procedure, and why."""

    def __init__(self, result: Result, *why: str) -> None:
        super().__init__("; ".join(why))
        self.result, self.reasons = result, list(why)


# calls, and what comes of them


@dataclass(frozen=True, slots=True)
class ReadList:
    """Answered by a List or Failed."""


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Requests a second that all gateways send on: a float, or None where nobody tells."""


@dataclass(frozen=True, slots=True)
class SetDrainMark:
    """Staff's drain, if the list is still at that generation. Answered by its version, Conflict or Failed."""

    id: str
    version: int | None
    generation: int


@dataclass(frozen=True, slots=True)
class ClearDrainMark:
    id: str
    version: int


@dataclass(frozen=True, slots=True)
class ConsoleCommand:
    """A call at a gateway's console, or at that of its successor. Answered by what it tells, or Failed."""

    gateway: str
    line: str
    address: str = ""  # host:port, where it is not the fleet file's


@dataclass(frozen=True, slots=True)
class Pause:
    seconds: float


@dataclass(frozen=True, slots=True)
class Conflict:
    reason: str


@dataclass(frozen=True, slots=True)
class CallFailed:
    reason: str
    connection_refused: bool = False  # nothing listens there: the process is not running


@dataclass(frozen=True, slots=True)
class ProcessAnswer:
    """What one process of a gateway told, and where."""

    address: str
    answer: Any


Call = ReadList | ReadLoad | SetDrainMark | ClearDrainMark | ConsoleCommand | Pause
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
    report: Callable[[str], None] = lambda text: None
    saved_state: dict[str, Any] = field(default_factory=dict)


class Procedure:
    """What all of them share: reading, marking under a guard, and the time."""

    def __init__(self, job: Job, now: float) -> None:
        self.job, self.fleet, self.now = job, job.fleet, now
        self.deadline: float | None = None  # counts from the first wait on, not what was read before it
        self.mark_versions: dict[str, int] = {}  # of the marks

    def run(self) -> Rounds:
        raise NotImplementedError

    def perform(self, *calls: Call) -> Rounds:
        self.now, results = yield list(calls)
        return results

    def ask_processes(self, *asks: tuple[str, str]) -> Rounds:
        """For each gateway and call the words of its processes: its own, then what it was handed over to.

        One that has ended is left out where its successor is known.
        """
        words: list[list[ProcessAnswer]] = [[] for _ in asks]
        places = {n: self.fleet.console_address(name) for n, (name, _) in enumerate(asks)}
        known = self.job.saved_state.get(SUCCESSORS_KEY, {})
        for _ in range(MAX_PROCESSES):
            calls = [ConsoleCommand(asks[n][0], asks[n][1], at) for n, at in places.items()]
            told = yield from self.perform(*calls)
            on = {}
            for (n, at), word in zip(places.items(), told, strict=True):
                gone = isinstance(word, CallFailed)
                if not gone:
                    known = self.save_successor(known, at, word.get("successor"))
                if at in known and (not gone or word.connection_refused):
                    on[n] = known[at]
                if not (gone and n in on):
                    words[n].append(ProcessAnswer(at, word))
            places = on
            if not places:
                break
        return words

    def save_successor(self, known: dict[str, str], at: str, successor: str | None) -> dict[str, str]:
        """Kept at once, as the process that tells of it may be gone when it is asked again."""
        known = {console: to for console, to in known.items() if console != at}
        known |= {at: successor} if successor else {}
        if known:
            self.job.saved_state[SUCCESSORS_KEY] = known
        else:
            self.job.saved_state.pop(SUCCESSORS_KEY, None)
        return known

    def read_list(self) -> Rounds:
        (listed,) = yield from self.perform(ReadList())
        if isinstance(listed, CallFailed):
            raise ProcedureEnded(Result.UNREACHABLE, f"the list service: {listed.reason}")
        return listed

    def mark_with_guard(self, ids: list[str], guard: Callable[[InstanceList], list[str]]) -> Rounds:
        """All of them, with the guard's word for the list as it is when the last is written."""
        for _ in range(MAX_TRIES):
            listed = yield from self.read_list()
            reasons = guard(listed)
            if reasons and not self.job.force:
                raise ProcedureEnded(Result.REFUSED, *reasons)
            for reason in reasons:
                self.job.report(f"forced, though {reason}")
            if self.job.dry_run:
                return
            if (yield from self.mark_at_generation(ids, listed)):
                return
        raise ProcedureEnded(Result.REFUSED, "the list kept changing under the guard")

    def mark_at_generation(self, ids: list[str], listed: InstanceList) -> Rounds:
        """False where the list has changed since it was read."""
        generation = listed.generation
        for id in ids:
            if id in listed.drain_marks:
                by, self.mark_versions[id] = listed.drain_marks[id]
                self.job.report(f"{id} is marked already, by {by}")
                continue
            backend = listed.backends.get(id)
            (marked,) = yield from self.perform(
                SetDrainMark(id, backend.version if backend else None, generation)
            )
            if isinstance(marked, Conflict):
                self.job.report(f"{id}: {marked.reason}; reading the list again")
                return False
            if isinstance(marked, CallFailed):
                raise ProcedureEnded(Result.UNREACHABLE, f"{id} is not marked: {marked.reason}")
            generation = self.mark_versions[id] = marked
            self.job.report(f"{id} is marked, at generation {marked}")
        return True

    def check_deadline(self, open_ends: list[str]) -> None:
        if self.deadline is None:
            self.deadline = self.now + self.job.timeout
        if self.now >= self.deadline:
            raise ProcedureEnded(Result.TIMED_OUT, *open_ends)


class Drain(Procedure):
    """Backends first, as gateways that have ended can't be asked about them; then gateways, one by one."""

    def run(self) -> Rounds:
        job = self.job
        if job.backends:
            (load,) = yield from self.perform(ReadLoad())
            yield from self.mark_with_guard(
                job.backends, lambda listed: self.backend_violations(listed, load)
            )
            if job.wait and not job.dry_run:
                yield from self.wait_until_empty()
        for name in job.gateways:
            yield from self.drain_gateway(name)

    def backend_violations(self, listed: InstanceList, load: float | None) -> list[str]:
        unknown = [
            id for id in self.job.backends if id not in listed.backends and id not in listed.drain_marks
        ]
        if unknown:
            raise ProcedureEnded(Result.BAD_USE, f"not in the list: {', '.join(unknown)}")
        return backend_guard_violations(self.fleet.guards, listed, self.job.backends, load)

    # backends

    def wait_until_empty(self) -> Rounds:
        """Until in one and the same round every gateway has been told and has nothing out."""
        unheard, pause = 0, MIN_ROUND_PAUSE
        while True:
            (listed,) = yield from self.perform(ReadList())
            pairs = [(g.name, id) for g in self.fleet.gateways for id in self.job.backends]
            told = yield from self.ask_processes(*((name, f"OUT {id}") for name, id in pairs))
            marks = listed.drain_marks if isinstance(listed, InstanceList) else {}
            self.check_still_marked(listed)
            open_ends = [
                f"{id} at {gateway}: {why}"
                for (gateway, id), words in zip(pairs, told, strict=True)
                for word in words
                if (why := self.why_not_empty(id, word.answer, GATEWAY_PREFIX + gateway in marks))
            ]
            if not open_ends:
                return self.job.report(f"{', '.join(self.job.backends)}: empty, by the word of all gateways")
            unheard = unheard + 1 if all(isinstance(w[-1].answer, CallFailed) for w in told) else 0
            if unheard >= MAX_UNANSWERED_ROUNDS:
                raise ProcedureEnded(Result.UNREACHABLE, "no gateway can be asked", *open_ends)
            self.check_deadline(open_ends)
            self.job.report(f"waiting: {len(open_ends)} open, {open_ends[0]}")
            yield from self.perform(Pause(pause))
            pause = min(2 * pause, MAX_ROUND_PAUSE)

    def check_still_marked(self, listed: InstanceList | CallFailed) -> None:
        """Ended where somebody has lifted a mark; a list that can't be read, or is older, tells nothing."""
        if isinstance(listed, CallFailed):
            return
        for id in self.job.backends:
            if id not in listed.drain_marks and listed.generation > self.mark_versions[id]:
                raise ProcedureEnded(Result.FAILED, f"{id} was undrained meanwhile")

    def why_not_empty(self, id: str, word: Any, ended: bool) -> str:
        """Why this gateway's word does not do yet, or nothing."""
        if isinstance(word, CallFailed):
            return "" if word.connection_refused and ended else f"can't be asked: {word.reason}"
        if word["list"] < self.mark_versions[id]:
            return f"has an old list, {word['list']}"
        if word["state"] == "serving":
            return "has not taken it out"
        return f"{word['out']} out" if word["out"] else ""

    # gateways

    def drain_gateway(self, name: str) -> Rounds:
        mark, last = GATEWAY_PREFIX + name, self.job.saved_state.get(name, {})
        others = [g.name for g in self.fleet.gateways if g.name != name]
        words, *told = yield from self.ask_processes((name, "PHASE"), *((g, "PHASE") for g in others))
        word = words[-1].answer
        if isinstance(word, CallFailed):
            listed = yield from self.read_list()
            same = last.get("mark") == listed.drain_marks.get(mark, ("", 0))[1]
            if word.connection_refused and same and last["phase"] == "empty":
                return self.job.report(f"{name} has ended already, with nothing open")
            raise ProcedureEnded(Result.UNREACHABLE, f"{name} can't be asked: {word.reason}")
        serving = [g for g, its in zip(others, told, strict=True) if any(is_ready(w.answer) for w in its)]
        yield from self.mark_with_guard([mark], lambda listed: self.gateway_violations(listed, serving, mark))
        if self.job.dry_run:
            return None
        yield from self.send_drain(name)
        if self.job.wait:
            yield from self.wait_until_ended(name)
        return None

    def send_drain(self, name: str) -> Rounds:
        """Says it to the process that serves; one that was handed over meanwhile refuses."""
        for _ in range(MAX_TRIES):
            (words,) = yield from self.ask_processes((name, "PHASE"))
            (word,) = yield from self.perform(ConsoleCommand(name, "DRAIN", words[-1].address))
            if not isinstance(word, CallFailed):
                return self.save_answer(name, ProcessAnswer(words[-1].address, word))
        raise ProcedureEnded(Result.FAILED, f"{name} can't be told to end: {word.reason}")

    def gateway_violations(self, listed: InstanceList, serving: list[str], mark: str) -> list[str]:
        return gateway_guard_violations(
            self.fleet.guards, [g for g in serving if GATEWAY_PREFIX + g not in listed.drain_marks], []
        )

    def wait_until_ended(self, name: str) -> Rounds:
        while True:
            (words,) = yield from self.ask_processes((name, "PHASE"))
            if self.has_ended(name, words[-1], len(words) > 1):
                return self.job.report(f"{name} ends, with nothing open")
            yield from self.perform(
                Pause(MAX_ROUND_PAUSE / 4)
            )  # one console, and its last word is kept for some seconds

    def has_ended(self, name: str, word: ProcessAnswer, handed: bool) -> bool:
        """True with the last word of the last process; Ended where it is not the drain that goes on."""
        told, last = word.answer, self.job.saved_state[name]
        if isinstance(told, CallFailed):
            if told.connection_refused and not handed:
                raise ProcedureEnded(
                    Result.FAILED, f"{name} ended without its last word, when it was {describe_phase(last)}"
                )
            self.check_deadline([f"{name} can't be asked: {told.reason}; it was {describe_phase(last)}"])
            return False
        if told["phase"] == "serving" and word.address != last["at"]:
            raise ProcedureEnded(
                Result.FAILED, f"{name} serves on: another process was started at {word.address}"
            )
        if word.address == last["at"] and told["started"] != last["started"]:
            raise ProcedureEnded(
                Result.FAILED, f"{name} was started again when it was {describe_phase(last)}"
            )
        if told["phase"] == "serving":
            raise ProcedureEnded(Result.FAILED, f"{name} was undrained meanwhile")
        if word.address != last["at"] and handed:
            self.job.report(f"{name} was handed over to a successor, with its console at {word.address}")
        self.save_answer(name, word)
        if told["phase"] == "empty" and not handed:
            return True
        self.check_deadline([f"{name} is {describe_phase(told)}"])
        self.job.report(f"waiting: {name} is {describe_phase(told)}")
        return False

    def save_answer(self, name: str, word: ProcessAnswer) -> None:
        told = {key: word.answer[key] for key in ("started", "phase", "open")}
        self.job.saved_state[name] = told | {
            "mark": self.mark_versions[GATEWAY_PREFIX + name],
            "at": word.address,
        }


class Undrain(Procedure):
    """The other way, also of a drain that is not done; what has ended has to be started by its own means."""

    def run(self) -> Rounds:
        listed = yield from self.read_list()
        for name in self.job.gateways:
            if self.job.dry_run:
                continue
            self.job.saved_state.pop(name, None)
            (words,) = yield from self.ask_processes((name, "PHASE"))
            (word,) = yield from self.perform(ConsoleCommand(name, "SERVE", words[-1].address))
            self.job.report(
                f"{name} {'does not serve: ' + word.reason if isinstance(word, CallFailed) else 'serves'}"
            )
        for id in (*self.job.backends, *(GATEWAY_PREFIX + name for name in self.job.gateways)):
            if id in listed.drain_marks:
                yield from self.clear_mark(id, listed.drain_marks[id][1])
            elif id in listed.backends or id.startswith(GATEWAY_PREFIX):
                self.job.report(f"{id} is not marked")
            else:
                raise ProcedureEnded(Result.BAD_USE, f"not in the list: {id}")

    def clear_mark(self, id: str, version: int) -> Rounds:
        if self.job.dry_run:
            return self.job.report(f"{id} would be lifted")
        (lifted,) = yield from self.perform(ClearDrainMark(id, version))
        if isinstance(lifted, Conflict):
            raise ProcedureEnded(Result.FAILED, f"{id}: {lifted.reason}; somebody else is at it")
        if isinstance(lifted, CallFailed):
            raise ProcedureEnded(Result.UNREACHABLE, f"{id} stays marked: {lifted.reason}")
        return self.job.report(f"{id} is no longer marked")


def describe_phase(told: dict[str, Any]) -> str:
    return f"{told['phase']} with {told['open']} open"


def is_ready(told: Any) -> bool:
    return not isinstance(told, CallFailed) and bool(told["ready"])
