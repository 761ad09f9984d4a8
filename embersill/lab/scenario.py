"""The scenario file format, in TOML: a fleet, its load, and faults. All times are in seconds.

Class attributes are the keys of the file.
"""

from __future__ import annotations

import copy
import pathlib
import tomllib
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from embersill.interface import PoolSettings
from embersill.settings import read_pool

Positive = Annotated[float, Meta(gt=0.0)]
NonNegative = Annotated[float, Meta(ge=0.0)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1, le=5000)]
# limits of a run with real processes: gateways and backends each, and its length in seconds
MAX_REAL_PEERS, MAX_REAL_SECONDS = 64, 600.0


class BadScenario(Exception):
    """An invalid scenario; the message is one line that names the error and its place."""


class ConfigTable(msgspec.Struct, forbid_unknown_fields=True):
    """One table of a scenario file; unknown keys are errors."""


class Fleet(ConfigTable):
    gateways: Count
    backends: Count
    zones: Annotated[tuple[str, ...], Meta(min_length=1, max_length=26)] = ("a",)
    cell_size: Count = 6  # backends of a cell in each zone
    regions: dict[str, str] = {}  # by zone; zones without an entry are in one region together


class BackendConfig(ConfigTable):
    """A backend's machine: at most `slots` requests share its `cores`, up to `queue` others wait."""

    cores: Count = 3
    speed: Positive = 1.0  # of a core: seconds of a class's work done per second
    speed_spread: Fraction = 0.0  # largest deviation of a backend's speed, as a share of it
    slots: Count = 12
    queue: Count = 60
    connections: Count = 1200  # more are refused
    handshake_s: NonNegative = 0.001  # seconds of one core for each new connection
    cold_from: Positive = 0.3  # share of its speed just after a start
    warm_within: Positive = 12.0  # seconds from a start until full speed
    fall_multiple: Positive = 2.0  # a cold backend collapses under this multiple of its capacity, sustained
    overload_for: Positive = 2.0  # for this long


class NetworkConfig(ConfigTable):
    """One-way delays; each message takes up to the fraction `jitter` longer.

    `client`: between client and gateway; `same`: within a zone; `cross`: between zones of a region.
    """

    client: NonNegative = 0.0007
    same: NonNegative = 0.0002
    cross: NonNegative = 0.002
    far: NonNegative = 0.03  # between regions
    jitter: Fraction = 0.2
    dial_timeout: Positive = 0.25
    keepalive: Positive = 15.0


class CounterConfig(ConfigTable):
    per_s: Positive = 250.0  # calls per second that each part serves
    parts: Count = 2
    delay: NonNegative = 0.001  # of a call and its answer together
    line: Count = 50  # calls queued at a part, beyond which a call is rejected
    patience: Positive = 0.03  # timeout of a call


class Discovery(ConfigTable):
    lag: NonNegative = 1.0  # mean seconds until a gateway receives a change; at most twice this
    stop_within: Positive = 1.0  # seconds after that by which sends to a drained backend must stop


class ClassConfig(ConfigTable, kw_only=True):
    """A request class; `share` of the requests belong to it."""

    name: str
    share: Fraction
    work: Positive  # mean, in seconds of one core
    spread: NonNegative = 1.0  # standard deviation of the work, as a multiple of its mean
    aim: Positive
    deadline: Positive
    worth: NonNegative = 1.0
    late_share: Fraction = 0.0
    semantics: Literal["repeatable", "by_key", "once"] = "repeatable"
    scope: Literal["all", "zone", "cell"] = "all"
    memory: NonNegative = 10.0


class PlanConfig(ConfigTable, kw_only=True):
    """A plan, with `share` of the load. Its customers request `use` of its rate, heavy ones `heavy_use`."""

    name: str
    share: Fraction
    rate: Positive
    burst: Positive
    ceiling: NonNegative = 0.0  # multiple of rate and burst; 0: none
    price: NonNegative = 1.0  # factor of a request's worth
    over_cost: NonNegative = 0.5  # cost of a request over the quota, as a multiple of its worth
    spread: Fraction = 1.0  # share of the gateways that a customer's requests come through
    use: Positive = 0.4
    heavy: Fraction = 0.1  # share of the customers
    heavy_use: Positive = 3.0


