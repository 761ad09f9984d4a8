"""The operators' procedures on a simulated fleet and clock, their guards, and the fleet file."""

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
    """A list service and gateways with scripted answers; the clock advances only in pauses."""

    def __init__(self, backends: int = 6) -> None:
        self.now, self.generation, self.load = 100.0, 50, 5.0
        self.backends = {f"b{n}": ListedBackend("SERVING", "z", n % 2, 1.0, 10 + n) for n in range(backends)}
        self.marks: dict[str, tuple[str, int]] = {}
        self.attempts_in_flight = {f"n{n}": 0 for n in range(3)}
        self.with_old_list: set[str] = set()  # gateways whose list is that of the start
        self.phases: dict[str, list[Any]] = {f"n{n}": ["serving"] for n in range(3)}
        self.started = {f"n{n}": 1.0 for n in range(3)}
        self.call_failures: dict[str, CallFailed] = {}
        self.successors: dict[str, str] = {}  # by a gateway's name, or the console of a later process of it
        self.list_down = False
        self.calls: list[Call] = []
        # Called before each call is answered, to change the fleet's state.
        self.before_call: Callable[[Call], None] = lambda call: None

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
        answer = self.answer_of_process(gateway, line)
        if gateway in self.successors and not isinstance(answer, CallFailed):
            if line == "DRAIN":
                return CallFailed(f"handed over to a successor {self.successors[gateway]}")
            answer["successor"] = self.successors[gateway]
        return answer

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


def run_procedure(procedure: Procedure, fleet: SimulatedFleet, max_rounds: int = 10**6) -> Result:
    """Runs a procedure to its end, or raises KeyboardInterrupt after `max_rounds`, as if it was killed."""
    rounds = procedure.run()
    try:
        calls = next(rounds)
        for _ in range(max_rounds):
            results = [fleet.answer(call) for call in calls]
            calls = rounds.send((fleet.now, results))
    except StopIteration:
        return Result.DONE
    except ProcedureEnded as end:
        procedure.job.report(f"ended: {end}")
        return end.result
    raise KeyboardInterrupt


def make_job(backends: list[str], gateways: list[str], **options: Any) -> tuple[Job, list[str]]:
    reported: list[str] = []
    return Job(make_fleet(), backends, gateways, report=reported.append, **options), reported


def make_fleet() -> Fleet:
    return build_fleet(FLEET_FILE)


def run_drain(
    fleet: SimulatedFleet, backends: list[str], gateways: list[str], **options: Any
) -> tuple[Result, list[str]]:
    job, reported = make_job(backends, gateways, **options)
    return run_procedure(Drain(job, fleet.now), fleet), reported


# backends


def test_a_backend_is_empty_once_all_gateways_report_so_in_the_same_round() -> None:
    fleet = SimulatedFleet()
    fleet.attempts_in_flight["n1"], fleet.with_old_list = 3, {"n2"}

    def finish_an_attempt(call: Call) -> None:
        if isinstance(call, Pause):
            fleet.attempts_in_flight["n1"] -= 1
            if fleet.attempts_in_flight["n1"] == 0:
                fleet.with_old_list.clear()
                fleet.attempts_in_flight["n0"] = 0

    fleet.before_call = finish_an_attempt
    result, reported = run_drain(fleet, ["b0"], [])
    assert result is Result.DONE and fleet.now > 100 and fleet.backends["b0"].lifecycle == "DRAINING"
    assert any("3 out" in line for line in reported) and "empty" in reported[-1]


def test_a_gateway_that_cannot_be_asked_is_reported_and_not_counted_as_empty() -> None:
    fleet = SimulatedFleet()
    fleet.call_failures["n2"] = CallFailed("no answer in time")
    result, reported = run_drain(fleet, ["b0"], [], timeout=5.0)
    assert (
        result is Result.TIMED_OUT and "b0 at n2: can't be asked" in reported[-1] and "n1" not in reported[-1]
    )
    assert "b0" in fleet.marks  # the drain goes on
    # It may be starting, with an old list.
    fleet.call_failures["n2"] = CallFailed("nothing listens", connection_refused=True)
    assert run_drain(fleet, ["b0"], [], timeout=5.0)[0] is Result.TIMED_OUT
    fleet.set_mark(GATEWAY_PREFIX + "n2", "ann")  # it was drained, so it has ended
    assert run_drain(fleet, ["b0"], [], timeout=5.0)[0] is Result.DONE


def test_an_old_list_is_not_counted_as_empty() -> None:
    fleet = SimulatedFleet()
    fleet.with_old_list = {"n0"}
    result, reported = run_drain(fleet, ["b0"], [], timeout=3.0)
    assert result is Result.TIMED_OUT and "old list" in reported[-1]


