"""Checks what the peers observed against the rules of the protocol and the service levels of operations."""

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

TIME_LIMIT_SLACK = 0.05  # seconds that the protocol allows on every time limit
MAX_START_AFTER_CLOSE = 0.1  # seconds after a client's close in which an attempt may still start
BUDGET_SLACK = 0.15  # seconds by which X-Budget may exceed the time the client has left
CROSSING_WINDOW = 0.1  # seconds before a close in which a request may have been sent and never read
# Seconds after SIGTERM; requests sent later that SIGKILL leaves unanswered count as lost.
KILL_EXCUSED_WITHIN = 0.7
RELOAD_TIME = 4.0  # seconds after SIGHUP until the gateway must know the new discovery's list
MIN_SERVED_SHARE = 0.2  # of a day's servable requests (see servable_requests)
MIN_SERVABLE = 20  # servable requests below which the share is not checked
MIN_BUDGET = 0.3  # seconds; a request with less time left need not be served
SMALL_ALLOWANCE = 30  # attempts; below it the slow-start check allows 3*sqrt(n)+3 above n, else 2*sqrt(n)+2


@dataclass(frozen=True, slots=True)
class ProcessLife:
    """When a gateway's process was ready, was sent SIGTERM and ended, by the monotonic clock in seconds."""

    gateway: int
    ready_at: float
    terminated_at: float = inf
    ended_at: float = inf
    killed: bool = False


@dataclass(slots=True)
class PlayRecord:
    """Input of the checks: everything that was observed in one run."""

    deployment: Deployment
    requests: Iterable[ClientRequest]
    attempts: dict[str, list[Attempt]]  # by backend
    cold_starts: dict[str, list[float]]  # by backend: when it was listed as just started
    drain_histories: dict[int, DrainHistory]  # by gateway
    reloads: dict[int, list[float]]  # by gateway: when it was sent SIGHUP
    lives: list[ProcessLife]
    bad_clients: list[BadClient]
    backend_rate: float  # requests per second that a warm backend can serve
    lateness: Lateness  # of the peers' own process
    repeat_groups: dict[str, dict[str, str]]  # by scope, then backend: group that deduplicates keyed repeats


def life_at(record: PlayRecord, request: ClientRequest) -> ProcessLife | None:
    """The newest process of the request's gateway that was ready when the request was sent."""
    lives = (life for life in reversed(record.lives) if life.gateway == request.gateway)
    return next((life for life in lives if life.ready_at <= request.written_at), None)


def check_answer(record: PlayRecord, request: ClientRequest) -> Violation | None:
    """Expects one complete answer in time, unless the client disconnected or the gateway was killed."""
    if (
        request.written_at == inf
        or request.disconnected_at < request.written_at + request.budget + MAX_ANSWER_DELAY
    ):
        return None
    life = life_at(record, request)
    due = request.written_at + request.budget + MAX_ANSWER_DELAY + TIME_LIMIT_SLACK
    due += record.lateness.maximum_near(request.written_at, due)
    if life is not None and life.killed and life.ended_at < due:
        if request.written_at < life.terminated_at + KILL_EXCUSED_WITHIN or life.terminated_at == inf:
            return None
        if life.ended_at - request.written_at < CROSSING_WINDOW + record.lateness.maximum_near(life.ended_at):
            return None  # the gateway may not have read it
    if request.closed_at < inf:
        crossing = CROSSING_WINDOW + record.lateness.maximum_near(request.closed_at)
        crossed = request.closed_at - request.written_at < crossing and not request.attempts
        return None if crossed else Violation("lost", request.call_id, "closed without a complete answer")
    if request.answered_at > due:
        return Violation("lost", request.call_id, f"no answer {MAX_ANSWER_DELAY} s after its deadline")
    if not request.complete:
        return Violation("lost", request.call_id, "served with a body that no backend sent")
    return None


