"""Interface between the sockets of a gateway and its decision module, `embersill.control`.

The sockets pass events to the decision module, which returns actions for them to carry out. Both use the
settings defined here. All moments and durations are in seconds; moments are by the gateway's own clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any


class Outcome(Enum):
    """Result of an attempt, a probe or a counter call."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    CONNECTION_LOST = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        """True if this outcome proves that the backend did not run the attempt."""
        return self in (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT)


class RepeatPolicy(Enum):
    """Whether a request of a class may be repeated after an attempt that may have run.

    SAFE requests may always be repeated, BY_KEY requests only within the group of backends that deduplicates
    them, and ONCE requests never.
    """

    SAFE = "safe"
    BY_KEY = "by key"
    ONCE = "once"


class DedupScope(Enum):
    """Group of backends that deduplicate the repeats of a keyed request among themselves."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    """Kind of a backend list.

    CHANGES has only the entries that changed. FULL has all of them, CACHED all that an earlier process
    stored. FAILED reports that no list could be fetched.
    """

    CHANGES = "changes"
    FULL = "whole"
    CACHED = "remembered"
    FAILED = "failed"


class BackendStatus(Enum):
    """State of a backend according to discovery."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Rules that all requests of one class share.

    memory: seconds for which backends remember the key of a request; 0 where they deduplicate nothing
    aim: latency target in seconds, no longer than the deadline
    deadline: seconds from its arrival after which a request needs no answer
    late_worth_share: fraction of its worth that an answer keeps between the aim and the deadline
    worth: value of an answer within the aim
    stream: whether answers are streamed to the client
    """

    name: str
    repeat_policy: RepeatPolicy
    dedup_scope: DedupScope
    memory: float
    aim: float
    deadline: float
    late_worth_share: float
    worth: float
    stream: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """Quota of the customers on this plan. Each limit is for one customer at all gateways together.

    rate: units per second that the quota allows; 0 for no quota
    burst: units that may be saved up
    concurrency: requests in flight; 0 for no limit
    ceiling_rate: units per second of the ceiling, which must never be exceeded; 0 for no ceiling
    ceiling_depth: units that the ceiling allows at once
    worth_factor: factor on the worth of an answer
    over_quota_worth, over_quota_cost: value and cost of an answer beyond the quota, as multiples of its worth
    """

    name: str
    rate: float
    burst: float
    concurrency: int
    ceiling_rate: float
    ceiling_depth: float
    worth_factor: float
    over_quota_worth: float
    over_quota_cost: float


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Configuration of the connection pools; docs/pools.md has the measured effect of each setting."""

    margin: float = 1.0  # seconds before the backends' idle limit at which an idle connection is closed
    max_age: float = 0.0  # seconds after which a connection is closed once it is free; 0: never
    opening: int = 64  # connections being opened at once
    opening_each: int = 8  # connections being opened at once to one backend
    sized: bool = False  # the decision module sets the number of idle connections
    warm: bool = False  # one connection is opened in advance to a backend that starts to serve
    learned: bool = True  # a backend's connection limit is learned from failed connects


@dataclass(frozen=True, slots=True)
class AggregationSettings:
    """Limit on the counter calls of a gateway, and the list service of its aggregators."""

    directory: str = ""  # addresses of the aggregators' list service; empty: calls go to the counter
    calls_per_second: float = 40.0  # counter calls per second, independent of the traffic
    burst: float = 80.0  # counter calls that may be saved up


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of one gateway, as read by `embersill.settings`.

    gateway_index: index of this gateway among all `gateways`, from 0
    list_pushed: discovery sends changes of the list by itself
    ask_every: seconds between two requests for the list
    counter: there is a counter service
    counter_timeout: seconds until a counter call times out
    counter_call_cost: cost of one counter call
    may_cancel, may_probe: backends allow an attempt to be cancelled, allow probes
    may_hedge: a request may have several attempts in flight
    max_attempts: attempts of one request
    max_retry_after: longest Retry-After in seconds that clients honour; 0: any
    cold_from: fraction of its capacity that a backend has at its start
    warm_within: seconds from its start in which a backend reaches its full capacity
    fall_multiple: multiple of its present capacity at which a cold backend fails
    overload_for: seconds of such a load after which it fails
    report_fields: names of the load figures that backends report
    max_units: units of the largest request
    post_paid: units are corrected to the actual amount once it is known
    aggregation: limit on counter calls; None: no limit
    """

    gateway_index: int
    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str
    list_pushed: bool
    ask_every: float
    counter: bool
    counter_timeout: float
    counter_call_cost: float
    may_cancel: bool
    may_probe: bool
    may_hedge: bool
    max_attempts: int
    max_retry_after: float
    cold_from: float
    warm_within: float
    fall_multiple: float
    overload_for: float
    report_fields: tuple[str, ...]
    max_units: float
    post_paid: bool
    pool: PoolSettings = PoolSettings()
    aggregation: AggregationSettings | None = None


@dataclass(frozen=True, slots=True)
class Backend:
    """Entry of the backend list.

    rating: capacity relative to the other backends
    started_at: when the process of the backend started; None if unknown
    """

    address: str
    zone: str
    machine_type: str
    cell: int
    status: BackendStatus
    rating: float
    started_at: float | None


@dataclass(frozen=True, slots=True)
class Request:
    """A request has arrived; the gateway must send exactly one final answer.

    deadline: moment after which the client needs no answer
    gateway_count: number of gateways that serve this customer; 0: all
    first_gateway: index of the first of these gateways
    repeat: the client has sent this request before
    uploading: its body is still being received; UploadCompleted reports its end
    call_id: the client's id of the request, with which it may come again; "" if it has none
    """

    id: int
    request_class: str
    plan: str
    customer: str
    deadline: float
    units: float
    gateway_count: int
    first_gateway: int
    repeat: bool
    uploading: bool = False
    call_id: str = ""


@dataclass(frozen=True, slots=True)
class BackendList:
    """A backend list was received, or could not be fetched; see ListKind for what `backends` then has."""

    kind: ListKind
    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected: the request needs no answer."""

    request: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The backend has started its answer to this attempt, which is streamed to the client from now on.

    No other attempt may answer the request after that.
    """

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    elapsed: seconds since it was sent
    request_ended: the request has its final answer, so none is due any more
    actual_units: units that the request actually took; 0 if unknown
    load: load figures that the backend reported, in the order of Settings.report_fields
    body_replayable: False if the body was not kept, so that the request can't be sent again
    """

    request: int
    attempt: int
    backend: str
    outcome: Outcome
    elapsed: float
    request_ended: bool
    actual_units: float
    load: tuple[float, ...]
    body_replayable: bool = True


