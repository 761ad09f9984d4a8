"""Procedures that drain and undrain backends and gateways, without I/O of their own.

A procedure is a generator. It yields the calls of a round, which its caller performs concurrently, and is
sent the time (monotonic, in seconds) and the results in the same order.

A procedure can be interrupted at any point and run again: all its writes can be repeated, and progress is
read from the list. Only what the list does not hold is kept in `Job.saved_state`: the last answer of gateways
that have ended, and the consoles of gateways' successors.
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

# Seconds between rounds, doubled after each. A list change reaches the gateways sooner than the longest
# pause, and a round may query the consoles of 200 gateways.
MIN_ROUND_PAUSE, MAX_ROUND_PAUSE = 0.1, 1.0
MAX_TRIES = 5  # for a write that a concurrent change of the list or a hand-over of the gateway rejects
MAX_PROCESSES = 4  # of one gateway: two during an upgrade, and two that have ended since
SUCCESSORS_KEY = "successors"  # in the saved state: a successor's console by its predecessor's
MAX_UNANSWERED_ROUNDS = 3  # consecutive rounds without any gateway's answer before giving up


class Result(Enum):
    """The outcome of a procedure. The value is the exit code; the name, in lower case, is printed."""

    DONE = 0
    FAILED = 1
    BAD_USE = 2
    REFUSED = 3
    TIMED_OUT = 4
    UNREACHABLE = 5


class ProcedureEnded(Exception):
    """Ends a procedure with a result other than DONE, and gives the reasons."""

    def __init__(self, result: Result, *reasons: str) -> None:
        super().__init__("; ".join(reasons))
        self.result, self.reasons = result, list(reasons)


# calls, and their results


@dataclass(frozen=True, slots=True)
class ReadList:
    """Reads the list service's instances and drain marks. Result: InstanceList or CallFailed."""


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Measures the attempts per second of all gateways. Result: a float, or None if no gateway reports."""


@dataclass(frozen=True, slots=True)
class SetDrainMark:
    """Sets a drain mark if the list is still at `generation`.

    `version` is that of the instance, None if the list does not hold it. Result: the mark's version, Conflict
    or CallFailed.
    """

    id: str
    version: int | None
    generation: int


@dataclass(frozen=True, slots=True)
class ClearDrainMark:
    """Clears a drain mark if it still has `version`. Result: the service's answer, Conflict or CallFailed."""

    id: str
    version: int


@dataclass(frozen=True, slots=True)
class ConsoleCommand:
    """Sends a line to a console of a gateway. Result: the answer's fields, or CallFailed."""

    gateway: str
    line: str
    address: str = ""  # host:port; empty for the gateway's console in the fleet file


@dataclass(frozen=True, slots=True)
class Pause:
    """Waits. Result: None."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Conflict:
    """The list or the mark has changed since it was read."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without a usable answer."""

    reason: str
    connection_refused: bool = False  # nothing listens there: the process is not running


@dataclass(frozen=True, slots=True)
class ProcessAnswer:
    """The answer of one process of a gateway, and the address of its console."""

    address: str
    answer: Any  # the answer's fields, or CallFailed


Call = ReadList | ReadLoad | SetDrainMark | ClearDrainMark | ConsoleCommand | Pause
# Yields the calls of a round, is sent the time and the results, and returns the value of a step.
Rounds = Generator[list[Call], tuple[float, list[Any]], Any]


@dataclass
class Job:
    """What a procedure works on, its options, and where it reports progress and keeps state."""

    fleet: Fleet
    backends: list[str]
    gateways: list[str]
    force: bool = False
    dry_run: bool = False
    wait: bool = True
    timeout: float = 60.0  # seconds
    report: Callable[[str], None] = lambda text: None
    saved_state: dict[str, Any] = field(default_factory=dict)


