"""The plan of one play, and the timeouts of its steps."""

from __future__ import annotations

from dataclasses import dataclass

from embersill.lab.scale.records import FleetSize

STARTS_PER_SECOND = 400.0  # gateways of the whole fleet, so that the list service keeps up with them
PEER_START_TIMEOUT_SECONDS = 15.0  # until a process is ready
LIST_UPDATE_TIMEOUT_SECONDS = 1.5  # after the measured time, for gateways to receive the last changes
RESTART_TIMEOUT_SECONDS = 20.0  # the same where gateways restart and need full lists


@dataclass(frozen=True, slots=True)
class PlayPlan:
    """One play: a point of an axis, the fleet's size there, and how it is measured."""

    axis: str
    value: float  # on the axis
    number: int  # of the play at this point, from 0
    seed: int
    size: FleetSize
    seconds: float  # of measured time
    warm_up_seconds: float
    workers: int  # processes that host hollow gateways
    real_gateways: int

    def timeout_seconds(self) -> float:
        """Time after which the play fails."""
        starting = 3 * PEER_START_TIMEOUT_SECONDS + 3 * self.size.gateways / STARTS_PER_SECOND
        return (
            starting + self.warm_up_seconds + self.seconds + LIST_UPDATE_TIMEOUT_SECONDS
            + RESTART_TIMEOUT_SECONDS)
