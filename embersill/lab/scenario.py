"""The form of a scenario: a fleet, its load, and what goes wrong when, in TOML. All times are seconds."""

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
Some = Annotated[float, Meta(ge=0.0)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]
Number = Annotated[int, Meta(ge=1, le=5000)]
MOST_PEERS, LONGEST = 64, 600.0  # gateways or backends, and seconds, that are played with real processes


class BadScenario(Exception):
    """What is wrong with a scenario, and where, in one line."""


class Form(msgspec.Struct, forbid_unknown_fields=True):
    """One table of the file."""


class Fleet(Form):
    gateways: Number
    backends: Number
    zones: Annotated[tuple[str, ...], Meta(min_length=1, max_length=26)] = ("a",)
    cell_size: Number = 6
    regions: dict[str, str] = {}  # of zones; those that are not named are in one together


class BackendForm(Form):
    """A machine: `cores` at work, at most `slots` requests on them at a time, the rest in line."""

    cores: Number = 3
    speed: Positive = 1.0  # of a core, against the work that a class states
    speed_spread: Part = 0.0  # of it, either way, by which backends differ
    slots: Number = 12
    queue: Number = 60
    connections: Number = 1200  # more are refused
    handshake_s: Some = 0.001  # of its cores, for each new connection
    cold_from: Positive = 0.3  # of its speed, just after a start
    warm_within: Positive = 12.0
    fall_multiple: Positive = 2.0  # of its capacity over `overload_for`, at which a cold one falls over
    overload_for: Positive = 2.0


class Net(Form):
    """One way, in seconds; each message takes up to `jitter` of it more."""

    client: Some = 0.0007
    same: Some = 0.0002
    cross: Some = 0.002
    far: Some = 0.03  # between regions
    jitter: Part = 0.2
    dial_timeout: Positive = 0.25
    keepalive: Positive = 15.0


class Counter(Form):
    per_s: Positive = 250.0  # calls that each part serves
    parts: Number = 2
    delay: Some = 0.001
    line: Number = 50  # calls waiting at a part, beyond which one is turned away
    patience: Positive = 0.03


class Discovery(Form):
    lag: Some = 1.0  # seconds until a gateway hears of a change, drawn up to twice this
    stop_within: Positive = 1.0  # seconds from then in which sends to a drained backend must end


class Class(Form, kw_only=True):
    name: str
    share: Part
    work: Positive  # seconds of one core
    spread: Some = 1.0  # standard deviation of the work, in its mean
    aim: Positive
    deadline: Positive
    worth: Some = 1.0
    late_share: Part = 0.0
    semantics: Literal["repeatable", "by_key", "once"] = "repeatable"
    scope: Literal["all", "zone", "cell"] = "all"
    memory: Some = 10.0


class PlanForm(Form, kw_only=True):
    """`share` of the load is this plan's; a customer asks `use` of its rate, `heavy_use` if it is heavy."""

    name: str
    share: Part
    rate: Positive
    burst: Positive
    ceiling: Some = 0.0  # times rate and burst; 0: none
    price: Some = 1.0
    over_cost: Some = 0.5
    spread: Part = 1.0  # of the gateways that a customer's requests come through
    use: Positive = 0.4
    heavy: Part = 0.1  # of the customers
    heavy_use: Positive = 3.0


class Load(Form):
    """Load inside the quotas, as a share of what the backends can do."""

    inside: Positive = 0.6
    skew: Some = 0.5  # how unevenly a customer's requests come through its gateways
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    backoff: Positive = 0.3
    honour: Part = 0.6  # of the clients that come back as a Retry-After says
    impatient: Part = 0.0  # of the tries, whose clients leave early and don't come back
    patience: Positive = 0.5  # seconds until then, on average
    broken: Some = 0.0  # peers a second at each gateway that send no proper request; in real mode only


class Fault(Form, kw_only=True):
    """What goes wrong: at `at`, for `lasts` seconds, at a `part` of the fleet that is drawn, or in a `zone`.

    kill: processes end, and are back cold. hang: taken and not answered. slow: `factor` times as long. drain:
    the list says so. release: each is drained, ended and started again, one after the other over `lasts`.
    reset: connections break under their requests. cut: nothing passes between the zone and the others.
    lost: a `part` of all answers. counter: silent, and back with no counts if it is `empty`. crowded: the
    counter takes `factor` times as long. list: news wait until the end. clock: that of a gateway's machine is
    `step` seconds off, for processes that start meanwhile. scan: customers that ask once add a `part` of all
    traffic.
    """

    kind: Literal["kill", "hang", "slow", "drain", "release", "reset", "cut", "lost", "counter", "crowded",
                  "list", "clock", "scan"]
    at: Some
    lasts: Positive
    part: Part = 0.1
    zone: str = ""
    of: Literal["gateways", "backends"] = "backends"
    region: str = ""  # or in all zones of one
    factor: Positive = 5.0
    empty: bool = False
    step: float = 5.0


