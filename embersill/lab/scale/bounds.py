"""Upper bounds of a play's counts that follow from the protocol and hold on any machine."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass

import hiredis

from embersill.lab.scale.deployment import Deployment, backend_name
from embersill.lab.scale.list_service import MACHINE, STARTED_MS
from embersill.lab.scale.records import FleetSize, Play
from embersill.lab.scale.resp import MAX_LIFE_SECONDS, MAX_NAME_BYTES
from embersill.net.discovery import MAX_WATCH_MS, MIN_WATCH_SHARE

# counter calls per second, customer and gateway: demand is reported once a second, and after a second without
# demand the level is read once
CALLS_PER_CUSTOMER = 2.0
# if a gateway's slice of a quota holds less than a request: one call reads the level, one reports the units
# sent on or returned, one corrects the sum
CALLS_PER_LOW_RATE_REQUEST = 3.0
WIDE_SPREAD, MIN_REQUESTS_AT_WIDE_SPREAD = 4, 2.0  # above this spread a slice must hold two requests
LONGEST_AMOUNT = "-1.23456789e-09"  # nine digits
LONGEST_TOTAL = b"$13\r\n-1.234567e-09\r\n"  # seven digits
MAX_BUSY_BYTES = 64  # of a reply that refuses a call
MAX_HEAD_BYTES = 400  # of an HTTP response's head
MAX_LIST_REQUEST_BYTES = len(
    "GET /v1/endpoints?since=18446744073709551615&timeout_ms=60000 HTTP/1.1\r\nHost: 127.0.0.1:65535\r\n\r\n")
MAX_GENERATION = 2**64


@dataclass(frozen=True, slots=True)
class BrokenBound:
    """A count that exceeds its upper bound."""

    axis: str
    value: float
    number: int
    measure: str
    found: float
    max_value: float

    def __str__(self) -> str:
        return (f"{self.axis}={self.value:g}, play {self.number}: {self.measure} is {self.found:.6g}, "
                f"over {self.max_value:.6g}")


@dataclass(frozen=True, slots=True)
class Bound:
    """The upper bound of a measure."""

    measure: str
    max_value: float


def broken_bounds(play: Play) -> list[BrokenBound]:
    """All bounds that this play's counts exceed."""
    return [
        BrokenBound(play.axis, play.value, play.number, bound.measure, found, bound.max_value)
        for bound in protocol_bounds(play)
        if (found := play.counts.get(bound.measure)) is not None and found > bound.max_value]


def protocol_bounds(play: Play) -> Iterator[Bound]:
    """The bounds at this play's size; they allow one extra event for the edges of the measured time."""
    size, counts, edge = play.size, play.counts, 1.0 / play.seconds
    max_calls = CALLS_PER_CUSTOMER * counts["customers_per_gateway"] * (1.0 + edge)
    if has_low_rate_plans(size, play.seed):
        max_calls += CALLS_PER_LOW_RATE_REQUEST * size.requests_per_second + 4.0 * edge
    if size.aggregators:
        max_calls = min(max_calls, size.gateway_calls_per_second + size.gateway_calls_burst * edge)
    yield Bound("counter_calls_per_gateway", max_calls)
    counter_calls = counts["counter_calls_per_gateway"] + edge
    yield Bound("counter_bytes_out_per_gateway", counter_calls * max_call_bytes())
    yield Bound("counter_bytes_in_per_gateway", counter_calls * max(len(LONGEST_TOTAL), MAX_BUSY_BYTES))
    yield Bound("list_calls_per_gateway", max_list_calls(play))
    list_calls = counts["list_calls_per_gateway"] + edge
    yield Bound("list_bytes_out_per_gateway", list_calls * MAX_LIST_REQUEST_BYTES)
    yield Bound("whole_lists_per_start", 1.0)
    yield Bound("whole_list_bytes", max_list_bytes(size.backends))
    max_changed = min(size.backends, size.changes_per_second * play.seconds + 1.0)
    yield Bound("change_bytes", max_list_bytes(int(max_changed) + 1))
    if "restart_list_calls_fleet" in counts:
        yield Bound("restart_bytes_per_gateway", max_list_bytes(size.backends) + MAX_HEAD_BYTES)


def max_list_calls(play: Play) -> float:
    """List calls per second: one per change, per shortest wait of a watch and per restart."""
    size, edge = play.size, 1.0 / play.seconds
    shortest_wait = MIN_WATCH_SHARE * MAX_WATCH_MS / 1000.0
    restarts = 2.0 * edge if size.restarted_share > 0 else 0.0
    return size.changes_per_second + 1.0 / shortest_wait + edge + restarts


def has_low_rate_plans(size: FleetSize, seed: int) -> bool:
    """Whether a gateway's slice of some quota holds less than one request, or two at a wide spread."""
    min_burst = size.spread * (MIN_REQUESTS_AT_WIDE_SPREAD if size.spread > WIDE_SPREAD else 1.0)
    return any(plan.burst < min_burst for plan in Deployment(size, seed).plans)


def max_call_bytes() -> int:
    """Bytes of the longest counter call in the published protocol."""
    life_ms = str(round(1000.0 * MAX_LIFE_SECONDS))
    arguments = ("CNT.ADD", "n" * MAX_NAME_BYTES, LONGEST_AMOUNT, life_ms)
    return len(hiredis.pack_command(arguments))  # type: ignore[arg-type]  # stub accepts one string only


def max_list_bytes(entries: int) -> float:
    """Bytes of a list service response with this number of entries, in the published protocol."""
    entry = {
        "instanceId": backend_name(0), "hostPort": "127.0.0.1:65535", "zone": "a", "machineType": MACHINE,
        "cell": 0, "lifecycle": "DRAINING", "weight": 1.0, "startedAtMs": STARTED_MS}
    full_list = {"generation": MAX_GENERATION, "reset": False, "instances": []}
    return len(json.dumps(full_list)) + entries * (len(json.dumps(entry)) + 2)
