"""The laboratory: virtual time, its parts one by one, and whole runs that are the same each time."""

from __future__ import annotations

import json
import pathlib
import random
import subprocess
import sys
from functools import partial
from typing import Any

import msgspec
import pytest

from embersill.interface import CounterCallEnded, Outcome, BackendStatus
from embersill.lab.__main__ import SHIPPED
from embersill.lab.clock import Clock
from embersill.lab.counter import CounterService
from embersill.lab.machine import Condition, Job, Machine
from embersill.lab.network import Way, Weather
from embersill.lab.node import Node
from embersill.lab.rules import Rules
from embersill.lab.scenario import (
    BackendForm, BadScenario, Class, Counter, Net, PlanForm, build_scenario, load,
)
from embersill.lab.world import World
from tests.helpers import backend
from tests.test_program import ROOT


def small(name: str = "calm", **more: Any) -> dict[str, Any]:
    told = load(SHIPPED / f"{name}.toml")
    told["fleet"].update(gateways=6, backends=8)
    return told | {"seconds": 15} | more


def played(told: dict[str, Any], seed: int = 1) -> dict[str, Any]:
    world = World(build_scenario(told), seed)
    world.play()
    return world.report()


def test_time_goes_from_event_to_event_in_their_order() -> None:
    clock, seen = Clock(5.0), list[str]()

    def first() -> None:
        seen.append("first")
        clock.later(0.0, lambda: seen.append("set by it, at the same time"))

    clock.later(1.0, first)
    clock.later(1.0, lambda: seen.append("second"))
    clock.later(2.0, lambda: seen.append("never")).cancel()
    clock.later(3.0, lambda: seen.append("too late"))
    clock.run(7.5)
    assert seen == ["first", "second", "set by it, at the same time"] and clock.now == 7.5
    for wrong in (-0.1, float("nan")):
        with pytest.raises(ValueError):
            clock.later(wrong, first)


def machine(**form: Any) -> tuple[Clock, Machine, list[tuple[str, float]]]:
    clock = Clock()
    return clock, Machine(clock, BackendForm(**form), "b", "a", 0, 1.0, 1.0), []


def job(clock: Clock, work: float, name: str, ends: list[tuple[str, float]]) -> Job:
    def done(_: Job, served: bool) -> None:
        ends.append((name if served else f"{name} refused", round(clock.now, 6)))

    return Job(work, done)


def test_requests_share_the_cores_and_wait_in_line() -> None:
    clock, made, ends = machine(cores=2, slots=3, queue=1)
    for name in "abcde":
        made.take(job(clock, 1.0, name, ends))
    clock.run(10.0)
    # three share two cores for 1.5 s each; the fourth waits, the fifth finds the line full
    assert ends == [("e refused", 0.0), ("a", 1.5), ("b", 1.5), ("c", 1.5), ("d", 2.5)]
    assert made.busy == pytest.approx(4.0) and made.turned_away == 1


def test_a_slow_hanging_or_killed_machine() -> None:
    clock, made, ends = machine(cores=1)
    made.take(job(clock, 1.0, "a", ends))
    clock.run(0.5)
    made.slow_down(2.0)
    clock.run(1.0)
    made.slow_down(1.0)
    clock.run(1.25)
    assert ends == [("a", 1.25)]
    made.take(job(clock, 1.0, "b", ends))
    made.fail(Condition.HANGING)
    clock.run(50.0)
    made.recover(cold=False)
    clock.run(51.5)
    assert ends[1] == ("b", 51.0)
    made.take(job(clock, 1.0, "c", ends))
    made.fail(Condition.DOWN)
    assert not made.connect()
    made.recover(cold=True)
    clock.run(60.0)
    assert len(ends) == 2 and made.connect()


def test_a_cold_machine_falls_over_under_more_than_it_bears() -> None:
    for rate, falls in ((1.0, False), (6.0, True)):
        clock, made, ends = machine(cores=1, cold_from=0.5, warm_within=100.0, slots=1000, queue=1000)
        made.recover(cold=True)
        for n in range(int(10 * rate)):
            clock.later(n / rate, partial(made.take, job(clock, 0.1, "x", ends)))
        clock.run(10.0)
        assert made.fell is falls


