"""The bound on counter calls: how many there are, whose they are, and that no unit is lost or told twice."""

from __future__ import annotations

import hashlib
import heapq
import json
import pathlib
import random
from collections import Counter as Tally
from collections import defaultdict
from collections.abc import Callable
from dataclasses import fields, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from embersill.call_budget import (
    DEFAULT_RESERVE, FAR_RESERVE, MAX_READING_VALIDITY, MAX_UNREPORTED_SHARE, MIN_READING_INTERVAL,
    NEAR_QUOTA, UNREPORTED_RESERVE, URGENT_UNREPORTED_SHARE, USE_SAFETY_FACTOR, CallBudget,
)
from embersill.control import Gateway, Throttle
from embersill.interface import (
    Action, AddToCounter, AggregationSettings, CounterCallEnded, Event, FlushCounts, Outcome, Plan,
    PredecessorState, Refuse, Request, Send, SetTimer, SettingsChanged, TimerExpired,
)
from tests.helpers import PLAN, SETTINGS, backend, backends, ended, request

START = 36_000.0  # the start of a minute, so that sums begin at nought
CALL_TAKES, SEND_TAKES = 0.004, 0.0001  # seconds
SMALL = Plan("small", 4.0, 8.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
BUDGET = AggregationSettings("", 40.0, 80.0)
FLEET = 1100  # gateways
Answer = Callable[[AddToCounter, float], Outcome]


def served(call: AddToCounter, now: float) -> Outcome:
    return Outcome.SERVED


class Play:
    """Some gateways on one clock, with backends that serve at once and one counter for all."""

    def __init__(
        self, budget: AggregationSettings | None, gateways: int = 1, width: int = FLEET, plan: Plan = SMALL,
        answer: Answer = served, billed: float = 0.0,
    ) -> None:
        """`billed`: times its units that a request turns out to have used, or 0 where none is told."""
        made = replace(
            SETTINGS, gateways=width, plans=(plan,), aggregation=budget, max_retry_after=0.0)
        self.now, self.number, self.order = START, 0, 0
        self.gateways = [Gateway(replace(made, gateway_index=me), me, START) for me in range(gateways)]
        for gateway in self.gateways:
            gateway.handle(backends(*(backend(f"b{n}", n % 2) for n in range(200))), START)
        self.answer, self.plan, self.width, self.billed = answer, plan, width, billed
        self.due: list[tuple[float, int, int, Event]] = []
        self.sums: defaultdict[str, float] = defaultdict(float)  # what the counter has
        self.calls: list[tuple[float, int, AddToCounter]] = []
        self.told_last: dict[tuple[int, str], float] = {}
        self.sent: defaultdict[str, float] = defaultdict(float)  # units sent on, by customer
        self.sent_at: defaultdict[str, list[float]] = defaultdict(list)  # when requests were
        self.refused: Tally[str] = Tally()
        self.asked: dict[int, Request] = {}
        self.recorded: list[str] = []
        self.timers = 0

    def request(self, customer: str, units: float = 1.0, gateway: int = 0) -> None:
        self.ask(customer, self.width, gateway, units)

    def ask(self, customer: str, width: int, gateway: int = 0, units: float = 1.0) -> None:
        """A request of a customer with a set of its own."""
        self.number += 1
        asked = request(
            self.number, plan=self.plan.name, customer=customer, units=units, deadline=self.now + 4.0,
            width=width)
        self.asked[self.number] = asked
        self.tell(gateway, asked)

    def later(self, delay: float, gateway: int, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.due, (self.now + delay, self.order, gateway, event))

    def tell(self, gateway: int, event: Event) -> None:
        for action in self.gateways[gateway].handle(event, self.now):
            self.act(gateway, action)

    def act(self, gateway: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.later(action.delay, gateway, TimerExpired(action.key))
        elif isinstance(action, Send):
            asked = self.asked[action.request]
            used = self.billed * asked.units
            self.sent[asked.customer] += used or asked.units
            self.sent_at[asked.customer].append(self.now)
            answer = ended(action.request, 0, action.backend, Outcome.SERVED, SEND_TAKES, true_units=used)
            self.later(SEND_TAKES, gateway, answer)
        elif isinstance(action, Refuse):
            self.refused[self.asked[action.request].customer] += 1
        elif isinstance(action, AddToCounter):
            self.count(gateway, action)

    def count(self, gateway: int, action: AddToCounter) -> None:
        self.calls.append((self.now, gateway, action))
        outcome = self.answer(action, self.now)
        if outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            self.sums[action.name] += action.amount
        takes = SETTINGS.counter_timeout if outcome is Outcome.TIMED_OUT else CALL_TAKES
        total = self.sums[action.name] if outcome is Outcome.SERVED else 0.0
        # calls for one name are told of in the order they were made, by the counter's client and the router
        due = max(self.now + takes, self.told_last.get((gateway, action.name), 0.0))
        self.told_last[gateway, action.name] = due
        self.later(due - self.now, gateway, CounterCallEnded(action.name, outcome, due - self.now, total))

    def run_to(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, gateway, event = heapq.heappop(self.due)
            self.timers += isinstance(event, TimerExpired) and event.key.startswith("c")
            self.tell(gateway, event)
        self.now = until

    def settle(self) -> None:
        self.run_to(self.now + 1.0)
        for gateway in range(len(self.gateways)):
            self.tell(gateway, FlushCounts())
        self.run_to(self.now + 1.0)

    def told(self) -> dict[str, float]:
        """What the counter was told for each customer, over all its names."""
        total: dict[str, float] = {}
        for name, units in self.sums.items():
            customer = name.rpartition(".")[0]
            total[customer] = total.get(customer, 0.0) + units
        return total


def most_in_window(times: list[float], window: float) -> int:
    """The most calls that any window of this length holds."""
    most = first = 0
    for last, time in enumerate(times):
        while times[first] < time - window:
            first += 1
        most = max(most, last - first + 1)
    return most


def check_bound(play: Play, budget: AggregationSettings = BUDGET) -> None:
    for gateway in range(len(play.gateways)):
        times = [time for time, caller, _ in play.calls if caller == gateway]
        for window in (0.0, 0.1, 1.0, 5.0):
            assert most_in_window(times, window) <= budget.burst + budget.calls_per_second * window + 1e-6
        for number, time in enumerate(times, 1):  # from the start there is no burst
            assert number <= budget.calls_per_second * (time - START) + 1e-6


def test_calls_are_bounded_for_39000_customers_with_one_request_each() -> None:
    play = Play(BUDGET)
    for number in range(39_000):
        play.run_to(START + number / 3900)
        play.request(f"c{number}")
    play.run_to(START + 20.0)
    check_bound(play)
    assert sum(play.sent.values()) == 39_000 and not play.refused
    assert len(play.calls) >= 0.9 * 40 * 18  # and the budget is made use of
    # those that wait do so on few timers: one each, and then about as many as there are calls
    assert play.timers <= 39_000 + 2 * 40 * 20
    assert sum(play.told().values()) < 39_000


def test_calls_are_bounded_for_one_customer_far_beyond_its_quota() -> None:
    budget = AggregationSettings("", 5.0, 10.0)
    play = Play(budget, gateways=4, width=4, plan=replace(SMALL, burst=3.0))
    for number in range(12_000):
        play.run_to(START + number / 400)
        play.request("c", gateway=number % 4)
    check_bound(play, budget)
    assert play.sent["c"] <= beyond_bound(play, 30.0)
    assert play.sent["c"] >= 0.7 * 4.0 * 30.0


def beyond_bound(play: Play, seconds: float) -> float:
    """Units that may be sent on of a quota by docs/quotas-budget.md: by readings, slices, and untold."""
    untold = len(play.gateways) * max(1.0, MAX_UNREPORTED_SHARE * play.plan.burst)
    return 2 * (play.plan.rate * seconds + play.plan.burst) + untold


def test_a_fleet_short_of_calls_stays_within_the_stated_units_beyond_a_quota() -> None:
    budget = AggregationSettings("", 0.5, 2.0)
    play = Play(budget, gateways=12, width=12)
    for number in range(6_000):
        play.run_to(START + number / 200)
        play.request("c", gateway=play.gateways[0].random.randrange(12))
    check_bound(play, budget)
    assert play.sent["c"] <= beyond_bound(play, 30.0)


def near_calls(budget: AggregationSettings | None, into_minute: float = 0.0) -> tuple[int, Play]:
    """Calls for customers near their quota among many that are far from it."""
    play, chance, start = Play(budget), random.Random(7), START + into_minute
    play.run_to(start)
    steps = []
    for number in range(5):
        steps += [(start + at / 5, f"near{number}") for at in range(100)]
    steps += [(start + 20 * chance.random(), f"far{number % 4000}") for number in range(16_000)]
    for at, customer in sorted(steps):
        play.run_to(at)
        play.request(customer)
    calls = sum(call.name.startswith("near") for time, _, call in play.calls if time > start + 5.0)
    return calls, play


def test_customers_near_their_quota_keep_their_readings_among_many_idle_ones() -> None:
    unbounded, free = near_calls(None)
    bounded, play = near_calls(BUDGET)
    check_bound(play)
    assert len(free.calls) > 5 * len(play.calls)
    assert bounded >= 0.9 * unbounded
    assert all(0.8 < play.sent[f"near{n}"] / free.sent[f"near{n}"] < 1.25 for n in range(5))


def test_what_accrued_before_a_customers_first_use_is_not_room_for_later() -> None:
    """Its sum begins at nought in the middle of a minute, and is put right also where calls are short."""
    _, free = near_calls(None, 17.0)
    _, play = near_calls(BUDGET, 17.0)
    check_bound(play)
    for number in range(5):
        assert play.sent[f"near{number}"] <= 1.05 * free.sent[f"near{number}"]


def test_a_customer_whose_use_cannot_reach_its_quota_is_not_read_meanwhile() -> None:
    plan, calls = replace(SMALL, burst=40.0), {}
    for budget in (None, AggregationSettings("", 1000.0, 2000.0)):  # a bucket that is never short
        play = Play(budget, plan=plan)
        play.gateways[0].counted_part = 1.0
        play.run_to(START + 5.0)
        for number in range(50):  # one unit a second, of four
            play.run_to(START + 5.0 + number)
            play.request("c")
        play.run_to(START + 58.0)
        assert play.sent["c"] == 50
        calls[budget is not None] = len(play.calls)
    assert calls[False] >= 50 and calls[True] <= calls[False] / 3, calls


def noted(budget: CallBudget, throttle: Throttle, total: float, spare: float, now: float) -> float:
    return budget.record_reading(throttle, CounterCallEnded("c.1", Outcome.SERVED, 0.001, total), 0.0, spare, now) - now


def test_a_reading_is_trusted_no_longer_than_use_with_its_safety_factor_allows() -> None:
    plan = replace(SMALL, rate=4.0, burst=8.0)
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", plan, FLEET, START, START, 4.0)
    assert noted(budget, throttle, 1.0, 0.0, START) <= 0  # one reading shows no pace
    pace = 3.0
    trust = noted(budget, throttle, 1.0 + pace, 0.0, START + 1.0)
    # by then four times the pace has used half of the burst, and no more
    assert trust == pytest.approx(plan.burst / 2 / (USE_SAFETY_FACTOR * pace - plan.rate))
    assert noted(budget, throttle, 1.0 + pace, -3.9, START + 1.0) < 0.1  # little of that half is left
    assert noted(budget, throttle, 1.0 + pace, -4.0, START + 1.0) <= 0
    slow = CallBudget(BUDGET, START)
    noted(slow, throttle, 1.0, 0.0, START)
    assert noted(slow, throttle, 1.5, 0.0, START + 1.0) == MAX_READING_VALIDITY  # two a second, of four
    assert noted(slow, throttle, 9.0, 0.0, START + 1.0 + MIN_READING_INTERVAL) < 0.1  # and it rises at once


def test_readings_close_together_show_no_pace() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    noted(budget, throttle, 1.0, 0.0, START)
    assert noted(budget, throttle, 1.0, 0.0, START + MIN_READING_INTERVAL / 2) <= 0


def test_corrections_are_not_taken_for_use() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    noted(budget, throttle, 1.0, 0.0, START)
    event = CounterCallEnded("c.1", Outcome.SERVED, 0.001, 101.0)
    assert budget.record_reading(throttle, event, 100.0, 0.0, START + 1.0) - START - 1.0 == MAX_READING_VALIDITY


@pytest.mark.parametrize(("used", "reserve"), [
    (None, DEFAULT_RESERVE), (0.0, FAR_RESERVE), (0.49, FAR_RESERVE), (0.5, DEFAULT_RESERVE), (0.79, DEFAULT_RESERVE), (NEAR_QUOTA, 0.0),
    (3.0, 0.0),
])
def test_a_call_leaves_a_reserve_by_its_customers_distance_from_the_quota(
    used: float | None, reserve: float
) -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    if used is not None:
        noted(budget, throttle, 1.0, -used * SMALL.burst, START)
    now = START + 100.0
    taken = 0
    while budget.try_take(throttle, False, 0.0, now):
        taken += 1
    assert taken == BUDGET.burst * (1 - reserve)


def test_units_that_may_not_stay_untold_make_a_call_urgent() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    now = START + 1 / BUDGET.calls_per_second
    throttle.uncounted = MAX_UNREPORTED_SHARE * SMALL.burst
    assert not budget.try_take(throttle, False, 0.0, now)
    assert budget.try_take(throttle, False, 0.01, now)


def test_units_beyond_a_part_of_the_burst_are_told_before_others() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    now = START + (1.0 + UNREPORTED_RESERVE * BUDGET.burst) / BUDGET.calls_per_second + 0.001
    throttle.uncounted = URGENT_UNREPORTED_SHARE * SMALL.burst
    assert not budget.try_take(throttle, False, 0.0, now)
    throttle.uncounted += 0.01
    assert budget.try_take(throttle, False, 0.0, now) and not budget.try_take(throttle, False, 0.0, now)


def test_a_request_beyond_the_untold_part_is_not_sent_on_without_a_call() -> None:
    play = Play(AggregationSettings("", 0.1, 2.0))  # no call for ten seconds
    gateway = play.gateways[0]
    gateway.granted[SMALL.name, True] = gateway.granted[SMALL.name, False] = 1.0  # all seem to have credit
    for _ in range(10):
        play.request("c")
    assert not play.calls
    assert play.sent["c"] == MAX_UNREPORTED_SHARE * SMALL.burst == gateway.throttles["c"].uncounted
    assert play.refused["c"] == 2


# what is told


Step = tuple[str, int, float]
STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "wait", "request", "settled"]), st.integers(0, 4),
              st.floats(0.01, 0.8)),
    min_size=1, max_size=80)
