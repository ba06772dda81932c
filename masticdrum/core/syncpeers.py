"""Chooses the entries that watch the platform, and the agents assigned to each entry.

An entry sends the serial of its tables to its assigned agents at an interval.
"""

from collections.abc import Sequence

from msgspec import Struct

from masticdrum.core.election import choose_top, is_among_top
from masticdrum.model.platform import Instance, InstanceState

ENTRY = "entry"
AGENT = "agent"
WATCHERS_PER_CENTRE = 3  # entries that watch the platform, per data centre
ENTRIES_PER_AGENT = 3  # entries that one agent is assigned to
MIN_AGENTS = 2  # least number of agents that an entry sends to
WATCH_KEY = "watch"


class SyncPeers(Struct, frozen=True):
    """The peers of one process, and whether it watches the platform.

    ``agent_addresses`` are those of the agents assigned to an entry. ``processes``
    counts the entries and agents that are listed.
    """

    watches: bool = False
    agent_addresses: tuple[str, ...] = ()
    processes: int = 0


def choose_entry_peers(
    name: str, data_centre: str, instances: Sequence[Instance]
) -> SyncPeers:
    """Return the peers of the entry ``name``.

    An agent is assigned to the entries of its own data centre that rank highest for it,
    or to those of all data centres if its own has none. Each entry also gets
    ``MIN_AGENTS`` agents, from its own data centre if there are any. Each watcher gets
    one more in every other data centre, so that news spreads between data centres.
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
    """Return the live entries of each data centre, with ``name`` even if unlisted."""
    entries: dict[str, list[str]] = {data_centre: [name]}
    for row in instances:
        if row.role != ENTRY or row.state is not InstanceState.LIVE:
            continue
        if row.name != name:
            entries.setdefault(row.data_centre, []).append(row.name)
    return entries


def group_agents(instances: Sequence[Instance]) -> dict[str, list[str]]:
    """Return all agents' addresses by data centre, including agents shutting down."""
    agents: dict[str, list[str]] = {}
    for row in instances:
        if row.role == AGENT:
            agents.setdefault(row.data_centre, []).append(row.address)
    return agents


def choose_assigned_agents(
    name: str, centre: str, entries: dict[str, list[str]], addresses: list[str]
) -> set[str]:
    """Return the agents of a data centre that are assigned to the entry ``name``."""
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
