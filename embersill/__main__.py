"""The gateway: reads its configuration, again on SIGHUP, starts the parts, and stops in order on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, cast

import uvloop

from embersill.control import Gateway
from embersill.interface import ListKind, Settings
from embersill.net.backends import Dialer
from embersill.net.clients import BACKLOG, Front
from embersill.net.console import MOST_CALLERS, Console, Refused
from embersill.net.counter import Counter, CounterClient
from embersill.net.discovery import MIN_LIST_BYTES, LIST_MEMORY_FACTOR, MAX_LIST_BYTES, Discovery
from embersill.net.driver import Driver
from embersill.net.handover import Handover
from embersill.net.lameduck import LameDuck
from embersill.net.list_feed import SLICE_ENTRIES, list_decoder
from embersill.net.listing import Address, InvalidList, Listing, read_address, read_addresses, read_listing
from embersill.net.listening import open_listener
from embersill.net.trace import make_trace
from embersill.settings import Limits, read_aggregation, read_limits, read_pool, read_settings

if TYPE_CHECKING:
    from embersill.net.aggregation import AggregatorRouter

RESERVE = 48 + MOST_CALLERS  # descriptors kept for the listeners, discovery, the counter, the console's
# callers, and what the run-time itself needs
RESERVE_PART = 0.25  # of the descriptors, at most, that this may be
AGGREGATOR_SOCKETS = 64  # descriptors kept besides for aggregators and their list, where these are configured
AGGREGATOR_PART = 0.125  # of the descriptors, at most, that these may be
UNPLANNED_PART = 0.25  # of the reserve for aggregators that a running gateway is told of: no other is free
LEAST_SOCKETS = 32  # with fewer there is nothing left to serve with
CLIENTS_PART = 0.6  # of the other descriptors: held requests need none at the backends' side
MB = 1024 * 1024
LEAST_MEMORY = 32  # MB, where the configuration does not tell
BASE_MEMORY = 20 * MB  # what the run-time and the program hold without any traffic, and a little
BODIES_PART = 0.5  # of the rest that bodies on their way may fill, with all clients at it, both ways
LEAST_SHARE, MOST_SHARE = 8 * 1024, 64 * 1024  # bytes that may wait for a peer
FIRST_LIST_WITHIN = 0.3  # seconds to wait for discovery's own word before the remembered list must do
STILL_COMING = 0.5  # seconds after SIGTERM in which clients still connect, by the protocol, and a little
KILL_AFTER, LONGEST_COUNTED = 0.7, 3.0  # SIGKILL follows SIGTERM no sooner than the longest deadline, counted
# as 3 s where it is longer, and 0.7 s more
BEFORE_KILL = 0.3  # seconds before that by which all is answered
LAME_DUCK = 5.0  # seconds of it, where the configuration does not tell: fronts notice in some four
LAST_WORD = 30.0  # seconds after a drain for which the console is there to tell that nothing is open
LAST_WORD_HANDED = 1.0  # and to tell where a lame duck's successor is: an upgrade's kill may be near
DRAINED_WITHIN = 600.0  # seconds that a drain may wait for what runs: a body of 32 MB at 64 kB a second
CLOSE_EVERY = 0.02  # seconds between looks for connections that fell idle
LAST_READ = 0.15  # seconds in which the last connections taken in bring what was already sent on them
LAST_BYTES = 0.25  # seconds for clients to take what was written to them


log = logging.getLogger("embersill")


class BadConfiguration(Exception):
    """The gateway can't start with what it was told."""


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen: tuple[str, int]
    discovery: tuple[Address, ...]  # the first is preferred
    counter: tuple[str, int] | None
    console: tuple[str, int] | None
    seed: int
    sockets: int
    memory_mb: float
    known: Listing
    settings: Settings
    limits: Limits
    lame_duck: float  # seconds between a drain's begin and the end of taking requests
    folder: str | None  # private to this gateway: a process that ran before may have left something there
    aggregators: tuple[Address, ...] = ()  # the list service of the aggregators, if there are any


