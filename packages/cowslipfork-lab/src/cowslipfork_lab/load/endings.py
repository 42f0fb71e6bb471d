"""Which of the three outcomes an error of the driver stands for."""

from __future__ import annotations

import re
from dataclasses import dataclass

from cowslipfork_lab.history import Ending

#: Numbers of the driver and of servers that never ran the statement.
_NEVER_RUN = frozenset((1040, 1290, 4701, 4702, 2003))
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
    if _FIRST_OF_DRIVER <= errno <= _LAST_OF_DRIVER:
        return Failure(Ending.UNKNOWN, errno, text)
    return Failure(Ending.REFUSED, errno, text)
