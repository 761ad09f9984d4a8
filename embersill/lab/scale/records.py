"""The recorded form of a scale run: what was played, what was counted and what was timed.

Counts do not depend on the machine and may be compared between machines; times do and may not.
All rates are per second, all sizes bytes unless the name says otherwise.
"""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

import msgspec

from embersill.interface import AggregationSettings

FORMAT_VERSION = 1
DEFAULT_AGGREGATION = AggregationSettings()  # its defaults


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size that one point of an axis is played at."""

    gateways: int
    backends: int
    customers: int
    spread: int  # gateways that one customer's requests enter through
    requests_per_second: float  # at one gateway
    changes_per_second: float  # writes to the list
    restarted_share: float  # of the gateways, that start again at once during the play
    counter_parts: int = 1  # parts of the counter, each with its own capacity
    counter_calls_per_second: float = 0.0  # capacity of a part; 0: no limit
    aggregators: int = 0  # processes between gateways and counter; 0: gateways call the counter itself
    gateway_calls_per_second: float = DEFAULT_AGGREGATION.calls_per_second  # counter calls of a gateway, with aggregators
    gateway_calls_burst: float = DEFAULT_AGGREGATION.burst  # of them, that a gateway may save up
    aggregators_killed: int = 0  # during the play, at once


@dataclass(frozen=True, slots=True)
class Play:
    """One play of one point: `counts` are machine-independent, `times` are not."""

    axis: str
    value: float
    number: int  # of the play at this point, from 0
    seed: int
    size: FleetSize
    seconds: float  # of measured time, after the warm-up
    counts: dict[str, float]
    times: dict[str, float]


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through the plays of one axis for one measure.

    `bends` is true where a quadratic term is distinguishable from nought: then the line must not be
    extended beyond the largest value that was played.
    """

    axis: str
    measure: str
    slope: float
    intercept: float
    low: float  # of the slope's 95% interval
    high: float
    residual: float  # root mean square, in the measure's unit
    plays: int
    largest: float  # value that was played
    bends: bool


@dataclass(frozen=True, slots=True)
class Record:
    """All of one scale command."""

    version: int
    taken: str  # date of the run, ISO 8601
    command: str
    cores: int
    plays: tuple[Play, ...]
    slopes: tuple[Slope, ...] = ()


class BadRecord(Exception):
    """A file that does not hold a scale run in this form."""


def read_record(path: pathlib.Path) -> Record:
    """The recorded run; BadRecord says in one line what is wrong with the file."""
    try:
        record = msgspec.json.decode(path.read_bytes(), type=Record)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadRecord(f"{path.name}: {error}") from error
    if record.version != FORMAT_VERSION:
        raise BadRecord(f"{path.name}: version {record.version}, not {FORMAT_VERSION}")
    return record


def write_record(path: pathlib.Path, record: Record) -> None:
    """Writes the run, indented, so that its changes can be read as a diff."""
    text = msgspec.json.format(msgspec.json.encode(record), indent=1)
    path.write_bytes(text + b"\n")