LOSSES = st.lists(st.sampled_from([Outcome.SERVED, Outcome.SERVED, Outcome.TIMED_OUT, Outcome.REJECTED,
                                   Outcome.NO_CONNECTION, Outcome.ERROR]), min_size=1, max_size=20)
ROOMY = Plan("small", 20.0, 4000.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)  # no sum is put right in its first seconds


def play_steps(
    budget: AggregationSettings, steps: list[Step], losses: list[Outcome], billed: float = 0.0
) -> Play:
    calls = 0

    def lossy(call: AddToCounter, now: float) -> Outcome:
        nonlocal calls
        calls += 1
        return losses[calls % len(losses)]

    play = Play(budget, gateways=2, width=FLEET, plan=ROOMY, answer=lossy, billed=billed)
    for what, number, seconds in steps:
        if play.now > START + 20.0:
            break
        if what == "wait":
            play.run_to(play.now + seconds)
        elif what == "request":
            play.request(f"c{number}", units=round(0.5 + seconds, 2), gateway=number % 2)
        else:
            play.tell(number % 2, FlushCounts())
    play.run_to(play.now + 0.5)
    play.answer = served
    play.settle()
    return play


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.sampled_from([0.5, 3.0, 40.0]), st.sampled_from([2.0, 20.0]), STEPS, LOSSES,
       st.sampled_from([0.0, 0.5, 3.0]))
