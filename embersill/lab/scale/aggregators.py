"""Aggregators between the gateways and the counter, as processes of a play."""

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
UNLIMITED_CALL_RATE = 1_000_000.0  # upstream calls per second, where the counter has no limit
WAIT_TIMEOUT_SHARE = 2.0 / 3.0  # of the gateways' counter timeout, that a call may wait at an aggregator
MAX_WAIT_MS = 50.0  # that a call may wait at an aggregator, whatever the timeout is
STATISTICS_CALL = b"*1\r\n$9\r\nAGG.STATS\r\n"
STATISTICS_TIMEOUT_SECONDS = 5.0
CHUNK_BYTES = 65536


class AggregatorsUnavailable(Exception):
    """Aggregators were requested, and this version has no program for them."""


@dataclass(frozen=True, slots=True)
class Aggregator:
    """An aggregator's process, its name in the list, and the address at which it listens."""

    name: str
    address: str
    child: Child


def check_aggregators(count: int) -> None:
    """Raises AggregatorsUnavailable where the count is not 0 and there is no program for aggregators."""
    if count and importlib.util.find_spec(MODULE) is None:
        raise AggregatorsUnavailable(f"{count} aggregators are requested, and there is no {MODULE} here")


def upstream_call_rate(size: FleetSize) -> float:
    """Calls per second that one aggregator may make: an even share of the counter's capacity."""
    if size.counter_calls_per_second <= 0:
        return UNLIMITED_CALL_RATE
    return size.counter_parts * size.counter_calls_per_second / size.aggregators


class AggregatorFigures(msgspec.Struct, frozen=True):
    """The fields of an aggregator's statistics that are used here; counts since its start."""

    calls: int  # from gateways
    forwards: int  # calls to the counter that add a name's amount
    probes: int  # calls to the counter without a name's amount
    busy: dict[str, int]  # rejected calls, by reason
    has_lease: bool = False

    @property
    def calls_out(self) -> int:
        """All calls to the counter."""
        return self.forwards + self.probes

    @property
    def rejected_calls(self) -> int:
        """Calls of gateways that got the reply BUSY."""
        return sum(self.busy.values())


def max_wait_ms(deployment: Deployment) -> float:
    """How long a call may wait for a new name's total, in milliseconds: less than the gateways' timeout."""
    return min(MAX_WAIT_MS, 1000.0 * WAIT_TIMEOUT_SHARE * deployment.counter_timeout_seconds)


async def start_aggregator(
    children: Children, deployment: Deployment, name: str, counter: str, directory: str, address: str,
    advertised: str = "",
) -> Aggregator:
    """Starts an aggregator that registers with a lease in the list service at `directory`.

    It is listed at `advertised`, or at `address`, where it listens.
    """
    child = await children.start_module(
        name, MODULE, "--listen", address, "--upstream", counter,
        "--upstream-calls", f"{upstream_call_rate(deployment.size):g}",
        "--wait-ms", f"{max_wait_ms(deployment):g}",
        "--directory", directory, "--id", name, "--zone", ZONE, "--advertise", advertised or address)
    return Aggregator(name, address, child)


async def start_aggregators(
    children: Children, deployment: Deployment, counter: str, directory: str
) -> list[Aggregator]:
    """Starts the size's number of aggregators, in front of the counter at an address.

    Raises AggregatorsUnavailable, or ChildNotStarted where one does not register in time.
    """
    check_aggregators(deployment.size.aggregators)
    aggregators = [
        await start_aggregator(
            children, deployment, f"aggregator-{number}", counter, directory, f"{HOST}:{free_port()}")
        for number in range(deployment.size.aggregators)]
    for aggregator in aggregators:
        await aggregator.child.wait_for_log("registered as", PEER_START_TIMEOUT_SECONDS)
    return aggregators


async def read_figures(aggregator: Aggregator) -> AggregatorFigures:
    """Reads an aggregator's statistics by the same call as operators.

    Raises OSError or TimeoutError, or ChildFailed where the connection is closed without an answer.
    """
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