def test_a_connection_table_is_bounded() -> None:
    _, made, _ = machine(connections=2)
    assert [made.connect() for _ in range(3)] == [True, True, False] and made.refused == 1


def test_counter_calls_go_in_turn_and_late_ones_add_all_the_same() -> None:
    clock, told = Clock(), list[CounterCallEnded]()
    service = CounterService(clock, Counter(per_s=100.0, parts=1, delay=0.002, line=4, patience=0.03))
    for _ in range(6):
        service.add("n", 1.0, 4.0, told.append)
    clock.run(1.0)
    assert [t.outcome for t in sorted(told, key=lambda t: t.elapsed)] == [
        Outcome.REJECTED, Outcome.SERVED, Outcome.SERVED, *[Outcome.TIMED_OUT] * 3]
    service.add("n", 0.0, 4.0, told.append)
    clock.run(2.0)
    assert told[-1].total == 5.0  # the late ones were added
    clock.run(10.0)
    service.add("n", 0.0, 4.0, told.append)
    clock.run(11.0)
    assert told[-1].total == 0.0  # its life was over


@pytest.mark.parametrize(("change", "why"), [
    ({"seconds": 0}, "seconds"), ({"odd": 1}, "odd"), ({"fleet": {"gateways": 5}}, "backends"),
    ({"fleet": {"gateways": "x", "backends": 1}}, r"\$.fleet.gateways"),
    ({"classes": []}, "classes"), ({"plans": []}, "plans"),
    ({"faults": [{"kind": "flood", "at": 1, "lasts": 1}]}, r"faults\[0\].kind"),
    ({"faults": [{"kind": "kill", "at": 99, "lasts": 1}]}, r"faults\[0\].at"),
    ({"faults": [{"kind": "slow", "of": "gateways", "at": 1, "lasts": 1}]}, "gateways can't have 'slow'"),
    ({"faults": [{"kind": "cut", "at": 1, "lasts": 1}]}, "names a zone"),
    ({"faults": [{"kind": "kill", "zone": "x", "at": 1, "lasts": 1}]}, "no zone 'x'"),
    ({"faults": [{"kind": "kill", "region": "x", "at": 1, "lasts": 1}]}, "no region 'x'"),
    ({"faults": [{"kind": "clock", "at": 1, "lasts": 1}]}, "backends can't have 'clock'"),
    ({"pool": {"opening": 0}}, r"opening is no whole number.*\$.pool"),
    ({"fleet": {"gateways": 1, "backends": 1, "regions": {"x": "y"}}}, r"no zone 'x'.*regions"),
])
def test_a_scenario_out_of_form_is_told_with_its_place(change: dict[str, Any], why: str) -> None:
    with pytest.raises(BadScenario, match=why):
        build_scenario(small() | change)


def test_shares_that_do_not_add_up_and_names_that_stand_twice() -> None:
    told = small()
    told["classes"][0]["share"] = 0.9
    with pytest.raises(BadScenario, match="add up to 1.4"):
        build_scenario(told)
    told = small()
    told["plans"][0]["name"] = "campaign"
    with pytest.raises(BadScenario, match="stands twice"):
        build_scenario(told)


@pytest.mark.parametrize("path", sorted(SHIPPED.glob("*.toml")), ids=lambda p: p.stem)
def test_each_shipped_scenario_plays_the_same_each_time_and_accounts_for_all(path: pathlib.Path) -> None:
    assert load(path)["name"] == path.stem
    told = small(path.stem)
    for fault in told.get("faults", []):
        fault.update(at=4.0, lasts=4.0)
    first = played(told)
    assert json.dumps(first) == json.dumps(played(told))
    assert not first["breaches"], first["first_breaches"]
    assert first["requests"] > 300 and sum(first["ends"].values()) == first["requests"]
    assert 0.3 < first["served"] < 1.1  # a request that was refused may be served by its quota of later
    other = played(told, 2)
    assert other["requests"] != first["requests"]


