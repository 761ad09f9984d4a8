"""The simulated network: delays, isolated zones and lost answers."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from embersill.lab.machine import Machine
from embersill.lab.scenario import NetworkConfig


@dataclass(slots=True)
class NetworkConditions:
    """The present faults of the network, shared by all gateways."""

    isolated_zones: set[frozenset[str]] = field(default_factory=set)  # groups of zones that are cut off
    loss_rate: float = 0.0  # share of the answers that are lost
    list_delayed_until: float = 0.0  # list changes are not delivered before


class GatewayNetwork:
    """The network as seen from one gateway; delays are in seconds, one way."""

    def __init__(
        self, config: NetworkConfig, zone: str, rng: random.Random, conditions: NetworkConditions,
        regions: Mapping[str, str] = {},
    ) -> None:
        self.config, self.zone, self.rng, self.conditions, self.regions = (
            config, zone, rng, conditions, regions)

    def delay(self, machine: Machine) -> float:
        base = self.config.same
        if machine.zone != self.zone:
            same_region = self.regions.get(machine.zone) == self.regions.get(self.zone)
            base = self.config.cross if same_region else self.config.far
        return base * (1.0 + self.config.jitter * self.rng.random())

    def reaches(self, zone: str) -> bool:
        """Whether messages pass between that zone and the gateway's."""
        return all((zone in zones) is (self.zone in zones) for zones in self.conditions.isolated_zones)

    def loses_answer(self) -> bool:
        """Draws whether an answer is lost."""
        return self.conditions.loss_rate > 0.0 and self.rng.random() < self.conditions.loss_rate

    def client_delay(self) -> float:
        return self.config.client * (1.0 + self.config.jitter * self.rng.random())
