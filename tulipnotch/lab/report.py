"""One self-contained HTML page for a result: plots as inline SVG, tables, the rules' ledger."""

from __future__ import annotations

import io
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
from matplotlib.figure import Figure

from tulipnotch.lab.results import Result, Run

_COLOURS = ("#2b6cb0", "#c05621", "#2f855a", "#6b46c1", "#b83280", "#4a5568")
_ENDINGS = {"served": "#2f855a", "refused": "#d69e2e", "failed": "#c53030", "gone": "#a0aec0"}


def write(result: Result, path: Path) -> None:
    """Write the page.  The plots show the first seed; the tables show all."""
    matplotlib.rcParams["svg.hashsalt"] = "tulipnotch"  # the same result gives the same page
    matplotlib.rcParams["svg.fonttype"] = "none"
    run = result.runs[0]
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("tulipnotch.lab", "."), autoescape=True, undefined=jinja2.StrictUndefined
    )
    page = environment.get_template("report.html.j2").render(
        result=result,
        run=run,
        plots=[
            ("Latency of what was served, by class", _latency(result, run)),
            ("How requests ended", _endings(result, run)),
            ("Answers a second by server", _servers(result, run, 0)),
            ("Most requests waiting at a server", _servers(result, run, 1)),
        ],
        metrics=[(name, result.mean(name), min(result.values(name)), max(result.values(name)))
                 for name in sorted(run.metrics)],
    )  # fmt: skip
    path.write_text(page, encoding="utf-8")


def _axes(result: Result, label: str) -> tuple[Figure, Any]:
    figure = Figure(figsize=(9.2, 2.7), layout="constrained")
    axes = figure.add_subplot()
    axes.set_xlim(0.0, result.seconds)
    axes.set_xlabel("s")
    axes.set_ylabel(label)
    axes.grid(alpha=0.25)
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def _finish(result: Result, run: Run, figure: Figure, axes: Any) -> str:
    """Mark what was done on the time line, and give the picture as SVG."""
    for at, _ in run.series["timeline"]:
        if at <= result.seconds:
            axes.axvline(at, color="#c53030", alpha=0.35, linewidth=0.8, linestyle=":")
    axes.axvspan(0.0, result.warmup_s, color="#a0aec0", alpha=0.15, linewidth=0)
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    return out.getvalue()[out.getvalue().index("<svg") :]


def _latency(result: Result, run: Run) -> str:
    figure, axes = _axes(result, "ms")
    for colour, (name, lines) in zip(_COLOURS * 9, run.series["latency_ms"].items(), strict=False):
        for label, style in (("p50", "-"), ("p99", "--")):
            values = [float("nan") if each is None else each for each in lines[label]]
            axes.plot(range(len(values)), values, style, color=colour, linewidth=1.2, label=f"{name} {label}")
    axes.set_yscale("log")
    axes.legend(fontsize=8, ncols=4, frameon=False)
    return _finish(result, run, figure, axes)


def _endings(result: Result, run: Run) -> str:
    figure, axes = _axes(result, "requests a second")
    rows = run.series["rows"]
    series = [[row[name] for row in rows] for name in _ENDINGS]
    axes.stackplot(
        range(len(rows)), series, labels=list(_ENDINGS), colors=list(_ENDINGS.values()), linewidth=0
    )
    axes.legend(fontsize=8, ncols=4, frameon=False, loc="lower right")
    return _finish(result, run, figure, axes)


def _servers(result: Result, run: Run, column: int) -> str:
    figure, axes = _axes(result, "answers" if column == 0 else "waiting")
    for colour, (name, rows) in zip(_COLOURS * 400, run.series["servers"].items(), strict=False):
        axes.plot(
            range(1, len(rows) + 1), [row[column] for row in rows], color=colour, alpha=0.8,
            linewidth=0.9, label=name,
        )  # fmt: skip
    if len(run.series["servers"]) <= 16:
        axes.legend(fontsize=7, ncols=8, frameon=False, loc="upper left")
    return _finish(result, run, figure, axes)
