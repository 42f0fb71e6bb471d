"""A clock that also runs while the machine is suspended."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Returns the time since boot, suspended time included.

    Ages that decide whether an answer may be returned are measured on this
    clock: the loop's clock stops while a virtual machine is frozen.

    Returns:
        Seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
