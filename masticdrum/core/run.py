"""One attempt of a completion at an agent."""

from enum import StrEnum

from msgspec import Struct, field

from masticdrum.core.digests import TokenDigest
from masticdrum.model.messages import Dispatch, Failed, Finished, Refused, Usage
from masticdrum.model.tables import Urgency


class RunStage(StrEnum):
    """The stage of an attempt."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class Run(Struct):
    """An attempt, from its dispatch until its entry has received everything.

    ``unacked`` holds the tokens from sequence number ``unacked_from`` on, which the
    entry has not acknowledged. ``version`` is the weight version that serves the run,
    fixed once the engine began. ``preparing`` is set while a run that may start waits
    for its block import. ``resumes`` counts the resumptions since the last token.
    ``last_received_at`` and ``last_sent_at`` are the times of the last messages about
    it from and to its entry. Times are in seconds.
    """

    dispatch: Dispatch
    link: str
    arrived_at: float
    last_received_at: float
    unacked_from: int
    stage: RunStage = RunStage.WAITING
    version: str = ""
    blocks: tuple[str, ...] = ()
    unacked: list[str] = field(default_factory=list)
    digest: TokenDigest = field(default_factory=TokenDigest)
    usage: Usage = Usage()
    preparing: bool = False
    started_at: float = 0.0
    last_sent_at: float = 0.0
    resumes: int = 0
    end: Finished | Failed | Refused | None = None

    @property
    def attempt(self) -> str:
        """The attempt's name."""
        return self.dispatch.attempt

    @property
    def count(self) -> int:
        """The sequence number of the next token."""
        return self.unacked_from + len(self.unacked)


def is_urgent(run: Run) -> bool:
    """Return whether a run is urgent and has not produced a token yet."""
    message = run.dispatch
    waits = run.stage is not RunStage.ENDED and run.count == len(message.delivered)
    return waits and message.urgency is Urgency.URGENT
