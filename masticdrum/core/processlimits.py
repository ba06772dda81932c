"""Derives a process's limits from what it may use of its machine.

derive_limits(Resources(memory=136_000_000, descriptors=1535), OWN_BYTES)
"""

from returns.result import Failure, Result, Success

from masticdrum.model.resources import ProcessLimits, Resources

MIB = 1024 * 1024
OWN_BYTES = 56 * MIB  # of a process without any caller, and room for its garbage
MIN_SPARE_BYTES = 4 * MIB
MIN_DESCRIPTORS = 128
CALLER_SHARE = 0.4  # of the memory that is left, and of the descriptors
ANSWER_SHARE = 0.3  # of the memory that is left
UPSTREAM_SHARE = 0.4  # of the descriptors
PROBE_SHARE = 1 / 32  # of the descriptors
# What a connection without any request takes: its objects, and bytes not yet counted.
CONNECTION_BYTES = 20 * 1024
# A body and what it is read into.
BODY_FACTOR = 1.25


def derive_limits(resources: Resources) -> Result[ProcessLimits, str]:
    """Share out a process's memory and descriptors; fails if there are too few."""
    spare = resources.memory - OWN_BYTES
    if spare < MIN_SPARE_BYTES:
        least = OWN_BYTES + MIN_SPARE_BYTES
        return Failure(f"memory: {resources.memory} bytes are fewer than {least}")
    if resources.descriptors < MIN_DESCRIPTORS:
        return Failure(
            f"descriptors: {resources.descriptors} are fewer than {MIN_DESCRIPTORS}"
        )
    caller_bytes = int(CALLER_SHARE * spare)
    by_memory = caller_bytes // (2 * CONNECTION_BYTES)
    return Success(
        ProcessLimits(
            caller_bytes=caller_bytes,
            max_caller_bytes=max(caller_bytes, spare - int(ANSWER_SHARE * spare)),
            answer_bytes=int(ANSWER_SHARE * spare),
            caller_connections=min(
                by_memory, int(CALLER_SHARE * resources.descriptors)
            ),
            probe_connections=int(PROBE_SHARE * resources.descriptors),
            upstream_connections=int(UPSTREAM_SHARE * resources.descriptors),
        )
    )


def compute_caller_bytes(limits: ProcessLimits, max_body_bytes: int) -> int:
    """Return what may be held for callers, so that one body of the limit fits."""
    wanted = max(limits.caller_bytes, int(BODY_FACTOR * max_body_bytes) + MIB)
    return min(wanted, limits.max_caller_bytes)


def fits_body(limits: ProcessLimits, max_body_bytes: int) -> bool:
    """Return whether one body of the limit can be held at all."""
    return max_body_bytes <= limits.max_caller_bytes