class Procedure:
    """Common steps: reading the list, setting marks under a guard, querying consoles, the deadline.

    Raises ProcedureEnded from `run` when it cannot be completed.
    """

    def __init__(self, job: Job, now: float) -> None:
        self.job, self.fleet, self.now = job, job.fleet, now
        self.deadline: float | None = None  # set at the first wait: the reads before it do not count
        self.mark_versions: dict[str, int] = {}  # by the mark's id

    def run(self) -> Rounds:
        raise NotImplementedError

    def perform(self, *calls: Call) -> Rounds:
        """Performs the calls as one round and returns their results."""
        self.now, results = yield list(calls)
        return results

    def ask_processes(self, *commands: tuple[str, str]) -> Rounds:
        """Sends each (gateway, line) to all processes of that gateway; returns their answers for each.

        The process at the gateway's own console comes first, then those that it was handed over to. A process
        that has ended is left out if its successor is known.
        """
        answers: list[list[ProcessAnswer]] = [[] for _ in commands]
        addresses = {n: self.fleet.console_address(name) for n, (name, _) in enumerate(commands)}
        known = self.job.saved_state.get(SUCCESSORS_KEY, {})
        for _ in range(MAX_PROCESSES):
            calls = [ConsoleCommand(commands[n][0], commands[n][1], at) for n, at in addresses.items()]
            results = yield from self.perform(*calls)
            successors = {}
            for (n, at), answer in zip(addresses.items(), results, strict=True):
                failed = isinstance(answer, CallFailed)
                if not failed:
                    known = self.save_successor(known, at, answer.get("successor"))
                if at in known and (not failed or answer.connection_refused):
                    successors[n] = known[at]
                if not (failed and n in successors):
                    answers[n].append(ProcessAnswer(at, answer))
            addresses = successors
            if not addresses:
                break
        return answers

    def save_successor(self, known: dict[str, str], at: str, successor: str | None) -> dict[str, str]:
        """Updates the successor of the process at `at` in a copy of `known`, saves the copy and returns it.

        Saved at once: the process that names its successor may have ended when it is asked again.
        """
        known = {console: to for console, to in known.items() if console != at}
        known |= {at: successor} if successor else {}
        if known:
            self.job.saved_state[SUCCESSORS_KEY] = known
        else:
            self.job.saved_state.pop(SUCCESSORS_KEY, None)
        return known

    def read_list(self) -> Rounds:
        """Returns the InstanceList; raises ProcedureEnded if the list service does not answer."""
        (listed,) = yield from self.perform(ReadList())
        if isinstance(listed, CallFailed):
            raise ProcedureEnded(Result.UNREACHABLE, f"the list service: {listed.reason}")
        return listed

    def mark_with_guard(self, ids: list[str], guard: Callable[[InstanceList], list[str]]) -> Rounds:
        """Sets the drain marks of all ids. Raises ProcedureEnded on guard violations, unless forced.

        Each write depends on the list's generation, so the guard's answer still holds at the last write.
        """
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
        """Sets the marks that are not set yet; returns False if the list has changed since it was read."""
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

    def check_deadline(self, unfinished: list[str]) -> None:
        """Raises ProcedureEnded once the job's timeout has passed since the first check."""
        if self.deadline is None:
            self.deadline = self.now + self.job.timeout
        if self.now >= self.deadline:
            raise ProcedureEnded(Result.TIMED_OUT, *unfinished)


