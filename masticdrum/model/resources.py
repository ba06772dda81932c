"""What a process may use of its machine, and how it is shared out."""

from msgspec import Struct


class Resources(Struct, frozen=True):
    """The memory, in bytes, and the descriptors that a process may use."""

    memory: int
    descriptors: int


class ProcessLimits(Struct, frozen=True):
    """The bounds within which a process serves callers that nobody controls.

    ``caller_bytes`` is what it holds for all callers together, ``max_caller_bytes``
    what that may grow to where the configuration allows larger bodies.
    ``answer_bytes`` is what it keeps of upstreams' unfinished answers. The others are
    numbers of connections; ``probe_connections`` is for each address of probes.
    """

    caller_bytes: int
    max_caller_bytes: int
    answer_bytes: int
    caller_connections: int
    probe_connections: int
    upstream_connections: int
