"""Outcomes of attempts over loopback sockets: what is known not to have run, and what may have run."""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from embersill.interface import Outcome
from embersill.lab.peers import HOST, HttpMessage, free_port, response_bytes, reset
from embersill.net.backends import REUSE_DELAY, AttemptResult, Attempt, Dialer
from embersill.net.bodies import STREAMING_THRESHOLD, Sink
from embersill.net.pool import Address, Pool
from tests.bed import backend_connections, no_descriptors, run
from tests.peers import SOON, BackendPeer, Step

HEAD = b"POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nContent-Length: 2\r\n"


def nowhere(attempt: Attempt, headers: bytes, length: int | None) -> Sink | None:
    raise AssertionError("an answer of this size is not passed on as it comes")


class Sender:
    """Starts attempts to one backend and waits for their results."""

    def __init__(self, dialer: Dialer) -> None:
        self.dialer, self.pool = dialer, dialer.pool

    def start(
        self, wait: float = 5.0, body: bytes = b"ab", to: str = "b"
    ) -> tuple[Attempt, asyncio.Future[AttemptResult]]:
        ended: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
        now = self.pool.clock()
        head = HEAD.replace(b"2\r", b"%d\r" % len(body))
        attempt = Attempt(to, head, body, now, now + wait, lambda _, a: ended.set_result(a), nowhere)
        self.dialer.start(attempt)
        return attempt, ended

    async def outcome(self, wait: float = 5.0) -> Outcome:
        outcome = (await self.start(wait)[1]).outcome
        await self.rested()
        return outcome

    async def rested(self) -> None:
        """Waits until no connection is in its reuse delay."""
        while any(backend_pool.in_reuse_delay for backend_pool in self.pool.backends.values()):
            await asyncio.sleep(0.001)

    def set_clock(self, clock: Callable[[], float]) -> None:
        self.pool.clock = clock

    async def start_at(self, backend: str) -> Outcome:
        return (await self.start(to=backend)[1]).outcome


def address(pool: Pool) -> Address:
    found = pool.backends["b"].address
    assert found is not None
    return found


@asynccontextmanager
async def sending(*script: Step, keepalive: float = 60.0) -> AsyncIterator[tuple[Sender, BackendPeer]]:
    peer = BackendPeer()
    await peer.start()
    peer.script = list(script)
    dialer = Dialer(asyncio.get_running_loop().time, 0.25, keepalive, 10)
    host, _, port = peer.address.rpartition(":")
    dialer.pool.set_address("b", (host, int(port)))
    yield Sender(dialer), peer
    dialer.close()
    await peer.stop()


