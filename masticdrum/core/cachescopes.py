"""Names the scopes within which KV cache is shared.

An isolated workspace has a scope of its own. All others share one, whose name depends
on which workspaces are isolated, so that what a workspace made before it became
isolated stays behind in a scope that nobody uses any more. A scope is only ever used
under configurations that isolate the same workspaces, therefore no record of the past
is needed: entries agree on names after any restart, and entries that have different
configurations never meet in one scope unless both isolate the same workspaces.

Fields are quoted, so that no two scopes have one name whatever models and workspaces
are called.

name_shared_scope("m1", 2, "")  # "m1.2": no workspace is isolated
name_private_scope("m1", 2, "depot")  # "m1.2.depot"
name_private_scope("m1.2", 3, "depot")  # "m1%2E2.3.depot"
"""

from collections.abc import Iterable
from urllib.parse import quote

from msgspec import Struct
from xxhash import xxh3_128

LENGTH_BYTES = 8


class CacheScope(Struct, frozen=True):
    """A scope of KV cache; an empty ``name`` stands for none.

    ``sharing`` are the workspaces that may share it, empty if it is one's own. Only
    ``is_lasting`` scopes are worth saving KV cache in.
    """

    name: str
    sharing: frozenset[str] = frozenset()
    is_lasting: bool = True


def compute_wall(isolated: Iterable[str]) -> str:
    """Return a digest of the isolated workspaces' names, empty if there are none.

    The digest is 32 hexadecimal digits and doesn't depend on the names' order.
    """
    names = sorted(set(isolated))
    if not names:
        return ""
    digest = xxh3_128()
    for name in names:
        encoded = name.encode(errors="surrogatepass")
        digest.update(len(encoded).to_bytes(LENGTH_BYTES, "big"))
        digest.update(encoded)
    return digest.hexdigest()


def name_shared_scope(model: str, weights: int, wall: str) -> str:
    """Name the scope of all workspaces that aren't isolated.

    ``wall`` is the digest of those that are.
    """
    name = f"{_quote_field(model)}.{weights}"
    return f"{name}+{wall}" if wall else name


def name_private_scope(model: str, weights: int, workspace: str | None) -> str:
    """Name the scope that only one workspace uses, or those who belong to none."""
    owner = "+" if workspace is None else _quote_field(workspace)
    return f"{_quote_field(model)}.{weights}.{owner}"


def name_single_use_scope(model: str, number: int) -> str:
    """Name the scope of one attempt, whose KV cache nobody may share.

    ``number`` is drawn anew for each.
    """
    return f"{_quote_field(model)}.once.{number:016x}"


def _quote_field(text: str) -> str:
    encoded = text.encode(errors="surrogatepass")
    return quote(encoded, safe="").replace(".", "%2E")
