"""The laboratory's real mode: processes of the gateway among the model's parts on loopback."""

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
from tests.test_lab import lab, played, small
from tests.test_program import RUN


def real_scenario(**more: Any) -> dict[str, Any]:
    told = small(seconds=5, **more)
    told["fleet"].update(gateways=2, backends=4)
    return told


@pytest.fixture(autouse=True)
def run_here(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("EMBERSILL_RUN", RUN)


def test_real_gateways_serve_the_same_clients_as_the_models(tmp_path: pathlib.Path) -> None:
    told = real_scenario()
    found, modelled = real.play(build_scenario(told), 1, tmp_path, None), played(told)
    assert not found["breaches"], found["first_breaches"]
    assert found["requests"] == modelled["requests"] > 100
    assert sum(found["ends"].values()) == found["requests"]
    assert found["served"] > 0.8 and found["attempts"]["served"] > 50  # the log's count; the share is noisy
    assert found["counter"]["served"] > 0 and found["handshakes"] > 0


def test_real_gateways_bear_what_goes_wrong_without_a_breach(tmp_path: pathlib.Path) -> None:
    kinds = [("kill", "gateways", 0.5), ("release", "backends", 0.5), ("reset", "backends", 0.5),
             ("hang", "backends", 0.25), ("counter", "backends", 1.0), ("list", "backends", 1.0)]
    told = real_scenario(faults=[
        {"kind": kind, "of": of, "part": part, "at": 1.0 + 0.3 * n, "lasts": 1.0}
        for n, (kind, of, part) in enumerate(kinds)])
    found = real.play(build_scenario(told), 1, tmp_path, None)
    assert not found["breaches"], found["first_breaches"]
    assert sum(found["ends"].values()) == found["requests"] > 100
    assert len(list(tmp_path.glob("*.log"))) == 3  # two gateways, one of them started again


def told_of(found: dict[str, Any]) -> set[str]:
    return {breach["rule"] for breach in found["first_breaches"]}


ROGUE = """
import asyncio, json, os
told = json.load(open(os.environ["RELAY_CONFIG"]))
backends = [entry["hostPort"].split(":") for entry in told["known"]["instances"]]

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
    host, port = told["listen"].split(":")
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
def test_a_rogue_gateway_trips_the_rule_that_it_breaks(
    what: str, rule: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    program = tmp_path / "rogue.py"
    program.write_text(ROGUE % f"{what}(head, writer)")
    monkeypatch.setenv("EMBERSILL_RUN", f"exec {shlex.quote(sys.executable)} {program}")
    told = real_scenario()
    told["seconds"] = 1
    for klass in told["classes"]:
        klass["deadline"] = 2.0
    found = real.play(build_scenario(told), 1, tmp_path, None)
    assert told_of(found) == {rule} and found["breaches"] > 5, found["first_breaches"]


@pytest.mark.parametrize(("run", "why"), [
    ("echo it hurts >&2; exit 3", "ended with 3; its log: it hurts"),
    ("sleep 1; exit 0", "ended with 0; its log: empty"),
])
def test_a_gateway_that_ends_by_itself_makes_the_run_void(
    run: str, why: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("EMBERSILL_RUN", run)
    with pytest.raises(real.Crashed, match=why):
        real.play(build_scenario(real_scenario()), 1, tmp_path, None)


def test_the_command_plays_for_real_and_keeps_the_logs(tmp_path: pathlib.Path) -> None:
    words = ("--real", "--set", "fleet.gateways=2", "--set", "fleet.backends=3", "--set", "seconds=2")
    done = lab("run", "calm", *words, "--out", str(tmp_path))
    assert done.returncode == 0 and "served" in done.stdout, done.stderr
    logs = list((tmp_path / "logs").glob("calm-1-*/*.log"))
    assert len(logs) == 2 and "attempt served" in logs[0].read_text()


def test_the_peers_speak_as_the_protocol_says(tmp_path: pathlib.Path) -> None:
    # what no gateway here does: an id of nobody, calls of other kinds, a watch that times out
    async def ask(address: str, text: bytes, many: int = 0) -> bytes:
        """So many bytes of the answer, or the body of a message."""
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write(text)
        async with asyncio.timeout(SOON):
            answer = await reader.readexactly(many) if many else (await read_message(reader))[2]
        writer.close()
        return answer

    async def test() -> None:
        world = real.RealWorld(build_scenario(real_scenario()), 1, tmp_path, None)
        server, agent, counting = world.servers["b0"], world.agents[0], world.counting
        await server.begin()
        await asyncio.gather(*(other.begin() for name, other in world.servers.items() if name != "b0"))
        await agent.start()
        await counting.start()
        try:
            unknown = b"GET /api HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n"
            assert (await ask(server.address, unknown, 12)).endswith(b"400")
            assert [breach.rule for breach in world.rules.breaches] == ["own requests"]
            calls = b"*1\r\n$4\r\nPING\r\n*4\r\n$7\r\nCNT.ADD\r\n$1\r\nn\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
            assert await ask(counting.address, calls, 17) == b"+PONG\r\n$4\r\n-2.5\r\n"
            watch = b"GET /v1/endpoints?since=2&timeout_ms=50 HTTP/1.1\r\n\r\n"
            assert b'"instances": []' in await ask(agent.address, watch)
            server.end_process()
            with pytest.raises(OSError):
                await ask(f"{HOST}:{server.port}", unknown)
            await server.begin()
            assert await ask(f"{HOST}:{server.port}", unknown, 1)
        finally:
            await world.stop()

    asyncio.run(test())
