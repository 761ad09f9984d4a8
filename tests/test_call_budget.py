"""Tests the limit on counter calls: their number, who gets them, and that each unit is reported once."""

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

START = 36_000.0  # the start of a minute, so that sums start at zero
CALL_TAKES, SEND_TAKES = 0.004, 0.0001  # seconds
SMALL = Plan("small", 4.0, 8.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
BUDGET = AggregationSettings("", 40.0, 80.0)
FLEET = 1100  # gateways
Answer = Callable[[AddToCounter, float], Outcome]


def served(call: AddToCounter, now: float) -> Outcome:
    return Outcome.SERVED


class Play:
    """Gateways on one virtual clock, with backends that answer at once and a shared counter."""

    def __init__(
        self, budget: AggregationSettings | None, gateways: int = 1, width: int = FLEET, plan: Plan = SMALL,
        answer: Answer = served, billed: float = 0.0,
    ) -> None:
        """`billed`: actual units of a request, as a factor of its units; 0 if none are reported."""
        base = replace(
            SETTINGS, gateways=width, plans=(plan,), aggregation=budget, max_retry_after=0.0)
        self.now, self.number, self.order = START, 0, 0
        self.gateways = [
            Gateway(replace(base, gateway_index=index), index, START) for index in range(gateways)]
        for gateway in self.gateways:
            gateway.handle(backends(*(backend(f"b{n}", n % 2) for n in range(200))), START)
        self.answer, self.plan, self.width, self.billed = answer, plan, width, billed
        self.due: list[tuple[float, int, int, Event]] = []
        self.sums: defaultdict[str, float] = defaultdict(float)  # totals of the counter, by name
        self.calls: list[tuple[float, int, AddToCounter]] = []
        self.last_result_at: dict[tuple[int, str], float] = {}
        self.sent: defaultdict[str, float] = defaultdict(float)  # units sent, by customer
        self.sent_at: defaultdict[str, list[float]] = defaultdict(list)  # when, by customer
        self.refused: Tally[str] = Tally()
        self.asked: dict[int, Request] = {}
        self.recorded: list[str] = []
        self.timers = 0

    def request(self, customer: str, units: float = 1.0, gateway: int = 0) -> None:
        self.request_from(customer, self.width, gateway, units)

    def request_from(self, customer: str, width: int, gateway: int = 0, units: float = 1.0) -> None:
        """A request of a customer that uses `width` gateways."""
        self.number += 1
        asked = request(
            self.number, plan=self.plan.name, customer=customer, units=units, deadline=self.now + 4.0,
            width=width)
        self.asked[self.number] = asked
        self.handle(gateway, asked)

    def schedule(self, delay: float, gateway: int, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.due, (self.now + delay, self.order, gateway, event))

    def handle(self, gateway: int, event: Event) -> None:
        for action in self.gateways[gateway].handle(event, self.now):
            self.perform(gateway, action)

    def perform(self, gateway: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(action.delay, gateway, TimerExpired(action.key))
        elif isinstance(action, Send):
            asked = self.asked[action.request]
            used = self.billed * asked.units
            self.sent[asked.customer] += used or asked.units
            self.sent_at[asked.customer].append(self.now)
            answer = ended(action.request, 0, action.backend, Outcome.SERVED, SEND_TAKES, true_units=used)
            self.schedule(SEND_TAKES, gateway, answer)
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
        # results for one name arrive in the order of the calls
        due = max(self.now + takes, self.last_result_at.get((gateway, action.name), 0.0))
        self.last_result_at[gateway, action.name] = due
        self.schedule(due - self.now, gateway, CounterCallEnded(action.name, outcome, due - self.now, total))

    def run_to(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, gateway, event = heapq.heappop(self.due)
            self.timers += isinstance(event, TimerExpired) and event.key.startswith("c")
            self.handle(gateway, event)
        self.now = until

    def flush(self) -> None:
        self.run_to(self.now + 1.0)
        for gateway in range(len(self.gateways)):
            self.handle(gateway, FlushCounts())
        self.run_to(self.now + 1.0)

    def reported(self) -> dict[str, float]:
        """Units reported to the counter for each customer, over all its names."""
        total: dict[str, float] = {}
        for name, units in self.sums.items():
            customer = name.rpartition(".")[0]
            total[customer] = total.get(customer, 0.0) + units
        return total


def most_in_window(times: list[float], window: float) -> int:
    """The maximum number of calls in any window of this length."""
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
        for number, time in enumerate(times, 1):  # the bucket is empty at the start
            assert number <= budget.calls_per_second * (time - START) + 1e-6


def test_calls_are_bounded_for_39000_customers_with_one_request_each() -> None:
    play = Play(BUDGET)
    for number in range(39_000):
        play.run_to(START + number / 3900)
        play.request(f"c{number}")
    play.run_to(START + 20.0)
    check_bound(play)
    assert sum(play.sent.values()) == 39_000 and not play.refused
    assert len(play.calls) >= 0.9 * 40 * 18  # and the budget is used
    # deferred customers need few timers: one each, and then about as many as there are calls
    assert play.timers <= 39_000 + 2 * 40 * 20
    assert sum(play.reported().values()) < 39_000


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
    """Units of a quota that may be sent by docs/quotas-budget.md: by readings, by slices and unreported."""
    unreported = len(play.gateways) * max(1.0, MAX_UNREPORTED_SHARE * play.plan.burst)
    return 2 * (play.plan.rate * seconds + play.plan.burst) + unreported


def test_a_fleet_with_few_calls_exceeds_a_quota_by_at_most_the_documented_units() -> None:
    budget = AggregationSettings("", 0.5, 2.0)
    play = Play(budget, gateways=12, width=12)
    for number in range(6_000):
        play.run_to(START + number / 200)
        play.request("c", gateway=play.gateways[0].random.randrange(12))
    check_bound(play, budget)
    assert play.sent["c"] <= beyond_bound(play, 30.0)


def near_calls(budget: AggregationSettings | None, into_minute: float = 0.0) -> tuple[int, Play]:
    """Number of calls for customers near their quota among many that are far from it."""
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


def test_quota_accrued_before_the_first_use_cannot_be_used_later() -> None:
    """The total starts at zero in the middle of a minute, and is corrected even if few calls are allowed."""
    _, free = near_calls(None, 17.0)
    _, play = near_calls(BUDGET, 17.0)
    check_bound(play)
    for number in range(5):
        assert play.sent[f"near{number}"] <= 1.05 * free.sent[f"near{number}"]


def test_a_customer_that_cannot_reach_its_quota_soon_is_rarely_read() -> None:
    plan, calls = replace(SMALL, burst=40.0), {}
    for budget in (None, AggregationSettings("", 1000.0, 2000.0)):  # a bucket that is never empty
        play = Play(budget, plan=plan)
        play.gateways[0].counted_fraction = 1.0
        play.run_to(START + 5.0)
        for number in range(50):  # one unit a second, of four
            play.run_to(START + 5.0 + number)
            play.request("c")
        play.run_to(START + 58.0)
        assert play.sent["c"] == 50
        calls[budget is not None] = len(play.calls)
    assert calls[False] >= 50 and calls[True] <= calls[False] / 3, calls


def reading_validity(budget: CallBudget, throttle: Throttle, total: float, spare: float, now: float) -> float:
    """Records a reading; returns for how many seconds it is valid."""
    return budget.record_reading(
        throttle, CounterCallEnded("c.1", Outcome.SERVED, 0.001, total), 0.0, spare, now) - now


def test_a_reading_is_valid_no_longer_than_use_with_its_safety_factor_allows() -> None:
    plan = replace(SMALL, rate=4.0, burst=8.0)
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", plan, FLEET, START, START, 4.0)
    assert reading_validity(budget, throttle, 1.0, 0.0, START) <= 0  # one reading measures no rate
    use_rate = 3.0
    validity = reading_validity(budget, throttle, 1.0 + use_rate, 0.0, START + 1.0)
    # by then use at four times the rate takes exactly half of the burst
    assert validity == pytest.approx(plan.burst / 2 / (USE_SAFETY_FACTOR * use_rate - plan.rate))
    assert reading_validity(budget, throttle, 1.0 + use_rate, -3.9, START + 1.0) < 0.1  # most of it is used
    assert reading_validity(budget, throttle, 1.0 + use_rate, -4.0, START + 1.0) <= 0
    slow = CallBudget(BUDGET, START)
    reading_validity(slow, throttle, 1.0, 0.0, START)
    assert reading_validity(slow, throttle, 1.5, 0.0, START + 1.0) == MAX_READING_VALIDITY  # half the rate
    assert reading_validity(slow, throttle, 9.0, 0.0, START + 1.0 + MIN_READING_INTERVAL) < 0.1  # rises


def test_readings_close_together_measure_no_rate() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    reading_validity(budget, throttle, 1.0, 0.0, START)
    assert reading_validity(budget, throttle, 1.0, 0.0, START + MIN_READING_INTERVAL / 2) <= 0


def test_corrections_do_not_count_as_use() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    reading_validity(budget, throttle, 1.0, 0.0, START)
    event = CounterCallEnded("c.1", Outcome.SERVED, 0.001, 101.0)
    assert (
        budget.record_reading(throttle, event, 100.0, 0.0, START + 1.0) - START - 1.0
        == MAX_READING_VALIDITY)


@pytest.mark.parametrize(("used", "reserve"), [
    (None, DEFAULT_RESERVE), (0.0, FAR_RESERVE), (0.49, FAR_RESERVE), (0.5, DEFAULT_RESERVE),
    (0.79, DEFAULT_RESERVE), (NEAR_QUOTA, 0.0), (3.0, 0.0),
])
def test_the_reserve_depends_on_the_distance_of_the_customer_from_its_quota(
    used: float | None, reserve: float
) -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    if used is not None:
        reading_validity(budget, throttle, 1.0, -used * SMALL.burst, START)
    now = START + 100.0
    taken = 0
    while budget.try_take(throttle, False, 0.0, now):
        taken += 1
    assert taken == BUDGET.burst * (1 - reserve)


def test_units_above_the_unreported_maximum_make_a_call_urgent() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    now = START + 1 / BUDGET.calls_per_second
    throttle.unreported_units = MAX_UNREPORTED_SHARE * SMALL.burst
    assert not budget.try_take(throttle, False, 0.0, now)
    assert budget.try_take(throttle, False, 0.01, now)


def test_unreported_units_above_a_share_of_the_burst_are_reported_before_others() -> None:
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", SMALL, FLEET, START, START, 4.0)
    now = START + (1.0 + UNREPORTED_RESERVE * BUDGET.burst) / BUDGET.calls_per_second + 0.001
    throttle.unreported_units = URGENT_UNREPORTED_SHARE * SMALL.burst
    assert not budget.try_take(throttle, False, 0.0, now)
    throttle.unreported_units += 0.01
    assert budget.try_take(throttle, False, 0.0, now) and not budget.try_take(throttle, False, 0.0, now)


def test_a_request_beyond_the_unreported_maximum_is_not_sent_without_a_call() -> None:
    play = Play(AggregationSettings("", 0.1, 2.0))  # no call for ten seconds
    gateway = play.gateways[0]
    gateway.grant_rates[SMALL.name, True] = gateway.grant_rates[SMALL.name, False] = 1.0  # credit is expected
    for _ in range(10):
        play.request("c")
    assert not play.calls
    assert play.sent["c"] == MAX_UNREPORTED_SHARE * SMALL.burst == gateway.throttles["c"].unreported_units
    assert play.refused["c"] == 2


# which units are reported


Step = tuple[str, int, float]
STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "wait", "request", "settled"]), st.integers(0, 4),
              st.floats(0.01, 0.8)),
    min_size=1, max_size=80)
