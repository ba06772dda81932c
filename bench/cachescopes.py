"""Compares ways to name the scopes of KV cache by the prompt tokens that are read.

Run ``python -m bench.cachescopes``. Prompts of many workspaces arrive at engines with
limited memory. Each has a part that all workspaces may have in common, a part of its
workspace, and one of its session. Between prompts, workspaces become isolated and are
opened again. A part is found only under the scope in which it was made, behind the
parts before it. The table shows the share of tokens in shared parts that were read
again, and how many prompts used what another workspace had made across a wall.
"""

from collections import OrderedDict
from collections.abc import Callable
from random import Random

import click
from msgspec import Struct

from masticdrum.core.cachescopes import (
    compute_wall,
    name_private_scope,
    name_shared_scope,
)

WORKSPACES = 24
ENGINES = 6
MEMORY_TOKENS = 180_000
PROMPTS = 30_000
COMMON_PARTS = 12
COMMON_TOKENS = 2_000
WORKSPACE_TOKENS = 1_500
SESSION_TOKENS = 5_000
SESSIONS = 40  # of each workspace
MODEL = "m1"
WEIGHTS = 1
CHANGES = (0, 1, 10, 100)

NameScope = Callable[[str, frozenset[str]], str]


class Part(Struct, frozen=True):
    """A part of a prompt, with its length in tokens."""

    name: str
    tokens: int


class Cost(Struct):
    """Tokens in shared parts that were sent and that were read again."""

    sent: int = 0
    read_again: int = 0
    crossings: int = 0


class Engine:
    """Keeps parts by scope, the least recently used ones leave first."""

    def __init__(self) -> None:
        self.parts: OrderedDict[tuple[str, Part], str] = OrderedDict()
        self.tokens = 0

    def read(self, scope: str, parts: list[Part], workspace: str) -> tuple[int, list]:
        """Return how many tokens were read, and who had made what was found."""
        read, makers, is_found = 0, [], True
        for part in parts:
            key = (scope, part)
            is_found = is_found and key in self.parts
            if is_found:
                makers.append(self.parts[key])
                self.parts.move_to_end(key)
                continue
            read += part.tokens
            if key not in self.parts:
                self.parts[key] = workspace
                self.tokens += part.tokens
        while self.tokens > MEMORY_TOKENS:
            (_, part), _ = self.parts.popitem(last=False)
            self.tokens -= part.tokens
        return read, makers


def share_always(workspace: str, isolated: frozenset[str]) -> str:
    """Name one scope for all that aren't isolated, whatever changes."""
    if workspace in isolated:
        return name_private_scope(MODEL, WEIGHTS, workspace)
    return name_shared_scope(MODEL, WEIGHTS, "")


def share_never(workspace: str, isolated: frozenset[str]) -> str:
    """Name a scope of its own for each workspace."""
    return name_private_scope(MODEL, WEIGHTS, workspace)


def share_within_wall(workspace: str, isolated: frozenset[str]) -> str:
    """Name a scope by which workspaces are isolated."""
    if workspace in isolated:
        return name_private_scope(MODEL, WEIGHTS, workspace)
    return name_shared_scope(MODEL, WEIGHTS, compute_wall(isolated))


WAYS: dict[str, NameScope] = {
    "one scope for all, whatever changes": share_always,
    "a scope for each workspace": share_never,
    "a scope for each set of isolated workspaces": share_within_wall,
}


def measure(name_scope: NameScope, changes: int, seed: int = 1) -> Cost:
    """Play one sequence of prompts and changes."""
    random = Random(seed)
    names = [f"w{number}" for number in range(WORKSPACES)]
    popularity = [1 / (number + 1) for number in range(WORKSPACES)]
    engines = [Engine() for _ in range(ENGINES)]
    read_before: set[Part] = set()
    isolated: frozenset[str] = frozenset()
    change_every = PROMPTS // (changes + 1) + 1
    cost = Cost()
    for number in range(1, PROMPTS + 1):
        if number % change_every == 0:
            isolated ^= {random.choice(names)}
        (workspace,) = random.choices(names, popularity)
        session = f"{workspace}-{random.randrange(SESSIONS)}"
        common = f"common-{random.randrange(COMMON_PARTS)}"
        parts = [
            Part(common, COMMON_TOKENS),
            Part(f"{common} of {workspace}", WORKSPACE_TOKENS),
            Part(f"{common} in {session}", SESSION_TOKENS),
        ]
        engine = engines[hash_session(session) % ENGINES]
        scope = name_scope(workspace, isolated)
        read, makers = engine.read(scope, parts, workspace)
        total = sum(part.tokens for part in parts)
        new = sum(part.tokens for part in parts if part not in read_before)
        read_before.update(parts)
        cost.sent += total
        cost.read_again += max(0, read - new)
        cost.crossings += any(
            maker != workspace and isolated & {maker, workspace} for maker in makers
        )
    return cost


def hash_session(session: str) -> int:
    """Return a number by which a session keeps to one engine."""
    return sum(index * code for index, code in enumerate(session.encode(), 1))


def main() -> None:
    """Print a table."""
    click.echo(
        "| way | changes | read again | prompts across a wall |\n|---|---|---|---|"
    )
    for name, name_scope in WAYS.items():
        for changes in CHANGES:
            cost = measure(name_scope, changes)
            share = cost.read_again / cost.sent
            click.echo(f"| {name} | {changes} | {share:.3f} | {cost.crossings:,} |")


if __name__ == "__main__":
    main()
