"""`python -m embersill.lab growth`: a gateway's resource use as the list grows.

Runs the same day at the usual size and with more backends: the same request rate at each gateway, the same
total capacity, and a release that replaces half of the backends. What is used is checked against the bounds
of operations.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import tempfile
from collections.abc import Callable
from dataclasses import asdict, dataclass

from embersill.lab.soak.backends import Behaviour
from embersill.lab.soak.deployment import Deployment, RequestClass
from embersill.lab.soak.plan import Fault, ScheduledFault, ShimSetting, SoakPlan
from embersill.lab.soak.play import PlayResult, play_plan

USUAL_BACKENDS = 200
SIZE_FACTORS = (1, 4, 16)
GATEWAY_COUNT = 4  # gateways that run: the first of FLEET_SIZE
FLEET_SIZE = 200  # gateways in the settings
REQUEST_RATE = 25.0  # requests per second at each gateway
RELEASE_AT, REPLACED_SHARE = 5.0, 0.5  # seconds from the start; share of the backends
MIN_SERVED_FACTOR = 0.85  # lower bound of the served share, as a multiple of that at the usual size
EXIT_OK, EXIT_OVER_BOUND = 0, 3


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """Resources that a gateway used in a day, as the mean over all gateways; written to growth.json."""

    backends: int
    processor_seconds: float
    memory_mb: float
    descriptors: float
    connections: float
    list_kb: float
    served: float  # share of the requests


@dataclass(frozen=True, slots=True)
class Bound:
    """Upper bound: a multiple of the usual use, plus a constant, plus an amount per 1000 backends."""

    factor: float
    constant: float
    per_thousand_backends: float = 0.0

    def limit(self, usual: float, backends: int) -> float:
        """The bound, where `usual` is the use at the usual size."""
        return self.factor * usual + self.constant + self.per_thousand_backends * backends / 1000.0


BOUNDS: dict[str, Bound] = {
    "processor_seconds": Bound(1.4, 0.02, 0.12),
    "memory_mb": Bound(1.5, 8.0, 4.0),
    "descriptors": Bound(2.0, 40.0),
    "connections": Bound(2.5, 40.0),
    "list_kb": Bound(2.0, 64.0, 500.0),
}


def make_plan(backends: int, seconds: float) -> SoakPlan:
    """A day whose only fault is a release."""
    classes = (
        RequestClass("view", "repeatable", 2.0, 4.0),
        RequestClass("sign", "by_key", 2.0, 4.0, "cell", 10.0),
    )
    deployment = Deployment(
        GATEWAY_COUNT,
        classes,
        rate=1000.0,
        burst=1000.0,
        memory_mb=192,
        sockets=1024,
        configured_gateways=FLEET_SIZE,
    )
    release = ScheduledFault(RELEASE_AT, Fault.REPLACE, 0.0, 0, REPLACED_SHARE, Behaviour.SERVE)
    return SoakPlan(
        1, seconds, backends, REQUEST_RATE, deployment, (release,), (ShimSetting(),) * GATEWAY_COUNT
    )


def resource_use(result: PlayResult) -> ResourceUse:
    """The mean use per gateway in a day."""
    served = result.served / max(result.requests, 1)
    return ResourceUse(
        result.plan.backends,
        result.processor_seconds / GATEWAY_COUNT,
        result.mean_memory_mb,
        result.mean_descriptors,
        result.connections / GATEWAY_COUNT,
        result.list_bytes / 1000.0 / GATEWAY_COUNT,
        served,
    )


def exceeded_bounds(usual: ResourceUse, grown: ResourceUse) -> list[str]:
    """Names of the resources over their bounds, and "served" if too few requests were served."""
    found = []
    for name, bound in BOUNDS.items():
        if getattr(grown, name) > bound.limit(getattr(usual, name), grown.backends):
            found.append(name)
    return found + ["served"] * (grown.served < MIN_SERVED_FACTOR * usual.served)


def format_table(rows: list[ResourceUse]) -> str:
    """A Markdown table of the resources used, with the bounds in brackets."""
    lines = ["| backends | " + " | ".join(BOUNDS) + " | served |", "| --- " * (len(BOUNDS) + 2) + "|"]
    for row in rows:
        cells = []
        for name, bound in BOUNDS.items():
            allowed = "" if row is rows[0] else f" ({bound.limit(getattr(rows[0], name), row.backends):.2f})"
            cells.append(f"{getattr(row, name):.2f}{allowed}")
        lines.append(f"| {row.backends} | " + " | ".join(cells) + f" | {row.served:.3f} |")
    return "\n".join(lines)


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the `growth` command."""
    parser = commands.add_parser(
        "growth", help="what a gateway needs at 1, 4 and 16 times the usual backends"
    )
    parser.add_argument("--seconds", type=float, default=30.0, help="of each day (default %(default)s)")
    parser.add_argument("--out", type=pathlib.Path, metavar="DIR", help="keep logs and growth.json there")


def run_command(options: argparse.Namespace, report: Callable[[str], None] = print) -> int:
    """Runs the days one after the other; returns EXIT_OVER_BOUND if a bound is exceeded."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.out or pathlib.Path(temporary)
        rows: list[ResourceUse] = []
        for factor in SIZE_FACTORS:
            plan = make_plan(USUAL_BACKENDS * factor, options.seconds)
            result, _ = play_plan(plan, folder / f"backends-{plan.backends}", None, {"EMBERSILL_TRACE": "0"})
            rows.append(resource_use(result))
            for violation in result.violations[:5]:
                report(f"{plan.backends} backends: {violation}")
        (folder / "growth.json").write_text(json.dumps([asdict(row) for row in rows], indent=1))
    report(format_table(rows))
    over = {row.backends: found for row in rows[1:] if (found := exceeded_bounds(rows[0], row))}
    for backends, names in over.items():
        report(f"over its bound at {backends} backends: {', '.join(names)}")
    return EXIT_OVER_BOUND if over else EXIT_OK