LOSSES = st.lists(st.sampled_from([Outcome.SERVED, Outcome.SERVED, Outcome.TIMED_OUT, Outcome.REJECTED,
                                   Outcome.NO_CONNECTION, Outcome.ERROR]), min_size=1, max_size=20)
ROOMY = Plan("small", 20.0, 4000.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)  # no total is corrected in its first seconds


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
            play.handle(number % 2, FlushCounts())
    play.run_to(play.now + 0.5)
    play.answer = served
    play.flush()
    return play


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.sampled_from([0.5, 3.0, 40.0]), st.sampled_from([2.0, 20.0]), STEPS, LOSSES,
       st.sampled_from([0.0, 0.5, 3.0]))
def test_all_sent_units_are_reported_once(
    rate: float, burst: float, steps: list[Step], losses: list[Outcome], billed: float
) -> None:
    play = play_steps(AggregationSettings("", rate, burst), steps, losses, billed)
    reported = play.reported()
    assert {c: round(reported.get(c, 0.0), 6) for c in play.sent} == {
        c: round(units, 6) for c, units in play.sent.items()}
    for gateway in play.gateways:
        assert not any(t.unreported_units for t in gateway.throttles.values())


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.sampled_from([0.5, 3.0]), STEPS, LOSSES)
def test_calls_are_bounded_in_any_order_of_events(
    rate: float, steps: list[Step], losses: list[Outcome]
) -> None:
    # the flush at the end of a process is not limited: it reports all remaining units
    budget = AggregationSettings("", rate, 4.0)
    play = play_steps(budget, [step for step in steps if step[0] != "settled"], losses)
    for gateway in (0, 1):
        times = [time for time, caller, _ in play.calls if caller == gateway and time < play.now - 1.0]
        for number, time in enumerate(times, 1):
            assert number <= budget.calls_per_second * (time - START) + 1e-6


