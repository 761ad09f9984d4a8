"""The list itself: entries, drains, generations and the history of changes. Free of I/O; the time is told."""

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

HISTORY_RECORDS = 4096  # changes kept: some replacements of 200 instances, and well under a MB
MAX_FORMER_PROCESSES = 8  # replaced processes remembered of one id: a crash loop must not fill the record


class WriteRefused(Exception):
    """A write that changes nothing."""


class UnknownInstance(WriteRefused):
    """There is no such id."""


class Conflict(WriteRefused):
    """The write rests on a version that is no longer the id's, or comes from a process that lost it."""


class ConditionMissing(WriteRefused):
    """The write does not say which version it rests on."""


@dataclass(frozen=True, slots=True)
class Condition:
    """What a write rests on: the id's version, or that there is no such instance."""

    version: int | None = None
    must_be_absent: bool = False
    list_version: int | None = (
        None  # the version of the whole list that the write was decided on, if it matters
    )


@dataclass(frozen=True, slots=True)
class InstanceState:
    """What is held of one id; without an entry only staff's drain is left of it."""

    version: int
    entry: Entry | None
    drain: Drain | None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """A write's outcome: the id's state after it, and whether it changed anything."""

    state: InstanceState | None
    changed: bool
    created: bool = False


class Store:
    """What is durable, as replayed from the log; changed by records alone, in the order of their numbers."""

    def __init__(self, history: int = HISTORY_RECORDS) -> None:
        self.max_history = history
        self.generation = 0
        self.states: dict[str, InstanceState] = {}
        self.history: list[Record] = []
        self.history_start: int | None = (
            None  # the generation before the history's first; None: nothing came before
        )
        self.invisible_generations: set[int] = (
            set()
        )  # generations in the history that changed nothing for readers
        self.last_visible_generation = 0  # the last that did

    def apply(self, records: Iterable[Record]) -> None:
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
        if len(self.history) > 2 * self.max_history:  # in halves, so that each record is moved once at most
            self.history_start = self.history[-self.max_history - 1].generation
            self.history = self.history[-self.max_history :]
            self.invisible_generations = {g for g in self.invisible_generations if g > self.history_start}

    # what readers are told

    def entries(self) -> list[dict[str, Any]]:
        return [entry_to_json(id, s.entry, s.drain) for id, s in self.states.items() if s.entry is not None]

    def records_after(self, generation: int) -> list[Record] | None:
        """The records after that one; None where this history does not hold it."""
        if generation == self.history_start:
            return list(self.history)
        place = bisect_left(self.history, generation, key=record_generation)
        if place == len(self.history) or self.history[place].generation != generation:
            return None
        return self.history[place + 1 :]

    def changes_after(self, generation: int) -> list[dict[str, Any]] | None:
        """What has become of each id that changed after that version; None: the whole list is needed."""
        records = self.records_after(generation)
        if records is None:
            return None
        last = {r.id: r for r in records if r.generation not in self.invisible_generations}
        return [entry_to_json(r.id, r.entry, r.drain) for r in last.values()]

    def has_news(self, generation: int) -> bool:
        """Whether a reader at this version has anything to be told."""
        return self.last_visible_generation > generation or self.records_after(generation) is None

    def was_known(self, id: str) -> bool:
        return id in self.states or any(r.id == id for r in self.history)

    # the whole of it, for a snapshot or a follower

    def to_json(self) -> dict[str, Any]:
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
            raise InvalidFormat(f"no list: {error!r}") from error
        store.states = {r.id: InstanceState(r.generation, r.entry, r.drain) for r in records}
        return store


def record_generation(record: Record) -> int:
    return record.generation


