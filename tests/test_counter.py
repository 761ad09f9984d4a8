"""The client of the counter: order of replies, timeouts, silence, and the outcomes of failed calls."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from embersill.interface import CounterCallEnded, Outcome
from embersill.lab.peers import HOST
from embersill.net.counter import MAX_IDLE_TIME, SILENT_AFTER_TIMEOUTS, Counter
from tests.bed import no_descriptors, run
from tests.peers import CounterPeer


class Results:
    """Results of calls in their order, and a clock that the test sets."""

    def __init__(self) -> None:
        self.events: asyncio.Queue[CounterCallEnded] = asyncio.Queue()
        self.now = 100.0

    async def next(self) -> tuple[str, Outcome, float]:
        event = await self.events.get()
        return event.name, event.outcome, event.total


@asynccontextmanager
async def calling(timeout: float = 5.0) -> AsyncIterator[tuple[Counter, Results, CounterPeer]]:
    peer, results = CounterPeer(), Results()
    await peer.start()
    host, _, port = peer.address.rpartition(":")
    counter = Counter(lambda: results.now, (host, int(port)), timeout, 5.0, results.events.put_nowait)
    yield counter, results, peer
    counter.close()
    await peer.stop()


def test_calls_are_pipelined_and_answered_in_order() -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            peer.may_answer.clear()
            for amount in (1.5, 2.0, -0.5):
                counter.add("c1.7", amount, 4.0)
            peer.may_answer.set()
            assert [(await results.next())[2] for _ in range(3)] == [1.5, 3.5, 3.0]
            assert peer.connections == 1

    run(test)


def test_a_late_reply_is_matched_to_its_own_call() -> None:
    # if the call were removed from the queue, its total would be taken for the next call's
    async def test() -> None:
        async with calling(0.02) as (counter, results, peer):
            peer.may_answer.clear()
            counter.add("c1.7", 40.0, 4.0)
            assert await results.next() == ("c1.7", Outcome.TIMED_OUT, 0.0)
            counter.timeout = 5.0
            counter.add("c1.7", 2.0, 4.0)
            peer.may_answer.set()
            assert await results.next() == ("c1.7", Outcome.SERVED, 42.0)
            assert results.events.empty() and peer.connections == 1

    run(test)


def test_later_calls_do_not_use_a_silent_connection() -> None:
    async def test() -> None:
        async with calling(0.02) as (counter, results, peer):
            peer.may_answer.clear()
            counter.add("c1.7", 1.0, 4.0)
            assert (await results.next())[1] is Outcome.TIMED_OUT
            results.now += 1.1 * SILENT_AFTER_TIMEOUTS * counter.timeout
            peer.may_answer = asyncio.Event()  # the first connection stays silent
            peer.may_answer.set()
            counter.timeout = 5.0
            results.now += SILENT_AFTER_TIMEOUTS * counter.timeout
            counter.add("c1.7", 2.0, 4.0)
            assert await results.next() == ("c1.7", Outcome.SERVED, 3.0)
            assert peer.connections == 2

    run(test)


@pytest.mark.parametrize(("reply", "outcome"), [
    (b"-BUSY too many\r\n", Outcome.REJECTED),
    (b"-ERR no such call\r\n", Outcome.ERROR),
    (b"+OK\r\n", Outcome.TIMED_OUT),
    (b"rubbish\r\n", Outcome.TIMED_OUT),
    (b"-LOADING not yet\r\n", Outcome.TIMED_OUT),
    (b"$3\r\nnan\r\n", Outcome.TIMED_OUT),
    (b"$4\r\n-inf\r\n", Outcome.TIMED_OUT),
    (b"$5\r\n1e999\r\n", Outcome.TIMED_OUT),
    (b"$3\r\n1_0\r\n", Outcome.TIMED_OUT),
    (b"$0\r\n\r\n", Outcome.TIMED_OUT),
    (b"$-1\r\n", Outcome.TIMED_OUT),
    (b"*1\r\n$1\r\n1\r\n", Outcome.TIMED_OUT),
    (b"#t\r\n", Outcome.TIMED_OUT),
])
def test_outcomes_of_replies_without_a_total(reply: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            peer.scripted_answers = [reply]
            counter.add("c1.7", 1.0, 4.0)
            assert (await results.next())[1] is outcome
            counter.add("c1.7", 1.0, 4.0)
            assert await results.next() == ("c1.7", Outcome.SERVED, 2.0)

    run(test)


@pytest.mark.parametrize(("reply", "total"), [
    (b":7\r\n", 7.0), (b"$6\r\n-2.500\r\n", -2.5), (b"$7\r\n1.5e+03\r\n", 1500.0),
])
def test_totals_are_parsed_from_integers_and_strings(reply: bytes, total: float) -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            peer.scripted_answers = [reply]
            counter.add("c1.7", 1.0, 4.0)
            assert await results.next() == ("c1.7", Outcome.SERVED, total)

    run(test)


@pytest.mark.parametrize("reply", [b"$3\r\nnan\r\n", b"$90\r\n", b"*2\r\n", b"$-9\r\n"])
def test_a_connection_is_not_reused_after_a_reply_without_a_number(reply: bytes) -> None:
    # the next replies there would be parsed as the rest of the incomplete one
    async def test() -> None:
        async with calling(0.05) as (counter, results, peer):
            peer.scripted_answers = [reply]
            counter.add("c1.7", 1.0, 4.0)
            assert (await results.next())[1] is Outcome.TIMED_OUT
            counter.timeout = 5.0
            counter.add("c1.7", 1.0, 4.0)
            assert await results.next() == ("c1.7", Outcome.SERVED, 2.0) and peer.connections == 2

    run(test)


def test_a_written_call_may_have_been_added_if_its_connection_breaks() -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            peer.may_answer.clear()
            counter.add("c1.7", 1.0, 4.0)
            while not peer.calls:
                await asyncio.sleep(0)
            for writer in list(peer.writers):
                writer.transport.abort()
            assert (await results.next())[1] is Outcome.TIMED_OUT

    run(test)


def test_a_call_without_a_connection_added_nothing() -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            await peer.stop()
            counter.add("c1.7", 1.0, 4.0)
            assert (await results.next())[1] is Outcome.NO_CONNECTION

    run(test)


def test_a_call_without_a_descriptor_added_nothing_and_the_next_succeeds() -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            with no_descriptors():
                counter.add("c1.7", 1.0, 4.0)
                assert (await results.next())[1] is Outcome.NO_CONNECTION
            counter.add("c1.7", 2.0, 4.0)
            assert await results.next() == ("c1.7", Outcome.SERVED, 2.0)

    run(test)


def test_a_call_that_timed_out_while_connecting_is_never_written() -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            counter.timeout = 0.0
            counter.add("c1.7", 1.0, 4.0)
            connection = next(x for x in counter.connections if x is not None)
            counter.time_out(connection.unwritten[0][0])
            assert (await results.next())[1] is Outcome.NO_CONNECTION
            counter.timeout = 5.0
            counter.add("c1.7", 2.0, 4.0)
            assert (await results.next())[2] == 2.0
            assert peer.calls == [("c1.7", 2.0)]

    run(test)


def test_an_idle_connection_is_replaced() -> None:
    # the counter closes idle connections silently: a call written at that time may or may not be added
    async def test() -> None:
        async with calling() as (counter, results, peer):
            counter.add("c1.7", 1.0, 4.0)
            await results.next()
            results.now += MAX_IDLE_TIME + 0.1
            counter.add("c1.7", 1.0, 4.0)
            assert (await results.next())[2] == 2.0 and peer.connections == 2

    run(test)


def test_the_bytes_of_a_call() -> None:
    async def test() -> None:
        written: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def listen(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            written.set_result(await reader.read(1000))
            writer.close()

        server = await asyncio.start_server(listen, HOST, 0)
        results = Results()
        address = server.sockets[0].getsockname()
        counter = Counter(lambda: results.now, address, 5.0, 5.0, results.events.put_nowait)
        counter.add("c1.7", -2.5, 4.0)
        assert await written == b"*4\r\n$7\r\nCNT.ADD\r\n$4\r\nc1.7\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
        counter.close()
        server.close()

    run(test)


def test_calls_go_to_a_new_address_and_pending_ones_are_still_answered() -> None:
    async def test() -> None:
        async with calling() as (counter, results, peer):
            other = CounterPeer()
            await other.start()
            peer.may_answer.clear()
            counter.add("c1.7", 1.0, 4.0)
            while not peer.calls:
                await asyncio.sleep(0)
            host, _, port = other.address.rpartition(":")
            counter.set_address((host, int(port)))
            counter.add("c1.7", 5.0, 4.0)
            assert await results.next() == ("c1.7", Outcome.SERVED, 5.0)
            peer.may_answer.set()
            assert await results.next() == ("c1.7", Outcome.SERVED, 1.0)
            assert other.calls == [("c1.7", 5.0)] and peer.calls == [("c1.7", 1.0)]
            await other.stop()

    run(test)


def test_calls_of_a_broken_connection_end_in_their_order() -> None:
    # the decision module matches the results for a name to its calls by their order
    async def test() -> None:
        async with calling() as (counter, results, peer):
            peer.may_answer.clear()
            counter.add("c1.7", 1.0, 4.0)
            while not peer.calls:
                await asyncio.sleep(0)
            counter.add("c1.7", 2.0, 4.0)
            connection = next(c for c in counter.connections if c is not None)
            connection.pause_writing()
            connection.fail_calls()
            assert [(await results.next())[1] for _ in range(2)] == [Outcome.TIMED_OUT, Outcome.NO_CONNECTION]

    run(test)