class Load(ConfigTable):
    """The clients' requests and their behaviour."""

    inside: Positive = 0.6  # load inside quotas, as a share of the backends' capacity
    skew: NonNegative = 0.5  # exponent of the uneven spread of a customer's requests over its gateways
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    backoff: Positive = 0.3  # before the first retry; doubles with each
    honour: Fraction = 0.6  # share of refusals after which the client waits for the Retry-After
    impatient: Fraction = 0.0  # share of the tries whose clients disconnect early and don't retry
    patience: Positive = 0.5  # mean time until they disconnect
    broken: NonNegative = 0.0  # malformed inputs per second at each gateway; in real mode only


class Fault(ConfigTable, kw_only=True):
    """A fault from `at`, for `lasts` seconds, at a random `part` of the fleet or in a `zone` or `region`.

    kill: processes end and start again, cold. hang: requests are accepted and not answered. slow: work takes
    `factor` times as long. drain: backends are listed as draining. release: each backend is drained, ended
    and started again, one after the other over `lasts`. reset: connections are reset under their requests.
    cut: nothing passes between the zone and the others. lost: a `part` of all answers is lost. counter: the
    counter does not answer, and afterwards has lost its counts if `empty`. crowded: the counter takes
    `factor` times as long. list: list changes are delivered after the fault. clock: the clocks of gateways'
    machines are `step` seconds ahead for processes that start meanwhile. scan: customers with a single
    request each add a `part` of all traffic.
    """

    kind: Literal["kill", "hang", "slow", "drain", "release", "reset", "cut", "lost", "counter", "crowded",
                  "list", "clock", "scan"]
    at: NonNegative
    lasts: Positive
    part: Fraction = 0.1
    zone: str = ""
    of: Literal["gateways", "backends"] = "backends"
    region: str = ""  # the fault is in all its zones
    factor: Positive = 5.0
    empty: bool = False
    step: float = 5.0


class Scenario(ConfigTable, kw_only=True):
    name: str
    seconds: Annotated[float, Meta(gt=0.0, le=86_400.0)]
    fleet: Fleet
    load: Load
    classes: Annotated[list[ClassConfig], Meta(min_length=1)]
    plans: Annotated[list[PlanConfig], Meta(min_length=1)]
    backend: BackendConfig = field(default_factory=BackendConfig)
    net: NetworkConfig = field(default_factory=NetworkConfig)
    counter: CounterConfig = field(default_factory=CounterConfig)
    discovery: Discovery = field(default_factory=Discovery)
    faults: list[Fault] = []
    pool: dict[str, Any] = {}  # connection pool settings, as in a gateway's configuration


def load(path: pathlib.Path, including: tuple[pathlib.Path, ...] = ()) -> dict[str, Any]:
    """The file's table, merged over that of the file named by its `like`. Tables are merged, lists replaced.

    `including`: the files whose `like` led to this one. Raises BadScenario, which names file and key, if the
    file cannot be read or is no valid scenario.
    """
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
        like = table.pop("like", None)
        if like is not None:
            base = path.with_name(f"{like}.toml")
            if base in (*including, path):
                raise BadScenario("it is like itself - at `$.like`")
            table = merge_tables(load(base, (*including, path)), table)
        build_scenario(table)
    except OSError as error:
        raise BadScenario(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, BadScenario) as error:
        raise BadScenario(f"{path}: {error}") from error
    return table


def merge_tables(base: dict[str, Any], overriding: dict[str, Any]) -> dict[str, Any]:
    """A copy of `base` with the values of `overriding`, recursively."""
    result = dict(base)
    for key, value in overriding.items():
        both = isinstance(value, dict) and isinstance(base.get(key), dict)
        result[key] = merge_tables(base[key], value) if both else value
    return result


