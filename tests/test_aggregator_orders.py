"""Random orders of calls, losses, duplicates, late replies, restarts and partitions, over two levels.

The amount of each call is a signed power of five, different for each call of a name. The balanced base-five
digits of a sum thus show which calls it includes, and whether it includes one twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from embersill.aggregator.messages import Busy, Forward, ForwardResult, ForwardStatus, Total, Unknown, Wait
from embersill.aggregator.pacing import MAX_BACKOFF
from embersill.aggregator.state import INDEX_SLACK, PROBE_NAME, Aggregation, Limits
from tests.aggregators import CounterModel

BASE = 5
MOST_CALLS = 12  # per name: the sum of their amounts stays below the protocol's limit
LASTING = ("a.1", "b.1", "c.1")  # names whose lifetime exceeds the run
SHORT = "s.4"
SHORT_LIFE = 0.5  # seconds
STEP = 0.01  # seconds
PATIENCE = 1.0  # seconds
LIMITS = Limits(
    names=4, waiting=6, window=0.1, upstream_calls=1000.0, lease=1.0, wait=0.2, stale=0.5, in_flight=8
)
OLDEST = PATIENCE + MAX_BACKOFF + 2 * LIMITS.window + 3 * STEP  # age of an amount while upstream answers
LOSS_SPAN = OLDEST + LIMITS.lease  # seconds within which the calls of one loss were received
LONGEST_RUN = 50.0  # seconds; LASTING names have a lifetime of 60
CALLS = st.lists(
    st.tuples(
        st.integers(0, 4),  # the gateway
        st.sampled_from((LASTING[0], LASTING[0], *LASTING, SHORT)),
        st.sampled_from((1, 1, -1)),
    ),
    min_size=1,
    max_size=4,
)


def digits(total: float) -> dict[int, int]:
    """Returns the balanced base-five digits of a sum that are not 0, by position."""
    rest, place, found = round(total), 0, {}
    assert rest == total
    while rest:
        digit = (rest + BASE // 2) % BASE - BASE // 2
        if digit:
            found[place] = digit
        rest, place = (rest - digit) // BASE, place + 1
    return found


@dataclass
class Issued:
    """The calls of one name: their signs, and which were rejected, reported as added, or possibly lost."""

    signs: list[int] = field(default_factory=list)
    busy: set[int] = field(default_factory=set)
    added: set[int] = field(default_factory=set)
    lost: set[int] = field(default_factory=set)  # possibly lost by an event that loses calls

    def amount(self, calls: set[int]) -> int:
        return sum(self.signs[call] * BASE**call for call in calls)

    def read(self, total: float) -> set[int]:
        """Returns the calls in a sum; checks that none is in it twice and none was rejected."""
        found = digits(total)
        for place, digit in found.items():
            assert place < len(self.signs) and digit == self.signs[place], (total, found)
        calls = set(found)
        assert not calls & self.busy, "a call that was turned away was counted"
        return calls


@dataclass(eq=False)
class Call:
    """A call from a node to its upstream."""

    forward: Forward
    sender: Node
    calls: set[int]
    sent_at: float
    delivered: bool = False
    result: ForwardResult | None = None
    ended: bool = False  # its sender has the result or was killed
    orphaned: bool = False  # its sender was killed, so no reply is delivered


class Node:
    """An aggregator, with the test's own record of the calls it holds."""

    def __init__(self, level: int, now: float, seed: int) -> None:
        self.level = level
        self.cut_off = False
        self.start(now, seed)

    def start(self, now: float, seed: int) -> None:
        self.state = Aggregation(LIMITS, now, seed)
        self.proved_at = float("-inf")  # send time of the latest call answered with a total
        self.held: dict[str, dict[int, float]] = {}  # not forwarded: calls and when they were received
        self.in_flight: dict[str, dict[int, float]] = {}
        self.doubtful: dict[str, set[int]] = {}
        self.waiting: dict[int, tuple[str, set[int], Call | None]] = {}

    def take(self, name: str, calls: set[int], now: float) -> None:
        self.held.setdefault(name, {}).update(dict.fromkeys(calls, now))


