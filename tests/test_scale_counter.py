"""The substitute for the counter against the published protocol, by the gateway's client and raw calls."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import hiredis

from embersill.interface import CounterCallEnded, Outcome
from embersill.lab.peers import HOST
from embersill.lab.scale.counter_process import listen
from embersill.lab.scale.resp import MAX_QUEUED_CALLS, AddCall, CounterModel, bulk_total
from embersill.net.counter import Counter

WITHIN = 10.0  # seconds for one test


class Caller:
    """A connection that writes raw calls and reads raw replies."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(port: int) -> Caller:
        return Caller(*await asyncio.open_connection(HOST, port))

    def write(self, *words: str) -> None:
        self.writer.write(hiredis.pack_command(words))  # type: ignore[arg-type]

    async def reply(self) -> bytes:
        """One reply, with the body of a bulk string."""
        line = await self.reader.readline()
        return line + await self.reader.readexactly(int(line[1:]) + 2) if line[:1] == b"$" else line


class ManualClock:
    """A clock that moves only when a test moves it."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def serve(model: CounterModel, test: Callable[[int], Awaitable[None]]) -> None:
    async def bounded() -> None:
        server = await listen(model, 0)
        async with asyncio.timeout(WITHIN):
            await test(server.sockets[0].getsockname()[1])
        server.close()

    asyncio.run(bounded())


def unlimited() -> CounterModel:
    return CounterModel(time.monotonic, 1, 0.0)


def test_replies_come_in_the_order_of_pipelined_calls() -> None:
    async def test(port: int) -> None:
        caller = await Caller.open(port)
        caller.write("CNT.ADD", "a", "2.5", "4000")
        caller.write("PING")
        caller.write("CNT.ADD", "a", "-1", "4000")
        caller.write("CLIENT", "SETNAME", "x")
        caller.write("SELECT", "0")
        caller.write("CNT.ADD", "b", "1", "4000")
        replies = [await caller.reply() for _ in range(6)]
        assert replies == [b"$3\r\n2.5\r\n", b"+PONG\r\n", b"$3\r\n1.5\r\n", b"+OK\r\n", b"+OK\r\n",
                           b"$1\r\n1\r\n"]

    serve(unlimited(), test)


def test_a_call_that_arrives_in_pieces_is_answered_once_it_is_complete() -> None:
    async def test(port: int) -> None:
        caller = await Caller.open(port)
        text = hiredis.pack_command(("CNT.ADD", "a", "3", "4000"))  # type: ignore[arg-type]
        for byte in text:
            caller.writer.write(bytes([byte]))
            await caller.writer.drain()
        assert await caller.reply() == b"$1\r\n3\r\n"

    serve(unlimited(), test)


def test_invalid_calls_get_an_error_and_add_nothing() -> None:
    model = unlimited()

    async def test(port: int) -> None:
        caller = await Caller.open(port)
        wrong = [("CNT.GET", "a"), ("CNT.ADD", "a", "x", "4000"), ("CNT.ADD", "a", "1", "0"),
                 ("CNT.ADD", "n" * 65, "1", "4000"), ("CNT.ADD", "", "1", "4000"),
                 ("CNT.ADD", "a", "2e9", "4000"), ("CNT.ADD", "a", "nan", "4000")]
        for words in wrong:
            caller.write(*words)
        for _ in wrong:
            assert (await caller.reply()).startswith(b"-ERR ")
        assert not model.names

    serve(model, test)


def test_a_names_life_starts_with_its_first_call_and_is_not_extended() -> None:
    clock = ManualClock()
    model = CounterModel(clock, 1, 0.0)
    model.reserve("a")  # the first call: expired names are removed only at some calls
    assert model.add(AddCall("a", 1.0, 4.0)) == 1.0
    clock.now += 3.9
    assert model.add(AddCall("a", 1.0, 4.0)) == 2.0
    clock.now += 0.2  # beyond the first call's life, within the second's
    assert model.add(AddCall("a", 1.0, 4.0)) == 1.0
    clock.now += 4.1
    model.remove_expired()
    assert not model.names


def test_a_names_life_is_at_most_a_minute() -> None:
    clock = ManualClock()
    model = CounterModel(clock, 1, 0.0)

    async def test(port: int) -> None:
        caller = await Caller.open(port)
        caller.write("CNT.ADD", "a", "1", "600000")
        assert await caller.reply() == b"$1\r\n1\r\n"
        assert model.names["a"].expires_at == clock.now + 60.0

    serve(model, test)


def test_a_total_is_exact_to_seven_digits() -> None:
    assert bulk_total(1234567.0) == b"$7\r\n1234567\r\n"
    assert bulk_total(0.1234567) == b"$9\r\n0.1234567\r\n"


def test_calls_beyond_a_parts_queue_are_rejected_and_add_nothing() -> None:
    clock = ManualClock()
    model = CounterModel(clock, 1, 500.0)
    served = 0
    while model.reserve("a") is not None:
        served += 1
    # the queued calls, and the one that is being served
    assert served == MAX_QUEUED_CALLS + 1
    assert model.rejected_calls == 1
    clock.now += 1.0 / 500.0
    assert model.reserve("a") is not None
    assert model.reserve("a") is None


def test_each_part_has_a_queue_of_its_own() -> None:
    model = CounterModel(ManualClock(), 3, 500.0)
    while model.reserve("a") is not None:
        pass
    assert any(model.reserve(name) is not None for name in "bcdefgh")


def test_busy_replies_keep_the_order_of_the_calls() -> None:
    model = CounterModel(time.monotonic, 1, 500.0)

    async def test(port: int) -> None:
        caller = await Caller.open(port)
        count = 3 * MAX_QUEUED_CALLS
        for _ in range(count):
            caller.write("CNT.ADD", "a", "1", "4000")
        caller.write("PING")
        replies = [await caller.reply() for _ in range(count)]
        served = [reply for reply in replies if not reply.startswith(b"-BUSY")]
        assert served == [bulk_total(float(n)) for n in range(1, len(served) + 1)]
        assert replies.count(b"-BUSY the part has no room\r\n") == model.rejected_calls == count - len(served)
        assert model.rejected_calls > 0
        assert await caller.reply() == b"+PONG\r\n"

    serve(model, test)


def test_the_gateways_client_reads_its_totals() -> None:
    results: list[CounterCallEnded] = []

    async def test(port: int) -> None:
        client = Counter(time.monotonic, (HOST, port), WITHIN / 2, 1.0, results.append)
        for _ in range(100):
            client.add("customer.1", 1.0, 4.0)
        while len(results) < 100:
            await asyncio.sleep(0.005)
        client.close()

    serve(unlimited(), test)
    assert {c.outcome for c in results} == {Outcome.SERVED}
    assert [c.total for c in results] == [float(n) for n in range(1, 101)]


def test_the_gateways_client_reads_busy_as_rejected() -> None:
    model = CounterModel(ManualClock(), 1, 500.0)
    while model.reserve("customer.1") is not None:
        pass
    results: list[CounterCallEnded] = []

    async def test(port: int) -> None:
        client = Counter(time.monotonic, (HOST, port), WITHIN / 2, 1.0, results.append)
        client.add("customer.1", 1.0, 4.0)
        while not results:
            await asyncio.sleep(0.005)
        client.close()

    serve(model, test)
    assert results[0].outcome is Outcome.REJECTED
