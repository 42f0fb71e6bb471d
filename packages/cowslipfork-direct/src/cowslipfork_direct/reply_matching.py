"""Which reply of a connection answers which command.

The endpoints' replies carry no id of the command that they answer, and a reply
may arrive a second time, long after the first. A reply counts as the answer to
a command only if it has the form of one and repeats no earlier reply of the
connection.
"""

from __future__ import annotations

from enum import Enum, unique
from typing import Final

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
MAX_REMEMBERED: Final = 256


@unique
class Match(Enum):
    """Whether a reply is the answer to a command."""

    #: It can only be the answer.
    ANSWER = 'answer'
    #: It may be the answer, or an earlier reply that arrives again.
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

    def _fits(self, command: Command, reply: EndpointReply) -> bool:
        """Returns whether a successful reply has the form of the answer."""
        signed = reply.signature is not None
        match command:
            case Run() | Execute():
                return signed
            case Begin():
                return not signed and reply.transaction_open
            case Rollback():
                return not signed and not reply.transaction_open
        if signed or reply.transaction_open is not self._transaction_open:
            return False
        return bool(reply.rows) is isinstance(command, ControlCommand)

    def _remember(self, identity: int) -> None:
        self._seen.pop(identity, None)
        self._seen[identity] = None
        if len(self._seen) > MAX_REMEMBERED:
            self._seen.pop(next(iter(self._seen)))


def _identity_of(reply: EndpointReply) -> int:
    """Returns what a reply and its copies have in common."""
    return hash((reply.code, reply.signature, reply.detail))