def test_a_file_is_like_another_and_never_like_itself(tmp_path: pathlib.Path) -> None:
    (tmp_path / "one.toml").write_text((SHIPPED / "calm.toml").read_text())
    (tmp_path / "two.toml").write_text('name = "two"\nlike = "one"\n[fleet]\ngateways = 7\n')
    (tmp_path / "three.toml").write_text('name = "three"\nlike = "two"\nseconds = 9\n')
    one, three = load(tmp_path / "one.toml"), load(tmp_path / "three.toml")
    assert three == one | {"name": "three", "seconds": 9, "fleet": one["fleet"] | {"gateways": 7}}
    (tmp_path / "one.toml").write_text('like = "three"\n')
    with pytest.raises(BadScenario, match="like itself"):
        load(tmp_path / "three.toml")
    with pytest.raises(BadScenario, match="none.toml"):
        (tmp_path / "two.toml").write_text('like = "none"\n')
        load(tmp_path / "two.toml")


def test_faults_cost_what_a_calm_day_has() -> None:
    calm = played(small())
    hang = played(small(faults=[{"kind": "hang", "at": 3.0, "lasts": 10.0, "part": 0.5}]))
    silent = played(small(faults=[{"kind": "counter", "at": 3.0, "lasts": 12.0}]))
    assert hang["served"] < calm["served"] - 0.05 and hang["requests"] == calm["requests"]  # the same clients
    assert hang["attempts"]["timed out"] > 5 * calm["attempts"].get("timed out", 0)
    assert silent["counter"]["timed out"] > calm["counter"].get("timed out", 0)
    crowded = played(small(faults=[{"kind": "crowded", "at": 3.0, "lasts": 12.0, "factor": 40.0}]))
    assert crowded["counter"]["timed out"] > 2 * calm["counter"].get("timed out", 0)
    scan = played(small(faults=[{"kind": "scan", "at": 3.0, "lasts": 10.0, "part": 0.4}]))
    more = scan["requests"] - calm["requests"]
    assert 0.2 * calm["requests"] < more < 0.35 * calm["requests"]  # four tenths for two thirds of the time
    left = played(small(load={"impatient": 0.5, "patience": 0.1}))
    assert left["ends"]["left"] > 0.2 * left["requests"] and not left["breaches"]


def test_an_emptied_counter_and_a_clock_that_is_off_let_quotas_be_passed() -> None:
    heavy = small(seconds=25)
    for plan in heavy["plans"]:
        plan.update(heavy=1.0, use=3.0)
    calm = played(heavy)
    clocks = [{"kind": "clock", "of": "gateways", "at": 2.0, "lasts": 20.0, "part": 1.0, "step": 3.3},
              {"kind": "kill", "of": "gateways", "at": 3.0, "lasts": 0.5, "part": 0.5}]
    off = played(heavy | {"faults": clocks})
    assert off["overrun"] > calm["overrun"]  # half of the gateways read other seconds than the rest
    empty = {"kind": "counter", "at": 5.0, "lasts": 3.0, "empty": True}
    lost, kept = (played(heavy | {"faults": [empty | {"empty": value}]}) for value in (True, False))
    assert lost != kept  # what the counts of before the fault still told is gone


def test_regions_are_far_apart_and_a_cut_leaves_both_sides_alive() -> None:
    dice, weather, net = random.Random(1), Weather(), Net(same=0.001, cross=0.002, far=0.03, jitter=0.0)
    regions = {"a": "east", "b": "east", "c": "west", "d": "west"}
    way = Way(net, "a", dice, weather, regions)
    places = [Machine(Clock(), BackendForm(), zone, zone, 0, 1.0, 1.0) for zone in "abcd"]
    assert [way.delay(place) for place in places] == [0.001, 0.002, 0.03, 0.03]
    assert Way(net, "a", dice, weather).delay(places[3]) == 0.002  # all in one
    weather.cut.add(frozenset("cd"))
    assert [way.passes(zone) for zone in "abcd"] == [True, True, False, False]
    other = Way(net, "c", dice, weather, regions)
    assert [other.passes(zone) for zone in "abcd"] == [False, False, True, True]
    weather.cut.add(frozenset("b"))
    assert [way.passes(zone) for zone in "abcd"] == [True, False, False, False]


