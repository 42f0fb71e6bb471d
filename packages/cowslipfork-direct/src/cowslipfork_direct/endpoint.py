"""One endpoint: its connections, reachability and health."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

from cowslipfork.ids import EndpointId, Mark, WorkspaceName
from cowslipfork_direct.answer_monitor import SILENCE_LIMIT, AnswerMonitor
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.commands import Command
from cowslipfork_direct.connection_pool import ConnectionPool
from cowslipfork_direct.health import Health
from cowslipfork_direct.latency_estimator import LatencyEstimator
from cowslipfork_direct.link import (
    EndpointReply,
    Link,
    LinkLost,
    LinkRefused,
    Network,
)
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.pool_policy import Wanted
from cowslipfork_direct.pooled_link import PooledLink
from cowslipfork_direct.reachability import Reachability
from cowslipfork_direct.relay import Address
from cowslipfork_direct.status_timeout import StatusTimeout

#: Seconds for opening a connection.
CONNECT_TIMEOUT: Final = 0.6

#: Least seconds without an answer after which the machine's reachability is
#: checked; more for an endpoint that usually takes longer.
MIN_CHECK_DELAY: Final = 0.1

#: Seconds for which an endpoint that lacked a log entry is not asked for it
#: again; each further failure doubles them, up to the maximum.
BEHIND_PAUSE: Final = 0.1
MAX_BEHIND_PAUSE: Final = 0.8


class Endpoint:
    """Connections to an endpoint, with its reachability and health.

    Attributes:
        listed: the endpoint's entry in the store.
        status_timeout: timeout of its status requests.
        pool: connections of this node to it.
    """

    def __init__(
        self,
        listed: ListedEndpoint,
        network: Network,
        relays: Callable[[], Sequence[Address]],
        on_change: Callable[[EndpointId], None],
        on_room_again: Callable[[EndpointId], None],
    ) -> None:
        """Starts without connections.

        Args:
            listed: the endpoint's entry in the store.
            network: opens connections to it.
            relays: returns the relays of other nodes, best first.
            on_change: called with its id when it becomes unreachable or
                reachable, or is reached through another relay or directly.
            on_room_again: called with its id when it may accept connections
                again after it refused one as too many.
        """
        self.listed = listed
        self.status_timeout = StatusTimeout()
        self.pool = ConnectionPool(
            self.id, self._open_link, lambda: on_room_again(self.id)
        )
        self._network = network
        self._on_change = on_change
        self._answer_monitor = AnswerMonitor(boot_time)
        self._reachability = Reachability(
            lambda: self.listed.target,
            network,
            self._answer_monitor,
            relays,
            self._path_changed,
        )
        self._mark: Mark | None = None
        self._latency_estimator = LatencyEstimator()
        self._health = Health(boot_time)
        self._behind_until: float = 0
        self._behind_pause = BEHIND_PAUSE

    @property
    def id(self) -> EndpointId:
        """The endpoint's id."""
        return self.listed.endpoint

    @property
    def unreachable_since(self) -> float | None:
        """Boot time since which it is unreachable; None while reachable."""
        return self._reachability.unreachable_since

    @property
    def mark(self) -> Mark | None:
        """Last log entry known to be applied there; None before an answer."""
        return self._mark

    @property
    def in_use(self) -> int:
        """Number of connections in use."""
        return self.pool.in_use

    @property
    def open_links(self) -> int:
        """Number of connections in use and idle."""
        return self.pool.open_links

    def likely_has(self, minimum_mark: Mark | None) -> bool:
        """Returns whether it is likely to have applied a log entry.

        Args:
            minimum_mark: the log entry; None for no requirement.
        """
        if minimum_mark is None or (
            self._mark is not None and self._mark >= minimum_mark
        ):
            return True
        return boot_time() >= self._behind_until

    @property
    def has_room(self) -> bool:
        """Whether it has an idle connection or may accept a new one."""
        return self.pool.has_room

    @property
    def health(self) -> Health:
        """Failures and successes of its statements."""
        return self._health

    @property
    def mean_latency(self) -> float:
        """Mean seconds of its answers; 0 before the first one."""
        return self._latency_estimator.mean

    @property
    def slow_threshold(self) -> float:
        """Seconds after which an answer counts as slow."""
        return self._latency_estimator.slow_threshold

    def note_duration(self, seconds: float) -> None:
        """Records how many seconds a statement took."""
        self._latency_estimator.add_sample(seconds)

    def note_served(self) -> None:
        """Records that it had applied the required log entry."""
        self._behind_pause = BEHIND_PAUSE

    def note_behind(self) -> None:
        """Records that it lacked a required log entry just now."""
        self._behind_until = boot_time() + self._behind_pause
        doubled = 2 * self._behind_pause
        self._behind_pause = min(doubled, MAX_BEHIND_PAUSE)

    async def watch(self) -> None:
        """Runs the requested reachability checks until cancelled."""
        await self._reachability.watch()

    def request_check(self) -> None:
        """Requests a check of whether the machine is reachable."""
        self._reachability.request_check()

    def suspect(self) -> None:
        """Requests a check since another node gets no answers from it."""
        self._answer_monitor.suspect()
        self.request_check()

    async def check_out(self, wanted: Wanted) -> PooledLink:
        """Checks out a connection for a request that holds a slot.

        Args:
            wanted: what the request needs of it.

        Returns:
            A connection to return by ``check_in``.

        Raises:
            LinkRefused: no connection could be opened.
        """
        return await self.pool.check_out(wanted)

    async def exchange(
        self,
        pooled: PooledLink,
        *commands: Command,
    ) -> list[EndpointReply]:
        """Sends commands on a checked-out connection, records the mark.

        Args:
            pooled: the connection.
            commands: the commands to send.

        Returns:
            One reply for each command.

        Raises:
            LinkLost: the connection broke.
        """
        with self.reply_timer():
            replies = await pooled.link.send(*commands)
        pooled.used_at = boot_time()
        mark = replies[-1].mark
        if mark is not None and (self._mark is None or mark > self._mark):
            self._mark = mark
        return replies

    def reply_timer(self) -> _ReplyTimer:
        """Returns a context for waiting for an answer.

        If the block lasts too long, a reachability check is requested.
        """
        threshold = max(MIN_CHECK_DELAY, self._latency_estimator.slow_threshold)
        delays = (threshold, max(threshold, SILENCE_LIMIT))
        return _ReplyTimer(delays, self._answer_monitor, self.request_check)

    def check_in(self, pooled: PooledLink, *, usable: bool) -> None:
        """Returns a checked-out connection to the pool.

        Args:
            pooled: the connection.
            usable: whether it may be used again; otherwise it is closed.
        """
        reachable = self.unreachable_since is None
        self.pool.check_in(pooled, usable=usable and reachable)

    def drop_idle(self) -> None:
        """Closes idle connections, as when the path to it may be dead."""
        self.pool.drop_idle()

    def close(self) -> None:
        """Closes all connections; statements on them are lost."""
        self.pool.close()

    async def _open_link(self, workspace: WorkspaceName | None) -> Link:
        target = replace(self.listed.target, workspace=workspace)
        try:
            with self.reply_timer():
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    return await self._network.open_link(
                        target,
                        self._reachability.via,
                    )
        except TimeoutError as error:
            raise LinkRefused(self.id, 'connect timed out') from error
        except LinkRefused as error:
            if error.code is None:
                self.request_check()
            else:
                self._answer_monitor.record_answer()
            raise

    def _path_changed(self) -> None:
        """Closes all connections, since they use the previous path."""
        self.close()
        self._on_change(self.id)


class _ReplyTimer:
    """Requests reachability checks when its block lasts too long."""

    def __init__(
        self,
        delays: Sequence[float],
        answer_monitor: AnswerMonitor,
        request_check: Callable[[], None],
    ) -> None:
        self._delays = delays
        self._answer_monitor = answer_monitor
        self._request_check = request_check

    def __enter__(self) -> None:
        loop = asyncio.get_running_loop()
        self._answer_monitor.record_request()
        self._timers = [
            loop.call_later(delay, self._request_check)
            for delay in self._delays
        ]

    def __exit__(
        self, error_type: type[BaseException] | None, *_: object
    ) -> None:
        for timer in self._timers:
            timer.cancel()
        if error_type is None:
            self._answer_monitor.record_answer()


def link_lost(endpoint: EndpointId, cause: object) -> LinkLost:
    """Returns the error for a connection that was lost.

    Args:
        endpoint: the endpoint of the connection.
        cause: a text, or the exception whose text or type is used.
    """
    return LinkLost(endpoint, str(cause) or type(cause).__name__)
