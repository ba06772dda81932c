"""Reads and writes the operators' orders for roll-outs in the platform's store."""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Raw, Struct

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.core.rolloutprogress import decode_progress
from masticdrum.model.platform import ObjectGet, ObjectStatus
from masticdrum.model.rolloutprogress import RolloutProgress
from masticdrum.model.rollouts import (
    RolloutLease,
    RolloutOrder,
    RolloutRead,
    RolloutState,
)
from masticdrum.platform.objects import MAX_QUOTED
from masticdrum.platform.pages import StoredObject, read_object
from masticdrum.platform.store import Store, StoreFailed

T = TypeVar("T")
ORDER_KIND = "rollouts"
LEASE_KIND = "rollouts"  # of our own objects
PROGRESS_KIND = "rolloutprogress"  # of our own objects
MAX_DURATION_S = 30 * 24 * 3600
DurationS = Annotated[float, Meta(gt=0, le=MAX_DURATION_S)]
Text = Annotated[str, Meta(min_length=1)]


class WireOrder(Struct):
    """The ``spec`` of an order."""

    service: Text
    target: Text
    durationS: DurationS  # noqa: N815


class WireStatus(Struct):
    """The ``status`` of an order."""

    state: str
    target: str


class Odd(Struct, frozen=True):
    """An object that can't be read, and why."""

    name: str
    reason: str
    revision: int = 0


class OrderRecords(Struct, frozen=True):
    """An order with the lease on it and the progress, None for what doesn't exist."""

    order: RolloutRead | Odd
    lease: RolloutLease | Odd | None = None
    progress: RolloutProgress | Odd | None = None


def encode_order(order: RolloutOrder) -> bytes:
    """Encode an order; raises ``Undecodable`` for one that would not be carried out."""
    try:
        body = msgspec.json.encode(
            WireOrder(order.service, order.target, order.duration_s)
        )
    except UnicodeEncodeError as error:
        raise Undecodable(f"{error}") from error
    read_json(body, WireOrder)
    return body


def read_order(stored: StoredObject) -> RolloutRead:
    """Decode an order and its status; raises ``Undecodable``.

    A status that names another target belongs to an earlier order, so it is none.
    """
    wire = read_json(stored.spec, WireOrder)
    name, revision = stored.metadata.name, stored.metadata.revision
    if wire.service != name:
        raise Undecodable(f"its service is {wire.service[:MAX_QUOTED]!r}")
    order = RolloutOrder(wire.service, wire.target, wire.durationS)
    status = read_json(stored.status, WireStatus | None)  # type: ignore[arg-type]
    if status is None or status.target != wire.target:
        return RolloutRead(order, None, revision)
    return RolloutRead(order, read_state(status.state), revision)


def read_state(text: str) -> RolloutState:
    """Return the state that a status names; raises ``Undecodable``."""
    try:
        return RolloutState(text)
    except ValueError as error:
        raise Undecodable(f"its state is {text[:MAX_QUOTED]!r}") from error


def read_order_or_odd(stored: StoredObject) -> RolloutRead | Odd:
    """Decode an order, or say why it can't be read."""
    try:
        return read_order(stored)
    except Undecodable as error:
        return Odd(stored.metadata.name, str(error), stored.metadata.revision)


class RolloutOrders:
    """The orders in a store; methods that read raise ``StoreFailed``."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def list_orders(self) -> list[RolloutRead | Odd]:
        """Return all orders by name of their service."""
        orders: list[RolloutRead | Odd] = []
        after = ""
        while True:
            page = await self._store.list_page(ORDER_KIND, after)
            before = after
            for item in page.items:
                read = read_item(item)
                if isinstance(read, Odd):
                    orders.append(read)
                    continue
                orders.append(read_order_or_odd(read))
                after = read.metadata.name
            if not page.hasMore or not page.items:
                return orders
            if after == before:
                raise StoreFailed(f"no order after {after!r} has a name")

    async def read(self, service: str) -> RolloutRead | Odd | None:
        """Return the order for a service, or None."""
        stored = await self._store.find(ORDER_KIND, service)
        return None if stored is None else read_order_or_odd(stored)

    async def read_records(self, order: RolloutRead | Odd) -> OrderRecords:
        """Return an order with its lease and its progress."""
        name = order.name if isinstance(order, Odd) else order.order.service
        lease, progress = None, None
        lease_body = await self._read_own(LEASE_KIND, name)
        if lease_body is not None:
            lease = decode_or_odd(name, lease_body, read_lease)
        progress_body = await self._read_own(PROGRESS_KIND, name)
        if progress_body is not None:
            progress = decode_or_odd(name, progress_body, decode_progress)
        return OrderRecords(order, lease, progress)

    async def create(self, service: str, spec: bytes) -> ObjectStatus:
        """Create an order that ``encode_order`` encoded."""
        return await self._store.create(ORDER_KIND, service, spec)

    async def remove(self, service: str, revision: int) -> ObjectStatus:
        """Delete an order if its object still has the revision."""
        return await self._store.remove(ORDER_KIND, service, revision)

    async def _read_own(self, kind: str, name: str) -> bytes | None:
        answer = await self._store.execute(ObjectGet("read", f"{kind}/{name}"))
        if answer.status is ObjectStatus.MISSING:
            return None
        if answer.status is not ObjectStatus.OK:
            raise StoreFailed(f"read of {kind}/{name}: {answer.status}")
        return answer.body


def read_lease(body: bytes) -> RolloutLease:
    """Decode a lease; raises ``Undecodable``."""
    return read_json(body, RolloutLease)


def read_item(item: Raw) -> StoredObject | Odd:
    """Decode an item of a list, or say why it can't be told from others."""
    try:
        return read_object(item)
    except Undecodable as error:
        return Odd("", f"its name can't be read: {error}")


def decode_or_odd(name: str, body: bytes, read: Callable[[bytes], T]) -> T | Odd:
    """Decode an object of our own, or say why it can't be read."""
    try:
        return read(body)
    except Undecodable as error:
        return Odd(name, str(error))
