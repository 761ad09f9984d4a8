"""The file format of a scale run: the plays with their counts and times.

Counts do not depend on the machine and are comparable between machines; times are not.
All rates are per second, all sizes bytes unless the name says otherwise.
"""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

import msgspec

from embersill.interface import AggregationSettings

FORMAT_VERSION = 1
DEFAULT_AGGREGATION = AggregationSettings()


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size and settings of the fleet of one play."""

    gateways: int
    backends: int
    customers: int
    spread: int  # gateways that receive one customer's requests
    requests_per_second: float  # at one gateway
    changes_per_second: float  # writes to the list
    restarted_share: float  # of the gateways, restarted at the same time during the play
    counter_parts: int = 1  # parts of the counter, each with its own capacity
    counter_calls_per_second: float = 0.0  # capacity of a part; 0: no limit
    aggregators: int = 0  # processes between gateways and counter; 0: gateways call the counter itself
    # counter calls of a gateway, with aggregators
    gateway_calls_per_second: float = DEFAULT_AGGREGATION.calls_per_second
    gateway_calls_burst: float = DEFAULT_AGGREGATION.burst  # unused calls that a gateway may accumulate
    aggregators_killed: int = 0  # during the play, at the same time


@dataclass(frozen=True, slots=True)
class Play:
    """One run at one axis value; `counts` do not depend on the machine, `times` do."""

    axis: str
    value: float
    number: int  # of the play at this axis value, from 0
    seed: int
    size: FleetSize
    seconds: float  # of measured time, after the warm-up
    counts: dict[str, float]
    times: dict[str, float]


@dataclass(frozen=True, slots=True)
class Slope:
    """The fitted line of one measure over one axis.

    `bends` is true if a quadratic term is significant: then the line must not be extrapolated beyond the
    largest value that was played.
    """

    axis: str
    measure: str
    slope: float
    intercept: float
    low: float  # lower end of the slope's 95% confidence interval
    high: float  # upper end of it
    residual: float  # root mean square, in the measure's unit
    plays: int
    largest: float  # axis value that was played
    bends: bool


@dataclass(frozen=True, slots=True)
class Record:
    """All plays and slopes of one scale command."""

    version: int
    taken: str  # date of the run, ISO 8601
    command: str
    cores: int
    plays: tuple[Play, ...]
    slopes: tuple[Slope, ...] = ()


class BadRecord(Exception):
    """A file that is not a record of the expected format version."""


def read_record(path: pathlib.Path) -> Record:
    """Reads a record; raises BadRecord with a one-line message if the file is missing or invalid."""
    try:
        record = msgspec.json.decode(path.read_bytes(), type=Record)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadRecord(f"{path.name}: {error}") from error
    if record.version != FORMAT_VERSION:
        raise BadRecord(f"{path.name}: version {record.version}, not {FORMAT_VERSION}")
    return record


def write_record(path: pathlib.Path, record: Record) -> None:
    """Writes the record as indented JSON, so that changes are readable as a diff."""
    text = msgspec.json.format(msgspec.json.encode(record), indent=1)
    path.write_bytes(text + b"\n")
