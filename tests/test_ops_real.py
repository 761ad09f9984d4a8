"""The ops command with real processes: a list service, gateways from `run`, and backends in the test."""

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
from tests.lists import ListClient, process, run
from tests.peers import SOON, BackendPeer
from tests.test_directory_gateways import GatewayProcess, Load, gateways
from tests.test_program import ROOT, until_ready

BACKENDS = 4


class RunningFleet:
    """A small fleet, its fleet file, and the ops command run on it."""

    def __init__(
        self,
        work_directory: pathlib.Path,
        list_client: ListClient,
        gateways: list[GatewayProcess],
        backends: list[BackendPeer],
        list_addresses: list[str],
    ) -> None:
        self.work_directory, self.list_client, self.gateways, self.backends = (
            work_directory,
            list_client,
            gateways,
            backends,
        )
        self.path = work_directory / "fleet.toml"
        self.write_fleet_file(list_addresses, 1000.0)

    def write_fleet_file(
        self, list_addresses: list[str], rate: float, consoles: dict[int, str] | None = None
    ) -> None:
        lines = [f"directory = {json.dumps(list_addresses)}", "[guards]", f"backend_rate = {rate}"]
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

    async def start_command(self, *arguments: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "embersill.ops",
            "--fleet",
            str(self.path),
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        if arguments[0] != "status":
            arguments = (*arguments, "--state", str(self.work_directory / "state"))
        child = await self.start_command(*arguments)
        out, err = await child.communicate()
        assert b"Traceback" not in err, err
        assert child.returncode is not None
        return child.returncode, out.decode(), err.decode()

    async def lifecycle(self, id: str) -> str:
        status, shown, _ = await self.list_client.call("GET", f"/v1/instances/{id}")
        return str(shown["lifecycle"]) if status == 200 else "-"


@asynccontextmanager
async def running_fleet(directory: pathlib.Path, lame_duck: float = 0.3) -> AsyncIterator[RunningFleet]:
    backends = [BackendPeer() for _ in range(BACKENDS)]
    async with (
        process(directory / "list") as (service, list_client),
        gateways(directory, [service.address], backends, lame_duck_s=lame_duck) as gateway_processes,
    ):
        for number, backend in enumerate(backends):
            await list_client.register(
                f"b{number}", backend.address, startedAtMs=0, zone="z", leaseMs=600_000
            )
        for gateway in gateway_processes:
            await until_ready(gateway.bed)
            await gateway.wait_for_figure("hosts_listed", BACKENDS)
        yield RunningFleet(directory, list_client, gateway_processes, backends, [service.address])


def test_a_backend_is_drained_under_load_and_undrained(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            load = Load(fleet.gateways)
            await load.wait_for_answers(50)
            code, _, err = await fleet.run_command("drain", "backend", "b0", "--wait", "--timeout", "20")
            assert code == 0 and "empty" in err, err
            seen = len(fleet.backends[0].seen)
            await load.wait_for_answers(200)
            assert len(fleet.backends[0].seen) == seen and not fleet.backends[0].writers  # closed idle ones
            code, out, _ = await fleet.run_command("drain", "backend", "b0", "--wait", "--json")
            assert code == 0 and json.loads(out)["result"] == "done"  # already drained
            assert (await fleet.run_command("undrain", "backend", "b0"))[0] == 0
            await fleet.backends[0].until(lambda: len(fleet.backends[0].seen) > seen)
            await load.stop()
            check_all_served_once(fleet, load)

    run(test)


def check_all_served_once(fleet: RunningFleet, load: Load) -> None:
    """Asserts that every request was answered with 200 and served once; fails on a lost request."""
    assert [status for _, status in load.answers] == [200] * len(load.asked)
    served = [a[1]["x-call-id"] for b in fleet.backends for a in b.seen]
    assert sorted(served) == sorted(f"{n:016x}" for n in load.asked)


def test_a_drain_waits_for_long_requests_and_goes_on_after_a_timeout(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            may_finish = asyncio.Event()

            async def drip(writer: asyncio.StreamWriter, got: HttpMessage) -> None:
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000)
                remaining = 200_000
                while not may_finish.is_set():  # far beyond the timeout of an unanswered attempt
                    writer.write(b"x" * 10)
                    remaining -= 10
                    await asyncio.sleep(0.05)
                writer.write(b"x" * remaining)

            for backend in fleet.backends:
                backend.script = [drip]
            client = await fleet.gateways[1].bed.client()
            client.send(request(1))
            answer = asyncio.create_task(read_message(client.reader))
            async with asyncio.timeout(SOON):
                while not any(b.seen for b in fleet.backends):
                    await asyncio.sleep(0.01)
            id = next(f"b{n}" for n, b in enumerate(fleet.backends) if b.seen)
            code, _, err = await fleet.run_command("drain", "backend", id, "--wait", "--timeout", "1.5")
            assert code == 4 and f"{id} at n1: 1 out" in err, err
            assert await fleet.lifecycle(id) == "DRAINING"
            child = await fleet.start_command(
                "drain", "backend", id, "--wait", "--state", str(fleet.work_directory / "state")
            )
            assert child.stderr is not None
            while b"1 out" not in await child.stderr.readline():
                pass
            child.kill()  # ends the command; the drain goes on
            await child.communicate()
            may_finish.set()
            first, _, body = await answer
            assert " 200 " in first and len(body) == 300_000
            assert (await fleet.run_command("drain", "backend", id, "--wait"))[0] == 0

    run(test)


def test_a_gateway_is_drained_under_load_and_exits_with_0(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            load = Load(fleet.gateways[1:])
            leaving = fleet.gateways[0]
            client = await leaving.bed.client()
            assert (await client.ask(request(1)))[0] == 200
            drain = asyncio.create_task(
                fleet.run_command("drain", "gateway", "n0", "--wait", "--timeout", "20")
            )
            status, number = 200, 1
            while status == 200:  # until it is a lame duck
                status = (await client.ask(READY))[0]
            headers: dict[str, str] = {}
            while "connection" not in headers:  # it serves until an answer closes the connection
                number += 1
                status, headers, _ = await client.ask(request(number))
                assert status == 200
            assert await client.closed()
            code, _, err = await drain
            assert code == 0 and "n0 ends, with nothing open" in err, err
            async with asyncio.timeout(SOON):
                assert await leaving.child.wait() == 0
            code, _, err = await fleet.run_command("drain", "gateway", "n0", "--wait")
            assert code == 0 and "has ended already" in err
            # n0 was drained, so its answer is no longer needed.
            assert (await fleet.run_command("drain", "backend", "b1", "--wait"))[0] == 0
            await load.stop()
            assert {status for _, status in load.answers} == {200}
            code, out, _ = await fleet.run_command("status", "--json")
            assert code == 0 and "unreachable" in json.loads(out)["gateways"]["n0"]

    run(test)


def test_a_lame_duck_upgraded_during_its_drain_is_followed_to_its_successor(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, lame_duck=3.0) as fleet:
            leaving = fleet.gateways[0]
            load = Load(fleet.gateways[1:])
            client = await leaving.bed.client()
            assert (await client.ask(request(1)))[0] == 200
            child = await fleet.start_command(
                "drain", "gateway", "n0", "--wait", "--state", str(fleet.work_directory / "state")
            )
            assert child.stderr is not None
            while b"lame duck" not in await child.stderr.readline():
                pass
            assert await leaving.upgrade() == 0
            assert (await client.ask(READY))[0] == 503  # handed over, and still a lame duck
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
            await load.stop()
            assert {status for _, status in load.answers} == {200}

    run(test)


def test_a_backend_is_not_empty_before_a_gateways_successor_is_asked(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            gateway = fleet.gateways[0]
            old = await gateway.begin_upgrade()
            gateway.child.send_signal(signal.SIGSTOP)  # the old process still answers that it is empty
            code, _, err = await fleet.run_command(
                "drain", "backend", "b0", "--wait", "--timeout", "3", "--force"
            )
            assert code == 4 and "b0 at n0: can't be asked" in err, err
            gateway.child.send_signal(signal.SIGCONT)
            code, _, err = await fleet.run_command("drain", "backend", "b0", "--wait")
            assert code == 0, err
            old.kill()
            await old.communicate()
            # Only the successor answers.
            assert (await fleet.run_command("drain", "backend", "b0", "--wait"))[0] == 0

    run(test)


def test_a_machine_is_drained_unless_the_guards_refuse_it(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            load = Load(fleet.gateways)
            await load.wait_for_answers(50)
            code, _, err = await fleet.run_command("drain", "machine", "m0", "--dry-run")
            assert code == 0 and await fleet.lifecycle("b0") == "SERVING"
            fleet.write_fleet_file([fleet.list_client.address], 0.001)
            code, _, err = await fleet.run_command("drain", "machine", "m0", "--wait")
            assert code == 3 and "those left bear" in err and await fleet.lifecycle("b0") == "SERVING"
            await load.stop()
            check_all_served_once(fleet, load)
            fleet.write_fleet_file([fleet.list_client.address], 1000.0)
            code, _, err = await fleet.run_command("drain", "machine", "m0", "--wait")
            assert code == 0 and err.index("b0: empty") < err.index("n0 ends"), err
            assert await fleet.gateways[0].child.wait() == 0
            for id in ("b1", "b2"):
                assert (await fleet.run_command("drain", "backend", id))[0] == 0
            code, _, err = await fleet.run_command("drain", "backend", "b3")
            assert code == 3 and "0 backends would serve" in err
            assert (await fleet.run_command("drain", "backend", "b3", "--force", "--reason", "the end"))[
                0
            ] == 0
            _, answer, _ = await fleet.list_client.call("GET", "/v1/drains")
            reasons = {d["instanceId"]: d["drain"]["reason"] for d in answer["drains"]}
            assert reasons["b3"] == "forced: the end"

    run(test)


def test_a_gateway_that_is_killed_during_its_drain_is_reported(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            child = await fleet.start_command(
                "drain", "gateway", "n0", "--wait", "--state", str(fleet.work_directory / "state")
            )
            assert child.stderr is not None
            while b"lame duck" not in await child.stderr.readline():
                pass
            fleet.gateways[0].child.send_signal(signal.SIGKILL)
            _, err = await child.communicate()
            assert child.returncode == 1 and b"ended without its last word" in err

    run(test)


class MalformedConsole(Peer):
    """A console whose answer is not in the documented form."""

    answer = b"hello\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(self.answer)
        writer.write_eof()
        await reader.read()


@pytest.mark.parametrize(
    "answers",
    [b"hello\n", b"", b"done {\n", b"done {}\n", b"done 5\n", b"\xff" * 200_000],
    ids=["words", "nothing", "half", "empty", "number", "endless"],
)
def test_a_malformed_console_answer_changes_nothing(tmp_path: pathlib.Path, answers: bytes) -> None:
    async def test() -> None:
        console = MalformedConsole()
        console.answer = answers
        await console.start()
        async with process(tmp_path / "list") as (service, list_client):
            await list_client.register("b0")
            gateway = GatewayProcess(tmp_path, 0, [service.address], f"{HOST}:1")
            fleet = RunningFleet(tmp_path, list_client, [gateway, gateway], [], [service.address])
            fleet.write_fleet_file(
                [service.address], 1000.0, {0: console.address, 1: f"{HOST}:{free_port()}"}
            )
            code, _, err = await fleet.run_command("drain", "gateway", "n0", "--wait")
            assert code == 5 and len([x for x in err.splitlines() if x.startswith("embersill.ops: ")]) == 1
            _, answer, _ = await list_client.call("GET", "/v1/drains")
            assert not answer["drains"]
        await console.stop()

    run(test)


def test_an_unknown_name_or_an_unreachable_list_changes_nothing(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        gateway = GatewayProcess(tmp_path, 0, [f"{HOST}:1"], f"{HOST}:1")
        nowhere = f"{HOST}:{free_port()}"
        fleet = RunningFleet(tmp_path, None, [gateway, gateway], [], [nowhere])  # type: ignore[arg-type]
        fleet.write_fleet_file([nowhere], 10.0, {1: f"{HOST}:{free_port()}"})
        for arguments, expected_code in (
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
            code, _, err = await fleet.run_command(*arguments)
            assert code == expected_code, err
        fleet.path.write_text("directory = 5")
        code, _, err = await fleet.run_command("status")
        assert code == 2 and len(err.splitlines()) == 1

    run(test)


def test_a_drain_reads_the_list_from_a_follower_and_writes_to_the_leader(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with (
            running_fleet(tmp_path) as fleet,
            process(tmp_path / "copy", "--follow", fleet.list_client.address) as (follower, copy),
        ):
            fleet.write_fleet_file([follower.address, fleet.list_client.address], 1000.0)
            _, answer, _ = await fleet.list_client.call("GET", "/v1/status")
            await copy.wait_for_status(lambda s: s["generation"] == answer["generation"])
            code, _, err = await fleet.run_command("drain", "backend", "b0", "--wait")
            assert code == 0, err
            assert await fleet.lifecycle("b0") == "DRAINING"

    run(test)


def test_a_gateway_that_is_cut_off_is_reported_until_it_answers(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            cut = fleet.gateways[2]
            cut.child.send_signal(signal.SIGSTOP)
            code, _, err = await fleet.run_command("drain", "backend", "b0", "--wait", "--timeout", "3")
            assert (
                code == 4 and "b0 at n2: can't be asked" in err and "b0 at n1" not in err.splitlines()[-1]
            ), err
            cut.child.send_signal(signal.SIGCONT)
            assert (await fleet.run_command("drain", "backend", "b0", "--wait"))[0] == 0

    run(test)


def test_a_gateway_restarted_during_the_drain_of_a_backend_is_asked_again(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            child = await fleet.start_command(
                "drain", "backend", "b0", "--wait", "--state", str(fleet.work_directory / "state")
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


def test_a_backend_that_registers_as_another_process_stays_drained(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            assert (await fleet.run_command("drain", "backend", "b0", "--wait"))[0] == 0
            await fleet.list_client.register("b0", fleet.backends[0].address, process="another", zone="z")
            assert await fleet.lifecycle("b0") == "DRAINING"
            _, shown, _ = await fleet.list_client.call("GET", "/v1/instances/b0")
            await fleet.list_client.call("DELETE", "/v1/instances/b0", match=shown["version"])
            # The backend is no longer registered, but still marked: the gateways are asked about it.
            code, _, err = await fleet.run_command("drain", "backend", "b0", "--wait")
            assert code == 0, err
            assert (await fleet.run_command("undrain", "backend", "b0"))[0] == 0

    run(test)
