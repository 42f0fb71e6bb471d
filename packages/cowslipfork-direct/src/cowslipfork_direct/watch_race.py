"""Runs a watch, and a second one beside it if the first one may be dead."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

from cowslipfork.store import EraEnded, HistoryLost, StoreDown

log = logging.getLogger(__name__)

#: Most watches that run at the same time.
MAX_WATCHES: Final = 2

#: Watches until it fails; calls its argument with each answer.
Watch = Callable[[Callable[[], None]], Coroutine[Any, Any, None]]


class WatchRace:
    """Watches of the same keys, of which the first one with an answer stays.

    A watch that has been waiting for long is not ended for the sake of a new
    one before that has an answer: it may be receiving a long answer itself.
    """

    def __init__(self, watch: Watch) -> None:
        """Starts the first watch.

        Args:
            watch: the watch.
        """
        self._watch = watch
        self._running: list[asyncio.Task[None]] = []
        #: Tasks that have ended; None if all were cancelled.
        self._ended: asyncio.Queue[asyncio.Task[None] | None] = asyncio.Queue()
        self.start_another()

    def start_another(self) -> None:
        """Starts a watch; of those that run only the oldest goes on."""
        while len(self._running) >= MAX_WATCHES:
            self._running.pop().cancel()
        task = asyncio.create_task(self._run())
        task.add_done_callback(self._note_end)
        self._running.append(task)

    async def run(self) -> None:
        """Waits until the last watch has failed, or ``cancel`` is called.

        Raises:
            StoreDown: why it has failed, or why all of them are of no use.
        """
        task = await self._ended.get()
        while task is not None:
            if task in self._running:
                self._running.remove(task)
                self._handle_failure(task.exception())
            task = await self._ended.get()

    def cancel(self) -> None:
        """Ends all watches."""
        while self._running:
            self._running.pop().cancel()
        self._ended.put_nowait(None)

    async def _run(self) -> None:
        await self._watch(self._keep_current)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Queues a task; its error is of no use if the race is over for it."""
        if not task.cancelled():
            task.exception()
        self._ended.put_nowait(task)

    def _handle_failure(self, error: BaseException | None) -> None:
        """Raises the error of a watch unless another one may go on."""
        if error is None:
            return
        if not (self._running and _may_go_on(error)):
            raise error
        log.info('store_watch_ended', extra={'cause': str(error)})

    def _keep_current(self) -> None:
        """Ends all watches except the one that calls this."""
        current = asyncio.current_task()
        others = [task for task in self._running if task is not current]
        for task in others:
            self._running.remove(task)
            task.cancel()


def _may_go_on(error: BaseException) -> bool:
    """Returns whether other watches may go on after the error of one."""
    return isinstance(error, StoreDown) and not isinstance(
        error, (HistoryLost, EraEnded)
    )
