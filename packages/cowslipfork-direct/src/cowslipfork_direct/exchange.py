"""Exchanges commands and replies on one connection to an endpoint.

Replies that answer no outstanding command, such as the second copy of an
earlier one, are dropped, and for a time each connection to their endpoint
serves one caller only, so that no copies are left from another. Where a reply
may be the answer or a copy, a probe decides: the endpoint answers in order, so
what arrives before the answers to the probe answers the command, or is a copy.
Several copies in a row can still pass for the answers to a probe on a
connection whose endpoint has shown none before.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
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
from cowslipfork_direct.copy_record import CopyRecord
from cowslipfork_direct.link import EndpointReply, LinkLost, ReplyCode
from cowslipfork_direct.reply_matching import Match, ReplyMatcher
from cowslipfork_direct.statements import Prepared, StatementName

log = logging.getLogger(__name__)

#: Most replies without a command that are dropped while one is awaited.
MAX_SURPLUS: Final = 16

_PROBE_NAME: Final = StatementName('probe')

#: Commands that change nothing; their replies follow the answer in question.
PROBE: Final = (
    Prepare(_PROBE_NAME, Prepared(writes=False, template='probe')),
    Forget(_PROBE_NAME),
)


#: Sends commands at once.
SendCommands = Callable[[Sequence[Command]], None]

#: Reads the next reply; raises ``OSError`` or ``LinkLost``.
ReadReply = Callable[[], Awaitable[EndpointReply]]


@dataclass(frozen=True, slots=True)
class _Probed:
    """Replies around a probe.

    Attributes:
        candidates: replies of which one may be the answer in question.
        last: last answer to the probe; tells the state of the transaction.
    """

    candidates: list[EndpointReply]
    last: EndpointReply


class Exchange:
    """Commands and replies of one connection."""

    def __init__(
        self,
        endpoint: EndpointId,
        send: SendCommands,
        read: ReadReply,
        copies: CopyRecord,
    ) -> None:
        """Starts without commands.

        Args:
            endpoint: endpoint of the connection.
            send: sends commands.
            read: reads the next reply.
            copies: record of replies that answer no command; shared by all
                connections.
        """
        self._endpoint = endpoint
        self._send = send
        self._read = read
        self._copies = copies
        self._matcher = ReplyMatcher()

    @property
    def distrusted(self) -> bool:
        """Whether copies of replies may arrive that can't be recognised."""
        return self._copies.repeats(self._endpoint)

    def record_copy(self) -> None:
        """Records that something has arrived that answers no command."""
        self._copies.record_copy(self._endpoint)
        self._copies.count(Match.SURPLUS)

    async def run(self, *commands: Command) -> list[EndpointReply]:
        """Sends commands and returns the reply to each.

        Args:
            commands: at least one; only the last one may be ``Begin`` or a
                ``ControlCommand``.

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
                self._log_unmatched(match, command, reply)
            if match is Match.SURPLUS or self._is_copy(match, reply):
                self._copies.record_copy(self._endpoint)
                continue
            if match is Match.REPEATED and isinstance(command, Run | Execute):
                reply = await self._find_answer(command, reply)
            self._matcher.accept(reply)
            return reply
        raise LinkLost(self._endpoint, 'too many replies without a command')

    def _is_copy(self, match: Match, reply: EndpointReply) -> bool:
        """Returns whether a repeated success is dropped without a probe."""
        success = reply.code is ReplyCode.DONE
        return self.distrusted and success and match is Match.REPEATED

    def _ensure_answers_probe(self, reply: EndpointReply) -> None:
        """Raises if a reply to the probe shows that another one was a copy."""
        same_state = self._matcher.transaction_open is reply.transaction_open
        if not same_state or not _answers_probe(reply):
            raise self._undecided()

    async def _find_answer(
        self, command: Command, first: EndpointReply
    ) -> EndpointReply:
        """Finds the answer to a command whose reply may be a copy.

        Args:
            command: the command.
            first: the reply.
        """
        if self.distrusted:
            # Copies of earlier probes could pass for the answers to this one.
            raise self._undecided()
        self._send(PROBE)
        probed = await self._read_probed(first)
        if len(probed.candidates) > 1 or first.code is ReplyCode.DONE:
            self._copies.record_copy(self._endpoint)
        answer = self._matcher.choose(command, probed.candidates)
        if answer is None:
            raise self._undecided()
        # A copy may tell an earlier state of the transaction.
        return replace(
            answer,
            transaction_open=probed.last.transaction_open,
            transaction_failed=probed.last.transaction_failed,
        )

    async def _read_probed(self, first: EndpointReply) -> _Probed:
        """Reads up to the answers to a probe.

        Args:
            first: the reply before the probe was sent.
        """
        candidates = [first]
        answers: list[EndpointReply] = []
        while len(answers) < len(PROBE) and len(candidates) <= MAX_SURPLUS:
            reply = await self._read()
            found = answers if _answers_probe(reply) else candidates
            found.append(reply)
        if len(answers) < len(PROBE) or not _same_state(answers):
            raise self._undecided()
        return _Probed(candidates, answers[-1])

    def _undecided(self) -> LinkLost:
        return LinkLost(self._endpoint, 'a reply answers no command')

    def _log_unmatched(
        self, match: Match, command: Command, reply: EndpointReply
    ) -> None:
        self._copies.count(match)
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
