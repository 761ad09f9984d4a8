"""Plots of a scale run: a page for each axis, a panel for each measure, panels in groups by unit."""

from __future__ import annotations

import math
import pathlib
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure, SubFigure

from embersill.lab.scale.fits import fit_slopes, points_by_measure
from embersill.lab.scale.records import Record, Slope

COLUMNS = 4
PANEL_WIDTH, PANEL_HEIGHT = 3.6, 2.6  # inches
DOTS_PER_INCH = 90
HEADROOM = 1.1  # of the largest figure
LINE_COLOUR, BENT_COLOUR, POINT_COLOUR = "tab:blue", "tab:red", "0.25"
OTHER_GROUP = "Other"
GROUPS = (  # title, and the parts of a measure's name of which one puts it there; the first match counts
    ("Memory", ("memory",)),
    ("Processor time", ("cpu", "us_per_request")),
    ("Shares", ("share",)),
    ("Bytes", ("bytes",)),
    ("Calls", ("calls",)),
    ("Elapsed time", ("_ms", "_s")),
)


@dataclass(frozen=True, slots=True)
class Panel:
    """What is drawn for one measure."""

    measure: str
    points: Sequence[tuple[float, float]]
    slope: Slope | None  # None: too few values for a line


def write_plots(record: Record, folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes one PNG for each axis that was played, and returns their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    slopes = {(slope.axis, slope.measure): slope for slope in fit_slopes(record.plays)}
    panels: dict[str, list[Panel]] = {}
    for (axis, measure), points in sorted(points_by_measure(record.plays).items()):
        finite = [point for point in points if math.isfinite(point[1])]
        if finite:
            panels.setdefault(axis, []).append(Panel(measure, finite, slopes.get((axis, measure))))
    return [write_axis(axis, panels[axis], folder / f"{axis}.png") for axis in panels]


def write_axis(axis: str, panels: Sequence[Panel], path: pathlib.Path) -> pathlib.Path:
    """One page: a row of panels, or more, for each group of measures."""
    groups = group_panels(panels)
    heights = [math.ceil(len(members) / COLUMNS) for members in groups.values()]
    figure = Figure(figsize=(COLUMNS * PANEL_WIDTH, sum(heights) * PANEL_HEIGHT + 0.4 * len(groups)),
                    layout="constrained", dpi=DOTS_PER_INCH)
    FigureCanvasAgg(figure)
    parts = figure.subfigures(len(groups), 1, height_ratios=heights, squeeze=False)
    for part, rows, (title, members) in zip(parts[:, 0], heights, groups.items(), strict=True):
        draw_group(part, rows, title, axis, members)
    figure.savefig(path, metadata={"Software": None})
    return path


def group_panels(panels: Sequence[Panel]) -> dict[str, list[Panel]]:
    """Panels by the title of their group, in the order of the groups; no group is empty."""
    titles = [*(title for title, _ in GROUPS), OTHER_GROUP]
    groups: dict[str, list[Panel]] = {title: [] for title in titles}
    for panel in panels:
        groups[group_title(panel.measure)].append(panel)
    return {title: members for title, members in groups.items() if members}


def group_title(measure: str) -> str:
    """The title of the group that a measure's name puts it into."""
    for title, parts in GROUPS:
        if any(part in measure for part in parts):
            return title
    return OTHER_GROUP


def draw_group(part: SubFigure, rows: int, title: str, axis: str, members: Sequence[Panel]) -> None:
    """The panels of one group; unused places in the last row stay empty."""
    part.suptitle(title, fontweight="bold", x=0.01, ha="left")
    places = part.subplots(rows, COLUMNS, squeeze=False).flat
    for place, panel in zip(places, members, strict=False):
        draw_panel(place, axis, panel)
    for place in part.axes[len(members):]:
        place.set_visible(False)


def draw_panel(place: Axes, axis: str, panel: Panel) -> None:
    """Plays as dots, the spread at each value as a bar from least to most, the fitted line."""
    by_value: dict[float, list[float]] = {}
    for value, figure in panel.points:
        by_value.setdefault(value, []).append(figure)
    values = sorted(by_value)
    means = [float(np.mean(by_value[value])) for value in values]
    # a mean may round to beyond all of its equal figures
    below = [max(0.0, mean - min(by_value[value])) for value, mean in zip(values, means, strict=True)]
    above = [max(0.0, max(by_value[value]) - mean) for value, mean in zip(values, means, strict=True)]
    place.errorbar(values, means, yerr=[below, above], fmt="none", ecolor=POINT_COLOUR, capsize=3)
    place.plot(*zip(*panel.points, strict=True), "o", color=POINT_COLOUR, markersize=3, alpha=0.6)
    title = panel.measure
    if panel.slope is not None:
        draw_line(place, panel.slope, values[0])
        title += " (bends)" if panel.slope.bends else ""
    bent = panel.slope is not None and panel.slope.bends
    place.set_title(title, fontsize=9, color=BENT_COLOUR if bent else "black")
    place.set_xlabel(axis, fontsize=8)
    place.tick_params(labelsize=8)
    figures = [figure for _, figure in panel.points]
    place.set_ylim(min(0.0, HEADROOM * min(figures)), max(HEADROOM * max(figures), 0.0) or 1.0)
    place.grid(alpha=0.3)


def draw_line(place: Axes, slope: Slope, smallest: float) -> None:
    """The line over what was played; dashed and red where the plays bend away from it."""
    ends = [smallest, slope.largest]
    place.plot(ends, [slope.intercept + slope.slope * value for value in ends],
               color=BENT_COLOUR if slope.bends else LINE_COLOUR,
               linestyle="--" if slope.bends else "-", linewidth=1.3)
