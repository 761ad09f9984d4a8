"""Statistics over runs: figures, paired differences and rank correlation."""

from __future__ import annotations

import warnings
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

# scipy takes a second to load and is imported only where it is used, to spare the process of each play
RESAMPLES = 9999  # of a bootstrap; moves the interval's ends by less than a hundredth of its width
CONFIDENCE_LEVEL = 0.95
MIN_PAIRS = 6  # for a verdict; fewer have one sign by chance with a probability above 1/20

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
    """The figures of a run's report by name; nan where the report has no data for one."""
    requests, attempts = report["requests"], sum(report["attempts"].values())
    served, overrun = or_nan(report["served"]), or_nan(report["overrun"])
    return {
        "net": served - overrun, "served": served, "overrun": overrun,
        "refused": ratio(report["ends"].get("refused", 0), requests),
        "p50": float(report["latency_ms"]["p50"]), "p99": float(report["latency_ms"]["p99"]),
        "tries": ratio(report["tries"], requests), "handshakes": ratio(report["handshakes"], attempts),
        "counter": ratio(sum(report["counter"].values()), requests), "spread": or_nan(report["load_spread"]),
    }


def or_nan(value: float | None) -> float:
    return float("nan") if value is None else value


def ratio(part: float, total: float) -> float:
    return part / total if total else float("nan")


@dataclass(frozen=True, slots=True)
class Difference:
    """B compared with A on the same seeds: both means and a bootstrap interval of the mean difference."""

    a: float
    b: float
    low: float
    high: float
    pairs: int

    @property
    def mean(self) -> float:
        return self.b - self.a

    @property
    def verdict(self) -> str:
        if self.low == self.high == 0.0:
            return "same"
        if self.pairs < MIN_PAIRS or not (self.low > 0.0 or self.high < 0.0):
            return "undecided"
        return "B more" if self.low > 0.0 else "B less"


def difference(a: Sequence[float], b: Sequence[float]) -> Difference:
    """Compares values that are paired by index. With one pair the interval is unbounded.

    Raises ValueError for sequences of different lengths or without values.
    """
    if len(a) != len(b) or not a:
        raise ValueError("figures that are compared come in pairs")
    differences = np.array(b) - np.array(a)
    low, high = mean_interval(differences)
    return Difference(float(np.mean(a)), float(np.mean(b)), low, high, len(a))


def mean_interval(values: np.ndarray[tuple[int], np.dtype[np.float64]]) -> tuple[float, float]:
    """Confidence interval of the mean, by a bootstrap with a fixed seed."""
    if len(values) < 2:
        return float("-inf"), float("inf")
    if np.ptp(values) == 0.0:
        return float(values[0]), float(values[0])
    from scipy import stats

    result = stats.bootstrap(
        (values,), np.mean, n_resamples=RESAMPLES, confidence_level=CONFIDENCE_LEVEL, method="percentile",
        rng=np.random.default_rng(0),
    ).confidence_interval
    return float(result.low), float(result.high)


def rank_correlation(a: Sequence[float], b: Sequence[float]) -> float:
    """Spearman's rank correlation; nan if all values of one sequence are equal."""
    from scipy import stats

    with warnings.catch_warnings():
        warnings.simplefilter("ignore", stats.ConstantInputWarning)
        return float(stats.spearmanr(a, b).statistic)
