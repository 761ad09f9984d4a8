"""Holds what the peers saw against the rules of the protocol and of operations' terms."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf, sqrt

from embersill.lab.soak.clients import BAD_CLIENT_TIMEOUT, MAX_ANSWER_DELAY, BadClient
from embersill.lab.soak.deployment import GRACE, Deployment
from embersill.lab.soak.discovery_agent import DrainHistory
from embersill.lab.soak.lateness import Lateness
from embersill.lab.soak.observations import Attempt, AttemptEnd, ClientRequest, Violation

TIME_LIMIT_SLACK = 0.05  # seconds, by the protocol
MAX_START_AFTER_CLOSE = 0.1  # seconds after a client's close in which an attempt may still begin
BUDGET_SLACK = 0.15  # seconds that a backend may be told beyond what the client has left
CROSSING_WINDOW = 0.1  # seconds before a close in which a request may have crossed it unread
KILL_EXCUSED_WITHIN = 0.7  # seconds after SIGTERM: what came later is lost where SIGKILL finds it unanswered
RELOAD_TIME = 4.0  # seconds after SIGHUP at which what discovery has counts as told
MIN_SERVED_SHARE = 0.2  # of what a policy that sees the true stores could have served, on each day
MIN_SERVABLE = 20  # requests that could have been served, from which a share says something
MIN_BUDGET = 0.3  # seconds that a client waits, below which it may get nothing
SMALL_ALLOWANCE = 30  # calls below which the slow-start budget allows three roots and three


@dataclass(frozen=True, slots=True)
class ProcessLife:
    """One process of a gateway, in moments of the monotonic clock."""

    gateway: int
    ready_at: float
    terminated_at: float = inf
    ended_at: float = inf
    killed: bool = False


@dataclass(slots=True)
class PlayRecord:
    """All that the checks look at."""

    deployment: Deployment
    requests: Iterable[ClientRequest]
    attempts: dict[str, list[Attempt]]  # by backend
    cold_starts: dict[str, list[float]]  # by backend: its cold starts
    drain_histories: dict[int, DrainHistory]  # by gateway
    reloads: dict[int, list[float]]
    lives: list[ProcessLife]
    bad_clients: list[BadClient]
    backend_rate: float  # requests a second that a warm backend can do
    lateness: Lateness  # of the peers themselves
    repeat_groups: dict[str, dict[str, str]]  # by scope and backend: where repeats are dropped


def life_at(seen: PlayRecord, request: ClientRequest) -> ProcessLife | None:
    """The newest process of its gateway as it was written."""
    lives = (x for x in reversed(seen.lives) if x.gateway == request.gateway)
    return next((life for life in lives if life.ready_at <= request.written_at), None)


def check_answer(seen: PlayRecord, request: ClientRequest) -> Violation | None:
    """One whole final answer in time, unless its client left or its gateway was killed."""
    if request.written_at == inf or request.disconnected_at < request.written_at + request.budget + MAX_ANSWER_DELAY:
        return None
    life = life_at(seen, request)
    due = request.written_at + request.budget + MAX_ANSWER_DELAY + TIME_LIMIT_SLACK
    due += seen.lateness.maximum_near(request.written_at, due)
    if life is not None and life.killed and life.ended_at < due:
        if request.written_at < life.terminated_at + KILL_EXCUSED_WITHIN or life.terminated_at == inf:
            return None
        if life.ended_at - request.written_at < CROSSING_WINDOW + seen.lateness.maximum_near(life.ended_at):
            return None  # it may not have been read
    if request.closed_at < inf:
        crossing = CROSSING_WINDOW + seen.lateness.maximum_near(request.closed_at)
        crossed = request.closed_at - request.written_at < crossing and not request.attempts
        return None if crossed else Violation("lost", request.call_id, "closed with no whole answer")
    if request.answered_at > due:
        return Violation("lost", request.call_id, f"no answer {MAX_ANSWER_DELAY} s after its time")
    if not request.complete:
        return Violation("lost", request.call_id, "served with what no backend made")
    return None


def check_attempts(seen: PlayRecord, request: ClientRequest) -> Iterable[Violation]:
    """When attempts began, what they told, and whether a further one was allowed."""
    klass = next(c for c in seen.deployment.classes if c.repeats == request.repeats)
    for place, attempt in enumerate(request.attempts):
        late = seen.lateness.maximum_near(attempt.first_byte_at, attempt.received_at, request.disconnected_at)
        slack = TIME_LIMIT_SLACK + late
        if attempt.first_byte_at > request.disconnected_at + MAX_START_AFTER_CLOSE + slack:
            after = attempt.first_byte_at - request.disconnected_at
            yield Violation("lost", request.call_id, f"attempt {place} began {after:.3f} s after the close")
        left = request.written_at + request.budget - attempt.received_at
        if attempt.budget > left + BUDGET_SLACK + slack:
            what = f"told {attempt.budget:.3f} s with {left:.3f} s left"
            yield Violation("deadline", request.call_id, what)
        before = [a for a in request.attempts[:place] if a.end is not AttemptEnd.REJECTED]
        if not before:
            continue
        if request.repeats == "once":
            yield Violation("repeat", request.call_id, f"attempt {place} of a class that is unsafe to repeat")
        elif request.repeats == "by_key":
            groups, first = seen.repeat_groups[klass.scope], before[0]
            if groups[first.backend] != groups[attempt.backend]:
                yield Violation("repeat", request.call_id, f"attempt {place} in another {klass.scope}")
            if attempt.received_at > first.received_at + klass.window + slack:
                yield Violation("repeat", request.call_id, f"attempt {place} after the window for repeats")


def check_drains(seen: PlayRecord) -> Iterable[Violation]:
    """No send after the grace to what a gateway was told to drain or to be gone."""
    for backend, attempts in seen.attempts.items():
        for attempt in attempts:
            gateway = attempt.gateway
            for end in seen.drain_histories[gateway].periods.get(backend, ()):
                reloads = [hup for hup in seen.reloads[gateway] if hup <= end.started_at < hup + RELOAD_TIME]
                told_at = max([end.started_at, *(hup + RELOAD_TIME for hup in reloads)])
                late = attempt.first_byte_at - told_at - GRACE - TIME_LIMIT_SLACK
                late -= seen.lateness.maximum_near(told_at, attempt.first_byte_at)
                if late > 0 and attempt.first_byte_at < end.ended_at:
                    yield Violation("drain", "", f"{backend} from gateway {gateway}, {late:.3f} s late")


def check_slow_starts(seen: PlayRecord) -> Iterable[Violation]:
    """The budget of a cold backend, over all processes."""
    form = seen.deployment
    for backend, starts in seen.cold_starts.items():
        for start in starts:
            times = sorted(
                a.first_byte_at
                for a in seen.attempts.get(backend, ())
                if start <= a.first_byte_at < start + form.warm_within
            )
            first = 0
            for place, end in enumerate(times):
                while times[first] <= end - form.overload_for:
                    first += 1
                age = times[first] - start
                share = min(1.0, form.cold_from + (1.0 - form.cold_from) * age / form.warm_within)
                allowed = form.fall_multiple * share * seen.backend_rate * form.overload_for
                chance = 3.0 * sqrt(allowed) + 3.0 if allowed < SMALL_ALLOWANCE else 2.0 * sqrt(allowed) + 2.0
                calls = place - first + 1
                if calls > allowed + chance:
                    yield Violation("failback", "", f"{backend}: {calls} calls, {allowed:.1f} allowed")
                    break


def check_ceilings(seen: PlayRecord) -> Iterable[Violation]:
    """Each customer's store over all gateways: a request takes its unit when its first attempt is whole."""
    form = seen.deployment
    rate, depth = form.ceiling * form.rate, form.ceiling * form.burst
    if rate <= 0:
        return
    takes: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for request in seen.requests:
        if request.attempts:
            takes[request.customer].append((request.attempts[0].received_at, request.call_id))
    slack = max(0.1 * depth, 1.0) + 0.15 * rate
    for times in takes.values():
        level, before = depth, 0.0
        for at, call_id in sorted(times):
            level = min(depth, level + rate * (at - before)) - 1.0 if before else depth - 1.0
            before = at
            if level < -slack:
                yield Violation("ceiling", call_id, f"the store is {-level:.1f} below nought")
                break


