"""The list in memory: versions, generations, changes for readers, drains, leases with a scripted clock."""

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


def registration(name: str, port: int = 80, started: int | None = None) -> Registration:
    """The registration of a process, with a start time in milliseconds if given."""
    body: dict[str, object] = {"hostPort": f"127.0.0.1:{port}", "process": name}
    if started is not None:
        body["startedAtMs"] = started
    return read_registration(body, NOW // 1000)


def apply_write(store: Store, write: Callable[[Draft], WriteResult], now: int = NOW) -> WriteResult:
    """Makes one write in a batch of its own and applies it."""
    draft = Draft(store, now)
    done = write(draft)
    store.apply(draft.records)
    return done


def new_store(history: int = 4096, now: int = NOW) -> Store:
    """A store with the start record of a leader."""
    store = Store(history)
    add_start(store, now)
    return store


def add_start(store: Store, now: int = NOW) -> None:
    draft = Draft(store, now)
    draft.add_start_record()
    store.apply(draft.records)


def register(store: Store, id: str = "a", name: str = "p1", now: int = NOW) -> InstanceState:
    state = apply_write(store, lambda d: d.register(id, registration(name), ABSENT), now).state
    assert state is not None
    return state


def listed_lifecycles(store: Store) -> dict[str, str]:
    return {e["instanceId"]: e["lifecycle"] for e in store.entries()}


# versions and repeated writes


def test_a_repeated_registration_changes_nothing_and_a_second_one_conflicts() -> None:
    store = new_store()
    first = apply_write(store, lambda d: d.register("a", registration("p1"), ABSENT))
    again = apply_write(store, lambda d: d.register("a", registration("p1"), ABSENT))
    assert first.created and not again.changed and again.state == first.state
    with pytest.raises(Conflict):
        apply_write(store, lambda d: d.register("a", registration("p2"), ABSENT))
    with pytest.raises(ConditionMissing):
        apply_write(store, lambda d: d.register("a", registration("p2"), Condition()))
    with pytest.raises(Conflict):
        apply_write(store, lambda d: d.register("b", registration("p2"), Condition(version=7)))


def test_of_two_writes_to_one_version_the_second_conflicts_even_in_one_batch() -> None:
    store = new_store()
    at = Condition(version=register(store).version)
    draft = Draft(store, NOW)
    assert draft.drain("a", "ann", "", at).changed
    with pytest.raises(Conflict):
        draft.remove("a", at)
    store.apply(draft.records)
    assert listed_lifecycles(store) == {"a": "DRAINING"}


def test_a_replacing_process_gets_a_later_start_time_even_if_the_clock_went_back() -> None:
    store = new_store()
    state = register(store)
    assert state.entry is not None
    done = apply_write(
        store, lambda d: d.register("a", registration("p2"), Condition(version=state.version)), NOW - 10**9
    )
    assert done.state and done.state.entry and done.state.entry.started_ms == state.entry.started_ms + 1
    assert done.state.version == state.version + 1  # nor do generations go back with the clock


def test_late_writes_of_a_replaced_process_are_refused() -> None:
    store = new_store()
    old = register(store)
    new = apply_write(
        store, lambda d: d.register("a", registration("p2"), Condition(version=old.version))
    ).state
    assert new is not None
    for late in (
        lambda d: d.renew("a", "p1"),
        lambda d: d.set_lifecycle("a", "p1", "DRAINING", Condition(new.version)),
        lambda d: d.register("a", registration("p1"), Condition(version=new.version)),
        lambda d: d.register("a", registration("p0", started=5), Condition(version=new.version)),
    ):
        with pytest.raises(Conflict):
            apply_write(store, late)
    apply_write(store, lambda d: d.remove("a", Condition(version=new.version)))
    with pytest.raises(UnknownInstance):
        apply_write(store, lambda d: d.renew("a", "p2"))
    assert not store.entries()


def test_a_repeated_removal_succeeds_and_one_of_an_unknown_id_is_refused() -> None:
    store = new_store()
    at = Condition(version=register(store).version)
    assert apply_write(store, lambda d: d.remove("a", at)).changed
    assert not apply_write(store, lambda d: d.remove("a", at)).changed
    with pytest.raises(UnknownInstance):
        apply_write(store, lambda d: d.remove("b", at))


def test_an_operators_drain_outlives_registration_expiry_and_snapshot() -> None:
    store = new_store()
    at = Condition(version=register(store).version)
    drained = apply_write(store, lambda d: d.drain("a", "ann", "disk", at)).state
    assert drained is not None
    assert not apply_write(
        store, lambda d: d.drain("a", "ann", "disk", at)
    ).changed  # a repeat, with the old version
    with pytest.raises(Conflict):
        apply_write(store, lambda d: d.drain("a", "bob", "", at))
    apply_write(store, lambda d: d.register("a", registration("p2"), Condition(version=drained.version)))
    assert listed_lifecycles(store) == {"a": "DRAINING"}
    apply_write(store, lambda d: d.expire("a"))
    assert not store.entries()
    store = Store.from_json(json.loads(json.dumps(store.to_json())))
    add_start(store)
    register(store, "a", "p3")
    assert listed_lifecycles(store) == {"a": "DRAINING"}
    lifted = apply_write(store, lambda d: d.lift_drain("a", Condition(version=store.states["a"].version)))
    assert lifted.changed and listed_lifecycles(store) == {"a": "SERVING"}
    assert not apply_write(store, lambda d: d.lift_drain("a", Condition(version=1))).changed


def test_lifting_a_drain_keeps_the_lifecycle_that_the_instance_reported() -> None:
    store = new_store()
    apply_write(store, lambda d: d.drain("a", "ann", "", Condition(version=register(store).version)))
    own = apply_write(
        store, lambda d: d.set_lifecycle("a", "p1", "DRAINING", Condition(store.states["a"].version))
    )
    assert own.state is not None
    assert not apply_write(store, lambda d: d.set_lifecycle("a", "p1", "DRAINING", Condition())).changed
    apply_write(store, lambda d: d.lift_drain("a", Condition(version=store.states["a"].version)))
    assert listed_lifecycles(store) == {"a": "DRAINING"}


# changes for readers


def test_changes_are_coalesced_to_the_last_of_each_id() -> None:
    store = new_store()
    at = store.generation
    state = register(store)
    apply_write(store, lambda d: d.drain("a", "ann", "", Condition(version=state.version)))
    register(store, "b", "p2")
    apply_write(store, lambda d: d.expire("b"))
    changes = store.changes_after(at)
    assert changes is not None and [(e["instanceId"], e["lifecycle"]) for e in changes] == [
        ("a", "DRAINING"),
        ("b", "DELETED"),
    ]
    assert store.changes_after(store.generation) == []


def test_a_generation_that_the_history_does_not_hold_needs_the_full_list() -> None:
    store = new_store(history=4)
    first = store.generation
    for number in range(12):
        register(store, f"i{number}", "p")
    assert store.changes_after(first) is None  # older than the history
    assert store.changes_after(0) is None and store.changes_after(NOW - 1) is None
    assert store.changes_after(store.generation + 1) is None  # a generation that this history never reached
    assert store.history_start is not None and len(store.changes_after(store.history_start) or []) == len(
        store.history
    )


def test_a_restored_store_continues_above_lost_generations_and_does_not_know_them() -> None:
    store = new_store()
    register(store)
    copy = Store.from_json(json.loads(json.dumps(store.to_json())))
    kept = store.generation
    lost = [register(store, f"x{n}", "p", NOW + n).version for n in range(50)]
    add_start(copy, NOW + 10**6)
    register(copy, "new", "p", NOW + 10**6)
    assert copy.generation > max(lost) and all(copy.changes_after(g) is None for g in lost)
    changes = copy.changes_after(kept)
    assert changes is not None and [e["instanceId"] for e in changes] == ["new"]


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 5), st.integers(-5, 5)), max_size=40),
    st.integers(0, 40),
)
def test_changes_from_any_version_lead_to_the_list_as_it_is(
    writes: list[tuple[str, int, int]], ask_after: int
) -> None:
    store = new_store(history=8)
    known: dict[str, dict[str, object]] = {}
    version = store.generation
    for place, (id, kind, skew) in enumerate(writes):
        before = store.generation
        state = store.states.get(id)
        held = state and state.entry
        draft = Draft(store, NOW + skew)
        at = Condition(version=state.version) if state else ABSENT
        if kind < 2:
            draft.register(id, registration(f"p{place}"), at if held else ABSENT)
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


