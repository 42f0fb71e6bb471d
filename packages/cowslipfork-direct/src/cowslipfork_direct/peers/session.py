"""What handlers of messages know about the link that these came from."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cowslipfork.ids import VmId

log = logging.getLogger(__name__)


class PeerSession:
    """One link of another node, as long as it lasts."""

    def __init__(self, node: VmId, on_watched: Callable[[], None]) -> None:
        """Starts without callbacks.

        Args:
            node: the other node.
            on_watched: called when the end of the link matters to a handler.
        """
        self._node = node
        self._on_watched = on_watched
        # Ordered like a list; removing a callback takes constant time.
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._next_key = 0
        self._closed = False

    @property
    def node(self) -> VmId:
        """The node at the other end."""
        return self._node

    @property
    def watched(self) -> bool:
        """Whether a callback is registered."""
        return bool(self._callbacks)

    def on_close(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Registers a function that is called once when the link ends.

        If the link has ended already, it is called at once.

        Args:
            callback: the function, for example one that starts the rollback
                of a transaction.

        Returns:
            A function that removes the callback.
        """
        if self._closed:
            callback()
            return _do_nothing
        key = self._next_key
        self._next_key += 1
        self._callbacks[key] = callback
        self._on_watched()
        return lambda: self._remove(key)

    def close(self) -> None:
        """Calls the registered functions; for the server only."""
        self._closed = True
        callbacks = tuple(self._callbacks.values())
        self._callbacks.clear()
        for callback in callbacks:
            try:
                callback()
            except Exception:
                log.exception('peer_callback_failed')

    def _remove(self, key: int) -> None:
        self._callbacks.pop(key, None)


def _do_nothing() -> None:
    """Removes no callback."""
