"""What this process has done since its start, counted once and read by the log line and the console alike."""

from __future__ import annotations

import json
from collections import Counter as Tally
from collections.abc import Iterable

KINDS = ("success", "busy", "failure")


class Figures:
    """Requests by how they ended and class, and whatever else ended, by its name."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended = {kind: dict.fromkeys(classes, 0) for kind in KINDS}
        self.others: Tally[str] = Tally()  # attempts, counter calls, clients that left
        self.told: Tally[str] = Tally()  # as of the last line in the log

    def answered(self, status: int, klass: str) -> None:
        kind = "success" if status == 200 else "busy" if status in (429, 503) else "failure"
        self.ended[kind][klass] += 1

    def since(self, more: Tally[str], others: Tally[str]) -> str:
        """What has come since it was last asked, in words, of `others` too; `more` is told along with it."""
        totals = self.others + others + Tally({kind: sum(by.values()) for kind, by in self.ended.items()})
        news = totals - self.told + more
        self.told = totals
        return ", ".join(f"{name} {number}" for name, number in sorted(news.items()))

    def text(self, **gauges: int) -> str:
        """All of it as one JSON object, with what is measured at this moment."""
        return json.dumps({**self.ended, **gauges}, separators=(",", ":"))
