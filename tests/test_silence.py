"""Changes arrive within the limits on staleness: silent watches, outages of discovery, resets, SIGHUP.

Guards against sends to backends whose drain already counts as received: they happened when a silent watch was
cancelled 5 s after its wait, and the gateways of a large fleet then paused for 9 to 28 s more.
"""

from __future__ import annotations

import asyncio
import re
from typing import Any

import pytest

from embersill.interface import BackendStatus
from embersill.lab.peers import response_bytes
from embersill.net.discovery import (
    FLEET_CALL_RATE, JITTER, MAX_CALL_INTERVAL, MAX_UNSPREAD_GATEWAYS, MAX_WATCH_MS, MIN_WATCH_SHARE,
    OVERLOAD_BACKOFF, Discovery, Overloaded,
)
from tests.virtual import AGENT_ADDRESS, DELAY, Agent, Follower, VirtualConnection, VirtualLoop, entry, play

SILENCE = 6.0  # seconds after which a change counts as received if discovery had it and was reachable
GRACE = 1.0  # seconds in which sends to a draining backend must stop
OLD_ADDRESS = ("old", 1)


def calls_with_waits(agent: Agent) -> list[tuple[float, float]]:
    """The time of each call and its wait in seconds."""
    found = [(at, re.search(r"timeout_ms=(\d+)", target)) for at, target in agent.asked]
    return [(at, int(wait[1]) / 1000.0 if wait else 0.0) for at, wait in found]


@pytest.mark.parametrize("gateways", [1, 40, 200, 1024])
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("after", [0.0, 0.5, 0.999])
def test_a_change_that_a_silent_watch_missed_arrives_in_time(
    after: float, pushed: bool, gateways: int
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, gateways, gateways, GRACE if pushed else None)
        await asyncio.sleep(1.0)
        asked, wait = calls_with_waits(agent)[-1]
        await asyncio.sleep(asked + after * wait - loop.time() if after else 0.0)
        agent.silence_connections()
        due_at = loop.time() + SILENCE
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(due_at - loop.time())
        assert gateway.states == {"a": "draining"}

    play(test)


@pytest.mark.parametrize("calls", [1, 2])
@pytest.mark.parametrize("gateways", [1, 200])
def test_silent_calls_after_a_silent_watch_delay_a_change_by_at_most_the_grace(
    gateways: int, calls: int
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, 2, gateways, GRACE)
        await asyncio.sleep(1.0)
        agent.silence_connections()
        due_at = loop.time() + SILENCE
        agent.silent_calls = calls
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(due_at + GRACE - loop.time())
        assert gateway.states == {"a": "draining"}

    play(test)


def test_changes_arrive_in_time_after_two_silent_watches() -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a"), "b": entry("b")})
        gateway = Follower(loop, 3, 200, GRACE)
        for name in ("a", "b"):
            await asyncio.sleep(1.0)
            agent.silence_connections()
            due_at = loop.time() + SILENCE
            agent.change(entry(name, "DRAINING"))
            await asyncio.sleep(due_at - loop.time())
            assert gateway.states[name] == "draining"

    play(test)


def max_in_one_second(times: list[float]) -> int:
    return max(sum(t <= other < t + 1.0 for other in times) for t in times)


def test_a_fleet_whose_watches_are_silent_together_does_not_retry_together() -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        fleet = [Follower(loop, seed, 200, GRACE) for seed in range(200)]
        await asyncio.sleep(1.0)
        agent.change()  # all watches end and are repeated at one moment
        await asyncio.sleep(0.1)
        before, silent = len(agent.asked), loop.time()
        agent.silence_connections()
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(SILENCE)
        first = sorted(gateway.received_at(agent.generation) for gateway in fleet)
        assert first[-1] <= silent + SILENCE
        spread = MAX_WATCH_MS / 1000.0 * (1.0 - MIN_WATCH_SHARE)
        assert max_in_one_second(first) <= 1.5 * 200 / spread  # one and a half times the average
        again = [target for _, target in agent.asked[before:] if "timeout_ms=1" in target.split("&")]
        assert len(again) == 200  # one call each, and then the next watch

    play(test)


