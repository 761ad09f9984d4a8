"""No list is known later than the pages allow: watches that fall silent, discovery down, resets, SIGHUP.

On a day of the bench 4,077 requests went to backends whose drain counted as told: a silent watch was given up
5 s past its wait, and each of 186 gateways then waited for 9 to 28 s more.
"""

from __future__ import annotations

import asyncio
import re
from typing import Any

import pytest

from embersill.interface import BackendStatus
from embersill.lab.peers import message
from embersill.net.discovery import (
    FLEET_CALL_RATE, JITTER, MAX_CALL_INTERVAL, MAX_UNSPREAD_GATEWAYS, MAX_WATCH_MS, MIN_WATCH_SHARE,
    OVERLOAD_BACKOFF, Discovery, Overloaded,
)
from tests.virtual import AGENT, WIRE, Agent, Follower, Link, VirtualLoop, entry, play

SILENCE = 6.0  # seconds after which a change that discovery had, and could be reached with, counts as told
GRACE = 1.0  # seconds for sends to a backend after it was told to drain
OLD = ("old", 1)


def waits(agent: Agent) -> list[tuple[float, float]]:
    """When each call was asked, and its wait."""
    found = [(at, re.search(r"timeout_ms=(\d+)", target)) for at, target in agent.asked]
    return [(at, int(wait[1]) / 1000.0 if wait else 0.0) for at, wait in found]


@pytest.mark.parametrize("gateways", [1, 40, 200, 1024])
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("after", [0.0, 0.5, 0.999])
def test_what_a_silent_watch_missed_is_heard_before_it_counts_as_told(
    after: float, pushed: bool, gateways: int
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, gateways, gateways, GRACE if pushed else None)
        await asyncio.sleep(1.0)
        asked, wait = waits(agent)[-1]
        await asyncio.sleep(asked + after * wait - loop.time() if after else 0.0)
        agent.fall_silent()
        told = loop.time() + SILENCE
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(told - loop.time())
        assert gateway.states == {"a": "draining"}

    play(test)


@pytest.mark.parametrize("calls", [1, 2])
@pytest.mark.parametrize("gateways", [1, 200])
def test_calls_that_are_silent_after_a_silent_watch_cost_no_more_than_the_grace(
    gateways: int, calls: int
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, 2, gateways, GRACE)
        await asyncio.sleep(1.0)
        agent.fall_silent()
        told = loop.time() + SILENCE
        agent.silent_calls = calls
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(told + GRACE - loop.time())
        assert gateway.states == {"a": "draining"}

    play(test)


def test_the_watch_after_a_silent_one_may_be_silent_too() -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a"), "b": entry("b")})
        gateway = Follower(loop, 3, 200, GRACE)
        for name in ("a", "b"):
            await asyncio.sleep(1.0)
            agent.fall_silent()
            told = loop.time() + SILENCE
            agent.change(entry(name, "DRAINING"))
            await asyncio.sleep(told - loop.time())
            assert gateway.states[name] == "draining"

    play(test)


def busiest(times: list[float]) -> int:
    return max(sum(t <= other < t + 1.0 for other in times) for t in times)


def test_a_fleet_whose_watches_fall_silent_together_does_not_come_again_in_step() -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        fleet = [Follower(loop, seed, 200, GRACE) for seed in range(200)]
        await asyncio.sleep(1.0)
        agent.change()  # all watches end, and begin anew, in one moment
        await asyncio.sleep(0.1)
        before, silent = len(agent.asked), loop.time()
        agent.fall_silent()
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(SILENCE)
        first = sorted(gateway.heard_at(agent.generation) for gateway in fleet)
        assert first[-1] <= silent + SILENCE
        spread = MAX_WATCH_MS / 1000.0 * (1.0 - MIN_WATCH_SHARE)
        assert busiest(first) <= 1.5 * 200 / spread  # one and a half times the average
        again = [target for _, target in agent.asked[before:] if "timeout_ms=1" in target.split("&")]
        assert len(again) == 200  # one call each, and then the next watch

    play(test)


