"""Announces a process in the store."""

import msgspec
import trio

from masticdrum.model.belief import Member
from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform.store import Store

KIND = "members"
BEAT_S = 20.0  # one write a process; a dead one only lowers the others' shares
RETRY_S = 0.5


async def announce(store: Store, member: Member) -> None:
    """Write what a process says of itself, again at each beat; runs for ever."""
    beat = 0
    while True:
        beat += 1
        written = await write_member(store, msgspec.structs.replace(member, beat=beat))
        await trio.sleep(BEAT_S if written else RETRY_S)


async def write_member(store: Store, member: Member) -> bool:
    """Create or replace a process's own entry; returns whether it stands."""
    path = f"{KIND}/{member.name}"
    body = msgspec.json.encode(member)
    created = await store.ask(ObjectPut("announce", path, body, 0))
    if created.status is not ObjectStatus.CONFLICT:
        return created.status is ObjectStatus.OK
    found = await store.ask(ObjectGet("read", path))
    if found.status is not ObjectStatus.OK:
        return False
    replaced = await store.ask(ObjectPut("announce", path, body, found.version))
    return replaced.status is ObjectStatus.OK