def test_without_any_gateway_or_without_the_list_the_fleet_is_unreachable() -> None:
    fleet = SimulatedFleet()
    fleet.call_failures = {name: CallFailed("no answer in time") for name in fleet.attempts_in_flight}
    assert run_drain(fleet, ["b0"], [])[0] is Result.UNREACHABLE
    fleet = SimulatedFleet()
    fleet.list_down = True
    assert run_drain(fleet, ["b0"], [])[0] is Result.UNREACHABLE and not fleet.marks


def test_a_drain_goes_on_without_the_list_once_the_mark_is_set() -> None:
    fleet = SimulatedFleet()
    fleet.attempts_in_flight["n0"] = 2

    def finish_an_attempt(call: Call) -> None:
        if isinstance(call, Pause):
            fleet.list_down = True
            fleet.attempts_in_flight["n0"] -= 1

    fleet.before_call = finish_an_attempt
    assert run_drain(fleet, ["b0"], [])[0] is Result.DONE


def test_an_undrain_by_another_operator_ends_the_drain() -> None:
    fleet = SimulatedFleet()
    fleet.attempts_in_flight["n0"] = 2

    def undrain(call: Call) -> None:
        if isinstance(call, Pause) and "b0" in fleet.marks:
            assert run_procedure(Undrain(make_job(["b0"], [])[0], fleet.now), fleet) is Result.DONE

    fleet.before_call = undrain
    result, reported = run_drain(fleet, ["b0"], [])
    assert result is Result.FAILED and "undrained" in reported[-1]


def test_of_two_concurrent_drains_only_one_passes_the_guard() -> None:
    fleet = SimulatedFleet(2)
    fleet.load = 4.0  # one of two may be drained
    other = make_job(["b1"], [])[0]

    def drain_the_other(call: Call) -> None:
        if isinstance(call, SetDrainMark) and call.id == "b0":
            fleet.before_call = lambda call: None
            assert run_procedure(Drain(other, fleet.now), fleet) is Result.DONE

    fleet.backends = {id: replace(b, cell=0) for id, b in fleet.backends.items()}
    fleet.before_call = drain_the_other
    result, reported = run_drain(fleet, ["b0"], [])
    assert result is Result.REFUSED and list(fleet.marks) == ["b1"]


def test_a_drain_is_refused_if_the_list_keeps_changing() -> None:
    fleet = SimulatedFleet()

    def change_the_list(call: Call) -> None:
        if isinstance(call, SetDrainMark):
            fleet.generation += 1

    fleet.before_call = change_the_list
    result, reported = run_drain(fleet, ["b0"], [])
    assert result is Result.REFUSED and "kept changing" in reported[-1] and not fleet.marks


def test_force_overrides_the_guard_with_a_report_and_a_dry_run_changes_nothing() -> None:
    fleet = SimulatedFleet(1)
    assert run_drain(fleet, ["b0"], [])[0] is Result.REFUSED
    assert run_drain(fleet, ["b0"], [], force=True, dry_run=True)[0] is Result.DONE and not fleet.marks
    result, reported = run_drain(fleet, ["b0"], [], force=True)
    assert result is Result.DONE and reported[0].startswith("forced, though 0 backends would serve")


def test_an_id_that_is_not_in_the_list_is_bad_use() -> None:
    fleet = SimulatedFleet()
    assert run_drain(fleet, ["nobody"], [])[0] is Result.BAD_USE and not fleet.marks
    assert run_procedure(Undrain(make_job(["nobody"], [])[0], 0.0), fleet) is Result.BAD_USE


# gateways and machines


def test_a_gateway_is_drained_once_it_answers_that_it_is_empty() -> None:
    fleet = SimulatedFleet()
    result, reported = run_drain(fleet, [], ["n1"])
    assert (
        result is Result.DONE
        and GATEWAY_PREFIX + "n1" in fleet.marks
        and reported[-1] == "n1 ends, with nothing open"
    )


@pytest.mark.parametrize(
    ("phases", "why"),
    [
        (["lame duck", CallFailed("refused", connection_refused=True)], "without its last word"),
        (["lame duck", "serving"], "undrained"),
    ],
)
def test_a_gateway_that_crashes_or_is_undrained_during_its_drain_is_reported(
    phases: list[Any], why: str
) -> None:
    fleet = SimulatedFleet()

    def start_phases(call: Call) -> None:
        if isinstance(call, ConsoleCommand) and (call.gateway, call.line) == ("n1", "DRAIN"):
            fleet.phases["n1"] = list(phases)

    fleet.before_call = start_phases
    result, reported = run_drain(fleet, [], ["n1"])
    assert result is Result.FAILED and why in reported[-1]


