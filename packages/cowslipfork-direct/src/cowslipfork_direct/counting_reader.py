"""Stream reader that counts bytes received and not yet read."""

from __future__ import annotations

import asyncio
from typing import Any


class CountingReader(asyncio.StreamReader):
    """Stream reader that counts bytes received and not yet read."""

    def __init__(self, limit: int) -> None:
        """Starts without bytes.

        Args:
            limit: longest line in bytes; twice as many are buffered.
        """
        super().__init__(limit=limit)
        self._unread = 0

    @property
    def unread(self) -> int:
        """Bytes received and not yet read."""
        return self._unread

    def feed_data(self, data: Any) -> None:
        """Adds bytes received from the socket to the buffer."""
        self._unread += len(data)
        super().feed_data(data)

    async def readuntil(self, separator: Any = b'\n') -> bytes:
        """Reads up to and including the first separator."""
        taken = await super().readuntil(separator)
        self._unread -= len(taken)
        return taken

    async def read(self, n: int = -1) -> bytes:
        """Reads up to a number of bytes; all of them if it is negative."""
        taken = await super().read(n)
        if n >= 0:
            self._unread -= len(taken)
        return taken
