"""Weighted rendezvous hashing that stays cheap with thousands of members.

All processes that know the same members rank them in the same order for a key, without
a look-up or coordination. Members are ranked in three levels (data centre, group,
member), so ranking 2,900 upstreams scores some 60 names and not 2,900. A level's weight
is the sum of its members' weights, which keeps each member's share proportional to its
own weight. The caller skips members that can't be used; they keep their weight, so
their keys go to the next members in rank and no other key moves.
"""

from collections.abc import Iterable, Iterator
from math import log

from xxhash import xxh3_64_intdigest

GROUPS = 32  # per data centre
HASH_RANGE = 2.0**64


def score_member(key: int, name: bytes, weight: float) -> float:
    """Score a member for a key; the member with the highest score ranks first."""
    draw = (xxh3_64_intdigest(name, seed=key) + 0.5) / HASH_RANGE
    if draw >= 1.0:
        return float("inf")
    return -weight / log(draw)


class Node:
    """A data centre, group or member: a name to score, and its child nodes."""

    __slots__ = ("children", "member", "name", "weight")

    def __init__(self, name: str, member: str = "", weight: float = 0.0) -> None:
        self.name = name.encode()
        self.member = member
        self.weight = weight
        self.children: dict[str, Node] = {}

    def add(self, path: Iterable[str], member: str, weight: float) -> None:
        """Add a member below this node along ``path``."""
        node = self
        node.weight += weight
        for step in path:
            node = node.children.setdefault(step, Node(step))
            node.weight += weight
        node.children[member] = Node(member, member, weight)

    def rank(self, key: int) -> Iterator[str]:
        """Yield the members below, best first; subtrees are scored when reached."""
        if self.member:
            yield self.member
            return
        nodes = sorted(
            self.children.values(),
            key=lambda node: score_member(key, node.name, node.weight),
            reverse=True,
        )
        for node in nodes:
            yield from node.rank(key)


class Ranking:
    """The members of a pool as a tree, built once per installed configuration.

    ``members`` are triples of name, data centre and weight. Members without weight are
    left out. For example, ``next(Ranking(members).rank(key))`` is the first choice.
    """

    __slots__ = ("root", "size")

    def __init__(self, members: Iterable[tuple[str, str, float]]) -> None:
        self.root = Node("")
        self.size = 0
        for name, data_centre, weight in members:
            if weight <= 0.0:
                continue
            group = f"group-{xxh3_64_intdigest(name.encode()) % GROUPS}"
            self.root.add((data_centre, group), name, weight)
            self.size += 1

    def rank(self, key: int) -> Iterator[str]:
        """Yield the members' names in the key's order, best first."""
        return self.root.rank(key)
