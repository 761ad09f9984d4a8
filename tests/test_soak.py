"""The soak's own parts: what a seed draws, what each check finds and lets pass, and one short day."""

from __future__ import annotations

import asyncio
import pathlib
import time
from dataclasses import replace
from math import inf

import pytest

from embersill.lab.soak.backends import backend_address
from embersill.lab.soak.checks import ProcessLife, PlayRecord, check_all
from embersill.lab.soak.clients import BadClient, read_message_within
from embersill.lab.soak.command import InvalidSeeds, parse_seed_list, parse_seeds
from embersill.lab.soak.deployment import Deployment, RequestClass
from embersill.lab.soak.discovery_agent import DrainHistory, DrainPeriod
from embersill.lab.soak.lateness import AFFECTED_WINDOW, Lateness
from embersill.lab.soak.observations import Attempt, AttemptEnd, ClientRequest
from embersill.lab.soak.plan import Fault, draw_plan
from embersill.lab.soak.play import build_shim, play_plan
from tests.soak_mutants.__main__ import MUTANTS

CLASSES = (
    RequestClass("view", "repeatable", 1.0, 2.0),
    RequestClass("sign", "by_key", 1.0, 2.0, "cell", 3.0),
    RequestClass("book", "once", 1.0, 2.0),
)
FORM = Deployment(1, CLASSES, rate=10.0, burst=10.0, ceiling=2.0)
BEGAN = 100.0


def asked(repeats: str = "repeatable", **more: float) -> ClientRequest:
    """A request that was served well at once."""
    made = ClientRequest(
        "r1", 0, "c", "basis", repeats, 2.0, BEGAN, answered_at=BEGAN + 0.1, status=200, complete=True
    )
    for name, value in more.items():
        setattr(made, name, value)
    return made


def sent(
    at: float = 0.01, backend: str = "b0", end: AttemptEnd = AttemptEnd.ANSWERED, **more: float
) -> Attempt:
    made = Attempt(0, backend, BEGAN + at, BEGAN + at, 1.9, end, BEGAN + at + 0.05)
    for name, value in more.items():
        setattr(made, name, value)
    return made


def seen(*requests: ClientRequest, **more: object) -> PlayRecord:
    attempts: dict[str, list[Attempt]] = {}
    for request in requests:
        for attempt in request.attempts:
            attempts.setdefault(attempt.backend, []).append(attempt)
    groups = {
        "all": dict.fromkeys(("b0", "b1"), ""),
        "zone": {"b0": "a", "b1": "b"},
        "cell": {"b0": "0", "b1": "1"},
    }
    made = PlayRecord(
        FORM, list(requests), attempts, {}, {0: DrainHistory()}, {0: []}, [ProcessLife(0, 0.0)], [], 10.0,
        Lateness(), groups,
    )
    for name, value in more.items():
        setattr(made, name, value)
    return made


def rules(play: PlayRecord) -> list[str]:
    return [violation.rule for violation in check_all(play)]


def with_attempts(request: ClientRequest, *attempts: Attempt) -> ClientRequest:
    request.attempts += attempts
    return request


def test_a_good_play_breaks_no_rule() -> None:
    assert rules(seen(with_attempts(asked(), sent()))) == []
    assert rules(seen(asked(status=429))) == []


@pytest.mark.parametrize(
    ("request_", "broken"),
    [
        (asked(answered_at=inf), True),
        (asked(answered_at=BEGAN + 2.6), True),
        (asked(answered_at=BEGAN + 2.4), False),
        (asked(complete=False), True),
        (asked(answered_at=inf, disconnected_at=BEGAN + 0.5), False),
        (asked(answered_at=inf, closed_at=BEGAN + 0.5), True),
        (asked(answered_at=inf, closed_at=BEGAN + 0.05), False),  # it crossed the close
    ],
)
def test_a_request_is_owed_one_whole_answer_in_time(request_: ClientRequest, broken: bool) -> None:
    assert rules(seen(request_)) == ["lost"] * broken


@pytest.mark.parametrize(
    ("life", "came", "broken"),
    [
        (ProcessLife(0, 0.0, inf, BEGAN + 0.5, True), BEGAN, False),  # killed without a word
        (ProcessLife(0, 0.0, BEGAN - 0.5, BEGAN + 1.9, True), BEGAN, False),  # it came soon after SIGTERM
        (ProcessLife(0, 0.0, BEGAN - 1.0, BEGAN + 1.0, True), BEGAN, True),
        (ProcessLife(0, 0.0, BEGAN - 1.0, BEGAN + 0.05, True), BEGAN, False),  # perhaps unread
    ],
)
def test_what_a_kill_excuses(life: ProcessLife, came: float, broken: bool) -> None:
    request = asked(written_at=came, answered_at=inf)
    assert rules(seen(request, lives=[life])) == ["lost"] * broken


