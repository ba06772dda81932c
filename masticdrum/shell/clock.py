"""A monotonic clock that includes the time for which the machine was suspended."""

import time

TICK_S = 0.1  # bounds how late a due timer is noticed after a suspension


def read_clock() -> float:
    """Return seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
