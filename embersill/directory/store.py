"""The list in memory: entries, drains, generations, the history of changes, and the rules of writes.

The module does no I/O and gets the time as an argument. A generation is the number of a record, close to its
time in microseconds; it is also the version of the list, and of the instance that the record changed.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from embersill.directory.form import (
    Drain,
    Entry,
    InvalidFormat,
    Record,
    Registration,
    entry_to_json,
    record_from_json,
    record_to_json,
)

HISTORY_RECORDS = 4096  # enough for several replacements of 200 instances; well under 1 MB
MAX_FORMER_PROCESSES = 8  # per instance; a crash loop must not fill the record


class WriteRefused(Exception):
    """A write is refused and changes nothing; the message says why."""


class UnknownInstance(WriteRefused):
    """There is no instance with this id."""


class Conflict(WriteRefused):
    """The write expects another version, or comes from a process that does not hold the instance."""


class ConditionMissing(WriteRefused):
    """The write does not state which version it expects."""


@dataclass(frozen=True, slots=True)
class Condition:
    """What a write expects: the instance's version, or that there is no such instance."""

    version: int | None = None
    must_be_absent: bool = False
    list_version: int | None = None  # the version of the full list, if the write depends on it


@dataclass(frozen=True, slots=True)
class InstanceState:
    """The state of one id; without an entry, only an operator's drain remains of it."""

    version: int
    entry: Entry | None
    drain: Drain | None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """A write's result: the instance's state after it, and whether it changed anything."""

    state: InstanceState | None
    changed: bool
    created: bool = False


class Store:
    """The durable list, as replayed from the log; changed only by records, in the order of generations."""

    def __init__(self, history: int = HISTORY_RECORDS) -> None:
        self.max_history = history
        self.generation = 0
        self.states: dict[str, InstanceState] = {}
        self.history: list[Record] = []
        # The generation before the history's first record; None if the history is complete.
        self.history_start: int | None = None
        # Generations in the history that changed nothing for readers, and the last one that did.
        self.invisible_generations: set[int] = set()
        self.last_visible_generation = 0

    def apply(self, records: Iterable[Record]) -> None:
        """Applies records; InvalidFormat for one whose generation is not above the last."""
        for record in records:
            if record.generation <= self.generation:
                raise InvalidFormat(f"generation {record.generation} comes after {self.generation}")
            self.generation = record.generation
            self.history.append(record)
            before = self.states.get(record.id)
            if record.entry is None and (before is None or before.entry is None):
                self.invisible_generations.add(record.generation)
            else:
                self.last_visible_generation = record.generation
            if record.entry is not None or record.drain is not None:
                self.states[record.id] = InstanceState(record.generation, record.entry, record.drain)
            else:
                self.states.pop(record.id, None)
        if (
            len(self.history) > 2 * self.max_history
        ):  # trimmed by half, so that each record is moved at most once
            self.history_start = self.history[-self.max_history - 1].generation
            self.history = self.history[-self.max_history :]
            self.invisible_generations = {g for g in self.invisible_generations if g > self.history_start}

    # reading

    def entries(self) -> list[dict[str, Any]]:
        """The full list as gateways read it."""
        return [entry_to_json(id, s.entry, s.drain) for id, s in self.states.items() if s.entry is not None]

    def records_after(self, generation: int) -> list[Record] | None:
        """The records after this generation; None if this history does not hold it."""
        if generation == self.history_start:
            return list(self.history)
        position = bisect_left(self.history, generation, key=record_generation)
        if position == len(self.history) or self.history[position].generation != generation:
            return None
        return self.history[position + 1 :]

    def changes_after(self, generation: int) -> list[dict[str, Any]] | None:
        """The current entry of each id changed after this generation; None if the full list is needed."""
        records = self.records_after(generation)
        if records is None:
            return None
        last = {r.id: r for r in records if r.generation not in self.invisible_generations}
        return [entry_to_json(r.id, r.entry, r.drain) for r in last.values()]

    def has_changes_after(self, generation: int) -> bool:
        """Whether there is anything new for a reader at this generation."""
        return self.last_visible_generation > generation or self.records_after(generation) is None

    def was_known(self, id: str) -> bool:
        """Whether the id exists or occurs in the history."""
        return id in self.states or any(r.id == id for r in self.history)

    # the complete store, for a snapshot or a follower

    def to_json(self) -> dict[str, Any]:
        """The store as JSON; from_json restores it."""
        states = [Record(s.version, id, s.entry, s.drain) for id, s in self.states.items()]
        return {
            "generation": self.generation,
            "floor": self.history_start,
            "shown": self.last_visible_generation,
            "silent": sorted(self.invisible_generations),
            "history": [record_to_json(r) for r in self.history],
            "states": [record_to_json(r) for r in states],
        }

    @classmethod
    def from_json(cls, loaded: Any, history: int = HISTORY_RECORDS) -> Store:
        """A store from its JSON; InvalidFormat if it is not one."""
        store = cls(history)
        try:
            store.generation, store.history_start = int(loaded["generation"]), loaded["floor"]
            store.last_visible_generation, store.invisible_generations = (
                int(loaded["shown"]),
                set(loaded["silent"]),
            )
            store.history = [record_from_json(r) for r in loaded["history"]]
            records = [record_from_json(r) for r in loaded["states"]]
        except (KeyError, TypeError, ValueError) as error:
            raise InvalidFormat(f"not a list: {error!r}") from error
        store.states = {r.id: InstanceState(r.generation, r.entry, r.drain) for r in records}
        return store


