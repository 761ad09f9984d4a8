"""`python -m embersill.lab growth`: what a gateway needs as the list grows, against the bounds of operations.

The same day at the usual size and with more backends: the same requests at each gateway, the same capacity in
all, and a release that replaces half of the backends.
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
from embersill.lab.soak.plan import Fault, FaultAt, ShimSetting, SoakPlan
from embersill.lab.soak.play import PlayResult, play_plan

USUAL = 200  # backends
TIMES = (1, 4, 16)
GATEWAYS = 4  # processes; the settings tell FLEET, of which these are the first
FLEET = 200
RATE = 25.0  # requests a second at each
RELEASE_AT, REPLACED = 5.0, 0.5
LEAST_SERVED = 0.85  # times the share at the usual size
DONE, OVER = 0, 3


@dataclass(frozen=True, slots=True)
class Needs:
    """What a gateway needed in a day, in the mean of all."""

    backends: int
    processor_seconds: float
    memory_mb: float
    descriptors: float
    connections: float
    list_kb: float
    served: float


@dataclass(frozen=True, slots=True)
class Bound:
    """So many times the usual, plus a constant, plus so much for each thousand backends."""

    times: float
    plus: float
    per_thousand: float = 0.0

    def at(self, usual: float, backends: int) -> float:
        return self.times * usual + self.plus + self.per_thousand * backends / 1000.0


BOUNDS: dict[str, Bound] = {
    "processor_seconds": Bound(1.4, 0.02, 0.12),
    "memory_mb": Bound(1.5, 8.0, 4.0),
    "descriptors": Bound(2.0, 40.0),
    "connections": Bound(2.5, 40.0),
    "list_kb": Bound(2.0, 64.0, 500.0),
}


def make_plan(backends: int, seconds: float) -> SoakPlan:
    """A day with a release and nothing else."""
    classes = (
        RequestClass("view", "repeatable", 2.0, 4.0),
        RequestClass("sign", "by_key", 2.0, 4.0, "cell", 10.0),
    )
    deployment = Deployment(
        GATEWAYS, classes, rate=1000.0, burst=1000.0, memory_mb=192, sockets=1024, told_gateways=FLEET
    )
    release = FaultAt(RELEASE_AT, Fault.REPLACE, 0.0, 0, REPLACED, Behaviour.SERVE)
    return SoakPlan(1, seconds, backends, RATE, deployment, (release,), (ShimSetting(),) * GATEWAYS)


def needs_of(result: PlayResult) -> Needs:
    served = result.served / max(result.requests, 1)
    return Needs(
        result.plan.backends,
        result.processor_seconds / GATEWAYS,
        result.mean_memory_mb,
        result.mean_descriptors,
        result.connections / GATEWAYS,
        result.list_bytes / 1000.0 / GATEWAYS,
        served,
    )


def over_bounds(usual: Needs, grown: Needs) -> list[str]:
    """The needs that grew by more than is allowed."""
    found = []
    for name, bound in BOUNDS.items():
        if getattr(grown, name) > bound.at(getattr(usual, name), grown.backends):
            found.append(name)
    return found + ["served"] * (grown.served < LEAST_SERVED * usual.served)


def table(rows: list[Needs]) -> str:
    """In Markdown: what was needed, and in brackets what is allowed."""
    lines = ["| backends | " + " | ".join(BOUNDS) + " | served |", "| --- " * (len(BOUNDS) + 2) + "|"]
    for row in rows:
        cells = []
        for name, bound in BOUNDS.items():
            allowed = "" if row is rows[0] else f" ({bound.at(getattr(rows[0], name), row.backends):.2f})"
            cells.append(f"{getattr(row, name):.2f}{allowed}")
        lines.append(f"| {row.backends} | " + " | ".join(cells) + f" | {row.served:.3f} |")
    return "\n".join(lines)


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the command to the laboratory's."""
    made = commands.add_parser("growth", help="what a gateway needs at 1, 4 and 16 times the usual backends")
    made.add_argument("--seconds", type=float, default=30.0, help="of each day (default %(default)s)")
    made.add_argument("--out", type=pathlib.Path, metavar="DIR", help="keep logs and growth.json there")


def run_command(told: argparse.Namespace, say: Callable[[str], None] = print) -> int:
    """Plays the days one after the other; 3 where a bound is passed."""
    with tempfile.TemporaryDirectory() as own:
        folder = told.out or pathlib.Path(own)
        rows: list[Needs] = []
        for times in TIMES:
            plan = make_plan(USUAL * times, told.seconds)
            result, _ = play_plan(plan, folder / f"backends-{plan.backends}", None, {"EMBERSILL_TRACE": "0"})
            rows.append(needs_of(result))
            for violation in result.violations[:5]:
                say(f"{plan.backends} backends: {violation}")
        (folder / "growth.json").write_text(json.dumps([asdict(row) for row in rows], indent=1))
    say(table(rows))
    over = {row.backends: found for row in rows[1:] if (found := over_bounds(rows[0], row))}
    for backends, names in over.items():
        say(f"over its bound at {backends} backends: {', '.join(names)}")
    return OVER if over else DONE
