"""Decides from a partition's records what a request may do with its key."""

from msgspec import Struct

from masticdrum.core.invariants import require
from masticdrum.model.ledger import Decision, KeyState, Record


class Write(Struct, frozen=True):
    """The record may be appended to the present ones."""


class Refresh(Struct, frozen=True):
    """The known records may be out of date; read the head before deciding."""


class Pending(Struct, eq=False):
    """A record that waits for its commit, or a look-up when ``record`` is None.

    ``due`` is when it should be committed and ``until`` when its waiter gives up, in
    seconds. ``serial_at_add`` is the serial of the partition's last call before this
    was added. ``maybe_written`` is set after a write that contained the record got no
    answer. ``owned`` is False for a record of another process, whose claim is not
    released here.
    """

    ticket: str
    workspace: str
    key: str
    digest: bytes
    record: Record | None
    due: float
    until: float
    serial_at_add: int = 0
    maybe_written: bool = False
    owned: bool = True


def decide(
    current: Record | None, pending: Pending, fresh: bool
) -> Decision | Write | Refresh:
    """Decide about ``pending`` given the key's newest known record.

    ``fresh`` means that the record was read after the request arrived.
    """
    wanted = pending.record
    if wanted is None:
        return decide_look_up(current, pending, fresh)
    if wanted.state is KeyState.CLAIMED:
        return decide_claim(current, wanted, fresh)
    return decide_end(current, wanted, fresh)


def decide_look_up(
    current: Record | None, pending: Pending, fresh: bool
) -> Decision | Refresh:
    """Decide how to answer a look-up, made by a request that can't claim now."""
    if current is not None and current.digest != pending.digest:
        return Decision.CONFLICT
    if current is not None and current.state is KeyState.DONE:
        return Decision.REPLAY
    if not fresh:
        return Refresh()
    if current is None or current.state is KeyState.RELEASED:
        return Decision.ABSENT
    return Decision.BUSY


def decide_claim(
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
        claimed = current.state is KeyState.CLAIMED
        return Decision.GRANTED if claimed else Decision.OVERTAKEN
    if current.state is KeyState.RELEASED:
        return Write()
    return Decision.BUSY if fresh else Refresh()


def decide_end(
    current: Record | None, wanted: Record, fresh: bool
) -> Decision | Write | Refresh:
    """Decide whether a reply or a release may still be written for its attempt."""
    if current is None:
        return Write()
    if current.attempt != wanted.attempt and not fresh:
        return Refresh()
    if current.attempt != wanted.attempt:
        require(
            wanted.state is KeyState.RELEASED,
            f"attempt '{wanted.attempt}' has a reply but another attempt has the claim",
        )
        return Decision.OVERTAKEN
    if current.state is KeyState.CLAIMED:
        return Write()
    require(
        current.state is wanted.state,
        f"attempt '{wanted.attempt}' has either a reply or a release, not both",
    )
    return Decision.GRANTED
