"""Ways to learn that an upstream is gone: cost, detection time, wrong suspicions.

Flat heartbeats ask every agent from every entry. Hierarchical digests follow the
article "Performance Analysis of a Hierarchical Failure Detector": members beat to their
group's leader, and leaders exchange digests of their groups. In-band sends nothing:
silence on an attempt is the sign.
"""

from random import Random

import msgspec
from msgspec import Struct

from masticdrum.model.messages import Envelope, Hello, Load, Welcome

PERIOD_S = 1.0
TIMEOUT_S = 3.0
SILENCE_S = 3.0
FRAME_OVERHEAD_BYTES = 56  # IP, TCP and ZeroMQ headers of a small frame
GROUP = 32
DIGEST_BYTES_A_MEMBER = 2
LOSS = 0.01
PAUSE_RATE = 1 / 600  # pauses a second and process
PAUSE_S = 4.0
USE_GAP_S = 0.05  # between two attempts of an entry at one upstream of its data centre
SECONDS = 4000


class WayRow(Struct, frozen=True):
    """One way at one number of peers; bytes are a process's, in and out together."""

    way: str
    peers: int
    messages_s: float
    bytes_s: float
    detection_s: float
    wrong_an_hour: float


def measure_ways(peer_counts: list[int]) -> list[WayRow]:
    """Return every way at every number of peers, from seeded draws."""
    rows: list[WayRow] = []
    for peers in peer_counts:
        rows.append(measure_flat(peers))
        rows.append(measure_digests(peers))
        rows.append(measure_in_band(peers))
    return rows


def find_beat_bytes() -> int:
    """Return the size of a question and its answer on the wire."""
    hello = Envelope("entry-0001", "0123456789ab", 12345, Hello())
    load = Load(12, 3, 16, 0.2, False, False)
    welcome = Envelope(
        "agent-0001", "0123456789ab", 12345, Welcome("profile-llm", "server-0001", load)
    )
    sizes = [len(msgspec.msgpack.encode(envelope)) for envelope in (hello, welcome)]
    return sum(sizes) + 2 * FRAME_OVERHEAD_BYTES


def measure_flat(peers: int) -> WayRow:
    """Every agent is asked in every period."""
    messages_s = 2 * peers / PERIOD_S
    bytes_s = peers * find_beat_bytes() / PERIOD_S
    detection_s, wrong = draw_timeouts(peers, hops=0)
    return WayRow("flat heartbeats", peers, messages_s, bytes_s, detection_s, wrong)


def measure_digests(peers: int) -> WayRow:
    """Return a leader's cost, the highest: its members, other leaders' digests."""
    groups = max(1, peers // GROUP)
    members = min(GROUP, peers)
    digest = FRAME_OVERHEAD_BYTES + DIGEST_BYTES_A_MEMBER * members
    beats = find_beat_bytes() / 2 * members
    exchanged = 2 * (groups - 1) * digest
    passed_on = members * (FRAME_OVERHEAD_BYTES + DIGEST_BYTES_A_MEMBER * peers)
    bytes_s = (beats + exchanged + passed_on) / PERIOD_S
    messages_s = (2 * members + 2 * (groups - 1)) / PERIOD_S
    detection_s, wrong = draw_timeouts(peers, hops=2)
    return WayRow(
        "hierarchical digests", peers, messages_s, bytes_s, detection_s, wrong
    )


def measure_in_band(peers: int) -> WayRow:
    """Nothing is sent; an attempt that stays silent tells."""
    rng = Random(peers)
    waits = [rng.uniform(0, USE_GAP_S) + SILENCE_S for _ in range(SECONDS)]
    # A paused agent's attempts resume over a new connection; the pool loses nothing.
    wrong = peers * PAUSE_RATE * 3600 * max(0.0, PAUSE_S - SILENCE_S) / PAUSE_S
    return WayRow("in-band", peers, 0.0, 0.0, sum(waits) / len(waits), wrong)


def draw_timeouts(peers: int, *, hops: int) -> tuple[float, float]:
    """Return the mean detection time and wrong suspicions an hour."""
    rng = Random(peers)
    detections = [
        rng.uniform(0, PERIOD_S)
        + TIMEOUT_S
        + sum(rng.uniform(0, PERIOD_S) for _ in range(hops))
        for _ in range(SECONDS)
    ]
    beats = 3600 / PERIOD_S
    by_loss = peers * beats * (2 * LOSS) ** (TIMEOUT_S / PERIOD_S)
    by_pause = peers * PAUSE_RATE * 3600 * (PAUSE_S > TIMEOUT_S)
    return sum(detections) / len(detections), by_loss + by_pause
