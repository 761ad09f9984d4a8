"""Adapter to the simulator: reads batches of events, passes them to one Gateway per instance, writes replies.

The wire is text: tab-separated fields, durations and moments in milliseconds. The decisions are made in
`embersill.control`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from embersill.control import Gateway
from embersill.interface import (
    Action, AddToCounter, AttemptEnded, Backend, BackendList, Cancel, ClientDisconnected, CounterCallEnded,
    Event, Fail, ListKind, Outcome, Preconnect, ProbeEnded, Refuse, Request, Send, SetPoolSize, SetTimer,
    StreamStarted, Subscribe, TimerExpired,
)
from embersill.settings import BACKEND_STATUSES, read_settings

OUTCOMES = {
    "GOOD": Outcome.SERVED, "BAD": Outcome.ERROR, "FULL": Outcome.REJECTED, "LATE": Outcome.TIMED_OUT,
    "NOCONN": Outcome.NO_CONNECTION, "RST": Outcome.CONNECTION_LOST, "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
}
LIST_KINDS = {"Partial": ListKind.CHANGES, "Complete": ListKind.FULL, "Persisted": ListKind.CACHED,
              "Error": ListKind.FAILED}

MIN_BACKEND_FIELDS = 6  # of a backend line, up to its status; later fields may be absent


class MalformedInput(Exception):
    """The input does not conform to the wire format."""


def look_up(table: dict[str, Any], value: str) -> Any:
    """The entry of a table of wire values; MalformedInput if there is none."""
    if value not in table:
        raise MalformedInput(f"unknown value {value!r}")
    return table[value]


def read_backend(parts: list[str]) -> Backend:
    """The backend of a line of a page, split into fields."""
    if len(parts) < MIN_BACKEND_FIELDS or parts[0] != "backend":
        raise MalformedInput("expected a backend line")
    rating, started_at = float(optional_field(parts, 6, "1")), float(optional_field(parts, 7, "0")) / 1000.0
    return Backend(parts[1], parts[2], parts[3], int(parts[4]), look_up(BACKEND_STATUSES, parts[5]), rating,
                   started_at or None)


def read_load(parts: list[str], index: int) -> tuple[float, ...]:
    """The comma-separated load figures in the field at `index`; empty if it is absent."""
    text = optional_field(parts, index, "-")
    return () if text in ("-", "") else tuple(float(v) for v in text.split(","))


def optional_field(parts: list[str], index: int, default: str) -> str:
    """The field at `index`, or `default` if it is missing or written as "-"."""
    return parts[index] if index < len(parts) and parts[index] != "-" else default


def read_event(parts: list[str], lists: dict[int, tuple[Backend, ...]]) -> Event | None:
    """Converts an event line, split into fields; None for one that the gateway has no use for.

    `lists`: the backends of the pages received so far, by number.
    """
    message = parts[0]
    if message == "job_in":
        return Request(
            id=int(parts[1]), request_class=parts[2], plan=optional_field(parts, 3, ""),
            customer=optional_field(parts, 4, ""),
            deadline=float(parts[5]) / 1000.0, units=float(optional_field(parts, 6, "1")),
            gateway_count=int(float(optional_field(parts, 7, "0"))),
            first_gateway=int(float(optional_field(parts, 8, "0"))),
            repeat=bool(int(optional_field(parts, 9, "0")) & 2),
        )
    if message == "result":
        return AttemptEnded(
            request=int(parts[1]), attempt=int(parts[2]), backend=parts[3],
            outcome=look_up(OUTCOMES, parts[4]),
            elapsed=float(parts[5]) / 1000.0, request_ended=optional_field(parts, 6, "0") == "1",
            actual_units=float(optional_field(parts, 8, "0")), load=read_load(parts, 9),
        )
    if message == "deadline_hit":
        return TimerExpired(parts[1])
    if message == "counted":
        total = float(optional_field(parts, 3, "0"))
        return CounterCallEnded(parts[1], look_up(OUTCOMES, parts[4]), float(parts[2]) / 1000.0, total)
    if message == "discovery":
        kind = look_up(LIST_KINDS, parts[2])
        if kind is ListKind.FAILED:
            return BackendList(kind, ())
        if int(parts[1]) not in lists:
            raise MalformedInput("discovery names an unknown page")
        return BackendList(kind, lists[int(parts[1])])
    if message == "client_left":
        return ClientDisconnected(int(parts[1]))
    if message == "ack_first":
        return StreamStarted(int(parts[1]), int(parts[2]))
    if message == "probe_result":
        return ProbeEnded(
            parts[1], look_up(OUTCOMES, parts[2]), float(parts[3]) / 1000.0, read_load(parts, 4))
    if message == "note_from":
        return None
    raise MalformedInput(f"unknown message {message!r}")


def write_action(action: Action) -> str:
    """The line of an action."""
    if isinstance(action, Send):
        return f"issue\t{action.request}\t{max(action.timeout * 1000.0, 0.001):.3f}\t{action.backend}"
    if isinstance(action, SetTimer):
        return f"timer\t{action.delay * 1000.0:.3f}\t{action.key}"
    if isinstance(action, Refuse):
        return f"deny\t{action.request}\t{action.retry_after * 1000.0:.3f}"
    if isinstance(action, Fail):
        return f"report_failure\t{action.request}"
    if isinstance(action, AddToCounter):
        return f"incr\t{action.name}\t{action.amount:.6g}\t{action.expire_after * 1000.0:.3f}"
    if isinstance(action, Cancel):
        return f"recall\t{action.request}\t{action.attempt}"
    assert isinstance(action, Subscribe)
    return "keep_informed\t1"


class InstanceHost:
    """All gateway instances of one process. They share only the numbered pages of backends."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[Backend, ...]] = {}

    def run_batch(self, now: float, lines: list[str]) -> list[str]:
        """Handles the lines of one batch at the moment `now` and returns the lines of the reply.

        MalformedInput contains the line that is wrong. An exception of a gateway is written to the reply.
        """
        reply: list[str] = []
        instance = reply_instance = -1  # that the current events and reply lines belong to; -1: none yet
        index = 0
        while index < len(lines):
            parts = lines[index].split("\t")
            index += 1
            try:
                if parts[0] == "about":
                    instance = int(parts[1])
                    continue
                if parts[0] == "page":
                    count = int(parts[2])
                    if count < 0 or index + count > len(lines):
                        raise MalformedInput("a page with too few entries")
                    rows = lines[index:index + count]
                    self.lists[int(parts[1])] = tuple(read_backend(r.split("\t")) for r in rows)
                    index += count
                    continue
                if instance < 0:
                    raise MalformedInput("an event before any instance is named")
                if parts[0] == "retire":
                    self.gateways.pop(instance, None)
                    continue
                if parts[0] == "up":
                    seed = int(parts[1])
                    env = json.loads("\t".join(parts[2:]))
                    self.gateways[instance] = Gateway(read_settings(env), seed, now)
                    continue
                if instance not in self.gateways:
                    raise MalformedInput(f"an event for instance {instance}, which is not running")
                event = read_event(parts, self.lists)
            except (ValueError, IndexError, MalformedInput) as error:
                raise MalformedInput(f"{error} in line {lines[index - 1][:200]!r}") from error
            if event is None:
                continue
            try:
                actions = self.gateways[instance].handle(event, now)
            except Exception as error:  # the simulator ends the run and reports the text
                actions = []
                reply += [
                    f"speaking\t{instance}", f"crash\t{type(error).__name__}: {error}".replace("\n", " ")]
                reply_instance = instance
            if actions:
                if reply_instance != instance:
                    reply.append(f"speaking\t{instance}")
                    reply_instance = instance
                # the wire has no messages for connection pools
                reply += [write_action(action) for action in actions
                          if not isinstance(action, SetPoolSize | Preconnect)]
        return reply


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answers batches until the input ends; MalformedInput if it does not conform to the wire format."""
    host = InstanceHost()
    now: float | None = None
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\n")
        if now is None:
            parts = line.split("\t")
            if not line:
                continue
            if parts[0] != "frame" or len(parts) < 2:
                raise MalformedInput(f"expected a frame, got {line[:200]!r}")
            try:
                now = float(parts[1]) / 1000.0
            except ValueError as error:
                raise MalformedInput(f"a frame with no clock: {line[:200]!r}") from error
            lines = []
        elif line == "go":
            sink.write("\n".join([*host.run_batch(now, lines), "next", ""]))
            sink.flush()
            now = None
        else:
            lines.append(line)
    if now is not None:
        raise MalformedInput("the input ended inside a batch")


def main() -> int:
    """Serves batches on standard input and output; the exit status is 2 for malformed input."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInput as error:
        print(f"embersill: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
