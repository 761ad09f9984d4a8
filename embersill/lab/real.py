"""The same deployment with real gateway processes, started by the deploy file's `run`, on loopback.

World, machines, counter, customers and rules are those of virtual time, driven by the event loop's clock.
Faults that loopback cannot give without isolation tools, such as an isolated zone, are refused.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import signal
import time
from collections import Counter as Tally
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

import uvloop
from msgspec import structs

from embersill.interface import Backend, BackendList, BackendStatus, CounterCallEnded, Outcome, Request
from embersill.lab.clock import ScheduledCall
from embersill.lab.machine import Job, Machine
from embersill.lab.node import ClientTry, Figures
from embersill.lab.network import GatewayNetwork
from embersill.lab.peers import (
    HOST, READY_REQUEST, HttpMessage, Peer, counter_reply, free_port, read_counter_call, read_message, reset,
    response_bytes,
)
from embersill.lab.rules import TIME_SLACK
from embersill.lab.scenario import MAX_REAL_SECONDS, Fault, Scenario, check_real
from embersill.lab.versions import REPO_ROOT, read_deploy_file
from embersill.lab.world import World, platform_settings
from embersill.net.bodies import is_readable

READY_TIMEOUT, STOP_TIMEOUT = 20.0, 8.0  # seconds
LATENESS_INTERVAL = 0.05  # seconds between measurements of this process's own lateness
GATEWAY_SOCKETS, GATEWAY_MEMORY_MB = 1024, 192  # limits of a gateway, as on the platform
FIGURE_PATTERN = re.compile(r"(attempt|gave up|pool) ([a-z ]+) (\d+)")  # of a gateway's log
MALFORMED_INPUT_TIMEOUT = 3.0  # seconds within which malformed input must get an error or a closed connection
MALFORMED_INPUTS = {
    "silence": b"", "half a head": b"GET /api HTTP/1.1\r\nHost: x\r\n",
    "no HTTP": b"\x16\x03\x01\x02\x00" * 50,
    "no id": b"GET /api?client=00000000b4d65521 HTTP/1.1\r\nHost: x\r\n\r\n",
    "two lengths": b"POST /api HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "a head without end": b"GET /api HTTP/1.1\r\n" + b"X-Filler: " + b"x" * 100_000,
}
LIFECYCLES = {
    BackendStatus.SERVING: "SERVING", BackendStatus.DRAINING: "DRAINING", BackendStatus.REMOVED: "DELETED"}


class Crashed(Exception):
    """A gateway's process exited unexpectedly or did not become ready."""


class LoopClock:
    """A `Scheduler` over the running event loop; `now` is Unix time in seconds."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.offset = time.time() - self.loop.time()

    @property
    def now(self) -> float:
        return self.loop.time() + self.offset

    def later(self, delay: float, callback: Callable[[], None]) -> ScheduledCall:
        call = ScheduledCall(callback)
        self.loop.call_later(delay, call.run)
        return call


# peers


@dataclass(slots=True, eq=False)
class BackendAttempt:
    """An attempt that a backend received, until its answer or the end of its connection."""

    writer: asyncio.StreamWriter
    request: GatewayRequest
    index: int
    ended: bool = False

    def end(self, outcome: Outcome) -> None:
        if not self.ended:
            self.ended = True
            self.request.gateway.world.rules.on_attempt_ended(
                self.request.gateway.name, self.request.number, self.index, outcome)

    def check_closed(self) -> None:
        """Ends the attempt if the gateway has closed its connection, which the loop may not have read yet."""
        if not self.ended and is_readable(self.writer.get_extra_info("socket")):
            self.end(Outcome.TIMED_OUT)


class GatewayRequest:
    """A client's try at a gateway; backends find it by its X-Call-Id."""

    def __init__(self, gateway: RealGateway, number: int, request: Request, client_try: ClientTry) -> None:
        self.gateway, self.number, self.request, self.client_try = gateway, number, request, client_try
        self.attempts: list[BackendAttempt] = []


