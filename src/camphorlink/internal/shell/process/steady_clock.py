"""Clocks of durable jobs.

Leases and ownership run on while a VM is suspended, so their time is the
clock that counts suspension; the loop's clock does not.
"""

import time


def now_s() -> float:
    """Returns seconds since boot, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns the time of day in ms since 1970."""
    return time.time_ns() // 1_000_000
