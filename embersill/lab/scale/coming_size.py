"""The target size of the deployment and the budgets of control there, as set by the operators."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400
SECONDS_PER_HOUR = 3_600
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class CapacityTarget:
    """A size of the whole deployment; some rates are per day, as the operators state them."""

    gateways: float
    backends: float
    services: float
    requests_per_second: float  # of the whole fleet, at peak
    routes: float
    customers: float
    regions: float
    zones: float
    config_changes_per_day: float
    restarts_per_day: float  # of machines: restarted or replaced
    failures_per_day: float  # of machines

    @property
    def requests_per_gateway(self) -> float:
        """Requests per second at one gateway."""
        return self.requests_per_second / self.gateways

    @property
    def config_changes_per_second(self) -> float:
        """Configuration changes, spread evenly over the day."""
        return self.config_changes_per_day / SECONDS_PER_DAY

    @property
    def gateway_restarts_per_day(self) -> float:
        """Restarts of gateways, in proportion to their share of all machines."""
        return self.restarts_per_day * self.gateways / (self.gateways + self.backends)

    @property
    def backend_restarts_per_day(self) -> float:
        """Restarts of backends, in proportion to their share of all machines."""
        return self.restarts_per_day - self.gateway_restarts_per_day

    @property
    def list_writes_per_second(self) -> float:
        """Writes to the list: a restarting backend is removed and added again."""
        return WRITES_PER_RESTART * self.backend_restarts_per_day / SECONDS_PER_DAY

    def scaled(self, fraction: float) -> CapacityTarget:
        """This fraction of the size: all numbers in proportion, except regions and zones."""
        return CapacityTarget(
            gateways=fraction * self.gateways,
            backends=fraction * self.backends,
            services=fraction * self.services,
            requests_per_second=fraction * self.requests_per_second,
            routes=fraction * self.routes,
            customers=fraction * self.customers,
            regions=self.regions,
            zones=self.zones,
            config_changes_per_day=fraction * self.config_changes_per_day,
            restarts_per_day=fraction * self.restarts_per_day,
            failures_per_day=fraction * self.failures_per_day,
        )


WRITES_PER_RESTART = 2  # removal and addition of the backend

TARGET_SIZE = CapacityTarget(
    gateways=1_100,
    backends=8_500,
    services=350,
    requests_per_second=240_000,
    routes=5_300,
    customers=39_000,
    regions=4,
    zones=15,
    config_changes_per_day=910,
    restarts_per_day=2_900,
    failures_per_day=57,
)

GATEWAY_CPU_SHARE = 0.046  # of a core, for control
GATEWAY_MEMORY_MB = 128.0  # for control
GATEWAY_BYTES_PER_SECOND = 7_000.0  # for control, sum of both directions
ADDED_P99_MS = 1.5
CONTROL_MACHINES = 6
PROCESS_CPU_SHARE = 1.0  # an event loop runs on one core
CONFIG_PROPAGATION_SECONDS = 17.0  # until a configuration change is effective everywhere
MIN_COUNTER_PART_CALLS = 460.0  # per second and part, from the published range
MAX_COUNTER_PART_CALLS = 620.0
MAX_COUNTER_PARTS = 3
RACK_MACHINES = 40  # assumed: the operators give no number
REGION_OUTAGE_SECONDS = SECONDS_PER_HOUR  # typical time that a region is disconnected