def record_generation(record: Record) -> int:
    """The sort key of the history."""
    return record.generation


class Draft:
    """A batch of writes, each checked against the store and the writes before it, and their records.

    The store itself is not changed. A write raises WriteRefused if it is refused.
    """

    def __init__(self, store: Store, now_us: int) -> None:
        self.store, self.now_us = store, now_us
        self.records: list[Record] = []
        self.new_states: dict[str, InstanceState | None] = {}

    def current_state(self, id: str) -> InstanceState | None:
        """The state of an id after the writes so far."""
        return self.new_states[id] if id in self.new_states else self.store.states.get(id)

    def last_generation(self) -> int:
        """The list's generation after the writes so far."""
        return self.records[-1].generation if self.records else self.store.generation

    def add_record(self, id: str, entry: Entry | None, drain: Drain | None) -> InstanceState | None:
        """Adds a record; its generation is the time, or the last generation plus 1 if the clock is behind."""
        record = Record(max(self.last_generation() + 1, self.now_us), id, entry, drain)
        self.records.append(record)
        state = InstanceState(record.generation, entry, drain) if entry or drain else None
        self.new_states[id] = state
        return state

    def add_start_record(self) -> None:
        """Marks a leader's start: generations from here on belong to no other history."""
        self.add_record("", None, None)

    # the writes

    def register(self, id: str, registration: Registration, condition: Condition) -> WriteResult:
        """Creates an instance, updates it for its process, or hands it over to a newer process."""
        state = self.current_state(id)
        held = state.entry if state else None
        entry = registration.entry
        if held is not None and held.process == entry.process:
            started = entry.started_ms if registration.start_time_given else held.started_ms
            entry = replace(entry, started_ms=started, former_processes=held.former_processes)
            if entry == held:
                return WriteResult(state, False)
        elif held is not None:
            entry = self.replacing_entry(held, registration)
        check_condition(condition, state, held)
        drain = state.drain if state else None
        return WriteResult(self.add_record(id, entry, drain), True, held is None)

    def replacing_entry(self, held: Entry, registration: Registration) -> Entry:
        """The entry of a process that replaces the holder; its start time is made later than the holder's."""
        entry = registration.entry
        if entry.process in held.former_processes:
            raise Conflict(f"process {entry.process} was replaced by {held.process}")
        if registration.start_time_given and entry.started_ms <= held.started_ms:
            raise Conflict(f"process {held.process} holds this id and started later or as late")
        former = (held.process, *held.former_processes)[:MAX_FORMER_PROCESSES]
        return replace(entry, started_ms=max(entry.started_ms, held.started_ms + 1), former_processes=former)

    def require_holder(self, id: str, process: str) -> tuple[InstanceState, Entry]:
        """The state and the entry of an instance that this process holds."""
        state = self.current_state(id)
        if state is None or state.entry is None:
            raise UnknownInstance(f"{id} is not registered")
        if state.entry.process != process:
            raise Conflict(f"{id} is held by process {state.entry.process}")
        return state, state.entry

    def renew(self, id: str, process: str) -> WriteResult:
        """Checks that the process may renew its lease; adds no record."""
        return WriteResult(self.require_holder(id, process)[0], False)

    def set_lifecycle(self, id: str, process: str, lifecycle: str, condition: Condition) -> WriteResult:
        """Sets the lifecycle that the instance reports of itself."""
        state, entry = self.require_holder(id, process)
        if entry.lifecycle == lifecycle:
            return WriteResult(state, False)
        check_condition(condition, state, entry)
        return WriteResult(self.add_record(id, replace(entry, lifecycle=lifecycle), state.drain), True)

    def drain(self, id: str, by: str, reason: str, condition: Condition) -> WriteResult:
        """Sets an operator's drain; with If-None-Match also for an id that is not registered yet."""
        state = self.current_state(id)
        if state is None and not condition.must_be_absent:
            raise UnknownInstance(f"{id} is not registered")
        if (
            state is not None
            and state.drain is not None
            and (state.drain.by, state.drain.reason) == (by, reason)
        ):
            return WriteResult(state, False)
        if condition.list_version is not None and condition.list_version != self.last_generation():
            raise Conflict(f"the list is at {self.last_generation()}")
        check_condition(condition, state, state)
        entry = state.entry if state else None
        return WriteResult(self.add_record(id, entry, Drain(by, reason, self.now_us // 1000)), True)

    def require_known(self, id: str) -> InstanceState | None:
        """The state of an id; None for a removed one, as long as the history holds it."""
        state = self.current_state(id)
        if state is None and not self.store.was_known(id):
            raise UnknownInstance(f"{id} was never registered")
        return state

    def lift_drain(self, id: str, condition: Condition) -> WriteResult:
        """Lifts an operator's drain, if there is one."""
        state = self.require_known(id)
        if state is None or state.drain is None:
            return WriteResult(state, False)
        check_condition(condition, state, state)
        return WriteResult(self.add_record(id, state.entry, None), True)

    def remove(self, id: str, condition: Condition) -> WriteResult:
        """Removes an instance; an operator's drain of its id stays."""
        state = self.require_known(id)
        if state is None or state.entry is None:
            return WriteResult(state, False)
        check_condition(condition, state, state)
        return WriteResult(self.add_record(id, None, state.drain), True)

    def expire(self, id: str) -> WriteResult:
        """Removes an instance whose lease expired, whatever its version."""
        state = self.current_state(id)
        if state is None or state.entry is None:
            return WriteResult(state, False)
        return WriteResult(self.add_record(id, None, state.drain), True)


def check_condition(condition: Condition, state: InstanceState | None, held: object | None) -> None:
    """Raises Conflict or ConditionMissing unless the condition holds for the state.

    `held` is what must not exist if the condition says so: the entry, or the state with its drain.
    """
    if condition.must_be_absent:
        if held is not None:
            raise Conflict("this id is registered")
    elif condition.version is None:
        raise ConditionMissing("a write needs If-Match with the id's version, or If-None-Match: *")
    elif state is None or state.version != condition.version:
        raise Conflict(f"the version is {state.version if state else 'none'}")
