"""The operators' command on real processes: a list service, gateways from `run`, backends as test peers."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from embersill.lab.peers import HOST, HttpMessage, Peer, free_port, read_message
from tests.bed import READY, request
from tests.lists import Caller, process, run
from tests.peers import SOON, BackendPeer
from tests.test_directory_gateways import GatewayProcess, Load, gateways
from tests.test_program import ROOT, until_ready

BACKENDS = 4


class Site:
    """A whole small fleet, its file, and the command."""

    def __init__(
        self,
        folder: pathlib.Path,
        calls: Caller,
        made: list[GatewayProcess],
        backends: list[BackendPeer],
        directory: list[str],
    ) -> None:
        self.folder, self.calls, self.gateways, self.backends = folder, calls, made, backends
        self.path = folder / "fleet.toml"
        self.write(directory, 1000.0)

    def write(self, directory: list[str], rate: float, consoles: dict[int, str] | None = None) -> None:
        lines = [f"directory = {json.dumps(directory)}", "[guards]", f"backend_rate = {rate}"]
        for number, gateway in enumerate(self.gateways):
            console = (consoles or {}).get(number, f"{HOST}:{gateway.console}")
            lines += [
                "[[gateway]]",
                f'name = "n{number}"',
                f'machine = "m{number}"',
                f'console = "{console}"',
            ]
        for number in range(BACKENDS):
            lines += ["[[backend]]", f'name = "b{number}"', f'machine = "m{number}"']
        self.path.write_text("\n".join(lines))

    async def start(self, *words: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "embersill.ops",
            "--fleet",
            str(self.path),
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def ops(self, *words: str) -> tuple[int, str, str]:
        if words[0] != "status":
            words = (*words, "--state", str(self.folder / "state"))
        child = await self.start(*words)
        out, err = await child.communicate()
        assert b"Traceback" not in err, err
        assert child.returncode is not None
        return child.returncode, out.decode(), err.decode()

    async def lifecycle(self, id: str) -> str:
        status, shown, _ = await self.calls.call("GET", f"/v1/instances/{id}")
        return str(shown["lifecycle"]) if status == 200 else "-"


@asynccontextmanager
async def site(folder: pathlib.Path, lame_duck: float = 0.3) -> AsyncIterator[Site]:
    backends = [BackendPeer() for _ in range(BACKENDS)]
    async with (
        process(folder / "list") as (service, calls),
        gateways(folder, [service.address], backends, lame_duck_s=lame_duck) as made,
    ):
        for number, backend in enumerate(backends):
            await calls.register(f"b{number}", backend.address, startedAtMs=0, zone="z", leaseMs=600_000)
        for gateway in made:
            await until_ready(gateway.bed)
            await gateway.until("hosts_listed", BACKENDS)
        yield Site(folder, calls, made, backends, [service.address])


def test_a_backend_is_drained_under_load_and_put_back(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            load = Load(fleet.gateways)
            await load.more(50)
            code, _, err = await fleet.ops("drain", "backend", "b0", "--wait", "--timeout", "20")
            assert code == 0 and "empty" in err, err
            seen = len(fleet.backends[0].seen)
            await load.more(200)
            assert len(fleet.backends[0].seen) == seen and not fleet.backends[0].writers  # idle ones are closed
            code, out, _ = await fleet.ops("drain", "backend", "b0", "--wait", "--json")
            assert code == 0 and json.loads(out)["result"] == "done"  # said again, it is done
            assert (await fleet.ops("undrain", "backend", "b0"))[0] == 0
            await fleet.backends[0].until(lambda: len(fleet.backends[0].seen) > seen)
            await load.end()
            check(fleet, load)

    run(test)


def check(fleet: Site, load: Load) -> None:
    """All served, each once: a lost request shows as an answer that is not 200, or as its client's end."""
    assert [status for _, status in load.answers] == [200] * len(load.asked)
    served = [a[1]["x-call-id"] for b in fleet.backends for a in b.seen]
    assert sorted(served) == sorted(f"{n:016x}" for n in load.asked)


