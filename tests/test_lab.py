"""The laboratory in virtual time: its parts one by one, and complete, reproducible runs."""

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
from embersill.lab.__main__ import SHIPPED_SCENARIOS
from embersill.lab.clock import VirtualClock
from embersill.lab.counter import CounterService
from embersill.lab.machine import Condition, Job, Machine
from embersill.lab.network import GatewayNetwork, NetworkConditions
from embersill.lab.node import ModelGateway
from embersill.lab.rules import RuleChecker
from embersill.lab.scenario import (
    BackendConfig, BadScenario, ClassConfig, CounterConfig, NetworkConfig, PlanConfig, build_scenario, load,
)
from embersill.lab.world import World
from tests.helpers import backend
from tests.test_program import ROOT


def small_scenario(name: str = "calm", **more: Any) -> dict[str, Any]:
    scenario = load(SHIPPED_SCENARIOS / f"{name}.toml")
    scenario["fleet"].update(gateways=6, backends=8)
    return scenario | {"seconds": 15} | more


def play(scenario: dict[str, Any], seed: int = 1) -> dict[str, Any]:
    world = World(build_scenario(scenario), seed)
    world.play()
    return world.report()


def test_calls_run_in_order_of_time_and_then_of_scheduling() -> None:
    clock, seen = VirtualClock(5.0), list[str]()

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


def make_machine(**config: Any) -> tuple[VirtualClock, Machine, list[tuple[str, float]]]:
    clock = VirtualClock()
    return clock, Machine(clock, BackendConfig(**config), "b", "a", 0, 1.0, 1.0), []


def make_job(clock: VirtualClock, work: float, name: str, ends: list[tuple[str, float]]) -> Job:
    def done(_: Job, served: bool) -> None:
        ends.append((name if served else f"{name} refused", round(clock.now, 6)))

    return Job(work, done)


def test_requests_share_the_cores_or_wait_in_the_queue() -> None:
    clock, machine, ends = make_machine(cores=2, slots=3, queue=1)
    for name in "abcde":
        machine.receive(make_job(clock, 1.0, name, ends))
    clock.run(10.0)
    # three share two cores for 1.5 s each; the fourth waits, the fifth finds the queue full
    assert ends == [("e refused", 0.0), ("a", 1.5), ("b", 1.5), ("c", 1.5), ("d", 2.5)]
    assert machine.busy_core_seconds == pytest.approx(4.0) and machine.rejected == 1


def test_a_slow_hanging_or_killed_machine() -> None:
    clock, machine, ends = make_machine(cores=1)
    machine.receive(make_job(clock, 1.0, "a", ends))
    clock.run(0.5)
    machine.slow_down(2.0)
    clock.run(1.0)
    machine.slow_down(1.0)
    clock.run(1.25)
    assert ends == [("a", 1.25)]
    machine.receive(make_job(clock, 1.0, "b", ends))
    machine.fail(Condition.HANGING)
    clock.run(50.0)
    machine.recover(cold=False)
    clock.run(51.5)
    assert ends[1] == ("b", 51.0)
    machine.receive(make_job(clock, 1.0, "c", ends))
    machine.fail(Condition.DOWN)
    assert not machine.connect()
    machine.recover(cold=True)
    clock.run(60.0)
    assert len(ends) == 2 and machine.connect()


def test_a_cold_machine_collapses_under_overload() -> None:
    for rate, falls in ((1.0, False), (6.0, True)):
        clock, machine, ends = make_machine(cores=1, cold_from=0.5, warm_within=100.0, slots=1000, queue=1000)
        machine.recover(cold=True)
        for n in range(int(10 * rate)):
            clock.later(n / rate, partial(machine.receive, make_job(clock, 0.1, "x", ends)))
        clock.run(10.0)
        assert machine.collapsed is falls


def test_a_connection_table_is_bounded() -> None:
    _, machine, _ = make_machine(connections=2)
    assert [machine.connect() for _ in range(3)] == [True, True, False] and machine.refused == 1


