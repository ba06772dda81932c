"""A stand-in for a store instance: memory and disk tiers behind a limited link."""

from collections import OrderedDict
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import Any

import trio
from msgspec import Struct

from tests.standins.server import (
    AbortConnection,
    Faults,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)

CHUNK = 65_536  # bytes per transfer over the link


class Damage(StrEnum):
    """How a block is damaged when it is read."""

    NONE = "none"
    TRUNCATE = "truncate"
    FLIP = "flip"
    SUBSTITUTE = "substitute"


class StoreFaults(Faults):
    """Settings and faults: sizes in bytes, rates in bytes per second.

    A ``link_rate`` of zero means no limit. ``full`` refuses every new block.
    ``break_after`` breaks the connection after that many bytes of a block on a read,
    and instead of storing a longer block on a write; a negative value turns it off.
    """

    memory_size: int = 64_000_000
    disk_size: int = 256_000_000
    link_rate: float = 0.0
    full: bool = False
    break_after: int = -1
    damage: Damage = Damage.NONE


class Block(Struct):
    """One committed block, its tier and when each holder's lease expires."""

    body: bytes
    on_disk: bool
    leases: dict[str, float]


class StoreTable:
    """Blocks in two tiers, without I/O; ``now`` is in seconds.

    A new block is stored in memory. The least recently used block moves from memory to
    disk, and is evicted from disk. A leased block stays in its tier.
    """

    def __init__(self, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self.uncommitted: dict[tuple[str, str], bytes] = {}
        self.blocks: OrderedDict[str, Block] = OrderedDict()

    def put(self, key: str, part: str, body: bytes, now: float) -> int:
        """Store an upload, unreadable until committed; return 204, or 507 if full."""
        self.uncommitted.pop((key, part), None)
        if self.faults.full or not self._make_room(len(body), now):
            return 507
        self.uncommitted[key, part] = body
        return 204

    def commit(self, key: str, part: str, now: float) -> int:
        """Make an upload readable; return 204, or 404 if it is unknown."""
        body = self.uncommitted.pop((key, part), None)
        if body is None:
            return 404
        leases = self.blocks[key].leases if key in self.blocks else {}
        self.blocks[key] = Block(body, False, leases)
        self.blocks.move_to_end(key)
        self._make_room(0, now)
        return 204

    def get(self, key: str) -> bytes | None:
        """Read a committed block, with the damage that the faults define."""
        if key not in self.blocks:
            return None
        self.blocks.move_to_end(key)
        return self._damage(key, self.blocks[key].body)

    def lease(self, key: str, holder: str, for_s: float, now: float) -> int:
        """Protect a block from eviction; return 204, or 404 if it is unknown."""
        if key not in self.blocks:
            return 404
        self.blocks[key].leases[holder] = now + for_s
        return 204

    def release(self, key: str, holder: str) -> int:
        """Release a lease; return 204 in any case."""
        if key in self.blocks:
            self.blocks[key].leases.pop(holder, None)
        return 204

    def show_status(self) -> dict[str, int]:
        """Return the size and the use of both tiers, in bytes."""
        return {
            "memory_used": self._count_bytes(False),
            "memory_size": self.faults.memory_size,
            "disk_used": self._count_bytes(True),
            "disk_size": self.faults.disk_size,
        }

    def _count_bytes(self, on_disk: bool) -> int:
        sizes = [len(b.body) for b in self.blocks.values() if b.on_disk is on_disk]
        uncommitted = (
            0 if on_disk else sum(len(body) for body in self.uncommitted.values())
        )
        return sum(sizes) + uncommitted

    def _make_room(self, size: int, now: float) -> bool:
        while self._count_bytes(False) + size > self.faults.memory_size:
            key = self._select_victim(False, now)
            if key is None:
                return False
            self.blocks[key].on_disk = True
        while self._count_bytes(True) > self.faults.disk_size:
            key = self._select_victim(True, now)
            if key is None:
                return False
            del self.blocks[key]
        return True

    def _select_victim(self, on_disk: bool, now: float) -> str | None:
        for key, block in self.blocks.items():
            is_leased = any(end > now for end in block.leases.values())
            if block.on_disk is on_disk and not is_leased:
                return key
        return None

    def _damage(self, key: str, body: bytes) -> bytes:
        match self.faults.damage:
            case Damage.TRUNCATE:
                return body[:-1]
            case Damage.FLIP:
                middle = len(body) // 2
                return body[:middle] + bytes([body[middle] ^ 1]) + body[middle + 1 :]
            case Damage.SUBSTITUTE:
                others = [b.body for name, b in self.blocks.items() if name != key]
                return others[0] if others else body
        return body


class Link:
    """A link that carries one transfer at a time, at a limited rate."""

    def __init__(self) -> None:
        self._free_at = 0.0
        self.carried = 0

    def reserve(self, size: int, rate: float, now: float) -> float:
        """Reserve the link for ``size`` bytes; return the seconds until done."""
        self.carried += size
        self._free_at = max(now, self._free_at) + (size / rate if rate else 0.0)
        return self._free_at - now


class Store(StandIn):
    """A store instance as an app."""

    def __init__(self, faults: StoreFaults | None = None) -> None:
        super().__init__(faults or StoreFaults())
        self.table = StoreTable(self.faults)
        self.link = Link()

    def control(self, changes: dict[str, Any]) -> None:
        super().control(changes)
        self.table.faults = self.faults

    def show(self) -> dict[str, Any]:
        state = {"carried": self.link.carried, "blocks": len(self.table.blocks)}
        return super().show() | state | self.table.show_status()

    async def answer(self, request: Request) -> Reply:
        if request.kind == "GET status":
            return make_json_reply(self.table.show_status())
        key, _, subresource = request.name.partition("/")
        if subresource == "lease":
            return Reply(self._answer_lease(request, key))
        match request.kind:
            case "GET blocks":
                return self._answer_read(key)
            case "PUT blocks":
                return await self._answer_part(request, key)
            case "POST blocks":
                now = trio.current_time()
                return Reply(self.table.commit(key, request.query.get("part", ""), now))
        return make_json_reply({"error": "no such call"}, 404)

    def _answer_lease(self, request: Request, key: str) -> int:
        holder = request.query.get("holder", "")
        if request.method == "DELETE":
            return self.table.release(key, holder)
        for_s = float(request.query.get("for", 0))
        return self.table.lease(key, holder, for_s, trio.current_time())

    def _answer_read(self, key: str) -> Reply:
        body = self.table.get(key)
        if body is None:
            return make_json_reply({"error": "no such block"}, 404)
        headers = {"content-length": str(len(body))}
        return Reply(200, headers=headers, chunks=self._send_block(body))

    async def _answer_part(self, request: Request, key: str) -> Reply:
        size = len(request.body)
        await trio.sleep(self.link.reserve(size, self.faults.link_rate, now_s()))
        if 0 <= self.faults.break_after < size:
            raise AbortConnection
        part = request.query.get("part", "")
        return Reply(self.table.put(key, part, request.body, now_s()))

    async def _send_block(self, body: bytes) -> AsyncIterator[bytes]:
        for start in range(0, len(body), CHUNK):
            piece = body[start : start + CHUNK]
            await trio.sleep(
                self.link.reserve(len(piece), self.faults.link_rate, now_s())
            )
            left = self.faults.break_after - start
            if self.faults.break_after >= 0 and left < len(piece):
                yield piece[: max(left, 0)]
                raise AbortConnection
            yield piece


def now_s() -> float:
    """Read the clock, in seconds."""
    return trio.current_time()


if __name__ == "__main__":
    run_standin(Store)
