"""The HTML report of an experiment: tables of figures, and plots of the means over all seeds."""

from __future__ import annotations

import io
import pathlib
from collections import Counter as Tally
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import jinja2
import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from embersill.lab.figures import FIGURES, figures

matplotlib.rcParams["svg.hashsalt"] = "embersill"  # makes the page reproducible
PLOT_SIZE = (7.0, 2.8)  # inches
Reports = list[dict[str, Any]]

PAGE_TEMPLATE = jinja2.Environment(autoescape=True, trim_blocks=True, lstrip_blocks=True).from_string("""\
<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title><style>
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 62em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { padding: .2em .7em; border-bottom: 1px solid #ccc }
td { text-align: right } td:first-child, th { text-align: left }
.plots { display: flex; flex-wrap: wrap; gap: 1em } figure { margin: 0; flex: 1 1 28em }
svg { width: 100%; height: auto } .bad { color: #a00 }
</style></head><body><h1>{{ title }}</h1><p>{{ how }}</p>
{% for line in bad %}<p class="bad">{{ line }}</p>
{% endfor %}
{% for table in tables %}<h2>{{ table.title }}</h2><table><tr>{% for cell in table.head %}<th>{{ cell }}</th>
{% endfor %}</tr>
{% for row in table.rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% endfor %}
{% for scenario in scenarios %}<h2>{{ scenario.name }}</h2><div class="plots">
{% for plot in scenario.plots %}<figure>{{ plot | safe }}</figure>
{% endfor %}</div>
{% endfor %}
</body></html>
""")


def write_page(path: pathlib.Path, result: dict[str, Any]) -> None:
    """Writes the page for `result`, the content of result.json."""
    plays = result["plays"]
    valid_plays = [play for play in plays if "void" not in play["report"]]
    scenarios = list(dict.fromkeys(play["report"]["scenario"] for play in valid_plays))
    variants = list(dict.fromkeys(play["variant"] for play in valid_plays))
    page = PAGE_TEMPLATE.render(
        title=result["title"], bad=[problem_line(play) for play in plays if problem_line(play)],
        how=f"{len(plays)} plays in virtual time; plots show means over seeds. "
            "Two versions are compared on the same seeds only.",
        tables=[*result["tables"], figures_table(valid_plays)],
        scenarios=[{"name": name, "plots": draw_plots(name, variants, valid_plays)} for name in scenarios])
    path.write_text(page)


def problem_line(play: dict[str, Any]) -> str:
    """What went wrong in a play, or ""."""
    report = play["report"]
    name = f"{play['variant']}, {report['scenario']}, seed {report['seed']}"
    if "void" in report:
        return f"{name} is void: {report['void']}"
    if report["breaches"]:
        first = report["first_breaches"][0]
        return f"{name} broke rules {report['breaches']} times, first {first['rule']} at {first['at']:g} s"
    return ""


def figures_table(valid_plays: Reports) -> dict[str, Any]:
    rows = [[f"{p['variant']}, {p['report']['scenario']}, seed {p['report']['seed']}",
             *(f"{value:.4g}" for value in figures(p["report"]).values())] for p in valid_plays]
    return {"title": "Figures of each play", "head": ["play", *FIGURES], "rows": rows}


# plots


def draw_plots(scenario: str, variants: Sequence[str], valid_plays: Reports) -> list[str]:
    by_variant = {v: [p["report"] for p in valid_plays
                      if p["variant"] == v and p["report"]["scenario"] == scenario]
                  for v in variants}
    by_variant = {v: reports for v, reports in by_variant.items() if reports}
    return [draw_plot(title, x_label, y_label, partial(draw_line, by_variant=by_variant))
            for title, x_label, y_label, draw_line in PLOTS]


def draw_plot(title: str, x_label: str, y_label: str, draw_line: Callable[[Axes], None]) -> str:
    """The plot as an SVG element."""
    figure = Figure(figsize=PLOT_SIZE, layout="constrained")
    axes = figure.add_subplot()
    draw_line(axes)
    axes.set_title(title, loc="left", fontsize=10)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(alpha=0.3)
    if axes.get_legend_handles_labels()[1]:
        axes.legend(fontsize=8)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    return buffer.getvalue().partition("<svg")[1] + buffer.getvalue().partition("<svg")[2]


def plot_over_time(
    axes: Axes, by_variant: dict[str, Reports], value: Callable[[list[float]], float], key: str
) -> None:
    """Plots a value of the report's rows under `key`, whose first column is the time."""
    for variant, reports in by_variant.items():
        windows: dict[float, list[float]] = {}
        for report in reports:
            for row in report[key]:
                windows.setdefault(row[0], []).append(value(row))
        axes.plot(list(windows), [float(np.nanmean(v)) for v in windows.values()], label=variant)
    axes.set_ylim(bottom=0.0)


def service(axes: Axes, by_variant: dict[str, Reports]) -> None:
    plot_over_time(axes, by_variant, lambda row: row[2] / row[1] if row[1] else float("nan"), "service")


def handshakes(axes: Axes, by_variant: dict[str, Reports]) -> None:
    plot_over_time(axes, by_variant, lambda row: row[1], "over_time")


def counter_calls(axes: Axes, by_variant: dict[str, Reports]) -> None:
    plot_over_time(axes, by_variant, lambda row: row[2], "over_time")


def latency(axes: Axes, by_variant: dict[str, Reports]) -> None:
    for variant, reports in by_variant.items():
        names = list(reports[0]["latency_ms"])
        means = [float(np.mean([r["latency_ms"][name] for r in reports])) for name in names]
        axes.plot(names, means, marker="o", label=variant)
    axes.set_yscale("log")


def refusals(axes: Axes, by_variant: dict[str, Reports]) -> None:
    reasons: Tally[str] = Tally()
    for reports in by_variant.values():
        for report in reports:
            reasons.update(report["refusals"])
    names, width = [name for name, _ in reasons.most_common()], 0.8 / max(1, len(by_variant))
    for n, (variant, reports) in enumerate(by_variant.items()):
        means = [float(np.mean([r["refusals"].get(name, 0) for r in reports])) for name in names]
        axes.barh(np.arange(len(names)) + n * width, means, width, label=variant)
    axes.set_yticks(np.arange(len(names)) + 0.4 - width / 2, names, fontsize=8)
    axes.invert_yaxis()


def loads(axes: Axes, by_variant: dict[str, Reports]) -> None:
    for variant, reports in by_variant.items():
        rows = np.array([sorted(r["loads"], reverse=True) for r in reports])
        axes.plot(rows.mean(axis=0), label=variant)
    axes.set_ylim(bottom=0.0)


PLOTS = [
    ("Worth served of what quotas cover", "seconds, in windows of five", "share", service),
    ("Time to the answer", "percentile", "milliseconds", latency),
    ("Refusals by reason", "tries", "", refusals),
    ("Work at each backend", "backends, busiest first", "seconds of cores", loads),
    ("Connections opened", "seconds, in windows of five", "in a window", handshakes),
    ("Calls to the counter", "seconds, in windows of five", "in a window", counter_calls),
]  # title, labels of both axes, and the function that draws the lines