def test_counter_calls_are_served_in_turn_and_late_ones_are_added() -> None:
    clock, results = VirtualClock(), list[CounterCallEnded]()
    service = CounterService(clock, CounterConfig(per_s=100.0, parts=1, delay=0.002, line=4, patience=0.03))
    for _ in range(6):
        service.add("n", 1.0, 4.0, results.append)
    clock.run(1.0)
    assert [t.outcome for t in sorted(results, key=lambda t: t.elapsed)] == [
        Outcome.REJECTED, Outcome.SERVED, Outcome.SERVED, *[Outcome.TIMED_OUT] * 3]
    service.add("n", 0.0, 4.0, results.append)
    clock.run(2.0)
    assert results[-1].total == 5.0  # the late ones were added
    clock.run(10.0)
    service.add("n", 0.0, 4.0, results.append)
    clock.run(11.0)
    assert results[-1].total == 0.0  # the name had expired


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
def test_an_invalid_scenario_is_reported_with_its_key(change: dict[str, Any], why: str) -> None:
    with pytest.raises(BadScenario, match=why):
        build_scenario(small_scenario() | change)


def test_wrong_sums_of_shares_and_duplicate_names_are_reported() -> None:
    scenario = small_scenario()
    scenario["classes"][0]["share"] = 0.9
    with pytest.raises(BadScenario, match="add up to 1.4"):
        build_scenario(scenario)
    scenario = small_scenario()
    scenario["plans"][0]["name"] = "campaign"
    with pytest.raises(BadScenario, match="stands twice"):
        build_scenario(scenario)


@pytest.mark.parametrize("path", sorted(SHIPPED_SCENARIOS.glob("*.toml")), ids=lambda p: p.stem)
def test_each_shipped_scenario_is_reproducible_and_accounts_for_all_requests(path: pathlib.Path) -> None:
    assert load(path)["name"] == path.stem
    scenario = small_scenario(path.stem)
    for fault in scenario.get("faults", []):
        fault.update(at=4.0, lasts=4.0)
    first = play(scenario)
    assert json.dumps(first) == json.dumps(play(scenario))
    assert not first["breaches"], first["first_breaches"]
    assert first["requests"] > 300 and sum(first["ends"].values()) == first["requests"]
    assert 0.3 < first["served"] < 1.1  # a refused request may be served from a later quota
    other = play(scenario, 2)
    assert other["requests"] != first["requests"]


def test_a_file_extends_another_but_not_itself(tmp_path: pathlib.Path) -> None:
    (tmp_path / "one.toml").write_text((SHIPPED_SCENARIOS / "calm.toml").read_text())
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


def test_each_fault_has_its_effect_on_the_figures() -> None:
    calm = play(small_scenario())
    hang = play(small_scenario(faults=[{"kind": "hang", "at": 3.0, "lasts": 10.0, "part": 0.5}]))
    silent = play(small_scenario(faults=[{"kind": "counter", "at": 3.0, "lasts": 12.0}]))
    assert hang["served"] < calm["served"] - 0.05 and hang["requests"] == calm["requests"]
    assert hang["attempts"]["timed out"] > 5 * calm["attempts"].get("timed out", 0)
    assert silent["counter"]["timed out"] > calm["counter"].get("timed out", 0)
    crowded = play(small_scenario(faults=[{"kind": "crowded", "at": 3.0, "lasts": 12.0, "factor": 40.0}]))
    assert crowded["counter"]["timed out"] > 2 * calm["counter"].get("timed out", 0)
    scan = play(small_scenario(faults=[{"kind": "scan", "at": 3.0, "lasts": 10.0, "part": 0.4}]))
    more = scan["requests"] - calm["requests"]
    assert 0.2 * calm["requests"] < more < 0.35 * calm["requests"]  # 0.4 for two thirds of the time
    left = play(small_scenario(load={"impatient": 0.5, "patience": 0.1}))
    assert left["ends"]["left"] > 0.2 * left["requests"] and not left["breaches"]


def test_lost_counts_and_skewed_clocks_let_quotas_be_exceeded() -> None:
    heavy = small_scenario(seconds=25)
    for plan in heavy["plans"]:
        plan.update(heavy=1.0, use=3.0)
    calm = play(heavy)
    clocks = [{"kind": "clock", "of": "gateways", "at": 2.0, "lasts": 20.0, "part": 1.0, "step": 3.3},
              {"kind": "kill", "of": "gateways", "at": 3.0, "lasts": 0.5, "part": 0.5}]
    off = play(heavy | {"faults": clocks})
    assert off["overrun"] > calm["overrun"]  # half of the gateways count in other seconds than the rest
    empty = {"kind": "counter", "at": 5.0, "lasts": 3.0, "empty": True}
    lost, kept = (play(heavy | {"faults": [empty | {"empty": value}]}) for value in (True, False))
    assert lost != kept  # the counts from before the fault are lost