@pytest.mark.parametrize("billed", [0.0, 0.5, 3.0])
def test_unreported_units_of_customers_without_further_requests_are_reported(billed: float) -> None:
    outcomes = iter([Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.SERVED, Outcome.ERROR])
    play = Play(BUDGET, plan=ROOMY, billed=billed, answer=lambda call, now: next(outcomes, Outcome.SERVED))
    for number in range(60):
        play.request(f"c{number}")
    play.run_to(START + 30.0)
    assert play.reported() == play.sent


def test_a_pool_change_keeps_the_bucket_and_removing_the_limit_frees_calls() -> None:
    play = Play(BUDGET)
    gateway = play.gateways[0]
    before = gateway.budget
    play.handle(0, SettingsChanged(gateway.settings.pool, BUDGET))
    assert gateway.budget is before is not None
    play.request("c")
    assert not play.calls
    play.handle(0, SettingsChanged(gateway.settings.pool, None))
    assert gateway.budget is None
    play.request("d")
    assert [call.name.partition(".")[0] for _, _, call in play.calls] == ["d"]
    play.flush()
    assert play.reported()["c"] == 1.0


def test_a_hand_over_transfers_unreported_units() -> None:
    play = Play(BUDGET, gateways=2, plan=replace(SMALL, burst=40.0))  # so that no total has to be corrected
    play.request("c")
    state = json.loads(json.dumps(play.gateways[0].hand_over(play.now)))
    play.handle(1, PredecessorState(state))
    play.flush()
    assert play.reported() == {"c": 1.0} and {caller for _, caller, _ in play.calls} == {1}


