"""Clocks that the standard library has no short name for."""

import time


def read_boot_time():
    """Return the time since the host started, in seconds, including suspended time.

    Unlike ``time.monotonic``, it shows how old something is after the process was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
