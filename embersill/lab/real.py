"""The same deployment with real gateways: processes started by `run`, with the model's parts as peers.

World, machines, counter, customers and rules are those of virtual time, on the loop's clock. What can't be
had on loopback without tools that isolate (a zone that is cut off) is refused.
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

from embersill.interface import Backend, BackendList, CounterCallEnded, Outcome, Request, BackendStatus
from embersill.lab.clock import Event
from embersill.lab.machine import Job, Machine
from embersill.lab.node import Call, Figures
from embersill.lab.network import Way
from embersill.lab.peers import (
    HOST, READY, Asked, Peer, free_port, message, read_call, read_message, reset, total_text,
)
from embersill.lab.rules import SLACK
from embersill.lab.scenario import LONGEST, Fault, Scenario, check_real
from embersill.lab.versions import HERE, deployed
from embersill.lab.world import World, told_settings
from embersill.net.bodies import is_readable

READY_WITHIN, STOP_WITHIN = 20.0, 8.0  # seconds
LOOK_EVERY = 0.05  # seconds between looks at how late this process is itself
SOCKETS, MEMORY = 1024, 192  # of a gateway: descriptors and MB, as on the platform
FIGURE = re.compile(r"(attempt|gave up|pool) ([a-z ]+) (\d+)")
OWED_WITHIN = 3.0  # seconds in which a peer that sends no proper request is owed an error or a close
BROKEN = {
    "silence": b"", "half a head": b"GET /api HTTP/1.1\r\nHost: x\r\n",
    "no HTTP": b"\x16\x03\x01\x02\x00" * 50,
    "no id": b"GET /api?client=00000000b4d65521 HTTP/1.1\r\nHost: x\r\n\r\n",
    "two lengths": b"POST /api HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "a head without end": b"GET /api HTTP/1.1\r\n" + b"X-Filler: " + b"x" * 100_000,
}
STATES = {
    BackendStatus.SERVING: "SERVING", BackendStatus.DRAINING: "DRAINING", BackendStatus.REMOVED: "DELETED"}


class Crashed(Exception):
    """A gateway ended by itself, or never got ready."""


class LoopClock:
    """Seconds of Unix time, by the loop's clock."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.offset = time.time() - self.loop.time()

    @property
    def now(self) -> float:
        return self.loop.time() + self.offset

    def later(self, delay: float, what: Callable[[], None]) -> Event:
        event = Event(what)
        self.loop.call_later(delay, event.happen)
        return event


# peers


@dataclass(slots=True, eq=False)
class Out:
    """An attempt at a backend, until its answer or its connection's end."""

    writer: asyncio.StreamWriter
    held: Held
    place: int
    over: bool = False

    def end(self, outcome: Outcome) -> None:
        if not self.over:
            self.over = True
            self.held.node.world.rules.ended(self.held.node.name, self.held.number, self.place, outcome)

    def look(self) -> None:
        """The gateway may have closed it, and this process not have seen it yet."""
        if not self.over and is_readable(self.writer.get_extra_info("socket")):
            self.end(Outcome.TIMED_OUT)


class Held:
    """A client's request at a gateway, as all parts know it by its id."""

    def __init__(self, node: RealNode, number: int, request: Request, call: Call) -> None:
        self.node, self.number, self.request, self.call = node, number, request, call
        self.outs: list[Out] = []


