"""Messages between the scale command and the processes of a play, one JSON object per line.

They go through the standard streams. The names of classes and fields are the tags and keys of the messages.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from embersill.lab.scale.records import FleetSize


class Message(msgspec.Struct, tag=True, frozen=True):
    """Base of all messages; the tag is the name of the class."""


# commands, sent to the processes


class WorkerTask(Message, frozen=True):
    """Assigns hollow gateways to a worker process; its first command."""

    size: FleetSize
    seed: int
    gateways: list[int]  # numbers of its gateways in the fleet
    directories: list[str]  # addresses of the list service, the leader first
    counter: str
    aggregator_lists: list[str]  # addresses of the aggregators' list service; none: call the counter
    starts_per_second: float  # gateways of this process


class ClientsTask(Message, frozen=True):
    """Assigns the backends, relays and clients of the real gateways to a process; its first command."""

    size: FleetSize
    seed: int
    backend_port: int
    directories: list[str]
    counter: str
    gateways: list[RealGatewayPorts]


class RealGatewayPorts(msgspec.Struct, frozen=True):
    """Ports of a real gateway, and of the relays through which it calls the list service and the counter."""

    number: int
    gateway: int
    discovery_relays: list[int]
    counter_relay: int


class BeginLoad(Message, frozen=True):
    """Starts the requests of clients."""


class BeginMeasuring(Message, frozen=True):
    """Starts the measured time."""


class Restart(Message, frozen=True):
    """Restarts these gateways at the same time, without their state."""

    gateways: list[int]


class WatchFailover(Message, frozen=True):
    """An aggregator was killed: starts to measure when its customers' calls are answered again."""

    aggregator: str


class EndMeasuring(Message, frozen=True):
    """Ends the measured time."""


class Collect(Message, frozen=True):
    """Requests the report; `generations` are those of the list writes to be looked up."""

    generations: list[int]


class ReadFigures(Message, frozen=True):
    """Requests the figures of the counter."""


Command = (
    WorkerTask | ClientsTask | BeginLoad | BeginMeasuring | Restart | WatchFailover | EndMeasuring | Collect
    | ReadFigures)


# answers, sent to the scale command


class Listening(Message, frozen=True):
    """A process accepts connections."""


class GatewaysReady(Message, frozen=True):
    """All gateways of a process have the list.

    Resident bytes of the process before its gateways were created, after that, and when all had the list.
    """

    memory_before: int
    memory_created: int
    memory_listed: int


class Done(Message, frozen=True):
    """A command that has no other answer was carried out."""


class GatewayCounts(msgspec.Struct, frozen=True):
    """Counts of one gateway, since its start or as the difference between two moments."""

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
        """The difference from earlier counts."""
        return GatewayCounts(
            *(getattr(self, name) - getattr(earlier, name) for name in self.__struct_fields__))


class ListAnswers(msgspec.Struct, frozen=True):
    """Answers of the list service of one kind: their number, bytes, and CPU seconds to process them."""

    number: int = 0
    bytes: int = 0
    seconds: float = 0.0


class QuotaEvents(msgspec.Struct, frozen=True):
    """Requests that were sent to a backend or refused; each list has one entry per request."""

    times: list[float]  # monotonic
    customers: list[int]
    sent: list[bool]  # False: refused


class RestartFigures(msgspec.Struct, frozen=True):
    """What gateways that were restarted together needed until each had its list."""

    gateways: int = 0
    untold: int = 0  # gateways without a list at the end
    list_calls: int = 0
    list_bytes_in: int = 0
    last_told_at: float = 0.0  # when the last of the others had its list; monotonic


class FailoverFigures(msgspec.Struct, frozen=True):
    """When gateways removed a killed aggregator, and when its customers' calls were answered again.

    Monotonic times, one for each gateway that did or had this by the end.
    """

    left_at: list[float]
    answered_at: list[float]


class WorkerReport(Message, frozen=True):
    """What the gateways of one worker process did."""

    seconds: float  # length of the measured time in this process
    counts: list[GatewayCounts]
    customers: list[int]  # number of customers that each gateway stores state for
    starts: int  # of gateways, restarts included
    whole_lists: ListAnswers
    changes: ListAnswers
    module_seconds: float  # CPU time in the decision modules
    process_seconds: float  # CPU time of the whole process
    memory_loaded: int  # resident bytes at the end
    news: list[float | None]  # when the last gateway received each write; None: some did not. Monotonic
    restart: RestartFigures
    failover: FailoverFigures
    events: QuotaEvents
    given_up: dict[str, int]  # requests that gateways refused or failed themselves since the start, by reason


class ClientsReport(Message, frozen=True):
    """What the real gateways did, as their clients and relays see it."""

    counts: list[GatewayCounts]
    added_ms: list[float]  # latency minus the backend's service time, of each served request
    events: QuotaEvents


class CounterFigures(Message, frozen=True):
    """Calls at the counter since its start, how many of them it rejected, and its present number of names."""

    calls: int
    turned_away: int
    names: int


Answer = Listening | GatewaysReady | Done | WorkerReport | ClientsReport | CounterFigures

encode_line = msgspec.json.Encoder().encode
decode_command = msgspec.json.Decoder(Command).decode
decode_answer = msgspec.json.Decoder(Answer).decode


def sum_figure(counts: Sequence[GatewayCounts], name: str) -> int:
    """Sum of one field over gateways."""
    return sum(getattr(c, name) for c in counts)
