"""A timeout that also runs while the machine is suspended."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from cowslipfork_direct.clock import boot_time

#: Seconds between two looks at the clock. Timers of the event loop stop while
#: the machine is suspended; after that, the timeout is late by this at most.
CHECK_INTERVAL: Final = 0.05


@asynccontextmanager
async def boot_timeout_at(deadline: float) -> AsyncIterator[None]:
    """Limits a block of code to a moment in boot time.

    Args:
        deadline: boot time at which the block is cancelled.

    Raises:
        TimeoutError: the block was cancelled.
    """
    async with asyncio.timeout(None) as timeout:
        expiry = asyncio.create_task(_expire(timeout, deadline))
        try:
            yield
        finally:
            expiry.cancel()


async def _expire(timeout: asyncio.Timeout, deadline: float) -> None:
    remaining = deadline - boot_time()
    while remaining > 0:
        await asyncio.sleep(min(remaining, CHECK_INTERVAL))
        remaining = deadline - boot_time()
    timeout.reschedule(asyncio.get_running_loop().time())