class BackendServer(Peer):
    def __init__(self, world: RealWorld, machine: Machine) -> None:
        super().__init__()
        self.world, self.machine, self.port = world, machine, 0
        self.processes = 0  # that have ended

    async def begin(self) -> None:
        await self.start(self.port)
        self.port = int(self.address.rpartition(":")[2])

    def end_process(self) -> None:
        """Its connections are reset, and new ones refused."""
        self.processes += 1
        if self.server is not None:
            self.server.close()
        self.break_links()

    def break_links(self) -> None:
        for writer in list(self.open):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        process = self.processes
        if not self.machine.connect():
            return reset(writer)
        more = self.machine.form.handshake_s
        try:
            while True:
                await self.answer(await read_message(reader), reader, writer, more)
                more = 0.0
        finally:
            if process == self.processes:
                self.machine.connections -= 1

    async def answer(
        self, asked: Asked, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, more: float
    ) -> None:
        held = self.world.held.get(asked[1].get("x-call-id", ""))
        if held is None:
            self.world.rules.breach("own requests", self.world.clock.now,
                                    f"{self.machine.name} got {asked[0]!r}, which no client sent")
            writer.write(message(400))
            return
        out, served = self.arrive(held, writer), self.world.loop.create_future()

        def done(_: Job, ran: bool) -> None:
            if not served.done():
                served.set_result(ran)

        node = held.node
        job = Job(held.call.work + more, done, node.agent.knows(self.machine))
        self.world.clock.later(node.way.delay(self.machine), lambda: self.machine.take(job))
        closing = self.world.loop.create_task(reader.read(1))
        await asyncio.wait({served, closing}, return_when=asyncio.FIRST_COMPLETED)
        if served.done() and not closing.done() and not node.way.loses():
            await asyncio.sleep(node.way.delay(self.machine))
            body = b"served " + asked[1]["x-call-id"].encode()
            writer.write(message(200, body) if served.result() else message(503, b"", "X-Rejected: 1"))
            out.end(Outcome.SERVED if served.result() else Outcome.REJECTED)
            closing.cancel()
            await asyncio.wait({closing})
            if closing.cancelled():
                return
        await closing  # an answer that is lost, or a gateway that has gone
        self.machine.give_up(job)
        out.end(Outcome.TIMED_OUT)
        raise asyncio.IncompleteReadError(b"", None)

    def arrive(self, held: Held, writer: asyncio.StreamWriter) -> Out:
        """A whole attempt has come."""
        node, world = held.node, self.world
        for earlier in held.outs:
            earlier.look()
        if node.alive:  # else it was on its way when its gateway died
            world.rules.sent(node.name, held.number, self.machine, held.call.plan, world.clock.now)
        if not held.outs:
            held.call.sent_on()
        held.outs.append(Out(writer, held, len(held.outs)))
        return held.outs[-1]


class CounterServer(Peer):
    def __init__(self, world: RealWorld) -> None:
        super().__init__()
        self.world = world

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers: asyncio.Queue[asyncio.Future[bytes]] = asyncio.Queue()
        pump = self.world.loop.create_task(self.pump(answers, writer))
        try:
            while True:
                words = await read_call(reader)
                if not self.world.counter.down:  # else it stays silent, and ends its connections later
                    answers.put_nowait(self.call(words))
        finally:
            pump.cancel()

    def call(self, words: list[str]) -> asyncio.Future[bytes]:
        answer: asyncio.Future[bytes] = self.world.loop.create_future()

        def told(counted: CounterCallEnded) -> None:
            served = counted.outcome is Outcome.SERVED
            if not answer.done():
                answer.set_result(total_text(counted.total) if served else b"-BUSY\r\n")

        if len(words) == 4 and words[0].upper() == "CNT.ADD":
            self.world.counter.add(words[1], float(words[2]), float(words[3]) / 1000.0, told)
        else:
            answer.set_result(b"+PONG\r\n" if words[0].upper() == "PING" else b"+OK\r\n")
        return answer

    async def pump(self, answers: asyncio.Queue[asyncio.Future[bytes]], writer: asyncio.StreamWriter) -> None:
        """In the order of the calls."""
        while True:
            writer.write(await (await answers.get()))


