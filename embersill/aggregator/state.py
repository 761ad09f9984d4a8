"""The aggregator's table of names: decides how calls are answered and what is forwarded.

It does no I/O; the time is passed in, in seconds. A name's total is the sum of four parts: the last total
from upstream, the amount in flight, the amount not forwarded yet, and the uncertain amount of forwards that
may or may not have been added.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field
from typing import Any

from embersill.aggregator.messages import (
    Answer,
    Busy,
    BusyReason,
    Forward,
    ForwardResult,
    ForwardStatus,
    Total,
    Unknown,
    Wait,
)
from embersill.aggregator.pacing import Backoff, TokenBucket

MAX_LIFE = 60.0  # seconds: the protocol's limit for the lifetime of a name
MAX_AMOUNT = 1e9  # of one call: the protocol's limit
AMOUNT_EPSILON = 1e-9  # smaller sums are rounding errors
FALL_TOLERANCE = 1e-6  # relative: totals are exact to seven digits
REFRESH_WEIGHT = 1e-3  # units added to each amount in `Entry.urgency`, so that needed readings count too
KNOWN_NAME_INTERVAL = 4  # forwards, of which one goes to a known name even while new names wait
PROBES_PER_LEASE = 3.0  # probes within a lease when nothing else is sent
INDEX_SLACK = 1_000  # entries that an index may hold beyond twice the table before it is compacted
PROBE_NAME = b"aggregator.probe"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the state; times in seconds."""

    names: int = 100_000  # entries in the table
    waiting: int = 10_000  # calls that wait for a first total
    window: float = 0.1  # minimum time between two forwards of a name
    upstream_calls: float = 200.0  # per second
    in_flight: int = 64  # forwards and probes
    lease: float = 1.0  # totals are served this long after sending a call that upstream answered
    wait: float = 0.05  # of a call for a new name's first total, unless its amount is in flight
    stale: float = 1.0  # age from which the total of a name in use is read again


@dataclass(slots=True)
class Figures:
    """Counts since the start; the names are those of the published statistics."""

    calls: int = 0
    totals: int = 0
    waits: int = 0
    waits_unknown: int = 0
    busy: dict[str, int] = field(default_factory=lambda: {reason.value: 0 for reason in BusyReason})
    forwards: int = 0
    forwards_by_status: dict[str, int] = field(
        default_factory=lambda: {status.value: 0 for status in ForwardStatus}
    )
    probes: int = 0
    names_evicted: int = 0
    names_expired: int = 0
    names_expired_unforwarded: int = 0
    amount_expired: float = 0.0  # absolute amounts dropped when their names expired
    amount_refused: float = 0.0  # absolute amounts of forwards that upstream rejected as malformed
    amount_doubtful: float = 0.0  # absolute amounts of forwards with unknown result
    totals_fallen: int = 0
    results_unmatched: int = 0


@dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits for the first total of its name."""

    ticket: int
    amount: float
    deadline: float
    entry: Entry
    answered: bool = False


@dataclass(slots=True, eq=False)
class Entry:
    """What is known of one name, and what is to be forwarded for it."""

    name: bytes
    expires_at: float
    upstream_total: float | None = None  # None until the first total arrives
    read_at: float = float("-inf")  # send time of the call that returned `upstream_total`
    unforwarded: float = 0.0
    unforwarded_since: float = 0.0
    in_flight: Forward | None = None
    uncertain: float = 0.0
    needs_reading: bool = False
    forwarded_at: float = float("-inf")
    waiting: list[Waiter] = field(default_factory=list)  # their amounts are part of `unforwarded`
    waiting_in_flight: list[Waiter] = field(default_factory=list)  # their amounts are in flight

    def total(self) -> float:
        """The total with everything that this aggregator knows of."""
        in_flight = self.in_flight.amount if self.in_flight is not None else 0.0
        return (self.upstream_total or 0.0) + in_flight + self.unforwarded + self.uncertain

    def needs_forward(self) -> bool:
        """Whether there is an amount to forward or a total to read."""
        return abs(self.unforwarded) > AMOUNT_EPSILON or self.needs_reading or bool(self.waiting)

    def is_clean(self) -> bool:
        """Whether the entry can be dropped without losing an amount."""
        return self.in_flight is None and not self.needs_forward()

    def urgency(self, now: float) -> float:
        """The priority of the forward: amount times age."""
        return (abs(self.unforwarded) + REFRESH_WEIGHT) * (now - self.unforwarded_since + AMOUNT_EPSILON)


class Aggregation:
    """A bounded table of names. Replies to waiting calls collect in `answers`."""

    def __init__(self, limits: Limits, now: float, seed: int | None = None) -> None:
        self.limits = limits
        self.figures = Figures()
        self.answers: list[Answer] = []
        self.draining = False
        self.lease_started_at = float("-inf")  # send time of the latest call answered with a total
        self.entries: dict[bytes, Entry] = {}
        self.clean: OrderedDict[bytes, None] = OrderedDict()  # least recently used first
        self.dirty: dict[bytes, Entry] = {}  # to be forwarded or in flight; longest waiting first
        self.expiries: list[tuple[float, int, Entry]] = []
        self.waiters: deque[Waiter] = deque()  # in order of deadline
        self.waiting_count = 0
        self.new_names: deque[Entry] = deque()
        self.ranked: list[Entry] = []  # by urgency, highest last
        self.ranked_at = float("-inf")
        self.oldest_is_next = False
        self.in_flight: dict[int, tuple[Forward, Entry | None]] = {}  # the entry is None for a probe
        self.bucket = TokenBucket(limits.upstream_calls, now)
        self.backoff = Backoff(random.Random(seed))
        self.last_sent_at = float("-inf")
        self.last_id = 0

    # calls of gateways and lower aggregators

    def add(self, name: bytes, amount: float, life: float, now: float) -> Total | Wait | Busy:
        """Adds an amount to a name; a new name is created with `life` as its lifetime in seconds."""
        self.expire_due(now)
        self.figures.calls += 1
        entry = self.entries.get(name)
        reason = self.rejection_reason(entry, now)
        if reason is not None:
            return self.reject(reason)
        if entry is None:
            entry = self.create_entry(name, min(life, MAX_LIFE), now)
        if entry.upstream_total is None:
            return self.wait_for_total(entry, amount, now)
        self.add_unforwarded(entry, amount, now)
        if now - entry.read_at > self.limits.stale:
            entry.needs_reading = True
        self.update_indexes(entry)
        self.figures.totals += 1
        return Total(entry.total())

    def rejection_reason(self, entry: Entry | None, now: float) -> BusyReason | None:
        """Returns why a call must be rejected now, or None. Evicts an entry if a new name needs the space."""
        if self.draining:
            return BusyReason.DRAINING
        if not self.has_lease(now):
            return BusyReason.CUT_OFF
        has_no_total = entry is None or entry.upstream_total is None
        if has_no_total and self.waiting_count >= self.limits.waiting:
            return BusyReason.TOO_MANY_WAITING
        if entry is None and len(self.entries) >= self.limits.names and not self.evict():
            return BusyReason.TABLE_FULL
        return None

    def has_lease(self, now: float) -> bool:
        """Whether upstream has answered recently enough to serve totals."""
        return now - self.lease_started_at <= self.limits.lease

    def reject(self, reason: BusyReason) -> Busy:
        """Counts a rejected call and returns its reply."""
        self.figures.busy[reason.value] += 1
        return Busy(reason)

    def add_unforwarded(self, entry: Entry, amount: float, now: float) -> None:
        """Adds an amount to forward; its age starts if nothing else was due."""
        if not entry.needs_forward():
            entry.unforwarded_since = now
        entry.unforwarded += amount

    def wait_for_total(self, entry: Entry, amount: float, now: float) -> Wait:
        """Adds an amount to a name without a total; its call waits for the first one."""
        self.add_unforwarded(entry, amount, now)
        waiter = Waiter(self.new_id(), amount, now + self.limits.wait, entry)
        entry.waiting.append(waiter)
        self.waiters.append(waiter)
        self.waiting_count += 1
        self.figures.waits += 1
        self.update_indexes(entry)
        return Wait(waiter.ticket)

    def new_id(self) -> int:
        """Returns a number for a ticket, a forward or a heap entry."""
        self.last_id += 1
        return self.last_id

    # the table

    def create_entry(self, name: bytes, life: float, now: float) -> Entry:
        """Adds a name to the table; its lifetime starts now."""
        entry = Entry(name, now + life)
        self.entries[name] = entry
        heapq.heappush(self.expiries, (entry.expires_at, self.new_id(), entry))
        self.new_names.append(entry)
        self.compact_indexes()
        return entry

    def compact_indexes(self) -> None:
        """Removes entries that left the table early from an index in which they are the majority."""
        limit = 2 * len(self.entries) + INDEX_SLACK
        if len(self.expiries) > limit:
            self.expiries = [expiry for expiry in self.expiries if self.is_in_table(expiry[2])]
            heapq.heapify(self.expiries)
        if len(self.new_names) > limit:
            self.new_names = deque(entry for entry in self.new_names if self.is_in_table(entry))

    def is_in_table(self, entry: Entry) -> bool:
        """Whether the table still holds this entry, not a later one of the same name."""
        return self.entries.get(entry.name) is entry

    def update_indexes(self, entry: Entry) -> None:
        """Moves an entry to `clean`, as the most recently used, or to `dirty`."""
        if not self.is_in_table(entry):
            return
        self.clean.pop(entry.name, None)
        if entry.is_clean():
            self.dirty.pop(entry.name, None)
            self.clean[entry.name] = None
        else:
            self.dirty[entry.name] = entry

    def evict(self) -> bool:
        """Drops the least recently used clean entry; returns False if there is none."""
        if not self.clean:
            return False
        name, _ = self.clean.popitem(last=False)
        del self.entries[name]
        self.figures.names_evicted += 1
        return True

    def remove(self, entry: Entry) -> None:
        """Removes an entry from the table, if it is still there."""
        if self.is_in_table(entry):
            del self.entries[entry.name]
            self.clean.pop(entry.name, None)
            self.dirty.pop(entry.name, None)

    def expire_due(self, now: float) -> None:
        """Removes expired names and rejects calls that have waited too long."""
        while self.expiries and self.expiries[0][0] <= now:
            entry = heapq.heappop(self.expiries)[2]
            if self.is_in_table(entry):
                self.expire(entry)
        while self.waiters and (self.waiters[0].deadline <= now or self.waiters[0].answered):
            self.time_out_waiter(self.waiters.popleft())

    def expire(self, entry: Entry) -> None:
        """Removes a name whose lifetime has ended; an amount in flight stays with its forward."""
        self.remove(entry)
        self.figures.names_expired += 1
        self.reject_waiters(entry, BusyReason.NAME_EXPIRED)
        if abs(entry.unforwarded) > AMOUNT_EPSILON:
            self.drop_unforwarded(entry)

    def drop_unforwarded(self, entry: Entry) -> None:
        """Drops and counts the amount that can't be forwarded any more: the name's lifetime has ended."""
        self.figures.names_expired_unforwarded += 1
        self.figures.amount_expired += abs(entry.unforwarded)
        entry.unforwarded = 0.0

    # waiting calls

    def time_out_waiter(self, waiter: Waiter) -> None:
        """Rejects a call at its deadline, unless its amount is in flight: then the result decides."""
        entry = waiter.entry
        if waiter.answered or waiter not in entry.waiting:
            return
        entry.waiting.remove(waiter)
        self.reject_waiter(waiter, BusyReason.WAIT_ENDED)
        if entry.in_flight is None and not entry.needs_forward():
            self.remove(entry)
        else:
            self.update_indexes(entry)

    def reject_waiter(self, waiter: Waiter, reason: BusyReason) -> None:
        """Rejects a waiting call and removes its amount from those to forward."""
        entry = waiter.entry
        entry.unforwarded -= waiter.amount
        if abs(entry.unforwarded) <= AMOUNT_EPSILON:
            entry.unforwarded = 0.0
        self.answer_waiter(waiter, self.reject(reason))

    def reject_waiters(self, entry: Entry, reason: BusyReason) -> None:
        """Rejects all calls of an entry whose amounts are not in flight."""
        waiting, entry.waiting = entry.waiting, []
        for waiter in waiting:
            self.reject_waiter(waiter, reason)

    def answer_waiter(self, waiter: Waiter, reply: Total | Busy | Unknown) -> None:
        """Queues the reply to a waiting call for `take_answers`."""
        waiter.answered = True
        self.waiting_count -= 1
        self.answers.append(Answer(waiter.ticket, reply))

    def take_answers(self) -> list[Answer]:
        """Returns and clears the collected replies."""
        answers, self.answers = self.answers, []
        return answers

    # forwards

    def next_forward(self, now: float) -> Forward | None:
        """Returns the next call to make upstream, if one is due and the rate limits allow it."""
        self.expire_due(now)
        if now < self.backoff.until or len(self.in_flight) >= self.limits.in_flight:
            return None
        if not self.bucket.has_token(now):
            return None
        entry = self.pick_entry(now)
        if entry is not None:
            self.bucket.take()
            return self.start_forward(entry, now)
        if self.probe_is_due(now):
            self.bucket.take()
            return self.start_probe(now)
        return None

    def pick_entry(self, now: float) -> Entry | None:
        """Picks an entry to forward: new names first, except for one forward in KNOWN_NAME_INTERVAL."""
        known_turn = self.figures.forwards % KNOWN_NAME_INTERVAL == KNOWN_NAME_INTERVAL - 1
        if known_turn:
            return self.pick_known(now) or self.pick_new()
        return self.pick_new() or self.pick_known(now)

    def pick_known(self, now: float) -> Entry | None:
        """Alternates between the most urgent name and the longest waiting one, so that none starves."""
        if self.oldest_is_next:
            entry = self.pick_oldest(now) or self.pick_ranked(now)
        else:
            entry = self.pick_ranked(now) or self.pick_oldest(now)
        if entry is not None:
            self.oldest_is_next = not self.oldest_is_next
        return entry

    def pick_oldest(self, now: float) -> Entry | None:
        """Picks the longest waiting of the entries that may be forwarded now."""
        for entry in itertools.islice(self.dirty.values(), self.limits.in_flight + 1):
            if entry.in_flight is None and entry.needs_forward() and self.window_elapsed(entry, now):
                return entry
        return None

    def window_elapsed(self, entry: Entry, now: float) -> bool:
        """Whether the last forward of the name is at least a window ago; always while draining."""
        return self.draining or now - entry.forwarded_at >= self.limits.window

    def pick_new(self) -> Entry | None:
        """Picks the next name without a total."""
        while self.new_names:
            entry = self.new_names.popleft()
            if self.is_forwardable(entry):
                return entry
        return None

    def pick_ranked(self, now: float) -> Entry | None:
        """Picks the most urgent entry; the order is computed anew once or twice in a window."""
        age = now - self.ranked_at
        if age >= self.limits.window or not self.ranked and age >= self.limits.window / 2:
            self.rank_due_entries(now)
        while self.ranked:
            entry = self.ranked.pop()
            if self.is_forwardable(entry) and self.window_elapsed(entry, now):
                return entry
        return None

    def is_forwardable(self, entry: Entry) -> bool:
        """Whether the entry has something to forward and nothing in flight."""
        return self.is_in_table(entry) and entry.in_flight is None and entry.needs_forward()

    def rank_due_entries(self, now: float) -> None:
        """Sorts the most urgent entries that may be forwarded, as many as the limits allow in a window."""
        self.ranked_at = now
        due = [e for e in self.dirty.values() if e.in_flight is None and self.window_elapsed(e, now)]
        count = int(self.limits.upstream_calls * self.limits.window) + self.limits.in_flight
        self.ranked = heapq.nlargest(count, due, key=lambda entry: entry.urgency(now))
        self.ranked.reverse()

    def start_forward(self, entry: Entry, now: float) -> Forward:
        """Moves the unforwarded amount, as much as one call may hold, into flight."""
        amount = max(-MAX_AMOUNT, min(MAX_AMOUNT, entry.unforwarded))
        life_ms = max(1, round((entry.expires_at - now) * 1000.0))
        forward = Forward(self.new_id(), entry.name, amount, life_ms, now)
        entry.unforwarded -= amount
        entry.unforwarded_since = now
        entry.needs_reading = False
        entry.in_flight = forward
        entry.forwarded_at = now
        entry.waiting_in_flight, entry.waiting = entry.waiting, []
        self.add_in_flight(forward, entry)
        self.figures.forwards += 1
        self.dirty.pop(entry.name, None)  # so that it moves to the end of the longest waiting
        self.update_indexes(entry)
        return forward

    def add_in_flight(self, forward: Forward, entry: Entry | None) -> None:
        """Records a call as sent."""
        self.in_flight[forward.number] = (forward, entry)
        self.last_sent_at = forward.sent_at

    def probe_is_due(self, now: float) -> bool:
        """Whether nothing was sent recently that could renew the lease."""
        return now - self.last_sent_at >= self.limits.lease / PROBES_PER_LEASE

    def start_probe(self, now: float) -> Forward:
        """Starts a call that adds nothing, to find out whether upstream answers."""
        forward = Forward(self.new_id(), PROBE_NAME, 0.0, round(MAX_LIFE * 1000), now)
        self.add_in_flight(forward, None)
        self.figures.probes += 1
        return forward

    def forward_ended(self, forward: Forward, result: ForwardResult, now: float) -> None:
        """Applies the result of a forward or probe; a second result for the same call is only counted."""
        _, entry = self.in_flight.get(forward.number, (None, None))
        if self.in_flight.pop(forward.number, None) is None:
            self.figures.results_unmatched += 1
            return
        self.figures.forwards_by_status[result.status.value] += 1
        if result.status is ForwardStatus.ADDED:
            self.backoff.record_success()
            self.lease_started_at = max(self.lease_started_at, forward.sent_at)
        elif result.status is not ForwardStatus.ERROR:
            self.backoff.record_failure(now)
        if entry is not None:
            self.apply_result(entry, forward, result, now)
        self.expire_due(now)

    def apply_result(self, entry: Entry, forward: Forward, result: ForwardResult, now: float) -> None:
        """Updates the entry by the status of its forward."""
        entry.in_flight = None
        match result.status:
            case ForwardStatus.ADDED:
                self.apply_total(entry, forward, result.total)
            case ForwardStatus.UNKNOWN:
                self.apply_unknown(entry, forward, now)
            case ForwardStatus.ERROR:
                self.apply_error(entry, forward, now)
            case ForwardStatus.BUSY | ForwardStatus.NO_CONNECTION:
                self.apply_not_added(entry, forward, now)
        self.update_indexes(entry)

    def apply_total(self, entry: Entry, forward: Forward, total: float) -> None:
        """Adopts the upstream total, even one lower than expected: the counter may have lost amounts."""
        if entry.upstream_total is not None:
            expected = entry.upstream_total + forward.amount
            if total < expected - FALL_TOLERANCE * max(1.0, abs(expected)):
                self.figures.totals_fallen += 1
        entry.upstream_total = total
        entry.read_at = forward.sent_at
        entry.uncertain = 0.0
        entry.needs_reading = False
        answered = entry.waiting_in_flight + entry.waiting
        entry.waiting_in_flight, entry.waiting = [], []
        for waiter in answered:
            self.answer_waiter(waiter, Total(entry.total()))

    def apply_unknown(self, entry: Entry, forward: Forward, now: float) -> None:
        """Keeps the amount as uncertain and does not send it again, as it may still be added.

        The next total includes it or not. Until then a positive amount counts as added and a negative one
        does not, so that the total is not underestimated.
        """
        entry.uncertain += max(0.0, forward.amount)
        entry.needs_reading = True
        self.figures.amount_doubtful += abs(forward.amount)
        waiting, entry.waiting_in_flight = entry.waiting_in_flight, []
        for waiter in waiting:
            self.figures.waits_unknown += 1
            self.answer_waiter(waiter, Unknown())
        if entry.upstream_total is None:
            self.retry_new_name(entry, now)

    def apply_error(self, entry: Entry, forward: Forward, now: float) -> None:
        """Drops the amount: upstream rejects the call as malformed and would do so again."""
        self.figures.amount_refused += abs(forward.amount)
        waiting, entry.waiting_in_flight = entry.waiting_in_flight, []
        for waiter in waiting:
            self.answer_waiter(waiter, self.reject(BusyReason.WAIT_ENDED))
        if entry.upstream_total is None:
            self.retry_new_name(entry, now)

    def apply_not_added(self, entry: Entry, forward: Forward, now: float) -> None:
        """Returns the amount to those to forward, as nothing was added."""
        entry.unforwarded += forward.amount
        entry.needs_reading = entry.needs_reading or abs(forward.amount) <= AMOUNT_EPSILON
        entry.waiting = entry.waiting_in_flight + entry.waiting
        entry.waiting_in_flight = []
        if not self.is_in_table(entry):
            self.finish_expiry(entry)
        elif entry.upstream_total is None:
            self.retry_new_name(entry, now)

    def retry_new_name(self, entry: Entry, now: float) -> None:
        """Queues a name without a total again, or removes it if no call waits for it any more."""
        overdue = [waiter for waiter in entry.waiting if waiter.deadline <= now]
        entry.waiting = [waiter for waiter in entry.waiting if waiter.deadline > now]
        for waiter in overdue:
            self.reject_waiter(waiter, BusyReason.WAIT_ENDED)
        if entry.needs_forward():
            self.new_names.append(entry)
        else:
            self.remove(entry)

    def finish_expiry(self, entry: Entry) -> None:
        """Ends the expiry of a name that expired while its forward was in flight."""
        self.reject_waiters(entry, BusyReason.NAME_EXPIRED)
        if abs(entry.unforwarded) > AMOUNT_EPSILON:
            self.drop_unforwarded(entry)

    # drain and statistics

    def drain(self) -> None:
        """Rejects further calls; remaining amounts are forwarded without waiting for their windows."""
        self.draining = True
        self.ranked = []
        self.ranked_at = float("-inf")

    def is_drained(self) -> bool:
        """Whether nothing remains to be forwarded or is in flight."""
        return not self.dirty and not any(entry is not None for _, entry in self.in_flight.values())

    def statistics(self, now: float) -> dict[str, Any]:
        """Returns the counts since the start and the current gauges."""
        unforwarded = [e for e in self.dirty.values() if abs(e.unforwarded) > AMOUNT_EPSILON]
        oldest = max((now - e.unforwarded_since for e in unforwarded), default=0.0)
        return {
            **asdict(self.figures),
            "names": len(self.entries),
            "names_unforwarded": len(unforwarded),
            "unforwarded": sum(abs(e.unforwarded) for e in unforwarded),
            "oldest_unforwarded_ms": round(oldest * 1000),
            "waiting": self.waiting_count,
            "in_flight": len(self.in_flight),
            "has_lease": self.has_lease(now),
        }
