"""Prometheus counters and histograms of one process, in their own registry."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client import Counter as PrometheusCounter
from prometheus_client import Histogram as PrometheusHistogram

from masticdrum.model.telemetry import Count, Counter, Histogram, Observe

PREFIX = "masticdrum_"
OTHER = "other"
MAX_LABEL_VALUES = 64  # values per metric; later ones are counted as "other"
TIME_BUCKETS = (
    0.005,
    0.01,
    0.02,
    0.044,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)  # seconds


class Metrics:
    """Executes the effects ``Count`` and ``Observe``.

    For example, ``Count(Counter.REFUSALS, "queue_full")`` adds one to the series
    ``masticdrum_refusals_total{reason="queue_full"}``.
    """

    __slots__ = ("registry", "_counters", "_histograms", "_labels")

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._counters = {
            kind: PrometheusCounter(
                PREFIX + kind.value,
                f"Number of {kind.value.replace('_', ' ')} by reason.",
                ["reason"],
                registry=self.registry,
            )
            for kind in Counter
        }
        self._histograms = {
            kind: PrometheusHistogram(
                PREFIX + kind.value,
                f"Distribution of {kind.value.replace('_', ' ')}.",
                ["label"],
                buckets=TIME_BUCKETS,
                registry=self.registry,
            )
            for kind in Histogram
        }
        self._labels: dict[str, set[str]] = {}

    def count(self, effect: Count) -> None:
        """Add to a counter."""
        label = self._bound_label(effect.counter, effect.reason)
        self._counters[effect.counter].labels(label).inc(effect.amount)

    def observe(self, effect: Observe) -> None:
        """Add a value to a histogram."""
        label = self._bound_label(effect.histogram, effect.label)
        self._histograms[effect.histogram].labels(label).observe(effect.value)

    def export(self) -> bytes:
        """Return all series in Prometheus' text format."""
        return generate_latest(self.registry)

    def _bound_label(self, metric: str, value: str) -> str:
        seen = self._labels.setdefault(metric, set())
        if value in seen:
            return value
        if len(seen) >= MAX_LABEL_VALUES:
            return OTHER
        seen.add(value)
        return value
