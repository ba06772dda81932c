"""Keys of the links between entries and agents, read from files.

Links are encrypted and both ends authenticate with CURVE, ZeroMQ's own mechanism. All
entries of a deployment share one key pair and all agents another, so that a replaced
instance needs no new key. An agent accepts a list of entry keys, so that a key pair
can be changed without an interruption.
"""

from pathlib import Path

import zmq
from msgspec import Struct, field
from returns.result import Failure, Result, Success

from masticdrum.core.decoding import decode_json
from masticdrum.shell.settings import read_file

KEY_CHARACTERS = 40  # a CURVE key in Z85


class LinkKeys(Struct, frozen=True, forbid_unknown_fields=True):
    """One end's key pair and the public keys of the other end, in Z85.

    An agent accepts each of ``peers``; an entry expects the first.
    """

    public: str
    secret: str
    peers: list[str] = field(default_factory=list)

    def __repr__(self) -> str:
        return f"LinkKeys(public={self.public!r})"


def load_keys(path: Path) -> Result[LinkKeys, str]:
    """Return the keys in a file, or an error text that names the file, never a key."""
    body = read_file(path)
    if isinstance(body, Failure):
        return Failure(body.failure())
    decoded = decode_json(body.unwrap(), LinkKeys)
    if isinstance(decoded, Failure):
        return Failure(f"{path}: it is not an object with public, secret and peers")
    keys = decoded.unwrap()
    if not keys.peers:
        return Failure(f"{path}: peers: the list is empty")
    if not all(is_key(key) for key in (keys.public, keys.secret, *keys.peers)):
        return Failure(
            f"{path}: a key is not a Z85 text of {KEY_CHARACTERS} characters"
        )
    return Success(keys)


def make_deployment_keys() -> tuple[LinkKeys, LinkKeys]:
    """Return new keys for all entries and for all agents of a deployment."""
    entry_public, entry_secret = make_pair()
    agent_public, agent_secret = make_pair()
    for_entries = LinkKeys(entry_public, entry_secret, [agent_public])
    for_agents = LinkKeys(agent_public, agent_secret, [entry_public])
    return for_entries, for_agents


def make_pair() -> tuple[str, str]:
    """Return a new public and secret key in Z85."""
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


def is_key(text: str) -> bool:
    """Return whether a text has the form of a key."""
    return len(text) == KEY_CHARACTERS and text.isascii() and " " not in text