class Draft:
    """Writes checked one after the other on top of a store, and the records that they come to."""

    def __init__(self, store: Store, now_us: int) -> None:
        self.store, self.now_us = store, now_us
        self.records: list[Record] = []
        self.changed: dict[str, InstanceState | None] = {}

    def current_state(self, id: str) -> InstanceState | None:
        return self.changed[id] if id in self.changed else self.store.states.get(id)

    def last_generation(self) -> int:
        return self.records[-1].generation if self.records else self.store.generation

    def add_record(self, id: str, entry: Entry | None, drain: Drain | None) -> InstanceState | None:
        """One more record: its number is the time, or one more than the last where the clock is behind."""
        record = Record(max(self.last_generation() + 1, self.now_us), id, entry, drain)
        self.records.append(record)
        state = InstanceState(record.generation, entry, drain) if entry or drain else None
        self.changed[id] = state
        return state

    def add_start_record(self) -> None:
        """A leader begins: from here on its numbers are no other history's."""
        self.add_record("", None, None)

    # the writes

    def register(self, id: str, told: Registration, condition: Condition) -> WriteResult:
        state = self.current_state(id)
        held = state.entry if state else None
        entry = told.entry
        if held is not None and held.process == entry.process:
            started = entry.started_ms if told.start_time_given else held.started_ms
            entry = replace(entry, started_ms=started, former_processes=held.former_processes)
            if entry == held:
                return WriteResult(state, False)
        elif held is not None:
            entry = self.replacing_entry(held, told)
        check_condition(condition, state, held)
        drain = state.drain if state else None
        return WriteResult(self.add_record(id, entry, drain), True, held is None)

    def replacing_entry(self, held: Entry, told: Registration) -> Entry:
        """The entry of a process that takes another's place: it started later, whatever the clock says."""
        entry = told.entry
        if entry.process in held.former_processes:
            raise Conflict(f"process {entry.process} was replaced by {held.process}")
        if told.start_time_given and entry.started_ms <= held.started_ms:
            raise Conflict(f"process {held.process} holds this id and started later or as late")
        former = (held.process, *held.former_processes)[:MAX_FORMER_PROCESSES]
        return replace(entry, started_ms=max(entry.started_ms, held.started_ms + 1), former_processes=former)

    def require_holder(self, id: str, process: str) -> tuple[InstanceState, Entry]:
        state = self.current_state(id)
        if state is None or state.entry is None:
            raise UnknownInstance(f"{id} is not registered")
        if state.entry.process != process:
            raise Conflict(f"{id} is held by process {state.entry.process}")
        return state, state.entry

    def renew(self, id: str, process: str) -> WriteResult:
        return WriteResult(self.require_holder(id, process)[0], False)

    def set_lifecycle(self, id: str, process: str, lifecycle: str, condition: Condition) -> WriteResult:
        state, entry = self.require_holder(id, process)
        if entry.lifecycle == lifecycle:
            return WriteResult(state, False)
        check_condition(condition, state, entry)
        return WriteResult(self.add_record(id, replace(entry, lifecycle=lifecycle), state.drain), True)

    def drain(self, id: str, by: str, reason: str, condition: Condition) -> WriteResult:
        """Staff's drain; with If-None-Match also of an id that is not there yet, as of a machine to come."""
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
        """What there is of an id; of one that is gone nothing, as long as the history tells of it."""
        state = self.current_state(id)
        if state is None and not self.store.was_known(id):
            raise UnknownInstance(f"{id} was never registered")
        return state

    def lift_drain(self, id: str, condition: Condition) -> WriteResult:
        state = self.require_known(id)
        if state is None or state.drain is None:
            return WriteResult(state, False)
        check_condition(condition, state, state)
        return WriteResult(self.add_record(id, state.entry, None), True)

    def remove(self, id: str, condition: Condition) -> WriteResult:
        state = self.require_known(id)
        if state is None or state.entry is None:
            return WriteResult(state, False)
        check_condition(condition, state, state)
        return WriteResult(self.add_record(id, None, state.drain), True)

    def expire(self, id: str) -> WriteResult:
        state = self.current_state(id)
        if state is None or state.entry is None:
            return WriteResult(state, False)
        return WriteResult(self.add_record(id, None, state.drain), True)


def check_condition(condition: Condition, state: InstanceState | None, held: object | None) -> None:
    """Conflict unless the write rests on the id as it is."""
    if condition.must_be_absent:
        if held is not None:
            raise Conflict("this id is registered")
    elif condition.version is None:
        raise ConditionMissing("a write needs If-Match with the id's version, or If-None-Match: *")
    elif state is None or state.version != condition.version:
        raise Conflict(f"the version is {state.version if state else 'none'}")