def test_all_units_that_were_sent_on_are_told_once(
    rate: float, burst: float, steps: list[Step], losses: list[Outcome], billed: float
) -> None:
    play = play_steps(AggregationSettings("", rate, burst), steps, losses, billed)
    told = play.told()
    assert {c: round(told.get(c, 0.0), 6) for c in play.sent} == {
        c: round(units, 6) for c, units in play.sent.items()}
    for gateway in play.gateways:
        assert not any(t.uncounted for t in gateway.throttles.values())


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.sampled_from([0.5, 3.0]), STEPS, LOSSES)
def test_calls_are_bounded_in_any_order_of_events(
    rate: float, steps: list[Step], losses: list[Outcome]
) -> None:
    # the last word at an end is the one exception: it tells all that is left
    budget = AggregationSettings("", rate, 4.0)
    play = play_steps(budget, [step for step in steps if step[0] != "settled"], losses)
    for gateway in (0, 1):
        times = [time for time, caller, _ in play.calls if caller == gateway and time < play.now - 1.0]
        for number, time in enumerate(times, 1):
            assert number <= budget.calls_per_second * (time - START) + 1e-6


@pytest.mark.parametrize("billed", [0.0, 0.5, 3.0])
def test_untold_units_of_customers_who_never_return_are_told_without_an_end(billed: float) -> None:
    outcomes = iter([Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.SERVED, Outcome.ERROR])
    play = Play(BUDGET, plan=ROOMY, billed=billed, answer=lambda call, now: next(outcomes, Outcome.SERVED))
    for number in range(60):
        play.request(f"c{number}")
    play.run_to(START + 30.0)
    assert play.told() == play.sent


