"""What a partition's records allow a request to do with its key."""

from msgspec import Struct

from masticdrum.core.invariants import require
from masticdrum.model.ledger import Decision, KeyState, Record


class Write(Struct, frozen=True):
    """The record may be written on top of the present ones."""


class Refresh(Struct, frozen=True):
    """The records known are too old to tell."""


class Pending(Struct, eq=False):
    """A record that waits for its commit, or a look-up when ``record`` is None.

    ``due`` is when it should be committed and ``until`` when its waiter gives up, in
    seconds. ``asked`` is the serial of the partition's last call before it came;
    ``lost`` is set once a write that held it had no answer.
    """

    ticket: str
    workspace: str
    key: str
    digest: bytes
    record: Record | None
    due: float
    until: float
    asked: int = 0
    lost: bool = False
    owned: bool = True


def judge(
    current: Record | None, pending: Pending, fresh: bool
) -> Decision | Write | Refresh:
    """Decide about ``pending`` given the key's newest record.

    ``fresh`` tells that the record was read after the request came.
    """
    wanted = pending.record
    if wanted is None:
        return judge_look_up(current, pending, fresh)
    if wanted.state is KeyState.CLAIMED:
        return judge_claim(current, wanted, fresh)
    return judge_end(current, wanted, fresh)


def judge_look_up(
    current: Record | None, pending: Pending, fresh: bool
) -> Decision | Refresh:
    """Decide what a request that can't claim now is told of its key."""
    if current is not None and current.digest != pending.digest:
        return Decision.CONFLICT
    if current is not None and current.state is KeyState.DONE:
        return Decision.REPLAY
    if not fresh:
        return Refresh()
    if current is None or current.state is KeyState.RELEASED:
        return Decision.ABSENT
    return Decision.BUSY


def judge_claim(
    current: Record | None, wanted: Record, fresh: bool
) -> Decision | Write | Refresh:
    """Decide whether an attempt may claim its key."""
    if current is None:
        return Write()
    if current.digest != wanted.digest:
        return Decision.CONFLICT
    if current.state is KeyState.DONE:
        return Decision.REPLAY
    if current.attempt == wanted.attempt:
        held = current.state is KeyState.CLAIMED
        return Decision.GRANTED if held else Decision.OVERTAKEN
    if current.state is KeyState.RELEASED:
        return Write()
    return Decision.BUSY if fresh else Refresh()


def judge_end(
    current: Record | None, wanted: Record, fresh: bool
) -> Decision | Write | Refresh:
    """Decide whether a reply or a release still fits its attempt."""
    if current is None:
        return Write()
    if current.attempt != wanted.attempt and not fresh:
        return Refresh()
    if current.attempt != wanted.attempt:
        require(
            wanted.state is KeyState.RELEASED,
            f"attempt '{wanted.attempt}' answered under a claim that others hold",
        )
        return Decision.OVERTAKEN
    if current.state is KeyState.CLAIMED:
        return Write()
    require(
        current.state is wanted.state,
        f"attempt '{wanted.attempt}' either ran or was released",
    )
    return Decision.GRANTED
