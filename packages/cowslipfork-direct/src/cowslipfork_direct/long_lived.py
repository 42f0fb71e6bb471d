"""Keeps the long-lived tasks of a node running.

An unexpected error in one of them must not end the others: a node that stops
watching the store, for example, would go on serving withdrawn keys.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

log = logging.getLogger(__name__)

#: Seconds after which a task that has failed is started again.
RESTART_DELAY: Final = 0.5


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    on_failure: Callable[[str], None],
) -> None:
    """Runs a part of a node, again after each unexpected error.

    Args:
        name: name of the part, for the log.
        run: runs it until cancelled.
        on_failure: called with the name after each error.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception('task_failed', extra={'task': name})
            on_failure(name)
        else:
            return
        await asyncio.sleep(RESTART_DELAY)