def says(text: bytes, close: bool = False) -> Step:
    def step(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        writer.write(text)
        if close:
            writer.close()

    return step


def cuts(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
    writer.transport.abort()


@pytest.mark.parametrize(("text", "outcome"), [
    (response_bytes(200, b"x"), Outcome.SERVED),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + response_bytes(200, b"x"), Outcome.SERVED),
    (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + response_bytes(200, b"x" * STREAMING_THRESHOLD),
     Outcome.SERVED),
    (response_bytes(200, b"x", "Connection: close"), Outcome.SERVED),
    (response_bytes(200, b"x") + response_bytes(200, b"y"), Outcome.SERVED),
    (response_bytes(500), Outcome.ERROR),
    (response_bytes(204), Outcome.ERROR),
    (response_bytes(503), Outcome.ERROR),
    (response_bytes(500, b"", "X-Rejected: 1"), Outcome.ERROR),
    (response_bytes(503, b"", "X-Rejected: 1"), Outcome.REJECTED),
    (response_bytes(504, b"", "X-Rejected: 1"), Outcome.REJECTED),
    (response_bytes(504, b"", "X-Rejected: 0"), Outcome.ERROR),
    (b"rubbish\r\n\r\n", Outcome.CONNECTION_LOST),
    (response_bytes(200, b"x" * STREAMING_THRESHOLD), Outcome.SERVED),
    (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n", Outcome.SERVED),
    (response_bytes(500, b"x" * (STREAMING_THRESHOLD + 1)), Outcome.ERROR),
    (response_bytes(503, b"x" * (STREAMING_THRESHOLD + 1), "X-Rejected: 1"), Outcome.REJECTED),
    (response_bytes(200, b"x", "Content-Length: 7"), Outcome.CONNECTION_LOST),
    (response_bytes(200, b"x", "Transfer-Encoding: chunked"), Outcome.CONNECTION_LOST),
])
def test_the_answer_determines_the_outcome(text: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        async with sending(says(text)) as (sender, peer):
            assert await sender.outcome() is outcome
            assert await sender.outcome() is Outcome.SERVED  # in any case the next attempt is not affected
            assert len(peer.seen) == 2

    run(test)


@pytest.mark.parametrize("second", [
    response_bytes(200, b"x"), response_bytes(200, b"y"), response_bytes(500, b"", "X-Rejected: 1"),
])
def test_of_two_answers_to_one_request_only_the_first_counts(second: bytes) -> None:
    async def test() -> None:
        async with sending(says(response_bytes(200, b"x", "Billed-Units: 3") + second)) as (sender, peer):
            answer = await sender.start()[1]
            assert (answer.outcome, answer.body, answer.units) == (Outcome.SERVED, b"x", 3.0)
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2

    run(test)


def test_headers_of_an_interim_answer_do_not_apply_to_the_final_one() -> None:
    async def test() -> None:
        lines = b"X-Rejected: 1\r\nBilled-Units: 7\r\nContent-Type: text/plain\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\n" + lines + b"\r\n"
        async with sending(
            says(interim + response_bytes(200, b"x")), says(interim + response_bytes(503))
        ) as (sender, _):
            served = await sender.start()[1]
            assert (served.outcome, served.units, served.headers) == (Outcome.SERVED, 0.0, b"")
            assert await sender.outcome() is Outcome.ERROR  # it may have run: nothing proves that it did not

    run(test)


@pytest.mark.parametrize("endless", [b"X-Pad: pppppppp\r\n", b"\r\nHTTP/1.1 103 Early Hints\r\n"])
def test_an_endless_head_ends_the_attempt(endless: bytes) -> None:
    # waiting for its end would take the attempt's full time, in which another backend can answer
    async def pads(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        writer.write(b"HTTP/1.1 103 Early Hints\r\n")
        while not writer.is_closing():
            writer.write(100 * endless)
            await asyncio.sleep(0)

    async def test() -> None:
        async with sending(pads) as (sender, peer):
            assert await sender.outcome(2.0) is Outcome.CONNECTION_LOST

    run(test)


def test_an_answer_may_end_where_the_connection_is_closed() -> None:
    async def test() -> None:
        async with sending(says(b"HTTP/1.1 200 OK\r\n\r\nab", close=True)) as (sender, _):
            answer = await sender.start(5.0)[1]
            assert (answer.outcome, answer.body) == (Outcome.SERVED, b"ab")

    run(test)


@pytest.mark.parametrize("step", [
    cuts, says(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", close=True), says(b"", close=True),
    says(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", close=True),
])
def test_an_attempt_may_have_run_if_its_connection_breaks_after_the_write(step: Step) -> None:
    async def test() -> None:
        async with sending(step) as (sender, _):
            assert await sender.outcome() is Outcome.CONNECTION_LOST

    run(test)


def test_an_attempt_on_an_idle_connection_that_was_dead_may_have_run() -> None:
    async def test() -> None:
        async with sending(says(response_bytes(200)), cuts) as (sender, peer):
            assert await sender.outcome() is Outcome.SERVED
            assert await sender.outcome() is Outcome.CONNECTION_LOST
            assert len(peer.seen) == 2 and peer.connections == 1

    run(test)


def test_an_attempt_whose_connection_is_refused_never_ran() -> None:
    async def test() -> None:
        async with sending() as (sender, peer):
            await peer.stop()
            assert await sender.outcome() is Outcome.NO_CONNECTION

    run(test)


def test_a_partly_written_request_never_ran() -> None:
    # the kernel accepts a part of a large body; the rest is not yet written when the connection breaks
    async def test() -> None:
        started = asyncio.Event()

        async def takes_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            started.set()
            await asyncio.sleep(0)
            writer.transport.abort()

        server = await asyncio.start_server(takes_little, HOST, 0, limit=16)
        async with sending() as (sender, _):
            sender.pool.set_address("b", server.sockets[0].getsockname())
            _, ended = sender.start(body=b"x" * 30_000_000)
            assert (await ended).outcome is Outcome.NO_CONNECTION
        server.close()

    run(test)


def test_timeout_and_cancellation_close_the_connection() -> None:
    async def test() -> None:
        async with sending(says(b""), says(b"")) as (sender, peer):
            assert await sender.outcome(0.05) is Outcome.TIMED_OUT
            attempt, ended = sender.start()
            await peer.until(lambda: len(peer.seen) == 2)
            attempt.end(AttemptResult(Outcome.CANCELLED))
            assert (await ended).outcome is Outcome.CANCELLED
            await peer.until(lambda: peer.ended == 2)
            assert not sender.pool.connections or await sender.outcome() is Outcome.SERVED

    run(test)


@asynccontextmanager
async def hanging() -> AsyncIterator[tuple[Sender, socket.socket]]:
    """A backend with a full backlog: connecting takes until a connection is accepted there."""
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind((HOST, 0))
        listener.listen(0)
        filler.connect(listener.getsockname())
        dialer = Dialer(asyncio.get_running_loop().time, 30.0, 60.0, 10)
        dialer.pool.set_address("b", listener.getsockname())
        yield Sender(dialer), listener
        dialer.close()


@pytest.mark.parametrize("way", ["drain", "gone", "end", "time-out"])
def test_an_attempt_that_ended_while_connecting_is_not_written(way: str) -> None:
    # the grace of a drain or the request's deadline passes while connecting: nothing may be written after it
    async def test() -> None:
        async with hanging() as (sender, listener):
            attempt, ended = sender.start(0.05 if way == "time-out" else 20.0)
            await asyncio.sleep(0)
            assert sender.pool.opening
            if way == "drain":
                sender.pool.retire("b")
            elif way == "gone":
                sender.pool.retire_unlisted([])
            elif way == "end":
                attempt.end(AttemptResult(Outcome.NOT_SENT))
            assert (await ended).outcome.never_ran
            sender.pool.retire("b")  # the connection being opened may be kept for others
            async with asyncio.timeout(SOON):
                while sender.pool.connections:
                    await asyncio.sleep(0.001)
            assert not attempt.was_assigned and not sender.pool.opening

    run(test)


def test_connecting_times_out() -> None:
    async def test() -> None:
        async with hanging() as (sender, _):
            sender.dialer.dial_timeout = 0.05
            assert await sender.outcome() is Outcome.NO_CONNECTION

    run(test)


def test_idle_connections_are_closed_before_the_backend_closes_them() -> None:
    async def test() -> None:
        now = 0.0
        async with sending(keepalive=10.0) as (sender, peer):
            sender.set_clock(lambda: now)
            assert await sender.outcome() is Outcome.SERVED
            now = 8.9
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 1
            now = 18.0
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2
            now = 28.0
            sender.pool.close_expired()
            await peer.until(lambda: peer.ended == 2)

    run(test)


@pytest.mark.parametrize("late", [response_bytes(200, b"of nobody"), b""])
def test_unread_bytes_on_an_idle_connection_are_not_the_next_answer(late: bytes) -> None:
    # the bytes are in the kernel's buffer, but the event loop has not read them yet
    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen()
            listener.setblocking(False)
            dialer = Dialer(loop.time, 5.0, 60.0, 10)
            dialer.pool.set_address("b", listener.getsockname())
            sender, served = Sender(dialer), response_bytes(200, b"x")
            _, first = sender.start()
            old, _ = await loop.sock_accept(listener)
            await loop.sock_recv(old, 4096)
            await loop.sock_sendall(old, served)
            assert (await first).body == b"x"
            if late:
                old.send(late)
            else:
                old.shutdown(socket.SHUT_WR)
            _, second = sender.start()
            new, _ = await loop.sock_accept(listener)
            await loop.sock_recv(new, 4096)
            await loop.sock_sendall(new, served)
            assert (await second).body == b"x"
            old.close()
            new.close()
            dialer.close()

    run(test)


def test_the_idle_time_adapts_to_what_connections_survive() -> None:
    # a device on the path may drop idle connections silently, long before the backend closes them
    async def test() -> None:
        now = 0.0
        served = says(response_bytes(200, b"x"))
        async with sending(served, cuts, served, served, served, keepalive=10.0) as (sender, peer):
            sender.set_clock(lambda: now)
            assert await sender.outcome() is Outcome.SERVED
            now = 1.0
            assert await sender.outcome() is Outcome.CONNECTION_LOST  # it had been dropped
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2
            now = 1.4
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2  # survived
            now = 2.0
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2  # so more is tried
            now = 2.9
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 3

    run(test)


def test_a_break_during_an_attempt_does_not_change_the_idle_time() -> None:
    async def test() -> None:
        now = 0.0
        async with sending(says(response_bytes(200)), says(b"")) as (sender, peer):
            sender.set_clock(lambda: now)
            assert await sender.outcome() is Outcome.SERVED
            now = 1.0
            _, ended = sender.start()
            await peer.until(lambda: len(peer.seen) == 2)
            now = 2.0
            for writer in list(peer.writers):
                writer.transport.abort()
            assert (await ended).outcome is Outcome.CONNECTION_LOST
            assert sender.pool.backends["b"].proven_idle_time == float("inf")

    run(test)


def test_new_connections_are_opened_after_a_timeout_or_a_backend_restart() -> None:
    # connections to a machine that lost its network stay open but silent: an attempt written to one of them
    # may have run, while one whose connection could not be opened cannot have run
    async def test() -> None:
        served, silent = says(response_bytes(200)), says(b"")
        async with sending(silent, silent, served, served, served) as (sender, peer):
            _, first = sender.start(5.0)
            await peer.until(lambda: len(peer.seen) == 1)
            _, second = sender.start(5.0)
            await peer.until(lambda: len(peer.seen) == 2)
            assert await sender.outcome() is Outcome.SERVED  # on a third connection, which becomes idle
            assert sender.pool.idle_count() == 1
            attempt = next(c.attempt for c in backend_connections(sender.pool) if c.attempt is not None)
            attempt.time_out()
            assert not sender.pool.idle_count() and (first.done() or second.done())
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 4
            sender.pool.set_address("b", address(sender.pool), 7.0)
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 5

    run(test)


def test_the_pool_is_bounded_and_evicts_idle_connections() -> None:
    async def test() -> None:
        async with sending(says(b""), says(b"")) as (sender, peer):
            sender.pool.max_connections = 2
            sender.pool.set_address("c", address(sender.pool))
            first, _ = sender.start()
            second, _ = sender.start()
            third, ended = sender.start()
            await peer.until(lambda: len(peer.seen) == 2)
            third.end(AttemptResult(Outcome.CANCELLED))
            # the pool is full, and c has no connection that could become free
            assert await sender.start_at("c") is Outcome.NOT_SENT
            first.end(AttemptResult(Outcome.CANCELLED))
            await peer.until(lambda: peer.ended == 1)
            assert await sender.outcome() is Outcome.SERVED
            assert await sender.start_at("c") is Outcome.SERVED
            await peer.until(lambda: peer.ended >= 2)

    run(test)


@pytest.mark.parametrize("text", [
    b"HTTP/1.0 200 X\r\nContent-Length: 1\r\n\r\nx", response_bytes(200, b"x", "Connection: close"),
    response_bytes(200, b"x") + b"H", response_bytes(200, b"x") + response_bytes(200, b"y"),
])
def test_a_connection_is_reused_only_after_a_correct_answer(text: bytes) -> None:
    async def test() -> None:
        async with sending(says(text)) as (sender, peer):
            assert await sender.outcome() is Outcome.SERVED
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2
            assert sender.pool.figures["pool reused"] == 1

    run(test)


def test_a_backend_that_refuses_is_reported_with_its_open_connections() -> None:
    async def test() -> None:
        async with sending(says(response_bytes(200)), says(b"")) as (sender, peer):
            told: list[tuple[str, int]] = []
            sender.pool.on_open_failed = lambda backend, up: told.append((backend, up))
            assert await sender.outcome() is Outcome.SERVED
            busy, _ = sender.start()
            await peer.until(lambda: len(peer.seen) == 2)
            assert peer.server is not None
            peer.server.close()  # the open connection stays open
            assert await sender.outcome() is Outcome.NO_CONNECTION and told == [("b", 1)]
            busy.end(AttemptResult(Outcome.CANCELLED))

    run(test)


def test_running_out_of_descriptors_is_a_local_failure() -> None:
    async def test() -> None:
        async with sending() as (sender, peer):
            with no_descriptors():
                assert await sender.outcome() is Outcome.NOT_SENT
            assert sender.pool.figures["pool open no descriptor"] == 1 and not sender.pool.connections
            assert await sender.outcome() is Outcome.SERVED

    run(test)


def test_ten_thousand_opens_cancellations_and_faults_leak_nothing() -> None:
    async def test() -> None:
        dice = random.Random(7)
        served, silent = says(response_bytes(200)), says(b"")
        steps = [served, served, says(response_bytes(200), close=True), cuts, silent]
        async with sending() as (sender, peer):
            sender.pool.set_address("nowhere", (HOST, free_port()))
            assert await sender.outcome() is Outcome.SERVED
            sender.pool.close_idle("b")
            await asyncio.sleep(0.01)
            before = len(os.listdir("/proc/self/fd")), len(asyncio.all_tasks())
            ends = 0
            for _ in range(200):
                peer.script = [dice.choice(steps) for _ in range(50)]
                made = [sender.start(0.03, to=dice.choice(["b", "b", "b", "nowhere"])) for _ in range(50)]
                await asyncio.sleep(dice.choice([0.0, 0.0, 0.002]))
                for attempt, _ in dice.sample(made, 30):
                    attempt.end(AttemptResult(Outcome.CANCELLED))
                await asyncio.wait([ended for _, ended in made])
                ends += sum(ended.done() for _, ended in made)
            assert ends == 10_000
            await sender.rested()
            sender.pool.close_idle("b")
            async with asyncio.timeout(SOON):
                while sender.pool.connections or peer.writers:
                    await asyncio.sleep(0.01)
            after = len(os.listdir("/proc/self/fd")), len(asyncio.all_tasks())
            assert (
                after == before and not sender.pool.backends_waiting
                and sender.pool.backends.keys() == {"b", "nowhere"})
            assert not any(p.size() or p.waiting for p in sender.pool.backends.values())
            counts = sender.pool.figures
            assert counts["pool opened"] + counts["pool open refused"] > 1000
            peer.script = []
            assert await sender.outcome() is Outcome.SERVED

    run(test)


@pytest.mark.parametrize("late", [0.0, 0.001, 0.004])
def test_a_late_second_answer_is_not_taken_for_the_next_attempts(
    late: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A faulty backend sent second answers 3 to 4 ms after the first ones."""
    assert REUSE_DELAY >= 2 * 0.004
    monkeypatch.setattr("embersill.net.backends.REUSE_DELAY", 0.25)  # long enough on a busy machine

    async def answer_twice(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        writer.write(response_bytes(200, b"first"))
        await asyncio.sleep(late)
        writer.write(response_bytes(200, b"first"))

    async def test() -> None:
        async with sending(answer_twice, says(response_bytes(200, b"second"))) as (sender, peer):
            answer = await sender.start()[1]
            assert (answer.outcome, answer.body) == (Outcome.SERVED, b"first")
            following = await sender.start()[1]
            assert (following.outcome, following.body) == (Outcome.SERVED, b"second")
            assert peer.connections == 2

    run(test)


def test_an_attempt_right_after_an_answer_waits_for_the_same_connection() -> None:
    async def test() -> None:
        async with sending() as (sender, peer):
            for _ in range(5):
                assert (await sender.start()[1]).outcome is Outcome.SERVED
            assert peer.connections == 1 and sender.pool.figures["pool opened"] == 1
            await sender.rested()
            backend_pool = sender.pool.backends["b"]
            assert len(backend_pool.idle) == 1 and not backend_pool.in_use

    run(test)


@pytest.mark.parametrize("end", ["reset", "close", "half a line"])
def test_if_a_connection_fails_in_its_reuse_delay_the_waiting_attempt_opens_another(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("embersill.net.backends.REUSE_DELAY", 0.25)

    async def fail_afterwards(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        writer.write(response_bytes(200, b"first"))
        await asyncio.sleep(0.002)
        if end == "half a line":
            writer.write(b"HTTP/1.1 2")
        elif end == "reset":
            reset(writer)
        else:
            writer.close()

    async def test() -> None:
        async with sending(fail_afterwards, says(response_bytes(200, b"second"))) as (sender, peer):
            assert (await sender.start()[1]).body == b"first"
            assert (await sender.start()[1]).body == b"second"
            await sender.rested()
            backend_pool = sender.pool.backends["b"]
            assert peer.connections == 2 and len(backend_pool.idle) == 1 and not backend_pool.in_use

    run(test)
