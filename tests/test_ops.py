"""The operators' procedures on a scripted fleet and clock, their guards, and the fleet file."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from embersill.ops.fleet import BadFleet, Fleet, Guards, build_fleet, read_fleet
from embersill.ops.guards import GATEWAY, List, Listed, backends_left, gateways_left
from embersill.ops.procedure import (
    Ask,
    Call,
    Conflict,
    Drain,
    Ended,
    Failed,
    Job,
    Mark,
    Pause,
    Procedure,
    ReadList,
    ReadLoad,
    Result,
    Undrain,
    Unmark,
)

FLEET = {
    "directory": ["127.0.0.1:8500"],
    "gateway": [{"name": f"n{n}", "machine": f"m{n}", "console": f"127.0.0.1:{9000 + n}"} for n in range(3)],
    "backend": [{"name": "b0", "machine": "m0"}, {"name": "b1", "machine": "m0"}],
    "guards": {"backend_rate": 10.0, "headroom": 0.5},
}


class World:
    """A list service and gateways that do as they are scripted; time passes only in pauses."""

    def __init__(self, backends: int = 6) -> None:
        self.now, self.generation, self.load = 100.0, 50, 5.0
        self.backends = {f"b{n}": Listed("SERVING", "z", n % 2, 1.0, 10 + n) for n in range(backends)}
        self.marks: dict[str, tuple[str, int]] = {}
        self.out = {f"n{n}": 0 for n in range(3)}
        self.behind: set[str] = set()  # gateways with the list of the beginning
        self.phases: dict[str, list[Any]] = {f"n{n}": ["serving"] for n in range(3)}
        self.started = {f"n{n}": 1.0 for n in range(3)}
        self.silent: dict[str, Failed] = {}
        self.successors: dict[str, str] = {}  # by a gateway's name, or the console of a later process of it
        self.list_down = False
        self.calls: list[Call] = []
        self.before: Callable[[Call], None] = lambda call: None  # what happens just before a call arrives

    def answer(self, call: Call) -> Any:
        self.before(call)
        self.calls.append(call)
        if isinstance(call, Pause):
            self.now += call.seconds
            return None
        if isinstance(call, ReadLoad):
            return self.load
        if isinstance(call, Ask):
            first = call.at in ("", f"127.0.0.1:900{call.gateway[1:]}")
            key = call.gateway if first else call.at
            return self.silent.get(key) or self.console(key, call.line)
        if self.list_down:
            return Failed("no answer in time")
        if isinstance(call, ReadList):
            return List(self.generation, dict(self.backends), dict(self.marks))
        return self.unmark(call) if isinstance(call, Unmark) else self.mark(call)

    def mark(self, call: Mark) -> Any:
        if call.generation != self.generation:
            return Conflict(f"the list is at {self.generation}")
        return self.set_mark(call.id, "ann")

    def set_mark(self, id: str, by: str) -> int:
        self.generation += 1
        self.marks[id] = (by, self.generation)
        if id in self.backends:
            b = self.backends[id]
            self.backends[id] = Listed("DRAINING", b.zone, b.cell, b.weight, self.generation, by)
        return self.generation

    def unmark(self, call: Unmark) -> Any:
        if self.marks.get(call.id, ("", 0))[1] != call.version:
            return Conflict("the version is another")
        del self.marks[call.id]
        self.generation += 1
        return {}

    def console(self, gateway: str, line: str) -> Any:
        told = self.told(gateway, line)
        if gateway in self.successors and not isinstance(told, Failed):
            if line == "DRAIN":
                return Failed(f"handed over to a successor {self.successors[gateway]}")
            told["successor"] = self.successors[gateway]
        return told

    def told(self, gateway: str, line: str) -> Any:
        if line.startswith("OUT"):
            old = gateway in self.behind
            return {
                "state": "serving" if old else "draining",
                "out": self.out[gateway],
                "list": 50 if old else self.generation,
            }
        if line == "DRAIN" and self.phases[gateway] == ["serving"]:
            self.phases[gateway] = ["lame duck", "closing", "empty", Failed("refused", refused=True)]
        if line == "SERVE":
            self.phases[gateway] = ["serving"]
        script = self.phases[gateway]
        phase = script.pop(0) if line == "PHASE" and len(script) > 1 else script[0]
        if isinstance(phase, Failed):
            return phase
        return {
            "phase": phase,
            "open": 0 if phase == "empty" else 2,
            "ready": phase == "serving",
            "started": self.started[gateway],
        }


def plays(procedure: Procedure, world: World, most: int = 10**6) -> Result:
    """To its end, or until it is killed after so many rounds."""
    rounds = procedure.run()
    try:
        calls = next(rounds)
        for _ in range(most):
            results = [world.answer(call) for call in calls]
            calls = rounds.send((world.now, results))
    except StopIteration:
        return Result.DONE
    except Ended as end:
        procedure.job.say(f"ended: {end}")
        return end.result
    raise KeyboardInterrupt


def job(backends: list[str], gateways: list[str], **more: Any) -> tuple[Job, list[str]]:
    said: list[str] = []
    return Job(fleet(), backends, gateways, say=said.append, **more), said


def fleet() -> Fleet:
    return build_fleet(FLEET)


def drains(world: World, backends: list[str], gateways: list[str], **more: Any) -> tuple[Result, list[str]]:
    made, said = job(backends, gateways, **more)
    return plays(Drain(made, world.now), world), said


# backends


def test_a_backend_is_empty_once_all_gateways_say_so_in_one_round() -> None:
    world = World()
    world.out["n1"], world.behind = 3, {"n2"}

    def goes_on(call: Call) -> None:
        if isinstance(call, Pause):
            world.out["n1"] -= 1
            if world.out["n1"] == 0:
                world.behind.clear()
                world.out["n0"] = 0

    world.before = goes_on
    result, said = drains(world, ["b0"], [])
    assert result is Result.DONE and world.now > 100 and world.backends["b0"].lifecycle == "DRAINING"
    assert any("3 out" in line for line in said) and "empty" in said[-1]


def test_a_gateway_that_can_not_be_asked_is_named_and_not_counted_as_empty() -> None:
    world = World()
    world.silent["n2"] = Failed("no answer in time")
    result, said = drains(world, ["b0"], [], timeout=5.0)
    assert result is Result.TIMED_OUT and "b0 at n2: can't be asked" in said[-1] and "n1" not in said[-1]
    assert "b0" in world.marks  # all stays as it is
    world.silent["n2"] = Failed("nothing listens", refused=True)  # it may be starting, with an old list
    assert drains(world, ["b0"], [], timeout=5.0)[0] is Result.TIMED_OUT
    world.set_mark(GATEWAY + "n2", "ann")  # drained before: it has ended
    assert drains(world, ["b0"], [], timeout=5.0)[0] is Result.DONE


def test_an_old_list_is_not_counted_as_empty() -> None:
    world = World()
    world.behind = {"n0"}
    result, said = drains(world, ["b0"], [], timeout=3.0)
    assert result is Result.TIMED_OUT and "old list" in said[-1]


def test_no_gateway_at_all_and_no_list_are_an_unreachable_fleet() -> None:
    world = World()
    world.silent = {name: Failed("no answer in time") for name in world.out}
    assert drains(world, ["b0"], [])[0] is Result.UNREACHABLE
    world = World()
    world.list_down = True
    assert drains(world, ["b0"], [])[0] is Result.UNREACHABLE and not world.marks


def test_the_list_may_be_away_once_the_mark_is_there() -> None:
    world = World()
    world.out["n0"] = 2

    def goes_on(call: Call) -> None:
        if isinstance(call, Pause):
            world.list_down = True
            world.out["n0"] -= 1

    world.before = goes_on
    assert drains(world, ["b0"], [])[0] is Result.DONE


def test_an_undrain_before_it_is_done_ends_the_drain() -> None:
    world = World()
    world.out["n0"] = 2

    def undrained(call: Call) -> None:
        if isinstance(call, Pause) and "b0" in world.marks:
            assert plays(Undrain(job(["b0"], [])[0], world.now), world) is Result.DONE

    world.before = undrained
    result, said = drains(world, ["b0"], [])
    assert result is Result.FAILED and "undrained" in said[-1]


def test_of_two_operators_only_one_passes_the_guard() -> None:
    world = World(2)
    world.load = 4.0  # one of two may go
    other = job(["b1"], [])[0]

    def meanwhile(call: Call) -> None:
        if isinstance(call, Mark) and call.id == "b0":
            world.before = lambda call: None
            assert plays(Drain(other, world.now), world) is Result.DONE

    world.backends = {id: replace(b, cell=0) for id, b in world.backends.items()}
    world.before = meanwhile
    result, said = drains(world, ["b0"], [])
    assert result is Result.REFUSED and list(world.marks) == ["b1"]


def test_a_list_that_never_stands_still_is_given_up() -> None:
    world = World()

    def changes(call: Call) -> None:
        if isinstance(call, Mark):
            world.generation += 1

    world.before = changes
    result, said = drains(world, ["b0"], [])
    assert result is Result.REFUSED and "kept changing" in said[-1] and not world.marks


def test_force_passes_the_guard_and_says_so_and_a_dry_run_changes_nothing() -> None:
    world = World(1)
    assert drains(world, ["b0"], [])[0] is Result.REFUSED
    assert drains(world, ["b0"], [], force=True, dry_run=True)[0] is Result.DONE and not world.marks
    result, said = drains(world, ["b0"], [], force=True)
    assert result is Result.DONE and said[0].startswith("forced, though 0 backends would serve")


def test_what_is_not_in_the_list_is_bad_use() -> None:
    world = World()
    assert drains(world, ["nobody"], [])[0] is Result.BAD_USE and not world.marks
    assert plays(Undrain(job(["nobody"], [])[0], 0.0), world) is Result.BAD_USE


# gateways and machines


def test_a_gateway_ends_with_its_last_word() -> None:
    world = World()
    result, said = drains(world, [], ["n1"])
    assert (
        result is Result.DONE and GATEWAY + "n1" in world.marks and said[-1] == "n1 ends, with nothing open"
    )


@pytest.mark.parametrize(
    ("phases", "why"),
    [
        (["lame duck", Failed("refused", refused=True)], "without its last word"),
        (["lame duck", "serving"], "undrained"),
    ],
)
def test_a_gateway_that_dies_or_is_taken_back_half_way_is_told(phases: list[Any], why: str) -> None:
    world = World()

    def begins(call: Call) -> None:
        if isinstance(call, Ask) and (call.gateway, call.line) == ("n1", "DRAIN"):
            world.phases["n1"] = list(phases)

    world.before = begins
    result, said = drains(world, [], ["n1"])
    assert result is Result.FAILED and why in said[-1]


def test_a_gateway_that_is_started_again_half_way_is_told() -> None:
    world = World()

    def again(call: Call) -> None:
        if isinstance(call, Pause):
            world.started["n1"] = 2.0

    world.before = again
    result, said = drains(world, [], ["n1"])
    assert result is Result.FAILED and "started again" in said[-1]


NEW = "127.0.0.1:9101"  # the console of a successor
GONE = Failed("refused", refused=True)


def upgraded(world: World, phases: list[Any], old: list[Any]) -> None:
    """From now on n1 is handed over to a process that is as scripted."""
    world.phases[NEW], world.started[NEW], world.out[NEW] = phases, 2.0, 0
    world.phases["n1"], world.successors["n1"] = old, NEW


def test_a_lame_duck_that_is_handed_over_is_followed_to_the_end_of_its_successor() -> None:
    world = World()

    def upgrades(call: Call) -> None:
        if isinstance(call, Pause) and not world.successors:
            upgraded(world, ["lame duck", "closing", "empty"], ["handed over", "handed over", GONE])

    world.before = upgrades
    result, said = drains(world, [], ["n1"])
    assert result is Result.DONE, said
    assert f"n1 was handed over to a successor, with its console at {NEW}" in said
    assert said[-1] == "n1 ends, with nothing open" and not world.phases["n1"][1:]


def test_a_successor_that_ends_before_its_predecessor_is_not_the_end() -> None:
    world = World()

    def upgrades(call: Call) -> None:
        if isinstance(call, Pause) and world.phases["n1"][0] == "closing":
            upgraded(world, ["empty", GONE], ["handed over", "handed over", "handed over"])
        elif isinstance(call, Pause) and world.phases["n1"] == ["handed over"] and world.successors:
            world.successors, world.phases["n1"] = {}, ["lame duck", "empty"]  # it has taken it back

    world.before = upgrades
    result, said = drains(world, [], ["n1"])
    assert result is Result.DONE and said[-1] == "n1 ends, with nothing open"
    assert "waiting: n1 is empty with 0 open" in said and world.phases["n1"] == ["empty"]


def test_the_command_run_again_after_an_upgrade_finds_the_successor() -> None:
    world, memory = World(), dict[str, Any]()

    def upgrades(call: Call) -> None:
        if isinstance(call, Pause) and not world.successors:
            upgraded(world, ["lame duck"] * 9, ["handed over"])
        elif isinstance(call, Pause):
            raise KeyboardInterrupt  # the command is killed

    world.before = upgrades
    with pytest.raises(KeyboardInterrupt):
        plays(Drain(job([], ["n1"], memory=memory)[0], world.now), world)
    world.before = lambda call: None
    world.silent["n1"], world.phases[NEW] = GONE, ["lame duck", "lame duck", "empty"]
    again, said = job([], ["n1"], memory=memory)
    assert plays(Drain(again, world.now), world) is Result.DONE and said[-1].startswith("n1 ends")
    back, said = job([], ["n1"], memory=memory)
    assert plays(Undrain(back, world.now), world) is Result.DONE and world.phases[NEW] == ["serving"]


def test_a_process_started_beside_one_that_closes_is_told() -> None:
    world = World()

    def starts(call: Call) -> None:
        if isinstance(call, Pause):
            upgraded(world, ["serving"], ["closing"])

    world.before = starts
    result, said = drains(world, [], ["n1"])
    assert result is Result.FAILED and f"another process was started at {NEW}" in said[-1]


def test_a_backend_is_not_empty_before_a_gateways_successor_says_so_too() -> None:
    world = World()
    upgraded(world, ["serving"], ["handed over"])
    world.out[NEW] = 1
    result, said = drains(world, ["b0"], [], timeout=5.0)
    assert result is Result.TIMED_OUT and "b0 at n1: 1 out" in said[-1]
    world.out[NEW], world.out["n1"] = 0, 1
    assert drains(world, ["b0"], [], timeout=5.0)[0] is Result.TIMED_OUT
    world.out["n1"] = 0
    assert drains(world, ["b0"], [], timeout=5.0)[0] is Result.DONE


def test_a_gateway_that_can_not_be_asked_at_first_is_left_alone() -> None:
    world = World()
    world.silent["n1"] = Failed("an answer out of form")
    result, said = drains(world, [], ["n1"])
    assert result is Result.UNREACHABLE and not world.marks


def test_the_last_ready_gateway_is_not_drained() -> None:
    world = World()
    assert drains(world, [], ["n0"])[0] is Result.DONE
    assert drains(world, [], ["n1"])[0] is Result.DONE
    assert drains(world, [], ["n2"])[0] is Result.REFUSED and world.phases["n2"] == ["serving"]


def test_a_machine_goes_backends_first_and_the_whole_of_it_under_one_guard() -> None:
    world = World()
    result, said = drains(world, ["b0", "b1"], ["n0"])
    assert result is Result.DONE and list(world.marks) == ["b0", "b1", GATEWAY + "n0"]
    world = World(3)
    world.load = 6.0  # one may go, two may not
    assert drains(world, ["b0", "b1"], ["n0"])[0] is Result.REFUSED and not world.marks


@pytest.mark.parametrize("most", range(0, 14))
def test_killed_after_any_round_and_run_again_it_comes_to_the_same_end(most: int) -> None:
    world, memory = World(), dict[str, Any]()
    world.out["n1"] = 2

    def goes_on(call: Call) -> None:
        if isinstance(call, Pause):
            world.out["n1"] = max(world.out["n1"] - 1, 0)

    world.before = goes_on
    made = job(["b0", "b1"], ["n0"], memory=memory)[0]
    try:
        plays(Drain(made, world.now), world, most)
    except KeyboardInterrupt:
        pass
    again, said = job(["b0", "b1"], ["n0"], memory=memory)
    result = plays(Drain(again, world.now), world)
    assert list(world.marks) == ["b0", "b1", GATEWAY + "n0"] and world.backends["b1"].lifecycle == "DRAINING"
    assert result is Result.DONE, said
    assert [c for c in world.calls if isinstance(c, Mark)] == [
        Mark("b0", 10, 50),
        Mark("b1", 11, 51),
        Mark(GATEWAY + "n0", None, 52),
    ]


def test_undrain_puts_all_back_also_before_the_drain_is_done() -> None:
    world, memory = World(), dict[str, Any]()
    made = job(["b0"], ["n0"], memory=memory, wait=False)[0]
    assert plays(Drain(made, world.now), world) is Result.DONE and world.phases["n0"][0] == "lame duck"
    again, said = job(["b0"], ["n0"], memory=memory)
    assert plays(Undrain(again, world.now), world) is Result.DONE
    assert not world.marks and world.phases["n0"] == ["serving"] and not memory


# guards


def listed(*backends: tuple[str, int, str, float]) -> List:
    made = {
        f"b{n}": Listed(life, zone, cell, weight, 1) for n, (life, cell, zone, weight) in enumerate(backends)
    }
    return List(1, made, {})


S, D = "SERVING", "DRAINING"


@pytest.mark.parametrize(
    ("backends", "ids", "load", "why"),
    [
        ([(S, 0, "a", 1.0), (S, 0, "a", 1.0)], ["b0"], 4.0, ""),
        ([(S, 0, "a", 1.0), (S, 0, "a", 1.0)], ["b0"], 5.1, "load is 5.1"),
        ([(S, 0, "a", 1.0), (S, 0, "a", 3.0)], ["b0"], 15.0, ""),
        ([(S, 0, "a", 1.0), (S, 0, "a", 1.0)], ["b0"], None, "not known"),
        ([(S, 0, "a", 1.0), (D, 0, "a", 1.0)], ["b0"], 0.0, "0 backends would serve"),
        ([(S, 0, "a", 1.0), (S, 0, "a", 1.0)], ["b0", "b1"], 0.0, "0 backends would serve"),
        ([(S, 0, "a", 1.0), (S, 1, "a", 1.0)], ["b0"], 0.0, "cell 0 would have 0"),
        ([(S, 0, "a", 1.0), (S, 0, "b", 1.0)], ["b0"], 0.0, "zone 'a' would have 0"),
        ([(S, 0, "a", 1.0), (D, 1, "b", 1.0)], ["b1"], 99.0, ""),  # it serves no more: nothing is taken away
    ],
)
def test_what_the_guard_of_backends_refuses(
    backends: list[tuple[str, int, str, float]], ids: list[str], load: float | None, why: str
) -> None:
    reasons = backends_left(Guards(10.0, 0.5), listed(*backends), ids, load)
    assert (why in "; ".join(reasons)) if why else not reasons


def test_what_the_guard_of_gateways_refuses() -> None:
    assert not gateways_left(Guards(1.0, least_gateways=2), ["n0", "n1", "n2"], ["n0"])
    assert gateways_left(Guards(1.0, least_gateways=2), ["n0", "n1"], ["n0"])
    assert gateways_left(Guards(1.0, least_gateways=0), ["n0"], ["n0"])  # never none


# the fleet file


def test_a_fleet_file_is_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(
        'directory = ["127.0.0.1:8500"]\n[guards]\nbackend_rate = 12\n[[gateway]]\nname = "n0"\n'
        'machine = "m0"\nconsole = "127.0.0.1:9000"\n'
    )
    found = read_fleet(path)
    assert found.gateways[0].console == "127.0.0.1:9000" and found.guards.backend_rate == 12
    for text in ("directory = [", "\xff", ""):
        path.write_bytes(text.encode("latin-1"))
        with pytest.raises(BadFleet, match="fleet.toml"):
            read_fleet(path)
    with pytest.raises(BadFleet, match="No such file"):
        read_fleet(tmp_path / "none.toml")


@pytest.mark.parametrize(
    ("key", "wrong", "why"),
    [
        ("directory", [], "directory"),
        ("directory", "127.0.0.1:1", "directory"),
        ("directory", ["nowhere"], "host:port"),
        ("gateway", [], "gateway"),
        ("gateway", {}, "list of tables"),
        ("gateway", [{"name": "n0"}], "machine"),
        ("gateway", [{"name": "n 0", "machine": "m", "console": "h:1"}], "name"),
        ("gateway", [{"name": "n0", "machine": "m", "console": "h:0"}], "console"),
        ("gateway", [{"name": "n0", "machine": "m", "console": "h:1", "port": 1}], "unknown key"),
        ("gateway", [{"name": "n0", "machine": "m", "console": f"h:{n}"} for n in (1, 2)], "stands twice"),
        ("gateway", [{"name": f"n{n}", "machine": "m", "console": "h:1"} for n in (1, 2)], "stands twice"),
        ("backend", [{"name": "b", "machine": "m"}] * 2, "stands twice"),
        ("guards", None, "guards"),
        ("guards", {}, "backend_rate"),
        ("guards", {"backend_rate": 0}, "above nought"),
        ("guards", {"backend_rate": True}, "above nought"),
        ("guards", {"backend_rate": 1, "headroom": 2}, "at most 1"),
        ("guards", {"backend_rate": 1, "least_cell": 0.5}, "whole number"),
        ("guards", {"backend_rate": 1, "x": 1}, "unknown"),
        ("odd", 1, "unknown key"),
    ],
)
def test_a_fleet_file_out_of_form_is_told(key: str, wrong: Any, why: str) -> None:
    with pytest.raises(BadFleet, match=why):
        build_fleet({**FLEET, key: wrong})
