"""Messages between the command and the processes of a play: one JSON object a line, on standard streams."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from embersill.lab.scale.records import FleetSize


class Message(msgspec.Struct, tag=True, frozen=True):
    """Base of all messages; the tag is the class's name."""


# from the command


class WorkerTask(Message, frozen=True):
    """The gateways that one process hosts."""

    size: FleetSize
    seed: int
    gateways: list[int]  # numbers of its gateways in the fleet
    directories: list[str]  # addresses of the list service, the leader first
    counter: str
    aggregator_lists: list[str]  # addresses of the aggregators' list service; none: the counter is called
    starts_per_second: float  # at which gateways are started


class ClientsTask(Message, frozen=True):
    """Backends, relays and clients of the real gateways."""

    size: FleetSize
    seed: int
    backend_port: int
    directories: list[str]
    counter: str
    gateways: list[RealGatewayPorts]


class RealGatewayPorts(msgspec.Struct, frozen=True):
    """Where a real gateway listens, and the relays through which it calls the list and the counter."""

    number: int
    gateway: int
    discovery_relays: list[int]
    counter_relay: int


class BeginLoad(Message, frozen=True):
    """Requests are sent from now on."""


class BeginMeasuring(Message, frozen=True):
    """Figures count from now on."""


class Restart(Message, frozen=True):
    """These gateways lose all they have, at once, and start again."""

    gateways: list[int]


class WatchFailover(Message, frozen=True):
    """This aggregator was killed: it is noted when its customers' calls are answered again."""

    aggregator: str


class EndMeasuring(Message, frozen=True):
    """Figures count no longer."""


class Collect(Message, frozen=True):
    """Asks for the report; `generations`: of the writes whose news are looked for."""

    generations: list[int]


class ReadFigures(Message, frozen=True):
    """Asks a counter for its figures."""


Command = (
    WorkerTask | ClientsTask | BeginLoad | BeginMeasuring | Restart | WatchFailover | EndMeasuring | Collect
    | ReadFigures)


# to the command


class Listening(Message, frozen=True):
    """A process is ready to be called."""


class GatewaysReady(Message, frozen=True):
    """All gateways of a process have the list; resident memory in bytes at three moments."""

    memory_before: int
    memory_created: int
    memory_listed: int


class Done(Message, frozen=True):
    """An order that has no other answer was carried out."""


class GatewayCounts(msgspec.Struct, frozen=True):
    """What one gateway did; between two moments where it is a difference."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    counter_calls: int = 0
    counter_bytes_out: int = 0
    counter_bytes_in: int = 0
    list_calls: int = 0
    list_bytes_out: int = 0
    list_bytes_in: int = 0

    def since(self, earlier: GatewayCounts) -> GatewayCounts:
        return GatewayCounts(
            *(getattr(self, name) - getattr(earlier, name) for name in self.__struct_fields__))


class ListAnswers(msgspec.Struct, frozen=True):
    """Answers of the list service of one kind: their number, bytes, and CPU seconds to take them in."""

    number: int = 0
    bytes: int = 0
    seconds: float = 0.0


class QuotaEvents(msgspec.Struct, frozen=True):
    """Requests that were sent on or refused, by time; the lists have one entry for each request."""

    times: list[float]  # seconds of the system's monotonic clock
    customers: list[int]
    sent: list[bool]


class RestartFigures(msgspec.Struct, frozen=True):
    """What gateways that restarted together needed until each had its list."""

    gateways: int = 0
    untold: int = 0  # gateways that had no list by the end
    list_calls: int = 0
    list_bytes_in: int = 0
    last_told_at: float = 0.0  # monotonic


class FailoverFigures(msgspec.Struct, frozen=True):
    """When gateways learned that an aggregator was gone, and when its customers' calls were answered again.

    Monotonic times, one for each gateway that got there.
    """

    left_at: list[float]
    answered_at: list[float]


class WorkerReport(Message, frozen=True):
    """Figures of one process's gateways."""

    seconds: float  # of measured time at this process
    counts: list[GatewayCounts]
    customers: list[int]  # that each gateway keeps a state for
    starts: int
    whole_lists: ListAnswers
    changes: ListAnswers
    module_seconds: float
    process_seconds: float
    memory_loaded: int
    news: list[float | None]  # monotonic time at which the last gateway was told; None: some never were
    restart: RestartFigures
    failover: FailoverFigures
    events: QuotaEvents
    given_up: dict[str, int]  # requests that the modules ended themselves since the start, by reason


class ClientsReport(Message, frozen=True):
    """Figures of the real gateways, as their clients and relays see them."""

    counts: list[GatewayCounts]
    added_ms: list[float]  # latency less the backend's service time, of each served request
    events: QuotaEvents


class CounterFigures(Message, frozen=True):
    """What a counter has done since its start, and the names that live now."""

    calls: int
    turned_away: int
    names: int


Answer = Listening | GatewaysReady | Done | WorkerReport | ClientsReport | CounterFigures

encode_line = msgspec.json.Encoder().encode
decode_command = msgspec.json.Decoder(Command).decode
decode_answer = msgspec.json.Decoder(Answer).decode


def sum_figure(counts: Sequence[GatewayCounts], name: str) -> int:
    """Sum of one figure over gateways."""
    return sum(getattr(c, name) for c in counts)