def test_gateways_of_a_fleet_take_turns_when_discovery_is_overloaded_after_a_silence() -> None:
    """Ten calls per second are too few for 200 gateways in 7 s: they must not add to the overload."""
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        fleet = [Follower(loop, seed, 200, None) for seed in range(200)]
        await asyncio.sleep(1.0)
        agent.silence_connections()
        agent.calls_per_second = 10
        agent.change(entry("a", "DRAINING"))
        before = len(agent.asked)
        await asyncio.sleep(12.0)
        assert len(agent.asked) - before <= 4 * 200  # a call after the silence, a watch, turns for some
        informed = sum(gateway.states == {"a": "draining"} for gateway in fleet)
        assert informed >= 10 * (12.0 - MAX_CALL_INTERVAL) / 2  # half of the accepted calls are watches
        agent.calls_per_second = 0
        await asyncio.sleep(SILENCE)
        assert all(gateway.states == {"a": "draining"} for gateway in fleet)

    play(test)


@pytest.mark.parametrize("loses_pending", [True, False])
@pytest.mark.parametrize("gateways", [1, 200])
@pytest.mark.parametrize("began", [0.5, 4.0, 8.0])
@pytest.mark.parametrize("lasts", [0.5, 3.0, 8.0, 25.0])
def test_changes_after_an_outage_of_discovery_arrive_within_the_grace(
    lasts: float, began: float, gateways: int, loses_pending: bool
) -> None:
    """Where lists are pushed, a change counts as received as soon as the agent has it."""
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, 5, gateways, GRACE)
        await asyncio.sleep(began)
        agent.stop(loses_pending)
        stopped = loop.time()
        await asyncio.sleep(lasts)
        agent.resume()
        agent.change(entry("a", "DRAINING"))
        due_at = loop.time()
        if loses_pending:  # for the watch that was pending, the limit counts from the outage
            due_at = max(due_at, stopped + SILENCE)
        await asyncio.sleep(due_at + GRACE - loop.time())
        assert gateway.states == {"a": "draining"}

    play(test)