class Drain(Procedure):
    """Drains the backends, then the gateways one by one.

    Backends come first because a gateway that has ended cannot be asked about them.
    """

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
        """Returns the guard's violations; raises ProcedureEnded if a backend is not in the list."""
        unknown = [
            id for id in self.job.backends if id not in listed.backends and id not in listed.drain_marks
        ]
        if unknown:
            raise ProcedureEnded(Result.BAD_USE, f"not in the list: {', '.join(unknown)}")
        return backend_guard_violations(self.fleet.guards, listed, self.job.backends, load)

    # backends

    def wait_until_empty(self) -> Rounds:
        """Waits until all gateways answer, in the same round, that they have no attempts at the backends."""
        unanswered_rounds, pause = 0, MIN_ROUND_PAUSE
        while True:
            (listed,) = yield from self.perform(ReadList())
            pairs = [(g.name, id) for g in self.fleet.gateways for id in self.job.backends]
            answers = yield from self.ask_processes(*((name, f"OUT {id}") for name, id in pairs))
            marks = listed.drain_marks if isinstance(listed, InstanceList) else {}
            self.check_still_marked(listed)
            unfinished = [
                f"{id} at {gateway}: {reason}"
                for (gateway, id), processes in zip(pairs, answers, strict=True)
                for process in processes
                if (reason := self.why_not_empty(id, process.answer, GATEWAY_PREFIX + gateway in marks))
            ]
            if not unfinished:
                return self.job.report(f"{', '.join(self.job.backends)}: empty, by the word of all gateways")
            unanswered_rounds = (
                unanswered_rounds + 1 if all(isinstance(p[-1].answer, CallFailed) for p in answers) else 0
            )
            if unanswered_rounds >= MAX_UNANSWERED_ROUNDS:
                raise ProcedureEnded(Result.UNREACHABLE, "no gateway can be asked", *unfinished)
            self.check_deadline(unfinished)
            self.job.report(f"waiting: {len(unfinished)} open, {unfinished[0]}")
            yield from self.perform(Pause(pause))
            pause = min(2 * pause, MAX_ROUND_PAUSE)

    def check_still_marked(self, listed: InstanceList | CallFailed) -> None:
        """Raises ProcedureEnded if another operator has cleared a mark.

        A list that could not be read, or is older than the mark, shows nothing.
        """
        if isinstance(listed, CallFailed):
            return
        for id in self.job.backends:
            if id not in listed.drain_marks and listed.generation > self.mark_versions[id]:
                raise ProcedureEnded(Result.FAILED, f"{id} was undrained meanwhile")

    def why_not_empty(self, id: str, answer: Any, gateway_marked: bool) -> str:
        """Why this answer does not show that the gateway has stopped using the backend; empty if it does.

        A gateway that is not running counts as stopped only if it was drained: otherwise it may be starting,
        with an old list.
        """
        if isinstance(answer, CallFailed):
            return "" if answer.connection_refused and gateway_marked else f"can't be asked: {answer.reason}"
        if answer["list"] < self.mark_versions[id]:
            return f"has an old list, {answer['list']}"
        if answer["state"] == "serving":
            return "has not taken it out"
        return f"{answer['out']} out" if answer["out"] else ""

    # gateways

    def drain_gateway(self, name: str) -> Rounds:
        """Marks the gateway, sends it DRAIN and, if the job waits, waits until it ends.

        A gateway that is not running counts as drained if its last answer, saved under the present mark, was
        "empty".
        """
        mark, last = GATEWAY_PREFIX + name, self.job.saved_state.get(name, {})
        others = [g.name for g in self.fleet.gateways if g.name != name]
        processes, *of_others = yield from self.ask_processes(
            (name, "PHASE"), *((g, "PHASE") for g in others)
        )
        answer = processes[-1].answer
        if isinstance(answer, CallFailed):
            listed = yield from self.read_list()
            same_mark = last.get("mark") == listed.drain_marks.get(mark, ("", 0))[1]
            if answer.connection_refused and same_mark and last["phase"] == "empty":
                return self.job.report(f"{name} has ended already, with nothing open")
            raise ProcedureEnded(Result.UNREACHABLE, f"{name} can't be asked: {answer.reason}")
        ready = [g for g, its in zip(others, of_others, strict=True) if any(is_ready(p.answer) for p in its)]
        yield from self.mark_with_guard([mark], lambda listed: self.gateway_violations(listed, ready, mark))
        if self.job.dry_run:
            return None
        yield from self.send_drain(name)
        if self.job.wait:
            yield from self.wait_until_ended(name)
        return None

    def send_drain(self, name: str) -> Rounds:
        """Sends DRAIN to the process that serves; a process that was handed over meanwhile refuses it."""
        for _ in range(MAX_TRIES):
            (processes,) = yield from self.ask_processes((name, "PHASE"))
            (answer,) = yield from self.perform(ConsoleCommand(name, "DRAIN", processes[-1].address))
            if not isinstance(answer, CallFailed):
                return self.save_answer(name, ProcessAnswer(processes[-1].address, answer))
        raise ProcedureEnded(Result.FAILED, f"{name} can't be told to end: {answer.reason}")

    def gateway_violations(self, listed: InstanceList, ready: list[str], mark: str) -> list[str]:
        """Returns the guard's violations for draining one gateway, `ready` being the other ready ones."""
        return gateway_guard_violations(
            self.fleet.guards, [g for g in ready if GATEWAY_PREFIX + g not in listed.drain_marks], []
        )

    def wait_until_ended(self, name: str) -> Rounds:
        """Polls the gateway until its last process answers that it is empty."""
        while True:
            (processes,) = yield from self.ask_processes((name, "PHASE"))
            if self.has_ended(name, processes[-1], len(processes) > 1):
                return self.job.report(f"{name} ends, with nothing open")
            # Only one console is queried, and a process that ends still answers for a few seconds.
            yield from self.perform(Pause(MAX_ROUND_PAUSE / 4))

    def has_ended(self, name: str, process: ProcessAnswer, handed_over: bool) -> bool:
        """True if the only remaining process answers that it is empty; saves its answer.

        Raises ProcedureEnded if the gateway is no longer draining: crashed, restarted or undrained.
        `handed_over` is true while other processes of the gateway may be running.
        """
        answer, last = process.answer, self.job.saved_state[name]
        if isinstance(answer, CallFailed):
            if answer.connection_refused and not handed_over:
                raise ProcedureEnded(
                    Result.FAILED, f"{name} ended without its last word, when it was {describe_phase(last)}"
                )
            self.check_deadline([f"{name} can't be asked: {answer.reason}; it was {describe_phase(last)}"])
            return False
        if answer["phase"] == "serving" and process.address != last["at"]:
            raise ProcedureEnded(
                Result.FAILED, f"{name} serves on: another process was started at {process.address}"
            )
        if process.address == last["at"] and answer["started"] != last["started"]:
            raise ProcedureEnded(
                Result.FAILED, f"{name} was started again when it was {describe_phase(last)}"
            )
        if answer["phase"] == "serving":
            raise ProcedureEnded(Result.FAILED, f"{name} was undrained meanwhile")
        if process.address != last["at"] and handed_over:
            self.job.report(f"{name} was handed over to a successor, with its console at {process.address}")
        self.save_answer(name, process)
        if answer["phase"] == "empty" and not handed_over:
            return True
        self.check_deadline([f"{name} is {describe_phase(answer)}"])
        self.job.report(f"waiting: {name} is {describe_phase(answer)}")
        return False

    def save_answer(self, name: str, process: ProcessAnswer) -> None:
        """Saves a gateway's answer, to be found when the command is run again after the gateway has ended."""
        fields = {key: process.answer[key] for key in ("started", "phase", "open")}
        self.job.saved_state[name] = fields | {
            "mark": self.mark_versions[GATEWAY_PREFIX + name],
            "at": process.address,
        }


