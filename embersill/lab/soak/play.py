"""Runs one day of a soak: starts peers and gateways, injects the planned faults and checks the rules."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import subprocess
import sys
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
from embersill.lab.versions import REPO_ROOT
from embersill.lab.soak.plan import LIST_WRITE_TIME, Fault, ScheduledFault, SoakPlan
from embersill.net.bodies import closed_by_peer

SHIM_SOURCE = pathlib.Path(__file__).parent / "shim.c"
PAUSE_TIME = 0.15  # seconds between SIGSTOP and SIGCONT
PAUSE_COUNT = 8  # pauses of one HOLD_UP fault
POLL_INTERVAL = 0.02  # seconds between samples of lateness and descriptors, and of the hand-over's log
MAX_START_TIME = 10.0  # seconds from the start of a process until it is ready
FINAL_WAIT = 1.5  # seconds after the last request's deadline, before the checks
REPLACEMENT_TIME = 3.0  # seconds over which the replacement of the chosen backends is spread
DRAIN_TIME = 1.5  # seconds from the start of a backend's drain to its removal
# Capacity of a warm backend, as a multiple of its mean load when the fewest backends serve.
WARM_CAPACITY_FACTOR = 1.25
FORGET_BELOW_SHARE = 0.3  # a counter fault with a smaller share ends with the loss of all names
EARLY_SIGTERM_DELAY = (0.02, 0.6)  # seconds from the start of a process to its SIGTERM: minimum, maximum
HANDED_OVER_LOG = "handed over to a successor"  # logged by a process that an upgrade replaces
HAND_OVER_TIMEOUT = 5.0  # seconds after the successor is ready; then the predecessor is ended regardless
MIN_SERVING_SHARE = 0.4  # of all backends; faults together leave at least this share serving
MAX_LATE_SHARE = 0.1  # of the day; when the peers ran late for longer, the run is void


def build_shim(folder: pathlib.Path) -> pathlib.Path:
    """Compiles the shim that makes system calls fail. Raises CalledProcessError if compilation fails."""
    library = folder / "shim.so"
    subprocess.run(
        ["cc", "-shared", "-fPIC", "-O2", "-o", str(library), str(SHIM_SOURCE), "-ldl"], check=True)
    return library


@dataclass(slots=True)
class PlayResult:
    """Violations and measurements of one day."""

    plan: SoakPlan
    violations: list[Violation] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    max_lateness: float = 0.0  # seconds, of the peers' own process
    total_lateness: float = 0.0  # seconds; see Lateness.total
    peak_memory_mb: float = 0.0
    peak_anonymous_mb: float = 0.0  # of a gateway's processes together
    max_descriptors: int = 0
    processor_seconds: float = 0.0  # of all gateways that are running at the end
    mean_memory_mb: float = 0.0  # mean of the gateways' peaks
    mean_descriptors: float = 0.0  # mean of the gateways' peaks
    connections: int = 0  # opened to backends
    list_bytes: int = 0  # written by the discovery agents

    @property
    def void(self) -> bool:
        """Whether this machine was too busy for the result to be meaningful."""
        return self.total_lateness > MAX_LATE_SHARE * self.plan.seconds


class SoakPlay:
    """One day: its peers, its gateway processes and the faults injected into them."""

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
        self.gateways: list[GatewayProcess] = []  # current process of each gateway
        self.processes: list[GatewayProcess] = []  # every process started so far
        self.clients: list[GatewayClients] = []
        self.lives: list[ProcessLife] = []
        self.reloads: dict[int, list[float]] = {}
        self.violations: list[Violation] = []
        self.descriptor_peaks: dict[int, int] = {}  # by gateway
        self.min_serving = len(self.backend_names)  # fewest backends serving at any time so far
        self.restarting: set[int] = set()  # gateways
        self.upgrading: set[int] = set()  # gateways whose successor is running as well
        self.reloading: Counter[int] = Counter()  # by gateway: reload faults under way
        self.tasks: set[asyncio.Task[None]] = set()
        self.crowd: asyncio.subprocess.Process | None = None
        self.memory_peaks: dict[int, float] = {}  # MB of anonymous memory of a gateway's processes together
        self.result = PlayResult(plan)

    # peers and gateways

    def entry(self, name: str) -> dict[str, Any]:
        """The backend's current entry in the discovery list."""
        return backend_entry(
            name,
            self.backends.host_port(name),
            int(name[1:]),
            self.backend_states[name],
            self.backend_started_at[name],
        )

    def on_attempt(self, request: ClientRequest, attempt: Attempt) -> None:
        """Called with each attempt received in full: no earlier attempt of the request may still be open."""
        for earlier in request.attempts:
            if earlier.end is AttemptEnd.OPEN and not closed_by_peer((earlier.descriptor,)):
                self.violations.append(
                    Violation(
                        "duplicate", request.call_id, f"open at {earlier.backend} and {attempt.backend}"
                    )
                )

    async def start(self) -> None:
        """Starts the peers and all gateways, and waits until the gateways are ready."""
        await self.backends.start()
        await self.counter.start()
        entries = [self.entry(name) for name in self.backend_names]
        for number in range(self.plan.deployment.gateways):
            self.agents.append(DiscoveryAgent(entries))
            await self.agents[number].start()
            self.reloads[number] = []
            self.gateways.append(self.make_gateway(number, 0, 0))
        await self.start_crowd()
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

    async def start_crowd(self) -> None:
        """Starts the plan's crowd, whose peers come again until the end of the day."""
        crowd, deployment = self.plan.crowd, self.plan.deployment
        if crowd is None:
            return
        keyed = next(c.name for c in deployment.classes if c.repeats == "by_key")
        self.crowd = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "embersill.lab.soak.crowd", str(self.gateways[crowd.gateway].port),
            "--forms", ",".join(crowd.forms), "--peers", str(crowd.peers), "--seed", str(self.plan.seed),
            "--seconds", str(self.plan.seconds + MAX_START_TIME), "--request-class", keyed,
            "--spread", str(deployment.customer_gateways), cwd=REPO_ROOT)

    def make_gateway(
        self, number: int, index: int, port: int, folder: pathlib.Path | None = None
    ) -> GatewayProcess:
        """Prepares a process of a gateway without starting it.

        Args:
            number: the gateway's index.
            index: how many processes of this gateway were ready before.
            port: the port to listen on; 0 picks a free one.
            folder: the folder of a predecessor that is still running; a new one by default.
        """
        plan, agent = self.plan, self.agents[number]
        environment = {"EMBERSILL_TRACE": "1", **self.environment}
        if self.shim is not None:
            setting = plan.shims[number].encode(plan.seed * 1000 + number * 10 + index, index > 0)
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
        folder = folder or self.folder / f"n{number}-{index}"
        return GatewayProcess(number, folder, configuration, port, environment)

    async def launch(self, gateway: GatewayProcess) -> None:
        """Starts a process and waits until it is ready; a failure or a slow start is a violation."""
        started_at = time.monotonic()
        self.processes.append(gateway)
        try:
            await gateway.start()
        except NotReady as error:
            self.violations.append(Violation("crash", "", str(error)))
            return
        took = time.monotonic() - started_at
        if took > MAX_START_TIME and not gateway.stop_requested:
            self.violations.append(Violation("ready", "", f"gateway {gateway.number} took {took:.1f} s"))
        self.lives.append(ProcessLife(gateway.number, time.monotonic()))
        self.spawn(self.watch_exit(gateway))

    async def watch_exit(self, gateway: GatewayProcess) -> None:
        """Records a crash if the process exits unasked, or with an error code after SIGTERM."""
        code = await gateway.wait()
        if not gateway.stop_requested or code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.violations.append(
                Violation(
                    "crash", "", f"gateway {gateway.number} exited with {code}: {gateway.last_log_line()}"
                )
            )

    def is_up(self, number: int) -> bool:
        """Whether clients may send requests to this gateway, also while it is ending after SIGTERM."""
        return self.gateways[number].running and (
            number not in self.restarting or self.current_life(number).terminated_at < float("inf")
        )

    def current_life(self, number: int) -> ProcessLife:
        """The life of the gateway's newest process that became ready."""
        return next(life for life in reversed(self.lives) if life.gateway == number)

    def update_life(self, life: ProcessLife, **changes: Any) -> ProcessLife:
        updated_life = replace(life, **changes)
        self.lives[self.lives.index(life)] = updated_life
        return updated_life

    # faults

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Records a failed task as a violation: a fault that was not injected would go unnoticed."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violations.append(Violation("soak", "", f"a task of the run failed: {task.exception()!r}"))

    def publish_changes(self, names: list[str]) -> None:
        """Publishes the backends' current entries to all agents, to each after a random delay."""
        entries = [self.entry(name) for name in names]
        for agent in self.agents:
            self.loop.call_later(self.rng.uniform(0.0, 0.2), agent.apply_changes, entries)

    def pick_backends(self, share: float) -> list[str]:
        """A random share of the serving backends, limited so that MIN_SERVING_SHARE of all still serve."""
        serving = [name for name, state in self.backend_states.items() if state == "SERVING"]
        spare = max(len(serving) - round(MIN_SERVING_SHARE * len(self.backend_names)), 0)
        return self.rng.sample(serving, min(round(share * len(serving)), spare))

    async def replace_backends(self, names: list[str]) -> None:
        """Drains, removes and restarts backends in batches spread over REPLACEMENT_TIME, as in a release."""
        batch_size = max(1, len(names) // 200)
        for first in range(0, len(names), batch_size):
            batch = names[first : first + batch_size]
            self.spawn(self.replace_batch(batch))
            await asyncio.sleep(REPLACEMENT_TIME * batch_size / len(names))

    async def replace_batch(self, names: list[str]) -> None:
        """Drains and removes the backends; 0.3 s later they are listed again as just started."""
        self.set_states(names, "DRAINING")
        await asyncio.sleep(DRAIN_TIME)
        self.set_states(names, "DELETED")
        await asyncio.sleep(0.3)
        for name in names:
            self.backend_started_at[name] = time.time()
            self.cold_starts.setdefault(name, []).append(time.monotonic())
        self.set_states(names, "SERVING")

    def set_states(self, names: list[str], state: str) -> None:
        """Sets the lifecycle state of backends and publishes it."""
        for name in names:
            self.backend_states[name] = state
        serving = sum(current == "SERVING" for current in self.backend_states.values())
        self.min_serving = min(self.min_serving, serving)
        self.publish_changes(names)

    async def inject_fault(self, fault: ScheduledFault) -> None:
        """Injects a fault, and ends it after its duration if it has one."""
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
                    paused = self.gateways[number]  # read each time: an upgrade may replace the process
                    paused.signal(signal.SIGSTOP)
                    await asyncio.sleep(PAUSE_TIME)
                    paused.signal(signal.SIGCONT)
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
        """Makes the counter silent, late or busy; a share below FORGET_BELOW_SHARE also clears its names."""
        self.counter.state = self.rng.choice([CounterState.SILENT, CounterState.LATE, CounterState.BUSY])
        await asyncio.sleep(fault.duration)
        self.counter.state = CounterState.PROMPT
        if fault.share < FORGET_BELOW_SHARE:
            self.counter.model.clear()

    def can_replace_process(self, number: int) -> bool:
        """Whether the gateway is running and no restart or upgrade of it is under way."""
        return number not in self.restarting | self.upgrading and self.gateways[number].running

    def next_process_index(self, number: int) -> int:
        """How many processes of this gateway have been ready so far."""
        return sum(life.gateway == number for life in self.lives)

    async def restart(self, number: int, fault: Fault) -> None:
        """Ends the gateway's process as the fault says and starts a new one on the same port."""
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
        """Starts a process and sends it SIGTERM before or just after it is ready; it has to exit in time."""
        early = self.make_gateway(
            number, self.next_process_index(number), port, self.folder / f"n{number}-early"
        )
        starting = self.spawn(self.launch(early))
        await asyncio.sleep(self.rng.uniform(*EARLY_SIGTERM_DELAY))
        await self.terminate_and_wait(early)
        if early.running:
            self.violations.append(
                Violation("crash", "", f"gateway {number} did not exit on SIGTERM during its start")
            )
            early.signal(signal.SIGKILL)
        await starting

    async def terminate(self, gateway: GatewayProcess, life: ProcessLife) -> ProcessLife:
        """Sends SIGTERM, notes when, and waits until the process exits or SIGKILL may follow."""
        life = self.update_life(life, terminated_at=time.monotonic())
        await self.terminate_and_wait(gateway)
        return life

    async def terminate_and_wait(self, gateway: GatewayProcess) -> None:
        """Sends SIGTERM and waits until the process exits, at most `Deployment.kill_delay()` seconds."""
        gateway.signal(signal.SIGTERM)
        kill_at = time.monotonic() + self.plan.deployment.kill_delay()
        while gateway.running and time.monotonic() < kill_at:
            await asyncio.sleep(0.005)

    async def kill(self, gateway: GatewayProcess, life: ProcessLife) -> None:
        """Sends SIGKILL if the process is still running, and notes how it ended."""
        killed = gateway.running
        gateway.signal(signal.SIGKILL)
        self.update_life(life, ended_at=time.monotonic(), killed=killed)
        await gateway.wait()

    async def upgrade(self, number: int) -> None:
        """Starts a successor, waits until it has taken over, and then ends the old process."""
        if self.reloading[number] or not self.can_replace_process(number):
            return
        self.upgrading.add(number)
        old, old_life = self.gateways[number], self.current_life(number)
        new = self.make_gateway(number, self.next_process_index(number), old.port, old.folder)
        # The file is that of the running process: what drained since is known to that process only.
        new.configuration["known"] = old.configuration["known"]
        # Both processes write to the same log, which may hold earlier hand-overs: search from here on.
        log_offset = old.log_path.stat().st_size
        await self.launch(new)
        give_up_at = time.monotonic() + HAND_OVER_TIMEOUT
        while not old.has_logged(HANDED_OVER_LOG, log_offset) and old.running:
            if time.monotonic() >= give_up_at:
                break
            await asyncio.sleep(POLL_INTERVAL)
        self.gateways[number] = new
        await self.kill(old, await self.terminate(old, old_life))
        self.upgrading.discard(number)

    async def reload(self, number: int, names: list[str]) -> None:
        """Moves discovery to another address twice in a row; up to 20 backends drain right after."""
        if number in self.restarting | self.upgrading:
            return
        self.reloading[number] += 1
        gateway = self.gateways[number]
        for _ in range(2):
            # A process that replaced this one was started with the current address: it is not moved again.
            if self.gateways[number] is gateway:
                await self.move_discovery(gateway)
        self.reloading[number] -= 1
        self.set_states(names[:20], "DRAINING")

    async def move_discovery(self, gateway: GatewayProcess) -> None:
        """Starts the agent on a new port, reconfigures the gateway with SIGHUP and closes the old port."""
        agent = self.agents[gateway.number]
        previous_server = agent.server
        await agent.start()
        gateway.configuration["discovery"] = agent.address
        gateway.write_configuration()
        self.reloads[gateway.number].append(time.monotonic())
        gateway.signal(signal.SIGHUP)
        if previous_server is not None:
            previous_server.close()
        await asyncio.sleep(0.2)

    # the day

    async def run(self) -> PlayResult:
        """Runs the whole day and returns its result; all processes and peers are stopped at the end."""
        try:
            await self.start()
            started_at = time.monotonic()
            end = started_at + self.plan.seconds
            sampling = self.spawn(self.sample_load())
            for clients in self.clients:
                self.spawn(clients.run(self.plan.rate, end))
            for fault in self.plan.faults:
                await asyncio.sleep(max(started_at + fault.at - time.monotonic(), 0.0))
                self.spawn(self.inject_fault(fault))
            max_deadline = max(c.deadline for c in self.plan.deployment.classes)
            await asyncio.sleep(max(end - time.monotonic(), 0.0) + max_deadline + FINAL_WAIT)
            sampling.cancel()
            self.measure()
            self.check_rules()
        finally:
            await self.stop()
        return self.result

    async def sample_load(self) -> None:
        """Samples this process's lateness and the gateways' open descriptors until cancelled."""
        while True:
            due = time.monotonic() + POLL_INTERVAL
            await asyncio.sleep(POLL_INTERVAL)
            now = time.monotonic()
            self.lateness.record(now, now - due)
            self.sample_memory()
            for gateway in self.gateways:
                if gateway.running:
                    descriptors = gateway.descriptors()
                    self.descriptor_peaks[gateway.number] = max(
                        self.descriptor_peaks.get(gateway.number, 0), descriptors
                    )
            self.result.max_descriptors = max(self.descriptor_peaks.values(), default=0)

    def sample_memory(self) -> None:
        """Keeps the greatest sum of the anonymous memory of each gateway's running processes."""
        totals: Counter[int] = Counter()
        for process in self.processes:
            if process.running:
                totals[process.number] += round(1000 * process.anonymous_memory_mb())
        for number, total in totals.items():
            self.memory_peaks[number] = max(self.memory_peaks.get(number, 0.0), total / 1000)

    def measure(self) -> None:
        """Fills in the result's measurements and checks the limits of memory and descriptors."""
        self.result.max_lateness, self.result.total_lateness = self.lateness.maximum(), self.lateness.total()
        running = [gateway for gateway in self.gateways if gateway.running]
        self.result.peak_memory_mb = max((g.peak_memory_mb() for g in running), default=0.0)
        self.result.processor_seconds = sum(g.processor_seconds() for g in running)
        self.result.mean_memory_mb = sum(g.peak_memory_mb() for g in running) / max(len(running), 1)
        self.result.mean_descriptors = sum(self.descriptor_peaks.values()) / max(
            len(self.descriptor_peaks), 1
        )
        self.result.connections = self.backends.accepted_count
        self.result.list_bytes = sum(agent.bytes_written for agent in self.agents)
        limits = self.plan.deployment
        self.result.peak_anonymous_mb = max(self.memory_peaks.values(), default=0.0)
        # with libraries and files, which the platform does not count, where there is room for them
        if self.plan.crowd is None and self.result.peak_memory_mb > limits.memory_mb:
            self.violations.append(Violation("memory", "", f"{self.result.peak_memory_mb:.0f} MB"))
        if self.result.peak_anonymous_mb > limits.memory_mb:
            detail = f"{self.result.peak_anonymous_mb:.1f} MB of anonymous memory"
            self.violations.append(Violation("memory", "", detail))
        if self.result.max_descriptors > limits.sockets:
            self.violations.append(Violation("descriptors", "", str(self.result.max_descriptors)))

    def check_rules(self) -> None:
        """Runs all checks on what the peers observed and fills in the result."""
        plan, requests = self.plan, list(self.requests.values())
        total_rate = plan.rate * plan.deployment.fleet_size
        groups = {"all": dict.fromkeys(self.backend_names, ""), "zone": {}, "cell": {}}
        for name in self.backend_names:
            entry = self.entry(name)
            groups["zone"][name], groups["cell"][name] = entry["zone"], str(entry["cell"])
        record = PlayRecord(
            plan.deployment,
            requests,
            {m.name: m.attempts for m in self.backends.models.values()},
            self.cold_starts,
            {n: agent.drain_history for n, agent in enumerate(self.agents)},
            self.reloads,
            self.lives,
            [bad for clients in self.clients for bad in clients.bad_clients],
            WARM_CAPACITY_FACTOR * total_rate / max(self.min_serving, 1),
            self.lateness,
            groups,
        )
        unknown = [
            Violation("duplicate", call_id, "no client sent it") for call_id in self.backends.unknown_call_ids
        ]
        failures = [
            Violation("soak", "", f"a client failed: {failure}")
            for clients in self.clients
            for failure in clients.failures
        ]
        self.result.violations = [*self.violations, *failures, *unknown, *check_all(record)]
        self.result.requests = len(requests)
        self.result.served = sum(r.status == 200 and r.complete for r in requests)

    async def stop(self) -> None:
        """Cancels all tasks, kills all gateway processes and stops the peers."""
        for task in list(self.tasks):
            task.cancel()
        if self.crowd is not None and self.crowd.returncode is None:
            self.crowd.kill()
            await self.crowd.wait()
        for gateway in self.processes:
            gateway.signal(signal.SIGKILL)
            if gateway.child is not None:
                await gateway.wait()
        self.backends.stop()
        for peer in (*self.agents, self.counter):
            await peer.stop()

    def peer_lines(self, call_id: str) -> list[str]:
        """One line for the sending of a request and for each attempt, each with the peers' own lateness."""
        request, unix_offset = self.requests.get(call_id), time.time() - time.monotonic()
        if request is None:
            return []
        late, written = self.lateness.maximum_near(request.written_at), request.written_at + unix_offset
        lines = [f"peers: at={written:.4f} event=written request={call_id} late={late:.4f}"]
        for index, attempt in enumerate(request.attempts):
            late = self.lateness.maximum_near(attempt.received_at)
            lines.append(
                f"peers: at={attempt.received_at + unix_offset:.4f} event=attempt_came request={call_id} "
                f"attempt={index} backend={attempt.backend} late={late:.4f}"
            )
        return lines

    def log_lines(self, call_id: str) -> list[str]:
        """What the peers and the gateways' logs recorded of a request, with times in Unix time."""
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
    """Runs a day and writes result.json to `folder`.

    Returns the result and the log lines of up to five requests that broke a rule.
    """

    async def run_play() -> tuple[PlayResult, list[str]]:
        play = SoakPlay(plan, folder, shim, environment)
        result = await play.run()
        ids = dict.fromkeys(v.call_id for v in result.violations if v.call_id)
        return result, [line for call_id in list(ids)[:5] for line in play.log_lines(call_id)]

    folder.mkdir(parents=True, exist_ok=True)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result, lines = runner.run(run_play())
    (folder / "result.json").write_text(
        json.dumps(
            {
                "seed": plan.seed,
                "plan": plan.describe(),
                "requests": result.requests,
                "served": result.served,
                "late_ms": round(1000 * result.max_lateness),
                "memory_mb": round(result.peak_memory_mb, 1),
                "anonymous_mb": round(result.peak_anonymous_mb, 1),
                "descriptors": result.max_descriptors,
                "processor_s": round(result.processor_seconds, 2),
                "violations": [str(violation) for violation in result.violations],
                "log": lines,
            },
            indent=1,
        )
    )
    return result, lines
