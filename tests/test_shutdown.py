"""Requests that arrive during a shutdown: no accepted one is lost, and no late one is sent to a backend.

The race is forced: the client sends from within the shutdown step that its request is to meet.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from embersill.program import KILL_DELAY, KILL_MARGIN, MAX_COUNTED_DEADLINE, Program
from embersill.lab.peers import HttpMessage
from embersill.net.clients import ACCEPT_BATCH, EVICTABLE_AFTER
from embersill.net.driver import MIN_REMAINING_TIME
from tests.bed import READY, Bed, before, request, roomy_settings, with_bed
from tests.peers import SOON

def settings_within(deadline: float) -> dict[str, Any]:
    env = roomy_settings()
    for service in env["services"]:
        service["aim"] = service["deadline"] = 1000.0 * deadline
    return env


async def silent(writer: Any, asked: HttpMessage) -> None:
    await asyncio.sleep(SOON)


def refused_with_advice(answer: tuple[int, dict[str, str], bytes]) -> bool:
    return answer[0] == 503 and float(answer[1]["retry-after"]) > 0


@pytest.mark.parametrize("step", ["fail_all_unanswered", "flush_counts"])
def test_a_request_read_after_the_last_moment_is_refused_and_not_sent_on(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("embersill.net.clients.EVICTABLE_AFTER", 60.0)  # keeps the idle connection open

    async def test(bed: Bed) -> None:
        client = await bed.client()
        assert (await client.ask(request(1)))[0] == 200
        before(monkeypatch, bed.program.driver, step, lambda: client.put(request(2)))
        await bed.program.stop(0.0, 0.0)
        assert refused_with_advice(await client.answer())
        assert len(bed.seen()) == 1

    with_bed(test)


def test_a_request_that_comes_too_late_to_be_served_is_refused_while_others_are_served() -> None:
    async def test(bed: Bed) -> None:
        first, late, last = [await bed.client() for _ in range(3)]
        for client in (first, late, last):
            assert (await client.ask(READY))[0] == 200
        bed.program.front.stopping = True
        driver, clock = bed.program.driver, bed.program.driver.clock
        driver.stop_deadline = clock() + 60.0
        assert (await first.ask(request(1)))[0] == 200
        driver.stop_deadline = clock() + MIN_REMAINING_TIME / 2
        assert refused_with_advice(await late.ask(request(2))) and await late.closed()
        assert len(bed.seen()) == 1 and not driver.pending
        body = b"x" * 100_000  # the same for a body that is streamed
        assert refused_with_advice(await last.ask(request(3, "extract", body=body)))
        assert len(bed.seen()) == 1

    with_bed(test)


@pytest.mark.parametrize("deadline", [0.4, 1.0, 30.0])
def test_all_is_answered_before_the_kill_that_the_settings_deadlines_allow(deadline: float) -> None:
    """With deadlines of 1 s SIGKILL may follow 1.7 s after SIGTERM, while a shutdown took up to 3.4 s."""
    async def test(bed: Bed) -> None:
        program = bed.program
        kill = min(deadline, MAX_COUNTED_DEADLINE) + KILL_DELAY
        assert program.stop_timeout == pytest.approx(kill - KILL_MARGIN)
        bed.backends[0].script = [silent] * 100
        clients = [await bed.client() for _ in range(2)]
        clients[0].send(request(1, budget=deadline))
        await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
        began = time.monotonic()
        stop = asyncio.create_task(program.stop(0.05))
        await asyncio.sleep(0.04)
        clients[1].send(request(2, budget=deadline))
        answers = [await client.answer() for client in clients]
        assert all(status in (429, 502, 503, 504) for status, _, _ in answers)
        assert time.monotonic() - began < kill
        await stop
        assert time.monotonic() - began < kill + 0.3

    with_bed(test, env=settings_within(deadline))


def test_a_held_request_at_the_end_is_refused_and_one_that_may_have_run_is_failed() -> None:
    async def test(bed: Bed) -> None:
        bed.backends[0].script = [silent] * 2
        out, held = await bed.client(), await bed.client()
        out.send(request(1, budget=60.0))
        await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
        gateway = bed.program.driver.gateway
        gateway.throttles.clear()
        plan = gateway.plans["pro"]
        throttle = gateway.throttles["00000000000000c2"] = gateway.new_throttle("00000000000000c2", plan, 2)
        throttle.quota_level = 0.0
        throttle.low_rate = False
        held.send(request(2, budget=60.0, plan="pro", customer="00000000000000c2", units="1"))
        while not throttle.queue:
            await asyncio.sleep(0)
        await bed.program.stop(0.0, 0.0)
        assert (await out.answer())[0] == 504
        assert refused_with_advice(await held.answer()) and len(bed.seen()) == 1

    env = settings_within(60.0)
    env["domain"]["counter"] = False
    with_bed(test, env=env)


def test_all_that_waits_to_be_accepted_at_the_end_is_taken_in() -> None:
    """Closing a listener resets the connections in its queue: only 64 were accepted and the others lost."""
    async def test(bed: Bed) -> None:
        front = bed.program.front
        front.pause_accepting()
        clients = [await bed.client() for _ in range(3 * ACCEPT_BATCH)]
        for client in clients:
            client.put(READY)
        await front.stop_listening()
        answers = await asyncio.gather(*(client.answer() for client in clients))
        assert [status for status, _, _ in answers] == [200] * len(clients)

    with_bed(test, sockets=4096)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(bed: Bed) -> None:
        client = await bed.client()
        assert (await client.ask(request(1)))[0] == 200
        await asyncio.sleep(2 * EVICTABLE_AFTER)
        before(monkeypatch, bed.program.front, "close_idle_without_unread", lambda: client.put(request(2)))
        await bed.program.stop(0.0, 2.0)
        status, headers, _ = await client.answer()
        assert status == 200 and headers["connection"] == "close" and len(bed.seen()) == 2

    with_bed(test)


def test_half_a_request_at_the_end_is_neither_served_nor_waited_for() -> None:
    async def test(bed: Bed) -> None:
        client, other = await bed.client(), await bed.client()
        client.send(request(1)[:60])
        while not any(c.in_request for c in bed.program.front.connections):
            await asyncio.sleep(0)
        other.send(request(2, budget=0.3))
        await bed.program.stop(0.05, 0.4)
        assert (await other.answer())[0] == 200 and len(bed.seen()) == 1

    with_bed(test)


def test_a_second_signal_in_the_end_changes_nothing() -> None:
    async def test(bed: Bed) -> None:
        program: Program = bed.program
        client = await bed.client()
        client.send(request(1))
        stop = asyncio.create_task(program.stop(0.05, 1.0))
        program.request_stop()
        program.reload()
        assert (await client.answer())[0] == 200
        await stop

    with_bed(test)
