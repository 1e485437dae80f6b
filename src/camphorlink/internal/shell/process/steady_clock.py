"""Clocks for leases, ownership of cells, and times of jobs.

Leases and ownership also expire while a VM is suspended.  They are therefore
measured with a clock that includes suspended time; the clock of the event
loop does not.
"""

import time


def now_s() -> float:
    """Returns the time since boot in seconds, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns the wall-clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
