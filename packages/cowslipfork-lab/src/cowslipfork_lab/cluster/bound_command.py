"""Program that runs a command which ends with the driver, however that ends.

The driver starts this file in place of the command. It can't prepare the child
by code of its own: that would fork the driver, and libraries with threads run
handlers in a forked child that may abort it.

Usage: ``python -I -S bound_command.py DRIVER_PID COMMAND [ARGUMENT...]``
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys
from typing import Final

_PR_SET_PDEATHSIG: Final = 1


def main(driver: int, command: list[str]) -> None:
    """Replaces this program by a command.

    Args:
        driver: pid of the driver.
        command: program and arguments.
    """
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGTERM)
    if os.getppid() != driver:
        sys.exit('the driver has ended')
    os.execvp(command[0], command)  # noqa: S606


if __name__ == '__main__':
    main(int(sys.argv[1]), sys.argv[2:])