class OrdersOfEvents(RuleBasedStateMachine):
    """Gateways call one of two aggregators, which call a third, which calls the counter."""

    @initialize(gateways=st.integers(1, 5))
    def begin(self, gateways: int) -> None:
        self.now = 1000.0
        self.counter = CounterModel()
        self.counter_busy = False
        self.gateways = gateways
        self.seed = 0
        self.top = Node(2, self.now, 0)
        self.lower = [Node(1, self.now, 1), Node(1, self.now, 2)]
        self.nodes = [self.top, *self.lower]
        self.calls: list[Call] = []
        self.issued = {name: Issued() for name in (*LASTING, SHORT)}
        self.flow(0.5)

    # what gateways do

    @rule(calls=CALLS)
    def gateways_call(self, calls: list[tuple[int, str, int]]) -> None:
        for call in calls:
            self.gateway_calls(*call)

    @rule(calls=CALLS, seconds=st.sampled_from((0.12, 0.3)))
    def gateways_call_and_a_window_ends(self, calls: list[tuple[int, str, int]], seconds: float) -> None:
        """What was called is in flight afterwards, where upstream is not silent for too long."""
        self.gateways_call(calls)
        self.pass_time(seconds, flowing=False)

    def gateway_calls(self, gateway: int, name: str, sign: int) -> None:
        node = self.lower[gateway % self.gateways % 2]
        issued = self.issued[name]
        calls: set[int] = set()
        if len(issued.signs) < MOST_CALLS:
            calls.add(len(issued.signs))
            issued.signs.append(sign)
        reply = self.add(node, name, calls, SHORT_LIFE if name == SHORT else 60.0, None)
        if reply is not None:
            self.tell_gateway(name, calls, reply)

    def add(
        self, node: Node, name: str, calls: set[int], life: float, call: Call | None
    ) -> Total | Busy | Unknown | None:
        reply = node.state.add(name.encode(), self.issued[name].amount(calls), life, self.now)
        if isinstance(reply, Wait):
            node.waiting[reply.ticket] = (name, calls, call)
            node.take(name, calls, self.now)
            return None
        if isinstance(reply, Total):
            assert self.now - node.proved_at <= LIMITS.lease
            node.take(name, calls, self.now)
            self.check_total(node, name, reply)
        self.take_answers(node)
        return reply

    def tell_gateway(self, name: str, calls: set[int], reply: Total | Busy | Unknown) -> None:
        if isinstance(reply, Busy):
            self.issued[name].busy |= calls
        elif isinstance(reply, Total):
            self.issued[name].added |= calls

    def check_total(self, node: Node, name: str, reply: Total) -> None:
        """A total holds all that this node was told and still holds, each once."""
        found = self.issued[name].read(reply.value)
        if name == SHORT:
            return  # its calls may have gone with its life
        holds = set(node.held.get(name, {})) | set(node.in_flight.get(name, {}))
        assert holds | node.doubtful.get(name, set()) <= found

    # what nodes do

    def take_answers(self, node: Node) -> None:
        for answer in node.state.take_answers():
            name, calls, call = node.waiting.pop(answer.ticket)
            if isinstance(answer.reply, Busy):
                for taken in calls:
                    node.held.get(name, {}).pop(taken, None)
            elif isinstance(answer.reply, Total):
                self.check_total(node, name, answer.reply)
            if call is None:
                self.tell_gateway(name, calls, answer.reply)
            else:
                call.result = result_of(answer.reply)

    def pump(self, node: Node) -> None:
        while (forward := node.state.next_forward(self.now)) is not None:
            self.send(node, forward)
        self.take_answers(node)

    def send(self, node: Node, forward: Forward) -> None:
        name = forward.name.decode()
        calls: set[int] = set()
        if forward.name != PROBE_NAME:
            calls = self.issued[name].read(forward.amount)
            held = node.held.pop(name, {})
            if name != SHORT:
                assert calls == set(held), "a forward holds what was told since the last, and all of it"
            node.in_flight[name] = {call: held.get(call, self.now) for call in calls}
        self.calls.append(Call(forward, node, calls, self.now))

    def deliver(self, call: Call) -> None:
        """The call comes to the level above, which may answer it at once."""
        call.delivered = True
        forward = call.forward
        if call.sender is self.top:
            if self.counter_busy:
                call.result = ForwardResult(ForwardStatus.BUSY)
            else:
                call.result = self.counter.serve(forward, self.now)
        elif forward.name == PROBE_NAME:
            leased = self.top.state.has_lease(self.now)
            call.result = ForwardResult(ForwardStatus.ADDED if leased else ForwardStatus.BUSY)
        else:
            life = forward.life_ms / 1000.0
            reply = self.add(self.top, forward.name.decode(), call.calls, life, call)
            if reply is not None:
                call.result = result_of(reply)

    def end(self, call: Call, result: ForwardResult) -> None:
        """The sender learns of its forward's end."""
        call.ended = True
        node, name, status = call.sender, call.forward.name.decode(), result.status
        taken = node.in_flight.pop(name, {}) if call.forward.name != PROBE_NAME else {}
        if status in (ForwardStatus.BUSY, ForwardStatus.NO_CONNECTION):
            node.held.setdefault(name, {}).update(taken)
        elif status is ForwardStatus.UNKNOWN:
            self.lose(name, taken)
            if call.forward.amount > 0:  # the calls of one forward count, or not, together
                node.doubtful.setdefault(name, set()).update(taken)
        elif status is ForwardStatus.ADDED:
            node.doubtful.pop(name, None)
            node.proved_at = max(node.proved_at, call.sent_at)
        node.state.forward_ended(call.forward, result, self.now)
        self.take_answers(node)

    def lose(self, name: str, taken: dict[int, float]) -> None:
        """A loss is of calls told within the stated span."""
        if not taken:
            return
        self.issued[name].lost |= set(taken)
        assert max(taken.values()) - min(taken.values()) <= LOSS_SPAN

    # what the network does

    def open_calls(self) -> list[Call]:
        return [call for call in self.calls if not call.ended]

    def pick(self, calls: list[Call], place: int) -> Call:
        return calls[place % len(calls)]

    @precondition(lambda self: any(not c.delivered for c in self.calls))
    @rule(place=st.integers(0, 20))
    def a_call_comes(self, place: int) -> None:
        """Also one that its sender has given up, or whose sender is gone."""
        call = self.pick([c for c in self.calls if not c.delivered], place)
        if not call.sender.cut_off:
            self.deliver(call)

    @precondition(lambda self: any(c.result is not None for c in self.open_calls()))
    @rule(place=st.integers(0, 20))
    def an_answer_comes(self, place: int) -> None:
        call = self.pick([c for c in self.open_calls() if c.result is not None], place)
        if not call.sender.cut_off and call.result is not None:
            self.end(call, call.result)

    @precondition(lambda self: self.open_calls())
    @rule(place=st.integers(0, 20))
    def a_connection_breaks(self, place: int) -> None:
        """The call, or its answer, is late or lost."""
        self.end(self.pick(self.open_calls(), place), ForwardResult(ForwardStatus.UNKNOWN))

    @precondition(lambda self: any(not c.delivered for c in self.open_calls()))
    @rule(place=st.integers(0, 20))
    def a_connection_never_comes_up(self, place: int) -> None:
        call = self.pick([c for c in self.open_calls() if not c.delivered], place)
        call.delivered = True
        self.end(call, ForwardResult(ForwardStatus.NO_CONNECTION))

    def answered_calls(self) -> list[Call]:
        return [c for c in self.calls if c.ended and not c.orphaned and c.result is not None]

    @precondition(lambda self: self.answered_calls())
    @rule(place=st.integers(0, 20))
    def an_answer_comes_again(self, place: int) -> None:
        call = self.pick(self.answered_calls(), place)
        assert call.result is not None
        call.sender.state.forward_ended(call.forward, call.result, self.now)
        self.take_answers(call.sender)

    @precondition(lambda self: any(not c.delivered for c in self.calls if c.ended))
    @rule()
    def late_calls_are_lost(self) -> None:
        for call in self.calls:
            call.delivered = call.delivered or call.ended

    @rule(place=st.integers(0, 2))
    def partition(self, place: int) -> None:
        self.nodes[place].cut_off = True

    @rule(place=st.integers(0, 2))
    def join(self, place: int) -> None:
        self.nodes[place].cut_off = False

    @rule(busy=st.booleans())
    def the_counter_is_crowded(self, busy: bool) -> None:
        self.counter_busy = busy

    @rule()
    def the_counter_restarts_empty(self) -> None:
        self.counter.restart_empty()
        for issued in self.issued.values():
            issued.lost |= set(range(len(issued.signs)))

    @rule(place=st.integers(0, 2))
    def an_aggregator_is_killed(self, place: int) -> None:
        """It starts again empty; what it held is lost, what it had sent may yet be added."""
        node = self.nodes[place]
        for name, issued in self.issued.items():
            if name != SHORT:
                taken = node.held.get(name, {}) | node.in_flight.get(name, {})
                self.lose(name, taken)
            issued.lost |= set(node.held.get(name, {})) | set(node.in_flight.get(name, {}))
        for call in self.calls:
            if call.sender is node:
                call.ended = call.orphaned = True
        for _, _, call_below in node.waiting.values():
            if call_below is not None:
                call_below.result = ForwardResult(ForwardStatus.UNKNOWN)
        self.seed += 10
        node.start(self.now, self.seed)

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.3, 1.5)))
    def time_passes(self, seconds: float) -> None:
        """Nothing comes, and calls that have waited too long are given up."""
        self.pass_time(seconds, flowing=False)

    @rule(seconds=st.sampled_from((0.05, 0.3, 2.5)))
    def flow(self, seconds: float) -> None:
        """All that is not cut off comes in turn."""
        self.pass_time(seconds, flowing=True)

    def pass_time(self, seconds: float, flowing: bool) -> None:
        if self.now + seconds > 1000.0 + LONGEST_RUN:
            return
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for node in self.nodes:
                self.pump(node)
            if flowing:
                self.let_flow()
            for call in self.open_calls():
                if self.now - call.sent_at >= PATIENCE:
                    self.end(call, ForwardResult(ForwardStatus.UNKNOWN))

    def let_flow(self) -> None:
        for call in [c for c in self.open_calls() if not c.delivered and not c.sender.cut_off]:
            self.deliver(call)
        for call in [c for c in self.open_calls() if c.result is not None and not c.sender.cut_off]:
            assert call.result is not None
            self.end(call, call.result)

    # what always holds

    @invariant()
    def the_counter_counts_each_call_once_at_most(self) -> None:
        for name, issued in getattr(self, "issued", {}).items():
            issued.read(self.counter.totals.get(name.encode(), 0.0))

    @invariant()
    def memory_is_bounded(self) -> None:
        for node in getattr(self, "nodes", []):
            state = node.state
            assert len(state.entries) <= LIMITS.names
            assert state.waiting_count == len(node.waiting) <= LIMITS.waiting
            assert len(state.in_flight) <= LIMITS.in_flight
            for index in (state.expiries, state.new_names, state.ranked, state.clean, state.dirty):
                assert len(index) <= 2 * LIMITS.names + INDEX_SLACK + 1

    def teardown(self) -> None:
        """All joined again: what was told as added is counted, but for what a counted event has lost."""
        if not hasattr(self, "issued"):
            return
        self.counter_busy = False
        for node in self.nodes:
            node.cut_off = False
        if self.now + 9.0 > 1000.0 + LONGEST_RUN:
            return
        self.flow(9.0)
        for name in LASTING:
            issued = self.issued[name]
            counted = issued.read(self.counter.totals.get(name.encode(), 0.0))
            assert issued.added - counted <= issued.lost
            assert not any(node.held.get(name) or node.in_flight.get(name) for node in self.nodes)


def result_of(reply: Total | Busy | Unknown) -> ForwardResult:
    match reply:
        case Total():
            return ForwardResult(ForwardStatus.ADDED, reply.value)
        case Busy():
            return ForwardResult(ForwardStatus.BUSY)
        case Unknown():
            return ForwardResult(ForwardStatus.UNKNOWN)


OrdersOfEvents.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),  # shrinking takes minutes
    suppress_health_check=list(HealthCheck),
)
TestOrdersOfEvents = OrdersOfEvents.TestCase
