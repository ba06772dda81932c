"""Compares ways to detect a failed upstream: cost, delay, false positives.

With flat heartbeats every entry queries every agent. Hierarchical digests follow the
article "Performance Analysis of a Hierarchical Failure Detector": members send
heartbeats to their group's leader, and leaders exchange digests of their groups.
In-band detection sends nothing: an attempt that stays silent shows the failure.
"""

from random import Random

import msgspec
from msgspec import Struct

from masticdrum.model.messages import Envelope, Hello, Load, Welcome

PERIOD_S = 1.0
TIMEOUT_S = 3.0
SILENCE_S = 3.0
FRAME_OVERHEAD_BYTES = 56  # IP, TCP and ZeroMQ headers of a small frame
GROUP_SIZE = 32
DIGEST_BYTES_A_MEMBER = 2
LOSS = 0.01
PAUSE_RATE = 1 / 600  # pauses per second of each process
PAUSE_S = 4.0
USE_GAP_S = 0.05  # between two attempts of an entry at one upstream of its data centre
DRAWS = 4000


class WayRow(Struct, frozen=True):
    """One way with a number of peers; bytes of one process, sent and received."""

    way: str
    peers: int
    messages_s: float
    bytes_s: float
    detection_s: float
    wrong_an_hour: float


def measure_ways(peer_counts: list[int]) -> list[WayRow]:
    """Return a row for each way and number of peers; the draws are seeded."""
    rows: list[WayRow] = []
    for peers in peer_counts:
        rows.append(measure_flat(peers))
        rows.append(measure_digests(peers))
        rows.append(measure_in_band(peers))
    return rows


def compute_heartbeat_bytes() -> int:
    """Return the size of a heartbeat request and its reply on the wire."""
    hello = Envelope("entry-0001", "0123456789ab", 12345, Hello())
    load = Load(12, 3, 16, 0.2, False, False)
    welcome = Envelope(
        "agent-0001", "0123456789ab", 12345, Welcome("profile-llm", "server-0001", load)
    )
    sizes = [len(msgspec.msgpack.encode(envelope)) for envelope in (hello, welcome)]
    return sum(sizes) + 2 * FRAME_OVERHEAD_BYTES


def measure_flat(peers: int) -> WayRow:
    """Return the cost for an entry that queries every agent in each period."""
    messages_s = 2 * peers / PERIOD_S
    bytes_s = peers * compute_heartbeat_bytes() / PERIOD_S
    detection_s, false_positives = draw_timeouts(peers, hops=0)
    return WayRow(
        "flat heartbeats", peers, messages_s, bytes_s, detection_s, false_positives
    )


def measure_digests(peers: int) -> WayRow:
    """Return the cost for a leader, which is the highest: members and digests."""
    groups = max(1, peers // GROUP_SIZE)
    members = min(GROUP_SIZE, peers)
    digest_bytes = FRAME_OVERHEAD_BYTES + DIGEST_BYTES_A_MEMBER * members
    heartbeat_bytes = compute_heartbeat_bytes() / 2 * members
    exchanged_bytes = 2 * (groups - 1) * digest_bytes
    forwarded_bytes = members * (FRAME_OVERHEAD_BYTES + DIGEST_BYTES_A_MEMBER * peers)
    bytes_s = (heartbeat_bytes + exchanged_bytes + forwarded_bytes) / PERIOD_S
    messages_s = (2 * members + 2 * (groups - 1)) / PERIOD_S
    detection_s, false_positives = draw_timeouts(peers, hops=2)
    return WayRow(
        "hierarchical digests", peers, messages_s, bytes_s, detection_s, false_positives
    )


def measure_in_band(peers: int) -> WayRow:
    """Return the cost of in-band detection, which sends no messages of its own."""
    rng = Random(peers)
    waits = [rng.uniform(0, USE_GAP_S) + SILENCE_S for _ in range(DRAWS)]
    # A paused agent's attempts resume over a new connection; the pool loses nothing.
    false_positives = (
        peers * PAUSE_RATE * 3600 * max(0.0, PAUSE_S - SILENCE_S) / PAUSE_S
    )
    return WayRow("in-band", peers, 0.0, 0.0, sum(waits) / len(waits), false_positives)


def draw_timeouts(peers: int, *, hops: int) -> tuple[float, float]:
    """Return the mean detection time and the false positives per hour."""
    rng = Random(peers)
    detections = [
        rng.uniform(0, PERIOD_S)
        + TIMEOUT_S
        + sum(rng.uniform(0, PERIOD_S) for _ in range(hops))
        for _ in range(DRAWS)
    ]
    heartbeats = 3600 / PERIOD_S
    false_by_loss = peers * heartbeats * (2 * LOSS) ** (TIMEOUT_S / PERIOD_S)
    false_by_pause = peers * PAUSE_RATE * 3600 * (PAUSE_S > TIMEOUT_S)
    return sum(detections) / len(detections), false_by_loss + false_by_pause