def test_a_killed_gateway_opens_nothing_more() -> None:
    # the end of its connections let the pool open others, for attempts that waited at its death
    told = small(faults=[{"kind": "kill", "of": "gateways", "at": 5.0, "lasts": 100.0, "part": 1.0}])
    told["backend"] = {"connections": 1}
    world = World(build_scenario(told), 1)
    world.begin()
    clock = world.clock
    assert isinstance(clock, Clock)
    clock.run(world.origin + 4.999)
    nodes = [node for node in world.nodes if isinstance(node, Node)]
    assert any(place.waiting for node in nodes for place in node.pool.backends.values())
    clock.run(world.origin + 5.001)
    opened = sum(node.wired for node in nodes)
    clock.run(world.origin + 10.0)
    assert sum(node.wired for node in nodes) == opened and not any(node.pool.connections for node in nodes)


def test_memory_stays_bounded_over_a_long_day() -> None:
    told = small(seconds=7200, load={"inside": 0.02})
    told["fleet"].update(gateways=2, backends=2)
    world = World(build_scenario(told), 1)
    world.begin()
    clock, sizes = world.clock, list[tuple[int, ...]]()
    assert isinstance(clock, Clock)
    for hour in (1, 2):
        clock.run(world.origin + 3600.0 * hour)
        nodes = [node for node in world.nodes if isinstance(node, Node)]
        sizes.append((len(clock.queue), len(world.rules.open), len(world.counter.totals),
                      sum(len(node.calls) + len(node.pool.connections) for node in nodes)))
    assert all(after <= 2 * before + 50 for before, after in zip(*sizes, strict=True)), sizes


def test_a_thousand_gateways_among_a_thousand_backends() -> None:
    told = small(seconds=0.5)
    told["fleet"].update(gateways=1000, backends=1000)
    told["load"] = {"inside": 0.05, "retries": 0}
    for klass in told["classes"]:
        klass.update(aim=0.5, deadline=1.0, work=0.1)
    found = played(told)
    assert found["requests"] > 200 and sum(found["ends"].values()) == found["requests"]
    assert not found["breaches"] and found["ends"]["in time"] > 0.3 * found["requests"]


def lab(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "embersill.lab", *words], cwd=ROOT, text=True,
                          capture_output=True, timeout=60, check=False)