def test_a_drain_waits_for_long_work_and_a_timeout_leaves_it_as_it_is(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            free = asyncio.Event()

            async def drips(writer: asyncio.StreamWriter, got: HttpMessage) -> None:
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000)
                left = 200_000
                while not free.is_set():  # far longer than an attempt that is not yet answered may take
                    writer.write(b"x" * 10)
                    left -= 10
                    await asyncio.sleep(0.05)
                writer.write(b"x" * left)

            for backend in fleet.backends:
                backend.script = [drips]
            client = await fleet.gateways[1].bed.client()
            client.send(request(1))
            answer = asyncio.create_task(read_message(client.reader))
            async with asyncio.timeout(SOON):
                while not any(b.seen for b in fleet.backends):
                    await asyncio.sleep(0.01)
            id = next(f"b{n}" for n, b in enumerate(fleet.backends) if b.seen)
            code, _, err = await fleet.ops("drain", "backend", id, "--wait", "--timeout", "1.5")
            assert code == 4 and f"{id} at n1: 1 out" in err, err
            assert await fleet.lifecycle(id) == "DRAINING"
            child = await fleet.start(
                "drain", "backend", id, "--wait", "--state", str(fleet.folder / "state")
            )
            assert child.stderr is not None
            while b"1 out" not in await child.stderr.readline():
                pass
            child.kill()  # the command, not the drain
            await child.communicate()
            free.set()
            first, _, body = await answer
            assert " 200 " in first and len(body) == 300_000
            assert (await fleet.ops("drain", "backend", id, "--wait"))[0] == 0

    run(test)


