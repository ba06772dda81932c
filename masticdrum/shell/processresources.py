"""Reads what this process may use of its machine."""

import os
import resource

from returns.result import Result

from masticdrum.core.processlimits import derive_limits
from masticdrum.model.resources import ProcessLimits, Resources
from masticdrum.model.settings import ResourceSettings

BYTES_PER_MB = 1_000_000
MEMORY_LIMITS = (resource.RLIMIT_RSS, resource.RLIMIT_AS, resource.RLIMIT_DATA)


def read_limits(settings: ResourceSettings) -> Result[ProcessLimits, str]:
    """Return this process's limits, or why it can't work within them."""
    return derive_limits(read_resources(settings)).alt(
        lambda fault: f"this process's limits can't work: {fault}"
    )


def read_resources(settings: ResourceSettings) -> Resources:
    """Return the least of the settings, the process's own limits and the machine."""
    memory = [os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")]
    memory += [read_soft_limit(kind) for kind in MEMORY_LIMITS]
    if settings.memory_mb is not None:
        memory.append(int(settings.memory_mb * BYTES_PER_MB))
    descriptors = [read_soft_limit(resource.RLIMIT_NOFILE)]
    if settings.descriptors is not None:
        descriptors.append(settings.descriptors)
    return Resources(min(memory), min(descriptors))


def read_soft_limit(kind: int) -> int:
    """Return one of this process's limits, a very large number if there is none."""
    soft, _ = resource.getrlimit(kind)
    return 2**63 if soft == resource.RLIM_INFINITY else soft
