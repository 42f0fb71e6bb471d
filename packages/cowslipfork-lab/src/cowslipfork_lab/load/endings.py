"""Which of the three outcomes an error of the driver stands for."""

from __future__ import annotations

import re
from dataclasses import dataclass

from cowslipfork_lab.history import Ending

#: Numbers of the driver and of servers that never ran the statement.
_NEVER_RUN = frozenset((0, 1040, 1290, 4701, 4702, 2003))
_NOT_CONNECTED = 0
_FIRST_OF_DRIVER = 2000
_LAST_OF_DRIVER = 2999
_RETRY_AFTER = re.compile(r'retry after (\d+) ms')
_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Failure:
    """How a statement failed.

    Attributes:
        ending: outcome.
        errno: MySQL error number.
        text: error text.
    """

    ending: Ending
    errno: int
    text: str

    @property
    def disconnected(self) -> bool:
        """Whether the connection is of no more use."""
        lost = _FIRST_OF_DRIVER <= self.errno <= _LAST_OF_DRIVER
        return lost or self.errno == _NOT_CONNECTED


def retry_after(text: str) -> float | None:
    """Reads when to come back from an error text.

    Args:
        text: error text.

    Returns:
        Seconds, if the server said so.
    """
    match = _RETRY_AFTER.search(text)
    return int(match.group(1)) / _MILLISECONDS if match else None


def classify(errno: int, text: str) -> Failure:
    """Names the outcome of an error packet or a lost connection.

    Args:
        errno: MySQL error number.
        text: error text.

    Returns:
        The failure.
    """
    if text.startswith('not run') or errno in _NEVER_RUN:
        return Failure(Ending.NOT_RUN, errno, text)
    if text.startswith('unknown'):
        return Failure(Ending.UNKNOWN, errno, text)
    refused = Failure(Ending.REFUSED, errno, text)
    if refused.disconnected:
        return Failure(Ending.UNKNOWN, errno, text)
    return refused