# many gateways at once


def test_a_fleet_that_starts_together_makes_no_burst() -> None:
    play = Play(BUDGET, gateways=20, width=20)
    for number in range(8000):
        play.run_to(START + number / 4000)
        play.request(f"c{number % 2000}", gateway=number % 20)
    play.run_to(START + 2.5)
    check_bound(play)
    # 1,100 buckets from which all tokens are taken, in the first second: their rate and no burst
    throttle = Throttle("c", SMALL, FLEET, START, START, 4.0)
    made = [CallBudget(BUDGET, START) for _ in range(FLEET)]
    for step in range(1, 51):
        now = START + step / 50
        taken = sum(budget.try_take(throttle, True, 0.0, now) for budget in made for _ in range(3))
        assert taken <= FLEET * BUDGET.calls_per_second / 50 + FLEET


def test_tokens_saved_during_an_outage_are_not_spent_at_once() -> None:
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


def test_a_failed_call_to_one_aggregator_does_not_stop_calls_to_others() -> None:
    def one_unreachable(call: AddToCounter, now: float) -> Outcome:
        return Outcome.NO_CONNECTION if "bad" in call.name else Outcome.SERVED

    play = Play(BUDGET, answer=one_unreachable)
    play.run_to(START + 5.0)
    play.request("bad")
    play.run_to(play.now + 0.05)
    play.request("good")
    assert [call.name.partition(".")[0] for _, _, call in play.calls] == ["bad", "good"]


