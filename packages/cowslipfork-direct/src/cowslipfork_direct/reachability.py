"""Whether a machine is reached directly, through a relay, or not at all."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Sequence
from typing import Final

from cowslipfork_direct.answer_monitor import AnswerMonitor
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.link import LinkRefused, Network, Target
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Seconds for a machine to answer, directly or through a relay.
REACH_TIMEOUT: Final = 0.2

#: Seconds for a silent endpoint to answer on a new connection.
HANDSHAKE_TIMEOUT: Final = 0.6

#: Seconds without a direct answer after which relays are tried as well.
RELAY_AFTER: Final = 0.08

#: Relays from the list that are tried at once.
MAX_RELAYS: Final = 2

#: Seconds between two checks of an unreachable machine, and between two checks
#: whether a relayed one is directly reachable again.
RETRY_INTERVAL: Final = 0.25


#: Seconds after an answer for which requested checks are ignored.
RECHECK_DELAY: Final = 0.5


class Reachability:
    """The path to one machine: direct, relayed or none."""

    def __init__(
        self,
        target: Callable[[], Target],
        network: Network,
        answer_monitor: AnswerMonitor,
        relays: Callable[[], Sequence[Address]],
        on_change: Callable[[], None],
    ) -> None:
        """Starts as directly reachable.

        Args:
            target: returns the machine's address.
            network: checks whether it answers.
            answer_monitor: tells whether the endpoint there is silent. It
                then counts as unreachable unless it answers on a new
                connection.
            relays: returns the relays of other nodes, best first.
            on_change: called when the path changes, after which open
                connections are useless.
        """
        self._target = target
        self._network = network
        self._answer_monitor = answer_monitor
        self._relays = relays
        self._on_change = on_change
        self._check_requested = asyncio.Event()
        self._via: Address | None = None
        self._unreachable_since: float | None = None
        self._no_check_before: float = 0

    @property
    def via(self) -> Address | None:
        """Relay in use; None for the direct path."""
        return self._via

    @property
    def unreachable_since(self) -> float | None:
        """Boot time since which it is unreachable; None while reachable."""
        return self._unreachable_since

    def request_check(self) -> None:
        """Requests a check of whether the machine answers.

        The request is ignored if the machine answered a check a moment ago:
        under load many answers are slow, and each check takes a connection.
        """
        recently = boot_time() < self._no_check_before
        if self._answer_monitor.silent or not recently:
            self._check_requested.set()

    async def watch(self) -> None:
        """Checks on request, and periodically while not directly reachable."""
        while True:
            await self._wait_for_check()
            self._check_requested.clear()
            reachable, via = await self._find_path()
            if reachable and self._answer_monitor.silent:
                reachable = await self._completes_handshake(via)
            if reachable:
                self._no_check_before = boot_time() + RECHECK_DELAY
            self._set_path(via, unreachable=not reachable)

    async def _wait_for_check(self) -> None:
        direct = self._via is None and self._unreachable_since is None
        try:
            async with asyncio.timeout(None if direct else RETRY_INTERVAL):
                await self._check_requested.wait()
        except TimeoutError:
            return

    async def _find_path(self) -> tuple[bool, Address | None]:
        """Tries the direct path and, if that is slow, relays at the same time.

        Returns:
            Whether there is a path, and its relay; None for the direct path.
        """
        direct = asyncio.create_task(self._answers(None))
        try:
            await asyncio.wait((direct,), timeout=RELAY_AFTER)
            if direct.done() and direct.result():
                return True, None
            via = await self._find_relay()
            if await direct:
                return True, None
        finally:
            direct.cancel()
        return via is not None, via

    async def _find_relay(self) -> Address | None:
        relays = list(self._relays()[:MAX_RELAYS])
        if self._via is not None and self._via not in relays:
            relays.insert(0, self._via)
        answered = await asyncio.gather(*map(self._answers, relays))
        answering = list(itertools.compress(relays, answered))
        if self._via in answering:
            return self._via
        return answering[0] if answering else None

    async def _answers(self, via: Address | None) -> bool:
        try:
            async with asyncio.timeout(REACH_TIMEOUT):
                return await self._network.reach(self._target(), via)
        except TimeoutError:
            return False

    async def _completes_handshake(self, via: Address | None) -> bool:
        """Returns whether the endpoint answers on a new connection.

        A refusal is an answer too.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT):
                link = await self._network.open_link(self._target(), via)
        except TimeoutError:
            return False
        except LinkRefused as error:
            if error.code is None:
                return False
        else:
            link.close()
        self._answer_monitor.record_answer()
        return True

    def _set_path(self, via: Address | None, *, unreachable: bool) -> None:
        """Switches to a path; calls ``on_change`` if it differs."""
        if via == self._via and unreachable == (
            self._unreachable_since is not None
        ):
            return
        target = self._target()
        log.warning(
            'endpoint_silent' if unreachable else 'endpoint_reached',
            extra={
                'endpoint': target.endpoint,
                'group': target.group,
                'via': via.host if via else 'direct',
            },
        )
        self._via = via
        self._unreachable_since = boot_time() if unreachable else None
        self._on_change()
