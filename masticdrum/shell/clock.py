"""A steady clock that also counts the time for which the machine was suspended."""

import time

TICK_S = 0.1  # bounds how late a due timer is seen after a suspension


def read_clock() -> float:
    """Return seconds since the machine started, those asleep included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
