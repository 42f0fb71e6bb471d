"""Whether and how a machine is reached: directly, by a detour, not at all."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Sequence
from typing import Final

from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.link import Network, Target
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Seconds for a machine to answer on any way.
REACH_TIMEOUT: Final = 0.2

#: Seconds without a direct answer after which detours are tried beside it.
DETOUR_AFTER: Final = 0.08

#: Relays asked at once.
MOST_RELAYS: Final = 2

#: Seconds between two questions to a silent machine, and between two looks
#: whether the direct way is open again.
RETURN_PAUSE: Final = 0.25


#: Seconds for which a machine that answered is not doubted.
SURE_FOR: Final = 0.5


class Reachability:
    """The way to one machine."""

    def __init__(
        self,
        target: Callable[[], Target],
        network: Network,
        relays: Callable[[], Sequence[Address]],
        changed: Callable[[], None],
    ) -> None:
        """Takes the direct way for open.

        Args:
            target: gives the machine's address.
            network: ways to it.
            relays: gives the relays of other nodes, best first.
            changed: told when the way changes, so that open connections are
                of no use.
        """
        self._target = target
        self._network = network
        self._relays = relays
        self._changed = changed
        self._check_requested = asyncio.Event()
        self._via: Address | None = None
        self._silent_since: float | None = None
        self._sure_until: float = 0

    @property
    def via(self) -> Address | None:
        """Relay that leads there; None for the direct way."""
        return self._via

    @property
    def silent_since(self) -> float | None:
        """Boot time since which no way leads there; None if one does."""
        return self._silent_since

    def request_check(self) -> None:
        """Has it checked whether the machine answers.

        A machine that answered a moment ago is not asked again: under load
        many answers take long, and each question takes a connection.
        """
        if boot_time() >= self._sure_until:
            self._check_requested.set()

    async def watch(self) -> None:
        """Checks when that is in doubt, and again while all is not well."""
        while True:
            await self._next_check()
            self._check_requested.clear()
            found, via = await self._find_way()
            if found:
                self._sure_until = boot_time() + SURE_FOR
            self._go(via, silent=not found)

    async def _next_check(self) -> None:
        well = self._via is None and self._silent_since is None
        try:
            async with asyncio.timeout(None if well else RETURN_PAUSE):
                await self._check_requested.wait()
        except TimeoutError:
            return

    async def _find_way(self) -> tuple[bool, Address | None]:
        """Tries the direct way and, if that takes long, detours beside it.

        Returns:
            Whether there is a way, and the relay that it takes.
        """
        direct = asyncio.create_task(self._reaches(None))
        try:
            await asyncio.wait((direct,), timeout=DETOUR_AFTER)
            if direct.done() and direct.result():
                return True, None
            via = await self._find_detour()
            if await direct:
                return True, None
        finally:
            direct.cancel()
        return via is not None, via

    async def _find_detour(self) -> Address | None:
        relays = list(self._relays()[:MOST_RELAYS])
        if self._via is not None and self._via not in relays:
            relays.insert(0, self._via)
        reached = await asyncio.gather(*map(self._reaches, relays))
        ways = list(itertools.compress(relays, reached))
        if self._via in ways:
            return self._via
        return ways[0] if ways else None

    async def _reaches(self, via: Address | None) -> bool:
        try:
            async with asyncio.timeout(REACH_TIMEOUT):
                return await self._network.reach(self._target(), via)
        except TimeoutError:
            return False

    def _go(self, via: Address | None, *, silent: bool) -> None:
        """Takes a way; tells if that is another one than before."""
        if via == self._via and silent == (self._silent_since is not None):
            return
        target = self._target()
        log.warning(
            'endpoint_silent' if silent else 'endpoint_reached',
            extra={
                'endpoint': target.endpoint,
                'group': target.group,
                'via': via.host if via else 'direct',
            },
        )
        self._via = via
        self._silent_since = boot_time() if silent else None
        self._changed()
