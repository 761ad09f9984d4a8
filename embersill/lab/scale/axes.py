"""The axes of a scale run: the quantity that is varied, its values, and the base that stays fixed."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, replace

from embersill.lab.scale.plan import PlayPlan
from embersill.lab.scale.records import DEFAULT_AGGREGATION, FleetSize

BASE = FleetSize(
    gateways=100, backends=500, customers=2000, spread=4, requests_per_second=5.0, changes_per_second=0.5,
    restarted_share=0.0)
# for axes on which a gateway needs so much that one machine cannot run a hundred of them
FEW_GATEWAYS_BASE = replace(BASE, gateways=20)
SMALL_BASE = FleetSize(
    gateways=8, backends=60, customers=160, spread=4, requests_per_second=10.0, changes_per_second=1.0,
    restarted_share=0.0)
PLAYS, SMALL_PLAYS = 3, 1
SECONDS, SMALL_SECONDS = 4.0, 1.5
WARM_UP_SECONDS, SMALL_WARM_UP_SECONDS = 2.0, 0.5
SEED_COUNT = 2**31


@dataclass(frozen=True, slots=True)
class Axis:
    """One field of FleetSize that is varied from a base."""

    name: str
    field: str
    base: FleetSize
    values: tuple[float, ...]

    def size_at(self, value: float) -> FleetSize:
        """The base with this value of the axis, converted to the field's type."""
        field_type = type(getattr(self.base, self.field))
        return replace(self.base, **{self.field: field_type(value)})


@dataclass(frozen=True, slots=True)
class RunSettings:
    """The settings from the command's arguments that apply to all plays."""

    plays: int
    seconds: float
    warm_up_seconds: float
    workers: int
    real_gateways: int
    counter_parts: int = 1
    counter_calls_per_second: float = 0.0
    aggregators: int = 0
    gateway_calls_per_second: float = DEFAULT_AGGREGATION.calls_per_second
    gateway_calls_burst: float = DEFAULT_AGGREGATION.burst


AXES = (
    Axis("gateways", "gateways", replace(BASE, backends=250, requests_per_second=2.0),
         (50, 150, 300, 600, 1100)),
    Axis("backends", "backends", FEW_GATEWAYS_BASE, (250, 1000, 2500, 5000, 8500)),
    Axis("customers", "customers", replace(FEW_GATEWAYS_BASE, requests_per_second=50.0),
         (500, 2000, 8000, 20_000, 39_000)),
    Axis("spread", "spread", BASE, (2, 4, 16, 64, 100)),
    Axis("requests", "requests_per_second", FEW_GATEWAYS_BASE, (5.0, 25.0, 60.0, 120.0, 218.0)),
    Axis("changes", "changes_per_second", BASE, (0.1, 0.5, 2.0, 5.0, 10.0)),
    Axis("restarted", "restarted_share", BASE, (0.05, 0.1, 0.25, 0.5, 1.0)),
)
SMALL_AXES = (
    Axis("gateways", "gateways", SMALL_BASE, (6, 16)),
    Axis("backends", "backends", SMALL_BASE, (50, 200)),
    Axis("customers", "customers", SMALL_BASE, (80, 400)),
    Axis("spread", "spread", SMALL_BASE, (2, 8)),
    Axis("requests", "requests_per_second", SMALL_BASE, (5.0, 40.0)),
    Axis("changes", "changes_per_second", SMALL_BASE, (1.0, 5.0)),
    Axis("restarted", "restarted_share", SMALL_BASE, (0.5, 1.0)),
)
AXIS_NAMES = tuple(axis.name for axis in AXES)


def plan_plays(axes: Sequence[Axis], settings: RunSettings) -> list[PlayPlan]:
    """All plays, axis by axis; a play's seed depends only on its axis, value and number."""
    return [
        make_plan(axis, value, number, settings)
        for axis in axes for value in axis.values for number in range(settings.plays)]


def make_plan(axis: Axis, value: float, number: int, settings: RunSettings) -> PlayPlan:
    """The plan of one play of an axis."""
    size = replace(
        axis.size_at(value), counter_parts=settings.counter_parts,
        counter_calls_per_second=settings.counter_calls_per_second, aggregators=settings.aggregators,
        gateway_calls_per_second=settings.gateway_calls_per_second,
        gateway_calls_burst=settings.gateway_calls_burst)
    # long enough for at least one change
    seconds = max(settings.seconds, 1.0 / size.changes_per_second)
    seed = zlib.crc32(f"{axis.name} {value:g} {number}".encode()) % SEED_COUNT
    return PlayPlan(
        axis.name, value, number, seed, size, seconds, settings.warm_up_seconds, settings.workers,
        settings.real_gateways)
