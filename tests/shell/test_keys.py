"""Only peers with an accepted key can connect to an agent."""

from pathlib import Path

import msgspec
import pytest
import trio
from returns.result import Failure

from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.messages import Envelope, Hello
from masticdrum.shell.agentlinks import AgentLinks
from masticdrum.shell.entrylinks import EntryLinks
from masticdrum.shell.keys import LinkKeys, load_keys, make_deployment_keys, make_pair
from masticdrum.shell.metrics import Metrics

WAIT_S = 20.0


async def send_hello(
    entry_keys: LinkKeys | None, agent_keys: LinkKeys | None
) -> tuple[list[FrameReceived], Metrics]:
    """Send an entry's hello to an agent; wait until it arrives or is refused."""
    received: list[FrameReceived] = []
    meters = Metrics()
    with trio.move_on_after(WAIT_S):
        async with trio.open_nursery() as nursery:
            agent = AgentLinks(nursery, received.append, meters, agent_keys)
            address = agent.listen("tcp://127.0.0.1:*")
            entry = EntryLinks(nursery, received.append, entry_keys)
            entry.open("entry/1", address)
            entry.send("entry/1", Envelope("entry", "1", 0, Hello()))
            while not received and b"unknown_peer" not in meters.export():
                await trio.sleep(0.01)
            entry.close_all()
            agent.close_all()
            nursery.cancel_scope.cancel()
    return received, meters


def test_a_known_peer_is_accepted() -> None:
    received, _ = trio.run(send_hello, *make_deployment_keys())
    assert received[0].envelope.message == Hello()


def test_an_unknown_peer_is_refused_and_counted() -> None:
    for_entries, for_agents = make_deployment_keys()
    unknown_keys = LinkKeys(*make_pair(), for_entries.peers)
    received, meters = trio.run(send_hello, unknown_keys, for_agents)
    assert not received
    assert b'masticdrum_refusals_total{reason="unknown_peer"}' in meters.export()


def test_links_without_keys_are_plain() -> None:
    received, _ = trio.run(send_hello, None, None)
    assert received[0].envelope.message == Hello()


@pytest.mark.parametrize("peers", [[], ["short"]])
def test_a_fault_in_a_key_file_names_the_file_and_no_key(
    tmp_path: Path, peers: list[str]
) -> None:
    path = tmp_path / "keys.json"
    public, secret = make_pair()
    path.write_bytes(msgspec.json.encode(LinkKeys(public, secret, peers)))
    loaded = load_keys(path)
    assert isinstance(loaded, Failure)
    assert "keys.json" in loaded.failure()
    assert secret not in loaded.failure()
