"""The operators' procedures on a scripted fleet and clock, their guards, and the fleet file."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from embersill.ops.fleet import InvalidFleetFile, Fleet, Guards, build_fleet, read_fleet
from embersill.ops.guards import (
    GATEWAY_PREFIX,
    InstanceList,
    ListedBackend,
    backend_guard_violations,
    gateway_guard_violations,
)
from embersill.ops.procedure import (
    Call,
    CallFailed,
    ClearDrainMark,
    Conflict,
    ConsoleCommand,
    Drain,
    Job,
    Pause,
    Procedure,
    ProcedureEnded,
    ReadList,
    ReadLoad,
    Result,
    SetDrainMark,
    Undrain,
)

FLEET_FILE = {
    "directory": ["127.0.0.1:8500"],
    "gateway": [{"name": f"n{n}", "machine": f"m{n}", "console": f"127.0.0.1:{9000 + n}"} for n in range(3)],
    "backend": [{"name": "b0", "machine": "m0"}, {"name": "b1", "machine": "m0"}],
    "guards": {"backend_rate": 10.0, "headroom": 0.5},
}


class SimulatedFleet:
    """A list service and gateways that do as they are scripted; time passes only in pauses."""

    def __init__(self, backends: int = 6) -> None:
        self.now, self.generation, self.load = 100.0, 50, 5.0
        self.backends = {f"b{n}": ListedBackend("SERVING", "z", n % 2, 1.0, 10 + n) for n in range(backends)}
        self.marks: dict[str, tuple[str, int]] = {}
        self.attempts_in_flight = {f"n{n}": 0 for n in range(3)}
        self.with_old_list: set[str] = set()  # gateways with the list of the beginning
        self.phases: dict[str, list[Any]] = {f"n{n}": ["serving"] for n in range(3)}
        self.started = {f"n{n}": 1.0 for n in range(3)}
        self.call_failures: dict[str, CallFailed] = {}
        self.successors: dict[str, str] = {}  # by a gateway's name, or the console of a later process of it
        self.list_down = False
        self.calls: list[Call] = []
        self.before_call: Callable[[Call], None] = (
            lambda call: None
        )  # what happens just before a call arrives

    def answer(self, call: Call) -> Any:
        self.before_call(call)
        self.calls.append(call)
        if isinstance(call, Pause):
            self.now += call.seconds
            return None
        if isinstance(call, ReadLoad):
            return self.load
        if isinstance(call, ConsoleCommand):
            first = call.address in ("", f"127.0.0.1:900{call.gateway[1:]}")
            key = call.gateway if first else call.address
            return self.call_failures.get(key) or self.answer_of_console(key, call.line)
        if self.list_down:
            return CallFailed("no answer in time")
        if isinstance(call, ReadList):
            return InstanceList(self.generation, dict(self.backends), dict(self.marks))
        return self.unmark(call) if isinstance(call, ClearDrainMark) else self.mark(call)

    def mark(self, call: SetDrainMark) -> Any:
        if call.generation != self.generation:
            return Conflict(f"the list is at {self.generation}")
        return self.set_mark(call.id, "ann")

    def set_mark(self, id: str, by: str) -> int:
        self.generation += 1
        self.marks[id] = (by, self.generation)
        if id in self.backends:
            b = self.backends[id]
            self.backends[id] = ListedBackend("DRAINING", b.zone, b.cell, b.weight, self.generation, by)
        return self.generation

    def unmark(self, call: ClearDrainMark) -> Any:
        if self.marks.get(call.id, ("", 0))[1] != call.version:
            return Conflict("the version is another")
        del self.marks[call.id]
        self.generation += 1
        return {}

    def answer_of_console(self, gateway: str, line: str) -> Any:
        told = self.answer_of_process(gateway, line)
        if gateway in self.successors and not isinstance(told, CallFailed):
            if line == "DRAIN":
                return CallFailed(f"handed over to a successor {self.successors[gateway]}")
            told["successor"] = self.successors[gateway]
        return told

    def answer_of_process(self, gateway: str, line: str) -> Any:
        if line.startswith("OUT"):
            old = gateway in self.with_old_list
            return {
                "state": "serving" if old else "draining",
                "out": self.attempts_in_flight[gateway],
                "list": 50 if old else self.generation,
            }
        if line == "DRAIN" and self.phases[gateway] == ["serving"]:
            self.phases[gateway] = [
                "lame duck",
                "closing",
                "empty",
                CallFailed("refused", connection_refused=True),
            ]
        if line == "SERVE":
            self.phases[gateway] = ["serving"]
        script = self.phases[gateway]
        phase = script.pop(0) if line == "PHASE" and len(script) > 1 else script[0]
        if isinstance(phase, CallFailed):
            return phase
        return {
            "phase": phase,
            "open": 0 if phase == "empty" else 2,
            "ready": phase == "serving",
            "started": self.started[gateway],
        }


def run_procedure(procedure: Procedure, world: SimulatedFleet, most: int = 10**6) -> Result:
    """To its end, or until it is killed after so many rounds."""
    rounds = procedure.run()
    try:
        calls = next(rounds)
        for _ in range(most):
            results = [world.answer(call) for call in calls]
            calls = rounds.send((world.now, results))
    except StopIteration:
        return Result.DONE
    except ProcedureEnded as end:
        procedure.job.report(f"ended: {end}")
        return end.result
    raise KeyboardInterrupt


def make_job(backends: list[str], gateways: list[str], **more: Any) -> tuple[Job, list[str]]:
    said: list[str] = []
    return Job(make_fleet(), backends, gateways, report=said.append, **more), said


def make_fleet() -> Fleet:
    return build_fleet(FLEET_FILE)


def run_drain(
    world: SimulatedFleet, backends: list[str], gateways: list[str], **more: Any
) -> tuple[Result, list[str]]:
    made, said = make_job(backends, gateways, **more)
    return run_procedure(Drain(made, world.now), world), said


# backends


def test_a_backend_is_empty_once_all_gateways_say_so_in_one_round() -> None:
    world = SimulatedFleet()
    world.attempts_in_flight["n1"], world.with_old_list = 3, {"n2"}

    def goes_on(call: Call) -> None:
        if isinstance(call, Pause):
            world.attempts_in_flight["n1"] -= 1
            if world.attempts_in_flight["n1"] == 0:
                world.with_old_list.clear()
                world.attempts_in_flight["n0"] = 0

    world.before_call = goes_on
    result, said = run_drain(world, ["b0"], [])
    assert result is Result.DONE and world.now > 100 and world.backends["b0"].lifecycle == "DRAINING"
    assert any("3 out" in line for line in said) and "empty" in said[-1]


def test_a_gateway_that_can_not_be_asked_is_named_and_not_counted_as_empty() -> None:
    world = SimulatedFleet()
    world.call_failures["n2"] = CallFailed("no answer in time")
    result, said = run_drain(world, ["b0"], [], timeout=5.0)
    assert result is Result.TIMED_OUT and "b0 at n2: can't be asked" in said[-1] and "n1" not in said[-1]
    assert "b0" in world.marks  # all stays as it is
    world.call_failures["n2"] = CallFailed(
        "nothing listens", connection_refused=True
    )  # it may be starting, with an old list
    assert run_drain(world, ["b0"], [], timeout=5.0)[0] is Result.TIMED_OUT
    world.set_mark(GATEWAY_PREFIX + "n2", "ann")  # drained before: it has ended
    assert run_drain(world, ["b0"], [], timeout=5.0)[0] is Result.DONE


def test_an_old_list_is_not_counted_as_empty() -> None:
    world = SimulatedFleet()
    world.with_old_list = {"n0"}
    result, said = run_drain(world, ["b0"], [], timeout=3.0)
    assert result is Result.TIMED_OUT and "old list" in said[-1]


def test_no_gateway_at_all_and_no_list_are_an_unreachable_fleet() -> None:
    world = SimulatedFleet()
    world.call_failures = {name: CallFailed("no answer in time") for name in world.attempts_in_flight}
    assert run_drain(world, ["b0"], [])[0] is Result.UNREACHABLE
    world = SimulatedFleet()
    world.list_down = True
    assert run_drain(world, ["b0"], [])[0] is Result.UNREACHABLE and not world.marks


def test_the_list_may_be_away_once_the_mark_is_there() -> None:
    world = SimulatedFleet()
    world.attempts_in_flight["n0"] = 2

    def goes_on(call: Call) -> None:
        if isinstance(call, Pause):
            world.list_down = True
            world.attempts_in_flight["n0"] -= 1

    world.before_call = goes_on
    assert run_drain(world, ["b0"], [])[0] is Result.DONE


def test_an_undrain_before_it_is_done_ends_the_drain() -> None:
    world = SimulatedFleet()
    world.attempts_in_flight["n0"] = 2

    def undrained(call: Call) -> None:
        if isinstance(call, Pause) and "b0" in world.marks:
            assert run_procedure(Undrain(make_job(["b0"], [])[0], world.now), world) is Result.DONE

    world.before_call = undrained
    result, said = run_drain(world, ["b0"], [])
    assert result is Result.FAILED and "undrained" in said[-1]


def test_of_two_operators_only_one_passes_the_guard() -> None:
    world = SimulatedFleet(2)
    world.load = 4.0  # one of two may go
    other = make_job(["b1"], [])[0]

    def meanwhile(call: Call) -> None:
        if isinstance(call, SetDrainMark) and call.id == "b0":
            world.before_call = lambda call: None
            assert run_procedure(Drain(other, world.now), world) is Result.DONE

    world.backends = {id: replace(b, cell=0) for id, b in world.backends.items()}
    world.before_call = meanwhile
    result, said = run_drain(world, ["b0"], [])
    assert result is Result.REFUSED and list(world.marks) == ["b1"]


def test_a_list_that_never_stands_still_is_given_up() -> None:
    world = SimulatedFleet()

    def changes(call: Call) -> None:
        if isinstance(call, SetDrainMark):
            world.generation += 1

    world.before_call = changes
    result, said = run_drain(world, ["b0"], [])
    assert result is Result.REFUSED and "kept changing" in said[-1] and not world.marks


def test_force_passes_the_guard_and_says_so_and_a_dry_run_changes_nothing() -> None:
    world = SimulatedFleet(1)
    assert run_drain(world, ["b0"], [])[0] is Result.REFUSED
    assert run_drain(world, ["b0"], [], force=True, dry_run=True)[0] is Result.DONE and not world.marks
    result, said = run_drain(world, ["b0"], [], force=True)
    assert result is Result.DONE and said[0].startswith("forced, though 0 backends would serve")


def test_what_is_not_in_the_list_is_bad_use() -> None:
    world = SimulatedFleet()
    assert run_drain(world, ["nobody"], [])[0] is Result.BAD_USE and not world.marks
    assert run_procedure(Undrain(make_job(["nobody"], [])[0], 0.0), world) is Result.BAD_USE


# gateways and machines


def test_a_gateway_ends_with_its_last_word() -> None:
    world = SimulatedFleet()
    result, said = run_drain(world, [], ["n1"])
    assert (
        result is Result.DONE
        and GATEWAY_PREFIX + "n1" in world.marks
        and said[-1] == "n1 ends, with nothing open"
    )


@pytest.mark.parametrize(
    ("phases", "why"),
    [
        (["lame duck", CallFailed("refused", connection_refused=True)], "without its last word"),
        (["lame duck", "serving"], "undrained"),
    ],
)
def test_a_gateway_that_dies_or_is_taken_back_half_way_is_told(phases: list[Any], why: str) -> None:
    world = SimulatedFleet()

    def begins(call: Call) -> None:
        if isinstance(call, ConsoleCommand) and (call.gateway, call.line) == ("n1", "DRAIN"):
            world.phases["n1"] = list(phases)

    world.before_call = begins
    result, said = run_drain(world, [], ["n1"])
    assert result is Result.FAILED and why in said[-1]


def test_a_gateway_that_is_started_again_half_way_is_told() -> None:
    world = SimulatedFleet()

    def again(call: Call) -> None:
        if isinstance(call, Pause):
            world.started["n1"] = 2.0

    world.before_call = again
    result, said = run_drain(world, [], ["n1"])
    assert result is Result.FAILED and "started again" in said[-1]


SUCCESSOR_CONSOLE = "127.0.0.1:9101"  # the console of a successor
NOT_RUNNING = CallFailed("refused", connection_refused=True)


def hand_over(world: SimulatedFleet, phases: list[Any], old: list[Any]) -> None:
    """From now on n1 is handed over to a process that is as scripted."""
    (
        world.phases[SUCCESSOR_CONSOLE],
        world.started[SUCCESSOR_CONSOLE],
        world.attempts_in_flight[SUCCESSOR_CONSOLE],
    ) = phases, 2.0, 0
    world.phases["n1"], world.successors["n1"] = old, SUCCESSOR_CONSOLE


def test_a_lame_duck_that_is_handed_over_is_followed_to_the_end_of_its_successor() -> None:
    world = SimulatedFleet()

    def upgrades(call: Call) -> None:
        if isinstance(call, Pause) and not world.successors:
            hand_over(world, ["lame duck", "closing", "empty"], ["handed over", "handed over", NOT_RUNNING])

    world.before_call = upgrades
    result, said = run_drain(world, [], ["n1"])
    assert result is Result.DONE, said
    assert f"n1 was handed over to a successor, with its console at {SUCCESSOR_CONSOLE}" in said
    assert said[-1] == "n1 ends, with nothing open" and not world.phases["n1"][1:]


def test_a_successor_that_ends_before_its_predecessor_is_not_the_end() -> None:
    world = SimulatedFleet()

    def upgrades(call: Call) -> None:
        if isinstance(call, Pause) and world.phases["n1"][0] == "closing":
            hand_over(world, ["empty", NOT_RUNNING], ["handed over", "handed over", "handed over"])
        elif isinstance(call, Pause) and world.phases["n1"] == ["handed over"] and world.successors:
            world.successors, world.phases["n1"] = {}, ["lame duck", "empty"]  # it has taken it back

    world.before_call = upgrades
    result, said = run_drain(world, [], ["n1"])
    assert result is Result.DONE and said[-1] == "n1 ends, with nothing open"
    assert "waiting: n1 is empty with 0 open" in said and world.phases["n1"] == ["empty"]


def test_the_command_run_again_after_an_upgrade_finds_the_successor() -> None:
    world, memory = SimulatedFleet(), dict[str, Any]()

    def upgrades(call: Call) -> None:
        if isinstance(call, Pause) and not world.successors:
            hand_over(world, ["lame duck"] * 9, ["handed over"])
        elif isinstance(call, Pause):
            raise KeyboardInterrupt  # the command is killed

    world.before_call = upgrades
    with pytest.raises(KeyboardInterrupt):
        run_procedure(Drain(make_job([], ["n1"], memory=memory)[0], world.now), world)
    world.before_call = lambda call: None
    world.call_failures["n1"], world.phases[SUCCESSOR_CONSOLE] = (
        NOT_RUNNING,
        ["lame duck", "lame duck", "empty"],
    )
    again, said = make_job([], ["n1"], memory=memory)
    assert run_procedure(Drain(again, world.now), world) is Result.DONE and said[-1].startswith("n1 ends")
    back, said = make_job([], ["n1"], memory=memory)
    assert run_procedure(Undrain(back, world.now), world) is Result.DONE and world.phases[
        SUCCESSOR_CONSOLE
    ] == ["serving"]


def test_a_process_started_beside_one_that_closes_is_told() -> None:
    world = SimulatedFleet()

    def starts(call: Call) -> None:
        if isinstance(call, Pause):
            hand_over(world, ["serving"], ["closing"])

    world.before_call = starts
    result, said = run_drain(world, [], ["n1"])
    assert result is Result.FAILED and f"another process was started at {SUCCESSOR_CONSOLE}" in said[-1]


def test_a_backend_is_not_empty_before_a_gateways_successor_says_so_too() -> None:
    world = SimulatedFleet()
    hand_over(world, ["serving"], ["handed over"])
    world.attempts_in_flight[SUCCESSOR_CONSOLE] = 1
    result, said = run_drain(world, ["b0"], [], timeout=5.0)
    assert result is Result.TIMED_OUT and "b0 at n1: 1 out" in said[-1]
    world.attempts_in_flight[SUCCESSOR_CONSOLE], world.attempts_in_flight["n1"] = 0, 1
    assert run_drain(world, ["b0"], [], timeout=5.0)[0] is Result.TIMED_OUT
    world.attempts_in_flight["n1"] = 0
    assert run_drain(world, ["b0"], [], timeout=5.0)[0] is Result.DONE


def test_a_gateway_that_can_not_be_asked_at_first_is_left_alone() -> None:
    world = SimulatedFleet()
    world.call_failures["n1"] = CallFailed("an answer out of form")
    result, said = run_drain(world, [], ["n1"])
    assert result is Result.UNREACHABLE and not world.marks


def test_the_last_ready_gateway_is_not_drained() -> None:
    world = SimulatedFleet()
    assert run_drain(world, [], ["n0"])[0] is Result.DONE
    assert run_drain(world, [], ["n1"])[0] is Result.DONE
    assert run_drain(world, [], ["n2"])[0] is Result.REFUSED and world.phases["n2"] == ["serving"]


def test_a_machine_goes_backends_first_and_the_whole_of_it_under_one_guard() -> None:
    world = SimulatedFleet()
    result, said = run_drain(world, ["b0", "b1"], ["n0"])
    assert result is Result.DONE and list(world.marks) == ["b0", "b1", GATEWAY_PREFIX + "n0"]
    world = SimulatedFleet(3)
    world.load = 6.0  # one may go, two may not
    assert run_drain(world, ["b0", "b1"], ["n0"])[0] is Result.REFUSED and not world.marks


@pytest.mark.parametrize("most", range(0, 14))
def test_killed_after_any_round_and_run_again_it_comes_to_the_same_end(most: int) -> None:
    world, memory = SimulatedFleet(), dict[str, Any]()
    world.attempts_in_flight["n1"] = 2

    def goes_on(call: Call) -> None:
        if isinstance(call, Pause):
            world.attempts_in_flight["n1"] = max(world.attempts_in_flight["n1"] - 1, 0)

    world.before_call = goes_on
    made = make_job(["b0", "b1"], ["n0"], memory=memory)[0]
    try:
        run_procedure(Drain(made, world.now), world, most)
    except KeyboardInterrupt:
        pass
    again, said = make_job(["b0", "b1"], ["n0"], memory=memory)
    result = run_procedure(Drain(again, world.now), world)
    assert (
        list(world.marks) == ["b0", "b1", GATEWAY_PREFIX + "n0"]
        and world.backends["b1"].lifecycle == "DRAINING"
    )
    assert result is Result.DONE, said
    assert [c for c in world.calls if isinstance(c, SetDrainMark)] == [
        SetDrainMark("b0", 10, 50),
        SetDrainMark("b1", 11, 51),
        SetDrainMark(GATEWAY_PREFIX + "n0", None, 52),
    ]


def test_undrain_puts_all_back_also_before_the_drain_is_done() -> None:
    world, memory = SimulatedFleet(), dict[str, Any]()
    made = make_job(["b0"], ["n0"], memory=memory, wait=False)[0]
    assert (
        run_procedure(Drain(made, world.now), world) is Result.DONE and world.phases["n0"][0] == "lame duck"
    )
    again, said = make_job(["b0"], ["n0"], memory=memory)
    assert run_procedure(Undrain(again, world.now), world) is Result.DONE
    assert not world.marks and world.phases["n0"] == ["serving"] and not memory


# guards


def make_list(*backends: tuple[str, int, str, float]) -> InstanceList:
    made = {
        f"b{n}": ListedBackend(life, zone, cell, weight, 1)
        for n, (life, cell, zone, weight) in enumerate(backends)
    }
    return InstanceList(1, made, {})


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
    reasons = backend_guard_violations(Guards(10.0, 0.5), make_list(*backends), ids, load)
    assert (why in "; ".join(reasons)) if why else not reasons


def test_what_the_guard_of_gateways_refuses() -> None:
    assert not gateway_guard_violations(Guards(1.0, least_gateways=2), ["n0", "n1", "n2"], ["n0"])
    assert gateway_guard_violations(Guards(1.0, least_gateways=2), ["n0", "n1"], ["n0"])
    assert gateway_guard_violations(Guards(1.0, least_gateways=0), ["n0"], ["n0"])  # never none


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
        with pytest.raises(InvalidFleetFile, match="fleet.toml"):
            read_fleet(path)
    with pytest.raises(InvalidFleetFile, match="No such file"):
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
    with pytest.raises(InvalidFleetFile, match=why):
        build_fleet({**FLEET_FILE, key: wrong})