def test_a_gateway_is_drained_under_load_and_ends_with_0(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            load = Load(fleet.gateways[1:])
            leaving = fleet.gateways[0]
            client = await leaving.bed.client()
            assert (await client.ask(request(1)))[0] == 200
            drain = asyncio.create_task(fleet.ops("drain", "gateway", "n0", "--wait", "--timeout", "20"))
            status, number = 200, 1
            while status == 200:  # until it is a lame duck
                status = (await client.ask(READY))[0]
            headers: dict[str, str] = {}
            while "connection" not in headers:  # it serves on, to the answer that says that it is the last
                number += 1
                status, headers, _ = await client.ask(request(number))
                assert status == 200
            assert await client.closed()
            code, _, err = await drain
            assert code == 0 and "n0 ends, with nothing open" in err, err
            async with asyncio.timeout(SOON):
                assert await leaving.child.wait() == 0
            code, _, err = await fleet.ops("drain", "gateway", "n0", "--wait")
            assert code == 0 and "has ended already" in err
            assert (await fleet.ops("drain", "backend", "b1", "--wait"))[
                0
            ] == 0  # n0 need not be asked any more
            await load.end()
            assert {status for _, status in load.answers} == {200}
            code, out, _ = await fleet.ops("status", "--json")
            assert code == 0 and "unreachable" in json.loads(out)["gateways"]["n0"]

    run(test)


def test_an_upgrade_of_a_lame_duck_neither_loses_it_nor_has_it_called_ended(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path, lame_duck=3.0) as fleet:
            leaving = fleet.gateways[0]
            load = Load(fleet.gateways[1:])
            client = await leaving.bed.client()
            assert (await client.ask(request(1)))[0] == 200
            child = await fleet.start(
                "drain", "gateway", "n0", "--wait", "--state", str(fleet.folder / "state")
            )
            assert child.stderr is not None
            while b"lame duck" not in await child.stderr.readline():
                pass
            assert await leaving.upgrade() == 0
            assert (await client.ask(READY))[0] == 503  # moved to the successor, and still a lame duck
            number, headers = 1, dict[str, str]()
            while "connection" not in headers:
                number += 1
                status, headers, _ = await client.ask(request(number))
                assert status == 200
            _, err = await child.communicate()
            assert child.returncode == 0, err
            assert f"handed over to a successor, with its console at {HOST}:{leaving.console}".encode() in err
            assert b"n0 ends, with nothing open" in err
            async with asyncio.timeout(SOON):
                assert await leaving.child.wait() == 0
            await load.end()
            assert {status for _, status in load.answers} == {200}

    run(test)


def test_a_backend_is_not_called_empty_on_the_word_of_a_handed_over_gateway(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            gateway = fleet.gateways[0]
            old = await gateway.begin_upgrade()
            gateway.child.send_signal(signal.SIGSTOP)  # the old process still tells that it has nothing out
            code, _, err = await fleet.ops("drain", "backend", "b0", "--wait", "--timeout", "3", "--force")
            assert code == 4 and "b0 at n0: can't be asked" in err, err
            gateway.child.send_signal(signal.SIGCONT)
            code, _, err = await fleet.ops("drain", "backend", "b0", "--wait")
            assert code == 0, err
            old.kill()
            await old.communicate()
            assert (await fleet.ops("drain", "backend", "b0", "--wait"))[0] == 0  # by the successor's word

    run(test)


def test_a_machine_goes_and_what_the_guards_refuse_stays(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            load = Load(fleet.gateways)
            await load.more(50)
            code, _, err = await fleet.ops("drain", "machine", "m0", "--dry-run")
            assert code == 0 and await fleet.lifecycle("b0") == "SERVING"
            fleet.write([fleet.calls.address], 0.001)
            code, _, err = await fleet.ops("drain", "machine", "m0", "--wait")
            assert code == 3 and "those left bear" in err and await fleet.lifecycle("b0") == "SERVING"
            await load.end()
            check(fleet, load)
            fleet.write([fleet.calls.address], 1000.0)
            code, _, err = await fleet.ops("drain", "machine", "m0", "--wait")
            assert code == 0 and err.index("b0: empty") < err.index("n0 ends"), err
            assert await fleet.gateways[0].child.wait() == 0
            for id in ("b1", "b2"):
                assert (await fleet.ops("drain", "backend", id))[0] == 0
            code, _, err = await fleet.ops("drain", "backend", "b3")
            assert code == 3 and "0 backends would serve" in err
            assert (await fleet.ops("drain", "backend", "b3", "--force", "--reason", "the end"))[0] == 0
            _, told, _ = await fleet.calls.call("GET", "/v1/drains")
            reasons = {d["instanceId"]: d["drain"]["reason"] for d in told["drains"]}
            assert reasons["b3"] == "forced: the end"

    run(test)


def test_a_gateway_that_is_killed_half_way_is_told(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            child = await fleet.start(
                "drain", "gateway", "n0", "--wait", "--state", str(fleet.folder / "state")
            )
            assert child.stderr is not None
            while b"lame duck" not in await child.stderr.readline():
                pass
            fleet.gateways[0].child.send_signal(signal.SIGKILL)
            _, err = await child.communicate()
            assert child.returncode == 1 and b"ended without its last word" in err

    run(test)


class Babbler(Peer):
    """A console that answers with something else."""

    answers = b"hello\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(self.answers)
        writer.write_eof()
        await reader.read()


@pytest.mark.parametrize(
    "answers",
    [b"hello\n", b"", b"done {\n", b"done {}\n", b"done 5\n", b"\xff" * 200_000],
    ids=["words", "nothing", "half", "empty", "number", "endless"],
)
def test_a_console_that_answers_garbage_changes_nothing(tmp_path: pathlib.Path, answers: bytes) -> None:
    async def test() -> None:
        babbler = Babbler()
        babbler.answers = answers
        await babbler.start()
        async with process(tmp_path / "list") as (service, calls):
            await calls.register("b0")
            gateway = GatewayProcess(tmp_path, 0, [service.address], f"{HOST}:1")
            fleet = Site(tmp_path, calls, [gateway, gateway], [], [service.address])
            fleet.write([service.address], 1000.0, {0: babbler.address, 1: f"{HOST}:{free_port()}"})
            code, _, err = await fleet.ops("drain", "gateway", "n0", "--wait")
            assert code == 5 and len([x for x in err.splitlines() if x.startswith("embersill.ops: ")]) == 1
            _, told, _ = await calls.call("GET", "/v1/drains")
            assert not told["drains"]
        await babbler.stop()

    run(test)


def test_an_unknown_name_and_a_list_that_is_away_change_nothing(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        gateway = GatewayProcess(tmp_path, 0, [f"{HOST}:1"], f"{HOST}:1")
        nowhere = f"{HOST}:{free_port()}"
        fleet = Site(tmp_path, None, [gateway, gateway], [], [nowhere])  # type: ignore[arg-type]
        fleet.write([nowhere], 10.0, {1: f"{HOST}:{free_port()}"})
        for words, code in (
            (("drain", "gateway", "n7"), 2),
            (("drain", "machine", "m7"), 2),
            (("drain", "backend", "b0"), 5),
            (("undrain", "backend", "b0"), 5),
            (("status",), 5),
            (("drain", "rack", "r0"), 2),
            (("drain", "backend", "b0", "--by", "a\nb"), 2),
            (("drain", "backend", "b0", "--reason", "x" * 200), 2),
            (("drain", "backend", "b0", "--timeout", "-1"), 2),
        ):
            found, _, err = await fleet.ops(*words)
            assert found == code, err
        fleet.path.write_text("directory = 5")
        found, _, err = await fleet.ops("status")
        assert found == 2 and len(err.splitlines()) == 1

    run(test)


def test_a_drain_goes_on_while_the_list_is_away_and_its_follower_is_read(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with (
            site(tmp_path) as fleet,
            process(tmp_path / "copy", "--follow", fleet.calls.address) as (follower, copy),
        ):
            fleet.write([follower.address, fleet.calls.address], 1000.0)
            _, told, _ = await fleet.calls.call("GET", "/v1/status")
            await copy.until(lambda s: s["generation"] == told["generation"])
            code, _, err = await fleet.ops(
                "drain", "backend", "b0", "--wait"
            )  # read there, written at the leader
            assert code == 0, err
            assert await fleet.lifecycle("b0") == "DRAINING"

    run(test)


def test_a_gateway_that_is_cut_off_is_named_until_it_is_back(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            cut = fleet.gateways[2]
            cut.child.send_signal(signal.SIGSTOP)
            code, _, err = await fleet.ops("drain", "backend", "b0", "--wait", "--timeout", "3")
            assert (
                code == 4 and "b0 at n2: can't be asked" in err and "b0 at n1" not in err.splitlines()[-1]
            ), err
            cut.child.send_signal(signal.SIGCONT)
            assert (await fleet.ops("drain", "backend", "b0", "--wait"))[0] == 0

    run(test)


def test_a_gateway_started_again_during_the_drain_is_asked_anew(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            child = await fleet.start(
                "drain", "backend", "b0", "--wait", "--state", str(fleet.folder / "state")
            )
            assert child.stderr is not None
            while b"is marked" not in await child.stderr.readline():
                pass
            fleet.gateways[2].child.kill()
            await fleet.gateways[2].child.wait()
            await fleet.gateways[2].start()
            _, err = await child.communicate()
            assert child.returncode == 0, err
            await until_ready(fleet.gateways[2].bed)
            client = await fleet.gateways[2].bed.client()
            for number in range(20):
                assert (await client.ask(request(number)))[0] == 200
            assert not fleet.backends[0].seen

    run(test)


def test_a_backend_that_comes_back_as_another_process_stays_drained(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            assert (await fleet.ops("drain", "backend", "b0", "--wait"))[0] == 0
            await fleet.calls.register("b0", fleet.backends[0].address, process="another", zone="z")
            assert await fleet.lifecycle("b0") == "DRAINING"
            _, shown, _ = await fleet.calls.call("GET", "/v1/instances/b0")
            await fleet.calls.call("DELETE", "/v1/instances/b0", match=shown["version"])
            code, _, err = await fleet.ops(
                "drain", "backend", "b0", "--wait"
            )  # gone half-way: still asked about
            assert code == 0, err
            assert (await fleet.ops("undrain", "backend", "b0"))[0] == 0

    run(test)
