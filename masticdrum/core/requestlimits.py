"""Keeps the limits on requests that upstreams in need name in their answers."""

from msgspec import Struct

from masticdrum.model.telemetry import Log, LogNumber

LOGGED_CHANGE = 0.2  # of a limit; upstreams adjust theirs with each answer


class RequestLimit(Struct):
    """How many requests a second an incarnation of an upstream takes in all."""

    born: int
    per_s: float
    logged_per_s: float


class RequestLimits:
    """The limits that one entry knows, by upstream."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, RequestLimit] = {}

    def record_answer(
        self, upstream: str, born: int, per_s: float | None, request: str
    ) -> list[Log]:
        """Record the limit that an answer names, or that it names none."""
        known = self._limits.get(upstream)
        if per_s is None:
            if known is None:
                return []
            del self._limits[upstream]
            return [log_limit(upstream, None, known.logged_per_s, request)]
        if known is None or known.born != born:
            self._limits[upstream] = RequestLimit(born, per_s, per_s)
            return [log_limit(upstream, per_s, None, request)]
        known.per_s = per_s
        before = known.logged_per_s
        if abs(per_s - before) < LOGGED_CHANGE * before:
            return []
        known.logged_per_s = per_s
        return [log_limit(upstream, per_s, before, request)]

    def get_limit(self, upstream: str, born: int) -> float | None:
        """Return how many requests a second an upstream takes, None if any number."""
        known = self._limits.get(upstream)
        return None if known is None or known.born != born else known.per_s

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is gone."""
        self._limits.pop(upstream, None)

    def list_upstreams(self) -> list[str]:
        """List the upstreams that have named a limit."""
        return list(self._limits)


def log_limit(
    upstream: str, per_s: float | None, before: float | None, request: str
) -> Log:
    """Return the log of a limit that was named, changed or lifted; -1 is none."""
    return Log(
        LogNumber.UPSTREAM_LIMITED,
        request=request,
        facts={
            "upstream": upstream,
            "per_s": -1.0 if per_s is None else per_s,
            "before": -1.0 if before is None else before,
        },
    )
