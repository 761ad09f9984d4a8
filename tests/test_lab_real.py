"""The laboratory's real mode: gateway processes among simulated peers on loopback."""

from __future__ import annotations

import asyncio
import pathlib
import shlex
import sys
from typing import Any

import pytest

from embersill.lab import real
from embersill.lab.peers import HOST, read_message
from embersill.lab.scenario import build_scenario
from tests.peers import SOON
from tests.test_lab import play, run_lab, small_scenario
from tests.test_program import RUN


def real_scenario(**more: Any) -> dict[str, Any]:
    scenario = small_scenario(seconds=5, **more)
    scenario["fleet"].update(gateways=2, backends=4)
    return scenario


@pytest.fixture(autouse=True)
def run_this_checkout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("EMBERSILL_RUN", RUN)


def test_real_gateways_serve_the_same_requests_as_simulated_ones(tmp_path: pathlib.Path) -> None:
    scenario = real_scenario()
    report, model_report = real.play(build_scenario(scenario), 1, tmp_path, None), play(scenario)
    assert not report["breaches"], report["first_breaches"]
    assert report["requests"] == model_report["requests"] > 100
    assert sum(report["ends"].values()) == report["requests"]
    assert report["served"] > 0.8 and report["attempts"]["served"] > 50  # from the logs; the share is noisy
    assert report["counter"]["served"] > 0 and report["handshakes"] > 0


def test_real_gateways_break_no_rule_under_faults(tmp_path: pathlib.Path) -> None:
    kinds = [("kill", "gateways", 0.5), ("release", "backends", 0.5), ("reset", "backends", 0.5),
             ("hang", "backends", 0.25), ("counter", "backends", 1.0), ("list", "backends", 1.0)]
    scenario = real_scenario(faults=[
        {"kind": kind, "of": of, "part": part, "at": 1.0 + 0.3 * n, "lasts": 1.0}
        for n, (kind, of, part) in enumerate(kinds)])
    report = real.play(build_scenario(scenario), 1, tmp_path, None)
    assert not report["breaches"], report["first_breaches"]
    assert sum(report["ends"].values()) == report["requests"] > 100
    assert len(list(tmp_path.glob("*.log"))) == 3  # two gateways, one of them restarted


def test_a_connection_that_is_reset_while_an_answer_is_on_its_way_is_no_error(tmp_path: pathlib.Path) -> None:
    scenario = real_scenario(faults=[
        {"kind": "reset", "of": "backends", "part": 1.0, "at": 0.5 * n, "lasts": 0.1} for n in range(1, 8)])
    scenario["net"] = {"same": 0.05, "cross": 0.05}  # seconds, in which answers are on their way
    for request_class in scenario["classes"]:
        request_class["deadline"] = 3.0
    report = real.play(build_scenario(scenario), 1, tmp_path, None)
    assert sum(report["ends"].values()) == report["requests"] > 100


def reported_rules(report: dict[str, Any]) -> set[str]:
    return {breach["rule"] for breach in report["first_breaches"]}


FAULTY_GATEWAY = """
import asyncio, json, os
configuration = json.load(open(os.environ["RELAY_CONFIG"]))
backends = [entry["hostPort"].split(":") for entry in configuration["known"]["instances"]]

async def pass_on(text, place):
    reader, writer = await asyncio.open_connection(*backends[place])
    writer.write(text)
    return await reader.readuntil(b"\\r\\n\\r\\n") + await reader.read(1000), writer

async def serve(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\\r\\n\\r\\n")
            if b"Content-Length" in head:
                head += await reader.readexactly(200)
            if head.startswith(b"GET /ready"):
                writer.write(b"HTTP/1.1 200 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
            else:
                await %s
    except (OSError, asyncio.IncompleteReadError):
        writer.close()

async def made_up(head, writer):
    writer.write(b"HTTP/1.1 200 X\\r\\nContent-Length: 7\\r\\n\\r\\nmade up")

async def of_its_own(head, writer):
    await pass_on(b"GET /api HTTP/1.1\\r\\nX-Call-Id: 00000000000000ff\\r\\n\\r\\n", 0)

async def twice(head, writer):
    both = await asyncio.gather(pass_on(head, 0), pass_on(head, 1))
    writer.write(both[0][0])

async def cut_short(head, writer):
    writer.close()

async def main():
    host, port = configuration["listen"].split(":")
    server = await asyncio.start_server(serve, host, int(port))
    await asyncio.Event().wait()

import signal
signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
asyncio.run(main())
"""


