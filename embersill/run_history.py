"""Requests that a backend may have run and that must not run again anywhere, for when they come again.

A client may leave and send the same request on another connection, also to the successor of this process.
Where it may run then depends on the attempts before. No decisions are made here, and there is no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

MAX_RUNS = 16_384  # remembered requests: some 4 MB. The oldest are forgotten first


@dataclass(slots=True)
class PossibleRun:
    """What is known of a request's attempts that are not proven not to have run.

    group: zone or cell of the first one's backend, by the class's scope; "" for all backends
    sent_at: when the first one was sent
    attempts: number of all attempts
    """

    group: str | int
    sent_at: float
    attempts: int


def request_key(customer: str, call_id: str) -> str:
    """The request, as the client names it."""
    return f"{customer}/{call_id}"


class RunHistory:
    """Possible runs of the last `span` seconds, by request.

    Entries are tuples, which cost the garbage collector nothing: when a request was recorded first, and the
    fields of its PossibleRun.
    """

    def __init__(self, span: float) -> None:
        self.span = span
        self.runs: dict[str, tuple[float, str | int, float, int]] = {}
        self.recorded: deque[tuple[float, str]] = deque()  # the same times, also of withdrawn ones

    def __len__(self) -> int:
        return len(self.runs)

    def find(self, key: str) -> PossibleRun | None:
        """The possible run of a request, if it had one."""
        entry = self.runs.get(key)
        return None if entry is None else PossibleRun(*entry[1:])

    def record(self, key: str, group: str | int, sent_at: float, attempts: int, now: float) -> None:
        """Remembers a possible run, in place of an earlier one of the request."""
        entry = self.runs.get(key)
        if entry is None:
            self.recorded.append((now, key))
        self.runs[key] = (now if entry is None else entry[0], group, sent_at, attempts)
        if self.recorded[0][0] <= now - self.span or len(self.recorded) > MAX_RUNS:
            self.forget_old(now)

    def withdraw(self, key: str) -> None:
        """Forgets a request, as it is proven that no backend ran it."""
        self.runs.pop(key, None)

    def forget_old(self, now: float) -> None:
        """Forgets what is older than the span, and the oldest beyond MAX_RUNS."""
        while self.recorded and (self.recorded[0][0] <= now - self.span or len(self.recorded) > MAX_RUNS):
            recorded_at, key = self.recorded.popleft()
            entry = self.runs.get(key)
            if entry is not None and entry[0] == recorded_at:
                del self.runs[key]

    def state(self, now: float) -> list[list[Any]]:
        """The runs for a successor."""
        self.forget_old(now)
        return [[key, *entry[1:]] for key, entry in self.runs.items()]

    def restore(self, rows: Iterable[list[Any]], ahead: float, now: float) -> None:
        """Adds the predecessor's runs; this process's clock is `ahead` seconds ahead of its clock."""
        for key, group, sent_at, attempts in rows:
            self.record(key, group, sent_at + ahead, attempts, now)