class Agent(Peer):
    """Discovery on one gateway's machine: what it has been told up to now."""

    def __init__(self, world: RealWorld) -> None:
        super().__init__()
        self.world, self.generation, self.wake = world, 1, asyncio.Event()
        self.entries: dict[str, tuple[int, Backend]] = {}

    def hear(self, backends: Iterable[Backend]) -> None:
        self.generation += 1
        for backend in backends:
            self.entries[backend.address] = self.generation, backend
        wake, self.wake = self.wake, asyncio.Event()
        wake.set()

    def knows(self, machine: Machine) -> bool:
        """Its gateway was told of that machine's last start."""
        known = self.entries.get(machine.name)
        return known is not None and known[1].started_at == machine.started

    def listing(self, since: int = 0) -> dict[str, Any]:
        listed = [
            {"instanceId": b.address, "hostPort": self.world.servers[b.address].address, "zone": b.zone,
             "machineType": b.machine_type, "cell": b.cell, "lifecycle": STATES[b.status], "weight": b.rating,
             "startedAtMs": round(1000 * (b.started_at or 0.0))}
            for generation, b in self.entries.values() if generation > since]
        return {"generation": self.generation, "reset": since == 0, "instances": listed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            told = dict(re.findall(r"(since|timeout_ms)=(\d+)", first))
            since = int(told.get("since", 0))
            if since >= self.generation:
                try:
                    await asyncio.wait_for(self.wake.wait(), float(told.get("timeout_ms", 0)) / 1000.0)
                except TimeoutError:
                    pass
            writer.write(message(200, json.dumps(self.listing(since)).encode()))


# gateways


class RealNode:
    """One process of a gateway, and its clients' connections."""

    def __init__(self, world: RealWorld, me: int, name: str, seed: int, way: Way) -> None:
        self.world, self.me, self.name, self.seed, self.way, self.alive = world, me, name, seed, way, False
        self.agent: Agent = world.agents[me]
        self.taken = 0
        self.asking: dict[int, asyncio.Task[None]] = {}
        self.child: asyncio.subprocess.Process | None = None
        self.ended = False  # by us
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.log = world.folder / f"{name}.log"

    async def launch(self) -> None:
        """Starts it, and waits until it is ready. Crashed where it never is."""
        world, folder = self.world, self.world.folder / self.name
        folder.mkdir()
        configuration = folder / "config.json"
        configuration.write_text(json.dumps({
            "name": f"n{self.me}", "listen": f"{HOST}:{world.ports[self.me]}",
            "discovery": self.agent.address, "counter": world.counting.address, "seed": f"{self.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY, "sockets": SOCKETS}, "known": self.agent.listing(),
            "settings": told_settings(world.scenario, self.me, self.way.zone)}))
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        with self.log.open("wb") as log:
            self.child = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", world.command, cwd=world.root, stdout=log, stderr=log,
                env={**env, "RELAY_CONFIG": str(configuration), "TMPDIR": str(folder)})
        world.spawn(self.watch(self.child))
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not (self.ended or await self.is_ready()):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise Crashed(f"{self.name} did not get ready; its log: {self.last_line()}") from None
        self.alive = not self.ended

    async def is_ready(self) -> bool:
        try:
            first, _, _ = await self.exchange(READY)
        except (OSError, asyncio.IncompleteReadError):
            return False
        return first.split()[1] == "200"

    async def watch(self, child: asyncio.subprocess.Process) -> None:
        code = await child.wait()
        if not self.ended:
            raise Crashed(f"{self.name} ended with {code}; its log: {self.last_line()}")

    def last_line(self) -> str:
        lines = self.log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "empty"

    def number(self) -> int:
        self.taken += 1
        return self.taken

    def hear(self, event: BackendList) -> None:
        self.world.rules.told(self.name, event.backends, self.world.clock.now)
        self.agent.hear(event.backends)

    def take(self, request: Request, call: Call) -> None:
        held = Held(self, request.id, request, call)
        name = f"{len(self.world.held) + 1:016x}"
        self.world.held[name] = held
        self.world.rules.taken(self.name, request.id, call.klass, request.customer, call.deadline)
        task = self.asking[request.id] = self.world.spawn(self.ask(name, held))
        task.add_done_callback(lambda _: self.asking.pop(request.id))

    async def ask(self, name: str, held: Held) -> None:
        """The whole of a client's try. Without an answer in time it goes away, and the rules see that."""
        world, call = self.world, held.call
        outcome, retry_after = Outcome.CONNECTION_LOST, 0.0
        try:
            async with asyncio.timeout(max(call.deadline + SLACK - world.clock.now, 0.0)):
                first, headers, body = await self.exchange(self.text(name, held))
        except TimeoutError:
            return
        except (OSError, asyncio.IncompleteReadError):
            if self.alive:
                world.rules.breach("one answer", world.clock.now,
                                   f"{held.number} at {self.name} lost its connection")
        else:
            status = int(first.split()[1])
            outcome = {200: Outcome.SERVED, 429: Outcome.REJECTED, 503: Outcome.REJECTED}.get(
                status, Outcome.ERROR)
            retry_after = float(headers.get("retry-after", 0.0))
            if status == 200 and body != b"served " + name.encode():
                world.rules.breach("own answers", world.clock.now,
                                   f"{held.number} at {self.name} is served with what no backend made")
            if self.alive:
                world.rules.answered(self.name, held.number, outcome, world.clock.now)
        call.answered(outcome, retry_after)

    def leave(self, number: int) -> None:
        """Its client closes its connection."""
        task = self.asking.get(number)
        if task is not None:
            self.world.rules.left(self.name, number)
            task.cancel()

    def text(self, name: str, held: Held) -> bytes:
        request, call = held.request, held.call
        get = call.klass.semantics == "repeatable"
        body = b"" if get else b"x" * 200
        lines = [
            f"{'GET' if get else 'POST'} /api?client={request.customer} HTTP/1.1", "Host: backend.local",
            f"X-Call-Id: {name}", f"X-Call-Class: {call.klass.name}", f"Plan: {call.plan.name}",
            f"X-Budget: {max(call.deadline - self.world.clock.now, 0.001):.3f}",
            f"Quota-Info: units=1,spread={request.gateway_count},first={request.first_gateway}",
            *([] if get else [f"Content-Length: {len(body)}"]),
            *([f"Idempotency-Key: {name * 2}"] if call.klass.semantics == "by_key" else []),
            *(["X-Again: 1"] if request.repeat else []), "", ""]
        return "\r\n".join(lines).encode() + body

    async def exchange(self, text: bytes) -> Asked:
        """On a connection of its own meanwhile; one that was closed while idle makes way for another."""
        while True:
            kept = bool(self.idle)
            if kept:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection(HOST, self.world.ports[self.me])
            try:
                writer.write(text)
                answer = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                writer.close()
                if kept and not getattr(error, "partial", b""):
                    continue
                raise
            except BaseException:
                writer.transport.abort()  # its client has gone away
                raise
            if answer[1].get("connection") == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return answer

    def die(self) -> list[Call]:
        """By SIGKILL. Its clients see their connections break."""
        self.alive, self.ended = False, True
        self.world.rules.died(self.name)
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
        return []

    async def stop(self) -> None:
        """By SIGTERM, at the end of all. Crashed where it does not end well."""
        self.ended = True
        if self.child is None or self.child.returncode is not None:
            return
        self.child.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_WITHIN):
                code = await self.child.wait()
        except TimeoutError:
            self.child.kill()
            code = await self.child.wait()
        if code:
            raise Crashed(f"{self.name} ended with {code} after SIGTERM; its log: {self.last_line()}")

    def break_links(self, machine: Machine) -> None:
        """Real ones are broken where they end, at the machine."""

    def figures(self) -> Figures:
        """From its log's lines, which tell what ended since the one before."""
        tallies = {"attempt": Tally[str](), "gave up": Tally[str](), "pool": Tally[str]()}
        if self.log.exists():
            for kind, name, number in FIGURE.findall(self.log.read_text(errors="replace")):
                tallies[kind][name] += int(number)
        return tallies["attempt"], tallies["gave up"], tallies["pool"]


