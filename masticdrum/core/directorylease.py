"""The lease on the configuration: until when a process may act on it.

It is counted from the latest time at which the configuration was confirmed to hold. A
store that came back from a copy and holds an older configuration confirms nothing: one
that is newer than this process's may have been lost too. A process that has just
started doesn't know that the store has lost any, but other processes announce which
version they have.
"""

from collections.abc import Iterable

from masticdrum.core.restores import REWRITE_S

# For a request's transit to its upstream, its queueing and clock drift.
LEASE_MARGIN_S = 0.6


class DirectoryLease:
    """Ends at ``until``, in seconds.

    ``confirmed_at`` is the latest time at which the configuration is known to have been
    the newest. ``read_version`` is the version that the store's last answer held, and
    ``newest_version`` the newest that was ever in force here or at another process.
    ``began_at`` is when the first configuration was read.
    """

    __slots__ = ("began_at", "confirmed_at", "newest_version", "read_version", "until")

    def __init__(self) -> None:
        self.until = 0.0
        self.confirmed_at = float("-inf")
        self.read_version = 0
        self.newest_version = 0
        self.began_at: float | None = None

    @property
    def is_store_behind(self) -> bool:
        """Whether the store holds an older configuration than it once did."""
        return self.read_version < self.newest_version

    def is_held(self, now: float) -> bool:
        """Return whether the configuration may be acted on."""
        return now < self.until

    def record_read(
        self, version: int, confirmed_at: float, revoke_s: float, now: float
    ) -> None:
        """Record the version that the store holds, and extend the lease."""
        if self.began_at is None:
            self.began_at = now
        self.read_version = version
        self.newest_version = max(self.newest_version, version)
        self.extend(confirmed_at, revoke_s)

    def extend(self, confirmed_at: float, revoke_s: float) -> None:
        """Extend the lease; a revoked key must stop working within ``revoke_s``."""
        if not self.is_store_behind:
            until = confirmed_at + revoke_s - LEASE_MARGIN_S
            self.until = max(self.until, until)

    def confirm(self, confirmed_at: float) -> None:
        """Record that the configuration was the newest at ``confirmed_at``."""
        if not self.is_store_behind:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def compare(self, versions: Iterable[int], now: float) -> None:
        """Compare with the versions that other processes have.

        The lease of a process that has started with an outdated configuration ends.
        One that has served for longer may only have read later than others.
        """
        self.newest_version = max(self.newest_version, *versions, 0)
        has_just_begun = self.began_at is not None and now < self.began_at + REWRITE_S
        if has_just_begun and self.is_store_behind:
            self.until = min(self.until, now)