def test_the_command_plays_a_file_and_tells_what_is_wrong_in_one_line(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "mine.toml"
    text = (SHIPPED / "calm.toml").read_text().replace("= 60", "= 6")
    path.write_text(text)
    done = lab("run", str(path), "--seed", "3", "--seed", "4", "--out", str(tmp_path / "out"))
    assert done.returncode == 0 and len(done.stdout.splitlines()) == 2, done.stderr
    plays = json.loads((tmp_path / "out" / "result.json").read_text())["plays"]
    assert [play["report"]["seed"] for play in plays] == [3, 4]
    path.write_text(text.replace("aim = 2.0", "aim = -2.0"))
    for wrong in (path, tmp_path / "none.toml"):
        done = lab("run", str(wrong))
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1, done.stderr
    assert "calm" in lab("list").stdout


def klass(semantics: str = "repeatable", scope: str = "all") -> Class:
    told = {"name": "k", "share": 1.0, "work": 0.1, "aim": 1.0, "deadline": 5.0, "memory": 3.0}
    return msgspec.convert(told | {"semantics": semantics, "scope": scope}, Class)


CAPPED = PlanForm(name="p", share=1.0, rate=1.0, burst=2.0, ceiling=2.0)  # four units, two a second
RAN, UNRAN = Outcome.TIMED_OUT, Outcome.NO_CONNECTION


@pytest.mark.parametrize(("semantics", "scope", "steps", "rule"), [
    ("repeatable", "all", ["send 0", RAN, "send 1", Outcome.SERVED, "answer"], ""),
    ("repeatable", "all", ["send 0", "send 1"], "one at a time"),
    ("repeatable", "all", ["send 0", Outcome.SERVED, "answer", "answer"], "one answer"),
    ("repeatable", "all", ["answer", "send 0"], "one answer"),
    ("repeatable", "all", ["send 0", "wait 6", "answer"], "one answer"),
    ("repeatable", "all", ["send 0", "wait 6", "end"], "one answer"),
    ("repeatable", "all", ["send 0", "wait 6", "die", "end"], ""),
    ("repeatable", "all", ["send 0", RAN, "refuse"], ""),
    ("once", "all", ["send 0", UNRAN, "send 1", Outcome.SERVED, "answer"], ""),
    ("once", "all", ["send 0", RAN, "send 1"], "no repeat"),
    ("once", "all", ["send 0", RAN, "refuse"], "no repeat"),
    ("once", "all", ["send 0", UNRAN, "refuse"], ""),
    ("by_key", "all", ["send 0", RAN, "send 1", RAN, "refuse"], ""),
    ("by_key", "all", ["send 0", RAN, "wait 4", "send 1"], "no repeat"),
    ("by_key", "cell", ["send 0", RAN, "send 2", Outcome.SERVED, "answer"], ""),  # 0 and 2 are of one cell
    ("by_key", "cell", ["send 0", RAN, "send 1"], "no repeat"),
    ("by_key", "zone", ["send 0", RAN, "send 1", Outcome.SERVED, "answer"], ""),
    ("by_key", "cell", ["send 0", RAN, "refuse"], "no repeat"),
    ("repeatable", "all", ["drained", "wait 1", "send 1"], ""),
    ("repeatable", "all", ["drained", "wait 1", "drained", "wait 0.2", "send 1"], "drain"),
    ("repeatable", "all", ["drained", "wait 2", "send 0"], ""),
    ("repeatable", "all", ["drained", "wait 2", "back", "send 1"], ""),
])
def test_each_rule_of_a_request_is_tripped_by_a_planted_fault(
    semantics: str, scope: str, steps: list[Any], rule: str
) -> None:
    clock, rules = Clock(), Rules()
    machines = [Machine(clock, BackendForm(), f"b{n}", "a", n % 2, 1.0, 1.0) for n in range(3)]
    rules.taken("n0", 1, klass(semantics, scope), "c", 5.0)
    now, place = 0.0, 0
    for step in steps:
        if isinstance(step, Outcome):
            rules.ended("n0", 1, place - 1, step)
        elif step == "drained":
            rules.told("n0", [backend("b1", status=BackendStatus.DRAINING)], now)
        elif step == "back":
            rules.told("n0", [backend("b1")], now)
        elif step in ("answer", "refuse"):
            rules.answered("n0", 1, Outcome.SERVED if step == "answer" else Outcome.REJECTED, now)
        elif step == "die":
            rules.died("n0")
        elif step == "end":
            rules.end(now)
        elif step.startswith("wait"):
            now += float(step[5:])
        else:
            rules.sent("n0", 1, machines[int(step[5:])], CAPPED, now)
            place += 1
    assert [b.rule for b in rules.breaches] == ([rule] if rule else []), rules.breaches
    assert all("1 at n0" in b.what for b in rules.breaches)


def test_a_passed_ceiling_and_a_cold_one_pushed_over_are_breaches() -> None:
    clock, rules = Clock(), Rules()
    made = Machine(clock, BackendForm(), "b0", "a", 0, 1.0, 1.0)
    for number in range(6):  # four, and one below nought; the sixth is too many
        rules.taken(f"n{number % 2}", number, klass(), "c", 5.0)
        rules.sent(f"n{number % 2}", number, made, CAPPED, 0.0)
    assert [b.rule for b in rules.breaches] == ["ceiling"] and "5 at n1" in rules.breaches[0].what
    rules.taken("n0", 9, klass(), "c", 9.0)
    rules.sent("n0", 9, made, CAPPED, 1.0)  # two came back meanwhile
    assert len(rules.breaches) == 1
    rules.fell(made, 1, 3, 1.0)  # most of it came from those who could not know
    assert len(rules.breaches) == 1
    rules.fell(made, 2, 3, 1.0)
    assert rules.breaches[1].rule == "fail-back" and "b0" in rules.breaches[1].what


def test_a_gateway_whose_decisions_break_a_rule_is_found_in_a_run(monkeypatch: pytest.MonkeyPatch) -> None:
    told = small(faults=[{"kind": "kill", "at": 3.0 + n, "lasts": 0.5, "part": 0.5} for n in range(5)])
    told["fleet"]["cell_size"] = 1  # in each of three zones
    assert not played(told)["breaches"]
    # it takes all for one cell, where it looks for backends and where it checks them
    monkeypatch.setattr("embersill.control.group_of", lambda klass, server: "")
    monkeypatch.setattr(
        "embersill.serving_set.ServingSet.group", lambda serving, scope, key: serving.all.items)
    found = played(told)
    assert found["breaches"] and {b["rule"] for b in found["first_breaches"]} == {"no repeat"}
