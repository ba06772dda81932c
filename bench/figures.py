"""What a run of the bench is summed up to."""

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
UNSERVED_S = 30.0  # what a request without a first token counts as
GIB = 2**30


def find_quantile(values: Sequence[float], part: float) -> float:
    """Return a quantile of values, zero for none."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] if ordered else 0.0


def find_first_s(outcome: Outcome) -> float:
    """Return a request's time to first token, the deadline if none came."""
    return outcome.first_s if outcome.first_s >= 0.0 else UNSERVED_S


def list_first(outcomes: Sequence[Outcome], urgency: Urgency) -> list[float]:
    """Return the times to first token of one urgency, in seconds."""
    return [find_first_s(each) for each in outcomes if each.request.urgency is urgency]


def share_recomputed(outcomes: Sequence[Outcome]) -> float:
    """Return the share of prompt blocks that engines computed, of whole answers."""
    ended = [each for each in outcomes if each.ended]
    blocks = sum(count_blocks(each) for each in ended)
    return sum(each.recomputed for each in ended) / max(blocks, 1)


def share_once(outcomes: Sequence[Outcome]) -> float:
    """Return the share of prompt blocks that come for the first time at all."""
    blocks = sum(count_blocks(each) for each in outcomes)
    return sum(each.request.new_blocks for each in outcomes) / max(blocks, 1)


def count_blocks(outcome: Outcome) -> int:
    """Return the whole blocks of a request's prompt."""
    return len(outcome.request.prompt) // BLOCK_TEXT


def sum_up(measured: Measurements, scenario: Scenario, links: int) -> dict[str, Any]:
    """Return the figures of one run, over the time behind the warm-up."""
    outcomes = [each for each in measured.outcomes if each.request.at >= WARM_UP_S]
    samples = [each for each in measured.samples if each.at >= WARM_UP_S]
    carried = samples[-1].carried_bytes - samples[0].carried_bytes
    span_s = samples[-1].at - samples[0].at
    figures: dict[str, Any] = {
        f"{urgency.value} {name}": find_quantile(list_first(outcomes, urgency), part)
        for urgency in Urgency
        for name, part in QUANTILES.items()
    }
    figures |= sum_up_phases(outcomes)
    figures["recomputed"] = share_recomputed(outcomes)
    figures["compute once"] = share_once(outcomes)
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
        figures |= sum_up_return(outcomes, scenario)
        figures |= count_refused(outcomes, scenario)
    return figures


def sum_up_phases(outcomes: Sequence[Outcome]) -> dict[str, float]:
    """Return what the urgent times to first token above p90 were made up of."""
    urgent = [each for each in outcomes if each.request.urgency is Urgency.URGENT]
    floor = find_quantile([find_first_s(each) for each in urgent], 0.90)
    slow = [each for each in urgent if each.first_s >= floor]
    phases = ("dispatched_s", "queue_s", "import_s", "engine_s", "compute_s")
    return {
        f"slow urgent {phase}": mean(getattr(each, phase) for each in slow)
        if slow
        else 0.0
        for phase in phases
    }


def sum_up_return(outcomes: Sequence[Outcome], scenario: Scenario) -> dict[str, float]:
    """Return urgent p95 before a data centre left, without it and after its return."""
    spans = {
        "before": (WARM_UP_S, scenario.out_at),
        "out": (scenario.out_at, scenario.back_at),
        "return": (scenario.back_at, scenario.back_at + RECOVERY_S),
        "after": (scenario.back_at + RECOVERY_S, scenario.slow_at),
    }
    return {
        f"urgent p95 {name}": find_quantile(
            list_first([e for e in outcomes if start <= e.request.at < end], URGENT),
            QUANTILES["p95"],
        )
        for name, (start, end) in spans.items()
    }


def count_refused(outcomes: Sequence[Outcome], scenario: Scenario) -> dict[str, int]:
    """Return how many requests were refused in each part of the scenario."""
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
                "recomputed": share_recomputed(inside),
                "link use": used,
                **{
                    urgency.value: find_quantile(list_first(inside, urgency), 0.95)
                    for urgency in Urgency
                },
            }
        )
        start = end
    return buckets


def spread(runs: Sequence[dict[str, Any]], name: str) -> tuple[float, float]:
    """Return the mean of a figure over seeds, and its standard deviation."""
    values = [float(run[name]) for run in runs if name in run]
    return (mean(values), pstdev(values)) if values else (0.0, 0.0)