def test_a_pool_change_keeps_the_bucket_and_the_end_of_the_bound_frees_calls() -> None:
    play = Play(BUDGET)
    gateway = play.gateways[0]
    before = gateway.budget
    play.tell(0, SettingsChanged(gateway.settings.pool, BUDGET))
    assert gateway.budget is before is not None
    play.request("c")
    assert not play.calls
    play.tell(0, SettingsChanged(gateway.settings.pool, None))
    assert gateway.budget is None
    play.request("d")
    assert [call.name.partition(".")[0] for _, _, call in play.calls] == ["d"]
    play.settle()
    assert play.told()["c"] == 1.0


def test_a_handover_passes_on_what_was_not_told() -> None:
    play = Play(BUDGET, gateways=2, plan=replace(SMALL, burst=40.0))  # so that no sum has to be put right
    play.request("c")
    state = json.loads(json.dumps(play.gateways[0].hand_over(play.now)))
    play.tell(1, PredecessorState(state))
    play.settle()
    assert play.told() == {"c": 1.0} and {caller for _, caller, _ in play.calls} == {1}


# many gateways at once


def test_a_fleet_that_starts_together_makes_no_burst() -> None:
    play = Play(BUDGET, gateways=20, width=20)
    for number in range(8000):
        play.run_to(START + number / 4000)
        play.request(f"c{number % 2000}", gateway=number % 20)
    play.run_to(START + 2.5)
    check_bound(play)
    # 1,100 buckets that are asked for all they have, in the first second: their pace and no burst
    throttle = Throttle("c", SMALL, FLEET, START, START, 4.0)
    made = [CallBudget(BUDGET, START) for _ in range(FLEET)]
    for step in range(1, 51):
        now = START + step / 50
        taken = sum(budget.try_take(throttle, True, 0.0, now) for budget in made for _ in range(3))
        assert taken <= FLEET * BUDGET.calls_per_second / 50 + FLEET


