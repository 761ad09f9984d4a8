"""The trace: the events of a request by its id, the reason for every end, and the limit on its lines."""

from __future__ import annotations

import asyncio
import logging
import re

import pytest

from embersill.lab.peers import response_bytes
from embersill.net.trace import BURST_LINES, LoopLag, Trace, make_trace
from tests.bed import Bed, request, with_bed


def events(caplog: pytest.LogCaptureFixture) -> list[dict[str, str]]:
    lines = [r.getMessage() for r in caplog.records if r.name == "embersill.trace"]
    pairs = [re.findall(r'(\w+)=("[^"]*"|\S+)', line) for line in lines]
    return [{name: value.strip('"') for name, value in line} for line in pairs]


def test_all_events_of_a_request_carry_its_id(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "embersill.trace")

    async def test(bed: Bed) -> None:
        driver = bed.program.driver
        driver.use_trace(Trace(driver.clock))
        bed.backends[0].script = [
            lambda writer, asked: writer.write(response_bytes(503, b"", "X-Rejected: 1"))] * 2
        client = await bed.client()
        assert (await client.ask(request(7)))[0] == 200
        client.reset()
        while bed.program.front.connections:
            await asyncio.sleep(0.001)

    with_bed(test, backends=2)
    traced = events(caplog)
    mine = [e for e in traced if e.get("request") == f"{7:016x}"]
    assert mine[0]["event"] == "request_taken"
    assert sum(e["event"] == "attempt_ended" for e in mine) == sum(e["event"] == "attempt_sent" for e in mine)
    sent = [e for e in mine if e["event"] == "attempt_sent"]
    assert sent[0]["reason"] == "first" and all(e["reason"] == "turned away" for e in sent[1:])
    ended = [e for e in mine if e["event"] == "request_ended"]
    assert len(ended) == 1 and ended[0]["status"] == "200" and ended[0]["attempts"] == str(len(sent))
    closed = [e for e in traced if e["event"] == "client_connection_closed"]
    assert [e["reason"] for e in closed] == ["the client has gone"]


def test_the_reason_for_a_refusal_is_traced(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "embersill.trace")

    async def test(bed: Bed) -> None:
        driver = bed.program.driver
        driver.use_trace(Trace(driver.clock))
        await bed.discovery.change(bed.discovery.entry("b0", bed.backends[0].address, "DRAINING"))
        while driver.serving:
            await asyncio.sleep(0.001)
        assert (await (await bed.client()).ask(request(8)))[0] == 429

    with_bed(test)
    traced = events(caplog)
    assert any(e["event"] == "backend_told" and e["state"] == "draining" for e in traced)
    assert [e["reason"] for e in traced if e["event"] == "request_ended"] == ["no backend"]


def test_lines_beyond_the_rate_are_dropped_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "embersill.trace")
    now = [100.0]
    trace = Trace(lambda: now[0])
    for _ in range(int(BURST_LINES) + 50):
        trace.note("something")
    now[0] += 1.0
    trace.note("later")
    traced = events(caplog)
    assert len(traced) == BURST_LINES + 1 and traced[-1]["left_out"] == "50"


def test_the_trace_is_off_unless_the_environment_asks_for_it() -> None:
    assert make_trace({}, lambda: 0.0) is None and make_trace({"EMBERSILL_TRACE": "0"}, lambda: 0.0) is None
    assert make_trace({"EMBERSILL_TRACE": "1"}, lambda: 0.0) is not None


def test_loop_lag_is_counted_in_the_highest_bucket_that_it_reaches() -> None:
    lag = LoopLag()
    for seconds in (-0.001, 0.004, 0.02, 0.049, 0.3):
        lag.record(seconds)
    assert lag.counts == {"loop late 20 ms": 2, "loop late 200 ms": 1}
