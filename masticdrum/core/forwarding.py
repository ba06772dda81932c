"""Forwards commits to each partition's preferred writer, to avoid write conflicts.

All entries compute the same ranking of the live entries for a partition. Which of them
commits affects the cost alone, not correctness: a record names its attempt, so the
entry that made it may commit it itself whenever the writer does not answer, and finds
what the writer wrote. Only the entry that made a claim dispatches under it or releases
it.
"""

from msgspec import Struct

from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.partitionstep import Step, Verdict
from masticdrum.core.peers import ForwardedCommit
from masticdrum.core.rendezvous import Ranking
from masticdrum.model.entry_events import EntryEffect, ReplyFrame, SendFrame
from masticdrum.model.ledger import Decision, KeyState, Record
from masticdrum.model.messages import Commit, Committed
from masticdrum.model.platform import InstancesListed, InstanceState
from masticdrum.model.tables import Upstream
from masticdrum.model.telemetry import Count, Counter

FALL_BACK = "commit fall back"
CLAIM_WAIT_S = 0.25
END_WAIT_S = 2.0
FALL_BACK_AFTER_S = 0.1
SUSPECT_S = 2.0
PEER = "peer"


class PeerCommit(Struct, frozen=True):
    """A commit that another entry requested: its link and its ticket."""

    link: str
    ticket: str


def choose_writers(state: EntryState, event: InstancesListed) -> None:
    """Choose each partition's preferred writer among the live entries."""
    if not state.options.forwards:
        return
    listed = [
        Upstream(row.name, row.data_centre, row.address)
        for row in event.instances
        if row.role == "entry"
        and row.state is InstanceState.LIVE
        and row.address.startswith("tcp://")
    ]
    others = {entry.name: entry for entry in listed if entry.name != state.options.name}
    if others == state.peers.entries and state.peers.writers:
        return
    state.peers.entries = others
    own_entry = (state.options.name, state.options.data_centre, 1.0)
    members = [own_entry, *((e.name, e.data_centre, 1.0) for e in others.values())]
    ranking = Ranking(sorted(members))
    numbers = range(state.ledger.partitions)
    state.peers.writers = [next(ranking.rank(number)) for number in numbers]


def select_writer(state: EntryState, record: Record, now: float) -> Upstream | None:
    """Return the entry that should commit a record, or None for this one."""
    if not state.peers.writers:
        return None
    name = state.peers.writers[state.ledger.choose(record.workspace, record.key)]
    if now < state.peers.suspects.get(name, 0.0):
        return None
    return state.peers.entries.get(name)


def forward_commit(
    state: EntryState,
    ticket: str,
    record: Record,
    writer: Upstream,
    until: float,
    now: float,
    before: Record | None = None,
) -> list[EntryEffect]:
    """Request another entry to commit ``before``, if any, and then ``record``."""
    claimed = record.state is KeyState.CLAIMED
    wait_s = min(CLAIM_WAIT_S if claimed else END_WAIT_S, until - now)
    peer, effects = state.peers.links.ensure_open(writer)
    state.peers.forwarded_commits[ticket] = ForwardedCommit(
        record, before, writer.name, until
    )
    at = now + wait_s + FALL_BACK_AFTER_S
    state.timers.set(TimerName(FALL_BACK, ticket), at)
    request = Commit(ticket, record, wait_s, before)
    return [
        *effects,
        SendFrame(peer.link, request),
        Count(Counter.COMMITS, "forwarded"),
    ]


def resolve_forwarded(state: EntryState, message: Committed) -> Verdict | None:
    """Return the verdict in another entry's answer, or None if unavailable or late."""
    if message.ticket not in state.peers.forwarded_commits:
        return None
    if message.decision is Decision.UNAVAILABLE:
        return None
    del state.peers.forwarded_commits[message.ticket]
    state.timers.clear(TimerName(FALL_BACK, message.ticket))
    return Verdict(message.ticket, message.decision, message.record, message.unclaimed)


def commit_unanswered(state: EntryState, ticket: str, now: float) -> Step:
    """Commit a forwarded record here, since no verdict came in time."""
    forwarded = state.peers.forwarded_commits.pop(ticket, None)
    if forwarded is None:
        return Step()
    state.peers.suspects[forwarded.writer] = now + SUSPECT_S
    state.peers.links.close(forwarded.writer)
    step = Step()
    if forwarded.before is not None:
        step = state.ledger.record("", forwarded.before, now)
    record = forwarded.record
    if record.state is KeyState.CLAIMED:
        until = forwarded.until
        more = state.ledger.claim(ticket, record, until, now, forwarded=True)
    else:
        more = state.ledger.record(ticket, record, now)
    return Step(step.calls + more.calls, step.verdicts + more.verdicts)


def serve_commit(state: EntryState, link: str, message: Commit, now: float) -> Step:
    """Commit another entry's record; the verdict is sent back to that entry."""
    oldest = state.ledger.compute_wall_time(now) - state.ledger.retention_s
    if message.record.at < oldest:
        return Step()
    state.peers.peer_commit_count += 1
    ticket = f"{PEER}/{state.peers.peer_commit_count}"
    state.peers.peer_commits[ticket] = PeerCommit(link, message.ticket)
    step = Step()
    if message.before is not None:
        step = state.ledger.record("", message.before, now)
    until = now + message.wait_s
    more = state.ledger.commit_for_peer(ticket, message.record, until, now)
    return Step(step.calls + more.calls, step.verdicts + more.verdicts)


def answer_commit(state: EntryState, verdict: Verdict) -> list[EntryEffect]:
    """Send the verdict on a record to the entry that requested its commit."""
    peer_commit = state.peers.peer_commits.pop(verdict.ticket)
    answer = Committed(
        peer_commit.ticket, verdict.decision, verdict.record, verdict.unclaimed
    )
    return [ReplyFrame(peer_commit.link, answer)]


def has_commits(state: EntryState) -> bool:
    """Return whether a record waits for its commit, here or at another entry."""
    return bool(state.peers.forwarded_commits) or not state.ledger.is_idle()