# without a budget


RECORDED = pathlib.Path(__file__).parent / "counting.reply.txt"
RECORDED_NAMES: dict[type, str] = {AddToCounter: "Count"}  # names of actions in RECORDED, where they differ


def played_without_budget() -> str:
    """Digests of all actions of plays with small and large slices, and a counter that fails at times."""
    lines = []
    for width, plan, many in ((FLEET, SMALL, 40), (2, PLAN, 6), (14, replace(SMALL, burst=20.0), 10)):
        chance = random.Random(width)

        def lossy(call: AddToCounter, now: float, chance: random.Random = chance) -> Outcome:
            return chance.choice([Outcome.SERVED] * 9 + [Outcome.TIMED_OUT, Outcome.REJECTED])

        play = Play(None, gateways=2, width=width, plan=plan, answer=lossy)
        digest = hashlib.blake2b(digest_size=16)
        perform = play.perform

        def record(gateway: int, action: Action, perform=perform, digest=digest) -> None:  # type: ignore[no-untyped-def]
            digest.update(f"{gateway} {rounded(action)}\n".encode())
            perform(gateway, action)

        play.perform = record  # type: ignore[method-assign]
        for number in range(6000):
            play.run_to(START + number / 200)
            play.request(f"c{chance.randrange(many)}", gateway=number % 2)
        play.flush()
        lines.append(f"{width} {len(play.calls)} {sum(play.sent.values()):.0f} {digest.hexdigest()}")
    return "\n".join(lines) + "\n"


def rounded(action: Action) -> str:
    """An action as text, with numbers to six digits and without fields that are not compared."""
    values = [getattr(action, field.name) for field in fields(action) if field.compare]
    texts = [f"{value:.6g}" if isinstance(value, float) else str(value) for value in values]
    return " ".join([RECORDED_NAMES.get(type(action), type(action).__name__), *texts])


def test_without_a_budget_all_actions_are_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    """Except for a limit added later: the number of backends that a gateway uses if there are very many."""
    now = played_without_budget().splitlines()
    monkeypatch.setattr("embersill.control.MAX_APERTURE", 10**6)
    assert played_without_budget() == RECORDED.read_text()
    before = RECORDED.read_text().splitlines()
    assert now[:2] == before[:2]  # with up to six backends for each gateway the limit makes no difference
    assert [line.rpartition(" ")[0] for line in now] == [line.rpartition(" ")[0] for line in before]


def test_a_plan_without_a_quota_may_use_the_budget_for_leases() -> None:
    plan = replace(SMALL, rate=0.0, burst=0.0, ceiling_rate=15.0, ceiling_depth=41.0)
    budget, throttle = CallBudget(BUDGET, START), Throttle("c", plan, FLEET, START, START, 4.0)
    assert budget.try_take(throttle, False, 1.0, START + 10.0)


# customers near their quota, whose demand is reported, among others that use all calls

