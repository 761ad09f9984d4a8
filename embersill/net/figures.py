"""What this process has done since its start, counted once and read by the log line and the console alike."""

from __future__ import annotations

import json
from collections import Counter as Tally
from collections.abc import Iterable

RESULTS = ("success", "busy", "failure")


class Figures:
    """Requests by how they ended and class, and whatever else ended, by its name."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.requests_by_result = {kind: dict.fromkeys(classes, 0) for kind in RESULTS}
        self.other_counts: Tally[str] = Tally()  # attempts, counter calls, clients that left
        self.last_reported: Tally[str] = Tally()  # as of the last line in the log

    def count_answer(self, status: int, klass: str) -> None:
        kind = "success" if status == 200 else "busy" if status in (429, 503) else "failure"
        self.requests_by_result[kind][klass] += 1

    def report_changes(self, more: Tally[str], others: Tally[str]) -> str:
        """What has come since it was last asked, in words, of `others` too; `more` is told along with it."""
        totals = self.other_counts + others + Tally({kind: sum(by.values()) for kind, by in self.requests_by_result.items()})
        news = totals - self.last_reported + more
        self.last_reported = totals
        return ", ".join(f"{name} {number}" for name, number in sorted(news.items()))

    def to_json(self, **gauges: int) -> str:
        """All of it as one JSON object, with what is measured at this moment."""
        return json.dumps({**self.requests_by_result, **gauges}, separators=(",", ":"))
