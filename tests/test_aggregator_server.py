"""The aggregator's server, upstream client, registration and program."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import subprocess
import sys

import pytest

from embersill.aggregator.messages import Forward, ForwardResult, ForwardStatus
from embersill.aggregator.resp import MalformedCall, parse_add, parse_result
from embersill.aggregator.server import MAX_CALL_BYTES, MAX_UNANSWERED
from embersill.aggregator.upstream import Upstream, UpstreamOptions
from embersill.lab.peers import HOST, free_port, read_counter_call, reset
from tests.aggregators import AggregatorProcess, caller, read_value, serving, until_lease, until_ready
from tests.lists import ROOT, run, served
from tests.peers import SOON, CounterPeer


async def start_counter(port: int = 0) -> CounterPeer:
    counter = CounterPeer()
    await counter.start(port)
    return counter


@pytest.mark.parametrize(
    "words",
    [
        [b"a", b"1"],
        [b"a", b"1", b"1", b"1"],
        [b"", b"1", b"1"],
        [b"a" * 65, b"1", b"1"],
        [b"a", b"nan", b"1"],
        [b"a", b"inf", b"1"],
        [b"a", b"1_0", b"1"],
        [b"a", b"", b"1"],
        [b"a", b"1.1e9", b"1"],
        [b"a", b"-1.1e9", b"1"],
        [b"a", b"1e999", b"1"],
        [b"a", b"1", b"0"],
        [b"a", b"1", b"-5"],
        [b"a", b"1", b"1.5"],
        [b"a", b"1", b""],
    ],
)
def test_malformed_calls_are_refused(words: list[bytes]) -> None:
    with pytest.raises(MalformedCall):
        parse_add([b"CNT.ADD", *words])


def test_calls_at_the_limits_are_parsed() -> None:
    call = parse_add([b"CNT.ADD", b"a" * 64, b"-1e9", b"99999"])
    assert (call.amount, call.life) == (-1e9, 60.0)
    assert parse_add([b"CNT.ADD", b"\xff\x00", b"+.5"[1:].rjust(4, b"0"), b"1"]).amount == 0.5


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (b"5", ForwardStatus.ADDED),
        (5, ForwardStatus.ADDED),
        (b"-1.5e3", ForwardStatus.ADDED),
        (None, ForwardStatus.UNKNOWN),
        (b"nan", ForwardStatus.UNKNOWN),
        (b"1e999", ForwardStatus.UNKNOWN),
        (b"OK", ForwardStatus.UNKNOWN),
        ([], ForwardStatus.UNKNOWN),
        (True, ForwardStatus.UNKNOWN),
    ],
)
def test_only_a_number_is_a_total(reply: object, status: ForwardStatus) -> None:
    assert parse_result(reply).status is status


def test_calls_are_summed_and_forwarded() -> None:
    async def test() -> None:
        counter = await start_counter()
        async with serving(counter.address) as server, caller(server.port) as one, caller(server.port) as two:
            await until_lease(server)
            assert await one.add("a.1", 2.0) == 2.0
            assert await two.add("a.1", 3.5) == 5.5
            assert await one.add("a.1", -1.0) == 4.5
            async with asyncio.timeout(SOON):
                while counter.sums["a.1"] != 4.5:
                    await asyncio.sleep(0.01)
            assert len([name for name, _ in counter.calls if name == "a.1"]) <= 3
        await counter.stop()

    run(test)


def test_replies_keep_their_order_while_one_is_deferred() -> None:
    async def test() -> None:
        counter = await start_counter()
        async with serving(counter.address) as server, caller(server.port) as one:
            await until_lease(server)
            await one.add("known.1", 5.0)
            counter.may_answer.clear()
            one.write_add("new.1", 3.0)
            one.write_add("known.1", 1.0)
            one.write("PING")
            one.write_add("known.1", 1.0, 0)
            await asyncio.sleep(0.05)
            counter.may_answer.set()
            assert [read_value(await one.read()) for _ in range(2)] == [3.0, 6.0]
            assert await one.read() == b"PONG"
            assert read_value(await one.read()) == "ERR"
        await counter.stop()

    run(test)


def test_ping_client_and_select_are_answered_without_a_lease() -> None:
    async def test() -> None:
        async with serving(f"{HOST}:{free_port()}") as server, caller(server.port) as one:
            one.write("PING")
            one.write("client", "SETINFO", "x", "y")
            one.write("SELECT", "0")
            assert [await one.read() for _ in range(3)] == [b"PONG", b"OK", b"OK"]
            assert await one.add("a.1", 1.0) == "BUSY"
            assert (await one.statistics())["busy"]["cut_off"] == 1

    run(test)


@pytest.mark.parametrize(
    "text", [b"PING\r\n", b"*1\r\n:5\r\n", b"*0\r\n", b"*1\r\n$3\r\nFOO\r\n", b"GET / HTTP/1.1\r\n\r\n",
             b"*1\r\n*1\r\n$4\r\nPING\r\n", b"*-1\r\n", b"\x00\x00\r\n"]
)
def test_malformed_input_gets_an_error(text: bytes) -> None:
    async def test() -> None:
        async with serving(f"{HOST}:{free_port()}") as server, caller(server.port) as one:
            one.writer.write(text)
            assert read_value(await one.read()) == "ERR"
            async with caller(server.port) as other:
                other.write("PING")
                assert await other.read() == b"PONG"

    run(test)


def test_connection_with_an_endless_call_is_closed() -> None:
    async def test() -> None:
        async with serving(f"{HOST}:{free_port()}") as server, caller(server.port) as one:
            one.writer.write(b"*1\r\n$900000000\r\n" + b"x" * (MAX_CALL_BYTES + 100))
            assert read_value(await one.read()) == "ERR"
            with pytest.raises((EOFError, ConnectionError)):
                await one.read()

    run(test)


def test_connections_are_bounded() -> None:
    async def test() -> None:
        async with serving(f"{HOST}:{free_port()}", {"max_connections": 2}) as server:
            async with caller(server.port) as one, caller(server.port) as two:
                for peer in (one, two):
                    peer.write("PING")
                    assert await peer.read() == b"PONG"
                async with caller(server.port) as third:
                    third.write("PING")
                    with pytest.raises((EOFError, ConnectionError)):
                        await third.read()
                one.write("PING")
                assert await one.read() == b"PONG"
            async with asyncio.timeout(SOON):
                while server.connections:
                    await asyncio.sleep(0.01)
            async with caller(server.port) as again:
                again.write("PING")
                assert await again.read() == b"PONG"

    run(test)


def test_idle_connections_are_closed() -> None:
    async def test() -> None:
        upstream = f"{HOST}:{free_port()}"
        async with serving(upstream, {"idle_timeout": 0.1}) as server, caller(server.port) as one:
            one.write("PING")
            assert await one.read() == b"PONG"
            with pytest.raises((EOFError, ConnectionError)):
                await one.read()
            assert server.figures.connections_idle == 1

    run(test)


def test_a_caller_that_does_not_read_is_closed() -> None:
    async def test() -> None:
        async with serving(f"{HOST}:{free_port()}") as server, caller(server.port) as one:
            one.reader._transport.pause_reading()  # type: ignore[attr-defined]
            async with asyncio.timeout(SOON):
                while not server.figures.connections_slow:
                    one.writer.write(b"*1\r\n$9\r\nAGG.STATS\r\n" * 200)
                    await asyncio.sleep(0.001)
            async with caller(server.port) as other:
                other.write("PING")
                assert await other.read() == b"PONG"

    run(test)


def test_a_connection_with_many_unanswered_calls_is_not_read() -> None:
    async def test() -> None:
        counter = await start_counter()
        async with serving(counter.address, lease=SOON) as server, caller(server.port) as one:
            await until_lease(server)
            counter.may_answer.clear()
            count = 40 * MAX_UNANSWERED
            for number in range(count):
                one.write_add(f"c{number % 100}.1", 1.0)
            await asyncio.sleep(0.3)
            connection = next(iter(server.connections))
            held = len(connection.replies)
            assert MAX_UNANSWERED < held < count / 2
            counter.may_answer.set()
            for _ in range(count):
                assert isinstance(read_value(await one.read()), float)
        await counter.stop()

    run(test)


def test_a_waiting_call_whose_upstream_connection_breaks_is_answered_without_a_number() -> None:
    async def test() -> None:
        counter = await start_counter()
        async with serving(counter.address) as server, caller(server.port) as one:
            await until_lease(server)
            counter.may_answer.clear()
            one.write_add("a.1", 4.0)
            async with asyncio.timeout(SOON):
                while ("a.1", 4.0) not in counter.calls:
                    await asyncio.sleep(0.005)
            for writer in list(counter.writers):
                reset(writer)
            assert read_value(await one.read()) == "none"
            counter.may_answer.set()
            assert await one.add("a.1", 1.0) == 5.0
        await counter.stop()

    run(test)


def forward(number: int, name: str = "a.1", amount: float = 1.0) -> Forward:
    return Forward(number, name.encode(), amount, 1000, 0.0)


class Results:
    """Collects the results that an upstream client reports."""

    def __init__(self) -> None:
        self.received: list[tuple[int, ForwardStatus, float]] = []

    def __call__(self, ended: Forward, result: ForwardResult) -> None:
        self.received.append((ended.number, result.status, result.total))

    async def until(self, count: int) -> None:
        """Waits for `count` results."""
        async with asyncio.timeout(SOON):
            while len(self.received) < count:
                await asyncio.sleep(0.005)


def upstream(address: str, results: Results, call_timeout: float = SOON) -> Upstream:
    return Upstream(UpstreamOptions(HOST, int(address.rpartition(":")[2]), call_timeout), results)


def test_upstream_calls_are_pipelined_and_matched_in_order() -> None:
    async def test() -> None:
        counter, results = await start_counter(), Results()
        client = upstream(counter.address, results)
        for number in range(100):
            client.send(forward(number))
        await results.until(100)
        assert results.received == [(n, ForwardStatus.ADDED, n + 1.0) for n in range(100)]
        assert counter.connections == 1
        client.close()
        await counter.stop()

    run(test)


def test_upstream_that_refuses_connections_has_added_nothing() -> None:
    async def test() -> None:
        results = Results()
        client = upstream(f"{HOST}:{free_port()}", results)
        client.send(forward(1))
        await results.until(1)
        assert results.received == [(1, ForwardStatus.NO_CONNECTION, 0.0)]
        client.close()

    run(test)


def test_calls_to_a_silent_upstream_have_an_unknown_result() -> None:
    async def test() -> None:
        counter, results = await start_counter(), Results()
        counter.may_answer.clear()
        client = upstream(counter.address, results, call_timeout=0.1)
        client.send(forward(1))
        client.send(forward(2))
        await results.until(2)
        assert [result[:2] for result in results.received] == [(n, ForwardStatus.UNKNOWN) for n in (1, 2)]
        counter.may_answer.set()
        client.send(forward(3))
        await results.until(3)
        assert results.received[2] == (3, ForwardStatus.ADDED, 3.0)
        client.close()
        await counter.stop()

    run(test)


def test_call_timeout_restarts_with_each_answer() -> None:
    class SlowCounter(CounterPeer):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_counter_call(reader)
                await asyncio.sleep(0.25)
                writer.write(b"$1\r\n7\r\n")

    async def test() -> None:
        counter, results = SlowCounter(), Results()
        await counter.start()
        client = upstream(counter.address, results, call_timeout=0.5)
        for number in range(4):
            client.send(forward(number))
        await results.until(4)
        assert [result[1] for result in results.received] == [ForwardStatus.ADDED] * 4
        client.close()
        await counter.stop()

    run(test)


def test_a_second_answer_to_a_call_ends_the_connection() -> None:
    async def test() -> None:
        counter, results = await start_counter(), Results()
        counter.scripted_answers = [b"$1\r\n5\r\n$2\r\n50\r\n"]
        client = upstream(counter.address, results)
        client.send(forward(1))
        await results.until(1)
        await asyncio.sleep(0.05)
        client.send(forward(2))
        await results.until(2)
        assert results.received == [(1, ForwardStatus.ADDED, 5.0), (2, ForwardStatus.ADDED, 2.0)]
        assert counter.connections == 2
        client.close()
        await counter.stop()

    run(test)


@pytest.mark.parametrize("reply", [b"$-1\r\n", b"+OK\r\n", b"-LOADING\r\n", b"what\r\n"])
def test_an_answer_without_a_number_may_have_added_and_ends_the_connection(reply: bytes) -> None:
    async def test() -> None:
        counter, results = await start_counter(), Results()
        counter.scripted_answers = [reply]
        client = upstream(counter.address, results)
        client.send(forward(1))
        await results.until(1)
        client.send(forward(2))
        await results.until(2)
        assert [result[1] for result in results.received] == [ForwardStatus.UNKNOWN, ForwardStatus.ADDED]
        assert counter.connections == 2
        client.close()
        await counter.stop()

    run(test)


def test_busy_and_err_have_added_nothing_and_keep_the_connection() -> None:
    async def test() -> None:
        counter, results = await start_counter(), Results()
        counter.scripted_answers = [b"-BUSY\r\n", b"-ERR no\r\n"]
        client = upstream(counter.address, results)
        for number in range(3):
            client.send(forward(number))
        await results.until(3)
        statuses = [result[1] for result in results.received]
        assert statuses == [ForwardStatus.BUSY, ForwardStatus.ERROR, ForwardStatus.ADDED]
        assert counter.connections == 1
        client.close()
        await counter.stop()

    run(test)


def test_program_forwards_remaining_amounts_on_sigterm() -> None:
    async def test() -> None:
        counter = await start_counter()
        program = AggregatorProcess(
            "--listen", f"{HOST}:0", "--upstream", counter.address, "--window-ms", "5000", "--wait-ms", "5000"
        )
        await program.start()
        async with caller(program.port) as one:
            await until_ready(one)
            assert await one.add("a.1", 1.0) == 1.0
            assert await one.add("a.1", 6.0) == 7.0
            log = await program.stop(signal.SIGTERM)
        assert program.child.returncode == 0, log
        assert counter.sums["a.1"] == 7.0
        assert "ended drained" in log
        await counter.stop()

    run(test)


def test_program_ends_in_time_if_upstream_is_silent() -> None:
    async def test() -> None:
        counter = await start_counter()
        program = AggregatorProcess(
            "--listen", f"{HOST}:0", "--upstream", counter.address, "--wait-ms", "5000", "--drain-ms", "300"
        )
        await program.start()
        async with caller(program.port) as one:
            await until_ready(one)
            await one.add("a.1", 1.0)
            counter.may_answer.clear()
            await one.add("a.1", 6.0)
            log = await program.stop(signal.SIGTERM)
        assert program.child.returncode == 0, log
        assert "amounts not forwarded" in log
        await counter.stop()

    run(test)


def test_aggregator_registers_and_is_removed_from_the_list(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        counter = await start_counter()
        async with served(tmp_path) as (_, directory):
            program = AggregatorProcess(
                "--listen", f"{HOST}:0", "--upstream", counter.address, "--directory", directory.address,
                "--id", "agg-1", "--zone", "z1", "--advertise", f"{HOST}:7", "--drain-notice-ms", "500",
            )
            await program.start()
            await directory.wait_for_status(lambda status: status["instances"] == 1)
            listed = (await directory.list())["instances"][0]
            assert (listed["instanceId"], listed["hostPort"]) == ("agg-1", f"{HOST}:7")
            assert (listed["zone"], listed["machineType"]) == ("z1", "aggregator")
            assert listed["lifecycle"] == "SERVING"
            ending = asyncio.create_task(program.stop(signal.SIGTERM))
            await directory.wait_for_status(lambda status: status["draining"] == 1)
            async with caller(program.port) as one:
                await until_ready(one)
                # Calls are accepted until gateways know of the drain.
                assert isinstance(await one.add("a.1", 1.0), float)
            await ending
            assert (await directory.list())["instances"] == []
        await counter.stop()

    run(test)


def test_aggregator_registers_again_after_its_removal_from_the_list(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from embersill.aggregator import membership

    monkeypatch.setattr(membership, "HEARTBEAT_INTERVAL", 0.05)
    monkeypatch.setattr(membership, "RETRY_DELAY", 0.05)

    async def test() -> None:
        async with served(tmp_path) as (_, directory):
            options = membership.MembershipOptions(directory.address, "agg-1", f"{HOST}:7")
            first = membership.Membership(options)
            await first.start()
            await directory.wait_for_status(lambda status: status["instances"] == 1)
            _, shown, _ = await directory.call("GET", "/v1/instances/agg-1")
            await directory.call("DELETE", "/v1/instances/agg-1", match=shown["version"])
            await directory.wait_for_status(lambda status: status["instances"] == 1)
            other = membership.Membership(options)  # a later process that registers under the same id
            await other.start()
            assert first.task is not None
            async with asyncio.timeout(SOON):
                await first.task
            await other.stop()
            await first.stop()

    run(test)


@pytest.mark.parametrize(
    "options",
    [
        [],
        ["--listen", "x"],
        ["--listen", f"{HOST}:0", "--upstream", f"{HOST}:0"],
        ["--listen", f"{HOST}:0", "--upstream", f"{HOST}:1", "--window-ms", "nan"],
        ["--listen", f"{HOST}:0", "--upstream", f"{HOST}:1", "--upstream-calls", "0"],
        ["--listen", f"{HOST}:1", "--upstream", f"{HOST}:1", "--directory", f"{HOST}:1"],
        ["--listen", f"{HOST}:0", "--upstream", f"{HOST}:1", "--directory", f"{HOST}:1", "--id", "a"],
    ],
)
def test_usage_error_exits_with_2_and_one_line(
    options: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    from embersill.aggregator.__main__ import main

    with pytest.MonkeyPatch.context() as patch, pytest.raises(SystemExit) as ended:
        patch.setattr(sys, "argv", ["aggregator", *options])
        main()
    assert ended.value.code == 2
    output = capsys.readouterr().err
    assert output.startswith("embersill.aggregator: ") and output.count("\n") == 1


def test_the_gateway_never_imports_the_aggregator() -> None:
    check = (
        "import sys, embersill.program, embersill.adapter; "
        "sys.exit(any(name.startswith('embersill.aggregator') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", check], cwd=ROOT).returncode == 0


def test_port_in_use_exits_with_1_and_one_line() -> None:
    async def test() -> None:
        counter = await start_counter()
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "embersill.aggregator", "--listen", counter.address, "--upstream",
            counter.address, cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(SOON):
            _, log = await child.communicate()
        assert child.returncode == 1
        assert log.decode().startswith("embersill.aggregator: ") and log.count(b"\n") == 1
        await counter.stop()

    run(test)


def test_statistics_are_a_json_object() -> None:
    async def test() -> None:
        counter = await start_counter()
        async with serving(counter.address, window=SOON) as server, caller(server.port) as one:
            await until_lease(server)
            await one.add("a.1", 1.0)
            await one.add("a.1", 2.5)
            statistics = await one.statistics()
            json.dumps(statistics)
            assert (statistics["calls"], statistics["names"], statistics["unforwarded"]) == (2, 1, 2.5)
            assert statistics["forwards"] == 1 and statistics["has_lease"] and statistics["connections"] == 1
        await counter.stop()

    run(test)