class RealWorld(World):
    def __init__(
        self, scenario: Scenario, seed: int, folder: pathlib.Path, root: pathlib.Path | None
    ) -> None:
        """`folder`: for logs and configurations; `root`: of the checkout whose `run` is started."""
        check_real(scenario)
        self.folder, self.root, self.loop = folder, root or HERE, asyncio.get_running_loop()
        self.command = (not root and os.environ.get("EMBERSILL_RUN")) or deployed(self.root)["run"]
        self.held: dict[str, Held] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.failure: asyncio.Future[None] = self.loop.create_future()
        self.late = 0.0  # seconds by which this process itself was late, at the most
        self.ports = [free_port() for _ in range(scenario.fleet.gateways)]
        self.agents: list[Agent] = [Agent(self) for _ in self.ports]
        super().__init__(scenario, seed, LoopClock())
        # the service answers however late: the patience is its callers'
        self.counter.form = structs.replace(scenario.counter, patience=LONGEST)
        self.servers = {m.name: BackendServer(self, m) for m in self.machines.values()}
        self.counting = CounterServer(self)

    def make_node(self, me: int, name: str, seed: int, way: Way) -> RealNode:
        return RealNode(self, me, name, seed, way)

    def restart(self, me: int) -> None:
        super().restart(me)
        self.spawn(self.launch(me))

    async def launch(self, me: int) -> None:
        node = self.nodes[me]
        assert isinstance(node, RealNode)
        await node.launch()

    def break_links(self, machine: Machine) -> None:
        self.servers[machine.name].break_links()

    def end_process(self, machine: Machine) -> None:
        super().end_process(machine)
        self.servers[machine.name].end_process()

    def bring_back(self, machine: Machine) -> None:
        super().bring_back(machine)
        self.spawn(self.servers[machine.name].begin())

    def clear_up(self, fault: Fault) -> None:
        super().clear_up(fault)
        if fault.kind == "counter":
            for writer in list(self.counting.open):
                reset(writer)

    # the run

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """A part of the run: where it fails, the run does."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fail(task.exception())

    def fail(self, error: BaseException | None) -> None:
        if not self.failure.done():
            self.failure.set_exception(error or Crashed("an event went wrong"))

    def look(self, due: float) -> None:
        self.late = max(self.late, self.clock.now - due)
        self.clock.later(LOOK_EVERY, partial(self.look, self.clock.now + LOOK_EVERY))

    def send_broken(self) -> None:
        """Peers that send no proper request, at times that chance gives."""
        rate = self.scenario.load.broken * len(self.nodes)
        if rate > 0.0 and self.clock.now < self.origin + self.scenario.seconds:
            self.spawn(self.be_broken())
            self.clock.later(float(self.chaos.exponential(1.0 / rate)), self.send_broken)

    async def be_broken(self) -> None:
        """One of them: it is owed an error or a close in time."""
        node = self.nodes[int(self.chaos.integers(len(self.nodes)))]
        name = str(self.chaos.choice(list(BROKEN)))
        began, first = self.clock.now, b""
        try:
            async with asyncio.timeout(OWED_WITHIN + 1.0):
                reader, writer = await asyncio.open_connection(HOST, self.ports[self.nodes.index(node)])
                writer.write(BROKEN[name])
                first = await reader.readline()
                writer.close()
        except TimeoutError:
            pass
        except OSError:
            return  # closed, or its gateway is dead
        late = self.clock.now - began > OWED_WITHIN + SLACK
        if node.alive and (late or first and not 400 <= int(first.split()[1]) < 600):
            self.rules.breach("bad input", self.clock.now, f"{name!r} at {node.name} got {first!r}")

    async def run(self) -> None:
        """All of it, in real time. Crashed where a gateway does not start, live or stop as it should."""
        self.loop.set_exception_handler(lambda _, told: self.fail(told.get("exception")))
        try:
            for peer in (*self.servers.values(), *self.agents, self.counting):
                await (peer.begin() if isinstance(peer, BackendServer) else peer.start())
            await self.unless_failed(asyncio.gather(*(self.launch(me) for me in range(len(self.nodes)))))
            self.begin()
            self.look(self.clock.now)
            self.send_broken()
            await self.unless_failed(asyncio.sleep(self.over_at() - self.clock.now))
            self.close()
        finally:
            await self.stop()

    async def unless_failed(self, work: Awaitable[Any]) -> None:
        """Ends with the run's failure, where that comes first."""
        waited = asyncio.ensure_future(work)
        await asyncio.wait({waited, self.failure}, return_when=asyncio.FIRST_COMPLETED)
        if self.failure.done():
            waited.cancel()
            await self.failure
        await waited

    async def stop(self) -> None:
        nodes = [node for node in (*self.old, *self.nodes) if isinstance(node, RealNode)]
        stops = await asyncio.gather(*(node.stop() for node in nodes), return_exceptions=True)
        for task in list(self.tasks):
            task.cancel()
        for peer in (*self.servers.values(), *self.agents, self.counting):
            await peer.stop()
        for error in stops:
            if error is not None and not self.failure.done():
                raise error

    def report(self) -> dict[str, Any]:
        return super().report() | {"real": True, "late_ms": round(1000 * self.late)}


def play(
    scenario: Scenario, seed: int, folder: pathlib.Path, root: pathlib.Path | None
) -> dict[str, Any]:
    """One run, with logs and configurations in the folder. Crashed, or BadScenario."""

    async def whole() -> dict[str, Any]:
        world = RealWorld(scenario, seed, folder, root)
        await world.run()
        return world.report()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(whole())