@pytest.mark.parametrize(("left", "began", "broken"), [(0.2, 0.25, False), (0.2, 0.4, True)])
def test_no_attempt_begins_after_the_client_has_closed(left: float, began: float, broken: bool) -> None:
    request = with_attempts(asked(disconnected_at=BEGAN + left), sent(began, budget=1.5))
    assert rules(seen(request)) == ["lost"] * broken


def test_a_backend_is_told_no_more_time_than_is_left() -> None:
    assert rules(seen(with_attempts(asked(), sent(0.5, budget=1.6)))) == []
    assert rules(seen(with_attempts(asked(), sent(0.5, budget=1.8)))) == ["deadline"]


@pytest.mark.parametrize(
    ("repeats", "first", "second", "broken"),
    [
        ("once", AttemptEnd.REJECTED, "b1", False),
        ("once", AttemptEnd.BROKEN, "b0", True),
        ("by_key", AttemptEnd.BROKEN, "b0", False),
        ("by_key", AttemptEnd.CLOSED, "b1", True),
        ("by_key", AttemptEnd.REJECTED, "b1", False),
        ("repeatable", AttemptEnd.CLOSED, "b1", False),
    ],
)
def test_repeats_are_as_their_class_allows(
    repeats: str, first: AttemptEnd, second: str, broken: bool
) -> None:
    request = with_attempts(asked(repeats), sent(0.01, "b0", first), sent(0.1, second))
    assert rules(seen(request)) == ["repeat"] * broken


def test_a_keyed_repeat_is_written_within_its_window() -> None:
    request = asked("by_key", budget=9.0, answered_at=BEGAN + 4.0)
    with_attempts(request, sent(0.01, "b0", AttemptEnd.BROKEN), sent(3.5, "b0"))
    assert rules(seen(request)) == ["repeat"]


@pytest.mark.parametrize(
    ("told", "until", "reloads", "broken"),
    [
        (-0.9, inf, [], False),
        (-1.2, inf, [], True),
        (-1.2, BEGAN, [], False),
        (-1.2, inf, [BEGAN - 1.5], False),
    ],
)
def test_sends_after_the_grace_are_found(
    told: float, until: float, reloads: list[float], broken: bool
) -> None:
    play = seen(
        with_attempts(asked(), sent()),
        drain_histories={0: DrainHistory({"b0": [DrainPeriod(BEGAN + told, until)]})},
        reloads={0: reloads},
    )
    assert rules(play) == ["drain"] * broken


def test_a_cold_backends_budget_is_one_for_all_gateways() -> None:
    def play(calls: int) -> list[str]:
        requests = [with_attempts(asked(), sent(0.001 * n)) for n in range(calls)]
        return rules(seen(*requests, cold_starts={"b0": [BEGAN]}, deployment=replace(FORM, ceiling=0.0)))

    # twice a fifth of ten a second over two seconds are eight, and three roots of that and three on top
    assert play(19) == [] and play(22) == ["failback"]


def test_a_ceiling_is_one_for_all_gateways() -> None:
    def play(calls: int) -> list[str]:
        return rules(seen(*(with_attempts(asked(), sent(0.0001 * n)) for n in range(calls))))

    assert play(24) == [] and play(30) == ["ceiling"]  # a store of 20, and 10% and 150 ms of 20 a second


@pytest.mark.parametrize(
    ("took", "status", "broken"), [(2.9, 0, False), (3.2, 408, True), (0.1, 400, False), (0.1, 200, True)]
)
def test_a_peer_with_no_proper_request_is_owed_an_error_or_a_close(
    took: float, status: int, broken: bool
) -> None:
    play = seen(bad_clients=[BadClient(0, BEGAN, BEGAN + took, status)])
    assert rules(play) == ["bad input"] * broken


def test_a_seed_draws_the_same_day_each_time_and_seeds_differ() -> None:
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
    faults = {fault.fault for seed in range(1, 51) for fault in draw_plan(seed).faults}
    assert faults == set(Fault)
    assert {draw_plan(seed).backends for seed in range(1, 51)} == {200, 800, 3200}
    assert any(max(c.deadline for c in draw_plan(seed).deployment.classes) < 2.0 for seed in range(1, 51))


