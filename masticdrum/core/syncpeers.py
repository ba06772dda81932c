"""Which processes watch the platform, and which agents an entry keeps informed."""

from collections.abc import Sequence

from msgspec import Struct

from masticdrum.core.election import choose_top, is_among_top
from masticdrum.model.platform import Instance, InstanceState

ENTRY = "entry"
AGENT = "agent"
WATCHERS_PER_CENTRE = 3  # entries that watch the platform, in each data centre
ENTRIES_PER_AGENT = 3  # entries that keep one agent informed
MIN_AGENTS = 2  # agents that an entry talks to at least
WATCH_KEY = "watch"


class SyncPeers(Struct, frozen=True):
    """The part of one process; ``contacts`` are addresses of agents.

    ``processes`` counts the entries and agents that are listed.
    """

    watches: bool = False
    agent_addresses: tuple[str, ...] = ()
    processes: int = 0


def choose_entry_peers(
    name: str, data_centre: str, instances: Sequence[Instance]
) -> SyncPeers:
    """Return the part of the entry ``name``.

    An agent is fed by the best entries of its own data centre, or of all of them
    where its own has none. Every entry has some contacts, and each watcher has one
    more in every other data centre, so that the data centres inform each other.
    """
    entries = list_entries(name, data_centre, instances)
    agents = group_agents(instances)
    watches = is_among_top(WATCH_KEY, name, entries[data_centre], WATCHERS_PER_CENTRE)
    agent_addresses: set[str] = set()
    for centre, addresses in agents.items():
        agent_addresses |= choose_assigned_agents(name, centre, entries, addresses)
        if watches and centre != data_centre:
            agent_addresses |= set(choose_top(name, addresses, 1))
    near = agents.get(data_centre) or [a for rows in agents.values() for a in rows]
    agent_addresses |= set(choose_top(name, near, MIN_AGENTS))
    return SyncPeers(
        watches, tuple(sorted(agent_addresses)), count_processes(instances)
    )


def list_entries(
    name: str, data_centre: str, instances: Sequence[Instance]
) -> dict[str, list[str]]:
    """Return the live entries of each data centre; this one counts, listed or not."""
    entries: dict[str, list[str]] = {data_centre: [name]}
    for row in instances:
        if row.role != ENTRY or row.state is not InstanceState.LIVE:
            continue
        if row.name != name:
            entries.setdefault(row.data_centre, []).append(row.name)
    return entries


def group_agents(instances: Sequence[Instance]) -> dict[str, list[str]]:
    """Return the agents' addresses by data centre, the leaving ones too."""
    agents: dict[str, list[str]] = {}
    for row in instances:
        if row.role == AGENT:
            agents.setdefault(row.data_centre, []).append(row.address)
    return agents


def choose_assigned_agents(
    name: str, centre: str, entries: dict[str, list[str]], addresses: list[str]
) -> set[str]:
    """Return those agents of a data centre that the entry ``name`` feeds."""
    eligible = entries.get(centre)
    if eligible is None:
        eligible = [entry for names in entries.values() for entry in names]
    if name not in eligible:
        return set()
    return {
        address
        for address in addresses
        if is_among_top(address, name, eligible, ENTRIES_PER_AGENT)
    }


def count_processes(instances: Sequence[Instance]) -> int:
    """Return how many entries and agents are listed."""
    return sum(row.role in (ENTRY, AGENT) for row in instances)
