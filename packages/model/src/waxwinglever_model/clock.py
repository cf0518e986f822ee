"""Reads the clock that all leases and deadlines use."""

import time


def boottime_s() -> float:
    """Returns seconds of CLOCK_BOOTTIME, which also runs during a suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boottime_ns() -> int:
    """Returns nanoseconds of CLOCK_BOOTTIME."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