def read_configuration(environ: dict[str, str]) -> Configuration:
    """RELAY_CONFIG's file; the other variables hold parts of it and go before it where they are set."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise BadConfiguration("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
        return build_configuration(told, environ)
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise BadConfiguration(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, InvalidList) as error:
        raise BadConfiguration(f"{path}: {' '.join(str(error).split())}") from error


def build_configuration(told: dict[str, Any], environ: dict[str, str]) -> Configuration:
    settings = replace(
        read_settings(told["settings"]), pool=read_pool(told.get("pool", {})),
        aggregation=read_aggregation(told.get("aggregation")))
    counter = read_address(told["counter"]) if settings.counter else None
    console = environ.get("RELAY_CONSOLE") or told.get("console")
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = min(int(told["limits"]["sockets"]), soft)
    if sockets < LEAST_SOCKETS:
        raise ValueError(f"limits: sockets is below {LEAST_SOCKETS}")
    return Configuration(
        name=str(environ.get("RELAY_NAME") or told["name"]),
        listen=read_address(environ.get("RELAY_LISTEN") or told["listen"]),
        discovery=read_addresses(environ.get("RELAY_DISCOVERY") or told["discovery"]),
        counter=counter, console=read_address(console) if console else None,
        seed=int(told["seed"], 16), sockets=sockets,
        memory_mb=float(told["limits"].get("memory_mb", LEAST_MEMORY)),
        known=read_listing(told["known"], ListKind.CACHED), settings=settings,
        limits=read_limits(told["settings"]), lame_duck=read_lame_duck(told),
        folder=environ.get("TMPDIR") or None, aggregators=read_aggregators(settings),
    )


def read_aggregators(settings: Settings) -> tuple[Address, ...]:
    """Where the aggregators are listed; nowhere, unless the configuration says so."""
    if settings.aggregation is None or not settings.aggregation.directory:
        return ()
    if not settings.counter:
        raise ValueError("aggregation: directory is told, and the settings have no counter")
    return read_addresses(settings.aggregation.directory)


def read_lame_duck(told: dict[str, Any]) -> float:
    value = told.get("lame_duck_s", LAME_DUCK)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 3600:
        raise ValueError("lame_duck_s is no number of seconds up to an hour")
    return float(value)


def start_clock() -> Callable[[], float]:
    """Unix time that never jumps: periods and backends' starts are told by it at every gateway alike."""
    began = time.time() - time.monotonic()
    monotonic = time.monotonic
    return lambda: began + monotonic()


