"""Guards of a drain: what has to remain in service. Without I/O: callers pass in the list and the load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from embersill.ops.fleet import Guards

GATEWAY_PREFIX = "gateway:"  # of a gateway's name, as the id of its drain mark in the list service


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """A backend as the list service describes it."""

    lifecycle: str
    zone: str
    cell: int
    weight: float
    version: int
    drained_by: str | None = None

    @property
    def is_serving(self) -> bool:
        return self.lifecycle == "SERVING"


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The full list at one generation, and the operators' drain marks of backends and gateways."""

    generation: int
    backends: Mapping[str, ListedBackend]
    drain_marks: Mapping[str, tuple[str, int]]  # by id: who set it, its version


def backend_guard_violations(
    guards: Guards, listed: InstanceList, ids: Collection[str], load: float | None
) -> list[str]:
    """Returns the reasons against draining these backends, empty if there are none.

    `load` is the attempts per second of all gateways, None if unknown. Backends that are not serving remove
    no capacity, so draining them is always allowed.
    """
    serving = {id: b for id, b in listed.backends.items() if b.is_serving}
    leaving = {id: b for id, b in serving.items() if id in ids}
    remaining = [b for id, b in serving.items() if id not in ids]
    if not leaving:
        return []
    reasons = []
    if len(remaining) < max(1, guards.least_serving):
        reasons.append(f"{len(remaining)} backends would serve, {max(1, guards.least_serving)} must")
    for what, least in (("cell", guards.least_cell), ("zone", guards.least_zone)):
        counts = Counter(getattr(b, what) for b in remaining)
        for value in sorted({getattr(b, what) for b in leaving.values()}):
            if counts[value] < least:
                reasons.append(f"{what} {value!r} would have {counts[value]} that serve, {least} must")
    capacity = sum(b.weight for b in remaining) * guards.backend_rate * guards.headroom
    if load is None:
        reasons.append("the load is not known: no gateway tells its figures")
    elif load > capacity:
        reasons.append(f"the load is {load:.1f} requests a second, those left bear {capacity:.1f}")
    return reasons


def gateway_guard_violations(guards: Guards, ready: Collection[str], names: Collection[str]) -> list[str]:
    """Returns the reasons against draining these gateways; `ready` holds the ready ones without a mark."""
    remaining, least = len(set(ready) - set(names)), max(1, guards.least_gateways)
    return [] if remaining >= least else [f"{remaining} gateways would be ready, {least} must"]
