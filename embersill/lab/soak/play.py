"""Plays one day of a soak: starts peers and gateways, lets the plan's faults happen, and checks the rules."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import subprocess
import time
from collections import Counter
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import uvloop

from embersill.lab.peers import HOST, free_port
from embersill.lab.soak.backends import BackendServer, Behaviour
from embersill.lab.soak.checks import ProcessLife, SeenPlay, check_all
from embersill.lab.soak.clients import GatewayClients
from embersill.lab.soak.counter import CounterServer, CounterState
from embersill.lab.soak.deployment import backend_entry
from embersill.lab.soak.discovery_agent import DiscoveryAgent
from embersill.lab.soak.gateway_process import GatewayProcess, NotReady
from embersill.lab.soak.lateness import Lateness
from embersill.lab.soak.observations import Attempt, AttemptEnd, ClientRequest, Violation
from embersill.lab.soak.plan import LIST_WRITTEN_WITHIN, Fault, FaultAt, SoakPlan
from embersill.net.bodies import closed_by_peer

SHIM_SOURCE = pathlib.Path(__file__).parent / "shim.c"
HELD_UP = 0.15  # seconds
HOLD_UPS = 8  # in a row
LOOK_EVERY = 0.02  # seconds between looks for how late this process is itself
READY_OWED = 10.0  # seconds, of a process that is started anew
OVER_AFTER = 1.5  # seconds after the last request's deadline
REPLACE_OVER = 3.0  # seconds in which a part of the backends is replaced
GONE_AFTER = 1.5  # seconds from a backend's drain to its end
WARM_RATE = 1.25  # times what a backend gets in the mean where fewest serve: what a warm one can do
FORGETS_FROM = 0.3  # part of a fault below which a counter that was in trouble has lost its names
STARTS_WITHIN = (0.02, 0.6)  # seconds from a start, in which it is told to end
HANDED_OVER = "handed over to a successor"  # in the log of a process that an upgrade replaces
HAND_OVER_WITHIN = 5.0  # seconds from a successor's start, after which its predecessor is ended all the same
LEAST_SERVING = 0.4  # of all backends that no fault takes out together
MOST_TOO_LATE = 0.1  # of the day in which the peers themselves ran late, from which it says nothing


def build_shim(folder: pathlib.Path) -> pathlib.Path:
    """Compiles the shim; CalledProcessError where the compiler refuses it."""
    made = folder / "shim.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-O2", "-o", str(made), str(SHIM_SOURCE), "-ldl"], check=True)
    return made


@dataclass(slots=True)
class PlayResult:
    """What came of a day."""

    plan: SoakPlan
    violations: list[Violation] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    late: float = 0.0  # seconds, of the peers themselves at the most
    late_in_all: float = 0.0  # seconds
    peak_memory_mb: float = 0.0
    most_descriptors: int = 0
    processor_seconds: float = 0.0  # of all gateways that run at the end
    mean_memory_mb: float = 0.0  # of their peaks
    mean_descriptors: float = 0.0  # of those of each at the most
    connections: int = 0  # made to backends
    list_bytes: int = 0  # that the agents wrote

    @property
    def void(self) -> bool:
        """True where this machine was too busy for the play to say anything."""
        return self.late_in_all > MOST_TOO_LATE * self.plan.seconds


class SoakPlay:
    """One day, from its start to its end."""

    def __init__(
        self,
        plan: SoakPlan,
        folder: pathlib.Path,
        shim: pathlib.Path | None,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.plan, self.folder, self.shim = plan, folder, shim
        self.environment = dict(environment or {})
        self.dice = random.Random(f"play {plan.seed}")
        self.loop = asyncio.get_running_loop()
        self.requests: dict[str, ClientRequest] = {}
        self.names = [f"b{number}" for number in range(plan.backends)]
        self.backends = BackendServer(self.names, self.requests, plan.seed)
        self.backends.attempted = self.attempted
        for model in self.backends.models.values():
            model.work = plan.work
        self.states = dict.fromkeys(self.names, "SERVING")
        self.started: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self.cold_starts: dict[str, list[float]] = {}
        self.counter = CounterServer(plan.seed)
        self.lateness = Lateness()
        self.agents: list[DiscoveryAgent] = []
        self.gateways: list[GatewayProcess] = []  # the newest process of each that serves
        self.processes: list[GatewayProcess] = []  # all that were started
        self.clients: list[GatewayClients] = []
        self.lives: list[ProcessLife] = []
        self.reloads: dict[int, list[float]] = {}
        self.violations: list[Violation] = []
        self.descriptors: dict[int, int] = {}  # of each gateway, at the most
        self.least_serving = len(self.names)  # backends, at any time of the day
        self.busy: set[int] = set()  # gateways that are being restarted
        self.upgrading: set[int] = set()  # gateways with a successor beside them
        self.reloading: Counter[int] = Counter()  # how many moves of discovery a gateway follows
        self.tasks: set[asyncio.Task[None]] = set()
        self.result = PlayResult(plan)

    # the parts

    def entry(self, name: str) -> dict[str, Any]:
        return backend_entry(
            name, self.backends.host_port(name), int(name[1:]), self.states[name], self.started[name]
        )

    def attempted(self, request: ClientRequest, attempt: Attempt) -> None:
        """A whole attempt has come: no earlier one may be out any more."""
        for earlier in request.attempts:
            if earlier.end is AttemptEnd.OPEN and not closed_by_peer((earlier.descriptor,)):
                self.violations.append(
                    Violation("duplicate", request.call_id, f"out at {earlier.backend} and {attempt.backend}")
                )

    async def start(self) -> None:
        await self.backends.start()
        await self.counter.start()
        entries = [self.entry(name) for name in self.names]
        for number in range(self.plan.deployment.gateways):
            self.agents.append(DiscoveryAgent(entries))
            await self.agents[number].start()
            self.reloads[number] = []
            self.gateways.append(self.make_gateway(number, 0, 0))
        await asyncio.gather(*(self.launch(gateway) for gateway in self.gateways))
        for number, gateway in enumerate(self.gateways):
            self.clients.append(
                GatewayClients(
                    number,
                    gateway.port,
                    self.plan.deployment,
                    self.requests,
                    f"clients {self.plan.seed} {number}",
                    partial(self.is_up, number),
                )
            )

    def make_gateway(
        self, number: int, turn: int, port: int, folder: pathlib.Path | None = None
    ) -> GatewayProcess:
        """The `turn`-th process of a gateway; `folder`: its predecessor's, if that is still running."""
        plan, agent = self.plan, self.agents[number]
        environment = {"EMBERSILL_TRACE": "1", **self.environment}
        if self.shim is not None:
            setting = plan.shims[number].text(plan.seed * 1000 + number * 10 + turn, turn > 0)
            environment |= {"LD_PRELOAD": str(self.shim), "SOAK_SHIM": setting}
        configuration = {
            "name": f"n{number}",
            "discovery": agent.address,
            "counter": self.counter.address,
            "console": f"{HOST}:{free_port()}",
            "seed": f"{self.dice.getrandbits(64):016x}",
            "known": agent.known(),
            "settings": plan.deployment.settings(number),
            "limits": {
                "cores": 1.0,
                "memory_mb": plan.deployment.memory_mb,
                "sockets": plan.deployment.sockets,
            },
        }
        folder = folder or self.folder / f"n{number}-{turn}"
        return GatewayProcess(number, folder, configuration, port, environment)

    async def launch(self, gateway: GatewayProcess) -> None:
        began = time.monotonic()
        self.processes.append(gateway)
        try:
            await gateway.start()
        except NotReady as error:
            self.violations.append(Violation("crash", "", str(error)))
            return
        took = time.monotonic() - began
        if took > READY_OWED and not gateway.ended:
            self.violations.append(Violation("ready", "", f"gateway {gateway.number} took {took:.1f} s"))
        self.lives.append(ProcessLife(gateway.number, time.monotonic()))
        self.spawn(self.watch(gateway))

    async def watch(self, gateway: GatewayProcess) -> None:
        """A process that ends by itself has crashed, also with a failure after SIGTERM."""
        code = await gateway.wait()
        if not gateway.ended or code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.violations.append(
                Violation("crash", "", f"gateway {gateway.number} ended with {code}: {gateway.last_line()}")
            )

    def is_up(self, number: int) -> bool:
        return self.gateways[number].running and (
            number not in self.busy or self.lives_of(number).terminated_at < float("inf")
        )

    def lives_of(self, number: int) -> ProcessLife:
        return next(life for life in reversed(self.lives) if life.gateway == number)

    def change_life(self, life: ProcessLife, **changed: Any) -> ProcessLife:
        changed_life = replace(life, **changed)
        self.lives[self.lives.index(life)] = changed_life
        return changed_life

    # what goes wrong

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task: asyncio.Task[None]) -> None:
        """A fault that could not happen makes the play say less than it seems to: it counts as broken."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violations.append(Violation("soak", "", f"a part of the play failed: {task.exception()!r}"))

    def hear(self, names: list[str]) -> None:
        """All agents are told of changes, each a little later."""
        entries = [self.entry(name) for name in names]
        for agent in self.agents:
            self.loop.call_later(self.dice.uniform(0.0, 0.2), agent.hear, entries)

    def some_backends(self, part: float) -> list[str]:
        """A part of those that serve; enough of all stay."""
        serving = [name for name, state in self.states.items() if state == "SERVING"]
        spare = max(len(serving) - round(LEAST_SERVING * len(self.names)), 0)
        return self.dice.sample(serving, min(round(part * len(serving)), spare))

    async def replace(self, names: list[str]) -> None:
        """Each drains, is gone, and comes back cold; changes come singly, as in a release."""
        steps = max(1, len(names) // 200)
        for first in range(0, len(names), steps):
            now = names[first : first + steps]
            self.spawn(self.replace_some(now))
            await asyncio.sleep(REPLACE_OVER * steps / len(names))

    async def replace_some(self, names: list[str]) -> None:
        self.set_states(names, "DRAINING")
        await asyncio.sleep(GONE_AFTER)
        self.set_states(names, "DELETED")
        await asyncio.sleep(0.3)
        for name in names:
            self.started[name] = time.time()
            self.cold_starts.setdefault(name, []).append(time.monotonic())
        self.set_states(names, "SERVING")

    def set_states(self, names: list[str], state: str) -> None:
        for name in names:
            self.states[name] = state
        serving = sum(now == "SERVING" for now in self.states.values())
        self.least_serving = min(self.least_serving, serving)
        self.hear(names)

    async def happen(self, fault: FaultAt) -> None:
        number, agent, names = fault.gateway, self.agents[fault.gateway], self.some_backends(fault.part)
        match fault.fault:
            case Fault.REPLACE:
                await self.replace(names)
            case Fault.DRAIN:
                self.set_states(names, "DRAINING")
            case Fault.OUTAGE:
                for each in self.agents:
                    each.set_down(True)
                await asyncio.sleep(fault.lasts)
                for each in self.agents:
                    each.set_down(False)
                self.set_states(names[:20], "DRAINING")
            case Fault.BREAK_WATCHES:
                for each in self.agents:
                    each.break_watches()
                self.set_states(names[:20], "DRAINING")
            case Fault.SLOW_LISTS:
                size = 260 * len(self.names)
                agent.faults.whole_lists, agent.faults.indented = True, bool(number % 2)
                agent.faults.piece, agent.faults.pause = max(size // 20, 64), LIST_WRITTEN_WITHIN / 40
                await asyncio.sleep(fault.lasts)
                agent.faults.whole_lists = agent.faults.indented = False
                agent.faults.piece, agent.faults.pause = 0, 0.0
            case Fault.MISBEHAVE:
                for name in names:
                    self.backends.models[name].behaviour = fault.behaviour
                await asyncio.sleep(fault.lasts)
                for name in names:
                    self.backends.models[name].behaviour = Behaviour.SERVE
            case Fault.CRASH_BACKENDS:
                for name in names[:50]:
                    self.backends.break_connections(name)
            case Fault.TERMINATE | Fault.TERMINATE_TWICE | Fault.TERMINATE_EARLY | Fault.KILL:
                await self.restart(number, fault.fault)
            case Fault.UPGRADE:
                await self.upgrade(number)
            case Fault.HOLD_UP:
                for _ in range(HOLD_UPS):
                    held_up = self.gateways[number]  # an upgrade may put another in its place
                    held_up.signal(signal.SIGSTOP)
                    await asyncio.sleep(HELD_UP)
                    held_up.signal(signal.SIGCONT)
                    await asyncio.sleep(self.dice.uniform(0.0, 0.2))
            case Fault.RELOAD:
                await self.reload(number, names)
            case Fault.LEAVE:
                for clients in self.clients:
                    clients.leave_many(fault.part)
            case Fault.COUNTER:
                await self.trouble_counter(fault)
            case Fault.CROWD:
                await self.clients[number].crowd(self.plan.deployment.sockets, fault.lasts)

    async def trouble_counter(self, fault: FaultAt) -> None:
        """The counter is in trouble for a while, and has forgotten all names behind it half of the times."""
        self.counter.state = self.dice.choice([CounterState.SILENT, CounterState.LATE, CounterState.BUSY])
        await asyncio.sleep(fault.lasts)
        self.counter.state = CounterState.PROMPT
        if fault.part < FORGETS_FROM:
            self.counter.model.clear()

    def may_replace(self, number: int) -> bool:
        """Whether no other process of this gateway is coming or going."""
        return number not in self.busy | self.upgrading and self.gateways[number].running

    def next_turn(self, number: int) -> int:
        return sum(life.gateway == number for life in self.lives)

    async def restart(self, number: int, fault: Fault) -> None:
        if not self.may_replace(number):
            return
        self.busy.add(number)
        gateway, life = self.gateways[number], self.lives_of(number)
        if fault is not Fault.KILL:
            if fault is Fault.TERMINATE_TWICE:
                self.loop.call_later(0.1, gateway.signal, signal.SIGTERM)
            life = await self.terminate(gateway, life)
        await self.kill(gateway, life)
        self.clients[number].idle.clear()
        if fault is Fault.TERMINATE_EARLY:
            await self.start_and_terminate(number, gateway.port)
        self.gateways[number] = self.make_gateway(number, self.next_turn(number), gateway.port)
        await self.launch(self.gateways[number])
        self.busy.discard(number)

    async def start_and_terminate(self, number: int, port: int) -> None:
        """A process that is told to end before it is ready, or right then; it has to end by itself."""
        early = self.make_gateway(number, self.next_turn(number), port, self.folder / f"n{number}-early")
        starting = self.spawn(self.launch(early))
        await asyncio.sleep(self.dice.uniform(*STARTS_WITHIN))
        await self.ask_to_end(early)
        if early.running:
            self.violations.append(Violation("crash", "", f"gateway {number} did not end while it started"))
            early.signal(signal.SIGKILL)
        await starting

    async def terminate(self, gateway: GatewayProcess, life: ProcessLife) -> ProcessLife:
        """SIGTERM, and the time until SIGKILL may come, or until it has ended."""
        life = self.change_life(life, terminated_at=time.monotonic())
        await self.ask_to_end(gateway)
        return life

    async def ask_to_end(self, gateway: GatewayProcess) -> None:
        gateway.signal(signal.SIGTERM)
        kill_at = time.monotonic() + self.plan.deployment.kill_after()
        while gateway.running and time.monotonic() < kill_at:
            await asyncio.sleep(0.005)

    async def kill(self, gateway: GatewayProcess, life: ProcessLife) -> None:
        """SIGKILL to what has not ended by itself."""
        killed = gateway.running
        gateway.signal(signal.SIGKILL)
        self.change_life(life, ended_at=time.monotonic(), killed=killed)
        await gateway.wait()

    async def upgrade(self, number: int) -> None:
        """A successor takes over the listener, the state and the clients, and then the old process ends."""
        if self.reloading[number] or not self.may_replace(number):
            return
        self.upgrading.add(number)
        old, old_life = self.gateways[number], self.lives_of(number)
        new = self.make_gateway(number, self.next_turn(number), old.port, old.folder)
        logged = old.log.stat().st_size  # bytes so far: the log is shared, and may tell of hand-overs before
        await self.launch(new)
        give_up_at = time.monotonic() + HAND_OVER_WITHIN
        while not old.has_logged(HANDED_OVER, logged) and old.running:
            if time.monotonic() >= give_up_at:
                break
            await asyncio.sleep(LOOK_EVERY)
        self.gateways[number] = new
        await self.kill(old, await self.terminate(old, old_life))
        self.upgrading.discard(number)

    async def reload(self, number: int, names: list[str]) -> None:
        """Discovery moves to another address, twice in quick succession; drains begin right after."""
        if number in self.busy | self.upgrading:
            return
        self.reloading[number] += 1
        gateway = self.gateways[number]
        for _ in range(2):
            if self.gateways[number] is gateway:  # one that was started meanwhile knows of one move alone
                await self.move_discovery(gateway)
        self.reloading[number] -= 1
        self.set_states(names[:20], "DRAINING")

    async def move_discovery(self, gateway: GatewayProcess) -> None:
        agent = self.agents[gateway.number]
        before = agent.server
        await agent.start()
        gateway.configuration["discovery"] = agent.address
        gateway.write_configuration()
        self.reloads[gateway.number].append(time.monotonic())
        gateway.signal(signal.SIGHUP)
        if before is not None:
            before.close()
        await asyncio.sleep(0.2)

    # the day

    async def run(self) -> PlayResult:
        """All of it."""
        try:
            await self.start()
            began = time.monotonic()
            end = began + self.plan.seconds
            lag = self.spawn(self.note_lag())
            for clients in self.clients:
                self.spawn(clients.run(self.plan.rate, end))
            for fault in self.plan.faults:
                await asyncio.sleep(max(began + fault.at - time.monotonic(), 0.0))
                self.spawn(self.happen(fault))
            longest = max(c.deadline for c in self.plan.deployment.classes)
            await asyncio.sleep(max(end - time.monotonic(), 0.0) + longest + OVER_AFTER)
            lag.cancel()
            self.measure()
            self.judge()
        finally:
            await self.stop()
        return self.result

    async def note_lag(self) -> None:
        while True:
            due = time.monotonic() + LOOK_EVERY
            await asyncio.sleep(LOOK_EVERY)
            now = time.monotonic()
            self.lateness.note(now, now - due)
            for gateway in self.gateways:
                if gateway.running:
                    held = gateway.descriptors()
                    self.descriptors[gateway.number] = max(self.descriptors.get(gateway.number, 0), held)
            self.result.most_descriptors = max(self.descriptors.values(), default=0)

    def measure(self) -> None:
        self.result.late, self.result.late_in_all = self.lateness.most(), self.lateness.total()
        running = [gateway for gateway in self.gateways if gateway.running]
        self.result.peak_memory_mb = max((g.peak_memory_mb() for g in running), default=0.0)
        self.result.processor_seconds = sum(g.processor_seconds() for g in running)
        self.result.mean_memory_mb = sum(g.peak_memory_mb() for g in running) / max(len(running), 1)
        self.result.mean_descriptors = sum(self.descriptors.values()) / max(len(self.descriptors), 1)
        self.result.connections = self.backends.accepted
        self.result.list_bytes = sum(agent.bytes_written for agent in self.agents)
        limits = self.plan.deployment
        if self.result.peak_memory_mb > limits.memory_mb:
            self.violations.append(Violation("memory", "", f"{self.result.peak_memory_mb:.0f} MB"))
        if self.result.most_descriptors > limits.sockets:
            self.violations.append(Violation("descriptors", "", str(self.result.most_descriptors)))

    def judge(self) -> None:
        plan, requests = self.plan, list(self.requests.values())
        total = plan.rate * plan.deployment.fleet
        groups = {"all": dict.fromkeys(self.names, ""), "zone": {}, "cell": {}}
        for name in self.names:
            entry = self.entry(name)
            groups["zone"][name], groups["cell"][name] = entry["zone"], str(entry["cell"])
        seen = SeenPlay(
            plan.deployment,
            requests,
            {m.name: m.attempts for m in self.backends.models.values()},
            self.cold_starts,
            {n: agent.told for n, agent in enumerate(self.agents)},
            self.reloads,
            self.lives,
            [bad for clients in self.clients for bad in clients.bad],
            WARM_RATE * total / max(self.least_serving, 1),
            self.lateness,
            groups,
        )
        unknown = [Violation("duplicate", call_id, "no client sent it") for call_id in self.backends.unknown]
        failures = [
            Violation("soak", "", f"a client failed: {what}")
            for clients in self.clients
            for what in clients.failures
        ]
        self.result.violations = [*self.violations, *failures, *unknown, *check_all(seen)]
        self.result.requests = len(requests)
        self.result.served = sum(r.status == 200 and r.whole for r in requests)

    async def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.processes:
            gateway.signal(signal.SIGKILL)
            if gateway.child is not None:
                await gateway.wait()
        self.backends.stop()
        for peer in (*self.agents, self.counter):
            await peer.stop()

    def peers_lines(self, call_id: str) -> list[str]:
        """When a request was written and its attempts came, and how late the peers were then."""
        request, ahead = self.requests.get(call_id), time.time() - time.monotonic()
        if request is None:
            return []
        late, written = self.lateness.around(request.written_at), request.written_at + ahead
        lines = [f"peers: at={written:.4f} event=written request={call_id} late={late:.4f}"]
        for place, attempt in enumerate(request.attempts):
            late = self.lateness.around(attempt.whole_at)
            lines.append(
                f"peers: at={attempt.whole_at + ahead:.4f} event=attempt_came request={call_id} "
                f"attempt={place} backend={attempt.backend} late={late:.4f}"
            )
        return lines

    def log_lines(self, call_id: str) -> list[str]:
        """What the peers saw of a request, by the clock of the gateways' logs, and what these tell of it."""
        found = self.peers_lines(call_id)
        for path in sorted(self.folder.glob("n*/log")):
            lines = path.read_text(errors="replace").splitlines()
            found += [f"{path.parent.name}: {line}" for line in lines if f"request={call_id} " in line]
        return found


def play_plan(
    plan: SoakPlan,
    folder: pathlib.Path,
    shim: pathlib.Path | None,
    environment: Mapping[str, str] | None = None,
) -> tuple[PlayResult, list[str]]:
    """Plays a day; its result, and the log's lines of requests for which a rule broke."""

    async def whole() -> tuple[PlayResult, list[str]]:
        play = SoakPlay(plan, folder, shim, environment)
        result = await play.run()
        ids = dict.fromkeys(v.call_id for v in result.violations if v.call_id)
        return result, [line for call_id in list(ids)[:5] for line in play.log_lines(call_id)]

    folder.mkdir(parents=True, exist_ok=True)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result, lines = runner.run(whole())
    (folder / "result.json").write_text(
        json.dumps(
            {
                "seed": plan.seed,
                "plan": plan.describe(),
                "requests": result.requests,
                "served": result.served,
                "late_ms": round(1000 * result.late),
                "memory_mb": round(result.peak_memory_mb, 1),
                "descriptors": result.most_descriptors,
                "processor_s": round(result.processor_seconds, 2),
                "violations": [str(violation) for violation in result.violations],
                "log": lines,
            },
            indent=1,
        )
    )
    return result, lines
