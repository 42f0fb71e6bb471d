"""The pool of connections from this node to one endpoint.

``pool_policy`` decides which connection serves a request. How many may be in
use at once is limited by the group's queue, whose slots their users hold.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable, Collection
from itertools import takewhile
from typing import Final

from cowslipfork.ids import EndpointId, WorkspaceName
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.link import Link, LinkRefused, ReplyCode
from cowslipfork_direct.pool_policy import UseIdle, Wanted, choose
from cowslipfork_direct.pooled_link import PooledLink

#: Seconds without use after which a connection is closed, so that other nodes
#: can connect to the endpoint, even while it still counts connections of dead
#: nodes.
IDLE_LIMIT: Final = 1.5

#: The same for connections of workspaces: each of them is used less often, and
#: opening one costs the endpoint 12 ms of a slot. Connections that others need
#: are evicted before.
WORKSPACE_IDLE_LIMIT: Final = 30

#: The same for connections beyond this node's quota.
SPARE_IDLE_LIMIT: Final = 0.3

#: Seconds for which no further connection is opened to an endpoint that
#: refused one as too many: it drops connections of dead machines after 3 s.
FULL_PAUSE: Final = 0.6

#: Opens a connection for a workspace; raises ``LinkRefused``.
OpenLink = Callable[[WorkspaceName | None], Awaitable[Link]]


class ConnectionPool:
    """Connections to one endpoint, in use and idle.

    Attributes:
        opened: number of connections opened so far.
        evicted: number of idle connections closed to make room for another
            workspace.
    """

    def __init__(
        self,
        endpoint: EndpointId,
        open_link: OpenLink,
        on_room_again: Callable[[], None],
        now: Callable[[], float] = boot_time,
    ) -> None:
        """Starts without connections.

        Args:
            endpoint: the endpoint.
            open_link: opens a connection to it.
            on_room_again: called when it may accept connections again after it
                refused one as too many.
            now: clock in seconds that runs while the machine is suspended.
        """
        self.opened = 0
        self.evicted = 0
        self._endpoint = endpoint
        self._open_link = open_link
        self._on_room_again = on_room_again
        self._now = now
        self._idle: deque[PooledLink] = deque()
        self._in_use: set[PooledLink] = set()
        self._opening = 0
        self._quota = 1
        self._spare = 0
        self._full_until: float = 0
        self._withdrawn: frozenset[WorkspaceName] = frozenset()

    @property
    def in_use(self) -> int:
        """Number of connections in use."""
        return len(self._in_use)

    @property
    def open_links(self) -> int:
        """Number of connections in use and idle."""
        return len(self._in_use) + len(self._idle)

    @property
    def has_room(self) -> bool:
        """Whether it has an idle connection or may open a new one."""
        return bool(self._idle) or not self._is_full

    def has_idle(self, workspace: WorkspaceName | None) -> bool:
        """Returns whether it has an idle connection of a workspace."""
        return any(pooled.workspace == workspace for pooled in self._idle)

    async def check_out(self, wanted: Wanted) -> PooledLink:
        """Checks out a connection for a request that holds a slot.

        Args:
            wanted: what the request needs of it.

        Returns:
            A connection to return by ``check_in``.

        Raises:
            LinkRefused: no connection could be opened.
        """
        self._close_ended()
        choice = choose(self._idle, wanted, has_room=self._may_open)
        if isinstance(choice, UseIdle):
            pooled = choice.connection
            self._idle.remove(pooled)
        else:
            self._make_room(choice.evicted)
            pooled = await self._open(wanted.workspace)
        self._in_use.add(pooled)
        return pooled

    def check_in(self, pooled: PooledLink, *, usable: bool) -> None:
        """Returns a checked-out connection.

        Args:
            pooled: the connection.
            usable: whether it may be used again; otherwise it is closed.
        """
        was_in_use = pooled in self._in_use
        self._in_use.discard(pooled)
        retired = pooled.retired or pooled.workspace in self._withdrawn
        reusable = usable and pooled.link.reusable
        if not reusable or not was_in_use or retired:
            pooled.link.close()
            return
        self._idle.append(pooled)
        self.close_unused()
        if self.open_links > self._quota:
            loop = asyncio.get_running_loop()
            loop.call_later(SPARE_IDLE_LIMIT, self.close_unused)

    def drop_idle(self) -> None:
        """Closes idle connections, as when the path to it may be dead."""
        while self._idle:
            self._idle.pop().link.close()

    def close_unused(self) -> None:
        """Closes connections that exceeded their idle limit."""
        now = self._now()
        for pooled in self._unused(now):
            if len(self._idle) > 1:
                self._close_idle(pooled)
        while (
            self._idle
            and self.open_links > self._quota
            and self._idle[0].used_at <= now - SPARE_IDLE_LIMIT
        ):
            self._idle.popleft().link.close()

    def set_quota(self, links: int, spare: int) -> None:
        """Sets how many connections this node may keep open.

        Args:
            links: the quota; idle connections beyond it are closed.
            spare: connections beyond it that may be open while they are used.
        """
        self._quota = links
        self._spare = spare
        while self._idle and self.open_links > links:
            self._idle.popleft().link.close()

    def retire(self, workspaces: Collection[WorkspaceName]) -> None:
        """Closes connections of workspaces, those in use once returned.

        So are those opened later, for statements of nodes that do not know of
        the withdrawal yet.

        Args:
            workspaces: workspaces that have no valid key any more; replaces
                those of the last call.
        """
        self._withdrawn = frozenset(workspaces)
        for pooled in (*self._idle, *self._in_use):
            pooled.retired |= pooled.workspace in workspaces
        for unused in tuple(self._idle):
            if unused.retired:
                self._close_idle(unused)

    def close(self) -> None:
        """Closes all connections; statements on them are lost."""
        self.drop_idle()
        for pooled in tuple(self._in_use):
            pooled.link.close()
        self._in_use.clear()

    @property
    def _is_full(self) -> bool:
        """Whether the endpoint refused a connection as too many just now."""
        return self._now() < self._full_until

    @property
    def _may_open(self) -> bool:
        """Whether a further connection fits into this node's share."""
        held = self.open_links + self._opening
        return held < self._quota + self._spare and not self._is_full

    def _make_room(self, evicted: PooledLink | None) -> None:
        """Closes a connection; raises if the endpoint is full without that."""
        if evicted is not None:
            self.evicted += 1
            self._close_idle(evicted)
        elif self._is_full:
            raise LinkRefused(
                self._endpoint, 'too many connections a moment ago'
            )

    def _unused(self, now: float) -> list[PooledLink]:
        """Returns idle connections that exceeded their idle limit."""
        unowned = [pooled for pooled in self._idle if pooled.workspace is None]
        owned = [pooled for pooled in self._idle if pooled.workspace]
        return [
            *takewhile(lambda link: link.used_at < now - IDLE_LIMIT, unowned),
            *takewhile(
                lambda link: link.used_at < now - WORKSPACE_IDLE_LIMIT, owned
            ),
        ]

    def _close_ended(self) -> None:
        """Closes idle connections that can't be used again."""
        for pooled in tuple(self._idle):
            if not pooled.link.reusable:
                self._close_idle(pooled)

    def _close_idle(self, pooled: PooledLink) -> None:
        self._idle.remove(pooled)
        pooled.link.close()

    async def _open(self, workspace: WorkspaceName | None) -> PooledLink:
        self._opening += 1
        try:
            link = await self._open_link(workspace)
        except LinkRefused as error:
            if error.code is ReplyCode.TOO_MANY_CONNECTIONS:
                self._note_full()
            raise
        finally:
            self._opening -= 1
        self.opened += 1
        return PooledLink(link, self._now(), workspace)

    def _note_full(self) -> None:
        """Pauses new connections for a random time, then reports room."""
        pause = random.uniform(FULL_PAUSE / 2, FULL_PAUSE)
        self._full_until = self._now() + pause
        loop = asyncio.get_running_loop()
        loop.call_later(pause, self._on_room_again)
