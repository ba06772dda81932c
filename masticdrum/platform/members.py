"""Registers a process as a member in the store."""

from collections.abc import Callable

import msgspec
import trio
from msgspec.structs import replace

from masticdrum.model.cluster_events import Member
from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform.store import Store

KIND = "members"
# Only a registration that was removed by others needs it.
REPEAT_S = 60.0
RETRY_S = 0.5


async def announce(
    store: Store, member: Member, read_version: Callable[[], int]
) -> None:
    """Keep a process's own registration in the store; runs for ever.

    ``read_version`` returns the version of the configuration in force. A store that was
    restored may have lost the registration and newer configurations, so it is written
    again at once with the version of then. Otherwise the same one is repeated, which
    changes nothing in the store and tells nobody: a store that has lost nothing holds
    a configuration that is as new as any that was read from it.
    """
    current, revision = member, 0
    restored: trio.Event | None = None
    while True:
        if restored is not store.restored:
            restored = store.restored
            current = replace(member, directory=read_version())
        revision = await write_member(store, current, revision)
        with trio.move_on_after(REPEAT_S if revision else RETRY_S):
            await restored.wait()


async def write_member(store: Store, member: Member, revision: int = 0) -> int:
    """Create or replace a process's registration.

    ``revision`` is that of the last write, zero if there was none. Returns the new one,
    or zero if the registration is not known to be stored.
    """
    path = f"{KIND}/{member.name}"
    body = msgspec.json.encode(member)
    written = await store.execute(ObjectPut("announce", path, body, revision))
    if written.status is ObjectStatus.MISSING:
        written = await store.execute(ObjectPut("announce", path, body, 0))
    if written.status is ObjectStatus.CONFLICT:
        found = await store.execute(ObjectGet("read", path))
        if found.status is not ObjectStatus.OK:
            return 0
        written = await store.execute(ObjectPut("announce", path, body, found.version))
    return written.version if written.status is ObjectStatus.OK else 0
