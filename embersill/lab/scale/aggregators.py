"""Counter aggregators between the gateways and the counter."""

from __future__ import annotations

import importlib.util

from embersill.lab.scale.children import Children

MODULE = "embersill.aggregator"


class NoAggregators(Exception):
    """This version has no program for aggregators."""


def check_aggregators(wanted: int) -> None:
    """NoAggregators where some are wanted and the program is not there, or can't be started from here yet."""
    if wanted and importlib.util.find_spec(MODULE) is None:
        raise NoAggregators(f"{wanted} aggregators are wanted, and there is no {MODULE} here")
    if wanted:
        raise NoAggregators(f"{wanted} aggregators are wanted, and scale runs can't start {MODULE} yet")


async def start_aggregators(children: Children, wanted: int, counter: str) -> list[str]:
    """Starts so many in front of the counter at that address; the addresses that gateways call.

    With none, gateways call the counter itself.
    """
    check_aggregators(wanted)
    return [counter]