def apply_setting(table: dict[str, Any], setting: str) -> dict[str, Any]:
    """A copy of the scenario with `KEY=VALUE` set; dots separate the keys of nested tables.

    An entry of a list is named by its `name` or its index from 0: `classes.view.work=0.3`. A value that is
    not valid TOML is taken as a string. Raises BadScenario if there is no such place; the value is checked
    by `build_scenario`.
    """
    path, equals, text = setting.partition("=")
    *path_keys, last = path.strip().split(".")
    if not equals or not last:
        raise BadScenario(f"{setting!r} is no KEY=VALUE")
    try:
        value = tomllib.loads(f"x = {text}")["x"]
    except tomllib.TOMLDecodeError:
        value = text.strip()
    changed = copy.deepcopy(table)
    current: Any = changed
    for key in path_keys:
        current = (current.setdefault(key, {}) if isinstance(current, dict)
                   else find_list_entry(current, key, path))
    if not isinstance(current, dict):
        raise BadScenario(f"there is no table at {path!r}")
    current[last] = value
    return changed


def find_list_entry(entries: Any, key: str, path: str) -> Any:
    """The entry with that name or index. Raises BadScenario if there is none."""
    if isinstance(entries, list):
        for n, entry in enumerate(entries):
            if key == str(n) or isinstance(entry, dict) and entry.get("name") == key:
                return entry
    raise BadScenario(f"there is no {key!r} on the way to {path!r}")


def build_scenario(table: dict[str, Any]) -> Scenario:
    """The checked scenario. Raises BadScenario."""
    try:
        scenario = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as error:
        raise BadScenario(str(error)) from error
    check_scenario(scenario)
    return scenario


def pool_settings(scenario: Scenario) -> PoolSettings:
    """The pool settings. Raises BadScenario with the error that a gateway would report at its start."""
    try:
        return read_pool(scenario.pool)
    except ValueError as error:
        raise BadScenario(f"{error} - at `$.pool`") from error


def check_scenario(scenario: Scenario) -> None:
    """Raises BadScenario for values that don't fit together."""
    pool_settings(scenario)
    shares = {
        "classes": [(c.name, c.share) for c in scenario.classes],
        "plans": [(p.name, p.share) for p in scenario.plans],
    }
    for list_name, named in shares.items():
        if len(dict(named)) < len(named):
            raise BadScenario(f"a name stands twice - at `$.{list_name}`")
        total = sum(share for _, share in named)
        if not 0.999 <= total <= 1.001:
            raise BadScenario(f"the shares add up to {total:g} and not to 1 - at `$.{list_name}`")
    unknown = scenario.fleet.regions.keys() - set(scenario.fleet.zones)
    if unknown:
        raise BadScenario(f"there is no zone {min(unknown)!r} - at `$.fleet.regions`")
    for n, fault in enumerate(scenario.faults):
        if fault.at >= scenario.seconds:
            raise BadScenario(f"at {fault.at:g} s all is over - at `$.faults[{n}].at`")
        if (fault.of == "gateways") is not (fault.kind == "clock") and fault.kind != "kill":
            raise BadScenario(f"{fault.of} can't have {fault.kind!r} here - at `$.faults[{n}].kind`")
        if fault.zone and fault.zone not in scenario.fleet.zones:
            raise BadScenario(f"there is no zone {fault.zone!r} - at `$.faults[{n}].zone`")
        if fault.region and fault.region not in scenario.fleet.regions.values():
            raise BadScenario(f"there is no region {fault.region!r} - at `$.faults[{n}].region`")
        if fault.kind == "cut" and not (fault.zone or fault.region):
            raise BadScenario(f"a cut names a zone or a region - at `$.faults[{n}].zone`")


def check_real(scenario: Scenario) -> None:
    """Raises BadScenario for a scenario that cannot be played with real processes."""
    fleet = scenario.fleet
    if max(fleet.gateways, fleet.backends) > MAX_REAL_PEERS:
        raise BadScenario(f"real gateways and backends are at most {MAX_REAL_PEERS} each - at `$.fleet`")
    if scenario.seconds > MAX_REAL_SECONDS:
        raise BadScenario(f"real time is at most {MAX_REAL_SECONDS:g} s - at `$.seconds`")
    for n, fault in enumerate(scenario.faults):
        if fault.kind in ("cut", "clock"):
            raise BadScenario(f"no real process has {fault.kind!r} here - at `$.faults[{n}].kind`")
