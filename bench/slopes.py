"""Straight lines fitted to measurements, for the tables of the capacity page."""

from msgspec import Struct


class Slope(Struct, frozen=True):
    """The cost per added item of ``of``, fitted by least squares.

    ``sizes`` and ``values`` are the measured points. ``values`` and ``base`` are in
    ``unit``, ``per_one`` is in ``unit`` per added item. ``fit`` is the coefficient of
    determination: the share of the variance that the line explains, 1 if all points
    are on it.
    """

    name: str
    unit: str
    of: str
    sizes: list[int]
    values: list[float]
    base: float
    per_one: float
    fit: float

    def predict(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.base + self.per_one * size


def fit_slope(
    name: str, unit: str, of: str, sizes: list[int], values: list[float]
) -> Slope:
    """Fit a line to values measured at several sizes."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    points = zip(sizes, values, strict=True)
    per_one = (
        sum((s - mean_size) * (v - mean_value) for s, v in points) / size_variation
    )
    base = mean_value - per_one * mean_size
    residual = sum(
        (v - base - per_one * s) ** 2 for s, v in zip(sizes, values, strict=True)
    )
    total = sum((v - mean_value) ** 2 for v in values)
    fit = 1.0 - residual / total if total else 1.0
    return Slope(name, unit, of, sizes, values, base, per_one, fit)