def test_after_an_outage_what_was_saved_up_is_not_spent_at_once() -> None:
    play = Play(BUDGET, answer=lambda call, now: Outcome.NO_CONNECTION)
    for number in range(2000):
        play.run_to(START + number / 100)
        play.request(f"c{number}")
    back = play.now
    play.answer = served
    for number in range(2000):
        play.run_to(back + number / 1000)
        play.request(f"d{number}")
    times = [time for time, _, _ in play.calls if time > back]
    assert times and most_in_window(times, 0.1) <= 0.1 * BUDGET.calls_per_second + 1


def test_one_failed_call_of_several_aggregators_stops_no_other() -> None:
    def one_away(call: AddToCounter, now: float) -> Outcome:
        return Outcome.NO_CONNECTION if "bad" in call.name else Outcome.SERVED

    play = Play(BUDGET, answer=one_away)
    play.run_to(START + 5.0)
    play.request("bad")
    play.run_to(play.now + 0.05)
    play.request("good")
    assert [call.name.partition(".")[0] for _, _, call in play.calls] == ["bad", "good"]


# without the part


RECORDED = pathlib.Path(__file__).parent / "counting.reply.txt"
RECORDED_NAMES: dict[type, str] = {AddToCounter: "Count"}  # names of actions in RECORDED, where they differ


