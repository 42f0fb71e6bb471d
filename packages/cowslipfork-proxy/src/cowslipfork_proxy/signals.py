"""Signals that end a node: the first drains it, the second ends it at once."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable

log = logging.getLogger(__name__)


def shutdown_handler(
    stop: asyncio.Event,
    end_at_once: Callable[[], object],
) -> Callable[[], None]:
    """Makes the handler of signals that end a node.

    Args:
        stop: set by the first signal.
        end_at_once: called by every later one.

    Returns:
        The handler.
    """

    def handle() -> None:
        if stop.is_set():
            log.warning('node ended at once by a second signal')
            end_at_once()
        stop.set()

    return handle


def handle_signals(stop: asyncio.Event) -> None:
    """Has SIGTERM and SIGINT end the current task's node.

    Args:
        stop: set by the first signal.
    """
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    if task is None:
        return
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown_handler(stop, task.cancel))
