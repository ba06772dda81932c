"""Small valid tables for tests."""

from masticdrum.model.tables import (
    DataCentre,
    Pool,
    PoolKind,
    Route,
    Store,
    Tables,
    Upstream,
)


def make_tables(serial: int = 0, centres: str = "ab", each: int = 2) -> Tables:
    """Make a pool with ``each`` upstreams in each data centre, named by one letter."""
    upstreams = [
        Upstream(f"u-{name}{i}", name, f"tcp://127.0.0.1:{7000 + 100 * n + i}")
        for n, name in enumerate(centres)
        for i in range(each)
    ]
    return Tables(
        serial=serial,
        data_centres=[DataCentre(name, "r") for name in centres],
        stores=[Store("s", centres[0], "http://127.0.0.1:6000")],
        pools=[Pool("p", PoolKind.ENGINE, upstreams, "m", "v1", stores=["s"])],
        routes=[Route("r", "p", ["w"])],
    )