def test_a_fleet_that_finds_no_room_after_a_silence_takes_turns() -> None:
    """Ten calls a second don't do for 200 gateways in 7 s; but their calls must not keep it full."""
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        fleet = [Follower(loop, seed, 200, None) for seed in range(200)]
        await asyncio.sleep(1.0)
        agent.fall_silent()
        agent.room = 10
        agent.change(entry("a", "DRAINING"))
        before = len(agent.asked)
        await asyncio.sleep(12.0)
        assert len(agent.asked) - before <= 4 * 200  # a call after the silence, a watch, turns for some
        heard = sum(gateway.states == {"a": "draining"} for gateway in fleet)
        assert heard >= 10 * (12.0 - MAX_CALL_INTERVAL) / 2  # half of what there is room for are watches
        agent.room = 0
        await asyncio.sleep(SILENCE)
        assert all(gateway.states == {"a": "draining"} for gateway in fleet)

    play(test)


@pytest.mark.parametrize("forgets", [True, False])
@pytest.mark.parametrize("gateways", [1, 200])
@pytest.mark.parametrize("began", [0.5, 4.0, 8.0])
@pytest.mark.parametrize("lasts", [0.5, 3.0, 8.0, 25.0])
def test_news_at_discoverys_return_are_heard_within_the_grace(
    lasts: float, began: float, gateways: int, forgets: bool
) -> None:
    """Where lists are pushed, what the agent gets at its return counts at once."""
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, 5, gateways, GRACE)
        await asyncio.sleep(began)
        agent.stop(forgets)
        stopped = loop.time()
        await asyncio.sleep(lasts)
        agent.go_on()
        agent.change(entry("a", "DRAINING"))
        told = loop.time()
        if forgets:  # the watch that was open is broken, and what it misses has a clock of its own
            told = max(told, stopped + SILENCE)
        await asyncio.sleep(told + GRACE - loop.time())
        assert gateway.states == {"a": "draining"}

    play(test)