def check_bad_clients(seen: PlayRecord) -> Iterable[Violation]:
    for bad in seen.bad_clients:
        took = bad.ended_at - bad.started_at
        if took > BAD_CLIENT_TIMEOUT + TIME_LIMIT_SLACK + seen.lateness.maximum_near(bad.started_at, bad.ended_at):
            what = f"gateway {bad.gateway} gave neither error nor close in {took:.2f} s"
            yield Violation("bad input", "", what)
        elif bad.status and not 400 <= bad.status < 600:
            yield Violation("bad input", "", f"gateway {bad.gateway} answered {bad.status}")


def servable_requests(seen: PlayRecord) -> list[ClientRequest]:
    """Requests that a policy with a view of the true stores could have served.

    Those inside quota and ceiling whose client waited, and whose gateway was up all the time.
    """
    form = seen.deployment
    rates = [(form.rate, form.burst)]
    if form.ceiling > 0:
        rates.append((form.ceiling * form.rate, form.ceiling * form.burst))
    stores: dict[str, list[float]] = {}
    moments: dict[str, float] = {}
    found = []
    for request in sorted(seen.requests, key=lambda request: request.written_at):
        if request.written_at == inf:
            continue
        levels = stores.setdefault(request.customer, [burst for _, burst in rates])
        since = request.written_at - moments.get(request.customer, request.written_at)
        moments[request.customer] = request.written_at
        for place, (rate, burst) in enumerate(rates):
            levels[place] = min(burst, levels[place] + rate * since)
        if min(levels) < 1.0 or not had_time(seen, request):
            continue
        stores[request.customer] = [level - 1.0 for level in levels]
        found.append(request)
    return found


def had_time(seen: PlayRecord, request: ClientRequest) -> bool:
    """Whether its client waited for long enough, and its gateway was not ended meanwhile."""
    end = request.written_at + request.budget
    if request.budget < MIN_BUDGET or request.disconnected_at < end:
        return False
    life = life_at(seen, request)
    return life is not None and min(life.terminated_at, life.ended_at) >= end


def check_served(seen: PlayRecord) -> Iterable[Violation]:
    """A part of what could be served is served, in all and of each class: refusing all keeps no rule."""
    could = Counter(request.repeats for request in servable_requests(seen))
    served = Counter(request.repeats for request in seen.requests if request.status == 200 and request.complete)
    counts = {klass.name: (served[klass.repeats], could[klass.repeats]) for klass in seen.deployment.classes}
    counts["all"] = served.total(), could.total()
    for name, (done, possible) in counts.items():
        if possible >= MIN_SERVABLE and done < MIN_SERVED_SHARE * possible:
            yield Violation("served", "", f"{done} of {possible} of {name} that could be served")


def check_all(seen: PlayRecord) -> list[Violation]:
    """Every broken rule."""
    found: list[Violation] = []
    for request in seen.requests:
        violation = check_answer(seen, request)
        found += [violation] if violation is not None else []
        found += check_attempts(seen, request)
    found += check_drains(seen)
    found += check_slow_starts(seen)
    found += check_ceilings(seen)
    found += check_bad_clients(seen)
    found += check_served(seen)
    return found