class Program:
    """The parts of one gateway, from start to stop."""

    def __init__(self, told: Configuration) -> None:
        clock = start_clock()
        self.loop = asyncio.get_running_loop()
        reserve = min(RESERVE, int(told.sockets * RESERVE_PART))
        self.aggregator_sockets = int(reserve * UNPLANNED_PART)
        free = told.sockets - reserve
        if told.aggregators:
            self.aggregator_sockets = min(AGGREGATOR_SOCKETS, int(told.sockets * AGGREGATOR_PART))
            free -= self.aggregator_sockets
        clients = int(free * CLIENTS_PART)
        self.dialer = Dialer(
            clock, told.limits.dial_timeout, told.limits.keepalive, free - clients, told.settings.pool,
            told.seed)
        self.driver = Driver(Gateway(told.settings, told.seed, clock()), clock, self.dialer)
        self.driver.use_trace(make_trace(os.environ, clock))
        self.aggregators = told.aggregators
        self.driver.counter = self.make_counter(told)
        self.driver.list_told(told.known)
        version = told.known.generation if told.known.entries else None
        self.discovery = Discovery(
            told.discovery, told.limits.dial_timeout, self.driver.list_told, version, told.seed,
            told.settings.gateways, told.limits.grace if told.settings.list_pushed else None,
            told.known.entries)
        if len(told.known.entries) > SLICE_ENTRIES:
            list_decoder()  # now, and not when the first long list has come
        self.driver.list_figures = self.discovery.figures
        memory = max(told.memory_mb * MB - BASE_MEMORY, 0)
        self.discovery.max_list_bytes = int(min(max(memory / LIST_MEMORY_FACTOR, MIN_LIST_BYTES), MAX_LIST_BYTES))
        if len(told.discovery) > 1:
            self.driver.list_age = self.discovery.list_age
        room = memory * BODIES_PART / (2 * clients)
        share = int(min(max(room, LEAST_SHARE), MOST_SHARE))
        self.front = Front(self.driver, told.settings, clock, clients, self.serves, share)
        self.stopped = asyncio.Event()  # it is to end, by a signal or at the end of a lame duck's time
        self.duck = LameDuck(clock, self.front, self.stopped.set)
        self.handover = Handover(told.folder, self.driver, self.front, self.duck)
        longest = max((c.deadline for c in told.settings.classes), default=LONGEST_COUNTED)
        self.all_answered = min(longest, LONGEST_COUNTED) + KILL_AFTER - BEFORE_KILL
        self.listen, self.console_at = told.listen, told.console
        self.console = Console({
            "STATUS": self.status, "METRICS": self.metrics, "SUSPEND": self.suspend, "RESTORE": self.restore,
            "OUT": self.out, "PHASE": self.phase_now, "DRAIN": self.drain, "SERVE": self.serve_again})
        self.lame_duck, self.started = told.lame_duck, clock()
        self.empty = False  # nothing is open any more, and only the console is left
        self.signalled = asyncio.Event()
        self.heard_last = asyncio.Event()  # staff were told that nothing is open any more, or of a successor
        self.following: asyncio.Task[None] | None = None
        self.settled = False  # the list is discovery's own, or as good as can be had

    def make_counter(self, told: Configuration) -> CounterClient | None:
        """What makes the counter calls: over aggregators where these are configured."""
        clock, patience, dial = self.driver.clock, told.settings.counter_timeout, told.limits.dial_timeout
        if told.counter is None:
            return None
        if not told.aggregators:
            return Counter(clock, told.counter, patience, dial, self.driver.counter_told)
        from embersill.net.aggregation import AggregatorRouter  # loaded only where it is used
        return AggregatorRouter(
            clock, told.aggregators, patience, dial, self.driver.counter_told, self.aggregator_sockets,
            told.seed, told.settings.gateways)

    def serves(self) -> bool:
        return self.settled and bool(self.driver.serving)

    # what the console is asked

    async def status(self, words: list[str]) -> str:
        without_id(words)
        left = self.duck.left()
        if left is not None and not self.front.stopping:
            raise Refused(f"a lame duck, which ends in {left:.1f} s")
        if not self.front.is_ready():
            raise Refused("stopping" if self.front.stopping else "not ready to serve")
        self.not_handed_over()
        return "done ready to serve"

    async def metrics(self, words: list[str]) -> str:
        without_id(words)
        return f"{self.driver.metrics()}\nend"

    async def suspend(self, words: list[str]) -> str:
        backend = only_id(words)
        if not self.driver.suspend(backend):
            raise Refused(f"{backend} was never listed")
        await self.handover.banned("suspend", backend)
        log.info("%s is taken out by hand", backend)
        return f"done {backend} is taken out"

    async def restore(self, words: list[str]) -> str:
        backend = only_id(words)
        if not self.driver.restore(backend):
            raise Refused(f"{backend} was never listed")
        await self.handover.banned("restore", backend)
        log.info("%s may serve again", backend)
        return f"done {backend} may serve again"

    async def out(self, words: list[str]) -> str:
        backend = only_id(words)
        told = {"state": self.driver.standing(backend), "out": self.driver.out(backend),
                "list": self.discovery.newest_generation}
        return self.done(told)

    def done(self, told: dict[str, Any]) -> str:
        """An answer of one JSON object; staff go on to the successor that it names."""
        if self.handover.successor:
            told["successor"] = self.handover.successor
        return f"done {json.dumps(told)}"

    def phase(self) -> str:
        if self.handover.gave:
            return "handed over"
        if self.front.stopping:
            return "empty" if self.empty else "closing"
        return "serving" if self.duck.until is None else "lame duck"

    async def phase_now(self, words: list[str]) -> str:
        without_id(words)
        if self.empty or self.handover.gave:
            self.heard_last.set()
        return self.done({
            "phase": self.phase(), "open": self.driver.unanswered, "ready": self.front.is_ready(),
            "clients": len(self.front.connections), "started": self.started})

    async def drain(self, words: list[str]) -> str:
        """Begins a lame duck's time, once: it may be said again."""
        without_id(words)
        self.not_handed_over()
        if self.phase() == "serving" and not self.stopped.is_set():
            self.duck.set(self.lame_duck)
            self.handover.tell_duck()
            log.info("a lame duck for %.1f s, then it ends", self.lame_duck)
        return await self.phase_now([])

    async def serve_again(self, words: list[str]) -> str:
        without_id(words)
        self.not_handed_over()
        if self.stopped.is_set():
            raise Refused("it is too late, the process ends")
        if self.duck.until is not None:
            self.duck.set(None)
            self.handover.tell_duck()
            log.info("no lame duck any more")
        return await self.phase_now([])

    def not_handed_over(self) -> None:
        if self.handover.gave:
            raise Refused(f"handed over to a successor {self.handover.successor}".rstrip())

    def end(self) -> None:
        self.signalled.set()
        self.stopped.set()

    async def run(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.end)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        gc.freeze()  # what start-up made stays: no need to look through it again
        await self.stopped.wait()
        await self.stop()

    async def wait_to_the_end(self, at_most: float, signal_ends: bool = False) -> None:
        """Waits until all is answered and each connection was closed as it fell idle.

        One on which something has come is read first, so that no request is crossed.
        """
        end = self.driver.clock() + at_most
        while not self.front.close_unasked() or self.driver.unanswered:
            if signal_ends and self.signalled.is_set() or self.driver.clock() >= end:
                return
            await asyncio.sleep(CLOSE_EVERY)

    async def last_word(self) -> None:
        """After a drain staff hear that nothing is open, or of the successor that goes on with it.

        A console that is only gone could be a crash's.
        """
        handed = self.handover.gave
        if self.duck.until is None or self.signalled.is_set() and not handed:
            return
        events = (self.heard_last,) if handed else (self.signalled, self.heard_last)
        waits = [self.loop.create_task(event.wait()) for event in events]
        within = LAST_WORD_HANDED if handed else LAST_WORD
        await asyncio.wait(waits, timeout=within, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        await asyncio.sleep(LAST_READ)  # for the answer to go out

    async def listen_for_clients(self) -> None:
        """Begins to accept at the clients' address; OSError where it can't be had."""
        self.front.listen_on(await open_listener(self.listen, BACKLOG, share_port=True))

    async def start(self) -> None:
        if self.console_at is not None:
            self.handover.console = await self.console.listen(self.console_at)
        succeeds = self.handover.find()
        if not succeeds:
            await self.listen_for_clients()
        self.following = self.loop.create_task(self.discovery.run())
        try:
            async with asyncio.timeout(FIRST_LIST_WITHIN):
                await self.discovery.has_responded.wait()
        except TimeoutError:
            pass
        if not succeeds or not await self.handover.take_over():
            self.handover.remember_bans()
            if succeeds:
                await self.listen_for_clients()
        self.handover.open()
        self.settled = True

    def reload(self) -> None:
        """Takes over where discovery and the counter are now, and how connections are kept.

        The file's word counts, as it is the newer.
        """
        environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
        try:
            told = read_configuration(environ)
        except BadConfiguration as error:
            return log.warning("the configuration stays as it was: %s", error)
        log.info("discovery is at %s now", ",".join(f"{host}:{port}" for host, port in told.discovery))
        self.driver.list_age = self.discovery.list_age if len(told.discovery) > 1 else None
        self.discovery.set_addresses(told.discovery)
        self.driver.tune(told.settings.pool, told.settings.aggregation)
        self.move_counter(told)
        return None

    def move_counter(self, told: Configuration) -> None:
        """Counter calls go where they are told to now; those that are out may still be answered."""
        before, was_routed = self.driver.counter, bool(self.aggregators)
        if before is None or told.counter is None:
            return
        self.aggregators = told.aggregators
        if was_routed != bool(told.aggregators):
            self.driver.counter = self.make_counter(told)
            self.loop.call_later(told.settings.counter_timeout, before.close)
        elif isinstance(before, Counter):
            before.set_address(told.counter)
        else:
            cast("AggregatorRouter", before).set_directory(told.aggregators)

    async def stop(self, still_coming: float = STILL_COMING, all_answered: float | None = None) -> None:
        """Takes what still comes, answers all of it, and leaves nothing behind."""
        self.front.stopping = True
        left = self.all_answered if all_answered is None else all_answered
        drained = self.duck.until is not None  # no kill is due
        if not drained:
            self.driver.ends_at = self.driver.clock() + left
        if self.handover.gave:
            await self.front.wait_moved(left)
            await self.front.stop_listening()
        else:
            await asyncio.sleep(still_coming)
            await self.front.stop_listening()
            await asyncio.sleep(LAST_READ)
            left = max(left - still_coming - LAST_READ, 0.0)
            if drained:
                await self.wait_to_the_end(DRAINED_WITHIN, signal_ends=True)
                self.driver.ends_at = self.driver.clock() + left
            await self.wait_to_the_end(self.driver.ends_at - self.driver.clock())
        self.driver.ends_at = self.driver.clock()  # what is read from here on is refused
        self.driver.rescue_all()
        self.front.close_idle()
        await asyncio.gather(self.front.wait_drained(LAST_BYTES), self.driver.settle(LAST_BYTES))
        self.front.close()
        if self.following is not None:
            self.following.cancel()
            self.discovery.disconnect()
        self.driver.report()
        self.driver.reporter.cancel()
        self.dialer.close()
        if self.driver.counter is not None:
            self.driver.counter.close()
        self.handover.close()
        self.empty = True
        await self.last_word()
        self.console.close()


def without_id(words: list[str]) -> None:
    if words:
        raise Refused("this call has nothing after its name")


def only_id(words: list[str]) -> str:
    if len(words) != 1:
        raise Refused("this call names one backend")
    return words[0]


async def serve(told: Configuration) -> None:
    await Program(told).run()


def main() -> int:
    logging.basicConfig(format="%(name)s: %(message)s", level=logging.INFO)
    try:
        told = read_configuration(dict(os.environ))
    except BadConfiguration as error:
        print(f"embersill: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(told))
    except OSError as error:
        print(f"embersill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
