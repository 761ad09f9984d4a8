"""The network between the parts: how long a message takes, and what does not pass."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from embersill.lab.machine import Machine
from embersill.lab.scenario import Net


@dataclass(slots=True)
class Weather:
    """What the network does to all."""

    cut: set[frozenset[str]] = field(default_factory=set)  # zones with whom nobody else can talk
    lost: float = 0.0  # part of the answers
    late_until: float = 0.0  # until when news of the list wait


class Way:
    """The network from one gateway."""

    def __init__(
        self, net: Net, zone: str, dice: random.Random, weather: Weather, regions: Mapping[str, str] = {}
    ) -> None:
        self.net, self.zone, self.dice, self.weather, self.regions = net, zone, dice, weather, regions

    def delay(self, machine: Machine) -> float:
        base = self.net.same
        if machine.zone != self.zone:
            near = self.regions.get(machine.zone) == self.regions.get(self.zone)
            base = self.net.cross if near else self.net.far
        return base * (1.0 + self.net.jitter * self.dice.random())

    def passes(self, zone: str) -> bool:
        """False while nothing passes between there and here."""
        return all((zone in island) is (self.zone in island) for island in self.weather.cut)

    def loses(self) -> bool:
        """True for an answer that gets lost."""
        return self.weather.lost > 0.0 and self.dice.random() < self.weather.lost

    def client(self) -> float:
        return self.net.client * (1.0 + self.net.jitter * self.dice.random())
