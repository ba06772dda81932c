"""Entries exchange messages over peer links, with and without keys."""

import pytest
import trio

from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.ledger import Decision, Record
from masticdrum.model.messages import Commit, Committed, Envelope
from masticdrum.shell.keys import LinkKeys, make_deployment_keys
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.peerlinks import PeerLinks

LINK = "entry-1.peers/entry-2/1"
RECORD = Record("gebeya", "k", b"", "a", "stall", "i", 1.0)
ANSWER_S = 10.0


async def exchange(opening: LinkKeys | None, accepting: LinkKeys | None) -> list[str]:
    """Send a commit and its answer; return the names of the messages that arrived."""
    received: list[str] = []
    answered = trio.Event()

    def handle_commit(event: FrameReceived) -> None:
        received.append(type(event.envelope.message).__name__)
        answer = Committed("t", Decision.GRANTED, RECORD, False)
        second.reply(event.link, Envelope("entry-2", "i2", 1, answer))

    def handle_committed(event: FrameReceived) -> None:
        received.append(type(event.envelope.message).__name__)
        answered.set()

    async with trio.open_nursery() as nursery:
        first = PeerLinks(nursery, handle_committed, Metrics(), opening)
        second = PeerLinks(nursery, handle_commit, Metrics(), accepting)
        first.open(LINK, second.listen("tcp://127.0.0.1:*"))
        first.send(LINK, Envelope("entry-1", "i1", 1, Commit("t", RECORD, 1.0)))
        first.receive_pending()
        with trio.move_on_after(ANSWER_S if opening == accepting else 0.5):
            await answered.wait()
        first.close_all()
        second.close_all()
        nursery.cancel_scope.cancel()
    return received


@pytest.mark.parametrize(
    "keys", [None, make_deployment_keys()[0]], ids=["open", "keys"]
)
def test_a_commit_is_answered(keys: LinkKeys | None) -> None:
    assert trio.run(exchange, keys, keys) == ["Commit", "Committed"]


def test_an_entry_with_other_keys_is_rejected() -> None:
    assert (
        trio.run(exchange, make_deployment_keys()[0], make_deployment_keys()[0]) == []
    )
