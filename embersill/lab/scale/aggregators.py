"""Counter aggregators between the gateways and the counter, as processes of a play."""

from __future__ import annotations

import asyncio
import importlib.util
from dataclasses import dataclass

import hiredis
import msgspec

from embersill.lab.peers import HOST, free_port
from embersill.lab.scale.children import Child, ChildFailed, Children
from embersill.lab.scale.deployment import ZONE, Deployment
from embersill.lab.scale.plan import PEER_START_TIMEOUT_SECONDS
from embersill.lab.scale.records import FleetSize

MODULE = "embersill.aggregator"
UNLIMITED_CALL_RATE = 1_000_000.0  # upstream calls a second, where the counter has no limit
WAIT_TIMEOUT_SHARE = 2.0 / 3.0  # of the gateways' patience that a call may wait at an aggregator
MAX_WAIT_MS = 50.0
STATISTICS_CALL = b"*1\r\n$9\r\nAGG.STATS\r\n"
STATISTICS_TIMEOUT_SECONDS = 5.0
CHUNK_BYTES = 65536


class AggregatorsUnavailable(Exception):
    """This version has no program for aggregators."""


@dataclass(frozen=True, slots=True)
class Aggregator:
    """A process, its name in the list, and the address that it listens at."""

    name: str
    address: str
    child: Child


def check_aggregators(wanted: int) -> None:
    """NoAggregators where some are wanted and the program is not there."""
    if wanted and importlib.util.find_spec(MODULE) is None:
        raise AggregatorsUnavailable(f"{wanted} aggregators are wanted, and there is no {MODULE} here")


def upstream_call_rate(size: FleetSize) -> float:
    """Calls a second that one aggregator may make: an even part of the counter's capacity."""
    if size.counter_calls_per_second <= 0:
        return UNLIMITED_CALL_RATE
    return size.counter_parts * size.counter_calls_per_second / size.aggregators


class AggregatorFigures(msgspec.Struct, frozen=True):
    """The part of an aggregator's statistics that is used here; counts since its start."""

    calls: int  # from gateways
    forwards: int  # to the counter, with a name's amount
    probes: int  # to the counter, without
    busy: dict[str, int]  # calls that were turned away, by reason
    has_lease: bool = False

    @property
    def calls_out(self) -> int:
        return self.forwards + self.probes

    @property
    def rejected_calls(self) -> int:
        return sum(self.busy.values())


def max_wait_ms(deployment: Deployment) -> float:
    """How long a call may wait for a new name's total: below the gateways' patience."""
    return min(MAX_WAIT_MS, 1000.0 * WAIT_TIMEOUT_SHARE * deployment.counter_timeout_seconds)


async def start_aggregator(
    children: Children, deployment: Deployment, name: str, counter: str, directory: str, address: str,
    advertised: str = "",
) -> Aggregator:
    """Starts one that registers with a lease in the list service at `directory`."""
    child = await children.start_module(
        name, MODULE, "--listen", address, "--upstream", counter,
        "--upstream-calls", f"{upstream_call_rate(deployment.size):g}",
        "--wait-ms", f"{max_wait_ms(deployment):g}",
        "--directory", directory, "--id", name, "--zone", ZONE, "--advertise", advertised or address)
    return Aggregator(name, address, child)


async def start_aggregators(
    children: Children, deployment: Deployment, counter: str, directory: str
) -> list[Aggregator]:
    """Starts as many as the size says, in front of the counter at that address."""
    check_aggregators(deployment.size.aggregators)
    made = [
        await start_aggregator(
            children, deployment, f"aggregator-{number}", counter, directory, f"{HOST}:{free_port()}")
        for number in range(deployment.size.aggregators)]
    for aggregator in made:
        await aggregator.child.wait_for_log("registered as", PEER_START_TIMEOUT_SECONDS)
    return made


async def read_figures(aggregator: Aggregator) -> AggregatorFigures:
    """Its statistics, by a call as an operator makes it."""
    host, _, port = aggregator.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    parser = hiredis.Reader()
    try:
        async with asyncio.timeout(STATISTICS_TIMEOUT_SECONDS):
            writer.write(STATISTICS_CALL)
            while (reply := parser.gets()) is False:
                data = await reader.read(CHUNK_BYTES)
                if not data:
                    raise ChildFailed(f"{aggregator.name} closed a connection without an answer")
                parser.feed(data)
    finally:
        writer.close()
    return msgspec.json.decode(reply, type=AggregatorFigures)
