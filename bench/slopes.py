"""Straight lines through measured points, and what the docs' tables are made of."""

from msgspec import Struct


class Slope(Struct, frozen=True):
    """What one more of something costs, fitted by least squares.

    ``sizes`` and ``values`` are the measured points; ``values`` and ``base`` are in
    ``unit``, ``per_one`` in ``unit`` for each one more. ``fit`` is the share of the
    variance that the line explains, 1 for points on it.
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
        """Return the value on the line at a size."""
        return self.base + self.per_one * size


def fit_slope(
    name: str, unit: str, of: str, sizes: list[int], values: list[float]
) -> Slope:
    """Return the line through points at several sizes."""
    count = len(sizes)
    middle = sum(sizes) / count
    mean = sum(values) / count
    spread = sum((size - middle) ** 2 for size in sizes)
    together = zip(sizes, values, strict=True)
    per_one = sum((s - middle) * (v - mean) for s, v in together) / spread
    base = mean - per_one * middle
    left = sum(
        (v - base - per_one * s) ** 2 for s, v in zip(sizes, values, strict=True)
    )
    all_of_it = sum((v - mean) ** 2 for v in values)
    fit = 1.0 - left / all_of_it if all_of_it else 1.0
    return Slope(name, unit, of, sizes, values, base, per_one, fit)
