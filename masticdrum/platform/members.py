"""Registers a process as a member in the store."""

from collections.abc import Callable

import msgspec
import trio
from msgspec.structs import replace

from masticdrum.model.cluster_events import Member
from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform.store import Store

KIND = "members"
# One write by each process; a dead one only lowers the others' shares.
HEARTBEAT_S = 20.0
RETRY_S = 0.5


async def announce(
    store: Store, member: Member, read_version: Callable[[], int]
) -> None:
    """Write a process's own registration at each heartbeat; runs for ever.

    ``read_version`` returns the version of the configuration in force. A store that was
    restored may have lost the registration, so it is written again at once.
    """
    beat = 0
    while True:
        beat += 1
        restored = store.restored
        current = replace(member, beat=beat, directory=read_version())
        written = await write_member(store, current)
        with trio.move_on_after(HEARTBEAT_S if written else RETRY_S):
            await restored.wait()


async def write_member(store: Store, member: Member) -> bool:
    """Create or replace a process's registration; returns whether it is stored."""
    path = f"{KIND}/{member.name}"
    body = msgspec.json.encode(member)
    created = await store.execute(ObjectPut("announce", path, body, 0))
    if created.status is not ObjectStatus.CONFLICT:
        return created.status is ObjectStatus.OK
    found = await store.execute(ObjectGet("read", path))
    if found.status is not ObjectStatus.OK:
        return False
    replaced = await store.execute(ObjectPut("announce", path, body, found.version))
    return replaced.status is ObjectStatus.OK