def test_a_gateway_that_is_restarted_during_its_drain_is_reported() -> None:
    fleet = SimulatedFleet()

    def restart(call: Call) -> None:
        if isinstance(call, Pause):
            fleet.started["n1"] = 2.0

    fleet.before_call = restart
    result, reported = run_drain(fleet, [], ["n1"])
    assert result is Result.FAILED and "started again" in reported[-1]


SUCCESSOR_CONSOLE = "127.0.0.1:9101"
NOT_RUNNING = CallFailed("refused", connection_refused=True)


def hand_over(fleet: SimulatedFleet, phases: list[Any], old: list[Any]) -> None:
    """Hands n1 over to a successor with these phases; `old` are the phases of n1's first process."""
    (
        fleet.phases[SUCCESSOR_CONSOLE],
        fleet.started[SUCCESSOR_CONSOLE],
        fleet.attempts_in_flight[SUCCESSOR_CONSOLE],
    ) = phases, 2.0, 0
    fleet.phases["n1"], fleet.successors["n1"] = old, SUCCESSOR_CONSOLE


def test_a_lame_duck_that_is_handed_over_is_followed_to_the_end_of_its_successor() -> None:
    fleet = SimulatedFleet()

    def upgrade(call: Call) -> None:
        if isinstance(call, Pause) and not fleet.successors:
            hand_over(fleet, ["lame duck", "closing", "empty"], ["handed over", "handed over", NOT_RUNNING])

    fleet.before_call = upgrade
    result, reported = run_drain(fleet, [], ["n1"])
    assert result is Result.DONE, reported
    assert f"n1 was handed over to a successor, with its console at {SUCCESSOR_CONSOLE}" in reported
    assert reported[-1] == "n1 ends, with nothing open" and not fleet.phases["n1"][1:]


def test_a_drain_is_not_done_when_only_the_successor_has_ended() -> None:
    fleet = SimulatedFleet()

    def upgrade(call: Call) -> None:
        if isinstance(call, Pause) and fleet.phases["n1"][0] == "closing":
            hand_over(fleet, ["empty", NOT_RUNNING], ["handed over", "handed over", "handed over"])
        elif isinstance(call, Pause) and fleet.phases["n1"] == ["handed over"] and fleet.successors:
            # The old process has taken the gateway back.
            fleet.successors, fleet.phases["n1"] = {}, ["lame duck", "empty"]

    fleet.before_call = upgrade
    result, reported = run_drain(fleet, [], ["n1"])
    assert result is Result.DONE and reported[-1] == "n1 ends, with nothing open"
    assert "waiting: n1 is empty with 0 open" in reported and fleet.phases["n1"] == ["empty"]


def test_the_command_run_again_after_an_upgrade_finds_the_successor() -> None:
    fleet, saved_state = SimulatedFleet(), dict[str, Any]()

    def upgrade(call: Call) -> None:
        if isinstance(call, Pause) and not fleet.successors:
            hand_over(fleet, ["lame duck"] * 9, ["handed over"])
        elif isinstance(call, Pause):
            raise KeyboardInterrupt  # the command is killed

    fleet.before_call = upgrade
    with pytest.raises(KeyboardInterrupt):
        run_procedure(Drain(make_job([], ["n1"], saved_state=saved_state)[0], fleet.now), fleet)
    fleet.before_call = lambda call: None
    fleet.call_failures["n1"], fleet.phases[SUCCESSOR_CONSOLE] = (
        NOT_RUNNING,
        ["lame duck", "lame duck", "empty"],
    )
    second_job, reported = make_job([], ["n1"], saved_state=saved_state)
    assert run_procedure(Drain(second_job, fleet.now), fleet) is Result.DONE and reported[-1].startswith(
        "n1 ends"
    )
    undrain_job, reported = make_job([], ["n1"], saved_state=saved_state)
    assert run_procedure(Undrain(undrain_job, fleet.now), fleet) is Result.DONE and fleet.phases[
        SUCCESSOR_CONSOLE
    ] == ["serving"]


def test_a_new_process_beside_a_closing_one_fails_the_drain() -> None:
    fleet = SimulatedFleet()

    def start_another(call: Call) -> None:
        if isinstance(call, Pause):
            hand_over(fleet, ["serving"], ["closing"])

    fleet.before_call = start_another
    result, reported = run_drain(fleet, [], ["n1"])
    assert result is Result.FAILED and f"another process was started at {SUCCESSOR_CONSOLE}" in reported[-1]


def test_a_backend_is_not_empty_before_a_gateways_successor_reports_so_too() -> None:
    fleet = SimulatedFleet()
    hand_over(fleet, ["serving"], ["handed over"])
    fleet.attempts_in_flight[SUCCESSOR_CONSOLE] = 1
    result, reported = run_drain(fleet, ["b0"], [], timeout=5.0)
    assert result is Result.TIMED_OUT and "b0 at n1: 1 out" in reported[-1]
    fleet.attempts_in_flight[SUCCESSOR_CONSOLE], fleet.attempts_in_flight["n1"] = 0, 1
    assert run_drain(fleet, ["b0"], [], timeout=5.0)[0] is Result.TIMED_OUT
    fleet.attempts_in_flight["n1"] = 0
    assert run_drain(fleet, ["b0"], [], timeout=5.0)[0] is Result.DONE


