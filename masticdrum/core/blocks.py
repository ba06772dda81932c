"""Splits a prompt into blocks and computes their keys.

The agent does this: it has the prompt's text, the pool's ``block_bytes`` and the weight
version that its engine confirmed. A block's key is a chained hash over everything that
its KV cache depends on, so equal text in two workspaces, of two versions or after two
prefixes never shares a key. Workspaces send text and never keys. The hash is keyed with
the workspace and every field is prefixed with its length, so no choice of text yields
another workspace's key.
"""

from hashlib import blake2b

KEY_BYTES = 20
LENGTH_BYTES = 8
PERSON = b"masticdrum-block"


def split_blocks(prompt: str, block_bytes: int) -> list[bytes]:
    """Split a prompt into whole blocks; text after the last whole one is left out."""
    text = prompt.encode()
    whole = len(text) // block_bytes
    return [text[n * block_bytes : (n + 1) * block_bytes] for n in range(whole)]


def hash_workspace(workspace: str) -> bytes:
    """Derive the hash key of a workspace's blocks from its name."""
    return blake2b(workspace.encode(), digest_size=32, person=PERSON).digest()


def hash_block(
    workspace_key: bytes, model: str, version: str, previous: str, text: bytes
) -> str:
    """Return the key of a block, from its text and everything before it."""
    digest = blake2b(key=workspace_key, digest_size=KEY_BYTES, person=PERSON)
    for part in (model.encode(), version.encode(), previous.encode(), text):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()


def compute_block_keys(
    workspace: str, model: str, version: str, prompt: str, block_bytes: int
) -> tuple[str, ...]:
    """Return the keys of a prompt's whole blocks, in order."""
    workspace_key = hash_workspace(workspace)
    keys: list[str] = []
    previous = ""
    for text in split_blocks(prompt, block_bytes):
        previous = hash_block(workspace_key, model, version, previous, text)
        keys.append(previous)
    return tuple(keys)
