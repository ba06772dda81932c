"""The two deployments on which the policies are measured."""

from msgspec import Struct

from masticdrum.model.tables import (
    ColdStart,
    DataCentre,
    Pool,
    PoolKind,
    Route,
    Store,
    Tables,
    Upstream,
    Urgency,
)

BLOCK_TEXT = 64  # bytes of prompt text in one block
WORKSPACE_SHARES = (0.34, 0.22, 0.14, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02)


class Deployment(Struct, frozen=True):
    """One deployment; ``delay_s`` is one way, ``urgencies`` are shares of one.

    ``upstreams`` and ``stores`` give the data centre of each. ``gap_s`` is the median
    gap before a conversation's next request, ``turns`` its mean number of requests.
    ``drained_data_centre`` is drained in the faults scenario.
    """

    name: str
    data_centres: tuple[str, ...]
    upstreams: tuple[str, ...]
    stores: tuple[tuple[str, str], ...]
    delay_s: float
    urgencies: tuple[float, float, float]
    gap_s: float
    turns: float
    drained_data_centre: str


RADKRANZ = Deployment(
    name="radkranz",
    data_centres=("olten-a", "aarau-b", "bern-c"),
    upstreams=("olten-a", "aarau-b", "bern-c", "olten-a", "aarau-b", "bern-c"),
    stores=(("scan-cache", "olten-a"), ("norm-cache", "aarau-b")),
    delay_s=0.0018,
    urgencies=(0.30, 0.50, 0.20),
    gap_s=40.0,
    turns=6.0,
    drained_data_centre="bern-c",
)
GEBEYA = Deployment(
    name="gebeya",
    data_centres=("bole", "merkato", "kazanchis", "piassa"),
    upstreams=("bole", "merkato", "kazanchis", "piassa", "bole", "merkato"),
    stores=(("memo-a", "bole"), ("memo-b", "kazanchis")),
    delay_s=0.001,
    urgencies=(0.15, 0.65, 0.20),
    gap_s=60.0,
    turns=8.0,
    drained_data_centre="kazanchis",
)
DEPLOYMENTS = {each.name: each for each in (RADKRANZ, GEBEYA)}


def list_workspaces() -> list[str]:
    """Return the names of the workspaces, the one with most requests first."""
    return [f"workspace-{n}" for n in range(len(WORKSPACE_SHARES))]


def make_tables(
    deployment: Deployment, serial: int = 1, out: str = "", flat: bool = False
) -> Tables:
    """Return a deployment's tables, with the data centre ``out`` drained.

    ``flat`` gives every route the same urgency.
    """
    upstreams = [
        Upstream(f"up-{n}", data_centre, f"tcp://127.0.0.1:{7000 + n}")
        for n, data_centre in enumerate(deployment.upstreams)
    ]
    stores = [
        Store(name, data_centre, f"http://127.0.0.1:{8000 + n}")
        for n, (name, data_centre) in enumerate(deployment.stores)
    ]
    pool = Pool(
        name="llm",
        kind=PoolKind.ENGINE,
        upstreams=upstreams,
        model="llm",
        version="v1",
        max_running=16,
        max_queued=64,
        block_bytes=BLOCK_TEXT,
        cold_start=ColdStart(limit=4, step=2, every_s=1.0),
        stores=[store.name for store in stores],
    )
    routes = [
        Route(
            name=urgency.value,
            pool="llm",
            workspaces=list_workspaces(),
            urgency=Urgency.NORMAL if flat else urgency,
            max_open=10_000,
            deadline_s=30.0,
        )
        for urgency in Urgency
    ]
    return Tables(
        serial=serial,
        data_centres=[
            DataCentre(name, "region", name == out) for name in deployment.data_centres
        ],
        stores=stores,
        pools=[pool],
        routes=routes,
    )
