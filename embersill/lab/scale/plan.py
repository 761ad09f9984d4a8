"""A play that is to be made, and the times that bound it."""

from __future__ import annotations

from dataclasses import dataclass

from embersill.lab.scale.records import FleetSize

STARTS_PER_SECOND = 400.0  # gateways of the whole fleet: the list service answers them as they come
PEER_START_TIMEOUT_SECONDS = 15.0  # for a process to get ready
LIST_UPDATE_TIMEOUT_SECONDS = 1.5  # after the measured time, for the last news to arrive, at the most
RESTART_TIMEOUT_SECONDS = 20.0  # the same where gateways restart and need whole lists


@dataclass(frozen=True, slots=True)
class PlayPlan:
    """A play that is to be made."""

    axis: str
    value: float
    number: int
    seed: int
    size: FleetSize
    seconds: float
    warm_up_seconds: float
    workers: int
    real_gateways: int

    def timeout_seconds(self) -> float:
        """After which the play is broken off."""
        starting = 3 * PEER_START_TIMEOUT_SECONDS + 3 * self.size.gateways / STARTS_PER_SECOND
        return starting + self.warm_up_seconds + self.seconds + LIST_UPDATE_TIMEOUT_SECONDS + RESTART_TIMEOUT_SECONDS