class BackendServer(Peer):
    """The listening socket of a simulated backend, whose machine serves the attempts."""

    def __init__(self, world: RealWorld, machine: Machine) -> None:
        super().__init__()
        self.world, self.machine, self.port = world, machine, 0
        self.ended_processes = 0

    async def listen(self) -> None:
        """Listens on a free port, after a restart on the same one."""
        await self.start(self.port)
        self.port = int(self.address.rpartition(":")[2])

    def end_process(self) -> None:
        """Resets its connections and refuses new ones."""
        self.ended_processes += 1
        if self.server is not None:
            self.server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        process = self.ended_processes
        if not self.machine.connect():
            return reset(writer)
        handshake_work = self.machine.config.handshake_s
        try:
            while True:
                await self.serve_attempt(await read_message(reader), reader, writer, handshake_work)
                handshake_work = 0.0
        finally:
            if process == self.ended_processes:
                self.machine.connections -= 1

    async def serve_attempt(
        self, message: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
        handshake_work: float,
    ) -> None:
        """Serves one attempt; raises IncompleteReadError where its connection is not to be used again."""
        gateway_request = self.world.requests.get(message[1].get("x-call-id", ""))
        if gateway_request is None:
            self.world.rules.breach("own requests", self.world.clock.now,
                                    f"{self.machine.name} got {message[0]!r}, which no client sent")
            writer.write(response_bytes(400))
            return
        attempt, served = self.record_attempt(gateway_request, writer), self.world.loop.create_future()

        def done(_: Job, ran: bool) -> None:
            if not served.done():
                served.set_result(ran)

        gateway = gateway_request.gateway
        job = Job(gateway_request.client_try.work + handshake_work, done,
                  gateway.agent.knows_last_start(self.machine))
        self.world.clock.later(gateway.network.delay(self.machine), lambda: self.machine.receive(job))
        closing = self.world.loop.create_task(reader.read(1))
        await asyncio.wait({served, closing}, return_when=asyncio.FIRST_COMPLETED)
        is_sent = served.done() and not closing.done() and not gateway.network.loses_answer()
        if is_sent:
            await asyncio.sleep(gateway.network.delay(self.machine))
        if is_sent and not writer.is_closing():
            body = b"served " + message[1]["x-call-id"].encode()
            writer.write(
                response_bytes(200, body) if served.result() else response_bytes(503, b"", "X-Rejected: 1"))
            attempt.end(Outcome.SERVED if served.result() else Outcome.REJECTED)
            closing.cancel()
            await asyncio.wait({closing})
            if closing.cancelled():
                return
        await closing  # the answer is lost, or the gateway has closed the connection
        self.machine.abandon(job)
        attempt.end(Outcome.TIMED_OUT)
        raise asyncio.IncompleteReadError(b"", None)

    def record_attempt(self, gateway_request: GatewayRequest, writer: asyncio.StreamWriter) -> BackendAttempt:
        """Records a completely received attempt."""
        gateway, world = gateway_request.gateway, self.world
        for earlier_attempt in gateway_request.attempts:
            earlier_attempt.check_closed()
        if gateway.alive:  # otherwise it was sent before its gateway died
            world.rules.on_sent(gateway.name, gateway_request.number, self.machine,
                                gateway_request.client_try.plan, world.clock.now)
        if not gateway_request.attempts:
            gateway_request.client_try.on_first_send()
        gateway_request.attempts.append(
            BackendAttempt(writer, gateway_request, len(gateway_request.attempts)))
        return gateway_request.attempts[-1]


class CounterServer(Peer):
    """The listening socket of the simulated counter service."""

    def __init__(self, world: RealWorld) -> None:
        super().__init__()
        self.world = world

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers: asyncio.Queue[asyncio.Future[bytes]] = asyncio.Queue()
        writing = self.world.loop.create_task(self.write_answers(answers, writer))
        try:
            while True:
                arguments = await read_counter_call(reader)
                if not self.world.counter.down:  # otherwise no answer; its connections are reset later
                    answers.put_nowait(self.start_call(arguments))
        finally:
            writing.cancel()

    def start_call(self, arguments: list[str]) -> asyncio.Future[bytes]:
        answer: asyncio.Future[bytes] = self.world.loop.create_future()

        def on_result(ended: CounterCallEnded) -> None:
            served = ended.outcome is Outcome.SERVED
            if not answer.done():
                answer.set_result(counter_reply(ended.total) if served else b"-BUSY\r\n")

        if len(arguments) == 4 and arguments[0].upper() == "CNT.ADD":
            self.world.counter.add(arguments[1], float(arguments[2]), float(arguments[3]) / 1000.0, on_result)
        else:
            answer.set_result(b"+PONG\r\n" if arguments[0].upper() == "PING" else b"+OK\r\n")
        return answer

    async def write_answers(
        self, answers: asyncio.Queue[asyncio.Future[bytes]], writer: asyncio.StreamWriter
    ) -> None:
        """Writes the answers in the order of the calls."""
        while True:
            writer.write(await (await answers.get()))


