"""The gateway program: starts the gateway's parts, reloads the configuration on SIGHUP, stops on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import resource
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, cast

import uvloop

from embersill.control import Gateway
from embersill.interface import ListKind, Settings
from embersill.net.backends import Dialer
from embersill.net.clients import BACKLOG, ClientServer
from embersill.net.console import MAX_CONSOLE_CONNECTIONS, CommandRejected, Console
from embersill.net.counter import Counter, CounterClient
from embersill.net.discovery import MIN_LIST_BYTES, LIST_MEMORY_FACTOR, MAX_LIST_BYTES, Discovery
from embersill.net.driver import Driver
from embersill.net.handover import Handover
from embersill.net.lameduck import LameDuck
from embersill.net.list_exchange import ListExchange, choose_initial_list
from embersill.net.list_log import ListLogReader
from embersill.net.list_position import ListSource
from embersill.net.list_feed import SLICE_ENTRIES, list_decoder
from embersill.net.memory import MB, plan_budget
from embersill.net.overload import OverloadManager
from embersill.net.process_memory import ProcessMemory
from embersill.net.listing import Address, InvalidList, Listing, read_address, read_addresses, read_listing
from embersill.net.listening import open_listener
from embersill.net.trace import make_trace
from embersill.settings import ConnectionLimits, read_aggregation, read_limits, read_pool, read_settings

if TYPE_CHECKING:
    from embersill.net.aggregation import AggregatorRouter

# Descriptors reserved for the listeners, discovery, the counter, the console's connections and the runtime.
RESERVED_DESCRIPTORS = 48 + MAX_CONSOLE_CONNECTIONS
MAX_RESERVED_SHARE = 0.25  # fraction of all descriptors that RESERVED_DESCRIPTORS may take
MAX_AGGREGATOR_SOCKETS = 64  # further descriptors, reserved for aggregators and their list if configured
MAX_AGGREGATOR_SHARE = 0.125  # fraction of all descriptors that MAX_AGGREGATOR_SOCKETS may take
# Fraction of the reserved descriptors for aggregators that a reload adds, as no others are free by then.
LATE_AGGREGATOR_SHARE = 0.25
MIN_SOCKETS = 32  # descriptors; with fewer there are none left to serve with
CLIENT_SHARE = 0.6  # fraction of the other descriptors for clients: waiting requests need none to backends
DEFAULT_MEMORY_MB = 32
USED_MEMORY = 20 * MB  # bytes used by the runtime and the program without traffic, with a margin
FIRST_LIST_TIMEOUT = 0.3  # seconds to wait for discovery's list before the cached list is used
READ_AHEAD_AFTER = 0.1  # seconds of them after which the list that an earlier process left is read
# Seconds after SIGTERM in which clients still connect: the time that the protocol allows them, with a margin.
ACCEPT_AFTER_SIGTERM = 0.5
# Seconds: SIGKILL follows SIGTERM no earlier than after the longest deadline, or MAX_COUNTED_DEADLINE if that
# is shorter, and KILL_DELAY more.
KILL_DELAY, MAX_COUNTED_DEADLINE = 0.7, 3.0
KILL_MARGIN = 0.3  # seconds before SIGKILL by which all requests are answered
DEFAULT_LAME_DUCK_TIME = 5.0  # seconds; load balancers notice the lame duck in some four
CONSOLE_LINGER = 30.0  # seconds after a drain for which the console still reports that nothing is open
# Seconds for which the console still reports a lame duck's successor: the upgrade may kill this process soon.
CONSOLE_LINGER_HANDED_OVER = 1.0
DRAIN_TIMEOUT = 600.0  # seconds that a drain waits for open requests: a body of 32 MB takes 512 at 64 kB/s
CLOSE_POLL_INTERVAL = 0.02  # seconds between checks for connections that became idle
FINAL_READ_TIME = 0.15  # seconds to read requests already sent on the connections that were accepted last
FINAL_WRITE_TIMEOUT = 0.25  # seconds for clients to read their answers

log = logging.getLogger("embersill")


class BadConfiguration(Exception):
    """The configuration is invalid: the gateway can't start with it."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """Configuration of this process, from its file and environment.

    sockets: descriptors that it may use
    known: cached list of backends
    lame_duck_time: seconds from the start of a drain until no more requests are accepted
    state_directory: for the hand-over, private to this gateway; a predecessor may have left files there
    aggregators: addresses of the aggregators' list service; empty if none are used
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[Address, ...]  # the first is preferred
    file_discovery: tuple[Address, ...]  # by the file, () if it names none; the environment goes before it
    counter: tuple[str, int] | None
    console: tuple[str, int] | None
    seed: int
    sockets: int
    memory_mb: float
    known: Listing
    settings: Settings
    limits: ConnectionLimits
    lame_duck_time: float
    state_directory: str | None
    aggregators: tuple[Address, ...] = ()


