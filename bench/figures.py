"""Summarizes the measurements of a simulation run."""

from collections import Counter
from collections.abc import Sequence
from statistics import mean, pstdev
from typing import Any

from bench.deployments import BLOCK_TEXT
from bench.fakes import LINK_BYTES_S
from bench.scenarios import Scenario
from bench.workload import WARM_UP_S
from bench.world import Measurements, Outcome
from masticdrum.model.tables import Urgency

QUANTILES = {"p50": 0.50, "p95": 0.95, "p99": 0.99}
BUCKET_S = 5.0
RECOVERY_S = 30.0
UNSERVED_S = 30.0  # counted for a request without a first token; the deadline
GIB = 2**30


def compute_quantile(values: Sequence[float], part: float) -> float:
    """Return a quantile of values, or zero if there are none."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] if ordered else 0.0


def get_first_token_s(outcome: Outcome) -> float:
    """Return a request's time to first token, or the deadline if none came."""
    return outcome.first_s if outcome.first_s >= 0.0 else UNSERVED_S


def list_first_token_s(outcomes: Sequence[Outcome], urgency: Urgency) -> list[float]:
    """Return the times to first token of one urgency, in seconds."""
    return [
        get_first_token_s(each) for each in outcomes if each.request.urgency is urgency
    ]


def compute_recomputed_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of prompt blocks that engines computed, over ended requests."""
    ended = [each for each in outcomes if each.ended]
    blocks = sum(count_blocks(each) for each in ended)
    return sum(each.recomputed for each in ended) / max(blocks, 1)


def compute_first_seen_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of prompt blocks that no earlier request had."""
    blocks = sum(count_blocks(each) for each in outcomes)
    return sum(each.request.new_blocks for each in outcomes) / max(blocks, 1)


def count_blocks(outcome: Outcome) -> int:
    """Return the number of whole blocks in a request's prompt."""
    return len(outcome.request.prompt) // BLOCK_TEXT


def summarize(measured: Measurements, scenario: Scenario, links: int) -> dict[str, Any]:
    """Return the figures of one run, over the time after the warm-up."""
    outcomes = [each for each in measured.outcomes if each.request.at >= WARM_UP_S]
    samples = [each for each in measured.samples if each.at >= WARM_UP_S]
    carried = samples[-1].carried_bytes - samples[0].carried_bytes
    span_s = samples[-1].at - samples[0].at
    figures: dict[str, Any] = {
        f"{urgency.value} {name}": compute_quantile(
            list_first_token_s(outcomes, urgency), part
        )
        for urgency in Urgency
        for name, part in QUANTILES.items()
    }
    figures |= summarize_phases(outcomes)
    figures["recomputed"] = compute_recomputed_share(outcomes)
    figures["compute once"] = compute_first_seen_share(outcomes)
    figures["link GiB"] = carried / GIB
    figures["link use"] = carried / span_s / links / LINK_BYTES_S
    figures["worst overload"] = measured.worst_overload
    figures["requests"] = len(outcomes)
    figures["ended"] = sum(each.ended for each in outcomes)
    refused = Counter(each.refused for each in outcomes if each.refused)
    figures["refused"] = dict(refused)
    figures["lost"] = sum(not each.ended and not each.refused for each in outcomes)
    figures["counts"] = dict(measured.counts)
    if scenario.back_at:
        figures |= summarize_drain(outcomes, scenario)
        figures |= count_refused(outcomes, scenario)
    return figures


def summarize_phases(outcomes: Sequence[Outcome]) -> dict[str, float]:
    """Return the mean phases of urgent times to first token from p90 up."""
    urgent = [each for each in outcomes if each.request.urgency is Urgency.URGENT]
    p90_s = compute_quantile([get_first_token_s(each) for each in urgent], 0.90)
    slow = [each for each in urgent if each.first_s >= p90_s]
    phases = ("dispatched_s", "queue_s", "import_s", "engine_s", "compute_s")
    return {
        f"slow urgent {phase}": mean(getattr(each, phase) for each in slow)
        if slow
        else 0.0
        for phase in phases
    }


def summarize_drain(
    outcomes: Sequence[Outcome], scenario: Scenario
) -> dict[str, float]:
    """Return urgent p95 before, during and after a data centre's drain."""
    spans = {
        "before": (WARM_UP_S, scenario.out_at),
        "out": (scenario.out_at, scenario.back_at),
        "return": (scenario.back_at, scenario.back_at + RECOVERY_S),
        "after": (scenario.back_at + RECOVERY_S, scenario.slow_at),
    }
    return {
        f"urgent p95 {name}": compute_quantile(
            list_first_token_s(
                [e for e in outcomes if start <= e.request.at < end], URGENT
            ),
            QUANTILES["p95"],
        )
        for name, (start, end) in spans.items()
    }


def count_refused(outcomes: Sequence[Outcome], scenario: Scenario) -> dict[str, int]:
    """Return how many requests were refused in each period of the scenario."""
    spans = {
        "before": (WARM_UP_S, scenario.out_at),
        "exit and return": (scenario.out_at, scenario.slow_at),
        "slow link": (scenario.slow_at, scenario.lost_at),
        "lost store": (scenario.lost_at, scenario.length_s),
    }
    return {
        f"refused {name}": sum(
            bool(each.refused) for each in outcomes if start <= each.request.at < end
        )
        for name, (start, end) in spans.items()
    }


URGENT = Urgency.URGENT


def list_buckets(
    measured: Measurements, scenario: Scenario, links: int
) -> list[dict[str, float]]:
    """Return figures over time, one entry for each ``BUCKET_S``."""
    buckets = []
    start = 0.0
    while start < scenario.length_s:
        end = start + BUCKET_S
        inside = [e for e in measured.outcomes if start <= e.request.at < end]
        carried = [e.carried_bytes for e in measured.samples if start <= e.at <= end]
        used = (carried[-1] - carried[0]) / BUCKET_S / links / LINK_BYTES_S
        buckets.append(
            {
                "at": start,
                "recomputed": compute_recomputed_share(inside),
                "link use": used,
                **{
                    urgency.value: compute_quantile(
                        list_first_token_s(inside, urgency), 0.95
                    )
                    for urgency in Urgency
                },
            }
        )
        start = end
    return buckets


def compute_spread(runs: Sequence[dict[str, Any]], name: str) -> tuple[float, float]:
    """Return the mean of a figure over seeds, and its standard deviation."""
    values = [float(run[name]) for run in runs if name in run]
    return (mean(values), pstdev(values)) if values else (0.0, 0.0)