class DiscoveryAgent(Peer):
    """The discovery agent on one gateway's machine, with the list entries that it has received."""

    def __init__(self, world: RealWorld) -> None:
        super().__init__()
        self.world, self.generation, self.list_changed = world, 1, asyncio.Event()
        self.entries: dict[str, tuple[int, Backend]] = {}

    def receive_list(self, backends: Iterable[Backend]) -> None:
        self.generation += 1
        for backend in backends:
            self.entries[backend.address] = self.generation, backend
        changed, self.list_changed = self.list_changed, asyncio.Event()
        changed.set()

    def knows_last_start(self, machine: Machine) -> bool:
        """Whether its gateway was notified of that machine's last start."""
        entry = self.entries.get(machine.name)
        return entry is not None and entry[1].started_at == machine.started_at

    def listing(self, since: int = 0) -> dict[str, Any]:
        """The list in its JSON form, with the entries changed after that generation."""
        listed = [
            {"instanceId": b.address, "hostPort": self.world.servers[b.address].address, "zone": b.zone,
             "machineType": b.machine_type, "cell": b.cell, "lifecycle": LIFECYCLES[b.status],
             "weight": b.rating, "startedAtMs": round(1000 * (b.started_at or 0.0))}
            for generation, b in self.entries.values() if generation > since]
        return {"generation": self.generation, "reset": since == 0, "instances": listed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            query = dict(re.findall(r"(since|timeout_ms)=(\d+)", first))
            since = int(query.get("since", 0))
            if since >= self.generation:
                try:
                    await asyncio.wait_for(
                        self.list_changed.wait(), float(query.get("timeout_ms", 0)) / 1000.0)
                except TimeoutError:
                    pass
            writer.write(response_bytes(200, json.dumps(self.listing(since)).encode()))


# gateways


class RealGateway:
    """One process of a gateway and the client connections to it."""

    def __init__(
        self, world: RealWorld, gateway_index: int, name: str, seed: int, network: GatewayNetwork
    ) -> None:
        self.world, self.gateway_index, self.name, self.seed, self.network, self.alive = (
            world, gateway_index, name, seed, network, False)
        self.agent: DiscoveryAgent = world.agents[gateway_index]
        self.last_number = 0
        self.request_tasks: dict[int, asyncio.Task[None]] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.exit_expected = False  # it is being stopped by this process
        self.idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.log = world.folder / f"{name}.log"

    async def launch(self) -> None:
        """Starts the process and waits until it is ready. Raises Crashed if it does not become ready."""
        world, folder = self.world, self.world.folder / self.name
        folder.mkdir()
        configuration = folder / "config.json"
        configuration.write_text(json.dumps({
            "name": f"n{self.gateway_index}", "listen": f"{HOST}:{world.ports[self.gateway_index]}",
            "discovery": self.agent.address, "counter": world.counter_server.address,
            "seed": f"{self.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": GATEWAY_MEMORY_MB, "sockets": GATEWAY_SOCKETS},
            "known": self.agent.listing(),
            "settings": platform_settings(world.scenario, self.gateway_index, self.network.zone)}))
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", world.command, cwd=world.root, stdout=log, stderr=log,
                env={**env, "RELAY_CONFIG": str(configuration), "TMPDIR": str(folder)})
        world.spawn(self.watch_exit(self.process))
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                while not (self.exit_expected or await self.is_ready()):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise Crashed(f"{self.name} did not get ready; its log: {self.last_log_line()}") from None
        self.alive = not self.exit_expected

    async def is_ready(self) -> bool:
        try:
            first, _, _ = await self.exchange(READY_REQUEST)
        except (OSError, asyncio.IncompleteReadError):
            return False
        return first.split()[1] == "200"

    async def watch_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self.exit_expected:
            raise Crashed(f"{self.name} ended with {code}; its log: {self.last_log_line()}")

    def last_log_line(self) -> str:
        lines = self.log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "empty"

    def next_number(self) -> int:
        self.last_number += 1
        return self.last_number

    def receive_list(self, call: BackendList) -> None:
        self.world.rules.on_list(self.name, call.backends, self.world.clock.now)
        self.agent.receive_list(call.backends)

    def accept(self, request: Request, client_try: ClientTry) -> None:
        gateway_request = GatewayRequest(self, request.id, request, client_try)
        call_id = f"{len(self.world.requests) + 1:016x}"
        self.world.requests[call_id] = gateway_request
        self.world.rules.on_request(
            self.name, request.id, client_try.request_class, request.customer, client_try.client_deadline)
        task = self.request_tasks[request.id] = self.world.spawn(self.send_request(call_id, gateway_request))
        task.add_done_callback(lambda _: self.request_tasks.pop(request.id))

    async def send_request(self, call_id: str, gateway_request: GatewayRequest) -> None:
        """Plays a client's try; the rules report one that is not answered in time."""
        world, client_try = self.world, gateway_request.client_try
        outcome, retry_after = Outcome.CONNECTION_LOST, 0.0
        try:
            async with asyncio.timeout(max(client_try.client_deadline + TIME_SLACK - world.clock.now, 0.0)):
                first, headers, body = await self.exchange(self.request_bytes(call_id, gateway_request))
        except TimeoutError:
            return
        except (OSError, asyncio.IncompleteReadError):
            if self.alive:
                world.rules.breach("one answer", world.clock.now,
                                   f"{gateway_request.number} at {self.name} lost its connection")
        else:
            status = int(first.split()[1])
            outcome = {200: Outcome.SERVED, 429: Outcome.REJECTED, 503: Outcome.REJECTED}.get(
                status, Outcome.ERROR)
            retry_after = float(headers.get("retry-after", 0.0))
            if status == 200 and body != b"served " + call_id.encode():
                world.rules.breach(
                    "own answers", world.clock.now,
                    f"{gateway_request.number} at {self.name} is served with what no backend made")
            if self.alive:
                world.rules.on_answer(self.name, gateway_request.number, outcome, world.clock.now)
        client_try.on_answer(outcome, retry_after)

    def disconnect_client(self, number: int) -> None:
        """The client of that try closes its connection."""
        task = self.request_tasks.get(number)
        if task is not None:
            self.world.rules.on_client_disconnected(self.name, number)
            task.cancel()

    def request_bytes(self, call_id: str, gateway_request: GatewayRequest) -> bytes:
        request, client_try = gateway_request.request, gateway_request.client_try
        get = client_try.request_class.semantics == "repeatable"
        body = b"" if get else b"x" * 200
        lines = [
            f"{'GET' if get else 'POST'} /api?client={request.customer} HTTP/1.1", "Host: backend.local",
            f"X-Call-Id: {call_id}", f"X-Call-Class: {client_try.request_class.name}",
            f"Plan: {client_try.plan.name}",
            f"X-Budget: {max(client_try.client_deadline - self.world.clock.now, 0.001):.3f}",
            f"Quota-Info: units=1,spread={request.gateway_count},first={request.first_gateway}",
            *([] if get else [f"Content-Length: {len(body)}"]),
            *([f"Idempotency-Key: {call_id * 2}"] if client_try.request_class.semantics == "by_key" else []),
            *(["X-Again: 1"] if request.repeat else []), "", ""]
        return "\r\n".join(lines).encode() + body

    async def exchange(self, data: bytes) -> HttpMessage:
        """Sends a request on an idle or a new connection and returns the response.

        An idle connection that turns out to be closed is replaced. Raises OSError or IncompleteReadError.
        """
        while True:
            reused = bool(self.idle_connections)
            if reused:
                reader, writer = self.idle_connections.pop()
            else:
                reader, writer = await asyncio.open_connection(HOST, self.world.ports[self.gateway_index])
            try:
                writer.write(data)
                answer = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                writer.close()
                if reused and not getattr(error, "partial", b""):
                    continue
                raise
            except BaseException:
                writer.transport.abort()  # the client's task was cancelled
                raise
            if answer[1].get("connection") == "close":
                writer.close()
            else:
                self.idle_connections.append((reader, writer))
            return answer

    def kill(self) -> list[ClientTry]:
        """Sends SIGKILL; the clients see their connections break, so no tries are returned."""
        self.alive, self.exit_expected = False, True
        self.world.rules.on_gateway_died(self.name)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        return []

    async def stop(self) -> None:
        """Stops it by SIGTERM at the end of the run. Raises Crashed on an exit status other than 0."""
        self.exit_expected = True
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                code = await self.process.wait()
        except TimeoutError:
            self.process.kill()
            code = await self.process.wait()
        if code:
            raise Crashed(f"{self.name} ended with {code} after SIGTERM; its log: {self.last_log_line()}")

    def reset_connections(self, machine: Machine) -> None:
        """Does nothing: `BackendServer` resets real connections."""

    def figures(self) -> Figures:
        """Sums up the counts in its log, each line of which covers the time since the previous one."""
        tallies = {"attempt": Tally[str](), "gave up": Tally[str](), "pool": Tally[str]()}
        if self.log.exists():
            for kind, name, number in FIGURE_PATTERN.findall(self.log.read_text(errors="replace")):
                tallies[kind][name] += int(number)
        return tallies["attempt"], tallies["gave up"], tallies["pool"]


