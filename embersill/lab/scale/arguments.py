"""The arguments of the subcommand `scale`; imports nothing that only a run needs."""

from __future__ import annotations

import argparse
import pathlib

from embersill.lab.scale.axes import AXIS_NAMES, PLAYS, SECONDS
from embersill.lab.scale.records import DEFAULT_AGGREGATION

RECORD_FILE = "record.json"
DEFAULT_PROCESSES = 4


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the subcommand `scale` to those of embersill.lab."""
    parser = commands.add_parser("scale", help="measure what a fleet's size costs each role, on loopback")
    parser.add_argument("--axis", action="append", choices=AXIS_NAMES, help="may be repeated (default: all)")
    parser.add_argument("--plays", type=int, metavar="N", help=f"plays of each point (default {PLAYS})")
    parser.add_argument("--seconds", type=float, metavar="S",
                        help=f"measured time of a play (default {SECONDS:g})")
    parser.add_argument("--small", action="store_true", help="few points of small fleets, in under 100 s")
    parser.add_argument("--counts-only", action="store_true",
                        help="judge the counts by the protocol's bounds, and exit with 1 if one is broken")
    parser.add_argument("--processes", type=int, metavar="N", default=DEFAULT_PROCESSES,
                        help="that host hollow gateways (default %(default)s)")
    parser.add_argument("--real", type=int, metavar="N", default=1,
                        help="real gateways of each play (default %(default)s)")
    parser.add_argument("--counter-parts", type=int, metavar="N", default=1, help="parts of the counter")
    parser.add_argument("--counter-calls", type=float, metavar="R", default=0.0,
                        help="calls a second that each part serves (default: no limit)")
    parser.add_argument("--aggregators", type=int, metavar="N", default=0,
                        help="processes between gateways and counter (default: none)")
    parser.add_argument("--gateway-calls", type=float, metavar="R",
                        default=DEFAULT_AGGREGATION.calls_per_second,
                        help="counter calls a second of a gateway, with aggregators (default %(default)g)")
    parser.add_argument("--gateway-burst", type=float, metavar="N", default=DEFAULT_AGGREGATION.burst,
                        help="of them, that a gateway may save up (default %(default)g)")
    parser.add_argument("--out", type=pathlib.Path, metavar="DIR", help=f"keep {RECORD_FILE} and plots there")
    parser.add_argument("--resume", action="store_true", help="go on with what --out holds of the same plays")
