"""The tables of the capacity page match the committed figures."""

from bench.capacitypage import PAGE, fill_page
from bench.slopes import fit_slope


def test_page_shows_the_committed_figures() -> None:
    text = PAGE.read_text()
    assert fill_page(text) == text


def test_points_on_a_line_fit_exactly() -> None:
    slope = fit_slope("what", "us", "thing", [10, 100, 1000], [12.0, 30.0, 210.0])
    assert round(slope.per_one, 6) == 0.2
    assert round(slope.predict(500), 6) == 110.0
    assert round(slope.fit, 6) == 1.0


def test_points_off_a_line_fit_badly() -> None:
    slope = fit_slope("what", "us", "thing", [1, 2, 3], [0.0, 5.0, 0.0])
    assert slope.fit < 0.1
