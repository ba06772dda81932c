"""Bounds how long a watch of the platform may wait.

A lost answer shows only when the watch should have ended and its call has timed out.
Until then this process acts on what it knew before. So the wait follows from how soon
news has to be acted on.

A process is held to these bounds again once the platform has worked for ``stable_s``,
also for what was acknowledged before. After a failed call more answers may be lost, so
the news has to be known by then. An answer that is lost by itself only has to be
noticed before the bound that hangs on it: an upstream's leaving counts from an
acknowledgement of a stable platform, a data centre's end from any.

The configuration's watch also renews what is believed of it: the lease on keys has to
outlast a lost answer, and prompts share KV cache only while it was confirmed lately.

    bounds = ClusterBounds(revoke_s=5, drain_s=2, evacuate_s=5, stable_s=3)
    limit_wait(Source.DATA_CENTRES, bounds, timeout_s=1.5, calm_s=60)  # 3.0
    limit_wait(Source.DATA_CENTRES, bounds, timeout_s=1.5, calm_s=2)  # 1.0
"""

from masticdrum.core.clusterstate import ClusterBounds
from masticdrum.core.directorylease import LEASE_MARGIN_S
from masticdrum.model.cluster_events import Source

REACTION_S = 0.5  # until the news is read by another call, and requests under way end
CALM_S = 5.0  # without a failed call; answers are lost in spells


def limit_wait(
    source: Source, bounds: ClusterBounds, timeout_s: float, calm_s: float
) -> float:
    """Return for how long a watch of a source may wait, in seconds; it may be negative.

    A call is given up ``timeout_s`` after the wait; none has failed for ``calm_s``.
    Infinity is returned for a source whose news may come late.
    """
    match source:
        case Source.DIRECTORY:
            # Its answers also end the other watches after a silence of the platform.
            return min(
                bounds.stable_s - timeout_s,
                bounds.apply_s - REACTION_S,
                bounds.revoke_s - LEASE_MARGIN_S - REACTION_S - timeout_s,
            )
        case Source.UPSTREAMS:
            known_s = bounds.stable_s + bounds.drain_s
        case Source.DATA_CENTRES:
            known_s = bounds.evacuate_s
        case _:
            return float("inf")
    if calm_s < CALM_S:
        known_s = min(known_s, bounds.stable_s)
    return known_s - REACTION_S - timeout_s