@dataclass(frozen=True, slots=True)
class UploadCompleted:
    """The body of a request has been received completely.

    The times of the request and of its attempts are measured from now on.
    """

    request: int


@dataclass(frozen=True, slots=True)
class CounterCallEnded:
    """A call of the counter service has ended.

    elapsed: seconds since the call
    total: total of the named number after the call; only for Outcome.SERVED
    """

    name: str
    outcome: Outcome
    elapsed: float
    total: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe of a backend has ended.

    elapsed: seconds since it was sent
    load: load figures that the backend reported, in the order of Settings.report_fields
    """

    backend: str
    outcome: Outcome
    elapsed: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The timer that SetTimer started with this key has expired."""

    key: str


@dataclass(frozen=True, slots=True)
class Suspend:
    """An operator suspends a backend: nothing is sent to it until Restore, whatever its listed status."""

    backend: str


@dataclass(frozen=True, slots=True)
class Restore:
    """An operator ends the suspension of a backend."""

    backend: str


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """State of the predecessor process: stored when it exited, or handed over while it finishes its requests.

    `embersill.state_transfer` has its format.
    """

    state: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class PeerRun:
    """A request may have run at a backend for the other process of an upgrade; as in PossibleRun.

    key: the request, as the client names it
    age: seconds since its first attempt was sent
    """

    key: str
    group: str | int
    age: float
    attempts: int


@dataclass(frozen=True, slots=True)
class PredecessorEnded:
    """The predecessor process has exited: it has no requests in flight any more."""


@dataclass(frozen=True, slots=True)
class FlushCounts:
    """The gateway has answered all requests and exits: unreported units must be sent to the counter now."""


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """A backend that answered a moment ago accepted no further connection.

    open_connections: number of open connections to it
    """

    backend: str
    open_connections: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """An operator has changed the settings of the connection pools or of the counter calls."""

    pool: PoolSettings
    aggregation: AggregationSettings | None = None


@dataclass(frozen=True, slots=True)
class ShareRun:
    """Tell the other process of an upgrade that a request may have run."""

    run: PeerRun


Event = (
    Request | PeerRun | BackendList | ClientDisconnected | StreamStarted | AttemptEnded | CounterCallEnded
    | ProbeEnded | TimerExpired | Suspend | Restore | PredecessorState | PredecessorEnded | UploadCompleted
    | FlushCounts | ConnectFailed | SettingsChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0 in the order in which they are sent.

    timeout: seconds from now after which the attempt is given up
    send_window: seconds from now by which it must be written completely, or not be sent at all. It limits the
        repeat of a keyed request to the time for which backends remember its key.
    """

    request: int
    backend: str
    timeout: float
    send_window: float = inf


@dataclass(frozen=True, slots=True)
class Refuse:
    """Send the final answer that the request is rejected and may safely be sent again.

    retry_after: seconds after which the client should send it again
    reason: for logs and figures
    """

    request: int
    retry_after: float
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Send the final answer that the request failed and that it may have taken effect.

    reason: for logs and figures
    """

    request: int
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send TimerExpired with this key after `delay` seconds."""

    delay: float
    key: str


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add `amount` to a named number of the counter service and fetch its total.

    expire_after: seconds after which the counter may drop the number
    """

    name: str
    amount: float
    expire_after: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the backend list and all later changes of it from discovery."""


@dataclass(frozen=True, slots=True)
class CloseUnusedConnections:
    """Close the connections to a backend that are idle or still being opened."""

    backend: str


@dataclass(frozen=True, slots=True)
class SetPoolSize:
    """Set the limits of the connection pool of a backend.

    max_idle: number of idle connections
    max_connections: number of connections: idle, in use and being opened
    max_idle_time: seconds that a connection may be idle; the backends' own idle limit applies as well
    """

    backend: str
    max_idle: float
    max_connections: float
    max_idle_time: float


@dataclass(frozen=True, slots=True)
class Preconnect:
    """Open connections to a backend in advance, until `free_connections` are idle or being opened."""

    backend: str
    free_connections: int


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | AddToCounter | Subscribe | CloseUnusedConnections | SetPoolSize
    | Preconnect | ShareRun
)