class RealWorld(World):
    """A deployment whose gateways are real processes, in real time."""

    def __init__(
        self, scenario: Scenario, seed: int, folder: pathlib.Path, root: pathlib.Path | None
    ) -> None:
        """`folder`: for logs and configurations; `root`: of the checkout whose `run` command is started."""
        check_real(scenario)
        self.folder, self.root, self.loop = folder, root or REPO_ROOT, asyncio.get_running_loop()
        self.command = (not root and os.environ.get("EMBERSILL_RUN")) or read_deploy_file(self.root)["run"]
        self.requests: dict[str, GatewayRequest] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.failure: asyncio.Future[None] = self.loop.create_future()
        self.max_lateness = 0.0  # seconds by which a timer of this process was late
        self.ports = [free_port() for _ in range(scenario.fleet.gateways)]
        self.agents: list[DiscoveryAgent] = [DiscoveryAgent(self) for _ in self.ports]
        super().__init__(scenario, seed, LoopClock())
        # the service answers however late the answer is; timeouts are those of the real gateways
        self.counter.config = structs.replace(scenario.counter, patience=MAX_REAL_SECONDS)
        self.servers = {m.name: BackendServer(self, m) for m in self.machines.values()}
        self.counter_server = CounterServer(self)

    def make_gateway(self, gateway_index: int, name: str, seed: int, network: GatewayNetwork) -> RealGateway:
        return RealGateway(self, gateway_index, name, seed, network)

    def restart_gateway(self, gateway_index: int) -> None:
        super().restart_gateway(gateway_index)
        self.spawn(self.launch(gateway_index))

    async def launch(self, gateway_index: int) -> None:
        gateway = self.gateways[gateway_index]
        assert isinstance(gateway, RealGateway)
        await gateway.launch()

    def reset_connections(self, machine: Machine) -> None:
        self.servers[machine.name].reset_connections()

    def end_process(self, machine: Machine) -> None:
        super().end_process(machine)
        self.servers[machine.name].end_process()

    def restart_backend(self, machine: Machine) -> None:
        super().restart_backend(machine)
        self.spawn(self.servers[machine.name].listen())

    def end_shared_fault(self, fault: Fault) -> None:
        super().end_shared_fault(fault)
        if fault.kind == "counter":
            for writer in list(self.counter_server.writers):
                reset(writer)

    # the run

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task of the run; if it fails, the run fails."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_ended)
        return task

    def on_task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fail(task.exception())

    def fail(self, error: BaseException | None) -> None:
        """Makes the run fail with this error, unless it has failed already."""
        if not self.failure.done():
            self.failure.set_exception(error or Crashed("an event went wrong"))

    def measure_lateness(self, due: float) -> None:
        self.max_lateness = max(self.max_lateness, self.clock.now - due)
        self.clock.later(
            LATENESS_INTERVAL, partial(self.measure_lateness, self.clock.now + LATENESS_INTERVAL))

    def schedule_malformed_input(self) -> None:
        """Sends malformed input at random times."""
        rate = self.scenario.load.broken * len(self.gateways)
        if rate > 0.0 and self.clock.now < self.origin + self.scenario.seconds:
            self.spawn(self.send_malformed_input())
            self.clock.later(float(self.fault_rng.exponential(1.0 / rate)), self.schedule_malformed_input)

    async def send_malformed_input(self) -> None:
        """Sends one malformed input, which must get an error or a closed connection in time."""
        gateway = self.gateways[int(self.fault_rng.integers(len(self.gateways)))]
        name = str(self.fault_rng.choice(list(MALFORMED_INPUTS)))
        started_at, first = self.clock.now, b""
        try:
            async with asyncio.timeout(MALFORMED_INPUT_TIMEOUT + 1.0):
                reader, writer = await asyncio.open_connection(HOST, self.ports[self.gateways.index(gateway)])
                writer.write(MALFORMED_INPUTS[name])
                first = await reader.readline()
                writer.close()
        except TimeoutError:
            pass
        except OSError:
            return  # the connection was closed, or the gateway is dead
        too_late = self.clock.now - started_at > MALFORMED_INPUT_TIMEOUT + TIME_SLACK
        if gateway.alive and (too_late or first and not 400 <= int(first.split()[1]) < 600):
            self.rules.breach("bad input", self.clock.now, f"{name!r} at {gateway.name} got {first!r}")

    async def run(self) -> None:
        """Plays the run in real time. Raises Crashed if a gateway fails to start, exits or fails to stop."""
        self.loop.set_exception_handler(lambda _, context: self.fail(context.get("exception")))
        try:
            for peer in (*self.servers.values(), *self.agents, self.counter_server):
                await (peer.listen() if isinstance(peer, BackendServer) else peer.start())
            await self.await_or_fail(asyncio.gather(*(self.launch(n) for n in range(len(self.gateways)))))
            self.begin()
            self.measure_lateness(self.clock.now)
            self.schedule_malformed_input()
            await self.await_or_fail(asyncio.sleep(self.end_time() - self.clock.now))
            self.finish()
        finally:
            await self.stop()

    async def await_or_fail(self, work: Awaitable[Any]) -> None:
        """Waits for the work, or raises the run's failure if that comes first."""
        awaited = asyncio.ensure_future(work)
        await asyncio.wait({awaited, self.failure}, return_when=asyncio.FIRST_COMPLETED)
        if self.failure.done():
            awaited.cancel()
            await self.failure
        await awaited

    async def stop(self) -> None:
        """Stops all gateways and peers. Raises what a gateway's stop raised, unless the run has failed."""
        gateways = [gateway for gateway in (*self.ended_gateways, *self.gateways)
                    if isinstance(gateway, RealGateway)]
        stops = await asyncio.gather(*(gateway.stop() for gateway in gateways), return_exceptions=True)
        for task in list(self.tasks):
            task.cancel()
        for peer in (*self.servers.values(), *self.agents, self.counter_server):
            await peer.stop()
        for error in stops:
            if error is not None and not self.failure.done():
                raise error

    def report(self) -> dict[str, Any]:
        return super().report() | {"real": True, "late_ms": round(1000 * self.max_lateness)}


def play(
    scenario: Scenario, seed: int, folder: pathlib.Path, root: pathlib.Path | None
) -> dict[str, Any]:
    """Plays one run in real time and returns its report; logs and configurations go to the folder.

    Raises Crashed or BadScenario.
    """

    async def run() -> dict[str, Any]:
        world = RealWorld(scenario, seed, folder, root)
        await world.run()
        return world.report()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())
