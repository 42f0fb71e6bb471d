"""Waits for one of several events."""

from __future__ import annotations

import asyncio


async def wait_for_any(*events: asyncio.Event, timeout: float | None) -> None:
    """Waits until one of several events is set or the time-out passes.

    Args:
        events: the events to wait for.
        timeout: seconds; None for no time-out.
    """
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(
            waits,
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for wait in waits:
            wait.cancel()