def test_thin_ceilings_heavy_work_and_a_counter_in_trouble_are_drawn_in_a_good_part_of_the_days() -> None:
    plans = [draw_plan(seed) for seed in range(1, 201)]
    thin = [p for p in plans if 0 < p.deployment.ceiling * p.deployment.burst < p.deployment.spread]
    heavy = [p for p in plans if p.mean_work_time > 0.36 * p.deployment.classes[0].aim]
    troubled = [p for p in plans if any(f.fault is Fault.COUNTER for f in p.faults)]
    assert min(len(thin), len(heavy), len(troubled)) >= 40


@pytest.mark.parametrize(("served", "broken"), [(0, True), (7, True), (8, False), (40, False)])
def test_a_part_of_what_could_be_served_has_to_be(served: int, broken: bool) -> None:
    """Forty requests a second apart, far inside quota and ceiling; the others are refused."""
    requests = [
        asked(written_at=BEGAN + n, answered_at=BEGAN + n + 0.1, status=200 if n < served else 429)
        for n in range(40)
    ]
    assert rules(seen(*requests)) == ["served", "served"] * broken  # in all, and of the class


def test_no_service_is_owed_beyond_quotas_or_to_who_left_or_by_a_gateway_that_ends() -> None:
    beyond = [asked(written_at=BEGAN, status=429) for _ in range(29)]  # a burst of ten
    left = [asked(written_at=BEGAN + n, disconnected_at=BEGAN + n + 0.5, answered_at=inf) for n in range(40)]
    short = [asked(written_at=BEGAN + n, budget=0.1, status=429) for n in range(40)]
    ends = [asked(written_at=BEGAN + n, status=429) for n in range(40)]
    assert rules(seen(*beyond)) == rules(seen(*left)) == rules(seen(*short)) == []
    assert rules(seen(*ends, lives=[ProcessLife(0, 0.0, BEGAN - 1.0, inf)])) == []


def test_only_lateness_around_the_judged_moment_excuses() -> None:
    request = with_attempts(asked(disconnected_at=BEGAN + 0.2), sent(0.4, budget=1.5))
    for at, broken in ((BEGAN + 0.3, False), (BEGAN + 0.4 + 2 * AFFECTED_WINDOW, True)):
        late = Lateness()
        late.record(at, 0.1)
        assert rules(seen(request, lateness=late)) == ["lost"] * broken


def test_a_client_that_was_held_up_reads_what_has_come_before_it_gives_up() -> None:
    """Seed 303: an answer that was there was called missing, as the timer came before the reading."""

    async def play(comes: bool) -> str:
        reader = asyncio.StreamReader()
        reading = asyncio.create_task(read_message_within(reader, 0.02))
        await asyncio.sleep(0)
        time.sleep(0.05)
        if comes:
            text = b"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n"
            asyncio.get_running_loop().call_later(0.005, reader.feed_data, text)
        return (await reading)[0]

    assert asyncio.run(play(True)).split()[1] == "429"
    with pytest.raises(TimeoutError):
        asyncio.run(play(False))


def test_backends_have_addresses_of_their_own() -> None:
    addresses = {backend_address(n) for n in range(70_000)}
    assert len(addresses) == 70_000 and all(a.startswith("127.") for a in addresses)


def test_seeds_are_read() -> None:
    assert parse_seed_list("1-3,10") == [1, 2, 3, 10] and parse_seed_list("") == []
    assert list(parse_seeds("3")) == [3] and list(parse_seeds("2-4")) == [2, 3, 4]
    for wrong in ("x", "4-2", "", "1-x"):
        with pytest.raises(InvalidSeeds):
            parse_seeds(wrong)


def test_a_planted_fault_is_caught_and_told_with_its_log(tmp_path: pathlib.Path) -> None:
    """One of tests/soak_mutants; the others are run by hand."""
    mutant = "changes answers"
    environment = {"PYTHONPATH": str(pathlib.Path(__file__).parent / "soak_mutants"), "SOAK_MUTANT": mutant}
    plan = replace(draw_plan(2, 3.0, 200), faults=())
    result, lines = play_plan(plan, tmp_path, build_shim(tmp_path), environment)
    assert {v.rule for v in result.violations} == MUTANTS[mutant]
    assert any("event=request_ended" in line and "status=200" in line for line in lines)