def played_without_budget() -> str:
    """Digests of all actions of plays with thin slices and wide ones, and a counter that fails at times."""
    lines = []
    for width, plan, many in ((FLEET, SMALL, 40), (2, PLAN, 6), (14, replace(SMALL, burst=20.0), 10)):
        chance = random.Random(width)

        def lossy(call: AddToCounter, now: float, chance: random.Random = chance) -> Outcome:
            return chance.choice([Outcome.SERVED] * 9 + [Outcome.TIMED_OUT, Outcome.REJECTED])

        play = Play(None, gateways=2, width=width, plan=plan, answer=lossy)
        digest = hashlib.blake2b(digest_size=16)
        act = play.act

        def record(gateway: int, action: Action, act=act, digest=digest) -> None:  # type: ignore[no-untyped-def]
            digest.update(f"{gateway} {rounded(action)}\n".encode())
            act(gateway, action)

        play.act = record  # type: ignore[method-assign]
        for number in range(6000):
            play.run_to(START + number / 200)
            play.request(f"c{chance.randrange(many)}", gateway=number % 2)
        play.settle()
        lines.append(f"{width} {len(play.calls)} {sum(play.sent.values()):.0f} {digest.hexdigest()}")
    return "\n".join(lines) + "\n"


def rounded(action: Action) -> str:
    """An action as text, with its numbers to six digits; without what is not compared, as it is for logs."""
    values = [getattr(action, field.name) for field in fields(action) if field.compare]
    texts = [f"{value:.6g}" if isinstance(value, float) else str(value) for value in values]
    return " ".join([RECORDED_NAMES.get(type(action), type(action).__name__), *texts])


def test_without_the_part_all_actions_are_as_they_were(monkeypatch: pytest.MonkeyPatch) -> None:
    """But for one bound that came later: how many of very many backends a gateway uses."""
    now = played_without_budget().splitlines()
    monkeypatch.setattr("embersill.control.MOST_APERTURE", 10**6)
    assert played_without_budget() == RECORDED.read_text()
    before = RECORDED.read_text().splitlines()
    assert now[:2] == before[:2]  # where there are up to six for each gateway it makes no difference
    assert [line.rpartition(" ")[0] for line in now] == [line.rpartition(" ")[0] for line in before]


def test_a_plan_without_a_quota_may_take_leases_within_the_budget() -> None:
    plan = replace(SMALL, rate=0.0, burst=0.0, ceiling_rate=15.0, ceiling_depth=41.0)
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", plan, FLEET, START, START, 4.0)
    assert budget.try_take(throttle, False, 1.0, START + 10.0)


# customers whose demand is counted, among others that take all calls

