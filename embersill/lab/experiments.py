"""Experiments: the plays that each needs and the tables computed from their reports."""

from __future__ import annotations

import itertools
import math
import pathlib
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from embersill.lab.figures import FIGURES, difference, figures, mean_interval, rank_correlation
from embersill.lab.plays import Play, Report
from embersill.lab.scenario import BadScenario, apply_setting

Table = dict[str, Any]
SWEEP_FIGURES = ("net", "served", "overrun", "refused", "p99", "tries", "handshakes")  # they fit on a line


@dataclass(frozen=True, slots=True)
class Variant:
    """One side of a comparison: the decisions of a checkout ("": this one) and changed settings."""

    name: str
    version: str = ""
    settings: tuple[str, ...] = ()

    def play(self, scenario: dict[str, Any], seed: int, real: pathlib.Path | None) -> Play:
        """`real`: folder for the logs of real processes, with a subfolder for each play."""
        for setting in self.settings:
            scenario = apply_setting(scenario, setting)
        logs = "" if real is None else str(real / f"{scenario.get('name')}-{seed}-{uuid.uuid4().hex[:8]}")
        return Play(self.name, scenario, seed, self.version, logs)


def plan_plays(
    scenarios: Sequence[dict[str, Any]], variants: Sequence[Variant], seeds: Sequence[int],
    real: pathlib.Path | None = None,
) -> list[Play]:
    """All plays, seed by seed, so that an experiment that is stopped early has complete pairs."""
    return [v.play(scenario, seed, real) for seed in seeds for scenario in scenarios for v in variants]


def combinations(axis_settings: Sequence[str]) -> list[Variant]:
    """A variant for each combination of the values in settings like `KEY=V1,V2,...`. Raises BadScenario."""
    axes = []
    for setting in axis_settings:
        key, equals, values = setting.partition("=")
        if not equals or not all(value.strip() for value in values.split(",")):
            raise BadScenario(f"{setting!r} is no KEY=VALUE,VALUE,...")
        axes.append([f"{key.strip()}={value.strip()}" for value in values.split(",")])
    return [Variant(" ".join(settings), "", settings) for settings in itertools.product(*axes)]


def by_variant(plays: Sequence[Play], reports: Sequence[Report]) -> dict[str, dict[str, dict[int, Report]]]:
    """The reports that are not void, by scenario, variant and seed."""
    grouped: dict[str, dict[str, dict[int, Report]]] = {}
    for play, report in zip(plays, reports, strict=True):
        if "void" not in report:
            grouped.setdefault(report["scenario"], {}).setdefault(play.variant, {})[play.seed] = report
    return grouped


def figure_values(reports: dict[int, Report], seeds: Sequence[int]) -> dict[str, list[float]]:
    """Each figure's values for these seeds."""
    rows = [figures(reports[seed]) for seed in seeds]
    return {name: [row[name] for row in rows] for name in FIGURES}


def comparison_tables(plays: Sequence[Play], reports: Sequence[Report], a: str, b: str) -> list[Table]:
    """A table for each scenario: each figure of variants `a` and `b`, over the seeds that both have."""
    tables = []
    for scenario, variants in by_variant(plays, reports).items():
        of_a, of_b = variants.get(a, {}), variants.get(b, {})
        seeds = sorted(of_a.keys() & of_b.keys())
        if not seeds:
            continue
        in_a, in_b, rows = figure_values(of_a, seeds), figure_values(of_b, seeds), []
        for name in FIGURES:
            found = difference(in_a[name], in_b[name])
            rows.append([
                name, format_number(found.a), format_number(found.b), format_number(found.mean, "+"),
                f"{format_number(found.low, '+')} to {format_number(found.high, '+')}", found.verdict])
        tables.append({"title": f"{scenario}: A {a}, B {b}, {len(seeds)} seeds",
                       "head": ["figure", "A", "B", "B - A", "95% of its mean", "verdict"], "rows": rows})
    return tables


def sweep_tables(plays: Sequence[Play], reports: Sequence[Report]) -> list[Table]:
    """A table for each scenario with a row for each variant: mean figures and the range of net worth."""
    tables = []
    for scenario, variants in by_variant(plays, reports).items():
        rows = []
        for variant, by_seed in variants.items():
            by_figure = figure_values(by_seed, sorted(by_seed))
            net = by_figure["net"]
            rows.append([variant,
                         *(format_number(float(np.mean(by_figure[name]))) for name in SWEEP_FIGURES),
                         f"{format_number(min(net))} to {format_number(max(net))}", str(len(net))])
        tables.append({"title": scenario, "head": ["settings", *SWEEP_FIGURES, "net, least to most", "plays"],
                       "rows": rows})
    return tables


def ranking_table(
    plays: Sequence[Play], reports: Sequence[Report], recorded: dict[str, float]
) -> tuple[Table, float | None]:
    """Variants by their mean net worth over scenarios and seeds, beside the recorded figure.

    Also returns the rank correlation over the variants with a recorded figure; None for fewer than three.
    """
    nets: dict[str, list[float]] = {}
    for variants in by_variant(plays, reports).values():
        for variant, by_seed in variants.items():
            nets.setdefault(variant, []).extend(figure_values(by_seed, sorted(by_seed))["net"])
    rows = []
    for variant, net in sorted(nets.items(), key=lambda item: -float(np.mean(item[1]))):
        low, high = mean_interval(np.array(net))
        rows.append([variant, format_number(float(np.mean(net))),
                     f"{format_number(low)} to {format_number(high)}", str(len(net)),
                     format_number(recorded[variant]) if variant in recorded else ""])
    both = [variant for variant in nets if variant in recorded]
    rho = None
    if len(both) >= 3:
        rho = rank_correlation([float(np.mean(nets[v])) for v in both], [recorded[v] for v in both])
    title = "Ranking by net worth" + ("" if rho is None else f"; rank correlation with the record {rho:.2f}")
    head = ["version", "net", "95% of its mean", "plays", "recorded"]
    return {"title": title, "head": head, "rows": rows}, rho


def format_number(value: float, sign: str = "") -> str:
    return "none" if math.isnan(value) else f"{value:{sign}.4g}"


def format_table(table: Table) -> str:
    """The table as text: its title, then its rows in aligned columns."""
    lines = [table["head"], *table["rows"]]
    first, *others = [max(len(line[n]) for line in lines) for n in range(len(table["head"]))]
    text = [table["title"]]
    for name, *cells in lines:
        text.append("  ".join(["", name.ljust(first), *map(str.rjust, cells, others)]).rstrip())
    return "\n".join(text)