@pytest.mark.parametrize(("pushed", "within"), [(True, GRACE), (False, SILENCE + GRACE)])
def test_where_connections_are_refused_for_long_the_return_is_noticed_in_time(
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
def test_a_watch_that_is_reset_or_cut_in_the_middle_of_a_list_is_opened_anew(
    gateways: int, cut: int
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a")})
        gateway = Follower(loop, 4, gateways, GRACE)
        await asyncio.sleep(2.0)
        link, = agent.links
        agent.watches.clear()
        agent.change(entry("a", "DRAINING"))
        whole = b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n" + agent.listing(1)
        if cut:
            link.deliver(whole[:cut])
        link.abort()
        await asyncio.sleep(GRACE / 2)
        assert gateway.states == {"a": "draining"}

    play(test)


@pytest.mark.parametrize("way", ["silent", "down", "no room", "unreachable", "refused"])
def test_after_sighup_the_list_at_the_new_address_is_asked_for_whatever_was_under_way(way: str) -> None:
    async def test(loop: VirtualLoop) -> None:
        old = Agent(loop, OLD, entries={"a": entry("a")})
        new = Agent(loop, AGENT, generation=7, entries={"a": entry("a", "DRAINING")})
        gateway = Follower(loop, 6, 200, GRACE, addresses=(OLD,))
        await asyncio.sleep(1.0)
        assert gateway.states == {} and not new.asked
        if way in ("silent", "down"):
            old.fall_silent()
            old.down = way == "down"
            await asyncio.sleep(12.0 if way == "down" else 1.0)
        else:
            old.room = 1 if way == "no room" else 0
            old.unreachable, old.refuses = way == "unreachable", way == "refused"
            old.took += [loop.time() + t / 10 for t in range(30)]  # others take what room there is
            old.reset()
            await asyncio.sleep(3.0)
        gateway.discovery.set_addresses([AGENT])
        await asyncio.sleep(0.2)
        assert gateway.states == {"a": "draining"} and gateway.discovery.generation == 7
        await asyncio.sleep(20.0)
        assert new.asked[0][1] == "/v1/endpoints" and all(at < new.asked[0][0] for at, _ in old.asked)

    play(test)


def test_a_list_that_came_from_where_discovery_was_is_not_taken() -> None:
    async def test(loop: VirtualLoop) -> None:
        old = Agent(loop, OLD, generation=1, entries={"a": entry("a")})
        new = Agent(loop, AGENT, generation=1, entries={"a": entry("a", "DRAINING")})
        gateway = Follower(loop, addresses=(OLD,))
        await asyncio.sleep(1.0)
        link, = old.links
        old.change(entry("a"))
        await asyncio.sleep(WIRE / 2)
        body = b'{"generation":9,"reset":true,"instances":[]}'
        link.deliver(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        gateway.discovery.set_addresses([AGENT])  # before the task that waits for the answer goes on
        await asyncio.sleep(0.2)
        assert gateway.states == {"a": "draining"} and gateway.discovery.generation == new.generation
        assert all(listing.generation != 9 for _, listing in gateway.told)

    play(test)


@pytest.mark.parametrize("how", ["change", "whole", "absent"])
def test_a_restart_from_a_remembered_list_hears_of_a_drain_at_once(how: str) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a"), "b": entry("b")})
        agent.change(entry("a", "DELETED" if how == "absent" else "DRAINING"))
        gateway = Follower(loop, gateways=200, known=1 if how == "change" else None)
        await asyncio.sleep(10 * WIRE)
        assert gateway.told[0][1].is_full is (how != "change")
        statuses = {e.backend.address: e.backend.status for e in gateway.told[0][1].entries}
        assert statuses.get("a") is {"absent": None}.get(how, BackendStatus.DRAINING)

    play(test)


@pytest.mark.parametrize("gateways", [1, 9, 40, 200, 1024])
def test_turns_are_over_before_news_count_as_told(gateways: int) -> None:
    """200 gateways waited for up to 30 s, and 1,024 for 36 s, with a list that counted as told after 6."""
    async def test(loop: VirtualLoop) -> None:
        Agent(loop)
        pauses = []
        for seed in range(gateways):
            discovery = Discovery([AGENT], 0.25, lambda told: None, 1, seed, gateways, None)
            pauses.append([discovery.handle_failure(Overloaded("status 503")) for _ in range(8)])
        assert max(map(max, pauses)) <= MAX_CALL_INTERVAL and min(map(min, pauses)) >= OVERLOAD_BACKOFF * (1 - JITTER)
        if gateways > MAX_UNSPREAD_GATEWAYS:  # spread over the time that the bound leaves, or that all need
            over = min(gateways / FLEET_CALL_RATE, MAX_CALL_INTERVAL - OVERLOAD_BACKOFF)
            assert all(busiest([p[n] for p in pauses]) <= 1.3 * gateways / over + 5 for n in range(8))

    play(test)


KINDS = ("silent", "refused", "reset", "no room", "bad", "whole")


class Troubled(Agent):
    """An agent that meets each call with the next of its troubles, and answers once there are none left."""

    def __init__(self, loop: VirtualLoop, troubles: tuple[str, ...], **more: Any) -> None:
        super().__init__(loop, **more)
        self.troubles = list(troubles)

    def asked_on(self, link: Link, text: str) -> None:
        if not self.troubles or link.closed or "timeout_ms" in text and "timeout_ms=1 " not in text:
            return super().asked_on(link, text)  # a watch
        self.asked.append((self.loop.time(), text.split()[1]))
        match self.troubles.pop(0):
            case "silent":
                link.silent = True
            case "refused":
                link.abort()
                self.refuses = True
                self.loop.call_later(0.3, self.accept_again)
            case "reset":
                link.abort()
            case "no room":
                link.answer(message(503))
            case "bad":
                link.answer(message(200, b"[]"))
            case "whole":  # of a version before the change: what a copy that lags would say
                link.answer(message(200, b'{"generation":0,"reset":true,"instances":[]}'))

    def accept_again(self) -> None:
        self.refuses = False


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("gateways", [1, 8])
@pytest.mark.parametrize("second", KINDS)
@pytest.mark.parametrize("first", KINDS)
def test_a_change_is_heard_in_time_in_every_order_of_two_failures_after_a_silent_watch(
    first: str, second: str, gateways: int, pushed: bool
) -> None:
    """Sends to a draining backend break the rule a grace after the change counted as told."""
    for seed in range(10):
        async def test(loop: VirtualLoop, seed: int = seed) -> None:
            agent = Troubled(loop, (), entries={"a": entry("a")})
            gateway = Follower(loop, seed, gateways, GRACE if pushed else None)
            await asyncio.sleep(20.0)
            agent.troubles = [first, second]
            agent.fall_silent()
            agent.change(entry("a", "DRAINING"))
            await asyncio.sleep(SILENCE + GRACE)
            assert gateway.states == {"a": "draining"} and not agent.troubles

        play(test)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("way", ["silent", "refused", "reset", "no room", "bad"])
@pytest.mark.parametrize("lasts", [1.0, 7.0, 40.0])
def test_however_calls_end_the_next_begins_in_time(lasts: float, way: str, pushed: bool) -> None:
    """What discovery has when it can be reached again is heard within 6 s, also by each of 200 gateways."""
    async def test(loop: VirtualLoop) -> None:
        agent = Troubled(loop, (), entries={"a": entry("a")})
        fleet = [Follower(loop, seed, 200, GRACE if pushed else None) for seed in range(50)]
        await asyncio.sleep(5.0)
        agent.troubles = [way] * 1_000_000
        agent.fall_silent()
        await asyncio.sleep(lasts)
        agent.troubles, agent.refuses = [], False
        agent.change(entry("a", "DRAINING"))
        await asyncio.sleep(SILENCE)
        assert all(gateway.states == {"a": "draining"} for gateway in fleet)

    play(test)


@pytest.mark.parametrize("first", ["silent", "refused", "reset", "no room", "bad"])
@pytest.mark.parametrize("pushed", [True, False])
def test_after_sighup_one_failed_call_leaves_time_for_the_next(pushed: bool, first: str) -> None:
    """What discovery has at the new address counts as told 4 s after the signal."""
    async def test(loop: VirtualLoop) -> None:
        Agent(loop, OLD, entries={"a": entry("a")})
        fleet = [Follower(loop, seed, 8, GRACE if pushed else None, addresses=(OLD,)) for seed in range(10)]
        await asyncio.sleep(3.0)
        Troubled(loop, (first,) * len(fleet), generation=7, entries={"a": entry("a", "DRAINING")})
        for gateway in fleet:
            gateway.discovery.set_addresses([AGENT])
        await asyncio.sleep(4.0)
        assert all(gateway.states == {"a": "draining"} for gateway in fleet)

    play(test)


@pytest.mark.parametrize("pushed", [True, False])
def test_what_the_bound_costs_a_quiet_fleet_in_calls(pushed: bool) -> None:
    """Watches of 5 to 10 s made 27 calls a second of 200 gateways; those that keep the bound make 56."""
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
def test_a_bad_list_allows_nothing_that_the_last_good_one_forbids_and_the_watch_goes_on(
    what: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={"a": entry("a"), "b": entry("b")})
        gateway = Follower(loop)
        agent.change(entry("a", "DRAINING"), entry("b"))
        await asyncio.sleep(1.0)
        assert gateway.states == {"a": "draining", "b": "serving"}
        link, = agent.links
        agent.watches.clear()
        caplog.clear()
        body = ANSWERS[what]
        link.answer(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
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


def test_a_discovery_that_answers_with_old_changes_for_good_is_not_asked_without_a_pause() -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, generation=9, entries={"a": entry("a")})
        gateway = Follower(loop, known=9)
        await asyncio.sleep(1.0)
        agent.reset()
        agent.generation, agent.entries, agent.always_changes = 2, {}, True
        before = len(agent.asked)
        await asyncio.sleep(10.0)
        assert gateway.states == {} and len(gateway.told) == 1
        assert len(agent.asked) - before <= 70  # a quarter of the grace apart, by half less at the least

    play(test)


def test_a_discovery_that_counts_anew_is_believed_once_it_says_so_twice() -> None:
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
def test_a_list_of_1024_backends_is_heard_by_a_gateway_of_1024(indent: int | None) -> None:
    async def test(loop: VirtualLoop) -> None:
        agent = Agent(loop, entries={f"s-{n:08x}": entry(f"s-{n:08x}") for n in range(1024)}, indent=indent)
        gateway = Follower(loop, 1, 1024, known=None)
        await asyncio.sleep(0.1)
        assert len(gateway.states) == 1024
        agent.fall_silent()
        told = loop.time() + SILENCE
        agent.change(*(entry(f"s-{n:08x}", "DRAINING") for n in range(1024)))
        await asyncio.sleep(told - loop.time())
        assert set(gateway.states.values()) == {"draining"}

    play(test)


def test_no_room_is_no_silence() -> None:
    async def test(loop: VirtualLoop) -> None:
        Agent(loop)
        for grace in (GRACE, None):
            one, other = (Follower(loop, 1, 200, grace).discovery for _ in range(2))
            pause = one.handle_failure(Overloaded("status 503"))
            assert pause <= GRACE / 2 if grace else OVERLOAD_BACKOFF <= pause <= MAX_CALL_INTERVAL
            assert other.handle_failure(TimeoutError()) < 0.1 and other.answer_timeout(10.0) == 0.5

    play(test)