def read_configuration(environ: dict[str, str]) -> Configuration:
    """Reads the file that RELAY_CONFIG names; the other RELAY_ variables override parts of it.

    Raises BadConfiguration, with a message of one line.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise BadConfiguration("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            parsed = json.load(file)
        return build_configuration(parsed, environ)
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise BadConfiguration(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, InvalidList) as error:
        raise BadConfiguration(f"{path}: {' '.join(str(error).split())}") from error


def build_configuration(parsed: dict[str, Any], environ: dict[str, str]) -> Configuration:
    settings = replace(
        read_settings(parsed["settings"]), pool=read_pool(parsed.get("pool", {})),
        aggregation=read_aggregation(parsed.get("aggregation")))
    counter = read_address(parsed["counter"]) if settings.counter else None
    console = environ.get("RELAY_CONSOLE") or parsed.get("console")
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = min(int(parsed["limits"]["sockets"]), soft_limit)
    if sockets < MIN_SOCKETS:
        raise ValueError(f"limits: sockets is below {MIN_SOCKETS}")
    return Configuration(
        name=str(environ.get("RELAY_NAME") or parsed["name"]),
        listen=read_address(environ.get("RELAY_LISTEN") or parsed["listen"]),
        discovery=read_addresses(environ.get("RELAY_DISCOVERY") or parsed["discovery"]),
        file_discovery=read_file_discovery(parsed),
        counter=counter, console=read_address(console) if console else None,
        seed=int(parsed["seed"], 16), sockets=sockets,
        memory_mb=float(parsed["limits"].get("memory_mb", DEFAULT_MEMORY_MB)),
        known=read_listing(parsed["known"], ListKind.CACHED), settings=settings,
        limits=read_limits(parsed["settings"]), lame_duck_time=read_lame_duck(parsed),
        state_directory=environ.get("TMPDIR") or None, aggregators=read_aggregators(settings),
    )


def read_file_discovery(parsed: dict[str, Any]) -> tuple[Address, ...]:
    """Returns the addresses of discovery by the file; () where it has none that can be used."""
    try:
        return read_addresses(parsed["discovery"])
    except (KeyError, ValueError, TypeError, AttributeError):
        return ()


def read_aggregators(settings: Settings) -> tuple[Address, ...]:
    """Returns the addresses of the aggregators' list service, () if none is configured."""
    if settings.aggregation is None or not settings.aggregation.directory:
        return ()
    if not settings.counter:
        raise ValueError("aggregation: directory is set, but the settings have no counter")
    return read_addresses(settings.aggregation.directory)


def read_lame_duck(parsed: dict[str, Any]) -> float:
    value = parsed.get("lame_duck_s", DEFAULT_LAME_DUCK_TIME)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 3600:
        raise ValueError("lame_duck_s must be a number of seconds from 0 to 3600")
    return float(value)


def start_clock() -> Callable[[], float]:
    """Returns a clock of Unix time that is never stepped.

    All gateways must agree on it, for the counter's periods and the start times of backends.
    """
    offset = time.time() - time.monotonic()
    monotonic = time.monotonic
    return lambda: offset + monotonic()