HOT = Plan("hot", 12.0, 24.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
SHORT = AggregationSettings("", 12.0, 12.0)
HOT_SECONDS, HOT_SET, LOW_RATE_SET = 20.0, 3, 24
REPORTED_AFTER = 1.5  # seconds until demand is reported: at the end of its second, and the call itself


def play_hot(shares: tuple[float, ...], budget: AggregationSettings | None = SHORT) -> Play:
    """A hot customer among others near their quotas. `shares`: its load at each gateway, in quotas."""
    play, chance, steps = Play(budget, HOT_SET, LOW_RATE_SET, HOT), random.Random(7), []
    for gateway, share in enumerate(shares):
        hot = int(HOT_SECONDS * HOT.rate * share)
        steps += [(HOT_SECONDS * number / hot, "hot", gateway, HOT_SET) for number in range(hot)]
        steps += [
            (HOT_SECONDS * chance.random(), f"thin{chance.randrange(3)}", gateway, LOW_RATE_SET)
            for _ in range(int(25.0 * HOT_SECONDS))
        ]
    for at, customer, gateway, width in sorted(steps):
        play.run_to(START + at)
        play.request_from(customer, width, gateway)
    return play


def test_a_customer_with_one_gateway_in_use_gets_its_quota_with_few_calls() -> None:
    """It got only its even slice: calls for other customers left none to report its demand."""
    play = play_hot((2.0, 0.0, 0.0))
    check_bound(play, SHORT)
    assert play.sent["hot"] >= 0.8 * HOT.rate * HOT_SECONDS
    assert play.sent["hot"] <= HOT.rate * HOT_SECONDS + HOT.burst + 2.0 * HOT.rate * REPORTED_AFTER


def test_a_customer_with_all_gateways_in_use_sends_no_burst_with_few_calls() -> None:
    """Each gateway used most of the quota: the total that it read lacked the demand of the others."""
    play = play_hot((1.0, 1.0, 1.0))
    check_bound(play, SHORT)
    times = play.sent_at["hot"]
    assert len(times) >= 0.8 * HOT.rate * HOT_SECONDS
    for first in times:
        sent = sum(first <= time < first + 3.0 for time in times)
        assert sent <= 3.0 * HOT.rate + HOT.burst + HOT_SET * HOT.rate * REPORTED_AFTER


@pytest.mark.parametrize("shares", [(2.0, 0.0, 0.0), (1.0, 1.0, 1.0), (1.0, 0.5, 0.2), (0.6, 0.6, 0.0)])
def test_few_calls_do_not_change_what_a_customer_near_its_quota_may_send(shares: tuple[float, ...]) -> None:
    short, free = play_hot(shares), play_hot(shares, None)
    check_bound(short, SHORT)
    assert len(short.calls) < 0.8 * len(free.calls)
    assert short.sent["hot"] == pytest.approx(free.sent["hot"], rel=0.03)


@pytest.mark.parametrize("customers", [1, 10, 40])
def test_customers_near_their_quota_leave_calls_to_others(customers: int) -> None:
    play, steps = Play(SHORT, 1, LOW_RATE_SET, HOT), []
    for number in range(customers):
        steps += [(at / HOT.rate, f"hot{number}", HOT_SET) for at in range(int(HOT_SECONDS * HOT.rate))]
    for number in range(3):
        steps += [(at / HOT.rate, f"thin{number}", LOW_RATE_SET) for at in range(int(HOT_SECONDS * HOT.rate))]
    for at, customer, width in sorted(steps):
        play.run_to(START + at)
        play.request_from(customer, width)
    check_bound(play, SHORT)
    other_calls = sum(call.name.startswith("thin") for _, _, call in play.calls)
    assert other_calls >= 0.4 * SHORT.calls_per_second * HOT_SECONDS
    if customers > 1:
        near_quota_calls = len(play.calls) - other_calls
        assert near_quota_calls >= 0.3 * SHORT.calls_per_second * HOT_SECONDS


def test_customers_near_their_quota_long_ago_do_not_reduce_the_share_of_current_ones() -> None:
    budget = CallBudget(SHORT, START)
    for number in range(200):
        asked = Throttle(f"old{number}", HOT, HOT_SET, START, START, 4.0)
        asked.local_demand = HOT.rate
        budget.try_take(asked, False, 0.0, START + 1.0)
    throttle = Throttle("hot", HOT, HOT_SET, START, START, 4.0)
    throttle.local_demand = HOT.rate
    assert budget.try_take(throttle, False, 0.0, START + 100.0)
