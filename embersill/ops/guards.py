"""What a drain must leave standing. No I/O: the list, the load and who is ready come in, reasons go out."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from embersill.ops.fleet import Guards

GATEWAY_PREFIX = "gateway:"  # before a gateway's name, where its mark stands among staff's drains


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """A backend as the list has it."""

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
    """The whole list at one generation; marks are staff's drains by id, gateways' among them."""

    generation: int
    backends: Mapping[str, ListedBackend]
    drain_marks: Mapping[str, tuple[str, int]]


def backend_guard_violations(
    guards: Guards, listed: InstanceList, ids: Collection[str], load: float | None
) -> list[str]:
    """Why these may not all be drained; nothing where they may. What serves no more takes nothing away."""
    serving = {id: b for id, b in listed.backends.items() if b.is_serving}
    going = {id: b for id, b in serving.items() if id in ids}
    left = [b for id, b in serving.items() if id not in ids]
    if not going:
        return []
    reasons = []
    if len(left) < max(1, guards.least_serving):
        reasons.append(f"{len(left)} backends would serve, {max(1, guards.least_serving)} must")
    for what, least in (("cell", guards.least_cell), ("zone", guards.least_zone)):
        remain = Counter(getattr(b, what) for b in left)
        for place in sorted({getattr(b, what) for b in going.values()}):
            if remain[place] < least:
                reasons.append(f"{what} {place!r} would have {remain[place]} that serve, {least} must")
    bears = sum(b.weight for b in left) * guards.backend_rate * guards.headroom
    if load is None:
        reasons.append("the load is not known: no gateway tells its figures")
    elif load > bears:
        reasons.append(f"the load is {load:.1f} requests a second, those left bear {bears:.1f}")
    return reasons


def gateway_guard_violations(guards: Guards, ready: Collection[str], names: Collection[str]) -> list[str]:
    """The same for gateways; ready are those that say so and have no mark."""
    left, least = len(set(ready) - set(names)), max(1, guards.least_gateways)
    return [] if left >= least else [f"{left} gateways would be ready, {least} must"]