class Undrain(Procedure):
    """Returns backends and gateways to service, also while their drain is still going on.

    Does not start a gateway that has ended.
    """

    def run(self) -> Rounds:
        listed = yield from self.read_list()
        for name in self.job.gateways:
            if self.job.dry_run:
                continue
            self.job.saved_state.pop(name, None)
            (processes,) = yield from self.ask_processes((name, "PHASE"))
            (answer,) = yield from self.perform(ConsoleCommand(name, "SERVE", processes[-1].address))
            self.job.report(
                f"{name} {'does not serve: ' + answer.reason if isinstance(answer, CallFailed) else 'serves'}"
            )
        for id in (*self.job.backends, *(GATEWAY_PREFIX + name for name in self.job.gateways)):
            if id in listed.drain_marks:
                yield from self.clear_mark(id, listed.drain_marks[id][1])
            elif id in listed.backends or id.startswith(GATEWAY_PREFIX):
                self.job.report(f"{id} is not marked")
            else:
                raise ProcedureEnded(Result.BAD_USE, f"not in the list: {id}")

    def clear_mark(self, id: str, version: int) -> Rounds:
        """Clears a drain mark; raises ProcedureEnded if it has changed or the list service fails."""
        if self.job.dry_run:
            return self.job.report(f"{id} would be lifted")
        (cleared,) = yield from self.perform(ClearDrainMark(id, version))
        if isinstance(cleared, Conflict):
            raise ProcedureEnded(Result.FAILED, f"{id}: {cleared.reason}; somebody else is at it")
        if isinstance(cleared, CallFailed):
            raise ProcedureEnded(Result.UNREACHABLE, f"{id} stays marked: {cleared.reason}")
        return self.job.report(f"{id} is no longer marked")


def describe_phase(answer: dict[str, Any]) -> str:
    return f"{answer['phase']} with {answer['open']} open"


def is_ready(answer: Any) -> bool:
    return not isinstance(answer, CallFailed) and bool(answer["ready"])
