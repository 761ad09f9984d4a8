"""The simulator's wire: reads batches, drives one Gateway an instance, writes replies. Decides nothing."""

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

MIN_BACKEND_FIELDS = 6  # of a backend line, up to its state: what comes after may be absent


class MalformedInput(Exception):
    """A line that the wire does not allow."""


def look_up(table: dict[str, Any], value: str) -> Any:
    if value not in table:
        raise MalformedInput(f"unknown value {value!r}")
    return table[value]


def read_backend(parts: list[str]) -> Backend:
    if len(parts) < MIN_BACKEND_FIELDS or parts[0] != "backend":
        raise MalformedInput("expected a backend line")
    rating, started = float(optional_field(parts, 6, "1")), float(optional_field(parts, 7, "0")) / 1000.0
    return Backend(parts[1], parts[2], parts[3], int(parts[4]), look_up(BACKEND_STATUSES, parts[5]), rating,
                   started or None)


def read_load(parts: list[str], at: int) -> tuple[float, ...]:
    text = optional_field(parts, at, "-")
    return () if text in ("-", "") else tuple(float(v) for v in text.split(","))


def optional_field(parts: list[str], at: int, absent: str) -> str:
    return parts[at] if at < len(parts) and parts[at] != "-" else absent


def read_event(parts: list[str], lists: dict[int, tuple[Backend, ...]]) -> Event | None:
    """One event line as an event of the library; None for what the module has no use for."""
    what = parts[0]
    if what == "job_in":
        return Request(
            id=int(parts[1]), request_class=parts[2], plan=optional_field(parts, 3, ""), customer=optional_field(parts, 4, ""),
            deadline=float(parts[5]) / 1000.0, units=float(optional_field(parts, 6, "1")),
            gateway_count=int(float(optional_field(parts, 7, "0"))),
            first_gateway=int(float(optional_field(parts, 8, "0"))), repeat=bool(int(optional_field(parts, 9, "0")) & 2),
        )
    if what == "result":
        return AttemptEnded(
            request=int(parts[1]), attempt=int(parts[2]), backend=parts[3], outcome=look_up(OUTCOMES, parts[4]),
            elapsed=float(parts[5]) / 1000.0, request_ended=optional_field(parts, 6, "0") == "1",
            actual_units=float(optional_field(parts, 8, "0")), load=read_load(parts, 9),
        )
    if what == "deadline_hit":
        return TimerExpired(parts[1])
    if what == "counted":
        total = float(optional_field(parts, 3, "0"))
        return CounterCallEnded(parts[1], look_up(OUTCOMES, parts[4]), float(parts[2]) / 1000.0, total)
    if what == "discovery":
        kind = look_up(LIST_KINDS, parts[2])
        if kind is ListKind.FAILED:
            return BackendList(kind, ())
        if int(parts[1]) not in lists:
            raise MalformedInput("discovery names an unknown page")
        return BackendList(kind, lists[int(parts[1])])
    if what == "client_left":
        return ClientDisconnected(int(parts[1]))
    if what == "ack_first":
        return StreamStarted(int(parts[1]), int(parts[2]))
    if what == "probe_result":
        return ProbeEnded(parts[1], look_up(OUTCOMES, parts[2]), float(parts[3]) / 1000.0, read_load(parts, 4))
    if what == "note_from":
        return None
    raise MalformedInput(f"unknown message {what!r}")


def write_action(action: Action) -> str:
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
    """All instances of one process. They share nothing but the numbered lists that the wire itself shares."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[Backend, ...]] = {}

    def run_batch(self, now: float, lines: list[str]) -> list[str]:
        out: list[str] = []
        who = speaking = -1
        at = 0
        while at < len(lines):
            parts = lines[at].split("\t")
            at += 1
            try:
                if parts[0] == "about":
                    who = int(parts[1])
                    continue
                if parts[0] == "page":
                    count = int(parts[2])
                    if count < 0 or at + count > len(lines):
                        raise MalformedInput("a page with too few entries")
                    rows = lines[at:at + count]
                    self.lists[int(parts[1])] = tuple(read_backend(r.split("\t")) for r in rows)
                    at += count
                    continue
                if who < 0:
                    raise MalformedInput("an event before any instance is named")
                if parts[0] == "retire":
                    self.gateways.pop(who, None)
                    continue
                if parts[0] == "up":
                    seed = int(parts[1])
                    env = json.loads("\t".join(parts[2:]))
                    self.gateways[who] = Gateway(read_settings(env), seed, now)
                    continue
                if who not in self.gateways:
                    raise MalformedInput(f"an event for instance {who}, which is not up")
                event = read_event(parts, self.lists)
            except (ValueError, IndexError, MalformedInput) as error:
                raise MalformedInput(f"{error} in line {lines[at - 1][:200]!r}") from error
            if event is None:
                continue
            try:
                actions = self.gateways[who].handle(event, now)
            except Exception as error:  # the module's own failure ends the day with its text
                actions = []
                out += [f"speaking\t{who}", f"crash\t{type(error).__name__}: {error}".replace("\n", " ")]
                speaking = who
            if actions:
                if speaking != who:
                    out.append(f"speaking\t{who}")
                    speaking = who
                # of connections this wire knows nothing but what attempts do
                out += [write_action(action) for action in actions
                        if not isinstance(action, SetPoolSize | Preconnect)]
        return out


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answers batches until the input ends."""
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
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInput as error:
        print(f"embersill: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