def check_attempts(record: PlayRecord, request: ClientRequest) -> Iterable[Violation]:
    """Checks when attempts started, the budget sent with them, and whether a repeat was allowed."""
    request_class = next(c for c in record.deployment.classes if c.repeats == request.repeats)
    for index, attempt in enumerate(request.attempts):
        late = record.lateness.maximum_near(
            attempt.first_byte_at, attempt.received_at, request.disconnected_at
        )
        slack = TIME_LIMIT_SLACK + late
        if attempt.first_byte_at > request.disconnected_at + MAX_START_AFTER_CLOSE + slack:
            delay = attempt.first_byte_at - request.disconnected_at
            yield Violation("lost", request.call_id, f"attempt {index} began {delay:.3f} s after the close")
        remaining = request.written_at + request.budget - attempt.received_at
        if attempt.budget > remaining + BUDGET_SLACK + slack:
            detail = f"sent a budget of {attempt.budget:.3f} s with {remaining:.3f} s left"
            yield Violation("deadline", request.call_id, detail)
        earlier = [a for a in request.attempts[:index] if a.end is not AttemptEnd.REJECTED]
        if not earlier:
            continue
        if request.repeats == "once":
            yield Violation("repeat", request.call_id, f"attempt {index} of a class that is unsafe to repeat")
        elif request.repeats == "by_key":
            groups, first = record.repeat_groups[request_class.scope], earlier[0]
            if groups[first.backend] != groups[attempt.backend]:
                yield Violation(
                    "repeat", request.call_id, f"attempt {index} in another {request_class.scope}"
                )
            if attempt.received_at > first.received_at + request_class.window + slack:
                yield Violation("repeat", request.call_id, f"attempt {index} after the window for repeats")


def check_drains(record: PlayRecord) -> Iterable[Violation]:
    """No attempt starts at a backend after the grace that follows its drain or removal in the list."""
    for backend, attempts in record.attempts.items():
        for attempt in attempts:
            gateway = attempt.gateway
            for period in record.drain_histories[gateway].periods.get(backend, ()):
                reloads = [
                    hup for hup in record.reloads[gateway] if hup <= period.started_at < hup + RELOAD_TIME
                ]
                known_at = max([period.started_at, *(hup + RELOAD_TIME for hup in reloads)])
                late = attempt.first_byte_at - known_at - GRACE - TIME_LIMIT_SLACK
                late -= record.lateness.maximum_near(known_at, attempt.first_byte_at)
                if late > 0 and attempt.first_byte_at < period.ended_at:
                    yield Violation("drain", "", f"{backend} from gateway {gateway}, {late:.3f} s late")


def check_slow_starts(record: PlayRecord) -> Iterable[Violation]:
    """No cold backend gets more attempts from all gateways than its share of a warm one's capacity allows."""
    deployment = record.deployment
    for backend, starts in record.cold_starts.items():
        for start in starts:
            times = sorted(
                a.first_byte_at
                for a in record.attempts.get(backend, ())
                if start <= a.first_byte_at < start + deployment.warm_within
            )
            first = 0
            for last, end in enumerate(times):
                while times[first] <= end - deployment.overload_for:
                    first += 1
                age = times[first] - start
                share = min(
                    1.0, deployment.cold_from + (1.0 - deployment.cold_from) * age / deployment.warm_within
                )
                allowed = deployment.fall_multiple * share * record.backend_rate * deployment.overload_for
                tolerance = (
                    3.0 * sqrt(allowed) + 3.0 if allowed < SMALL_ALLOWANCE else 2.0 * sqrt(allowed) + 2.0
                )
                count = last - first + 1
                if count > allowed + tolerance:
                    yield Violation("failback", "", f"{backend}: {count} attempts, {allowed:.1f} allowed")
                    break


