"""Counters of what this process has done since its start, read by the log line and the console."""

from __future__ import annotations

import json
from collections import Counter as Tally
from collections.abc import Iterable

RESULTS = ("success", "busy", "failure")


class Figures:
    """Counts the answered requests by result and class, and other events by name."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.requests_by_result = {result: dict.fromkeys(classes, 0) for result in RESULTS}
        self.other_counts: Tally[str] = Tally()  # attempts, counter calls, clients that disconnected
        self.last_reported: Tally[str] = Tally()  # totals at the last log line

    def count_answer(self, status: int, request_class: str) -> None:
        result = "success" if status == 200 else "busy" if status in (429, 503) else "failure"
        self.requests_by_result[result][request_class] += 1

    def report_changes(self, additional: Tally[str], others: Tally[str]) -> str:
        """Returns what was counted here and in the totals `others` since the last call: `name number` pairs.

        `additional` holds counts, not totals, which are reported as well.
        """
        totals = self.other_counts + others + Tally({
            result: sum(by_class.values()) for result, by_class in self.requests_by_result.items()})
        changes = totals - self.last_reported + additional
        self.last_reported = totals
        return ", ".join(f"{name} {number}" for name, number in sorted(changes.items()))

    def to_json(self, **gauges: int | str) -> str:
        """Returns the requests by result, and `gauges`, as one JSON object."""
        return json.dumps({**self.requests_by_result, **gauges}, separators=(",", ":"))
