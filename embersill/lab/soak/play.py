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
from embersill.lab.soak.checks import ProcessLife, PlayRecord, check_all
from embersill.lab.soak.clients import GatewayClients
from embersill.lab.soak.counter import CounterServer, CounterState
from embersill.lab.soak.deployment import backend_entry
from embersill.lab.soak.discovery_agent import DiscoveryAgent
from embersill.lab.soak.gateway_process import GatewayProcess, NotReady
from embersill.lab.soak.lateness import Lateness
from embersill.lab.soak.observations import Attempt, AttemptEnd, ClientRequest, Violation
from embersill.lab.soak.plan import LIST_WRITE_TIME, Fault, ScheduledFault, SoakPlan
from embersill.net.bodies import closed_by_peer

SHIM_SOURCE = pathlib.Path(__file__).parent / "shim.c"
PAUSE_TIME = 0.15  # seconds
PAUSE_COUNT = 8  # in a row
POLL_INTERVAL = 0.02  # seconds between looks for how late this process is itself
MAX_START_TIME = 10.0  # seconds, of a process that is started anew
FINAL_WAIT = 1.5  # seconds after the last request's deadline
REPLACEMENT_TIME = 3.0  # seconds in which a part of the backends is replaced
DRAIN_TIME = 1.5  # seconds from a backend's drain to its end
WARM_CAPACITY_FACTOR = 1.25  # times what a backend gets in the mean where fewest serve: what a warm one can do
FORGET_BELOW_SHARE = 0.3  # part of a fault below which a counter that was in trouble has lost its names
EARLY_SIGTERM_DELAY = (0.02, 0.6)  # seconds from a start, in which it is told to end
HANDED_OVER_LOG = "handed over to a successor"  # in the log of a process that an upgrade replaces
HAND_OVER_TIMEOUT = 5.0  # seconds from a successor's start, after which its predecessor is ended all the same
MIN_SERVING_SHARE = 0.4  # of all backends that no fault takes out together
MAX_LATE_SHARE = 0.1  # of the day in which the peers themselves ran late, from which it says nothing


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
    max_lateness: float = 0.0  # seconds, of the peers themselves at the most
    total_lateness: float = 0.0  # seconds
    peak_memory_mb: float = 0.0
    max_descriptors: int = 0
    processor_seconds: float = 0.0  # of all gateways that run at the end
    mean_memory_mb: float = 0.0  # of their peaks
    mean_descriptors: float = 0.0  # of those of each at the most
    connections: int = 0  # made to backends
    list_bytes: int = 0  # that the agents wrote

    @property
    def void(self) -> bool:
        """True where this machine was too busy for the play to say anything."""
        return self.total_lateness > MAX_LATE_SHARE * self.plan.seconds


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
        self.rng = random.Random(f"play {plan.seed}")
        self.loop = asyncio.get_running_loop()
        self.requests: dict[str, ClientRequest] = {}
        self.backend_names = [f"b{number}" for number in range(plan.backends)]
        self.backends = BackendServer(self.backend_names, self.requests, plan.seed)
        self.backends.on_attempt = self.on_attempt
        for model in self.backends.models.values():
            model.mean_work_time = plan.mean_work_time
        self.backend_states = dict.fromkeys(self.backend_names, "SERVING")
        self.backend_started_at: dict[str, float] = dict.fromkeys(self.backend_names, 0.0)
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
        self.descriptor_peaks: dict[int, int] = {}  # of each gateway, at the most
        self.min_serving = len(self.backend_names)  # backends, at any time of the day
        self.restarting: set[int] = set()  # gateways that are being restarted
        self.upgrading: set[int] = set()  # gateways with a successor beside them
        self.reloading: Counter[int] = Counter()  # how many moves of discovery a gateway follows
        self.tasks: set[asyncio.Task[None]] = set()
        self.result = PlayResult(plan)

    # the parts

    def entry(self, name: str) -> dict[str, Any]:
        return backend_entry(
            name, self.backends.host_port(name), int(name[1:]), self.backend_states[name], self.backend_started_at[name]
        )

    def on_attempt(self, request: ClientRequest, attempt: Attempt) -> None:
        """A whole attempt has come: no earlier one may be out any more."""
        for earlier in request.attempts:
            if earlier.end is AttemptEnd.OPEN and not closed_by_peer((earlier.descriptor,)):
                self.violations.append(
                    Violation("duplicate", request.call_id, f"out at {earlier.backend} and {attempt.backend}")
                )

    async def start(self) -> None:
        await self.backends.start()
        await self.counter.start()
        entries = [self.entry(name) for name in self.backend_names]
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
            setting = plan.shims[number].encode(plan.seed * 1000 + number * 10 + turn, turn > 0)
            environment |= {"LD_PRELOAD": str(self.shim), "SOAK_SHIM": setting}
        configuration = {
            "name": f"n{number}",
            "discovery": agent.address,
            "counter": self.counter.address,
            "console": f"{HOST}:{free_port()}",
            "seed": f"{self.rng.getrandbits(64):016x}",
            "known": agent.initial_list(),
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
        if took > MAX_START_TIME and not gateway.stop_requested:
            self.violations.append(Violation("ready", "", f"gateway {gateway.number} took {took:.1f} s"))
        self.lives.append(ProcessLife(gateway.number, time.monotonic()))
        self.spawn(self.watch_exit(gateway))

    async def watch_exit(self, gateway: GatewayProcess) -> None:
        """A process that ends by itself has crashed, also with a failure after SIGTERM."""
        code = await gateway.wait()
        if not gateway.stop_requested or code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.violations.append(
                Violation("crash", "", f"gateway {gateway.number} ended with {code}: {gateway.last_log_line()}")
            )

    def is_up(self, number: int) -> bool:
        return self.gateways[number].running and (
            number not in self.restarting or self.current_life(number).terminated_at < float("inf")
        )

    def current_life(self, number: int) -> ProcessLife:
        return next(life for life in reversed(self.lives) if life.gateway == number)

    def update_life(self, life: ProcessLife, **changed: Any) -> ProcessLife:
        changed_life = replace(life, **changed)
        self.lives[self.lives.index(life)] = changed_life
        return changed_life

    # what goes wrong

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """A fault that could not happen makes the play say less than it seems to: it counts as broken."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violations.append(Violation("soak", "", f"a part of the play failed: {task.exception()!r}"))

    def publish_changes(self, names: list[str]) -> None:
        """All agents are told of changes, each a little later."""
        entries = [self.entry(name) for name in names]
        for agent in self.agents:
            self.loop.call_later(self.rng.uniform(0.0, 0.2), agent.apply_changes, entries)

    def pick_backends(self, part: float) -> list[str]:
        """A part of those that serve; enough of all stay."""
        serving = [name for name, state in self.backend_states.items() if state == "SERVING"]
        spare = max(len(serving) - round(MIN_SERVING_SHARE * len(self.backend_names)), 0)
        return self.rng.sample(serving, min(round(part * len(serving)), spare))

    async def replace_backends(self, names: list[str]) -> None:
        """Each drains, is gone, and comes back cold; changes come singly, as in a release."""
        steps = max(1, len(names) // 200)
        for first in range(0, len(names), steps):
            now = names[first : first + steps]
            self.spawn(self.replace_batch(now))
            await asyncio.sleep(REPLACEMENT_TIME * steps / len(names))

    async def replace_batch(self, names: list[str]) -> None:
        self.set_states(names, "DRAINING")
        await asyncio.sleep(DRAIN_TIME)
        self.set_states(names, "DELETED")
        await asyncio.sleep(0.3)
        for name in names:
            self.backend_started_at[name] = time.time()
            self.cold_starts.setdefault(name, []).append(time.monotonic())
        self.set_states(names, "SERVING")

    def set_states(self, names: list[str], state: str) -> None:
        for name in names:
            self.backend_states[name] = state
        serving = sum(now == "SERVING" for now in self.backend_states.values())
        self.min_serving = min(self.min_serving, serving)
        self.publish_changes(names)

    async def inject_fault(self, fault: ScheduledFault) -> None:
        number, agent, names = fault.gateway, self.agents[fault.gateway], self.pick_backends(fault.share)
        match fault.fault:
            case Fault.REPLACE:
                await self.replace_backends(names)
            case Fault.DRAIN:
                self.set_states(names, "DRAINING")
            case Fault.OUTAGE:
                for each in self.agents:
                    each.set_down(True)
                await asyncio.sleep(fault.duration)
                for each in self.agents:
                    each.set_down(False)
                self.set_states(names[:20], "DRAINING")
            case Fault.BREAK_WATCHES:
                for each in self.agents:
                    each.break_watches()
                self.set_states(names[:20], "DRAINING")
            case Fault.SLOW_LISTS:
                size = 260 * len(self.backend_names)
                agent.faults.full_lists, agent.faults.indented = True, bool(number % 2)
                agent.faults.chunk_bytes, agent.faults.chunk_pause = max(size // 20, 64), LIST_WRITE_TIME / 40
                await asyncio.sleep(fault.duration)
                agent.faults.full_lists = agent.faults.indented = False
                agent.faults.chunk_bytes, agent.faults.chunk_pause = 0, 0.0
            case Fault.MISBEHAVE:
                for name in names:
                    self.backends.models[name].behaviour = fault.behaviour
                await asyncio.sleep(fault.duration)
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
                for _ in range(PAUSE_COUNT):
                    held_up = self.gateways[number]  # an upgrade may put another in its place
                    held_up.signal(signal.SIGSTOP)
                    await asyncio.sleep(PAUSE_TIME)
                    held_up.signal(signal.SIGCONT)
                    await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            case Fault.RELOAD:
                await self.reload(number, names)
            case Fault.LEAVE:
                for clients in self.clients:
                    clients.disconnect_some(fault.share)
            case Fault.COUNTER:
                await self.disturb_counter(fault)
            case Fault.CROWD:
                await self.clients[number].hold_idle_connections(self.plan.deployment.sockets, fault.duration)

    async def disturb_counter(self, fault: ScheduledFault) -> None:
        """The counter is in trouble for a while, and has forgotten all names behind it half of the times."""
        self.counter.state = self.rng.choice([CounterState.SILENT, CounterState.LATE, CounterState.BUSY])
        await asyncio.sleep(fault.duration)
        self.counter.state = CounterState.PROMPT
        if fault.share < FORGET_BELOW_SHARE:
            self.counter.model.forget_all()

    def can_replace_process(self, number: int) -> bool:
        """Whether no other process of this gateway is coming or going."""
        return number not in self.restarting | self.upgrading and self.gateways[number].running

    def next_process_index(self, number: int) -> int:
        return sum(life.gateway == number for life in self.lives)

    async def restart(self, number: int, fault: Fault) -> None:
        if not self.can_replace_process(number):
            return
        self.restarting.add(number)
        gateway, life = self.gateways[number], self.current_life(number)
        if fault is not Fault.KILL:
            if fault is Fault.TERMINATE_TWICE:
                self.loop.call_later(0.1, gateway.signal, signal.SIGTERM)
            life = await self.terminate(gateway, life)
        await self.kill(gateway, life)
        self.clients[number].idle.clear()
        if fault is Fault.TERMINATE_EARLY:
            await self.start_and_terminate(number, gateway.port)
        self.gateways[number] = self.make_gateway(number, self.next_process_index(number), gateway.port)
        await self.launch(self.gateways[number])
        self.restarting.discard(number)

    async def start_and_terminate(self, number: int, port: int) -> None:
        """A process that is told to end before it is ready, or right then; it has to end by itself."""
        early = self.make_gateway(number, self.next_process_index(number), port, self.folder / f"n{number}-early")
        starting = self.spawn(self.launch(early))
        await asyncio.sleep(self.rng.uniform(*EARLY_SIGTERM_DELAY))
        await self.terminate_and_wait(early)
        if early.running:
            self.violations.append(Violation("crash", "", f"gateway {number} did not end while it started"))
            early.signal(signal.SIGKILL)
        await starting

    async def terminate(self, gateway: GatewayProcess, life: ProcessLife) -> ProcessLife:
        """SIGTERM, and the time until SIGKILL may come, or until it has ended."""
        life = self.update_life(life, terminated_at=time.monotonic())
        await self.terminate_and_wait(gateway)
        return life

    async def terminate_and_wait(self, gateway: GatewayProcess) -> None:
        gateway.signal(signal.SIGTERM)
        kill_at = time.monotonic() + self.plan.deployment.kill_delay()
        while gateway.running and time.monotonic() < kill_at:
            await asyncio.sleep(0.005)

    async def kill(self, gateway: GatewayProcess, life: ProcessLife) -> None:
        """SIGKILL to what has not ended by itself."""
        killed = gateway.running
        gateway.signal(signal.SIGKILL)
        self.update_life(life, ended_at=time.monotonic(), killed=killed)
        await gateway.wait()

    async def upgrade(self, number: int) -> None:
        """A successor takes over the listener, the state and the clients, and then the old process ends."""
        if self.reloading[number] or not self.can_replace_process(number):
            return
        self.upgrading.add(number)
        old, old_life = self.gateways[number], self.current_life(number)
        new = self.make_gateway(number, self.next_process_index(number), old.port, old.folder)
        logged = old.log_path.stat().st_size  # bytes so far: the log is shared, and may tell of hand-overs before
        await self.launch(new)
        give_up_at = time.monotonic() + HAND_OVER_TIMEOUT
        while not old.has_logged(HANDED_OVER_LOG, logged) and old.running:
            if time.monotonic() >= give_up_at:
                break
            await asyncio.sleep(POLL_INTERVAL)
        self.gateways[number] = new
        await self.kill(old, await self.terminate(old, old_life))
        self.upgrading.discard(number)

    async def reload(self, number: int, names: list[str]) -> None:
        """Discovery moves to another address, twice in quick succession; drains begin right after."""
        if number in self.restarting | self.upgrading:
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
            lag = self.spawn(self.sample_load())
            for clients in self.clients:
                self.spawn(clients.run(self.plan.rate, end))
            for fault in self.plan.faults:
                await asyncio.sleep(max(began + fault.at - time.monotonic(), 0.0))
                self.spawn(self.inject_fault(fault))
            longest = max(c.deadline for c in self.plan.deployment.classes)
            await asyncio.sleep(max(end - time.monotonic(), 0.0) + longest + FINAL_WAIT)
            lag.cancel()
            self.measure()
            self.check_rules()
        finally:
            await self.stop()
        return self.result

    async def sample_load(self) -> None:
        while True:
            due = time.monotonic() + POLL_INTERVAL
            await asyncio.sleep(POLL_INTERVAL)
            now = time.monotonic()
            self.lateness.record(now, now - due)
            for gateway in self.gateways:
                if gateway.running:
                    held = gateway.descriptors()
                    self.descriptor_peaks[gateway.number] = max(self.descriptor_peaks.get(gateway.number, 0), held)
            self.result.max_descriptors = max(self.descriptor_peaks.values(), default=0)

    def measure(self) -> None:
        self.result.max_lateness, self.result.total_lateness = self.lateness.maximum(), self.lateness.total()
        running = [gateway for gateway in self.gateways if gateway.running]
        self.result.peak_memory_mb = max((g.peak_memory_mb() for g in running), default=0.0)
        self.result.processor_seconds = sum(g.processor_seconds() for g in running)
        self.result.mean_memory_mb = sum(g.peak_memory_mb() for g in running) / max(len(running), 1)
        self.result.mean_descriptors = sum(self.descriptor_peaks.values()) / max(len(self.descriptor_peaks), 1)
        self.result.connections = self.backends.accepted_count
        self.result.list_bytes = sum(agent.bytes_written for agent in self.agents)
        limits = self.plan.deployment
        if self.result.peak_memory_mb > limits.memory_mb:
            self.violations.append(Violation("memory", "", f"{self.result.peak_memory_mb:.0f} MB"))
        if self.result.max_descriptors > limits.sockets:
            self.violations.append(Violation("descriptors", "", str(self.result.max_descriptors)))

    def check_rules(self) -> None:
        plan, requests = self.plan, list(self.requests.values())
        total = plan.rate * plan.deployment.fleet_size
        groups = {"all": dict.fromkeys(self.backend_names, ""), "zone": {}, "cell": {}}
        for name in self.backend_names:
            entry = self.entry(name)
            groups["zone"][name], groups["cell"][name] = entry["zone"], str(entry["cell"])
        seen = PlayRecord(
            plan.deployment,
            requests,
            {m.name: m.attempts for m in self.backends.models.values()},
            self.cold_starts,
            {n: agent.drain_history for n, agent in enumerate(self.agents)},
            self.reloads,
            self.lives,
            [bad for clients in self.clients for bad in clients.bad_clients],
            WARM_CAPACITY_FACTOR * total / max(self.min_serving, 1),
            self.lateness,
            groups,
        )
        unknown = [Violation("duplicate", call_id, "no client sent it") for call_id in self.backends.unknown_call_ids]
        failures = [
            Violation("soak", "", f"a client failed: {what}")
            for clients in self.clients
            for what in clients.failures
        ]
        self.result.violations = [*self.violations, *failures, *unknown, *check_all(seen)]
        self.result.requests = len(requests)
        self.result.served = sum(r.status == 200 and r.complete for r in requests)

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

    def peer_lines(self, call_id: str) -> list[str]:
        """When a request was written and its attempts came, and how late the peers were then."""
        request, ahead = self.requests.get(call_id), time.time() - time.monotonic()
        if request is None:
            return []
        late, written = self.lateness.maximum_near(request.written_at), request.written_at + ahead
        lines = [f"peers: at={written:.4f} event=written request={call_id} late={late:.4f}"]
        for place, attempt in enumerate(request.attempts):
            late = self.lateness.maximum_near(attempt.received_at)
            lines.append(
                f"peers: at={attempt.received_at + ahead:.4f} event=attempt_came request={call_id} "
                f"attempt={place} backend={attempt.backend} late={late:.4f}"
            )
        return lines

    def log_lines(self, call_id: str) -> list[str]:
        """What the peers saw of a request, by the clock of the gateways' logs, and what these tell of it."""
        found = self.peer_lines(call_id)
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
                "late_ms": round(1000 * result.max_lateness),
                "memory_mb": round(result.peak_memory_mb, 1),
                "descriptors": result.max_descriptors,
                "processor_s": round(result.processor_seconds, 2),
                "violations": [str(violation) for violation in result.violations],
                "log": lines,
            },
            indent=1,
        )
    )
    return result, lines