def test_regions_are_far_apart_and_isolated_zones_reach_each_other() -> None:
    rng, conditions, config = (
        random.Random(1), NetworkConditions(), NetworkConfig(same=0.001, cross=0.002, far=0.03, jitter=0.0))
    regions = {"a": "east", "b": "east", "c": "west", "d": "west"}
    network = GatewayNetwork(config, "a", rng, conditions, regions)
    machines = [Machine(VirtualClock(), BackendConfig(), zone, zone, 0, 1.0, 1.0) for zone in "abcd"]
    assert [network.delay(machine) for machine in machines] == [0.001, 0.002, 0.03, 0.03]
    assert GatewayNetwork(config, "a", rng, conditions).delay(machines[3]) == 0.002  # all in one region
    conditions.isolated_zones.add(frozenset("cd"))
    assert [network.reaches(zone) for zone in "abcd"] == [True, True, False, False]
    other = GatewayNetwork(config, "c", rng, conditions, regions)
    assert [other.reaches(zone) for zone in "abcd"] == [False, False, True, True]
    conditions.isolated_zones.add(frozenset("b"))
    assert [network.reaches(zone) for zone in "abcd"] == [True, False, False, False]


def test_a_killed_gateway_opens_no_more_connections() -> None:
    # guards against a pool that opens connections for the attempts waiting when its gateway was killed
    scenario = small_scenario(
        faults=[{"kind": "kill", "of": "gateways", "at": 5.0, "lasts": 100.0, "part": 1.0}])
    scenario["backend"] = {"connections": 1}
    world = World(build_scenario(scenario), 1)
    world.begin()
    clock = world.clock
    assert isinstance(clock, VirtualClock)
    clock.run(world.origin + 4.999)
    gateways = [gateway for gateway in world.gateways if isinstance(gateway, ModelGateway)]
    assert any(
        backend_pool.waiting for gateway in gateways for backend_pool in gateway.pool.backends.values())
    clock.run(world.origin + 5.001)
    opened = sum(gateway.connections_opened for gateway in gateways)
    clock.run(world.origin + 10.0)
    assert sum(gateway.connections_opened for gateway in gateways) == opened and not any(
        gateway.pool.connections for gateway in gateways)


def test_memory_stays_bounded_over_a_long_run() -> None:
    scenario = small_scenario(seconds=7200, load={"inside": 0.02})
    scenario["fleet"].update(gateways=2, backends=2)
    world = World(build_scenario(scenario), 1)
    world.begin()
    clock, sizes = world.clock, list[tuple[int, ...]]()
    assert isinstance(clock, VirtualClock)
    for hour in (1, 2):
        clock.run(world.origin + 3600.0 * hour)
        gateways = [gateway for gateway in world.gateways if isinstance(gateway, ModelGateway)]
        sizes.append((len(clock.queue), len(world.rules.pending), len(world.counter.totals),
                      sum(len(gateway.tries) + len(gateway.pool.connections) for gateway in gateways)))
    assert all(after <= 2 * before + 50 for before, after in zip(*sizes, strict=True)), sizes


def test_a_thousand_gateways_among_a_thousand_backends() -> None:
    scenario = small_scenario(seconds=0.5)
    scenario["fleet"].update(gateways=1000, backends=1000)
    scenario["load"] = {"inside": 0.05, "retries": 0}
    for request_class in scenario["classes"]:
        request_class.update(aim=0.5, deadline=1.0, work=0.1)
    report = play(scenario)
    assert report["requests"] > 200 and sum(report["ends"].values()) == report["requests"]
    assert not report["breaches"] and report["ends"]["in time"] > 0.3 * report["requests"]


def run_lab(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "embersill.lab", *arguments], cwd=ROOT, text=True,
                          capture_output=True, timeout=60, check=False)


