"""Renders a result as one self-contained HTML page: plots as inline SVG, tables, violations of the rules."""

from __future__ import annotations

import io
from enum import IntEnum, unique
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
from matplotlib.figure import Figure

from tulipnotch.lab.results import Result, Run

_COLORS = ("#2b6cb0", "#c05621", "#2f855a", "#6b46c1", "#b83280", "#4a5568")
# Keyed by the columns of the rows in result files.
_OUTCOME_COLORS = {"served": "#2f855a", "refused": "#d69e2e", "failed": "#c53030", "gone": "#a0aec0"}

_MAX_LEGEND_SERVERS = 16


@unique
class _ServerColumn(IntEnum):
    """The columns of the rows of a server; there is one row a second."""

    RESPONSES = 0
    MAX_WAITING = 1


def write(result: Result, path: Path) -> None:
    """Writes the page to `path`; the plots show the first seed, the tables all seeds."""
    matplotlib.rcParams["svg.hashsalt"] = "tulipnotch"  # makes the page depend on the result alone
    matplotlib.rcParams["svg.fonttype"] = "none"
    run = result.runs[0]
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("tulipnotch.lab", "."), autoescape=True, undefined=jinja2.StrictUndefined
    )
    page = environment.get_template("report.html.j2").render(
        result=result,
        run=run,
        plots=[
            ("Latency of served requests, by class", _plot_latency(result, run)),
            ("Outcomes of requests", _plot_outcomes(result, run)),
            ("Responses a second, by server", _plot_servers(result, run, _ServerColumn.RESPONSES)),
            ("Maximum queue length, by server", _plot_servers(result, run, _ServerColumn.MAX_WAITING)),
        ],
        metrics=[(name, result.mean(name), min(result.values(name)), max(result.values(name)))
                 for name in sorted(run.metrics)],
    )  # fmt: skip
    path.write_text(page, encoding="utf-8")


def _new_figure(result: Result, label: str) -> tuple[Figure, Any]:
    """Returns an empty figure over the time of the run, and its axes."""
    figure = Figure(figsize=(9.2, 2.7), layout="constrained")
    axes = figure.add_subplot()
    axes.set_xlim(0.0, result.seconds)
    axes.set_xlabel("s")
    axes.set_ylabel(label)
    axes.grid(alpha=0.25)
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def _to_svg(result: Result, run: Run, figure: Figure, axes: Any) -> str:
    """Marks the fault events and the warm-up, and returns the figure as SVG."""
    for at_s, _ in run.series["timeline"]:
        if at_s <= result.seconds:
            axes.axvline(at_s, color="#c53030", alpha=0.35, linewidth=0.8, linestyle=":")
    axes.axvspan(0.0, result.warmup_s, color="#a0aec0", alpha=0.15, linewidth=0)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    document = buffer.getvalue()
    return document[document.index("<svg") :]


def _plot_latency(result: Result, run: Run) -> str:
    """Plots latency percentiles by class."""
    figure, axes = _new_figure(result, "ms")
    for color, (name, lines) in zip(_COLORS * 9, run.series["latency_ms"].items(), strict=False):
        for label, style in (("p50", "-"), ("p99", "--")):
            values = [float("nan") if value is None else value for value in lines[label]]
            axes.plot(range(len(values)), values, style, color=color, linewidth=1.2, label=f"{name} {label}")
    axes.set_yscale("log")
    axes.legend(fontsize=8, ncols=4, frameon=False)
    return _to_svg(result, run, figure, axes)


def _plot_outcomes(result: Result, run: Run) -> str:
    """Plots requests a second, by outcome."""
    figure, axes = _new_figure(result, "requests a second")
    rows = run.series["rows"]
    series = [[row[name] for row in rows] for name in _OUTCOME_COLORS]
    axes.stackplot(
        range(len(rows)),
        series,
        labels=list(_OUTCOME_COLORS),
        colors=list(_OUTCOME_COLORS.values()),
        linewidth=0,
    )
    axes.legend(fontsize=8, ncols=4, frameon=False, loc="lower right")
    return _to_svg(result, run, figure, axes)


def _plot_servers(result: Result, run: Run, column: _ServerColumn) -> str:
    """Plots one column of the rows of the servers, a line for each server."""
    figure, axes = _new_figure(result, "answers" if column is _ServerColumn.RESPONSES else "waiting")
    for color, (name, rows) in zip(_COLORS * 400, run.series["servers"].items(), strict=False):
        axes.plot(
            range(1, len(rows) + 1), [row[column] for row in rows], color=color, alpha=0.8,
            linewidth=0.9, label=name,
        )  # fmt: skip
    if len(run.series["servers"]) <= _MAX_LEGEND_SERVERS:
        axes.legend(fontsize=7, ncols=8, frameon=False, loc="upper left")
    return _to_svg(result, run, figure, axes)