def test_a_gateway_that_cannot_be_asked_at_first_is_not_marked() -> None:
    fleet = SimulatedFleet()
    fleet.call_failures["n1"] = CallFailed("an answer out of form")
    result, reported = run_drain(fleet, [], ["n1"])
    assert result is Result.UNREACHABLE and not fleet.marks


def test_the_last_ready_gateway_is_not_drained() -> None:
    fleet = SimulatedFleet()
    assert run_drain(fleet, [], ["n0"])[0] is Result.DONE
    assert run_drain(fleet, [], ["n1"])[0] is Result.DONE
    assert run_drain(fleet, [], ["n2"])[0] is Result.REFUSED and fleet.phases["n2"] == ["serving"]


def test_a_machine_is_drained_backends_first_and_all_of_them_under_one_guard() -> None:
    fleet = SimulatedFleet()
    result, reported = run_drain(fleet, ["b0", "b1"], ["n0"])
    assert result is Result.DONE and list(fleet.marks) == ["b0", "b1", GATEWAY_PREFIX + "n0"]
    fleet = SimulatedFleet(3)
    fleet.load = 6.0  # one may be drained, two may not
    assert run_drain(fleet, ["b0", "b1"], ["n0"])[0] is Result.REFUSED and not fleet.marks


@pytest.mark.parametrize("max_rounds", range(0, 14))
def test_a_drain_killed_after_any_round_and_run_again_has_the_same_result(max_rounds: int) -> None:
    fleet, saved_state = SimulatedFleet(), dict[str, Any]()
    fleet.attempts_in_flight["n1"] = 2

    def finish_an_attempt(call: Call) -> None:
        if isinstance(call, Pause):
            fleet.attempts_in_flight["n1"] = max(fleet.attempts_in_flight["n1"] - 1, 0)

    fleet.before_call = finish_an_attempt
    job = make_job(["b0", "b1"], ["n0"], saved_state=saved_state)[0]
    try:
        run_procedure(Drain(job, fleet.now), fleet, max_rounds)
    except KeyboardInterrupt:
        pass
    second_job, reported = make_job(["b0", "b1"], ["n0"], saved_state=saved_state)
    result = run_procedure(Drain(second_job, fleet.now), fleet)
    assert (
        list(fleet.marks) == ["b0", "b1", GATEWAY_PREFIX + "n0"]
        and fleet.backends["b1"].lifecycle == "DRAINING"
    )
    assert result is Result.DONE, reported
    assert [c for c in fleet.calls if isinstance(c, SetDrainMark)] == [
        SetDrainMark("b0", 10, 50),
        SetDrainMark("b1", 11, 51),
        SetDrainMark(GATEWAY_PREFIX + "n0", None, 52),
    ]


def test_undrain_restores_everything_also_before_the_drain_is_done() -> None:
    fleet, saved_state = SimulatedFleet(), dict[str, Any]()
    job = make_job(["b0"], ["n0"], saved_state=saved_state, wait=False)[0]
    assert run_procedure(Drain(job, fleet.now), fleet) is Result.DONE and fleet.phases["n0"][0] == "lame duck"
    second_job, reported = make_job(["b0"], ["n0"], saved_state=saved_state)
    assert run_procedure(Undrain(second_job, fleet.now), fleet) is Result.DONE
    assert not fleet.marks and fleet.phases["n0"] == ["serving"] and not saved_state


# guards


def make_list(*backends: tuple[str, int, str, float]) -> InstanceList:
    backends_by_id = {
        f"b{n}": ListedBackend(life, zone, cell, weight, 1)
        for n, (life, cell, zone, weight) in enumerate(backends)
    }
    return InstanceList(1, backends_by_id, {})


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
        ([(S, 0, "a", 1.0), (D, 1, "b", 1.0)], ["b1"], 99.0, ""),  # not serving: no capacity is removed
    ],
)
def test_violations_of_the_backend_guard(
    backends: list[tuple[str, int, str, float]], ids: list[str], load: float | None, why: str
) -> None:
    reasons = backend_guard_violations(Guards(10.0, 0.5), make_list(*backends), ids, load)
    assert (why in "; ".join(reasons)) if why else not reasons


def test_violations_of_the_gateway_guard() -> None:
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
def test_an_invalid_fleet_file_is_reported(key: str, wrong: Any, why: str) -> None:
    with pytest.raises(InvalidFleetFile, match=why):
        build_fleet({**FLEET_FILE, key: wrong})
