"""Counter aggregators between the gateways and the counter, as processes of a play."""

from __future__ import annotations

import importlib.util
from dataclasses import dataclass

from embersill.lab.peers import HOST, free_port
from embersill.lab.scale.children import Child, Children
from embersill.lab.scale.plan import PEER_START_SECONDS
from embersill.lab.scale.records import FleetSize

MODULE = "embersill.aggregator"
UNLIMITED_CALLS = 1_000_000.0  # upstream calls a second, where the counter has no limit


class NoAggregators(Exception):
    """This version has no program for aggregators."""


@dataclass(frozen=True, slots=True)
class Aggregator:
    """A process, and the address that gateways call."""

    address: str
    child: Child


def check_aggregators(wanted: int) -> None:
    """NoAggregators where some are wanted and the program is not there."""
    if wanted and importlib.util.find_spec(MODULE) is None:
        raise NoAggregators(f"{wanted} aggregators are wanted, and there is no {MODULE} here")


def upstream_calls(size: FleetSize) -> float:
    """Calls a second that one aggregator may make: an even part of the counter's capacity."""
    if size.counter_calls_per_second <= 0:
        return UNLIMITED_CALLS
    return size.counter_parts * size.counter_calls_per_second / size.aggregators


async def start_aggregators(children: Children, size: FleetSize, counter: str) -> list[Aggregator]:
    """Starts as many as the size says, in front of the counter at that address."""
    check_aggregators(size.aggregators)
    made = []
    for number in range(size.aggregators):
        address = f"{HOST}:{free_port()}"
        child = await children.start_module(
            f"aggregator-{number}", MODULE, "--listen", address, "--upstream", counter,
            "--upstream-calls", f"{upstream_calls(size):g}")
        made.append(Aggregator(address, child))
    for aggregator in made:
        await aggregator.child.logged("listening on", PEER_START_SECONDS)
    return made
