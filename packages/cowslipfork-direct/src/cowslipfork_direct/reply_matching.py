"""Which reply of a connection answers which command.

The endpoints' replies carry no id of the command that they answer, and a reply
may arrive a second time, long after the first. A reply counts as the answer to
a command only if it has the form of one and repeats no earlier reply of the
connection: each signature is sent once, while a refusal may be like another.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, unique
from typing import Final

from cowslipfork.ids import INITIAL_MARK, Mark
from cowslipfork_direct.commands import (
    Begin,
    Command,
    ControlCommand,
    Execute,
    Rollback,
    Run,
)
from cowslipfork_direct.link import EndpointReply, ReplyCode

#: Most signatures and errors of a connection that are remembered.
MAX_REMEMBERED: Final = 1024


@unique
class Match(Enum):
    """Whether a reply is the answer to a command."""

    #: It can only be the answer.
    ANSWER = 'answer'
    #: It is like an earlier reply: a refusal may be the answer all the same.
    REPEATED = 'repeated'
    #: It is not the answer.
    SURPLUS = 'surplus'


class ReplyMatcher:
    """Matches the replies of one connection with its commands."""

    def __init__(self) -> None:
        """Starts without replies, outside of a transaction."""
        self._seen: dict[int, None] = {}
        self._transaction_open = False

    @property
    def transaction_open(self) -> bool:
        """Whether the connection was in a transaction at the last answer."""
        return self._transaction_open

    def match(self, command: Command, reply: EndpointReply) -> Match:
        """Returns whether a reply is the answer to a command.

        Args:
            command: the earliest command without an answer.
            reply: the next reply of the connection.
        """
        if reply.code is ReplyCode.DONE and not self._fits(command, reply):
            return Match.SURPLUS
        repeated = _identity_of(reply) in self._seen
        return Match.REPEATED if repeated else Match.ANSWER

    def accept(self, reply: EndpointReply) -> None:
        """Records the reply that was taken as an answer."""
        self._transaction_open = reply.transaction_open
        if reply.code is not ReplyCode.DONE or reply.signature is not None:
            self._remember(_identity_of(reply))

    def choose(
        self, command: Command, replies: Sequence[EndpointReply]
    ) -> EndpointReply | None:
        """Chooses the answer among all replies that may be it.

        Args:
            command: the command.
            replies: replies that arrived before those to later commands.

        Returns:
            The answer, which has the newest mark; None if that can't be told.
        """
        fitting = [
            (match, reply)
            for reply in replies
            if (match := self.match(command, reply)) is not Match.SURPLUS
        ]
        new = [reply for match, reply in fitting if match is Match.ANSWER]
        alike = new or [
            reply for _, reply in fitting if reply.code is not ReplyCode.DONE
        ]
        if len(set(map(_identity_of, alike))) != 1:
            return None
        return max(alike, key=_position_of)

    def _fits(self, command: Command, reply: EndpointReply) -> bool:
        """Returns whether a successful reply has the form of the answer."""
        if isinstance(command, Run | Execute):
            return reply.signature is not None
        has_rows = isinstance(command, ControlCommand)
        return (
            reply.signature is None
            and bool(reply.rows) is has_rows
            and reply.transaction_open is self._opens_transaction(command)
        )

    def _opens_transaction(self, command: Command) -> bool:
        """Returns whether a transaction is open after a command succeeds."""
        if isinstance(command, Begin | Rollback):
            return isinstance(command, Begin)
        return self._transaction_open

    def _remember(self, identity: int) -> None:
        self._seen.pop(identity, None)
        self._seen[identity] = None
        if len(self._seen) > MAX_REMEMBERED:
            self._seen.pop(next(iter(self._seen)))


def _identity_of(reply: EndpointReply) -> int:
    """Returns what a reply and its copies have in common.

    A hash, so that the rows of earlier replies need not be kept.
    """
    return hash((reply.code, reply.rows, reply.signature, reply.detail))


def _position_of(reply: EndpointReply) -> Mark:
    return reply.mark or INITIAL_MARK
