"""Bounds the times at which revisions of the store were written."""

from collections import deque

MAX_ANSWERS = 32


class RevisionTimes:
    """What the answered calls of one process prove about when revisions were written.

    All kinds share one counter. If a call that was sent at some time is answered as of
    a revision, each later revision was written after that time. For example::

        times = RevisionTimes()
        times.record(as_of=7, sent_at=10.0)
        assert times.find_not_before(8) == 10.0
        assert times.find_not_before(7) == float("-inf")
    """

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: deque[tuple[int, float]] = deque(maxlen=MAX_ANSWERS)

    def record(self, as_of: int, sent_at: float) -> None:
        """Record a linearizable answer, and when its call was sent, in seconds."""
        if any(known <= as_of and at >= sent_at for known, at in self._answers):
            return
        kept = [
            (known, at) for known, at in self._answers if known < as_of or at > sent_at
        ]
        self._answers = deque([*kept, (as_of, sent_at)], maxlen=MAX_ANSWERS)

    def find_not_before(self, revision: int) -> float:
        """Return a time before which a revision had not been written, in seconds.

        That is minus infinity if none is known.
        """
        return max(
            (at for as_of, at in self._answers if as_of < revision),
            default=float("-inf"),
        )

    def clear(self) -> None:
        """Forget all answers, since revisions are given out again."""
        self._answers.clear()
