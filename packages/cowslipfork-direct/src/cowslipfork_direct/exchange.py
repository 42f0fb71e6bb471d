"""Exchanges commands and replies on one connection to an endpoint.

Replies that answer no outstanding command, such as the second copy of an
earlier one, are dropped, and the connection serves no other caller. Where a
reply may be either, a probe decides: two commands whose replies resemble no
other's. The endpoint answers in order, so what arrives before them answers the
command, or is a copy.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Final

from cowslipfork.ids import EndpointId
from cowslipfork_direct.commands import (
    Begin,
    Command,
    ControlCommand,
    Execute,
    Forget,
    Prepare,
    Run,
)
from cowslipfork_direct.link import EndpointReply, LinkLost, ReplyCode
from cowslipfork_direct.reply_matching import Match, ReplyMatcher
from cowslipfork_direct.statements import Prepared, StatementName

log = logging.getLogger(__name__)

#: Most replies without a command that are dropped while one is awaited.
MAX_SURPLUS: Final = 16

_PROBE_NAME: Final = StatementName('probe')

#: Commands that change nothing and show which replies precede theirs.
PROBE: Final = (
    Prepare(_PROBE_NAME, Prepared(writes=False, template='probe')),
    Forget(_PROBE_NAME),
)


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
        self._copies_seen = False

    @property
    def copies_seen(self) -> bool:
        """Whether a reply has arrived that answers no command."""
        return self._copies_seen

    def record_copy(self) -> None:
        """Records that something has arrived that answers no command."""
        self._copies_seen = True
        self._counts[Match.SURPLUS.value] += 1

    async def run(self, *commands: Command) -> list[EndpointReply]:
        """Sends commands and returns the reply to each.

        Args:
            commands: at least one; of those that need a proof of their reply,
                only the last one may be.

        Raises:
            LinkLost: it can't be told which replies are the answers; what was
                sent may have run.
            OSError: the connection broke.
        """
        last = commands[-1]
        probe = PROBE if isinstance(last, Begin | ControlCommand) else ()
        self._send((*commands, *probe))
        replies = [await self._answer_to(command) for command in commands]
        for _ in probe:
            self._ensure_answers_probe(await self._read())
        if probe and _refused_in_transaction(replies[-1]):
            raise self._undecided()
        return replies

    async def _answer_to(self, command: Command) -> EndpointReply:
        for _ in range(MAX_SURPLUS):
            reply = await self._read()
            match = self._matcher.match(command, reply)
            if match is not Match.ANSWER:
                self._record(match, command, reply)
            if match is Match.SURPLUS:
                continue
            if match is Match.REPEATED and isinstance(command, Run | Execute):
                reply = await self._probe(command, reply)
            self._matcher.accept(reply)
            return reply
        raise LinkLost(self._endpoint, 'too many replies without a command')

    def _ensure_answers_probe(self, reply: EndpointReply) -> None:
        """Raises if a reply to the probe shows that another one was a copy."""
        same_state = self._matcher.transaction_open is reply.transaction_open
        if not same_state or not _answers_probe(reply):
            raise self._undecided()

    async def _probe(
        self, command: Command, first: EndpointReply
    ) -> EndpointReply:
        """Finds the answer to a command whose reply may be a copy.

        Args:
            command: the command.
            first: the reply.
        """
        if self._copies_seen:
            # Copies of earlier probes could pass for the answers to this one.
            raise self._undecided()
        self._send(PROBE)
        candidates = [first]
        answers: list[EndpointReply] = []
        while len(answers) < len(PROBE):
            reply = await self._read()
            found = answers if _answers_probe(reply) else candidates
            found.append(reply)
            if len(candidates) > MAX_SURPLUS:
                raise self._undecided()
        answer = self._matcher.choose(command, candidates)
        if answer is None or not _same_state(answers):
            raise self._undecided()
        # A copy may tell an earlier state of the transaction.
        return replace(
            answer,
            transaction_open=answers[-1].transaction_open,
            transaction_failed=answers[-1].transaction_failed,
        )

    def _undecided(self) -> LinkLost:
        return LinkLost(self._endpoint, 'a reply answers no command')

    def _record(
        self, match: Match, command: Command, reply: EndpointReply
    ) -> None:
        self._copies_seen |= match is Match.SURPLUS
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


def _answers_probe(reply: EndpointReply) -> bool:
    """Returns whether a reply has the form of the answer to a probe.

    In a failed transaction the endpoint refuses both commands.
    """
    if reply.transaction_failed:
        return reply.code is ReplyCode.OTHER
    return (
        reply.code is ReplyCode.DONE
        and reply.signature is None
        and not reply.rows
    )


def _refused_in_transaction(reply: EndpointReply) -> bool:
    """Returns whether a transaction was open when a command was refused."""
    return reply.code is not ReplyCode.DONE and reply.transaction_open


def _same_state(replies: Sequence[EndpointReply]) -> bool:
    """Returns whether replies tell the same state of the transaction."""
    states = {
        (reply.transaction_open, reply.transaction_failed) for reply in replies
    }
    return len(states) == 1
