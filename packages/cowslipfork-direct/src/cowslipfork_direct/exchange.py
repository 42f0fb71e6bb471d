"""Exchanges commands and replies on one connection to an endpoint.

Replies that may answer no outstanding command, such as the second copy of an
earlier one, are logged and counted.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from cowslipfork.ids import EndpointId
from cowslipfork_direct.commands import Command
from cowslipfork_direct.link import EndpointReply
from cowslipfork_direct.reply_matching import Match, ReplyMatcher

log = logging.getLogger(__name__)

#: Sends commands at once.
SendCommands = Callable[[Sequence[Command]], None]

#: Reads the next reply; raises ``OSError`` or ``LinkLost``.
ReadReply = Callable[[], Awaitable[EndpointReply]]


class Exchange:
    """Commands and replies of one connection."""

    def __init__(
        self,
        endpoint: EndpointId,
        send: SendCommands,
        read: ReadReply,
        counts: Counter[str],
    ) -> None:
        """Starts without commands.

        Args:
            endpoint: endpoint of the connection.
            send: sends commands.
            read: reads the next reply.
            counts: replies that may answer no command, by how they match;
                shared by all connections.
        """
        self._endpoint = endpoint
        self._send = send
        self._read = read
        self._counts = counts
        self._matcher = ReplyMatcher()

    async def run(self, *commands: Command) -> list[EndpointReply]:
        """Sends commands and returns the reply to each.

        Args:
            commands: at least one.

        Raises:
            OSError: the connection broke.
        """
        self._send(commands)
        return [await self._answer_to(command) for command in commands]

    async def _answer_to(self, command: Command) -> EndpointReply:
        reply = await self._read()
        match = self._matcher.match(command, reply)
        if match is not Match.ANSWER:
            self._record(match, command, reply)
        self._matcher.accept(reply)
        return reply

    def _record(
        self, match: Match, command: Command, reply: EndpointReply
    ) -> None:
        self._counts[match.value] += 1
        log.info(
            'unmatched_reply',
            extra={
                'endpoint': self._endpoint,
                'command': type(command).__name__.lower(),
                'code': reply.code.value,
                'signature': reply.signature,
                'match': match.value,
            },
        )
