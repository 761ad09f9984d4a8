"""The aggregator as a program: its options, its start, and an end in order on SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import resource
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

import uvloop

from embersill.aggregator.membership import Membership, MembershipOptions
from embersill.aggregator.server import Server, ServerOptions
from embersill.aggregator.state import Limits
from embersill.aggregator.upstream import UpstreamOptions

RESERVED_DESCRIPTORS = 64  # for upstream, the list service, the log
LOG_INTERVAL = 10.0  # seconds

log = logging.getLogger("embersill.aggregator")


@dataclass(frozen=True, slots=True)
class ProgramOptions:
    """All that is told on the command line; times in seconds."""

    server: ServerOptions
    limits: Limits
    upstream: UpstreamOptions
    membership: MembershipOptions | None
    drain_notice: float
    drain_timeout: float


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdecimal() or int(port) > 65535:
        raise argparse.ArgumentTypeError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)


def parse_remote_address(text: str) -> tuple[str, int]:
    address = parse_address(text)
    if address[1] == 0:
        raise argparse.ArgumentTypeError(f"{text!r} names no port")
    return address


def number_in_range(least: float, most: float) -> Callable[[str], float]:
    def read(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not least <= value <= most:
            raise argparse.ArgumentTypeError(f"{text!r} is no number from {least:g} to {most:g}")
        return value

    return read


class OneLineParser(argparse.ArgumentParser):
    """Tells bad use in one line, without the list of options."""

    def error(self, message: str) -> NoReturn:
        self.exit(2, f"embersill.aggregator: {message} (--help has the options)\n")


def build_parser() -> argparse.ArgumentParser:
    made = OneLineParser(
        prog="python -m embersill.aggregator",
        description="Sums counter calls by name and forwards one call a name and window upstream.",
        epilog="Ends with 0 after SIGTERM, with 1 where it could not start, with 2 on bad use. "
        "docs/aggregation.md has the design and its bounds.",
    )
    add = made.add_argument
    add("--listen", type=parse_address, required=True, metavar="HOST:PORT",
        help="where gateways call; port 0 takes a free one, which the log names")
    add("--upstream", type=parse_remote_address, required=True, metavar="HOST:PORT",
        help="the counter, or another aggregator")
    add("--window-ms", type=number_in_range(1, 10_000), default=100.0, metavar="MS",
        help="between two upstream calls for one name (default %(default)g)")
    add("--upstream-calls", type=number_in_range(1, 1e6), default=200.0, metavar="N",
        help="upstream calls a second at the most (default %(default)g)")
    add("--upstream-patience-ms", type=number_in_range(1, 60_000), default=1000.0, metavar="MS",
        help="for one upstream call (default %(default)g)")
    add("--lease-ms", type=number_in_range(10, 60_000), default=1000.0, metavar="MS",
        help="totals are told for so long after upstream last answered (default %(default)g)")
    add("--wait-ms", type=number_in_range(1, 10_000), default=50.0, metavar="MS",
        help="a call waits so long for a new name's first total; below the gateways' patience "
        "(default %(default)g)")
    add("--stale-ms", type=number_in_range(1, 60_000), default=1000.0, metavar="MS",
        help="age at which the total of a name in use is read again (default %(default)g)")
    add("--names", type=number_in_range(1, 1e7), default=100_000, metavar="N",
        help="names held at the most (default %(default)d)")
    add("--waiting", type=number_in_range(1, 1e6), default=10_000, metavar="N",
        help="calls that may wait at once (default %(default)d)")
    add("--drain-notice-ms", type=number_in_range(0, 60_000), default=1000.0, metavar="MS",
        help="after SIGTERM, calls are taken for so long while gateways learn of the drain "
        "(default %(default)g; none without a list service)")
    add("--drain-ms", type=number_in_range(0, 60_000), default=2000.0, metavar="MS",
        help="then, to forward what is held (default %(default)g)")
    add("--directory", type=parse_remote_address, metavar="HOST:PORT",
        help="the list service to register in; needs --id")
    add("--id", metavar="ID", help="this aggregator's instance id in the list")
    add("--zone", default="", metavar="ZONE", help="this aggregator's zone in the list")
    add("--advertise", type=parse_remote_address, metavar="HOST:PORT",
        help="the address in the list, where it is not the one listened at")
    return made


def join_address(address: tuple[str, int]) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def raise_descriptor_limit() -> int:
    """Takes as many descriptors as the system allows; how many connections they are enough for."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return max(1, hard - RESERVED_DESCRIPTORS)


def build_options(told: argparse.Namespace, connections: int) -> ProgramOptions:
    limits = Limits(
        names=int(told.names),
        waiting=int(told.waiting),
        window=told.window_ms / 1000.0,
        upstream_calls=told.upstream_calls,
        lease=told.lease_ms / 1000.0,
        wait=told.wait_ms / 1000.0,
        stale=told.stale_ms / 1000.0,
    )
    membership = None
    if told.directory is not None:
        advertised = join_address(told.advertise or told.listen)
        membership = MembershipOptions(join_address(told.directory), told.id, advertised, told.zone)
    return ProgramOptions(
        server=ServerOptions(told.listen[0], told.listen[1], connections),
        limits=limits,
        upstream=UpstreamOptions(told.upstream[0], told.upstream[1], told.upstream_patience_ms / 1000.0),
        membership=membership,
        drain_notice=told.drain_notice_ms / 1000.0 if membership else 0.0,
        drain_timeout=told.drain_ms / 1000.0,
    )


async def log_figures(server: Server) -> None:
    while True:
        await asyncio.sleep(LOG_INTERVAL)
        log.info("figures %s", json.dumps(server.statistics()))


async def run_until_signalled(options: ProgramOptions) -> None:
    """Runs until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = Server(options.server, options.limits, options.upstream)
    await server.start()
    log.info("listening on %s", join_address((options.server.host, server.port)))
    figures = loop.create_task(log_figures(server))
    membership = Membership(options.membership) if options.membership else None
    if membership is not None:
        await membership.start()
    await stop.wait()
    await shut_down(server, membership, options)
    figures.cancel()


async def shut_down(server: Server, membership: Membership | None, options: ProgramOptions) -> None:
    """Sends gateways elsewhere, forwards what is held within bounded time, and closes."""
    if membership is not None:
        await membership.drain()
        await asyncio.sleep(options.drain_notice)
    drained = await server.drain(options.drain_timeout)
    if membership is not None:
        await membership.stop()
    left = server.statistics()
    await server.stop()
    log.info("ended %s figures %s", "drained" if drained else "with amounts not forwarded", json.dumps(left))


def main() -> int:
    made = build_parser()
    told = made.parse_args()
    if told.directory is not None and not told.id:
        made.error("--directory needs --id")
    if told.directory is not None and not told.advertise and told.listen[1] == 0:
        made.error("--directory needs --advertise where --listen has port 0")
    logging.basicConfig(format="%(asctime)s %(name)s: %(message)s", level=logging.INFO)
    options = build_options(told, raise_descriptor_limit())
    try:
        uvloop.run(run_until_signalled(options))
    except OSError as error:
        print(f"embersill.aggregator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
