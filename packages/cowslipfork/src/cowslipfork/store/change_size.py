"""Limit of the size of changes that a watch delivers at a time."""

from __future__ import annotations

from collections.abc import Sequence

from cowslipfork.store.port import Event, TooManyChanges


def ensure_short(events: Sequence[Event], max_size: int | None) -> None:
    """Checks the size of changes.

    Args:
        events: the changes.
        max_size: most bytes of their content; None for no limit.

    Raises:
        TooManyChanges: their content is longer.
    """
    size = sum(len(event.content or b'') for event in events)
    if max_size is not None and size > max_size:
        cause = f'{size} bytes of changes, {max_size} allowed'
        raise TooManyChanges('watch', cause)
