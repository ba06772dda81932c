"""Encodes and decodes a roll-out's progress, and says when to publish it."""

import msgspec
from msgspec.structs import replace

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.rolloutprogress import RolloutProgress

MAX_PROGRESS_BYTES = 2048
MIN_INTERVAL_S = 1.0


def encode_progress(progress: RolloutProgress) -> bytes:
    """Encode at most ``MAX_PROGRESS_BYTES``; raises ``ValueError`` if that can't be.

    Routes are left out, those with the longest facts first, until the rest fits.
    """
    body = msgspec.json.encode(progress)
    if len(body) <= MAX_PROGRESS_BYTES:
        return body
    kept = dict(progress.facts)
    sizes = {
        route: len(msgspec.json.encode({route: facts})) for route, facts in kept.items()
    }
    for route in sorted(kept, key=lambda name: (-sizes[name], name)):
        del kept[route]
        omitted = progress.omitted + len(progress.facts) - len(kept)
        body = msgspec.json.encode(replace(progress, facts=kept, omitted=omitted))
        if len(body) <= MAX_PROGRESS_BYTES:
            return body
    raise ValueError(f"progress of {progress.service!r}: {len(body)} bytes at least")


def decode_progress(body: bytes) -> RolloutProgress:
    """Decode a roll-out's progress; raises ``Undecodable``."""
    if len(body) > MAX_PROGRESS_BYTES:
        raise Undecodable(f"it has {len(body)} bytes")
    return read_json(body, RolloutProgress)


class ProgressPacer:
    """Says when one order's progress is to be published.

    ``pacer.is_due(now)`` is true once in ``MIN_INTERVAL_S`` at most; ``now`` is in
    seconds of any clock that doesn't go back.
    """

    def __init__(self) -> None:
        self._due_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether to publish now, and count it as published if so."""
        if now < self._due_at:
            return False
        self._due_at = now + MIN_INTERVAL_S
        return True
