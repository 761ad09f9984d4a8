"""Hand-over to a successor: what it receives, and that it starts even if it receives nothing."""

from __future__ import annotations

import asyncio
import functools
import json
import pathlib
import socket
from typing import Any

import pytest

from embersill.program import Program
from embersill.interface import (
    ListKind, Outcome, PredecessorEnded, PredecessorState, Refuse, Request, Send, Suspend, TimerExpired,
)
from embersill.lab.peers import HttpMessage
from embersill.net.handover import Handover
from embersill.net.state_file import STATE_FILE_NAME
from embersill.start_gate import SOCKET_NAME
from tests.bed import READY, Bed, before, request, roomy_settings, run, running
from tests.helpers import CAPPED, backend, backends, ended, gateway
from tests.helpers import request as asked_for
from tests.peers import SOON, serve


def counted(program: object, kind: str) -> int:
    return sum(program.driver.figures.requests_by_result[kind].values())  # type: ignore[attr-defined]


def test_a_successor_serves_on_the_same_connections_with_the_same_bans_and_levels(
    tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        env["packages"][0].update(peak_units=16.0, units_per_s=0.001)
        async with running(backends=2, env=env, folder=folder) as bed:
            first, free = bed.program, asyncio.Event()
            idle, busy = await bed.client(), await bed.client()
            assert (await bed.console(b"SUSPEND b1\n")).startswith("done ")
            assert (await idle.ask(request(1, units="8")))[0] == 200
            assert (await idle.ask(request(2, units="8")))[0] == 429  # the token bank here is empty

            async def late(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                await free.wait()
                serve(writer, asked)

            bed.backends[0].script = [late]
            busy.send(request(3, customer="00000000000000c2"))
            await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 2)
            second = await bed.successor(env, folder)
            assert second.front.is_ready() and first.handover.handed_over
            assert first.driver.pool.connections and not first.driver.pool.idle_count()
            new = await bed.client()
            assert (await new.ask(request(4, customer="00000000000000c3")))[0] == 200
            assert (await idle.ask(request(5, units="8")))[0] == 429  # and the successor's is not full
            assert (await idle.ask(request(6, customer="00000000000000c4")))[0] == 200
            assert (counted(second, "success"), counted(second, "busy")) == (2, 1)
            assert not bed.backends[1].seen and second.driver.gateway.suspended == {"b1"}
            stopped = asyncio.create_task(first.stop())
            free.set()
            assert (await busy.answer())[0] == 200 and counted(first, "success") == 2
            async with asyncio.timeout(SOON):
                await stopped
                while second.front.held_by_predecessor or second.driver.gateway.predecessor_counts:
                    await asyncio.sleep(0.01)
            for client in (idle, busy, new):
                assert (await client.ask(request(7, customer="00000000000000c5")))[0] == 200
            await second.stop(0.0, 0.0)

    run(test)


def test_a_ban_made_at_either_process_binds_both_and_the_next(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        async with running(backends=3, env=env, folder=folder) as bed:
            first = bed.program
            second = await bed.successor(env, folder)
            assert (await bed.console(b"SUSPEND b0\n")).startswith("done ")
            assert second.driver.gateway.suspended == {"b0"}
            bed.program = second
            assert (await bed.console(b"SUSPEND b1\n")).startswith("done ")
            assert first.driver.gateway.suspended == {"b0", "b1"}
            await first.stop(0.0, 0.0)
            second.handover.close()  # as if it were killed: it hands nothing over
            await second.front.stop_listening()
            third = await bed.successor(env, folder)
            assert third.driver.gateway.suspended == {"b0", "b1"}
            await third.stop(0.0, 0.0)
            await second.stop(0.0, 0.0)

    run(test)


def test_a_process_whose_successor_dies_serves_on(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        async with running(env=env, folder=folder) as bed:
            second = await bed.successor(env, folder)
            assert bed.program.handover.handed_over
            await second.front.stop_listening()
            second.handover.close()
            async with asyncio.timeout(SOON):
                while bed.program.handover.handed_over:
                    await asyncio.sleep(0.01)
            client = await bed.client()
            bed.program.driver.gateway.throttles.clear()
            assert (await client.ask(request(1)))[0] == 200 and counted(bed.program, "success") == 1
            third = await bed.successor(env, folder)
            assert bed.program.handover.handed_over and third.front.is_ready()
            await third.stop(0.0, 0.0)
            await second.stop(0.0, 0.0)

    run(test)


async def send_command(bed: Bed, program: Program, line: bytes) -> Any:
    """Returns the console's answer: the JSON object of a done, or the text of an error."""
    answer = await bed.console(line + b"\n", program=program)
    return json.loads(answer.removeprefix("done ")) if answer.startswith("done ") else answer


def test_a_lame_ducks_successor_is_one_for_the_rest_of_its_time(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        async with running(env=env, folder=folder) as bed:
            first, ask = bed.program, functools.partial(send_command, bed)
            first.lame_duck_time = 60.0
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            assert (await ask(first, b"DRAIN"))["phase"] == "lame duck"
            second = await bed.successor(env, folder)
            old, new = await ask(first, b"PHASE"), await ask(second, b"PHASE")
            assert (old["phase"], old["successor"]) == ("handed over", second.handover.console_address)
            assert (new["phase"], new["ready"]) == ("lame duck", False) and "successor" not in new
            left, rest = second.lame_duck.remaining(), first.lame_duck.remaining()
            assert (left is not None and rest is not None and abs(rest - left) < 1
                    and first.lame_duck.timer is None)
            assert second.handover.console_address in await ask(first, b"DRAIN")
            assert second.handover.console_address in await ask(first, b"SERVE")
            assert (await ask(second, b"STATUS")).startswith("error a lame duck")
            assert (await client.ask(READY))[0] == 503
            assert (await client.ask(request(2)))[0] == 200 and counted(second, "success") == 1
            # an operator's command at the successor still holds if it exits and the first has to serve on
            assert (await ask(second, b"SERVE"))["phase"] == "serving"
            assert (await client.ask(READY))[0] == 200
            assert (await ask(second, b"DRAIN"))["phase"] == "lame duck"
            async with asyncio.timeout(SOON):
                while first.lame_duck.ends_at is None:
                    await asyncio.sleep(0.01)
            await second.front.stop_listening()
            second.handover.close()
            async with asyncio.timeout(SOON):
                while first.handover.handed_over:
                    await asyncio.sleep(0.01)
            resumed = await ask(first, b"PHASE")
            assert resumed["phase"] == "lame duck" and "successor" not in resumed
            assert first.lame_duck.timer is not None
            assert (await (await bed.client()).ask(request(3)))[0] == 200
            for program in (first, second):
                program.signal_received.set()  # the console need not stay open
            await second.stop(0.0, 0.0)

    run(test)


def test_one_that_ends_hands_nothing_over_and_tells_who_came(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        async with running(env=env, folder=folder) as bed:
            first, free = bed.program, asyncio.Event()

            async def late(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                await free.wait()
                serve(writer, asked)

            bed.backends[0].script = [late]
            busy = await bed.client()
            busy.send(request(1))
            await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
            first.lame_duck.set(60.0)
            stopped = asyncio.create_task(first.stop())
            async with asyncio.timeout(SOON):
                while not first.front.stopping:
                    await asyncio.sleep(0.01)
            second = await bed.successor(env, folder)
            assert (not first.handover.handed_over and second.front.is_ready()
                    and second.lame_duck.ends_at is None)
            answer = await send_command(bed, first, b"PHASE")
            assert (answer["phase"], answer["open"], answer["successor"]) == (
                "closing", 1, second.handover.console_address)
            assert (await (await bed.client()).ask(request(2)))[0] == 200
            free.set()
            assert (await busy.answer())[0] == 200 and await busy.closed()
            async with asyncio.timeout(SOON):
                while (await send_command(bed, first, b"PHASE"))["phase"] != "empty":
                    await asyncio.sleep(0.01)
                await stopped
            await second.stop(0.0, 0.0)

    run(test)


@pytest.mark.parametrize("state", [
    "", "1 5\n{", "9 0\n{}", "\x00\xff", '1 3523407757\n{"banned": 3}', None,
])
def test_whatever_is_left_in_the_folder_the_program_starts(state: str | None, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        if state is not None:
            (tmp_path / STATE_FILE_NAME).write_text(state, encoding="utf-8")
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as stale:  # of a killed process
            stale.bind(str(tmp_path / SOCKET_NAME))
        async with running(folder=str(tmp_path)) as bed:
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            assert not bed.program.driver.gateway.suspended

    run(test)


def test_without_its_folder_the_program_starts(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running(folder=str(tmp_path / "none")) as bed:
            assert (await (await bed.client()).ask(request(1)))[0] == 200
            assert (await bed.console(b"SUSPEND b0\n")).startswith("done ")

    run(test)


def test_a_message_out_of_form_hurts_nobody(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running(folder=str(tmp_path)) as bed:
            for text in (b"{", b"[]", b'{"version": 1}', b'{"version": 7, "say": "take"}',
                         b'{"version": 1, "say": "given", "clients": 1, "backends": 1}',
                         b'{"version": 1, "say": "lame duck", "left": "x"}',
                         b'{"version": 1, "say": "client"}', b'{"version": 1, "say": "odd"}'):
                with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as caller:
                    caller.connect(str(tmp_path / SOCKET_NAME))
                    caller.send(text)
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(SOON):
                while bed.program.handover.channel is not None:
                    await asyncio.sleep(0.01)
            assert not bed.program.handover.handed_over and bed.program.front.is_ready()
            assert (await (await bed.client()).ask(request(1)))[0] == 200

    run(test)


def test_a_predecessor_that_hangs_keeps_nobody_from_starting(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        monkeypatch.setattr("embersill.net.handover.TAKE_OVER_TIMEOUT", 0.05)
        async with running(env=env, folder=folder) as bed:
            assert (await bed.console(b"SUSPEND b0\n")).startswith("done ")
            monkeypatch.setattr(bed.program.handover, "hand_over", lambda: None)
            second = await bed.successor(env, folder)
            assert second.front.listener is not None and second.driver.gateway.suspended == {"b0"}
            await second.stop(0.0, 0.0)

    run(test)


def sends(actions: object) -> int:
    return sum(isinstance(a, Send) for a in actions)  # type: ignore[attr-defined]


def test_levels_ceilings_and_the_retry_bound_neither_double_nor_start_full() -> None:
    listed = backends(backend("a"), backend("b", 1))
    old = gateway(plans=(CAPPED,), listed=listed, now=90.0)
    done = 0
    for number in range(12):  # more than the token bank holds: the rest is queued or refused
        actions = old.handle(asked_for(number, "pay", "capped"), 100.0 + number / 1000)
        for action in actions:
            if isinstance(action, Send):
                done += 1
                old.handle(ended(number, 0, action.backend, Outcome.SERVED), 100.0 + number / 1000)
    throttle = old.throttles["c"]
    held, level, cap = throttle.held_units, throttle.quota_level, throttle.ceiling_level
    assert held > 0 and done > 0
    credit = old.retry_credit
    state = old.hand_over(100.02)
    new = gateway(plans=(CAPPED,), listed=listed, now=100.02)
    new.handle(PredecessorState({**state, "banned": []}), 100.02)
    received = new.throttles["c"]
    assert received.quota_level <= level + 0.1 * received.rate
    assert received.ceiling_level + throttle.ceiling_level <= cap + 0.1 * received.ceiling_rate
    assert new.retry_credit + old.retry_credit == pytest.approx(credit)
    assert sends(old.handle(asked_for(50, "pay", "capped"), 100.03)) == 0
    # together they send in the next second what the level, the rate and the queued requests allow
    both = 0
    for step in range(100):
        now = 100.03 + step / 100
        both += sends(old.handle(TimerExpired("rc"), now))
        actions = new.handle(asked_for(100 + step, "pay", "capped"), now) + new.handle(
            TimerExpired("rc"), now)
        both += sends(actions)
    assert both <= held + max(level, 0.0) + received.rate + 1


def test_what_the_process_before_has_out_counts_until_it_has_ended() -> None:
    listed = backends(backend("a"), kind=ListKind.FULL)
    old = gateway(listed=listed)
    assert sends(old.handle(asked_for(1), 100.0)) == 1
    old.handle(Suspend("b"), 100.0)
    new = gateway(listed=listed)
    new.handle(PredecessorState(old.hand_over(100.0)), 100.0)
    assert (new.in_flight, new.servers["a"].in_flight, new.throttles["c"].in_flight) == (1, 1, 1)
    refused = old.handle(Request(9, "read", "small", "c", 104.0, 1.0, 2, 0, False), 100.0)
    assert [type(a) for a in refused] == [Refuse]
    new.handle(PredecessorEnded(), 101.0)
    assert (new.in_flight, new.servers["a"].in_flight, new.throttles["c"].in_flight) == (0, 0, 0)


@pytest.mark.parametrize("text", [b"", b"\r\n\r\n"])
def test_a_client_that_sends_no_request_gets_no_more_time_from_a_successor(
    text: bytes, tmp_path: pathlib.Path
) -> None:
    """If each process starts its own 2.5 s for the first request, such a connection stays open for over 4 s.

    Found by the soak, day 610.
    """
    limit, waits = 3.0, 1.5

    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        async with running(env=env, folder=folder) as bed:
            loop = asyncio.get_running_loop()
            silent, connected_at = await bed.client(), loop.time()
            silent.send(text)
            await asyncio.sleep(waits)
            second = await bed.successor(env, folder)
            await silent.closed()
            assert loop.time() - connected_at <= limit
            await bed.program.stop(0.0, 1.0)
            await second.stop(0.0, 0.0)

    run(test)


@pytest.mark.parametrize("step", ["hand_over", "move_connection"])
@pytest.mark.parametrize("then", ["stays", "leaves"])
def test_a_request_that_comes_as_its_connection_is_handed_over_is_answered_once(
    step: str, then: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Unread data is handed over with its connection, and the successor notices a disconnected client."""
    async def test() -> None:
        env, folder = roomy_settings(), str(tmp_path)
        async with running(env=env, folder=folder) as bed:
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200

            def send_meanwhile() -> None:
                client.put(request(2))
                if then == "leaves":
                    client.reset()

            before(monkeypatch, Handover, step, send_meanwhile)
            second = await bed.successor(env, folder)
            if then == "stays":
                status, headers, _ = await client.answer()
                assert status == 200 or status == 429 and float(headers["retry-after"]) > 0
                assert len(bed.seen()) == 1 + (status == 200)
            stopped = asyncio.create_task(bed.program.stop(0.0, 1.0))
            await stopped
            other = await bed.client()
            assert (await other.ask(request(3)))[0] == 200
            ids = [headers["x-call-id"] for _, headers, _ in bed.seen()]
            assert len(ids) == len(set(ids))
            while second.driver.unanswered:
                await asyncio.sleep(0.001)
            await second.stop(0.0, 0.0)

    run(test)
