"""The list service as a program: its options, its start, and an end in order on SIGTERM."""

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

OTHER_CONNECTIONS = 1280  # connections beside those of watchers: 1,024 instances that renew, staff, followers
BACKLOG = 1024  # connections not yet accepted: a fleet that returns together
SHUTDOWN_TIMEOUT = 5.0  # seconds for calls under way to end after SIGTERM

log = logging.getLogger("embersill.directory")


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise argparse.ArgumentTypeError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)


def parse_leader(text: str) -> str:
    if parse_address(text)[1] == 0:
        raise argparse.ArgumentTypeError(f"{text!r} names no port")
    return text


def number_in_range(least: float, most: float, kind: type[int] | type[float]) -> Callable[[str], float]:
    def read(text: str) -> float:
        try:
            value = kind(text)
        except ValueError:
            value = kind(least - 1)
        if not least <= value <= most:
            raise argparse.ArgumentTypeError(f"{text!r} is no number from {least:g} to {most:g}")
        return value

    return read


def build_parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="python -m embersill.directory",
        description="Keeps the list of backends that gateways read. docs/directory.md has the calls.",
        epilog="Ends with 0 after SIGTERM, with 1 where it could not start or go on, with 2 on bad use.",
    )
    made.add_argument(
        "--listen",
        type=parse_address,
        required=True,
        metavar="HOST:PORT",
        help="where it is called; port 0 takes a free one, which the log names",
    )
    made.add_argument(
        "--data",
        type=pathlib.Path,
        required=True,
        metavar="DIR",
        help="the folder that keeps the list; made if it is not there",
    )
    role = made.add_mutually_exclusive_group()
    role.add_argument(
        "--follow",
        type=parse_leader,
        metavar="HOST:PORT",
        help="copy that leader's list, serve reads, refuse writes",
    )
    role.add_argument(
        "--promote",
        action="store_true",
        help="lead from here on with a folder that was a follower's; the old leader must not run",
    )
    made.add_argument(
        "--watchers",
        type=number_in_range(1, 50_000, int),
        default=MAX_WATCHERS,
        metavar="N",
        help="watches that may stand at once (default %(default)s)",
    )
    made.add_argument(
        "--fill",
        type=number_in_range(0, 3600, float),
        default=10.0,
        metavar="S",
        help="seconds after the first registration until a list that began anew is told "
        "(default %(default)s)",
    )
    made.add_argument(
        "--share",
        type=number_in_range(0.01, 1, float),
        default=0.2,
        metavar="PART",
        help="part of the list that may run out within a minute; more is held (default %(default)s)",
    )
    return made


class RefusedConnection(asyncio.Protocol):
    """A connection beyond the bound, ended at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class Program:
    """The parts of one list service."""

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
        loop = asyncio.get_running_loop()
        await self.runner.setup()
        self.server = await loop.create_server(self.new_connection, *self.listen_address, backlog=BACKLOG)
        await self.service.start()
        if self.options.follow:
            self.follower_task = loop.create_task(Follower(self.service, self.options.follow).run())
        log.info("listening on %s:%d", *self.server.sockets[0].getsockname()[:2])

    def new_connection(self) -> asyncio.Protocol:
        assert self.runner.server is not None
        if len(self.runner.server.connections) >= self.options.watchers + OTHER_CONNECTIONS:
            self.service.figures["connections refused"] += 1
            return RefusedConnection()
        made = self.runner.server()
        asyncio.get_running_loop().call_later(FIRST_REQUEST_TIMEOUT, self.api.abort_if_unused, made)
        return made

    async def stop(self) -> None:
        """No new connections; watches get their answer, writes under way are stored, the log is closed."""
        if self.server is not None:
            self.server.close()
        self.service.end_watches()
        if self.follower_task is not None:
            self.follower_task.cancel()
        await self.runner.cleanup()
        await self.service.stop()
        log.info("ended, generation %d", self.service.store.generation)


def raise_descriptor_limit() -> None:
    """As many as the system allows: the usual soft limit of 1,024 is less than one fleet's connections."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def run_until_signalled(listen: tuple[str, int], options: Options) -> None:
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
    told = build_parser().parse_args()
    logging.basicConfig(format="%(asctime)s %(name)s: %(message)s", level=logging.INFO)
    raise_descriptor_limit()
    options = Options(told.data, told.follow, told.promote, told.watchers, told.fill, told.share)
    try:
        asyncio.run(run_until_signalled(told.listen, options))
    except (StorageUnusable, OSError, ValueError) as error:
        print(f"embersill.directory: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