@pytest.mark.parametrize(("what", "rule"), [
    ("made_up", "own answers"), ("of_its_own", "own requests"), ("twice", "one at a time"),
    ("cut_short", "one answer"),
])
def test_a_faulty_gateway_is_reported_with_the_rule_that_it_breaks(
    what: str, rule: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    program = tmp_path / "faulty_gateway.py"
    program.write_text(FAULTY_GATEWAY % f"{what}(head, writer)")
    monkeypatch.setenv("EMBERSILL_RUN", f"exec {shlex.quote(sys.executable)} {program}")
    scenario = real_scenario()
    scenario["seconds"] = 1
    for request_class in scenario["classes"]:
        request_class["deadline"] = 2.0
    report = real.play(build_scenario(scenario), 1, tmp_path, None)
    assert reported_rules(report) == {rule} and report["breaches"] > 5, report["first_breaches"]


@pytest.mark.parametrize(("run", "why"), [
    ("echo it hurts >&2; exit 3", "ended with 3; its log: it hurts"),
    ("sleep 1; exit 0", "ended with 0; its log: empty"),
])
def test_a_gateway_that_exits_unexpectedly_makes_the_run_void(
    run: str, why: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("EMBERSILL_RUN", run)
    with pytest.raises(real.Crashed, match=why):
        real.play(build_scenario(real_scenario()), 1, tmp_path, None)


def test_the_command_plays_real_gateways_and_keeps_the_logs(tmp_path: pathlib.Path) -> None:
    arguments = ("--real", "--set", "fleet.gateways=2", "--set", "fleet.backends=3", "--set", "seconds=2")
    done = run_lab("run", "calm", *arguments, "--out", str(tmp_path))
    assert done.returncode == 0 and "served" in done.stdout, done.stderr
    logs = list((tmp_path / "logs").glob("calm-1-*/*.log"))
    assert len(logs) == 2 and "attempt served" in logs[0].read_text()


def test_the_peers_follow_the_protocol(tmp_path: pathlib.Path) -> None:
    # requests that the gateways above don't send: an unknown id, other calls, a watch that times out
    async def ask(address: str, text: bytes, size: int = 0) -> bytes:
        """`size` bytes of the answer, or the body of a message."""
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write(text)
        async with asyncio.timeout(SOON):
            answer = await reader.readexactly(size) if size else (await read_message(reader))[2]
        writer.close()
        return answer

    async def test() -> None:
        world = real.RealWorld(build_scenario(real_scenario()), 1, tmp_path, None)
        server, agent, counter_server = world.servers["b0"], world.agents[0], world.counter_server
        await server.listen()
        await asyncio.gather(*(other.listen() for name, other in world.servers.items() if name != "b0"))
        await agent.start()
        await counter_server.start()
        try:
            unknown = b"GET /api HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n"
            assert (await ask(server.address, unknown, 12)).endswith(b"400")
            assert [breach.rule for breach in world.rules.breaches] == ["own requests"]
            calls = b"*1\r\n$4\r\nPING\r\n*4\r\n$7\r\nCNT.ADD\r\n$1\r\nn\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
            assert await ask(counter_server.address, calls, 17) == b"+PONG\r\n$4\r\n-2.5\r\n"
            watch = b"GET /v1/endpoints?since=2&timeout_ms=50 HTTP/1.1\r\n\r\n"
            assert b'"instances": []' in await ask(agent.address, watch)
            server.end_process()
            with pytest.raises(OSError):
                await ask(f"{HOST}:{server.port}", unknown)
            await server.listen()
            assert await ask(f"{HOST}:{server.port}", unknown, 1)
        finally:
            await world.stop()

    asyncio.run(test())