def check_ceilings(record: PlayRecord) -> Iterable[Violation]:
    """Checks each customer's ceiling as one token bucket over all gateways.

    A request takes its unit when a backend has received its first attempt in full.
    """
    deployment = record.deployment
    rate, depth = deployment.ceiling * deployment.rate, deployment.ceiling * deployment.burst
    if rate <= 0:
        return
    takes: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for request in record.requests:
        if request.attempts:
            takes[request.customer].append((request.attempts[0].received_at, request.call_id))
    slack = max(0.1 * depth, 1.0) + 0.15 * rate
    for times in takes.values():
        level, previous_at = depth, 0.0
        for at, call_id in sorted(times):
            level = min(depth, level + rate * (at - previous_at)) - 1.0 if previous_at else depth - 1.0
            previous_at = at
            if level < -slack:
                yield Violation("ceiling", call_id, f"the token bucket is {-level:.1f} units below zero")
                break


def check_bad_clients(record: PlayRecord) -> Iterable[Violation]:
    """A peer that sends a malformed or incomplete request gets an error or a close in time."""
    for bad in record.bad_clients:
        took = bad.ended_at - bad.started_at
        if took > (
            BAD_CLIENT_TIMEOUT + TIME_LIMIT_SLACK + record.lateness.maximum_near(bad.started_at, bad.ended_at)
        ):
            detail = f"gateway {bad.gateway} sent no error and did not close within {took:.2f} s"
            yield Violation("bad input", "", detail)
        elif bad.status and not 400 <= bad.status < 600:
            yield Violation("bad input", "", f"gateway {bad.gateway} answered {bad.status}")


def servable_requests(record: PlayRecord) -> list[ClientRequest]:
    """Requests that a policy with exact knowledge of every token bucket could have served.

    Those inside quota and ceiling whose client waited and whose gateway ran all the time.
    """
    deployment = record.deployment
    rates = [(deployment.rate, deployment.burst)]
    if deployment.ceiling > 0:
        rates.append((deployment.ceiling * deployment.rate, deployment.ceiling * deployment.burst))
    levels_by_customer: dict[str, list[float]] = {}
    refilled_at: dict[str, float] = {}
    found = []
    for request in sorted(record.requests, key=lambda request: request.written_at):
        if request.written_at == inf:
            continue
        levels = levels_by_customer.setdefault(request.customer, [burst for _, burst in rates])
        elapsed = request.written_at - refilled_at.get(request.customer, request.written_at)
        refilled_at[request.customer] = request.written_at
        for index, (rate, burst) in enumerate(rates):
            levels[index] = min(burst, levels[index] + rate * elapsed)
        if min(levels) < 1.0 or not had_time(record, request):
            continue
        levels_by_customer[request.customer] = [level - 1.0 for level in levels]
        found.append(request)
    return found


def had_time(record: PlayRecord, request: ClientRequest) -> bool:
    """Whether the client waited for its whole budget and the gateway was not ended meanwhile."""
    end = request.written_at + request.budget
    if request.budget < MIN_BUDGET or request.disconnected_at < end:
        return False
    life = life_at(record, request)
    return life is not None and min(life.terminated_at, life.ended_at) >= end


def check_served(record: PlayRecord) -> Iterable[Violation]:
    """At least MIN_SERVED_SHARE of the servable requests are served, in all and of each class.

    Without it a gateway that refuses everything would pass all other checks.
    """
    servable = Counter(request.repeats for request in servable_requests(record))
    served = Counter(
        request.repeats for request in record.requests if request.status == 200 and request.complete
    )
    counts = {c.name: (served[c.repeats], servable[c.repeats]) for c in record.deployment.classes}
    counts["all"] = served.total(), servable.total()
    for name, (served_count, total) in counts.items():
        if total >= MIN_SERVABLE and served_count < MIN_SERVED_SHARE * total:
            yield Violation("served", "", f"{served_count} of {total} of {name} that could be served")


def check_all(record: PlayRecord) -> list[Violation]:
    """Runs all checks and returns every violation."""
    found: list[Violation] = []
    for request in record.requests:
        violation = check_answer(record, request)
        found += [violation] if violation is not None else []
        found += check_attempts(record, request)
    found += check_drains(record)
    found += check_slow_starts(record)
    found += check_ceilings(record)
    found += check_bad_clients(record)
    found += check_served(record)
    return found