class Scenario(Form, kw_only=True):
    name: str
    seconds: Annotated[float, Meta(gt=0.0, le=86_400.0)]
    fleet: Fleet
    load: Load
    classes: Annotated[list[Class], Meta(min_length=1)]
    plans: Annotated[list[PlanForm], Meta(min_length=1)]
    backend: BackendForm = field(default_factory=BackendForm)
    net: Net = field(default_factory=Net)
    counter: Counter = field(default_factory=Counter)
    discovery: Discovery = field(default_factory=Discovery)
    faults: list[Fault] = []
    pool: dict[str, Any] = {}  # as in a gateway's configuration


def load(path: pathlib.Path, above: tuple[pathlib.Path, ...] = ()) -> dict[str, Any]:
    """What the file says, over what the one says that it is `like`. Tables are merged, lists replaced.

    BadScenario where it is no scenario: it names file and key. `above`: those that are like this one.
    """
    try:
        with path.open("rb") as file:
            told = tomllib.load(file)
        like = told.pop("like", None)
        if like is not None:
            base = path.with_name(f"{like}.toml")
            if base in (*above, path):
                raise BadScenario("it is like itself - at `$.like`")
            told = merged(load(base, (*above, path)), told)
        build_scenario(told)
    except OSError as error:
        raise BadScenario(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, BadScenario) as error:
        raise BadScenario(f"{path}: {error}") from error
    return told


def merged(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    made = dict(base)
    for key, value in over.items():
        both = isinstance(value, dict) and isinstance(base.get(key), dict)
        made[key] = merged(base[key], value) if both else value
    return made


def change(told: dict[str, Any], setting: str) -> dict[str, Any]:
    """A scenario with `KEY=VALUE` set, where the key leads through tables by dots: `classes.view.work=0.3`.

    What stands in a list goes by its name, or by its number from 0. The value is TOML's, or else a word.
    BadScenario where the way leads nowhere; what is wrong with the value is told when it is built.
    """
    path, equals, text = setting.partition("=")
    *way, last = path.strip().split(".")
    if not equals or not last:
        raise BadScenario(f"{setting!r} is no KEY=VALUE")
    try:
        value = tomllib.loads(f"x = {text}")["x"]
    except tomllib.TOMLDecodeError:
        value = text.strip()
    changed = copy.deepcopy(told)
    at: Any = changed
    for step in way:
        at = at.setdefault(step, {}) if isinstance(at, dict) else member(at, step, path)
    if not isinstance(at, dict):
        raise BadScenario(f"there is no table at {path!r}")
    at[last] = value
    return changed


def member(listed: Any, step: str, path: str) -> Any:
    if isinstance(listed, list):
        for n, entry in enumerate(listed):
            if step == str(n) or isinstance(entry, dict) and entry.get("name") == step:
                return entry
    raise BadScenario(f"there is no {step!r} on the way to {path!r}")


def build_scenario(told: dict[str, Any]) -> Scenario:
    try:
        scenario = msgspec.convert(told, Scenario)
    except msgspec.ValidationError as error:
        raise BadScenario(str(error)) from error
    check(scenario)
    return scenario


def pool_settings(scenario: Scenario) -> PoolSettings:
    """BadScenario, as a gateway's start would say it."""
    try:
        return read_pool(scenario.pool)
    except ValueError as error:
        raise BadScenario(f"{error} - at `$.pool`") from error


def check(scenario: Scenario) -> None:
    """What single values can't tell."""
    pool_settings(scenario)
    shares = {
        "classes": [(c.name, c.share) for c in scenario.classes],
        "plans": [(p.name, p.share) for p in scenario.plans],
    }
    for what, named in shares.items():
        if len(dict(named)) < len(named):
            raise BadScenario(f"a name stands twice - at `$.{what}`")
        total = sum(share for _, share in named)
        if not 0.999 <= total <= 1.001:
            raise BadScenario(f"the shares add up to {total:g} and not to 1 - at `$.{what}`")
    strange = scenario.fleet.regions.keys() - set(scenario.fleet.zones)
    if strange:
        raise BadScenario(f"there is no zone {min(strange)!r} - at `$.fleet.regions`")
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
    """BadScenario for what can't be played with real processes."""
    fleet = scenario.fleet
    if max(fleet.gateways, fleet.backends) > MOST_PEERS:
        raise BadScenario(f"real gateways and backends are at most {MOST_PEERS} each - at `$.fleet`")
    if scenario.seconds > LONGEST:
        raise BadScenario(f"real time is at most {LONGEST:g} s - at `$.seconds`")
    for n, fault in enumerate(scenario.faults):
        if fault.kind in ("cut", "clock"):
            raise BadScenario(f"no real process has {fault.kind!r} here - at `$.faults[{n}].kind`")