def test_the_command_plays_a_file_and_reports_an_error_in_one_line(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "mine.toml"
    text = (SHIPPED_SCENARIOS / "calm.toml").read_text().replace("= 60", "= 6")
    path.write_text(text)
    done = run_lab("run", str(path), "--seed", "3", "--seed", "4", "--out", str(tmp_path / "out"))
    assert done.returncode == 0 and len(done.stdout.splitlines()) == 2, done.stderr
    plays = json.loads((tmp_path / "out" / "result.json").read_text())["plays"]
    assert [play["report"]["seed"] for play in plays] == [3, 4]
    path.write_text(text.replace("aim = 2.0", "aim = -2.0"))
    for wrong in (path, tmp_path / "none.toml"):
        done = run_lab("run", str(wrong))
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1, done.stderr
    assert "calm" in run_lab("list").stdout


def class_config(semantics: str = "repeatable", scope: str = "all") -> ClassConfig:
    scenario = {"name": "k", "share": 1.0, "work": 0.1, "aim": 1.0, "deadline": 5.0, "memory": 3.0}
    return msgspec.convert(scenario | {"semantics": semantics, "scope": scope}, ClassConfig)


# its ceiling: four units, two per second
CAPPED = PlanConfig(name="p", share=1.0, rate=1.0, burst=2.0, ceiling=2.0)
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
    ("by_key", "cell", ["send 0", RAN, "send 2", Outcome.SERVED, "answer"], ""),  # 0 and 2 are in one cell
    ("by_key", "cell", ["send 0", RAN, "send 1"], "no repeat"),
    ("by_key", "zone", ["send 0", RAN, "send 1", Outcome.SERVED, "answer"], ""),
    ("by_key", "cell", ["send 0", RAN, "refuse"], "no repeat"),
    ("repeatable", "all", ["drained", "wait 1", "send 1"], ""),
    ("repeatable", "all", ["drained", "wait 1", "drained", "wait 0.2", "send 1"], "drain"),
    ("repeatable", "all", ["drained", "wait 2", "send 0"], ""),
    ("repeatable", "all", ["drained", "wait 2", "back", "send 1"], ""),
])
def test_each_rule_about_requests_reports_its_breach(
    semantics: str, scope: str, steps: list[Any], rule: str
) -> None:
    clock, rules = VirtualClock(), RuleChecker()
    machines = [Machine(clock, BackendConfig(), f"b{n}", "a", n % 2, 1.0, 1.0) for n in range(3)]
    rules.on_request("n0", 1, class_config(semantics, scope), "c", 5.0)
    now, attempts = 0.0, 0
    for step in steps:
        if isinstance(step, Outcome):
            rules.on_attempt_ended("n0", 1, attempts - 1, step)
        elif step == "drained":
            rules.on_list("n0", [backend("b1", status=BackendStatus.DRAINING)], now)
        elif step == "back":
            rules.on_list("n0", [backend("b1")], now)
        elif step in ("answer", "refuse"):
            rules.on_answer("n0", 1, Outcome.SERVED if step == "answer" else Outcome.REJECTED, now)
        elif step == "die":
            rules.on_gateway_died("n0")
        elif step == "end":
            rules.check_unanswered(now)
        elif step.startswith("wait"):
            now += float(step[5:])
        else:
            rules.on_sent("n0", 1, machines[int(step[5:])], CAPPED, now)
            attempts += 1
    assert [b.rule for b in rules.breaches] == ([rule] if rule else []), rules.breaches
    assert all("1 at n0" in b.what for b in rules.breaches)


def test_an_exceeded_ceiling_and_a_collapsed_cold_backend_are_breaches() -> None:
    clock, rules = VirtualClock(), RuleChecker()
    machine = Machine(clock, BackendConfig(), "b0", "a", 0, 1.0, 1.0)
    for number in range(6):  # four, and one below zero; the sixth is too many
        rules.on_request(f"n{number % 2}", number, class_config(), "c", 5.0)
        rules.on_sent(f"n{number % 2}", number, machine, CAPPED, 0.0)
    assert [b.rule for b in rules.breaches] == ["ceiling"] and "5 at n1" in rules.breaches[0].what
    rules.on_request("n0", 9, class_config(), "c", 9.0)
    rules.on_sent("n0", 9, machine, CAPPED, 1.0)  # two units were refilled meanwhile
    assert len(rules.breaches) == 1
    rules.on_backend_collapsed(machine, 1, 3, 1.0)  # most requests came from gateways that were not notified
    assert len(rules.breaches) == 1
    rules.on_backend_collapsed(machine, 2, 3, 1.0)
    assert rules.breaches[1].rule == "fail-back" and "b0" in rules.breaches[1].what


def test_a_run_reports_decisions_that_break_a_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = small_scenario(
        faults=[{"kind": "kill", "at": 3.0 + n, "lasts": 0.5, "part": 0.5} for n in range(5)])
    scenario["fleet"]["cell_size"] = 1  # a cell has one backend in each of three zones
    assert not play(scenario)["breaches"]
    # the decisions take all backends for one cell, both in their search and in their check
    monkeypatch.setattr("embersill.control.group_of", lambda request_class, server: "")
    monkeypatch.setattr(
        "embersill.serving_set.ServingSet.group", lambda serving, scope, key: serving.all.items)
    report = play(scenario)
    assert report["breaches"] and {b["rule"] for b in report["first_breaches"]} == {"no repeat"}