HOT = Plan("hot", 12.0, 24.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
SHORT = AggregationSettings("", 12.0, 12.0)
HOT_SECONDS, HOT_SET, THIN_SET = 20.0, 3, 24
TOLD_AFTER = 1.5  # seconds until demand is told: at the end of its second, and on its way


def play_hot(shares: tuple[float, ...], budget: AggregationSettings | None = SHORT) -> Play:
    """A hot customer among others near their quotas; `shares`: what it asks of each gateway, in quotas."""
    play, chance, steps = Play(budget, HOT_SET, THIN_SET, HOT), random.Random(7), []
    for gateway, share in enumerate(shares):
        hot = int(HOT_SECONDS * HOT.rate * share)
        steps += [(HOT_SECONDS * number / hot, "hot", gateway, HOT_SET) for number in range(hot)]
        steps += [
            (HOT_SECONDS * chance.random(), f"thin{chance.randrange(3)}", gateway, THIN_SET)
            for _ in range(int(25.0 * HOT_SECONDS))
        ]
    for at, customer, gateway, width in sorted(steps):
        play.run_to(START + at)
        play.ask(customer, width, gateway)
    return play


def test_a_customer_that_enters_through_one_gateway_gets_its_quota_though_calls_are_short() -> None:
    """It got its even slice: other customers' calls left none for its demand, which was never told."""
    play = play_hot((2.0, 0.0, 0.0))
    check_bound(play, SHORT)
    assert play.sent["hot"] >= 0.8 * HOT.rate * HOT_SECONDS
    assert play.sent["hot"] <= HOT.rate * HOT_SECONDS + HOT.burst + 2.0 * HOT.rate * TOLD_AFTER


def test_a_customer_that_enters_everywhere_makes_no_burst_though_calls_are_short() -> None:
    """Gateways that read a total without the demand of others took most of the quota, each for itself."""
    play = play_hot((1.0, 1.0, 1.0))
    check_bound(play, SHORT)
    times = play.sent_at["hot"]
    assert len(times) >= 0.8 * HOT.rate * HOT_SECONDS
    for first in times:
        sent = sum(first <= time < first + 3.0 for time in times)
        assert sent <= 3.0 * HOT.rate + HOT.burst + HOT_SET * HOT.rate * TOLD_AFTER


@pytest.mark.parametrize("shares", [(2.0, 0.0, 0.0), (1.0, 1.0, 1.0), (1.0, 0.5, 0.2), (0.6, 0.6, 0.0)])
def test_a_customer_near_its_quota_is_counted_as_if_calls_were_not_short(shares: tuple[float, ...]) -> None:
    short, free = play_hot(shares), play_hot(shares, None)
    check_bound(short, SHORT)
    assert len(short.calls) < 0.8 * len(free.calls)
    assert short.sent["hot"] == pytest.approx(free.sent["hot"], rel=0.03)


@pytest.mark.parametrize("many", [1, 10, 40])
def test_customers_near_their_quota_leave_others_a_part_of_the_calls(many: int) -> None:
    play, steps = Play(SHORT, 1, THIN_SET, HOT), []
    for number in range(many):
        steps += [(at / HOT.rate, f"hot{number}", HOT_SET) for at in range(int(HOT_SECONDS * HOT.rate))]
    for number in range(3):
        steps += [(at / HOT.rate, f"thin{number}", THIN_SET) for at in range(int(HOT_SECONDS * HOT.rate))]
    for at, customer, width in sorted(steps):
        play.run_to(START + at)
        play.ask(customer, width)
    check_bound(play, SHORT)
    thin = sum(call.name.startswith("thin") for _, _, call in play.calls)
    assert thin >= 0.4 * SHORT.calls_per_second * HOT_SECONDS
    if many > 1:
        counted = len(play.calls) - thin
        assert counted >= 0.3 * SHORT.calls_per_second * HOT_SECONDS


def test_customers_that_were_near_their_quota_long_ago_take_no_part_from_those_that_are() -> None:
    budget = CallBudget(SHORT, START)
    for number in range(200):
        asked = Throttle(f"old{number}", HOT, HOT_SET, START, START, 4.0)
        asked.own = HOT.rate
        budget.try_take(asked, False, 0.0, START + 1.0)
    throttle = Throttle("hot", HOT, HOT_SET, START, START, 4.0)
    throttle.own = HOT.rate
    assert budget.try_take(throttle, False, 0.0, START + 100.0)