class Program:
    """The parts of one gateway, from start to stop."""

    def __init__(self, configuration: Configuration, predecessor: socket.socket | None = None) -> None:
        """`predecessor`: a connection to the process that runs already, if it was made before."""
        clock = start_clock()
        self.loop = asyncio.get_running_loop()
        reserve = min(RESERVED_DESCRIPTORS, int(configuration.sockets * MAX_RESERVED_SHARE))
        self.aggregator_sockets = int(reserve * LATE_AGGREGATOR_SHARE)
        free = configuration.sockets - reserve
        if configuration.aggregators:
            self.aggregator_sockets = min(
                MAX_AGGREGATOR_SOCKETS, int(configuration.sockets * MAX_AGGREGATOR_SHARE))
            free -= self.aggregator_sockets
        clients = int(free * CLIENT_SHARE)
        self.memory = plan_budget(configuration.memory_mb * MB, clients, free - clients)
        self.dialer = Dialer(
            clock, configuration.limits.dial_timeout, configuration.limits.keepalive, free - clients,
            configuration.settings.pool, configuration.seed, self.memory)
        self.driver = Driver(Gateway(configuration.settings, configuration.seed, clock()), clock, self.dialer)
        self.driver.use_trace(make_trace(os.environ, clock))
        self.aggregators = configuration.aggregators
        self.driver.counter = self.make_counter(configuration)
        self.make_discovery(configuration, predecessor is not None)
        self.driver.list_figures = self.discovery.figures
        self.driver.list_status = self.discovery.list_status
        memory = max(configuration.memory_mb * MB - USED_MEMORY, 0)
        self.discovery.max_list_bytes = int(
            min(max(memory / LIST_MEMORY_FACTOR, MIN_LIST_BYTES), MAX_LIST_BYTES))
        self.front = ClientServer(self.driver, configuration.settings, clock, clients, self.can_serve)
        self.process_memory = ProcessMemory()
        self.overload = OverloadManager(
            self.memory, configuration.memory_mb * MB, self.front, self.driver.figures.other_counts,
            self.process_memory)
        self.front.overload = self.driver.overload = self.overload
        self.stop_requested = asyncio.Event()  # by a signal, or as the lame duck period has ended
        self.lame_duck = LameDuck(clock, self.front, self.stop_requested.set)
        self.handover = Handover(
            configuration.state_directory, self.driver, self.front, self.lame_duck, self.overload,
            self.lists, predecessor)
        self.handover.on_reload = self.reload
        longest = max((c.deadline for c in configuration.settings.classes), default=MAX_COUNTED_DEADLINE)
        self.stop_timeout = min(longest, MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN
        self.listen_address, self.console_address = configuration.listen, configuration.console
        self.console = Console({
            "STATUS": self.status, "METRICS": self.metrics, "SUSPEND": self.suspend, "RESTORE": self.restore,
            "OUT": self.report_in_flight, "PHASE": self.report_phase, "DRAIN": self.drain,
            "SERVE": self.end_lame_duck})
        self.lame_duck_time, self.started_at = configuration.lame_duck_time, clock()
        self.finished = False  # nothing is open any more but the console
        self.signal_received = asyncio.Event()
        # an operator has got the answer that nothing is open any more, or where the successor is
        self.final_state_reported = asyncio.Event()
        self.discovery_task: asyncio.Task[None] | None = None
        self.list_settled = False  # the list is from discovery, or that was waited for long enough

    def make_discovery(self, configuration: Configuration, has_predecessor: bool) -> None:
        """Creates the client of discovery, which starts with the newest list that is known here.

        A predecessor that runs may hand over its list: it is read from the log only if that fails.
        """
        directory, reader = configuration.state_directory, ListLogReader()
        initial = choose_initial_list(
            configuration.known, configuration.discovery, configuration.file_discovery,
            reader.read_from(directory) if directory and not has_predecessor else None)
        self.driver.on_list(initial.listing())
        self.discovery = Discovery(
            initial.addresses, configuration.limits.dial_timeout, self.driver.on_list,
            initial.position.generation if initial.entries else None, configuration.seed,
            configuration.settings.gateways,
            configuration.limits.grace if configuration.settings.list_pushed else None, initial.entries)
        if initial.source is ListSource.LIST_LOG:
            self.discovery.adopt(initial.position, initial.source)
        if len(initial.entries) > SLICE_ENTRIES:
            list_decoder()  # loaded now, so that the first long list is not delayed
        self.lists = ListExchange(self.discovery, directory, reader, configuration.file_discovery)

    def make_counter(self, configuration: Configuration) -> CounterClient | None:
        """Returns the client for counter calls, which go to aggregators if these are configured."""
        clock, timeout, dial_timeout = (
            self.driver.clock, configuration.settings.counter_timeout, configuration.limits.dial_timeout)
        if configuration.counter is None:
            return None
        if not configuration.aggregators:
            return Counter(
                clock, configuration.counter, timeout, dial_timeout, self.driver.on_counter_call_ended)
        from embersill.net.aggregation import AggregatorRouter  # loaded only if used
        return AggregatorRouter(
            clock, configuration.aggregators, timeout, dial_timeout, self.driver.on_counter_call_ended,
            self.aggregator_sockets, configuration.seed, configuration.settings.gateways)

    def can_serve(self) -> bool:
        return self.list_settled and bool(self.driver.serving)

    # commands of the console

    async def status(self, words: list[str]) -> str:
        expect_no_arguments(words)
        remaining = self.lame_duck.remaining()
        if remaining is not None and not self.front.stopping:
            raise CommandRejected(f"a lame duck, which ends in {remaining:.1f} s")
        if not self.front.is_ready():
            raise CommandRejected("stopping" if self.front.stopping else "not ready to serve")
        self.reject_if_handed_over()
        return "done ready to serve"

    async def metrics(self, words: list[str]) -> str:
        expect_no_arguments(words)
        return f"{self.driver.metrics()}\nend"

    async def suspend(self, words: list[str]) -> str:
        backend = expect_backend_id(words)
        if not self.driver.suspend(backend):
            raise CommandRejected(f"{backend} was never listed")
        await self.handover.share_suspension("suspend", backend)
        log.info("%s was suspended by an operator", backend)
        return f"done {backend} is taken out"

    async def restore(self, words: list[str]) -> str:
        backend = expect_backend_id(words)
        if not self.driver.restore(backend):
            raise CommandRejected(f"{backend} was never listed")
        await self.handover.share_suspension("restore", backend)
        log.info("the suspension of %s was ended by an operator", backend)
        return f"done {backend} may serve again"

    async def report_in_flight(self, words: list[str]) -> str:
        backend = expect_backend_id(words)
        answer = {"state": self.driver.backend_state(backend), "out": self.driver.attempts_in_flight(backend),
                  "list": self.discovery.newest_generation}
        return self.format_done(answer)

    def format_done(self, answer: dict[str, Any]) -> str:
        """Returns an answer of one JSON object; it names the successor for the operator to go on with."""
        if self.handover.successor_console:
            answer["successor"] = self.handover.successor_console
        return f"done {json.dumps(answer)}"

    def phase(self) -> str:
        if self.handover.handed_over:
            return "handed over"
        if self.front.stopping:
            return "empty" if self.finished else "closing"
        return "serving" if self.lame_duck.ends_at is None else "lame duck"

    async def report_phase(self, words: list[str]) -> str:
        expect_no_arguments(words)
        if self.finished or self.handover.handed_over:
            self.final_state_reported.set()
        return self.format_done({
            "phase": self.phase(), "open": self.driver.unanswered, "ready": self.front.is_ready(),
            "clients": len(self.front.connections), "started": self.started_at})

    async def drain(self, words: list[str]) -> str:
        """Starts the lame duck period; a repeated command changes nothing."""
        expect_no_arguments(words)
        self.reject_if_handed_over()
        if self.phase() == "serving" and not self.stop_requested.is_set():
            self.lame_duck.set(self.lame_duck_time)
            self.handover.send_lame_duck()
            log.info("lame duck for %.1f s, then the process exits", self.lame_duck_time)
        return await self.report_phase([])

    async def end_lame_duck(self, words: list[str]) -> str:
        expect_no_arguments(words)
        self.reject_if_handed_over()
        if self.stop_requested.is_set():
            raise CommandRejected("it is too late, the process ends")
        if self.lame_duck.ends_at is not None:
            self.lame_duck.set(None)
            self.handover.send_lame_duck()
            log.info("the lame duck period was cancelled")
        return await self.report_phase([])

    def reject_if_handed_over(self) -> None:
        if self.handover.handed_over:
            raise CommandRejected(f"handed over to a successor {self.handover.successor_console}".rstrip())

    def request_stop(self) -> None:
        self.signal_received.set()
        self.stop_requested.set()

    async def run(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.request_stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.on_reload_signal)
        await self.start()
        gc.freeze()  # the objects of the start-up stay, so the collector need not scan them
        await self.stop_requested.wait()
        await self.stop()

    async def wait_until_idle(self, at_most: float, signal_ends: bool = False) -> None:
        """Waits until all requests are answered and all connections are closed, each as it becomes idle.

        A connection with unread data is read first, so that it is not closed under a request.

        at_most: seconds to wait
        signal_ends: stop waiting at SIGTERM
        """
        end = self.driver.clock() + at_most
        while not self.front.close_idle_without_unread() or self.driver.unanswered:
            if signal_ends and self.signal_received.is_set() or self.driver.clock() >= end:
                return
            await asyncio.sleep(CLOSE_POLL_INTERVAL)

    async def linger(self) -> None:
        """Keeps the console open after a drain until it has reported that nothing is open, or the successor.

        If the console were just closed, an operator could not tell a finished drain from a crash.
        """
        handed_over = self.handover.handed_over
        if self.lame_duck.ends_at is None or self.signal_received.is_set() and not handed_over:
            return
        events = (
            (self.final_state_reported,) if handed_over
            else (self.signal_received, self.final_state_reported))
        waits = [self.loop.create_task(event.wait()) for event in events]
        timeout = CONSOLE_LINGER_HANDED_OVER if handed_over else CONSOLE_LINGER
        await asyncio.wait(waits, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        await asyncio.sleep(FINAL_READ_TIME)  # for the answer to be sent

    async def listen_for_clients(self) -> None:
        """Starts to accept clients; raises OSError if the address can't be used."""
        self.front.listen_on(await open_listener(self.listen_address, BACKLOG, share_port=True))

    async def start(self) -> None:
        if self.console_address is not None:
            self.handover.console_address = await self.console.listen(self.console_address)
        has_predecessor = self.handover.connect_to_predecessor()
        if not has_predecessor:
            await self.listen_for_clients()
        self.discovery_task = self.loop.create_task(self.discovery.run())
        if not await self.wait_for_list(READ_AHEAD_AFTER):
            self.lists.read_ahead()
            await self.wait_for_list(FIRST_LIST_TIMEOUT - READ_AHEAD_AFTER)
        if not has_predecessor or not await self.handover.take_over():
            self.handover.restore_from_files()
            if has_predecessor:
                await self.listen_for_clients()
        self.handover.listen()
        self.list_settled = True
        if not (self.discovery.has_responded.is_set() or self.discovery.source_logged):
            self.discovery.log_source()
        self.lists.start_log()
        self.overload.start()

    async def wait_for_list(self, seconds: float) -> bool:
        """Waits for discovery's first list; returns whether it is there."""
        try:
            async with asyncio.timeout(seconds):
                return await self.discovery.has_responded.wait()
        except TimeoutError:
            return False

    def on_reload_signal(self) -> None:
        self.reload()
        self.handover.send_reload()

    def reload(self) -> None:
        """Applies changed addresses of discovery and the counter, and changed pool and counter call settings.

        RELAY_DISCOVERY is ignored, as the file is newer.
        """
        environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
        try:
            configuration = read_configuration(environ)
        except BadConfiguration as error:
            return log.warning("the configuration stays as it was: %s", error)
        log.info(
            "discovery is now at %s", ",".join(f"{host}:{port}" for host, port in configuration.discovery))
        self.discovery.set_addresses(configuration.discovery)
        self.lists.note_reload()
        self.driver.change_settings(configuration.settings.pool, configuration.settings.aggregation)
        self.move_counter(configuration)
        return None

    def move_counter(self, configuration: Configuration) -> None:
        """Sends counter calls to the new addresses; calls in flight may still be answered by the old ones."""
        previous, was_routed = self.driver.counter, bool(self.aggregators)
        if previous is None or configuration.counter is None:
            return
        self.aggregators = configuration.aggregators
        if was_routed != bool(configuration.aggregators):
            self.driver.counter = self.make_counter(configuration)
            self.loop.call_later(configuration.settings.counter_timeout, previous.close)
        elif isinstance(previous, Counter):
            previous.set_address(configuration.counter)
        else:
            cast("AggregatorRouter", previous).set_directory(configuration.aggregators)

    async def stop(self, accept_time: float = ACCEPT_AFTER_SIGTERM, timeout: float | None = None) -> None:
        """Accepts the last clients, answers all requests and closes everything.

        accept_time: seconds for which clients are still accepted
        timeout: seconds by which all requests are answered; None: stop_timeout
        """
        self.front.stopping = True
        remaining = self.stop_timeout if timeout is None else timeout
        drained = self.lame_duck.ends_at is not None  # then no SIGKILL follows
        if not drained:
            self.driver.stop_deadline = self.driver.clock() + remaining
        if self.handover.handed_over:
            await self.front.wait_handed_over(remaining)
            await self.front.stop_listening()
        else:
            await asyncio.sleep(accept_time)
            await self.front.stop_listening()
            await asyncio.sleep(FINAL_READ_TIME)
            remaining = max(remaining - accept_time - FINAL_READ_TIME, 0.0)
            if drained:
                await self.wait_until_idle(DRAIN_TIMEOUT, signal_ends=True)
                self.driver.stop_deadline = self.driver.clock() + remaining
            await self.wait_until_idle(self.driver.stop_deadline - self.driver.clock())
        self.driver.stop_deadline = self.driver.clock()  # requests that are read from now on are rejected
        self.driver.fail_all_unanswered()
        self.front.close_idle()
        await asyncio.gather(
            self.front.wait_flushed(FINAL_WRITE_TIMEOUT), self.driver.flush_counts(FINAL_WRITE_TIMEOUT))
        self.front.close()
        self.overload.close()
        self.process_memory.close()
        if self.discovery_task is not None:
            self.discovery_task.cancel()
            self.discovery.disconnect()
        self.driver.log_figures()
        self.driver.report_timer.cancel()
        self.dialer.close()
        if self.driver.counter is not None:
            self.driver.counter.close()
        self.handover.close()
        self.finished = True
        await self.linger()
        self.console.close()


def expect_no_arguments(words: list[str]) -> None:
    if words:
        raise CommandRejected("this call has nothing after its name")


def expect_backend_id(words: list[str]) -> str:
    if len(words) != 1:
        raise CommandRejected("this call names one backend")
    return words[0]


async def run_program(configuration: Configuration, predecessor: socket.socket | None) -> None:
    await Program(configuration, predecessor).run()


def run_gateway(predecessor: socket.socket | None = None) -> int:
    """Runs the gateway until it has stopped; returns the exit code.

    predecessor: a connection to the process that runs already, if there is one
    """
    logging.basicConfig(format="%(name)s: %(message)s", level=logging.INFO)
    try:
        configuration = read_configuration(dict(os.environ))
    except BadConfiguration as error:
        print(f"embersill: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run_program(configuration, predecessor))
    except OSError as error:
        print(f"embersill: {error}", file=sys.stderr)
        return 1
    return 0
