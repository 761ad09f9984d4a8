"""The list service as a program: command-line options, startup, and graceful shutdown on SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import logging
import pathlib
import resource
import signal
import sys
from collections.abc import Callable

from aiohttp import web

from embersill.directory.follower import Follower
from embersill.directory.front import FIRST_REQUEST_TIMEOUT, KEEPALIVE_TIMEOUT, ListApi
from embersill.directory.logfile import StorageUnusable
from embersill.directory.service import MAX_WATCHERS, Options, Service

OTHER_CONNECTIONS = 1280  # besides those of watchers: 1,024 instances that renew, operators, followers
BACKLOG = 1024  # connections not yet accepted: all gateways may reconnect at once
SHUTDOWN_TIMEOUT = 5.0  # seconds for requests in progress to end after SIGTERM

log = logging.getLogger("embersill.directory")


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of HOST:PORT; an IPv6 host may stand in brackets."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def parse_leader(text: str) -> str:
    """Checks a leader's HOST:PORT, whose port must not be 0, and returns it unchanged."""
    if parse_address(text)[1] == 0:
        raise argparse.ArgumentTypeError(f"{text!r} has no port")
    return text


def number_in_range(low: float, high: float, kind: type[int] | type[float]) -> Callable[[str], float]:
    """An argparse type for numbers from low to high, both included."""

    def parse(text: str) -> float:
        try:
            value = kind(text)
        except ValueError:
            value = kind(low - 1)
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(f"{text!r} is not a number from {low:g} to {high:g}")
        return value

    return parse


def build_parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m embersill.directory",
        description="Keeps the list of backends that gateways read; docs/directory.md has the HTTP API.",
        epilog="Exit status: 0 after SIGTERM, 1 if it could not start or continue, 2 on invalid arguments.",
    )
    parser.add_argument(
        "--listen",
        type=parse_address,
        required=True,
        metavar="HOST:PORT",
        help="address to listen on; with port 0 a free port is chosen and logged",
    )
    parser.add_argument(
        "--data",
        type=pathlib.Path,
        required=True,
        metavar="DIR",
        help="directory that stores the list; created if missing",
    )
    role = parser.add_mutually_exclusive_group()
    role.add_argument(
        "--follow",
        type=parse_leader,
        metavar="HOST:PORT",
        help="replicate that leader's list, serve reads, refuse writes",
    )
    role.add_argument(
        "--promote",
        action="store_true",
        help="become the leader with a directory that was a follower's; the old leader must not be running",
    )
    parser.add_argument(
        "--watchers",
        type=number_in_range(1, 50_000, int),
        default=MAX_WATCHERS,
        metavar="N",
        help="maximum number of concurrent watches (default %(default)s)",
    )
    parser.add_argument(
        "--fill",
        type=number_in_range(0, 3600, float),
        default=10.0,
        metavar="S",
        help="without a stored list: seconds after the first registration until reads are served "
        "(default %(default)s)",
    )
    parser.add_argument(
        "--share",
        type=number_in_range(0.01, 1, float),
        default=0.2,
        metavar="PART",
        help="share of the list that may be removed within a minute as leases expire; beyond it, removal is "
        "held (default %(default)s)",
    )
    return parser


class RefusedConnection(asyncio.Protocol):
    """Aborts at once a connection beyond the maximum number of connections."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class Program:
    """Assembles, starts and stops one list service."""

    def __init__(self, listen: tuple[str, int], options: Options) -> None:
        self.listen_address, self.options = listen, options
        self.service = Service(options)
        self.api = ListApi(self.service)
        self.runner = web.AppRunner(
            self.api.app,
            access_log=None,
            logger=self.api.library_log,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        self.server: asyncio.Server | None = None
        self.follower_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen; raises StorageUnusable, OSError or ValueError if it cannot."""
        loop = asyncio.get_running_loop()
        await self.runner.setup()
        self.server = await loop.create_server(self.new_connection, *self.listen_address, backlog=BACKLOG)
        await self.service.start()
        if self.options.follow:
            self.follower_task = loop.create_task(Follower(self.service, self.options.follow).run())
        log.info("listening on %s:%d", *self.server.sockets[0].getsockname()[:2])

    def new_connection(self) -> asyncio.Protocol:
        """The protocol of an accepted connection; at the limit, one that aborts it."""
        assert self.runner.server is not None
        if len(self.runner.server.connections) >= self.options.watchers + OTHER_CONNECTIONS:
            self.service.figures["connections refused"] += 1
            return RefusedConnection()
        connection = self.runner.server()
        asyncio.get_running_loop().call_later(FIRST_REQUEST_TIMEOUT, self.api.abort_if_unused, connection)
        return connection

    async def stop(self) -> None:
        """Stops accepting connections, answers all watches, stores writes in progress and closes the log."""
        if self.server is not None:
            self.server.close()
        self.service.end_watches()
        if self.follower_task is not None:
            self.follower_task.cancel()
        await self.runner.cleanup()
        await self.service.stop()
        log.info("ended, generation %d", self.service.store.generation)


def raise_descriptor_limit() -> None:
    """Raises the soft limit on descriptors to the hard one: the usual 1,024 is too few for one fleet."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def run_until_signalled(listen: tuple[str, int], options: Options) -> None:
    """Runs the service until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    program = Program(listen, options)
    try:
        await program.start()
        await stop.wait()
    finally:
        await program.stop()


def main() -> int:
    """Runs the program and returns its exit status."""
    arguments = build_parser().parse_args()
    logging.basicConfig(format="%(asctime)s %(name)s: %(message)s", level=logging.INFO)
    raise_descriptor_limit()
    options = Options(
        arguments.data,
        arguments.follow,
        arguments.promote,
        arguments.watchers,
        arguments.fill,
        arguments.share,
    )
    try:
        asyncio.run(run_until_signalled(arguments.listen, options))
    except (StorageUnusable, OSError, ValueError) as error:
        print(f"embersill.directory: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
