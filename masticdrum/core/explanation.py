"""Explains to which upstreams a request would be sent, without sending it.

Entries learn which prefixes many prompts share; the explanation holds for an entry that
has learned none yet.
"""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from masticdrum.core.placement import (
    Hint,
    build_ranking,
    compute_load,
    order_upstreams,
)
from masticdrum.core.sharedprefixes import SharedPrefixes
from masticdrum.core.tableview import TableView
from masticdrum.model.errors import ErrorKind
from masticdrum.model.platform import Instance, InstanceState
from masticdrum.model.tables import Pool, Route, Upstream


class Candidate(Struct, frozen=True):
    """One upstream; ``excluded`` is the reason why it gets no request, or empty.

    ``load`` is its number of runs and waiting requests divided by its limit, or None
    without a recent report.
    """

    upstream: str
    data_centre: str
    excluded: str = ""
    load: float | None = None


class Explanation(Struct, frozen=True):
    """The expected routing of a request; ``refusal`` is None if it would be served."""

    serial: int
    route: str
    workspace: str
    refusal: ErrorKind | None = None
    pool: str = ""
    urgency: str = ""
    version: str = ""
    candidates: tuple[Candidate, ...] = ()


def explain_request(
    view: TableView,
    instances: Sequence[Instance],
    hints: Mapping[str, Hint],
    route: str,
    workspace: str,
    prompt: str,
    now: float,
) -> Explanation:
    """Explain to which upstreams a workspace's prompt on a route would be sent.

    ``hints`` are the last reported loads of the upstreams, by name.
    """
    base_explanation = Explanation(view.serial, route, workspace)
    row = view.find_route(route)
    refusal = find_refusal(view, row, workspace, prompt)
    if row is None or refusal is not None:
        return refuse(base_explanation, refusal)
    pool = view.find_pool(row.pool)
    if pool is None:
        return refuse(base_explanation, ErrorKind.NO_UPSTREAM)
    excluded = list_exclusion_reasons(view, pool, instances)
    candidates = list_candidates(pool, row, workspace, prompt, hints, excluded, now)
    served = any(not candidate.excluded for candidate in candidates)
    return Explanation(
        serial=view.serial,
        route=route,
        workspace=workspace,
        refusal=None if served else ErrorKind.NO_UPSTREAM,
        pool=pool.name,
        urgency=row.urgency.value,
        version=pool.version,
        candidates=candidates,
    )


def refuse(base_explanation: Explanation, kind: ErrorKind | None) -> Explanation:
    """Return an explanation that ends in a refusal."""
    return Explanation(
        base_explanation.serial,
        base_explanation.route,
        base_explanation.workspace,
        kind,
    )


def find_refusal(
    view: TableView, route: Route | None, workspace: str, prompt: str
) -> ErrorKind | None:
    """Return why the request is refused before an upstream is chosen, or None."""
    if not view.serial:
        return ErrorKind.TABLES_MISSING
    if route is None:
        return ErrorKind.ROUTE_UNKNOWN
    if workspace not in route.workspaces:
        return ErrorKind.ROUTE_FORBIDDEN
    if len(prompt.encode()) > route.max_prompt_bytes:
        return ErrorKind.PROMPT_TOO_LONG
    return None


def list_exclusion_reasons(
    view: TableView, pool: Pool, instances: Sequence[Instance]
) -> dict[str, str]:
    """Return the reasons why upstreams of a pool get no new work, by upstream name."""
    states = {instance.address: instance.state for instance in instances}
    excluded: dict[str, str] = {}
    for upstream in pool.upstreams:
        if view.is_out(upstream.data_centre):
            excluded[upstream.name] = "data centre out"
        elif states.get(upstream.agent) is InstanceState.LEAVING:
            excluded[upstream.name] = "leaving"
        elif states and upstream.agent not in states:
            excluded[upstream.name] = "agent not listed"
    return excluded


def list_candidates(
    pool: Pool,
    route: Route,
    workspace: str,
    prompt: str,
    hints: Mapping[str, Hint],
    excluded: Mapping[str, str],
    now: float,
) -> tuple[Candidate, ...]:
    """List a pool's upstreams in the order of the tries, the excluded ones last."""
    key = SharedPrefixes().compute_placement_key(workspace, prompt, pool.block_bytes)
    order = order_upstreams(
        build_ranking(pool),
        key,
        route.urgency,
        hints,
        excluded,
        now,
        most=len(pool.upstreams),
    )
    rows: dict[str, Upstream] = {row.name: row for row in pool.upstreams}
    eligible = tuple(
        Candidate(
            name,
            rows[name].data_centre,
            load=compute_load(hints.get(name), now, route.urgency),
        )
        for name in order
    )
    ineligible = tuple(
        Candidate(name, rows[name].data_centre, excluded=reason)
        for name, reason in excluded.items()
    )
    return eligible + ineligible
