"""What runs show together: figures, paired differences, and how alike two rankings are."""

from __future__ import annotations

import warnings
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

# scipy takes a second to load, which the process of each play is spared: it is imported where it is used
RESAMPLES = 9999  # of a bootstrap: its ends move by less than a hundredth of their width
LEVEL = 0.95
LEAST_PAIRS = 6  # for a verdict: fewer are all of one sign by chance more than once in twenty

FIGURES = {
    "net": "worth served of what quotas cover, less what was spent beyond them",
    "served": "worth served of what quotas cover",
    "overrun": "cost of what was sent beyond quotas, of the same",
    "refused": "requests refused in the end, of all",
    "p50": "milliseconds to half of the answers",
    "p99": "milliseconds to 99 in 100 of the answers",
    "tries": "a client's tries a request",
    "handshakes": "connections opened, an attempt",
    "counter": "calls to the counter, a request",
    "spread": "work at the busiest backend, of the mean",
}


def figures(report: dict[str, Any]) -> dict[str, float]:
    """The named figures of a run's report; nan where it has nothing to tell one by."""
    requests, attempts = report["requests"], sum(report["attempts"].values())
    served, overrun = told(report["served"]), told(report["overrun"])
    return {
        "net": served - overrun, "served": served, "overrun": overrun,
        "refused": part(report["ends"].get("refused", 0), requests),
        "p50": float(report["latency_ms"]["p50"]), "p99": float(report["latency_ms"]["p99"]),
        "tries": part(report["tries"], requests), "handshakes": part(report["handshakes"], attempts),
        "counter": part(sum(report["counter"].values()), requests), "spread": told(report["load_spread"]),
    }


def told(value: float | None) -> float:
    return float("nan") if value is None else value


def part(some: float, whole: float) -> float:
    return some / whole if whole else float("nan")


@dataclass(frozen=True, slots=True)
class Difference:
    """Of B against A on the same seeds: means, and a bootstrap interval of the mean difference."""

    a: float
    b: float
    low: float
    high: float
    plays: int

    @property
    def mean(self) -> float:
        return self.b - self.a

    @property
    def verdict(self) -> str:
        if self.low == self.high == 0.0:
            return "same"
        if self.plays < LEAST_PAIRS or not (self.low > 0.0 or self.high < 0.0):
            return "undecided"
        return "B more" if self.low > 0.0 else "B less"


def difference(a: Sequence[float], b: Sequence[float]) -> Difference:
    """Paired by place. With one pair the interval is unbounded. ValueError for unpaired ones."""
    if len(a) != len(b) or not a:
        raise ValueError("figures that are compared come in pairs")
    steps = np.array(b) - np.array(a)
    low, high = interval(steps)
    return Difference(float(np.mean(a)), float(np.mean(b)), low, high, len(a))


def interval(values: np.ndarray[tuple[int], np.dtype[np.float64]]) -> tuple[float, float]:
    """Of the mean, by the bootstrap with a seed of its own: the same for the same values."""
    if len(values) < 2:
        return float("-inf"), float("inf")
    if np.ptp(values) == 0.0:
        return float(values[0]), float(values[0])
    from scipy import stats

    found = stats.bootstrap(
        (values,), np.mean, n_resamples=RESAMPLES, confidence_level=LEVEL, method="percentile",
        rng=np.random.default_rng(0),
    ).confidence_interval
    return float(found.low), float(found.high)


def rank_correlation(a: Sequence[float], b: Sequence[float]) -> float:
    """Spearman's; nan where one of them ranks nothing."""
    from scipy import stats

    with warnings.catch_warnings():
        warnings.simplefilter("ignore", stats.ConstantInputWarning)
        return float(stats.spearmanr(a, b).statistic)
