"""The list's pure parts: versions, generations, what readers are told, drains, leases on a scripted clock."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from embersill.directory.form import (
    Entry,
    InvalidFormat,
    Registration,
    read_registration,
    record_from_json,
    record_to_json,
)
from embersill.directory.leases import Leases
from embersill.directory.store import (
    Condition,
    ConditionMissing,
    Conflict,
    Draft,
    InstanceState,
    Store,
    UnknownInstance,
    WriteResult,
)

NOW = 1_700_000_000_000_000
ABSENT = Condition(must_be_absent=True)


def process(name: str, port: int = 80, started: int | None = None) -> Registration:
    body: dict[str, object] = {"hostPort": f"127.0.0.1:{port}", "process": name}
    if started is not None:
        body["startedAtMs"] = started
    return read_registration(body, NOW // 1000)


def does(store: Store, write: Callable[[Draft], WriteResult], now: int = NOW) -> WriteResult:
    draft = Draft(store, now)
    done = write(draft)
    store.apply(draft.records)
    return done


def begun(history: int = 4096, now: int = NOW) -> Store:
    store = Store(history)
    starts(store, now)
    return store


def starts(store: Store, now: int = NOW) -> None:
    draft = Draft(store, now)
    draft.add_start_record()
    store.apply(draft.records)


def registered(store: Store, id: str = "a", name: str = "p1", now: int = NOW) -> InstanceState:
    state = does(store, lambda d: d.register(id, process(name), ABSENT), now).state
    assert state is not None
    return state


def lifecycles(store: Store) -> dict[str, str]:
    return {e["instanceId"]: e["lifecycle"] for e in store.entries()}


# versions and repeats


def test_a_repeated_registration_changes_nothing_and_a_second_one_conflicts() -> None:
    store = begun()
    first = does(store, lambda d: d.register("a", process("p1"), ABSENT))
    again = does(store, lambda d: d.register("a", process("p1"), ABSENT))
    assert first.created and not again.changed and again.state == first.state
    with pytest.raises(Conflict):
        does(store, lambda d: d.register("a", process("p2"), ABSENT))
    with pytest.raises(ConditionMissing):
        does(store, lambda d: d.register("a", process("p2"), Condition()))
    with pytest.raises(Conflict):
        does(store, lambda d: d.register("b", process("p2"), Condition(version=7)))


def test_of_two_writes_on_one_version_the_second_conflicts_also_in_one_batch() -> None:
    store = begun()
    at = Condition(version=registered(store).version)
    draft = Draft(store, NOW)
    assert draft.drain("a", "ann", "", at).changed
    with pytest.raises(Conflict):
        draft.remove("a", at)
    store.apply(draft.records)
    assert lifecycles(store) == {"a": "DRAINING"}


def test_a_restart_under_the_same_id_starts_later_whatever_the_clock_says() -> None:
    store = begun()
    state = registered(store)
    assert state.entry is not None
    done = does(
        store, lambda d: d.register("a", process("p2"), Condition(version=state.version)), NOW - 10**9
    )
    assert done.state and done.state.entry and done.state.entry.started_ms == state.entry.started_ms + 1
    assert done.state.version == state.version + 1  # nor do numbers go back with the clock


def test_what_a_replaced_process_sends_late_revives_nothing() -> None:
    store = begun()
    old = registered(store)
    new = does(store, lambda d: d.register("a", process("p2"), Condition(version=old.version))).state
    assert new is not None
    for late in (
        lambda d: d.renew("a", "p1"),
        lambda d: d.set_lifecycle("a", "p1", "DRAINING", Condition(new.version)),
        lambda d: d.register("a", process("p1"), Condition(version=new.version)),
        lambda d: d.register("a", process("p0", started=5), Condition(version=new.version)),
    ):
        with pytest.raises(Conflict):
            does(store, late)
    does(store, lambda d: d.remove("a", Condition(version=new.version)))
    with pytest.raises(UnknownInstance):
        does(store, lambda d: d.renew("a", "p2"))
    assert not store.entries()


def test_a_repeated_removal_is_answered_and_one_of_an_id_never_seen_is_not() -> None:
    store = begun()
    at = Condition(version=registered(store).version)
    assert does(store, lambda d: d.remove("a", at)).changed
    assert not does(store, lambda d: d.remove("a", at)).changed
    with pytest.raises(UnknownInstance):
        does(store, lambda d: d.remove("b", at))


def test_staffs_drain_outlives_registration_expiry_and_the_snapshot() -> None:
    store = begun()
    at = Condition(version=registered(store).version)
    drained = does(store, lambda d: d.drain("a", "ann", "disk", at)).state
    assert drained is not None
    assert not does(
        store, lambda d: d.drain("a", "ann", "disk", at)
    ).changed  # a repeat, with the old version
    with pytest.raises(Conflict):
        does(store, lambda d: d.drain("a", "bob", "", at))
    does(store, lambda d: d.register("a", process("p2"), Condition(version=drained.version)))
    assert lifecycles(store) == {"a": "DRAINING"}
    does(store, lambda d: d.expire("a"))
    assert not store.entries()
    store = Store.from_json(json.loads(json.dumps(store.to_json())))
    starts(store)
    registered(store, "a", "p3")
    assert lifecycles(store) == {"a": "DRAINING"}
    lifted = does(store, lambda d: d.lift_drain("a", Condition(version=store.states["a"].version)))
    assert lifted.changed and lifecycles(store) == {"a": "SERVING"}
    assert not does(store, lambda d: d.lift_drain("a", Condition(version=1))).changed


def test_lifting_a_drain_leaves_what_the_instance_says_of_itself() -> None:
    store = begun()
    does(store, lambda d: d.drain("a", "ann", "", Condition(version=registered(store).version)))
    own = does(store, lambda d: d.set_lifecycle("a", "p1", "DRAINING", Condition(store.states["a"].version)))
    assert own.state is not None
    assert not does(store, lambda d: d.set_lifecycle("a", "p1", "DRAINING", Condition())).changed
    does(store, lambda d: d.lift_drain("a", Condition(version=store.states["a"].version)))
    assert lifecycles(store) == {"a": "DRAINING"}


# what readers are told


def test_changes_are_coalesced_to_the_last_of_each_id() -> None:
    store = begun()
    at = store.generation
    state = registered(store)
    does(store, lambda d: d.drain("a", "ann", "", Condition(version=state.version)))
    registered(store, "b", "p2")
    does(store, lambda d: d.expire("b"))
    told = store.changes_after(at)
    assert told is not None and [(e["instanceId"], e["lifecycle"]) for e in told] == [
        ("a", "DRAINING"),
        ("b", "DELETED"),
    ]
    assert store.changes_after(store.generation) == []


def test_a_version_that_this_history_does_not_hold_needs_the_whole_list() -> None:
    store = begun(history=4)
    first = store.generation
    for number in range(12):
        registered(store, f"i{number}", "p")
    assert store.changes_after(first) is None  # older than the history
    assert store.changes_after(0) is None and store.changes_after(NOW - 1) is None
    assert store.changes_after(store.generation + 1) is None  # of a history that went further
    assert store.history_start is not None and len(store.changes_after(store.history_start) or []) == len(
        store.history
    )


def test_a_restored_copy_counts_from_above_what_was_told_and_knows_no_number_of_the_lost_part() -> None:
    store = begun()
    registered(store)
    copy = Store.from_json(json.loads(json.dumps(store.to_json())))
    kept = store.generation
    lost = [registered(store, f"x{n}", "p", NOW + n).version for n in range(50)]
    starts(copy, NOW + 10**6)
    registered(copy, "new", "p", NOW + 10**6)
    assert copy.generation > max(lost) and all(copy.changes_after(g) is None for g in lost)
    told = copy.changes_after(kept)
    assert told is not None and [e["instanceId"] for e in told] == ["new"]


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 5), st.integers(-5, 5)), max_size=40),
    st.integers(0, 40),
)
def test_changes_from_any_version_lead_to_the_list_as_it_is(
    writes: list[tuple[str, int, int]], ask_after: int
) -> None:
    store = begun(history=8)
    known: dict[str, dict[str, object]] = {}
    version = store.generation
    for place, (id, kind, skew) in enumerate(writes):
        before = store.generation
        state = store.states.get(id)
        held = state and state.entry
        draft = Draft(store, NOW + skew)
        at = Condition(version=state.version) if state else ABSENT
        if kind < 2:
            draft.register(id, process(f"p{place}"), at if held else ABSENT)
        elif kind == 2 and state:
            draft.drain(id, f"staff{place}", "", at)
        elif kind == 3 and state and state.drain:
            draft.lift_drain(id, at)
        elif kind > 3:
            draft.expire(id)
        store.apply(draft.records)
        assert store.generation >= before and len(store.history) <= 16
        if place == ask_after:
            known, version = {e["instanceId"]: e for e in store.entries()}, store.generation
    changes = store.changes_after(version)
    if changes is None:
        return
    for entry in changes:
        if entry["lifecycle"] == "DELETED":
            known.pop(entry["instanceId"], None)
        else:
            known[entry["instanceId"]] = entry
    assert known == {e["instanceId"]: e for e in store.entries()} or version == 0 or ask_after >= len(writes)


def test_a_batch_out_of_order_is_told() -> None:
    store = begun()
    draft = Draft(store, NOW)
    draft.add_start_record()
    store.apply(draft.records)
    with pytest.raises(InvalidFormat):
        store.apply(draft.records)


def test_a_record_goes_through_its_form_unchanged_and_rubbish_is_told() -> None:
    store = begun()
    does(store, lambda d: d.drain("a", "ann", "why", Condition(version=registered(store).version)))
    for record in store.history:
        assert record_from_json(json.loads(json.dumps(record_to_json(record)))) == record
    for rubbish in (None, [], [1, 2], ["x", "a", None, None], [1, "a", [1], None], [1, "a", None, [1]]):
        with pytest.raises(InvalidFormat):
            record_from_json(rubbish)


# the form of a registration


@pytest.mark.parametrize(
    ("field", "wrong"),
    [
        ("hostPort", "nowhere"),
        ("hostPort", "h:0"),
        ("hostPort", "h:65536"),
        ("hostPort", "a b:80"),
        ("hostPort", 5),
        ("hostPort", "h:٨٠"),
        ("process", ""),
        ("process", "a/b"),
        ("process", None),
        ("zone", 3),
        ("zone", "z" * 65),
        ("machineType", "a\nb"),
        ("cell", -1),
        ("cell", 1.5),
        ("cell", True),
        ("lifecycle", "DELETED"),
        ("lifecycle", 1),
        ("weight", float("inf")),
        ("weight", -1),
        ("weight", "1"),
        ("weight", True),
        ("startedAtMs", -1),
        ("startedAtMs", "now"),
        ("startedAtMs", NOW // 1000 + 60_000),
        ("leaseMs", 999),
        ("leaseMs", 600_001),
        ("leaseMs", 1e4),
        ("unknown", 1),
    ],
)
def test_a_registration_out_of_form_is_told_with_the_field(field: str, wrong: object) -> None:
    body: dict[str, object] = {"hostPort": "127.0.0.1:80", "process": "p"}
    assert isinstance(read_registration(body, NOW // 1000).entry, Entry)
    body[field] = wrong
    with pytest.raises(InvalidFormat, match=field):
        read_registration(body, NOW // 1000)


# leases


def kept(many: int, now: float = 0.0, lease: float = 10.0) -> Leases:
    leases = Leases(now)
    for number in range(many):
        leases.renew(f"i{number}", lease, now)
    return leases


def renew(leases: Leases, now: float, which: range) -> None:
    for number in which:
        leases.renew(f"i{number}", 10.0, now)


def ticks(leases: Leases, start: float, end: float) -> list[str]:
    out: list[str] = []
    while start < end:
        start += 0.5
        for id in leases.tick(start, 0.5):
            leases.drop(id)
            out.append(id)
    return out


def test_a_few_leases_that_run_out_are_removed() -> None:
    leases = kept(20)
    assert not ticks(leases, 0.0, 9.0)
    renew(leases, 9.0, range(4, 20))
    assert sorted(ticks(leases, 9.0, 12.0)) == ["i0", "i1", "i2", "i3"] and not leases.removal_held


def test_many_that_run_out_together_are_held_until_they_renew() -> None:
    leases = kept(20)
    ticks(leases, 0.0, 9.0)
    renew(leases, 9.0, range(5, 20))
    assert not ticks(leases, 9.0, 15.0) and leases.removal_held and len(leases.expired(15.0)) == 5
    renew(leases, 15.0, range(1, 20))
    assert (
        not ticks(leases, 15.0, 16.0) and leases.removal_held
    )  # one is still out: an operator's word, or its own
    renew(leases, 16.0, range(20))
    ticks(leases, 16.0, 16.5)
    assert not leases.removal_held


def test_many_that_run_out_one_after_the_other_are_held_beyond_the_share() -> None:
    leases = Leases(0.0)
    for number in range(20):
        leases.renew(f"i{number}", 10.0 + number, 0.0)
    assert len(ticks(leases, 0.0, 29.0)) == 4 and leases.removal_held


def test_an_operators_word_removes_what_ran_out_and_only_that() -> None:
    leases = kept(20)
    ticks(leases, 0.0, 9.0)
    renew(leases, 9.0, range(12, 20))
    ticks(leases, 9.0, 12.0)
    assert leases.removal_held and len(leases.resume(12.0)) == 12 and not leases.removal_held
    assert leases.resume(12.0) == []


def test_the_last_instance_is_not_removed_by_itself() -> None:
    leases = kept(1)
    assert not ticks(leases, 0.0, 20.0) and leases.removal_held


def test_the_services_own_pause_is_given_back() -> None:
    leases = kept(20)
    ticks(leases, 0.0, 8.0)
    assert (
        not leases.tick(100.0, 0.5)
        and not leases.removal_held
        and leases.compensated_delay == pytest.approx(91.5)
    )
    assert not ticks(leases, 100.0, 101.0)  # the renewals that waited unread have their time
    assert leases.remaining("i0", 101.0) == pytest.approx(0.5, abs=0.6)


# drains of what is not listed, and writes that rest on the whole list


def test_a_drain_can_be_set_before_there_is_an_instance_and_readers_hear_nothing_of_it() -> None:
    store = begun()
    at = store.generation
    with pytest.raises(UnknownInstance):
        does(store, lambda d: d.drain("gateway:n0", "ann", "", Condition(version=at)))
    assert does(store, lambda d: d.drain("gateway:n0", "ann", "", ABSENT)).changed
    assert not store.entries() and store.changes_after(at) == [] and not store.has_news(at)
    with pytest.raises(Conflict):
        does(store, lambda d: d.drain("gateway:n0", "bob", "", ABSENT))
    state = registered(store)
    assert store.has_news(at) and [e["instanceId"] for e in store.changes_after(at) or []] == ["a"]
    again = Store.from_json(json.loads(json.dumps(store.to_json())))
    assert again.to_json() == store.to_json() and not again.has_news(state.version)
    assert does(
        store, lambda d: d.lift_drain("gateway:n0", Condition(version=store.states["gateway:n0"].version))
    ).changed
    assert "gateway:n0" not in store.states and not store.has_news(state.version)


def test_of_two_drains_that_were_decided_on_one_list_the_second_conflicts() -> None:
    store = begun()
    one, two = registered(store, "a"), registered(store, "b", "p2")
    at = store.generation
    assert does(
        store, lambda d: d.drain("a", "ann", "", Condition(version=one.version, list_version=at))
    ).changed
    assert not does(
        store, lambda d: d.drain("a", "ann", "", Condition(version=one.version, list_version=at))
    ).changed
    with pytest.raises(Conflict, match="list"):
        does(store, lambda d: d.drain("b", "bob", "", Condition(version=two.version, list_version=at)))
    batch = Draft(store, NOW)  # nor do both pass in one batch
    at = store.generation
    batch.lift_drain("a", Condition(version=store.states["a"].version))
    with pytest.raises(Conflict, match="list"):
        batch.drain("b", "bob", "", Condition(version=two.version, list_version=at))
