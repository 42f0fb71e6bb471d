"""One endpoint as a node knows it: its connections and whether it answers."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from cowslipfork.ids import EndpointId, Mark
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.commands import Command
from cowslipfork_direct.health import Health
from cowslipfork_direct.latency_estimator import LatencyEstimator
from cowslipfork_direct.link import (
    EndpointReply,
    LinkLost,
    LinkRefused,
    Network,
    ReplyCode,
)
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.pooled_link import PooledLink
from cowslipfork_direct.reachability import Reachability
from cowslipfork_direct.relay import Address

#: Seconds for opening a connection.
CONNECT_TIMEOUT: Final = 0.6

#: Least seconds without an answer after which it is asked whether the machine
#: is there at all; more for one that usually takes longer.
DOUBT_AFTER: Final = 0.1

#: Seconds for which an endpoint that lacked a log entry is not asked again
#: for it; each further time doubles them, up to a bound.
BEHIND_PAUSE: Final = 0.1
LONGEST_BEHIND_PAUSE: Final = 0.8

#: Seconds without use after which a connection is closed, so that others find
#: room at the endpoint, also while connections of dead nodes linger there.
IDLE_LIMIT: Final = 1.5

#: The same for connections beyond this node's share.
SPARE_IDLE_LIMIT: Final = 0.3

#: Seconds for which no further connection is opened to an endpoint that had
#: no room: it drops those of dead machines after 3 s.
FULL_PAUSE: Final = 0.6


class Endpoint:
    """Connections to an endpoint, and whether it answers."""

    def __init__(
        self,
        listed: ListedEndpoint,
        network: Network,
        relays: Callable[[], Sequence[Address]],
        changed: Callable[[EndpointId], None],
        room_again: Callable[[EndpointId], None],
    ) -> None:
        """Opens nothing yet.

        Args:
            listed: the endpoint's entry.
            network: ways to it.
            relays: gives the relays of other nodes.
            changed: told when it falls silent, when it returns and when
                another way leads to it.
            room_again: told when it may have room again.
        """
        self.listed = listed
        self._network = network
        self._changed = changed
        self._room_again = room_again
        self._reachability = Reachability(
            lambda: self.listed.target,
            network,
            relays,
            self._way_changed,
        )
        self._idle: deque[PooledLink] = deque()
        self._checked_out: set[PooledLink] = set()
        self._mark: Mark | None = None
        self._latency_estimator = LatencyEstimator()
        self._health = Health(boot_time)
        self._share = 1
        self._behind_until: float = 0
        self._behind_pause = BEHIND_PAUSE
        self._full_until: float = 0

    @property
    def id(self) -> EndpointId:
        """Its id."""
        return self.listed.endpoint

    @property
    def silent_since(self) -> float | None:
        """Boot time since which it does not answer; None if it does."""
        return self._reachability.silent_since

    @property
    def mark(self) -> Mark | None:
        """Last log entry that it is known to have applied."""
        return self._mark

    @property
    def in_use(self) -> int:
        """Connections in use."""
        return len(self._checked_out)

    @property
    def open_links(self) -> int:
        """Connections in use and idle."""
        return len(self._checked_out) + len(self._idle)

    def likely_has(self, minimum_mark: Mark | None) -> bool:
        """Tells whether it makes sense to demand a log entry of it.

        Args:
            minimum_mark: the log entry; None for no demand.
        """
        if minimum_mark is None or (
            self._mark is not None and self._mark >= minimum_mark
        ):
            return True
        return boot_time() >= self._behind_until

    @property
    def has_room(self) -> bool:
        """Whether it is likely to take a statement now."""
        return bool(self._idle) or boot_time() >= self._full_until

    @property
    def health(self) -> Health:
        """Whether it does its work."""
        return self._health

    @property
    def usual(self) -> float:
        """Seconds that its answers usually take."""
        return self._latency_estimator.mean

    @property
    def slow_threshold(self) -> float:
        """Seconds after which an answer takes longer than usual."""
        return self._latency_estimator.slow_threshold

    def note_duration(self, seconds: float) -> None:
        """Takes note of how long a statement took."""
        self._latency_estimator.add_sample(seconds)

    def note_served(self) -> None:
        """Takes note that it had the log entry that was demanded."""
        self._behind_pause = BEHIND_PAUSE

    def note_behind(self) -> None:
        """Takes note that it lacked a log entry just now."""
        self._behind_until = boot_time() + self._behind_pause
        longer = 2 * self._behind_pause
        self._behind_pause = min(longer, LONGEST_BEHIND_PAUSE)

    async def watch(self) -> None:
        """Finds out whether the machine answers when that is in doubt."""
        await self._reachability.watch()

    def request_check(self) -> None:
        """Has it checked whether the machine answers."""
        self._reachability.request_check()

    async def lend(self, values: Mapping[str, str]) -> PooledLink:
        """Gives a connection, preferably one with these session values.

        Args:
            values: the caller's session values.

        Returns:
            A connection to give back by ``take_back``.

        Raises:
            LinkRefused: none could be opened.
        """
        pooled = self._from_idle(values) or await self._open()
        self._checked_out.add(pooled)
        return pooled

    async def exchange(
        self,
        pooled: PooledLink,
        *commands: Command,
    ) -> list[EndpointReply]:
        """Sends commands on a lent connection and takes note of the answers.

        Args:
            pooled: the connection.
            commands: what to send.

        Returns:
            One reply for each command.

        Raises:
            LinkLost: the connection broke.
        """
        with self.expecting():
            replies = await pooled.link.send(*commands)
        pooled.used_at = boot_time()
        mark = replies[-1].mark
        if mark is not None and (self._mark is None or mark > self._mark):
            self._mark = mark
        return replies

    def expecting(self) -> _Expecting:
        """Gives a context in which an answer is awaited.

        If it takes long, the machine is asked whether it is there.
        """
        slow_threshold = max(
            DOUBT_AFTER, self._latency_estimator.slow_threshold
        )
        return _Expecting(slow_threshold, self.request_check)

    def take_back(self, pooled: PooledLink, *, usable: bool) -> None:
        """Takes a lent connection back.

        Args:
            pooled: the connection.
            usable: whether it may be lent again; otherwise it is closed.
        """
        known = pooled in self._checked_out
        self._checked_out.discard(pooled)
        if usable and known and self.silent_since is None:
            self._idle.append(pooled)
            self.close_unused()
            if self.open_links > self._share:
                loop = asyncio.get_running_loop()
                loop.call_later(SPARE_IDLE_LIMIT, self.close_unused)
        else:
            pooled.link.close()

    def drop_idle(self) -> None:
        """Closes idle connections, as after a sign of a silent path."""
        while self._idle:
            self._idle.pop().link.close()

    def close_unused(self) -> None:
        """Closes connections that have not been needed for a while."""
        now = boot_time()
        while len(self._idle) > 1 and self._idle[0].used_at < now - IDLE_LIMIT:
            self._idle.popleft().link.close()
        while (
            self._idle
            and self.open_links > self._share
            and self._idle[0].used_at <= now - SPARE_IDLE_LIMIT
        ):
            self._idle.popleft().link.close()

    def share(self, links: int) -> None:
        """Sets how many connections this node may keep open.

        Args:
            links: its share; idle connections beyond it are closed.
        """
        self._share = links
        while self._idle and self.open_links > links:
            self._idle.popleft().link.close()

    def close(self) -> None:
        """Closes all connections; statements on them are lost."""
        self.drop_idle()
        for pooled in tuple(self._checked_out):
            pooled.link.close()
        self._checked_out.clear()

    def _from_idle(self, values: Mapping[str, str]) -> PooledLink | None:
        chosen = next(
            (pooled for pooled in self._idle if pooled.suits(values)),
            None,
        )
        if chosen is not None:
            self._idle.remove(chosen)
            return chosen
        return self._idle.pop() if self._idle else None

    def _note_full(self) -> None:
        """Has it left alone for a moment, and asked again after it."""
        pause = random.uniform(FULL_PAUSE / 2, FULL_PAUSE)
        self._full_until = boot_time() + pause
        loop = asyncio.get_running_loop()
        loop.call_later(pause, self._room_again, self.id)

    async def _open(self) -> PooledLink:
        target = self.listed.target
        if boot_time() < self._full_until:
            raise LinkRefused(self.id, 'it had no room a moment ago')
        try:
            with self.expecting():
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    link = await self._network.open_link(
                        target,
                        self._reachability.via,
                    )
        except TimeoutError as error:
            raise LinkRefused(self.id, 'no answer in time') from error
        except LinkRefused as error:
            if error.code is None:
                self.request_check()
            elif error.code is ReplyCode.TOO_MANY_CONNECTIONS:
                self._note_full()
            raise
        return PooledLink(link, boot_time())

    def _way_changed(self) -> None:
        """Gives up all connections, which lead nowhere any more."""
        self.close()
        self._changed(self.id)


class _Expecting:
    """Raises a doubt when its block lasts long."""

    def __init__(
        self, slow_threshold: float, request_check: Callable[[], None]
    ) -> None:
        self._slow_threshold = slow_threshold
        self._request_check = request_check

    def __enter__(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._slow_threshold, self._request_check)

    def __exit__(self, *_: object) -> None:
        self._timer.cancel()


def lost(endpoint: EndpointId, cause: object) -> LinkLost:
    """Words a lost connection.

    Args:
        endpoint: who was lost.
        cause: what is known about it.
    """
    return LinkLost(endpoint, str(cause) or type(cause).__name__)