@pytest.mark.parametrize(("pushed", "within"), [(True, GRACE), (False, SILENCE + GRACE)])
def test_the_end_of_a_long_outage_with_refused_connections_is_noticed_in_time(
    pushed: bool, within: float
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateways = [Follower(loop, seed, 200, GRACE if pushed else None) for seed in range(20)]
        await asyncio.sleep(1.0)
        agent.refuses = True
        agent.reset()
        await asyncio.sleep(60.0)
        agent.refuses = False
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(within)
        assert all(gateway.states == {"a": "draining"} for gateway in gateways)

    play(test)


@pytest.mark.parametrize("cut", [0, 40, 150])
@pytest.mark.parametrize("gateways", [1, 200])
def test_a_watch_that_breaks_before_or_in_a_list_is_repeated(
    gateways: int, cut: int
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, 4, gateways, GRACE)
        await asyncio.sleep(2.0)
        connection, = agent.connections
        agent.watches.clear()
        agent.change(entry("a", "DRAINING"))
        answer = b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n" + agent.listing(1)
        if cut:
            connection.deliver(answer[:cut])
        connection.abort()
        await asyncio.sleep(GRACE / 2)
        assert gateway.states == {"a": "draining"}

    play(test)


@pytest.mark.parametrize("way", ["silent", "down", "no room", "unreachable", "refused"])
def test_after_sighup_the_list_at_the_new_address_is_requested_in_any_state(way: str) -> None:
    async def test(loop: VirtualLoop) -> None:
        old = Agent(loop, OLD_ADDRESS, entries={"a": entry("a")})
        new = Agent(loop, AGENT_ADDRESS, generation=7, entries={"a": entry("a", "DRAINING")})
        gateway = Follower(loop, 6, 200, GRACE, addresses=(OLD_ADDRESS,))
        await asyncio.sleep(1.0)
        assert gateway.states == {} and not new.asked
        if way in ("silent", "down"):
            old.silence_connections()
            old.down = way == "down"
            await asyncio.sleep(12.0 if way == "down" else 1.0)
        else:
            old.calls_per_second = 1 if way == "no room" else 0
            old.unreachable, old.refuses = way == "unreachable", way == "refused"
            old.accepted_at += [loop.time() + t / 10 for t in range(30)]  # others use its capacity
            old.reset()
            await asyncio.sleep(3.0)
        gateway.discovery.set_addresses([AGENT_ADDRESS])
        await asyncio.sleep(0.2)
        assert gateway.states == {"a": "draining"} and gateway.discovery.generation == 7
        await asyncio.sleep(20.0)
        assert new.asked[0][1] == "/v1/endpoints" and all(at < new.asked[0][0] for at, _ in old.asked)

    play(test)


def test_a_list_from_a_previous_address_is_not_accepted() -> None:
    async def test(loop: VirtualLoop) -> None:
        old = Agent(loop, OLD_ADDRESS, generation=1, entries={"a": entry("a")})
        new = Agent(loop, AGENT_ADDRESS, generation=1, entries={"a": entry("a", "DRAINING")})
        gateway = Follower(loop, addresses=(OLD_ADDRESS,))
        await asyncio.sleep(1.0)
        connection, = old.connections
        old.change(entry("a"))
        await asyncio.sleep(DELAY / 2)
        body = b'{"generation":9,"reset":true,"instances":[]}'
        connection.deliver(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        # before the task that waits for the answer runs
        gateway.discovery.set_addresses([AGENT_ADDRESS])
        await asyncio.sleep(0.2)
        assert gateway.states == {"a": "draining"} and gateway.discovery.generation == new.generation
        assert all(listing.generation != 9 for _, listing in gateway.lists)

    play(test)


@pytest.mark.parametrize("how", ["change", "whole", "absent"])
def test_after_a_start_with_a_cached_list_a_drain_arrives_at_once(how: str) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a"), "b": entry("b")})
        agent.change(entry("a", "DELETED" if how == "absent" else "DRAINING"))
        gateway = Follower(loop, gateways=200, known=1 if how == "change" else None)
        await asyncio.sleep(10 * DELAY)
        assert gateway.lists[0][1].is_full is (how != "change")
        statuses = {e.backend.address: e.backend.status for e in gateway.lists[0][1].entries}
        assert statuses.get("a") is {"absent": None}.get(how, BackendStatus.DRAINING)

    play(test)


@pytest.mark.parametrize("gateways", [1, 9, 40, 200, 1024])
def test_pauses_after_an_overload_are_spread_and_stay_below_the_call_interval(gateways: int) -> None:
    """Longer pauses (30 s with 200 gateways, 36 s with 1,024) would keep lists for longer than 6 s."""
    async def test(loop: VirtualLoop) -> None:
        Agent(loop)
        pauses = []
        for seed in range(gateways):
            discovery = Discovery([AGENT_ADDRESS], 0.25, lambda listing: None, 1, seed, gateways, None)
            pauses.append([discovery.handle_failure(Overloaded("status 503")) for _ in range(8)])
        assert (
            max(map(max, pauses)) <= MAX_CALL_INTERVAL
            and min(map(min, pauses)) >= OVERLOAD_BACKOFF * (1 - JITTER))
        if gateways > MAX_UNSPREAD_GATEWAYS:  # spread over the remaining time, or over that which all need
            over = min(gateways / FLEET_CALL_RATE, MAX_CALL_INTERVAL - OVERLOAD_BACKOFF)
            assert all(
                max_in_one_second([p[n] for p in pauses]) <= 1.3 * gateways / over + 5 for n in range(8))

    play(test)


FAULTS = ("silent", "refused", "reset", "no room", "bad", "whole")


class FaultyAgent(Agent):
    """An agent that answers each call with the next of its faults, and correctly once none is left."""

    def __init__(self, loop: VirtualLoop, faults: tuple[str, ...], **more: Any) -> None:
        super().__init__(loop, **more)
        self.faults = list(faults)

    def request_received(self, connection: VirtualConnection, text: str) -> None:
        if not self.faults or connection.closed or "timeout_ms" in text and "timeout_ms=1 " not in text:
            return super().request_received(connection, text)  # a watch
        self.asked.append((self.loop.time(), text.split()[1]))
        match self.faults.pop(0):
            case "silent":
                connection.silent = True
            case "refused":
                connection.abort()
                self.refuses = True
                self.loop.call_later(0.3, self.accept_again)
            case "reset":
                connection.abort()
            case "no room":
                connection.answer(response_bytes(503))
            case "bad":
                connection.answer(response_bytes(200, b"[]"))
            case "whole":  # of a generation before the change, as from a lagging replica
                connection.answer(response_bytes(200, b'{"generation":0,"reset":true,"instances":[]}'))

    def accept_again(self) -> None:
        self.refuses = False


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("gateways", [1, 8])
@pytest.mark.parametrize("second", FAULTS)
@pytest.mark.parametrize("first", FAULTS)
def test_a_change_arrives_in_time_after_a_silent_watch_and_any_two_failures(
    first: str, second: str, gateways: int, pushed: bool
) -> None:
    """Sends to a draining backend must stop one grace after the change counts as received."""
    for seed in range(10):
        async def test(loop: VirtualLoop, seed: int = seed) -> None:
            agent = FaultyAgent(loop, (), entries={"a": entry("a")})
            gateway = Follower(loop, seed, gateways, GRACE if pushed else None)
            await asyncio.sleep(20.0)
            agent.faults = [first, second]
            agent.silence_connections()
            agent.change(entry("a", "DRAINING"))
            await asyncio.sleep(SILENCE + GRACE)
            assert gateway.states == {"a": "draining"} and not agent.faults

        play(test)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("way", ["silent", "refused", "reset", "no room", "bad"])
@pytest.mark.parametrize("lasts", [1.0, 7.0, 40.0])
def test_a_change_arrives_in_time_after_repeated_failures(lasts: float, way: str, pushed: bool) -> None:
    """A change that discovery has after an outage arrives within 6 s, at each of many gateways."""
    async def test(loop: VirtualLoop) -> None:
        agent = FaultyAgent(loop, (), entries={"a": entry("a")})
        fleet = [Follower(loop, seed, 200, GRACE if pushed else None) for seed in range(50)]
        await asyncio.sleep(5.0)
        agent.faults = [way] * 1_000_000
        agent.silence_connections()
        await asyncio.sleep(lasts)
        agent.faults, agent.refuses = [], False
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(SILENCE)
        assert all(gateway.states == {"a": "draining"} for gateway in fleet)

    play(test)


@pytest.mark.parametrize("first", ["silent", "refused", "reset", "no room", "bad"])
@pytest.mark.parametrize("pushed", [True, False])
def test_after_sighup_and_one_failed_call_the_list_arrives_in_time(pushed: bool, first: str) -> None:
    """The list at the new address counts as received 4 s after the signal."""
    async def test(loop: VirtualLoop) -> None:
        Agent(loop, OLD_ADDRESS, entries={"a": entry("a")})
        fleet = [
            Follower(loop, seed, 8, GRACE if pushed else None, addresses=(OLD_ADDRESS,))
            for seed in range(10)]
        await asyncio.sleep(3.0)
        FaultyAgent(loop, (first,) * len(fleet), generation=7, entries={"a": entry("a", "DRAINING")})
        for gateway in fleet:
            gateway.discovery.set_addresses([AGENT_ADDRESS])
        await asyncio.sleep(4.0)
        assert all(gateway.states == {"a": "draining"} for gateway in fleet)

    play(test)


@pytest.mark.parametrize("pushed", [True, False])
def test_the_call_rate_of_an_idle_fleet_is_bounded(pushed: bool) -> None:
    """200 gateways make 56 calls per second with watches that keep the limit; longer watches made 27."""
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        for seed in range(200):
            Follower(loop, seed, 200, GRACE if pushed else None)
        await asyncio.sleep(10.0)
        before = len(agent.asked)
        await asyncio.sleep(60.0)
        assert (len(agent.asked) - before) / 60.0 <= 57.0

    play(test)


ANSWERS = {
    "cut short": b'{"generation":9,"reset":true,"instances":[{"instanceId":"a","lifecyc',
    "not JSON": b"<html>busy</html>",
    "not text": b'{"generation":9,"reset":true,"instances":[{"instanceId":"\xff\xfe"}]}',
    "nested": b"[" * 100_000,
    "no version": b'{"generation":1e999,"reset":true,"instances":[]}',
    "no start": b'{"generation":9,"reset":true,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:9",'
                b'"lifecycle":"SERVING","startedAtMs":1e999}]}',
    "no weight": b'{"generation":9,"reset":true,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:9",'
                 b'"lifecycle":"SERVING","weight":NaN}]}',
    "oversized": b" " * (4 * 1024 * 1024 + 1),
    "older change": b'{"generation":1,"reset":false,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:9",'
                    b'"lifecycle":"SERVING"}]}',
    "older whole": b'{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:9",'
                   b'"lifecycle":"SERVING"}]}',
    "unknown state": b'{"generation":9,"reset":false,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:9",'
                     b'"lifecycle":"RESTING"}]}',
}


@pytest.mark.parametrize("what", ANSWERS)
def test_a_malformed_list_changes_nothing_and_the_watch_goes_on(
    what: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a"), "b": entry("b")})
        gateway = Follower(loop)
        agent.change(entry("a", "DRAINING"), entry("b"))
        await asyncio.sleep(1.0)
        assert gateway.states == {"a": "draining", "b": "serving"}
        connection, = agent.connections
        agent.watches.clear()
        caplog.clear()
        body = ANSWERS[what]
        connection.answer(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        for _ in range(100):
            await asyncio.sleep(0.01)
            assert gateway.states.get("a") == "draining"
        assert [r for r in caplog.records if r.name == "embersill"]
        agent.generation = max(agent.generation, 9)
        agent.change(entry("b", "DRAINING"))
        await asyncio.sleep(GRACE)
        assert gateway.states == {"a": "draining", "b": "draining"}

    with caplog.at_level("INFO", logger="embersill"):
        play(test)


def test_calls_are_paused_while_discovery_answers_with_old_changes() -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, generation=9, entries={"a": entry("a")})
        gateway = Follower(loop, known=9)
        await asyncio.sleep(1.0)
        agent.reset()
        agent.generation, agent.entries, agent.always_changes = 2, {}, True
        before = len(agent.asked)
        await asyncio.sleep(10.0)
        assert gateway.states == {} and len(gateway.lists) == 1
        assert len(agent.asked) - before <= 70  # a quarter of the grace apart, less the jitter

    play(test)


def test_a_restarted_generation_is_accepted_once_a_full_list_repeats_it() -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, generation=9, entries={"a": entry("a")})
        gateway = Follower(loop, known=9)
        await asyncio.sleep(1.0)
        agent.reset()
        agent.generation, agent.entries, agent.changes = 2, {"b": entry("b")}, []
        await asyncio.sleep(GRACE)
        assert gateway.states == {"b": "serving"}
        agent.change(entry("b", "DRAINING"))
        await asyncio.sleep(GRACE)
        assert gateway.states == {"b": "draining"}

    play(test)


@pytest.mark.parametrize("indent", [None, 4])
def test_a_list_of_1024_backends_arrives_in_time_in_a_fleet_of_1024(indent: int | None) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={f"s-{n:08x}": entry(f"s-{n:08x}") for n in range(1024)}, indent=indent)
        gateway = Follower(loop, 1, 1024, known=None)
        await asyncio.sleep(0.1)
        assert len(gateway.states) == 1024
        agent.silence_connections()
        due_at = loop.time() + SILENCE
        agent.change(*(entry(f"s-{n:08x}", "DRAINING") for n in range(1024)))
        await asyncio.sleep(due_at - loop.time())
        assert set(gateway.states.values()) == {"draining"}

    play(test)


def test_an_overload_is_not_treated_as_silence() -> None:
    async def test(loop: VirtualLoop) -> None:
        Agent(loop)
        for grace in (GRACE, None):
            one, other = (Follower(loop, 1, 200, grace).discovery for _ in range(2))
            pause = one.handle_failure(Overloaded("status 503"))
            assert pause <= GRACE / 2 if grace else OVERLOAD_BACKOFF <= pause <= MAX_CALL_INTERVAL
            assert other.handle_failure(TimeoutError()) < 0.1 and other.answer_timeout(10.0) == 0.5

    play(test)