def test_a_batch_out_of_order_is_rejected() -> None:
    store = new_store()
    draft = Draft(store, NOW)
    draft.add_start_record()
    store.apply(draft.records)
    with pytest.raises(InvalidFormat):
        store.apply(draft.records)


def test_a_record_survives_its_json_form_and_invalid_records_are_rejected() -> None:
    store = new_store()
    apply_write(store, lambda d: d.drain("a", "ann", "why", Condition(version=register(store).version)))
    for record in store.history:
        assert record_from_json(json.loads(json.dumps(record_to_json(record)))) == record
    for rubbish in (None, [], [1, 2], ["x", "a", None, None], [1, "a", [1], None], [1, "a", None, [1]]):
        with pytest.raises(InvalidFormat):
            record_from_json(rubbish)


# validation of registrations


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
def test_an_invalid_registration_is_rejected_with_the_name_of_the_field(field: str, wrong: object) -> None:
    body: dict[str, object] = {"hostPort": "127.0.0.1:80", "process": "p"}
    assert isinstance(read_registration(body, NOW // 1000).entry, Entry)
    body[field] = wrong
    with pytest.raises(InvalidFormat, match=field):
        read_registration(body, NOW // 1000)


# leases


def make_leases(count: int, now: float = 0.0, lease: float = 10.0) -> Leases:
    leases = Leases(now)
    for number in range(count):
        leases.renew(f"i{number}", lease, now)
    return leases


def renew_range(leases: Leases, now: float, which: range) -> None:
    for number in which:
        leases.renew(f"i{number}", 10.0, now)


def run_ticks(leases: Leases, start: float, end: float) -> list[str]:
    """Ticks every half second and removes what each tick says; the removed ids."""
    removed: list[str] = []
    while start < end:
        start += 0.5
        for id in leases.tick(start, 0.5):
            leases.drop(id)
            removed.append(id)
    return removed


def test_a_few_expired_leases_are_removed() -> None:
    leases = make_leases(20)
    assert not run_ticks(leases, 0.0, 9.0)
    renew_range(leases, 9.0, range(4, 20))
    assert sorted(run_ticks(leases, 9.0, 12.0)) == ["i0", "i1", "i2", "i3"] and not leases.removal_held


def test_removal_is_held_when_many_leases_expire_together_until_all_renew() -> None:
    leases = make_leases(20)
    run_ticks(leases, 0.0, 9.0)
    renew_range(leases, 9.0, range(5, 20))
    assert not run_ticks(leases, 9.0, 15.0) and leases.removal_held and len(leases.expired(15.0)) == 5
    renew_range(leases, 15.0, range(1, 20))
    assert (
        not run_ticks(leases, 15.0, 16.0) and leases.removal_held
    )  # one is still expired: it must renew, or an operator resume removal
    renew_range(leases, 16.0, range(20))
    run_ticks(leases, 16.0, 16.5)
    assert not leases.removal_held


def test_removal_is_held_beyond_the_share_when_leases_expire_one_after_another() -> None:
    leases = Leases(0.0)
    for number in range(20):
        leases.renew(f"i{number}", 10.0 + number, 0.0)
    assert len(run_ticks(leases, 0.0, 29.0)) == 4 and leases.removal_held


def test_an_operators_resume_removes_only_the_expired_instances() -> None:
    leases = make_leases(20)
    run_ticks(leases, 0.0, 9.0)
    renew_range(leases, 9.0, range(12, 20))
    run_ticks(leases, 9.0, 12.0)
    assert leases.removal_held and len(leases.resume(12.0)) == 12 and not leases.removal_held
    assert leases.resume(12.0) == []


def test_the_last_instance_is_not_removed_without_an_operator() -> None:
    leases = make_leases(1)
    assert not run_ticks(leases, 0.0, 20.0) and leases.removal_held


def test_a_pause_of_the_service_extends_all_leases() -> None:
    leases = make_leases(20)
    run_ticks(leases, 0.0, 8.0)
    assert (
        not leases.tick(100.0, 0.5)
        and not leases.removal_held
        and leases.compensated_delay == pytest.approx(91.5)
    )
    assert not run_ticks(leases, 100.0, 101.0)  # time to read the renewals that were waiting
    assert leases.remaining("i0", 101.0) == pytest.approx(0.5, abs=0.6)


# drains of unregistered ids, and writes conditional on the full list's version


def test_a_drain_can_be_set_for_an_unregistered_id_and_is_not_shown_to_readers() -> None:
    store = new_store()
    at = store.generation
    with pytest.raises(UnknownInstance):
        apply_write(store, lambda d: d.drain("gateway:n0", "ann", "", Condition(version=at)))
    assert apply_write(store, lambda d: d.drain("gateway:n0", "ann", "", ABSENT)).changed
    assert not store.entries() and store.changes_after(at) == [] and not store.has_changes_after(at)
    with pytest.raises(Conflict):
        apply_write(store, lambda d: d.drain("gateway:n0", "bob", "", ABSENT))
    state = register(store)
    assert store.has_changes_after(at) and [e["instanceId"] for e in store.changes_after(at) or []] == ["a"]
    again = Store.from_json(json.loads(json.dumps(store.to_json())))
    assert again.to_json() == store.to_json() and not again.has_changes_after(state.version)
    assert apply_write(
        store, lambda d: d.lift_drain("gateway:n0", Condition(version=store.states["gateway:n0"].version))
    ).changed
    assert "gateway:n0" not in store.states and not store.has_changes_after(state.version)


def test_of_two_drains_based_on_one_list_version_the_second_conflicts() -> None:
    store = new_store()
    one, two = register(store, "a"), register(store, "b", "p2")
    at = store.generation
    assert apply_write(
        store, lambda d: d.drain("a", "ann", "", Condition(version=one.version, list_version=at))
    ).changed
    assert not apply_write(
        store, lambda d: d.drain("a", "ann", "", Condition(version=one.version, list_version=at))
    ).changed
    with pytest.raises(Conflict, match="list"):
        apply_write(store, lambda d: d.drain("b", "bob", "", Condition(version=two.version, list_version=at)))
    batch = Draft(store, NOW)  # nor are both accepted in one batch
    at = store.generation
    batch.lift_drain("a", Condition(version=store.states["a"].version))
    with pytest.raises(Conflict, match="list"):
        batch.drain("b", "bob", "", Condition(version=two.version, list_version=at))
