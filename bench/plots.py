"""Plots the figures of the policies over time: ``python -m bench.plots``.

It reads ``bench/results/policies.json`` and writes ``docs/reports/policies.png``.
"""

import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes

from bench.policies import RESULTS
from bench.scenarios import FAULTS

PICTURE = Path(__file__).parents[1] / "docs" / "reports" / "policies.png"
DEPLOYMENT_NAMES = ("radkranz", "gebeya")
COLOURS = {"urgent": "tab:red", "normal": "tab:blue", "background": "tab:gray"}
COMPARED = {
    "masticdrum": "tab:red",
    "round robin": "tab:blue",
    "never import": "tab:gray",
    "no urgency": "tab:orange",
}
FAULT_SPANS = (
    (FAULTS.out_at, FAULTS.back_at, "data centre out"),
    (FAULTS.slow_at, FAULTS.fast_at, "slow link"),
    (FAULTS.lost_at, FAULTS.found_at, "store lost"),
)


def read_buckets(rows: list[dict[str, Any]], deployment: str, policy: str) -> Any:
    """Return a deployment's figures over time in the faults scenario with seed 1."""
    for row in rows:
        key = (row["deployment"], row["scenario"], row["policy"])
        if key == (deployment, "faults", policy):
            return row["runs"][0]["buckets"]
    raise KeyError(f"policy '{policy}' has no run on '{deployment}'")


def draw_line(axes: Axes, buckets: Any, name: str, label: str, colour: str) -> None:
    """Draw one figure over time."""
    times = [bucket["at"] for bucket in buckets]
    axes.plot(times, [bucket[name] for bucket in buckets], label=label, color=colour)


def mark_faults(axes: Axes) -> None:
    """Shade and label the times of the scenario's faults."""
    for start, end, name in FAULT_SPANS:
        axes.axvspan(start, end, color="tab:olive", alpha=0.2)
        axes.annotate(
            name,
            ((start + end) / 2, 0.98),
            xycoords=("data", "axes fraction"),
            ha="center",
            va="top",
            fontsize=7,
        )


def draw_deployment(
    column: list[Axes], rows: list[dict[str, Any]], deployment: str
) -> None:
    """Draw the column of a deployment."""
    system_buckets = read_buckets(rows, deployment, "masticdrum")
    for name, colour in COLOURS.items():
        draw_line(column[0], system_buckets, name, name, colour)
    for policy, colour in COMPARED.items():
        buckets = read_buckets(rows, deployment, policy)
        draw_line(column[1], buckets, "urgent", policy, colour)
        draw_line(column[2], buckets, "recomputed", policy, colour)
        draw_line(column[3], buckets, "link use", policy, colour)
    column[0].set_title(f"{deployment}, faults at half load, seed 1")
    column[0].set_ylabel("masticdrum: time to\nfirst token p95 (s)")
    column[1].set_ylabel("urgent time to\nfirst token p95 (s)")
    column[2].set_ylabel("share of blocks\nrecomputed")
    column[3].set_ylabel("use of links\nto stores")
    column[3].set_xlabel("virtual time (s)")
    for axes in column[:2]:
        axes.set_yscale("log")
    for axes in column:
        mark_faults(axes)
        axes.legend(fontsize=7, loc="upper left")


def main() -> None:
    """Draw both deployments side by side."""
    rows = json.loads(RESULTS.read_text())
    figure, grid = pyplot.subplots(4, 2, figsize=(14, 13), sharex=True)
    for deployment, column in zip(DEPLOYMENT_NAMES, grid.T, strict=True):
        draw_deployment(list(column), rows, deployment)
    figure.tight_layout()
    PICTURE.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(PICTURE, dpi=80)


if __name__ == "__main__":
    main()
