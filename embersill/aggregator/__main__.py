"""The aggregator program: command line, start, and orderly shutdown on SIGTERM or SIGINT."""

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

RESERVED_DESCRIPTORS = 64  # file descriptors for upstream, the list service and the log
LOG_INTERVAL = 10.0  # seconds

log = logging.getLogger("embersill.aggregator")


@dataclass(frozen=True, slots=True)
class ProgramOptions:
    """All command-line options; times in seconds."""

    server: ServerOptions
    limits: Limits
    upstream: UpstreamOptions
    membership: MembershipOptions | None
    drain_notice: float  # between the DRAINING registration and the refusal of calls
    drain_timeout: float  # for the forwards that remain


def parse_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT; port 0 is allowed. Raises ArgumentTypeError on anything else."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdecimal() or int(port) > 65535:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def parse_remote_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT with a port other than 0."""
    address = parse_address(text)
    if address[1] == 0:
        raise argparse.ArgumentTypeError(f"{text!r} has no port to connect to")
    return address


def number_in_range(minimum: float, maximum: float) -> Callable[[str], float]:
    """Returns a parser of numbers from `minimum` to `maximum`, for argparse."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum <= value <= maximum:
            raise argparse.ArgumentTypeError(f"{text!r} is not a number from {minimum:g} to {maximum:g}")
        return value

    return parse


class OneLineParser(argparse.ArgumentParser):
    """Reports usage errors in one line, without the list of options."""

    def error(self, message: str) -> NoReturn:
        self.exit(2, f"embersill.aggregator: {message} (see --help)\n")


def build_parser() -> argparse.ArgumentParser:
    """Builds the command line."""
    parser = OneLineParser(
        prog="python -m embersill.aggregator",
        description="Sums counter calls by name and forwards one call per name and window upstream.",
        epilog="Exit status: 0 after SIGTERM, 1 if it could not start, 2 on a usage error. "
        "docs/aggregation.md describes the design and its bounds.",
    )
    add = parser.add_argument
    add("--listen", type=parse_address, required=True, metavar="HOST:PORT",
        help="address to listen on; port 0 takes a free port, which is logged")
    add("--upstream", type=parse_remote_address, required=True, metavar="HOST:PORT",
        help="the counter, or another aggregator")
    add("--window-ms", type=number_in_range(1, 10_000), default=100.0, metavar="MS",
        help="minimum time between two upstream calls for one name (default %(default)g)")
    add("--upstream-calls", type=number_in_range(1, 1e6), default=200.0, metavar="N",
        help="maximum upstream calls per second (default %(default)g)")
    add("--upstream-patience-ms", type=number_in_range(1, 60_000), default=1000.0, metavar="MS",
        help="timeout of an upstream call (default %(default)g)")
    add("--lease-ms", type=number_in_range(10, 60_000), default=1000.0, metavar="MS",
        help="time after the last answer from upstream for which totals are served (default %(default)g)")
    add("--wait-ms", type=number_in_range(1, 10_000), default=50.0, metavar="MS",
        help="maximum wait of a call for a new name's first total; below the gateways' counter timeout "
        "(default %(default)g)")
    add("--stale-ms", type=number_in_range(1, 60_000), default=1000.0, metavar="MS",
        help="age from which the total of a name in use is read again (default %(default)g)")
    add("--names", type=number_in_range(1, 1e7), default=100_000, metavar="N",
        help="maximum names in the table (default %(default)d)")
    add("--waiting", type=number_in_range(1, 1e6), default=10_000, metavar="N",
        help="maximum calls waiting at once (default %(default)d)")
    add("--drain-notice-ms", type=number_in_range(0, 60_000), default=1000.0, metavar="MS",
        help="time after SIGTERM for which calls are accepted while gateways learn of the drain "
        "(default %(default)g; none without a list service)")
    add("--drain-ms", type=number_in_range(0, 60_000), default=2000.0, metavar="MS",
        help="time after that to forward the remaining amounts (default %(default)g)")
    add("--directory", type=parse_remote_address, metavar="HOST:PORT",
        help="the list service to register in; needs --id")
    add("--id", metavar="ID", help="this aggregator's instance id in the list")
    add("--zone", default="", metavar="ZONE", help="this aggregator's zone in the list")
    add("--advertise", type=parse_remote_address, metavar="HOST:PORT",
        help="address to register, if it differs from --listen")
    return parser


def join_address(address: tuple[str, int]) -> str:
    """Formats an address as HOST:PORT, an IPv6 host in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def raise_descriptor_limit() -> int:
    """Raises the limit of file descriptors to the hard limit; returns the connections it allows."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return max(1, hard - RESERVED_DESCRIPTORS)


def build_options(arguments: argparse.Namespace, connections: int) -> ProgramOptions:
    """Converts the parsed command line; at most `connections` gateways are accepted."""
    limits = Limits(
        names=int(arguments.names),
        waiting=int(arguments.waiting),
        window=arguments.window_ms / 1000.0,
        upstream_calls=arguments.upstream_calls,
        lease=arguments.lease_ms / 1000.0,
        wait=arguments.wait_ms / 1000.0,
        stale=arguments.stale_ms / 1000.0,
    )
    membership = None
    if arguments.directory is not None:
        advertised = join_address(arguments.advertise or arguments.listen)
        membership = MembershipOptions(
            join_address(arguments.directory), arguments.id, advertised, arguments.zone
        )
    return ProgramOptions(
        server=ServerOptions(arguments.listen[0], arguments.listen[1], connections),
        limits=limits,
        upstream=UpstreamOptions(
            arguments.upstream[0], arguments.upstream[1], arguments.upstream_patience_ms / 1000.0
        ),
        membership=membership,
        drain_notice=arguments.drain_notice_ms / 1000.0 if membership else 0.0,
        drain_timeout=arguments.drain_ms / 1000.0,
    )


async def log_figures(server: Server) -> None:
    """Logs the statistics every LOG_INTERVAL."""
    while True:
        await asyncio.sleep(LOG_INTERVAL)
        log.info("figures %s", json.dumps(server.statistics()))


async def run_until_signalled(options: ProgramOptions) -> None:
    """Runs the aggregator until SIGTERM or SIGINT, then shuts it down."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
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
    """Marks the registration as draining, forwards the remaining amounts in bounded time, and closes."""
    if membership is not None:
        await membership.drain()
        await asyncio.sleep(options.drain_notice)
    drained = await server.drain(options.drain_timeout)
    if membership is not None:
        await membership.stop()
    remaining = server.statistics()
    await server.stop()
    log.info(
        "ended %s figures %s", "drained" if drained else "with amounts not forwarded", json.dumps(remaining)
    )


def main() -> int:
    """Runs the program; returns its exit status."""
    parser = build_parser()
    arguments = parser.parse_args()
    if arguments.directory is not None and not arguments.id:
        parser.error("--directory needs --id")
    if arguments.directory is not None and not arguments.advertise and arguments.listen[1] == 0:
        parser.error("--directory needs --advertise if --listen has port 0")
    logging.basicConfig(format="%(asctime)s %(name)s: %(message)s", level=logging.INFO)
    options = build_options(arguments, raise_descriptor_limit())
    try:
        uvloop.run(run_until_signalled(options))
    except OSError as error:
        print(f"embersill.aggregator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
