"""Compares placement, imports and urgency with simpler policies.

Run ``python -m bench.policies``. The real entry and agent reducers run in virtual time
against simulated engines and stores. The table shows each figure's mean and standard
deviation over the seeds; ``bench/results/policies.json`` holds every run.
"""

import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click

from bench.baselines import POLICIES, use_policy
from bench.deployments import DEPLOYMENTS
from bench.figures import compute_spread, list_buckets, summarize
from bench.scenarios import SCENARIOS, plan_faults
from bench.workload import make_workload
from bench.world import World
from masticdrum.model.tables import Urgency

RESULTS = Path(__file__).parent / "results" / "policies.json"
SEEDS = 5
WORKERS = 4
DIGITS = 5  # decimal places in the results file
FIGURES = (
    "urgent p50",
    "urgent p95",
    "urgent p99",
    "normal p50",
    "normal p95",
    "normal p99",
    "background p50",
    "background p95",
    "background p99",
    "recomputed",
    "link GiB",
    "worst overload",
    "slow urgent dispatched_s",
    "slow urgent queue_s",
    "slow urgent import_s",
    "slow urgent engine_s",
    "slow urgent compute_s",
)
FAULT_FIGURES = (
    "urgent p95 before",
    "urgent p95 out",
    "urgent p95 return",
    "urgent p95 after",
    "refused before",
    "refused exit and return",
    "refused slow link",
    "refused lost store",
)

Key = tuple[str, str, str]
Job = tuple[str, str, str, int]


def run_job(job: Job) -> dict[str, Any]:
    """Run one policy on one deployment in one scenario with one seed."""
    deployment_name, scenario_name, name, seed = job
    deployment, scenario, policy = (
        DEPLOYMENTS[deployment_name],
        SCENARIOS[scenario_name],
        POLICIES[name],
    )
    workload = make_workload(deployment, seed, scenario.load, scenario.length_s)
    if policy.urgent_only:
        workload.requests = [
            request
            for request in workload.requests
            if request.urgency is Urgency.URGENT
        ]
    for number, request in enumerate(workload.requests):
        workload.requests[number] = request.renumber(number)
    with use_policy(policy):
        world = World(deployment, seed, flat=policy.flat)
        plan_faults(world, scenario)
        measured = world.run(workload, scenario.length_s)
    figures = summarize(measured, scenario, len(deployment.stores))
    if seed == 1:
        links = len(deployment.stores)
        figures["buckets"] = list_buckets(measured, scenario, links)
    return figures


def list_jobs(seeds: int, only: tuple[str, ...], scenes: tuple[str, ...]) -> list[Job]:
    """Return the jobs of the chosen scenarios and policies; all if none is chosen."""
    return [
        (deployment_name, scenario_name, name, seed)
        for deployment_name in DEPLOYMENTS
        for scenario_name in scenes or SCENARIOS
        for name in only or POLICIES
        for seed in range(1, seeds + 1)
    ]


def run_jobs(jobs: list[Job]) -> dict[Key, list[dict[str, Any]]]:
    """Run all jobs, ``WORKERS`` at once, and group their figures without the seed."""
    groups: dict[Key, list[dict[str, Any]]] = {}
    with ProcessPoolExecutor(WORKERS) as executor:
        for job, figures in zip(jobs, executor.map(run_job, jobs), strict=True):
            groups.setdefault(job[:3], []).append(figures)
    return groups


def print_tables(groups: dict[Key, list[dict[str, Any]]]) -> None:
    """Print a table for each deployment and scenario."""
    for deployment_name, scenario_name in dict.fromkeys(key[:2] for key in groups):
        rows = {
            key[2]: runs
            for key, runs in groups.items()
            if key[:2] == (deployment_name, scenario_name)
        }
        click.echo(
            f"\n{deployment_name}, {scenario_name} "
            "(mean ± standard deviation over seeds)"
        )
        names = FIGURES + (FAULT_FIGURES if scenario_name == "faults" else ())
        for policy, runs in rows.items():
            click.echo(
                f"  {policy}: {sum(run['ended'] for run in runs)} of "
                f"{sum(run['requests'] for run in runs)} ended, "
                f"{sum(run['lost'] for run in runs)} lost, "
                f"refused {add_refused(runs)}"
            )
            click.echo("    " + ", ".join(format_figure(runs, name) for name in names))
        print_gaps(rows)


def format_figure(runs: list[dict[str, Any]], name: str) -> str:
    """Return the text of a figure: its mean and standard deviation."""
    mean, deviation = compute_spread(runs, name)
    return f"{name} {mean:.3f}±{deviation:.3f}"


def add_refused(runs: list[dict[str, Any]]) -> dict[str, int]:
    """Return the refusals that callers received, by kind and outcome, of all seeds."""
    kinds: dict[str, int] = {}
    for run in runs:
        for kind, count in run["refused"].items():
            kinds[kind] = kinds.get(kind, 0) + count
    return kinds


def print_gaps(rows: dict[str, list[dict[str, Any]]]) -> None:
    """Print ratios to two bounds: each block computed once, and urgent work alone."""
    if "masticdrum" not in rows:
        return
    ours = rows["masticdrum"]
    ratios = [run["recomputed"] / run["compute once"] for run in ours]
    click.echo(f"  recomputed / computed once: {min(ratios):.3f} to {max(ratios):.3f}")
    if "urgent alone" not in rows:
        return
    alone = rows["urgent alone"]
    gaps = [
        run["urgent p95"] / bound["urgent p95"]
        for run, bound in zip(ours, alone, strict=True)
    ]
    click.echo(f"  urgent p95 / urgent alone: {min(gaps):.3f} to {max(gaps):.3f}")


def write_results(groups: dict[Key, list[dict[str, Any]]]) -> None:
    """Write every run as JSON."""
    rows = [
        {"deployment": key[0], "scenario": key[1], "policy": key[2], "runs": runs}
        for key, runs in groups.items()
    ]
    RESULTS.parent.mkdir(exist_ok=True)
    lines = ",\n".join(json.dumps(round_floats(row), sort_keys=True) for row in rows)
    RESULTS.write_text(f"[\n{lines}\n]\n")


def round_floats(value: Any) -> Any:
    """Return a JSON value with its floats rounded to ``DIGITS`` decimal places."""
    if isinstance(value, float):
        return round(value, DIGITS)
    if isinstance(value, dict):
        return {name: round_floats(inner) for name, inner in value.items()}
    if isinstance(value, list):
        return [round_floats(inner) for inner in value]
    return value


@click.command()
@click.option("--seeds", default=SEEDS, show_default=True)
@click.option("--only", multiple=True, help="Run these policies and write nothing.")
@click.option("--scene", multiple=True, help="Run these scenarios and write nothing.")
def main(seeds: int, only: tuple[str, ...], scene: tuple[str, ...]) -> None:
    """Measure every policy on both deployments."""
    groups = run_jobs(list_jobs(seeds, only, scene))
    print_tables(groups)
    if not only and not scene:
        write_results(groups)


if __name__ == "__main__":
    main()
