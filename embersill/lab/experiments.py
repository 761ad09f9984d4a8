"""Experiments: which plays they take, and what they tell together."""

from __future__ import annotations

import itertools
import math
import pathlib
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from embersill.lab.figures import FIGURES, difference, figures, interval, rank_correlation
from embersill.lab.plays import Play, Report
from embersill.lab.scenario import BadScenario, change

Table = dict[str, Any]
SHORT = ("net", "served", "overrun", "refused", "p99", "tries", "handshakes")  # of a sweep: what fits a line


@dataclass(frozen=True, slots=True)
class Variant:
    """What is played beside others: the decisions of a checkout ("": these here), and changed settings."""

    name: str
    version: str = ""
    settings: tuple[str, ...] = ()

    def play(self, told: dict[str, Any], seed: int, real: pathlib.Path | None) -> Play:
        """`real`: where the logs of real processes go, a folder for each play."""
        for setting in self.settings:
            told = change(told, setting)
        logs = "" if real is None else str(real / f"{told.get('name')}-{seed}-{uuid.uuid4().hex[:8]}")
        return Play(self.name, told, seed, self.version, logs)


def plan(
    scenarios: Sequence[dict[str, Any]], variants: Sequence[Variant], seeds: Sequence[int],
    real: pathlib.Path | None = None,
) -> list[Play]:
    """All of them, seed by seed, so that what is stopped early has pairs."""
    return [v.play(told, seed, real) for seed in seeds for told in scenarios for v in variants]


def combinations(overs: Sequence[str]) -> list[Variant]:
    """Of `KEY=V1,V2,...`: a variant for each value of the first with each of the second, and so on."""
    axes = []
    for over in overs:
        key, equals, values = over.partition("=")
        if not equals or not all(value.strip() for value in values.split(",")):
            raise BadScenario(f"{over!r} is no KEY=VALUE,VALUE,...")
        axes.append([f"{key.strip()}={value.strip()}" for value in values.split(",")])
    return [Variant(" ".join(settings), "", settings) for settings in itertools.product(*axes)]


def by_variant(plays: Sequence[Play], reports: Sequence[Report]) -> dict[str, dict[str, dict[int, Report]]]:
    """Reports that are not void: by scenario, variant and seed."""
    found: dict[str, dict[str, dict[int, Report]]] = {}
    for play, report in zip(plays, reports, strict=True):
        if "void" not in report:
            found.setdefault(report["scenario"], {}).setdefault(play.variant, {})[play.seed] = report
    return found


def values(reports: dict[int, Report], seeds: Sequence[int]) -> dict[str, list[float]]:
    told = [figures(reports[seed]) for seed in seeds]
    return {name: [each[name] for each in told] for name in FIGURES}


def compared(plays: Sequence[Play], reports: Sequence[Report], a: str, b: str) -> list[Table]:
    """For each scenario: each figure of both, over the seeds that both have."""
    tables = []
    for scenario, variants in by_variant(plays, reports).items():
        of_a, of_b = variants.get(a, {}), variants.get(b, {})
        seeds = sorted(of_a.keys() & of_b.keys())
        if not seeds:
            continue
        in_a, in_b, rows = values(of_a, seeds), values(of_b, seeds), []
        for name in FIGURES:
            found = difference(in_a[name], in_b[name])
            rows.append([name, number(found.a), number(found.b), number(found.mean, "+"),
                         f"{number(found.low, '+')} to {number(found.high, '+')}", found.verdict])
        tables.append({"title": f"{scenario}: A {a}, B {b}, {len(seeds)} seeds",
                       "head": ["figure", "A", "B", "B - A", "95% of its mean", "verdict"], "rows": rows})
    return tables


def swept(plays: Sequence[Play], reports: Sequence[Report]) -> list[Table]:
    """For each scenario a line for each variant: the means, and how far the net worth moves with seeds."""
    tables = []
    for scenario, variants in by_variant(plays, reports).items():
        rows = []
        for variant, by_seed in variants.items():
            found = values(by_seed, sorted(by_seed))
            net = found["net"]
            rows.append([variant, *(number(float(np.mean(found[name]))) for name in SHORT),
                         f"{number(min(net))} to {number(max(net))}", str(len(net))])
        tables.append({"title": scenario, "head": ["settings", *SHORT, "net, least to most", "plays"],
                       "rows": rows})
    return tables


def ranked(
    plays: Sequence[Play], reports: Sequence[Report], recorded: dict[str, float]
) -> tuple[Table, float | None]:
    """Versions by their mean net worth over scenarios and seeds, beside what is recorded of them elsewhere.

    With the rank correlation over the versions that have a record; None with fewer than three.
    """
    nets: dict[str, list[float]] = {}
    for variants in by_variant(plays, reports).values():
        for variant, by_seed in variants.items():
            nets.setdefault(variant, []).extend(values(by_seed, sorted(by_seed))["net"])
    rows = []
    for variant, net in sorted(nets.items(), key=lambda item: -float(np.mean(item[1]))):
        low, high = interval(np.array(net))
        rows.append([variant, number(float(np.mean(net))), f"{number(low)} to {number(high)}", str(len(net)),
                     number(recorded[variant]) if variant in recorded else ""])
    both = [variant for variant in nets if variant in recorded]
    rho = None
    if len(both) >= 3:
        rho = rank_correlation([float(np.mean(nets[v])) for v in both], [recorded[v] for v in both])
    title = "Ranking by net worth" + ("" if rho is None else f"; rank correlation with the record {rho:.2f}")
    head = ["version", "net", "95% of its mean", "plays", "recorded"]
    return {"title": title, "head": head, "rows": rows}, rho


def number(value: float, sign: str = "") -> str:
    return "none" if math.isnan(value) else f"{value:{sign}.4g}"


def as_text(table: Table) -> str:
    """Its title, and its rows in columns."""
    lines = [table["head"], *table["rows"]]
    first, *others = [max(len(line[n]) for line in lines) for n in range(len(table["head"]))]
    text = [table["title"]]
    for name, *cells in lines:
        text.append("  ".join(["", name.ljust(first), *map(str.rjust, cells, others)]).rstrip())
    return "\n".join(text)
