"""Log output that never blocks and never grows without bound."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import deque
from collections.abc import Callable
from typing import Final

#: Bytes that wait for a reader that is slow; later lines are dropped.
MAX_BUFFERED_BYTES: Final = 1_048_576

#: Seconds' worth of lines that may be written at once after a quiet time.
BURST_SECONDS: Final = 2

#: Seconds between two tries to write to a reader that is slow.
RETRY_PAUSE: Final = 0.1

#: Event that tells how many lines were dropped.
DROPPED_EVENT: Final = 'log_lines_dropped'


class BoundedOutput(logging.Handler):
    """Writes lines to a file descriptor as far as that takes them.

    Events of level INFO are counted against a rate; warnings and errors are
    not. Lines that find no room are counted, and the count is written as soon
    as there is room again.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: int,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes the descriptor non-blocking.

        Args:
            descriptor: where lines go.
            lines_per_second: rate for events of level INFO.
            now: clock in seconds.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._rate = lines_per_second
        self._tokens: float = lines_per_second * BURST_SECONDS
        self._filled_at = now()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped = 0
        self._dropped_total = 0
        self._scheduled = False

    @property
    def dropped(self) -> int:
        """Lines dropped since the start."""
        return self._dropped_total

    def set_rate(self, lines_per_second: int) -> None:
        """Changes the rate for events of level INFO."""
        self._rate = lines_per_second

    def emit(self, record: logging.LogRecord) -> None:
        """Takes an event."""
        if record.levelno <= logging.INFO and not self._take_token():
            self._drop()
            return
        line = f'{self.format(record)}\n'.encode(errors='replace')
        if self._waiting_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._drop()
            return
        self._tell_dropped()
        self._append(line)
        self._schedule()

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]

    def _append(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _drop(self) -> None:
        self._dropped += 1
        self._dropped_total += 1

    def _tell_dropped(self) -> None:
        if not self._dropped:
            return
        record = logging.makeLogRecord(
            {
                'msg': DROPPED_EVENT,
                'levelname': 'WARNING',
                'levelno': logging.WARNING,
                'lines': self._dropped,
            },
        )
        self._dropped = 0
        self._append(f'{self.format(record)}\n'.encode())

    def _schedule(self) -> None:
        """Writes the lines of one round of the loop together."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if not self._scheduled:
            self._scheduled = True
            loop.call_soon(self._flush_round, loop)

    def _flush_round(self, loop: asyncio.AbstractEventLoop) -> None:
        self._scheduled = False
        if len(self._waiting) > 1:
            lines = b''.join(self._waiting)
            self._waiting.clear()
            self._waiting.append(lines)
        self.flush()
        if self._waiting and not self._scheduled:
            self._scheduled = True
            loop.call_later(RETRY_PAUSE, self._flush_round, loop)

    def _take_token(self) -> bool:
        now = self._now()
        most = self._rate * BURST_SECONDS
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(most, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
