"""Plots of a scale run: an image for each axis, a panel for each measure, panels grouped by unit."""

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
GROUPS = (  # title, and substrings of measure names; the first group with a match is used
    ("Memory", ("memory",)),
    ("Processor time", ("cpu", "us_per_request")),
    ("Shares", ("share",)),
    ("Bytes", ("bytes",)),
    ("Calls", ("calls",)),
    ("Elapsed time", ("_ms", "_s")),
)


@dataclass(frozen=True, slots=True)
class Panel:
    """The data of one measure's panel."""

    measure: str
    points: Sequence[tuple[float, float]]
    slope: Slope | None  # None: too few values for a line


def write_plots(record: Record, folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes one PNG for each played axis, and returns their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    slopes = {(slope.axis, slope.measure): slope for slope in fit_slopes(record.plays)}
    panels: dict[str, list[Panel]] = {}
    for (axis, measure), points in sorted(points_by_measure(record.plays).items()):
        finite = [point for point in points if math.isfinite(point[1])]
        if finite:
            panels.setdefault(axis, []).append(Panel(measure, finite, slopes.get((axis, measure))))
    return [write_axis(axis, panels[axis], folder / f"{axis}.png") for axis in panels]


def write_axis(axis: str, panels: Sequence[Panel], path: pathlib.Path) -> pathlib.Path:
    """Writes one image with one or more rows of panels for each group of measures."""
    groups = group_panels(panels)
    heights = [math.ceil(len(members) / COLUMNS) for members in groups.values()]
    figure = Figure(figsize=(COLUMNS * PANEL_WIDTH, sum(heights) * PANEL_HEIGHT + 0.4 * len(groups)),
                    layout="constrained", dpi=DOTS_PER_INCH)
    FigureCanvasAgg(figure)
    subfigures = figure.subfigures(len(groups), 1, height_ratios=heights, squeeze=False)
    for subfigure, rows, (title, members) in zip(subfigures[:, 0], heights, groups.items(), strict=True):
        draw_group(subfigure, rows, title, axis, members)
    figure.savefig(path, metadata={"Software": None})
    return path


def group_panels(panels: Sequence[Panel]) -> dict[str, list[Panel]]:
    """The panels by the title of their group, in the order of GROUPS, without empty groups."""
    titles = [*(title for title, _ in GROUPS), OTHER_GROUP]
    groups: dict[str, list[Panel]] = {title: [] for title in titles}
    for panel in panels:
        groups[group_title(panel.measure)].append(panel)
    return {title: members for title, members in groups.items() if members}


def group_title(measure: str) -> str:
    """The title of the group that a measure belongs to, by its name."""
    for title, substrings in GROUPS:
        if any(substring in measure for substring in substrings):
            return title
    return OTHER_GROUP


def draw_group(subfigure: SubFigure, rows: int, title: str, axis: str, members: Sequence[Panel]) -> None:
    """Draws the panels of one group; unused subplots of the last row stay empty."""
    subfigure.suptitle(title, fontweight="bold", x=0.01, ha="left")
    subplots = subfigure.subplots(rows, COLUMNS, squeeze=False).flat
    for subplot, panel in zip(subplots, members, strict=False):
        draw_panel(subplot, axis, panel)
    for subplot in subfigure.axes[len(members):]:
        subplot.set_visible(False)


def draw_panel(subplot: Axes, axis: str, panel: Panel) -> None:
    """Draws plays as dots, a bar from minimum to maximum at each value, and the fitted line."""
    by_value: dict[float, list[float]] = {}
    for value, figure in panel.points:
        by_value.setdefault(value, []).append(figure)
    values = sorted(by_value)
    means = [float(np.mean(by_value[value])) for value in values]
    # the rounded mean of equal figures may lie outside of them
    below = [max(0.0, mean - min(by_value[value])) for value, mean in zip(values, means, strict=True)]
    above = [max(0.0, max(by_value[value]) - mean) for value, mean in zip(values, means, strict=True)]
    subplot.errorbar(values, means, yerr=[below, above], fmt="none", ecolor=POINT_COLOUR, capsize=3)
    subplot.plot(*zip(*panel.points, strict=True), "o", color=POINT_COLOUR, markersize=3, alpha=0.6)
    title = panel.measure
    if panel.slope is not None:
        draw_line(subplot, panel.slope, values[0])
        title += " (bends)" if panel.slope.bends else ""
    bent = panel.slope is not None and panel.slope.bends
    subplot.set_title(title, fontsize=9, color=BENT_COLOUR if bent else "black")
    subplot.set_xlabel(axis, fontsize=8)
    subplot.tick_params(labelsize=8)
    figures = [figure for _, figure in panel.points]
    subplot.set_ylim(min(0.0, HEADROOM * min(figures)), max(HEADROOM * max(figures), 0.0) or 1.0)
    subplot.grid(alpha=0.3)


def draw_line(subplot: Axes, slope: Slope, smallest: float) -> None:
    """Draws the line over the played range; dashed and red if the plays are not linear."""
    ends = [smallest, slope.largest]
    subplot.plot(ends, [slope.intercept + slope.slope * value for value in ends],
                 color=BENT_COLOUR if slope.bends else LINE_COLOUR,
                 linestyle="--" if slope.bends else "-", linewidth=1.3)
