"""One attempt of a completion at an agent."""

from enum import StrEnum

from msgspec import Struct, field

from masticdrum.core.digests import TokenDigest
from masticdrum.model.messages import Dispatch, Failed, Finished, Refused, Usage
from masticdrum.model.tables import Urgency


class RunStage(StrEnum):
    """How far an attempt has come."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class Run(Struct):
    """An attempt, from its dispatch until its entry has everything.

    ``kept`` holds the tokens from sequence number ``kept_from`` on that the entry has
    not acknowledged. ``version`` is the weight version that serves it, fixed once the
    engine began. ``preparing`` holds a run that has its turn until its import is
    done. Times are seconds.
    """

    dispatch: Dispatch
    link: str
    arrived_at: float
    heard_at: float
    kept_from: int
    stage: RunStage = RunStage.WAITING
    version: str = ""
    blocks: tuple[str, ...] = ()
    kept: list[str] = field(default_factory=list)
    digest: TokenDigest = field(default_factory=TokenDigest)
    usage: Usage = Usage()
    preparing: bool = False
    started_at: float = 0.0
    sent_at: float = 0.0
    resumes: int = 0
    end: Finished | Failed | Refused | None = None

    @property
    def attempt(self) -> str:
        """The attempt's name."""
        return self.dispatch.attempt

    @property
    def count(self) -> int:
        """The sequence number that the next token will have."""
        return self.kept_from + len(self.kept)


def is_urgent(run: Run) -> bool:
    """Tell whether a run is urgent and has no token yet."""
    message = run.dispatch
    waits = run.stage is not RunStage.ENDED and run.count == len(message.delivered)
    return waits and message.urgency is Urgency.URGENT
